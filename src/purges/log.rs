//! The fleet-wide purge log as an instance follows it: totally ordered, stored in a registry, with bounded staleness.
//!
//! The module does no I/O and reads no clock. Its caller passes in the changed documents of the registry and the time
//! as of which they are known to be current; the module returns the purges to apply and the maximum age of copies.
//!
//! ```text
//! PREFIX head      the last number, and the time of its purge
//! PREFIX log/0007  the entry whose number is 7 modulo SLOTS: a ring, in which entry n + SLOTS overwrites entry n
//! ```
//!
//! The transaction that writes an entry and the head ([`append`]) assigns consecutive numbers, and times that never
//! decrease. Invariants, and how they are kept:
//!
//! - No purge is skipped. A gap in the numbers reveals missed entries; until the purges of the missed entries have
//!   propagated, every copy from before the gap is void. Unreadable and misplaced entries have the same effect.
//! - An instance that is cut off does not go on as if nothing were purged. It needs no message to notice: once the
//!   documents have not been confirmed for the maximum staleness, no copy older than that is accepted.
//! - Memory is bounded. The ring holds [`SLOTS`] entries, and an instance keeps only numbers and times.

#[cfg(test)]
mod tests;

use super::staleness::{Change, CutOff, StalenessBound, Transition};
use super::PurgeScope;
use crate::routing::events::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const MS: Micros = 1_000;
/// Number of entries in the ring.
pub const SLOTS: u64 = 1_024;
/// Key prefix of the entries, below the prefix of the log.
pub const ENTRIES: &str = "log/";
/// Key of the head, below the prefix of the log.
pub const HEAD: &str = "head";
/// Maximum number of scopes in one entry.
pub const MAX_ENTRY_SCOPES: usize = 1_000;
/// Format version of entries and head.
const FORMAT: u8 = 1;

/// Settings for following a log. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Addresses of the registry's members, or of relays to them.
    pub endpoints: Vec<SocketAddr>,
    /// Key prefix of the log in the registry.
    pub prefix: String,
    /// Bound on staleness: the time after which a purge is in force at every instance, known to it or not.
    pub max_staleness: Micros,
    /// Maximum difference between the clocks of issuers and instances.
    pub max_clock_skew: Micros,
    /// Time between two checks that the log is current.
    pub check_interval: Micros,
    /// Time after which an unanswered check makes the instance try another endpoint.
    pub check_timeout: Micros,
}

impl Settings {
    /// Creates the default settings.
    pub fn new(endpoints: Vec<SocketAddr>, prefix: &str) -> Self {
        Settings {
            endpoints,
            prefix: prefix.to_owned(),
            max_staleness: 1_000 * MS,
            max_clock_skew: 250 * MS,
            check_interval: 250 * MS,
            check_timeout: 400 * MS,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Number of the entry; numbers are consecutive, from 1.
    pub number: u64,
    /// Time of the purge in Unix milliseconds, not before that of the previous entry; copies made before it are void.
    pub when_ms: u64,
    /// The purged scopes.
    pub scopes: Vec<PurgeScope>,
}

/// Number and time of the last entry of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the last entry; 0: the log is empty.
    pub number: u64,
    /// Time of the last entry in Unix milliseconds.
    pub when_ms: u64,
}

/// Error in the content of a log, or in a purge to append.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The value is truncated, or is not an entry or a head.
    #[error("'{key}' is not part of a purge log; it counts as a purge of everything. Find out what wrote it, and let only `larchdale purge` write to the log")]
    Unreadable {
        /// Key below the prefix.
        key: String,
    },
    /// The value has the format of another version.
    #[error("'{key}' has format {format}, but this version reads format {FORMAT}; it counts as a purge of everything. Run the same version everywhere")]
    Format {
        /// Key below the prefix.
        key: String,
        /// Format version found.
        format: u8,
    },
    /// The entry has the key of another number, or its time is before that of the previous entry.
    #[error("'{key}' is out of order ({why}); it counts as a purge of everything. Find out what wrote it, and let only `larchdale purge` write to the log")]
    OutOfOrder {
        /// Key below the prefix.
        key: String,
        /// The violated rule.
        why: &'static str,
    },
    /// The entry was removed from the log.
    #[error("'{key}' was removed; it counts as a purge of everything. Do not remove entries: the log overwrites old ones itself")]
    Removed {
        /// Key below the prefix.
        key: String,
    },
    /// The purge has too many scopes, or none.
    #[error(
        "a purge has {scopes} scopes; 1 to {MAX_ENTRY_SCOPES} are allowed. Split it into several purges"
    )]
    ScopeCount {
        /// Number of scopes.
        scopes: usize,
    },
    /// The last number has been used.
    #[error("the log has reached its last number; start a new log below another prefix")]
    Full,
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(value, vec![FORMAT]).unwrap_or_default()
}

