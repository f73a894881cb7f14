//! Which copies an instance accepts, compared with all committed purges, when messages are late, repeated or lost.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const S: Micros = 1_000_000;
const PROPAGATION_TIME: Micros = 12 * S;
/// Start time of the tests; `T0_UNIX_MS` is the same time in Unix milliseconds.
const T0: Micros = 1_000 * S;
const T0_UNIX_MS: u64 = 1_800_000_000_000;

fn settings() -> Settings {
    Settings::new(Vec::new(), "/p/")
}

fn unix_ms(now: Micros) -> u64 {
    T0_UNIX_MS + (now - T0) / MS
}

/// The log in the registry: head and ring.
#[derive(Clone, Default)]
struct Ring {
    head: Option<Vec<u8>>,
    entries: BTreeMap<String, Vec<u8>>,
    /// For each purge its commit time, its object, and the creation time from which a copy is acceptable, in Unix
    /// milliseconds.
    committed: Vec<(Micros, u64, u64)>,
}

impl Ring {
    fn purge(&mut self, now: Micros, object: u64) -> String {
        self.purge_at(now, unix_ms(now), object)
    }

    fn purge_at(&mut self, now: Micros, issuer_ms: u64, object: u64) -> String {
        let (entry, [head, new]) =
            append(self.head.as_deref(), issuer_ms, vec![PurgeScope::Object(object)]).unwrap();
        self.committed.push((now, object, entry.when_ms));
        self.head = Some(head.1);
        let key = new.0.strip_prefix(ENTRIES).unwrap().to_owned();
        self.entries.insert(key.clone(), new.1);
        key
    }
}

/// An instance that carries out the actions of its [`PurgeLog`].
struct Follower {
    log: PurgeLog,
    read_entries: BTreeMap<String, Vec<u8>>,
    /// Time of the latest purge by object, in microseconds of the instance's clock.
    purged: BTreeMap<u64, Micros>,
    bound: Option<Micros>,
    local_cache_clears: usize,
    notices: Vec<Notice>,
}

impl Follower {
    fn new() -> Self {
        let log = PurgeLog::new(&settings(), PROPAGATION_TIME, T0);
        let mut follower = Follower {
            log,
            read_entries: BTreeMap::new(),
            purged: BTreeMap::new(),
            bound: None,
            local_cache_clears: 0,
            notices: Vec::new(),
        };
        follower.confirm(T0, None);
        follower
    }

    fn take(&mut self, now: Micros, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Purge(PurgeScope::Object(object), when_ms) => {
                    let age = unix_ms(now).saturating_sub(when_ms) * MS;
                    let at = self.purged.entry(object).or_default();
                    *at = (*at).max(now - age);
                }
                Action::Purge(..) => panic!("only objects are purged here"),
                Action::SetStalenessBound(bound) => self.bound = bound,
                Action::ClearLocalCache => self.local_cache_clears += 1,
                Action::Notify(notice) => self.notices.push(notice),
            }
        }
    }

    /// Passes all changes of the ring to the log and confirms them.
    fn sync(&mut self, now: Micros, ring: &Ring) {
        let keys: Vec<&String> = ring.entries.keys().chain(self.read_entries.keys()).collect();
        let changed: BTreeMap<&str, Option<&[u8]>> = keys
            .into_iter()
            .filter(|k| ring.entries.get(*k) != self.read_entries.get(*k))
            .map(|k| (k.as_str(), ring.entries.get(k).map(Vec::as_slice)))
            .collect();
        let mut actions = Vec::new();
        if !changed.is_empty() || self.log.last.is_none() {
            self.log.apply_changes(now, unix_ms(now), changed, &mut actions);
        }
        self.read_entries = ring.entries.clone();
        self.log.update_confirmation(now, Some(now), &mut actions);
        self.take(now, actions);
    }

    fn confirm(&mut self, now: Micros, at: Option<Micros>) {
        let mut actions = Vec::new();
        self.log.update_confirmation(now, at, &mut actions);
        self.take(now, actions);
    }

    /// Returns the creation time of the oldest copy of an object that would be accepted.
    fn oldest_accepted(&self, now: Micros, object: u64) -> Micros {
        let purged = self.purged.get(&object).copied().unwrap_or(0);
        purged.max(self.bound.map_or(0, |age| now.saturating_sub(age)))
    }

    /// Returns a purge that must be in force and is not.
    fn find_unenforced_purge(&self, now: Micros, ring: &Ring) -> Option<(Micros, u64, u64)> {
        let must_be_enforced = |c: &&(Micros, u64, u64)| {
            now >= c.0 + settings().max_staleness + MS && now < c.0 + PROPAGATION_TIME
        };
        let due = ring.committed.iter().filter(must_be_enforced);
        due.copied().find(|c| self.oldest_accepted(now, c.1) < T0 + (c.2 - T0_UNIX_MS) * MS)
    }
}

