//! A seeded soak: two real instances, servers and command channels that keep records, and troubles in a row. One seed
//! decides all: deadlines, troubles and times. The judge reads the records alone.
//!
//! Clients go on asking on their open connections until an instance's end. After SIGTERM it is killed at the earliest
//! moment that the protocol allows: the longest deadline, counted as 3 s at most, and 0.7 s.
//! `make soak SEEDS=50` plays more of them; `SOAK_FROM=N` begins with the seed N.
#![cfg(unix)]

#[path = "common/soak_play.rs"]
mod soak_play;

/// Seeds that CI plays.
const SEEDS: u64 = 9;

#[test]
fn whatever_happens_each_request_has_one_answer_and_nothing_runs_twice() {
    let (many, failures) = soak_play::failures(SEEDS, false);
    assert!(failures.is_empty(), "{} of {many} seeds fail:\n{}", failures.len(), failures.join("\n"));
}
