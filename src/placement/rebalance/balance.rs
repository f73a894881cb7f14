//! Load and cached bytes of each endpoint while moves are tried, and the greedy search for moves.

use super::{EndpointCapacity, MoveLimits, ShardLoad, ShardMove, ROUNDING};
use std::cmp::Ordering;

/// Maximum number of endpoints considered as the target of a move: the least filled ones.
const MAX_TARGETS: usize = 8;
/// Maximum number of shards of one endpoint considered for each move; of more, those with the most load per kilobyte.
const MAX_CANDIDATES: usize = 256;
/// Minimum reduction of the excess by a move, as a fraction of all load or bytes.
const MIN_GAIN: f64 = 1e-7;
/// Tolerance for rounding errors when excess is compared with a limit, as a fraction of all load or bytes.
const LIMIT_ROUNDING: f64 = 1e-12;
/// Upper bound to which measured loads and sizes are clipped.
const MAX_MEASURE: f64 = 1e18;
/// Score of a move that alone brings its endpoint within the spread; above any gain.
const SETTLING_SCORE: f64 = 2.0;

/// Preference of a greedy search among moves.
#[derive(Clone, Copy)]
pub(super) enum GreedyOrder {
    /// Prefers the largest reduction of the excess per kilobyte.
    GainPerKb,
    /// Prefers the largest reduction of the excess.
    Gain,
    /// Prefers a single move of the fewest kilobytes that brings the endpoint within the spread, else the largest
    /// reduction of the excess.
    SingleMove,
}

/// Load and cached bytes, as fractions of all load and of all bytes.
#[derive(Clone, Copy, Default)]
struct Share {
    load: f64,
    kb: f64,
}

impl Share {
    fn plus(self, other: Share) -> Share {
        Share { load: self.load + other.load, kb: self.kb + other.kb }
    }

    fn minus(self, other: Share) -> Share {
        Share { load: self.load - other.load, kb: self.kb - other.kb }
    }

    fn times(self, factor: f64) -> Share {
        Share { load: self.load * factor, kb: self.kb * factor }
    }
}

/// A considered move; a higher score is preferred, then fewer kilobytes.
#[derive(Clone, Copy)]
struct Candidate {
    score: f64,
    kb: f64,
    shard: usize,
    to: usize,
}

impl Candidate {
    fn is_better_than(&self, other: &Candidate) -> bool {
        let scores = [self.score, -self.kb];
        scores.partial_cmp(&[other.score, -other.kb]) == Some(Ordering::Greater)
    }
}

/// The distribution of shards over endpoints, with the load and bytes that result.
#[derive(Clone)]
pub(super) struct Balance<'a> {
    shards: &'a [ShardLoad],
    endpoints: &'a [EndpointCapacity],
    /// Home of each shard; `None` if the hash order spreads the shard over all endpoints.
    homes: Vec<Option<usize>>,
    /// Each endpoint's fraction of the whole capacity, 0 if it accepts no requests.
    parts: Vec<f64>,
    /// Load and bytes of each endpoint.
    used: Vec<Share>,
    /// Load and bytes of each shard.
    sizes: Vec<Share>,
    /// Maximum fill of an endpoint, relative to its fraction of the capacity.
    limit: f64,
}

/// Returns a finite measure: 0 for NaN, infinite and negative values, and at most [`MAX_MEASURE`].
fn sanitized(value: f64) -> f64 {
    if value.is_finite() && value > 0.0 {
        value.min(MAX_MEASURE)
    } else {
        0.0
    }
}

fn weight(endpoint: &EndpointCapacity) -> f64 {
    if !endpoint.accepts_requests {
        return 0.0;
    }
    let weight = sanitized(endpoint.weight);
    if weight > 0.0 {
        weight
    } else {
        1.0
    }
}

