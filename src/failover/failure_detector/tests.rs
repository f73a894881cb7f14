//! The failure detector by itself, and several of them that exchange reports over links with faults.

use super::*;
use fault_injection::{FaultSampler, Rule, Schedule};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const S: Micros = 1_000_000;
const HUB: Zone = 2;

/// What an attempt of an instance at a zone's server meets.
type World = fn(Micros, usize, Zone, u64) -> Option<AttemptOutcome>;

/// Six instances: two each in zones 0 and 1, two more in a zone without servers. Zones 0 to 2 have ten servers each.
struct Fleet {
    now: Micros,
    detectors: Vec<FailureDetector>,
    fates: FaultSampler,
    flying: Vec<(Micros, usize, usize, Micros, SiteReport)>,
    rng: Pcg32,
    /// When which instance took which zone to be unreachable.
    lost: Vec<(Micros, usize, Zone)>,
    timing_out: f64,
}

fn listed(key: u64, zone: Zone, serving: bool) -> ListedServer {
    ListedServer { key, zone, serving }
}

fn detector(d: usize, now: Micros) -> FailureDetector {
    let mut detector = FailureDetector::new(Settings::default(), [0, 0, 1, 1, 3, 3][d], 4, d as u64, now);
    detector.update_servers(now, (0..30).map(|n| listed(n, n as usize / 10, true)));
    detector
}

impl Fleet {
    fn new(seed: u64, timing_out: f64, rules: Vec<Rule>) -> Self {
        let detectors = (0..6).map(|d| detector(d, 0)).collect();
        let (fates, rng) = (Schedule { seed, rules }.sampler(), Pcg32::seed_from_u64(seed));
        Fleet { now: 0, detectors, fates, flying: Vec::new(), rng, lost: Vec::new(), timing_out }
    }

