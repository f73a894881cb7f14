//! Documents and the planner's lease: the core against a registry in virtual time where everything goes wrong by a
//! seed, and the real driver against the stand-in on loopback. Judged by what the registry committed.
#![cfg(unix)]

use larchdale::net::event_loop::EventLoop;
use larchdale::registry::documents::driver::DocumentsDriver;
use larchdale::registry::documents::{
    Action, Caller, Condition, Documents, DocumentsError, FollowPhase, Notice, Outcome, Reply, Request, Rpc,
    Settings, Transaction,
};
use larchdale::registry::keys::range_end;
use larchdale::registry::lease::{fenced, PLANNER_KEY};
use larchdale::registry::messages::{
    request_op, watch_request, PutRequest, RangeRequest, RequestOp, TxnRequest, TxnResponse, WatchResponse,
};
use larchdale::registry::status::Status;
use larchdale::routing::events::Micros;
use larchdale_test_support::registry::{Fault, Registry, Store};
use prost::Message;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

const PREFIX: &str = "/larchdale/docs/";
const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const MEMBERS: usize = 3;

type State = BTreeMap<String, (Vec<u8>, i64)>;

fn put(key: &str, value: &str) -> Transaction {
    Transaction { puts: vec![(key.to_owned(), value.into())], ..Transaction::default() }
}

enum Up {
    Call(u64, Rpc),
    /// On the watch: how far is it?
    Progress,
}

enum Down {
    Message(u64, Vec<u8>),
    Ended(u64, Status),
}

struct Link {
    name: u64,
    member: usize,
    opens: Option<Micros>,
    stalled: bool,
    up: VecDeque<(Micros, Up)>,
    down: VecDeque<(Micros, Down)>,
    watch: Option<(u64, i64)>,
}

/// A registry and one that follows it.
struct Sim {
    now: Micros,
    rng: Pcg32,
    store: Store,
    /// What was below the prefix at each revision.
    past: BTreeMap<i64, State>,
    lag: [Option<i64>; MEMBERS],
    documents: Documents,
    link: Option<Link>,
    actions: Vec<Action>,
    submitted: u64,
    answers: BTreeMap<u64, Outcome>,
    /// By call, whose transaction it is; and those whose answer was handed over.
    calls: BTreeMap<u64, u64>,
    handed: Vec<u64>,
    shown: i64,
    full: u64,
    /// The last answer on the watch, which may come again late.
    last: Option<WatchResponse>,
}

impl Sim {
    fn new(seed: u64, max_keys: usize) -> Self {
        let settings = Settings { max_keys, page_size: 3, ..Settings::new(MEMBERS, PREFIX) };
        let mut sim = Sim {
            now: S,
            rng: Pcg32::seed_from_u64(seed),
            store: Store::new(7),
            past: BTreeMap::new(),
            lag: [None; MEMBERS],
            documents: Documents::new(settings, seed, S),
            link: None,
            actions: Vec::new(),
            submitted: 0,
            answers: BTreeMap::new(),
            calls: BTreeMap::new(),
            handed: Vec::new(),
            shown: 0,
            full: 0,
            last: None,
        };
        sim.remember();
        sim
    }

    /// Keeps what the store is now.
    fn remember(&mut self) {
        let all = RangeRequest {
            key: PREFIX.into(),
            range_end: range_end(PREFIX.as_bytes()),
            ..RangeRequest::default()
        };
        let kvs = self.store.range(&all, 1, self.store.revision).unwrap().kvs;
        let key = |key: Vec<u8>| String::from_utf8(key).unwrap()[PREFIX.len()..].to_owned();
        let state = kvs.into_iter().map(|kv| (key(kv.key), (kv.value, kv.mod_revision))).collect();
        self.past.insert(self.store.revision, state);
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_ratio(1, one_in)
    }

    fn later(&mut self) -> Micros {
        self.now + self.rng.random_range(0..40) * MS
    }

    /// Something in the registry changes without our doing.
    fn change(&mut self) {
        let key = format!("{PREFIX}k{}", self.rng.random_range(0..8));
        if self.chance(4) {
            self.store.delete(key.as_bytes());
        } else if self.chance(2) {
            self.store.put(key.as_bytes(), b"theirs", 0);
        } else {
            // All as one revision, which must be seen whole.
            let put = |n| {
                let put = PutRequest { key: format!("{PREFIX}k{n}").into(), value: b"all".into(), lease: 0 };
                RequestOp { request: Some(request_op::Request::Put(put)) }
            };
            let txn = TxnRequest { success: (0..8).map(put).collect(), ..TxnRequest::default() };
            assert_eq!(self.store.txn(&txn), Ok(true));
        }
        self.remember();
    }

