//! Cooperation of this instance with the rest of the fleet. `Fleet` owns site failover, the shards and the
//! purge log, and schedules their turns. It keeps the endpoint list for them, merges what they require of the
//! router into one set of constraints, and writes this instance's note to its peers.

use super::failover::{EndedAttempt, SiteFailover};
use super::fleet_context::{Endpoints, FleetContext, PeerView, SiteView};
use super::purge_log::PurgeLogFollower;
use super::rebalancing::{ServedRequest, ShardRebalancer};
use super::timers::{TaskTimer, TimerEvent, MILLISECOND};
use super::Proxy;
use crate::config::product::Product;
use crate::config::settings::Document;
use crate::failover::site_report::SiteReport;
use crate::net::event_loop::{EventLoop, Ready};
use crate::placement::error::PlacementError;
use crate::routing::constraints::Constraints;
use crate::routing::events::{AttemptStatus, CacheStatus, Endpoint, EndpointState, Event, Id, Micros};
use slog::{debug, warn, Logger};
use std::sync::Arc;

const MICROS_PER_S: f64 = 1e6;
/// Maximum time between two turns, in microseconds; each turn reads the notes of the peers.
const LONGEST_TURN_INTERVAL: Micros = 250 * MILLISECOND;
/// Time after which an unchanged note is written again with the current clock value, in microseconds.
const NOTE_INTERVAL: Micros = 1_000 * MILLISECOND;

/// Last note written, without its clock value.
struct WrittenNote {
    note: SiteReport,
    at: Micros,
}

/// Results of a turn for the rest of the instance.
struct TurnOutput {
    /// New constraints for the router, if they have changed.
    constraints: Option<Arc<Constraints>>,
    /// Encoded note for the peers, if one is due.
    note: Option<Vec<u8>>,
}

/// Fleet-wide functions of this instance.
#[derive(Default)]
pub(super) struct Fleet {
    endpoints: Endpoints,
    failover: Option<SiteFailover>,
    rebalancer: Option<Box<ShardRebalancer>>,
    purge_log: Option<Box<PurgeLogFollower>>,
    /// Constraints that the router was last given.
    constraints: Arc<Constraints>,
    /// The timer of the next turn.
    timer: TaskTimer,
    written_note: Option<WrittenNote>,
}

impl Fleet {
    fn is_empty(&self) -> bool {
        self.failover.is_none() && self.rebalancer.is_none() && self.purge_log.is_none()
    }

    /// Returns names and values for the admin endpoint.
    pub fn metrics(&self, now: Micros) -> Vec<(&'static str, u64)> {
        let mut metrics = Vec::new();
        if let Some(failover) = &self.failover {
            metrics.extend(failover.metrics(self.constraints.rate_limits.len()));
        }
        if let Some(rebalancer) = &self.rebalancer {
            metrics.extend(rebalancer.metrics());
        }
        if let Some(purge_log) = &self.purge_log {
            metrics.extend(purge_log.metrics(now));
        }
        metrics
    }

    /// Applies changes of the endpoint list.
    fn endpoints_changed(&mut self, now: Micros, changed: &[Endpoint]) {
        for endpoint in changed {
            match endpoint.state {
                EndpointState::Removed => drop(self.endpoints.remove(&endpoint.id)),
                _ => drop(self.endpoints.insert(endpoint.id.clone(), endpoint.clone())),
            }
        }
        if let Some(failover) = &mut self.failover {
            failover.endpoints_changed(now, &self.endpoints);
        }
    }

    /// Applies new settings, except those that require a restart: whether a part is enabled, and where its
    /// registry is.
    fn reconfigure(&mut self, product: &Product, document: &Document, now: Micros, log: &Logger) {
        if let (Some(failover), Some(new)) = (&mut self.failover, &product.site_plan) {
            failover.reconfigure(new, document, now);
        }
        if let (Some(rebalancer), Some(new)) = (&mut self.rebalancer, &product.shards) {
            if !rebalancer.reconfigure(new, &product.calendar) {
                let what = "endpoints, prefix, lease or snapshot of shards()";
                warn!(log, "setting change requires a restart"; "what" => what);
            }
        }
    }

