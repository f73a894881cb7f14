//! Table of a router's upstream endpoints by index, id and role.

use super::endpoint::Upstream;
use super::events::{Endpoint, EndpointState, Id, Micros, Role};
use super::lookup_counter::LookupCounter;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// Slot of an endpoint in an [`EndpointTable`]. The slot is reused only after its endpoint was removed and
/// nothing refers to it any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EndpointIndex(usize);

/// All endpoints and, for each role, the eligible ones: those that requests may be sent to.
#[derive(Default)]
pub(super) struct EndpointTable {
    upstreams: Vec<Upstream>,
    by_id: BTreeMap<Id, EndpointIndex>,
    caches: Vec<EndpointIndex>,
    parents: Vec<EndpointIndex>,
    origins: Vec<EndpointIndex>,
    /// Number of reads of endpoint records; counted in tests only.
    pub(super) lookups: LookupCounter,
}

impl Index<EndpointIndex> for EndpointTable {
    type Output = Upstream;

    fn index(&self, index: EndpointIndex) -> &Upstream {
        self.lookups.add(1);
        &self.upstreams[index.0]
    }
}

impl IndexMut<EndpointIndex> for EndpointTable {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Upstream {
        self.lookups.add(1);
        &mut self.upstreams[index.0]
    }
}

impl EndpointTable {
    pub(super) fn find(&self, id: &Id) -> Option<EndpointIndex> {
        self.by_id.get(id).copied()
    }

    /// Returns the eligible endpoints of a role.
    pub(super) fn of_role(&self, role: Role) -> &[EndpointIndex] {
        match role {
            Role::Cache => &self.caches,
            Role::Parent => &self.parents,
            Role::Origin => &self.origins,
        }
    }

    /// Returns the eligible endpoints of all roles.
    pub(super) fn eligible(&self) -> Vec<EndpointIndex> {
        [&self.caches[..], &self.parents, &self.origins].concat()
    }

    /// Returns the origin, if it is eligible.
    pub(super) fn origin(&self) -> Option<EndpointIndex> {
        self.origins.first().copied()
    }

    /// Returns the list entries of all healthy endpoints of a role, eligible or not.
    pub(super) fn healthy(&self, role: Role) -> impl Iterator<Item = &Endpoint> {
        self.lookups.add(self.upstreams.len());
        let entries = self.upstreams.iter().map(|upstream| &upstream.endpoint);
        entries.filter(move |entry| entry.role == role && entry.state == EndpointState::Healthy)
    }

    /// Applies a list update; a `complete` update names every endpoint. The slots in `referenced` are not
    /// reused.
    pub(super) fn apply_update(
        &mut self,
        now: Micros,
        complete: bool,
        endpoints: Vec<Endpoint>,
        referenced: &BTreeSet<EndpointIndex>,
    ) {
        let mut reusable = self.reusable_slots(referenced);
        if complete {
            for upstream in &mut self.upstreams {
                upstream.endpoint.state = EndpointState::Removed;
            }
        }
        for endpoint in endpoints {
            if let Some(index) = self.find(&endpoint.id) {
                reusable.remove(&index);
                self[index].update(now, endpoint);
            } else {
                let slot = reusable.pop_last().unwrap_or_else(|| self.append_slot());
                self.assign_slot(slot, now, endpoint);
            }
        }
    }

    /// Recomputes the eligible endpoints: the healthy ones that `is_reachable` accepts.
    pub(super) fn refresh_eligible(&mut self, is_reachable: impl Fn(&Endpoint) -> bool) {
        self.caches.clear();
        self.parents.clear();
        self.origins.clear();
        self.lookups.add(self.upstreams.len());
        for (slot, upstream) in self.upstreams.iter().enumerate() {
            let entry = &upstream.endpoint;
            if entry.state != EndpointState::Healthy || !is_reachable(entry) {
                continue;
            }
            match entry.role {
                Role::Cache => self.caches.push(EndpointIndex(slot)),
                Role::Parent => self.parents.push(EndpointIndex(slot)),
                Role::Origin => self.origins.push(EndpointIndex(slot)),
            }
        }
    }

    /// Returns the slots of removed endpoints that nothing refers to.
    fn reusable_slots(&self, referenced: &BTreeSet<EndpointIndex>) -> BTreeSet<EndpointIndex> {
        self.lookups.add(self.upstreams.len());
        let removed = self.upstreams.iter().enumerate().filter(|(_, upstream)| {
            upstream.endpoint.state == EndpointState::Removed && upstream.concurrency.in_flight.is_empty()
        });
        let slots = removed.map(|(slot, _)| EndpointIndex(slot));
        slots.filter(|index| !referenced.contains(index)).collect()
    }

    fn append_slot(&mut self) -> EndpointIndex {
        self.upstreams.push(Upstream::default());
        EndpointIndex(self.upstreams.len() - 1)
    }

    fn assign_slot(&mut self, slot: EndpointIndex, now: Micros, endpoint: Endpoint) {
        self.by_id.insert(endpoint.id.clone(), slot);
        let previous = std::mem::replace(&mut self[slot], Upstream::new(endpoint, now));
        self.by_id.remove(&previous.endpoint.id);
    }
}
