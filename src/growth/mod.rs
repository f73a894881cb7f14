//! What each shard newly wants, its forecast, and splits ahead of time. Cores without input, output or clock; the
//! driver is `net/doorman/fleet.rs`.

use crate::interface::Time;

/// What `growth(...)` of the product's script sets. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// One bucket of what was newly wanted lasts so long.
    pub bucket: Time,
    /// Buckets that are kept and forecast from.
    pub buckets: usize,
    /// Kilobytes that a box of weight 1 keeps; with untold weights, any box.
    pub box_kb: f64,
    /// Part of a box's kept bytes that one shard may grow to before it has to be split, 0 to 1.
    pub split: f64,
    /// Two neighbours of one home that together stay below this part are merged again, 0 to 1.
    pub merge: f64,
    /// Buckets ahead that are forecast.
    pub ahead: usize,
    /// How sure the forecast's interval is, 0 to 1.
    pub level: f64,
    /// Buckets that wait in memory while the registry is away; beyond, the oldest are merged.
    pub waiting: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            bucket: 3_600_000_000,
            buckets: 24 * 7 * 6,
            box_kb: 200e6,
            split: 0.25,
            merge: 0.05,
            ahead: 24 * 7 * 4,
            level: 0.9,
            waiting: 48,
        }
    }
}
