//! Five instance processes whose gossip passes a relay that drops, delays and partitions datagrams.
#![cfg(unix)]

use fault_injection::{Rule, Schedule};
use larchdale_test_support::processes::{until, Line, Process, Processes};
use std::time::{Duration, Instant};

const INSTANCES: usize = 5;

fn fleet(name: &str, schedule: &Schedule) -> Processes {
    let program = env!("CARGO_BIN_EXE_larchdale");
    let mut fleet = Processes::new(program, name, INSTANCES, schedule, |_, _| {}).unwrap();
    fleet.start_all().unwrap();
    // Each instance starts with all others counted as alive, so the test waits for gossip from each of them.
    let has_heard = |p: &Process, n: usize| p.logged("peer alive").iter().any(|l| l.fields["member"] == n);
    let has_heard_all = |(me, p): (usize, &Process)| (0..INSTANCES).all(|n| n == me || has_heard(p, n));
    let all_heard = || fleet.running.iter().flatten().enumerate().all(has_heard_all).then_some(());
    until(Duration::from_secs(20), all_heard).expect("all instances have heard from each other");
    fleet.see([5, 0, 0, 0], Duration::from_secs(20)).expect("all instances see each other");
    fleet
}

/// Returns for each running instance, if it has logged a state of a member since a time, the delay until it first did.
fn delays_until_state(fleet: &Processes, member: usize, state: &str, since: Instant) -> Vec<Duration> {
    let first = |p: &Process| {
        let lines = p.logged("peer not alive");
        let of = |f: &serde_json::Value| f["member"] == member && f["state"] == state;
        lines.iter().find(|l| of(&l.fields) && l.at >= since).map(|l| l.at - since)
    };
    fleet.running.iter().flatten().filter_map(first).collect()
}

#[test]
fn a_killed_process_is_declared_dead_within_3_s_and_is_alive_again_after_its_restart() {
    let mut fleet = fleet(
        "killed",
        &Schedule { seed: 1, rules: vec![Rule { delay_ms: [1.0, 10.0], ..Rule::default() }] },
    );
    let mut delays = Vec::new();
    for member in [4, 2, 0] {
        let since = Instant::now();
        fleet.kill(member);
        let all = until(Duration::from_secs(20), || {
            Some(delays_until_state(&fleet, member, "Dead", since))
                .filter(|delays| delays.len() == INSTANCES - 1)
        });
        delays.extend(all.expect("all others declare the member dead"));
        fleet.start(member).unwrap();
        fleet.see([5, 0, 0, 0], Duration::from_secs(20)).expect("the restarted member is alive to all");
    }
    delays.sort_unstable();
    assert!(delays[delays.len() / 2] <= Duration::from_secs(3), "{delays:?}");
}

#[test]
fn with_10_percent_datagram_loss_no_live_process_is_declared_dead_in_60_s() {
    let fleet = fleet(
        "loss",
        &Schedule { seed: 2, rules: vec![Rule { delay_ms: [1.0, 10.0], ..Rule::loss(0.1, 0, 0) }] },
    );
    std::thread::sleep(Duration::from_secs(60));
    let dropped = fleet.relay.counters().dropped.load(std::sync::atomic::Ordering::Relaxed);
    assert!(dropped > 50, "{dropped} dropped");
    for process in fleet.running.iter().flatten() {
        let dead = process.logged("peer not alive").into_iter().filter(|l| l.fields["state"] == "Dead");
        assert_eq!(dead.count(), 0);
    }
    assert_eq!(
        fleet.relay.counters().long.load(std::sync::atomic::Ordering::Relaxed),
        0,
        "datagrams over 256 bytes"
    );
}

#[test]
fn after_a_partition_of_10_s_all_views_agree_within_5_s() {
    let fleet = fleet("cut", &Schedule::default());
    fleet.relay.follow(&Schedule { seed: 3, rules: vec![Rule::partition(&[0, 1], &[2, 3, 4], 0, 0)] });
    let since = Instant::now();
    let is_split = || fleet.views().ok().filter(|v| v.iter().map(|v| v[2]).eq([3, 3, 2, 2, 2]));
    until(Duration::from_secs(10), is_split).expect("each side declares the other dead");
    std::thread::sleep(Duration::from_secs(10).saturating_sub(since.elapsed()));
    fleet.relay.follow(&Schedule::default());
    let healed = fleet.see([5, 0, 0, 0], Duration::from_secs(20)).expect("all views agree again");
    assert!(healed <= Duration::from_secs(5), "{healed:?}");
}

#[test]
fn an_ending_process_announces_that_it_leaves_and_foreign_or_invalid_datagrams_are_dropped() {
    let mut fleet = fleet("leaves", &Schedule::default());
    let (socket, address) = fleet.stranger(0).unwrap();
    for bytes in [&[1, 2, 3][..], &[0; 256], &[1; 600]] {
        socket.send_to(bytes, address).unwrap();
    }
    let dropped = |fleet: &Processes| {
        fleet.running[0].as_ref()?.figures().ok()?.get("peer_datagrams_dropped_total").copied()
    };
    until(Duration::from_secs(20), || dropped(&fleet).filter(|&d| d >= 3))
        .expect("the datagrams are counted as dropped");
    let mut leaver = fleet.running[3].take().unwrap();
    leaver.signal("-TERM").unwrap();
    fleet.see([4, 0, 0, 1], Duration::from_secs(20)).expect("all see that the member left");
    leaver.wait().unwrap();
    assert!(fleet.running.iter().flatten().all(|p| {
        p.logged("peer not alive").iter().all(|l| l.fields["member"] != 3 || l.fields["state"] == "Left")
    }));
}

#[test]
fn a_member_whose_process_is_replaced_by_a_takeover_is_declared_neither_left_nor_dead() {
    let mut fleet = fleet("replaced", &Schedule::default());
    let mut old = fleet.replace(0).unwrap().unwrap();
    let replaced = || {
        (!old.logged("lifecycle phase changed").iter().all(|l| l.fields["is"] != "Replaced")).then_some(())
    };
    until(Duration::from_secs(20), replaced).expect("the first process hands over");
    old.signal("-TERM").unwrap();
    old.wait().unwrap();
    // One line for the incarnation of each of the two processes.
    let incarnations =
        |p: &Process| p.logged("peer alive").iter().filter(|l| l.fields["member"] == 0).count();
    let all_know = || fleet.running[1..].iter().flatten().all(|p| incarnations(p) >= 2).then_some(());
    until(Duration::from_secs(20), all_know).expect("all learn of the second process");
    fleet.see([5, 0, 0, 0], Duration::from_secs(20)).expect("all instances see each other");
    let is_gone = |l: &Line| l.fields["member"] == 0 && l.fields["state"] != "Suspect";
    assert!(!fleet.running.iter().flatten().any(|p| p.logged("peer not alive").iter().any(is_gone)));
}
