//! Hollow doormans by the thousand in virtual time: the real cores without their sockets, on a simulated network of
//! regions, zones and racks.
//!
//! Equal scenarios, sizes and seeds give equal reports, byte for byte. What is left out: sockets, system calls, the
//! processor time of doormans and of control machines (an answer takes no time there; calls are counted instead), and
//! the limits of links. [`follow`] and [`network`] say what messages and lost packets are taken to cost.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod error;
pub mod figures;

pub use error::ScaleError;
pub use figures::{FollowFigures, Spread, ViewFigures};

/// The view alone on an ordinary network, all known to each other from the start, one doorman killed half-way.
///
/// `size` doormans (3 to 4,096), `seconds` measured, `note_bytes` of each doorman's note (0: none, 64 at most).
pub fn view_slope(
    _size: usize,
    _seed: u64,
    _seconds: u64,
    _note_bytes: usize,
) -> Result<ViewFigures, ScaleError> {
    Err(ScaleError::NotBuilt)
}

/// Followers of documents alone on an ordinary network: `size` doormans (1 to 4,096) on 12 control machines, 20
/// commits a second, `seconds` measured.
pub fn follow_slope(_size: usize, _seed: u64, _seconds: u64) -> Result<FollowFigures, ScaleError> {
    Err(ScaleError::NotBuilt)
}
