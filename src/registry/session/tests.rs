//! The session without a driver: examples of the states that it accepts, and a model check of the exchange with a
//! registry that commits and compacts, has a lagging member, and closes connections.

use super::*;
use crate::registry::answers::{Header, Page, WatchMessage};
use crate::registry::connection::consistency::KeyCount;
use crate::registry::record::{EndpointRecord, RecordError, State as EndpointState};
use crate::registry::status::code;
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

const CLUSTER: u64 = 7;
const SECOND: Micros = 1_000_000;

fn settings(endpoints: usize) -> Settings {
    let at = |n: usize| ([127, 0, 0, 1], 1 + n as u16).into();
    Settings { retry_spread: 0, page_size: 2, ..Settings::new((0..endpoints).map(at).collect(), "/d/") }
}

fn item(id: u8, state: EndpointState, create: u64, modified: u64) -> KeyEntry {
    let endpoint = EndpointRecord {
        address: ([127, 0, 0, 1], u16::from(id)).into(),
        state,
        kind: 0,
        zone: 0,
        cell: 0,
        weight: 1.0,
        started_ms: 0,
    };
    let name = format!("b{id}");
    KeyEntry {
        id: Some(name.as_str().into()),
        key: format!("/d/{name}").as_bytes().into(),
        create_revision: create,
        mod_revision: modified,
        endpoint: Ok(endpoint.into()),
    }
}

fn page(revision: u64, items: Vec<KeyEntry>) -> Page {
    let count = items.len() as u64;
    Page { header: Header { cluster: CLUSTER, revision }, entries: items, more: false, count }
}

fn message(watch: i64, revision: u64, events: Vec<Event>) -> WatchMessage {
    let header = Header { cluster: CLUSTER, revision };
    WatchMessage {
        header,
        watch,
        created: true,
        cancelled: false,
        compact_revision: 0,
        cancel_reason: String::new(),
        fragment: false,
        events,
    }
}

/// A session whose inputs and clock the test controls.
struct Harness {
    session: Session,
    now: Micros,
    actions: Vec<Action>,
}

impl Harness {
    fn new(endpoints: usize) -> Self {
        Harness { session: Session::new(settings(endpoints), 1, SECOND), now: SECOND, actions: Vec::new() }
    }

    /// Advances the clock to the session's next due time and returns the resulting actions.
    fn advance(&mut self) -> Vec<Action> {
        self.now = self.now.max(self.session.next_due());
        self.session.tick(self.now, &mut self.actions);
        std::mem::take(&mut self.actions)
    }

    /// Completes a dial and returns the call for the first page.
    fn dial(&mut self) -> u64 {
        let connection = loop {
            let dialed = self.advance().into_iter().find_map(|action| match action {
                Action::Dial { connection, .. } => Some(connection),
                _ => None,
            });
            if let Some(connection) = dialed {
                break connection;
            }
        };
        self.session.dialed(self.now, connection, &mut self.actions);
        self.list_call()
    }

    /// Returns the latest call for a page and clears the actions.
    fn list_call(&mut self) -> u64 {
        let call = |action: &Action| match action {
            Action::List { call, .. } => Some(*call),
            _ => None,
        };
        let call = self.actions.iter().rev().find_map(call).expect("no page was requested");
        self.actions.clear();
        call
    }

    /// Completes a dial and a list of one page; returns the id of the watch that follows.
    fn list(&mut self, page: Page) -> i64 {
        let call = self.dial();
        self.session.page_received(self.now, call, page, &mut self.actions);
        self.created_watch()
    }

    /// Returns the id of the watch that the session creates and clears the actions.
    fn created_watch(&mut self) -> i64 {
        let watch = |action: &Action| match action {
            Action::Watch { watch, .. } => Some(*watch),
            _ => None,
        };
        let watch = self.actions.iter().find_map(watch).unwrap_or_else(|| panic!("{:?}", self.actions));
        self.actions.clear();
        watch
    }

    /// Loses the connection.
    fn lose_connection(&mut self) {
        let connection = match &self.session.state {
            State::Listing { connection, .. } | State::Watching { connection, .. } => connection.id,
            other => panic!("{other:?}"),
        };
        self.session.lost(self.now, connection, &mut self.actions);
        self.actions.clear();
    }