    fn submit(&mut self) {
        self.submitted += 1;
        let id = self.submitted;
        let key = format!("k{}", self.rng.random_range(0..8));
        let known = self.documents.get(&key).map_or(0, |d| d.mod_revision);
        let mut transaction = put(&key, &format!("#{id}"));
        transaction.compares.push((key, Condition::ModRevision(known)));
        let request = Request::Transaction(transaction, 0);
        if self.documents.submit(self.now, Caller::Owner(id), request, &mut self.actions).is_err() {
            self.submitted -= 1;
        }
    }

    fn cut(&mut self) {
        if let Some(link) = self.link.take() {
            self.documents.lost(self.now, link.name, &mut self.actions);
        }
    }

    fn carry_out(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            let at = self.later();
            match action {
                Action::Dial { connection: link, endpoint } => {
                    let (up, down) = (VecDeque::new(), VecDeque::new());
                    let (name, member, opens) = (link, endpoint, Some(at));
                    self.link = Some(Link { name, member, opens, stalled: false, up, down, watch: None });
                }
                Action::Disconnect { connection: link } => drop(self.link.take_if(|l| l.name == link)),
                Action::Call { call, rpc } => {
                    if let Rpc::Transaction(txn) = &rpc {
                        let Some(request_op::Request::Put(p)) = &txn.success[0].request else {
                            panic!("only puts are sent here")
                        };
                        let id = std::str::from_utf8(&p.value[1..]).unwrap().parse().unwrap();
                        self.calls.insert(call, id);
                    }
                    self.link.iter_mut().for_each(|l| l.up.push_back((at, Up::Call(call, rpc.clone()))));
                }
                Action::Send { .. } => {
                    self.link.iter_mut().for_each(|l| l.up.push_back((at, Up::Progress)));
                }
                Action::Cancel { .. } => {}
                Action::Notify(Notice::Disconnected {
                    error: DocumentsError::TooManyDocuments { .. },
                    ..
                }) => self.full += 1,
                Action::Notify(_) => {}
            }
        }
    }

    /// The member at the other end takes what has arrived, and tells the watch.
    fn serve(&mut self) {
        let Some(mut link) = self.link.take() else { return };
        let applied = self.lag[link.member].unwrap_or(self.store.revision).min(self.store.revision);
        let member = link.member as u64 + 1;
        let header = self.store.header(member, applied);
        let mut down = Vec::new();
        while link.up.front().is_some_and(|u| u.0 <= self.now) {
            match link.up.pop_front().unwrap().1 {
                Up::Call(call, Rpc::Range(r)) => match self.store.range(&r, member, applied) {
                    Ok(answer) => {
                        down.push(Down::Message(call, answer.encode_to_vec()));
                        down.push(Down::Ended(call, Status::new(0, "")));
                    }
                    Err((code, text)) => down.push(Down::Ended(call, Status::new(code, text))),
                },
                Up::Call(call, Rpc::Transaction(txn)) => {
                    let succeeded = self.store.txn(&txn).unwrap();
                    self.remember();
                    let header = self.store.header(member, self.store.revision);
                    down.push(Down::Message(call, TxnResponse { header, succeeded }.encode_to_vec()));
                }
                Up::Call(call, Rpc::Watch(r)) => {
                    let Some(watch_request::Request::Create(c)) = r.request else { panic!("{r:?}") };
                    (link.watch, self.last) = (Some((call, c.start_revision)), None);
                    let made = WatchResponse { header, watch_id: 1, created: true, ..Default::default() };
                    down.push(Down::Message(call, made.encode_to_vec()));
                }
                Up::Call(_, rpc) => panic!("{rpc:?}"),
                Up::Progress => {
                    let Some((call, _)) = link.watch else { continue };
                    down.extend(self.tell(&mut link, applied));
                    let far = WatchResponse { header, watch_id: -1, ..Default::default() };
                    down.push(Down::Message(call, far.encode_to_vec()));
                }
            }
        }
        down.extend(self.tell(&mut link, applied));
        for message in down {
            let at = self.later().max(link.down.back().map_or(0, |d| d.0));
            link.down.push_back((at, message));
        }
        self.link = Some(link);
    }

    /// Changes on the watch: now and then in fragments, or twice.
    fn tell(&mut self, link: &mut Link, applied: i64) -> Vec<Down> {
        let Some((call, next)) = link.watch else { return Vec::new() };
        let header = self.store.header(1, applied);
        let base = WatchResponse { header, watch_id: 1, ..Default::default() };
        let mut told = Vec::new();
        match self.store.changes(PREFIX.as_bytes(), next, applied) {
            Err(compact_revision) => {
                link.watch = None;
                told.push(WatchResponse { canceled: true, compact_revision, ..base });
            }
            Ok(events) => {
                link.watch = Some((call, next.max(applied + 1)));
                let size = if self.chance(3) { 1 } else { 100 };
                let parts = events.chunks(size).count();
                for (n, part) in events.chunks(size).enumerate() {
                    let answer =
                        WatchResponse { events: part.to_vec(), fragment: n + 1 < parts, ..base.clone() };
                    told.extend(vec![answer; 1 + usize::from(self.chance(5))]);
                }
            }
        }
        let (again, before) = (self.chance(50), self.last.take());
        self.last = told.last().filter(|t| !t.canceled).or(before.as_ref()).cloned();
        told.extend(before.filter(|_| again && link.watch.is_some()));
        told.iter().map(|t| Down::Message(call, t.encode_to_vec())).collect()
    }

    fn step(&mut self) {
        self.now += 5 * MS;
        let now = self.now;
        self.documents.tick(now, &mut self.actions);
        self.carry_out();
        if self.link.as_ref().is_some_and(|l| !l.stalled && l.opens.is_none()) {
            self.serve();
            while let Some(down) = self.link.as_mut().and_then(|l| l.down.pop_front_if(|d| d.0 <= now)) {
                match down.1 {
                    Down::Message(call, bytes) => {
                        self.handed.extend(self.calls.get(&call));
                        self.documents.message_received(now, call, &bytes, &mut self.actions);
                    }
                    Down::Ended(call, status) => {
                        self.documents.call_ended(now, call, status, &mut self.actions)
                    }
                }
                self.carry_out();
            }
        }
        if let Some(link) = self.link.as_mut().filter(|l| l.opens.is_some_and(|at| at <= now)) {
            link.opens = None;
            self.documents.dialed(now, link.name, &mut self.actions);
            self.carry_out();
        }
        for (caller, reply) in self.documents.take_replies() {
            let (Caller::Owner(id), Reply::Outcome(answer)) = (caller, reply) else { panic!("{caller:?}") };
            assert_eq!(self.answers.insert(id, answer), None, "one answer each");
            let handed = self.handed.contains(&id);
            match answer {
                Outcome::Committed { .. } | Outcome::CompareFailed => {
                    assert!(handed, "{id}: {answer:?} from nowhere")
                }
                Outcome::Unknown => assert!(!handed, "{id}: its answer came"),
                Outcome::NotSent => assert!(!self.calls.values().any(|c| *c == id), "{id} was sent"),
            }
        }
        let revision = self.documents.revision();
        assert!(revision >= self.shown, "the mirror went back");
        self.shown = revision;
        if revision > 0 {
            assert_eq!(self.mirror(), self.past[&revision], "the mirror shows what never was");
        }
    }

    fn mirror(&self) -> State {
        let document = |(key, d): (&str, &larchdale::registry::documents::Document)| {
            (key.to_owned(), (d.value.clone(), d.mod_revision))
        };
        self.documents.with_prefix("").map(document).collect()
    }

    fn go_wrong(&mut self) {
        if self.chance(40) {
            self.change();
        }
        if self.chance(60) {
            self.submit();
        }
        if self.chance(400) {
            self.cut();
        }
        if self.chance(900) {
            self.link.iter_mut().for_each(|l| l.stalled = true);
        }
        if self.chance(300) {
            let member = self.rng.random_range(0..MEMBERS);
            self.lag[member] = if self.chance(2) { Some(self.store.revision) } else { None };
        }
        if self.chance(200) {
            self.store.compact(self.store.revision);
        }
    }

    /// Nothing goes wrong any more.
    fn calm(&mut self, time: Micros) {
        self.lag = [None; MEMBERS];
        for _ in 0..time / (5 * MS) {
            self.step();
        }
    }
}

