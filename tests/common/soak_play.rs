//! One run of the soak test: two instance processes, and recording servers and command channels, under a sequence of
//! injected faults. One seed decides timeouts, faults and times. The checks read only the records.

use fault_injection::Schedule;
use larchdale_test_support::world::channels::EndpointState;
use larchdale_test_support::world::load::Habits;
use larchdale_test_support::world::records::{Arrival, Request};
use larchdale_test_support::world::servers::Kind;
use larchdale_test_support::world::{checker, gather, Fleet, Plan, UNSAFE};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
/// Number of runs in parallel.
const PARALLEL_RUNS: usize = 3;
/// Time without faults before the first fault and after the last.
const QUIET: Duration = Duration::from_millis(700);
const INSTANCES: usize = 2;
/// Limits of the protocol: longest timeout that counts after SIGTERM, and time from its end until SIGKILL, in
/// milliseconds.
const LONGEST_COUNTED_TIMEOUT: u64 = 3_000;
const KILL_DELAY: u64 = 700;
const DRAIN_GRACE: u64 = S + 50 * MS;
const CANCEL_GRACE: u64 = 100 * MS;
const LATE_TOLERANCE: u64 = 500 * MS;
const CLOSE_RACE: u64 = 50 * MS;
/// Shortest and longest pause of an instance, in milliseconds.
const PAUSE_MS: (f64, f64) = (200.0, 8_000.0);
/// Range of the stalls of this process, in milliseconds.
const STALL_MS: std::ops::Range<u64> = 50..300;
/// Separates the random numbers of the pauses from those of the other faults.
const PAUSE_SEED_MASK: u64 = 0x7061_7573;
/// Times at which this process was stopped, and with it the servers and clients of all runs.
static STALLS: Mutex<Vec<(Instant, Instant)>> = Mutex::new(Vec::new());
/// Time after SIGTERM in which clients still open new connections.
const CONNECT_AFTER_TERM: Duration = Duration::from_millis(300);

/// Start and end of an interval, in microseconds.
type Interval = (u64, u64);

/// A fault that is injected into the fleet.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// An edge cache stops responding.
    Unresponsive(usize),
    /// An edge cache crashes and restarts with an empty cache after `QUIET`.
    Crash(usize),
    /// An edge cache takes the given multiple of its usual time.
    Slow(usize, f64),
    /// The command channels announce that an edge cache is draining.
    Drain(usize),
    /// An instance's configuration is changed the given number of times in a row.
    Reload(usize, u32),
    /// An instance gets SIGTERM `signals` times, each with SIGHUP where `reload` is set, then SIGKILL at the earliest
    /// moment that the protocol allows, and a new process starts.
    Restart { instance: usize, signals: u32, reload: bool },
    /// A second process takes over from an instance's process, which then gets SIGTERM.
    Takeover(usize),
    /// The given number of idle connections is opened to an instance.
    IdleConnections(usize, usize),
    /// An instance is stopped (SIGSTOP) and continued (SIGCONT) while its clients go on.
    Pause(usize, Duration),
    /// This process, with all clients and servers, is stopped while the instances go on.
    Stall(Duration),
}

/// Everything that a seed decides.
#[derive(Debug)]
struct Scenario {
    timeouts_ms: [u64; 3],
    sockets: usize,
    rate: f64,
    cancel_share: f64,
    faults: Vec<(Duration, Fault)>,
}

