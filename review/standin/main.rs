//! Stand-ins and checks of the review's cases. Each `run.sh` names its case; see the `claim.txt` beside it.
//!
//! Usage: `review-standin CASE RUN_COMMAND RECORD_FILE`, with `TROUBLE=0` in the environment for a run without the
//! disruption. Status 0: the rule held, 1: it was broken, 2: the case could not run.

mod channel;
mod client;
mod endpoint;
mod record;
mod router;
mod taken_back;

use channel::{Channel, Events, Listed, State};
use client::{Outcome, Plan};
use endpoint::{Endpoint, Nature, Run, Runs};
use record::Record;
use router::{Class, Router, Setup};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

const EXIT_HELD: u8 = 0;
const EXIT_BROKEN: u8 = 1;
const EXIT_NOT_RUN: u8 = 2;
/// The largest object of the protocol page.
const OBJECT_BYTES: usize = 240_000;
/// A run may take 120 s.
const LONGEST_RUN: Duration = Duration::from_secs(110);
const CLIENT_TIME_LIMIT: Duration = Duration::from_secs(60);
/// Rate of a slow reader; the page's limit is 1 MB a second at most.
const SLOW_READ_BYTES_PER_S: u64 = 500_000;
const SMALL_OBJECT_BYTES: usize = 2_000;
/// Time that an endpoint works on a keyed request.
const KEYED_WORK: Duration = Duration::from_millis(3_000);
const DRAIN_AFTER: Duration = Duration::from_millis(500);
const RESET_AFTER_DRAIN: Duration = Duration::from_millis(1_000);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Times from the start at which the class is dropped and comes back.
const DROPPED_AFTER: Duration = Duration::from_secs(2);
const RETURNED_AFTER: Duration = Duration::from_secs(36);
const OBSERVED_AFTER: Duration = Duration::from_secs(9);
/// The page's time after SIGHUP from which clients name a new class.
const CLIENTS_LEARN_AFTER: Duration = Duration::from_millis(1_200);
/// The page's time after SIGHUP at which what the command channel has to tell counts as told.
const TOLD_AFTER_SIGHUP_MS: u64 = 4_000;
/// `rules.drain-grace-us`, and the 50 ms by which every limit is longer on sockets.
const DRAIN_GRACE_MS: u64 = 1_050;
const USUAL_MEMORY_MB: usize = 192;
const LEAST_MEMORY_MB: usize = 32;
const SLOW_READERS: u64 = 4;
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
    router::watch(LONGEST_RUN);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = Record::create(record).and_then(|record| {
        let case = Case { run: run.clone(), record, has_trouble };
        let held = play(name, &case)?;
        case.record.say(if held { "THE RULE HELD" } else { "THE RULE WAS BROKEN" });
        Ok(held)
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
        "class-returns" => class_returns(case),
        "slow-reader-idle" => slow_reader_idle(case),
        "slow-readers-memory" => slow_readers_memory(case),
        "taken-back" => taken_back(case),
        "taken-back-pause" => taken_back_pause(case),
        _ => Err(io::Error::other("unknown case")),
    }
}

/// The parties of a small deployment.
struct World {
    /// The caches of the router's branch.
    caches: Vec<Endpoint>,
    listed_caches: Vec<Listed>,
    events: Events,
    channel: Channel,
    runs: Runs,
    setup: Setup,
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

/// The classes of the site, as its file has them: a write has no `aim-stretch`.
const CLIPS: Class = Class {
    name: "clip-parts",
    deadline_ms: 6_000,
    stretch: Some(1.6),
    semantics: "idempotent",
    scope: "all",
    is_write: false,
};
const EDITS: Class = Class {
    name: "record-edits",
    deadline_ms: 3_000,
    stretch: None,
    semantics: "deduplicated",
    scope: "all",
    is_write: true,
};

impl Case {
    /// Starts three caches in the branch, ten in another one, a parent and the origin in the hub, the command channel
    /// and one router of the branch.
    fn start(
        &self,
        memory_mb: usize,
        classes: &[Class],
        object_size: usize,
        work: Duration,
    ) -> io::Result<World> {
        let (runs, events) = (Runs::default(), Events::default());
        let channel = Channel::start(&events)?;
        let start = |name| Endpoint::start(Nature { name, object_size, work }, &runs, &self.record);
        let caches = CACHE_NAMES.into_iter().map(start).collect::<io::Result<Vec<_>>>()?;
        let list =
            |(id, cache): (u32, &Endpoint)| Listed { id, address: cache.address, zone: BRANCH, kind: CACHE };
        let listed_caches: Vec<Listed> = (1u32..).zip(&caches).map(list).collect();
        let mut listed = listed_caches.clone();
        for id in 0x11..0x11 + OTHER_CACHES {
            let address = start("cache-of-other-branch")?.address;
            listed.push(Listed { id, address, zone: OTHER_BRANCH, kind: CACHE });
        }
        listed.push(Listed { id: 0x100, address: start("parent")?.address, zone: HUB, kind: PARENT });
        listed.push(Listed { id: 0x200, address: start("origin")?.address, zone: HUB, kind: ORIGIN });
        let setup = Setup { listed, channel: channel.address, memory_mb, classes: classes.to_vec() };
        let router = Router::start(&self.run, &setup, &self.record)?;
        Ok(World { caches, listed_caches, events, channel, runs, setup, router })
    }

