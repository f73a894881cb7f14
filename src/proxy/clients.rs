//! Client connections: reading and handling messages, writing responses, and closing.
//!
//! [`super::client`] holds the state of one connection; [`super::client_table`] owns the connections and selects
//! among them; [`super::client_admission`] accepts and evicts them, and [`super::requests`] holds the requests
//! received on them.

use super::arrival_times::ReceivedMessage;
use super::client::{Client, ValidatedMessage};
use super::request_checks::check_request;
use super::timers::MILLISECOND;
use super::unfinished_reads::work_of;
use super::Proxy;
use crate::net::connection::State;
use crate::net::event_loop::Ready;
use crate::net::memory::MemoryUse;
use crate::net::protocol::frames::{self, ClientMessage};
use crate::net::protocol::{ClientRequest, Malformed, Response};
use crate::routing::events::Micros;
use mio::Token;
use slog::warn;

impl Proxy {
    /// Handles readiness of a client connection.
    pub(super) fn client_ready(&mut self, event: Ready) {
        let token = event.token;
        let Some(client) = self.clients.get_mut(&token) else { return };
        let received = client.read(self.now, self.polled_before, &event);
        self.unfinished_reads.record_work(work_of(&received.messages));
        if matches!(client.conn.state(), State::Closed(_)) {
            return self.drop_client(token);
        }
        if event.read_closed || client.conn.has_peer_closed() {
            self.record_departure(token);
        }
        self.discard_partial_messages();
        if received.error.is_none() && self.defers_messages(token, &received.messages) {
            return self.defer_messages(token, received.messages);
        }
        let Some(client) = self.clients.get_mut(&token) else { return };
        let messages = client.deferred.take_with(received.messages);
        let now = self.now;
        let mut valid = client.validate(now, messages, |request, begun_at| {
            let class_lookup = self.classes.find(begun_at, &request.route);
            let may_lack_key = self.classes.recently_allowed_no_key(begun_at, &request.route);
            check_request(request, self.request_limits.at(begun_at), class_lookup, may_lack_key)
        });
        let is_refused = client.is_refused();
        let error = valid.error.or(received.error).filter(|_| !is_refused);
        if client.rejects_all() || error.is_some() {
            // Nothing that arrives in the turn of a protocol violation, or later, goes on to an endpoint.
            valid.messages.iter_mut().for_each(|message| message.is_rejected = true);
        }
        self.handle_messages(token, valid.messages);
        match error {
            Some(error) => self.refuse_client(token, error),
            None => self.flush_client(token),
        }
        if self.clients.get(&token).is_some_and(Client::has_departed) {
            self.finish_client(token);
        }
    }

    /// Ends the open requests of a client that has closed its side. It has abandoned them, so no attempt is made any
    /// more; but it may still read, and then each of them has a response.
    fn record_departure(&mut self, token: Token) {
        let Some(client) = self.clients.get_mut(&token) else { return };
        for (stream, id) in client.record_departure() {
            self.write_unadmitted(token, stream, &Response::Failed);
            self.abandon_request(id);
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
    /// be unread, or may still be on its way because the receive buffer was full. Requests that are rejected in any case
    /// need not wait.
    fn defers_messages(&self, token: Token, received: &[ReceivedMessage]) -> bool {
        let Some(client) = self.clients.get(&token) else { return false };
        let may_admit = self.lifecycle.admits_requests(self.now) && !client.rejects_all();
        let may_defer = client.conn.needs_read() && may_admit;
        may_defer && client.deferred.may_grow(received, &self.memory)
    }

    fn defer_messages(&mut self, token: Token, received: Vec<ReceivedMessage>) {
        let Some(client) = self.clients.get_mut(&token) else { return };
        client.deferred.extend(received, &self.memory);
        self.unfinished_reads.push(token);
    }

    fn handle_messages(&mut self, token: Token, messages: Vec<ValidatedMessage>) {
        for ValidatedMessage { received, is_rejected } in messages {
            let rejected_for =
                self.clients.get(&token).map_or(0, |client| client.rejects_requests_for(self.now));
            match received.message {
                ClientMessage::Request { stream, request } if is_rejected => {
                    self.reject_request(token, stream, &request, 0);
                }
                ClientMessage::Request { stream, request } if rejected_for > 0 => {
                    self.metrics.requests_after_cancellations += 1;
                    self.reject_request(token, stream, &request, rejected_for);
                }
                _ => self.handle_message(token, received),
            }
            // Each message is handled after the router has handled the one before it.
            self.process_events();
        }
    }

    fn flush_client(&mut self, token: Token) {
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
            // Validation has removed it and reported its error.
            ClientMessage::Invalid { .. } => {}
            ClientMessage::Ready { stream } => client.conn.queue(frames::encode_ready(stream, is_ready)),
            ClientMessage::Cancel { stream } => self.cancel_request(token, stream),
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
        if let Some(route) = route {
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

    /// Tells a client that it has violated the protocol. Requests admitted before are still answered, each within its
    /// own deadline, and those that arrive later are rejected, because a complete request whose connection ends without a
    /// response counts as lost. The connection is closed once none is open.
    fn refuse_client(&mut self, token: Token, error: Malformed) {
        self.metrics.client_protocol_errors += 1;
        let open = self.clients.get(&token).map(|client| client.open_streams.len());
        if let Some(suppressed) = self.log_limits.client_errors.admit(self.now) {
            warn!(self.log, "client violated the protocol"; "reason" => %error, "open_requests" => open,
                  "suppressed" => suppressed);
        }
        let Some(client) = self.clients.get_mut(&token) else { return };
        client.refuse(error);
        self.flush_client(token);
    }

    /// Answers a request that is owed a response, but for which no attempt is made. A rejection promises that nothing
    /// has run, which is unknown if the request's id came before.
    fn reject_request(&mut self, token: Token, stream: u32, request: &ClientRequest, retry_after: Micros) {
        self.count_rejected(&request.route);
        let response = if self.may_have_run(request) {
            Response::Failed
        } else {
            let retry_after = retry_after.min(self.settings.limits.max_retry_after_us);
            Response::Rejected { retry_after_ms: retry_after.div_ceil(MILLISECOND) }
        };
        self.write_unadmitted(token, stream, &response);
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

    /// Closes the connection of a client that has violated the protocol, after handling the input that had arrived.
    fn finish_refused_client(&mut self, token: Token) {
        self.read_client(token);
        if self.clients.get(&token).is_some_and(|client| client.may_end_refused(self.now)) {
            self.finish_client(token);
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
        for token in expired.refused {
            self.finish_refused_client(token);
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
