//! The settings as the operators write them (nested JSON) and their translation for the decision module.
//!
//! Both programs read them: the real doorman from its configuration, the adapter from the simulator.

use crate::interface::{Class, ColdStart, Detail, Effect, Group, Role, Settings, Time};
use serde::Deserialize;

/// The settings object. Keys that are not known here are skipped, absent ones take their default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Document {
    /// How many doormans there are.
    pub balancers: u32,
    /// The classes, by number.
    pub classes: Vec<ClassEntry>,
    /// How the list of depots comes: `push` or `ask`.
    pub discovery: String,
    /// Names of the zones, by number.
    pub failure_domains: Vec<String>,
    /// Names of the machine kinds, by number.
    pub kinds: Vec<String>,
    /// What depends on the kind of service.
    pub domain: Domain,
    /// Allowances of the site.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// What `weight` stands for.
    pub weight_source: String,
    /// The doorman's own zone.
    pub zone: usize,
}

/// One class of requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct ClassEntry {
    /// Its name, as clients and depots use it.
    pub name: String,
    /// See [`Class::aim_stretch`].
    pub aim_stretch: f64,
    /// See [`Class::aim`].
    pub promise_us: Time,
    /// The longest that a client waits.
    pub deadline_us: Time,
    /// `idempotent`, `deduplicated` or `at_most_once`.
    pub semantics: String,
    /// `all`, `zone` or `cell`.
    pub dedup_scope: String,
    /// See [`Class::window`].
    pub window_us: Time,
}

/// Properties of the kind of service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
#[allow(missing_docs)] // named as on the wire, where each is explained
pub struct Domain {
    pub can_join: bool,
    pub crew_by_zone: Vec<u32>,
    pub detail: String,
    pub direct: bool,
    pub flow_kb_per_s: f64,
    pub inlet_kb_per_s: Vec<f64>,
    pub max_age_us: Vec<Time>,
    pub stale_for_us: Vec<Time>,
    pub pass_on: Vec<bool>,
    pub parent_breaks_at: f64,
    pub parent_cold_from: f64,
    pub parent_ramp_us: Time,
    pub purge_done_us: Time,
    pub source_kind: Option<i64>,
    pub upper_kind: Option<i64>,
}

/// Allowances of the site.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
#[allow(missing_docs)] // named as on the wire, where each is explained
pub struct Limits {
    pub conn_idle_us: Time,
    pub dial_timeout_us: Time,
    pub max_attempts: u32,
    pub max_open: usize,
    pub may_cancel: bool,
    pub multiplex: usize,
    pub retry_after: bool,
    pub max_retry_after_us: Time,
}

/// Figures of the rules.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
#[allow(missing_docs)] // named as on the wire, where each is explained
pub struct Rules {
    pub fall_us: Time,
    pub start_capacity: f64,
    pub tip_multiple: f64,
    pub warm_within_us: Time,
}

impl Document {
    /// What the decision module is told.
    pub fn for_router(&self) -> Settings {
        let d = &self.domain;
        Settings {
            zone: self.zone,
            routers: self.balancers,
            routers_by_zone: d.crew_by_zone.clone(),
            classes: self.classes.iter().enumerate().map(|(n, c)| self.class(n, c)).collect(),
            pace_kb_s: d.flow_kb_per_s,
            link_kb_s: d.inlet_kb_per_s.clone(),
            weights_are_sizes: matches!(self.weight_source.as_str(), "nominal" | "rough"),
            cache_start: ColdStart {
                share: self.rules.start_capacity,
                ramp: self.rules.warm_within_us,
                multiple: self.rules.tip_multiple,
            },
            parent_start: ColdStart {
                share: d.parent_cold_from,
                ramp: d.parent_ramp_us,
                multiple: d.parent_breaks_at,
            },
            fall_window: self.rules.fall_us,
            purge_done: d.purge_done_us,
            direct: d.direct,
            can_join: d.can_join,
            detail: match d.detail.as_str() {
                "all" => Detail::All,
                "hit" => Detail::Hits,
                _ => Detail::Silent,
            },
            max_attempts: self.limits.max_attempts,
            may_cancel: self.limits.may_cancel,
            retry_after: self.limits.retry_after,
            max_retry_after: self.limits.max_retry_after_us,
            must_watch: self.discovery == "ask",
        }
    }

    fn class(&self, number: usize, entry: &ClassEntry) -> Class {
        let d = &self.domain;
        Class {
            fresh: d.max_age_us.get(number).copied().unwrap_or(0),
            grace: d.stale_for_us.get(number).copied().unwrap_or(0),
            uncacheable: d.pass_on.get(number).copied().unwrap_or(false),
            aim: entry.promise_us,
            aim_stretch: entry.aim_stretch,
            effect: match entry.semantics.as_str() {
                "idempotent" => Effect::Safe,
                "deduplicated" => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            group: match entry.dedup_scope.as_str() {
                "all" => Group::All,
                "zone" => Group::Zone,
                _ => Group::Cell,
            },
            window: entry.window_us,
        }
    }

    /// What a machine of this kind is.
    pub fn role(&self, kind: i64) -> Role {
        if self.domain.source_kind == Some(kind) {
            Role::Origin
        } else if self.domain.upper_kind == Some(kind) {
            Role::Parent
        } else {
            Role::Cache
        }
    }
}
