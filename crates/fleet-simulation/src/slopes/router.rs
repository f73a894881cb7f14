//! The instance as router: the decision module alone, by servers that it may send to and by the length of its list.

use super::cost::{heap, Stopwatch};
use super::Effort;
use crate::capacity::target::{Sum, ENDPOINTS, REQUESTS_EACH, SITES};
use crate::capacity::{Per, Quantity, Role, Row};
use larchdale::routing::events::{
    Action, AttemptStatus, CacheStatus, Class, DeduplicationScope, Endpoint, Event, Id, Idempotency, Outcome,
    OutcomeDetail, Request, Role as Serves, Settings,
};
use larchdale::Router;
use std::collections::VecDeque;

const MECHANISM: &str = "src/routing/mod.rs, Router";
const S: u64 = 1_000_000;
/// Caches of one zone, on the mean.
const NEAR: usize = 3;

/// A router with so many caches of its own zone and so many of others, and the time that it is told.
pub struct Fed {
    /// The module.
    pub router: Router,
    /// Its clock.
    pub now: u64,
    timers: VecDeque<(u64, u64)>,
    asked: u64,
}

fn class(fresh: u64) -> Class {
    Class {
        fresh_for: fresh,
        grace: fresh,
        uncacheable: false,
        latency_objective: S / 2,
        latency_objective_stretch: 2.0,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: S,
    }
}

fn member(id: &str, role: Serves, zone: usize, weight: f64) -> Endpoint {
    Endpoint { id: id.into(), role, zone, weight, ..Endpoint::default() }
}

impl Fed {
    /// One of a zone with `near` caches, beside `far` caches of other zones, two parents and the origin.
    pub fn new(near: usize, far: usize) -> Fed {
        let zones = SITES as usize;
        let settings = Settings {
            zone: 1,
            routers: 3_300,
            routers_by_zone: vec![19; zones],
            classes: vec![class(0), class(20 * S)],
            transfer_rate_kb_s: 1_000.0,
            zone_link_kb_s: vec![200_000.0; zones],
            weights_are_sizes: true,
            overload_window: S,
            purge_propagation_time: 6 * S,
            may_bypass_caches: true,
            outcome_detail: OutcomeDetail::All,
            max_attempts: 3,
            ..Settings::default()
        };
        let mut members: Vec<Endpoint> =
            (0..near).map(|n| member(&format!("c{n}"), Serves::Cache, 1, 400.0)).collect();
        members.extend((0..far).map(|n| member(&format!("f{n}"), Serves::Cache, 2 + n % (zones - 2), 400.0)));
        members.extend((0..2).map(|n| member(&format!("p{n}"), Serves::Parent, 0, 40_000.0)));
        members.push(member("o", Serves::Origin, 0, 40_000.0));
        let mut fed =
            Fed { router: Router::new(settings, 7), now: 100 * S, timers: VecDeque::new(), asked: 0 };
        fed.router.handle(fed.now, Event::Endpoints { complete: true, endpoints: members }, &mut Vec::new());
        fed
    }

    fn request(&mut self) -> (Id, Request) {
        self.asked += 1;
        let n = self.asked;
        let id: Id = format!("r{n}").as_str().into();
        let request = Request {
            id: id.clone(),
            class: (n % 2) as usize,
            object: n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40,
            chunk: 0,
            purge_group: n % 97,
            timeout: 3 * S,
            size_kb: 180.0,
            repeat_policy: None,
        };
        (id, request)
    }

