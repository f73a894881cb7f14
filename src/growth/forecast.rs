//! When a shard will have grown to a size: from its history, with an interval, robustly.
//!
//! What is forecast is what a shard would keep: the distinct kilobytes wanted of it so far. A box that keeps less
//! than that evicts, which is what the split is to prevent. Growth is taken as sums over days, compared by medians:
//! the line of growth is Theil and Sen's (the median of all slopes between days, 29% of which may be anything), used
//! only where Mann and Kendall's test finds a trend at all, and damped ahead; the week's rhythm is the median of each
//! hour of the week. So a flood of once-wanted objects or a purge changes the level, which is real, and not the growth;
//! a gap is left out. Under a fortnight of data there is no rhythm, and under four days spans of
//! equal length stand for the days.
//!
//! Ruled out: `augurs` (MSTL over ETS). It fits by squares and takes no gaps: for a shard that grows by 33,600 in a
//! fortnight it told 33,057, and 2,848 after one flood of 12 hours four days before the end. One series of six weeks
//! took it 27 to 35 ms, 10,000 about five minutes.

use super::buckets::{Point, ERROR};
use super::Settings;

/// Known buckets below which nothing is said.
pub const LEAST_KNOWN: usize = 8;
/// Most spans of growth that are compared, the latest.
const MOST_SPANS: usize = 42;
/// Spans of which at least something has to be known.
const LEAST_SPANS: usize = 4;
/// Spans into which a history of fewer days is cut.
const SPANS: usize = 16;
/// The latest spans, from which today's rate is taken.
const LATEST: usize = 14;
/// From one span to the next ahead, so much of the trend goes on.
const DAMPED: f64 = 0.95;
/// How far apart medians lie by chance against means, as a factor of the variance.
const MEDIAN: f64 = 1.57;
const DAY: u64 = 86_400_000_000;

/// The size of a shard at a moment ahead, in kilobytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// Its early, low end.
    pub low: f64,
    /// As likely above as below.
    pub middle: f64,
    /// Its high end: by this one splits are scheduled.
    pub high: f64,
}

/// What is to be expected of one shard.
#[derive(Clone, Debug, PartialEq)]
pub enum Forecast {
    /// Too little is known to say anything.
    TooLittle {
        /// Buckets that are known, of [`LEAST_KNOWN`].
        known: usize,
    },
    /// A trend.
    Known(Trend),
}

/// Level, growth, rhythm, and how much they vary.
#[derive(Clone, Debug, PartialEq)]
pub struct Trend {
    /// The last known size, in kilobytes.
    pub level: f64,
    /// The bucket at whose end it was that.
    pub bucket: u64,
    /// Growth in one span, at the end of the history, in kilobytes.
    pub rate: f64,
    /// How much that changes from span to span.
    pub slope: f64,
    /// Buckets in one span.
    pub span: usize,
    /// Spread of the growth of one span, as a standard deviation.
    spread: f64,
    spans: usize,
    /// How many standard deviations the interval's ends are away.
    sure: f64,
    /// Of each bucket of the week, its part of the growth of a span; empty: all alike.
    rhythm: Vec<f32>,
    /// Of the first buckets of the week, the sum of their parts.
    sums: Vec<f64>,
}

fn median(of: &mut [f64]) -> f64 {
    if of.is_empty() {
        return 0.0;
    }
    let (middle, odd) = (of.len() / 2, of.len() % 2 == 1);
    let (low, high, _) = of.select_nth_unstable_by(middle, f64::total_cmp);
    let high = *high;
    if odd {
        return high;
    }
    let below = low.iter().copied().max_by(f64::total_cmp).unwrap_or(high);
    (below + high) / 2.0
}

/// Standard deviations within which a part of all lies, both sides together; by the logistic curve, which is a little
/// wider than the normal one.
fn deviations(level: f64) -> f64 {
    let above = (1.0 + level.clamp(0.0, 0.999)) / 2.0;
    (above / (1.0 - above)).ln() / 1.7
}

/// Whether a point is known, of a size that can be reckoned with.
fn told(point: &&Point) -> bool {
    point.known && (0.0..1e18).contains(&point.kb)
}

/// Growth from one known bucket to the next; across a gap there is none to tell.
fn rises(history: &[Point]) -> Vec<Option<f64>> {
    let rise = |pair: &[Point]| {
        let follows = pair[0].bucket.checked_add(1) == Some(pair[1].bucket);
        (pair[0].known && pair[1].known && follows)
            .then_some(pair[1].kb - pair[0].kb)
            .filter(|r| r.is_finite())
    };
    history.windows(2).map(rise).collect()
}

