//! The endpoints' keys as of the last list or watch event, the recent deletions that identify late events, and the
//! resulting updates of the list of endpoints.

use super::outputs::{StartTime, Update};
use crate::registry::answers::KeyEntry;
use crate::registry::record::EndpointRecord;
use crate::routing::events::Id;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of deletions that are remembered.
const MAX_DELETIONS: usize = 4_096;
/// Number of low bits of a process number that hold the create revision; the bits above hold the number of restores.
const CREATE_REVISION_BITS: u32 = 48;

/// The origin of an entry. It determines what is known about the start of the endpoint's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// A snapshot, which may be long out of date.
    Snapshot,
    /// The first list of this session.
    FirstList,
    /// A later list or a watch event.
    Update,
    /// The first list after the registry was restored or replaced. Its revisions can't be compared with earlier ones.
    RestoredList,
}

/// The last known state of one key.
#[derive(Clone, Debug)]
pub(super) struct KnownKey {
    create_revision: u64,
    pub(super) mod_revision: u64,
    process: u64,
    id: Option<Id>,
    endpoint: Option<Arc<EndpointRecord>>,
    /// Number of the last list that contained the key; 0 if only a snapshot contained it.
    list: u64,
}

impl KnownKey {
    /// Returns whether a new entry of this key belongs to the same process as the known one.
    fn is_same_process(
        &self,
        create_revision: u64,
        endpoint: Option<&EndpointRecord>,
        source: Source,
    ) -> bool {
        if source != Source::RestoredList {
            return self.create_revision == create_revision;
        }
        // Revisions from before and after a restore can't be compared, so address and start time identify the process.
        let identity = |endpoint: &EndpointRecord| (endpoint.address, endpoint.started_ms);
        self.endpoint.is_some() && self.endpoint.as_deref().map(identity) == endpoint.map(identity)
    }
}

/// The known keys, the recent deletions and the pending updates of the list of endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointTable {
    pub(super) keys: FxHashMap<Arc<[u8]>, KnownKey>,
    pub(super) deletions: Deletions,
    updates: VecDeque<Update>,
    /// How often the registry was restored or replaced during this session.
    restores: u64,
    /// Number of the latest list whose application has begun.
    list: u64,
}

impl EndpointTable {
    pub(super) fn updates(&self) -> &VecDeque<Update> {
        &self.updates
    }

