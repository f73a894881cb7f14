//! Loss and recovery of sites under a load that exceeds the remaining capacity, with six instance processes that use a
//! site plan. The checks use the records of servers and clients; only the instances' failover decisions are read from
//! the log, since no record shows them.
#![cfg(unix)]

use fault_injection::{Rule, Schedule};
use larchdale_test_support::world::losses::*;
use larchdale_test_support::world::records::{Arrival, Request};
use larchdale_test_support::world::servers::Kind;
use larchdale_test_support::world::{checker, gather, losses, Fleet, UNSAFE};
use std::time::Duration;

const S: u64 = 1_000_000;
/// Time from a recovery until full service, in microseconds: two hold-offs and the ramp steps, with a margin factor of 2.
const FULL_SERVICE_WITHIN: u64 = 2 * (2 * HOLD_OFF + STEPS * STEP);

fn fleet(name: &str, script: &str, keeps: usize) -> Fleet {
    losses::fleet(env!("CARGO_BIN_EXE_larchdale"), name, script, keeps).unwrap()
}

/// Checks what must hold under any loss: one response to each request, no unsafe request run twice, no server above its
/// bound and none broken down.
fn check(fleet: &Fleet, requests: &[Request], outs: &[Out], dead: &[(usize, u64, u64)]) {
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
    let peaks = peaks(fleet, outs, &dead.iter().map(|d| d.1).collect::<Vec<_>>());
    assert!(peaks.values().all(|p| *p <= 1.0), "{peaks:.2?}");
    assert_eq!(notes.falls, []);
}

/// Checks that service recovers fully within `FULL_SERVICE_WITHIN`.
fn check_recovery(requests: &[Request], out: Out) {
    let after = full_again(requests, out).map(|s| s * S);
    assert!(after.is_some_and(|a| a <= FULL_SERVICE_WITHIN), "{after:?}: {:?}", checker::counts(requests, S));
    let served = checker::served(requests, out.back + FULL_SERVICE_WITHIN, u64::MAX).unwrap();
    assert!(served > 0.9, "{served}");
}

/// Returns the share of rejected requests among those of a class that were sent while all instances treated a site as
/// lost.
fn rejected_share(requests: &[Request], out: Out, class: &str) -> f64 {
    let (sent, rejected) = refused(requests, class, out.lost + JUDGED, out.back);
    assert!(sent > 5.0);
    rejected / sent
}

fn run_with_edge_loss(name: &str, script: &str) -> (Fleet, Vec<Request>, Out) {
    let fleet = fleet(name, script, ALL);
    let from = fleet.servers.now();
    let clients = fleet.load(RATE, 1, Duration::from_secs(29)).unwrap();
    let out = lose(&fleet, EDGE, from + 3 * S, from + 11 * S, HOLD_OFF).unwrap();
    (fleet, gather(clients), out)
}

#[test]
fn with_a_site_plan_the_loss_of_an_edge_zone_rejects_less_and_its_recovery_overloads_no_server() {
    let ((fleet, requests, out), (fleet_without_plan, requests_without_plan, out_without_plan)) =
        std::thread::scope(|s| {
            let other = s.spawn(|| run_with_edge_loss("bare", ""));
            (run_with_edge_loss("branch", SCRIPT), other.join().unwrap())
        });
    check(&fleet, &requests, &[out], &[]);
    check_recovery(&requests, out);
    // The class with the lower priority is rejected first, then the other one, and unsafe requests are never rejected.
    let [images, clip_parts, unsafe_class] =
        ["images", "clip-parts", UNSAFE].map(|c| rejected_share(&requests, out, c));
    assert!(
        images > 0.0 && 2.0 * clip_parts <= images && unsafe_class == 0.0,
        "{images} {clip_parts} {unsafe_class}"
    );
    // The same requests without a plan: more are rejected, and the recovering servers are overloaded.
    let [images_without_plan, clip_parts_without_plan] =
        ["images", "clip-parts"].map(|c| rejected_share(&requests_without_plan, out_without_plan, c));
    assert!(
        clip_parts_without_plan > 2.0 * clip_parts
            && images_without_plan + clip_parts_without_plan > 1.1 * (images + clip_parts),
        "{images_without_plan} {clip_parts_without_plan}"
    );
    let overload = peaks(&fleet_without_plan, &[out_without_plan], &[]);
    assert!(overload.values().any(|p| *p > 1.0), "{overload:.2?}");
}

