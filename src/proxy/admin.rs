//! The admin endpoint on sockets: one command a connection, one answer, a close. What a command may be and who has a
//! place [`crate::admin`] decides.

use super::Proxy;
use crate::admin::{Call, Callers, Gauges};
use crate::lifecycle::Event;
use crate::net::event_loop::{EventLoop, Ready};
use crate::routing::events::Micros;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use rustc_hash::FxHashMap;
use slog::debug;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};

/// Connections accepted in one turn.
const MAX_ACCEPTS_PER_TURN: usize = 32;
/// Bytes read at a time; far more than a command has.
const READ_CHUNK: usize = 256;

/// The connection of one operator.
pub(super) struct AdminClient {
    stream: TcpStream,
    received: Vec<u8>,
    /// What is still to be written; `None` while no command has come.
    answer: Option<Vec<u8>>,
}

/// What a read of a connection came to.
enum ReadOutcome {
    Command(Call),
    /// There is nothing more to read now.
    Pending,
    /// The operator has closed its side, or the connection broke.
    Ended,
}

/// Listens for operators and holds their connections.
pub(super) struct AdminServer {
    pub(super) token: Token,
    pub(super) listener: TcpListener,
    pub(super) clients: FxHashMap<Token, AdminClient>,
    places: Callers<Token>,
}

impl AdminServer {
    /// Listens for operators.
    ///
    /// # Errors
    /// The address can't be had, or the poll takes no more sockets.
    pub(super) fn open(address: SocketAddr, event_loop: &mut EventLoop) -> io::Result<AdminServer> {
        let mut listener = TcpListener::bind(address)?;
        let token = event_loop.add(&mut listener, Interest::READABLE)?;
        Ok(AdminServer { token, listener, clients: FxHashMap::default(), places: Callers::default() })
    }

    /// Whether a token is the listener's or a connection's.
    pub(super) fn owns(&self, token: Token) -> bool {
        token == self.token || self.clients.contains_key(&token)
    }

    /// Accepts who waits; `true`: there may be more.
    fn accept(&mut self, now: Micros, event_loop: &mut EventLoop) -> bool {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Ok((mut stream, _)) = self.listener.accept() else { return false };
            let interest = Interest::READABLE | Interest::WRITABLE;
            let Ok(token) = event_loop.add(&mut stream, interest) else { continue };
            if let Some(evicted) = self.places.come(token, now) {
                self.clients.remove(&evicted);
            }
            self.clients.insert(token, AdminClient { stream, received: Vec::new(), answer: None });
        }
        true
    }

    fn close(&mut self, token: Token) {
        self.clients.remove(&token);
        self.places.left(token);
    }

    /// Closes connections whose time is over, and accepts those that no event reports: an accept may have failed for
    /// want of a descriptor.
    pub(super) fn sweep(&mut self, now: Micros, event_loop: &mut EventLoop) {
        for token in self.places.overdue(now) {
            self.clients.remove(&token);
        }
        self.accept(now, event_loop);
    }

    /// The command of a connection, once its line is whole. What is no command is answered here.
    fn read(&mut self, token: Token, now: Micros) -> Option<Call> {
        let client = self.clients.get_mut(&token)?;
        match client.read() {
            Ok(ReadOutcome::Command(command)) => Some(command),
            Ok(ReadOutcome::Pending) => None,
            Ok(ReadOutcome::Ended) => {
                // Nobody waits, unless an answer is still being written.
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

    /// Gives a connection its answer.
    fn answer(&mut self, token: Token, now: Micros, text: String) {
        if let Some(client) = self.clients.get_mut(&token) {
            client.answer = Some(text.into_bytes());
            self.places.called(token, now);
            self.write(token);
        }
    }

    /// Writes on; after the last byte it closes its own side and waits for the operator's. A close over bytes that
    /// were not read would be a reset, which can overtake the answer.
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
    /// Reads up to the end of the command's line, and what comes behind the command to no effect: who closes its side
    /// after the line still waits for the answer.
    fn read(&mut self) -> Result<ReadOutcome, crate::admin::NoCall> {
        let mut chunk = [0; READ_CHUNK];
        loop {
            if self.answer.is_none() {
                if let Some(command) = Call::decode(&self.received)? {
                    return Ok(ReadOutcome::Command(command));
                }
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(ReadOutcome::Ended),
                Ok(count) if self.answer.is_none() => self.received.extend_from_slice(&chunk[..count]),
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(ReadOutcome::Pending),
                Err(_) => return Ok(ReadOutcome::Ended),
            }
        }
    }
}

impl Proxy {
    /// The admin listener or one of its connections is ready.
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
                // What came behind the command is read away, so that the close is no reset.
                admin.read(event.token, self.now);
            }
        }
        self.admin = Some(admin);
    }

    fn execute_command(&mut self, command: Call) -> String {
        debug!(self.log, "admin command"; "command" => ?command);
        match command {
            Call::Status if self.lifecycle.takes_clients() => "done serving\n".to_owned(),
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

    fn gauges(&self) -> Gauges {
        let listed = self.discovery.membership.counts();
        Gauges {
            targets: listed.ready + listed.draining + listed.shadowed,
            avoided: self.router.unavailable_endpoints(),
            peers: self.gossip.as_ref().map(|gossip| gossip.figures()),
            fleet: self.fleet.as_ref().map_or(Vec::new(), |fleet| fleet.metrics(self.now)),
        }
    }
}