fn decode<'a, T: Deserialize<'a>>(key: &str, bytes: &'a [u8]) -> Result<T, LogError> {
    let unreadable = || LogError::Unreadable { key: key.to_owned() };
    let (&format, body) = bytes.split_first().ok_or_else(unreadable)?;
    if format != FORMAT {
        return Err(LogError::Format { key: key.to_owned(), format });
    }
    match postcard::take_from_bytes::<T>(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(unreadable()),
    }
}

/// Returns the key of an entry, below [`ENTRIES`].
pub fn slot_key(number: u64) -> String {
    format!("{:04}", number % SLOTS)
}

/// Key below the prefix of a log, with its new value.
pub type Write = (String, Vec<u8>);

/// Returns the entry for a new purge and the writes that append it to a log: keys below the prefix with their new
/// values, to be written in one transaction if the head is still as it was read (`None`: it does not exist).
///
/// # Errors
/// The purge has too many scopes or none, the head is unreadable, or the log has reached its last number.
pub fn append(
    head: Option<&[u8]>,
    now_ms: u64,
    scopes: Vec<PurgeScope>,
) -> Result<(Entry, [Write; 2]), LogError> {
    if !(1..=MAX_ENTRY_SCOPES).contains(&scopes.len()) {
        return Err(LogError::ScopeCount { scopes: scopes.len() });
    }
    let last: Head = head.map(|h| decode(HEAD, h)).transpose()?.unwrap_or_default();
    let number = last.number.checked_add(1).ok_or(LogError::Full)?;
    let entry = Entry { number, when_ms: now_ms.max(last.when_ms), scopes };
    let head = Head { number, when_ms: entry.when_ms };
    let writes =
        [(HEAD.to_owned(), encode(&head)), (format!("{ENTRIES}{}", slot_key(number)), encode(&entry))];
    Ok((entry, writes))
}

/// Action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Copies in this scope, an object or a group, that were made before a time in Unix milliseconds are void.
    Purge(PurgeScope, u64),
    /// No copy older than this is accepted; `None`: all purges are known.
    SetStalenessBound(Option<Micros>),
    /// All copies in the local cache are void: purges may have been missed since they were made.
    ClearLocalCache,
    /// Report a notice to the operators.
    Notify(Notice),
}

/// Notice for the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The log has not been confirmed for longer than the maximum staleness.
    CutOff,
    /// The log is confirmed again, or for the first time.
    Current {
        /// Time for which the log was not confirmed, in microseconds.
        after: Micros,
    },
    /// Entries that were overwritten before they were read.
    Missed {
        /// Number of the first missed entry.
        from: u64,
        /// Number of the last missed entry.
        to: u64,
        /// Whether the missed purges may still be propagating, so that all copies from before them are void.
        void: bool,
    },
    /// Entries with known numbers were written again: the log was started again, or another program writes to it.
    Rewritten {
        /// Number of the last entry read before.
        known: u64,
        /// Number of the last entry written again.
        written: u64,
    },
    /// An entry cannot be used.
    Unusable(LogError),
}

/// Counters since the start of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Entries applied, including those too old to require an action.
    pub entries: u64,
    /// Entries that were overwritten before they were read.
    pub missed: u64,
    /// Entries that could not be used.
    pub unusable: u64,
    /// Number of times that the instance was cut off.
    pub cut_offs: u64,
}

/// State of the log at one instance.
#[derive(Clone, Debug)]
pub struct PurgeLog {
    max_clock_skew: Micros,
    /// Time after a purge for which older copies may remain somewhere.
    propagation_time: Micros,
    /// The last entry that was applied or skipped; `None`: the log was not read yet.
    last: Option<Head>,
    /// Time as of which the log was last known to be current.
    confirmed_at: Option<Micros>,
    staleness: StalenessBound,
    counters: Counters,
}

