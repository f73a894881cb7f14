//! Six instance processes follow the purge log of a three-member registry while connections and members fail. The
//! checks compare the commit times of purges with the copies that the servers delivered.
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
/// Time from the commit of a purge until no instance may receive an older copy, in microseconds.
const STALENESS_BOUND: u64 = 1_300_000;
/// Time after which endpoints have dropped older copies themselves, as the settings say, in microseconds.
const PURGE_DURATION: u64 = 6 * S;
const PREFIX: &str = "/purges/";
const MEMBERS: usize = 3;
const ALL: [usize; MEMBERS] = [0, 1, 2];

struct World {
    fleet: Fleet,
    registry: Registry,
    registry_relay: TcpRelay,
    purged: Vec<Purged>,
    dead: Vec<(usize, u64, u64)>,
}

impl World {
    /// Starts all instances, with the purge log configured where `follows` says so, and waits until those have caught
    /// up.
    fn new(name: &str, follows: impl Fn(usize) -> bool) -> World {
        let plan = Plan::default();
        let (servers, registry) = (plan.servers().unwrap(), Registry::start(MEMBERS).unwrap());
        let registry_relay = TcpRelay::start(&registry.addresses, plan.many(), &Schedule::default()).unwrap();
        let addresses = servers.addresses.clone();
        let program = env!("CARGO_BIN_EXE_larchdale");
        let fleet =
            Fleet::new(program, name, plan, servers, &Schedule::default(), |_, s| addresses[s]).unwrap();
        fleet.warm_parents();
        let mut world = World { fleet, registry, registry_relay, purged: Vec::new(), dead: Vec::new() };
        for instance in 0..world.fleet.plan.many() {
            world.start(instance, follows(instance));
        }
        for instance in (0..world.fleet.plan.many()).filter(|&d| follows(d)) {
            world.wait_for_figure(instance, "purge_log_cut_off", 0);
        }
        world
    }

    fn start(&mut self, instance: usize, follows: bool) {
        let endpoints: Vec<String> =
            ALL.iter().map(|&m| self.registry_relay.address(instance, m).to_string()).collect();
        let script = format!("purge_log(endpoints = {endpoints:?}, prefix = \"{PREFIX}\")\n");
        self.fleet.instances.script = if follows { script } else { String::new() };
        self.fleet.instances.start(instance).unwrap();
    }

    fn figure(&self, instance: usize, name: &str) -> Option<u64> {
        self.fleet.instances.running[instance].as_ref()?.figures().ok()?.get(name).copied()
    }

    fn wait_for_figure(&self, instance: usize, name: &str, value: u64) {
        let seen = until(Duration::from_secs(20), || self.figure(instance, name).filter(|v| *v == value));
        assert!(seen.is_some(), "instance {instance}: {name} is {:?}", self.figure(instance, name));
    }

    /// Purges the objects of the given popularity ranks in each cacheable class; returns the number of the log entry.
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

    /// Returns how many stale copies were delivered, and how many copies of purged objects in all.
    fn stale_and_delivered(&self) -> (usize, usize) {
        let arrivals = self.fleet.servers.notes().arrivals;
        let stale = checker::stale(&arrivals, &self.purged, STALENESS_BOUND, PURGE_DURATION);
        (stale.len(), checker::given(&arrivals, &self.purged, STALENESS_BOUND, PURGE_DURATION))
    }

    /// Checks that each request got one response, no unsafe request ran twice and no stale copy was delivered.
    fn check(&self, requests: &[Request]) {
        let unanswered = checker::unanswered(requests, &self.dead);
        assert!(
            unanswered.is_empty(),
            "{} of {} unanswered, the first: {:?}",
            unanswered.len(),
            requests.len(),
            unanswered[0]
        );
        let notes = self.fleet.servers.notes();
        let ran_twice = checker::twice(&notes.arrivals, &self.fleet.servers.specs, UNSAFE);
        assert!(ran_twice.is_empty(), "{ran_twice:?}");
        let (stale, delivered) = self.stale_and_delivered();
        assert!(stale == 0 && delivered > 50, "{stale} stale copies among {delivered} delivered");
    }
}

fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Applies a fault rule to the connections from instances to the registry from now on.
fn apply_rule(relay: &TcpRelay, rule: Rule) {
    relay.follow(&Schedule { seed: 7, rules: vec![rule] });
}

#[test]
fn with_the_purge_log_no_stale_copy_is_delivered_after_the_bound_and_without_it_some_are() {
    // Three instances follow the log and three don't: the check has to tell them apart.
    let mut world = World::new("follow", |instance| instance % 2 == 0);
    let clients = world.fleet.load(25.0, 1, Duration::from_secs(14)).unwrap();
    pause(4.0);
    for _ in 0..3 {
        world.purge(0..40);
        pause(1.5);
    }
    let requests = gather(clients);
    let arrivals = world.fleet.servers.notes().arrivals;
    let stale = checker::stale(&arrivals, &world.purged, STALENESS_BOUND, PURGE_DURATION);
    let count_stale = |follows: bool| {
        stale.iter().filter(|s| s.0.instance().is_some_and(|d| (d % 2 == 0) == follows)).count()
    };
    assert!(
        count_stale(true) == 0 && count_stale(false) > 20,
        "{} and {}",
        count_stale(true),
        count_stale(false)
    );
    assert!(checker::unanswered(&requests, &[]).is_empty());
    for instance in [0, 2, 4] {
        assert_eq!(world.figure(instance, "purge_log_number"), Some(3));
        assert_eq!(world.figure(instance, "purge_log_cut_offs_total"), Some(0), "instance {instance}");
    }
    assert_eq!(
        world.figure(1, "purge_log_number"),
        None,
        "an instance without a purge log has no entry number"
    );
}

