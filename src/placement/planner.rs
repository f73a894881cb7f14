//! State machine that carries out the moves, splits and merges of one zone, one at a time, as transactions on the
//! zone's map and plan of moves.
//!
//! Every instance has a [`Planner`] for each zone. `proxy::rebalancing` steps it while the instance holds the planner's
//! lease, and sends its transactions to the registry.
//!
//! ```text
//! Planned --epoch e--> Warming --epoch e+1--> Cutover --> completed (entry removed, shard rests)
//!    |                    |
//!    dropped              rolled back with epoch e+1: window ends, a site does not serve, the clock steps, or an
//!                         endpoint is drained or removed
//! ```
//!
//! The documents hold the whole state that the next planner needs, and each transaction compares the revisions of both.
//! A transaction therefore applies to exactly the state it was decided on or not at all, even with two active planners
//! and with lost or late replies. After a rejected transaction or an unknown result, the planner reads both documents
//! again before it decides anything.

mod clock;
mod input;
mod output;
mod start_move;
#[cfg(test)]
mod tests;

pub use input::PlannerInput;
pub use output::{Notice, Reason, Transaction, TransactionResult};

use self::clock::ClockWatch;
use super::error::PlacementError;
use super::map::ShardMap;
use super::moves::{Change, Move, Moves, Step, MAX_CHANGES};
use crate::invariant;
use crate::routing::events::Micros;

/// Time for which a shard does not move again after a completed or rolled-back move, in milliseconds: one day.
pub const REST_MS: u64 = 86_400_000;
/// Time after which a longer window counts as a new one for the limits on moves, in milliseconds: one day.
const WINDOW_MS: u64 = 86_400_000;
const MICROS_PER_MS: u64 = 1_000;

/// A document's value and revision as last read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Versioned<T> {
    revision: i64,
    value: T,
}

/// New values that a transaction writes: the plan of moves and, if it changes, the map.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    map: Option<ShardMap>,
    moves: Moves,
}

impl Proposal {
    /// Changes only the plan of moves.
    fn of_moves(moves: Moves) -> Self {
        Proposal { map: None, moves }
    }

    /// Changes both documents, under the map's next epoch.
    fn of_next_epoch(mut map: ShardMap, mut moves: Moves) -> Self {
        map.epoch = map.epoch.saturating_add(1);
        moves.epoch = map.epoch;
        Proposal { map: Some(map), moves }
    }
}

/// A transaction without a result yet, and the document values that hold once it commits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingTransaction {
    id: u64,
    proposal: Proposal,
}

/// Progress of the current warming as observed by this planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ObservedWarming {
    epoch: u32,
    /// Monotonic time at which this planner first saw the warming.
    since: Micros,
    /// Duration of the warming before `since`, by the Unix clock.
    before_ms: u64,
}

/// Whether the planner may change the documents, by their state when last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Documents {
    /// The documents have not been read under this fence, or not since the last rejected or unknown transaction.
    Unread,
    /// Both documents have been read.
    Read,
    /// The map can't be decoded: it may only be replaced by the last good one.
    MapTorn,
    /// A document has an unknown format: nothing is changed.
    UnknownFormat,
}

/// The planner of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Planner {
    zone: u16,
    map_key: String,
    moves_key: String,
    fence: Option<i64>,
    documents: Documents,
    map: Versioned<Option<ShardMap>>,
    moves: Versioned<Moves>,
    last_good_map: Option<ShardMap>,
    /// The last error that was logged about an unusable document.
    logged_error: Option<PlacementError>,
    pending: Option<PendingTransaction>,
    next_id: u64,
    clock: ClockWatch,
    /// Errors of the requested changes that can't be made.
    impossible_changes: Vec<PlacementError>,
    warming: Option<ObservedWarming>,
    /// Monotonic time of the next search for moves.
    next_search: Micros,
}

