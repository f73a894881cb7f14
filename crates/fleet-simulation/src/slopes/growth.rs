//! Growth: what an instance counts of what its zone newly wants, what it writes of it, and what every instance keeps and
//! the leading one works out of all that was written.

use super::cost::{heap, Stopwatch};
use super::documents::map;
use super::Effort;
use crate::capacity::target::{Sum, INSTANCES, REQUESTS_EACH, SHARDS, SITES, TRAFFIC};
use crate::capacity::{Per, Quantity, Role, Row};
use larchdale::growth::ahead::GrowthPlanner;
use larchdale::growth::buckets::GrowthCounter;
use larchdale::growth::Settings;
use larchdale::placement::load::Work;
use larchdale::placement::rebalance::EndpointCapacity;

const COUNTER: &str = "src/growth/buckets.rs, Growth; src/proxy/rebalancing.rs, count";
const PLANNER: &str =
    "src/growth/ahead.rs, Ahead; src/growth/buckets.rs, Merged; in every doorman, one a zone";
const HOUR_MS: u64 = 3_600_000;
const NOW_MS: u64 = 500_000 * HOUR_MS;
/// The open bucket is written so often, in seconds.
const SAVED: f64 = 60.0;
/// Part of requests that are newly wanted: filled, and not there before.
const NEW: f64 = 0.05;
/// Objects newly wanted of one instance in one bucket of an hour.
const WANTED: f64 = REQUESTS_EACH * NEW * 3_600.0;
/// The loop must not be held up for longer by one step, in microseconds.
const HOLD: f64 = 50_000.0;

