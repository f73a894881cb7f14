//! A plan: how load is served while certain zones are lost.

use crate::failover::Zone;
use crate::routing::events::Role;
use std::collections::BTreeMap;

/// Served fraction from which load counts as fully served: rounding errors must not count as rejections.
pub(super) const FULLY_SERVED: f64 = 0.999;

/// A target of a group and its capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct GroupMember {
    /// Index in the list of targets.
    pub target: usize,
    pub capacity: f64,
}

/// Work assigned to one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetWork {
    /// Index in [`Plans::targets`](super::Plans::targets).
    pub target: usize,
    /// Work, in transfers at full rate.
    pub work: f64,
}

/// Targets that are interchangeable in a plan: caches of one zone and price, parents of any zone and one price, or the
/// origin.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Group {
    pub role: Role,
    pub zone: Zone,
    pub price: f64,
    /// Total capacity of the members, without headroom.
    pub capacity: f64,
    pub members: Vec<GroupMember>,
}

impl Group {
    /// Divides the group's work among its targets in proportion to their capacity.
    pub(super) fn divide(&self, work: f64) -> impl Iterator<Item = TargetWork> + '_ {
        self.members.iter().map(move |member| TargetWork {
            target: member.target,
            work: work * (member.capacity / self.capacity),
        })
    }
}

/// Work of one zone and class on one route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Flow {
    /// Group of caches that serves the work; `None` if it goes directly to the source.
    pub cache: Option<usize>,
    /// Group that serves the misses; `None` if there are none.
    pub source: Option<usize>,
    pub work: f64,
    /// Work that the source does for this flow.
    pub source_work: f64,
}

/// How load is served while certain zones are lost.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Number of the plan, a hash of the inputs and the lost zones; never 0.
    pub number: u32,
    /// Lost zones, in ascending order.
    pub lost_zones: Vec<Zone>,
    /// Fraction of the load that is served, by zone and class, 0 to 1.
    pub admitted: Vec<Vec<f64>>,
    /// Total work of each target, in the order of [`Plans::targets`](super::Plans::targets); at most its capacity times
    /// the headroom.
    pub work: Vec<f64>,
    /// Load of each zone's link; 0 if the link has no limit.
    pub link_load: Vec<f64>,
    /// Total priority weight of the served work, less its price.
    pub gain: f64,
    /// Whether every demand is served at least up to its floor.
    pub keeps_floors: bool,
    pub(super) groups: Vec<Group>,
    /// Flows, by zone and class.
    pub(super) flows: Vec<Vec<Vec<Flow>>>,
}

impl Plan {
    /// Returns the work of a class that a zone causes, by target: sent to it directly, or as the source of cache fills.
    pub fn work_by_target(&self, zone: Zone, class: usize) -> Vec<TargetWork> {
        let mut sent = BTreeMap::new();
        let mut add = |group: Option<usize>, work: f64| {
            let Some(group) = group.map(|group| &self.groups[group]) else { return };
            group.divide(work).for_each(|part| *sent.entry(part.target).or_insert(0.0) += part.work);
        };
        for flow in self.flows(zone, class) {
            add(flow.cache, flow.work);
            add(flow.source, flow.source_work);
        }
        let sent = sent.into_iter().filter(|&(_, work)| work > 0.0);
        sent.map(|(target, work)| TargetWork { target, work }).collect()
    }

    /// Returns the work that sources do for a zone and class.
    pub fn source_work(&self, zone: Zone, class: usize) -> f64 {
        self.flows(zone, class).iter().map(|flow| flow.source_work).sum()
    }

    /// Returns whether requests are rejected in a zone.
    pub fn rejects_in(&self, zone: Zone) -> bool {
        self.admitted.get(zone).is_some_and(|classes| rejects_any(classes))
    }

    /// Returns whether requests are rejected in any zone.
    pub fn rejects(&self) -> bool {
        self.admitted.iter().any(|classes| rejects_any(classes))
    }

    fn flows(&self, zone: Zone, class: usize) -> &[Flow] {
        self.flows.get(zone).and_then(|classes| classes.get(class)).map_or(&[], Vec::as_slice)
    }
}

fn rejects_any(admitted: &[f64]) -> bool {
    admitted.iter().any(|&part| part < FULLY_SERVED)
}
