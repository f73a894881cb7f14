//! Splits ahead of time, measured on generated histories of 10,000 shards: aim beside figure, status not 0 where a
//! promise is broken. Seeded: the same figures every time, but for the times of planning.
//!
//! Each shard has six weeks of hourly history and six weeks to come; the planner looks at it once a day, with a quiet
//! window of four hours each night and a move of two hours; what it knows of the shard is off as the sketch of one cell
//! is. A split is too late if the shard is full before the window of the move has ended. Baseline: split in the next
//! window when full. What nothing foresees is told beside: shards that a flood fills which began under two days before.

use larchdale::growth::buckets::{Document, GrowthCounter, GrowthHistory, Point, CELLS, STANDARD_ERROR};
use larchdale::growth::forecast::Forecast;
use larchdale::growth::splits::{Scheduler, Shard};
use larchdale::growth::Settings;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const SHARDS: usize = 10_000;
const HISTORY: usize = 24 * 42;
const TO_COME: usize = 24 * 42;
const HOUR_MS: u64 = 3_600_000;
const FIRST: u64 = 500_000;
/// A split is needless where the shard would not have been full so many hours after it.
const NEEDLESS: usize = 24 * 21;
const FORMS: [&str; 7] = ["linear", "seasonal", "step", "flood", "decline", "gap", "rising"];

fn normal(rng: &mut Pcg64Mcg) -> f64 {
    (0..12).map(|_| rng.random_range(-0.5..0.5)).sum()
}

/// True sizes, and what is known of them.
fn history(form: usize, seed: u64) -> (Vec<f64>, Vec<Point>, usize) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let many = HISTORY + TO_COME;
    let rate = 10f64.powf(rng.random_range(0.0..1.3));
    let (phase, deep) =
        (rng.random_range(0.0..24.0), if form == 1 { rng.random_range(0.3..1.0) } else { 0.2 });
    let weekend = if form == 1 { rng.random_range(0.2..1.0) } else { 1.0 };
    let at = rng.random_range(24 * 7..many);
    let (lasts, times) = (rng.random_range(4..24), rng.random_range(5.0..30.0));
    let left: f64 = rng.random_range(0.2..0.8);
    let fade = rng.random_range(24.0 * 7.0..24.0 * 28.0);
    let swell = rng.random_range(0.0..0.02) / 24.0;
    let gap = rng.random_range(2..96);
    let (mut size, mut off) = (rng.random_range(0.0..4_000.0), STANDARD_ERROR * normal(&mut rng));
    let (mut truth, mut points) = (Vec::with_capacity(many), Vec::with_capacity(many));
    for n in 0..many {
        let hour = n as f64;
        let wave = 1.0 + deep * ((hour - phase) / 24.0 * std::f64::consts::TAU).sin();
        let week = if (n / 24) % 7 >= 5 { weekend } else { 1.0 };
        let mut grown = rate * wave * week * rng.random_range(0.2..1.8);
        match form {
            2 if n == at => size *= left,
            3 if (at..at + lasts).contains(&n) => grown += rate * times,
            4 => grown *= (-hour / fade).exp() * 3.0,
            6 => grown *= 1.0 + swell * hour,
            _ => {}
        }
        size += grown;
        // The sketch's error: as much of it is made anew as the shard has grown.
        let anew = (grown / size.max(1.0)).min(1.0);
        off = off * (1.0 - anew) + STANDARD_ERROR * (2.0 * anew).sqrt() * normal(&mut rng);
        truth.push(size);
        let known = !(form == 5 && (at..at + gap).contains(&n));
        let kb = size * (1.0 + off);
        points.push(Point { bucket: FIRST + n as u64, objects: kb, kb, writes: 0.0, known });
    }
    (truth, points, if form == 3 { at } else { usize::MAX })
}

fn windows(from: usize) -> Vec<(u64, u64)> {
    let day = |d: usize| {
        let at = (FIRST + (d * 24) as u64 + 2) * HOUR_MS;
        (at, at + 4 * HOUR_MS)
    };
    (from / 24..from / 24 + 40).map(day).collect()
}

/// What came of one form.
#[derive(Clone, Default)]
struct Outcome {
    shards: usize,
    full: usize,
    splits: usize,
    late: usize,
    late_plain: usize,
    needless: usize,
    unforeseen: usize,
    /// Days by which the forecast's middle was off a fortnight before the shard was full.
    off: Vec<f64>,
    /// Days that a split was early.
    early: Vec<f64>,
}

