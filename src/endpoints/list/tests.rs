//! Tests of the endpoint list, among them a comparison with a simple model: after any sequence of updates, the changes
//! that the owner takes lead to the last reported state, and no endpoint accepts requests against the latest report.

use super::*;
use crate::net::testing::config;
use crate::routing::events::Role;
use proptest::prelude::*;
use std::collections::BTreeMap;

const NOW: Micros = 1_000_000;

fn entry(id: u8, port: u16, state: EndpointState, incarnation: u64) -> Entry {
    Entry {
        id: format!("b{id}").into(),
        address: ([127, 0, 0, 1], port).into(),
        state,
        role: Role::Cache,
        zone: 0,
        cell: 0,
        kind: 0,
        weight: 1.0,
        started_at: 0,
        incarnation,
    }
}

fn take_all_changes(list: &mut EndpointList) -> Vec<Change> {
    let mut changes = Vec::new();
    list.take_changes(usize::MAX, &mut changes);
    changes
}

fn summarize(changes: &[Change]) -> Vec<(&str, EndpointState, Connections)> {
    changes.iter().map(|change| (&*change.endpoint.id, change.endpoint.state, change.connections)).collect()
}

use Connections::{End, Keep, ReplaceBefore};
use EndpointState::{Draining, Healthy, Removed};

#[test]
fn a_complete_list_yields_additions_and_removals_and_no_changes_when_repeated() {
    let mut list = EndpointList::new(10);
    list.replace_all(NOW, vec![entry(1, 1, Healthy, 0), entry(2, 2, Healthy, 0)]).unwrap();
    assert_eq!(take_all_changes(&mut list).len(), 2);
    list.replace_all(NOW, vec![entry(1, 1, Healthy, 0), entry(2, 2, Healthy, 0)]).unwrap();
    assert!(!list.has_changes());
    list.replace_all(NOW + 5, vec![entry(3, 3, Healthy, 0), entry(2, 2, Draining, 0)]).unwrap();
    assert_eq!((list.closed_since("b1"), list.closed_since("b2")), (Some(NOW + 5), Some(NOW + 5)));
    let changes = take_all_changes(&mut list);
    let [(a, ..), (b, ..), last] = summarize(&changes)[..] else { panic!("{changes:?}") };
    assert_eq!(
        (a.min(b), a.max(b), last),
        ("b1", "b2", ("b3", Healthy, Keep)),
        "urgent changes are not first"
    );
    assert_eq!(list.entries().count(), 2);
}

#[test]
fn a_list_above_the_maximum_is_rejected_as_a_whole_and_drains_still_apply() {
    let mut list = EndpointList::new(2);
    list.replace_all(NOW, vec![entry(1, 1, Healthy, 1), entry(2, 2, Healthy, 1)]).unwrap();
    take_all_changes(&mut list);
    let long = (3..6).map(|n| entry(n, u16::from(n), Healthy, 1)).collect();
    assert_eq!(list.replace_all(NOW, long), Err(TooManyEndpoints { count: 3, max: 2 }));
    assert_eq!(list.upsert(NOW, entry(3, 3, Healthy, 1)), Err(TooManyEndpoints { count: 3, max: 2 }));
    assert!(!list.has_changes() && list.accepts_requests("b1"));
    list.upsert(NOW, entry(1, 1, Draining, 1)).unwrap();
    assert!(!list.accepts_requests("b1"));
}

#[test]
fn a_new_incarnation_starts_cold_and_replaces_all_connections() {
    let mut list = EndpointList::new(10);
    list.upsert(NOW, entry(1, 1, Healthy, 7)).unwrap();
    take_all_changes(&mut list);
    list.upsert(NOW + 9, entry(1, 1, Healthy, 8)).unwrap();
    let changes = take_all_changes(&mut list);
    assert_eq!(summarize(&changes), [("b1", Healthy, ReplaceBefore(ALL_CONNECTIONS))]);
    assert_eq!(changes[0].endpoint.started_at, NOW + 9, "a start that is not reported is not set to now");
    // The next record of the same process, still without a start time, does not make the endpoint warm.
    list.upsert(NOW + 99, Entry { weight: 2.0, ..entry(1, 1, Healthy, 8) }).unwrap();
    assert_eq!(take_all_changes(&mut list)[0].endpoint.started_at, NOW + 9);
}