    fn run_registry_driver(&mut self, now: Micros, event_loop: &mut EventLoop) {
        if let Some(rebalancer) = &mut self.rebalancer {
            rebalancer.run_registry_driver(now, event_loop);
        }
    }

    /// Runs one turn of site failover and of the shards.
    fn turn(&mut self, context: &FleetContext) -> TurnOutput {
        let endpoints = &self.endpoints;
        let failover_changed =
            self.failover.as_mut().is_some_and(|failover| failover.turn(context, endpoints));
        let states = self.failover.as_ref().map_or(Vec::new(), SiteFailover::site_states);
        let sites = SiteView { endpoints, states: &states };
        let shards_changed = self.rebalancer.as_mut().is_some_and(|shards| shards.turn(context, &sites));
        let constraints =
            if failover_changed || shards_changed { self.changed_constraints(context) } else { None };
        self.check_loss(context);
        TurnOutput { constraints, note: self.due_note(context) }
    }

    /// Returns the constraints from site failover and the shards, if they have changed.
    fn changed_constraints(&mut self, context: &FleetContext) -> Option<Arc<Constraints>> {
        let failover = self.failover.as_ref();
        let mut constraints = failover.map_or_else(Constraints::default, |f| f.constraints(context));
        if let Some(rebalancer) = &self.rebalancer {
            constraints.shards = rebalancer.assignments();
        }
        if *self.constraints == constraints {
            return None;
        }
        debug!(context.log, "constraints changed"; "rate_limits" => constraints.rate_limits.len(),
               "force_stale" => constraints.force_stale, "fills" => ?constraints.fill_rates, "shards" => constraints.shards.len());
        self.constraints = Arc::new(constraints);
        Some(self.constraints.clone())
    }

    /// Checks whether the loss of one site fits the growth forecast. Only the planner has such a forecast.
    fn check_loss(&mut self, context: &FleetContext) {
        let (Some(failover), Some(rebalancer)) = (&mut self.failover, &self.rebalancer) else { return };
        let growth_factors = rebalancer.growth_factors(failover.check_week(), failover.zone_count());
        failover.check_loss(context, growth_factors);
    }

    /// Returns this instance's encoded note if it has changed or [`NOTE_INTERVAL`] has passed.
    fn due_note(&mut self, context: &FleetContext) -> Option<Vec<u8>> {
        if context.peers.configured == 0 {
            return None;
        }
        let failover = self.failover.as_ref();
        let note = SiteReport {
            zone: context.settings.zone as u8,
            clock_ms: 0,
            plan_number: failover.map_or(0, SiteFailover::plan_number),
            map_epoch: self.rebalancer.as_ref().map_or(0, |rebalancer| rebalancer.epoch()),
            observations: failover.map_or(Vec::new(), |failover| failover.site_observations(context.now)),
        };
        let is_due = |last: &WrittenNote| last.note != note || context.now >= last.at + NOTE_INTERVAL;
        if !self.written_note.as_ref().is_none_or(is_due) {
            return None;
        }
        let encoded = SiteReport { clock_ms: context.unix_ms, ..note.clone() }.encode();
        self.written_note = Some(WrittenNote { note, at: context.now });
        Some(encoded)
    }

    /// Returns when the next turn is due.
    fn next_due(&self, now: Micros) -> Micros {
        if self.failover.as_ref().is_some_and(SiteFailover::is_planning) {
            return now;
        }
        let failover = self.failover.as_ref().map_or(Micros::MAX, SiteFailover::next_due);
        let rebalancer = self.rebalancer.as_ref().map_or(Micros::MAX, |shards| shards.next_due());
        let purge_log = self.purge_log.as_ref().map_or(Micros::MAX, |log| log.next_due());
        failover.min(rebalancer).min(purge_log).max(now + MILLISECOND)
    }
}

