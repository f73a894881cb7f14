//! The state that a process hands over to its successor in a file: a header line with version and checksum, then JSON.

use super::{ExecutedRequest, Identity, VERSION};
use crate::config::settings::{KnownClass, KnownLimits};
use serde::{Deserialize, Serialize};

/// Maximum size of a state file in bytes.
pub const MAX_FILE_BYTES: usize = 1 << 20;
/// Maximum number of purges in a state file; each purge is in force for some seconds only.
pub const MAX_PURGES: usize = 16_384;
/// Maximum number of executed requests in a state file.
pub const MAX_EXECUTED: usize = 1_024;

/// A purge that is in force.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(from = "StoredPurge", into = "StoredPurge")]
pub struct PurgeInForce {
    /// The purged object, or `None` if a group is purged.
    pub object: Option<u64>,
    /// The purged group; not used if there is an object.
    pub group: u64,
    /// Unix time of the purge in milliseconds.
    pub purged_ms: u64,
}

/// The stored form of a purge: object, group and Unix time in milliseconds.
type StoredPurge = (Option<u64>, u64, u64);

impl From<StoredPurge> for PurgeInForce {
    fn from((object, group, purged_ms): StoredPurge) -> Self {
        PurgeInForce { object, group, purged_ms }
    }
}

impl From<PurgeInForce> for StoredPurge {
    fn from(purge: PurgeInForce) -> Self {
        (purge.object, purge.group, purge.purged_ms)
    }
}

/// The state that is handed over in the file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TakeoverState {
    /// Instance to which the state belongs.
    #[serde(rename = "who")]
    pub identity: Identity,
    /// Purges in force, oldest first.
    pub purges: Vec<PurgeInForce>,
    /// Unix time in milliseconds at which the state was written, by the clock that dated the purges; `None` in files of
    /// versions without this field. It keeps the ages of the purges correct if the wall clock is stepped between the
    /// two processes.
    #[serde(default)]
    pub written_ms: Option<u64>,
    /// Classes that clients may know, also those that a reload has changed or dropped; empty in files of versions without
    /// this field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<KnownClass>,
    /// Limits of requests that clients may know; empty in files of versions without this field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<KnownLimits>,
    /// Requests that may have run and may not simply run again; empty in files of versions without this field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub executed: Vec<ExecutedRequest>,
}

/// Why a state file is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// The file is no state file of this version.
    #[error(
        "not a state file of this version; purges are read from the configuration and the command channel"
    )]
    UnknownFormat,
    /// The file is truncated or corrupt.
    #[error("state file is truncated or corrupt; check whether the disk of its folder is full")]
    Corrupt,
    /// The file belongs to another instance, or has too many purges.
    #[error("state file belongs to another instance; give each instance its own name and address")]
    OtherInstance,
}

impl TakeoverState {
    /// Encodes the state as the contents of a file.
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self)
            .expect("a state has only strings, numbers and lists, which JSON can represent");
        let checksum = crc32fast::hash(&body);
        let mut file = format!("larchdale-state {VERSION} {checksum:08x}\n").into_bytes();
        file.extend(body);
        file
    }

    /// Decodes the contents of a state file of the instance with this identity.
    ///
    /// # Errors
    /// Returns an error if the file has another format or version, is corrupt, or belongs to another instance.
    pub fn decode(file: &[u8], identity: &Identity) -> Result<TakeoverState, StateError> {
        let header_end = file.iter().position(|&byte| byte == b'\n').ok_or(StateError::UnknownFormat)?;
        let header = std::str::from_utf8(&file[..header_end]).map_err(|_| StateError::UnknownFormat)?;
        let prefix = format!("larchdale-state {VERSION} ");
        let checksum = header.strip_prefix(&prefix).ok_or(StateError::UnknownFormat)?;
        let body = &file[header_end + 1..];
        if u32::from_str_radix(checksum, 16) != Ok(crc32fast::hash(body)) {
            return Err(StateError::Corrupt);
        }
        let state: TakeoverState = serde_json::from_slice(body).map_err(|_| StateError::Corrupt)?;
        if state.identity != *identity || state.purges.len() > MAX_PURGES {
            return Err(StateError::OtherInstance);
        }
        Ok(state)
    }
}
