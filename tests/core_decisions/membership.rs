//! The endpoint list: complete lists, updates of single entries, drains, restarts and changes of addresses.

use crate::digest::{expect, Digest};
use larchdale::endpoints::{Change, Connections, EndpointList, Entry};
use larchdale::routing::events::{EndpointState, Micros, Role};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const STEPS: usize = 12_000;
const ENDPOINTS: u8 = 12;
const MAX_ENTRIES: usize = 9;

fn name(number: u8) -> String {
    format!("b{number}")
}

fn entry(rng: &mut Pcg32, now: Micros) -> Entry {
    Entry {
        id: name(rng.random_range(0..ENDPOINTS)).into(),
        address: ([127, 0, 0, 1], rng.random_range(1..9)).into(),
        state: [
            EndpointState::Healthy,
            EndpointState::Healthy,
            EndpointState::Draining,
            EndpointState::Removed,
        ][rng.random_range(0..4)],
        role: [Role::Cache, Role::Parent, Role::Origin][rng.random_range(0..3)],
        zone: rng.random_range(0..3),
        cell: rng.random_range(0..2),
        kind: rng.random_range(0..2),
        weight: f64::from(rng.random_range(1..4u8)) / 2.0,
        started_at: if rng.random_bool(0.5) { 0 } else { now - rng.random_range(0..900) },
        incarnation: [0, 1, 2, 3, now][rng.random_range(0..5)],
    }
}

fn listed_tag(listed: EndpointState) -> u8 {
    match listed {
        EndpointState::Healthy => 1,
        EndpointState::Draining => 2,
        EndpointState::Removed => 3,
    }
}

fn role_tag(role: Role) -> u8 {
    match role {
        Role::Cache => 1,
        Role::Parent => 2,
        Role::Origin => 3,
    }
}

fn write_change(digest: &mut Digest, change: &Change) {
    let endpoint = &change.endpoint;
    digest.text(&endpoint.id);
    digest.tag(role_tag(endpoint.role));
    digest.tag(listed_tag(endpoint.state));
    digest.count(endpoint.zone);
    digest.number(u64::from(endpoint.cell));
    digest.number(u64::from(endpoint.kind));
    digest.float(endpoint.weight);
    digest.number(endpoint.started_at);
    digest.text(&change.address.to_string());
    match change.connections {
        Connections::Keep => digest.tag(1),
        Connections::ReplaceBefore(before) => {
            digest.tag(2);
            digest.number(before);
        }
        Connections::End => digest.tag(3),
    }
}

fn write_list(digest: &mut Digest, list: &EndpointList) {
    for number in 0..ENDPOINTS {
        let id = name(number);
        digest.flag(list.accepts_requests(&id));
        digest.option(list.closed_since(&id), Digest::number);
        digest.option(list.entry(&id), |digest, entry| {
            digest.tag(listed_tag(entry.state));
            digest.number(entry.started_at);
            digest.number(entry.incarnation);
        });
    }
    let counts = list.counts();
    [counts.ready, counts.draining, counts.shadowed, counts.waiting]
        .into_iter()
        .for_each(|count| digest.count(count));
    digest.count(list.entries().count());
}

fn run(seed: u64) -> u64 {
    let (mut rng, mut digest) = (Pcg32::seed_from_u64(seed), Digest::new());
    let (mut list, mut now) = (EndpointList::new(MAX_ENTRIES), 1_000);
    for _ in 0..STEPS {
        now += rng.random_range(0..500);
        let id = name(rng.random_range(0..ENDPOINTS));
        match rng.random_range(0..40) {
            0..20 => {
                let entry = entry(&mut rng, now);
                let rejected = list.upsert(now, entry).err();
                digest.option(rejected, |digest, many| digest.count(many.count));
            }
            20..22 => {
                // At most one entry per endpoint, because a complete list names each endpoint once.
                let mut entries: Vec<Entry> =
                    (0..rng.random_range(4..14)).map(|_| entry(&mut rng, now)).collect();
                entries.sort_by(|a, b| a.id.cmp(&b.id));
                entries.dedup_by(|a, b| a.id == b.id);
                let rejected = list.replace_all(now, entries).err();
                digest.option(rejected, |digest, many| digest.count(many.count));
            }
            22..26 => list.remove(now, &id),
            26..29 => list.close(now, &id),
            29..33 => list.mark_restarted(now, &id, now - rng.random_range(0..600)),
            _ => {
                let mut changes = Vec::new();
                list.take_changes(usize::MAX, &mut changes);
                // Urgent changes come first; within a complete list the order is that of a hash map.
                changes.iter().for_each(|change| digest.tag(listed_tag(change.endpoint.state)));
                changes.sort_by(|a, b| a.endpoint.id.cmp(&b.endpoint.id));
                changes.iter().for_each(|change| write_change(&mut digest, change));
            }
        }
        digest.number(now);
        digest.flag(list.has_changes());
        write_list(&mut digest, &list);
    }
    digest.finish()
}

#[test]
fn the_endpoint_list_makes_the_recorded_decisions() {
    expect(
        "endpoint list",
        run,
        &[0x0fd134c3abbfa757, 0x072e7aed8ee448c6, 0xf6b20a12a7bc9877, 0xda46da341ea3c29b],
    );
}
