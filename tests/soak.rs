//! Seeded soak test: two instance processes, and recording servers and command channels, under a sequence of injected
//! faults. One seed decides timeouts, faults and times. The checks read only the records.
//!
//! Clients keep sending requests on their open connections until an instance ends. After SIGTERM an instance is killed
//! at the earliest moment that the protocol allows: the longest timeout, counted as at most 3 s, plus 0.7 s.
//! `make soak SEEDS=50` runs more seeds; `SOAK_FROM=N` starts with seed N.
#![cfg(unix)]

#[path = "common/soak_play.rs"]
mod soak_play;

/// Number of seeds that CI runs.
const SEEDS: u64 = 9;

#[test]
fn under_injected_faults_each_request_gets_one_response_and_unsafe_requests_run_at_most_once() {
    let (count, failures) = soak_play::failures(SEEDS, false);
    assert!(failures.is_empty(), "{} of {count} seeds fail:\n{}", failures.len(), failures.join("\n"));
}
