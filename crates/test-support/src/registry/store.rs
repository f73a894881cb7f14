//! The registry's store: keys with revisions, history until it is compacted, leases. No sockets and no clock.

use larchdale::registry::messages::{
    request_op, Compare, Event, KeyValue, RangeRequest, RangeResponse, RequestOp, ResponseHeader, TxnRequest,
};
use std::collections::BTreeMap;

/// What a member says that has no such history any more.
pub const COMPACTED: (u32, &str) = (11, "etcdserver: mvcc: required revision has been compacted");
/// What a member says that is not there yet.
pub const FUTURE: (u32, &str) = (11, "etcdserver: mvcc: required revision is a future revision");

/// What a member says of a lease that is not there.
pub const NO_LEASE: (u32, &str) = (5, "etcdserver: requested lease not found");

/// A code of gRPC with its text.
pub type Refused = (u32, &'static str);

/// One change that was committed, for checkers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its revision.
    pub revision: i64,
    /// When, by the time last given to [`Store::expire`].
    pub at: u64,
    /// The key.
    pub key: Vec<u8>,
    /// What it became; `None`: removed.
    pub value: Option<Vec<u8>>,
    /// The lease that it ends with; 0: none.
    pub lease: i64,
}

/// All versions of all keys.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Names the cluster.
    pub cluster: u64,
    /// The present revision.
    pub revision: i64,
    compacted: i64,
    /// By key, the versions in order; one without a value is a removal.
    keys: BTreeMap<Vec<u8>, Vec<(KeyValue, bool)>>,
    log: Vec<Event>,
    /// Leases with the moment of their end and how long they last, in the caller's time.
    leases: BTreeMap<i64, (u64, u64)>,
    granted: i64,
    now: u64,
    history: Vec<Change>,
}

impl Store {
    /// An empty one.
    pub fn new(cluster: u64) -> Self {
        Store { cluster, revision: 1, ..Store::default() }
    }

    /// The head of an answer of a member that has applied up to `applied`.
    pub fn header(&self, member: u64, applied: i64) -> Option<ResponseHeader> {
        Some(ResponseHeader { cluster_id: self.cluster, member_id: member, revision: applied, raft_term: 2 })
    }

    fn write(&mut self, key: &[u8], value: Option<(Vec<u8>, i64)>) -> bool {
        let versions = self.keys.entry(key.to_vec()).or_default();
        let last = versions.last().filter(|v| v.1).map(|v| &v.0);
        let (create, version) = last.map_or((self.revision, 1), |kv| (kv.create_revision, kv.version + 1));
        let there = value.is_some();
        if !there && last.is_none() {
            return false;
        }
        let (value, lease) = value.unwrap_or_default();
        let mut kv = KeyValue {
            key: key.to_vec(),
            create_revision: create,
            mod_revision: self.revision,
            version,
            value,
            lease,
        };
        if !there {
            (kv.create_revision, kv.version) = (0, 0);
        }
        versions.push((kv.clone(), there));
        self.history.push(Change {
            revision: self.revision,
            at: self.now,
            key: key.to_vec(),
            value: there.then(|| kv.value.clone()),
            lease,
        });
        self.log.push(Event { kind: i32::from(!there), kv: Some(kv), prev_kv: None });
        true
    }

    /// Writes a key.
    pub fn put(&mut self, key: &[u8], value: &[u8], lease: i64) -> i64 {
        self.revision += 1;
        self.write(key, Some((value.to_vec(), lease)));
        self.revision
    }

    /// Removes a key, if it is there.
    pub fn delete(&mut self, key: &[u8]) -> bool {
        self.revision += 1;
        let done = self.write(key, None);
        self.revision -= i64::from(!done);
        done
    }

    /// All that was committed, in order; compaction drops nothing here.
    pub fn history(&self) -> &[Change] {
        &self.history
    }

    /// Whether a lease may be written with.
    pub fn has_lease(&self, lease: i64) -> bool {
        lease == 0 || self.leases.contains_key(&lease)
    }

    /// Writes or removes as one revision, if the compares hold. Compares versions and revisions.
    pub fn txn(&mut self, txn: &TxnRequest) -> Result<bool, Refused> {
        let lacks = |op: &RequestOp| match &op.request {
            Some(request_op::Request::Put(p)) => !self.has_lease(p.lease),
            _ => false,
        };
        if txn.success.iter().chain(&txn.failure).any(lacks) {
            return Err(NO_LEASE);
        }
        let holds = |c: &Compare| {
            let kv = self.get(&c.key, self.revision);
            let (has, wanted) = match c.target {
                0 => (kv.map(|kv| kv.version), c.version),
                1 => (kv.map(|kv| kv.create_revision), c.create_revision),
                2 => (kv.map(|kv| kv.mod_revision), c.mod_revision),
                _ => return false,
            };
            let order = has.unwrap_or(0).cmp(&wanted.unwrap_or(0));
            match c.result {
                0 => order.is_eq(),
                1 => order.is_gt(),
                2 => order.is_lt(),
                _ => order.is_ne(),
            }
        };
        let succeeded = txn.compare.iter().all(holds);
        self.revision += 1;
        let mut wrote = false;
        for op in if succeeded { &txn.success } else { &txn.failure } {
            wrote |= match &op.request {
                Some(request_op::Request::Put(p)) => self.write(&p.key, Some((p.value.clone(), p.lease))),
                Some(request_op::Request::Delete(d)) => self.write(&d.key, None),
                _ => false,
            };
        }
        self.revision -= i64::from(!wrote);
        Ok(succeeded)
    }

