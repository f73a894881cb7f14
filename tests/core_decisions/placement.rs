//! Golden tests of shard placement: the planner with a registry and a fleet, the follower, the choice of moves, quiet
//! windows and measured work.

use crate::digest::{expect, Digest};
use jiff::tz::TimeZone;
use jiff::Timestamp;
use larchdale::failover::SiteState;
use larchdale::placement::error::PlacementError;
use larchdale::placement::follow::{Follower, MapUpdate};
use larchdale::placement::load::{MeasuredShard, Work};
use larchdale::placement::map::ShardMap;
use larchdale::placement::moves::Change;
use larchdale::placement::planner::{Notice, Planner, PlannerInput, Reason, Transaction, TransactionResult};
use larchdale::placement::quiet::{Calendar, Window};
use larchdale::placement::rebalance::{rebalance, EndpointCapacity, MoveLimits, ShardLoad};
use larchdale::placement::{position, Settings};
use larchdale::routing::events::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const START_MS: u64 = 1_800_000_000_000;
const HOUR_MS: u64 = 3_600_000;
const STEPS: usize = 15_000;
const ENDPOINTS: usize = 4;

fn timestamp(ms: u64) -> Timestamp {
    Timestamp::from_millisecond(ms as i64).unwrap()
}

fn write_error(digest: &mut Digest, error: &PlacementError) {
    match error {
        PlacementError::UnknownZone { zone, .. } => {
            digest.tag(1);
            digest.text(zone);
        }
        PlacementError::Torn { .. } => digest.tag(2),
        PlacementError::Format { format, known, .. } => {
            digest.tag(3);
            digest.tag(*format);
            digest.tag(*known);
        }
        PlacementError::Broken { .. } => digest.tag(4),
        PlacementError::Change { start, .. } => {
            digest.tag(5);
            digest.number(*start);
        }
    }
}

fn reason_tag(reason: Reason) -> u8 {
    match reason {
        Reason::WindowEnds => 1,
        Reason::Site => 2,
        Reason::ClockStepped => 3,
        Reason::HomeGone => 4,
        Reason::TargetGone => 5,
        Reason::Documents => 6,
    }
}

pub fn write_change(digest: &mut Digest, change: &Change) {
    match change {
        Change::Split { start, at, not_before_ms } => {
            digest.tag(1);
            [start, at, not_before_ms].into_iter().for_each(|number| digest.number(*number));
        }
        Change::Merge { start, next } => {
            digest.tag(2);
            [start, next].into_iter().for_each(|number| digest.number(*number));
        }
    }
}

fn write_notice(digest: &mut Digest, notice: &Notice) {
    match notice {
        Notice::FirstMap(epoch) => {
            digest.tag(1);
            digest.number(u64::from(*epoch));
        }
        Notice::MapRestored(epoch) => {
            digest.tag(2);
            digest.number(u64::from(*epoch));
        }
        Notice::Planned(moves, kb) => {
            digest.tag(3);
            digest.count(*moves);
            digest.number(*kb);
        }
        Notice::Begun(start, to, needs_ms) => {
            digest.tag(4);
            digest.number(*start);
            digest.text(to);
            digest.number(*needs_ms);
        }
        Notice::CutOver(start, epoch) => {
            digest.tag(5);
            digest.number(*start);
            digest.number(u64::from(*epoch));
        }
        Notice::Completed(start) => {
            digest.tag(6);
            digest.number(*start);
        }
        Notice::RolledBack(start, reason) => {
            digest.tag(7);
            digest.number(*start);
            digest.tag(reason_tag(*reason));
        }
        Notice::Dropped(start, reason) => {
            digest.tag(8);
            digest.number(*start);
            digest.tag(reason_tag(*reason));
        }
        Notice::Changed(change, epoch) => {
            digest.tag(9);
            write_change(digest, change);
            digest.number(u64::from(*epoch));
        }
        Notice::CannotChange(error) => {
            digest.tag(10);
            write_error(digest, error);
        }
        Notice::Unusable(error) => {
            digest.tag(11);
            write_error(digest, error);
        }
        Notice::Skewed(skew_ms) => {
            digest.tag(12);
            digest.number(*skew_ms);
        }
        Notice::ClockStepped => digest.tag(13),
    }
}

