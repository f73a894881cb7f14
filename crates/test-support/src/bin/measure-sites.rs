//! The loss and return of a site: aim beside figure, status not 0 where an aim is missed. Six real instances with the
//! plan on and off, a hundred simulated ones that judge by notes over a network that loses some, and what guidance
//! costs a request. Its argument is the program.

use fault_injection::{Rule, Schedule};
use larchdale::failover::failure_detector::{agreement_time, FailureDetector, Transition, EVALUATION_PERIOD};
use larchdale::failover::site_report::SiteReport;
use larchdale::failover::{AttemptOutcome, ListedServer, Settings as Sites, SiteState};
use larchdale::routing::constraints::{Constraints, RateLimit};
use larchdale::routing::events::*;
use larchdale::Router;
use larchdale_test_support::fleet;
use larchdale_test_support::world::losses::*;
use larchdale_test_support::world::records::Request as Asked;
use larchdale_test_support::world::{gather, Fleet, UNSAFE};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

const S: u64 = 1_000_000;
const SEEDS: [u64; 2] = [1, 2];

/// What one loss of a branch came to.
struct Run {
    fleet: Fleet,
    requests: Vec<Asked>,
    out: Out,
}

fn run(program: &str, script: &str, seed: u64) -> std::io::Result<Run> {
    let name = format!("measure-{seed}-{}", script.is_empty());
    let fleet = larchdale_test_support::world::losses::fleet(program, &name, script, ALL)?;
    let from = fleet.servers.now();
    let clients = fleet.load(RATE, seed, Duration::from_secs(30))?;
    let out = lose(&fleet, EDGE, from + 3 * S, from + 13 * S, HOLD_OFF)?;
    Ok(Run { requests: gather(clients), fleet, out })
}

impl Run {
    fn refused(&self, class: &str, to: u64) -> f64 {
        let (sent, refused) = refused(&self.requests, class, self.out.lost, to);
        refused / sent.max(1.0)
    }

    fn peak(&self) -> f64 {
        peaks(&self.fleet, &[self.out], &[]).values().copied().fold(0.0, f64::max)
    }

    /// Seconds until each instance held the branch lost.
    fn judged(&self) -> Vec<f64> {
        let first = |d| losses(&self.fleet, d, EDGE).first().map(|at| at.saturating_sub(self.out.lost));
        (0..self.fleet.plan.many()).map(|d| first(d).map_or(f64::INFINITY, |s| s as f64 / S as f64)).collect()
    }
}

/// Simulated instances of three branches, of which the first loses all its servers: when the last came to hold it lost,
/// in seconds, and how often another site, or this one before, was held lost.
fn simulated(many: usize, seed: u64, loss: f64) -> (f64, usize) {
    const ZONES: usize = 5;
    let (before, after) = (20 * S, 15 * S);
    let mut net = fleet::Fleet::new(many, seed, larchdale::gossip::Config::new);
    net.follow(&Schedule { seed, rules: vec![Rule { delay_ms: [1.0, 10.0], ..Rule::loss(loss, 0, 0) }] });
    net.run(5 * S);
    let zone = |d: usize| EDGE + d % 3;
    let judge = |d: usize| {
        let mut judge = FailureDetector::new(Sites::default(), zone(d), ZONES, d as u64, net.now);
        judge.update_servers(
            net.now,
            (0..10 * ZONES).map(|n| ListedServer { key: n as u64, zone: n / 10, serving: true }),
        );
        judge
    };
    let mut judges: Vec<FailureDetector> = (0..many).map(judge).collect();
    let (mut rng, began, mut held, mut wrong) = (Pcg32::seed_from_u64(seed), net.now, vec![None; many], 0);
    let lost = began + before;
    while net.now < lost + after {
        net.run(EVALUATION_PERIOD);
        let now = net.now;
        for (d, judge) in judges.iter_mut().enumerate() {
            let mut actions = Vec::new();
            // What it sends: most to its own branch, the rest to the hubs; one of a hundred is silent.
            for at in [zone(d), zone(d), 0, 1] {
                let server = (at * 10 + rng.random_range(0..10)) as u64;
                let end =
                    if at == EDGE && now >= lost { AttemptOutcome::Refused } else { AttemptOutcome::InTime };
                let end = if rng.random_bool(0.01) { AttemptOutcome::TimedOut } else { end };
                judge.record_attempt(now, server, at, end);
            }
            let notes = net.members[d].iter().flat_map(|g| g.notes(now));
            for received in notes {
                if let Ok(note) = SiteReport::decode(received.bytes) {
                    judge.receive_report(now, received.member, received.age, &note, &mut actions);
                }
            }
            judge.evaluate(now, &mut actions);
            for Transition { zone, to, .. } in actions {
                if to == SiteState::Unreachable && zone == EDGE && now >= lost {
                    held[d].get_or_insert(now);
                } else if to == SiteState::Unreachable {
                    wrong += 1;
                }
            }
        }
        // Once in ten periods each says what it sees.
        for (d, judge) in
            judges.iter().enumerate().filter(|j| (j.0 as u64 + now / EVALUATION_PERIOD).is_multiple_of(10))
        {
            let sights = judge.report(now);
            let note = SiteReport {
                zone: zone(d) as u8,
                clock_ms: now / 1_000,
                observations: sights,
                ..SiteReport::default()
            };
            net.note(d, &note.encode());
        }
    }
    let last = held.iter().map(|h| h.map_or(f64::INFINITY, |at| (at - lost) as f64 / S as f64));
    (last.fold(0.0, f64::max), wrong)
}

