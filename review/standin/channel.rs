//! A sound command channel: reads the number of the last event, then writes every later event, and an empty frame with
//! the number of the last event each second.

use crate::endpoint::own_address;
use crate::record::Record;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const FRAME_INTERVAL: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which an address that was replaced closes its connections.
const CLOSE_AFTER_RETIRED: Duration = Duration::from_millis(1_500);
/// Number of the event in the configuration's `known`.
const FIRST_EVENT: u64 = 1;
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

/// The events after the first, as kind and payload. All addresses of the command channel tell the same events.
#[derive(Clone, Default)]
pub struct Events(Arc<Mutex<Vec<(u8, Vec<u8>)>>>);

impl Events {
    /// Tells one event: these endpoints are in this state.
    pub fn tell(&self, endpoints: &[Listed], state: State, record: &Record) {
        let payload = endpoints.iter().flat_map(|listed| record_bytes(listed, state)).collect();
        self.lock().push((KIND_CHANGES, payload));
        let ids: Vec<String> = endpoints.iter().map(|listed| format!("s-{:08x}", listed.id)).collect();
        record.line(&format!("channel: {state:?}: {}", ids.join(" ")));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(u8, Vec<u8>)>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// The command channel at one address.
#[derive(Clone)]
pub struct Channel {
    pub address: SocketAddr,
    events: Events,
    /// Since when another address has taken its place.
    retired_at: Arc<Mutex<Option<Instant>>>,
}

impl Channel {
    pub fn start(events: &Events) -> io::Result<Self> {
        let listener = TcpListener::bind(own_address())?;
        listener.set_nonblocking(true)?;
        let channel =
            Channel { address: listener.local_addr()?, events: events.clone(), retired_at: Arc::default() };
        let served = channel.clone();
        thread::spawn(move || served.accept(&listener));
        Ok(channel)
    }

    /// From now on this address takes no connection and tells nothing; it closes the open ones after 1.5 s.
    pub fn retire(&self) {
        *self.retired_at.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(Instant::now());
    }

    fn retired_for(&self) -> Option<Duration> {
        let retired_at = *self.retired_at.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        retired_at.map(|at| at.elapsed())
    }

    fn accept(self, listener: &TcpListener) {
        while self.retired_for().is_none() {
            if let Ok((stream, _)) = listener.accept() {
                let channel = self.clone();
                thread::spawn(move || channel.serve(stream));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut cursor = [0; 8];
        stream.read_exact(&mut cursor)?;
        let mut sent = u64::from_be_bytes(cursor);
        let mut next_empty = Instant::now();
        while self.retired_for().is_none_or(|time| time < CLOSE_AFTER_RETIRED) {
            thread::sleep(POLL_INTERVAL);
            if self.retired_for().is_some() {
                continue;
            }
            let events = self.events.lock().clone();
            while let Some((kind, payload)) = events.get((sent.max(FIRST_EVENT) - FIRST_EVENT) as usize) {
                sent += 1;
                stream.write_all(&frame(sent, *kind, payload))?;
            }
            if Instant::now() >= next_empty {
                next_empty = Instant::now() + FRAME_INTERVAL;
                stream.write_all(&frame(sent, KIND_EMPTY, &[]))?;
            }
        }
        Ok(())
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
