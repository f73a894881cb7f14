//! Outlier detection: tracks the failure rates of endpoints, ejects those that fail more than their peers,
//! and readmits them.

use super::endpoint_table::EndpointIndex;
use super::events::Micros;
use super::request::Attempt;
use super::Router;

/// Weight of one success or ordinary failure in the failure rate: about five failures lead to an ejection.
pub(super) const FAILURE_RATE_STEP: f64 = 0.15;
/// Weight of a certain failure, such as a failed connection: a single one ejects the endpoint.
pub(super) const CERTAIN_FAILURE_STEP: f64 = 0.5;
/// Weight of a success of an ejected endpoint: three in a row readmit it.
const TRIAL_SUCCESS_STEP: f64 = 0.3;
/// Failure rate above which an endpoint is ejected: above it retries no longer compensate for the failures.
const EJECTION_FAILURE_RATE: f64 = 0.45;
/// An endpoint is ejected only if its failure rate exceeds the mean rate of its peers by this factor.
const EJECTION_PEER_RATIO: f64 = 2.0;
/// Failure rate below which an ejected endpoint is used if all other endpoints are full.
const DEGRADED_FAILURE_RATE: f64 = 0.7;
/// Failure rate below which an ejected endpoint is readmitted.
const READMISSION_FAILURE_RATE: f64 = 0.2;
/// Duration of a first ejection, in microseconds; each further one in a row is twice as long.
const FIRST_EJECTION_US: Micros = 1_000_000;
/// Maximum number of times that the duration of an ejection is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Minimum failure rate in attribution: a failure between two endpoints without failures is split evenly.
const MIN_ATTRIBUTED_RATE: f64 = 0.02;

/// Failure rate of one endpoint, and its ejection.
#[derive(Default)]
pub(super) struct OutlierDetector {
    failure_rate: f64,
    is_ejected: bool,
    /// Time from which an ejected endpoint gets one trial attempt at a time.
    ejected_until: Micros,
    ejections_in_a_row: u32,
    trial_in_flight: bool,
    last_reset_at: Option<Micros>,
}

impl OutlierDetector {
    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns whether the endpoint may be sent requests: it is not ejected, or it is due for a trial.
    pub(super) fn is_available(&self, now: Micros) -> bool {
        !self.is_ejected || (now >= self.ejected_until && !self.trial_in_flight)
    }

    /// Returns whether the endpoint still answers some requests, ejected or not.
    pub(super) fn answers_some_requests(&self) -> bool {
        self.failure_rate < DEGRADED_FAILURE_RATE
    }

    pub(super) fn attempt_started(&mut self) {
        self.trial_in_flight |= self.is_ejected;
    }

    pub(super) fn attempt_ended(&mut self) {
        self.trial_in_flight = false;
    }

    /// Records a connection reset and returns false if another one had the same time. A broken connection
    /// resets all of its attempts, but is one failure.
    pub(super) fn is_new_reset(&mut self, now: Micros) -> bool {
        self.last_reset_at.replace(now) != Some(now)
    }

    fn record_success(&mut self, step: f64) {
        let step = if self.is_ejected { TRIAL_SUCCESS_STEP.max(step) } else { step };
        self.failure_rate += step * (0.0 - self.failure_rate);
        if self.is_ejected && self.failure_rate < READMISSION_FAILURE_RATE {
            self.is_ejected = false;
            self.ejections_in_a_row = 0;
        }
    }

    fn record_failure(&mut self, now: Micros, step: f64, peer_failure_rate: f64) {
        self.failure_rate += step * (1.0 - self.failure_rate);
        let is_outlier = self.failure_rate > EJECTION_FAILURE_RATE
            && self.failure_rate > EJECTION_PEER_RATIO * peer_failure_rate;
        if self.is_ejected || is_outlier {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Micros) {
        if now >= self.ejected_until {
            let doublings = self.ejections_in_a_row.min(MAX_EJECTION_DOUBLINGS);
            self.ejected_until = now + (FIRST_EJECTION_US << doublings);
            self.ejections_in_a_row += 1;
        }
        self.is_ejected = true;
    }
}

impl Router {
    pub(super) fn is_available(&self, index: EndpointIndex) -> bool {
        self.endpoints[index].outliers.is_available(self.now)
    }

    pub(super) fn record_success(&mut self, index: EndpointIndex, step: f64) {
        self.endpoints[index].outliers.record_success(step);
    }

    pub(super) fn record_failure(&mut self, index: EndpointIndex, step: f64) {
        let peer_failure_rate = self.peer_failure_rate(index);
        self.endpoints[index].outliers.record_failure(self.now, step, peer_failure_rate);
    }

    /// Records a failure of either the target or the source: it is split by the failure rates of both.
    pub(super) fn attribute_failure(&mut self, attempt: &Attempt, step: f64) {
        let Some(source) = attempt.source_beside_target() else {
            return self.record_failure(attempt.target, step);
        };
        let source_share = self.source_share_of_failure(attempt.target, source);
        self.record_failure(attempt.target, step * (1.0 - source_share));
        self.record_failure(source, step * source_share);
    }

    /// Returns the share of a failure, from 0 to 1, that is attributed to the source.
    pub(super) fn source_share_of_failure(&self, target: EndpointIndex, source: EndpointIndex) -> f64 {
        let cache = &self.endpoints[target];
        let source_rate = self.endpoints[source].outliers.failure_rate + MIN_ATTRIBUTED_RATE;
        let by_source = source_rate * (1.0 - cache.hit_ratio);
        by_source / (cache.outliers.failure_rate + MIN_ATTRIBUTED_RATE + by_source)
    }

    fn peer_failure_rate(&self, index: EndpointIndex) -> f64 {
        let (mut sum, mut peers) = (0.0, 0.0);
        for &peer in self.endpoints.of_role(self.endpoints[index].endpoint.role) {
            if peer != index {
                sum += self.endpoints[peer].outliers.failure_rate;
                peers += 1.0;
            }
        }
        sum / f64::max(peers, 1.0)
    }
}
