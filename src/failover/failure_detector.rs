//! The failure detector: derives the state of each site from this instance's own attempts and its peers' reports.
//!
//! `proxy::failover` owns one [`FailureDetector`], passes attempts, reports and the endpoint list to it, and has it
//! evaluate them. A site is *suspected* once no instance has reached any of its servers for
//! [`Settings::suspect_after`] although most were tried, and *unreachable* once this has lasted for
//! [`Settings::unreachable_after`]. One answer in time, to any instance whose reports count, ends the suspicion. An
//! unreachable site begins to recover after its hold-off, which doubles while the site flaps.
//!
//! - An instance that reaches no site is isolated: it changes no state, and its failures are not counted by any peer.
//! - A site that a peer reaches is not lost for an instance that can't reach it itself.
//! - Instances inside a site consider only their own observations and reports from inside. For instances outside, the
//!   site is lost if none of them reaches it, whatever the instances inside report. The two sides may disagree.
//! - Reports of a peer that gossip considers dead are dropped; its death alone is no evidence against a site.
//!
//! Instances on the same side that receive each other's reports and are not isolated agree on whether a site is lost
//! within [`agreement_time`] after the first of them has sufficient observations, or after the last of them has none.

#[cfg(test)]
mod tests;

use super::observations::{
    AttemptOutcome, Decision, ListedServer, Observation, Observations, TimeLimits, TENTH_US,
};
use super::recovery_ramp::{RampChange, RampLimits, RecoveryRamp, StepHealth};
use super::site_report::{SiteObservation, SiteReport, MAX_SITES};
use super::{Settings, SiteState, Zone};
use crate::invariant;
use crate::routing::events::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Interval at which observations are evaluated while there are failures, in microseconds.
pub const EVALUATION_PERIOD: Micros = 100_000;
/// Divisor of the hold-off that gives its largest random extension, so that instances do not all begin at once.
const HOLD_OFF_JITTER_DIVISOR: Micros = 8;
/// Encoded states of an observation in a report; values from `REPORTED_FIRST_STEP` on are steps of a recovery.
const REPORTED_SERVING: u8 = 0;
const REPORTED_SUSPECTED: u8 = 1;
const REPORTED_UNREACHABLE: u8 = 2;
const REPORTED_FIRST_STEP: u8 = 3;

/// Returns the time within which instances agree that receive each other's reports once in `report_period`: the last
/// instance that reached the site reports this for up to `unreachable_after`, its report counts for `report_ttl`, and
/// each instance evaluates twice.
pub fn agreement_time(settings: &Settings, report_period: Micros) -> Micros {
    [settings.report_ttl, report_period, 2 * EVALUATION_PERIOD]
        .iter()
        .fold(settings.unreachable_after, |sum, &span| sum.saturating_add(span))
}

/// Reason for a state transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No instance has reached the site for this time, in microseconds, although most of its servers were tried.
    NotReached(Micros),
    /// An instance reaches the site.
    Reached,
    /// The site was reachable throughout its hold-off, whose length is in microseconds.
    HeldOff(Micros),
    /// The recovery step was held for its full time with good answers.
    StepCompleted,
    /// Attempts failed for too long during the recovery step.
    StepFailed,
    /// This instance has just started, and a peer reports that the site was lost.
    LearnedFromPeer,
    /// The number of recovery steps in the settings was reduced.
    SettingsChanged,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Reason::NotReached(span) => {
                write!(f, "no server reached by any instance for {} ms", span / 1_000)
            }
            Reason::Reached => f.write_str("a server was reached"),
            Reason::HeldOff(span) => write!(f, "reached throughout the hold-off of {} ms", span / 1_000),
            Reason::StepCompleted => f.write_str("the recovery step was held with good answers"),
            Reason::StepFailed => f.write_str("the recovery step failed"),
            Reason::LearnedFromPeer => f.write_str("a peer reports it as recovering"),
            Reason::SettingsChanged => f.write_str("the settings changed"),
        }
    }
}

/// A transition of one site's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Transition {
    /// Zone of the site.
    pub zone: Zone,
    /// State before the transition.
    pub from: SiteState,
    /// State after the transition.
    pub to: SiteState,
    /// Reason for the transition.
    pub reason: Reason,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Site {
    state: SiteState,
    /// Time that the site's servers take to warm up.
    warm_up: Micros,
    ramp: RecoveryRamp,
    /// Start of the time for which the site has been reachable while its state is `Unreachable`.
    reached_since: Option<Micros>,
    /// Hold-off without jitter.
    hold_off: Micros,
    /// Start of the last recovery.
    last_recovery: Option<Micros>,
    losses: u32,
}

/// Settings that control recoveries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RecoveryRules {
    hold_off: Micros,
    max_hold_off: Micros,
    flap_window: Micros,
    steps: u8,
}

