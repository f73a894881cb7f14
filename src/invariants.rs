//! Runtime checks of invariants, which panic in debug builds and are counted in release builds.

use std::sync::atomic::AtomicU64;

/// Number of failed invariant checks in a release build; a debug build panics on the first one.
pub static BROKEN_INVARIANTS: AtomicU64 = AtomicU64::new(0);

/// Checks an invariant: panics on failure in debug builds and counts the failure in release builds.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $what:literal) => {
        if !$holds {
            $crate::invariants::BROKEN_INVARIANTS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            debug_assert!(false, $what);
        }
    };
}
