//! Converts Unix timestamps from other machines to times of this process's monotonic clock.
//!
//! The wall clocks of this machine and of the senders may be wrong when the process starts, or be stepped later. Which
//! error does harm depends on the use of an age: a server in slow start or a purge must not seem older than it is, and
//! a cached copy must not seem younger. An age is therefore estimated twice, from the wall clock at startup and from
//! the timestamps received so far, and the estimate that can do no harm is used. The module does no I/O and reads no
//! clock.
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

#[cfg(test)]
mod tests;

use crate::routing::events::{Id, Micros};
use lru::LruCache;
use std::num::NonZeroUsize;

const MS: i64 = 1_000;
/// Maximum age of a server start that is reported as an update: endpoint lists lag by some seconds.
const MAX_REPORT_DELAY: Micros = 10_000_000;
/// Maximum number of server starts that are remembered, one for each server; the least recently used is evicted.
const MAX_STARTS: usize = 65_536;
/// A timestamp of a past event that is this far ahead of the wall clock, in microseconds, shows that the wall clock is
/// behind.
const WALL_CLOCK_TOLERANCE: i64 = 1_000 * MS;
/// Time for which the wall clock is distrusted after the timestamp of one copy, but no event, showed it to be behind.
/// Limited because that timestamp may be corrupt.
const DISTRUST_TIME: Micros = 60_000_000;

/// How the timestamp of a server start was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReport {
    /// In the state that held before this process received updates.
    Initial,
    /// As an update, after a silence of this many microseconds.
    AfterSilence(Micros),
}

/// Converts Unix timestamps to times of the monotonic clock.
#[derive(Debug)]
pub struct Timestamps {
    /// Unix time at the zero of the monotonic clock, in microseconds, by the wall clock at startup.
    wall_offset: i64,
    /// Lower bound of the same, by the timestamps of events.
    event_offset: Option<i64>,
    /// Time until which the wall clock is distrusted because of the timestamp of a copy.
    distrusted_until: Micros,
    /// The Unix millisecond of each server's start as last reported, and the time that was derived from it.
    starts: LruCache<Id, (u64, Micros)>,
}

impl Timestamps {
    /// Creates a converter from the Unix microseconds that the wall clock showed when the monotonic clock stood at
    /// `now`.
    pub fn new(now: Micros, unix_micros: u64) -> Self {
        let wall_offset = signed(unix_micros).saturating_sub(signed(now));
        let capacity = NonZeroUsize::new(MAX_STARTS).unwrap_or(NonZeroUsize::MIN);
        let mut starts = LruCache::unbounded();
        starts.resize(capacity);
        Timestamps { wall_offset, event_offset: None, distrusted_until: 0, starts }
    }

    /// Updates the event offset by the timestamp of an event, which lies in the past whatever the wall clock says.
    fn note_event(&mut self, now: Micros, unix_ms: u64) {
        let offset = micros(unix_ms).saturating_sub(signed(now));
        self.event_offset = self.event_offset.max(Some(offset));
    }

    /// Returns the Unix time of `at` in milliseconds, by the offset that yields the earlier time.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        let offset = self.event_offset.unwrap_or(self.wall_offset).min(self.wall_offset);
        unsigned(offset.saturating_add(signed(at))) / 1_000
    }

    /// Returns the time of an event that is received now: never in the future, and no earlier than either offset allows.
    pub fn event_time(&mut self, now: Micros, unix_ms: u64) -> Micros {
        self.note_event(now, unix_ms);
        let event_offset = self.event_offset.unwrap_or(self.wall_offset);
        let time = micros(unix_ms).saturating_sub(self.wall_offset.min(event_offset));
        unsigned(time).min(now)
    }

    /// Returns the time at which a server started, or 0, which means long ago, if its record has no start time.
    /// Guards slow start: a start keeps the time that was first derived for it, and an implausibly old one counts as
    /// `now`.
    pub fn start_time(&mut self, now: Micros, server: &Id, unix_ms: u64, report: StartReport) -> Micros {
        if unix_ms == 0 {
            return 0;
        }
        let known = self.starts.get(server).copied();
        if let Some((_, time)) = known.filter(|(known_ms, _)| *known_ms == unix_ms) {
            return time;
        }
        let reported = self.event_time(now, unix_ms);
        let goes_back = known.is_some_and(|(known_ms, _)| unix_ms < known_ms);
        let too_old = match report {
            StartReport::Initial => false,
            StartReport::AfterSilence(silence) => {
                now.saturating_sub(reported) > MAX_REPORT_DELAY.saturating_add(silence)
            }
        };
        let time = if goes_back || too_old { now } else { reported };
        self.starts.put(server.clone(), (unix_ms, time));
        time
    }

    /// Returns the time at which a copy was made, no later than the wall clock at startup allows; or 0, which means long
    /// ago, if the wall clock is known to be behind by an unknown amount.
    pub fn copy_time(&mut self, now: Micros, unix_ms: u64) -> Micros {
        let is_ahead = |offset: i64| offset.saturating_sub(self.wall_offset) > WALL_CLOCK_TOLERANCE;
        if is_ahead(micros(unix_ms).saturating_sub(signed(now))) {
            self.distrusted_until = now.saturating_add(DISTRUST_TIME);
        }
        if self.event_offset.is_some_and(is_ahead) || now < self.distrusted_until {
            return 0;
        }
        unsigned(micros(unix_ms).saturating_sub(self.wall_offset)).min(now)
    }
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn unsigned(value: i64) -> Micros {
    u64::try_from(value).unwrap_or(0)
}

fn micros(unix_ms: u64) -> i64 {
    signed(unix_ms).saturating_mul(MS)
}
