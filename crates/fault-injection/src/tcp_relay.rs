//! A relay for TCP connections from instances to servers, between real processes on loopback.
//!
//! Each instance has an address of its own for every server, whose bytes go to that server. A [`Schedule`] (from =
//! instance, to = server) cuts and delays these links, both directions alike: a rule's `both` is ignored, since instances and
//! servers are numbered apart.
//!
//! The kernel completes a handshake before the relay could refuse it. A cut link therefore accepts connections and is
//! silent: whoever opened one waits for a response that does not come. Open connections stay open, and what was sent on them
//! arrives once the link is restored, as TCP would retransmit it.

mod direction;
mod worker;

use self::worker::{RelayListener, Worker};
use crate::{FaultSampler, Schedule};
use mio::{Poll, Token, Waker};
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Token of the waker, which no connection has.
const WAKER_TOKEN: Token = Token(usize::MAX);
/// Between two looks whether a command has been carried out.
const COMMAND_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Counters of a relay.
#[derive(Debug, Default)]
pub struct Counters {
    /// Connections accepted.
    pub connections: AtomicU64,
    /// Connections that were reset, refused by their server, or too many.
    pub reset: AtomicU64,
    /// Bytes forwarded to servers.
    pub bytes_to_servers: AtomicU64,
    /// Bytes forwarded to instances.
    pub bytes_to_instances: AtomicU64,
    /// Segments that arrived later because they were dropped at first.
    pub retransmitted: AtomicU64,
}

/// The link from one instance to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LinkId {
    instance: usize,
    server: usize,
}

/// What the owner of a relay has its thread do.
#[derive(Clone, Copy, Debug)]
enum Command {
    /// Reset all connections of a link.
    Reset(LinkId),
    /// Refuse new connections of a link.
    Refuse(LinkId),
    /// Accept new connections of a link again.
    Accept(LinkId),
}

/// A command that waits for the thread, and whether it has been carried out.
struct PendingCommand {
    command: Command,
    done: Arc<AtomicBool>,
}

/// A schedule in force, with the moment it began.
struct Faults {
    began: Instant,
    sampler: FaultSampler,
}

impl Faults {
    fn starting_now(schedule: &Schedule) -> Self {
        let mut one_way = schedule.clone();
        for rule in &mut one_way.rules {
            rule.both = false;
        }
        Faults { began: Instant::now(), sampler: one_way.sampler() }
    }
}

/// What the owner of a relay and its thread share.
struct Shared {
    faults: Mutex<Faults>,
    commands: Mutex<VecDeque<PendingCommand>>,
    stop: AtomicBool,
    counters: Counters,
}

/// A running relay. It stops when it is dropped.
pub struct TcpRelay {
    addresses: Vec<Vec<SocketAddr>>,
    shared: Arc<Shared>,
    waker: Waker,
}

impl TcpRelay {
    /// Starts a relay from so many instances to these servers.
    ///
    /// # Errors
    /// A listener of the relay can't be opened or polled.
    pub fn start(servers: &[SocketAddr], instances: usize, schedule: &Schedule) -> io::Result<Self> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKER_TOKEN)?;
        let mut addresses = Vec::new();
        let mut listeners = Vec::new();
        for instance in 0..instances {
            let mut own = Vec::new();
            for server in 0..servers.len() {
                let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
                let link = LinkId { instance, server };
                let listener = RelayListener::open(poll.registry(), any_port, listeners.len(), link)?;
                own.push(listener.address);
                listeners.push(listener);
            }
            addresses.push(own);
        }
        let shared = Arc::new(Shared {
            faults: Mutex::new(Faults::starting_now(schedule)),
            commands: Mutex::default(),
            stop: AtomicBool::default(),
            counters: Counters::default(),
        });
        let worker = Worker::new(shared.clone(), servers.to_vec(), listeners);
        std::thread::spawn(move || worker.run(poll));
        Ok(TcpRelay { addresses, shared, waker })
    }

    /// The address by which an instance reaches a server.
    pub fn address(&self, instance: usize, server: usize) -> SocketAddr {
        self.addresses[instance][server]
    }

    /// Puts another schedule in force, whose time begins now.
    pub fn follow(&self, schedule: &Schedule) {
        *lock(&self.shared.faults) = Faults::starting_now(schedule);
        // A thread that is not woken looks by itself a little later.
        let _ = self.waker.wake();
    }

    /// Resets all connections of a link; returns once that is done, or the thread has ended.
    pub fn reset(&self, instance: usize, server: usize) {
        self.execute(Command::Reset(LinkId { instance, server }));
    }

    /// Refuses new connections of a link from now on; open ones go on.
    pub fn refuse(&self, instance: usize, server: usize) {
        self.execute(Command::Refuse(LinkId { instance, server }));
    }

    /// Accepts new connections of a link again, at the address that it had.
    pub fn accept(&self, instance: usize, server: usize) {
        self.execute(Command::Accept(LinkId { instance, server }));
    }

    /// What the relay has done so far.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    fn execute(&self, command: Command) {
        let done = Arc::<AtomicBool>::default();
        lock(&self.shared.commands).push_back(PendingCommand { command, done: done.clone() });
        let _ = self.waker.wake();
        // The thread holds the other reference for as long as it runs.
        while !done.load(Ordering::SeqCst) && Arc::strong_count(&self.shared) > 1 {
            std::thread::sleep(COMMAND_CHECK_INTERVAL);
        }
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        let _ = self.waker.wake();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
