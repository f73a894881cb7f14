//! Golden tests of growth: counted buckets, their union, forecasts, and the planner's schedule of splits and merges.

use crate::digest::{expect, Digest};
use crate::placement::write_change;
use larchdale::growth::ahead::GrowthPlanner;
use larchdale::growth::buckets::{Document, GrowthCounter, Point};
use larchdale::growth::forecast::Forecast;
use larchdale::growth::splits::{first_week_over_capacity, Notice, Scheduler, Shard, Window};
use larchdale::growth::{GrowthError, Settings};
use larchdale::placement::load::{MeasuredShard, Work};
use larchdale::placement::map::ShardMap;
use larchdale::placement::rebalance::EndpointCapacity;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const HOUR_MS: u64 = 3_600_000;
const FIRST_HOUR: u64 = 500_000;
const HOURS: u64 = 120;

fn write_error(digest: &mut Digest, error: &GrowthError) {
    match error {
        GrowthError::TooLong { length, .. } => {
            digest.tag(1);
            digest.count(*length);
        }
        GrowthError::Format { format, .. } => {
            digest.tag(2);
            digest.tag(*format);
        }
        GrowthError::Checksum { .. } => digest.tag(3),
        GrowthError::Malformed { .. } => digest.tag(4),
        GrowthError::FutureBucket { member, bucket } => {
            digest.tag(5);
            digest.text(member);
            digest.number(*bucket);
        }
    }
}

fn write_notice(digest: &mut Digest, notice: &Notice) {
    match notice {
        Notice::NoWindow { start, full_at_ms } => {
            digest.tag(1);
            digest.number(*start);
            digest.number(*full_at_ms);
        }
        Notice::TooSmall { start } => {
            digest.tag(2);
            digest.number(*start);
        }
        Notice::TooMany => digest.tag(3),
    }
}

/// A zone with instances that count requests, and a planner that forecasts growth.
struct Zone {
    rng: Pcg32,
    instances: Vec<GrowthCounter>,
    ahead: GrowthPlanner,
    map: ShardMap,
    schedule: Option<Vec<u8>>,
    keys: Vec<String>,
    work: Work,
    change_count: usize,
    digest: Digest,
}

impl Zone {
    fn new(seed: u64) -> Self {
        // Some shards grow fast, so that splits are requested; most are small, so that merges are requested.
        let settings =
            Settings { buckets: 90, box_kb: 200_000.0, merge: 0.2, waiting: 5, ..Settings::default() };
        let instance =
            |number: u64| GrowthCounter::new(settings.clone(), "west", &format!("d{number}"), number + 1);
        let mut map = ShardMap::first(0, 1, 6);
        for (number, shard) in map.shards.iter_mut().enumerate() {
            shard.home = [Some("a".into()), Some("b".into()), None][number / 2].clone();
        }
        Zone {
            rng: Pcg32::seed_from_u64(seed),
            instances: (0..3).map(instance).collect(),
            ahead: GrowthPlanner::new(settings, "west"),
            map,
            schedule: None,
            keys: Vec::new(),
            work: Work::default(),
            change_count: 0,
            digest: Digest::new(),
        }
    }

    fn hour(&mut self, hour: u64) {
        let now_ms = (FIRST_HOUR + hour) * HOUR_MS;
        for number in 0..self.instances.len() {
            let instance = &mut self.instances[number];
            for _ in 0..30 {
                let object = self.rng.random_range(0..(hour + 1) * 40);
                let kb = f64::from(self.rng.random_range(0..60u32));
                let (fill, write) = (!self.rng.random_ratio(1, 4), self.rng.random_ratio(1, 3));
                instance.record(object, self.rng.random_range(0..2), kb, fill, write);
                self.work.add(object, kb * 10.0);
            }
            self.digest.flag(instance.close(now_ms));
            self.digest.count(instance.pending());
            self.digest.option(instance.current(), |digest, (key, bytes)| {
                digest.text(&key);
                digest.bytes(&bytes);
            });
            // An instance reaches the registry in one of three hours on average.
            if self.rng.random_ratio(1, 3) {
                self.write(number, now_ms);
            }
        }
    }

