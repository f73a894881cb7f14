//! The map of one zone's shards, as it stands in the registry and at every instance. Without a map, and for a shard
//! without a home, the order of the hash decides. The planner writes maps, every instance's `Follower` reads them.

#[cfg(test)]
pub(super) mod tests;

use super::document::{decode, encode, Kind};
use super::error::PlacementError;
use super::moves::Change;
use crate::routing::constraints::{ShardAssignment, Warming};
use crate::routing::events::Id;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Most shards of a map, whatever the settings.
pub const MAX_SHARDS: usize = 10_000;
/// Longest name of an endpoint, in bytes.
pub const MAX_NAME_BYTES: usize = 255;
const KIND: Kind = Kind { tag: b'M', name: "map of shards" };

/// One shard: from `start` up to where the next one begins.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shard {
    /// Where it begins.
    pub start: u64,
    /// The endpoint that its objects go to first; `None`: the order of the hash.
    pub home: Option<Id>,
    /// Its next home, which is being warmed.
    pub warming: Option<Id>,
}

/// The shards of a zone at one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ShardMap {
    /// The zone's number in the settings.
    pub zone: u16,
    /// Grows with every change.
    pub epoch: u32,
    /// In order of their starts; the first begins at 0.
    pub shards: Vec<Shard>,
}

/// A shard as encoded.
#[derive(Deserialize, Serialize)]
struct EncodedShard {
    /// How far its start is after that of the shard before.
    distance: u64,
    /// Place in [`EncodedMap::names`].
    home: Option<u16>,
    /// The same.
    warming: Option<u16>,
}

/// A map as encoded.
#[derive(Deserialize, Serialize)]
struct EncodedMap {
    zone: u16,
    epoch: u32,
    names: Vec<Id>,
    shards: Vec<EncodedShard>,
}

/// What may go to one endpoint for warming, in KB a second over all instances: `warm` of the link, and no more than the
/// endpoint has to spare.
pub fn warm_kb_s(warm: f64, link_kb_s: f64, spare_kb_s: f64) -> f64 {
    (warm * link_kb_s).min(spare_kb_s).max(0.0)
}

