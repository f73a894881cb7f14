//! Growth forecast of one zone at the planner: merges the instances' growth documents and, in slices, computes each
//! shard's load and cached bytes and the splits and merges to make. `proxy::rebalancing` owns one for each zone and
//! steps it.

#[cfg(test)]
mod tests;

use super::buckets::{Cell, Document, GrowthHistory, CELLS};
use super::forecast::Forecast;
use super::splits::{weekly_growth_factors, Notice, Scheduler, Shard, Window};
use super::{GrowthError, Settings};
use crate::placement::load::{MeasuredShard, Work};
use crate::placement::map::ShardMap;
use crate::placement::moves::Change;
use crate::placement::rebalance::EndpointCapacity;
use std::collections::BTreeSet;

/// Number of history cells processed in one slice.
const SLICE_CELLS: usize = 2;
/// Number of shards forecast in one slice.
const SLICE_SHARDS: usize = 200;

/// Maximum number of documents removed in one transaction. With the base document that replaces them, it stays below
/// the registry's limit of 128 operations.
const MAX_REMOVED: usize = 100;

/// Upper bound on the computed duration of a move, in milliseconds.
const MAX_MOVE_MS: f64 = 1e15;
/// Number of weeks for which the loss of a site is checked against the forecast load.
pub const FORECAST_WEEKS: u64 = 8;

/// Replacement of old documents by one base document.
#[derive(Clone, Debug, PartialEq)]
pub struct Compaction {
    /// Key and value of the base document, which includes the removed ones; written in the transaction that removes
    /// them.
    pub base: (String, Vec<u8>),
    /// Keys of the documents to remove.
    pub keys: Vec<String>,
}

/// A forecast in progress.
#[derive(Clone, Debug)]
struct Job {
    shards: Vec<Shard>,
    windows: Vec<Window>,
    /// Rate of warming during a move, in KB per second.
    kb_s: f64,
    /// Work of each shard.
    work: Vec<f64>,
    cells: Vec<Cell>,
    forecasts: Vec<(Shard, Forecast)>,
    loads: Vec<MeasuredShard>,
    /// Starts of the shards with a notice.
    problems: BTreeSet<u64>,
}

/// The growth of one zone as known to the planner, with its forecast and split schedule.
#[derive(Clone, Debug)]
pub struct GrowthPlanner {
    settings: Settings,
    zone: String,
    merged: GrowthHistory,
    scheduler: Scheduler,
    /// Whether the stored schedule has been read.
    schedule_read: bool,
    job: Option<Job>,
    loads: Vec<MeasuredShard>,
    requested_changes: Option<Vec<Change>>,
    /// The schedule to write, if it differs from the stored one.
    schedule: Option<Vec<u8>>,
    /// The schedule as stored in the registry.
    stored_schedule: Option<Vec<u8>>,
    /// Shards with a logged problem: each problem is logged once while it lasts.
    logged: BTreeSet<u64>,
    weekly_growth_factors: Vec<f64>,
}

impl GrowthPlanner {
    /// Returns a planner for one zone, without any history.
    pub fn new(settings: Settings, zone: &str) -> Self {
        GrowthPlanner {
            merged: GrowthHistory::new(&settings),
            scheduler: Scheduler::new(settings.clone()),
            settings,
            zone: zone.to_owned(),
            schedule_read: false,
            job: None,
            loads: Vec::new(),
            requested_changes: None,
            schedule: None,
            stored_schedule: None,
            logged: BTreeSet::new(),
            weekly_growth_factors: Vec::new(),
        }
    }

    /// Returns the key prefix of a zone's growth documents.
    pub fn key_prefix(zone: &str) -> String {
        format!("growth/{zone}/")
    }

    /// Returns the key of a zone's split schedule.
    pub fn schedule_key(zone: &str) -> String {
        Scheduler::key(zone)
    }

