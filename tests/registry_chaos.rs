//! Registry sessions in virtual time with random faults from seeds. `CHAOS_SEED=n` runs one seed only.

use larchdale_test_support::registry::chaos::{run, Outcome, Plan};
use std::sync::atomic::{AtomicU64, Ordering};

const SEEDS: u64 = 240;

#[test]
fn under_random_faults_no_closed_endpoint_is_used_too_long_and_all_lists_become_current() {
    if let Some(seed) = std::env::var("CHAOS_SEED").ok().and_then(|s| s.parse().ok()) {
        return drop(run_seed(seed));
    }
    let next = AtomicU64::new(0);
    let (lists, recoveries, faults) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(2, |n| n.get()) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= SEEDS {
                    return;
                }
                let outcome = run_seed(seed);
                lists.fetch_add(outcome.lists, Ordering::Relaxed);
                recoveries.fetch_add(outcome.recoveries, Ordering::Relaxed);
                faults.fetch_add(outcome.faults, Ordering::Relaxed);
            });
        }
    });
    let totals = [lists, recoveries, faults].map(AtomicU64::into_inner);
    assert!(
        totals[0] > 10 * SEEDS && totals[1] > SEEDS && totals[2] > 5 * SEEDS,
        "too few lists, recoveries or faults: {totals:?}"
    );
}

fn run_seed(seed: u64) -> Outcome {
    let outcome = run(&Plan { seed, sessions: 3, endpoints: 20, span: 12_000_000, away: None });
    assert!(outcome.broken.is_empty(), "CHAOS_SEED={seed} reproduces this:\n{}", outcome.broken.join("\n"));
    outcome
}
