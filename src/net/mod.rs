//! Networking below the proxy: the event loop, connections and their pool, the command channel, and the codecs of the
//! three protocols. Routing decisions are made elsewhere.

pub mod accept;
pub mod bounds;
pub mod clock;
pub mod command_channel;
pub mod connection;
pub mod delivery;
pub mod event_loop;
pub mod listener;
pub mod memory;
pub mod pool;
pub mod protocol;
pub mod startup;
pub mod tcp_info;
#[cfg(test)]
pub(crate) mod testing;
