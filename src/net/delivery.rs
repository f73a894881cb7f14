//! Delivery of the bytes written to a connection, judged by what the peer's machine has acknowledged.
//!
//! Written bytes may lie in this system's send buffer for seconds when the peer reads slowly. Closing a socket with unread
//! input discards them, so only acknowledged bytes count as delivered. The module does no I/O and reads no clock; its
//! owner is [`super::connection::Connection`].

#[cfg(test)]
mod tests;

use crate::routing::events::Micros;

/// Numbers of written and acknowledged bytes of one connection, and the time of the last progress.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    written: u64,
    acknowledged: u64,
    last_progress: Micros,
}

impl Delivery {
    /// Starts with nothing written.
    pub fn new(now: Micros) -> Self {
        Delivery { written: 0, acknowledged: 0, last_progress: now }
    }

    /// Returns the number of bytes written to the transport.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Returns the number of written bytes that are not known to be acknowledged.
    pub fn unacknowledged(&self) -> u64 {
        self.written - self.acknowledged
    }

    /// Returns the time at which bytes were last known to be acknowledged, or were written when none were outstanding.
    pub fn last_progress(&self) -> Micros {
        self.last_progress
    }

    /// Records that bytes are to be written. The peer has nothing to acknowledge before, so the wait begins now.
    pub fn begin_write(&mut self, now: Micros) {
        if self.unacknowledged() == 0 {
            self.last_progress = now;
        }
    }

    /// Records that `count` more bytes were written.
    pub fn record_written(&mut self, count: usize) {
        self.written += count as u64;
    }

    /// Records the total number of bytes that the peer's machine has acknowledged.
    pub fn record_acknowledged(&mut self, now: Micros, total: u64) {
        let total = total.min(self.written);
        if total > self.acknowledged {
            self.acknowledged = total;
            self.last_progress = now;
        }
    }

    /// Records an event after which the peer gets its full time again, such as the end of the stream.
    pub fn restart_wait(&mut self, now: Micros) {
        self.last_progress = now;
    }
}
