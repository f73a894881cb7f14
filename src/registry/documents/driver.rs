//! Joins the documents and the campaign to the event loop: the connection, calls and their answers, and the log. It
//! decides nothing. The parts of the proxy that follow documents own one each.

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

/// How often what has arrived may lead to further calls within one turn.
const MAX_ROUNDS_PER_TURN: usize = 3;
/// Largest answer that is taken: more than the largest document that the registry takes by itself.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Claims of all instances are spread over this part of the lease.
const CLAIM_SPREAD_PART: Micros = 5;
/// The planner's transactions are sent and answered within this part of the lease each, so that they are done or dead
/// before another instance can lead.
const ANSWER_PART: Micros = 2;

/// The documents of a registry as one instance follows and changes them.
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
    /// One that begins now, for an instance of this name, with random numbers from `seed`. `lease` is how long a planner
    /// stays one without being heard, in microseconds; whole seconds are asked for.
    pub fn new(
        endpoints: Vec<SocketAddr>,
        prefix: &str,
        lease: Micros,
        name: &str,
        seed: u64,
        now: Micros,
        log: Logger,
    ) -> Self {
        let usual = Settings::new(endpoints.len(), prefix);
        let settings = Settings { answer_timeout: usual.answer_timeout.min(lease / ANSWER_PART), ..usual };
        let campaign = Campaign::new(name, lease, lease / CLAIM_SPREAD_PART, seed.rotate_left(32));
        DocumentsDriver { campaign, ..DocumentsDriver::new_follower(endpoints, settings, seed, now, log) }
    }

    /// One that only follows, by these settings: it is no planner, and never wants to be one.
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

    /// The token of its connection.
    pub fn token(&self) -> Option<Token> {
        self.link.as_ref().map(Link::token)
    }

    /// When it wants a turn without any input.
    pub fn next_due(&self) -> Micros {
        self.documents.next_due().min(self.campaign.next_due())
    }

    /// Whether there is more to do than the last turn did.
    pub fn wants_turn(&self) -> bool {
        self.has_work || !self.actions.is_empty()
    }

    /// Takes an event of the event loop.
    pub fn ready(&mut self, event: Ready) {
        if let Some(link) = self.link.as_mut().filter(|link| link.token() == event.token) {
            link.mark_ready();
        }
    }

    /// A document, by its key below the prefix.
    pub fn get(&self, key: &str) -> Option<&Document> {
        self.documents.get(key)
    }

    /// All documents whose keys begin so, in order; the planner's own key [`PLANNER_KEY`] is among them.
    pub fn with_prefix<'a>(&'a self, prefix: &str) -> impl Iterator<Item = (&'a str, &'a Document)> + 'a {
        self.documents.with_prefix(prefix)
    }

    /// Whether the documents were confirmed within the last few seconds.
    pub fn is_current(&self, now: Micros) -> bool {
        self.documents.is_current(now)
    }

    /// As of when the documents were last known to be current.
    pub fn confirmed(&self) -> Option<Micros> {
        self.documents.confirmed()
    }

    /// How far the connection is.
    pub fn phase(&self) -> FollowPhase {
        self.documents.phase()
    }

    /// The revision that the documents are of; 0: none were listed yet.
    pub fn revision(&self) -> i64 {
        self.documents.revision()
    }

    /// Keys that have changed since the last call of this.
    pub fn take_changes(&mut self) -> Changes {
        self.documents.take_changes()
    }

    /// Whether this instance is to become and stay the planner.
    pub fn set_campaigning(&mut self, on: bool) {
        self.campaign.set_enabled(on);
        self.has_work = true;
    }

    /// The planner's fence, if this instance is the planner now. What a planner writes goes through
    /// [`lease::fenced`] with it.
    pub fn fence(&self, now: Micros) -> Option<i64> {
        self.campaign.fence(now)
    }

    /// Takes a transaction under a number that no other one that waits has. It is sent at the next turn while the
    /// registry is followed; if that does not come to be in time its outcome is [`Outcome::NotSent`].
    ///
    /// # Errors
    /// It was not taken, and gets no outcome: too many wait, or it could never be carried out.
    pub fn submit(&mut self, now: Micros, id: u64, transaction: Transaction) -> Result<(), DocumentsError> {
        if transaction.written_keys().any(|key| key == PLANNER_KEY) {
            return Err(DocumentsError::ReservedKey { key: PLANNER_KEY.to_owned() });
        }
        if self.outcomes.iter().any(|(pending, _)| *pending == id) {
            return Err(DocumentsError::DuplicateId { id });
        }
        // Outcomes that were not taken count too: they have no other bound.
        let max_calls = self.documents.settings.max_calls;
        if self.outcomes.len() >= max_calls {
            return Err(DocumentsError::Busy { max_calls });
        }
        let request = Request::Transaction(transaction, 0);
        self.documents.submit(now, Caller::Owner(id), request, &mut self.actions)
    }

    /// Outcomes since the last call of this; each transaction that was taken gets exactly one.
    pub fn take_outcomes(&mut self) -> Vec<(u64, Outcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Does what is due and what can be done. What has arrived is read before silence is judged: it may have lain
    /// there since the process was stopped.
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

    /// Hands replies on, and lets the campaign go on.
    fn run_campaign(&mut self, now: Micros) {
        for (caller, reply) in self.documents.take_replies() {
            match (caller, reply) {
                (Caller::Campaign(id), reply) => {
                    self.campaign.reply_received(now, id, reply, &mut self.campaign_actions);
                }
                (Caller::Owner(id), Reply::Outcome(outcome)) => self.outcomes.push((id, outcome)),
                // The owner submits transactions only, so this is no reply to one.
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
            warn!(self.log, "documents: the planner's call was not accepted"; "why" => %error);
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

    /// Sends and receives, and hands what has arrived to the documents.
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
                warn!(log, "documents: connection given up"; "endpoint" => address, "why" => %error);
            }
            Notice::Rejected(status) => {
                warn!(log, "documents: a call was rejected, nothing has happened"; "why" => %status);
            }
        }
    }

    fn log_campaign_notice(&self, notice: lease::Notice) {
        let log = &self.log;
        match notice {
            lease::Notice::PlannerChanged(planner) => {
                info!(log, "planner: another or none"; "planner" => planner)
            }
            lease::Notice::Elected { fence } => info!(log, "planner: this instance"; "fence" => fence),
            lease::Notice::Lost(why) => warn!(log, "planner: not this instance any more"; "why" => ?why),
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
