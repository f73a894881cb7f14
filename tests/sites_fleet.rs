//! Six instance processes in three edge zones, and servers that record their load, during the loss of servers without a
//! site plan. The checks use the records of servers and clients.
#![cfg(unix)]

use fault_injection::Schedule;
use larchdale_test_support::world::channels::EndpointState;
use larchdale_test_support::world::records::{Arrival, Request};
use larchdale_test_support::world::servers::Kind;
use larchdale_test_support::world::{checker, gather, Fleet, Plan, UNSAFE};
use std::time::Duration;

const S: u64 = 1_000_000;

fn fleet(name: &str, script: &str) -> Fleet {
    let plan = Plan::default();
    let servers = plan.servers().unwrap();
    let addresses = servers.addresses.clone();
    let program = env!("CARGO_BIN_EXE_larchdale");
    let route = |_: usize, server: usize| addresses[server];
    let mut fleet = Fleet::new(program, name, plan, servers, &Schedule::default(), route).unwrap();
    fleet.instances.script = script.into();
    fleet.warm_parents();
    fleet.instances.start_all().unwrap();
    fleet.instances.see([6, 0, 0, 0], Duration::from_secs(20)).expect("all instances see each other");
    fleet
}

/// Checks that each request got one response and that no unsafe request ran twice.
fn check(fleet: &Fleet, requests: &[Request], dead: &[(usize, u64, u64)]) {
    let notes = fleet.servers.notes();
    let unanswered = checker::unanswered(requests, dead);
    assert!(
        unanswered.is_empty(),
        "{} of {} unanswered, the first: {:?}",
        unanswered.len(),
        requests.len(),
        unanswered[0]
    );
    let ran_twice = checker::twice(&notes.arrivals, &fleet.servers.specs, UNSAFE);
    assert!(ran_twice.is_empty(), "{ran_twice:?}");
}

/// Checks that before the loss nearly all requests are served and no server gets more work than its capacity.
fn check_before_loss(fleet: &Fleet, requests: &[Request], from: u64, lost: u64) {
    let served = checker::served(requests, from, lost - S).unwrap();
    assert!(served > 0.95, "{served}: {:?}", checker::counts(requests, S));
    let notes = fleet.servers.notes();
    let bound = |server: usize, _| fleet.servers.specs[server].capacity * S as f64;
    let peaks = checker::peaks(&notes.arrivals, S, |a| a.at < lost, bound);
    assert_eq!(peaks.len(), fleet.servers.specs.len(), "not every server gets work");
    assert!(peaks.values().all(|p| *p <= 1.0), "{peaks:?}");
    assert_eq!(notes.falls, []);
}

fn sleep_until(fleet: &Fleet, at: u64) {
    std::thread::sleep(Duration::from_micros(at.saturating_sub(fleet.servers.now())));
}

#[test]
fn without_a_site_plan_each_request_gets_one_response_while_a_zone_loses_its_edge_caches_and_regains_them() {
    let fleet = fleet("boxes", "");
    let from = fleet.servers.now();
    let clients = fleet.load(15.0, 1, Duration::from_secs(13)).unwrap();
    let (lost, back) = (from + 4 * S, from + 7 * S);
    let lost_caches = fleet.servers.of(2, Kind::Box);
    sleep_until(&fleet, lost);
    lost_caches.iter().for_each(|&cache| fleet.servers.kill(cache));
    sleep_until(&fleet, back);
    lost_caches.iter().for_each(|&cache| fleet.servers.revive(cache).unwrap());
    let requests = gather(clients);
    check(&fleet, &requests, &[]);
    check_before_loss(&fleet, &requests, from, lost);
    let arrivals_at_lost_caches = |from, to| {
        let notes = fleet.servers.notes();
        notes
            .arrivals
            .iter()
            .filter(|a| lost_caches.contains(&a.server) && (from..to).contains(&a.at))
            .count()
    };
    assert_eq!(arrivals_at_lost_caches(lost + S / 10, back), 0, "a lost edge cache still gets work");
    assert!(arrivals_at_lost_caches(back, u64::MAX) > 0, "the restored edge caches get no work");
    assert!(checker::full_service(&requests, back, 0.95).is_some(), "{:?}", checker::counts(&requests, S));
}

#[test]
fn without_a_site_plan_each_request_gets_one_response_while_a_parent_is_silent_and_a_zone_is_lost() {
    let mut fleet = fleet("branch", r#"log(form = "json")"#);
    let from = fleet.servers.now();
    let clients = fleet.load(15.0, 2, Duration::from_secs(10)).unwrap();
    let (lost, removed_at) = (from + 3 * S, from + 5 * S);
    sleep_until(&fleet, lost);
    let parent = fleet.servers.of(1, Kind::Parent)[0];
    fleet.servers.silence(parent);
    fleet.servers.of(4, Kind::Box).into_iter().for_each(|cache| fleet.servers.kill(cache));
    let dead = [4, 5].map(|instance| {
        let from = fleet.servers.now();
        fleet.instances.kill(instance);
        (instance, from, fleet.servers.now())
    });
    sleep_until(&fleet, removed_at);
    (0..4).for_each(|instance| fleet.tell(instance, parent, EndpointState::Gone));
    let requests = gather(clients);
    check(&fleet, &requests, &dead);
    check_before_loss(&fleet, &requests, from, lost);
    // No instance uses the parent cache as a fill source once the endpoint list reports it as removed.
    let notes = fleet.servers.notes();
    let is_late = |a: &&Arrival| a.via == Some(parent) && a.at > removed_at + S;
    assert!(notes.arrivals.iter().any(|a| a.via == Some(parent)));
    assert_eq!(notes.arrivals.iter().find(is_late), None);
}
