//! Unix timestamps that others give, as moments of this process's monotonic clock.
//!
//! This machine's wall clock may be wrong when the process starts, or be stepped; so may theirs. What an age is used
//! for decides which error does harm: a server in slow start, or a purge, must not seem older than it is; a copy must
//! not seem younger. So an age is judged by two measures, the wall clock as it was at the start and the timestamps
//! that came so far, and the harmless one counts. No input or output, no clock.
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

#[cfg(test)]
mod tests;

use crate::routing::events::{Id, Micros};
use lru::LruCache;
use std::num::NonZeroUsize;

const MS: i64 = 1_000;
/// A start that is told as it happens is at most so old: lists run some seconds late.
const LATEST_START: Micros = 10_000_000;
/// Starts that are remembered, one for each server; the one not told of for longest goes.
const REMEMBERED: usize = 65_536;
/// A timestamp of something past that is so far ahead of the wall clock shows that the wall clock is behind.
const AHEAD: i64 = 1_000 * MS;
/// One copy that shows it, where no event does, is believed for so long: its timestamp may be spoilt.
const DOUBTED_FOR: Micros = 60_000_000;

/// How the timestamp of a start came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReport {
    /// Among what held before this process listened.
    Initial,
    /// As an event; nothing had been heard for so long before it.
    AfterSilence(Micros),
}

/// Turns timestamps into moments.
#[derive(Debug)]
pub struct Timestamps {
    /// Unix microseconds at the clock's zero, by the wall clock at the start.
    wall: i64,
    /// The same, no less than this, by what the events told.
    events: Option<i64>,
    /// Until when a copy's timestamp has the wall clock in doubt.
    doubted_until: Micros,
    starts: LruCache<Id, (u64, Micros)>,
}

impl Timestamps {
    /// With the Unix microseconds that the wall clock showed when the monotonic clock stood at `now`.
    pub fn new(now: Micros, unix_micros: u64) -> Self {
        let wall = signed(unix_micros).saturating_sub(signed(now));
        let remembered = NonZeroUsize::new(REMEMBERED).unwrap_or(NonZeroUsize::MIN);
        let mut starts = LruCache::unbounded();
        starts.resize(remembered);
        Timestamps { wall, events: None, doubted_until: 0, starts }
    }

    /// Notes a timestamp of an event, which lies in the past whatever the wall clock says.
    fn note(&mut self, now: Micros, unix_ms: u64) {
        let zero = micros(unix_ms).saturating_sub(signed(now));
        self.events = self.events.max(Some(zero));
    }

    /// The Unix millisecond of a moment, no later than it can be.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        let zero = self.events.unwrap_or(self.wall).min(self.wall);
        unsigned(zero.saturating_add(signed(at))) / 1_000
    }

    /// The moment of an event that is heard now: never in the future, and no earlier than it can have been.
    pub fn event(&mut self, now: Micros, unix_ms: u64) -> Micros {
        self.note(now, unix_ms);
        let events = self.events.unwrap_or(self.wall);
        let moment = micros(unix_ms).saturating_sub(self.wall.min(events));
        unsigned(moment).min(now)
    }

    /// The moment at which a server started; 0, which means long ago, where its record tells no start.
    /// Guards slow start: a start keeps the moment that it was first given, and one that can't be is now.
    pub fn start(&mut self, now: Micros, server: &Id, unix_ms: u64, heard: StartReport) -> Micros {
        if unix_ms == 0 {
            return 0;
        }
        let known = self.starts.get(server).copied();
        if let Some((_, moment)) = known.filter(|(known_ms, _)| *known_ms == unix_ms) {
            return moment;
        }
        let told = self.event(now, unix_ms);
        let goes_back = known.is_some_and(|(known_ms, _)| unix_ms < known_ms);
        let too_old = match heard {
            StartReport::Initial => false,
            StartReport::AfterSilence(silence) => {
                now.saturating_sub(told) > LATEST_START.saturating_add(silence)
            }
        };
        let moment = if goes_back || too_old { now } else { told };
        self.starts.put(server.clone(), (unix_ms, moment));
        moment
    }

    /// The moment at which a copy was made, no later than it can have been; 0, which means long ago, where the wall
    /// clock is seen to be behind: how far, nothing tells.
    pub fn copy(&mut self, now: Micros, unix_ms: u64) -> Micros {
        let shows = |zero: i64| zero.saturating_sub(self.wall) > AHEAD;
        if shows(micros(unix_ms).saturating_sub(signed(now))) {
            self.doubted_until = now.saturating_add(DOUBTED_FOR);
        }
        if self.events.is_some_and(shows) || now < self.doubted_until {
            return 0;
        }
        unsigned(micros(unix_ms).saturating_sub(self.wall)).min(now)
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
