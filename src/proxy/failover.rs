//! Failover of whole sites: connects failure detection and failover plans (`crate::failover`) to the turns of
//! `fleet.rs`, which owns this module's state. Inputs are the results of attempts, the endpoint list and the
//! notes of peers. Outputs are constraints for the router, this instance's part of its own note, and log
//! lines. All decisions are made in `crate::failover`.

#[cfg(test)]
mod tests;

use super::fleet_context::{Endpoints, FleetContext, PeerNote};
use crate::config::settings::Document;
use crate::failover::failure_detector::Transition;
use crate::failover::load_shift::constraints::ConstraintQuery;
use crate::failover::load_shift::estimate::estimate_inputs;
use crate::failover::load_shift::{PlanBuilder, Plans};
use crate::failover::recovery_ramp::traffic_share;
use crate::failover::site_report::SiteObservation;
use crate::failover::{AttemptOutcome, FailureDetector, ListedServer, Settings, SiteState, Zone};
use crate::growth::ahead::FORECAST_WEEKS;
use crate::routing::constraints::Constraints;
use crate::routing::events::{AttemptStatus, CacheStatus, Endpoint, EndpointState, Id, Micros, Role};
use rustc_hash::FxHashMap;
use slog::{info, warn, Logger};
use xxhash_rust::xxh3::xxh3_64;

/// Rate of probes, in transfers at full speed, that all instances together send to each server of a lost site
/// in order to detect its return.
const PROBE_TRANSFERS: f64 = 0.2;
/// Minimum share of its capacity that an endpoint receives after a cold start.
const MIN_INITIAL_SHARE: f64 = 0.01;

/// Result of an attempt, as recorded for the sites of the endpoint and of the source of a fill.
pub(super) struct EndedAttempt<'a> {
    pub endpoint: &'a Id,
    pub source: Option<&'a Id>,
    pub status: AttemptStatus,
    pub cache_status: CacheStatus,
}

impl EndedAttempt<'_> {
    /// Returns what the result shows about the endpoint's site, or `None` if the result shows nothing.
    fn endpoint_outcome(&self) -> Option<AttemptOutcome> {
        match self.status {
            AttemptStatus::Served | AttemptStatus::Miss | AttemptStatus::Rejected | AttemptStatus::Error => {
                Some(AttemptOutcome::InTime)
            }
            AttemptStatus::TimedOut => Some(AttemptOutcome::TimedOut),
            AttemptStatus::ConnectFailed => Some(AttemptOutcome::Refused),
            AttemptStatus::Reset => Some(AttemptOutcome::Reset),
            AttemptStatus::Cancelled | AttemptStatus::NeverSent => None,
        }
    }

    /// Returns what the result shows about the source's site. Only a fill proves that the source responded,
    /// while an error or a timeout may be due to the source.
    fn source_outcome(&self) -> Option<AttemptOutcome> {
        let filled = matches!(self.cache_status, CacheStatus::Filled | CacheStatus::Joined);
        match self.status {
            AttemptStatus::Served if filled => Some(AttemptOutcome::InTime),
            AttemptStatus::Error | AttemptStatus::TimedOut => Some(AttemptOutcome::TimedOut),
            _ => None,
        }
    }
}

/// Number of changes of site states since the start, by the new state.
#[derive(Default)]
struct TransitionCounts {
    suspected: u64,
    unreachable: u64,
    recovering: u64,
}

impl TransitionCounts {
    fn count(&mut self, to: SiteState) {
        match to {
            SiteState::Serving => {}
            SiteState::Suspected => self.suspected += 1,
            SiteState::Unreachable => self.unreachable += 1,
            SiteState::Recovering { .. } => self.recovering += 1,
        }
    }
}

/// Next check of whether the remaining sites could carry the load of a lost zone, `week` weeks ahead.
#[derive(Clone, Copy, Default)]
struct LossCheck {
    zone: Zone,
    week: usize,
}

