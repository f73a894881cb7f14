//! The admin endpoint: its calls, its limits on connections, and the metrics that the instance reports.
//!
//! This module does no input or output: [`Call::decode`] parses a line, [`AdminConnections`] limits the number and the
//! duration of connections, and [`Metrics`] counts requests and renders the metrics. The driver is
//! `src/proxy/admin.rs`.

#[cfg(test)]
mod tests;

use crate::invariant;
use crate::routing::events::Micros;
use std::fmt::Write;

/// Maximum number of concurrent admin connections. Their file descriptors are reserved, so that client connections
/// can't exhaust them.
pub const MAX_CONNECTIONS: usize = 16;
/// Time limit for receiving a connection's line, and again for sending the answer, in microseconds. Some connections
/// never send anything.
pub const CONNECTION_TIMEOUT: Micros = 2_000_000;
/// Maximum length of a call's line in bytes; a longer line is rejected.
const MAX_LINE_BYTES: usize = 64;

/// A call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reports whether this process accepts clients.
    Status,
    /// Reports the metrics.
    Stats,
    /// Drains the instance.
    Standby,
    /// Accepts clients again.
    Active,
}

/// An error that makes a line invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidCall {
    /// There is no call of this name.
    Unknown,
    /// The line is longer than the longest allowed one.
    TooLong,
}

impl std::fmt::Display for InvalidCall {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let message = match self {
            InvalidCall::Unknown => "unknown call",
            InvalidCall::TooLong => "line too long",
        };
        write!(f, "{message}; the calls are status, stats, standby and active, one line a connection")
    }
}

impl std::error::Error for InvalidCall {}

impl Call {
    /// Parses the call at the start of `bytes`; `None` while its line is incomplete.
    pub fn decode(bytes: &[u8]) -> Result<Option<Call>, InvalidCall> {
        let Some(end) = bytes.iter().position(|&byte| byte == b'\n') else {
            return if bytes.len() > MAX_LINE_BYTES { Err(InvalidCall::TooLong) } else { Ok(None) };
        };
        if end > MAX_LINE_BYTES {
            return Err(InvalidCall::TooLong);
        }
        match bytes[..end].trim_ascii() {
            b"status" => Ok(Some(Call::Status)),
            b"stats" => Ok(Some(Call::Stats)),
            b"standby" => Ok(Some(Call::Standby)),
            b"active" => Ok(Some(Call::Active)),
            _ => Err(InvalidCall::Unknown),
        }
    }
}

/// The open admin connections, identified by `K`.
#[derive(Debug)]
pub struct AdminConnections<K> {
    /// The connections, oldest first: the key, whether its line has been received, and its deadline.
    connections: Vec<(K, bool, Micros)>,
}

impl<K: Copy + PartialEq> Default for AdminConnections<K> {
    fn default() -> Self {
        AdminConnections { connections: Vec::new() }
    }
}

impl<K: Copy + PartialEq> AdminConnections<K> {
    /// Adds a connection. If the limit is reached, evicts and returns the oldest connection that has not sent a
    /// complete line, or else the oldest of all.
    pub fn open(&mut self, key: K, now: Micros) -> Option<K> {
        let is_full = self.connections.len() >= MAX_CONNECTIONS;
        let evicted_at = is_full.then(|| self.connections.iter().position(|entry| !entry.1).unwrap_or(0));
        let evicted = evicted_at.map(|at| self.connections.remove(at).0);
        self.connections.push((key, false, now + CONNECTION_TIMEOUT));
        evicted
    }

    /// Records that the line of a connection has been received, and restarts its time limit for the answer.
    pub fn line_received(&mut self, key: K, now: Micros) {
        if let Some(entry) = self.connections.iter_mut().find(|entry| entry.0 == key) {
            (entry.1, entry.2) = (true, now + CONNECTION_TIMEOUT);
        }
    }

    /// Removes a closed connection.
    pub fn remove(&mut self, key: K) {
        self.connections.retain(|entry| entry.0 != key);
    }

    /// Removes and returns the connections whose time limit has passed.
    pub fn remove_expired(&mut self, now: Micros) -> Vec<K> {
        let is_expired = |entry: &&(K, bool, Micros)| entry.2 <= now;
        let removed: Vec<K> = self.connections.iter().filter(is_expired).map(|entry| entry.0).collect();
        self.connections.retain(|entry| entry.2 > now);
        removed
    }
}

/// Status of an ended request in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndStatus {
    /// The request was served.
    Success,
    /// The request was rejected.
    Overload,
    /// The request failed, or its client disconnected.
    Error,
}

