//! Which endpoints discard a repeat of a request that may have run, and until when.
//!
//! The rule is pure: [`super::Router`] asks it when it selects endpoints, and the proxy asks it again when an
//! attempt is written, because the endpoint list and the time may have changed in between.

use super::events::{Class, DeduplicationScope, Endpoint, Idempotency, Micros};

/// Place of an endpoint, on which [`DeduplicationScope`] depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Zone of the endpoint.
    pub zone: usize,
    /// Cell of the endpoint within its zone.
    pub cell: u32,
}

impl From<&Endpoint> for Location {
    fn from(endpoint: &Endpoint) -> Self {
        Location { zone: endpoint.zone, cell: endpoint.cell }
    }
}

/// The first attempt of a request that may have run, with the places of its endpoints when it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstExecution {
    /// Time at which the attempt was sent, in microseconds.
    pub sent_at: Micros,
    /// The endpoint that the attempt was sent to.
    pub target: Location,
    /// The endpoint that the target was to fill a miss from, if another was named.
    pub source: Option<Location>,
}

/// What a class allows for a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatPolicy {
    idempotency: Idempotency,
    scope: DeduplicationScope,
    /// In microseconds, counted from the first attempt that may have run.
    window: Micros,
}

impl From<&Class> for RepeatPolicy {
    fn from(class: &Class) -> Self {
        RepeatPolicy {
            idempotency: class.idempotency,
            scope: class.deduplication_scope,
            window: class.deduplication_window,
        }
    }
}

impl RepeatPolicy {
    /// Returns the policy that allows only what both allow.
    pub fn strictest(self, other: RepeatPolicy) -> RepeatPolicy {
        match (self.is_unrestricted(), other.is_unrestricted()) {
            (true, _) => other,
            (_, true) => self,
            (false, false) => RepeatPolicy {
                idempotency: self.idempotency.max(other.idempotency),
                scope: self.scope.max(other.scope),
                window: self.window.min(other.window),
            },
        }
    }

    /// Returns whether requests must carry a key by which repeats are recognised.
    pub fn needs_key(&self) -> bool {
        self.idempotency == Idempotency::WithKey
    }

    /// Returns whether a request that may have run may be sent again at all.
    pub fn allows_repeats(&self) -> bool {
        self.idempotency != Idempotency::NotIdempotent
    }

    /// Returns whether a request that may have run may be sent to an endpoint.
    pub fn allows_target(&self, now: Micros, first: &FirstExecution, target: Location) -> bool {
        self.is_unrestricted() || self.is_in_window(now, first) && self.is_in_scope(first.target, target)
    }

    /// Returns whether the target of such an attempt may fill a miss from an endpoint. The request may have
    /// run at the first target or at the source that was named to it, so either may discard the repeat.
    pub fn allows_source(&self, now: Micros, first: &FirstExecution, source: Location) -> bool {
        let executed_at = [Some(first.target), first.source];
        let is_in_scope = || executed_at.into_iter().flatten().any(|place| self.is_in_scope(place, source));
        self.is_unrestricted() || self.is_in_window(now, first) && is_in_scope()
    }

    /// Returns whether a client may repeat the request at time `at`. The client's repeat may reach any
    /// endpoint.
    pub fn allows_client_retry(&self, at: Micros, first: &FirstExecution) -> bool {
        self.is_unrestricted() || self.scope == DeduplicationScope::All && self.is_in_window(at, first)
    }

    /// Returns whether a request may run any number of times.
    pub fn is_unrestricted(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
    }

    fn is_in_window(&self, now: Micros, first: &FirstExecution) -> bool {
        self.allows_repeats() && now < first.sent_at.saturating_add(self.window)
    }

    fn is_in_scope(&self, executed_at: Location, candidate: Location) -> bool {
        match self.scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => executed_at.zone == candidate.zone,
            DeduplicationScope::Cell => executed_at == candidate,
        }
    }
}
