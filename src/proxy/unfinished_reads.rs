//! Sockets with more to read than one turn of the event loop handles, and the bound on the work of a turn.
//!
//! Clients whose input was handled completely the last time come before those that had more, so that a few clients
//! that send without end do not delay the others.

#[cfg(test)]
mod tests;

use super::arrival_times::ReceivedMessage;
use crate::net::event_loop::Ready;
use crate::net::protocol::frames::ClientMessage;
use mio::Token;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Work after which the input of further clients waits for the next turn; a small message counts as 1.
const MAX_WORK_PER_TURN: usize = 16_384;
/// Part of that work that clients with unfinished input get in each turn, whatever the others need.
const MIN_UNFINISHED_WORK: usize = MAX_WORK_PER_TURN / 4;
/// Work of a request: it is admitted, routed and written to an endpoint.
const REQUEST_WORK: usize = 32;

/// Returns the work of handling messages.
pub(super) fn work_of(messages: &[ReceivedMessage]) -> usize {
    let work = |received: &ReceivedMessage| match received.message {
        ClientMessage::Request { .. } => REQUEST_WORK,
        ClientMessage::DiscardedRequest { .. }
        | ClientMessage::Ready { .. }
        | ClientMessage::Invalid { .. }
        | ClientMessage::Cancel { .. } => 1,
    };
    messages.iter().map(work).sum()
}

/// Readiness of a socket that waits for a later turn.
struct Unfinished {
    event: Ready,
    /// Whether a part of its input has been handled.
    is_begun: bool,
}

/// The sockets that wait for a later turn, in the order in which they began to wait.
#[derive(Default)]
pub(super) struct UnfinishedReads {
    by_token: FxHashMap<Token, Unfinished>,
    order: VecDeque<Token>,
    /// Work done in this turn.
    work: usize,
    /// Work done in this turn for sockets whose input had been begun before.
    unfinished_work: usize,
}

impl UnfinishedReads {
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    pub(super) fn contains(&self, token: &Token) -> bool {
        self.by_token.contains_key(token)
    }

    /// Schedules another read of a socket for the next turn.
    pub(super) fn push(&mut self, token: Token) {
        self.add(Ready { token, readable: false, writable: false, read_closed: false }, true);
    }

    /// Schedules the handling of an event for the next turn.
    pub(super) fn postpone(&mut self, event: TurnEvent) {
        self.add(event.ready, event.is_begun);
    }

    fn add(&mut self, event: Ready, is_begun: bool) {
        let token = event.token;
        match self.by_token.get_mut(&token) {
            Some(waiting) => waiting.event = merged(waiting.event, event),
            None => {
                self.by_token.insert(token, Unfinished { event, is_begun });
                self.order.push_back(token);
            }
        }
    }

    /// Begins a turn with the sockets that the poll reports, and moves all that wait to them. Each socket has one event.
    pub(super) fn begin_turn(&mut self, reported: &mut Vec<Ready>) -> Vec<TurnEvent> {
        (self.work, self.unfinished_work) = (0, 0);
        let mut events = Vec::with_capacity(reported.len() + self.order.len());
        for ready in reported.drain(..) {
            match self.by_token.get_mut(&ready.token) {
                Some(waiting) => waiting.event = merged(waiting.event, ready),
                None => events.push(TurnEvent { ready, is_begun: false }),
            }
        }
        for token in self.order.drain(..) {
            if let Some(Unfinished { event, is_begun }) = self.by_token.remove(&token) {
                events.push(TurnEvent { ready: event, is_begun });
            }
        }
        events
    }

    /// Records work done in this turn.
    pub(super) fn record_work(&mut self, work: usize) {
        self.work += work;
    }

    /// Returns whether the input of a client may still be handled in this turn.
    pub(super) fn allows(&self, event: &TurnEvent) -> bool {
        self.work < MAX_WORK_PER_TURN || event.is_begun && self.unfinished_work < MIN_UNFINISHED_WORK
    }

    /// Returns the work done in this turn.
    pub(super) fn work(&self) -> usize {
        self.work
    }

    /// Counts the work done since it was `work_before` as work for input that had been begun before.
    pub(super) fn record_unfinished_work(&mut self, work_before: usize) {
        self.unfinished_work += self.work - work_before;
    }
}

/// An event of one turn.
#[derive(Clone, Copy)]
pub(super) struct TurnEvent {
    pub(super) ready: Ready,
    /// Whether a part of the socket's input was handled in an earlier turn.
    pub(super) is_begun: bool,
}

fn merged(first: Ready, second: Ready) -> Ready {
    Ready {
        token: first.token,
        readable: first.readable || second.readable,
        writable: first.writable || second.writable,
        read_closed: first.read_closed || second.read_closed,
    }
}
