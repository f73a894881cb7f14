//! The connections of all clients, and the selection of those to close: by timeout, or to make room.

use super::client::{
    Client, DELIVERY_STALL_TIMEOUT, IDLE_TIMEOUT, MESSAGE_STALL_TIMEOUT, MESSAGE_TIMEOUT,
    MESSAGE_TIMEOUT_EXTENSION,
};
use super::timers::MILLISECOND;
use crate::lifecycle::{IdleConnection, Lifecycle};
use crate::routing::events::Micros;
use mio::Token;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;

/// Gap between received bytes from which a partial message is discarded before others, in microseconds.
const MESSAGE_PAUSE: Micros = 250 * MILLISECOND;
/// Minimum size of a partial message that is discarded, in bytes: all connections together hold little in smaller ones.
const MIN_DISCARDED_BYTES: usize = 1024;

/// Connections that have exceeded a timeout, by how they are closed.
pub(super) struct ExpiredClients {
    /// Connections to be dropped at once.
    pub(super) stalled: Vec<Token>,
    /// Connections to be closed unless a message has arrived meanwhile.
    pub(super) idle: Vec<Token>,
    /// Connections to be closed because their client has violated the protocol and nothing is open any more.
    pub(super) refused: Vec<Token>,
    /// Connections to be closed in any case, because the process is stopping.
    pub(super) closing_for_shutdown: Vec<Token>,
}

/// The connections of all clients.
#[derive(Default)]
pub(super) struct Clients {
    by_token: FxHashMap<Token, Client>,
}

impl Clients {
    pub(super) fn insert(&mut self, token: Token, client: Client) {
        self.by_token.insert(token, client);
    }

    pub(super) fn remove(&mut self, token: &Token) -> Option<Client> {
        self.by_token.remove(token)
    }

    pub(super) fn get(&self, token: &Token) -> Option<&Client> {
        self.by_token.get(token)
    }

    pub(super) fn get_mut(&mut self, token: &Token) -> Option<&mut Client> {
        self.by_token.get_mut(token)
    }

    pub(super) fn contains(&self, token: &Token) -> bool {
        self.by_token.contains_key(token)
    }