/// Site failover state of one instance.
pub(super) struct SiteFailover {
    settings: Settings,
    /// Zone of this instance.
    zone: Zone,
    /// Number of zones; the failure detector has one more, which stands for the origins.
    zone_count: usize,
    failure_detector: FailureDetector,
    /// Endpoints on which plans are based: those that are healthy, and those last known at sites that are not
    /// in the state `Serving`.
    planned_endpoints: Endpoints,
    /// Time at which new plans are begun, after a change of the endpoint list or the settings.
    replan_at: Option<Micros>,
    plan_builder: Option<PlanBuilder>,
    plans: Option<Plans>,
    /// Whether this instance has just started and lacks the notes of some peers. Until it has them, it limits
    /// its traffic to the caches of its zone to the initial share, because a peer may report a recovering site.
    learning: bool,
    next_check: LossCheck,
    /// First week in which the loss of a zone would exceed the capacity, by zone, as last logged.
    unsurvivable_from_week: FxHashMap<Zone, usize>,
    /// Number of peers with other plans in force, as last logged.
    differing_plans: usize,
    transition_counts: TransitionCounts,
}

/// Returns how long the endpoints of a zone take to warm up, in microseconds.
fn warm_up(settings: &Document) -> Micros {
    settings.rules.warm_within_us.max(settings.domain.parent_ramp_us)
}

impl SiteFailover {
    /// Creates the failure detector and starts without plans.
    pub fn new(settings: Settings, document: &Document, seed: u64, now: Micros, log: &Logger) -> Self {
        let (zone, zone_count) = (document.zone, document.failure_domains.len());
        let mut failure_detector = FailureDetector::new(settings.clone(), zone, zone_count + 1, seed, now);
        (0..zone_count).for_each(|zone| failure_detector.set_warm_up(zone, warm_up(document)));
        info!(log, "site failover enabled"; "zones" => zone_count, "return_steps" => settings.recovery_steps);
        SiteFailover {
            settings,
            zone,
            zone_count,
            failure_detector,
            planned_endpoints: Endpoints::default(),
            replan_at: None,
            plan_builder: None,
            plans: None,
            learning: true,
            next_check: LossCheck::default(),
            unsurvivable_from_week: FxHashMap::default(),
            differing_plans: 0,
            transition_counts: TransitionCounts::default(),
        }
    }

    /// Applies new settings and schedules new plans.
    pub fn reconfigure(&mut self, settings: &Settings, document: &Document, now: Micros) {
        // Transitions need not be passed on, because the next turn reads the states.
        self.failure_detector.reconfigure(settings.clone(), &mut Vec::new());
        (0..self.zone_count).for_each(|zone| self.failure_detector.set_warm_up(zone, warm_up(document)));
        self.settings = settings.clone();
        self.replan_at = Some(now);
    }

    /// Returns the site to which an endpoint counts. Origins count to a site of their own, because no origin
    /// is lost together with the zone in which it runs.
    fn site_of(&self, endpoint: &Endpoint) -> Zone {
        match endpoint.role {
            Role::Origin => self.zone_count,
            _ => endpoint.zone,
        }
    }

    /// Applies a changed endpoint list. An endpoint that left the list while its site is not in the state
    /// `Serving` stays in the plans, because the loss of the site is not over.
    pub fn endpoints_changed(&mut self, now: Micros, endpoints: &Endpoints) {
        let healthy = |endpoint: &Endpoint| endpoint.state == EndpointState::Healthy;
        let listed = |endpoint: &Endpoint| ListedServer {
            key: xxh3_64(endpoint.id.as_bytes()),
            zone: self.site_of(endpoint),
            serving: healthy(endpoint),
        };
        let listed: Vec<ListedServer> = endpoints.values().map(listed).collect();
        self.failure_detector.update_servers(now, listed);
        let any_missing =
            self.planned_endpoints.keys().any(|id| endpoints.get(id).is_none_or(|e| !healthy(e)));
        let delay = if any_missing { self.settings.unreachable_after } else { 0 };
        let replan_at = now + delay;
        self.replan_at = Some(self.replan_at.map_or(replan_at, |at| at.min(replan_at)));
    }

    /// Records the result of an attempt with the failure detector.
    pub fn attempt_ended(&mut self, now: Micros, endpoints: &Endpoints, attempt: &EndedAttempt) {
        let source = attempt.source.filter(|source| *source != attempt.endpoint);
        for (id, outcome) in
            [(Some(attempt.endpoint), attempt.endpoint_outcome()), (source, attempt.source_outcome())]
        {
            let Some((endpoint, outcome)) = id.and_then(|id| endpoints.get(id)).zip(outcome) else {
                continue;
            };
            let site = self.site_of(endpoint);
            self.failure_detector.record_attempt(now, xxh3_64(endpoint.id.as_bytes()), site, outcome);
        }
    }