fn write_transaction(digest: &mut Digest, transaction: &Transaction) {
    digest.number(transaction.id);
    digest.signed(transaction.fence);
    for (key, revision) in &transaction.compares {
        digest.text(key);
        digest.signed(*revision);
    }
    for (key, value) in &transaction.puts {
        digest.text(key);
        digest.bytes(value);
    }
}

fn write_map_update(digest: &mut Digest, update: &MapUpdate) {
    match update {
        MapUpdate::Applied(epoch) => {
            digest.tag(1);
            digest.number(u64::from(*epoch));
        }
        MapUpdate::Deleted(epoch) => {
            digest.tag(2);
            digest.number(u64::from(*epoch));
        }
        MapUpdate::Unusable(error) => {
            digest.tag(3);
            write_error(digest, error);
        }
        MapUpdate::NotNewer { applied, received } => {
            digest.tag(4);
            digest.number(u64::from(*applied));
            digest.number(u64::from(*received));
        }
    }
}

/// A zone with its planner, its documents in the registry, and one instance that follows the map.
struct Zone {
    rng: Pcg32,
    planner: Planner,
    settings: Settings,
    calendar: Calendar,
    /// The map and the plan of moves, each with the revision of its last change.
    documents: [Option<(Vec<u8>, i64)>; 2],
    revision: i64,
    follower: Follower,
    endpoints: Vec<EndpointCapacity>,
    site: SiteState,
    fence: Option<i64>,
    skew_ms: u64,
    now: Micros,
    unix_ms: u64,
    requested_changes: Option<Vec<Change>>,
    loads: Vec<MeasuredShard>,
    digest: Digest,
    completed: usize,
    rolled_back: usize,
    changed: usize,
}

impl Zone {
    fn new(seed: u64) -> Self {
        let endpoint = |number: usize| EndpointCapacity {
            id: format!("box{number}").into(),
            weight: 1.0 + number as f64 / 2.0,
            accepts_requests: true,
            in_slow_start: false,
            spare_kb_s: 1e6,
        };
        let window = |number: u64| {
            let from = START_MS + 100_000 + number * 600_000;
            ("west".to_owned(), Window::Once(timestamp(from), timestamp(from + 420_000)))
        };
        let blackout = (None, timestamp(START_MS + 1_900_000), timestamp(START_MS + 2_000_000));
        Zone {
            rng: Pcg32::seed_from_u64(seed),
            planner: Planner::new(1, "/s/"),
            settings: Settings {
                first: 8,
                moves: 5,
                most: 14,
                move_kb: 150_000.0,
                ..Settings::new(Vec::new(), "/s/")
            },
            calendar: Calendar { quiet: (0..20).map(window).collect(), blackouts: vec![blackout] },
            documents: [None, None],
            revision: 10,
            follower: Follower::new(1),
            endpoints: (0..ENDPOINTS).map(endpoint).collect(),
            site: SiteState::Serving,
            fence: Some(5),
            skew_ms: 0,
            now: 0,
            unix_ms: START_MS,
            requested_changes: None,
            loads: Vec::new(),
            digest: Digest::new(),
            completed: 0,
            rolled_back: 0,
            changed: 0,
        }
    }

    fn measure(&mut self) {
        let shards = self.follower.map().map(|map| map.shards.clone()).unwrap_or_default();
        let rng = &mut self.rng;
        let load = |start| MeasuredShard {
            start,
            load: rng.random_range(0.0..3.0),
            kb: rng.random_range(5_000.0..90_000.0),
        };
        self.loads = shards.into_iter().map(|shard| shard.start).map(load).collect();
    }

