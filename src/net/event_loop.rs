//! The event loop: readiness of sockets, timers and signals.
//!
//! The proxy and the command-line tools own one loop each; sockets are registered in it under tokens.

#[cfg(test)]
mod tests;

use crate::routing::events::Micros;
use mio::event::Source;
use mio::net::{TcpStream, UnixStream};
use mio::{Events, Interest, Poll, Token};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Token of the signal pipe.
pub const SIGNALS: Token = Token(0);
/// First token given to a socket.
const FIRST_SOCKET: usize = 1;
/// Maximum number of events returned by one poll.
const EVENTS_PER_POLL: usize = 512;
/// Maximum number of polls in one wait: together they report more sockets than a process has descriptors.
const MAX_POLLS_PER_WAIT: usize = 16;

/// Timers ordered by their due time, and by the order in which they were set if they are due at the same time.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Micros, u64, Unordered<T>)>>,
    set_count: u64,
}

/// The payload of a timer, which is ignored by the order of the heap.
#[derive(Debug)]
struct Unordered<T>(T);

impl<T> PartialEq for Unordered<T> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl<T> Eq for Unordered<T> {}
impl<T> PartialOrd for Unordered<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Unordered<T> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), set_count: 0 }
    }
}

impl<T> Timers<T> {
    /// Sets a timer. Timers can't be cancelled: the receiver of a due one must check whether it still applies.
    pub fn set(&mut self, at: Micros, payload: T) {
        self.set_count += 1;
        self.heap.push(Reverse((at, self.set_count, Unordered(payload))));
    }

    /// Removes and returns the next due timer with its due time, if there is one.
    pub fn pop_due(&mut self, now: Micros) -> Option<(Micros, T)> {
        self.heap.peek().filter(|t| t.0 .0 <= now)?;
        self.heap.pop().map(|Reverse((at, _, payload))| (at, payload.0))
    }

    /// Removes the timers whose payload does not satisfy `is_needed`.
    pub fn retain(&mut self, is_needed: impl Fn(&T) -> bool) {
        self.heap.retain(|Reverse((_, _, payload))| is_needed(&payload.0));
    }

    /// Returns the number of timers that are set.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Iterates over the payloads of all timers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.heap.iter().map(|Reverse((_, _, payload))| &payload.0)
    }

    /// Returns the due time of the next timer.
    pub fn next_due(&self) -> Option<Micros> {
        self.heap.peek().map(|t| t.0 .0)
    }
}

/// Readiness of one socket.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// Token of the socket.
    pub token: Token,
    /// Whether there may be bytes, an end of stream or an error to read.
    pub readable: bool,
    /// Whether the socket can be written to, or a dial has completed or failed.
    pub writable: bool,
    /// Whether the peer has shut down its writing side; bytes that it wrote before may still be unread.
    pub read_closed: bool,
}

/// Fault injection: returns for each socket to be registered the error with which the registration fails, if any.
pub type RegistrationFaults = Box<dyn FnMut() -> Option<io::Error>>;

/// The poll with its tokens and signals.
pub struct EventLoop {
    poll: Poll,
    events: Events,
    next_token: usize,
    signals: UnixStream,
    flags: SignalFlags,
    registration_faults: Option<RegistrationFaults>,
}

/// Flags of the signals received so far. They are registered as the first step of a process, before there is a loop.
#[derive(Clone, Debug)]
pub struct SignalFlags {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl SignalFlags {
    /// Registers handlers of SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// Returns the system's error if a handler can't be registered.
    pub fn register() -> io::Result<Self> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        let flags = SignalFlags { shutdown: Arc::default(), reload: Arc::default() };
        for (signal, flag) in [(SIGTERM, &flags.shutdown), (SIGINT, &flags.shutdown), (SIGHUP, &flags.reload)]
        {
            signal_hook::flag::register(signal, flag.clone())?;
        }
        Ok(flags)
    }

    /// Whether SIGTERM or SIGINT was received.
    pub fn is_shutdown_requested(&self) -> bool {
        self.shutdown.load(Ordering::SeqCst)
    }
}

/// Signals received since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signals {
    /// Whether SIGTERM or SIGINT was received.
    pub shutdown: bool,
    /// Whether SIGHUP was received: the configuration is to be reloaded.
    pub reload: bool,
}

impl EventLoop {
    /// Creates a loop that SIGTERM, SIGINT and SIGHUP wake.
    ///
    /// # Errors
    /// Returns the system's error if the poll, its signal pipe or a handler can't be created.
    pub fn new() -> io::Result<Self> {
        EventLoop::with(SignalFlags::register()?)
    }

