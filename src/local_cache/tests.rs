use super::*;
use proptest::prelude::*;

const S: Micros = 1_000_000;
const T0: Micros = 100 * S;
const LIMITS: Limits = Limits { max_bytes: 10_000, transfer_bytes_per_s: 1_000.0, link_bytes_per_s: 2_000.0 };

fn key(object: u64) -> Key {
    Key { class: 0, object, chunk: 0 }
}

fn new_cache() -> LocalCache {
    let mut cache = LocalCache::default();
    cache.set_limits(LIMITS);
    cache
}

fn copy(created_at: Micros, bytes: usize) -> CachedCopy {
    CachedCopy { etag: format!("t{created_at}"), created_at, purge_group: 7, body: vec![1; bytes] }
}

fn lookup(object: u64) -> Lookup<'static> {
    Lookup { key: key(object), fresh_for: 10 * S, latency_objective: 2 * S, if_none_match: None }
}

/// Counts several requests for an object.
fn request_times(cache: &mut LocalCache, now: Micros, object: u64, times: usize) {
    (0..times).for_each(|_| cache.count_demand(now, key(object)));
}

fn request_and_insert(cache: &mut LocalCache, now: Micros, object: u64, copy: CachedCopy) {
    request_times(cache, now, object, 2);
    cache.insert(now, key(object), copy);
}

#[test]
fn no_copy_is_cached_or_served_if_any_limit_is_0() {
    for limits in [
        Limits { max_bytes: 0, ..LIMITS },
        Limits { transfer_bytes_per_s: 0.0, ..LIMITS },
        Limits { link_bytes_per_s: 0.0, ..LIMITS },
    ] {
        let mut cache = new_cache();
        request_and_insert(&mut cache, T0, 1, copy(T0, 100));
        assert_eq!(cache.len(), 1);
        cache.set_limits(limits);
        assert_eq!((cache.len(), cache.bytes()), (0, 0), "the copy is evicted");
        request_and_insert(&mut cache, T0, 1, copy(T0, 100));
        assert_eq!((cache.len(), cache.bytes(), cache.serve(T0, lookup(1))), (0, 0, None));
    }
}

#[test]
fn copy_is_served_until_80_percent_of_its_fresh_time_and_never_after_a_purge() {
    let mut cache = new_cache();
    request_and_insert(&mut cache, T0, 1, copy(T0, 100));
    assert_eq!(cache.serve(T0 + 7 * S, lookup(1)), Some(CacheHit::Body(&[1; 100][..])));
    assert_eq!(cache.serve(T0 + 8 * S, lookup(1)), None, "from here on an endpoint revalidates it");
    let no_expiry = Lookup { fresh_for: 0, ..lookup(1) };
    assert!(cache.serve(T0 + 900 * S, no_expiry).is_some(), "it is fresh until it is purged");
    cache.purge(None, 8);
    cache.purge(Some(2), 7);
    assert!(cache.serve(T0 + 910 * S, no_expiry).is_some(), "other purges do not affect it");
    cache.purge(Some(1), 0);
    assert_eq!(cache.serve(T0 + 920 * S, no_expiry), None);
    // A copy is dropped even if its timestamp, set by a fast clock, is later than the purge.
    request_and_insert(&mut cache, T0 + 930 * S, 1, copy(T0 + 4_530 * S, 100));
    cache.purge(None, 7);
    assert_eq!(cache.serve(T0 + 930 * S, no_expiry), None);
    assert_eq!((cache.len(), cache.bytes()), (0, 0));
}

#[test]
fn an_older_copy_does_not_replace_a_newer_one() {
    let mut cache = new_cache();
    request_and_insert(&mut cache, T0, 1, copy(T0, 100));
    request_and_insert(&mut cache, T0, 1, copy(T0 - S, 50));
    assert_eq!(cache.serve(T0, lookup(1)), Some(CacheHit::Body(&[1; 100][..])));
}

