//! Faults on the network between processes, by a seeded schedule: datagrams dropped, delayed, duplicated and reordered,
//! links cut off for a while, in one direction or both.
//!
//! A [`Schedule`] is data; its [`FaultSampler`] decides and serves simulated networks too. [`datagram_relay`] applies it to
//! the datagrams of real processes on loopback, [`tcp_relay`] to their TCP connections.
#![warn(missing_docs)]

pub mod datagram_relay;
mod schedule;
pub mod tcp_relay;

pub use schedule::{FaultSampler, Rule, Schedule, ScheduleError};
