//! Takeover of an instance by a new process: the Unix socket on which the running process awaits its
//! successor, the handover of the listener, and the limits that both processes share meanwhile.
//! `crate::takeover` decides which process may take over. If a step fails, the process continues without it.

use super::client::Client;
use super::predecessor::Predecessor;
use super::purges::ReceivedPurge;
use super::requests::id_number;
use super::takeover_files::{temporary_path, TakeoverFiles};
use super::Proxy;
use crate::config::platform::Config;
use crate::lifecycle::Event as LifecycleEvent;
use crate::net::event_loop::{EventLoop, Ready};
use crate::net::listener::listen;
use crate::net::protocol::command_channel::{Command, Purge};
use crate::routing::deduplication::FirstExecution;
use crate::routing::events::{Id, Micros};
use crate::takeover::{
    encode_line, Action, ExecutedRequest, FromPredecessor, FromSuccessor, Lines, Offers, PurgeInForce,
    TakeoverState, MAX_EXECUTED, MAX_LINE_BYTES,
};
use mio::net::{TcpListener, UnixListener, UnixStream};
use mio::{Interest, Token};
use rustc_hash::FxHashMap;
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use slog::{info, warn, Logger};
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::os::fd::AsFd;

/// Time in which a connected process must send its first line, in microseconds; a successor sends it at once.
const HELLO_TIMEOUT: Micros = 2_000_000;
/// Maximum number of bytes that are kept for a successor which does not read them.
const MAX_UNSENT_BYTES: usize = 64 * 1024;
/// Maximum number of processes that are connected to the socket at a time.
const MAX_CONNECTED_PROCESSES: usize = 2;

/// Listener for clients, as it was opened.
pub(super) struct OpenedSocket {
    pub socket: TcpListener,
    /// Whether the predecessor handed the listener over; both processes then accept from the same queue.
    pub is_shared: bool,
}

impl OpenedSocket {
    /// Returns the listener that the predecessor handed over, or opens a new one.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub fn open(predecessor: &mut Option<Predecessor>, config: &Config) -> io::Result<Self> {
        match predecessor.as_mut().and_then(|predecessor| predecessor.listener.take()) {
            Some(socket) => Ok(OpenedSocket { socket, is_shared: true }),
            None => {
                let socket = listen(config.listen, config.management.is_some())?;
                Ok(OpenedSocket { socket, is_shared: false })
            }
        }
    }
}

/// Unix socket on which a successor is awaited.
struct SuccessorSocket {
    token: Token,
    listener: UnixListener,
}

/// Connection to the predecessor.
struct PredecessorLink {
    token: Token,
    stream: UnixStream,
    lines: Lines,
    /// Requests that the predecessor may have run, as far as it has told.
    executed: Vec<ExecutedRequest>,
}

impl PredecessorLink {
    fn new(token: Token, stream: UnixStream, received: &[u8]) -> Self {
        let mut link = PredecessorLink { token, stream, lines: Lines::default(), executed: Vec::new() };
        link.handle_input(received);
        link
    }

    fn handle_input(&mut self, bytes: &[u8]) {
        for line in self.lines.add(bytes) {
            if let Ok(FromPredecessor::Executed(request)) = serde_json::from_slice(&line) {
                self.executed.push(request);
            }
        }
    }

    /// Reads what has arrived. Returns whether the connection has ended.
    fn read(&mut self) -> bool {
        let mut chunk = [0; MAX_LINE_BYTES];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return true,
                Ok(length) => self.handle_input(&chunk[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return true,
            }
        }
    }
}

/// A process that has connected to the socket.
struct ConnectedProcess {
    stream: UnixStream,
    received: Vec<u8>,
    /// Lines that the process has not read yet.
    unsent: Vec<u8>,
    connected_at: Micros,
}

impl ConnectedProcess {
    /// Writes as much of the unsent lines as the connection accepts.
    fn send(&mut self) {
        if !self.unsent.is_empty() {
            let written = self.stream.write(&self.unsent).unwrap_or(0);
            self.unsent.drain(..written);
        }
    }
}

/// Result of reading from a connected process.
enum Received {
    Line(Vec<u8>),
    /// The next line is not complete yet.
    Incomplete,
    /// The connection has ended, or the line is too long.
    Closed,
}

