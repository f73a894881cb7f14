//! Runs the instance: its configuration, its log, and its end.

use super::{fail, Run};
use crate::config::platform::{Config, ConfigError};
use crate::config::product::{script, LogForm};
use crate::lifecycle::startup::Cause;
use crate::net::clock::Clock;
use crate::net::event_loop::{EventLoop, SignalFlags};
use crate::net::startup::{cause, retry_step};
use crate::proxy::{Proxy, Startup};
use slog::{info, o, Drain, Level, Logger};
use slog_async::{AsyncGuard, OverflowStrategy};
use std::io::{self, ErrorKind};
use std::process::ExitCode;
use std::sync::mpsc;
use std::time::Duration;

/// Log lines that may wait to be written; more are dropped and counted.
const LOG_LINES: usize = 1024;
/// How long the last log lines may take.
const LAST_LINES: Duration = Duration::from_millis(200);

fn written<D: Drain + Send + 'static>(lines: D) -> (slog_async::Async, AsyncGuard)
where
    D::Err: std::fmt::Debug,
{
    slog_async::Async::new(lines.fuse())
        .chan_size(LOG_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard()
}

/// A log to standard error. Writing is another thread's, so that a full pipe never holds up the loop.
fn logger(name: &str, form: LogForm) -> (Logger, AsyncGuard) {
    let level = match std::env::var("LARCHDALE_LOG").as_deref() {
        Ok("debug") => Level::Debug,
        Ok("warning") => Level::Warning,
        _ => Level::Info,
    };
    let (drain, guard) = match form {
        LogForm::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            written(slog_term::FullFormat::new(decorator).use_utc_timestamp().build())
        }
        LogForm::Json => written(slog_json::Json::new(std::io::stderr()).add_default_keys().build()),
    };
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

/// The loop and the configuration; a file that the system can't open for a moment is tried again.
fn prepared(clock: &Clock, flags: &SignalFlags) -> io::Result<(EventLoop, Result<Config, ConfigError>)> {
    let to_end = || flags.is_shutdown_requested();
    let say = |e: &io::Error| eprintln!("larchdale: can't start yet: {e}; trying again");
    // The loop must have room for what is read besides, so both are one step.
    retry_step(clock, &to_end, &say, || {
        let event_loop = EventLoop::with(flags.clone())?;
        match Config::from_env() {
            Err(ConfigError::Unreadable(_, e)) if cause(&e) == Cause::Resource => Err(e),
            read => Ok((event_loop, read)),
        }
    })
}

/// The end of a process that never served: in order where it was told to end meanwhile.
fn unstarted(error: &io::Error) -> ExitCode {
    match error.kind() {
        ErrorKind::Interrupted => ExitCode::SUCCESS,
        _ => fail(&format!("can't start: {error}")),
    }
}

pub(super) fn run(options: Run) -> ExitCode {
    let clock = Clock::start();
    // Guards a process that has only just begun: until signals are heard of, SIGHUP would end it.
    let flags = match SignalFlags::register() {
        Ok(flags) => flags,
        Err(e) => return fail(&format!("can't hear of signals: {e}")),
    };
    let (event_loop, config) = match prepared(&clock, &flags) {
        Ok((event_loop, Ok(config))) => (event_loop, config),
        Ok((_, Err(e))) => return fail(&e.to_string()),
        Err(e) => return unstarted(&e),
    };
    let product = match options.product.map(|path| Ok((script::read(&path)?, path))).transpose() {
        Ok(product) => product.map(|(product, path)| (path, product)),
        Err(e) => return fail(&script::ScriptError::to_string(&e)),
    };
    let set = product.as_ref().and_then(|(_, product)| product.log);
    let form = options.log_format.map(LogForm::from).or(set).unwrap_or_default();
    let (log, guard) = logger(&config.name, form);
    let startup = Startup { config, product, clock, log: log.clone(), event_observer: None };
    let started = Proxy::start(event_loop, startup).and_then(|d| Ok((d.address()?, d)));
    let (address, proxy) = match started {
        Ok(started) => started,
        Err(e) => return unstarted(&e),
    };
    info!(log, "listening"; "address" => %address);
    let ended = proxy.run();
    end_log(guard);
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("larchdale: {e}");
            ExitCode::FAILURE
        }
    }
}
