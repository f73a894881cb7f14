//! The codecs between bytes and messages. They are independent of sockets, clocks and the handling of messages.
//!
//! A client's request is decoded into a [`ClientRequest`], whatever its protocol; a second client protocol would add a
//! codec that decodes into the same type.

pub mod command_channel;
pub mod frames;
mod malformed;
pub mod resp;
#[cfg(test)]
mod tests;

pub use self::malformed::Malformed;

use bytes::{Buf, BytesMut};

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Number of allocations of a request: itself, its texts and its body.
const ALLOCATIONS_PER_REQUEST: usize = 7;
/// Memory that an allocator uses for one allocation beyond what was asked for, in bytes.
const ALLOCATION_OVERHEAD_BYTES: usize = 16;

/// A request as sent by a client. Texts that are forwarded unchanged are stored as received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// Id of this attempt of the client's request.
    pub request_id: String,
    /// Name of the request's class.
    pub route: String,
    /// Time for which the client waits for the response, in milliseconds.
    pub timeout_ms: u64,
    /// The idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// The object's id as text and as number.
    pub object: (String, u64),
    /// Index of the chunk in the object.
    pub chunk: u64,
    /// The purge group.
    pub purge_group: u64,
    /// Size of the chunk in KB.
    pub size_kb: f64,
    /// Tag of the copy that the client has cached.
    pub if_none_match: Option<String>,
    /// Body of a write request.
    pub body: Vec<u8>,
}

impl ClientRequest {
    /// Returns the memory that the request takes, in bytes, with an allowance for the allocator's own.
    pub fn memory_bytes(&self) -> usize {
        let texts = [&self.request_id, &self.route, &self.object.0].map(String::capacity);
        let optional = [&self.idempotency_key, &self.if_none_match];
        let optional = optional.map(|text| text.as_ref().map_or(0, String::capacity));
        let content: usize = texts.into_iter().chain(optional).sum::<usize>() + self.body.capacity();
        size_of::<ClientRequest>() + ALLOCATIONS_PER_REQUEST * ALLOCATION_OVERHEAD_BYTES + content
    }
}

/// The response to a client's request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Success, with the requested bytes.
    Ok(Vec<u8>),
    /// The copy that the client has cached is current.
    NotModified,
    /// The request was not executed and may be retried.
    Rejected {
        /// Milliseconds after which to retry; 0 if unspecified.
        retry_after_ms: u64,
    },
    /// The request failed; it may have been executed.
    Failed,
}

impl Response {
    /// Returns the name of the response's kind, for the log.
    pub fn name(&self) -> &'static str {
        match self {
            Response::Ok(_) => "served",
            Response::NotModified => "still good",
            Response::Rejected { .. } => "refused",
            Response::Failed => "failed",
        }
    }
}

/// Removes a complete frame from the front of `bytes` and returns its contents without the length prefix. Returns
/// `None`, and leaves `bytes` unchanged, if the frame is incomplete.
fn take_frame(
    bytes: &mut BytesMut,
    lengths: std::ops::RangeInclusive<usize>,
) -> Result<Option<BytesMut>, Malformed> {
    let Some(head) = bytes.first_chunk() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    // Checked before the frame is complete: bytes must not be buffered for a length out of range.
    if !lengths.contains(&length) {
        return Err(Malformed::FrameLength);
    }
    if bytes.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    let mut frame = bytes.split_to(LENGTH_BYTES + length);
    frame.advance(LENGTH_BYTES);
    Ok(Some(frame))
}
