//! The predecessor's side of a takeover: the process to which it offers its listener.

use super::{FromPredecessor, FromSuccessor, Identity, VERSION};

/// The predecessor's reaction to a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Offer the listener; from now on the instance has two processes.
    Offer,
    /// Send this message and close the connection.
    Refuse(FromPredecessor),
    /// Stop accepting clients, because the successor serves them.
    Replaced {
        /// See [`FromSuccessor::Serving`].
        shared_listener: bool,
    },
    /// Do nothing.
    Nothing,
}

/// The process to which the listener was offered.
#[derive(Clone, Copy, Debug)]
struct Successor<K> {
    connection: K,
    is_serving: bool,
    reads_executions: bool,
}

/// Offers the listener to one successor at a time. `K` identifies a connection.
#[derive(Clone, Debug)]
pub struct Offers<K> {
    identity: Identity,
    successor: Option<Successor<K>>,
}

impl<K: Copy + PartialEq> Offers<K> {
    /// Creates the state without a successor.
    pub fn new(identity: Identity) -> Self {
        Offers { identity, successor: None }
    }

    /// Whether there is a successor.
    pub fn has_successor(&self) -> bool {
        self.successor.is_some()
    }

    /// Whether this is the successor's connection.
    pub fn is_successor(&self, connection: K) -> bool {
        self.successor.is_some_and(|successor| successor.connection == connection)
    }

    /// Returns the connection of a successor that reads of executed requests.
    pub fn execution_reader(&self) -> Option<K> {
        self.successor.filter(|successor| successor.reads_executions).map(|successor| successor.connection)
    }

    /// Handles a line that was received on a connection.
    pub fn handle_line(&mut self, connection: K, text: &[u8]) -> Action {
        match serde_json::from_slice(text) {
            Ok(FromSuccessor::Hello { version, identity, reads_executions }) => {
                self.hello(connection, version, &identity, reads_executions)
            }
            Ok(FromSuccessor::Serving { shared_listener }) => self.serving(connection, shared_listener),
            Err(_) => refuse("not understood".to_owned()),
        }
    }

    fn hello(&mut self, connection: K, version: u32, identity: &Identity, reads_executions: bool) -> Action {
        if version != VERSION {
            return refuse(format!("version {version} is not spoken, {VERSION} is"));
        }
        if *identity != self.identity {
            return refuse(format!("this is {} at {}", self.identity.name, self.identity.listen));
        }
        if self.has_successor() {
            return Action::Refuse(FromPredecessor::Busy);
        }
        self.successor = Some(Successor { connection, is_serving: false, reads_executions });
        Action::Offer
    }

    fn serving(&mut self, connection: K, shared_listener: bool) -> Action {
        match &mut self.successor {
            Some(successor) if successor.connection == connection && !successor.is_serving => {
                successor.is_serving = true;
                Action::Replaced { shared_listener }
            }
            _ => Action::Nothing,
        }
    }

    /// Handles the end of a connection. Returns whether it was the successor's, so that this process is the only one
    /// again.
    pub fn handle_disconnect(&mut self, connection: K) -> bool {
        let was_successor = self.is_successor(connection);
        if was_successor {
            self.successor = None;
        }
        was_successor
    }
}

fn refuse(reason: String) -> Action {
    Action::Refuse(FromPredecessor::Refused(reason))
}
