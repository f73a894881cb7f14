//! Limit on the attempts that are made for requests which one client cancels.
//!
//! To cancel a request is part of the protocol, in any number and at any rate, and is no protocol violation. A client that
//! makes requests and cancels them as fast as it can send would have attempts made for nobody without end, however. Each
//! request that is cancelled after an attempt was started uses a part of its connection's allowance; time restores it, and
//! so do responses. While it is exhausted, new requests of the connection are rejected at once and cause no attempt.
//!
//! The module does no I/O and reads no clock. The owner is [`super::client::Client`].

#[cfg(test)]
mod tests;

use super::timers::MILLISECOND;
use crate::routing::events::Micros;

/// Number of cancelled requests that use up a whole allowance: twice as many as may be open on a connection.
pub(super) const CAPACITY: u64 = 64;
/// Time in which the allowance for one cancelled request is restored, in microseconds: in a second for as many as may be
/// open on a connection.
pub(super) const RESTORE_INTERVAL: Micros = 1_000 * MILLISECOND / 32;

/// Allowance of one connection for cancelled requests. The default one is unused.
#[derive(Debug, Default)]
pub(super) struct CancellationAllowance {
    /// Time at which the whole allowance is restored.
    restored_at: Micros,
}

impl CancellationAllowance {
    /// Records a cancelled request.
    pub(super) fn record_cancellation(&mut self, now: Micros) {
        self.restored_at = self.restored_at.max(now) + RESTORE_INTERVAL;
    }

    /// Records a response, which restores the allowance for one cancelled request.
    pub(super) fn record_response(&mut self) {
        self.restored_at = self.restored_at.saturating_sub(RESTORE_INTERVAL);
    }

    /// Returns the time until another cancelled request is allowed for, or 0 if one is now.
    pub(super) fn exhausted_for(&self, now: Micros) -> Micros {
        let used = self.restored_at.saturating_sub(now);
        used.saturating_sub((CAPACITY - 1) * RESTORE_INTERVAL)
    }

    /// Returns whether no further cancelled request is allowed for.
    pub(super) fn is_exhausted(&self, now: Micros) -> bool {
        self.exhausted_for(now) > 0
    }
}
