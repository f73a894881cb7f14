//! A connection with its buffers and states, independent of the protocol; callbacks notify its owner of received bytes.
//!
//! ```text
//! Dialing --connected--> Open --finish()--> Finishing --flushed, shut--> Lingering --peer ended--> Closed
//!    |                    | |                     ^                                                  ^
//!    |                    | +-refused-> Discarding+ finish()                                         |
//!    +----failed----------+-----------------+------ended, failed, close()----------------------------+
//! ```
//!
//! Once the owner has refused input, the connection discards further input, so that the peer's end is still seen; the
//! owner's output is still written until the owner finishes the connection.
//!
//! Closing a socket with unread bytes resets the connection, and data that the peer has not read yet, such as the last
//! response, is lost. [`Connection::finish`] therefore writes all output, shuts down the writing side, and discards
//! input until the peer closes; the owner closes the connection if that takes too long.

#[cfg(test)]
mod tests;

use super::delivery::Delivery;
use super::memory::{MemoryBudget, Reservation};
use super::tcp_info;
use crate::invariant;
use crate::routing::events::Micros;
use bytes::BytesMut;
use mio::net::TcpStream;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;

/// Size of the read buffer in bytes.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of bytes read in one iteration of the event loop, so that other connections get their share.
pub const MAX_BYTES_PER_TURN: usize = 128 * 1024;
/// Queued messages up to this size, in bytes, are written from a common buffer of at most this size, so that many small
/// ones cost no allocation each.
const SHARED_BUFFER_BYTES: usize = 8 * 1024;
/// Maximum number of places that an empty outbox keeps.
const MAX_IDLE_OUTBOX_CAPACITY: usize = 64;
/// Divisor of a receive buffer's content for the spare room with which the buffer grows.
const SPARE_ROOM_DIVISOR: usize = 4;
/// Maximum number of unread bytes that are peeked at: more than all requests that a client may have open.
const MAX_PEEK_BYTES: usize = 2 << 20;
/// Maximum number of bytes discarded from a peer that keeps sending after the connection was finished or its input was
/// refused: more than can have been in transit when the peer could first see that. The rest stays unread: closing at once
/// would reset the connection, and output that is not delivered yet would be lost.
const MAX_DISCARDED_BYTES: usize = 4 << 20;

/// A byte transport: a socket, or a script in tests.
pub trait Transport: Read + Write {
    /// Returns whether a dial has completed, or its error if it has failed.
    fn connected(&self) -> io::Result<bool>;
    /// Shuts down the writing side.
    fn shut_down_writing(&mut self) -> io::Result<()>;
    /// Returns the number of written bytes that the peer's machine has acknowledged, or `None` if that is unknown.
    fn acknowledged_bytes(&self) -> Option<u64>;
    /// Returns the number of unread bytes.
    fn unread_len(&self) -> usize;
    /// Copies unread bytes to the front of `buffer` without consuming them, and returns their number.
    fn peek_unread_bytes(&mut self, buffer: &mut [u8]) -> usize;
}

impl Transport for TcpStream {
    fn connected(&self) -> io::Result<bool> {
        if let Some(e) = self.take_error()? {
            return Err(e);
        }
        match self.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    fn shut_down_writing(&mut self) -> io::Result<()> {
        self.shutdown(Shutdown::Write)
    }

    fn acknowledged_bytes(&self) -> Option<u64> {
        tcp_info::acknowledged_bytes(self)
    }

    fn unread_len(&self) -> usize {
        rustix::io::ioctl_fionread(self).map_or(0, |count| count as usize)
    }

    fn peek_unread_bytes(&mut self, buffer: &mut [u8]) -> usize {
        self.peek(buffer).unwrap_or(0)
    }
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// The dial failed.
    DialFailed,
    /// The peer closed the connection, or it failed.
    Lost,
    /// The owner closed the connection.
    ByOwner,
}

/// Notifications to the owner of a connection.
pub trait Callbacks {
    /// The dial has succeeded.
    fn opened(&mut self) {}
    /// Bytes were received. The owner removes complete messages from the front of `bytes`.
    ///
    /// # Errors
    /// Returns how the bytes violate the protocol; further input is then discarded.
    fn received(&mut self, bytes: &mut BytesMut) -> Result<(), super::protocol::Malformed>;

    /// Whether more bytes may be read in this iteration of the event loop.
    fn accepts_more(&self) -> bool {
        true
    }
}

/// The states of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The dial has not completed.
    Dialing,
    /// Open in both directions.
    Open,
    /// Open in both directions, but input is discarded because the owner has refused it.
    Discarding,
    /// Input is discarded; the writing side is shut down once all output is written.
    Finishing,
    /// All output is written and the writing side is shut down; input is discarded until the peer closes.
    Lingering,
    /// The connection is closed.
    Closed(Closed),
}

