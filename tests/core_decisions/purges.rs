//! Decisions of purges in force with small capacities, of recent purges, and of the purge log that an instance follows.

use crate::digest::{expect, Digest};
use larchdale::purges::log::{append, Action, Head, LogError, Notice, PurgeLog, Settings, ENTRIES};
use larchdale::purges::recent::RecentPurges;
use larchdale::purges::{Capacity, InvalidPurge, Purge, PurgeScope, PurgesInForce, RequestedObject};
use larchdale::routing::events::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::sync::Arc;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const PATTERNS: [&str; 7] = ["scan-*", "*-1", "scan-[0-4]", "{scan,clip}-7", "*", "scan-[", "clip-?"];

fn tag(number: u64) -> Arc<str> {
    format!("t{number}").into()
}

fn random_scope(rng: &mut Pcg32) -> PurgeScope {
    match rng.random_range(0..8) {
        0..3 => PurgeScope::Object(rng.random_range(0..30)),
        3..5 => PurgeScope::Group(rng.random_range(0..8)),
        5..7 => PurgeScope::Tag(tag(rng.random_range(0..20))),
        _ => PurgeScope::Pattern(PATTERNS[rng.random_range(0..PATTERNS.len())].into()),
    }
}

fn write_scope(digest: &mut Digest, scope: &PurgeScope) {
    match scope {
        PurgeScope::Object(object) => {
            digest.tag(1);
            digest.number(*object);
        }
        PurgeScope::Group(group) => {
            digest.tag(2);
            digest.number(*group);
        }
        PurgeScope::Tag(tag) => {
            digest.tag(3);
            digest.text(tag);
        }
        PurgeScope::Pattern(pattern) => {
            digest.tag(4);
            digest.text(pattern);
        }
    }
}

fn in_force(seed: u64) -> u64 {
    let (mut rng, mut digest, mut covered_count) = (Pcg32::seed_from_u64(seed), Digest::new(), 0);
    let capacity = Capacity { objects: 9, tags: 6, patterns: 3 };
    let mut states = [PurgesInForce::new(capacity), PurgesInForce::new(capacity)];
    let (mut recent, mut now) = (RecentPurges::default(), 1_000);
    for number in 0..3_000 {
        now += rng.random_range(0..10);
        let at = rng.random_range(0..2);
        match rng.random_range(0..20) {
            0 => {
                let other = states[1 - at].clone();
                states[at].merge(&other);
            }
            1..5 => states[at].expire(now),
            5 if rng.random_ratio(1, 10) => states[at].add_unreadable(now, now + 40),
            6 => recent.set_staleness_bound(rng.random_bool(0.3).then(|| rng.random_range(0..90))),
            7..14 => {
                let scopes = (0..rng.random_range(0..4)).map(|_| random_scope(&mut rng)).collect();
                let until = now + rng.random_range(0..300);
                let purge =
                    Purge { number, purged_at: now - rng.random_range(0..50), expires_at: until, scopes };
                let refused = states[at].apply(&purge).err();
                digest.option(refused, |digest, unusable| {
                    digest.tag(match unusable {
                        InvalidPurge::ScopeCount(_) => 1,
                        InvalidPurge::Tag(_) => 2,
                        InvalidPurge::Pattern(..) => 3,
                        InvalidPurge::Expiry => 4,
                    });
                });
                let object = rng.random_bool(0.5).then(|| rng.random_range(0..30));
                recent.record(object, rng.random_range(0..8), purge.purged_at, until);
            }
            _ => recent.advance_clock(now),
        }
        for state in &states {
            state.counts().into_iter().for_each(|count| digest.count(count));
            for _ in 0..4 {
                let object = rng.random_range(0..30);
                let name = format!("{}-{}", ["scan", "clip"][rng.random_range(0..2)], object % 9);
                let tags: Vec<_> =
                    (0..rng.random_range(0..3)).map(|_| tag(rng.random_range(0..20))).collect();
                let tags = rng.random_bool(0.8).then_some(&tags[..]);
                let requested = RequestedObject { object, group: object % 8, name: &name, tags };
                let void_before = state.void_before(&requested, now);
                covered_count += usize::from(void_before.is_some());
                digest.option(void_before, Digest::number);
                digest.option(recent.latest_purge(object, object % 8), Digest::number);
            }
        }
    }
    assert!(covered_count > 1_000, "too few lookups are covered by a purge: {covered_count}");
    digest.finish()
}

fn write_error(digest: &mut Digest, error: &LogError) {
    match error {
        LogError::Unreadable { key } => {
            digest.tag(1);
            digest.text(key);
        }
        LogError::Format { key, format } => {
            digest.tag(2);
            digest.text(key);
            digest.tag(*format);
        }
        LogError::OutOfOrder { key, .. } => {
            digest.tag(3);
            digest.text(key);
        }
        LogError::Removed { key } => {
            digest.tag(4);
            digest.text(key);
        }
        LogError::ScopeCount { scopes } => {
            digest.tag(5);
            digest.count(*scopes);
        }
        LogError::Full => digest.tag(6),
    }
}

