//! Messages of a client that are not handled before the input behind them is read.
//!
//! One turn of the event loop reads a limited amount from a connection. A client that has sent more may have cancelled
//! requests at the front of it, so requests wait for the turns that read the rest; the number of turns and of messages is
//! limited, and their memory is counted in the budget. The owner is [`super::client::Client`].

use super::arrival_times::ReceivedMessage;
use crate::net::memory::{MemoryBudget, MemoryUse, Reservation};
use crate::net::protocol::frames::ClientMessage;

/// Maximum number of turns that a message waits for. Each reads 16 KB at least: together more than all requests that a
/// client may have open.
const MAX_TURNS: u32 = 128;
/// Maximum number of messages that wait.
const MAX_MESSAGES: usize = 16_384;

/// Deferred messages of one client.
#[derive(Default)]
pub(super) struct DeferredMessages {
    messages: Vec<ReceivedMessage>,
    memory: Reservation,
    turns: u32,
}

impl DeferredMessages {
    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Returns whether messages may be deferred for another turn together with those that are: there is a request among
    /// them, and the budget allows the memory of the new ones.
    pub(super) fn may_grow(&self, received: &[ReceivedMessage], budget: &MemoryBudget) -> bool {
        let is_request =
            |received: &ReceivedMessage| matches!(received.message, ClientMessage::Request { .. });
        let has_request = self.messages.iter().chain(received).any(is_request);
        let is_within_limits = self.turns < MAX_TURNS && self.messages.len() + received.len() <= MAX_MESSAGES;
        has_request && is_within_limits && budget.allows(MemoryUse::Request, memory_bytes(received))
    }

    pub(super) fn extend(&mut self, received: Vec<ReceivedMessage>, budget: &MemoryBudget) {
        let bytes = self.memory.bytes() + memory_bytes(&received);
        self.memory = budget.reserve(bytes);
        self.turns += 1;
        self.messages.extend(received);
    }

    /// Removes the deferred messages and returns them followed by those received since.
    pub(super) fn take_with(&mut self, received: Vec<ReceivedMessage>) -> Vec<ReceivedMessage> {
        let mut messages = std::mem::take(self).messages;
        messages.extend(received);
        messages
    }
}

fn memory_bytes(messages: &[ReceivedMessage]) -> usize {
    let content = |received: &ReceivedMessage| match &received.message {
        ClientMessage::Request { request, .. } => request.memory_bytes(),
        ClientMessage::DiscardedRequest { .. }
        | ClientMessage::Ready { .. }
        | ClientMessage::Invalid { .. }
        | ClientMessage::Cancel { .. } => 0,
    };
    // A vector that grows has up to twice the room that it uses.
    messages.iter().map(|received| 2 * size_of::<ReceivedMessage>() + content(received)).sum()
}
