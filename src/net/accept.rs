//! Classification of the errors of `accept`.

#[cfg(test)]
mod tests;

use rustix::io::Errno;
use std::io::{self, ErrorKind};

/// Errors by which Linux reports at `accept` that the next pending connection has failed.
const CONNECTION_ERRORS: [Errno; 11] = [
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

/// The classes of accept errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection is pending.
    Empty,
    /// The connection that was next has failed; the one after it may be accepted.
    ConnectionLost,
    /// The descriptor limit is reached: a descriptor must be freed first.
    NoDescriptor,
    /// The system lacks another resource: accept is to be retried later.
    NoResources,
}

/// Classifies an error of `accept`.
pub fn classify(error: &io::Error) -> Failure {
    let is = |codes: &[Errno]| codes.iter().any(|c| error.raw_os_error() == Some(c.raw_os_error()));
    match error.kind() {
        ErrorKind::WouldBlock => Failure::Empty,
        _ if is(&CONNECTION_ERRORS) => Failure::ConnectionLost,
        _ if is_out_of_descriptors(error) => Failure::NoDescriptor,
        _ => Failure::NoResources,
    }
}

/// Whether an error means that the limit of descriptors of the process or of the system is reached.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    let code = error.raw_os_error();
    [Errno::MFILE, Errno::NFILE].iter().any(|e| code == Some(e.raw_os_error()))
}
