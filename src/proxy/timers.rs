//! Timers of the proxy.
//!
//! A timer is never cancelled: its handler checks whether it still applies. Some variants contain a time,
//! which distinguishes the current timer from an older one that it has replaced.

#[cfg(test)]
mod tests;

use super::requests::RequestKey;
use super::Proxy;
use crate::routing::events::Micros;
use mio::Token;

/// One millisecond, in microseconds.
pub(super) const MILLISECOND: Micros = 1_000;

/// Event that a timer triggers.
#[derive(Debug)]
pub(super) enum TimerEvent {
    /// A timer of the router, by its token.
    Router(u64),
    /// The deadline of an attempt, given by its request and number.
    AttemptDeadline(RequestKey, u32),
    /// Nearly all of the client's timeout for a request has passed.
    RequestDeadline(RequestKey),
    /// The timeout of a dial to an upstream.
    DialDeadline(Token),
    /// The timeout for more input of a partly received upstream response.
    ResponseStall(Token),
    /// The periodic checks for what no readiness event reports.
    Sweep,
    /// The periodic log line with the metrics.
    MetricsReport,
    /// A retry of accepting client connections.
    AcceptRetry,
    /// The next check of the command channel.
    CommandChannel(Micros),
    /// The bound on the age of copies for purges of the command channel is to be computed anew.
    ChannelStaleness(Micros),
    /// A retry of a configuration reload whose file could not be opened.
    ReloadRetry,
    /// The next turn of the registry's driver.
    Registry(Micros),
    /// The next step of the gossip with peers.
    Gossip(Micros),
    /// The next turn of the fleet.
    Fleet(Micros),
    /// The last time to answer or to close connections before the process ends.
    DrainDeadline,
}

/// The timer of a recurring task. An earlier timer replaces a later one, which is not cancelled and is ignored when it
/// fires.
#[derive(Debug, Default)]
pub(super) struct TaskTimer {
    /// Time of the current timer, if one is set.
    due_at: Option<Micros>,
}

impl TaskTimer {
    /// Returns whether a timer is to be set for `at`, and records it: not if one that is as early is set.
    pub(super) fn advance_to(&mut self, at: Micros) -> bool {
        let is_earlier = self.due_at.is_none_or(|due_at| at < due_at);
        if is_earlier {
            self.due_at = Some(at);
        }
        is_earlier
    }

    /// Returns whether a timer that has fired for `at` is the current one, which is not set any more then.
    pub(super) fn fired(&mut self, at: Micros) -> bool {
        self.due_at.take_if(|due_at| *due_at == at).is_some()
    }
}

/// Number of timers from which on those that are not needed any more are removed.
const MIN_COMPACTED_TIMERS: usize = 4_096;

/// Decides when timers of requests and attempts that have ended are removed. They can't be cancelled one by one, and a
/// client may make requests with a long timeout that end at once.
pub(super) struct TimerCompaction {
    next_at: usize,
}

impl Default for TimerCompaction {
    fn default() -> Self {
        TimerCompaction { next_at: MIN_COMPACTED_TIMERS }
    }
}

impl TimerCompaction {
    /// Returns whether so many timers are to be compacted.
    pub(super) fn is_due(&self, timers: usize) -> bool {
        timers >= self.next_at
    }

    /// Records how many timers were left; the next compaction is due at twice as many, so that its cost stays small for
    /// each timer that is set.
    pub(super) fn record(&mut self, timers_left: usize) {
        self.next_at = (2 * timers_left).max(MIN_COMPACTED_TIMERS);
    }
}

impl Proxy {
    /// Removes the timers of requests, attempts and connections that have ended, once many timers are set.
    pub(super) fn compact_timers(&mut self) {
        if !self.timer_compaction.is_due(self.timers.len()) {
            return;
        }
        let (requests, pool) = (&self.requests, &self.pool);
        self.timers.retain(|timer| match timer {
            TimerEvent::RequestDeadline(key) => requests.is_same(key) && !requests.is_finished(&key.id),
            TimerEvent::AttemptDeadline(key, number) => {
                requests.is_same(key) && requests.has_attempt(&key.id, *number)
            }
            TimerEvent::DialDeadline(token) | TimerEvent::ResponseStall(token) => pool.get(*token).is_some(),
            _ => true,
        });
        self.timer_compaction.record(self.timers.len());
    }
}
