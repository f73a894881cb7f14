//! The datagrams that doormans send each other: a version byte, a head, and as many updates as fit. Any bytes are
//! read without a panic; what is no datagram of this version is an error.

use serde::{Deserialize, Serialize};

/// Version of the form; another one is not read.
pub const VERSION: u8 = 1;
/// Most bytes of a datagram: longer ones are not allowed between doormans.
pub const LARGEST: usize = 256;

/// A doorman, by its number among all of its tier.
pub type MemberId = u16;
/// Which life of a doorman, and how often it has denied its death: higher is later.
pub type Incarnation = u64;

/// Incarnations from here on are no doorman's: one that claims such would leave no room to deny what it claims.
pub const ABSURD: Incarnation = 1 << 62;

/// What is held of a member. In one incarnation the later ones here go before the earlier ones.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer somebody, and may yet deny it.
    Suspect,
    /// It did not answer and has not denied it in time.
    Dead,
    /// It said that it leaves.
    Left,
}

/// One member as the sender sees it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash, Serialize)]
pub struct Update {
    /// Whom it is about.
    pub member: MemberId,
    /// In which incarnation.
    pub incarnation: Incarnation,
    /// What it is.
    pub state: State,
    /// Who suspects it.
    pub accuser: MemberId,
}

/// What a datagram is for, beside its updates.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash, Serialize)]
pub enum Kind {
    /// Answer this.
    Ping(u32),
    /// Ask that member whether it answers.
    PingReq(u32, MemberId),
    /// The answer to a ping, also to one that was asked for.
    Ack(u32),
    /// The member that was to be asked has not answered yet; who says so does.
    Nack(u32),
    /// Nothing but the updates.
    News,
}

/// What stands at the head.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash, Serialize)]
pub struct Head {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// See [`Kind`].
    pub kind: Kind,
}

/// Why bytes are no datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Undecodable {
    /// Longer than may be, or empty.
    Length,
    /// Of another version.
    Version,
    /// Cut off, or not in this form.
    Form,
    /// A figure that nobody can mean.
    Figure,
}

impl std::fmt::Display for Undecodable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Undecodable::Length => "empty or over 256 bytes",
            Undecodable::Version => "of another version",
            Undecodable::Form => "cut off or not in this form",
            Undecodable::Figure => "an incarnation out of range",
        })
    }
}

impl std::error::Error for Undecodable {}

/// Writes a datagram with the updates in their order, as many as fit, and tells how many those are.
pub fn encode(head: &Head, updates: impl IntoIterator<Item = Update>) -> (Vec<u8>, usize) {
    let mut bytes = postcard::to_extend(head, vec![VERSION]).unwrap_or_default();
    let mut space = [0; LARGEST];
    let mut count = 0;
    for update in updates {
        let Ok(coded) = postcard::to_slice(&update, &mut space) else { break };
        if bytes.len() + coded.len() > LARGEST {
            break;
        }
        bytes.extend_from_slice(coded);
        count += 1;
    }
    (bytes, count)
}

/// Reads a datagram.
pub fn decode(bytes: &[u8]) -> Result<(Head, Vec<Update>), Undecodable> {
    let (version, rest) = bytes.split_first().ok_or(Undecodable::Length)?;
    if bytes.len() > LARGEST {
        return Err(Undecodable::Length);
    }
    if *version != VERSION {
        return Err(Undecodable::Version);
    }
    let (head, mut rest) = postcard::take_from_bytes::<Head>(rest).map_err(|_| Undecodable::Form)?;
    let mut updates = Vec::new();
    while !rest.is_empty() {
        let (update, more) = postcard::take_from_bytes::<Update>(rest).map_err(|_| Undecodable::Form)?;
        updates.push(update);
        rest = more;
    }
    let known = std::iter::once(head.incarnation).chain(updates.iter().map(|u| u.incarnation));
    if known.into_iter().any(|i| i >= ABSURD) {
        return Err(Undecodable::Figure);
    }
    Ok((head, updates))
}
