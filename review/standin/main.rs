//! Stand-ins and checks of the review's cases. Each `run.sh` names its case; see the `claim.txt` beside it.
//!
//! Usage: `review-standin CASE RUN_COMMAND RECORD_FILE`, with `TROUBLE=0` in the environment for a run without the
//! disruption. Status 0: the rule held, 1: it was broken, 2: the case could not run.

mod channel;
mod client;
mod endpoint;
mod record;
mod router;

use client::{Outcome, Plan};
use record::Record;
use router::{Router, Setup};
use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

const EXIT_HELD: u8 = 0;
const EXIT_BROKEN: u8 = 1;
const EXIT_NOT_RUN: u8 = 2;
/// The largest object of the protocol page.
const OBJECT_BYTES: usize = 240_000;
const CLIENT_TIME_LIMIT: Duration = Duration::from_secs(60);
/// Rate of a slow reader; the page's limit is 1 MB a second at most.
const SLOW_READ_BYTES_PER_S: u64 = 500_000;
const USUAL_MEMORY_MB: usize = 192;
/// A long class deadline, so that every answer could be read to its end within the client's patience.
const LONG_DEADLINE_MS: u64 = 9_000;

/// Inputs of a case.
struct Case {
    run: String,
    record: Record,
    has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, run, record] = &arguments[..] else {
        eprintln!("usage: review-standin CASE RUN_COMMAND RECORD_FILE");
        return EXIT_NOT_RUN.into();
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = Record::create(record).and_then(|record| {
        let case = Case { run: run.clone(), record, has_trouble };
        play(name, &case)
    });
    match played {
        Ok(true) => EXIT_HELD.into(),
        Ok(false) => EXIT_BROKEN.into(),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            EXIT_NOT_RUN.into()
        }
    }
}

fn play(name: &str, case: &Case) -> io::Result<bool> {
    match name {
        "slow-reader-idle" => slow_reader_idle(case),
        _ => Err(io::Error::other("unknown case")),
    }
}

impl Case {
    fn start_router(&self, memory_mb: usize, deadline_ms: u64) -> io::Result<Router> {
        let endpoint = |name| endpoint::start(name, OBJECT_BYTES, &self.record);
        let setup = Setup {
            caches: vec![endpoint("cache-1")?, endpoint("cache-2")?, endpoint("cache-3")?],
            parent: endpoint("parent")?,
            origin: endpoint("origin")?,
            channel: channel::start()?,
            memory_mb,
            deadline_ms,
        };
        Router::start(&self.run, &setup, &self.record)
    }

    /// Says what became of the requests; returns whether the rule held.
    fn judge(&self, outcome: &Outcome) -> bool {
        let held = !outcome.breaks_rule();
        self.record.say(&format!("{outcome:?}: {}", if held { "rule held" } else { "RULE BROKEN" }));
        held
    }
}

fn play_all(plans: &[Plan], record: &Record) -> Outcome {
    let mut total = Outcome::default();
    thread::scope(|scope| {
        let running: Vec<_> = plans.iter().map(|plan| scope.spawn(|| client::play(plan, record))).collect();
        for client in running {
            total.add(client.join().unwrap_or_default());
        }
    });
    total
}

/// One client reads slowly; after its first answers it sends further requests while it still reads the others.
fn slow_reader_idle(case: &Case) -> io::Result<bool> {
    let router = case.start_router(USUAL_MEMORY_MB, LONG_DEADLINE_MS)?;
    let plan = Plan {
        name: "c1".to_owned(),
        address: router.address,
        batches: vec![16, 8],
        refill_at: 3,
        read_rate: case.has_trouble.then_some(SLOW_READ_BYTES_PER_S),
        object_size: OBJECT_BYTES,
        patience_ms: LONG_DEADLINE_MS,
        time_limit: CLIENT_TIME_LIMIT,
    };
    Ok(case.judge(&play_all(&[plan], &case.record)))
}