/// Number of ended requests of one class, by status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Replies {
    class: String,
    ended: [u64; 3],
}

/// The counters that the instance reports, since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Counts of all classes since the start of the process, including dropped classes.
    replies: Vec<Replies>,
    accepted: u64,
    ended: u64,
    /// Number of attempts sent completely to endpoints.
    pub dispatches: u64,
    /// Number of configurations applied and rejected on SIGHUP.
    pub reloads: [u64; 2],
}

/// Values that are read when the metrics are requested.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Number of endpoints in the list.
    pub targets: usize,
    /// Number of those endpoints that the router avoids.
    pub unavailable: usize,
    /// Metrics of gossip, if enabled.
    pub peers: Option<PeerMetrics>,
    /// Metrics of the command channel and of the enabled fleet-wide features, by name.
    pub fleet: Vec<(&'static str, u64)>,
}

/// Metrics of an instance's gossip with its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerMetrics {
    /// Number of members that are alive, suspect, dead and left, including this instance.
    pub by_state: [usize; 4],
    /// Counters of the gossip protocol.
    pub counts: crate::gossip::Counts,
    /// Number of datagrams dropped from the full send queue or not sent because of an error.
    pub dropped: u64,
    /// Number of datagrams from addresses of no member.
    pub from_unknown_addresses: u64,
}

impl PeerMetrics {
    fn lines(&self) -> [(&'static str, u64); 10] {
        let [alive, suspect, dead, left] = self.by_state.map(|count| count as u64);
        [
            ("peers{state=\"alive\"}", alive),
            ("peers{state=\"suspect\"}", suspect),
            ("peers{state=\"dead\"}", dead),
            ("peers{state=\"left\"}", left),
            ("peer_suspicions_total", self.counts.suspected),
            ("peer_refutations_total", self.counts.refuted),
            ("peer_datagrams_total{way=\"out\"}", self.counts.sent),
            ("peer_datagrams_total{way=\"in\"}", self.counts.received),
            ("peer_datagrams_dropped_total", self.dropped + self.from_unknown_addresses),
            ("peer_datagrams_undecodable_total", self.counts.undecodable),
        ]
    }
}

impl Metrics {
    /// Returns the index at which a class is counted, and adds the class if it is new. A class that is dropped and
    /// added again keeps its counts.
    pub fn class(&mut self, name: &str) -> usize {
        if let Some(at) = self.replies.iter().position(|replies| replies.class == name) {
            return at;
        }
        self.replies.push(Replies { class: name.to_owned(), ended: [0; 3] });
        self.replies.len() - 1
    }

    /// Counts an accepted request.
    pub fn request_accepted(&mut self) {
        self.accepted += 1;
    }

    /// Counts the end of an accepted request; `class` is an index from [`Metrics::class`].
    pub fn request_ended(&mut self, class: usize, status: EndStatus) {
        if let Some(replies) = self.replies.get_mut(class) {
            replies.ended[status as usize] += 1;
            self.ended += 1;
        }
        invariant!(self.ended <= self.accepted, "a request that ends was counted when it was accepted");
    }

    /// Returns the number of accepted requests that have not ended.
    pub fn concurrent(&self) -> u64 {
        self.accepted.saturating_sub(self.ended)
    }

    /// Renders all metrics, one per line, followed by the line `end`.
    pub fn render(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        let mut line = |name: &str, labels: &str, value: u64| {
            let _ = writeln!(text, "proxy_{name}{labels} {value}");
        };
        for replies in &self.replies {
            for (status, count) in ["success", "overload", "error"].iter().zip(replies.ended) {
                let labels = format!("{{type=\"{}\",status=\"{status}\"}}", escape_label(&replies.class));
                line("replies_total", &labels, count);
            }
        }
        line("dispatches_total", "", self.dispatches);
        line("concurrent", "", self.concurrent());
        line("targets", "", gauges.targets as u64);
        line("targets_disabled", "", gauges.unavailable as u64);
        line("reload_success_total", "", self.reloads[0]);
        line("reload_failure_total", "", self.reloads[1]);
        for (name, value) in gauges.peers.iter().flat_map(PeerMetrics::lines) {
            line(name, "", value);
        }
        for (name, value) in &gauges.fleet {
            line(name, "", *value);
        }
        text.push_str("end\n");
        text
    }
}

/// The form for the log: for each class the number of served, rejected and failed requests.
impl std::fmt::Display for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.replies.iter().try_for_each(|replies| write!(f, "{} {:?} ", replies.class, replies.ended))
    }
}

/// Escapes a name for use as a label value: backslash, quote and line feed get a backslash before them.
fn escape_label(name: &str) -> String {
    name.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
