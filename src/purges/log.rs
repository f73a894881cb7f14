//! The purge log of the whole fleet, as an instance follows it: one order, kept in a registry, with bounded staleness.
//!
//! A core: no clock, no input, no output. Its owner hands on what the registry's documents say and the moment as of
//! which they are known to be current; it says which purges are in force and how old a copy may be.
//!
//! ```text
//! PREFIX head      the last number, and the moment of its purge
//! PREFIX log/0007  the entry whose number is 7 modulo SLOTS: a ring, each overwritten by the one SLOTS later
//! ```
//!
//! Entries are numbered one by one by the transaction that writes entry and head ([`append`]), and their moments never go
//! back. What must never happen, and why it can't:
//!
//! - A purge is passed over. Numbers that never came show by the gap; as long as copies older than one of them may
//!   linger, every copy from before the gap counts as void. So do entries that can't be read, or that are out of place.
//! - An instance that is cut off goes on as if nothing were purged. Nothing needs to arrive for it to know: once the
//!   documents were not confirmed for the bound on staleness, no copy older than that bound is accepted.
//! - Room without end. The ring holds [`SLOTS`] entries, here only numbers and moments are kept.

#[cfg(test)]
mod tests;

use super::PurgeScope;
use crate::routing::events::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const MS: Micros = 1_000;
/// Entries that the ring holds.
pub const SLOTS: u64 = 1_024;
/// Below the prefix of a log: its entries.
pub const ENTRIES: &str = "log/";
/// Below the prefix of a log: its last number.
pub const HEAD: &str = "head";
/// Most things that one entry covers.
pub const MAX_ENTRY_SCOPES: usize = 1_000;
/// Format of entries and head.
const FORMAT: u8 = 1;
/// A bound that follows a floor is told anew after so long.
const STEP: Micros = 250 * MS;

/// How a log is followed. Times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where the registry's members, or relays of theirs, listen.
    pub endpoints: Vec<SocketAddr>,
    /// Below it the log is kept.
    pub prefix: String,
    /// The bound on staleness: what was purged longer ago is in force, known or not.
    pub max_staleness: Micros,
    /// How far the issuers' clocks and the instances' may differ.
    pub max_clock_skew: Micros,
    /// Between two checks that the log is current.
    pub check_interval: Micros,
    /// A check takes no longer, else another endpoint is tried.
    pub check_timeout: Micros,
}

impl Settings {
    /// The ordinary way.
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
    /// Its number: from 1 on, none left out.
    pub number: u64,
    /// Unix millisecond of the purge: copies made before it are void. No earlier than that of the entry before.
    pub when_ms: u64,
    /// What it covers.
    pub scopes: Vec<PurgeScope>,
}

/// The end of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The last number; 0: the log is empty.
    pub number: u64,
    /// The moment of that entry.
    pub when_ms: u64,
}

/// Why something of a log can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// Cut off, or something else.
    #[error("'{key}' is no part of a purge log; it counts as a purge of everything. See who wrote it, and let only `larchdale purge` write there")]
    Unreadable {
        /// Its key below the prefix.
        key: String,
    },
    /// Written by a later version.
    #[error("'{key}' has format {format}, and this version reads {FORMAT}; it counts as a purge of everything. Run the same version everywhere")]
    Format {
        /// Its key below the prefix.
        key: String,
        /// What was found.
        format: u8,
    },
    /// It stands where another number belongs, or its moment goes back.
    #[error("'{key}' is out of its order ({why}); it counts as a purge of everything. See who wrote it, and let only `larchdale purge` write there")]
    OutOfOrder {
        /// Its key below the prefix.
        key: String,
        /// What shows it.
        why: &'static str,
    },
    /// Taken out of the log.
    #[error("'{key}' was removed; what it said counts as a purge of everything. Entries go by being overwritten: remove none")]
    Removed {
        /// Its key below the prefix.
        key: String,
    },
    /// More than an entry may cover, or nothing.
    #[error("a purge covers {covers} things; 1 to {MAX_ENTRY_SCOPES} may be. Make several of it")]
    Covers {
        /// How many.
        covers: usize,
    },
    /// The numbers have an end.
    #[error("the log is full to its last number; begin one below another prefix")]
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

