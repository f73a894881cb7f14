//! What an instance may still be given, against all purges that were committed: whatever came late, twice or never.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const S: Micros = 1_000_000;
const LINGERS: Micros = 12 * S;
/// Where the tests begin, and the Unix millisecond of that moment.
const T0: Micros = 1_000 * S;
const UNIX: u64 = 1_800_000_000_000;

fn settings() -> Settings {
    Settings::new(Vec::new(), "/p/")
}

fn unix_ms(now: Micros) -> u64 {
    UNIX + (now - T0) / MS
}

/// The registry's side: head and ring.
#[derive(Clone, Default)]
struct Ring {
    head: Option<Vec<u8>>,
    entries: BTreeMap<String, Vec<u8>>,
    /// When each purge was committed, its object and the moment from which on a copy will do, in Unix milliseconds.
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

/// An instance's side: what the log told it, as the module and its own copies would take it.
struct Told {
    log: PurgeLog,
    seen: BTreeMap<String, Vec<u8>>,
    /// By object the latest moment, in microseconds of the clock.
    purged: BTreeMap<u64, Micros>,
    bound: Option<Micros>,
    own_voided: usize,
    said: Vec<Notice>,
}

impl Told {
    fn new() -> Self {
        let log = PurgeLog::new(&settings(), LINGERS, T0);
        let mut told = Told {
            log,
            seen: BTreeMap::new(),
            purged: BTreeMap::new(),
            bound: None,
            own_voided: 0,
            said: Vec::new(),
        };
        told.confirm(T0, None);
        told
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
                Action::ClearLocalCache => self.own_voided += 1,
                Action::Notify(notice) => self.said.push(notice),
            }
        }
    }

    /// The mirror now shows the ring as it is.
    fn sync(&mut self, now: Micros, ring: &Ring) {
        let keys: Vec<&String> = ring.entries.keys().chain(self.seen.keys()).collect();
        let changed: BTreeMap<&str, Option<&[u8]>> = keys
            .into_iter()
            .filter(|k| ring.entries.get(*k) != self.seen.get(*k))
            .map(|k| (k.as_str(), ring.entries.get(k).map(Vec::as_slice)))
            .collect();
        let mut actions = Vec::new();
        if !changed.is_empty() || self.log.last.is_none() {
            self.log.apply_changes(now, unix_ms(now), changed, &mut actions);
        }
        self.seen = ring.entries.clone();
        self.log.update_confirmation(now, Some(now), &mut actions);
        self.take(now, actions);
    }

    fn confirm(&mut self, now: Micros, at: Option<Micros>) {
        let mut actions = Vec::new();
        self.log.update_confirmation(now, at, &mut actions);
        self.take(now, actions);
    }

    /// The oldest moment from which a copy of an object would be accepted.
    fn accepts(&self, now: Micros, object: u64) -> Micros {
        let purged = self.purged.get(&object).copied().unwrap_or(0);
        purged.max(self.bound.map_or(0, |age| now.saturating_sub(age)))
    }

    /// Whether any purge that has to be in force is not.
    fn lax(&self, now: Micros, ring: &Ring) -> Option<(Micros, u64, u64)> {
        let binds =
            |c: &&(Micros, u64, u64)| now >= c.0 + settings().max_staleness + MS && now < c.0 + LINGERS;
        let due = ring.committed.iter().filter(binds);
        due.copied().find(|c| self.accepts(now, c.1) < T0 + (c.2 - UNIX) * MS)
    }
}

#[test]
fn a_new_instance_vouches_for_nothing_until_it_has_read_the_log_and_then_for_all_of_it() {
    let (mut ring, mut told) = (Ring::default(), Told::new());
    assert_eq!((told.bound, told.log.is_current()), (Some(S), false));
    told.confirm(T0 + MS, Some(T0));
    assert!(!told.log.is_current(), "nothing was read, whatever is confirmed");
    ring.purge(T0, 7);
    told.sync(T0 + 10 * MS, &ring);
    assert_eq!((told.bound, told.log.is_current(), told.log.last_number()), (None, true, 1));
    assert!(told.accepts(T0 + 10 * MS, 7) >= T0, "a margin for clocks on top");
    assert_eq!(told.accepts(T0 + 10 * MS, 8), 0);
    let mut empty = Told::new();
    empty.sync(T0 + MS, &Ring::default());
    assert!(empty.log.is_current(), "an empty log says that nothing was purged");
}

