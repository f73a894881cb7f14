//! Admission of client connections: accepting them from the listener, and evicting connections when the
//! connection limit or the descriptors are used up.

use super::client::Client;
use super::timers::{TimerEvent, MILLISECOND};
use super::Proxy;
use crate::net::accept::{self, Failure};
use crate::routing::events::Micros;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use slog::warn;
use std::io;

/// Maximum number of connections accepted in one turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Maximum number of times that each connection is considered for eviction to make room for a new one.
const MAX_EVICTION_ROUNDS: usize = 3;
/// Time after which a client whose machine acknowledges none of its undelivered output may be dropped to make room for
/// another, in microseconds.
pub(super) const EVICTION_STALL_TIMEOUT: Micros = 2_000 * MILLISECOND;
/// Delay before accepting again after a failed accept, in microseconds.
const ACCEPT_RETRY_PAUSE: Micros = 20 * MILLISECOND;

/// Listening socket for clients.
pub(super) struct ClientListener {
    pub(super) token: Token,
    pub(super) socket: TcpListener,
    /// Accepted connections that could not be registered with the poll yet.
    pub(super) unregistered: Vec<TcpStream>,
    /// Whether a timer for the next try is set.
    is_retry_scheduled: bool,
}

impl ClientListener {
    pub(super) fn new(token: Token, socket: TcpListener) -> Self {
        ClientListener { token, socket, unregistered: Vec::new(), is_retry_scheduled: false }
    }
}

