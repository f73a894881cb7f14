//! When a zone's shards may move: weekly windows in a time zone of their own, windows of once, and blackouts.

use super::error::PlacementError;
use jiff::tz::TimeZone;
use jiff::Timestamp;

/// A window in which shards may move.
#[derive(Clone, Debug, PartialEq)]
pub enum Window {
    /// Each week.
    Weekly {
        /// The days on which it begins; bit 0 is Monday.
        days: u8,
        /// The minute of the day at which it begins.
        from: u16,
        /// The minute of the day at which it ends; not above `from`: on the next day.
        to: u16,
        /// By whose clock.
        zone: TimeZone,
    },
    /// Once, from one moment up to another.
    Once(Timestamp, Timestamp),
}

/// All windows and blackouts of an installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Calendar {
    /// By the name of a zone of the settings.
    pub quiet: Vec<(String, Window)>,
    /// Nothing moves from one moment up to another, in a zone or, without a name, anywhere.
    pub blackouts: Vec<(Option<String>, Timestamp, Timestamp)>,
}

/// How far ahead windows are looked for, in milliseconds: five weeks.
pub const AHEAD_MS: u64 = 35 * DAY_MS as u64;
/// Longest span that [`Calendar::windows`] looks at, in milliseconds: 400 days; what is later is left out.
pub const LONGEST_MS: u64 = 400 * DAY_MS as u64;
const DAY_MS: i64 = 86_400_000;
const MINUTE_MS: i64 = 60_000;

type Span = (i64, i64);

/// Adds when the wall clock of a time zone is within a weekly window. An hour that the clock skips never comes; one
/// that it repeats comes twice, and is quiet both times.
fn weekly((from, to): Span, days: u8, first: u16, last: u16, zone: &TimeZone, out: &mut Vec<Span>) {
    let Ok(begins) = Timestamp::from_millisecond(from) else { return };
    let lasts = (i64::from(last) - i64::from(first)) * MINUTE_MS;
    let lasts = if lasts <= 0 { lasts + DAY_MS } else { lasts };
    let changes = zone.following(begins).map(|t| t.timestamp()).take_while(|t| t.as_millisecond() < to);
    let mut pieces: Vec<Timestamp> = std::iter::once(begins).chain(changes).collect();
    pieces.dedup();
    for (n, piece) in pieces.iter().enumerate() {
        // Within a piece the wall clock runs evenly, so that local time is the moment and a constant.
        let offset = i64::from(zone.to_offset(*piece).seconds()) * 1_000;
        let piece_from = piece.as_millisecond();
        let piece_to = pieces.get(n + 1).map_or(to, |p| p.as_millisecond());
        let day_of = |ms: i64| (ms + offset).div_euclid(DAY_MS);
        for day in day_of(piece_from) - 1..=day_of(piece_to) {
            // Day 0 was a Thursday; bit 0 is Monday.
            if days >> (day + 3).rem_euclid(7) & 1 == 1 {
                let start = day * DAY_MS + i64::from(first) * MINUTE_MS - offset;
                out.push((start.max(piece_from), (start + lasts).min(piece_to)));
            }
        }
    }
}

impl Calendar {
    /// Checks that all zones named are among those of the settings.
    pub fn check(&self, zones: &[String]) -> Result<(), PlacementError> {
        let named = self.quiet.iter().map(|q| &q.0).chain(self.blackouts.iter().filter_map(|b| b.0.as_ref()));
        match named.into_iter().find(|z| !zones.contains(z)) {
            Some(zone) => Err(PlacementError::UnknownZone { zone: zone.clone(), known: zones.join(", ") }),
            None => Ok(()),
        }
    }

    /// When a zone is quiet between two moments (Unix milliseconds; at most [`LONGEST_MS`] of them): in order,
    /// merged, blackouts cut out, and cut to the two moments.
    pub fn windows(&self, zone: &str, from_ms: u64, to_ms: u64) -> Vec<(u64, u64)> {
        let to_ms = to_ms.min(from_ms.saturating_add(LONGEST_MS));
        let (Ok(from), Ok(to)) = (i64::try_from(from_ms), i64::try_from(to_ms)) else { return Vec::new() };
        let mut spans: Vec<Span> = Vec::new();
        for (_, window) in self.quiet.iter().filter(|q| q.0 == zone) {
            match window {
                Window::Once(starts, ends) => {
                    spans.push((starts.as_millisecond().max(from), ends.as_millisecond().min(to)));
                }
                Window::Weekly { days, from: first, to: last, zone } => {
                    weekly((from, to), *days, *first, *last, zone, &mut spans);
                }
            }
        }
        spans.retain(|s| s.0 < s.1);
        spans.sort_unstable();
        let mut merged: Vec<Span> = Vec::new();
        for span in spans {
            match merged.last_mut() {
                Some(last) if span.0 <= last.1 => last.1 = last.1.max(span.1),
                _ => merged.push(span),
            }
        }
        for (of, starts, ends) in &self.blackouts {
            if of.as_deref().is_none_or(|z| z == zone) {
                let (starts, ends) = (starts.as_millisecond(), ends.as_millisecond());
                let parts = |s: Span| [(s.0, s.1.min(starts)), (s.0.max(ends), s.1)];
                merged = merged.into_iter().flat_map(parts).filter(|s| s.0 < s.1).collect();
            }
        }
        merged.into_iter().map(|s| (s.0 as u64, s.1 as u64)).collect()
    }

