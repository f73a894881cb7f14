//! The order in which endpoints are dialed, and the pauses between dials.

use crate::routing::events::Micros;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg32;

/// Minimum of the upper bound from which a pause is drawn once every endpoint has failed, in microseconds.
const MIN_PAUSE: Micros = 50_000;
/// Maximum number of times the pause is doubled.
const MAX_DOUBLINGS: u32 = 20;

/// Bounds of the pauses between dials, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct RetryPauses {
    /// Time over which the first retries are spread when all instances have lost the registry at once.
    pub spread: Micros,
    /// Longest pause between dials.
    pub longest: Micros,
}

/// The endpoints in a random order of this follower, and the number of consecutive failures.
#[derive(Clone, Debug)]
pub struct EndpointRotation {
    order: Vec<usize>,
    /// Number of endpoints returned so far; modulo the length of `order`, the index of the next one.
    next_index: usize,
    /// Number of consecutive failures.
    failures: u32,
}

impl EndpointRotation {
    /// Creates a rotation over the endpoints `0..endpoints` in random order.
    pub fn shuffled(endpoints: usize, rng: &mut Pcg32) -> Self {
        let mut order: Vec<usize> = (0..endpoints).collect();
        order.shuffle(rng);
        EndpointRotation { order, next_index: 0, failures: 0 }
    }

    /// Returns the number of endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.order.len()
    }

    /// Returns the index in the order of the endpoint that is dialed next.
    #[cfg(test)]
    pub fn next_index(&self) -> usize {
        self.next_index % self.order.len()
    }

    /// Returns the next endpoint to dial and advances the rotation; `None` if there are no endpoints.
    pub fn next_endpoint(&mut self) -> Option<usize> {
        let endpoint = *self.order.get(self.next_index % self.order.len().max(1))?;
        self.next_index = self.next_index.wrapping_add(1);
        Some(endpoint)
    }

    /// Returns the pause before the next dial. Until each endpoint has failed once, pauses are random within
    /// `first_spread`, because all instances may have lost the registry at the same time. After that, they grow
    /// exponentially up to `pauses.longest`.
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

    /// Counts a failed dial or a lost connection.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Resets the number of consecutive failures.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}
