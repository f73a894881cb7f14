//! The pool of connections to endpoints, which selects the connection for an attempt. Connections are keyed by the
//! endpoint's id, because a new endpoint may have the address of a removed one.
//!
//! The proxy dials, reads and closes connections; the pool stores them and selects among them.

#[cfg(test)]
mod tests;

use super::connection::{Connection, State, Transport};
use crate::routing::events::{Id, Micros};
use mio::net::TcpStream;
use mio::Token;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Time without a received byte after a request, after which a connection counts as unresponsive. Its machine may have
/// failed, so other connections are used or a new one is dialed.
const UNRESPONSIVE_AFTER: Micros = 1_000_000;
/// Maximum number of connections dialed to one endpoint in advance, so that requests need not share one.
const MAX_SPARE_PER_ENDPOINT: usize = 8;
/// Time after a request within which the loss of a previously idle connection shows that it had gone stale.
const STALE_LOSS_WINDOW: Micros = 50_000;
/// Minimum idle time after which a connection may count as stale: below it a dial costs more than it saves.
const MIN_STALE_AFTER: Micros = 50_000;
/// Divisor of the recovery of `stale_after` in each sweep: it doubles in about a minute at four sweeps a second.
const STALE_RECOVERY_DIVISOR: Micros = 300;

/// A connection to an endpoint, with the attempts on it.
pub struct UpstreamConnection<T = TcpStream> {
    /// The connection.
    pub conn: Connection<T>,
    /// Id of the endpoint.
    pub endpoint: Id,
    /// Address that was dialed.
    pub address: SocketAddr,
    /// Time at which the dial was started.
    pub dialed_at: Micros,
    /// Numbers of the attempts in flight on the connection, by request.
    pub in_flight: FxHashMap<Id, u32>,
    /// Requests whose attempts wait for the dial.
    pub waiting: Vec<Id>,
    /// Time since which a response to any attempt has been awaited.
    pub awaiting_since: Option<Micros>,
    /// Time at which an attempt was last sent or bytes were last received.
    pub last_used: Micros,
    /// Idle time before the attempts that are now in flight, in microseconds.
    pub idle_before: Micros,
}

impl<T: Transport> UpstreamConnection<T> {
    /// Creates a connection that is dialed now.
    pub fn new(conn: Connection<T>, endpoint: Id, address: SocketAddr, now: Micros) -> Self {
        UpstreamConnection {
            conn,
            endpoint,
            address,
            dialed_at: now,
            in_flight: FxHashMap::default(),
            waiting: Vec::new(),
            awaiting_since: None,
            last_used: now,
            idle_before: 0,
        }
    }

    /// Whether a response has been awaited for too long without any received byte.
    pub fn is_unresponsive(&self, now: Micros) -> bool {
        self.awaiting_since.is_some_and(|since| now.saturating_sub(since) >= UNRESPONSIVE_AFTER)
    }

    /// Records that an attempt is written to the connection.
    pub fn note_sent(&mut self, id: Id, number: u32, now: Micros) {
        if self.in_flight.is_empty() {
            self.idle_before = now.saturating_sub(self.last_used);
        }
        self.in_flight.insert(id, number);
        self.awaiting_since.get_or_insert(now);
        self.last_used = now;
    }

    /// Records that bytes were received.
    pub fn note_received(&mut self, now: Micros) {
        self.last_used = now;
        self.awaiting_since = if self.in_flight.is_empty() { None } else { Some(now) };
    }

    /// Whether no attempt is in flight or waiting.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.waiting.is_empty()
    }
}

/// The connection selected for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// This open connection.
    Use(Token),
    /// This connection, once its dial has succeeded.
    Wait(Token),
    /// A new connection to this address.
    Dial(SocketAddr),
    /// None: the maximum number of connections is reached and all are full, or the endpoint is not listed.
    Full,
}

/// The pool of connections to all endpoints.
pub struct Pool<T = TcpStream> {
    /// Addresses of the listed endpoints.
    addresses: FxHashMap<Id, SocketAddr>,
    connections: FxHashMap<Token, UpstreamConnection<T>>,
    by_endpoint: FxHashMap<Id, Vec<Token>>,
    /// Maximum number of attempts on one connection.
    multiplex: usize,
    /// Maximum number of connections to all endpoints.
    max_connections: usize,
    max_per_endpoint: usize,
    /// Idle time after which a connection is not used again: at most `max_idle`, and less if connections were found to
    /// go stale sooner.
    stale_after: Micros,
    max_idle: Micros,
    /// Listed endpoints to which a dial failed while no connection to them was open.
    unreachable: FxHashSet<Id>,
}

impl<T: Transport> Pool<T> {
    /// Creates a pool of at most `max_connections` connections, at most `max_per_endpoint` of them to one endpoint,
    /// with at most `multiplex` attempts on each.
    pub fn new(multiplex: usize, max_connections: usize, max_per_endpoint: usize, max_idle: Micros) -> Self {
        Pool {
            addresses: FxHashMap::default(),
            connections: FxHashMap::default(),
            by_endpoint: FxHashMap::default(),
            multiplex,
            max_connections,
            max_per_endpoint,
            stale_after: max_idle,
            max_idle,
            unreachable: FxHashSet::default(),
        }
    }