impl Planner {
    /// Returns a planner for one zone, with its keys below the settings' prefix.
    pub fn new(zone: u16, prefix: &str) -> Self {
        Planner {
            zone,
            map_key: map_key(prefix, zone),
            moves_key: moves_key(prefix, zone),
            fence: None,
            documents: Documents::Unread,
            map: Versioned::default(),
            moves: Versioned::default(),
            last_good_map: None,
            logged_error: None,
            pending: None,
            next_id: 0,
            clock: ClockWatch::default(),
            impossible_changes: Vec::new(),
            warming: None,
            next_search: 0,
        }
    }

    /// Returns whether both documents have to be read, after the last transaction result, before anything is decided.
    pub fn needs_documents(&self) -> bool {
        self.fence.is_some() && self.documents == Documents::Unread && self.pending.is_none()
    }

    /// Accepts both documents, as listed or watched: each with its value and the revision of its last change, or `None`
    /// without such a key. Ignored while a transaction is pending, whose result decides which values hold.
    pub fn update_documents(
        &mut self,
        map: Option<(&[u8], i64)>,
        moves: Option<(&[u8], i64)>,
        notices: &mut Vec<Notice>,
    ) {
        if self.pending.is_some() {
            return;
        }
        let map_error = self.read_map(map).err();
        // An unreadable plan rolls back a move in its warming step, for which the entry in the map is enough.
        let moves_error = self.read_moves(moves).err();
        let is_unknown_format =
            |error: &Option<PlacementError>| matches!(error, Some(PlacementError::Format { .. }));
        self.documents = if is_unknown_format(&map_error) || is_unknown_format(&moves_error) {
            Documents::UnknownFormat
        } else if map_error.is_some() {
            Documents::MapTorn
        } else {
            Documents::Read
        };
        let error = moves_error.or(map_error);
        if error != self.logged_error {
            notices.extend(error.clone().map(Notice::Unusable));
        }
        self.logged_error = error;
    }

    fn read_map(&mut self, document: Option<(&[u8], i64)>) -> Result<(), PlacementError> {
        let read = document.map(|(bytes, _)| ShardMap::decode(bytes, self.zone)).transpose();
        let (value, result) = match read {
            Ok(value) => (value, Ok(())),
            Err(error) => (None, Err(error)),
        };
        self.retain_newest_map(value.as_ref());
        self.map = Versioned { revision: document.map_or(0, |(_, revision)| revision), value };
        result
    }

    fn read_moves(&mut self, document: Option<(&[u8], i64)>) -> Result<(), PlacementError> {
        let read = document.map(|(bytes, _)| Moves::decode(bytes)).transpose();
        let (value, result) = match read {
            Ok(value) => (value.unwrap_or_default(), Ok(())),
            Err(error) => (Moves::default(), Err(error)),
        };
        self.moves = Versioned { revision: document.map_or(0, |(_, revision)| revision), value };
        result
    }

    /// Keeps the newest valid map, so that it outlives the loss of the registry's document.
    fn retain_newest_map(&mut self, map: Option<&ShardMap>) {
        if let Some(map) =
            map.filter(|map| map.epoch > self.last_good_epoch() || self.last_good_map.is_none())
        {
            self.last_good_map = Some(map.clone());
        }
    }

    fn last_good_epoch(&self) -> u32 {
        self.last_good_map.as_ref().map_or(0, |map| map.epoch)
    }

    /// Applies the result of a transaction; the result of an older transaction is ignored.
    pub fn handle_result(&mut self, id: u64, result: TransactionResult) {
        let Some(pending) = self.pending.take_if(|pending| pending.id == id) else { return };
        match result {
            TransactionResult::Committed(revision) => {
                if let Some(map) = pending.proposal.map {
                    self.last_good_map = Some(map.clone());
                    self.map = Versioned { revision, value: Some(map) };
                }
                self.moves = Versioned { revision, value: pending.proposal.moves };
            }
            TransactionResult::Rejected | TransactionResult::Unknown => self.documents = Documents::Unread,
        }
    }

