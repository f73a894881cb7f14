//! The settings of a script as JSON, for `larchdale check`.

use super::{Product, RegistrySettings, MICROS_PER_MS};
use crate::{failover, growth, placement, purges};
use serde_json::{json, Value};

/// Kilobytes in one megabyte of the script's `_mb` arguments.
const KB_PER_MB: f64 = 1000.0;

/// Returns the settings of a script as JSON.
pub fn describe(product: &Product) -> Value {
    json!({
        "registry": product.registry.as_ref().map(describe_registry),
        "log": product.log.map(|form| format!("{form:?}").to_lowercase()),
        "site_plan": product.site_plan.as_ref().map(describe_site_plan),
        "shards": product.shards.as_ref().map(|shards| describe_shards(shards, product)),
        "growth": product.growth.as_ref().map(describe_growth),
        "purge_log": product.purge_log.as_ref().map(describe_purge_log),
    })
}

fn describe_registry(registry: &RegistrySettings) -> Value {
    json!({
        "endpoints": registry.endpoints,
        "prefix": registry.prefix,
        "page": registry.page_size,
        "most_keys": registry.max_keys,
        "most_value_bytes": registry.max_value_bytes,
        "most_message_bytes": registry.max_message_bytes,
        "dial_ms": registry.dial_timeout / MICROS_PER_MS,
        "answer_ms": registry.answer_timeout / MICROS_PER_MS,
        "check_ms": registry.check_interval / MICROS_PER_MS,
        "silence_ms": registry.check_timeout / MICROS_PER_MS,
        "spread_ms": registry.retry_spread / MICROS_PER_MS,
        "longest_pause_ms": registry.max_retry_pause / MICROS_PER_MS,
        "restored_ms": registry.restore_confirmation / MICROS_PER_MS,
        "snapshot": registry.snapshot,
    })
}

fn describe_site_plan(settings: &failover::Settings) -> Value {
    json!({
        "doubt_ms": settings.suspect_after / MICROS_PER_MS,
        "lost_ms": settings.unreachable_after / MICROS_PER_MS,
        "hint_ages_ms": settings.report_ttl / MICROS_PER_MS,
        "back_ms": settings.hold_off / MICROS_PER_MS,
        "longest_back_ms": settings.max_hold_off / MICROS_PER_MS,
        "settled_ms": settings.flap_window / MICROS_PER_MS,
        "steps": settings.recovery_steps,
        "headroom": settings.headroom,
        "floor": settings.floor,
        "demand": settings.assumed_demand,
        "beyond_branch": settings.cross_zone_caches,
    })
}

fn describe_shards(settings: &placement::Settings, product: &Product) -> Value {
    json!({
        "endpoints": settings.endpoints,
        "prefix": settings.prefix,
        "first": settings.first,
        "most": settings.most,
        "spread": settings.spread,
        "moves": settings.moves,
        "move_mb": settings.move_kb / KB_PER_MB,
        "warm": settings.warm,
        "lease_ms": settings.lease / MICROS_PER_MS,
        "skew_ms": settings.skew / MICROS_PER_MS,
        "snapshot": settings.snapshot,
        "quiet": product.calendar.quiet.len(),
        "blackouts": product.calendar.blackouts.len(),
    })
}

fn describe_growth(settings: &growth::Settings) -> Value {
    json!({
        "bucket_ms": settings.bucket / MICROS_PER_MS,
        "buckets": settings.buckets,
        "box_mb": settings.box_kb / KB_PER_MB,
        "split": settings.split,
        "merge": settings.merge,
        "ahead": settings.ahead,
        "level": settings.level,
        "waiting": settings.waiting,
    })
}

fn describe_purge_log(settings: &purges::log::Settings) -> Value {
    json!({
        "endpoints": settings.endpoints,
        "prefix": settings.prefix,
        "staleness_ms": settings.max_staleness / MICROS_PER_MS,
        "skew_ms": settings.max_clock_skew / MICROS_PER_MS,
        "check_ms": settings.check_interval / MICROS_PER_MS,
        "silence_ms": settings.check_timeout / MICROS_PER_MS,
    })
}
