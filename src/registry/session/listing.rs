//! Reading a list page by page as of one revision, and applying it once it is complete.

use super::endpoint_table::Source;
use super::restore::RestoreTimes;
use super::{Action, ConnectionState, DisconnectReason, Notice, Session, State, WatchNumber, WatchState};
use crate::registry::answers::{Header, KeyEntry, MessageError, Page};
use crate::registry::connection::Connection;
use crate::registry::keys::key_after;
use crate::registry::record::RecordError;
use crate::registry::status::{code, Status};
use crate::routing::events::Micros;

/// Maximum number of times a list is restarted on one connection because its revision was compacted. After that, the
/// next endpoint is dialed.
const MAX_LIST_RESTARTS: u32 = 16;
/// Maximum number of keys of a list that are applied in one turn of the event loop, so that a long list does not delay
/// other work.
const KEYS_PER_TURN: usize = 1_000;

/// A list that is being read or applied.
#[derive(Clone, Debug)]
pub(super) struct List {
    pub(super) connection: Connection,
    /// Number of the call for the current page.
    call: u64,
    /// When reading began, before any restarts; determines the duration in the log.
    began: Micros,
    /// When this list was requested, and thus the time at which the list is known to be current.
    requested: Micros,
    /// The cluster and the revision of all pages; the revision is 0 until the first page has arrived.
    pub(super) header: Header,
    /// The first key of the next page.
    from: Vec<u8>,
    /// Maximum number of keys in the next page; 0 requests one key without its value.
    limit: usize,
    pub(super) entries: Vec<KeyEntry>,
    /// How often the list was restarted on this connection because its revision was compacted.
    restarts: u32,
    /// Whether this is the first list after the registry was restored or replaced.
    pub(super) is_restored: bool,
    application: Option<Application>,
}

/// The progress of applying a complete list.
#[derive(Clone, Debug)]
struct Application {
    remaining: std::vec::IntoIter<KeyEntry>,
    /// Number of keys in the list.
    keys: usize,
    /// Number of updates of the list of endpoints so far.
    changes: usize,
}

/// How the state that an endpoint reports compares with the accepted one.
enum StateComparison {
    /// The state is no older than the accepted one.
    Current,
    /// The registry was restored or replaced.
    Restored,
    /// The state is older or of another cluster, without evidence of a restore.
    Rejected,
}

impl List {
    /// Creates a list that has not been restarted.
    pub(super) fn first(connection: Connection, now: Micros) -> Self {
        List {
            connection,
            call: 0,
            began: now,
            requested: now,
            header: Header::default(),
            from: Vec::new(),
            limit: 0,
            entries: Vec::new(),
            restarts: 0,
            is_restored: false,
            application: None,
        }
    }

    /// Creates the list that replaces this one on the same connection after its revision was compacted.
    fn restarted(&self, now: Micros) -> Self {
        let restarts = self.restarts + 1;
        List { began: self.began, restarts, ..List::first(self.connection, now) }
    }

    /// Returns whether this call is for the current page.
    pub(super) fn awaits(&self, call: u64) -> bool {
        self.call == call
    }

    /// Returns whether all pages have arrived and some entries are not applied yet.
    pub(super) fn is_being_applied(&self) -> bool {
        self.application.is_some()
    }
}

impl Session {
    /// Cancels the watch, if any, and requests the first page of a list.
    pub(super) fn start_list(&mut self, now: Micros, mut list: List, actions: &mut Vec<Action>) {
        if let State::Watching { watch, .. } = &self.state {
            actions.push(Action::CancelWatch { watch: watch.details.0 });
        }
        list.from = self.settings.prefix.clone().into_bytes();
        list.limit = self.settings.page_size;
        self.state = State::Listing { connection: list.connection, until: 0, list: Box::new(list) };
        self.request_page(now, actions);
    }

    fn request_page(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let call = self.next_number();
        let State::Listing { until, list, .. } = &mut self.state else { return };
        list.call = call;
        *until = now + self.settings.answer_timeout;
        actions.push(Action::List {
            call,
            from: list.from.clone(),
            revision: list.header.revision,
            limit: list.limit.max(1),
            keys_only: list.limit == 0,
        });
    }

