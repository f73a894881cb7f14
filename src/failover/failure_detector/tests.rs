//! Tests of a single failure detector, and of several that exchange reports over faulty links.

use super::*;
use fault_injection::{FaultSampler, Rule, Schedule};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const S: Micros = 1_000_000;
const HUB_ZONE: Zone = 2;

/// Returns the outcome of an attempt, given the time, the instance, the zone and the server; `None` for a success.
type FaultModel = fn(Micros, usize, Zone, u64) -> Option<AttemptOutcome>;

/// Six instances: two each in zones 0 and 1, two in zone 3, which has no servers. Zones 0 to 2 have ten servers each.
struct Fleet {
    now: Micros,
    detectors: Vec<FailureDetector>,
    link_faults: FaultSampler,
    in_transit: Vec<(Micros, usize, usize, Micros, SiteReport)>,
    rng: Pcg32,
    /// Time, instance and zone of each transition to `Unreachable`.
    losses: Vec<(Micros, usize, Zone)>,
    timeout_rate: f64,
}

fn listed(key: u64, zone: Zone, serving: bool) -> ListedServer {
    ListedServer { key, zone, serving }
}

fn detector(instance: usize, now: Micros) -> FailureDetector {
    let mut detector =
        FailureDetector::new(Settings::default(), [0, 0, 1, 1, 3, 3][instance], 4, instance as u64, now);
    detector.update_servers(now, (0..30).map(|n| listed(n, n as usize / 10, true)));
    detector
}

impl Fleet {
    fn new(seed: u64, timeout_rate: f64, rules: Vec<Rule>) -> Self {
        let detectors = (0..6).map(|instance| detector(instance, 0)).collect();
        let (link_faults, rng) = (Schedule { seed, rules }.sampler(), Pcg32::seed_from_u64(seed));
        Fleet {
            now: 0,
            detectors,
            link_faults,
            in_transit: Vec::new(),
            rng,
            losses: Vec::new(),
            timeout_rate,
        }
    }

    fn run(&mut self, span: Micros, fault_model: FaultModel) {
        let until = self.now + span;
        while self.now < until {
            self.now += EVALUATION_PERIOD;
            let (now, mut transitions) = (self.now, Vec::new());
            for instance in 0..6 {
                for zone in 0..3 {
                    let server = zone as u64 * 10 + self.rng.random_range(0..10);
                    let timeout = self.rng.random_bool(self.timeout_rate).then_some(AttemptOutcome::TimedOut);
                    // The last instance never sends a request to zone 1.
                    if (instance, zone) != (5, 1) {
                        let outcome = fault_model(now, instance, zone, server)
                            .or(timeout)
                            .unwrap_or(AttemptOutcome::InTime);
                        self.detectors[instance].record_attempt(now, server, zone, outcome);
                    }
                }
                if now % S == instance as Micros * EVALUATION_PERIOD {
                    let zone = self.detectors[instance].own_zone as u8;
                    let report = SiteReport {
                        zone,
                        observations: self.detectors[instance].report(now),
                        ..SiteReport::default()
                    };
                    let report = SiteReport::decode(&report.encode()).unwrap();
                    for to in (0..6).filter(|&to| to != instance) {
                        let link_faults = self.link_faults.delays_us(now / 1_000, instance, to);
                        self.in_transit.extend(
                            link_faults.iter().map(|delay| (now + delay, instance, to, now, report.clone())),
                        );
                    }
                }
            }
            let (due, in_transit) =
                std::mem::take(&mut self.in_transit).into_iter().partition(|report| report.0 <= now);
            self.in_transit = in_transit;
            for (_, from, to, sent_at, report) in Vec::from_iter::<Vec<_>>(due) {
                self.detectors[to].receive_report(now, from as u16, now - sent_at, &report, &mut transitions);
            }
            for instance in 0..6 {
                self.detectors[instance].evaluate(now, &mut transitions);
                for Transition { zone, to, .. } in transitions.drain(..) {
                    if to == SiteState::Unreachable {
                        self.losses.push((now, instance, zone));
                    }
                }
            }
        }
    }

    fn states(&self, zone: Zone) -> Vec<SiteState> {
        self.detectors.iter().map(|detector| detector.state(zone)).collect()
    }
}

fn slow_and_lossy() -> Vec<Rule> {
    vec![Rule { delay_ms: [1.0, 200.0], duplicate: 0.1, ..Rule::loss(0.3, 0, 0) }]
}

