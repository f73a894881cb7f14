//! A registry of several members, spoken to over real sockets, with faults by order.

pub mod chaos;
pub mod server;
pub mod store;

pub use server::{Fault, Registry};
pub use store::Store;
