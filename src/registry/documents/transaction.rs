//! Transactions on documents: conditions and writes, validation against the registry's limits, and encoding.

use super::DocumentsError;
use crate::registry::messages::{request_op, Compare, DeleteRangeRequest, PutRequest, RequestOp, TxnRequest};
use std::collections::BTreeSet;

/// Maximum number of operations of one kind that the registry accepts in a transaction.
const MAX_OPERATIONS: usize = 128;
/// Maximum size of a transaction, in bytes: the registry's limit, less a reserve for framing.
const MAX_TRANSACTION_BYTES: usize = 1_400_000;
/// Estimated size of an operation beyond its key and value, in bytes.
const OPERATION_OVERHEAD_BYTES: usize = 64;
/// Compare targets, as numbered in the registry's API.
const TARGET_CREATE_REVISION: i32 = 1;
const TARGET_MOD_REVISION: i32 = 2;

/// A condition on a key that must hold for a transaction to be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Condition {
    /// The last change of the key was at this revision; 0: the key does not exist.
    ModRevision(i64),
    /// The key was created at this revision; 0: the key does not exist.
    CreateRevision(i64),
}

/// Changes that are applied atomically, as one revision, if all conditions hold. Keys are without the prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Transaction {
    /// Conditions by key.
    pub compares: Vec<(String, Condition)>,
    /// Keys to write, with their new values.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

impl Transaction {
    /// Checks that the registry would accept the transaction.
    pub(super) fn validate(&self) -> Result<(), DocumentsError> {
        let operations = self.compares.len().max(self.puts.len() + self.deletes.len());
        if operations > MAX_OPERATIONS {
            return Err(DocumentsError::TooManyOperations { operations, max_operations: MAX_OPERATIONS });
        }
        let compared = self.compares.iter().map(|(key, _)| key);
        let keys = self.written_keys().chain(compared);
        let key_bytes: usize = keys.clone().map(|key| key.len() + OPERATION_OVERHEAD_BYTES).sum();
        let bytes = key_bytes + self.puts.iter().map(|(_, value)| value.len()).sum::<usize>();
        if bytes > MAX_TRANSACTION_BYTES {
            return Err(DocumentsError::TooLarge { bytes, max_bytes: MAX_TRANSACTION_BYTES });
        }
        if let Some(key) = keys.clone().find(|key| key.is_empty()) {
            return Err(DocumentsError::ReservedKey { key: key.clone() });
        }
        let mut seen = BTreeSet::new();
        match self.written_keys().find(|key| !seen.insert(*key)) {
            Some(key) => Err(DocumentsError::DuplicateKey { key: key.clone() }),
            None => Ok(()),
        }
    }

    /// Returns the keys that the transaction writes or deletes.
    pub(super) fn written_keys(&self) -> impl Iterator<Item = &String> + Clone {
        self.puts.iter().map(|(key, _)| key).chain(&self.deletes)
    }

    /// Encodes the transaction as a request. The written keys are attached to the lease, unless `lease` is 0.
    pub(super) fn into_request(self, prefix: &str, lease: i64) -> TxnRequest {
        let key = |key: &str| [prefix.as_bytes(), key.as_bytes()].concat();
        let puts = self
            .puts
            .into_iter()
            .map(|(name, value)| request_op::Request::Put(PutRequest { key: key(&name), value, lease }));
        let deletes = self.deletes.into_iter().map(|name| {
            request_op::Request::Delete(DeleteRangeRequest {
                key: key(&name),
                ..DeleteRangeRequest::default()
            })
        });
        TxnRequest {
            compare: self
                .compares
                .into_iter()
                .map(|(name, condition)| condition.into_compare(key(&name)))
                .collect(),
            success: puts.chain(deletes).map(|request| RequestOp { request: Some(request) }).collect(),
            failure: Vec::new(),
        }
    }
}

impl Condition {
    fn into_compare(self, key: Vec<u8>) -> Compare {
        match self {
            Condition::CreateRevision(revision) => Compare {
                target: TARGET_CREATE_REVISION,
                key,
                create_revision: Some(revision),
                ..Compare::default()
            },
            Condition::ModRevision(revision) => Compare {
                target: TARGET_MOD_REVISION,
                key,
                mod_revision: Some(revision),
                ..Compare::default()
            },
        }
    }
}
