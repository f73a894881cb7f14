//! Stand-ins for what an instance talks to, played from public specifications, and checkers of their records.
//!
//! Everything is on loopback, scripted or drawn from a seed. Nothing here is linked into the instance.
#![forbid(unsafe_code)]

pub mod checker;
pub mod clients;
pub mod endpoints;
pub mod fleet;
pub mod processes;
pub mod registry;
pub mod world;
