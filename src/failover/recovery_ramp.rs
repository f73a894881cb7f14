//! The steps by which the load of a site is restored after it was unreachable.
//!
//! Each site of the failure detector has a `RecoveryRamp`; `proxy::failover` converts its step into a share of the
//! load.

#[cfg(test)]
mod tests;

use super::SiteState;
use crate::routing::events::Micros;

/// Minimum share of the first step: with a share of 0 a recovery would never begin.
const MIN_SHARE: f64 = 0.01;

/// Returns the fraction of a site's full capacity that all instances together may send to the site. The remaining
/// fraction of its load is still routed by the plan for its loss, so that no load is sent twice or not at all.
///
/// The share grows from `cold_share` to 1 by equal factors, not by equal amounts, so each step adds the same fraction
/// of the load that the site has just carried. By equal amounts the first step from a share of a tenth would nearly
/// triple the load.
pub fn traffic_share(state: SiteState, steps: u8, cold_share: f64) -> f64 {
    let cold_share = if cold_share.is_finite() { cold_share.clamp(MIN_SHARE, 1.0) } else { MIN_SHARE };
    match state {
        SiteState::Serving | SiteState::Suspected => 1.0,
        SiteState::Unreachable => 0.0,
        SiteState::Recovering { step } => {
            let steps = f64::from(steps.max(1));
            cold_share.powf((1.0 - f64::from(step) / steps).max(0.0))
        }
    }
}

/// Health of a site during a recovery step, by the observations at one evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StepHealth {
    /// The site is well reachable.
    Good,
    /// The site fails, or only a few of many servers are reached.
    Bad,
    /// There are not enough observations; the step is kept.
    Unknown,
}

/// Result of one evaluation of a ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RampChange {
    /// The step is kept.
    Hold,
    /// The ramp moves to this step, the next or the previous one.
    To(u8),
    /// The last step was held for its full time.
    Completed,
}

/// Limits of a ramp.
#[derive(Clone, Copy, Debug)]
pub(super) struct RampLimits {
    /// Time for which a step is held.
    pub hold: Micros,
    /// Time for which a step may be unhealthy before the ramp moves back.
    pub tolerated: Micros,
    /// Number of steps.
    pub steps: u8,
}

/// The recovery of one site.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct RecoveryRamp {
    step: u8,
    /// Start of the time for which the step has been held without bad health.
    since: Micros,
    bad_since: Option<Micros>,
}

impl RecoveryRamp {
    pub(super) fn begin(step: u8, now: Micros) -> Self {
        RecoveryRamp { step, since: now, bad_since: None }
    }

    /// Lowers the current step to at most `step`.
    pub(super) fn lower_to(&mut self, step: u8) {
        self.step = self.step.min(step);
    }

    /// Moves to the next step once the current one was held for [`RampLimits::hold`] and its health is good, or to the
    /// previous step once its health was bad for [`RampLimits::tolerated`].
    pub(super) fn advance(&mut self, now: Micros, health: StepHealth, limits: RampLimits) -> RampChange {
        match health {
            StepHealth::Unknown => RampChange::Hold,
            StepHealth::Bad => self.step_back(now, limits),
            StepHealth::Good => self.step_forward(now, limits),
        }
    }

    /// Moves to the previous step after bad health for long enough. The first step has no previous one: there the site
    /// can only become unreachable.
    fn step_back(&mut self, now: Micros, limits: RampLimits) -> RampChange {
        let since = *self.bad_since.get_or_insert(now);
        if now.saturating_sub(since) < limits.tolerated {
            return RampChange::Hold;
        }
        let Some(step) = self.step.checked_sub(1) else { return RampChange::Hold };
        *self = RecoveryRamp { step, since: now, bad_since: Some(now) };
        RampChange::To(step)
    }

    fn step_forward(&mut self, now: Micros, limits: RampLimits) -> RampChange {
        if self.bad_since.take().is_some() {
            self.since = now;
        }
        if now.saturating_sub(self.since) < limits.hold {
            return RampChange::Hold;
        }
        if self.step.saturating_add(1) >= limits.steps {
            return RampChange::Completed;
        }
        *self = RecoveryRamp::begin(self.step + 1, now);
        RampChange::To(self.step)
    }
}
