//! A token bucket for dials. It limits the rate of dials to a registry that accepts connections and closes them at
//! once: pauses alone don't bound that rate, since each complete list resets the count of failures.

use crate::routing::events::Micros;

/// Capacity of the bucket: the number of dials in a row before the budget delays the next one.
const BURST_DIALS: f64 = 20.0;
/// Number of dials that are added to the budget during one longest pause.
const DIALS_PER_LONGEST_PAUSE: f64 = 4.0;

/// The dials that are available now.
#[derive(Clone, Debug)]
pub(super) struct DialBudget {
    dials: f64,
    refilled_at: Micros,
}

impl DialBudget {
    pub(super) fn full(now: Micros) -> Self {
        DialBudget { dials: BURST_DIALS, refilled_at: now }
    }

    /// Takes one dial from the budget; returns `false` if the budget is exhausted.
    pub(super) fn take(&mut self, now: Micros, longest_pause: Micros) -> bool {
        let refill = DIALS_PER_LONGEST_PAUSE * (now.saturating_sub(self.refilled_at)) as f64
            / longest_pause.max(1) as f64;
        self.dials = (self.dials + refill).min(BURST_DIALS);
        self.refilled_at = now;
        if self.dials < 1.0 {
            return false;
        }
        self.dials -= 1.0;
        true
    }
}
