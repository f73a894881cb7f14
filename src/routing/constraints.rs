//! Constraints that fleet-wide plans impose on a router, and the accounts that enforce them.
//!
//! `failover` and `placement` make the plans; the router still selects the endpoint for each request. Without
//! constraints this module changes no decision.

use super::events::{Id, Micros};
use super::rate_account::{Budget, RateAccount};
use crate::placement::position;
use rustc_hash::FxHashMap;
use std::sync::Arc;

#[cfg(test)]
mod tests;

/// Window of the rate limits if the constraints set none, in microseconds.
const DEFAULT_WINDOW_US: Micros = 1_000_000;
/// Longest wait of an endpoint's first request, in microseconds: a larger `f64` would not convert exactly.
const MAX_FIRST_WAIT_US: f64 = 1e15;

/// Maximum rate at which this instance may send work to one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct RateLimit {
    /// The endpoint; the limit also applies to it as the source of a fill.
    pub endpoint: Id,
    /// Concurrent transfers at the full transfer rate, averaged over one window ([`Constraints::window`]);
    /// 0: no requests.
    pub rate: f64,
}

/// Warming of a shard's next cache: some of the shard's requests go to that cache, which fills its misses
/// from the present cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Warming {
    /// The next cache.
    pub endpoint: Id,
    /// Concurrent transfers at the full rate that this instance may send there for warming.
    pub rate: f64,
    /// Whether a cache may fill its misses from another cache. If not, or without a present cache, it fills
    /// them from a parent.
    pub peer_fill: bool,
}

/// One shard: the positions of objects from `start` up to the start of the next shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardAssignment {
    /// First position of the shard.
    pub start: u64,
    /// The cache that is tried first for the shard's objects; `None`: the rendezvous order alone decides.
    pub endpoint: Option<Id>,
    /// The warming of the shard's next cache, if one is under way.
    pub warming: Option<Warming>,
}

/// Constraints of the plans, in force until they are replaced. The default imposes none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Constraints {
    /// Window over which the rates are enforced; 0 counts as one second.
    pub window: Micros,
    /// Rate limits by endpoint; other endpoints have only the router's own limits.
    pub rate_limits: Vec<RateLimit>,
    /// Maximum rate of fills by class, in concurrent transfers at the full rate; `None` or absent: unlimited.
    pub fill_rates: Vec<Option<f64>>,
    /// Accept stale copies for the whole grace period of a class, and revalidate none.
    pub force_stale: bool,
    /// Send requests straight to their source if the caches of this zone have no capacity and the settings
    /// allow it.
    pub bypass_caches: bool,
    /// Retry-After time for rejected clients: the minimum, and the maximum random time added to it. (0, 0):
    /// the router's own values.
    pub retry_after: (Micros, Micros),
    /// Caches of other zones that requests of this zone may be sent to.
    pub cross_zone_caches: Vec<Id>,
    /// The shards, ordered by their start; if empty, the rendezvous order alone decides.
    pub shards: Arc<[ShardAssignment]>,
}

/// Rate limit of one endpoint, and the work sent there.
#[derive(Clone, Debug)]
struct LimitedAccount {
    /// See [`RateLimit::rate`].
    rate: f64,
    sent: RateAccount,
}

/// Endpoints of a request that warms its shard's next cache.
pub(super) struct WarmingEndpoints<'a> {
    /// The next cache.
    pub(super) target: &'a Id,
    /// The present cache, if it may be the source of fills.
    pub(super) source: Option<&'a Id>,
}

/// The constraints in force and the accounts of the work sent under them.
#[derive(Clone, Debug, Default)]
pub(super) struct ConstraintTracker {
    constraints: Option<Arc<Constraints>>,
    rate_limits: FxHashMap<Id, LimitedAccount>,
    /// Fills, by class.
    fills: Vec<RateAccount>,
    /// Work sent for warming, by the cache being warmed.
    warming: FxHashMap<Id, RateAccount>,
    applied_at: Micros,
}

impl ConstraintTracker {
    /// Applies new constraints. Endpoints that stay limited keep their accounts.
    pub(super) fn apply(&mut self, now: Micros, constraints: Arc<Constraints>) {
        let mut previous = std::mem::take(&mut self.rate_limits);
        for limit in &constraints.rate_limits {
            let sent = previous.remove(&limit.endpoint).map(|account| account.sent).unwrap_or_default();
            self.rate_limits.insert(limit.endpoint.clone(), LimitedAccount { rate: limit.rate, sent });
        }
        self.fills.resize_with(constraints.fill_rates.len(), RateAccount::default);
        let warmings = || constraints.shards.iter().filter_map(|shard| shard.warming.as_ref());
        self.warming.retain(|cache, _| warmings().any(|warming| warming.endpoint == *cache));
        self.applied_at = now;
        self.constraints = Some(constraints).filter(|constraints| **constraints != Constraints::default());
    }

