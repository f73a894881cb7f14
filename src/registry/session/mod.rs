//! The session with the registry that lists the endpoints. The session decides which member to send which request,
//! whether a response is current, and which updates of the list of endpoints result.
//!
//! The session is a state machine without clock, sockets or parser. Its owner, [`super::driver`], passes in each event
//! and performs the [`Action`]s that the session returns. `listing` reads lists, `watching` follows changes.
//!
//! ```text
//!         pause ends           connected            all pages              compacted, count differs,
//!  Backoff ------> Dialing ------------> Listing ------------> Watching -- event out of order -+
//!     ^               |                     |  ^                  |                            |
//!     |               |                     |  +------------------|----------------------------+
//!     +---------------+---------------------+---------------------+ lost, timed out, rejected
//! ```
//!
//! Invariants:
//!
//! - An endpoint that was drained or removed is never ready once a current list was accepted. A list is applied only
//!   when it is complete, as of one revision, and only if that revision is no older than the latest accepted one; keys
//!   that the list lacks are removed. A change is applied only if it is newer than the latest known change of its key.
//! - A missed change is always detected. A change whose order relative to the applied changes can't be determined, a
//!   differing count of keys, and a watch that stays behind the committed revision each cause a new list to be read.
//! - The last complete list stays in use until a newer one is complete.

mod dial_budget;
mod endpoint_table;
mod listing;
mod outputs;
mod restore;
#[cfg(test)]
mod tests;
mod watching;

pub use outputs::{Action, Counters, DisconnectReason, Notice, RelistReason, SavedList, StartTime, Update};

use super::answers::{Event, KeyEntry, MessageError};
use super::connection::endpoints::{EndpointRotation, RetryPauses};
use super::connection::position::Position;
use super::connection::{Connection, ConnectionState, LostPhase};
use super::status::Status;
use crate::config::product::RegistrySettings as Settings;
use crate::routing::events::Micros;
use dial_budget::DialBudget;
use endpoint_table::{EndpointTable, Source};
use listing::List;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use restore::RestoreDetector;

/// Divisor of the usual spread of the first retries after a timeout. A smaller spread is enough there, because
/// instances already detect a timeout at different moments.
const TIMEOUT_SPREAD_DIVISOR: Micros = 5;

type WatchState = super::connection::consistency::WatchState<Event, u64, WatchNumber>;
type State = ConnectionState<List, WatchState>;

/// The `watch_id` of a watch, chosen by the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WatchNumber(i64);

/// A fault injected by a test, to show that the model check detects it.
#[cfg(test)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The session accepts a list of any revision.
    AcceptsOldLists,
    /// The watch starts one revision too late.
    WatchesTooLate,
    /// Endpoints that a new list lacks are kept.
    KeepsRemovedEndpoints,
    /// After a compaction the session creates a new watch without reading a new list.
    IgnoresCompaction,
}

/// The state machine that keeps the list of endpoints in step with the registry; see the module documentation.
#[derive(Clone, Debug)]
pub struct Session {
    settings: Settings,
    rng: Pcg32,
    rotation: EndpointRotation,
    dial_budget: DialBudget,
    state: State,
    /// The cluster and the latest revision that were accepted.
    position: Position<u64>,
    restore_detector: RestoreDetector,
    table: EndpointTable,
    /// Whether new keys were left out since the last list because there are too many. The registry's count of keys
    /// then differs from that of the table, without any change having been missed.
    exceeds_max_keys: bool,
    /// The latest time at which the table was known to be current.
    confirmed: Option<Micros>,
    last_number: u64,
    counters: Counters,
    /// The fault that a test has injected.
    #[cfg(test)]
    pub fault: Option<Fault>,
}

