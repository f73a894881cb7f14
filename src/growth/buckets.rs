//! Distinct newly requested objects, by time bucket and position in the hash space of objects: the counts of one
//! instance, the documents that it writes to the registry, and their union at the planner.
//!
//! Counts are not kept by shard, because shards are split and merged. The hash space is a fixed grid of [`CELLS`]
//! cells, and a shard's count is the sum of the cells that it covers, each by the covered fraction. Objects are spread
//! evenly within a cell because positions are hashed, so a few cells with many registers estimate a shard better than
//! its own few objects would. The parts of a split shard have a history at once, and so has a merged shard.
//!
//! A cell has [`REGISTERS`] registers. Each holds the object with the smallest hash assigned to it (order statistics,
//! Lumbroso 2010), with the object's size and whether it was written. Because only this one object counts, repeated
//! requests change nothing, and the registers' objects are an unbiased sample of all distinct ones, from which the mean
//! size is computed. Registers are merged by maximum, so that repeated, late and merged buckets and restarts are not
//! counted twice. The standard error of one cell is 1 / sqrt(4,096), [`STANDARD_ERROR`]. A `hyperloglogplus` sketch
//! with separate sums was ruled out, because sums can't be merged by maximum.
//!
//! Memory does not depend on the number of shards: an instance uses 512 KB and at most [`MAX_WAITING_BYTES`] for closed
//! buckets. For each register, the planner keeps only the buckets in which it increased, about the logarithm of the
//! number of objects, in total 10 to 30 MB per zone.

use super::{decode_document, encode_document, GrowthError, Settings};
use crate::routing::events::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

const CELL_BITS: u32 = 5;
const REGISTER_BITS: u32 = 12;
/// Standard error of a cell's count, as a fraction of the count.
pub const STANDARD_ERROR: f64 = 1.0 / (1 << (REGISTER_BITS / 2)) as f64;
/// Number of cells of the hash space. Part of the documents' format.
pub const CELLS: usize = 1 << CELL_BITS;
/// Number of registers of one cell. Part of the documents' format.
pub const REGISTERS: usize = 1 << REGISTER_BITS;
const TOTAL_REGISTERS: usize = CELLS * REGISTERS;
/// Maximum length of a member name in a document, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum memory of closed buckets that wait to be written, in bytes; beyond it, the oldest are merged.
pub const MAX_WAITING_BYTES: usize = 16 << 20;
/// Member name of the base document, in which the planner keeps the buckets that are no longer part of the history.
const BASE_MEMBER: &str = "~base";

/// Returns a register: the rank of the hash (6 bits), its next 11 bits inverted, the logarithm of the size (14 bits),
/// and whether the object was written (1 bit). The smallest hash gives the largest register; 0 is an empty register.
fn register(hash: u64, kb: f64, write: bool) -> u32 {
    let hash = hash | 1 << (CELL_BITS + REGISTER_BITS - 1);
    let leading_zeros = hash.leading_zeros();
    let next = ((hash << leading_zeros << 1) >> 53) as u32;
    let size = ((kb.max(0.0).log2() + 16.0) * 256.0).clamp(1.0, 16_383.0) as u32;
    leading_zeros << 26 | (2_047 - next) << 15 | size << 1 | u32::from(write)
}

/// Returns the hash of a non-empty register, as a fraction of the range of hashes, 0 to 1.
fn hash_fraction(register: u32) -> f64 {
    let next = 2_047 - (register >> 15 & 2_047);
    (-1.0 - f64::from(register >> 26)).exp2() * (1.0 + (f64::from(next) + 0.5) / 2_048.0)
}

/// Returns the object size of a non-empty register, in kilobytes.
fn size_kb(register: u32) -> f64 {
    (f64::from(register >> 1 & 16_383) / 256.0 - 16.0).exp2()
}

/// Estimates the distinct objects of a cell of whose registers `non_empty` are not empty; `sum` is the sum of the
/// smallest hashes, in which an empty register counts 1. One formula covers small and large counts, so that a series
/// has no step where two estimators would meet.
fn estimate_distinct(non_empty: f64, sum: f64) -> f64 {
    let bias_correction = 1.0 - 1.0 / REGISTERS as f64;
    REGISTERS as f64 * non_empty * bias_correction / sum.max(1e-12)
}

/// The counts of one instance in one bucket, as written to the registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Name of the instance.
    pub member: String,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Number of the bucket; of several merged buckets, the last.
    pub bucket: u64,
    /// Non-empty registers: the distance from the previous one, and the value.
    registers: Vec<(u32, u32)>,
}

