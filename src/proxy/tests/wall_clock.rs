//! A wrong or stepped wall clock does not affect ages, windows or ramps.

use super::*;

const HOUR_MS: i64 = 3_600_000;

fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Starts an instance whose wall clock is off by `error_ms`, with a cache that started just now.
fn with_clock_error(error_ms: i64, change: impl FnOnce(&mut serde_json::Value)) -> Harness {
    Harness::with_clock(Clock::start_off_by(error_ms), |config| {
        config["known"]["cmds"][0]["nodes"]["instances"][0]["startedAtMs"] = unix_ms().into();
        change(config);
    })
}

/// Returns the start time of the cache that the router received last.
fn reported_start(harness: &Harness) -> Micros {
    let of_cache = |e: &Event| match e {
        Event::Endpoints { endpoints: members, .. } => {
            members.iter().find(|m| &*m.id == CACHE).map(|m| m.started_at)
        }
        _ => None,
    };
    harness.events.all().iter().rev().find_map(of_cache).expect("the cache was listed")
}

/// Slow start begins at the start of an endpoint whatever the wall clock says. Without this, an endpoint
/// counted as warm with the clock an hour ahead, and as cold for an hour with the clock an hour behind.
#[test]
fn a_new_endpoint_counts_as_cold_whatever_the_wall_clock_says() {
    for error_ms in [-HOUR_MS, -5_000, 0, 5_000, HOUR_MS] {
        let harness = with_clock_error(error_ms, |_| {});
        let age = harness.proxy.now as i64 - reported_start(&harness) as i64;
        assert!((0..1_000_000).contains(&age), "off by {error_ms} ms: {age} us old");
    }
}

/// A start time is kept when its record is repeated, also if discovery's clock was stepped in between; a
/// start time that goes backwards counts as a start at the present time.
#[test]
fn a_repeated_start_time_is_kept_and_an_earlier_one_counts_as_a_new_start() {
    let mut harness = with_clock_error(0, |_| {});
    let first = reported_start(&harness);
    let repeat_record = |harness: &mut Harness, started_ms: u64| {
        let record = Record {
            id: CACHE.to_owned(),
            address: harness.cache.local_addr().unwrap(),
            state: RecordState::Ready,
            zone: 0,
            kind: 0,
            cell: 0,
            weight: 30.0,
            started_ms,
        };
        harness.proxy.apply_endpoints(false, vec![record]);
        harness.proxy.process_events();
    };
    let recorded_ms = unix_ms() + 3_000;
    harness.skip(3_000 * MILLISECOND);
    repeat_record(&mut harness, recorded_ms);
    let second = reported_start(&harness);
    assert!(second >= first + 2_900 * MILLISECOND, "a new start");
    harness.skip(3_000 * MILLISECOND);
    repeat_record(&mut harness, recorded_ms);
    assert_eq!(reported_start(&harness), second);
    harness.skip(60_000 * MILLISECOND);
    repeat_record(&mut harness, recorded_ms - 3_540_000);
    assert_eq!(reported_start(&harness), harness.proxy.now, "discovery's clock was stepped back by an hour");
}

/// The age of a purge is never overestimated: an attempt after the purge accepts no copy from before it. With
/// the clock an hour ahead, copies of up to an hour were accepted.
#[test]
fn the_age_of_a_purge_is_never_overestimated() {
    for error_ms in [-HOUR_MS, 0, HOUR_MS] {
        let mut harness = with_clock_error(error_ms, |_| {});
        harness.proxy.execute(Command::Purge { scope: Purge::Group(17), when_ms: unix_ms() });
        harness.proxy.process_events();
        harness.skip(600 * MILLISECOND);
        let mut client = harness.connect_client();
        client.write(&request(1, 1, "page"));
        let mut cache = harness.accept_cache();
        let command = harness.read_command(&mut cache);
        let fresh = command[2].split(',').find_map(|f| f.strip_prefix("fresh=")).unwrap();
        assert!(fresh.parse::<u64>().unwrap() < 2_000, "off by {error_ms} ms: {}", command[2]);
    }
}

/// A local copy beyond its maximum age is not served, although the wall clock was behind at the start.
#[test]
fn with_the_wall_clock_behind_no_local_copy_beyond_its_maximum_age_is_served() {
    let (mut harness, mut channel) = local_cache::with_local_cache_and_clock(Clock::start_off_by(-HOUR_MS));
    let (mut client, mut cache) = (harness.connect_client(), None);
    let minted = unix_ms() - 30_000;
    local_cache::send_channel_frame(&mut harness, &mut channel, None);
    for number in 1..=4 {
        let asked =
            local_cache::request_object_as(&mut harness, &mut client, &mut cache, number, minted, "page");
        assert!(asked, "{number}: the copy is 30 s old, the maximum is 22 s");
    }
}
