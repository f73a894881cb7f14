//! Tests of the validation of transactions and of invalid messages. Further tests are in `tests/registry_documents.rs`.

use super::*;
use crate::registry::messages::{KeyValue, RangeResponse, WatchResponse};
use proptest::prelude::*;
use prost::Message;

fn new_documents() -> Documents {
    Documents::new(Settings::new(3, "/d/"), 7, 0)
}

#[test]
fn invalid_transactions_are_rejected_with_the_reason() {
    let (mut documents, mut actions) = (new_documents(), Vec::new());
    let mut submit = |id, transaction| {
        documents.submit(0, Caller::Owner(id), Request::Transaction(transaction, 0), &mut actions)
    };
    let put = |key: &str, bytes: usize| (key.to_owned(), vec![0; bytes]);
    let puts = |puts| Transaction { puts, ..Transaction::default() };
    let rejected = [
        (puts(vec![put("a", 1), put("a", 2)]), "key 'a' more than once"),
        (puts(vec![put("", 1)]), "is empty"),
        (puts(vec![put("a", 2_000_000)]), "has 2000065 bytes"),
        (puts((0..129).map(|n| put(&n.to_string(), 0)).collect()), "has 129 compares or writes"),
    ];
    for (transaction, reason) in rejected {
        let message = submit(1, transaction).unwrap_err().to_string();
        assert!(message.contains(reason), "{message}");
    }
    assert_eq!(submit(1, puts(vec![put("a", 1)])), Ok(()));
    assert_eq!(submit(1, puts(vec![put("a", 1)])), Err(DocumentsError::DuplicateId { id: 1 }));
    for id in 2..=32 {
        assert_eq!(submit(id, Transaction::default()), Ok(()));
    }
    assert_eq!(submit(33, Transaction::default()), Err(DocumentsError::Busy { max_calls: 32 }));
}

proptest! {
    /// Arbitrary bytes of the watch, and an event for a key outside the prefix, at most close the connection and never
    /// change the mirror.
    #[test]
    fn invalid_watch_messages_leave_the_mirror_unchanged(noise in proptest::collection::vec(any::<u8>(), 0..200), cut in 0usize..20) {
        let (mut documents, mut actions) = (new_documents(), Vec::new());
        documents.tick(0, &mut actions);
        documents.dialed(0, 1, &mut actions);
        let kv = |key: &str, at| KeyValue {
            key: key.into(),
            value: vec![9; 20],
            create_revision: at,
            mod_revision: at,
            ..KeyValue::default()
        };
        let header = Some(ResponseHeader { cluster_id: 7, revision: 9, ..ResponseHeader::default() });
        let page = RangeResponse { header, kvs: vec![kv("/d/a", 3)], more: false, count: 1 };
        documents.message_received(0, 2, &page.encode_to_vec(), &mut actions);
        let listed = documents.mirror.documents.clone();
        prop_assert_eq!(listed.len(), 1);
        let response = WatchResponse {
            header: header.map(|h| ResponseHeader { revision: 10, ..h }),
            events: vec![Event { kind: 0, kv: Some(kv("/e/a", 10)), prev_kv: None }],
            ..WatchResponse::default()
        };
        let mut bytes = response.encode_to_vec();
        if cut > 0 {
            bytes.truncate(cut);
            bytes.extend(&noise);
        }
        documents.message_received(0, 3, &bytes, &mut actions);
        prop_assert_eq!(listed, documents.mirror.documents);
    }
}
