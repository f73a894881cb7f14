//! A router's state of one upstream endpoint: its list entry, and the part that each rule keeps.

use super::concurrency::ConcurrencyLimit;
use super::events::{Endpoint, EndpointState, Micros};
use super::latency::LatencyTracker;
use super::outlier_detection::OutlierDetector;
use super::selection::ObjectShare;
use super::slow_start::SlowStartBudget;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hit ratio assumed for a cache until it reports one.
const ASSUMED_HIT_RATIO: f64 = 0.5;

/// State of one upstream endpoint.
#[derive(Default)]
pub(super) struct Upstream {
    /// Hash of the id; identifies the endpoint in rendezvous hashing, the same at every router.
    pub(super) key: u64,
    /// Its entry in the endpoint list.
    pub(super) endpoint: Endpoint,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) outliers: OutlierDetector,
    pub(super) latency: LatencyTracker,
    pub(super) slow_start: SlowStartBudget,
    pub(super) objects: ObjectShare,
    /// Fraction of requests that the endpoint answers from its own copies.
    pub(super) hit_ratio: f64,
}

impl Upstream {
    pub(super) fn new(endpoint: Endpoint, listed_at: Micros) -> Self {
        Upstream {
            key: xxh3_64_with_seed(endpoint.id.as_bytes(), 0),
            endpoint,
            slow_start: SlowStartBudget::new(listed_at),
            objects: ObjectShare::full(),
            hit_ratio: ASSUMED_HIT_RATIO,
            ..Upstream::default()
        }
    }

    /// Applies a new list entry of the same endpoint.
    pub(super) fn update(&mut self, now: Micros, endpoint: Endpoint) {
        if endpoint.started_at > self.endpoint.started_at {
            self.restart(now, endpoint);
        } else if endpoint.state == EndpointState::Removed {
            // The entry of a removal may lack the other fields.
            self.endpoint.state = EndpointState::Removed;
        } else {
            self.endpoint = endpoint;
        }
    }

    /// Resets the state of a restarted endpoint, except for attempts in flight, whose outcomes are still to
    /// come, and the work sent during slow start.
    fn restart(&mut self, now: Micros, endpoint: Endpoint) {
        let previous = std::mem::replace(self, Upstream::new(endpoint, now));
        self.concurrency.in_flight = previous.concurrency.in_flight;
        self.slow_start.sent = previous.slow_start.sent;
    }
}