    /// Drops what was overwritten or removed before a revision.
    pub fn compact(&mut self, revision: i64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        let at = self.compacted;
        self.keys.retain(|_, versions| {
            let keep = versions.iter().rposition(|v| v.0.mod_revision <= at).unwrap_or(0);
            versions.drain(..keep);
            versions.len() > 1 || versions.first().is_some_and(|v| v.1 || v.0.mod_revision > at)
        });
        self.log.retain(|e| e.kv.as_ref().is_some_and(|kv| kv.mod_revision >= at));
    }

    /// Makes a lease that lasts so long. No number is used twice.
    pub fn grant(&mut self, now: u64, lasts: u64) -> i64 {
        self.granted += 1;
        self.leases.insert(self.granted, (now + lasts, lasts));
        self.granted
    }

    /// Keeps a lease alive; how long it lasts from now on, if it is there.
    pub fn keep_alive(&mut self, now: u64, lease: i64) -> Option<u64> {
        let (until, lasts) = self.leases.get_mut(&lease)?;
        *until = now + *lasts;
        Some(*lasts)
    }

    /// Ends a lease, and the keys with it; `false`: there is none.
    pub fn revoke(&mut self, lease: i64) -> bool {
        let there = self.leases.remove(&lease).is_some();
        let ends =
            |v: &Vec<(KeyValue, bool)>| v.last().is_some_and(|(kv, there)| *there && kv.lease == lease);
        let keys: Vec<Vec<u8>> =
            self.keys.iter().filter(|k| there && ends(k.1)).map(|k| k.0.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
        there
    }

    /// Ends the leases that are over, and the keys with them.
    pub fn expire(&mut self, now: u64) {
        self.now = now;
        let over: Vec<i64> = self.leases.iter().filter(|l| l.1 .0 <= now).map(|l| *l.0).collect();
        for lease in over {
            self.revoke(lease);
        }
    }

    fn get(&self, key: &[u8], revision: i64) -> Option<&KeyValue> {
        let versions = self.keys.get(key)?;
        versions.iter().rev().find(|v| v.0.mod_revision <= revision).filter(|v| v.1).map(|v| &v.0)
    }

    /// Reads a range, as a member does that has applied up to `applied`.
    pub fn range(&self, r: &RangeRequest, member: u64, applied: i64) -> Result<RangeResponse, Refused> {
        let at = if r.revision == 0 { applied } else { r.revision };
        if at > applied {
            return Err(FUTURE);
        }
        if at < self.compacted {
            return Err(COMPACTED);
        }
        let inside = |k: &[u8]| {
            if r.range_end.is_empty() {
                k == r.key
            } else {
                k >= &r.key[..] && (r.range_end == [0] || k < &r.range_end[..])
            }
        };
        let keys = self.keys.range(r.key.clone()..).take_while(|k| inside(k.0));
        let there: Vec<&KeyValue> = keys.filter_map(|k| self.get(k.0, at)).collect();
        let limit = if r.limit == 0 { there.len() } else { r.limit as usize };
        let mut kvs: Vec<KeyValue> = there.iter().take(limit).map(|kv| (*kv).clone()).collect();
        if r.keys_only {
            kvs.iter_mut().for_each(|kv| kv.value.clear());
        }
        let (count, more) = (there.len() as i64, there.len() > limit);
        if r.count_only {
            kvs.clear();
        }
        Ok(RangeResponse { header: self.header(member, applied), kvs, more: more && !r.count_only, count })
    }

    /// The changes from one revision up to another in a range that begins with `prefix`.
    pub fn changes(&self, prefix: &[u8], from: i64, to: i64) -> Result<Vec<Event>, i64> {
        if from < self.compacted {
            return Err(self.compacted);
        }
        let revision = |e: &Event| e.kv.as_ref().map_or(0, |kv| kv.mod_revision);
        let start = self.log.partition_point(|e| revision(e) < from);
        let wanted = |e: &&Event| e.kv.as_ref().is_some_and(|kv| kv.key.starts_with(prefix));
        Ok(self.log[start..].iter().take_while(|e| revision(e) <= to).filter(wanted).cloned().collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_reads_the_past_until_that_is_compacted() {
        let mut store = Store::new(7);
        let first = store.put(b"/a", b"1", 0);
        let second = store.put(b"/a", b"2", 0);
        assert!(store.delete(b"/a") && !store.delete(b"/a"));
        let all = |revision| RangeRequest {
            key: b"/".into(),
            range_end: b"0".into(),
            revision,
            ..Default::default()
        };
        let value = |s: &Store, at| {
            s.range(&all(at), 1, s.revision).map(|r| r.kvs.first().map(|kv| kv.value.clone()))
        };
        assert_eq!(value(&store, first), Ok(Some(b"1".to_vec())));
        assert_eq!(value(&store, 0), Ok(None));
        assert_eq!(store.changes(b"/", second, 9).unwrap().len(), 2);
        store.compact(second + 1);
        assert_eq!(value(&store, first), Err(COMPACTED));
        assert_eq!(store.changes(b"/", second, 9), Err(second + 1));
        assert!(store.keys.is_empty(), "removed and compacted");
        let lease = store.grant(40, 10);
        store.put(b"/b", b"3", lease);
        store.expire(49);
        assert_eq!(value(&store, 0), Ok(Some(b"3".to_vec())));
        store.expire(50);
        assert_eq!(value(&store, 0), Ok(None));
    }
}