/// Microseconds of the module for one request and its answer.
fn cost(guidance: Option<Constraints>) -> f64 {
    const MANY: u64 = 300_000;
    let class = |fresh| Class {
        fresh_for: fresh,
        grace: fresh,
        uncacheable: false,
        latency_objective: S / 2,
        latency_objective_stretch: 2.0,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: S,
    };
    let settings = Settings {
        zone: 1,
        routers: 6,
        routers_by_zone: vec![0, 6],
        classes: vec![class(0), class(20 * S)],
        transfer_rate_kb_s: 1_000.0,
        zone_link_kb_s: vec![0.0, 200_000.0],
        weights_are_sizes: true,
        overload_window: S,
        may_bypass_caches: true,
        outcome_detail: OutcomeDetail::All,
        max_attempts: 3,
        ..Settings::default()
    };
    let member = |id: String, role, zone| Endpoint {
        id: id.as_str().into(),
        role,
        zone,
        weight: 400.0,
        ..Endpoint::default()
    };
    let mut members: Vec<Endpoint> = (0..8).map(|n| member(format!("c{n}"), Role::Cache, 1)).collect();
    members.extend((0..2).map(|n| member(format!("p{n}"), Role::Parent, 0)));
    members.push(member("o".into(), Role::Origin, 0));
    let (mut router, mut actions, mut now) = (Router::new(settings, 7), Vec::new(), 100 * S);
    router.handle(now, Event::Endpoints { complete: true, endpoints: members }, &mut actions);
    if let Some(guidance) = guidance {
        router.handle(now, Event::Constraints(Arc::new(guidance)), &mut actions);
    }
    let (mut timers, mut spent) = (VecDeque::new(), Duration::ZERO);
    for n in 0..MANY {
        now += 1_000;
        let id: Id = format!("r{n}").as_str().into();
        let request = Request {
            id: id.clone(),
            class: (n % 2) as usize,
            object: n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48,
            chunk: 0,
            purge_group: 0,
            timeout: 3 * S,
            size_kb: 60.0,
            repeat_policy: None,
        };
        let note = if n % 4 == 0 { CacheStatus::Filled } else { CacheStatus::Hit };
        let ended = |attempt| Outcome {
            request: id.clone(),
            attempt,
            status: AttemptStatus::Served,
            is_final: true,
            elapsed: 60_000,
            fill_wait: 0,
            cache_status: note,
            load_report: None,
        };
        actions.clear();
        let began = Instant::now();
        router.handle(now, Event::Request(request), &mut actions);
        if actions.iter().any(|a| matches!(a, Action::Send { .. })) {
            router.handle(now + 500, Event::Outcome(ended(0)), &mut actions);
        }
        spent += began.elapsed();
        for action in &actions {
            if let Action::Timer { at, token } = action {
                timers.push_back((*at, *token));
            }
        }
        while let Some((_, token)) = timers.pop_front_if(|t: &mut (Micros, u64)| t.0 <= now) {
            router.handle(now, Event::Timer { token }, &mut Vec::new());
        }
    }
    spent.as_secs_f64() * 1e6 / MANY as f64
}

