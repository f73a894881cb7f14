//! A bound on log lines that clients and endpoints can cause at will. The module reads no clock.

#[cfg(test)]
mod tests;

use super::timers::MILLISECOND;
use crate::routing::events::Micros;

/// Time for which lines are counted, in microseconds.
const INTERVAL: Micros = 1_000 * MILLISECOND;
/// Maximum number of lines in that time.
const MAX_LINES: u32 = 10;

/// Bounds on lines by what causes them.
#[derive(Default)]
pub(super) struct LogLimits {
    /// Protocol errors of clients.
    pub(super) client_errors: LogLimit,
    /// Malformed and incomplete responses of upstreams.
    pub(super) upstream_errors: LogLimit,
    /// Failed dials to upstreams.
    pub(super) dial_failures: LogLimit,
    /// Connections of clients that could not be accepted or registered.
    pub(super) accept_failures: LogLimit,
}

/// Bound on the lines of one kind.
#[derive(Default)]
pub(super) struct LogLimit {
    began_at: Micros,
    lines: u32,
    suppressed: u64,
}

impl LogLimit {
    /// Counts a line. Returns the number of lines suppressed since the last one that was logged, or `None` if this one is
    /// to be suppressed as well.
    pub(super) fn admit(&mut self, now: Micros) -> Option<u64> {
        if now.saturating_sub(self.began_at) >= INTERVAL {
            (self.began_at, self.lines) = (now, 0);
        }
        if self.lines >= MAX_LINES {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
