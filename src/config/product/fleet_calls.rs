//! The script calls that configure fleet-wide features: `site_plan`, `shards`, `quiet`, `blackout`, `growth` and
//! `purge_log`.

use super::arguments::{Arguments, CallError};
use super::registry::{parse_endpoint, parse_prefix};
use super::{Product, MICROS_PER_MS};
use crate::placement::quiet::{Calendar, Window};
use crate::{failover, growth, placement, purges};
use jiff::tz::TimeZone;
use jiff::Timestamp;
use std::path::PathBuf;

/// Maximum number of quiet windows and blackouts in one script.
const MAX_WINDOWS: usize = 256;
const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

fn percent(
    arguments: &mut Arguments,
    name: &'static str,
    least: u64,
    most: u64,
    to: &mut f64,
) -> Result<(), CallError> {
    arguments.number(name, least..=most, |number| *to = number as f64 / 100.0)
}

fn ms(
    arguments: &mut Arguments,
    name: &'static str,
    least: u64,
    most: u64,
    to: &mut u64,
) -> Result<(), CallError> {
    arguments.number(name, least..=most, |number| *to = number * MICROS_PER_MS)
}

/// Parses and checks the arguments of `site_plan(...)`.
pub(super) fn site_plan(mut arguments: Arguments) -> Result<failover::Settings, CallError> {
    let mut settings = failover::Settings::default();
    ms(&mut arguments, "doubt_ms", 100, 60_000, &mut settings.suspect_after)?;
    ms(&mut arguments, "lost_ms", 200, 120_000, &mut settings.unreachable_after)?;
    ms(&mut arguments, "hint_ages_ms", 500, 60_000, &mut settings.report_ttl)?;
    ms(&mut arguments, "back_ms", 100, 600_000, &mut settings.hold_off)?;
    ms(&mut arguments, "longest_back_ms", 100, 3_600_000, &mut settings.max_hold_off)?;
    ms(&mut arguments, "settled_ms", 1_000, 86_400_000, &mut settings.flap_window)?;
    arguments.number("steps", 1..=32, |number| settings.recovery_steps = number as u8)?;
    percent(&mut arguments, "headroom_percent", 10, 100, &mut settings.headroom)?;
    percent(&mut arguments, "floor_percent", 0, 50, &mut settings.floor)?;
    percent(&mut arguments, "demand_percent", 1, 200, &mut settings.assumed_demand)?;
    settings.cross_zone_caches = arguments.flag("beyond_branch")?.unwrap_or(settings.cross_zone_caches);
    arguments.finish()?;
    if settings.unreachable_after <= settings.suspect_after {
        return Err(CallError::whole(
            format!(
                "site_plan(): lost_ms ({}) is not above doubt_ms ({})",
                settings.unreachable_after / MICROS_PER_MS,
                settings.suspect_after / MICROS_PER_MS
            ),
            "a site is suspected before it counts as lost; raise lost_ms",
        ));
    }
    if settings.max_hold_off < settings.hold_off {
        return Err(CallError::whole(
            format!(
                "site_plan(): longest_back_ms ({}) is below back_ms ({})",
                settings.max_hold_off / MICROS_PER_MS,
                settings.hold_off / MICROS_PER_MS
            ),
            "raise longest_back_ms",
        ));
    }
    Ok(settings)
}

/// Parses and checks the arguments of `shards(...)`.
pub(super) fn shards(mut arguments: Arguments) -> Result<placement::Settings, CallError> {
    let endpoints = arguments.list("endpoints", 1..=16, parse_endpoint)?;
    let prefix = arguments.text("prefix", parse_prefix)?;
    let mut settings = placement::Settings::new(Vec::new(), "");
    arguments.number("first", 1..=4_096, |number| settings.first = number as usize)?;
    arguments.number("most", 1..=10_000, |number| settings.most = number as usize)?;
    percent(&mut arguments, "spread_percent", 1, 100, &mut settings.spread)?;
    arguments.number("moves", 1..=1_000, |number| settings.moves = number as usize)?;
    arguments.number("move_mb", 1..=100_000_000, |number| settings.move_kb = number as f64 * 1_000.0)?;
    percent(&mut arguments, "warm_percent", 1, 50, &mut settings.warm)?;
    ms(&mut arguments, "lease_ms", 1_000, 600_000, &mut settings.lease)?;
    ms(&mut arguments, "skew_ms", 50, 600_000, &mut settings.skew)?;
    settings.snapshot = arguments.text("snapshot", |text| Ok(PathBuf::from(text)))?;
    arguments.finish()?;
    settings.endpoints = Arguments::required("shards", "endpoints", endpoints)?;
    settings.prefix = Arguments::required("shards", "prefix", prefix)?;
    if settings.first > settings.most {
        return Err(CallError::whole(
            format!("shards(): first ({}) is above most ({})", settings.first, settings.most),
            "raise most, or lower first",
        ));
    }
    Ok(settings)
}

