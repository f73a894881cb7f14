//! Schedule of splits ahead of time. A split is scheduled in the last quiet window that leaves a later window for
//! moving one half before the shard is full by the early end of its forecast. A split moves no data: both halves keep
//! their home, and a later move relieves the endpoint.
//!
//! The planner schedules shard by shard, in slices of its choice. The schedule is a document in the registry, so that
//! the next planner continues with it after a failure; an applied split shows in the map.

use super::forecast::Forecast;
use super::{decode_document, encode_document, GrowthError, Settings};
use crate::routing::events::Id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of scheduled splits of one zone.
pub const MAX_SPLITS: usize = 10_000;
/// A quiet window: start and end, in Unix milliseconds.
pub type Window = (u64, u64);

/// A shard of the map, with the capacity of its home.
#[derive(Clone, Debug, PartialEq)]
pub struct Shard {
    /// First position of the shard.
    pub start: u64,
    /// Last position of the shard.
    pub last: u64,
    /// Home of the shard; `None` if the hash order decides.
    pub home: Option<Id>,
    /// Cache capacity of the home, in kilobytes: the setting `box_kb` times its weight.
    pub capacity_kb: f64,
}

impl Shard {
    /// Returns the start of the upper half; `None` if the shard is too small to split.
    pub fn middle(&self) -> Option<u64> {
        let half = self.last.checked_sub(self.start)? / 2;
        (half > 0).then(|| self.start + half + 1)
    }
}

/// A scheduled split.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// Start of the shard.
    pub start: u64,
    /// Start of the upper half.
    pub middle: u64,
    /// Window in which the split is made.
    pub window: Window,
    /// Time at which the shard is full by the early end of its forecast, in Unix milliseconds.
    pub full_at_ms: u64,
}

/// A problem with scheduling splits, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The windows do not allow a split and a move before the shard is full.
    NoWindow {
        /// Start of the shard.
        start: u64,
        /// Time at which the shard is full, in Unix milliseconds.
        full_at_ms: u64,
    },
    /// The shard is too small to split.
    TooSmall {
        /// Start of the shard.
        start: u64,
    },
    /// The maximum number of splits is scheduled.
    TooMany,
}

impl std::fmt::Display for Notice {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Notice::NoWindow { start, full_at_ms } => write!(
                f,
                "shard {start:016x} may be full at {full_at_ms} (Unix ms), and no two windows before then fit a \
                 split and a move: extend the quiet windows or add an endpoint"
            ),
            Notice::TooSmall { start } => {
                write!(
                    f,
                    "shard {start:016x} will be full but is too small to split: add an endpoint or raise its \
                     weight"
                )
            }
            Notice::TooMany => write!(f, "the maximum of {MAX_SPLITS} splits is scheduled: add endpoints"),
        }
    }
}

/// The split schedule of one zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Scheduler {
    settings: Settings,
    splits: BTreeMap<u64, Split>,
}

impl Scheduler {
    /// Returns an empty schedule.
    pub fn new(settings: Settings) -> Self {
        Scheduler { settings, splits: BTreeMap::new() }
    }

    /// Returns the key of a zone's schedule below the fleet's prefix.
    pub fn key(zone: &str) -> String {
        format!("growth-schedule/{zone}")
    }

    /// Encodes the schedule as a document; equal schedules have equal documents.
    pub fn encode(&self) -> Vec<u8> {
        encode_document(&self.splits.values().collect::<Vec<_>>())
    }

    /// Decodes the schedule that a previous planner wrote.
    ///
    /// # Errors
    /// The bytes are no schedule. Planning can start without it: the forecast schedules the same splits again, except
    /// those whose window has begun.
    pub fn decode(settings: Settings, bytes: &[u8]) -> Result<Self, GrowthError> {
        let what = "the split schedule";
        let splits: Vec<Split> = decode_document(bytes, what)?;
        let is_ascending = splits.windows(2).all(|s| s[0].start < s[1].start);
        let is_valid = splits.iter().all(|s| s.middle > s.start && s.window.0 < s.window.1);
        if splits.len() > MAX_SPLITS || !is_ascending || !is_valid {
            return Err(GrowthError::Malformed { what });
        }
        Ok(Scheduler { settings, splits: splits.into_iter().map(|s| (s.start, s)).collect() })
    }

