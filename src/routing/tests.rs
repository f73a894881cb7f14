//! How the work of one event grows with the endpoint list: reads of endpoint records are counted, no clock is
//! read.

use super::events::{
    Action, AttemptStatus, CacheStatus, Class, DeduplicationScope, Endpoint, EndpointState, Event,
    Idempotency, Micros, Outcome, OutcomeDetail, Request, Role, Settings, SlowStart,
};
use super::Router;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// The larger list is this many times the smaller.
const TIMES: usize = 8;
/// What is constant in an event, or grows by the logarithm, may add this much to the work at the smaller
/// size.
const SLACK: u64 = 64;

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

/// Every tenth is a parent, the last is the origin.
fn member(n: usize, all: usize) -> Endpoint {
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
    Request { id, class: 0, object: number, chunk: 0, purge_group: 1, timeout: 3 * S, size_kb: 100.0 }
}

/// The most lookups that one event of each kind takes: a request with its answer, and a change of one record.
fn work(servers: usize, weights_are_sizes: bool) -> (u64, u64) {
    let mut router = Router::new(settings(weights_are_sizes), 7);
    let mut actions = Vec::new();
    let members = (0..servers).map(|n| member(n, servers)).collect();
    let mut now = 100 * S;
    router.handle(now, Event::Endpoints { complete: true, endpoints: members }, &mut actions);
    let (mut by_request, mut by_change) = (0, 0);
    for number in 0..20 {
        now += 10 * MS;
        actions.clear();
        router.endpoints.lookups.take();
        router.handle(now, Event::Request(request(number)), &mut actions);
        router.handle(now, Event::Outcome(ended(number, AttemptStatus::Served)), &mut actions);
        by_request = by_request.max(router.endpoints.lookups.take());
        router.endpoints.lookups.take();
        let mut changed = member(number as usize, servers);
        changed.state = if number % 2 == 0 { EndpointState::Draining } else { EndpointState::Healthy };
        router.handle(now, Event::Endpoints { complete: false, endpoints: vec![changed] }, &mut actions);
        by_change = by_change.max(router.endpoints.lookups.take());
    }
    (by_request, by_change)
}

/// A router of a fleet with eight times the endpoints has the same traffic: no walk over the list inside
/// another.
#[test]
fn the_work_of_a_request_and_of_a_change_does_not_grow_with_the_square_of_the_list() {
    for weights_are_sizes in [true, false] {
        let (few, many) = (work(100, weights_are_sizes), work(100 * TIMES, weights_are_sizes));
        for (what, few, many) in [("request", few.0, many.0), ("change", few.1, many.1)] {
            let most = (few + SLACK) * TIMES as u64;
            assert!(
                few > 0 && many <= most,
                "{what}: {few} lookups at 100 servers, {many} at {TIMES} times as many"
            );
        }
    }
}

/// Guards an endpoint that is new against the end of an attempt at another one: the place of that one, which
/// was removed while the attempt was out and counted as lost, must not be given away.
#[test]
fn the_place_of_a_removed_endpoint_stays_its_own_while_an_attempt_is_out_there() {
    let mut router = Router::new(settings(false), 7);
    let mut actions = Vec::new();
    let mut now = 100 * S;
    let (cache, origin) = (member(0, 2), member(1, 2));
    router.handle(
        now,
        Event::Endpoints { complete: true, endpoints: vec![cache.clone(), origin] },
        &mut actions,
    );
    router.handle(now, Event::Request(request(1)), &mut actions);
    let overdue = actions.iter().find_map(|action| match action {
        Action::Timer { at, token } => Some((*at, *token)),
        _ => None,
    });
    let (overdue_at, overdue_token) = overdue.expect("the answer's time is watched");
    // Another request at the same endpoint is answered, so the first answer counts as lost once it is late.
    now += 10 * MS;
    router.handle(now, Event::Request(request(2)), &mut actions);
    now += 10 * MS;
    router.handle(now, Event::Outcome(ended(2, AttemptStatus::Served)), &mut actions);
    now = now.max(overdue_at);
    router.handle(now, Event::Timer { token: overdue_token }, &mut actions);
    let place = router.endpoints.find(&cache.id).expect("it is listed");
    assert!(router.endpoints[place].concurrency.in_flight.is_empty(), "its capacity is released");
    let removed = Endpoint { state: EndpointState::Removed, ..cache };
    router.handle(now, Event::Endpoints { complete: false, endpoints: vec![removed] }, &mut actions);
    let new = Endpoint { id: "s-0000beef".into(), ..member(0, 2) };
    let new_id = new.id.clone();
    router.handle(now, Event::Endpoints { complete: false, endpoints: vec![new] }, &mut actions);
    assert_ne!(router.endpoints.find(&new_id), Some(place), "given to another endpoint");
    router.handle(now + MS, Event::Outcome(ended(1, AttemptStatus::TimedOut)), &mut actions);
    // Once the attempt has ended the place is free.
    let next = Endpoint { id: "s-0000cafe".into(), ..member(0, 2) };
    let next_id = next.id.clone();
    router.handle(now + MS, Event::Endpoints { complete: false, endpoints: vec![next] }, &mut actions);
    assert_eq!(router.endpoints.find(&next_id), Some(place));
}

/// The only attempt of a request has ended, and with it the request.
fn ended(number: u64, status: AttemptStatus) -> Outcome {
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
