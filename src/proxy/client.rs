//! One client connection: its streams and timeouts, and the validation of the messages that it sends.

use super::arrival_times::{ArrivalTimes, ReadState, ReceivedMessage};
use super::cancellation_allowance::CancellationAllowance;
use super::deferred_messages::DeferredMessages;
use super::message_buffer::MessageBuffer;
use super::timers::MILLISECOND;
use crate::net::connection::{Connection, State};
use crate::net::event_loop::Ready;
use crate::net::memory::MemoryBudget;
use crate::net::protocol::frames::{self, ClientMessage, Decoder};
use crate::net::protocol::{ClientRequest, Malformed, Response};
use crate::routing::events::{Id, Micros};
use bytes::BytesMut;
use mio::net::TcpStream;
use rustc_hash::{FxHashMap, FxHashSet};

/// Maximum number of open requests on one connection.
const MAX_OPEN_STREAMS: usize = 32;
/// Number of messages after which no more is read from a connection in one turn.
const MAX_MESSAGES_PER_TURN: usize = 256;
/// Size of the write backlog, in bytes, above which reading from the client is paused.
pub(super) const BACKLOG_HIGH_WATER: usize = 1 << 20;
/// Size of the write backlog, in bytes, below which reading resumes.
const BACKLOG_LOW_WATER: usize = 1 << 18;
/// Time after which a client whose machine acknowledges none of its undelivered output is dropped, in microseconds.
pub(super) const DELIVERY_STALL_TIMEOUT: Micros = 8_000 * MILLISECOND;
/// Time after which a connection without open requests is closed, in microseconds. Clients that reuse their
/// connections close them after 4 s.
pub(super) const IDLE_TIMEOUT: Micros = 5_000 * MILLISECOND;
/// Time in which a message must be complete, in microseconds: counted from the accept for the first message,
/// from its first byte for any other.
pub(super) const MESSAGE_TIMEOUT: Micros = 2_000 * MILLISECOND;
/// Extension of [`MESSAGE_TIMEOUT`] while bytes keep arriving, in microseconds. Some clients take 2 s to
/// write a message, and a client that violates the protocol must get its error within 3 s of connecting.
pub(super) const MESSAGE_TIMEOUT_EXTENSION: Micros = 600 * MILLISECOND;
/// Time for which a client that was told of its protocol violation may go on sending, in microseconds, from when its
/// machine has received the error. Its requests are rejected meanwhile.
pub(super) const REFUSED_CLIENT_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// Gap between received bytes from which a partial message no longer counts as arriving, in microseconds.
pub(super) const MESSAGE_STALL_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// Time that a client has to close its side after it got everything and the proxy has closed its own, in
/// microseconds.
pub(super) const CLOSE_TIMEOUT: Micros = 500 * MILLISECOND;

/// A client connection.
pub(super) struct Client {
    pub(super) conn: Connection<TcpStream>,
    last_stream: u32,
    /// Requests that await their response, by stream.
    pub(super) open_streams: FxHashMap<u32, Id>,
    /// Whether the client has been told to send no new request on this connection.
    pub(super) has_sent_going_away: bool,
    /// Allowance for requests that are cancelled after an attempt was started.
    cancellations: CancellationAllowance,
    /// Allowance for requests that are dropped without a response because their cancellation was read with them.
    unread_cancellations: CancellationAllowance,
    /// Number of complete messages received.
    pub(super) message_count: u64,
    /// Start time of the message that is currently awaited: its first byte, or the accept for the first
    /// message.
    pub(super) message_awaited_since: Option<Micros>,
    pub(super) last_used: Micros,
    /// Whether output was undelivered when that was last looked at.
    was_undelivered: bool,
    /// Set once the client has violated the protocol.
    refusal: Option<Refusal>,
    /// Set once the client has closed its side.
    departure: Option<Departure>,
    /// Messages that wait until what the client has sent is read further.
    pub(super) deferred: DeferredMessages,
    decoder: Decoder,
    arrivals: ArrivalTimes,
}

/// State of a connection whose client has violated the protocol: an error was sent, and all further requests are rejected.
/// The connection ends once nothing is open on it.
struct Refusal {
    /// Offset of the end of the error in all output of the connection.
    error_end: u64,
    /// Time at which the client's machine was first seen to have received the error.
    delivered_at: Option<Micros>,
}