#[test]
fn instances_cut_off_from_the_registry_deliver_no_stale_copy_and_the_others_are_unaffected() {
    let mut world = World::new("cut", |_| true);
    let clients = world.fleet.load(15.0, 2, Duration::from_secs(20)).unwrap();
    pause(3.0);
    // The instances of one zone reach no registry member while purges go on.
    apply_rule(&world.registry_relay, Rule::partition(&[0, 1], &ALL, 0, 0));
    pause(0.5);
    for _ in 0..4 {
        world.purge(0..40);
        pause(1.0);
    }
    for (instance, cut_off) in [(0, 1), (1, 1), (2, 0), (3, 0), (4, 0), (5, 0)] {
        assert_eq!(world.figure(instance, "purge_log_cut_off"), Some(cut_off), "instance {instance}");
    }
    world.registry_relay.follow(&Schedule::default());
    for instance in [0, 1] {
        world.wait_for_figure(instance, "purge_log_cut_off", 0);
        assert_eq!(
            world.figure(instance, "purge_log_number"),
            Some(4),
            "the missed entries are applied before the cut-off ends"
        );
        assert_eq!(world.figure(instance, "purge_log_missed_total"), Some(0));
    }
    world.purge(0..40);
    let requests = gather(clients);
    world.check(&requests);
    let connected: Vec<Request> = requests.into_iter().filter(|r| r.instance >= 2).collect();
    let served = checker::served(&connected, 0, u64::MAX).unwrap();
    assert!(served > 0.9, "{served} of the others' requests were served");
}

#[test]
fn with_crashing_stalled_or_lagging_members_and_slow_connections_no_stale_copy_is_delivered() {
    let mut world = World::new("members", |_| true);
    let clients = world.fleet.load(15.0, 3, Duration::from_secs(26)).unwrap();
    pause(3.0);
    apply_rule(&world.registry_relay, Rule { from: vec![2], delay_ms: [100.0, 140.0], ..Rule::default() });
    for member in ALL {
        // The connection breaks within the bytes of the next entries.
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
        world.wait_for_figure(instance, "purge_log_cut_off", 0);
        world.wait_for_figure(instance, "purge_log_number", 15);
    }
    let requests = gather(clients);
    world.check(&requests);
}

#[test]
fn instances_restarted_together_deliver_no_stale_copy_and_then_catch_up_with_the_log() {
    let mut world = World::new("restarts", |_| true);
    let clients = world.fleet.load(12.0, 4, Duration::from_secs(18)).unwrap();
    pause(3.0);
    world.purge(0..40);
    // All members are silent while four of six instances restart: these count as cut off, since they have no log yet.
    ALL.iter().for_each(|&m| world.registry.fault(m, Fault::Stalled));
    (0..4).for_each(|instance| world.kill(instance));
    (0..4).for_each(|instance| world.start(instance, true));
    assert_eq!(world.figure(0, "purge_log_cut_off"), Some(1));
    pause(1.0);
    world.purge(0..40);
    pause(2.5);
    assert_eq!(
        world.figure(5, "purge_log_cut_off"),
        Some(1),
        "an instance that wasn't restarted is cut off as well"
    );
    ALL.iter().for_each(|&m| world.registry.fault(m, Fault::None));
    for instance in 0..6 {
        world.wait_for_figure(instance, "purge_log_cut_off", 0);
        world.wait_for_figure(instance, "purge_log_number", 2);
    }
    world.purge(0..40);
    let requests = gather(clients);
    world.check(&requests);
}

#[test]
fn the_purge_command_appends_entries_and_refuses_invalid_arguments_with_one_line() {
    let world = World::new("command", |_| true);
    let run = |args: &[&str]| {
        let result = Command::new(env!("CARGO_BIN_EXE_larchdale")).arg("purge").args(args).output().unwrap();
        let text = String::from_utf8_lossy(&[result.stdout, result.stderr].concat()).into_owned();
        (result.status.success(), text)
    };
    let endpoint = world.registry.addresses[1].to_string();
    let log = ["--endpoint", &endpoint, "--prefix", PREFIX];
    for number in 1..=3 {
        let (succeeded, output) = run(&[&log[..], &["7f3a9c21e0b4d655", "--group", "17"]].concat());
        assert!(
            succeeded && output.contains(&format!("purge {number} ")) && output.contains("1000 ms"),
            "{output}"
        );
    }
    for instance in 0..6 {
        world.wait_for_figure(instance, "purge_log_number", 3);
        assert_eq!(world.figure(instance, "purge_log_unusable_total"), Some(0));
    }
    for (invalid, message) in [
        (&["xyz"][..], "is no object"),
        (&["12345678901234567"], "is no object"),
        (&["--group", "70000"], "70000"),
        (&[], "what is purged?"),
    ] {
        let (succeeded, output) = run(&[&log[..], invalid].concat());
        assert!(!succeeded && output.contains(message), "{output}");
    }
    let (succeeded, output) = run(&["1", "--prefix", PREFIX]);
    assert!(!succeeded && output.contains("which log?") && output.lines().count() == 1, "{output}");
    let (succeeded, output) = run(&["1", "--endpoint", "127.0.0.1:9", "--prefix", PREFIX]);
    assert!(!succeeded && output.contains("can't reach the registry at 127.0.0.1:9"), "{output}");
}
