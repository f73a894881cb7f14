//! Tests of documents and the planner's lease: the state machine with a simulated registry and seeded random faults in
//! virtual time, and the driver with a test registry on loopback. Results are compared with what the registry committed.
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

/// Values and revisions of the documents, by key.
type State = BTreeMap<String, (Vec<u8>, i64)>;

fn put(key: &str, value: &str) -> Transaction {
    Transaction { puts: vec![(key.to_owned(), value.into())], ..Transaction::default() }
}

/// A message to the registry.
enum ClientMessage {
    Call(u64, Rpc),
    /// A progress request on the watch.
    Progress,
}

/// A message from the registry.
enum RegistryMessage {
    Message(u64, Vec<u8>),
    Ended(u64, Status),
}

/// A connection to a member of the registry.
struct Link {
    id: u64,
    member: usize,
    /// When the dial succeeds; `None` once the connection is open.
    opens_at: Option<Micros>,
    stalled: bool,
    /// Messages in flight to the registry, with their arrival times.
    requests: VecDeque<(Micros, ClientMessage)>,
    /// Messages in flight from the registry, with their arrival times.
    responses: VecDeque<(Micros, RegistryMessage)>,
    /// Id of the watch's call, and the next revision to report.
    watch: Option<(u64, i64)>,
}

/// Simulation of a registry and the documents that follow it.
struct Simulation {
    now: Micros,
    rng: Pcg32,
    store: Store,
    /// Documents at each revision.
    history: BTreeMap<i64, State>,
    /// Revision at which each lagging member stopped.
    lag: [Option<i64>; MEMBERS],
    documents: Documents,
    link: Option<Link>,
    actions: Vec<Action>,
    submitted: u64,
    answers: BTreeMap<u64, Outcome>,
    /// Ids of the transactions by call.
    calls: BTreeMap<u64, u64>,
    /// Ids of the transactions whose response was delivered.
    delivered: Vec<u64>,
    /// Revision of the mirror at the last step.
    last_revision: i64,
    /// Number of disconnects because of too many documents.
    limit_errors: u64,
    /// Last message of the watch, which may be repeated late.
    last_message: Option<WatchResponse>,
}

impl Simulation {
    fn new(seed: u64, max_keys: usize) -> Self {
        let settings = Settings { max_keys, page_size: 3, ..Settings::new(MEMBERS, PREFIX) };
        let mut sim = Simulation {
            now: S,
            rng: Pcg32::seed_from_u64(seed),
            store: Store::new(7),
            history: BTreeMap::new(),
            lag: [None; MEMBERS],
            documents: Documents::new(settings, seed, S),
            link: None,
            actions: Vec::new(),
            submitted: 0,
            answers: BTreeMap::new(),
            calls: BTreeMap::new(),
            delivered: Vec::new(),
            last_revision: 0,
            limit_errors: 0,
            last_message: None,
        };
        sim.record_state();
        sim
    }

    /// Records the current documents of the store.
    fn record_state(&mut self) {
        let range = RangeRequest {
            key: PREFIX.into(),
            range_end: range_end(PREFIX.as_bytes()),
            ..RangeRequest::default()
        };
        let kvs = self.store.range(&range, 1, self.store.revision).unwrap().kvs;
        let key = |key: Vec<u8>| String::from_utf8(key).unwrap()[PREFIX.len()..].to_owned();
        let state = kvs.into_iter().map(|kv| (key(kv.key), (kv.value, kv.mod_revision))).collect();
        self.history.insert(self.store.revision, state);
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_ratio(1, one_in)
    }

    /// Returns a random arrival time for a message that is sent now.
    fn arrival_time(&mut self) -> Micros {
        self.now + self.rng.random_range(0..40) * MS
    }

    /// Another client changes documents.
    fn change_documents(&mut self) {
        let key = format!("{PREFIX}k{}", self.rng.random_range(0..8));
        if self.chance(4) {
            self.store.delete(key.as_bytes());
        } else if self.chance(2) {
            self.store.put(key.as_bytes(), b"theirs", 0);
        } else {
            // All changes have the same revision, so the mirror must show all or none of them.
            let put = |n| {
                let put = PutRequest { key: format!("{PREFIX}k{n}").into(), value: b"all".into(), lease: 0 };
                RequestOp { request: Some(request_op::Request::Put(put)) }
            };
            let txn = TxnRequest { success: (0..8).map(put).collect(), ..TxnRequest::default() };
            assert_eq!(self.store.txn(&txn), Ok(true));
        }
        self.record_state();
    }

    /// Submits a write of a random document, on condition that the document is unchanged since the mirrored revision.
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

