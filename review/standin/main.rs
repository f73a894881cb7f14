//! Stand-ins and checks of the review's cases. Each `run.sh` names its case; see the `claim.txt` beside it.
//!
//! Usage: `review-standin CASE RUN_COMMAND RECORD_FILE`, with `TROUBLE=0` in the environment for a run without the
//! disruption. Status 0: the rule held, 1: it was broken, 2: the case could not run.

mod channel;
mod client;
mod endpoint;
mod record;
mod router;

use client::{Outcome, Plan};
use record::Record;
use channel::{Channel, Listed, State};
use endpoint::{Endpoint, Nature, Run, Runs};
use router::{Router, Setup};
use std::collections::{HashMap, HashSet};
use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

const EXIT_HELD: u8 = 0;
const EXIT_BROKEN: u8 = 1;
const EXIT_NOT_RUN: u8 = 2;
/// The largest object of the protocol page.
const OBJECT_BYTES: usize = 240_000;
const CLIENT_TIME_LIMIT: Duration = Duration::from_secs(60);
/// Rate of a slow reader; the page's limit is 1 MB a second at most.
const SLOW_READ_BYTES_PER_S: u64 = 500_000;
const SMALL_OBJECT_BYTES: usize = 2_000;
/// Time that an endpoint works on a keyed request.
const KEYED_WORK: Duration = Duration::from_millis(3_000);
const DRAIN_AFTER: Duration = Duration::from_millis(500);
const RESET_AFTER_DRAIN: Duration = Duration::from_millis(1_000);
const USUAL_MEMORY_MB: usize = 192;
/// A long class deadline, so that every answer could be read to its end within the client's patience.
const LONG_DEADLINE_MS: u64 = 9_000;

/// Inputs of a case.
struct Case {
    run: String,
    record: Record,
    has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, run, record] = &arguments[..] else {
        eprintln!("usage: review-standin CASE RUN_COMMAND RECORD_FILE");
        return EXIT_NOT_RUN.into();
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = Record::create(record).and_then(|record| {
        let case = Case { run: run.clone(), record, has_trouble };
        play(name, &case)
    });
    match played {
        Ok(true) => EXIT_HELD.into(),
        Ok(false) => EXIT_BROKEN.into(),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            EXIT_NOT_RUN.into()
        }
    }
}

fn play(name: &str, case: &Case) -> io::Result<bool> {
    match name {
        "keyed-repeat" => keyed_repeat(case),
        "slow-readers-memory" => slow_readers_memory(case),
        "slow-reader-idle" => slow_reader_idle(case),
        _ => Err(io::Error::other("unknown case")),
    }
}

/// The parties of a small deployment.
struct World {
    /// The caches of the router's branch.
    caches: Vec<Endpoint>,
    listed_caches: Vec<Listed>,
    channel: Channel,
    runs: Runs,
    router: Router,
}

const HUB: u8 = 0;
const BRANCH: u8 = 1;
const CACHE: u8 = 0;
const PARENT: u8 = 1;
const ORIGIN: u8 = 2;
const OTHER_BRANCH: u8 = 2;
const CACHE_NAMES: [&str; 3] = ["cache-1", "cache-2", "cache-3"];
/// The caches of the other branch, which has routers of its own; ten for a fleet of its usual size.
const OTHER_CACHES: u32 = 10;

impl Case {
    /// Starts three caches in the branch, ten in another one, a parent and the origin in the hub, the command channel
    /// and one router of the branch.
    fn start(&self, memory_mb: usize, classes: String, object_size: usize, work: Duration) -> io::Result<World> {
        let (runs, channel) = (Runs::default(), Channel::start(&self.record)?);
        let start = |name| Endpoint::start(Nature { name, object_size, work }, &runs, &self.record);
        let caches = CACHE_NAMES.into_iter().map(start).collect::<io::Result<Vec<_>>>()?;
        let list = |(id, cache): (u32, &Endpoint)| Listed { id, address: cache.address, zone: BRANCH, kind: CACHE };
        let listed_caches: Vec<Listed> = (1u32..).zip(&caches).map(list).collect();
        let mut listed = listed_caches.clone();
        for id in 0x11..0x11 + OTHER_CACHES {
            let address = start("cache-of-other-branch")?.address;
            listed.push(Listed { id, address, zone: OTHER_BRANCH, kind: CACHE });
        }
        listed.push(Listed { id: 0x100, address: start("parent")?.address, zone: HUB, kind: PARENT });
        listed.push(Listed { id: 0x200, address: start("origin")?.address, zone: HUB, kind: ORIGIN });
        let setup = Setup { listed, channel: channel.address, memory_mb, classes };
        let router = Router::start(&self.run, &setup, &self.record)?;
        Ok(World { caches, listed_caches, channel, runs, router })
    }

    fn start_for_slow_readers(&self, memory_mb: usize) -> io::Result<World> {
        let classes = [
            router::class("clip-parts", LONG_DEADLINE_MS, "idempotent", "all", 5_000),
            router::class("record-edits", 3_000, "deduplicated", "all", 6_000),
        ];
        self.start(memory_mb, classes.join(","), OBJECT_BYTES, Duration::ZERO)
    }

