//! The map of one zone's shards, stored in the registry and applied by every instance. Without a map, and for a shard
//! without a home, the hash order of the endpoints decides. The planner writes maps; every instance's `Follower` reads
//! them.

#[cfg(test)]
pub(super) mod tests;

use super::document::{decode, encode, Kind};
use super::error::PlacementError;
use super::moves::Change;
use crate::routing::constraints::{ShardAssignment, Warming};
use crate::routing::events::Id;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum number of shards in a map, regardless of the settings.
pub const MAX_SHARDS: usize = 10_000;
/// Maximum length of an endpoint name, in bytes.
pub const MAX_NAME_BYTES: usize = 255;
const KIND: Kind = Kind { tag: b'M', name: "map of shards" };

/// A shard: the positions from `start` up to the start of the next shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shard {
    /// First position of the shard.
    pub start: u64,
    /// The endpoint that requests for the shard's objects go to first; `None` if the hash order decides.
    pub home: Option<Id>,
    /// The shard's next home while it is being warmed.
    pub warming: Option<Id>,
}

/// The shards of a zone at one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ShardMap {
    /// Number of the zone in the settings.
    pub zone: u16,
    /// Version of the map, which increases with every change.
    pub epoch: u32,
    /// Shards in ascending order of their starts; the first begins at 0.
    pub shards: Vec<Shard>,
}

/// Encoded form of a shard.
#[derive(Deserialize, Serialize)]
struct EncodedShard {
    /// Distance of its start from the start of the previous shard.
    distance: u64,
    /// Index of the home in [`EncodedMap::names`].
    home: Option<u16>,
    /// Index of the warming endpoint in [`EncodedMap::names`].
    warming: Option<u16>,
}

/// Encoded form of a map.
#[derive(Deserialize, Serialize)]
struct EncodedMap {
    zone: u16,
    epoch: u32,
    names: Vec<Id>,
    shards: Vec<EncodedShard>,
}

/// Returns the maximum rate of warming one endpoint, in KB per second over all instances: the part `warm` of the link,
/// but at most the endpoint's spare bandwidth.
pub fn max_warming_kb_s(warm: f64, link_kb_s: f64, spare_kb_s: f64) -> f64 {
    (warm * link_kb_s).min(spare_kb_s).max(0.0)
}

impl ShardMap {
    /// Returns a map of equal shards without homes, which routes as if there were no map.
    pub fn first(zone: u16, epoch: u32, shards: usize) -> Self {
        let count = shards.clamp(1, MAX_SHARDS) as u128;
        let start = |number: u128| ((number << 64) / count) as u64;
        let shard = |number| Shard { start: start(number), home: None, warming: None };
        ShardMap { zone, epoch, shards: (0..count).map(shard).collect() }
    }

    fn check(&self) -> Result<(), PlacementError> {
        let rule =
            |holds: bool, why| holds.then_some(()).ok_or(PlacementError::Broken { what: KIND.name, why });
        let names = || self.shards.iter().flat_map(|s| [&s.home, &s.warming]).flatten();
        rule(self.shards.first().is_some_and(|s| s.start == 0), "no shard begins at 0")?;
        rule(self.shards.len() <= MAX_SHARDS, "too many shards")?;
        rule(self.shards.windows(2).all(|p| p[0].start < p[1].start), "starts do not ascend")?;
        rule(
            names().all(|n| !n.is_empty() && n.len() <= MAX_NAME_BYTES),
            "an endpoint name is empty or too long",
        )?;
        rule(
            self.shards.iter().all(|s| s.warming.is_none() || s.warming != s.home),
            "a shard moves to its own home",
        )
    }

    /// Encodes the map as a document.
    pub fn encode(&self) -> Vec<u8> {
        let endpoints = self.shards.iter().flat_map(|s| [&s.home, &s.warming]).flatten();
        let mut names: Vec<Id> = endpoints.cloned().collect();
        names.sort_unstable();
        names.dedup();
        let index = |name: &Option<Id>| Some(names.binary_search(name.as_ref()?).ok()? as u16);
        let mut previous = 0;
        let shard = |shard: &Shard| {
            let distance = shard.start.saturating_sub(previous);
            previous = shard.start;
            EncodedShard { distance, home: index(&shard.home), warming: index(&shard.warming) }
        };
        let shards = self.shards.iter().map(shard).collect();
        encode(KIND, &EncodedMap { zone: self.zone, epoch: self.epoch, names, shards })
    }