#[test]
fn silence_alone_makes_it_strict_at_the_bound_and_a_word_lifts_that_after_what_was_missed_is_in_force() {
    let (mut ring, mut told) = (Ring::default(), Told::new());
    told.sync(T0, &ring);
    assert_eq!(told.log.next_deadline(), T0 + S + 1, "it knows by itself when it is cut off");
    told.confirm(T0 + S, None);
    assert_eq!(told.bound, None);
    told.confirm(T0 + S + 1, None);
    assert_eq!((told.bound, told.log.bound_tightened_at()), (Some(S), Some(T0 + S + 1)));
    ring.purge(T0 + 2 * S, 7);
    told.sync(T0 + 5 * S, &ring);
    assert_eq!((told.bound, told.log.counters().cut_offs), (None, 1));
    assert!(told.accepts(T0 + 5 * S, 7) >= T0 + 2 * S);
    let vouched = Notice::Current { after: 4 * S - 1 };
    assert_eq!(told.said, [Notice::Current { after: 0 }, Notice::CutOff, vouched]);
}

#[test]
fn what_the_ring_lost_voids_all_older_copies_while_they_may_linger_and_own_ones_always() {
    for (since, void) in [(S, true), (LINGERS + S, false)] {
        let (mut ring, mut told) = (Ring::default(), Told::new());
        told.sync(T0, &ring);
        let began = T0 + S;
        (0..SLOTS + 5).for_each(|n| drop(ring.purge(began, n)));
        let now = began + since;
        told.sync(now, &ring);
        assert_eq!(told.own_voided, 1, "own copies are not dropped by depots");
        assert_eq!(told.said.last(), Some(&Notice::Missed { from: 1, to: 5, void }));
        assert_eq!(told.bound.is_some(), void);
        if void {
            assert!(told.accepts(now, 0) >= began && told.accepts(now, u64::MAX) >= began);
        }
        assert_eq!(told.log.counters().missed, 5);
        // The bound follows the floor, looser with time, and ends once nothing that old is left.
        told.confirm(now + 2 * S, Some(now + 2 * S));
        assert!(told.bound.is_none_or(|b| b >= 2 * S));
        told.confirm(now + LINGERS, Some(now + LINGERS));
        assert_eq!(told.bound, None);
    }
}

#[test]
fn a_long_ring_of_old_entries_costs_a_new_instance_nothing() {
    let (mut ring, mut told) = (Ring::default(), Told::new());
    (0..3 * SLOTS).for_each(|n| drop(ring.purge(T0, n)));
    told.sync(T0 + LINGERS + S, &ring);
    assert_eq!((told.bound, told.purged.len(), told.log.last_number()), (None, 0, 3 * SLOTS));
    // Where it does not reach back far enough, what it lost may still linger.
    let mut told = Told::new();
    told.sync(T0 + S, &ring);
    assert!(told.accepts(T0 + S, 0) >= T0 && told.bound.is_some());
}

#[test]
fn what_cannot_be_used_counts_as_a_purge_of_everything() {
    type Spoil = fn(&mut Ring);
    let spoils: [(&str, Spoil); 7] = [
        ("unreadable", |r| drop(r.entries.insert(slot(2), b"\x01no entry".to_vec()))),
        ("empty", |r| drop(r.entries.insert(slot(2), Vec::new()))),
        ("a later format", |r| drop(r.entries.insert(slot(2), vec![9, 1, 1]))),
        ("a key of another number", |r| {
            let other = r.entries[&slot(1)].clone();
            r.entries.insert(slot(3), other);
        }),
        ("removed", |r| drop(r.entries.remove(&slot(1)))),
        ("a tag, and which objects have it is not known", |r| {
            let (_, [head, new]) =
                append(r.head.as_deref(), unix_ms(T0 + S), vec![PurgeScope::Tag("t".into())]).unwrap();
            r.head = Some(head.1);
            r.entries.insert(slot(2), new.1);
        }),
        ("begun anew", |r| {
            r.head = None;
            r.purge(T0 + S, 99);
        }),
    ];
    for (what, spoil) in spoils {
        let (mut ring, mut told) = (Ring::default(), Told::new());
        ring.purge(T0, 1);
        told.sync(T0 + MS, &ring);
        assert_eq!(told.bound, None);
        spoil(&mut ring);
        let now = T0 + S + MS;
        told.sync(now, &ring);
        assert!(told.bound.is_some() && told.accepts(now, 4_242) >= T0 + S - 250 * MS, "{what}");
        assert!(told.own_voided > 0, "{what}");
        told.sync(now + LINGERS + S, &ring);
        assert_eq!(told.bound, None, "{what}: it is over");
    }
}

