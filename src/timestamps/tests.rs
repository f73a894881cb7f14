use super::*;

const SECOND: Micros = 1_000_000;
const NOW: Micros = 1_000_000 * SECOND;
const UNIX_MS: u64 = 1_764_576_000_000;

/// Timestamps of a process whose wall clock was off by `seconds` when it started.
fn with_wall_clock_off_by(seconds: i64) -> Timestamps {
    Timestamps::new(NOW, (UNIX_MS * 1000).saturating_add_signed(seconds * SECOND as i64))
}

fn server() -> Id {
    "s-00000001".into()
}

#[test]
fn an_event_is_never_older_than_the_events_before_it_allow_nor_in_the_future() {
    for seconds in [-3_600, -5, 0, 5, 3_600] {
        let mut timestamps = with_wall_clock_off_by(seconds);
        // The first event is the only reference: it is received now, so it was made now at the latest.
        let first = timestamps.event_time(NOW, UNIX_MS);
        assert!(first <= NOW, "{seconds}");
        assert!(seconds < 0 || first == NOW, "off by {seconds} s: {} us old", NOW - first);
        // Ten seconds later an event is received that was made 8 s after the first, two seconds before its receipt.
        let age = NOW + 10 * SECOND - timestamps.event_time(NOW + 10 * SECOND, UNIX_MS + 8_000);
        assert!(age <= 2 * SECOND, "off by {seconds} s: {age}");
    }
}

#[test]
fn a_start_keeps_the_time_first_derived_for_it() {
    let mut timestamps = with_wall_clock_off_by(0);
    let first = timestamps.start_time(NOW, &server(), UNIX_MS - 3_000, StartReport::AfterSilence(0));
    assert_eq!(first, NOW, "no other reference shows its age");
    let again =
        timestamps.start_time(NOW + 60 * SECOND, &server(), UNIX_MS - 3_000, StartReport::AfterSilence(0));
    assert_eq!(again, first);
    assert_eq!(timestamps.start_time(NOW, &server(), 0, StartReport::Initial), 0);
}

#[test]
fn an_implausibly_old_start_counts_as_now() {
    // The sender's clock was stepped back by an hour, for a known and for an unknown server.
    for known in [true, false] {
        let mut timestamps = with_wall_clock_off_by(0);
        if known {
            timestamps.start_time(NOW, &server(), UNIX_MS, StartReport::AfterSilence(0));
        }
        timestamps.event_time(NOW, UNIX_MS);
        let time = timestamps.start_time(
            NOW + 60 * SECOND,
            &server(),
            UNIX_MS - 3_540_000,
            StartReport::AfterSilence(0),
        );
        assert_eq!(time, NOW + 60 * SECOND, "known: {known}");
    }
    // After a silence of an hour, and in the initial list, such an age is plausible.
    for report in [StartReport::AfterSilence(3_600 * SECOND), StartReport::Initial] {
        let mut timestamps = with_wall_clock_off_by(0);
        timestamps.event_time(NOW, UNIX_MS);
        let time = timestamps.start_time(NOW, &server(), UNIX_MS - 1_800_000, report);
        assert_eq!(time, NOW - 1_800 * SECOND);
    }
}

#[test]
fn a_copy_is_never_younger_than_the_wall_clock_allows_and_counts_as_old_while_that_clock_is_behind() {
    let age = |timestamps: &mut Timestamps, unix_ms| NOW - timestamps.copy_time(NOW, unix_ms);
    assert_eq!(age(&mut with_wall_clock_off_by(0), UNIX_MS - 7_000), 7 * SECOND);
    assert_eq!(
        age(&mut with_wall_clock_off_by(3_600), UNIX_MS - 7_000),
        3_607 * SECOND,
        "an overestimated age does no harm"
    );
    let mut behind = with_wall_clock_off_by(-3_600);
    behind.event_time(NOW, UNIX_MS - 300);
    assert_eq!(age(&mut behind, UNIX_MS - 3_607_000), NOW, "an event shows that the clock is behind");
    assert_eq!(
        age(&mut with_wall_clock_off_by(-3_600), UNIX_MS - 7_000),
        NOW,
        "the copy's own timestamp shows it"
    );
    // A corrupt timestamp makes the clock distrusted for a limited time only.
    let mut timestamps = with_wall_clock_off_by(0);
    timestamps.copy_time(NOW, u64::MAX);
    assert_eq!(age(&mut timestamps, UNIX_MS - 7_000), NOW);
    assert_eq!(timestamps.copy_time(NOW + 60 * SECOND, UNIX_MS - 7_000), NOW - 7 * SECOND);
}