impl Document {
    fn new(
        member: &str,
        incarnation: u64,
        bucket: u64,
        registers: impl Iterator<Item = (usize, u32)>,
    ) -> Self {
        let mut last = 0;
        let after = |(at, value): (usize, u32)| {
            let gap = at - last;
            last = at;
            (gap as u32, value)
        };
        let registers = registers.filter(|r| r.1 > 0).map(after).collect();
        Document { member: member.to_owned(), incarnation, bucket, registers }
    }

    fn each(&self) -> impl Iterator<Item = (usize, u32)> + '_ {
        self.registers.iter().scan(0usize, |at, &(gap, value)| {
            *at = at.saturating_add(gap as usize);
            Some((*at, value))
        })
    }

    /// Returns the document's key below the fleet's prefix.
    pub fn key(&self, zone: &str) -> String {
        format!("growth/{zone}/{}/{}-{}", self.bucket, self.member, self.incarnation)
    }

    /// Encodes the document as a registry value of at most 1 MB.
    pub fn encode(&self) -> Vec<u8> {
        encode_document(self)
    }

    /// Decodes a registry value.
    ///
    /// # Errors
    /// The bytes are not the output of [`Document::encode`] of this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, GrowthError> {
        let document: Document = decode_document(bytes, "a growth bucket")?;
        let mut before = None;
        let is_ascending = document.each().all(|(at, value)| {
            let after = before.is_none_or(|b| at > b);
            before = Some(at);
            after && at < TOTAL_REGISTERS && value > 0
        });
        if document.member.len() > MAX_NAME_BYTES || !is_ascending {
            return Err(GrowthError::Malformed { what: "a growth bucket" });
        }
        Ok(document)
    }

    fn merge_older(&mut self, older: &Document) {
        let mut all = vec![0u32; TOTAL_REGISTERS];
        for (at, value) in self.each().chain(older.each()) {
            all[at] = all[at].max(value);
        }
        *self = Document::new(&self.member, self.incarnation, self.bucket, all.into_iter().enumerate());
    }

    fn size(&self) -> usize {
        self.registers.len() * size_of::<(u32, u32)>()
    }
}

/// Returns the number of the bucket of a time; `bucket` is the duration of one bucket, in microseconds.
pub fn bucket_of(now_unix_ms: u64, bucket: Micros) -> u64 {
    (u128::from(now_unix_ms) * 1_000 / u128::from(bucket.max(1))).min(u128::from(u64::MAX)) as u64
}

/// One instance's count of newly requested objects.
#[derive(Clone, Debug)]
pub struct GrowthCounter {
    settings: Settings,
    zone: String,
    member: String,
    incarnation: u64,
    /// The open bucket; `None` before the first call of [`GrowthCounter::close`].
    bucket: Option<u64>,
    registers: Vec<u32>,
    waiting: VecDeque<Document>,
}

impl GrowthCounter {
    /// Returns the counter of an instance of a zone, with its name (truncated to 16 characters, at most 64 bytes) and
    /// incarnation.
    pub fn new(settings: Settings, zone: &str, member: &str, incarnation: u64) -> Self {
        let (zone, member) = (zone.to_owned(), member.chars().take(MAX_NAME_BYTES / 4).collect());
        let (registers, waiting) = (vec![0; TOTAL_REGISTERS], VecDeque::new());
        GrowthCounter { settings, zone, member, incarnation, bucket: None, registers, waiting }
    }

    /// Counts a request that filled an object because no cache had it (`new_fill`), or that wrote the object. Other
    /// requests are not growth. Each `part` of an object is cached, and so counted, separately. Computes a hash,
    /// compares one register and allocates nothing.
    pub fn record(&mut self, object: u64, part: u64, kb: f64, new_fill: bool, write: bool) {
        if !(new_fill || write) {
            return;
        }
        // A part is in the cell of its object, at a position of its own.
        let part_offset = crate::placement::position(object.rotate_left(32) ^ part) >> CELL_BITS;
        let position = crate::placement::position(object) ^ if part == 0 { 0 } else { part_offset };
        let at = (position >> (64 - CELL_BITS - REGISTER_BITS)) as usize;
        let hash = position << (CELL_BITS + REGISTER_BITS);
        if let Some(value) = self.registers.get_mut(at) {
            *value = (*value).max(register(hash, kb, write));
        }
    }

