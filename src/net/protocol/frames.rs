//! Codec of the client protocol: binary frames in big-endian order.

use super::{take_frame, ClientRequest, Malformed, Response, LENGTH_BYTES};
use bytes::{Buf, BytesMut};
use rustc_hash::{FxBuildHasher, FxHashSet};

/// Lengths of client frames that are decoded, in bytes, which count type, stream and payload. The maximum is below the
/// protocol's, because a request body has 48,000 bytes at most; the rest is for the fields.
const FRAME_LENGTHS: std::ops::RangeInclusive<usize> = 5..=MAX_BODY_BYTES + 16_384;
/// Maximum length of a frame in the protocol, in bytes. The content of a frame that is too long to be decoded is discarded;
/// behind a longer one the next frame can't be found.
const MAX_FRAME_LENGTH: usize = 262_144;
/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 48_000;
/// Exclusive upper bound of chunk numbers; no object has as many chunks.
const MAX_CHUNKS: u64 = 65_536;
/// Maximum length of a text that is forwarded unchanged, in bytes.
const MAX_TEXT_BYTES: usize = 64;

const REQUEST: u8 = 7;
const RESPONSE: u8 = 8;
const CANCEL: u8 = 9;
const READY: u8 = 1;
const READY_RESPONSE: u8 = 2;
const GOING_AWAY: u8 = 3;

const STATUS_OK: u8 = 20;
const STATUS_REJECTED: u8 = 50;
const STATUS_FAILED: u8 = 51;

/// A message from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientMessage {
    /// A request.
    Request {
        /// Number of a new stream on the connection.
        stream: u32,
        /// The request.
        request: Box<ClientRequest>,
    },
    /// A request whose content was discarded while it arrived; see [`Decoder::discard_message`].
    DiscardedRequest {
        /// Number of a new stream on the connection.
        stream: u32,
        /// Name of the request's class, if that had arrived.
        route: Option<String>,
    },
    /// Cancellation of a request.
    Cancel {
        /// Stream of the request.
        stream: u32,
    },
    /// A readiness check.
    Ready {
        /// Stream to be used in the response.
        stream: u32,
    },
    /// A frame whose content violates the protocol. The end of the frame is known, so the frames behind it can be read.
    Invalid {
        /// How the frame violates the protocol.
        error: Malformed,
    },
}

/// Header of a frame after its length: type and stream.
#[derive(Clone, Copy, Debug)]
struct FrameHeader {
    kind: u8,
    stream: u32,
}

/// A message whose content is discarded as it arrives.
#[derive(Debug)]
struct DiscardedMessage {
    /// Absent if the message has been reported as invalid.
    header: Option<FrameHeader>,
    route: Option<String>,
    /// Number of bytes that have not arrived.
    remaining: usize,
}

impl DiscardedMessage {
    /// Returns the message without its content, unless it has been reported before.
    fn complete(self) -> Option<ClientMessage> {
        let FrameHeader { kind, stream } = self.header?;
        Some(match kind {
            REQUEST if stream == 0 => ClientMessage::Invalid { error: Malformed::StreamZero },
            REQUEST => ClientMessage::DiscardedRequest { stream, route: self.route },
            CANCEL => ClientMessage::Cancel { stream },
            READY => ClientMessage::Ready { stream },
            _ => ClientMessage::Invalid { error: Malformed::FrameType },
        })
    }
}

/// Decoder of the messages on one connection.
#[derive(Debug, Default)]
pub struct Decoder {
    discarded: Option<DiscardedMessage>,
}

impl Decoder {
    /// Decodes and removes a message from the front of `bytes`; leaves `bytes` unchanged if the message is incomplete,
    /// unless its content is to be discarded.
    ///
    /// # Errors
    /// The length of a frame is out of range, so that its end is unknown. A frame with invalid content is returned as
    /// [`ClientMessage::Invalid`].
    pub fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<ClientMessage>, Malformed> {
        if let Some(discarded) = &mut self.discarded {
            let arrived = discarded.remaining.min(bytes.len());
            bytes.advance(arrived);
            discarded.remaining -= arrived;
            if discarded.remaining > 0 {
                return Ok(None);
            }
        }
        if let Some(message) = self.discarded.take().and_then(DiscardedMessage::complete) {
            return Ok(Some(message));
        }
        if let Some(remaining) = oversized_frame(bytes) {
            self.discarded = Some(DiscardedMessage { header: None, route: None, remaining });
            return Ok(Some(ClientMessage::Invalid { error: Malformed::BodySize }));
        }
        Ok(take_frame(bytes, FRAME_LENGTHS)?.map(decode_frame_or_error))
    }