/// State of a connection whose client has closed its side. It may still read.
#[derive(Default)]
struct Departure {
    /// Number of requests that were read since, and rejected.
    rejected: usize,
}

/// Messages read in one turn.
pub(super) struct ReceivedMessages {
    pub(super) messages: Vec<ReceivedMessage>,
    /// Error behind the messages, after which no further message can be found.
    pub(super) error: Option<Malformed>,
}

/// A message after validation.
pub(super) struct ValidatedMessage {
    pub(super) received: ReceivedMessage,
    /// Whether the message is a request that is answered at once and not examined further.
    pub(super) is_rejected: bool,
}

/// Messages of one turn after validation, without those that violate the protocol and can't be answered.
#[derive(Default)]
pub(super) struct ValidatedMessages {
    pub(super) messages: Vec<ValidatedMessage>,
    /// First violation of the protocol.
    pub(super) error: Option<Malformed>,
}

/// Streams that the messages of one turn begin and cancel.
struct TurnStreams {
    /// Index of each new request in the list of messages, by stream.
    begun: FxHashMap<u32, usize>,
    cancelled: FxHashSet<u32>,
    open: usize,
}

impl Client {
    pub(super) fn new(stream: TcpStream, now: Micros, memory: &MemoryBudget) -> Self {
        let mut conn = Connection::accepted(stream, now);
        conn.count_memory_in(memory);
        conn.allow_half_open();
        Client {
            conn,
            last_stream: 0,
            open_streams: FxHashMap::default(),
            has_sent_going_away: false,
            cancellations: CancellationAllowance::default(),
            unread_cancellations: CancellationAllowance::default(),
            message_count: 0,
            message_awaited_since: Some(now),
            last_used: now,
            was_undelivered: false,
            refusal: None,
            departure: None,
            deferred: DeferredMessages::default(),
            decoder: Decoder::default(),
            arrivals: ArrivalTimes::default(),
        }
    }

    /// Returns whether the client has no request and its machine has acknowledged all output. To its
    /// client, a request is open until its response was read, and a close could discard what this system has
    /// not delivered.
    pub(super) fn is_idle(&self) -> bool {
        self.open_streams.is_empty() && self.deferred.is_empty() && self.conn.undelivered() == 0
    }

    /// Looks at what the client's machine has acknowledged. The connection counts as used until all output was
    /// seen delivered.
    pub(super) fn update_delivery(&mut self, now: Micros) {
        self.conn.update_delivery(now);
        let is_undelivered = self.conn.undelivered() > 0;
        if self.was_undelivered && !is_undelivered {
            self.last_used = now;
        }
        self.was_undelivered = is_undelivered;
        let delivered = self.conn.queued() - self.conn.undelivered();
        if let Some(refusal) = self.refusal.as_mut().filter(|refusal| delivered >= refusal.error_end) {
            refusal.delivered_at.get_or_insert(now);
        }
    }

    /// Refuses everything that the client sends from now on, and queues the error that tells it so. Requests that are
    /// open are still answered.
    pub(super) fn refuse(&mut self, error: Malformed) {
        self.conn.queue(frames::encode_error(error));
        self.refusal = Some(Refusal { error_end: self.conn.queued(), delivered_at: None });
        self.message_awaited_since = None;
        self.discard_partial_message();
    }

    /// Records that the client has closed its side: it has abandoned its requests. Returns those that are open.
    pub(super) fn record_departure(&mut self) -> FxHashMap<u32, Id> {
        self.departure.get_or_insert_default();
        std::mem::take(&mut self.open_streams)
    }

    /// Returns whether the client has closed its side.
    pub(super) fn is_departing(&self) -> bool {
        self.departure.is_some()
    }

    /// Returns whether the client has closed its side and what it had sent is read, up to as many requests as it could
    /// have open.
    pub(super) fn has_departed(&self) -> bool {
        let has_read_enough =
            |departure: &Departure| self.conn.has_peer_closed() || departure.rejected >= MAX_OPEN_STREAMS;
        self.departure.as_ref().is_some_and(has_read_enough)
    }

