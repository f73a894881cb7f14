//! Connects the session to the event loop: performs the session's actions on the connection, passes responses to the
//! session, writes the snapshot to disk, and logs notices. All decisions are the session's. The proxy owns the driver.

use super::answers::Decoder;
use super::grpc::ChannelEvent;
use super::keys::range_end;
use super::link::{Link, Polled};
use super::messages::{
    path, watch_request, RangeRequest, WatchCancelRequest, WatchCreateRequest, WatchProgressRequest,
    WatchRequest,
};
use super::record::Names;
use super::session::{Action, Notice, Session, Update};
use super::snapshot;
use super::status::{code, Status};
use crate::config::product::RegistrySettings as Settings;
use crate::endpoints::Counts;
use crate::net::event_loop::{EventLoop, Ready};
use crate::routing::events::Micros;
use bytes::Bytes;
use mio::Token;
use slog::{info, warn, Logger};

/// Maximum number of rounds per turn in which received events may lead to further actions.
const MAX_ROUNDS_PER_TURN: usize = 2;
/// Minimum time between two snapshots, in microseconds.
const SNAPSHOT_INTERVAL: Micros = 2_000_000;

/// The calls on the open connection.
#[derive(Default)]
struct OpenCalls {
    /// Number of the call that carries the watch stream.
    watch: Option<u64>,
    /// Number of the call for a page, with the first requested key.
    page: Option<(u64, Vec<u8>)>,
    /// Number of the last call whose response has arrived. The successful end of that call needs no further handling.
    answered: u64,
}

/// The writing of snapshots to disk.
struct Snapshots {
    saver: snapshot::Saver,
    /// Revision of the last snapshot that was passed to the saver.
    saved_revision: u64,
    /// Time of the last attempt to save a snapshot.
    saved_at: Micros,
}

/// The driver of one instance's session with the registry.
pub struct Driver {
    log: Logger,
    settings: Settings,
    decoder: Decoder,
    session: Session,
    link: Option<Link>,
    calls: OpenCalls,
    actions: Vec<Action>,
    events: Vec<ChannelEvent>,
    has_work: bool,
    snapshots: Option<Snapshots>,
}

impl Driver {
    /// Creates a driver that may dial at once and starts with the snapshot, if a usable one exists.
    pub fn new(settings: Settings, names: Names, seed: u64, now: Micros, log: Logger) -> Self {
        let prefix = settings.prefix.clone();
        let decoder = Decoder { prefix, names, max_value_bytes: settings.max_value_bytes };
        let mut session = Session::new(settings.clone(), seed, now);
        let snapshots = resume_from_snapshot(&settings, &decoder, &mut session, now, &log);
        Driver {
            log,
            settings,
            decoder,
            session,
            link: None,
            calls: OpenCalls::default(),
            actions: Vec::new(),
            events: Vec::new(),
            has_work: false,
            snapshots,
        }
    }

    /// Returns the event loop token of the connection, if any.
    pub fn token(&self) -> Option<Token> {
        self.link.as_ref().map(Link::token)
    }

    /// Returns when the next turn is due without further input.
    pub fn next_due(&self) -> Micros {
        self.session.next_due()
    }

    /// Returns whether the last turn has left work that can be done at once.
    pub fn wants_turn(&self) -> bool {
        self.has_work || self.session.has_updates() || self.session.is_applying_list()
    }