#[test]
fn the_mirror_is_always_a_past_state_and_each_transaction_has_one_true_answer() {
    let mut answered: BTreeMap<String, u64> = BTreeMap::new();
    for seed in 0..60 {
        let mut sim = Sim::new(seed, 100);
        for _ in 0..6_000 {
            sim.go_wrong();
            sim.step();
        }
        sim.calm(30 * S);
        assert_eq!(sim.mirror(), sim.past[&sim.store.revision], "seed {seed}: current once all is well");
        assert!(sim.documents.is_current(sim.now), "seed {seed}");
        assert_eq!(sim.answers.len() as u64, sim.submitted, "seed {seed}: each is answered");
        for (id, answer) in &sim.answers {
            let value = format!("#{id}").into_bytes();
            let times = sim.store.history().iter().filter(|c| c.value.as_ref() == Some(&value)).count();
            match answer {
                Outcome::Committed { revision } => {
                    assert_eq!((times, sim.past[revision].values().any(|v| v.0 == value)), (1, true));
                }
                Outcome::CompareFailed | Outcome::NotSent => {
                    assert_eq!(times, 0, "seed {seed}: {id} {answer:?}")
                }
                Outcome::Unknown => assert!(times <= 1, "sent once"),
            }
            let name = format!("{answer:?}").split(' ').next().unwrap().to_owned();
            *answered.entry(name).or_default() += 1;
        }
    }
    assert!(answered.len() == 4 && answered.values().all(|n| *n > 20), "all ends are met: {answered:?}");
}

