//! What this instance does together with the others of the fleet: the owner of site failover, of the shards and of the
//! purge log, and of the turns that they take. It keeps the list of endpoints for them, puts what they ask of the router
//! into one set of constraints, and writes this instance's note for its peers.

use super::failover::{EndedAttempt, SiteFailover};
use super::fleet_context::{Endpoints, FleetContext, PeerView, SiteView};
use super::purge_log::PurgeLogFollower;
use super::rebalancing::{ServedRequest, ShardRebalancer};
use super::timers::{TimerEvent, MILLISECOND};
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
/// Longest time between two turns: notes of peers are read at each.
const LONGEST_TURN_INTERVAL: Micros = 250 * MILLISECOND;
/// An unchanged note is written anew after so long, with the clock as it then is.
const NOTE_INTERVAL: Micros = 1_000 * MILLISECOND;

/// The note that was written last, without its clock.
struct WrittenNote {
    note: SiteReport,
    at: Micros,
}

/// What a turn asks of the rest of the instance.
struct TurnOutput {
    /// New constraints for the router.
    constraints: Option<Arc<Constraints>>,
    /// A new note for the peers, encoded.
    note: Option<Vec<u8>>,
}

/// What this instance does together with the others.
#[derive(Default)]
pub(super) struct Fleet {
    endpoints: Endpoints,
    failover: Option<SiteFailover>,
    rebalancer: Option<Box<ShardRebalancer>>,
    purge_log: Option<Box<PurgeLogFollower>>,
    /// As the router was last told.
    constraints: Arc<Constraints>,
    next_turn: Option<Micros>,
    written_note: Option<WrittenNote>,
}

impl Fleet {
    fn is_empty(&self) -> bool {
        self.failover.is_none() && self.rebalancer.is_none() && self.purge_log.is_none()
    }

    /// Names and values for the admin server.
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

    /// Takes the changes of the list.
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

    /// Takes over new settings, all but those that take a restart: whether a part is on, and where its registry is.
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

    fn drive_registry(&mut self, now: Micros, event_loop: &mut EventLoop) {
        if let Some(rebalancer) = &mut self.rebalancer {
            rebalancer.drive_registry(now, event_loop);
        }
    }

    /// One turn of failover and shards.
    fn turn(&mut self, context: &FleetContext) -> TurnOutput {
        let endpoints = &self.endpoints;
        let judged = self.failover.as_mut().is_some_and(|failover| failover.turn(context, endpoints));
        let states = self.failover.as_ref().map_or(Vec::new(), SiteFailover::site_states);
        let sites = SiteView { endpoints, states: &states };
        let reassigned = self.rebalancer.as_mut().is_some_and(|shards| shards.turn(context, &sites));
        let constraints = if judged || reassigned { self.changed_constraints(context) } else { None };
        self.check_loss(context);
        TurnOutput { constraints, note: self.due_note(context) }
    }

    /// What failover and shards ask of the router, where that has changed.
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

    /// Checks one site's loss against the forecast of growth, where this instance is the planner and has one.
    fn check_loss(&mut self, context: &FleetContext) {
        let (Some(failover), Some(rebalancer)) = (&mut self.failover, &self.rebalancer) else { return };
        let growth_factors = rebalancer.growth_factors(failover.check_week(), failover.zone_count());
        failover.check_loss(context, growth_factors);
    }

    /// This instance's note, where it has changed or was last written a while ago.
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

