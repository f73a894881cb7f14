//! Codec of the endpoint protocol: RESP arrays of bulk strings.

use super::{ClientRequest, Malformed};
use crate::routing::events::Fetch;
use bytes::{Buf, BytesMut};

/// Maximum size in bytes of the length line of an array or a string, with its type byte and line end.
const MAX_LENGTH_LINE: usize = 16;
/// Maximum size in bytes of each string of a response: request id, status, fields, body.
const MAX_STRING_BYTES: [usize; 4] = [64, 32, 8192, 262_144];

/// An endpoint's response to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamResponse {
    /// Id of the request.
    pub request_id: String,
    /// Status of the response.
    pub status: UpstreamStatus,
    /// Names and values of the fields.
    pub fields: Vec<(String, String)>,
    /// The requested bytes.
    pub body: Vec<u8>,
}

/// The status of an endpoint's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamStatus {
    /// Success, with the requested bytes.
    Ok,
    /// The client's copy is current.
    NotModified,
    /// The endpoint has no copy; the request was not executed.
    Miss,
    /// The endpoint is full; the request was not executed.
    Rejected,
    /// The request failed and may have been executed.
    Error,
    /// The request arrived after its deadline and was not executed.
    Expired,
}

impl UpstreamResponse {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|f| f.0 == name).map(|f| f.1.as_str())
    }
}

/// Decodes and removes a response from the front of `bytes`; leaves `bytes` unchanged if the response is incomplete.
pub fn decode(bytes: &mut BytesMut) -> Result<Option<UpstreamResponse>, Malformed> {
    let mut at = 0;
    let Some(count) = decode_length(bytes, &mut at, b'*')? else { return Ok(None) };
    if count != MAX_STRING_BYTES.len() {
        return Err(Malformed::StringCount);
    }
    let mut spans = [(0, 0); MAX_STRING_BYTES.len()];
    for (span, max) in spans.iter_mut().zip(MAX_STRING_BYTES) {
        let Some(length) = decode_length(bytes, &mut at, b'$')? else { return Ok(None) };
        // Checked before the string is complete: bytes must not be buffered for a length out of range.
        if length > max {
            return Err(Malformed::StringLength);
        }
        *span = (at, at + length);
        at += length + 2;
        if bytes.len() < at {
            return Ok(None);
        }
        if &bytes[at - 2..at] != b"\r\n" {
            return Err(Malformed::StringEnd);
        }
    }
    let strings = spans.map(|(from, to)| &bytes[from..to]);
    let response = UpstreamResponse {
        request_id: decode_text(strings[0])?.to_owned(),
        status: decode_status(decode_text(strings[1])?)?,
        fields: decode_fields(decode_text(strings[2])?)?,
        body: strings[3].to_vec(),
    };
    bytes.advance(at);
    Ok(Some(response))
}

/// Returns the length of the incomplete response at the front of `bytes` as far as its strings are announced, or 0 if it is
/// malformed or no string is announced yet.
pub fn announced_length(bytes: &[u8]) -> usize {
    let mut at = 0;
    let Ok(Some(_)) = decode_length(bytes, &mut at, b'*') else { return 0 };
    for max in MAX_STRING_BYTES {
        match bytes.get(at..).map(|_| decode_length(bytes, &mut at, b'$')) {
            Some(Ok(Some(length))) if length <= max => at += length + 2,
            Some(Err(_) | Ok(Some(_))) => return 0,
            _ => break,
        }
    }
    at
}

/// Decodes the number in the length line at `at`, and moves `at` past the line. Returns `None` if it is incomplete.
fn decode_length(bytes: &[u8], at: &mut usize, type_byte: u8) -> Result<Option<usize>, Malformed> {
    let rest = &bytes[*at..];
    if rest.first().is_some_and(|&b| b != type_byte) {
        return Err(Malformed::NotAnArray);
    }
    let Some(end) = rest.iter().take(MAX_LENGTH_LINE).position(|&b| b == b'\n') else {
        return if rest.len() < MAX_LENGTH_LINE { Ok(None) } else { Err(Malformed::EndlessLengthLine) };
    };
    let digits =
        rest[..end].strip_suffix(b"\r").and_then(|line| line.get(1..)).ok_or(Malformed::LengthLine)?;
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Malformed::LengthLine);
    }
    *at += end + 1;
    decode_text(digits)?.parse().map(Some).map_err(|_| Malformed::LengthLine)
}

