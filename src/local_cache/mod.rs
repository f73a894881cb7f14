//! Cache of responses in the instance's own memory: admission, eviction, and which copies may be served.
//!
//! The module does no I/O and reads no clock. A copy is served only if it is fresh, was not purged, and can be sent
//! in time over the instance's own link: one transfer runs at the transfer rate at most, and all transfers share the
//! link in the order of their responses. Admission follows recent demand (TinyLFU: Einziger, Friedman and Manes,
//! 2017): a copy evicts only copies with less demand. The driver is `src/proxy/local_cache.rs`.
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

#[cfg(test)]
mod tests;

use crate::routing::events::Micros;
use lru::LruCache;
use std::num::NonZeroUsize;

const MICROS_PER_S: f64 = 1e6;
/// Maximum number of objects whose demand is tracked: several times as many as fit into the cache.
const MAX_TRACKED_OBJECTS: NonZeroUsize = NonZeroUsize::new(4096).unwrap();
/// Time constant of the exponential decay of demand, in microseconds: about the time that one object is watched.
const DEMAND_DECAY_US: f64 = 15e6;
/// Minimum demand of an object that is cached.
const MIN_DEMAND: f64 = 1.5;
/// Fraction of the fresh time for which a copy is served from this cache. Later requests go to an endpoint, which
/// revalidates an ageing copy in the background; if the copy were served here until it is stale, no endpoint would
/// revalidate it in time.
const SERVED_FRACTION: f64 = 0.8;
/// Fraction of the latency objective that waiting for the instance's link and sending may take.
const TRANSFER_FRACTION: f64 = 0.5;
/// Size of a not-modified response, as a fraction of the copy's size.
const NOT_MODIFIED_FRACTION: f64 = 0.05;
/// Memory overhead of one copy besides its body and its ETag, in bytes.
const OVERHEAD_BYTES: usize = 192;

/// Cache key: a chunk of an object, in its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// Number of the class.
    pub class: usize,
    /// The object.
    pub object: u64,
    /// Index of the chunk.
    pub chunk: u64,
}

/// Limits on the memory and the bandwidth of the cache.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Maximum size of all copies together, in bytes.
    pub max_bytes: usize,
    /// Rate of one transfer, in bytes per second; 0 disables the cache.
    pub transfer_bytes_per_s: f64,
    /// Rate of all transfers together, in bytes per second; 0 disables the cache.
    pub link_bytes_per_s: f64,
}

impl Limits {
    /// Returns whether the cache is enabled: no limit is 0.
    pub fn is_enabled(&self) -> bool {
        self.max_bytes > 0 && self.transfer_bytes_per_s > 0.0 && self.link_bytes_per_s > 0.0
    }
}

/// A copy as an endpoint sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedCopy {
    /// ETag of the copy.
    pub etag: String,
    /// Time at which the origin created the copy.
    pub created_at: Micros,
    /// Purge group of the object.
    pub purge_group: u64,
    /// The response body.
    pub body: Vec<u8>,
}

impl CachedCopy {
    fn size(&self) -> usize {
        self.body.len() + self.etag.len() + OVERHEAD_BYTES
    }
}

/// Response to a request from the cache.
#[derive(Debug, PartialEq)]
pub enum CacheHit<'a> {
    /// The response body.
    Body(&'a [u8]),
    /// The client's copy is current.
    NotModified,
}

/// Parameters of a cache lookup.
#[derive(Clone, Copy, Debug)]
pub struct Lookup<'a> {
    /// Key of the requested chunk.
    pub key: Key,
    /// Time for which a copy of the class is fresh; 0: until it is purged.
    pub fresh_for: Micros,
    /// Time within which the response is to be complete.
    pub latency_objective: Micros,
    /// ETag of the client's own copy.
    pub if_none_match: Option<&'a str>,
}

/// Decayed number of requests for an object, as of `counted_at`.
#[derive(Clone, Copy, Debug)]
struct Demand {
    count: f64,
    counted_at: Micros,
}

/// The instance's cache of copies.
pub struct LocalCache {
    limits: Limits,
    copies: LruCache<Key, CachedCopy>,
    bytes: usize,
    demand: LruCache<Key, Demand>,
    /// Time at which the instance's link has sent all responses served so far.
    link_free_at: Micros,
}