impl Proxy {
    /// Starts the parts that the product's settings enable.
    ///
    /// # Errors
    /// The calendar names a zone that is not configured.
    pub(super) fn start_fleet(&mut self, product: &Product, seed: u64) -> Result<(), PlacementError> {
        product.calendar.check(&self.settings.failure_domains)?;
        let peers = PeerView::default();
        let context = self.fleet_context(&peers);
        let failover = product
            .site_plan
            .clone()
            .map(|settings| SiteFailover::new(settings, context.settings, seed, context.now, context.log));
        let rebalancer = product
            .shards
            .as_ref()
            .map(|settings| Box::new(ShardRebalancer::new(settings, product, seed, &context)));
        let purge_log = product
            .purge_log
            .as_ref()
            .map(|settings| Box::new(PurgeLogFollower::new(settings, seed, &context)));
        let fleet = Fleet { failover, rebalancer, purge_log, ..Fleet::default() };
        if !fleet.is_empty() {
            self.fleet = Some(Box::new(fleet));
            // Runs the first turn now, so that the staleness bound applies from the first request on: until
            // the log has been read, purges may be missing.
            self.purge_log_turn();
        }
        Ok(())
    }

    /// Applies reloaded settings, and logs which changes require a restart.
    pub(super) fn reload_fleet(&mut self, product: &Product) {
        let fleet = self.fleet.as_deref();
        let failover = fleet.is_some_and(|fleet| fleet.failover.is_some());
        let shards = fleet.is_some_and(|fleet| fleet.rebalancer.is_some());
        if (failover, shards) != (product.site_plan.is_some(), product.shards.is_some()) {
            warn!(self.log, "setting change requires a restart"; "what" => "whether site_plan() and shards() are set");
        }
        let same_purge_log = match (self.purge_log(), &product.purge_log) {
            (Some(purge_log), Some(new)) => purge_log.has_settings(new),
            (old, new) => old.is_none() && new.is_none(),
        };
        if !same_purge_log {
            warn!(self.log, "setting change requires a restart"; "what" => "purge_log()");
        }
        if let Err(error) = product.calendar.check(&self.settings.failure_domains) {
            return warn!(self.log, "quiet hours of the shards not changed"; "error" => %error);
        }
        let Some(fleet) = &mut self.fleet else { return };
        fleet.reconfigure(product, &self.settings, self.now, &self.log);
        self.schedule_fleet_turn(self.now);
    }

    /// Passes changes of the endpoint list to the fleet's parts.
    pub(super) fn fleet_endpoints_changed(&mut self, changed: &[Endpoint]) {
        let Some(fleet) = &mut self.fleet else { return };
        fleet.endpoints_changed(self.now, changed);
        self.schedule_fleet_turn(self.now);
    }

    /// Records an attempt that has ended: with the failure detector, and for an object that was served in the
    /// counts of its shard.
    pub(super) fn fleet_attempt_ended(&mut self, request: &Id, attempt: &EndedAttempt) {
        let Some(fleet) = self.fleet.as_deref_mut() else { return };
        let active = self.requests.get(request).filter(|_| attempt.status == AttemptStatus::Served);
        if let (Some(rebalancer), Some(active)) = (&mut fleet.rebalancer, active) {
            let transfer_kb_per_s = self.settings.domain.flow_kb_per_s.max(1.0);
            rebalancer.count_served(&ServedRequest {
                object: active.request.object.1,
                part: active.request.chunk,
                kb: active.request.size_kb,
                work_us: active.request.size_kb / transfer_kb_per_s * MICROS_PER_S,
                newly_filled: matches!(attempt.cache_status, CacheStatus::Filled),
                is_write: !active.request.body.is_empty(),
            });
        }
        if let Some(failover) = &mut fleet.failover {
            failover.attempt_ended(self.now, &fleet.endpoints, attempt);
            let next = failover.next_due();
            self.schedule_fleet_turn(next);
        }
    }

