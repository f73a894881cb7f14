//! Why an instance can vouch for the purge log no longer, from what its follower knew in that moment.
//!
//! A core: no clock, no input, no output. The follower ([`crate::proxy`]) asks it when [`super::log::PurgeLog`] cuts the
//! instance off; the answer goes into the log and into the figures.

#[cfg(test)]
mod tests;

use crate::registry::documents::FollowPhase;
use crate::routing::events::Micros;

/// An instance that judges later than this after the judgement was due did not run meanwhile.
const LATE_JUDGEMENT: Micros = 50_000;

/// What was known when the instance was cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The present moment, in microseconds.
    pub now: Micros,
    /// When the log would be confirmed for too long ago, as known before this turn.
    pub staleness_deadline: Micros,
    /// As of when the log was last confirmed.
    pub confirmed: Option<Micros>,
    /// How far the follower's connection to the registry is.
    pub phase: FollowPhase,
}

/// Why nothing is vouched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The instance itself did not run when it was due.
    InstanceStalled,
    /// A check was sent, and the registry has not answered.
    CheckUnanswered,
    /// There is no connection on which the log is followed: it was lost, is dialed, or the list is read anew.
    Disconnected,
    /// The log is followed, but its last confirmation came too late to be of use.
    ConfirmedLate,
}

impl Cause {
    /// All causes.
    pub const ALL: [Cause; 4] =
        [Cause::InstanceStalled, Cause::CheckUnanswered, Cause::Disconnected, Cause::ConfirmedLate];

    /// The cause that the evidence shows.
    pub fn of(evidence: &Evidence) -> Cause {
        if evidence.now.saturating_sub(evidence.staleness_deadline) > LATE_JUDGEMENT {
            return Cause::InstanceStalled;
        }
        match evidence.phase {
            FollowPhase::Checking { .. } => Cause::CheckUnanswered,
            FollowPhase::Disconnected | FollowPhase::Dialing | FollowPhase::Listing => Cause::Disconnected,
            FollowPhase::Watching => Cause::ConfirmedLate,
        }
    }

    /// Its name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Cause::InstanceStalled => "late_turn",
            Cause::CheckUnanswered => "check_unanswered",
            Cause::Disconnected => "disconnected",
            Cause::ConfirmedLate => "confirmed_late",
        }
    }
}

/// How often each cause has cut the instance off since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CauseCounts {
    counts: [u64; Cause::ALL.len()],
}

impl CauseCounts {
    /// Counts a cause.
    pub fn add(&mut self, cause: Cause) {
        self.counts[cause as usize] += 1;
    }

    /// How often it was this cause.
    pub fn get(&self, cause: Cause) -> u64 {
        self.counts[cause as usize]
    }
}