    fn write(&mut self, number: usize, now_ms: u64) {
        while let Some((key, bytes)) = self.instances[number].next() {
            self.digest.text(&key);
            self.digest.bytes(&bytes);
            let torn = self.rng.random_ratio(1, 20).then(|| bytes[..bytes.len() / 2].to_vec());
            let clock_lag_ms = if self.rng.random_ratio(1, 20) { 40 * HOUR_MS } else { 0 };
            let result = self.ahead.merge_document(torn.as_ref().unwrap_or(&bytes), now_ms - clock_lag_ms);
            self.digest.option(result.err(), |digest, error| write_error(digest, &error));
            self.instances[number].written(&key);
            self.keys.push(key);
        }
    }

    fn run_forecast(&mut self, hour: u64) {
        let now_ms = (FIRST_HOUR + hour) * HOUR_MS;
        let endpoint = |id: &str, weight| EndpointCapacity {
            id: id.into(),
            weight,
            accepts_requests: true,
            in_slow_start: false,
            spare_kb_s: 1e6,
        };
        let endpoints = [endpoint("a", 1.0), endpoint("b", self.rng.random_range(0.1..1.0))];
        let window = |day: u64| (now_ms + (day * 24 + 2) * HOUR_MS, now_ms + (day * 24 + 6) * HOUR_MS);
        let windows: Vec<Window> = (0..self.rng.random_range(1..40)).map(window).collect();
        let (kb_s, stored_schedule) = (self.rng.random_range(0.3..2.0), self.schedule.as_deref());
        let result = self.ahead.begin(&self.map, &endpoints, &windows, kb_s, &self.work, stored_schedule);
        self.digest.option(result.err(), |digest, error| write_error(digest, &error));
        while !self.ahead.is_idle() {
            let notices = self.ahead.step(now_ms);
            notices.iter().for_each(|notice| write_notice(&mut self.digest, notice));
        }
        let digest = &mut self.digest;
        digest.floats(self.ahead.weekly_growth_factors());
        digest.option(
            first_week_over_capacity(self.ahead.weekly_growth_factors(), |factor| factor < 1.3),
            Digest::count,
        );
        for MeasuredShard { start, load, kb } in self.ahead.loads() {
            digest.number(*start);
            digest.float(*load);
            digest.float(*kb);
        }
        let changes = self.ahead.requested_changes().unwrap_or_default();
        self.change_count += changes.len();
        changes.iter().for_each(|change| write_change(digest, change));
        if let Some(schedule) = self.ahead.schedule() {
            digest.bytes(&schedule);
            self.schedule = Some(schedule);
        }
        digest.option(self.ahead.compaction(self.keys.iter().map(String::as_str)), |digest, old| {
            digest.text(&old.base.0);
            digest.bytes(&old.base.1);
            old.keys.iter().for_each(|key| digest.text(key));
        });
    }
}

fn forecasts_and_changes(seed: u64) -> u64 {
    let mut zone = Zone::new(seed);
    for hour in 0..HOURS {
        zone.hour(hour);
        if hour % 40 == 39 {
            zone.run_forecast(hour);
        }
    }
    assert!(
        zone.change_count > 3 && Document::decode(&[1, 2]).is_err(),
        "too few changes: {}",
        zone.change_count
    );
    zone.digest.finish()
}

