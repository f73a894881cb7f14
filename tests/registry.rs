//! An instance process, a registry of three members, endpoints and a client, all on loopback, under faults. Time
//! limits are checked against the records of the test endpoints.
#![cfg(unix)]

use larchdale::registry::record::{State, StoredRecord};
use larchdale_test_support::checker::{late, Committed};
use larchdale_test_support::clients::Client;
use larchdale_test_support::endpoints::{Endpoint, Notes};
use larchdale_test_support::registry::{Fault, Registry};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Time limit of each wait, far longer than any step takes, so that only a hang reaches the limit.
const HANG: Duration = Duration::from_secs(30);
const PREFIX: &str = "/larchdale/test/";

struct World {
    registry: Registry,
    notes: Notes,
    endpoints: Vec<Endpoint>,
    instance: Child,
    lines: Receiver<String>,
    /// Log lines of the instance that were read so far.
    log: Vec<String>,
    client: Client,
    requests_sent: u64,
    commits: Vec<Committed>,
    /// Intervals in which the instance could not learn of changes.
    outages: Vec<(Instant, Instant)>,
    folder: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.instance.kill();
        let _ = self.instance.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn record(address: SocketAddr, kind: &str, state: State) -> Vec<u8> {
    let zone = if kind == "origin" { "hub" } else { "branch" }.to_owned();
    let record =
        StoredRecord { address, kind: kind.to_owned(), zone, state, cell: 0, weight: 20.0, started_ms: 1 };
    serde_json::to_vec(&record).unwrap()
}

/// Returns the record of an edge cache in another zone, which gets no requests.
fn remote_record(address: SocketAddr) -> Vec<u8> {
    String::from_utf8(record(address, "small-box", State::Ready))
        .unwrap()
        .replace("branch", "hub")
        .into_bytes()
}

fn key(id: &str) -> Vec<u8> {
    format!("{PREFIX}{id}").into_bytes()
}

/// Starts an instance; returns its process, log lines and listen address.
fn start_instance(folder: &Path) -> (Child, Receiver<String>, SocketAddr) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_larchdale"))
        .arg("--product")
        .arg(folder.join("product.star"))
        .env("PROXY_CONFIG", folder.join("config.json"))
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let (send, lines) = channel();
    let log: BufReader<ChildStderr> = BufReader::new(child.stderr.take().unwrap());
    std::thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|l| send.send(l)));
    let first = loop {
        let line = lines.recv_timeout(HANG).expect("the instance logs its listen address");
        if line.contains("listening") {
            break line;
        }
    };
    let address = first.split_once("address: ").and_then(|p| p.1.split_once(',')).unwrap().0;
    (child, lines, address.parse().unwrap())
}

