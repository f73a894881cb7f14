//! Slopes in one process: each role's real core, fed at growing sizes, its bytes and messages counted and its
//! processor time taken by the thread's own clock.
//!
//! Times hold for one machine and vary from run to run; bytes, messages and bytes on the heap do not.

pub mod copies;
pub mod cost;
pub mod documents;
pub mod follow;
pub mod growth;
pub mod list;
pub mod placement;
pub mod plan;
pub mod purges;
pub mod router;
pub mod sites;
pub mod view;

use crate::capacity::Row;

/// How much is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Effort {
    /// Small sizes only, in seconds.
    pub quick: bool,
}

impl Effort {
    /// The sizes for this effort.
    pub fn sizes<'a>(&self, full: &'a [usize], quick: &'a [usize]) -> &'a [usize] {
        if self.quick {
            quick
        } else {
            full
        }
    }

    /// Whether a figure is taken so often: the middle one of three counts, or the only one.
    pub fn tries(&self) -> usize {
        if self.quick {
            1
        } else {
            3
        }
    }

    /// A measurement at each size: the middle of its tries.
    pub fn points(&self, sizes: &[usize], mut measure: impl FnMut(usize) -> f64) -> Vec<(f64, f64)> {
        let mut one = |size: usize| {
            let mut all: Vec<f64> = (0..self.tries()).map(|_| measure(size)).collect();
            all.sort_by(f64::total_cmp);
            all[all.len() / 2]
        };
        sizes.iter().map(|&size| (size as f64, one(size))).collect()
    }
}

/// One step of a run: its name, and what makes its rows.
pub type Part = (&'static str, fn(Effort) -> Vec<Row>);

/// Processor time, bytes and messages, by role.
pub const TIMES: [Part; 12] = [
    ("view", view::times),
    ("followers in virtual time", follow::times),
    ("list", list::times),
    ("documents", documents::times),
    ("router", router::times),
    ("purges", purges::times),
    ("followers of the purge log", purges::followers),
    ("judge", sites::times),
    ("plan", plan::times),
    ("planner of shards", placement::times),
    ("growth", growth::times),
    ("copies", copies::times),
];

/// Bytes on the heap, by role. They are all 0 in a program without the counting allocator (see [`cost::heap`]).
pub const HEAPS: [Part; 10] = [
    ("view", view::heaps),
    ("list", list::heaps),
    ("documents", documents::heaps),
    ("router", router::heaps),
    ("purges", purges::heaps),
    ("judge", sites::heaps),
    ("plan", plan::heaps),
    ("planner of shards", placement::heaps),
    ("growth", growth::heaps),
    ("copies", copies::heaps),
];
