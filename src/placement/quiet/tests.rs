//! Tests of windows and blackouts against the wall clock.

use super::*;
use proptest::prelude::*;

const ZONES: [&str; 7] = [
    "America/Vancouver",
    "Europe/Berlin",
    "Australia/Lord_Howe",
    "Asia/Kathmandu",
    "America/Sao_Paulo",
    "Pacific/Apia",
    "Africa/Casablanca",
];

fn ms(text: &str) -> u64 {
    text.parse::<Timestamp>().unwrap().as_millisecond() as u64
}

fn weekly(days: u8, from: u16, to: u16, zone: &str) -> (String, Window) {
    ("a".to_owned(), Window::Weekly { days, from, to, zone: TimeZone::get(zone).unwrap() })
}

/// Whether the zone is quiet at `at`, as read directly from the wall clock.
fn is_quiet_by_wall_clock(calendar: &Calendar, at: u64) -> bool {
    let now = Timestamp::from_millisecond(at as i64).unwrap();
    let within = |(_, window): &(String, Window)| match window {
        Window::Once(starts, ends) => *starts <= now && now < *ends,
        Window::Weekly { days, from, to, zone } => {
            let local = zone.to_datetime(now);
            let minute = local.hour() as u16 * 60 + local.minute() as u16;
            let today = local.date().weekday().to_monday_zero_offset() as u8;
            let begins_on = |day: u8| days >> (day % 7) & 1 == 1;
            let spans_midnight = to <= from;
            begins_on(today) && minute >= *from && (spans_midnight || minute < *to)
                || spans_midnight && begins_on(today + 6) && minute < *to
        }
    };
    let in_blackout = |b: &(Option<String>, Timestamp, Timestamp)| b.1 <= now && now < b.2;
    calendar.quiet.iter().any(within) && !calendar.blackouts.iter().any(in_blackout)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    /// The computed windows agree with the wall clock at each minute, also around clock changes of several time zones.
    #[test]
    fn computed_windows_agree_with_the_wall_clock(
        weeks in proptest::collection::vec((1u8..128, 0u16..1440, 0u16..1440, 0usize..7), 1..4),
        // Times close to clock changes in some of the zones, and one without a change.
        reference_time in prop_oneof![
            Just("2026-03-08T10:00:00Z"), Just("2026-11-01T09:00:00Z"), Just("2026-10-25T01:00:00Z"),
            Just("2026-04-04T15:00:00Z"), Just("2011-12-30T10:00:00Z"), Just("2018-11-04T03:00:00Z"),
            Just("2026-02-15T02:00:00Z"), Just("2027-01-01T00:00:00Z")],
        blackout in proptest::option::of((0u64..2_000, 1u64..600)),
    ) {
        let begin = ms(reference_time) - 20 * 3_600_000;
        let at = |minute: u64| Timestamp::from_millisecond((begin + minute * 60_000) as i64).unwrap();
        let calendar = Calendar {
            quiet: weeks.iter().map(|w| weekly(w.0, w.1, w.2, ZONES[w.3])).collect(),
            blackouts: blackout.iter().map(|b| (None, at(b.0), at(b.0 + b.1))).collect(),
        };
        let spans = calendar.windows("a", begin, begin + 60 * 60 * 60_000);
        for pair in spans.windows(2) {
            prop_assert!(pair[0].1 < pair[1].0 , "merged and in order");
        }
        for minute in 0..60 * 60 {
            let now = begin + minute * 60_000;
            let span = spans.iter().find(|s| s.0 <= now && now < s.1);
            prop_assert_eq!(span.is_some(), is_quiet_by_wall_clock(&calendar, now), "{}", at(minute));
            if minute % 97 == 0 {
                let ends = calendar.quiet_at("a", now);
                prop_assert_eq!(ends.is_some(), span.is_some());
                prop_assert!(ends.is_none_or(|e| e == now + super::LOOKAHEAD_MS || !is_quiet_by_wall_clock(&calendar, e)));
            }
        }
    }
}

#[test]
fn windows_follow_skipped_and_repeated_hours_and_cross_midnight() {
    let vancouver = "America/Vancouver";
    let quiet_at = |from, to, at: &str| {
        Calendar { quiet: vec![weekly(127, from, to, vancouver)], blackouts: vec![] }.quiet_at("a", ms(at))
    };
    assert_eq!(quiet_at(120, 180, "2026-03-08T10:00:00Z"), None, "02:00 to 03:00 never came");
    assert_eq!(quiet_at(60, 90, "2025-11-02T09:15:00Z"), Some(ms("2025-11-02T09:30:00Z")), "01:15 again");
    assert_eq!(quiet_at(1380, 60, "2026-06-02T06:30:00Z"), Some(ms("2026-06-02T08:00:00Z")));
    assert_eq!(Calendar::default().next_window("a", 0), None);
    assert_eq!(Calendar::default().windows("a", u64::MAX, u64::MAX), vec![]);
    let calendar = Calendar { quiet: vec![weekly(1, 0, 60, vancouver)], blackouts: vec![] };
    let _ = calendar.windows("a", i64::MAX as u64 - 5, u64::MAX);
    let _ = calendar.windows("a", 253_402_200_000_000, u64::MAX);
}

#[test]
fn an_unknown_zone_is_reported_with_the_known_zones() {
    let calendar = Calendar { quiet: vec![weekly(1, 0, 60, ZONES[0])], blackouts: vec![] };
    assert_eq!(calendar.check(&["a".into()]), Ok(()));
    let message = calendar.check(&["north".into(), "south".into()]).unwrap_err().to_string();
    assert!(message.contains("'a'") && message.contains("north, south"), "{message}");
}
