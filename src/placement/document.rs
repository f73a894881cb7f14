//! Encoding shared by all documents: kind, format, checksum and body. Decoding never panics, whatever the bytes.
//!
//! ```text
//! kind:1  format:1  crc32 of the body:4, big-endian  body (postcard)
//! ```

use super::error::PlacementError;
use serde::de::DeserializeOwned;
use serde::Serialize;

const FORMAT: u8 = 1;
const HEAD_BYTES: usize = 6;
/// Position of the checksum in a document.
const CHECKSUM: std::ops::Range<usize> = 2..HEAD_BYTES;
/// Maximum size of a document, in bytes: by default, registries accept at most 1.5 MB in one transaction.
pub const MAX_BYTES: usize = 700_000;

/// A kind of document.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kind {
    /// First byte of the kind's documents.
    pub tag: u8,
    /// Name of the kind in error messages.
    pub name: &'static str,
}

/// Encodes a value as a document.
///
/// # Panics
///
/// Never for the documents of this module: encoding numbers, strings and lists into memory can't fail.
pub(super) fn encode<T: Serialize>(kind: Kind, value: &T) -> Vec<u8> {
    let head = vec![kind.tag, FORMAT, 0, 0, 0, 0];
    let mut bytes = postcard::to_extend(value, head).expect("numbers, strings and lists are encodable");
    let checksum = crc32fast::hash(&bytes[HEAD_BYTES..]);
    bytes[CHECKSUM].copy_from_slice(&checksum.to_be_bytes());
    bytes
}

/// Decodes the value of a document.
///
/// # Errors
///
/// [`PlacementError::Torn`] or [`PlacementError::Format`].
pub(super) fn decode<T: DeserializeOwned>(kind: Kind, bytes: &[u8]) -> Result<T, PlacementError> {
    let what = kind.name;
    let torn = |why| PlacementError::Torn { what, why };
    let (Some(head), Some(body)) = (bytes.get(..HEAD_BYTES), bytes.get(HEAD_BYTES..)) else {
        return Err(torn("too short"));
    };
    if bytes.len() > MAX_BYTES {
        return Err(torn("too long"));
    }
    if head[0] != kind.tag {
        return Err(torn("another kind of document"));
    }
    if head[1] != FORMAT {
        return Err(PlacementError::Format { what, format: head[1], known: FORMAT });
    }
    if head[CHECKSUM] != crc32fast::hash(body).to_be_bytes() {
        return Err(torn("wrong checksum"));
    }
    match postcard::take_from_bytes::<T>(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(torn("malformed body")),
    }
}
