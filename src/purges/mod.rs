//! Purges in force: what a purge covers, and from which moment on a copy must have been made to be served.
//!
//! A core: no clock, no input, no output. [`purge`] is one purge and its checks, `marks` the bounded tables, and
//! [`in_force`] what all purges together ask for. [`log`] follows the purge log of the whole fleet, [`cut_off`] says why
//! that was not possible, [`recent`] is the router's memory of the last purges.

pub mod cut_off;
pub mod in_force;
pub mod log;
mod marks;
pub mod purge;
pub mod recent;
#[cfg(test)]
mod tests;

pub use self::in_force::{Capacity, InForce, RequestedObject};
pub use self::purge::{InvalidPurge, Purge, PurgeScope, MAX_COVERS};
