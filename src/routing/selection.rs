//! Selection of the cache, parent or origin for a request.
//!
//! Weighted rendezvous hashing orders the endpoints for each object; the order is the same at every router. A
//! cache that has more load than its peers, or that answers late, serves a smaller share of its objects
//! (bounded load); the next caches in the order serve the others.

use super::endpoint::Upstream;
use super::endpoint_table::EndpointIndex;
use super::events::{Micros, Role};
use super::request::PendingRequest;
use super::Router;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Increase of an endpoint's share of its objects after a response in time.
const SHARE_STEP: f64 = 0.01;
/// Factor applied to an endpoint's share of its objects after a late response.
const SHARE_CUT_FACTOR: f64 = 0.85;
/// Minimum share of its objects that an endpoint serves: without any requests its recovery would not be
/// noticed.
const MIN_SHARE: f64 = 0.05;
/// A parent serves fewer of its objects only when its share is below this fraction of its best peer's:
/// parents serve the fills of all zones.
const PARENT_SHARE_THRESHOLD: f64 = 0.5;
/// A cache serves all its objects while its load is at most this multiple of its fair share.
const LOAD_BOUND: f64 = 1.25;
/// Time constant of the exponential decay of a cache's load, in microseconds.
const LOAD_SPAN_US: f64 = 15e6;
/// Load added to each cache's own before loads are compared, so that a few requests by chance have no
/// effect.
const INITIAL_LOAD_US: f64 = 2e6;
/// Multiplier that gives each chunk of an object its own hash key.
const CHUNK_HASH_MULTIPLIER: u64 = 31;
/// Bits of precision of an `f64`, the implicit leading bit included.
const MANTISSA_BITS: u32 = 53;

/// Share of its own objects that an endpoint serves, and the load that these objects cause.
#[derive(Default)]
pub(super) struct ObjectShare {
    /// From 0 to 1.
    share: f64,
    /// Load as of `load_updated_at`, in microseconds of transfer time.
    load_us: f64,
    load_updated_at: Micros,
}

impl ObjectShare {
    pub(super) fn full() -> Self {
        ObjectShare { share: 1.0, ..ObjectShare::default() }
    }

    /// Increases the share after a response in time.
    pub(super) fn restore(&mut self) {
        self.share = (self.share + SHARE_STEP).min(1.0);
    }

    /// Reduces the share after a late response.
    pub(super) fn cut(&mut self) {
        self.share = (self.share * SHARE_CUT_FACTOR).max(MIN_SHARE);
    }

    fn load_us(&self, now: Micros) -> f64 {
        let elapsed = now.saturating_sub(self.load_updated_at) as f64;
        self.load_us * (-elapsed / LOAD_SPAN_US).exp()
    }

    fn add_load(&mut self, now: Micros, work_us: f64) {
        self.load_us = self.load_us(now) + work_us;
        self.load_updated_at = now;
    }
}

/// Sums of load and weight over all caches in a rendezvous order, computed once per selection.
struct TotalLoad {
    load_us: f64,
    weight: f64,
}

/// An endpoint with its rendezvous score for one object.
struct Scored {
    score: f64,
    key: u64,
    index: EndpointIndex,
}

/// A cache that a request is sent to in order to warm it, and the endpoint that the cache is filled from.
pub(super) struct WarmingRoute {
    pub(super) target: EndpointIndex,
    pub(super) source: EndpointIndex,
}

impl Router {
    /// Adds the load of a request to the first cache in its object's rendezvous order.
    pub(super) fn record_object_load(&mut self, object: u64, work_us: f64) {
        if let Some(&first) = self.rendezvous_order(Role::Cache, object).first() {
            self.endpoints[first].objects.add_load(self.now, work_us);
        }
    }