    /// Closes the open bucket if its time is over, and queues it to be written; called about once a second. Requests
    /// since the last call count towards that bucket. After the clock was set back, nothing is closed until it has
    /// caught up. Returns whether a bucket was closed.
    pub fn close(&mut self, now_unix_ms: u64) -> bool {
        let now = bucket_of(now_unix_ms, self.settings.bucket);
        let open = *self.bucket.get_or_insert(now);
        if now <= open {
            return false;
        }
        self.waiting.push_back(self.open_document(open));
        self.registers.fill(0);
        self.bucket = Some(now);
        let most = self.settings.waiting.max(1);
        let size = |w: &VecDeque<Document>| w.iter().map(Document::size).sum::<usize>();
        while self.waiting.len() > 1 && (self.waiting.len() > most || size(&self.waiting) > MAX_WAITING_BYTES)
        {
            let Some(oldest) = self.waiting.pop_front() else { break };
            if let Some(next) = self.waiting.front_mut() {
                next.merge_older(&oldest);
            }
        }
        true
    }

    fn open_document(&self, bucket: u64) -> Document {
        let registers = self.registers.iter().copied().enumerate();
        Document::new(&self.member, self.incarnation, bucket, registers)
    }

    /// Returns the key and value of the open bucket. It is written periodically and before the process ends, so that
    /// its counts are not lost with the process. Later writes under the same key include all earlier counts.
    pub fn current(&self) -> Option<(String, Vec<u8>)> {
        let document = self.open_document(self.bucket?);
        Some((document.key(&self.zone), document.encode()))
    }

    /// Returns the key and value of the oldest closed bucket that is still to be written.
    pub fn next(&self) -> Option<(String, Vec<u8>)> {
        self.waiting.front().map(|d| (d.key(&self.zone), d.encode()))
    }

    /// Removes the bucket with this key after the registry has stored it.
    pub fn written(&mut self, key: &str) {
        self.waiting.retain(|d| d.key(&self.zone) != key);
    }

    /// Returns the number of closed buckets that wait to be written; at most [`Settings::waiting`].
    pub fn pending(&self) -> usize {
        self.waiting.len()
    }
}

/// The counts of a range of the hash space up to the end of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Number of the bucket.
    pub bucket: u64,
    /// Number of distinct objects requested up to its end.
    pub objects: f64,
    /// Size of these objects in kilobytes, at the current mean size.
    pub kb: f64,
    /// Number of these objects that were written.
    pub writes: f64,
    /// Whether any instance wrote this bucket; if not, the counts are those of the previous bucket.
    pub known: bool,
}

/// The history of one cell of the grid.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cell {
    /// Buckets in which the cell grew, relative to the first known one, each with the numbers of distinct objects and
    /// of written objects up to then.
    levels: Vec<(u64, [f64; 2])>,
    /// Number of non-empty registers.
    samples: f64,
    /// Total size of the registers' objects, in kilobytes.
    kb: f64,
}

/// The union of all documents of one zone.
#[derive(Clone, Debug, PartialEq)]
pub struct GrowthHistory {
    bucket: Micros,
    buckets: u64,
    newest: u64,
    known: BTreeSet<u64>,
    /// For each register, the buckets in which it increased, in ascending order, with its new value.
    increases: Vec<Vec<(u64, u32)>>,
}

impl GrowthHistory {
    /// Returns an empty history.
    pub fn new(settings: &Settings) -> Self {
        let (bucket, buckets) = (settings.bucket, settings.buckets.max(1) as u64);
        GrowthHistory {
            bucket,
            buckets,
            newest: 0,
            known: BTreeSet::new(),
            increases: vec![Vec::new(); TOTAL_REGISTERS],
        }
    }

    /// Returns the oldest bucket of the history; earlier requests count as made in it.
    pub fn oldest(&self) -> u64 {
        self.newest.saturating_sub(self.buckets - 1)
    }

    /// Merges a document. Documents may come repeatedly and in any order.
    ///
    /// # Errors
    /// [`GrowthError::FutureBucket`] if the bucket is in the future, because the writer's clock is wrong.
    pub fn merge(&mut self, document: &Document, now_unix_ms: u64) -> Result<(), GrowthError> {
        // A single bucket in the far future would otherwise displace the whole history.
        if document.bucket > bucket_of(now_unix_ms, self.bucket).saturating_add(1) {
            let member = document.member.clone();
            return Err(GrowthError::FutureBucket { member, bucket: document.bucket });
        }
        if document.bucket > self.newest {
            self.newest = document.bucket;
            let oldest = self.oldest();
            self.known = self.known.split_off(&oldest);
            for increases in &mut self.increases {
                let expired = increases.partition_point(|r| r.0 <= oldest);
                increases.drain(..expired.saturating_sub(1));
                if let Some(first) = increases.first_mut() {
                    first.0 = first.0.max(oldest);
                }
            }
        }
        let bucket = document.bucket.max(self.oldest());
        if document.bucket >= self.oldest() && document.member != BASE_MEMBER {
            self.known.insert(document.bucket);
        }
        for (at, value) in document.each() {
            let Some(increases) = self.increases.get_mut(at) else { continue };
            let after = increases.partition_point(|r| r.0 <= bucket);
            if after > 0 && increases[after - 1].1 >= value {
                continue;
            }
            // The value replaces that of the same bucket, and later values that no longer increase the register.
            let from = increases.partition_point(|r| r.0 < bucket);
            let to = from + increases[from..].partition_point(|r| r.1 <= value);
            increases.splice(from..to, [(bucket, value)]);
        }
        Ok(())
    }

