//! Copies of objects in the instance's own memory: which are kept, which may be served, and when that is in time.
//!
//! No input or output and no clock. A copy is served only while it is fresh, was not purged, and the instance's own
//! link has the time for it: its bytes run at the pace of one transfer at most, and all transfers share the link in
//! the order of their responses. What is kept goes by how often it was asked for lately (TinyLFU: Einziger, Friedman
//! and Manes, 2017): a copy pushes out only such as are asked for less. The driver is `src/proxy/local_cache.rs`.
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

#[cfg(test)]
mod tests;

use crate::routing::events::Micros;
use lru::LruCache;
use std::num::NonZeroUsize;

const MICROS_PER_S: f64 = 1e6;
/// Objects whose demand is remembered: several times as many as there is room for.
const REMEMBERED_OBJECTS: NonZeroUsize = NonZeroUsize::new(4096).unwrap();
/// Microseconds over which demand fades: about as long as one object is watched.
const DEMAND_FADE_US: f64 = 15e6;
/// An object with less demand is not kept.
const MIN_DEMAND: f64 = 1.5;
/// Share of the fresh time in which a copy is served from here; after it an endpoint is asked, which renews an ageing
/// copy behind the response. Served here to its end, it would be renewed by no endpoint in time.
const SERVED_SHARE: f64 = 0.8;
/// Share of the time in which a response is wanted that waiting for the own link and sending may take.
const TRANSFER_SHARE: f64 = 0.5;
/// Share of a copy's bytes that it takes to tell a client that its own copy holds.
const NOT_MODIFIED_SHARE: f64 = 0.05;
/// Bytes that one copy takes beside its body and its tag.
const OVERHEAD_BYTES: usize = 192;

/// An object's part, in its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// The number of the class.
    pub class: usize,
    /// The object.
    pub object: u64,
    /// Which of its parts.
    pub chunk: u64,
}

/// What an instance may hold and send of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Bytes of all copies together.
    pub max_bytes: usize,
    /// Bytes a second of one transfer; 0: nothing may be served from here.
    pub transfer_bytes_per_s: f64,
    /// Bytes a second of all transfers together; 0: nothing may be served from here.
    pub link_bytes_per_s: f64,
}

impl Limits {
    /// Whether copies are held at all.
    pub fn is_enabled(&self) -> bool {
        self.max_bytes > 0 && self.transfer_bytes_per_s > 0.0 && self.link_bytes_per_s > 0.0
    }
}

/// A copy as an endpoint gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedCopy {
    /// Its tag.
    pub etag: String,
    /// When the origin gave it out.
    pub created_at: Micros,
    /// The purge group of its object.
    pub purge_group: u64,
    /// The bytes.
    pub body: Vec<u8>,
}

impl CachedCopy {
    fn size(&self) -> usize {
        self.body.len() + self.etag.len() + OVERHEAD_BYTES
    }
}

/// What a request is given from here.
#[derive(Debug, PartialEq)]
pub enum CacheHit<'a> {
    /// The bytes.
    Body(&'a [u8]),
    /// The copy that the client has is the one.
    NotModified,
}

/// What a request asks of the cache.
#[derive(Clone, Copy, Debug)]
pub struct Lookup<'a> {
    /// The object's part.
    pub key: Key,
    /// How long a copy of the class is fresh; 0: until it is purged.
    pub fresh_for: Micros,
    /// Within what time the response is wanted.
    pub latency_objective: Micros,
    /// The tag of the client's own copy.
    pub if_none_match: Option<&'a str>,
}

/// How often an object was asked for, as of a moment.
#[derive(Clone, Copy, Debug)]
struct Demand {
    count: f64,
    counted_at: Micros,
}

/// The copies that an instance holds.
pub struct LocalCache {
    limits: Limits,
    copies: LruCache<Key, CachedCopy>,
    bytes: usize,
    demand: LruCache<Key, Demand>,
    /// When the own link has sent all that was given so far.
    link_free_at: Micros,
}

impl Default for LocalCache {
    fn default() -> Self {
        let mut demand = LruCache::unbounded();
        // Grown as it fills: a bounded one would take all of its memory at once.
        demand.resize(REMEMBERED_OBJECTS);
        LocalCache {
            limits: Limits::default(),
            copies: LruCache::unbounded(),
            bytes: 0,
            demand,
            link_free_at: 0,
        }
    }
}

