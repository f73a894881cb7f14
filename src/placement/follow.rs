//! An instance's applied map of its zone: the last good map stays in force, and applied epochs only increase.
//!
//! `proxy::rebalancing` owns one [`Follower`], passes it the registry's document and takes shard assignments from it.

#[cfg(test)]
mod tests;

use super::error::PlacementError;
use super::map::ShardMap;
use crate::routing::constraints::ShardAssignment;
use crate::routing::events::Id;
use std::sync::Arc;

/// Outcome of applying a document, for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MapUpdate {
    /// The map of a new epoch is applied.
    Applied(u32),
    /// The map's key was deleted; the map of this epoch stays in force.
    Deleted(u32),
    /// The document can't be used; the map in force stays.
    Unusable(PlacementError),
    /// The document has an older epoch, or the same epoch with other contents; the map in force stays.
    NotNewer {
        /// Epoch in force.
        applied: u32,
        /// Epoch of the document.
        received: u32,
    },
}

impl std::fmt::Display for MapUpdate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            MapUpdate::Applied(epoch) => write!(f, "applied epoch {epoch}"),
            MapUpdate::Deleted(epoch) => {
                write!(f, "the key was deleted; epoch {epoch} stays in force, and the planner writes the map again")
            }
            MapUpdate::Unusable(why) => why.fmt(f),
            MapUpdate::NotNewer { applied, received } => write!(
                f,
                "received epoch {received}, which is not newer than {applied}; if the registry was restored from a backup, the planner writes a newer one"
            ),
        }
    }
}

/// The applied map of an instance's zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Follower {
    zone: u16,
    map: Option<Arc<ShardMap>>,
    /// The last problem that was logged; it is not logged again while it lasts.
    logged: Option<MapUpdate>,
}

impl Follower {
    /// Returns a follower without a map.
    pub fn new(zone: u16) -> Self {
        Follower { zone, map: None, logged: None }
    }

    /// Returns a follower with the map of a snapshot.
    ///
    /// # Errors
    ///
    /// As [`ShardMap::decode`]; the instance then starts without a map.
    pub fn restore(zone: u16, snapshot: &[u8]) -> Result<Self, PlacementError> {
        let map = ShardMap::decode(snapshot, zone)?;
        Ok(Follower { zone, map: Some(Arc::new(map)), logged: None })
    }

    /// Returns the map as an encoded document, from which [`Follower::restore`] starts after a restart.
    pub fn snapshot(&self) -> Option<Vec<u8>> {
        self.map.as_ref().map(|map| map.encode())
    }

    /// Applies the registry's current document, `None` if it has none. Returns the outcome to log: each problem once
    /// while it lasts.
    pub fn apply(&mut self, document: Option<&[u8]>) -> Option<MapUpdate> {
        let applied = self.epoch();
        let update = match document.map(|bytes| ShardMap::decode(bytes, self.zone)) {
            None => (applied > 0).then_some(MapUpdate::Deleted(applied)),
            Some(Err(error)) => Some(MapUpdate::Unusable(error)),
            Some(Ok(map)) if self.map.as_ref().is_none_or(|known| known.epoch < map.epoch) => {
                let epoch = map.epoch;
                self.map = Some(Arc::new(map));
                self.logged = None;
                return Some(MapUpdate::Applied(epoch));
            }
            Some(Ok(map)) if self.map.as_deref() == Some(&map) => {
                self.logged = None;
                None
            }
            Some(Ok(map)) => Some(MapUpdate::NotNewer { applied, received: map.epoch }),
        };
        let logged = std::mem::replace(&mut self.logged, update.clone());
        update.filter(|update| logged.as_ref() != Some(update))
    }

    /// Returns the map in force.
    pub fn map(&self) -> Option<&Arc<ShardMap>> {
        self.map.as_ref()
    }

    /// Returns the applied epoch, for the instance's report; 0 without a map.
    pub fn epoch(&self) -> u32 {
        self.map.as_ref().map_or(0, |map| map.epoch)
    }

    /// Returns the assignments for the routing constraints (see [`ShardMap::assignments`]). Without a map there are
    /// none, and the hash order decides.
    pub fn assignments(&self, rate: impl Fn(&Id) -> f64, lateral: bool) -> Arc<[ShardAssignment]> {
        self.map.as_ref().map_or_else(Arc::default, |map| map.assignments(rate, lateral))
    }
}
