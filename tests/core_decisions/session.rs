//! The decisions of the registry session against a store that commits, compacts, lags, loses connections and is
//! replaced. A random run per seed is hashed and compared with the recorded digest.

use crate::digest::{expect, Digest};
use larchdale::config::product::RegistrySettings as Settings;
use larchdale::registry::answers::{Decoder, KeyEntry, MessageError};
use larchdale::registry::keys::range_end;
use larchdale::registry::messages::{RangeRequest, WatchResponse};
use larchdale::registry::record::{Names, State};
use larchdale::registry::session::{Action, DisconnectReason, Notice, SavedList, Session, StartTime, Update};
use larchdale::registry::status::Status;
use larchdale::routing::events::Micros;
use larchdale_test_support::registry::Store;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;

const PREFIX: &str = "/d/";
const ENDPOINTS: u16 = 3;
const STEPS: usize = 6_000;
const MS: Micros = 1_000;

/// A request of the session that the registry has not answered yet.
enum PendingRequest {
    Range { call: u64, request: RangeRequest },
    Watch { watch: i64, from: i64 },
    Progress,
}

/// A random run of a session against a simulated registry.
struct Run {
    rng: Pcg32,
    now: Micros,
    session: Session,
    store: Store,
    /// Number of revisions by which the connected member lags behind the store.
    lag: i64,
    dialing: Option<u64>,
    connection: Option<u64>,
    pending: VecDeque<PendingRequest>,
    /// The open watches, each with the next revision that it reports.
    watches: Vec<(i64, i64)>,
    /// Id of the latest cluster.
    latest_cluster: u64,
    /// Sums of the counters `lists`, `changes` and `doubted` over the earlier sessions.
    totals: [u64; 3],
    digest: Digest,
}

fn settings(page_size: usize) -> Settings {
    let endpoints = (1..=ENDPOINTS).map(|port| ([127, 0, 0, 1], port).into()).collect();
    Settings { page_size, max_keys: 24, ..Settings::new(endpoints, PREFIX) }
}

fn decoder() -> Decoder {
    let names = Names {
        kinds: vec!["hub".to_owned(), "box".to_owned()],
        zones: vec!["a".to_owned(), "b".to_owned()],
    };
    Decoder { prefix: PREFIX.to_owned(), names, max_value_bytes: 300 }
}

impl Run {
    fn new(seed: u64) -> Self {
        Run {
            rng: Pcg32::seed_from_u64(seed),
            now: 1_000 * MS,
            session: Session::new(settings(5), seed + 100, 1_000 * MS),
            store: Store::new(7),
            lag: 0,
            dialing: None,
            connection: None,
            pending: VecDeque::new(),
            watches: Vec::new(),
            latest_cluster: 7,
            totals: [0; 3],
            digest: Digest::new(),
        }
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_ratio(1, one_in)
    }

    /// Returns the revision that the connected member has applied.
    fn applied(&self) -> i64 {
        (self.store.revision - self.lag).max(1)
    }