impl RecoveryRules {
    fn of(settings: &Settings) -> Self {
        RecoveryRules {
            hold_off: settings.hold_off,
            max_hold_off: settings.max_hold_off.max(settings.hold_off),
            flap_window: settings.flap_window,
            steps: settings.recovery_steps.max(1),
        }
    }
}

impl TimeLimits {
    fn of(settings: &Settings) -> Self {
        TimeLimits {
            suspect_after: settings.suspect_after,
            unreachable_after: settings.unreachable_after.max(settings.suspect_after),
            report_ttl: settings.report_ttl,
        }
    }
}

/// One instance's failure detector for all sites.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FailureDetector {
    rules: RecoveryRules,
    own_zone: Zone,
    jitter_seed: u64,
    observations: Observations,
    sites: Vec<Site>,
    learns_until: Micros,
    isolated: bool,
    next_evaluation: Micros,
}

impl FailureDetector {
    /// Creates the detector of an instance in `own_zone` without observations: all `zones` are serving until there are
    /// observations or, within [`Settings::report_ttl`], a peer's report. `jitter_seed` seeds the jitter of hold-offs.
    pub fn new(
        settings: Settings,
        own_zone: Zone,
        zones: usize,
        jitter_seed: u64,
        now: Micros,
    ) -> FailureDetector {
        FailureDetector {
            rules: RecoveryRules::of(&settings),
            own_zone,
            jitter_seed,
            observations: Observations::new(TimeLimits::of(&settings), own_zone, zones),
            sites: vec![Site::default(); zones],
            learns_until: now.saturating_add(settings.report_ttl),
            isolated: false,
            next_evaluation: Micros::MAX,
        }
    }

    /// Applies other settings. States are kept; a recovery step beyond the new last step becomes the last step.
    pub fn reconfigure(&mut self, settings: Settings, transitions: &mut Vec<Transition>) {
        self.rules = RecoveryRules::of(&settings);
        self.observations.limits = TimeLimits::of(&settings);
        let last_step = self.rules.steps - 1;
        for zone in 0..self.sites.len() {
            if let SiteState::Recovering { step } = self.sites[zone].state {
                if step > last_step {
                    self.sites[zone].ramp.lower_to(last_step);
                    let to = SiteState::Recovering { step: last_step };
                    self.change_state(zone, to, Reason::SettingsChanged, transitions);
                }
            }
        }
    }

    /// Sets the time that the servers of a zone take to warm up after a start: a recovery takes at least that long.
    pub fn set_warm_up(&mut self, zone: Zone, warm_up: Micros) {
        if let Some(site) = self.sites.get_mut(zone) {
            site.warm_up = warm_up;
        }
    }

    /// Replaces the list of servers. A removed or draining server does not count among those that must be tried; its
    /// removal alone is no evidence against a site.
    pub fn update_servers(&mut self, now: Micros, servers: impl IntoIterator<Item = ListedServer>) {
        self.observations.update_servers(now, servers);
    }

    /// Records the outcome of this instance's own attempt at a server.
    pub fn record_attempt(&mut self, now: Micros, server: u64, zone: Zone, outcome: AttemptOutcome) {
        self.observations.record_attempt(now, server, zone, outcome);
        if outcome != AttemptOutcome::InTime {
            self.evaluate_soon(now);
        }
    }

    /// Processes a peer's report that was written `age` ago. A report older than the peer's last one is ignored.
    pub fn receive_report(
        &mut self,
        now: Micros,
        peer: u16,
        age: Micros,
        report: &SiteReport,
        transitions: &mut Vec<Transition>,
    ) {
        if self.observations.receive_report(now, peer, age, report) {
            self.evaluate_soon(now);
        }
        if self.is_learning(now) && age < self.observations.limits.report_ttl {
            self.learn(now, report, transitions);
        }
    }

    /// Drops the reports of a peer that has left or that gossip considers dead.
    pub fn remove_peer(&mut self, peer: u16) {
        self.observations.remove_peer(peer);
    }

    /// Returns whether this instance started so recently that a peer may still report a recovering site. During this
    /// time an owner that has peers sends no site more than the cold share.
    pub fn is_learning(&self, now: Micros) -> bool {
        now < self.learns_until
    }

    /// Returns the latest time for the next call of [`FailureDetector::evaluate`]; [`Micros::MAX`] until the next
    /// failure or report.
    pub fn next_evaluation(&self) -> Micros {
        self.next_evaluation
    }

    /// Returns the state of a zone; a zone that does not exist is serving.
    pub fn state(&self, zone: Zone) -> SiteState {
        self.sites.get(zone).map_or(SiteState::Serving, |site| site.state)
    }

