//! Hollow instances that follow documents: the real core of `larchdale::registry::documents`, one for each, on
//! simulated control machines that serve one store.
//!
//! What is taken for true of control machines: they are members of one cluster. A commit is there once the leader has
//! it; each machine applies it after the way from the leader and some milliseconds. A read asks the leader how far it
//! is, which asks most others, and waits until the machine has applied that; reads that come meanwhile go together.
//! Who does not reach the leader commits and reads nothing and tells its watches nothing new, but talks on. A leader
//! that is lost is replaced after 1 s. No answer takes time to make: calls are counted instead.
//!
//! Left out: sockets, HTTP/2 itself ([`cost`] says what is added for it), TLS, the instance's event loop.

pub mod cost;
mod machine;
mod purges;
pub mod registry;

use self::machine::Machine;
pub use self::purges::PurgeReader;
use self::purges::{settings, unix_ms};
use self::registry::{Registry, PREFIX};
use crate::figures::{FollowFigures, Spread, Traffic};
use crate::gather::{spread, Gather};
use crate::network::{Network, Sent};
use crate::plan::{merged, Plan, Span, SECOND, START};
use crate::queue::{Due, Micros, Queue};
use crate::records::{Commit, FollowRecords, Shown, Step};
use crate::scenario::{Follow, Scenario};
use larchdale::purges::log::ENTRIES;
use larchdale::registry::documents::{Action, Counters, Documents, Rpc, Settings};
use larchdale::registry::messages::{watch_request, RangeRequest};
use larchdale::registry::status::Status;
use prost::Message;
use std::rc::Rc;

/// Events of one run at most: a bound on work, far above what any scenario takes.
const MOST_EVENTS: u64 = 5_000_000_000;
/// Commits so shortly before the end are not missed.
const TAIL: Micros = 5 * SECOND;
/// For so long after a cut or a start an instance counts as catching up.
const RETURN: Micros = 4 * SECOND;
/// A machine tries a read again after so long where its way to the leader broke.
const AGAIN: Micros = SECOND;

/// What an instance does with its mirror.
pub trait Reader {
    /// Looks at the documents, after each thing that reached the instance and when [`Reader::next`] is due.
    fn turn(&mut self, now: Micros, documents: &mut Documents) -> Shows;

    /// When it wants to look again without anything happening.
    fn next(&self) -> Micros {
        Micros::MAX
    }
}

/// What a reader shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shows {
    /// All up to this revision is in force.
    pub revision: i64,
    /// Nothing later is missing, as far as it may be held to be so.
    pub vouched: bool,
}

/// Shows the mirror as it is, and vouches for it at all times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mirror;

impl Reader for Mirror {
    fn turn(&mut self, _: Micros, documents: &mut Documents) -> Shows {
        drop(documents.take_changes());
        Shows { revision: documents.revision(), vouched: true }
    }
}

/// What goes up a connection.
enum Up {
    Range(u64, RangeRequest),
    Watch(u64, i64),
    Progress,
}