fn scatter(n: u64) -> u64 {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// An instance's open bucket.
fn bucket(wanted: usize, member: usize) -> GrowthCounter {
    let mut growth = GrowthCounter::new(Settings::default(), "z", &format!("doorman-{member}"), NOW_MS);
    growth.close(NOW_MS);
    for n in 0..wanted as u64 {
        growth.record(scatter(n + ((member as u64) << 40)), 0, 180.0, true, false);
    }
    growth
}

/// What a planner knows of one zone after so many buckets of ten thousand objects each.
fn ahead(buckets: u64, wanted: u64) -> GrowthPlanner {
    let mut ahead = GrowthPlanner::new(Settings::default(), "z");
    let mut growth = GrowthCounter::new(Settings::default(), "z", "doorman", NOW_MS);
    growth.close(NOW_MS);
    for hour in 1..=buckets {
        (0..wanted).for_each(|n| growth.record(scatter(hour << 32 | n), 0, 180.0, true, false));
        growth.close(NOW_MS + hour * HOUR_MS);
        while let Some((key, value)) = growth.next() {
            let _ = ahead.merge_document(&value, NOW_MS + hour * HOUR_MS);
            growth.written(&key);
        }
    }
    ahead
}

/// Bytes of what is written, processor time of counting it, taking it and looking ahead.
pub fn times(effort: Effort) -> Vec<Row> {
    let wanted = effort.sizes(&[1_000, 10_000, 50_000, 150_000], &[500, 1_000, 2_000, 5_000]);
    let shards = effort.sizes(&[100, 1_000, 5_000, 10_000], &[50, 100, 200, 400]);
    let document = effort.points(wanted, |n| bucket(n, 1).current().map_or(0.0, |d| d.1.len() as f64));
    let count = effort.points(wanted, |n| {
        let mut growth = bucket(0, 1);
        let mut watch = Stopwatch::new();
        watch.time(|| (0..n as u64).for_each(|k| growth.record(scatter(k), 0, 180.0, true, false)));
        watch.us() / n as f64
    });
    let written = effort.points(wanted, |n| {
        let (growth, mut watch) = (bucket(n, 1), Stopwatch::new());
        watch.time(|| growth.current());
        watch.us()
    });
    let taken = effort.points(wanted, |n| {
        let document = bucket(n, 1).current().map(|d| d.1).unwrap_or_default();
        let (mut ahead, mut watch) = (GrowthPlanner::new(Settings::default(), "z"), Stopwatch::new());
        let _ = watch.time(|| ahead.merge_document(&document, NOW_MS));
        watch.us()
    });
    let look = effort.points(shards, |n| {
        let (mut ahead, mut watch) = (ahead(if effort.quick { 10 } else { 100 }, 2_000), Stopwatch::new());
        let place = |n: usize| EndpointCapacity {
            id: format!("s-{n:08x}").as_str().into(),
            weight: 1.0,
            accepts_requests: true,
            in_slow_start: false,
            spare_kb_s: 50_000.0,
        };
        let places: Vec<EndpointCapacity> = (0..4).map(place).collect();
        let map = map(n, 1);
        let begun = ahead.begin(&map, &places, &[], 1e6, &Work::default(), None);
        while begun.is_ok() && !ahead.is_idle() {
            watch.time(|| ahead.step(NOW_MS + 100 * HOUR_MS));
        }
        watch.us()
    });
    let longest = effort.points(shards, |n| {
        let (mut ahead, mut watch) = (ahead(if effort.quick { 10 } else { 100 }, 2_000), Stopwatch::new());
        let map = map(n, 1);
        let begun = ahead.begin(&map, &[], &[], 1e6, &Work::default(), None);
        while begun.is_ok() && !ahead.is_idle() {
            watch.time(|| ahead.step(NOW_MS + 100 * HOUR_MS));
        }
        watch.us_longest()
    });
    let counter = |name: &str, quantity, points: &[(f64, f64)]| {
        Row::new(Role::GrowthCounter, name, quantity, Per::Wanted, WANTED, points, COUNTER)
    };
    let planner = |name: &str, quantity, points: &[(f64, f64)]| {
        Row::new(Role::GrowthPlanner, name, quantity, Per::Shard, SHARDS, points, PLANNER)
    };
    let of_all = INSTANCES / SAVED;
    vec![
        counter(
            "the open bucket, which each doorman writes each minute and each reads of all",
            Quantity::Bytes,
            &document,
        )
        .counts(Sum::InstanceBytes, of_all, of_all)
        .counts(Sum::ControlBytes, of_all * INSTANCES, of_all * INSTANCES)
        .limit(TRAFFIC * SAVED),
        counter("one object counted", Quantity::CpuEach, &count).counts(
            Sum::InstanceCpu,
            REQUESTS_EACH * NEW,
            REQUESTS_EACH * NEW,
        ),
        counter("the open bucket made ready to be written", Quantity::CpuEach, &written).counts(
            Sum::InstanceCpu,
            1.0 / SAVED,
            1.0 / SAVED,
        ),
        counter("another doorman's bucket taken", Quantity::CpuEach, &taken).counts(
            Sum::InstanceCpu,
            of_all,
            of_all,
        ),
        planner("a look ahead for one zone, the leading doorman, each minute", Quantity::CpuEach, &look)
            .counts(Sum::InstanceCpu, 0.0, SITES / SAVED),
        planner("the longest slice of it", Quantity::CpuStep, &longest).limit(HOLD),
    ]
}

/// Bytes of the counter, and of what every instance keeps of each zone.
pub fn heaps(effort: Effort) -> Vec<Row> {
    let wanted = effort.sizes(&[1_000, 10_000, 50_000, 150_000], &[500, 1_000, 2_000, 5_000]);
    let counter = effort.points(wanted, |n| heap(|| bucket(n, 1)));
    let zones = effort.sizes(&[2, 5, 10, 20], &[1, 2, 3, 4]);
    let empty = effort.points(zones, |n| {
        heap(|| (0..n).map(|z| GrowthPlanner::new(Settings::default(), &z.to_string())).collect::<Vec<_>>())
    });
    let buckets = effort.sizes(&[10, 50, 100, 300], &[2, 4, 6, 8]);
    let kept = effort.points(buckets, |n| heap(|| ahead(n as u64, 10_000)));
    let of = |name: &str, per, target: f64, points: &[(f64, f64)]| {
        Row::new(Role::GrowthPlanner, name, Quantity::Heap, per, target, points, PLANNER)
    };
    vec![
        Row::new(
            Role::GrowthCounter,
            "the open bucket",
            Quantity::Heap,
            Per::Wanted,
            WANTED,
            &counter,
            COUNTER,
        )
        .counts(Sum::InstanceMemory, 1.0, 1.0),
        of("what is known of each zone, before anything is", Per::Site, SITES, &empty).counts(
            Sum::InstanceMemory,
            1.0,
            1.0,
        ),
        of("one zone's history, buckets of 10,000 new objects each", Per::Bucket, 1_008.0, &kept),
    ]
}
