use super::*;

const S: Micros = 1_000_000;
const NOW: Micros = 1_000_000 * S;
const UNIX_MS: u64 = 1_764_576_000_000;

/// A process whose wall clock was off by so many seconds when it started.
fn off_by(seconds: i64) -> Timestamps {
    Timestamps::new(NOW, (UNIX_MS * 1000).saturating_add_signed(seconds * S as i64))
}

fn server() -> Id {
    "s-00000001".into()
}

#[test]
fn an_event_is_never_older_than_the_events_before_it_allow_nor_in_the_future() {
    for seconds in [-3_600, -5, 0, 5, 3_600] {
        let mut stamps = off_by(seconds);
        // The first is the only measure there is: heard now, made now at the latest.
        let first = stamps.event(NOW, UNIX_MS);
        assert!(first <= NOW, "{seconds}");
        assert!(seconds < 0 || first == NOW, "off by {seconds} s: {} us old", NOW - first);
        // Ten seconds later one that was made two seconds before it is heard, and 8 s after the first.
        let age = NOW + 10 * S - stamps.event(NOW + 10 * S, UNIX_MS + 8_000);
        assert!(age <= 2 * S, "off by {seconds} s: {age}");
    }
}

#[test]
fn a_start_keeps_the_moment_that_it_was_first_given() {
    let mut stamps = off_by(0);
    let first = stamps.start(NOW, &server(), UNIX_MS - 3_000, StartReport::AfterSilence(0));
    assert_eq!(first, NOW, "nothing else tells how old it is");
    let again = stamps.start(NOW + 60 * S, &server(), UNIX_MS - 3_000, StartReport::AfterSilence(0));
    assert_eq!(again, first);
    assert_eq!(stamps.start(NOW, &server(), 0, StartReport::Initial), 0);
}

#[test]
fn a_start_that_can_not_be_so_old_is_taken_for_one_of_now() {
    // Their clock was stepped back by an hour: for a server that is known, and for one that is not.
    for known in [true, false] {
        let mut stamps = off_by(0);
        if known {
            stamps.start(NOW, &server(), UNIX_MS, StartReport::AfterSilence(0));
        }
        stamps.event(NOW, UNIX_MS);
        let moment = stamps.start(NOW + 60 * S, &server(), UNIX_MS - 3_540_000, StartReport::AfterSilence(0));
        assert_eq!(moment, NOW + 60 * S, "known: {known}");
    }
    // After an hour in which nothing was heard, and in the list of the start, it may be.
    for heard in [StartReport::AfterSilence(3_600 * S), StartReport::Initial] {
        let mut stamps = off_by(0);
        stamps.event(NOW, UNIX_MS);
        let moment = stamps.start(NOW, &server(), UNIX_MS - 1_800_000, heard);
        assert_eq!(moment, NOW - 1_800 * S);
    }
}

#[test]
fn a_copy_is_never_younger_than_the_wall_clock_allows_and_one_that_is_behind_is_not_believed() {
    let age = |stamps: &mut Timestamps, unix_ms| NOW - stamps.copy(NOW, unix_ms);
    assert_eq!(age(&mut off_by(0), UNIX_MS - 7_000), 7 * S);
    assert_eq!(age(&mut off_by(3_600), UNIX_MS - 7_000), 3_607 * S, "too old is no harm");
    let mut behind = off_by(-3_600);
    behind.event(NOW, UNIX_MS - 300);
    assert_eq!(age(&mut behind, UNIX_MS - 3_607_000), NOW, "as the last purge shows");
    assert_eq!(age(&mut off_by(-3_600), UNIX_MS - 7_000), NOW, "as it shows itself");
    // One that is spoilt has the clock in doubt for a while, not for good.
    let mut stamps = off_by(0);
    stamps.copy(NOW, u64::MAX);
    assert_eq!(age(&mut stamps, UNIX_MS - 7_000), NOW);
    assert_eq!(stamps.copy(NOW + 60 * S, UNIX_MS - 7_000), NOW - 7 * S);
}
