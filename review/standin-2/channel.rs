//! The command channel: numbered events, an empty frame each second.

use crate::base::{Record, Res};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const EMPTY: u8 = 0;
const PURGE_OBJECT: u8 = 3;
const BEAT: Duration = Duration::from_secs(1);

/// One depot in the list of the start.
pub struct Entry {
    pub id: u32,
    pub address: SocketAddr,
    pub zone: u8,
    pub kind: u8,
    pub weight: u32,
}

type Event = (u8, Vec<u8>);

#[derive(Default)]
struct State {
    /// The events from number `first` on.
    events: Vec<Event>,
    first: u64,
}

/// The command channel of one run.
#[derive(Clone)]
pub struct Channel {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    /// Time from a doorman's first bytes to the first frame.
    first_frame_after: Duration,
    record: Record,
}

impl Channel {
    /// Starts a channel whose next event has the number `first`, and which is slow to begin on each connection.
    pub fn start(first: u64, first_frame_after_ms: u64, record: &Record) -> Res<Channel> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = Arc::new((Mutex::new(State { events: Vec::new(), first }), Condvar::new()));
        let channel = Channel {
            address: listener.local_addr()?,
            state,
            first_frame_after: Duration::from_millis(first_frame_after_ms),
            record: record.clone(),
        };
        let serving = channel.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let channel = serving.clone();
                std::thread::spawn(move || channel.serve(stream));
            }
        });
        Ok(channel)
    }

    pub fn tell_purge(&self, object: u64, when_ms: u64) {
        let payload = [object.to_be_bytes(), when_ms.to_be_bytes()].concat();
        self.tell((PURGE_OBJECT, payload));
    }

    fn tell(&self, event: Event) {
        let (lock, changed) = &*self.state;
        if let Ok(mut state) = lock.lock() {
            let number = state.first + state.events.len() as u64;
            self.record.line(&format!("channel event={number} kind={}", event.0));
            state.events.push(event);
            changed.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut cursor = [0; 8];
        if stream.read_exact(&mut cursor).is_err() {
            return;
        }
        let mut last = u64::from_be_bytes(cursor);
        self.record.line(&format!("channel connected cursor={last}"));
        std::thread::sleep(self.first_frame_after);
        let mut next_beat = Instant::now();
        loop {
            let (events, number) = self.after(last, next_beat);
            for (kind, payload) in events {
                last += 1;
                if write(&mut stream, last, kind, &payload).is_err() {
                    return;
                }
            }
            if Instant::now() >= next_beat {
                next_beat = Instant::now() + BEAT;
                if write(&mut stream, number, EMPTY, &[]).is_err() {
                    return;
                }
            }
        }
    }

    /// Waits for events after `last`, or for the time of the next empty frame.
    fn after(&self, last: u64, until: Instant) -> (Vec<Event>, u64) {
        let (lock, changed) = &*self.state;
        let Ok(mut state) = lock.lock() else { return (Vec::new(), last) };
        loop {
            let newest = state.first + state.events.len() as u64 - 1;
            let wait = until.saturating_duration_since(Instant::now());
            if newest > last || wait.is_zero() {
                let known = last.max(state.first - 1) - (state.first - 1);
                return (state.events.iter().skip(known as usize).cloned().collect(), newest.max(last));
            }
            match changed.wait_timeout(state, wait) {
                Ok((again, _)) => state = again,
                Err(_) => return (Vec::new(), last),
            }
        }
    }
}

fn write(stream: &mut TcpStream, number: u64, kind: u8, payload: &[u8]) -> std::io::Result<()> {
    let mut frame = (9 + payload.len() as u32).to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(kind);
    frame.extend(payload);
    stream.write_all(&frame)
}
