//! Client requests without a final answer, and their attempts.

use super::deduplication::{FirstExecution, Location, RepeatPolicy};
use super::endpoint_table::EndpointIndex;
use super::events::{Micros, Request};

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    /// Index of the attempt within its request, from 0.
    pub(super) number: u32,
    /// The endpoint that the attempt is sent to.
    pub(super) target: EndpointIndex,
    /// The endpoint that a miss is filled from.
    pub(super) source: Option<EndpointIndex>,
    /// The origin, if the source is expected to fill its own miss from it.
    pub(super) origin: Option<EndpointIndex>,
    pub(super) sent_at: Micros,
    /// The places of target and source when the attempt was sent; the endpoint list may move them later.
    pub(super) execution: FirstExecution,
    /// Time after which the response counts as late, in microseconds.
    pub(super) late_after: Micros,
    /// Whether the source is asked only for a cached copy.
    pub(super) cached_only: bool,
    /// Whether the attempt has stopped counting as in flight before its outcome is known.
    pub(super) capacity_released: bool,
}

impl Attempt {
    /// Returns the endpoints that the attempt occupies, each once: the target, the source, and the origin
    /// behind the source.
    pub(super) fn participants(&self) -> impl Iterator<Item = EndpointIndex> {
        let source = self.source_beside_target();
        let origin = self.origin.filter(|&origin| Some(origin) != source);
        [Some(self.target), source, origin].into_iter().flatten()
    }

    /// Returns the source, unless it is the target itself.
    pub(super) fn source_beside_target(&self) -> Option<EndpointIndex> {
        self.source.filter(|&source| source != self.target)
    }
}

/// Whether the client still waits for a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ClientState {
    #[default]
    Connected,
    Disconnected,
}

/// Whether a response is being streamed to the client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ResponseState {
    #[default]
    NotStarted,
    Started,
}

/// Result of a lookup for a cached copy without a fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum CachedCopy {
    /// No lookup was made.
    #[default]
    Unknown,
    /// The lookup was a miss.
    Absent,
}

/// A client's request without a final answer.
#[derive(Default)]
pub(super) struct PendingRequest {
    pub(super) request: Request,
    /// Time at which the client's timeout ends.
    pub(super) deadline: Micros,
    /// Known or expected transfer time at the full transfer rate, in microseconds.
    pub(super) transfer_time_us: f64,
    pub(super) attempts_sent: u32,
    /// Maximum number of attempts in the settings when the request arrived.
    pub(super) max_attempts: u32,
    pub(super) attempt: Option<Attempt>,
    /// Targets that attempts failed at.
    pub(super) failed_targets: Vec<EndpointIndex>,
    /// Sources that made attempts fail.
    pub(super) failed_sources: Vec<EndpointIndex>,
    /// What the class of the request allowed when the request arrived; `None` for an unknown class.
    pub(super) repeat_policy: Option<RepeatPolicy>,
    pub(super) first_execution: Option<FirstExecution>,
    /// Number of consecutive attempts that ended with an error.
    pub(super) consecutive_errors: u32,
    pub(super) client: ClientState,
    pub(super) response: ResponseState,
    /// Result of a lookup at the cache without a source.
    pub(super) copy_at_cache: CachedCopy,
    /// Result of a lookup at the source for cached copies only.
    pub(super) copy_at_source: CachedCopy,
}

impl PendingRequest {
    /// Returns whether the request may be sent to an endpoint; true if it cannot have run before.
    pub(super) fn may_be_sent_to(&self, now: Micros, target: Location) -> bool {
        let Some(first) = self.first_execution else { return true };
        self.repeat_policy.is_some_and(|policy| policy.allows_target(now, &first, target))
    }

    /// Returns whether a miss of the request may be filled from an endpoint; true if it cannot have run
    /// before.
    pub(super) fn may_be_filled_from(&self, now: Micros, source: Location) -> bool {
        let Some(first) = self.first_execution else { return true };
        self.repeat_policy.is_some_and(|policy| policy.allows_source(now, &first, source))
    }

    /// Returns whether the client may repeat the request at time `at`; true if it cannot have run before.
    pub(super) fn may_be_retried_by_client(&self, at: Micros) -> bool {
        let Some(first) = self.first_execution else { return true };
        self.repeat_policy.is_some_and(|policy| policy.allows_client_retry(at, &first))
    }

    /// Returns the endpoints whose slots in the table must not be reused while the request is pending. The
    /// participants of the attempt in flight are included, because its capacity may have been released early.
    pub(super) fn referenced_endpoints(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        let occupied = self.attempt.iter().flat_map(Attempt::participants);
        self.failed_targets.iter().chain(&self.failed_sources).copied().chain(occupied)
    }
}
