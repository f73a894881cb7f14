//! Growth of the work per event with the length of the endpoint list, measured in reads of endpoint records,
//! and reuse of the slots of removed endpoints.

use super::events::{
    Action, AttemptStatus, CacheStatus, Class, DeduplicationScope, Endpoint, EndpointState, Event,
    Idempotency, Micros, Outcome, OutcomeDetail, Request, Role, Settings, SlowStart,
};
use super::Router;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Ratio of the lengths of the larger and the smaller list.
const LENGTH_RATIO: usize = 8;
/// Lookups added to the bound for the work per event that is constant or grows with the logarithm.
const CONSTANT_LOOKUPS: u64 = 64;

fn settings(weights_are_sizes: bool) -> Settings {
    let start = SlowStart { initial_share: 0.2, duration: 18 * S, overload_multiple: 2.0 };
    let class = Class {
        fresh_for: 20 * S,
        grace: 10 * S,
        uncacheable: false,
        latency_objective: 400 * MS,
        latency_objective_stretch: 2.0,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 2 * S,
    };
    Settings {
        zone: 0,
        routers: 4,
        processes: 1,
        routers_by_zone: vec![4],
        classes: vec![class],
        transfer_rate_kb_s: 1000.0,
        zone_link_kb_s: vec![20_000.0],
        weights_are_sizes,
        cache_slow_start: start,
        parent_slow_start: start,
        overload_window: S,
        purge_propagation_time: 6 * S,
        may_bypass_caches: true,
        may_join_fills: true,
        outcome_detail: OutcomeDetail::Hits,
        max_attempts: 4,
        may_cancel: true,
        retry_after: true,
        max_retry_after: S,
        watch_required: false,
    }
}

/// Returns the endpoint at an index: every tenth one is a parent, and the last one is the origin.
fn endpoint_at(n: usize, all: usize) -> Endpoint {
    let role = match n {
        _ if n + 1 == all => Role::Origin,
        _ if n % 10 == 9 => Role::Parent,
        _ => Role::Cache,
    };
    let id = format!("s-{n:08x}").into();
    Endpoint {
        id,
        role,
        state: EndpointState::Healthy,
        zone: 0,
        cell: 0,
        kind: 0,
        weight: 20.0,
        started_at: 0,
    }
}

fn request(number: u64) -> Request {
    let id = format!("{number:016x}").into();
    Request {
        id,
        class: 0,
        object: number,
        chunk: 0,
        purge_group: 1,
        timeout: 3 * S,
        size_kb: 100.0,
        repeat_policy: None,
    }
}

/// Returns the maximum number of lookups for a request with its outcome, and for an update of one endpoint.
fn max_lookups(endpoint_count: usize, weights_are_sizes: bool) -> (u64, u64) {
    let mut router = Router::new(settings(weights_are_sizes), 7);
    let mut actions = Vec::new();
    let endpoints = (0..endpoint_count).map(|n| endpoint_at(n, endpoint_count)).collect();
    let mut now = 100 * S;
    router.handle(now, Event::Endpoints { complete: true, endpoints }, &mut actions);
    let (mut by_request, mut by_change) = (0, 0);
    for number in 0..20 {
        now += 10 * MS;
        actions.clear();
        router.endpoints.lookups.take();
        router.handle(now, Event::Request(request(number)), &mut actions);
        router.handle(now, Event::Outcome(final_outcome(number, AttemptStatus::Served)), &mut actions);
        by_request = by_request.max(router.endpoints.lookups.take());
        router.endpoints.lookups.take();
        let mut changed = endpoint_at(number as usize, endpoint_count);
        changed.state = if number % 2 == 0 { EndpointState::Draining } else { EndpointState::Healthy };
        router.handle(now, Event::Endpoints { complete: false, endpoints: vec![changed] }, &mut actions);
        by_change = by_change.max(router.endpoints.lookups.take());
    }
    (by_request, by_change)
}

/// Guards against a scan of the endpoint list nested in another one.
#[test]
fn lookups_per_request_and_per_update_grow_at_most_linearly_with_the_endpoint_list() {
    for weights_are_sizes in [true, false] {
        let (few, many) =
            (max_lookups(100, weights_are_sizes), max_lookups(100 * LENGTH_RATIO, weights_are_sizes));
        for (event, few, many) in [("request", few.0, many.0), ("update", few.1, many.1)] {
            let limit = (few + CONSTANT_LOOKUPS) * LENGTH_RATIO as u64;
            assert!(
                few > 0 && many <= limit,
                "{event}: {few} lookups with 100 endpoints, {many} with {LENGTH_RATIO} times as many"
            );
        }
    }
}

