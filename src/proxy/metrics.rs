//! Counters of the proxy for the periodic log line.
//!
//! All parts of the proxy update them; housekeeping logs them. The counters that the admin endpoint reports
//! are kept separately, in [`crate::admin`].

use crate::routing::events::Micros;
use std::fmt;

/// Counters since the start of the process, and two maxima since the last report.
#[derive(Default)]
pub(super) struct Metrics {
    /// Requests received from clients.
    pub(super) requests: u64,
    /// Requests that their client cancelled or abandoned by disconnecting.
    pub(super) abandoned_requests: u64,
    /// Attempts started.
    pub(super) attempts: u64,
    /// Attempts that had to wait and were no longer valid when they could be written.
    pub(super) dropped_attempts: u64,
    /// Dials to upstreams.
    pub(super) dials: u64,
    pub(super) failed_dials: u64,
    /// Upstream connections that ended with unfinished attempts.
    pub(super) lost_connections: u64,
    /// Responses to attempts that had already ended.
    pub(super) late_responses: u64,
    /// Requests served from the local cache.
    pub(super) local_cache_hits: u64,
    /// Clients that violated the protocol.
    pub(super) client_protocol_errors: u64,
    /// Upstream connections closed because of a malformed or incomplete response.
    pub(super) upstream_protocol_errors: u64,
    pub(super) accept_failures: u64,
    /// Client connections evicted before they had sent a complete message.
    pub(super) evicted_silent_clients: u64,
    /// Client connections evicted while they had no open request.
    pub(super) evicted_idle_clients: u64,
    /// Client connections closed right after the accept because all others were in use.
    pub(super) rejected_clients: u64,
    /// Partial messages that were discarded because memory was short.
    pub(super) discarded_messages: u64,
    /// Requests rejected because their content had been discarded.
    pub(super) discarded_requests: u64,
    /// Requests rejected because their client had cancelled many others.
    pub(super) requests_after_cancellations: u64,
    /// Times that reading from an upstream was paused because memory was short.
    pub(super) paused_upstream_reads: u64,
    /// Longest delay of a timer, in microseconds.
    pub(super) max_timer_delay: Micros,
    /// Longest time between two waits for events, in microseconds.
    pub(super) max_turn_duration: Micros,
}

impl Metrics {
    /// Resets the maxima at the start of a new reporting interval.
    pub(super) fn reset_maxima(&mut self) {
        self.max_timer_delay = 0;
        self.max_turn_duration = 0;
    }
}

/// Format of the log line. Operators' tools parse its keys, so they must stay when fields are renamed.
impl fmt::Display for Metrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Figures")
            .field("requests", &self.requests)
            .field("left", &self.abandoned_requests)
            .field("attempts", &self.attempts)
            .field("dials", &self.dials)
            .field("dials_failed", &self.failed_dials)
            .field("lost", &self.lost_connections)
            .field("late_answers", &self.late_responses)
            .field("own_copies", &self.local_cache_hits)
            .field("dropped", &self.dropped_attempts)
            .field("bad_clients", &self.client_protocol_errors)
            .field("bad_endpoints", &self.upstream_protocol_errors)
            .field("accept_failures", &self.accept_failures)
            .field("mute_gone", &self.evicted_silent_clients)
            .field("idle_gone", &self.evicted_idle_clients)
            .field("no_room", &self.rejected_clients)
            .field("partial_discarded", &self.discarded_messages)
            .field("requests_discarded", &self.discarded_requests)
            .field("cancel_limited", &self.requests_after_cancellations)
            .field("upstreams_paused", &self.paused_upstream_reads)
            .field("latest_timer", &self.max_timer_delay)
            .field("longest_turn", &self.max_turn_duration)
            .finish()
    }
}