    fn request_changes(&mut self) {
        let Some(map) = self.follower.map() else { return };
        let starts: Vec<u64> = map.shards.iter().map(|shard| shard.start).collect();
        let at = self.rng.random_range(0..starts.len());
        let next = starts.get(at + 1).copied();
        let not_before_ms = self.unix_ms + self.rng.random_range(0..900_000);
        let split = Change::Split { start: starts[at], at: starts[at] + (1 << 58), not_before_ms };
        let merge = next.map(|next| Change::Merge { start: starts[at], next });
        self.requested_changes = Some([Some(split), merge].into_iter().flatten().collect());
    }

    /// Injects a random fault, or ends one.
    fn inject_fault(&mut self) {
        let number = self.rng.random_range(0..ENDPOINTS);
        match self.rng.random_range(0..16) {
            0 => self.endpoints[number].accepts_requests = !self.endpoints[number].accepts_requests,
            1 => self.endpoints[number].in_slow_start = !self.endpoints[number].in_slow_start,
            2..5 => self
                .endpoints
                .iter_mut()
                .for_each(|endpoint| (endpoint.accepts_requests, endpoint.in_slow_start) = (true, false)),
            5 => {
                self.site =
                    [SiteState::Suspected, SiteState::Recovering { step: 1 }][self.rng.random_range(0..2)]
            }
            6..9 => self.site = SiteState::Serving,
            9 => self.unix_ms += self.rng.random_range(0..40_000),
            10 => self.skew_ms = self.rng.random_range(0..4_000),
            11 => self.skew_ms = 0,
            12 => self.fence = self.fence.map_or(Some(self.revision), |_| None),
            13 => self.fence = Some(self.revision),
            14 => self.damage_document(),
            _ => self.request_changes(),
        }
    }

    /// Deletes or truncates a document, restarts the planner, or changes the limit on moves.
    fn damage_document(&mut self) {
        let document = &mut self.documents[self.rng.random_range(0..2)];
        self.revision += 1;
        match (self.rng.random_range(0..4), document) {
            (0, document) => *document = None,
            (1, Some((bytes, revision))) => {
                bytes.truncate(5);
                *revision = self.revision;
            }
            (2, _) => self.planner = Planner::new(1, "/s/"),
            _ => self.settings.moves = self.rng.random_range(0..9),
        }
        self.read();
    }

    fn read(&mut self) {
        let [map, moves] = self.documents.each_ref().map(|d| d.as_ref().map(|d| (&d.0[..], d.1)));
        let mut notices = Vec::new();
        self.planner.update_documents(map, moves, &mut notices);
        self.notices(&notices);
    }

    fn notices(&mut self, notices: &[Notice]) {
        for notice in notices {
            self.completed += usize::from(matches!(notice, Notice::Completed(_)));
            self.rolled_back += usize::from(matches!(notice, Notice::RolledBack(..)));
            self.changed += usize::from(matches!(notice, Notice::Changed(..)));
            write_notice(&mut self.digest, notice);
        }
    }

    fn tick(&mut self) {
        (self.now, self.unix_ms) = (self.now + 1_000_000, self.unix_ms + 1_000);
        if self.rng.random_ratio(1, 30) {
            self.inject_fault();
        }
        if self.rng.random_ratio(1, 90) {
            self.request_changes();
        }
        if self.rng.random_ratio(1, 60) || self.loads.is_empty() {
            self.measure();
        }
        if self.rng.random_bool(0.7) {
            self.follow();
        }
        for _ in 0..2 {
            let (transaction, notices) = self.step();
            self.digest.number(self.now);
            self.notices(&notices);
            if let Some(transaction) = transaction {
                write_transaction(&mut self.digest, &transaction);
                self.commit(transaction);
            }
            self.digest.flag(self.planner.needs_documents());
            if self.planner.needs_documents() {
                self.read();
            }
        }
    }

    fn step(&mut self) -> (Option<Transaction>, Vec<Notice>) {
        let epoch = (self.follower.epoch() > 0).then(|| self.follower.epoch());
        let input = PlannerInput {
            settings: &self.settings,
            calendar: &self.calendar,
            zone: "west",
            now: self.now,
            unix_ms: self.unix_ms,
            skew_ms: self.skew_ms,
            fence: self.fence,
            sites: &[SiteState::Serving, self.site],
            instances: &[epoch],
            max_instances: 2,
            local_map: self.follower.map().map(|map| map.as_ref()),
            link_kb_s: 10_000.0,
            endpoints: &self.endpoints,
            loads: &self.loads,
            requested_changes: self.requested_changes.as_deref(),
        };
        let mut notices = Vec::new();
        let transaction = self.planner.step(&input, &mut notices);
        (transaction, notices)
    }

