//! What is to happen, in the order of time: a binary heap of (time, number), with timers that can be set anew.
//!
//! Setting a timer costs O(log n): its former entry stays in the heap, marked by an older generation, and is passed
//! over when it comes up. Where such entries are more than half of the heap it is built anew, so that it holds at
//! most twice what is due. What is due at one moment comes in the order in which it was set.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Microseconds of virtual time.
pub type Micros = u64;

/// Entries that are never cleared for: too few to matter.
const SMALL: usize = 1_024;

/// What has come due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Due<E> {
    /// A timer, by its number; it is not set any more.
    Timer(usize),
    /// An event that was put in.
    Event(E),
}

#[derive(Clone, Debug)]
enum Entry<E> {
    Timer(usize, u32),
    Event(E),
}

#[derive(Clone, Debug)]
struct Item<E> {
    at: Micros,
    number: u64,
    entry: Entry<E>,
}

impl<E> PartialEq for Item<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<E> Eq for Item<E> {}

impl<E> PartialOrd for Item<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Item<E> {
    /// Turned round: the heap's largest is the earliest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Timer {
    generation: u32,
    /// When it is due, if it is set.
    at: Option<Micros>,
}

/// See the module.
#[derive(Clone, Debug)]
pub struct Queue<E> {
    now: Micros,
    number: u64,
    heap: BinaryHeap<Item<E>>,
    timers: Vec<Timer>,
    /// Entries of the heap whose timer was set anew since.
    stale: usize,
}

impl<E> Queue<E> {
    /// An empty one with so many timers, none of them set.
    pub fn new(timers: usize, now: Micros) -> Self {
        Queue { now, number: 0, heap: BinaryHeap::new(), timers: vec![Timer::default(); timers], stale: 0 }
    }

    /// The time of what came last.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// How many entries are held, those to be passed over among them.
    pub fn held(&self) -> usize {
        self.heap.len()
    }

    /// How many are due at some time.
    pub fn due(&self) -> usize {
        self.heap.len() - self.stale
    }

    fn put(&mut self, at: Micros, entry: Entry<E>) {
        self.number += 1;
        self.heap.push(Item { at: at.max(self.now), number: self.number, entry });
    }

    /// Puts an event in; one in the past is due now.
    pub fn push(&mut self, at: Micros, event: E) {
        self.put(at, Entry::Event(event));
    }

    /// Sets a timer, also one that was set for another time. `Micros::MAX` is never. A number that no timer has does
    /// nothing.
    pub fn set(&mut self, timer: usize, at: Micros) {
        let wanted = (at < Micros::MAX).then_some(at.max(self.now));
        let Some(t) = self.timers.get_mut(timer) else { return };
        if t.at == wanted {
            return;
        }
        self.stale += usize::from(t.at.is_some());
        t.generation = t.generation.wrapping_add(1);
        t.at = wanted;
        let generation = t.generation;
        if let Some(at) = wanted {
            self.put(at, Entry::Timer(timer, generation));
        }
        if self.heap.len() > SMALL && self.stale > self.heap.len() / 2 {
            let timers = &self.timers;
            self.heap.retain(|i| match i.entry {
                Entry::Timer(timer, generation) => timers[timer].generation == generation,
                Entry::Event(_) => true,
            });
            self.stale = 0;
        }
    }

    /// Takes a timer back.
    pub fn unset(&mut self, timer: usize) {
        self.set(timer, Micros::MAX);
    }

    /// The next that is due at `until` at the latest.
    pub fn pop(&mut self, until: Micros) -> Option<Due<E>> {
        while self.heap.peek().is_some_and(|i| i.at <= until) {
            let Item { at, entry, .. } = self.heap.pop()?;
            match entry {
                Entry::Event(event) => {
                    self.now = at;
                    return Some(Due::Event(event));
                }
                Entry::Timer(timer, generation) if self.timers[timer].generation == generation => {
                    self.now = at;
                    self.timers[timer].at = None;
                    return Some(Due::Timer(timer));
                }
                Entry::Timer(..) => self.stale -= 1,
            }
        }
        None
    }
}
