//! The admin endpoint: each connection carries one command and one answer, and is then closed.
//! [`crate::admin`] parses the commands and limits the number of connections.

use super::Proxy;
use crate::admin::{AdminConnections, Call, Gauges};
use crate::lifecycle::Event;
use crate::net::event_loop::{EventLoop, Ready};
use crate::routing::events::Micros;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use rustc_hash::FxHashMap;
use slog::debug;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};

/// Maximum number of connections accepted in one turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 32;
/// Size of a read in bytes; far more than the length of a command.
const READ_CHUNK: usize = 256;

/// Connection of an operator.
pub(super) struct AdminClient {
    stream: TcpStream,
    received: Vec<u8>,
    /// Bytes of the answer that are not written yet; `None` until a command has arrived.
    answer: Option<Vec<u8>>,
}

/// Result of reading from a connection.
enum ReadOutcome {
    Command(Call),
    /// No complete command has arrived yet.
    Pending,
    /// The operator has closed the connection, or it broke.
    Ended,
}

/// Listener of the admin endpoint and its connections.
pub(super) struct AdminServer {
    pub(super) token: Token,
    pub(super) listener: TcpListener,
    pub(super) clients: FxHashMap<Token, AdminClient>,
    slots: AdminConnections<Token>,
}

impl AdminServer {
    /// Opens the listener of the admin endpoint.
    ///
    /// # Errors
    /// The address can't be bound, or the listener can't be registered with the poll.
    pub(super) fn open(address: SocketAddr, event_loop: &mut EventLoop) -> io::Result<AdminServer> {
        let mut listener = TcpListener::bind(address)?;
        let token = event_loop.add(&mut listener, Interest::READABLE)?;
        Ok(AdminServer { token, listener, clients: FxHashMap::default(), slots: AdminConnections::default() })
    }

    /// Returns whether a token belongs to the listener or one of the connections.
    pub(super) fn owns(&self, token: Token) -> bool {
        token == self.token || self.clients.contains_key(&token)
    }

    /// Accepts waiting connections; returns whether more may be waiting.
    fn accept(&mut self, now: Micros, event_loop: &mut EventLoop) -> bool {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Ok((mut stream, _)) = self.listener.accept() else { return false };
            let interest = Interest::READABLE | Interest::WRITABLE;
            let Ok(token) = event_loop.add(&mut stream, interest) else { continue };
            if let Some(evicted) = self.slots.open(token, now) {
                self.clients.remove(&evicted);
            }
            self.clients.insert(token, AdminClient { stream, received: Vec::new(), answer: None });
        }
        true
    }

    fn close(&mut self, token: Token) {
        self.clients.remove(&token);
        self.slots.remove(token);
    }

    /// Closes connections that have timed out. It also accepts waiting connections, because no event reports
    /// them after an accept that failed for lack of a descriptor.
    pub(super) fn sweep(&mut self, now: Micros, event_loop: &mut EventLoop) {
        for token in self.slots.remove_expired(now) {
            self.clients.remove(&token);
        }
        self.accept(now, event_loop);
    }

    /// Returns the command of a connection once its line is complete. Invalid commands are answered here.
    fn read(&mut self, token: Token, now: Micros) -> Option<Call> {
        let client = self.clients.get_mut(&token)?;
        match client.read() {
            Ok(ReadOutcome::Command(command)) => Some(command),
            Ok(ReadOutcome::Pending) => None,
            Ok(ReadOutcome::Ended) => {
                // No operator waits for an answer, unless one is still being written.
                if client.answer.as_ref().is_none_or(Vec::is_empty) {
                    self.close(token);
                }
                None
            }
            Err(error) => {
                self.answer(token, now, format!("error {error}\n"));
                None
            }
        }
    }

    /// Starts to write the answer on a connection.
    fn answer(&mut self, token: Token, now: Micros, text: String) {
        if let Some(client) = self.clients.get_mut(&token) {
            client.answer = Some(text.into_bytes());
            self.slots.line_received(token, now);
            self.write(token);
        }
    }

    /// Writes the rest of the answer, then closes the sending side and waits until the operator has closed
    /// its own. Closing a connection with unread input would reset it, and the reset can overtake the answer.
    fn write(&mut self, token: Token) {
        let Some(client) = self.clients.get_mut(&token) else { return };
        let Some(answer) = client.answer.as_mut().filter(|answer| !answer.is_empty()) else { return };
        while !answer.is_empty() {
            match client.stream.write(answer) {
                Ok(written) if written > 0 => drop(answer.drain(..written)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                _ => return self.close(token),
            }
        }
        if client.stream.shutdown(Shutdown::Write).is_err() {
            self.close(token);
        }
    }
}

impl AdminClient {
    /// Reads up to the end of the command's line, and discards further input. An operator that closes its
    /// sending side after the line still gets the answer.
    fn read(&mut self) -> Result<ReadOutcome, crate::admin::InvalidCall> {
        let mut buffer = [0; READ_CHUNK];
        loop {
            if self.answer.is_none() {
                if let Some(command) = Call::decode(&self.received)? {
                    return Ok(ReadOutcome::Command(command));
                }
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return Ok(ReadOutcome::Ended),
                Ok(count) if self.answer.is_none() => self.received.extend_from_slice(&buffer[..count]),
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(ReadOutcome::Pending),
                Err(_) => return Ok(ReadOutcome::Ended),
            }
        }
    }
}

impl Proxy {
    /// Handles readiness of the admin listener or one of its connections.
    pub(super) fn admin_ready(&mut self, event: Ready) {
        let Some(mut admin) = self.admin.take() else { return };
        if event.token == admin.token {
            if admin.accept(self.now, &mut self.event_loop) {
                self.unfinished_reads.push(event.token);
            }
        } else {
            if event.writable {
                admin.write(event.token);
            }
            if let Some(command) = admin.read(event.token, self.now) {
                let answer = self.execute_command(command);
                admin.answer(event.token, self.now, answer);
                // Input after the command is discarded, so that the close does not reset the connection.
                admin.read(event.token, self.now);
            }
        }
        self.admin = Some(admin);
    }

    fn execute_command(&mut self, command: Call) -> String {
        debug!(self.log, "admin command"; "command" => ?command);
        match command {
            Call::Status if self.lifecycle.is_serving() => "done serving\n".to_owned(),
            Call::Status => format!("error not serving: {:?}\n", self.lifecycle.phase()).to_lowercase(),
            Call::Stats => self.admin_metrics.render(self.gauges()),
            Call::Standby => self.change_phase(Event::Standby),
            Call::Active => self.change_phase(Event::Active),
        }
    }

    fn change_phase(&mut self, event: Event) -> String {
        match self.advance_lifecycle(event) {
            Ok(()) => format!("done {:?}\n", self.lifecycle.phase()).to_lowercase(),
            Err(error) => format!("error {error}\n"),
        }
    }

    fn fleet_metrics(&self) -> Vec<(&'static str, u64)> {
        self.fleet.as_ref().map_or(Vec::new(), |fleet| fleet.metrics(self.now))
    }

    fn gauges(&self) -> Gauges {
        let listed = self.discovery.endpoint_list.counts();
        Gauges {
            targets: listed.ready + listed.draining + listed.shadowed,
            unavailable: self.router.unavailable_endpoints(),
            peers: self.gossip.as_ref().map(|gossip| gossip.figures()),
            fleet: self.staleness_metrics().into_iter().chain(self.fleet_metrics()).collect(),
        }
    }
}