    /// Creates a loop that is woken by the signals of `flags`.
    ///
    /// # Errors
    /// Returns the system's error if the poll, its signal pipe or a handler can't be created.
    pub fn with(flags: SignalFlags) -> io::Result<Self> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        let poll = Poll::new()?;
        let (read_end, write_end) = std::os::unix::net::UnixStream::pair()?;
        read_end.set_nonblocking(true)?;
        write_end.set_nonblocking(true)?;
        let wakers =
            [(SIGTERM, write_end.try_clone()?), (SIGINT, write_end.try_clone()?), (SIGHUP, write_end)];
        for (signal, waker) in wakers {
            // Registered after the flags, so that the flags are set when the pipe wakes the loop.
            signal_hook::low_level::pipe::register(signal, waker)?;
        }
        let mut signals = UnixStream::from_std(read_end);
        poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
        let events = Events::with_capacity(EVENTS_PER_POLL);
        Ok(EventLoop { poll, events, next_token: FIRST_SOCKET, signals, flags, registration_faults: None })
    }

    /// Returns the flags of the loop's signals; the flag of a signal that was taken is no longer set.
    pub fn flags(&self) -> SignalFlags {
        self.flags.clone()
    }

    /// Registers a socket under a token that was never used before, so that events of a closed socket can't be mistaken
    /// for events of a later one.
    ///
    /// # Errors
    /// Returns the poll's error if it refuses the socket.
    pub fn add(&mut self, source: &mut impl Source, interest: Interest) -> io::Result<Token> {
        if let Some(error) = self.registration_faults.as_mut().and_then(|fault| fault()) {
            return Err(error);
        }
        let token = Token(self.next_token);
        self.next_token += 1;
        self.poll.registry().register(source, token, interest)?;
        Ok(token)
    }

    /// Makes registrations fail as `faults` decides, for tests of a poll that can take no more sockets.
    pub fn inject_faults(&mut self, faults: RegistrationFaults) {
        self.registration_faults = Some(faults);
    }

    /// Deregisters a socket until it is added again.
    ///
    /// # Errors
    /// Returns the poll's error if the socket is not registered.
    pub fn remove(&mut self, source: &mut impl Source) -> io::Result<()> {
        self.poll.registry().deregister(source)
    }

    /// Starts a connection to `address`; the poll reports when it has completed or failed.
    ///
    /// # Errors
    /// Returns the system's error if it has no socket or refuses the address at once.
    pub fn connect(&mut self, address: SocketAddr) -> io::Result<(Token, TcpStream)> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let token = self.add(&mut stream, Interest::READABLE | Interest::WRITABLE)?;
        Ok((token, stream))
    }

    /// Waits until a socket is ready, for `wait` at most, and appends all that are ready to `ready`. A readiness that
    /// is not reported did not exist when this was called.
    ///
    /// # Errors
    /// Returns the poll's error.
    pub fn wait(&mut self, wait: Duration, ready: &mut Vec<Ready>) -> io::Result<()> {
        let mut is_complete = self.poll_once(wait, ready)?;
        for _ in 1..MAX_POLLS_PER_WAIT {
            if is_complete {
                break;
            }
            is_complete = self.poll_once(Duration::ZERO, ready)?;
        }
        Ok(())
    }

    /// Polls once. Returns whether all ready sockets were reported: a signal, or the resumption of a stopped process,
    /// interrupts a poll before it has checked the sockets, and a full event buffer leaves some unreported.
    fn poll_once(&mut self, wait: Duration, ready: &mut Vec<Ready>) -> io::Result<bool> {
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(false),
            Err(e) => return Err(e),
            Ok(()) => {}
        }
        let reported = ready.len();
        ready.extend(self.events.iter().map(|e| Ready {
            token: e.token(),
            readable: e.is_readable() || e.is_read_closed() || e.is_error(),
            writable: e.is_writable() || e.is_write_closed() || e.is_error(),
            read_closed: e.is_read_closed(),
        }));
        Ok(ready.len() - reported < EVENTS_PER_POLL)
    }

    /// Returns the signals received since the last call.
    pub fn take_signals(&mut self) -> Signals {
        let mut bytes = [0; 64];
        while matches!(self.signals.read(&mut bytes), Ok(n) if n > 0) {}
        let take = |flag: &AtomicBool| flag.swap(false, Ordering::SeqCst);
        Signals { shutdown: take(&self.flags.shutdown), reload: take(&self.flags.reload) }
    }
}