fn play(form: usize, seed: u64, outcome: &mut Outcome) {
    let settings = Settings { box_kb: 0.0, ..Settings::default() };
    let (truth, points, flood) = history(form, seed);
    // Most become full within the weeks to come; some never.
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x51e);
    let (now, end) = (truth[HISTORY - 1], truth[HISTORY + TO_COME - 1]);
    let grows = (end - now).abs().max(now * 0.05);
    let full_kb = truth[..HISTORY].iter().fold(now, |a, &b| a.max(b)) + grows * rng.random_range(0.05..1.5);
    let shard =
        Shard { start: 0, last: u64::MAX, home: Some("a".into()), capacity_kb: full_kb / settings.split };
    let full = (HISTORY..truth.len()).find(|&n| truth[n] >= full_kb);
    outcome.shards += 1;
    let mut scheduler = Scheduler::new(settings.clone());
    let mut split = None;
    for n in (HISTORY..HISTORY + TO_COME - 24).step_by(24) {
        let now_ms = (FIRST + n as u64) * HOUR_MS;
        let known = &points[n - HISTORY..n];
        let forecast = Forecast::of(known, &settings);
        if full.is_some_and(|f| (f as i64 - n as i64 - 336).abs() < 12) {
            if let (Forecast::Known(t), Some(f)) = (&forecast, full) {
                let told = t.reaches(full_kb, 24 * 60)[1]
                    .map_or(24.0 * 60.0, |b| b as f64 - n as f64 - FIRST as f64);
                outcome.off.push((told - (f - n) as f64) / 24.0);
            }
        }
        scheduler.plan(now_ms, &shard, &forecast, &windows(n), 2 * HOUR_MS);
        // The window of this day, in which what is scheduled for it is done.
        if let Some(done) = scheduler.due(now_ms + 2 * HOUR_MS).first() {
            split = Some((done.window.0 / HOUR_MS - FIRST) as usize);
            break;
        }
    }
    // The move of a half has the next night.
    let moved = |at: usize| at + 24 + 4;
    outcome.splits += usize::from(split.is_some());
    let last = TO_COME + HISTORY - 48;
    let judged = full.is_some_and(|f| f > HISTORY + 48 && f <= last);
    // Those full in the first or last two days are left out: nothing could be scheduled, or nothing be seen.
    outcome.full += usize::from(judged);
    let late = judged && full.is_some_and(|f| split.is_none_or(|at| moved(at) > f));
    let sudden = full.is_some_and(|f| (flood..flood.saturating_add(48)).contains(&f));
    outcome.late += usize::from(late && !sudden);
    outcome.unforeseen += usize::from(late && sudden);
    match (split, full) {
        (Some(at), Some(f)) => {
            outcome.early.push((f as f64 - at as f64) / 24.0);
            outcome.needless += usize::from(f > at + NEEDLESS);
        }
        // Beyond what was generated nothing can be said of a split near its end.
        (Some(at), None) => outcome.needless += usize::from(at + NEEDLESS < truth.len()),
        _ => {}
    }
    // Full is seen at the day's end, split in the next window, moved in the one after: always after it is full.
    outcome.late_plain += usize::from(judged);
}

fn at(of: &mut [f64], part: f64) -> f64 {
    of.sort_unstable_by(f64::total_cmp);
    of.get(((of.len().max(1) - 1) as f64 * part) as usize).copied().unwrap_or(f64::NAN)
}

