//! The local cache: stores responses of upstreams and serves them to clients that request the same object.
//!
//! [`crate::local_cache`] decides which copies are worth their memory and how old a copy may be.

use super::requests::ActiveRequest;
use super::Proxy;
use crate::config::settings::ClassLookup;
use crate::local_cache::{CacheHit, CachedCopy, Key, Limits, Lookup};
use crate::net::protocol::command_channel::Purge;
use crate::net::protocol::resp::UpstreamResponse;
use crate::net::protocol::Response;
use crate::routing::events::{Class, Id, Idempotency, Micros};

impl Proxy {
    /// Applies the configured memory and link limits; two processes of one instance get half of each.
    pub(super) fn limit_local_cache(&mut self) {
        let (transfer_bytes_per_s, link_bytes_per_s) = self.configuration.local_cache_link;
        let processes = if self.has_other_process() { 2.0 } else { 1.0 };
        self.local_cache.set_limits(Limits {
            max_bytes: self.bounds.local_cache,
            transfer_bytes_per_s,
            link_bytes_per_s: link_bytes_per_s / processes,
        });
    }

    /// Returns a response from the local cache if a copy is acceptable and can be sent in time. Nothing is
    /// served while purges may be missing, which is the case when the command channel is silent or the purge
    /// log may be incomplete.
    pub(super) fn serve_from_cache(&mut self, id: &Id) -> Option<Response> {
        if !self.local_cache.is_enabled() {
            return None;
        }
        let key = self.cache_lookup(self.requests.get(id)?)?.key;
        self.local_cache.count_demand(self.now, key);
        let knows_purges = self.discovery.command_channel.is_current(self.now)
            && self.purge_log().is_none_or(|log| log.is_current());
        if !knows_purges {
            return None;
        }
        let active = self.requests.get(id)?;
        let lookup = self.cache_lookup(active)?;
        let response = match self.local_cache.serve(self.now, lookup)? {
            CacheHit::Body(body) => Response::Ok(body.to_vec()),
            CacheHit::NotModified => Response::NotModified,
        };
        self.metrics.local_cache_hits += 1;
        Some(response)
    }

    /// Stores an upstream's response if it is worth its memory and no purge in force is later than the copy.
    pub(super) fn cache_response(&mut self, id: &Id, response: &UpstreamResponse) {
        let Some(active) = self.requests.get(id) else { return };
        let Some(Lookup { key, .. }) = self.cache_lookup(active) else { return };
        if !self.local_cache.admits(self.now, &key, response.body.len()) {
            return;
        }
        // Without both fields the version and age of the copy are unknown.
        let minted_ms = response.field("minted").and_then(|minted| minted.parse::<u64>().ok());
        let (Some(minted_ms), Some(tag)) = (minted_ms, response.field("tag")) else { return };
        let requested_at = active.attempt.as_ref().map_or(self.now, |attempt| attempt.started_at);
        if self.purges.may_void(&active.request, minted_ms, requested_at) {
            return;
        }
        let minted = self.timestamps.copy_time(self.now, minted_ms);
        if self.copies_void_before().is_some_and(|time| minted <= time) {
            return;
        }
        let group = active.request.purge_group;
        let copy = CachedCopy {
            etag: tag.to_owned(),
            created_at: minted,
            purge_group: group,
            body: response.body.clone(),
        };
        self.local_cache.insert(self.now, key, copy);
    }

    /// Removes the copies that a purge covers.
    pub(super) fn purge_local_cache(&mut self, scope: Purge) {
        match scope {
            Purge::Object(object) => self.local_cache.purge(Some(object), 0),
            Purge::Group(group) => self.local_cache.purge(None, group),
        }
    }

    /// Returns the cache lookup for a request, or `None` if it must not be answered from a copy.
    fn cache_lookup<'a>(&self, active: &'a ActiveRequest) -> Option<Lookup<'a>> {
        let request = &active.request;
        let ClassLookup::Found { number, class, .. } = self.classes.find(self.now, &request.route) else {
            return None;
        };
        let is_cacheable = number == active.class
            && !class.uncacheable
            && class.idempotency == Idempotency::Idempotent
            && request.body.is_empty();
        is_cacheable.then(|| Lookup {
            key: Key { class: number, object: request.object.1, chunk: request.chunk },
            fresh_for: class.fresh_for,
            latency_objective: self.latency_objective(class, request.size_kb),
            if_none_match: request.if_none_match.as_deref(),
        })
    }

    /// Returns the latency objective for a response of this size, in microseconds.
    fn latency_objective(&self, class: &Class, size_kb: f64) -> Micros {
        let transfer_us = size_kb / self.settings.domain.flow_kb_per_s.max(1.0) * 1e6;
        class.latency_objective + (class.latency_objective_stretch.max(1.0) * transfer_us) as Micros
    }
}
