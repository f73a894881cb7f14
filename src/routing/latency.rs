//! Rates of late responses per endpoint, and learned transfer times per class.

use super::concurrency::BURST_DEVIATIONS;
use super::endpoint_table::EndpointIndex;
use super::events::{CacheStatus, Class, Micros, OutcomeDetail, Role};
use super::request::Attempt;
use super::Router;

/// Weight of one response in the moving average of late responses.
const LATE_RATE_STEP: f64 = 0.15;
/// Maximum weight of one response, for an origin that many routers share.
const MAX_LATE_RATE_STEP: f64 = 0.5;
/// Rate of late responses up to which no limit is cut: where sizes are unknown, large responses look late.
pub(super) const TOLERATED_LATE_RATE: f64 = 0.15;
/// A late response is attributed to the cache only if its late rate exceeds the source's by this factor.
const CACHE_LATE_RATIO: f64 = 1.5;
/// Minimum difference between two late rates that is significant.
const LATE_RATE_MARGIN: f64 = 0.02;
/// Transfer time assumed for a class until one is learned, in microseconds.
const DEFAULT_TRANSFER_TIME_US: f64 = 200_000.0;
/// Number of observations in a learned mean: a plain mean up to this number, a moving average beyond it.
const LEARNED_OBSERVATIONS: f64 = 20.0;

/// Whether a response came in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timeliness {
    InTime,
    Late,
}

/// Rate of late responses of one endpoint.
#[derive(Default)]
pub(super) struct LatencyTracker {
    /// Fraction of recent responses that were late.
    pub(super) late_rate: f64,
    pub(super) last_response_at: Micros,
}

impl LatencyTracker {
    fn record(&mut self, timeliness: Timeliness, step: f64) {
        let observed = match timeliness {
            Timeliness::InTime => 0.0,
            Timeliness::Late => 1.0,
        };
        self.late_rate += step * (observed - self.late_rate);
    }
}

/// A mean learned from observations. It starts as a plain mean: sizes are skewed, and a moving average that
/// starts from the first observation would usually be far too small.
#[derive(Clone, Copy, Default)]
struct LearnedMean {
    /// The mean in microseconds; 0: not learned yet.
    value: f64,
    observations: f64,
}

impl LearnedMean {
    fn learn(&mut self, observed: f64) {
        self.observations = (self.observations + 1.0).min(LEARNED_OBSERVATIONS);
        self.value += (observed - self.value) / self.observations;
    }
}

/// Learned transfer times by class.
#[derive(Default)]
pub(super) struct TransferTimes {
    means_us: Vec<LearnedMean>,
}

impl TransferTimes {
    pub(super) fn new(classes: usize) -> Self {
        TransferTimes { means_us: vec![LearnedMean::default(); classes] }
    }

    /// Resets the means of classes that have changed.
    pub(super) fn apply_classes(&mut self, previous: &[Class], current: &[Class]) {
        self.means_us.resize(current.len(), LearnedMean::default());
        for ((mean, previous), current) in self.means_us.iter_mut().zip(previous).zip(current) {
            if previous != current {
                *mean = LearnedMean::default();
            }
        }
    }

    pub(super) fn mean_us(&self, class: usize) -> f64 {
        let learned = self.means_us.get(class).map(|mean| mean.value).filter(|&mean| mean > 0.0);
        learned.unwrap_or(DEFAULT_TRANSFER_TIME_US)
    }

    pub(super) fn learn(&mut self, class: usize, transfer_time_us: f64) {
        if let Some(mean) = self.means_us.get_mut(class) {
            mean.learn(transfer_time_us);
        }
    }
}

impl Router {
    /// Returns the time after which a response counts as late, in microseconds.
    pub(super) fn late_after(&self, class: usize, transfer_time_us: f64) -> Micros {
        let (objective, stretch) = match self.settings.classes.get(class) {
            Some(class) => (class.latency_objective, class.latency_objective_stretch),
            None => (0, 0.0),
        };
        objective.saturating_add((stretch.max(1.0) * transfer_time_us) as Micros)
    }

