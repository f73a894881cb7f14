//! Decodes and checks the registry's responses about endpoint keys: pages of a list and messages of a watch, in the form
//! that the session takes. A message that violates the protocol is rejected as a whole; a single unusable record is not
//! an error of the message.

use super::keys::id_of;
use super::messages::{Event as WireEvent, KeyValue, RangeResponse, ResponseHeader, WatchResponse};
use super::record::{EndpointRecord, Names, RecordError};
use crate::routing::events::Id;
use prost::Message;
use std::sync::Arc;

/// Maximum number of characters of the registry's reason for cancelling a watch that are kept.
const MAX_REASON_CHARS: usize = 200;
/// Event types of the etcd v3 interface.
const EVENT_PUT: i32 = 0;
const EVENT_DELETE: i32 = 1;

/// How a message violates the protocol.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The message can't be decoded.
    #[error("{0}")]
    Undecodable(#[from] prost::DecodeError),
    /// A response has no header.
    #[error("a response has no header")]
    MissingHeader,
    /// A response has no revision.
    #[error("a response has no revision")]
    MissingRevision,
    /// A revision is negative.
    #[error("revision {0} is negative")]
    NegativeRevision(i64),
    /// A count is negative.
    #[error("a count of keys is negative")]
    NegativeCount,
    /// A key's revisions contradict each other.
    #[error("a key has contradictory revisions: created at {created}, last changed at {modified}")]
    ContradictoryRevisions {
        /// Create revision of the key.
        created: u64,
        /// Mod revision of the key.
        modified: u64,
    },
    /// A key's revisions contradict each other or the header.
    #[error("a key has an impossible revision")]
    ImpossibleRevision,
    /// Keys are out of order or outside the requested range.
    #[error("keys are out of order or outside the requested range")]
    UnexpectedKeys,
    /// A key is not below the prefix.
    #[error("a key is outside the requested prefix")]
    ForeignKey,
    /// A page announces further keys but contains none.
    #[error("a page announces further keys but contains none")]
    EmptyPage,
    /// A page is of an older revision than the first page, or of another cluster.
    #[error("a page is older than its list or from another cluster")]
    PageOlderThanList,
    /// A key was changed after the revision of the list.
    #[error("a key is newer than its list")]
    KeyNewerThanList,
    /// An event has no key.
    #[error("a watch event has no key")]
    EventWithoutKey,
    /// An event is neither a put nor a delete.
    #[error("a watch event has the unknown type {0}")]
    UnknownEventType(i32),
    /// An event is newer than the header of its message.
    #[error("a watch event is newer than the header of its message")]
    EventNewerThanHeader,
    /// A message of an open watch is from another cluster.
    #[error("a message of an open watch is from another cluster")]
    OtherClusterOnWatch,
}

/// The cluster that responded, and its revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Header {
    /// Id of the cluster.
    pub cluster: u64,
    /// Revision of the store at the time of the response.
    pub revision: u64,
}

/// The state of one key in the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyEntry {
    /// Id of the endpoint; `None` if the key contains no valid id and thus belongs to no endpoint.
    pub id: Option<Id>,
    /// The key, including the prefix.
    pub key: Arc<[u8]>,
    /// Revision at which the key was created. It identifies the endpoint's process.
    pub create_revision: u64,
    /// Revision of the last change of the key.
    pub mod_revision: u64,
    /// The decoded record, or why the record is unusable.
    pub endpoint: Result<Arc<EndpointRecord>, RecordError>,
}

/// One page of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Cluster and revision of the response.
    pub header: Header,
    /// The keys, in ascending order.
    pub entries: Vec<KeyEntry>,
    /// Whether the range has further keys after the last one.
    pub more: bool,
    /// Number of keys in the whole range.
    pub count: u64,
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A key was written.
    Put(KeyEntry),
    /// A key was deleted.
    Delete {
        /// The key.
        key: Arc<[u8]>,
        /// The revision of the deletion.
        revision: u64,
    },
}

impl Event {
    /// Returns the revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Event::Put(entry) => entry.mod_revision,
            Event::Delete { revision, .. } => *revision,
        }
    }

    /// Returns the key that was changed.
    pub fn key(&self) -> &Arc<[u8]> {
        match self {
            Event::Put(entry) => &entry.key,
            Event::Delete { key, .. } => key,
        }
    }
}

/// A message of a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchMessage {
    /// Cluster and revision of the response.
    pub header: Header,
    /// Id of the watch; -1 for all watches of the stream.
    pub watch: i64,
    /// Whether the registry has created the watch.
    pub created: bool,
    /// Whether the registry has cancelled the watch.
    pub cancelled: bool,
    /// If the watch was cancelled because its revision is compacted, the oldest available revision; 0 otherwise.
    pub compact_revision: u64,
    /// Why the watch was cancelled.
    pub cancel_reason: String,
    /// Whether further fragments of the same message follow.
    pub fragment: bool,
    /// The changes, in order.
    pub events: Vec<Event>,
}