#[test]
fn datagram_loss_timeouts_dead_peers_and_a_few_dead_servers_make_no_site_unreachable() {
    for seed in 0..6 {
        let mut fleet = Fleet::new(seed, 0.2, slow_and_lossy());
        for _ in 0..300 {
            fleet.run(S, |_, _, _, server| (server % 10 < 3).then_some(AttemptOutcome::Refused));
            let (instance, gone) = (fleet.rng.random_range(0..6), fleet.rng.random_range(0..6));
            fleet.detectors[instance].remove_peer(gone);
        }
        assert_eq!(
            (&fleet.losses, fleet.states(0), fleet.states(1)),
            (&vec![], vec![SiteState::Serving; 6], vec![SiteState::Serving; 6])
        );
    }
}

#[test]
fn a_lost_site_is_unreachable_for_all_connected_instances_within_the_agreement_time_and_recovers() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, 0.05, slow_and_lossy());
        fleet.run(20 * S, |_, _, _, _| None);
        fleet.run(20 * S, |_, _, zone, _| (zone == 1).then_some(AttemptOutcome::TimedOut));
        let times: Vec<Micros> = fleet.losses.iter().map(|l| l.0 - 20 * S).collect();
        assert!(fleet.losses.iter().all(|l| l.2 == 1) && times.len() == 6, "{:?}", fleet.losses);
        let settings = Settings::default();
        // At a loss rate of 30 %, five consecutive reports of one instance are all lost about once in 400.
        let all = agreement_time(&settings, 5 * S);
        assert!(
            times[0] >= settings.unreachable_after && times[5] - times[0] <= all,
            "seed {seed}: {times:?}"
        );
        fleet.run(60 * S, |_, _, _, _| None);
        assert_eq!((fleet.states(1), fleet.losses.len()), (vec![SiteState::Serving; 6], 6), "seed {seed}");
    }
}

#[test]
fn a_partitioned_site_serves_for_its_own_instances_and_is_unreachable_for_the_others() {
    let mut fleet = Fleet::new(1, 0.05, vec![Rule::partition(&[0, 1], &[2, 3, 4, 5], 10_000, 30_000)]);
    fleet.run(10 * S, |_, _, _, _| None);
    fleet.run(20 * S, |_, instance, zone, _| {
        ((instance < 2) != (zone == 0)).then_some(AttemptOutcome::TimedOut)
    });
    let (serving, unreachable) = (vec![SiteState::Serving; 6], SiteState::Unreachable);
    assert_eq!(fleet.states(0), [&serving[..2], &[unreachable; 4]].concat());
    assert_eq!(fleet.states(1), [&[unreachable; 2], &serving[..4]].concat());
    fleet.run(60 * S, |_, _, _, _| None);
    assert_eq!(
        (fleet.states(0), fleet.states(1), fleet.states(HUB_ZONE)),
        (serving.clone(), serving.clone(), serving)
    );
}

#[test]
fn a_path_cut_for_half_the_instances_makes_no_site_unreachable_while_peers_report_it_reached() {
    let cut: FaultModel =
        |_, instance, zone, _| (instance < 3 && zone == HUB_ZONE).then_some(AttemptOutcome::Refused);
    let mut fleet = Fleet::new(2, 0.05, slow_and_lossy());
    fleet.run(120 * S, cut);
    assert_eq!(fleet.losses, []);
    let mut fleet = Fleet::new(2, 0.05, vec![Rule::partition(&[0, 1, 2], &[3, 4, 5], 0, 0)]);
    fleet.run(20 * S, cut);
    assert_eq!(fleet.states(HUB_ZONE), [[SiteState::Unreachable; 3], [SiteState::Serving; 3]].concat());
}

#[test]
fn an_instance_that_reaches_no_site_is_isolated_and_neither_it_nor_its_peers_lose_a_site() {
    let mut fleet = Fleet::new(3, 0.0, vec![]);
    fleet.run(10 * S, |_, _, _, _| None);
    fleet.run(60 * S, |_, instance, _, _| (instance == 4).then_some(AttemptOutcome::Refused));
    assert!(fleet.detectors[4].is_isolated() && !fleet.detectors[3].is_isolated() && fleet.losses.is_empty());
    // The same holds for a peer that sends no requests itself.
    let mut fleet = Fleet::new(3, 0.0, vec![]);
    fleet.run(10 * S, |_, _, _, _| None);
    let report =
        SiteReport { zone: 3, observations: fleet.detectors[4].report(fleet.now), ..SiteReport::default() };
    assert!(report.observations.iter().all(|s| s.reached > 0) && report.observations.len() == 3);
    let (mut cut, mut idle, mut transitions) = (detector(4, 0), detector(5, 0), Vec::new());
    for at in (EVALUATION_PERIOD..60 * S).step_by(EVALUATION_PERIOD as usize) {
        (0..30).for_each(|n| cut.record_attempt(at, n, n as usize / 10, AttemptOutcome::Refused));
        cut.evaluate(at, &mut transitions);
        let report = SiteReport { zone: 3, observations: cut.report(at), ..SiteReport::default() };
        idle.receive_report(at, 4, 0, &report, &mut transitions);
        idle.evaluate(at, &mut transitions);
    }
    assert_eq!(transitions, []);
}