#[test]
fn while_a_hub_is_lost_fills_of_all_zones_go_to_the_other_hub_or_the_origin() {
    let fleet = fleet("hub", SCRIPT, 260);
    let from = fleet.servers.now();
    let clients = fleet.load(RATE, 2, Duration::from_secs(28)).unwrap();
    let out = lose(&fleet, 1, from + 3 * S, from + 11 * S, HOLD_OFF).unwrap();
    let requests = gather(clients);
    check(&fleet, &requests, &[out], &[]);
    check_recovery(&requests, out);
    let [lost_parent, other_parent] = [1, 0].map(|hub| fleet.servers.of(hub, Kind::Parent)[0]);
    let origin = fleet.servers.of(0, Kind::Archive)[0];
    let notes = fleet.servers.notes();
    let fills = |zone: usize, source: usize| {
        let treated_as_lost = out.lost + JUDGED..out.back;
        let is_fill =
            |a: &&Arrival| a.server == source && treated_as_lost.contains(&a.at) && a.class != UNSAFE;
        let is_from_zone = |a: &&Arrival| a.from.is_some_and(|f| fleet.servers.specs[f].zone == zone);
        notes.arrivals.iter().filter(is_fill).filter(is_from_zone).count()
    };
    for zone in EDGE..5 {
        let [from_lost, from_other, from_origin] =
            [lost_parent, other_parent, origin].map(|s| fills(zone, s));
        assert!(from_lost == 0 && from_other > 0, "zone {zone}: {from_lost} {from_other} {from_origin}");
    }
    assert!(
        notes.arrivals.iter().any(|a| a.server == lost_parent && a.at > out.back + FULL_SERVICE_WITHIN),
        "the restored parent cache is no fill source"
    );
    assert_eq!(rejected_share(&requests, out, UNSAFE), 0.0);
}

#[test]
fn datagram_loss_and_a_one_way_partition_cause_no_failover_and_a_lost_site_causes_one() {
    let fleet = fleet("datagrams", SCRIPT, ALL);
    let one_way = Rule { from: vec![3], drop: 1.0, ..Rule::default() };
    fleet.instances.relay.follow(&Schedule { seed: 3, rules: vec![Rule::loss(0.3, 0, 0), one_way] });
    let from = fleet.servers.now();
    let clients = fleet.load(RATE, 3, Duration::from_secs(26)).unwrap();
    sleep_until(&fleet, from + 9 * S);
    let instances_and_zones = || (0..6).flat_map(|d| (0..5).map(move |z| (d, z)));
    assert_eq!(
        instances_and_zones().find(|&(d, z)| !losses(&fleet, d, z).is_empty()),
        None,
        "an instance treats a zone as lost"
    );
    fleet.instances.relay.follow(&Schedule { seed: 4, rules: vec![Rule::loss(0.3, 0, 0)] });
    let out = lose(&fleet, EDGE + 1, from + 10 * S, from + 16 * S, HOLD_OFF).unwrap();
    let requests = gather(clients);
    check(&fleet, &requests, &[out], &[]);
    for (instance, zone) in instances_and_zones() {
        let found = losses(&fleet, instance, zone);
        let in_time = found.len() == 1 && (out.lost..out.lost + JUDGED).contains(&found[0]);
        assert!(
            if zone == out.zone { in_time } else { found.is_empty() },
            "{instance} {zone} {found:?} {out:?}"
        );
    }
}

#[test]
fn servers_stay_within_bounds_while_a_site_flaps_and_another_is_lost_during_its_recovery() {
    let fleet = fleet("flaps", SCRIPT, ALL);
    let from = fleet.servers.now();
    let clients = fleet.load(RATE, 4, Duration::from_secs(32)).unwrap();
    // The hold-off doubles with each loss. The bound on the work of the servers checks this: before the hold-off is
    // over it allows only trial requests.
    let flap = |n: u64, lost| lose(&fleet, EDGE, from + lost, from + lost + 3 * S, HOLD_OFF << n).unwrap();
    let outs = std::thread::scope(|s| {
        // The second site is lost while the first recovers for the last time.
        let other = s.spawn(|| lose(&fleet, EDGE + 2, from + 21 * S, from + 24 * S, HOLD_OFF).unwrap());
        let mut outs = vec![flap(0, 2 * S), flap(1, 8 * S), flap(2, 14 * S)];
        outs.push(other.join().unwrap());
        outs
    });
    let requests = gather(clients);
    check(&fleet, &requests, &outs, &[]);
    let losses: Vec<usize> = (0..6).map(|d| losses(&fleet, d, EDGE).len()).collect();
    assert_eq!(losses, [3; 6]);
}

#[test]
fn service_recovers_although_four_instances_are_restarted_during_the_recovery_of_a_zone() {
    let mut fleet = fleet("restarts", SCRIPT, ALL);
    let from = fleet.servers.now();
    let clients = fleet.load(RATE, 5, Duration::from_secs(24)).unwrap();
    let out = lose(&fleet, EDGE, from + 2 * S, from + 6 * S, HOLD_OFF).unwrap();
    sleep_until(&fleet, out.back + HOLD_OFF + 3 * STEP / 2);
    let restarted = [0, 1, 2, 4];
    let dead = restarted.map(|instance| {
        let from = fleet.servers.now();
        fleet.instances.kill(instance);
        (instance, from, fleet.servers.now())
    });
    restarted.into_iter().for_each(|instance| fleet.instances.start(instance).unwrap());
    let requests = gather(clients);
    check(&fleet, &requests, &[out], &dead);
    let served = checker::served(&requests, out.back + FULL_SERVICE_WITHIN, u64::MAX).unwrap();
    assert!(served > 0.9, "{served}: {:?}", checker::counts(&requests, S));
}
