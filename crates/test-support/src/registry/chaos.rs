//! Sessions, a list each, and a registry of several members in virtual time, with everything that can go wrong drawn
//! from a seed. The checks read what the registry committed and what the lists let through, and nothing else.

use super::store::{Refused, Store};
use larchdale::config::product::RegistrySettings as Settings;
use larchdale::endpoints::{EndpointList, Entry};
use larchdale::registry::answers::Decoder;
use larchdale::registry::keys::range_end;
use larchdale::registry::messages::{RangeRequest, WatchResponse};
use larchdale::registry::record::{Names, State, StoredRecord};
use larchdale::registry::session::{Action, Notice, Session, Update};
use larchdale::registry::status::Status;
use larchdale::routing::events::{EndpointState, Role};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const PREFIX: &str = "/larchdale/chaos/";
/// Members of the registry.
pub const MEMBERS: usize = 3;
/// While the connection stands, or from when the registry answers again.
const PROMISED: u64 = S;
/// After silence, if another endpoint answers.
const PROMISED_SILENT: u64 = 2 * S;

/// What is drawn.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Sessions.
    pub sessions: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// How long things go wrong.
    pub span: u64,
    /// In place of drawn faults: the whole registry is away from one moment to another, and only the tries and
    /// the return are looked at.
    pub away: Option<(u64, u64)>,
}

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// What was broken, if anything.
    pub broken: Vec<String>,
    /// From a commit, or from when it could be heard, to the moment that a list closed the endpoint; microseconds.
    pub delays: Vec<u64>,
    /// Lists that were taken.
    pub lists: u64,
    /// Lists begun anew for compaction, distrust or restores.
    pub recoveries: u64,
    /// Faults that were caused.
    pub faults: u64,
    /// When sessions dialed.
    pub dials: Vec<u64>,
    /// When, at the end, all sessions followed the registry again.
    pub current: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Good,
    Down,
    /// Nothing passes, connections stay open.
    Stalled,
    /// Has applied up to a revision; answers that need the present wait, as the interface promises.
    Behind(i64),
    /// The same, but it breaks that promise.
    Lies(i64),
}

enum Ev {
    Wake(usize),
    /// A dial ends at a member.
    Dialed(usize, u64),
    /// Something arrives at the member at the other end of a link.
    Up(usize, u64, Request),
    /// Something arrives at a session.
    Down(usize, u64, Answer),
    Commit,
    Fault,
    Heal(usize),
    Away,
    Cut,
    Compact,
}

#[derive(Clone)]
enum Request {
    Range(u64, RangeRequest),
    Watch(i64, i64),
    Unwatch(i64),
    Progress,
}

enum Answer {
    Range(u64, Vec<u8>, bool, Result<larchdale::registry::messages::RangeResponse, Refused>),
    Watch(WatchResponse),
}

struct Link {
    name: u64,
    member: usize,
    open: bool,
    /// When it was open to a member that was good.
    heard_from: u64,
    /// When the last thing arrives on it, each way: order is kept.
    last: u64,
    watches: Vec<(i64, i64)>,
}

struct Peer {
    session: Session,
    list: EndpointList,
    link: Option<Link>,
    wake: u64,
    /// Since when the member it hears from is not good, while all others are.
    silent: Option<u64>,
    follows: bool,
    /// By endpoint, the commit that its list has closed it for.
    closed: BTreeMap<usize, i64>,
}

/// What the registry last said of an endpoint.
#[derive(Clone, Copy)]
struct Word {
    at: u64,
    revision: i64,
    open: bool,
}

struct World {
    now: u64,
    rng: Pcg32,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Ev>>,
    store: Store,
    health: [Health; MEMBERS],
    good_since: [u64; MEMBERS],
    held: Vec<(usize, u64, Request)>,
    peers: Vec<Peer>,
    words: Vec<Word>,
    ids: Vec<String>,
    reader: Decoder,
    plan: Plan,
    end: u64,
    out: Outcome,
}

