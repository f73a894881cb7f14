//! What every follower of the registry decides about its one connection: which endpoint is next and when
//! ([`endpoints`]), in which phase the connection is, whether an answer is current ([`position`]), and whether the
//! watch is complete ([`consistency`]). The session with the list of endpoints and the mirror of documents are built
//! on it; it has no clock and no sockets.

pub mod consistency;
pub mod endpoints;
pub mod position;

use crate::routing::events::Micros;
use consistency::WatchState;

/// A connection to an endpoint of the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connection {
    /// Identifies the connection among all of one follower's.
    pub id: u64,
    /// The endpoint's index in the settings.
    pub endpoint: usize,
}

/// How far a connection had come when it was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostPhase {
    /// It was being dialed.
    Dialing,
    /// It was open.
    Open,
}

/// The phase of the connection; `L` is a list in progress, `W` a watch.
#[derive(Clone, Debug)]
pub enum ConnectionState<L, W> {
    /// There is no connection until the next dial.
    Backoff {
        /// When the next dial is due.
        until: Micros,
    },
    /// An endpoint is being dialed.
    Dialing {
        /// The connection to be.
        connection: Connection,
        /// When the dial times out.
        until: Micros,
    },
    /// A list is being read.
    Listing {
        /// The connection in use.
        connection: Connection,
        /// When the answer to the page times out, or the next part of the list is applied.
        until: Micros,
        /// The list.
        list: Box<L>,
    },
    /// A watch follows the list.
    Watching {
        /// The connection in use.
        connection: Connection,
        /// The watch.
        watch: Box<W>,
    },
}

impl<L, W> ConnectionState<L, W> {
    /// The connection in use or being dialed.
    pub fn connection(&self) -> Option<Connection> {
        match self {
            ConnectionState::Backoff { .. } => None,
            ConnectionState::Dialing { connection, .. }
            | ConnectionState::Listing { connection, .. }
            | ConnectionState::Watching { connection, .. } => Some(*connection),
        }
    }

    /// The connection that is being dialed, if it is the one with this id.
    pub fn dialing(&self, id: u64) -> Option<Connection> {
        match self {
            ConnectionState::Dialing { connection, .. } if connection.id == id => Some(*connection),
            _ => None,
        }
    }

    /// In which phase the connection with this id is; `None`: it is not in use.
    pub fn lost_phase(&self, id: u64) -> Option<LostPhase> {
        self.connection().filter(|connection| connection.id == id)?;
        match self {
            ConnectionState::Dialing { .. } => Some(LostPhase::Dialing),
            _ => Some(LostPhase::Open),
        }
    }
}

impl<L, E, R, X> ConnectionState<L, WatchState<E, R, X>> {
    /// When something is due without any input; a check is unanswered for `check_timeout` at most.
    pub fn due(&self, check_timeout: Micros) -> Micros {
        match self {
            ConnectionState::Backoff { until }
            | ConnectionState::Dialing { until, .. }
            | ConnectionState::Listing { until, .. } => *until,
            ConnectionState::Watching { watch, .. } => watch.due(check_timeout),
        }
    }

    /// Whether a whole list was taken and a watch follows it.
    pub fn is_watching(&self) -> bool {
        matches!(self, ConnectionState::Watching { watch, .. } if watch.created)
    }
}