impl PurgeLog {
    /// Creates the state of a log that was not read yet, and so is not current. `propagation_time` is the time after a
    /// purge for which older copies may remain somewhere.
    pub fn new(settings: &Settings, propagation_time: Micros, now: Micros) -> Self {
        PurgeLog {
            max_clock_skew: settings.max_clock_skew,
            propagation_time,
            last: None,
            confirmed_at: None,
            staleness: StalenessBound::new_cut_off(settings.max_staleness, now),
            counters: Counters::default(),
        }
    }

    /// Sets the time after a purge for which older copies may remain somewhere.
    pub fn set_propagation_time(&mut self, propagation_time: Micros) {
        self.propagation_time = propagation_time;
    }

    /// Returns the number of the last known entry; 0: none.
    pub fn last_number(&self) -> u64 {
        self.last.map_or(0, |last| last.number)
    }

    /// Returns whether all purges older than the maximum staleness are known.
    pub fn is_current(&self) -> bool {
        !self.staleness.is_cut_off()
    }

    /// Returns whether a staleness bound is in force in addition to the purges.
    pub fn is_bounded(&self) -> bool {
        self.staleness.is_bounded()
    }

    /// Returns the time at which a staleness bound was last introduced or tightened: earlier decisions are not valid.
    pub fn bound_tightened_at(&self) -> Option<Micros> {
        self.staleness.tightened_at()
    }

    /// Returns the time before which all copies are void.
    pub fn void_before(&self) -> Option<Micros> {
        self.staleness.void_before()
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        Counters { cut_offs: self.staleness.cut_offs(), ..self.counters }
    }

    /// Returns the time at which the bound changes if no message arrives.
    pub fn next_deadline(&self) -> Micros {
        let max_staleness = self.staleness.max_staleness();
        let cut_off_at = match self.confirmed_at {
            Some(confirmed) if self.is_current() => confirmed.saturating_add(max_staleness).saturating_add(1),
            _ => Micros::MAX,
        };
        cut_off_at.min(self.staleness.next_update())
    }