    fn updates(&mut self) -> Vec<String> {
        let describe = |update: Update| match update {
            Update::Put { id, endpoint, .. } => format!("{id} {:?}", endpoint.state),
            Update::Unreadable(id) => format!("{id} unreadable"),
            Update::Removed(id) => format!("{id} removed"),
        };
        self.session.take_updates(usize::MAX).map(describe).collect()
    }

    /// Returns whether the session requests the first page of a new list, and clears the actions.
    fn takes_relist(&mut self) -> bool {
        self.actions.drain(..).any(|action| matches!(action, Action::List { revision: 0, .. }))
    }
}

use EndpointState::{Draining, Ready};

#[test]
fn a_list_is_read_in_pages_at_one_revision_and_restarted_when_the_revision_is_compacted() {
    let mut harness = Harness::new(1);
    let call = harness.dial();
    let first = Page { more: true, count: 3, ..page(9, vec![item(1, Ready, 1, 1), item(2, Ready, 2, 2)]) };
    harness.session.page_received(harness.now, call, first.clone(), &mut harness.actions);
    let next = harness.actions.pop();
    assert!(matches!(&next, Some(Action::List { from, revision: 9, .. }) if from == b"/d/b2\0"), "{next:?}");
    assert!(harness.updates().is_empty(), "an incomplete list is not applied");
    let Some(Action::List { call, .. }) = next else { unreachable!() };
    let compacted = Status::new(code::OUT_OF_RANGE, "compacted");
    harness.session.call_failed(harness.now, call, compacted, &mut harness.actions);
    let call = harness.list_call();
    harness.session.page_received(
        harness.now,
        call,
        Page { header: Header { revision: 12, ..first.header }, ..first },
        &mut harness.actions,
    );
    let call = harness.list_call();
    harness.session.page_received(
        harness.now,
        call,
        page(12, vec![item(3, Draining, 3, 11)]),
        &mut harness.actions,
    );
    assert_eq!(harness.updates(), ["b1 Ready", "b2 Ready", "b3 Draining"]);
    assert!(harness
        .actions
        .contains(&Action::Watch { watch: harness.session.last_number as i64, revision: 13 }));
}

#[test]
fn a_new_list_removes_the_keys_that_it_lacks_and_reports_changes_that_no_watch_reported() {
    let mut harness = Harness::new(1);
    harness.list(page(9, vec![item(1, Ready, 1, 1), item(2, Ready, 2, 2), item(3, Ready, 3, 3)]));
    harness.updates();
    harness.lose_connection();
    harness.list(page(20, vec![item(2, Draining, 2, 15), item(3, Ready, 18, 18)]));
    let updates: Vec<Update> = harness.session.take_updates(9).collect();
    assert!(matches!(&updates[0], Update::Put { endpoint, process: 2, .. } if endpoint.state == Draining));
    assert!(
        matches!(&updates[1], Update::Put { process: 18, start: StartTime::RecordedOrNow, .. }),
        "the key was created again, by a new process"
    );
    assert!(matches!(&updates[2], Update::Removed(id) if &**id == "b1"));
    assert_eq!(updates.len(), 3);
}

/// A saved list may be of any age, so any of its endpoints may have restarted with an empty cache since. If the session
/// reported their recorded start times, the router would take such endpoints for warm.
#[test]
fn start_times_of_a_saved_list_are_unknown_until_the_first_list_reports_the_endpoints_again() {
    let mut harness = Harness::new(1);
    let items = vec![item(1, Ready, 1, 1), item(2, Draining, 2, 5)];
    harness.session.resume(SavedList { cluster: CLUSTER, revision: 9, entries: items.clone() });
    let start_times = |harness: &mut Harness| -> Vec<StartTime> {
        let start = |update| if let Update::Put { start, .. } = update { Some(start) } else { None };
        harness.session.take_updates(usize::MAX).filter_map(start).collect()
    };
    assert_eq!(start_times(&mut harness), [StartTime::Unknown; 2]);
    // A list older than the saved one is rejected, like that of a lagging member.
    let call = harness.dial();
    harness.session.page_received(harness.now, call, page(8, Vec::new()), &mut harness.actions);
    assert!(harness.updates().is_empty() && harness.session.keys() == 2);
    harness.list(page(12, [&items[..], &[item(3, Ready, 11, 11)]].concat()));
    assert_eq!(
        start_times(&mut harness),
        [StartTime::Recorded, StartTime::Recorded, StartTime::RecordedOrNow]
    );
    harness.lose_connection();
    harness.list(page(12, items));
    assert_eq!(harness.updates(), ["b3 removed"], "a confirmed endpoint is reported once");
}

