//! A follower of the list of endpoints: the session with the registry and the membership, fed by a stand-in's store
//! without sockets between them. What HTTP/2 adds to the bytes is seen in [`crate::loopback`].

use super::cost::{heap, Stopwatch};
use super::Effort;
use crate::capacity::target::{Sum, ENDPOINTS, INSTANCES, REGIONS};
use crate::capacity::{Per, Quantity, Role, Row};
use larchdale::config::product::RegistrySettings as Settings;
use larchdale::endpoints::{EndpointList, Entry};
use larchdale::registry::answers::Decoder;
use larchdale::registry::keys::range_end;
use larchdale::registry::messages::{RangeRequest, RangeResponse, WatchResponse};
use larchdale::registry::record::{Names, State, StoredRecord};
use larchdale::registry::session::{Action, Session, Update};
use larchdale::routing::events::{EndpointState, Role as Serves};
use larchdale_test_support::registry::store::Store;
use prost::Message;
use std::net::SocketAddr;

const MECHANISM: &str = "src/registry/session/mod.rs, Session; src/endpoints/list.rs, EndpointList";
const PREFIX: &str = "/larchdale/scale/";
const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
/// What stands before each message of gRPC.
const FRAME: usize = 5;
/// Seconds in which all of a region that comes back take a list.
const RETURNS: f64 = 10.0;

fn record(n: usize, weight: f64) -> (Vec<u8>, Vec<u8>) {
    record_below(PREFIX, n, weight)
}

/// The key and the record of an endpoint below a prefix. It is of another zone than the instance, which never asks it.
pub fn record_below(prefix: &str, n: usize, weight: f64) -> (Vec<u8>, Vec<u8>) {
    let record = StoredRecord {
        address: SocketAddr::from(([127, 1, (n >> 8) as u8, n as u8], 9)),
        kind: "small-box".to_owned(),
        zone: "hub".to_owned(),
        state: State::Ready,
        cell: 0,
        weight,
        started_ms: 1_800_000_000_000,
    };
    (format!("{prefix}far-{n:05}").into_bytes(), serde_json::to_vec(&record).unwrap_or_default())
}

fn names() -> Names {
    Names {
        kinds: ["small-box", "parent", "origin"].map(str::to_owned).to_vec(),
        zones: ["hub", "branch"].map(str::to_owned).to_vec(),
    }
}

/// One instance's session and list beside a store.
struct Follower {
    store: Store,
    reader: Decoder,
    session: Session,
    list: EndpointList,
    now: u64,
    watch: Option<(i64, i64)>,
    /// Messages and bytes that came.
    came: (u64, u64),
    went: u64,
}

/// What the store answers with.
enum Answer {
    Page(u64, Vec<u8>, bool, Vec<u8>),
    Said(Vec<u8>),
}

impl Follower {
    fn new(endpoints: usize) -> Follower {
        let mut store = Store::new(7);
        for n in 0..endpoints {
            let (key, value) = record(n, 1.0);
            store.put(&key, &value, 0);
        }
        let settings = Settings::new(vec![SocketAddr::from(([127, 0, 0, 1], 9))], PREFIX);
        let reader =
            Decoder { prefix: PREFIX.to_owned(), names: names(), max_value_bytes: settings.max_value_bytes };
        let now = 1_000 * S;
        let (session, list) = (Session::new(settings, 7, now), EndpointList::new(65_536));
        Follower { store, reader, session, list, now, watch: None, came: (0, 0), went: 0 }
    }

