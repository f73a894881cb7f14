//! Adaptive limits on this router's attempts in flight at each endpoint.
//!
//! A limit starts near the fair share, rises while responses are in time, and is cut when they are late. A
//! limit below one attempt is enforced on average over some seconds, so that the sum over hundreds of routers
//! is right.

use super::capacity::{SMALL_PARENT_SHARE, SMALL_SHARE_ORIGIN_FRACTION};
use super::endpoint_table::EndpointIndex;
use super::events::{Micros, Role};
use super::latency::{Timeliness, TOLERATED_LATE_RATE};
use super::Router;

/// Number of square roots of a limit below one by which attempts in flight may briefly exceed the limit.
pub(super) const BURST_DEVIATIONS: f64 = 2.0;
/// Time constant of the average that a limit below one attempt applies to, in microseconds.
const AVERAGE_SPAN_US: f64 = 4e6;
/// Factor applied to a limit after a late response.
pub(super) const LIMIT_CUT_FACTOR: f64 = 0.85;
/// Minimum time between two cuts, in microseconds: responses to attempts that were sent under the old limit
/// must not cut the new one.
const LIMIT_CUT_INTERVAL_US: Micros = 200_000;
/// Maximum relative rise of a limit per response in time: fast responses must not outweigh slow, late ones.
const MAX_LIMIT_RISE: f64 = 0.05;

/// Number of attempts in flight at or through one endpoint, current and average.
#[derive(Default)]
pub(super) struct InFlight {
    count: u32,
    average: f64,
    averaged_at: Micros,
}

impl InFlight {
    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub(super) fn increment(&mut self, now: Micros) {
        self.settle_average(now);
        self.count = self.count.saturating_add(1);
    }

    pub(super) fn decrement(&mut self, now: Micros) {
        self.settle_average(now);
        self.count = self.count.saturating_sub(1);
    }

    fn count(&self) -> f64 {
        f64::from(self.count)
    }

    fn average_at(&self, now: Micros) -> f64 {
        let remaining = (-(now.saturating_sub(self.averaged_at) as f64) / AVERAGE_SPAN_US).exp();
        self.average * remaining + f64::from(self.count) * (1.0 - remaining)
    }

    fn settle_average(&mut self, now: Micros) {
        self.average = self.average_at(now);
        self.averaged_at = now;
    }
}

/// Limit on this router's attempts in flight at one endpoint.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    pub(super) in_flight: InFlight,
    /// This router's share of the endpoint's size; a cut does not go below it.
    pub(super) fair_share: f64,
    /// Maximum number of attempts in flight; 0: not set; infinite: not learned.
    limit: f64,
    last_cut_at: Micros,
}

impl ConcurrencyLimit {
    fn known_limit(&self) -> Option<f64> {
        Some(self.limit).filter(|limit| limit.is_normal())
    }

    /// Raises a limit that is at least half used after a response in time.
    fn raise(&mut self, used: f64, ceiling: Option<f64>, response_weight: f64) {
        let at_ceiling = ceiling.is_some_and(|ceiling| self.limit >= ceiling);
        if used >= self.limit / 2.0 && !at_ceiling {
            self.limit += (1.0 / self.limit).min(self.limit * MAX_LIMIT_RISE * response_weight);
        }
    }

    fn may_cut(&self, now: Micros) -> bool {
        now >= self.last_cut_at.saturating_add(LIMIT_CUT_INTERVAL_US)
    }

    /// Cuts the limit after a late response; `peak` is the number of attempts that were in flight.
    fn cut(&mut self, now: Micros, peak: f64) {
        self.limit = (self.limit.min(peak) * LIMIT_CUT_FACTOR).max(self.fair_share);
        self.last_cut_at = now;
    }
}

impl Router {
    /// Returns whether this router may send one more attempt to an endpoint. With limits below one, only a
    /// few of many routers are busy at a time, so each may briefly exceed its limit; otherwise objects would
    /// go to caches that do not hold them. The origin is exempt from bursts because it fails above its
    /// capacity.
    pub(super) fn has_capacity(&self, index: EndpointIndex) -> bool {
        let upstream = &self.endpoints[index];
        let (in_flight, limit) = (upstream.concurrency.in_flight.count(), upstream.concurrency.limit);
        if limit >= 1.0 {
            return in_flight < limit;
        }
        let burst = match upstream.endpoint.role {
            Role::Origin => 1.0,
            Role::Cache | Role::Parent => limit + BURST_DEVIATIONS * limit.sqrt(),
        };
        in_flight < burst && self.average_in_flight(index) < limit
    }