    /// Says what became of the requests; returns whether the rule held.
    fn judge(&self, outcome: &Outcome) -> bool {
        let held = !outcome.breaks_rule();
        self.record.say(&format!("{outcome:?}: rule on lost requests {}", if held { "held" } else { "BROKEN" }));
        held
    }
}

fn play_all(plans: &[Plan], record: &Record) -> Outcome {
    let mut total = Outcome::default();
    thread::scope(|scope| {
        let running: Vec<_> = plans.iter().map(|plan| scope.spawn(|| client::play(plan, record))).collect();
        for client in running {
            total.add(client.join().unwrap_or_default());
        }
    });
    total
}

/// One client reads slowly; after its first answers it sends further requests while it still reads the others.
fn slow_reader_idle(case: &Case) -> io::Result<bool> {
    let World { router, .. } = case.start_for_slow_readers(USUAL_MEMORY_MB)?;
    let plan = Plan {
        name: "c1".to_owned(),
        address: router.address,
        batches: vec![16, 8],
        refill_at: 3,
        read_rate: case.has_trouble.then_some(SLOW_READ_BYTES_PER_S),
        object_size: OBJECT_BYTES,
        class: "clip-parts",
        is_keyed: false,
        patience_ms: LONG_DEADLINE_MS,
        time_limit: CLIENT_TIME_LIMIT,
    };
    Ok(case.judge(&play_all(&[plan], &case.record)))
}

fn env_or(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(usual)
}

fn slow_readers_memory(case: &Case) -> io::Result<bool> {
    let World { router, .. } = case.start_for_slow_readers(env_or("MEM", 32) as usize)?;
    let plan = |number: u64| Plan {
        name: format!("c{number}"),
        address: router.address,
        batches: vec![env_or("BATCH", 32) as usize; env_or("BATCHES", 1) as usize],
        refill_at: env_or("REFILL", 0) as usize,
        read_rate: case.has_trouble.then(|| env_or("RATE", 1_000_000)),
        object_size: OBJECT_BYTES,
        class: "clip-parts",
        is_keyed: false,
        patience_ms: LONG_DEADLINE_MS,
        time_limit: CLIENT_TIME_LIMIT,
    };
    let plans: Vec<Plan> = (1..=env_or("CLIENTS", 4)).map(plan).collect();
    let outcome = play_all(&plans, &case.record);
    case.record.say(&format!("memory: {}", router.peak_memory()));
    Ok(case.judge(&outcome))
}

/// Keyed requests are out at the branch's caches, which begin to drain; then their connections are reset.
fn keyed_repeat(case: &Case) -> io::Result<bool> {
    let classes = [
        router::class("images", 6_000, "deduplicated", "zone", 6_000),
        router::class("record-edits", 3_000, "deduplicated", "all", 6_000),
    ];
    let World { caches, listed_caches, channel, runs, router } =
        case.start(USUAL_MEMORY_MB, classes.join(","), SMALL_OBJECT_BYTES, KEYED_WORK)?;
    let plan = Plan {
        name: "c1".to_owned(),
        address: router.address,
        batches: vec![6],
        refill_at: 0,
        read_rate: None,
        object_size: SMALL_OBJECT_BYTES,
        class: "images",
        is_keyed: true,
        patience_ms: 6_000,
        time_limit: CLIENT_TIME_LIMIT,
    };
    let outcome = thread::scope(|scope| {
        let client = scope.spawn(|| client::play(&plan, &case.record));
        if case.has_trouble {
            thread::sleep(DRAIN_AFTER);
            channel.tell(&listed_caches, State::Draining);
            thread::sleep(RESET_AFTER_DRAIN);
            caches.iter().for_each(Endpoint::reset_connections);
        }
        client.join().unwrap_or_default()
    });
    let ran_twice = ran_in_two_zones(&runs, &case.record);
    case.record.say(&format!("{ran_twice} of {} keyed requests ran in two zones", outcome.sent));
    Ok(case.judge(&outcome) && ran_twice == 0)
}

/// Counts the requests that ran at endpoints of two zones, which do not know each other's keys.
fn ran_in_two_zones(runs: &Runs, record: &Record) -> usize {
    let zone = |run: &Run| if CACHE_NAMES.contains(&run.endpoint) { "branch" } else { "another zone" };
    let mut first_runs: HashMap<String, Run> = HashMap::new();
    let mut repeated = HashSet::new();
    for run in runs.all() {
        let first = first_runs.entry(run.id.clone()).or_insert_with(|| run.clone());
        if zone(first) != zone(&run) {
            let (id, at, then) = (&run.id, first.endpoint, run.endpoint);
            record.say(&format!("{id}: RAN TWICE, at {at} in the branch's zone and at {then} in another"));
            repeated.insert(run.id.clone());
        }
    }
    repeated.len()
}