    /// Applies new limits. Connections beyond them are closed once they are idle.
    pub fn reconfigure(&mut self, multiplex: usize, max_connections: usize, max_idle: Micros) {
        self.multiplex = multiplex;
        self.max_connections = max_connections;
        self.max_idle = max_idle;
        self.stale_after = self.stale_after.min(max_idle);
    }

    /// Whether any endpoint is listed.
    pub fn has_endpoints(&self) -> bool {
        !self.addresses.is_empty()
    }

    /// Sets the address of an endpoint, which lists it.
    pub fn set_address(&mut self, id: &Id, address: SocketAddr) {
        self.addresses.insert(id.clone(), address);
    }

    /// Returns the connections to an endpoint that were dialed before `time`.
    pub fn dialed_before(&self, id: &str, time: Micros) -> Vec<Token> {
        self.tokens_where(id, |upstream| upstream.dialed_at < time)
    }

    /// Removes an endpoint, so that the pool does not grow as machines are replaced. Its connections are closed once
    /// they are idle.
    pub fn remove_endpoint(&mut self, id: &str) {
        self.addresses.remove(id);
        self.unreachable.remove(id);
    }

    /// Records that a dial to an endpoint, started at `dialed_at`, failed. If no connection dialed before it is open,
    /// the endpoint's process may not have been running, and one that accepts a later dial was started since. Returns
    /// the time of such a later dial if its connection is already open.
    pub fn note_unreachable(&mut self, endpoint: &Id, dialed_at: Micros) -> Option<Micros> {
        let open = self.of_endpoint(endpoint).filter(|(_, upstream)| upstream.conn.state() == State::Open);
        let open_dials: Vec<Micros> = open.map(|(_, upstream)| upstream.dialed_at).collect();
        let was_reachable = open_dials.iter().any(|&open_dial| open_dial < dialed_at);
        if !self.addresses.contains_key(endpoint) || was_reachable {
            return None;
        }
        let restarted_by = open_dials.into_iter().min();
        if restarted_by.is_none() {
            self.unreachable.insert(endpoint.clone());
        }
        restarted_by
    }

    /// Records that a connection has opened. If its endpoint was unreachable before, the process that accepted the
    /// connection was started since, which the endpoint list may report seconds later or never. Returns the time of the
    /// dial as the latest possible start of that process.
    pub fn note_reachable(&mut self, token: Token) -> Option<Micros> {
        let upstream = self.connections.get(&token)?;
        self.unreachable.remove(&upstream.endpoint).then_some(upstream.dialed_at)
    }

    fn tokens(&self, endpoint: &str) -> &[Token] {
        self.by_endpoint.get(endpoint).map_or(&[], Vec::as_slice)
    }

    fn of_endpoint(&self, endpoint: &str) -> impl Iterator<Item = (Token, &UpstreamConnection<T>)> {
        self.tokens(endpoint).iter().filter_map(|token| Some((*token, self.connections.get(token)?)))
    }

    fn tokens_where(&self, endpoint: &str, wanted: impl Fn(&UpstreamConnection<T>) -> bool) -> Vec<Token> {
        let chosen = self.of_endpoint(endpoint).filter(|(_, upstream)| wanted(upstream));
        chosen.map(|(token, _)| token).collect()
    }

    /// Adds a connection.
    pub fn add(&mut self, token: Token, upstream: UpstreamConnection<T>) {
        self.by_endpoint.entry(upstream.endpoint.clone()).or_default().push(token);
        self.connections.insert(token, upstream);
    }

    /// Removes and returns a connection.
    pub fn remove(&mut self, token: Token) -> Option<UpstreamConnection<T>> {
        let upstream = self.connections.remove(&token)?;
        if let Some(tokens) = self.by_endpoint.get_mut(&upstream.endpoint) {
            tokens.retain(|&other| other != token);
            if tokens.is_empty() {
                self.by_endpoint.remove(&upstream.endpoint);
            }
        }
        Some(upstream)
    }

    /// Returns a connection for reading its state.
    pub fn get(&self, token: Token) -> Option<&UpstreamConnection<T>> {
        self.connections.get(&token)
    }

    /// Returns a connection.
    pub fn get_mut(&mut self, token: Token) -> Option<&mut UpstreamConnection<T>> {
        self.connections.get_mut(&token)
    }

    /// Iterates over all connections.
    pub fn iter(&self) -> impl Iterator<Item = (&Token, &UpstreamConnection<T>)> {
        self.connections.iter()
    }

