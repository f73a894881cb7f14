//! Placement of shards: the map of each zone's shards and their homes, and moves in quiet windows.
//!
//! The registry is the source of truth, with a map and a plan of moves for each zone. Every instance follows its zone's
//! map ([`follow`]). The instance that holds the planner's lease changes it ([`planner`]): [`rebalance`] chooses the
//! moves, and [`quiet`] says when they may be made. None of these modules reads a clock, and only [`snapshot`] does
//! I/O; `proxy::rebalancing` owns them.

mod document;
pub mod error;
pub mod follow;
pub mod load;
pub mod map;
pub mod moves;
pub mod planner;
pub mod quiet;
pub mod rebalance;
pub mod snapshot;

use crate::routing::events::Micros;
use std::net::SocketAddr;
use std::path::PathBuf;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns an object's position in the hash space that shards divide. Instances of all versions must agree on it: the
/// seed is part of the format of the map.
pub fn position(object: u64) -> u64 {
    xxh3_64_with_seed(&object.to_le_bytes(), 0x5a_7d)
}

/// Settings of `shards(...)` in the product's script. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Addresses of the members of the registry that holds the maps, plans of moves and growth documents.
    pub endpoints: Vec<SocketAddr>,
    /// Prefix of this fleet's keys in the registry; ends with `/`.
    pub prefix: String,
    /// Initial number of shards of each zone.
    pub first: usize,
    /// Maximum number of shards of a zone.
    pub most: usize,
    /// How far an endpoint's load or cached bytes may exceed the mean before shards move, as a fraction from 0 to 1.
    pub spread: f64,
    /// Maximum number of moves in one window of a zone.
    pub moves: usize,
    /// Maximum number of kilobytes moved in one window of a zone.
    pub move_kb: f64,
    /// Fraction of the zone's inbound link that warming may use, 0 to 1.
    pub warm: f64,
    /// Time to live of the planner's lease without a keepalive.
    pub lease: Micros,
    /// Maximum difference between the clocks of the fleet at which a move may begin.
    pub skew: Micros,
    /// Folder for snapshots of the last good map, if they are stored on disk.
    pub snapshot: Option<PathBuf>,
}

impl Settings {
    /// Returns the default settings for a registry and a key prefix.
    pub fn new(endpoints: Vec<SocketAddr>, prefix: &str) -> Self {
        Settings {
            endpoints,
            prefix: prefix.to_owned(),
            first: 64,
            most: 10_000,
            spread: 0.15,
            moves: 8,
            move_kb: 50e6,
            warm: 0.1,
            lease: 10_000_000,
            skew: 2_000_000,
            snapshot: None,
        }
    }
}
