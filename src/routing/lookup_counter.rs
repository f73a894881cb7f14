//! Counter of endpoint record reads for tests. Outside tests it is empty and has no cost.

/// Counter that does nothing; tests use the type of the same name in `tests/lookup_counter.rs` instead.
#[derive(Default)]
pub(super) struct LookupCounter;

impl LookupCounter {
    #[inline(always)]
    pub(super) fn add(&self, _lookups: usize) {}
}