impl Default for LocalCache {
    fn default() -> Self {
        let mut demand = LruCache::unbounded();
        // Starts unbounded because a bounded cache allocates all of its memory at once.
        demand.resize(MAX_TRACKED_OBJECTS);
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
    /// Sets the limits and evicts the copies that exceed them.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.shrink(if limits.is_enabled() { limits.max_bytes } else { 0 });
    }

    /// Returns whether the cache is enabled: no limit is 0.
    pub fn is_enabled(&self) -> bool {
        self.limits.is_enabled()
    }

    /// Returns the number of copies.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Returns whether there are no copies.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    /// Returns the size of all copies in bytes, overhead included.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts a request for an object.
    pub fn count_demand(&mut self, now: Micros, key: Key) {
        if self.is_enabled() {
            let count = self.demand(now, &key) + 1.0;
            self.demand.put(key, Demand { count, counted_at: now });
        }
    }

    /// Returns the response from a copy that is fresh enough and can be sent in time; `None` on a miss.
    pub fn serve(&mut self, now: Micros, lookup: Lookup) -> Option<CacheHit<'_>> {
        let copy = self.copies.get(&lookup.key)?;
        let age = now.saturating_sub(copy.created_at);
        if lookup.fresh_for > 0 && age as f64 >= lookup.fresh_for as f64 * SERVED_FRACTION {
            return None;
        }
        let not_modified = lookup.if_none_match == Some(copy.etag.as_str());
        let bytes = copy.body.len() as f64 * if not_modified { NOT_MODIFIED_FRACTION } else { 1.0 };
        let transfer_time = |bytes_per_s: f64| (bytes / bytes_per_s * MICROS_PER_S) as Micros;
        let link_free_at = self.link_free_at.max(now) + transfer_time(self.limits.link_bytes_per_s);
        let sent_at = link_free_at.max(now + transfer_time(self.limits.transfer_bytes_per_s));
        if (sent_at - now) as f64 > lookup.latency_objective as f64 * TRANSFER_FRACTION {
            return None;
        }
        self.link_free_at = link_free_at;
        Some(if not_modified { CacheHit::NotModified } else { CacheHit::Body(&copy.body) })
    }

    /// Returns whether a copy with a body of this size would be cached now. The driver checks this before it copies the
    /// body.
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

    /// Caches a copy if it is admitted. It replaces an older copy with the same key and evicts the least recently used
    /// copies.
    pub fn insert(&mut self, now: Micros, key: Key, copy: CachedCopy) {
        let has_newer_copy = self.copies.peek(&key).is_some_and(|cached| cached.created_at > copy.created_at);
        if has_newer_copy || !self.admits(now, &key, copy.size() - OVERHEAD_BYTES) {
            return;
        }
        self.remove(&key);
        self.shrink(self.limits.max_bytes - copy.size());
        self.bytes += copy.size();
        self.copies.put(key, copy);
    }

    /// Drops the copies of an object, or of a purge group. The driver, which knows the purges in force, must not insert
    /// copies that are older than a purge.
    pub fn purge(&mut self, object: Option<u64>, group: u64) {
        let is_purged = |key: &Key, copy: &CachedCopy| {
            object.map_or(copy.purge_group == group, |object| key.object == object)
        };
        let purged = self.copies.iter().filter(|(key, copy)| is_purged(key, copy));
        let keys: Vec<Key> = purged.map(|(key, _)| *key).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    /// Drops all copies.
    pub fn clear(&mut self) {
        self.shrink(0);
    }

    fn demand(&self, now: Micros, key: &Key) -> f64 {
        let Some(Demand { count, counted_at }) = self.demand.peek(key) else { return 0.0 };
        count * (-(now.saturating_sub(*counted_at) as f64) / DEMAND_DECAY_US).exp()
    }

    fn remove(&mut self, key: &Key) {
        if let Some(copy) = self.copies.pop(key) {
            self.bytes -= copy.size();
        }
    }

    /// Evicts the least recently served copies until the size is at most `max_bytes`.
    fn shrink(&mut self, max_bytes: usize) {
        while self.bytes > max_bytes {
            let Some((_, copy)) = self.copies.pop_lru() else { break };
            self.bytes -= copy.size();
        }
    }
}
