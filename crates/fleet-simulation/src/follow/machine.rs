//! One control machine: its connections, how far it has applied, and reads that wait.

use crate::queue::Micros;
use larchdale::registry::messages::RangeRequest;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A read: its connection, its call, and what it asks for.
pub type Read = (u64, u64, RangeRequest);

/// The machine's end of a connection.
pub struct Link {
    pub instance: usize,
    /// When the last that was sent comes: order is kept.
    pub last: Micros,
    pub broken: bool,
    /// The call of its watch, and the first revision that it lacks.
    pub watch: Option<(u64, i64)>,
}

/// What happened in one second.
#[derive(Clone, Copy, Default)]
pub struct Load {
    pub calls: u64,
    pub in_bytes: u64,
    pub out: u64,
    pub out_bytes: u64,
}

/// An answer that is the same for all until the next change.
type Kept = Option<(i64, Rc<[u8]>)>;

pub struct Machine {
    pub applied: i64,
    pub last_apply: Micros,
    pub links: BTreeMap<u64, Link>,
    /// Goes up when it stops: what was under way within it is void then.
    pub life: u32,
    /// Reads that wait for the next question to the leader: as many as there are connections, each has one or two.
    pub pending: Vec<Read>,
    /// Those that the question under way is for.
    pub reading: Option<Vec<Read>>,
    /// Those that wait until this is applied.
    waiting: Vec<(i64, Vec<Read>)>,
    /// By second of the measured time.
    pub loads: Vec<Load>,
    pub most_links: u64,
    count: Kept,
    progress: Kept,
}

impl Machine {
    pub fn new(applied: i64, seconds: usize) -> Self {
        Machine {
            applied,
            last_apply: 0,
            links: BTreeMap::new(),
            life: 0,
            pending: Vec::new(),
            reading: None,
            waiting: Vec::new(),
            loads: vec![Load::default(); seconds],
            most_links: 0,
            count: None,
            progress: None,
        }
    }

    /// It stops; what it has applied stays.
    pub fn end(&mut self) {
        self.links.clear();
        self.pending.clear();
        self.reading = None;
        self.waiting.clear();
        self.life += 1;
    }

    pub fn accept(&mut self, id: u64, instance: usize) {
        self.links.insert(id, Link { instance, last: 0, broken: false, watch: None });
        self.most_links = self.most_links.max(self.links.len() as u64);
    }

    /// All reads that wait are under way now; which life of the machine that is.
    pub fn begin_read(&mut self) -> u32 {
        self.reading = Some(std::mem::take(&mut self.pending));
        self.life
    }

    /// The question got no answer.
    pub fn take_back(&mut self) {
        if let Some(mut reads) = self.reading.take() {
            reads.append(&mut self.pending);
            self.pending = reads;
        }
    }

    /// The question was answered: its reads wait until this is applied.
    pub fn wait_for(&mut self, index: i64) {
        if let Some(reads) = self.reading.take() {
            self.waiting.push((index, reads));
        }
    }

    /// Reads that can be answered now.
    pub fn ready(&mut self) -> Vec<Read> {
        let applied = self.applied;
        let mut ready = Vec::new();
        self.waiting.retain_mut(|(index, reads)| {
            let now = *index <= applied;
            if now {
                ready.append(reads);
            }
            !now
        });
        ready
    }

    pub fn count(&mut self, make: impl FnOnce() -> Rc<[u8]>) -> Rc<[u8]> {
        kept(&mut self.count, self.applied, make)
    }

    pub fn progress(&mut self, make: impl FnOnce() -> Rc<[u8]>) -> Rc<[u8]> {
        kept(&mut self.progress, self.applied, make)
    }

    /// Something was sent to it, in a second of the measured time.
    pub fn heard(&mut self, second: Option<usize>, bytes: u64) {
        if let Some(load) = second.and_then(|s| self.loads.get_mut(s)) {
            load.calls += 1;
            load.in_bytes += bytes;
        }
    }

    /// It sent something.
    pub fn told(&mut self, second: Option<usize>, bytes: u64) {
        if let Some(load) = second.and_then(|s| self.loads.get_mut(s)) {
            load.out += 1;
            load.out_bytes += bytes;
        }
    }
}

fn kept(kept: &mut Kept, applied: i64, make: impl FnOnce() -> Rc<[u8]>) -> Rc<[u8]> {
    match kept {
        Some((of, bytes)) if *of == applied => bytes.clone(),
        _ => {
            let bytes = make();
            *kept = Some((applied, bytes.clone()));
            bytes
        }
    }
}