    /// Merges a document. Documents may come repeatedly and in any order.
    ///
    /// # Errors
    /// The document can't be decoded, or its bucket is in the future; nothing is merged then.
    pub fn merge_document(&mut self, bytes: &[u8], now_ms: u64) -> Result<(), GrowthError> {
        self.merged.merge(&Document::decode(bytes)?, now_ms)
    }

    /// Returns whether no forecast is in progress.
    pub fn is_idle(&self) -> bool {
        self.job.is_none()
    }

    /// Begins a forecast. `kb_s` is the rate of warming during a move, in KB per second; `work` is the measured work of
    /// the zone; `stored_schedule` is the schedule stored in the registry, with which a new planner continues.
    ///
    /// # Errors
    /// The stored schedule can't be decoded; the forecast begins without it.
    #[allow(clippy::too_many_arguments)]
    pub fn begin(
        &mut self,
        map: &ShardMap,
        endpoints: &[EndpointCapacity],
        windows: &[Window],
        kb_s: f64,
        work: &Work,
        stored_schedule: Option<&[u8]>,
    ) -> Result<(), GrowthError> {
        let schedule_read = std::mem::replace(&mut self.schedule_read, true);
        let read = stored_schedule
            .filter(|_| !schedule_read)
            .map(|k| Scheduler::decode(self.settings.clone(), k))
            .transpose();
        self.stored_schedule = stored_schedule.map(<[u8]>::to_vec);
        let min_weight =
            endpoints.iter().map(|p| p.weight).filter(|w| *w > 0.0).fold(f64::INFINITY, f64::min);
        let weight = |s: &crate::placement::map::Shard| {
            let home = endpoints.iter().find(|p| Some(&p.id) == s.home.as_ref()).map(|p| p.weight);
            home.filter(|w| *w > 0.0).unwrap_or(if min_weight.is_finite() { min_weight } else { 1.0 })
        };
        let ends = map.shards.iter().skip(1).map(|s| s.start - 1).chain([u64::MAX]);
        let shard = |(s, last): (&crate::placement::map::Shard, u64)| Shard {
            start: s.start,
            last,
            home: s.home.clone(),
            capacity_kb: self.settings.box_kb * weight(s),
        };
        let shards: Vec<Shard> = map.shards.iter().zip(ends).map(shard).collect();
        let work = shards.iter().map(|s| work.in_range(s.start, s.last)).collect();
        if let Ok(Some(scheduler)) = &read {
            self.scheduler = scheduler.clone();
        }
        self.scheduler.follow(&shards);
        let (windows, cells, forecasts, loads) = (windows.to_vec(), Vec::new(), Vec::new(), Vec::new());
        let problems = BTreeSet::new();
        self.job = Some(Job { shards, windows, kb_s, work, cells, forecasts, loads, problems });
        read.map(drop)
    }

    /// Runs one slice of the forecast, and returns notices to log.
    pub fn step(&mut self, now_ms: u64) -> Vec<Notice> {
        let Some(mut job) = self.job.take() else { return Vec::new() };
        if job.cells.len() < CELLS {
            let next = job.cells.len()..CELLS;
            job.cells.extend(next.take(SLICE_CELLS).filter_map(|cell| self.merged.cell(cell)));
            self.job = Some(job);
            return Vec::new();
        }
        let notices = self.forecast_slice(&mut job, now_ms);
        if job.forecasts.len() < job.shards.len() {
            self.job = Some(job);
        } else {
            self.finish(job);
        }
        notices
    }

    /// Forecasts the next shards. A problem with a shard is logged once while it lasts.
    fn forecast_slice(&mut self, job: &mut Job, now_ms: u64) -> Vec<Notice> {
        let mut notices = Vec::new();
        for at in (job.forecasts.len()..job.shards.len()).take(SLICE_SHARDS) {
            let shard = job.shards[at].clone();
            let series = self.merged.series(&job.cells, shard.start, shard.last);
            let kb = series.last().map_or(0.0, |point| point.kb).min(shard.capacity_kb);
            let forecast = Forecast::of(&series, &self.settings);
            let move_ms = half_move_ms(kb, job.kb_s);
            if let Some(notice) = self.scheduler.plan(now_ms, &shard, &forecast, &job.windows, move_ms) {
                job.problems.insert(shard.start);
                if !self.logged.contains(&shard.start) {
                    notices.push(notice);
                }
            }
            job.loads.push(MeasuredShard { start: shard.start, load: job.work[at], kb });
            job.forecasts.push((shard, forecast));
        }
        notices
    }