#[test]
fn repeated_late_and_foreign_messages_are_ignored_and_an_event_out_of_order_causes_a_new_list() {
    let mut harness = Harness::new(1);
    let watch = harness.list(page(9, vec![item(1, Ready, 1, 1)]));
    harness.updates();
    let drain = Event::Put(item(1, Draining, 1, 10));
    for _ in 0..2 {
        harness.session.watch_message(
            harness.now,
            message(watch, 10, vec![drain.clone()]),
            &mut harness.actions,
        );
    }
    harness.session.watch_message(
        harness.now,
        message(watch + 1, 30, vec![Event::Put(item(1, Ready, 1, 30))]),
        &mut harness.actions,
    );
    assert_eq!(harness.updates(), ["b1 Draining"]);
    // A deletion, then a late event from before it.
    harness.session.watch_message(
        harness.now,
        message(watch, 14, vec![Event::Delete { key: item(1, Ready, 1, 1).key, revision: 14 }]),
        &mut harness.actions,
    );
    harness.session.watch_message(
        harness.now,
        message(watch, 14, vec![Event::Put(item(1, Ready, 1, 12))]),
        &mut harness.actions,
    );
    assert_eq!((harness.updates(), harness.takes_relist()), (vec!["b1 removed".to_owned()], false));
    // A change of an unknown key at a revision that was already applied.
    harness.session.watch_message(
        harness.now,
        message(watch, 14, vec![Event::Put(item(5, Ready, 13, 13))]),
        &mut harness.actions,
    );
    assert!(harness.updates().is_empty() && harness.takes_relist());
}

#[test]
fn fragments_are_applied_once_the_last_has_arrived() {
    let mut harness = Harness::new(1);
    let watch = harness.list(page(9, vec![item(1, Ready, 1, 1)]));
    harness.updates();
    let fragment =
        WatchMessage { fragment: true, ..message(watch, 11, vec![Event::Put(item(1, Draining, 1, 10))]) };
    harness.session.watch_message(harness.now, fragment, &mut harness.actions);
    assert!(harness.updates().is_empty() && harness.session.revision() == 9);
    harness.session.watch_message(
        harness.now,
        message(watch, 11, vec![Event::Put(item(2, Ready, 10, 10))]),
        &mut harness.actions,
    );
    assert_eq!(harness.updates(), ["b1 Draining", "b2 Ready"]);
    assert_eq!(harness.session.revision(), 10);
}

#[test]
fn a_missing_count_or_a_lagging_watch_times_out_and_a_differing_count_causes_a_new_list() {
    let mut harness = Harness::new(1);
    let silence = harness.session.settings.check_timeout;
    for failure in 0..3 {
        let watch = harness.list(page(9 + failure, vec![item(1, Ready, 1, 1)]));
        harness.session.watch_message(harness.now, message(watch, 9, vec![]), &mut harness.actions);
        let requests = harness.advance();
        let [Action::Count { call }, Action::RequestProgress] = requests[..] else { panic!("{requests:?}") };
        let sent = harness.now;
        let (revision, count) = [(0, 0), (9 + failure, 2), (40, 1)][failure as usize];
        if failure > 0 {
            let header = Header { cluster: CLUSTER, revision };
            harness.session.count_received(harness.now, call, header, count, &mut harness.actions);
        }
        if failure == 1 {
            assert!(harness.takes_relist(), "the count differs");
            harness.lose_connection();
            continue;
        }
        harness.actions.clear();
        let lost = harness.advance();
        assert_eq!(harness.now, sent + silence);
        assert!(
            lost.iter().any(|action| matches!(
                action,
                Action::Notify(Notice::Disconnected { reason: DisconnectReason::TimedOut, .. })
            )),
            "{lost:?}"
        );
    }
}

