//! Client connections: reading and handling messages, writing responses, and closing.
//!
//! [`super::client_table`] owns the connections and selects among them; [`super::client_admission`] accepts
//! and evicts them, and [`super::requests`] holds the requests received on them.

use super::arrival_times::{ArrivalTimes, ReadState, ReceivedMessage};
use super::deferred_messages::DeferredMessages;
use super::message_buffer::MessageBuffer;
use super::timers::MILLISECOND;
use super::unfinished_reads::work_of;
use super::Proxy;
use crate::config::settings::{ClassLookup, RequestLimits, MAX_TIME_US};
use crate::net::connection::{Connection, State};
use crate::net::event_loop::Ready;
use crate::net::memory::{MemoryBudget, MemoryUse};
use crate::net::protocol::frames::{self, ClientMessage, Decoder};
use crate::net::protocol::{ClientRequest, Malformed, Response};
use crate::routing::events::{Id, Idempotency, Micros};
use bytes::BytesMut;
use mio::net::TcpStream;
use mio::Token;
use rustc_hash::{FxHashMap, FxHashSet};
use slog::warn;

const MICROS_PER_S: f64 = 1e6;
/// Maximum number of open requests on one connection.
const MAX_OPEN_STREAMS: usize = 32;
/// Number of messages after which no more is read from a connection in one turn.
const MAX_MESSAGES_PER_TURN: usize = 256;
/// Maximum number of requests of one connection that may be cancelled in excess of those answered.
pub(super) const MAX_UNANSWERED_CANCELS: u32 = 64;
/// Maximum client timeout and transfer time, as a multiple of the deadline of the request's class.
const MAX_TIMEOUT_FACTOR: u64 = 4;
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
    /// Number of requests cancelled, less those answered since.
    unanswered_cancels: u32,
    /// Number of complete messages received.
    message_count: u64,
    /// Start time of the message that is currently awaited: its first byte, or the accept for the first
    /// message.
    pub(super) message_awaited_since: Option<Micros>,
    pub(super) last_used: Micros,
    /// Whether output was undelivered when that was last looked at.
    was_undelivered: bool,
    /// Protocol violation after which nothing more is read. The error is sent as the last message, once all
    /// open requests are answered.
    protocol_error: Option<Malformed>,
    /// Messages that wait until what the client has sent is read further.
    pub(super) deferred: DeferredMessages,
    decoder: Decoder,
    arrivals: ArrivalTimes,
}

/// Messages of one turn, up to the first that violates the protocol.
#[derive(Default)]
struct ReceivedMessages {
    messages: Vec<ReceivedMessage>,
    error: Option<Malformed>,
}

/// Streams that the messages of one turn begin and cancel.
struct TurnStreams {
    /// Index of each new request in the list of messages, by stream.
    begun: FxHashMap<u32, usize>,
    cancelled: FxHashSet<u32>,
    open: usize,
    /// Whether a cancellation of a request that began in the same turn has been counted.
    has_counted_begun: bool,
}

