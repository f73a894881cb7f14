//! The machine's wall clock is wrong, or is stepped: no age, window or ramp moves with it.

use super::*;

const HOUR_MS: i64 = 3_600_000;

fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A doorman on a machine whose wall clock is off by so much, with a cache that started just now.
fn off_by(error_ms: i64, change: impl FnOnce(&mut serde_json::Value)) -> World {
    World::with_clock(Clock::start_off_by(error_ms), |config| {
        config["known"]["cmds"][0]["nodes"]["instances"][0]["startedAtMs"] = unix_ms().into();
        change(config);
    })
}

/// The start of the cache as the module has been told last.
fn told_start(w: &World) -> Time {
    let of_cache = |e: &Event| match e {
        Event::Members { members, .. } => members.iter().find(|m| &*m.id == CACHE).map(|m| m.started),
        _ => None,
    };
    w.doorman.told.iter().rev().find_map(of_cache).expect("the cache was listed")
}

/// Slow start binds from a start on, whatever the wall clock says. Seen failing with an hour ahead (a depot of long
/// ago, and warm) and with an hour behind (cold for an hour).
#[test]
fn a_cold_depot_is_cold_for_its_ramp_whatever_the_wall_clock_says() {
    for error_ms in [-HOUR_MS, -5_000, 0, 5_000, HOUR_MS] {
        let w = off_by(error_ms, |_| {});
        let age = w.doorman.now as i64 - told_start(&w) as i64;
        assert!((0..1_000_000).contains(&age), "off by {error_ms} ms: {age} us old");
    }
}