/// Takeover state of one process, with its predecessor and its successor.
pub(super) struct Takeover {
    files: TakeoverFiles,
    socket: Option<SuccessorSocket>,
    offers: Offers<Token>,
    connected: FxHashMap<Token, ConnectedProcess>,
    predecessor: Option<PredecessorLink>,
    /// See [`OpenedSocket::is_shared`].
    shares_listener: bool,
    /// Whether this process serves clients and its predecessor has been told so.
    is_serving: bool,
    /// Whether accepting is paused until this process serves; until then the predecessor accepts the
    /// connections.
    has_paused_accepting: bool,
}

impl Takeover {
    pub fn new(
        files: TakeoverFiles,
        predecessor: Option<Predecessor>,
        shares_listener: bool,
        event_loop: &mut EventLoop,
    ) -> Self {
        let predecessor = predecessor.and_then(|Predecessor { mut stream, received, .. }| {
            let token = event_loop.add(&mut stream, Interest::READABLE).ok()?;
            Some(PredecessorLink::new(token, stream, &received))
        });
        Takeover {
            offers: Offers::new(files.identity.clone()),
            files,
            socket: None,
            connected: FxHashMap::default(),
            predecessor,
            shares_listener,
            is_serving: false,
            has_paused_accepting: false,
        }
    }

    /// Returns whether a token belongs to the takeover.
    pub fn owns(&self, token: Token) -> bool {
        self.connected.contains_key(&token) || self.is_socket(token) || self.is_predecessor(token)
    }

    fn is_socket(&self, token: Token) -> bool {
        self.socket.as_ref().is_some_and(|socket| socket.token == token)
    }

    fn is_predecessor(&self, token: Token) -> bool {
        self.predecessor.as_ref().is_some_and(|predecessor| predecessor.token == token)
    }

    /// Returns whether another process of this instance is running.
    pub fn has_other_process(&self) -> bool {
        self.predecessor.is_some() || self.offers.has_successor()
    }

    /// Returns the state that the predecessor left.
    fn inherited_state(&self, log: &Logger) -> Option<TakeoverState> {
        self.predecessor.as_ref()?;
        let state = self.files.read_state();
        state
            .map_err(|error| warn!(log, "takeover state of the predecessor rejected"; "error" => %error))
            .ok()
    }

    /// Opens the socket on which a successor finds this process.
    fn await_successor(&mut self, now: Micros, event_loop: &mut EventLoop, log: &Logger) {
        match bind_socket(&self.files, event_loop) {
            Ok(socket) => {
                // A successor may just have connected to the old socket. If its connection were closed
                // unread, it would start without knowing of this process, and both would use the full limits.
                self.accept_processes(now, event_loop);
                self.socket = Some(socket);
            }
            Err(error) => warn!(log, "a successor will not find this process"; "error" => %error),
        }
    }

    /// Tells the predecessor that this process serves clients, and opens the socket for a successor.
    fn announce_serving(&mut self, now: Micros, event_loop: &mut EventLoop, log: &Logger) {
        if std::mem::replace(&mut self.is_serving, true) {
            return;
        }
        if let Some(PredecessorLink { stream, .. }) = &mut self.predecessor {
            let line = encode_line(&FromSuccessor::Serving { shared_listener: self.shares_listener });
            // A socket's buffer holds far more than one line. If the write fails, the connection reports the
            // predecessor's end later.
            if let Err(error) = stream.write_all(&line) {
                warn!(log, "predecessor not notified of its successor"; "error" => %error);
            }
        }
        self.await_successor(now, event_loop, log);
    }

    /// Closes processes that have connected without sending a line, because the number of connections is
    /// limited, and sends lines that the successor had no room for.
    pub fn sweep(&mut self, now: Micros) {
        let offers = &self.offers;
        self.connected.retain(|token, process| {
            offers.is_successor(*token) || now.saturating_sub(process.connected_at) < HELLO_TIMEOUT
        });
        self.connected.values_mut().for_each(ConnectedProcess::send);
    }

