//! A small fleet and shorthands for driving a router by events.
#![allow(dead_code)]

use larchdale::routing::events::{
    Action, AttemptStatus, CacheStatus, Class, DeduplicationScope, Endpoint, EndpointState, Event,
    Idempotency, Micros, Outcome, OutcomeDetail, Request, Role, Settings, SlowStart,
};
use larchdale::Router;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// Clock time at which the tests begin.
pub const T0: Micros = 100 * S;

pub const VIDEO: usize = 0;
pub const PAGE: usize = 1;
pub const ORDER: usize = 2;
pub const KEYED: usize = 3;

pub fn settings() -> Settings {
    let class = |fresh, grace, uncacheable, idempotency, deduplication_scope| Class {
        fresh_for: fresh,
        grace,
        uncacheable,
        latency_objective: 400 * MS,
        latency_objective_stretch: 2.0,
        idempotency,
        deduplication_scope,
        deduplication_window: 2 * S,
    };
    Settings {
        zone: 3,
        routers: 4,
        processes: 1,
        routers_by_zone: vec![0, 0, 0, 2, 2],
        classes: vec![
            class(0, 0, false, Idempotency::Idempotent, DeduplicationScope::All),
            class(20 * S, 10 * S, false, Idempotency::Idempotent, DeduplicationScope::All),
            class(0, 0, true, Idempotency::NotIdempotent, DeduplicationScope::All),
            class(0, 0, false, Idempotency::WithKey, DeduplicationScope::Zone),
        ],
        transfer_rate_kb_s: 1000.0,
        zone_link_kb_s: vec![0.0, 0.0, 0.0, 20_000.0, 20_000.0],
        weights_are_sizes: true,
        cache_slow_start: SlowStart { initial_share: 0.2, duration: 18 * S, overload_multiple: 2.0 },
        parent_slow_start: SlowStart { initial_share: 0.1, duration: 20 * S, overload_multiple: 2.0 },
        overload_window: S,
        purge_propagation_time: 6 * S,
        may_bypass_caches: true,
        may_join_fills: true,
        outcome_detail: OutcomeDetail::All,
        max_attempts: 4,
        may_cancel: true,
        retry_after: true,
        max_retry_after: S,
        watch_required: false,
    }
}

pub fn endpoint(id: &str, role: Role, zone: usize, weight: f64) -> Endpoint {
    Endpoint {
        id: id.into(),
        role,
        state: EndpointState::Healthy,
        zone,
        cell: 0,
        kind: 0,
        weight,
        started_at: 0,
    }
}

pub fn fleet() -> Vec<Endpoint> {
    let mut all = Vec::new();
    for zone in [3, 4] {
        for n in 0..4 {
            all.push(endpoint(&format!("cache-{zone}-{n}"), Role::Cache, zone, 8.0));
        }
    }
    for n in 0..3 {
        all.push(endpoint(&format!("parent-{n}"), Role::Parent, n, 30.0));
    }
    all.push(endpoint("origin", Role::Origin, 0, 1.0));
    all
}

pub fn router_with(settings: Settings, members: Vec<Endpoint>) -> Router {
    let mut router = Router::new(settings, 7);
    handle_event(&mut router, T0, Event::Endpoints { complete: true, endpoints: members });
    router
}

pub fn router() -> Router {
    router_with(settings(), fleet())
}

pub fn handle_event(router: &mut Router, now: Micros, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    router.handle(now, event, &mut actions);
    actions
}

pub fn request(id: &str, class: usize, object: u64) -> Request {
    Request {
        id: id.into(),
        class,
        object,
        chunk: 0,
        purge_group: object % 32,
        timeout: 3 * S,
        size_kb: 100.0,
        repeat_policy: None,
    }
}

pub fn send_request(router: &mut Router, now: Micros, id: &str, class: usize, object: u64) -> Vec<Action> {
    handle_event(router, now, Event::Request(request(id, class, object)))
}

pub fn outcome_of(id: &str, attempt: u32, code: AttemptStatus) -> Outcome {
    Outcome {
        request: id.into(),
        attempt,
        status: code,
        is_final: code == AttemptStatus::Served,
        elapsed: 20 * MS,
        fill_wait: 0,
        cache_status: CacheStatus::Unknown,
        load_report: None,
    }
}

pub fn end_attempt(
    router: &mut Router,
    now: Micros,
    id: &str,
    attempt: u32,
    code: AttemptStatus,
) -> Vec<Action> {
    handle_event(router, now, Event::Outcome(outcome_of(id, attempt, code)))
}

/// The one attempt that a router sends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SentAttempt {
    pub target: String,
    /// Empty for a plain request to the origin.
    pub source: String,
    /// Oldest copy accepted.
    pub max_age: Micros,
}

/// The one attempt among the actions.
pub fn sent_attempt(actions: &[Action]) -> SentAttempt {
    let sends: Vec<_> = actions.iter().filter(|action| matches!(action, Action::Send { .. })).collect();
    assert_eq!(sends.len(), 1, "one attempt expected in {actions:?}");
    let Action::Send { server, fetch, .. } = sends[0] else { unreachable!() };
    SentAttempt {
        target: server.to_string(),
        source: fetch.as_ref().map(|fetch| fetch.source.to_string()).unwrap_or_default(),
        max_age: fetch.as_ref().map_or(0, |fetch| fetch.max_age),
    }
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

pub fn sends_attempt(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Send { .. }))
}
