use super::buckets::{bucket_of, Document, GrowthCounter, GrowthHistory, Point, CELLS};
use super::forecast::Forecast;
use super::splits::{first_week_over_capacity, weekly_growth_factors, Notice, Scheduler, Shard};
use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const HOUR_MS: u64 = 3_600_000;
const NOW: u64 = 500_000 * HOUR_MS;

/// Proptest configuration with a fixed seed, for the same cases in each run.
fn seeded(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(20_261_202), failure_persistence: None, ..Config::default() }
}

fn documents(requests: &[(u8, u8, u16, bool)]) -> Vec<Document> {
    let mut all = Vec::new();
    for member in 0..3u8 {
        let name = format!("d{member}");
        let mut growth =
            GrowthCounter::new(Settings { waiting: 1_000, ..Settings::default() }, "z", &name, 1);
        for hour in 0..6u8 {
            growth.close(NOW + u64::from(hour) * HOUR_MS);
            for w in requests.iter().filter(|w| w.0 % 3 == member && w.1 % 6 == hour) {
                growth.record(u64::from(w.2 % 300), u64::from(w.2 % 3), f64::from(w.2), true, w.3);
            }
        }
        growth.close(NOW + 6 * HOUR_MS);
        while let Some((key, bytes)) = growth.next() {
            all.push(Document::decode(&bytes).unwrap());
            growth.written(&key);
        }
    }
    all
}

fn merged(buckets: usize, documents: &[Document]) -> GrowthHistory {
    let mut merged = GrowthHistory::new(&Settings { buckets, ..Settings::default() });
    documents.iter().for_each(|d| merged.merge(d, NOW + 7 * HOUR_MS).unwrap());
    merged
}

proptest! {
    #![proptest_config(seeded(24))]

    /// The order and repetition of documents do not change the history, also after the oldest buckets have left it.
    #[test]
    fn order_and_repetition_of_documents_do_not_change_the_history(
        requests in proptest::collection::vec(any::<(u8, u8, u16, bool)>(), 0..80),
        order in Just((0..18).collect::<Vec<usize>>()).prop_shuffle(),
        again in proptest::collection::vec(0usize..18, 0..12),
        buckets in 3usize..9,
    ) {
        let documents = documents(&requests);
        let shuffled: Vec<_> = again.iter().chain(&order).chain(&again).map(|&n| documents[n].clone()).collect();
        let (in_order, shuffled) = (merged(buckets, &documents), merged(buckets, &shuffled));
        prop_assert_eq!(series(&in_order, 0, u64::MAX), series(&shuffled, 0, u64::MAX));
        prop_assert_eq!(in_order, shuffled);
    }

    /// The counts of the two parts of a split shard add up to those of the shard, for any split position.
    #[test]
    fn the_history_of_a_shard_is_the_sum_of_its_two_parts(
        requests in proptest::collection::vec(any::<(u8, u8, u16, bool)>(), 1..80),
        start: u64, width: u64, split_at: u64,
    ) {
        let merged = merged(100, &documents(&requests));
        let last = start.saturating_add(width);
        let split_at = start + split_at % (last - start).max(1);
        prop_assume!(split_at < last);
        let ends = |from, to| series(&merged, from, to).last().map_or(0.0, |p| p.objects);
        let (total, halves) = (ends(start, last), ends(start, split_at) + ends(split_at + 1, last));
        prop_assert!((total - halves).abs() < 1e-6 * total.max(1.0), "{total} {halves}");
    }

    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..60), at: usize) {
        let _ = Document::decode(&bytes);
        let _ = Scheduler::decode(Settings::default(), &bytes);
        // Arbitrary contents with a correct checksum.
        let _ = Document::decode(&[&[1][..], &crc32fast::hash(&bytes).to_le_bytes(), &bytes].concat());
        let mut torn = documents(&[(0, 0, 7, true), (1, 1, 9, false)])[0].encode();
        let at = 1 + at % (torn.len() - 1);
        torn[at] ^= 1;
        prop_assert_eq!(Document::decode(&torn), Err(GrowthError::Checksum { what: "a growth bucket" }));
        torn[0] = 9;
        prop_assert_eq!(Document::decode(&torn), Err(GrowthError::Format { what: "a growth bucket", format: 9 }));
    }
}

