//! A gRPC client on one non-blocking connection of the event loop.
//!
//! h2 does the HTTP/2 framing. The owner polls its futures whenever the socket is ready or h2 itself requests another
//! poll, so no async runtime and no thread is needed. [`channel`] manages the connection and the queue of calls, `call`
//! one open call, [`framing`] the length-prefixed messages, and [`stream`] the socket and its read budget. The drivers
//! of the registry and the command line use this client.

mod call;
pub mod channel;
pub mod framing;
pub mod stream;
#[cfg(test)]
mod tests;

pub use channel::{Channel, ChannelEvent};
