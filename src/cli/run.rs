//! Runs the instance: reads its configuration, sets up logging and handles its exit.

use super::{fail, Run};
use crate::config::platform::{Config, ConfigError};
use crate::config::product::{script, LogFormat};
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

/// Capacity of the queue of log lines; further lines are dropped and counted.
const LOG_QUEUE_LINES: usize = 1024;
/// Maximum time to write the remaining log lines at exit.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

fn async_drain<D: Drain + Send + 'static>(drain: D) -> (slog_async::Async, AsyncGuard)
where
    D::Err: std::fmt::Debug,
{
    slog_async::Async::new(drain.fuse())
        .chan_size(LOG_QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard()
}

/// Returns a logger to standard error. A separate thread writes the lines, so that a full pipe never blocks the event
/// loop.
fn logger(name: &str, format: LogFormat) -> (Logger, AsyncGuard) {
    let level = match std::env::var("LARCHDALE_LOG").as_deref() {
        Ok("debug") => Level::Debug,
        Ok("warning") => Level::Warning,
        _ => Level::Info,
    };
    let (drain, guard) = match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            async_drain(slog_term::FullFormat::new(decorator).use_utc_timestamp().build())
        }
        LogFormat::Json => async_drain(slog_json::Json::new(std::io::stderr()).add_default_keys().build()),
    };
    (Logger::root(drain.filter_level(level).fuse(), o!("name" => name.to_owned())), guard)
}

/// Writes the remaining log lines, for at most [`LOG_FLUSH_TIMEOUT`]: a full pipe must not delay the exit.
fn flush_log(guard: AsyncGuard) {
    let (done, is_done) = mpsc::channel();
    std::thread::spawn(move || {
        drop(guard);
        let _ = done.send(());
    });
    let _ = is_done.recv_timeout(LOG_FLUSH_TIMEOUT);
}

/// Creates the event loop and reads the configuration. Retries while the system lacks the resources for it, such as
/// file descriptors.
fn prepare(clock: &Clock, flags: &SignalFlags) -> io::Result<(EventLoop, Result<Config, ConfigError>)> {
    let is_cancelled = || flags.is_shutdown_requested();
    let report = |e: &io::Error| eprintln!("larchdale: can't start yet: {e}; trying again");
    // Both are one step, because the descriptors must suffice for the event loop and the file at the same time.
    retry_step(clock, &is_cancelled, &report, || {
        let event_loop = EventLoop::with(flags.clone())?;
        match Config::from_env() {
            Err(ConfigError::Unreadable(_, e)) if cause(&e) == Cause::Resource => Err(e),
            config => Ok((event_loop, config)),
        }
    })
}

/// Returns the exit code of a process that never served: success if a shutdown was requested during the start.
fn start_failure(error: &io::Error) -> ExitCode {
    match error.kind() {
        ErrorKind::Interrupted => ExitCode::SUCCESS,
        _ => fail(&format!("can't start: {error}")),
    }
}

pub(super) fn run(options: Run) -> ExitCode {
    let clock = Clock::start();
    // Registers the handlers first: until then, SIGHUP would end the process.
    let flags = match SignalFlags::register() {
        Ok(flags) => flags,
        Err(e) => return fail(&format!("can't register signal handlers: {e}")),
    };
    let (event_loop, config) = match prepare(&clock, &flags) {
        Ok((event_loop, Ok(config))) => (event_loop, config),
        Ok((_, Err(e))) => return fail(&e.to_string()),
        Err(e) => return start_failure(&e),
    };
    let product = match options.product.map(|path| Ok((script::read(&path)?, path))).transpose() {
        Ok(product) => product.map(|(product, path)| (path, product)),
        Err(e) => return fail(&script::ScriptError::to_string(&e)),
    };
    let script_format = product.as_ref().and_then(|(_, product)| product.log);
    let format = options.log_format.map(LogFormat::from).or(script_format).unwrap_or_default();
    let (log, guard) = logger(&config.name, format);
    let startup = Startup { config, product, clock, log: log.clone(), event_observer: None };
    let started = Proxy::start(event_loop, startup).and_then(|proxy| Ok((proxy.address()?, proxy)));
    let (address, proxy) = match started {
        Ok(started) => started,
        Err(e) => return start_failure(&e),
    };
    info!(log, "listening"; "address" => %address);
    let result = proxy.run();
    flush_log(guard);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("larchdale: {e}");
            ExitCode::FAILURE
        }
    }
}
