//! What the documents put out: actions for their driver, and notices for the operators.

use super::DocumentsError;
use crate::registry::messages::{
    LeaseGrantRequest, LeaseKeepAliveRequest, LeaseRevokeRequest, RangeRequest, TxnRequest, WatchRequest,
};
use crate::registry::status::Status;
use crate::routing::events::Micros;

/// How far the connection to the registry is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowPhase {
    /// There is none until the next dial.
    Disconnected,
    /// An endpoint is being dialed.
    Dialing,
    /// A list is being read, or the watch that follows it has not begun.
    Listing,
    /// The documents are followed, and no check is under way.
    Watching,
    /// They are followed, and a check has no answer yet.
    Checking {
        /// When it was sent.
        sent: Micros,
    },
}

/// A request to the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum Rpc {
    /// Reads keys.
    Range(RangeRequest),
    /// Watches; the call stays open.
    Watch(WatchRequest),
    /// Compares and writes.
    Transaction(TxnRequest),
    /// Grants a lease.
    Grant(LeaseGrantRequest),
    /// Keeps a lease alive; one call for each keep-alive.
    KeepAlive(LeaseKeepAliveRequest),
    /// Revokes a lease.
    Revoke(LeaseRevokeRequest),
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to an endpoint.
    Dial {
        /// Identifies the connection from now on.
        connection: u64,
        /// The endpoint's index in the settings.
        endpoint: usize,
    },
    /// Close a connection.
    Disconnect {
        /// The connection.
        connection: u64,
    },
    /// Begin a call on the connection.
    Call {
        /// The number of the call.
        call: u64,
        /// The request.
        rpc: Rpc,
    },
    /// Send a further request on the call of the watch.
    Send {
        /// The number of the call.
        call: u64,
        /// The request.
        request: WatchRequest,
    },
    /// Cancel a call.
    Cancel {
        /// The number of the call.
        call: u64,
    },
    /// Write a notice to the log.
    Notify(Notice),
}

/// A notice for the operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A list was taken.
    ListTaken {
        /// Its revision.
        revision: i64,
        /// Keys in it.
        keys: usize,
        /// How long it took.
        took: Micros,
    },
    /// A connection was lost or given up.
    Disconnected {
        /// The endpoint.
        endpoint: usize,
        /// Why, and what can be done.
        error: DocumentsError,
    },
    /// The registry rejected a call; nothing has happened.
    Rejected(Status),
}

/// Counters for the log and for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Connections begun.
    pub dials: u64,
    /// Connections lost or given up.
    pub lost: u64,
    /// Lists taken.
    pub lists: u64,
    /// Changes applied from watches.
    pub changes: u64,
    /// Calls sent.
    pub calls: u64,
    /// Calls whose answer never came.
    pub unknown: u64,
}
