//! Routing decisions: the endpoint for each request, whether a failed attempt is retried, what is rejected.
//!
//! Events, actions and settings are in `events.rs`. [`Router`] is a state machine that does no I/O: its
//! caller passes the current time with each [`Event`], and the router appends the [`Action`]s to carry out.
//! It is deterministic in its settings, its seed and its events. This file owns the state and dispatches the
//! events; each rule is in the module named after it.
//!
//! The rule for accepting stale copies follows Onderwater, Bhulai and van der Mei, "On the Control of a
//! Queueing System with Aging State Information" (2015), eq. 24 with alpha 0; see `freshness.rs`.
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

mod attempts;
mod capacity;
mod concurrency;
pub mod constraints;
pub mod deduplication;
mod endpoint;
mod endpoint_table;
pub mod events;
mod freshness;
mod latency;
#[cfg_attr(test, path = "tests/lookup_counter.rs")]
mod lookup_counter;
mod outcomes;
mod outlier_detection;
mod random;
mod rate_account;
mod request;
mod retry;
mod selection;
mod slow_start;
#[cfg(test)]
mod tests;

use self::attempts::AttemptTimers;
use self::constraints::{ConstraintTracker, Constraints};
use self::endpoint_table::EndpointTable;
use self::events::{Action, Endpoint, Event, Id, Micros, Role, Settings};
use self::freshness::RequestLoad;
use self::latency::TransferTimes;
use self::random::RandomSequence;
use self::request::{PendingRequest, ResponseState};
use self::retry::RetryBudget;
use crate::purges::recent::RecentPurges;
use std::collections::BTreeMap;
use std::sync::Arc;

/// State machine that makes the routing decisions of one instance.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    now: Micros,
    /// Time of the first event.
    started_at: Option<Micros>,
    random: RandomSequence,
    endpoints: EndpointTable,
    pending: BTreeMap<Id, PendingRequest>,
    attempt_timers: AttemptTimers,
    load: RequestLoad,
    retry_budget: RetryBudget,
    transfer_times: TransferTimes,
    purges: RecentPurges,
    /// Whether the router has requested a watch of the endpoint list that has not failed since.
    watching: bool,
    constraints: ConstraintTracker,
    /// Smallest link bandwidth per cache seen in any zone since the last change of settings, in KB/s.
    smallest_cache_link_kb_s: Option<f64>,
}

impl Router {
    /// Creates a router without endpoints; equal settings, seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Router {
            transfer_times: TransferTimes::new(settings.classes.len()),
            random: RandomSequence::new(seed),
            settings,
            ..Router::default()
        }
    }

    /// Handles one event at time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.advance_clock(now);
        self.request_watch(actions);
        match event {
            Event::Endpoints { complete, endpoints } => self.take_endpoints(complete, endpoints),
            Event::Settings(settings) => self.apply_settings(*settings),
            Event::WatchFailed => self.watching = false,
            Event::Constraints(constraints) => self.apply_constraints(constraints),
            Event::Request(request) => self.accept_request(request, actions),
            Event::Outcome(outcome) => self.handle_outcome(outcome, actions),
            Event::ResponseStarted { request } => self.mark_response_started(&request),
            Event::ClientDisconnected { request } => self.abandon_request(request, actions),
            Event::Purged { object, purge_group, age } => self.record_purge(object, purge_group, age),
            Event::BoundedStaleness(age) => self.purges.set_staleness_bound(age),
            Event::Timer { token } => self.handle_overdue_attempt(token),
        }
    }

    /// Returns the number of eligible endpoints that get no requests now because outlier detection has
    /// ejected them.
    pub fn unavailable_endpoints(&self) -> usize {
        let eligible = self.endpoints.eligible();
        eligible.into_iter().filter(|&index| !self.is_available(index)).count()
    }

    fn advance_clock(&mut self, now: Micros) {
        let started_at = *self.started_at.get_or_insert(now);
        let elapsed = now.saturating_sub(self.now.max(started_at));
        self.now = self.now.max(now);
        self.load.advance(elapsed, self.now - started_at.min(self.now));
        self.purges.advance_clock(self.now);
    }

    fn request_watch(&mut self, actions: &mut Vec<Action>) {
        if self.settings.watch_required && !self.watching {
            self.watching = true;
            actions.push(Action::Watch);
        }
    }

    fn take_endpoints(&mut self, complete: bool, endpoints: Vec<Endpoint>) {
        let referenced = self.pending.values().flat_map(PendingRequest::referenced_endpoints).collect();
        self.endpoints.apply_update(self.now, complete, endpoints, &referenced);
        self.refresh_eligible_endpoints();
    }

    fn apply_settings(&mut self, settings: Settings) {
        let previous = std::mem::replace(&mut self.settings, settings);
        self.transfer_times.apply_classes(&previous.classes, &self.settings.classes);
        self.smallest_cache_link_kb_s = None;
        self.refresh_eligible_endpoints();
    }

    fn apply_constraints(&mut self, constraints: Arc<Constraints>) {
        self.constraints.apply(self.now, constraints);
        self.refresh_eligible_endpoints();
    }

    /// Recomputes the endpoints that requests may be sent to, and their concurrency limits.
    fn refresh_eligible_endpoints(&mut self) {
        let (zone, constraints) = (self.settings.zone, &self.constraints);
        self.endpoints.refresh_eligible(|endpoint| {
            endpoint.role != Role::Cache
                || endpoint.zone == zone
                || constraints.allows_cross_zone_cache(&endpoint.id)
        });
        self.smallest_cache_link_kb_s = self.find_smallest_cache_link_kb_s();
        self.refresh_limits();
    }

    fn record_purge(&mut self, object: Option<u64>, purge_group: u64, age: Micros) {
        // Twice the propagation time: a fill from an old copy may end after the last cache has dropped its
        // copy.
        let retention = self.settings.purge_propagation_time.saturating_mul(2);
        let purged_at = self.now.saturating_sub(age);
        self.purges.record(object, purge_group, purged_at, self.now.saturating_add(retention));
    }

    fn mark_response_started(&mut self, request: &Id) {
        if let Some(pending) = self.pending.get_mut(request) {
            pending.response = ResponseState::Started;
        }
    }
}