impl Scenario {
    /// Returns the scenario of a seed, without pauses and stalls.
    fn from_seed(seed: u64) -> Scenario {
        let mut rng = Pcg32::seed_from_u64(seed);
        let rng = &mut rng;
        let timeouts =
            [[2, 10, 25], [50, 80, 120], [200, 300, 600], [900, 700, 1_200], [4_000, 2_500, 3_000]];
        let has_idle_connections = rng.random_ratio(1, 3);
        let faults = (0..rng.random_range(2..5)).map(|_| {
            let (cache, instance) = (rng.random_range(0..3), rng.random_range(0..INSTANCES));
            let fault = match rng.random_range(0..if has_idle_connections { 9 } else { 8 }) {
                0 => Fault::Unresponsive(cache),
                1 => Fault::Crash(cache),
                2 => Fault::Slow(cache, rng.random_range(3.0..40.0)),
                3 => Fault::Drain(cache),
                4 => Fault::Reload(instance, rng.random_range(1..6)),
                5 | 6 => {
                    let (signals, reload) = (rng.random_range(1..4), rng.random());
                    Fault::Restart { instance, signals, reload }
                }
                7 => Fault::Takeover(instance),
                _ => Fault::IdleConnections(instance, rng.random_range(30..120)),
            };
            (Duration::from_millis(rng.random_range(0..700)), fault)
        });
        let faults = faults.collect();
        Scenario {
            timeouts_ms: timeouts[rng.random_range(0..timeouts.len())],
            sockets: if has_idle_connections { 128 } else { 1024 },
            rate: rng.random_range(20.0..60.0),
            cancel_share: if rng.random() { 0.1 } else { 0.0 },
            faults,
        }
    }

    /// Returns the scenario of a seed with pauses of instances and stalls of this process inserted among its faults.
    fn with_pauses(seed: u64) -> Scenario {
        let mut scenario = Scenario::from_seed(seed);
        let mut rng = Pcg32::seed_from_u64(seed ^ PAUSE_SEED_MASK);
        let (shortest, longest) = PAUSE_MS;
        for _ in 0..rng.random_range(1..4) {
            // Log-uniform, so that short and long pauses are equally likely.
            let millis = shortest * (longest / shortest).powf(rng.random());
            let pause = Fault::Pause(rng.random_range(0..INSTANCES), Duration::from_millis(millis as u64));
            let stall = Fault::Stall(Duration::from_millis(rng.random_range(STALL_MS)));
            for fault in [pause, stall] {
                let delay = Duration::from_millis(rng.random_range(0..700));
                let index = rng.random_range(0..=scenario.faults.len());
                scenario.faults.insert(index, (delay, fault));
            }
        }
        scenario
    }

    /// Time for which clients send requests: until the last fault is over, and some time after it.
    fn span(&self) -> Duration {
        let lasts = |fault: &Fault| match fault {
            Fault::Restart { .. } | Fault::Takeover(_) | Fault::Crash(_) => self.kill_delay() + QUIET,
            Fault::Pause(_, span) | Fault::Stall(span) => *span,
            _ => Duration::ZERO,
        };
        3 * QUIET + self.faults.iter().map(|(delay, fault)| *delay + lasts(fault)).sum::<Duration>()
    }

    fn fleet(&self, seed: u64) -> Fleet {
        let mut plan = Plan {
            hubs: vec!["hub-a".into()],
            edges: vec!["edge-1".into()],
            instances: INSTANCES,
            boxes: (3, 8.0),
            parents: (2, 16.0),
            ..Plan::default()
        };
        for (class, timeout_ms) in plan.figures.classes.iter_mut().zip(self.timeouts_ms) {
            class.patience_ms = timeout_ms;
        }
        let servers = plan.servers().unwrap();
        let addresses = servers.addresses.clone();
        let route = |_: usize, server: usize| addresses[server];
        let program = env!("CARGO_BIN_EXE_larchdale");
        let name = format!("soak-{seed}");
        let mut fleet = Fleet::new(program, &name, plan, servers, &Schedule::default(), route).unwrap();
        for instance in 0..INSTANCES {
            fleet.instances.reconfigure(instance, |c| c["limits"]["sockets"] = self.sockets.into()).unwrap();
        }
        fleet.warm_parents();
        fleet.instances.start_all().unwrap();
        fleet
    }

    /// Earliest time of SIGKILL after SIGTERM.
    fn kill_delay(&self) -> Duration {
        let longest = self.timeouts_ms.into_iter().max().unwrap_or(0).min(LONGEST_COUNTED_TIMEOUT);
        Duration::from_millis(longest + KILL_DELAY)
    }
}

/// State of one run: the fleet, and records of the injected faults.
struct SoakRun {
    fleet: Fleet,
    scenario: Scenario,
    may_connect: [Arc<AtomicBool>; INSTANCES],
    /// Edge caches that were announced as draining, each with the time of that.
    drains: Vec<(usize, u64)>,
    idle_connections: Vec<TcpStream>,
    /// Instances that were stopped, each with start and end of the pause.
    pauses: Vec<(usize, u64, u64)>,
}

