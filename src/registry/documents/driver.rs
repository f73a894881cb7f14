//! Connects the documents and the planner's campaign to the event loop: manages the connection, passes calls and
//! responses on, and writes the log. Makes no decisions. Each part of the proxy that follows documents owns a driver.

use super::{
    Action, Caller, Changes, Document, Documents, DocumentsError, FollowPhase, Notice, Outcome, Reply,
    Request, Rpc, Settings, Transaction,
};
use crate::net::event_loop::{EventLoop, Ready};
use crate::registry::grpc::{Channel, ChannelEvent};
use crate::registry::lease::{self, Campaign, MirrorView, PLANNER_KEY};
use crate::registry::link::{Link, Polled};
use crate::registry::messages::path;
use crate::routing::events::Micros;
use mio::net::TcpStream;
use mio::Token;
use slog::{info, warn, Logger};
use std::net::SocketAddr;

/// Maximum number of rounds of actions and received messages in a turn of the event loop.
const MAX_ROUNDS_PER_TURN: usize = 3;
/// Maximum size of a response, in bytes. Exceeds the registry's own maximum size of a document.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Divisor of the lease time for the range of the random delay of a claim.
const CLAIM_SPREAD_DIVISOR: Micros = 5;
/// Divisor of the lease time for the maximum time of each of the planner's transactions to be sent, and then to be
/// answered, so that a transaction has ended before another instance can lead.
const ANSWER_TIMEOUT_DIVISOR: Micros = 2;

/// Driver through which an instance follows and changes the documents of a registry.
pub struct DocumentsDriver {
    log: Logger,
    endpoints: Vec<SocketAddr>,
    documents: Documents,
    campaign: Campaign,
    link: Option<Link>,
    actions: Vec<Action>,
    campaign_actions: Vec<lease::Action>,
    outcomes: Vec<(u64, Outcome)>,
    events: Vec<ChannelEvent>,
    has_work: bool,
}

impl DocumentsDriver {
    /// Creates a driver for an instance with this name, which dials immediately. `lease` is the time to live of the
    /// planner's lease, in microseconds, rounded up to whole seconds. `seed` initializes the random number generators.
    pub fn new(
        endpoints: Vec<SocketAddr>,
        prefix: &str,
        lease: Micros,
        name: &str,
        seed: u64,
        now: Micros,
        log: Logger,
    ) -> Self {
        let defaults = Settings::new(endpoints.len(), prefix);
        let settings = Settings {
            answer_timeout: defaults.answer_timeout.min(lease / ANSWER_TIMEOUT_DIVISOR),
            ..defaults
        };
        let campaign = Campaign::new(name, lease, lease / CLAIM_SPREAD_DIVISOR, seed.rotate_left(32));
        DocumentsDriver { campaign, ..DocumentsDriver::new_follower(endpoints, settings, seed, now, log) }
    }

    /// Creates a driver that only follows documents and never becomes the planner.
    pub fn new_follower(
        endpoints: Vec<SocketAddr>,
        settings: Settings,
        seed: u64,
        now: Micros,
        log: Logger,
    ) -> Self {
        DocumentsDriver {
            log,
            endpoints,
            documents: Documents::new(settings, seed, now),
            campaign: Campaign::new("", 0, 0, seed),
            link: None,
            actions: Vec::new(),
            campaign_actions: Vec::new(),
            outcomes: Vec::new(),
            events: Vec::new(),
            has_work: true,
        }
    }

    /// Returns the event loop token of the connection.
    pub fn token(&self) -> Option<Token> {
        self.link.as_ref().map(Link::token)
    }

    /// Time at which the next turn is due without further input.
    pub fn next_due(&self) -> Micros {
        self.documents.next_due().min(self.campaign.next_due())
    }

    /// Whether the last turn left work to do.
    pub fn wants_turn(&self) -> bool {
        self.has_work || !self.actions.is_empty()
    }

    /// Handles an event of the event loop.
    pub fn ready(&mut self, event: Ready) {
        if let Some(link) = self.link.as_mut().filter(|link| link.token() == event.token) {
            link.mark_ready();
        }
    }

    /// Returns the document with this key, which is without the prefix.
    pub fn get(&self, key: &str) -> Option<&Document> {
        self.documents.get(key)
    }