    fn start_for_slow_readers(&self, memory_mb: usize) -> io::Result<World> {
        let clips = Class { deadline_ms: LONG_DEADLINE_MS, ..CLIPS };
        self.start(memory_mb, &[clips, EDITS], OBJECT_BYTES, Duration::ZERO)
    }

    /// Says what became of the requests; returns whether the rule held.
    fn judge(&self, outcome: &Outcome, router: &mut Router) -> bool {
        let held = !outcome.breaks_rule();
        self.record.say(&format!("{outcome:?}: {}", if held { "none lost" } else { "LOST" }));
        held && self.still_runs(router)
    }

    fn still_runs(&self, router: &mut Router) -> bool {
        let is_running = router.is_running();
        if !is_running {
            self.record.say("THE ROUTER HAS ENDED");
        }
        is_running
    }
}

fn slow_reader(number: u64, router: &Router, case: &Case, batches: Vec<usize>, refill_at: usize) -> Plan {
    Plan {
        name: format!("c{number}"),
        address: router.address,
        batches,
        refill_at,
        read_rate: case.has_trouble.then_some(SLOW_READ_BYTES_PER_S),
        object_size: OBJECT_BYTES,
        class: CLIPS.name,
        opener: None,
        is_keyed: false,
        patience_ms: LONG_DEADLINE_MS,
        time_limit: CLIENT_TIME_LIMIT,
    }
}

/// One client reads slowly; after its first answers it sends further requests while it still reads the others.
fn slow_reader_idle(case: &Case) -> io::Result<bool> {
    let World { mut router, .. } = case.start_for_slow_readers(USUAL_MEMORY_MB)?;
    let plan = slow_reader(1, &router, case, vec![16, 8], 3);
    let outcome = client::play(&plan, &case.record);
    Ok(case.judge(&outcome, &mut router))
}

/// Some clients read slowly, each with as many requests open as may be, from a router with the least memory. No case
/// of its own; the report says what it shows.
fn slow_readers_memory(case: &Case) -> io::Result<bool> {
    let World { mut router, .. } = case.start_for_slow_readers(LEAST_MEMORY_MB)?;
    let plans: Vec<Plan> =
        (1..=SLOW_READERS).map(|number| slow_reader(number, &router, case, vec![32], 0)).collect();
    let mut total = Outcome::default();
    thread::scope(|scope| {
        let running: Vec<_> =
            plans.iter().map(|plan| scope.spawn(|| client::play(plan, &case.record))).collect();
        for client in running {
            total.add(client.join().unwrap_or_default());
        }
    });
    Ok(case.judge(&total, &mut router))
}

/// Keyed requests are out at the branch's caches, which begin to drain; then their connections are reset.
fn keyed_repeat(case: &Case) -> io::Result<bool> {
    let images = Class { name: "images", semantics: "deduplicated", scope: "zone", ..CLIPS };
    let World { caches, listed_caches, events, runs, mut router, .. } =
        case.start(USUAL_MEMORY_MB, &[images, EDITS], SMALL_OBJECT_BYTES, KEYED_WORK)?;
    let plan = Plan {
        name: "c1".to_owned(),
        address: router.address,
        batches: vec![6],
        refill_at: 0,
        read_rate: None,
        object_size: SMALL_OBJECT_BYTES,
        class: "images",
        opener: None,
        is_keyed: true,
        patience_ms: 6_000,
        time_limit: CLIENT_TIME_LIMIT,
    };
    let outcome = thread::scope(|scope| {
        let client = scope.spawn(|| client::play(&plan, &case.record));
        if case.has_trouble {
            thread::sleep(DRAIN_AFTER);
            events.tell(&listed_caches, State::Draining, &case.record);
            thread::sleep(RESET_AFTER_DRAIN);
            caches.iter().for_each(Endpoint::reset_connections);
        }
        client.join().unwrap_or_default()
    });
    let ran_twice = ran_in_two_zones(&runs, &case.record);
    case.record.say(&format!("{ran_twice} of {} keyed requests ran in two zones", outcome.sent));
    Ok(case.judge(&outcome, &mut router) && ran_twice == 0)
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

/// Clients send one request after another from `from` until `until`, each on a connection of its own; an edit follows a
/// read on the same connection.
fn send_steadily(
    case: &Case,
    address: SocketAddr,
    class: &'static str,
    from: Instant,
    until: Instant,
) -> Outcome {
    thread::sleep(from.saturating_duration_since(Instant::now()));
    let mut total = Outcome::default();
    while Instant::now() < until {
        let plan = Plan {
            name: class.to_owned(),
            address,
            batches: vec![1],
            refill_at: 0,
            read_rate: None,
            object_size: SMALL_OBJECT_BYTES,
            class,
            opener: (class == EDITS.name).then_some(CLIPS.name),
            is_keyed: class == EDITS.name,
            patience_ms: 3_000,
            time_limit: CLIENT_TIME_LIMIT,
        };
        total.add(client::play(&plan, &case.record));
        thread::sleep(REQUEST_INTERVAL);
    }
    total
}

/// A class is dropped by a new configuration and comes back by the next one, which is the first file but for the
/// channel's address.
fn class_returns(case: &Case) -> io::Result<bool> {
    let World { listed_caches, events, channel, runs, setup, mut router, .. } =
        case.start(USUAL_MEMORY_MB, &[CLIPS, EDITS], SMALL_OBJECT_BYTES, Duration::ZERO)?;
    let (second, third) = (Channel::start(&events)?, Channel::start(&events)?);
    let started = Instant::now();
    let (dropped, returned) = (started + DROPPED_AFTER, started + RETURNED_AFTER);
    let end = returned + OBSERVED_AFTER;
    let mut told_ms = 0;
    let outcome = thread::scope(|scope| -> io::Result<Outcome> {
        let address = router.address;
        let clips = scope.spawn(move || send_steadily(case, address, CLIPS.name, started, end));
        let edits = scope.spawn(move || {
            let mut total = send_steadily(case, address, EDITS.name, started, dropped);
            total.add(send_steadily(case, address, EDITS.name, returned + CLIENTS_LEARN_AFTER, end));
            total
        });
        if case.has_trouble {
            thread::sleep(dropped.saturating_duration_since(Instant::now()));
            channel.retire();
            router.reconfigure(&Setup { channel: second.address, classes: vec![CLIPS], ..setup.clone() })?;
        }
        thread::sleep(returned.saturating_duration_since(Instant::now()));
        told_ms = case.record.now_ms();
        if case.has_trouble {
            second.retire();
            router.reconfigure(&Setup { channel: third.address, ..setup.clone() })?;
            told_ms += TOLD_AFTER_SIGHUP_MS;
        }
        events.tell(&listed_caches[..1], State::Draining, &case.record);
        let mut total = clips.join().unwrap_or_default();
        total.add(edits.join().unwrap_or_default());
        Ok(total)
    })?;
    let late = sent_to_draining(&runs, told_ms + DRAIN_GRACE_MS, &case.record);
    case.record.say(&format!("{late} attempts named a draining cache after the time for that"));
    Ok(case.judge(&outcome, &mut router) && late == 0)
}

/// Counts the attempts that came to the first cache, or named it as a source, after `limit_ms`.
fn sent_to_draining(runs: &Runs, limit_ms: u64, record: &Record) -> usize {
    let names_it = |run: &&Run| run.endpoint == CACHE_NAMES[0] || run.source.as_deref() == Some("s-00000001");
    let late: Vec<Run> =
        runs.all().iter().filter(names_it).filter(|run| run.at_ms > limit_ms).cloned().collect();
    for run in &late {
        let (id, endpoint, late_ms) = (&run.id, run.endpoint, run.at_ms - limit_ms);
        record.line(&format!("{id}: SENT TO A DRAINING CACHE, at {endpoint}, {late_ms} ms after the limit"));
    }
    late.len()
}

/// No case of its own, but the entry of KNOWN-RED.txt without a pause of the process; the report says what it shows.
/// A client reads slowly, so that the router stops to read from it; meanwhile the client sends edits and takes them back.
fn taken_back(case: &Case) -> io::Result<bool> {
    let World { runs, mut router, .. } = case.start_for_slow_readers(USUAL_MEMORY_MB)?;
    let rate = case.has_trouble.then_some(SLOW_READ_BYTES_PER_S);
    let late = taken_back::play_slow_reader(router.address, rate, &runs, &case.record)?;
    case.record.say(&format!("{late} edits came to the origin after they had been taken back"));
    Ok(late == 0 && case.still_runs(&mut router))
}

/// No case of its own, but the entry of KNOWN-RED.txt: the router is stopped and goes on.
fn taken_back_pause(case: &Case) -> io::Result<bool> {
    let World { runs, mut router, .. } = case.start_for_slow_readers(USUAL_MEMORY_MB)?;
    let late = taken_back::play_paused(&router, case.has_trouble, &runs, &case.record)?;
    case.record.say(&format!("{late} edits came to the origin after they had been taken back"));
    Ok(late == 0 && case.still_runs(&mut router))
}
