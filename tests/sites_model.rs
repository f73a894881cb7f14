//! Model check of three failure detectors that observe two sites, in all combinations of site and link faults with a
//! coarse time step. Two instances are in zone 0, one in zone 1.

use larchdale::failover::failure_detector::{agreement_time, FailureDetector, Transition};
use larchdale::failover::site_report::SiteReport;
use larchdale::failover::{AttemptOutcome, ListedServer, Settings, SiteState, Zone};
use stateright::{Checker, Model, Property};

const STEP: u64 = 1_000_000;
const OWN_ZONES: [Zone; 3] = [0, 0, 1];

/// A fault that is seeded into the driver of the detectors.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SeededFault {
    NoFault,
    /// The driver counts an instance from which it receives no reports as a failure of that instance's site.
    SilenceIsFailure,
    /// The driver passes each peer's latest report to the detector again and again as if it had just been written.
    ReportsDoNotAge,
    /// The driver counts a connection refused in its own zone as an answer.
    OwnRefusalIsAnswer,
}

/// State of sites and links, by instance: the zones that it reaches (as bits), its network partition (instances of the
/// same number receive each other's reports), and the zones that it should finally consider lost (as bits), or
/// [`UNSPECIFIED`].
struct Environment {
    reach: [u8; 3],
    partition: [u8; 3],
    lost: [u8; 3],
}

const UNSPECIFIED: u8 = u8::MAX;
/// In order: no faults; the servers of zone 1 are down; the zones are partitioned; one instance is isolated (of the two
/// in zone 0, which are equivalent, only one), first while zone 1 is up and then while it is down; one instance can't
/// reach zone 1.
const ENVIRONMENTS: [Environment; 9] = [
    Environment { reach: [3, 3, 3], partition: [0, 0, 0], lost: [0, 0, 0] },
    Environment { reach: [1, 1, 1], partition: [0, 0, 0], lost: [2, 2, 2] },
    Environment { reach: [1, 1, 2], partition: [0, 0, 1], lost: [2, 2, 1] },
    Environment { reach: [3, 0, 3], partition: [0, 1, 0], lost: [0, UNSPECIFIED, 0] },
    Environment { reach: [3, 3, 0], partition: [0, 0, 1], lost: [0, 0, UNSPECIFIED] },
    Environment { reach: [1, 0, 1], partition: [0, 1, 0], lost: [2, UNSPECIFIED, 2] },
    Environment { reach: [1, 1, 0], partition: [0, 0, 1], lost: [2, 2, UNSPECIFIED] },
    Environment { reach: [3, 1, 3], partition: [0, 0, 0], lost: [0, 0, 0] },
    Environment { reach: [3, 3, 1], partition: [0, 0, 0], lost: [0, 0, 2] },
];

/// One time step: the index of its environment, and the instance whose reports are lost.
type Step = (usize, Option<usize>);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Run {
    now: u64,
    detectors: Vec<FailureDetector>,
    reports: Vec<Option<SiteReport>>,
    environment: usize,
    /// Number of steps since the environment changed or a report was lost.
    stable_steps: u64,
    environment_changes: u8,
    lost_reports: u8,
    /// Whether an instance that reached a site declared it lost.
    reachable_declared_lost: bool,
    /// Whether an isolated instance declared a site lost.
    isolated_declared_lost: bool,
}

struct Sites {
    seeded_fault: SeededFault,
    steps: u64,
}

fn settings() -> Settings {
    Settings {
        suspect_after: STEP,
        unreachable_after: 2 * STEP,
        report_ttl: 2 * STEP,
        hold_off: STEP,
        max_hold_off: STEP,
        recovery_steps: 1,
        ..Settings::default()
    }
}

impl Sites {
    /// Returns the number of stable steps after which all detectors must have the correct states.
    fn agreement_steps() -> u64 {
        agreement_time(&settings(), STEP).div_ceil(STEP)
    }

    fn attempts(&self, run: &mut Run, instance: usize, senders: &[usize]) {
        for zone in 0..2 {
            let hears_from_zone =
                OWN_ZONES[instance] == zone || senders.iter().any(|&p| OWN_ZONES[p] == zone);
            let is_silent = self.seeded_fault == SeededFault::SilenceIsFailure && !hears_from_zone;
            let own_refusal =
                self.seeded_fault == SeededFault::OwnRefusalIsAnswer && zone == OWN_ZONES[instance];
            let reaches = ENVIRONMENTS[run.environment].reach[instance] & 1 << zone > 0 && !is_silent;
            let outcome =
                if own_refusal || reaches { AttemptOutcome::InTime } else { AttemptOutcome::Refused };
            (0..3).for_each(|n| {
                run.detectors[instance].record_attempt(run.now, zone as u64 * 3 + n, zone, outcome)
            });
        }
    }
}

impl Model for Sites {
    type State = Run;
    type Action = Step;

    fn init_states(&self) -> Vec<Run> {
        let detector = |&own_zone: &Zone| {
            let mut detector = FailureDetector::new(settings(), own_zone, 2, 0, 0);
            detector.update_servers(
                0,
                (0..6).map(|key| ListedServer { key, zone: key as Zone / 3, serving: true }),
            );
            detector
        };
        let detectors = OWN_ZONES.iter().map(detector).collect();
        vec![Run { detectors, reports: vec![None; 3], ..Run::default() }]
    }

