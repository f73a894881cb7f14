//! Digests the decisions of three campaigns for the planner's key, with a registry that loses responses and expires
//! leases.

use crate::digest::{expect, Digest};
use larchdale::registry::documents::{Condition, Document, Outcome, Reply, Request, Transaction};
use larchdale::registry::lease::{fenced, Action, Campaign, LossReason, MirrorView, Notice, PLANNER_KEY};
use larchdale::routing::events::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const LEASE: Micros = 2 * S;
const INSTANCES: usize = 3;
const STEPS: usize = 8_000;

/// Model of the registry with the planner's key as its only key.
#[derive(Default)]
struct Store {
    revision: i64,
    key: Option<Document>,
    /// Ids of the leases with their expiry times.
    leases: Vec<(i64, Micros)>,
    last_lease: i64,
}

impl Store {
    /// Ends the leases that match, and deletes the key if its lease has ended.
    fn end(&mut self, matches: impl Fn(&(i64, Micros)) -> bool) {
        self.leases.retain(|lease| !matches(lease));
        let exists = |lease| self.leases.iter().any(|held| held.0 == lease);
        if self.key.as_ref().is_some_and(|key| !exists(key.lease)) {
            self.revision += 1;
            self.key = None;
        }
    }

    fn execute(&mut self, now: Micros, request: &Request) -> Reply {
        match request {
            Request::Grant(seconds) => {
                self.last_lease += 1;
                let ttl = *seconds as Micros * S;
                self.leases.push((self.last_lease, now + ttl));
                Reply::Granted { lease: self.last_lease, ttl }
            }
            Request::KeepAlive(lease) => {
                let held = self.leases.iter_mut().find(|held| held.0 == *lease);
                let kept = held.map(|held| held.1 = now + LEASE);
                Reply::KeptAlive { ttl: kept.map_or(0, |()| LEASE) }
            }
            Request::Revoke(lease) => {
                self.end(|held| held.0 == *lease);
                Reply::Revoked
            }
            Request::Transaction(_, lease) if !self.leases.iter().any(|held| held.0 == *lease) => {
                Reply::Outcome(Outcome::NotSent)
            }
            Request::Transaction(..) if self.key.is_some() => Reply::Outcome(Outcome::CompareFailed),
            Request::Transaction(transaction, lease) => {
                self.revision += 1;
                let (value, revision) = (transaction.puts[0].1.clone(), self.revision);
                self.key = Some(Document {
                    value,
                    mod_revision: revision,
                    create_revision: revision,
                    lease: *lease,
                });
                Reply::Outcome(Outcome::Committed { revision })
            }
        }
    }
}

/// A campaign with its calls in flight and its mirror of the planner's key.
struct Instance {
    campaign: Campaign,
    calls: Vec<(u64, Request)>,
    holder: Option<Document>,
    revision: i64,
    confirmed: Option<Micros>,
}

fn write_transaction(digest: &mut Digest, transaction: &Transaction) {
    for (key, condition) in &transaction.compares {
        digest.text(key);
        let (tag, revision) = match condition {
            Condition::ModRevision(revision) => (1, revision),
            Condition::CreateRevision(revision) => (2, revision),
        };
        digest.tag(tag);
        digest.signed(*revision);
    }
    for (key, value) in &transaction.puts {
        digest.text(key);
        digest.bytes(value);
    }
    transaction.deletes.iter().for_each(|key| digest.text(key));
}

fn write_request(digest: &mut Digest, request: &Request) {
    let (tag, number) = match request {
        Request::Transaction(transaction, lease) => {
            write_transaction(digest, transaction);
            (1, lease)
        }
        Request::Grant(seconds) => (2, seconds),
        Request::KeepAlive(lease) => (3, lease),
        Request::Revoke(lease) => (4, lease),
    };
    digest.tag(tag);
    digest.signed(*number);
}

