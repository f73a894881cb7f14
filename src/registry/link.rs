//! A driver's connection to an endpoint of the registry: the dial, and the gRPC channel once the connection is open. The
//! drivers of the session and of the documents own one connection each.

use super::grpc::{Channel, ChannelEvent};
use crate::net::connection::Transport;
use crate::net::event_loop::EventLoop;
use mio::net::TcpStream;
use mio::Token;
use std::io;
use std::net::SocketAddr;

enum Stage {
    Dialing(TcpStream),
    Open(Box<Channel<TcpStream>>),
    Closed,
}

/// A connection that is being dialed, open or closed.
pub(super) struct Link {
    /// Id that the session or the documents gave to the connection.
    id: u64,
    token: Token,
    stage: Stage,
    /// Whether data was sent or may have arrived since the last poll.
    has_work: bool,
}

/// The result of a poll.
pub(super) enum Polled {
    /// Nothing happened.
    Nothing,
    /// The dial of the connection with this id succeeded.
    Dialed(u64),
    /// The dial of the connection with this id failed.
    DialFailed(u64),
    /// The channel of the connection with this id was polled, and its events were appended.
    Events(u64),
}

impl Link {
    /// Begins to dial an endpoint. The address is `None` if the settings lack the endpoint; the dial then fails.
    pub(super) fn dial(
        event_loop: &mut EventLoop,
        address: Option<&SocketAddr>,
        id: u64,
    ) -> io::Result<Self> {
        let address = address.ok_or(io::ErrorKind::NotFound)?;
        let (token, stream) = event_loop.connect(*address)?;
        Ok(Link { id, token, stage: Stage::Dialing(stream), has_work: false })
    }

    pub(super) fn id(&self) -> u64 {
        self.id
    }

    pub(super) fn token(&self) -> Token {
        self.token
    }

    pub(super) fn has_work(&self) -> bool {
        self.has_work
    }

    /// Records that the event loop has reported the socket as ready.
    pub(super) fn mark_ready(&mut self) {
        self.has_work = true;
    }

    /// Calls `send` with the channel if the connection is open.
    pub(super) fn send(&mut self, send: impl FnOnce(&mut Channel<TcpStream>)) {
        if let Stage::Open(channel) = &mut self.stage {
            send(channel);
            self.has_work = true;
        }
    }

    /// Advances the dial or the channel without blocking, and appends the channel's events.
    pub(super) fn poll(&mut self, max_message_bytes: usize, events: &mut Vec<ChannelEvent>) -> Polled {
        if !std::mem::take(&mut self.has_work) {
            return Polled::Nothing;
        }
        match std::mem::replace(&mut self.stage, Stage::Closed) {
            Stage::Dialing(stream) => self.poll_dial(stream, max_message_bytes),
            Stage::Open(mut channel) => {
                channel.poll(events);
                self.has_work = channel.wants_turn();
                self.stage = Stage::Open(channel);
                Polled::Events(self.id)
            }
            Stage::Closed => Polled::Nothing,
        }
    }

    fn poll_dial(&mut self, stream: TcpStream, max_message_bytes: usize) -> Polled {
        match stream.connected() {
            Ok(false) => {
                self.stage = Stage::Dialing(stream);
                Polled::Nothing
            }
            Err(_) => Polled::DialFailed(self.id),
            Ok(true) => {
                let peer = stream.peer_addr();
                let authority = peer.map_or_else(|_| "registry".to_owned(), |address| address.to_string());
                self.stage = Stage::Open(Box::new(Channel::new(stream, authority, max_message_bytes)));
                self.has_work = true;
                Polled::Dialed(self.id)
            }
        }
    }
}
