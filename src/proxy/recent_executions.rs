//! Requests that have ended and may have run. A client that has left may send the same id again on a new connection; what
//! its class allows counts from the first time. The module does no I/O and reads no clock.

#[cfg(test)]
mod tests;

use crate::routing::deduplication::FirstExecution;
use crate::routing::events::Micros;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Time for which an id is kept, in microseconds: longer than clients and deduplication windows last.
const RETENTION: Micros = 30_000_000;
/// Maximum number of ids; beyond it the oldest is forgotten.
const MAX_IDS: usize = 8_192;

/// First executions by the number that the id of their request stands for.
#[derive(Default)]
pub(super) struct RecentExecutions {
    by_id: FxHashMap<u64, FirstExecution>,
    /// End times, oldest first.
    ended: VecDeque<(Micros, u64)>,
}

impl RecentExecutions {
    /// Records a request that has ended.
    pub(super) fn add(&mut self, now: Micros, id: u64, first: FirstExecution) {
        self.expire(now);
        if self.by_id.contains_key(&id) {
            return;
        }
        if self.ended.len() >= MAX_IDS {
            self.forget_oldest();
        }
        self.by_id.insert(id, first);
        self.ended.push_back((now, id));
    }

    /// Returns the first execution of a request with this id.
    pub(super) fn find(&self, id: u64) -> Option<&FirstExecution> {
        self.by_id.get(&id)
    }

    /// Iterates over the first executions, those of requests that ended last first.
    pub(super) fn latest(&self) -> impl Iterator<Item = (u64, &FirstExecution)> {
        self.ended.iter().rev().filter_map(|(_, id)| Some((*id, self.by_id.get(id)?)))
    }

    fn expire(&mut self, now: Micros) {
        while self.ended.front().is_some_and(|(ended_at, _)| now.saturating_sub(*ended_at) >= RETENTION) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.ended.pop_front() {
            self.by_id.remove(&id);
        }
    }
}