#[test]
fn a_new_address_replaces_all_connections_and_a_later_start_the_older_connections() {
    let mut list = EndpointList::new(10);
    list.upsert(NOW, entry(1, 1, Healthy, 0)).unwrap();
    take_all_changes(&mut list);
    list.upsert(NOW, entry(1, 2, Healthy, 0)).unwrap();
    assert_eq!(summarize(&take_all_changes(&mut list)), [("b1", Healthy, ReplaceBefore(ALL_CONNECTIONS))]);
    list.upsert(NOW, Entry { started_at: 50, ..entry(1, 2, Healthy, 0) }).unwrap();
    assert_eq!(summarize(&take_all_changes(&mut list)), [("b1", Healthy, ReplaceBefore(50))]);
}

#[test]
fn the_endpoint_with_the_later_incarnation_owns_an_address_until_it_is_removed() {
    let mut list = EndpointList::new(10);
    list.upsert(NOW, entry(1, 1, Healthy, 3)).unwrap();
    take_all_changes(&mut list);
    list.upsert(NOW + 1, entry(2, 1, Healthy, 5)).unwrap();
    assert!(!list.accepts_requests("b1") && list.accepts_requests("b2"));
    assert_eq!(
        summarize(&take_all_changes(&mut list)),
        [("b1", Removed, End), ("b2", Healthy, ReplaceBefore(ALL_CONNECTIONS))]
    );
    // An update of the older process does not return the address to it.
    list.upsert(NOW + 2, Entry { weight: 9.0, ..entry(1, 1, Healthy, 3) }).unwrap();
    assert!(!list.accepts_requests("b1"));
    list.remove(NOW + 3, "b2");
    let changes = take_all_changes(&mut list);
    assert!(summarize(&changes).contains(&("b1", Healthy, ReplaceBefore(ALL_CONNECTIONS))), "{changes:?}");
    assert!(list.accepts_requests("b1") && list.counts() == Counts { ready: 1, ..Counts::default() });
}

#[test]
fn an_endpoint_added_and_removed_between_two_batches_is_never_announced() {
    let mut list = EndpointList::new(10);
    list.upsert(NOW, entry(1, 1, Healthy, 1)).unwrap();
    list.remove(NOW, "b1");
    assert!(take_all_changes(&mut list).is_empty() && !list.has_changes() && list.slots.is_empty());
    list.upsert(NOW, entry(1, 1, Healthy, 2)).unwrap();
    assert_eq!(take_all_changes(&mut list).len(), 1);
    list.close(NOW + 4, "b1");
    list.close(NOW + 5, "b1");
    assert_eq!(list.closed_since("b1"), Some(NOW + 4), "not closed since the first close");
    assert_eq!(summarize(&take_all_changes(&mut list)), [("b1", Draining, Keep)]);
}

/// Guards against sending the load of a warm endpoint to a cold one: a source repeats the start time from before a
/// restart that was detected by dialing, in a late complete list, with a drain and when the endpoint becomes ready again.
#[test]
fn a_detected_restart_remains_valid_until_the_source_reports_a_new_start() {
    let reported = |state, started_at| Entry { started_at, ..entry(1, 1, state, 0) };
    let mut list = EndpointList::new(10);
    list.upsert(NOW, reported(Healthy, 50)).unwrap();
    take_all_changes(&mut list);
    list.mark_restarted(NOW + 5, "b1", NOW + 4);
    assert_eq!(take_all_changes(&mut list)[0].endpoint.started_at, NOW + 4);
    list.replace_all(NOW + 6, vec![reported(Healthy, 50)]).unwrap();
    assert!(take_all_changes(&mut list).is_empty() && list.entry("b1").unwrap().started_at == NOW + 4);
    list.upsert(NOW + 7, reported(Draining, 50)).unwrap();
    assert_eq!(take_all_changes(&mut list)[0].endpoint.started_at, NOW + 4);
    // A restart that is detected during a drain makes the endpoint start cold when it becomes ready.
    list.mark_restarted(NOW + 9, "b1", NOW + 8);
    assert!(!list.accepts_requests("b1"));
    take_all_changes(&mut list);
    list.upsert(NOW + 10, reported(Healthy, 50)).unwrap();
    assert_eq!(take_all_changes(&mut list)[0].endpoint.started_at, NOW + 8);
    // A start time that the source reports for the first time applies even if it is earlier than the detecting dial.
    list.upsert(NOW + 11, reported(Healthy, NOW + 6)).unwrap();
    assert_eq!(take_all_changes(&mut list)[0].endpoint.started_at, NOW + 6);
}

