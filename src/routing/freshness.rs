//! Maximum age of the copies that a request accepts.
//!
//! By the rule of the paper cited in `mod.rs`, the accepted age grows with the requests in flight: it is the
//! fresh time plus a part of the grace period for each request above the usual number. A purge caps it.

use super::events::{Micros, Request};
use super::Router;

/// Tenths of the grace period added for each request in flight above the usual number; gamma1 of the paper.
const GRACE_TENTHS_PER_EXCESS_REQUEST: f64 = 2.0;
/// Number of tenths in the full grace period.
const TENTHS_PER_GRACE: f64 = 10.0;
/// Time constant of the average of requests in flight, in microseconds: far longer than a burst.
const AVERAGE_SPAN_US: f64 = 30e6;
/// Time constant over which failed attempts count as if in flight, in microseconds: about a client's timeout.
const RECENT_FAILURE_SPAN_US: f64 = 2e6;

/// Number of requests that the router has in flight at caches, current and average.
#[derive(Default)]
pub(super) struct RequestLoad {
    in_flight: u32,
    average: f64,
    recent_failures: f64,
}

impl RequestLoad {
    /// Updates the averages for elapsed time. Until the router is as old as the time constant, the average is
    /// a plain mean, so that the first requests do not count as a burst.
    pub(super) fn advance(&mut self, elapsed: Micros, router_age: Micros) {
        let elapsed = elapsed as f64;
        let span = AVERAGE_SPAN_US.min(router_age as f64).max(1.0);
        self.average += (f64::from(self.in_flight) - self.average) * (1.0 - (-elapsed / span).exp());
        self.recent_failures *= (-elapsed / RECENT_FAILURE_SPAN_US).exp();
    }

    pub(super) fn attempt_started(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn attempt_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a failed attempt: it is no longer in flight, but still indicates overload.
    pub(super) fn record_failure(&mut self) {
        self.recent_failures += 1.0;
    }

    pub(super) fn forget_failures(&mut self, count: u32) {
        self.recent_failures = (self.recent_failures - f64::from(count)).max(0.0);
    }

    /// Returns the number of requests above the usual one, which is the average plus its square root: the
    /// standard deviation of random arrivals.
    fn excess(&self) -> f64 {
        let usual = self.average + self.average.sqrt();
        (f64::from(self.in_flight) + self.recent_failures - usual).max(0.0)
    }
}

impl Router {
    /// Returns the maximum age of a copy that a request accepts; 0: the fresh time, or any age if the class
    /// has no fresh time.
    pub(super) fn accepted_age(&self, request: &Request) -> Micros {
        let Some(class) = self.settings.classes.get(request.class) else { return 0 };
        let age = if class.fresh_for == 0 {
            0
        } else {
            class
                .fresh_for
                .saturating_add((class.grace as f64 * self.grace_tenths() / TENTHS_PER_GRACE) as Micros)
        };
        let Some(purged_at) = self.purged_at(request) else { return age };
        // Never 0, which would mean any age.
        let since_purge = self.now.saturating_sub(purged_at).max(1);
        if age == 0 {
            since_purge
        } else {
            age.min(since_purge)
        }
    }

    /// Returns the time of the latest purge of a request's object or purge group.
    pub(super) fn purged_at(&self, request: &Request) -> Option<Micros> {
        self.purges.latest_purge(request.object, request.purge_group)
    }

    fn grace_tenths(&self) -> f64 {
        if self.constraints.force_stale() {
            return TENTHS_PER_GRACE;
        }
        (GRACE_TENTHS_PER_EXCESS_REQUEST * self.load.excess()).clamp(0.0, TENTHS_PER_GRACE)
    }
}