impl World {
    fn new(name: &str, caches: usize, settings: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("larchdale-registry-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let registry = Registry::start(3).unwrap();
        let notes = Notes::default();
        let mut endpoints = vec![Endpoint::start("archive", &notes).unwrap()];
        endpoints.extend((0..caches).map(|n| Endpoint::start(&format!("box-{n}"), &notes).unwrap()));
        for endpoint in &endpoints {
            let kind = if endpoint.id == "archive" { "origin" } else { "small-box" };
            registry.with(|s| s.put(&key(&endpoint.id), &record(endpoint.address, kind, State::Ready), 0));
        }
        let mut config: serde_json::Value =
            serde_json::from_str(include_str!("../examples/config.json")).unwrap();
        config["listen"] = "127.0.0.1:0".into();
        config["channel"] = "127.0.0.1:9".into();
        std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
        let script =
            format!("registry(endpoints = {:?}, prefix = {PREFIX:?}, {settings})", registry.addresses);
        std::fs::write(
            folder.join("product.star"),
            script.replace("127.0.0.1", "\"127.0.0.1").replace(", \"127", "\", \"127").replace("],", "\"],"),
        )
        .unwrap();
        let (instance, lines, address) = start_instance(&folder);
        let client = Client::connect(address).unwrap();
        let mut world = World {
            registry,
            notes,
            endpoints,
            instance,
            lines,
            client,
            folder,
            log: Vec::new(),
            requests_sent: 0,
            commits: Vec::new(),
            outages: Vec::new(),
        };
        world.wait_for_log("list taken");
        world
    }

    /// Reads the log from the last read line on until a line contains `text`; returns that line.
    fn wait_for_log(&mut self, text: &str) -> String {
        let until = Instant::now() + HANG;
        loop {
            let line = self.lines.recv_timeout(until.saturating_duration_since(Instant::now()));
            let line = line.unwrap_or_else(|_| panic!("never logged: {text}\n{}", self.log.join("\n")));
            self.log.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    fn endpoint_address(&self, id: &str) -> SocketAddr {
        self.endpoints.iter().find(|d| d.id == id).unwrap().address
    }

    /// Commits a state of an edge cache, or with `None` its removal.
    fn set_state(&mut self, id: &str, state: Option<State>) {
        let address = self.endpoint_address(id);
        self.registry.with(|s| match state {
            Some(state) => {
                s.put(&key(id), &record(address, "small-box", state), 0);
            }
            None => {
                s.delete(&key(id));
            }
        });
        let open = state == Some(State::Ready);
        self.commits.push(Committed { at: Instant::now(), endpoint: id.to_owned(), open });
    }

    /// Sends requests for many objects for the given time, then waits for the outstanding responses.
    fn send_requests_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            // A connection may have at most 32 open requests.
            for _ in 0..(20u64.saturating_sub(self.requests_sent - self.client.answers.len() as u64)).min(4) {
                self.requests_sent += 1;
                let object = self.requests_sent.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                self.client.ask("images", self.requests_sent, object, 1_500).unwrap();
            }
            assert!(
                self.client.hear(Duration::from_millis(5)).unwrap(),
                "the instance closed the connection"
            );
        }
        let until = Instant::now() + HANG;
        while self.client.answers.len() < self.requests_sent as usize && Instant::now() < until {
            assert!(self.client.hear(Duration::from_millis(50)).unwrap());
        }
    }

    /// Returns the endpoints that were targets of requests since a time.
    fn targets_since(&self, since: Instant) -> Vec<String> {
        let notes = self.notes.lock().unwrap();
        let mut ids: Vec<String> =
            notes.iter().filter(|a| a.at >= since).map(|a| a.endpoint.clone()).collect();
        ids.sort();
        ids.dedup();
        ids
    }

    /// Sends requests until these endpoints are the only targets. How soon a closed endpoint gets no more requests is
    /// checked against the records.
    fn wait_for_targets(&mut self, ids: &[&str]) {
        let until = Instant::now() + HANG;
        loop {
            let since = Instant::now();
            self.send_requests_for(SECOND / 4);
            if self.targets_since(since) == ids {
                return;
            }
            assert!(
                since < until,
                "the targets are never {ids:?}, but {:?}\n{}",
                self.targets_since(since),
                self.log.join("\n")
            );
        }
    }

    /// Checks that each request got one final response and that no request reached a closed endpoint later than
    /// allowed.
    fn check(&self, max_delay: Duration) {
        let requests = self.notes.lock().unwrap();
        for late in late(&self.commits, &self.outages, &requests) {
            assert!(late.after <= max_delay, "{late:?}\n{}", self.log.join("\n"));
        }
        assert_eq!(self.client.answers.len() as u64, self.requests_sent, "each request gets a response");
        assert!(
            self.client.answers.values().all(|codes| codes.len() == 1),
            "each request gets one final response"
        );
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn drained_removed_and_added_endpoints_are_followed_on_a_working_connection() {
    let mut world = World::new("follow", 3, "");
    world.send_requests_for(SECOND / 4);
    assert!(world
        .targets_since(world.commits.first().map_or(Instant::now() - SECOND, |c| c.at))
        .contains(&"box-0".to_owned()));
    world.set_state("box-0", Some(State::Draining));
    world.set_state("box-1", None);
    world.send_requests_for(SECOND / 2);
    world.wait_for_targets(&["box-2"]);
    world.set_state("box-0", Some(State::Ready));
    world.set_state("box-2", None);
    world.wait_for_targets(&["box-0"]);
    world.check(SECOND);
}

#[test]
fn a_drain_is_never_missed_across_lost_connections_compaction_and_silent_members() {
    let mut world = World::new("gaps", 6, "check_ms = 100, silence_ms = 300");
    world.send_requests_for(SECOND / 4);
    // The connection is lost, and the drain is compacted away before the instance reconnects.
    for member in 0..3 {
        world.registry.fault(member, Fault::Down);
    }
    let from = Instant::now();
    world.wait_for_log("connection lost");
    world.set_state("box-0", Some(State::Draining));
    world.set_state("box-1", None);
    world.registry.with(|s| {
        let now = s.revision;
        s.compact(now);
    });
    world.send_requests_for(SECOND / 4);
    for member in 0..3 {
        world.registry.fault(member, Fault::None);
    }
    world.outages.push((from, Instant::now()));
    world.wait_for_log("list taken");
    world.send_requests_for(SECOND / 4);
    // All members fall silent with their connections open.
    for member in 0..3 {
        world.registry.fault(member, Fault::Stalled);
    }
    let silent = Instant::now();
    world.set_state("box-2", Some(State::Draining));
    world.wait_for_log("connection lost");
    for member in 0..3 {
        world.registry.fault(member, Fault::None);
    }
    world.outages.push((silent, Instant::now()));
    world.send_requests_for(SECOND);
    // Responses are doubled, fragmented and cut off in the middle.
    for (n, fault) in [Fault::Doubling, Fault::Fragments, Fault::CutAfter(40)].into_iter().enumerate() {
        for member in 0..3 {
            world.registry.fault(member, fault);
        }
        world.set_state(&format!("box-{}", 3 + n), Some(State::Draining));
        world.set_state("box-0", Some(State::Ready));
        world.set_state("box-0", Some(State::Draining));
        world.send_requests_for(SECOND / 2);
    }
    let began = Instant::now();
    for member in 0..3 {
        world.registry.fault(member, Fault::None);
    }
    world.outages.push((began - SECOND / 2, began));
    world.send_requests_for(SECOND);
    // The members announce that they are going away, and come back.
    let from = Instant::now();
    for fault in [Fault::GoAway, Fault::None] {
        (0..3).for_each(|member| world.registry.fault(member, fault));
        world.send_requests_for(SECOND / 4);
    }
    world.outages.push((from, Instant::now()));
    world.set_state("box-4", Some(State::Ready));
    world.send_requests_for(SECOND);
    world.wait_for_targets(&["box-4"]);
    world.check(SECOND);
}

#[test]
fn the_state_of_a_lagging_member_is_rejected_and_an_unreadable_record_counts_as_draining() {
    let mut world = World::new("lag", 3, "check_ms = 100, silence_ms = 300, restored_ms = 60000");
    let before = world.registry.with(|s| s.revision);
    world.set_state("box-0", Some(State::Draining));
    world.send_requests_for(SECOND / 4);
    // All members go back to a revision before the drain, and one recovers later.
    for member in 0..3 {
        world.registry.fault(member, Fault::Lagging(before));
    }
    world.wait_for_log("connection lost");
    world.wait_for_log("lags, its state is not accepted");
    world.send_requests_for(SECOND / 2);
    world.registry.fault(0, Fault::None);
    world.wait_for_log("list taken");
    world.registry.with(|s| s.put(&key("box-1"), b"{\"address\": \"nowhere\"}", 0));
    world.commits.push(Committed { at: Instant::now(), endpoint: "box-1".into(), open: false });
    let line = world.wait_for_log("is unusable, its endpoint is treated as draining");
    assert!(line.contains("box-1") && line.contains("revision: "), "{line}");
    world.send_requests_for(SECOND / 4);
    world.wait_for_targets(&["box-2"]);
    world.check(SECOND);
}

#[test]
fn an_instance_starts_from_its_snapshot_while_the_registry_is_down_and_then_applies_the_new_list() {
    let mut world = World::new("snapshot", 2, "check_ms = 100, silence_ms = 300, snapshot = \"SNAPSHOT\"");
    let folder = world.folder.join("snapshot");
    let script = std::fs::read_to_string(world.folder.join("product.star")).unwrap();
    std::fs::write(world.folder.join("product.star"), script.replace("SNAPSHOT", folder.to_str().unwrap()))
        .unwrap();
    let restart = |world: &mut World| {
        let _ = world.instance.kill();
        let _ = world.instance.wait();
        let (child, lines, address) = start_instance(&world.folder);
        (world.instance, world.lines, world.client) = (child, lines, Client::connect(address).unwrap());
        (world.requests_sent, world.log) = (0, Vec::new());
    };
    restart(&mut world);
    world.wait_for_log("list taken");
    let until = Instant::now() + HANG;
    while !folder.join("depots.list").exists() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    for member in 0..3 {
        world.registry.fault(member, Fault::Down);
    }
    world.set_state("box-0", None);
    restart(&mut world);
    let since = Instant::now();
    world.send_requests_for(SECOND / 4);
    assert!(!world.targets_since(since).is_empty(), "no request is sent to an endpoint of the list on disk");
    for member in 0..3 {
        world.registry.fault(member, Fault::None);
    }
    world.outages.push((since - SECOND, Instant::now()));
    world.wait_for_log("list taken");
    world.send_requests_for(SECOND / 4);
    world.wait_for_targets(&["box-1"]);
    world.check(SECOND);
}

/// Guards against the end of a call being taken for a failure while its response is still being processed.
#[test]
fn a_list_of_many_pages_is_applied_without_a_failed_call() {
    let mut world = World::new("long", 1, "check_ms = 100");
    (0..3).for_each(|member| world.registry.fault(member, Fault::Down));
    world.wait_for_log("connection lost");
    world.registry.with(|s| {
        for n in 0..3_000u16 {
            let address = SocketAddr::from(([127, 1, (n >> 8) as u8, n as u8], 9));
            s.put(&key(&format!("far-{n}")), &remote_record(address), 0);
        }
    });
    (0..3).for_each(|member| world.registry.fault(member, Fault::None));
    let line = world.wait_for_log("list taken");
    assert!(line.contains("changes: 3000") && line.contains("keys: 3002"), "{line}");
    world.send_requests_for(SECOND);
    world.check(SECOND);
    let has_failed = |l: &String| l.contains("ended without a response") || l.contains("reading a new list");
    assert!(
        !world.log.iter().chain(&world.lines.try_iter().collect::<Vec<_>>()).any(has_failed),
        "{:?}",
        world.log
    );
}

#[test]
fn the_list_of_a_replaced_registry_replaces_the_current_one_and_this_is_logged() {
    let mut world = World::new("replaced", 2, "check_ms = 100, silence_ms = 300");
    let address = world.endpoint_address("box-1");
    let archive = world.endpoint_address("archive");
    world.registry.with(|s| {
        *s = larchdale_test_support::registry::Store::new(0x99);
        s.put(&key("archive"), &record(archive, "origin", State::Ready), 0);
        s.put(&key("box-1"), &record(address, "small-box", State::Ready), 0);
    });
    world.commits.push(Committed { at: Instant::now(), endpoint: "box-0".into(), open: false });
    let from = Instant::now();
    world.wait_for_log("another cluster, its state is not accepted");
    let line = world.wait_for_log("restored or replaced, its list replaces the current one");
    assert!(line.contains("0000000000000099"), "{line}");
    world.wait_for_log("list taken");
    world.outages.push((from, Instant::now()));
    world.wait_for_targets(&["box-1"]);
    world.check(SECOND);
}

#[test]
fn sighup_applies_a_valid_script_and_ignores_an_invalid_one() {
    let mut world = World::new("reload", 1, "check_ms = 100, silence_ms = 300");
    let script = world.folder.join("product.star");
    let valid = std::fs::read_to_string(&script).unwrap();
    let send_sighup = |world: &World| {
        let pid = world.instance.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &pid]).status().unwrap().success());
    };
    std::fs::write(&script, valid.replace("prefix", "prefx")).unwrap();
    send_sighup(&world);
    let line = world.wait_for_log("new settings not used");
    assert!(line.contains("product.star:1:") && line.contains("did you mean prefix?"), "{line}");
    let other = Registry::start(1).unwrap();
    let archive = world.endpoint_address("archive");
    other.with(|s| {
        (s.cluster, s.revision) = world.registry.with(|store| (store.cluster, store.revision + 50));
        s.put(&key("archive"), &record(archive, "origin", State::Ready), 0)
    });
    let moved =
        valid.replace(&format!("{}", world.registry.addresses[0]), &format!("{}", other.addresses[0]));
    let moved = world.registry.addresses[1..].iter().fold(moved, |s, a| s.replace(&format!(", \"{a}\""), ""));
    std::fs::write(&script, &moved).unwrap();
    send_sighup(&world);
    world.wait_for_log("registry settings reloaded");
    let line = world.wait_for_log("list taken");
    assert!(line.contains("keys: 1,"), "{line}");
}

