//! A world for a fleet of real instances: branches and hubs with servers that record their own load, command channels,
//! clients, and a checker that reads only the records.

pub mod channels;
pub mod checker;
mod engine;
pub mod load;
pub mod losses;
pub mod records;
pub mod servers;

use crate::processes::Processes;
use channels::{Change, Channels, EndpointState};
use fault_injection::Schedule;
use load::{Habits, Load};
use records::Request;
use serde_json::{json, Value};
use servers::{Class, Figures, Kind, Servers, Spec};
use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The class that must never run twice.
pub const UNSAFE: &str = "record-edits";
const KINDS: [&str; 3] = ["small-box", "parent", "origin"];

/// What stands where.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Names of the zones that have parents; the first has the archive.
    pub hubs: Vec<String>,
    /// Names of the zones that have instances and boxes.
    pub edges: Vec<String>,
    /// Instances of each edge.
    pub instances: usize,
    /// Boxes of each edge, and what each bears in transfers.
    pub boxes: (usize, f64),
    /// Parents of each hub, and what each bears.
    pub parents: (usize, f64),
    /// What the archive bears.
    pub archive: f64,
    /// Copies that a box keeps; parents keep ten times as many.
    pub keeps: usize,
    /// What holds for all servers.
    pub figures: Figures,
}

impl Default for Plan {
    /// Six instances in three branches, and two hubs.
    fn default() -> Self {
        let class = |name: &str, fresh_ms, patience_ms, worth, share, parts| Class {
            name: name.into(),
            fresh_ms,
            grace_ms: fresh_ms,
            writes: name == UNSAFE,
            patience_ms,
            worth,
            share,
            objects: 200,
            parts,
        };
        Plan {
            hubs: ["hub-a", "hub-b"].map(Into::into).to_vec(),
            edges: ["edge-1", "edge-2", "edge-3"].map(Into::into).to_vec(),
            instances: 2,
            boxes: (2, 8.0),
            parents: (1, 16.0),
            archive: 12.0,
            keeps: 400,
            figures: Figures {
                pace: 1_000.0,
                classes: vec![
                    class("clip-parts", 0, 4_000, 2.0, 0.5, 3),
                    class("images", 6_000, 2_500, 1.0, 0.4, 1),
                    class(UNSAFE, 0, 3_000, 3.0, 0.1, 1),
                ],
                cold: 0.19,
                ramp: 5_000_000,
                multiple: 3.0,
                window: 1_000_000,
            },
        }
    }
}

impl Plan {
    /// Names of all zones, by number.
    pub fn zones(&self) -> Vec<String> {
        [&self.hubs[..], &self.edges].concat()
    }

    /// The zone of an instance.
    pub fn zone(&self, instance: usize) -> usize {
        self.hubs.len() + instance / self.instances
    }

    /// Instances in all.
    pub fn many(&self) -> usize {
        self.edges.len() * self.instances
    }

    /// Starts the servers: the archive is the first, then come parents by hub and boxes by edge.
    pub fn servers(&self) -> io::Result<Servers> {
        let mut specs = Vec::new();
        let mut add = |zone, kind, capacity, keeps| {
            let id = format!("s-{:08x}", specs.len() + 1);
            specs.push(Spec { id, zone, kind, capacity, keeps });
        };
        add(0, Kind::Archive, self.archive, 0);
        for zone in 0..self.hubs.len() {
            (0..self.parents.0).for_each(|_| add(zone, Kind::Parent, self.parents.1, self.keeps * 10));
        }
        for zone in self.hubs.len()..self.zones().len() {
            (0..self.boxes.0).for_each(|_| add(zone, Kind::Box, self.boxes.1, self.keeps));
        }
        Servers::start(specs, self.figures.clone())
    }
}

/// The instances and all that they talk to. Whoever drops it ends it.
pub struct Fleet {
    /// The instances.
    pub instances: Processes,
    /// The servers behind them.
    pub servers: Servers,
    /// The command channels.
    pub channels: Channels,
    /// What stands where.
    pub plan: Plan,
    /// Where each instance reaches each server.
    ways: Vec<Vec<SocketAddr>>,
}

