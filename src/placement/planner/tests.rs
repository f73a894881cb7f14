//! Tests of the planner against a registry that commits every transaction.

use super::super::load::MeasuredShard;
use super::super::quiet::{Calendar, Window};
use super::super::rebalance::EndpointCapacity;
use super::super::Settings;
use super::*;
use crate::failover::SiteState;
use jiff::Timestamp;

/// A zone of two endpoints, its planner, and a registry that commits every transaction.
struct Zone {
    planner: Planner,
    settings: Settings,
    calendar: Calendar,
    documents: [Option<(Vec<u8>, i64)>; 2],
    endpoints: Vec<EndpointCapacity>,
    loads: Vec<MeasuredShard>,
    requested_changes: Option<Vec<Change>>,
    notices: Vec<Notice>,
    now: Micros,
    unix_ms: u64,
    skew_ms: u64,
    site: SiteState,
    revision: i64,
}

const START_MS: u64 = 1_000_000_000;

impl Zone {
    fn new() -> Self {
        let at = |s: u64| Timestamp::from_millisecond((START_MS + s * 1_000) as i64).unwrap();
        let endpoint = |id: &str| EndpointCapacity {
            id: id.into(),
            weight: 1.0,
            accepts_requests: true,
            in_slow_start: false,
            spare_kb_s: 1e6,
        };
        Zone {
            planner: Planner::new(1, "/s/"),
            settings: Settings { first: 4, moves: 3, ..Settings::new(Vec::new(), "/s/") },
            calendar: Calendar {
                quiet: vec![("west".into(), Window::Once(at(100), at(400)))],
                blackouts: vec![],
            },
            documents: [None, None],
            endpoints: vec![endpoint("a"), endpoint("b")],
            loads: (0..4u64).map(|n| MeasuredShard { start: n << 62, load: 1.0, kb: 1_000.0 }).collect(),
            requested_changes: None,
            notices: Vec::new(),
            now: 0,
            unix_ms: START_MS,
            skew_ms: 0,
            site: SiteState::Serving,
            revision: 10,
        }
    }

    /// Advances both clocks by one second and steps the planner twice; transactions commit at once, and the instance
    /// applies each map before the next step.
    fn tick(&mut self) {
        (self.now, self.unix_ms) = (self.now + 1_000_000, self.unix_ms + 1_000);
        for _ in 0..2 {
            let epoch = self.map().map(|m| m.epoch);
            let input = PlannerInput {
                settings: &self.settings,
                calendar: &self.calendar,
                zone: "west",
                now: self.now,
                unix_ms: self.unix_ms,
                skew_ms: self.skew_ms,
                fence: Some(5),
                sites: &[SiteState::Serving, self.site],
                instances: &[epoch],
                max_instances: 1,
                local_map: None,
                link_kb_s: 1_000.0,
                endpoints: &self.endpoints,
                loads: &self.loads,
                requested_changes: self.requested_changes.as_deref(),
            };
            if let Some(transaction) = self.planner.step(&input, &mut self.notices) {
                self.revision += 1;
                for (key, value) in transaction.puts {
                    self.documents[usize::from(key == "/s/moves/1")] = Some((value, self.revision));
                }
                self.planner.handle_result(transaction.id, TransactionResult::Committed(self.revision));
            }
            if self.planner.needs_documents() {
                self.read();
            }
        }
    }

    fn read(&mut self) {
        let [map, moves] = self.documents.each_ref().map(|d| d.as_ref().map(|d| (&d.0[..], d.1)));
        self.planner.update_documents(map, moves, &mut self.notices);
    }

    fn map(&self) -> Option<ShardMap> {
        ShardMap::decode(&self.documents[0].as_ref()?.0, 1).ok()
    }

    fn run_until(&mut self, second: u64) {
        while self.unix_ms < START_MS + second * 1_000 {
            self.tick();
        }
    }

    fn count(&self, matches_notice: fn(&Notice) -> bool) -> usize {
        self.notices.iter().filter(|n| matches_notice(n)).count()
    }
}

