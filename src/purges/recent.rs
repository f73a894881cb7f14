//! The purges of late, for as long as copies older than them may linger somewhere.

#[cfg(test)]
mod tests;

use crate::routing::events::Micros;
use std::collections::{BTreeMap, VecDeque};

/// What was purged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    Object(u64),
    Group(u64),
}

/// Purges by what they are about, each until its time is over.
#[derive(Debug, Default)]
pub struct Recent {
    latest: BTreeMap<Scope, Micros>,
    ends: VecDeque<(Micros, Scope)>,
    now: Micros,
    /// The bound on staleness while purges may be unknown.
    bound: Option<Micros>,
}

impl Recent {
    /// A purge of an object, or without one of its group, as of a moment; remembered until `until`.
    pub fn told(&mut self, object: Option<u64>, group: u64, at: Micros, until: Micros) {
        let scope = object.map_or(Scope::Group(group), Scope::Object);
        let latest = self.latest.entry(scope).or_insert(at);
        *latest = at.max(*latest);
        self.ends.push_back((until, scope));
    }

    /// Until told otherwise whatever is older than this counts as purged; `None`: all purges are known.
    pub fn bound(&mut self, age: Option<Micros>) {
        self.bound = age;
    }

    /// Forgets what has ended by now.
    pub fn pass_time(&mut self, now: Micros) {
        self.now = now;
        while let Some((_, scope)) = self.ends.pop_front_if(|(until, _)| *until <= now) {
            let has_later_end = self.ends.iter().any(|(_, other)| *other == scope);
            if !has_later_end {
                self.latest.remove(&scope);
            }
        }
    }

    /// The latest purge of an object or of its group, or the moment from which on that is not known.
    pub fn at(&self, object: u64, group: u64) -> Option<Micros> {
        let by_object = self.latest.get(&Scope::Object(object));
        let by_group = self.latest.get(&Scope::Group(group));
        by_object.max(by_group).copied().max(self.bound.map(|age| self.now.saturating_sub(age)))
    }
}