    /// Returns the cache for a request's next attempt.
    pub(super) fn pick_cache(&self, pending: &PendingRequest) -> Option<EndpointIndex> {
        let order = self.cache_order(pending.request.object);
        let is_allowed = |index| self.may_be_target(pending, index) && self.admits_attempt(index, pending);
        // A cache above its capacity answers every request late: further requests go to the next cache.
        let is_usable = |index| is_allowed(index) && self.is_available(index) && self.has_capacity(index);
        let is_untried = |index: EndpointIndex| !pending.failed_targets.contains(&index);
        let is_last_resort = |index| {
            is_untried(index)
                && is_allowed(index)
                && self.endpoints[index].outliers.answers_some_requests()
                && self.has_capacity(index)
        };
        let first = |fits: &dyn Fn(EndpointIndex) -> bool| order.iter().copied().find(|&index| fits(index));
        // Chunks of one object are spread over the caches: a popular object would overload a single cache.
        let request = &pending.request;
        let chunk_key = request.object.wrapping_mul(CHUNK_HASH_MULTIPLIER).wrapping_add(request.chunk);
        self.pick_by_affinity(&order, chunk_key, |index| is_untried(index) && is_usable(index))
            .or_else(|| first(&is_usable))
            // When most caches are ejected and the others are full, a cache that answers only some requests
            // is better than a rejection.
            .or_else(|| first(&is_last_resort))
            // If all caches are ejected, a request still goes to one of them.
            .or_else(|| first(&is_allowed).filter(|_| !order.iter().any(|&index| self.is_available(index))))
    }

    /// Returns the next cache of the object's shard and its source, if the warming rate admits this request.
    pub(super) fn pick_warming_route(&self, pending: &PendingRequest) -> Option<WarmingRoute> {
        let object = pending.request.object;
        let warming = self.constraints.warming_endpoints(self.now, object, pending.transfer_time_us)?;
        let is_usable_cache = |&index: &EndpointIndex| {
            self.endpoints.of_role(Role::Cache).contains(&index)
                && self.is_available(index)
                && self.admits_attempt(index, pending)
        };
        let target = self.endpoints.find(warming.target).filter(|index| {
            pending.attempts_sent == 0 && is_usable_cache(index) && self.has_capacity(*index)
        })?;
        let present_cache = warming.source.and_then(|id| self.endpoints.find(id)).filter(is_usable_cache);
        let source = present_cache.or_else(|| self.pick_source(pending))?;
        Some(WarmingRoute { target, source })
    }

    /// Returns the parent that a miss is filled from, or else the origin.
    pub(super) fn pick_source(&self, pending: &PendingRequest) -> Option<EndpointIndex> {
        self.pick_upper_tier(pending, &|index| self.may_be_source(pending, index))
    }

    /// Returns the parent, or else the origin, that a request is sent to past the caches.
    pub(super) fn pick_direct_target(&self, pending: &PendingRequest) -> Option<EndpointIndex> {
        self.pick_upper_tier(pending, &|index| self.may_be_target(pending, index))
    }

    /// Returns the parent, or else the origin, that `is_permitted` accepts.
    fn pick_upper_tier(
        &self,
        pending: &PendingRequest,
        is_permitted: &dyn Fn(EndpointIndex) -> bool,
    ) -> Option<EndpointIndex> {
        let object = pending.request.object;
        let parents = self.rendezvous_order(Role::Parent, object);
        let is_working = |index: EndpointIndex| {
            !pending.failed_sources.contains(&index)
                && is_permitted(index)
                && self.is_available(index)
                && self.admits_attempt(index, pending)
        };
        // The object stays with its first working parent even when that is full: its excess load would
        // overload the next parent.
        let parent = self.pick_by_affinity(&parents, object, is_working);
        parent
            .filter(|&index| self.has_capacity(index))
            .or_else(|| self.usable_origin(pending).filter(|&origin| is_permitted(origin)))
    }

    /// Returns the origin if a miss may be filled from it.
    pub(super) fn pick_origin_as_source(&self, pending: &PendingRequest) -> Option<EndpointIndex> {
        self.usable_origin(pending).filter(|&origin| self.may_be_source(pending, origin))
    }

    /// Returns the origin if the request may be sent to it.
    pub(super) fn pick_origin_as_target(&self, pending: &PendingRequest) -> Option<EndpointIndex> {
        self.usable_origin(pending).filter(|&origin| self.may_be_target(pending, origin))
    }

    /// Returns the origin unless it is failing or has no capacity. It fails when overloaded, so only
    /// uncacheable requests, which must run there, are exempt from its concurrency limit.
    fn usable_origin(&self, pending: &PendingRequest) -> Option<EndpointIndex> {
        let class = self.settings.classes.get(pending.request.class);
        let must_run_there = class.is_some_and(|class| class.uncacheable);
        self.endpoints.origin().filter(|&origin| {
            let is_usable = || {
                self.has_capacity(origin)
                    && self.is_available(origin)
                    && self.admits_attempt(origin, pending)
                    && !pending.failed_sources.contains(&origin)
            };
            must_run_there || is_usable()
        })
    }