    /// Puts or deletes a random key in the registry.
    fn commit(&mut self) {
        let key = format!("{PREFIX}b{}", self.rng.random_range(0..26));
        let state = ["ready", "draining"][self.rng.random_range(0..2)];
        let kind = ["hub", "box", "box", "barrel"][self.rng.random_range(0..4)];
        let port = self.rng.random_range(1..9);
        let started_ms = self.rng.random_range(0..3) * 50;
        let record = format!(
            r#"{{"address": "127.0.0.1:{port}", "kind": "{kind}", "zone": "a", "state": "{state}",
                "weight": 1.5, "cell": 2, "started_ms": {started_ms}}}"#
        );
        match self.rng.random_range(0..12) {
            0..4 => drop(self.store.delete(key.as_bytes())),
            4 => drop(self.store.put(format!("{PREFIX}no id").as_bytes(), record.as_bytes(), 0)),
            _ => drop(self.store.put(key.as_bytes(), record.as_bytes(), 0)),
        }
    }

    /// Replaces the registry by one of another cluster, or restores the same cluster at a lower revision.
    fn replace_registry(&mut self) {
        self.latest_cluster += u64::from(self.rng.random_bool(0.5));
        self.store = Store::new(self.latest_cluster);
        (0..8).for_each(|_| self.commit());
        self.lose_connection();
    }

    fn lose_connection(&mut self) {
        if let Some(connection) = self.connection.take().or(self.dialing.take()) {
            self.pending.clear();
            self.watches.clear();
            self.apply_input(|session, now, actions| session.lost(now, connection, actions));
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(0..30) * MS;
        if self.chance(40) {
            self.now = self.now.max(self.session.next_due());
        }
        match self.rng.random_range(0..400) {
            0..90 => self.apply_input(|session, now, actions| session.tick(now, actions)),
            90..240 => self.respond(),
            240..300 => self.commit(),
            300..380 => self.send_events(),
            380..384 => self.lose_connection(),
            384..387 => self.store.compact(self.store.revision),
            387..390 => self.lag = self.rng.random_range(0..4) * self.rng.random_range(0..4),
            390 if self.chance(3) => self.replace_registry(),
            391 => {
                let error = MessageError::UnexpectedKeys;
                self.apply_input(|session, now, actions| session.invalid_message(now, error, actions));
            }
            392 => {
                let code = [2, 8, 11, 14][self.rng.random_range(0..4)];
                self.watches.clear();
                let status = Status::new(code, "ended");
                self.apply_input(|session, now, actions| session.watch_ended(now, status, actions));
            }
            393 => {
                let page = self.rng.random_range(1..9);
                let mut settings = settings(page);
                if self.chance(3) {
                    settings.endpoints.rotate_left(1);
                    (self.connection, self.dialing) = (None, None);
                    self.pending.clear();
                    self.watches.clear();
                }
                self.apply_input(|session, now, actions| session.reconfigure(settings, now, actions));
            }
            394 if self.chance(3) => self.restart(),
            _ => {}
        }
    }

    /// Adds the counters of the current session to the totals.
    fn add_counters(&mut self) {
        let counters = self.session.counters();
        let new = [counters.lists, counters.changes, counters.doubted];
        self.totals.iter_mut().zip(new).for_each(|(sum, count)| *sum += count);
    }

    /// Starts a new session with the list that the old one would have saved.
    fn restart(&mut self) {
        self.add_counters();
        let saved = self.session.saved_list().map(|SavedList { cluster, revision, mut entries }| {
            entries.sort_by(|a: &KeyEntry, b: &KeyEntry| a.key.cmp(&b.key));
            SavedList { cluster, revision, entries }
        });
        (self.connection, self.dialing) = (None, None);
        self.pending.clear();
        self.watches.clear();
        self.session = Session::new(settings(4), self.now, self.now);
        self.apply_input(|session, _, _| saved.into_iter().for_each(|saved| session.resume(saved)));
    }

    /// Completes the dial in progress, or responds to the oldest pending request.
    fn respond(&mut self) {
        if let Some(connection) = self.dialing.take() {
            self.connection = Some(connection);
            return self.apply_input(|session, now, actions| session.dialed(now, connection, actions));
        }
        let applied = self.applied();
        let header = self.store.header(1, applied);
        match self.pending.pop_front() {
            Some(PendingRequest::Range { call, .. }) if self.rng.random_ratio(1, 60) => {
                let code = [2, 4, 8, 11, 14][self.rng.random_range(0..5)];
                let status = Status::new(code, "unavailable");
                self.apply_input(|session, now, actions| session.call_failed(now, call, status, actions));
            }
            Some(PendingRequest::Range { call, request }) => match self.store.range(&request, 1, applied) {
                Ok(response) => {
                    let page = decoder().page(&response, &request.key).unwrap();
                    self.apply_input(|session, now, actions| match request.count_only {
                        true => session.count_received(now, call, page.header, page.count, actions),
                        false => session.page_received(now, call, page, actions),
                    });
                }
                Err((code, text)) => {
                    let status = Status::new(code, text);
                    self.apply_input(|session, now, actions| session.call_failed(now, call, status, actions));
                }
            },
            Some(PendingRequest::Watch { watch, from }) => {
                self.watches.push((watch, from));
                self.send_watch_message(WatchResponse {
                    header,
                    watch_id: watch,
                    created: true,
                    ..Default::default()
                });
            }
            Some(PendingRequest::Progress) => {
                self.send_events();
                self.send_watch_message(WatchResponse { header, watch_id: -1, ..Default::default() });
            }
            None => {}
        }
    }

    /// Sends the pending events of each watch, in one message or in fragments, and some messages twice.
    fn send_events(&mut self) {
        let applied = self.applied();
        let header = self.store.header(1, applied);
        for (watch, from) in std::mem::take(&mut self.watches) {
            let response = WatchResponse { header, watch_id: watch, ..WatchResponse::default() };
            match self.store.changes(PREFIX.as_bytes(), from, applied) {
                Err(compact_revision) => {
                    self.send_watch_message(WatchResponse { canceled: true, compact_revision, ..response });
                }
                Ok(events) => {
                    let size = self.rng.random_range(1..8);
                    let count = events.chunks(size).count();
                    for (index, chunk) in events.chunks(size).enumerate() {
                        let fragment = index + 1 < count;
                        let message = WatchResponse { events: chunk.to_vec(), fragment, ..response.clone() };
                        if self.chance(9) {
                            self.send_watch_message(message.clone());
                        }
                        self.send_watch_message(message);
                    }
                    self.watches.push((watch, from.max(applied + 1)));
                }
            }
        }
    }

    fn send_watch_message(&mut self, response: WatchResponse) {
        let message = decoder().watch_message(&response).unwrap();
        self.apply_input(|session, now, actions| session.watch_message(now, message, actions));
    }

    /// Passes an input to the session, performs the resulting actions, and adds the outputs and the state to the digest.
    fn apply_input(&mut self, input: impl FnOnce(&mut Session, Micros, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        input(&mut self.session, self.now, &mut actions);
        self.digest.number(self.now);
        for action in actions {
            self.perform(action);
        }
        // Keys that a list lacks are removed in the order of a hash map, which may vary.
        let mut updates: Vec<Update> = self.session.take_updates(usize::MAX).collect();
        updates.sort_by(|a, b| endpoint_id(a).cmp(endpoint_id(b)));
        updates.iter().for_each(|update| digest_update(&mut self.digest, update));
        let (session, digest) = (&self.session, &mut self.digest);
        digest.number(session.next_due());
        digest.number(session.revision());
        digest.option(session.confirmed(), Digest::number);
        digest.flag(session.is_watching());
        digest.flag(session.is_applying_list());
        digest.count(session.keys());
        let counters = session.counters();
        let counters = [
            counters.dials,
            counters.lost,
            counters.lists,
            counters.changes,
            counters.repeated,
            counters.unreadable,
            counters.doubted,
        ];
        counters.into_iter().for_each(|count| digest.number(count));
    }

    fn perform(&mut self, action: Action) {
        let digest = &mut self.digest;
        match action {
            Action::Dial { connection, endpoint } => {
                digest.tag(1);
                digest.number(connection);
                digest.count(endpoint);
                self.dialing = Some(connection);
            }
            Action::Disconnect { connection } => {
                digest.tag(2);
                digest.number(connection);
                (self.connection, self.dialing) = (None, None);
                self.pending.clear();
                self.watches.clear();
            }
            Action::List { call, from, revision, limit, keys_only } => {
                digest.tag(3);
                digest.number(call);
                digest.bytes(&from);
                digest.number(revision);
                digest.count(limit);
                digest.flag(keys_only);
                let request = RangeRequest {
                    key: from,
                    range_end: range_end(PREFIX.as_bytes()),
                    limit: limit as i64,
                    revision: revision as i64,
                    keys_only,
                    ..RangeRequest::default()
                };
                self.pending.push_back(PendingRequest::Range { call, request });
            }
            Action::Count { call } => {
                digest.tag(4);
                digest.number(call);
                let request = RangeRequest {
                    key: PREFIX.into(),
                    range_end: range_end(PREFIX.as_bytes()),
                    count_only: true,
                    ..RangeRequest::default()
                };
                self.pending.push_back(PendingRequest::Range { call, request });
            }
            Action::Watch { watch, revision } => {
                digest.tag(5);
                digest.signed(watch);
                digest.number(revision);
                self.pending.push_back(PendingRequest::Watch { watch, from: revision as i64 });
            }
            Action::CancelWatch { watch } => {
                digest.tag(6);
                digest.signed(watch);
                self.watches.retain(|(number, _)| *number != watch);
            }
            Action::RequestProgress => {
                digest.tag(7);
                self.pending.push_back(PendingRequest::Progress);
            }
            Action::Notify(notice) => {
                digest.tag(8);
                digest_notice(digest, &notice);
            }
        }
    }
}

fn endpoint_id(update: &Update) -> &str {
    match update {
        Update::Put { id, .. } | Update::Unreadable(id) | Update::Removed(id) => id,
    }
}

fn digest_update(digest: &mut Digest, update: &Update) {
    digest.text(endpoint_id(update));
    match update {
        Update::Put { endpoint, process, start, .. } => {
            digest.tag(1);
            digest.text(&endpoint.address.to_string());
            digest.tag(match endpoint.state {
                State::Ready => 1,
                State::Draining => 2,
            });
            digest.number(u64::from(endpoint.kind));
            digest.count(endpoint.zone);
            digest.number(u64::from(endpoint.cell));
            digest.float(endpoint.weight);
            digest.number(endpoint.started_ms);
            digest.number(*process);
            digest.tag(match start {
                StartTime::Recorded => 1,
                StartTime::RecordedOrNow => 2,
                StartTime::Unknown => 3,
            });
        }
        Update::Unreadable(_) => digest.tag(2),
        Update::Removed(_) => digest.tag(3),
    }
}

fn digest_notice(digest: &mut Digest, notice: &Notice) {
    match notice {
        Notice::ListTaken { revision, keys, changes, took } => {
            digest.tag(1);
            digest.number(*revision);
            digest.count(*keys);
            digest.count(*changes);
            digest.number(*took);
        }
        Notice::Disconnected { endpoint, reason } => {
            digest.tag(2);
            digest.count(*endpoint);
            digest.tag(match reason {
                DisconnectReason::Unreachable => 1,
                DisconnectReason::ConnectionLost => 2,
                DisconnectReason::TimedOut => 3,
                DisconnectReason::CallFailed(_) => 4,
                DisconnectReason::InvalidMessage(_) => 5,
                DisconnectReason::StateRejected => 6,
                DisconnectReason::TooManyKeys => 7,
                DisconnectReason::Compacted => 8,
            });
        }
        Notice::Compacted { revision } => {
            digest.tag(3);
            digest.number(*revision);
        }
        Notice::Relisting(_) => digest.tag(4),
        Notice::MemberBehind { endpoint, revision, accepted } => {
            digest.tag(5);
            digest.count(*endpoint);
            digest.number(*revision);
            digest.number(*accepted);
        }
        Notice::OtherCluster { endpoint, cluster } => {
            digest.tag(6);
            digest.count(*endpoint);
            digest.number(*cluster);
        }
        Notice::Restored { cluster, revision, accepted } => {
            digest.tag(7);
            digest.number(*cluster);
            digest.number(*revision);
            digest.number(*accepted);
        }
        Notice::UnreadableRecord { key, revision, .. } => {
            digest.tag(8);
            digest.bytes(key);
            digest.number(*revision);
        }
        Notice::TooManyKeys { keys, max_keys } => {
            digest.tag(9);
            digest.number(*keys);
            digest.count(*max_keys);
        }
    }
}

/// Returns the digest of the run with this seed.
fn run_digest(seed: u64) -> u64 {
    let mut run = Run::new(seed);
    (0..12).for_each(|_| run.commit());
    (0..STEPS).for_each(|_| run.step());
    run.add_counters();
    let [lists, changes, doubted] = run.totals;
    assert!(lists > 20 && changes > 200 && doubted > 5, "too few events: {:?}", run.totals);
    run.digest.finish()
}

#[test]
fn session_decisions_match_the_recorded_digests() {
    expect(
        "the registry session",
        run_digest,
        &[0x2987a7e153be8cfd, 0xcc796c26278e3dc1, 0xae30cbeae9256c68, 0x09bb6a68d259289e],
    );
}
