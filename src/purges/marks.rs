//! Bounded tables of marks: exact for as many keys as there is capacity, and by hash for the rest.
//!
//! Marks merge by maximum, so that purges that are heard in different orders, twice, or through a list of what is in
//! force, end in the same state. What finds no capacity goes into buckets that stand for many keys each, and so only ever
//! makes the bound stricter.

use crate::routing::events::Micros;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Buckets for what finds no place of its own; 16 bytes each.
const BUCKETS: usize = 1024;

/// Copies made before `when` are void, until `until`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Mark {
    /// Copies made before it are void.
    pub when: Micros,
    /// Nothing of it holds any more.
    pub until: Micros,
}

impl Mark {
    /// Merges another one by the maximum of each moment.
    pub fn merge(&mut self, other: Mark) {
        self.when = self.when.max(other.when);
        self.until = self.until.max(other.until);
    }

    /// Whether it is in force.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.until
    }
}

/// What can be a key of marks.
pub(super) trait MarkKey: Clone + Ord + Hash {
    /// The bucket that stands for it.
    fn bucket(&self) -> usize;
}

impl MarkKey for u64 {
    fn bucket(&self) -> usize {
        xxh3_64_with_seed(&self.to_le_bytes(), 0) as usize % BUCKETS
    }
}

impl MarkKey for Arc<str> {
    fn bucket(&self) -> usize {
        xxh3_64_with_seed(self.as_bytes(), 0) as usize % BUCKETS
    }
}

/// Marks by key.
#[derive(Clone, Debug)]
pub(super) struct MarkTable<K> {
    exact: FxHashMap<K, Mark>,
    /// The same by their ends, so that those that are over, or must make room, are found at once.
    ends: BTreeSet<(Micros, K)>,
    capacity: usize,
    /// Filled only once there was no capacity.
    buckets: Vec<Mark>,
}

impl<K: MarkKey> MarkTable<K> {
    /// An empty one with a place of its own for so many keys.
    pub fn new(capacity: usize) -> Self {
        MarkTable { exact: FxHashMap::default(), ends: BTreeSet::new(), capacity, buckets: Vec::new() }
    }

    /// How many keys have a place of their own.
    pub fn exact_len(&self) -> usize {
        self.exact.len()
    }

    /// Adds a mark.
    pub fn add(&mut self, key: K, mark: Mark) {
        let kept = self.exact.entry(key.clone()).or_default();
        let old_end = kept.until;
        kept.merge(mark);
        let new_end = kept.until;
        if old_end != new_end {
            self.ends.remove(&(old_end, key.clone()));
            self.ends.insert((new_end, key));
        }
        if self.exact.len() > self.capacity {
            self.move_first_to_bucket();
        }
    }

    /// The one that is over first makes room; its bucket stands for it, and for more.
    fn move_first_to_bucket(&mut self) {
        let Some((_, first)) = self.ends.pop_first() else { return };
        if let Some(mark) = self.exact.remove(&first) {
            self.add_to_bucket(first.bucket(), mark);
        }
    }

    fn add_to_bucket(&mut self, bucket: usize, mark: Mark) {
        self.buckets.resize(BUCKETS, Mark::default());
        self.buckets[bucket].merge(mark);
    }

    /// Copies of a key made before this are void; `None`: nothing in force covers it.
    pub fn get(&self, key: &K, now: Micros) -> Option<Micros> {
        let exact = self.exact.get(key).copied();
        let bucket = self.buckets.get(key.bucket()).copied();
        exact.into_iter().chain(bucket).filter(|mark| mark.holds(now)).map(|mark| mark.when).max()
    }

    /// The latest of all that hold. Grows with their number: kept by the owner between changes.
    pub fn latest(&self, now: Micros) -> Option<Mark> {
        let all = self.exact.values().chain(&self.buckets).filter(|mark| mark.holds(now));
        all.copied().reduce(|mut latest, mark| {
            latest.merge(mark);
            latest
        })
    }

    /// Takes all marks of another table.
    pub fn merge(&mut self, other: &Self) {
        for (key, mark) in &other.exact {
            self.add(key.clone(), *mark);
        }
        for (bucket, mark) in other.buckets.iter().enumerate() {
            if *mark != Mark::default() {
                self.add_to_bucket(bucket, *mark);
            }
        }
    }

    /// Drops what is over.
    pub fn expire(&mut self, now: Micros) {
        while self.ends.first().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, key)) = self.ends.pop_first() {
                self.exact.remove(&key);
            }
        }
        if self.buckets.iter().all(|mark| !mark.holds(now)) {
            self.buckets = Vec::new();
        }
    }

    fn has_filled_bucket(&self) -> bool {
        self.buckets.iter().any(|mark| *mark != Mark::default())
    }
}

impl<K: MarkKey> PartialEq for MarkTable<K> {
    fn eq(&self, other: &Self) -> bool {
        let same_buckets =
            self.buckets == other.buckets || !self.has_filled_bucket() && !other.has_filled_bucket();
        self.exact == other.exact && same_buckets
    }
}
