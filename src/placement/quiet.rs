//! Times at which a zone's shards may move: weekly windows, each with its time zone, one-time windows, and blackouts.

#[cfg(test)]
mod tests;

use super::error::PlacementError;
use jiff::tz::TimeZone;
use jiff::Timestamp;

/// A window in which shards may move.
#[derive(Clone, Debug, PartialEq)]
pub enum Window {
    /// A window that repeats each week.
    Weekly {
        /// Days on which the window begins, as a bit set; bit 0 is Monday.
        days: u8,
        /// Minute of the day at which the window begins.
        from: u16,
        /// Minute of the day at which the window ends; on the next day if it is not above `from`.
        to: u16,
        /// Time zone of the days and minutes.
        zone: TimeZone,
    },
    /// A one-time window, from its start up to its end.
    Once(Timestamp, Timestamp),
}

/// All quiet windows and blackouts of an installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Calendar {
    /// Quiet windows, each with the name of its zone in the settings.
    pub quiet: Vec<(String, Window)>,
    /// Periods without moves, from their start up to their end: in the named zone, or in all zones without a name.
    pub blackouts: Vec<(Option<String>, Timestamp, Timestamp)>,
}

/// How far ahead windows are searched, in milliseconds: five weeks.
pub const LOOKAHEAD_MS: u64 = 35 * DAY_MS as u64;
/// Maximum period that [`Calendar::windows`] covers, in milliseconds: 400 days; later windows are left out.
pub const MAX_SPAN_MS: u64 = 400 * DAY_MS as u64;
const DAY_MS: i64 = 86_400_000;
const MINUTE_MS: i64 = 60_000;

type Span = (i64, i64);

/// Adds the spans in which the wall clock of a time zone is within a weekly window. An hour that the clock skips has no
/// span; an hour that it repeats is in the window both times.
fn add_weekly_spans((from, to): Span, days: u8, first: u16, last: u16, zone: &TimeZone, out: &mut Vec<Span>) {
    let Ok(begins) = Timestamp::from_millisecond(from) else { return };
    let duration = (i64::from(last) - i64::from(first)) * MINUTE_MS;
    let duration = if duration <= 0 { duration + DAY_MS } else { duration };
    let changes = zone.following(begins).map(|t| t.timestamp()).take_while(|t| t.as_millisecond() < to);
    let mut offset_periods: Vec<Timestamp> = std::iter::once(begins).chain(changes).collect();
    offset_periods.dedup();
    for (n, period_start) in offset_periods.iter().enumerate() {
        // The offset from UTC is constant within a period.
        let offset = i64::from(zone.to_offset(*period_start).seconds()) * 1_000;
        let period_from = period_start.as_millisecond();
        let period_to = offset_periods.get(n + 1).map_or(to, |p| p.as_millisecond());
        let day_of = |ms: i64| (ms + offset).div_euclid(DAY_MS);
        for day in day_of(period_from) - 1..=day_of(period_to) {
            // Day 0 of the Unix epoch was a Thursday; bit 0 is Monday.
            if days >> (day + 3).rem_euclid(7) & 1 == 1 {
                let start = day * DAY_MS + i64::from(first) * MINUTE_MS - offset;
                out.push((start.max(period_from), (start + duration).min(period_to)));
            }
        }
    }
}

impl Calendar {
    /// Checks that the settings have all zones that windows and blackouts name.
    ///
    /// # Errors
    /// [`PlacementError::UnknownZone`] with the first unknown name.
    pub fn check(&self, zones: &[String]) -> Result<(), PlacementError> {
        let named = self.quiet.iter().map(|q| &q.0).chain(self.blackouts.iter().filter_map(|b| b.0.as_ref()));
        match named.into_iter().find(|z| !zones.contains(z)) {
            Some(zone) => Err(PlacementError::UnknownZone { zone: zone.clone(), known: zones.join(", ") }),
            None => Ok(()),
        }
    }

    /// Returns the quiet spans of a zone between two times, in Unix milliseconds: in order, merged, without blackouts,
    /// and clipped to the two times and to at most [`MAX_SPAN_MS`].
    pub fn windows(&self, zone: &str, from_ms: u64, to_ms: u64) -> Vec<(u64, u64)> {
        let to_ms = to_ms.min(from_ms.saturating_add(MAX_SPAN_MS));
        let (Ok(from), Ok(to)) = (i64::try_from(from_ms), i64::try_from(to_ms)) else { return Vec::new() };
        let mut spans: Vec<Span> = Vec::new();
        for (_, window) in self.quiet.iter().filter(|q| q.0 == zone) {
            match window {
                Window::Once(starts, ends) => {
                    spans.push((starts.as_millisecond().max(from), ends.as_millisecond().min(to)));
                }
                Window::Weekly { days, from: first, to: last, zone } => {
                    add_weekly_spans((from, to), *days, *first, *last, zone, &mut spans);
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
        for (blackout_zone, starts, ends) in &self.blackouts {
            if blackout_zone.as_deref().is_none_or(|z| z == zone) {
                let (starts, ends) = (starts.as_millisecond(), ends.as_millisecond());
                let remainders = |s: Span| [(s.0, s.1.min(starts)), (s.0.max(ends), s.1)];
                merged = merged.into_iter().flat_map(remainders).filter(|s| s.0 < s.1).collect();
            }
        }
        merged.into_iter().map(|s| (s.0 as u64, s.1 as u64)).collect()
    }

    /// Returns the end of the zone's current quiet span, in Unix milliseconds and at most [`LOOKAHEAD_MS`] ahead;
    /// `None` if the zone is not quiet now.
    pub fn quiet_at(&self, zone: &str, unix_ms: u64) -> Option<u64> {
        self.next_window(zone, unix_ms).filter(|w| w.0 <= unix_ms).map(|w| w.1)
    }

    /// Returns the rest of the zone's current quiet span, or else its next span within [`LOOKAHEAD_MS`].
    pub fn next_window(&self, zone: &str, unix_ms: u64) -> Option<(u64, u64)> {
        self.windows(zone, unix_ms, unix_ms.saturating_add(LOOKAHEAD_MS)).first().copied()
    }
}
