//! Gossip of a fleet on a simulated network with link faults, in simulated time and with fixed seeds.

use fault_injection::{Rule, Schedule};
use larchdale::gossip::{message, Config, State};
use larchdale_test_support::fleet::{Fleet, FIRST};

const S: u64 = 1_000_000;

fn new_fleet(members: usize, seed: u64) -> Fleet {
    Fleet::new(members, seed, Config::new)
}

fn median(mut spans: Vec<u64>) -> u64 {
    spans.sort_unstable();
    spans[spans.len() / 2]
}

#[test]
fn a_killed_member_is_declared_dead_by_all_within_3_s_in_the_median_and_no_other_member_is() {
    let mut all = Vec::new();
    for seed in 0..40 {
        let mut fleet = new_fleet(5, seed);
        fleet.run(5 * S);
        assert!(fleet.agree(), "{seed}");
        let killed_at = fleet.now;
        fleet.kill(2);
        fleet.run(8 * S);
        let detections = fleet.detections(2, killed_at);
        assert_eq!((detections.len(), fleet.agree(), fleet.false_deaths()), (4, true, 0), "{seed}");
        all.extend(detections);
    }
    let worst = *all.iter().max().unwrap();
    assert!(median(all) <= 3 * S && worst <= 6 * S, "{worst}");
}

#[test]
fn at_10_percent_loss_no_live_member_is_declared_dead() {
    for seed in 0..20 {
        let mut fleet = new_fleet(5, seed);
        fleet
            .follow(&Schedule { seed, rules: vec![Rule { delay_ms: [1.0, 10.0], ..Rule::loss(0.1, 0, 0) }] });
        fleet.run(60 * S);
        assert_eq!(fleet.false_deaths(), 0, "{seed}");
    }
}

/// Guards against false deaths at high loss: a suspected member must learn of the suspicion before it has spread, so
/// that its refutation arrives in time.
#[test]
fn at_30_percent_loss_at_most_one_false_death_occurs_in_fleets_of_5_to_60_members() {
    for (members, seconds) in [(5, 900), (20, 300), (60, 60)] {
        let mut fleet = new_fleet(members, 3);
        fleet.follow(&Schedule {
            seed: 3,
            rules: vec![Rule { delay_ms: [1.0, 10.0], ..Rule::loss(0.3, 0, 0) }],
        });
        fleet.run(seconds * S);
        assert!(fleet.false_deaths() <= 1, "{members}: {}", fleet.false_deaths());
    }
}

#[test]
fn views_agree_within_5_s_after_link_faults_end() {
    let faults: [(&str, Vec<Rule>); 5] = [
        ("partition", vec![Rule::partition(&[0, 1], &[2, 3, 4], 0, 10_000)]),
        (
            "outbound loss of one member",
            vec![Rule { both: false, ..Rule::partition(&[0], &[1, 2, 3, 4], 0, 10_000) }],
        ),
        (
            "inbound loss of one member",
            vec![Rule { both: false, ..Rule::partition(&[1, 2, 3, 4], &[0], 0, 10_000) }],
        ),
        (
            "30 % loss, duplicates and reordering",
            vec![Rule { duplicate: 0.3, delay_ms: [0.0, 200.0], ..Rule::loss(0.3, 0, 10_000) }],
        ),
        ("flapping", (0..10).map(|n| Rule::partition(&[3], &[], n * 1_000, n * 1_000 + 700)).collect()),
    ];
    for (what, rules) in faults {
        for seed in 0..20 {
            let mut fleet = new_fleet(5, seed);
            fleet.run(3 * S);
            fleet.follow(&Schedule { seed, rules: rules.clone() });
            fleet.run(10 * S);
            fleet.run(5 * S);
            assert!(
                fleet.agree(),
                "{what}, seed {seed}: {:?}",
                fleet.members.iter().flatten().map(|m| m.by_state()).collect::<Vec<_>>()
            );
        }
    }
}

#[test]
fn members_in_different_partitions_declare_each_other_dead() {
    let mut fleet = new_fleet(5, 1);
    fleet.run(3 * S);
    fleet.follow(&Schedule { seed: 1, rules: vec![Rule::partition(&[0, 1], &[2, 3, 4], 0, 0)] });
    fleet.run(10 * S);
    let dead: Vec<usize> =
        fleet.members.iter().flatten().map(|m| m.by_state()[State::Dead as usize]).collect();
    assert_eq!(dead, [3, 3, 2, 2, 2]);
}

#[test]
fn a_member_that_leaves_is_not_suspected_and_can_return() {
    let mut fleet = new_fleet(5, 4);
    fleet.run(3 * S);
    fleet.leave(1);
    fleet.run(S);
    assert!(fleet.agree() && fleet.changes.iter().all(|c| c.state != State::Suspect), "{:?}", fleet.changes);
    fleet.start(1, FIRST + 1_000);
    fleet.run(2 * S);
    assert!(fleet.agree(), "a member that left may return");
}

#[test]
fn a_member_restarted_within_one_period_is_known_by_its_later_incarnation() {
    for (incarnation, what) in [(FIRST + 1_000, "a later clock"), (FIRST - 100, "a clock that was set back")]
    {
        let mut fleet = new_fleet(5, 9);
        fleet.run(3 * S);
        fleet.kill(3);
        fleet.run(100_000);
        fleet.start(3, incarnation);
        fleet.run(4 * S);
        assert!(fleet.agree(), "{what}");
        let incarnations: Vec<u64> =
            fleet.members.iter().flatten().map(|g| g.view().nth(3).unwrap().incarnation).collect();
        assert!(
            incarnations.iter().all(|&i| i == incarnations[0] && i >= FIRST.max(incarnation)),
            "{what}: {incarnations:?}"
        );
    }
}

#[test]
fn a_join_during_a_partition_is_known_to_all_after_the_partition() {
    for seed in 0..10 {
        let mut fleet = new_fleet(6, seed);
        fleet.kill(5);
        fleet.run(8 * S);
        fleet.follow(&Schedule { seed, rules: vec![Rule::partition(&[0, 1, 5], &[2, 3, 4], 0, 10_000)] });
        fleet.run(4 * S);
        fleet.start(5, FIRST + 4_000);
        fleet.run(6 * S);
        fleet.run(5 * S);
        assert!(fleet.agree(), "{seed}");
    }
}

#[test]
fn a_hundred_members_agree_although_a_datagram_holds_few_updates() {
    let mut fleet = new_fleet(100, 2);
    fleet
        .follow(&Schedule { seed: 2, rules: vec![Rule { delay_ms: [1.0, 10.0], ..Rule::loss(0.05, 0, 0) }] });
    fleet.run(10 * S);
    let killed_at = fleet.now;
    (0..10).for_each(|n| fleet.kill(n * 7));
    fleet.run(20 * S);
    assert!(fleet.agree() && fleet.false_deaths() == 0, "{}", fleet.false_deaths());
    assert!(fleet.sent.2 <= message::MAX_DATAGRAM_BYTES, "{}", fleet.sent.2);
    assert!(median(fleet.detections(7, killed_at)) <= 6 * S);
}

#[test]
fn equal_seeds_give_equal_runs() {
    let run = |seed| {
        let mut fleet = new_fleet(7, seed);
        fleet.follow(&Schedule { seed, rules: vec![Rule::loss(0.2, 0, 0)] });
        fleet.run(10 * S);
        (fleet.changes, fleet.sent)
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}