    /// Returns whether this instance fails at every site that it tries. It changes no state while isolated.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Returns whether any site is in another state than `Serving`.
    pub fn any_affected(&self) -> bool {
        self.sites.iter().any(|site| site.state != SiteState::Serving)
    }

    /// Evaluates all observations and appends the resulting transitions.
    pub fn evaluate(&mut self, now: Micros, transitions: &mut Vec<Transition>) {
        self.observations.expire_reports(now);
        self.isolated = self.observations.is_isolated(now);
        if !self.isolated {
            let decisions = self.observations.decisions(now, false);
            for (zone, decision) in decisions.into_iter().enumerate() {
                self.evaluate_site(now, zone, decision, transitions);
            }
        }
        let is_active = self.any_affected() || self.observations.any_failures(now);
        self.next_evaluation = if is_active { now.saturating_add(EVALUATION_PERIOD) } else { Micros::MAX };
    }

    /// Returns this instance's observations for its report, the most significant first; at most [`MAX_SITES`].
    pub fn report(&self, now: Micros) -> Vec<SiteObservation> {
        let own = self.observations.own_observations(now, self.isolated).into_iter().enumerate();
        let mut reported: Vec<SiteObservation> =
            own.filter_map(|(zone, observation)| self.report_site(now, zone, observation)).collect();
        // A site that is serving here but fails for a peer is as significant as one that is unreachable.
        let is_significant = |site: &SiteObservation| {
            site.state > REPORTED_SERVING || self.observations.fails_for_a_peer(usize::from(site.zone))
        };
        reported.sort_by_key(|site| {
            (!is_significant(site), std::cmp::Reverse((site.failed, site.reached)), site.zone)
        });
        reported.truncate(MAX_SITES);
        reported
    }

    fn report_site(
        &self,
        now: Micros,
        zone: Zone,
        observation: Option<Observation>,
    ) -> Option<SiteObservation> {
        let state = match self.state(zone) {
            SiteState::Serving => REPORTED_SERVING,
            SiteState::Suspected => REPORTED_SUSPECTED,
            SiteState::Unreachable => REPORTED_UNREACHABLE,
            SiteState::Recovering { step } => step.saturating_add(REPORTED_FIRST_STEP),
        };
        let zone = u8::try_from(zone).ok()?;
        let Some(observation) = observation else {
            let state_only = SiteObservation { zone, reached: 0, failed: 0, unreachable_tenths_s: 0, state };
            return (state > REPORTED_SERVING).then_some(state_only);
        };
        let unreachable_for =
            observation.unreachable_since.map_or(0, |since| now.saturating_sub(since) / TENTH_US);
        Some(SiteObservation {
            zone,
            reached: saturated_byte(observation.reached.into()),
            failed: saturated_byte(observation.failed.into()),
            unreachable_tenths_s: saturated_byte(unreachable_for),
            state,
        })
    }

    fn evaluate_soon(&mut self, now: Micros) {
        self.next_evaluation = self.next_evaluation.min(now.saturating_add(EVALUATION_PERIOD));
    }

    fn evaluate_site(
        &mut self,
        now: Micros,
        zone: Zone,
        decision: Decision,
        transitions: &mut Vec<Transition>,
    ) {
        let TimeLimits { suspect_after, unreachable_after, .. } = self.observations.limits;
        let unreachable_for = match decision {
            Decision::Unreachable { since, most_tried: true } => now.saturating_sub(since),
            _ => 0,
        };
        let reason = Reason::NotReached(unreachable_for);
        let is_lost = unreachable_for >= unreachable_after && self.observations.reaches_any_site(now);
        match self.sites[zone].state {
            SiteState::Serving if unreachable_for >= suspect_after => {
                self.change_state(zone, SiteState::Suspected, reason, transitions);
            }
            SiteState::Serving => {}
            SiteState::Suspected | SiteState::Recovering { .. } if is_lost => {
                self.lose_site(now, zone, reason, transitions);
            }
            SiteState::Suspected => {
                if matches!(decision, Decision::Reached { .. }) {
                    self.change_state(zone, SiteState::Serving, Reason::Reached, transitions);
                }
            }
            SiteState::Unreachable => self.continue_hold_off(now, zone, decision, transitions),
            SiteState::Recovering { step } => self.continue_recovery(now, zone, step, decision, transitions),
        }
    }