    /// Discards the rest of a message as it arrives, so that its first part, `partial`, need not be kept. A request is
    /// still returned once it is complete, without its content, because it is owed a response. Returns whether the message
    /// is discarded; it is not while its header is incomplete.
    pub fn discard_message(&mut self, partial: &[u8]) -> bool {
        let Some((length, rest)) = partial.split_first_chunk::<LENGTH_BYTES>() else { return false };
        let Some((&[kind, a, b, c, d], payload)) = rest.split_first_chunk() else { return false };
        let end = LENGTH_BYTES + u32::from_be_bytes(*length) as usize;
        self.discarded = Some(DiscardedMessage {
            header: Some(FrameHeader { kind, stream: u32::from_be_bytes([a, b, c, d]) }),
            route: find_route(payload).filter(|_| kind == REQUEST),
            remaining: end.saturating_sub(partial.len()),
        });
        true
    }

    /// Returns whether a message is being discarded.
    pub fn is_discarding(&self) -> bool {
        self.discarded.is_some()
    }
}

/// Returns the size of the first frame with its length prefix, if the frame is too long to be decoded and its end is known
/// all the same.
fn oversized_frame(bytes: &[u8]) -> Option<usize> {
    let length = u32::from_be_bytes(*bytes.first_chunk()?) as usize;
    (FRAME_LENGTHS.end() + 1..=MAX_FRAME_LENGTH).contains(&length).then_some(LENGTH_BYTES + length)
}

/// Returns the class in the first part of a request's payload, if it is there.
fn find_route(mut payload: &[u8]) -> Option<String> {
    let count = take_bytes(&mut payload, 1).ok()?[0];
    for _ in 0..count {
        let (name, value) = take_field(&mut payload).ok()?;
        if name == "route" {
            return Some(value.to_owned()).filter(|route| route.len() <= MAX_TEXT_BYTES);
        }
    }
    None
}

/// Decodes and removes a message from the front of `bytes`; leaves `bytes` unchanged if the message is incomplete.
pub fn decode(bytes: &mut BytesMut) -> Result<Option<ClientMessage>, Malformed> {
    take_frame(bytes, FRAME_LENGTHS)?.map(decode_frame).transpose()
}

/// Decodes a frame without its length prefix.
fn decode_frame(mut frame: BytesMut) -> Result<ClientMessage, Malformed> {
    let (kind, stream) = (frame.get_u8(), frame.get_u32());
    match kind {
        REQUEST if stream == 0 => Err(Malformed::StreamZero),
        REQUEST => Ok(ClientMessage::Request { stream, request: Box::new(decode_request(&frame)?) }),
        CANCEL => Ok(ClientMessage::Cancel { stream }),
        READY => Ok(ClientMessage::Ready { stream }),
        _ => Err(Malformed::FrameType),
    }
}

fn decode_frame_or_error(frame: BytesMut) -> ClientMessage {
    decode_frame(frame).unwrap_or_else(|error| ClientMessage::Invalid { error })
}

fn decode_request(payload: &[u8]) -> Result<ClientRequest, Malformed> {
    let mut rest = payload;
    let count = take_bytes(&mut rest, 1)?[0];
    let mut request = ClientRequest::default();
    let mut seen = FxHashSet::with_capacity_and_hasher(usize::from(count), FxBuildHasher);
    for _ in 0..count {
        let (name, value) = take_field(&mut rest)?;
        if !seen.insert(name) {
            return Err(Malformed::DuplicateField);
        }
        decode_field(&mut request, name, value)?;
    }
    for required in ["route", "trace", "patience", "entity"] {
        if !seen.contains(required) {
            return Err(Malformed::MissingField);
        }
    }
    if rest.len() > MAX_BODY_BYTES {
        return Err(Malformed::BodySize);
    }
    request.body = rest.to_vec();
    Ok(request)
}

/// Removes a field from the front of `rest` and returns its name and value.
fn take_field<'a>(rest: &mut &'a [u8]) -> Result<(&'a str, &'a str), Malformed> {
    let size = take_bytes(rest, 1)?[0];
    let name = decode_text(take_bytes(rest, usize::from(size))?)?;
    let size = u16::from_be_bytes([take_bytes(rest, 1)?[0], take_bytes(rest, 1)?[0]]);
    let value = decode_text(take_bytes(rest, usize::from(size))?)?;
    Ok((name, value))
}

fn take_bytes<'a>(rest: &mut &'a [u8], count: usize) -> Result<&'a [u8], Malformed> {
    let (taken, remaining) = rest.split_at_checked(count).ok_or(Malformed::FieldOverrun)?;
    *rest = remaining;
    Ok(taken)
}

fn decode_text(bytes: &[u8]) -> Result<&str, Malformed> {
    std::str::from_utf8(bytes).map_err(|_| Malformed::FieldEncoding)
}

