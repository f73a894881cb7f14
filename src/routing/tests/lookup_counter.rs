//! Counter of endpoint record reads.

use std::cell::Cell;

#[derive(Default)]
pub(super) struct LookupCounter(Cell<u64>);

impl LookupCounter {
    pub(super) fn add(&self, lookups: usize) {
        self.0.set(self.0.get() + lookups as u64);
    }

    /// Returns the count and resets it to 0.
    pub(super) fn take(&self) -> u64 {
        self.0.take()
    }
}
