//! Failover of whole sites: joins the judgement of sites and the failover plans (`crate::failover`) to the turns of the
//! fleet (`fleet.rs`, which owns this). How attempts ended, the list of endpoints and the notes of peers go in;
//! constraints for the router, this instance's part of its own note and log lines come out. It decides nothing itself.

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

/// Transfers at full pace that all instances together send one server of a lost site, to see whether it is back.
const PROBE_TRANSFERS: f64 = 0.2;
/// Least part of its capacity that an endpoint which starts cold is given.
const LEAST_INITIAL_SHARE: f64 = 0.01;

/// How an attempt ended, for the sites of the endpoint and of the source that it was filled from.
pub(super) struct AttemptEnd<'a> {
    pub endpoint: &'a Id,
    pub source: Option<&'a Id>,
    pub status: AttemptStatus,
    pub cache_status: CacheStatus,
}

impl AttemptEnd<'_> {
    /// What the end tells of the endpoint.
    fn at_endpoint(&self) -> Option<AttemptOutcome> {
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

    /// What it tells of the source: only a fill proves that the source answered, any failure may be the source's.
    fn at_source(&self) -> Option<AttemptOutcome> {
        let filled = matches!(self.cache_status, CacheStatus::Filled | CacheStatus::Joined);
        match self.status {
            AttemptStatus::Served if filled => Some(AttemptOutcome::InTime),
            AttemptStatus::Error | AttemptStatus::TimedOut => Some(AttemptOutcome::TimedOut),
            _ => None,
        }
    }
}

/// Changes of a site's state so far, by the state that they led to.
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

/// The next check whether a site's loss could be borne: of which zone, and so many weeks ahead.
#[derive(Clone, Copy, Default)]
struct LossCheck {
    zone: Zone,
    week: usize,
}

/// The site failover of one instance.
pub(super) struct SiteFailover {
    settings: Settings,
    /// The instance's own zone.
    zone: Zone,
    /// The judgement has one zone more, for the origins.
    zone_count: usize,
    failure_detector: FailureDetector,
    /// The endpoints that plans are made with: those that are healthy, and all that a site which is not plainly serving
    /// had before.
    planned_endpoints: Endpoints,
    /// The list or the settings have changed: when new plans are begun.
    replan_at: Option<Micros>,
    plan_builder: Option<PlanBuilder>,
    plans: Option<Plans>,
    /// This instance is new and lacks notes of some peers: it takes no site further than one on its way back might be.
    learning: bool,
    next_check: LossCheck,
    /// From which week on the loss of a zone could not be borne, as last logged.
    unbearable_from_week: FxHashMap<Zone, usize>,
    /// How many peers have other plans in force, as last logged.
    differing_plans: usize,
    transition_counts: TransitionCounts,
}

/// How long the endpoints of a zone take to warm up.
fn warm_up(settings: &Document) -> Micros {
    settings.rules.warm_within_us.max(settings.domain.parent_ramp_us)
}

