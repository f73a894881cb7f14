//! gRPC over HTTP/2 on one connection of the loop's.
//!
//! h2 does the framing. Its futures are polled here whenever the socket is ready or h2 itself asks for it: there
//! is no runtime and no thread. What comes is handed over as whole messages and ends of calls; bounds hold for a
//! message's size and for the bytes that are read in one turn.

#[cfg(test)]
mod tests;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::client::{self, Connection, ResponseFuture, SendRequest};
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Request};
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::Future;
use std::io::{self, ErrorKind, Read, Write};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes read in one turn: then others have theirs.
const TURN: usize = 128 * 1024;
/// How often h2 may ask to be polled again within one turn.
const ROUNDS: usize = 64;
/// Bytes that may be on their way to us, on one call and on all of them.
const WINDOW: u32 = 1 << 20;
/// Most bytes of headers.
const HEADERS: u32 = 16 << 10;
/// Most calls that are open at a time.
const CALLS: usize = 64;
/// A message's head: whether it is compressed, and its length.
const HEAD: usize = 5;

/// What budget a turn has left, shared with what reads.
#[derive(Debug, Default)]
pub struct Budget {
    left: Cell<usize>,
    spent: Cell<bool>,
}

/// A non-blocking stream as h2 wants to see it. It wakes nobody: its owner polls when the loop tells of it.
#[derive(Debug)]
pub struct Io<T> {
    stream: T,
    budget: Rc<Budget>,
}

impl<T> Io<T> {
    /// Round a stream.
    pub fn new(stream: T, budget: Rc<Budget>) -> Self {
        Io { stream, budget }
    }
}

impl Budget {
    /// A new turn.
    pub fn refill(&self) {
        self.left.set(TURN);
        self.spent.set(false);
    }

    /// Whether there may be more to read than this turn took.
    pub fn is_spent(&self) -> bool {
        self.spent.get()
    }
}

fn again<R>(result: io::Result<R>) -> Poll<io::Result<R>> {
    match result {
        Err(e) if e.kind() == ErrorKind::WouldBlock => Poll::Pending,
        other => Poll::Ready(other),
    }
}

impl<T: Read + Unpin> AsyncRead for Io<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.budget.left.get();
        if left == 0 {
            self.budget.spent.set(true);
            return Poll::Pending;
        }
        let room = buf.remaining().min(left);
        let got = loop {
            match self.stream.read(buf.initialize_unfilled_to(room)) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        again(got).map_ok(|n| {
            buf.advance(n);
            self.budget.left.set(left - n);
        })
    }
}