#[test]
fn beyond_its_bound_the_last_good_mirror_stays_and_it_is_said() {
    for seed in 0..8 {
        let mut sim = Sim::new(seed, 4);
        sim.calm(5 * S);
        for n in 0..6 {
            sim.store.put(format!("{PREFIX}k{n}").as_bytes(), b"x", 0);
            sim.remember();
            sim.calm(S);
        }
        sim.calm(20 * S);
        assert_eq!((sim.mirror().len(), sim.full > 0), (4, true));
        assert!(!sim.documents.is_current(sim.now));
        for n in 0..3 {
            sim.store.delete(format!("{PREFIX}k{n}").as_bytes());
            sim.remember();
        }
        sim.calm(20 * S);
        assert_eq!(sim.mirror(), sim.past[&sim.store.revision]);
    }
}

/// Far longer than anything here takes: only a hang gets there.
const HANG: Duration = Duration::from_secs(30);
const LEASE: Micros = 10 * S;

struct Proxy {
    driver: DocumentsDriver,
    event_loop: EventLoop,
    began: Instant,
    /// Its clock was put on by so much.
    skipped: Micros,
}

impl Proxy {
    fn new(name: &str, registry: &Registry, member: usize) -> Self {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let endpoints = vec![registry.addresses[member]];
        let driver = DocumentsDriver::new(endpoints, PREFIX, LEASE, name, member as u64, 0, log);
        Proxy { driver, event_loop: EventLoop::new().unwrap(), began: Instant::now(), skipped: 0 }
    }

    fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros + self.skipped
    }

    fn turn(&mut self) {
        let mut ready = Vec::new();
        self.event_loop.wait(Duration::from_millis(1), &mut ready).unwrap();
        ready.into_iter().for_each(|r| self.driver.ready(r));
        let now = self.now();
        self.driver.turn(now, &mut self.event_loop);
    }

    fn until<R>(&mut self, what: &str, mut done: impl FnMut(&mut DocumentsDriver, Micros) -> Option<R>) -> R {
        let until = Instant::now() + HANG;
        loop {
            self.turn();
            let now = self.now();
            if let Some(result) = done(&mut self.driver, now) {
                return result;
            }
            assert!(Instant::now() < until, "never: {what}");
        }
    }

    fn leads(&mut self) -> i64 {
        self.until("leads", |d, now| d.fence(now))
    }

    fn shows(&mut self, key: &str, value: &str) {
        let shown = |d: &mut DocumentsDriver, _| {
            d.get(key).filter(|document| document.value == value.as_bytes()).map(|_| ())
        };
        self.until(value, shown);
    }

    fn write(&mut self, id: u64, transaction: Transaction) -> Outcome {
        let now = self.now();
        self.driver.submit(now, id, transaction).unwrap();
        let (answered, answer) = self.until("answered", |d, _| d.take_outcomes().pop());
        assert_eq!(answered, id);
        answer
    }
}

