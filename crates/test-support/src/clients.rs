//! A client in the instance's frame protocol that asks, and counts the final answers of each request.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Kinds of frames.
const FORGET: u8 = 9;
const REQUEST: u8 = 7;
const ANSWER: u8 = 8;
const LEAVING: u8 = 3;

/// What a request asks for.
#[derive(Clone, Debug, Default)]
pub struct Wish<'a> {
    /// The class.
    pub route: &'a str,
    /// New with every request.
    pub trace: u64,
    /// The object.
    pub object: u64,
    /// The part of the object.
    pub part: u64,
    /// The size of the part in KB.
    pub size_kb: f64,
    /// How long the client waits, in milliseconds.
    pub patience_ms: u64,
    /// The idempotency key; empty: none.
    pub nonce: &'a str,
    /// What is written.
    pub body: &'a [u8],
}

/// An answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// The stream of the request.
    pub stream: u32,
    /// The code.
    pub code: u8,
    /// Milliseconds that the client is to stay away.
    pub pause_ms: Option<u64>,
}

/// One connection of a client's.
pub struct Client {
    stream: TcpStream,
    bytes: Vec<u8>,
    next: u32,
    /// By stream, the codes that came: one for each request that was treated well.
    pub answers: HashMap<u32, Vec<u8>>,
    /// Streams that were answered since the last call of [`Client::hear`] or [`Client::poll`].
    pub fresh: Vec<u32>,
    /// The answers that came since then.
    pub heard: Vec<Heard>,
    /// The instance takes no new request on this connection.
    pub is_left: bool,
    /// Bodies that came and that nobody has taken yet; kept small by whoever wants them.
    pub bodies: Vec<String>,
}

/// Bodies kept for whoever wants them.
const BODIES: usize = 64;

impl Client {
    /// Connects to an instance.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Client {
            stream,
            bytes: Vec::new(),
            next: 0,
            answers: HashMap::new(),
            fresh: Vec::new(),
            heard: Vec::new(),
            is_left: false,
            bodies: Vec::new(),
        })
    }

    /// Sends a request of 10 KB; gives its stream.
    pub fn ask(&mut self, route: &str, trace: u64, object: u64, patience_ms: u64) -> io::Result<u32> {
        let nonce = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
        let size_kb = 10.0;
        self.wish(&Wish { route, trace, object, size_kb, patience_ms, nonce, ..Wish::default() })
    }

    /// Sends a request; gives its stream.
    pub fn wish(&mut self, wish: &Wish) -> io::Result<u32> {
        self.next += 1;
        let text = [
            format!("{:016x}", wish.trace),
            wish.patience_ms.to_string(),
            format!("{:016x}", wish.object),
            wish.part.to_string(),
            (wish.object % 256).to_string(),
            wish.size_kb.to_string(),
        ];
        let names = ["trace", "patience", "entity", "nth", "batch", "size"];
        let mut fields = vec![("route", wish.route)];
        fields.extend(names.into_iter().zip(text.iter().map(String::as_str)));
        fields.extend(Some(("nonce", wish.nonce)).filter(|n| !n.1.is_empty()));
        let mut frame = vec![REQUEST];
        frame.extend(self.next.to_be_bytes());
        frame.push(fields.len() as u8);
        for (name, value) in fields {
            frame.push(name.len() as u8);
            frame.extend(name.as_bytes());
            frame.extend((value.len() as u16).to_be_bytes());
            frame.extend(value.as_bytes());
        }
        frame.extend(wish.body);
        self.stream.write_all(&(frame.len() as u32).to_be_bytes())?;
        self.stream.write_all(&frame)?;
        Ok(self.next)
    }

    /// Says that nobody waits for a stream any more.
    pub fn forget(&mut self, stream: u32) -> io::Result<()> {
        let mut frame = 5u32.to_be_bytes().to_vec();
        frame.push(FORGET);
        frame.extend(stream.to_be_bytes());
        self.stream.write_all(&frame)
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
        self.heard.clear();
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
                self.heard.push(Heard { stream, code, pause_ms: pause(&frame[6..]) });
                // The codes have no fields here, but for what comes with the body.
                if let Some(body) =
                    frame.windows(5).position(|w| w == b"from ").filter(|_| self.bodies.len() < BODIES)
                {
                    self.bodies.push(String::from_utf8_lossy(&frame[body..]).into_owned());
                }
            }
            self.is_left |= frame[0] == LEAVING;
            self.bytes.drain(..4 + length);
        }
        Ok(true)
    }
}

/// The pause that the fields of an answer advise.
fn pause(fields: &[u8]) -> Option<u64> {
    let (&[size], rest) = fields.get(1..)?.split_first_chunk()?;
    let value = rest.get(usize::from(size)..)?.strip_prefix(&[0])?;
    let (&[length], value) = value.split_first_chunk()?;
    let is_pause = fields[0] > 0 && rest.starts_with(b"pause");
    std::str::from_utf8(value.get(..usize::from(length))?).ok().filter(|_| is_pause)?.parse().ok()
}
