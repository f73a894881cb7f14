//! The relay's thread: it owns the listeners and all relayed connections.

use super::direction::Direction;
use super::{lock, Command, Faults, LinkId, Shared, WAKER_TOKEN};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Registry, Token};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Most connections at a time; further ones are reset.
const MAX_CONNECTIONS: usize = 4_096;
/// How much later dropped bytes arrive: TCP's least retransmission timeout, doubled each time.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// Bytes that are dropped so often arrive nevertheless.
const MAX_RETRANSMISSIONS: u32 = 5;
/// A relay that nobody stops stops by itself.
const MAX_LIFETIME: Duration = Duration::from_secs(600);
/// Longest wait before the thread looks whether it is to stop, and whether a link is restored.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Where an instance connects to for a server.
pub(super) struct RelayListener {
    /// `None`: new connections are refused.
    listener: Option<TcpListener>,
    pub(super) address: SocketAddr,
    link: LinkId,
}

impl RelayListener {
    pub(super) fn open(
        registry: &Registry,
        address: SocketAddr,
        token: usize,
        link: LinkId,
    ) -> io::Result<Self> {
        let listener = listen(registry, address, token)?;
        let address = listener.local_addr()?;
        Ok(RelayListener { listener: Some(listener), address, link })
    }
}

fn listen(registry: &Registry, address: SocketAddr, token: usize) -> io::Result<TcpListener> {
    let mut listener = TcpListener::bind(address)?;
    registry.register(&mut listener, Token(token), Interest::READABLE)?;
    Ok(listener)
}

fn connect(registry: &Registry, server: SocketAddr, token: Token) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(server)?;
    registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
    // Without it small writes arrive later, which no schedule asked for.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Makes the end of a connection a reset, whatever is still in flight.
fn reset_on_close(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// Which end of a connection an event is about. Its number is part of the event's token.
#[derive(Clone, Copy)]
enum Side {
    Instance = 0,
    Server = 1,
}

impl Side {
    const COUNT: usize = 2;

    fn of(token_offset: usize) -> Side {
        if token_offset % Side::COUNT == Side::Instance as usize {
            Side::Instance
        } else {
            Side::Server
        }
    }
}

/// What has become of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Status {
    Open,
    Finished,
    Broken,
}

/// A relayed connection.
struct Connection {
    link: LinkId,
    instance: TcpStream,
    /// Opened once the link is not cut: a server sees nothing of connections that came while it was.
    server: Option<TcpStream>,
    to_server: Direction,
    to_instance: Direction,
}

impl Connection {
    fn mark_ready(&mut self, side: Side, readable: bool, writable: bool) {
        let (from_side, to_side) = match side {
            Side::Instance => (&mut self.to_server, &mut self.to_instance),
            Side::Server => (&mut self.to_instance, &mut self.to_server),
        };
        if readable {
            from_side.set_readable();
        }
        if writable {
            to_side.set_writable();
        }
    }
}

/// The thread's state.
pub(super) struct Worker {
    shared: Arc<Shared>,
    servers: Vec<SocketAddr>,
    listeners: Vec<RelayListener>,
    connections: BTreeMap<usize, Connection>,
    next_connection: usize,
}

impl Worker {
    pub(super) fn new(shared: Arc<Shared>, servers: Vec<SocketAddr>, listeners: Vec<RelayListener>) -> Self {
        Worker { shared, servers, listeners, connections: BTreeMap::new(), next_connection: 0 }
    }

    pub(super) fn run(mut self, mut poll: Poll) {
        let started = Instant::now();
        let mut events = Events::with_capacity(256);
        let mut wait = Duration::ZERO;
        while !self.shared.stop.load(Ordering::SeqCst) && started.elapsed() < MAX_LIFETIME {
            let polled = poll.poll(&mut events, Some(wait));
            if polled.is_err_and(|error| error.kind() != io::ErrorKind::Interrupted) {
                return;
            }
            self.execute_commands(poll.registry());
            for event in events.iter().filter(|event| event.token() != WAKER_TOKEN) {
                self.dispatch(poll.registry(), event);
            }
            wait = self.forward_all(poll.registry());
        }
    }

    fn token(&self, connection: usize, side: Side) -> Token {
        Token(self.listeners.len() + Side::COUNT * connection + side as usize)
    }

    fn dispatch(&mut self, registry: &Registry, event: &mio::event::Event) {
        let Token(token) = event.token();
        let Some(offset) = token.checked_sub(self.listeners.len()) else {
            return self.accept_all(registry, token);
        };
        let Some(connection) = self.connections.get_mut(&(offset / Side::COUNT)) else { return };
        let readable = event.is_readable() || event.is_read_closed() || event.is_error();
        let writable = event.is_writable() || event.is_error();
        connection.mark_ready(Side::of(offset), readable, writable);
    }

    fn execute_commands(&mut self, registry: &Registry) {
        let pending = std::mem::take(&mut *lock(&self.shared.commands));
        for next in pending {
            self.execute(registry, next.command);
            next.done.store(true, Ordering::SeqCst);
        }
    }

