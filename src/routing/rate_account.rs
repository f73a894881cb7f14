//! Rate limit for one endpoint: records the work sent in a sliding window and compares it with a budget.

use super::events::Micros;
use super::random::hash_fraction;
use std::collections::VecDeque;

/// Minimum work recorded for one request, in microseconds: it bounds the length of an account.
const MIN_WORK_US: f64 = 1_000.0;
/// Maximum number of requests in one account; more are admitted only after the oldest have left the window.
const MAX_ENTRIES: usize = 4_096;

/// Work that may be sent in each window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget {
    /// Length of the window.
    pub(super) window: Micros,
    /// Work in one window, in microseconds of transfer time.
    pub(super) work_us: f64,
}

impl Budget {
    /// Returns the time in which the budget accrues to the given work, in microseconds.
    fn accrual_time(&self, work_us: f64) -> Micros {
        (work_us / self.work_us * self.window as f64) as Micros
    }
}

/// Work of one request and the time at which it was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    at: Micros,
    work_us: f64,
}

/// Work sent in one sliding window. Work that was recorded but did not take place can be refunded.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RateAccount {
    entries: VecDeque<Entry>,
    /// Total work of all entries, including those that have left the window.
    total_us: f64,
    /// The latest entry, even if it has left the window.
    last: Option<Entry>,
}

impl RateAccount {
    /// Returns whether work may be sent now. If the budget of a window is less than one request, a request is
    /// due whenever the budget has accrued to its work, and the first one at `first_due`, which differs
    /// between instances so that they do not all send at once.
    pub(super) fn has_capacity(&self, now: Micros, budget: Budget, work_us: f64, first_due: Micros) -> bool {
        let work_us = work_us.max(MIN_WORK_US);
        if budget.work_us <= 0.0 || self.entries.len() >= MAX_ENTRIES {
            return false;
        }
        if work_us > budget.work_us {
            return now >= self.next_due(budget, work_us, first_due);
        }
        // Only the oldest entries have left the window, so they are subtracted from the total.
        let since = now.saturating_sub(budget.window);
        let expired = self.entries.iter().take_while(|entry| entry.at < since);
        let expired_us: f64 = expired.map(|entry| entry.work_us).sum();
        self.total_us - expired_us + work_us <= budget.work_us
    }

    /// Returns whether work may be sent now, as [`RateAccount::has_capacity`] does, to an endpoint that fails
    /// when overloaded. `phase`, from 0 to 1, places an instance's first request within its interval after
    /// `since`.
    ///
    /// If requests that became due while there was no demand were sent at once, all instances would send them
    /// in the first burst. An overdue request therefore waits for a randomly chosen half window; half windows
    /// are chosen at the rate at which requests become due.
    pub(super) fn has_paced_capacity(
        &self,
        now: Micros,
        budget: Budget,
        work_us: f64,
        since: Micros,
        phase: f64,
    ) -> bool {
        let work_us = work_us.max(MIN_WORK_US);
        let turn = budget.accrual_time(work_us);
        let first_due = since.saturating_add((phase * turn as f64) as Micros);
        if !self.has_capacity(now, budget, work_us, first_due) {
            return false;
        }
        if work_us <= budget.work_us {
            return true;
        }
        let half_window = (budget.window / 2).max(1);
        let due = self.next_due(budget, work_us, first_due);
        let draw = hash_fraction(now / half_window, phase.to_bits());
        now < due.saturating_add(half_window) || draw < half_window as f64 / turn as f64
    }

    /// Records work that is sent now.
    pub(super) fn record(&mut self, now: Micros, window: Micros, work_us: f64) {
        let since = now.saturating_sub(window);
        while let Some(expired) = self.entries.front().copied().filter(|entry| entry.at < since) {
            self.entries.pop_front();
            self.total_us -= expired.work_us;
        }
        if self.entries.is_empty() {
            self.total_us = 0.0; // prevents rounding errors from accumulating
        }
        let entry = Entry { at: now, work_us: work_us.max(MIN_WORK_US) };
        self.total_us += entry.work_us;
        self.entries.push_back(entry);
        self.last = Some(entry);
    }

    /// Refunds the work recorded at a given time: it did not reach its endpoint.
    pub(super) fn refund(&mut self, recorded_at: Micros) {
        let found = self.entries.binary_search_by_key(&recorded_at, |entry| entry.at);
        if let Some(entry) = found.ok().and_then(|position| self.entries.remove(position)) {
            self.total_us -= entry.work_us;
        }
    }

    /// Returns the time at which a request is due whose work exceeds the budget of one window.
    fn next_due(&self, budget: Budget, work_us: f64, first_due: Micros) -> Micros {
        self.last
            .map_or(first_due, |last| last.at.saturating_add(budget.accrual_time(last.work_us.max(work_us))))
    }
}
