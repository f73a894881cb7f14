//! The mirror: a copy of all documents as of one revision, with the keys that have changed since the owner last took
//! the changes.

use super::{DocumentsError, Settings};
use crate::registry::answers::MessageError;
use crate::registry::messages::KeyValue;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of changed keys that are recorded. Beyond this number, any key is considered changed.
const MAX_CHANGED_KEYS: usize = 4_096;
/// Estimated memory of a document beyond its key and value, in bytes.
const DOCUMENT_OVERHEAD_BYTES: usize = 64;

/// A document: the value of a key, with its revisions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Document {
    /// Value of the key.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub mod_revision: i64,
    /// Revision at which the key was created.
    pub create_revision: i64,
    /// Lease whose end deletes the document; 0 if there is none.
    pub lease: i64,
}

/// Keys that have changed since the last call of [`Documents::take_changes`](super::Documents::take_changes).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changed keys in ascending order, without the prefix.
    pub keys: Vec<String>,
    /// Whether more keys have changed than are recorded, so that any key may have changed.
    pub all: bool,
}

/// Documents by key, without the prefix.
pub(super) type DocumentMap = BTreeMap<Vec<u8>, Document>;

/// A changed key with its new document, or `None` if the key was deleted.
pub(super) type Change = (Vec<u8>, Option<Document>);

#[derive(Clone, Debug, Default)]
pub(super) struct Mirror {
    pub(super) documents: DocumentMap,
    /// Total size of the documents, in bytes.
    pub(super) bytes: usize,
    /// Revision of the documents; 0 before the first list.
    pub(super) revision: i64,
    changed: BTreeSet<Vec<u8>>,
    all_changed: bool,
}

impl Mirror {
    /// Returns all documents whose keys begin with `prefix`, in ascending order. Keys that are not UTF-8 are skipped.
    pub(super) fn with_prefix<'a>(
        &'a self,
        prefix: &str,
    ) -> impl Iterator<Item = (&'a str, &'a Document)> + 'a {
        let prefix = prefix.as_bytes().to_vec();
        let from = self.documents.range(prefix.clone()..);
        let matching = from.take_while(move |(key, _)| key.starts_with(&prefix));
        matching.filter_map(|(key, document)| Some((std::str::from_utf8(key).ok()?, document)))
    }

    pub(super) fn take_changes(&mut self) -> Changes {
        let keys = std::mem::take(&mut self.changed).into_iter();
        Changes {
            keys: keys.filter_map(|key| String::from_utf8(key).ok()).collect(),
            all: std::mem::take(&mut self.all_changed),
        }
    }

    /// Replaces the documents by those of a complete list. Documents that are not in the list are removed.
    pub(super) fn replace(&mut self, listed: DocumentMap, bytes: usize, revision: i64) {
        let is_changed = |key: &Vec<u8>, new: &Document| {
            self.documents.get(key).is_none_or(|old| old.mod_revision != new.mod_revision)
        };
        let deleted = self.documents.keys().filter(|key| !listed.contains_key(*key));
        let written = listed.iter().filter(|(key, new)| is_changed(key, new)).map(|(key, _)| key);
        let keys: Vec<Vec<u8>> = deleted.chain(written).take(MAX_CHANGED_KEYS + 1).cloned().collect();
        keys.into_iter().for_each(|key| self.mark_changed(key));
        (self.documents, self.bytes, self.revision) = (listed, bytes, revision);
    }

    /// Applies all changes of one revision, or none if the documents would exceed the limits of the settings.
    pub(super) fn apply_revision(
        &mut self,
        revision: i64,
        changes: Vec<Change>,
        settings: &Settings,
    ) -> Result<(), DocumentsError> {
        let (mut keys, mut bytes) = (self.documents.len(), self.bytes);
        for (key, new) in &changes {
            let old = self.documents.get(key);
            bytes = bytes.saturating_sub(old.map_or(0, |old| document_bytes(key, old)));
            bytes = bytes.saturating_add(new.as_ref().map_or(0, |new| document_bytes(key, new)));
            keys = keys + usize::from(new.is_some()) - usize::from(old.is_some());
        }
        if keys > settings.max_keys || bytes > settings.max_bytes {
            return Err(DocumentsError::limit_exceeded(keys as u64, bytes, settings));
        }
        for (key, document) in changes {
            match document {
                Some(document) => drop(self.documents.insert(key.clone(), document)),
                None => drop(self.documents.remove(&key)),
            }
            self.mark_changed(key);
        }
        (self.bytes, self.revision) = (bytes, revision);
        Ok(())
    }

    fn mark_changed(&mut self, key: Vec<u8>) {
        if self.all_changed {
            return;
        }
        self.changed.insert(key);
        if self.changed.len() > MAX_CHANGED_KEYS {
            self.changed.clear();
            self.all_changed = true;
        }
    }
}

/// Size of a document that counts towards `max_bytes`, in bytes.
pub(super) fn document_bytes(key: &[u8], document: &Document) -> usize {
    key.len() + document.value.len() + DOCUMENT_OVERHEAD_BYTES
}

/// Returns the key without the prefix, and the document, whose revision must not exceed `max_revision`.
pub(super) fn decode_document(
    prefix: &str,
    kv: KeyValue,
    max_revision: i64,
) -> Result<(Vec<u8>, Document), MessageError> {
    if kv.mod_revision > max_revision || kv.mod_revision <= 0 || kv.create_revision > kv.mod_revision {
        return Err(MessageError::ImpossibleRevision);
    }
    let mut key = kv.key;
    if !key.starts_with(prefix.as_bytes()) {
        return Err(MessageError::ForeignKey);
    }
    key.drain(..prefix.len());
    let document = Document {
        value: kv.value,
        mod_revision: kv.mod_revision,
        create_revision: kv.create_revision,
        lease: kv.lease,
    };
    Ok((key, document))
}
