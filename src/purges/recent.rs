//! Recent purges, kept for as long as older copies may remain somewhere.

#[cfg(test)]
mod tests;

use crate::routing::events::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Scope of a recent purge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    Object(u64),
    Group(u64),
}

/// Latest purges by scope, each kept until it expires.
#[derive(Debug, Default)]
pub struct RecentPurges {
    latest: BTreeMap<Scope, Micros>,
    expiries: VecDeque<(Micros, Scope)>,
    now: Micros,
    /// The bound on staleness while purges may be unknown.
    staleness_bound: Option<Micros>,
}

impl RecentPurges {
    /// Records a purge of an object, or of a group if `object` is `None`, at time `at`; it is kept until `until`.
    pub fn record(&mut self, object: Option<u64>, group: u64, at: Micros, until: Micros) {
        let scope = object.map_or(Scope::Group(group), Scope::Object);
        let latest = self.latest.entry(scope).or_insert(at);
        *latest = at.max(*latest);
        self.expiries.push_back((until, scope));
    }

    /// Sets the age above which all copies count as purged; `None`: all purges are known.
    pub fn set_staleness_bound(&mut self, age: Option<Micros>) {
        self.staleness_bound = age;
    }

    /// Sets the current time and drops expired purges.
    pub fn advance_clock(&mut self, now: Micros) {
        self.now = now;
        while let Some((_, scope)) = self.expiries.pop_front_if(|(until, _)| *until <= now) {
            let has_later_expiry = self.expiries.iter().any(|(_, other)| *other == scope);
            if !has_later_expiry {
                self.latest.remove(&scope);
            }
        }
    }

    /// Returns the time of the latest purge of an object or of its group, or the time of the staleness bound if that is
    /// later.
    pub fn latest_purge(&self, object: u64, group: u64) -> Option<Micros> {
        let by_object = self.latest.get(&Scope::Object(object));
        let by_group = self.latest.get(&Scope::Group(group));
        by_object.max(by_group).copied().max(self.staleness_bound.map(|age| self.now.saturating_sub(age)))
    }
}