    /// Sets the fair share of all eligible endpoints, and the limit of those that have none yet.
    pub(super) fn refresh_limits(&mut self) {
        let parents = self.endpoints.of_role(Role::Parent).iter();
        let parent_limits = parents.filter_map(|&parent| self.endpoints[parent].concurrency.known_limit());
        let shared_parent_limit = parent_limits.reduce(f64::min);
        for index in self.endpoints.eligible() {
            let fair_share = self.fair_share(index);
            let limit = if self.has_unknown_size(index) {
                // A limit without any size information would reject requests that could be served; late fills
                // set it.
                shared_parent_limit.unwrap_or(f64::INFINITY)
            } else {
                let known = self.endpoints[index].concurrency.known_limit();
                known.unwrap_or_else(|| self.first_limit(index, fair_share))
            };
            let concurrency = &mut self.endpoints[index].concurrency;
            concurrency.fair_share = fair_share;
            concurrency.limit = limit;
        }
    }

    /// Adjusts the limit after a response of an endpoint.
    pub(super) fn adjust_limit(&mut self, index: EndpointIndex, timeliness: Timeliness) {
        match timeliness {
            Timeliness::InTime => self.raise_limit(index, 1.0),
            Timeliness::Late => self.cut_limit(index),
        }
    }

    /// Raises the limit after a response in time that counts `response_weight` times.
    pub(super) fn raise_limit(&mut self, index: EndpointIndex, response_weight: f64) {
        let average = self.average_in_flight(index);
        let concurrency = &self.endpoints[index].concurrency;
        let in_flight = concurrency.in_flight.count();
        let with_next = if concurrency.limit >= 1.0 { in_flight + 1.0 } else { in_flight };
        let used = average.max(with_next);
        let small_share = concurrency.fair_share < SMALL_PARENT_SHARE * SMALL_SHARE_ORIGIN_FRACTION;
        let is_capped = small_share && self.endpoints.origin() == Some(index);
        for peer in self.limit_group(index) {
            let upstream = &mut self.endpoints[peer];
            let ceiling = is_capped.then_some(upstream.concurrency.fair_share / SMALL_SHARE_ORIGIN_FRACTION);
            upstream.objects.restore();
            upstream.concurrency.raise(used, ceiling, response_weight);
        }
    }

    /// Cuts the limit after a late response if late responses are frequent.
    pub(super) fn cut_limit(&mut self, index: EndpointIndex) {
        let average = self.average_in_flight(index);
        let in_flight = self.endpoints[index].concurrency.in_flight.count();
        let peak = if self.has_unknown_size(index) { average.max(in_flight) } else { in_flight + 1.0 };
        for peer in self.limit_group(index) {
            let upstream = &mut self.endpoints[peer];
            if upstream.latency.late_rate > TOLERATED_LATE_RATE && upstream.concurrency.may_cut(self.now) {
                upstream.objects.cut();
                upstream.concurrency.cut(self.now, peak);
            }
        }
    }

    /// Returns the endpoints that share one limit and one rate of late responses with this one. Parents of
    /// unknown size share them: each of many routers sees too few responses of a single parent to learn its
    /// size.
    pub(super) fn limit_group(&self, index: EndpointIndex) -> Vec<EndpointIndex> {
        let parents = self.endpoints.of_role(Role::Parent);
        if self.has_unknown_size(index) && parents.contains(&index) {
            parents.to_vec()
        } else {
            vec![index]
        }
    }

    /// Returns the recent average of attempts in flight at an endpoint, or per endpoint of its limit group.
    fn average_in_flight(&self, index: EndpointIndex) -> f64 {
        let average = |index| self.endpoints[index].concurrency.in_flight.average_at(self.now);
        if !self.has_unknown_size(index) {
            return average(index);
        }
        let group = self.limit_group(index);
        group.iter().map(|&peer| average(peer)).sum::<f64>() / group.len() as f64
    }

    /// Returns whether an endpoint is a parent whose size the settings give no basis to estimate.
    fn has_unknown_size(&self, index: EndpointIndex) -> bool {
        self.endpoints[index].endpoint.role == Role::Parent && !self.settings.has_size_information()
    }

    /// Returns an initial limit above the fair share, because other routers may be idle. The margin shrinks
    /// as more routers share the endpoint and their total load varies less.
    fn first_limit(&self, index: EndpointIndex, fair_share: f64) -> f64 {
        let sharing_routers = self.sharing_routers(&self.endpoints[index].endpoint);
        fair_share + fair_share * (BURST_DEVIATIONS / sharing_routers.sqrt()).min(1.0)
    }
}