    /// Handles a failed call for a page: restarts a compacted list, requests a smaller page if the page was too large,
    /// and closes the connection otherwise.
    pub(super) fn page_failed(&mut self, now: Micros, status: Status, actions: &mut Vec<Action>) {
        let State::Listing { list, .. } = &mut self.state else { return };
        let revision = list.header.revision;
        if status.code == code::OUT_OF_RANGE && revision > 0 {
            if list.restarts >= MAX_LIST_RESTARTS {
                return self.give_up(now, DisconnectReason::Compacted, actions);
            }
            let restarted = list.restarted(now);
            actions.push(Action::Notify(Notice::Compacted { revision }));
            return self.start_list(now, restarted, actions);
        }
        if status.code == code::RESOURCE_EXHAUSTED && list.limit > 0 {
            // The page is too large. If it holds a single key, the key is requested without its value.
            list.limit /= 2;
            return self.request_page(now, actions);
        }
        self.give_up(now, DisconnectReason::CallFailed(status), actions);
    }

    /// Handles a page: adds its entries to the list, then requests the next page or applies the complete list.
    pub fn page_received(&mut self, now: Micros, call: u64, page: Page, actions: &mut Vec<Action>) {
        let State::Listing { list, .. } = &self.state else { return };
        if !list.awaits(call) {
            return;
        }
        let has_more = page.more;
        if let Err(reason) = self.take_page(now, page, actions) {
            return self.give_up(now, reason, actions);
        }
        let State::Listing { list, .. } = &mut self.state else { return };
        match list.entries.last() {
            Some(last) if has_more => {
                list.from = key_after(&last.key);
                self.request_page(now, actions);
            }
            None if has_more => {
                let error = MessageError::EmptyPage;
                self.give_up(now, DisconnectReason::InvalidMessage(error), actions);
            }
            _ => self.complete_list(now, actions),
        }
    }

    /// Checks a page, adds its entries to the list and adjusts the size of the next page.
    fn take_page(
        &mut self,
        now: Micros,
        mut page: Page,
        actions: &mut Vec<Action>,
    ) -> Result<(), DisconnectReason> {
        self.check_page_header(now, page.header, actions)?;
        let State::Listing { list, .. } = &mut self.state else { return Ok(()) };
        let revision = list.header.revision;
        if revision == 0 || page.entries.iter().any(|entry| entry.mod_revision > revision) {
            return Err(DisconnectReason::InvalidMessage(MessageError::KeyNewerThanList));
        }
        let max_keys = self.settings.max_keys;
        let keys = page.count.max((list.entries.len() + page.entries.len()) as u64);
        if keys > max_keys as u64 {
            actions.push(Action::Notify(Notice::TooManyKeys { keys, max_keys }));
            return Err(DisconnectReason::TooManyKeys);
        }
        if list.limit == 0 {
            let mark_unreadable = |entry: &mut KeyEntry| entry.endpoint = Err(RecordError::ExceedsMessage);
            page.entries.iter_mut().for_each(mark_unreadable);
            list.limit = 1;
        } else {
            list.limit = (list.limit * 2).min(self.settings.page_size);
        }
        list.entries.append(&mut page.entries);
        Ok(())
    }

    /// Pins the list to the cluster and revision of its first page, and checks that no later page is older or of
    /// another cluster.
    fn check_page_header(
        &mut self,
        now: Micros,
        header: Header,
        actions: &mut Vec<Action>,
    ) -> Result<(), DisconnectReason> {
        let State::Listing { connection, list, .. } = &self.state else { return Ok(()) };
        let pinned = list.header;
        if pinned.revision == 0 {
            let is_restored = match self.compare_state(now, connection.endpoint, header, actions) {
                StateComparison::Current => false,
                StateComparison::Restored => true,
                StateComparison::Rejected => return Err(DisconnectReason::StateRejected),
            };
            let State::Listing { list, .. } = &mut self.state else { return Ok(()) };
            (list.header, list.is_restored) = (header, is_restored);
        } else if header.revision < pinned.revision || header.cluster != pinned.cluster {
            return Err(DisconnectReason::InvalidMessage(MessageError::PageOlderThanList));
        }
        Ok(())
    }

