//! A client in the doorman's frame protocol that asks, and counts the final answers of each request.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Kinds of frames.
const REQUEST: u8 = 7;
const ANSWER: u8 = 8;

/// One connection of a client's.
pub struct Client {
    stream: TcpStream,
    bytes: Vec<u8>,
    next: u32,
    /// By stream, the codes that came: one for each request that was treated well.
    pub answers: HashMap<u32, Vec<u8>>,
    /// Streams that were answered since the last call of [`Client::hear`] or [`Client::poll`].
    pub fresh: Vec<u32>,
    /// Bodies that came and that nobody has taken yet; kept small by whoever wants them.
    pub bodies: Vec<String>,
}

/// Bodies kept for whoever wants them.
const BODIES: usize = 64;

impl Client {
    /// Connects to a doorman.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Client {
            stream,
            bytes: Vec::new(),
            next: 0,
            answers: HashMap::new(),
            fresh: Vec::new(),
            bodies: Vec::new(),
        })
    }

    /// Sends a request; gives its stream.
    pub fn ask(&mut self, route: &str, trace: u64, object: u64, patience_ms: u64) -> io::Result<u32> {
        self.next += 1;
        let (trace, object, patience) =
            (format!("{trace:016x}"), format!("{object:016x}"), patience_ms.to_string());
        let fields = [
            ("route", route),
            ("trace", &trace),
            ("patience", &patience),
            ("entity", &object),
            ("nth", "0"),
            ("batch", "1"),
            ("size", "10"),
            ("nonce", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        ];
        let mut frame = vec![REQUEST];
        frame.extend(self.next.to_be_bytes());
        frame.push(fields.len() as u8);
        for (name, value) in fields {
            frame.push(name.len() as u8);
            frame.extend(name.as_bytes());
            frame.extend((value.len() as u16).to_be_bytes());
            frame.extend(value.as_bytes());
        }
        self.stream.write_all(&(frame.len() as u32).to_be_bytes())?;
        self.stream.write_all(&frame)?;
        Ok(self.next)
    }

    /// Takes what has come within a span, which the system rounds up to some milliseconds; `false`: the connection
    /// has ended.
    pub fn hear(&mut self, within: Duration) -> io::Result<bool> {
        self.stream.set_nonblocking(false)?;
        self.stream.set_read_timeout(Some(within.max(Duration::from_millis(1))))?;
        self.take()
    }

    /// Takes what has come by now.
    pub fn poll(&mut self) -> io::Result<bool> {
        self.stream.set_nonblocking(true)?;
        let open = self.take();
        self.stream.set_nonblocking(false)?;
        open
    }

    fn take(&mut self) -> io::Result<bool> {
        self.fresh.clear();
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => return Ok(false),
            Ok(n) => self.bytes.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
        while let Some(length) = self.bytes.first_chunk().map(|h| u32::from_be_bytes(*h) as usize) {
            let Some(frame) = self.bytes.get(4..4 + length) else { break };
            if let (ANSWER, Some(stream), Some(&code)) = (frame[0], frame.get(1..5), frame.get(5)) {
                let stream = stream.iter().fold(0, |n, &b| n << 8 | u32::from(b));
                self.answers.entry(stream).or_default().push(code);
                self.fresh.push(stream);
                // The codes have no fields here, but for what comes with the body.
                if let Some(body) =
                    frame.windows(5).position(|w| w == b"from ").filter(|_| self.bodies.len() < BODIES)
                {
                    self.bodies.push(String::from_utf8_lossy(&frame[body..]).into_owned());
                }
            }
            self.bytes.drain(..4 + length);
        }
        Ok(true)
    }
}
