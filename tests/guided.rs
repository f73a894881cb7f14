//! What the plans of the fleet ask of the module, and what it does when its location has no cache left.

mod common;
use common::*;
use larchdale::routing::constraints::{RateLimit, ShardAssignment, Warming};
use larchdale::routing::events::*;
use larchdale::Router;
use std::collections::BTreeMap;
use std::sync::Arc;

fn guided(guidance: Constraints) -> Router {
    let mut router = router();
    handle_event(&mut router, T0, Event::Constraints(Arc::new(guidance)));
    router
}

/// Asks for so many objects, one each 10 ms, each answered at once, and counts by server and source.
fn play(router: &mut Router, many: u64, note: CacheStatus) -> BTreeMap<(String, String), usize> {
    let mut count = BTreeMap::new();
    for object in 0..many {
        let (now, id) = (T0 + S + object * 10 * MS, format!("r{object}"));
        let actions = send_request(router, now, &id, VIDEO, object);
        if sends_attempt(&actions) {
            let SentAttempt { target: server, source, .. } = sent_attempt(&actions);
            *count.entry((server, source)).or_insert(0) += 1;
            handle_event(
                router,
                now,
                Event::Outcome(Outcome { cache_status: note, ..outcome_of(&id, 0, AttemptStatus::Served) }),
            );
        }
    }
    count
}

fn by_source(count: &BTreeMap<(String, String), usize>, source: &str) -> usize {
    count.iter().filter(|c| c.0 .1 == source).map(|c| c.1).sum()
}

/// 100 KB at 1,000 KB a second are a tenth of a second of sending each: a rate of 1 is ten a second.
#[test]
fn a_bound_holds_in_every_window_and_what_was_a_hit_does_not_count() {
    let bounds = vec![
        RateLimit { endpoint: "parent-1".into(), rate: 1.0 },
        RateLimit { endpoint: "parent-2".into(), rate: 0.0 },
    ];
    let guidance = Constraints { window: S, rate_limits: bounds, ..Constraints::default() };
    let filled = play(&mut guided(guidance.clone()), 500, CacheStatus::Filled);
    let bound = by_source(&filled, "parent-1");
    assert!((40..=60).contains(&bound), "five seconds: {filled:?}");
    assert_eq!(by_source(&filled, "parent-2"), 0);
    assert!(by_source(&filled, "parent-0") > 400, "the others fill what it may not");
    let hits = play(&mut guided(guidance), 500, CacheStatus::Hit);
    assert!(by_source(&hits, "parent-1") > 100, "{hits:?}");
}

#[test]
fn misses_of_a_class_past_its_part_only_look_and_others_go_on() {
    let fills = vec![Some(0.5)];
    let mut router = guided(Constraints { fill_rates: fills, ..Constraints::default() });
    let count = play(&mut router, 300, CacheStatus::Filled);
    let filled: usize =
        ["parent-0", "parent-1", "parent-2", "origin"].map(|s| by_source(&count, s)).iter().sum();
    assert!((12..=18).contains(&filled), "{count:?}");
    let looked: usize = count.iter().filter(|c| c.0 .0 == c.0 .1).map(|c| c.1).sum();
    assert_eq!(looked + filled, 300, "what is held is still served");
    let SentAttempt { source, .. } = sent_attempt(&send_request(&mut router, T0 + 9 * S, "page", PAGE, 7));
    assert!(source.starts_with("parent"), "another class has no such bound");
}

#[test]
fn pressed_it_takes_old_copies_renews_nothing_and_says_when_to_come_back() {
    let guidance = Constraints {
        force_stale: true,
        retry_after: (400 * MS, 100 * MS),
        fill_rates: vec![Some(0.0)],
        ..Constraints::default()
    };
    let mut router = guided(guidance);
    let actions = send_request(&mut router, T0, "page", PAGE, 7);
    assert_eq!(sent_attempt(&actions).max_age, 30 * S, "fresh time and all the grace");
    assert!(matches!(&actions[0], Action::Send { fetch: Some(f), .. } if !f.revalidate));
    send_request(&mut router, T0, "video", VIDEO, 7);
    let refusal = end_attempt(&mut router, T0 + MS, "video", 0, AttemptStatus::Miss);
    let told = |a: &Action| matches!(a, Action::Reject { retry_after, .. } if (400 * MS..=500 * MS).contains(retry_after));
    assert!(refusal.iter().any(told), "{refusal:?}");
    handle_event(&mut router, T0 + MS, Event::Constraints(Arc::default()));
    assert!(
        sent_attempt(&send_request(&mut router, T0 + MS, "later", PAGE, 8)).max_age < 30 * S,
        "and not for longer than it is asked to"
    );
}

