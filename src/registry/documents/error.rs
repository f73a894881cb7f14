//! Errors of following and changing documents, for operators and for the owner.

use super::Settings;
use crate::registry::answers::MessageError;
use crate::registry::status::Status;

/// An error of the documents. The message says what an operator can do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentsError {
    /// The maximum number of calls is pending.
    #[error(
        "the maximum of {max_calls} calls is pending: check the health of the registry; nothing was sent"
    )]
    Busy {
        /// Maximum number of pending calls.
        max_calls: usize,
    },
    /// A call with the same id is pending.
    #[error("a transaction with id {id} is already pending: this is a bug, report it; nothing was sent")]
    DuplicateId {
        /// Id of the call.
        id: u64,
    },
    /// A transaction has more operations than the registry accepts.
    #[error("the transaction has {operations} compares or writes, the registry accepts at most {max_operations}: use fewer shards or moves at a time; nothing was sent")]
    TooManyOperations {
        /// Number of compares or of writes, whichever is greater.
        operations: usize,
        /// Maximum number of compares or of writes.
        max_operations: usize,
    },
    /// A transaction is larger than the registry accepts.
    #[error("the transaction has {bytes} bytes, the registry accepts at most {max_bytes}: use fewer shards or shorter names; nothing was sent")]
    TooLarge {
        /// Size of the transaction, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        max_bytes: usize,
    },
    /// A transaction writes a key more than once.
    #[error("the transaction writes key '{key}' more than once: this is a bug, report it; nothing was sent")]
    DuplicateKey {
        /// The key that is written more than once.
        key: String,
    },
    /// A transaction uses an empty key, or writes the planner's key.
    #[error(
        "key '{key}' is empty or reserved for the planner's lease: this is a bug, report it; nothing was sent"
    )]
    ReservedKey {
        /// The rejected key.
        key: String,
    },
    /// The dial of an endpoint failed or timed out.
    #[error(
        "the endpoint is unreachable: check that the member is running and that the endpoint is correct; trying the next endpoint"
    )]
    Unreachable,
    /// The connection failed, or the registry closed it.
    #[error("the connection was lost: no action is needed unless this repeats; trying the next endpoint")]
    ConnectionLost,
    /// No response arrived in time.
    #[error(
        "the registry did not respond in time: check whether the member is overloaded or partitioned; trying the next endpoint"
    )]
    TimedOut,
    /// A call failed with this status.
    #[error("the registry responded with {0}: see its log; trying the next endpoint")]
    CallFailed(Status),
    /// A message violates the protocol.
    #[error(
        "the message is invalid ({0}): check which service listens on the endpoint; trying the next endpoint"
    )]
    InvalidMessage(#[from] MessageError),
    /// The registry's count of keys differs from the number of mirrored documents.
    #[error("the watch is inconsistent (the registry's count of keys differs from the mirror): no action is needed unless this repeats; reading a new list")]
    CountDiffers,
    /// A message of the watch, over all its fragments, exceeds the maximum size of the documents.
    #[error("the watch is inconsistent (a message exceeds the maximum size of all documents): no action is needed unless this repeats; reading a new list")]
    WatchMessageTooLarge,
    /// The registry has compacted revisions that the list or the watch needs.
    #[error("the required revisions were compacted: compact less often if this repeats; reading a new list")]
    Compacted,
    /// A member reports an older revision than one that was already accepted.
    #[error("the member reports revision {revision}, but revision {accepted} was already accepted: the member lags, or the registry was restored from a backup; if it was restored, restart the instances; the last valid documents are kept until then")]
    MemberBehind {
        /// Revision that the member reports.
        revision: i64,
        /// Latest accepted revision.
        accepted: i64,
    },
    /// A member belongs to another cluster.
    #[error("the member belongs to cluster {cluster:016x}, not {followed:016x}: check the endpoints; if the registry was replaced, restart the instances; the last valid documents are kept until then")]
    OtherCluster {
        /// Cluster of the member.
        cluster: u64,
        /// Cluster of the mirrored documents.
        followed: u64,
    },
    /// The documents exceed the maximum number or size.
    #[error("{keys} keys with {bytes} bytes have the prefix, at most {max_keys} keys with {max_bytes} bytes are allowed: remove keys that do not belong to the fleet or use a separate prefix; the last valid documents are kept")]
    TooManyDocuments {
        /// Number of keys read or counted so far.
        keys: u64,
        /// Size of the documents read so far, in bytes.
        bytes: u64,
        /// Maximum number of keys.
        max_keys: usize,
        /// Maximum size of the documents, in bytes.
        max_bytes: usize,
    },
}

impl DocumentsError {
    /// Returns the error for this number of keys and bytes, which exceeds the limits of the settings.
    pub(super) fn limit_exceeded(keys: u64, bytes: usize, settings: &Settings) -> Self {
        DocumentsError::TooManyDocuments {
            keys,
            bytes: bytes as u64,
            max_keys: settings.max_keys,
            max_bytes: settings.max_bytes,
        }
    }
}
