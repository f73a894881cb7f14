//! The endpoint list: which endpoints accept requests, which endpoint owns an address, and which changes the owner has
//! not taken yet.

#[cfg(test)]
mod tests;

use super::change_queue::{ChangeQueue, Urgency};
use super::{Change, Connections, Counts, Entry, TooManyEndpoints};
use crate::routing::events::{Endpoint, EndpointState, Id, Micros};
use rustc_hash::{FxHashMap, FxHashSet};
use std::net::SocketAddr;

/// A time after any dial, so that all connections are replaced.
const ALL_CONNECTIONS: Micros = Micros::MAX;

/// A listed endpoint, or a removed one whose removal the owner has not taken yet.
#[derive(Clone, Debug)]
struct Slot {
    entry: Entry,
    /// Sequence number of the endpoint's claim to its address; a later claim has a larger number.
    claim: u64,
    /// Start time that the source reported last. The entry has a later one if a restart was detected by dialing.
    reported_start: Micros,
    /// Whether another endpoint owns the address.
    shadowed: bool,
    /// Time since which no new request may be written; `None` while the endpoint accepts requests.
    closed_since: Option<Micros>,
    /// State in the last change that the owner took.
    announced: Option<EndpointState>,
    /// Connections dialed before this time are replaced when the owner takes the change.
    replace_before: Option<Micros>,
    /// Queue that the endpoint is in, if its change is waiting.
    queued: Option<Urgency>,
}

impl Slot {
    fn new(now: Micros, entry: Entry, claim: u64) -> Self {
        // An earlier process with this id may have been removed and may still have connections that are not idle. If
        // the source reports no incarnation, connections dialed before the start belong to that process.
        let replace_before = if entry.incarnation != 0 {
            Some(ALL_CONNECTIONS)
        } else {
            Some(entry.started_at).filter(|&started_at| started_at > 0)
        };
        Slot {
            claim,
            shadowed: false,
            closed_since: (entry.state != EndpointState::Healthy).then_some(now),
            announced: None,
            replace_before,
            reported_start: entry.started_at,
            queued: None,
            entry,
        }
    }

    /// Returns the effective state: an endpoint whose address another one owns counts as removed, regardless of its entry.
    fn state(&self) -> EndpointState {
        if self.shadowed {
            EndpointState::Removed
        } else {
            self.entry.state
        }
    }

    /// Returns the rank among the claimants of an address, the greatest of which owns it: by incarnation, start time and
    /// claim.
    fn rank(&self) -> (u64, Micros, u64) {
        (self.entry.incarnation, self.entry.started_at, self.claim)
    }

    /// Whether an entry belongs to another process than the current entry.
    fn is_new_incarnation(&self, entry: &Entry) -> bool {
        let known = self.entry.incarnation;
        known != entry.incarnation && known != 0 && entry.incarnation != 0
    }

    /// Returns the start time for slow start when an entry replaces the current one.
    ///
    /// A detected restart remains valid until the source reports a new start time, because complete lists and drain
    /// updates repeat the old one. A new process starts cold even if its record has no start time.
    fn effective_start(&self, now: Micros, entry: &Entry) -> Micros {
        let known = self.entry.started_at;
        let reported_again = self.reported_start == entry.started_at;
        if self.is_new_incarnation(entry) {
            return if entry.started_at <= known { now.max(known + 1) } else { entry.started_at };
        }
        let unreported = entry.incarnation != 0 && entry.started_at == 0;
        if reported_again || unreported {
            entry.started_at.max(known)
        } else {
            entry.started_at
        }
    }

    /// Returns the change for the owner and marks the change as taken. Returns `None` for a removal if the owner never
    /// knew the endpoint or has already taken its removal.
    fn take_change(&mut self) -> Option<Change> {
        self.queued = None;
        let state = self.state();
        let announced = self.announced.replace(state);
        let replace_before = self.replace_before.take();
        let owner_knows_it = announced.is_some_and(|announced| announced != EndpointState::Removed);
        if !owner_knows_it && state == EndpointState::Removed {
            return None;
        }
        let connections = match (state, replace_before) {
            (EndpointState::Removed, _) => Connections::End,
            (_, Some(before)) => Connections::ReplaceBefore(before),
            _ => Connections::Keep,
        };
        Some(Change { endpoint: self.endpoint(state), address: self.entry.address, connections })
    }

    fn endpoint(&self, state: EndpointState) -> Endpoint {
        let entry = &self.entry;
        Endpoint {
            id: entry.id.clone(),
            role: entry.role,
            state,
            zone: entry.zone,
            cell: entry.cell,
            kind: entry.kind,
            weight: entry.weight,
            started_at: entry.started_at,
        }
    }
}

/// The endpoint list; see the module documentation.
#[derive(Debug)]
pub struct EndpointList {
    slots: FxHashMap<Id, Slot>,
    /// Ids of the endpoints that claim an address, nearly always one.
    claims: FxHashMap<SocketAddr, Vec<Id>>,
    changes: ChangeQueue,
    /// Sequence number of the last claim.
    last_claim: u64,
    max_endpoints: usize,
}

