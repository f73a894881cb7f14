//! Durable documents below a prefix of the registry: a mirror of all of them, and transactions that change them.
//!
//! A state machine without clock and sockets: its owner, [`driver`], tells it what has happened and carries out the
//! [`Action`]s that it returns. `listing` and `watching` keep the `mirror` current, `calls` has the owner's
//! transactions and leases.
//!
//! ```text
//!          rested              dialed               all pages
//!  Backoff ------> Dialing ------------> Listing ------------> Watching, calls are sent
//!     ^               |                     |                     |
//!     +---------------+---------------------+---------------------+ lost, timed out, inconsistent
//! ```
//!
//! Invariants:
//!
//! - The mirror never goes back, and never shows what the registry never had. A list is applied only whole, as of one
//!   revision, and only if that is no older than any that was accepted of this cluster. Changes are applied revision by
//!   revision, each once.
//! - No change is missed unnoticed. The count of keys and the watch's progress are asked for again and again; any
//!   difference ends the connection, and a new list is read. Until then the last good mirror stays, and
//!   [`Documents::confirmed`] tells its age.
//! - No transaction is sent twice: whether it is repeated is the owner's decision.

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

/// The documents, as one instance knows them.
#[derive(Clone, Debug)]
pub struct Documents {
    settings: Settings,
    rng: Pcg32,
    rotation: EndpointRotation,
    state: State,
    /// The latest state that was accepted.
    position: Position<i64>,
    mirror: Mirror,
    /// As of when the mirror was last known to be current.
    confirmed: Option<Micros>,
    calls: Calls,
    last_number: u64,
    counters: Counters,
}

