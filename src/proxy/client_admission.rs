//! Which client connections there are: accepted from the listener, and evicted where places or descriptors run out.

use super::clients::Client;
use super::timers::{TimerEvent, MILLISECOND};
use super::Proxy;
use crate::net::accept::{self, Failure};
use crate::routing::events::Micros;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use slog::warn;
use std::io;

/// Connections accepted in one turn.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// How often each connection may be looked at to make room for one.
const MAX_EVICTION_ROUNDS: usize = 3;
/// Pause after an accept that failed.
const ACCEPT_RETRY_PAUSE: Micros = 20 * MILLISECOND;

/// The socket on which clients connect.
pub(super) struct ClientListener {
    pub(super) token: Token,
    pub(super) socket: TcpListener,
    /// Accepted connections that the poll could not take yet.
    pub(super) unregistered: Vec<TcpStream>,
    /// A timer for the next try is set already.
    is_retry_scheduled: bool,
}

impl ClientListener {
    pub(super) fn new(token: Token, socket: TcpListener) -> Self {
        ClientListener { token, socket, unregistered: Vec::new(), is_retry_scheduled: false }
    }
}

impl Proxy {
    /// Accepts who waits, as many as one turn takes.
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
                Err(error) => match accept::failure(&error) {
                    Failure::Empty => return,
                    Failure::Next => self.metrics.accept_failures += 1,
                    reason @ (Failure::NoDescriptor | Failure::Later) => {
                        warn!(self.log, "accept failed"; "error" => %error);
                        return self.accept_failed(reason);
                    }
                },
            }
        }
        if accepted == 0 {
            // Each try failed at once: without a pause they would leave time for nothing else.
            self.schedule_accept();
        } else if !self.unfinished_reads.contains(&self.listener.token) {
            self.unfinished_reads.push(self.listener.token);
        }
    }

    /// A timer for the next try has fired.
    pub(super) fn retry_accept(&mut self) {
        self.listener.is_retry_scheduled = false;
        self.accept();
    }

    /// Takes a connection. One that the poll can't register now is kept for the next try: requests on it count as
    /// taken once the machine has accepted it.
    fn admit(&mut self, mut stream: TcpStream) {
        // It fails where the peer has gone already, which the poll will report.
        let _ = stream.set_nodelay(true);
        match self.event_loop.add(&mut stream, Interest::READABLE | Interest::WRITABLE) {
            Ok(token) => {
                if self.make_room() {
                    self.clients.insert(token, Client::new(stream, self.now));
                }
            }
            Err(error) => self.keep_unregistered(stream, &error),
        }
    }

    fn keep_unregistered(&mut self, stream: TcpStream, error: &io::Error) {
        warn!(self.log, "accepted connection not registered yet"; "error" => %error);
        if self.listener.unregistered.len() < MAX_ACCEPTS_PER_TURN {
            self.listener.unregistered.push(stream);
        }
        self.schedule_accept();
    }

    /// No event reports those who still wait after an accept that failed, so they are looked for again, with an idle
    /// connection less where descriptors ran out.
    pub(super) fn accept_failed(&mut self, reason: Failure) {
        self.metrics.accept_failures += 1;
        if reason == Failure::NoDescriptor {
            self.free_descriptor();
        }
        self.schedule_accept();
    }

    /// Tries again after a pause. One timer at a time: each new connection brings an event, and a timer for each of
    /// them would leave time for nothing else.
    fn schedule_accept(&mut self) {
        if !self.listener.is_retry_scheduled {
            self.listener.is_retry_scheduled = true;
            self.timers.set(self.now + ACCEPT_RETRY_PAUSE, TimerEvent::AcceptRetry);
        }
    }

    /// Closes the least useful connections until there is a place for one more: of the silent ones, when they are
    /// many, the oldest; else those that have been idle for longest. `false`: all are in use. Clients that connect by
    /// hundreds, or that ask once and stay, keep neither other clients out nor descriptors from the rest.
    pub(super) fn make_room(&mut self) -> bool {
        self.limit_silent_clients();
        // Clients that go on sending while they are read must not keep this going for ever.
        let max_steps = MAX_EVICTION_ROUNDS * (self.clients.len() + 1);
        for _ in 0..max_steps {
            let (all, ending) = (self.clients.len(), self.clients.ending());
            let has_place = all < self.bounds.clients
                || ending <= self.bounds.closing && all < self.bounds.clients + ending;
            if has_place {
                return true;
            }
            if ending > self.bounds.closing {
                if let Some(token) = self.clients.longest_ending() {
                    self.drop_client(token);
                }
            } else if !self.evict_idle_client() {
                break;
            }
        }
        self.metrics.rejected_clients += 1;
        false
    }

    /// Closes the least useful connection unless something has come on it. `false`: none is idle. After each call one
    /// connection is on its way to its end, has been used just now, or is seen to have half a message.
    fn evict_idle_client(&mut self) -> bool {
        let Some((token, had_partial)) = self.clients.least_useful() else { return false };
        let is_in_use = self.read_client(token);
        if !is_in_use && self.is_still_idle(token, had_partial) {
            self.finish_client(token);
            self.metrics.evicted_idle_clients += 1;
        }
        true
    }

    /// Closes the oldest silent connections while there are as many as may be.
    fn limit_silent_clients(&mut self) {
        while self.clients.silent() >= self.bounds.silent_clients {
            let Some(token) = self.clients.oldest_silent() else { return };
            // After this it has sent a message, or is on its way to its end.
            self.read_client(token);
            if self.clients.get(&token).is_some_and(Client::is_silent) {
                self.metrics.evicted_silent_clients += 1;
                self.finish_client(token);
            }
        }
    }

    /// Closes the connection that is missed least, so that a descriptor is free: an idle client's, or else an idle one
    /// to an upstream. `false`: all are in use. What has come unread on a connection keeps it: a dial wants the
    /// descriptor in the middle of other work, which is no time to act on messages.
    pub(super) fn free_descriptor(&mut self) -> bool {
        if let Some(token) = self.clients.least_useful_unread() {
            self.metrics.evicted_idle_clients += 1;
            self.drop_client(token);
            return true;
        }
        let idle = self.pool.idle_for(self.now, 0).first().copied();
        if let Some(token) = idle {
            self.close_upstream(token);
        }
        idle.is_some()
    }
}