    /// Whether the maximum number of connections is reached.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Selects the connection for an attempt at an endpoint. `excluded` are the connections on which an earlier attempt
    /// of the same request was abandoned: its late response could be mistaken for the response to this attempt.
    pub fn choose(&self, endpoint: &str, now: Micros, excluded: &[Token]) -> Choice {
        let Some(&address) = self.addresses.get(endpoint) else { return Choice::Full };
        // What listens at a former address may be another endpoint.
        let current = || self.of_endpoint(endpoint).filter(|(_, upstream)| upstream.address == address);
        let usable = || {
            let with_capacity = current().filter(|(_, upstream)| self.is_usable(upstream, now));
            with_capacity.filter(|(token, _)| !excluded.contains(token))
        };
        // Among equally loaded connections the most recently used one is the least likely to have gone stale.
        let rank = |token: Token, upstream: &UpstreamConnection<T>| {
            (upstream.in_flight.len(), Reverse(upstream.last_used), token)
        };
        let responsive = usable().filter(|(_, upstream)| !upstream.is_unresponsive(now));
        if let Some((token, _)) = responsive.min_by_key(|(token, upstream)| rank(*token, upstream)) {
            return Choice::Use(token);
        }
        let can_wait_for = |upstream: &UpstreamConnection<T>| {
            upstream.conn.state() == State::Dialing && upstream.waiting.len() < self.multiplex
        };
        if let Some((token, _)) = current().find(|(_, upstream)| can_wait_for(upstream)) {
            return Choice::Wait(token);
        }
        if self.tokens(endpoint).len() < self.max_per_endpoint && !self.is_full() {
            return Choice::Dial(address);
        }
        let awaiting_least = usable().max_by_key(|(token, upstream)| (upstream.awaiting_since, *token));
        awaiting_least.map_or(Choice::Full, |(token, _)| Choice::Use(token))
    }

    /// Whether an attempt can be written to a connection at once. Attempts are never queued behind unwritten bytes,
    /// because a purge or a drain that arrives meanwhile would still apply to them.
    fn is_usable(&self, upstream: &UpstreamConnection<T>, now: Micros) -> bool {
        let is_stale = upstream.is_idle() && now.saturating_sub(upstream.last_used) >= self.stale_after;
        let has_capacity = upstream.in_flight.len() < self.multiplex && upstream.conn.backlog() == 0;
        upstream.conn.is_open() && has_capacity && !is_stale
    }

    /// Returns the address of an endpoint to which a spare connection should be dialed: all connections to it are busy,
    /// none is being dialed, and its share of all connections is not used up. Requests on one connection fail together
    /// when it is lost, so each gets a connection of its own as far as capacity allows.
    pub fn spare_address(&self, endpoint: &str) -> Option<SocketAddr> {
        // The other half is reserved for new endpoints and for endpoints whose connections are all full.
        let shared_capacity = self.max_connections / 2;
        let max_spare = MAX_SPARE_PER_ENDPOINT.min(self.max_per_endpoint);
        let share = (shared_capacity / self.addresses.len().max(1)).clamp(1, max_spare);
        let mut connections = self.of_endpoint(endpoint);
        let are_all_busy = connections.all(|(_, upstream)| upstream.conn.is_open() && !upstream.is_idle());
        let has_capacity = self.tokens(endpoint).len() < share && self.connections.len() < shared_capacity;
        self.addresses.get(endpoint).filter(|_| has_capacity && are_all_busy).copied()
    }

    /// Returns the unresponsive connections to an endpoint. If a dial to it times out as well, no response can be
    /// expected on them.
    pub fn unresponsive(&self, endpoint: &str, now: Micros) -> Vec<Token> {
        self.tokens_where(endpoint, |upstream| upstream.is_unresponsive(now))
    }

    /// Adapts `stale_after` to the loss of a connection with attempts in flight. Endpoints or middleboxes may drop idle
    /// connections sooner than the settings say, and each such loss costs an attempt that may have run.
    pub fn note_lost(&mut self, upstream: &UpstreamConnection<T>, now: Micros) {
        let is_soon =
            upstream.awaiting_since.is_some_and(|since| now.saturating_sub(since) < STALE_LOSS_WINDOW);
        if is_soon && upstream.idle_before >= MIN_STALE_AFTER {
            self.lower_stale_after(upstream.idle_before * 3 / 4);
        }
    }

    /// Lowers the idle time after which connections are not used again.
    pub(crate) fn lower_stale_after(&mut self, idle_time: Micros) {
        self.stale_after = self.stale_after.min(idle_time).max(MIN_STALE_AFTER);
    }

    /// Returns the connections to close because they have been idle for too long. Each call raises a lowered
    /// `stale_after` a little towards `max_idle`.
    pub fn expired(&mut self, now: Micros) -> Vec<Token> {
        let recovered = self.stale_after + self.stale_after / STALE_RECOVERY_DIVISOR;
        self.stale_after = recovered.min(self.max_idle);
        self.idle_for(now, self.stale_after)
    }

    /// Returns the connections that are idle and either were for at least `idle_time` or belong to an endpoint that is
    /// no longer listed.
    pub fn idle_for(&self, now: Micros, idle_time: Micros) -> Vec<Token> {
        let is_unneeded = |upstream: &UpstreamConnection<T>| {
            let is_unlisted = !self.addresses.contains_key(&upstream.endpoint);
            upstream.is_idle() && (is_unlisted || now.saturating_sub(upstream.last_used) >= idle_time)
        };
        self.connections
            .iter()
            .filter(|(_, upstream)| is_unneeded(upstream))
            .map(|(token, _)| *token)
            .collect()
    }
}
