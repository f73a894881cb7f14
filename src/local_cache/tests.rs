use super::*;
use proptest::prelude::*;

const S: Micros = 1_000_000;
const T0: Micros = 100 * S;
const LIMITS: Limits = Limits { max_bytes: 10_000, transfer_bytes_per_s: 1_000.0, link_bytes_per_s: 2_000.0 };

fn key(object: u64) -> Key {
    Key { class: 0, object, chunk: 0 }
}

fn copies() -> LocalCache {
    let mut copies = LocalCache::default();
    copies.set_limits(LIMITS);
    copies
}

fn copy(minted: Micros, bytes: usize) -> CachedCopy {
    CachedCopy { etag: format!("t{minted}"), created_at: minted, purge_group: 7, body: vec![1; bytes] }
}

fn wish(object: u64) -> Lookup<'static> {
    Lookup { key: key(object), fresh_for: 10 * S, latency_objective: 2 * S, if_none_match: None }
}

/// An object is asked for some times.
fn wanted(copies: &mut LocalCache, now: Micros, object: u64, times: usize) {
    (0..times).for_each(|_| copies.count_demand(now, key(object)));
}

fn kept(copies: &mut LocalCache, now: Micros, object: u64, copy: CachedCopy) {
    wanted(copies, now, object, 2);
    copies.insert(now, key(object), copy);
}

#[test]
fn nothing_is_held_or_served_where_any_limit_is_0() {
    for limits in [
        Limits { max_bytes: 0, ..LIMITS },
        Limits { transfer_bytes_per_s: 0.0, ..LIMITS },
        Limits { link_bytes_per_s: 0.0, ..LIMITS },
    ] {
        let mut c = copies();
        kept(&mut c, T0, 1, copy(T0, 100));
        assert_eq!(c.len(), 1);
        c.set_limits(limits);
        assert_eq!((c.len(), c.bytes()), (0, 0), "what was held goes");
        kept(&mut c, T0, 1, copy(T0, 100));
        assert_eq!((c.len(), c.bytes(), c.serve(T0, wish(1))), (0, 0, None));
    }
}

#[test]
fn a_copy_is_served_until_it_ages_and_never_after_a_purge() {
    let mut c = copies();
    kept(&mut c, T0, 1, copy(T0, 100));
    assert_eq!(c.serve(T0 + 7 * S, wish(1)), Some(CacheHit::Body(&[1; 100][..])));
    assert_eq!(c.serve(T0 + 8 * S, wish(1)), None, "a depot renews it from here on");
    let forever = Lookup { fresh_for: 0, ..wish(1) };
    assert!(c.serve(T0 + 900 * S, forever).is_some(), "good until it is purged");
    c.purge(None, 8);
    c.purge(Some(2), 7);
    assert!(c.serve(T0 + 910 * S, forever).is_some(), "those of others leave it");
    c.purge(Some(1), 0);
    assert_eq!(c.serve(T0 + 920 * S, forever), None);
    // Whatever the clock said that dated it: its timestamp is ahead of the purge.
    kept(&mut c, T0 + 930 * S, 1, copy(T0 + 4_530 * S, 100));
    c.purge(None, 7);
    assert_eq!(c.serve(T0 + 930 * S, forever), None);
    assert_eq!((c.len(), c.bytes()), (0, 0));
}

#[test]
fn an_older_copy_does_not_replace_a_newer_one() {
    let mut c = copies();
    kept(&mut c, T0, 1, copy(T0, 100));
    kept(&mut c, T0, 1, copy(T0 - S, 50));
    assert_eq!(c.serve(T0, wish(1)), Some(CacheHit::Body(&[1; 100][..])));
}