#[test]
fn counts_are_close_to_the_true_number_for_few_and_many_objects_across_instances() {
    for object_count in [100u64, 20_000, 2_000_000] {
        let mut merged = GrowthHistory::new(&Settings::default());
        for member in 0..2u64 {
            let mut growth = GrowthCounter::new(Settings::default(), "z", &member.to_string(), 1);
            growth.close(NOW);
            // Each instance requests every object twice, and the two share half of their objects.
            for object in (0..object_count * 2 / 3).chain(0..object_count * 2 / 3) {
                let object = object + member * (object_count / 3);
                growth.record(object / 2, object % 2, 10.0 + (object % 100) as f64, true, object % 4 == 0);
                growth.record(object + object_count * 2, 0, 1e9, false, false);
            }
            growth.close(NOW + HOUR_MS);
            merged.merge(&Document::decode(&growth.next().unwrap().1).unwrap(), NOW + HOUR_MS).unwrap();
        }
        let point = series(&merged, 0, u64::MAX)[0];
        let assert_close = |estimate: f64, expected: f64, tolerance: f64| {
            assert!((estimate / expected - 1.0).abs() < tolerance, "{object_count} {estimate} {expected}")
        };
        assert_close(point.objects, object_count as f64, 0.02);
        assert_close(point.kb, object_count as f64 * 59.5, 0.06);
        assert_close(point.writes, object_count as f64 / 4.0, 0.2);
        let one_cell = series(&merged, 0, u64::MAX / CELLS as u64)[0];
        assert_close(
            one_cell.objects * CELLS as f64,
            object_count as f64,
            if object_count < 1_000 { 9.0 } else { 0.1 },
        );
    }
}

#[test]
fn waiting_buckets_are_bounded_and_expired_buckets_stay_in_the_base_document() {
    let mut growth = GrowthCounter::new(Settings { waiting: 4, ..Settings::default() }, "z", "d", 7);
    growth.close(NOW);
    for hour in 1..=30 {
        (0..100).for_each(|n| growth.record(hour * 100 + n, 0, 1.0, true, false));
        growth.record(1, 0, 1.0, true, false);
        assert!(!growth.close(NOW - 5 * HOUR_MS), "a clock that was set back closes nothing");
        assert!(growth.close(NOW + hour * HOUR_MS));
        assert!(growth.pending() <= 4);
    }
    let mut merged = GrowthHistory::new(&Settings { buckets: 3, ..Settings::default() });
    let mut keys = Vec::new();
    while let Some((key, bytes)) = growth.next() {
        merged.merge(&Document::decode(&bytes).unwrap(), NOW + 30 * HOUR_MS).unwrap();
        growth.written(&key);
        keys.push(key);
    }
    assert_eq!(keys[0], "growth/z/500026/d-7");
    let series = series(&merged, 0, u64::MAX);
    assert!((series[2].objects / 3_001.0 - 1.0).abs() < 0.02, "{series:?}");
    // A new planner starts from the base document alone.
    let base = Document::decode(&merged.base().unwrap().encode()).unwrap();
    let mut next_planner = GrowthHistory::new(&Settings { buckets: 3, ..Settings::default() });
    next_planner.merge(&base, NOW + 30 * HOUR_MS).unwrap();
    assert!(
        (next_planner.base().is_none()) && next_planner.oldest() < base.bucket,
        "no bucket of its own yet"
    );
    let mut future = base;
    future.bucket = bucket_of(NOW, 3_600_000_000) + 1_000;
    assert!(matches!(merged.merge(&future, NOW + 30 * HOUR_MS), Err(GrowthError::FutureBucket { .. })));
}

fn series(of: &GrowthHistory, start: u64, last: u64) -> Vec<Point> {
    let cells: Vec<_> = (0..).map_while(|n| of.cell(n)).collect();
    of.series(&cells, start, last)
}

fn points(kb: impl Fn(u64) -> f64, hours: u64, known: impl Fn(u64) -> bool) -> Vec<Point> {
    let point = |n| Point { bucket: 500_000 + n, objects: kb(n), kb: kb(n), writes: 0.0, known: known(n) };
    (0..hours).map(point).collect()
}

fn trend(history: &[Point]) -> super::forecast::Trend {
    match Forecast::of(history, &Settings::default()) {
        Forecast::Known(trend) => trend,
        other => panic!("{other:?}"),
    }
}

