//! Handling of an attempt's outcome: the records of the endpoints that took part, and retry or final answer
//! of the request.

use super::endpoint_table::EndpointIndex;
use super::events::{Action, AttemptStatus, CacheStatus, Id, Outcome, OutcomeDetail, Role};
use super::latency::{Timeliness, TOLERATED_LATE_RATE};
use super::outlier_detection::{CERTAIN_FAILURE_STEP, FAILURE_RATE_STEP};
use super::request::{Attempt, CachedCopy, ClientState, PendingRequest};
use super::retry::RetryCost;
use super::Router;

/// Number of consecutive errors after which the request itself is taken to be the cause.
const MAX_CONSECUTIVE_ERRORS: u32 = 3;

impl Router {
    pub(super) fn handle_outcome(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some((mut pending, attempt)) = self.take_attempt(&outcome) else { return };
        self.release_attempt(&attempt);
        self.release_unused_fill(&pending, &attempt, &outcome);
        if !self.has_restarted_since(&attempt) {
            self.record_hit_ratio(&attempt, &outcome);
            self.record_outcome(&attempt, &outcome);
        }
        pending.consecutive_errors = match outcome.status {
            AttemptStatus::Error => pending.consecutive_errors + 1,
            _ => 0,
        };
        self.learn_transfer_time(&pending, &outcome);
        let is_finished = outcome.is_final || outcome.status == AttemptStatus::Served;
        if !is_finished && pending.client == ClientState::Connected {
            self.retry_or_finish(pending, &attempt, &outcome, actions);
        }
    }

    /// Handles an attempt whose response is overdue.
    pub(super) fn handle_overdue_attempt(&mut self, token: u64) {
        let Some((request, number)) = self.attempt_timers.take(token) else { return };
        let in_flight = self.pending.get(&request).and_then(|pending| pending.attempt);
        let Some(attempt) = in_flight.filter(|attempt| attempt.number == number) else { return };
        if self.is_response_missing(&attempt) {
            self.release_capacity_early(&request, &attempt);
        }
        // A failure is recorded only for an endpoint that has sent no response since. Ejecting caches for
        // slow fills would leave the other caches with more misses and even slower fills.
        for index in [Some(attempt.target), attempt.source].into_iter().flatten() {
            let upstream = &self.endpoints[index];
            let is_silent = upstream.latency.last_response_at < attempt.sent_at;
            if is_silent && upstream.endpoint.started_at <= attempt.sent_at {
                self.record_failure(index, FAILURE_RATE_STEP);
            }
        }
    }

    /// Removes the request that an outcome belongs to from the pending ones and returns it with its attempt.
    fn take_attempt(&mut self, outcome: &Outcome) -> Option<(PendingRequest, Attempt)> {
        let mut pending = self.pending.remove(&outcome.request)?;
        if let Some(attempt) = pending.attempt.filter(|attempt| attempt.number == outcome.attempt) {
            pending.attempt = None;
            return Some((pending, attempt));
        }
        self.pending.insert(outcome.request.clone(), pending);
        None
    }

    fn release_attempt(&mut self, attempt: &Attempt) {
        for index in attempt.participants() {
            let upstream = &mut self.endpoints[index];
            if !attempt.capacity_released {
                upstream.concurrency.in_flight.decrement(self.now);
            }
            if attempt.sent_at >= upstream.endpoint.started_at {
                upstream.outliers.attempt_ended();
            }
        }
        if self.is_cache(attempt.target) {
            self.load.attempt_ended();
        }
    }

    /// Returns whether the present process of an endpoint of the attempt started after the attempt was sent.
    /// What the earlier process did says nothing about the present one.
    fn has_restarted_since(&self, attempt: &Attempt) -> bool {
        attempt
            .participants()
            .into_iter()
            .any(|index| attempt.sent_at < self.endpoints[index].endpoint.started_at)
    }

    fn is_cache(&self, index: EndpointIndex) -> bool {
        self.endpoints[index].endpoint.role == Role::Cache
    }

    fn record_hit_ratio(&mut self, attempt: &Attempt, outcome: &Outcome) {
        if let Some(report) = outcome.load_report.filter(|report| report.hit_ratio >= 0.0) {
            self.endpoints[attempt.target].hit_ratio = report.hit_ratio.min(1.0);
        }
    }

    /// Refunds the recorded work of a fill that was not needed because the attempt was a cache hit.
    fn release_unused_fill(&mut self, pending: &PendingRequest, attempt: &Attempt, outcome: &Outcome) {
        let is_hit = matches!(outcome.cache_status, CacheStatus::Hit | CacheStatus::Stale);
        let Some(source) = attempt.source.filter(|_| is_hit) else { return };
        let is_via_cache = self.is_cache(attempt.target);
        self.constraints.refund_sent(&self.endpoints[source].endpoint.id, attempt.sent_at);
        // A request that went straight to a parent still counts towards the fill rate of its class.
        if is_via_cache {
            self.constraints.refund_fill(pending.request.class, attempt.sent_at);
        }
    }