    fn run(&mut self, span: Micros, world: World) {
        let until = self.now + span;
        while self.now < until {
            self.now += EVALUATION_PERIOD;
            let (now, mut transitions) = (self.now, Vec::new());
            for d in 0..6 {
                for zone in 0..3 {
                    let server = zone as u64 * 10 + self.rng.random_range(0..10);
                    let timing_out =
                        self.rng.random_bool(self.timing_out).then_some(AttemptOutcome::TimedOut);
                    // Of the last instance no request ever goes to zone 1.
                    if (d, zone) != (5, 1) {
                        let end =
                            world(now, d, zone, server).or(timing_out).unwrap_or(AttemptOutcome::InTime);
                        self.detectors[d].record_attempt(now, server, zone, end);
                    }
                }
                if now % S == d as Micros * EVALUATION_PERIOD {
                    let zone = self.detectors[d].own_zone as u8;
                    let report = SiteReport {
                        zone,
                        observations: self.detectors[d].report(now),
                        ..SiteReport::default()
                    };
                    let report = SiteReport::decode(&report.encode()).unwrap();
                    for to in (0..6).filter(|&to| to != d) {
                        let fates = self.fates.delays_us(now / 1_000, d, to);
                        self.flying
                            .extend(fates.iter().map(|delay| (now + delay, d, to, now, report.clone())));
                    }
                }
            }
            let (due, flying) = std::mem::take(&mut self.flying).into_iter().partition(|f| f.0 <= now);
            self.flying = flying;
            for (_, from, to, said, report) in Vec::from_iter::<Vec<_>>(due) {
                self.detectors[to].receive_report(now, from as u16, now - said, &report, &mut transitions);
            }
            for d in 0..6 {
                self.detectors[d].evaluate(now, &mut transitions);
                for Transition { zone, to, .. } in transitions.drain(..) {
                    if to == SiteState::Unreachable {
                        self.lost.push((now, d, zone));
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
fn lost_datagrams_timeouts_dead_peers_and_a_few_dead_servers_make_no_site_unreachable() {
    for seed in 0..6 {
        let mut f = Fleet::new(seed, 0.2, slow_and_lossy());
        for _ in 0..300 {
            f.run(S, |_, _, _, server| (server % 10 < 3).then_some(AttemptOutcome::Refused));
            let (d, gone) = (f.rng.random_range(0..6), f.rng.random_range(0..6));
            f.detectors[d].remove_peer(gone);
        }
        assert_eq!(
            (&f.lost, f.states(0), f.states(1)),
            (&vec![], vec![SiteState::Serving; 6], vec![SiteState::Serving; 6])
        );
    }
}

#[test]
fn a_lost_site_is_unreachable_for_all_connected_instances_within_the_stated_time_and_recovers() {
    for seed in 0..20 {
        let mut f = Fleet::new(seed, 0.05, slow_and_lossy());
        f.run(20 * S, |_, _, _, _| None);
        f.run(20 * S, |_, _, zone, _| (zone == 1).then_some(AttemptOutcome::TimedOut));
        let times: Vec<Micros> = f.lost.iter().map(|l| l.0 - 20 * S).collect();
        assert!(f.lost.iter().all(|l| l.2 == 1) && times.len() == 6, "{:?}", f.lost);
        let settings = Settings::default();
        // With three in ten lost, five notes of one instance in a row come to nothing once in 400.
        let all = agreement_time(&settings, 5 * S);
        assert!(
            times[0] >= settings.unreachable_after && times[5] - times[0] <= all,
            "seed {seed}: {times:?}"
        );
        f.run(60 * S, |_, _, _, _| None);
        assert_eq!((f.states(1), f.lost.len()), (vec![SiteState::Serving; 6], 6), "seed {seed}");
    }
}

#[test]
fn a_partitioned_site_serves_for_its_own_instances_and_is_unreachable_for_the_others() {
    let mut f = Fleet::new(1, 0.05, vec![Rule::partition(&[0, 1], &[2, 3, 4, 5], 10_000, 30_000)]);
    f.run(10 * S, |_, _, _, _| None);
    f.run(20 * S, |_, d, zone, _| ((d < 2) != (zone == 0)).then_some(AttemptOutcome::TimedOut));
    let (serving, lost) = (vec![SiteState::Serving; 6], SiteState::Unreachable);
    assert_eq!(f.states(0), [&serving[..2], &[lost; 4]].concat());
    assert_eq!(f.states(1), [&[lost; 2], &serving[..4]].concat());
    f.run(60 * S, |_, _, _, _| None);
    assert_eq!((f.states(0), f.states(1), f.states(HUB)), (serving.clone(), serving.clone(), serving));
}

#[test]
fn a_path_cut_for_half_the_instances_makes_no_site_unreachable_while_peers_report_it_reached() {
    let cut: World = |_, d, zone, _| (d < 3 && zone == HUB).then_some(AttemptOutcome::Refused);
    let mut f = Fleet::new(2, 0.05, slow_and_lossy());
    f.run(120 * S, cut);
    assert_eq!(f.lost, []);
    let mut f = Fleet::new(2, 0.05, vec![Rule::partition(&[0, 1, 2], &[3, 4, 5], 0, 0)]);
    f.run(20 * S, cut);
    assert_eq!(f.states(HUB), [[SiteState::Unreachable; 3], [SiteState::Serving; 3]].concat());
}

#[test]
fn an_instance_that_reaches_nobody_is_isolated_and_neither_it_nor_its_peers_lose_a_site() {
    let mut f = Fleet::new(3, 0.0, vec![]);
    f.run(10 * S, |_, _, _, _| None);
    f.run(60 * S, |_, d, _, _| (d == 4).then_some(AttemptOutcome::Refused));
    assert!(f.detectors[4].is_isolated() && !f.detectors[3].is_isolated() && f.lost.is_empty());
    // Nor where nobody else sends anything there.
    let mut f = Fleet::new(3, 0.0, vec![]);
    f.run(10 * S, |_, _, _, _| None);
    let report = SiteReport { zone: 3, observations: f.detectors[4].report(f.now), ..SiteReport::default() };
    assert!(report.observations.iter().all(|s| s.reached > 0) && report.observations.len() == 3);
    let (mut cut, mut deaf, mut transitions) = (detector(4, 0), detector(5, 0), Vec::new());
    for at in (EVALUATION_PERIOD..60 * S).step_by(EVALUATION_PERIOD as usize) {
        (0..30).for_each(|n| cut.record_attempt(at, n, n as usize / 10, AttemptOutcome::Refused));
        cut.evaluate(at, &mut transitions);
        let report = SiteReport { zone: 3, observations: cut.report(at), ..SiteReport::default() };
        deaf.receive_report(at, 4, 0, &report, &mut transitions);
        deaf.evaluate(at, &mut transitions);
    }
    assert_eq!(transitions, []);
}

#[test]
fn after_most_instances_restarted_none_is_beyond_the_step_of_the_others() {
    let mut f = Fleet::new(4, 0.0, vec![]);
    f.detectors.iter_mut().for_each(|detector| detector.set_warm_up(1, 50 * S));
    f.run(10 * S, |_, _, _, _| None);
    f.run(10 * S, |_, _, zone, _| (zone == 1).then_some(AttemptOutcome::Refused));
    f.run(30 * S, |_, _, _, _| None);
    let SiteState::Recovering { step } = f.detectors[0].state(1) else { panic!("{:?}", f.states(1)) };
    assert!(step > 0);
    (1..6).for_each(|d| f.detectors[d] = detector(d, f.now));
    f.detectors.iter_mut().for_each(|detector| detector.set_warm_up(1, 50 * S));
    assert!(f.detectors[1].is_learning(f.now));
    f.run(S + EVALUATION_PERIOD, |_, _, _, _| None);
    assert!(
        f.states(1).iter().all(|s| matches!(s, SiteState::Recovering { step: s } if *s <= step)),
        "{:?}",
        f.states(1)
    );
    assert_eq!((f.states(0), f.states(HUB)), (vec![SiteState::Serving; 6], vec![SiteState::Serving; 6]));
}

#[test]
fn the_hold_off_of_a_flapping_site_doubles_up_to_its_limit_and_is_reset_after_the_flap_window() {
    let (mut detector, mut transitions, mut now) = (detector(0, 0), Vec::new(), 0);
    let mut last = |span: Micros, end: AttemptOutcome| {
        let mut hold_off = None;
        for _ in 0..span / EVALUATION_PERIOD {
            now += EVALUATION_PERIOD;
            (10..20).for_each(|n| detector.record_attempt(now, n, 1, end));
            detector.record_attempt(now, 20, HUB, AttemptOutcome::InTime);
            detector.evaluate(now, &mut transitions);
            for Transition { reason, .. } in transitions.drain(..) {
                hold_off = if let Reason::HeldOff(span) = reason { Some(span) } else { hold_off };
            }
        }
        hold_off
    };
    let mut flap = |calm: Micros| {
        last(4 * S, AttemptOutcome::Refused);
        last(calm, AttemptOutcome::InTime).expect("it returns")
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

/// Evaluates once, and checks what changes.
fn evaluated(
    detector: &mut FailureDetector,
    now: Micros,
    good: &[Option<Micros>],
) -> Result<(), TestCaseError> {
    let mut transitions = Vec::new();
    detector.evaluate(now, &mut transitions);
    for Transition { zone, from, to, .. } in transitions {
        prop_assert!(from != to && from.may_become(to), "{from:?} to {to:?}");
        let reached = good[zone].is_some_and(|g| now - g < Settings::default().unreachable_after);
        prop_assert!(
            to != SiteState::Unreachable || !(reached || detector.is_isolated()),
            "reached: {reached}"
        );
    }
    prop_assert!(detector.report(now).len() <= MAX_SITES && detector.next_evaluation() > now);
    Ok(())
}

#[test]
fn reports_of_every_peer_that_settings_may_name_are_received() {
    let last = u16::try_from(crate::config::settings::MAX_INSTANCES - 1).unwrap();
    for member in [0, 1_023, 1_024, last] {
        let mut observations = Observations::new(TimeLimits::of(&Settings::default()), 0, 4);
        let failing =
            vec![SiteObservation { zone: 1, reached: 0, failed: 3, unreachable_tenths_s: 10, state: 0 }];
        assert!(
            observations.receive_report(
                10 * S,
                member,
                0,
                &SiteReport { zone: 2, observations: failing, ..SiteReport::default() }
            ),
            "{member}"
        );
        assert!(observations.fails_for_a_peer(1), "{member}");
    }
}

#[test]
fn a_few_timeouts_at_a_site_of_one_server_do_not_suspect_it() {
    let (mut detector, mut transitions) = (detector(0, 0), Vec::new());
    detector.update_servers(0, [listed(10, 1, true)]);
    for n in 1..=8 {
        assert!(!detector.any_affected(), "{n}");
        detector.record_attempt(n * S, 10, 1, AttemptOutcome::TimedOut);
        detector.record_attempt(n * S, 20, HUB, AttemptOutcome::InTime);
        detector.evaluate(n * S, &mut transitions);
    }
    assert_eq!(detector.state(1), SiteState::Suspected);
}

const ENDS: [AttemptOutcome; 4] =
    [AttemptOutcome::InTime, AttemptOutcome::Refused, AttemptOutcome::Reset, AttemptOutcome::TimedOut];

proptest! {
    #![proptest_config(crate::net::testing::config())]

    #[test]
    fn states_follow_their_edges_and_no_reached_site_is_lost_nor_any_by_an_isolated_instance(
        ops in proptest::collection::vec((0u8..9, 0usize..4, 0usize..4, any::<[u8; 3]>()), 0..60), seed: u64,
    ) {
        let (mut now, mut detector, mut good, mut transitions) = (0, detector(0, 0), [None::<Micros>; 4], Vec::new());
        detector.jitter_seed = seed;
        for (kind, zone, end, [a, b, c]) in ops {
            match kind {
                0 => now += Micros::from(a) * 20_000,
                1 => detector.remove_peer(u16::from(a % 4)),
                2 => detector.update_servers(now, (0..u64::from(a % 40)).map(|n| listed(n, n as usize / 10, n % 7 > 0))),
                3 => detector.reconfigure(Settings { recovery_steps: a % 6, ..Settings::default() }, &mut transitions),
                4 | 5 => {
                    let observation = SiteObservation { zone: zone as u8, reached: a % 3, failed: b % 12, unreachable_tenths_s: c, state: b % 9 };
                    let report = SiteReport { zone: end as u8, observations: vec![observation], ..SiteReport::default() };
                    detector.receive_report(now, u16::from(c % 4), Micros::from(a) * 20_000, &report, &mut transitions);
                }
                // The servers of a zone, in turn, and most often something that is reached besides.
                _ => for n in 0..u64::from(a % 50) {
                    now += EVALUATION_PERIOD;
                    for (zone, end) in [(zone, ENDS[end]), (3, ENDS[usize::from(b % 5 == 0)])] {
                        detector.record_attempt(now, zone as u64 * 10 + n % 10, zone, end);
                        good[zone] = if end == AttemptOutcome::InTime { Some(now) } else { good[zone] };
                    }
                    evaluated(&mut detector, now, &good)?;
                }
            }
            evaluated(&mut detector, now, &good)?;
        }
    }
}

/// Guards a site against an instance that was stopped: time in which nobody was tried is no time of failures.
#[test]
fn after_a_pause_attempts_that_ran_out_meanwhile_speak_against_no_site_yet() {
    for pause in [S / 2, 5 * S, 30 * S] {
        let (mut detector, mut transitions) = (detector(0, 0), Vec::new());
        for n in 0..30 {
            detector.record_attempt(S, n, n as usize / 10, AttemptOutcome::InTime);
        }
        detector.evaluate(S, &mut transitions);
        let woken = S + pause;
        for n in 10..20 {
            detector.record_attempt(woken, n, 1, AttemptOutcome::TimedOut);
        }
        detector.record_attempt(woken, 0, 0, AttemptOutcome::InTime);
        detector.evaluate(woken, &mut transitions);
        assert_eq!(transitions, [], "after {pause}");
    }
}
