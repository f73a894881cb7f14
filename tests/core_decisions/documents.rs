//! Digests the decisions of the documents' mirror and calls, with a simulated registry that commits, compacts, lags,
//! loses responses and closes connections.

use crate::digest::{expect, Digest};
use larchdale::registry::documents::{
    Action, Caller, Condition, Documents, DocumentsError, Notice, Outcome, Reply, Request, Rpc, Settings,
    Transaction,
};
use larchdale::registry::messages::{
    watch_request, LeaseGrantResponse, LeaseKeepAliveResponse, LeaseRevokeResponse, RangeRequest,
    TxnResponse, WatchResponse,
};
use larchdale::registry::status::Status;
use larchdale::routing::events::Micros;
use larchdale_test_support::registry::Store;
use prost::Message;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;

const PREFIX: &str = "/d/";
const STEPS: usize = 8_000;
const MS: Micros = 1_000;

/// A request in flight to the registry, with the id of its call.
enum PendingRequest {
    Range(u64, RangeRequest),
    Watch(u64, i64),
    Progress(u64),
    Call(u64, Rpc),
}

/// Random simulation of the documents and a registry.
struct Simulation {
    rng: Pcg32,
    now: Micros,
    documents: Documents,
    store: Store,
    /// Number of revisions by which the connected member lags.
    lag: i64,
    dialing: Option<u64>,
    connection: Option<u64>,
    pending: VecDeque<PendingRequest>,
    /// Id of the watch's call, and the next revision to report.
    watch: Option<(u64, i64)>,
    submitted: u64,
    leases: Vec<i64>,
    replies: usize,
    digest: Digest,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let settings = Settings {
            max_keys: 20,
            max_bytes: 2_400,
            page_size: 4,
            max_calls: 6,
            ..Settings::new(3, PREFIX)
        };
        Simulation {
            rng: Pcg32::seed_from_u64(seed),
            now: 0,
            documents: Documents::new(settings, seed + 100, 0),
            store: Store::new(7),
            lag: 0,
            dialing: None,
            connection: None,
            pending: VecDeque::new(),
            watch: None,
            submitted: 0,
            leases: vec![99],
            replies: 0,
            digest: Digest::new(),
        }
    }

    fn key(&mut self) -> String {
        format!("k{}", self.rng.random_range(0..22))
    }

    fn value(&mut self) -> Vec<u8> {
        vec![self.rng.random(); self.rng.random_range(0..80)]
    }

    /// Another client changes a random key.
    fn commit(&mut self) {
        let (key, value) = (format!("{PREFIX}{}", self.key()), self.value());
        if self.rng.random_bool(0.5) {
            self.store.delete(key.as_bytes());
        } else {
            self.store.put(key.as_bytes(), &value, 0);
        }
    }

    fn clear_connection(&mut self) {
        (self.connection, self.dialing, self.watch) = (None, None, None);
        self.pending.clear();
    }

    fn lose_connection(&mut self) {
        if let Some(connection) = self.connection.or(self.dialing) {
            self.clear_connection();
            self.handle(|documents, now, actions| documents.lost(now, connection, actions));
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(0..40) * MS;
        if self.rng.random_ratio(1, 25) {
            self.now = self.now.max(self.documents.next_due());
        }
        match self.rng.random_range(0..400) {
            0..90 => self.handle(|documents, now, actions| documents.tick(now, actions)),
            90..230 => self.respond(),
            230..270 => self.commit(),
            270..330 => self.send_changes(),
            330..384 => {
                // Sometimes submits more calls at once than may be pending.
                let calls = if self.rng.random_ratio(1, 40) { 24 } else { 1 };
                (0..calls).for_each(|_| self.submit());
            }
            384..388 => self.lose_connection(),
            388..391 => self.store.compact(self.store.revision),
            391..394 => self.lag = self.rng.random_range(0..3) * self.rng.random_range(0..3),
            394 => self.store.expire(self.now),
            395 => {
                // A member of another cluster responds until the connection is closed.
                let (cluster, connection) = (self.store.cluster, self.connection);
                self.store.cluster = 8;
                (0..6).for_each(|_| self.respond());
                self.store.cluster = cluster;
                if self.connection == connection {
                    self.lose_connection();
                }
            }
            396 => {
                if let Some((call, _)) = self.watch {
                    let noise = [self.rng.random(), 7, 200, 1, 0, 9];
                    self.handle(|documents, now, actions| {
                        documents.message_received(now, call, &noise, actions)
                    });
                }
            }
            397 => {
                if let Some((call, _)) = self.watch.take() {
                    let code = [0, 2, 8, 11][self.rng.random_range(0..4)];
                    self.end_call(call, code, "over");
                }
            }
            _ => {}
        }
    }

    fn submit(&mut self) {
        self.submitted += 1;
        let caller = if self.rng.random_ratio(1, 4) {
            Caller::Campaign(self.submitted)
        } else {
            Caller::Owner(self.submitted - self.rng.random_range(0..2).min(self.submitted - 1))
        };
        let lease = self.leases[self.rng.random_range(0..self.leases.len())];
        let request = match self.rng.random_range(0..10) {
            0 => Request::Grant(self.rng.random_range(0..5)),
            1 => Request::KeepAlive(lease),
            2 => Request::Revoke(lease),
            _ => Request::Transaction(self.transaction(), if self.rng.random_bool(0.9) { 0 } else { lease }),
        };
        let mut rejected = None;
        self.handle(|documents, now, actions| {
            rejected = documents.submit(now, caller, request, actions).err();
        });
        self.digest.option(rejected, |digest, error| write_error(digest, &error));
    }

    fn transaction(&mut self) -> Transaction {
        let mut transaction = Transaction::default();
        for _ in 0..self.rng.random_range(0..3) {
            let key = self.key();
            let known = self.documents.get(&key);
            let condition = match self.rng.random_range(0..3) {
                0 => Condition::CreateRevision(known.map_or(0, |known| known.create_revision)),
                1 => Condition::ModRevision(known.map_or(0, |known| known.mod_revision)),
                _ => Condition::ModRevision(self.rng.random_range(0..30)),
            };
            transaction.compares.push((key, condition));
        }
        for _ in 0..self.rng.random_range(0..3) {
            let put = (self.key(), self.value());
            transaction.puts.push(put);
        }
        for _ in 0..self.rng.random_range(0..2) {
            let key = self.key();
            transaction.deletes.push(key);
        }
        if self.rng.random_ratio(1, 60) {
            transaction.puts.push((String::new(), Vec::new()));
        }
        if self.rng.random_ratio(1, 60) {
            transaction.deletes.extend((0..129).map(|number| format!("x{number}")));
        }
        transaction
    }

    /// Completes the dial, or responds to the oldest request.
    fn respond(&mut self) {
        if let Some(connection) = self.dialing.take() {
            self.connection = Some(connection);
            return self.handle(|documents, now, actions| documents.dialed(now, connection, actions));
        }
        let revision = (self.store.revision - self.lag).max(1);
        let lost = self.rng.random_ratio(1, 40);
        match self.pending.pop_front() {
            Some(PendingRequest::Range(call, _) | PendingRequest::Call(call, _)) if lost => {
                let code = [2, 4, 7, 8, 14][self.rng.random_range(0..5)];
                self.end_call(call, code, ["etcdserver: busy", "busy"][usize::from(code > 7)]);
            }
            Some(PendingRequest::Range(call, request)) => match self.store.range(&request, 1, revision) {
                Ok(response) => {
                    self.receive(call, &response.encode_to_vec());
                    self.end_call(call, 0, "");
                }
                Err((code, text)) => self.end_call(call, code, text),
            },
            Some(PendingRequest::Watch(call, from)) => {
                self.watch = Some((call, from));
                let header = self.store.header(1, revision);
                let created = WatchResponse { header, watch_id: 1, created: true, ..Default::default() };
                self.receive(call, &created.encode_to_vec());
            }
            Some(PendingRequest::Progress(call)) => {
                self.send_changes();
                let header = self.store.header(1, revision);
                let progress = WatchResponse { header, watch_id: -1, ..Default::default() };
                self.receive(call, &progress.encode_to_vec());
            }
            Some(PendingRequest::Call(call, rpc)) => self.serve(call, rpc),
            None => {}
        }
    }

    fn serve(&mut self, call: u64, rpc: Rpc) {
        let response = match rpc {
            Rpc::Transaction(transaction) => match self.store.txn(&transaction) {
                Ok(succeeded) => {
                    let header = self.store.header(1, self.store.revision);
                    TxnResponse { header, succeeded }.encode_to_vec()
                }
                Err((code, text)) => return self.end_call(call, code, text),
            },
            Rpc::Grant(grant) => {
                let id = self.store.grant(self.now, grant.ttl as u64 * 1_000_000);
                self.leases.push(id);
                let header = self.store.header(1, self.store.revision);
                LeaseGrantResponse { header, id, ttl: grant.ttl, error: String::new() }.encode_to_vec()
            }
            Rpc::KeepAlive(lease) => {
                let kept = self.store.keep_alive(self.now, lease.id).map_or(0, |ttl| ttl / 1_000_000);
                let header = self.store.header(1, self.store.revision);
                LeaseKeepAliveResponse { header, id: lease.id, ttl: kept as i64 }.encode_to_vec()
            }
            Rpc::Revoke(lease) => {
                self.store.revoke(lease.id);
                LeaseRevokeResponse { header: self.store.header(1, self.store.revision) }.encode_to_vec()
            }
            Rpc::Range(_) | Rpc::Watch(_) => unreachable!("not queued as a call"),
        };
        if !self.rng.random_ratio(1, 12) {
            self.receive(call, &response);
            self.end_call(call, 0, "");
        }
    }

    /// Sends the missing changes on the watch, possibly in fragments, and sometimes repeats messages.
    fn send_changes(&mut self) {
        let Some((call, from)) = self.watch else { return };
        let revision = (self.store.revision - self.lag).max(1);
        let header = self.store.header(1, revision);
        let response = WatchResponse { header, watch_id: 1, ..WatchResponse::default() };
        match self.store.changes(PREFIX.as_bytes(), from, revision) {
            Err(compact_revision) => {
                let canceled = WatchResponse { canceled: true, compact_revision, ..response };
                self.receive(call, &canceled.encode_to_vec());
            }
            Ok(events) => {
                self.watch = Some((call, from.max(revision + 1)));
                let size = self.rng.random_range(1..6);
                let part_count = events.chunks(size).count();
                for (number, part) in events.chunks(size).enumerate() {
                    let fragment = number + 1 < part_count;
                    let part = WatchResponse { events: part.to_vec(), fragment, ..response.clone() };
                    if self.rng.random_ratio(1, 9) {
                        self.receive(call, &part.encode_to_vec());
                    }
                    self.receive(call, &part.encode_to_vec());
                }
            }
        }
    }

    fn receive(&mut self, call: u64, bytes: &[u8]) {
        self.handle(|documents, now, actions| documents.message_received(now, call, bytes, actions));
    }

    fn end_call(&mut self, call: u64, code: u32, text: &str) {
        let status = Status::new(code, text);
        self.handle(|documents, now, actions| documents.call_ended(now, call, status, actions));
    }

    /// Passes an event to the documents, executes the resulting actions, and adds actions and state to the digest.
    fn handle(&mut self, event: impl FnOnce(&mut Documents, Micros, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        event(&mut self.documents, self.now, &mut actions);
        self.digest.number(self.now);
        for action in actions {
            self.execute(action);
        }
        let replies: Vec<(Caller, Reply)> = self.documents.take_replies().collect();
        self.replies += replies.len();
        replies.iter().for_each(|(caller, reply)| write_reply(&mut self.digest, caller, reply));
        let (documents, digest) = (&mut self.documents, &mut self.digest);
        let changes = documents.take_changes();
        digest.flag(changes.all);
        changes.keys.iter().for_each(|key| digest.text(key));
        for (key, document) in documents.with_prefix("") {
            digest.text(key);
            digest.bytes(&document.value);
            [document.mod_revision, document.create_revision, document.lease]
                .into_iter()
                .for_each(|number| digest.signed(number));
        }
        digest.signed(documents.revision());
        digest.option(documents.confirmed(), Digest::number);
        digest.flag(documents.is_current(self.now));
        digest.flag(documents.is_watching());
        let (keys, bytes) = documents.size();
        digest.count(keys);
        digest.count(bytes);
        digest.number(documents.next_due());
        let counters = documents.counters();
        [counters.dials, counters.lost, counters.lists, counters.changes, counters.calls, counters.unknown]
            .into_iter()
            .for_each(|counter| digest.number(counter));
    }

    fn execute(&mut self, action: Action) {
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
                self.clear_connection();
            }
            Action::Call { call, rpc } => {
                digest.tag(3);
                digest.number(call);
                write_rpc(digest, &rpc);
                self.pending.push_back(match rpc {
                    Rpc::Range(request) => PendingRequest::Range(call, request),
                    Rpc::Watch(request) => {
                        let Some(watch_request::Request::Create(create)) = request.request else {
                            panic!("{request:?}")
                        };
                        PendingRequest::Watch(call, create.start_revision)
                    }
                    rpc => PendingRequest::Call(call, rpc),
                });
            }
            Action::Send { call, request } => {
                digest.tag(4);
                digest.number(call);
                digest.bytes(&request.encode_to_vec());
                self.pending.push_back(PendingRequest::Progress(call));
            }
            Action::Cancel { call } => {
                digest.tag(5);
                digest.number(call);
            }
            Action::Notify(notice) => {
                digest.tag(6);
                write_notice(digest, &notice);
            }
        }
    }
}

