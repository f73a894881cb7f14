//! Six real instances that follow a purge log of a registry with three members, while ways and members fail. Judged by
//! when purges were committed and by which copies the servers gave out.
#![cfg(unix)]

use fault_injection::tcp_relay::TcpRelay;
use fault_injection::{Rule, Schedule};
use larchdale::purges::log::{append, HEAD};
use larchdale::purges::PurgeScope;
use larchdale::registry::messages::{request_op, PutRequest, RequestOp, TxnRequest};
use larchdale_test_support::processes::until;
use larchdale_test_support::registry::server::{Fault, Registry};
use larchdale_test_support::world::checker::{self, Purged};
use larchdale_test_support::world::records::Request;
use larchdale_test_support::world::{gather, Fleet, Plan, UNSAFE};
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const S: u64 = 1_000_000;
/// From a purge's commit until no older copy may be given to any instance.
const PROMISED: u64 = 1_300_000;
/// After that endpoints have dropped what is older themselves, as the settings say.
const LINGERS: u64 = 6 * S;
const PREFIX: &str = "/purges/";
const MEMBERS: usize = 3;
const ALL: [usize; MEMBERS] = [0, 1, 2];

struct World {
    fleet: Fleet,
    registry: Registry,
    ways: TcpRelay,
    purged: Vec<Purged>,
    dead: Vec<(usize, u64, u64)>,
}

impl World {
    /// All run; `follows`: those that have the log switched on.
    fn new(name: &str, follows: impl Fn(usize) -> bool) -> World {
        let plan = Plan::default();
        let (servers, registry) = (plan.servers().unwrap(), Registry::start(MEMBERS).unwrap());
        let ways = TcpRelay::start(&registry.addresses, plan.many(), &Schedule::default()).unwrap();
        let addresses = servers.addresses.clone();
        let program = env!("CARGO_BIN_EXE_larchdale");
        let fleet =
            Fleet::new(program, name, plan, servers, &Schedule::default(), |_, s| addresses[s]).unwrap();
        fleet.warm_parents();
        let mut world = World { fleet, registry, ways, purged: Vec::new(), dead: Vec::new() };
        for instance in 0..world.fleet.plan.many() {
            world.start(instance, follows(instance));
        }
        for instance in (0..world.fleet.plan.many()).filter(|&d| follows(d)) {
            world.awaits(instance, "purge_log_cut_off", 0);
        }
        world
    }

    fn start(&mut self, instance: usize, follows: bool) {
        let endpoints: Vec<String> =
            ALL.iter().map(|&m| self.ways.address(instance, m).to_string()).collect();
        let script = format!("purge_log(endpoints = {endpoints:?}, prefix = \"{PREFIX}\")\n");
        self.fleet.instances.script = if follows { script } else { String::new() };
        self.fleet.instances.start(instance).unwrap();
    }

    fn figure(&self, instance: usize, name: &str) -> Option<u64> {
        self.fleet.instances.running[instance].as_ref()?.figures().ok()?.get(name).copied()
    }

    fn awaits(&self, instance: usize, name: &str, value: u64) {
        let seen = until(Duration::from_secs(20), || self.figure(instance, name).filter(|v| *v == value));
        assert!(seen.is_some(), "doorman {instance}: {name} is {:?}", self.figure(instance, name));
    }

    /// Purges the objects that are asked for most, of each class that is kept; gives the entry's number.
    fn purge(&mut self, ranks: std::ops::Range<u64>) -> u64 {
        let classes = self.fleet.plan.figures.classes.iter().filter(|c| !c.writes);
        let objects: Vec<u64> = classes.flat_map(|c| ranks.clone().map(|r| c.object(r))).collect();
        let covers = objects.iter().map(|&o| PurgeScope::Object(o)).collect();
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let head = format!("{PREFIX}{HEAD}").into_bytes();
        let entry = self.registry.with(|store| {
            let value = store.history().iter().rfind(|c| c.key == head).and_then(|c| c.value.clone());
            let (entry, writes) = append(value.as_deref(), now_ms, covers).unwrap();
            let put = |(key, value): (String, Vec<u8>)| RequestOp {
                request: Some(request_op::Request::Put(PutRequest {
                    key: format!("{PREFIX}{key}").into_bytes(),
                    value,
                    lease: 0,
                })),
            };
            let success = writes.into_iter().map(put).collect();
            assert!(store.txn(&TxnRequest { success, ..TxnRequest::default() }).unwrap());
            entry
        });
        let at = self.fleet.servers.now();
        self.purged.extend(objects.into_iter().map(|object| Purged { at, object, when_ms: entry.when_ms }));
        entry.number
    }