/// The key of an entry, below [`ENTRIES`].
pub fn slot(number: u64) -> String {
    format!("{:04}", number % SLOTS)
}

/// A key below the prefix of a log, with its new value.
pub type Write = (String, Vec<u8>);

/// What appends a purge to a log: the keys below the prefix with their new values, to be written as one transaction if
/// the head is still as it was read (`None`: not there).
///
/// # Errors
/// It covers too much or nothing, the head can't be read, or the log is full.
pub fn append(
    head: Option<&[u8]>,
    now_ms: u64,
    covers: Vec<PurgeScope>,
) -> Result<(Entry, [Write; 2]), LogError> {
    if !(1..=MAX_ENTRY_SCOPES).contains(&covers.len()) {
        return Err(LogError::Covers { covers: covers.len() });
    }
    let last: Head = head.map(|h| decode(HEAD, h)).transpose()?.unwrap_or_default();
    let number = last.number.checked_add(1).ok_or(LogError::Full)?;
    let entry = Entry { number, when_ms: now_ms.max(last.when_ms), scopes: covers };
    let head = Head { number, when_ms: entry.when_ms };
    let writes = [(HEAD.to_owned(), encode(&head)), (format!("{ENTRIES}{}", slot(number)), encode(&entry))];
    Ok((entry, writes))
}

/// What the owner is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Copies of this made before a Unix millisecond are void. Objects and groups only.
    Purge(PurgeScope, u64),
    /// No copy older than this is accepted; `None`: what was purged is known.
    SetStalenessBound(Option<Micros>),
    /// Copies that the instance keeps itself are void: purges may have been missed since they were made.
    ClearLocalCache,
    /// Tell the operators.
    Notify(Notice),
}

/// What operators are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The log was not confirmed for too long, or not at all yet.
    CutOff,
    /// It is again, after so long.
    Current {
        /// How long it was not.
        after: Micros,
    },
    /// Numbers that never came; `void`: copies older than they are may linger, so all from before count as void.
    Missed {
        /// The first.
        from: u64,
        /// The last.
        to: u64,
        /// See above.
        void: bool,
    },
    /// Numbers that were known are written anew: the log was begun again, or somebody else writes there.
    Rewritten {
        /// The last number known.
        known: u64,
        /// The last number written now.
        written: u64,
    },
    /// Something in it can't be used.
    Unusable(LogError),
}

/// What is counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Entries put in force.
    pub entries: u64,
    /// Numbers that never came.
    pub missed: u64,
    /// Entries that could not be used.
    pub unusable: u64,
    /// Times that nothing could be vouched for.
    pub cut_offs: u64,
}

/// The log as one instance knows it.
#[derive(Clone, Debug)]
pub struct PurgeLog {
    staleness: Micros,
    skew: Micros,
    /// For so long copies older than a purge may linger.
    lingers: Micros,
    /// The last entry put in force or passed over for good; `None`: none was read yet.
    last: Option<Head>,
    /// Copies from before it are void whatever they are of, as long as they may linger; both as moments.
    floor: Option<(Micros, Micros)>,
    confirmed: Option<Micros>,
    cut_off: Option<Micros>,
    /// The bound as last told, and when.
    bound: Option<(Micros, Micros)>,
    /// When the bound was last looked at.
    looked: Micros,
    tightened: Option<Micros>,
    figures: Counters,
}

impl PurgeLog {
    /// Knows nothing yet, and so vouches for nothing. `lingers`: for so long copies older than a purge may be left
    /// somewhere.
    pub fn new(settings: &Settings, lingers: Micros, now: Micros) -> Self {
        PurgeLog {
            staleness: settings.max_staleness,
            skew: settings.max_clock_skew,
            lingers,
            last: None,
            floor: None,
            confirmed: None,
            cut_off: Some(now),
            bound: None,
            looked: now,
            tightened: None,
            figures: Counters::default(),
        }
    }

    /// Other settings say for how long copies linger.
    pub fn set_propagation_time(&mut self, lingers: Micros) {
        self.lingers = lingers;
    }

    /// The last number known; 0: none.
    pub fn last_number(&self) -> u64 {
        self.last.map_or(0, |l| l.number)
    }