#[test]
fn an_older_state_is_rejected_until_most_members_have_reported_it_for_the_restore_time() {
    let mut harness = Harness::new(3);
    harness.list(page(90, vec![item(1, Draining, 1, 80), item(2, Ready, 2, 2)]));
    harness.updates();
    harness.lose_connection();
    let (from, mut attempts) = (harness.now, 0);
    loop {
        let call = harness.dial();
        harness.session.page_received(
            harness.now,
            call,
            page(50, vec![item(1, Ready, 1, 1)]),
            &mut harness.actions,
        );
        attempts += 1;
        if harness.actions.iter().any(|action| matches!(action, Action::Notify(Notice::Restored { .. }))) {
            break;
        }
        assert!(
            harness.updates().is_empty() && harness.session.position.revision == 90,
            "the accepted list is kept"
        );
        assert!(attempts < 100);
    }
    assert!(
        harness.now - from >= harness.session.settings.restore_confirmation && attempts > 3,
        "{attempts} attempts"
    );
    assert_eq!(harness.updates(), ["b1 Ready", "b2 removed"]);
    assert_eq!(harness.session.position.revision, 50);
    // Another cluster is accepted as soon as most members report it.
    harness.lose_connection();
    let other = Page { header: Header { cluster: 8, revision: 5 }, ..page(5, vec![item(1, Draining, 2, 2)]) };
    let call = harness.dial();
    harness.session.page_received(harness.now, call, other.clone(), &mut harness.actions);
    assert!(harness.updates().is_empty(), "one of three members does not suffice");
    let call = harness.dial();
    harness.session.page_received(harness.now, call, other, &mut harness.actions);
    assert_eq!(harness.updates(), ["b1 Draining"]);
}

#[test]
fn with_too_many_keys_the_list_is_kept_and_changes_of_known_keys_are_applied() {
    let mut harness = Harness::new(1);
    harness.session.settings.max_keys = 2;
    let mut unreadable = item(2, Ready, 2, 2);
    unreadable.endpoint = Err(RecordError::Malformed("noise".to_owned()));
    let watch = harness.list(page(9, vec![item(1, Ready, 1, 1), unreadable]));
    assert_eq!(harness.updates(), ["b1 Ready", "b2 unreadable"]);
    harness.session.watch_message(
        harness.now,
        message(watch, 11, vec![Event::Put(item(3, Ready, 10, 10)), Event::Put(item(1, Draining, 1, 11))]),
        &mut harness.actions,
    );
    assert_eq!(harness.updates(), ["b1 Draining"], "the third key is left out, the drain is applied");
    assert!(harness.actions.contains(&Action::Notify(Notice::TooManyKeys { keys: 3, max_keys: 2 })));
    harness.lose_connection();
    let call = harness.dial();
    let oversized = Page { count: 3, more: true, ..page(20, vec![item(4, Ready, 12, 12)]) };
    harness.session.page_received(harness.now, call, oversized, &mut harness.actions);
    assert!(harness.updates().is_empty() && harness.session.keys() == 2);
}

#[test]
fn a_page_that_is_too_large_is_halved_down_to_one_key_which_is_then_read_without_its_value() {
    let mut harness = Harness::new(1);
    let mut call = harness.dial();
    for (limit, keys_only) in [(1, false), (1, true)] {
        let large = Status::new(code::RESOURCE_EXHAUSTED, "too large");
        harness.session.call_failed(harness.now, call, large, &mut harness.actions);
        let request = harness.actions.pop();
        let Some(Action::List {
            call: next_call,
            limit: requested_limit,
            keys_only: requested_keys_only,
            ..
        }) = request
        else {
            panic!("{request:?}")
        };
        assert_eq!((requested_limit, requested_keys_only), (limit, keys_only));
        call = next_call;
    }
    let mut without_value = item(1, Ready, 1, 1);
    without_value.endpoint = Err(RecordError::Malformed("EOF".to_owned()));
    harness.session.page_received(
        harness.now,
        call,
        Page { more: true, ..page(9, vec![without_value]) },
        &mut harness.actions,
    );
    let Some(Action::List { call, keys_only: false, .. }) = harness.actions.pop() else { panic!() };
    harness.session.page_received(
        harness.now,
        call,
        page(9, vec![item(2, Ready, 2, 2)]),
        &mut harness.actions,
    );
    assert_eq!(harness.updates(), ["b1 unreadable", "b2 Ready"]);
}

