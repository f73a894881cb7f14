//! Seeded soak test with pauses: besides the faults of `soak.rs`, instances are stopped and continued, and so is this
//! process with its clients and servers. A separate test program, since a stall stops all tests of its process.
//!
//! `make soak SEEDS=50` runs more seeds; `SOAK_FROM=N` starts with seed N.
#![cfg(unix)]

#[path = "common/soak_play.rs"]
mod soak_play;

/// Number of seeds that CI runs.
const SEEDS: u64 = 5;

/// Guards against an instance that, after a pause, acts on timeouts or closes connections before it has read the input
/// that arrived meanwhile.
#[test]
fn a_paused_instance_answers_every_accepted_request_and_sends_no_attempt_after_its_client_left() {
    let (count, failures) = soak_play::failures(SEEDS, true);
    assert!(failures.is_empty(), "{} of {count} seeds fail:\n{}", failures.len(), failures.join("\n"));
}