/// A connection.
pub struct Connection<T> {
    transport: T,
    state: State,
    inbox: BytesMut,
    outbox: VecDeque<Vec<u8>>,
    /// Total capacity of the buffers in the outbox, in bytes.
    outbox_capacity: usize,
    /// Memory of the inbox and the outbox.
    memory: Reservation,
    /// Number of written bytes of the first buffer in the outbox.
    front_written: usize,
    queued: u64,
    delivery: Delivery,
    /// Whether the socket may hold unread bytes.
    may_have_input: bool,
    paused: bool,
    /// Whether messages were removed from the front of the inbox since its buffer was last replaced.
    has_removed_messages: bool,
    /// Length of the partially received message, if the owner knows it, or 0.
    expected_length: usize,
    /// Number of discarded bytes.
    discarded: usize,
    /// Whether the peer closed its writing side, and the connection was not closed at once.
    peer_closed: bool,
    /// Whether output is still written after the peer has closed its writing side.
    allows_half_open: bool,
    /// Time at which bytes were last received, or the dial succeeded.
    pub last_received: Micros,
}

impl<T: Transport> Connection<T> {
    /// Creates a connection that is being dialed.
    pub fn dialing(transport: T, now: Micros) -> Self {
        Self::new(transport, State::Dialing, now)
    }

    /// Creates a connection that was accepted.
    pub fn accepted(transport: T, now: Micros) -> Self {
        Self::new(transport, State::Open, now)
    }

    fn new(transport: T, state: State, now: Micros) -> Self {
        Connection {
            transport,
            state,
            inbox: BytesMut::new(),
            outbox: VecDeque::new(),
            outbox_capacity: 0,
            memory: Reservation::default(),
            front_written: 0,
            queued: 0,
            delivery: Delivery::new(now),
            may_have_input: false,
            paused: false,
            has_removed_messages: false,
            expected_length: 0,
            discarded: 0,
            peer_closed: false,
            allows_half_open: false,
            last_received: now,
        }
    }

    /// Counts the memory of this connection's buffers in a budget from now on.
    pub fn count_memory_in(&mut self, budget: &MemoryBudget) {
        self.memory = budget.reserve(0);
        self.update_memory();
    }

    /// Counts the partially received message with `length` bytes in all, or with what has arrived if that is more.
    pub fn expect_message(&mut self, length: usize) {
        self.expected_length = length;
        self.update_memory();
    }

    /// Whether the partially received message is counted with its whole length.
    pub fn expects_message(&self) -> bool {
        self.expected_length > 0
    }

    /// Keeps the connection when the peer closes its writing side: the peer may still read.
    pub fn allow_half_open(&mut self) {
        self.allows_half_open = true;
    }

