//! The deployment's settings as operators write them (nested JSON), used by the instance and the simulator
//! adapter.
//!
//! [`Document`] mirrors the JSON. `checks.rs` rejects values with which no request could be served,
//! `translation.rs` converts a document to the router's settings, and `classes.rs` keeps the numbers of
//! classes stable across reloads.
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

mod checks;
mod classes;
mod keys;
mod request_limits;
#[cfg(test)]
mod tests;
mod translation;

pub use self::checks::InvalidSetting;
pub(crate) use self::checks::MAX_TIME_US;
pub use self::classes::{
    ClassLookup, ClassTable, KnownClass, DROPPED_CLASS_KNOWN_FOR_US, DROPPED_CLASS_SERVED_FOR_US,
    MAX_KNOWN_CLASSES,
};
pub use self::keys::{is_optional, key_paths};
pub use self::request_limits::{KnownLimits, RequestLimits, RequestLimitsHistory};

use crate::routing::events::Micros;
use serde::Deserialize;

/// Maximum number of instances that settings can name.
pub const MAX_INSTANCES: u32 = 4_096;
/// Default limit of datagrams to peers per second.
pub const DEFAULT_PEER_DATAGRAMS_PER_S: u32 = 100;

/// The settings as operators write them. Unknown keys are ignored and absent keys take their defaults.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Document {
    /// Number of instances; 0: derived from `domain.crew_by_zone`, or unknown if that is empty.
    pub balancers: u32,
    /// The request classes, by number.
    pub classes: Vec<ClassEntry>,
    /// How the endpoint list is delivered: `push` or `ask`.
    pub discovery: String,
    /// Names of the zones, by number.
    pub failure_domains: Vec<String>,
    /// Names of the machine kinds, by number.
    pub kinds: Vec<String>,
    /// Properties of the kind of service.
    pub domain: Domain,
    /// Limits of the deployment.
    pub limits: Limits,
    /// Parameters of the load and warm-up rules.
    pub rules: Rules,
    /// Index of this instance among all instances.
    pub slot_no: usize,
    /// Meaning of an endpoint's `weight`: with `nominal` and `rough`, weights are sizes.
    pub weight_source: String,
    /// Index of the instance's zone.
    pub zone: usize,
}

/// Settings of one request class.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct ClassEntry {
    /// Name of the class, as clients and endpoints use it.
    pub name: String,
    /// See [`crate::routing::events::Class::latency_objective_stretch`].
    pub aim_stretch: f64,
    /// See [`crate::routing::events::Class::latency_objective`].
    pub promise_us: Micros,
    /// Longest time that a client waits.
    pub deadline_us: Micros,
    /// `idempotent`, `deduplicated` or `at_most_once`; any other value means `at_most_once`.
    pub semantics: String,
    /// `all`, `zone` or `cell`; any other value means `cell`.
    pub dedup_scope: String,
    /// See [`crate::routing::events::Class::deduplication_window`].
    pub window_us: Micros,
    /// Priority weight of one request; 0: unknown.
    pub worth: f64,
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
    pub lateral: String,
    pub max_age_us: Vec<Micros>,
    pub stale_for_us: Vec<Micros>,
    pub pass_on: Vec<bool>,
    pub parent_breaks_at: f64,
    pub parent_cold_from: f64,
    pub parent_ramp_us: Micros,
    pub purge_done_us: Micros,
    pub purge_slack_us: Micros,
    pub source_kind: Option<i64>,
    pub upper_kind: Option<i64>,
}

/// Limits of the deployment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
#[allow(missing_docs)] // named as on the wire, where each is explained
pub struct Limits {
    pub conn_idle_us: Micros,
    pub dial_timeout_us: Micros,
    pub max_attempts: u32,
    /// Maximum number of requests in flight; 0 or absent: limited only by memory.
    pub max_open: usize,
    pub may_cancel: bool,
    pub may_tell: bool,
    pub multiplex: usize,
    pub retry_after: bool,
    pub max_retry_after_us: Micros,
    /// Maximum number of datagrams to peers per second; absent: [`DEFAULT_PEER_DATAGRAMS_PER_S`].
    pub peer_datagrams_per_s: Option<u32>,
}

/// Parameters of the load and warm-up rules.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
#[allow(missing_docs)] // named as on the wire, where each is explained
pub struct Rules {
    pub fall_us: Micros,
    pub start_capacity: f64,
    pub tip_multiple: f64,
    pub warm_within_us: Micros,
}