impl Session {
    /// Creates a session that may dial at once; `seed` initializes its random numbers.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let endpoints = settings.endpoints.len();
        Session {
            rotation: EndpointRotation::shuffled(endpoints, &mut rng),
            rng,
            dial_budget: DialBudget::full(now),
            state: State::Backoff { until: now },
            position: Position::default(),
            restore_detector: RestoreDetector::new(endpoints),
            table: EndpointTable::default(),
            exceeds_max_keys: false,
            confirmed: None,
            last_number: 0,
            counters: Counters::default(),
            #[cfg(test)]
            fault: None,
            settings,
        }
    }

    /// Fills the table from a saved list, unless a list was accepted already.
    pub fn resume(&mut self, saved: SavedList) {
        if self.position.cluster.is_some() {
            return;
        }
        self.position = Position { cluster: Some(saved.cluster), revision: saved.revision };
        for entry in saved.entries {
            self.counters.unreadable += u64::from(entry.endpoint.is_err());
            self.table.put(entry, Source::Snapshot);
        }
    }

    /// Applies new settings. If the endpoints differ, closes the connection and dials one of the new endpoints. The
    /// prefix must not change: a different prefix requires a new session.
    pub fn reconfigure(&mut self, settings: Settings, now: Micros, actions: &mut Vec<Action>) {
        let endpoints_changed = self.settings.endpoints != settings.endpoints;
        self.settings = settings;
        if endpoints_changed {
            self.disconnect(actions);
            let endpoints = self.settings.endpoints.len();
            self.rotation = EndpointRotation::shuffled(endpoints, &mut self.rng);
            self.restore_detector = RestoreDetector::new(endpoints);
            self.state = State::Backoff { until: now };
        }
    }

    /// Returns when [`tick`](Self::tick) has something to do, even if no other input arrives.
    pub fn next_due(&self) -> Micros {
        self.state.due(self.settings.check_timeout)
    }

    /// Removes and returns up to `max_updates` pending updates of the list of endpoints, oldest first.
    pub fn take_updates(&mut self, max_updates: usize) -> impl Iterator<Item = Update> + '_ {
        self.table.take_updates(max_updates)
    }

    /// Returns whether there are pending updates of the list of endpoints.
    pub fn has_updates(&self) -> bool {
        !self.table.updates().is_empty()
    }

    /// Returns the number of pending updates of the list of endpoints.
    pub fn pending_updates(&self) -> usize {
        self.table.updates().len()
    }

    /// Returns whether a list is being applied; each tick applies a batch of its keys.
    pub fn is_applying_list(&self) -> bool {
        matches!(&self.state, State::Listing { list, .. } if list.is_being_applied())
    }

    /// Returns whether a complete list was applied and the registry has confirmed the watch that follows it.
    pub fn is_watching(&self) -> bool {
        self.state.is_watching()
    }

    /// Returns the latest time at which the list was known to be current; `None` before the first list.
    pub fn confirmed(&self) -> Option<Micros> {
        self.confirmed
    }

    /// Returns the revision up to which all changes were applied or, while there is no watch, the latest accepted one.
    pub fn revision(&self) -> u64 {
        match &self.state {
            State::Watching { watch, .. } => watch.revision,
            _ => self.position.revision,
        }
    }

    /// Returns the counters of this session.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of known keys.
    pub fn keys(&self) -> usize {
        self.table.len()
    }

    /// Returns the list for a snapshot; `None` before the first list.
    pub fn saved_list(&self) -> Option<SavedList> {
        let cluster = self.position.cluster?;
        let entries = self.table.saved_entries().collect();
        Some(SavedList { cluster, revision: self.revision(), entries })
    }

    /// Handles the passing of time: does what is due at `now`, if anything.
    pub fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if now < self.next_due() {
            return;
        }
        match &self.state {
            State::Backoff { .. } => self.dial(now, actions),
            State::Dialing { .. } => self.give_up(now, DisconnectReason::Unreachable, actions),
            State::Listing { list, .. } if list.is_being_applied() => self.apply_list(now, actions),
            State::Listing { .. } => self.give_up(now, DisconnectReason::TimedOut, actions),
            State::Watching { watch, .. } if watch.check.is_some() => {
                self.give_up(now, DisconnectReason::TimedOut, actions);
            }
            State::Watching { .. } => self.begin_check(now, actions),
        }
    }

    /// Handles a successful dial: requests the first page of a list.
    pub fn dialed(&mut self, now: Micros, connection: u64, actions: &mut Vec<Action>) {
        if let Some(connection) = self.state.dialing(connection) {
            self.start_list(now, List::first(connection, now), actions);
        }
    }

    /// Handles the loss of a connection or a failed dial.
    pub fn lost(&mut self, now: Micros, connection: u64, actions: &mut Vec<Action>) {
        let reason = match self.state.lost_phase(connection) {
            Some(LostPhase::Dialing) => DisconnectReason::Unreachable,
            Some(LostPhase::Open) => DisconnectReason::ConnectionLost,
            None => return,
        };
        self.give_up(now, reason, actions);
    }

    /// Handles a message that violates the protocol: closes the connection.
    pub fn invalid_message(&mut self, now: Micros, error: MessageError, actions: &mut Vec<Action>) {
        if matches!(self.state, State::Listing { .. } | State::Watching { .. }) {
            self.give_up(now, DisconnectReason::InvalidMessage(error), actions);
        }
    }

    /// Handles a failed call for a page or a count.
    pub fn call_failed(&mut self, now: Micros, call: u64, status: Status, actions: &mut Vec<Action>) {
        match &mut self.state {
            State::Listing { list, .. } if list.awaits(call) => self.page_failed(now, status, actions),
            State::Watching { watch, .. } if watch.awaits_check(call) => {
                self.give_up(now, DisconnectReason::CallFailed(status), actions);
            }
            _ => {}
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn dial(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.dial_budget.take(now, self.settings.max_retry_pause) {
            let pause = self.settings.max_retry_pause / 2;
            let until = now + pause / 2 + self.rng.random_range(0..=pause);
            self.state = State::Backoff { until };
            return;
        }
        let Some(endpoint) = self.rotation.next_endpoint() else {
            self.state = State::Backoff { until: Micros::MAX };
            return;
        };
        self.counters.dials += 1;
        let connection = Connection { id: self.next_number(), endpoint };
        self.state = State::Dialing { connection, until: now + self.settings.dial_timeout };
        actions.push(Action::Dial { connection: connection.id, endpoint });
    }

    fn disconnect(&mut self, actions: &mut Vec<Action>) -> Option<Connection> {
        let connection = self.state.connection()?;
        actions.push(Action::Disconnect { connection: connection.id });
        Some(connection)
    }

    /// Closes the connection and schedules the next dial after a pause.
    fn give_up(&mut self, now: Micros, reason: DisconnectReason, actions: &mut Vec<Action>) {
        let Some(Connection { endpoint, .. }) = self.disconnect(actions) else { return };
        self.counters.lost += 1;
        let pauses =
            RetryPauses { spread: self.settings.retry_spread, longest: self.settings.max_retry_pause };
        let pause = match reason {
            DisconnectReason::TooManyKeys => pauses.longest,
            DisconnectReason::TimedOut => {
                self.rotation.backoff(pauses.spread / TIMEOUT_SPREAD_DIVISOR, pauses, &mut self.rng)
            }
            _ => self.rotation.backoff(pauses.spread, pauses, &mut self.rng),
        };
        self.rotation.record_failure();
        actions.push(Action::Notify(Notice::Disconnected { endpoint, reason }));
        self.state = State::Backoff { until: now + pause };
    }

    /// Counts and reports an entry whose record is unusable; does nothing for a usable one.
    fn report_unreadable(&mut self, entry: &KeyEntry, actions: &mut Vec<Action>) {
        if let Err(error) = &entry.endpoint {
            self.counters.unreadable += 1;
            actions.push(Action::Notify(Notice::UnreadableRecord {
                key: entry.key.clone(),
                revision: entry.mod_revision,
                error: error.clone(),
            }));
        }
    }
}
