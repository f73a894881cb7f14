//! What an outage of discovery costs: share of requests served, response times, and fetches at parents and origin, before,
//! during and after outages of several lengths. Its arguments are one or more programs, which play in turn.

use larchdale_test_support::world::losses::{fleet, ALL, RATE};
use larchdale_test_support::world::records::{Arrival, Request, SERVED};
use larchdale_test_support::world::servers::Kind;
use larchdale_test_support::world::{gather, Fleet};
use std::io;
use std::ops::Range;
use std::process::ExitCode;
use std::time::Duration;

const S: u64 = 1_000_000;
const SEED: u64 = 1;
/// Time before the outage, in which copies become older than any bound on their age.
const BEFORE: u64 = 15 * S;
/// Time after the outage.
const AFTER: u64 = 10 * S;
/// Lengths of the outages, in seconds; 0: none.
const OUTAGES: [u64; 4] = [0, 3, 8, 60];

/// Records of one play.
struct Play {
    fleet: Fleet,
    began: u64,
    outage: u64,
    requests: Vec<Request>,
}

fn play(program: &str, outage: u64) -> io::Result<Play> {
    let fleet = fleet(program, &format!("outage-{outage}"), "", ALL)?;
    let began = fleet.servers.now();
    let clients = fleet.load(RATE, SEED, Duration::from_micros(BEFORE + outage + AFTER))?;
    std::thread::sleep(Duration::from_micros(BEFORE));
    fleet.channels.set_down(outage > 0);
    std::thread::sleep(Duration::from_micros(outage));
    fleet.channels.set_down(false);
    Ok(Play { requests: gather(clients), fleet, began, outage })
}

impl Play {
    fn sent_in(&self, span: &Range<u64>) -> Vec<&Request> {
        self.requests.iter().filter(|request| span.contains(&request.sent)).collect()
    }

    fn arrivals_at(&self, kind: Kind, span: &Range<u64>) -> Vec<Arrival> {
        let arrivals = self.fleet.servers.notes().arrivals;
        let counts = |a: &Arrival| self.fleet.servers.specs[a.server].kind == kind && span.contains(&a.at);
        arrivals.into_iter().filter(counts).collect()
    }

    /// Returns the mean number of arrivals a second, and the highest of any second.
    fn rates(&self, kind: Kind, span: &Range<u64>) -> (f64, usize) {
        let arrivals = self.arrivals_at(kind, span);
        let in_second = |at: u64| arrivals.iter().filter(|a| (at..at + S).contains(&a.at)).count();
        let highest = (span.start..span.end).step_by(S as usize).map(in_second).max().unwrap_or(0);
        (arrivals.len() as f64 / ((span.end - span.start) as f64 / S as f64), highest)
    }

    fn print_phase(&self, program: &str, phase: &str, span: Range<u64>) {
        if span.is_empty() {
            return;
        }
        let requests = self.sent_in(&span);
        let served = |request: &&&Request| request.answers.iter().any(|answer| answer.code == SERVED);
        let mut times: Vec<u64> =
            requests.iter().filter(served).map(|r| r.answers[0].at.saturating_sub(r.sent)).collect();
        times.sort_unstable();
        let p99_ms = times.get(times.len() * 99 / 100).copied().unwrap_or(0) / 1_000;
        let share = times.len() as f64 / requests.len().max(1) as f64;
        let [parents, origin] = [Kind::Parent, Kind::Archive].map(|kind| self.rates(kind, &span));
        println!(
            "| {program} | {} s | {phase} | {} | {share:.3} | {p99_ms} | {:.1} ({}) | {:.1} ({}) |",
            self.outage / S,
            requests.len(),
            parents.0,
            parents.1,
            origin.0,
            origin.1
        );
    }

    fn print(&self, program: &str) {
        let begin = self.began + BEFORE;
        let end = begin + self.outage;
        self.print_phase(program, "before", begin - 5 * S..begin);
        self.print_phase(program, "first 7 s", begin..end.min(begin + 7 * S));
        self.print_phase(program, "7 to 12 s", begin + 7 * S..end.min(begin + 12 * S));
        self.print_phase(program, "from 12 s on", begin + 12 * S..end);
        self.print_phase(program, "5 s after", end..end + 5 * S);
    }
}

fn main() -> ExitCode {
    println!("| program | outage | phase | requests | served | p99, ms | fetches at parents a second (highest) | at the origin |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut is_complete = true;
    for outage in OUTAGES {
        for program in std::env::args().skip(1) {
            match play(&program, outage * S) {
                Ok(play) => play.print(&program),
                Err(error) => {
                    eprintln!("{program}, {outage} s: {error}");
                    is_complete = false;
                }
            }
        }
    }
    if is_complete {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
