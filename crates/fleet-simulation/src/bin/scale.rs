//! A day of hollow instances, by name or file: a table, and the report as JSON if wanted. Status not 0 for a broken
//! promise or for what can't be run.

use clap::Parser;
use larchdale_fleet_simulation::scenario::{Scenario, NAMES};
use larchdale_fleet_simulation::{run, ScaleError};
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs hollow instances in virtual time.
#[derive(Parser)]
#[command(about, after_help = format!("Built-in scenarios: {}.", NAMES.join(", ")))]
struct Args {
    /// A built-in scenario, or a file of JSON.
    scenario: String,
    /// Instances; else what the scenario says.
    #[arg(long)]
    size: Option<usize>,
    /// Equal seeds give equal reports.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Only this part of a scenario that has both.
    #[arg(long, value_enum)]
    only: Option<Part>,
    /// Bytes of each instance's note, in place of what the scenario says.
    #[arg(long)]
    note_bytes: Option<usize>,
    /// Commits are purges followed by the purge log, each to be in force within so many ms wherever it is vouched for.
    #[arg(long, value_name = "MS")]
    purges: Option<f64>,
    /// The same promise held against mirrors that vouch for what they show at all times: what the log's bound is for.
    #[arg(long, value_name = "MS", conflicts_with = "purges")]
    unbounded: Option<f64>,
    /// Writes the report there too.
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Part {
    View,
    Follow,
}

/// Runs it; whether all promises were kept.
fn work(args: Args) -> Result<bool, ScaleError> {
    let name = &args.scenario;
    let mut scenario = if NAMES.contains(&name.as_str()) {
        Scenario::named(name, args.size.unwrap_or(Scenario::default().size))?
    } else {
        let known = || NAMES.join(", ");
        let text = std::fs::read_to_string(name).map_err(|why| match why.kind() {
            std::io::ErrorKind::NotFound => ScaleError::NoScenario { name: name.clone(), known: known() },
            _ => ScaleError::File { path: name.clone(), why },
        })?;
        Scenario::parse(name, &text)?
    };
    match args.only {
        Some(Part::View) => scenario.follow = None,
        Some(Part::Follow) => scenario.view = None,
        None => {}
    }
    if let (Some(view), Some(bytes)) = (&mut scenario.view, args.note_bytes) {
        view.note_bytes = bytes;
    }
    if let Some(follow) = &mut scenario.follow {
        follow.purge_log |= args.purges.is_some();
        let promised = args.purges.or(args.unbounded);
        scenario.promises.in_force_or_strict_ms = promised.or(scenario.promises.in_force_or_strict_ms);
    }
    let report = run(&scenario, args.size.unwrap_or(scenario.size), args.seed)?;
    print!("{report}");
    if let Some(path) = args.json {
        let mut text = serde_json::to_string_pretty(&report).unwrap_or_default();
        text.push('\n');
        std::fs::write(&path, text)
            .map_err(|why| ScaleError::Write { path: path.display().to_string(), why })?;
    }
    Ok(report.broken.is_empty())
}

fn main() -> ExitCode {
    match work(Args::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("scale: {why}");
            ExitCode::from(2)
        }
    }
}