    fn kill(&mut self, instance: usize) {
        let from = self.fleet.servers.now();
        self.fleet.instances.kill(instance);
        self.dead.push((instance, from, self.fleet.servers.now()));
    }

    /// Copies that were given out although a purge made them void, and how many were given out that a purge was about.
    fn stale(&self) -> (usize, usize) {
        let arrivals = self.fleet.servers.notes().arrivals;
        let stale = checker::stale(&arrivals, &self.purged, PROMISED, LINGERS);
        (stale.len(), checker::given(&arrivals, &self.purged, PROMISED, LINGERS))
    }

    /// What must hold whatever happened.
    fn judge(&self, requests: &[Request]) {
        let unanswered = checker::unanswered(requests, &self.dead);
        assert!(unanswered.is_empty(), "{} of {}, as {:?}", unanswered.len(), requests.len(), unanswered[0]);
        let notes = self.fleet.servers.notes();
        let twice = checker::twice(&notes.arrivals, &self.fleet.servers.specs, UNSAFE);
        assert!(twice.is_empty(), "{twice:?}");
        let (stale, given) = self.stale();
        assert!(stale == 0 && given > 50, "{stale} void copies among {given} given out");
    }
}

fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Bad ways from some instances to the registry, from now on.
fn bad(ways: &TcpRelay, rule: Rule) {
    ways.follow(&Schedule { seed: 7, rules: vec![rule] });
}

#[test]
fn without_the_log_void_copies_are_given_out_and_with_it_none_from_the_promised_time_on() {
    // Three follow it, three do not: the check has to tell them apart.
    let mut world = World::new("follow", |instance| instance % 2 == 0);
    let clients = world.fleet.load(25.0, 1, Duration::from_secs(14)).unwrap();
    pause(4.0);
    for _ in 0..3 {
        world.purge(0..40);
        pause(1.5);
    }
    let requests = gather(clients);
    let arrivals = world.fleet.servers.notes().arrivals;
    let stale = checker::stale(&arrivals, &world.purged, PROMISED, LINGERS);
    let of = |follows: bool| {
        stale.iter().filter(|s| s.0.instance().is_some_and(|d| (d % 2 == 0) == follows)).count()
    };
    assert!(of(true) == 0 && of(false) > 20, "{} and {}", of(true), of(false));
    assert!(checker::unanswered(&requests, &[]).is_empty());
    for instance in [0, 2, 4] {
        assert_eq!(world.figure(instance, "purge_log_number"), Some(3));
        assert_eq!(world.figure(instance, "purge_log_cut_offs_total"), Some(0), "doorman {instance}");
    }
    assert_eq!(world.figure(1, "purge_log_number"), None, "off means off");
}

#[test]
fn instances_that_are_cut_off_vouch_for_nothing_and_the_others_do_not_notice() {
    let mut world = World::new("cut", |_| true);
    let clients = world.fleet.load(15.0, 2, Duration::from_secs(20)).unwrap();
    pause(3.0);
    // A whole branch hears no member; purges go on.
    bad(&world.ways, Rule::partition(&[0, 1], &ALL, 0, 0));
    pause(0.5);
    for _ in 0..4 {
        world.purge(0..40);
        pause(1.0);
    }
    for (instance, cut) in [(0, 1), (1, 1), (2, 0), (3, 0), (4, 0), (5, 0)] {
        assert_eq!(world.figure(instance, "purge_log_cut_off"), Some(cut), "doorman {instance}");
    }
    world.ways.follow(&Schedule::default());
    for instance in [0, 1] {
        world.awaits(instance, "purge_log_cut_off", 0);
        assert_eq!(
            world.figure(instance, "purge_log_number"),
            Some(4),
            "what was missed came before the word"
        );
        assert_eq!(world.figure(instance, "purge_log_missed_total"), Some(0));
    }
    world.purge(0..40);
    let requests = gather(clients);
    world.judge(&requests);
    let near: Vec<Request> = requests.into_iter().filter(|r| r.instance >= 2).collect();
    let served = checker::served(&near, 0, u64::MAX).unwrap();
    assert!(served > 0.9, "{served} of the others' requests were served");
}