/// Guards against using connections to a process that is gone, after an endpoint was removed and added again with a later
/// start, with and without the removal being taken in between.
#[test]
fn an_endpoint_added_again_replaces_the_connections_from_before_its_start() {
    for is_removal_taken in [false, true] {
        let mut list = EndpointList::new(10);
        list.upsert(NOW, entry(1, 1, Healthy, 0)).unwrap();
        take_all_changes(&mut list);
        list.remove(NOW + 1, "b1");
        if is_removal_taken {
            assert_eq!(summarize(&take_all_changes(&mut list)), [("b1", Removed, End)]);
        }
        list.upsert(NOW + 2, Entry { started_at: NOW + 1, ..entry(1, 1, Healthy, 0) }).unwrap();
        assert_eq!(
            summarize(&take_all_changes(&mut list)),
            [("b1", Healthy, ReplaceBefore(NOW + 1))],
            "{is_removal_taken}"
        );
        assert!(list.accepts_requests("b1"));
    }
}

#[test]
fn two_endpoints_that_swap_addresses_are_both_ready_and_replace_all_connections() {
    for (first_start, second_start) in [(0, 0), (0, 70), (70, 0)] {
        let mut list = EndpointList::new(10);
        let at = |id, port, started_at| Entry { started_at, ..entry(id, port, Healthy, 0) };
        list.replace_all(NOW, vec![at(1, 1, first_start), at(2, 2, second_start)]).unwrap();
        take_all_changes(&mut list);
        list.upsert(NOW + 1, at(1, 2, first_start)).unwrap();
        list.upsert(NOW + 1, at(2, 1, second_start)).unwrap();
        assert!(list.accepts_requests("b1") && list.accepts_requests("b2"));
        let changes = take_all_changes(&mut list);
        let mut sorted = summarize(&changes);
        sorted.sort_by_key(|change| change.0);
        assert_eq!(
            sorted,
            [
                ("b1", Healthy, ReplaceBefore(ALL_CONNECTIONS)),
                ("b2", Healthy, ReplaceBefore(ALL_CONNECTIONS))
            ]
        );
        assert_eq!(list.counts(), Counts { ready: 2, ..Counts::default() });
    }
}

#[test]
fn the_last_of_two_restarts_in_one_batch_applies() {
    let mut list = EndpointList::new(10);
    list.upsert(NOW, entry(1, 1, Healthy, 1)).unwrap();
    take_all_changes(&mut list);
    list.upsert(NOW + 1, entry(1, 1, Healthy, 2)).unwrap();
    list.upsert(NOW + 2, entry(1, 1, Healthy, 3)).unwrap();
    let changes = take_all_changes(&mut list);
    assert_eq!(summarize(&changes), [("b1", Healthy, ReplaceBefore(ALL_CONNECTIONS))]);
    assert_eq!(changes[0].endpoint.started_at, NOW + 2);
    let started = |started_at, at| (Entry { started_at, ..entry(2, 2, Healthy, 0) }, at);
    for (entry, at) in [started(0, 0), started(50, 1), started(60, 2)] {
        list.upsert(NOW + at, entry).unwrap();
        if at == 0 {
            take_all_changes(&mut list);
        }
    }
    assert_eq!(summarize(&take_all_changes(&mut list)), [("b2", Healthy, ReplaceBefore(60))]);
}