/// What comes down.
#[derive(Clone)]
enum Down {
    /// A message; `true`: it ends its call.
    Message(u64, Rc<[u8]>, bool),
    /// The end of a call without an answer.
    Refused(u64, u32, &'static str),
}

enum Ev {
    Begin(usize),
    End(usize),
    MachineEnds(usize),
    /// Who leads, or who reaches whom, has changed.
    Epoch,
    Commit,
    Apply(usize, i64),
    ReadAt(usize, u32),
    ReadBack(usize, u32, i64),
    ReadAgain(usize, u32),
    Accepted(usize, u64, usize),
    Dialed(usize, u64),
    Up(usize, u64, usize, Up),
    Down(usize, u64, usize, Down),
    /// The machine's end of a connection is gone.
    Closed(usize, u64),
    /// The instance's end is.
    Lost(usize, u64),
}

/// An instance's end of a connection.
struct Connection {
    id: u64,
    /// What its core calls it.
    name: u64,
    machine: usize,
    /// When the last that was sent comes: order is kept.
    last: Micros,
    broken: bool,
    /// Paths that the tables of HPACK know.
    paths: [bool; 2],
}

struct Proxy<R> {
    documents: Documents,
    reader: R,
    connection: Option<Connection>,
    revision: i64,
    strict_since: Option<Micros>,
    /// What its core had counted when the measured time began.
    before: Counters,
}

#[derive(Clone, Copy, Default)]
struct Flow {
    messages: u64,
    bytes: u64,
}

/// What a run of followers came to.
pub struct Outcome {
    /// The figures.
    pub figures: FollowFigures,
    /// Bytes a second up and down together, by instance.
    pub bytes_per_s: Vec<f64>,
    /// For the checker.
    pub records: FollowRecords,
}

struct Sim<'a, R, F> {
    plan: &'a Plan,
    network: Network<'a>,
    queue: Queue<Ev>,
    spec: Follow,
    seed: u64,
    make: F,
    registry: Registry,
    machines: Vec<Machine>,
    instances: Vec<Option<Proxy<R>>>,
    shown: Vec<Shown>,
    commits: Vec<Commit>,
    connections: u64,
    flows: Vec<[Flow; 2]>,
    counted: Counters,
    actions: Vec<Action>,
    events: u64,
}

/// Runs the followers of a scenario; `make` gives each life of an instance what reads its mirror.
pub fn run<R: Reader, F: FnMut(usize) -> R>(scenario: &Scenario, plan: &Plan, seed: u64, make: F) -> Outcome {
    let spec = scenario.follow.clone().unwrap_or_default();
    let (size, controls) = (plan.places.size, plan.places.controls);
    let registry = Registry::new(spec.slots, spec.value_bytes, spec.purge_log);
    let seconds = ((plan.measured.until - plan.measured.from) / SECOND) as usize;
    let machines = (0..controls).map(|_| Machine::new(registry.revision(), seconds)).collect();
    let shown = |d: usize| Shown { down: plan.down[d].clone(), cut_off: plan.cut_off(d), ..Shown::default() };
    let mut sim = Sim {
        plan,
        network: Network::new(plan, &scenario.ways, seed ^ 0xf0110),
        queue: Queue::new(size, START),
        spec,
        seed,
        make,
        registry,
        machines,
        instances: (0..size).map(|_| None).collect(),
        shown: (0..size).map(shown).collect(),
        commits: Vec::new(),
        connections: 0,
        flows: vec![Default::default(); size],
        counted: Counters::default(),
        actions: Vec::new(),
        events: 0,
    };
    sim.prepare();
    sim.play();
    sim.outcome(seed)
}