    /// Returns a base document of all buckets up to the oldest one of the history. It is written before the keys of
    /// older buckets are deleted; otherwise a new planner would count objects that were requested long ago as new.
    /// `None` until the history is full.
    pub fn base(&self) -> Option<Document> {
        let oldest = self.oldest();
        let is_full = oldest > 0 && self.known.first().is_some_and(|&b| b <= oldest);
        let first = |r: &Vec<(u64, u32)>| r.first().filter(|r| r.0 <= oldest).map_or(0, |r| r.1);
        is_full.then(|| Document::new(BASE_MEMBER, 0, oldest, self.increases.iter().map(first).enumerate()))
    }

    /// Returns the history of one cell of the grid; `None` beyond the last cell. Takes at most about a millisecond, so
    /// that the planner can process cells in slices.
    pub fn cell(&self, cell: usize) -> Option<Cell> {
        let registers = self.increases.chunks(REGISTERS).nth(cell)?;
        let Some(&first) = self.known.first() else { return Some(Cell::default()) };
        let last_offset = self.newest.saturating_sub(first).min(self.buckets - 1);
        let (mut events, mut history) = (Vec::new(), Cell::default());
        for increases in registers {
            let mut before = 0;
            for &(bucket, value) in increases {
                events.push((bucket.saturating_sub(first).min(last_offset), before, value));
                before = value;
            }
            if before > 0 {
                history.samples += 1.0;
                history.kb += size_kb(before);
            }
        }
        events.sort_unstable();
        let (mut sum, mut non_empty, mut writes) = (REGISTERS as f64, 0.0, 0.0);
        for group in events.chunk_by(|a, b| a.0 == b.0) {
            for &(_, before, value) in group {
                sum += hash_fraction(value) - if before > 0 { hash_fraction(before) } else { 1.0 };
                non_empty += f64::from(before == 0);
                writes += f64::from(value & 1) - f64::from(before & 1);
            }
            let objects = estimate_distinct(non_empty, sum);
            history.levels.push((group[0].0, [objects, objects * writes / non_empty]));
        }
        Some(history)
    }

    /// Returns the history of the objects from `start` through `last`, one point per bucket, oldest first; empty
    /// without any document. `cells` are the results of [`GrowthHistory::cell`] for all cells, after the last merged
    /// document.
    pub fn series(&self, cells: &[Cell], start: u64, last: u64) -> Vec<Point> {
        let Some(&first) = self.known.first() else { return Vec::new() };
        let bucket_count = self.newest.saturating_sub(first).min(self.buckets - 1) as usize + 1;
        let mut rises = vec![[0.0f64; 2]; bucket_count];
        let (mut samples, mut kb) = (0.0, 0.0);
        let (width, end) = (1u128 << (64 - CELL_BITS), u128::from(last.max(start)) + 1);
        for (n, cell) in cells.iter().enumerate() {
            let cell_start = n as u128 * width;
            let inside = (cell_start + width).min(end).saturating_sub(cell_start.max(u128::from(start)));
            let part = inside as f64 / width as f64;
            samples += part * cell.samples;
            kb += part * cell.kb;
            let mut before = [0.0; 2];
            for (at, level) in cell.levels.iter().filter(|_| inside > 0) {
                if let Some(rise) = rises.get_mut(*at as usize) {
                    (0..2).for_each(|k| rise[k] += part * (level[k] - before[k]));
                }
                before = *level;
            }
        }
        let mean_kb = if samples > 0.0 { kb / samples } else { 0.0 };
        let mut sum = [0.0; 2];
        let point = |(n, rise): (usize, &[f64; 2])| {
            (0..2).for_each(|k| sum[k] += rise[k]);
            let (bucket, [objects, writes]) = (first + n as u64, sum);
            Point { bucket, objects, kb: objects * mean_kb, writes, known: self.known.contains(&bucket) }
        };
        rises.iter().enumerate().map(point).collect()
    }
}
