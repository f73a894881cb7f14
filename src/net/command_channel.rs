//! The instance's side of the command channel: its connections, and which of its numbered events are applied.
//!
//! [`connections`] decides when to dial and which connections to keep. `proxy/command_channel.rs` owns the channel, dials
//! its connections and executes its commands.

pub mod connections;
#[cfg(test)]
mod tests;

use self::connections::{doubled_pause, Connections, Lateness, FIRST_RETRY_PAUSE};
use super::connection::{Callbacks, Closed, Connection, State};
use super::event_loop::Ready;
use super::protocol::command_channel::{encode_hello, Command, NumberedCommand};
use crate::routing::events::Micros;
use mio::net::TcpStream;
use mio::Token;
use std::fmt;
use std::net::SocketAddr;

/// Time without a frame after which purges may be missing: the interval of frames plus some delay.
const CURRENT_WITHIN: Micros = 1_200_000;
/// Time after the end of a silence by which events sent during it have arrived.
const CATCH_UP_TIME: Micros = 2_000_000;

/// How a frame is to be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameOutcome {
    /// A new event, to be applied.
    New,
    /// A new event, to be applied although an earlier one is missing that was requested again without success.
    NewAfterGap,
    /// A complete endpoint list, which supersedes the endpoint changes whose numbers it skips, but not the purges.
    NewAfterSkip,
    /// An event that was applied before, or an empty frame.
    Known,
    /// An event after a missing one: it is not applied, and the missing one is to be requested again.
    Gap,
}

/// Counters of the channel, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Number of dials that succeeded.
    pub opened: u64,
    /// Number of connections that were late with a frame, and of dials that were.
    pub timeouts: u64,
    /// Number of connections that were closed by the peer or lost, late ones included, and of refused dials.
    pub lost: u64,
    /// Number of connections closed because of malformed frames.
    pub malformed: u64,
    /// Number of gaps in the event numbers after which the missing events were requested again.
    pub gaps: u64,
    /// Number of gaps that remained after the repeated request and were accepted.
    pub accepted_gaps: u64,
}

/// The log form of the counters. Operators' tools read its keys, so they stay when fields are renamed.
impl fmt::Display for Metrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Figures")
            .field("opened", &self.opened)
            .field("silent", &self.timeouts)
            .field("lost", &self.lost)
            .field("spoilt", &self.malformed)
            .field("gaps", &self.gaps)
            .field("accepted", &self.accepted_gaps)
            .finish()
    }
}

/// What has happened to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It was lost after it had opened.
    Lost,
    /// The dial was refused.
    Refused,
    /// It is late, and another one is dialed beside it.
    Late(Lateness),
}

/// The latest silence that exceeded `CURRENT_WITHIN`.
#[derive(Clone, Copy, Default)]
struct Silence {
    length: Micros,
    ended_at: Micros,
}

/// The latest malformed frame.
#[derive(Clone, Copy)]
struct MalformedFrame {
    after_cursor: u64,
    retry_pause: Micros,
}

/// A connection with its token.
struct Link {
    token: Token,
    connection: Connection<TcpStream>,
    /// Bytes that are read from now on have arrived since this time.
    arrived_since: Micros,
}

/// The command channel.
pub struct CommandChannel {
    address: SocketAddr,
    /// Number of the last applied event.
    cursor: u64,
    links: Vec<Link>,
    connections: Connections<Token>,
    /// Time of the last frame.
    last_frame_at: Option<Micros>,
    /// The connection that is known to have delivered all events up to its last frame, and the time of that frame.
    caught_up: Option<(Token, Micros)>,
    silence: Silence,
    /// The cursor after which a missing event was requested again.
    gap_requested_at: Option<u64>,
    /// Whether the numbers of empty frames were found to differ from the last event's.
    empty_frames_differ: bool,
    last_malformed: Option<MalformedFrame>,
    metrics: Metrics,
}

impl CommandChannel {
    /// Creates a channel that continues after event number `cursor`.
    pub fn new(address: SocketAddr, cursor: u64) -> Self {
        CommandChannel {
            address,
            cursor,
            links: Vec::new(),
            connections: Connections::default(),
            last_frame_at: None,
            caught_up: None,
            silence: Silence::default(),
            gap_requested_at: None,
            empty_frames_differ: false,
            last_malformed: None,
            metrics: Metrics::default(),
        }
    }

