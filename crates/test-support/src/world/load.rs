//! Clients that ask at their own rate, whatever becomes of it, and note each request and its answers.

use super::records::{Answer, Request, INSTANCE_AT};
use super::servers::{kb, Class};
use crate::clients::{Client, Wish};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Requests that may be open on one connection.
const OPEN: usize = 32;
/// Connections of one instance's clients at most; beyond, a request is not sent and not noted.
const CONNECTIONS: usize = 48;
/// Bytes that a request writes.
const WRITES: usize = 200;
/// Between two looks at the connections.
const LOOK: Duration = Duration::from_millis(2);
/// How long after its patience a request's answer is still awaited.
const BEYOND: u64 = 1_000_000;
/// The share of those who stop waiting that close their connection.
const CLOSES: f64 = 0.25;
/// Between two tries to connect to an instance that is not there.
const REDIAL: u64 = 100_000;

/// What clients do besides asking.
#[derive(Clone, Debug)]
pub struct Habits {
    /// They go on asking on open connections, also where the instance has told them to take no new request there.
    pub stays: bool,
    /// The share of requests that they stop waiting for; of these each fourth by closing the connection.
    pub gives_up: f64,
    /// Whether new connections are made.
    pub dials: Arc<AtomicBool>,
}

impl Default for Habits {
    fn default() -> Self {
        Habits { stays: false, gives_up: 0.0, dials: Arc::new(AtomicBool::new(true)) }
    }
}

/// The load on one instance.
#[derive(Clone, Debug)]
pub struct Load {
    /// Which instance.
    pub instance: usize,
    /// Where it takes clients.
    pub address: SocketAddr,
    /// Requests a second, which come by chance.
    pub rate: f64,
    /// What is asked.
    pub mix: Vec<Class>,
    /// Equal seeds ask for the same things.
    pub seed: u64,
    /// For how long.
    pub span: Duration,
    /// See there.
    pub habits: Habits,
}

/// Starts the clients; their thread ends with all requests, by time, once each is answered, lost or waited for too long.
pub fn start(load: Load, began: Instant) -> JoinHandle<Vec<Request>> {
    std::thread::spawn(move || {
        let rng = Pcg32::seed_from_u64(load.seed ^ (load.instance as u64) << 32);
        Clients { load, began, rng, conns: Vec::new(), all: Vec::new(), redial: 0 }.run()
    })
}

struct Conn {
    client: Client,
    /// The request of each stream.
    of: HashMap<u32, usize>,
    /// Until when the answer on a stream is awaited.
    open: HashMap<u32, u64>,
    /// Streams without an answer that were not taken back: the protocol bounds these, awaited or not.
    unanswered: HashSet<u32>,
    /// Streams that nobody waits for from then on, and whether that closes the connection.
    leaves: Vec<(u64, u32, bool)>,
}

impl Conn {
    fn new(client: Client) -> Self {
        let (of, open, unanswered, leaves) = Default::default();
        Conn { client, of, open, unanswered, leaves }
    }
}

struct Clients {
    load: Load,
    began: Instant,
    rng: Pcg32,
    conns: Vec<Conn>,
    all: Vec<Request>,
    redial: u64,
}

impl Clients {
    fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    fn run(mut self) -> Vec<Request> {
        let end = self.now() + self.load.span.as_micros() as u64;
        let mut next = self.now();
        loop {
            let now = self.now();
            while next <= now && next < end {
                self.ask();
                let wait = -(1.0 - self.rng.random::<f64>()).ln() / self.load.rate;
                next += (wait * 1e6) as u64;
            }
            self.hear();
            if now >= end && self.conns.iter().all(|c| c.open.is_empty()) {
                return self.all;
            }
            std::thread::sleep(LOOK);
        }
    }