impl<'a> Balance<'a> {
    pub(super) fn new(shards: &'a [ShardLoad], endpoints: &'a [EndpointCapacity], limit: f64) -> Self {
        let all = endpoints.iter().map(weight).sum::<f64>().max(f64::MIN_POSITIVE);
        let parts: Vec<f64> = endpoints.iter().map(|endpoint| weight(endpoint) / all).collect();
        let total = |measure: fn(&ShardLoad) -> f64| {
            shards.iter().map(|shard| sanitized(measure(shard))).sum::<f64>().max(f64::MIN_POSITIVE)
        };
        let total_load = total(|shard| shard.load);
        let total_kb = total(|shard| shard.kb);
        let size = |shard: &ShardLoad| Share {
            load: sanitized(shard.load) / total_load,
            kb: sanitized(shard.kb) / total_kb,
        };
        // The hash order spreads a shard over all endpoints if it has no home or its home accepts no requests.
        let accepts = |&home: &usize| parts.get(home).is_some_and(|&part| part > 0.0);
        let homes = shards.iter().map(|shard| shard.home.filter(accepts)).collect();
        let sizes = shards.iter().map(size).collect();
        let used = vec![Share::default(); endpoints.len()];
        let mut balance = Balance { shards, endpoints, homes, parts, used, sizes, limit };
        balance.add_up();
        balance
    }

    fn add_up(&mut self) {
        let mut spread = Share::default();
        for (home, &size) in self.homes.iter().zip(&self.sizes) {
            match home {
                Some(home) => self.used[*home] = self.used[*home].plus(size),
                None => spread = spread.plus(size),
            }
        }
        for (used, &part) in self.used.iter_mut().zip(&self.parts) {
            *used = used.plus(spread.times(part));
        }
    }

    /// Returns the home of each shard.
    pub(super) fn homes(&self) -> &[Option<usize>] {
        &self.homes
    }

