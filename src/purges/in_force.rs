//! What all purges that are in force ask for together.
//!
//! Effects merge by maximum, so that instances that hear overlapping purges in different orders, twice, or through a list
//! of what is in force, end in the same state:
//!
//! - `a.merge(b) == b.merge(a)`, `a.merge(b.merge(c)) == a.merge(b).merge(c)`, `a.merge(a) == a`;
//! - applying purges in any order, any of them repeatedly, gives one state.
//!
//! What must never happen: a bound that is laxer than the purges ask for. Capacity is bounded; what finds none only ever
//! makes the bound stricter.

use super::marks::{Mark, MarkTable};
use super::purge::{parse_pattern, InvalidPurge, Purge, PurgeScope};
use crate::routing::events::Micros;
use globset::{GlobSet, GlobSetBuilder};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Covers everything.
const MATCH_ALL: &str = "*";

/// How much is kept exactly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Objects, and as many groups, that have a mark of their own.
    pub objects: usize,
    /// Tags that do.
    pub tags: usize,
    /// Patterns; beyond, the one that is over first counts as everything.
    pub patterns: usize,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity { objects: 100_000, tags: 50_000, patterns: 256 }
    }
}

/// What a request is for, as far as purges go.
#[derive(Clone, Copy, Debug)]
pub struct RequestedObject<'a> {
    /// The object.
    pub object: u64,
    /// Its group.
    pub group: u64,
    /// Its name, as patterns see it.
    pub name: &'a str,
    /// Its tags; `None`: not known.
    pub tags: Option<&'a [Arc<str>]>,
}

/// All purges in force.
#[derive(Clone, Debug)]
pub struct InForce {
    capacity: Capacity,
    objects: MarkTable<u64>,
    groups: MarkTable<u64>,
    tags: MarkTable<Arc<str>>,
    /// The latest mark of any tag: what holds for an object whose tags are not known. Only ever too strict.
    any_tag: Mark,
    patterns: BTreeMap<Arc<str>, Mark>,
    /// The patterns in their order, ready to be matched all at once.
    globs: Arc<GlobSet>,
    glob_marks: Vec<Mark>,
    everything: Mark,
}

impl PartialEq for InForce {
    fn eq(&self, other: &Self) -> bool {
        self.objects == other.objects
            && self.groups == other.groups
            && self.tags == other.tags
            && self.any_tag == other.any_tag
            && self.patterns == other.patterns
            && self.everything == other.everything
    }
}

impl InForce {
    /// None yet.
    pub fn new(capacity: Capacity) -> Self {
        InForce {
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

    /// Takes a purge. One that can't be used counts for everything: what it meant is not known.
    ///
    /// # Errors
    /// It can't be used.
    pub fn apply(&mut self, purge: &Purge) -> Result<(), InvalidPurge> {
        let mark = Mark { when: purge.when, until: purge.until };
        if let Err(error) = purge.check() {
            self.everything.merge(mark);
            return Err(error);
        }
        let mut has_pattern = false;
        for cover in &purge.scopes {
            match cover {
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

    /// Counts an unreadable purge: strict for all until it is over.
    pub fn unreadable(&mut self, when: Micros, until: Micros) {
        self.everything.merge(Mark { when, until });
    }

    /// Takes all that is in force elsewhere: a list after a gap, or one from disk.
    pub fn merge(&mut self, other: &InForce) {
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

    /// Makes the patterns ready to be matched all at once. Beyond their capacity the one that is over first counts as
    /// everything, and so does what can't be matched.
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
            // Too large a set to match.
            Err(_) => {
                marks.iter().for_each(|mark| self.everything.merge(*mark));
                (self.globs, self.glob_marks) = (Arc::new(GlobSet::empty()), Vec::new());
                self.patterns.clear();
            }
        }
    }

    fn limit_patterns(&mut self) {
        while self.patterns.len() > self.capacity.patterns {
            let by_end = self.patterns.iter().min_by_key(|(pattern, mark)| (mark.until, (*pattern).clone()));
            let first = by_end.map(|(pattern, _)| pattern.clone());
            let Some(mark) = first.and_then(|pattern| self.patterns.remove(&pattern)) else { break };
            self.everything.merge(mark);
        }
    }

    /// Drops what is over.
    pub fn expire(&mut self, now: Micros) {
        self.objects.expire(now);
        self.groups.expire(now);
        self.tags.expire(now);
        // Between changes of the tags it may be too strict; here it is made exact again.
        self.any_tag = self.tags.latest(now).unwrap_or_default();
        if !self.everything.holds(now) {
            self.everything = Mark::default();
        }
        let before = self.patterns.len();
        self.patterns.retain(|_, mark| mark.holds(now));
        if self.patterns.len() != before {
            self.compile_patterns();
        }
    }

    /// The moment from which on a copy must have been made to be served; `None`: no purge covers it. The cost is
    /// that of a look-up for the object, its group and each of its tags, and of one pass over its name.
    pub fn void_before(&self, requested: &RequestedObject, now: Micros) -> Option<Micros> {
        let in_force = |mark: &Mark| mark.holds(now).then_some(mark.when);
        let by_object = self.objects.get(&requested.object, now);
        let by_group = self.groups.get(&requested.group, now);
        let by_tag = match requested.tags {
            Some(tags) => tags.iter().filter_map(|tag| self.tags.get(tag, now)).max(),
            // Not known is strict, never lax.
            None => in_force(&self.any_tag),
        };
        let by_pattern = self.pattern_bound(requested.name, now);
        [by_object, by_group, by_tag, by_pattern, in_force(&self.everything)].into_iter().flatten().max()
    }

    fn pattern_bound(&self, name: &str, now: Micros) -> Option<Micros> {
        if self.glob_marks.is_empty() {
            return None;
        }
        let matches = self.globs.matches(name).into_iter();
        let marks = matches.filter_map(|place| self.glob_marks.get(place));
        marks.filter(|mark| mark.holds(now)).map(|mark| mark.when).max()
    }

    /// How many marks there are: of objects, groups, tags and patterns.
    pub fn counts(&self) -> [usize; 4] {
        [self.objects.exact_len(), self.groups.exact_len(), self.tags.exact_len(), self.patterns.len()]
    }
}
