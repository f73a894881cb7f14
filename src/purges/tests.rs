//! The laws of purges, and that bounded room only makes them stricter, against a plain list of all purges.

use super::*;
use crate::net::testing::config;
use crate::routing::events::Micros;
use proptest::prelude::*;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn tag(n: u8) -> Arc<str> {
    format!("t{n}").into()
}

fn purge(when: Micros, term: Micros, covers: Vec<PurgeScope>) -> Purge {
    Purge { number: when, when, until: when + term, scopes: covers }
}

fn wanted<'a>(object: u64, name: &'a str, tags: Option<&'a [Arc<str>]>) -> RequestedObject<'a> {
    RequestedObject { object, group: object % 3, name, tags }
}

/// What the purges ask for, one by one.
fn plain(purges: &[Purge], w: &RequestedObject, now: Micros) -> Option<Micros> {
    let covers = |c: &PurgeScope| match c {
        PurgeScope::Object(o) => *o == w.object,
        PurgeScope::Group(g) => *g == w.group,
        PurgeScope::Tag(t) => w.tags.is_none_or(|tags| tags.contains(t)),
        // Written out, so that it does not rest on the library that it judges.
        PurgeScope::Pattern(p) => match &**p {
            "scan-*" => w.name.starts_with("scan-"),
            "*-1" => w.name.ends_with("-1"),
            "scan-[0-4]" => {
                w.name.len() == 6
                    && w.name.starts_with("scan-")
                    && ('0'..='4').contains(&w.name.chars().last().unwrap())
            }
            "{scan,clip}-7" => w.name == "scan-7" || w.name == "clip-7",
            other => panic!("{other}"),
        },
    };
    purges.iter().filter(|p| now < p.until && p.scopes.iter().any(covers)).map(|p| p.when).max()
}

fn a_cover() -> impl Strategy<Value = PurgeScope> {
    prop_oneof![
        (0..12u64).prop_map(PurgeScope::Object),
        (0..3u64).prop_map(PurgeScope::Group),
        (0..8u8).prop_map(|n| PurgeScope::Tag(tag(n))),
        prop_oneof![Just("scan-*"), Just("*-1"), Just("scan-[0-4]"), Just("{scan,clip}-7")]
            .prop_map(|p| PurgeScope::Pattern(p.into())),
    ]
}

fn some_purges() -> impl Strategy<Value = Vec<Purge>> {
    // One term for all, as a registry has it: what was issued later holds longer.
    let one =
        (1..50u64, prop::collection::vec(a_cover(), 1..4)).prop_map(|(when, covers)| purge(when, 60, covers));
    prop::collection::vec(one, 0..12)
}

fn state(purges: &[Purge], room: Capacity) -> InForce {
    let mut state = InForce::new(room);
    purges.iter().for_each(|p| state.apply(p).unwrap());
    state
}

fn all_wanted(check: impl Fn(RequestedObject)) {
    let tags = [vec![], vec![tag(1)], vec![tag(2), tag(5)]];
    for object in 0..14 {
        let name = format!("{}-{object}", if object % 2 == 0 { "scan" } else { "clip" });
        check(wanted(object, &name, None));
        tags.iter().for_each(|t| check(wanted(object, &name, Some(t))));
    }
}

const ROOM: Capacity = Capacity { objects: 100, tags: 100, patterns: 100 };
const SMALL: Capacity = Capacity { objects: 2, tags: 2, patterns: 1 };

proptest! {
    #![proptest_config(config())]

    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in some_purges(), b in some_purges(), c in some_purges()) {
        let [a, b, c] = [&a, &b, &c].map(|p| state(p, ROOM));
        let merged = |x: &InForce, y: &InForce| { let mut x = x.clone(); x.merge(y); x };
        prop_assert!(merged(&a, &b) == merged(&b, &a));
        prop_assert!(merged(&merged(&a, &b), &c) == merged(&a, &merged(&b, &c)));
        prop_assert!(merged(&a, &a) == a);
    }

    #[test]
    fn order_and_repetition_make_no_difference(purges in some_purges(), order in any::<u64>(), again in 0..12usize) {
        let mut other = purges.clone();
        other.sort_by_key(|p| xxh3_64_with_seed(&p.when.to_le_bytes(), order));
        other.extend(purges.get(again).cloned());
        prop_assert!(state(&purges, ROOM) == state(&other, ROOM));
    }

    #[test]
    fn the_bound_is_what_the_purges_ask_for_and_never_laxer_where_there_is_no_room(purges in some_purges(), now in 40..120u64) {
        for room in [ROOM, SMALL] {
            let mut state = state(&purges, room);
            for expired in [false, true] {
                all_wanted(|w| {
                    let (asked, bound) = (plain(&purges, &w, now), state.void_before(&w, now));
                    // Equal with room, but for unknown tags between two clearings, where it may be stricter.
                    assert!(bound >= asked, "{w:?} {room:?}: {bound:?} is laxer than {asked:?}");
                    if room == ROOM && (expired || w.tags.is_some()) {
                        assert_eq!(bound, asked, "{w:?}");
                    }
                });
                state.expire(now);
                assert!(state.counts()[0] <= room.objects && state.counts()[2] <= room.tags && state.counts()[3] <= room.patterns);
            }
        }
    }
}

#[test]
fn a_purge_repeated_late_does_not_void_the_copy_made_since() {
    let mut state = InForce::new(Capacity::default());
    let p = purge(100, 1_000, vec![PurgeScope::Tag(tag(1))]);
    state.apply(&p).unwrap();
    // The copy made at 150 is good, and is still when the same purge comes again.
    state.apply(&p).unwrap();
    assert_eq!(state.void_before(&wanted(1, "x", Some(&[tag(1)])), 500), Some(100));
    assert_eq!(state.void_before(&wanted(1, "x", Some(&[tag(2)])), 500), None);
    assert_eq!(state.void_before(&wanted(1, "x", None), 500), Some(100), "unknown tags are strict");
    state.expire(1_100);
    assert_eq!((state.void_before(&wanted(1, "x", None), 1_100), state.counts()), (None, [0; 4]));
}

#[test]
fn what_cant_be_used_is_refused_whole_with_its_reason_and_counts_for_everything() {
    for (covers, why) in [
        (vec![], "covers 0 things"),
        (vec![PurgeScope::Object(1), PurgeScope::Tag("".into())], "can't be a tag"),
        (vec![PurgeScope::Pattern("a[".into())], "pattern 'a['"),
        (vec![PurgeScope::Pattern("x".repeat(300).into())], "1 to 256 bytes"),
    ] {
        let mut state = InForce::new(Capacity::default());
        let said = state.apply(&purge(100, 50, covers)).unwrap_err().to_string();
        assert!(said.contains(why), "{said}");
        assert_eq!((state.counts(), state.void_before(&wanted(9, "y", Some(&[])), 120)), ([0; 4], Some(100)));
        state.expire(150);
        assert_eq!(state.void_before(&wanted(9, "y", Some(&[])), 150), None);
    }
    assert_eq!(purge(5, 0, vec![PurgeScope::Object(1)]).check(), Err(InvalidPurge::Term));
}