    fn actions(&self, run: &Run, steps: &mut Vec<Step>) {
        if run.now < self.steps * STEP {
            let environments =
                (0..ENVIRONMENTS.len()).filter(|&w| w == run.environment || run.environment_changes < 2);
            let is_allowed = |m: &Option<usize>| m.is_none() || run.lost_reports < 1;
            let lost_reports = [None, Some(0), Some(1), Some(2)].into_iter().filter(is_allowed);
            steps.extend(environments.flat_map(|environment| {
                lost_reports.clone().map(move |lost_report| (environment, lost_report))
            }));
        }
    }

    fn next_state(&self, previous: &Run, (environment, lost_report): Step) -> Option<Run> {
        let (changed, report_lost) = (environment != previous.environment, lost_report.is_some());
        let stable_steps = if changed || report_lost { 0 } else { previous.stable_steps + 1 };
        let mut run = Run { now: previous.now + STEP, environment, stable_steps, ..previous.clone() };
        (run.environment_changes, run.lost_reports) =
            (run.environment_changes + u8::from(changed), run.lost_reports + u8::from(report_lost));
        let Environment { reach, partition, .. } = &ENVIRONMENTS[environment];
        let mut transitions = Vec::new();
        for instance in [0, 1, 2] {
            let is_received = |from: &usize| {
                *from != instance && partition[*from] == partition[instance] && lost_report != Some(*from)
            };
            let senders: Vec<usize> = (0..3).filter(is_received).collect();
            self.attempts(&mut run, instance, &senders);
            for from in (0..3).filter(|f| *f != instance) {
                let received = senders.contains(&from) || self.seeded_fault == SeededFault::ReportsDoNotAge;
                if let Some(report) = run.reports[from].as_ref().filter(|_| received) {
                    run.detectors[instance].receive_report(run.now, from as u16, 0, report, &mut transitions);
                }
            }
            // Evaluated twice, because the second evaluation depends on the states set by the first.
            run.detectors[instance].evaluate(run.now, &mut transitions);
            run.detectors[instance].evaluate(run.now + STEP / 2, &mut transitions);
            for Transition { zone, to, .. } in transitions.drain(..) {
                run.reachable_declared_lost |=
                    to == SiteState::Unreachable && reach[instance] & 1 << zone > 0;
                run.isolated_declared_lost |= to == SiteState::Unreachable && reach[instance] == 0;
            }
        }
        // An instance without peers in its partition sends no report, so its previous report stays the latest one.
        for instance in
            (0..3).filter(|&instance| (0..3).any(|to| to != instance && partition[to] == partition[instance]))
        {
            let observed = run.detectors[instance].report(run.now + STEP / 2);
            run.reports[instance] = Some(SiteReport {
                zone: OWN_ZONES[instance] as u8,
                observations: observed,
                ..SiteReport::default()
            });
        }
        Some(run)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn lost(detector: &FailureDetector) -> u8 {
            (0..2).map(|z| u8::from(detector.state(z) == SiteState::Unreachable) << z).sum()
        }
        let agree = |_: &Self, run: &Run| {
            let expected = ENVIRONMENTS[run.environment].lost.iter().zip(&run.detectors);
            run.stable_steps < Sites::agreement_steps()
                || expected.into_iter().all(|(&s, detector)| s == UNSPECIFIED || s == lost(detector))
        };
        let recovered = |_: &Self, run: &Run| {
            run.stable_steps > 4
                && run.environment_changes == 2
                && !run.detectors.iter().any(FailureDetector::any_affected)
        };
        vec![
            Property::always("no instance that reaches a site declares it lost", |_, r: &Run| {
                !r.reachable_declared_lost
            }),
            Property::always("an isolated instance declares no site lost", |_, r: &Run| {
                !r.isolated_declared_lost
            }),
            Property::always("all instances have the correct states within the agreement time", agree),
            Property::sometimes("a site is lost and recovers", recovered),
        ]
    }
}

fn check(seeded_fault: SeededFault, steps: u64) -> Vec<&'static str> {
    let checker = Sites { seeded_fault, steps }.checker().threads(4).spawn_bfs().join();
    println!("{seeded_fault:?}: {} states", checker.unique_state_count());
    let found = checker.discoveries();
    assert!(seeded_fault != SeededFault::NoFault || found.contains_key("a site is lost and recovers"));
    found.into_keys().filter(|name| !name.starts_with("a site")).collect()
}

#[test]
fn three_detectors_of_two_sites_satisfy_all_properties_in_every_run() {
    assert_eq!(check(SeededFault::NoFault, 11), Vec::<&str>::new());
}

#[test]
fn each_seeded_fault_violates_its_property() {
    for (seeded_fault, property) in [
        (SeededFault::SilenceIsFailure, "no instance that reaches a site declares it lost"),
        (SeededFault::ReportsDoNotAge, "all instances have the correct states within the agreement time"),
        (SeededFault::OwnRefusalIsAnswer, "an isolated instance declares no site lost"),
    ] {
        let found = check(seeded_fault, 8);
        assert!(found.contains(&property), "{seeded_fault:?}: {found:?}");
    }
}
