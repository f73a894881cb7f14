//! The command channel as one instance sees it: when its connection is dialed, closed and dialed again, and which of
//! its numbered events count.
//!
//! `proxy/command_channel.rs` owns it, and carries out what it asks for.

#[cfg(test)]
mod tests;

use super::connection::{Callbacks, Closed, Connection, State};
use super::protocol::command_channel::{encode_hello, Command, NumberedCommand};
use crate::routing::events::Micros;
use mio::net::TcpStream;
use mio::Token;
use std::fmt;
use std::net::SocketAddr;

/// A frame comes each second; after this long without a whole one the connection counts as dead.
const SILENCE_TIMEOUT: Micros = 2_500_000;
/// The first frame must come within this of the dial's success. Short, so that after a silence two connections that
/// fail in a row leave time for what was sent meanwhile.
const FIRST_FRAME_TIMEOUT: Micros = 1_900_000;
/// A dial whose first packet got lost is sooner begun anew than waited for.
const DIAL_TIMEOUT: Micros = 1_000_000;
/// Added to a frame's time for each byte of it that has come: 100 KB in a second. Long lists need it, and bytes that
/// trickle gain nothing by it.
const TIMEOUT_PER_BYTE: Micros = 10;
/// Without a frame for so long there may be purges that have not come: a frame and some delay are missing.
const CURRENT_WITHIN: Micros = 1_200_000;
/// What was sent during a silence has come this long after its end.
const CATCH_UP_TIME: Micros = 2_000_000;
/// Pause before the first retry, doubled with each that fails.
const FIRST_RETRY_PAUSE: Micros = 100_000;
/// Longest pause. What discovery sends counts as received after 7 s whether it came or not.
const MAX_RETRY_PAUSE: Micros = 1_000_000;

/// What becomes of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameOutcome {
    /// An event that is new: it counts.
    New,
    /// An event that counts though one before it is missing, which was asked for in vain.
    NewAfterGap,
    /// An event that is known, or no event.
    Known,
    /// An event that follows on one that never came: it does not count, and the missing one is to be asked for.
    Gap,
}

/// Counters for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Dials that came through.
    pub opened: u64,
    /// Connections closed since no whole frame came, and dials given up.
    pub timeouts: u64,
    /// Connections that the peer ended or that broke, and dials that were refused.
    pub lost: u64,
    /// Connections closed over bytes that can't be read.
    pub malformed: u64,
    /// Events asked for again because numbers were missing before them.
    pub gaps: u64,
    /// Those where they were missing again, and were gone without.
    pub accepted_gaps: u64,
}

/// The form of the log line. Operators' tools read its keys, so these stay whatever the fields are called.
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

/// Why a connection is no use any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It ended, or was refused.
    Lost,
    /// Its dial gets no answer.
    DialTimeout,
    /// No whole frame comes.
    Silent,
}

/// The latest silence that was too long.
#[derive(Clone, Copy, Default)]
struct Silence {
    length: Micros,
    ended_at: Micros,
}

/// The latest bytes that could not be read.
#[derive(Clone, Copy)]
struct MalformedFrame {
    after_cursor: u64,
    retry_pause: Micros,
}

/// The command channel.
pub struct CommandChannel {
    address: SocketAddr,
    /// The number of the last event that counts.
    cursor: u64,
    connection: Option<(Token, Connection<TcpStream>)>,
    retry_pause: Micros,
    retry_at: Micros,
    /// When this connection last brought a frame.
    connection_frame_at: Option<Micros>,
    /// When any connection last did.
    last_frame_at: Option<Micros>,
    silence: Silence,
    /// When the dial of this connection came through.
    opened_at: Option<Micros>,
    /// The cursor from which a missing event has been asked for once.
    asked_again_from: Option<u64>,
    /// Empty frames bear numbers that are not the last event's.
    empty_frames_differ: bool,
    last_malformed: Option<MalformedFrame>,
    metrics: Metrics,
}

