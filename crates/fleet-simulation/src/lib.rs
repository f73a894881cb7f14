//! Hollow instances by the thousand in virtual time: the real cores without their sockets, on a simulated network of
//! regions, zones and racks.
//!
//! Equal scenarios, sizes and seeds give equal reports, byte for byte. What is left out: sockets, system calls, the
//! processor time of instances and of control machines (an answer takes no time there; calls are counted instead), and
//! the limits of links. [`follow`] and [`network`] say what messages and lost packets are taken to cost.
//!
//! Beside them, what that leaves out is measured: [`slopes`] takes the processor time and the bytes of single cores,
//! [`loopback`] runs real drivers and real processes against a stand-in registry, and [`capacity`] fits laws to all of it
//! and works the target's figures out of them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod capacity;
pub mod checker;
pub mod error;
pub mod figures;
pub mod follow;
mod gather;
pub mod loopback;
pub mod network;
pub mod places;
pub mod plan;
pub mod queue;
pub mod records;
pub mod run;
pub mod scenario;
pub mod slopes;
pub mod view;

pub use error::ScaleError;
pub use figures::{FollowFigures, Spread, ViewFigures};
pub use run::{run, Report};
pub use scenario::Scenario;

use scenario::{Event, Follow, View};

/// The view alone on an ordinary network, all known to each other from the start, one instance killed half-way.
///
/// `size` instances (2 to 4,096), `seconds` measured (60 or more for the death to be known to all of a large fleet),
/// `note_bytes` of each instance's note (0: none, 64 at most).
pub fn view_slope(
    size: usize,
    seed: u64,
    seconds: u64,
    note_bytes: usize,
) -> Result<ViewFigures, ScaleError> {
    let half = seconds as f64 / 2.0;
    let scenario = Scenario {
        name: "view".to_owned(),
        seconds,
        view: Some(View { note_bytes, cold: false }),
        events: vec![Event::Failures { count: 1, from_s: half, until_s: seconds as f64 }],
        ..Scenario::default()
    };
    let plan = plan::Plan::new(&scenario, size, seed)?;
    Ok(view::run(&scenario, &plan, seed).figures)
}

/// Followers of the purge log alone on an ordinary network: as [`follow_slope`], with a purge in place of each commit.
pub fn purge_slope(size: usize, seed: u64, seconds: u64) -> Result<FollowFigures, ScaleError> {
    let scenario = Scenario {
        name: "purges".to_owned(),
        seconds,
        follow: Some(Follow { purge_log: true, ..Follow::default() }),
        ..Scenario::default()
    };
    let plan = plan::Plan::new(&scenario, size, seed)?;
    Ok(follow::run(&scenario, &plan, seed, |_| follow::PurgeReader::default()).figures)
}

/// Followers of documents alone on an ordinary network: `size` instances (1 to 4,096) on 12 control machines, 20
/// commits a second, `seconds` measured.
pub fn follow_slope(size: usize, seed: u64, seconds: u64) -> Result<FollowFigures, ScaleError> {
    let scenario = Scenario {
        name: "follow".to_owned(),
        seconds,
        follow: Some(Follow::default()),
        ..Scenario::default()
    };
    let plan = plan::Plan::new(&scenario, size, seed)?;
    Ok(follow::run(&scenario, &plan, seed, |_| follow::Mirror).figures)
}