#[test]
fn after_most_instances_restart_none_is_beyond_the_recovery_step_of_the_others() {
    let mut fleet = Fleet::new(4, 0.0, vec![]);
    fleet.detectors.iter_mut().for_each(|detector| detector.set_warm_up(1, 50 * S));
    fleet.run(10 * S, |_, _, _, _| None);
    fleet.run(10 * S, |_, _, zone, _| (zone == 1).then_some(AttemptOutcome::Refused));
    fleet.run(30 * S, |_, _, _, _| None);
    let SiteState::Recovering { step } = fleet.detectors[0].state(1) else { panic!("{:?}", fleet.states(1)) };
    assert!(step > 0);
    (1..6).for_each(|instance| fleet.detectors[instance] = detector(instance, fleet.now));
    fleet.detectors.iter_mut().for_each(|detector| detector.set_warm_up(1, 50 * S));
    assert!(fleet.detectors[1].is_learning(fleet.now));
    fleet.run(S + EVALUATION_PERIOD, |_, _, _, _| None);
    assert!(
        fleet.states(1).iter().all(|s| matches!(s, SiteState::Recovering { step: s } if *s <= step)),
        "{:?}",
        fleet.states(1)
    );
    assert_eq!(
        (fleet.states(0), fleet.states(HUB_ZONE)),
        (vec![SiteState::Serving; 6], vec![SiteState::Serving; 6])
    );
}

#[test]
fn the_hold_off_of_a_flapping_site_doubles_up_to_its_limit_and_is_reset_after_the_flap_window() {
    let (mut detector, mut transitions, mut now) = (detector(0, 0), Vec::new(), 0);
    let mut run = |span: Micros, outcome: AttemptOutcome| {
        let mut hold_off = None;
        for _ in 0..span / EVALUATION_PERIOD {
            now += EVALUATION_PERIOD;
            (10..20).for_each(|n| detector.record_attempt(now, n, 1, outcome));
            detector.record_attempt(now, 20, HUB_ZONE, AttemptOutcome::InTime);
            detector.evaluate(now, &mut transitions);
            for Transition { reason, .. } in transitions.drain(..) {
                hold_off = if let Reason::HeldOff(span) = reason { Some(span) } else { hold_off };
            }
        }
        hold_off
    };
    let mut flap = |reachable_for: Micros| {
        run(4 * S, AttemptOutcome::Refused);
        run(reachable_for, AttemptOutcome::InTime).expect("the site recovers")
    };
    let Settings { hold_off, max_hold_off, flap_window, .. } = Settings::default();
    let spans: Vec<Micros> = (0..7).map(|_| flap(max_hold_off + 20 * S)).collect();
    for (n, &span) in spans.iter().enumerate() {
        let least = (hold_off << n).min(max_hold_off);
        assert!(
            (least..=(least + least / HOLD_OFF_JITTER_DIVISOR).min(max_hold_off)).contains(&span),
            "{spans:?}"
        );
    }
    flap(max_hold_off + flap_window);
    assert!(flap(max_hold_off + S) <= hold_off + hold_off / HOLD_OFF_JITTER_DIVISOR);
}

/// Evaluates once and checks the transitions. `last_success` holds the time of the last success in each zone.
fn evaluate_and_check(
    detector: &mut FailureDetector,
    now: Micros,
    last_success: &[Option<Micros>],
) -> Result<(), TestCaseError> {
    let mut transitions = Vec::new();
    detector.evaluate(now, &mut transitions);
    for Transition { zone, from, to, .. } in transitions {
        prop_assert!(from != to && from.may_become(to), "{from:?} to {to:?}");
        let reached = last_success[zone].is_some_and(|g| now - g < Settings::default().unreachable_after);
        prop_assert!(
            to != SiteState::Unreachable || !(reached || detector.is_isolated()),
            "reached: {reached}"
        );
    }
    prop_assert!(detector.report(now).len() <= MAX_SITES && detector.next_evaluation() > now);
    Ok(())
}