fn decode_text(bytes: &[u8]) -> Result<&str, Malformed> {
    std::str::from_utf8(bytes).map_err(|_| Malformed::StringEncoding)
}

fn decode_status(text: &str) -> Result<UpstreamStatus, Malformed> {
    Ok(match text {
        "ok" => UpstreamStatus::Ok,
        "current" => UpstreamStatus::NotModified,
        "nothing" => UpstreamStatus::Miss,
        "refused" => UpstreamStatus::Rejected,
        "error" => UpstreamStatus::Error,
        "stale" => UpstreamStatus::Expired,
        _ => return Err(Malformed::ResponseStatus),
    })
}

fn decode_fields(text: &str) -> Result<Vec<(String, String)>, Malformed> {
    if text == "-" || text.is_empty() {
        return Ok(Vec::new());
    }
    let pair = |p: &str| {
        let (name, value) = p.split_once('=').ok_or(Malformed::ResponseField)?;
        Ok((name.to_owned(), value.to_owned()))
    };
    text.split(',').map(pair).collect()
}

fn encode_command(strings: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", strings.len()).into_bytes();
    for string in strings {
        out.extend(format!("${}\r\n", string.len()).as_bytes());
        out.extend(*string);
        out.extend(b"\r\n");
    }
    out
}

/// Converts a maximum age to whole milliseconds. It is rounded down, so that no copy older than the maximum is
/// accepted, but a positive age never to 0, which means the class's default.
pub fn max_age_ms(max_age_us: u64) -> u64 {
    if max_age_us == 0 {
        0
    } else {
        (max_age_us / 1000).max(1)
    }
}

/// The field list of a command, such as `c=page,p=0`.
struct FieldList(String);

impl FieldList {
    fn add(&mut self, name: &str, value: &str) {
        if !self.0.is_empty() {
            self.0.push(',');
        }
        self.0.push_str(name);
        self.0.push('=');
        self.0.push_str(value);
    }

    fn add_fetch(&mut self, endpoint: &str, fetch: &Fetch) {
        if *fetch.source != *endpoint {
            self.add("via", &fetch.source);
        }
        if fetch.cache_priority > 0 {
            self.add("tier", &fetch.cache_priority.to_string());
        }
        if fetch.max_age > 0 {
            self.add("fresh", &max_age_ms(fetch.max_age).to_string());
        }
        let options = [(fetch.join_fill, "j"), (fetch.cached_only, "h"), (fetch.revalidate, "r")];
        let set: Vec<&str> = options.iter().filter(|option| option.0).map(|option| option.1).collect();
        if !set.is_empty() {
            self.add("opts", &set.join("+"));
        }
    }
}

/// Encodes a client's request as an attempt at `endpoint` with a timeout of `timeout_us`.
pub fn encode_request(
    request: &ClientRequest,
    endpoint: &str,
    fetch: Option<&Fetch>,
    timeout_us: u64,
) -> Vec<u8> {
    let mut fields = FieldList(String::new());
    fields.add("c", &request.route);
    fields.add("k", &request.object.0);
    fields.add("p", &request.chunk.to_string());
    fields.add("w", &(timeout_us / 1000).max(1).to_string());
    if let Some(key) = &request.idempotency_key {
        fields.add("i", key);
    }
    if let Some(fetch) = fetch {
        fields.add_fetch(endpoint, fetch);
    }
    if let Some(tag) = &request.if_none_match {
        fields.add("known", tag);
    }
    encode_command(&[b"want", request.request_id.as_bytes(), fields.0.as_bytes(), &request.body])
}

/// Encodes the cancellation of a request.
pub fn encode_cancel(id: &str) -> Vec<u8> {
    encode_command(&[b"never_mind", id.as_bytes()])
}
