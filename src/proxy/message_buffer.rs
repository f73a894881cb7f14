//! Messages received on one connection in one turn of the event loop, collected before any of them is
//! handled.

use crate::net::connection::Callbacks;
use crate::net::protocol::Malformed;
use bytes::BytesMut;

/// What was received on one connection in one turn.
pub(super) struct Received<M> {
    pub(super) messages: Vec<M>,
    /// Error in the bytes that follow the messages.
    pub(super) error: Option<Malformed>,
    /// Whether the dial has completed.
    pub(super) has_opened: bool,
    pub(super) has_received: bool,
}

/// Decodes the input of a connection and stores the messages for its owner. The decoder removes one complete
/// message from the front of the bytes; it returns `None` if no message is complete.
pub(super) struct MessageBuffer<M, D> {
    decode: D,
    /// Number of messages from which on no more is read in this turn.
    max_messages: usize,
    received: Received<M>,
}

impl<M, D: FnMut(&mut BytesMut) -> Result<Option<M>, Malformed>> MessageBuffer<M, D> {
    pub(super) fn new(decode: D) -> Self {
        let received = Received { messages: Vec::new(), error: None, has_opened: false, has_received: false };
        MessageBuffer { decode, max_messages: usize::MAX, received }
    }

    /// Stops reading for this turn after `max_messages`: small messages cost far more work than their bytes.
    pub(super) fn limited_to(self, max_messages: usize) -> Self {
        MessageBuffer { max_messages, ..self }
    }

    /// Returns what was received.
    pub(super) fn into_received(self) -> Received<M> {
        self.received
    }
}

impl<M, D: FnMut(&mut BytesMut) -> Result<Option<M>, Malformed>> Callbacks for MessageBuffer<M, D> {
    fn opened(&mut self) {
        self.received.has_opened = true;
    }

    fn received(&mut self, bytes: &mut BytesMut) -> Result<(), Malformed> {
        self.received.has_received = true;
        loop {
            match (self.decode)(bytes) {
                Ok(Some(message)) => self.received.messages.push(message),
                Ok(None) => return Ok(()),
                Err(error) => {
                    self.received.error = Some(error);
                    return Err(error);
                }
            }
        }
    }

    fn accepts_more(&self) -> bool {
        self.received.messages.len() < self.max_messages
    }
}
