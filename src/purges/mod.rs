//! Purges in force: what a purge covers, and from which moment on a copy must have been made to be served.
//!
//! A core: no clock, no input, no output. Effects merge by maximum, so that instances that hear overlapping purges in
//! different orders, twice, or through a list of what is in force, end in the same state:
//!
//! - `a.merge(b) == b.merge(a)`, `a.merge(b.merge(c)) == a.merge(b).merge(c)`, `a.merge(a) == a`;
//! - applying purges in any order, any of them repeatedly, gives one state.
//!
//! What must never happen: a bound that is laxer than the purges ask for. Room is bounded; what finds none goes into
//! buckets that stand for many objects or tags each, or for everything, and so only ever makes the bound stricter.

pub mod cut_off;
pub mod log;
pub mod recent;
#[cfg(test)]
mod tests;

use crate::routing::events::Micros;
use globset::{Glob, GlobSet, GlobSetBuilder};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hash;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Buckets for what finds no room by itself; 16 bytes each.
const BUCKETS: usize = 1024;
/// Longest tag and longest pattern, in bytes.
const LONGEST: usize = 256;
/// Most covers of one purge.
pub const MOST_COVERS: usize = 10_000;

/// What one part of a purge covers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Cover {
    /// One object.
    Object(u64),
    /// All objects of a group.
    Group(u64),
    /// All objects that have a tag.
    Tag(Arc<str>),
    /// All objects whose name fits a pattern; `*` is everything.
    Pattern(Arc<str>),
}

/// One purge. Moments are of the origin's clock, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Purge {
    /// Its number: its place in the one order.
    pub number: u64,
    /// Copies made before this moment are void.
    pub when: Micros,
    /// It is in force until then; no copy from before it is left anywhere after that.
    pub until: Micros,
    /// What it covers.
    pub covers: Vec<Cover>,
}

/// Why a purge can't be used. It is refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// It covers nothing, or too much.
    Covers(usize),
    /// A tag is empty, or too long.
    Tag(String),
    /// A pattern can't be read, and why.
    Pattern(String, String),
    /// It ends before it begins.
    Term,
}

impl std::fmt::Display for Unusable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unusable::Covers(n) => write!(f, "it covers {n} things; 1 to {MOST_COVERS} may be"),
            Unusable::Tag(tag) => write!(f, "'{tag}' can't be a tag: 1 to {LONGEST} bytes"),
            Unusable::Pattern(pattern, why) => write!(f, "pattern '{pattern}' can't be used: {why}"),
            Unusable::Term => f.write_str("it ends before it begins"),
        }
    }
}

impl std::error::Error for Unusable {}

impl Purge {
    /// Sees that all of it can be used.
    pub fn check(&self) -> Result<(), Unusable> {
        if !(1..=MOST_COVERS).contains(&self.covers.len()) {
            return Err(Unusable::Covers(self.covers.len()));
        }
        if self.until <= self.when {
            return Err(Unusable::Term);
        }
        for cover in &self.covers {
            match cover {
                Cover::Tag(tag) if !(1..=LONGEST).contains(&tag.len()) => {
                    return Err(Unusable::Tag(tag.chars().take(40).collect()));
                }
                Cover::Pattern(pattern) => drop(glob(pattern)?),
                _ => {}
            }
        }
        Ok(())
    }
}

fn glob(pattern: &str) -> Result<Glob, Unusable> {
    let bad = |why: String| Unusable::Pattern(pattern.chars().take(40).collect(), why);
    if !(1..=LONGEST).contains(&pattern.len()) {
        return Err(bad(format!("1 to {LONGEST} bytes may be")));
    }
    Glob::new(pattern).map_err(|e| bad(e.kind().to_string()))
}

/// Copies made before `when` are void, until `until`. Merges by maximum of each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mark {
    /// Copies made before it are void.
    pub when: Micros,
    /// Nothing of it holds any more.
    pub until: Micros,
}

impl Mark {
    fn join(&mut self, other: Mark) {
        (self.when, self.until) = (self.when.max(other.when), self.until.max(other.until));
    }

    fn holds(&self, now: Micros) -> bool {
        now < self.until
    }
}

