//! Moves of shards, measured: aim beside figure, status not 0 where an aim is missed.
//!
//! Kilobytes moved against the least possible, by trying everything in small cases; planning and a whole night of moves
//! at 10,000 shards and 200 boxes; and the hit share of a branch before, while and after its shards move, with six real
//! instances. All but the last is seeded, and the same each time but for the times.

use fault_injection::Schedule;
use larchdale::placement::load::MeasuredShard;
use larchdale::placement::map::ShardMap;
use larchdale::placement::moves::Moves;
use larchdale::placement::planner::{map_key, moves_key, Notice, Planner, PlannerInput, TransactionResult};
use larchdale::placement::quiet::{Calendar, Window};
use larchdale::placement::rebalance::{rebalance, EndpointCapacity, MoveLimits, ShardLoad};
use larchdale::placement::Settings;
use larchdale::routing::events::Id;
use larchdale_test_support::registry::server::Registry;
use larchdale_test_support::world::records::End;
use larchdale_test_support::world::servers::{Class, Kind};
use larchdale_test_support::world::{checker, gather, Fleet, Plan, UNSAFE};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::error::Error;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime};

const SHARDS: usize = 10_000;
const BOXES: usize = 200;
const SPREAD: f64 = 0.15;
/// What is brought back within the spread keeps a quarter of it as room.
const ROOM: f64 = 0.25;
/// Seconds from the start of the fleet at which its window opens and closes, and its clients end.
const NIGHT: [f64; 3] = [20.0, 60.0, 70.0];
const ZONE: usize = 2;

struct Table {
    missed: usize,
}

impl Table {
    fn row(&mut self, what: &str, aim: Option<(f64, bool)>, figure: f64) {
        let kept = aim.is_none_or(|(a, most)| if most { figure <= a } else { figure >= a });
        self.missed += usize::from(!kept);
        let told = aim.map_or("-".to_owned(), |(a, most)| format!("{} {a}", if most { "<=" } else { ">=" }));
        println!("{what:<66} {told:>10} {figure:>12.3}{}", if kept { "" } else { "  MISSED" });
    }

    fn most(&mut self, what: &str, aim: f64, figure: f64) {
        self.row(what, Some((aim, true)), figure);
    }

    fn least(&mut self, what: &str, aim: f64, figure: f64) {
        self.row(what, Some((aim, false)), figure);
    }
}

fn place(name: String, weight: f64, spare_kb_s: f64) -> EndpointCapacity {
    EndpointCapacity {
        id: name.as_str().into(),
        weight,
        accepts_requests: true,
        in_slow_start: false,
        spare_kb_s,
    }
}

/// How full the fullest box is, by load or kilobytes, against its part of all; each shard is at its place.
fn fullest(shards: &[ShardLoad], at: &[usize], places: &[EndpointCapacity]) -> f64 {
    let weights: f64 = places.iter().map(|p| p.weight).sum();
    let fullest = |of: fn(&ShardLoad) -> f64| {
        let all: f64 = shards.iter().map(of).sum();
        let mut held = vec![0.0; places.len()];
        shards.iter().zip(at).for_each(|(s, &p)| held[p] += of(s));
        let full = held.iter().zip(places).map(|(h, p)| h / all * weights / p.weight);
        full.fold(0.0, f64::max)
    };
    fullest(|s| s.load).max(fullest(|s| s.kb))
}

/// The fewest kilobytes that bring all within, by trying everything.
fn least(shards: &[ShardLoad], from: &[usize], places: &[EndpointCapacity], within: f64) -> Option<f64> {
    let mut least = None::<f64>;
    for mut code in 0..places.len().pow(shards.len() as u32) {
        let mut at = Vec::with_capacity(shards.len());
        for _ in shards {
            at.push(code % places.len());
            code /= places.len();
        }
        let kb = shards.iter().zip(from.iter().zip(&at)).filter(|m| m.1 .0 != m.1 .1).map(|m| m.0.kb).sum();
        if least.is_none_or(|l| kb < l) && fullest(shards, &at, places) <= within + 1e-9 {
            least = Some(kb);
        }
    }
    least
}