/// Decodes responses about the keys below a prefix.
#[derive(Clone, Debug)]
pub struct Decoder {
    /// Prefix of all keys.
    pub prefix: String,
    /// Names of kinds and zones.
    pub names: Names,
    /// Maximum size of a record, in bytes.
    pub max_value_bytes: usize,
}

impl Decoder {
    /// Decodes a page; `from` is the first requested key.
    ///
    /// # Errors
    /// The bytes are not a range response, keys are out of order or outside the range, or revisions contradict each
    /// other.
    pub fn decode_page(&self, bytes: impl bytes::Buf, from: &[u8]) -> Result<Page, MessageError> {
        self.page(&RangeResponse::decode(bytes)?, from)
    }

    /// Decodes a message of a watch.
    ///
    /// # Errors
    /// The bytes are not a watch response, or the response or one of its events is invalid.
    pub fn decode_watch_message(&self, bytes: impl bytes::Buf) -> Result<WatchMessage, MessageError> {
        self.watch_message(&WatchResponse::decode(bytes)?)
    }

    /// Checks and converts a range response; `from` is the first requested key.
    ///
    /// # Errors
    /// Keys are out of order or outside the range, or revisions contradict each other.
    pub fn page(&self, response: &RangeResponse, from: &[u8]) -> Result<Page, MessageError> {
        let entries = response.kvs.iter().map(|kv| self.entry(kv)).collect::<Result<Vec<_>, _>>()?;
        let ordered = entries.windows(2).all(|pair| pair[0].key < pair[1].key);
        let inside =
            entries.iter().all(|entry| &*entry.key >= from && entry.key.starts_with(self.prefix.as_bytes()));
        if !ordered || !inside {
            return Err(MessageError::UnexpectedKeys);
        }
        let count = u64::try_from(response.count).map_err(|_| MessageError::NegativeCount)?;
        Ok(Page { header: header(&response.header)?, entries, more: response.more, count })
    }

    /// Checks and converts a watch response.
    ///
    /// # Errors
    /// The response has no header, an event is not for a key below the prefix or has an unknown type, or revisions are
    /// invalid.
    pub fn watch_message(&self, response: &WatchResponse) -> Result<WatchMessage, MessageError> {
        let events = response.events.iter().map(|event| self.event(event)).collect::<Result<Vec<_>, _>>()?;
        Ok(WatchMessage {
            header: header(&response.header)?,
            watch: response.watch_id,
            created: response.created,
            cancelled: response.canceled,
            compact_revision: revision(response.compact_revision)?,
            cancel_reason: response.cancel_reason.chars().take(MAX_REASON_CHARS).collect(),
            fragment: response.fragment,
            events,
        })
    }

    fn entry(&self, kv: &KeyValue) -> Result<KeyEntry, MessageError> {
        let (created, modified) = (revision(kv.create_revision)?, revision(kv.mod_revision)?);
        if created == 0 || modified < created {
            return Err(MessageError::ContradictoryRevisions { created, modified });
        }
        let id = id_of(&kv.key, &self.prefix);
        let endpoint = match id {
            Some(_) => self.names.decode(&kv.value, self.max_value_bytes).map(Arc::new),
            None => Err(RecordError::InvalidId),
        };
        let key = kv.key.as_slice().into();
        Ok(KeyEntry { id, key, create_revision: created, mod_revision: modified, endpoint })
    }

    fn event(&self, event: &WireEvent) -> Result<Event, MessageError> {
        let kv = event.kv.as_ref().ok_or(MessageError::EventWithoutKey)?;
        if !kv.key.starts_with(self.prefix.as_bytes()) {
            return Err(MessageError::ForeignKey);
        }
        match event.kind {
            EVENT_PUT => Ok(Event::Put(self.entry(kv)?)),
            EVENT_DELETE => {
                Ok(Event::Delete { key: kv.key.as_slice().into(), revision: revision(kv.mod_revision)? })
            }
            kind => Err(MessageError::UnknownEventType(kind)),
        }
    }
}

fn header(header: &Option<ResponseHeader>) -> Result<Header, MessageError> {
    let header = header.as_ref().ok_or(MessageError::MissingHeader)?;
    Ok(Header { cluster: header.cluster_id, revision: revision(header.revision)? })
}

fn revision(number: i64) -> Result<u64, MessageError> {
    u64::try_from(number).map_err(|_| MessageError::NegativeRevision(number))
}
