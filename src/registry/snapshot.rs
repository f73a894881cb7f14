//! The snapshot of the list of endpoints on disk. A new snapshot is written to a temporary file, synced and renamed, so
//! that a complete snapshot exists at any time. A file that is truncated, corrupt, of another program, for another
//! prefix or of a newer version is rejected with the reason.
//!
//! ```text
//! "larchlst"  version:4  length:8  crc32:4  body: a protobuf message        (lengths in bytes, numbers big-endian)
//! ```

use super::answers::{Decoder, KeyEntry};
use super::keys::id_of;
use super::messages::KeyValue;
use super::session::SavedList;
use prost::Message;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};

/// First bytes of every snapshot file.
const MAGIC: &[u8; 8] = b"larchlst";
/// Version of the file format.
const VERSION: u32 = 1;
const HEADER_BYTES: usize = 24;
/// Maximum size of a file that is loaded.
const MAX_FILE_BYTES: u64 = 64 << 20;
/// Name of the snapshot file.
const FILE_NAME: &str = "depots.list";
/// Name of the temporary file that a new snapshot is written to.
const NEW_FILE_NAME: &str = "depots.list.new";

/// Why no snapshot could be loaded.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The file does not exist or can't be read.
    #[error("can't read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The contents of the file are unusable.
    #[error("can't use {path}: {source}")]
    Unusable {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: FormatError,
    },
}

/// Why the contents of a file are not a usable snapshot. No error requires an action of the operator: the list is read
/// from the registry, and the file is then replaced.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// The file is shorter than its header.
    #[error("the file is truncated")]
    Truncated,
    /// The file exceeds the maximum size.
    #[error("the file has more than {MAX_FILE_BYTES} bytes")]
    TooLarge,
    /// The file does not begin with the magic bytes.
    #[error("the file is not a snapshot of a list of endpoints")]
    OtherFormat,
    /// The format version is newer than the supported one.
    #[error("the file has format version {0}, this program supports version {VERSION}")]
    NewerVersion(u64),
    /// The format version never existed.
    #[error("the file has format version {0}, which never existed")]
    UnknownVersion(u64),
    /// The body has another length than the header announces.
    #[error(
        "the file is incomplete or damaged: the body has {actual} bytes, the header announces {announced}"
    )]
    WrongLength {
        /// Length of the body, in bytes.
        actual: usize,
        /// Length in the header, in bytes.
        announced: u64,
    },
    /// The checksum of the body differs from the one in the header.
    #[error("the checksum of the file is wrong")]
    WrongChecksum,
    /// The body can't be decoded.
    #[error("{0}")]
    Undecodable(#[from] prost::DecodeError),
    /// The list is for another prefix.
    #[error("the list in the file is for the prefix '{0}'")]
    OtherPrefix(String),
    /// The list has more keys than the settings allow.
    #[error("the list in the file has {keys} keys, at most {max_keys} are allowed")]
    TooManyKeys {
        /// Number of keys in the list.
        keys: usize,
        /// Maximum number of keys.
        max_keys: usize,
    },
}

/// Why a list was not passed to the writer thread.
#[derive(Debug, thiserror::Error)]
pub enum SaveError {
    /// A previous list could not be written.
    #[error("{0}")]
    Write(#[from] io::Error),
    /// A previous list is still waiting to be written.
    #[error("the disk is slow: a previous snapshot is still waiting to be written")]
    Busy,
    /// The writer thread has ended.
    #[error("the snapshot writer thread has ended")]
    ThreadEnded,
}

/// The body of a snapshot file.
#[derive(Clone, PartialEq, prost::Message)]
struct Body {
    #[prost(uint64, tag = "1")]
    cluster: u64,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(string, tag = "3")]
    prefix: String,
    #[prost(message, repeated, tag = "4")]
    keys: Vec<KeyValue>,
}