    fn accept_processes(&mut self, now: Micros, event_loop: &mut EventLoop) {
        let Some(SuccessorSocket { listener, .. }) = &self.socket else { return };
        while let Ok((mut stream, _)) = listener.accept() {
            // A process beyond the maximum is disconnected, and starts without a predecessor.
            if self.connected.len() < MAX_CONNECTED_PROCESSES {
                if let Ok(token) = event_loop.add(&mut stream, Interest::READABLE) {
                    let process = ConnectedProcess {
                        stream,
                        received: Vec::new(),
                        unsent: Vec::new(),
                        connected_at: now,
                    };
                    self.connected.insert(token, process);
                }
            }
        }
    }

    /// Reads what the predecessor has sent. Returns whether it has ended.
    fn read_predecessor(&mut self) -> bool {
        self.predecessor.as_mut().is_some_and(PredecessorLink::read)
    }

    /// Returns the requests that the predecessor may have run and that it has told of since the last call.
    fn take_executed(&mut self) -> Vec<ExecutedRequest> {
        self.predecessor.as_mut().map(|link| std::mem::take(&mut link.executed)).unwrap_or_default()
    }

    /// Tells the successor of a request that may have run. What it does not read is kept up to a limit.
    fn tell_executed(&mut self, request: ExecutedRequest) {
        let Some(process) = self.offers.execution_reader().and_then(|token| self.connected.get_mut(&token))
        else {
            return;
        };
        let line = encode_line(&FromPredecessor::Executed(request));
        if process.unsent.len() + line.len() <= MAX_UNSENT_BYTES {
            process.unsent.extend(line);
        }
        process.send();
    }

