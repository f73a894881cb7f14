//! What the control machines hold: one store, its count of keys by revision, and answers that many ask for, written
//! once.

use larchdale::purges::log::{append, SLOTS};
use larchdale::purges::PurgeScope;
use larchdale::registry::messages::{KeyValue, RangeRequest, RangeResponse, ResponseHeader, WatchResponse};
use larchdale_test_support::registry::store::{Refused, Store};
use prost::Message;
use rustc_hash::FxHashMap;
use std::rc::Rc;

/// Keys below it are followed.
pub const PREFIX: &str = "/larchdale/scale/";
/// Pages that are kept written.
const MOST_PAGES: usize = 512;

/// A page by the revision it is of, its first key and its limit.
type PageName = (i64, Vec<u8>, i64);

/// See the module.
pub struct Registry {
    store: Store,
    slots: usize,
    value: Vec<u8>,
    /// The head of the purge log, where commits are purges.
    head: Option<Vec<u8>>,
    purge_log: bool,
    /// Keys there are, by revision from 1 on. [`Store::range`] would walk over all keys for each count.
    counts: Vec<i64>,
    /// Pages without their heads, and how many keys follow.
    pages: FxHashMap<PageName, Rc<[u8]>>,
}

/// Bytes of a message.
pub fn written(message: &impl Message) -> Rc<[u8]> {
    message.encode_to_vec().into()
}

impl Registry {
    /// One whose ring of so many slots is full; `purge_log`: each commit is a purge of one object, and the ring that of
    /// the log, whatever `slots` and `value_bytes` say.
    pub fn new(slots: usize, value_bytes: usize, purge_log: bool) -> Self {
        let mut registry = Registry {
            store: Store::new(0x1a5c_da1e),
            slots: if purge_log { SLOTS as usize } else { slots },
            value: vec![b'v'; value_bytes],
            head: None,
            purge_log,
            counts: vec![0, 0],
            pages: FxHashMap::default(),
        };
        (0..registry.slots).for_each(|_| _ = registry.commit(1));
        registry
    }

    /// The latest revision.
    pub fn revision(&self) -> i64 {
        self.store.revision
    }

    /// Writes the next slot of the ring, at a Unix millisecond; the revision of that.
    pub fn commit(&mut self, unix_ms: u64) -> i64 {
        // Revision 1 is the empty store's.
        let written = (self.store.revision - 1) as usize;
        if self.purge_log {
            // The head lies outside of what is followed.
            let object = PurgeScope::Object((written as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let Ok((_, [head, entry])) = append(self.head.as_deref(), unix_ms, vec![object]) else {
                return self.store.revision;
            };
            self.head = Some(head.1);
            let revision = self.store.put(format!("{PREFIX}{}", entry.0).as_bytes(), &entry.1, 0);
            self.counts.push((written + 1).min(self.slots) as i64);
            return revision;
        }
        let slot = written % self.slots;
        let text = format!("{written:016x}");
        self.value.iter_mut().zip(text.bytes()).for_each(|(v, t)| *v = t);
        let key = format!("{PREFIX}log/{slot:04}");
        let revision = self.store.put(key.as_bytes(), &self.value, 0);
        self.counts.push((written + 1).min(self.slots) as i64);
        revision
    }

    /// The head of a machine's answer.
    pub fn header(&self, machine: usize, applied: i64) -> Option<ResponseHeader> {
        // Members of a real cluster have numbers of 64 bits.
        let mut header = self.store.header(0x8e9e_05c5_2164_694d ^ machine as u64, applied)?;
        header.cluster_id = 0xcdf8_181e_3277_8a4d;
        Some(header)
    }

    /// The answer to a count.
    pub fn count(&self, machine: usize, applied: i64) -> Rc<[u8]> {
        let count = self.counts.get(applied as usize).copied().unwrap_or(0);
        written(&RangeResponse { header: self.header(machine, applied), count, ..RangeResponse::default() })
    }

    /// A page of a list.
    pub fn page(
        &mut self,
        request: &RangeRequest,
        machine: usize,
        applied: i64,
    ) -> Result<Rc<[u8]>, Refused> {
        let at = if request.revision == 0 { applied } else { request.revision };
        let name = (at, request.key.clone(), request.limit);
        if !self.pages.contains_key(&name) || at > applied {
            let page = self.store.range(request, machine as u64, applied)?;
            if self.pages.len() >= MOST_PAGES {
                self.pages.clear();
            }
            self.pages.insert(name.clone(), written(&RangeResponse { header: None, ..page }));
        }
        // Fields of a message may be written one after the other: the head, then all else.
        let head = RangeResponse { header: self.header(machine, applied), ..RangeResponse::default() };
        let mut bytes = head.encode_to_vec();
        bytes.extend_from_slice(self.pages.get(&name).map_or(&[], |p| p));
        Ok(bytes.into())
    }

    /// The changes of some revisions as a watch tells them.
    pub fn changes(&self, machine: usize, from: i64, applied: i64) -> Rc<[u8]> {
        let events = self.store.changes(PREFIX.as_bytes(), from, applied).unwrap_or_default();
        let header = self.header(machine, applied);
        written(&WatchResponse { header, watch_id: 1, events, ..WatchResponse::default() })
    }

    /// The word that a watch is made.
    pub fn created(&self, machine: usize, applied: i64) -> Rc<[u8]> {
        let header = self.header(machine, applied);
        written(&WatchResponse { header, watch_id: 1, created: true, ..WatchResponse::default() })
    }

    /// The word of how far all watches are.
    pub fn progress(&self, machine: usize, applied: i64) -> Rc<[u8]> {
        written(&WatchResponse {
            header: self.header(machine, applied),
            watch_id: -1,
            ..WatchResponse::default()
        })
    }

    /// All keys as they are now, for tests.
    pub fn all(&self) -> Vec<KeyValue> {
        let request = RangeRequest {
            key: PREFIX.into(),
            range_end: larchdale::registry::keys::range_end(PREFIX.as_bytes()),
            ..RangeRequest::default()
        };
        self.store.range(&request, 0, self.store.revision).map(|r| r.kvs).unwrap_or_default()
    }
}