#[test]
fn dials_rotate_over_the_endpoints_back_off_and_stay_within_the_budget() {
    let mut harness = Harness::new(3);
    let mut dials = Vec::new();
    while harness.now < 61 * SECOND {
        for action in harness.advance() {
            if let Action::Dial { connection, endpoint } = action {
                dials.push((harness.now, endpoint));
                harness.session.lost(harness.now, connection, &mut harness.actions);
            }
        }
    }
    let longest = harness.session.settings.max_retry_pause;
    let count = dials.len();
    assert!((20..60).contains(&count), "{count} dials in a minute");
    assert!(dials
        .windows(2)
        .skip(24)
        .all(|pair| pair[1].0 - pair[0].0 <= longest && pair[1].0 - pair[0].0 >= longest / 4));
    assert!(
        (0..3).all(|endpoint| dials.iter().filter(|dial| dial.1 == endpoint).count() >= count / 3 - 1),
        "each endpoint is dialed in turn"
    );
    // The budget limits dials to a registry that closes each connection after a complete list.
    let mut harness = Harness::new(1);
    let mut dials = 0;
    while harness.now < 61 * SECOND {
        harness.list(page(9, vec![]));
        dials += 1;
        harness.lose_connection();
    }
    assert!(dials < 110, "{dials} dials in a minute");
}

// ---- Model check ----

/// The state of a member of the registry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct MemberModel {
    revision: u64,
    /// Revisions before this one are compacted.
    compacted: u64,
    /// By endpoint: create revision, mod revision, and whether the endpoint is ready.
    keys: BTreeMap<u8, (u64, u64, bool)>,
    /// Changes in order: revision, endpoint, and whether the endpoint is ready; `None` for a deletion.
    log: Vec<(u64, u8, Option<bool>)>,
}

impl MemberModel {
    fn commit(&mut self, id: u8, readiness: Option<bool>) {
        self.revision += 1;
        match readiness {
            Some(ready) => {
                let created = self.keys.get(&id).map_or(self.revision, |key| key.0);
                self.keys.insert(id, (created, self.revision, ready));
            }
            None => drop(self.keys.remove(&id)),
        }
        self.log.push((self.revision, id, readiness));
    }

    fn items(&self) -> Vec<KeyEntry> {
        let state = |ready| if ready { Ready } else { Draining };
        self.keys.iter().map(|(id, key)| item(*id, state(key.2), key.0, key.1)).collect()
    }

    /// Returns the watch event of a change. The create revision is always 1, because the model has it only for keys
    /// that still exist; the session needs it only to tell processes apart, which this model does not check.
    fn event(&self, change: &(u64, u8, Option<bool>)) -> Event {
        let (revision, id, readiness) = *change;
        match readiness {
            Some(ready) => Event::Put(item(id, if ready { Ready } else { Draining }, 1, revision)),
            None => Event::Delete { key: item(id, Ready, 1, 1).key, revision },
        }
    }
}

/// The state of the registry, the session and the requests between them.
#[derive(Clone)]
struct ModelState {
    now: Micros,
    /// The up-to-date member.
    current_member: MemberModel,
    /// The member that has applied only the initial commits.
    lagging_member: MemberModel,
    session: Session,
    /// The pending call for a page: its number, the revision to read, and the first key.
    page: Option<(u64, u64, Vec<u8>)>,
    connection: Option<u64>,
    /// Whether the connection is to the lagging member.
    is_lagging: bool,
    /// The watch: its id and the next revision that it reports.
    watch: Option<(i64, u64)>,
    /// The pending call for a count.
    count: Option<u64>,
    /// Whether a progress request is pending.
    progress: bool,
    /// The list of endpoints that results from the session's updates: whether each endpoint is ready.
    endpoints: BTreeMap<String, bool>,
    commits: u8,
    faults: u8,
    /// The latest revision at which the list of endpoints was current.
    confirmed_revision: u64,
}

impl std::fmt::Debug for ModelState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} endpoints {:?} {:?}", self.current_member, self.endpoints, self.session.state)
    }
}

impl PartialEq for ModelState {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint() == other.fingerprint()
    }
}
impl Eq for ModelState {}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint().hash(state);
    }
}