    /// Decides on the next transaction. Called about once a second, and after each transaction result.
    pub fn step(&mut self, input: &PlannerInput, notices: &mut Vec<Notice>) -> Option<Transaction> {
        self.clock.observe(input, notices);
        if input.fence != self.fence {
            self.begin_term(input.fence);
        }
        self.retain_newest_map(input.local_map);
        let fence = input.fence?;
        let may_decide = match self.documents {
            Documents::Unread | Documents::UnknownFormat => false,
            Documents::Read => true,
            Documents::MapTorn => self.last_good_map.is_some(),
        };
        if !may_decide || self.pending.is_some() {
            return None;
        }
        let proposal = self.decide(input, notices)?;
        Some(self.transaction(fence, proposal))
    }

    /// Starts a new term: discards what was read and sent under the previous fence.
    fn begin_term(&mut self, fence: Option<i64>) {
        self.fence = fence;
        self.documents = Documents::Unread;
        self.pending = None;
        self.warming = None;
    }

    fn transaction(&mut self, fence: i64, proposal: Proposal) -> Transaction {
        let id = self.next_id;
        self.next_id += 1;
        let mut puts = vec![(self.moves_key.clone(), proposal.moves.encode())];
        if let Some(map) = &proposal.map {
            let last_good = self.last_good_map.as_ref();
            invariant!(last_good.is_none_or(|last| last.epoch < map.epoch), "map epochs must increase");
            puts.push((self.map_key.clone(), map.encode()));
        }
        let compares =
            vec![(self.map_key.clone(), self.map.revision), (self.moves_key.clone(), self.moves.revision)];
        self.pending = Some(PendingTransaction { id, proposal });
        Transaction { id, fence, compares, puts }
    }

    fn decide(&mut self, input: &PlannerInput, notices: &mut Vec<Notice>) -> Option<Proposal> {
        let moves = self.moves.value.clone();
        // Instances ignore a map older than the one they have applied. The registry can hold such a map after it was
        // restored from a backup.
        let known_epoch = self.last_good_epoch();
        let Some(map) = self.map.value.clone().filter(|map| map.epoch >= known_epoch) else {
            return Some(self.first_map(input, moves, notices));
        };
        let window_end = input.window_end_ms(&moves);
        if map.shards.iter().any(|shard| shard.warming.is_some()) || moves.active().is_some() {
            return self.continue_move(input, window_end, map, moves, notices);
        }
        self.warming = None;
        if let Some(requested) = input.requested_changes {
            let changes = self.possible_changes(input, &map, requested, notices);
            if changes != moves.changes {
                return Some(Proposal::of_moves(Moves { changes, ..moves }));
            }
        }
        let Some(window_end) = window_end else { return drop_planned(moves, Reason::WindowEnds, notices) };
        if !input.all_sites_serve() {
            return drop_planned(moves, Reason::Site, notices);
        }
        if self.clock.blocks_moves(input, notices) {
            return None;
        }
        if moves.moves.is_empty() {
            self.plan_moves(input, window_end, &map, &moves, notices)
                .or_else(|| apply_due_change(input, window_end, map, moves, notices))
        } else {
            self.begin_move(input, window_end, map, moves, notices)
        }
    }

    /// Returns the requested changes that are pending and possible; a change that can't be made is logged once.
    fn possible_changes(
        &mut self,
        input: &PlannerInput,
        map: &ShardMap,
        requested: &[Change],
        notices: &mut Vec<Notice>,
    ) -> Vec<Change> {
        let mut possible = Vec::new();
        let mut impossible = Vec::new();
        for change in requested.iter().take(MAX_CHANGES) {
            match map.is_pending(change, input.settings.most) {
                Ok(true) => possible.push(*change),
                Ok(false) => {}
                Err(error) => impossible.push(error),
            }
        }
        let new = impossible.iter().filter(|error| !self.impossible_changes.contains(error));
        notices.extend(new.cloned().map(Notice::CannotChange));
        self.impossible_changes = impossible;
        possible
    }