fn settings() -> Settings {
    let at = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    Settings { page_size: 7, ..Settings::new((1..=MEMBERS as u16).map(at).collect(), PREFIX) }
}

fn id(endpoint: usize) -> String {
    format!("box-{endpoint:03}")
}

fn key(endpoint: usize) -> Vec<u8> {
    format!("{PREFIX}{}", id(endpoint)).into_bytes()
}

/// Plays one plan to its end.
pub fn run(plan: &Plan) -> Outcome {
    let names = Names { kinds: vec!["box".to_owned()], zones: vec!["here".to_owned()] };
    let reader = Decoder { prefix: PREFIX.to_owned(), names, max_value_bytes: 4096 };
    let mut rng = Pcg32::seed_from_u64(plan.seed);
    let peer = |n: usize| Peer {
        session: Session::new(settings(), plan.seed.wrapping_mul(31) + n as u64, S),
        list: EndpointList::new(10_000),
        link: None,
        wake: 0,
        silent: None,
        follows: false,
        closed: BTreeMap::new(),
    };
    let mut world = World {
        now: S,
        queue: BinaryHeap::new(),
        events: Vec::new(),
        store: Store::new(rng.random()),
        health: [Health::Good; MEMBERS],
        good_since: [0; MEMBERS],
        held: Vec::new(),
        peers: (0..plan.sessions).map(peer).collect(),
        words: Vec::new(),
        ids: (0..plan.endpoints).map(id).collect(),
        reader,
        plan: plan.clone(),
        end: S + plan.span,
        out: Outcome::default(),
        rng,
    };
    for endpoint in 0..plan.endpoints {
        world.words.push(Word { at: S, revision: 0, open: true });
        world.write(endpoint, Some(State::Ready));
    }
    for peer in 0..plan.sessions {
        world.at(S, Ev::Wake(peer));
    }
    match plan.away {
        Some((from, to)) => {
            world.at(from, Ev::Away);
            (0..MEMBERS).for_each(|m| world.at(to, Ev::Heal(m)));
        }
        None => {
            for first in [Ev::Commit, Ev::Fault, Ev::Cut, Ev::Compact] {
                let at = S + world.rng.random_range(0..S);
                world.at(at, first);
            }
        }
    }
    world.play();
    world.out
}

impl World {
    fn at(&mut self, at: u64, event: Ev) {
        self.events.push(Some(event));
        self.queue.push(Reverse((at, self.events.len() as u64, self.events.len() - 1)));
    }

    fn after(&mut self, least: u64, most: u64, event: Ev) {
        let at = self.now + self.rng.random_range(least..=most);
        if at < self.end {
            self.at(at, event);
        }
    }

    fn play(&mut self) {
        // All is well from the end of the faults on; then every list must be current.
        let last = self.end + 15 * S;
        let mut healed = false;
        while let Some(Reverse((at, _, index))) = self.queue.pop() {
            if at > last {
                break;
            }
            if at >= self.end && !std::mem::replace(&mut healed, true) {
                self.now = self.end;
                (0..MEMBERS).for_each(|m| self.heal(m));
            }
            self.now = at;
            if let Some(event) = self.events[index].take() {
                self.happen(event);
            }
            if self.plan.away.is_none() {
                self.check();
            }
        }
        self.out.broken.truncate(5);
        for peer in 0..self.peers.len() {
            self.out.lists += self.peers[peer].session.counters().lists;
            for endpoint in 0..self.plan.endpoints {
                let takes = self.peers[peer].list.accepts_requests(&self.ids[endpoint]);
                if takes != self.words[endpoint].open {
                    self.broken(format!("at the end session {peer} has box {endpoint} as {takes}"));
                }
            }
        }
    }

    fn broken(&mut self, what: String) {
        let line = format!("seed {}: at {} ms: {what}", self.plan.seed, self.now / MS);
        self.out.broken.push(line);
    }