    /// Returns the caches in rendezvous order, preceded by the cache that the object's shard is assigned to.
    fn cache_order(&self, object: u64) -> Vec<EndpointIndex> {
        let mut order = self.rendezvous_order(Role::Cache, object);
        let assigned = self.constraints.assigned_endpoint(object).and_then(|id| self.endpoints.find(id));
        order.sort_by_key(|&index| Some(index) != assigned);
        order
    }

    /// Returns the endpoints of a role in the weighted rendezvous order of an object.
    fn rendezvous_order(&self, role: Role, object: u64) -> Vec<EndpointIndex> {
        let score = |&index: &EndpointIndex| {
            let upstream = &self.endpoints[index];
            let hash = xxh3_64_with_seed(&upstream.key.to_le_bytes(), object);
            let unit = ((hash >> (u64::BITS - MANTISSA_BITS)) as f64 + 0.5) / (1u64 << MANTISSA_BITS) as f64;
            Scored { score: self.rendezvous_weight(upstream) / -unit.ln(), key: upstream.key, index }
        };
        let mut scored: Vec<Scored> = self.endpoints.of_role(role).iter().map(score).collect();
        scored.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.key.cmp(&b.key)));
        scored.into_iter().map(|scored| scored.index).collect()
    }

    fn rendezvous_weight(&self, upstream: &Upstream) -> f64 {
        self.advertised_size(&upstream.endpoint).unwrap_or(1.0)
    }

    /// Returns the first eligible endpoint in the order whose share of objects includes `key`, or else the
    /// one whose share comes closest to that. A share includes the same keys at every router.
    fn pick_by_affinity(
        &self,
        order: &[EndpointIndex],
        key: u64,
        fits: impl Fn(EndpointIndex) -> bool,
    ) -> Option<EndpointIndex> {
        let total = self.total_load(order);
        let fitting = order.iter().copied().filter(|&index| fits(index));
        let shares: Vec<(EndpointIndex, f64)> =
            fitting.map(|index| (index, self.object_share(index, &total))).collect();
        let best_share = shares.iter().map(|&(_, share)| share).fold(f64::MIN_POSITIVE, f64::max);
        let full_share = match order.first().map(|&index| self.endpoints[index].endpoint.role) {
            Some(Role::Parent) => best_share * PARENT_SHARE_THRESHOLD,
            _ => best_share,
        };
        // An affinity of at least 1 means that the key is in the endpoint's share.
        let affinity = |&(index, share): &(EndpointIndex, f64)| {
            let hash = xxh3_64_with_seed(&key.to_le_bytes(), !self.endpoints[index].key);
            share / full_share * u64::MAX as f64 / (hash as f64 + 1.0)
        };
        let first = shares.iter().find(|entry| affinity(entry) >= 1.0);
        let nearest = || shares.iter().max_by(|a, b| affinity(a).total_cmp(&affinity(b)));
        first.or_else(nearest).map(|&(index, _)| index)
    }

    fn total_load(&self, order: &[EndpointIndex]) -> TotalLoad {
        let caches = || {
            let upstreams = order.iter().map(|&index| &self.endpoints[index]);
            upstreams.filter(|upstream| upstream.endpoint.role == Role::Cache)
        };
        TotalLoad {
            load_us: caches().map(|cache| cache.objects.load_us(self.now) + INITIAL_LOAD_US).sum(),
            weight: caches().map(|cache| self.rendezvous_weight(cache)).sum(),
        }
    }

    /// Returns the share of its objects that an endpoint serves, which depends on its late responses and, for
    /// a cache, on its load.
    fn object_share(&self, index: EndpointIndex, total: &TotalLoad) -> f64 {
        let upstream = &self.endpoints[index];
        if upstream.endpoint.role != Role::Cache {
            return upstream.objects.share;
        }
        let weight = self.rendezvous_weight(upstream);
        let fair_load_us = total.load_us * weight / total.weight.max(f64::MIN_POSITIVE);
        let own_load_us = upstream.objects.load_us(self.now) + INITIAL_LOAD_US;
        upstream.objects.share * (LOAD_BOUND * fair_load_us / own_load_us).min(1.0)
    }
}