fn write_notice(digest: &mut Digest, notice: &Notice) {
    match notice {
        Notice::PlannerChanged(name) => {
            digest.tag(1);
            digest.option(name.as_deref(), Digest::text);
        }
        Notice::Elected { fence } => {
            digest.tag(2);
            digest.signed(*fence);
        }
        Notice::Lost(reason) => {
            digest.tag(3);
            digest.tag(match reason {
                LossReason::LeaseExpired => 1,
                LossReason::LeaseNotFound => 2,
                LossReason::KeyLost => 3,
                LossReason::Resigned => 4,
            });
        }
    }
}

fn digest_decisions(seed: u64) -> u64 {
    let (mut rng, mut digest, mut store) = (Pcg32::seed_from_u64(seed), Digest::new(), Store::default());
    let instance = |number: usize| Instance {
        campaign: Campaign::new(&format!("d{number}"), LEASE, S / 2, seed * 10 + number as u64),
        calls: Vec::new(),
        holder: None,
        revision: 0,
        confirmed: None,
    };
    let mut instances: Vec<Instance> = (0..INSTANCES).map(instance).collect();
    instances.iter_mut().for_each(|instance| instance.campaign.set_enabled(true));
    let (mut now, mut elections) = (S, 0);
    store.revision = 1;
    for _ in 0..STEPS {
        now += rng.random_range(0..40) * MS;
        if rng.random_ratio(1, 300) {
            now += rng.random_range(0..2 * LEASE);
        }
        store.end(|lease| lease.1 <= now);
        let number = rng.random_range(0..INSTANCES);
        let instance = &mut instances[number];
        let mut actions = Vec::new();
        match rng.random_range(0..100) {
            0..30 => {
                (instance.holder, instance.revision) = (store.key.clone(), store.revision);
                instance.confirmed = Some(now);
            }
            30..60 if !instance.calls.is_empty() => {
                let (id, request) = instance.calls.remove(0);
                let is_executed = !rng.random_ratio(1, 12);
                let executed = is_executed.then(|| store.execute(now, &request));
                let answered = executed.filter(|_| !rng.random_ratio(1, 12));
                let reply = answered.unwrap_or(Reply::Outcome(Outcome::Unknown));
                instance.campaign.reply_received(now, id, reply, &mut actions);
            }
            60 => instance.campaign.set_enabled(rng.random_ratio(1, 3)),
            61..64 => instance.campaign.set_enabled(true),
            _ => {}
        }
        let view = MirrorView {
            holder: instance.holder.as_ref(),
            revision: instance.revision,
            confirmed: instance.confirmed,
            is_current: instance.confirmed.is_some_and(|confirmed| now - confirmed < S),
        };
        instance.campaign.tick(now, &view, &mut actions);
        digest.number(now);
        digest.count(number);
        for action in actions {
            match action {
                Action::Call { id, request } => {
                    digest.tag(1);
                    digest.number(id);
                    write_request(&mut digest, &request);
                    instance.calls.push((id, request));
                }
                Action::Notify(notice) => {
                    digest.tag(2);
                    elections += usize::from(matches!(notice, Notice::Elected { .. }));
                    write_notice(&mut digest, &notice);
                }
            }
        }
        digest.option(instance.campaign.fence(now), Digest::signed);
        digest.number(instance.campaign.next_due());
    }
    assert!(elections > 20, "too few elections: {elections}");
    let transaction = Transaction { deletes: vec!["gone".to_owned()], ..Transaction::default() };
    write_transaction(&mut digest, &fenced(transaction, 77));
    digest.text(PLANNER_KEY);
    digest.finish()
}

#[test]
fn campaign_decisions_match_the_recorded_digests() {
    expect(
        "the lease",
        digest_decisions,
        &[0x6469ecc9ad0c15af, 0x67b1901e9d79f386, 0x5daf4f596ea1acd5, 0x55d67b003fa681ea],
    );
}
