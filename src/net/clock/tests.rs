//! Tests of the clock, and helpers that shift it for other tests.

use super::*;
use std::time::Duration;

impl Clock {
    /// Advances the clock, so that tests need not wait.
    pub fn skip(&mut self, span: Micros) {
        self.start -= Duration::from_micros(span);
    }

    /// Starts a clock on a machine whose wall clock is off by `milliseconds`.
    pub fn start_off_by(milliseconds: i64) -> Self {
        let correct = Clock::start();
        let unix_at_start = correct.unix_at_start.saturating_add_signed(milliseconds.saturating_mul(1000));
        Clock { unix_at_start, ..correct }
    }
}

#[test]
fn unix_milliseconds_convert_to_clock_times_and_0_means_long_ago() {
    let clock = Clock { start: Instant::now(), unix_at_start: 1_700_000_000_000_000 };
    let mut timestamps = clock.timestamps();
    assert_eq!(timestamps.copy_time(START_TIME + 500_000, 1_700_000_000_250), START_TIME + 250_000);
    assert_eq!(timestamps.copy_time(START_TIME, 1_699_999_999_000), START_TIME - 1_000_000);
    assert_eq!(timestamps.copy_time(START_TIME, 0), 0);
    assert_eq!(clock.unix_ms(START_TIME + 250_000), 1_700_000_000_250);
}
