//! Outputs of the documents: actions for the driver, and notices for operators.

use super::DocumentsError;
use crate::registry::messages::{
    LeaseGrantRequest, LeaseKeepAliveRequest, LeaseRevokeRequest, RangeRequest, TxnRequest, WatchRequest,
};
use crate::registry::status::Status;
use crate::routing::events::Micros;

/// Phase of the connection to the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowPhase {
    /// There is no connection; the next dial is pending.
    Disconnected,
    /// An endpoint is being dialed.
    Dialing,
    /// A list is being read, or its watch is not created yet.
    Listing,
    /// The watch is open, and no check is in flight.
    Watching,
    /// The watch is open, and a check is in flight.
    Checking {
        /// When the check was sent.
        sent: Micros,
    },
}

/// A remote procedure call to the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum Rpc {
    /// Reads keys.
    Range(RangeRequest),
    /// Watches keys; the call stays open.
    Watch(WatchRequest),
    /// Executes a transaction.
    Transaction(TxnRequest),
    /// Grants a lease.
    Grant(LeaseGrantRequest),
    /// Keeps a lease alive; each keep-alive is a call of its own.
    KeepAlive(LeaseKeepAliveRequest),
    /// Revokes a lease.
    Revoke(LeaseRevokeRequest),
}

/// An action for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Dial an endpoint.
    Dial {
        /// Id of the new connection.
        connection: u64,
        /// Index of the endpoint.
        endpoint: usize,
    },
    /// Close a connection.
    Disconnect {
        /// Id of the connection.
        connection: u64,
    },
    /// Start a call on the connection.
    Call {
        /// Id of the call.
        call: u64,
        /// Request to send.
        rpc: Rpc,
    },
    /// Send another request on the call of the watch.
    Send {
        /// Id of the call.
        call: u64,
        /// Request to send.
        request: WatchRequest,
    },
    /// Cancel a call.
    Cancel {
        /// Id of the call.
        call: u64,
    },
    /// Write a notice to the log.
    Notify(Notice),
}

/// A notice for the operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A complete list has replaced the mirror.
    ListTaken {
        /// Revision of the list.
        revision: i64,
        /// Number of keys in the list.
        keys: usize,
        /// Time from the first request to the last page, in microseconds.
        took: Micros,
    },
    /// A connection was lost or closed because of an error.
    Disconnected {
        /// Index of the endpoint.
        endpoint: usize,
        /// Reason for the loss.
        error: DocumentsError,
    },
    /// The registry rejected a call without executing it.
    Rejected(Status),
}

/// Counters for the log and for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of dials.
    pub dials: u64,
    /// Number of connections lost or closed because of an error, failed dials included.
    pub lost: u64,
    /// Number of complete lists.
    pub lists: u64,
    /// Number of changes applied from watches.
    pub changes: u64,
    /// Number of transactions and lease calls sent.
    pub calls: u64,
    /// Number of calls with an unknown result.
    pub unknown: u64,
}