#[test]
fn a_successor_takes_over_from_a_silent_planner_whose_writes_then_change_nothing() {
    let registry = Registry::start(2).unwrap();
    let (mut a, mut b) = (Proxy::new("a", &registry, 0), Proxy::new("b", &registry, 1));
    a.driver.set_campaigning(true);
    let first = a.leads();
    b.driver.set_campaigning(true);
    b.shows(PLANNER_KEY, "a");
    assert!(matches!(a.write(1, fenced(put("map", "one"), first)), Outcome::Committed { .. }));
    b.shows("map", "one");
    assert!(b.driver.take_changes().keys.contains(&"map".to_owned()));
    // It is committed, and the answer is lost: the mirror tells.
    registry.fault(0, Fault::LoseAnswer(1));
    assert_eq!(a.write(2, fenced(put("map", "two"), first)), Outcome::Unknown);
    a.shows("map", "two");
    let now = a.now();
    assert_eq!(a.driver.fence(now), Some(first), "a lost connection is no lost lease");
    // It is paused past its lease, and cut off.
    registry.fault(0, Fault::Stalled);
    registry.skip(Duration::from_micros(LEASE));
    let second = b.leads();
    assert!(second > first);
    assert!(matches!(b.write(1, fenced(put("map", "three"), second)), Outcome::Committed { .. }));
    a.skipped += LEASE;
    let now = a.now();
    assert_eq!(a.driver.fence(now), None, "before anybody told it");
    registry.fault(0, Fault::None);
    a.shows("map", "three");
    assert_eq!(a.write(3, fenced(put("map", "late"), first)), Outcome::CompareFailed);
    // Who resigns is followed at once.
    b.driver.set_campaigning(false);
    b.until("resigned", |d, _| d.get(PLANNER_KEY).is_none().then_some(()));
    let third = a.leads();
    assert!(matches!(a.write(4, fenced(put("map", "four"), third)), Outcome::Committed { .. }));
    let written = registry.with(|s| {
        let of = |key: &str| {
            let key = format!("{PREFIX}{key}").into_bytes();
            let value = |v: &Vec<u8>| String::from_utf8(v.clone()).unwrap();
            let all = s.history().iter().filter(|c| c.key == key);
            all.map(|c| c.value.as_ref().map_or("-".to_owned(), value)).collect::<Vec<_>>().join(" ")
        };
        (of("map"), of(PLANNER_KEY))
    });
    assert_eq!(written, ("one two three four".to_owned(), "a - b - a".to_owned()));
}

/// Guards against a connection that is given up for silence though its answer lies unread: the follower was stopped.
#[test]
fn an_answer_that_came_during_a_pause_is_read_before_its_silence_is_judged() {
    let registry = Registry::start(1).unwrap();
    let mut follower = Proxy::new("a", &registry, 0);
    let confirmed = follower.until("confirmed", |d, _| d.confirmed());
    let connection = follower.driver.token();
    follower.skipped += 2 * S;
    let is_checking =
        |d: &mut DocumentsDriver, _| matches!(d.phase(), FollowPhase::Checking { .. }).then_some(());
    follower.until("a check under way", is_checking);
    // Its answer comes while the follower does not look.
    std::thread::sleep(Duration::from_millis(100));
    follower.skipped += 30 * S;
    follower.turn();
    assert!(follower.driver.confirmed() > Some(confirmed), "the answer was not read");
    assert_eq!(follower.driver.token(), connection, "the connection was given up");
}

/// Guards against a planner's write that is carried out after its lease: it waited for the watch, and the follower was
/// stopped when the watch came.
#[test]
fn a_call_that_waited_too_long_during_a_pause_is_not_sent() {
    let registry = Registry::start(1).unwrap();
    // The watch may come in the same turn as it is asked for; then another follower is tried.
    let caught = (0..100).find_map(|attempt| {
        let mut follower = Proxy::new("a", &registry, 0);
        let now = follower.now();
        follower.driver.submit(now, attempt, put("late", "x")).unwrap();
        let phase = follower.until("the list", |d, _| (d.revision() > 0).then_some(d.phase()));
        (phase == FollowPhase::Listing).then_some(follower)
    });
    let mut follower = caught.expect("a follower whose watch has not begun");
    std::thread::sleep(Duration::from_millis(100));
    follower.skipped += 30 * S;
    follower.turn();
    let outcomes: Vec<Outcome> =
        follower.driver.take_outcomes().into_iter().map(|(_, outcome)| outcome).collect();
    assert_eq!(outcomes, [Outcome::NotSent]);
}
