//! A client of a key-value registry with the published etcd v3 interface.
//!
//! [`session`] follows the list of endpoints: [`answers`] checks and decodes the registry's responses, [`record`] decodes
//! the records of endpoints, [`snapshot`] stores the list on disk, and [`driver`] connects these modules to the event
//! loop. [`documents`] stores the state that the fleet must agree on durably, and [`lease`] elects one instance at a
//! time as the planner. The session and the documents each follow the registry over one connection with the logic of
//! [`connection`], and exchange the messages of [`messages`] over [`grpc`].
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

pub mod answers;
pub mod connection;
pub mod documents;
pub mod driver;
pub mod grpc;
pub mod keys;
pub mod lease;
mod link;
pub mod messages;
pub mod record;
pub mod session;
pub mod snapshot;
pub mod status;
#[cfg(test)]
mod tests;