    /// Whether what was purged longer ago than the bound on staleness is known.
    pub fn is_current(&self) -> bool {
        self.cut_off.is_none()
    }

    /// Whether any bound beyond the purges themselves is in force.
    pub fn is_bounded(&self) -> bool {
        self.bound.is_some()
    }

    /// When a bound came, or became tighter, last: what was decided before it does not count.
    pub fn bound_tightened_at(&self) -> Option<Micros> {
        self.tightened
    }

    /// Copies made before this moment are void, whatever they are of.
    pub fn void_before(&self) -> Option<Micros> {
        self.floor.map(|f| f.0)
    }

    /// What has been counted.
    pub fn counters(&self) -> Counters {
        self.figures
    }

    /// When the bound changes without anything being heard.
    pub fn next_deadline(&self) -> Micros {
        let cut = match (self.cut_off, self.confirmed) {
            (None, Some(confirmed)) => confirmed.saturating_add(self.staleness).saturating_add(1),
            _ => Micros::MAX,
        };
        let floor = self.floor.map_or(Micros::MAX, |_| self.looked.saturating_add(STEP));
        cut.min(floor)
    }

    /// Takes entries that have changed, by their keys below [`ENTRIES`]; `None`: removed. At the first call all that
    /// there are. `unix_ms` is the Unix millisecond of `now`.
    pub fn apply_changes<'a>(
        &mut self,
        now: Micros,
        unix_ms: u64,
        entries: impl IntoIterator<Item = (&'a str, Option<&'a [u8]>)>,
        actions: &mut Vec<Action>,
    ) {
        let first = self.last.is_none();
        let known = *self.last.get_or_insert_default();
        let mut new: Vec<Entry> = Vec::new();
        for (key, value) in entries {
            match read(key, value) {
                Ok(entry) => new.push(entry),
                Err(e) => self.unusable(now, e, actions),
            }
        }
        new.sort_by_key(|e| e.number);
        if let (Some(lowest), Some(highest)) = (new.first(), new.last()) {
            if lowest.number <= known.number {
                return self.went_back(now, highest.number, highest.when_ms, actions);
            }
        }
        // A ring of which numbers lack counts from its last unbroken run on: what is before that is missed.
        let run = new.windows(2).rposition(|w| w[0].number + 1 != w[1].number).map_or(0, |at| at + 1);
        let Some(begins) = new.get(run).map(|e| (e.number, e.when_ms)) else { return };
        if begins.0 > known.number + 1 {
            self.missed(now, unix_ms, known.number + 1, begins, first, actions);
        }
        let mut last = known;
        for entry in new.drain(run..) {
            if entry.when_ms < last.when_ms {
                let key = slot(entry.number);
                let why = "its moment is before that of the entry before";
                self.unusable(now, LogError::OutOfOrder { key, why }, actions);
            }
            last = Head { number: entry.number, when_ms: entry.when_ms.max(last.when_ms) };
            self.put_in_force(now, unix_ms, entry, first, actions);
        }
        self.last = Some(last);
    }

    /// Says as of which moment the log was known to be current; to be called after [`PurgeLog::apply_changes`], so that what
    /// came with it is in force before it is vouched for.
    pub fn update_confirmation(&mut self, now: Micros, confirmed: Option<Micros>, actions: &mut Vec<Action>) {
        // Without a list nothing was read, whatever is confirmed.
        self.confirmed = self.confirmed.max(confirmed.filter(|_| self.last.is_some()));
        let vouched = self.confirmed.is_some_and(|c| now.saturating_sub(c) <= self.staleness);
        match (vouched, self.cut_off) {
            (true, Some(since)) => {
                self.cut_off = None;
                actions.push(Action::Notify(Notice::Current { after: now.saturating_sub(since) }));
            }
            (false, None) => {
                self.cut_off = Some(now);
                self.figures.cut_offs += 1;
                actions.push(Action::Notify(Notice::CutOff));
            }
            _ => {}
        }
        self.looked = now;
        self.floor = self.floor.filter(|f| now < f.1);
        let cut = self.cut_off.map(|_| self.staleness);
        let floor = self.floor.map(|f| now.saturating_sub(f.0));
        let bound = cut.into_iter().chain(floor).min();
        let tell = match (bound, self.bound) {
            (Some(new), Some((old, told))) => new < old || new > old && now >= told.saturating_add(STEP),
            (new, old) => new.is_some() != old.is_some(),
        };
        if !tell {
            return;
        }
        if bound.is_some_and(|new| self.bound.is_none_or(|old| new < old.0)) {
            self.tightened = Some(now);
        }
        self.bound = bound.map(|b| (b, now));
        actions.push(Action::SetStalenessBound(bound));
    }

    /// How long ago a Unix millisecond was, at the least that the clocks allow.
    fn age(&self, unix_ms: u64, when_ms: u64) -> Micros {
        (unix_ms.saturating_sub(when_ms) * MS).saturating_sub(self.skew)
    }

    /// All copies from before `at` are void.
    fn raise_floor(&mut self, now: Micros, at: Micros) {
        let until = now.saturating_add(self.lingers);
        let old = self.floor.unwrap_or((0, 0));
        self.floor = Some((old.0.max(at), old.1.max(until)));
    }

    fn unusable(&mut self, now: Micros, why: LogError, actions: &mut Vec<Action>) {
        self.figures.unusable += 1;
        self.raise_floor(now, now.saturating_add(self.skew));
        actions.extend([Action::ClearLocalCache, Action::Notify(Notice::Unusable(why))]);
    }

    /// What was known is written anew. Whatever it says now, copies from before now are void.
    fn went_back(&mut self, now: Micros, there: u64, when_ms: u64, actions: &mut Vec<Action>) {
        let known = self.last_number();
        self.raise_floor(now, now.saturating_add(self.skew));
        self.last = Some(Head { number: there, when_ms });
        actions
            .extend([Action::ClearLocalCache, Action::Notify(Notice::Rewritten { known, written: there })]);
    }

    /// Numbers from `from` on never came; the log goes on with that one and its moment. No missed purge is later.
    fn missed(
        &mut self,
        now: Micros,
        unix_ms: u64,
        from: u64,
        goes_on: (u64, u64),
        first: bool,
        actions: &mut Vec<Action>,
    ) {
        let age = self.age(unix_ms, goes_on.1);
        let void = age < self.lingers;
        if void {
            self.raise_floor(now, now.saturating_sub(age));
        }
        actions.push(Action::ClearLocalCache);
        // An instance that has just begun missed nothing where the ring reaches back far enough.
        if void || !first {
            let to = goes_on.0 - 1;
            self.figures.missed += to - from + 1;
            actions.push(Action::Notify(Notice::Missed { from, to, void }));
        }
    }

    fn put_in_force(
        &mut self,
        now: Micros,
        unix_ms: u64,
        entry: Entry,
        first: bool,
        actions: &mut Vec<Action>,
    ) {
        self.figures.entries += 1;
        let age = self.age(unix_ms, entry.when_ms);
        if first && age >= self.lingers {
            return; // what it was about is gone everywhere, and nothing was kept here yet
        }
        for cover in entry.scopes {
            match cover {
                PurgeScope::Object(_) | PurgeScope::Group(_) => {
                    actions.push(Action::Purge(cover, entry.when_ms.saturating_add(self.skew.div_ceil(MS))));
                }
                // Which objects these are is not known here: unknown is strict.
                PurgeScope::Tag(_) | PurgeScope::Pattern(_) => {
                    self.raise_floor(now, now.saturating_sub(age));
                    actions.push(Action::ClearLocalCache);
                }
            }
        }
    }
}

/// An entry at its key.
fn read(key: &str, value: Option<&[u8]>) -> Result<Entry, LogError> {
    let value = value.ok_or_else(|| LogError::Removed { key: key.to_owned() })?;
    let entry: Entry = decode(key, value)?;
    if entry.number == 0 || key != slot(entry.number) {
        return Err(LogError::OutOfOrder { key: key.to_owned(), why: "another number belongs there" });
    }
    if !(1..=MAX_ENTRY_SCOPES).contains(&entry.scopes.len()) {
        return Err(LogError::Covers { covers: entry.scopes.len() });
    }
    Ok(entry)
}
