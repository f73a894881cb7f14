//! Measured request load of shards. Each instance counts the work of its requests in a fixed grid over the hash space
//! of objects and periodically writes it under its own name; the planner adds up the documents of all instances.

#[cfg(test)]
mod tests;

use super::document::{decode, encode, Kind};
use super::error::PlacementError;
use super::position;
use serde::{Deserialize, Serialize};

/// Binary logarithm of the number of grid cells. A shard smaller than a cell gets its proportional part of the cell.
const GRID_BITS: u32 = 10;
/// Age from which a document is ignored as outdated, in milliseconds: two days.
const MAX_AGE_MS: u64 = 2 * 86_400_000;
const KIND: Kind = Kind { tag: b'L', name: "load" };

/// Encoded work by cell, in microseconds of sending per second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct EncodedWork {
    at_ms: u64,
    cells: Vec<f32>,
}

/// Measured load and cached bytes of a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasuredShard {
    /// Start of the shard.
    pub start: u64,
    /// Request load, in microseconds of sending per second.
    pub load: f64,
    /// Cached bytes, in KB.
    pub kb: f64,
}

/// Work by cell: the counts of one instance, or their sum over all instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    cells: Vec<f64>,
    since_ms: Option<u64>,
}

impl Default for Work {
    fn default() -> Self {
        Work { cells: vec![0.0; 1 << GRID_BITS], since_ms: None }
    }
}

impl Work {
    /// Returns the key prefix of a zone's documents.
    pub fn key_prefix(zone: &str) -> String {
        format!("load/{zone}/")
    }

    /// Returns the key of one instance's document.
    pub fn key(zone: &str, member: &str) -> String {
        format!("{}{member}", Work::key_prefix(zone))
    }

    /// Counts a request for an object; `work_us` is the time that sending the response takes, in microseconds.
    pub fn add(&mut self, object: u64, work_us: f64) {
        if let Some(cell) = self.cells.get_mut((position(object) >> (64 - GRID_BITS)) as usize) {
            *cell += work_us.max(0.0);
        }
    }

    /// Returns the counts since the last call as a document, and resets them.
    pub fn close(&mut self, now_ms: u64) -> Vec<u8> {
        let span_s = now_ms.saturating_sub(self.since_ms.replace(now_ms).unwrap_or(0)).max(1) as f64 / 1e3;
        let cells = self.cells.iter().map(|c| (c / span_s) as f32).collect();
        self.cells.fill(0.0);
        encode(KIND, &EncodedWork { at_ms: now_ms, cells })
    }

    /// Adds up documents, without unreadable and outdated ones.
    pub fn merged<'a>(documents: impl Iterator<Item = &'a [u8]>, now_ms: u64) -> Work {
        let mut merged = Work::default();
        for bytes in documents {
            let decoded: Result<EncodedWork, PlacementError> = decode(KIND, bytes);
            let Ok(written) = decoded else { continue };
            if written.at_ms.saturating_add(MAX_AGE_MS) > now_ms && written.cells.len() == merged.cells.len()
            {
                let sanitize = |c: &f32| f64::from(if c.is_finite() { c.max(0.0) } else { 0.0 });
                merged.cells.iter_mut().zip(&written.cells).for_each(|(s, c)| *s += sanitize(c));
            }
        }
        merged
    }

    /// Returns the work of the shard from `start` through `last`.
    pub fn in_range(&self, start: u64, last: u64) -> f64 {
        let (width, end) = (1u128 << (64 - GRID_BITS), u128::from(last) + 1);
        let (first_cell, last_cell) =
            ((start >> (64 - GRID_BITS)) as usize, (last >> (64 - GRID_BITS)) as usize);
        let cell_part = |n: usize| {
            let cell_start = n as u128 * width;
            let inside = (cell_start + width).min(end).saturating_sub(cell_start.max(u128::from(start)));
            self.cells.get(n).copied().unwrap_or(0.0) * (inside as f64 / width as f64)
        };
        (first_cell..=last_cell.max(first_cell)).map(cell_part).sum()
    }
}
