//! Reads a list of all documents page by page, as of one revision.

use super::mirror::{decode_document, document_bytes, DocumentMap};
use super::watching::WatchCall;
use super::{Action, Documents, DocumentsError, Notice, Rpc, Settings, State, WatchState};
use crate::registry::answers::MessageError;
use crate::registry::keys::key_after;
use crate::registry::messages::{KeyValue, RangeRequest, RangeResponse, ResponseHeader};
use crate::routing::events::Micros;
use prost::Message;

/// A list in progress.
#[derive(Clone, Debug)]
pub(super) struct List {
    /// Id of the call for the current page.
    call: u64,
    started_at: Micros,
    /// Cluster and revision of all pages. The revision is 0 until the first page arrives.
    cluster: u64,
    revision: i64,
    /// First key of the next page.
    from: Vec<u8>,
    /// Maximum number of keys in the next page.
    limit: i64,
    documents: DocumentMap,
    bytes: usize,
}

impl List {
    pub(super) fn new(now: Micros, settings: &Settings) -> Self {
        List {
            call: 0,
            started_at: now,
            cluster: 0,
            revision: 0,
            from: settings.prefix.clone().into_bytes(),
            limit: settings.page_size.max(1),
            documents: DocumentMap::new(),
            bytes: 0,
        }
    }

    /// Whether the current page is requested by this call.
    pub(super) fn awaits(&self, call: u64) -> bool {
        self.call == call
    }

    /// Halves the page size; returns `false` if a page has only one key already.
    pub(super) fn halve_page(&mut self) -> bool {
        let can_be_halved = self.limit > 1;
        if can_be_halved {
            self.limit /= 2;
        }
        can_be_halved
    }

    /// Pins the list to the cluster and revision of its first page, which must not be older than `accepted`. Checks that
    /// the further pages belong to the same cluster and are not older.
    fn pin(&mut self, header: ResponseHeader, accepted: i64) -> Result<(), DocumentsError> {
        let ResponseHeader { cluster_id: cluster, revision, .. } = header;
        if self.revision == 0 {
            if revision < accepted {
                return Err(DocumentsError::MemberBehind { revision, accepted });
            }
            (self.cluster, self.revision) = (cluster, revision);
        } else if revision < self.revision || cluster != self.cluster {
            return Err(MessageError::PageOlderThanList.into());
        }
        Ok(())
    }

    /// Adds the keys of a page, which must follow the keys of the previous pages.
    fn add(&mut self, kvs: Vec<KeyValue>, prefix: &str) -> Result<(), MessageError> {
        for kv in kvs {
            let (key, document) = decode_document(prefix, kv, self.revision)?;
            self.bytes = self.bytes.saturating_add(document_bytes(&key, &document));
            if self.documents.last_key_value().is_some_and(|(last, _)| *last >= key) {
                return Err(MessageError::UnexpectedKeys);
            }
            self.documents.insert(key, document);
        }
        Ok(())
    }

    /// Checks that the documents are within the limits; `count` is the number of keys that the registry reports.
    fn check_limits(&self, count: i64, settings: &Settings) -> Result<(), DocumentsError> {
        let keys = (self.documents.len() as u64).max(u64::try_from(count).unwrap_or(0));
        if keys > settings.max_keys as u64 || self.bytes > settings.max_bytes {
            return Err(DocumentsError::limit_exceeded(keys, self.bytes, settings));
        }
        Ok(())
    }

    /// Advances to the page that starts after the last key.
    fn advance(&mut self, prefix: &str) -> Result<(), MessageError> {
        let (last, _) = self.documents.last_key_value().ok_or(MessageError::EmptyPage)?;
        let from = key_after(&[prefix.as_bytes(), last].concat());
        if from <= self.from {
            return Err(MessageError::EmptyPage);
        }
        self.from = from;
        Ok(())
    }
}

impl Documents {
    /// Requests the next page of the list.
    pub(super) fn request_page(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let call = self.next_id();
        let range = self.prefix_range();
        let State::Listing { until, list, .. } = &mut self.state else { return };
        list.call = call;
        *until = now.saturating_add(self.settings.answer_timeout);
        let request =
            RangeRequest { key: list.from.clone(), limit: list.limit, revision: list.revision, ..range };
        actions.push(Action::Call { call, rpc: Rpc::Range(request) });
    }

    /// Handles a page of the list.
    pub(super) fn page_received(
        &mut self,
        now: Micros,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), DocumentsError> {
        let page = RangeResponse::decode(bytes).map_err(MessageError::from)?;
        let header = self.checked_header(page.header)?;
        let accepted = self.position.revision;
        let State::Listing { list, .. } = &mut self.state else { return Ok(()) };
        list.pin(header, accepted)?;
        list.add(page.kvs, &self.settings.prefix)?;
        list.check_limits(page.count, &self.settings)?;
        if page.more {
            list.advance(&self.settings.prefix)?;
            self.request_page(now, actions);
        } else {
            self.complete_list(now, actions);
        }
        Ok(())
    }

    /// Replaces the mirror by the complete list and watches the changes after its revision.
    fn complete_list(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let State::Listing { connection, list, .. } = &mut self.state else { return };
        let connection = *connection;
        let List { started_at, cluster, revision, bytes, .. } = **list;
        self.mirror.replace(std::mem::take(&mut list.documents), bytes, revision);
        self.position.cluster = Some(cluster);
        self.position.advance(revision);
        self.confirmed = self.confirmed.max(Some(started_at));
        self.counters.lists += 1;
        let (keys, took) = (self.mirror.documents.len(), now.saturating_sub(started_at));
        actions.push(Action::Notify(Notice::ListTaken { revision, keys, took }));
        let call = self.next_id();
        let rpc = Rpc::Watch(self.watch_request(revision.saturating_add(1)));
        actions.push(Action::Call { call, rpc });
        let confirmed_by = now.saturating_add(self.settings.answer_timeout);
        let watch = WatchState::requested(revision, confirmed_by, WatchCall::new(call));
        self.state = State::Watching { connection, watch: Box::new(watch) };
    }
}
