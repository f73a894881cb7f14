//! Steps of the start that the system refuses for a moment are tried again.

use super::clock::Clock;
use crate::lifecycle::startup::{Cause, Retries};
use rustix::io::Errno;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Errors that Linux documents for what may work in a moment.
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

/// Why a step failed.
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

/// Makes a step of the start, again and again while what it fails for may pass.
///
/// # Errors
/// That of the last try; or one of the kind [`ErrorKind::Interrupted`] once `is_ending` says that the process is to
/// end.
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
            return Err(io::Error::new(ErrorKind::Interrupted, "told to end before it had started"));
        }
    }
}