#[test]
fn what_the_own_link_can_not_send_in_time_is_left_to_the_endpoints() {
    let mut c = copies();
    kept(&mut c, T0, 1, copy(T0, 800));
    // One takes 0.8 s at the pace of a transfer and 0.4 s of the link; within 1 s there is room for two.
    assert!(c.serve(T0, wish(1)).is_some());
    assert!(c.serve(T0, wish(1)).is_some());
    assert_eq!(c.serve(T0, wish(1)), None);
    assert!(c.serve(T0 + S / 2, wish(1)).is_some(), "later there is room again");
    assert_eq!(
        c.serve(T0 + 9 * S / 10, Lookup { latency_objective: S, ..wish(1) }),
        None,
        "too large for its time"
    );
    // That the client's copy holds costs a twentieth.
    let tag = format!("t{T0}");
    let still = Lookup { if_none_match: Some(&tag), ..wish(1) };
    for n in 0..10 {
        assert_eq!(c.serve(T0 + 2 * S, still), Some(CacheHit::NotModified), "{n}");
    }
    assert!(c.serve(T0 + 2 * S, Lookup { if_none_match: Some("other"), ..wish(1) }).is_some());
}

#[test]
fn what_is_asked_for_once_is_not_kept_and_pushes_nothing_out() {
    let mut c = copies();
    (0..4).for_each(|o| {
        wanted(&mut c, T0, o, 9);
        kept(&mut c, T0, o, copy(T0, 2_000));
    });
    assert_eq!(c.len(), 4);
    for object in 100..400 {
        wanted(&mut c, T0 + S, object, 1);
        c.insert(T0 + S, key(object), copy(T0, 2_000));
    }
    (0..4).for_each(|o| {
        assert!(c.serve(T0 + 2 * S, Lookup { latency_objective: 100 * S, ..wish(o) }).is_some(), "{o}")
    });
    // Demand that has faded gives way to new demand.
    for object in 500..504 {
        kept(&mut c, T0 + 90 * S, object, copy(T0 + 90 * S, 2_000));
    }
    assert!((500..504).all(|o| c.copies.contains(&key(o))));
}

proptest! {
    #![proptest_config(crate::net::testing::config())]

    /// Whatever comes: the bytes held are what is held, within the limit; nothing void, too old or unknown is
    /// given; and what was given never takes the link longer than its time.
    #[test]
    fn bounds_and_promises_hold(
        steps in prop::collection::vec((0u64..6, 0u64..8, 0u64..3_000_000, 0usize..6_000), 1..200),
    ) {
        let (mut c, mut now, mut void) = (copies(), T0, [0; 8]);
        let mut sent = 0.0;
        for (kind, object, wait, bytes) in steps {
            now += wait;
            match kind {
                0 | 1 => {
                    let (before, aim) = (c.link_free_at, 3 * S);
                    let minted = c.copies.peek(&key(object)).map(|k| k.created_at);
                    wanted(&mut c, now, object, 1);
                    let given = c.serve(now, Lookup { latency_objective: aim, ..wish(object) }).map(|g| match g {
                        CacheHit::Body(b) => b.len() as f64,
                        CacheHit::NotModified => f64::NAN,
                    });
                    if let Some(length) = given {
                        sent += length;
                        prop_assert!(minted.is_some_and(|m| m > void[object as usize] && now - m < 8 * S));
                        prop_assert!(c.link_free_at - now <= aim / 2 && c.link_free_at >= before);
                    }
                }
                2 | 3 => {
                    let minted = (now - wait / 2).max(void[object as usize] + 1);
                    c.insert(now, key(object), CachedCopy { purge_group: object % 2, ..copy(minted, bytes) });
                }
                4 => {
                    c.purge(Some(object), 0);
                    void[object as usize] = now;
                }
                _ => {
                    c.purge(None, object % 2);
                    void.iter_mut().enumerate().filter(|v| v.0 as u64 % 2 == object % 2).for_each(|v| *v.1 = now);
                }
            }
            let held: usize = c.copies.iter().map(|k| k.1.size()).sum();
            prop_assert!(held == c.bytes() && held <= LIMITS.max_bytes && c.demand.len() <= REMEMBERED_OBJECTS.get());
        }
        prop_assert!(sent / LIMITS.link_bytes_per_s * 1e6 <= (now - T0 + 3 * S) as f64);
    }
}
