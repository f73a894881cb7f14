//! The router's interface: its settings, the events that it handles and the actions that it requests.
//!
//! Times and durations are whole microseconds of one monotonic clock.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

pub use super::constraints::Constraints;
use super::deduplication::RepeatPolicy;

/// A time on the caller's clock, or a duration, in microseconds.
pub type Micros = u64;
/// Id of a request or an endpoint; an opaque string.
pub type Id = Arc<str>;

/// The tier of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// An edge cache.
    #[default]
    Cache,
    /// A cache between the edge caches and the origin.
    Parent,
    /// The origin.
    Origin,
}

/// Effect of executing a request more than once, the least restrictive first.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// Repeats with the same key are discarded within the deduplication scope and window.
    WithKey,
    /// The request must not run twice.
    NotIdempotent,
}

/// The endpoints that discard repeats of a request that another of them has run, the widest scope first.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// Detail in which outcomes report hits and fills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutcomeDetail {
    /// Hits, kinds of fills and reasons for failures.
    All,
    /// Hits and fills only.
    Hits,
    /// Neither hits nor fills.
    #[default]
    Silent,
}

/// One class of requests. Its form is stored in the takeover state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Class {
    /// Time for which a copy is fresh; 0: unlimited.
    pub fresh_for: Micros,
    /// Grace period: time past freshness for which a request may still accept a copy.
    pub grace: Micros,
    /// Whether requests run at the origin and their responses are not cached.
    pub uncacheable: bool,
    /// A response is late after this time plus [`Class::latency_objective_stretch`] times its transfer time.
    pub latency_objective: Micros,
    /// Multiple of the transfer time in [`Class::latency_objective`]; a value below 1 counts as 1.
    pub latency_objective_stretch: f64,
    /// Effect of executing a request of this class more than once.
    pub idempotency: Idempotency,
    /// The endpoints that discard repeats of a request with a key.
    pub deduplication_scope: DeduplicationScope,
    /// Time for which repeats are discarded, counted from when the first attempt that may have run was sent.
    pub deduplication_window: Micros,
}

/// Slow start of an endpoint that started recently.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Share of its capacity that the endpoint has at its start, from 0 to 1.
    pub initial_share: f64,
    /// Time until the endpoint is warm.
    pub duration: Micros,
    /// Multiple of its present capacity above which the endpoint fails.
    pub overload_multiple: f64,
}

/// Settings of a router.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The router's own zone.
    pub zone: usize,
    /// Total number of routers; 0: unknown.
    pub routers: u32,
    /// Number of routers that serve each zone.
    pub routers_by_zone: Vec<u32>,
    /// Number of processes that share this router's slow-start budget: those of a takeover, or the maximum if
    /// the number of routers is unknown; 0 counts as 1.
    pub processes: u32,
    /// The request classes, by class number.
    pub classes: Vec<Class>,
    /// Full rate of one transfer, in KB/s; 0: unknown.
    pub transfer_rate_kb_s: f64,
    /// Bandwidth of each zone's inbound link, in KB/s; 0: unknown.
    pub zone_link_kb_s: Vec<f64>,
    /// Whether the weights of endpoints are sizes, in concurrent transfers at the full rate.
    pub weights_are_sizes: bool,
    /// Slow start of an edge cache.
    pub cache_slow_start: SlowStart,
    /// Slow start of a parent.
    pub parent_slow_start: SlowStart,
    /// Window over which the load on a cold endpoint is limited.
    pub overload_window: Micros,
    /// Time after a purge until no endpoint has an older copy.
    pub purge_propagation_time: Micros,
    /// Whether requests may go straight to a parent or the origin.
    pub may_bypass_caches: bool,
    /// Whether a request may join a fill in progress.
    pub may_join_fills: bool,
    /// Detail in which outcomes report hits and fills.
    pub outcome_detail: OutcomeDetail,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether rejected clients are given a Retry-After time.
    pub retry_after: bool,
    /// Longest Retry-After time that clients honour.
    pub max_retry_after: Micros,
    /// Whether the endpoint list must be watched.
    pub watch_required: bool,
}

impl Settings {
    /// Returns whether the sizes of endpoints can be derived from weights or links.
    pub fn has_size_information(&self) -> bool {
        self.weights_are_sizes || self.zone_link_kb_s.iter().any(|&link| link > 0.0)
    }
}

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    #[default]
    Healthy,
    /// The endpoint finishes its requests and gets no new ones.
    Draining,
    /// The endpoint is no longer listed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Id of the endpoint.
    pub id: Id,
    /// Tier of the endpoint.
    pub role: Role,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Zone of the endpoint.
    pub zone: usize,
    /// Cell of the endpoint (see [`DeduplicationScope::Cell`]).
    pub cell: u32,
    /// Machine kind of the endpoint.
    pub kind: u32,
    /// Weight of the endpoint, or its size (see [`Settings::weights_are_sizes`]).
    pub weight: f64,
    /// Time of the endpoint's last start; 0: long ago.
    pub started_at: Micros,
}

