//! Routes and sends the attempts of a request.

use super::deduplication::RepeatPolicy;
use super::endpoint_table::EndpointIndex;
use super::events::{Action, Class, Fetch, Id, Request, Role};
use super::latency::TOLERATED_LATE_RATE;
use super::request::{Attempt, CachedCopy, ClientState, PendingRequest, ResponseState};
use super::Router;
use std::collections::BTreeMap;

/// Fraction of the mean transfer time that is assumed for a request of unknown size: the distribution of
/// sizes is skewed, and its median is below its mean.
const UNKNOWN_SIZE_FRACTION: f64 = 0.6;
const MICROS_PER_SECOND: f64 = 1e6;
/// Cache priority of a copy that the cache keeps.
const KEEP_PRIORITY: u8 = 1;
/// Cache priority of a copy that the cache does not keep.
const DO_NOT_KEEP: u8 = 0;

/// Attempts by the token of their timer.
#[derive(Default)]
pub(super) struct AttemptTimers {
    by_token: BTreeMap<u64, (Id, u32)>,
    last_token: u64,
}

impl AttemptTimers {
    /// Registers a timer for an attempt and returns its token.
    fn start(&mut self, request: Id, attempt: u32) -> u64 {
        self.last_token += 1;
        self.by_token.insert(self.last_token, (request, attempt));
        self.last_token
    }

    /// Removes a timer that is due and returns its request and attempt number.
    pub(super) fn take(&mut self, token: u64) -> Option<(Id, u32)> {
        self.by_token.remove(&token)
    }
}

/// Endpoints and fetch options of one attempt.
struct Route {
    target: EndpointIndex,
    /// The endpoint that a miss is filled from.
    source: Option<EndpointIndex>,
    /// `None`: a plain request to the origin.
    fetch: Option<Fetch>,
}

