//! The decoders of records, responses and snapshot files, with valid, random and damaged input.

use super::answers::{Decoder, Event};
use super::keys::{id_of, range_end};
use super::messages::{Event as WireEvent, KeyValue, RangeResponse, ResponseHeader, WatchResponse};
use super::record::{Names, State};
use super::session::SavedList;
use super::snapshot;
use crate::net::testing::config;
use proptest::prelude::*;
use prost::Message;

const VALID_RECORD: &str =
    r#"{"address": "127.0.0.1:9", "kind": "box", "zone": "a", "state": "draining", "later": [1]}"#;

fn test_decoder() -> Decoder {
    let names = Names { kinds: vec!["hub".into(), "box".into()], zones: vec!["a".into()] };
    Decoder { prefix: "/d/".to_owned(), names, max_value_bytes: 200 }
}

fn kv(key: &str, value: &str, modified: i64) -> KeyValue {
    let (key, value) = (key.as_bytes().to_vec(), value.as_bytes().to_vec());
    KeyValue { key, value, create_revision: 3, mod_revision: modified, ..KeyValue::default() }
}

fn page(kvs: Vec<KeyValue>) -> RangeResponse {
    let header = Some(ResponseHeader { cluster_id: 7, revision: 90, ..ResponseHeader::default() });
    RangeResponse { header, count: kvs.len() as i64, kvs, more: false }
}

#[test]
fn a_valid_record_is_decoded_and_an_invalid_one_is_rejected_with_the_reason() {
    let names = test_decoder().names;
    let endpoint = names.decode(VALID_RECORD.as_bytes(), 200).unwrap();
    assert_eq!((endpoint.kind, endpoint.zone, endpoint.state, endpoint.weight), (1, 0, State::Draining, 1.0));
    for (invalid, reason) in [
        (VALID_RECORD.replace("\"box\"", "\"barrel\""), "kind 'barrel' is not in the settings (hub, box)"),
        (VALID_RECORD.replace("\"a\"", "\"b\""), "zone 'b' is not in"),
        (VALID_RECORD.replace("127.0.0.1:9", "somewhere"), "address"),
        (VALID_RECORD.replace("draining", "tired"), "unknown variant `tired`"),
        (VALID_RECORD.replace("\"later\"", "\"weight\": -1, \"later\""), "weight -1 is invalid"),
        (format!("{VALID_RECORD}{}", " ".repeat(200)), "has 289 bytes, at most 200 are allowed"),
        (String::new(), "EOF"),
    ] {
        let message = names.decode(invalid.as_bytes(), 200).unwrap_err().to_string();
        assert!(message.contains(reason), "{invalid}: {message}");
    }
}

#[test]
fn only_valid_ids_are_accepted_and_a_range_ends_after_the_last_key_of_its_prefix() {
    assert_eq!(id_of(b"/d/box-1", "/d/").as_deref(), Some("box-1"));
    for key in [&b"/d/"[..], b"/d/a,b", b"/d/a/b", b"/e/a", b"/d/\xff"] {
        assert_eq!(id_of(key, "/d/"), None);
    }
    assert_eq!(
        (range_end(b"/d/"), range_end(b"a\xff"), range_end(b"\xff")),
        (b"/d0".to_vec(), b"b".to_vec(), vec![0])
    );
}