    /// Applies the results of a forecast of all shards.
    fn finish(&mut self, job: Job) {
        self.requested_changes = Some(self.changes(&job));
        let forecasts = job.forecasts.iter().map(|(_, forecast)| forecast);
        let any_known = forecasts.clone().any(|forecast| matches!(forecast, Forecast::Known(_)));
        self.weekly_growth_factors = if any_known {
            weekly_growth_factors(forecasts, FORECAST_WEEKS, &self.settings)
        } else {
            Vec::new()
        };
        self.loads = job.loads;
        self.logged = job.problems;
        let schedule = self.scheduler.encode();
        let is_empty = self.stored_schedule.is_none() && self.scheduler.scheduled().next().is_none();
        let is_changed = !is_empty && self.stored_schedule.as_ref() != Some(&schedule);
        self.schedule = is_changed.then_some(schedule);
    }

    /// Returns the scheduled splits, and the merges that the forecasts allow.
    fn changes(&self, job: &Job) -> Vec<Change> {
        let split = |split: &super::splits::Split| Change::Split {
            start: split.start,
            at: split.middle,
            not_before_ms: split.window.0,
        };
        let merge = |next: u64| {
            let at = job.shards.partition_point(|shard| shard.start < next);
            Some(Change::Merge { start: job.shards.get(at.checked_sub(1)?)?.start, next })
        };
        let merges = self.scheduler.merges(&job.forecasts).into_iter().filter_map(merge);
        self.scheduler.scheduled().map(split).chain(merges).collect()
    }

    /// Returns the growth of the zone's fills in each of the coming weeks, relative to today's; empty with too little
    /// history.
    pub fn weekly_growth_factors(&self) -> &[f64] {
        &self.weekly_growth_factors
    }

    /// Returns the measured shards of the last complete forecast.
    pub fn loads(&self) -> &[MeasuredShard] {
        &self.loads
    }

    /// Returns the requested splits and merges; `None` before the first complete forecast.
    pub fn requested_changes(&self) -> Option<Vec<Change>> {
        self.requested_changes.clone()
    }

    /// Returns a replacement of documents whose buckets are no longer part of the history, at most 100 of
    /// them; `None` if there are none.
    pub fn compaction<'a>(&self, keys: impl Iterator<Item = &'a str>) -> Option<Compaction> {
        let base = self.merged.base()?;
        let (key, oldest) = (base.key(&self.zone), self.merged.oldest());
        let below = GrowthPlanner::key_prefix(&self.zone);
        let bucket = |k: &str| k.strip_prefix(&below)?.split('/').next()?.parse::<u64>().ok();
        let old = keys.filter(|k| *k != key && bucket(k).is_some_and(|b| b <= oldest));
        let old: Vec<String> = old.take(MAX_REMOVED).map(str::to_owned).collect();
        (!old.is_empty()).then(|| Compaction { base: (key, base.encode()), keys: old })
    }

    /// Takes the schedule to write, after each forecast that has changed it.
    pub fn schedule(&mut self) -> Option<Vec<u8>> {
        self.schedule.take()
    }

    /// Returns the zone's name.
    pub fn zone(&self) -> &str {
        &self.zone
    }
}

/// Returns how long moving half of a shard takes, in milliseconds; `kb_s` is the rate of warming, in KB per second.
fn half_move_ms(kb: f64, kb_s: f64) -> u64 {
    if kb_s > 0.0 {
        (kb / 2.0 / kb_s * 1e3).min(MAX_MOVE_MS) as u64
    } else {
        u64::MAX
    }
}