    fn execute(&mut self, registry: &Registry, command: Command) {
        match command {
            Command::Reset(link) => {
                let of_link = self.connections.iter().filter(|(_, connection)| connection.link == link);
                let numbers: Vec<usize> = of_link.map(|(&number, _)| number).collect();
                for number in numbers {
                    self.reset(number);
                }
            }
            Command::Refuse(link) => {
                if let Some(position) = self.listener_of(link) {
                    self.listeners[position].listener = None;
                }
            }
            Command::Accept(link) => {
                if let Some(position) = self.listener_of(link) {
                    let entry = &mut self.listeners[position];
                    if entry.listener.is_none() {
                        entry.listener = listen(registry, entry.address, position).ok();
                    }
                }
            }
        }
    }

    fn listener_of(&self, link: LinkId) -> Option<usize> {
        self.listeners.iter().position(|listener| listener.link == link)
    }

    /// Accepts the connections that wait at a listener.
    fn accept_all(&mut self, registry: &Registry, listener: usize) {
        let link = self.listeners[listener].link;
        while let Some(Ok((mut stream, _))) =
            self.listeners[listener].listener.as_ref().map(TcpListener::accept)
        {
            self.shared.counters.connections.fetch_add(1, Ordering::Relaxed);
            let number = self.next_connection;
            let token = self.token(number, Side::Instance);
            let registered = registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE);
            if self.connections.len() >= MAX_CONNECTIONS || registered.is_err() {
                self.shared.counters.reset.fetch_add(1, Ordering::Relaxed);
                reset_on_close(&stream);
                continue;
            }
            let _ = stream.set_nodelay(true);
            let connection = Connection {
                link,
                instance: stream,
                server: None,
                to_server: Direction::default(),
                to_instance: Direction::default(),
            };
            self.connections.insert(number, connection);
            self.next_connection += 1;
        }
    }

    /// Reads what has come on all connections and writes what is due; returns how long only events give anything to do.
    fn forward_all(&mut self, registry: &Registry) -> Duration {
        let now = Instant::now();
        let shared = self.shared.clone();
        let mut faults = lock(&shared.faults);
        let mut wait = CHECK_INTERVAL;
        let mut ended = Vec::new();
        let numbers: Vec<usize> = self.connections.keys().copied().collect();
        for number in numbers {
            let server_token = self.token(number, Side::Server);
            let Some(connection) = self.connections.get_mut(&number) else { continue };
            let server = self.servers[connection.link.server];
            let open = || connect(registry, server, server_token);
            let status = forward(connection, &shared, &mut faults, now, open, &mut wait);
            if status != Status::Open {
                ended.push((number, status));
            }
        }
        drop(faults);
        for (number, status) in ended {
            if status == Status::Finished {
                self.connections.remove(&number);
            } else {
                self.reset(number);
            }
        }
        wait
    }

    fn reset(&mut self, number: usize) {
        let Some(connection) = self.connections.remove(&number) else { return };
        reset_on_close(&connection.instance);
        connection.server.iter().for_each(reset_on_close);
        self.shared.counters.reset.fetch_add(1, Ordering::Relaxed);
    }
}

/// Forwards both directions of one connection, and shortens `wait` to when it has something to do.
fn forward(
    connection: &mut Connection,
    shared: &Shared,
    faults: &mut Faults,
    now: Instant,
    open: impl FnOnce() -> io::Result<TcpStream>,
    wait: &mut Duration,
) -> Status {
    let at_ms = now.saturating_duration_since(faults.began).as_millis() as u64;
    let LinkId { instance, server } = connection.link;
    if faults.sampler.is_cut(at_ms, instance, server) {
        return Status::Open;
    }
    if connection.server.is_none() {
        connection.server = open().ok();
    }
    let Some(server_stream) = &connection.server else { return Status::Broken };
    let directions = [
        (&mut connection.to_server, &connection.instance, server_stream, &shared.counters.bytes_to_servers),
        (
            &mut connection.to_instance,
            server_stream,
            &connection.instance,
            &shared.counters.bytes_to_instances,
        ),
    ];
    let mut broken = false;
    for (direction, sender, receiver, forwarded) in directions {
        let read = direction.read(sender, || {
            let delay = sample_delay(faults, at_ms, connection.link, shared);
            now + delay
        });
        let written = direction.write(receiver, now);
        forwarded.fetch_add(*written.as_ref().unwrap_or(&0), Ordering::Relaxed);
        broken |= read.is_err() || written.is_err();
        let next = if direction.can_read() { Some(Duration::ZERO) } else { direction.until_due(now) };
        *wait = (*wait).min(next.unwrap_or(CHECK_INTERVAL));
    }
    if broken {
        Status::Broken
    } else if connection.to_server.is_finished() && connection.to_instance.is_finished() {
        Status::Finished
    } else {
        Status::Open
    }
}

/// How much later a segment arrives.
fn sample_delay(faults: &mut Faults, at_ms: u64, link: LinkId, shared: &Shared) -> Duration {
    for retransmissions in 0..MAX_RETRANSMISSIONS {
        let delays_us = faults.sampler.delays_us(at_ms, link.instance, link.server);
        if let Some(&delay_us) = delays_us.first() {
            if retransmissions > 0 {
                shared.counters.retransmitted.fetch_add(1, Ordering::Relaxed);
            }
            return backoff(retransmissions) + Duration::from_micros(delay_us);
        }
    }
    shared.counters.retransmitted.fetch_add(1, Ordering::Relaxed);
    backoff(MAX_RETRANSMISSIONS)
}

/// The sum of the doubling timeouts before the last of so many retransmissions.
fn backoff(retransmissions: u32) -> Duration {
    RETRANSMISSION_TIMEOUT * ((1 << retransmissions) - 1)
}