impl Client {
    pub(super) fn new(stream: TcpStream, now: Micros, memory: &MemoryBudget) -> Self {
        let mut conn = Connection::accepted(stream, now);
        conn.count_memory_in(memory);
        Client {
            conn,
            last_stream: 0,
            open_streams: FxHashMap::default(),
            has_sent_going_away: false,
            unanswered_cancels: 0,
            message_count: 0,
            message_awaited_since: Some(now),
            last_used: now,
            was_undelivered: false,
            protocol_error: None,
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
    fn read(&mut self, now: Micros, read_through_at: Micros, event: &Ready) -> ReceivedMessages {
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
        let awaits_more = !self.has_sent_message() || self.has_partial_message();
        let since = self.message_awaited_since.filter(|_| messages == 0).unwrap_or(now);
        self.message_awaited_since = awaits_more.then_some(since);
    }

    /// Pauses reading while much output is unread, or any while memory is short, and resumes it afterwards: a client that
    /// sends without reading must not make this process hold responses for it.
    fn pause_or_resume(&mut self, has_memory: bool) {
        let backlog = self.conn.backlog();
        if backlog > BACKLOG_HIGH_WATER || backlog > 0 && !has_memory {
            self.conn.pause(true);
        } else if backlog < BACKLOG_LOW_WATER {
            self.conn.pause(false);
        }
    }

    /// Returns whether a message is partially received, even if its content is discarded.
    pub(super) fn has_partial_message(&self) -> bool {
        self.conn.has_partial_message() || self.decoder.is_discarding()
    }

    /// Releases the memory of a partially received message; its rest is discarded as it arrives.
    pub(super) fn discard_partial_message(&mut self) {
        if self.decoder.discard_message(self.conn.partial_message()) {
            self.conn.release_partial_message();
        }
    }

    /// Records that a response was sent, and returns the request that awaited it.
    pub(super) fn record_response(&mut self, stream: u32) -> Option<Id> {
        self.unanswered_cancels = self.unanswered_cancels.saturating_sub(1);
        self.open_streams.remove(&stream)
    }

    /// Validates messages that were read together before any of them is handled, and drops requests that are
    /// cancelled among them. Requests that no client waits for, or that are invalid, must not reach the
    /// endpoints.
    fn validate(
        &mut self,
        messages: Vec<ReceivedMessage>,
        check_request: impl Fn(&ClientRequest, Micros) -> Result<(), Malformed>,
    ) -> ReceivedMessages {
        let mut valid = ReceivedMessages::default();
        let mut streams = TurnStreams {
            begun: FxHashMap::default(),
            cancelled: FxHashSet::default(),
            open: self.open_streams.len(),
            has_counted_begun: false,
        };
        for received in messages {
            match &received.message {
                ClientMessage::Ready { .. } => {}
                ClientMessage::Cancel { stream } => {
                    self.record_cancel(*stream, &mut streams, &mut valid.messages);
                    if self.unanswered_cancels > MAX_UNANSWERED_CANCELS {
                        valid.error = Some(Malformed::TooManyCancels);
                    }
                }
                ClientMessage::DiscardedRequest { stream, .. } => {
                    if let Err(error) = self.begin_stream(*stream, streams.open) {
                        valid.error = Some(error);
                        return valid;
                    }
                }
                ClientMessage::Request { stream, request } => {
                    let checked = self.begin_stream(*stream, streams.open);
                    if let Err(error) = checked.and_then(|()| check_request(request, received.begun_at)) {
                        valid.error = Some(error);
                        return valid;
                    }
                    streams.open += 1;
                    streams.begun.insert(*stream, valid.messages.len());
                }
            }
            valid.messages.push(received);
            if valid.error.is_some() {
                break;
            }
        }
        valid
    }

    /// Counts a cancellation, and drops its request if that came in the same turn. All such requests of one
    /// turn count as one, because they cost nothing but reading, and many arrive at once after the process
    /// was stopped for a while.
    fn record_cancel(&mut self, stream: u32, streams: &mut TurnStreams, messages: &mut [ReceivedMessage]) {
        let is_known = streams.begun.contains_key(&stream) || self.open_streams.contains_key(&stream);
        let is_first = is_known && streams.cancelled.insert(stream);
        if is_first {
            streams.open -= 1;
        }
        if let Some(index) = streams.begun.remove(&stream) {
            // A cancellation of stream 0, which does not exist, replaces the request, so that the indices of
            // the other messages stay valid.
            messages[index].message = ClientMessage::Cancel { stream: 0 };
            self.unanswered_cancels += u32::from(!std::mem::replace(&mut streams.has_counted_begun, true));
        } else if is_first {
            self.unanswered_cancels += 1;
        }
    }

    /// Begins the stream of a new request on a connection with `open` open requests.
    fn begin_stream(&mut self, stream: u32, open: usize) -> Result<(), Malformed> {
        if stream <= self.last_stream {
            return Err(Malformed::StreamReused);
        }
        self.last_stream = stream;
        if open >= MAX_OPEN_STREAMS {
            return Err(Malformed::TooManyRequests);
        }
        Ok(())
    }
}

/// Returns the maximum client timeout for a class with this deadline.
fn longest_timeout(deadline: Micros) -> Micros {
    deadline.saturating_mul(MAX_TIMEOUT_FACTOR)
}

/// Returns the transfer time of a response of this size, in microseconds, or 0 if the settings contain no
/// transfer rate.
fn transfer_time_us(size_kb: f64, transfer_rate_kb_per_s: f64) -> f64 {
    if transfer_rate_kb_per_s > 0.0 {
        size_kb / transfer_rate_kb_per_s * MICROS_PER_S
    } else {
        0.0
    }
}

/// Returns whether a transfer of this size ends within the maximum client timeout of a class with this
/// deadline. A request that is too large is well-formed and is rejected without closing the connection.
pub(super) fn can_transfer_in_time(size_kb: f64, deadline: Micros, limits: RequestLimits) -> bool {
    transfer_time_us(size_kb, limits.transfer_rate_kb_per_s) <= longest_timeout(deadline) as f64
}

/// Checks that a request's class is configured and that its values are in range. `may_lack_key` allows a
/// missing idempotency key, because the request may have been made when the settings did not require one.
fn check_request(
    request: &ClientRequest,
    limits: RequestLimits,
    class_lookup: ClassLookup,
    may_lack_key: bool,
) -> Result<(), Malformed> {
    let (class, deadline) = match class_lookup {
        ClassLookup::Found { deadline, class, .. } => (class, deadline),
        ClassLookup::Dropped => return Ok(()),
        ClassLookup::Unknown => return Err(Malformed::UnknownRoute),
    };
    if request.timeout_ms == 0 || request.timeout_ms.saturating_mul(MILLISECOND) > longest_timeout(deadline) {
        return Err(Malformed::TimeoutRange);
    }
    if transfer_time_us(request.size_kb, limits.transfer_rate_kb_per_s) > MAX_TIME_US as f64 {
        return Err(Malformed::SizeRange);
    }
    if class.idempotency == Idempotency::WithKey && request.idempotency_key.is_none() && !may_lack_key {
        return Err(Malformed::MissingIdempotencyKey);
    }
    Ok(())
}

impl Proxy {
    /// Handles readiness of a client connection.
    pub(super) fn client_ready(&mut self, event: Ready) {
        let token = event.token;
        let Some(client) = self.clients.get_mut(&token) else { return };
        let received = client.read(self.now, self.polled_before, &event);
        self.unfinished_reads.record_work(work_of(&received.messages));
        // A client that closes its side has abandoned all its requests, including those just received. It is
        // sent an error only if it violated the protocol.
        let has_disconnected =
            event.read_closed && client.conn.is_open() || matches!(client.conn.state(), State::Closed(_));
        if has_disconnected {
            return self.drop_client(token);
        }
        self.discard_partial_messages();
        if received.error.is_none() && self.defers_messages(token, &received.messages) {
            return self.defer_messages(token, received.messages);
        }
        let Some(client) = self.clients.get_mut(&token) else { return };
        let messages = client.deferred.take_with(received.messages);
        let valid = client.validate(messages, |request, begun_at| {
            let class_lookup = self.classes.find(begun_at, &request.route);
            let may_lack_key = self.classes.recently_allowed_no_key(begun_at, &request.route);
            check_request(request, self.request_limits.at(begun_at), class_lookup, may_lack_key)
        });
        if let Some(error) = valid.error.or(received.error) {
            self.reject_messages(token, valid.messages);
            self.refuse_client(token, error);
        } else {
            self.handle_messages(token, valid.messages);
        }
        let Some(client) = self.clients.get(&token) else { return };
        if client.conn.is_discarding() && (event.read_closed || client.conn.has_peer_closed()) {
            self.finish_client(token);
        }
    }

    /// Reads and handles input that no event has reported yet, so that complete requests are handled even
    /// when their connection is about to be closed. Returns whether a complete message had arrived: the
    /// connection is then in use, even if everything was answered at once.
    pub(super) fn read_client(&mut self, token: Token) -> bool {
        let message_count = |proxy: &Proxy| proxy.clients.get(&token).map(|client| client.message_count);
        let before = message_count(self);
        self.client_ready(Ready { token, readable: true, writable: false, read_closed: false });
        message_count(self) != before
    }

    /// Returns whether messages wait for the rest of the input: the cancellation of a request among them may
    /// be unread, or may still be on its way because the receive buffer was full.
    fn defers_messages(&self, token: Token, received: &[ReceivedMessage]) -> bool {
        let Some(client) = self.clients.get(&token) else { return false };
        client.conn.needs_read() && client.deferred.may_grow(received, &self.memory)
    }

    fn defer_messages(&mut self, token: Token, received: Vec<ReceivedMessage>) {
        let Some(client) = self.clients.get_mut(&token) else { return };
        client.deferred.extend(received, &self.memory);
        self.unfinished_reads.push(token);
    }

    fn handle_messages(&mut self, token: Token, messages: Vec<ReceivedMessage>) {
        for message in messages {
            self.handle_message(token, message);
            // Each message is handled after the router has handled the one before it.
            self.process_events();
        }
        if let Some(client) = self.clients.get_mut(&token) {
            client.conn.flush(self.now);
        }
        self.after_client_write(token);
    }

    fn handle_message(&mut self, token: Token, received: ReceivedMessage) {
        let ReceivedMessage { begun_at, message } = received;
        let is_ready = self.lifecycle.is_ready();
        let Some(client) = self.clients.get_mut(&token) else { return };
        match message {
            ClientMessage::Ready { stream } => client.conn.queue(frames::encode_ready(stream, is_ready)),
            ClientMessage::Cancel { stream } => {
                if let Some(id) = client.open_streams.remove(&stream) {
                    self.abandon_request(id);
                }
            }
            ClientMessage::DiscardedRequest { stream, route } => {
                self.reject_discarded_request(token, stream, route.as_deref());
            }
            ClientMessage::Request { stream, request } => {
                if self.lifecycle.sends_going_away() {
                    self.send_going_away(token);
                }
                // Writing the notice may have shown that the client has disconnected.
                if !self.clients.contains(&token) {
                    return;
                }
                self.admit_request(token, stream, *request, begun_at);
            }
        }
    }

    /// Rejects a request whose content was discarded while it arrived.
    fn reject_discarded_request(&mut self, token: Token, stream: u32, route: Option<&str>) {
        let known = route.filter(|route| self.classes.find(self.now, route) != ClassLookup::Unknown);
        if let Some(route) = known {
            self.count_rejected(route);
        }
        self.metrics.discarded_requests += 1;
        let retry_after_ms = self.settings.limits.max_retry_after_us / MILLISECOND;
        self.write_unadmitted(token, stream, &Response::Rejected { retry_after_ms });
    }

    /// Updates a connection after a write: closes it where it has ended, pauses or resumes reading by the
    /// size of its backlog, and schedules unread input.
    pub(super) fn after_client_write(&mut self, token: Token) {
        let Some(client) = self.clients.get_mut(&token) else { return };
        match client.conn.state() {
            State::Closed(_) => self.drop_client(token),
            State::Discarding if client.open_streams.is_empty() => self.finish_client(token),
            _ => {
                client.pause_or_resume(self.memory.allows(MemoryUse::PartialMessage, 0));
                if client.conn.needs_read() {
                    self.unfinished_reads.push(token);
                }
            }
        }
    }

    /// Stops reading from a client that violated the protocol. Requests admitted before are still answered,
    /// each within its own deadline, because a request whose connection ends without a response counts as
    /// lost. Then the error is sent and the connection is closed.
    fn refuse_client(&mut self, token: Token, error: Malformed) {
        self.metrics.client_protocol_errors += 1;
        let open = self.clients.get(&token).map(|client| client.open_streams.len());
        if let Some(suppressed) = self.log_limits.client_errors.admit(self.now) {
            warn!(self.log, "client violated the protocol"; "reason" => %error, "open_requests" => open,
                  "suppressed" => suppressed);
        }
        let Some(client) = self.clients.get_mut(&token) else { return };
        client.conn.discard_input();
        client.message_awaited_since = None;
        client.protocol_error = Some(error);
        client.conn.flush(self.now);
        self.after_client_write(token);
    }

    /// Rejects the requests that arrived in the same turn as a protocol violation of their client. Each of
    /// them is owed a response, but no attempt is made for them.
    fn reject_messages(&mut self, token: Token, messages: Vec<ReceivedMessage>) {
        for received in messages {
            match received.message {
                ClientMessage::Request { stream, request } => {
                    self.count_rejected(&request.route);
                    if !self.clients.contains(&token) {
                        return;
                    }
                    self.write_unadmitted(token, stream, &Response::Rejected { retry_after_ms: 0 });
                }
                _ => self.handle_message(token, received),
            }
        }
    }

    /// Returns whether a client is still idle after its input was read, and no message has begun to arrive
    /// apart from the one that was partial before (`had_partial`).
    pub(super) fn is_still_idle(&self, token: Token, had_partial: bool) -> bool {
        let is_idle = |client: &Client| client.is_idle() && (had_partial || !client.has_partial_message());
        self.clients.get(&token).is_some_and(is_idle)
    }

    /// Closes an idle connection unless input has arrived meanwhile. After a request the connection stays
    /// open, since a further request that is under way would cross the close.
    pub(super) fn finish_idle_client(&mut self, token: Token) {
        let is_in_use = self.read_client(token);
        if !is_in_use && self.is_still_idle(token, false) {
            return self.finish_client(token);
        }
        if let Some(client) = self.clients.get_mut(&token) {
            // A partial message counts as use; its own timeout applies.
            client.last_used = self.now;
        }
    }

    /// Closes a connection that accepts no more requests, after handling the input that had arrived.
    fn finish_client_for_shutdown(&mut self, token: Token) {
        self.read_client(token);
        if self.is_still_idle(token, true) {
            self.finish_client(token);
        }
    }

    /// Writes the pending output, closes the proxy's side, and removes the connection once the client has
    /// closed its own. A client whose requests cross the close sends them again on another connection.
    pub(super) fn finish_client(&mut self, token: Token) {
        let Some(client) = self.clients.get_mut(&token) else { return };
        if let Some(error) = client.protocol_error.take() {
            client.conn.queue(frames::encode_error(error));
        }
        client.conn.finish(self.now);
        for (_, id) in std::mem::take(&mut client.open_streams) {
            self.abandon_request(id);
        }
        self.after_client_write(token);
    }

    /// Closes a connection at once and abandons its open requests.
    pub(super) fn drop_client(&mut self, token: Token) {
        let Some(client) = self.clients.remove(&token) else { return };
        for (_, id) in client.open_streams {
            self.abandon_request(id);
        }
    }

    /// Handles timeouts that no event reports: idle connections, messages that are not completed, and clients
    /// that do not read.
    pub(super) fn sweep_clients(&mut self) {
        self.clients.update_deliveries(self.now);
        let expired = self.clients.expired(self.now, &self.lifecycle);
        for token in expired.stalled {
            self.drop_client(token);
        }
        for token in expired.idle {
            self.finish_idle_client(token);
        }
        for token in expired.closing_for_shutdown {
            self.finish_client_for_shutdown(token);
        }
        for token in self.clients.with_overdue_message(self.now) {
            // Input that waits for its turn is read first: it may complete the message.
            if !self.unfinished_reads.contains(&token) {
                self.refuse_client(token, Malformed::MessageTimeout);
            }
        }
    }
}
