//! What is done as the memory budget fills up: partial messages are discarded, and upstreams are not read.
//!
//! [`crate::net::memory`] holds the budget; requests are refused in [`super::requests`].

use super::Proxy;
use crate::net::connection::MAX_BYTES_PER_TURN;
use crate::net::memory::MemoryUse;
use crate::net::protocol::resp;
use mio::Token;

impl Proxy {
    /// Discards partial messages of clients until the others fit into their share of the budget. A discarded request is
    /// rejected once it is complete.
    pub(super) fn discard_partial_messages(&mut self) {
        while !self.memory.allows(MemoryUse::PartialMessage, 0) {
            let Some(token) = self.clients.partial_message_to_discard(self.now) else { return };
            let Some(client) = self.clients.get_mut(&token) else { return };
            client.discard_partial_message();
            self.metrics.discarded_messages += 1;
        }
    }

    /// Pauses reading from an upstream while the budget does not allow the response that arrives next. One that it has
    /// allowed is counted with its whole size, and read to its end.
    pub(super) fn pause_or_resume_upstream(&mut self, token: Token) {
        self.count_partial_response(token);
        let Some(upstream) = self.pool.get_mut(token) else { return };
        let is_allowed = upstream.conn.expects_message()
            || !upstream.conn.has_partial_message() && self.memory.allows(MemoryUse::Response, 0);
        upstream.conn.pause(!is_allowed);
        if !is_allowed && !self.paused_upstreams.contains(&token) {
            self.metrics.paused_upstream_reads += 1;
            self.paused_upstreams.push(token);
        }
    }

    /// Counts a partly received response with its whole size if the budget allows it.
    pub(super) fn count_partial_response(&mut self, token: Token) {
        let Some(upstream) = self.pool.get_mut(token) else { return };
        let partial = upstream.conn.partial_message();
        let length = resp::announced_length(partial).max(partial.len());
        let is_counted = upstream.conn.expects_message();
        if is_counted || self.memory.allows(MemoryUse::Response, length - partial.len()) {
            upstream.conn.expect_message(length);
        }
    }

    /// Returns the number of responses after which no more is read from an upstream in this turn.
    pub(super) fn max_responses(&self) -> usize {
        if self.memory.allows(MemoryUse::Response, MAX_BYTES_PER_TURN) {
            usize::MAX
        } else {
            1
        }
    }

    /// Schedules reads of the paused upstreams whose next response the budget allows by now.
    pub(super) fn resume_upstream_reads(&mut self) {
        if self.paused_upstreams.is_empty() || !self.memory.allows(MemoryUse::Response, 0) {
            return;
        }
        for token in std::mem::take(&mut self.paused_upstreams) {
            self.count_partial_response(token);
            let Some(upstream) = self.pool.get(token) else { continue };
            if upstream.conn.has_partial_message() && !upstream.conn.expects_message() {
                self.paused_upstreams.push(token);
            } else {
                self.unfinished_reads.push(token);
            }
        }
    }
}
