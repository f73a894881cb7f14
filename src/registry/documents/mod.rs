//! Durable documents under a key prefix of the registry: a mirror of all documents, and transactions that change them.
//!
//! A state machine without clock and sockets: [`driver`] passes in the events and executes the returned [`Action`]s.
//! `listing` and `watching` keep the `mirror` current; `calls` handles transactions and lease operations.
//!
//! ```text
//!         pause over           dialed               all pages
//!  Backoff ------> Dialing ------------> Listing ------------> Watching, calls are sent
//!     ^               |                     |                     |
//!     +---------------+---------------------+---------------------+ lost, timed out, inconsistent
//! ```
//!
//! Invariants:
//!
//! - The mirror never goes back to an older revision, and only shows states that the registry has had. A list is applied
//!   only as a whole, as of one revision, and only if that revision is not older than any accepted one of the cluster.
//!   Changes are applied one revision at a time, each exactly once.
//! - No missed change goes undetected. The number of keys and the progress of the watch are checked regularly; any
//!   difference closes the connection, and a new list is read. The last valid mirror is kept until then, and
//!   [`Documents::confirmed`] tells its age.
//! - No transaction is sent twice: the owner decides whether to repeat a transaction.

mod calls;
pub mod driver;
mod error;
mod listing;
mod mirror;
mod outputs;
mod settings;
#[cfg(test)]
mod tests;
mod transaction;
mod watching;

pub use calls::{Caller, Outcome, Reply, Request};
pub use error::DocumentsError;
pub use mirror::{Changes, Document};
pub use outputs::{Action, Counters, FollowPhase, Notice, Rpc};
pub use settings::Settings;
pub use transaction::{Condition, Transaction};

use super::answers::MessageError;
use super::connection::endpoints::{EndpointRotation, RetryPauses};
use super::connection::position::Position;
use super::connection::{Connection, ConnectionState, LostPhase};
use super::keys::range_end;
use super::messages::{Event, RangeRequest, ResponseHeader};
use super::status::{code, Status};
use crate::routing::events::Micros;
use calls::{decode_reply, is_rejected, CallKind, Calls};
use listing::List;
use mirror::Mirror;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use watching::WatchCall;

type WatchState = super::connection::consistency::WatchState<Event, i64, WatchCall>;
type State = ConnectionState<List, WatchState>;

/// The documents as mirrored by one instance.
#[derive(Clone, Debug)]
pub struct Documents {
    settings: Settings,
    rng: Pcg32,
    rotation: EndpointRotation,
    state: State,
    /// Cluster and latest revision accepted.
    position: Position<i64>,
    mirror: Mirror,
    /// Latest time at which the mirror is known to have been current.
    confirmed: Option<Micros>,
    calls: Calls,
    /// Last id given to a connection or call.
    last_id: u64,
    counters: Counters,
}

