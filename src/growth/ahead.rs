//! The planner's look ahead for one zone: documents of growth in, and by slices out of them what each shard keeps and
//! is asked for, and the splits and merges that are wished for.

use super::buckets::{Cell, Document, Merged, CELLS};
use super::forecast::Forecast;
use super::splits::{Notice, Scheduler, Shard, Window};
use super::{GrowthError, Settings};
use crate::placement::load::Work;
use crate::placement::map::ShardMap;
use crate::placement::moves::Change;
use crate::placement::rebalance::Place;

/// Cells of the history, and shards, that one slice takes.
const SLICE_CELLS: usize = 2;
/// See above.
const SLICE_SHARDS: usize = 200;

/// Load and kept kilobytes of one shard, by where it begins.
pub type Load = (u64, f64, f64);

/// A look ahead that is under way.
#[derive(Clone, Debug)]
struct Job {
    shards: Vec<Shard>,
    windows: Vec<Window>,
    kb_s: f64,
    work: Vec<f64>,
    cells: Vec<Cell>,
    forecasts: Vec<(Shard, Forecast)>,
    loads: Vec<Load>,
}

/// All that a planner knows of one zone's growth.
#[derive(Clone, Debug)]
pub struct Ahead {
    settings: Settings,
    zone: String,
    merged: Merged,
    scheduler: Scheduler,
    adopted: bool,
    job: Option<Job>,
    loads: Vec<Load>,
    wishes: Option<Vec<Change>>,
    /// The schedule, where it differs from the one that was read.
    schedule: Option<Vec<u8>>,
    kept: Option<Vec<u8>>,
}

impl Ahead {
    /// For one zone, without any history.
    pub fn new(settings: Settings, zone: &str) -> Self {
        Ahead {
            merged: Merged::new(&settings),
            scheduler: Scheduler::new(settings.clone()),
            settings,
            zone: zone.to_owned(),
            adopted: false,
            job: None,
            loads: Vec::new(),
            wishes: None,
            schedule: None,
            kept: None,
        }
    }

    /// Below it lie the documents of a zone's growth.
    pub fn below(zone: &str) -> String {
        format!("growth/{zone}/")
    }

    /// Where the schedule of splits is kept.
    pub fn schedule_key(zone: &str) -> String {
        Scheduler::key(zone)
    }

    /// Takes a document, once or often, in any order.
    ///
    /// # Errors
    /// It can't be read, or its writer's clock is ahead; all else stays as it was.
    pub fn document(&mut self, bytes: &[u8], now_ms: u64) -> Result<(), GrowthError> {
        self.merged.take(&Document::decode(bytes)?, now_ms)
    }

    /// Whether no look ahead is under way.
    pub fn done(&self) -> bool {
        self.job.is_none()
    }

    /// Begins to look ahead. `kb_s`: how fast a move is warmed; `work`: what is asked for; `kept`: the schedule as it
    /// stands in the registry, with which a planner that has just begun goes on.
    #[allow(clippy::too_many_arguments)]
    pub fn begin(
        &mut self,
        map: &ShardMap,
        places: &[Place],
        windows: &[Window],
        kb_s: f64,
        work: &Work,
        kept: Option<&[u8]>,
    ) -> Result<(), GrowthError> {
        let adopted = std::mem::replace(&mut self.adopted, true);
        let read = kept.filter(|_| !adopted).map(|k| Scheduler::decode(self.settings.clone(), k)).transpose();
        self.kept = kept.map(<[u8]>::to_vec);
        let least = places.iter().map(|p| p.weight).filter(|w| *w > 0.0).fold(f64::INFINITY, f64::min);
        let weight = |s: &crate::placement::map::Shard| {
            let home = places.iter().find(|p| Some(&p.id) == s.home.as_ref()).map(|p| p.weight);
            home.filter(|w| *w > 0.0).unwrap_or(if least.is_finite() { least } else { 1.0 })
        };
        let ends = map.shards.iter().skip(1).map(|s| s.start - 1).chain([u64::MAX]);
        let shard = |(s, last): (&crate::placement::map::Shard, u64)| Shard {
            start: s.start,
            last,
            home: s.home.clone(),
            box_kb: self.settings.box_kb * weight(s),
        };
        let shards: Vec<Shard> = map.shards.iter().zip(ends).map(shard).collect();
        let work = shards.iter().map(|s| work.of(s.start, s.last)).collect();
        if let Ok(Some(scheduler)) = &read {
            self.scheduler = scheduler.clone();
        }
        self.scheduler.follow(&shards);
        let (windows, cells, forecasts, loads) = (windows.to_vec(), Vec::new(), Vec::new(), Vec::new());
        self.job = Some(Job { shards, windows, kb_s, work, cells, forecasts, loads });
        read.map(drop)
    }

    /// One slice of the look ahead; what operators are to be told.
    pub fn step(&mut self, now_ms: u64) -> Vec<Notice> {
        let Some(mut job) = self.job.take() else { return Vec::new() };
        if job.cells.len() < CELLS {
            let next = (job.cells.len()..CELLS).take(SLICE_CELLS).filter_map(|n| self.merged.cell(n));
            let more: Vec<Cell> = next.collect();
            job.cells.extend(more);
            self.job = Some(job);
            return Vec::new();
        }
        let mut notices = Vec::new();
        for at in (job.forecasts.len()..job.shards.len()).take(SLICE_SHARDS) {
            let shard = job.shards[at].clone();
            let series = self.merged.series(&job.cells, shard.start, shard.last);
            let kb = series.last().map_or(0.0, |p| p.kb).min(shard.box_kb);
            let forecast = Forecast::of(&series, &self.settings);
            let moves_ms =
                if job.kb_s > 0.0 { (kb / 2.0 / job.kb_s * 1e3).min(1e15) as u64 } else { u64::MAX };
            notices.extend(self.scheduler.plan(now_ms, &shard, &forecast, &job.windows, moves_ms));
            job.loads.push((shard.start, job.work[at], kb));
            job.forecasts.push((shard, forecast));
        }
        if job.forecasts.len() < job.shards.len() {
            self.job = Some(job);
            return notices;
        }
        let split = |s: &super::splits::Split| Change::Split {
            start: s.start,
            at: s.middle,
            not_before_ms: s.window.0,
        };
        let merges = self.scheduler.merges(&job.forecasts);
        let merge = |next: u64| {
            let at = job.shards.partition_point(|s| s.start < next);
            Some(Change::Merge { start: job.shards.get(at.checked_sub(1)?)?.start, next })
        };
        let merges = merges.into_iter().filter_map(merge);
        self.wishes = Some(self.scheduler.scheduled().map(split).chain(merges).collect());
        self.loads = job.loads;
        let schedule = self.scheduler.encode();
        let empty = self.kept.is_none() && self.scheduler.scheduled().next().is_none();
        self.schedule = (!empty && self.kept.as_ref() != Some(&schedule)).then_some(schedule);
        notices
    }

    /// What was last found of each shard.
    pub fn loads(&self) -> &[Load] {
        &self.loads
    }

    /// Splits and merges that are wished for; `None`: nothing was looked at yet.
    pub fn wishes(&self) -> Option<Vec<Change>> {
        self.wishes.clone()
    }

    /// The schedule to be written, once each time that it has changed.
    pub fn schedule(&mut self) -> Option<Vec<u8>> {
        self.schedule.take()
    }

    /// The zone's name.
    pub fn zone(&self) -> &str {
        &self.zone
    }
}