/// Of each bucket of the week its part of a day's growth; empty where the history shows none.
fn rhythm(rises: &[Option<f64>], first: u64, day: usize) -> Vec<f32> {
    let week = day * 7;
    let mut by_phase = vec![Vec::new(); week];
    for (n, rise) in rises.iter().enumerate() {
        by_phase[((first + n as u64) % week as u64) as usize].extend(*rise);
    }
    let medians: Vec<f64> = by_phase.iter_mut().map(|p| median(p).max(0.0)).collect();
    let mean = medians.iter().sum::<f64>() / 7.0;
    // A shard in which most hours bring nothing has no rhythm that medians could show.
    let told = medians.iter().filter(|&&m| m > 0.0).count();
    if mean <= 0.0 || told * 2 < week || by_phase.iter().any(Vec::is_empty) {
        return Vec::new();
    }
    medians.iter().map(|m| (m / mean) as f32).collect()
}

/// Growth of one span after the other, the latest last, with the rhythm taken out; `None` where under half is known.
fn spans(rises: &[Option<f64>], first: u64, span: usize, rhythm: &[f32]) -> Vec<Option<f64>> {
    let skip = rises.len() % span;
    let part = |bucket: u64| match rhythm.len() {
        0 => 1.0 / span as f64,
        week => f64::from(rhythm[(bucket % week as u64) as usize]),
    };
    let from = |n: usize| first + (skip + n * span) as u64;
    let sum = |(n, chunk): (usize, &[Option<f64>])| {
        let (mut sum, mut expected, mut known) = (0.0, 0.0, 0);
        for (at, rise) in chunk.iter().enumerate() {
            if let Some(rise) = rise {
                (sum, expected, known) = (sum + rise, expected + part(from(n) + at as u64), known + 1);
            }
        }
        (known * 2 >= span && expected > 0.1).then_some(sum / expected)
    };
    let all: Vec<_> = rises[skip..].chunks(span).enumerate().map(sum).collect();
    all[all.len().saturating_sub(MOST_SPANS)..].to_vec()
}

/// The trend of growth: at the end, and its change from span to span; no change where chance would explain it.
fn line(spans: &[(f64, f64)]) -> (f64, f64) {
    let many = spans.len();
    let mut slopes = Vec::with_capacity(many * many / 2);
    let mut score = 0i64;
    for (n, a) in spans.iter().enumerate() {
        for b in &spans[n + 1..] {
            slopes.push((b.1 - a.1) / (b.0 - a.0));
            score += i64::from(b.1 > a.1) - i64::from(b.1 < a.1);
        }
    }
    let n = many as f64;
    let chance = (n * (n - 1.0) * (2.0 * n + 5.0) / 18.0).sqrt();
    let latest = &spans[many.saturating_sub(LATEST)..];
    let slope = if score.abs() as f64 > 2.0 * chance { median(&mut slopes) } else { 0.0 };
    // The rate of today is that of the latest: a line through all is off at its end where the change is no line.
    if slope < 0.0 {
        // What falls, falls by the same part each span, or it would soon be below nothing.
        let of = |spans: &[(f64, f64)]| median(&mut spans.iter().map(|s| s.1).collect::<Vec<_>>());
        let (before, after) = (of(&spans[..many / 2]), of(&spans[many / 2..]));
        if before > after && after > 0.0 {
            let part = (after / before).powf(2.0 / n);
            let rate = of(latest) * part.powf(latest.len() as f64 / 2.0);
            return (rate, rate * (part - 1.0) / part);
        }
    }
    let mut ends: Vec<f64> = latest.iter().map(|s| s.1 - slope * s.0).collect();
    (median(&mut ends), slope)
}