fn write_action(digest: &mut Digest, action: &Action) {
    match action {
        Action::Purge(scope, unix_ms) => {
            digest.tag(1);
            write_scope(digest, scope);
            digest.number(*unix_ms);
        }
        Action::SetStalenessBound(age) => {
            digest.tag(2);
            digest.option(*age, Digest::number);
        }
        Action::ClearLocalCache => digest.tag(3),
        Action::Notify(Notice::CutOff) => digest.tag(4),
        Action::Notify(Notice::Current { after }) => {
            digest.tag(5);
            digest.number(*after);
        }
        Action::Notify(Notice::Missed { from, to, void }) => {
            digest.tag(6);
            digest.number(*from);
            digest.number(*to);
            digest.flag(*void);
        }
        Action::Notify(Notice::Rewritten { known, written: there }) => {
            digest.tag(7);
            digest.number(*known);
            digest.number(*there);
        }
        Action::Notify(Notice::Unusable(error)) => {
            digest.tag(8);
            write_error(digest, error);
        }
    }
}

/// A log in the registry: its head, its entries, and the keys that changed since the instance last read them.
#[derive(Default)]
struct Ring {
    head: Option<Vec<u8>>,
    entries: BTreeMap<String, Vec<u8>>,
    changed: Vec<String>,
}

impl Ring {
    fn append(&mut self, unix_ms: u64, scopes: Vec<PurgeScope>, digest: &mut Digest) {
        match append(self.head.as_deref(), unix_ms, scopes) {
            Ok((entry, [head, written])) => {
                digest.number(entry.number);
                digest.number(entry.when_ms);
                digest.text(&written.0);
                digest.bytes(&written.1);
                digest.bytes(&head.1);
                self.head = Some(head.1);
                let key = written.0[ENTRIES.len()..].to_owned();
                self.entries.insert(key.clone(), written.1);
                self.changed.push(key);
            }
            Err(error) => write_error(digest, &error),
        }
    }

    /// Corrupts the log in a way that no correct writer does.
    fn corrupt(&mut self, rng: &mut Pcg32) {
        let Some(key) = self.entries.keys().nth(rng.random_range(0..40)).cloned() else { return };
        match rng.random_range(0..5) {
            0 => drop(self.entries.remove(&key)),
            1 => self.entries.entry(key.clone()).or_default().truncate(3),
            2 => self.entries.entry(key.clone()).or_default()[0] = 9,
            3 => *self = Ring::default(),
            _ => {}
        }
        self.changed.push(key);
    }
}

fn log(seed: u64) -> u64 {
    let (mut rng, mut digest, mut ring) = (Pcg32::seed_from_u64(seed), Digest::new(), Ring::default());
    let (mut now, mut unix_ms, mut confirmed) = (1_000 * S, 1_800_000_000_000, None);
    let settings = Settings::new(Vec::new(), "/p/");
    let mut log = PurgeLog::new(&settings, 12 * S, now);
    for _ in 0..5_000 {
        let elapsed_ms = rng.random_range(0..150);
        (now, unix_ms) = (now + elapsed_ms * MS, unix_ms + elapsed_ms);
        let mut actions = Vec::new();
        match rng.random_range(0..60) {
            0..16 => {
                let scopes = (0..rng.random_range(1..4)).map(|_| random_scope(&mut rng)).collect();
                let issuer_ms = unix_ms + rng.random_range(0..400) - 200;
                ring.append(issuer_ms, scopes, &mut digest);
            }
            16 => ring.append(unix_ms, Vec::new(), &mut digest),
            17 if rng.random_ratio(1, 5) => ring.corrupt(&mut rng),
            18 if rng.random_ratio(1, 5) => drop(ring.changed.pop()),
            19 if rng.random_ratio(1, 10) => log.set_propagation_time(rng.random_range(5..20) * S),
            20 if rng.random_ratio(1, 5) => (now, unix_ms) = (now + 3 * S, unix_ms + 3_000),
            21 if rng.random_ratio(1, 20) => {
                log = PurgeLog::new(&settings, 12 * S, now);
                ring.changed = ring.entries.keys().cloned().collect();
                confirmed = None;
            }
            22..40 => {
                let mut keys = std::mem::take(&mut ring.changed);
                keys.sort();
                keys.dedup();
                let entry = |key: &String| ring.entries.get(key).cloned();
                let entries: Vec<_> = keys.iter().map(|key| (key.as_str(), entry(key))).collect();
                let changes = entries.iter().map(|(key, value)| (*key, value.as_deref()));
                log.apply_changes(now, unix_ms, changes, &mut actions);
                confirmed = Some(now);
            }
            _ => {}
        }
        log.update_confirmation(now, confirmed, &mut actions);
        digest.number(now);
        actions.iter().for_each(|action| write_action(&mut digest, action));
        digest.number(log.last_number());
        digest.flag(log.is_current());
        digest.flag(log.is_bounded());
        digest.option(log.bound_tightened_at(), Digest::number);
        digest.option(log.void_before(), Digest::number);
        digest.number(log.next_deadline());
        let counters = log.counters();
        [counters.entries, counters.missed, counters.unusable, counters.cut_offs]
            .into_iter()
            .for_each(|counter| digest.number(counter));
    }
    let counters = log.counters();
    assert!(
        counters.entries + log.last_number() > 30 && Head::default().number == 0,
        "too few entries were applied: {counters:?}"
    );
    digest.finish()
}

#[test]
fn decisions_of_purges_in_force_match_the_recorded_hashes() {
    expect(
        "the purges in force",
        in_force,
        &[0x9f8f43af471d2f2f, 0x7f07a22284c31fd9, 0xb332743adf4da59f, 0xdfe4a44a4b2412ca],
    );
}

#[test]
fn decisions_of_the_purge_log_match_the_recorded_hashes() {
    expect(
        "the purge log",
        log,
        &[0xa023c9d3fa119788, 0x2eb83f1af3f9f85e, 0x6281fea94778279d, 0x790e52f4a18ea7e3],
    );
}