impl EndpointList {
    /// Creates an empty list for at most `max_endpoints` endpoints.
    pub fn new(max_endpoints: usize) -> Self {
        EndpointList {
            slots: FxHashMap::default(),
            claims: FxHashMap::default(),
            changes: ChangeQueue::default(),
            last_claim: 0,
            max_endpoints,
        }
    }

    /// Applies a complete list. Endpoints that are not in the list are removed.
    ///
    /// # Errors
    ///
    /// [`TooManyEndpoints`] if the list is too long; nothing is changed.
    pub fn replace_all(&mut self, now: Micros, entries: Vec<Entry>) -> Result<(), TooManyEndpoints> {
        let count = entries.iter().filter(|entry| entry.state != EndpointState::Removed).count();
        if count > self.max_endpoints {
            return Err(TooManyEndpoints { count, max: self.max_endpoints });
        }
        let named: FxHashSet<&Id> = entries.iter().map(|entry| &entry.id).collect();
        let removed: Vec<Id> = self.slots.keys().filter(|id| !named.contains(id)).cloned().collect();
        for id in removed {
            self.remove(now, &id);
        }
        // Not with `upsert`, which would also count the slots of removed endpoints whose removal is not taken yet.
        for entry in entries {
            self.apply(now, entry);
        }
        Ok(())
    }

    /// Adds or updates an endpoint.
    ///
    /// # Errors
    ///
    /// [`TooManyEndpoints`] if a new endpoint would exceed the maximum; nothing is changed.
    pub fn upsert(&mut self, now: Micros, entry: Entry) -> Result<(), TooManyEndpoints> {
        let is_new = entry.state != EndpointState::Removed && !self.slots.contains_key(&entry.id);
        if is_new && self.slots.len() >= self.max_endpoints {
            return Err(TooManyEndpoints { count: self.slots.len() + 1, max: self.max_endpoints });
        }
        self.apply(now, entry);
        Ok(())
    }

    /// Records that an unreachable endpoint responds again, as a new process that started no later than `started_at`. A
    /// start time that the source reports for the first time replaces this one. Applies to draining endpoints too, which
    /// may become ready again.
    pub fn mark_restarted(&mut self, now: Micros, id: &str, started_at: Micros) {
        let Some(slot) = self.slots.get(id) else { return };
        if slot.entry.state == EndpointState::Removed || slot.entry.started_at >= started_at {
            return;
        }
        let entry = Entry { started_at, ..slot.entry.clone() };
        let reported_start = slot.reported_start;
        self.apply(now, entry);
        if let Some(slot) = self.slots.get_mut(id) {
            slot.reported_start = reported_start;
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, now: Micros, id: &str) {
        let Some(slot) = self.slots.get_mut(id) else { return };
        if slot.entry.state == EndpointState::Removed {
            return;
        }
        slot.entry.state = EndpointState::Removed;
        let address = slot.entry.address;
        let id = slot.entry.id.clone();
        self.release_claim(now, address, &id);
        self.update_closed(now, &id);
        self.queue_change(&id);
    }

    /// Stops new requests to an endpoint whose record can't be decoded any more.
    pub fn close(&mut self, now: Micros, id: &str) {
        let Some(slot) = self.slots.get_mut(id) else { return };
        if slot.entry.state != EndpointState::Healthy {
            return;
        }
        slot.entry.state = EndpointState::Draining;
        let id = slot.entry.id.clone();
        self.update_closed(now, &id);
        self.queue_change(&id);
    }

    /// Whether a new request may be written to an endpoint, as target or as fill source. Must be checked at the time of
    /// writing.
    pub fn accepts_requests(&self, id: &str) -> bool {
        self.slots.get(id).is_some_and(|slot| slot.closed_since.is_none())
    }

    /// Returns the time since which no new request may be written to a listed endpoint.
    pub fn closed_since(&self, id: &str) -> Option<Micros> {
        self.slots.get(id)?.closed_since
    }

    /// Returns the entry of an endpoint.
    pub fn entry(&self, id: &str) -> Option<&Entry> {
        self.slots.get(id).map(|slot| &slot.entry).filter(|entry| entry.state != EndpointState::Removed)
    }

    /// Returns all entries, in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.slots.values().map(|slot| &slot.entry).filter(|entry| entry.state != EndpointState::Removed)
    }

    /// Whether there are changes for the owner to take.
    pub fn has_changes(&self) -> bool {
        self.changes.waiting() > 0
    }

    /// Takes at most `max_changes` changes and appends them to `changes`, drains and removals first.
    pub fn take_changes(&mut self, max_changes: usize, changes: &mut Vec<Change>) {
        for _ in 0..max_changes {
            let Some(change) = self.next_change() else { return };
            changes.push(change);
        }
    }

