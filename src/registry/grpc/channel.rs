//! A connection with its calls: starts queued calls as HTTP/2 permits, and collects the events of open calls.

use super::call::{broken_connection, Call};
use super::framing::encode_message;
use super::stream::{BudgetedStream, ReadBudget, WakeFlag};
use crate::registry::status::{code, Status};
use bytes::Bytes;
use h2::client::{self, Connection, SendRequest};
use http::Request;
use std::collections::VecDeque;
use std::future::Future;
use std::io::{Read, Write};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

/// Maximum number of polls within one turn while h2 keeps requesting another poll.
const MAX_POLL_ROUNDS: usize = 64;
/// Flow-control window of each call and of the connection, in bytes.
const WINDOW_BYTES: u32 = 1 << 20;
/// Maximum size of the headers of a response, in bytes.
const MAX_HEADER_BYTES: u32 = 16 << 10;
/// Maximum number of open calls; further calls wait in the queue.
const MAX_OPEN_CALLS: usize = 64;

/// An event on a connection.
#[derive(Debug)]
pub enum ChannelEvent {
    /// A complete message arrived on a call.
    Message {
        /// Number of the call.
        call: u64,
        /// The encoded message.
        bytes: Bytes,
    },
    /// A call ended; no further event follows for it.
    Ended {
        /// Number of the call.
        call: u64,
        /// Final status of the call.
        status: Status,
    },
    /// The connection was closed; the ends of all its calls were reported before.
    Closed {
        /// Why the connection was closed, for the log.
        reason: String,
    },
}

type HandshakeResult<T> = Result<(SendRequest<Bytes>, Connection<BudgetedStream<T>>), h2::Error>;

enum State<T> {
    Handshaking(Pin<Box<dyn Future<Output = HandshakeResult<T>>>>),
    Open(SendRequest<Bytes>, Box<Connection<BudgetedStream<T>>>),
    Closed,
}

/// A call that has not been sent yet.
struct QueuedCall {
    number: u64,
    path: &'static str,
    first_message: Bytes,
    is_last_message: bool,
}

/// An HTTP/2 connection with its queued and open calls.
pub struct Channel<T> {
    state: State<T>,
    authority: String,
    max_message_bytes: usize,
    read_budget: Rc<ReadBudget>,
    wake_flag: Arc<WakeFlag>,
    waker: Waker,
    queued_calls: VecDeque<QueuedCall>,
    open_calls: Vec<Call>,
}

