//! A follower of documents: the mirror, and of a zone's map of shards all that a change of it asks of an instance. Fed by
//! a stand-in's store without sockets between them.

use super::cost::{heap, Stopwatch};
use super::Effort;
use crate::capacity::target::{Sum, CHANGES_S, INSTANCES, SHARDS, SITES, TRAFFIC};
use crate::capacity::{Per, Quantity, Role, Row};
use larchdale::placement::follow::Follower;
use larchdale::placement::map::ShardMap;
use larchdale::registry::documents::{Action, Documents, Rpc, Settings};
use larchdale::registry::messages::{watch_request, WatchResponse};
use larchdale::registry::status::Status;
use larchdale_test_support::registry::store::Store;
use prost::Message;

const MECHANISM: &str = "src/registry/documents/mod.rs, Documents; src/placement/follow.rs, Follower";
const PREFIX: &str = "/f/";
const MAP: &str = "map/3";
const ZONE: u16 = 3;
const S: u64 = 1_000_000;
/// What stands before each message of gRPC.
const FRAME: usize = 5;
/// An instance looks at its own homes so often, in a second.
const LOOKS: f64 = 4.0;
/// Steps of the core until it follows; one that is refused tries again and again.
const TRIES: usize = 8;
/// Boxes of a zone.
const BOXES: usize = 4;

/// A map with a home for each shard.
pub fn map(shards: usize, epoch: u32) -> ShardMap {
    let mut map = ShardMap::first(ZONE, epoch, shards);
    for (n, shard) in map.shards.iter_mut().enumerate() {
        shard.home = Some(format!("s-{:08x}", n * 7 % BOXES).as_str().into());
    }
    map
}

/// A mirror beside a store.
pub struct Mirror {
    /// The store that it follows.
    pub store: Store,
    /// The core.
    pub documents: Documents,
    now: u64,
    watch: Option<(u64, i64)>,
    /// Bytes that came.
    came: u64,
}

impl Mirror {
    /// One that follows a store.
    pub fn new(store: Store) -> Mirror {
        let now = 1_000 * S;
        let documents = Documents::new(Settings::new(1, PREFIX), 7, now);
        Mirror { store, documents, now, watch: None, came: 0 }
    }

    fn step(&mut self, watch: &mut Stopwatch, what: impl FnOnce(&mut Documents, u64, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        let (documents, now) = (&mut self.documents, self.now);
        watch.time(|| what(documents, now, &mut actions));
        for action in actions {
            self.carry_out(watch, action);
        }
    }

    fn hear(&mut self, watch: &mut Stopwatch, call: u64, bytes: Vec<u8>) {
        self.came += (bytes.len() + FRAME) as u64;
        self.step(watch, |d, now, a| d.message_received(now, call, &bytes, a));
    }

    fn carry_out(&mut self, watch: &mut Stopwatch, action: Action) {
        let header = self.store.header(1, self.store.revision);
        match action {
            Action::Dial { connection: link, .. } => self.step(watch, |d, now, a| d.dialed(now, link, a)),
            Action::Call { call, rpc: Rpc::Range(r) } => {
                if let Ok(page) = self.store.range(&r, 1, self.store.revision) {
                    self.hear(watch, call, page.encode_to_vec());
                }
            }
            Action::Call { call, rpc: Rpc::Watch(request) } => {
                if let Some(watch_request::Request::Create(c)) = request.request {
                    self.watch = Some((call, c.start_revision));
                    let made =
                        WatchResponse { header, watch_id: c.watch_id, created: true, ..Default::default() };
                    self.hear(watch, call, made.encode_to_vec());
                }
            }
            Action::Send { call, request } => {
                if let Some(watch_request::Request::Progress(_)) = request.request {
                    let far = WatchResponse { header, watch_id: -1, ..Default::default() };
                    self.hear(watch, call, far.encode_to_vec());
                }
            }
            // The campaign's calls, which nobody here makes.
            Action::Call { call, .. } => {
                self.step(watch, |d, now, a| d.call_ended(now, call, Status::new(12, "not spoken"), a));
            }
            Action::Disconnect { .. } | Action::Cancel { .. } | Action::Notify(_) => {}
        }
    }

    /// Lists until it follows, for a few tries; whether it does.
    pub fn follow(&mut self, watch: &mut Stopwatch) -> bool {
        for _ in 0..TRIES {
            if self.documents.is_watching() {
                return true;
            }
            self.now = self.now.max(self.documents.next_due());
            self.step(watch, |d, now, a| d.tick(now, a));
        }
        false
    }

    /// Tells what the store has that was not told.
    fn told(&mut self, watch: &mut Stopwatch) {
        let Some((call, next)) = self.watch else { return };
        let header = self.store.header(1, self.store.revision);
        let events = self.store.changes(PREFIX.as_bytes(), next, self.store.revision).unwrap_or_default();
        self.watch = Some((call, self.store.revision + 1));
        let said = WatchResponse { header, events, ..Default::default() };
        self.hear(watch, call, said.encode_to_vec());
    }
}

fn sizes(effort: Effort) -> &'static [usize] {
    effort.sizes(&[100, 1_000, 5_000, 10_000], &[50, 100, 500, 1_000])
}

fn with_map(shards: usize) -> Store {
    let mut store = Store::new(7);
    store.put(format!("{PREFIX}{MAP}").as_bytes(), &map(shards, 1).encode(), 0);
    store
}