fn small_cases(table: &mut Table) {
    let mut rng = Pcg32::seed_from_u64(17);
    let limits = MoveLimits { spread: 0.3, moves: 100, kb: 1e18 };
    let within = 1.0 + limits.spread * (1.0 - ROOM);
    let (mut can, mut done, mut ours, mut best, mut worst) = (0u32, 0u32, 0.0, 0.0, 0f64);
    for _ in 0..600 {
        let box_of = |n: usize, rng: &mut Pcg32| place(format!("b{n}"), rng.random_range(1..3) as f64, 1.0);
        let places: Vec<EndpointCapacity> = (0..3).map(|n| box_of(n, &mut rng)).collect();
        let mut shard = || {
            let kb = rng.random_range(5..40) as f64;
            let load = kb * rng.random_range(0.7..1.4);
            ShardLoad { home: Some(rng.random_range(0..3)), load, kb, rests: false }
        };
        let shards: Vec<ShardLoad> = (0..8).map(|_| shard()).collect();
        let from: Vec<usize> = shards.iter().filter_map(|s| s.home).collect();
        let picks = rebalance(&shards, &places, &limits);
        let Some(least) =
            Some(&picks).filter(|p| !p.is_empty()).and_then(|_| least(&shards, &from, &places, within))
        else {
            continue;
        };
        can += 1;
        let mut at = from.clone();
        picks.iter().for_each(|p| at[p.shard] = p.to);
        if fullest(&shards, &at, &places) <= within + 1e-9 {
            let kb: f64 = picks.iter().map(|p| p.kb).sum();
            (done, ours, best, worst) = (done + 1, ours + kb, best + least, worst.max(kb / least));
        }
    }
    table.row("small cases that can be brought within the spread", None, f64::from(can));
    table.least("of them brought within, of 100", 95.0, 100.0 * f64::from(done) / f64::from(can.max(1)));
    table.most("kilobytes moved over the least possible, in sum", 1.05, ours / best);
    table.most("kilobytes moved over the least possible, worst", 2.0, worst);
}

