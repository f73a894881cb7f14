//! A holder of plans for the loss of sites: the programs that are solved whenever the list changes, one a turn of the
//! loop, and what is kept of them.

use super::cost::{heap, Stopwatch};
use super::Effort;
use crate::capacity::target::{Sum, LISTED_S, SITES};
use crate::capacity::{Per, Quantity, Role, Row};
use larchdale::failover::load_shift::constraints::ConstraintQuery;
use larchdale::failover::load_shift::{Inputs, PlanBuilder, Plans, Target};
use larchdale::failover::Settings;
use larchdale::routing::events::{Class, DeduplicationScope, Idempotency, Role as Serves};

const MECHANISM: &str =
    "src/failover/load_shift/plans.rs, PlanBuilder and Plans; above 128 zones: none (PlanError::TooMany)";
const S: u64 = 1_000_000;
/// Programs that are solved for a figure of one: all of few zones, else a sample of them.
const SAMPLE: usize = 3;
/// The loop must not be held up for longer by one step, in microseconds.
const HOLD: f64 = 50_000.0;

/// Sites of three caches, every fifth a hub with a parent, one origin; loads as the links suggest.
pub fn inputs(zones: usize, beyond: bool) -> Inputs {
    let class = |uncacheable, effect| {
        let (fresh, grace) = if uncacheable { (0, 0) } else { (30 * S, 30 * S) };
        Class {
            fresh_for: fresh,
            grace,
            uncacheable,
            latency_objective: S / 2,
            latency_objective_stretch: 2.0,
            idempotency: effect,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: 0,
        }
    };
    let target = |server: String, role, zone, capacity| Target {
        server: server.as_str().into(),
        role,
        zone,
        capacity,
        price: 0.0,
    };
    let mut targets = Vec::new();
    for zone in 0..zones {
        let of =
            |n: usize| target(format!("c{zone:03}-{n}"), Serves::Cache, zone, 80.0 + (zone * 7 % 40) as f64);
        targets.extend((0..3).map(of));
        if zone % 5 == 0 {
            targets.push(target(format!("p{zone:03}"), Serves::Parent, zone, 400.0));
        }
    }
    targets.push(target("o".to_owned(), Serves::Origin, 0, 60.0 * zones as f64));
    Inputs {
        zones,
        targets,
        link_capacity: vec![300.0; zones],
        load: (0..zones).map(|z| vec![100.0 + (z * 11 % 60) as f64, 40.0, 4.0]).collect(),
        miss_ratio: vec![0.2, 0.2, 1.0],
        parent_miss_ratio: vec![0.1, 0.1, 1.0],
        priority_weight: vec![1.0, 2.0, 3.0],
        classes: vec![
            class(false, Idempotency::Idempotent),
            class(false, Idempotency::Idempotent),
            class(true, Idempotency::NotIdempotent),
        ],
        settings: Settings { cross_zone_caches: beyond, ..Settings::default() },
        may_bypass_caches: true,
    }
}

/// Steps until all plans are made.
fn steps(zones: usize) -> usize {
    PlanBuilder::new(&inputs(zones, false)).map_or(0, |m| m.remaining())
}

/// Mean of some programs, and the longest, in microseconds.
fn solve(zones: usize) -> (f64, f64) {
    let Ok(mut maker) = PlanBuilder::new(&inputs(zones, false)) else { return (0.0, 0.0) };
    let mut watch = Stopwatch::new();
    for _ in 0..SAMPLE.min(maker.remaining()) {
        watch.time(|| maker.step().is_some());
    }
    (watch.us_each(), watch.us_longest())
}

fn sizes(effort: Effort) -> &'static [usize] {
    effort.sizes(&[10, 30, 60, 128], &[4, 8, 12, 16])
}

/// Processor time of a program, of all of them, and of the guidance while a site is lost.
pub fn times(effort: Effort) -> Vec<Row> {
    let row = |name: &str, quantity, points: &[(f64, f64)]| {
        Row::new(Role::Plan, name, quantity, Per::Site, SITES, points, MECHANISM)
    };
    let sizes = sizes(effort);
    let singles = |zones: usize| zones + 1;
    let longest = effort.points(sizes, |n| solve(n).1);
    let all = effort.points(sizes, |n| solve(n).0 * singles(n) as f64);
    let guide = effort.points(sizes, |n| {
        let Some(plans) = made(n) else { return 0.0 };
        let mut factors = vec![1.0; n];
        factors[1] = 0.0;
        let asked = ConstraintQuery {
            zone: 0,
            zone_instances: 19,
            all_instances: 3_300,
            site_factors: &factors,
            probe_rate: 0.2,
            window: S,
            expected_return: 0,
            learning_share: None,
        };
        let mut watch = Stopwatch::new();
        (0..20).for_each(|_| drop(watch.time(|| plans.constraints(&asked))));
        watch.us_each()
    });
    let few = effort.sizes(&[5, 10, 20, 32], &[3, 4, 6, 8]);
    let paired = effort.points(few, |n| solve(n).0 * steps(n) as f64);
    vec![
        row("one program, which holds up the loop", Quantity::CpuStep, &longest).limit(HOLD),
        row("plans for each one site, after each change of the list", Quantity::CpuEach, &all).counts(
            Sum::InstanceCpu,
            LISTED_S.0,
            1.0 / 60.0,
        ),
        Row::new(
            Role::Plan,
            "plans for each two sites as well, made up to 32 sites",
            Quantity::CpuEach,
            Per::Site,
            32.0,
            &paired,
            MECHANISM,
        ),
        row("guidance made anew while a site is lost", Quantity::CpuEach, &guide),
    ]
}

fn made(zones: usize) -> Option<Plans> {
    // As the maker gives them, without solving all: those of no loss and some losses; the rest is filled when asked.
    let mut small = inputs(zones, false);
    small.settings.floor = 0.0;
    let mut maker = PlanBuilder::new(&small).ok()?;
    let mut last = None;
    for _ in 0..maker.remaining() {
        last = maker.step();
        if last.is_some() {
            break;
        }
    }
    last
}

/// Bytes of all plans.
pub fn heaps(effort: Effort) -> Vec<Row> {
    let points = effort.points(effort.sizes(&[10, 40, 80, 128], &[4, 8, 12, 16]), |n| {
        // What one program leaves, times all of them: making all would take too long.
        let Ok(mut maker) = PlanBuilder::new(&inputs(n, false)) else { return 0.0 };
        let empty = heap(|| PlanBuilder::new(&inputs(n, false)));
        let sample = SAMPLE.min(maker.remaining());
        let some = heap(|| {
            (0..sample).for_each(|_| drop(maker.step()));
        });
        empty + some / sample as f64 * steps(n) as f64
    });
    let name = "inputs and plans, those of pairs up to 32 sites";
    let row = Row::new(Role::Plan, name, Quantity::Heap, Per::Site, SITES, &points, MECHANISM);
    vec![row.counts(Sum::InstanceMemory, 1.0, 1.0)]
}