impl SoakRun {
    fn inject(&mut self, fault: Fault) {
        let caches = self.fleet.servers.of(1, Kind::Box);
        match fault {
            Fault::Unresponsive(cache) => self.fleet.servers.silence(caches[cache]),
            Fault::Slow(cache, times) => self.fleet.servers.slow(caches[cache], times),
            Fault::Crash(cache) => {
                self.fleet.servers.kill(caches[cache]);
                std::thread::sleep(QUIET);
                self.fleet.servers.revive(caches[cache]).unwrap();
                // A draining server isn't announced as ready again: the checks expect a drain to last until the end.
                if !self.drains.iter().any(|d| d.0 == caches[cache]) {
                    (0..INSTANCES).for_each(|d| self.fleet.tell(d, caches[cache], EndpointState::Ready));
                }
            }
            Fault::Drain(cache) => {
                (0..INSTANCES).for_each(|d| self.fleet.tell(d, caches[cache], EndpointState::Draining));
                self.drains.push((caches[cache], self.fleet.servers.now()));
            }
            Fault::Reload(instance, times) => {
                for n in 0..times {
                    let attempts = 3 + n % 4;
                    let change = |c: &mut serde_json::Value| {
                        c["settings"]["limits"]["max-attempts"] = attempts.into();
                    };
                    self.fleet.instances.reconfigure(instance, change).unwrap();
                }
            }
            Fault::Restart { instance, signals, reload } => self.restart(instance, signals, reload),
            Fault::Takeover(instance) => {
                let Some(old) = self.fleet.instances.replace(instance).unwrap() else { return };
                old.signal("-TERM").unwrap();
                std::thread::sleep(self.scenario.kill_delay());
            }
            Fault::IdleConnections(instance, count) => {
                // The instance may now close new connections unread; clients keep using their open ones.
                self.may_connect[instance].store(false, Ordering::SeqCst);
                let address = self.fleet.instances.listens(instance).unwrap();
                self.idle_connections.extend((0..count).flat_map(|_| TcpStream::connect(address)));
            }
            Fault::Pause(instance, span) => self.pause(instance, span),
            Fault::Stall(span) => stall(span),
        }
    }

    fn pause(&mut self, instance: usize, span: Duration) {
        let process = self.fleet.instances.running[instance].as_ref().unwrap();
        let from = self.fleet.servers.now();
        process.signal("-STOP").unwrap();
        std::thread::sleep(span);
        process.signal("-CONT").unwrap();
        self.pauses.push((instance, from, self.fleet.servers.now()));
    }

    /// Intervals in which this process was stopped, by any run.
    fn stalls(&self) -> Vec<Interval> {
        let at =
            |moment: Instant| moment.saturating_duration_since(self.fleet.servers.began).as_micros() as u64;
        let stalls = STALLS.lock().unwrap_or_else(PoisonError::into_inner);
        stalls.iter().map(|&(began, ended)| (at(began), at(ended))).collect()
    }

    /// Part of an interval in which this process was stopped, in microseconds.
    fn stalled(&self, from: u64, to: u64) -> u64 {
        covered_time(self.stalls(), (from, to))
    }

    /// Part of an interval in which this process or the given instance was stopped, in microseconds.
    fn stopped(&self, instance: usize, from: u64, to: u64) -> u64 {
        let pauses = self.pauses.iter().filter(|pause| pause.0 == instance);
        let paused = pauses.map(|&(_, began, ended)| (began, ended));
        covered_time(paused.chain(self.stalls()).collect(), (from, to))
    }

    /// Whether a request was sent while the instance closed the connection. Stalls don't count: a stopped client notices
    /// the close late.
    fn raced_close(&self, request: &Request) -> bool {
        let is_unanswered = request.answers.is_empty();
        let ended = request.lost.filter(|_| is_unanswered);
        ended.is_some_and(|at| at - request.sent - self.stalled(request.sent, at) <= CLOSE_RACE)
    }

