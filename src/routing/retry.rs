//! Retries, and the final answer to requests that are not retried.

use super::deduplication::{FirstExecution, Location};
use super::endpoint_table::EndpointIndex;
use super::events::{Action, AttemptStatus, Idempotency, Micros};
use super::request::PendingRequest;
use super::Router;

/// Retry tokens added per request: during a lasting failure retries add at most a fifth to the attempts.
const TOKENS_PER_REQUEST: f64 = 0.2;
/// Maximum number of saved retry tokens: enough for one brief failure of all attempts in flight.
const MAX_TOKENS: f64 = 20.0;
/// Minimum Retry-After time, and maximum of the random time added to it, in microseconds.
const RETRY_AFTER_US: Micros = 300_000;

/// Token bucket that limits retries to a fraction of the requests: after a large failure, unlimited retries
/// would multiply the load on the remaining endpoints.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(super) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Cost of a retry in tokens of the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryCost {
    /// No token: the attempt only looked up a cached copy.
    Free,
    OneToken,
}

impl Router {
    /// Returns whether another attempt is allowed after one that ended with `status`.
    pub(super) fn may_retry(
        &self,
        pending: &PendingRequest,
        status: AttemptStatus,
        retry_cost: RetryCost,
    ) -> bool {
        let transfer_time_us = self.transfer_times.mean_us(pending.request.class);
        let in_time = self.now as f64 + transfer_time_us < pending.deadline as f64;
        let max_attempts = self.settings.max_attempts.min(pending.max_attempts);
        let attempts_left = pending.attempts_sent < max_attempts && status != AttemptStatus::NeverSent;
        let affordable = retry_cost == RetryCost::Free || self.retry_budget.has_token();
        in_time && attempts_left && affordable
    }

    /// Returns the record of an attempt that is sent now.
    pub(super) fn execution_of(
        &self,
        target: EndpointIndex,
        source: Option<EndpointIndex>,
    ) -> FirstExecution {
        FirstExecution {
            sent_at: self.now,
            target: self.location(target),
            source: source.map(|source| self.location(source)),
        }
    }

    /// Returns whether a request may be sent to an endpoint; true if the request cannot have run before.
    pub(super) fn may_be_target(&self, pending: &PendingRequest, index: EndpointIndex) -> bool {
        pending.may_be_sent_to(self.now, self.location(index))
    }

    /// Returns whether a miss of a request may be filled from an endpoint; true if the request cannot have
    /// run before.
    pub(super) fn may_be_source(&self, pending: &PendingRequest, index: EndpointIndex) -> bool {
        pending.may_be_filled_from(self.now, self.location(index))
    }

    fn location(&self, index: EndpointIndex) -> Location {
        Location::from(&self.endpoints[index].endpoint)
    }

    pub(super) fn is_idempotent(&self, class: usize) -> bool {
        self.settings.classes.get(class).is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    /// Gives the final answer to a request that is not attempted again.
    pub(super) fn finish_without_response(&mut self, pending: PendingRequest, actions: &mut Vec<Action>) {
        let retry_after = self.draw_retry_after();
        let is_safe_to_repeat = pending.may_be_retried_by_client(self.now + retry_after);
        let request = pending.request.id;
        actions.push(if is_safe_to_repeat && self.now < pending.deadline {
            Action::Reject { request, retry_after }
        } else {
            Action::Fail { request }
        });
    }

    /// Returns a random Retry-After time; 0 if the settings give clients none.
    fn draw_retry_after(&mut self) -> Micros {
        let (least, spread) = self.constraints.retry_after().unwrap_or((RETRY_AFTER_US, RETRY_AFTER_US));
        let wait = least + (spread as f64 * self.random.next_fraction()) as Micros;
        if self.settings.retry_after {
            wait.min(self.settings.max_retry_after)
        } else {
            0
        }
    }
}
