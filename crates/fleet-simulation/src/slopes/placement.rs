//! A planner of shards: one zone's, of which the one instance that leads has one for each zone.

use super::cost::{heap, Stopwatch};
use super::documents::map;
use super::Effort;
use crate::capacity::target::{Sum, SHARDS, SITES};
use crate::capacity::{Per, Quantity, Role, Row};
use larchdale::placement::load::MeasuredShard;
use larchdale::placement::map::ShardMap;
use larchdale::placement::planner::{Planner, PlannerInput, TransactionResult};
use larchdale::placement::quiet::{Calendar, Window};
use larchdale::placement::rebalance::{rebalance, EndpointCapacity, MoveLimits, ShardLoad};
use larchdale::placement::Settings;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const MECHANISM: &str = "src/placement/planner.rs, Planner; src/placement/rebalance.rs";
const ZONE: u16 = 3;
const BOXES: usize = 4;
const S: u64 = 1_000_000;
/// The loop must not be held up for longer by one step, in microseconds.
const HOLD: f64 = 50_000.0;
/// Unix milliseconds.
const NOW_MS: u64 = 1_800_000_000_000;

/// A zone whose first box has twice the part that it should have.
struct Zone {
    map: ShardMap,
    boxes: Vec<EndpointCapacity>,
    loads: Vec<MeasuredShard>,
}

impl Zone {
    fn new(shards: usize) -> Zone {
        let mut rng = Pcg32::seed_from_u64(23);
        let place = |n: usize| EndpointCapacity {
            id: format!("s-{n:08x}").as_str().into(),
            weight: 1.0,
            accepts_requests: true,
            in_slow_start: false,
            spare_kb_s: 50_000.0,
        };
        let boxes: Vec<EndpointCapacity> = (0..BOXES).map(place).collect();
        let mut map = map(shards, 1);
        let mut loads = Vec::new();
        for (n, shard) in map.shards.iter_mut().enumerate() {
            if n % (2 * BOXES) == 1 {
                shard.home = Some(boxes[0].id.clone());
            }
            let kb = 10f64.powf(rng.random_range(2.0..4.0));
            loads.push(MeasuredShard { start: shard.start, load: kb * rng.random_range(0.5..2.0), kb });
        }
        Zone { map, boxes, loads }
    }

    fn loads(&self) -> Vec<ShardLoad> {
        let home = |n: usize| self.boxes.iter().position(|b| Some(&b.id) == self.map.shards[n].home.as_ref());
        let load = |(n, l): (usize, &MeasuredShard)| ShardLoad {
            home: home(n),
            load: l.load,
            kb: l.kb,
            rests: false,
        };
        self.loads.iter().enumerate().map(load).collect()
    }

    /// So many steps of a planner in an open window, whose transactions are committed at once.
    fn steps(&self, steps: u64) -> (Stopwatch, Planner) {
        let mut planner = Planner::new(ZONE, "");
        let mut settings = Settings::new(Vec::new(), "/");
        (settings.moves, settings.move_kb) = (1_000, 1e9);
        let moment = |ms: u64| jiff::Timestamp::from_millisecond(ms as i64).unwrap_or_default();
        let mut calendar = Calendar::default();
        let window = Window::Once(moment(NOW_MS), moment(NOW_MS + 6 * 3_600_000));
        calendar.quiet.push(("z".to_owned(), window));
        let (mut documents, mut revision, mut watch) =
            ([Some(self.map.encode()), None], 1i64, Stopwatch::new());
        let mut epoch = self.map.epoch;
        for second in 0..steps {
            let mut notices = Vec::new();
            let instances = [Some(epoch)];
            let view = PlannerInput {
                settings: &settings,
                calendar: &calendar,
                zone: "z",
                now: second * S,
                unix_ms: NOW_MS + second * 1_000,
                skew_ms: 0,
                fence: Some(1),
                sites: &[],
                instances: &instances,
                max_instances: 1,
                local_map: None,
                link_kb_s: 1e6,
                endpoints: &self.boxes,
                loads: &self.loads,
                requested_changes: None,
            };
            let write = watch.time(|| {
                if planner.needs_documents() {
                    let read = |n: usize| documents[n].as_deref().map(|d: &[u8]| (d, revision));
                    planner.update_documents(read(0), read(1), &mut notices);
                }
                planner.step(&view, &mut notices)
            });
            let Some(write) = write else { continue };
            revision += 1;
            for (n, (_, value)) in write.puts.iter().rev().enumerate() {
                // The map stands last where there is one; the plan of moves first.
                if let Ok(map) = ShardMap::decode(value, ZONE) {
                    epoch = map.epoch;
                    documents[0] = Some(value.clone());
                } else if n + 1 == write.puts.len() {
                    documents[1] = Some(value.clone());
                }
            }
            watch.time(|| planner.handle_result(write.id, TransactionResult::Committed(revision)));
        }
        (watch, planner)
    }
}

fn sizes(effort: Effort) -> &'static [usize] {
    effort.sizes(&[100, 1_000, 5_000, 10_000], &[50, 100, 200, 400])
}

/// Processor time of planning a night, and of a second of it.
pub fn times(effort: Effort) -> Vec<Row> {
    let row = |name: &str, quantity, points: &[(f64, f64)]| {
        Row::new(Role::ShardPlanner, name, quantity, Per::Shard, SHARDS, points, MECHANISM)
    };
    let limits = MoveLimits { spread: 0.15, moves: 1_000, kb: 1e9 };
    let plan = effort.points(sizes(effort), |n| {
        let (zone, mut watch) = (Zone::new(n), Stopwatch::new());
        let loads = zone.loads();
        watch.time(|| rebalance(&loads, &zone.boxes, &limits));
        watch.us()
    });
    let steps = if effort.quick { 20 } else { 60 };
    let second = effort.points(sizes(effort), |n| {
        let zone = Zone::new(n);
        let (watch, _) = zone.steps(steps);
        (watch.us() - watch.us_longest()) / (steps - 1) as f64
    });
    vec![
        row("a night's moves of one zone planned, which holds up the loop", Quantity::CpuStep, &plan)
            .limit(HOLD),
        row("a second of one zone's moves after that, the leading doorman", Quantity::CpuRate, &second)
            .counts(Sum::InstanceCpu, 0.0, SITES),
    ]
}

/// Bytes of one zone's planner.
pub fn heaps(effort: Effort) -> Vec<Row> {
    let points = effort.points(sizes(effort), |n| {
        let zone = Zone::new(n);
        heap(|| zone.steps(3).1)
    });
    let name = "one zone's planner, the leading doorman";
    let row = Row::new(Role::ShardPlanner, name, Quantity::Heap, Per::Shard, SHARDS, &points, MECHANISM);
    vec![row.counts(Sum::InstanceMemory, 0.0, SITES)]
}