fn write_rpc(digest: &mut Digest, rpc: &Rpc) {
    let (tag, bytes) = match rpc {
        Rpc::Range(request) => (1, request.encode_to_vec()),
        Rpc::Watch(request) => (2, request.encode_to_vec()),
        Rpc::Transaction(request) => (3, request.encode_to_vec()),
        Rpc::Grant(request) => (4, request.encode_to_vec()),
        Rpc::KeepAlive(request) => (5, request.encode_to_vec()),
        Rpc::Revoke(request) => (6, request.encode_to_vec()),
    };
    digest.tag(tag);
    digest.bytes(&bytes);
}

fn write_reply(digest: &mut Digest, caller: &Caller, reply: &Reply) {
    let (tag, number) = match caller {
        Caller::Owner(number) => (1, number),
        Caller::Campaign(number) => (2, number),
    };
    digest.tag(tag);
    digest.number(*number);
    match reply {
        Reply::Outcome(Outcome::Committed { revision }) => {
            digest.tag(1);
            digest.signed(*revision);
        }
        Reply::Outcome(Outcome::CompareFailed) => digest.tag(2),
        Reply::Outcome(Outcome::Unknown) => digest.tag(3),
        Reply::Outcome(Outcome::NotSent) => digest.tag(4),
        Reply::Granted { lease, ttl } => {
            digest.tag(5);
            digest.signed(*lease);
            digest.number(*ttl);
        }
        Reply::KeptAlive { ttl } => {
            digest.tag(6);
            digest.number(*ttl);
        }
        Reply::Revoked => digest.tag(7),
    }
}

