//! The clients' protocol: binary frames, big-endian.

use super::{take_frame, ClientRequest, Malformed, Response, LENGTH_BYTES};
use bytes::{Buf, BytesMut};

/// A frame's length counts its type and stream, and all of a payload. Clients' frames are allowed less than the
/// protocol's 262,144: what one writes is 48,000 bytes at most, and some more for its fields.
const FRAME_LENGTHS: std::ops::RangeInclusive<usize> = 5..=MAX_BODY_BYTES + 16_384;
/// Most bytes that one request writes.
const MAX_BODY_BYTES: usize = 48_000;
/// More parts than any object has.
const MAX_CHUNKS: u64 = 65_536;
/// Longest text that is passed on as it is.
const MAX_TEXT_BYTES: usize = 64;

const REQUEST: u8 = 7;
const RESPONSE: u8 = 8;
const CANCEL: u8 = 9;
const READY: u8 = 1;
const READY_RESPONSE: u8 = 2;
const LEAVING: u8 = 3;

const STATUS_OK: u8 = 20;
const STATUS_REJECTED: u8 = 50;
const STATUS_FAILED: u8 = 51;

/// What a client sends.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientMessage {
    /// A request on a stream.
    Request {
        /// New on its connection.
        stream: u32,
        /// What is asked.
        request: Box<ClientRequest>,
    },
    /// Nobody waits for this stream any more.
    Cancel {
        /// As named in the request.
        stream: u32,
    },
    /// Is the instance ready?
    Ready {
        /// To be used in the answer.
        stream: u32,
    },
}

/// Takes one message off the front of `bytes`, or leaves them as they are if it is not whole yet.
pub fn decode(bytes: &mut BytesMut) -> Result<Option<ClientMessage>, Malformed> {
    let Some(mut frame) = take_frame(bytes, FRAME_LENGTHS)? else { return Ok(None) };
    let (kind, stream) = (frame.get_u8(), frame.get_u32());
    Ok(Some(match kind {
        REQUEST if stream == 0 => return Err(Malformed::StreamZero),
        REQUEST => ClientMessage::Request { stream, request: Box::new(decode_request(&frame)?) },
        CANCEL => ClientMessage::Cancel { stream },
        READY => ClientMessage::Ready { stream },
        _ => return Err(Malformed::FrameType),
    }))
}

fn decode_request(payload: &[u8]) -> Result<ClientRequest, Malformed> {
    let mut rest = payload;
    let count = take_bytes(&mut rest, 1)?[0];
    let mut request = ClientRequest::default();
    let mut seen = Vec::new();
    for _ in 0..count {
        let size = take_bytes(&mut rest, 1)?[0];
        let name = decode_text(take_bytes(&mut rest, usize::from(size))?)?;
        let size = u16::from_be_bytes([take_bytes(&mut rest, 1)?[0], take_bytes(&mut rest, 1)?[0]]);
        let value = decode_text(take_bytes(&mut rest, usize::from(size))?)?;
        if seen.contains(&name) {
            return Err(Malformed::DuplicateField);
        }
        seen.push(name);
        decode_field(&mut request, name, value)?;
    }
    for needed in ["route", "trace", "patience", "entity"] {
        if !seen.contains(&needed) {
            return Err(Malformed::MissingField);
        }
    }
    if rest.len() > MAX_BODY_BYTES {
        return Err(Malformed::BodySize);
    }
    request.body = rest.to_vec();
    Ok(request)
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
    let digits = value.bytes().all(|b| b.is_ascii_digit());
    Some(value).filter(|_| digits).unwrap_or_default().parse().map_err(|_| Malformed::Number)
}

/// An object is passed on as text and compared as a number: only one text may stand for each.
fn decode_hex(value: &str) -> Result<u64, Malformed> {
    let digits = value.len() == 16 && value.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(value, 16).ok().filter(|_| digits).ok_or(Malformed::HexId)
}

/// A text that goes on into an endpoint's list of fields: what divides that list must not be in it.
fn decode_plain_text(value: &str) -> Result<String, Malformed> {
    let plain = (1..=MAX_TEXT_BYTES).contains(&value.len())
        && value.bytes().all(|b| b.is_ascii_graphic() && b != b',' && b != b'=');
    if plain {
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

/// Whether whole messages at the front of these bytes take a stream back; nothing is taken off.
pub fn contains_cancel(mut bytes: &[u8], stream: u32) -> bool {
    let cancel = [&[CANCEL][..], &stream.to_be_bytes()].concat();
    while let Some((head, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() {
        let length = u32::from_be_bytes(*head) as usize;
        let Some((frame, more)) = rest.split_at_checked(length) else { return false };
        if frame == cancel {
            return true;
        }
        bytes = more;
    }
    false
}

/// The answer to a request.
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

/// Tells of an error that belongs to no request.
pub fn encode_error(reason: Malformed) -> Vec<u8> {
    encode_frame(RESPONSE, 0, &[STATUS_FAILED], &[], reason.to_string().as_bytes())
}

/// The answer to [`ClientMessage::Ready`].
pub fn encode_ready(stream: u32, yes: bool) -> Vec<u8> {
    encode_frame(READY_RESPONSE, stream, &[if yes { STATUS_OK } else { STATUS_REJECTED }], &[], &[])
}

/// No new request on this connection.
pub fn encode_going_away() -> Vec<u8> {
    encode_frame(LEAVING, 0, &[], &[], &[])
}