/// Bytes and processor time of a change, and of what each instance does without any.
pub fn times(effort: Effort) -> Vec<Row> {
    let row = |name: &str, quantity, target: f64, points: &[(f64, f64)]| {
        Row::new(Role::Documents, name, quantity, Per::Shard, target, points, MECHANISM)
    };
    let sizes = sizes(effort);
    let changed = |n: usize| {
        let (mut mirror, mut watch) = (Mirror::new(with_map(n)), Stopwatch::new());
        mirror.follow(&mut Stopwatch::new());
        let mut follower = Follower::new(ZONE);
        let (came, many) = (mirror.came, 10);
        for epoch in 2..2 + many {
            mirror.store.put(format!("{PREFIX}{MAP}").as_bytes(), &map(n, epoch).encode(), 0);
            // What the registry keeps of old ones is not the instance's.
            let revision = mirror.store.revision;
            mirror.told(&mut watch);
            mirror.store.compact(revision);
            let documents = &mut mirror.documents;
            watch.time(|| {
                documents.take_changes();
                follower.apply(documents.get(MAP).map(|d| d.value.as_slice()));
                follower.assignments(|_| 1.0, true)
            });
        }
        (watch.us() / f64::from(many), (mirror.came - came) as f64 / f64::from(many))
    };
    let bytes = effort.points(sizes, |n| changed(n).1);
    let change = effort.points(sizes, |n| changed(n).0);
    let read = effort.points(sizes, |n| {
        let (bytes, mut watch) = (map(n, 1).encode(), Stopwatch::new());
        (0..20).for_each(|_| drop(watch.time(|| ShardMap::decode(&bytes, ZONE))));
        watch.us_each()
    });
    let homes = effort.points(sizes, |n| {
        let (map, mut watch) = (map(n, 1), Stopwatch::new());
        let old = map.assignments(|_| 1.0, true);
        (0..20).for_each(|_| {
            watch.time(|| map.assignments(|_| 1.0, true) != old);
        });
        watch.us_each()
    });
    let small = |n: usize| {
        let mut mirror = Mirror::new(with_map(64));
        mirror.follow(&mut Stopwatch::new());
        let mut watch = Stopwatch::new();
        let came = mirror.came;
        for k in 0..200 {
            mirror.store.put(format!("{PREFIX}configuration/{}", k % 40).as_bytes(), &vec![7; n], 0);
            mirror.told(&mut watch);
            let documents = &mut mirror.documents;
            watch.time(|| documents.take_changes());
        }
        (watch.us() / 200.0, (mirror.came - came) as f64 / 200.0)
    };
    let documents = effort.sizes(&[100, 1_000, 4_000, 16_000], &[100, 500, 1_000, 2_000]);
    let of_bytes = |name: &str, quantity, points: &[(f64, f64)]| {
        Row::new(Role::Documents, name, quantity, Per::Byte, 1_000.0, points, MECHANISM)
    };
    vec![
        row("a changed map, which comes whole, without HTTP/2", Quantity::Bytes, SHARDS, &bytes)
            .limit(TRAFFIC),
        row("a changed map read and taken up", Quantity::CpuEach, SHARDS, &change),
        row("a map read, as each second of each zone's", Quantity::CpuEach, 64.0, &read).counts(
            Sum::InstanceCpu,
            SITES,
            0.0,
        ),
        row("a full map read, as each second of each zone's", Quantity::CpuEach, SHARDS, &read).counts(
            Sum::InstanceCpu,
            0.0,
            SITES,
        ),
        row("the own homes made and compared, four times a second", Quantity::CpuEach, SHARDS, &homes)
            .counts(Sum::InstanceCpu, LOOKS, LOOKS),
        of_bytes(
            "a changed document of so many bytes, without HTTP/2",
            Quantity::Bytes,
            &effort.points(documents, |n| small(n).1),
        )
        .counts(Sum::InstanceBytes, CHANGES_S.0, CHANGES_S.1)
        .counts(Sum::ControlBytes, CHANGES_S.0 * INSTANCES, CHANGES_S.1 * INSTANCES),
        of_bytes(
            "a changed document of so many bytes taken up",
            Quantity::CpuEach,
            &effort.points(documents, |n| small(n).0),
        )
        .counts(Sum::InstanceCpu, CHANGES_S.0, CHANGES_S.1),
    ]
}

/// Bytes of the mirror, the map and the homes.
pub fn heaps(effort: Effort) -> Vec<Row> {
    let points = effort.points(sizes(effort), |n| {
        heap(|| {
            let mut mirror = Mirror::new(with_map(n));
            mirror.follow(&mut Stopwatch::new());
            let mut follower = Follower::new(ZONE);
            follower.apply(mirror.documents.get(MAP).map(|d| d.value.as_slice()));
            let homes = follower.assignments(|_| 1.0, true);
            (mirror.documents, follower, homes)
        })
    });
    let mirrors = effort.points(sizes(effort), |n| {
        heap(|| {
            let mut mirror = Mirror::new(with_map(n));
            mirror.follow(&mut Stopwatch::new());
            mirror.documents
        })
    });
    let row = |name: &str, target: f64, points: &[(f64, f64)]| {
        Row::new(Role::Documents, name, Quantity::Heap, Per::Shard, target, points, MECHANISM)
    };
    vec![
        row("mirror, map and homes of the own zone", SHARDS, &points).counts(Sum::InstanceMemory, 1.0, 1.0),
        row("mirror of another zone's map", 64.0, &mirrors).counts(Sum::InstanceMemory, SITES - 1.0, 0.0),
        row("mirror of another zone's full map", SHARDS, &mirrors).counts(
            Sum::InstanceMemory,
            0.0,
            SITES - 1.0,
        ),
    ]
}
