//! Bounded tables of marks: exact for up to `capacity` keys, and by hash bucket for the others.
//!
//! Marks merge by maximum, so that purges received in different orders, twice, or as a list of those in force, give the
//! same state. Marks above the capacity are merged into hash buckets shared by many keys, which can only make the bound
//! stricter.

use crate::routing::events::Micros;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of hash buckets for keys above the capacity; 16 bytes each.
const BUCKETS: usize = 1024;

/// Copies made before `void_before` are void, until `expires_at`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Mark {
    /// Copies made before this time are void.
    pub void_before: Micros,
    /// Time at which the mark expires.
    pub expires_at: Micros,
}

impl Mark {
    /// Merges another mark by taking the maximum of each time.
    pub fn merge(&mut self, other: Mark) {
        self.void_before = self.void_before.max(other.void_before);
        self.expires_at = self.expires_at.max(other.expires_at);
    }

    /// Returns whether the mark is in force.
    pub fn is_in_force(&self, now: Micros) -> bool {
        now < self.expires_at
    }
}

/// Key of a mark.
pub(super) trait MarkKey: Clone + Ord + Hash {
    /// Returns the index of the key's hash bucket.
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
    /// The keys of `exact` by expiry, to find those that are expired or must be moved to a bucket.
    by_expiry: BTreeSet<(Micros, K)>,
    capacity: usize,
    /// Hash buckets; empty until the capacity is first exceeded.
    buckets: Vec<Mark>,
}

impl<K: MarkKey> MarkTable<K> {
    /// Creates an empty table that tracks up to `capacity` keys exactly.
    pub fn new(capacity: usize) -> Self {
        MarkTable { exact: FxHashMap::default(), by_expiry: BTreeSet::new(), capacity, buckets: Vec::new() }
    }

    /// Returns the number of keys that are tracked exactly.
    pub fn exact_len(&self) -> usize {
        self.exact.len()
    }

    /// Adds a mark.
    pub fn add(&mut self, key: K, mark: Mark) {
        let merged = self.exact.entry(key.clone()).or_default();
        let old_expiry = merged.expires_at;
        merged.merge(mark);
        let new_expiry = merged.expires_at;
        if old_expiry != new_expiry {
            self.by_expiry.remove(&(old_expiry, key.clone()));
            self.by_expiry.insert((new_expiry, key));
        }
        if self.exact.len() > self.capacity {
            self.move_earliest_expiry_to_bucket();
        }
    }

    /// Moves the mark that expires first to its hash bucket.
    fn move_earliest_expiry_to_bucket(&mut self) {
        let Some((_, first)) = self.by_expiry.pop_first() else { return };
        if let Some(mark) = self.exact.remove(&first) {
            self.add_to_bucket(first.bucket(), mark);
        }
    }

    fn add_to_bucket(&mut self, bucket: usize, mark: Mark) {
        self.buckets.resize(BUCKETS, Mark::default());
        self.buckets[bucket].merge(mark);
    }

    /// Returns the time before which copies of a key are void; `None`: no mark in force covers it.
    pub fn get(&self, key: &K, now: Micros) -> Option<Micros> {
        let exact = self.exact.get(key).copied();
        let bucket = self.buckets.get(key.bucket()).copied();
        exact
            .into_iter()
            .chain(bucket)
            .filter(|mark| mark.is_in_force(now))
            .map(|mark| mark.void_before)
            .max()
    }

    /// Returns all marks in force, merged. The cost grows with their number, so the caller caches the result.
    pub fn merged(&self, now: Micros) -> Option<Mark> {
        let all = self.exact.values().chain(&self.buckets).filter(|mark| mark.is_in_force(now));
        all.copied().reduce(|mut latest, mark| {
            latest.merge(mark);
            latest
        })
    }

    /// Merges all marks of another table.
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

    /// Drops expired marks.
    pub fn expire(&mut self, now: Micros) {
        while self.by_expiry.first().is_some_and(|(expires_at, _)| *expires_at <= now) {
            if let Some((_, key)) = self.by_expiry.pop_first() {
                self.exact.remove(&key);
            }
        }
        if self.buckets.iter().all(|mark| !mark.is_in_force(now)) {
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