proptest! {
    #![proptest_config(seeded(32))]

    /// A flood, a purge and a gap at any time do not change the forecast growth, with and without daily seasonality,
    /// for histories of days and of weeks.
    #[test]
    fn floods_purges_and_gaps_do_not_change_the_forecast_growth(
        flood in 0u64..900, purge in 0u64..900, gap in 0u64..900, lasts in 1u64..60, long: bool, seasonal: bool,
    ) {
        let hours = if long { 1_008 } else { 240 };
        let wave = |n: u64| if seasonal { 300.0 * (n as f64 / 24.0 * std::f64::consts::TAU).sin() } else { 0.0 };
        let undisturbed = |n: u64| 1e6 + 100.0 * n as f64 + wave(n);
        let (flood, purge, gap) = (flood % hours, purge % hours, gap % hours);
        let lasts = if long { lasts } else { lasts / 4 };
        let kb = |n: u64| {
            undisturbed(n) + 5_000.0 * n.saturating_sub(flood).min(12) as f64 - if n >= purge { 4e5 } else { 0.0 }
        };
        let disturbed = trend(&points(kb, hours, |n| !(gap..gap + lasts).contains(&n)));
        let ahead = disturbed.after(336).middle - disturbed.level;
        prop_assert!((ahead / 33_600.0 - 1.0).abs() < 0.1, "{ahead}: {} {}", disturbed.rate, disturbed.slope);
    }

    /// Any history is forecast without a panic, and the high end reaches a size first, then the middle, then the low
    /// end.
    #[test]
    fn any_history_reaches_a_size_by_the_high_middle_and_low_end_in_order(
        kb in proptest::collection::vec((any::<f64>(), any::<bool>()), 0..500), bucket in 1u64..100_000_000_000,
    ) {
        let point = |(n, k): (usize, &(f64, bool))| {
            Point { bucket: u64::MAX - 600 + n as u64, objects: k.0, kb: k.0, writes: 0.0, known: k.1 }
        };
        let history: Vec<_> = kb.iter().enumerate().map(point).collect();
        let settings = Settings { bucket, ..Settings::default() };
        if let Forecast::Known(trend) = Forecast::of(&history, &settings) {
            let [early, middle, late] = trend.reaches(1e6, 1_000);
            let at = |of: Option<u64>| of.unwrap_or(u64::MAX);
            prop_assert!(at(early) <= at(middle) && at(middle) <= at(late));
        }
    }
}

#[test]
fn a_short_history_gives_no_forecast() {
    let history = points(|n| n as f64, 100, |n| n % 15 == 0);
    assert_eq!(Forecast::of(&history, &Settings::default()), Forecast::InsufficientHistory { known: 7 });
    assert_eq!(Forecast::of(&[], &Settings::default()), Forecast::InsufficientHistory { known: 0 });
}

/// Time at which the shard of [`growing`] is full by the early end of its forecast: earlier than by its middle by 10
/// hours of growth, the standard error of the counts.
const FULL_AT_MS: u64 = 500_390 * HOUR_MS;

/// Returns a shard with 300 hours of history that grows by 100 KB per hour and is full 101 hours later, its forecast, a
/// window of 4 hours each day, and the current time.
fn growing() -> (Shard, Forecast, Vec<(u64, u64)>, u64) {
    let now = 500_299;
    let shard = Shard { start: 0, last: u64::MAX, home: Some("a".into()), capacity_kb: 160_000.0 };
    let forecast = Forecast::of(&points(|n| 100.0 * n as f64, 300, |_| true), &Settings::default());
    let windows = (0..30).map(|d| ((now + d * 24 + 3) * HOUR_MS, (now + d * 24 + 7) * HOUR_MS)).collect();
    (shard, forecast, windows, now * HOUR_MS)
}

#[test]
fn a_split_takes_the_last_window_that_leaves_one_for_the_move_and_a_new_planner_keeps_it() {
    let (shard, forecast, windows, now) = growing();
    let mut scheduler = Scheduler::new(Settings::default());
    assert_eq!(scheduler.plan(now, &shard, &forecast, &windows, HOUR_MS), None);
    let split = *scheduler.scheduled().next().unwrap();
    assert_eq!(
        (split.window, split.full_at_ms),
        (windows[2], FULL_AT_MS),
        "the fourth window is left for the move"
    );
    // A new planner keeps the stored schedule while it has no forecast, and schedules the same split once it has one.
    let mut next_scheduler = Scheduler::decode(Settings::default(), &scheduler.encode()).unwrap();
    assert_eq!(next_scheduler, scheduler);
    assert_eq!(
        next_scheduler.plan(now, &shard, &Forecast::InsufficientHistory { known: 0 }, &[], HOUR_MS),
        None
    );
    assert_eq!(next_scheduler.plan(now, &shard, &forecast, &windows, HOUR_MS), None);
    assert_eq!(next_scheduler, scheduler);
    assert!(next_scheduler.due(windows[2].0 - 1).is_empty() && next_scheduler.due(windows[2].1).is_empty());
    // A split stays scheduled while its window is open, whatever is forecast, until the map shows it.
    let inside = windows[2].0;
    assert_eq!(next_scheduler.plan(inside, &shard, &forecast, &windows[3..], HOUR_MS), None);
    assert_eq!(next_scheduler.due(inside), [split]);
    next_scheduler.follow(std::slice::from_ref(&shard));
    assert_eq!(next_scheduler.due(inside), [split]);
    let half = |start, last| Shard { start, last, ..shard.clone() };
    next_scheduler.follow(&[half(0, split.middle - 1), half(split.middle, u64::MAX)]);
    assert!(next_scheduler.due(inside).is_empty());
}