    /// Records whether a response was in time. It is attributed to the origin if the origin took part in the
    /// fill, to the cache on a hit, and otherwise to the cache or the source, whichever is late more often.
    pub(super) fn record_timing(&mut self, attempt: &Attempt, status: CacheStatus, timeliness: Timeliness) {
        if self.record_origin_timing(attempt, status, timeliness) {
            return;
        }
        let target = attempt.target;
        let is_hit = matches!(status, CacheStatus::Hit | CacheStatus::Stale);
        let is_fill = matches!(status, CacheStatus::Filled | CacheStatus::Joined);
        let source = attempt.source_beside_target().filter(|_| !is_hit);
        let is_unknown = self.settings.outcome_detail == OutcomeDetail::Silent;
        // Direct requests to the origin show its queue best, and each of many routers sees only a few.
        let is_direct = self.endpoints[target].endpoint.role == Role::Origin;
        if is_hit || is_unknown || is_direct {
            self.record_timeliness(target, timeliness);
        }
        if let Some(source) = source.filter(|_| is_fill || is_unknown) {
            self.record_timeliness(source, timeliness);
        }
        self.adjust_limits(target, source, timeliness);
    }

    /// Records whether a response that the origin took part in was in time. Returns true if the response was
    /// late because of the origin, and false if the source is late with its own copies, too.
    pub(super) fn record_origin_timing(
        &mut self,
        attempt: &Attempt,
        status: CacheStatus,
        timeliness: Timeliness,
    ) -> bool {
        let Some(origin) = self.endpoints.origin().filter(|_| self.was_filled_by_origin(attempt, status))
        else {
            return false;
        };
        self.record_timeliness(origin, timeliness);
        let is_late = timeliness == Timeliness::Late;
        if is_late && !self.origin_causes_delay(attempt, origin) {
            return false;
        }
        if is_late {
            self.cut_limit(origin);
        } else if attempt.origin.is_some() {
            // Each of many routers sees few responses of the origin behind the parents, so each response has
            // more weight.
            let response_weight = self.response_weight(origin);
            self.raise_limit(origin, response_weight);
        } else if attempt.source == Some(origin) {
            self.raise_limit(origin, 1.0);
        }
        is_late
    }

    /// Adjusts the limits of target and source after a response.
    pub(super) fn adjust_limits(
        &mut self,
        target: EndpointIndex,
        source: Option<EndpointIndex>,
        timeliness: Timeliness,
    ) {
        let Some(source) = source else { return self.adjust_limit(target, timeliness) };
        if timeliness == Timeliness::InTime {
            self.adjust_limit(target, timeliness);
            self.adjust_limit(source, timeliness);
            return;
        }
        let source_late_rate = self.endpoints[source].latency.late_rate;
        let own_threshold = CACHE_LATE_RATIO * source_late_rate + LATE_RATE_MARGIN;
        let source_causes_delay = self.endpoints[target].latency.late_rate <= own_threshold;
        self.adjust_limit(if source_causes_delay { source } else { target }, timeliness);
    }

    pub(super) fn has_higher_late_rate(&self, index: EndpointIndex, than: EndpointIndex) -> bool {
        self.endpoints[index].latency.late_rate > self.endpoints[than].latency.late_rate
    }

    pub(super) fn record_timeliness(&mut self, index: EndpointIndex, timeliness: Timeliness) {
        let step = match self.endpoints[index].endpoint.role {
            Role::Origin => (LATE_RATE_STEP * self.response_weight(index)).min(MAX_LATE_RATE_STEP),
            Role::Cache | Role::Parent => LATE_RATE_STEP,
        };
        for peer in self.limit_group(index) {
            self.endpoints[peer].latency.record(timeliness, step);
        }
    }

    /// Returns whether the origin took part in a fill. Where outcomes do not report this, the expectation
    /// when the attempt was sent decides.
    fn was_filled_by_origin(&self, attempt: &Attempt, status: CacheStatus) -> bool {
        match status {
            CacheStatus::FilledByOrigin => true,
            CacheStatus::Filled => {
                attempt.origin.is_some() && self.settings.outcome_detail != OutcomeDetail::All
            }
            _ => false,
        }
    }

    fn origin_causes_delay(&self, attempt: &Attempt, origin: EndpointIndex) -> bool {
        let nearer_endpoint = attempt.source.unwrap_or(attempt.target);
        let threshold = if nearer_endpoint == origin {
            0.0
        } else {
            CACHE_LATE_RATIO * self.endpoints[nearer_endpoint].latency.late_rate
        };
        self.endpoints[origin].latency.late_rate > TOLERATED_LATE_RATE.max(threshold)
    }

    /// Returns the weight of one response of an endpoint, which grows with the number of routers that share
    /// it: each of them sees fewer responses.
    fn response_weight(&self, index: EndpointIndex) -> f64 {
        (self.sharing_routers(&self.endpoints[index].endpoint).sqrt() / BURST_DEVIATIONS).max(1.0)
    }
}
