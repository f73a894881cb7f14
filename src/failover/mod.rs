//! Failover of a whole site (a zone of the settings): detection of its loss, redistribution of its load, the order in
//! which requests are rejected, and its recovery.
//!
//! None of these modules reads a clock or does I/O. `proxy::failover` owns a [`FailureDetector`] and the plans, passes
//! observations to them and hands the resulting constraints to the router.
//!
//! | module | contents |
//! | --- | --- |
//! | [`failure_detector`] | the state of each site, from observations |
//! | [`site_report`] | the report on sites that an instance sends to its peers |
//! | [`recovery_ramp`] | the steps by which the load of a recovering site is restored |
//! | [`load_shift`] | plans for the loss of each site, and the routing constraints derived from them |
//!
//! Order of precedence, highest first: rules of the protocol, the plan for a lost site, the site's recovery, moves of
//! shards, splits of shards.
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

pub mod failure_detector;
pub mod instance_share;
pub mod load_shift;
mod observations;
pub mod recovery_ramp;
mod settings;
pub mod site_report;
mod site_state;

pub use failure_detector::FailureDetector;
pub use observations::{AttemptOutcome, ListedServer};
pub use settings::Settings;
pub use site_state::SiteState;

/// Index of a zone in the settings' list of zones.
pub type Zone = usize;