#[test]
fn the_registry_commands_list_put_drain_and_remove_endpoints() {
    let world = World::new("commands", 1, "");
    let larchdale = |arguments: &[&str]| {
        let product = world.folder.join("product.star");
        let mut command = Command::new(env!("CARGO_BIN_EXE_larchdale"));
        let output =
            command.arg("registry").args(arguments).env("LARCHDALE_PRODUCT", product).output().unwrap();
        let text =
            String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
        (output.status.success(), text)
    };
    let put = [
        "put",
        "box-9",
        "--address",
        "127.0.0.1:9",
        "--kind",
        "small-box",
        "--zone",
        "branch",
        "--lease",
        "600",
    ];
    assert!(larchdale(&put).0);
    let (succeeded, text) = larchdale(&["ls"]);
    assert!(succeeded && text.contains("box-9") && text.contains("3 depots at revision"), "{text}");
    // A field that is unknown to this version is kept.
    let value = r#"{"address":"127.0.0.1:9","kind":"small-box","zone":"branch","rack":"b7"}"#;
    world.registry.with(|s| s.put(&key("box-9"), value.as_bytes(), 0));
    assert!(larchdale(&["drain", "box-9"]).1.contains("box-9 is draining from revision"));
    assert!(larchdale(&["drain", "box-9"]).1.contains("draining already"));
    let range = larchdale::registry::messages::RangeRequest { key: key("box-9"), ..Default::default() };
    let kept = world.registry.with(|s| s.range(&range, 1, s.revision)).unwrap().kvs[0].value.clone();
    assert!(String::from_utf8(kept).unwrap().contains(r#""rack":"b7""#));
    assert!(larchdale(&["remove", "box-9"]).0);
    for (invalid, reason) in [(["drain", "box-9"], "is not listed"), (["remove", "a,b"], "can't be an id")] {
        let (succeeded, text) = larchdale(&invalid);
        assert!(!succeeded && text.contains(reason), "{text}");
    }
    (0..3).for_each(|member| world.registry.fault(member, Fault::Down));
    assert!(!larchdale(&["ls"]).0);
}

#[test]
fn a_draining_parent_cache_is_no_fill_source() {
    let mut world = World::new("source", 2, "");
    let parents: Vec<Endpoint> =
        (0..2).map(|n| Endpoint::start(&format!("hub-{n}"), &world.notes).unwrap()).collect();
    let write = |world: &World, parent: &Endpoint, state| {
        let value =
            String::from_utf8(record(parent.address, "parent", state)).unwrap().replace("branch", "hub");
        world.registry.with(|s| s.put(&key(&parent.id), value.as_bytes(), 0));
    };
    parents.iter().for_each(|parent| write(&world, parent, State::Ready));
    let is_source = |world: &World, parent: &str| {
        world.notes.lock().unwrap().iter().any(|a| a.via.as_deref() == Some(parent))
    };
    let until = Instant::now() + HANG;
    while !(is_source(&world, "hub-0") && is_source(&world, "hub-1")) {
        assert!(Instant::now() < until, "not every parent cache is a fill source");
        world.send_requests_for(SECOND / 4);
    }
    write(&world, &parents[0], State::Draining);
    world.commits.push(Committed { at: Instant::now(), endpoint: "hub-0".into(), open: false });
    world.send_requests_for(3 * SECOND / 2);
    world.check(SECOND);
}