impl ModelState {
    /// Returns everything that the further course depends on. Call numbers and times matter only relative to each
    /// other, so they are left out.
    fn fingerprint(&self) -> impl Hash + PartialEq {
        let session = &self.session;
        let mut known: Vec<_> =
            session.table.keys.iter().map(|(key, known)| (key.to_vec(), known.mod_revision)).collect();
        known.sort();
        let mut deletions: Vec<_> = session
            .table
            .deletions
            .revisions
            .iter()
            .map(|(key, revision)| (key.to_vec(), *revision))
            .collect();
        deletions.sort();
        let state = match &session.state {
            State::Backoff { .. } => (0, 0, 0, 0, false),
            State::Dialing { connection, .. } => (1, connection.endpoint as u64, 0, 0, false),
            State::Listing { connection, list, .. } => {
                let entries = list.entries.len() as u64;
                (2, connection.endpoint as u64, list.header.revision, entries, list.is_restored)
            }
            State::Watching { connection, watch } => {
                let counted = |count: KeyCount<u64>| 1 + count.revision;
                let check = watch.check.as_ref().map_or(0, |check| 1 + check.answer.map_or(0, counted));
                (3, connection.endpoint as u64, watch.revision, check, watch.created)
            }
        };
        let page = self.page.as_ref().map(|page| (page.1, page.2.clone()));
        let requests = (
            page,
            self.connection.is_some(),
            self.is_lagging,
            self.watch.map(|watch| watch.1),
            self.count.is_some(),
            self.progress,
        );
        let model = (
            self.current_member.clone(),
            self.lagging_member.clone(),
            self.endpoints.clone(),
            self.commits,
            self.faults,
            self.confirmed_revision,
        );
        (model, requests, state, known, deletions, session.position.revision, session.rotation.next_index())
    }

    /// Returns the member at the other end of the connection.
    fn member(&self) -> &MemberModel {
        if self.is_lagging {
            &self.lagging_member
        } else {
            &self.current_member
        }
    }

    /// Performs the session's actions and applies its updates to the list of endpoints.
    fn perform(&mut self, mut actions: Vec<Action>) {
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Dial { connection, .. } => {
                        self.drop_connection();
                        self.connection = Some(connection);
                    }
                    Action::Disconnect { .. } => self.drop_connection(),
                    Action::List { call, from, revision, .. } => self.page = Some((call, revision, from)),
                    Action::Count { call } => self.count = Some(call),
                    Action::Watch { watch, revision } => self.watch = Some((watch, revision)),
                    Action::CancelWatch { .. } => self.watch = None,
                    Action::RequestProgress => self.progress = true,
                    Action::Notify(_) => {}
                }
            }
        }
        for update in self.session.take_updates(usize::MAX) {
            match update {
                Update::Put { id, endpoint, .. } => {
                    self.endpoints.insert(id.to_string(), endpoint.state == Ready);
                }
                Update::Unreadable(id) => drop(self.endpoints.insert(id.to_string(), false)),
                Update::Removed(id) => drop(self.endpoints.remove(&*id)),
            }
        }
    }

    fn drop_connection(&mut self) {
        (self.connection, self.page, self.watch, self.count, self.progress) = (None, None, None, None, false);
    }

    /// Returns whether the session watches the up-to-date member and has received all of its changes.
    fn is_current(&self) -> bool {
        let is_watching = self.session.state.is_watching();
        let has_all_changes = self.watch.is_some_and(|watch| watch.1 > self.current_member.revision);
        is_watching
            && has_all_changes
            && !self.is_lagging
            && self.session.revision() >= self.current_member.revision
    }

    /// Returns whether an endpoint is ready in the list although it is drained or removed in the registry.
    fn has_wrongly_ready(&self) -> bool {
        let closed = |id: &str| {
            !self.current_member.keys.iter().any(|(number, key)| format!("b{number}") == id && key.2)
        };
        self.endpoints.iter().any(|(id, ready)| *ready && closed(id))
    }

    /// Returns whether an endpoint is ready in the list although it was drained or removed when the list was last
    /// current, and has not been ready in the registry since.
    fn has_reverted(&self) -> bool {
        let opened = |id: &str| {
            let same_endpoint = |change: &&(u64, u8, Option<bool>)| format!("b{}", change.1) == id;
            let latest_confirmed = self
                .current_member
                .log
                .iter()
                .filter(same_endpoint)
                .rfind(|change| change.0 <= self.confirmed_revision);
            let since = self
                .current_member
                .log
                .iter()
                .filter(same_endpoint)
                .any(|change| change.0 > self.confirmed_revision && change.2 == Some(true));
            since || latest_confirmed.is_some_and(|change| change.2 == Some(true))
        };
        self.confirmed_revision > 0 && self.endpoints.iter().any(|(id, ready)| *ready && !opened(id))
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Ready(u8),
    Drain(u8),
    Remove(u8),
    Compact,
    /// Time advances to the session's next due time.
    Advance,
    /// The dial succeeds; `true`: to the lagging member.
    Connect(bool),
    Page,
    Watch,
    Count,
    LoseConnection,
}

