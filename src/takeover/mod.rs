//! Takeover of an instance by a new process: the decision which process may take over ([`Offers`]), the messages
//! between the two processes, which are lines of JSON, and the state that is handed over in a file
//! ([`TakeoverState`]). The module does no I/O; its driver is `src/proxy/takeover.rs`.
//!
//! ```text
//! successor                          predecessor
//!     -- hello (identity) ------------->        one successor at a time; a second one gets `busy`
//!     <---- offer (the listener) ------
//!     <---- executed (a request) ------        for each request that may not simply run again, while both run
//!     -- serving --------------------->         stops accepting connections
//!     <---- connection closed ---------         exits; the successor no longer shares the resource bounds
//! ```
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

mod executed;
mod offers;
mod state;
#[cfg(test)]
mod tests;

pub use self::executed::{ExecutedRequest, Lines};
pub use self::offers::{Action, Offers};
pub use self::state::{PurgeInForce, StateError, TakeoverState, MAX_EXECUTED, MAX_FILE_BYTES, MAX_PURGES};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the messages and of the state file.
const VERSION: u32 = 1;
/// Maximum number of bytes read for a line.
pub const MAX_LINE_BYTES: usize = 1024;

/// The identity of an instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Identity {
    /// Name of the instance.
    pub name: String,
    /// Address at which clients connect to the instance.
    pub listen: SocketAddr,
}

/// A message from the successor.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FromSuccessor {
    /// The successor has started.
    Hello {
        /// Version of the successor's messages.
        version: u32,
        /// Instance of the successor.
        #[serde(rename = "who")]
        identity: Identity,
        /// Whether the successor reads [`FromPredecessor::Executed`]; versions before take any input for the
        /// predecessor's end.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        reads_executions: bool,
    },
    /// The successor serves clients.
    Serving {
        /// Whether it accepts them on the offered listener.
        #[serde(rename = "shared")]
        shared_listener: bool,
    },
}

/// A message from the predecessor.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FromPredecessor {
    /// The successor may take over; the listener is passed with this message.
    Offer,
    /// Another process is taking over.
    Busy,
    /// The successor may not take over, for this reason.
    Refused(String),
    /// A request may have run.
    Executed(ExecutedRequest),
}

/// Encodes a message as a line of JSON.
pub fn encode_line(message: &impl Serialize) -> Vec<u8> {
    let mut text = serde_json::to_vec(message)
        .expect("messages have only strings, numbers and booleans, which JSON can represent");
    text.push(b'\n');
    text
}

/// Returns the first message of a successor.
pub fn hello(identity: Identity) -> FromSuccessor {
    FromSuccessor::Hello { version: VERSION, identity, reads_executions: true }
}
