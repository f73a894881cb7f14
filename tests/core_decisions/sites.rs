//! Decisions of six failure detectors that exchange reports over lossy links while servers and sites fail.

use crate::digest::{expect, Digest};
use larchdale::failover::failure_detector::{FailureDetector, Reason, Transition};
use larchdale::failover::instance_share::{EvenShare, InstanceShare};
use larchdale::failover::recovery_ramp::traffic_share;
use larchdale::failover::site_report::SiteReport;
use larchdale::failover::{AttemptOutcome, ListedServer, Settings, SiteState, Zone};
use larchdale::routing::events::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const S: Micros = 1_000_000;
const STEP_US: Micros = 100_000;
const ZONES: usize = 4;
const STEPS: Micros = 4_000;
/// Zone of each detector's instance; zones 0 to 2 have ten servers each.
const OWN_ZONES: [Zone; 6] = [0, 0, 1, 1, 3, 3];

fn settings() -> Settings {
    Settings { max_hold_off: 15 * S, flap_window: 40 * S, ..Settings::default() }
}

struct Simulation {
    rng: Pcg32,
    now: Micros,
    detectors: Vec<FailureDetector>,
    /// Fraction of attempts that fail, by detector and zone.
    failure_rate: [[f64; ZONES]; 6],
    /// Probability that a detector's instance makes an attempt at a zone in one step, by detector.
    activity: [f64; 6],
    digest: Digest,
    losses: usize,
    recoveries: usize,
}

