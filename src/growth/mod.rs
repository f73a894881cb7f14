//! Growth of shards: counts of newly requested objects, forecasts of shard sizes, and splits scheduled ahead of time.
//!
//! Every instance counts newly requested objects ([`buckets::GrowthCounter`]) and writes the counts to the registry;
//! the planner merges the documents, forecasts each shard and schedules splits ([`ahead::GrowthPlanner`]). None of
//! these modules reads a clock or does I/O; `proxy::rebalancing` owns them.

pub mod ahead;
pub mod buckets;
pub mod forecast;
pub mod splits;
#[cfg(test)]
mod tests;

use crate::routing::events::Micros;
use serde::{de::DeserializeOwned, Serialize};
use thiserror::Error;

/// Format of all growth documents.
const FORMAT: u8 = 1;
/// Maximum size of a document, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// Error in a growth document. The message says what an operator can do.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum GrowthError {
    /// The document is longer than any that an instance writes.
    #[error(
        "{what} has {length} bytes, more than the maximum of 1 MB; check what else writes below the fleet's prefix"
    )]
    TooLong {
        /// Kind of the document.
        what: &'static str,
        /// Length of the document, in bytes.
        length: usize,
    },
    /// The document was written by a version with another format.
    #[error("{what} has format {format}, but this instance reads format {FORMAT}; run the same version on all instances")]
    Format {
        /// Kind of the document.
        what: &'static str,
        /// Format of the document.
        format: u8,
    },
    /// The document is truncated or corrupt.
    #[error(
        "{what} is corrupt: its checksum is wrong; the document is ignored, delete its key if this persists"
    )]
    Checksum {
        /// Kind of the document.
        what: &'static str,
    },
    /// The document has a valid checksum but invalid contents.
    #[error("{what} is intact but malformed; the document is ignored, delete its key if this persists")]
    Malformed {
        /// Kind of the document.
        what: &'static str,
    },
    /// The document's bucket is in the future.
    #[error("instance {member} wrote the bucket {bucket}, which is in the future; correct its clock and delete that key")]
    FutureBucket {
        /// Instance that wrote the document.
        member: String,
        /// Number of the bucket.
        bucket: u64,
    },
}

/// Encodes a document: format, checksum and content.
///
/// # Panics
///
/// Never for the documents of this module: encoding numbers, strings and lists into memory can't fail.
fn encode_document<T: Serialize>(content: &T) -> Vec<u8> {
    let content = postcard::to_stdvec(content).expect("numbers, strings and lists are encodable");
    let mut bytes = vec![FORMAT];
    bytes.extend(crc32fast::hash(&content).to_le_bytes());
    bytes.extend(content);
    bytes
}

/// Decodes the content of a document; `what` is its kind in error messages.
fn decode_document<T: DeserializeOwned>(bytes: &[u8], what: &'static str) -> Result<T, GrowthError> {
    if bytes.len() > MAX_BYTES {
        return Err(GrowthError::TooLong { what, length: bytes.len() });
    }
    match bytes {
        [format, ..] if *format != FORMAT => Err(GrowthError::Format { what, format: *format }),
        [_, a, b, c, d, content @ ..] => {
            if crc32fast::hash(content) != u32::from_le_bytes([*a, *b, *c, *d]) {
                return Err(GrowthError::Checksum { what });
            }
            match postcard::take_from_bytes(content) {
                Ok((content, [])) => Ok(content),
                _ => Err(GrowthError::Malformed { what }),
            }
        }
        _ => Err(GrowthError::Malformed { what }),
    }
}

/// Settings of `growth(...)` in the product's script. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Duration of one bucket of counts.
    pub bucket: Micros,
    /// Number of buckets in the history from which growth is forecast.
    pub buckets: usize,
    /// Cache capacity of an endpoint of weight 1, in kilobytes; of every endpoint if no weights are set.
    pub box_kb: f64,
    /// Fraction of an endpoint's cache capacity at which a shard has to be split, 0 to 1.
    pub split: f64,
    /// Fraction of an endpoint's cache capacity below which two neighbouring shards of one home are merged, 0 to 1.
    pub merge: f64,
    /// Number of buckets to forecast.
    pub ahead: usize,
    /// Confidence level of the forecast's interval, 0 to 1.
    pub level: f64,
    /// Maximum number of closed buckets kept in memory while the registry is unreachable; beyond it, the oldest are
    /// merged.
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
            level: 0.95,
            waiting: 48,
        }
    }
}
