//! The clients' side: connections, what is read on them and how they end.
//!
//! [`Clients`] owns the connections and chooses among them; [`super::client_admission`] accepts and evicts them,
//! [`super::requests`] holds what was asked on them.

use super::message_buffer::MessageBuffer;
use super::timers::MILLISECOND;
use super::Proxy;
use crate::config::settings::{ClassLookup, Document, MAX_TIME_US};
use crate::lifecycle::{IdleConnection, Lifecycle};
use crate::net::connection::{Connection, State};
use crate::net::event_loop::Ready;
use crate::net::protocol::frames::{self, ClientMessage};
use crate::net::protocol::{ClientRequest, Malformed, Response};
use crate::routing::events::{Id, Idempotency, Micros};
use mio::net::TcpStream;
use mio::Token;
use rustc_hash::{FxHashMap, FxHashSet};
use slog::warn;

const MICROS_PER_S: f64 = 1e6;
/// Requests that may be open on one connection.
const MAX_OPEN_STREAMS: usize = 32;
/// Requests of one connection that may be cancelled beyond those that are answered.
pub(super) const MAX_UNANSWERED_CANCELS: u32 = 64;
/// No client waits longer than this many times what its class allows, and no transfer takes longer.
const MAX_TIMEOUT_FACTOR: u64 = 4;
/// Bytes that may wait for a client before no more is read from it.
pub(super) const BACKLOG_HIGH_WATER: usize = 1 << 20;
/// Bytes below which reading goes on.
const BACKLOG_LOW_WATER: usize = 1 << 18;
/// A client that takes none of what waits for it for so long is dropped.
pub(super) const WRITE_STALL_TIMEOUT: Micros = 8_000 * MILLISECOND;
/// A connection with no open request is closed after so long. Clients that reuse theirs close them after 4 s.
pub(super) const IDLE_TIMEOUT: Micros = 5_000 * MILLISECOND;
/// The first message must be whole within this of the accept, any other within this of its first byte.
pub(super) const MESSAGE_TIMEOUT: Micros = 2_000 * MILLISECOND;
/// Added to it while bytes keep coming. Some clients take 2 s to write a message, and a client that breaks the
/// protocol is owed its error within 3 s of connecting.
pub(super) const MESSAGE_TIMEOUT_EXTENSION: Micros = 600 * MILLISECOND;
/// Bytes keep coming while there is no longer gap between them.
const MESSAGE_STALL_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// A client whose connection was finished has so long to close its side.
pub(super) const CLOSE_TIMEOUT: Micros = 500 * MILLISECOND;

/// A client's connection.
pub(super) struct Client {
    pub(super) conn: Connection<TcpStream>,
    last_stream: u32,
    /// The requests that await their response, by stream.
    pub(super) open_streams: FxHashMap<u32, Id>,
    /// It has been told that no new request is to come on this connection.
    pub(super) is_sent_away: bool,
    /// Requests cancelled, less those answered since.
    unanswered_cancels: u32,
    /// Whole messages that it has sent.
    message_count: u64,
    /// Since when a message that is not whole is awaited: from its first byte, the first one from the accept.
    message_awaited_since: Option<Micros>,
    pub(super) last_used: Micros,
    /// Why nothing more is read from it. It is told so, as the last thing, once all its open requests are answered.
    protocol_error: Option<Malformed>,
}

/// The messages of one turn up to the first that is in breach of the protocol.
#[derive(Default)]
struct ValidatedMessages {
    messages: Vec<ClientMessage>,
    error: Option<Malformed>,
}

/// The streams that one turn's messages begin and cancel.
struct TurnStreams {
    /// The place of each new request among the messages.
    begun: FxHashMap<u32, usize>,
    cancelled: FxHashSet<u32>,
    open: usize,
    /// A cancellation of a request that the same turn has begun was counted.
    has_counted_begun: bool,
}

