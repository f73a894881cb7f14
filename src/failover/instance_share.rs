//! This instance's share of a limit that applies to the sum over all instances.
//!
//! The shares of all instances that can exist add up to at most 1, whichever of them are alive and whichever
//! datagrams arrive.

#[cfg(test)]
mod tests;

use super::Zone;
use crate::routing::events::{Micros, Settings};

/// Provides this instance's share of a limit over all instances.
pub trait InstanceShare {
    /// Returns the fraction of a zone's limit that this instance may use, above 0 and up to 1.
    fn share(&self, zone: Zone, now: Micros) -> f64;
}

/// Equal shares for all instances that may exist.
#[derive(Clone, Debug, PartialEq)]
pub struct EvenShare {
    max_instances: f64,
    /// By zone, the maximum number of instances that may send to it; `None` if all instances may.
    local: Vec<Option<f64>>,
    processes: f64,
}

impl EvenShare {
    /// Creates the shares. `named_peers` is the number of instances that the settings name as peers, including this
    /// one; 0 if none are named. `local` lists zones that no instance of another zone ever sends to. If the settings
    /// count fewer instances by zone than are named, the remaining instances may be in any zone.
    pub fn new(settings: &Settings, named_peers: usize, local: &[Zone]) -> Self {
        let configured = f64::from(settings.routers).max(1.0);
        let counted: f64 = settings.routers_by_zone.iter().map(|&count| f64::from(count)).sum();
        let max_instances = configured.max(counted).max(named_peers as f64);
        let in_zone = |(zone, &count): (Zone, &u32)| {
            let most = f64::from(count) + max_instances - counted;
            local.contains(&zone).then(|| most.clamp(1.0, max_instances))
        };
        let local = settings.routers_by_zone.iter().enumerate().map(in_zone).collect();
        EvenShare { max_instances, local, processes: f64::from(settings.processes.max(1)) }
    }
}

impl InstanceShare for EvenShare {
    /// While one process takes over from another, both belong to one instance, and each gets half of its share.
    fn share(&self, zone: Zone, _now: Micros) -> f64 {
        let instances = self.local.get(zone).copied().flatten().unwrap_or(self.max_instances);
        1.0 / instances / self.processes
    }
}