    /// Learns transfer times from hits only: fills over congested links would make late responses look
    /// normal.
    fn learn_transfer_time(&mut self, pending: &PendingRequest, outcome: &Outcome) {
        let is_hit =
            self.settings.outcome_detail == OutcomeDetail::Silent || outcome.cache_status == CacheStatus::Hit;
        if outcome.status == AttemptStatus::Served && is_hit && pending.request.size_kb <= 0.0 {
            self.transfer_times.learn(pending.request.class, outcome.elapsed as f64);
        }
    }

    // Records of the endpoints.

    fn record_outcome(&mut self, attempt: &Attempt, outcome: &Outcome) {
        match outcome.status {
            AttemptStatus::Served => return self.record_response(attempt, outcome),
            AttemptStatus::Miss | AttemptStatus::NeverSent | AttemptStatus::Cancelled => return,
            AttemptStatus::Reset if !self.endpoints[attempt.target].outliers.is_new_reset(self.now) => return,
            AttemptStatus::Reset
            | AttemptStatus::Error
            | AttemptStatus::Rejected
            | AttemptStatus::TimedOut
            | AttemptStatus::ConnectFailed => self.load.record_failure(),
        }
        match outcome.status {
            AttemptStatus::ConnectFailed => self.record_failure(attempt.target, CERTAIN_FAILURE_STEP),
            // Connections break occasionally at any endpoint, so a reset is not a certain failure.
            AttemptStatus::Reset => self.record_failure(attempt.target, FAILURE_RATE_STEP),
            _ => self.record_failed_fill(attempt, outcome),
        }
    }

    fn record_response(&mut self, attempt: &Attempt, outcome: &Outcome) {
        self.endpoints[attempt.target].latency.last_response_at = self.now;
        self.record_success(attempt.target, FAILURE_RATE_STEP);
        // The wait for the fill and the transfer are compared with the objective separately: with a distant
        // origin their sum is late even without load.
        let sending_time = outcome.elapsed.saturating_sub(outcome.fill_wait);
        let is_late = sending_time.max(outcome.fill_wait) > attempt.late_after;
        let timeliness = if is_late { Timeliness::Late } else { Timeliness::InTime };
        self.record_timing(attempt, outcome.cache_status, timeliness);
        let fill_probability = match outcome.cache_status {
            CacheStatus::Hit | CacheStatus::Stale | CacheStatus::Joined => 0.0,
            CacheStatus::Filled | CacheStatus::FilledByOrigin => 1.0,
            _ => 1.0 - self.endpoints[attempt.target].hit_ratio,
        };
        if let Some(source) = attempt.source_beside_target().filter(|_| fill_probability > 0.0) {
            self.endpoints[source].latency.last_response_at = self.now;
            self.record_success(source, FAILURE_RATE_STEP * fill_probability);
        }
    }

    /// Records a failure according to the fill status that the outcome reports.
    fn record_failed_fill(&mut self, attempt: &Attempt, outcome: &Outcome) {
        match (outcome.cache_status, attempt.source_beside_target()) {
            (CacheStatus::SourceRejected | CacheStatus::SourceFailed, Some(source)) => {
                self.record_failure(source, FAILURE_RATE_STEP);
                self.cut_limit(source);
            }
            (CacheStatus::FillSlotsFull, _) => self.cut_limit(attempt.target),
            // A rejection by the origin behind a parent must lower the limit, or the origin fails.
            (CacheStatus::OriginFailed, _) => self.record_late_origin(attempt),
            (CacheStatus::SourceMiss, _) => {}
            _ if self.endpoints[attempt.target].endpoint.role == Role::Origin => {
                self.record_failed_origin(attempt.target, outcome.status);
            }
            _ => self.record_failed_target(attempt, outcome),
        }
    }

    fn record_failed_origin(&mut self, origin: EndpointIndex, status: AttemptStatus) {
        if status == AttemptStatus::TimedOut {
            self.record_timeliness(origin, Timeliness::Late);
        }
        self.record_failure(origin, FAILURE_RATE_STEP);
        self.cut_limit(origin);
    }

    /// Records a failure of a cache or parent whose outcome reports no fill status.
    fn record_failed_target(&mut self, attempt: &Attempt, outcome: &Outcome) {
        let reports_all = self.settings.outcome_detail == OutcomeDetail::All;
        match outcome.status {
            AttemptStatus::Rejected if reports_all => self.cut_limit(attempt.target),
            AttemptStatus::Rejected => self.record_full_target(attempt, outcome.cache_status),
            AttemptStatus::TimedOut if attempt.origin.is_some() => self.record_late_origin(attempt),
            // A missing response indicates overload only where other responses are late: limits cut for each
            // one would idle a zone that has its full capacity.
            AttemptStatus::TimedOut => {
                self.adjust_limits(attempt.target, attempt.source_beside_target(), Timeliness::Late);
            }
            _ if reports_all => self.record_failure(attempt.target, FAILURE_RATE_STEP),
            _ => self.attribute_failure(attempt, FAILURE_RATE_STEP),
        }
    }

