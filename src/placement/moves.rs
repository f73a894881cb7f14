//! The plan of a zone's moves, stored in the registry beside the map. With the map it holds the whole state that the
//! next planner needs; only the planner reads and writes it.

#[cfg(test)]
mod tests;

use super::document::{decode, encode, Kind};
use super::error::PlacementError;
use crate::routing::events::Id;
use serde::{Deserialize, Serialize};

/// Maximum number of planned moves.
pub const MAX_MOVES: usize = 1_000;
/// Maximum number of pending splits and merges.
pub const MAX_CHANGES: usize = 4_096;
/// Maximum number of resting shards; beyond it, the shard whose rest ends first may move again.
pub const MAX_RESTING: usize = 2_048;
const KIND: Kind = Kind { tag: b'P', name: "plan of moves" };

/// Progress of a move. A completed or rolled-back move has no entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Step {
    /// Not begun.
    Planned,
    /// The target's cache is being filled with a bounded share of the shard's requests.
    Warming {
        /// Map epoch that began the warming.
        epoch: u32,
        /// Beginning of the warming, in Unix milliseconds.
        since_ms: u64,
        /// Required duration of the warming, in milliseconds.
        needs_ms: u64,
    },
    /// The target is the shard's home in the map, but not every instance has applied that epoch yet.
    Cutover {
        /// Map epoch with the new home.
        epoch: u32,
    },
}

/// A planned or active move of a shard to another endpoint.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Move {
    /// Start of the shard.
    pub start: u64,
    /// Home of the shard; `None` if the hash order decides.
    pub from: Option<Id>,
    /// Target: the shard's next home.
    pub to: Id,
    /// Kilobytes to fill at the target.
    pub kb: u64,
    /// Progress of the move.
    pub step: Step,
}

/// A change of the map that moves no data.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Change {
    /// Splits the shard that begins at `start` in two.
    Split {
        /// Start of the shard.
        start: u64,
        /// Start of the second part.
        at: u64,
        /// Beginning of the window for which the split is scheduled, in Unix milliseconds; not applied earlier.
        not_before_ms: u64,
    },
    /// Merges the shard that begins at `start` with the next one.
    Merge {
        /// Start of the shard.
        start: u64,
        /// Start of the next shard.
        next: u64,
    },
}

impl Change {
    /// Returns whether the change may be applied at this time.
    pub(super) fn is_due(&self, unix_ms: u64) -> bool {
        !matches!(self, Change::Split { not_before_ms, .. } if *not_before_ms > unix_ms)
    }
}

/// A shard that must not move again before a given time, because it has recently moved or been rolled back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RestingShard {
    /// Start of the shard.
    pub start: u64,
    /// End of the rest, in Unix milliseconds.
    pub until_ms: u64,
}

/// The plan of moves of a zone.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Moves {
    /// Latest map epoch when the plan was written. If the map is lost, the epoch of the next one is above it.
    pub epoch: u32,
    /// End of the window in which moves last began, in Unix milliseconds.
    pub window_ends_ms: u64,
    /// Number of moves begun in that window.
    pub begun: u32,
    /// Total size of the moves begun in that window, in kilobytes.
    pub begun_kb: u64,
    /// Planned and active moves, in the order in which they are made, one at a time.
    pub moves: Vec<Move>,
    /// Shards that must not move for now.
    pub resting: Vec<RestingShard>,
    /// Pending splits and merges.
    pub changes: Vec<Change>,
}

impl Moves {
    /// Encodes the plan as a document.
    pub fn encode(&self) -> Vec<u8> {
        encode(KIND, self)
    }

    /// Decodes a document.
    ///
    /// # Errors
    /// [`PlacementError::Torn`], [`PlacementError::Format`], and [`PlacementError::Broken`] for a plan with too many
    /// entries or with two active moves.
    pub fn decode(bytes: &[u8]) -> Result<Moves, PlacementError> {
        let moves: Moves = decode(KIND, bytes)?;
        let broken = |why| Err(PlacementError::Broken { what: KIND.name, why });
        if moves.moves.len() > MAX_MOVES
            || moves.changes.len() > MAX_CHANGES
            || moves.resting.len() > MAX_RESTING
        {
            return broken("too many entries");
        }
        if moves.moves.iter().filter(|planned| planned.step != Step::Planned).count() > 1 {
            return broken("more than one active move");
        }
        Ok(moves)
    }

    /// Returns the move that has begun, if any.
    pub fn active(&self) -> Option<&Move> {
        self.moves.iter().find(|planned| planned.step != Step::Planned)
    }

    /// Returns whether a shard rests. A rest that ends more than `longest_ms` from now was written by a clock that was
    /// ahead, and is ignored.
    pub(super) fn is_resting(&self, start: u64, unix_ms: u64, longest_ms: u64) -> bool {
        self.resting.iter().any(|resting| {
            resting.start == start && resting.until_ms > unix_ms && resting.until_ms - unix_ms <= longest_ms
        })
    }

    /// Adds a rest of a shard until `until_ms`, and removes rests that have ended.
    pub(super) fn rest(&mut self, start: u64, until_ms: u64, unix_ms: u64) {
        self.resting.retain(|resting| resting.start != start && resting.until_ms > unix_ms);
        if self.resting.len() >= MAX_RESTING {
            let first_ending = (0..self.resting.len()).min_by_key(|&at| self.resting[at].until_ms);
            first_ending.map(|at| self.resting.swap_remove(at));
        }
        self.resting.push(RestingShard { start, until_ms });
    }
}
