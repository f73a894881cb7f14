//! The order in which endpoints are dialed, and the pauses between dials.

use crate::routing::events::Micros;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg32;

/// Least pause after a failure once every endpoint has been tried.
const MIN_PAUSE: Micros = 50_000;
/// Doublings of the pause after which it does not grow further.
const MAX_DOUBLINGS: u32 = 20;

/// Bounds of the pauses between dials, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct RetryPauses {
    /// First retries of all instances that lost the registry at once are spread over this.
    pub spread: Micros,
    /// The longest pause.
    pub longest: Micros,
}

/// The endpoints in an order of this follower's own, and the failures in a row.
#[derive(Clone, Debug)]
pub struct EndpointRotation {
    order: Vec<usize>,
    next_index: usize,
    failures: u32,
}

impl EndpointRotation {
    /// All of `endpoints` endpoints in random order.
    pub fn shuffled(endpoints: usize, rng: &mut Pcg32) -> Self {
        let mut order: Vec<usize> = (0..endpoints).collect();
        order.shuffle(rng);
        EndpointRotation { order, next_index: 0, failures: 0 }
    }

    /// How many endpoints there are.
    pub fn endpoint_count(&self) -> usize {
        self.order.len()
    }

    /// The position in the order that is dialed next.
    #[cfg(test)]
    pub fn next_index(&self) -> usize {
        self.next_index % self.order.len()
    }

    /// The endpoint to dial now; `None`: there are no endpoints.
    pub fn next_endpoint(&mut self) -> Option<usize> {
        let endpoint = *self.order.get(self.next_index % self.order.len().max(1))?;
        self.next_index = self.next_index.wrapping_add(1);
        Some(endpoint)
    }

    /// The pause before the next dial. Each endpoint is tried after a pause within `first_spread` before pauses grow,
    /// because all instances may have lost the registry at the same moment.
    pub fn backoff(&self, first_spread: Micros, pauses: RetryPauses, rng: &mut Pcg32) -> Micros {
        let rounds = self.failures / self.order.len().max(1) as u32;
        if rounds == 0 {
            return rng.random_range(0..=first_spread);
        }
        let longest = pauses.longest.max(MIN_PAUSE);
        let shortest = (pauses.spread / 2).clamp(MIN_PAUSE, longest);
        let pause = shortest.saturating_mul(1 << rounds.min(MAX_DOUBLINGS)).min(longest);
        rng.random_range(pause / 4..=pause)
    }

    /// Counts a failure.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Ends a row of failures.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}