fn state_tag(state: SiteState) -> u8 {
    match state {
        SiteState::Serving => 1,
        SiteState::Suspected => 2,
        SiteState::Unreachable => 3,
        SiteState::Recovering { step } => 4 + step,
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let detector = |(number, &own_zone): (usize, &Zone)| {
            let mut detector =
                FailureDetector::new(settings(), own_zone, ZONES, seed * 10 + number as u64, 0);
            detector.update_servers(
                0,
                (0..30).map(|key| ListedServer { key, zone: key as usize / 10, serving: true }),
            );
            detector.set_warm_up(0, S);
            detector.set_warm_up(1, 2 * S);
            detector
        };
        Simulation {
            rng: Pcg32::seed_from_u64(seed),
            now: 0,
            detectors: OWN_ZONES.iter().enumerate().map(detector).collect(),
            failure_rate: [[0.02; ZONES]; 6],
            activity: [1.0; 6],
            digest: Digest::new(),
            losses: 0,
            recoveries: 0,
        }
    }

    /// Changes the failure rate of a site, for all instances or for those outside, and one detector's settings or
    /// state.
    fn change_faults(&mut self) {
        let zone = self.rng.random_range(0..3);
        let fraction = [0.02, 0.02, 0.3, 1.0][self.rng.random_range(0..4)];
        let unaffected_zone = [usize::MAX, zone][self.rng.random_range(0..2)];
        for (failure_rate, own_zone) in self.failure_rate.iter_mut().zip(OWN_ZONES) {
            if own_zone != unaffected_zone {
                failure_rate[zone] = fraction;
            }
        }
        let detector = self.rng.random_range(0..6);
        self.activity[detector] = [1.0, 0.5, 0.2][self.rng.random_range(0..3)];
        match self.rng.random_range(0..12) {
            0 => self.failure_rate[detector] = [1.0; ZONES],
            1..4 => self.failure_rate[detector] = [0.02; ZONES],
            4 => {
                let steps = self.rng.random_range(2..7);
                let mut transitions = Vec::new();
                self.detectors[detector]
                    .reconfigure(Settings { recovery_steps: steps, ..settings() }, &mut transitions);
                self.write(detector, transitions);
            }
            5 => {
                let removed = self.rng.random_range(0..30);
                let servers =
                    (0..30).map(|key| ListedServer { key, zone: key as usize / 10, serving: key != removed });
                self.detectors[detector].update_servers(self.now, servers.skip(removed as usize / 5));
            }
            6 => {
                let peer = self.rng.random_range(0..6);
                self.detectors[detector].remove_peer(peer);
            }
            7 => {
                self.detectors[detector] =
                    FailureDetector::new(settings(), OWN_ZONES[detector], ZONES, self.now, self.now)
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        self.now += STEP_US;
        let now = self.now;
        for detector in 0..6 {
            for zone in 0..3 {
                let server = zone as u64 * 10 + self.rng.random_range(0..10);
                let outcome = if self.rng.random_bool(self.failure_rate[detector][zone]) {
                    [AttemptOutcome::TimedOut, AttemptOutcome::Refused, AttemptOutcome::Reset]
                        [self.rng.random_range(0..3)]
                } else {
                    AttemptOutcome::InTime
                };
                let makes_attempt = self.rng.random_bool(self.activity[detector]);
                // The last detector's instance never sends a request to zone 1.
                if makes_attempt && (detector, zone) != (5, 1) {
                    self.detectors[detector].record_attempt(now, server, zone, outcome);
                }
            }
        }
        let sender = (now / STEP_US % 10) as usize;
        if sender < 6 {
            self.send_report(sender);
        }
        for detector in 0..6 {
            let mut transitions = Vec::new();
            if now >= self.detectors[detector].next_evaluation() {
                self.detectors[detector].evaluate(now, &mut transitions);
            }
            self.write(detector, transitions);
        }
    }

    /// Sends one detector's report to the others, with delay and losses.
    fn send_report(&mut self, sender: usize) {
        let zone = OWN_ZONES[sender] as u8;
        let report = SiteReport {
            zone,
            observations: self.detectors[sender].report(self.now),
            ..SiteReport::default()
        };
        let bytes = report.encode();
        self.digest.bytes(&bytes);
        let report = SiteReport::decode(&bytes).unwrap();
        for receiver in (0..6).filter(|&receiver| receiver != sender) {
            let age = self.rng.random_range(0..3) * STEP_US;
            if self.rng.random_bool(0.8) {
                let mut transitions = Vec::new();
                self.detectors[receiver].receive_report(
                    self.now,
                    sender as u16,
                    age,
                    &report,
                    &mut transitions,
                );
                self.write(receiver, transitions);
            }
        }
    }

    fn write(&mut self, detector: usize, transitions: Vec<Transition>) {
        let digest = &mut self.digest;
        digest.number(self.now);
        digest.count(detector);
        for Transition { zone, from, to, reason } in transitions {
            self.losses += usize::from(to == SiteState::Unreachable);
            self.recoveries += usize::from(matches!(to, SiteState::Recovering { step: 0 }));
            digest.count(zone);
            digest.tag(state_tag(from));
            digest.tag(state_tag(to));
            match reason {
                Reason::NotReached(span) => {
                    digest.tag(1);
                    digest.number(span);
                }
                Reason::Reached => digest.tag(2),
                Reason::HeldOff(span) => {
                    digest.tag(3);
                    digest.number(span);
                }
                Reason::StepCompleted => digest.tag(4),
                Reason::StepFailed => digest.tag(5),
                Reason::LearnedFromPeer => digest.tag(6),
                Reason::SettingsChanged => digest.tag(7),
            }
        }
        let detector = &self.detectors[detector];
        (0..ZONES).for_each(|zone| digest.tag(state_tag(detector.state(zone))));
        digest.flag(detector.is_isolated());
        digest.flag(detector.is_learning(self.now));
        digest.flag(detector.any_affected());
        digest.number(detector.next_evaluation());
    }
}

fn run(seed: u64) -> u64 {
    let mut run = Simulation::new(seed);
    for step in 0..STEPS {
        if step % 47 == 46 {
            run.change_faults();
        }
        run.step();
    }
    assert!(
        run.losses > 10 && run.recoveries > 10,
        "too few losses or recoveries: {} {}",
        run.losses,
        run.recoveries
    );
    run.digest.finish()
}

/// Returns the digest of the shares of instances and of recovery steps.
fn shares(seed: u64) -> u64 {
    let (mut rng, mut digest) = (Pcg32::seed_from_u64(seed), Digest::new());
    for _ in 0..300 {
        let settings = larchdale::routing::events::Settings {
            routers: rng.random_range(0..40),
            routers_by_zone: (0..rng.random_range(1..5)).map(|_| rng.random_range(0..12)).collect(),
            processes: rng.random_range(0..3),
            ..Default::default()
        };
        let local: Vec<Zone> = (0..rng.random_range(0..4)).collect();
        let share = EvenShare::new(&settings, rng.random_range(0..50), &local);
        (0..6).for_each(|zone| digest.float(share.share(zone, 0)));
        let (steps, fraction) = (rng.random_range(1..8), rng.random_range(-0.1..1.1));
        for state in [SiteState::Serving, SiteState::Suspected, SiteState::Unreachable] {
            digest.float(traffic_share(state, steps, fraction));
        }
        (0..=steps)
            .for_each(|step| digest.float(traffic_share(SiteState::Recovering { step }, steps, fraction)));
    }
    digest.finish()
}

#[test]
fn failure_detectors_make_the_recorded_decisions() {
    expect(
        "failure detectors",
        run,
        &[0x367fc7bd66bc2748, 0x69694990e22251b1, 0x6355d75756c1c235, 0x2942e5079772f7f8],
    );
}

#[test]
fn shares_are_as_recorded() {
    expect("shares of instances and of recovery steps", shares, &[0xf3be51bf85f830ec]);
}