impl SiteFailover {
    /// Judges sites from now on.
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
            unbearable_from_week: FxHashMap::default(),
            differing_plans: 0,
            transition_counts: TransitionCounts::default(),
        }
    }

    /// Takes other settings; new plans follow.
    pub fn reconfigure(&mut self, settings: &Settings, document: &Document, now: Micros) {
        // The next turn reads the states themselves: the changes need not be handed on.
        self.failure_detector.reconfigure(settings.clone(), &mut Vec::new());
        (0..self.zone_count).for_each(|zone| self.failure_detector.set_warm_up(zone, warm_up(document)));
        self.settings = settings.clone();
        self.replan_at = Some(now);
    }

    /// The zone whose site an endpoint tells of. Origins belong to no site: none of them is lost with the zone that they
    /// stand in.
    fn site_of(&self, endpoint: &Endpoint) -> Zone {
        match endpoint.role {
            Role::Origin => self.zone_count,
            _ => endpoint.zone,
        }
    }

    /// Takes the list as it now is. An endpoint that left a site in trouble stays in its plans: the loss is not over.
    pub fn endpoints_changed(&mut self, now: Micros, endpoints: &Endpoints) {
        let healthy = |endpoint: &Endpoint| endpoint.state == EndpointState::Healthy;
        let listed = |endpoint: &Endpoint| ListedServer {
            key: xxh3_64(endpoint.id.as_bytes()),
            zone: self.site_of(endpoint),
            serving: healthy(endpoint),
        };
        let listed: Vec<ListedServer> = endpoints.values().map(listed).collect();
        self.failure_detector.update_servers(now, listed);
        let any_left = self.planned_endpoints.keys().any(|id| endpoints.get(id).is_none_or(|e| !healthy(e)));
        let delay = if any_left { self.settings.unreachable_after } else { 0 };
        let replan_at = now + delay;
        self.replan_at = Some(self.replan_at.map_or(replan_at, |at| at.min(replan_at)));
    }

    /// Takes how an attempt ended.
    pub fn attempt_ended(&mut self, now: Micros, endpoints: &Endpoints, attempt: &AttemptEnd) {
        let source = attempt.source.filter(|source| *source != attempt.endpoint);
        for (id, end) in [(Some(attempt.endpoint), attempt.at_endpoint()), (source, attempt.at_source())] {
            let Some((endpoint, end)) = id.and_then(|id| endpoints.get(id)).zip(end) else { continue };
            let site = self.site_of(endpoint);
            self.failure_detector.record_attempt(now, xxh3_64(endpoint.id.as_bytes()), site, end);
        }
    }

    /// Lets the judgement and the plans go on; whether the constraints may have changed.
    pub fn turn(&mut self, context: &FleetContext, endpoints: &Endpoints) -> bool {
        let judged = self.judge_sites(context);
        let planned = self.make_plans(context, endpoints);
        self.compare_plans(context);
        judged || planned
    }

    fn judge_sites(&mut self, context: &FleetContext) -> bool {
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
            // Once a site serves again, the plans are made with the endpoints that it then has.
            if to == SiteState::Serving {
                self.replan_at = Some(now);
            }
            changed = true;
        }
        changed
    }

    /// Begins new plans where they are due, and solves one program a turn; whether there are new plans.
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
            Err(error) => warn!(context.log, "failover plans can't be made"; "error" => %error),
        }
    }

    /// Logs how many peers have other plans in force, where that has changed.
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

    /// How many zones are judged, without the origins' own.
    pub fn zone_count(&self) -> usize {
        self.zone_count
    }

    /// How many weeks ahead [`SiteFailover::check_loss`] looks next.
    pub fn check_week(&self) -> usize {
        self.next_check.week
    }

    /// Checks of one site and one week ahead whether the forecast load would still bear its loss: one program a turn.
    /// `growth_factors`: each zone's growth by that week; `None` where it is not known.
    pub fn check_loss(&mut self, context: &FleetContext, growth_factors: Option<Vec<f64>>) {
        let Some(growth_factors) = growth_factors.filter(|_| !self.failure_detector.any_affected()) else {
            return;
        };
        let Some(plans) = &self.plans else { return };
        let LossCheck { zone, week } = self.next_check;
        let bearable = plans.survives_loss(zone, &growth_factors);
        let last_week = week + 1 >= FORECAST_WEEKS as usize;
        self.next_check = if bearable && !last_week {
            LossCheck { zone, week: week + 1 }
        } else {
            LossCheck { zone: (zone + 1) % self.zone_count.max(1), week: 0 }
        };
        let name = context.zone_name(zone);
        if !bearable && self.unbearable_from_week.insert(zone, week) != Some(week) {
            warn!(context.log, "loss of the site exceeds the forecast capacity"; "zone" => name, "from_week" => week,
                  "remedy" => "add parents or links, or let load leave its branch");
        } else if bearable && last_week && self.unbearable_from_week.remove(&zone).is_some() {
            info!(context.log, "loss of the site within the forecast capacity again"; "zone" => name, "weeks" => FORECAST_WEEKS);
        }
    }

    /// What the plans ask of this instance's router.
    pub fn constraints(&self, context: &FleetContext) -> Constraints {
        let Some(plans) = &self.plans else { return Constraints::default() };
        let settings = context.settings.for_router();
        let local_instances = settings.routers_by_zone.get(self.zone).copied().filter(|count| *count > 0);
        let all_instances = settings.routers.max(context.peers.configured as u32);
        let initial_share = settings
            .cache_slow_start
            .initial_share
            .min(settings.parent_slow_start.initial_share)
            .max(LEAST_INITIAL_SHARE);
        let factor = |zone| {
            traffic_share(self.failure_detector.state(zone), self.settings.recovery_steps, initial_share)
        };
        let factors: Vec<f64> = (0..context.zone_count()).map(factor).collect();
        let expected_return = self.settings.hold_off + warm_up(context.settings);
        // The two processes of an instance share its part of each bound, so all count double during a takeover.
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

    /// The state of each site, by zone.
    pub fn site_states(&self) -> Vec<SiteState> {
        (0..=self.zone_count).map(|zone| self.failure_detector.state(zone)).collect()
    }

    /// The number of the plans in force; 0: none.
    pub fn plan_number(&self) -> u32 {
        self.plans.as_ref().map_or(0, Plans::number)
    }

    /// What this instance's report says of the sites.
    pub fn site_observations(&self, now: Micros) -> Vec<SiteObservation> {
        self.failure_detector.report(now)
    }

    /// When the judgement is due next.
    pub fn next_due(&self) -> Micros {
        self.failure_detector.next_evaluation()
    }

    /// Whether plans are being made: each turn solves one program.
    pub fn is_planning(&self) -> bool {
        self.plan_builder.is_some()
    }

    /// Names and values for the admin server; `rate_limits`: how many the constraints in force have.
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