impl Client {
    pub(super) fn new(stream: TcpStream, now: Micros) -> Self {
        Client {
            conn: Connection::accepted(stream, now),
            last_stream: 0,
            open_streams: FxHashMap::default(),
            is_sent_away: false,
            unanswered_cancels: 0,
            message_count: 0,
            message_awaited_since: Some(now),
            last_used: now,
            protocol_error: None,
        }
    }

    /// Whether it has no open request and nothing waits to be written.
    pub(super) fn is_idle(&self) -> bool {
        self.open_streams.is_empty() && self.conn.backlog() == 0
    }

    /// Whether it has ever sent a whole message.
    fn has_sent_message(&self) -> bool {
        self.message_count > 0
    }

    /// Whether it is open and has never sent a whole message.
    pub(super) fn is_silent(&self) -> bool {
        !self.has_sent_message() && self.conn.is_open()
    }

    /// Notes what a read has brought, for the timeouts.
    fn note_received(&mut self, now: Micros, messages: usize) {
        self.last_used = now;
        self.message_count += messages as u64;
        let awaits_more = !self.has_sent_message() || self.conn.has_partial_message();
        let since = self.message_awaited_since.filter(|_| messages == 0).unwrap_or(now);
        self.message_awaited_since = awaits_more.then_some(since);
    }

    /// Notes that a response went out; gives the request that awaited it.
    pub(super) fn note_response(&mut self, stream: u32) -> Option<Id> {
        self.unanswered_cancels = self.unanswered_cancels.saturating_sub(1);
        self.open_streams.remove(&stream)
    }

    /// Checks what one turn has brought before any of it is acted on, and takes out the requests that were cancelled
    /// within it. Requests that nobody waits for, or that can't be used, take nothing from the endpoints.
    fn validate(
        &mut self,
        messages: Vec<ClientMessage>,
        check_request: impl Fn(&ClientRequest) -> Result<(), Malformed>,
    ) -> ValidatedMessages {
        let mut valid = ValidatedMessages::default();
        let mut streams = TurnStreams {
            begun: FxHashMap::default(),
            cancelled: FxHashSet::default(),
            open: self.open_streams.len(),
            has_counted_begun: false,
        };
        for message in messages {
            match &message {
                ClientMessage::Ready { .. } => {}
                ClientMessage::Cancel { stream } => {
                    self.note_cancel(*stream, &mut streams, &mut valid.messages);
                    if self.unanswered_cancels > MAX_UNANSWERED_CANCELS {
                        valid.error = Some(Malformed::TooManyCancels);
                    }
                }
                ClientMessage::Request { stream, request } => {
                    let checked = self.begin_stream(*stream, streams.open);
                    if let Err(error) = checked.and_then(|()| check_request(request)) {
                        valid.error = Some(error);
                        return valid;
                    }
                    streams.open += 1;
                    streams.begun.insert(*stream, valid.messages.len());
                }
            }
            valid.messages.push(message);
            if valid.error.is_some() {
                break;
            }
        }
        valid
    }

    /// Counts a cancellation, and takes a request of the same turn out of the messages. All of these together count as
    /// one: they cost nothing but their reading, and many come at once where the process was stopped for a while.
    fn note_cancel(&mut self, stream: u32, streams: &mut TurnStreams, messages: &mut [ClientMessage]) {
        let is_known = streams.begun.contains_key(&stream) || self.open_streams.contains_key(&stream);
        let is_first = is_known && streams.cancelled.insert(stream);
        if is_first {
            streams.open -= 1;
        }
        if let Some(place) = streams.begun.remove(&stream) {
            // A cancellation of no stream takes its place, so that the places of the others stay right.
            messages[place] = ClientMessage::Cancel { stream: 0 };
            self.unanswered_cancels += u32::from(!std::mem::replace(&mut streams.has_counted_begun, true));
        } else if is_first {
            self.unanswered_cancels += 1;
        }
    }

    /// Takes the number of a new request's stream, where so many are open.
    fn begin_stream(&mut self, stream: u32, open: usize) -> Result<(), Malformed> {
        if stream <= self.last_stream {
            return Err(Malformed::StreamReused);
        }
        self.last_stream = stream;
        if open >= MAX_OPEN_STREAMS {
            return Err(Malformed::TooManyRequests);
        }
        Ok(())
    }
}