#[test]
fn new_instance_is_cut_off_until_it_has_read_the_log_and_then_enforces_every_purge() {
    let (mut ring, mut follower) = (Ring::default(), Follower::new());
    assert_eq!((follower.bound, follower.log.is_current()), (Some(S), false));
    follower.confirm(T0 + MS, Some(T0));
    assert!(!follower.log.is_current(), "a confirmation does not count before the log was read");
    ring.purge(T0, 7);
    follower.sync(T0 + 10 * MS, &ring);
    assert_eq!((follower.bound, follower.log.is_current(), follower.log.last_number()), (None, true, 1));
    assert!(follower.oldest_accepted(T0 + 10 * MS, 7) >= T0, "the purge time includes the clock skew");
    assert_eq!(follower.oldest_accepted(T0 + 10 * MS, 8), 0);
    let mut empty = Follower::new();
    empty.sync(T0 + MS, &Ring::default());
    assert!(empty.log.is_current(), "an empty log means that nothing was purged");
}

#[test]
fn staleness_bound_is_set_without_confirmations_and_lifted_after_missed_purges_are_applied() {
    let (mut ring, mut follower) = (Ring::default(), Follower::new());
    follower.sync(T0, &ring);
    assert_eq!(follower.log.next_deadline(), T0 + S + 1, "the cut-off needs no message");
    follower.confirm(T0 + S, None);
    assert_eq!(follower.bound, None);
    follower.confirm(T0 + S + 1, None);
    assert_eq!((follower.bound, follower.log.bound_tightened_at()), (Some(S), Some(T0 + S + 1)));
    ring.purge(T0 + 2 * S, 7);
    follower.sync(T0 + 5 * S, &ring);
    assert_eq!((follower.bound, follower.log.counters().cut_offs), (None, 1));
    assert!(follower.oldest_accepted(T0 + 5 * S, 7) >= T0 + 2 * S);
    let current_again = Notice::Current { after: 4 * S - 1 };
    assert_eq!(follower.notices, [Notice::Current { after: 0 }, Notice::CutOff, current_again]);
}

#[test]
fn overwritten_entries_void_older_copies_for_the_propagation_time_and_always_clear_the_local_cache() {
    for (elapsed, void) in [(S, true), (PROPAGATION_TIME + S, false)] {
        let (mut ring, mut follower) = (Ring::default(), Follower::new());
        follower.sync(T0, &ring);
        let purged_at = T0 + S;
        (0..SLOTS + 5).for_each(|n| drop(ring.purge(purged_at, n)));
        let now = purged_at + elapsed;
        follower.sync(now, &ring);
        assert_eq!(follower.local_cache_clears, 1, "endpoints do not drop the copies of the local cache");
        assert_eq!(follower.notices.last(), Some(&Notice::Missed { from: 1, to: 5, void }));
        assert_eq!(follower.bound.is_some(), void);
        if void {
            assert!(
                follower.oldest_accepted(now, 0) >= purged_at
                    && follower.oldest_accepted(now, u64::MAX) >= purged_at
            );
        }
        assert_eq!(follower.log.counters().missed, 5);
        // The bound grows with time, and ends after the propagation time.
        follower.confirm(now + 2 * S, Some(now + 2 * S));
        assert!(follower.bound.is_none_or(|b| b >= 2 * S));
        follower.confirm(now + PROPAGATION_TIME, Some(now + PROPAGATION_TIME));
        assert_eq!(follower.bound, None);
    }
}

#[test]
fn new_instance_skips_entries_older_than_the_propagation_time() {
    let (mut ring, mut follower) = (Ring::default(), Follower::new());
    (0..3 * SLOTS).for_each(|n| drop(ring.purge(T0, n)));
    follower.sync(T0 + PROPAGATION_TIME + S, &ring);
    assert_eq!((follower.bound, follower.purged.len(), follower.log.last_number()), (None, 0, 3 * SLOTS));
    // If the ring does not reach back that far, copies older than an overwritten purge may remain.
    let mut follower = Follower::new();
    follower.sync(T0 + S, &ring);
    assert!(follower.oldest_accepted(T0 + S, 0) >= T0 && follower.bound.is_some());
}

#[test]
fn unusable_entry_voids_all_older_copies_for_the_propagation_time() {
    type Corruption = fn(&mut Ring);
    let corruptions: [(&str, Corruption); 7] = [
        ("unreadable", |r| drop(r.entries.insert(slot_key(2), b"\x01no entry".to_vec()))),
        ("empty", |r| drop(r.entries.insert(slot_key(2), Vec::new()))),
        ("a later format", |r| drop(r.entries.insert(slot_key(2), vec![9, 1, 1]))),
        ("a key of another number", |r| {
            let other = r.entries[&slot_key(1)].clone();
            r.entries.insert(slot_key(3), other);
        }),
        ("removed", |r| drop(r.entries.remove(&slot_key(1)))),
        ("a tag, whose objects the instance does not know", |r| {
            let (_, [head, new]) =
                append(r.head.as_deref(), unix_ms(T0 + S), vec![PurgeScope::Tag("t".into())]).unwrap();
            r.head = Some(head.1);
            r.entries.insert(slot_key(2), new.1);
        }),
        ("started again", |r| {
            r.head = None;
            r.purge(T0 + S, 99);
        }),
    ];
    for (case, corrupt) in corruptions {
        let (mut ring, mut follower) = (Ring::default(), Follower::new());
        ring.purge(T0, 1);
        follower.sync(T0 + MS, &ring);
        assert_eq!(follower.bound, None);
        corrupt(&mut ring);
        let now = T0 + S + MS;
        follower.sync(now, &ring);
        assert!(
            follower.bound.is_some() && follower.oldest_accepted(now, 4_242) >= T0 + S - 250 * MS,
            "{case}"
        );
        assert!(follower.local_cache_clears > 0, "{case}");
        follower.sync(now + PROPAGATION_TIME + S, &ring);
        assert_eq!(follower.bound, None, "{case}: the bound ends");
    }
}

