//! Codec of the command channel: numbered endpoint updates and purges.

use super::{take_frame, Malformed};
use bytes::{Buf, BytesMut};
use std::net::{Ipv4Addr, SocketAddr};

const RECORD_BYTES: usize = 27;
/// Valid frame lengths in bytes. The maximum, 65,535 records, exceeds a list of all endpoints.
const FRAME_LENGTHS: std::ops::RangeInclusive<usize> = 9..=RECORD_BYTES * 65_535 + 9;

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The endpoint serves requests.
    Ready,
    /// The endpoint completes its open requests and gets no new ones.
    Draining,
    /// The endpoint was removed.
    Gone,
}

/// The entry of one endpoint in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The endpoint's id.
    pub id: String,
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// State of the endpoint.
    pub state: State,
    /// Index of the endpoint's zone in the settings.
    pub zone: usize,
    /// Index of the endpoint's kind in the settings.
    pub kind: usize,
    /// Cell of the endpoint.
    pub cell: u32,
    /// Weight of the endpoint.
    pub weight: f64,
    /// Unix time of a recent start in milliseconds, or 0.
    pub started_ms: u64,
}

/// The command of an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// The endpoint list, or changes to it.
    Endpoints {
        /// Whether the list is complete, so that endpoints not in it are removed.
        complete: bool,
        /// Entries of the list.
        records: Vec<Record>,
    },
    /// Invalidates copies made before a given time.
    Purge {
        /// The purged object or group.
        scope: Purge,
        /// Unix time of the purge in milliseconds.
        when_ms: u64,
    },
}

/// The scope of a purge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purge {
    /// The object with this id.
    Object(u64),
    /// All objects of the purge group with this number.
    Group(u64),
}

/// A frame of the channel: the event's number and its command, or `None` for an empty frame.
pub type NumberedCommand = (u64, Option<Command>);

/// Decodes and removes a frame from the front of `bytes`; leaves `bytes` unchanged if the frame is incomplete.
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

/// Encodes the first message of an instance on a new connection: the number of its last event.
pub fn encode_hello(cursor: u64) -> [u8; 8] {
    cursor.to_be_bytes()
}