impl<R: Reader, F: FnMut(usize) -> R> Sim<'_, R, F> {
    fn prepare(&mut self) {
        let (size, plan) = (self.instances.len(), self.plan);
        for instance in 0..size {
            let chance = (self.seed ^ instance as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16;
            let at = START + chance % SECOND;
            if plan.runs(instance, at) {
                self.queue.push(at, Ev::Begin(instance));
                self.shown[instance].down.insert(0, Span { from: 0, until: at });
            }
            for span in &plan.down[instance] {
                self.queue.push(span.from, Ev::End(instance));
                if span.until < Micros::MAX {
                    self.queue.push(span.until, Ev::Begin(instance));
                }
            }
        }
        for machine in 0..self.machines.len() {
            for span in &plan.down[plan.places.control(machine)] {
                self.queue.push(span.from, Ev::MachineEnds(machine));
            }
        }
        for epoch in plan.epochs().iter().filter(|e| e.from > START) {
            self.queue.push(epoch.from, Ev::Epoch);
        }
        self.queue.push(START + SECOND, Ev::Commit);
    }

    fn measured(&self) -> bool {
        self.plan.measured.holds(self.queue.now())
    }

    /// The second of the measured time that it is.
    fn second(&self) -> Option<usize> {
        let since = self.queue.now().checked_sub(self.plan.measured.from)?;
        Some((since / SECOND) as usize).filter(|_| self.measured())
    }

    fn play(&mut self) {
        let measured = self.plan.measured;
        let mut began = false;
        while let Some(due) = self.queue.pop(measured.until - 1) {
            self.events += 1;
            if self.events > MOST_EVENTS {
                break;
            }
            let now = self.queue.now();
            if !began && now >= measured.from {
                began = true;
                self.instances.iter_mut().flatten().for_each(|d| d.before = d.documents.counters());
            }
            match due {
                Due::Timer(instance) => self.with(instance, |d, now, actions| d.tick(now, actions)),
                Due::Event(ev) => self.happen(now, ev),
            }
        }
    }

    fn happen(&mut self, now: Micros, ev: Ev) {
        match ev {
            Ev::Begin(instance) => self.begin(now, instance),
            Ev::End(instance) => self.end(now, instance),
            Ev::MachineEnds(machine) => self.machines[machine].end(),
            Ev::Epoch => self.epoch(now),
            Ev::Commit => self.commit(now),
            Ev::Apply(machine, revision) => self.apply(machine, revision),
            Ev::ReadAt(machine, life) => self.read_at(now, machine, life),
            Ev::ReadBack(machine, life, index) => self.read_back(now, machine, life, index),
            Ev::ReadAgain(machine, life) => {
                if self.machines[machine].life == life {
                    self.machines[machine].take_back();
                    self.read(now, machine);
                }
            }
            Ev::Accepted(machine, id, instance) => self.machines[machine].accept(id, instance),
            Ev::Dialed(instance, id) => {
                let Some(c) = self.connection(instance, id) else { return };
                let name = c.name;
                if self.measured() {
                    self.flows[instance][0].bytes += cost::HANDSHAKE_UP;
                    self.flows[instance][1].bytes += cost::HANDSHAKE_DOWN;
                }
                self.with(instance, |d, now, actions| d.dialed(now, name, actions));
            }
            Ev::Up(machine, id, instance, up) => self.serve(now, machine, id, instance, up),
            Ev::Down(instance, id, machine, down) => {
                if self.connection(instance, id).is_none() {
                    // Whoever does not know the connection says so, if it runs at all.
                    if self.instances[instance].is_some() {
                        let at = now + self.network.way(instance, self.plan.places.control(machine));
                        self.queue.push(at, Ev::Closed(machine, id));
                    }
                    return;
                }
                self.with(instance, |d, now, actions| match down {
                    Down::Message(call, bytes, ends) => {
                        d.message_received(now, call, &bytes, actions);
                        if ends {
                            d.call_ended(now, call, Status::new(0, ""), actions);
                        }
                    }
                    Down::Refused(call, code, why) => {
                        d.call_ended(now, call, Status::new(code, why), actions)
                    }
                });
            }
            Ev::Closed(machine, id) => drop(self.machines[machine].links.remove(&id)),
            Ev::Lost(instance, id) => {
                let Some(c) = self.connection(instance, id) else { return };
                let name = c.name;
                if let Some(d) = &mut self.instances[instance] {
                    d.connection = None;
                }
                self.with(instance, |d, now, actions| d.lost(now, name, actions));
            }
        }
    }

    // ---- instances ----

    fn connection(&mut self, instance: usize, id: u64) -> Option<&mut Connection> {
        self.instances[instance].as_mut()?.connection.as_mut().filter(|c| c.id == id)
    }

    fn begin(&mut self, now: Micros, instance: usize) {
        if self.instances[instance].is_some() {
            return;
        }
        let seed = self.seed ^ now << 20 ^ instance as u64;
        let prompt = || {
            let log = settings();
            Settings::fast_detection(
                self.machines.len(),
                &format!("{PREFIX}{ENTRIES}"),
                log.check_interval,
                log.check_timeout,
            )
        };
        let usual = || Settings {
            check_interval: self.spec.check_ms * 1_000,
            answer_timeout: self.spec.answer_ms * 1_000,
            check_timeout: self.spec.silence_ms * 1_000,
            page_size: self.spec.page as i64,
            ..Settings::new(self.machines.len(), PREFIX)
        };
        let settings = if self.spec.purge_log { prompt() } else { usual() };
        self.instances[instance] = Some(Proxy {
            documents: Documents::new(settings, seed, now),
            reader: (self.make)(instance),
            connection: None,
            revision: 0,
            strict_since: None,
            before: Counters::default(),
        });
        self.shown[instance].steps.push(Step { at: now, revision: 0 });
        self.with(instance, |d, now, actions| d.tick(now, actions));
    }

    /// Without a word: its connections stay open at the machines until they notice.
    fn end(&mut self, now: Micros, instance: usize) {
        let Some(ended) = self.instances[instance].take() else { return };
        self.queue.unset(instance);
        self.count(&ended);
        self.note_strict(instance, ended.strict_since, now);
    }

    fn note_strict(&mut self, instance: usize, since: Option<Micros>, until: Micros) {
        if let Some(from) = since {
            self.shown[instance].strict.push(Span { from, until });
        }
    }

    fn count(&mut self, instance: &Proxy<R>) {
        let (now, before) = (instance.documents.counters(), instance.before);
        self.counted.dials += now.dials - before.dials;
        self.counted.lost += now.lost - before.lost;
        self.counted.lists += now.lists - before.lists;
        self.counted.changes += now.changes - before.changes;
    }

    /// Lets something happen to an instance's core, carries out what it asks for, and sees what it shows then.
    fn with(&mut self, instance: usize, what: impl FnOnce(&mut Documents, Micros, &mut Vec<Action>)) {
        let now = self.queue.now();
        let Some(d) = &mut self.instances[instance] else { return };
        let mut actions = std::mem::take(&mut self.actions);
        what(&mut d.documents, now, &mut actions);
        let shows = d.reader.turn(now, &mut d.documents);
        let next = d.documents.next_due().min(d.reader.next());
        if shows.revision != d.revision {
            d.revision = shows.revision;
            self.shown[instance].steps.push(Step { at: now, revision: shows.revision });
        }
        match (shows.vouched, d.strict_since) {
            (false, None) => d.strict_since = Some(now),
            (true, Some(from)) => {
                d.strict_since = None;
                self.shown[instance].strict.push(Span { from, until: now });
            }
            _ => {}
        }
        self.queue.set(instance, next);
        for action in actions.drain(..) {
            self.carry_out(now, instance, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, now: Micros, instance: usize, action: Action) {
        match action {
            Action::Dial { connection: link, endpoint } => self.dial(now, instance, link, endpoint),
            Action::Disconnect { connection: link } => {
                let Some(d) = &mut self.instances[instance] else { return };
                let Some(c) = d.connection.take_if(|c| c.name == link) else { return };
                let machine = self.plan.places.control(c.machine);
                if let Sent::Comes(at) = self.network.segment(now, instance, machine) {
                    self.queue.push(at.max(c.last), Ev::Closed(c.machine, c.id));
                }
            }
            Action::Call { call, rpc: Rpc::Range(request) } => {
                let bytes = request.encoded_len();
                self.say(now, instance, Up::Range(call, request), bytes, Some(0));
            }
            Action::Call { call, rpc: Rpc::Watch(request) } => {
                let bytes = request.encoded_len();
                let from = match request.request {
                    Some(watch_request::Request::Create(c)) => c.start_revision,
                    _ => return,
                };
                self.say(now, instance, Up::Watch(call, from), bytes, Some(1));
            }
            Action::Send { request, .. } => {
                self.say(now, instance, Up::Progress, request.encoded_len(), None);
            }
            // Nobody here changes documents, so no other calls are made, and none to be given up.
            Action::Call { .. } | Action::Cancel { .. } | Action::Notify(_) => {}
        }
    }

    fn dial(&mut self, now: Micros, instance: usize, name: u64, machine: usize) {
        self.connections += 1;
        let id = self.connections;
        let Some(d) = &mut self.instances[instance] else { return };
        d.connection = Some(Connection { id, name, machine, last: now, broken: false, paths: [false; 2] });
        // What is lost here would be sent again after a second, when the core has given the dial up.
        let there = self.plan.places.control(machine);
        let Some(at) = self.network.opening(now, instance, there) else { return };
        if !self.plan.runs(there, at) {
            return;
        }
        self.queue.push(at, Ev::Accepted(machine, id, instance));
        if let Some(back) = self.network.opening(at, there, instance) {
            self.queue.push(back, Ev::Dialed(instance, id));
        }
    }

    /// Sends something up; `path`: it begins a call of this path.
    fn say(&mut self, now: Micros, instance: usize, up: Up, bytes: usize, path: Option<usize>) {
        let measured = self.measured();
        let Some(d) = &mut self.instances[instance] else { return };
        let Some(c) = d.connection.as_mut().filter(|c| !c.broken) else { return };
        let cost = match path {
            Some(path) => cost::begin(bytes, !std::mem::replace(&mut c.paths[path], true)),
            None => cost::message(bytes),
        };
        let (id, machine) = (c.id, c.machine);
        if measured {
            self.flows[instance][0].messages += 1;
            self.flows[instance][0].bytes += cost;
        }
        match self.network.segment(now, instance, self.plan.places.control(machine)) {
            Sent::Comes(at) => {
                c.last = c.last.max(at);
                let at = c.last;
                self.queue.push(at, Ev::Up(machine, id, instance, up));
            }
            Sent::Breaks(at) => {
                c.broken = true;
                self.queue.push(at, Ev::Lost(instance, id));
            }
        }
        let second = self.second();
        self.machines[machine].heard(second, cost);
    }

    // ---- control machines ----

    fn commit(&mut self, now: Micros) {
        let next = now + SECOND / self.spec.commits_per_s;
        self.queue.push(next, Ev::Commit);
        let epoch = self.plan.epoch(now);
        let Some(leader) = epoch.leader else { return };
        let revision = self.registry.commit(unix_ms(now));
        self.commits.push(Commit { revision, at: now });
        for machine in (0..self.machines.len()).filter(|&m| epoch.serves[m]) {
            self.replicate(now, leader, machine, revision);
        }
    }

    fn replicate(&mut self, now: Micros, leader: usize, machine: usize, revision: i64) {
        let places = &self.plan.places;
        let comes = if leader == machine {
            now
        } else {
            match self.network.segment(now, places.control(leader), places.control(machine)) {
                Sent::Comes(at) => at,
                // It learns of it with a later one.
                Sent::Breaks(_) => return,
            }
        };
        let [least, most] = self.spec.apply_ms;
        let apply = self.network.between(least, most) + self.plan.lag(machine, now);
        let m = &mut self.machines[machine];
        m.last_apply = m.last_apply.max(comes + apply);
        self.queue.push(m.last_apply, Ev::Apply(machine, revision));
    }

    /// Those that reach a leader again catch up, and reads that waited for one go on.
    fn epoch(&mut self, now: Micros) {
        let epoch = self.plan.epoch(now);
        let Some(leader) = epoch.leader else { return };
        for machine in (0..self.machines.len()).filter(|&m| epoch.serves[m]) {
            self.replicate(now, leader, machine, self.registry.revision());
            if self.machines[machine].reading.is_none() {
                self.read(now, machine);
            }
        }
    }

    fn apply(&mut self, machine: usize, revision: i64) {
        let was = self.machines[machine].applied;
        if revision <= was || !self.plan.runs(self.plan.places.control(machine), self.queue.now()) {
            return;
        }
        self.machines[machine].applied = revision;
        let shared = self.registry.changes(machine, was + 1, revision);
        let mut told = Vec::with_capacity(self.machines[machine].links.len());
        for (&id, link) in &mut self.machines[machine].links {
            let Some((call, next)) = &mut link.watch else { continue };
            if *next <= revision {
                // Only a watch that was made for later lacks some of them.
                let own = (*next > was + 1).then_some(*next);
                told.push((id, *call, own));
                *next = revision + 1;
            }
        }
        for (id, call, own) in told {
            let bytes = own.map_or_else(|| shared.clone(), |n| self.registry.changes(machine, n, revision));
            self.tell(machine, id, Down::Message(call, bytes, false));
        }
        for (id, call, request) in self.machines[machine].ready() {
            self.answer(machine, id, call, &request);
        }
    }

    fn serve(&mut self, now: Micros, machine: usize, id: u64, instance: usize, up: Up) {
        let control = self.plan.places.control(machine);
        if !self.plan.runs(control, now) {
            return;
        }
        if !self.machines[machine].links.contains_key(&id) {
            let at = now + self.network.way(control, instance);
            return self.queue.push(at, Ev::Lost(instance, id));
        }
        let applied = self.machines[machine].applied;
        match up {
            Up::Range(call, request) => {
                self.machines[machine].pending.push((id, call, request));
                if self.machines[machine].reading.is_none() {
                    self.read(now, machine);
                }
            }
            Up::Watch(call, from) => {
                if let Some(link) = self.machines[machine].links.get_mut(&id) {
                    link.watch = Some((call, from.max(applied + 1)));
                }
                let created = self.registry.created(machine, applied);
                self.tell(machine, id, Down::Message(call, created, false));
                if from <= applied {
                    let changes = self.registry.changes(machine, from, applied);
                    self.tell(machine, id, Down::Message(call, changes, false));
                }
            }
            Up::Progress => {
                let watch = self.machines[machine].links.get(&id).and_then(|l| l.watch);
                let Some((call, _)) = watch else { return };
                let bytes = self.machines[machine].progress(|| self.registry.progress(machine, applied));
                self.tell(machine, id, Down::Message(call, bytes, false));
            }
        }
    }

    /// Asks the leader how far it is, for all reads that wait.
    fn read(&mut self, now: Micros, machine: usize) {
        let epoch = self.plan.epoch(now);
        let Some(leader) = epoch.leader.filter(|_| epoch.serves[machine]) else { return };
        if self.machines[machine].pending.is_empty() {
            return;
        }
        let life = self.machines[machine].begin_read();
        let places = &self.plan.places;
        let asked = if leader == machine {
            Sent::Comes(now)
        } else {
            self.network.segment(now, places.control(machine), places.control(leader))
        };
        match asked {
            Sent::Comes(at) => self.queue.push(at, Ev::ReadAt(machine, life)),
            Sent::Breaks(_) => self.queue.push(now + AGAIN, Ev::ReadAgain(machine, life)),
        }
    }

    fn read_at(&mut self, now: Micros, machine: usize, life: u32) {
        let Some(leader) = self.plan.epoch(now).leader else {
            return self.queue.push(now + AGAIN, Ev::ReadAgain(machine, life));
        };
        let places = &self.plan.places;
        let asked = now + self.network.quorum(leader);
        let back = if leader == machine {
            Sent::Comes(asked)
        } else {
            self.network.segment(asked, places.control(leader), places.control(machine))
        };
        match back {
            Sent::Comes(at) => {
                self.queue.push(at, Ev::ReadBack(machine, life, self.registry.revision()));
            }
            Sent::Breaks(_) => self.queue.push(now + AGAIN, Ev::ReadAgain(machine, life)),
        }
    }

    fn read_back(&mut self, now: Micros, machine: usize, life: u32, index: i64) {
        if self.machines[machine].life != life {
            return;
        }
        self.machines[machine].wait_for(index);
        for (id, call, request) in self.machines[machine].ready() {
            self.answer(machine, id, call, &request);
        }
        self.read(now, machine);
    }

    fn answer(&mut self, machine: usize, id: u64, call: u64, request: &RangeRequest) {
        let applied = self.machines[machine].applied;
        let down = if request.count_only {
            let bytes = self.machines[machine].count(|| self.registry.count(machine, applied));
            Down::Message(call, bytes, true)
        } else {
            match self.registry.page(request, machine, applied) {
                Ok(bytes) => Down::Message(call, bytes, true),
                Err((code, why)) => Down::Refused(call, code, why),
            }
        };
        self.tell(machine, id, down);
    }

    /// Sends something down a connection.
    fn tell(&mut self, machine: usize, id: u64, down: Down) {
        let (now, second) = (self.queue.now(), self.second());
        let Some(link) = self.machines[machine].links.get_mut(&id).filter(|l| !l.broken) else { return };
        let instance = link.instance;
        let cost = match &down {
            Down::Message(_, bytes, true) => cost::answer(bytes.len()),
            Down::Message(_, bytes, false) => cost::message(bytes.len()),
            Down::Refused(..) => cost::refusal(),
        };
        match self.network.segment(now, self.plan.places.control(machine), instance) {
            Sent::Comes(at) => {
                link.last = link.last.max(at);
                let at = link.last;
                self.queue.push(at, Ev::Down(instance, id, machine, down));
            }
            Sent::Breaks(at) => {
                link.broken = true;
                self.queue.push(at, Ev::Closed(machine, id));
            }
        }
        self.machines[machine].told(second, cost);
        if second.is_some() {
            self.flows[instance][1].messages += 1;
            self.flows[instance][1].bytes += cost;
        }
    }

    // ---- what it came to ----

    fn outcome(mut self, seed: u64) -> Outcome {
        let size = self.instances.len();
        let Span { from, until } = self.plan.measured;
        for instance in 0..size {
            if let Some(d) = self.instances[instance].take() {
                self.count(&d);
                self.note_strict(instance, d.strict_since, until);
            }
        }
        let seconds = ((until - from) / SECOND) as f64;
        let rate = |n: u64| n as f64 / seconds;
        let ran: Vec<[Flow; 2]> =
            (0..size).filter(|&d| self.plan.down[d].is_empty()).map(|d| self.flows[d]).collect();
        let traffic = |way: usize| Traffic {
            messages_per_s: spread(ran.iter().map(|f| rate(f[way].messages)), 0.01),
            bytes_per_s: spread(ran.iter().map(|f| rate(f[way].bytes)), 1.0),
        };
        let machines =
            |of: fn(&Machine) -> u64| -> Spread { spread(self.machines.iter().map(|m| rate(of(m))), 0.01) };
        let peak = |of: fn(&machine::Load) -> u64| {
            self.machines.iter().flat_map(|m| &m.loads).map(of).max().unwrap_or(0)
        };
        let total = |m: &Machine, of: fn(&machine::Load) -> u64| m.loads.iter().map(of).sum::<u64>();
        let control = |messages: fn(&machine::Load) -> u64, bytes: fn(&machine::Load) -> u64| Traffic {
            messages_per_s: spread(self.machines.iter().map(|m| rate(total(m, messages))), 0.01),
            bytes_per_s: spread(self.machines.iter().map(|m| rate(total(m, bytes))), 1.0),
        };
        let records =
            FollowRecords { measured: Some(self.plan.measured), commits: self.commits, shown: self.shown };
        let (in_force, caught_up, missing) = in_force(&records);
        let (strict, strict_instances, strict_most) = strict(&records);
        let figures = FollowFigures {
            size,
            seed,
            seconds: seconds as u64,
            controls: self.machines.len(),
            commits: records.commits.iter().filter(|c| self.plan.measured.holds(c.at)).count() as u64,
            up: traffic(0),
            down: traffic(1),
            control_in: control(|l| l.calls, |l| l.in_bytes),
            control_out: control(|l| l.out, |l| l.out_bytes),
            control_calls_per_s: machines(|m| m.loads.iter().map(|l| l.calls).sum()),
            control_calls_peak: peak(|l| l.calls),
            control_out_peak: peak(|l| l.out),
            control_out_bytes_peak: peak(|l| l.out_bytes),
            control_links_most: self.machines.iter().map(|m| m.most_links).max().unwrap_or(0),
            in_force_ms: in_force,
            caught_up_ms: caught_up,
            missing,
            strict,
            strict_instances,
            strict_most,
            dials: self.counted.dials,
            lost: self.counted.lost,
            lists: self.counted.lists,
            events: self.events,
        };
        let bytes_per_s = self.flows.iter().map(|f| rate(f[0].bytes + f[1].bytes)).collect();
        Outcome { figures, bytes_per_s, records }
    }
}

/// The part of the measured time that instances could not vouch for what they showed, how many there were of those, and
/// how many at the worst moment.
fn strict(records: &FollowRecords) -> (Spread, u64, u64) {
    let (mut parts, mut ends, mut many) = (Gather::new(0.001), Vec::new(), 0);
    let Some(measured) = records.measured else { return Default::default() };
    for shown in &records.shown {
        let inside = |s: &Span| {
            let (from, until) = (s.from.max(measured.from), s.until.min(measured.until));
            (from < until).then_some(Span { from, until })
        };
        let spans = merged(shown.strict.iter().filter_map(inside).collect());
        let sum: Micros = spans.iter().map(|s| s.until - s.from).sum();
        parts.add(sum as f64 / (measured.until - measured.from) as f64);
        many += u64::from(!spans.is_empty());
        ends.extend(spans.iter().flat_map(|s| [(s.from, 1), (s.until, -1)]));
    }
    ends.sort_unstable();
    let at_once = ends.iter().scan(0i64, |sum, e| {
        *sum += e.1;
        Some(*sum)
    });
    (parts.spread(), many, at_once.max().unwrap_or(0) as u64)
}

/// Milliseconds from commits until they were in force, without and with a hindrance meanwhile or shortly before, and
/// how many never were though they should have been.
fn in_force(records: &FollowRecords) -> (Spread, Spread, u64) {
    let (mut clear, mut after, mut missing) = (Gather::new(0.001), Gather::new(0.001), 0);
    let Some(measured) = records.measured else { return Default::default() };
    for shown in &records.shown {
        let hindered = merged(shown.down.iter().chain(&shown.cut_off).copied().collect());
        let mut steps = shown.steps.iter().peekable();
        for commit in records.commits.iter().filter(|c| measured.holds(c.at)) {
            while steps.next_if(|s| s.revision < commit.revision || s.at < commit.at).is_some() {}
            let last = steps.peek().map_or(measured.until, |s| s.at);
            let after_it = |h: &&Span| h.from <= last && commit.at < h.until.saturating_add(RETURN);
            let hindrance = hindered.iter().rev().find(after_it);
            match (steps.peek(), hindrance) {
                (Some(step), None) => clear.add((step.at - commit.at) as f64 / 1_000.0),
                (Some(step), Some(h)) => {
                    after.add(step.at.saturating_sub(h.until.max(commit.at)) as f64 / 1_000.0)
                }
                (None, h) => {
                    let until = h.map_or(commit.at, |h| h.until.max(commit.at));
                    missing += u64::from(until.saturating_add(TAIL) < measured.until);
                }
            }
        }
    }
    (clear.spread(), after.spread(), missing)
}
