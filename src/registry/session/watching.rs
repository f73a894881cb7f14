//! Following the changes after a list, and checking that no change was missed.

use super::endpoint_table::Source;
use super::listing::List;
use super::{Action, DisconnectReason, Notice, RelistReason, Session, State};
use crate::registry::answers::{Event, Header, MessageError, WatchMessage};
use crate::registry::connection::consistency::{CheckOutcome, KeyCount};
use crate::registry::status::{code, Status};
use crate::routing::events::Micros;

impl Session {
    /// Handles a message of a watch: applies its events once the last fragment has arrived.
    pub fn watch_message(&mut self, now: Micros, message: WatchMessage, actions: &mut Vec<Action>) {
        let State::Watching { watch, .. } = &mut self.state else { return };
        if message.watch != watch.details.0 && message.watch != -1 {
            return; // A late message of a cancelled watch.
        }
        if self.position.cluster != Some(message.header.cluster) {
            return self.reject_message(now, MessageError::OtherClusterOnWatch, actions);
        }
        if message.cancelled {
            return self.watch_cancelled(now, message, actions);
        }
        watch.created |= message.created;
        let header_revision = message.header.revision;
        let reports_progress =
            message.events.is_empty() && !message.created && !message.fragment && watch.fragments.is_empty();
        watch.fragments.extend(message.events);
        if watch.fragments.len() > self.settings.max_keys {
            return self.relist(now, RelistReason::TooManyEvents, actions);
        }
        if message.fragment {
            return;
        }
        let events = std::mem::take(&mut watch.fragments);
        let latest = events.iter().map(Event::revision).max().unwrap_or(0);
        if latest > header_revision {
            return self.reject_message(now, MessageError::EventNewerThanHeader, actions);
        }
        if !self.apply_events(events, actions) {
            return self.relist(now, RelistReason::EventOutOfOrder, actions);
        }
        let State::Watching { watch, .. } = &mut self.state else { return };
        let progress = if reports_progress && watch.created { header_revision } else { 0 };
        watch.revision = watch.revision.max(latest).max(progress);
        self.position.advance(watch.revision);
        self.conclude_check(now, actions);
    }

    /// Handles the end of the watch stream. If a message was too large, reads a new list, which comes in pages.
    pub fn watch_ended(&mut self, now: Micros, status: Status, actions: &mut Vec<Action>) {
        if !matches!(self.state, State::Watching { .. }) {
            return;
        }
        if status.code == code::RESOURCE_EXHAUSTED {
            return self.relist(now, RelistReason::WatchMessageTooLarge, actions);
        }
        self.give_up(now, DisconnectReason::CallFailed(status), actions);
    }

    /// Handles the registry's cancellation of the watch: reads a new list if the watch revision was compacted, and closes
    /// the connection otherwise.
    fn watch_cancelled(&mut self, now: Micros, message: WatchMessage, actions: &mut Vec<Action>) {
        if message.compact_revision == 0 {
            let status = Status::new(code::UNAVAILABLE, message.cancel_reason);
            return self.give_up(now, DisconnectReason::CallFailed(status), actions);
        }
        let State::Watching { connection, watch } = &mut self.state else { return };
        #[cfg(test)]
        if self.fault == Some(super::Fault::IgnoresCompaction) {
            let number = watch.details.0 + 1_000;
            (watch.details.0, watch.revision) = (number, message.compact_revision);
            return actions.push(Action::Watch { watch: number, revision: message.compact_revision });
        }
        let (connection, revision) = (*connection, watch.revision);
        actions.push(Action::Notify(Notice::Compacted { revision }));
        self.start_list(now, List::first(connection, now), actions);
    }

    /// Reads a new list on the same connection.
    fn relist(&mut self, now: Micros, reason: RelistReason, actions: &mut Vec<Action>) {
        let Some(connection) = self.state.connection() else { return };
        actions.push(Action::Notify(Notice::Relisting(reason)));
        self.start_list(now, List::first(connection, now), actions);
    }