    /// Returns the address that is dialed.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of the last applied event.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Returns the counters.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Switches to another address, at which the event numbers continue. The connections to the old address are closed
    /// at once, and partially received frames are dropped.
    pub fn change_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.links.clear();
        self.connections.reset();
        self.caught_up = None;
        self.gap_requested_at = None;
        self.empty_frames_differ = false;
        self.last_malformed = None;
    }

    /// Whether a connection is to be dialed now.
    pub fn should_dial(&self, now: Micros) -> bool {
        self.connections.should_dial(now)
    }

    /// Closes a late connection if there are too many for a further one.
    pub fn make_room(&mut self, now: Micros) {
        if let Some(surplus) = self.connections.surplus(now) {
            self.drop_connection(surplus);
        }
    }

    /// Closes the least useful late connection, because descriptors are short; returns whether there was one.
    pub fn close_least_useful(&mut self, now: Micros) -> bool {
        let least_useful = self.connections.least_useful(now);
        if let Some(token) = least_useful {
            self.drop_connection(token);
        }
        least_useful.is_some()
    }

    fn drop_connection(&mut self, token: Token) {
        self.connections.remove_surplus(token);
        self.remove_link(token);
    }

    /// Adds a connection that is being dialed, on which the cursor is sent first.
    pub fn add_connection(&mut self, now: Micros, token: Token, mut connection: Connection<TcpStream>) {
        connection.queue(encode_hello(self.cursor).to_vec());
        self.connections.add(now, token);
        self.links.push(Link { token, connection, arrived_since: now });
    }

    /// Returns whether a token belongs to one of the connections.
    pub fn owns(&self, token: Token) -> bool {
        self.links.iter().any(|link| link.token == token)
    }

    /// Returns the number of connections.
    pub fn connection_count(&self) -> usize {
        self.links.len()
    }

    /// Returns the token of the newest connection.
    pub fn newest(&self) -> Option<Token> {
        self.links.last().map(|link| link.token)
    }

    /// Handles the readiness of a connection as reported by the poll; `polled_before` is the time of the poll before that
    /// one. Returns whether the dial has just succeeded.
    pub fn ready(
        &mut self,
        now: Micros,
        polled_before: Micros,
        event: Ready,
        callbacks: &mut impl Callbacks,
    ) -> bool {
        let Some(link) = self.links.iter_mut().find(|link| link.token == event.token) else { return false };
        let connection = &mut link.connection;
        // Bytes that an earlier turn has left unread had arrived before that.
        if !connection.needs_read() {
            link.arrived_since = polled_before;
        }
        let was_dialing = connection.state() == State::Dialing;
        connection.ready(now, event.readable, event.writable, callbacks);
        connection.flush(now);
        let has_opened =
            was_dialing && !matches!(connection.state(), State::Dialing | State::Closed(Closed::DialFailed));
        if has_opened {
            self.metrics.opened += 1;
            self.connections.opened(now, event.token);
        }
        let (last_received, partial_bytes) = (connection.last_received, connection.buffered_bytes());
        self.connections.received(event.token, last_received, partial_bytes);
        has_opened
    }

    /// Handles a frame, and moves the cursor past a new event.
    ///
    /// Event numbers increase by one, and an empty frame has the number of the last event, so a skipped number means
    /// that an event is missing, which may be a drain or a purge. The missing event is requested once more; if it is
    /// still missing then, the sender no longer has it, and the later event is applied. A complete endpoint list may
    /// skip numbers, because it supersedes all endpoint changes before it.
    pub fn handle_frame(&mut self, now: Micros, token: Token, frame: &NumberedCommand) -> FrameOutcome {
        self.note_frame(now, token);
        let outcome = self.apply_number(frame);
        // The events that were missed come first, so an empty frame shows that there are no more.
        let is_up_to_date = frame.1.is_none() && outcome != FrameOutcome::Gap;
        if is_up_to_date || self.is_caught_up(token) {
            self.caught_up = Some((token, now));
        }
        outcome
    }

    fn apply_number(&mut self, frame: &NumberedCommand) -> FrameOutcome {
        let number = frame.0;
        // `expected` is the highest number that the frame can have if no event is missing before it.
        let (is_empty, expected) = match &frame.1 {
            None => (true, self.cursor),
            Some(Command::Endpoints { complete: true, .. }) => (false, number),
            Some(_) => (false, self.cursor + 1),
        };
        if number <= self.cursor || is_empty && self.empty_frames_differ {
            return FrameOutcome::Known;
        }
        let is_missing = number > expected;
        if is_missing && self.gap_requested_at != Some(self.cursor) {
            self.gap_requested_at = Some(self.cursor);
            self.metrics.gaps += 1;
            return FrameOutcome::Gap;
        }
        self.metrics.accepted_gaps += u64::from(is_missing);
        if is_empty {
            // The protocol does not define the number of an empty frame: this sender uses another one.
            self.empty_frames_differ = true;
            return FrameOutcome::Known;
        }
        let skips_events = number > self.cursor + 1;
        self.cursor = number;
        match (is_missing, skips_events) {
            (true, _) => FrameOutcome::NewAfterGap,
            (false, true) => FrameOutcome::NewAfterSkip,
            (false, false) => FrameOutcome::New,
        }
    }

    fn note_frame(&mut self, now: Micros, token: Token) {
        for other in self.connections.delivered(now, token) {
            self.remove_link(other);
        }
        let previous = self.last_frame_at.replace(now).unwrap_or(now);
        let length = now.saturating_sub(previous);
        if length > CURRENT_WITHIN {
            self.silence = Silence { length, ended_at: now };
            self.caught_up = None;
        }
    }

    fn is_caught_up(&self, token: Token) -> bool {
        self.caught_up.is_some_and(|(connection, _)| connection == token)
    }

    /// Returns a time before which all events that were sent have been received, if the last frame of this connection
    /// shows that.
    pub fn confirmed_at(&self, token: Token) -> Option<Micros> {
        let link = self.links.iter().find(|link| link.token == token)?;
        self.is_caught_up(token).then_some(link.arrived_since)
    }

    /// Returns the time of the last frame on any connection.
    pub fn last_frame_at(&self) -> Option<Micros> {
        self.last_frame_at
    }

    /// Whether the channel is up to date: an open connection has recently delivered a frame, and no event before it is
    /// missing.
    pub fn is_current(&self, now: Micros) -> bool {
        self.caught_up.is_some_and(|(_, moment)| now.saturating_sub(moment) <= CURRENT_WITHIN)
    }

    /// Returns the length of the latest silence if events that arrive now may have been sent during it, else 0.
    pub fn silence(&self, now: Micros) -> Micros {
        if now.saturating_sub(self.silence.ended_at) <= CATCH_UP_TIME {
            self.silence.length
        } else {
            0
        }
    }

    /// Returns whether received bytes are unread.
    pub fn has_pending_input(&mut self) -> bool {
        self.links.iter_mut().any(|link| link.connection.has_pending_input())
    }

    /// Returns whether a connection has more to read than was read in one iteration of the event loop.
    pub fn needs_read(&self, token: Token) -> bool {
        self.links.iter().any(|link| link.token == token && link.connection.needs_read())
    }

    /// Returns the number of bytes buffered for all connections, such as those of incomplete frames.
    pub fn buffered_bytes(&self) -> usize {
        self.links.iter().map(|link| link.connection.buffered_bytes()).sum()
    }

    /// Returns the time of the next check if nothing happens before: a dial is due, or a connection becomes late.
    pub fn next_check(&self) -> Micros {
        self.connections.next_check()
    }

    /// Returns the first failure that is not handled yet. A lost connection is closed, a late one is kept; a new dial is
    /// due after a pause. Silence is judged by complete frames rather than bytes, because drains would be missed behind
    /// an incomplete frame that arrives in a trickle.
    pub fn take_failure(&mut self, now: Micros) -> Option<Failure> {
        if let Some(lost) = self.links.iter().find(|link| is_lost(&link.connection)) {
            let (token, state) = (lost.token, lost.connection.state());
            self.metrics.lost += 1;
            self.connections.lost(now, token);
            self.remove_link(token);
            let is_refused = state == State::Closed(Closed::DialFailed);
            return Some(if is_refused { Failure::Refused } else { Failure::Lost });
        }
        let lateness = self.connections.check(now)?;
        self.metrics.timeouts += 1;
        Some(Failure::Late(lateness))
    }

    fn remove_link(&mut self, token: Token) {
        self.links.retain(|link| link.token != token);
        if self.is_caught_up(token) {
            self.caught_up = None;
        }
    }

    /// Schedules the next dial after a pause, because a dial could not be started.
    pub fn schedule_retry(&mut self, now: Micros) {
        self.connections.schedule_retry(now);
    }

    /// Closes a connection that delivered a malformed frame. If the malformed frame follows the same event each time,
    /// the pause before the next dial grows although valid frames precede it.
    pub fn close_malformed(&mut self, now: Micros, token: Token) {
        self.metrics.malformed += 1;
        let retry_pause = match self.last_malformed {
            Some(last) if last.after_cursor == self.cursor => doubled_pause(last.retry_pause),
            _ => FIRST_RETRY_PAUSE,
        };
        self.last_malformed = Some(MalformedFrame { after_cursor: self.cursor, retry_pause });
        self.connections.close_and_retry(token, now + retry_pause);
        self.remove_link(token);
    }

    /// Closes a connection on which an event was missing. A new dial, which requests the event again, is due at once.
    pub fn reconnect_after_gap(&mut self, now: Micros, token: Token) {
        self.connections.close_and_retry(token, now);
        self.remove_link(token);
    }
}

/// Returns whether a connection was closed by its peer, lost or refused.
fn is_lost(connection: &Connection<TcpStream>) -> bool {
    !matches!(connection.state(), State::Dialing | State::Open)
}
