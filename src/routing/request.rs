//! A client's request that has no final answer yet, and its attempts.

use super::endpoint_table::EndpointIndex;
use super::events::{Micros, Request};

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    /// From 0.
    pub(super) number: u32,
    /// The endpoint that it is sent to.
    pub(super) target: EndpointIndex,
    /// The endpoint that a miss is filled from.
    pub(super) source: Option<EndpointIndex>,
    /// The origin, where the source is expected to ask it in turn.
    pub(super) origin: Option<EndpointIndex>,
    pub(super) sent_at: Micros,
    /// Time after which the answer counts as late.
    pub(super) late_after: Micros,
    /// The source gives only what it has cached.
    pub(super) cached_only: bool,
    /// It no longer counts as in flight, though its outcome is not known.
    pub(super) capacity_released: bool,
}

impl Attempt {
    /// The endpoints that the attempt occupies: its target, the source and the origin behind that, each once.
    pub(super) fn participants(&self) -> impl Iterator<Item = EndpointIndex> {
        let source = self.source_beside_target();
        let origin = self.origin.filter(|&origin| Some(origin) != source);
        [Some(self.target), source, origin].into_iter().flatten()
    }

    /// The source, unless it is the target itself.
    pub(super) fn source_beside_target(&self) -> Option<EndpointIndex> {
        self.source.filter(|&source| source != self.target)
    }
}

/// The first attempt that may have run, which is where repeats are discarded.
#[derive(Clone, Copy)]
pub(super) struct FirstExecution {
    pub(super) sent_at: Micros,
    pub(super) endpoint: EndpointIndex,
}

/// Whether the client still waits.
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

/// What is known from asking for a cached copy only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum CachedCopy {
    /// Nobody was asked.
    #[default]
    Unknown,
    /// There was none.
    Absent,
}

/// A request without a final answer.
#[derive(Default)]
pub(super) struct PendingRequest {
    pub(super) request: Request,
    /// When the client gives up.
    pub(super) deadline: Micros,
    /// Time that its transfer takes at full pace, told or expected.
    pub(super) transfer_time_us: f64,
    pub(super) attempts_sent: u32,
    /// Most attempts by the settings at its arrival.
    pub(super) max_attempts: u32,
    pub(super) attempt: Option<Attempt>,
    /// Targets of attempts that failed.
    pub(super) failed_targets: Vec<EndpointIndex>,
    /// Sources that attempts failed by.
    pub(super) failed_sources: Vec<EndpointIndex>,
    pub(super) first_execution: Option<FirstExecution>,
    /// Errors since the last attempt that ended otherwise.
    pub(super) consecutive_errors: u32,
    pub(super) client: ClientState,
    pub(super) response: ResponseState,
    /// At the cache that was asked without a source.
    pub(super) copy_at_cache: CachedCopy,
    /// At the source that was asked for cached copies only.
    pub(super) copy_at_source: CachedCopy,
}

impl PendingRequest {
    /// The endpoints whose places in the table must not be reused while the request is pending. Those of the
    /// attempt that is out are among them: its capacity may have been released before its end.
    pub(super) fn referenced_endpoints(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        let executed_at = self.first_execution.map(|execution| execution.endpoint);
        let occupied = self.attempt.iter().flat_map(Attempt::participants);
        self.failed_targets.iter().chain(&self.failed_sources).copied().chain(executed_at).chain(occupied)
    }
}
