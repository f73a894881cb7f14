//! Slopes by role and what they come to at the target, beside what it may cost. Started by `make measure-capacity`.

use clap::Parser;
use larchdale_fleet_simulation::capacity::page;
use larchdale_fleet_simulation::capacity::{Basis, Capacity, Machine, Row};
use larchdale_fleet_simulation::loopback::{agreement, fleets, processes};
use larchdale_fleet_simulation::slopes::{Effort, TIMES};
use procfs::{CpuInfo, Current};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::{Duration, Instant};

/// Measures what each role of the fleet costs as it grows, and works the target's figures out of it.
#[derive(Parser)]
struct Asked {
    /// The instance's program.
    program: PathBuf,
    /// The repository's folder.
    #[arg(long, default_value = ".")]
    root: PathBuf,
    /// Small sizes only, in seconds; writes no file unless --write is given too.
    #[arg(long)]
    quick: bool,
    /// Writes docs/capacity.json and the page's tables, also with --quick.
    #[arg(long)]
    write: bool,
    /// Only the part of this name (such as view, list, plan, processes, heaps); writes nothing.
    #[arg(long)]
    only: Option<String>,
    /// Measures nothing: writes the page's tables anew from docs/capacity.json.
    #[arg(long)]
    page: bool,
}

fn machine() -> Machine {
    let info = CpuInfo::current().ok();
    let cpu = info.as_ref().and_then(|i| i.model_name(0)).unwrap_or("unknown").to_owned();
    let cores = info.map_or(1, |i| i.num_cores() as u32);
    let used = std::thread::available_parallelism().map_or(1, |n| n.get() as u32);
    Machine { cpu, cores, used }
}

fn show(row: &Row) {
    let limit = row.limit.map_or("-".to_owned(), page::figure);
    let basis = if row.basis == Basis::Measured { "measured" } else { "worked out" };
    println!(
        "{:<16} {:<86} {:<10} {:>5.1}% {:>14} {:>10} {:>12}",
        row.role.table(),
        format!("{} ({:?})", row.name, row.quantity),
        format!("{:?}", row.law),
        row.residual * 100.0,
        page::figure(row.at_target),
        basis,
        limit
    );
}

/// Those of the program that counts them.
fn heaps(effort: Effort) -> Result<Vec<Row>, Box<dyn Error>> {
    let mut command = Command::new(std::env::current_exe()?.with_file_name("measure-memory"));
    if effort.quick {
        command.arg("--quick");
    }
    let out = command.output()?;
    if !out.status.success() {
        return Err(String::from_utf8_lossy(&out.stderr).into_owned().into());
    }
    Ok(serde_json::from_slice(&out.stdout)?)
}

fn measure(asked: &Asked) -> Result<Capacity, Box<dyn Error>> {
    let (effort, mut rows) = (Effort { quick: asked.quick }, Vec::<Row>::new());
    let mut took = |what: &str, began: Instant, more: Vec<Row>| {
        more.iter().for_each(show);
        eprintln!("{what}: {:.1} s", began.elapsed().as_secs_f64());
        rows.extend(more);
    };
    println!(
        "{:<16} {:<86} {:<10} {:>6} {:>14} {:>10} {:>12}",
        "role", "figure", "law", "off", "at the target", "", "limit"
    );
    let wanted = |name: &str| asked.only.as_deref().is_none_or(|only| only == name);
    let began = Instant::now();
    if wanted("processes") {
        took("processes", began, processes::rows(&asked.program, effort)?);
    }
    let began = Instant::now();
    if wanted("hollow doormans") {
        took("hollow doormans", began, fleets::rows(effort)?);
    }
    for (name, part) in TIMES.into_iter().filter(|p| wanted(p.0)) {
        let began = Instant::now();
        took(name, began, part(effort));
    }
    let began = Instant::now();
    if wanted("heaps") {
        took("heaps", began, heaps(effort)?);
    }
    rows.sort_by_key(|r| r.role);
    let date = jiff::Timestamp::now().to_string().chars().take(10).collect();
    Ok(Capacity::new(date, asked.quick, machine(), rows))
}

fn write(root: &Path, capacity: &Capacity) -> Result<(), Box<dyn Error>> {
    capacity.check()?;
    let (file, path) = (root.join("docs/capacity.json"), root.join("docs/CAPACITY.md"));
    let text = std::fs::read_to_string(&path)?;
    let filled = page::filled(&text, &path.display().to_string(), capacity)?;
    capacity.write(&file)?;
    std::fs::write(&path, filled)?;
    println!("written: {} and the tables of {}", file.display(), path.display());
    Ok(())
}

fn run(asked: &Asked) -> Result<bool, Box<dyn Error>> {
    if asked.page {
        write(&asked.root, &Capacity::read(&asked.root.join("docs/capacity.json"))?)?;
        return Ok(true);
    }
    if asked.only.is_some() {
        measure(asked)?;
        return Ok(true);
    }
    let began = Instant::now();
    let span = Duration::from_secs(if asked.quick { 20 } else { 40 });
    let both = agreement::measure(&asked.program, span)?;
    for (n, what) in agreement::WHAT.into_iter().enumerate() {
        println!(
            "hollow and real over {:.0} s, {what}: {:.1} and {:.1}",
            both.seconds, both.hollow[n], both.real[n]
        );
    }
    let agree = both.check();
    if let Err(e) = &agree {
        println!("FAILED: {e}");
    }
    let capacity = measure(asked)?;
    capacity.check()?;
    println!();
    for total in &capacity.totals {
        println!(
            "{:<34} day {:>16} peak {:>16} limit {:>16}",
            total.sum.word(),
            page::figure(total.day),
            page::figure(total.peak),
            page::figure(total.limit)
        );
    }
    println!("took {:.0} s", began.elapsed().as_secs_f64());
    if agree.is_ok() && (!asked.quick || asked.write) {
        write(&asked.root, &capacity)?;
    }
    Ok(agree.is_ok())
}

fn main() -> ExitCode {
    match run(&Asked::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("measure-capacity: {e}");
            ExitCode::FAILURE
        }
    }
}
