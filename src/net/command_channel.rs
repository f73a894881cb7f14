//! The instance's side of the command channel: when its connection is dialed, closed and dialed again, and which of its
//! numbered events are applied.
//!
//! `proxy/command_channel.rs` owns the channel, dials its connection and executes its commands.

#[cfg(test)]
mod tests;

use super::connection::{Callbacks, Closed, Connection, State};
use super::protocol::command_channel::{encode_hello, Command, NumberedCommand};
use crate::routing::events::Micros;
use mio::net::TcpStream;
use mio::Token;
use std::fmt;
use std::net::SocketAddr;

/// Time without a complete frame after which the connection counts as dead. A frame is sent each second.
const SILENCE_TIMEOUT: Micros = 2_500_000;
/// Time from the opening of the connection within which the first frame must arrive. Short, so that after a silence two
/// connections that fail in a row still leave time to receive the events sent meanwhile.
const FIRST_FRAME_TIMEOUT: Micros = 1_900_000;
/// Timeout of a dial. If its first packet was lost, a new dial is faster than the retransmission.
const DIAL_TIMEOUT: Micros = 1_000_000;
/// Time added to a frame's timeout for each byte received of it, which amounts to 100 KB/s. Long lists need it, while a
/// trickle of bytes gains no relevant time.
const TIMEOUT_PER_BYTE: Micros = 10;
/// Time without a frame after which purges may be missing: the interval of frames plus some delay.
const CURRENT_WITHIN: Micros = 1_200_000;
/// Time after the end of a silence by which events sent during it have arrived.
const CATCH_UP_TIME: Micros = 2_000_000;
/// Pause before the first retry; doubled after each failed one.
const FIRST_RETRY_PAUSE: Micros = 100_000;
/// Maximum pause between retries. Discovery counts an event as received after 7 s whether it arrived or not.
const MAX_RETRY_PAUSE: Micros = 1_000_000;

/// How a frame is to be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameOutcome {
    /// A new event, to be applied.
    New,
    /// A new event, to be applied although an earlier one is missing that was requested again without success.
    NewAfterGap,
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
    /// Number of connections closed because no complete frame arrived in time, and of dials that timed out.
    pub timeouts: u64,
    /// Number of connections closed by the peer or lost, and of dials that were refused.
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

/// Why a connection has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was closed, lost or refused.
    Lost,
    /// The dial timed out.
    DialTimeout,
    /// No complete frame arrived in time.
    Silent,
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

/// The command channel.
pub struct CommandChannel {
    address: SocketAddr,
    /// Number of the last applied event.
    cursor: u64,
    connection: Option<(Token, Connection<TcpStream>)>,
    retry_pause: Micros,
    retry_at: Micros,
    /// Time of the last frame on the current connection.
    connection_frame_at: Option<Micros>,
    /// Time of the last frame on any connection.
    last_frame_at: Option<Micros>,
    silence: Silence,
    /// Time at which the current connection opened.
    opened_at: Option<Micros>,
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
            connection: None,
            retry_pause: FIRST_RETRY_PAUSE,
            retry_at: 0,
            connection_frame_at: None,
            last_frame_at: None,
            silence: Silence::default(),
            opened_at: None,
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

