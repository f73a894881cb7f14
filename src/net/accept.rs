//! What follows from an accept that fails.

#[cfg(test)]
mod tests;

use rustix::io::Errno;
use std::io::{self, ErrorKind};

/// Errors by which Linux tells, at the accept, what became of the one connection that was next.
const OF_ONE_CONNECTION: [Errno; 11] = [
    Errno::CONNABORTED,
    Errno::INTR,
    Errno::PROTO,
    Errno::NOPROTOOPT,
    Errno::OPNOTSUPP,
    Errno::NETDOWN,
    Errno::NETUNREACH,
    Errno::HOSTDOWN,
    Errno::HOSTUNREACH,
    Errno::TIMEDOUT,
    Errno::PERM,
];

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nobody waits any more.
    Empty,
    /// That one connection is gone; the next may be taken.
    ConnectionLost,
    /// There is no descriptor: one must be freed first.
    NoDescriptor,
    /// The system has no room: later.
    NoResources,
}

/// Judges an error of accept.
pub fn failure(error: &io::Error) -> Failure {
    let is = |codes: &[Errno]| codes.iter().any(|c| error.raw_os_error() == Some(c.raw_os_error()));
    match error.kind() {
        ErrorKind::WouldBlock => Failure::Empty,
        _ if is(&OF_ONE_CONNECTION) => Failure::ConnectionLost,
        _ if is_out_of_descriptors(error) => Failure::NoDescriptor,
        _ => Failure::NoResources,
    }
}

/// Whether a socket could not be had for want of descriptors.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    let code = error.raw_os_error();
    [Errno::MFILE, Errno::NFILE].iter().any(|e| code == Some(e.raw_os_error()))
}
