//! What happens beyond constants that the fleet's size to come passes, or comes near: refused with a word, cut off, or
//! slower. The table of docs/CAPACITY.md rests on these.

use larchdale::config::product::script;
use larchdale::failover::load_shift::{LimitedInput, PlanBuilder, PlanError, MAX_ZONES};
use larchdale::failover::site_report::{SiteObservation, SiteReport, MAX_BYTES, MAX_SITES};
use larchdale::placement::map::{ShardMap, MAX_SHARDS};
use larchdale::registry::documents::Settings;
use larchdale_fleet_simulation::capacity::target;
use larchdale_fleet_simulation::slopes::cost::Stopwatch;
use larchdale_fleet_simulation::slopes::documents::Mirror;
use larchdale_fleet_simulation::slopes::plan::inputs;
use larchdale_test_support::registry::store::Store;
use std::path::Path;

#[test]
fn plans_for_more_zones_than_may_be_are_refused_with_a_word() {
    let zones = target::SITES as usize;
    let refused = PlanBuilder::new(&inputs(zones, false)).unwrap_err();
    assert_eq!(refused, PlanError::TooMany { input: LimitedInput::Zones, count: zones, max: MAX_ZONES });
    assert!(refused.to_string().contains("leave site_plan() out"), "{refused}");
}

/// A region's loss takes 13 sites: a note has room for fewer of them, and says nothing of the others.
#[test]
fn a_note_has_room_for_fewer_sites_than_it_may_name() {
    let sight = |zone| SiteObservation { zone, reached: 0, failed: 9, unreachable_tenths_s: 30, state: 2 };
    let sights: Vec<SiteObservation> =
        (0..(target::SITES / target::REGIONS) as u8).map(|n| sight(150 + n)).collect();
    let note = SiteReport {
        zone: 99,
        clock_ms: 1_800_000_000_000,
        plan_number: u32::MAX,
        map_epoch: 5_000,
        observations: sights,
    };
    let bytes = note.encode();
    let told = SiteReport::decode(&bytes).unwrap().observations.len();
    assert!(bytes.len() <= MAX_BYTES && told < MAX_SITES && told < note.observations.len(), "{told}");
    assert_eq!(told, 9);
}

#[test]
fn documents_beyond_the_bytes_that_may_be_are_not_followed() {
    let with = |keys: usize| {
        let mut store = Store::new(7);
        for n in 0..keys {
            store.put(format!("/f/growth/{n}").as_bytes(), &vec![7; 2_000_000], 0);
        }
        Mirror::new(store).follow(&mut Stopwatch::new())
    };
    // A minute of growth() in a fleet of 3,300 has far more than the 64 MB that are kept.
    assert!(with(30) && !with(36));
    assert_eq!((Settings::new(1, "/f/").max_keys, Settings::new(1, "/f/").max_bytes), (50_000, 64 << 20));
}

#[test]
fn a_map_has_no_more_shards_than_may_be_and_its_document_is_small_enough() {
    let map = ShardMap::first(3, 1, MAX_SHARDS + 1);
    assert_eq!(map.shards.len(), MAX_SHARDS, "the setting refuses more, so that nobody asks for it");
    let mut full = ShardMap::first(3, 1, MAX_SHARDS);
    let why = full.split(0, 1, MAX_SHARDS).unwrap_err().to_string();
    assert!(why.contains("the maximum number of shards is reached"), "{why}");
}

#[test]
fn windows_beyond_those_that_may_be_are_refused_with_a_word() {
    let text = |many: usize| {
        let call = |n: usize| {
            format!("quiet(zone = \"z{n}\", days = [\"sat\"], since = \"22:00\", until = \"05:00\", tz = \"UTC\")\n")
        };
        let shards = "shards(endpoints = [\"127.0.0.1:2379\"], prefix = \"/f/\")\n";
        (0..many).map(call).chain([shards.to_owned()]).collect::<String>()
    };
    script::run(Path::new("x.star"), text(target::SITES as usize)).unwrap();
    let why = script::run(Path::new("x.star"), text(2 * target::SITES as usize)).unwrap_err().to_string();
    assert!(why.contains("more than 256 quiet windows and blackouts"), "{why}");
}
