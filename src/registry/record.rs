//! The records of endpoints: the JSON value that the registry stores, and the decoded form, in which the names of kinds
//! and zones are resolved by the settings. Decoding accepts any input and reports why a value is unusable.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state of an endpoint, as set by the operators in its record.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The endpoint accepts requests.
    #[default]
    Ready,
    /// The endpoint accepts no new requests and finishes those in flight.
    Draining,
}

/// The value of an endpoint's key, a JSON object. Unknown fields are ignored, so that later versions can add fields.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct StoredRecord {
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// Name of the endpoint's kind in the settings.
    pub kind: String,
    /// Name of the endpoint's zone in the settings.
    pub zone: String,
    /// Whether the endpoint accepts requests.
    #[serde(default)]
    pub state: State,
    /// Cell of the endpoint.
    #[serde(default)]
    pub cell: u32,
    /// Weight of the endpoint.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Start time of the endpoint in Unix milliseconds; 0 if not recorded.
    #[serde(default)]
    pub started_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

/// Why a record is unusable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record is longer than the settings allow.
    #[error(
        "the record has {bytes} bytes, at most {max_bytes} are allowed: shorten it or raise most_value_bytes"
    )]
    TooLong {
        /// Length of the record, in bytes.
        bytes: usize,
        /// Maximum length, in bytes.
        max_bytes: usize,
    },
    /// The value is not a JSON object of the expected form.
    #[error("{0}: rewrite the record")]
    Malformed(String),
    /// The record names a kind or a zone that the settings lack.
    #[error("{field} '{name}' is not in the settings ({known}): correct the record or the settings")]
    UnknownName {
        /// `kind` or `zone`.
        field: &'static str,
        /// The unknown name.
        name: String,
        /// The names in the settings, separated by commas.
        known: String,
    },
    /// The weight is negative or not finite.
    #[error("weight {0} is invalid: write a number of at least 0")]
    InvalidWeight(String),
    /// The key contains no valid id.
    #[error("the key has no valid id: after the prefix, 1 to 64 letters, digits and . _ : - are allowed")]
    InvalidId,
    /// The record does not fit into one message of the registry.
    #[error("the record does not fit into one message: shorten it or raise most_message_bytes")]
    ExceedsMessage,
}

/// The names of kinds and zones in the settings. The number of a kind or zone is the index of its name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Names of the kinds.
    pub kinds: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
}

/// A record whose names of kind and zone are resolved.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// Whether the endpoint accepts requests.
    pub state: State,
    /// Number of the endpoint's kind.
    pub kind: u32,
    /// Number of the endpoint's zone.
    pub zone: usize,
    /// Cell of the endpoint.
    pub cell: u32,
    /// Weight of the endpoint.
    pub weight: f64,
    /// Start time of the endpoint in Unix milliseconds; 0 if not recorded.
    pub started_ms: u64,
}

impl Names {
    /// Decodes a value of at most `max_bytes` bytes.
    ///
    /// # Errors
    /// The value is too long, is not a record, has an invalid weight, or names a kind or zone that the settings lack.
    pub fn decode(&self, value: &[u8], max_bytes: usize) -> Result<EndpointRecord, RecordError> {
        if value.len() > max_bytes {
            return Err(RecordError::TooLong { bytes: value.len(), max_bytes });
        }
        let record: StoredRecord =
            serde_json::from_slice(value).map_err(|error| RecordError::Malformed(error.to_string()))?;
        if !(record.weight.is_finite() && record.weight >= 0.0) {
            return Err(RecordError::InvalidWeight(record.weight.to_string()));
        }
        Ok(EndpointRecord {
            address: record.address,
            state: record.state,
            kind: index_of("kind", &self.kinds, &record.kind)? as u32,
            zone: index_of("zone", &self.zones, &record.zone)?,
            cell: record.cell,
            weight: record.weight,
            started_ms: record.started_ms,
        })
    }

    /// Returns the stored form of a record; `None` if the settings have no name for its kind or zone.
    pub fn stored(&self, endpoint: &EndpointRecord) -> Option<StoredRecord> {
        Some(StoredRecord {
            address: endpoint.address,
            kind: self.kinds.get(endpoint.kind as usize)?.clone(),
            zone: self.zones.get(endpoint.zone)?.clone(),
            state: endpoint.state,
            cell: endpoint.cell,
            weight: endpoint.weight,
            started_ms: endpoint.started_ms,
        })
    }
}

fn index_of(field: &'static str, names: &[String], name: &str) -> Result<usize, RecordError> {
    names.iter().position(|known| known == name).ok_or_else(|| RecordError::UnknownName {
        field,
        name: name.to_owned(),
        known: names.join(", "),
    })
}
