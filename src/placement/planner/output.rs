//! Output of a planner: transactions for the registry, and notices for the log.

use super::super::error::PlacementError;
use super::super::moves::Change;
use crate::routing::events::Id;

/// A transaction for the registry. The sender adds a compare of the planner's lease key, and must cancel the call or
/// close its connection at the latest one lease duration after receiving the transaction: decisions close to the end
/// of a window rely on that.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Transaction {
    /// Identifies the transaction in [`Planner::handle_result`](super::Planner::handle_result).
    pub id: u64,
    /// The fence under which the transaction was decided.
    pub fence: i64,
    /// Keys to compare, with the revision of their last change; 0 for a key that must not exist.
    pub compares: Vec<(String, i64)>,
    /// Keys to write, with their new values.
    pub puts: Vec<(String, Vec<u8>)>,
}

/// Result of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TransactionResult {
    /// The transaction committed at this revision.
    Committed(i64),
    /// A compare failed; nothing changed.
    Rejected,
    /// No reply arrived: the transaction may have committed.
    Unknown,
}

/// Why a move is rolled back, or dropped before it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The window ends, the rest of it is too short for the move, or the move exceeds the window's limits.
    WindowEnds,
    /// A site that the zone's plans involve is not in the state `Serving`.
    Site,
    /// This planner's Unix clock has stepped.
    ClockStepped,
    /// The home is drained or removed.
    HomeGone,
    /// The target is drained or removed.
    TargetGone,
    /// The map and the plan of moves contradict each other.
    Documents,
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A first map without homes was created, with this epoch.
    FirstMap(u32),
    /// The map was lost, unreadable or outdated and is restored from the last good one, with this epoch.
    MapRestored(u32),
    /// Moves were planned: their number, and their total size in kilobytes.
    Planned(usize, u64),
    /// A move has begun: the shard's start, the target, and the duration of the warming in milliseconds.
    Begun(u64, Id, u64),
    /// The shard with this start has its new home from this epoch on.
    CutOver(u64, u32),
    /// The move of the shard with this start is complete.
    Completed(u64),
    /// The shard with this start stays at its old home.
    RolledBack(u64, Reason),
    /// The planned move of the shard with this start is not begun.
    Dropped(u64, Reason),
    /// A split or merge was applied at this epoch.
    Changed(Change, u32),
    /// A split or merge can't be applied.
    CannotChange(PlacementError),
    /// A document can't be used; logged once while the problem lasts.
    Unusable(PlacementError),
    /// Clocks differ by this many milliseconds; no move begins.
    Skewed(u64),
    /// This planner's Unix clock has stepped.
    ClockStepped,
}