    fn commit(&mut self, transaction: Transaction) {
        let reply_lost = self.rng.random_ratio(1, 20);
        if reply_lost && self.rng.random_bool(0.5) {
            return self.planner.handle_result(transaction.id, TransactionResult::Unknown);
        }
        if self.rng.random_ratio(1, 30) {
            return self.planner.handle_result(transaction.id, TransactionResult::Rejected);
        }
        self.revision += 1;
        for (key, value) in transaction.puts {
            self.documents[usize::from(key == "/s/moves/1")] = Some((value, self.revision));
        }
        let answer =
            if reply_lost { TransactionResult::Unknown } else { TransactionResult::Committed(self.revision) };
        self.planner.handle_result(transaction.id, answer);
    }

    fn follow(&mut self) {
        let update = self.follower.apply(self.documents[0].as_ref().map(|document| &document.0[..]));
        self.digest.option(update, |digest, update| write_map_update(digest, &update));
        let homes = self.follower.assignments(|id| id.len() as f64, true);
        for home in homes.iter() {
            self.digest.number(home.start);
            self.digest.option(home.endpoint.as_deref(), Digest::text);
            self.digest.option(home.warming.as_ref(), |digest, warming| {
                digest.text(&warming.endpoint);
                digest.float(warming.rate);
                digest.flag(warming.peer_fill);
            });
        }
    }
}

fn planner(seed: u64) -> u64 {
    let mut zone = Zone::new(seed);
    (0..STEPS).for_each(|_| zone.tick());
    let seen = [zone.completed, zone.rolled_back, zone.changed];
    assert!(seen[0] > 5 && seen[1] > 0 && seen[2] > 2, "too few events: {seen:?}");
    zone.digest.finish()
}

/// Records the chosen moves for random loads and limits.
fn moves(seed: u64) -> u64 {
    let (mut rng, mut digest, mut move_count) = (Pcg32::seed_from_u64(seed), Digest::new(), 0);
    for _ in 0..400 {
        let endpoint_count = rng.random_range(1..8);
        let endpoint = |rng: &mut Pcg32, number: usize| EndpointCapacity {
            id: format!("b{number}").into(),
            weight: [0.0, 1.0, 1.0, 2.5][rng.random_range(0..4)],
            accepts_requests: !rng.random_ratio(1, 8),
            in_slow_start: rng.random_ratio(1, 8),
            spare_kb_s: rng.random_range(0.0..1e4),
        };
        let endpoints: Vec<EndpointCapacity> =
            (0..endpoint_count).map(|number| endpoint(&mut rng, number)).collect();
        let load = |rng: &mut Pcg32| ShardLoad {
            home: (!rng.random_ratio(1, 5)).then(|| rng.random_range(0..endpoint_count)),
            load: rng.random_range(0.0..5.0),
            kb: rng.random_range(0.0..1e4),
            rests: rng.random_ratio(1, 6),
        };
        let shards: Vec<ShardLoad> = (0..rng.random_range(1..40)).map(|_| load(&mut rng)).collect();
        let limits = MoveLimits {
            spread: rng.random_range(0.0..0.4),
            moves: rng.random_range(0..12),
            kb: rng.random_range(0.0..6e4),
        };
        for chosen in rebalance(&shards, &endpoints, &limits) {
            move_count += 1;
            digest.count(chosen.shard);
            digest.count(chosen.to);
            digest.float(chosen.kb);
        }
        digest.tag(0);
    }
    assert!(move_count > 200, "too few moves: {move_count}");
    digest.finish()
}

