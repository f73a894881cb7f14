//! What something takes: the thread's processor time, and bytes on the heap.

use rustix::time::{clock_gettime, ClockId};
use stats_alloc::INSTRUMENTED_SYSTEM;
use std::sync::OnceLock;

fn now_ns() -> f64 {
    let at = clock_gettime(ClockId::ThreadCPUTime);
    at.tv_sec as f64 * 1e9 + at.tv_nsec as f64
}

/// What reading the clock once takes, in nanoseconds: the middle of many.
fn reading() -> f64 {
    const READS: usize = 2_000;
    let read = |_| {
        let at = now_ns();
        now_ns() - at
    };
    let mut reads: Vec<f64> = (0..READS).map(read).collect();
    reads.sort_by(f64::total_cmp);
    reads[READS / 2]
}

/// Processor time of this thread, over many short spans. What reading the clock takes is measured first and left out.
#[derive(Clone, Debug)]
pub struct Stopwatch {
    reading: f64,
    spent: f64,
    longest: f64,
    count: u64,
}

impl Default for Stopwatch {
    fn default() -> Self {
        Stopwatch::new()
    }
}

impl Stopwatch {
    /// One that has timed nothing yet.
    pub fn new() -> Self {
        static READING: OnceLock<f64> = OnceLock::new();
        Stopwatch { reading: *READING.get_or_init(reading), spent: 0.0, longest: 0.0, count: 0 }
    }

    /// Times one span.
    pub fn time<R>(&mut self, what: impl FnOnce() -> R) -> R {
        let at = now_ns();
        let result = std::hint::black_box(what());
        let took = (now_ns() - at - self.reading).max(0.0);
        self.spent += took;
        self.longest = self.longest.max(took);
        self.count += 1;
        result
    }

    /// All spans together, in microseconds.
    pub fn us(&self) -> f64 {
        self.spent / 1e3
    }

    /// The mean span, in microseconds.
    pub fn us_each(&self) -> f64 {
        self.us() / self.count.max(1) as f64
    }

    /// The longest span, in microseconds.
    pub fn us_longest(&self) -> f64 {
        self.longest / 1e3
    }
}

fn live() -> f64 {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// What something keeps on the heap, in bytes as they were asked for; what the allocator adds is not in it. 0 in a
/// program whose global allocator is not [`stats_alloc::INSTRUMENTED_SYSTEM`]; one thread at a time may measure.
pub fn heap<T>(make: impl FnOnce() -> T) -> f64 {
    let before = live();
    let made = std::hint::black_box(make());
    let kept = (live() - before).max(0.0);
    drop(made);
    kept
}