impl CommandChannel {
    /// One that has the events up to `cursor`.
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
            asked_again_from: None,
            empty_frames_differ: false,
            last_malformed: None,
            metrics: Metrics::default(),
        }
    }

    /// Where it is dialed.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of the last event that counts.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// What has been counted.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Goes to another address, where the numbers continue. The connection to the old one is closed at once, with any
    /// half of a frame: nothing more counts that comes on it.
    pub fn change_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.close_connection();
        self.retry_pause = FIRST_RETRY_PAUSE;
        self.retry_at = 0;
        self.asked_again_from = None;
        self.empty_frames_differ = false;
        self.last_malformed = None;
    }

    /// Whether it should be dialed now.
    pub fn should_dial(&self, now: Micros) -> bool {
        self.connection.is_none() && now >= self.retry_at
    }

    /// Takes a new connection, on which the cursor goes out first.
    pub fn set_connection(&mut self, token: Token, mut connection: Connection<TcpStream>) {
        connection.queue(encode_hello(self.cursor).to_vec());
        self.connection = Some((token, connection));
    }

    /// The token of its connection.
    pub fn token(&self) -> Option<Token> {
        self.connection.as_ref().map(|(token, _)| *token)
    }

    /// Passes on what the poll reports.
    pub fn ready(&mut self, now: Micros, readable: bool, writable: bool, callbacks: &mut impl Callbacks) {
        let Some((_, connection)) = &mut self.connection else { return };
        let was_dialing = connection.state() == State::Dialing;
        connection.ready(now, readable, writable, callbacks);
        connection.flush(now);
        let is_through = !matches!(connection.state(), State::Dialing | State::Closed(Closed::NeverOpened));
        if was_dialing && is_through {
            self.opened_at = Some(now);
            self.metrics.opened += 1;
        }
    }

    /// Takes a frame; moves the cursor past an event that is new.
    ///
    /// Numbers go up one by one, and an empty frame bears that of the last event, so a number left out means that an
    /// event has not come: a drain or a purge would be missed. It is asked for once; where it is missing again, it is
    /// not to be had, and what came is better than nothing. A complete list may jump: it says all that those before
    /// it said of endpoints.
    pub fn handle_frame(&mut self, now: Micros, frame: &NumberedCommand) -> FrameOutcome {
        self.note_frame(now);
        let number = frame.0;
        // What `number` may be at most if nothing is missing before it.
        let (is_empty, expected) = match &frame.1 {
            None => (true, self.cursor),
            Some(Command::Endpoints { complete: true, .. }) => (false, number),
            Some(_) => (false, self.cursor + 1),
        };
        if number <= self.cursor || is_empty && self.empty_frames_differ {
            return FrameOutcome::Known;
        }
        let is_missing = number > expected;
        if is_missing && self.asked_again_from != Some(self.cursor) {
            self.asked_again_from = Some(self.cursor);
            self.metrics.gaps += 1;
            return FrameOutcome::Gap;
        }
        self.metrics.accepted_gaps += u64::from(is_missing);
        if is_empty {
            // The protocol does not say what the number of an empty frame is: here it is something else.
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

    /// Whether it reports what happens: a frame has come on this connection, and lately.
    pub fn is_current(&self, now: Micros) -> bool {
        self.connection_frame_at.is_some_and(|moment| now.saturating_sub(moment) <= CURRENT_WITHIN)
    }

    /// How long no frame had come before what comes now, which may have been sent meanwhile.
    pub fn silence(&self, now: Micros) -> Micros {
        if now.saturating_sub(self.silence.ended_at) <= CATCH_UP_TIME {
            self.silence.length
        } else {
            0
        }
    }

    /// Whether bytes have come that were not read.
    pub fn has_pending_input(&mut self) -> bool {
        self.connection.as_mut().is_some_and(|(_, connection)| connection.has_pending_input())
    }

    /// Whether there is more to read than one turn took.
    pub fn needs_read(&self) -> bool {
        self.connection.as_ref().is_some_and(|(_, connection)| connection.needs_read())
    }

    /// Bytes of a frame that is not whole yet.
    pub fn buffered_bytes(&self) -> usize {
        self.connection.as_ref().map_or(0, |(_, connection)| connection.buffered_bytes())
    }

    /// Added to the timeouts of connections that fail again, so that a slow channel is reached in the end.
    fn extra_time(&self) -> Micros {
        self.retry_pause.saturating_sub(FIRST_RETRY_PAUSE)
    }

    /// Added to a frame's time for what has come of it.
    fn frame_time(&self) -> Micros {
        self.buffered_bytes() as Micros * TIMEOUT_PER_BYTE
    }

    /// When it is to be checked next, as far as nothing else happens: a dial is due, or its connection is dead.
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

    /// Whether the connection has ended or fallen silent. Whole frames count, not bytes: behind half a frame that goes
    /// on trickling drains would be missed.
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

    /// Closes a connection that is no use any more; a new one is due after a pause.
    pub fn close_failed(&mut self, now: Micros, failure: Failure) {
        match failure {
            Failure::Lost => self.metrics.lost += 1,
            Failure::DialTimeout | Failure::Silent => self.metrics.timeouts += 1,
        }
        self.close_connection();
        self.schedule_retry(now);
    }

    /// No connection could be begun, or the last one failed: the next try is due after a pause.
    pub fn schedule_retry(&mut self, now: Micros) {
        self.retry_at = now + self.retry_pause;
        self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
    }

    /// Closes a connection that brought what can't be read. Where the same bytes come each time, the pause grows
    /// although whole frames come before them.
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

    /// Closes a connection on which an event was missing; a new one, which asks for it, is due at once.
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