    pub(super) fn len(&self) -> usize {
        self.by_token.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_token.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Token, &Client)> {
        self.by_token.iter()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Client> {
        self.by_token.values()
    }

    pub(super) fn tokens(&self) -> Vec<Token> {
        self.by_token.keys().copied().collect()
    }

    fn tokens_where(&self, is_selected: impl Fn(&Client) -> bool) -> Vec<Token> {
        self.by_token.iter().filter(|(_, client)| is_selected(client)).map(|(token, _)| *token).collect()
    }

    /// Returns the connection whose partial message is to be discarded next: of those that have received nothing for
    /// `MESSAGE_PAUSE`, or else of all, the one that holds most.
    pub(super) fn partial_message_to_discard(&self, now: Micros) -> Option<Token> {
        let held = |client: &Client| client.conn.partial_message().len();
        let rank = |(token, client): &(&Token, &Client)| {
            let is_paused = now.saturating_sub(client.conn.last_received) >= MESSAGE_PAUSE;
            (is_paused, held(client), Reverse(**token))
        };
        let holding = self.by_token.iter().filter(|(_, client)| held(client) >= MIN_DISCARDED_BYTES);
        holding.max_by_key(rank).map(|(token, _)| *token)
    }

    /// Returns the number of connections that are closing.
    pub(super) fn ending(&self) -> usize {
        self.by_token.values().filter(|client| client.conn.is_ending()).count()
    }

    /// Looks at what the machines of all clients have acknowledged.
    pub(super) fn update_deliveries(&mut self, now: Micros) {
        for client in self.by_token.values_mut() {
            client.update_delivery(now);
        }
    }

    /// Returns the closing connection that has made no delivery progress for longest, of those that have
    /// delivered all output or have made none for `stall_limit`.
    pub(super) fn expendable_ending(&self, now: Micros, stall_limit: Micros) -> Option<Token> {
        self.longest_without_progress(|client| {
            let is_delivered = client.conn.undelivered() == 0;
            client.conn.is_ending() && (is_delivered || client.is_delivery_stalled(now, stall_limit))
        })
    }

    /// Returns the connection without open requests that has made no delivery progress for longest, if that
    /// is at least `stall_limit`.
    pub(super) fn stalled_without_requests(&self, now: Micros, stall_limit: Micros) -> Option<Token> {
        self.longest_without_progress(|client| {
            client.open_streams.is_empty() && client.is_delivery_stalled(now, stall_limit)
        })
    }

    fn longest_without_progress(&self, is_selected: impl Fn(&Client) -> bool) -> Option<Token> {
        let selected = self.by_token.iter().filter(|(_, client)| is_selected(client));
        selected
            .min_by_key(|(token, client)| (client.conn.last_delivery_progress(), **token))
            .map(|(token, _)| *token)
    }

    /// Returns the least useful open connection, and whether it has a partial message: the one idle for
    /// longest without a partial message, or, if all idle connections have one, the one idle for longest.
    pub(super) fn least_useful(&self) -> Option<(Token, bool)> {
        let idle = self.by_token.iter().filter(|(_, client)| client.is_idle() && client.conn.is_open());
        let rank = |(token, client): &(&Token, &Client)| {
            (!client.is_refused(), client.has_partial_message(), client.last_used, **token)
        };
        idle.min_by_key(rank).map(|(token, client)| (*token, client.has_partial_message()))
    }

    /// Returns the number of silent connections.
    pub(super) fn silent(&self) -> usize {
        self.by_token.values().filter(|client| client.is_silent()).count()
    }

    /// Returns the silent connection with the oldest accept or read.
    pub(super) fn oldest_silent(&self) -> Option<Token> {
        let silent = self.by_token.iter().filter(|(_, client)| client.is_silent());
        silent.min_by_key(|(token, client)| (client.last_used, **token)).map(|(token, _)| *token)
    }

    /// Returns the least useful idle connection without unread input.
    pub(super) fn least_useful_without_input(&mut self) -> Option<Token> {
        let mut idle: Vec<(bool, Micros, Token)> = self
            .by_token
            .iter()
            .filter(|(_, client)| client.is_idle())
            .map(|(token, client)| (client.has_partial_message(), client.last_used, *token))
            .collect();
        idle.sort_unstable();
        let mut has_pending_input = |token: &Token| {
            self.by_token.get_mut(token).is_some_and(|client| client.conn.has_pending_input())
        };
        idle.into_iter().map(|(_, _, token)| token).find(|token| !has_pending_input(token))
    }

    /// Returns the connections that have exceeded a timeout.
    pub(super) fn expired(&self, now: Micros, lifecycle: &Lifecycle) -> ExpiredClients {
        let since = |moment: Micros| now.saturating_sub(moment);
        let is_stalled = |client: &Client| {
            // Open requests end by their deadlines. Until then only output that this process buffers matters.
            let may_drop = client.open_streams.is_empty() || client.conn.backlog() > 0;
            let is_not_reading = client.is_delivery_stalled(now, DELIVERY_STALL_TIMEOUT);
            may_drop && is_not_reading || client.is_close_overdue(now)
        };
        let is_idle = |client: &Client| {
            let idle_time = since(client.last_used);
            let connection = IdleConnection {
                is_leaving: client.has_sent_going_away,
                had_request: client.has_sent_message(),
                idle: idle_time,
            };
            let closes_by_phase = lifecycle.should_close(now, connection) && !client.has_partial_message();
            client.conn.is_open() && client.is_idle() && (idle_time >= IDLE_TIMEOUT || closes_by_phase)
        };
        let closes_for_shutdown =
            |client: &Client| lifecycle.closes_partial_messages(now) && client.is_idle();
        ExpiredClients {
            stalled: self.tokens_where(is_stalled),
            idle: self.tokens_where(is_idle),
            refused: self.tokens_where(|client| client.may_end_refused(now)),
            closing_for_shutdown: self.tokens_where(closes_for_shutdown),
        }
    }

    /// Returns the connections on which a message was not complete in time. Connections with a write backlog
    /// are left out, because reading from them may be paused.
    pub(super) fn with_overdue_message(&self, now: Micros) -> Vec<Token> {
        let since = |moment: Micros| now.saturating_sub(moment);
        let timeout = |client: &Client| {
            let is_arriving =
                client.has_partial_message() && since(client.conn.last_received) < MESSAGE_STALL_TIMEOUT;
            MESSAGE_TIMEOUT + if is_arriving { MESSAGE_TIMEOUT_EXTENSION } else { 0 }
        };
        self.tokens_where(|client| {
            let is_overdue =
                client.message_awaited_since.is_some_and(|moment| since(moment) >= timeout(client));
            client.conn.is_open() && !client.is_refused() && client.conn.backlog() == 0 && is_overdue
        })
    }
}