/// Marks by key, exact as far as there is room; the rest in buckets by hash.
#[derive(Clone, Debug)]
struct Marks<K> {
    exact: FxHashMap<K, Mark>,
    /// The same by their ends, so that those that are over, or must make room, are found at once.
    ends: BTreeSet<(Micros, K)>,
    most: usize,
    /// Filled only once there was no room.
    buckets: Vec<Mark>,
}

/// What can be a key of marks.
trait Key: Clone + Ord + Hash {
    fn bucket(&self) -> usize;
}

impl Key for u64 {
    fn bucket(&self) -> usize {
        xxh3_64_with_seed(&self.to_le_bytes(), 0) as usize % BUCKETS
    }
}

impl Key for Arc<str> {
    fn bucket(&self) -> usize {
        xxh3_64_with_seed(self.as_bytes(), 0) as usize % BUCKETS
    }
}

impl<K: Key> Marks<K> {
    fn new(most: usize) -> Self {
        Marks { exact: FxHashMap::default(), ends: BTreeSet::new(), most, buckets: Vec::new() }
    }

    fn add(&mut self, key: K, mark: Mark) {
        let kept = self.exact.entry(key.clone()).or_default();
        let old = kept.until;
        kept.join(mark);
        let new = kept.until;
        if old != new {
            self.ends.remove(&(old, key.clone()));
            self.ends.insert((new, key));
        }
        if self.exact.len() > self.most {
            // The one that is over first makes room; its bucket stands for it, and for more.
            if let Some((_, first)) = self.ends.pop_first() {
                if let Some(mark) = self.exact.remove(&first) {
                    self.bucket(first.bucket(), mark);
                }
            }
        }
    }

    fn bucket(&mut self, at: usize, mark: Mark) {
        self.buckets.resize(BUCKETS, Mark::default());
        self.buckets[at].join(mark);
    }

    fn get(&self, key: &K, now: Micros) -> Option<Micros> {
        let exact = self.exact.get(key).copied();
        let bucket = self.buckets.get(key.bucket()).copied();
        exact.into_iter().chain(bucket).filter(|m| m.holds(now)).map(|m| m.when).max()
    }

    /// The latest of all that hold. Grows with their number: kept by the owner between changes.
    fn latest(&self, now: Micros) -> Option<Mark> {
        let all = self.exact.values().chain(&self.buckets).filter(|m| m.holds(now));
        all.copied().reduce(|mut a, b| {
            a.join(b);
            a
        })
    }

    fn merge(&mut self, other: &Self) {
        for (key, mark) in &other.exact {
            self.add(key.clone(), *mark);
        }
        for (at, mark) in other.buckets.iter().enumerate() {
            if *mark != Mark::default() {
                self.bucket(at, *mark);
            }
        }
    }

    fn expire(&mut self, now: Micros) {
        while self.ends.first().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, key)) = self.ends.pop_first() {
                self.exact.remove(&key);
            }
        }
        if self.buckets.iter().all(|m| !m.holds(now)) {
            self.buckets = Vec::new();
        }
    }
}

impl<K: Key> PartialEq for Marks<K> {
    fn eq(&self, other: &Self) -> bool {
        let filled = |m: &Self| m.buckets.iter().any(|b| *b != Mark::default());
        self.exact == other.exact && (self.buckets == other.buckets || !filled(self) && !filled(other))
    }
}

/// How much room there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Objects, and as many groups, that have a mark of their own.
    pub objects: usize,
    /// Tags that do.
    pub tags: usize,
    /// Patterns; beyond, the one that is over first counts as everything.
    pub patterns: usize,
}

impl Default for Room {
    fn default() -> Self {
        Room { objects: 100_000, tags: 50_000, patterns: 256 }
    }
}

