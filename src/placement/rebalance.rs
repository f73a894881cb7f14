//! Choice of the shards to move: moves of few kilobytes that bring the endpoints' load and cached bytes within the
//! spread.
//!
//! Finding the minimum is a packing problem. Three greedy orders are tried, needless moves are removed from each result
//! and others replaced by cheaper ones, and the best result is taken. The tests state and check how far it is from the
//! minimum. The planner calls [`rebalance`] with measured loads.

mod balance;
#[cfg(test)]
mod tests;

use self::balance::{Balance, GreedyOrder};
use crate::routing::events::Id;

/// Fraction of the spread that moves leave unused, so that endpoints stay within the spread afterwards.
const SPREAD_MARGIN: f64 = 0.25;
/// Excess up to which a value counts as a rounding error, as a fraction of all load or bytes.
const ROUNDING: f64 = 1e-9;
/// Number of steps per unit of excess in comparisons, which hides rounding errors; the unit is all load or bytes.
const EXCESS_STEPS: f64 = 1e6;

/// State and capacity of a cache of the zone.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointCapacity {
    /// Name of the endpoint.
    pub id: Id,
    /// Capacity weight; a value that is not positive and finite counts as 1.
    pub weight: f64,
    /// Whether the endpoint is listed and accepts requests. If not, it keeps its shards, whose requests follow the hash
    /// order, and no shard moves to it.
    pub accepts_requests: bool,
    /// Whether the endpoint is in slow start; if so, no shard moves to it.
    pub in_slow_start: bool,
    /// Spare bandwidth, in KB per second.
    pub spare_kb_s: f64,
}

/// Measured load of a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardLoad {
    /// Index of the home in the list of endpoints; `None` if the hash order decides.
    pub home: Option<usize>,
    /// Request load, in the same unit for all shards.
    pub load: f64,
    /// Bytes that an endpoint caches of the shard, in KB.
    pub kb: f64,
    /// Whether the shard must not move now.
    pub rests: bool,
}

/// A chosen move.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardMove {
    /// Index of the shard in the list.
    pub shard: usize,
    /// Index of the target endpoint in the list.
    pub to: usize,
    /// Kilobytes to fill at the target.
    pub kb: f64,
}

/// Limits on moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveLimits {
    /// How far an endpoint's load or cached bytes may exceed the mean, as a fraction of the mean.
    pub spread: f64,
    /// Maximum number of moves.
    pub moves: usize,
    /// Maximum number of kilobytes.
    pub kb: f64,
}

/// The moves of one greedy order, and the excess that remains after them.
struct Attempt {
    excess: f64,
    kb: f64,
    moves: Vec<ShardMove>,
}

impl Attempt {
    fn new(balance: &Balance, order: GreedyOrder, limits: &MoveLimits) -> Self {
        let mut balance = balance.clone();
        let homes_before = balance.homes().to_vec();
        let mut moves = balance.greedy(order, limits);
        balance.remove_needless_moves(&mut moves, &homes_before);
        Attempt { excess: balance.excess(), kb: moves.iter().map(|chosen| chosen.kb).sum(), moves }
    }

    /// Orders attempts by less excess, then by fewer kilobytes.
    fn compare(&self, other: &Attempt) -> std::cmp::Ordering {
        let to_steps = |excess: f64| (excess * EXCESS_STEPS) as u64;
        to_steps(self.excess).cmp(&to_steps(other.excess)).then(self.kb.total_cmp(&other.kb))
    }
}

/// Returns the moves to make, in order. While no endpoint is above the spread, only shards without a home move: each
/// gets a home where the endpoint stays within the spread, so that the shards of a first map get their homes window by
/// window. Equal inputs give equal moves. The load of shards whose home accepts no requests counts as spread over all
/// endpoints.
pub fn rebalance(
    shards: &[ShardLoad],
    endpoints: &[EndpointCapacity],
    limits: &MoveLimits,
) -> Vec<ShardMove> {
    let target = 1.0 + limits.spread * (1.0 - SPREAD_MARGIN);
    let balance = Balance::new(shards, endpoints, target);
    if balance.fullest() > 1.0 + limits.spread + ROUNDING {
        let orders = [GreedyOrder::GainPerKb, GreedyOrder::Gain, GreedyOrder::SingleMove];
        let attempts = orders.map(|order| Attempt::new(&balance, order, limits));
        let best = attempts.into_iter().min_by(Attempt::compare).map_or(Vec::new(), |best| best.moves);
        if !best.is_empty() {
            return balance.order_moves(best);
        }
    }
    balance.assign_homes(limits)
}
