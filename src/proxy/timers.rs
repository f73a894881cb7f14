//! Timers of the proxy.
//!
//! A timer is never cancelled: its handler checks whether it still applies. Some variants contain a time,
//! which distinguishes the current timer from an older one that it has replaced.

use crate::routing::events::{Id, Micros};
use mio::Token;

/// One millisecond, in microseconds.
pub(super) const MILLISECOND: Micros = 1_000;

/// Event that a timer triggers.
#[derive(Debug)]
pub(super) enum TimerEvent {
    /// A timer of the router, by its token.
    Router(u64),
    /// The deadline of an attempt, given by its request and number.
    AttemptDeadline(Id, u32),
    /// Nearly all of the client's timeout for a request has passed.
    RequestDeadline(Id),
    /// The timeout of a dial to an upstream.
    DialDeadline(Token),
    /// The timeout for more input of a partly received upstream response.
    ResponseStall(Token),
    /// The periodic checks for what no readiness event reports.
    Sweep,
    /// The periodic log line with the metrics.
    MetricsReport,
    /// A retry of accepting client connections.
    AcceptRetry,
    /// The next check of the command channel.
    CommandChannel(Micros),
    /// A retry of a configuration reload whose file could not be opened.
    ReloadRetry,
    /// The next turn of the registry's driver.
    Registry(Micros),
    /// The next step of the gossip with peers.
    Gossip(Micros),
    /// The next turn of the fleet.
    Fleet(Micros),
    /// The last time to answer or to close connections before the process ends.
    DrainDeadline,
}