impl Router {
    pub(super) fn accept_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let transfer_time_us = self.expect_transfer_time(&request);
        self.retry_budget.deposit();
        self.record_object_load(request.object, transfer_time_us);
        let pending = PendingRequest {
            deadline: self.now.saturating_add(request.timeout),
            transfer_time_us,
            repeat_policy: request.repeat_policy.or_else(|| self.class_policy(request.class)),
            request,
            max_attempts: self.settings.max_attempts,
            ..PendingRequest::default()
        };
        self.send_or_finish(pending, actions);
    }

    fn class_policy(&self, class: usize) -> Option<RepeatPolicy> {
        self.settings.classes.get(class).map(RepeatPolicy::from)
    }

    /// Sends the next attempt, or finishes the request at once if it has no route.
    pub(super) fn send_or_finish(&mut self, mut pending: PendingRequest, actions: &mut Vec<Action>) {
        let Some(route) = self.route(&pending) else {
            return self.finish_without_response(pending, actions);
        };
        let attempt = self.new_attempt(&pending, &route);
        for index in attempt.participants() {
            self.record_attempt_at(index, &pending);
        }
        self.record_attempt_to(&route, &pending);
        pending.attempts_sent += 1;
        pending.attempt = Some(attempt);
        let id = pending.request.id.clone();
        let server = self.endpoints[route.target].endpoint.id.clone();
        let token = self.attempt_timers.start(id.clone(), attempt.number);
        let until = pending.deadline;
        actions.push(Action::Send { request: id.clone(), server, until, fetch: route.fetch });
        actions.push(Action::Timer { at: self.now + attempt.late_after, token });
        self.pending.insert(id, pending);
    }

    /// Handles a client's disconnection. An attempt is cancelled only if the request is idempotent, so that
    /// partial execution does no harm.
    pub(super) fn abandon_request(&mut self, request: Id, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.client = ClientState::Disconnected;
        let (attempt, response, class) = (pending.attempt, pending.response, pending.request.class);
        let may_cancel = self.settings.may_cancel && self.is_idempotent(class);
        if let Some(attempt) = attempt.filter(|_| may_cancel && response == ResponseState::NotStarted) {
            actions.push(Action::Cancel { request, attempt: attempt.number });
        }
    }

    /// Returns the expected transfer time of a request at the full transfer rate, in microseconds. A known
    /// size also updates the mean of the request's class.
    fn expect_transfer_time(&mut self, request: &Request) -> f64 {
        if request.size_kb > 0.0 && self.settings.transfer_rate_kb_s > 0.0 {
            let transfer_time_us = request.size_kb / self.settings.transfer_rate_kb_s * MICROS_PER_SECOND;
            self.transfer_times.learn(request.class, transfer_time_us);
            transfer_time_us
        } else {
            UNKNOWN_SIZE_FRACTION * self.transfer_times.mean_us(request.class)
        }
    }

    fn new_attempt(&self, pending: &PendingRequest, route: &Route) -> Attempt {
        let cached_only = route.fetch.as_ref().is_some_and(|fetch| fetch.cached_only);
        let is_purged = || self.purged_at(&pending.request).is_some();
        let source_needs_origin =
            pending.copy_at_source == CachedCopy::Absent || (!cached_only && is_purged());
        Attempt {
            number: pending.attempts_sent,
            target: route.target,
            source: route.source,
            origin: self.endpoints.origin().filter(|_| source_needs_origin && route.source.is_some()),
            sent_at: self.now,
            execution: self.execution_of(route.target, route.source),
            late_after: self.late_after(pending.request.class, pending.transfer_time_us),
            cached_only,
            capacity_released: false,
        }
    }

    /// Records an attempt that is being sent at one of its participants.
    fn record_attempt_at(&mut self, index: EndpointIndex, pending: &PendingRequest) {
        let slow_start_budget = self.slow_start_budget(index);
        let transfer_time_us = self.transfer_times.mean_us(pending.request.class);
        let upstream = &mut self.endpoints[index];
        upstream.concurrency.in_flight.increment(self.now);
        upstream.outliers.attempt_started();
        if let Some(budget) = slow_start_budget {
            upstream.slow_start.sent.record(self.now, budget.window, transfer_time_us);
        }
        self.constraints.record_sent(self.now, &upstream.endpoint.id, pending.transfer_time_us);
    }

    /// Records the load of an attempt that is being sent: the fill that it may cause, the warming of its
    /// target, and the request in flight at a cache.
    fn record_attempt_to(&mut self, route: &Route, pending: &PendingRequest) {
        let target = &self.endpoints[route.target].endpoint;
        if route.source.is_some() || target.role != Role::Cache {
            self.constraints.record_fill(self.now, pending.request.class, pending.transfer_time_us);
        }
        let (object, work_us) = (pending.request.object, pending.transfer_time_us);
        self.constraints.record_warming(self.now, object, work_us, &target.id);
        if target.role == Role::Cache {
            self.load.attempt_started();
        }
    }

    fn route(&self, pending: &PendingRequest) -> Option<Route> {
        let class = self.settings.classes.get(pending.request.class)?;
        if class.uncacheable && self.settings.may_bypass_caches {
            let target = self.pick_origin_as_target(pending)?;
            return Some(Route { target, source: None, fetch: None });
        }
        if let Some(warming) = self.pick_warming_route(pending) {
            let cached_only = self.endpoints[warming.source].endpoint.role == Role::Cache;
            let fetch = self.fetch(&pending.request, class, warming.source, cached_only);
            return Some(Route { target: warming.target, source: Some(warming.source), fetch: Some(fetch) });
        }
        self.route_by_cache(pending, class)
    }

    /// Returns the route through a cache, or straight to the source if no cache can take the request.
    fn route_by_cache(&self, pending: &PendingRequest, class: &Class) -> Option<Route> {
        let source = self.fill_source(pending, class);
        let is_lookup_useless = class.uncacheable || pending.copy_at_cache == CachedCopy::Absent;
        if source.is_none() && is_lookup_useless {
            return None;
        }
        let congested_origin = self.congested_origin(&pending.request, class, source);
        let is_copy_absent = pending.copy_at_source == CachedCopy::Absent;
        if is_copy_absent && congested_origin.is_some_and(|origin| !self.has_capacity(origin)) {
            return None;
        }
        let cached_only = congested_origin.is_some() && !is_copy_absent;
        let (target, source) = match self.pick_cache(pending) {
            Some(cache) => (cache, source),
            None => self.direct_route(pending, source, cached_only)?,
        };
        let fetch = self.fetch(&pending.request, class, source.unwrap_or(target), cached_only);
        Some(Route { target, source, fetch: Some(fetch) })
    }

    /// Returns the target and the source of a request that is sent past the caches. `source` is the endpoint
    /// that a cache would have been filled from; without one there is no capacity for the request.
    fn direct_route(
        &self,
        pending: &PendingRequest,
        source: Option<EndpointIndex>,
        cached_only: bool,
    ) -> Option<(EndpointIndex, Option<EndpointIndex>)> {
        let target =
            source.filter(|_| self.may_bypass_caches()).and_then(|_| self.pick_direct_target(pending))?;
        let origin = self.pick_origin_as_source(pending);
        Some((target, origin.filter(|&origin| origin != target && !cached_only)))
    }

    /// Returns the endpoint that a miss is filled from. `None` when links and sources are at their limits:
    /// more fills would make all fills late and occupy the caches, so a cache serves only the copies that it
    /// has.
    fn fill_source(&self, pending: &PendingRequest, class: &Class) -> Option<EndpointIndex> {
        if class.uncacheable {
            return self.pick_origin_as_source(pending).or_else(|| self.pick_source(pending));
        }
        let admits_fill =
            self.constraints.admits_fill(self.now, pending.request.class, pending.transfer_time_us);
        self.pick_source(pending).filter(|_| admits_fill)
    }

    /// Returns the origin if it would delay the responses of a parent: it answers late, or the object was
    /// purged and the origin has no capacity for the refills. The parents are then asked only for cached
    /// copies, and other requests need capacity at the origin.
    fn congested_origin(
        &self,
        request: &Request,
        class: &Class,
        source: Option<EndpointIndex>,
    ) -> Option<EndpointIndex> {
        let source = source.filter(|_| !class.uncacheable)?;
        let origin = self.endpoints.origin()?;
        let is_behind_parent = self.endpoints[source].endpoint.role == Role::Parent;
        let is_late = || self.endpoints[origin].latency.late_rate > TOLERATED_LATE_RATE;
        let lacks_refill_capacity = || self.purged_at(request).is_some() && !self.has_capacity(origin);
        (is_behind_parent && (is_late() || lacks_refill_capacity())).then_some(origin)
    }

    /// Returns whether requests may go straight to a source. Such requests load the zone's link, so they are
    /// allowed only if no cache is listed or the constraints ask for it.
    fn may_bypass_caches(&self) -> bool {
        let has_no_caches = self.endpoints.of_role(Role::Cache).is_empty();
        self.settings.may_bypass_caches && (self.constraints.bypass_caches() || has_no_caches)
    }

    fn fetch(&self, request: &Request, class: &Class, source: EndpointIndex, cached_only: bool) -> Fetch {
        Fetch {
            source: self.endpoints[source].endpoint.id.clone(),
            max_age: self.accepted_age(request),
            cache_priority: if class.uncacheable { DO_NOT_KEEP } else { KEEP_PRIORITY },
            // A fill that started before a purge would return the old copy.
            join_fill: self.settings.may_join_fills && self.purged_at(request).is_none(),
            cached_only,
            revalidate: class.fresh_for > 0 && !self.constraints.force_stale(),
        }
    }
}