/// The model check: the injected fault, and the maximum numbers of commits and of faults, which are compactions and lost
/// connections.
struct SessionModel {
    fault: Option<Fault>,
    commits: u8,
    faults: u8,
}

impl Model for SessionModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        let mut member = MemberModel { revision: 1, ..MemberModel::default() };
        member.commit(1, Some(true));
        member.commit(2, Some(true));
        // A single member that lags permanently can't be distinguished from a restored registry.
        let settings = Settings { restore_confirmation: Micros::MAX, ..settings(1) };
        let mut session = Session::new(settings, 1, SECOND);
        session.fault = self.fault;
        let lagging_member = member.clone();
        vec![ModelState {
            now: SECOND,
            current_member: member,
            lagging_member,
            session,
            page: None,
            connection: None,
            is_lagging: false,
            watch: None,
            count: None,
            progress: false,
            endpoints: BTreeMap::new(),
            commits: 0,
            faults: 0,
            confirmed_revision: 0,
        }]
    }

    fn actions(&self, state: &ModelState, steps: &mut Vec<Step>) {
        if state.commits < self.commits {
            for id in 1..=2u8 {
                match state.current_member.keys.get(&id) {
                    Some(key) if key.2 => steps.extend([Step::Drain(id), Step::Remove(id)]),
                    Some(_) => steps.push(Step::Ready(id)),
                    None => {}
                }
            }
        }
        if state.current_member.compacted < state.current_member.revision && state.faults < self.faults {
            steps.push(Step::Compact);
        }
        match &state.session.state {
            State::Dialing { .. } => steps.extend([Step::Connect(false), Step::Connect(true)]),
            State::Backoff { .. } => steps.push(Step::Advance),
            State::Watching { watch, .. } if watch.check.is_none() && watch.created => {
                steps.push(Step::Advance)
            }
            _ => {}
        }
        if state.page.is_some() {
            steps.push(Step::Page);
        }
        if state.watch.is_some() {
            steps.push(Step::Watch);
        }
        if state.count.is_some() {
            steps.push(Step::Count);
        }
        if state.connection.is_some() && state.faults < self.faults {
            steps.push(Step::LoseConnection);
        }
    }

    fn next_state(&self, last: &ModelState, step: Step) -> Option<ModelState> {
        let mut state = last.clone();
        let mut actions = Vec::new();
        state.now += 1;
        let now = state.now;
        match step {
            Step::Ready(id) => state.current_member.commit(id, Some(true)),
            Step::Drain(id) => state.current_member.commit(id, Some(false)),
            Step::Remove(id) => state.current_member.commit(id, None),
            Step::Compact => {
                state.current_member.compacted = state.current_member.revision;
                state.faults += 1;
            }
            Step::Advance => {
                state.now = now.max(state.session.next_due());
                state.session.tick(state.now, &mut actions);
            }
            Step::Connect(lagging) => {
                if lagging && state.lagging_member.revision == state.current_member.revision {
                    return None;
                }
                state.is_lagging = lagging;
                let connection = state.connection?;
                state.session.dialed(now, connection, &mut actions);
            }
            Step::LoseConnection => {
                let connection = state.connection?;
                state.drop_connection();
                state.faults += 1;
                state.session.lost(now, connection, &mut actions);
            }
            Step::Page => {
                let (call, revision, from) = state.page.take()?;
                let member = state.member().clone();
                let read_revision = if revision == 0 { member.revision } else { revision };
                if read_revision < member.compacted {
                    let status = Status::new(code::OUT_OF_RANGE, "compacted");
                    state.session.call_failed(now, call, status, &mut actions);
                } else if read_revision != member.revision {
                    // Rebuilds the state as of that revision from the log, which holds all changes.
                    let mut past = MemberModel { revision: 1, ..MemberModel::default() };
                    for change in member.log.iter().filter(|change| change.0 <= read_revision) {
                        past.commit(change.1, change.2);
                    }
                    deliver_page(&mut state, &past, member.revision, call, &from, &mut actions);
                } else {
                    deliver_page(&mut state, &member, member.revision, call, &from, &mut actions);
                }
            }
            Step::Watch => {
                let (watch, next) = state.watch?;
                let member = state.member().clone();
                let base = message(watch, member.revision, Vec::new());
                if next < member.compacted {
                    state.watch = None;
                    let cancelled =
                        WatchMessage { cancelled: true, compact_revision: member.compacted, ..base };
                    state.session.watch_message(now, cancelled, &mut actions);
                } else {
                    let events = member
                        .log
                        .iter()
                        .filter(|change| change.0 >= next)
                        .map(|change| member.event(change))
                        .collect();
                    state.watch = Some((watch, member.revision.max(next - 1) + 1));
                    state.session.watch_message(now, WatchMessage { events, ..base.clone() }, &mut actions);
                    if std::mem::take(&mut state.progress) {
                        state.session.watch_message(
                            now,
                            WatchMessage { watch: -1, created: false, ..base },
                            &mut actions,
                        );
                    }
                }
            }
            Step::Count => {
                let call = state.count.take()?;
                let (header, count) = {
                    let member = state.member();
                    (Header { cluster: CLUSTER, revision: member.revision }, member.keys.len() as u64)
                };
                state.session.count_received(now, call, header, count, &mut actions);
            }
        }
        if matches!(step, Step::Ready(_) | Step::Drain(_) | Step::Remove(_)) {
            state.commits += 1;
        }
        state.perform(actions);
        if state.is_current() {
            state.confirmed_revision = state.current_member.revision;
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "an endpoint that is drained or removed is never ready while the list is current",
                |_, state: &ModelState| !(state.is_current() && state.has_wrongly_ready()),
            ),
            Property::always(
                "an endpoint that was closed in a current list is not made ready by an older state",
                |_, state: &ModelState| !state.has_reverted(),
            ),
            Property::sometimes("the list is current after a drain", |_, state: &ModelState| {
                state.commits > 0 && state.is_current()
            }),
        ]
    }
}

