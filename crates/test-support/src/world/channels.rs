//! The command channel of each instance: what has changed in the list of servers is told when the test says so.

use super::servers::{Kind, Spec};
use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Between two looks at the connections.
const LOOK: Duration = Duration::from_millis(10);
/// Between two frames that tell nothing.
const BEAT: Duration = Duration::from_secs(1);

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It serves.
    Ready,
    /// It finishes its work.
    Draining,
    /// It is gone.
    Gone,
}

/// One change of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The server.
    pub spec: Spec,
    /// Where the instance reaches it.
    pub address: SocketAddr,
    /// What it is now.
    pub listed: EndpointState,
    /// Unix millisecond of a late start, or 0.
    pub started_ms: u64,
}

impl Change {
    fn record(&self) -> Vec<u8> {
        let id = u32::from_str_radix(self.spec.id.trim_start_matches("s-"), 16).unwrap_or_default();
        let ip = match self.address.ip() {
            IpAddr::V4(ip) => ip.octets(),
            IpAddr::V6(_) => [0; 4],
        };
        let kind = [Kind::Box, Kind::Parent, Kind::Archive].iter().position(|k| *k == self.spec.kind);
        let mut record = [&id.to_be_bytes()[..], &ip, &self.address.port().to_be_bytes()].concat();
        record.extend([self.listed as u8, self.spec.zone as u8, kind.unwrap_or_default() as u8, 0, 0]);
        record.extend(((self.spec.capacity * 1000.0) as u32).to_be_bytes());
        record.extend(self.started_ms.to_be_bytes());
        record
    }
}

/// The frames told to each instance, which have the numbers from 2 on: 1 is in its configuration.
type Told = Arc<Mutex<Vec<Vec<Vec<u8>>>>>;

/// The channels, while they run.
pub struct Channels {
    /// Where each instance's is.
    pub addresses: Vec<SocketAddr>,
    told: Told,
    down: Arc<AtomicBool>,
    end: Arc<AtomicBool>,
}

impl Channels {
    /// One for each of so many instances.
    pub fn start(instances: usize) -> io::Result<Self> {
        let addresses: Vec<SocketAddr> = (0..instances).map(|_| crate::processes::free(9379)).collect();
        let mut listeners = Some(listen(&addresses)?);
        let told: Told = Arc::new(Mutex::new(vec![Vec::new(); instances]));
        let end = Arc::<AtomicBool>::default();
        let down = Arc::<AtomicBool>::default();
        let (frames, over, is_down) = (told.clone(), end.clone(), down.clone());
        let bound_to = addresses.clone();
        std::thread::spawn(move || {
            let mut conns = Vec::new();
            while !over.load(Ordering::SeqCst) {
                if is_down.load(Ordering::SeqCst) {
                    listeners = None;
                    conns.clear();
                } else if listeners.is_none() {
                    listeners = listen(&bound_to).ok();
                }
                for (instance, listener) in listeners.iter().flatten().enumerate() {
                    conns.extend(listener.accept().ok().and_then(|(s, _)| Conn::new(instance, s).ok()));
                }
                let frames = frames.lock().unwrap_or_else(PoisonError::into_inner);
                conns.retain_mut(|c: &mut Conn| c.tell(&frames[c.instance]).is_ok());
                drop(frames);
                std::thread::sleep(LOOK);
            }
        });
        Ok(Channels { addresses, told, down, end })
    }

    /// Takes all channels down, so that connections end and dials are refused, or brings them back.
    pub fn set_down(&self, is_down: bool) {
        self.down.store(is_down, Ordering::SeqCst);
    }

    /// Tells one instance of changes.
    pub fn tell(&self, instance: usize, changes: &[Change]) {
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let number = told[instance].len() as u64 + 2;
        told[instance].push(frame(number, 2, &changes.iter().flat_map(Change::record).collect::<Vec<_>>()));
    }
}

impl Drop for Channels {
    fn drop(&mut self) {
        self.end.store(true, Ordering::SeqCst);
    }
}

fn listen(addresses: &[SocketAddr]) -> io::Result<Vec<TcpListener>> {
    let listeners = addresses.iter().map(TcpListener::bind).collect::<io::Result<Vec<_>>>()?;
    listeners.iter().try_for_each(|listener| listener.set_nonblocking(true))?;
    Ok(listeners)
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = 9 + payload.len() as u32;
    [&length.to_be_bytes()[..], &number.to_be_bytes(), &[kind], payload].concat()
}

struct Conn {
    instance: usize,
    stream: TcpStream,
    /// The number of the last event that the instance has.
    has: u64,
    beat: Option<Instant>,
}

impl Conn {
    fn new(instance: usize, mut stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(false)?;
        stream.set_read_timeout(Some(BEAT))?;
        stream.set_write_timeout(Some(BEAT))?;
        let mut has = [0; 8];
        stream.read_exact(&mut has)?;
        Ok(Conn { instance, stream, has: u64::from_be_bytes(has), beat: None })
    }

    fn tell(&mut self, frames: &[Vec<u8>]) -> io::Result<()> {
        for frame in frames.iter().skip(self.has.saturating_sub(1) as usize) {
            self.stream.write_all(frame)?;
            self.has += 1;
        }
        if self.beat.is_none_or(|b| b.elapsed() >= BEAT) {
            self.stream.write_all(&frame(self.has, 0, &[]))?;
            self.beat = Some(Instant::now());
        }
        Ok(())
    }
}