/// Status with which an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The attempt was served.
    Served,
    /// The endpoint reported an error; the request may have run.
    Error,
    /// The endpoint rejected the attempt; the request has not run.
    Rejected,
    /// No response arrived before the deadline; the request may have run.
    TimedOut,
    /// No connection could be established; the request has not run.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
    /// No acceptable copy and no fill; the request has not run.
    Miss,
}

impl AttemptStatus {
    /// Whether the request may have run at the endpoint.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            AttemptStatus::Error | AttemptStatus::TimedOut | AttemptStatus::Reset | AttemptStatus::Cancelled
        )
    }
}

/// Origin of the copy, or reason for a failed fill, as reported in an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// Not reported.
    Unknown,
    /// The cache had a fresh copy.
    Hit,
    /// Filled from the source's copy.
    Filled,
    /// Filled through the source from the origin.
    FilledByOrigin,
    /// Joined a fill in progress.
    Joined,
    /// The cache had a stale copy.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source was unreachable, closed the connection or was too slow.
    SourceFailed,
    /// The source has no copy.
    SourceMiss,
    /// The cache had no free slot for a fill.
    FillSlotsFull,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// Load report of an endpoint; negative values are absent.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// Number of requests in flight at the endpoint.
    pub active: f64,
    /// Fraction of capacity in use.
    pub utilization: f64,
    /// Recent hit ratio.
    pub hit_ratio: f64,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Id of the request.
    pub id: Id,
    /// Number of the request's class.
    pub class: usize,
    /// The requested object.
    pub object: u64,
    /// Index of the requested chunk of the object, from 0.
    pub chunk: u64,
    /// The object's purge group.
    pub purge_group: u64,
    /// Time after which the client gives up.
    pub timeout: Micros,
    /// Size of the object in KB; 0: unknown.
    pub size_kb: f64,
    /// What is allowed once the request may have run; `None`: what its class allows.
    pub repeat_policy: Option<RepeatPolicy>,
}

/// Outcome of an attempt, with the facts that its response reported.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub request: Id,
    /// Index of the attempt, from 0.
    pub attempt: u32,
    /// Status with which the attempt ended.
    pub status: AttemptStatus,
    /// Whether the request has its final answer, through this outcome or before.
    pub is_final: bool,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// Time to the source's first byte or failure; 0: unknown.
    pub fill_wait: Micros,
    /// Origin of the copy, or reason for a failed fill.
    pub cache_status: CacheStatus,
    /// The endpoint's load report, if attached.
    pub load_report: Option<LoadReport>,
}

/// Input of a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The complete endpoint list, or its changes.
    Endpoints {
        /// Whether all endpoints are listed; absent ones are then removed.
        complete: bool,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// New settings. A class keeps its number; a class at an unused number is new. Pending requests keep
    /// their class, and the smaller of the old and new maximum number of attempts.
    Settings(Box<Settings>),
    /// The watch of the endpoint list failed or broke.
    WatchFailed,
    /// Constraints of the fleet-wide plans, in force from now on; the default imposes none.
    Constraints(Arc<Constraints>),
    /// A client's request.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// A response is being streamed: the request's deadline no longer applies.
    ResponseStarted {
        /// The request.
        request: Id,
    },
    /// The client disconnected.
    ClientDisconnected {
        /// The request.
        request: Id,
    },
    /// Copies that are older than `age` are void.
    Purged {
        /// The purged object; `None`: every object of the group.
        object: Option<u64>,
        /// The purge group.
        purge_group: u64,
        /// Time since the purge.
        age: Micros,
    },
    /// Purges may be unknown: until the next such event no copy older than this is accepted. `None`: all
    /// purges are known.
    BoundedStaleness(Option<Micros>),
    /// A timer is due.
    Timer {
        /// Token from [`Action::Timer`].
        token: u64,
    },
}

/// Fetch options of an attempt: the source of a fill and the copies that are acceptable.
#[derive(Clone, Debug, PartialEq)]
pub struct Fetch {
    /// The endpoint that a miss is filled from; if it is the target itself, misses are not filled.
    pub source: Id,
    /// Maximum age of an accepted copy; 0: the fresh time, or any age if the class has no fresh time.
    pub max_age: Micros,
    /// Priority of the copy in the cache, from 1 to 3; 0: not kept.
    pub cache_priority: u8,
    /// Whether to join a fill in progress.
    pub join_fill: bool,
    /// Whether the source returns only cached copies and fills no misses.
    pub cached_only: bool,
    /// Stale-while-revalidate: serve a stale copy and refresh it in the background.
    pub revalidate: bool,
}

/// Output of a router, for its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: Id,
        /// The target.
        server: Id,
        /// Time at which the attempt is abandoned; 0: when the client gives up.
        until: Micros,
        /// `None`: a plain request to the origin.
        fetch: Option<Fetch>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: Id,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Final answer: rejected; the client may safely repeat the request.
    Reject {
        /// The request.
        request: Id,
        /// Retry-After time; 0: none.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        request: Id,
    },
    /// Set a timer for an [`Event::Timer`].
    Timer {
        /// Time at which the timer is due.
        at: Micros,
        /// Token that the event returns.
        token: u64,
    },
    /// Start a watch of the endpoint list.
    Watch,
}
