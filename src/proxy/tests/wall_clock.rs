//! The machine's wall clock is wrong, or is stepped: no age, window or ramp moves with it.

use super::*;

const HOUR_MS: i64 = 3_600_000;

fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// An instance on a machine whose wall clock is off by so much, with a cache that started just now.
fn off_by(error_ms: i64, change: impl FnOnce(&mut serde_json::Value)) -> World {
    World::with_clock(Clock::start_off_by(error_ms), |config| {
        config["known"]["cmds"][0]["nodes"]["instances"][0]["startedAtMs"] = unix_ms().into();
        change(config);
    })
}

/// The start of the cache as the module has been told last.
fn told_start(w: &World) -> Micros {
    let of_cache = |e: &Event| match e {
        Event::Endpoints { endpoints: members, .. } => {
            members.iter().find(|m| &*m.id == CACHE).map(|m| m.started_at)
        }
        _ => None,
    };
    w.events.all().iter().rev().find_map(of_cache).expect("the cache was listed")
}

/// Slow start binds from a start on, whatever the wall clock says. Seen failing with an hour ahead (an endpoint of long
/// ago, and warm) and with an hour behind (cold for an hour).
#[test]
fn a_cold_endpoint_is_cold_for_its_ramp_whatever_the_wall_clock_says() {
    for error_ms in [-HOUR_MS, -5_000, 0, 5_000, HOUR_MS] {
        let w = off_by(error_ms, |_| {});
        let age = w.proxy.now as i64 - told_start(&w) as i64;
        assert!((0..1_000_000).contains(&age), "off by {error_ms} ms: {age} us old");
    }
}

/// A start keeps its moment when its record is told again, also where discovery's clock was stepped in between; and
/// one that goes back is a start of now.
#[test]
fn a_start_told_again_keeps_its_moment_and_one_that_goes_back_is_new() {
    let mut w = off_by(0, |_| {});
    let first = told_start(&w);
    let again = |w: &mut World, started_ms: u64| {
        let record = Record {
            id: CACHE.to_owned(),
            address: w.cache.local_addr().unwrap(),
            state: RecordState::Ready,
            zone: 0,
            kind: 0,
            cell: 0,
            weight: 30.0,
            started_ms,
        };
        w.proxy.apply_endpoints(false, vec![record]);
        w.proxy.process_events();
    };
    let told_ms = unix_ms() + 3_000;
    w.skip(3_000 * MILLISECOND);
    again(&mut w, told_ms);
    let second = told_start(&w);
    assert!(second >= first + 2_900 * MILLISECOND, "a new start");
    w.skip(3_000 * MILLISECOND);
    again(&mut w, told_ms);
    assert_eq!(told_start(&w), second);
    w.skip(60_000 * MILLISECOND);
    again(&mut w, told_ms - 3_540_000);
    assert_eq!(told_start(&w), w.proxy.now, "their clock was stepped back by an hour");
}

/// A purge is never taken for older than it is: an attempt after it accepts no copy from before it. Seen failing with
/// an hour ahead: copies of up to an hour were accepted.
#[test]
fn a_purge_is_never_taken_for_older_than_it_is() {
    for error_ms in [-HOUR_MS, 0, HOUR_MS] {
        let mut w = off_by(error_ms, |_| {});
        w.proxy.execute(Command::Purge { scope: Purge::Group(17), when_ms: unix_ms() });
        w.proxy.process_events();
        w.skip(600 * MILLISECOND);
        let mut client = w.client();
        client.put(&request(1, 1, "page"));
        let mut cache = w.cache();
        let want = w.command(&mut cache);
        let fresh = want[2].split(',').find_map(|f| f.strip_prefix("fresh=")).unwrap();
        assert!(fresh.parse::<u64>().unwrap() < 2_000, "off by {error_ms} ms: {}", want[2]);
    }
}

/// No copy of the instance's own is served that is too old, though the wall clock was behind at the start.
#[test]
fn with_the_wall_clock_behind_no_copy_of_its_own_is_served_too_old() {
    let (mut w, mut channel) = local_cache::with_copies_by(Clock::start_off_by(-HOUR_MS));
    let (mut client, mut cache) = (w.client(), None);
    let minted = unix_ms() - 30_000;
    local_cache::tells(&mut w, &mut channel, None);
    for number in 1..=4 {
        let asked = local_cache::asks_for(&mut w, &mut client, &mut cache, number, minted, "page");
        assert!(asked, "{number}: a copy of 30 s where 22 s may be");
    }
}