    /// Returns the endpoints that accept requests.
    fn accepting(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.parts.len()).filter(|&endpoint| self.parts[endpoint] > 0.0)
    }

    /// Returns how full an endpoint is, relative to its fraction of the capacity.
    fn fill(&self, endpoint: usize) -> f64 {
        let used = self.used[endpoint];
        used.load.max(used.kb) / self.parts[endpoint].max(f64::MIN_POSITIVE)
    }

    /// Returns the fill of the fullest endpoint, relative to its fraction of the capacity.
    pub(super) fn fullest(&self) -> f64 {
        self.accepting().map(|endpoint| self.fill(endpoint)).fold(0.0, f64::max)
    }

    fn excess_with(&self, endpoint: usize, used: Share) -> f64 {
        let most = self.parts[endpoint] * self.limit;
        [used.load, used.kb].iter().map(|used| (used - most - LIMIT_ROUNDING).max(0.0)).sum()
    }

    fn excess_of(&self, endpoint: usize) -> f64 {
        self.excess_with(endpoint, self.used[endpoint])
    }

    /// Returns the total load and bytes of all endpoints above the limit, as a fraction of all load and bytes.
    pub(super) fn excess(&self) -> f64 {
        self.accepting().map(|endpoint| self.excess_of(endpoint)).sum()
    }

    /// Returns by how much moving a shard of this size from endpoint `from` to `to` reduces the excess.
    fn gain(&self, size: Share, from: usize, to: usize) -> f64 {
        let less = self.used[from].minus(size);
        let more = self.used[to].plus(size);
        self.excess_of(from) + self.excess_of(to) - self.excess_with(from, less) - self.excess_with(to, more)
    }

    pub(super) fn move_shard(&mut self, shard: usize, to: usize) {
        let size = self.sizes[shard];
        match self.homes[shard] {
            Some(home) => self.used[home] = self.used[home].minus(size),
            None => self.remove_everywhere(size),
        }
        self.used[to] = self.used[to].plus(size);
        self.homes[shard] = Some(to);
    }

    fn remove_everywhere(&mut self, size: Share) {
        for (used, &part) in self.used.iter_mut().zip(&self.parts) {
            *used = used.minus(size.times(part));
        }
    }

    /// Returns the least filled endpoints to which a shard may move, at most `most`.
    fn targets(&self, most: usize) -> Vec<usize> {
        let mut targets: Vec<usize> =
            self.accepting().filter(|&endpoint| !self.endpoints[endpoint].in_slow_start).collect();
        targets.sort_by(|&a, &b| self.fill(a).total_cmp(&self.fill(b)).then(a.cmp(&b)));
        targets.truncate(most);
        targets
    }

    fn kb(&self, shard: usize) -> f64 {
        sanitized(self.shards[shard].kb).max(1.0)
    }

    /// Repeatedly moves a shard from the fullest endpoint above the limit, until no move is left or the limits are
    /// reached. Returns the moves.
    pub(super) fn greedy(&mut self, order: GreedyOrder, limits: &MoveLimits) -> Vec<ShardMove> {
        let mut candidates = self.movable_shards();
        let mut is_stuck = vec![false; self.parts.len()];
        let mut kb_left = limits.kb;
        let mut moves = Vec::new();
        while moves.len() < limits.moves {
            let Some(from) = self.fullest_excessive(&is_stuck) else { break };
            let Some(best) = self.best_move(order, from, &candidates[from], kb_left) else {
                is_stuck[from] = true;
                continue;
            };
            candidates[from].retain(|&shard| shard != best.shard);
            self.move_shard(best.shard, best.to);
            kb_left -= best.kb;
            moves.push(ShardMove { shard: best.shard, to: best.to, kb: best.kb });
        }
        moves
    }

    /// Returns the movable shards of each endpoint; of an endpoint with more than [`MAX_CANDIDATES`], those with the
    /// most load per kilobyte come first.
    fn movable_shards(&self) -> Vec<Vec<usize>> {
        let mut movable: Vec<Vec<usize>> = vec![Vec::new(); self.parts.len()];
        for (shard, home) in self.homes.iter().enumerate() {
            if let Some(home) = home.filter(|_| !self.shards[shard].rests) {
                movable[home].push(shard);
            }
        }
        let density = |shard: usize| self.sizes[shard].load / self.kb(shard);
        for shards in movable.iter_mut().filter(|shards| shards.len() > MAX_CANDIDATES) {
            shards.sort_by(|&a, &b| density(b).total_cmp(&density(a)).then(a.cmp(&b)));
        }
        movable
    }

    fn fullest_excessive(&self, is_stuck: &[bool]) -> Option<usize> {
        let open = self.accepting().filter(|&endpoint| !is_stuck[endpoint] && self.excess_of(endpoint) > 0.0);
        open.max_by(|&a, &b| self.fill(a).total_cmp(&self.fill(b)).then(b.cmp(&a)))
    }

    fn best_move(
        &self,
        order: GreedyOrder,
        from: usize,
        shards: &[usize],
        kb_left: f64,
    ) -> Option<Candidate> {
        let excess = self.excess_of(from);
        let targets = self.targets(MAX_TARGETS);
        let mut best: Option<Candidate> = None;
        for &shard in shards.iter().take(MAX_CANDIDATES) {
            let kb = self.kb(shard);
            for &to in targets.iter().filter(|&&to| to != from && kb <= kb_left) {
                let gain = self.gain(self.sizes[shard], from, to);
                if gain <= MIN_GAIN {
                    continue;
                }
                let score = match order {
                    GreedyOrder::GainPerKb => gain / kb,
                    GreedyOrder::SingleMove if gain >= excess - ROUNDING => SETTLING_SCORE,
                    GreedyOrder::Gain | GreedyOrder::SingleMove => gain,
                };
                let candidate = Candidate { score, kb, shard, to };
                if best.is_none_or(|best| candidate.is_better_than(&best)) {
                    best = Some(candidate);
                }
            }
        }
        best
    }

    /// Removes moves without which the excess stays as low, and replaces a shard by a cheaper one of the same endpoint.
    pub(super) fn remove_needless_moves(
        &mut self,
        moves: &mut Vec<ShardMove>,
        homes_before: &[Option<usize>],
    ) {
        let most = self.excess() + LIMIT_ROUNDING;
        if most > ROUNDING {
            return; // an endpoint is still above the limit, so no move is needless
        }
        moves.sort_by(|a, b| b.kb.total_cmp(&a.kb).then(a.shard.cmp(&b.shard)));
        let mut at = 0;
        while at < moves.len() {
            let chosen = moves[at].clone();
            let Some(from) = homes_before[chosen.shard] else { break };
            self.move_shard(chosen.shard, from);
            if self.excess() <= most {
                moves.remove(at);
                continue;
            }
            let (shard, to) =
                self.cheaper_move(from, chosen.kb, most, homes_before).unwrap_or((chosen.shard, chosen.to));
            self.move_shard(shard, to);
            moves[at] = ShardMove { shard, to, kb: self.kb(shard) };
            at += 1;
        }
    }

    /// Returns the cheapest shard of endpoint `from`, smaller than `kb` kilobytes, and a target, with which the excess
    /// is at most `most_excess`.
    fn cheaper_move(
        &self,
        from: usize,
        kb: f64,
        most_excess: f64,
        homes_before: &[Option<usize>],
    ) -> Option<(usize, usize)> {
        let is_replacement = |shard: usize| {
            self.homes[shard] == Some(from) && homes_before[shard] == Some(from) && !self.shards[shard].rests
        };
        let mut cheaper: Vec<usize> =
            (0..self.shards.len()).filter(|&shard| is_replacement(shard) && self.kb(shard) < kb).collect();
        cheaper.sort_by(|&a, &b| self.kb(a).total_cmp(&self.kb(b)).then(a.cmp(&b)));
        let excess = self.excess();
        let targets = self.targets(MAX_TARGETS);
        let mut pairs = cheaper.iter().flat_map(|&shard| targets.iter().map(move |&to| (shard, to)));
        pairs
            .find(|&(shard, to)| to != from && excess - self.gain(self.sizes[shard], from, to) <= most_excess)
    }

    /// Orders moves by the largest reduction of the excess per kilobyte. A window may end before all moves are made;
    /// the moves it cuts off should matter least, because a shard that has moved rests for a day.
    pub(super) fn order_moves(mut self, mut moves: Vec<ShardMove>) -> Vec<ShardMove> {
        let mut ordered = Vec::with_capacity(moves.len());
        loop {
            let rates = moves.iter().map(|chosen| self.gain_per_kb(chosen)).enumerate();
            let first = rates.max_by(|a, b| a.1.total_cmp(&b.1).then(b.0.cmp(&a.0)));
            let Some((first, _)) = first else { return ordered };
            let chosen = moves.remove(first);
            self.move_shard(chosen.shard, chosen.to);
            ordered.push(chosen);
        }
    }

    pub(super) fn gain_per_kb(&self, chosen: &ShardMove) -> f64 {
        match self.homes[chosen.shard] {
            Some(from) => self.gain(self.sizes[chosen.shard], from, chosen.to) / chosen.kb,
            None => 0.0,
        }
    }

    /// Assigns homes to shards without one. While other shards have no home yet, a few large ones can put an endpoint
    /// above the mean; what counts is that its own shards alone keep it within the limit, as they will once all shards
    /// have homes.
    pub(super) fn assign_homes(mut self, limits: &MoveLimits) -> Vec<ShardMove> {
        let mut moves = Vec::new();
        let mut kb_left = limits.kb;
        let mut homed = self.homed_shares();
        for shard in 0..self.shards.len() {
            if moves.len() >= limits.moves {
                break;
            }
            let kb = self.kb(shard);
            // A shard keeps a home that accepts no requests now: the endpoint may accept requests again soon.
            if self.shards[shard].home.is_some() || self.shards[shard].rests || kb > kb_left {
                continue;
            }
            let Some(&to) = self.targets(1).first() else { break };
            let with_shard = homed[to].plus(self.sizes[shard]);
            if self.excess_with(to, with_shard) > 0.0 {
                continue;
            }
            self.move_shard(shard, to);
            homed[to] = with_shard;
            kb_left -= kb;
            moves.push(ShardMove { shard, to, kb });
        }
        moves
    }

    /// Returns the load and bytes of the shards of which each endpoint is the home.
    fn homed_shares(&self) -> Vec<Share> {
        let mut homed = vec![Share::default(); self.parts.len()];
        for (home, &size) in self.homes.iter().zip(&self.sizes) {
            if let Some(home) = *home {
                homed[home] = homed[home].plus(size);
            }
        }
        homed
    }
}
