//! The monotonic clock in whole microseconds, and its offset to Unix time.

#[cfg(test)]
mod tests;

use crate::routing::events::Micros;
use crate::timestamps::Timestamps;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Value of the clock at startup. Not 0, so that times before startup can be represented as well.
const START_TIME: Micros = 1_000_000_000_000;

/// The clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_at_start: Micros,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_at_start: unix.as_micros() as Micros }
    }

    /// Returns the current time. Read once in each iteration of the event loop.
    pub fn now(&self) -> Micros {
        START_TIME + self.start.elapsed().as_micros() as Micros
    }

    /// Returns the Unix time of `at` in milliseconds.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        (at + self.unix_at_start).saturating_sub(START_TIME) / 1000
    }

    /// Creates a converter of other machines' Unix timestamps to times of this clock.
    pub fn timestamps(&self) -> Timestamps {
        Timestamps::new(START_TIME, self.unix_at_start)
    }
}