    fn happen(&mut self, event: Ev) {
        match event {
            Ev::Wake(peer) => {
                if self.peers[peer].wake <= self.now {
                    self.peers[peer].wake = u64::MAX;
                }
                self.with(peer, |s, now, actions| s.tick(now, actions));
            }
            Ev::Dialed(peer, name) => {
                let Some(link) = self.peers[peer].link.as_mut().filter(|l| l.name == name) else { return };
                match self.health[link.member] {
                    Health::Down => {
                        self.peers[peer].link = None;
                        self.with(peer, |s, now, actions| s.lost(now, name, actions));
                    }
                    health => {
                        link.open = true;
                        link.heard_from = if health == Health::Good { self.now } else { u64::MAX };
                        self.with(peer, |s, now, actions| s.dialed(now, name, actions));
                    }
                }
            }
            Ev::Up(peer, name, request) => self.serve(peer, name, request),
            Ev::Down(peer, name, answer) => {
                if self.peers[peer].link.as_ref().is_some_and(|l| l.name == name) {
                    self.hear(peer, answer);
                }
            }
            Ev::Commit => {
                let endpoint = self.rng.random_range(0..self.plan.endpoints);
                let to = match self.rng.random_range(0..10) {
                    0..4 => Some(State::Draining),
                    4..6 => None,
                    _ => Some(State::Ready),
                };
                self.write(endpoint, to);
                self.push_all();
                self.after(0, 120 * MS, Ev::Commit);
            }
            Ev::Fault => {
                self.out.faults += 1;
                let member = self.rng.random_range(0..MEMBERS);
                let revision = self.store.revision;
                let health = match self.rng.random_range(0..10) {
                    0..3 => Health::Down,
                    3..6 => Health::Stalled,
                    6..9 => Health::Behind(revision),
                    _ => Health::Lies(revision),
                };
                self.spoil(member, health);
                self.after(10 * MS, 4 * S, Ev::Heal(member));
                if self.rng.random_bool(0.15) {
                    // The registry as a whole.
                    for other in 0..MEMBERS {
                        self.spoil(other, Health::Down);
                        self.after(100 * MS, 4 * S, Ev::Heal(other));
                    }
                }
                self.after(0, 3 * S, Ev::Fault);
            }
            Ev::Heal(member) => self.heal(member),
            Ev::Away => (0..MEMBERS).for_each(|m| self.spoil(m, Health::Down)),
            Ev::Cut => {
                let peer = self.rng.random_range(0..self.peers.len());
                self.cut(peer);
                self.after(0, 2 * S, Ev::Cut);
            }
            Ev::Compact => {
                self.store.compact(self.store.revision);
                self.after(0, S, Ev::Compact);
            }
        }
    }

    // ---- what goes wrong ----

    fn spoil(&mut self, member: usize, health: Health) {
        if self.health[member] != Health::Good {
            return;
        }
        self.health[member] = health;
        let now = self.now;
        let others_good = self.health.iter().filter(|h| **h != Health::Good).count() == 1;
        for peer in &mut self.peers {
            let here = peer.link.as_ref().is_some_and(|l| l.open && l.member == member)
                && peer.session.is_watching();
            if !others_good {
                peer.silent = None;
            } else if here && matches!(health, Health::Stalled | Health::Behind(_)) {
                peer.silent = Some(now);
            }
        }
        if health == Health::Down {
            for peer in 0..self.peers.len() {
                if self.peers[peer].link.as_ref().is_some_and(|l| l.open && l.member == member) {
                    self.cut(peer);
                }
            }
        }
    }

    fn heal(&mut self, member: usize) {
        if self.health[member] == Health::Good {
            return;
        }
        self.health[member] = Health::Good;
        self.good_since[member] = self.now;
        for peer in &mut self.peers {
            if let Some(link) = peer.link.as_mut().filter(|l| l.open && l.member == member) {
                link.heard_from = self.now;
                peer.silent = None;
            }
        }
        for (peer, name, request) in std::mem::take(&mut self.held) {
            self.serve(peer, name, request);
        }
        self.push_all();
    }

