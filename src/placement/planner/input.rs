//! Input of each planner step, and the conditions derived from it.

use super::super::load::MeasuredShard;
use super::super::map::{max_warming_kb_s, ShardMap};
use super::super::moves::{Change, Moves};
use super::super::quiet::Calendar;
use super::super::rebalance::EndpointCapacity;
use super::super::Settings;
use super::{MICROS_PER_MS, WINDOW_MS};
use crate::failover::SiteState;
use crate::routing::events::{Id, Micros};

/// Upper limit on the duration of a planned warming, in milliseconds.
const MAX_WARMING_MS: f64 = 1e15;

/// Input of a planner step: the current settings, clocks and observed state.
#[derive(Clone, Copy, Debug)]
pub struct PlannerInput<'a> {
    /// Settings of the product's script.
    pub settings: &'a Settings,
    /// Quiet windows and blackouts: the times at which shards may move.
    pub calendar: &'a Calendar,
    /// The zone's name in the calendar.
    pub zone: &'a str,
    /// The planner's monotonic clock.
    pub now: Micros,
    /// The planner's Unix clock, in milliseconds.
    pub unix_ms: u64,
    /// Largest difference between an instance's reported clock and this one, in milliseconds.
    pub skew_ms: u64,
    /// Revision of the planner's lease key while this instance holds the lease.
    pub fence: Option<i64>,
    /// States of the sites that the zone's plans involve.
    pub sites: &'a [SiteState],
    /// Map epoch that each live instance of the zone has applied; `None` while unknown.
    pub instances: &'a [Option<u32>],
    /// Maximum number of instances of the zone, among which the warming rate is divided.
    pub max_instances: u32,
    /// The map that the planner's own instance has applied.
    pub local_map: Option<&'a ShardMap>,
    /// Bandwidth of the zone's link, in KB per second.
    pub link_kb_s: f64,
    /// All caches of the zone; a missing one counts as removed.
    pub endpoints: &'a [EndpointCapacity],
    /// Measured loads of the shards, ordered by start; a missing shard counts as empty.
    pub loads: &'a [MeasuredShard],
    /// Requested splits and merges, which replace the pending ones; `None` while unknown, which keeps the pending ones.
    pub requested_changes: Option<&'a [Change]>,
}

impl PlannerInput<'_> {
    pub(super) fn accepts_requests(&self, id: &Id) -> bool {
        self.endpoint(id).is_some_and(|endpoint| endpoint.accepts_requests)
    }

    fn endpoint(&self, id: &Id) -> Option<&EndpointCapacity> {
        self.endpoints.iter().find(|endpoint| endpoint.id == *id)
    }

    pub(super) fn all_applied(&self, epoch: u32) -> bool {
        let has_applied = |instance: &Option<u32>| instance.is_some_and(|applied| applied >= epoch);
        !self.instances.is_empty() && self.instances.iter().all(has_applied)
    }

    pub(super) fn all_sites_serve(&self) -> bool {
        self.sites.iter().all(|site| *site == SiteState::Serving)
    }

    /// Returns whether the window in which moves last began is still the current one.
    pub(super) fn is_same_window(&self, moves: &Moves) -> bool {
        let left_ms = moves.window_ends_ms.saturating_sub(self.unix_ms);
        left_ms > 0 && left_ms <= WINDOW_MS
    }

    /// Returns the end of the current window, in Unix milliseconds; `None` outside of windows.
    pub(super) fn window_end_ms(&self, moves: &Moves) -> Option<u64> {
        let end_ms = self.calendar.quiet_at(self.zone, self.unix_ms)?;
        Some(if self.is_same_window(moves) { end_ms.min(moves.window_ends_ms) } else { end_ms })
    }

    /// Returns the deadline for deciding on a cutover, in Unix milliseconds: its transaction must have committed or
    /// been cancelled, which takes up to a lease, before the window ends by any instance's clock.
    pub(super) fn last_cutover_ms(&self, window_end_ms: u64) -> u64 {
        window_end_ms.saturating_sub(self.settings.lease / MICROS_PER_MS).saturating_sub(self.skew_ms)
    }

    /// Returns how long warming `kb` kilobytes takes, in milliseconds; `None` if the endpoint has no spare bandwidth.
    fn warming_ms(&self, kb: f64, to: &Id) -> Option<u64> {
        let spare_kb_s = self.endpoint(to).map_or(0.0, |endpoint| endpoint.spare_kb_s);
        // Each instance has a fixed share of the rate; the shares of absent instances stay unused.
        let present = self.instances.len() as f64 / f64::from(self.max_instances.max(1));
        let rate_kb_s = max_warming_kb_s(self.settings.warm, self.link_kb_s, spare_kb_s) * present.min(1.0);
        let span_ms = kb / rate_kb_s * 1_000.0;
        let possible = rate_kb_s > 0.0 && span_ms.is_finite() && span_ms < MAX_WARMING_MS;
        possible.then_some(span_ms.ceil() as u64)
    }

    /// Returns the warming time of a move, in milliseconds, if the whole move fits into the window. All instances have
    /// to apply each of the two epoch changes, for which a lease's duration each is reserved.
    pub(super) fn fitting_warming_ms(&self, window_end_ms: u64, kb: f64, to: &Id) -> Option<u64> {
        let spare_ms = self.settings.lease / MICROS_PER_MS * 2;
        let warming_ms = self.warming_ms(kb, to)?;
        let ends_ms = self.unix_ms.saturating_add(warming_ms).saturating_add(spare_ms);
        (ends_ms <= self.last_cutover_ms(window_end_ms)).then_some(warming_ms)
    }
}
