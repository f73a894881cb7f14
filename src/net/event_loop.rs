//! What a turn of the loop waits for: readiness of sockets, timers and signals.
//!
//! The proxy and the tools of the command line own one each; sockets are registered here under tokens.

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

/// Token of the signals' pipe.
pub const SIGNALS: Token = Token(0);
/// The first token of sockets.
const FIRST_SOCKET: usize = 1;
/// Events taken by one poll.
const EVENTS_PER_POLL: usize = 512;
/// Polls of one wait: together they report more sockets than a process has descriptors.
const MAX_POLLS_PER_WAIT: usize = 16;

/// Timers of any kind, in order of their time and, within one moment, of their setting.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Micros, u64, Slot<T>)>>,
    set: u64,
}

/// Carries a timer's meaning through the heap without taking part in the order.
#[derive(Debug)]
struct Slot<T>(T);

impl<T> PartialEq for Slot<T> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl<T> Eq for Slot<T> {}
impl<T> PartialOrd for Slot<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Slot<T> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), set: 0 }
    }
}

impl<T> Timers<T> {
    /// Sets a timer. None can be cancelled: who gets one must see whether it still means anything.
    pub fn set(&mut self, at: Micros, what: T) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, Slot(what))));
    }

    /// The next timer that is due, with its time.
    pub fn due(&mut self, now: Micros) -> Option<(Micros, T)> {
        self.heap.peek().filter(|t| t.0 .0 <= now)?;
        self.heap.pop().map(|Reverse((at, _, what))| (at, what.0))
    }

    /// How many are set.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// All that are set, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.heap.iter().map(|Reverse((_, _, what))| &what.0)
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|t| t.0 .0)
    }
}

/// What became ready.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// Whose it is.
    pub token: Token,
    /// There is something to read, or an end.
    pub readable: bool,
    /// There is room to write, or a dial has ended.
    pub writable: bool,
    /// The peer writes nothing more: what it has written may still be there to read.
    pub ended: bool,
}

/// Decides for each socket that is to be registered whether the poll refuses it, and with what error.
pub type RegistrationFaults = Box<dyn FnMut() -> Option<io::Error>>;

/// The poll with the tokens and the signals.
pub struct EventLoop {
    poll: Poll,
    events: Events,
    next_token: usize,
    signals: UnixStream,
    flags: SignalFlags,
    registration_faults: Option<RegistrationFaults>,
}

/// The signals received so far. They are registered in the first moment of a process, before there is a loop.
#[derive(Clone, Debug)]
pub struct SignalFlags {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl SignalFlags {
    /// Receives SIGTERM, SIGINT and SIGHUP from now on.
    ///
    /// # Errors
    /// The system refuses a handler.
    pub fn register() -> io::Result<Self> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        let flags = SignalFlags { shutdown: Arc::default(), reload: Arc::default() };
        for (signal, flag) in [(SIGTERM, &flags.shutdown), (SIGINT, &flags.shutdown), (SIGHUP, &flags.reload)]
        {
            signal_hook::flag::register(signal, flag.clone())?;
        }
        Ok(flags)
    }

    /// Whether SIGTERM or SIGINT has come.
    pub fn is_shutdown_requested(&self) -> bool {
        self.shutdown.load(Ordering::SeqCst)
    }
}

/// The signals since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signals {
    /// SIGTERM or SIGINT has come.
    pub shutdown: bool,
    /// SIGHUP has come: the configuration is to be read again.
    pub reload: bool,
}

impl EventLoop {
    /// A loop that is woken by SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// The system refuses the poll, its pipe or a handler.
    pub fn new() -> io::Result<Self> {
        EventLoop::with(SignalFlags::register()?)
    }

    /// A loop that is woken by the signals of these flags.
    ///
    /// # Errors
    /// The system refuses the poll, its pipe or a handler.
    pub fn with(flags: SignalFlags) -> io::Result<Self> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        let poll = Poll::new()?;
        let (ours, theirs) = std::os::unix::net::UnixStream::pair()?;
        ours.set_nonblocking(true)?;
        theirs.set_nonblocking(true)?;
        let wakers = [(SIGTERM, theirs.try_clone()?), (SIGINT, theirs.try_clone()?), (SIGHUP, theirs)];
        for (signal, waker) in wakers {
            // After the flags, which are set by the time that the pipe wakes the loop.
            signal_hook::low_level::pipe::register(signal, waker)?;
        }
        let mut signals = UnixStream::from_std(ours);
        poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
        let events = Events::with_capacity(EVENTS_PER_POLL);
        Ok(EventLoop { poll, events, next_token: FIRST_SOCKET, signals, flags, registration_faults: None })
    }

    /// The flags of its signals; what was taken is no longer set.
    pub fn flags(&self) -> SignalFlags {
        self.flags.clone()
    }

    /// Watches a socket under a token that was never used before, so that events of a closed one can't be
    /// taken for those of its successor.
    ///
    /// # Errors
    /// The poll refuses the socket.
    pub fn add(&mut self, source: &mut impl Source, interest: Interest) -> io::Result<Token> {
        if let Some(error) = self.registration_faults.as_mut().and_then(|fault| fault()) {
            return Err(error);
        }
        let token = Token(self.next_token);
        self.next_token += 1;
        self.poll.registry().register(source, token, interest)?;
        Ok(token)
    }

    /// Refuses sockets as `faults` says, for a trial of what follows from a poll without room.
    pub fn inject_faults(&mut self, faults: RegistrationFaults) {
        self.registration_faults = Some(faults);
    }

    /// Watches a socket no more, until it is added again.
    ///
    /// # Errors
    /// The poll does not have the socket.
    pub fn remove(&mut self, source: &mut impl Source) -> io::Result<()> {
        self.poll.registry().deregister(source)
    }

    /// Begins to connect; the poll reports how it ends.
    ///
    /// # Errors
    /// The system gives no socket, or refuses the address at once.
    pub fn connect(&mut self, address: SocketAddr) -> io::Result<(Token, TcpStream)> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let token = self.add(&mut stream, Interest::READABLE | Interest::WRITABLE)?;
        Ok((token, stream))
    }

    /// Waits until something is ready, for `wait` at most, and appends all that is: what is not reported was not there
    /// when this was called.
    ///
    /// # Errors
    /// The poll fails.
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

    /// Polls once. Whether all was reported: a signal, or a process that was stopped and goes on, ends a poll before it
    /// has looked at the sockets, and a full buffer leaves the rest.
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
            ended: e.is_read_closed(),
        }));
        Ok(ready.len() - reported < EVENTS_PER_POLL)
    }

    /// The signals since the last call.
    pub fn take_signals(&mut self) -> Signals {
        let mut bytes = [0; 64];
        while matches!(self.signals.read(&mut bytes), Ok(n) if n > 0) {}
        let take = |flag: &AtomicBool| flag.swap(false, Ordering::SeqCst);
        Signals { shutdown: take(&self.flags.shutdown), reload: take(&self.flags.reload) }
    }
}