/// Parses and checks the arguments of `growth(...)`.
pub(super) fn growth(mut arguments: Arguments) -> Result<growth::Settings, CallError> {
    let mut settings = growth::Settings::default();
    ms(&mut arguments, "bucket_ms", 2_000, 86_400_000, &mut settings.bucket)?;
    arguments.number("buckets", 8..=20_000, |number| settings.buckets = number as usize)?;
    arguments.number("box_mb", 1..=1_000_000_000, |number| settings.box_kb = number as f64 * 1_000.0)?;
    percent(&mut arguments, "split_percent", 1, 100, &mut settings.split)?;
    percent(&mut arguments, "merge_percent", 0, 50, &mut settings.merge)?;
    arguments.number("ahead", 1..=20_000, |number| settings.ahead = number as usize)?;
    percent(&mut arguments, "level_percent", 50, 99, &mut settings.level)?;
    arguments.number("waiting", 2..=1_000, |number| settings.waiting = number as usize)?;
    arguments.finish()?;
    if settings.merge * 2.0 > settings.split {
        return Err(CallError::whole(
            format!(
                "growth(): merge_percent ({}) is over half of split_percent ({})",
                settings.merge * 100.0,
                settings.split * 100.0
            ),
            "shards would alternately be merged and split; lower merge_percent",
        ));
    }
    Ok(settings)
}

/// Parses and checks the arguments of `purge_log(...)`.
pub(super) fn purge_log(mut arguments: Arguments) -> Result<purges::log::Settings, CallError> {
    let endpoints = arguments.list("endpoints", 1..=16, parse_endpoint)?;
    let prefix = arguments.text("prefix", parse_prefix)?;
    let mut settings = purges::log::Settings::new(Vec::new(), "");
    ms(&mut arguments, "staleness_ms", 100, 60_000, &mut settings.max_staleness)?;
    ms(&mut arguments, "skew_ms", 0, 10_000, &mut settings.max_clock_skew)?;
    ms(&mut arguments, "check_ms", 20, 30_000, &mut settings.check_interval)?;
    ms(&mut arguments, "silence_ms", 20, 30_000, &mut settings.check_timeout)?;
    arguments.finish()?;
    settings.endpoints = Arguments::required("purge_log", "endpoints", endpoints)?;
    settings.prefix = Arguments::required("purge_log", "prefix", prefix)?;
    if settings.check_interval + settings.check_timeout >= settings.max_staleness {
        return Err(CallError::whole(
            format!(
                "purge_log(): check_ms and silence_ms ({} together) are not below staleness_ms ({})",
                (settings.check_interval + settings.check_timeout) / MICROS_PER_MS,
                settings.max_staleness / MICROS_PER_MS
            ),
            "a single unresponsive endpoint would cut the instance off; lower them, or raise staleness_ms",
        ));
    }
    Ok(settings)
}

fn day(text: &str) -> Result<u8, String> {
    let number = DAYS.iter().position(|day| *day == text);
    number
        .map(|number| number as u8)
        .ok_or_else(|| format!("'{text}' is not a day of the week; the days are {}", DAYS.join(", ")))
}

fn minute(text: &str) -> Result<u16, String> {
    parse_minute(text).ok_or_else(|| format!("'{text}' is not a time of day; write it as \"22:30\""))
}

/// Parses a time of day such as `22:30` into minutes since midnight.
fn parse_minute(text: &str) -> Option<u16> {
    let is_two_digits = |part: &str| part.len() == 2 && part.bytes().all(|byte| byte.is_ascii_digit());
    let (hour, minute) = text.split_once(':')?;
    if !is_two_digits(hour) || !is_two_digits(minute) {
        return None;
    }
    let (hour, minute) = (hour.parse::<u16>().ok()?, minute.parse::<u16>().ok()?);
    (hour < 24 && minute < 60).then_some(hour * 60 + minute)
}

