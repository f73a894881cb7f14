//! The endpoint list, which is the same for all sources: the command channel and the registry.
//!
//! [`EndpointList`] decides which endpoints accept requests and since when the others accept none, which process an id
//! refers to, which endpoint owns an address, and which connections are replaced. The list has no clock and does no I/O.
//! A source passes in complete lists and single changes; the owner, `proxy`, takes the resulting changes in batches,
//! urgent changes first.
//!
//! ```text
//!                upsert (ready)                       upsert (draining), close
//!  unknown ---------------------> accepts requests ------------------------------> accepts none
//!     ^                               |  ^-------------- upsert (ready) -------------+   |
//!     |                               |  another id claims the address: shadowed         |
//!     +------ removal taken <---------+---- remove, replace_all without the id ----------+
//! ```
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

mod change_queue;
mod entry;
mod list;

pub use entry::{Change, Connections, Counts, Entry, TooManyEndpoints};
pub use list::EndpointList;