/// The longest that a client may wait for a request of a class with this deadline.
fn longest_timeout(deadline: Micros) -> Micros {
    deadline.saturating_mul(MAX_TIMEOUT_FACTOR)
}

/// How long one transfer of a size takes, in microseconds; 0 where the settings do not tell its pace.
fn transfer_time_us(size_kb: f64, settings: &Document) -> f64 {
    let pace_kb_per_s = settings.domain.flow_kb_per_s;
    if pace_kb_per_s > 0.0 {
        size_kb / pace_kb_per_s * MICROS_PER_S
    } else {
        0.0
    }
}

/// Whether a transfer of a size ends before even the most patient client of a class with this deadline gives up. A
/// request of which no transfer does is well-formed, and is rejected on its own.
pub(super) fn can_transfer_in_time(size_kb: f64, deadline: Micros, settings: &Document) -> bool {
    transfer_time_us(size_kb, settings) <= longest_timeout(deadline) as f64
}

/// Checks that the settings know a request and that its client can mean it. `may_lack_key`: the settings by which it
/// was made may not have asked for a key.
fn check_request(
    request: &ClientRequest,
    settings: &Document,
    named: ClassLookup,
    may_lack_key: bool,
) -> Result<(), Malformed> {
    let (class, deadline) = match named {
        ClassLookup::Found { deadline, class, .. } => (class, deadline),
        ClassLookup::Dropped => return Ok(()),
        ClassLookup::Unknown => return Err(Malformed::UnknownRoute),
    };
    if request.timeout_ms == 0 || request.timeout_ms.saturating_mul(MILLISECOND) > longest_timeout(deadline) {
        return Err(Malformed::TimeoutRange);
    }
    if transfer_time_us(request.size_kb, settings) > MAX_TIME_US as f64 {
        return Err(Malformed::SizeRange);
    }
    if class.idempotency == Idempotency::WithKey && request.idempotency_key.is_none() && !may_lack_key {
        return Err(Malformed::MissingIdempotencyKey);
    }
    Ok(())
}

/// Connections whose time is over, by what becomes of them.
struct ExpiredClients {
    /// To be dropped.
    stalled: Vec<Token>,
    /// To be closed unless something has come meanwhile.
    idle: Vec<Token>,
    /// To be closed whatever comes, since the process ends.
    parting: Vec<Token>,
}

/// The connections of all clients.
#[derive(Default)]
pub(super) struct Clients {
    by_token: FxHashMap<Token, Client>,
}

impl Clients {
    pub(super) fn insert(&mut self, token: Token, client: Client) {
        self.by_token.insert(token, client);
    }

    pub(super) fn remove(&mut self, token: &Token) -> Option<Client> {
        self.by_token.remove(token)
    }

    pub(super) fn get(&self, token: &Token) -> Option<&Client> {
        self.by_token.get(token)
    }

    pub(super) fn get_mut(&mut self, token: &Token) -> Option<&mut Client> {
        self.by_token.get_mut(token)
    }

    pub(super) fn contains(&self, token: &Token) -> bool {
        self.by_token.contains_key(token)
    }