impl LocalCache {
    /// Takes other limits; what has no room any more is dropped.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.shrink(if limits.is_enabled() { limits.max_bytes } else { 0 });
    }

    /// Whether copies are held at all.
    pub fn is_enabled(&self) -> bool {
        self.limits.is_enabled()
    }

    /// How many copies are held.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    /// The bytes of all copies, with what they take beside their bodies.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts that an object is asked for.
    pub fn count_demand(&mut self, now: Micros, key: Key) {
        if self.is_enabled() {
            let count = self.demand(now, &key) + 1.0;
            self.demand.put(key, Demand { count, counted_at: now });
        }
    }

    /// Serves a copy if there is one that will do and it is sent in time.
    pub fn serve(&mut self, now: Micros, lookup: Lookup) -> Option<CacheHit<'_>> {
        let copy = self.copies.get(&lookup.key)?;
        let age = now.saturating_sub(copy.created_at);
        if lookup.fresh_for > 0 && age as f64 >= lookup.fresh_for as f64 * SERVED_SHARE {
            return None;
        }
        let not_modified = lookup.if_none_match == Some(copy.etag.as_str());
        let bytes = copy.body.len() as f64 * if not_modified { NOT_MODIFIED_SHARE } else { 1.0 };
        let transfer_time = |bytes_per_s: f64| (bytes / bytes_per_s * MICROS_PER_S) as Micros;
        let link_free_at = self.link_free_at.max(now) + transfer_time(self.limits.link_bytes_per_s);
        let sent_at = link_free_at.max(now + transfer_time(self.limits.transfer_bytes_per_s));
        if (sent_at - now) as f64 > lookup.latency_objective as f64 * TRANSFER_SHARE {
            return None;
        }
        self.link_free_at = link_free_at;
        Some(if not_modified { CacheHit::NotModified } else { CacheHit::Body(&copy.body) })
    }

    /// Whether a copy with a body of this size would be kept now; asked before its bytes are copied.
    pub fn admits(&self, now: Micros, key: &Key, body_bytes: usize) -> bool {
        let size = body_bytes + OVERHEAD_BYTES;
        let demand = self.demand(now, key);
        if !self.is_enabled() || size > self.limits.max_bytes || demand < MIN_DEMAND {
            return false;
        }
        let mut free = self.limits.max_bytes.saturating_sub(self.bytes);
        free += self.copies.peek(key).map_or(0, CachedCopy::size);
        for (other, copy) in self.copies.iter().rev().filter(|(other, _)| *other != key) {
            if free >= size {
                break;
            }
            if self.demand(now, other) >= demand {
                return false;
            }
            free += copy.size();
        }
        free >= size
    }

    /// Keeps a copy, in place of an older one of the same and of those that are used least.
    pub fn insert(&mut self, now: Micros, key: Key, copy: CachedCopy) {
        let has_newer = self.copies.peek(&key).is_some_and(|held| held.created_at > copy.created_at);
        if has_newer || !self.admits(now, &key, copy.size() - OVERHEAD_BYTES) {
            return;
        }
        self.remove(&key);
        self.shrink(self.limits.max_bytes - copy.size());
        self.bytes += copy.size();
        self.copies.put(key, copy);
    }

    /// Drops the copies of an object, or of a whole group. What comes later and is older still must not be inserted:
    /// that is the driver's part, which knows the purges in force.
    pub fn purge(&mut self, object: Option<u64>, group: u64) {
        let covers = |key: &Key, copy: &CachedCopy| {
            object.map_or(copy.purge_group == group, |object| key.object == object)
        };
        let covered = self.copies.iter().filter(|(key, copy)| covers(key, copy));
        let keys: Vec<Key> = covered.map(|(key, _)| *key).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    /// Drops all copies.
    pub fn clear(&mut self) {
        self.shrink(0);
    }

    fn demand(&self, now: Micros, key: &Key) -> f64 {
        let Some(Demand { count, counted_at }) = self.demand.peek(key) else { return 0.0 };
        count * (-(now.saturating_sub(*counted_at) as f64) / DEMAND_FADE_US).exp()
    }

    fn remove(&mut self, key: &Key) {
        if let Some(copy) = self.copies.pop(key) {
            self.bytes -= copy.size();
        }
    }

    /// Drops the copies that were not served for longest, down to so many bytes.
    fn shrink(&mut self, max_bytes: usize) {
        while self.bytes > max_bytes {
            let Some((_, copy)) = self.copies.pop_lru() else { break };
            self.bytes -= copy.size();
        }
    }
}