    /// When the next turn is due.
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
    /// Begins what the product's settings ask of the fleet.
    ///
    /// # Errors
    /// The calendar names a zone that the settings do not have.
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
            // Until the log has been read nothing is vouched for, from the first request on.
            self.purge_log_turn();
        }
        Ok(())
    }

    /// Takes over new settings.
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

    /// The list has changed.
    pub(super) fn fleet_endpoints_changed(&mut self, changed: &[Endpoint]) {
        let Some(fleet) = &mut self.fleet else { return };
        fleet.endpoints_changed(self.now, changed);
        self.schedule_fleet_turn(self.now);
    }

    /// An attempt of a request has ended: it tells of sites, and what was served of a shard is counted.
    pub(super) fn fleet_attempt_ended(&mut self, request: &Id, attempt: &EndedAttempt) {
        let Some(fleet) = self.fleet.as_deref_mut() else { return };
        let open = self.requests.get(request).filter(|_| attempt.status == AttemptStatus::Served);
        if let (Some(rebalancer), Some(open)) = (&mut fleet.rebalancer, open) {
            let transfer_kb_per_s = self.settings.domain.flow_kb_per_s.max(1.0);
            rebalancer.count_served(&ServedRequest {
                object: open.request.object.1,
                part: open.request.chunk,
                kb: open.request.size_kb,
                work_us: open.request.size_kb / transfer_kb_per_s * MICROS_PER_S,
                newly_filled: matches!(attempt.cache_status, CacheStatus::Filled),
                is_write: !open.request.body.is_empty(),
            });
        }
        if let Some(failover) = &mut fleet.failover {
            failover.attempt_ended(self.now, &fleet.endpoints, attempt);
            let next = failover.next_due();
            self.schedule_fleet_turn(next);
        }
    }

    /// Takes what became ready, if it is a part's; what the purge log says is in force before anything else of this turn
    /// is taken.
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

    /// Asks for a turn at a moment, or at the usual one if that is earlier.
    pub(super) fn schedule_fleet_turn(&mut self, at: Micros) {
        let Some(fleet) = &mut self.fleet else { return };
        let at = at.clamp(self.now, self.now + LONGEST_TURN_INTERVAL);
        if fleet.next_turn.is_none_or(|next| at < next) {
            fleet.next_turn = Some(at);
            self.timers.set(at, TimerEvent::Fleet(at));
        }
    }

    /// The timer of a turn is due; one that an earlier turn has overtaken does nothing.
    pub(super) fn fleet_turn(&mut self, due: Micros) {
        if self.fleet.as_ref().is_none_or(|fleet| fleet.next_turn != Some(due)) {
            return;
        }
        self.purge_log_turn();
        let Some(mut fleet) = self.fleet.take() else { return };
        fleet.next_turn = None;
        let peers = self.peer_view();
        fleet.drive_registry(self.now, &mut self.event_loop);
        let output = fleet.turn(&self.fleet_context(&peers));
        fleet.drive_registry(self.now, &mut self.event_loop);
        let next = fleet.next_due(self.now);
        self.fleet = Some(fleet);
        self.events.extend(output.constraints.map(Event::Constraints));
        if let Some(note) = output.note {
            self.set_note(note);
        }
        self.schedule_fleet_turn(next);
    }

    /// Has the purge log judge what it vouches for, where that is due. Its timer alone would come too late where the
    /// process was stopped: requests that came meanwhile are decided before timers.
    pub(super) fn judge_purge_log(&mut self) {
        if self.purge_log().is_some_and(|log| log.is_judgement_due(self.now)) {
            self.purge_log_turn();
            self.process_events();
        }
    }

    /// Lets the purge log go on, does what it asks, and schedules its next turn.
    fn purge_log_turn(&mut self) {
        let Some(mut purge_log) = self.fleet.as_mut().and_then(|fleet| fleet.purge_log.take()) else {
            return;
        };
        purge_log.drive_registry(self.now, &mut self.event_loop);
        let actions = purge_log.turn(&self.fleet_context(&PeerView::default()));
        let next = purge_log.next_due().max(self.now + MILLISECOND);
        if let Some(fleet) = &mut self.fleet {
            fleet.purge_log = Some(purge_log);
        }
        for action in actions {
            self.follow_purge_log(action);
        }
        self.schedule_fleet_turn(next);
    }

    /// The purge log, where there is one.
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