    /// Returns whether all further requests of the client are rejected.
    pub(super) fn rejects_all(&self) -> bool {
        self.is_refused() || self.is_departing()
    }

    /// Returns whether the client has violated the protocol and was told so.
    pub(super) fn is_refused(&self) -> bool {
        self.refusal.is_some()
    }

    /// Returns whether the connection of a refused client can end: nothing is open on it, and what was received is
    /// answered. A client that goes on sending has some time to read the error.
    pub(super) fn may_end_refused(&self, now: Micros) -> bool {
        let Some(refusal) = &self.refusal else { return false };
        let is_overdue = |at: Micros| now.saturating_sub(at) >= REFUSED_CLIENT_TIMEOUT;
        let has_had_time = refusal.delivered_at.is_some_and(is_overdue);
        let has_no_request = self.open_streams.is_empty() && self.deferred.is_empty();
        let is_quiet = self.conn.undelivered() == 0 && !self.conn.needs_read();
        self.conn.is_open() && has_no_request && (is_quiet || has_had_time)
    }

    /// Returns whether the client's machine has acknowledged none of the undelivered output for `limit`.
    pub(super) fn is_delivery_stalled(&self, now: Micros, limit: Micros) -> bool {
        let since_progress = now.saturating_sub(self.conn.last_delivery_progress());
        self.conn.undelivered() > 0 && since_progress >= limit
    }

    /// Returns whether the proxy has closed its side and the client, which got everything, has not closed its
    /// own in time.
    pub(super) fn is_close_overdue(&self, now: Micros) -> bool {
        let since_delivery = now.saturating_sub(self.conn.last_delivery_progress());
        let has_finished = self.conn.state() == State::Lingering && self.conn.undelivered() == 0;
        has_finished && since_delivery >= CLOSE_TIMEOUT
    }

    /// Returns whether the client has sent at least one complete message.
    pub(super) fn has_sent_message(&self) -> bool {
        self.message_count > 0
    }

    /// Returns whether the connection is open and the client has never sent a complete message.
    pub(super) fn is_silent(&self) -> bool {
        !self.has_sent_message() && self.conn.is_open()
    }

    /// Reads what the poll has reported. All earlier input was read at `read_through_at`, unless some was left unread.
    pub(super) fn read(&mut self, now: Micros, read_through_at: Micros, event: &Ready) -> ReceivedMessages {
        let decoder = &mut self.decoder;
        let mut buffer = MessageBuffer::new(|bytes: &mut BytesMut| decoder.decode(bytes))
            .limited_to(MAX_MESSAGES_PER_TURN);
        self.conn.ready(now, event.readable, event.writable, &mut buffer);
        let received = buffer.into_received();
        if received.has_received {
            self.record_received(now, received.messages.len());
        }
        let state = ReadState {
            has_partial_message: self.has_partial_message(),
            has_unread_input: self.conn.may_have_unread_input(),
        };
        let messages = self.arrivals.date(read_through_at, received.messages, &state);
        ReceivedMessages { messages, error: received.error }
    }

    /// Updates the times on which the timeouts depend, after a read that brought `messages` complete
    /// messages.
    fn record_received(&mut self, now: Micros, messages: usize) {
        self.last_used = now;
        self.message_count += messages as u64;
        let awaits_more = !self.is_refused() && (!self.has_sent_message() || self.has_partial_message());
        let since = self.message_awaited_since.filter(|_| messages == 0).unwrap_or(now);
        self.message_awaited_since = awaits_more.then_some(since);
    }

    /// Pauses reading while much output is unread, or any while memory is short, and resumes it afterwards: a client that
    /// sends without reading must not make this process hold responses for it.
    pub(super) fn pause_or_resume(&mut self, has_memory: bool) {
        let backlog = self.conn.backlog();
        if backlog > BACKLOG_HIGH_WATER || backlog > 0 && !has_memory {
            self.conn.pause(true);
        } else if backlog < BACKLOG_LOW_WATER {
            self.conn.pause(false);
        }
    }

    /// Returns whether a message is partially received, even if its content is discarded.
    pub(super) fn has_partial_message(&self) -> bool {
        self.conn.is_open() && (self.conn.has_partial_message() || self.decoder.is_discarding())
    }