fn write_notice(digest: &mut Digest, notice: &Notice) {
    match notice {
        Notice::ListTaken { revision, keys, took } => {
            digest.tag(1);
            digest.signed(*revision);
            digest.count(*keys);
            digest.number(*took);
        }
        Notice::Disconnected { endpoint, error } => {
            digest.tag(2);
            digest.count(*endpoint);
            write_error(digest, error);
        }
        Notice::Rejected(status) => {
            digest.tag(3);
            digest.number(u64::from(status.code));
        }
    }
}

fn write_error(digest: &mut Digest, error: &DocumentsError) {
    match error {
        DocumentsError::Busy { max_calls } => {
            digest.tag(1);
            digest.count(*max_calls);
        }
        DocumentsError::DuplicateId { id } => {
            digest.tag(2);
            digest.number(*id);
        }
        DocumentsError::TooManyOperations { operations, .. } => {
            digest.tag(3);
            digest.count(*operations);
        }
        DocumentsError::TooLarge { bytes, .. } => {
            digest.tag(4);
            digest.count(*bytes);
        }
        DocumentsError::DuplicateKey { key } => {
            digest.tag(5);
            digest.text(key);
        }
        DocumentsError::ReservedKey { key } => {
            digest.tag(6);
            digest.text(key);
        }
        DocumentsError::Unreachable => digest.tag(7),
        DocumentsError::ConnectionLost => digest.tag(8),
        DocumentsError::TimedOut => digest.tag(9),
        DocumentsError::CallFailed(status) => {
            digest.tag(10);
            digest.number(u64::from(status.code));
        }
        DocumentsError::InvalidMessage(_) => digest.tag(11),
        DocumentsError::CountDiffers | DocumentsError::WatchMessageTooLarge => digest.tag(12),
        DocumentsError::Compacted => digest.tag(13),
        DocumentsError::MemberBehind { revision, accepted } => {
            digest.tag(14);
            digest.signed(*revision);
            digest.signed(*accepted);
        }
        DocumentsError::OtherCluster { cluster, followed } => {
            digest.tag(15);
            digest.number(*cluster);
            digest.number(*followed);
        }
        DocumentsError::TooManyDocuments { keys, bytes, .. } => {
            digest.tag(16);
            digest.number(*keys);
            digest.number(*bytes);
        }
    }
}

fn digest_decisions(seed: u64) -> u64 {
    let mut simulation = Simulation::new(seed);
    (0..8).for_each(|_| simulation.commit());
    (0..STEPS).for_each(|_| simulation.step());
    let counters = simulation.documents.counters();
    assert!(
        counters.lists > 20 && counters.changes > 100 && simulation.replies > 200,
        "too few events: {counters:?}"
    );
    simulation.digest.finish()
}

#[test]
fn document_decisions_match_the_recorded_digests() {
    expect(
        "the documents",
        digest_decisions,
        &[0x07a453f700d6c2bc, 0xae96e3e74bf512fd, 0x3517a2857f2bba0c, 0xd6c2d771bd63699f],
    );
}
