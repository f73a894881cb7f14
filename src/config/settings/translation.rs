//! Translation of the operators' settings into those of the router.

use super::{ClassEntry, Document, MAX_INSTANCES};
use crate::routing::events::{
    Class, DeduplicationScope, Idempotency, Micros, OutcomeDetail, Role, Settings, SlowStart,
};

/// Default window over which the load on a cold endpoint is measured, in microseconds.
pub(super) const DEFAULT_OVERLOAD_WINDOW_US: Micros = 1_000_000;
/// Minimum initial share of a slow start. With a share of zero, no request would ever be sent.
pub(super) const MIN_INITIAL_SHARE: f64 = 0.01;
/// Default overload multiple of a slow start.
const DEFAULT_OVERLOAD_MULTIPLE: f64 = 1.0;

impl Document {
    /// Returns the router's settings.
    pub fn for_router(&self) -> Settings {
        let domain = &self.domain;
        let routers = self.routers();
        Settings {
            zone: self.zone,
            routers,
            // An instance that doesn't know the number of instances must not assume that it is the only one: together,
            // all instances would overload cold endpoints.
            processes: if routers == 0 { MAX_INSTANCES } else { 1 },
            routers_by_zone: domain.crew_by_zone.clone(),
            classes: self.router_classes().collect(),
            transfer_rate_kb_s: domain.flow_kb_per_s,
            zone_link_kb_s: domain.inlet_kb_per_s.clone(),
            weights_are_sizes: matches!(self.weight_source.as_str(), "nominal" | "rough"),
            cache_slow_start: slow_start(
                self.rules.start_capacity,
                self.rules.warm_within_us,
                self.rules.tip_multiple,
            ),
            parent_slow_start: slow_start(
                domain.parent_cold_from,
                domain.parent_ramp_us,
                domain.parent_breaks_at,
            ),
            overload_window: match self.rules.fall_us {
                0 => DEFAULT_OVERLOAD_WINDOW_US,
                window => window,
            },
            purge_propagation_time: domain.purge_done_us,
            may_bypass_caches: domain.direct,
            may_join_fills: domain.can_join,
            outcome_detail: outcome_detail(&domain.detail),
            max_attempts: self.limits.max_attempts,
            may_cancel: self.limits.may_cancel,
            retry_after: self.limits.retry_after,
            max_retry_after: self.limits.max_retry_after_us,
            watch_required: self.discovery == "ask",
        }
    }

    /// Returns the role of endpoints of this kind.
    pub fn role(&self, kind: i64) -> Role {
        if self.domain.source_kind == Some(kind) {
            Role::Origin
        } else if self.domain.upper_kind == Some(kind) {
            Role::Parent
        } else {
            Role::Cache
        }
    }

    /// Returns the router's classes, by number.
    pub(super) fn router_classes(&self) -> impl Iterator<Item = Class> + '_ {
        self.classes.iter().enumerate().map(|(number, entry)| self.router_class(number, entry))
    }

    pub(super) fn router_class(&self, number: usize, entry: &ClassEntry) -> Class {
        let domain = &self.domain;
        Class {
            fresh_for: domain.max_age_us.get(number).copied().unwrap_or(0),
            grace: domain.stale_for_us.get(number).copied().unwrap_or(0),
            uncacheable: domain.pass_on.get(number).copied().unwrap_or(false),
            latency_objective: entry.promise_us,
            latency_objective_stretch: entry.aim_stretch,
            idempotency: idempotency(&entry.semantics),
            deduplication_scope: deduplication_scope(&entry.dedup_scope),
            deduplication_window: entry.window_us,
        }
    }

    /// Returns the number of routers: `balancers` if set, otherwise the sum over the zones; 0 if unknown.
    fn routers(&self) -> u32 {
        if self.balancers > 0 {
            return self.balancers;
        }
        self.domain.crew_by_zone.iter().fold(0, |sum: u32, &routers| sum.saturating_add(routers))
    }
}

/// Replaces an initial share below the minimum and a missing overload multiple by defaults, because with a ramp alone
/// an endpoint would get no request until the end of its slow start. With a duration of 0, no endpoint counts as cold.
fn slow_start(initial_share: f64, duration: Micros, overload_multiple: f64) -> SlowStart {
    SlowStart {
        initial_share: initial_share.clamp(MIN_INITIAL_SHARE, 1.0),
        duration,
        overload_multiple: if overload_multiple > 0.0 {
            overload_multiple
        } else {
            DEFAULT_OVERLOAD_MULTIPLE
        },
    }
}

fn outcome_detail(name: &str) -> OutcomeDetail {
    match name {
        "all" => OutcomeDetail::All,
        "hit" => OutcomeDetail::Hits,
        _ => OutcomeDetail::Silent,
    }
}

/// Parses the idempotency of a class. An unknown value counts as not idempotent, so that no request runs twice.
fn idempotency(name: &str) -> Idempotency {
    match name {
        "idempotent" => Idempotency::Idempotent,
        "deduplicated" => Idempotency::WithKey,
        _ => Idempotency::NotIdempotent,
    }
}

/// Parses a deduplication scope. An unknown value counts as the narrowest scope.
fn deduplication_scope(name: &str) -> DeduplicationScope {
    match name {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        _ => DeduplicationScope::Cell,
    }
}
