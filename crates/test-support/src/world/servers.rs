//! All servers of a world behind the instances: boxes, parents and the archive, in one thread.

use super::engine::{Engine, State};
use super::records::Notes;
use mio::{Events, Poll};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Longest wait of the thread: so soon it sees that it is over.
const LOOK: Duration = Duration::from_millis(20);

/// What a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A cache of a location.
    Box,
    /// A cache between locations and the archive.
    Parent,
    /// The origin.
    Archive,
}

/// One server.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Its id, as in `s-0000000a`.
    pub id: String,
    /// Its zone by number.
    pub zone: usize,
    /// What it is.
    pub kind: Kind,
    /// Transfers at full pace that it serves at once.
    pub capacity: f64,
    /// Copies that it keeps.
    pub keeps: usize,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// How old a copy may be unless the request says so, in milliseconds; 0: any age.
    pub fresh_ms: u64,
    /// How much older one may be at worst.
    pub grace_ms: u64,
    /// It writes: nothing keeps it, it runs at the archive, and never twice.
    pub writes: bool,
    /// How long its clients wait, in milliseconds.
    pub patience_ms: u64,
    /// What one request served is worth.
    pub worth: f64,
    /// Its share of all requests, over the sum of these.
    pub share: f64,
    /// Objects that there are.
    pub objects: u64,
    /// Parts of an object.
    pub parts: u64,
}

impl Class {
    /// An object by its rank: the first are wanted most.
    pub fn object(&self, rank: u64) -> u64 {
        let class = self.name.bytes().fold(7u64, |n, b| n.wrapping_mul(31) ^ u64::from(b));
        let mixed = (rank + 1 + (class << 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
    }

    /// All objects and parts that can be kept.
    pub fn keys(&self) -> Vec<Key> {
        let parts = |o| (0..self.parts).map(move |p| (self.object(o), p));
        (0..self.objects).filter(|_| !self.writes).flat_map(parts).collect()
    }
}

/// What holds for all servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// KB a second of one transfer.
    pub pace: f64,
    /// The classes.
    pub classes: Vec<Class>,
    /// What a server that has just started can do, as a share.
    pub cold: f64,
    /// Microseconds until it can do all.
    pub ramp: u64,
    /// Work of a window over this many times what it can do makes it fall over.
    pub multiple: f64,
    /// The window, in microseconds.
    pub window: u64,
}

/// An object and a part of it.
pub type Key = (u64, u64);

/// KB of a part of an object: 20 to 99, by its name.
pub fn kb(key: Key) -> f64 {
    let mixed = (key.0 ^ key.1.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    20.0 + ((mixed >> 40) % 80) as f64
}

/// The servers, while they run.
pub struct Servers {
    /// What each is, by number.
    pub specs: Vec<Spec>,
    /// Where each listens.
    pub addresses: Vec<SocketAddr>,
    /// When this world began: times count from here.
    pub began: Instant,
    engine: Arc<Mutex<Engine>>,
    thread: Option<JoinHandle<()>>,
}

impl Servers {
    /// Starts them at addresses of their own.
    pub fn start(specs: Vec<Spec>, figures: Figures) -> io::Result<Self> {
        let (poll, began) = (Poll::new()?, Instant::now());
        let addresses: Vec<SocketAddr> = specs.iter().map(|_| crate::processes::free(9101)).collect();
        let all = specs.iter().cloned().zip(addresses.iter().copied()).collect();
        let engine = Arc::new(Mutex::new(Engine::new(poll.registry().try_clone()?, figures, all, began)?));
        let turned = engine.clone();
        let thread = Some(std::thread::spawn(move || run(poll, &turned)));
        Ok(Servers { specs, addresses, began, engine, thread })
    }

    fn engine(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The process dies: its connections end and nobody listens.
    pub fn kill(&self, server: usize) {
        self.engine().end(server, State::Down);
    }

    /// It takes connections and requests and says nothing any more.
    pub fn silence(&self, server: usize) {
        self.engine().silence(server);
    }

    /// A new process in its place, empty and cold.
    pub fn revive(&self, server: usize) -> io::Result<()> {
        self.engine().revive(server)
    }

    /// It takes so many times as long.
    pub fn slow(&self, server: usize, times: f64) {
        self.engine().slow(server, times);
    }

    /// It has copies of these from now on.
    pub fn hold(&self, server: usize, keys: &[Key]) {
        self.engine().hold(server, keys);
    }

    /// Fills do not come from the second zone of a pair to the first.
    pub fn cut(&self, pairs: &[(usize, usize)]) {
        self.engine().cut = pairs.iter().copied().collect();
    }

    /// The numbers of a zone's servers of a kind.
    pub fn of(&self, zone: usize, kind: Kind) -> Vec<usize> {
        let fits = |s: &Spec| s.zone == zone && s.kind == kind;
        (0..self.specs.len()).filter(|&s| fits(&self.specs[s])).collect()
    }

    /// Microseconds since the beginning.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    /// What was noted so far.
    pub fn notes(&self) -> Notes {
        self.engine().notes.clone()
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        self.engine().over = true;
        self.thread.take().map(JoinHandle::join);
    }
}

fn run(mut poll: Poll, engine: &Mutex<Engine>) {
    let (mut events, mut wait) = (Events::with_capacity(256), LOOK);
    loop {
        // A signal may end the wait early, which does no harm.
        let _ = poll.poll(&mut events, Some(wait.min(LOOK)));
        let mut engine = engine.lock().unwrap_or_else(PoisonError::into_inner);
        if engine.over {
            return;
        }
        events.iter().for_each(|e| engine.ready(e.token()));
        wait = engine.pass_time();
    }
}
