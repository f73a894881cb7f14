//! The form that all documents share: kind, format, checksum, body. Any bytes are read without a panic.
//!
//! ```text
//! kind:1  format:1  crc32 of the body:4, big-endian  body (postcard)
//! ```

use super::error::PlacementError;
use serde::de::DeserializeOwned;
use serde::Serialize;

const FORMAT: u8 = 1;
const HEAD: usize = 6;
/// Most bytes of a document: registries take no more in one transaction than 1.5 MB by default.
pub const LARGEST: usize = 700_000;

/// A kind of document, with its name for operators.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kind(pub u8, pub &'static str);

pub(super) fn encode<T: Serialize>(kind: Kind, value: &T) -> Vec<u8> {
    let mut bytes = postcard::to_extend(value, vec![kind.0, FORMAT, 0, 0, 0, 0]).unwrap_or_default();
    let sum = crc32fast::hash(bytes.get(HEAD..).unwrap_or_default());
    if let Some(place) = bytes.get_mut(2..HEAD) {
        place.copy_from_slice(&sum.to_be_bytes());
    }
    bytes
}

pub(super) fn decode<T: DeserializeOwned>(kind: Kind, bytes: &[u8]) -> Result<T, PlacementError> {
    let what = kind.1;
    let torn = |why| PlacementError::Torn { what, why };
    let (Some(head), Some(body)) = (bytes.get(..HEAD), bytes.get(HEAD..)) else {
        return Err(torn("too short"));
    };
    if bytes.len() > LARGEST {
        return Err(torn("too long"));
    }
    if head[0] != kind.0 {
        return Err(torn("another kind of document"));
    }
    if head[1] != FORMAT {
        return Err(PlacementError::Format { what, format: head[1], known: FORMAT });
    }
    if head[2..] != crc32fast::hash(body).to_be_bytes() {
        return Err(torn("its checksum does not fit"));
    }
    match postcard::take_from_bytes::<T>(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(torn("not in this form")),
    }
}