    fn keep(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Timer { at, token } = action {
                self.timers.push_back((*at, *token));
            }
        }
    }

    /// So many requests, a millisecond apart, each answered half a millisecond later.
    pub fn run(&mut self, watch: &mut Stopwatch, many: usize) {
        for n in 0..many {
            self.now += 1_000;
            let (id, request) = self.request();
            let note = if n % 4 == 0 { CacheStatus::Filled } else { CacheStatus::Hit };
            let (now, router, mut actions) = (self.now, &mut self.router, Vec::new());
            watch.time(|| router.handle(now, Event::Request(request), &mut actions));
            if actions.iter().any(|a| matches!(a, Action::Send { .. })) {
                let ended = Outcome {
                    request: id,
                    attempt: 0,
                    status: AttemptStatus::Served,
                    is_final: true,
                    elapsed: 60_000,
                    fill_wait: 0,
                    cache_status: note,
                    load_report: None,
                };
                watch.time(|| router.handle(now + 500, Event::Outcome(ended), &mut Vec::new()));
            }
            self.keep(&actions);
            while let Some((_, token)) = self.timers.pop_front_if(|t| t.0 <= now) {
                let router = &mut self.router;
                watch.time(|| router.handle(now, Event::Timer { token }, &mut Vec::new()));
            }
        }
    }
}

/// Requests for a figure: fewer where each takes long.
fn many(effort: Effort, near: usize) -> usize {
    let many = if effort.quick { 2_000 } else { 20_000 };
    (many / near.max(1)).max(100)
}

/// Processor time of a request, and of a change of the list.
pub fn times(effort: Effort) -> Vec<Row> {
    let row = |name: &str, quantity, per, target: f64, points: &[(f64, f64)]| {
        Row::new(Role::Router, name, quantity, per, target, points, MECHANISM)
    };
    let each = |near: usize, far: usize| {
        let (mut fed, mut watch) = (Fed::new(near, far), Stopwatch::new());
        let many = many(effort, near);
        fed.run(&mut Stopwatch::new(), many / 10);
        fed.run(&mut watch, many);
        watch.us() / many as f64
    };
    let near = effort.sizes(&[3, 10, 30, 100, 420], &[3, 10, 30, 100]);
    let far = effort.sizes(&[10, 100, 420, 1_000], &[10, 50, 100, 200]);
    let changes = effort.points(far, |n| {
        let (mut fed, mut watch) = (Fed::new(NEAR, n), Stopwatch::new());
        for k in 0..200 {
            let changed = member(&format!("f{}", k % n), Serves::Cache, 2, 300.0 + k as f64);
            let (now, router) = (fed.now, &mut fed.router);
            let event = Event::Endpoints { complete: false, endpoints: vec![changed] };
            watch.time(|| router.handle(now, event, &mut Vec::new()));
        }
        watch.us_each()
    });
    let here = ENDPOINTS / SITES;
    vec![
        row(
            "a request and its answer, by caches of the own zone",
            Quantity::CpuEach,
            Per::Server,
            here,
            &effort.points(near, |n| each(n, 10)),
        ),
        row(
            "a request and its answer, by caches of other zones in the list",
            Quantity::CpuEach,
            Per::Server,
            ENDPOINTS,
            &effort.points(far, |n| each(NEAR, n)),
        ),
        row("a change of the list told to the module", Quantity::CpuEach, Per::Server, ENDPOINTS, &changes),
    ]
}

/// Bytes of the module: the list, and requests under way.
pub fn heaps(effort: Effort) -> Vec<Row> {
    let far = effort.sizes(&[10, 100, 420, 1_000], &[10, 50, 100, 200]);
    let list = effort.points(far, |n| heap(|| Fed::new(NEAR, n).router));
    let requests = effort.sizes(&[100, 300, 1_000, 3_000], &[30, 60, 100, 200]);
    let open = effort.points(requests, |n| {
        let mut fed = Fed::new(30, 10);
        heap(|| {
            for _ in 0..n {
                let (_, request) = fed.request();
                fed.router.handle(fed.now, Event::Request(request), &mut Vec::new());
            }
        })
    });
    let row = |name: &str, per, target: f64, points: &[(f64, f64)]| {
        Row::new(Role::Router, name, Quantity::Heap, per, target, points, MECHANISM)
    };
    vec![
        row("the list in the module", Per::Server, ENDPOINTS, &list).counts(Sum::InstanceMemory, 1.0, 1.0),
        row("requests under way in the module, each for a second", Per::Request, REQUESTS_EACH, &open),
    ]
}
