//! Retries of startup steps that fail with a transient error.

use super::clock::Clock;
use crate::lifecycle::startup::{Cause, Retries};
use rustix::io::Errno;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Errors that Linux documents for conditions that may pass soon.
const TRANSIENT_ERRORS: [Errno; 9] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::NOSPC,
    Errno::AGAIN,
    Errno::INTR,
    Errno::NETDOWN,
    Errno::NETUNREACH,
];

/// Classifies the error of a startup step.
pub fn cause(error: &io::Error) -> Cause {
    let code = error.raw_os_error();
    if TRANSIENT_ERRORS.iter().any(|e| code == Some(e.raw_os_error())) {
        Cause::Resource
    } else if code == Some(Errno::ADDRINUSE.raw_os_error()) {
        Cause::AddressInUse
    } else {
        Cause::Permanent
    }
}

/// Runs a startup step, and retries it while its error may be transient. `report` is called with the first error that
/// is retried.
///
/// # Errors
/// Returns the error of the last attempt, or one of the kind [`ErrorKind::Interrupted`] after a pause in which
/// `is_ending` became true because the process was told to terminate.
pub fn retry_step<T>(
    clock: &Clock,
    is_ending: &dyn Fn() -> bool,
    report: &dyn Fn(&io::Error),
    mut step: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let mut retries = Retries::new(clock.now());
    let mut is_reported = false;
    loop {
        let error = match step() {
            Ok(done) => return Ok(done),
            Err(error) => error,
        };
        let Some(pause) = retries.failed(clock.now(), cause(&error)) else { return Err(error) };
        if !is_reported {
            is_reported = true;
            report(&error);
        }
        std::thread::sleep(Duration::from_micros(pause));
        if is_ending() {
            return Err(io::Error::new(
                ErrorKind::Interrupted,
                "terminated by a signal before startup was complete",
            ));
        }
    }
}