#[test]
fn shards_get_homes_only_inside_the_window_and_within_its_move_limit() {
    let mut zone = Zone::new();
    zone.run_until(99);
    assert!(zone.map().unwrap().shards.iter().all(|s| s.home.is_none()), "a first map moves nothing");
    zone.run_until(500);
    let homes = zone.map().unwrap().shards.iter().filter(|s| s.home.is_some()).count();
    assert_eq!((homes, zone.count(|n| matches!(n, Notice::Begun(..)))), (3, 3), "{:?}", zone.notices);
    let map = zone.map().unwrap();
    assert_eq!((map.epoch, zone.count(|n| matches!(n, Notice::Completed(_)))), (7, 3));
}

#[test]
fn no_move_begins_that_exceeds_the_window_or_while_a_site_recovers_or_clocks_are_skewed() {
    let mut large_shards = Zone::new();
    large_shards.loads.iter_mut().for_each(|l| l.kb = 300.0 * 100.0);
    large_shards.run_until(500);
    assert_eq!(large_shards.count(|n| matches!(n, Notice::Begun(..))), 0);
    let mut recovering = Zone::new();
    recovering.site = SiteState::Recovering { step: 1 };
    recovering.run_until(500);
    assert_eq!(recovering.count(|n| matches!(n, Notice::Begun(..))), 0);
    let mut skewed = Zone::new();
    skewed.skew_ms = 2_001;
    skewed.run_until(500);
    assert_eq!(skewed.count(|n| matches!(n, Notice::Begun(..))), 0);
    assert_eq!(skewed.count(|n| *n == Notice::Skewed(2_001)), 1);
}

#[test]
fn a_fault_during_warming_rolls_the_move_back() {
    type Fault = fn(&mut Zone);
    let faults: [(Fault, Reason); 4] = [
        (|z| z.site = SiteState::Suspected, Reason::Site),
        (|z| z.unix_ms += 60_000, Reason::ClockStepped),
        (|z| z.endpoints.iter_mut().for_each(|b| b.accepts_requests = false), Reason::TargetGone),
        (|z| z.calendar = Calendar::default(), Reason::WindowEnds),
    ];
    for (inject, expected_reason) in faults {
        let mut zone = Zone::new();
        zone.run_until(106);
        assert!(zone.map().unwrap().shards.iter().any(|s| s.warming.is_some()), "{:?}", zone.notices);
        inject(&mut zone);
        (0..2).for_each(|_| zone.tick());
        assert!(zone.map().unwrap().shards.iter().all(|s| s.home.is_none()));
        assert!(zone.notices.iter().any(|n| matches!(n, Notice::RolledBack(_, w) if *w == expected_reason)));
    }
}

#[test]
fn pending_changes_survive_a_new_planner_and_are_applied_once() {
    let mut zone = Zone::new();
    let split = Change::Split { start: 0, at: 1 << 61, not_before_ms: START_MS + 200_000 };
    zone.requested_changes = Some(vec![split, Change::Merge { start: 2 << 62, next: 3 << 62 }]);
    zone.settings.moves = 0;
    zone.run_until(150);
    (zone.planner, zone.requested_changes) = (Planner::new(1, "/s/"), None);
    zone.run_until(199);
    assert_eq!(zone.map().unwrap().shards.len(), 3, "only the merge");
    zone.run_until(202);
    assert_eq!(zone.map().unwrap().shards.len(), 4);
    zone.requested_changes = Some(vec![split]);
    let epoch = zone.map().unwrap().epoch;
    zone.run_until(300);
    assert_eq!(zone.map().unwrap().epoch, epoch, "a split that was applied is not applied again");
}

#[test]
fn a_lost_torn_or_outdated_map_is_restored_and_an_unknown_format_is_left_unchanged() {
    let mut zone = Zone::new();
    zone.run_until(300);
    let last_good = zone.map().unwrap();
    let outdated = ShardMap { epoch: 1, ..last_good.clone() }.encode();
    for document in [None, Some((vec![1, 2, 3], 77)), Some((outdated, 77))] {
        let before = zone.map().unwrap().epoch;
        zone.documents[0] = document;
        zone.read();
        zone.tick();
        let map = zone.map().unwrap();
        assert!(map.epoch > before && map.shards == last_good.shards, "{:?}", zone.notices.last());
    }
    let mut unknown_format = last_good.encode();
    unknown_format[1] = 2;
    zone.documents[0] = Some((unknown_format.clone(), 99));
    zone.read();
    zone.run_until(500);
    assert_eq!(zone.documents[0], Some((unknown_format, 99)));
    assert_eq!(zone.count(|n| matches!(n, Notice::Unusable(PlacementError::Format { .. }))), 1);
}