    /// Returns all documents whose keys begin with `prefix`, in ascending order. The planner's key [`PLANNER_KEY`] is
    /// included.
    pub fn with_prefix<'a>(&'a self, prefix: &str) -> impl Iterator<Item = (&'a str, &'a Document)> + 'a {
        self.documents.with_prefix(prefix)
    }

    /// Whether the documents were confirmed recently; see [`Documents::is_current`].
    pub fn is_current(&self, now: Micros) -> bool {
        self.documents.is_current(now)
    }

    /// Returns the latest time at which the documents are known to have been current.
    pub fn confirmed(&self) -> Option<Micros> {
        self.documents.confirmed()
    }

    /// Returns the phase of the connection.
    pub fn phase(&self) -> FollowPhase {
        self.documents.phase()
    }

    /// Returns the revision of the documents; 0 before the first list.
    pub fn revision(&self) -> i64 {
        self.documents.revision()
    }

    /// Returns the keys that have changed since the last call of this method.
    pub fn take_changes(&mut self) -> Changes {
        self.documents.take_changes()
    }

    /// Sets whether this instance competes to be the planner.
    pub fn set_campaigning(&mut self, enabled: bool) {
        self.campaign.set_enabled(enabled);
        self.has_work = true;
    }

    /// Returns the fence while this instance is the planner. The planner must pass each of its transactions through
    /// [`lease::fenced`] with this fence.
    pub fn fence(&self, now: Micros) -> Option<i64> {
        self.campaign.fence(now)
    }

    /// Accepts a transaction with an id that no pending transaction has. The transaction is sent at the next turn if the
    /// watch is open. The outcome is [`Outcome::NotSent`] if the transaction can't be sent in time.
    ///
    /// # Errors
    /// The transaction is not accepted and gets no outcome if too many are pending, if its id is in use, or if the
    /// registry would reject the transaction.
    pub fn submit(&mut self, now: Micros, id: u64, transaction: Transaction) -> Result<(), DocumentsError> {
        if transaction.written_keys().any(|key| key == PLANNER_KEY) {
            return Err(DocumentsError::ReservedKey { key: PLANNER_KEY.to_owned() });
        }
        if self.outcomes.iter().any(|(pending, _)| *pending == id) {
            return Err(DocumentsError::DuplicateId { id });
        }
        // Outcomes that the owner has not taken count too, because nothing else bounds their number.
        let max_calls = self.documents.settings.max_calls;
        if self.outcomes.len() >= max_calls {
            return Err(DocumentsError::Busy { max_calls });
        }
        let request = Request::Transaction(transaction, 0);
        self.documents.submit(now, Caller::Owner(id), request, &mut self.actions)
    }

    /// Returns the outcomes since the last call of this method. Each accepted transaction gets exactly one outcome.
    pub fn take_outcomes(&mut self) -> Vec<(u64, Outcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Runs all work that is due. Received data is read before timeouts are checked, because data may have arrived while
    /// the process was paused.
    pub fn turn(&mut self, now: Micros, event_loop: &mut EventLoop) {
        self.documents.expire_waiting_calls(now);
        self.poll_link(now);
        self.documents.tick(now, &mut self.actions);
        self.has_work = true;
        for _ in 0..MAX_ROUNDS_PER_TURN {
            self.run_campaign(now);
            for action in std::mem::take(&mut self.actions) {
                self.perform(now, event_loop, action);
            }
            self.poll_link(now);
            if self.actions.is_empty() && !self.documents.has_replies() {
                self.has_work = self.link.as_ref().is_some_and(Link::has_work);
                break;
            }
        }
        self.run_campaign(now);
    }

    /// Passes replies on to their callers and advances the campaign.
    fn run_campaign(&mut self, now: Micros) {
        for (caller, reply) in self.documents.take_replies() {
            match (caller, reply) {
                (Caller::Campaign(id), reply) => {
                    self.campaign.reply_received(now, id, reply, &mut self.campaign_actions);
                }
                (Caller::Owner(id), Reply::Outcome(outcome)) => self.outcomes.push((id, outcome)),
                // The owner submits only transactions, so any other kind of reply is unexpected.
                (Caller::Owner(id), _) => self.outcomes.push((id, Outcome::Unknown)),
            }
        }
        let documents = &self.documents;
        let view = MirrorView {
            holder: documents.get(PLANNER_KEY),
            revision: documents.revision(),
            confirmed: documents.confirmed(),
            is_current: documents.is_current(now),
        };
        self.campaign.tick(now, &view, &mut self.campaign_actions);
        for action in std::mem::take(&mut self.campaign_actions) {
            match action {
                lease::Action::Notify(notice) => self.log_campaign_notice(notice),
                lease::Action::Call { id, request } => self.submit_for_campaign(now, id, request),
            }
        }
    }

    fn submit_for_campaign(&mut self, now: Micros, id: u64, request: Request) {
        let submitted = self.documents.submit(now, Caller::Campaign(id), request, &mut self.actions);
        if let Err(error) = submitted {
            warn!(self.log, "documents: call of the planner's campaign was not accepted"; "why" => %error);
            let reply = Reply::Outcome(Outcome::NotSent);
            self.campaign.reply_received(now, id, reply, &mut self.campaign_actions);
        }
    }

    fn perform(&mut self, now: Micros, event_loop: &mut EventLoop, action: Action) {
        match action {
            Action::Dial { connection, endpoint } => {
                match Link::dial(event_loop, self.endpoints.get(endpoint), connection) {
                    Ok(link) => self.link = Some(link),
                    Err(_) => self.documents.lost(now, connection, &mut self.actions),
                }
            }
            Action::Disconnect { connection } => {
                self.link.take_if(|link| link.id() == connection);
            }
            Action::Call { call, rpc } => self.send(|channel| begin_call(channel, call, &rpc)),
            Action::Send { call, request } => self.send(|channel| channel.send(call, &request)),
            Action::Cancel { call } => self.send(|channel| channel.cancel(call)),
            Action::Notify(notice) => self.log_notice(notice),
        }
    }

    fn send(&mut self, send: impl FnOnce(&mut Channel<TcpStream>)) {
        if let Some(link) = &mut self.link {
            link.send(send);
        }
    }

    /// Sends and receives on the connection, and passes received events to the documents.
    fn poll_link(&mut self, now: Micros) {
        let Some(link) = &mut self.link else { return };
        let mut events = std::mem::take(&mut self.events);
        match link.poll(MAX_MESSAGE_BYTES, &mut events) {
            Polled::Nothing => {}
            Polled::Dialed(connection) => self.documents.dialed(now, connection, &mut self.actions),
            Polled::DialFailed(connection) => self.documents.lost(now, connection, &mut self.actions),
            Polled::Events(connection) => {
                events.drain(..).for_each(|event| self.handle_event(now, connection, event));
            }
        }
        self.events = events;
    }

    fn handle_event(&mut self, now: Micros, connection: u64, event: ChannelEvent) {
        let (documents, actions) = (&mut self.documents, &mut self.actions);
        match event {
            ChannelEvent::Message { call, bytes } => documents.message_received(now, call, &bytes, actions),
            ChannelEvent::Ended { call, status } => documents.call_ended(now, call, status, actions),
            ChannelEvent::Closed { .. } => documents.lost(now, connection, actions),
        }
    }

    /// Writes the counters to the log.
    pub fn report(&self, now: Micros) {
        let age = self.documents.confirmed().map(|confirmed| now.saturating_sub(confirmed) / 1000);
        let (keys, bytes) = self.documents.size();
        info!(self.log, "documents figures"; "age_ms" => age, "watching" => self.documents.is_watching(),
              "revision" => self.documents.revision(), "keys" => keys, "bytes" => bytes,
              "fence" => self.campaign.fence(now), "counts" => ?self.documents.counters());
    }

    fn log_notice(&self, notice: Notice) {
        let log = &self.log;
        match notice {
            Notice::ListTaken { revision, keys, took } => {
                info!(log, "documents: list taken"; "revision" => revision, "keys" => keys, "took_us" => took);
            }
            Notice::Disconnected { endpoint, error } => {
                let address = self.endpoints.get(endpoint).map(ToString::to_string);
                warn!(log, "documents: connection lost"; "endpoint" => address, "why" => %error);
            }
            Notice::Rejected(status) => {
                warn!(log, "documents: registry rejected a call without executing it"; "why" => %status);
            }
        }
    }

    fn log_campaign_notice(&self, notice: lease::Notice) {
        let log = &self.log;
        match notice {
            lease::Notice::PlannerChanged(planner) => {
                info!(log, "planner: leader changed"; "planner" => planner)
            }
            lease::Notice::Elected { fence } => {
                info!(log, "planner: this instance was elected leader"; "fence" => fence)
            }
            lease::Notice::Lost(reason) => {
                warn!(log, "planner: leadership lost or not gained"; "why" => ?reason)
            }
        }
    }
}

fn begin_call(channel: &mut Channel<TcpStream>, call: u64, rpc: &Rpc) {
    match rpc {
        Rpc::Range(request) => channel.call(call, path::RANGE, request, true),
        Rpc::Watch(request) => channel.call(call, path::WATCH, request, false),
        Rpc::Transaction(request) => channel.call(call, path::TXN, request, true),
        Rpc::Grant(request) => channel.call(call, path::LEASE_GRANT, request, true),
        Rpc::KeepAlive(request) => channel.call(call, path::LEASE_KEEP_ALIVE, request, true),
        Rpc::Revoke(request) => channel.call(call, path::LEASE_REVOKE, request, true),
    }
}
