//! Maximum numbers of connections and buffered bytes of one process, derived from the limits of the configuration.

#[cfg(test)]
mod tests;

use crate::admin::MAX_CONNECTIONS;
use crate::config::platform::Limits;

/// Descriptors reserved for everything besides client and upstream connections: the standard streams, the poll, the
/// signals, the listener, the command channel, the configuration file, and some for short-lived files and sockets.
const RESERVED_DESCRIPTORS: usize = 24;
/// Descriptors reserved additionally if there is an admin endpoint: its listener, its connections, one more that is
/// just being accepted; and for a takeover: a listener, two connections to it, and the connection to the predecessor.
const ADMIN_DESCRIPTORS: usize = MAX_CONNECTIONS + 6;
/// Divisor of the descriptors for upstream connections. Well-behaved clients use a third of the descriptors at most.
const UPSTREAM_DIVISOR: usize = 3;
/// Divisor of the client connections for those that never sent a complete message.
const SILENT_DIVISOR: usize = 4;
/// Divisor of the client connections for those that were finished but are not closed yet.
const CLOSING_DIVISOR: usize = 8;
/// Maximum number of connections reserved for those that were finished but are not closed yet.
const MAX_CLOSING: usize = 16;
/// Share of the memory, in eighths, for what peers make the process hold; see [`super::memory`].
const BUFFERS_EIGHTHS: usize = 3;
/// Divisor of the memory for the local cache.
const LOCAL_CACHE_DIVISOR: usize = 8;
/// Minimum number of client connections and of upstream connections; fewer are of no use.
const MIN_CONNECTIONS: usize = 4;

/// Resource bounds of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of client connections; beyond it, the least useful one is closed.
    pub clients: usize,
    /// Maximum number of client connections that never sent a complete message; beyond it, the oldest is closed.
    pub silent_clients: usize,
    /// Maximum number of further client connections that were finished but are not closed yet; beyond it, the oldest is
    /// dropped.
    pub closing: usize,
    /// Maximum number of upstream connections.
    pub upstream: usize,
    /// Budget in bytes for all messages, requests and responses that are held for peers.
    pub buffers: usize,
    /// Maximum number of bytes in the local cache; beyond it, the least used entries are evicted.
    pub local_cache: usize,
}

impl Bounds {
    /// Derives the bounds from `limits`. `has_admin` says whether there is an admin endpoint, `is_shared` whether two
    /// processes share the limits.
    pub fn from_limits(limits: &Limits, has_admin: bool, is_shared: bool) -> Self {
        let processes = 1 + usize::from(is_shared);
        let reserved = RESERVED_DESCRIPTORS + if has_admin { ADMIN_DESCRIPTORS } else { 0 };
        let sockets = limits.sockets / processes;
        let free = sockets.saturating_sub(reserved);
        let upstream = (sockets / UPSTREAM_DIVISOR).min(free / 2).max(MIN_CONNECTIONS);
        let connections = free.saturating_sub(upstream).max(MIN_CONNECTIONS);
        let closing = (connections / CLOSING_DIVISOR).min(MAX_CLOSING);
        let clients = connections - closing;
        let memory = (limits.memory_mb << 20) / processes;
        Bounds {
            clients,
            silent_clients: (clients / SILENT_DIVISOR).max(MIN_CONNECTIONS),
            closing,
            upstream,
            buffers: memory / 8 * BUFFERS_EIGHTHS,
            local_cache: memory / LOCAL_CACHE_DIVISOR,
        }
    }
}
