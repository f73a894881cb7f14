//! Combined effect of all purges in force.
//!
//! Effects merge by maximum, so that instances that receive overlapping purges in different orders, twice, or as a list
//! of those in force, reach the same state:
//!
//! - `a.merge(b) == b.merge(a)`, `a.merge(b.merge(c)) == a.merge(b).merge(c)`, `a.merge(a) == a`;
//! - applying purges in any order, with repetitions, gives the same state.
//!
//! Invariant: a bound is never laxer than the purges require. Capacity is limited; entries that exceed it only make the
//! bound stricter.

use super::marks::{Mark, MarkTable};
use super::purge::{parse_pattern, InvalidPurge, Purge, PurgeScope};
use crate::routing::events::Micros;
use globset::{GlobSet, GlobSetBuilder};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Pattern that matches every object.
const MATCH_ALL: &str = "*";

/// Number of entries that are tracked exactly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of objects, and of groups, with a mark of their own.
    pub objects: usize,
    /// Maximum number of tags with a mark of their own.
    pub tags: usize,
    /// Maximum number of patterns; above it the pattern that expires first counts as a purge of everything.
    pub patterns: usize,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity { objects: 100_000, tags: 50_000, patterns: 256 }
    }
}

/// Properties of a requested object that purges depend on.
#[derive(Clone, Copy, Debug)]
pub struct RequestedObject<'a> {
    /// The object.
    pub object: u64,
    /// Purge group of the object.
    pub group: u64,
    /// Name of the object, which patterns are matched against.
    pub name: &'a str,
    /// Tags of the object; `None`: unknown.
    pub tags: Option<&'a [Arc<str>]>,
}

/// Combined state of all purges in force.
#[derive(Clone, Debug)]
pub struct PurgesInForce {
    capacity: Capacity,
    objects: MarkTable<u64>,
    groups: MarkTable<u64>,
    tags: MarkTable<Arc<str>>,
    /// Merged mark of all tags, which applies to objects with unknown tags. May be too strict, never too lax.
    any_tag: Mark,
    patterns: BTreeMap<Arc<str>, Mark>,
    /// Compiled set of the patterns, in the order of `glob_marks`.
    globs: Arc<GlobSet>,
    glob_marks: Vec<Mark>,
    everything: Mark,
}

impl PartialEq for PurgesInForce {
    fn eq(&self, other: &Self) -> bool {
        self.objects == other.objects
            && self.groups == other.groups
            && self.tags == other.tags
            && self.any_tag == other.any_tag
            && self.patterns == other.patterns
            && self.everything == other.everything
    }
}

impl PurgesInForce {
    /// Creates a state without purges.
    pub fn new(capacity: Capacity) -> Self {
        PurgesInForce {
            capacity,
            objects: MarkTable::new(capacity.objects),
            groups: MarkTable::new(capacity.objects),
            tags: MarkTable::new(capacity.tags),
            any_tag: Mark::default(),
            patterns: BTreeMap::new(),
            globs: Arc::new(GlobSet::empty()),
            glob_marks: Vec::new(),
            everything: Mark::default(),
        }
    }

    /// Applies a purge. An invalid purge counts as a purge of everything, because its intended scope is unknown.
    ///
    /// # Errors
    /// The purge is invalid.
    pub fn apply(&mut self, purge: &Purge) -> Result<(), InvalidPurge> {
        let mark = Mark { void_before: purge.purged_at, expires_at: purge.expires_at };
        if let Err(error) = purge.check() {
            self.everything.merge(mark);
            return Err(error);
        }
        let mut has_pattern = false;
        for scope in &purge.scopes {
            match scope {
                PurgeScope::Object(object) => self.objects.add(*object, mark),
                PurgeScope::Group(group) => self.groups.add(*group, mark),
                PurgeScope::Tag(tag) => {
                    self.tags.add(tag.clone(), mark);
                    self.any_tag.merge(mark);
                }
                PurgeScope::Pattern(pattern) if &**pattern == MATCH_ALL => self.everything.merge(mark),
                PurgeScope::Pattern(pattern) => {
                    self.patterns.entry(pattern.clone()).or_default().merge(mark);
                    has_pattern = true;
                }
            }
        }
        if has_pattern {
            self.compile_patterns();
        }
        Ok(())
    }