    /// Runs one turn of failure detection and planning; returns whether the constraints may have changed.
    pub fn turn(&mut self, context: &FleetContext, endpoints: &Endpoints) -> bool {
        let states_changed = self.evaluate_sites(context);
        let plans_changed = self.make_plans(context, endpoints);
        self.compare_plans(context);
        states_changed || plans_changed
    }

    fn evaluate_sites(&mut self, context: &FleetContext) -> bool {
        let (now, peers) = (context.now, context.peers);
        let mut transitions = Vec::new();
        for member in &peers.departed {
            self.failure_detector.remove_peer(*member);
        }
        for PeerNote { member, age, note } in &peers.notes {
            self.failure_detector.receive_report(now, *member, *age, note, &mut transitions);
        }
        self.failure_detector.evaluate(now, &mut transitions);
        let learning = self.failure_detector.is_learning(now) && peers.without_note > 0;
        let mut changed = std::mem::replace(&mut self.learning, learning) != learning;
        for Transition { zone, from, to, reason } in transitions {
            info!(context.log, "site state changed"; "zone" => context.zone_name(zone), "from" => ?from, "to" => ?to,
                  "reason" => %reason);
            self.transition_counts.count(to);
            // Once a site serves again, new plans are made with the endpoints that it then has.
            if to == SiteState::Serving {
                self.replan_at = Some(now);
            }
            changed = true;
        }
        changed
    }

    /// Begins new plans where they are due, and solves one linear program per turn. Returns whether new plans
    /// are complete.
    fn make_plans(&mut self, context: &FleetContext, endpoints: &Endpoints) -> bool {
        if self.replan_at.is_some_and(|at| at <= context.now) {
            self.replan_at = None;
            self.begin_plans(context, endpoints);
        }
        let Some(plans) = self.plan_builder.as_mut().and_then(PlanBuilder::step) else { return false };
        self.plan_builder = None;
        info!(context.log, "failover plans made"; "plan" => plans.number(), "endpoints" => self.planned_endpoints.len());
        self.plans = Some(plans);
        true
    }

    fn begin_plans(&mut self, context: &FleetContext, endpoints: &Endpoints) {
        let failure_detector = &self.failure_detector;
        self.planned_endpoints
            .retain(|_, endpoint| failure_detector.state(endpoint.zone) != SiteState::Serving);
        let healthy = endpoints.values().filter(|endpoint| endpoint.state == EndpointState::Healthy);
        self.planned_endpoints.extend(healthy.map(|endpoint| (endpoint.id.clone(), endpoint.clone())));
        let planned: Vec<Endpoint> = self.planned_endpoints.values().cloned().collect();
        let class_values: Vec<f64> = context.settings.classes.iter().map(|class| class.worth).collect();
        match PlanBuilder::new(&estimate_inputs(
            &context.settings.for_router(),
            &class_values,
            &planned,
            &self.settings,
        )) {
            Ok(builder) => self.plan_builder = Some(builder),
            Err(error) => warn!(context.log, "failover plans not created"; "error" => %error),
        }
    }

    /// Logs the number of peers that have other plans in force, if the number has changed.
    fn compare_plans(&mut self, context: &FleetContext) {
        let own = self.plan_number();
        let differs =
            |peer: &&PeerNote| peer.note.plan_number != 0 && own != 0 && peer.note.plan_number != own;
        let differing = context.peers.notes.iter().filter(differs).count();
        if differing != self.differing_plans {
            self.differing_plans = differing;
            info!(context.log, "failover plans compared with peers"; "plan" => own, "differing" => differing,
                  "peers" => context.peers.notes.len());
        }
    }

    /// Returns the number of zones, without the site of the origins.
    pub fn zone_count(&self) -> usize {
        self.zone_count
    }

    /// Returns how many weeks ahead the next call of [`SiteFailover::check_loss`] checks.
    pub fn check_week(&self) -> usize {
        self.next_check.week
    }