fn time_zone(text: &str) -> Result<TimeZone, String> {
    TimeZone::get(text).map_err(|_| {
        format!("'{text}' is not a time zone; use a name from the time zone database, such as \"America/Vancouver\"")
    })
}

fn moment(text: &str) -> Result<Timestamp, String> {
    text.parse().map_err(|_| {
        format!("'{text}' is not a timestamp; write it with its UTC offset, as \"2026-12-24T22:00:00-08:00\"")
    })
}

fn zone_name(text: &str) -> Result<String, String> {
    if text.is_empty() || text.len() > 64 {
        return Err("a zone name must have 1 to 64 bytes".to_owned());
    }
    Ok(text.to_owned())
}

fn span(
    call: &str,
    starts: Option<Timestamp>,
    ends: Option<Timestamp>,
) -> Result<(Timestamp, Timestamp), CallError> {
    let starts = Arguments::required(call, "starts", starts)?;
    let ends = Arguments::required(call, "ends", ends)?;
    if ends <= starts {
        return Err(CallError::whole(
            format!("{call}(): ends ({ends}) is not after starts ({starts})"),
            "swap starts and ends",
        ));
    }
    Ok((starts, ends))
}

/// Parses one call of `quiet(...)` and adds its window to the calendar.
pub(super) fn quiet(mut arguments: Arguments, calendar: &mut Calendar) -> Result<(), CallError> {
    let zone = arguments.text("zone", zone_name)?;
    let days = arguments.list("days", 1..=7, day)?;
    let (from, to) = (arguments.text("since", minute)?, arguments.text("until", minute)?);
    let clock = arguments.text("tz", time_zone)?;
    let (starts, ends) = (arguments.text("starts", moment)?, arguments.text("ends", moment)?);
    arguments.finish()?;
    let zone = Arguments::required("quiet", "zone", zone)?;
    let weekly = days.is_some() || from.is_some() || to.is_some() || clock.is_some();
    let once = starts.is_some() || ends.is_some();
    let window = match (weekly, once) {
        (true, true) => {
            return Err(CallError::whole(
                "quiet() has both a weekly window and a one-time window".to_owned(),
                "make two calls: one with days, since, until and tz, the other with starts and ends",
            ));
        }
        (_, true) => {
            let (starts, ends) = span("quiet", starts, ends)?;
            Window::Once(starts, ends)
        }
        _ => Window::Weekly {
            days: Arguments::required("quiet", "days", days)?.iter().fold(0, |all, day| all | 1 << day),
            from: Arguments::required("quiet", "since", from)?,
            to: Arguments::required("quiet", "until", to)?,
            zone: Arguments::required("quiet", "tz", clock)?,
        },
    };
    calendar.quiet.push((zone, window));
    check_window_count(calendar)
}

/// Parses one call of `blackout(...)` and adds it to the calendar.
pub(super) fn blackout(mut arguments: Arguments, calendar: &mut Calendar) -> Result<(), CallError> {
    let zone = arguments.text("zone", zone_name)?;
    let (starts, ends) = (arguments.text("starts", moment)?, arguments.text("ends", moment)?);
    arguments.finish()?;
    let (starts, ends) = span("blackout", starts, ends)?;
    calendar.blackouts.push((zone, starts, ends));
    check_window_count(calendar)
}

fn check_window_count(calendar: &Calendar) -> Result<(), CallError> {
    if calendar.quiet.len() + calendar.blackouts.len() > MAX_WINDOWS {
        let problem = format!("more than {MAX_WINDOWS} quiet windows and blackouts");
        return Err(CallError::whole(
            problem,
            "remove those that have ended, or merge those with equal hours",
        ));
    }
    Ok(())
}

/// Checks dependencies between calls, once the whole script has run.
pub(super) fn check(product: &Product) -> Result<(), CallError> {
    let lacks = |call: &str, needs: &str, hint| {
        Err(CallError::whole(format!("{call} is set, but {needs} is not"), hint))
    };
    if product.growth.is_some() && product.shards.is_none() {
        return lacks(
            "growth()",
            "shards()",
            "growth is measured per shard; set shards(), or remove growth()",
        );
    }
    if product.calendar != Calendar::default() && product.shards.is_none() {
        return lacks(
            "quiet() or blackout()",
            "shards()",
            "these windows only limit shard moves; set shards(), or remove the windows",
        );
    }
    Ok(())
}