    /// Returns whether an endpoint may be sent this work. `phase`, from 0 to 1, offsets the first request of
    /// this instance, so that instances do not send at the same time.
    pub(super) fn admits(&self, now: Micros, server: &Id, work_us: f64, phase: f64) -> bool {
        let Some(account) = self.rate_limits.get(server) else { return true };
        let offset_us = phase * work_us / account.rate.max(f64::MIN_POSITIVE);
        let first_due = self.applied_at + offset_us.min(MAX_FIRST_WAIT_US) as Micros;
        account.sent.has_capacity(now, self.budget(account.rate), work_us, first_due)
    }

    /// Returns whether a miss of a class may be filled.
    pub(super) fn admits_fill(&self, now: Micros, class: usize, work_us: f64) -> bool {
        let rate = self.constraints.as_ref().and_then(|constraints| *constraints.fill_rates.get(class)?);
        let (Some(rate), Some(account)) = (rate, self.fills.get(class)) else { return true };
        account.has_capacity(now, self.budget(rate), work_us, self.applied_at)
    }

    /// Records work that is sent to an endpoint as the target or as the source of a fill.
    pub(super) fn record_sent(&mut self, now: Micros, server: &Id, work_us: f64) {
        let window = self.window();
        if let Some(account) = self.rate_limits.get_mut(server) {
            account.sent.record(now, window, work_us);
        }
    }

    /// Records a request whose miss would be filled, or that goes straight to a source.
    pub(super) fn record_fill(&mut self, now: Micros, class: usize, work_us: f64) {
        let window = self.window();
        if let Some(account) = self.fills.get_mut(class) {
            account.record(now, window, work_us);
        }
    }

    /// Records a request that is sent to the next cache of its object's shard.
    pub(super) fn record_warming(&mut self, now: Micros, object: u64, work_us: f64, target: &Id) {
        let window = self.window();
        let warming = self.shard(object).and_then(|shard| shard.warming.as_ref());
        if warming.is_some_and(|warming| warming.endpoint == *target) {
            self.warming.entry(target.clone()).or_default().record(now, window, work_us);
        }
    }

    /// Refunds the work recorded for a source at `sent_at`: the cache in front of it had the copy.
    pub(super) fn refund_sent(&mut self, source: &Id, sent_at: Micros) {
        if let Some(account) = self.rate_limits.get_mut(source) {
            account.sent.refund(sent_at);
        }
    }

    /// Refunds the fill recorded for a class at `sent_at`: no fill was needed.
    pub(super) fn refund_fill(&mut self, class: usize, sent_at: Micros) {
        if let Some(account) = self.fills.get_mut(class) {
            account.refund(sent_at);
        }
    }

    /// Returns whether stale copies are accepted for the whole grace period, and none are revalidated.
    pub(super) fn force_stale(&self) -> bool {
        self.constraints.as_ref().is_some_and(|constraints| constraints.force_stale)
    }

    /// Returns whether requests go straight to a source if the caches of this zone have no capacity.
    pub(super) fn bypass_caches(&self) -> bool {
        self.constraints.as_ref().is_some_and(|constraints| constraints.bypass_caches)
    }

    /// Returns the Retry-After time of the constraints: the minimum, and the maximum random addition.
    pub(super) fn retry_after(&self) -> Option<(Micros, Micros)> {
        let constraints = self.constraints.as_ref()?;
        Some(constraints.retry_after).filter(|&advice| advice != (0, 0))
    }

    /// Returns whether requests of this zone may be sent to the given cache of another zone.
    pub(super) fn allows_cross_zone_cache(&self, server: &Id) -> bool {
        let constraints = self.constraints.as_ref();
        constraints.is_some_and(|constraints| constraints.cross_zone_caches.contains(server))
    }

    /// Returns the cache that an object's shard is assigned to.
    pub(super) fn assigned_endpoint(&self, object: u64) -> Option<&Id> {
        self.shard(object)?.endpoint.as_ref()
    }

    /// Returns the target and the source for a request that warms the next cache of its object's shard;
    /// `None` without warming, or above its rate.
    pub(super) fn warming_endpoints(
        &self,
        now: Micros,
        object: u64,
        work_us: f64,
    ) -> Option<WarmingEndpoints<'_>> {
        let shard = self.shard(object)?;
        let warming = shard.warming.as_ref()?;
        let empty_account = RateAccount::default();
        let account = self.warming.get(&warming.endpoint).unwrap_or(&empty_account);
        if !account.has_capacity(now, self.budget(warming.rate), work_us, self.applied_at) {
            return None;
        }
        let source = shard.endpoint.as_ref().filter(|_| warming.peer_fill);
        Some(WarmingEndpoints { target: &warming.endpoint, source })
    }

    fn window(&self) -> Micros {
        let window = self.constraints.as_ref().map(|constraints| constraints.window);
        window.filter(|&window| window > 0).unwrap_or(DEFAULT_WINDOW_US)
    }

    /// Returns the work that a rate allows in one window.
    fn budget(&self, rate: f64) -> Budget {
        let window = self.window();
        Budget { window, work_us: rate * window as f64 }
    }

    fn shard(&self, object: u64) -> Option<&ShardAssignment> {
        let shards = &self.constraints.as_ref()?.shards;
        if shards.is_empty() {
            return None;
        }
        let next = shards.partition_point(|shard| shard.start <= position(object));
        shards.get(next.checked_sub(1)?)
    }
}