    /// When the quiet span ends in which a zone is now (Unix milliseconds), at most [`AHEAD_MS`] ahead; `None`: it is
    /// not quiet now.
    pub fn quiet_at(&self, zone: &str, unix_ms: u64) -> Option<u64> {
        self.next_window(zone, unix_ms).filter(|w| w.0 <= unix_ms).map(|w| w.1)
    }

    /// The quiet span in which a zone is now, from now on, else its next one; at most [`AHEAD_MS`] ahead.
    pub fn next_window(&self, zone: &str, unix_ms: u64) -> Option<(u64, u64)> {
        self.windows(zone, unix_ms, unix_ms.saturating_add(AHEAD_MS)).first().copied()
    }
}

#[cfg(test)]
mod tests {
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

    fn week(days: u8, from: u16, to: u16, zone: &str) -> (String, Window) {
        ("a".to_owned(), Window::Weekly { days, from, to, zone: TimeZone::get(zone).unwrap() })
    }

    /// By the wall clock alone.
    fn reads(calendar: &Calendar, at: u64) -> bool {
        let now = Timestamp::from_millisecond(at as i64).unwrap();
        let within = |(_, window): &(String, Window)| match window {
            Window::Once(starts, ends) => *starts <= now && now < *ends,
            Window::Weekly { days, from, to, zone } => {
                let local = zone.to_datetime(now);
                let minute = local.hour() as u16 * 60 + local.minute() as u16;
                let today = local.date().weekday().to_monday_zero_offset() as u8;
                let on = |day: u8| days >> (day % 7) & 1 == 1;
                let over = to <= from;
                on(today) && minute >= *from && (over || minute < *to)
                    || over && on(today + 6) && minute < *to
            }
        };
        let out = |b: &(Option<String>, Timestamp, Timestamp)| b.1 <= now && now < b.2;
        calendar.quiet.iter().any(within) && !calendar.blackouts.iter().any(out)
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(48))]
        /// Windows are what the wall clock reads, over all changes of the clock of some years.
        #[test]
        fn quiet_is_what_the_wall_clock_reads(
            weeks in proptest::collection::vec((1u8..128, 0u16..1440, 0u16..1440, 0usize..7), 1..4),
            // Moments about changes of the clock in some of the zones, and any other.
            near in prop_oneof![
                Just("2026-03-08T10:00:00Z"), Just("2026-11-01T09:00:00Z"), Just("2026-10-25T01:00:00Z"),
                Just("2026-04-04T15:00:00Z"), Just("2011-12-30T10:00:00Z"), Just("2018-11-04T03:00:00Z"),
                Just("2026-02-15T02:00:00Z"), Just("2027-01-01T00:00:00Z")],
            black in proptest::option::of((0u64..2_000, 1u64..600)),
        ) {
            let begin = ms(near) - 20 * 3_600_000;
            let at = |minute: u64| Timestamp::from_millisecond((begin + minute * 60_000) as i64).unwrap();
            let calendar = Calendar {
                quiet: weeks.iter().map(|w| week(w.0, w.1, w.2, ZONES[w.3])).collect(),
                blackouts: black.iter().map(|b| (None, at(b.0), at(b.0 + b.1))).collect(),
            };
            let spans = calendar.windows("a", begin, begin + 60 * 60 * 60_000);
            for pair in spans.windows(2) {
                prop_assert!(pair[0].1 < pair[1].0 , "merged and in order");
            }
            for minute in 0..60 * 60 {
                let now = begin + minute * 60_000;
                let span = spans.iter().find(|s| s.0 <= now && now < s.1);
                prop_assert_eq!(span.is_some(), reads(&calendar, now), "{}", at(minute));
                if minute % 97 == 0 {
                    let ends = calendar.quiet_at("a", now);
                    prop_assert_eq!(ends.is_some(), span.is_some());
                    prop_assert!(ends.is_none_or(|e| e == now + super::AHEAD_MS || !reads(&calendar, e)));
                }
            }
        }
    }

    #[test]
    fn hours_that_the_clock_skips_or_repeats_and_windows_over_midnight() {
        let v = "America/Vancouver";
        let of = |from, to, at: &str| {
            Calendar { quiet: vec![week(127, from, to, v)], blackouts: vec![] }.quiet_at("a", ms(at))
        };
        assert_eq!(of(120, 180, "2026-03-08T10:00:00Z"), None, "02:00 to 03:00 never came");
        assert_eq!(of(60, 90, "2025-11-02T09:15:00Z"), Some(ms("2025-11-02T09:30:00Z")), "01:15 again");
        assert_eq!(of(1380, 60, "2026-06-02T06:30:00Z"), Some(ms("2026-06-02T08:00:00Z")));
        assert_eq!(Calendar::default().next_window("a", 0), None);
        assert_eq!(Calendar::default().windows("a", u64::MAX, u64::MAX), vec![]);
        let far = Calendar { quiet: vec![week(1, 0, 60, v)], blackouts: vec![] };
        let _ = far.windows("a", i64::MAX as u64 - 5, u64::MAX);
        let _ = far.windows("a", 253_402_200_000_000, u64::MAX);
    }

    #[test]
    fn a_zone_that_the_settings_lack_is_named_with_the_known_ones() {
        let calendar = Calendar { quiet: vec![week(1, 0, 60, ZONES[0])], blackouts: vec![] };
        assert_eq!(calendar.check(&["a".into()]), Ok(()));
        let told = calendar.check(&["north".into(), "south".into()]).unwrap_err().to_string();
        assert!(told.contains("'a'") && told.contains("north, south"), "{told}");
    }
}