/// Records forecasts of histories with floods, purges, gaps and daily seasonality.
fn forecasts(seed: u64) -> u64 {
    let (mut rng, mut digest, mut known) = (Pcg32::seed_from_u64(seed), Digest::new(), 0);
    for _ in 0..24 {
        let hours = [60, 200, 400, 900][rng.random_range(0..4)];
        let (rate, wave) = (rng.random_range(0.0..200.0), rng.random_range(0.0..400.0));
        let (flood, purge, gap) =
            (rng.random_range(0..hours), rng.random_range(0..hours), rng.random_range(0..hours));
        let point = |hour: u64| {
            // A triangle wave instead of a sine, for bit-identical values on every machine.
            let seasonal = wave * (12.0 - (hour % 24) as f64).abs();
            let flooded = 5_000.0 * hour.saturating_sub(flood).min(12) as f64;
            let purged = if hour >= purge { 4e5 } else { 0.0 };
            let kb = 1e6 + rate * hour as f64 + seasonal + flooded - purged;
            let known = !(gap..gap + 20).contains(&hour);
            Point { bucket: FIRST_HOUR + hour, objects: kb / 10.0, kb, writes: 1.0, known }
        };
        let history: Vec<Point> = (0..hours).map(point).collect();
        match Forecast::of(&history, &Settings::default()) {
            Forecast::InsufficientHistory { known } => {
                digest.tag(1);
                digest.count(known);
            }
            Forecast::Known(trend) => {
                known += 1;
                digest.tag(2);
                digest.floats(&[trend.level, trend.rate, trend.slope]);
                digest.number(trend.bucket);
                digest.count(trend.span);
                for buckets in [1, 24, 168, 600] {
                    let after = trend.after(buckets);
                    digest.floats(&[after.low, after.middle, after.high]);
                }
                for passes in trend.reaches(trend.level * 1.01, 700) {
                    digest.option(passes, Digest::number);
                }
                (0..4).for_each(|week| digest.floats(&trend.factor(week, 168)));
            }
        }
    }
    assert!(known > 10, "too few forecasts: {known}");
    digest.finish()
}

/// Records the daily splits and merges of neighbouring shards that grow at different rates.
fn schedules(seed: u64) -> u64 {
    let (mut rng, mut digest, mut seen) = (Pcg32::seed_from_u64(seed), Digest::new(), [0; 2]);
    let settings = Settings { merge: 0.2, ..Settings::default() };
    let width = u64::MAX / 8;
    for _ in 0..12 {
        let rates: Vec<f64> = (0..8).map(|_| [0.0, 8.0, 12.0, 60.0][rng.random_range(0..4)]).collect();
        let mut scheduler = Scheduler::new(settings.clone());
        for day in 15..25 {
            let (now, hours) = (FIRST_HOUR + day * 24, day * 24);
            let window = |day: u64| ((now + day * 24 + 2) * HOUR_MS, (now + day * 24 + 6) * HOUR_MS);
            let windows: Vec<Window> = (0..rng.random_range(0..30)).map(window).collect();
            let mut shards = Vec::new();
            for (number, rate) in rates.iter().enumerate() {
                let kb = |hour: u64| 500.0 + rate * hour as f64;
                let point = |hour: u64| {
                    let bucket = FIRST_HOUR + hour;
                    Point { bucket, objects: kb(hour), kb: kb(hour), writes: 0.0, known: true }
                };
                let history: Vec<Point> = (0..hours).map(point).collect();
                let start = number as u64 * width;
                let home = Some(["a", "b"][number / 4].into());
                let shard = Shard { start, last: start + width - 1, home, capacity_kb: 140_000.0 };
                let forecast = Forecast::of(&history, &settings);
                let half_move_ms = rng.random_range(0..6 * HOUR_MS);
                let notice = scheduler.plan(now * HOUR_MS, &shard, &forecast, &windows, half_move_ms);
                digest.option(notice, |digest, notice| write_notice(digest, &notice));
                shards.push((shard, forecast));
            }
            let merges = scheduler.merges(&shards);
            seen[0] += scheduler.scheduled().count();
            seen[1] += merges.len();
            merges.into_iter().for_each(|start| digest.number(start));
            for split in scheduler.due((now + 3) * HOUR_MS) {
                digest.number(split.start);
            }
            digest.bytes(&scheduler.encode());
        }
    }
    assert!(seen.iter().all(|&count| count > 20), "too few splits or merges: {seen:?}");
    digest.finish()
}

#[test]
fn split_schedules_match_the_recorded_digest() {
    expect("the schedules of splits", schedules, &[0x6f793eacd2b46580]);
}

#[test]
fn growth_planner_decisions_match_the_recorded_digests() {
    expect("the look ahead at growth", forecasts_and_changes, &[0xfe2a1b1e96ff984a, 0x86581d0dd968293f]);
}

#[test]
fn forecasts_match_the_recorded_digest() {
    expect("the forecasts of growth", forecasts, &[0xf0fb4b1196421eda]);
}