/// Records the windows of random calendars, with clock changes, windows over midnight and blackouts.
fn quiet_windows(seed: u64) -> u64 {
    let (mut rng, mut digest) = (Pcg32::seed_from_u64(seed), Digest::new());
    let time_zones = ["Europe/Berlin", "America/New_York", "Asia/Kathmandu", "UTC"];
    for _ in 0..60 {
        let from_ms = START_MS + rng.random_range(0..400 * 24 * HOUR_MS);
        let random_window = |rng: &mut Pcg32| {
            let zone = TimeZone::get(time_zones[rng.random_range(0..time_zones.len())]).unwrap();
            let (days, from, to) =
                (rng.random_range(0..128), rng.random_range(0..1440), rng.random_range(0..1440));
            // One window in eight lasts a whole day.
            let to = if rng.random_ratio(1, 8) { from } else { to };
            (["a", "b"][rng.random_range(0..2)].to_owned(), Window::Weekly { days, from, to, zone })
        };
        let random_blackout = |rng: &mut Pcg32| {
            let from = from_ms + rng.random_range(0..300) * HOUR_MS;
            let to = from + rng.random_range(1..40) * HOUR_MS;
            (rng.random_bool(0.5).then(|| "a".to_owned()), timestamp(from), timestamp(to))
        };
        let calendar = Calendar {
            quiet: (0..4).map(|_| random_window(&mut rng)).collect(),
            blackouts: (0..3).map(|_| random_blackout(&mut rng)).collect(),
        };
        for (from, to) in calendar.windows("a", from_ms, from_ms + 400 * HOUR_MS) {
            digest.number(from);
            digest.number(to);
        }
        for _ in 0..10 {
            let at = from_ms + rng.random_range(0..300 * HOUR_MS);
            digest.option(calendar.quiet_at("a", at), Digest::number);
            digest.option(calendar.next_window("b", at), |digest, window| {
                digest.number(window.0);
                digest.number(window.1);
            });
        }
    }
    digest.finish()
}

/// Records the work that instances count, its sum by shard, and random splits and merges of a map.
fn work_and_maps(seed: u64) -> u64 {
    let (mut rng, mut digest) = (Pcg32::seed_from_u64(seed), Digest::new());
    let mut counts = vec![Work::default(), Work::default(), Work::default()];
    let mut map = ShardMap::first(3, 1, 40);
    for round in 1..8 {
        let now_ms = START_MS + round * 20 * HOUR_MS;
        let mut documents = Vec::new();
        for count in &mut counts {
            (0..500).for_each(|_| count.add(rng.random_range(0..4_000), rng.random_range(0.0..900.0)));
            documents.push(count.close(now_ms));
        }
        documents.iter().for_each(|document| digest.bytes(document));
        let merged = Work::merged(documents.iter().map(Vec::as_slice), now_ms);
        for _ in 0..60 {
            let index = rng.random_range(0..map.shards.len());
            let start = map.shards[index].start;
            let next = map.shards.get(index + 1).map_or(u64::MAX, |shard| shard.start);
            digest.float(merged.in_range(start, next - 1));
            let changed = match rng.random_bool(0.5) {
                true => {
                    map.split(start, start + [0, 1, rng.random_range(0..1 << 60)][rng.random_range(0..3)], 50)
                }
                false => map.merge(start, next),
            };
            digest.option(changed.err(), |digest, error| write_error(digest, &error));
        }
        digest.bytes(&map.encode());
        digest.number(position(round));
    }
    digest.finish()
}

#[test]
fn planner_and_follower_decisions_match_the_recorded_digests() {
    expect(
        "the planner of shards",
        planner,
        &[0xda8c91235aa4a71b, 0x70fe059a0761c9df, 0x8d394271f2a87d60, 0x0ec63264bcd491cc],
    );
}

#[test]
fn the_choice_of_moves_matches_the_recorded_digest() {
    expect("the choice of moves", moves, &[0x62b8b0c048b0b6c8]);
}

#[test]
fn quiet_windows_match_the_recorded_digest() {
    expect("the quiet hours", quiet_windows, &[0xc936d5273f4ef370]);
}

#[test]
fn work_and_maps_match_the_recorded_digest() {
    expect("work and maps", work_and_maps, &[0x4448f92817dccc05]);
}