impl ShardMap {
    /// Equal shards without homes: all is as without a map.
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
            "a box's name is empty or too long",
        )?;
        rule(
            self.shards.iter().all(|s| s.warming.is_none() || s.warming != s.home),
            "a shard moves to its home",
        )
    }

    /// Its document.
    pub fn encode(&self) -> Vec<u8> {
        let endpoints = self.shards.iter().flat_map(|s| [&s.home, &s.warming]).flatten();
        let mut names: Vec<Id> = endpoints.cloned().collect();
        names.sort_unstable();
        names.dedup();
        let place = |name: &Option<Id>| Some(names.binary_search(name.as_ref()?).ok()? as u16);
        let mut before = 0;
        let shard = |shard: &Shard| {
            let distance = shard.start.saturating_sub(before);
            before = shard.start;
            EncodedShard { distance, home: place(&shard.home), warming: place(&shard.warming) }
        };
        let shards = self.shards.iter().map(shard).collect();
        encode(KIND, &EncodedMap { zone: self.zone, epoch: self.epoch, names, shards })
    }

    /// Reads the document of a zone's map.
    ///
    /// # Errors
    /// [`PlacementError::Torn`], [`PlacementError::Format`], and [`PlacementError::Broken`] for a map that does not
    /// cover the space once, or is of another zone.
    pub fn decode(bytes: &[u8], zone: u16) -> Result<ShardMap, PlacementError> {
        let broken = |why| PlacementError::Broken { what: KIND.name, why };
        let encoded: EncodedMap = decode(KIND, bytes)?;
        if encoded.zone != zone {
            return Err(broken("it is of another zone"));
        }
        let name = |place: Option<u16>| match place {
            None => Ok(None),
            Some(p) => {
                encoded.names.get(usize::from(p)).cloned().map(Some).ok_or(broken("a box has no name"))
            }
        };
        let mut start = 0u64;
        let mut shards = Vec::new();
        for EncodedShard { distance, home, warming } in &encoded.shards {
            start = start.checked_add(*distance).ok_or(broken("starts go past the space"))?;
            shards.push(Shard { start, home: name(*home)?, warming: name(*warming)? });
        }
        let map = ShardMap { zone, epoch: encoded.epoch, shards };
        map.check().map(|()| map)
    }

    /// The place of the shard that begins there.
    pub fn find(&self, start: u64) -> Option<usize> {
        self.shards.binary_search_by_key(&start, |s| s.start).ok()
    }

    /// For the routing constraints; `rate` gives how much of warming this instance may send an endpoint, in transfers at
    /// full rate (its part of [`warm_kb_s`]).
    pub fn assignments(&self, rate: impl Fn(&Id) -> f64, lateral: bool) -> Arc<[ShardAssignment]> {
        let warming = |to: &Id| Warming { endpoint: to.clone(), rate: rate(to), peer_fill: lateral };
        let assignment = |shard: &Shard| ShardAssignment {
            start: shard.start,
            endpoint: shard.home.clone(),
            warming: shard.warming.as_ref().map(warming),
        };
        self.shards.iter().map(assignment).collect()
    }

    /// Whether [`ShardMap::split`] can be made; gives the shard's place.
    fn check_split(&self, start: u64, at: u64, most: usize) -> Result<usize, PlacementError> {
        let no = |why| PlacementError::Change { start, why };
        let place = self.find(start).ok_or(no("there is none"))?;
        if self.shards[place].warming.is_some() {
            return Err(no("it moves"));
        }
        if at <= start || self.shards.get(place + 1).is_some_and(|next| at >= next.start) {
            return Err(no("the place of the cut is not within it"));
        }
        if self.shards.len() >= most.min(MAX_SHARDS) {
            return Err(no("there are as many shards as may be; raise most in shards()"));
        }
        Ok(place)
    }

    /// Whether [`ShardMap::merge`] can be made; gives the first one's place.
    fn check_merge(&self, start: u64, next: u64) -> Result<usize, PlacementError> {
        let no = |why| PlacementError::Change { start, why };
        let place = self.find(start).ok_or(no("there is none"))?;
        let this = &self.shards[place];
        let next =
            self.shards.get(place + 1).filter(|s| s.start == next).ok_or(no("its neighbour is another"))?;
        if this.home != next.home {
            return Err(no("its neighbour has another home"));
        }
        if this.warming.is_some() || next.warming.is_some() {
            return Err(no("it or its neighbour moves"));
        }
        Ok(place)
    }

    /// Splits the shard that begins at `start` in two at `at`. Both keep its home: no data moves.
    ///
    /// # Errors
    /// [`PlacementError::Change`]: no such shard, it moves, `at` is not within it, or there would be over `most`.
    pub fn split(&mut self, start: u64, at: u64, most: usize) -> Result<(), PlacementError> {
        let place = self.check_split(start, at, most)?;
        let second = Shard { start: at, ..self.shards[place].clone() };
        self.shards.insert(place + 1, second);
        Ok(())
    }

    /// Makes the shard that begins at `start` one with its neighbour, which begins at `next` and has the same home:
    /// no data moves.
    ///
    /// # Errors
    /// [`PlacementError::Change`]: no such neighbours, other homes, or one of them moves.
    pub fn merge(&mut self, start: u64, next: u64) -> Result<(), PlacementError> {
        let place = self.check_merge(start, next)?;
        self.shards.remove(place + 1);
        Ok(())
    }

    /// Whether a requested change is still to be made: `Ok(false)` if it is done.
    pub(super) fn is_pending(&self, change: &Change, most: usize) -> Result<bool, PlacementError> {
        match *change {
            Change::Split { at, .. } if self.find(at).is_some() => Ok(false),
            Change::Split { start, at, .. } => self.check_split(start, at, most).map(|_| true),
            Change::Merge { next, .. } if self.find(next).is_none() => Ok(false),
            Change::Merge { start, next } => self.check_merge(start, next).map(|_| true),
        }
    }
}
