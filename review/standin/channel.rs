//! A sound command channel without news: reads the number of the last event, then writes an empty frame each second.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const FRAME_INTERVAL: Duration = Duration::from_secs(1);

pub fn start() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream) -> io::Result<()> {
    let mut last_event = [0; 8];
    stream.read_exact(&mut last_event)?;
    loop {
        let mut frame = 9u32.to_be_bytes().to_vec();
        frame.extend(last_event);
        frame.push(0);
        stream.write_all(&frame)?;
        thread::sleep(FRAME_INTERVAL);
    }
}