    fn continue_recovery(
        &mut self,
        now: Micros,
        zone: Zone,
        step: u8,
        decision: Decision,
        transitions: &mut Vec<Transition>,
    ) {
        let health = match decision {
            Decision::Reached { well: true } => StepHealth::Good,
            Decision::Reached { well: false } | Decision::Unreachable { most_tried: true, .. } => {
                StepHealth::Bad
            }
            Decision::Unreachable { most_tried: false, .. } | Decision::Unknown => StepHealth::Unknown,
        };
        let tolerated = self.observations.limits.suspect_after;
        let steps = self.rules.steps;
        let site = &mut self.sites[zone];
        let hold = (site.warm_up / Micros::from(steps)).max(tolerated);
        match site.ramp.advance(now, health, RampLimits { hold, tolerated, steps }) {
            RampChange::Hold => {}
            RampChange::To(to) => {
                let reason = if to > step { Reason::StepCompleted } else { Reason::StepFailed };
                self.change_state(zone, SiteState::Recovering { step: to }, reason, transitions);
            }
            RampChange::Completed => {
                self.change_state(zone, SiteState::Serving, Reason::StepCompleted, transitions);
            }
        }
    }

    /// Begins the recovery of an unreachable site once it was reachable throughout its hold-off. Neither a single
    /// failure nor a time without attempts restarts the hold-off, because probes are rare.
    fn continue_hold_off(
        &mut self,
        now: Micros,
        zone: Zone,
        decision: Decision,
        transitions: &mut Vec<Transition>,
    ) {
        let suspect_after = self.observations.limits.suspect_after;
        let hold_off = self.hold_off_with_jitter(zone);
        let site = &mut self.sites[zone];
        match decision {
            Decision::Reached { well: true } => {
                let since = *site.reached_since.get_or_insert(now);
                if now.saturating_sub(since) >= hold_off {
                    site.reached_since = None;
                    site.last_recovery = Some(now);
                    site.ramp = RecoveryRamp::begin(0, now);
                    let to = SiteState::Recovering { step: 0 };
                    self.change_state(zone, to, Reason::HeldOff(hold_off), transitions);
                }
            }
            Decision::Unreachable { since, .. } if now.saturating_sub(since) < suspect_after => {}
            Decision::Unknown => {}
            Decision::Unreachable { .. } | Decision::Reached { well: false } => site.reached_since = None,
        }
    }

    fn hold_off_with_jitter(&self, zone: Zone) -> Micros {
        let site = &self.sites[zone];
        let key = [zone as u64, u64::from(site.losses)].map(u64::to_le_bytes).concat();
        let max_jitter = (site.hold_off / HOLD_OFF_JITTER_DIVISOR).max(1);
        let jitter = xxh3_64_with_seed(&key, self.jitter_seed) % max_jitter;
        site.hold_off.saturating_add(jitter).min(self.rules.max_hold_off)
    }

    fn lose_site(&mut self, now: Micros, zone: Zone, reason: Reason, transitions: &mut Vec<Transition>) {
        let RecoveryRules { hold_off, max_hold_off, flap_window, .. } = self.rules;
        let site = &mut self.sites[zone];
        let is_flapping = site.last_recovery.is_some_and(|at| now.saturating_sub(at) < flap_window);
        let doubled = site.hold_off.saturating_mul(2).clamp(hold_off, max_hold_off);
        site.hold_off = if is_flapping { doubled } else { hold_off };
        site.losses = site.losses.saturating_add(1);
        site.reached_since = None;
        self.change_state(zone, SiteState::Unreachable, reason, transitions);
    }

    /// Adopts the recoveries that peers report to an instance that has just started, at the lowest step reported: after
    /// most instances have restarted, none may be beyond the step that the others had reached. Instances inside a site
    /// send it most of its load, so they learn from those outside too.
    fn learn(&mut self, now: Micros, report: &SiteReport, transitions: &mut Vec<Transition>) {
        for reported in report.observations.iter().filter(|site| site.state >= REPORTED_UNREACHABLE) {
            let zone = usize::from(reported.zone);
            if zone >= self.sites.len() {
                continue;
            }
            let step = reported.state.saturating_sub(REPORTED_FIRST_STEP).min(self.rules.steps - 1);
            match self.sites[zone].state {
                SiteState::Serving => self.sites[zone].ramp = RecoveryRamp::begin(step, now),
                SiteState::Recovering { step: known } if step < known => {
                    self.sites[zone].ramp.lower_to(step);
                }
                _ => continue,
            }
            self.sites[zone].last_recovery.get_or_insert(now);
            let to = SiteState::Recovering { step };
            self.change_state(zone, to, Reason::LearnedFromPeer, transitions);
            self.evaluate_soon(now);
        }
    }

    fn change_state(&mut self, zone: Zone, to: SiteState, reason: Reason, transitions: &mut Vec<Transition>) {
        let from = std::mem::replace(&mut self.sites[zone].state, to);
        invariant!(from.may_become(to), "a site's state changes only by allowed transitions");
        transitions.push(Transition { zone, from, to, reason });
    }
}

fn saturated_byte(value: u64) -> u8 {
    u8::try_from(value).unwrap_or(u8::MAX)
}