    /// Adds an unreadable purge, which counts as a purge of everything until it expires.
    pub fn add_unreadable(&mut self, purged_at: Micros, expires_at: Micros) {
        self.everything.merge(Mark { void_before: purged_at, expires_at });
    }

    /// Merges the purges in force elsewhere, from a list after a gap or from disk.
    pub fn merge(&mut self, other: &PurgesInForce) {
        self.objects.merge(&other.objects);
        self.groups.merge(&other.groups);
        self.tags.merge(&other.tags);
        self.any_tag.merge(other.any_tag);
        self.everything.merge(other.everything);
        for (pattern, mark) in &other.patterns {
            self.patterns.entry(pattern.clone()).or_default().merge(*mark);
        }
        self.compile_patterns();
    }

    /// Compiles the patterns into one set. Patterns above the capacity, in order of their expiry, and patterns that
    /// cannot be compiled count as purges of everything.
    fn compile_patterns(&mut self) {
        self.limit_patterns();
        let mut globs = GlobSetBuilder::new();
        let mut marks = Vec::with_capacity(self.patterns.len());
        for (pattern, mark) in &self.patterns {
            match parse_pattern(pattern) {
                Ok(glob) => {
                    globs.add(glob);
                    marks.push(*mark);
                }
                Err(_) => self.everything.merge(*mark),
            }
        }
        match globs.build() {
            Ok(globs) => (self.globs, self.glob_marks) = (Arc::new(globs), marks),
            // The set is too large to compile.
            Err(_) => {
                marks.iter().for_each(|mark| self.everything.merge(*mark));
                (self.globs, self.glob_marks) = (Arc::new(GlobSet::empty()), Vec::new());
                self.patterns.clear();
            }
        }
    }

    fn limit_patterns(&mut self) {
        while self.patterns.len() > self.capacity.patterns {
            let by_expiry =
                self.patterns.iter().min_by_key(|(pattern, mark)| (mark.expires_at, (*pattern).clone()));
            let first = by_expiry.map(|(pattern, _)| pattern.clone());
            let Some(mark) = first.and_then(|pattern| self.patterns.remove(&pattern)) else { break };
            self.everything.merge(mark);
        }
    }

    /// Drops expired marks.
    pub fn expire(&mut self, now: Micros) {
        self.objects.expire(now);
        self.groups.expire(now);
        self.tags.expire(now);
        // Expired tags make `any_tag` too strict; it is recomputed here.
        self.any_tag = self.tags.merged(now).unwrap_or_default();
        if !self.everything.is_in_force(now) {
            self.everything = Mark::default();
        }
        let before = self.patterns.len();
        self.patterns.retain(|_, mark| mark.is_in_force(now));
        if self.patterns.len() != before {
            self.compile_patterns();
        }
    }

    /// Returns the time before which copies of an object are void; `None`: no purge covers it. The cost is one lookup
    /// for the object, its group and each of its tags, and one pass over its name.
    pub fn void_before(&self, requested: &RequestedObject, now: Micros) -> Option<Micros> {
        let active_mark = |mark: &Mark| mark.is_in_force(now).then_some(mark.void_before);
        let by_object = self.objects.get(&requested.object, now);
        let by_group = self.groups.get(&requested.group, now);
        let by_tag = match requested.tags {
            Some(tags) => tags.iter().filter_map(|tag| self.tags.get(tag, now)).max(),
            // Unknown tags may be any tags, so the strictest mark applies.
            None => active_mark(&self.any_tag),
        };
        let by_pattern = self.pattern_bound(requested.name, now);
        [by_object, by_group, by_tag, by_pattern, active_mark(&self.everything)].into_iter().flatten().max()
    }

    fn pattern_bound(&self, name: &str, now: Micros) -> Option<Micros> {
        if self.glob_marks.is_empty() {
            return None;
        }
        let matches = self.globs.matches(name).into_iter();
        let marks = matches.filter_map(|index| self.glob_marks.get(index));
        marks.filter(|mark| mark.is_in_force(now)).map(|mark| mark.void_before).max()
    }

    /// Returns the number of marks of objects, groups, tags and patterns.
    pub fn counts(&self) -> [usize; 4] {
        [self.objects.exact_len(), self.groups.exact_len(), self.tags.exact_len(), self.patterns.len()]
    }
}
