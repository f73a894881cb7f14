//! Purges in force: their scopes, and the creation time from which a copy may still be served.
//!
//! The module does no I/O and reads no clock. [`purge`] holds one purge and its validation, `marks` the bounded tables,
//! and [`in_force`] the combined effect of all purges. [`log`] follows the fleet-wide purge log, [`cut_off`] finds the
//! cause when an instance cannot follow it, [`channel_delivery`] tells which purges of the command channel may be missing,
//! [`staleness`] holds the bound on the age of copies that follows from either, and [`recent`] holds the recent purges for
//! the router.

pub mod channel_delivery;
pub mod cut_off;
pub mod in_force;
pub mod log;
mod marks;
pub mod purge;
pub mod recent;
pub mod staleness;
#[cfg(test)]
mod tests;

pub use self::in_force::{Capacity, PurgesInForce, RequestedObject};
pub use self::purge::{InvalidPurge, Purge, PurgeScope, MAX_SCOPES};