/// A whole night of one planner whose transactions are all committed at once, in steps of one second.
fn large_night(table: &mut Table) -> Result<(), Box<dyn Error>> {
    let mut rng = Pcg32::seed_from_u64(23);
    let boxes: Vec<EndpointCapacity> =
        (0..BOXES).map(|n| place(format!("box-{n:03}"), rng.random_range(1..5) as f64, 50_000.0)).collect();
    let weights: f64 = boxes.iter().map(|b| b.weight).sum();
    let mut map = ShardMap::first(0, 1, SHARDS);
    let mut loads = Vec::with_capacity(SHARDS);
    // Homes by weight; then every tenth box has drawn half of what the next one had.
    for shard in &mut map.shards {
        let mut at = rng.random::<f64>() * weights;
        let chosen = boxes.iter().position(|b| {
            at -= b.weight;
            at < 0.0
        });
        let mut chosen = chosen.unwrap_or(0);
        if chosen % 10 == 1 && rng.random_bool(0.5) {
            chosen -= 1;
        }
        shard.home = Some(boxes[chosen].id.clone());
        let kb = 10f64.powf(rng.random_range(2.0..4.0));
        loads.push(MeasuredShard { start: shard.start, load: kb * rng.random_range(0.5..2.0), kb });
    }
    let of = |map: &ShardMap| {
        let home = |id: &Option<Id>| boxes.iter().position(|b| Some(&b.id) == id.as_ref()).unwrap_or(0);
        let at: Vec<usize> = map.shards.iter().map(|s| home(&s.home)).collect();
        let all: Vec<ShardLoad> =
            loads.iter().map(|l| ShardLoad { home: None, load: l.load, kb: l.kb, rests: false }).collect();
        fullest(&all, &at, &boxes)
    };
    let before = of(&map);
    let mut settings = Settings::new(Vec::new(), "/");
    (settings.spread, settings.moves, settings.move_kb) = (SPREAD, 1_000, 1e9);
    let (begins, ends) = (1_800_000_000_000u64, 1_800_000_000_000u64 + 6 * 3_600_000);
    let moment = |ms: u64| jiff::Timestamp::from_millisecond(ms as i64);
    let mut calendar = Calendar::default();
    calendar.quiet.push(("z".to_owned(), Window::Once(moment(begins)?, moment(ends)?)));
    let mut planner = Planner::new(0, "");
    let (mut documents, mut revision) = ([Some(map.encode()), None::<Vec<u8>>], 1i64);
    let (mut longest, mut planning, mut kb, mut moved) = (Duration::ZERO, Duration::ZERO, 0, 0);
    for second in 0..6 * 3_600u64 {
        let mut notices = Vec::new();
        if planner.needs_documents() {
            let read = |n: usize| documents[n].as_deref().map(|d| (d, revision));
            planner.update_documents(read(0), read(1), &mut notices);
        }
        let instances = [Some(map.epoch)];
        let view = PlannerInput {
            settings: &settings,
            calendar: &calendar,
            zone: "z",
            now: second * 1_000_000,
            unix_ms: begins + second * 1_000,
            skew_ms: 0,
            fence: Some(1),
            sites: &[],
            instances: &instances,
            max_instances: 1,
            local_map: None,
            link_kb_s: 1e6,
            endpoints: &boxes,
            loads: &loads,
            requested_changes: None,
        };
        let began = Instant::now();
        let write = planner.step(&view, &mut notices);
        let took = began.elapsed();
        longest = longest.max(took);
        for notice in notices {
            match notice {
                Notice::Planned(..) => planning = planning.max(took),
                Notice::Completed(_) => moved += 1,
                _ => {}
            }
        }
        if let Some(write) = write {
            revision += 1;
            for (key, value) in write.puts {
                if key == map_key("", 0) {
                    map = ShardMap::decode(&value, 0)?;
                    documents[0] = Some(value);
                } else if key == moves_key("", 0) {
                    kb = Moves::decode(&value)?.begun_kb;
                    documents[1] = Some(value);
                }
            }
            planner.handle_result(write.id, TransactionResult::Committed(revision));
        }
    }
    let all: f64 = loads.iter().map(|l| l.kb).sum();
    table.row("10,000 shards, 200 boxes: fullest box over its part, before", None, before);
    table.most("after a night of moves", 1.0 + SPREAD, of(&map));
    table.row("moves of that night", None, f64::from(moved));
    table.row("moved, of 100 kilobytes", None, 100.0 * kb as f64 / all);
    table.most("planning them, s", 1.0, planning.as_secs_f64());
    table.most("the longest step of the planner, ms", 1_000.0, longest.as_secs_f64() * 1e3);
    Ok(())
}

