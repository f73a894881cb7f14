//! The gossip datagrams: a version byte, a head, and as many updates as fit. In version 2 the number of updates
//! precedes them, and notes follow. Decoding never panics; bytes that are not a datagram of these versions are an
//! error.

use serde::{Deserialize, Serialize};

/// Version of datagrams without notes.
pub const VERSION_WITHOUT_NOTES: u8 = 1;
/// Version of datagrams with notes. Datagrams without a note keep version 1, so that instances that know only version 1
/// can read them. Other versions than these two are rejected.
pub const VERSION_WITH_NOTES: u8 = 2;
/// Maximum length of a datagram in bytes; longer ones are not allowed between instances.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// Number of an instance among all instances of its tier.
pub type MemberId = u16;
/// Incarnation of an instance: identifies its process and grows with each refutation; higher is later.
pub type Incarnation = u64;

/// Upper bound of incarnations, exclusive: a claim of a higher one could not be refuted.
pub const INCARNATION_LIMIT: Incarnation = 1 << 62;

/// State of a member. Within one incarnation, a later variant supersedes an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum State {
    /// The member answers.
    Alive,
    /// The member did not answer another member, and may still refute the suspicion.
    Suspect,
    /// The member did not answer and did not refute the suspicion in time.
    Dead,
    /// The member announced that it leaves.
    Left,
}

/// State of one member in the sender's view.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash, Serialize)]
pub struct Update {
    /// The member.
    pub member: MemberId,
    /// Incarnation of the member to which the state applies.
    pub incarnation: Incarnation,
    /// State of the member.
    pub state: State,
    /// Member that suspects it.
    pub accuser: MemberId,
}

/// A few bytes that an instance publishes about itself and other members forward.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Hash, Serialize)]
pub struct Note {
    /// Member that published the note.
    pub member: MemberId,
    /// Incarnation of the member in which it published the note.
    pub incarnation: Incarnation,
    /// Sequence number of the note within the incarnation; higher is later.
    pub sequence: u32,
    /// Milliseconds since the note was published or renewed: the sum of the times it was stored at members, without the
    /// transit times between them.
    pub age_ms: u16,
    /// Content, at most [`Note::MAX_BYTES`] long.
    pub bytes: Vec<u8>,
}

impl Note {
    /// Maximum length of a note's content in bytes.
    pub const MAX_BYTES: usize = crate::failover::site_report::MAX_BYTES;
}

/// Maximum length of an encoded note in bytes: content, member, incarnation, sequence, age and length. A datagram with
/// notes reserves this space, so that updates do not displace the first note.
const MAX_ENCODED_NOTE_BYTES: usize = Note::MAX_BYTES + 3 + 9 + 5 + 3 + 1;

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Head of the datagram.
    pub head: Head,
    /// States of some members in the sender's view.
    pub updates: Vec<Update>,
    /// Notes of some members, which may include the sender's.
    pub notes: Vec<Note>,
}

/// Purpose of a datagram besides carrying updates.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash, Serialize)]
pub enum Kind {
    /// Asks the receiver for an `Ack`.
    Ping(u32),
    /// Asks the receiver to ping another member.
    PingReq {
        /// Sequence number of the sender's own probe.
        sequence: u32,
        /// Member to ping.
        target: MemberId,
    },
    /// Answers a ping or, once the target has answered, a ping request.
    Ack(u32),
    /// Answers a ping request whose target has not answered in time; shows that the sender itself is reachable.
    Nack(u32),
    /// Carries only updates.
    Updates,
}

/// Head of a datagram.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash, Serialize)]
pub struct Head {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Purpose of the datagram.
    pub kind: Kind,
}

/// Reason why bytes are not a valid datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is empty or exceeds the maximum length.
    #[error("datagram is empty or longer than 256 bytes; check what sends to the gossip address")]
    Length,
    /// The datagram has an unsupported version.
    #[error("datagram has an unsupported version; finish the upgrade of the fleet")]
    Version,
    /// The datagram is truncated or malformed.
    #[error("datagram is truncated or malformed; check what sends to the gossip address")]
    Form,
    /// A value is out of range.
    #[error("datagram has an incarnation or a note out of range; check what sends to the gossip address")]
    Range,
}