impl Proxy {
    /// Accepts waiting connections, up to the maximum for one turn.
    pub(super) fn accept(&mut self) {
        if !self.lifecycle.accepts_connections() {
            return;
        }
        for stream in std::mem::take(&mut self.listener.unregistered) {
            self.admit(stream);
        }
        let mut accepted = 0;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match self.listener.socket.accept() {
                Ok((stream, _)) => {
                    accepted += 1;
                    self.admit(stream);
                }
                Err(error) => match accept::classify(&error) {
                    Failure::Empty => return,
                    Failure::ConnectionLost => self.metrics.accept_failures += 1,
                    reason @ (Failure::NoDescriptor | Failure::NoResources) => {
                        if let Some(suppressed) = self.log_limits.accept_failures.admit(self.now) {
                            warn!(self.log, "accept failed"; "error" => %error, "suppressed" => suppressed);
                        }
                        return self.accept_failed(reason);
                    }
                },
            }
        }
        if accepted == 0 {
            // Every accept failed: retrying without a pause would leave no time for other work.
            self.schedule_accept();
        } else {
            self.unfinished_reads.push(self.listener.token);
        }
    }

    /// Accepts again after the timer set by [`Proxy::schedule_accept`] has fired.
    pub(super) fn retry_accept(&mut self) {
        self.listener.is_retry_scheduled = false;
        self.accept();
    }

    /// Admits an accepted connection. A connection that can't be registered with the poll now is kept for the
    /// next try, because requests on it count as received once the system has accepted the connection.
    fn admit(&mut self, mut stream: TcpStream) {
        // This fails if the peer has already disconnected, which the poll will report.
        let _ = stream.set_nodelay(true);
        match self.event_loop.add(&mut stream, Interest::READABLE | Interest::WRITABLE) {
            Ok(token) => {
                if self.make_room() {
                    self.clients.insert(token, Client::new(stream, self.now, &self.memory));
                }
            }
            Err(error) => self.keep_unregistered(stream, &error),
        }
    }

    fn keep_unregistered(&mut self, stream: TcpStream, error: &io::Error) {
        if let Some(suppressed) = self.log_limits.accept_failures.admit(self.now) {
            warn!(self.log, "accepted connection not registered yet"; "error" => %error, "suppressed" => suppressed);
        }
        if self.listener.unregistered.len() < MAX_ACCEPTS_PER_TURN {
            self.listener.unregistered.push(stream);
        }
        self.schedule_accept();
    }

    /// Schedules the next accept after a failed one, because no event reports connections that are still
    /// waiting. If descriptors ran out, an idle connection is closed first.
    pub(super) fn accept_failed(&mut self, reason: Failure) {
        self.metrics.accept_failures += 1;
        if reason == Failure::NoDescriptor {
            self.free_descriptor();
        }
        self.schedule_accept();
    }

    /// Schedules the next accept after a pause. At most one timer is set: each new connection causes a
    /// readiness event, and a timer for each of them would leave no time for other work.
    fn schedule_accept(&mut self) {
        if !self.listener.is_retry_scheduled {
            self.listener.is_retry_scheduled = true;
            self.timers.set(self.now + ACCEPT_RETRY_PAUSE, TimerEvent::AcceptRetry);
        }
    }

    /// Closes the least useful connections until there is room for one more. Where silent connections have
    /// reached their limit, the oldest of them are closed first, then the connections that have been idle for
    /// longest, then those whose clients have stopped reading. Returns `false` if all connections are in use. This way, hundreds of clients that connect at
    /// once, or that send one request and stay connected, lock out neither other clients nor the other users
    /// of descriptors.
    pub(super) fn make_room(&mut self) -> bool {
        self.limit_silent_clients();
        // The number of steps is bounded, because clients may keep sending while they are being read.
        let max_steps = MAX_EVICTION_ROUNDS * (self.clients.len() + 1);
        for step in 0..max_steps {
            let (all, ending) = (self.clients.len(), self.clients.ending());
            let has_room = all < self.bounds.clients
                || ending <= self.bounds.closing && all < self.bounds.clients + ending;
            if has_room {
                return true;
            }
            if step == 0 {
                self.clients.update_deliveries(self.now);
            }
            let is_changed = ending > self.bounds.closing && self.drop_expendable_ending()
                || self.evict_idle_client()
                || self.drop_stalled_client();
            if !is_changed {
                break;
            }
        }
        self.metrics.rejected_clients += 1;
        false
    }

    /// Closes the least useful connection unless a message has arrived on it. Returns `false` if no
    /// connection is idle. After each call one connection is closing, has just been used, or is known to have
    /// a partial message.
    fn evict_idle_client(&mut self) -> bool {
        let Some((token, had_partial)) = self.clients.least_useful() else { return false };
        let is_in_use = self.read_client(token);
        if !is_in_use && self.is_still_idle(token, had_partial) {
            self.finish_client(token);
            self.metrics.evicted_idle_clients += 1;
        }
        true
    }

    /// Drops the closing connection that has made no delivery progress for longest, unless it still delivers.
    fn drop_expendable_ending(&mut self) -> bool {
        let expendable = self.clients.expendable_ending(self.now, EVICTION_STALL_TIMEOUT);
        expendable.inspect(|&token| self.drop_client(token)).is_some()
    }

    /// Drops the connection whose client has not read its responses for longest, if that is long enough.
    fn drop_stalled_client(&mut self) -> bool {
        let stalled = self.clients.stalled_without_requests(self.now, EVICTION_STALL_TIMEOUT);
        if let Some(token) = stalled {
            self.metrics.evicted_idle_clients += 1;
            self.drop_client(token);
        }
        stalled.is_some()
    }

    /// Closes the oldest silent connections until their number is below the limit.
    fn limit_silent_clients(&mut self) {
        while self.clients.silent() >= self.bounds.silent_clients {
            let Some(token) = self.clients.oldest_silent() else { return };
            // After this read the client has sent a message, or its connection is closing.
            self.read_client(token);
            if self.clients.get(&token).is_some_and(Client::is_silent) {
                self.metrics.evicted_silent_clients += 1;
                self.finish_client(token);
            }
        }
    }

    /// Frees a descriptor by closing the least useful connection: that of an idle client, or else an idle
    /// upstream connection, or else that of a client that has stopped reading. Returns `false` if all are in use. A client connection with unread input is kept,
    /// because dials free descriptors in the middle of other work, when messages can't be handled.
    pub(super) fn free_descriptor(&mut self) -> bool {
        self.clients.update_deliveries(self.now);
        if let Some(token) = self.clients.least_useful_without_input() {
            self.metrics.evicted_idle_clients += 1;
            self.drop_client(token);
            return true;
        }
        let idle = self.pool.idle_for(self.now, 0).first().copied();
        match idle {
            Some(token) => self.close_upstream(token),
            None => return self.drop_stalled_client(),
        }
        true
    }
}
