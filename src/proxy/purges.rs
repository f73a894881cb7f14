//! Purges received recently. They restrict which attempts are written and which copies the local cache
//! stores, and they are handed to the next process of this instance in a takeover.

use super::timers::MILLISECOND;
use crate::net::protocol::command_channel::Purge;
use crate::net::protocol::ClientRequest;
use crate::routing::events::Micros;
use crate::takeover::MAX_PURGES;
use std::collections::VecDeque;

/// Minimum time for which a purge is kept, in microseconds: an attempt may wait this long to be written.
const MIN_RETENTION: Micros = 5_000 * MILLISECOND;

/// A purge with its time of receipt.
pub(super) struct ReceivedPurge {
    pub(super) received_at: Micros,
    pub(super) scope: Purge,
    /// Time of the purge in Unix milliseconds, by its sender's clock.
    pub(super) made_unix_ms: u64,
}

impl ReceivedPurge {
    /// Returns whether the purge covers the object that a request asks for.
    fn covers(&self, request: &ClientRequest) -> bool {
        match self.scope {
            Purge::Object(object) => object == request.object.1,
            Purge::Group(group) => group == request.purge_group,
        }
    }
}

/// Recent purges, in order of receipt.
#[derive(Default)]
pub(super) struct RecentPurges {
    entries: VecDeque<ReceivedPurge>,
}

impl RecentPurges {
    /// Adds a purge. Beyond the number that fits into the takeover state, the oldest is dropped.
    pub(super) fn add(&mut self, received_at: Micros, scope: Purge, made_unix_ms: u64) {
        if self.entries.len() >= MAX_PURGES {
            self.entries.pop_front();
        }
        self.entries.push_back(ReceivedPurge { received_at, scope, made_unix_ms });
    }

    /// Removes purges that no longer apply; a purge is in force for `in_force` microseconds.
    pub(super) fn expire(&mut self, now: Micros, in_force: Micros) {
        let retention = MIN_RETENTION.max(in_force);
        let is_expired = |purge: &ReceivedPurge| now.saturating_sub(purge.received_at) > retention;
        while self.entries.front().is_some_and(is_expired) {
            self.entries.pop_front();
        }
    }

    /// Returns whether the object that a request asks for was purged at or after `moment`.
    pub(super) fn has_since(&self, moment: Micros, request: &ClientRequest) -> bool {
        self.entries.iter().any(|purge| purge.received_at >= moment && purge.covers(request))
    }

    /// Returns whether a purge may be later than a copy that was made at `copy_unix_ms` and requested at
    /// `requested_at`. A purge received since then counts whatever the timestamps say, because they come from
    /// different clocks.
    pub(super) fn may_void(&self, request: &ClientRequest, copy_unix_ms: u64, requested_at: Micros) -> bool {
        let is_later =
            |purge: &ReceivedPurge| purge.made_unix_ms >= copy_unix_ms || purge.received_at >= requested_at;
        self.entries.iter().any(|purge| is_later(purge) && purge.covers(request))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &ReceivedPurge> {
        self.entries.iter()
    }
}
