//! Properties of merged purges, and of limited capacity, compared with a plain list of all purges.

use super::*;
use crate::net::testing::config;
use crate::routing::events::Micros;
use proptest::prelude::*;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn tag(n: u8) -> Arc<str> {
    format!("t{n}").into()
}

fn purge(when: Micros, lifetime: Micros, scopes: Vec<PurgeScope>) -> Purge {
    Purge { number: when, purged_at: when, expires_at: when + lifetime, scopes }
}

fn requested<'a>(object: u64, name: &'a str, tags: Option<&'a [Arc<str>]>) -> RequestedObject<'a> {
    RequestedObject { object, group: object % 3, name, tags }
}

/// Returns the time before which the purges void copies of an object, computed one by one.
fn expected_bound(purges: &[Purge], request: &RequestedObject, now: Micros) -> Option<Micros> {
    let is_covered = |c: &PurgeScope| match c {
        PurgeScope::Object(o) => *o == request.object,
        PurgeScope::Group(g) => *g == request.group,
        PurgeScope::Tag(t) => request.tags.is_none_or(|tags| tags.contains(t)),
        // Written out, so that the expected result does not depend on the library under test.
        PurgeScope::Pattern(p) => match &**p {
            "scan-*" => request.name.starts_with("scan-"),
            "*-1" => request.name.ends_with("-1"),
            "scan-[0-4]" => {
                request.name.len() == 6
                    && request.name.starts_with("scan-")
                    && ('0'..='4').contains(&request.name.chars().last().unwrap())
            }
            "{scan,clip}-7" => request.name == "scan-7" || request.name == "clip-7",
            other => panic!("{other}"),
        },
    };
    purges.iter().filter(|p| now < p.expires_at && p.scopes.iter().any(is_covered)).map(|p| p.purged_at).max()
}

fn any_scope() -> impl Strategy<Value = PurgeScope> {
    prop_oneof![
        (0..12u64).prop_map(PurgeScope::Object),
        (0..3u64).prop_map(PurgeScope::Group),
        (0..8u8).prop_map(|n| PurgeScope::Tag(tag(n))),
        prop_oneof![Just("scan-*"), Just("*-1"), Just("scan-[0-4]"), Just("{scan,clip}-7")]
            .prop_map(|p| PurgeScope::Pattern(p.into())),
    ]
}

fn any_purges() -> impl Strategy<Value = Vec<Purge>> {
    // All purges have the same lifetime, as in a registry: one issued later expires later.
    let any_purge = (1..50u64, prop::collection::vec(any_scope(), 1..4))
        .prop_map(|(when, scopes)| purge(when, 60, scopes));
    prop::collection::vec(any_purge, 0..12)
}

fn state(purges: &[Purge], capacity: Capacity) -> PurgesInForce {
    let mut state = PurgesInForce::new(capacity);
    purges.iter().for_each(|p| state.apply(p).unwrap());
    state
}

fn for_all_requested(check: impl Fn(RequestedObject)) {
    let tags = [vec![], vec![tag(1)], vec![tag(2), tag(5)]];
    for object in 0..14 {
        let name = format!("{}-{object}", if object % 2 == 0 { "scan" } else { "clip" });
        check(requested(object, &name, None));
        tags.iter().for_each(|t| check(requested(object, &name, Some(t))));
    }
}

const AMPLE_CAPACITY: Capacity = Capacity { objects: 100, tags: 100, patterns: 100 };
const SMALL_CAPACITY: Capacity = Capacity { objects: 2, tags: 2, patterns: 1 };

proptest! {
    #![proptest_config(config())]

    #[test]
    fn merge_is_commutative_associative_and_idempotent(a in any_purges(), b in any_purges(), c in any_purges()) {
        let [a, b, c] = [&a, &b, &c].map(|p| state(p, AMPLE_CAPACITY));
        let merged = |x: &PurgesInForce, y: &PurgesInForce| { let mut x = x.clone(); x.merge(y); x };
        prop_assert!(merged(&a, &b) == merged(&b, &a));
        prop_assert!(merged(&merged(&a, &b), &c) == merged(&a, &merged(&b, &c)));
        prop_assert!(merged(&a, &a) == a);
    }

    #[test]
    fn state_is_independent_of_order_and_repetition(purges in any_purges(), order in any::<u64>(), repeated in 0..12usize) {
        let mut other = purges.clone();
        other.sort_by_key(|p| xxh3_64_with_seed(&p.purged_at.to_le_bytes(), order));
        other.extend(purges.get(repeated).cloned());
        prop_assert!(state(&purges, AMPLE_CAPACITY) == state(&other, AMPLE_CAPACITY));
    }

    #[test]
    fn bound_is_exact_within_the_capacity_and_never_laxer_above_it(purges in any_purges(), now in 40..120u64) {
        for capacity in [AMPLE_CAPACITY, SMALL_CAPACITY] {
            let mut state = state(&purges, capacity);
            for is_expired in [false, true] {
                for_all_requested(|request| {
                    let (expected, bound) = (expected_bound(&purges, &request, now), state.void_before(&request, now));
                    // Equal within the capacity, except that unknown tags may be stricter until marks expire.
                    assert!(bound >= expected, "{request:?} {capacity:?}: {bound:?} is laxer than {expected:?}");
                    if capacity == AMPLE_CAPACITY && (is_expired || request.tags.is_some()) {
                        assert_eq!(bound, expected, "{request:?}");
                    }
                });
                state.expire(now);
                assert!(state.counts()[0] <= capacity.objects && state.counts()[2] <= capacity.tags && state.counts()[3] <= capacity.patterns);
            }
        }
    }
}

#[test]
fn repeated_purge_does_not_void_a_copy_made_after_the_purge() {
    let mut state = PurgesInForce::new(Capacity::default());
    let p = purge(100, 1_000, vec![PurgeScope::Tag(tag(1))]);
    state.apply(&p).unwrap();
    // A copy made at 150 is valid, also after the same purge is applied again.
    state.apply(&p).unwrap();
    assert_eq!(state.void_before(&requested(1, "x", Some(&[tag(1)])), 500), Some(100));
    assert_eq!(state.void_before(&requested(1, "x", Some(&[tag(2)])), 500), None);
    assert_eq!(state.void_before(&requested(1, "x", None), 500), Some(100), "unknown tags may be any tags");
    state.expire(1_100);
    assert_eq!((state.void_before(&requested(1, "x", None), 1_100), state.counts()), (None, [0; 4]));
}

#[test]
fn invalid_purge_is_rejected_with_its_reason_and_counts_as_a_purge_of_everything() {
    for (scopes, expected_text) in [
        (vec![], "the purge has 0 scopes"),
        (vec![PurgeScope::Object(1), PurgeScope::Tag("".into())], "is not a valid tag"),
        (vec![PurgeScope::Pattern("a[".into())], "pattern 'a['"),
        (vec![PurgeScope::Pattern("x".repeat(300).into())], "1 to 256 bytes"),
    ] {
        let mut state = PurgesInForce::new(Capacity::default());
        let error = state.apply(&purge(100, 50, scopes)).unwrap_err().to_string();
        assert!(error.contains(expected_text), "{error}");
        assert_eq!(
            (state.counts(), state.void_before(&requested(9, "y", Some(&[])), 120)),
            ([0; 4], Some(100))
        );
        state.expire(150);
        assert_eq!(state.void_before(&requested(9, "y", Some(&[])), 150), None);
    }
    assert_eq!(purge(5, 0, vec![PurgeScope::Object(1)]).check(), Err(InvalidPurge::Expiry));
}