    /// Decodes the document of a zone's map.
    ///
    /// # Errors
    /// [`PlacementError::Torn`], [`PlacementError::Format`], and [`PlacementError::Broken`] for a map that does not
    /// cover the hash space exactly once, or that belongs to another zone.
    pub fn decode(bytes: &[u8], zone: u16) -> Result<ShardMap, PlacementError> {
        let broken = |why| PlacementError::Broken { what: KIND.name, why };
        let encoded: EncodedMap = decode(KIND, bytes)?;
        if encoded.zone != zone {
            return Err(broken("it belongs to another zone"));
        }
        let name = |index: Option<u16>| match index {
            None => Ok(None),
            Some(p) => {
                encoded.names.get(usize::from(p)).cloned().map(Some).ok_or(broken("an endpoint has no name"))
            }
        };
        let mut start = 0u64;
        let mut shards = Vec::new();
        for EncodedShard { distance, home, warming } in &encoded.shards {
            start = start.checked_add(*distance).ok_or(broken("a start is beyond the hash space"))?;
            shards.push(Shard { start, home: name(*home)?, warming: name(*warming)? });
        }
        let map = ShardMap { zone, epoch: encoded.epoch, shards };
        map.check().map(|()| map)
    }

    /// Returns the index of the shard that begins at `start`.
    pub fn find(&self, start: u64) -> Option<usize> {
        self.shards.binary_search_by_key(&start, |s| s.start).ok()
    }

    /// Returns the assignments for the routing constraints. `rate` returns how much warming this instance may send to
    /// an endpoint, in transfers at full rate (the instance's part of [`max_warming_kb_s`]).
    pub fn assignments(&self, rate: impl Fn(&Id) -> f64, lateral: bool) -> Arc<[ShardAssignment]> {
        let warming = |to: &Id| Warming { endpoint: to.clone(), rate: rate(to), peer_fill: lateral };
        let assignment = |shard: &Shard| ShardAssignment {
            start: shard.start,
            endpoint: shard.home.clone(),
            warming: shard.warming.as_ref().map(warming),
        };
        self.shards.iter().map(assignment).collect()
    }

    /// Checks whether [`ShardMap::split`] is possible, and returns the shard's index.
    fn check_split(&self, start: u64, at: u64, most: usize) -> Result<usize, PlacementError> {
        let error = |why| PlacementError::Change { start, why };
        let index = self.find(start).ok_or(error("no shard begins there"))?;
        if self.shards[index].warming.is_some() {
            return Err(error("it is moving"));
        }
        if at <= start || self.shards.get(index + 1).is_some_and(|next| at >= next.start) {
            return Err(error("the split position is outside of it"));
        }
        if self.shards.len() >= most.min(MAX_SHARDS) {
            return Err(error("the maximum number of shards is reached; raise most in shards()"));
        }
        Ok(index)
    }

    /// Checks whether [`ShardMap::merge`] is possible, and returns the first shard's index.
    fn check_merge(&self, start: u64, next: u64) -> Result<usize, PlacementError> {
        let error = |why| PlacementError::Change { start, why };
        let index = self.find(start).ok_or(error("no shard begins there"))?;
        let this = &self.shards[index];
        let next = self
            .shards
            .get(index + 1)
            .filter(|s| s.start == next)
            .ok_or(error("the next shard begins elsewhere"))?;
        if this.home != next.home {
            return Err(error("the next shard has another home"));
        }
        if this.warming.is_some() || next.warming.is_some() {
            return Err(error("it or the next shard is moving"));
        }
        Ok(index)
    }

    /// Splits the shard that begins at `start` in two at `at`. Both parts keep its home, so no data moves.
    ///
    /// # Errors
    /// [`PlacementError::Change`] if there is no such shard, it is moving, `at` is outside of it, or the map would have
    /// more than `most` shards.
    pub fn split(&mut self, start: u64, at: u64, most: usize) -> Result<(), PlacementError> {
        let index = self.check_split(start, at, most)?;
        let second = Shard { start: at, ..self.shards[index].clone() };
        self.shards.insert(index + 1, second);
        Ok(())
    }

    /// Merges the shard that begins at `start` with the next one, which begins at `next` and has the same home, so no
    /// data moves.
    ///
    /// # Errors
    /// [`PlacementError::Change`] if there are no such neighbours, their homes differ, or one of them is moving.
    pub fn merge(&mut self, start: u64, next: u64) -> Result<(), PlacementError> {
        let index = self.check_merge(start, next)?;
        self.shards.remove(index + 1);
        Ok(())
    }

    /// Returns whether a requested change is still pending: `Ok(false)` if the map already has it.
    ///
    /// # Errors
    /// As [`ShardMap::split`] and [`ShardMap::merge`].
    pub(super) fn is_pending(&self, change: &Change, most: usize) -> Result<bool, PlacementError> {
        match *change {
            Change::Split { at, .. } if self.find(at).is_some() => Ok(false),
            Change::Split { start, at, .. } => self.check_split(start, at, most).map(|_| true),
            Change::Merge { next, .. } if self.find(next).is_none() => Ok(false),
            Change::Merge { start, next } => self.check_merge(start, next).map(|_| true),
        }
    }
}
