//! Joins the session to the event loop: the connection, calls and their answers, the snapshot on disk, and the log. It
//! decides nothing. The proxy owns it.

use super::answers::Reader;
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
use crate::config::product::Registry as Settings;
use crate::endpoints::Counts;
use crate::net::event_loop::{EventLoop, Ready};
use crate::routing::events::Micros;
use bytes::Bytes;
use mio::Token;
use slog::{info, warn, Logger};

/// How often what has arrived may lead to further calls within one turn.
const MAX_ROUNDS_PER_TURN: usize = 2;
/// Least time between two snapshots.
const SNAPSHOT_INTERVAL: Micros = 2_000_000;

/// The calls on the open connection.
#[derive(Default)]
struct OpenCalls {
    /// The stream of the watches.
    watch: Option<u64>,
    /// The call for a page, with the first key that it asks for.
    page: Option<(u64, Vec<u8>)>,
    /// The last call whose answer has arrived; its end is still to come and says nothing more.
    answered: u64,
}

/// The snapshot on disk.
struct Snapshots {
    saver: snapshot::Saver,
    /// The revision that was saved last.
    saved_revision: u64,
    /// When it was saved, or could not be.
    saved_at: Micros,
}

/// The registry as one instance follows it.
pub struct Driver {
    log: Logger,
    settings: Settings,
    reader: Reader,
    session: Session,
    link: Option<Link>,
    calls: OpenCalls,
    actions: Vec<Action>,
    events: Vec<ChannelEvent>,
    has_work: bool,
    snapshots: Option<Snapshots>,
}

impl Driver {
    /// A driver that begins now, with the snapshot if there is a usable one.
    pub fn new(settings: Settings, names: Names, seed: u64, now: Micros, log: Logger) -> Self {
        let prefix = settings.prefix.clone();
        let reader = Reader { prefix, names, max_value_bytes: settings.most_value };
        let mut session = Session::new(settings.clone(), seed, now);
        let snapshots = resume_from_snapshot(&settings, &reader, &mut session, now, &log);
        Driver {
            log,
            settings,
            reader,
            session,
            link: None,
            calls: OpenCalls::default(),
            actions: Vec::new(),
            events: Vec::new(),
            has_work: false,
            snapshots,
        }
    }

    /// The token of its connection.
    pub fn token(&self) -> Option<Token> {
        self.link.as_ref().map(Link::token)
    }

    /// When it wants a turn without any input.
    pub fn next(&self) -> Micros {
        self.session.next()
    }

    /// Whether there is more to do than the last turn did.
    pub fn wants_turn(&self) -> bool {
        self.has_work || self.session.has_updates() || self.session.is_applying_list()
    }

