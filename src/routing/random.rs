//! Pseudorandom numbers derived from the router's seed.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Pseudorandom numbers of one router.
#[derive(Default)]
pub(super) struct RandomSequence {
    seed: u64,
    draws: u64,
}

impl RandomSequence {
    pub(super) fn new(seed: u64) -> Self {
        RandomSequence { seed, draws: 0 }
    }

    /// Returns the next number of the sequence, from 0 to 1.
    pub(super) fn next_fraction(&mut self) -> f64 {
        self.draws += 1;
        self.fraction_for(self.draws)
    }

    /// Returns the number for a key at this router, from 0 to 1.
    pub(super) fn fraction_for(&self, key: u64) -> f64 {
        hash_fraction(key, self.seed)
    }
}

/// Returns the hash of a key as a number from 0 to 1.
pub(super) fn hash_fraction(key: u64, seed: u64) -> f64 {
    xxh3_64_with_seed(&key.to_le_bytes(), seed) as f64 / u64::MAX as f64
}