impl Fleet {
    /// Instances of which none runs yet; `address` says where one reaches a server, both by number. Set
    /// `instances.script` before the start to switch parts on.
    pub fn new(
        program: &str,
        name: &str,
        plan: Plan,
        servers: Servers,
        schedule: &Schedule,
        address: impl Fn(usize, usize) -> SocketAddr,
    ) -> io::Result<Self> {
        let (many, zones) = (plan.many(), plan.zones());
        let channels = Channels::start(many)?;
        let all = || 0..servers.specs.len();
        let ways: Vec<Vec<SocketAddr>> = (0..many).map(|d| all().map(|s| address(d, s)).collect()).collect();
        let crew = |zone| (0..many).filter(|&d| plan.zone(d) == zone).count();
        let set = &plan.figures;
        let by_class = |of: fn(&Class) -> Value| json!(set.classes.iter().map(of).collect::<Vec<_>>());
        let classes = by_class(|c| {
            json!({"name": c.name, "promise-us": 400_000, "aim-stretch": 2.0, "deadline-us": c.patience_ms * 1000,
                   "semantics": if c.writes { "at_most_once" } else { "idempotent" },
                   "dedup-scope": "all", "window-us": 5_000_000, "worth": c.worth})
        });
        let link = plan.boxes.0 as f64 * plan.boxes.1 * set.pace / 2.0;
        let inlets: Vec<f64> =
            (0..zones.len()).map(|z| if z < plan.hubs.len() { 0.0 } else { link }).collect();
        let instances = Processes::new(program, name, many, schedule, |number, config| {
            let instances: Vec<_> = servers
                .specs
                .iter()
                .zip(&ways[number])
                .map(|(s, way)| {
                    json!({"instanceId": s.id, "hostPort": way.to_string(), "zone": zones[s.zone],
                       "machineType": KINDS[s.kind as usize], "cell": 0, "lifecycle": "SERVING",
                       "weight": s.capacity, "startedAtMs": 0})
                })
                .collect();
            config["known"] = json!({"cursor": 1, "cmds": [{"cursor": 1, "nodes":
                {"generation": 1, "reset": true, "instances": instances}}]});
            config["channel"] = channels.addresses[number].to_string().into();
            // Copies of its own would hide load from the servers' records.
            config["flow_bytes_per_s"] = 0.into();
            let settings = &mut config["settings"];
            settings["zone"] = plan.zone(number).into();
            settings["failure-domains"] = json!(zones);
            settings["kinds"] = json!(KINDS);
            settings["weight-source"] = "rough".into();
            settings["classes"] = classes.clone();
            let domain = &mut settings["domain"];
            domain["crew-by-zone"] = (0..zones.len()).map(crew).collect::<Vec<_>>().into();
            domain["lateral"] = "location".into();
            domain["detail"] = "hit".into();
            domain["direct"] = true.into();
            domain["flow-kb-per-s"] = set.pace.into();
            domain["inlet-kb-per-s"] = json!(inlets);
            domain["max-age-us"] = by_class(|c| json!(c.fresh_ms * 1000));
            domain["stale-for-us"] = by_class(|c| json!(c.grace_ms * 1000));
            domain["pass-on"] = by_class(|c| json!(c.writes));
            domain["parent-breaks-at"] = set.multiple.into();
            domain["parent-cold-from"] = set.cold.into();
            domain["parent-ramp-us"] = set.ramp.into();
            settings["rules"] = json!({"fall-us": set.window, "start-capacity": set.cold,
                "tip-multiple": set.multiple, "warm-within-us": set.ramp});
        })?;
        Ok(Fleet { instances, servers, channels, plan, ways })
    }

    /// Starts clients of all instances, each with so many requests a second.
    pub fn load(&self, rate: f64, seed: u64, span: Duration) -> io::Result<Vec<JoinHandle<Vec<Request>>>> {
        self.load_with(rate, seed, span, |_| Habits::default())
    }

    /// The same by clients with these habits, by instance.
    pub fn load_with(
        &self,
        rate: f64,
        seed: u64,
        span: Duration,
        habits: impl Fn(usize) -> Habits,
    ) -> io::Result<Vec<JoinHandle<Vec<Request>>>> {
        let start = |instance| {
            let address = self.instances.listens(instance).ok_or(io::ErrorKind::InvalidData)?;
            let mix = self.plan.figures.classes.clone();
            let load = Load { instance, address, rate, mix, seed, span, habits: habits(instance) };
            Ok(load::start(load, self.servers.began))
        };
        (0..self.plan.many()).map(start).collect()
    }

    /// Has all parents hold all that can be asked for, as in a fleet that has run for long.
    pub fn warm_parents(&self) {
        let keys: Vec<_> = self.plan.figures.classes.iter().flat_map(Class::keys).collect();
        let parents = (0..self.plan.hubs.len()).flat_map(|hub| self.servers.of(hub, Kind::Parent));
        parents.for_each(|p| self.servers.hold(p, &keys));
    }

    /// Tells one instance what the list now says of a server.
    pub fn tell(&self, instance: usize, server: usize, listed: EndpointState) {
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let (spec, address) = (self.servers.specs[server].clone(), self.ways[instance][server]);
        let started_ms = if listed == EndpointState::Ready { now_ms } else { 0 };
        self.channels.tell(instance, &[Change { spec, address, listed, started_ms }]);
    }
}

/// All requests of clients that were started, by the time at which they were sent.
pub fn gather(clients: Vec<JoinHandle<Vec<Request>>>) -> Vec<Request> {
    let mut all: Vec<Request> = clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();
    all.sort_by_key(|r| r.sent);
    all
}