    /// Whether reading is paused.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    fn update_memory(&mut self) {
        self.memory.resize(self.inbox.capacity().max(self.expected_length) + self.outbox_capacity);
    }

    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the connection is open in both directions and input is not discarded.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Returns the transport.
    pub fn transport(&mut self) -> &mut T {
        &mut self.transport
    }

    /// Returns the total number of bytes written.
    pub fn written(&self) -> u64 {
        self.delivery.written()
    }

    /// Returns the total number of bytes queued. A message is completely written once `written` reaches the value that
    /// this had after the message was queued.
    pub fn queued(&self) -> u64 {
        self.queued
    }

    /// Returns the number of bytes queued but not written.
    pub fn backlog(&self) -> usize {
        (self.queued - self.written()) as usize
    }

    /// Returns the number of queued bytes that the peer's machine is not known to have acknowledged, as of the last
    /// [`Connection::update_delivery`]. They are lost if the connection is reset.
    pub fn undelivered(&self) -> u64 {
        self.queued - self.written() + self.delivery.unacknowledged()
    }

    /// Returns the time at which the peer's machine last acknowledged bytes, as far as known, or from which it had to.
    pub fn last_delivery_progress(&self) -> Micros {
        self.delivery.last_progress()
    }

    /// Asks the system how many bytes the peer's machine has acknowledged.
    pub fn update_delivery(&mut self, now: Micros) {
        if self.delivery.unacknowledged() > 0 {
            let acknowledged = self.transport.acknowledged_bytes().unwrap_or(self.written());
            self.delivery.record_acknowledged(now, acknowledged);
        }
    }

    /// Returns the number of bytes buffered for this connection, read or to be written.
    pub fn buffered_bytes(&self) -> usize {
        self.backlog() + self.inbox.len()
    }

    /// Whether received bytes are unread.
    pub fn has_pending_input(&mut self) -> bool {
        self.transport.peek_unread_bytes(&mut [0]) > 0
    }

    /// Returns the bytes of an incomplete message followed by unread ones, up to `MAX_PEEK_BYTES` of these, or `None`
    /// if there are no unread bytes or the connection is not open.
    pub fn peek_unread(&mut self) -> Option<Vec<u8>> {
        let unread = self.transport.unread_len().min(MAX_PEEK_BYTES);
        if !self.is_open() || unread == 0 {
            return None;
        }
        let mut bytes = self.inbox.to_vec();
        let buffered = bytes.len();
        bytes.resize(buffered + unread, 0);
        let unread = self.transport.peek_unread_bytes(&mut bytes[buffered..]);
        bytes.truncate(buffered + unread);
        Some(bytes)
    }

    /// Whether a message is partially received.
    pub fn has_partial_message(&self) -> bool {
        !self.inbox.is_empty()
    }

    /// Returns the bytes of a partially received message.
    pub fn partial_message(&self) -> &[u8] {
        &self.inbox
    }

    /// Gives up the bytes of a partially received message; its owner handles the rest as it arrives.
    pub fn release_partial_message(&mut self) {
        self.inbox = BytesMut::new();
        self.expected_length = 0;
        self.update_memory();
    }

    /// Pauses or resumes reading. A pause prevents a peer that sends requests without reading from making this process
    /// buffer responses for it.
    pub fn pause(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Whether there may be bytes to read for which the poll reports no further event.
    pub fn needs_read(&self) -> bool {
        let reads = match self.state {
            State::Open => !self.paused,
            // Beyond that limit the peer is blocked by flow control; the poll still reports that it closes.
            State::Discarding | State::Finishing | State::Lingering => self.discarded <= MAX_DISCARDED_BYTES,
            State::Dialing | State::Closed(_) => false,
        };
        self.may_have_input && reads
    }

    /// Whether input may be left unread, also while reading is paused.
    pub fn may_have_unread_input(&self) -> bool {
        self.may_have_input
    }

    /// Whether the connection was finished and is not closed yet: input is discarded.
    pub fn is_ending(&self) -> bool {
        matches!(self.state, State::Finishing | State::Lingering)
    }

    /// Handles the readiness reported by the poll.
    pub fn ready(&mut self, now: Micros, readable: bool, writable: bool, callbacks: &mut impl Callbacks) {
        self.may_have_input |= readable;
        if self.state == State::Dialing && (writable || readable) {
            match self.transport.connected() {
                Ok(true) => {
                    self.state = State::Open;
                    self.last_received = now;
                    callbacks.opened();
                }
                Ok(false) => return,
                Err(_) => return self.close_as(Closed::DialFailed),
            }
        }
        if writable {
            self.flush(now);
        }
        self.read(now, callbacks);
    }

    fn read(&mut self, now: Micros, callbacks: &mut impl Callbacks) {
        let mut allowance = MAX_BYTES_PER_TURN;
        // The read buffer is on the stack, because hundreds of idle connections must not hold a buffer each.
        let mut chunk = [0; READ_CHUNK_BYTES];
        while self.needs_read() && allowance > 0 && callbacks.accepts_more() {
            match self.transport.read(&mut chunk) {
                Ok(0) => self.note_peer_closed(),
                Ok(count) => {
                    allowance = allowance.saturating_sub(count);
                    self.take_input(now, &chunk[..count], callbacks);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.may_have_input = false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.close_as(Closed::Lost),
            }
        }
        self.shrink_inbox();
    }

    /// Releases the part of the receive buffer that held handled messages.
    fn shrink_inbox(&mut self) {
        if self.inbox.is_empty() {
            self.inbox = BytesMut::new();
        } else if self.has_removed_messages {
            self.inbox = BytesMut::from(&self.inbox[..]);
        }
        self.has_removed_messages = false;
        self.update_memory();
    }

    /// Appends to the receive buffer. It grows by less than doubling, because much of what a peer makes this process hold
    /// are the buffers of partial messages.
    fn append_to_inbox(&mut self, bytes: &[u8]) {
        let length = self.inbox.len() + bytes.len();
        if self.inbox.capacity() < length {
            let spare = (self.inbox.len() / SPARE_ROOM_DIVISOR).max(bytes.len());
            let room = self.expected_length.max(self.inbox.len() + spare);
            let mut grown = BytesMut::with_capacity(room);
            grown.extend_from_slice(&self.inbox);
            self.inbox = grown;
        }
        self.inbox.extend_from_slice(bytes);
    }

    /// Handles the end of the peer's stream. The peer may still read, so queued output is written first.
    fn note_peer_closed(&mut self) {
        match self.state {
            State::Discarding | State::Finishing => {
                self.may_have_input = false;
                self.peer_closed = true;
            }
            State::Open if self.allows_half_open => {
                self.may_have_input = false;
                self.peer_closed = true;
                self.discard_input();
            }
            State::Lingering => self.close_as(Closed::ByOwner),
            State::Dialing | State::Open | State::Closed(_) => self.close_as(Closed::Lost),
        }
    }

    fn take_input(&mut self, now: Micros, bytes: &[u8], callbacks: &mut impl Callbacks) {
        if self.state == State::Discarding || self.is_ending() {
            self.discarded += bytes.len();
            return;
        }
        self.append_to_inbox(bytes);
        self.last_received = now;
        let length = self.inbox.len();
        if callbacks.received(&mut self.inbox).is_err() {
            // The owner may still write outstanding responses and the error before it finishes the connection.
            self.inbox.clear();
            self.state = State::Discarding;
        }
        if self.inbox.len() < length {
            self.has_removed_messages = true;
            self.expected_length = 0;
        }
    }

    /// Queues bytes, which [`Connection::flush`] writes. Ignored once the writing side is shut down.
    pub fn queue(&mut self, bytes: Vec<u8>) {
        let can_write =
            matches!(self.state, State::Dialing | State::Open | State::Discarding | State::Finishing);
        if can_write && !bytes.is_empty() {
            self.queued += bytes.len() as u64;
            self.push_output(bytes);
            self.update_memory();
        }
    }

    fn push_output(&mut self, bytes: Vec<u8>) {
        match self.outbox.back_mut() {
            Some(last) if last.len() + bytes.len() <= SHARED_BUFFER_BYTES => {
                self.outbox_capacity -= last.capacity();
                last.extend_from_slice(&bytes);
                self.outbox_capacity += last.capacity();
            }
            _ => {
                self.outbox_capacity += bytes.capacity();
                self.outbox.push_back(bytes);
            }
        }
    }

    fn pop_output(&mut self) {
        let written = self.outbox.pop_front();
        self.outbox_capacity -= written.map_or(0, |buffer| buffer.capacity());
        self.front_written = 0;
        if self.outbox.is_empty() && self.outbox.capacity() > MAX_IDLE_OUTBOX_CAPACITY {
            self.outbox = VecDeque::new();
        }
    }

    /// Writes as many queued bytes as the transport accepts.
    pub fn flush(&mut self, now: Micros) {
        self.write_outbox(now);
        self.update_memory();
    }

    fn write_outbox(&mut self, now: Micros) {
        if !matches!(self.state, State::Open | State::Discarding | State::Finishing) {
            return;
        }
        if !self.outbox.is_empty() {
            self.delivery.begin_write(now);
        }
        while let Some(buffer) = self.outbox.front() {
            match self.transport.write(&buffer[self.front_written..]) {
                Ok(0) => return self.close_as(Closed::Lost),
                Ok(n) => {
                    self.delivery.record_written(n);
                    self.front_written += n;
                    if self.front_written == buffer.len() {
                        self.pop_output();
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.close_as(Closed::Lost),
            }
        }
        invariant!(self.written() == self.queued, "all bytes are written once the outbox is empty");
        if self.state == State::Finishing {
            self.delivery.restart_wait(now);
            match self.transport.shut_down_writing() {
                Ok(()) if !self.peer_closed => self.state = State::Lingering,
                _ => self.close_as(Closed::ByOwner),
            }
        }
    }

    /// Discards input from now on; queued output is still written.
    pub fn discard_input(&mut self) {
        if self.state == State::Open {
            self.state = State::Discarding;
            self.release_partial_message();
        }
    }

    /// Whether input is discarded while queued output is still written.
    pub fn is_discarding(&self) -> bool {
        self.state == State::Discarding
    }

    /// Whether the peer closed its writing side, and the connection was not closed at once.
    pub fn has_peer_closed(&self) -> bool {
        self.peer_closed
    }

    /// Finishes the connection: discards input, writes all output, shuts down the writing side, and closes when the
    /// peer does.
    pub fn finish(&mut self, now: Micros) {
        match self.state {
            State::Open | State::Discarding => self.state = State::Finishing,
            State::Dialing => return self.close_as(Closed::ByOwner),
            State::Finishing | State::Lingering | State::Closed(_) => {}
        }
        self.inbox = BytesMut::new();
        self.flush(now);
    }

    /// Closes the connection at once.
    pub fn close(&mut self) {
        self.close_as(Closed::ByOwner);
    }

    fn close_as(&mut self, reason: Closed) {
        if !matches!(self.state, State::Closed(_)) {
            self.state = State::Closed(reason);
            self.outbox = VecDeque::new();
            self.outbox_capacity = 0;
            self.release_partial_message();
        }
    }
}
