//! Tests of the codecs: messages decode independently of how the bytes are split, and malformed input is rejected.

use super::{command_channel, frames, resp, ClientRequest, Malformed, Response, LENGTH_BYTES};
use crate::net::testing::config;
use crate::routing::events::Fetch;
use bytes::BytesMut;
use proptest::prelude::*;

/// Decodes all messages in `bytes`, which are handed over in chunks of these sizes.
fn decode_chunked<M>(
    mut bytes: &[u8],
    sizes: &[usize],
    decode: fn(&mut BytesMut) -> Result<Option<M>, Malformed>,
) -> Result<Vec<M>, Malformed> {
    let (mut buffer, mut out) = (BytesMut::new(), Vec::new());
    let mut sizes = sizes.iter().cycle();
    while !bytes.is_empty() {
        let (chunk, rest) = bytes.split_at(bytes.len().min(*sizes.next().unwrap_or(&1)));
        buffer.extend_from_slice(chunk);
        bytes = rest;
        while let Some(message) = decode(&mut buffer)? {
            out.push(message);
        }
    }
    Ok(out)
}

const REQUEST: &[u8] = b"\x00\x00\x00\x80\x07\x00\x00\x00\x05\x08\
    \x05route\x00\x07segment\x05trace\x00\x109b1f03aa5c7e2d41\x08patience\x00\x041500\
    \x06entity\x00\x107f3a9c21e0b4d655\x03nth\x00\x013\x05batch\x00\x0217\x04size\x00\x05412.5\
    \x04redo\x00\x011a body";

const RESPONSES: &[u8] =
    b"*4\r\n$2\r\nid\r\n$2\r\nok\r\n$27\r\ntag=4be0,minted=17,note=hit\r\n$5\r\nby\r\nt\r\n\
    *4\r\n$1\r\nx\r\n$7\r\nrefused\r\n$1\r\n-\r\n$0\r\n\r\n";

const EVENTS: &[u8] = b"\x00\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x29\x00\
    \x00\x00\x00\x24\x00\x00\x00\x00\x00\x00\x00\x2a\x02\
    \x00\xc4\x1f\x7a\x0a\x01\x00\x09\x23\x82\x01\x03\x00\x00\x02\x00\x00\x0f\xa0\x00\x00\x00\x00\x00\x00\x00\x07\
    \x00\x00\x00\x13\x00\x00\x00\x00\x00\x00\x00\x2b\x04\x00\x11\x00\x00\x00\x00\x00\x00\x00\x09";

#[test]
fn all_fields_of_a_request_are_decoded() {
    let decoded = decode_chunked(REQUEST, &[REQUEST.len()], frames::decode).unwrap();
    let request = ClientRequest {
        request_id: "9b1f03aa5c7e2d41".into(),
        route: "segment".into(),
        timeout_ms: 1500,
        idempotency_key: None,
        object: ("7f3a9c21e0b4d655".into(), 0x7f3a9c21e0b4d655),
        chunk: 3,
        purge_group: 17,
        size_kb: 412.5,
        if_none_match: None,
        body: b"a body".to_vec(),
    };
    assert_eq!(decoded, [frames::ClientMessage::Request { stream: 5, request: Box::new(request) }]);
}

#[test]
fn upstream_responses_and_events_are_decoded_completely() {
    let responses = decode_chunked(RESPONSES, &[RESPONSES.len()], resp::decode).unwrap();
    assert_eq!((responses[0].field("tag"), &responses[0].body[..]), (Some("4be0"), &b"by\r\nt"[..]));
    assert_eq!((responses[1].status, responses.len()), (resp::UpstreamStatus::Rejected, 2));
    let events = decode_chunked(EVENTS, &[EVENTS.len()], command_channel::decode).unwrap();
    let record = command_channel::Record {
        id: "s-00c41f7a".into(),
        address: ([10, 1, 0, 9], 9090).into(),
        state: command_channel::State::Draining,
        zone: 3,
        kind: 0,
        cell: 2,
        weight: 4.0,
        started_ms: 7,
    };
    let endpoints = command_channel::Command::Endpoints { complete: false, records: vec![record] };
    let scope = command_channel::Purge::Group(17);
    let purge = command_channel::Command::Purge { scope, when_ms: 9 };
    assert_eq!(events, [(41, None), (42, Some(endpoints)), (43, Some(purge))]);
}

#[test]
fn a_maximum_age_is_rounded_down_but_never_to_the_default() {
    // 0 would mean the class's default, which would undo a recent purge.
    let rounded = [0, 1, 999, 1000, 85_999, 12_000_000].map(resp::max_age_ms);
    assert_eq!(rounded, [0, 1, 1, 1, 85, 12_000]);
}

#[test]
fn an_attempt_has_exactly_the_fields_of_the_fetch_decision() {
    let request = ClientRequest {
        request_id: "t".into(),
        route: "page".into(),
        object: ("e".into(), 14),
        ..ClientRequest::default()
    };
    let mut fetch = Fetch {
        source: "s-2".into(),
        max_age: 0,
        cache_priority: 0,
        join_fill: false,
        cached_only: true,
        revalidate: true,
    };
    let encode = |fetch: Option<&Fetch>| {
        String::from_utf8(resp::encode_request(&request, "s-1", fetch, 1_999)).unwrap()
    };
    assert!(encode(Some(&fetch)).contains("\r\nc=page,k=e,p=0,w=1,via=s-2,opts=h+r\r\n$0\r\n"));
    // The endpoint itself as source means that no fill is needed.
    fetch.source = "s-1".into();
    assert!(!encode(Some(&fetch)).contains("via"));
    assert!(encode(None).contains("\r\nc=page,k=e,p=0,w=1\r\n"));
}

