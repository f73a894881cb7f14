//! Planning moves, and beginning the first planned one.

use super::super::map::{Shard, ShardMap};
use super::super::moves::{Move, Moves, Step, MAX_MOVES};
use super::super::rebalance::{rebalance, MoveLimits, ShardLoad, ShardMove};
use super::{Notice, Planner, PlannerInput, Proposal, Reason, REST_MS, WINDOW_MS};
use crate::routing::events::Micros;

/// Interval between two searches for moves, in microseconds.
const SEARCH_PERIOD: Micros = 5_000_000;

/// A move that can begin now.
struct ReadyMove {
    /// Index of the shard in the map.
    index: usize,
    warming_ms: u64,
}

impl Planner {
    /// Searches for moves. Without any measured load nothing is planned: all shards would count as empty, and all of
    /// them might move to one endpoint.
    pub(super) fn plan_moves(
        &mut self,
        input: &PlannerInput,
        window_end: u64,
        map: &ShardMap,
        moves: &Moves,
        notices: &mut Vec<Notice>,
    ) -> Option<Proposal> {
        let limits = remaining_limits(input, moves);
        if input.loads.is_empty() || input.now < self.next_search || limits.moves == 0 || limits.kb <= 0.0 {
            return None;
        }
        self.next_search = input.now.saturating_add(SEARCH_PERIOD);
        let loads: Vec<ShardLoad> = map.shards.iter().map(|shard| shard_load(input, moves, shard)).collect();
        let chosen = rebalance(&loads, input.endpoints, &limits);
        let planned: Vec<Move> =
            chosen.into_iter().filter_map(|chosen| planned_move(input, window_end, map, &chosen)).collect();
        if planned.is_empty() {
            return None;
        }
        notices.push(Notice::Planned(planned.len(), planned.iter().map(|planned| planned.kb).sum()));
        Some(Proposal::of_moves(Moves { moves: planned, ..moves.clone() }))
    }

    /// Begins the first planned move, or drops it if it can't begin.
    pub(super) fn begin_move(
        &mut self,
        input: &PlannerInput,
        window_end: u64,
        mut map: ShardMap,
        mut moves: Moves,
        notices: &mut Vec<Notice>,
    ) -> Option<Proposal> {
        let Move { start, to, kb, .. } = moves.moves.first()?.clone();
        let ready = match ready_move(input, window_end, &map, &moves) {
            Ok(ready) => ready,
            Err(reason) => {
                moves.moves.remove(0);
                notices.push(Notice::Dropped(start, reason));
                return Some(Proposal::of_moves(moves));
            }
        };
        if !input.is_same_window(&moves) {
            moves.window_ends_ms = window_end.min(input.unix_ms.saturating_add(WINDOW_MS));
            moves.begun = 0;
            moves.begun_kb = 0;
        }
        moves.begun = moves.begun.saturating_add(1);
        moves.begun_kb = moves.begun_kb.saturating_add(kb);
        map.shards[ready.index].warming = Some(to.clone());
        let mut proposal = Proposal::of_next_epoch(map, moves);
        let epoch = proposal.moves.epoch;
        proposal.moves.moves[0].step =
            Step::Warming { epoch, since_ms: input.unix_ms, needs_ms: ready.warming_ms };
        notices.push(Notice::Begun(start, to, ready.warming_ms));
        Some(proposal)
    }
}

/// Returns the limits on moves and kilobytes, less what already began in the current window.
fn remaining_limits(input: &PlannerInput, moves: &Moves) -> MoveLimits {
    let is_same_window = input.is_same_window(moves);
    let begun = if is_same_window { moves.begun } else { 0 };
    let begun_kb = if is_same_window { moves.begun_kb } else { 0 };
    MoveLimits {
        spread: input.settings.spread,
        moves: input.settings.moves.saturating_sub(begun as usize).min(MAX_MOVES),
        kb: input.settings.move_kb - begun_kb as f64,
    }
}

fn shard_load(input: &PlannerInput, moves: &Moves, shard: &Shard) -> ShardLoad {
    let home = shard.home.as_ref();
    let home = home.and_then(|home| input.endpoints.iter().position(|endpoint| endpoint.id == *home));
    let measured = input.loads.binary_search_by_key(&shard.start, |measured| measured.start).ok();
    let measured = measured.map(|at| &input.loads[at]);
    ShardLoad {
        home,
        load: measured.map_or(0.0, |measured| measured.load),
        kb: measured.map_or(0.0, |measured| measured.kb),
        rests: moves.is_resting(shard.start, input.unix_ms, REST_MS),
    }
}

/// Returns the plan entry for a chosen move, if the move fits into the window.
fn planned_move(input: &PlannerInput, window_end: u64, map: &ShardMap, chosen: &ShardMove) -> Option<Move> {
    let shard = &map.shards[chosen.shard];
    let to = input.endpoints[chosen.to].id.clone();
    if shard.home.as_ref() == Some(&to) {
        return None;
    }
    input.fitting_warming_ms(window_end, chosen.kb, &to)?;
    Some(Move { start: shard.start, from: shard.home.clone(), to, kb: chosen.kb as u64, step: Step::Planned })
}

/// Checks whether the first planned move can begin.
///
/// # Errors
/// The reason for which it can't.
fn ready_move(
    input: &PlannerInput,
    window_end: u64,
    map: &ShardMap,
    moves: &Moves,
) -> Result<ReadyMove, Reason> {
    let planned = moves.moves.first().ok_or(Reason::Documents)?;
    let limits = remaining_limits(input, moves);
    if limits.moves == 0 || limits.kb < planned.kb as f64 {
        return Err(Reason::WindowEnds);
    }
    let from = planned.from.as_ref();
    let is_as_planned = |&index: &usize| map.shards[index].home == planned.from && from != Some(&planned.to);
    let index = map.find(planned.start).filter(is_as_planned).ok_or(Reason::Documents)?;
    if !input.accepts_requests(&planned.to) {
        return Err(Reason::TargetGone);
    }
    if from.is_some_and(|from| !input.accepts_requests(from)) {
        return Err(Reason::HomeGone);
    }
    let warming_ms = input.fitting_warming_ms(window_end, planned.kb as f64, &planned.to);
    Ok(ReadyMove { index, warming_ms: warming_ms.ok_or(Reason::WindowEnds)? })
}
