//! A toy of everything an instance talks to, on loopback: the endpoints and the command channel of
//! `examples/config.json`, and a client that asks for a few things. `make example` plays it with an instance.
//!
//! Not a test and not a measure: it answers at once, keeps nothing and forgives everything.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const ENDPOINTS: [&str; 4] = ["127.0.0.1:9101", "127.0.0.1:9102", "127.0.0.1:9103", "127.0.0.1:9104"];
const CHANNEL: &str = "127.0.0.1:9379";
const INSTANCE: &str = "127.0.0.1:9090";

fn main() -> io::Result<()> {
    match std::env::args().nth(1).as_deref() {
        Some("ask") => return ask(),
        Some("await") => return wait(std::env::args().nth(2).as_deref() == Some("proxy")),
        _ => {}
    }
    for address in ENDPOINTS {
        let listener = TcpListener::bind(address)?;
        thread::spawn(move || serve(&listener, |stream| endpoint(stream, address)));
    }
    let listener = TcpListener::bind(CHANNEL)?;
    println!("toy endpoints at {ENDPOINTS:?}, command channel at {CHANNEL}");
    serve(&listener, channel);
    Ok(())
}

/// Waits until the instance, or else all toys, take connections: nobody is to find them not there yet.
fn wait(instance: bool) -> io::Result<()> {
    let addresses = if instance { vec![INSTANCE] } else { [&ENDPOINTS[..], &[CHANNEL]].concat() };
    for address in addresses {
        let mut tries = 0;
        while let Err(e) = TcpStream::connect(address) {
            tries += 1;
            if tries > 100 {
                return Err(e);
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(())
}

fn serve(listener: &TcpListener, each: impl Fn(TcpStream) -> io::Result<()> + Copy + Send + 'static) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || each(stream));
    }
}

/// One line of RESP without its end.
fn line(input: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    match input.read_line(&mut text)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(text.trim_end().to_owned()),
    }
}

fn number(text: &str) -> io::Result<usize> {
    text.get(1..).and_then(|t| t.parse().ok()).ok_or(io::ErrorKind::InvalidData.into())
}

/// Answers every `want` with a few bytes that name the endpoint and what was asked.
fn endpoint(stream: TcpStream, address: &str) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    loop {
        let mut words = Vec::new();
        for _ in 0..number(&line(&mut input)?)? {
            let mut word = vec![0; number(&line(&mut input)?)? + 2];
            input.read_exact(&mut word)?;
            word.truncate(word.len() - 2);
            words.push(String::from_utf8_lossy(&word).into_owned());
        }
        println!("{address}: {}", words.join(" "));
        if let [word, id, fields, _] = &words[..] {
            if word == "want" {
                let body = format!("from {address} for {fields}");
                let answer = [id, "ok", "tag=4be0c1927d55a6f3,minted=1764576000123,note=hit", &body];
                output.write_all(b"*4\r\n")?;
                for word in answer {
                    write!(output, "${}\r\n{word}\r\n", word.len())?;
                }
            }
        }
    }
}

/// Says each second that nothing is new.
fn channel(mut stream: TcpStream) -> io::Result<()> {
    let mut cursor = [0; 8];
    stream.read_exact(&mut cursor)?;
    println!("command channel: a doorman has event {}", u64::from_be_bytes(cursor));
    loop {
        stream.write_all(&9u32.to_be_bytes())?;
        stream.write_all(&cursor)?;
        stream.write_all(&[0])?;
        thread::sleep(Duration::from_secs(1));
    }
}

/// Asks the instance for three parts of an object and for one edit, and prints what comes.
fn ask() -> io::Result<()> {
    let mut stream = TcpStream::connect(INSTANCE)?;
    for (stream_id, route, part) in
        [(1u32, "clip-parts", "0"), (2, "clip-parts", "1"), (3, "images", "0"), (4, "record-edits", "0")]
    {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let trace = format!("{:016x}", now.as_nanos() as u64);
        let fields = [
            ("route", route),
            ("trace", &trace),
            ("patience", "1500"),
            ("entity", "7f3a9c21e0b4d655"),
            ("nth", part),
            ("batch", "17"),
            ("size", "412.5"),
            ("nonce", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        ];
        let mut frame = vec![7];
        frame.extend(stream_id.to_be_bytes());
        frame.push(fields.len() as u8);
        for (name, value) in fields {
            frame.push(name.len() as u8);
            frame.extend(name.as_bytes());
            frame.extend((value.len() as u16).to_be_bytes());
            frame.extend(value.as_bytes());
        }
        stream.write_all(&(frame.len() as u32).to_be_bytes())?;
        stream.write_all(&frame)?;
    }
    for _ in 0..4 {
        let mut head = [0; 4];
        stream.read_exact(&mut head)?;
        let mut frame = vec![0; u32::from_be_bytes(head) as usize];
        stream.read_exact(&mut frame)?;
        let code = frame[5];
        println!("stream {}: code {code}, {}", frame[4], String::from_utf8_lossy(&frame[7..]));
    }
    Ok(())
}