/// The hit share of a branch whose shards are all at one of two boxes, and move.
fn real_night(table: &mut Table, program: &str) -> Result<(), Box<dyn Error>> {
    let (zero, unix) = (Instant::now(), SystemTime::now());
    let registry = Registry::start(1)?;
    let plan = Plan { keeps: 4_000, ..Plan::default() };
    let servers = plan.servers()?;
    let home = servers.of(ZONE, Kind::Box)[0];
    let mut map = ShardMap::first(ZONE as u16, 1, 12);
    map.shards.iter_mut().for_each(|s| s.home = Some(servers.specs[home].id.as_str().into()));
    registry.with(|s| s.put(format!("/f/map/{ZONE}").as_bytes(), &map.encode(), 0));
    let keys: Vec<_> = plan.figures.classes.iter().flat_map(Class::keys).collect();
    servers.hold(home, &keys);
    let addresses = servers.addresses.clone();
    let way = |_: usize, server: usize| addresses[server];
    let mut fleet = Fleet::new(program, "measure-shards", plan, servers, &Schedule::default(), way)?;
    let moment = |s: f64| jiff::Timestamp::try_from(unix + Duration::from_secs_f64(s)).map(|t| t.to_string());
    fleet.instances.script = format!(
        "shards(endpoints = [\"{}\"], prefix = \"/f/\", first = 12, lease_ms = 2000, spread_percent = 5, moves = 20)\n\
         growth(bucket_ms = 2000, box_mb = 10000)\n\
         quiet(zone = \"edge-1\", starts = \"{}\", ends = \"{}\")\n",
        registry.addresses[0],
        moment(NIGHT[0])?,
        moment(NIGHT[1])?
    );
    fleet.warm_parents();
    fleet.instances.start_all()?;
    fleet.instances.see([6, 0, 0, 0], Duration::from_secs(30)).ok_or("doormans do not see each other")?;
    let span = Duration::from_secs_f64(NIGHT[2]).saturating_sub(zero.elapsed());
    let requests = gather(fleet.load(25.0, 1, span)?);
    let since = |at: Instant| at.saturating_duration_since(fleet.servers.began).as_micros() as u64;
    let key = format!("/f/map/{ZONE}").into_bytes();
    let began = registry.began();
    let changes: Vec<u64> = registry.with(|s| {
        let of = s.history().iter().skip(1).filter(|c| c.key == key);
        of.map(|c| since(began + Duration::from_micros(c.at))).collect()
    });
    let (first, last) = changes.first().zip(changes.last()).ok_or("nothing was moved")?;
    let notes = fleet.servers.notes();
    let boxes = fleet.servers.of(ZONE, Kind::Box);
    let ordinary = || {
        let here = |a: &&larchdale_test_support::world::records::Arrival| {
            boxes.contains(&a.server) && a.from.is_none() && a.class != UNSAFE
        };
        notes.arrivals.iter().filter(here)
    };
    let hits = |from: u64, to: u64| {
        let within = || ordinary().filter(|a| (from..to).contains(&a.at));
        within().filter(|a| a.end == End::Hit).count() as f64 / within().count().max(1) as f64
    };
    let fuller = |from: u64, to: u64| {
        let work = |b: &usize| -> f64 {
            ordinary().filter(|a| a.server == *b && (from..to).contains(&a.at)).map(|a| a.work).sum()
        };
        let work: Vec<f64> = boxes.iter().map(work).collect();
        work.iter().copied().fold(0.0, f64::max) * work.len() as f64 / work.iter().sum::<f64>().max(1.0)
    };
    let begun = first.saturating_sub(8_000_000);
    let (before, during, after) =
        (hits(begun, *first), hits(*first, *last), hits(*last + 1_000_000, u64::MAX));
    table.row("six doormans: changes of the map in the night", None, changes.len() as f64);
    table.row("fuller box over the mean, before", None, fuller(0, *first));
    table.most("fuller box over the mean, after", 1.3, fuller(*last + 1_000_000, u64::MAX));
    table.row("hit share before", None, before);
    table.least("hit share during the night of moves, against before", 0.85, during / before);
    table.least("hit share after it, against before", 0.9, after / before);
    table.most("requests without exactly one answer", 0.0, checker::unanswered(&requests, &[]).len() as f64);
    Ok(())
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let program = std::env::args().nth(1).ok_or("usage: measure-shards DOORMAN")?;
    println!("{:<66} {:>10} {:>12}", "what", "aim", "measured");
    let mut table = Table { missed: 0 };
    small_cases(&mut table);
    large_night(&mut table)?;
    real_night(&mut table, &program)?;
    Ok(if table.missed > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}
