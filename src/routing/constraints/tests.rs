//! Rate limits, shard assignments and warming rates of constraints.

use super::{ConstraintTracker, Constraints, RateLimit, ShardAssignment, Warming};
use crate::placement::position;
use crate::routing::events::{Id, Micros};
use proptest::prelude::*;
use std::sync::Arc;

const S: Micros = 1_000_000;

fn tracker(constraints: Constraints) -> ConstraintTracker {
    let mut tracker = ConstraintTracker::default();
    tracker.apply(S, Arc::new(constraints));
    tracker
}

proptest! {
    /// For any times and amounts of work, the work sent in one window does not exceed the limit.
    #[test]
    fn no_window_exceeds_the_rate_limit(
        rate in 0.2f64..8.0,
        sends in proptest::collection::vec((0u64..400_000, 1_000f64..190_000.0, any::<bool>()), 1..200),
    ) {
        let server: Id = "cache".into();
        let rate_limits = vec![RateLimit { endpoint: server.clone(), rate }];
        let mut tracker = tracker(Constraints { window: S, rate_limits, ..Constraints::default() });
        let (mut now, mut sent) = (S, Vec::new());
        for (later, work, hit) in sends {
            now += later + 1;
            if tracker.admits(now, &server, work, 0.0) {
                tracker.record_sent(now, &server, work);
                if hit {
                    tracker.refund_sent(&server, now);
                    tracker.refund_fill(0, now);
                } else {
                    sent.push((now, work));
                }
            }
        }
        for (n, first) in sent.iter().enumerate() {
            let window = sent[n..].iter().take_while(|s| s.0 - first.0 <= S);
            let sum: f64 = window.map(|s| s.1).sum();
            prop_assert!(sum <= rate * S as f64 + 1e-3, "{sum}");
        }
    }
}

#[test]
fn rate_below_one_request_per_window_spaces_requests_and_rate_zero_admits_none() {
    let bounds =
        vec![RateLimit { endpoint: "a".into(), rate: 0.01 }, RateLimit { endpoint: "b".into(), rate: 0.0 }];
    let mut tracker = tracker(Constraints { rate_limits: bounds, ..Constraints::default() });
    let (a, b, mut sent) = (Id::from("a"), Id::from("b"), 0);
    for now in (S..S + 100 * S).step_by(10_000) {
        assert!(!tracker.admits(now, &b, 50_000.0, 0.5));
        if tracker.admits(now, &a, 50_000.0, 0.5) {
            tracker.record_sent(now, &a, 50_000.0);
            sent += 1;
        }
    }
    assert!((19..=20).contains(&sent), "one in 5 s, the first after half of that: {sent}");
}

#[test]
fn object_belongs_to_the_shard_that_contains_its_position() {
    let shard = |start, to: &str| ShardAssignment { start, endpoint: Some(to.into()), warming: None };
    let middle = 1 << 63;
    let tracker =
        tracker(Constraints { shards: [shard(0, "a"), shard(middle, "b")].into(), ..Constraints::default() });
    let (mut first, mut second) = (0, 0);
    for object in 0..1_000 {
        let below = position(object) < middle;
        assert_eq!(tracker.assigned_endpoint(object).unwrap().as_ref(), if below { "a" } else { "b" });
        first += usize::from(below);
        second += usize::from(!below);
    }
    assert!(first > 400 && second > 400);
    assert_eq!(ConstraintTracker::default().assigned_endpoint(7), None);
}

#[test]
fn warming_requests_use_the_warming_rate_and_do_not_exceed_it() {
    let warming = Some(Warming { endpoint: "b".into(), rate: 0.5, peer_fill: true });
    let shards = [ShardAssignment { start: 0, endpoint: Some("a".into()), warming }].into();
    let mut tracker = tracker(Constraints { shards, ..Constraints::default() });
    let (object, mut sent) = (7, 0);
    for now in (S..S + 10 * S).step_by(1_000) {
        let Some(warming) = tracker.warming_endpoints(now, object, 100_000.0) else { continue };
        let (target, source) = (warming.target.clone(), warming.source.cloned());
        assert_eq!((&*target, source.as_deref()), ("b", Some("a")));
        tracker.record_warming(now, object, 100_000.0, &target);
        sent += 1;
    }
    assert!((45..=50).contains(&sent), "{sent}");
}