impl<T: Read + Write + Unpin + 'static> Channel<T> {
    /// Begins the HTTP/2 handshake on a connected stream; `authority` is the peer's name in the requests.
    pub fn new(stream: T, authority: String, max_message_bytes: usize) -> Self {
        let read_budget = Rc::<ReadBudget>::default();
        let wake_flag = Arc::<WakeFlag>::default();
        let handshake = client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .max_header_list_size(MAX_HEADER_BYTES)
            .enable_push(false)
            .handshake(BudgetedStream::new(stream, read_budget.clone()));
        Channel {
            state: State::Handshaking(Box::pin(handshake)),
            authority,
            max_message_bytes,
            read_budget,
            waker: Waker::from(wake_flag.clone()),
            wake_flag,
            queued_calls: VecDeque::new(),
            open_calls: Vec::new(),
        }
    }

    /// Queues a call with a number that the caller chooses. `is_last_message` means that no message follows the first
    /// one.
    pub fn call(
        &mut self,
        number: u64,
        path: &'static str,
        first_message: &impl prost::Message,
        is_last_message: bool,
    ) {
        let first_message = encode_message(first_message);
        self.queued_calls.push_back(QueuedCall { number, path, first_message, is_last_message });
    }

    /// Sends a further message on an open call.
    pub fn send(&mut self, number: u64, message: &impl prost::Message) {
        if let Some(call) = self.open_calls.iter_mut().find(|call| call.number == number) {
            call.send(encode_message(message));
        }
    }

    /// Cancels a queued or open call; no further event follows for it.
    pub fn cancel(&mut self, number: u64) {
        self.queued_calls.retain(|call| call.number != number);
        self.open_calls.retain_mut(|call| {
            if call.number == number {
                call.cancel();
            }
            call.number != number
        });
    }

    /// Returns whether the last poll may have left work that can be done at once.
    pub fn wants_turn(&self) -> bool {
        self.read_budget.is_exhausted()
    }

    /// Sends and receives as far as possible without blocking, and appends the resulting events.
    pub fn poll(&mut self, events: &mut Vec<ChannelEvent>) {
        self.read_budget.refill();
        let waker = self.waker.clone();
        let mut context = Context::from_waker(&waker);
        for _ in 0..MAX_POLL_ROUNDS {
            self.wake_flag.clear();
            self.poll_once(&mut context, events);
            if !self.wake_flag.clear() {
                return;
            }
        }
        self.read_budget.mark_exhausted();
    }

    fn poll_once(&mut self, context: &mut Context<'_>, events: &mut Vec<ChannelEvent>) {
        if let State::Handshaking(handshake) = &mut self.state {
            match handshake.as_mut().poll(context) {
                Poll::Pending => return,
                Poll::Ready(Ok((sender, connection))) => {
                    self.state = State::Open(sender, Box::new(connection));
                }
                Poll::Ready(Err(error)) => return self.close(error.to_string(), events),
            }
        }
        self.begin_queued_calls(context, events);
        let State::Open(_, connection) = &mut self.state else { return };
        let closed_reason = match Pin::new(connection).poll(context) {
            Poll::Pending => None,
            Poll::Ready(Ok(())) => Some("the peer closed the connection".to_owned()),
            Poll::Ready(Err(error)) => Some(error.to_string()),
        };
        self.poll_open_calls(context, events);
        if let Some(reason) = closed_reason {
            self.close(reason, events);
        }
    }

    fn poll_open_calls(&mut self, context: &mut Context<'_>, events: &mut Vec<ChannelEvent>) {
        let max_message_bytes = self.max_message_bytes;
        self.open_calls.retain_mut(|call| match call.poll(context, max_message_bytes, events) {
            Poll::Pending => true,
            Poll::Ready(status) => {
                events.push(ChannelEvent::Ended { call: call.number, status });
                false
            }
        });
    }

    fn begin_queued_calls(&mut self, context: &mut Context<'_>, events: &mut Vec<ChannelEvent>) {
        let State::Open(sender, _) = &mut self.state else { return };
        while !self.queued_calls.is_empty() && self.open_calls.len() < MAX_OPEN_CALLS {
            match sender.poll_ready(context) {
                Poll::Pending => return,
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(error)) => {
                    let ended = |queued: QueuedCall| ChannelEvent::Ended {
                        call: queued.number,
                        status: broken_connection(&error),
                    };
                    events.extend(self.queued_calls.drain(..).map(ended));
                    return;
                }
            }
            let Some(queued) = self.queued_calls.pop_front() else { return };
            let number = queued.number;
            match begin_call(sender, &self.authority, queued) {
                Ok(call) => self.open_calls.push(call),
                Err(status) => events.push(ChannelEvent::Ended { call: number, status }),
            }
        }
    }

    fn close(&mut self, reason: String, events: &mut Vec<ChannelEvent>) {
        self.state = State::Closed;
        let open = self.open_calls.drain(..).map(|call| call.number);
        let queued = self.queued_calls.drain(..).map(|call| call.number);
        events.extend(open.chain(queued).map(|call| ChannelEvent::Ended {
            call,
            status: Status::new(code::UNAVAILABLE, reason.clone()),
        }));
        events.push(ChannelEvent::Closed { reason });
    }
}

/// Sends the request of a call with its first message.
fn begin_call(sender: &mut SendRequest<Bytes>, authority: &str, queued: QueuedCall) -> Result<Call, Status> {
    let request = Request::post(format!("http://{authority}{}", queued.path))
        .version(http::Version::HTTP_2)
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(())
        .map_err(|_| Status::new(code::INTERNAL, "the path of the call is invalid"))?;
    let (response, mut requests) =
        sender.send_request(request, false).map_err(|error| broken_connection(&error))?;
    requests
        .send_data(queued.first_message, queued.is_last_message)
        .map_err(|error| broken_connection(&error))?;
    Ok(Call::new(queued.number, response, requests))
}