    /// Releases the memory of a partially received message; its rest is discarded as it arrives.
    pub(super) fn discard_partial_message(&mut self) {
        if self.decoder.discard_message(self.conn.partial_message()) {
            self.conn.release_partial_message();
        }
    }

    /// Records that a response was sent, and returns the request that awaited it.
    pub(super) fn record_response(&mut self, stream: u32, response: &Response) -> Option<Id> {
        if !matches!(response, Response::Rejected { .. }) {
            self.cancellations.record_response();
        }
        self.open_streams.remove(&stream)
    }

    /// Records that the client has cancelled a request for which an attempt was started.
    pub(super) fn record_cancelled_attempt(&mut self, now: Micros) {
        self.cancellations.record_cancellation(now);
    }

    /// Returns the time for which new requests are rejected because many were cancelled, or 0 if they are not.
    pub(super) fn rejects_requests_for(&self, now: Micros) -> Micros {
        self.cancellations.exhausted_for(now)
    }

    /// Validates messages that were read together before any of them is handled, and drops requests that are
    /// cancelled among them. Requests that no client waits for, or that are invalid, must not reach the
    /// endpoints. Messages after a violation are kept, because each complete request is owed a response.
    pub(super) fn validate(
        &mut self,
        now: Micros,
        messages: Vec<ReceivedMessage>,
        check_request: impl Fn(&ClientRequest, Micros) -> Result<(), Malformed>,
    ) -> ValidatedMessages {
        let mut valid = ValidatedMessages::default();
        let mut streams = TurnStreams {
            begun: FxHashMap::default(),
            cancelled: FxHashSet::default(),
            open: self.open_streams.len(),
        };
        for received in messages {
            match &received.message {
                ClientMessage::Ready { .. } => {}
                ClientMessage::Cancel { stream } => {
                    self.record_cancel(now, *stream, &mut streams, &mut valid.messages);
                }
                ClientMessage::Invalid { error } => {
                    valid.error.get_or_insert(*error);
                    continue;
                }
                ClientMessage::DiscardedRequest { stream, .. } => {
                    if let Err(error) = self.begin_stream(*stream) {
                        valid.error.get_or_insert(error);
                        continue;
                    }
                }
                ClientMessage::Request { stream, request } => {
                    if let Err(error) = self.begin_stream(*stream) {
                        valid.error.get_or_insert(error);
                        continue;
                    }
                    if streams.open >= MAX_OPEN_STREAMS {
                        valid.error.get_or_insert(Malformed::TooManyRequests);
                    }
                    if let Err(error) = check_request(request, received.begun_at) {
                        valid.error.get_or_insert(error);
                    }
                    if let Some(departure) = &mut self.departure {
                        departure.rejected += 1;
                    }
                    streams.open += 1;
                    streams.begun.insert(*stream, valid.messages.len());
                }
            }
            valid.messages.push(ValidatedMessage { received, is_rejected: false });
        }
        valid
    }

    /// Records a cancellation, and withdraws its request if that came in the same turn: it is dropped, or, if many
    /// are, rejected. Such requests cost nothing but reading, and many arrive at once after the process was stopped for a
    /// while; but a client that sends nothing else must hear that they are not attempted.
    fn record_cancel(
        &mut self,
        now: Micros,
        stream: u32,
        streams: &mut TurnStreams,
        messages: &mut [ValidatedMessage],
    ) {
        let is_known = streams.begun.contains_key(&stream) || self.open_streams.contains_key(&stream);
        if is_known && streams.cancelled.insert(stream) {
            streams.open -= 1;
        }
        let Some(index) = streams.begun.remove(&stream) else { return };
        if self.unread_cancellations.is_exhausted(now) {
            messages[index].is_rejected = true;
        } else {
            self.unread_cancellations.record_cancellation(now);
            // A cancellation of stream 0, which does not exist, replaces the request, so that the indices of
            // the other messages stay valid.
            messages[index].received.message = ClientMessage::Cancel { stream: 0 };
        }
    }

    /// Begins the stream of a new request.
    fn begin_stream(&mut self, stream: u32) -> Result<(), Malformed> {
        if stream <= self.last_stream {
            return Err(Malformed::StreamReused);
        }
        self.last_stream = stream;
        Ok(())
    }
}