    pub(super) fn len(&self) -> usize {
        self.by_token.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_token.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Token, &Client)> {
        self.by_token.iter()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Client> {
        self.by_token.values()
    }

    pub(super) fn tokens(&self) -> Vec<Token> {
        self.by_token.keys().copied().collect()
    }

    fn tokens_where(&self, wanted: impl Fn(&Client) -> bool) -> Vec<Token> {
        self.by_token.iter().filter(|(_, client)| wanted(client)).map(|(token, _)| *token).collect()
    }

    /// How many are on their way to their end.
    pub(super) fn ending(&self) -> usize {
        self.by_token.values().filter(|client| client.conn.is_ending()).count()
    }

    /// The one on its way to its end on which nothing has moved for longest.
    pub(super) fn longest_ending(&self) -> Option<Token> {
        let ending = self.by_token.iter().filter(|(_, client)| client.conn.is_ending());
        ending
            .min_by_key(|(token, client)| (client.conn.last_write_progress, **token))
            .map(|(token, _)| *token)
    }

    /// The open connection that is missed least: idle for longest, with half a message only if all others have one.
    /// With it, whether it has.
    pub(super) fn least_useful(&self) -> Option<(Token, bool)> {
        let idle = self.by_token.iter().filter(|(_, client)| client.is_idle() && client.conn.is_open());
        let rank = |(token, client): &(&Token, &Client)| {
            (client.conn.has_partial_message(), client.last_used, **token)
        };
        idle.min_by_key(rank).map(|(token, client)| (*token, client.conn.has_partial_message()))
    }

    /// How many are silent.
    pub(super) fn silent(&self) -> usize {
        self.by_token.values().filter(|client| client.is_silent()).count()
    }

    /// The silent one that was accepted first.
    pub(super) fn oldest_silent(&self) -> Option<Token> {
        let silent = self.by_token.iter().filter(|(_, client)| client.is_silent());
        silent.min_by_key(|(token, client)| (client.last_used, **token)).map(|(token, _)| *token)
    }

    /// The idle connection that is missed least among those on which nothing has come unread.
    pub(super) fn least_useful_unread(&mut self) -> Option<Token> {
        let mut idle: Vec<(bool, Micros, Token)> = self
            .by_token
            .iter()
            .filter(|(_, client)| client.is_idle())
            .map(|(token, client)| (client.conn.has_partial_message(), client.last_used, *token))
            .collect();
        idle.sort_unstable();
        let mut has_pending_input = |token: &Token| {
            self.by_token.get_mut(token).is_some_and(|client| client.conn.has_pending_input())
        };
        idle.into_iter().map(|(_, _, token)| token).find(|token| !has_pending_input(token))
    }

    /// Connections whose time is over. Where all together hold more than `max_buffered` bytes, the one with the most
    /// is among them.
    fn expired(&self, now: Micros, lifecycle: &Lifecycle, max_buffered: usize) -> ExpiredClients {
        let since = |moment: Micros| now.saturating_sub(moment);
        let is_stalled = |client: &Client| {
            let takes_nothing =
                client.conn.backlog() > 0 && since(client.conn.last_write_progress) >= WRITE_STALL_TIMEOUT;
            let stays = client.conn.state() == State::Lingering
                && since(client.conn.last_write_progress) >= CLOSE_TIMEOUT;
            takes_nothing || stays
        };
        let is_idle = |client: &Client| {
            let idle_time = since(client.last_used);
            let connection = IdleConnection {
                is_leaving: client.is_sent_away,
                had_request: client.has_sent_message(),
                idle: idle_time,
            };
            let drains = lifecycle.closes(now, connection) && !client.conn.has_partial_message();
            client.conn.is_open() && client.is_idle() && (idle_time >= IDLE_TIMEOUT || drains)
        };
        let is_parting = |client: &Client| lifecycle.ends_partial_messages(now) && client.is_idle();
        let mut stalled = self.tokens_where(is_stalled);
        let buffered: usize = self.by_token.values().map(|client| client.conn.buffered_bytes()).sum();
        if buffered > max_buffered {
            let largest = self.by_token.iter().max_by_key(|(_, client)| client.conn.buffered_bytes());
            stalled.extend(largest.map(|(token, _)| *token));
        }
        ExpiredClients { stalled, idle: self.tokens_where(is_idle), parting: self.tokens_where(is_parting) }
    }

    /// Connections on which a message was not whole in time. Where responses wait to be taken, reading may have
    /// stopped here: that is not the message's fault.
    fn with_overdue_message(&self, now: Micros) -> Vec<Token> {
        let since = |moment: Micros| now.saturating_sub(moment);
        let timeout = |client: &Client| {
            let keeps_coming =
                client.conn.has_partial_message() && since(client.conn.last_received) < MESSAGE_STALL_TIMEOUT;
            MESSAGE_TIMEOUT + if keeps_coming { MESSAGE_TIMEOUT_EXTENSION } else { 0 }
        };
        self.tokens_where(|client| {
            let is_overdue =
                client.message_awaited_since.is_some_and(|moment| since(moment) >= timeout(client));
            client.conn.is_open() && client.conn.backlog() == 0 && is_overdue
        })
    }
}

impl Proxy {
    /// A client's connection is ready.
    pub(super) fn client_ready(&mut self, event: Ready) {
        let token = event.token;
        let Some(client) = self.clients.get_mut(&token) else { return };
        let mut received = MessageBuffer::new(frames::decode);
        client.conn.ready(self.now, event.readable, event.writable, &mut received);
        if received.has_received {
            client.note_received(self.now, received.messages.len());
        }
        // A client that closes its side has abandoned all its requests, also those that came just before. Only where
        // it broke the protocol is it still told so.
        let has_left =
            event.ended && client.conn.is_open() || matches!(client.conn.state(), State::Closed(_));
        if has_left {
            return self.drop_client(token);
        }
        let valid = client.validate(received.messages, |request| {
            let named = self.classes.find(self.now, &request.route);
            let may_lack_key = self.classes.recently_allowed_no_key(self.now, &request.route);
            check_request(request, &self.settings, named, may_lack_key)
        });
        if let Some(error) = valid.error.or(received.error) {
            self.reject_messages(token, valid.messages);
            self.refuse_client(token, error);
        } else {
            self.handle_messages(token, valid.messages);
        }
        let Some(client) = self.clients.get(&token) else { return };
        if client.conn.is_discarding() && (event.ended || client.conn.has_peer_closed()) {
            self.finish_client(token);
        }
    }