#[test]
fn a_home_comes_first_while_it_works_and_then_the_order_of_the_hash() {
    let homes: Arc<[ShardAssignment]> =
        [ShardAssignment { start: 0, endpoint: Some("cache-3-2".into()), warming: None }].into();
    let mut router = guided(Constraints { shards: homes, ..Constraints::default() });
    for object in 0..50 {
        let id = format!("a{object}");
        assert_eq!(sent_attempt(&send_request(&mut router, T0, &id, VIDEO, object)).target, "cache-3-2");
        end_attempt(&mut router, T0, &id, 0, AttemptStatus::Served);
    }
    let gone = Endpoint { state: EndpointState::Removed, ..endpoint("cache-3-2", Role::Cache, 3, 8.0) };
    handle_event(&mut router, T0, Event::Endpoints { complete: false, endpoints: vec![gone] });
    let mut plain = common::router();
    let gone = Endpoint { state: EndpointState::Removed, ..endpoint("cache-3-2", Role::Cache, 3, 8.0) };
    handle_event(&mut plain, T0, Event::Endpoints { complete: false, endpoints: vec![gone] });
    for object in 100..150 {
        let id = format!("b{object}");
        let now = T0 + object * MS;
        let (guided, other) = (
            send_request(&mut router, now, &id, VIDEO, object),
            send_request(&mut plain, now, &id, VIDEO, object),
        );
        assert_eq!(sent_attempt(&guided).target, sent_attempt(&other).target);
        end_attempt(&mut router, now, &id, 0, AttemptStatus::Served);
        end_attempt(&mut plain, now, &id, 0, AttemptStatus::Served);
    }
}

#[test]
fn warming_goes_to_the_next_home_filled_by_the_present_one_and_takes_its_part_only() {
    let warming = Some(Warming { endpoint: "cache-3-0".into(), rate: 1.0, peer_fill: true });
    let homes: Arc<[ShardAssignment]> =
        [ShardAssignment { start: 0, endpoint: Some("cache-3-1".into()), warming }].into();
    let mut router = guided(Constraints { shards: homes, ..Constraints::default() });
    let count = play(&mut router, 500, CacheStatus::Filled);
    let warmed = count.get(&("cache-3-0".into(), "cache-3-1".into())).copied().unwrap_or(0);
    assert!((40..=60).contains(&warmed), "{count:?}");
    let home: usize = count.iter().filter(|c| c.0 .0 == "cache-3-1").map(|c| c.1).sum();
    assert_eq!(home + warmed, 500, "all the rest stays at home: {count:?}");
    let actions = send_request(&mut router, T0 + 60 * S, "lacks", VIDEO, 9_999);
    assert!(matches!(&actions[0], Action::Send { fetch: Some(f), .. } if f.cached_only), "{actions:?}");
    let next = end_attempt(&mut router, T0 + 60 * S, "lacks", 0, AttemptStatus::Miss);
    assert!(
        sent_attempt(&next).source.starts_with("parent"),
        "what the present home lacks is filled as usual: {next:?}"
    );
}

#[test]
fn caches_of_other_zones_take_requests_only_where_the_plan_says_so() {
    let beyond: Vec<Id> = vec!["cache-4-1".into()];
    let mut router = guided(Constraints { cross_zone_caches: beyond, ..Constraints::default() });
    for n in 0..4 {
        let member = Endpoint {
            state: EndpointState::Removed,
            ..endpoint(&format!("cache-3-{n}"), Role::Cache, 3, 8.0)
        };
        handle_event(&mut router, T0, Event::Endpoints { complete: false, endpoints: vec![member] });
    }
    assert_eq!(sent_attempt(&send_request(&mut router, T0, "a", VIDEO, 1)).target, "cache-4-1");
    handle_event(&mut router, T0, Event::Constraints(Arc::default()));
    assert!(!sent_attempt(&send_request(&mut router, T0, "b", VIDEO, 2)).target.starts_with("cache"));
}

/// Guards the archive: with all caches of its branch gone, a router of many would bring it the whole branch.
#[test]
fn with_no_cache_listed_parents_are_asked_straight_and_fill_from_the_origin() {
    let members: Vec<Endpoint> =
        fleet().into_iter().filter(|m| m.role != Role::Cache || m.zone != 3).collect();
    let mut router = router_with(settings(), members.clone());
    let count = play(&mut router, 200, CacheStatus::Filled);
    assert!(count.keys().all(|c| c.0.starts_with("parent") && c.1 == "origin"), "{count:?}");
    assert_eq!(count.len(), 3, "each object has its parent: {count:?}");
    let bounds =
        (0..4).map(|n| RateLimit { endpoint: format!("cache-3-{n}").as_str().into(), rate: 0.0 }).collect();
    let mut held = guided(Constraints { rate_limits: bounds, bypass_caches: true, ..Constraints::default() });
    assert_eq!(
        play(&mut held, 200, CacheStatus::Filled),
        count,
        "and so where the plan says that its caches are lost"
    );
    let mut plain = router_with(Settings { may_bypass_caches: false, ..settings() }, members);
    assert!(is_rejected(&send_request(&mut plain, T0, "a", VIDEO, 1)), "where nothing may be asked straight");
}
