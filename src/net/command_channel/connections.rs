//! Connections of the command channel: when to dial, when a connection counts as late, and which ones are kept.
//!
//! A late connection is not closed: its frames may still arrive, and a new connection would begin the wait again. It is
//! kept, a new connection is dialed beside it, and the first one to deliver a frame replaces all others, except a newer one
//! that is not late: the frames of a late connection may lack events that a new one brings. A dial is due only while all
//! connections are late, so that a dead connection costs the same whether others wait or not.
//!
//! The module does no I/O and reads no clock. `K` identifies a connection.

#[cfg(test)]
mod tests;

use crate::routing::events::Micros;

/// Maximum number of connections. Four hold all that are dialed within the 7 s after which an event counts as received:
/// the silent one and three new ones.
pub const MAX_CONNECTIONS: usize = 4;
/// Time without a complete frame after which the connection counts as late. A frame is sent each second.
pub(super) const SILENCE_TIMEOUT: Micros = 2_500_000;
/// Time from the opening of the connection after which it is late without a first frame. Short, so that after a silence
/// two connections that fail in a row still leave time to receive the events sent meanwhile.
pub(super) const FIRST_FRAME_TIMEOUT: Micros = 1_900_000;
/// Time after which a dial is late. If its first packet was lost, a new dial is faster than the retransmission.
pub(super) const DIAL_TIMEOUT: Micros = 1_000_000;
/// Time added to a frame's timeout for each byte received of it, which amounts to 100 KB/s. Long lists need it, while a
/// trickle of bytes gains no relevant time.
const TIMEOUT_PER_BYTE: Micros = 10;
/// Pause before the first retry; doubled after each failed one.
pub(super) const FIRST_RETRY_PAUSE: Micros = 100_000;
/// Maximum pause between retries. An event counts as received after 7 s, whether it has arrived or not.
const MAX_RETRY_PAUSE: Micros = 1_000_000;
/// Time after which the oldest connection gives its place to a new one: its peer may be gone without a word.
const MAX_WAIT: Micros = 30_000_000;

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The completion of the dial.
    Dialing,
    /// The first frame.
    AwaitingFirstFrame {
        /// Time at which the dial succeeded.
        opened_at: Micros,
    },
    /// The next frame.
    Delivering {
        /// Time of the last frame.
        frame_at: Micros,
    },
}

/// Why a connection counts as late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lateness {
    /// The dial has not completed in time.
    Dial,
    /// No complete frame arrived in time.
    Silent,
}

/// One connection.
#[derive(Clone, Debug)]
struct Candidate<K> {
    key: K,
    phase: Phase,
    dialed_at: Micros,
    /// Time at which bytes were last received, or the dial began or succeeded.
    last_received: Micros,
    /// Number of bytes of an incomplete frame.
    partial_bytes: usize,
    is_late: bool,
}

impl<K> Candidate<K> {
    /// Returns the time since which the connection has been waiting.
    fn waiting_since(&self) -> Micros {
        match self.phase {
            Phase::Delivering { frame_at } => frame_at,
            Phase::Dialing | Phase::AwaitingFirstFrame { .. } => self.dialed_at,
        }
    }

    /// Returns the time from which the connection is late; `extra` is added to the time of a dial and of a first frame.
    fn deadline(&self, extra: Micros) -> Micros {
        let frame_time = self.partial_bytes as Micros * TIMEOUT_PER_BYTE;
        let silent_at = self.last_received + SILENCE_TIMEOUT;
        match self.phase {
            Phase::Dialing => self.dialed_at + DIAL_TIMEOUT + extra,
            Phase::AwaitingFirstFrame { opened_at } => {
                silent_at.min(opened_at + FIRST_FRAME_TIMEOUT + extra + frame_time)
            }
            Phase::Delivering { frame_at } => silent_at.min(frame_at + SILENCE_TIMEOUT + frame_time),
        }
    }

    fn lateness(&self) -> Lateness {
        match self.phase {
            Phase::Dialing => Lateness::Dial,
            Phase::AwaitingFirstFrame { .. } | Phase::Delivering { .. } => Lateness::Silent,
        }
    }
}

/// The connections, and the time of the next dial.
#[derive(Clone, Debug)]
pub struct Connections<K> {
    /// Oldest first.
    candidates: Vec<Candidate<K>>,
    retry_pause: Micros,
    retry_at: Micros,
}

impl<K> Default for Connections<K> {
    fn default() -> Self {
        Connections { candidates: Vec::new(), retry_pause: FIRST_RETRY_PAUSE, retry_at: 0 }
    }
}

impl<K: Copy + PartialEq> Connections<K> {
    /// Returns whether a connection is to be dialed now.
    pub fn should_dial(&self, now: Micros) -> bool {
        self.all_are_late() && now >= self.retry_at
    }

    /// Returns the connection that is to be closed before the next dial if there are too many. The oldest is kept for
    /// as long as its frames may be expected.
    pub fn surplus(&self, now: Micros) -> Option<K> {
        (self.candidates.len() >= MAX_CONNECTIONS).then(|| self.least_useful(now)).flatten()
    }