/// Answers a call for a page with one key of `member`; the header has the latest revision `latest`.
fn deliver_page(
    state: &mut ModelState,
    member: &MemberModel,
    latest: u64,
    call: u64,
    from: &[u8],
    actions: &mut Vec<Action>,
) {
    let all = member.items();
    let mut items: Vec<KeyEntry> = all.iter().filter(|entry| &*entry.key >= from).cloned().collect();
    let more = items.len() > 1;
    items.truncate(1);
    let header = Header { cluster: CLUSTER, revision: latest };
    let page = Page { header, entries: items, more, count: all.len() as u64 };
    state.session.page_received(state.now, call, page, actions);
}

/// Checks every course with at most `commits` commits and `faults` compactions and lost connections. Returns a
/// violated property with the steps that lead to it; `None` if all hold.
fn find_violation(fault: Option<Fault>, commits: u8, faults: u8) -> Option<String> {
    let model = SessionModel { fault, commits, faults };
    let checker = model.checker().target_max_depth(60).spawn_bfs().join();
    let current = checker.discovery("the list is current after a drain");
    assert!(current.is_some(), "the model never reaches a current list after a drain");
    let found = checker.discoveries().into_iter().find(|(name, _)| name.starts_with("an endpoint"));
    found.map(|(name, path)| format!("{name}: {:?}", path.into_actions()))
}

#[test]
fn no_course_of_events_makes_a_drained_or_removed_endpoint_ready() {
    assert_eq!(find_violation(None, 3, 3), None);
}

#[test]
fn the_model_check_detects_each_injected_fault() {
    for fault in [
        Fault::WatchesTooLate,
        Fault::KeepsRemovedEndpoints,
        Fault::IgnoresCompaction,
        Fault::AcceptsOldLists,
    ] {
        assert!(find_violation(Some(fault), 2, 2).is_some(), "{fault:?} was not detected");
    }
}