    /// Takes up to `max_updates` updates of the list.
    pub fn take_updates(&mut self, max_updates: usize) -> impl Iterator<Item = Update> + '_ {
        self.session.take_updates(max_updates)
    }

    /// The session, for its counters.
    pub fn session(&self) -> &Session {
        &self.session
    }

    /// Takes new settings; `false`: some of them require a restart.
    pub fn reconfigure(&mut self, now: Micros, new: &Settings) -> bool {
        let old = &self.settings;
        let applicable = Settings {
            prefix: old.prefix.clone(),
            snapshot: old.snapshot.clone(),
            most_keys: old.most_keys,
            most_value: old.most_value,
            most_message: old.most_message,
            ..new.clone()
        };
        let is_complete = applicable == *new;
        self.session.reconfigure(applicable.clone(), now, &mut self.actions);
        self.settings = applicable;
        is_complete
    }

    /// Takes an event of the event loop.
    pub fn ready(&mut self, event: Ready) {
        if let Some(link) = self.link.as_mut().filter(|link| link.token() == event.token) {
            link.mark_ready();
        }
    }

    /// Does what is due and what can be done. What has arrived is read before silence is judged: it may have lain
    /// there since the process was stopped.
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

    /// A request for all keys below the prefix.
    fn range(&self) -> RangeRequest {
        RangeRequest {
            key: self.reader.prefix.clone().into_bytes(),
            range_end: range_end(self.reader.prefix.as_bytes()),
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
            key: self.reader.prefix.clone().into_bytes(),
            range_end: range_end(self.reader.prefix.as_bytes()),
            start_revision: revision as i64,
            watch_id: watch,
            fragment: true,
            ..WatchCreateRequest::default()
        };
        self.send_watch_request(watch as u64, watch_request::Request::Create(create));
    }

    /// Sends on the stream of the watches, which the first request opens under `call`.
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

    /// Sends and receives, unless many updates wait to be taken: then the flow control makes the registry wait, and the
    /// queue stays bounded.
    fn receive(&mut self, now: Micros) {
        if self.session.pending_updates() <= self.settings.most_keys {
            self.poll_link(now);
        }
    }

    /// Sends and receives, and hands what has arrived to the session.
    fn poll_link(&mut self, now: Micros) {
        let Some(link) = &mut self.link else { return };
        let mut events = std::mem::take(&mut self.events);
        match link.poll(self.settings.most_message, &mut events) {
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
                match self.reader.decode_watch_message(bytes) {
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
                let status = if status.is_ok() { Status::new(code::OK, "no answer") } else { status };
                self.session.call_failed(now, call, status, &mut self.actions);
            }
            ChannelEvent::Closed { .. } => self.session.lost(now, connection, &mut self.actions),
        }
    }

    /// A page or a count has arrived.
    fn range_received(&mut self, now: Micros, call: u64, bytes: Bytes) {
        self.calls.answered = call;
        let page_call = self.calls.page.take_if(|(page_call, _)| *page_call == call);
        let from = page_call.as_ref().map_or(self.reader.prefix.as_bytes(), |(_, from)| from);
        match self.reader.decode_page(bytes, from) {
            Ok(page) if page_call.is_some() => {
                self.session.page_received(now, call, page, &mut self.actions);
            }
            Ok(page) => self.session.count_received(now, call, page.header, page.count, &mut self.actions),
            Err(error) => self.session.invalid_message(now, error, &mut self.actions),
        }
    }

    /// Has the list saved if it has changed, unless it was saved a moment ago.
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

    /// Writes the counters to the log.
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
                info!(log, "registry: history is compacted, lists again"; "known" => revision);
            }
            Notice::Relisting(reason) => warn!(log, "registry: lists again"; "why" => %reason),
            Notice::MemberBehind { endpoint, revision, accepted } => {
                warn!(log, "registry: member lags, not accepted"; "endpoint" => address(endpoint),
                      "revision" => revision, "seen" => accepted);
            }
            Notice::OtherCluster { endpoint, cluster } => {
                warn!(log, "registry: another cluster, not accepted"; "endpoint" => address(endpoint),
                      "cluster" => format!("{cluster:016x}"));
            }
            Notice::Restored { cluster, revision, accepted } => {
                warn!(log, "registry: restored or replaced, its list is taken whole";
                      "cluster" => format!("{cluster:016x}"), "revision" => revision, "seen" => accepted);
            }
            Notice::UnreadableRecord { key, revision, error } => {
                warn!(log, "registry: record can't be read, counts as draining";
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

/// Starts the session with the snapshot if there is a usable one, and the thread that writes new ones.
fn resume_from_snapshot(
    settings: &Settings,
    reader: &Reader,
    session: &mut Session,
    now: Micros,
    log: &Logger,
) -> Option<Snapshots> {
    let folder = settings.snapshot.as_ref()?;
    match snapshot::load(folder, reader, settings.most_keys) {
        Ok(list) => {
            info!(log, "registry: starts from the snapshot"; "revision" => list.revision,
                  "depots" => list.entries.len());
            session.resume(list);
        }
        Err(error) => warn!(log, "registry: starts without a snapshot"; "why" => %error),
    }
    match snapshot::Saver::start(folder.clone(), reader.clone()) {
        Ok(saver) => Some(Snapshots { saver, saved_revision: 0, saved_at: now }),
        Err(error) => {
            warn!(log, "registry: keeps no snapshot"; "why" => %error);
            None
        }
    }
}