#[test]
fn members_that_die_in_mid_purge_or_stall_or_tell_old_things_and_slow_ways_make_no_void_copy_current() {
    let mut world = World::new("members", |_| true);
    let clients = world.fleet.load(15.0, 3, Duration::from_secs(26)).unwrap();
    pause(3.0);
    bad(&world.ways, Rule { from: vec![2], delay_ms: [100.0, 140.0], ..Rule::default() });
    for member in ALL {
        // In mid-change: the connection breaks within the bytes of the next entries.
        world.registry.fault(member, Fault::CutAfter(300));
        world.purge(0..30);
        pause(0.7);
        world.registry.fault(member, Fault::Down);
        world.purge(30..60);
        pause(0.7);
        world.registry.fault(member, Fault::Stalled);
        world.purge(0..30);
        pause(1.5);
        let revision = world.registry.with(|s| s.revision);
        world.registry.fault(member, Fault::Lagging(revision - 4));
        world.purge(0..30);
        pause(1.5);
        world.registry.fault(member, Fault::Doubling);
        world.purge(0..30);
        pause(0.5);
        world.registry.fault(member, Fault::None);
    }
    for instance in 0..6 {
        world.awaits(instance, "purge_log_cut_off", 0);
        world.awaits(instance, "purge_log_number", 15);
    }
    let requests = gather(clients);
    world.judge(&requests);
}

#[test]
fn many_restarted_at_once_are_strict_until_they_have_the_log_and_then_know_what_came_before_them() {
    let mut world = World::new("restarts", |_| true);
    let clients = world.fleet.load(12.0, 4, Duration::from_secs(18)).unwrap();
    pause(3.0);
    world.purge(0..40);
    // All members are silent while four of six begin anew: they have heard of no purge, and know it.
    ALL.iter().for_each(|&m| world.registry.fault(m, Fault::Stalled));
    (0..4).for_each(|instance| world.kill(instance));
    (0..4).for_each(|instance| world.start(instance, true));
    assert_eq!(world.figure(0, "purge_log_cut_off"), Some(1));
    pause(1.0);
    world.purge(0..40);
    pause(2.5);
    assert_eq!(world.figure(5, "purge_log_cut_off"), Some(1), "one that ran hears nothing either");
    ALL.iter().for_each(|&m| world.registry.fault(m, Fault::None));
    for instance in 0..6 {
        world.awaits(instance, "purge_log_cut_off", 0);
        world.awaits(instance, "purge_log_number", 2);
    }
    world.purge(0..40);
    let requests = gather(clients);
    world.judge(&requests);
}

#[test]
fn operators_purge_by_command_and_what_they_mistype_is_refused_in_one_line() {
    let world = World::new("command", |_| true);
    let run = |args: &[&str]| {
        let done = Command::new(env!("CARGO_BIN_EXE_larchdale")).arg("purge").args(args).output().unwrap();
        let text = String::from_utf8_lossy(&[done.stdout, done.stderr].concat()).into_owned();
        (done.status.success(), text)
    };
    let endpoint = world.registry.addresses[1].to_string();
    let log = ["--endpoint", &endpoint, "--prefix", PREFIX];
    for number in 1..=3 {
        let (done, said) = run(&[&log[..], &["7f3a9c21e0b4d655", "--group", "17"]].concat());
        assert!(done && said.contains(&format!("purge {number} ")) && said.contains("1000 ms"), "{said}");
    }
    for instance in 0..6 {
        world.awaits(instance, "purge_log_number", 3);
        assert_eq!(world.figure(instance, "purge_log_unusable_total"), Some(0));
    }
    for (wrong, told) in [
        (&["xyz"][..], "is no object"),
        (&["12345678901234567"], "is no object"),
        (&["--group", "70000"], "70000"),
        (&[], "what is purged?"),
    ] {
        let (done, said) = run(&[&log[..], wrong].concat());
        assert!(!done && said.contains(told), "{said}");
    }
    let (done, said) = run(&["1", "--prefix", PREFIX]);
    assert!(!done && said.contains("which log?") && said.lines().count() == 1, "{said}");
    let (done, said) = run(&["1", "--endpoint", "127.0.0.1:9", "--prefix", PREFIX]);
    assert!(!done && said.contains("can't reach the registry at 127.0.0.1:9"), "{said}");
}