#[test]
fn copy_that_the_link_can_not_send_in_time_is_not_served() {
    let mut cache = new_cache();
    request_and_insert(&mut cache, T0, 1, copy(T0, 800));
    // One copy takes 0.8 s at the transfer rate and 0.4 s of the link, so two can be sent within 1 s.
    assert!(cache.serve(T0, lookup(1)).is_some());
    assert!(cache.serve(T0, lookup(1)).is_some());
    assert_eq!(cache.serve(T0, lookup(1)), None);
    assert!(cache.serve(T0 + S / 2, lookup(1)).is_some(), "the link is free again");
    assert_eq!(
        cache.serve(T0 + 9 * S / 10, Lookup { latency_objective: S, ..lookup(1) }),
        None,
        "the copy is too large for the latency objective"
    );
    // A not-modified response takes a twentieth of the copy's size.
    let tag = format!("t{T0}");
    let conditional = Lookup { if_none_match: Some(&tag), ..lookup(1) };
    for n in 0..10 {
        assert_eq!(cache.serve(T0 + 2 * S, conditional), Some(CacheHit::NotModified), "{n}");
    }
    assert!(cache.serve(T0 + 2 * S, Lookup { if_none_match: Some("other"), ..lookup(1) }).is_some());
}

#[test]
fn copy_of_an_object_requested_once_is_not_admitted_and_evicts_nothing() {
    let mut cache = new_cache();
    (0..4).for_each(|object| {
        request_times(&mut cache, T0, object, 9);
        request_and_insert(&mut cache, T0, object, copy(T0, 2_000));
    });
    assert_eq!(cache.len(), 4);
    for object in 100..400 {
        request_times(&mut cache, T0 + S, object, 1);
        cache.insert(T0 + S, key(object), copy(T0, 2_000));
    }
    (0..4).for_each(|object| {
        assert!(
            cache.serve(T0 + 2 * S, Lookup { latency_objective: 100 * S, ..lookup(object) }).is_some(),
            "{object}"
        )
    });
    // Copies with decayed demand are evicted by copies with new demand.
    for object in 500..504 {
        request_and_insert(&mut cache, T0 + 90 * S, object, copy(T0 + 90 * S, 2_000));
    }
    assert!((500..504).all(|object| cache.copies.contains(&key(object))));
}

proptest! {
    #![proptest_config(crate::net::testing::config())]

    /// For any sequence of operations: the recorded size is the size of the copies and within the limit, no purged,
    /// ageing or unknown copy is served, and the link's backlog stays within half the latency objective.
    #[test]
    fn size_freshness_purges_and_link_backlog_stay_within_their_bounds(
        steps in prop::collection::vec((0u64..6, 0u64..8, 0u64..3_000_000, 0usize..6_000), 1..200),
    ) {
        let (mut cache, mut now, mut purged_at) = (new_cache(), T0, [0; 8]);
        let mut sent_bytes = 0.0;
        for (kind, object, wait, bytes) in steps {
            now += wait;
            match kind {
                0 | 1 => {
                    let (link_free_before, latency_objective) = (cache.link_free_at, 3 * S);
                    let created_at = cache.copies.peek(&key(object)).map(|copy| copy.created_at);
                    request_times(&mut cache, now, object, 1);
                    let served = cache.serve(now, Lookup { latency_objective, ..lookup(object) }).map(|hit| match hit {
                        CacheHit::Body(body) => body.len() as f64,
                        CacheHit::NotModified => f64::NAN,
                    });
                    if let Some(length) = served {
                        sent_bytes += length;
                        prop_assert!(created_at.is_some_and(|created| created > purged_at[object as usize] && now - created < 8 * S));
                        prop_assert!(cache.link_free_at - now <= latency_objective / 2 && cache.link_free_at >= link_free_before);
                    }
                }
                2 | 3 => {
                    let created_at = (now - wait / 2).max(purged_at[object as usize] + 1);
                    cache.insert(now, key(object), CachedCopy { purge_group: object % 2, ..copy(created_at, bytes) });
                }
                4 => {
                    cache.purge(Some(object), 0);
                    purged_at[object as usize] = now;
                }
                _ => {
                    cache.purge(None, object % 2);
                    purged_at.iter_mut().enumerate().filter(|p| p.0 as u64 % 2 == object % 2).for_each(|p| *p.1 = now);
                }
            }
            let cached_bytes: usize = cache.copies.iter().map(|copy| copy.1.size()).sum();
            prop_assert!(cached_bytes == cache.bytes() && cached_bytes <= LIMITS.max_bytes && cache.demand.len() <= MAX_TRACKED_OBJECTS.get());
        }
        prop_assert!(sent_bytes / LIMITS.link_bytes_per_s * 1e6 <= (now - T0 + 3 * S) as f64);
    }
}
