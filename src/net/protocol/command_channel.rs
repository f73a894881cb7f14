//! The command channel: numbered changes of the list of endpoints, and purges.

use super::{take_frame, Malformed};
use bytes::{Buf, BytesMut};
use std::net::{Ipv4Addr, SocketAddr};

const RECORD_BYTES: usize = 27;
/// More than a list of every endpoint can need: 65,535 records.
const FRAME_LENGTHS: std::ops::RangeInclusive<usize> = 9..=RECORD_BYTES * 65_535 + 9;

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It serves.
    Ready,
    /// It finishes its work.
    Draining,
    /// It is gone.
    Gone,
}

/// What the list says of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Its id as text.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its state.
    pub state: State,
    /// Its zone, as a place in the settings' list.
    pub zone: usize,
    /// Its kind, as a place in the settings' list.
    pub kind: usize,
    /// Its cell.
    pub cell: u32,
    /// Its weight.
    pub weight: f64,
    /// Unix millisecond of a late start, or 0.
    pub started_ms: u64,
}

/// What an event tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// The list of endpoints, or its changes.
    Endpoints {
        /// Who is not named is gone.
        complete: bool,
        /// The entries.
        records: Vec<Record>,
    },
    /// Copies older than a Unix millisecond are void.
    Purge {
        /// The object or the group.
        scope: Purge,
        /// When it was purged.
        when_ms: u64,
    },
}

/// What is purged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purge {
    /// One object.
    Object(u64),
    /// All objects of a group.
    Group(u64),
}

/// One frame of the channel; `None`: nothing new.
pub type NumberedCommand = (u64, Option<Command>);

/// Takes one frame off the front of `bytes`, or leaves them as they are if it is not whole yet.
pub fn decode(bytes: &mut BytesMut) -> Result<Option<NumberedCommand>, Malformed> {
    let Some(mut frame) = take_frame(bytes, FRAME_LENGTHS)? else { return Ok(None) };
    let (number, kind) = (frame.get_u64(), frame.get_u8());
    let command = match (kind, frame.len()) {
        (0, _) => None,
        (1 | 2, size) if size % RECORD_BYTES == 0 => {
            let records = frame.chunks_exact(RECORD_BYTES).map(decode_record).collect::<Result<_, _>>()?;
            Some(Command::Endpoints { complete: kind == 1, records })
        }
        (3, 16) => {
            let scope = Purge::Object(frame.get_u64());
            Some(Command::Purge { scope, when_ms: frame.get_u64() })
        }
        (4, 10) => {
            let scope = Purge::Group(u64::from(frame.get_u16()));
            Some(Command::Purge { scope, when_ms: frame.get_u64() })
        }
        _ => return Err(Malformed::EventKind),
    };
    Ok(Some((number, command)))
}

fn decode_record(mut bytes: &[u8]) -> Result<Record, Malformed> {
    Ok(Record {
        id: format!("s-{:08x}", bytes.get_u32()),
        address: SocketAddr::from((Ipv4Addr::from_bits(bytes.get_u32()), bytes.get_u16())),
        state: match bytes.get_u8() {
            0 => State::Ready,
            1 => State::Draining,
            2 => State::Gone,
            _ => return Err(Malformed::EndpointState),
        },
        zone: usize::from(bytes.get_u8()),
        kind: usize::from(bytes.get_u8()),
        cell: u32::from(bytes.get_u16()),
        weight: f64::from(bytes.get_u32()) / 1000.0,
        started_ms: bytes.get_u64(),
    })
}

/// What an instance writes on a new connection: the last event that it has.
pub fn encode_hello(cursor: u64) -> [u8; 8] {
    cursor.to_be_bytes()
}
