//! The state of a watch, and the consistency check that detects missed changes. The check requests the count of keys
//! from the registry and the progress of the watch. Once the watch has reached the revision of the count, the follower
//! must have the same number of keys.

use crate::routing::events::Micros;
use rand::Rng;
use rand_pcg::Pcg32;

/// Divisor of the check interval that gives the maximum jitter: a check may begin that much earlier, so that instances
/// that started together do not send their checks at the same time.
const CHECK_JITTER_DIVISOR: Micros = 4;

/// A count of keys as of a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyCount<R> {
    /// Revision at which the registry counted.
    pub revision: R,
    /// Number of keys below the prefix.
    pub keys: R,
}

/// A check in progress.
#[derive(Clone, Debug)]
pub struct ConsistencyCheck<R> {
    /// Number of the call that requests the count.
    pub call: u64,
    /// When the check was sent.
    pub sent: Micros,
    /// The registry's count; `None` until the response has arrived.
    pub answer: Option<KeyCount<R>>,
}

/// The result of a consistency check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckOutcome {
    /// The count has not arrived, or the watch has not reached its revision.
    Pending,
    /// The watch has passed the revision of the count, or the counts agree at that revision.
    Consistent {
        /// When the check was sent, and thus a time at which the copy was current.
        sent: Micros,
    },
    /// The registry and the follower have different numbers of keys at the same revision.
    CountDiffers {
        /// When the check was sent.
        sent: Micros,
    },
}

/// The state of a watch. `E` is the type of events, `R` the integer type of revisions, and `X` the type of the data that
/// the follower attaches to the watch.
#[derive(Clone, Debug)]
pub struct WatchState<E, R, X> {
    /// Whether the registry has confirmed the creation of the watch.
    pub created: bool,
    /// Revision up to which all changes have been applied.
    pub revision: R,
    /// Events of a message whose last fragment has not arrived yet.
    pub fragments: Vec<E>,
    /// The check in progress, if any.
    pub check: Option<ConsistencyCheck<R>>,
    /// When the next check begins.
    pub next_check: Micros,
    /// Data that the follower attaches to the watch.
    pub details: X,
}

impl<E, R, X> WatchState<E, R, X> {
    /// Creates the state of a requested watch for changes after `revision`.
    pub fn requested(revision: R, next_check: Micros, details: X) -> Self {
        WatchState { created: false, revision, fragments: Vec::new(), check: None, next_check, details }
    }

    /// Returns when the check in progress times out or, without one, when the next check begins.
    pub fn due(&self, check_timeout: Micros) -> Micros {
        match &self.check {
            Some(check) => check.sent.saturating_add(check_timeout),
            None => self.next_check,
        }
    }

    /// Returns the check in progress if this call requested its count.
    pub fn check_of_call(&mut self, call: u64) -> Option<&mut ConsistencyCheck<R>> {
        self.check.as_mut().filter(|check| check.call == call)
    }

    /// Returns whether this call requested the count of the check in progress.
    pub fn awaits_check(&self, call: u64) -> bool {
        self.check.as_ref().is_some_and(|check| check.call == call)
    }

    /// Returns whether the check in progress is still waiting for the response to this call.
    pub fn awaits_answer(&self, call: u64) -> bool {
        self.check.as_ref().is_some_and(|check| check.call == call && check.answer.is_none())
    }

    /// Begins a check whose count is requested by `call`.
    pub fn begin_check(&mut self, call: u64, now: Micros) {
        self.check = Some(ConsistencyCheck { call, sent: now, answer: None });
    }

    /// Ends the check and schedules the next one after `interval`, reduced by a random jitter.
    pub fn end_check(&mut self, now: Micros, interval: Micros, rng: &mut Pcg32) {
        self.check = None;
        let jitter = rng.random_range(0..=interval / CHECK_JITTER_DIVISOR);
        self.next_check = now.saturating_add(interval).saturating_sub(jitter);
    }
}

impl<E, R: Copy + Ord, X> WatchState<E, R, X> {
    /// Returns the result of the check, given that the follower has `keys` keys.
    pub fn check_outcome(&self, keys: R) -> CheckOutcome {
        let Some(ConsistencyCheck { sent, answer: Some(count), .. }) = self.check else {
            return CheckOutcome::Pending;
        };
        if !self.created || self.revision < count.revision {
            CheckOutcome::Pending
        } else if self.revision == count.revision && count.keys != keys {
            CheckOutcome::CountDiffers { sent }
        } else {
            CheckOutcome::Consistent { sent }
        }
    }
}