#[test]
fn an_unusable_record_affects_only_its_key_and_an_invalid_key_or_revision_rejects_the_page() {
    let decoder = test_decoder();
    let decoded = decoder
        .page(
            &page(vec![kv("/d/a", "noise", 4), kv("/d/b", VALID_RECORD, 5), kv("/d/x y", VALID_RECORD, 6)]),
            b"/d/",
        )
        .unwrap();
    assert!(
        decoded.entries[0].endpoint.is_err()
            && decoded.entries[1].endpoint.is_ok()
            && decoded.entries[2].id.is_none()
    );
    for kvs in [
        vec![kv("/d/b", VALID_RECORD, 5), kv("/d/a", VALID_RECORD, 4)],
        vec![kv("/e/a", VALID_RECORD, 4)],
        vec![kv("/d/a", VALID_RECORD, 1)],
        vec![kv("/d/a", VALID_RECORD, -4)],
    ] {
        assert!(decoder.page(&page(kvs), b"/d/").is_err());
    }
    assert!(
        decoder.page(&page(vec![kv("/d/a", VALID_RECORD, 4)]), b"/d/b").is_err(),
        "a key before the requested range"
    );
    let delete = WireEvent { kind: 1, kv: Some(kv("/d/a", "", 8)), prev_kv: None };
    let response =
        WatchResponse { header: page(vec![]).header, events: vec![delete], ..WatchResponse::default() };
    assert!(
        matches!(&decoder.watch_message(&response).unwrap().events[0], Event::Delete { key, revision: 8 } if **key == *b"/d/a")
    );
    assert!(decoder.watch_message(&WatchResponse::default()).is_err(), "no header");
}

fn saved_list() -> SavedList {
    let entries = test_decoder()
        .page(&page(vec![kv("/d/a", VALID_RECORD, 4), kv("/d/b", VALID_RECORD, 5)]), b"/d/")
        .unwrap()
        .entries;
    SavedList { cluster: 7, revision: 90, entries }
}

#[test]
fn a_snapshot_decodes_to_the_saved_list_and_a_damaged_one_is_rejected_with_the_reason() {
    let decoder = test_decoder();
    let bytes = snapshot::encode(&saved_list(), &decoder);
    assert_eq!(snapshot::decode(&bytes, &decoder, 9), Ok(saved_list()));
    for length in 0..bytes.len() {
        assert!(snapshot::decode(&bytes[..length], &decoder, 9).is_err(), "truncated to {length} bytes");
    }
    for offset in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[offset] ^= 0x41;
        assert!(snapshot::decode(&damaged, &decoder, 9).is_err(), "damaged at {offset}");
    }
    let error = |bytes: &[u8], decoder: &Decoder, max_keys| {
        snapshot::decode(bytes, decoder, max_keys).unwrap_err().to_string()
    };
    let mut newer_version = bytes.clone();
    newer_version[11] = 2;
    assert!(error(&newer_version, &decoder, 9).contains("has format version 2"));
    assert!(error(b"#!/bin/sh, and more than a head has", &decoder, 9).contains("not a snapshot"));
    assert!(error(&bytes, &Decoder { prefix: "/e/".into(), ..test_decoder() }, 9).contains("prefix '/d/'"));
    assert!(error(&bytes, &decoder, 1).contains("2 keys, at most 1 are allowed"));
}

#[test]
fn the_previous_snapshot_is_loaded_when_writing_a_new_one_was_interrupted() {
    let folder = std::env::temp_dir().join(format!("larchdale-snapshot-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let decoder = test_decoder();
    assert!(snapshot::load(&folder, &decoder, 9).unwrap_err().to_string().contains("can't read"));
    snapshot::store(&folder, &snapshot::encode(&saved_list(), &decoder)).unwrap();
    // The temporary file that a crash leaves behind while the next snapshot is written.
    std::fs::write(folder.join("depots.list.new"), b"larchlst").unwrap();
    assert_eq!(snapshot::load(&folder, &decoder, 9).unwrap(), saved_list());
    let _ = std::fs::remove_dir_all(&folder);
}

proptest! {
    #![proptest_config(config())]
    #[test]
    fn random_bytes_and_texts_are_decoded_without_panic(random_bytes in prop::collection::vec(any::<u8>(), 0..300), text in ".{0,120}") {
        let decoder = test_decoder();
        let _ = RangeResponse::decode(&random_bytes[..]).map(|response| decoder.page(&response, b"/d/"));
        let _ = WatchResponse::decode(&random_bytes[..]).map(|response| decoder.watch_message(&response));
        let _ = decoder.names.decode(&random_bytes, 4096);
        let _ = decoder.names.decode(text.as_bytes(), 4096);
        prop_assert!(snapshot::decode(&random_bytes, &decoder, 9).is_err());
    }
}
