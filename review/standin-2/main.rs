//! Stand-ins of the second review, and its cases: `standin CASE FOLDER`, from the root of the repository. `TROUBLE=0`
//! leaves the disruption out. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod base;
mod channel;
mod client;
mod depot;
mod doorman;
mod effect_change;
mod judge;
mod leavers;
mod site;
mod slow_discovery;
mod unfinished;

use base::{Record, Res, NOT_RUN};
use std::path::Path;
use std::time::Duration;

fn run(case: &str, folder: &Path, trouble: bool) -> Res<i32> {
    let record = Record::create(folder)?;
    record.say(&format!("case {case}, trouble {trouble}"));
    match case {
        "leavers" => leavers::run(&record, trouble),
        "unfinished" => unfinished::run(&record, trouble),
        "slow-discovery" => slow_discovery::run(&record, trouble),
        "effect-change" => effect_change::run(&record, trouble),
        _ => Err(format!("no case '{case}'").into()),
    }
}

/// A run that lasts longer than this could not be played here.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// Ends the run, and the processes that it started, if it takes too long.
fn limit_time() {
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        eprintln!("the case could not run: it took too long");
        doorman::end_all();
        std::process::exit(NOT_RUN);
    });
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(NOT_RUN);
    };
    limit_time();
    let status = run(case, Path::new(folder), trouble).unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        NOT_RUN
    });
    std::process::exit(status);
}
