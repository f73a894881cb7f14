//! The seeded soak with pauses: besides the troubles of `soak.rs` instances are stopped and go on, and so does this
//! process with its clients and servers. A program of its own, since its stalls stop whatever runs beside it.
//!
//! `make soak SEEDS=50` plays more of them; `SOAK_FROM=N` begins with the seed N.
#![cfg(unix)]

#[path = "common/soak_play.rs"]
mod soak_play;

/// Seeds that CI plays.
const SEEDS: u64 = 5;

/// Guards against what is judged or closed after a pause before it was read.
#[test]
fn a_paused_instance_answers_all_it_has_taken_and_begins_nothing_for_nobody() {
    let (many, failures) = soak_play::failures(SEEDS, true);
    assert!(failures.is_empty(), "{} of {many} seeds fail:\n{}", failures.len(), failures.join("\n"));
}