/// A step of a random sequence of updates.
#[derive(Clone, Debug)]
enum Step {
    Upsert(Entry),
    Remove(u8),
    Close(u8),
    ReplaceAll(Vec<Entry>),
    TakeChanges(usize),
}

fn any_entry() -> impl Strategy<Value = Entry> {
    (0..5u8, 1..4u16, prop::bool::ANY, 0..4u64).prop_map(|(id, port, ready, process)| {
        entry(id, port, if ready { Healthy } else { Draining }, process)
    })
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => any_entry().prop_map(Step::Upsert),
        2 => (0..5u8).prop_map(Step::Remove),
        1 => (0..5u8).prop_map(Step::Close),
        1 => prop::collection::btree_map(0..5u8, any_entry(), 0..5).prop_map(|m| {
            let named = |(id, e): (u8, Entry)| Entry { id: format!("b{id}").into(), ..e };
            Step::ReplaceAll(m.into_iter().map(named).collect())
        }),
        3 => (1..3usize).prop_map(Step::TakeChanges),
    ]
}

fn compare_with_model(steps: Vec<Step>) {
    let (mut list, mut model) = (EndpointList::new(100), BTreeMap::<String, Entry>::new());
    let mut owner: BTreeMap<String, EndpointState> = BTreeMap::new();
    for (n, step) in steps.into_iter().enumerate() {
        let now = NOW + n as Micros;
        match step {
            Step::Upsert(e) => {
                list.upsert(now, e.clone()).unwrap();
                model.insert(e.id.to_string(), e);
            }
            Step::Remove(id) => {
                list.remove(now, &format!("b{id}"));
                model.remove(&format!("b{id}"));
            }
            Step::Close(id) => {
                list.close(now, &format!("b{id}"));
                model.get_mut(&format!("b{id}")).into_iter().for_each(|e| e.state = Draining);
            }
            Step::ReplaceAll(entries) => {
                list.replace_all(now, entries.clone()).unwrap();
                model = entries.into_iter().map(|e| (e.id.to_string(), e)).collect();
            }
            Step::TakeChanges(max_changes) => {
                let mut changes = Vec::new();
                list.take_changes(max_changes, &mut changes);
                for change in changes {
                    owner.insert(change.endpoint.id.to_string(), change.endpoint.state);
                }
            }
        }
        // Every endpoint that accepts requests is listed as ready and is the only such endpoint at its address.
        let mut accepting: Vec<&Entry> = model.values().filter(|e| list.accepts_requests(&e.id)).collect();
        assert!(accepting.iter().all(|e| e.state == Healthy));
        accepting.sort_by_key(|e| e.address);
        assert!(
            accepting.windows(2).all(|pair| pair[0].address != pair[1].address),
            "two endpoints accept requests at one address: {accepting:?}"
        );
        assert_eq!(list.entries().count(), model.len());
    }
    for change in take_all_changes(&mut list) {
        owner.insert(change.endpoint.id.to_string(), change.endpoint.state);
    }
    for id in 0..5u8 {
        let id = format!("b{id}");
        let announced = owner.get(&id).copied().unwrap_or(Removed);
        let is_only_claimant = |e: &Entry| model.values().filter(|o| o.address == e.address).count() == 1;
        match model.get(&id) {
            None => assert_eq!(announced, Removed),
            Some(e) if is_only_claimant(e) => assert_eq!(announced, e.state, "{id}"),
            Some(e) => assert!(announced == e.state || announced == Removed, "{id}"),
        }
        assert_eq!(
            announced == Healthy,
            list.accepts_requests(&id),
            "the announced state of {id} differs from the state checked at a write"
        );
    }
    assert!(!list.has_changes() && list.changes.pop().is_none());
    assert!(
        list.claims.values().map(Vec::len).sum::<usize>() == list.slots.len(),
        "a removed endpoint has a claim"
    );
}

proptest! {
    #![proptest_config(config())]
    #[test]
    fn the_changes_taken_by_the_owner_lead_to_the_last_reported_state(steps in prop::collection::vec(any_step(), 1..60)) {
        compare_with_model(steps);
    }
}
