//! Hollow instances: real drivers on one loop, each with a connection of its own.

use super::{io, LoopbackError, PREFIX};
use larchdale::config::product::RegistrySettings as ListSettings;
use larchdale::net::clock::Clock;
use larchdale::net::event_loop::{EventLoop, Ready, Timers};
use larchdale::registry::documents::driver::DocumentsDriver;
use larchdale::registry::driver::Driver as ListDriver;
use larchdale::registry::record::Names;
use larchdale::routing::events::Micros;
use mio::Token;
use slog::{o, Discard, Logger};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Updates of a list that are taken at a time.
const UPDATES: usize = 512;
/// How long a planner stays one; nobody here becomes one while another holds the key.
const LEASE: Micros = 10_000_000;
/// Descriptors for all that is no connection.
const RESERVED: u64 = 64;

/// A driver as the loop sees it.
enum Driver {
    Documents(Box<DocumentsDriver>),
    List(Box<ListDriver>),
}

impl Driver {
    fn token(&self) -> Option<Token> {
        match self {
            Driver::Documents(d) => d.token(),
            Driver::List(d) => d.token(),
        }
    }

    fn next(&self) -> Micros {
        match self {
            Driver::Documents(d) => d.next_due(),
            Driver::List(d) => d.next_due(),
        }
    }

    fn wants_turn(&self) -> bool {
        match self {
            Driver::Documents(d) => d.wants_turn(),
            Driver::List(d) => d.wants_turn(),
        }
    }

    fn ready(&mut self, event: Ready) {
        match self {
            Driver::Documents(d) => d.ready(event),
            Driver::List(d) => d.ready(event),
        }
    }

    /// One turn; how many changes were taken.
    fn turn(&mut self, now: Micros, event_loop: &mut EventLoop) -> u64 {
        match self {
            Driver::Documents(d) => {
                d.turn(now, event_loop);
                d.take_outcomes();
                d.take_changes().keys.len() as u64
            }
            Driver::List(d) => {
                d.turn(now, event_loop);
                d.take_updates(UPDATES).count() as u64
            }
        }
    }

    fn follows(&self) -> bool {
        match self {
            Driver::Documents(d) => d.revision() > 0,
            Driver::List(d) => d.session().is_watching() && !d.session().has_updates(),
        }
    }
}

/// What a hollow instance follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Documents below the fleet's prefix, with a claim for the planner's key that waits.
    Documents,
    /// The list of endpoints.
    List,
}

/// Many hollow instances.
pub struct Hollows {
    drivers: Vec<Driver>,
    clock: Clock,
    event_loop: EventLoop,
    timers: Timers<usize>,
    /// For when each has a timer; later ones in the queue mean nothing any more.
    due: Vec<Micros>,
    tokens: HashMap<Token, usize>,
    ready: Vec<Ready>,
    /// Changes that all together have taken.
    pub changes: u64,
}

impl Hollows {
    /// So many, each with the address of its registry, which is in this process too.
    ///
    /// # Errors
    /// More descriptors than the process may have.
    pub fn new(
        kind: Kind,
        many: usize,
        registry: impl Fn(usize) -> SocketAddr,
    ) -> Result<Self, LoopbackError> {
        let me = procfs::process::Process::myself().and_then(|p| p.limits());
        let most = match me.map(|l| l.max_open_files.soft_limit) {
            Ok(procfs::process::LimitValue::Value(most)) => most,
            _ => u64::MAX,
        };
        // One here, and one at the stand-in, which is in the same process.
        let wanted = 2 * many as u64 + RESERVED;
        if wanted > most {
            return Err(LoopbackError::Descriptors { wanted, most });
        }
        let event_loop = EventLoop::new().map_err(io("loop"))?;
        let (clock, log) = (Clock::start(), Logger::root(Discard, o!()));
        let now = clock.now();
        let driver = |n: usize| {
            let endpoints = vec![registry(n)];
            let seed = n as u64 + 1;
            match kind {
                Kind::Documents => {
                    let name = format!("hollow-{n}");
                    let mut driver =
                        DocumentsDriver::new(endpoints, PREFIX, LEASE, &name, seed, now, log.clone());
                    driver.set_campaigning(true);
                    Driver::Documents(Box::new(driver))
                }
                Kind::List => {
                    let names = Names {
                        kinds: ["small-box", "parent", "origin"].map(str::to_owned).to_vec(),
                        zones: ["hub", "branch"].map(str::to_owned).to_vec(),
                    };
                    let settings = ListSettings::new(endpoints, PREFIX);
                    Driver::List(Box::new(ListDriver::new(settings, names, seed, now, log.clone())))
                }
            }
        };
        let drivers: Vec<Driver> = (0..many).map(driver).collect();
        let mut hollows = Hollows {
            due: vec![Micros::MAX; many],
            drivers,
            clock,
            event_loop,
            timers: Timers::default(),
            tokens: HashMap::new(),
            ready: Vec::new(),
            changes: 0,
        };
        (0..many).for_each(|n| hollows.set(n, now));
        Ok(hollows)
    }

    fn set(&mut self, n: usize, at: Micros) {
        self.due[n] = at;
        if at < Micros::MAX {
            self.timers.set(at, n);
        }
    }

    fn turn(&mut self, n: usize, now: Micros) {
        let driver = &mut self.drivers[n];
        let old = driver.token();
        self.changes += driver.turn(now, &mut self.event_loop);
        let token = driver.token();
        if old != token {
            old.map(|t| self.tokens.remove(&t));
            token.map(|t| self.tokens.insert(t, n));
        }
        let next = if driver.wants_turn() { now } else { driver.next().max(now + 1) };
        if next != self.due[n] {
            self.set(n, next);
        }
    }

    /// Runs until a moment.
    ///
    /// # Errors
    /// The poll fails.
    pub fn run(&mut self, until: Instant) -> Result<(), LoopbackError> {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            let now = self.clock.now();
            let next = self.timers.next_due().map_or(left, |t| Duration::from_micros(t.saturating_sub(now)));
            let mut ready = std::mem::take(&mut self.ready);
            self.event_loop.wait(next.min(left), &mut ready).map_err(io("poll"))?;
            let now = self.clock.now();
            for event in ready.drain(..) {
                if let Some(&n) = self.tokens.get(&event.token) {
                    self.drivers[n].ready(event);
                    self.turn(n, now);
                }
            }
            self.ready = ready;
            // Those that were set meanwhile have the next round.
            let mut turns = Vec::new();
            while let Some((at, n)) = self.timers.pop_due(now) {
                if self.due[n] == at {
                    self.due[n] = Micros::MAX;
                    turns.push(n);
                }
            }
            turns.into_iter().for_each(|n| self.turn(n, now));
        }
    }

    /// How many follow the registry.
    pub fn following(&self) -> usize {
        self.drivers.iter().filter(|d| d.follows()).count()
    }

    /// Runs until all follow.
    ///
    /// # Errors
    /// Not all do in time.
    pub fn follow(&mut self, within: Duration) -> Result<(), LoopbackError> {
        let until = Instant::now() + within;
        while self.following() < self.drivers.len() {
            if Instant::now() >= until {
                let (follow, all) = (self.following(), self.drivers.len());
                return Err(LoopbackError::Follow { follow, all, within });
            }
            self.run(Instant::now() + Duration::from_millis(50))?;
        }
        Ok(())
    }
}