    fn restart(&mut self, instance: usize, signals: u32, reload: bool) {
        let began = Instant::now();
        let process = self.fleet.instances.running[instance].as_ref().unwrap();
        for _ in 0..signals {
            process.signal("-TERM").unwrap();
            if reload {
                process.signal("-HUP").unwrap();
            }
        }
        std::thread::sleep(CONNECT_AFTER_TERM);
        self.may_connect[instance].store(false, Ordering::SeqCst);
        std::thread::sleep(self.scenario.kill_delay().saturating_sub(began.elapsed()));
        self.fleet.instances.kill(instance);
        self.idle_connections.clear();
        self.fleet.instances.start(instance).unwrap();
        self.may_connect[instance].store(true, Ordering::SeqCst);
    }

    /// Whether a request's client closed the connection before the instance, which was stopped for a while, could have
    /// responded within the timeout.
    fn closed_before_timeout(&self, request: &Request) -> bool {
        let is_unanswered = request.answers.is_empty();
        let closed = request.closed.filter(|_| is_unanswered);
        let ran = |at| at - request.sent - self.stopped(request.instance, request.sent, at);
        closed.is_some_and(|at| ran(at) <= self.timeout(&request.class) + LATE_TOLERANCE)
    }

    fn timeout(&self, class: &str) -> u64 {
        let found = self.fleet.plan.figures.classes.iter().find(|c| c.name == class);
        found.map_or(0, |c| c.patience_ms * MS)
    }

    /// Describes an attempt that was sent after its client had left: the request, its log lines, the pauses and stalls.
    fn describe_abandoned(&self, requests: &[Request], attempt: Option<&&Arrival>) -> String {
        let Some(attempt) = attempt else { return String::new() };
        let request = requests.iter().find(|request| format!("{:016x}", request.trace) == attempt.id);
        let began = self.fleet.servers.began;
        let logged: Vec<String> = ["request", "attempt ended", "response"]
            .iter()
            .flat_map(|message| self.fleet.instances.running.iter().flatten().flat_map(|p| p.logged(message)))
            .filter(|line| line.fields["request"] == attempt.id.as_str())
            .map(|line| format!("{:?} {}", line.at.saturating_duration_since(began), line.fields))
            .collect();
        let (pauses, stalls) = (&self.pauses, self.stalls());
        format!("{attempt:?} of {request:?}; pauses {pauses:?}, stalls {stalls:?}, logged {logged:#?}")
    }

    /// Checks the documented guarantees against the records: returns a summary, or the first guarantee that is broken.
    fn check(&self, requests: &[Request]) -> Result<String, String> {
        let notes = self.fleet.servers.notes();
        let attempts: Vec<&Arrival> = notes.arrivals.iter().filter(|a| a.from.is_none()).collect();
        let expect_none = |what: &str, count: usize, first: String| match count {
            0 => Ok(()),
            _ => Err(format!("{count} {what}, the first: {first}")),
        };
        let mut unanswered = checker::unanswered(requests, &[]);
        unanswered.retain(|request| !self.raced_close(request) && !self.closed_before_timeout(request));
        expect_none(
            "requests without exactly one response",
            unanswered.len(),
            format!("{:?}", unanswered.first()),
        )?;
        let timeout = |class: &str| self.timeout(class);
        let is_late = |r: &&Request| {
            let due = |at| r.sent + timeout(&r.class) + LATE_TOLERANCE + self.stopped(r.instance, r.sent, at);
            r.answers.iter().any(|answer| answer.at > due(answer.at))
        };
        let late: Vec<_> = checker::late(requests, timeout, LATE_TOLERANCE).filter(is_late).collect();
        expect_none("requests with a late response", late.len(), format!("{:?}", late.first()))?;
        let ran_twice = checker::twice(&notes.arrivals, &self.fleet.servers.specs, UNSAFE);
        expect_none("requests that ran twice", ran_twice.len(), format!("{:?}", ran_twice.first()))?;
        let canceled: BTreeMap<u64, u64> = requests.iter().filter_map(|r| Some((r.trace, r.left?))).collect();
        let mut abandoned = checker::for_nobody(requests, &notes.arrivals, CANCEL_GRACE);
        abandoned.retain(|a| {
            let left_at = u64::from_str_radix(&a.id, 16).ok().and_then(|trace| canceled.get(&trace));
            left_at.is_some_and(|&left| a.at > left + CANCEL_GRACE + self.stalled(left, a.at))
        });
        expect_none(
            "attempts sent after the client left",
            abandoned.len(),
            self.describe_abandoned(requests, abandoned.first()),
        )?;
        let sent_to_draining = |a: &&&Arrival| {
            self.drains.iter().any(|&(s, announced)| {
                (a.server == s || a.via == Some(s))
                    && a.at > announced + DRAIN_GRACE + self.stalled(announced, a.at)
            })
        };
        let drained: Vec<_> = attempts.iter().filter(sent_to_draining).collect();
        expect_none("attempts sent to a draining server", drained.len(), format!("{:?}", drained.first()))?;
        expect_none(
            "servers that broke down from overload",
            notes.falls.len(),
            format!("{:?}", notes.falls.first()),
        )?;
        let served = requests.iter().filter(|r| r.answers.iter().any(|a| a.code == 20)).count();
        let warning = if served == 0 { ", NO REQUEST SERVED" } else { "" };
        Ok(format!("{} requests, {served} served, {} attempts{warning}", requests.len(), attempts.len()))
    }
}