    /// Tells the session something, and does what it asks until it asks no more.
    fn step(&mut self, watch: &mut Stopwatch, what: impl FnOnce(&mut Session, u64, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        let (session, now) = (&mut self.session, self.now);
        watch.time(|| what(session, now, &mut actions));
        self.take_up(watch);
        for action in actions {
            self.carry_out(watch, action);
        }
    }

    fn take_up(&mut self, watch: &mut Stopwatch) {
        let (session, list, now) = (&mut self.session, &mut self.list, self.now);
        watch.time(|| {
            for update in session.take_updates(usize::MAX) {
                let _ = match update {
                    Update::Removed(id) => {
                        list.remove(now, &id);
                        Ok(())
                    }
                    Update::Unreadable(id) => {
                        list.close(now, &id);
                        Ok(())
                    }
                    Update::Put { id, endpoint, process, .. } => list.upsert(
                        now,
                        Entry {
                            id,
                            address: endpoint.address,
                            state: EndpointState::Healthy,
                            role: Serves::Cache,
                            zone: endpoint.zone,
                            cell: endpoint.cell,
                            kind: endpoint.kind,
                            weight: endpoint.weight,
                            started_at: endpoint.started_ms,
                            incarnation: process,
                        },
                    ),
                };
            }
            list.take_changes(usize::MAX, &mut Vec::new());
        });
    }

    fn range(&mut self, request: &RangeRequest) -> Vec<u8> {
        let answer = self.store.range(request, 1, self.store.revision);
        answer.map(|a| a.encode_to_vec()).unwrap_or_default()
    }

    fn carry_out(&mut self, watch: &mut Stopwatch, action: Action) {
        self.went +=
            u64::from(!matches!(action, Action::Notify(_) | Action::Dial { .. } | Action::Disconnect { .. }));
        let all = RangeRequest {
            key: PREFIX.as_bytes().to_vec(),
            range_end: range_end(PREFIX.as_bytes()),
            ..RangeRequest::default()
        };
        match action {
            Action::Dial { connection: link, .. } => self.step(watch, |s, now, a| s.dialed(now, link, a)),
            Action::List { call, from, revision, limit, keys_only } => {
                let (revision, limit) = (revision as i64, limit as i64);
                let page = self.range(&RangeRequest { key: from.clone(), revision, limit, keys_only, ..all });
                self.hear(watch, Answer::Page(call, from, false, page));
            }
            Action::Count { call } => {
                let count = self.range(&RangeRequest { count_only: true, ..all });
                self.hear(watch, Answer::Page(call, PREFIX.as_bytes().to_vec(), true, count));
            }
            Action::Watch { watch: number, revision } => {
                self.watch = Some((number, revision as i64));
                let header = self.store.header(1, self.store.revision);
                let made = WatchResponse { header, watch_id: number, created: true, ..Default::default() };
                self.hear(watch, Answer::Said(made.encode_to_vec()));
            }
            Action::RequestProgress => {
                let header = self.store.header(1, self.store.revision);
                let far = WatchResponse { header, watch_id: -1, ..Default::default() };
                self.hear(watch, Answer::Said(far.encode_to_vec()));
            }
            Action::Disconnect { .. } | Action::CancelWatch { .. } | Action::Notify(_) => {}
        }
    }

    /// Reads what comes and hands it to the session, as the driver does.
    fn hear(&mut self, watch: &mut Stopwatch, answer: Answer) {
        let bytes = match &answer {
            Answer::Page(.., bytes) | Answer::Said(bytes) => bytes.len() + FRAME,
        };
        self.came = (self.came.0 + 1, self.came.1 + bytes as u64);
        let reader = self.reader.clone();
        self.step(watch, |session, now, actions| match answer {
            Answer::Page(call, from, count, bytes) => {
                let read = RangeResponse::decode(&bytes[..]).ok().and_then(|r| reader.page(&r, &from).ok());
                match read {
                    Some(page) if count => {
                        session.count_received(now, call, page.header, page.count, actions)
                    }
                    Some(page) => session.page_received(now, call, page, actions),
                    None => {}
                }
            }
            Answer::Said(bytes) => {
                let read = WatchResponse::decode(&bytes[..]).ok().and_then(|s| reader.watch_message(&s).ok());
                if let Some(said) = read {
                    session.watch_message(now, said, actions);
                }
            }
        });
    }

    /// Lists until it follows.
    fn follow(&mut self, watch: &mut Stopwatch) {
        for _ in 0..1_000_000 {
            if self.session.is_watching() && !self.session.has_updates() {
                return;
            }
            self.step(watch, |s, now, a| s.tick(now, a));
            if !self.session.is_applying_list() {
                self.now = self.now.max(self.session.next_due());
            }
        }
    }

    /// One record changes, and is told.
    fn change(&mut self, watch: &mut Stopwatch, n: usize, weight: f64) {
        let (key, value) = record(n, weight);
        self.store.put(&key, &value, 0);
        let Some((number, next)) = self.watch else { return };
        let header = self.store.header(1, self.store.revision);
        let events = self.store.changes(PREFIX.as_bytes(), next, self.store.revision).unwrap_or_default();
        self.watch = Some((number, self.store.revision + 1));
        let said = WatchResponse { header, watch_id: number, events, ..Default::default() };
        self.hear(watch, Answer::Said(said.encode_to_vec()));
    }
}

fn sizes(effort: Effort) -> &'static [usize] {
    effort.sizes(&[100, 420, 1_000, 4_000], &[50, 100, 200, 420])
}

