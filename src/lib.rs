//! Decisions of a request router in front of tiers of caches with one origin behind them.
//!
//! Build a [`Router`] from [`interface::Settings`] and a seed, then hand it the time and one
//! [`interface::Event`] after another; it appends the [`interface::Action`]s to carry out.
//! It has no clock, no input or output, no threads and no shared state. Round it, [`net`] is the real doorman
//! on sockets; [`membership`] is the one list of depots out of any source; [`settings`] reads the operators' settings for both programs.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cli;
pub mod copies;
pub mod gossip;
pub mod growth;
pub mod guidance;
pub mod handover;
pub mod interface;
pub mod lifecycle;
mod logic;
pub mod management;
pub mod membership;
pub mod net;
pub mod placement;
pub mod product;
pub mod purges;
pub mod registry;
pub mod settings;
pub mod sites;
pub mod timestamps;

/// Compiles and runs the example of the README.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct ReadmeExample;

pub use logic::Router;