    pub(super) fn take_updates(&mut self, max_updates: usize) -> impl Iterator<Item = Update> + '_ {
        let count = max_updates.min(self.updates.len());
        self.updates.drain(..count)
    }

    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(super) fn contains(&self, key: &Arc<[u8]>) -> bool {
        self.keys.contains_key(key)
    }

    /// Returns the entries for a snapshot: those with a usable record.
    pub(super) fn saved_entries(&self) -> impl Iterator<Item = KeyEntry> + '_ {
        self.keys.iter().filter_map(|(key, known)| {
            Some(KeyEntry {
                id: known.id.clone(),
                key: key.clone(),
                create_revision: known.create_revision,
                mod_revision: known.mod_revision,
                endpoint: Ok(known.endpoint.clone()?),
            })
        })
    }

    /// Begins the application of a new list.
    pub(super) fn begin_list(&mut self, is_restored: bool) {
        if is_restored {
            self.restores += 1;
            self.deletions = Deletions::default();
        }
        self.list += 1;
    }

    /// Returns whether an entry of a list changes the table.
    pub(super) fn is_change(&self, entry: &KeyEntry, source: Source) -> bool {
        // A key that only a snapshot contained is reported again, because the list confirms it.
        let is_newer = |known: &KnownKey| known.mod_revision < entry.mod_revision || known.list == 0;
        source == Source::RestoredList || self.keys.get(&entry.key).is_none_or(is_newer)
    }

    /// Applies an entry of the current list.
    pub(super) fn put_listed(&mut self, entry: KeyEntry, source: Source) {
        let key = entry.key.clone();
        if self.is_change(&entry, source) {
            self.put(entry, source);
        }
        if let Some(known) = self.keys.get_mut(&key) {
            known.list = self.list;
        }
    }

    /// Ends the application of the current list: deletes the keys that the list lacks.
    pub(super) fn end_list(&mut self, revision: u64) {
        let unlisted = self.keys.iter().filter(|(_, known)| known.list != self.list);
        let deleted: Vec<Arc<[u8]>> = unlisted.map(|(key, _)| key.clone()).collect();
        deleted.iter().for_each(|key| self.delete(key, revision));
    }

    /// Stores the current state of a key and queues the resulting update.
    pub(super) fn put(&mut self, entry: KeyEntry, source: Source) {
        let KeyEntry { id, key, create_revision, mod_revision, endpoint } = entry;
        let endpoint = endpoint.ok();
        let same_process = self
            .keys
            .get(&key)
            .filter(|known| known.is_same_process(create_revision, endpoint.as_deref(), source))
            .map(|known| known.process);
        let process = same_process.unwrap_or_else(|| self.process_number(create_revision));
        let start = match (source, same_process) {
            (Source::Snapshot, _) => StartTime::Unknown,
            (Source::Update | Source::RestoredList, None) => StartTime::RecordedOrNow,
            _ => StartTime::Recorded,
        };
        if let Some(id) = id.clone() {
            self.updates.push_back(match endpoint.clone() {
                Some(endpoint) => Update::Put { id, endpoint, process, start },
                None => Update::Unreadable(id),
            });
        }
        let known = KnownKey { create_revision, mod_revision, process, id, endpoint, list: self.list };
        self.keys.insert(key, known);
    }

    /// Deletes a key, queues the resulting update and remembers the revision of the deletion.
    pub(super) fn delete(&mut self, key: &Arc<[u8]>, revision: u64) {
        let known = self.keys.remove(key);
        self.updates.extend(known.and_then(|known| known.id).map(Update::Removed));
        self.deletions.insert(key.clone(), revision);
    }

    /// Returns the revision of the latest known change or deletion of a key; `None` if neither is known.
    pub(super) fn latest_revision(&self, key: &Arc<[u8]>) -> Option<u64> {
        let changed = self.keys.get(key).map(|known| known.mod_revision);
        changed.max(self.deletions.revisions.get(key).copied())
    }

    fn process_number(&self, create_revision: u64) -> u64 {
        (self.restores << CREATE_REVISION_BITS) | (create_revision & ((1 << CREATE_REVISION_BITS) - 1))
    }
}

/// The latest deletions. Without them, a late event from before a deletion would restore the deleted key.
#[derive(Clone, Debug, Default)]
pub(super) struct Deletions {
    pub(super) revisions: FxHashMap<Arc<[u8]>, u64>,
    /// Keys in order of deletion. An entry is valid only while `revisions` has the same revision for its key.
    order: VecDeque<(Arc<[u8]>, u64)>,
}

impl Deletions {
    /// Removes the deletion of a key that exists again.
    pub(super) fn remove(&mut self, key: &Arc<[u8]>) {
        self.revisions.remove(key);
    }

    fn insert(&mut self, key: Arc<[u8]>, revision: u64) {
        if self.revisions.insert(key.clone(), revision).is_none() && self.revisions.len() > MAX_DELETIONS {
            self.remove_oldest();
        }
        self.order.push_back((key, revision));
        if self.order.len() > 2 * MAX_DELETIONS {
            let revisions = &self.revisions;
            self.order.retain(|(key, revision)| revisions.get(key) == Some(revision));
        }
    }

    fn remove_oldest(&mut self) {
        while let Some((key, revision)) = self.order.pop_front() {
            if self.revisions.get(&key) == Some(&revision) {
                self.revisions.remove(&key);
                break;
            }
        }
    }
}
