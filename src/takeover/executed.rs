//! Requests that may have run at one process of an instance, told to the other, and the lines that tell of them.

use super::MAX_LINE_BYTES;
use crate::routing::deduplication::{FirstExecution, Location};
use crate::routing::events::Micros;
use serde::{Deserialize, Serialize};

/// Place of an endpoint: its zone and its cell.
type StoredLocation = (usize, u32);

/// A request that may have run, with its first attempt that may have.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ExecutedRequest {
    /// The number that the request's id stands for.
    pub id: u64,
    /// Time since the attempt was sent, in microseconds.
    pub sent_for: Micros,
    target: StoredLocation,
    source: Option<StoredLocation>,
}

impl ExecutedRequest {
    /// Describes the first execution of a request as of `now`.
    pub fn new(now: Micros, id: u64, first: &FirstExecution) -> Self {
        let stored = |location: Location| (location.zone, location.cell);
        ExecutedRequest {
            id,
            sent_for: now.saturating_sub(first.sent_at),
            target: stored(first.target),
            source: first.source.map(stored),
        }
    }

    /// Returns the first execution on the clock of a process that is told of it at `now`.
    pub fn first_execution(&self, now: Micros) -> FirstExecution {
        let location = |(zone, cell)| Location { zone, cell };
        FirstExecution {
            sent_at: now.saturating_sub(self.sent_for),
            target: location(self.target),
            source: self.source.map(location),
        }
    }
}

/// Bytes received on a connection, split into lines.
#[derive(Debug, Default)]
pub struct Lines {
    received: Vec<u8>,
}

impl Lines {
    /// Adds received bytes and returns the complete lines. What exceeds the length of a line without its end is dropped.
    pub fn add(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        self.received.extend_from_slice(bytes);
        let Some(end) = self.received.iter().rposition(|&byte| byte == b'\n') else {
            if self.received.len() > MAX_LINE_BYTES {
                self.received.clear();
            }
            return Vec::new();
        };
        let rest = self.received.split_off(end + 1);
        let complete = std::mem::replace(&mut self.received, rest);
        complete.split_inclusive(|&byte| byte == b'\n').map(<[u8]>::to_vec).collect()
    }
}