impl Documents {
    /// Creates an empty mirror whose first dial is due at `now`. `seed` initializes the random number generator.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        Documents {
            rotation: EndpointRotation::shuffled(settings.endpoints, &mut rng),
            rng,
            state: State::Backoff { until: now },
            position: Position::default(),
            mirror: Mirror::default(),
            confirmed: None,
            calls: Calls::default(),
            last_id: 0,
            counters: Counters::default(),
            settings,
        }
    }

    /// Returns the document with this key, which is without the prefix.
    pub fn get(&self, key: &str) -> Option<&Document> {
        self.mirror.documents.get(key.as_bytes())
    }

    /// Returns all documents whose keys begin with `prefix`, in ascending order. Keys that are not UTF-8 are skipped.
    pub fn with_prefix<'a>(&'a self, prefix: &str) -> impl Iterator<Item = (&'a str, &'a Document)> + 'a {
        self.mirror.with_prefix(prefix)
    }

    /// Returns the revision of the documents; 0 before the first list.
    pub fn revision(&self) -> i64 {
        self.mirror.revision
    }

    /// Returns the latest time at which the documents are known to have been current.
    pub fn confirmed(&self) -> Option<Micros> {
        self.confirmed
    }

    /// Whether the documents were confirmed recently: at most two check intervals and a check timeout ago.
    pub fn is_current(&self, now: Micros) -> bool {
        let max_age = 2 * self.settings.check_interval + self.settings.check_timeout;
        self.confirmed.is_some_and(|confirmed| now.saturating_sub(confirmed) <= max_age)
    }

    /// Returns the keys that have changed since the last call of this method.
    pub fn take_changes(&mut self) -> Changes {
        self.mirror.take_changes()
    }

    /// Returns the replies since the last call of this method. Each accepted call gets exactly one reply.
    pub fn take_replies(&mut self) -> impl Iterator<Item = (Caller, Reply)> + '_ {
        self.calls.take_replies()
    }

    /// Whether there are replies to take.
    pub fn has_replies(&self) -> bool {
        self.calls.has_replies()
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        Counters { calls: self.calls.sent_count, unknown: self.calls.unknown_count, ..self.counters }
    }

    /// Returns the number of documents and their total size, in bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.mirror.documents.len(), self.mirror.bytes)
    }

    /// Whether a complete list was applied and its changes are being watched.
    pub fn is_watching(&self) -> bool {
        self.state.is_watching()
    }

    /// Returns the phase of the connection.
    pub fn phase(&self) -> FollowPhase {
        match &self.state {
            State::Backoff { .. } => FollowPhase::Disconnected,
            State::Dialing { .. } => FollowPhase::Dialing,
            State::Listing { .. } => FollowPhase::Listing,
            State::Watching { watch, .. } if !watch.created => FollowPhase::Listing,
            State::Watching { watch, .. } => watch
                .check
                .as_ref()
                .map_or(FollowPhase::Watching, |check| FollowPhase::Checking { sent: check.sent }),
        }
    }

    /// Time at which the next tick is due without further input.
    pub fn next_due(&self) -> Micros {
        self.state.due(self.settings.check_timeout).min(self.calls.due())
    }

    /// Accepts a call, which is sent as soon as the watch is open.
    ///
    /// # Errors
    /// The call is not accepted and gets no reply if too many calls are pending, if its id is in use, or if the registry
    /// would reject the transaction.
    pub fn submit(
        &mut self,
        now: Micros,
        caller: Caller,
        request: Request,
        actions: &mut Vec<Action>,
    ) -> Result<(), DocumentsError> {
        let deadline = now.saturating_add(self.settings.answer_timeout);
        self.calls.accept(caller, request, deadline, self.settings.max_calls)?;
        self.send_calls(now, actions);
        Ok(())
    }

    /// Ends the calls that were not sent in time. Must run before received messages are handled, because those may cause
    /// waiting calls to be sent, and a planner's late call could be executed after its lease has expired.
    pub fn expire_waiting_calls(&mut self, now: Micros) {
        self.calls.expire_waiting(now);
    }

    /// Handles all timeouts that are due.
    pub fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if now < self.next_due() {
            return;
        }
        let expired = self.calls.expire(now);
        actions.extend(expired.into_iter().map(|call| Action::Cancel { call }));
        if now < self.state.due(self.settings.check_timeout) {
            return;
        }
        match &self.state {
            State::Backoff { .. } => self.dial(now, actions),
            State::Dialing { .. } => self.disconnect(now, DocumentsError::Unreachable, actions),
            State::Watching { watch, .. } if watch.created && watch.check.is_none() => {
                self.begin_check(now, actions);
            }
            State::Listing { .. } | State::Watching { .. } => {
                self.disconnect(now, DocumentsError::TimedOut, actions);
            }
        }
    }

    /// Handles a successful dial: requests the first page of a list.
    pub fn dialed(&mut self, now: Micros, connection: u64, actions: &mut Vec<Action>) {
        if let Some(connection) = self.state.dialing(connection) {
            let list = Box::new(List::new(now, &self.settings));
            self.state = State::Listing { connection, until: 0, list };
            self.request_page(now, actions);
        }
    }

    /// Handles a lost connection or a failed dial.
    pub fn lost(&mut self, now: Micros, connection: u64, actions: &mut Vec<Action>) {
        let error = match self.state.lost_phase(connection) {
            Some(LostPhase::Dialing) => DocumentsError::Unreachable,
            Some(LostPhase::Open) => DocumentsError::ConnectionLost,
            None => return,
        };
        self.disconnect(now, error, actions);
    }

    /// Handles a message of a call. Invalid bytes close the connection.
    pub fn message_received(&mut self, now: Micros, call: u64, bytes: &[u8], actions: &mut Vec<Action>) {
        let handled = if let Some(kind) = self.calls.kind(call) {
            self.reply_received(call, kind, bytes)
        } else {
            match &self.state {
                State::Listing { list, .. } if list.awaits(call) => self.page_received(now, bytes, actions),
                State::Watching { watch, .. } if watch.details.call == call => {
                    self.watch_message_received(now, bytes, actions)
                }
                State::Watching { watch, .. } if watch.awaits_check(call) => {
                    self.count_received(now, call, bytes, actions)
                }
                _ => Ok(()), // The call was abandoned.
            }
        };
        if let Err(error) = handled {
            self.disconnect(now, error, actions);
        }
    }

    /// Handles the end of a call.
    pub fn call_ended(&mut self, now: Micros, call: u64, status: Status, actions: &mut Vec<Action>) {
        if self.calls.kind(call).is_some() {
            let outcome = if is_rejected(&status) {
                actions.push(Action::Notify(Notice::Rejected(status)));
                Outcome::NotSent
            } else {
                Outcome::Unknown
            };
            return self.calls.finish(call, Reply::Outcome(outcome));
        }
        let error = match &mut self.state {
            State::Listing { list, .. } if list.awaits(call) => match status.code {
                code::OUT_OF_RANGE => DocumentsError::Compacted,
                code::RESOURCE_EXHAUSTED if list.halve_page() => return self.request_page(now, actions),
                _ => DocumentsError::CallFailed(status),
            },
            State::Watching { watch, .. } if watch.details.call == call || watch.awaits_answer(call) => {
                DocumentsError::CallFailed(status)
            }
            _ => return,
        };
        self.disconnect(now, error, actions);
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Returns a request for all keys with the prefix.
    fn prefix_range(&self) -> RangeRequest {
        RangeRequest {
            key: self.settings.prefix.clone().into_bytes(),
            range_end: range_end(self.settings.prefix.as_bytes()),
            ..RangeRequest::default()
        }
    }

    /// Sends the waiting calls if the watch is open.
    fn send_calls(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.is_watching() {
            return;
        }
        let deadline = now.saturating_add(self.settings.answer_timeout);
        while self.calls.has_waiting() {
            let call = self.next_id();
            let rpc = self.calls.send_next(call, deadline, &self.settings.prefix);
            actions.extend(rpc.map(|rpc| Action::Call { call, rpc }));
        }
    }

    /// Handles the response to a transaction or lease call.
    fn reply_received(&mut self, call: u64, kind: CallKind, bytes: &[u8]) -> Result<(), DocumentsError> {
        let (header, reply) = decode_reply(kind, bytes)?;
        // A response from another cluster, or without a cluster, says nothing about the call, whose result stays unknown.
        let header = self.checked_header(header)?;
        self.position.advance(header.revision);
        self.calls.finish(call, reply);
        Ok(())
    }

    /// Returns the header of a response if it has a revision and is from the cluster of the mirror.
    fn checked_header(&self, header: Option<ResponseHeader>) -> Result<ResponseHeader, DocumentsError> {
        let header = header.filter(|header| header.revision > 0).ok_or(MessageError::MissingRevision)?;
        match self.position.other_cluster(header.cluster_id) {
            Some(followed) => Err(DocumentsError::OtherCluster { cluster: header.cluster_id, followed }),
            None => Ok(header),
        }
    }

    fn dial(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.rotation.next_endpoint() else {
            self.state = State::Backoff { until: Micros::MAX };
            return;
        };
        self.counters.dials += 1;
        let connection = Connection { id: self.next_id(), endpoint };
        self.state = State::Dialing { connection, until: now.saturating_add(self.settings.dial_timeout) };
        actions.push(Action::Dial { connection: connection.id, endpoint });
    }

    /// Closes the connection and pauses before the next dial. The results of the calls sent on the connection become
    /// unknown.
    fn disconnect(&mut self, now: Micros, error: DocumentsError, actions: &mut Vec<Action>) {
        let Some(Connection { id, endpoint }) = self.state.connection() else { return };
        actions.push(Action::Disconnect { connection: id });
        self.counters.lost += 1;
        self.calls.abandon_sent();
        let pauses =
            RetryPauses { spread: self.settings.retry_spread, longest: self.settings.max_retry_pause };
        let pause = match error {
            DocumentsError::TooManyDocuments { .. } => pauses.longest,
            _ => self.rotation.backoff(pauses.spread, pauses, &mut self.rng),
        };
        // Only a successful check counts as success, so a registry that accepts connections and then drops them is not
        // flooded with dials.
        self.rotation.record_failure();
        actions.push(Action::Notify(Notice::Disconnected { endpoint, error }));
        self.state = State::Backoff { until: now.saturating_add(pause) };
    }
}