    fn lose_connection(&mut self) {
        if let Some(link) = self.link.take() {
            self.documents.lost(self.now, link.id, &mut self.actions);
        }
    }

    fn execute_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            let at = self.arrival_time();
            match action {
                Action::Dial { connection, endpoint } => {
                    let (requests, responses) = (VecDeque::new(), VecDeque::new());
                    let (id, member, opens_at) = (connection, endpoint, Some(at));
                    self.link =
                        Some(Link { id, member, opens_at, stalled: false, requests, responses, watch: None });
                }
                Action::Disconnect { connection } => drop(self.link.take_if(|link| link.id == connection)),
                Action::Call { call, rpc } => {
                    if let Rpc::Transaction(txn) = &rpc {
                        let Some(request_op::Request::Put(p)) = &txn.success[0].request else {
                            panic!("only puts are sent here")
                        };
                        let id = std::str::from_utf8(&p.value[1..]).unwrap().parse().unwrap();
                        self.calls.insert(call, id);
                    }
                    self.link.iter_mut().for_each(|link| {
                        link.requests.push_back((at, ClientMessage::Call(call, rpc.clone())))
                    });
                }
                Action::Send { .. } => {
                    self.link
                        .iter_mut()
                        .for_each(|link| link.requests.push_back((at, ClientMessage::Progress)));
                }
                Action::Cancel { .. } => {}
                Action::Notify(Notice::Disconnected {
                    error: DocumentsError::TooManyDocuments { .. },
                    ..
                }) => self.limit_errors += 1,
                Action::Notify(_) => {}
            }
        }
    }

    /// The connected member handles the requests that have arrived and sends changes on the watch.
    fn serve_member(&mut self) {
        let Some(mut link) = self.link.take() else { return };
        let revision = self.lag[link.member].unwrap_or(self.store.revision).min(self.store.revision);
        let member = link.member as u64 + 1;
        let header = self.store.header(member, revision);
        let mut responses = Vec::new();
        while link.requests.front().is_some_and(|request| request.0 <= self.now) {
            match link.requests.pop_front().unwrap().1 {
                ClientMessage::Call(call, Rpc::Range(r)) => match self.store.range(&r, member, revision) {
                    Ok(answer) => {
                        responses.push(RegistryMessage::Message(call, answer.encode_to_vec()));
                        responses.push(RegistryMessage::Ended(call, Status::new(0, "")));
                    }
                    Err((code, text)) => {
                        responses.push(RegistryMessage::Ended(call, Status::new(code, text)))
                    }
                },
                ClientMessage::Call(call, Rpc::Transaction(txn)) => {
                    let succeeded = self.store.txn(&txn).unwrap();
                    self.record_state();
                    let header = self.store.header(member, self.store.revision);
                    responses.push(RegistryMessage::Message(
                        call,
                        TxnResponse { header, succeeded }.encode_to_vec(),
                    ));
                }
                ClientMessage::Call(call, Rpc::Watch(r)) => {
                    let Some(watch_request::Request::Create(c)) = r.request else { panic!("{r:?}") };
                    (link.watch, self.last_message) = (Some((call, c.start_revision)), None);
                    let created = WatchResponse { header, watch_id: 1, created: true, ..Default::default() };
                    responses.push(RegistryMessage::Message(call, created.encode_to_vec()));
                }
                ClientMessage::Call(_, rpc) => panic!("{rpc:?}"),
                ClientMessage::Progress => {
                    let Some((call, _)) = link.watch else { continue };
                    responses.extend(self.watch_messages(&mut link, revision));
                    let progress = WatchResponse { header, watch_id: -1, ..Default::default() };
                    responses.push(RegistryMessage::Message(call, progress.encode_to_vec()));
                }
            }
        }
        responses.extend(self.watch_messages(&mut link, revision));
        for response in responses {
            let at = self.arrival_time().max(link.responses.back().map_or(0, |last| last.0));
            link.responses.push_back((at, response));
        }
        self.link = Some(link);
    }

    /// Returns the pending changes as messages of the watch, sometimes in fragments or repeated.
    fn watch_messages(&mut self, link: &mut Link, revision: i64) -> Vec<RegistryMessage> {
        let Some((call, next)) = link.watch else { return Vec::new() };
        let header = self.store.header(1, revision);
        let base = WatchResponse { header, watch_id: 1, ..Default::default() };
        let mut messages = Vec::new();
        match self.store.changes(PREFIX.as_bytes(), next, revision) {
            Err(compact_revision) => {
                link.watch = None;
                messages.push(WatchResponse { canceled: true, compact_revision, ..base });
            }
            Ok(events) => {
                link.watch = Some((call, next.max(revision + 1)));
                let size = if self.chance(3) { 1 } else { 100 };
                let parts = events.chunks(size).count();
                for (n, part) in events.chunks(size).enumerate() {
                    let answer =
                        WatchResponse { events: part.to_vec(), fragment: n + 1 < parts, ..base.clone() };
                    messages.extend(vec![answer; 1 + usize::from(self.chance(5))]);
                }
            }
        }
        let (is_repeated, previous) = (self.chance(50), self.last_message.take());
        self.last_message =
            messages.last().filter(|message| !message.canceled).or(previous.as_ref()).cloned();
        messages.extend(previous.filter(|_| is_repeated && link.watch.is_some()));
        messages.iter().map(|message| RegistryMessage::Message(call, message.encode_to_vec())).collect()
    }

    fn step(&mut self) {
        self.now += 5 * MS;
        let now = self.now;
        self.documents.tick(now, &mut self.actions);
        self.execute_actions();
        if self.link.as_ref().is_some_and(|link| !link.stalled && link.opens_at.is_none()) {
            self.serve_member();
            while let Some(response) =
                self.link.as_mut().and_then(|link| link.responses.pop_front_if(|response| response.0 <= now))
            {
                match response.1 {
                    RegistryMessage::Message(call, bytes) => {
                        self.delivered.extend(self.calls.get(&call));
                        self.documents.message_received(now, call, &bytes, &mut self.actions);
                    }
                    RegistryMessage::Ended(call, status) => {
                        self.documents.call_ended(now, call, status, &mut self.actions)
                    }
                }
                self.execute_actions();
            }
        }
        if let Some(link) = self.link.as_mut().filter(|link| link.opens_at.is_some_and(|at| at <= now)) {
            link.opens_at = None;
            self.documents.dialed(now, link.id, &mut self.actions);
            self.execute_actions();
        }
        for (caller, reply) in self.documents.take_replies() {
            let (Caller::Owner(id), Reply::Outcome(answer)) = (caller, reply) else { panic!("{caller:?}") };
            assert_eq!(self.answers.insert(id, answer), None, "transaction {id} got a second reply");
            let is_delivered = self.delivered.contains(&id);
            match answer {
                Outcome::Committed { .. } | Outcome::CompareFailed => {
                    assert!(is_delivered, "transaction {id}: {answer:?} without a response")
                }
                Outcome::Unknown => assert!(!is_delivered, "transaction {id}: unknown despite a response"),
                Outcome::NotSent => {
                    assert!(!self.calls.values().any(|c| *c == id), "transaction {id} was sent")
                }
            }
        }
        let revision = self.documents.revision();
        assert!(revision >= self.last_revision, "the mirror went back to an older revision");
        self.last_revision = revision;
        if revision > 0 {
            assert_eq!(
                self.mirror(),
                self.history[&revision],
                "the mirror differs from the registry at its revision"
            );
        }
    }

    /// Returns the mirrored documents.
    fn mirror(&self) -> State {
        let document = |(key, d): (&str, &larchdale::registry::documents::Document)| {
            (key.to_owned(), (d.value.clone(), d.mod_revision))
        };
        self.documents.with_prefix("").map(document).collect()
    }

    /// Causes random changes, transactions and faults.
    fn inject_events(&mut self) {
        if self.chance(40) {
            self.change_documents();
        }
        if self.chance(60) {
            self.submit();
        }
        if self.chance(400) {
            self.lose_connection();
        }
        if self.chance(900) {
            self.link.iter_mut().for_each(|link| link.stalled = true);
        }
        if self.chance(300) {
            let member = self.rng.random_range(0..MEMBERS);
            self.lag[member] = if self.chance(2) { Some(self.store.revision) } else { None };
        }
        if self.chance(200) {
            self.store.compact(self.store.revision);
        }
    }

    /// Runs for a time without faults.
    fn run_without_faults(&mut self, time: Micros) {
        self.lag = [None; MEMBERS];
        for _ in 0..time / (5 * MS) {
            self.step();
        }
    }
}

