//! A request router in front of tiers of caches with one origin behind them.
//!
//! A [`Router`] is created from [`routing::events::Settings`] and a seed. It handles one [`routing::events::Event`] at
//! a time, together with the current time, and appends the [`routing::events::Action`]s to carry out. It has no clock,
//! no input or output, no threads and no shared state.
//!
//! Around the router, [`proxy`] is one instance on sockets, driven by the event loop in [`net`]; [`endpoints`] is the
//! endpoint list, whatever its source; and [`config`] reads the configuration. Each other module is one subsystem: a
//! state machine without input or output, driven by [`proxy`]. `docs/ARCHITECTURE.md` describes how they fit together.
#![forbid(unsafe_code)]
#![warn(missing_docs, clippy::wildcard_imports)]
#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::unwrap_used))]

pub mod admin;
pub mod cli;
pub mod config;
pub mod endpoints;
pub mod failover;
pub mod gossip;
pub mod growth;
pub mod invariants;
pub mod lifecycle;
pub mod local_cache;
pub mod net;
pub mod placement;
pub mod proxy;
pub mod purges;
pub mod registry;
pub mod routing;
pub mod takeover;
pub mod timestamps;

/// Compiles and runs the example in the README.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct ReadmeExample;

pub use routing::Router;
