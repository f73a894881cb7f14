//! The outputs of a session: actions for its driver, updates of the list of endpoints, and notices for the operators.

use crate::registry::answers::{KeyEntry, MessageError};
use crate::registry::record::{EndpointRecord, RecordError};
use crate::registry::status::Status;
use crate::routing::events::{Id, Micros};
use std::sync::Arc;

/// An action that the driver must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to an endpoint.
    Dial {
        /// Id of the new connection.
        connection: u64,
        /// Index of the endpoint in the settings.
        endpoint: usize,
    },
    /// Close a connection.
    Disconnect {
        /// Id of the connection.
        connection: u64,
    },
    /// Read a page of keys.
    List {
        /// Number of the call.
        call: u64,
        /// First key of the page.
        from: Vec<u8>,
        /// Revision to read; 0 for the latest.
        revision: u64,
        /// Maximum number of keys in the page.
        limit: usize,
        /// Whether to omit the values.
        keys_only: bool,
    },
    /// Count the keys.
    Count {
        /// Number of the call.
        call: u64,
    },
    /// Create a watch.
    Watch {
        /// Id of the new watch.
        watch: i64,
        /// First revision whose changes the watch reports.
        revision: u64,
    },
    /// Cancel a watch.
    CancelWatch {
        /// Id of the watch.
        watch: i64,
    },
    /// Request the progress of the watch on its stream.
    RequestProgress,
    /// Write a notice to the log.
    Notify(Notice),
}

/// A change of the list of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// An endpoint was registered or changed.
    Put {
        /// Id of the endpoint.
        id: Id,
        /// Record of the endpoint.
        endpoint: Arc<EndpointRecord>,
        /// Number of the endpoint's process; a later process has a larger number.
        process: u64,
        /// How the start time of the process is determined.
        start: StartTime,
    },
    /// The record of an endpoint is unusable: the endpoint receives no new requests.
    Unreadable(Id),
    /// An endpoint is no longer registered.
    Removed(Id),
}

/// How the start time of an endpoint's process is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartTime {
    /// The start time in the record; long ago if the record has none.
    Recorded,
    /// The start time in the record; now if the record has none, because an earlier list did not contain this process.
    RecordedOrNow,
    /// Now, as the safe assumption: the record is from a snapshot, which may be long out of date.
    Unknown,
}

/// A notice for the operators, written to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A complete list was read and applied.
    ListTaken {
        /// Revision of the list.
        revision: u64,
        /// Number of keys in the list.
        keys: usize,
        /// Number of resulting updates of the list of endpoints.
        changes: usize,
        /// Time from the first request to the end of the application, in microseconds.
        took: Micros,
    },
    /// A connection was lost or closed because of a fault.
    Disconnected {
        /// Index of the endpoint in the settings.
        endpoint: usize,
        /// The cause.
        reason: DisconnectReason,
    },
    /// The registry has compacted a revision that the list or the watch needs; a new list is read.
    Compacted {
        /// Revision of the list, or up to which the watch was applied.
        revision: u64,
    },
    /// The watch may have missed a change; a new list is read.
    Relisting(RelistReason),
    /// A member reports an older revision than the accepted one.
    MemberBehind {
        /// Index of the endpoint in the settings.
        endpoint: usize,
        /// Revision that the member reports.
        revision: u64,
        /// Latest accepted revision.
        accepted: u64,
    },
    /// A member belongs to another cluster.
    OtherCluster {
        /// Index of the endpoint in the settings.
        endpoint: usize,
        /// Cluster id of the member.
        cluster: u64,
    },
    /// The registry was restored from a backup or replaced: its list replaces the previous one.
    Restored {
        /// Cluster id of the registry.
        cluster: u64,
        /// Revision of the registry.
        revision: u64,
        /// Latest revision that was accepted before.
        accepted: u64,
    },
    /// A record is unusable; its endpoint is treated as draining.
    UnreadableRecord {
        /// Key of the record.
        key: Arc<[u8]>,
        /// Revision of the last change of the key.
        revision: u64,
        /// The cause.
        error: RecordError,
    },
    /// The registry has more keys than the settings allow: a new list is rejected, and a watch leaves new keys out.
    TooManyKeys {
        /// Number of keys.
        keys: u64,
        /// Maximum number of keys.
        max_keys: usize,
    },
}

/// Why a new list is read on an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RelistReason {
    /// A message of the watch exceeds the maximum size; a list is read in pages instead.
    #[error("a message of the watch exceeds the maximum message size")]
    WatchMessageTooLarge,
    /// One message, over all its fragments, has more events than the maximum number of keys.
    #[error("a message of the watch has more events than the maximum number of keys")]
    TooManyEvents,
    /// The order of an event relative to the applied changes can't be determined.
    #[error("a watch event is out of order")]
    EventOutOfOrder,
    /// The registry's count of keys differs from the number of known keys.
    #[error("the registry's count of keys differs from the number of known keys")]
    CountDiffers,
}

/// Why a connection was lost or closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The dial failed or timed out.
    Unreachable,
    /// The connection broke, or the peer closed it.
    ConnectionLost,
    /// A response did not arrive in time.
    TimedOut,
    /// A call failed.
    CallFailed(Status),
    /// A message violates the protocol.
    InvalidMessage(MessageError),
    /// The member reports an older revision than the accepted one, or another cluster.
    StateRejected,
    /// The registry has more keys than the settings allow.
    TooManyKeys,
    /// Revisions were repeatedly compacted before the list was complete.
    Compacted,
}

/// Counters for the log and for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of dials.
    pub dials: u64,
    /// Number of connections that were lost or closed because of a fault, failed dials included.
    pub lost: u64,
    /// Number of lists that were read and applied.
    pub lists: u64,
    /// Number of applied watch events.
    pub changes: u64,
    /// Number of watch events that were ignored because the same or a later change of the key was already applied.
    pub repeated: u64,
    /// Number of records that were unusable.
    pub unreadable: u64,
    /// Number of lists whose first page did not match the accepted state.
    pub doubted: u64,
}

/// The contents of a snapshot: a list to start with while the registry can't be reached.
#[derive(Clone, Debug, PartialEq)]
pub struct SavedList {
    /// Cluster id of the registry.
    pub cluster: u64,
    /// Revision of the list.
    pub revision: u64,
    /// The keys with usable records.
    pub entries: Vec<KeyEntry>,
}