    /// Returns the late connection that is closed first if descriptors are short: not the oldest, unless its wait has
    /// been too long.
    pub fn least_useful(&self, now: Micros) -> Option<K> {
        let oldest = self.candidates.first()?;
        let is_too_old = now.saturating_sub(oldest.waiting_since()) >= MAX_WAIT;
        let at = usize::from(!is_too_old);
        self.candidates.get(at).filter(|candidate| candidate.is_late).map(|candidate| candidate.key)
    }

    /// Adds a connection whose dial has begun.
    pub fn add(&mut self, now: Micros, key: K) {
        let candidate = Candidate {
            key,
            phase: Phase::Dialing,
            dialed_at: now,
            last_received: now,
            partial_bytes: 0,
            is_late: false,
        };
        self.candidates.push(candidate);
    }

    /// Records that a dial has succeeded.
    pub fn opened(&mut self, now: Micros, key: K) {
        if let Some(candidate) = self.get_mut(key) {
            candidate.phase = Phase::AwaitingFirstFrame { opened_at: now };
            candidate.last_received = now;
        }
    }

    /// Records when bytes were last received on a connection, and how many bytes of an incomplete frame there are.
    pub fn received(&mut self, key: K, last_received: Micros, partial_bytes: usize) {
        if let Some(candidate) = self.get_mut(key) {
            candidate.last_received = last_received;
            candidate.partial_bytes = partial_bytes;
        }
    }

    /// Records a frame. Returns the connections that are of no more use and are to be closed.
    pub fn delivered(&mut self, now: Micros, key: K) -> Vec<K> {
        let Some(candidate) = self.get_mut(key) else { return Vec::new() };
        candidate.phase = Phase::Delivering { frame_at: now };
        candidate.is_late = false;
        self.retry_pause = FIRST_RETRY_PAUSE;
        let mut is_newer = false;
        let (kept, others) = std::mem::take(&mut self.candidates).into_iter().partition(|candidate| {
            let is_kept = candidate.key == key || is_newer && !candidate.is_late;
            is_newer |= candidate.key == key;
            is_kept
        });
        self.candidates = kept;
        others.into_iter().map(|other: Candidate<K>| other.key).collect()
    }

    /// Checks whether a connection has become late. If all are, a dial beside them is due after a pause.
    pub fn check(&mut self, now: Micros) -> Option<Lateness> {
        let extra = self.extra_time();
        let is_overdue =
            |candidate: &&mut Candidate<K>| !candidate.is_late && now >= candidate.deadline(extra);
        let overdue = self.candidates.iter_mut().find(is_overdue)?;
        overdue.is_late = true;
        let lateness = overdue.lateness();
        if self.all_are_late() {
            self.schedule_retry(now);
        }
        Some(lateness)
    }

    /// Removes a connection that was closed by the peer, lost or refused. The next dial is due after a pause, unless it
    /// was scheduled when this connection became late.
    pub fn lost(&mut self, now: Micros, key: K) {
        if self.remove(key).is_some_and(|removed| !removed.is_late) && self.all_are_late() {
            self.schedule_retry(now);
        }
    }

    /// Removes a connection; the next dial is due at `retry_at`.
    pub fn close_and_retry(&mut self, key: K, retry_at: Micros) {
        if self.remove(key).is_some_and(|removed| !removed.is_late) {
            self.retry_at = retry_at;
        }
    }

    /// Removes a connection that was closed to make room.
    pub fn remove_surplus(&mut self, key: K) {
        self.remove(key);
    }

    /// Removes all connections, because the address has changed; a dial is due at once.
    pub fn reset(&mut self) {
        *self = Connections::default();
    }

    /// Schedules the next dial after a pause, because a dial could not be started or the newest connection failed.
    pub fn schedule_retry(&mut self, now: Micros) {
        self.retry_at = now + self.retry_pause;
        self.retry_pause = doubled_pause(self.retry_pause);
    }

    /// Returns the time of the next check if nothing happens before: a dial is due, or a connection becomes late.
    pub fn next_check(&self) -> Micros {
        let in_time = self.candidates.iter().filter(|candidate| !candidate.is_late);
        in_time.map(|candidate| candidate.deadline(self.extra_time())).min().unwrap_or(self.retry_at)
    }

    /// Returns the connection that delivered the last frame, if it is still open.
    pub fn delivering(&self) -> Option<K> {
        let delivers = |candidate: &&Candidate<K>| matches!(candidate.phase, Phase::Delivering { .. });
        self.candidates.iter().find(delivers).map(|candidate| candidate.key)
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.candidates.len()
    }

    fn all_are_late(&self) -> bool {
        self.candidates.iter().all(|candidate| candidate.is_late)
    }

    fn get_mut(&mut self, key: K) -> Option<&mut Candidate<K>> {
        self.candidates.iter_mut().find(|candidate| candidate.key == key)
    }

    fn remove(&mut self, key: K) -> Option<Candidate<K>> {
        let at = self.candidates.iter().position(|candidate| candidate.key == key)?;
        Some(self.candidates.remove(at))
    }

    /// Time added to the timeouts after repeated failures, so that fewer dials go to a slow channel.
    fn extra_time(&self) -> Micros {
        self.retry_pause.saturating_sub(FIRST_RETRY_PAUSE)
    }
}

/// Returns the pause that follows a failed retry after `pause`.
pub(super) fn doubled_pause(pause: Micros) -> Micros {
    (pause * 2).min(MAX_RETRY_PAUSE)
}