#[test]
fn the_mirror_equals_a_past_state_and_each_transaction_gets_one_correct_outcome() {
    let mut answered: BTreeMap<String, u64> = BTreeMap::new();
    for seed in 0..60 {
        let mut sim = Simulation::new(seed, 100);
        for _ in 0..6_000 {
            sim.inject_events();
            sim.step();
        }
        sim.run_without_faults(30 * S);
        assert_eq!(
            sim.mirror(),
            sim.history[&sim.store.revision],
            "seed {seed}: mirror is not current after the faults ended"
        );
        assert!(sim.documents.is_current(sim.now), "seed {seed}");
        assert_eq!(sim.answers.len() as u64, sim.submitted, "seed {seed}: a transaction has no outcome");
        for (id, answer) in &sim.answers {
            let value = format!("#{id}").into_bytes();
            let commits = sim.store.history().iter().filter(|c| c.value.as_ref() == Some(&value)).count();
            match answer {
                Outcome::Committed { revision } => {
                    assert_eq!((commits, sim.history[revision].values().any(|v| v.0 == value)), (1, true));
                }
                Outcome::CompareFailed | Outcome::NotSent => {
                    assert_eq!(commits, 0, "seed {seed}: {id} {answer:?}")
                }
                Outcome::Unknown => assert!(commits <= 1, "transaction {id} was committed twice"),
            }
            let name = format!("{answer:?}").split(' ').next().unwrap().to_owned();
            *answered.entry(name).or_default() += 1;
        }
    }
    assert!(
        answered.len() == 4 && answered.values().all(|n| *n > 20),
        "an outcome is too rare: {answered:?}"
    );
}

