//! What can go wrong with documents, for the operators and for the owner.

use super::Settings;
use crate::registry::answers::MessageError;
use crate::registry::status::Status;

/// What went wrong, and what can be done.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentsError {
    /// As many calls wait as may.
    #[error("{max_calls} calls wait for the registry's answers or for being taken, no more may: look after the registry's health; nothing was sent")]
    Busy {
        /// How many may.
        max_calls: usize,
    },
    /// A call with this number waits already.
    #[error(
        "a transaction with number {id} waits already: a fault of this program, report it; nothing was sent"
    )]
    DuplicateId {
        /// The number.
        id: u64,
    },
    /// A transaction has more operations than the registry takes.
    #[error("a transaction of {operations} compares or writes, the registry takes {max_operations}: fewer shards or moves at a time; nothing was sent")]
    TooManyOperations {
        /// How many it has, of compares or of writes.
        operations: usize,
        /// How many may be.
        max_operations: usize,
    },
    /// A transaction has more bytes than the registry takes.
    #[error("a transaction of {bytes} bytes, the registry takes {max_bytes}: fewer shards or shorter names; nothing was sent")]
    TooLarge {
        /// How many it has.
        bytes: usize,
        /// How many may be.
        max_bytes: usize,
    },
    /// A transaction writes this key more than once.
    #[error("a transaction writes key '{key}' twice: a fault of this program, report it; nothing was sent")]
    DuplicateKey {
        /// The key.
        key: String,
    },
    /// A key that can't be written here.
    #[error(
        "key '{key}' is empty or the planner's own: a fault of this program, report it; nothing was sent"
    )]
    ReservedKey {
        /// The key.
        key: String,
    },
    /// An endpoint could not be dialed in time, or at all.
    #[error(
        "nobody answers there: look whether the member runs and the endpoint is right; the next one is tried"
    )]
    Unreachable,
    /// A connection broke, or the other end closed it.
    #[error("the connection broke: nothing to do unless it repeats, the next endpoint is tried")]
    ConnectionLost,
    /// Nothing came for too long.
    #[error(
        "nothing came for too long: look whether the member is overloaded or cut off; the next one is tried"
    )]
    TimedOut,
    /// A call failed.
    #[error("the registry answered {0}: see its log; the next endpoint is tried")]
    CallFailed(Status),
    /// A message violates the protocol.
    #[error("what came makes no sense ({0}): look what listens there; the next endpoint is tried")]
    InvalidMessage(#[from] MessageError),
    /// The registry counts another number of keys than the mirror has.
    #[error("the watch can't be trusted (the count of keys differs): nothing to do unless it repeats, a new list is taken")]
    CountDiffers,
    /// A message of the watch has more bytes than may be kept.
    #[error("the watch can't be trusted (more at once than there may be): nothing to do unless it repeats, a new list is taken")]
    WatchMessageTooLarge,
    /// Revisions that were needed are compacted.
    #[error(
        "history was compacted while it was read: compact less often if this repeats; a new list is taken"
    )]
    Compacted,
    /// A member shows less than was accepted.
    #[error("it shows revision {revision}, {accepted} has been seen: the member lags, or the registry was restored from a backup; if that is meant, restart the instances, until then the last good documents stay")]
    MemberBehind {
        /// The revision that it shows.
        revision: i64,
        /// The revision that was accepted.
        accepted: i64,
    },
    /// A member belongs to another cluster.
    #[error("it belongs to cluster {cluster:016x}, not {followed:016x}: check the endpoints; if the registry was replaced, restart the instances, until then the last good documents stay")]
    OtherCluster {
        /// Its cluster.
        cluster: u64,
        /// The cluster that is followed.
        followed: u64,
    },
    /// More documents than there may be.
    #[error("{keys} keys with {bytes} bytes below the prefix, {max_keys} with {max_bytes} may be: remove what does not belong there or give the fleet a prefix of its own; the last good documents stay")]
    TooManyDocuments {
        /// How many keys, as far as they were read.
        keys: u64,
        /// How many bytes, as far as they were read.
        bytes: u64,
        /// How many keys may be.
        max_keys: usize,
        /// How many bytes may be.
        max_bytes: usize,
    },
}

impl DocumentsError {
    /// There are so many documents with so many bytes, more than the settings allow.
    pub(super) fn limit_exceeded(keys: u64, bytes: usize, settings: &Settings) -> Self {
        DocumentsError::TooManyDocuments {
            keys,
            bytes: bytes as u64,
            max_keys: settings.max_keys,
            max_bytes: settings.max_bytes,
        }
    }
}