fn main() -> ExitCode {
    let workers = std::thread::available_parallelism().map_or(1, |n| n.get().min(4));
    let mut outcomes = vec![Outcome::default(); FORMS.len()];
    std::thread::scope(|scope| {
        let work = |from: usize| {
            scope.spawn(move || {
                let mut mine = vec![Outcome::default(); FORMS.len()];
                (from..SHARDS).step_by(workers).for_each(|n| {
                    play(n % FORMS.len(), n as u64, &mut mine[n % FORMS.len()]);
                });
                mine
            })
        };
        let running: Vec<_> = (0..workers).map(work).collect();
        for (to, of) in running.into_iter().flat_map(|r| r.join().unwrap_or_default().into_iter().enumerate())
        {
            let sum = &mut outcomes[to % FORMS.len()];
            sum.shards += of.shards;
            sum.full += of.full;
            sum.splits += of.splits;
            sum.late += of.late;
            sum.late_plain += of.late_plain;
            sum.needless += of.needless;
            sum.unforeseen += of.unforeseen;
            sum.off.extend(of.off);
            sum.early.extend(of.early);
        }
    });
    println!(
        "{:<10}{:>8}{:>8}{:>8}{:>12}{:>12}{:>12}{:>10}{:>12}{:>16}{:>16}",
        "history",
        "shards",
        "full",
        "splits",
        "late of 100",
        "unforeseen",
        "plain late",
        "needless",
        "early, days",
        "off, days, 50%",
        "|off|, 90%"
    );
    let (mut late, mut full, mut needless, mut splits, mut plain, mut unforeseen) = (0, 0, 0, 0, 0, 0);
    for (form, o) in FORMS.iter().zip(&mut outcomes) {
        let mut size: Vec<f64> = o.off.iter().map(|d| d.abs()).collect();
        println!(
            "{form:<10}{:>8}{:>8}{:>8}{:>12.2}{:>12}{:>12.2}{:>10}{:>12.1}{:>16.2}{:>16.2}",
            o.shards,
            o.full,
            o.splits,
            100.0 * o.late as f64 / o.full.max(1) as f64,
            o.unforeseen,
            100.0 * o.late_plain as f64 / o.full.max(1) as f64,
            o.needless,
            at(&mut o.early, 0.5),
            at(&mut o.off, 0.5),
            at(&mut size, 0.9)
        );
        late += o.late;
        unforeseen += o.unforeseen;
        full += o.full;
        needless += o.needless;
        splits += o.splits;
        plain += o.late_plain;
    }
    // One planning of all shards, each a slice of its own.
    let settings = Settings::default();
    let histories: Vec<_> = (0..500).map(|n| history(n % FORMS.len(), n as u64).1).collect();
    let mut scheduler = Scheduler::new(settings.clone());
    let (windows, now_ms) = (windows(HISTORY), (FIRST + HISTORY as u64) * HOUR_MS);
    let (mut whole, mut longest) = (Duration::ZERO, Duration::ZERO);
    for n in 0..SHARDS {
        let known = &histories[n % histories.len()][..HISTORY];
        let start = n as u64 * (u64::MAX / SHARDS as u64);
        let capacity_kb = known[HISTORY - 1].kb * 5.0;
        let shard = Shard { start, last: start + 1_000, home: Some("a".into()), capacity_kb };
        let began = Instant::now();
        scheduler.plan(now_ms, &shard, &Forecast::of(known, &settings), &windows, 2 * HOUR_MS);
        let took = began.elapsed();
        whole += took;
        longest = longest.max(took);
    }
    // What an instance pays for a request, and the planner for a zone's history.
    let mut growth = GrowthCounter::new(settings.clone(), "z", "d", 1);
    let mut merged = GrowthHistory::new(&settings);
    let (mut wanting, mut cells) = (Duration::ZERO, Duration::ZERO);
    for hour in 0..200u64 {
        growth.close(hour * HOUR_MS);
        let began = Instant::now();
        (0..20_000).for_each(|n| growth.record(hour * 15_000 + n, 0, 100.0, true, n % 16 == 0));
        wanting += began.elapsed();
        growth.close((hour + 1) * HOUR_MS);
        while let Some((key, bytes)) = growth.next() {
            if let Ok(document) = Document::decode(&bytes) {
                let _ = merged.merge(&document, (hour + 1) * HOUR_MS);
            }
            growth.written(&key);
        }
    }
    let read: Vec<_> = (0..CELLS)
        .filter_map(|n| {
            let began = Instant::now();
            let cell = merged.cell(n);
            cells = cells.max(began.elapsed());
            cell
        })
        .collect();
    let counted = merged.series(&read, 0, u64::MAX).last().map_or(0.0, |p| p.objects);

    println!();
    println!("{:<62} {:>10} {:>12}", "what", "aim", "measured");
    let mut missed = 0;
    let mut row = |what: &str, aim: Option<f64>, figure: f64| {
        let kept = aim.is_none_or(|a| figure <= a);
        missed += usize::from(!kept);
        let told = aim.map_or("-".to_owned(), |a| format!("<= {a}"));
        println!("{what:<62} {told:>10} {figure:>12.3}{}", if kept { "" } else { "  MISSED" });
    };
    row(
        "splits too late, of 100 shards that became full",
        Some(2.0),
        100.0 * late as f64 / full.max(1) as f64,
    );
    row(
        "filled by a flood that began under two days before, of 100",
        None,
        100.0 * unforeseen as f64 / full.max(1) as f64,
    );
    row("too late, 'split when full'", None, 100.0 * plain as f64 / full.max(1) as f64);
    row("needless, of 100 splits", None, 100.0 * needless as f64 / splits.max(1) as f64);
    row("planning 10,000 shards, s", Some(1.0), whole.as_secs_f64());
    row("its longest slice, ms", None, longest.as_secs_f64() * 1_000.0);
    row("the longest slice of a zone's history (3 million objects), ms", None, cells.as_secs_f64() * 1_000.0);
    row("counting one wanted object, us", Some(1.0), wanting.as_secs_f64() * 1e6 / 4e6);
    row(
        "3,005,000 objects are counted wrongly by, of 100",
        Some(2.0),
        (counted / 3.005e6 - 1.0).abs() * 100.0,
    );
    if missed > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
