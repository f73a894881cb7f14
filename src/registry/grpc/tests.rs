//! The framing of messages: encoding by the published field numbers, messages split at any byte, and random input.

use super::framing::{decode_message, encode_message};
use crate::net::testing::config;
use crate::registry::messages::{RangeRequest, WatchRequest, WatchResponse};
use crate::registry::status::{code, Status};
use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use prost::Message;

/// Decodes `bytes` that arrive in parts, split at the ascending positions `splits`.
fn decode_messages(bytes: &[u8], splits: &[usize]) -> Result<Vec<Bytes>, Status> {
    let (mut buffer, mut messages, mut from) = (BytesMut::new(), Vec::new(), 0);
    for to in splits.iter().copied().chain([bytes.len()]) {
        let to = to.clamp(from, bytes.len());
        buffer.extend_from_slice(&bytes[from..to]);
        from = to;
        while let Some(message) = decode_message(&mut buffer, 1_000)? {
            messages.push(message);
        }
    }
    Ok(messages)
}

#[test]
fn messages_are_encoded_and_decoded_by_the_published_field_numbers() {
    let request = RangeRequest { key: b"/a".to_vec(), limit: 5, count_only: true, ..RangeRequest::default() };
    // The compression flag and the length, then field 1 as bytes, 3 as a number and 9 as a bool.
    assert_eq!(&encode_message(&request)[..], b"\0\0\0\0\x08\x0a\x02/a\x18\x05\x48\x01");
    let watch = WatchResponse::decode(
        &b"\x0a\x04\x08\x07\x18\x09\x10\x03\x20\x01\x28\x05\x5a\x06\x08\x01\x12\x02\x18\x08"[..],
    );
    let watch = watch.unwrap();
    assert_eq!(watch.header.map(|header| (header.cluster_id, header.revision)), Some((7, 9)));
    assert!(watch.watch_id == 3 && watch.canceled && watch.compact_revision == 5);
    assert_eq!(watch.events[0].kv.as_ref().map(|kv| kv.mod_revision), Some(8));
}

#[test]
fn a_message_that_is_too_long_or_compressed_is_rejected_by_its_prefix() {
    let mut bytes = BytesMut::from(&b"\0\xff\xff\xff\xff"[..]);
    assert_eq!(decode_message(&mut bytes, 1_000).unwrap_err().code, code::RESOURCE_EXHAUSTED);
    let mut bytes = BytesMut::from(&b"\x01\0\0\0\x01a"[..]);
    assert_eq!(decode_message(&mut bytes, 1_000).unwrap_err().code, code::INTERNAL);
}

proptest! {
    #![proptest_config(config())]
    #[test]
    fn messages_that_are_split_anywhere_are_decoded(keys in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6), splits in prop::collection::vec(0..200usize, 0..8)) {
        let request = |key: &Vec<u8>| RangeRequest { key: key.clone(), ..RangeRequest::default() };
        let bytes: Vec<u8> = keys.iter().flat_map(|key| encode_message(&request(key)).to_vec()).collect();
        let mut splits = splits;
        splits.sort_unstable();
        let decoded = decode_messages(&bytes, &splits).unwrap();
        let decoded: Vec<Vec<u8>> = decoded.into_iter().map(|message| RangeRequest::decode(message).unwrap().key).collect();
        prop_assert_eq!(decoded, keys);
    }

    #[test]
    fn random_bytes_are_decoded_without_panic(random_bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        for message in decode_messages(&random_bytes, &[]).unwrap_or_default() {
            let _ = WatchRequest::decode(message.clone());
            let _ = WatchResponse::decode(message);
        }
    }
}
