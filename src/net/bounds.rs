//! How many connections and bytes one process may hold: bounds that follow from the limits of the configuration.

#[cfg(test)]
mod tests;

use crate::admin::MAX_CONNECTIONS;
use crate::config::platform::Limits;

/// Descriptors kept back for what is neither a client's nor an upstream's: the standard streams, the poll, the signals,
/// the listener, the command channel, the configuration file; and a few for what comes and goes.
const RESERVED_DESCRIPTORS: usize = 24;
/// Kept back besides where there is an admin endpoint: its listener, its connections, one more that is just being
/// accepted; and what two processes of one instance talk by: a listener, two connections to it, the predecessor.
const ADMIN_DESCRIPTORS: usize = MAX_CONNECTIONS + 6;
/// One of so many descriptors may be a connection to an upstream. Clients that behave hold a third at most.
const UPSTREAM_DIVISOR: usize = 3;
/// One of so many client connections may be one that never sent a whole message.
const SILENT_DIVISOR: usize = 4;
/// One of so many client connections is kept back for ones that have been finished and not closed yet.
const CLOSING_DIVISOR: usize = 8;
/// The most that are kept back for those.
const MAX_CLOSING: usize = 16;
/// The divisor of the memory for what is read from clients or waits to be written to them.
const CLIENT_BUFFERS_DIVISOR: usize = 4;
/// The divisor of the memory for bodies of requests.
const BODIES_DIVISOR: usize = 8;
/// The divisor of the memory for the local cache.
const LOCAL_CACHE_DIVISOR: usize = 8;
/// Fewer than this of either kind of connection serve nobody.
const MIN_CONNECTIONS: usize = 4;

/// The bounds of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Client connections; beyond, the least useful one is closed.
    pub clients: usize,
    /// Those among them that never sent a whole message; beyond, the oldest is closed.
    pub silent_clients: usize,
    /// Client connections that were finished and are not closed yet, besides; beyond, the oldest is dropped.
    pub closing: usize,
    /// Connections to upstreams.
    pub upstream: usize,
    /// Bytes buffered for all client connections together; beyond, the one with the most is dropped.
    pub client_buffers: usize,
    /// Bytes of bodies of active requests together; beyond, requests are rejected.
    pub request_bodies: usize,
    /// Bytes of the local cache; beyond, what is used least is evicted.
    pub local_cache: usize,
}

impl Bounds {
    /// The bounds by these limits. `has_admin`: there is an admin endpoint; `is_shared`: two processes share the limits.
    pub fn of(limits: &Limits, has_admin: bool, is_shared: bool) -> Self {
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
            client_buffers: memory / CLIENT_BUFFERS_DIVISOR,
            request_bodies: memory / BODIES_DIVISOR,
            local_cache: memory / LOCAL_CACHE_DIVISOR,
        }
    }
}