impl<T: Write + Unpin> AsyncWrite for Io<T> {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            match self.stream.write(bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                other => return again(other),
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        again(self.stream.flush())
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Whether h2 has asked to be polled again.
#[derive(Debug, Default)]
pub struct Asked(AtomicBool);

impl Wake for Asked {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl Asked {
    /// Whether it has, since the last call.
    pub fn take(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}

/// Codes of gRPC that matter here.
pub mod code {
    /// Done.
    pub const OK: u32 = 0;
    /// Something that has no code.
    pub const UNKNOWN: u32 = 2;
    /// The time was up.
    pub const DEADLINE_EXCEEDED: u32 = 4;
    /// Too much of something; here also a message that is too large.
    pub const RESOURCE_EXHAUSTED: u32 = 8;
    /// What was asked for is not there any more, or not yet.
    pub const OUT_OF_RANGE: u32 = 11;
    /// What came makes no sense.
    pub const INTERNAL: u32 = 13;
    /// Nobody answers; also a connection that broke.
    pub const UNAVAILABLE: u32 = 14;
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The code of gRPC; 0: well.
    pub code: u32,
    /// What the other end says of it.
    pub message: String,
}

impl Status {
    /// One of these.
    pub fn new(code: u32, message: impl Into<String>) -> Self {
        Status { code, message: message.into() }
    }

    fn of(headers: &HeaderMap) -> Option<Self> {
        let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
        let code = text("grpc-status")?.parse().unwrap_or(code::UNKNOWN);
        let message = text("grpc-message").unwrap_or_default();
        Some(Status::new(code, message.chars().take(200).collect::<String>()))
    }

    fn broken(e: &h2::Error) -> Self {
        Status::new(code::UNAVAILABLE, e.to_string())
    }
}

impl std::fmt::Display for Status {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "status {}: {}", self.code, self.message)
    }
}

/// What has come.
#[derive(Debug)]
pub enum Heard {
    /// A whole message on a call.
    Message(u64, Bytes),
    /// The end of a call. Nothing more comes on it.
    Ended(u64, Status),
    /// The end of the connection; all calls have ended with it.
    Closed(String),
}

type Handshake<T> = Pin<Box<dyn Future<Output = Result<(SendRequest<Bytes>, Connection<Io<T>>), h2::Error>>>>;

enum State<T> {
    Shaking(Handshake<T>),
    Open(SendRequest<Bytes>, Box<Connection<Io<T>>>),
    Closed,
}

/// A call that waits to be begun.
struct Begin {
    number: u64,
    path: &'static str,
    first: Bytes,
    last: bool,
}

struct Call {
    number: u64,
    answer: Option<ResponseFuture>,
    out: SendStream<Bytes>,
    body: Option<RecvStream>,
    bytes: BytesMut,
}

/// A connection with its calls.
pub struct Channel<T> {
    state: State<T>,
    authority: String,
    most_message: usize,
    budget: Rc<Budget>,
    asked: Arc<Asked>,
    waker: Waker,
    begin: VecDeque<Begin>,
    calls: Vec<Call>,
}

/// A message as it goes over the wire.
pub fn frame(message: &impl prost::Message) -> Bytes {
    let length = message.encoded_len();
    let mut bytes = BytesMut::with_capacity(HEAD + length);
    bytes.put_u8(0);
    bytes.put_u32(length as u32);
    // Can't fail: the buffer grows as needed.
    let _ = message.encode(&mut bytes);
    bytes.freeze()
}

/// Takes one message off the front of `bytes`, or leaves them as they are if it is not whole yet.
pub fn unframe(bytes: &mut BytesMut, most: usize) -> Result<Option<Bytes>, Status> {
    let Some(&[flag, a, b, c, d]) = bytes.first_chunk() else { return Ok(None) };
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    if flag != 0 {
        return Err(Status::new(code::INTERNAL, "a compressed message that was not asked for"));
    }
    // Judged before the rest is awaited: a mad length must not make us gather bytes for it.
    if length > most {
        let what = format!("a message of {length} bytes, {most} may be");
        return Err(Status::new(code::RESOURCE_EXHAUSTED, what));
    }
    if bytes.len() < HEAD + length {
        return Ok(None);
    }
    bytes.advance(HEAD);
    Ok(Some(bytes.split_to(length).freeze()))
}

impl<T: Read + Write + Unpin + 'static> Channel<T> {
    /// Round a stream that is connected; `authority` names the other end.
    pub fn new(stream: T, authority: String, most_message: usize) -> Self {
        let budget = Rc::<Budget>::default();
        let asked = Arc::<Asked>::default();
        let io = Io::new(stream, budget.clone());
        let handshake = client::Builder::new()
            .initial_window_size(WINDOW)
            .initial_connection_window_size(WINDOW)
            .max_header_list_size(HEADERS)
            .enable_push(false)
            .handshake(io);
        Channel {
            state: State::Shaking(Box::pin(handshake)),
            authority,
            most_message,
            budget,
            waker: Waker::from(asked.clone()),
            asked,
            begin: VecDeque::new(),
            calls: Vec::new(),
        }
    }

    /// Begins a call with its first message; `last`: there will be no other. The number is the caller's.
    pub fn call(&mut self, number: u64, path: &'static str, first: &impl prost::Message, last: bool) {
        self.begin.push_back(Begin { number, path, first: frame(first), last });
    }

    /// Sends a further message on a call.
    pub fn send(&mut self, number: u64, message: &impl prost::Message) {
        if let Some(call) = self.calls.iter_mut().find(|c| c.number == number) {
            // A call that has ended says so by itself.
            let _ = call.out.send_data(frame(message), false);
        }
    }

    /// Gives a call up.
    pub fn cancel(&mut self, number: u64) {
        self.begin.retain(|b| b.number != number);
        self.calls.retain_mut(|c| {
            if c.number == number {
                c.out.send_reset(h2::Reason::CANCEL);
            }
            c.number != number
        });
    }

    /// Whether there may be more to do than one turn took.
    pub fn wants_turn(&self) -> bool {
        self.budget.is_spent()
    }

    /// Does what can be done now; appends what has come.
    pub fn poll(&mut self, heard: &mut Vec<Heard>) {
        self.budget.refill();
        let waker = self.waker.clone();
        let mut cx = Context::from_waker(&waker);
        for _ in 0..ROUNDS {
            self.asked.take();
            self.step(&mut cx, heard);
            if !self.asked.take() {
                return;
            }
        }
        self.budget.spent.set(true);
    }

    fn step(&mut self, cx: &mut Context<'_>, heard: &mut Vec<Heard>) {
        if let State::Shaking(handshake) = &mut self.state {
            match handshake.as_mut().poll(cx) {
                Poll::Pending => return,
                Poll::Ready(Ok((send, connection))) => self.state = State::Open(send, Box::new(connection)),
                Poll::Ready(Err(e)) => return self.close(heard, e.to_string()),
            }
        }
        self.begin_calls(cx, heard);
        let State::Open(_, connection) = &mut self.state else { return };
        let ended = match Pin::new(connection).poll(cx) {
            Poll::Pending => None,
            Poll::Ready(Ok(())) => Some("the other end closed".to_owned()),
            Poll::Ready(Err(e)) => Some(e.to_string()),
        };
        let most = self.most_message;
        self.calls.retain_mut(|call| match call.poll(cx, most, heard) {
            Poll::Pending => true,
            Poll::Ready(status) => {
                heard.push(Heard::Ended(call.number, status));
                false
            }
        });
        if let Some(why) = ended {
            self.close(heard, why);
        }
    }

    fn begin_calls(&mut self, cx: &mut Context<'_>, heard: &mut Vec<Heard>) {
        let State::Open(send, _) = &mut self.state else { return };
        while !self.begin.is_empty() && self.calls.len() < CALLS {
            match send.poll_ready(cx) {
                Poll::Pending => return,
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(e)) => {
                    let ended = |b: Begin| Heard::Ended(b.number, Status::broken(&e));
                    heard.extend(self.begin.drain(..).map(ended));
                    return;
                }
            }
            let Some(begin) = self.begin.pop_front() else { return };
            let request = Request::post(format!("http://{}{}", self.authority, begin.path))
                .version(http::Version::HTTP_2)
                .header("content-type", "application/grpc")
                .header("te", "trailers")
                .body(());
            let Ok(request) = request else {
                let status = Status::new(code::INTERNAL, "the call's path can't be used");
                heard.push(Heard::Ended(begin.number, status));
                continue;
            };
            let begun = send.send_request(request, false).and_then(|(answer, mut out)| {
                out.send_data(begin.first, begin.last)?;
                Ok((answer, out))
            });
            match begun {
                Ok((answer, out)) => self.calls.push(Call {
                    number: begin.number,
                    answer: Some(answer),
                    out,
                    body: None,
                    bytes: BytesMut::new(),
                }),
                Err(e) => heard.push(Heard::Ended(begin.number, Status::broken(&e))),
            }
        }
    }