    /// Applies changed entries, by their keys below [`ENTRIES`]; `None`: removed. The first call must pass all entries.
    /// `unix_ms` is `now` in Unix milliseconds.
    pub fn apply_changes<'a>(
        &mut self,
        now: Micros,
        unix_ms: u64,
        entries: impl IntoIterator<Item = (&'a str, Option<&'a [u8]>)>,
        actions: &mut Vec<Action>,
    ) {
        let is_first_read = self.last.is_none();
        let known = *self.last.get_or_insert_default();
        let mut new_entries: Vec<Entry> = Vec::new();
        for (key, value) in entries {
            match decode_entry(key, value) {
                Ok(entry) => new_entries.push(entry),
                Err(e) => self.record_unusable(now, e, actions),
            }
        }
        new_entries.sort_by_key(|e| e.number);
        if let (Some(lowest), Some(highest)) = (new_entries.first(), new_entries.last()) {
            if lowest.number <= known.number {
                return self.handle_rewrite(now, highest.number, highest.when_ms, actions);
            }
        }
        // In a ring with gaps only the last unbroken run is applied: the numbers before it are missed.
        let run_start =
            new_entries.windows(2).rposition(|w| w[0].number + 1 != w[1].number).map_or(0, |index| index + 1);
        let Some(resumed_at) = new_entries.get(run_start).map(|e| (e.number, e.when_ms)) else { return };
        if resumed_at.0 > known.number + 1 {
            self.handle_gap(now, unix_ms, known.number + 1, resumed_at, is_first_read, actions);
        }
        let mut last = known;
        for entry in new_entries.drain(run_start..) {
            if entry.when_ms < last.when_ms {
                let key = slot_key(entry.number);
                let why = "its time is before that of the previous entry";
                self.record_unusable(now, LogError::OutOfOrder { key, why }, actions);
            }
            last = Head { number: entry.number, when_ms: entry.when_ms.max(last.when_ms) };
            self.apply_entry(now, unix_ms, entry, is_first_read, actions);
        }
        self.last = Some(last);
    }

    /// Updates the time as of which the log was known to be current. The caller must call
    /// [`PurgeLog::apply_changes`] first, so that all entries are applied before the log counts as current.
    pub fn update_confirmation(&mut self, now: Micros, confirmed: Option<Micros>, actions: &mut Vec<Action>) {
        // A confirmation before the first list does not count, because no entry was read.
        self.confirmed_at = self.confirmed_at.max(confirmed.filter(|_| self.last.is_some()));
        let max_staleness = self.staleness.max_staleness();
        let is_confirmed = self.confirmed_at.is_some_and(|at| now.saturating_sub(at) <= max_staleness);
        let Change { transition, bound } = self.staleness.update(now, (!is_confirmed).then(CutOff::default));
        let notice = transition.map(|transition| match transition {
            Transition::CutOff => Notice::CutOff,
            Transition::Current { after } => Notice::Current { after },
        });
        actions.extend(notice.map(Action::Notify));
        actions.extend(bound.map(Action::SetStalenessBound));
    }

    /// Returns the minimum age of a time in Unix milliseconds that the clock skew allows, in microseconds.
    fn age(&self, unix_ms: u64, when_ms: u64) -> Micros {
        (unix_ms.saturating_sub(when_ms) * MS).saturating_sub(self.max_clock_skew)
    }

    /// Voids all copies made before `at`, for the propagation time.
    fn void_all_before(&mut self, now: Micros, at: Micros) {
        self.staleness.void_all_before(at, now.saturating_add(self.propagation_time));
    }

    fn record_unusable(&mut self, now: Micros, why: LogError, actions: &mut Vec<Action>) {
        self.counters.unusable += 1;
        self.void_all_before(now, now.saturating_add(self.max_clock_skew));
        actions.extend([Action::ClearLocalCache, Action::Notify(Notice::Unusable(why))]);
    }

    /// Handles known numbers that were written again: all copies made before now are void, whatever the new entries
    /// say.
    fn handle_rewrite(&mut self, now: Micros, written: u64, when_ms: u64, actions: &mut Vec<Action>) {
        let known = self.last_number();
        self.void_all_before(now, now.saturating_add(self.max_clock_skew));
        self.last = Some(Head { number: written, when_ms });
        actions.extend([Action::ClearLocalCache, Action::Notify(Notice::Rewritten { known, written })]);
    }

    /// Handles a gap: the entries from `from` on were missed, up to the one whose number and time are `resumed_at`. No
    /// missed purge is later than that time.
    fn handle_gap(
        &mut self,
        now: Micros,
        unix_ms: u64,
        from: u64,
        resumed_at: (u64, u64),
        is_first_read: bool,
        actions: &mut Vec<Action>,
    ) {
        let age = self.age(unix_ms, resumed_at.1);
        let void = age < self.propagation_time;
        if void {
            self.void_all_before(now, now.saturating_sub(age));
        }
        actions.push(Action::ClearLocalCache);
        // An instance that has just started missed nothing if the missed purges have propagated.
        if void || !is_first_read {
            let to = resumed_at.0 - 1;
            self.counters.missed += to - from + 1;
            actions.push(Action::Notify(Notice::Missed { from, to, void }));
        }
    }

    fn apply_entry(
        &mut self,
        now: Micros,
        unix_ms: u64,
        entry: Entry,
        is_first_read: bool,
        actions: &mut Vec<Action>,
    ) {
        self.counters.entries += 1;
        let age = self.age(unix_ms, entry.when_ms);
        if is_first_read && age >= self.propagation_time {
            return; // older copies remain nowhere, and the local cache is still empty
        }
        for scope in entry.scopes {
            match scope {
                PurgeScope::Object(_) | PurgeScope::Group(_) => {
                    actions.push(Action::Purge(
                        scope,
                        entry.when_ms.saturating_add(self.max_clock_skew.div_ceil(MS)),
                    ));
                }
                // The instance does not know which objects these are, so all older copies are void.
                PurgeScope::Tag(_) | PurgeScope::Pattern(_) => {
                    self.void_all_before(now, now.saturating_sub(age));
                    actions.push(Action::ClearLocalCache);
                }
            }
        }
    }
}

/// Decodes the entry at a key and checks its number and its scopes.
fn decode_entry(key: &str, value: Option<&[u8]>) -> Result<Entry, LogError> {
    let value = value.ok_or_else(|| LogError::Removed { key: key.to_owned() })?;
    let entry: Entry = decode(key, value)?;
    if entry.number == 0 || key != slot_key(entry.number) {
        return Err(LogError::OutOfOrder { key: key.to_owned(), why: "the key is that of another number" });
    }
    if !(1..=MAX_ENTRY_SCOPES).contains(&entry.scopes.len()) {
        return Err(LogError::ScopeCount { scopes: entry.scopes.len() });
    }
    Ok(entry)
}