    /// Reads the next line of a connected process.
    fn read_line(&mut self, token: Token) -> Received {
        let Some(ConnectedProcess { stream, received, .. }) = self.connected.get_mut(&token) else {
            return Received::Incomplete;
        };
        let mut chunk = [0; MAX_LINE_BYTES];
        loop {
            if let Some(end) = received.iter().position(|&byte| byte == b'\n') {
                return Received::Line(received.drain(..=end).collect());
            }
            if received.len() > MAX_LINE_BYTES {
                return Received::Closed;
            }
            match stream.read(&mut chunk) {
                Ok(length) if length > 0 => received.extend_from_slice(&chunk[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Received::Incomplete,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return Received::Closed,
            }
        }
    }

    /// Hands the listener over to a connected process.
    fn offer(&mut self, token: Token, listener: &TcpListener) -> io::Result<()> {
        let Some(process) = self.connected.get(&token) else { return Err(ErrorKind::NotConnected.into()) };
        let line = encode_line(&FromPredecessor::Offer);
        let descriptors = [listener.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        sendmsg(&process.stream, &[IoSlice::new(&line)], &mut control, SendFlags::NOSIGNAL)?;
        Ok(())
    }

    /// Sends a connected process the reason for a refusal and closes its connection, which shows the refusal
    /// even if the line is lost.
    fn refuse(&mut self, token: Token, reason: &FromPredecessor) {
        if let Some(mut process) = self.connected.remove(&token) {
            let _ = process.stream.write_all(&encode_line(reason));
        }
    }
}

/// Binds the socket under a temporary name and then renames it, so that the known name never refers to a
/// socket without a listener.
fn bind_socket(files: &TakeoverFiles, event_loop: &mut EventLoop) -> io::Result<SuccessorSocket> {
    let path = files.socket();
    let temporary = temporary_path(&path);
    // The file may be left from an earlier process with the same process id.
    let _ = std::fs::remove_file(&temporary);
    let bound = UnixListener::bind(&temporary).and_then(|mut listener| {
        let token = event_loop.add(&mut listener, Interest::READABLE)?;
        std::fs::rename(&temporary, &path)?;
        Ok(SuccessorSocket { token, listener })
    });
    if bound.is_err() {
        let _ = std::fs::remove_file(&temporary);
    }
    bound
}

impl Proxy {
    /// Returns whether another process of this instance is running.
    pub(super) fn has_other_process(&self) -> bool {
        self.takeover.as_ref().is_some_and(Takeover::has_other_process)
    }

    /// Handles readiness of the takeover's sockets.
    pub(super) fn takeover_ready(&mut self, event: Ready) {
        let Some(mut takeover) = self.takeover.take() else { return };
        let had_other_process = takeover.has_other_process();
        let mut lifecycle_event = None;
        if takeover.is_socket(event.token) {
            takeover.accept_processes(self.now, &mut self.event_loop);
        } else if takeover.is_predecessor(event.token) {
            let has_ended = takeover.read_predecessor();
            self.add_executed(takeover.take_executed());
            if has_ended {
                info!(self.log, "the process before has ended");
                takeover.predecessor = None;
            }
        } else {
            lifecycle_event = self.process_ready(&mut takeover, event.token);
        }
        let has_changed = takeover.has_other_process() != had_other_process;
        let has_predecessor = takeover.predecessor.is_some();
        self.takeover = Some(takeover);
        if !has_predecessor {
            self.resume_accepting();
        }
        if has_changed {
            self.update_shared_limits();
        }
        if let Some(event) = lifecycle_event {
            // Only events that operators cause can be refused.
            let _ = self.advance_lifecycle(event);
        }
    }

    /// Handles input or the end of a connected process; returns the lifecycle event that follows.
    fn process_ready(&mut self, takeover: &mut Takeover, token: Token) -> Option<LifecycleEvent> {
        let mut lifecycle_event = None;
        loop {
            let line = match takeover.read_line(token) {
                Received::Line(line) => line,
                Received::Incomplete => return lifecycle_event,
                Received::Closed => break,
            };
            match takeover.offers.handle_line(token, &line) {
                Action::Offer => {
                    if !self.offer_listener(takeover, token) {
                        break;
                    }
                }
                Action::Refuse(reason) => {
                    warn!(self.log, "takeover refused"; "reason" => ?reason);
                    takeover.refuse(token, &reason);
                    return lifecycle_event;
                }
                Action::Replaced { shared_listener } => {
                    lifecycle_event =
                        Some(LifecycleEvent::SuccessorServing { shares_listener: shared_listener });
                }
                Action::Nothing => {}
            }
        }
        takeover.connected.remove(&token);
        if takeover.offers.handle_disconnect(token) {
            info!(self.log, "the successor has ended");
            // The socket's path has referred to the successor's socket since it began to serve.
            takeover.await_successor(self.now, &mut self.event_loop, &self.log);
            return Some(LifecycleEvent::SuccessorEnded);
        }
        lifecycle_event
    }

    /// Writes the state for the successor and hands the listener over; returns whether the handover
    /// succeeded.
    fn offer_listener(&self, takeover: &mut Takeover, token: Token) -> bool {
        info!(self.log, "another process takes over");
        let state = TakeoverState {
            identity: takeover.files.identity.clone(),
            purges: self.purges_in_force(),
            written_ms: Some(self.timestamps.unix_ms(self.now)),
            classes: self.classes.known(self.now),
            limits: self.request_limits.known(self.now),
            executed: self.executed_requests(),
        };
        if let Err(error) = takeover.files.write_state(&state) {
            warn!(self.log, "takeover state for the successor not written"; "error" => %error);
        }
        match takeover.offer(token, &self.listener.socket) {
            Ok(()) => true,
            Err(error) => {
                warn!(self.log, "listener not handed over"; "error" => %error);
                false
            }
        }
    }

    fn purges_in_force(&self) -> Vec<PurgeInForce> {
        let in_force = |purge: &ReceivedPurge| {
            let purged_ms = purge.made_unix_ms;
            match purge.scope {
                Purge::Object(object) => PurgeInForce { object: Some(object), group: 0, purged_ms },
                Purge::Group(group) => PurgeInForce { object: None, group, purged_ms },
            }
        };
        self.purges.iter().map(in_force).collect()
    }

    /// Applies the state that the predecessor left.
    pub(super) fn inherit_state(&mut self) {
        self.pause_accepting();
        let takeover = self.takeover.as_ref();
        let Some(state) = takeover.and_then(|takeover| takeover.inherited_state(&self.log)) else { return };
        info!(self.log, "taking over"; "purges" => state.purges.len());
        if let Some(written_ms) = state.written_ms {
            self.timestamps.event_time(self.now, written_ms);
        }
        for PurgeInForce { object, group, purged_ms } in state.purges {
            let scope = object.map_or(Purge::Group(group), Purge::Object);
            self.execute(Command::Purge { scope, when_ms: purged_ms });
        }
        // Clients may make requests by the settings that the predecessor had.
        self.request_limits.inherit(self.now, &state.limits);
        self.classes.inherit(self.now, state.classes);
        self.announce_settings();
        self.add_executed(state.executed);
        let told = self.takeover.as_mut().map(Takeover::take_executed).unwrap_or_default();
        self.add_executed(told);
    }

    /// Records requests that the predecessor may have run.
    fn add_executed(&mut self, executed: Vec<ExecutedRequest>) {
        for request in executed {
            self.recent_executions.add(self.now, request.id, request.first_execution(self.now));
        }
    }

    /// Returns the requests that may have run and may not simply run again, the latest first as far as there is room.
    fn executed_requests(&self) -> Vec<ExecutedRequest> {
        let open = self.requests.executions().map(|(id, first)| ExecutedRequest::new(self.now, id, &first));
        let ended = self.recent_executions.latest();
        let ended = ended.map(|(id, first)| ExecutedRequest::new(self.now, id, first));
        open.chain(ended).take(MAX_EXECUTED).collect()
    }

    /// Tells the successor, if there is one, that a request may run from now on.
    pub(super) fn tell_execution(&mut self, id: &Id, first: &FirstExecution) {
        let Some(takeover) = &mut self.takeover else { return };
        if let Some(number) = id_number(id) {
            takeover.tell_executed(ExecutedRequest::new(self.now, number, first));
        }
    }

    /// Announces that this process serves clients, and resumes accepting.
    pub(super) fn begin_serving(&mut self) {
        if let Some(takeover) = &mut self.takeover {
            takeover.announce_serving(self.now, &mut self.event_loop, &self.log);
        }
        self.resume_accepting();
    }

    /// Leaves the connections of a shared listener to the predecessor, which is serving. While this process
    /// has no endpoint list, it could only reject clients and report that it is not ready.
    fn pause_accepting(&mut self) {
        let takeover = self.takeover.as_mut();
        if let Some(takeover) = takeover.filter(|t| t.shares_listener && t.predecessor.is_some()) {
            takeover.has_paused_accepting = self.event_loop.remove(&mut self.listener.socket).is_ok();
        }
    }

    /// Resumes accepting once this process serves, or no other process does.
    fn resume_accepting(&mut self) {
        let Some(takeover) = self.takeover.as_mut().filter(|t| t.has_paused_accepting) else { return };
        takeover.has_paused_accepting = false;
        match self.event_loop.add(&mut self.listener.socket, Interest::READABLE) {
            Ok(token) => self.listener.token = token,
            Err(error) => warn!(self.log, "client listener not registered with the poll"; "error" => %error),
        }
        self.accept();
    }

    /// Updates the limits after the number of processes has changed: two processes get half of each limit,
    /// and of the load that cold endpoints can take. Idle connections above the limits are closed at once,
    /// those in use when they end.
    fn update_shared_limits(&mut self) {
        self.apply_limits();
        self.announce_settings();
        self.close_idle_upstreams();
        self.close_idle_clients();
    }

    fn close_idle_upstreams(&mut self) {
        let excess = self.pool.len().saturating_sub(self.bounds.upstream);
        for token in self.pool.idle_for(self.now, 0).into_iter().take(excess) {
            self.close_upstream(token);
        }
    }

    /// Closes the client connections that have been idle longest. A connection with a partial message is in
    /// use.
    pub(super) fn close_idle_clients(&mut self) {
        self.clients.update_deliveries(self.now);
        let is_idle =
            |client: &Client| client.is_idle() && client.conn.is_open() && !client.has_partial_message();
        let idle = self.clients.iter().filter(|(_, client)| is_idle(client));
        let mut idle: Vec<(Micros, Token)> = idle.map(|(token, client)| (client.last_used, *token)).collect();
        idle.sort_unstable();
        let open = self.clients.values().filter(|client| client.conn.is_open()).count();
        let excess = open.saturating_sub(self.bounds.clients);
        for (_, token) in idle.into_iter().take(excess) {
            self.finish_idle_client(token);
        }
    }
}
