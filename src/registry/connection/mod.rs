//! The connection logic that all followers of the registry share: which endpoint to dial next and when
//! ([`endpoints`]), the phase of the connection, whether a response is current ([`position`]), and whether the watch
//! has missed changes ([`consistency`]). The session with the list of endpoints and the mirror of documents build on
//! this module, which uses no clock and no sockets.

pub mod consistency;
pub mod endpoints;
pub mod position;

use crate::routing::events::Micros;
use consistency::WatchState;

/// A connection to an endpoint of the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connection {
    /// Id of the connection, unique within one follower.
    pub id: u64,
    /// Index of the endpoint in the settings.
    pub endpoint: usize,
}

/// The phase in which a connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostPhase {
    /// The connection was being dialed.
    Dialing,
    /// The connection was open.
    Open,
}

/// The phase of the connection. `L` is the type of a list in progress, `W` that of a watch.
#[derive(Clone, Debug)]
pub enum ConnectionState<L, W> {
    /// There is no connection; the next dial is pending.
    Backoff {
        /// When the next dial is due.
        until: Micros,
    },
    /// An endpoint is being dialed.
    Dialing {
        /// The connection that is being dialed.
        connection: Connection,
        /// When the dial times out.
        until: Micros,
    },
    /// A list is being read.
    Listing {
        /// The connection in use.
        connection: Connection,
        /// When the call for the page times out, or when the next batch of the list is applied.
        until: Micros,
        /// The list in progress.
        list: Box<L>,
    },
    /// A complete list was applied, and a watch follows its changes.
    Watching {
        /// The connection in use.
        connection: Connection,
        /// The watch.
        watch: Box<W>,
    },
}

impl<L, W> ConnectionState<L, W> {
    /// Returns the connection that is open or being dialed, if any.
    pub fn connection(&self) -> Option<Connection> {
        match self {
            ConnectionState::Backoff { .. } => None,
            ConnectionState::Dialing { connection, .. }
            | ConnectionState::Listing { connection, .. }
            | ConnectionState::Watching { connection, .. } => Some(*connection),
        }
    }

    /// Returns the connection that is being dialed if it has this id.
    pub fn dialing(&self, id: u64) -> Option<Connection> {
        match self {
            ConnectionState::Dialing { connection, .. } if connection.id == id => Some(*connection),
            _ => None,
        }
    }

    /// Returns the phase of the connection with this id; `None` if that connection is neither open nor being dialed.
    pub fn lost_phase(&self, id: u64) -> Option<LostPhase> {
        self.connection().filter(|connection| connection.id == id)?;
        match self {
            ConnectionState::Dialing { .. } => Some(LostPhase::Dialing),
            _ => Some(LostPhase::Open),
        }
    }
}

impl<L, E, R, X> ConnectionState<L, WatchState<E, R, X>> {
    /// Returns when the next action is due without further input. A consistency check times out after `check_timeout`.
    pub fn due(&self, check_timeout: Micros) -> Micros {
        match self {
            ConnectionState::Backoff { until }
            | ConnectionState::Dialing { until, .. }
            | ConnectionState::Listing { until, .. } => *until,
            ConnectionState::Watching { watch, .. } => watch.due(check_timeout),
        }
    }

    /// Returns whether the registry has confirmed the watch that follows a complete list.
    pub fn is_watching(&self) -> bool {
        matches!(self, ConnectionState::Watching { watch, .. } if watch.created)
    }
}
