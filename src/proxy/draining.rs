//! Connection handling in standby, after replacement by another process, and on SIGTERM. [`crate::lifecycle`]
//! decides what follows from each.

use super::timers::{TimerEvent, MILLISECOND};
use super::Proxy;
use crate::lifecycle::{CallRefused, Event, OpenWork, Phase};
use crate::net::protocol::frames;
use crate::routing::events::{Id, Micros};
use mio::Token;
use slog::{debug, info};
use std::io;

/// Time after which a shutdown no longer waits for a client whose machine acknowledges none of its undelivered
/// output, in microseconds.
pub(super) const SHUTDOWN_STALL_TIMEOUT: Micros = 1_000 * MILLISECOND;

/// Maximum number of times that each connection is read when the process ends: 2 MB in all, more than the requests that a
/// client may have open.
const MAX_LAST_READS: usize = 16;

impl Proxy {
    /// Passes an event to the lifecycle, and applies the resulting change of phase.
    ///
    /// # Errors
    /// The event is refused in the current phase.
    pub(super) fn advance_lifecycle(&mut self, event: Event) -> Result<(), CallRefused> {
        let (phase_before, accepted_before) = (self.lifecycle.phase(), self.lifecycle.accepts_connections());
        self.lifecycle.handle(self.now, event)?;
        let (phase, accepts) = (self.lifecycle.phase(), self.lifecycle.accepts_connections());
        if (phase, accepts) == (phase_before, accepted_before) {
            return Ok(());
        }
        debug!(self.log, "lifecycle phase changed"; "is" => ?phase, "was" => ?phase_before,
               "open" => self.requests.len());
        if self.lifecycle.is_serving() {
            self.begin_serving();
        }
        if self.lifecycle.phase() == Phase::Replaced {
            self.close_gossip_socket();
        }
        if self.lifecycle.accepts_connections() && !accepted_before {
            self.accept();
        }
        if self.lifecycle.sends_going_away() {
            for token in self.clients.tokens() {
                self.send_going_away(token);
            }
        }
        Ok(())
    }

    /// Tells a client, once, to send no new request on its connection.
    pub(super) fn send_going_away(&mut self, token: Token) {
        let Some(client) = self.clients.get_mut(&token) else { return };
        if client.has_sent_going_away {
            return;
        }
        client.has_sent_going_away = true;
        client.conn.queue(frames::encode_going_away());
        client.conn.flush(self.now);
        self.after_client_write(token);
    }

    /// Starts the shutdown of the process.
    pub(super) fn shut_down(&mut self) {
        info!(self.log, "shutdown requested, draining"; "open" => self.requests.len());
        self.leave_gossip();
        let longest_deadline = self.classes.longest_deadline();
        // A second shutdown signal has no effect.
        let _ = self.advance_lifecycle(Event::Terminate { longest_deadline });
        if let Some(at) = self.lifecycle.drain_deadline() {
            self.timers.set(at, TimerEvent::DrainDeadline);
        }
    }

    /// Fails all open requests, because the process may be killed soon and can't answer them later.
    pub(super) fn fail_open_requests(&mut self) {
        let open: Vec<Id> = self.requests.unfinished().cloned().collect();
        for id in open {
            self.fail_request(&id);
        }
    }

    /// Runs until a shutdown is requested, everything accepted is answered, and all clients have seen the end
    /// of their connections.
    ///
    /// # Errors
    /// The poll failed.
    pub(super) fn run_to_completion(&mut self) -> io::Result<()> {
        loop {
            while !self.is_drained() {
                self.turn()?;
            }
            // Requests that arrived since the last turn are still served.
            for token in self.clients.tokens() {
                self.read_through(token);
            }
            if self.is_drained() {
                break;
            }
        }
        // The process ends whether or not the lifecycle accepts the event.
        let _ = self.advance_lifecycle(Event::Close);
        for token in self.clients.tokens() {
            self.finish_client(token);
        }
        self.process_events();
        let deadline = self.lifecycle.exit_deadline(self.now);
        self.timers.set(deadline, TimerEvent::DrainDeadline);
        while !self.clients.is_empty() && self.now < deadline {
            self.turn()?;
        }
        Ok(())
    }

    /// Reads and handles what a client has sent, up to as much as all requests that it may have open.
    fn read_through(&mut self, token: Token) {
        for _ in 0..MAX_LAST_READS {
            self.read_client(token);
            self.process_events();
            if !self.clients.get(&token).is_some_and(|client| client.conn.needs_read()) {
                return;
            }
        }
    }

    /// Returns whether a shutdown was requested and no work is left.
    pub(super) fn is_drained(&mut self) -> bool {
        if self.lifecycle.phase() != Phase::Stopping {
            return false;
        }
        self.clients.update_deliveries(self.now);
        let mut clients = self.clients.values();
        let is_delivering = clients.any(|client| {
            client.conn.undelivered() > 0 && !client.is_delivery_stalled(self.now, SHUTDOWN_STALL_TIMEOUT)
        });
        let has_partial = self.clients.values().any(|client| client.has_partial_message());
        let open = OpenWork {
            unanswered: self.requests.unfinished().next().is_some() || is_delivering,
            incoming: !self.unfinished_reads.is_empty() || has_partial,
            clients: self.clients.values().any(|client| client.conn.is_open()),
        };
        self.lifecycle.may_exit(self.now, open)
    }
}