    /// Returns the first map, or the last good one again. Its epoch is above all epochs that the instances, this
    /// planner or the plan of moves have recorded.
    fn first_map(&self, input: &PlannerInput, mut moves: Moves, notices: &mut Vec<Notice>) -> Proposal {
        let applied = input.instances.iter().flatten().copied().max().unwrap_or(0);
        let epoch = applied.max(self.last_good_epoch()).max(moves.epoch).saturating_add(1);
        let map = match &self.last_good_map {
            Some(last) => {
                notices.push(Notice::MapRestored(epoch));
                let mut map = ShardMap { epoch, ..last.clone() };
                map.shards.iter_mut().for_each(|shard| shard.warming = None);
                map
            }
            None => {
                notices.push(Notice::FirstMap(epoch));
                ShardMap::first(self.zone, epoch, input.settings.first.min(input.settings.most))
            }
        };
        moves.epoch = epoch;
        moves.moves.clear();
        Proposal { map: Some(map), moves }
    }

    /// Advances the active move, or rolls it back.
    fn continue_move(
        &mut self,
        input: &PlannerInput,
        window_end: Option<u64>,
        map: ShardMap,
        moves: Moves,
        notices: &mut Vec<Notice>,
    ) -> Option<Proposal> {
        let Some(active) = moves.active().cloned() else {
            return Some(self.roll_back(input, map, moves, Reason::Documents, notices));
        };
        let warms = |index: &usize| map.shards[*index].warming.as_ref() == Some(&active.to);
        let warming_shard = map.find(active.start).filter(warms);
        let warming_count = map.shards.iter().filter(|shard| shard.warming.is_some()).count();
        match (active.step, warming_shard) {
            (Step::Warming { .. }, Some(index)) if warming_count == 1 => {
                if let Some(reason) = self.reason_to_roll_back(input, window_end, &active) {
                    return Some(self.roll_back(input, map, moves, reason, notices));
                }
                self.cut_over(input, index, &active, map, moves, notices)
            }
            (Step::Cutover { epoch }, None) if warming_count == 0 => {
                // After the window, or while a site does not serve, the move completes without waiting for the
                // instances: a cutover can't be rolled back, and no other move begins.
                if window_end.is_some() && input.all_sites_serve() && !input.all_applied(epoch) {
                    return None;
                }
                Some(complete_move(input, active.start, moves, notices))
            }
            _ => Some(self.roll_back(input, map, moves, Reason::Documents, notices)),
        }
    }

    fn reason_to_roll_back(
        &self,
        input: &PlannerInput,
        window_end: Option<u64>,
        active: &Move,
    ) -> Option<Reason> {
        if window_end.is_none_or(|end_ms| input.unix_ms >= input.last_cutover_ms(end_ms)) {
            return Some(Reason::WindowEnds);
        }
        if !input.all_sites_serve() {
            return Some(Reason::Site);
        }
        if self.clock.has_stepped() {
            return Some(Reason::ClockStepped);
        }
        if active.from.as_ref().is_some_and(|from| !input.accepts_requests(from)) {
            return Some(Reason::HomeGone);
        }
        (!input.accepts_requests(&active.to)).then_some(Reason::TargetGone)
    }

    /// Makes the target the shard's home once the warming has lasted as planned and every instance has applied its
    /// epoch.
    fn cut_over(
        &mut self,
        input: &PlannerInput,
        index: usize,
        active: &Move,
        mut map: ShardMap,
        moves: Moves,
        notices: &mut Vec<Notice>,
    ) -> Option<Proposal> {
        let Step::Warming { epoch, since_ms, needs_ms } = active.step else { return None };
        if self.warmed_ms(input, epoch, since_ms, needs_ms) < needs_ms || !input.all_applied(epoch) {
            return None;
        }
        map.shards[index].home = map.shards[index].warming.take();
        let mut proposal = Proposal::of_next_epoch(map, moves);
        let epoch = proposal.moves.epoch;
        for moved in proposal.moves.moves.iter_mut().filter(|moved| moved.start == active.start) {
            moved.step = Step::Cutover { epoch };
        }
        notices.push(Notice::CutOver(active.start, epoch));
        Some(proposal)
    }