    /// Takes what a client has sent that no event has reported yet: whole requests that are there count, also in the
    /// moment in which their connection is to end. Whether a whole message had come: then the connection is in use,
    /// also where all that came was answered at once.
    pub(super) fn read_client(&mut self, token: Token) -> bool {
        let message_count = |proxy: &Proxy| proxy.clients.get(&token).map(|client| client.message_count);
        let before = message_count(self);
        self.client_ready(Ready { token, readable: true, writable: false, ended: false });
        message_count(self) != before
    }

    fn handle_messages(&mut self, token: Token, messages: Vec<ClientMessage>) {
        for message in messages {
            self.handle_message(token, message);
            // Each is decided on what is known after the one before it.
            self.settle();
        }
        self.after_client_write(token);
    }

    fn handle_message(&mut self, token: Token, message: ClientMessage) {
        let is_ready = self.lifecycle.is_ready();
        let Some(client) = self.clients.get_mut(&token) else { return };
        match message {
            ClientMessage::Ready { stream } => client.conn.queue(frames::encode_ready(stream, is_ready)),
            ClientMessage::Cancel { stream } => {
                if let Some(id) = client.open_streams.remove(&stream) {
                    self.abandon_request(id);
                }
            }
            ClientMessage::Request { stream, request } => {
                if self.lifecycle.sends_clients_away() {
                    self.send_away(token);
                }
                // Writing that may have shown that it is gone.
                if !self.clients.contains(&token) {
                    return;
                }
                self.admit_request(token, stream, *request);
            }
        }
        if let Some(client) = self.clients.get_mut(&token) {
            client.conn.flush(self.now);
        }
    }

    /// Looks after a client to whom something was written.
    pub(super) fn after_client_write(&mut self, token: Token) {
        let Some(client) = self.clients.get_mut(&token) else { return };
        match client.conn.state() {
            State::Closed(_) => self.drop_client(token),
            State::Discarding if client.open_streams.is_empty() => self.finish_client(token),
            _ => {
                let backlog = client.conn.backlog();
                if backlog > BACKLOG_HIGH_WATER {
                    client.conn.pause(true);
                } else if backlog < BACKLOG_LOW_WATER {
                    client.conn.pause(false);
                }
                if client.conn.needs_read() && !self.unfinished_reads.contains(&token) {
                    self.unfinished_reads.push(token);
                }
            }
        }
    }