    fn close(&mut self, heard: &mut Vec<Heard>, why: String) {
        self.state = State::Closed;
        let numbers = self.calls.drain(..).map(|c| c.number).chain(self.begin.drain(..).map(|b| b.number));
        heard.extend(numbers.map(|n| Heard::Ended(n, Status::new(code::UNAVAILABLE, why.clone()))));
        heard.push(Heard::Closed(why));
    }
}

impl Call {
    fn poll(&mut self, cx: &mut Context<'_>, most: usize, heard: &mut Vec<Heard>) -> Poll<Status> {
        if let Some(answer) = &mut self.answer {
            let answer = match Pin::new(answer).poll(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(e)) => return Poll::Ready(Status::broken(&e)),
                Poll::Ready(Ok(answer)) => answer,
            };
            self.answer = None;
            if answer.status() != http::StatusCode::OK {
                return Poll::Ready(Status::new(
                    code::UNAVAILABLE,
                    format!("HTTP status {}", answer.status()),
                ));
            }
            if let Some(status) = Status::of(answer.headers()) {
                return Poll::Ready(status);
            }
            self.body = Some(answer.into_body());
        }
        let Some(body) = &mut self.body else { return Poll::Pending };
        loop {
            match body.poll_data(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Err(e))) => return Poll::Ready(Status::broken(&e)),
                Poll::Ready(None) => break,
                Poll::Ready(Some(Ok(data))) => {
                    self.bytes.extend_from_slice(&data);
                    // What is held is bounded by the size of a message; room is made as it is used.
                    let _ = body.flow_control().release_capacity(data.len());
                    loop {
                        match unframe(&mut self.bytes, most) {
                            Ok(None) => break,
                            Ok(Some(message)) => heard.push(Heard::Message(self.number, message)),
                            Err(status) => {
                                self.out.send_reset(h2::Reason::CANCEL);
                                return Poll::Ready(status);
                            }
                        }
                    }
                    if self.bytes.is_empty() {
                        self.bytes = BytesMut::new();
                    }
                }
            }
        }
        if !self.bytes.is_empty() {
            return Poll::Ready(Status::new(code::INTERNAL, "the answer ended in the middle of a message"));
        }
        match body.poll_trailers(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(Some(trailers))) => {
                let lacks = || Status::new(code::UNKNOWN, "the answer's end tells no status");
                Poll::Ready(Status::of(&trailers).unwrap_or_else(lacks))
            }
            Poll::Ready(Ok(None)) => Poll::Ready(Status::new(code::UNAVAILABLE, "the answer broke off")),
            Poll::Ready(Err(e)) => Poll::Ready(Status::broken(&e)),
        }
    }
}
