//! Messages of a client that are not handled before the input behind them is read.
//!
//! One turn of the event loop reads a limited amount from a connection. A client that has sent more may have cancelled
//! requests at the front of it, so requests wait for the turns that read the rest; the number of turns and bytes is
//! limited. The owner is [`super::clients::Client`].

use crate::net::protocol::frames::ClientMessage;

/// Maximum number of turns that a message waits for: they read more than all requests that a client may have open.
const MAX_TURNS: u32 = 16;

/// Deferred messages of one client.
#[derive(Default)]
pub(super) struct DeferredMessages {
    messages: Vec<ClientMessage>,
    bytes: usize,
    turns: u32,
}

impl DeferredMessages {
    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Returns the size of the bodies of the deferred requests.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether messages may be deferred for another turn together with those that are: there is a request among
    /// them, and the bodies of the new ones have at most `max_bytes`.
    pub(super) fn may_grow(&self, received: &[ClientMessage], max_bytes: usize) -> bool {
        let is_request = |message: &ClientMessage| matches!(message, ClientMessage::Request { .. });
        let has_request = self.messages.iter().chain(received).any(is_request);
        has_request && self.turns < MAX_TURNS && body_bytes(received) <= max_bytes
    }

    pub(super) fn extend(&mut self, received: Vec<ClientMessage>) {
        self.bytes += body_bytes(&received);
        self.turns += 1;
        self.messages.extend(received);
    }

    /// Removes the deferred messages and returns them followed by those received since.
    pub(super) fn take_with(&mut self, received: Vec<ClientMessage>) -> Vec<ClientMessage> {
        let mut messages = std::mem::take(self).messages;
        messages.extend(received);
        messages
    }
}

fn body_bytes(messages: &[ClientMessage]) -> usize {
    let body = |message: &ClientMessage| match message {
        ClientMessage::Request { request, .. } => request.body.len(),
        ClientMessage::Ready { .. } | ClientMessage::Cancel { .. } => 0,
    };
    messages.iter().map(body).sum()
}