#[test]
fn reports_of_every_peer_that_the_settings_may_name_are_accepted() {
    let last_peer = u16::try_from(crate::config::settings::MAX_INSTANCES - 1).unwrap();
    for peer in [0, 1_023, 1_024, last_peer] {
        let mut observations = Observations::new(TimeLimits::of(&Settings::default()), 0, 4);
        let failing =
            vec![SiteObservation { zone: 1, reached: 0, failed: 3, unreachable_tenths_s: 10, state: 0 }];
        assert!(
            observations.receive_report(
                10 * S,
                peer,
                0,
                &SiteReport { zone: 2, observations: failing, ..SiteReport::default() }
            ),
            "{peer}"
        );
        assert!(observations.fails_for_a_peer(1), "{peer}");
    }
}

#[test]
fn a_site_with_one_server_is_suspected_only_after_eight_timeouts() {
    let (mut detector, mut transitions) = (detector(0, 0), Vec::new());
    detector.update_servers(0, [listed(10, 1, true)]);
    for n in 1..=8 {
        assert!(!detector.any_affected(), "{n}");
        detector.record_attempt(n * S, 10, 1, AttemptOutcome::TimedOut);
        detector.record_attempt(n * S, 20, HUB_ZONE, AttemptOutcome::InTime);
        detector.evaluate(n * S, &mut transitions);
    }
    assert_eq!(detector.state(1), SiteState::Suspected);
}

const OUTCOMES: [AttemptOutcome; 4] =
    [AttemptOutcome::InTime, AttemptOutcome::Refused, AttemptOutcome::Reset, AttemptOutcome::TimedOut];

proptest! {
    #![proptest_config(crate::net::testing::config())]

    #[test]
    fn transitions_are_allowed_and_neither_a_reached_site_nor_any_site_of_an_isolated_instance_is_lost(
        ops in proptest::collection::vec((0u8..9, 0usize..4, 0usize..4, any::<[u8; 3]>()), 0..60), seed: u64,
    ) {
        let (mut now, mut detector, mut last_success, mut transitions) = (0, detector(0, 0), [None::<Micros>; 4], Vec::new());
        detector.jitter_seed = seed;
        for (kind, zone, choice, [a, b, c]) in ops {
            match kind {
                0 => now += Micros::from(a) * 20_000,
                1 => detector.remove_peer(u16::from(a % 4)),
                2 => detector.update_servers(now, (0..u64::from(a % 40)).map(|n| listed(n, n as usize / 10, n % 7 > 0))),
                3 => detector.reconfigure(Settings { recovery_steps: a % 6, ..Settings::default() }, &mut transitions),
                4 | 5 => {
                    let observation = SiteObservation { zone: zone as u8, reached: a % 3, failed: b % 12, unreachable_tenths_s: c, state: b % 9 };
                    let report = SiteReport { zone: choice as u8, observations: vec![observation], ..SiteReport::default() };
                    detector.receive_report(now, u16::from(c % 4), Micros::from(a) * 20_000, &report, &mut transitions);
                }
                // Attempts at the servers of one zone in turn, and at a second zone that mostly answers.
                _ => for n in 0..u64::from(a % 50) {
                    now += EVALUATION_PERIOD;
                    for (zone, outcome) in [(zone, OUTCOMES[choice]), (3, OUTCOMES[usize::from(b % 5 == 0)])] {
                        detector.record_attempt(now, zone as u64 * 10 + n % 10, zone, outcome);
                        last_success[zone] = if outcome == AttemptOutcome::InTime { Some(now) } else { last_success[zone] };
                    }
                    evaluate_and_check(&mut detector, now, &last_success)?;
                }
            }
            evaluate_and_check(&mut detector, now, &last_success)?;
        }
    }
}

/// Guards against false detection by an instance that was paused: the time of the pause, in which it made no attempt,
/// must not count as a time of failures.
#[test]
fn attempts_that_timed_out_during_a_pause_do_not_make_a_site_suspected() {
    for pause in [S / 2, 5 * S, 30 * S] {
        let (mut detector, mut transitions) = (detector(0, 0), Vec::new());
        for n in 0..30 {
            detector.record_attempt(S, n, n as usize / 10, AttemptOutcome::InTime);
        }
        detector.evaluate(S, &mut transitions);
        let resumed_at = S + pause;
        for n in 10..20 {
            detector.record_attempt(resumed_at, n, 1, AttemptOutcome::TimedOut);
        }
        detector.record_attempt(resumed_at, 0, 0, AttemptOutcome::InTime);
        detector.evaluate(resumed_at, &mut transitions);
        assert_eq!(transitions, [], "after {pause}");
    }
}
