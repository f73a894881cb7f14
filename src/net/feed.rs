//! The doorman's end of the command channel: connects, says where it is, comes back after a break.

use super::connection::{Callbacks, Connection};
use super::proto::command_channel::{hello, Numbered};
use crate::interface::Time;
use mio::net::TcpStream;
use mio::Token;
use std::net::SocketAddr;

/// A frame comes each second; after this long without a byte the connection is taken for dead.
const SILENCE: Time = 2_500_000;
/// Without a frame for so long there may be purges that have not come: a frame and some delay are missing.
const CURRENT: Time = 1_200_000;
/// First pause before a new try, doubled with each that fails.
const FIRST_PAUSE: Time = 100_000;
/// Longest pause. What is told counts as heard after 7 s whether it came or not.
const LONGEST_PAUSE: Time = 1_000_000;

/// The command channel as one doorman sees it.
pub struct Feed {
    /// Where it is.
    address: SocketAddr,
    cursor: u64,
    link: Option<(Token, Connection<TcpStream>)>,
    pause: Time,
    retry_at: Time,
    /// When its connection last brought a frame.
    told: Option<Time>,
}

impl Feed {
    /// One that has the events up to `cursor`.
    pub fn new(address: SocketAddr, cursor: u64) -> Self {
        Feed { address, cursor, link: None, pause: FIRST_PAUSE, retry_at: 0, told: None }
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Goes to another address with the number of the last event: the numbers continue there. The connection
    /// to the old one is let go at once, since nothing more is told on it.
    pub fn move_to(&mut self, address: SocketAddr) {
        self.address = address;
        (self.link, self.told) = (None, None);
        (self.pause, self.retry_at) = (FIRST_PAUSE, 0);
    }

    /// Whether a connection should be made now.
    pub fn wants_dial(&self, now: Time) -> bool {
        self.link.is_none() && now >= self.retry_at
    }

    /// Takes a new connection, on which the last event's number goes out first.
    pub fn dialed(&mut self, token: Token, mut conn: Connection<TcpStream>) {
        conn.queue(hello(self.cursor).to_vec());
        self.link = Some((token, conn));
    }

    /// The token of its connection.
    pub fn token(&self) -> Option<Token> {
        self.link.as_ref().map(|l| l.0)
    }

    /// Passes on what the poll has told.
    pub fn ready(&mut self, now: Time, readable: bool, writable: bool, callbacks: &mut impl Callbacks) {
        if let Some((_, conn)) = &mut self.link {
            conn.ready(now, readable, writable, callbacks);
            conn.flush(now);
        }
    }

    /// Whether an event is new; moves the cursor past it.
    pub fn takes(&mut self, now: Time, numbered: &Numbered) -> bool {
        self.told = Some(now);
        let new = numbered.1.is_some() && numbered.0 > self.cursor;
        if new {
            self.cursor = numbered.0;
        }
        self.pause = FIRST_PAUSE;
        new
    }

    /// Whether it tells what happens: a frame has come on this connection, and lately.
    pub fn is_current(&self, now: Time) -> bool {
        self.told.is_some_and(|t| now.saturating_sub(t) <= CURRENT)
    }

    /// Whether there is more to read than one turn took.
    pub fn has_unread(&self) -> bool {
        self.link.as_ref().is_some_and(|l| l.1.has_unread())
    }

    /// Whether the connection has ended or fallen silent.
    pub fn is_dead(&self, now: Time) -> bool {
        let dead = |c: &Connection<TcpStream>| {
            !matches!(c.state(), super::connection::State::Dialing) && !c.is_open()
        };
        self.link.as_ref().is_some_and(|l| dead(&l.1) || now.saturating_sub(l.1.heard) >= SILENCE)
    }

    /// Lets the connection go; a new one is due after a pause.
    pub fn drop_link(&mut self, now: Time) {
        (self.link, self.told) = (None, None);
        self.retry_at = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}
