//! What cores alone leave out: real drivers by the hundred on one loop and real processes, against a stand-in registry
//! on loopback.
//!
//! A hollow instance is the real driver of documents, or of the list, on a loop that it shares with the others. It leaves
//! out what stands round the driver in a process: the other parts of the instance and their turns (a driver is turned
//! when it is due or something came, as in the process), what the instance makes of a change (membership, module, map),
//! its log, its own signals and descriptors beside the connection, and its memory beside the driver's. What it sends
//! and is sent is compared with a real process, see [`agreement`].
//!
//! The registry is a stand-in: one thread that looks at every connection each millisecond. Its processor time is no
//! real registry's; messages and bytes are what the interface asks for.

pub mod agreement;
pub mod fleets;
pub mod hollow;
pub mod process;
pub mod processes;
pub mod tap;

use std::time::Duration;

/// Keys of one fleet.
pub const PREFIX: &str = "/f/";
/// Changes a second while there are any.
pub const CHANGES: u32 = 20;
/// Bytes of a changed document's value: what a purge of an object or a small setting takes.
pub const VALUE: usize = 100;

/// What goes wrong.
#[derive(Debug, thiserror::Error)]
pub enum LoopbackError {
    /// A socket, file or process.
    #[error(
        "{what}: {why}; see that loopback ports and descriptors are free, and that the program is built"
    )]
    Io {
        /// Which.
        what: &'static str,
        /// Why.
        why: std::io::Error,
    },
    /// What /proc tells.
    #[error("/proc of process {id}: {why}; is it still there?")]
    Proc {
        /// Whose.
        id: i32,
        /// Why.
        why: procfs::ProcError,
    },
    /// A process did not say what it was waited for.
    #[error("the doorman never logged \"{text}\" within {within:?}, but:\n{seen}")]
    Silent {
        /// What.
        text: String,
        /// How long it was waited for.
        within: Duration,
        /// The last lines.
        seen: String,
    },
    /// Hollow instances that do not get to follow.
    #[error("{follow} of {all} hollow doormans follow after {within:?}; is the machine busy? take fewer")]
    Follow {
        /// How many do.
        follow: usize,
        /// Of how many.
        all: usize,
        /// How long they were waited for.
        within: Duration,
    },
    /// More descriptors than the process may have.
    #[error("{wanted} descriptors are wanted and the process may have {most}; take fewer hollow doormans")]
    Descriptors {
        /// Wanted.
        wanted: u64,
        /// May be.
        most: u64,
    },
    /// Hollow and real differ.
    #[error("a hollow doorman's {what} is {hollow:.1}, a real one's {real:.1}: more than a tenth apart; the hollow one leaves out too much")]
    Apart {
        /// Of what.
        what: &'static str,
        /// The hollow one's.
        hollow: f64,
        /// The real one's.
        real: f64,
    },
}

pub(crate) fn io(what: &'static str) -> impl Fn(std::io::Error) -> LoopbackError {
    move |why| LoopbackError::Io { what, why }
}