/// Guards against an outcome that is recorded at the wrong endpoint: an attempt whose capacity was released
/// early still refers to its endpoint's slot, so a new endpoint must not reuse the slot before the outcome.
#[test]
fn slot_of_a_removed_endpoint_is_not_reused_while_an_attempt_refers_to_it() {
    let mut router = Router::new(settings(false), 7);
    let mut actions = Vec::new();
    let mut now = 100 * S;
    let (cache, origin) = (endpoint_at(0, 2), endpoint_at(1, 2));
    router.handle(
        now,
        Event::Endpoints { complete: true, endpoints: vec![cache.clone(), origin] },
        &mut actions,
    );
    router.handle(now, Event::Request(request(1)), &mut actions);
    let overdue_timer = actions.iter().find_map(|action| match action {
        Action::Timer { at, token } => Some((*at, *token)),
        _ => None,
    });
    let (overdue_at, overdue_token) = overdue_timer.expect("a timer is set for the attempt");
    // Another request at the same endpoint is answered, so the first response counts as lost once it is late.
    now += 10 * MS;
    router.handle(now, Event::Request(request(2)), &mut actions);
    now += 10 * MS;
    router.handle(now, Event::Outcome(final_outcome(2, AttemptStatus::Served)), &mut actions);
    now = now.max(overdue_at);
    router.handle(now, Event::Timer { token: overdue_token }, &mut actions);
    let slot = router.endpoints.find(&cache.id).expect("the cache is listed");
    assert!(router.endpoints[slot].concurrency.in_flight.is_empty(), "its capacity is released");
    let removed = Endpoint { state: EndpointState::Removed, ..cache };
    router.handle(now, Event::Endpoints { complete: false, endpoints: vec![removed] }, &mut actions);
    let new_endpoint = Endpoint { id: "s-0000beef".into(), ..endpoint_at(0, 2) };
    let new_id = new_endpoint.id.clone();
    router.handle(now, Event::Endpoints { complete: false, endpoints: vec![new_endpoint] }, &mut actions);
    assert_ne!(router.endpoints.find(&new_id), Some(slot), "the slot was reused");
    router.handle(now + MS, Event::Outcome(final_outcome(1, AttemptStatus::TimedOut)), &mut actions);
    // After the attempt has ended the slot is free.
    let next_endpoint = Endpoint { id: "s-0000cafe".into(), ..endpoint_at(0, 2) };
    let next_id = next_endpoint.id.clone();
    router.handle(
        now + MS,
        Event::Endpoints { complete: false, endpoints: vec![next_endpoint] },
        &mut actions,
    );
    assert_eq!(router.endpoints.find(&next_id), Some(slot));
}

/// Returns the final outcome of a request's only attempt.
fn final_outcome(number: u64, status: AttemptStatus) -> Outcome {
    Outcome {
        request: request(number).id,
        attempt: 0,
        status,
        is_final: true,
        elapsed: 20 * MS,
        fill_wait: 0,
        cache_status: CacheStatus::Hit,
        load_report: None,
    }
}

/// Guards against failures of an endpoint's earlier process that eject the one which has come up at its
/// address.
#[test]
fn late_outcomes_of_an_earlier_process_do_not_count_against_the_present_one() {
    for is_restarted in [false, true] {
        let mut router = Router::new(settings(false), 7);
        let mut actions = Vec::new();
        let mut now = 100 * S;
        let endpoints = vec![endpoint_at(0, 2), endpoint_at(1, 2)];
        router.handle(now, Event::Endpoints { complete: true, endpoints: endpoints.clone() }, &mut actions);
        for number in 0..8 {
            router.handle(now, Event::Request(request(number)), &mut actions);
        }
        let cache = router.endpoints.find(&endpoints[0].id).unwrap();
        let to_cache = |action: &Action| match action {
            Action::Send { request, server, .. } => (*server == endpoints[0].id).then(|| request.clone()),
            _ => None,
        };
        let sent: Vec<_> = actions.drain(..).filter_map(|action| to_cache(&action)).collect();
        assert!(sent.len() > 2, "{}", sent.len());
        now += S;
        if is_restarted {
            let restarted = Endpoint { started_at: now - 100 * MS, ..endpoints[0].clone() };
            router.handle(
                now,
                Event::Endpoints { complete: false, endpoints: vec![restarted] },
                &mut actions,
            );
        }
        now += S;
        for request in sent {
            let outcome = Outcome { request, ..final_outcome(0, AttemptStatus::ConnectFailed) };
            router.handle(now, Event::Outcome(outcome), &mut actions);
        }
        assert_eq!(router.endpoints[cache].outliers.is_available(now), is_restarted);
        assert!(
            router.endpoints[cache].concurrency.in_flight.is_empty(),
            "the attempts have ended all the same"
        );
    }
}