    fn cut(&mut self, peer: usize) {
        let Some(link) = self.peers[peer].link.take() else { return };
        // From a break on it counts when the registry answers again.
        self.peers[peer].silent = None;
        self.with(peer, |s, now, actions| s.lost(now, link.name, actions));
    }

    fn write(&mut self, endpoint: usize, to: Option<State>) {
        match to {
            Some(state) => {
                let record = StoredRecord {
                    address: ([127, 0, 0, 1], 1 + endpoint as u16).into(),
                    kind: "box".to_owned(),
                    zone: "here".to_owned(),
                    state,
                    cell: 0,
                    weight: 1.0,
                    started_ms: 1,
                };
                let value = serde_json::to_vec(&record).unwrap_or_default();
                self.store.put(&key(endpoint), &value, 0);
            }
            None => drop(self.store.delete(&key(endpoint))),
        }
        let open = to == Some(State::Ready);
        if self.words[endpoint].open != open || self.words[endpoint].revision == 0 {
            self.words[endpoint] = Word { at: self.now, revision: self.store.revision, open };
        }
    }

    // ---- the members ----

    fn applied(&self, member: usize) -> i64 {
        match self.health[member] {
            Health::Behind(r) | Health::Lies(r) => r.min(self.store.revision),
            _ => self.store.revision,
        }
    }

    fn serve(&mut self, peer: usize, name: u64, request: Request) {
        let Some(link) = self.peers[peer].link.as_mut().filter(|l| l.name == name) else { return };
        let member = link.member;
        let waits = match (self.health[member], &request) {
            (Health::Stalled, _) => true,
            // Reads of the present wait until the member has caught up.
            (Health::Behind(_), Request::Range(_, r)) => r.revision == 0,
            _ => false,
        };
        if waits {
            return self.held.push((peer, name, request));
        }
        let applied = self.applied(member);
        let header = self.store.header(member as u64, applied);
        match request {
            Request::Range(call, r) => {
                let answer = self.store.range(&r, member as u64, applied);
                self.tell(peer, Answer::Range(call, r.key, r.count_only, answer));
            }
            Request::Watch(id, next) => {
                let link = self.peers[peer].link.as_mut();
                link.into_iter().for_each(|l| l.watches.push((id, next)));
                let made = WatchResponse { header, watch_id: id, created: true, ..WatchResponse::default() };
                self.tell(peer, Answer::Watch(made));
                self.push(peer);
            }
            Request::Unwatch(id) => {
                let link = self.peers[peer].link.as_mut();
                link.into_iter().for_each(|l| l.watches.retain(|w| w.0 != id));
                let over = WatchResponse { header, watch_id: id, canceled: true, ..WatchResponse::default() };
                self.tell(peer, Answer::Watch(over));
            }
            Request::Progress => {
                self.push(peer);
                self.tell(
                    peer,
                    Answer::Watch(WatchResponse { header, watch_id: -1, ..WatchResponse::default() }),
                );
            }
        }
    }

    fn push_all(&mut self) {
        (0..self.peers.len()).for_each(|peer| self.push(peer));
    }

