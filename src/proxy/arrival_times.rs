//! When the messages of a client began, as far as that is known.
//!
//! A client makes a request by the settings that it knows when it begins to write. The bytes may be read much later: the
//! client writes slowly, reading was paused, or the process was stopped. The times are therefore the earliest possible
//! ones. The module does no I/O and reads no clock.

#[cfg(test)]
mod tests;

use crate::net::protocol::frames::ClientMessage;
use crate::routing::events::Micros;

/// A message from a client.
#[derive(Debug)]
pub(super) struct ReceivedMessage {
    /// Earliest time at which its first byte may have arrived.
    pub(super) begun_at: Micros,
    pub(super) message: ClientMessage,
}

/// State of a connection after a read.
pub(super) struct ReadState {
    /// Whether a message is partially received.
    pub(super) has_partial_message: bool,
    /// Whether input may be left unread.
    pub(super) has_unread_input: bool,
}

/// Earliest arrival times of the input of one connection.
#[derive(Default)]
pub(super) struct ArrivalTimes {
    unread_since: Option<Micros>,
    partial_since: Option<Micros>,
}

impl ArrivalTimes {
    /// Dates the messages of one read. All input was read at `read_through_at` or has arrived since, unless some was left
    /// unread after the last read.
    pub(super) fn date(
        &mut self,
        read_through_at: Micros,
        messages: Vec<ClientMessage>,
        state: &ReadState,
    ) -> Vec<ReceivedMessage> {
        let arrived_at = self.unread_since.unwrap_or(read_through_at);
        let first_begun_at = self.partial_since.unwrap_or(arrived_at);
        let partial_begun_at = if messages.is_empty() { first_begun_at } else { arrived_at };
        self.partial_since = state.has_partial_message.then_some(partial_begun_at);
        self.unread_since = state.has_unread_input.then_some(arrived_at);
        let begun_at = std::iter::once(first_begun_at).chain(std::iter::repeat(arrived_at));
        let dated = messages.into_iter().zip(begun_at);
        dated.map(|(message, begun_at)| ReceivedMessage { begun_at, message }).collect()
    }
}