    /// Handles readiness of the connections of the shards and of the purge log; returns whether the event was
    /// for one of them. New purges are in force before any later event of this turn is handled.
    pub(super) fn fleet_ready(&mut self, event: Ready) -> bool {
        let Some(fleet) = self.fleet.as_deref_mut() else { return false };
        if let Some(rebalancer) = fleet.rebalancer.as_mut().filter(|r| r.token() == Some(event.token)) {
            rebalancer.ready(event);
            self.schedule_fleet_turn(self.now);
            return true;
        }
        let Some(purge_log) = fleet.purge_log.as_mut().filter(|log| log.token() == Some(event.token)) else {
            return false;
        };
        purge_log.ready(event);
        self.purge_log_turn();
        true
    }

    /// Schedules a turn at `at`, or after the maximum interval if that is earlier.
    pub(super) fn schedule_fleet_turn(&mut self, at: Micros) {
        let Some(fleet) = &mut self.fleet else { return };
        let at = at.clamp(self.now, self.now + LONGEST_TURN_INTERVAL);
        if fleet.timer.advance_to(at) {
            self.timers.set(at, TimerEvent::Fleet(at));
        }
    }

    /// Runs a turn of the fleet when its timer is due; does nothing if an earlier timer has replaced it.
    pub(super) fn fleet_turn(&mut self, due: Micros) {
        if !self.fleet.as_mut().is_some_and(|fleet| fleet.timer.fired(due)) {
            return;
        }
        self.purge_log_turn();
        let Some(mut fleet) = self.fleet.take() else { return };
        let peers = self.peer_view();
        fleet.run_registry_driver(self.now, &mut self.event_loop);
        let output = fleet.turn(&self.fleet_context(&peers));
        fleet.run_registry_driver(self.now, &mut self.event_loop);
        let next = fleet.next_due(self.now);
        self.fleet = Some(fleet);
        self.events.extend(output.constraints.map(Event::Constraints));
        if let Some(note) = output.note {
            self.set_note(note);
        }
        self.schedule_fleet_turn(next);
    }

    /// Runs a turn of the purge log if its staleness bound is due to change. Its timer alone would be too
    /// late after the process was stopped, because requests that arrived meanwhile are handled before timers.
    pub(super) fn reevaluate_purge_log(&mut self) {
        if self.purge_log().is_some_and(|log| log.is_reevaluation_due(self.now)) {
            self.purge_log_turn();
            self.process_events();
        }
    }

    /// Runs a turn of the purge log, performs its actions and schedules the next turn.
    fn purge_log_turn(&mut self) {
        let Some(mut purge_log) = self.fleet.as_mut().and_then(|fleet| fleet.purge_log.take()) else {
            return;
        };
        purge_log.run_registry_driver(self.now, &mut self.event_loop);
        let actions = purge_log.turn(&self.fleet_context(&PeerView::default()));
        let next = purge_log.next_due().max(self.now + MILLISECOND);
        if let Some(fleet) = &mut self.fleet {
            fleet.purge_log = Some(purge_log);
        }
        for action in actions {
            self.execute_purge_log_action(action);
        }
        self.schedule_fleet_turn(next);
    }

    /// Returns the purge log if one is configured.
    pub(super) fn purge_log(&self) -> Option<&PurgeLogFollower> {
        self.fleet.as_ref().and_then(|fleet| fleet.purge_log.as_deref())
    }

    fn fleet_context<'a>(&'a self, peers: &'a PeerView) -> FleetContext<'a> {
        FleetContext {
            now: self.now,
            unix_ms: self.clock.unix_ms(self.now),
            log: &self.log,
            instance_name: &self.name,
            settings: &self.settings,
            peers,
            processes: if self.has_other_process() { 2 } else { 1 },
        }
    }
}
