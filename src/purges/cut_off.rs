//! Cause of a cut-off from the purge log, found from the state of its follower at that time.
//!
//! The module does no I/O and reads no clock. The follower ([`crate::proxy`]) calls it when [`super::log::PurgeLog`]
//! cuts the instance off, and writes the cause to the log and to the metrics.

#[cfg(test)]
mod tests;

use crate::registry::documents::FollowPhase;
use crate::routing::events::Micros;

/// Delay after the staleness deadline, in microseconds, above which the instance itself was not running.
const MAX_DEADLINE_DELAY: Micros = 50_000;

/// State of the follower when the instance was cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Current time, in microseconds.
    pub now: Micros,
    /// Time at which the last confirmation became too old, as known before this turn of the event loop.
    pub staleness_deadline: Micros,
    /// Time as of which the log was last confirmed.
    pub confirmed_at: Option<Micros>,
    /// Phase of the follower's connection to the registry.
    pub phase: FollowPhase,
}

/// Cause of a cut-off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The instance itself was not running at the deadline.
    InstanceStalled,
    /// The registry has not answered a check.
    CheckUnanswered,
    /// No connection follows the log: it was lost, is being dialed, or is reading the list again.
    Disconnected,
    /// The connection follows the log, but the last confirmation came too late.
    ConfirmedLate,
}

impl Cause {
    /// All causes.
    pub const ALL: [Cause; 4] =
        [Cause::InstanceStalled, Cause::CheckUnanswered, Cause::Disconnected, Cause::ConfirmedLate];

    /// Returns the cause that the evidence shows.
    pub fn of(evidence: &Evidence) -> Cause {
        if evidence.now.saturating_sub(evidence.staleness_deadline) > MAX_DEADLINE_DELAY {
            return Cause::InstanceStalled;
        }
        match evidence.phase {
            FollowPhase::Checking { .. } => Cause::CheckUnanswered,
            FollowPhase::Disconnected | FollowPhase::Dialing | FollowPhase::Listing => Cause::Disconnected,
            FollowPhase::Watching => Cause::ConfirmedLate,
        }
    }

    /// Returns the name of the cause in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Cause::InstanceStalled => "late_turn",
            Cause::CheckUnanswered => "check_unanswered",
            Cause::Disconnected => "disconnected",
            Cause::ConfirmedLate => "confirmed_late",
        }
    }
}

/// Number of cut-offs by cause since the start of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CauseCounts {
    counts: [u64; Cause::ALL.len()],
}

impl CauseCounts {
    /// Counts a cut-off.
    pub fn add(&mut self, cause: Cause) {
        self.counts[cause as usize] += 1;
    }

    /// Returns the number of cut-offs with this cause.
    pub fn get(&self, cause: Cause) -> u64 {
        self.counts[cause as usize]
    }
}