fn decode_field(request: &mut ClientRequest, name: &str, value: &str) -> Result<(), Malformed> {
    match name {
        "route" => request.route = value.to_owned(),
        "trace" => {
            decode_hex(value)?;
            request.request_id = value.to_owned();
        }
        "patience" => request.timeout_ms = decode_number(value)?,
        "nonce" => request.idempotency_key = Some(decode_plain_text(value)?),
        "entity" => request.object = (value.to_owned(), decode_hex(value)?),
        "nth" => {
            request.chunk =
                Some(decode_number(value)?).filter(|&n| n < MAX_CHUNKS).ok_or(Malformed::ChunkNumber)?;
        }
        "batch" => request.purge_group = u64::from(value.parse::<u8>().map_err(|_| Malformed::PurgeGroup)?),
        "size" => {
            let size = value.parse().map_err(|_| Malformed::Size)?;
            request.size_kb =
                Some(size).filter(|s: &f64| s.is_finite() && *s >= 0.0).ok_or(Malformed::Size)?;
        }
        "got" => request.if_none_match = Some(decode_plain_text(value)?),
        _ => {}
    }
    Ok(())
}

fn decode_number(value: &str) -> Result<u64, Malformed> {
    let is_decimal = value.bytes().all(|b| b.is_ascii_digit());
    Some(value).filter(|_| is_decimal).unwrap_or_default().parse().map_err(|_| Malformed::Number)
}

/// Decodes an id of exactly 16 lower-case hex digits. Ids are forwarded as text but compared as numbers, so each number
/// must have a single text form.
fn decode_hex(value: &str) -> Result<u64, Malformed> {
    let is_hex = value.len() == 16 && value.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(value, 16).ok().filter(|_| is_hex).ok_or(Malformed::HexId)
}

/// Decodes a text that is forwarded in a field list of the endpoint protocol, whose separators it must not contain.
fn decode_plain_text(value: &str) -> Result<String, Malformed> {
    let is_plain = (1..=MAX_TEXT_BYTES).contains(&value.len())
        && value.bytes().all(|b| b.is_ascii_graphic() && b != b',' && b != b'=');
    if is_plain {
        Ok(value.to_owned())
    } else {
        Err(Malformed::FieldCharacters)
    }
}

fn encode_frame(kind: u8, stream: u32, code: &[u8], fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(64 + body.len());
    out.extend([0; LENGTH_BYTES]);
    out.push(kind);
    out.extend(stream.to_be_bytes());
    out.extend(code);
    if !code.is_empty() {
        out.push(fields.len() as u8);
    }
    for (name, value) in fields {
        out.push(name.len() as u8);
        out.extend(name.as_bytes());
        out.extend((value.len() as u16).to_be_bytes());
        out.extend(value.as_bytes());
    }
    out.extend(body);
    let length = ((out.len() - LENGTH_BYTES) as u32).to_be_bytes();
    out[..LENGTH_BYTES].copy_from_slice(&length);
    out
}

/// Whether the complete messages at the front of `bytes` include a cancellation of `stream`.
pub fn contains_cancel(mut bytes: &[u8], stream: u32) -> bool {
    let cancel = [&[CANCEL][..], &stream.to_be_bytes()].concat();
    while let Some((length, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() {
        let length = u32::from_be_bytes(*length) as usize;
        let Some((frame, remaining)) = rest.split_at_checked(length) else { return false };
        if frame == cancel {
            return true;
        }
        bytes = remaining;
    }
    false
}

/// Encodes the response to a request.
pub fn encode_response(stream: u32, response: &Response) -> Vec<u8> {
    match response {
        Response::Ok(body) => encode_frame(RESPONSE, stream, &[STATUS_OK], &[], body),
        Response::NotModified => encode_frame(RESPONSE, stream, &[STATUS_OK], &[("ok304", "1")], &[]),
        Response::Rejected { retry_after_ms: 0 } => {
            encode_frame(RESPONSE, stream, &[STATUS_REJECTED], &[], &[])
        }
        Response::Rejected { retry_after_ms } => {
            encode_frame(RESPONSE, stream, &[STATUS_REJECTED], &[("pause", &retry_after_ms.to_string())], &[])
        }
        Response::Failed => encode_frame(RESPONSE, stream, &[STATUS_FAILED], &[], &[]),
    }
}

/// Encodes an error that belongs to the connection rather than a request.
pub fn encode_error(reason: Malformed) -> Vec<u8> {
    encode_frame(RESPONSE, 0, &[STATUS_FAILED], &[], reason.to_string().as_bytes())
}

/// Encodes the response to [`ClientMessage::Ready`].
pub fn encode_ready(stream: u32, is_ready: bool) -> Vec<u8> {
    encode_frame(READY_RESPONSE, stream, &[if is_ready { STATUS_OK } else { STATUS_REJECTED }], &[], &[])
}

/// Encodes the notice that no new request is to be sent on this connection.
pub fn encode_going_away() -> Vec<u8> {
    encode_frame(GOING_AWAY, 0, &[], &[], &[])
}