/// Bytes of a first list, processor time of a list, a change and a check.
pub fn times(effort: Effort) -> Vec<Row> {
    let row = |name: &str, quantity, points: &[(f64, f64)]| {
        Row::new(Role::List, name, quantity, Per::Endpoint, ENDPOINTS, points, MECHANISM)
    };
    let followed = |size: usize| {
        let (mut f, mut watch) = (Follower::new(size), Stopwatch::new());
        f.follow(&mut watch);
        (f, watch)
    };
    let sizes = sizes(effort);
    let bytes = effort.points(sizes, |n| followed(n).0.came.1 as f64);
    let list = effort.points(sizes, |n| followed(n).1.us());
    let change = effort.points(sizes, |n| {
        let (mut f, mut watch) = (followed(n).0, Stopwatch::new());
        // A warm-up first: what a map grows by once is no part of a change.
        (0..n.min(200)).for_each(|k| f.change(&mut Stopwatch::new(), k, 2.0));
        let many = 500;
        (0..many).for_each(|k| f.change(&mut watch, k * 7 % n, 3.0 + (k % 5) as f64));
        watch.us() / many as f64
    });
    let check = effort.points(sizes, |n| {
        let (mut f, mut watch) = (followed(n).0, Stopwatch::new());
        let from = f.now;
        while f.now < from + 30 * S {
            f.now = f.session.next_due().max(f.now + 1);
            f.step(&mut watch, |s, now, a| s.tick(now, a));
        }
        watch.us() / 30.0
    });
    let calls = effort.points(sizes, |n| {
        let mut f = followed(n).0;
        let (from, went) = (f.now, f.went);
        while f.now < from + 30 * S {
            f.now = f.session.next_due().max(f.now + 1);
            f.step(&mut Stopwatch::new(), |s, now, a| s.tick(now, a));
        }
        (f.went - went) as f64 / 30.0
    });
    vec![
        row("a first list, messages without HTTP/2", Quantity::Bytes, &bytes).counts(
            Sum::ControlBytes,
            0.0,
            INSTANCES / REGIONS / RETURNS,
        ),
        row("a first list read and taken up", Quantity::CpuEach, &list),
        row("a change read and taken up, core", Quantity::CpuEach, &change),
        row("checks that nothing was missed, core", Quantity::CpuRate, &check),
        row("calls and requests of these checks", Quantity::MessagesOut, &calls),
    ]
}

/// Bytes of session and list.
pub fn heaps(effort: Effort) -> Vec<Row> {
    let points = effort.points(sizes(effort), |n| {
        heap(|| {
            let mut f = Follower::new(n);
            f.follow(&mut Stopwatch::new());
            (f.session, f.list)
        })
    });
    let name = "session and list";
    let row = Row::new(Role::List, name, Quantity::Heap, Per::Endpoint, ENDPOINTS, &points, MECHANISM);
    vec![row.counts(Sum::InstanceMemory, 1.0, 1.0)]
}
