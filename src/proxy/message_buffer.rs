//! Messages received on one connection in one turn of the event loop, collected before any of them is
//! handled.

use crate::net::connection::Callbacks;
use crate::net::protocol::Malformed;
use bytes::BytesMut;

/// Removes one complete message from the front of the bytes and decodes it; returns `None` if no message is
/// complete.
type Decoder<M> = fn(&mut BytesMut) -> Result<Option<M>, Malformed>;

/// Decodes the input of a connection and stores the messages for its owner.
pub(super) struct MessageBuffer<M> {
    decode: Decoder<M>,
    pub(super) messages: Vec<M>,
    /// Error in the bytes that follow the messages.
    pub(super) error: Option<Malformed>,
    /// Whether the dial has completed.
    pub(super) has_opened: bool,
    pub(super) has_received: bool,
}

impl<M> MessageBuffer<M> {
    pub(super) fn new(decode: Decoder<M>) -> Self {
        MessageBuffer { decode, messages: Vec::new(), error: None, has_opened: false, has_received: false }
    }
}

impl<M> Callbacks for MessageBuffer<M> {
    fn opened(&mut self) {
        self.has_opened = true;
    }

    fn received(&mut self, bytes: &mut BytesMut) -> Result<(), Malformed> {
        self.has_received = true;
        loop {
            match (self.decode)(bytes) {
                Ok(Some(message)) => self.messages.push(message),
                Ok(None) => return Ok(()),
                Err(error) => {
                    self.error = Some(error);
                    return Err(error);
                }
            }
        }
    }
}
