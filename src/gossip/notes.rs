//! Notes: a few bytes that each instance publishes about itself, piggybacked on gossip datagrams. Notes age, may be
//! lost and are not authoritative. Their content is defined by `crate::failover::site_report`.

use super::message::{Incarnation, MemberId, Note, MAX_DATAGRAM_BYTES};
use crate::routing::events::Micros;

const MICROS_PER_MS: Micros = 1_000;
/// Maximum age of a note that is sent to others, in microseconds.
const MAX_SHARED_AGE: Micros = 10_000_000;
/// Maximum age of a note that is stored, in microseconds.
const MAX_RETAINED_AGE: Micros = 60_000_000;
/// Time after which an unchanged note is renewed, in microseconds.
const RENEWAL_INTERVAL: Micros = 2_000_000;
/// Age below which a received note with new content counts as just changed, in microseconds.
const JUST_CHANGED_AGE: Micros = 1_000_000;
/// Maximum number of extra datagrams per period that are sent after a note, own or received, has just changed.
pub(super) const MAX_EXTRA_DATAGRAMS: usize = 3;
/// Minimum length of an encoded note in bytes.
const MIN_ENCODED_BYTES: usize = 8;

/// A note of another member, as returned by [`super::Gossip::notes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReceivedNote<'a> {
    /// Member that published the note.
    pub member: MemberId,
    /// Microseconds since the note was published or renewed: the sum of the times it was stored at members, without the
    /// transit times between them.
    pub age: Micros,
    /// Content.
    pub bytes: &'a [u8],
}

/// Version of a member's note; higher is later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Version {
    incarnation: Incarnation,
    sequence: u32,
}

/// A note stored by this instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StoredNote {
    member: MemberId,
    version: Version,
    received_at: Micros,
    age_when_received: Micros,
    bytes: Vec<u8>,
    /// Number of datagrams that the note was sent with.
    transmissions: u32,
}

impl StoredNote {
    fn age(&self, now: Micros) -> Micros {
        self.age_when_received.saturating_add(now.saturating_sub(self.received_at))
    }

    fn to_send(&self, now: Micros) -> Note {
        Note {
            member: self.member,
            incarnation: self.version.incarnation,
            sequence: self.version.sequence,
            // Rounded up, so that a note never gets younger in transit.
            age_ms: self.age(now).div_ceil(MICROS_PER_MS) as u16,
            bytes: self.bytes.clone(),
        }
    }
}

/// The notes of this instance and of others, one per member.
#[derive(Clone, Debug)]
pub(super) struct Notes {
    me: MemberId,
    /// Number of datagrams that a changed note is sent with; a renewed one is sent with half as many.
    max_transmissions: u32,
    /// Minimum time between two rounds of extra datagrams, in microseconds.
    period: Micros,
    entries: Vec<StoredNote>,
    last_sequence: u32,
    extra_due: Option<Micros>,
    last_extra: Option<Micros>,
}

impl Notes {
    pub fn new(me: MemberId, max_transmissions: u32, period: Micros) -> Self {
        Notes {
            me,
            max_transmissions,
            period,
            entries: Vec::new(),
            last_sequence: 0,
            extra_due: None,
            last_extra: None,
        }
    }

    fn own(&self) -> Option<&StoredNote> {
        self.entries.iter().find(|entry| entry.member == self.me)
    }

    /// Sets this instance's own note; one that is too long counts as `None`.
    pub fn set(&mut self, now: Micros, incarnation: Incarnation, note: Option<Vec<u8>>) {
        let Some(bytes) = note.filter(|note| note.len() <= Note::MAX_BYTES) else {
            return self.forget(self.me);
        };
        if self.own().is_some_and(|own| own.bytes == bytes && own.age(now) < RENEWAL_INTERVAL) {
            return;
        }
        self.last_sequence = self.last_sequence.saturating_add(1);
        let note = Note { member: self.me, incarnation, sequence: self.last_sequence, age_ms: 0, bytes };
        self.store(now, note);
    }

    /// Stores a note if it is later than the stored one. Returns whether it was.
    pub fn store(&mut self, now: Micros, note: Note) -> bool {
        let Note { member, incarnation, sequence, age_ms, bytes } = note;
        let version = Version { incarnation, sequence };
        let at = self.entries.iter().position(|entry| entry.member == member);
        if at.is_some_and(|at| self.entries[at].version >= version) {
            return false;
        }
        let is_unchanged = at.is_some_and(|at| self.entries[at].bytes == bytes);
        let age_when_received = Micros::from(age_ms) * MICROS_PER_MS;
        if !is_unchanged && age_when_received < JUST_CHANGED_AGE {
            let earliest = self.last_extra.map_or(now, |last| now.max(last + self.period));
            self.extra_due = self.extra_due.or(Some(earliest));
        }
        let transmissions = if is_unchanged { self.max_transmissions / 2 } else { 0 };
        let entry = StoredNote { member, version, received_at: now, age_when_received, bytes, transmissions };
        match at {
            Some(at) => self.entries[at] = entry,
            None => self.entries.push(entry),
        }
        true
    }

    pub fn forget(&mut self, member: MemberId) {
        self.entries.retain(|entry| entry.member != member);
    }

    /// Renews this instance's own note if it is due, and drops notes that are too old. Called once per period.
    pub fn renew(&mut self, now: Micros, incarnation: Incarnation) {
        let own = self.own().map(|own| own.bytes.clone());
        if own.is_some() {
            self.set(now, incarnation, own);
        }
        self.entries.retain(|entry| entry.age(now) <= MAX_RETAINED_AGE);
    }

    /// Returns the time at which extra datagrams are due.
    pub fn extra_due(&self) -> Option<Micros> {
        self.extra_due
    }

    /// Returns whether extra datagrams are due now, and marks them as sent.
    pub fn claim_extra(&mut self, now: Micros) -> bool {
        let is_due = self.extra_due.is_some_and(|due| now >= due);
        if is_due {
            self.extra_due = None;
            self.last_extra = Some(now);
        }
        is_due
    }

    /// Returns the notes for a datagram to a member: those with the fewest transmissions first, then the youngest.
    pub fn due(&mut self, now: Micros, to: MemberId) -> Vec<Note> {
        self.entries.sort_by_key(|entry| (entry.transmissions, entry.age(now)));
        let is_due = |entry: &&StoredNote| {
            entry.transmissions < self.max_transmissions
                && entry.member != to
                && entry.age(now) <= MAX_SHARED_AGE
        };
        let due = self.entries.iter().filter(is_due).take(MAX_DATAGRAM_BYTES / MIN_ENCODED_BYTES);
        due.map(|entry| entry.to_send(now)).collect()
    }

    /// Counts a transmission of these notes.
    pub fn transmitted(&mut self, notes: &[Note]) {
        for note in notes {
            if let Some(entry) = self.entries.iter_mut().find(|entry| entry.member == note.member) {
                entry.transmissions += 1;
            }
        }
    }

    /// Returns the notes of the other members.
    pub fn others(&self, now: Micros) -> impl Iterator<Item = ReceivedNote<'_>> {
        let is_retained =
            move |entry: &&StoredNote| entry.member != self.me && entry.age(now) <= MAX_RETAINED_AGE;
        self.entries.iter().filter(is_retained).map(move |entry| ReceivedNote {
            member: entry.member,
            age: entry.age(now),
            bytes: &entry.bytes,
        })
    }
}