#[test]
fn append_rejects_invalid_scope_counts_unreadable_heads_and_a_full_log() {
    assert_eq!(append(None, 1, Vec::new()).unwrap_err(), LogError::ScopeCount { scopes: 0 });
    let too_many_scopes = vec![PurgeScope::Object(1); MAX_ENTRY_SCOPES + 1];
    assert_eq!(
        append(None, 1, too_many_scopes).unwrap_err(),
        LogError::ScopeCount { scopes: MAX_ENTRY_SCOPES + 1 }
    );
    let unreadable_head = LogError::Unreadable { key: HEAD.into() };
    assert_eq!(append(Some(b""), 1, vec![PurgeScope::Object(1)]).unwrap_err(), unreadable_head);
    let last = encode(&Head { number: u64::MAX, when_ms: 5 });
    assert_eq!(append(Some(&last), 1, vec![PurgeScope::Object(1)]).unwrap_err(), LogError::Full);
    // The times of the log do not decrease if an issuer's clock is behind.
    let head = encode(&Head { number: 4, when_ms: 500 });
    let (entry, [_, (key, _)]) = append(Some(&head), 300, vec![PurgeScope::Group(3)]).unwrap();
    assert_eq!((entry.number, entry.when_ms, key.as_str()), (5, 500, "log/0005"));
}

#[derive(Clone, Debug)]
enum Step {
    Purge(u64),
    /// Many purges at once, so that the ring overwrites some before they are read.
    Burst(u16),
    Sync,
    Pass(Micros),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6u64).prop_map(Step::Purge),
        1 => (900..1_300u16).prop_map(Step::Burst),
        4 => Just(Step::Sync),
        4 => (1..3_000u64).prop_map(|ms| Step::Pass(ms * MS)),
        1 => Just(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(proptest::test_runner::Config { cases: 96, ..crate::net::testing::config() })]
    /// With late or missing messages, no copy older than a purge is accepted from the staleness bound to the end of the
    /// propagation time; with no message missing, no bound is in force beyond the purges themselves.
    #[test]
    fn no_copy_older_than_a_purge_is_accepted_after_the_staleness_bound(
        steps in prop::collection::vec(step(), 1..60), issuer_lag_ms in 0..250u64,
    ) {
        let (mut ring, mut follower, mut now) = (Ring::default(), Follower::new(), T0);
        let mut synced_at = None;
        for step in steps {
            match step {
                // The issuer's clock may be behind the instance's.
                Step::Purge(object) => drop(ring.purge_at(now, unix_ms(now) - issuer_lag_ms.min((now - T0) / MS), object)),
                Step::Burst(count) => (0..count).for_each(|n| drop(ring.purge(now, 10 + u64::from(n)))),
                Step::Sync => {
                    follower.sync(now, &ring);
                    synced_at = Some(now);
                }
                Step::Pass(span) => {
                    // The caller runs the log at each deadline.
                    let until = now + span;
                    while now < until {
                        now = follower.log.next_deadline().clamp(now + 1, until);
                        follower.confirm(now, None);
                        prop_assert_eq!(follower.find_unenforced_purge(now, &ring), None);
                    }
                }
                Step::Restart => {
                    follower = Follower::new();
                    follower.confirm(now, None);
                    synced_at = None;
                }
            }
            prop_assert_eq!(follower.find_unenforced_purge(now, &ring), None);
            follower.confirm(now, None);
            prop_assert!(follower.log.next_deadline() > now, "an immediate deadline would cause a busy loop");
            let current = synced_at.is_some_and(|at| now <= at + settings().max_staleness);
            prop_assert_eq!(follower.log.is_current(), current);
            if current && follower.log.void_before().is_none() {
                prop_assert_eq!(follower.bound, None);
            }
        }
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic_and_are_applied_or_set_a_bound(
        key in ".{0,6}", bytes in prop::collection::vec(any::<u8>(), 0..80),
    ) {
        let mut follower = Follower::new();
        follower.sync(T0, &Ring::default());
        let ring = Ring { entries: [(key, bytes)].into(), ..Ring::default() };
        follower.sync(T0 + S, &ring);
        prop_assert!(follower.log.counters().entries == 1 || follower.bound.is_some());
    }
}