    /// Checks for one site and one week ahead whether the remaining sites could carry the forecast load after
    /// its loss. It solves one linear program per turn. `growth_factors`: growth of each zone by that week,
    /// or `None` if it is not known.
    pub fn check_loss(&mut self, context: &FleetContext, growth_factors: Option<Vec<f64>>) {
        let Some(growth_factors) = growth_factors.filter(|_| !self.failure_detector.any_affected()) else {
            return;
        };
        let Some(plans) = &self.plans else { return };
        let LossCheck { zone, week } = self.next_check;
        let survivable = plans.survives_loss(zone, &growth_factors);
        let last_week = week + 1 >= FORECAST_WEEKS as usize;
        self.next_check = if survivable && !last_week {
            LossCheck { zone, week: week + 1 }
        } else {
            LossCheck { zone: (zone + 1) % self.zone_count.max(1), week: 0 }
        };
        let name = context.zone_name(zone);
        if !survivable && self.unsurvivable_from_week.insert(zone, week) != Some(week) {
            warn!(context.log, "loss of the site exceeds the forecast capacity"; "zone" => name, "from_week" => week,
                  "remedy" => "add parents or links, or let load leave its branch");
        } else if survivable && last_week && self.unsurvivable_from_week.remove(&zone).is_some() {
            info!(context.log, "loss of the site within the forecast capacity again"; "zone" => name, "weeks" => FORECAST_WEEKS);
        }
    }

    /// Returns the constraints that the plans place on this instance's router.
    pub fn constraints(&self, context: &FleetContext) -> Constraints {
        let Some(plans) = &self.plans else { return Constraints::default() };
        let settings = context.settings.for_router();
        let local_instances = settings.routers_by_zone.get(self.zone).copied().filter(|count| *count > 0);
        let all_instances = settings.routers.max(context.peers.configured as u32);
        let initial_share = settings
            .cache_slow_start
            .initial_share
            .min(settings.parent_slow_start.initial_share)
            .max(MIN_INITIAL_SHARE);
        let factor = |zone| {
            traffic_share(self.failure_detector.state(zone), self.settings.recovery_steps, initial_share)
        };
        let factors: Vec<f64> = (0..context.zone_count()).map(factor).collect();
        let expected_return = self.settings.hold_off + warm_up(context.settings);
        // During a takeover the two processes of an instance share its part of each rate limit, so every
        // instance counts double.
        plans.constraints(&ConstraintQuery {
            zone: self.zone,
            zone_instances: local_instances.unwrap_or(settings.routers) * context.processes,
            all_instances: all_instances * context.processes,
            site_factors: &factors,
            probe_rate: PROBE_TRANSFERS,
            window: settings.overload_window,
            expected_return: expected_return.min(settings.max_retry_after),
            learning_share: self.learning.then_some(initial_share),
        })
    }

    /// Returns the state of each site, by zone.
    pub fn site_states(&self) -> Vec<SiteState> {
        (0..=self.zone_count).map(|zone| self.failure_detector.state(zone)).collect()
    }

    /// Returns the number of the plans in force, or 0 without plans.
    pub fn plan_number(&self) -> u32 {
        self.plans.as_ref().map_or(0, Plans::number)
    }

    /// Returns the site observations for this instance's note to its peers.
    pub fn site_observations(&self, now: Micros) -> Vec<SiteObservation> {
        self.failure_detector.report(now)
    }

    /// Returns when the failure detector is due next.
    pub fn next_due(&self) -> Micros {
        self.failure_detector.next_evaluation()
    }

    /// Returns whether plans are being made; each turn solves one linear program of them.
    pub fn is_planning(&self) -> bool {
        self.plan_builder.is_some()
    }

    /// Returns names and values for the admin endpoint; `rate_limits` is the number of rate limits in the
    /// constraints in force.
    pub fn metrics(&self, rate_limits: usize) -> [(&'static str, u64); 6] {
        [
            ("site_doubts_total", self.transition_counts.suspected),
            ("site_losses_total", self.transition_counts.unreachable),
            ("site_return_steps_total", self.transition_counts.recovering),
            ("site_plan", u64::from(self.plan_number())),
            ("site_plans_that_differ", self.differing_plans as u64),
            ("site_bounds", rate_limits as u64),
        ]
    }
}
