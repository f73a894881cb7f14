//! Purges in force: what the module keeps of each for twice as long as copies linger, and what that costs requests.

use super::cost::{heap, Stopwatch};
use super::router::Fed;
use super::Effort;
use crate::capacity::target::{Sum, CONTROL, INSTANCES, PURGED_WITHIN, PURGES, TRAFFIC};
use crate::capacity::{Per, Quantity, Role, Row};
use crate::FollowFigures;
use larchdale::routing::events::Event;

const MECHANISM: &str = "src/purges/recent.rs, Recent, behind the command channel or the purge log";
/// Of what follows the log.
const LOG: &str = "src/purges/log.rs, PurgeLog; src/proxy/purge_log.rs: each doorman's session straight to one of 12 machines";
const S: u64 = 1_000_000;
/// Microseconds for which the module keeps a purge: twice what [`Fed`] is told that copies linger for.
const KEPT: u64 = 12 * S;
/// Purges in force where each is kept as long as that.
pub const IN_FORCE: f64 = PURGES * KEPT as f64 / S as f64;

/// One purge of an object, and every tenth of a group.
fn purge(fed: &mut Fed, watch: &mut Stopwatch, n: u64) {
    let object = (!n.is_multiple_of(10)).then(|| n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40);
    let (now, router) = (fed.now, &mut fed.router);
    let event = Event::Purged { object, purge_group: n % 97, age: 0 };
    watch.time(|| router.handle(now, event, &mut Vec::new()));
}

/// With so many in force, evenly over the time that each is kept for: as a stream of them leaves it.
fn with(in_force: usize) -> Fed {
    let mut fed = Fed::new(3, 10);
    let apart = KEPT / in_force.max(1) as u64;
    for n in 0..in_force as u64 {
        purge(&mut fed, &mut Stopwatch::new(), n);
        fed.now += apart;
    }
    fed
}

fn sizes(effort: Effort) -> &'static [usize] {
    effort.sizes(&[60, 240, 1_000, 4_000], &[30, 60, 120, 240])
}

/// Processor time of a purge and, with so many in force, of a request.
pub fn times(effort: Effort) -> Vec<Row> {
    let row = |name: &str, quantity, points: &[(f64, f64)]| {
        Row::new(Role::Purges, name, quantity, Per::Purge, IN_FORCE, points, MECHANISM)
    };
    let stream = effort.points(sizes(effort), |n| {
        let (mut fed, mut watch) = (with(n), Stopwatch::new());
        let apart = KEPT / n as u64;
        let many = if effort.quick { 100 } else { 1_000 };
        for k in 0..many {
            fed.now += apart;
            // The oldest goes as this one comes.
            purge(&mut fed, &mut watch, n as u64 + k);
        }
        watch.us_each()
    });
    let request = effort.points(sizes(effort), |n| {
        let (mut fed, mut watch) = (with(n), Stopwatch::new());
        let many = if effort.quick { 500 } else { 2_000 };
        fed.run(&mut watch, many);
        watch.us() / many as f64
    });
    vec![
        row("a purge that comes as the oldest goes", Quantity::CpuEach, &stream).counts(
            Sum::InstanceCpu,
            PURGES,
            PURGES,
        ),
        row("a request and its answer with so many in force", Quantity::CpuEach, &request),
    ]
}

/// Followers of the purge log in virtual time, with 20 purges a second; the same each time.
pub fn followers(effort: Effort) -> Vec<Row> {
    let all = super::follow::runs(effort, crate::purge_slope);
    if all.is_empty() {
        return Vec::new();
    }
    let row = |name: &str, quantity, of: &dyn Fn(&FollowFigures) -> f64| {
        let points: Vec<(f64, f64)> = all.iter().map(|(n, f)| (*n, of(f))).collect();
        let name = format!("{name}, the log, virtual time");
        Row::new(Role::Purges, &name, quantity, Per::Member, INSTANCES, &points, LOG)
    };
    vec![
        row("one doorman, bytes", Quantity::BytesIn, &|f| f.down.bytes_per_s.median).limit(TRAFFIC).counts(
            Sum::InstanceBytes,
            1.0,
            1.0,
        ),
        row("one doorman, bytes", Quantity::BytesOut, &|f| f.up.bytes_per_s.median).counts(
            Sum::InstanceBytes,
            1.0,
            1.0,
        ),
        row("one of 12 machines, bytes", Quantity::BytesOut, &|f| f.control_out.bytes_per_s.most).counts(
            Sum::ControlBytes,
            CONTROL,
            CONTROL,
        ),
        row("one of 12 machines, messages", Quantity::MessagesOut, &|f| f.control_out.messages_per_s.most),
        row("one of 12 machines, the most calls in one second", Quantity::MessagesIn, &|f| {
            f.control_calls_peak as f64
        }),
        row("a purge is in force at the last doorman", Quantity::Seconds, &|f| f.in_force_ms.most / 1e3)
            .limit(PURGED_WITHIN),
    ]
}

/// Bytes of those in force.
pub fn heaps(effort: Effort) -> Vec<Row> {
    let points = effort.points(sizes(effort), |n| {
        let mut fed = Fed::new(3, 10);
        heap(|| {
            (0..n as u64).for_each(|k| purge(&mut fed, &mut Stopwatch::new(), k));
        })
    });
    let name = "in force in the module";
    let row = Row::new(Role::Purges, name, Quantity::Heap, Per::Purge, IN_FORCE, &points, MECHANISM);
    vec![row.counts(Sum::InstanceMemory, 1.0, 1.0)]
}