    fn ask(&mut self) {
        let sum: f64 = self.load.mix.iter().map(|p| p.share).sum();
        let mut at = self.rng.random::<f64>() * sum;
        // Drawn whether it can be sent or not: what is asked later does not depend on it.
        let (rank, part): (f64, f64) = (self.rng.random(), self.rng.random());
        let chosen = self.load.mix.iter().find(|p| {
            at -= p.share;
            at < 0.0
        });
        let Some(of) = chosen.or(self.load.mix.last()).cloned() else { return };
        // By a logarithm of the rank: the wanted share of each object goes as one over its rank.
        let rank = ((of.objects as f64).powf(rank) - 1.0) as u64;
        let key = (of.object(rank), (part * of.parts as f64) as u64);
        let Some(conn) = self.connection() else { return };
        let trace = (self.load.instance as u64) << INSTANCE_AT | (self.load.seed & 0xffff) << 32;
        let trace = trace | (self.all.len() as u64 + 1);
        let body = vec![b'w'; if of.writes { WRITES } else { 0 }];
        let wish = Wish {
            route: &of.name,
            trace,
            object: key.0,
            part: key.1,
            size_kb: kb(key),
            patience_ms: of.patience_ms,
            nonce: "",
            body: &body,
        };
        let conn = &mut self.conns[conn];
        // What could not be written whole was not taken; the connection's end is seen at the next look.
        let Ok(stream) = conn.client.wish(&wish) else { return };
        conn.of.insert(stream, self.all.len());
        let sent = self.began.elapsed().as_micros() as u64;
        conn.open.insert(stream, sent + of.patience_ms * 1000 + BEYOND);
        conn.unanswered.insert(stream);
        let gives_up = self.load.habits.gives_up;
        if gives_up > 0.0 && self.rng.random::<f64>() < gives_up {
            let after = (self.rng.random::<f64>() * (of.patience_ms * 1000) as f64) as u64;
            conn.leaves.push((sent + after, stream, self.rng.random::<f64>() < CLOSES));
        }
        let (class, instance) = (of.name, self.load.instance);
        let (answers, lost, left, closed) = Default::default();
        self.all.push(Request { trace, class, instance, sent, answers, lost, left, closed });
    }

    fn connection(&mut self) -> Option<usize> {
        let stays = self.load.habits.stays;
        let free = self.conns.iter().position(|c| c.unanswered.len() < OPEN && (stays || !c.client.is_left));
        let now = self.now();
        let dials = self.load.habits.dials.load(Ordering::SeqCst);
        if free.is_some() || !dials || self.conns.len() >= CONNECTIONS || now < self.redial {
            return free;
        }
        match Client::connect(self.load.address) {
            Ok(client) => {
                self.conns.push(Conn::new(client));
            }
            Err(_) => {
                self.redial = now + REDIAL;
                return None;
            }
        }
        Some(self.conns.len() - 1)
    }

    fn hear(&mut self) {
        let (began, all, stays) = (self.began, &mut self.all, self.load.habits.stays);
        self.conns.retain_mut(|Conn { client, of, open, unanswered, leaves }| {
            let alive = matches!(client.poll(), Ok(true));
            let now = began.elapsed().as_micros() as u64;
            for heard in &client.heard {
                open.remove(&heard.stream);
                unanswered.remove(&heard.stream);
                // Stream 0 tells of the connection.
                if let Some(&at) = of.get(&heard.stream) {
                    all[at].answers.push(Answer { at: now, code: heard.code, pause_ms: heard.pause_ms });
                }
            }
            client.heard.clear();
            if !alive {
                open.drain().for_each(|(stream, _)| all[of[&stream]].lost = Some(now));
            }
            open.retain(|_, until| now < *until);
            let mut closes = false;
            for (_, stream, ends) in leaves.extract_if(.., |l| l.0 <= now) {
                if alive && open.remove(&stream).is_some() && client.forget(stream).is_ok() {
                    unanswered.remove(&stream);
                    all[of[&stream]].left = Some(began.elapsed().as_micros() as u64);
                    closes |= ends;
                }
            }
            if closes {
                let forgotten = unanswered.iter().filter(|stream| !open.contains_key(stream));
                forgotten.for_each(|stream| all[of[stream]].closed = Some(now));
                open.drain().for_each(|(stream, _)| all[of[&stream]].left = Some(now));
                return false;
            }
            alive && (stays || !(client.is_left && open.is_empty()))
        });
    }
}