fn guidance() -> Constraints {
    let ids = (0..8).map(|n| format!("c{n}")).chain((0..2).map(|n| format!("p{n}")));
    let bounds = ids.map(|id| RateLimit { endpoint: id.as_str().into(), rate: 300.0 }).collect();
    Constraints {
        window: S,
        rate_limits: bounds,
        fill_rates: vec![None, Some(40.0)],
        force_stale: true,
        ..Constraints::default()
    }
}

fn main() -> ExitCode {
    let Some(program) = std::env::args().nth(1) else {
        eprintln!("measure-sites PROGRAM");
        return ExitCode::FAILURE;
    };
    let mut missed = 0;
    println!(
        "{:<66} {:>8} {:>9} {:>9}",
        "six doormans, a branch lost for 10 s; by seed", "aim", SEEDS[0], SEEDS[1]
    );
    let mut row = |what: &str, aim: Option<f64>, figures: [f64; 2]| {
        let told = aim.map_or("-".to_owned(), |a| format!("<= {a:.2}"));
        let kept = aim.is_none_or(|a| figures.iter().all(|&f| f <= a));
        missed += usize::from(!kept);
        let [one, two] = figures.map(|f| format!("{f:.2}"));
        println!("{what:<66} {told:>8} {one:>9} {two:>9}{}", if kept { "" } else { "  MISSED" });
    };
    let both = |seed| {
        let planned = std::thread::scope(|s| {
            let bare = s.spawn(|| run(&program, "", seed));
            run(&program, SCRIPT, seed).and_then(|on| {
                Ok((on, bare.join().unwrap_or_else(|_| Err(std::io::ErrorKind::Other.into()))?))
            })
        });
        planned.map_err(|e| eprintln!("seed {seed}: {e}"))
    };
    let mut runs = Vec::new();
    for seed in SEEDS {
        let Ok(run) = both(seed) else { return ExitCode::FAILURE };
        runs.push(run);
    }
    let each = |of: &dyn Fn(&(Run, Run)) -> f64| [of(&runs[0]), of(&runs[1])];
    for class in ["images", "clip-parts", UNSAFE] {
        let off = each(&|r| r.1.refused(class, r.1.out.back));
        row(
            &format!("part of {class} refused during the loss, plan on"),
            None,
            each(&|r| r.0.refused(class, r.0.out.back)),
        );
        row("the same, off", None, off);
    }
    let whole = |run: &Run| {
        ["images", "clip-parts", UNSAFE].map(|c| run.refused(c, u64::MAX)).iter().sum::<f64>() / 3.0
    };
    row("part refused from the loss to the end, mean of classes, plan on", None, each(&|r| whole(&r.0)));
    row("the same, off", None, each(&|r| whole(&r.1)));
    row("peak load of any server over its bound, plan on", Some(1.0), each(&|r| r.0.peak()));
    row("the same, off", None, each(&|r| r.1.peak()));
    let judged = each(&|r| {
        let mut all = r.0.judged();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    });
    row("time to judge, median of the doormans, s", None, judged);
    row("the same, longest", Some(5.0), each(&|r| r.0.judged().into_iter().fold(0.0, f64::max)));
    let full = |r: &Run| full_again(&r.requests, r.out).map_or(f64::INFINITY, |s| s as f64);
    row("time to full service after the return, s, plan on", Some(14.0), each(&|r| full(&r.0)));
    row("the same, off", None, each(&|r| full(&r.1)));
    println!("a hundred simulated doormans; two seeds");
    // From the last answer on; a note goes around once a second.
    let within =
        (Sites::default().unreachable_after + agreement_time(&Sites::default(), S)) as f64 / S as f64;
    for loss in [0.0, 0.1, 0.3] {
        let [one, two] = SEEDS.map(|seed| simulated(100, seed, loss));
        let what = format!("{:.0}% of datagrams lost: all hold the branch lost after, s", loss * 100.0);
        row(&what, Some(within), [one.0, two.0]);
        row("the same: sites held lost that were not", Some(0.0), [one.1 as f64, two.1 as f64]);
    }
    println!("the module, one request and its answer; two runs");
    // The least of several: others use the machine too.
    let least = |g: fn() -> Option<Constraints>| (0..3).map(|_| cost(g())).fold(f64::INFINITY, f64::min);
    let (off, on) =
        ([least(|| None), least(|| None)], [least(|| Some(guidance())), least(|| Some(guidance()))]);
    row("without guidance, us", None, off);
    row("with bounds on all servers, us", None, on);
    row("more, us", Some(1.0), [on[0] - off[0], on[1] - off[1]]);
    if missed > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
