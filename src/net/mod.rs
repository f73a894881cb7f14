//! The real doorman on sockets, round the decision module: it translates and decides nothing.

pub mod accept;
pub mod bounds;
pub mod clock;
pub mod config;
pub mod connection;
pub mod doorman;
pub mod event_loop;
pub mod feed;
pub mod grpc;
pub mod listener;
pub mod pool;
pub mod proto;
pub mod startup;
#[cfg(test)]
pub(crate) mod testing;

use std::sync::atomic::AtomicU64;

/// How often something that must hold did not, in a release build (a debug build stops at once).
pub static BROKEN_INVARIANTS: AtomicU64 = AtomicU64::new(0);

/// States what must hold: asserted in debug builds, counted in release builds.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $what:literal) => {
        if !$holds {
            $crate::net::BROKEN_INVARIANTS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            debug_assert!(false, $what);
        }
    };
}