#[test]
fn the_last_valid_mirror_is_kept_and_an_error_reported_above_the_key_limit() {
    for seed in 0..8 {
        let mut sim = Simulation::new(seed, 4);
        sim.run_without_faults(5 * S);
        for n in 0..6 {
            sim.store.put(format!("{PREFIX}k{n}").as_bytes(), b"x", 0);
            sim.record_state();
            sim.run_without_faults(S);
        }
        sim.run_without_faults(20 * S);
        assert_eq!((sim.mirror().len(), sim.limit_errors > 0), (4, true));
        assert!(!sim.documents.is_current(sim.now));
        for n in 0..3 {
            sim.store.delete(format!("{PREFIX}k{n}").as_bytes());
            sim.record_state();
        }
        sim.run_without_faults(20 * S);
        assert_eq!(sim.mirror(), sim.history[&sim.store.revision]);
    }
}

/// Time after which a wait is considered hung; far longer than any wait of these tests takes.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);
const LEASE: Micros = 10 * S;

/// A driver with its event loop and clock.
struct Follower {
    driver: DocumentsDriver,
    event_loop: EventLoop,
    started_at: Instant,
    /// Time by which the clock was moved forward.
    skipped: Micros,
}

impl Follower {
    fn new(name: &str, registry: &Registry, member: usize) -> Self {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let endpoints = vec![registry.addresses[member]];
        let driver = DocumentsDriver::new(endpoints, PREFIX, LEASE, name, member as u64, 0, log);
        Follower { driver, event_loop: EventLoop::new().unwrap(), started_at: Instant::now(), skipped: 0 }
    }

    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros + self.skipped
    }

    fn turn(&mut self) {
        let mut ready = Vec::new();
        self.event_loop.wait(Duration::from_millis(1), &mut ready).unwrap();
        ready.into_iter().for_each(|r| self.driver.ready(r));
        let now = self.now();
        self.driver.turn(now, &mut self.event_loop);
    }

    /// Runs turns until `condition` returns a result; `what` names the condition.
    fn wait_until<R>(
        &mut self,
        what: &str,
        mut condition: impl FnMut(&mut DocumentsDriver, Micros) -> Option<R>,
    ) -> R {
        let deadline = Instant::now() + HANG_TIMEOUT;
        loop {
            self.turn();
            let now = self.now();
            if let Some(result) = condition(&mut self.driver, now) {
                return result;
            }
            assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        }
    }

    /// Waits until this instance leads; returns the fence.
    fn wait_for_leadership(&mut self) -> i64 {
        self.wait_until("leadership", |d, now| d.fence(now))
    }

    fn wait_for_document(&mut self, key: &str, value: &str) {
        let shown = |d: &mut DocumentsDriver, _| {
            d.get(key).filter(|document| document.value == value.as_bytes()).map(|_| ())
        };
        self.wait_until(value, shown);
    }

    /// Submits a transaction and waits for the outcome.
    fn write(&mut self, id: u64, transaction: Transaction) -> Outcome {
        let now = self.now();
        self.driver.submit(now, id, transaction).unwrap();
        let (answered, answer) = self.wait_until("the outcome", |d, _| d.take_outcomes().pop());
        assert_eq!(answered, id);
        answer
    }
}