    /// Closes the connection because of a message that violates the protocol.
    fn reject_message(&mut self, now: Micros, error: MessageError, actions: &mut Vec<Action>) {
        self.give_up(now, DisconnectReason::InvalidMessage(error), actions);
    }

    /// Applies events in order. Returns `false` if the order of an event relative to the applied changes can't be
    /// determined; a new list is then required.
    fn apply_events(&mut self, events: Vec<Event>, actions: &mut Vec<Action>) -> bool {
        let State::Watching { watch, .. } = &self.state else { return true };
        let applied = watch.revision;
        events.into_iter().all(|event| self.apply_event(event, applied, actions))
    }

    /// Applies one event, given that all changes up to the revision `applied` were applied. Returns `false` if the order
    /// of the event relative to them can't be determined.
    fn apply_event(&mut self, event: Event, applied: u64, actions: &mut Vec<Action>) -> bool {
        let revision = event.revision();
        let latest = self.table.latest_revision(event.key());
        if latest.is_some_and(|latest| latest >= revision) {
            self.counters.repeated += 1;
            return true;
        }
        let is_known = self.table.contains(event.key());
        match event {
            Event::Delete { .. } if !is_known => return true,
            Event::Delete { key, .. } => self.table.delete(&key, revision),
            // An unknown key with a change that should already have been applied: the key may have been deleted since,
            // by a deletion that is no longer remembered.
            Event::Put(_) if latest.is_none() && revision <= applied => return self.exceeds_max_keys,
            Event::Put(_) if !is_known && self.table.len() >= self.settings.max_keys => {
                self.notify_too_many_keys(actions);
                return true;
            }
            Event::Put(entry) => {
                self.table.deletions.remove(&entry.key);
                self.report_unreadable(&entry, actions);
                self.table.put(entry, Source::Update);
            }
        }
        self.counters.changes += 1;
        true
    }

    /// Reports that new keys are left out, at most once per list.
    fn notify_too_many_keys(&mut self, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.exceeds_max_keys, true) {
            let max_keys = self.settings.max_keys;
            actions.push(Action::Notify(Notice::TooManyKeys { keys: max_keys as u64 + 1, max_keys }));
        }
    }

    /// Begins a consistency check: requests the count of keys and the progress of the watch.
    pub(super) fn begin_check(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let call = self.next_number();
        let State::Watching { watch, .. } = &mut self.state else { return };
        watch.begin_check(call, now);
        actions.push(Action::Count { call });
        actions.push(Action::RequestProgress);
    }

    /// Handles the response to a count of keys.
    pub fn count_received(
        &mut self,
        now: Micros,
        call: u64,
        header: Header,
        keys: u64,
        actions: &mut Vec<Action>,
    ) {
        let State::Watching { watch, .. } = &mut self.state else { return };
        let Some(check) = watch.check_of_call(call) else { return };
        if !self.position.accepts(header.cluster, header.revision) {
            return self.give_up(now, DisconnectReason::StateRejected, actions);
        }
        check.answer = Some(KeyCount { revision: header.revision, keys });
        self.position.advance(header.revision);
        if header.revision > watch.revision {
            // The progress may have been reported before this revision was committed.
            actions.push(Action::RequestProgress);
        }
        self.conclude_check(now, actions);
    }

    /// Ends the check once the watch has reached the revision of the count; reads a new list if the counts differ.
    fn conclude_check(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let keys = self.table.len() as u64;
        let State::Watching { watch, .. } = &mut self.state else { return };
        let outcome = watch.check_outcome(keys);
        let (CheckOutcome::Consistent { sent } | CheckOutcome::CountDiffers { sent }) = outcome else {
            return;
        };
        watch.end_check(now, self.settings.check_interval, &mut self.rng);
        self.confirmed = self.confirmed.max(Some(sent));
        if matches!(outcome, CheckOutcome::CountDiffers { .. }) && !self.exceeds_max_keys {
            self.relist(now, RelistReason::CountDiffers, actions);
        }
    }
}