    /// Returns how long a warming has lasted. The Unix clock may step, so it measures only the time before this planner
    /// first saw the warming, less the skew against the previous planner's clock.
    fn warmed_ms(&mut self, input: &PlannerInput, epoch: u32, since_ms: u64, needs_ms: u64) -> u64 {
        let before_ms = input.unix_ms.saturating_sub(since_ms).saturating_sub(input.skew_ms).min(needs_ms);
        let observed = match self.warming {
            Some(observed) if observed.epoch == epoch => observed,
            _ => ObservedWarming { epoch, since: input.now, before_ms },
        };
        self.warming = Some(observed);
        observed.before_ms.saturating_add(input.now.saturating_sub(observed.since) / MICROS_PER_MS)
    }

    fn roll_back(
        &self,
        input: &PlannerInput,
        mut map: ShardMap,
        mut moves: Moves,
        reason: Reason,
        notices: &mut Vec<Notice>,
    ) -> Proposal {
        let mut rolled_back: Vec<u64> = moves.active().map(|active| active.start).into_iter().collect();
        for shard in map.shards.iter_mut().filter(|shard| shard.warming.is_some()) {
            shard.warming = None;
            rolled_back.push(shard.start);
        }
        rolled_back.dedup();
        for start in rolled_back {
            moves.rest(start, input.unix_ms.saturating_add(REST_MS), input.unix_ms);
            notices.push(Notice::RolledBack(start, reason));
        }
        moves.moves.retain(|planned| planned.step == Step::Planned);
        Proposal::of_next_epoch(map, moves)
    }
}

/// Returns the registry key of a zone's map.
pub fn map_key(prefix: &str, zone: u16) -> String {
    format!("{prefix}map/{zone}")
}

/// Returns the registry key of a zone's plan of moves.
pub fn moves_key(prefix: &str, zone: u16) -> String {
    format!("{prefix}moves/{zone}")
}

fn complete_move(input: &PlannerInput, start: u64, mut moves: Moves, notices: &mut Vec<Notice>) -> Proposal {
    moves.moves.retain(|moved| moved.start != start);
    moves.rest(start, input.unix_ms.saturating_add(REST_MS), input.unix_ms);
    notices.push(Notice::Completed(start));
    Proposal::of_moves(moves)
}

fn drop_planned(mut moves: Moves, reason: Reason, notices: &mut Vec<Notice>) -> Option<Proposal> {
    let dropped = std::mem::take(&mut moves.moves);
    notices.extend(dropped.iter().map(|planned| Notice::Dropped(planned.start, reason)));
    (!dropped.is_empty()).then_some(Proposal::of_moves(moves))
}

/// Applies the first split or merge that is due; called while no move is planned or active.
fn apply_due_change(
    input: &PlannerInput,
    window_end: u64,
    mut map: ShardMap,
    mut moves: Moves,
    notices: &mut Vec<Notice>,
) -> Option<Proposal> {
    if input.unix_ms.saturating_add(input.skew_ms) >= window_end {
        return None;
    }
    let due = moves.changes.iter().position(|change| change.is_due(input.unix_ms))?;
    let change = moves.changes.remove(due);
    let made = match change {
        Change::Split { start, at, .. } => map.split(start, at, input.settings.most),
        Change::Merge { start, next } => map.merge(start, next),
    };
    if let Err(error) = made {
        notices.push(Notice::CannotChange(error));
        return Some(Proposal::of_moves(moves));
    }
    let proposal = Proposal::of_next_epoch(map, moves);
    notices.push(Notice::Changed(change, proposal.moves.epoch));
    Some(proposal)
}
