//! Slow start: limits the work that this router sends in one window to an endpoint that started recently.

use super::endpoint::Upstream;
use super::endpoint_table::EndpointIndex;
use super::events::{Micros, Role, SlowStart};
use super::rate_account::{Budget, RateAccount};
use super::request::PendingRequest;
use super::Router;

/// Fraction of the allowed load that a cold endpoint is sent: a margin for random arrivals, estimated sizes
/// and late list updates.
const SLOW_START_LOAD_FRACTION: f64 = 0.5;

/// Work sent to one endpoint during its slow start.
#[derive(Default)]
pub(super) struct SlowStartBudget {
    pub(super) sent: RateAccount,
    /// Time at which the endpoint was first listed, or listed again after a restart.
    listed_at: Micros,
}

impl SlowStartBudget {
    pub(super) fn new(listed_at: Micros) -> Self {
        SlowStartBudget { sent: RateAccount::default(), listed_at }
    }
}

impl Router {
    /// Returns whether the constraints and the slow start of an endpoint admit one more attempt. A cold
    /// endpoint that is sent more than a multiple of its present capacity in a window fails and does not
    /// recover.
    pub(super) fn admits_attempt(&self, index: EndpointIndex, pending: &PendingRequest) -> bool {
        let upstream = &self.endpoints[index];
        let phase = self.random.fraction_for(upstream.key);
        if !self.constraints.admits(self.now, &upstream.endpoint.id, pending.transfer_time_us, phase) {
            return false;
        }
        let Some(budget) = self.slow_start_budget(index) else { return true };
        let transfer_time_us = self.transfer_times.mean_us(pending.request.class);
        // Routers that learned of the endpoint late, or have restarted, must not all send at once what they
        // could have sent before.
        let first_window_end = upstream.endpoint.started_at.saturating_add(budget.window);
        let since = upstream.slow_start.listed_at.max(first_window_end);
        upstream.slow_start.sent.has_paced_capacity(self.now, budget, transfer_time_us, since, phase)
    }

    /// Returns the work that this router may send to a cold endpoint in one window; `None` if it is warm.
    pub(super) fn slow_start_budget(&self, index: EndpointIndex) -> Option<Budget> {
        let upstream = &self.endpoints[index];
        let slow_start = match upstream.endpoint.role {
            Role::Cache => self.settings.cache_slow_start,
            Role::Parent => self.settings.parent_slow_start,
            Role::Origin => return None,
        };
        let window = self.settings.overload_window;
        let started_at = upstream.endpoint.started_at;
        let warm_up_time = self.now.saturating_sub(started_at).saturating_sub(window);
        if started_at == 0 || warm_up_time >= slow_start.duration {
            return None;
        }
        let allowed_us = self.allowed_work_us(upstream, slow_start, warm_up_time);
        let process_share = self.process_share_of_window();
        let sharing_routers = self.sharing_routers(&upstream.endpoint);
        Some(Budget {
            window,
            work_us: SLOW_START_LOAD_FRACTION * allowed_us * process_share / sharing_routers,
        })
    }

    /// Returns the work of all routers together that a cold endpoint sustains in one window, in microseconds.
    fn allowed_work_us(&self, upstream: &Upstream, slow_start: SlowStart, warm_up_time: Micros) -> f64 {
        let initial = slow_start.initial_share;
        let warm_share = initial + (1.0 - initial) * warm_up_time as f64 / slow_start.duration as f64;
        let size = self.conservative_size(&upstream.endpoint);
        size * warm_share * slow_start.overload_multiple * self.settings.overload_window as f64
    }

    /// Returns the fraction of a window's work that this process may send. The process has no record of the
    /// work that its predecessor sent in the same window, or that other processes of the instance send.
    fn process_share_of_window(&self) -> f64 {
        let window = self.settings.overload_window.max(1);
        let age = self.now.saturating_sub(self.started_at.unwrap_or(0)).clamp(1, window);
        age as f64 / window as f64 / f64::from(self.settings.processes.max(1))
    }
}