    /// Reads no more from a client that broke the protocol. What was taken from it before is still answered, each
    /// request in its own time, since a request whose connection ends without a response counts as lost. Then it is
    /// told, and its connection ends.
    fn refuse_client(&mut self, token: Token, error: Malformed) {
        self.metrics.client_protocol_errors += 1;
        let open = self.clients.get(&token).map(|client| client.open_streams.len());
        warn!(self.log, "client refused"; "reason" => %error, "open_requests" => open);
        let Some(client) = self.clients.get_mut(&token) else { return };
        client.conn.discard_input();
        client.message_awaited_since = None;
        client.protocol_error = Some(error);
        client.conn.flush(self.now);
        self.after_client_write(token);
    }

    /// Answers what came in the turn in which its client broke the protocol. Its requests were taken, so each is owed
    /// a response; none is worth an attempt.
    fn reject_messages(&mut self, token: Token, messages: Vec<ClientMessage>) {
        for message in messages {
            match message {
                ClientMessage::Request { stream, request } => {
                    self.count_rejected(&request.route);
                    if !self.clients.contains(&token) {
                        return;
                    }
                    self.write_unadmitted(token, stream, &Response::Rejected { retry_after_ms: 0 });
                }
                other => self.handle_message(token, other),
            }
        }
    }

    /// Whether a client is still idle after what it sent was read, and no message has begun to come but the one that
    /// had: `had_partial`.
    pub(super) fn is_still_idle(&self, token: Token, had_partial: bool) -> bool {
        let is_idle =
            |client: &Client| client.is_idle() && (had_partial || !client.conn.has_partial_message());
        self.clients.get(&token).is_some_and(is_idle)
    }

    /// Finishes a connection unless something has come on it meanwhile. Its client goes on where requests came: one
    /// that is under way would cross the close.
    pub(super) fn finish_idle_client(&mut self, token: Token) {
        let is_in_use = self.read_client(token);
        if !is_in_use && self.is_still_idle(token, false) {
            return self.finish_client(token);
        }
        if let Some(client) = self.clients.get_mut(&token) {
            // A message that has begun to come counts as use; its own timeout runs.
            client.last_used = self.now;
        }
    }

    /// Finishes a connection on which nothing more is begun, once what had come is answered.
    fn finish_parting_client(&mut self, token: Token) {
        self.read_client(token);
        if self.is_still_idle(token, true) {
            self.finish_client(token);
        }
    }

    /// Writes what waits for a client, closes our side, and lets the connection go once the client has closed its
    /// own. Requests that come now find the end, and are sent again elsewhere.
    pub(super) fn finish_client(&mut self, token: Token) {
        let Some(client) = self.clients.get_mut(&token) else { return };
        if let Some(error) = client.protocol_error.take() {
            client.conn.queue(frames::encode_error(error));
        }
        client.conn.finish(self.now);
        for (_, id) in std::mem::take(&mut client.open_streams) {
            self.abandon_request(id);
        }
        self.after_client_write(token);
    }

    /// Closes a connection at once.
    pub(super) fn drop_client(&mut self, token: Token) {
        let Some(client) = self.clients.remove(&token) else { return };
        for (_, id) in client.open_streams {
            self.abandon_request(id);
        }
    }

    /// Ends what no event reports: idle connections, messages that never get whole, clients that do not read.
    pub(super) fn sweep_clients(&mut self) {
        let expired = self.clients.expired(self.now, &self.lifecycle, self.bounds.client_buffers);
        for token in expired.stalled {
            self.drop_client(token);
        }
        for token in expired.idle {
            self.finish_idle_client(token);
        }
        for token in expired.parting {
            self.finish_parting_client(token);
        }
        for token in self.clients.with_overdue_message(self.now) {
            self.refuse_client(token, Malformed::MessageTimeout);
        }
    }
}