/// What a request is for, as far as purges go.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
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
    room: Room,
    objects: Marks<u64>,
    groups: Marks<u64>,
    tags: Marks<Arc<str>>,
    /// The latest mark of any tag: what holds for an object whose tags are not known. Only ever too strict.
    any_tag: Mark,
    patterns: BTreeMap<Arc<str>, Mark>,
    /// The patterns in their order, ready to be matched all at once.
    globs: Arc<GlobSet>,
    marks: Vec<Mark>,
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
    /// None yet, with so much room.
    pub fn new(room: Room) -> Self {
        InForce {
            room,
            objects: Marks::new(room.objects),
            groups: Marks::new(room.objects),
            tags: Marks::new(room.tags),
            any_tag: Mark::default(),
            patterns: BTreeMap::new(),
            globs: Arc::new(GlobSet::empty()),
            marks: Vec::new(),
            everything: Mark::default(),
        }
    }

    /// Takes a purge. One that can't be used counts for everything: what it meant is not known.
    pub fn apply(&mut self, purge: &Purge) -> Result<(), Unusable> {
        let mark = Mark { when: purge.when, until: purge.until };
        if let Err(e) = purge.check() {
            self.everything.join(mark);
            return Err(e);
        }
        let mut matched = false;
        for cover in &purge.covers {
            match cover {
                Cover::Object(object) => self.objects.add(*object, mark),
                Cover::Group(group) => self.groups.add(*group, mark),
                Cover::Tag(tag) => {
                    self.tags.add(tag.clone(), mark);
                    self.any_tag.join(mark);
                }
                Cover::Pattern(pattern) if &**pattern == "*" => self.everything.join(mark),
                Cover::Pattern(pattern) => {
                    self.patterns.entry(pattern.clone()).or_default().join(mark);
                    matched = true;
                }
            }
        }
        if matched {
            self.fit_patterns();
        }
        Ok(())
    }

    /// Counts an unreadable purge: strict for all until it is over.
    pub fn unreadable(&mut self, when: Micros, until: Micros) {
        self.everything.join(Mark { when, until });
    }

    /// Takes all that is in force elsewhere: a list after a gap, or one from disk.
    pub fn merge(&mut self, other: &InForce) {
        self.objects.merge(&other.objects);
        self.groups.merge(&other.groups);
        self.tags.merge(&other.tags);
        self.any_tag.join(other.any_tag);
        self.everything.join(other.everything);
        for (pattern, mark) in &other.patterns {
            self.patterns.entry(pattern.clone()).or_default().join(*mark);
        }
        self.fit_patterns();
    }

    /// Sees to the room of patterns, and makes them ready to be matched.
    fn fit_patterns(&mut self) {
        while self.patterns.len() > self.room.patterns {
            let first =
                self.patterns.iter().min_by_key(|(p, m)| (m.until, (*p).clone())).map(|f| f.0.clone());
            let Some(mark) = first.and_then(|p| self.patterns.remove(&p)) else { break };
            self.everything.join(mark);
        }
        let mut set = GlobSetBuilder::new();
        let mut marks = Vec::with_capacity(self.patterns.len());
        for (pattern, mark) in &self.patterns {
            match glob(pattern) {
                Ok(glob) => {
                    set.add(glob);
                    marks.push(*mark);
                }
                Err(_) => self.everything.join(*mark),
            }
        }
        match set.build() {
            Ok(globs) => (self.globs, self.marks) = (Arc::new(globs), marks),
            // Too large a set to match: all of it counts as everything.
            Err(_) => {
                marks.iter().for_each(|m| self.everything.join(*m));
                (self.globs, self.marks) = (Arc::new(GlobSet::empty()), Vec::new());
                self.patterns.clear();
            }
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
        self.patterns.retain(|_, m| m.holds(now));
        if self.patterns.len() != before {
            self.fit_patterns();
        }
    }

    /// The moment from which on a copy must have been made to be served; `None`: no purge covers it. The cost is
    /// that of a look-up for the object, its group and each of its tags, and of one pass over its name.
    pub fn void_before(&self, wanted: &Wanted, now: Micros) -> Option<Micros> {
        let held = |m: &Mark| m.holds(now).then_some(m.when);
        let tags = match wanted.tags {
            Some(tags) => tags.iter().filter_map(|t| self.tags.get(t, now)).max(),
            // Not known is strict, never lax.
            None => held(&self.any_tag),
        };
        let patterns = if self.marks.is_empty() {
            None
        } else {
            self.globs
                .matches(wanted.name)
                .into_iter()
                .filter_map(|at| self.marks.get(at).and_then(held))
                .max()
        };
        let by_id = self.objects.get(&wanted.object, now).max(self.groups.get(&wanted.group, now));
        by_id.max(tags).max(patterns).max(held(&self.everything))
    }

    /// How many marks there are: of objects, groups, tags and patterns.
    pub fn counts(&self) -> [usize; 4] {
        [self.objects.exact.len(), self.groups.exact.len(), self.tags.exact.len(), self.patterns.len()]
    }
}
