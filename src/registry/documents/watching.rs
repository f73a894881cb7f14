//! Watches the changes after a list, and checks regularly that no change was missed.

use super::mirror::{decode_document, Change};
use super::{Action, Documents, DocumentsError, Rpc, State};
use crate::registry::answers::MessageError;
use crate::registry::connection::consistency::{CheckOutcome, KeyCount};
use crate::registry::keys::range_end;
use crate::registry::messages::{
    watch_request, Event, RangeRequest, RangeResponse, WatchCreateRequest, WatchProgressRequest,
    WatchRequest, WatchResponse,
};
use crate::registry::status::{code, Status};
use crate::routing::events::Micros;
use prost::Message;

/// Id of the watch, the only one on its stream.
const WATCH_ID: i64 = 1;
/// Event type of a deletion.
const EVENT_DELETE: i32 = 1;

/// The call of the watch, with the state that only documents need.
#[derive(Clone, Debug)]
pub(super) struct WatchCall {
    pub(super) call: u64,
    /// Total size of the fragments of the current message, in bytes.
    fragment_bytes: usize,
    /// Latest accepted revision when the check was sent. The response to a later transaction may arrive before the
    /// response to the check, so the latter is compared with this revision.
    accepted_at_check: i64,
}

impl WatchCall {
    pub(super) fn new(call: u64) -> Self {
        WatchCall { call, fragment_bytes: 0, accepted_at_check: 0 }
    }
}

impl Documents {
    /// Returns the request for a watch of all keys with the prefix, starting at a revision.
    pub(super) fn watch_request(&self, start_revision: i64) -> WatchRequest {
        let create = WatchCreateRequest {
            key: self.settings.prefix.clone().into_bytes(),
            range_end: range_end(self.settings.prefix.as_bytes()),
            start_revision,
            watch_id: WATCH_ID,
            fragment: true,
            ..WatchCreateRequest::default()
        };
        WatchRequest { request: Some(watch_request::Request::Create(create)) }
    }

    /// Handles a message of the watch.
    pub(super) fn watch_message_received(
        &mut self,
        now: Micros,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), DocumentsError> {
        let message = WatchResponse::decode(bytes).map_err(MessageError::from)?;
        let header = self.checked_header(message.header)?;
        let State::Watching { watch, .. } = &mut self.state else { return Ok(()) };
        if message.canceled {
            return Err(cancellation(message));
        }
        if message.created && !watch.created {
            (watch.created, watch.next_check) = (true, now);
        }
        let reports_progress =
            message.events.is_empty() && !message.created && !message.fragment && watch.fragments.is_empty();
        watch.details.fragment_bytes = watch.details.fragment_bytes.saturating_add(bytes.len());
        watch.fragments.extend(message.events);
        if message.fragment {
            let is_too_large = watch.details.fragment_bytes > self.settings.max_bytes;
            return if is_too_large { Err(DocumentsError::WatchMessageTooLarge) } else { Ok(()) };
        }
        watch.details.fragment_bytes = 0;
        let events = std::mem::take(&mut watch.fragments);
        self.apply_events(events, header.revision)?;
        let State::Watching { watch, .. } = &mut self.state else { return Ok(()) };
        if reports_progress && watch.created {
            watch.revision = watch.revision.max(header.revision);
        }
        self.mirror.revision = watch.revision;
        self.position.advance(watch.revision);
        self.conclude_check(now)?;
        self.send_calls(now, actions);
        Ok(())
    }

    /// Applies the events of a message, one revision at a time.
    fn apply_events(&mut self, events: Vec<Event>, header_revision: i64) -> Result<(), DocumentsError> {
        let mut changes = self.new_changes(events, header_revision)?.into_iter().peekable();
        // An error may stop the mirror between two revisions, but never within one: the mirror would show a state that
        // never existed.
        while let Some(&(revision, _)) = changes.peek() {
            let mut same_revision = Vec::new();
            while let Some((_, change)) = changes.next_if(|(other, _)| *other == revision) {
                same_revision.push(change);
            }
            let count = same_revision.len() as u64;
            self.mirror.apply_revision(revision, same_revision, &self.settings)?;
            self.counters.changes += count;
            let State::Watching { watch, .. } = &mut self.state else { return Ok(()) };
            watch.revision = revision;
        }
        Ok(())
    }