/// Part of an interval that the given intervals, which may overlap, cover together.
fn covered_time(mut spans: Vec<Interval>, (from, to): Interval) -> u64 {
    spans.sort_unstable();
    let (mut sum, mut counted_to) = (0, from);
    for (began, ended) in spans {
        let (began, ended) = (began.max(counted_to), ended.min(to));
        sum += ended.saturating_sub(began);
        counted_to = counted_to.max(ended);
    }
    sum
}

/// Stops this process for the given time.
fn stall(span: Duration) {
    let began = Instant::now();
    let (own, seconds) = (std::process::id(), span.as_secs_f64());
    let command = format!("kill -STOP {own}; sleep {seconds}; kill -CONT {own}");
    assert!(Command::new("sh").args(["-c", &command]).status().unwrap().success());
    STALLS.lock().unwrap_or_else(PoisonError::into_inner).push((began, Instant::now()));
}

fn run_seed(seed: u64, scenario: Scenario) -> Result<String, String> {
    let fleet = scenario.fleet(seed);
    let may_connect: [Arc<AtomicBool>; INSTANCES] = std::array::from_fn(|_| Arc::new(AtomicBool::new(true)));
    let habits =
        |d: usize| Habits { stays: true, gives_up: scenario.cancel_share, dials: may_connect[d].clone() };
    let span = scenario.span();
    let clients = fleet.load_with(scenario.rate, seed, span, habits).unwrap();
    let mut run = SoakRun {
        fleet,
        scenario,
        may_connect: may_connect.clone(),
        drains: Vec::new(),
        idle_connections: Vec::new(),
        pauses: Vec::new(),
    };
    std::thread::sleep(QUIET);
    for (delay, fault) in run.scenario.faults.clone() {
        std::thread::sleep(delay);
        run.inject(fault);
    }
    let requests = gather(clients);
    run.check(&requests).map_err(|error| format!("{error}\n    {:?}", run.scenario))
}

/// Runs the seeds, `SOAK_SEEDS` or else `seeds` of them from `SOAK_FROM` on, with or without pauses. Returns the number
/// of seeds and a message for each that failed.
pub fn failures(seeds: u64, has_pauses: bool) -> (u64, Vec<String>) {
    let (first, count) = (number("SOAK_FROM", 1), number("SOAK_SEEDS", seeds));
    let (next, failures) = (Mutex::new(first..first + count), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| loop {
                let Some(seed) = next.lock().unwrap().next() else { return };
                let scenario =
                    if has_pauses { Scenario::with_pauses(seed) } else { Scenario::from_seed(seed) };
                match run_seed(seed, scenario) {
                    Ok(summary) => println!("seed {seed}: {summary}"),
                    Err(error) => failures.lock().unwrap().push(format!("seed {seed}: {error}")),
                }
            });
        }
    });
    (count, failures.into_inner().unwrap())
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}