    /// Tells a session's watches what they lack.
    fn push(&mut self, peer: usize) {
        let Some(link) = self.peers[peer].link.as_mut().filter(|l| l.open) else { return };
        let member = link.member;
        if self.health[member] == Health::Stalled {
            return;
        }
        let watches = std::mem::take(&mut link.watches);
        let applied = self.applied(member);
        let header = self.store.header(member as u64, applied);
        let mut left = Vec::new();
        for (id, next) in watches {
            let base = WatchResponse { header, watch_id: id, ..WatchResponse::default() };
            let events = match self.store.changes(PREFIX.as_bytes(), next, applied) {
                Ok(events) => events,
                Err(compact_revision) => {
                    self.tell(
                        peer,
                        Answer::Watch(WatchResponse { canceled: true, compact_revision, ..base }),
                    );
                    continue;
                }
            };
            let size = if self.rng.random_bool(0.2) { 1 } else { 100 };
            let parts = events.chunks(size).count();
            for (n, part) in events.chunks(size).enumerate() {
                let answer = WatchResponse { events: part.to_vec(), fragment: n + 1 < parts, ..base.clone() };
                if self.rng.random_bool(0.1) {
                    self.tell(peer, Answer::Watch(answer.clone()));
                }
                self.tell(peer, Answer::Watch(answer));
            }
            left.push((id, next.max(applied + 1)));
        }
        if let Some(link) = &mut self.peers[peer].link {
            link.watches = left;
        }
    }

    fn tell(&mut self, peer: usize, answer: Answer) {
        let delay = self.rng.random_range(100..20 * MS);
        let Some(link) = &mut self.peers[peer].link else { return };
        link.last = link.last.max(self.now + delay);
        let (at, name) = (link.last, link.name);
        self.at(at, Ev::Down(peer, name, answer));
    }

    // ---- the sessions ----

    fn hear(&mut self, peer: usize, answer: Answer) {
        match answer {
            Answer::Range(call, _, _, Err((code, text))) => {
                let status = Status::new(code, text);
                self.with(peer, |s, now, actions| s.call_failed(now, call, status, actions));
            }
            Answer::Range(call, from, count_only, Ok(r)) => match self.reader.page(&r, &from) {
                Ok(p) if count_only => {
                    self.with(peer, |s, now, a| s.count_received(now, call, p.header, p.count, a))
                }
                Ok(p) => self.with(peer, |s, now, actions| s.page_received(now, call, p, actions)),
                Err(e) => self.broken(format!("the store's page can't be read: {e}")),
            },
            Answer::Watch(w) => match self.reader.watch_message(&w) {
                Ok(said) => self.with(peer, |s, now, actions| s.watch_message(now, said, actions)),
                Err(e) => self.broken(format!("the store's change can't be read: {e}")),
            },
        }
    }

