//! The real doorman: reads its configuration, starts the log and runs until told to end.
#![forbid(unsafe_code)]

use larchdale::net::clock::Clock;
use larchdale::net::config::Config;
use larchdale::net::doorman::Doorman;
use slog::{info, o, Drain, Level, Logger};
use slog_async::{AsyncGuard, OverflowStrategy};
use std::process::ExitCode;
use std::sync::mpsc;
use std::time::Duration;

/// Log lines that may wait to be written; more are dropped and counted.
const LOG_LINES: usize = 1024;
/// How long the last log lines may take.
const LAST_LINES: Duration = Duration::from_millis(200);

/// A log to standard error. Writing is another thread's, so that a full pipe never holds up the loop.
fn logger(name: &str) -> (Logger, AsyncGuard) {
    let level = match std::env::var("LARCHDALE_LOG").as_deref() {
        Ok("debug") => Level::Debug,
        Ok("warning") => Level::Warning,
        _ => Level::Info,
    };
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let lines = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().fuse();
    let (drain, guard) = slog_async::Async::new(lines)
        .chan_size(LOG_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.filter_level(level).fuse(), o!("name" => name.to_owned())), guard)
}

/// Writes the last lines, unless the pipe is full: nothing must hold up the end.
fn end_log(guard: AsyncGuard) {
    let (done, is_done) = mpsc::channel();
    std::thread::spawn(move || {
        drop(guard);
        let _ = done.send(());
    });
    let _ = is_done.recv_timeout(LAST_LINES);
}

fn main() -> ExitCode {
    let clock = Clock::start();
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(e) => {
            eprintln!("larchdale: {e}");
            return ExitCode::from(2);
        }
    };
    let (log, guard) = logger(&config.name);
    let listen = config.listen;
    let started = Doorman::start(config, clock, log.clone()).and_then(|d| Ok((d.address()?, d)));
    let (address, doorman) = match started {
        Ok(started) => started,
        Err(e) => {
            eprintln!("larchdale: can't listen on {listen}: {e}");
            return ExitCode::from(2);
        }
    };
    info!(log, "listening"; "address" => %address);
    let ended = doorman.run();
    end_log(guard);
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("larchdale: {e}");
            ExitCode::FAILURE
        }
    }
}