    /// Records a rejection by a target. Where outcomes report no reasons, a parent that is full or has failed
    /// is not distinguishable from a full cache.
    fn record_full_target(&mut self, attempt: &Attempt, status: CacheStatus) {
        self.record_timing(attempt, status, Timeliness::Late);
        if let Some(source) = attempt.source_beside_target() {
            let source_share = if self.has_higher_late_rate(source, attempt.target) {
                1.0
            } else {
                self.source_share_of_failure(attempt.target, source)
            };
            self.record_failure(source, FAILURE_RATE_STEP * source_share);
        }
    }

    fn record_late_origin(&mut self, attempt: &Attempt) {
        self.record_origin_timing(attempt, CacheStatus::FilledByOrigin, Timeliness::Late);
    }

    // Retry or final answer of the request.

    fn retry_or_finish(
        &mut self,
        mut pending: PendingRequest,
        attempt: &Attempt,
        outcome: &Outcome,
        actions: &mut Vec<Action>,
    ) {
        if outcome.status.may_have_run() {
            pending.first_execution.get_or_insert(attempt.execution);
            if !pending.repeat_policy.is_some_and(|policy| policy.allows_repeats()) {
                return self.finish_without_response(pending, actions);
            }
        }
        let retry_cost = self.record_failed_attempt(&mut pending, attempt, outcome);
        if pending.consecutive_errors >= MAX_CONSECUTIVE_ERRORS {
            // Errors caused by the request itself do not indicate overload, and must not use up the retries
            // of other requests.
            self.load.forget_failures(pending.consecutive_errors);
            return self.finish_without_response(pending, actions);
        }
        if !self.may_retry(&pending, outcome.status, retry_cost) {
            return self.finish_without_response(pending, actions);
        }
        if retry_cost == RetryCost::OneToken {
            self.retry_budget.withdraw();
        }
        self.send_or_finish(pending, actions);
    }

    /// Records in the request what the next attempt must avoid, and returns the cost of the retry.
    fn record_failed_attempt(
        &mut self,
        pending: &mut PendingRequest,
        attempt: &Attempt,
        outcome: &Outcome,
    ) -> RetryCost {
        let is_miss = outcome.status == AttemptStatus::Miss;
        let missed_at_cache = is_miss && attempt.source.is_none();
        let missed_at_source = is_miss && attempt.cached_only;
        if missed_at_cache {
            pending.copy_at_cache = CachedCopy::Absent;
            // A request without capacity for its fill is not in flight anywhere, so it is counted like a
            // failure.
            self.load.record_failure();
        }
        if missed_at_source {
            pending.copy_at_source = CachedCopy::Absent;
        }
        if missed_at_cache || missed_at_source {
            return RetryCost::Free;
        }
        match attempt.source {
            Some(source) if self.is_source_at_fault(attempt.target, source, outcome) => {
                pending.failed_sources.push(source);
            }
            _ => pending.failed_targets.push(attempt.target),
        }
        RetryCost::OneToken
    }

    /// Returns whether the next attempt must avoid the source rather than the target.
    fn is_source_at_fault(&self, target: EndpointIndex, source: EndpointIndex, outcome: &Outcome) -> bool {
        match outcome.cache_status {
            CacheStatus::SourceRejected | CacheStatus::SourceFailed | CacheStatus::OriginFailed => {
                return true
            }
            _ if outcome.status == AttemptStatus::Miss => return true,
            CacheStatus::Unknown if self.settings.outcome_detail != OutcomeDetail::All => {}
            _ => return false,
        }
        let is_late_source =
            outcome.status == AttemptStatus::Rejected && self.has_higher_late_rate(source, target);
        let (target, source) = (&self.endpoints[target].outliers, &self.endpoints[source].outliers);
        is_late_source || source.failure_rate() > target.failure_rate()
    }

    // Attempts whose response is overdue.

    /// Returns whether an overdue response is considered lost: the target has sent other responses since, and
    /// neither a participant nor the origin is generally late. It would otherwise occupy capacity until the
    /// client's deadline.
    fn is_response_missing(&self, attempt: &Attempt) -> bool {
        let mut involved = attempt.participants().chain(self.endpoints.origin());
        let all_in_time =
            involved.all(|index| self.endpoints[index].latency.late_rate <= TOLERATED_LATE_RATE);
        all_in_time && self.endpoints[attempt.target].latency.last_response_at >= attempt.sent_at
    }

    fn release_capacity_early(&mut self, request: &Id, attempt: &Attempt) {
        if let Some(in_flight) = self.pending.get_mut(request).and_then(|pending| pending.attempt.as_mut()) {
            in_flight.capacity_released = true;
        }
        for index in attempt.participants() {
            self.endpoints[index].concurrency.in_flight.decrement(self.now);
        }
    }
}
