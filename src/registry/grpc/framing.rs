//! The message framing of gRPC: a compression flag, the length, and the message.

use crate::registry::status::{code, Status};
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Length of the prefix of a message, in bytes: the compression flag and the length.
const PREFIX_BYTES: usize = 5;

/// Encodes a message with its prefix.
pub fn encode_message(message: &impl prost::Message) -> Bytes {
    let length = message.encoded_len();
    let mut bytes = BytesMut::with_capacity(PREFIX_BYTES + length);
    bytes.put_u8(0);
    bytes.put_u32(length as u32);
    message.encode_raw(&mut bytes);
    bytes.freeze()
}

/// Removes one message from the front of `bytes`. Returns `None` and leaves `bytes` unchanged while the message is
/// incomplete.
///
/// # Errors
/// The message is compressed, or longer than `max_message_bytes`.
pub fn decode_message(bytes: &mut BytesMut, max_message_bytes: usize) -> Result<Option<Bytes>, Status> {
    let Some(&[compressed, length @ ..]) = bytes.first_chunk::<PREFIX_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(length) as usize;
    if compressed != 0 {
        return Err(Status::new(
            code::INTERNAL,
            "received a compressed message, although compression was not requested",
        ));
    }
    // Checks the length before the message arrives, so that no memory is allocated for a message that is too long.
    if length > max_message_bytes {
        let message = format!("the message has {length} bytes, at most {max_message_bytes} are allowed");
        return Err(Status::new(code::RESOURCE_EXHAUSTED, message));
    }
    if bytes.len() < PREFIX_BYTES + length {
        return Ok(None);
    }
    bytes.advance(PREFIX_BYTES);
    Ok(Some(bytes.split_to(length).freeze()))
}