    /// Returns the numbers of endpoints by state.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts { waiting: self.changes.waiting(), ..Counts::default() };
        for slot in self.slots.values() {
            match (slot.shadowed, slot.entry.state) {
                (_, EndpointState::Removed) => {}
                (true, _) => counts.shadowed += 1,
                (_, EndpointState::Healthy) => counts.ready += 1,
                (_, EndpointState::Draining) => counts.draining += 1,
            }
        }
        counts
    }

    fn next_change(&mut self) -> Option<Change> {
        loop {
            let (id, urgency) = self.changes.pop()?;
            let Some(slot) = self.slots.get_mut(&id) else { continue };
            // An endpoint whose change became urgent after it was queued is in both queues.
            if slot.queued != Some(urgency) {
                continue;
            }
            self.changes.mark_taken();
            let change = slot.take_change();
            if slot.entry.state == EndpointState::Removed {
                self.slots.remove(&id);
            }
            if change.is_some() {
                return change;
            }
        }
    }

    fn apply(&mut self, now: Micros, entry: Entry) {
        if entry.state == EndpointState::Removed {
            self.remove(now, &entry.id);
        } else if self.slots.contains_key(&entry.id) {
            self.update(now, entry);
        } else {
            self.insert(now, entry);
        }
    }

    fn insert(&mut self, now: Micros, entry: Entry) {
        let id = entry.id.clone();
        let address = entry.address;
        self.last_claim += 1;
        self.slots.insert(id.clone(), Slot::new(now, entry, self.last_claim));
        self.add_claim(now, address, &id);
        self.queue_change(&id);
    }

    fn update(&mut self, now: Micros, mut entry: Entry) {
        let id = entry.id.clone();
        let Some(slot) = self.slots.get_mut(&id) else { return };
        let is_new_incarnation = slot.is_new_incarnation(&entry);
        let reported_start = entry.started_at;
        entry.started_at = slot.effective_start(now, &entry);
        slot.reported_start = reported_start;
        if slot.entry == entry {
            return;
        }
        let address = entry.address;
        let old = std::mem::replace(&mut slot.entry, entry);
        let is_moved = old.address != address;
        // Connections to a process that is gone may still look open.
        let replace_before = if is_moved || is_new_incarnation {
            Some(ALL_CONNECTIONS)
        } else {
            Some(slot.entry.started_at).filter(|&started_at| started_at > old.started_at)
        };
        slot.replace_before = slot.replace_before.max(replace_before);
        // An endpoint that is added again before the owner has taken its removal makes a new claim to its address.
        if is_moved || is_new_incarnation || old.state == EndpointState::Removed {
            self.last_claim += 1;
            slot.claim = self.last_claim;
            self.release_claim(now, old.address, &id);
            self.add_claim(now, address, &id);
        }
        self.update_closed(now, &id);
        self.queue_change(&id);
    }

    fn add_claim(&mut self, now: Micros, address: SocketAddr, id: &Id) {
        self.claims.entry(address).or_default().push(id.clone());
        self.resolve_owner(now, address);
    }

    fn release_claim(&mut self, now: Micros, address: SocketAddr, id: &Id) {
        if let Some(claims) = self.claims.get_mut(&address) {
            claims.retain(|claimant| claimant != id);
            if claims.is_empty() {
                self.claims.remove(&address);
            }
        }
        self.resolve_owner(now, address);
    }

    /// Determines the owner of an address. The other claimants accept no requests, because requests written to the address
    /// reach the owner.
    fn resolve_owner(&mut self, now: Micros, address: SocketAddr) {
        let Some(claims) = self.claims.get(&address) else { return };
        let rank = |id: &&Id| self.slots.get(*id).map(Slot::rank);
        let owner = claims.iter().max_by_key(rank).cloned();
        let changes_owner = |id: &&Id| {
            let shadowed = owner.as_ref() != Some(*id);
            self.slots.get(*id).is_some_and(|slot| slot.shadowed != shadowed)
        };
        let changed: Vec<Id> = claims.iter().filter(changes_owner).cloned().collect();
        for id in changed {
            if let Some(slot) = self.slots.get_mut(&id) {
                slot.shadowed = !slot.shadowed;
                // Existing connections to the regained address lead to the previous owner.
                if !slot.shadowed {
                    slot.replace_before = Some(ALL_CONNECTIONS);
                }
            }
            self.update_closed(now, &id);
            self.queue_change(&id);
        }
    }

    /// Records since when no new request may be written to an endpoint.
    fn update_closed(&mut self, now: Micros, id: &Id) {
        let Some(slot) = self.slots.get_mut(id) else { return };
        match slot.state() {
            EndpointState::Healthy => slot.closed_since = None,
            _ => slot.closed_since = slot.closed_since.or(Some(now)),
        }
    }

    fn queue_change(&mut self, id: &Id) {
        let Some(slot) = self.slots.get_mut(id) else { return };
        let urgency =
            if slot.state() == EndpointState::Healthy { Urgency::Ordinary } else { Urgency::Urgent };
        self.changes.push(id, &mut slot.queued, urgency);
    }
}