    /// Removes and returns up to `max_updates` pending updates of the list of endpoints, oldest first.
    pub fn take_updates(&mut self, max_updates: usize) -> impl Iterator<Item = Update> + '_ {
        self.session.take_updates(max_updates)
    }

    /// Returns the session, for its counters.
    pub fn session(&self) -> &Session {
        &self.session
    }

    /// Applies new settings. Returns `false` if some of them require a restart; those keep their old values.
    pub fn reconfigure(&mut self, now: Micros, new: &Settings) -> bool {
        let old = &self.settings;
        let applicable = Settings {
            prefix: old.prefix.clone(),
            snapshot: old.snapshot.clone(),
            max_keys: old.max_keys,
            max_value_bytes: old.max_value_bytes,
            max_message_bytes: old.max_message_bytes,
            ..new.clone()
        };
        let is_complete = applicable == *new;
        self.session.reconfigure(applicable.clone(), now, &mut self.actions);
        self.settings = applicable;
        is_complete
    }

    /// Handles a readiness event of the event loop; ignores the events of other sockets.
    pub fn ready(&mut self, event: Ready) {
        if let Some(link) = self.link.as_mut().filter(|link| link.token() == event.token) {
            link.mark_ready();
        }
    }

    /// Receives, advances the session, performs its actions, and saves a snapshot if due. Received data is read before
    /// timeouts are checked, because the data may have arrived in time while the process was suspended.
    pub fn turn(&mut self, now: Micros, event_loop: &mut EventLoop) {
        self.receive(now);
        self.session.tick(now, &mut self.actions);
        self.has_work = true;
        for _ in 0..MAX_ROUNDS_PER_TURN {
            for action in std::mem::take(&mut self.actions) {
                self.perform(now, event_loop, action);
            }
            self.receive(now);
            if self.actions.is_empty() {
                self.has_work = self.link.as_ref().is_some_and(Link::has_work);
                break;
            }
        }
        self.save_snapshot(now);
    }

    fn perform(&mut self, now: Micros, event_loop: &mut EventLoop, action: Action) {
        match action {
            Action::Dial { connection, endpoint } => self.dial(now, event_loop, connection, endpoint),
            Action::Disconnect { connection } => {
                self.link.take_if(|link| link.id() == connection);
            }
            Action::List { call, from, revision, limit, keys_only } => {
                let request = RangeRequest {
                    key: from.clone(),
                    limit: limit as i64,
                    revision: revision as i64,
                    keys_only,
                    ..self.range()
                };
                self.calls.page = Some((call, from));
                self.read_range(call, &request);
            }
            Action::Count { call } => {
                self.read_range(call, &RangeRequest { count_only: true, ..self.range() });
            }
            Action::Watch { watch, revision } => self.create_watch(watch, revision),
            Action::CancelWatch { watch } => {
                let cancel = watch_request::Request::Cancel(WatchCancelRequest { watch_id: watch });
                self.send_watch_request(watch as u64, cancel);
            }
            Action::RequestProgress => {
                self.send_watch_request(0, watch_request::Request::Progress(WatchProgressRequest {}));
            }
            Action::Notify(notice) => self.log_notice(notice),
        }
    }

    fn dial(&mut self, now: Micros, event_loop: &mut EventLoop, connection: u64, endpoint: usize) {
        match Link::dial(event_loop, self.settings.endpoints.get(endpoint), connection) {
            Ok(link) => {
                self.link = Some(link);
                self.calls = OpenCalls::default();
            }
            Err(_) => self.session.lost(now, connection, &mut self.actions),
        }
    }

    /// Returns a request for all keys below the prefix.
    fn range(&self) -> RangeRequest {
        RangeRequest {
            key: self.decoder.prefix.clone().into_bytes(),
            range_end: range_end(self.decoder.prefix.as_bytes()),
            ..RangeRequest::default()
        }
    }

    fn read_range(&mut self, call: u64, request: &RangeRequest) {
        if let Some(link) = &mut self.link {
            link.send(|channel| channel.call(call, path::RANGE, request, true));
        }
    }

    fn create_watch(&mut self, watch: i64, revision: u64) {
        let create = WatchCreateRequest {
            key: self.decoder.prefix.clone().into_bytes(),
            range_end: range_end(self.decoder.prefix.as_bytes()),
            start_revision: revision as i64,
            watch_id: watch,
            fragment: true,
            ..WatchCreateRequest::default()
        };
        self.send_watch_request(watch as u64, watch_request::Request::Create(create));
    }

    /// Sends a request on the watch stream. The first request opens the stream as the call with number `call`.
    fn send_watch_request(&mut self, call: u64, request: watch_request::Request) {
        let Some(link) = &mut self.link else { return };
        let message = WatchRequest { request: Some(request) };
        let open_call = &mut self.calls.watch;
        link.send(|channel| match *open_call {
            Some(open_call) => channel.send(open_call, &message),
            None => {
                *open_call = Some(call);
                channel.call(call, path::WATCH, &message, false);
            }
        });
    }

    /// Sends and receives, unless too many updates are pending. In that case, flow control stops the registry from
    /// sending, which bounds the queue of updates.
    fn receive(&mut self, now: Micros) {
        if self.session.pending_updates() <= self.settings.max_keys {
            self.poll_link(now);
        }
    }

    /// Sends and receives on the connection, and passes the received events to the session.
    fn poll_link(&mut self, now: Micros) {
        let Some(link) = &mut self.link else { return };
        let mut events = std::mem::take(&mut self.events);
        match link.poll(self.settings.max_message_bytes, &mut events) {
            Polled::Nothing => {}
            Polled::Dialed(connection) => self.session.dialed(now, connection, &mut self.actions),
            Polled::DialFailed(connection) => self.session.lost(now, connection, &mut self.actions),
            Polled::Events(connection) => {
                events.drain(..).for_each(|event| self.handle_event(now, connection, event));
            }
        }
        self.events = events;
    }

    fn handle_event(&mut self, now: Micros, connection: u64, event: ChannelEvent) {
        match event {
            ChannelEvent::Message { call, bytes } if self.calls.watch == Some(call) => {
                match self.decoder.decode_watch_message(bytes) {
                    Ok(message) => self.session.watch_message(now, message, &mut self.actions),
                    Err(error) => self.session.invalid_message(now, error, &mut self.actions),
                }
            }
            ChannelEvent::Message { call, bytes } => self.range_received(now, call, bytes),
            ChannelEvent::Ended { call, status } if self.calls.watch == Some(call) => {
                self.calls.watch = None;
                self.session.watch_ended(now, status, &mut self.actions);
            }
            ChannelEvent::Ended { call, status } if status.is_ok() && self.calls.answered == call => {}
            ChannelEvent::Ended { call, status } => {
                let status = if status.is_ok() {
                    Status::new(code::OK, "the call ended without a response")
                } else {
                    status
                };
                self.session.call_failed(now, call, status, &mut self.actions);
            }
            ChannelEvent::Closed { .. } => self.session.lost(now, connection, &mut self.actions),
        }
    }

    /// Handles the response to a call for a page or a count.
    fn range_received(&mut self, now: Micros, call: u64, bytes: Bytes) {
        self.calls.answered = call;
        let page_call = self.calls.page.take_if(|(page_call, _)| *page_call == call);
        let from = page_call.as_ref().map_or(self.decoder.prefix.as_bytes(), |(_, from)| from);
        match self.decoder.decode_page(bytes, from) {
            Ok(page) if page_call.is_some() => {
                self.session.page_received(now, call, page, &mut self.actions);
            }
            Ok(page) => self.session.count_received(now, call, page.header, page.count, &mut self.actions),
            Err(error) => self.session.invalid_message(now, error, &mut self.actions),
        }
    }

    /// Passes the list to the saver if its revision has changed and the minimum interval has passed.
    fn save_snapshot(&mut self, now: Micros) {
        let Some(snapshots) = &mut self.snapshots else { return };
        let is_due = now.saturating_sub(snapshots.saved_at) >= SNAPSHOT_INTERVAL;
        let is_changed = snapshots.saved_revision != self.session.revision();
        if !is_due || !is_changed || !self.session.is_watching() {
            return;
        }
        let Some(list) = self.session.saved_list() else { return };
        let revision = list.revision;
        snapshots.saved_at = now;
        match snapshots.saver.save(list) {
            Ok(()) => snapshots.saved_revision = revision,
            Err(error) => warn!(self.log, "registry: snapshot not written"; "why" => %error),
        }
    }

    /// Logs the counters of the session and the number of endpoints in each state.
    pub fn report(&self, now: Micros, counts: &Counts) {
        let age = self.session.confirmed().map(|confirmed| now.saturating_sub(confirmed) / 1000);
        info!(self.log, "registry figures"; "list_age_ms" => age, "watching" => self.session.is_watching(),
              "revision" => self.session.revision(), "keys" => self.session.keys(), "ready" => counts.ready,
              "draining" => counts.draining, "shadowed" => counts.shadowed,
              "counts" => ?self.session.counters());
    }

    fn log_notice(&self, notice: Notice) {
        let log = &self.log;
        let address = |endpoint: usize| self.settings.endpoints.get(endpoint).map(ToString::to_string);
        match notice {
            Notice::ListTaken { revision, keys, changes, took } => {
                info!(log, "registry: list taken"; "revision" => revision, "keys" => keys, "changes" => changes,
                      "took_us" => took);
            }
            Notice::Disconnected { endpoint, reason } => {
                warn!(log, "registry: connection lost"; "endpoint" => address(endpoint), "why" => ?reason);
            }
            Notice::Compacted { revision } => {
                info!(log, "registry: revision is compacted, reading a new list"; "known" => revision);
            }
            Notice::Relisting(reason) => warn!(log, "registry: reading a new list"; "why" => %reason),
            Notice::MemberBehind { endpoint, revision, accepted } => {
                warn!(log, "registry: member lags, its state is not accepted"; "endpoint" => address(endpoint),
                      "revision" => revision, "seen" => accepted);
            }
            Notice::OtherCluster { endpoint, cluster } => {
                warn!(log, "registry: member belongs to another cluster, its state is not accepted"; "endpoint" => address(endpoint),
                      "cluster" => format!("{cluster:016x}"));
            }
            Notice::Restored { cluster, revision, accepted } => {
                warn!(log, "registry: restored or replaced, its list replaces the current one";
                      "cluster" => format!("{cluster:016x}"), "revision" => revision, "seen" => accepted);
            }
            Notice::UnreadableRecord { key, revision, error } => {
                warn!(log, "registry: record is unusable, its endpoint is treated as draining";
                      "key" => String::from_utf8_lossy(&key).into_owned(), "revision" => revision,
                      "why" => %error);
            }
            Notice::TooManyKeys { keys, max_keys } => {
                warn!(log, "registry: more keys than allowed, the previous list is kept"; "keys" => keys,
                      "most" => max_keys);
            }
        }
    }
}

/// Starts the session with the snapshot, if a usable one exists, and starts the thread that writes snapshots. Returns
/// `None` if the settings name no folder for snapshots or the thread can't be started.
fn resume_from_snapshot(
    settings: &Settings,
    decoder: &Decoder,
    session: &mut Session,
    now: Micros,
    log: &Logger,
) -> Option<Snapshots> {
    let folder = settings.snapshot.as_ref()?;
    match snapshot::load(folder, decoder, settings.max_keys) {
        Ok(list) => {
            info!(log, "registry: starting from the snapshot"; "revision" => list.revision,
                  "depots" => list.entries.len());
            session.resume(list);
        }
        Err(error) => warn!(log, "registry: starting without a snapshot"; "why" => %error),
    }
    match snapshot::Saver::start(folder.clone(), decoder.clone()) {
        Ok(saver) => Some(Snapshots { saver, saved_revision: 0, saved_at: now }),
        Err(error) => {
            warn!(log, "registry: can't write snapshots"; "why" => %error);
            None
        }
    }
}