#[test]
fn entries_that_break_the_rules_of_the_log_are_not_appended() {
    assert_eq!(append(None, 1, Vec::new()).unwrap_err(), LogError::Covers { covers: 0 });
    let most = vec![PurgeScope::Object(1); MAX_ENTRY_SCOPES + 1];
    assert_eq!(append(None, 1, most).unwrap_err(), LogError::Covers { covers: MAX_ENTRY_SCOPES + 1 });
    let spoilt = LogError::Unreadable { key: HEAD.into() };
    assert_eq!(append(Some(b""), 1, vec![PurgeScope::Object(1)]).unwrap_err(), spoilt);
    let last = encode(&Head { number: u64::MAX, when_ms: 5 });
    assert_eq!(append(Some(&last), 1, vec![PurgeScope::Object(1)]).unwrap_err(), LogError::Full);
    // An issuer whose clock is behind does not take the log's moments back.
    let head = encode(&Head { number: 4, when_ms: 500 });
    let (entry, [_, (key, _)]) = append(Some(&head), 300, vec![PurgeScope::Group(3)]).unwrap();
    assert_eq!((entry.number, entry.when_ms, key.as_str()), (5, 500, "log/0005"));
}

#[derive(Clone, Debug)]
enum Step {
    Purge(u64),
    /// Purges at once, so that the ring overwrites some before they are seen.
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
    /// Whatever is heard late or never: from the bound on, no copy older than a purge is accepted while it may linger;
    /// and where all is heard, nothing but what was purged is held to any bound.
    #[test]
    fn no_copy_older_than_a_purge_is_accepted_once_the_bound_has_passed(
        steps in prop::collection::vec(step(), 1..60), skewed in 0..250u64,
    ) {
        let (mut ring, mut told, mut now) = (Ring::default(), Told::new(), T0);
        let mut synced = None;
        for step in steps {
            match step {
                // The issuer's clock may be behind.
                Step::Purge(object) => drop(ring.purge_at(now, unix_ms(now) - skewed.min((now - T0) / MS), object)),
                Step::Burst(many) => (0..many).for_each(|n| drop(ring.purge(now, 10 + u64::from(n)))),
                Step::Sync => {
                    told.sync(now, &ring);
                    synced = Some(now);
                }
                Step::Pass(span) => {
                    // The owner comes back when the log asked for it.
                    let until = now + span;
                    while now < until {
                        now = told.log.next_deadline().clamp(now + 1, until);
                        told.confirm(now, None);
                        prop_assert_eq!(told.lax(now, &ring), None);
                    }
                }
                Step::Restart => {
                    told = Told::new();
                    told.confirm(now, None);
                    synced = None;
                }
            }
            prop_assert_eq!(told.lax(now, &ring), None);
            told.confirm(now, None);
            prop_assert!(told.log.next_deadline() > now, "it asks for no turn at once: that would be a busy loop");
            let current = synced.is_some_and(|at| now <= at + settings().max_staleness);
            prop_assert_eq!(told.log.is_current(), current);
            if current && told.log.void_before().is_none() {
                prop_assert_eq!(told.bound, None);
            }
        }
    }

    #[test]
    fn any_bytes_are_read_without_a_panic_and_make_nothing_laxer(
        key in ".{0,6}", bytes in prop::collection::vec(any::<u8>(), 0..80),
    ) {
        let mut told = Told::new();
        told.sync(T0, &Ring::default());
        let ring = Ring { entries: [(key, bytes)].into(), ..Ring::default() };
        told.sync(T0 + S, &ring);
        prop_assert!(told.log.counters().entries == 1 || told.bound.is_some());
    }
}