    /// Compares the state that an endpoint reports with the accepted one. Reports a state that is not accepted as a
    /// notice.
    fn compare_state(
        &mut self,
        now: Micros,
        endpoint: usize,
        header: Header,
        actions: &mut Vec<Action>,
    ) -> StateComparison {
        #[cfg(test)]
        if self.fault == Some(super::Fault::AcceptsOldLists) {
            return StateComparison::Current;
        }
        let Header { cluster, revision } = header;
        if self.position.accepts(cluster, revision) {
            self.restore_detector.clear();
            return StateComparison::Current;
        }
        self.counters.doubted += 1;
        let accepted = self.position.revision;
        let is_same_cluster = self.position.other_cluster(cluster).is_none();
        let times = RestoreTimes {
            confirmation: self.settings.restore_confirmation,
            longest_pause: self.settings.max_retry_pause,
        };
        if self.restore_detector.observe(now, endpoint, header, is_same_cluster, times) {
            actions.push(Action::Notify(Notice::Restored { cluster, revision, accepted }));
            self.restore_detector.clear();
            return StateComparison::Restored;
        }
        actions.push(Action::Notify(if is_same_cluster {
            Notice::MemberBehind { endpoint, revision, accepted }
        } else {
            Notice::OtherCluster { endpoint, cluster }
        }));
        StateComparison::Rejected
    }

    /// Begins to apply the list, all pages of which have arrived.
    fn complete_list(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let State::Listing { until, list, .. } = &mut self.state else { return };
        let remaining = std::mem::take(&mut list.entries).into_iter();
        list.application = Some(Application { keys: remaining.len(), remaining, changes: 0 });
        *until = now;
        let is_restored = list.is_restored;
        self.table.begin_list(is_restored);
        self.apply_list(now, actions);
    }

    /// Applies the next batch of entries. After the last batch, removes the keys that the list lacks and watches for
    /// changes after its revision.
    pub(super) fn apply_list(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let State::Listing { list, .. } = &mut self.state else { return };
        let Some(mut application) = list.application.take() else { return };
        let (revision, source) = (list.header.revision, self.list_source());
        let updates_before = self.table.updates().len();
        for entry in application.remaining.by_ref().take(KEYS_PER_TURN) {
            if self.table.is_change(&entry, source) {
                self.report_unreadable(&entry, actions);
            }
            self.table.put_listed(entry, source);
        }
        let is_done = application.remaining.len() == 0;
        if is_done {
            self.remove_unlisted(revision);
        }
        application.changes += self.table.updates().len() - updates_before;
        let State::Listing { list, .. } = &mut self.state else { return };
        if is_done {
            self.finish_list(now, application, actions);
        } else {
            list.application = Some(application);
        }
    }

    /// Returns the origin of the entries of the current list.
    fn list_source(&self) -> Source {
        match &self.state {
            State::Listing { list, .. } if list.is_restored => Source::RestoredList,
            _ if self.position.cluster.is_none() => Source::FirstList,
            _ => Source::Update,
        }
    }

    fn remove_unlisted(&mut self, revision: u64) {
        #[cfg(test)]
        if self.fault == Some(super::Fault::KeepsRemovedEndpoints) {
            return;
        }
        self.table.end_list(revision);
    }

    /// Accepts the cluster and revision of the applied list and creates a watch from the next revision.
    fn finish_list(&mut self, now: Micros, application: Application, actions: &mut Vec<Action>) {
        let State::Listing { connection, list, .. } = &self.state else { return };
        let (connection, Header { cluster, revision }) = (*connection, list.header);
        let took = now.saturating_sub(list.began);
        self.confirmed = Some(list.requested);
        self.position.cluster = Some(cluster);
        if list.is_restored {
            self.position.revision = revision;
        } else {
            self.position.advance(revision);
        }
        self.exceeds_max_keys = false;
        self.rotation.record_success();
        self.counters.lists += 1;
        let Application { keys, changes, .. } = application;
        actions.push(Action::Notify(Notice::ListTaken { revision, keys, changes, took }));
        let number = self.next_number() as i64;
        actions.push(Action::Watch { watch: number, revision: self.first_watched_revision(revision) });
        let watch = Box::new(WatchState::requested(revision, now, WatchNumber(number)));
        self.state = ConnectionState::Watching { connection, watch };
    }

    /// Returns the first revision that the watch after a list at revision `listed` must report.
    fn first_watched_revision(&self, listed: u64) -> u64 {
        #[cfg(test)]
        if self.fault == Some(super::Fault::WatchesTooLate) {
            return listed + 2;
        }
        listed + 1
    }
}