impl Forecast {
    /// From a history, oldest first, one point a bucket.
    pub fn of(history: &[Point], settings: &Settings) -> Self {
        let known = history.iter().filter(told).count();
        let last = history.iter().rev().find(told);
        let (Some(last), Some(first)) = (last, history.first()) else { return Forecast::TooLittle { known } };
        if known < LEAST_KNOWN {
            return Forecast::TooLittle { known };
        }
        // A rise belongs to the bucket at whose end it is seen.
        let first = first.bucket.saturating_add(1).min(u64::MAX / 4);
        let rises = rises(history);
        let day = (DAY / settings.bucket.max(1)).clamp(1, 1 << 20) as usize;
        let fortnight = known / 14 >= day;
        let rhythm = if fortnight && day > 1 { rhythm(&rises, first, day) } else { Vec::new() };
        let days = rises.len() / day >= LEAST_SPANS;
        let span = if days { day } else { (rises.len() / SPANS).max(1) };
        let spans = spans(&rises, first, span, &rhythm);
        let end = spans.len() as f64 - 1.0;
        let places = spans.iter().enumerate().filter_map(|(n, s)| Some((n as f64 - end, (*s)?)));
        let places: Vec<(f64, f64)> = places.collect();
        if places.len() < LEAST_SPANS {
            return Forecast::TooLittle { known };
        }
        let (rate, slope) = line(&places);
        let falls = slope < 0.0 && rate > 0.0;
        let expected =
            |at: f64| if falls { rate * (rate / (rate - slope)).powf(at) } else { rate + slope * at };
        let mut off: Vec<f64> = places.iter().map(|p| (p.1 - expected(p.0)).abs()).collect();
        let spread = 1.4826 * median(&mut off);
        let before = |sum: &mut f64, part: &f32| {
            *sum += f64::from(*part);
            Some(*sum - f64::from(*part))
        };
        let sums = rhythm.iter().scan(0.0, before).collect();
        Forecast::Known(Trend {
            level: last.kb,
            bucket: last.bucket,
            rate,
            slope,
            span,
            spread,
            spans: places.len(),
            sure: deviations(settings.level),
            rhythm,
            sums,
        })
    }
}

impl Trend {
    /// How many spans' growth the rhythm puts into the next buckets.
    fn lasts(&self, buckets: u64) -> f64 {
        let week = self.rhythm.len() as u64;
        if week == 0 {
            return buckets as f64 / self.span as f64;
        }
        let (from, weeks) = ((self.bucket + 1) % week, buckets / week);
        let to = from + buckets % week;
        let sum = |n: u64| self.sums.get(n as usize).copied().unwrap_or(7.0);
        let rest = if to > week { 7.0 - sum(from) + sum(to - week) } else { sum(to) - sum(from) };
        weeks as f64 * 7.0 + rest
    }

    /// The size at the end of so many buckets after the last known one. Sizes do not shrink by themselves.
    pub fn after(&self, buckets: u64) -> Interval {
        let lasts = self.lasts(buckets);
        // A rising rate rises by less each span ahead; a falling one falls by the same part, and so never below nothing.
        let change = |spans: f64| {
            DAMPED / (1.0 - DAMPED) * (spans - (1.0 - DAMPED.powf(spans)) / (1.0 - DAMPED) * DAMPED)
        };
        let held = self.rate.max(0.0) * lasts;
        let growth = if self.slope >= 0.0 {
            held + self.slope * change(lasts)
        } else {
            let part = self.rate.max(0.0) / (self.rate.max(0.0) - self.slope);
            self.rate.max(0.0) * part * (1.0 - part.powf(lasts)) / (1.0 - part)
        };
        let many = self.spans as f64;
        let turn = if self.slope == 0.0 { 0.0 } else { 12.0 * (lasts + many).powi(2) / 4.0 / many.powi(3) };
        let variance = lasts + lasts * lasts * (MEDIAN / many.min(LATEST as f64) + turn);
        let off = self.sure * (self.spread.powi(2) * variance + (ERROR * self.level).powi(2)).sqrt();
        // Danger: a rate that falls may stop falling at any time; the high end does not count on it.
        let (low, high) = ((growth - off).max(0.0), growth.max(held) + off);
        Interval { low: self.level + low, middle: self.level + growth, high: self.level + high }
    }

    /// The buckets in which a size is passed: by the high end, the middle and the low end; none within `ahead`.
    pub fn passes(&self, kb: f64, ahead: u64) -> [Option<u64>; 3] {
        [|i: Interval| i.high, |i: Interval| i.middle, |i: Interval| i.low].map(|end| {
            // Sizes only rise, so the first one is found by halving.
            let (mut below, mut above) = (0, ahead.saturating_add(1));
            while below < above {
                let middle = below + (above - below) / 2;
                if end(self.after(middle)) >= kb {
                    above = middle;
                } else {
                    below = middle + 1;
                }
            }
            (below <= ahead).then(|| self.bucket.saturating_add(below))
        })
    }

    /// Growth of a week, so many weeks ahead (0: the coming one), at the interval's middle and high end, against the
    /// week at today's rate; 1 where nothing grows.
    pub fn factor(&self, week: u64, buckets: u64) -> [f64; 2] {
        let (from, to) =
            (self.after(week.saturating_mul(buckets)), self.after((week + 1).saturating_mul(buckets)));
        let now = self.rate * self.lasts(buckets);
        if now <= 0.0 {
            return [1.0; 2];
        }
        [(to.middle - from.middle) / now, (to.high - from.high) / now].map(|f| f.max(0.0))
    }
}
