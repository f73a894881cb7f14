//! A sound command channel: reads the number of the last event, then writes every later event, and an empty frame with
//! the number of the last event each second.

use crate::record::Record;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const FRAME_INTERVAL: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of the event in the configuration's `known`.
pub const FIRST_EVENT: u64 = 1;
const KIND_EMPTY: u8 = 0;
const KIND_CHANGES: u8 = 2;

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug)]
pub enum State {
    Draining = 1,
}

/// An endpoint as the list names it.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub id: u32,
    pub address: SocketAddr,
    pub zone: u8,
    pub kind: u8,
}

#[derive(Clone)]
pub struct Channel {
    pub address: SocketAddr,
    /// Events after the first, as kind and payload.
    events: Arc<Mutex<Vec<(u8, Vec<u8>)>>>,
    record: Record,
}

impl Channel {
    pub fn start(record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let channel =
            Channel { address: listener.local_addr()?, events: Arc::default(), record: record.clone() };
        let served = channel.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let channel = served.clone();
                thread::spawn(move || channel.serve(stream));
            }
        });
        Ok(channel)
    }

    /// Tells one event: these endpoints are in this state.
    pub fn tell(&self, endpoints: &[Listed], state: State) {
        let payload = endpoints.iter().flat_map(|listed| record_bytes(listed, state)).collect();
        let mut events = self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        events.push((KIND_CHANGES, payload));
        let ids: Vec<String> = endpoints.iter().map(|listed| format!("s-{:08x}", listed.id)).collect();
        self.record.line(&format!("channel: {state:?}: {}", ids.join(" ")));
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut cursor = [0; 8];
        stream.read_exact(&mut cursor)?;
        let mut sent = u64::from_be_bytes(cursor);
        let mut next_empty = Instant::now();
        loop {
            let events = self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone();
            while let Some((kind, payload)) = events.get((sent.max(FIRST_EVENT) - FIRST_EVENT) as usize) {
                sent += 1;
                stream.write_all(&frame(sent, *kind, payload))?;
            }
            if Instant::now() >= next_empty {
                next_empty = Instant::now() + FRAME_INTERVAL;
                stream.write_all(&frame(sent, KIND_EMPTY, &[]))?;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (9 + payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend(payload);
    bytes
}

fn record_bytes(listed: &Listed, state: State) -> Vec<u8> {
    let SocketAddr::V4(address) = listed.address else { return Vec::new() };
    let mut bytes = listed.id.to_be_bytes().to_vec();
    bytes.extend(Ipv4Addr::octets(address.ip()));
    bytes.extend(address.port().to_be_bytes());
    bytes.extend([state as u8, listed.zone, listed.kind]);
    bytes.extend(0u16.to_be_bytes());
    bytes.extend(20_000u32.to_be_bytes());
    bytes.extend(0u64.to_be_bytes());
    bytes
}