    /// Schedules one shard again. `windows` are the zone's quiet windows from now on, ordered by start and including an
    /// open one; `half_move_ms` is how long moving half of the shard takes, in milliseconds. The run time depends only on
    /// the number of windows.
    pub fn plan(
        &mut self,
        now_ms: u64,
        shard: &Shard,
        forecast: &Forecast,
        windows: &[Window],
        half_move_ms: u64,
    ) -> Option<Notice> {
        let scheduled = self.splits.get(&shard.start).copied();
        // A split whose window is open stays scheduled: it may be in progress.
        if scheduled.is_some_and(|s| s.window.0 <= now_ms && now_ms < s.window.1) {
            return None;
        }
        let Forecast::Known(trend) = forecast else { return None };
        let [full_bucket, ..] =
            trend.reaches(self.settings.split * shard.capacity_kb, self.settings.ahead as u64);
        let Some(full_bucket) = full_bucket else {
            self.splits.remove(&shard.start);
            return None;
        };
        let Some(middle) = shard.middle() else { return Some(Notice::TooSmall { start: shard.start }) };
        if scheduled.is_none() && self.splits.len() >= MAX_SPLITS {
            return Some(Notice::TooMany);
        }
        // The shard becomes full at some time in that bucket; the start of the bucket is the earliest time.
        let full_at_ms = (u128::from(full_bucket) * u128::from(self.settings.bucket) / 1_000) as u64;
        let ahead = || windows.iter().copied().filter(|w| w.1 > now_ms && w.0 < w.1);
        let fits_move = |w: &Window| w.1 <= full_at_ms && w.1 - w.0.max(now_ms) >= half_move_ms;
        let move_window = ahead().filter(fits_move).max_by_key(|w| w.0);
        let before = move_window.and_then(|m| ahead().filter(|w| w.1 <= m.0).max_by_key(|w| w.0));
        // Too late for a split and a move: schedules the split in the next window, and the planner can move a half
        // afterwards.
        let Some(window) = before.or_else(|| ahead().min_by_key(|w| w.0)) else {
            return Some(Notice::NoWindow { start: shard.start, full_at_ms });
        };
        self.splits.insert(shard.start, Split { start: shard.start, middle, window, full_at_ms });
        before.is_none().then_some(Notice::NoWindow { start: shard.start, full_at_ms })
    }

    /// Returns the splits whose window is open, ordered by the time at which their shard is full.
    pub fn due(&self, now_ms: u64) -> Vec<Split> {
        let open = |s: &&Split| s.window.0 <= now_ms && now_ms < s.window.1;
        let mut due: Vec<Split> = self.splits.values().filter(open).copied().collect();
        due.sort_unstable_by_key(|s| (s.full_at_ms, s.start));
        due
    }

    /// Returns all scheduled splits, ordered by the start of their shard.
    pub fn scheduled(&self) -> impl Iterator<Item = &Split> {
        self.splits.values()
    }

    /// Applies the current map: removes the splits of shards that were split or merged.
    pub fn follow(&mut self, shards: &[Shard]) {
        let mut middles: Vec<(u64, Option<u64>)> = shards.iter().map(|s| (s.start, s.middle())).collect();
        middles.sort_unstable();
        self.splits.retain(|_, s| middles.binary_search(&(s.start, Some(s.middle))).is_ok());
    }

    /// Returns the pairs of neighbouring shards to merge, by the start of the second shard of each pair; no shard is in
    /// two pairs. Both shards have the same home and no scheduled split. Together they are below `merge` of the home's
    /// capacity now, and below half of `split` by the high end of the whole forecast, so that they are not soon split
    /// again. `shards` are ordered by start.
    pub fn merges(&self, shards: &[(Shard, Forecast)]) -> Vec<u64> {
        let mut merges = Vec::new();
        let mut last = None;
        for pair in shards.windows(2) {
            let [(a, trend_a), (b, trend_b)] = pair else { continue };
            let (Forecast::Known(trend_a), Forecast::Known(trend_b)) = (trend_a, trend_b) else {
                continue;
            };
            let neighbours = a.last.checked_add(1) == Some(b.start) && a.home.is_some() && a.home == b.home;
            let scheduled = self.splits.contains_key(&a.start) || self.splits.contains_key(&b.start);
            if !neighbours || scheduled || last == Some(a.start) {
                continue;
            }
            let (capacity_kb, ahead) = (a.capacity_kb.min(b.capacity_kb), self.settings.ahead as u64);
            let forecast_kb = trend_a.after(ahead).high + trend_b.after(ahead).high;
            if trend_a.level + trend_b.level < self.settings.merge * capacity_kb
                && forecast_kb < self.settings.split * capacity_kb / 2.0
            {
                merges.push(b.start);
                last = Some(b.start);
            }
        }
        merges
    }
}

/// Returns the growth of the fills of a zone's shards in each of the coming weeks, relative to today's, by the high end
/// of the forecasts. With it, the check of site plans finds the week from which on the loss of a site exceeds the
/// capacity.
pub fn weekly_growth_factors<'a>(
    forecasts: impl Iterator<Item = &'a Forecast> + Clone,
    weeks: u64,
    settings: &Settings,
) -> Vec<f64> {
    let week = (7 * 86_400_000_000u64 / settings.bucket.max(1)).max(1);
    let trends = || forecasts.clone().filter_map(|f| if let Forecast::Known(t) = f { Some(t) } else { None });
    let now: f64 = trends().map(|t| t.rate.max(0.0)).sum();
    let factor = |n: u64| trends().map(|t| t.rate.max(0.0) * t.factor(n, week)[1]).sum::<f64>() / now;
    (0..weeks.min(520)).map(|n| if now > 0.0 { factor(n) } else { 1.0 }).collect()
}

/// Returns the first week, 0 for the coming one, in which the load times its factor no longer fits.
pub fn first_week_over_capacity(factors: &[f64], fits: impl Fn(f64) -> bool) -> Option<usize> {
    factors.iter().position(|&f| !fits(f))
}