/// An encoded datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Encoded {
    /// The datagram, at most [`MAX_DATAGRAM_BYTES`] long.
    pub bytes: Vec<u8>,
    /// Number of updates that fit.
    pub updates: usize,
    /// Number of notes that fit.
    pub notes: usize,
}

/// Encodes a datagram with as many updates and notes as fit, in order. Without notes the datagram has version 1. No
/// note may be longer than [`Note::MAX_BYTES`].
pub fn encode(head: &Head, updates: impl IntoIterator<Item = Update>, notes: &[Note]) -> Encoded {
    let version = if notes.is_empty() { VERSION_WITHOUT_NOTES } else { VERSION_WITH_NOTES };
    let mut bytes = postcard::to_extend(head, vec![version]).expect("a growing buffer can hold any head");
    if version == VERSION_WITHOUT_NOTES {
        let updates = append(&mut bytes, updates, MAX_DATAGRAM_BYTES);
        return Encoded { bytes, updates, notes: 0 };
    }
    let count_at = bytes.len();
    bytes.push(0);
    let updates = append(&mut bytes, updates, MAX_DATAGRAM_BYTES - MAX_ENCODED_NOTE_BYTES);
    // An update takes at least four bytes, so the count always fits into one byte.
    bytes[count_at] = updates as u8;
    let notes = append(&mut bytes, notes, MAX_DATAGRAM_BYTES);
    Encoded { bytes, updates, notes }
}

/// Appends items while the datagram stays within `max_bytes`. Returns the number of items appended.
fn append<T: Serialize>(bytes: &mut Vec<u8>, items: impl IntoIterator<Item = T>, max_bytes: usize) -> usize {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let mut count = 0;
    for item in items {
        // An item that does not fit into the buffer is longer than a datagram.
        let Ok(encoded) = postcard::to_slice(&item, &mut buffer) else { break };
        if bytes.len() + encoded.len() > max_bytes {
            break;
        }
        bytes.extend_from_slice(encoded);
        count += 1;
    }
    count
}

/// Decodes a datagram without panicking on any input.
///
/// # Errors
/// The bytes are not a datagram of these versions, or contain a value out of range.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DecodeError> {
    let (&version, rest) = bytes.split_first().ok_or(DecodeError::Length)?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::Length);
    }
    if ![VERSION_WITHOUT_NOTES, VERSION_WITH_NOTES].contains(&version) {
        return Err(DecodeError::Version);
    }
    let (head, mut rest) = decode_item::<Head>(rest)?;
    let mut update_count = None;
    if version == VERSION_WITH_NOTES {
        let (&count, after) = rest.split_first().ok_or(DecodeError::Form)?;
        update_count = Some(usize::from(count));
        rest = after;
    }
    let (mut updates, mut notes) = (Vec::new(), Vec::new());
    while update_count.map_or(!rest.is_empty(), |count| updates.len() < count) {
        let (update, after) = decode_item::<Update>(rest)?;
        updates.push(update);
        rest = after;
    }
    while !rest.is_empty() {
        let (note, after) = decode_item::<Note>(rest)?;
        notes.push(note);
        rest = after;
    }
    let datagram = Datagram { head, updates, notes };
    if datagram.is_in_range() {
        Ok(datagram)
    } else {
        Err(DecodeError::Range)
    }
}

fn decode_item<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<(T, &'a [u8]), DecodeError> {
    postcard::take_from_bytes(bytes).map_err(|_| DecodeError::Form)
}

impl Datagram {
    fn is_in_range(&self) -> bool {
        let of_updates = self.updates.iter().map(|update| update.incarnation);
        let of_notes = self.notes.iter().map(|note| note.incarnation);
        let mut incarnations = of_updates.chain(of_notes).chain([self.head.incarnation]);
        incarnations.all(|incarnation| incarnation < INCARNATION_LIMIT)
            && self.notes.iter().all(|note| note.bytes.len() <= Note::MAX_BYTES)
    }
}