    /// Switches to another address, at which the event numbers continue. The connection to the old address is closed at
    /// once, and a partially received frame is dropped.
    pub fn change_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.close_connection();
        self.retry_pause = FIRST_RETRY_PAUSE;
        self.retry_at = 0;
        self.gap_requested_at = None;
        self.empty_frames_differ = false;
        self.last_malformed = None;
    }

    /// Whether a connection is to be dialed now.
    pub fn should_dial(&self, now: Micros) -> bool {
        self.connection.is_none() && now >= self.retry_at
    }

    /// Sets a new connection, on which the cursor is sent first.
    pub fn set_connection(&mut self, token: Token, mut connection: Connection<TcpStream>) {
        connection.queue(encode_hello(self.cursor).to_vec());
        self.connection = Some((token, connection));
    }

    /// Returns the token of the current connection.
    pub fn token(&self) -> Option<Token> {
        self.connection.as_ref().map(|(token, _)| *token)
    }

    /// Handles the readiness of the connection as reported by the poll.
    pub fn ready(&mut self, now: Micros, readable: bool, writable: bool, callbacks: &mut impl Callbacks) {
        let Some((_, connection)) = &mut self.connection else { return };
        let was_dialing = connection.state() == State::Dialing;
        connection.ready(now, readable, writable, callbacks);
        connection.flush(now);
        let has_opened = !matches!(connection.state(), State::Dialing | State::Closed(Closed::DialFailed));
        if was_dialing && has_opened {
            self.opened_at = Some(now);
            self.metrics.opened += 1;
        }
    }

    /// Handles a frame, and moves the cursor past a new event.
    ///
    /// Event numbers increase by one, and an empty frame has the number of the last event, so a skipped number means
    /// that an event is missing, which may be a drain or a purge. The missing event is requested once more; if it is
    /// still missing then, the sender no longer has it, and the later event is applied. A complete endpoint list may
    /// skip numbers, because it supersedes all endpoint changes before it.
    pub fn handle_frame(&mut self, now: Micros, frame: &NumberedCommand) -> FrameOutcome {
        self.note_frame(now);
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
        self.cursor = number;
        if is_missing {
            FrameOutcome::NewAfterGap
        } else {
            FrameOutcome::New
        }
    }

    fn note_frame(&mut self, now: Micros) {
        self.connection_frame_at = Some(now);
        let previous = self.last_frame_at.replace(now).unwrap_or(now);
        let length = now.saturating_sub(previous);
        if length > CURRENT_WITHIN {
            self.silence = Silence { length, ended_at: now };
        }
        self.retry_pause = FIRST_RETRY_PAUSE;
    }

    /// Whether the channel is up to date: the current connection has recently delivered a frame.
    pub fn is_current(&self, now: Micros) -> bool {
        self.connection_frame_at.is_some_and(|moment| now.saturating_sub(moment) <= CURRENT_WITHIN)
    }

    /// Returns the length of the latest silence if events that arrive now may have been sent during it, else 0.
    pub fn silence(&self, now: Micros) -> Micros {
        if now.saturating_sub(self.silence.ended_at) <= CATCH_UP_TIME {
            self.silence.length
        } else {
            0
        }
    }

    /// Whether received bytes are unread.
    pub fn has_pending_input(&mut self) -> bool {
        self.connection.as_mut().is_some_and(|(_, connection)| connection.has_pending_input())
    }

    /// Whether there is more to read than was read in one iteration of the event loop.
    pub fn needs_read(&self) -> bool {
        self.connection.as_ref().is_some_and(|(_, connection)| connection.needs_read())
    }

    /// Returns the number of bytes buffered for the connection, such as those of an incomplete frame.
    pub fn buffered_bytes(&self) -> usize {
        self.connection.as_ref().map_or(0, |(_, connection)| connection.buffered_bytes())
    }

    /// Time added to the timeouts after repeated failures, so that a slow channel is reached eventually.
    fn extra_time(&self) -> Micros {
        self.retry_pause.saturating_sub(FIRST_RETRY_PAUSE)
    }

    /// Time added to a frame's timeout for the bytes received of it.
    fn frame_time(&self) -> Micros {
        self.buffered_bytes() as Micros * TIMEOUT_PER_BYTE
    }

    /// Returns the time of the next check if nothing happens before: a dial is due, or the connection times out.
    pub fn next_check(&self) -> Micros {
        let Some((_, connection)) = self.connection.as_ref() else { return self.retry_at };
        let last_received = connection.last_received;
        match (connection.state(), self.connection_frame_at) {
            (State::Dialing, _) => last_received + DIAL_TIMEOUT + self.extra_time(),
            (State::Open, Some(frame_at)) => {
                (frame_at + SILENCE_TIMEOUT + self.frame_time()).min(last_received + SILENCE_TIMEOUT)
            }
            (State::Open, None) => {
                let opened_at = self.opened_at.unwrap_or(last_received);
                let first_frame = opened_at + FIRST_FRAME_TIMEOUT + self.extra_time() + self.frame_time();
                first_frame.min(last_received + SILENCE_TIMEOUT)
            }
            (State::Discarding | State::Finishing | State::Lingering | State::Closed(_), _) => 0,
        }
    }

    /// Returns why the connection has failed, if it has. Silence is judged by complete frames rather than bytes,
    /// because drains would be missed behind an incomplete frame that arrives in a trickle.
    pub fn failure(&self, now: Micros) -> Option<Failure> {
        let (_, connection) = self.connection.as_ref()?;
        let last_received = connection.last_received;
        let since = |moment: Micros| now.saturating_sub(moment);
        match connection.state() {
            State::Dialing => {
                let has_timed_out = since(last_received) >= DIAL_TIMEOUT + self.extra_time();
                has_timed_out.then_some(Failure::DialTimeout)
            }
            State::Open => {
                let lacks_frame = match (self.connection_frame_at, self.opened_at) {
                    (Some(frame_at), _) => since(frame_at) >= SILENCE_TIMEOUT + self.frame_time(),
                    (None, opened_at) => {
                        let timeout = FIRST_FRAME_TIMEOUT + self.extra_time() + self.frame_time();
                        since(opened_at.unwrap_or(last_received)) >= timeout
                    }
                };
                let is_silent = lacks_frame || since(last_received) >= SILENCE_TIMEOUT;
                is_silent.then_some(Failure::Silent)
            }
            State::Discarding | State::Finishing | State::Lingering | State::Closed(_) => Some(Failure::Lost),
        }
    }

    /// Closes a failed connection; a new dial is due after a pause.
    pub fn close_failed(&mut self, now: Micros, failure: Failure) {
        match failure {
            Failure::Lost => self.metrics.lost += 1,
            Failure::DialTimeout | Failure::Silent => self.metrics.timeouts += 1,
        }
        self.close_connection();
        self.schedule_retry(now);
    }

    /// Schedules the next dial after a pause, because a dial could not be started or the last connection failed.
    pub fn schedule_retry(&mut self, now: Micros) {
        self.retry_at = now + self.retry_pause;
        self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
    }

    /// Closes a connection that delivered a malformed frame. If the malformed frame follows the same event each time,
    /// the pause before the next dial grows although valid frames precede it.
    pub fn close_malformed(&mut self, now: Micros) {
        self.metrics.malformed += 1;
        let retry_pause = match self.last_malformed {
            Some(last) if last.after_cursor == self.cursor => (last.retry_pause * 2).min(MAX_RETRY_PAUSE),
            _ => FIRST_RETRY_PAUSE,
        };
        self.last_malformed = Some(MalformedFrame { after_cursor: self.cursor, retry_pause });
        self.close_connection();
        self.retry_at = now + retry_pause;
    }

    /// Closes a connection on which an event was missing. A new dial, which requests the event again, is due at once.
    pub fn reconnect_after_gap(&mut self, now: Micros) {
        self.close_connection();
        self.retry_at = now;
    }

    fn close_connection(&mut self) {
        self.connection = None;
        self.connection_frame_at = None;
        self.opened_at = None;
    }
}