    fn with(&mut self, peer: usize, what: impl FnOnce(&mut Session, u64, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        what(&mut self.peers[peer].session, self.now, &mut actions);
        for action in actions {
            self.carry_out(peer, action);
        }
        let Peer { session, list, .. } = &mut self.peers[peer];
        for update in session.take_updates(usize::MAX) {
            match update {
                Update::Removed(id) => list.remove(self.now, &id),
                Update::Unreadable(id) => list.close(self.now, &id),
                Update::Put { id, endpoint, process, .. } => {
                    let listed = match endpoint.state {
                        State::Ready => EndpointState::Healthy,
                        State::Draining => EndpointState::Draining,
                    };
                    let entry = Entry {
                        id,
                        address: endpoint.address,
                        state: listed,
                        role: Role::Cache,
                        zone: 0,
                        cell: 0,
                        kind: 0,
                        weight: 1.0,
                        started_at: 0,
                        incarnation: process,
                    };
                    let _ = list.upsert(self.now, entry);
                }
            }
        }
        list.take_changes(usize::MAX, &mut Vec::new());
        let follows = self.peers[peer].session.is_watching();
        if follows && !std::mem::replace(&mut self.peers[peer].follows, true) {
            self.out.current = self.now;
        }
        self.peers[peer].follows = follows;
        let next = self.peers[peer].session.next_due().max(self.now + 1);
        if next < self.peers[peer].wake {
            self.peers[peer].wake = next;
            self.at(next, Ev::Wake(peer));
        }
    }

    fn ask(&mut self, peer: usize, request: Request) {
        let delay = self.rng.random_range(100..5 * MS);
        let Some(link) = &mut self.peers[peer].link else { return };
        link.last = link.last.max(self.now + delay);
        let (at, name) = (link.last, link.name);
        self.at(at, Ev::Up(peer, name, request));
    }

    fn carry_out(&mut self, peer: usize, action: Action) {
        match action {
            Action::Dial { connection: link, endpoint } => {
                self.out.dials.push(self.now);
                let (name, member, last) = (link, endpoint, self.now);
                let heard_from = u64::MAX;
                let link = Link { name, member, open: false, heard_from, last, watches: Vec::new() };
                self.peers[peer].link = Some(link);
                if self.health[member] != Health::Stalled {
                    let at = self.now + self.rng.random_range(100..10 * MS);
                    self.at(at, Ev::Dialed(peer, name));
                }
            }
            Action::Disconnect { connection: link } => {
                if self.peers[peer].link.as_ref().is_some_and(|l| l.name == link) {
                    self.peers[peer].link = None;
                }
            }
            Action::List { call, from, revision, limit, keys_only } => {
                let r = RangeRequest {
                    key: from,
                    range_end: range_end(PREFIX.as_bytes()),
                    limit: limit as i64,
                    revision: revision as i64,
                    keys_only,
                    ..RangeRequest::default()
                };
                self.ask(peer, Request::Range(call, r));
            }
            Action::Count { call } => {
                let key = PREFIX.as_bytes().to_vec();
                let end = range_end(&key);
                let r = RangeRequest { key, range_end: end, count_only: true, ..RangeRequest::default() };
                self.ask(peer, Request::Range(call, r));
            }
            Action::Watch { watch, revision } => self.ask(peer, Request::Watch(watch, revision as i64)),
            Action::CancelWatch { watch } => self.ask(peer, Request::Unwatch(watch)),
            Action::RequestProgress => self.ask(peer, Request::Progress),
            Action::Notify(notice) => {
                let recovers = matches!(
                    notice,
                    Notice::Compacted { .. } | Notice::Relisting(_) | Notice::Restored { .. }
                );
                self.out.recoveries += u64::from(recovers);
                if matches!(notice, Notice::Restored { .. }) {
                    self.broken(format!(
                        "session {peer} took a registry that lags for one that was restored"
                    ));
                }
            }
        }
    }

    // ---- the promises ----

    fn check(&mut self) {
        let mut broken = Vec::new();
        for (n, peer) in self.peers.iter_mut().enumerate() {
            let link = peer.link.as_ref().filter(|l| l.open && self.health[l.member] == Health::Good);
            if link.is_some() && peer.session.is_watching() {
                peer.silent = None;
            }
            for (endpoint, word) in self.words.iter().enumerate() {
                let takes = peer.list.accepts_requests(&self.ids[endpoint]);
                if word.open {
                    peer.closed.remove(&endpoint);
                    continue;
                }
                if !takes {
                    // It may still be closed for an earlier word, with one that opened it on its way.
                    let heard = peer.session.is_watching() && peer.session.revision() >= word.revision as u64;
                    if heard && peer.closed.insert(endpoint, word.revision) != Some(word.revision) {
                        let from = link.map(|l| l.heard_from.max(word.at));
                        self.out.delays.extend(from.map(|f| self.now.saturating_sub(f)));
                    }
                    continue;
                }
                if peer.closed.get(&endpoint) == Some(&word.revision) {
                    broken
                        .push(format!("session {n} opens box {endpoint} again, closed at {}", word.revision));
                }
                let (from, most) = match (link, peer.silent) {
                    (Some(l), _) => (word.at.max(l.heard_from), PROMISED),
                    (None, Some(silent)) => (word.at.max(silent), PROMISED_SILENT),
                    _ => continue,
                };
                let late = self.now.saturating_sub(from);
                if late > most {
                    broken.push(format!(
                        "session {n} lets work through to box {endpoint} {} ms late",
                        late / MS
                    ));
                }
            }
        }
        for what in broken {
            if self.out.broken.len() < 5 {
                self.broken(what);
            }
        }
    }
}