#[test]
fn a_notice_is_given_if_no_window_is_in_time() {
    let (shard, forecast, windows, now) = growing();
    let mut scheduler = Scheduler::new(Settings::default());
    let notice = Notice::NoWindow { start: 0, full_at_ms: FULL_AT_MS };
    assert!(notice.to_string().contains("extend the quiet windows or add an endpoint"));
    let too_late = Some(notice);
    assert_eq!(
        scheduler.plan(now, &shard, &forecast, &windows, 5 * HOUR_MS),
        too_late,
        "no window is long enough for the move"
    );
    assert_eq!(scheduler.scheduled().next().unwrap().window, windows[0], "the next window");
    assert_eq!(
        scheduler.plan(now, &shard, &forecast, &windows[3..], HOUR_MS),
        too_late,
        "one window, not two"
    );
    assert_eq!(scheduler.plan(now, &shard, &forecast, &[], HOUR_MS), too_late);
    let smallest = Shard { last: 1, ..shard };
    assert_eq!(scheduler.plan(now, &smallest, &forecast, &windows, 1), Some(Notice::TooSmall { start: 0 }));
}

#[test]
fn shards_are_merged_only_if_they_stay_small() {
    let (shard, ..) = growing();
    let (mut a, mut b) = (shard.clone(), shard);
    (a.last, b.start) = (u64::MAX / 2, u64::MAX / 2 + 1);
    let of = |kb: f64| Forecast::of(&points(|_| kb, 400, |_| true), &Settings::default());
    let scheduler = Scheduler::new(Settings::default());
    let merges = |a: &Shard, of_a: Forecast, b: &Shard, of_b: Forecast| {
        scheduler.merges(&[(a.clone(), of_a), (b.clone(), of_b)])
    };
    assert_eq!(merges(&a, of(3_000.0), &b, of(4_000.0)), [b.start]);
    assert!(merges(&a, of(4_000.0), &b, of(4_000.0)).is_empty(), "at least 5% of the endpoint's capacity");
    let growing_forecast = Forecast::of(&points(|n| 19.0 * n as f64, 400, |_| true), &Settings::default());
    assert!(merges(&a, growing_forecast, &b, of(1.0)).is_empty(), "small but growing");
    b.home = Some("b".into());
    assert!(merges(&a, of(1.0), &b, of(1.0)).is_empty(), "another home");
}

#[test]
fn the_first_week_over_capacity_follows_the_forecast_growth() {
    let quadratic = Forecast::of(&points(|n| (n * n) as f64, 1_008, |_| true), &Settings::default());
    let linear = Forecast::of(&points(|n| n as f64, 1_008, |_| true), &Settings::default());
    let settings = Settings::default();
    let weeks = weekly_growth_factors([&linear].into_iter(), 8, &settings);
    assert_eq!(first_week_over_capacity(&weeks, |f| f < 1.01), None, "{weeks:?}");
    let weeks = weekly_growth_factors([&quadratic, &linear].into_iter(), 8, &settings);
    assert_eq!(first_week_over_capacity(&weeks, |f| f < 1.25), Some(2), "{weeks:?}");
}

/// For 200 shards with steady growth, daily seasonality and the counts' error, planned daily, fewer than 2 of 100
/// splits and their moves come too late. `measure-growth` prints the table for all forms of growth.
#[test]
fn fewer_than_two_percent_of_splits_come_too_late() {
    let settings = Settings::default();
    let mut too_late = 0;
    for n in 0..200u64 {
        let off = |hour: u64| super::buckets::STANDARD_ERROR * (n as f64 + hour as f64 / 300.0).sin();
        let expected = |hour: u64| {
            (20 + n) as f64 * (hour as f64 + 4.0 * (hour as f64 / 24.0 * std::f64::consts::TAU).sin())
        };
        let known = points(|hour| expected(hour) * (1.0 + off(hour)), 1_344, |_| true);
        let full = (700 + n..).find(|&hour| expected(hour) >= expected(700 + n)).unwrap_or(u64::MAX);
        let shard = Shard { start: 0, last: 9, home: None, capacity_kb: expected(full) / settings.split };
        let window = |day: u64| ((500_000 + day * 24 + 2) * HOUR_MS, (500_000 + day * 24 + 6) * HOUR_MS);
        let mut scheduler = Scheduler::new(settings.clone());
        let split = (21..56).find(|day| {
            let (now, to) = ((500_000 + day * 24) * HOUR_MS, (day * 24) as usize);
            let forecast = Forecast::of(&known[..to], &settings);
            scheduler.plan(
                now,
                &shard,
                &forecast,
                &(*day..day + 40).map(window).collect::<Vec<_>>(),
                HOUR_MS,
            );
            !scheduler.due(now + 2 * HOUR_MS).is_empty()
        });
        too_late += u32::from(split.is_none_or(|day| window(day + 1).1 > (500_000 + full) * HOUR_MS));
    }
    assert!(too_late < 4, "{too_late} of 200");
}
