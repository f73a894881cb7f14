//! A tap: between an instance and a registry, it passes everything on and counts bytes and messages of gRPC each way. The
//! heads of TCP and IP are not counted.

use super::{io, LoopbackError};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Most connections; more are closed.
const MOST: usize = 64;
/// Most calls of one connection that are looked into at a time.
const CALLS: usize = 1_024;
/// Between two looks whether it is to end.
const LOOK: Duration = Duration::from_millis(20);
/// What a client's connection begins with.
const PREFACE: usize = 24;
/// The head of a frame of HTTP/2.
const HEAD: usize = 9;
/// The head of a message of gRPC.
const MESSAGE: usize = 5;

/// What has passed one way.
#[derive(Debug, Default)]
pub struct Way {
    /// Bytes.
    pub bytes: AtomicU64,
    /// Messages of gRPC.
    pub messages: AtomicU64,
}

/// What has passed.
#[derive(Debug, Default)]
pub struct Passed {
    /// To the registry.
    pub up: Way,
    /// From it.
    pub down: Way,
    /// Connections taken.
    pub connections: AtomicU64,
}

/// What had passed at a moment: bytes up, messages up, bytes down, messages down.
pub type Counts = [u64; 4];

impl Passed {
    /// All at once.
    pub fn counts(&self) -> Counts {
        let of = |n: &AtomicU64| n.load(Ordering::Relaxed);
        [of(&self.up.bytes), of(&self.up.messages), of(&self.down.bytes), of(&self.down.messages)]
    }
}

/// Reads frames as they pass.
#[derive(Debug)]
pub struct Frames {
    skip: usize,
    head: Vec<u8>,
    /// The call, and bytes of its frame that are still to come, if the frame carries messages.
    frame: Option<(u32, bool)>,
    left: usize,
    /// Of each call the message that is under way: its head so far, and bytes that are still to come.
    calls: BTreeMap<u32, (Vec<u8>, usize)>,
}

impl Frames {
    /// Of a connection's one way; `up`: the client's.
    pub fn new(up: bool) -> Self {
        let skip = if up { PREFACE } else { 0 };
        Frames { skip, head: Vec::with_capacity(HEAD), frame: None, left: 0, calls: BTreeMap::new() }
    }

    /// Takes what passes; how many messages have begun in it.
    pub fn take(&mut self, mut bytes: &[u8]) -> u64 {
        let mut messages = 0;
        let cut = self.skip.min(bytes.len());
        self.skip -= cut;
        bytes = &bytes[cut..];
        while !bytes.is_empty() {
            if self.left > 0 {
                let (part, rest) = bytes.split_at(self.left.min(bytes.len()));
                self.left -= part.len();
                bytes = rest;
                if let Some((call, _)) = self.frame {
                    messages += self.payload(call, part);
                }
            } else {
                let (part, rest) = bytes.split_at((HEAD - self.head.len()).min(bytes.len()));
                self.head.extend_from_slice(part);
                bytes = rest;
                if self.head.len() == HEAD {
                    self.begin();
                }
            }
            if self.left == 0 && self.head.is_empty() {
                if let Some((call, true)) = self.frame.take() {
                    self.calls.remove(&call);
                }
            }
        }
        messages
    }

    fn begin(&mut self) {
        let [a, b, c, kind, flags, d, e, f, g] = self.head[..] else { return };
        self.left = usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c);
        let call = u32::from_be_bytes([d, e, f, g]) & 0x7fff_ffff;
        // Frames of data; a reset ends its call as well.
        self.frame = match kind {
            0 => Some((call, flags & 1 > 0)),
            3 => {
                self.calls.remove(&call);
                None
            }
            _ => None,
        };
        self.head.clear();
    }

    fn payload(&mut self, call: u32, mut bytes: &[u8]) -> u64 {
        if self.calls.len() >= CALLS && !self.calls.contains_key(&call) {
            return 0;
        }
        let (head, left) = self.calls.entry(call).or_default();
        let mut messages = 0;
        while !bytes.is_empty() {
            if *left > 0 {
                let cut = (*left).min(bytes.len());
                *left -= cut;
                bytes = &bytes[cut..];
            } else {
                let (part, rest) = bytes.split_at((MESSAGE - head.len()).min(bytes.len()));
                head.extend_from_slice(part);
                bytes = rest;
                if let [_, a, b, c, d] = head[..] {
                    *left = u32::from_be_bytes([a, b, c, d]) as usize;
                    head.clear();
                    messages += 1;
                }
            }
        }
        messages
    }
}

/// A running tap. It ends when this is dropped.
pub struct Tap {
    /// Where it listens.
    pub address: SocketAddr,
    /// What has passed.
    pub passed: Arc<Passed>,
    end: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Tap {
    /// One before this registry.
    ///
    /// # Errors
    /// No port is free.
    pub fn start(server: SocketAddr) -> Result<Self, LoopbackError> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(io("tap"))?;
        let address = listener.local_addr().map_err(io("tap"))?;
        listener.set_nonblocking(true).map_err(io("tap"))?;
        let (passed, end) = (Arc::<Passed>::default(), Arc::<AtomicBool>::default());
        let (counts, over) = (passed.clone(), end.clone());
        let thread = std::thread::spawn(move || {
            let mut threads: Vec<JoinHandle<()>> = Vec::new();
            while !over.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((client, _)) if threads.len() < 2 * MOST => {
                        counts.connections.fetch_add(1, Ordering::Relaxed);
                        threads.extend(join(client, server, &counts, &over).into_iter().flatten());
                    }
                    Ok(_) => {}
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
            threads.into_iter().for_each(|t| drop(t.join()));
        });
        Ok(Tap { address, passed, end, thread: Some(thread) })
    }
}

impl Drop for Tap {
    fn drop(&mut self) {
        self.end.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn join(
    client: TcpStream,
    server: SocketAddr,
    passed: &Arc<Passed>,
    end: &Arc<AtomicBool>,
) -> std::io::Result<[JoinHandle<()>; 2]> {
    let server = TcpStream::connect(server)?;
    for stream in [&client, &server] {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LOOK))?;
    }
    let one = |from: TcpStream, to: TcpStream, up: bool| {
        let (passed, end) = (passed.clone(), end.clone());
        std::thread::spawn(move || copy(from, to, if up { &passed.up } else { &passed.down }, up, &end))
    };
    Ok([one(client.try_clone()?, server.try_clone()?, true), one(server, client, false)])
}

fn copy(mut from: TcpStream, mut to: TcpStream, way: &Way, up: bool, end: &AtomicBool) {
    let (mut frames, mut buffer) = (Frames::new(up), vec![0; 64 << 10]);
    while !end.load(Ordering::SeqCst) {
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => {
                if to.write_all(&buffer[..n]).is_err() {
                    break;
                }
                way.bytes.fetch_add(n as u64, Ordering::Relaxed);
                way.messages.fetch_add(frames.take(&buffer[..n]), Ordering::Relaxed);
            }
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