#[test]
fn responses_are_encoded_as_the_protocol_defines() {
    let encode = |r| frames::encode_response(9, &r);
    assert_eq!(encode(Response::Ok(b"xy".to_vec())), b"\x00\x00\x00\x09\x08\x00\x00\x00\x09\x14\x00xy");
    assert_eq!(encode(Response::Failed), b"\x00\x00\x00\x07\x08\x00\x00\x00\x09\x33\x00");
    assert_eq!(frames::encode_going_away(), b"\x00\x00\x00\x05\x03\x00\x00\x00\x00");
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn messages_decode_independently_of_how_the_bytes_are_split(sizes in prop::collection::vec(1..40usize, 1..20)) {
        let whole = [1 << 20];
        prop_assert_eq!(decode_chunked(REQUEST, &sizes, frames::decode), decode_chunked(REQUEST, &whole, frames::decode));
        prop_assert_eq!(decode_chunked(RESPONSES, &sizes, resp::decode), decode_chunked(RESPONSES, &whole, resp::decode));
        let events = decode_chunked(EVENTS, &whole, command_channel::decode);
        prop_assert_eq!(decode_chunked(EVENTS, &sizes, command_channel::decode), events);
    }

    /// Valid messages with one changed byte, and random bytes, yield an error or messages, but never a panic or more
    /// messages than the bytes can hold.
    #[test]
    fn malformed_bytes_yield_errors_or_messages_without_a_panic(at in 0..400usize, byte: u8, noise in prop::collection::vec(any::<u8>(), 0..200)) {
        for bytes in [REQUEST, RESPONSES, EVENTS, &noise] {
            let mut bytes = bytes.to_vec();
            if let Some(b) = bytes.get_mut(at) {
                *b = byte;
            }
            for decoded in [
                decode_chunked(&bytes, &[7], frames::decode).map(|m| m.len()),
                decode_chunked(&bytes, &[7], resp::decode).map(|m| m.len()),
                decode_chunked(&bytes, &[7], command_channel::decode).map(|m| m.len()),
            ] {
                prop_assert!(decoded.unwrap_or(0) <= bytes.len() / 9);
            }
        }
    }
}

/// Guards against a request whose content was discarded at any byte, and that is lost, answered on a wrong stream, or
/// takes bytes of the message behind it.
#[test]
fn a_message_discarded_at_any_byte_is_returned_without_content_and_the_next_one_whole() {
    let request = request_frame(7, &[("route", "clip"), ("trace", "00000000000000aa")], &[9; 300]);
    let cancel = [0, 0, 0, 5, 9, 0, 0, 0, 3];
    let header_end = LENGTH_BYTES + 5;
    for split in 1..request.len() {
        let mut decoder = frames::Decoder::default();
        let mut bytes = BytesMut::from(&request[..split]);
        assert_eq!(decoder.decode(&mut bytes), Ok(None), "{split}");
        assert_eq!(decoder.discard_message(&bytes), split >= header_end, "{split}");
        let mut rest = if decoder.is_discarding() { BytesMut::new() } else { bytes };
        let mut decoded = Vec::new();
        for byte in request[split..].iter().chain(&cancel) {
            rest.extend_from_slice(&[*byte]);
            decoded.extend(decoder.decode(&mut rest).ok().flatten());
        }
        let [first, second] = &decoded[..] else { panic!("{split}: {decoded:?}") };
        assert_eq!(*second, frames::ClientMessage::Cancel { stream: 3 }, "{split}");
        if let frames::ClientMessage::DiscardedRequest { stream, route } = first {
            let route_end = header_end + 1 + 1 + "route".len() + 2 + "clip".len();
            let expected = (split >= route_end).then(|| "clip".to_owned());
            assert_eq!((*stream, route), (7, &expected), "{split}");
        } else {
            assert!(split < header_end, "{split}: {first:?}");
        }
    }
}

/// Encodes a request frame with the fields that every request has and `more`.
fn request_frame(stream: u32, more: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut list = more.to_vec();
    list.extend([("patience", "1500"), ("entity", "7f3a9c21e0b4d655")]);
    let mut payload = vec![list.len() as u8];
    for (name, value) in list {
        payload.push(name.len() as u8);
        payload.extend(name.as_bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.as_bytes());
    }
    payload.extend(body);
    let mut frame = (payload.len() as u32 + 5).to_be_bytes().to_vec();
    frame.push(7);
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    frame
}

/// Guards against a response that is counted with less memory than it will take.
#[test]
fn the_length_of_an_incomplete_response_is_announced_by_its_last_length_line() {
    let body = "x".repeat(5_000);
    let whole = format!("*4\r\n$2\r\nid\r\n$2\r\nok\r\n$1\r\n-\r\n$5000\r\n{body}\r\n").into_bytes();
    let head = whole.len() - body.len() - 2;
    for end in head..whole.len() {
        assert_eq!(resp::announced_length(&whole[..end]), whole.len(), "{end}");
    }
    for end in 0..head {
        assert!(resp::announced_length(&whole[..end]) < head + 2, "{end}");
    }
    assert_eq!(resp::announced_length(b"*4\r\n$999999\r\n"), 0);
}