#[test]
fn a_successor_replaces_a_partitioned_planner_whose_later_writes_fail() {
    let registry = Registry::start(2).unwrap();
    let (mut a, mut b) = (Follower::new("a", &registry, 0), Follower::new("b", &registry, 1));
    a.driver.set_campaigning(true);
    let first = a.wait_for_leadership();
    b.driver.set_campaigning(true);
    b.wait_for_document(PLANNER_KEY, "a");
    assert!(matches!(a.write(1, fenced(put("map", "one"), first)), Outcome::Committed { .. }));
    b.wait_for_document("map", "one");
    assert!(b.driver.take_changes().keys.contains(&"map".to_owned()));
    // The write is committed and its response lost; the mirror shows the write.
    registry.fault(0, Fault::LoseAnswer(1));
    assert_eq!(a.write(2, fenced(put("map", "two"), first)), Outcome::Unknown);
    a.wait_for_document("map", "two");
    let now = a.now();
    assert_eq!(a.driver.fence(now), Some(first), "a lost connection must not end the leadership");
    // The planner is partitioned and paused until its lease has expired.
    registry.fault(0, Fault::Stalled);
    registry.skip(Duration::from_micros(LEASE));
    let second = b.wait_for_leadership();
    assert!(second > first);
    assert!(matches!(b.write(1, fenced(put("map", "three"), second)), Outcome::Committed { .. }));
    a.skipped += LEASE;
    let now = a.now();
    assert_eq!(a.driver.fence(now), None, "the planner still leads by its own clock");
    registry.fault(0, Fault::None);
    a.wait_for_document("map", "three");
    assert_eq!(a.write(3, fenced(put("map", "late"), first)), Outcome::CompareFailed);
    // A planner that resigns is replaced immediately.
    b.driver.set_campaigning(false);
    b.wait_until("the end of the lease", |d, _| d.get(PLANNER_KEY).is_none().then_some(()));
    let third = a.wait_for_leadership();
    assert!(matches!(a.write(4, fenced(put("map", "four"), third)), Outcome::Committed { .. }));
    let written = registry.with(|s| {
        let values_of = |key: &str| {
            let key = format!("{PREFIX}{key}").into_bytes();
            let value = |v: &Vec<u8>| String::from_utf8(v.clone()).unwrap();
            let changes = s.history().iter().filter(|c| c.key == key);
            changes.map(|c| c.value.as_ref().map_or("-".to_owned(), value)).collect::<Vec<_>>().join(" ")
        };
        (values_of("map"), values_of(PLANNER_KEY))
    });
    assert_eq!(written, ("one two three four".to_owned(), "a - b - a".to_owned()));
}

/// Guards against closing a connection for a check timeout although the response has arrived but was not read yet,
/// because the process was paused.
#[test]
fn a_response_received_during_a_pause_is_read_before_timeouts_are_checked() {
    let registry = Registry::start(1).unwrap();
    let mut follower = Follower::new("a", &registry, 0);
    let confirmed = follower.wait_until("confirmation", |d, _| d.confirmed());
    let connection = follower.driver.token();
    follower.skipped += 2 * S;
    let is_checking =
        |d: &mut DocumentsDriver, _| matches!(d.phase(), FollowPhase::Checking { .. }).then_some(());
    follower.wait_until("a check in flight", is_checking);
    // The response arrives while the follower takes no turn.
    std::thread::sleep(Duration::from_millis(100));
    follower.skipped += 30 * S;
    follower.turn();
    assert!(follower.driver.confirmed() > Some(confirmed), "the response was not read");
    assert_eq!(follower.driver.token(), connection, "the connection was closed");
}

/// Guards against a planner's write that is executed after its lease has expired: the write waited for the watch, and
/// the process was paused when the watch was created.
#[test]
fn a_call_that_waited_too_long_during_a_pause_is_not_sent() {
    let registry = Registry::start(1).unwrap();
    // The watch may be created in the same turn in which it is requested; then another follower is tried.
    let waiting = (0..100).find_map(|attempt| {
        let mut follower = Follower::new("a", &registry, 0);
        let now = follower.now();
        follower.driver.submit(now, attempt, put("late", "x")).unwrap();
        let phase = follower.wait_until("the list", |d, _| (d.revision() > 0).then_some(d.phase()));
        (phase == FollowPhase::Listing).then_some(follower)
    });
    let mut follower = waiting.expect("a follower whose watch is not created yet");
    std::thread::sleep(Duration::from_millis(100));
    follower.skipped += 30 * S;
    follower.turn();
    let outcomes: Vec<Outcome> =
        follower.driver.take_outcomes().into_iter().map(|(_, outcome)| outcome).collect();
    assert_eq!(outcomes, [Outcome::NotSent]);
}