impl Documents {
    /// Follows none yet, with random numbers from `seed`.
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
            last_number: 0,
            counters: Counters::default(),
            settings,
        }
    }

    /// A document, by its key below the prefix.
    pub fn get(&self, key: &str) -> Option<&Document> {
        self.mirror.documents.get(key.as_bytes())
    }

    /// All documents whose keys begin with `prefix`, in order, without those whose keys are no text.
    pub fn with_prefix<'a>(&'a self, prefix: &str) -> impl Iterator<Item = (&'a str, &'a Document)> + 'a {
        self.mirror.with_prefix(prefix)
    }

    /// The revision that the documents are of; 0: none were listed yet.
    pub fn revision(&self) -> i64 {
        self.mirror.revision
    }

    /// As of when the documents were last known to be current.
    pub fn confirmed(&self) -> Option<Micros> {
        self.confirmed
    }

    /// Whether they were confirmed recently: two checks and a check's timeout ago at most.
    pub fn is_current(&self, now: Micros) -> bool {
        let max_age = 2 * self.settings.check_interval + self.settings.check_timeout;
        self.confirmed.is_some_and(|confirmed| now.saturating_sub(confirmed) <= max_age)
    }

    /// Keys that have changed since the last call of this.
    pub fn take_changes(&mut self) -> Changes {
        self.mirror.take_changes()
    }

    /// Replies to calls since the last call of this. Each accepted call gets exactly one.
    pub fn take_replies(&mut self) -> impl Iterator<Item = (Caller, Reply)> + '_ {
        self.calls.take_replies()
    }

    /// Whether replies wait to be taken.
    pub fn has_replies(&self) -> bool {
        self.calls.has_replies()
    }

    /// The counters.
    pub fn counters(&self) -> Counters {
        Counters { calls: self.calls.sent_count, unknown: self.calls.unknown_count, ..self.counters }
    }

    /// How many documents there are, and their bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.mirror.documents.len(), self.mirror.bytes)
    }

    /// Whether a whole list was taken and is being followed.
    pub fn is_watching(&self) -> bool {
        self.state.is_watching()
    }

    /// How far the connection is.
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

    /// When something is due without any input.
    pub fn next_due(&self) -> Micros {
        self.state.due(self.settings.check_timeout).min(self.calls.due())
    }

    /// Accepts a call; it is sent as soon as the registry is followed.
    ///
    /// # Errors
    /// It was not accepted, and gets no reply: too many wait, its number is in use, or the registry would not take it.
    pub fn submit(
        &mut self,
        now: Micros,
        caller: Caller,
        request: Request,
        actions: &mut Vec<Action>,
    ) -> Result<(), DocumentsError> {
        let until = now.saturating_add(self.settings.answer_timeout);
        self.calls.accept(caller, request, until, self.settings.max_calls)?;
        self.send_calls(now, actions);
        Ok(())
    }

    /// Ends the calls that have waited too long for being sent, before what has arrived lets any go out: a planner's might
    /// be carried out after its lease.
    pub fn expire_waiting_calls(&mut self, now: Micros) {
        self.calls.expire_waiting(now);
    }

    /// Time has passed.
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
            State::Dialing { .. } => self.give_up(now, DocumentsError::Unreachable, actions),
            State::Watching { watch, .. } if watch.created && watch.check.is_none() => {
                self.begin_check(now, actions);
            }
            State::Listing { .. } | State::Watching { .. } => {
                self.give_up(now, DocumentsError::TimedOut, actions);
            }
        }
    }

    /// A dial has succeeded.
    pub fn dialed(&mut self, now: Micros, connection: u64, actions: &mut Vec<Action>) {
        if let Some(connection) = self.state.dialing(connection) {
            let list = Box::new(List::new(now, &self.settings));
            self.state = State::Listing { connection, until: 0, list };
            self.request_page(now, actions);
        }
    }

    /// A connection was lost, or a dial failed.
    pub fn lost(&mut self, now: Micros, connection: u64, actions: &mut Vec<Action>) {
        let error = match self.state.lost_phase(connection) {
            Some(LostPhase::Dialing) => DocumentsError::Unreachable,
            Some(LostPhase::Open) => DocumentsError::ConnectionLost,
            None => return,
        };
        self.give_up(now, error, actions);
    }

    /// A message has arrived on a call. Any bytes are handled.
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
                _ => Ok(()), // Of a call that was given up.
            }
        };
        if let Err(error) = handled {
            self.give_up(now, error, actions);
        }
    }

    /// A call has ended.
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
        self.give_up(now, error, actions);
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// A request for all keys below the prefix.
    fn range(&self) -> RangeRequest {
        RangeRequest {
            key: self.settings.prefix.clone().into_bytes(),
            range_end: range_end(self.settings.prefix.as_bytes()),
            ..RangeRequest::default()
        }
    }

    /// Sends the calls that wait, if the registry is followed.
    fn send_calls(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.is_watching() {
            return;
        }
        let until = now.saturating_add(self.settings.answer_timeout);
        while self.calls.has_waiting() {
            let call = self.next_number();
            let rpc = self.calls.send_next(call, until, &self.settings.prefix);
            actions.extend(rpc.map(|rpc| Action::Call { call, rpc }));
        }
    }

    /// The answer to one of the owner's calls has arrived.
    fn reply_received(&mut self, call: u64, kind: CallKind, bytes: &[u8]) -> Result<(), DocumentsError> {
        let (header, reply) = decode_reply(kind, bytes)?;
        // An answer of another cluster, or of none, says nothing about ours: the call stays without one.
        let header = self.checked_header(header)?;
        self.position.advance(header.revision);
        self.calls.finish(call, reply);
        Ok(())
    }

    /// The header of an answer, if it has a revision and is of the cluster that is followed.
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
        let connection = Connection { id: self.next_number(), endpoint };
        self.state = State::Dialing { connection, until: now.saturating_add(self.settings.dial_timeout) };
        actions.push(Action::Dial { connection: connection.id, endpoint });
    }

    /// Closes the connection and rests before the next dial. Calls that were sent on it may have happened.
    fn give_up(&mut self, now: Micros, error: DocumentsError, actions: &mut Vec<Action>) {
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
        // Only a successful check counts as success, so a registry that accepts connections and drops them is not
        // flooded.
        self.rotation.record_failure();
        actions.push(Action::Notify(Notice::Disconnected { endpoint, error }));
        self.state = State::Backoff { until: now.saturating_add(pause) };
    }
}