/// Encodes a list as the contents of a snapshot file. Keys with unusable records are omitted.
pub fn encode(list: &SavedList, decoder: &Decoder) -> Vec<u8> {
    let body = Body {
        cluster: list.cluster,
        revision: list.revision,
        prefix: decoder.prefix.clone(),
        keys: list.entries.iter().filter_map(|entry| stored_key(entry, decoder)).collect(),
    };
    let body = body.encode_to_vec();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&VERSION.to_be_bytes());
    bytes.extend_from_slice(&(body.len() as u64).to_be_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

fn stored_key(entry: &KeyEntry, decoder: &Decoder) -> Option<KeyValue> {
    let record = decoder.names.stored(entry.endpoint.as_ref().ok()?)?;
    Some(KeyValue {
        key: entry.key.to_vec(),
        create_revision: entry.create_revision as i64,
        mod_revision: entry.mod_revision as i64,
        value: serde_json::to_vec(&record).ok()?,
        ..KeyValue::default()
    })
}

/// Decodes the contents of a snapshot file. Keys whose records are unusable under the current settings are omitted.
///
/// # Errors
/// The bytes are not a list for this prefix with at most `max_keys` keys.
pub fn decode(bytes: &[u8], decoder: &Decoder, max_keys: usize) -> Result<SavedList, FormatError> {
    let body = Body::decode(checked_body(bytes)?)?;
    if body.prefix != decoder.prefix {
        return Err(FormatError::OtherPrefix(body.prefix));
    }
    if body.keys.len() > max_keys {
        return Err(FormatError::TooManyKeys { keys: body.keys.len(), max_keys });
    }
    let entries = body.keys.into_iter().filter_map(|kv| loaded_entry(kv, decoder)).collect();
    Ok(SavedList { cluster: body.cluster, revision: body.revision, entries })
}

/// Returns the body after the header, checked against the header's length and checksum.
fn checked_body(bytes: &[u8]) -> Result<&[u8], FormatError> {
    let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(FormatError::Truncated);
    };
    if &header[..8] != MAGIC {
        return Err(FormatError::OtherFormat);
    }
    let number = |range: std::ops::Range<usize>| {
        header[range].iter().fold(0u64, |number, &byte| number << 8 | u64::from(byte))
    };
    let (version, announced, checksum) = (number(8..12), number(12..20), number(20..24));
    if version > u64::from(VERSION) {
        return Err(FormatError::NewerVersion(version));
    }
    if version < u64::from(VERSION) {
        return Err(FormatError::UnknownVersion(version));
    }
    if announced != body.len() as u64 {
        return Err(FormatError::WrongLength { actual: body.len(), announced });
    }
    if checksum != u64::from(crc32fast::hash(body)) {
        return Err(FormatError::WrongChecksum);
    }
    Ok(body)
}

fn loaded_entry(kv: KeyValue, decoder: &Decoder) -> Option<KeyEntry> {
    let id = id_of(&kv.key, &decoder.prefix)?;
    let endpoint = decoder.names.decode(&kv.value, decoder.max_value_bytes).ok()?;
    Some(KeyEntry {
        id: Some(id),
        key: kv.key.into(),
        create_revision: kv.create_revision as u64,
        mod_revision: kv.mod_revision as u64,
        endpoint: Ok(endpoint.into()),
    })
}

/// Loads the snapshot in a folder.
///
/// # Errors
/// The file can't be read, or its contents are unusable.
pub fn load(folder: &Path, decoder: &Decoder, max_keys: usize) -> Result<SavedList, SnapshotError> {
    let path = folder.join(FILE_NAME);
    let bytes = match read_bounded(&path) {
        Ok(bytes) => bytes,
        Err(source) => return Err(SnapshotError::Unreadable { path, source }),
    };
    let list = if bytes.len() as u64 > MAX_FILE_BYTES {
        Err(FormatError::TooLarge)
    } else {
        decode(&bytes, decoder, max_keys)
    };
    list.map_err(|source| SnapshotError::Unusable { path, source })
}

/// Reads a file up to one byte more than the maximum size, so that the caller can detect a file that is too large.
fn read_bounded(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Writes a snapshot to a folder atomically: after a crash, the folder contains either the complete old snapshot or the
/// complete new one.
///
/// # Errors
/// The file could not be written, synced or renamed.
pub fn store(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = folder.join(NEW_FILE_NAME);
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    drop(file);
    fs::rename(&new, folder.join(FILE_NAME))?;
    // Syncs the folder, so that the rename survives a power failure.
    File::open(folder)?.sync_all()
}

/// Writes snapshots on a separate thread, so that a slow disk does not block the event loop.
pub struct Saver {
    lists: SyncSender<SavedList>,
    errors: Receiver<io::Error>,
}

impl Saver {
    /// Starts the writer thread for a folder, and creates the folder if it does not exist.
    ///
    /// # Errors
    /// The folder or the thread could not be created.
    pub fn start(folder: PathBuf, decoder: Decoder) -> io::Result<Self> {
        fs::create_dir_all(&folder)?;
        // At most one list waits: while the disk is slow, the caller has to retry with a newer list later.
        let (lists, received) = sync_channel::<SavedList>(1);
        let (error_sender, errors) = sync_channel(1);
        std::thread::Builder::new().name("snapshot".to_owned()).spawn(move || {
            for list in received {
                if let Err(error) = store(&folder, &encode(&list, &decoder)) {
                    // The channel is full only if an earlier error was not read yet; one report is enough.
                    let _ = error_sender.try_send(error);
                }
            }
        })?;
        Ok(Saver { lists, errors })
    }

    /// Passes a list to the writer thread.
    ///
    /// # Errors
    /// A previous list could not be written or is still waiting, or the thread has ended.
    pub fn save(&mut self, list: SavedList) -> Result<(), SaveError> {
        if let Ok(error) = self.errors.try_recv() {
            return Err(SaveError::Write(error));
        }
        self.lists.try_send(list).map_err(|error| match error {
            TrySendError::Full(_) => SaveError::Busy,
            TrySendError::Disconnected(_) => SaveError::ThreadEnded,
        })
    }
}