    /// Returns the changes that have not been applied yet, ordered by revision and key, without duplicates.
    fn new_changes(
        &self,
        events: Vec<Event>,
        header_revision: i64,
    ) -> Result<Vec<(i64, Change)>, MessageError> {
        let State::Watching { watch, .. } = &self.state else { return Ok(Vec::new()) };
        let mut changes = Vec::with_capacity(events.len());
        for event in events {
            let kv = event.kv.ok_or(MessageError::EventWithoutKey)?;
            let (key, document) = decode_document(&self.settings.prefix, kv, header_revision)?;
            let revision = document.mod_revision;
            if revision > watch.revision {
                changes.push((revision, (key, (event.kind != EVENT_DELETE).then_some(document))));
            }
        }
        changes.sort_by(|(revision, (key, _)), (other_revision, (other_key, _))| {
            (revision, key).cmp(&(other_revision, other_key))
        });
        changes.dedup_by(|(revision, (key, _)), (other_revision, (other_key, _))| {
            (revision, key) == (other_revision, other_key)
        });
        Ok(changes)
    }

    /// Starts a check: requests the number of keys and the progress of the watch.
    pub(super) fn begin_check(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let call = self.next_id();
        let range = RangeRequest { count_only: true, ..self.prefix_range() };
        let State::Watching { watch, .. } = &mut self.state else { return };
        watch.details.accepted_at_check = self.position.revision;
        watch.begin_check(call, now);
        actions.push(Action::Call { call, rpc: Rpc::Range(range) });
        actions.push(Action::Send { call: watch.details.call, request: progress_request() });
    }

    /// Handles the response to the count of keys.
    pub(super) fn count_received(
        &mut self,
        now: Micros,
        call: u64,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), DocumentsError> {
        let response = RangeResponse::decode(bytes).map_err(MessageError::from)?;
        let revision = self.checked_header(response.header)?.revision;
        let State::Watching { watch, .. } = &mut self.state else { return Ok(()) };
        let accepted = watch.details.accepted_at_check;
        if revision < accepted {
            return Err(DocumentsError::MemberBehind { revision, accepted });
        }
        if let Some(check) = watch.check_of_call(call) {
            check.answer = Some(KeyCount { revision, keys: response.count });
        }
        if revision > watch.revision {
            // The progress may have been reported before this revision was committed, so it is requested again.
            actions.push(Action::Send { call: watch.details.call, request: progress_request() });
        }
        self.position.advance(revision);
        self.conclude_check(now)
    }

    /// Ends the check once the watch has reached the revision of the count.
    fn conclude_check(&mut self, now: Micros) -> Result<(), DocumentsError> {
        let keys = self.mirror.documents.len() as i64;
        let State::Watching { watch, .. } = &mut self.state else { return Ok(()) };
        match watch.check_outcome(keys) {
            CheckOutcome::Pending => Ok(()),
            CheckOutcome::CountDiffers { .. } => Err(DocumentsError::CountDiffers),
            CheckOutcome::Consistent { sent } => {
                watch.end_check(now, self.settings.check_interval, &mut self.rng);
                self.confirmed = self.confirmed.max(Some(sent));
                self.rotation.record_success();
                Ok(())
            }
        }
    }
}

/// Returns the error for a watch that the registry has cancelled.
fn cancellation(message: WatchResponse) -> DocumentsError {
    if message.compact_revision != 0 {
        return DocumentsError::Compacted;
    }
    DocumentsError::CallFailed(Status::new(code::UNAVAILABLE, message.cancel_reason))
}

fn progress_request() -> WatchRequest {
    WatchRequest { request: Some(watch_request::Request::Progress(WatchProgressRequest {})) }
}
