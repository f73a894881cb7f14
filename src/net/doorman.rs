//! The doorman: what happens on sockets becomes events for the module, its actions become bytes.
//!
//! It owns the open requests and their attempts. Everything is done within one turn of one loop on one thread.

#[cfg(test)]
mod tests;

use super::clock::Clock;
use super::config::Config;
use super::connection::{Callbacks, Closed, Connection, State};
use super::event_loop::{EventLoop, Ready, Timers, SIGNALS};
use super::feed::Feed;
use super::pool::{Choice, Depot, Link, Pool};
use super::proto::command_channel::{self, Command, Purge, Record};
use super::proto::frames::{self, ClientMessage};
use super::proto::resp::{self, Answer, Word};
use super::proto::{Ask, Malformed, Reply};
use crate::interface::{
    Action, Code, Event, Fetch, Id, Listed, Member, Note, Outcome, Report, Request, Time,
};
use crate::invariant;
use crate::settings::Document;
use crate::Router;
use bytes::BytesMut;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use rustc_hash::FxHashMap;
use slog::{info, warn, Logger};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

const MS: Time = 1_000;
/// Requests that may be open on one client connection.
const STREAMS: usize = 32;
/// Kept back of a client's patience, so that an answer at the last moment is out before it ends, however late
/// the loop is.
const MARGIN: Time = 20 * MS;
/// Kept back of it by the guard behind that one.
const LAST_MARGIN: Time = 5 * MS;
/// Between two looks at what no event tells of: idle and silent connections, readers that do not read.
const SWEEP: Time = 250 * MS;
/// Between two lines of figures in the log.
const FIGURES: Time = 10_000 * MS;
/// Bytes that may wait for a client before no more is read from it, and below which reading goes on.
const HIGH_WATER: usize = 1 << 20;
const LOW_WATER: usize = 1 << 18;
/// Bytes that may be held for all client connections together; beyond, the one with most is let go.
const ALL_HELD: usize = 48 << 20;
/// Bytes of bodies to be written that open requests may hold together; beyond, requests are refused.
const ALL_BODIES: usize = 24 << 20;
/// A client that takes none of what waits for it for so long is let go.
const STALLED: Time = 8_000 * MS;
/// A client connection with no open request is closed after so long; clients close theirs sooner.
const CLIENT_IDLE: Time = 30_000 * MS;
/// Most connections to one depot, and part of the descriptors that all of them may take.
const MOST_EACH: usize = 16;
const UPSTREAM_PART: usize = 3;
/// Connections taken in one turn, and the pause after an accept that failed for want of descriptors.
const ACCEPTS: usize = 64;
const ACCEPT_PAUSE: Time = 20 * MS;
/// After SIGTERM: new connections keep coming for 0.4 s and requests on them for 0.2 s more; until then, and
/// somewhat longer, everything goes on as before.
const LINGER: Time = 900 * MS;
/// After SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s more is the soonest end.
const LONGEST_DRAIN: Time = 3_000 * MS;
const DRAIN_SPARE: Time = 400 * MS;
/// What the last answers of a drain have to reach their clients.
const DRAIN_FLUSH: Time = 200 * MS;
/// Purges are remembered for as long as an attempt can wait to be written, and longer.
const PURGES_KEPT: Time = 5_000 * MS;

/// What a timer means.
#[derive(Debug)]
enum Due {
    /// The module's own.
    Module(u64),
    /// An attempt has had its time.
    Attempt(Id, u32),
    /// A request has had nearly all of its patience.
    Request(Id),
    /// A dial has had its time.
    Dial(Token),
    Sweep,
    Figures,
    Accept,
    DrainEnd,
}

/// A client's connection.
struct Client {
    conn: Connection<TcpStream>,
    last_stream: u32,
    open: FxHashMap<u32, Id>,
    told_leaving: bool,
    used: Time,
}

/// A request that is not over, or whose last attempt is not.
struct Open {
    ask: Ask,
    client: Token,
    stream: u32,
    /// It has its final answer, or nobody waits for one.
    done: bool,
    attempts: u32,
    attempt: Option<Attempt>,
    /// Connections on which an attempt was given up.
    spent: Vec<Token>,
}

/// The one attempt of a request that is out.
struct Attempt {
    number: u32,
    depot: Id,
    fetch: Option<Fetch>,
    sent: Time,
    until: Time,
    on: Token,
    /// Where its command ends in all that was queued on the connection; `None`: it waits for a dial.
    end: Option<u64>,
}

/// The way out after SIGTERM.
#[derive(Clone, Copy, Debug)]
struct Drain {
    /// Until then everything goes on as before.
    linger: Time,
    /// When the process ends at the latest.
    stop: Time,
}

/// What is counted, for the log.
#[derive(Debug, Default)]
struct Figures {
    requests: u64,
    served: u64,
    refused: u64,
    failed: u64,
    left: u64,
    attempts: u64,
    dials: u64,
    dials_failed: u64,
    lost: u64,
    late_answers: u64,
    dropped: u64,
    bad_clients: u64,
    bad_depots: u64,
    accept_failures: u64,
    latest_timer: Time,
}

/// Gathers the messages that one turn brings on one connection.
struct Inbound<M> {
    decode: fn(&mut BytesMut) -> Result<Option<M>, Malformed>,
    messages: Vec<M>,
    error: Option<Malformed>,
    opened: bool,
    heard: bool,
}

impl<M> Inbound<M> {
    fn new(decode: fn(&mut BytesMut) -> Result<Option<M>, Malformed>) -> Self {
        Inbound { decode, messages: Vec::new(), error: None, opened: false, heard: false }
    }
}

impl<M> Callbacks for Inbound<M> {
    fn opened(&mut self) {
        self.opened = true;
    }

    fn received(&mut self, bytes: &mut BytesMut) -> Result<(), Malformed> {
        self.heard = true;
        loop {
            match (self.decode)(bytes) {
                Ok(Some(message)) => self.messages.push(message),
                Ok(None) => return Ok(()),
                Err(e) => {
                    self.error = Some(e.clone());
                    return Err(e);
                }
            }
        }
    }
}

/// The doorman.
pub struct Doorman {
    log: Logger,
    clock: Clock,
    now: Time,
    settings: Document,
    router: Router,
    event_loop: EventLoop,
    timers: Timers<Due>,
    listener: (Token, TcpListener),
    feed: Feed,
    clients: FxHashMap<Token, Client>,
    pool: Pool,
    requests: FxHashMap<Id, Open>,
    bodies: usize,
    purges: VecDeque<(Time, Purge)>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    ready: Vec<Ready>,
    /// Connections with more to read than one turn took.
    again: Vec<Token>,
    draining: Option<Drain>,
    figures: Figures,
    /// All that the module has heard.
    #[cfg(test)]
    told: Vec<Event>,
}

impl Doorman {
    /// Listens, takes the list of depots from the configuration and is ready to run.
    pub fn start(config: Config, clock: Clock, log: Logger) -> io::Result<Self> {
        let mut event_loop = EventLoop::new()?;
        let mut listener = TcpListener::bind(config.listen)?;
        let token = event_loop.add(&mut listener, Interest::READABLE)?;
        let router = Router::new(config.settings.for_router(), config.seed);
        let upstream = (config.sockets / UPSTREAM_PART).max(MOST_EACH);
        let mut doorman = Doorman {
            now: clock.now(),
            log,
            clock,
            router,
            event_loop,
            timers: Timers::default(),
            listener: (token, listener),
            feed: Feed::new(config.channel, config.cursor),
            clients: FxHashMap::default(),
            pool: Pool::new(config.settings.limits.multiplex, upstream, MOST_EACH),
            requests: FxHashMap::default(),
            bodies: 0,
            purges: VecDeque::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            ready: Vec::new(),
            again: Vec::new(),
            draining: None,
            figures: Figures::default(),
            #[cfg(test)]
            told: Vec::new(),
            settings: config.settings,
        };
        for command in config.known {
            doorman.command(command);
        }
        doorman.settle();
        for due in [Due::Sweep, Due::Figures] {
            doorman.timers.set(doorman.now, due);
        }
        Ok(doorman)
    }

    /// Where it listens: as configured, with the port that the system chose where that was 0.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.1.local_addr()
    }

    /// Runs until told to end and everything taken is answered.
    pub fn run(mut self) -> io::Result<()> {
        while !self.is_over() {
            self.turn()?;
        }
        self.report();
        info!(self.log, "leaving"; "unanswered" => self.requests.values().filter(|o| !o.done).count());
        Ok(())
    }

    /// One turn: waits for something to happen and takes it, then the timers that are due.
    fn turn(&mut self) -> io::Result<()> {
        let until = self.timers.next().unwrap_or(self.now + SWEEP).saturating_sub(self.clock.now());
        let wait = if self.again.is_empty() { until } else { 0 };
        let mut ready = std::mem::take(&mut self.ready);
        self.event_loop.wait(Duration::from_micros(wait), &mut ready)?;
        self.now = self.clock.now();
        for token in std::mem::take(&mut self.again) {
            self.ready(Ready { token, readable: false, writable: false });
        }
        for event in ready.drain(..) {
            self.ready(event);
        }
        self.ready = ready;
        while let Some((at, due)) = self.timers.due(self.now) {
            self.figures.latest_timer = self.figures.latest_timer.max(self.now - at);
            self.due(due);
            self.settle();
        }
        Ok(())
    }

    fn ready(&mut self, event: Ready) {
        if event.token == SIGNALS {
            if self.event_loop.told_to_end() {
                self.drain();
            }
        } else if event.token == self.listener.0 {
            self.accept();
        } else if self.clients.contains_key(&event.token) {
            self.client_ready(event);
        } else if self.feed.token() == Some(event.token) {
            self.feed_ready(event);
        } else {
            self.link_ready(event);
        }
        self.settle();
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Module(token) => self.events.push_back(Event::Timer { token }),
            Due::Attempt(id, number) => {
                let out = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
                if out.is_some_and(|a| a.number == number) {
                    self.give_up(&id, Code::TimedOut);
                }
            }
            Due::Request(id) => self.overdue(&id),
            Due::Dial(token) => self.dial_overdue(token),
            Due::Sweep => self.sweep(),
            Due::Figures => {
                self.report();
                self.timers.set(self.now + FIGURES, Due::Figures);
            }
            Due::Accept => self.accept(),
            Due::DrainEnd => self.end_drain(),
        }
    }

    /// Hands the events to the module and carries out what it wants, until neither is left.
    fn settle(&mut self) {
        while let Some(event) = self.events.pop_front() {
            #[cfg(test)]
            self.told.push(event.clone());
            let mut actions = std::mem::take(&mut self.actions);
            self.router.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, server, until, fetch } => self.send(request, server, until, fetch),
            Action::Cancel { request, attempt } => {
                let out = self.requests.get(&request).and_then(|r| r.attempt.as_ref());
                if out.is_some_and(|a| a.number == attempt) {
                    self.give_up(&request, Code::Cancelled);
                }
            }
            Action::Refuse { request, retry_after } => {
                // Rounded up: the client is to stay away for no less than it is told to.
                self.answer(&request, Reply::Refused { pause_ms: retry_after.div_ceil(MS) });
            }
            Action::Fail { request } => self.answer(&request, Reply::Failed),
            Action::Timer { at, token } => self.timers.set(at, Due::Module(token)),
            // The command channel tells all by itself.
            Action::Watch => {}
        }
    }

    // ---- clients ----

    fn accept(&mut self) {
        for _ in 0..ACCEPTS {
            match self.listener.1.accept() {
                Ok((mut stream, _)) => {
                    let added = stream.set_nodelay(true).and_then(|()| {
                        self.event_loop.add(&mut stream, Interest::READABLE | Interest::WRITABLE)
                    });
                    let Ok(token) = added else { continue };
                    let conn = Connection::accepted(stream, self.now);
                    let (open, now) = (FxHashMap::default(), self.now);
                    let client = Client { conn, last_stream: 0, open, told_leaving: false, used: now };
                    self.clients.insert(token, client);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    // Guards against descriptors running out: no event will tell of those who still wait, so
                    // they are looked for again, with an idle connection less.
                    self.figures.accept_failures += 1;
                    warn!(self.log, "accept failed"; "error" => %e);
                    if let Some(&token) = self.pool.idle(self.now, 0).first() {
                        self.lose_link(token);
                    }
                    return self.timers.set(self.now + ACCEPT_PAUSE, Due::Accept);
                }
            }
        }
        self.again.push(self.listener.0);
    }

    fn client_ready(&mut self, event: Ready) {
        let token = event.token;
        let Some(client) = self.clients.get_mut(&token) else { return };
        let mut inbound = Inbound::new(frames::decode);
        client.conn.ready(self.now, event.readable, event.writable, &mut inbound);
        if inbound.heard {
            client.used = self.now;
        }
        for message in inbound.messages {
            if let Err(e) = self.client_message(token, message) {
                return self.refuse_client(token, &e);
            }
            // One request after the other: each is decided on what is known after the one before it.
            self.settle();
        }
        if let Some(e) = inbound.error {
            self.refuse_client(token, &e);
        }
        self.client_written(token);
    }

    fn client_message(&mut self, token: Token, message: ClientMessage) -> Result<(), Malformed> {
        let draining = self.draining.is_some();
        let Some(client) = self.clients.get_mut(&token) else { return Ok(()) };
        match message {
            ClientMessage::Ready { stream } => client.conn.queue(frames::ready(stream, !draining)),
            ClientMessage::Forget { stream } => {
                if let Some(id) = client.open.remove(&stream) {
                    self.client_left(id);
                }
            }
            ClientMessage::Request { stream, ask } => {
                if stream <= client.last_stream {
                    return Err(Malformed("stream used before"));
                }
                client.last_stream = stream;
                if client.open.len() >= STREAMS {
                    return Err(Malformed("too many open requests"));
                }
                if draining && !client.told_leaving {
                    client.told_leaving = true;
                    client.conn.queue(frames::leaving());
                }
                self.request(token, stream, *ask)?;
            }
        }
        if let Some(client) = self.clients.get_mut(&token) {
            client.conn.flush(self.now);
        }
        Ok(())
    }

    fn request(&mut self, token: Token, stream: u32, ask: Ask) -> Result<(), Malformed> {
        let class = self.settings.classes.iter().position(|c| c.name == ask.route);
        let class = class.ok_or(Malformed("unknown route"))?;
        let id: Id = ask.trace.as_str().into();
        if self.requests.contains_key(&id) {
            return Err(Malformed("trace of an open request"));
        }
        self.figures.requests += 1;
        let patience = ask.patience_ms.saturating_mul(MS).min(self.longest_wait());
        let request = Request {
            id: id.clone(),
            class,
            object: ask.entity.1,
            part: ask.nth,
            group: ask.batch,
            budget: patience - MARGIN.min(patience / 4),
            size_kb: ask.size_kb,
        };
        let full = self.requests.len() >= self.settings.limits.max_open.max(1)
            || self.bodies + ask.body.len() > ALL_BODIES;
        self.bodies += ask.body.len();
        let open =
            Open { ask, client: token, stream, done: false, attempts: 0, attempt: None, spent: vec![] };
        self.requests.insert(id.clone(), open);
        if let Some(client) = self.clients.get_mut(&token) {
            client.open.insert(stream, id.clone());
        }
        if full {
            let pause_ms = self.settings.limits.max_retry_after_us / MS;
            self.answer(&id, Reply::Refused { pause_ms });
            return Ok(());
        }
        self.timers.set(self.now + patience - LAST_MARGIN.min(patience / 8), Due::Request(id));
        self.events.push_back(Event::Request(request));
        Ok(())
    }

    /// A day: no client waits longer, and sums of times stay far from overflow.
    fn longest_wait(&self) -> Time {
        86_400_000 * MS
    }

    /// Gives a request its one final answer; also ends it where its client has left.
    fn answer(&mut self, id: &Id, reply: Reply) {
        let Some(open) = self.requests.get_mut(id).filter(|o| !o.done) else { return };
        open.done = true;
        let (token, stream, ended) = (open.client, open.stream, open.attempt.is_none());
        match reply {
            Reply::Served(_) | Reply::StillGood => self.figures.served += 1,
            Reply::Refused { .. } => self.figures.refused += 1,
            Reply::Failed => self.figures.failed += 1,
        }
        if ended {
            self.forget(id);
        }
        let Some(client) = self.clients.get_mut(&token) else { return };
        let owed = client.open.remove(&stream);
        invariant!(owed.as_ref() == Some(id), "an answer belongs to an open stream");
        client.conn.queue(frames::answer(stream, &reply));
        client.conn.flush(self.now);
        client.used = self.now;
        self.client_written(token);
    }

    /// Looks after a client to whom something was written.
    fn client_written(&mut self, token: Token) {
        let Some(client) = self.clients.get_mut(&token) else { return };
        match client.conn.state() {
            State::Closed(_) => self.drop_client(token),
            _ => {
                let backlog = client.conn.backlog();
                if backlog > HIGH_WATER {
                    client.conn.pause(true);
                } else if backlog < LOW_WATER {
                    client.conn.pause(false);
                }
                if client.conn.has_unread() && !self.again.contains(&token) {
                    self.again.push(token);
                }
            }
        }
    }

    fn refuse_client(&mut self, token: Token, why: &Malformed) {
        self.figures.bad_clients += 1;
        warn!(self.log, "client refused"; "why" => %why);
        let Some(client) = self.clients.get_mut(&token) else { return };
        client.conn.queue(frames::error(why));
        client.conn.finish(self.now);
        for (_, id) in std::mem::take(&mut client.open) {
            self.client_left(id);
        }
        self.client_written(token);
    }

    fn drop_client(&mut self, token: Token) {
        let Some(client) = self.clients.remove(&token) else { return };
        for (_, id) in client.open {
            self.client_left(id);
        }
    }

    /// Nobody waits for a request any more: no answer is owed, but the module hears of it.
    fn client_left(&mut self, id: Id) {
        let Some(open) = self.requests.get_mut(&id).filter(|o| !o.done) else { return };
        open.done = true;
        self.figures.left += 1;
        if open.attempt.is_none() {
            self.forget(&id);
        }
        self.events.push_back(Event::ClientGone { request: id });
    }

    /// Guards the rule that every request is answered in time, whatever the module did.
    fn overdue(&mut self, id: &Id) {
        let open = self.requests.get(id).is_some_and(|o| !o.done);
        invariant!(!open, "the module answers before the client's patience ends");
        if open {
            self.answer(id, Reply::Failed);
            self.events.push_back(Event::ClientGone { request: id.clone() });
        }
    }

    fn forget(&mut self, id: &Id) {
        if let Some(open) = self.requests.remove(id) {
            self.bodies -= open.ask.body.len();
        }
    }

    // ---- attempts ----

    fn send(&mut self, id: Id, depot: Id, until: Time, fetch: Option<Fetch>) {
        if self.pool.is_full() {
            // Guards against idle connections to some depots keeping others from being reached.
            if let Some(&idle) = self.pool.idle(self.now, 0).first() {
                self.lose_link(idle);
            }
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        let number = open.attempts;
        open.attempts += 1;
        invariant!(open.attempt.is_none(), "one attempt of a request is out at a time");
        let moot = open.done || open.attempt.is_some() || self.now >= until;
        if moot || number >= self.settings.limits.max_attempts {
            return self.tell_outcome(&id, number, self.now, (Code::NeverSent, Note::Untold, None));
        }
        self.figures.attempts += 1;
        self.timers.set(until, Due::Attempt(id.clone(), number));
        let choice = self.pool.choose(&depot, self.now, &open.spent);
        let on = match choice {
            Choice::Use(token) | Choice::Wait(token) => Some(token),
            Choice::Dial(address) => self.dial(&depot, address),
            Choice::Full => None,
        };
        let Some(on) = on else {
            return self.tell_outcome(&id, number, self.now, (Code::ConnectFailed, Note::Untold, None));
        };
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.attempt = Some(Attempt { number, depot, fetch, sent: self.now, until, on, end: None });
        if matches!(choice, Choice::Use(_)) {
            self.write_want(&id);
        } else if let Some(link) = self.pool.link(on) {
            link.waiting.push(id);
            link.used = self.now;
        }
    }

    /// Whether an attempt that had to wait may still be written as it was decided.
    /// Guards the rules on drains and purges, which bind at what is written: both may have changed meanwhile.
    fn still_fits(&self, open: &Open, attempt: &Attempt) -> bool {
        let serves = |id: &str| self.pool.depot(id).is_some_and(|d| d.listed == Listed::Healthy);
        let source = attempt.fetch.as_ref().is_none_or(|f| serves(&f.source));
        let voids = |what: Purge| match what {
            Purge::Object(object) => object == open.ask.entity.1,
            Purge::Group(group) => group == open.ask.batch,
        };
        let purged = self.purges.iter().any(|&(told, what)| told >= attempt.sent && voids(what));
        serves(&attempt.depot) && source && !purged
    }

    fn write_want(&mut self, id: &Id) {
        let Some(open) = self.requests.get(id) else { return };
        let Some(attempt) = open.attempt.as_ref() else { return };
        let (token, waited) = (attempt.on, self.now > attempt.sent);
        if waited && !self.still_fits(open, attempt) {
            self.figures.dropped += 1;
            return self.end_attempt(id, (Code::NeverSent, Note::Untold, None));
        }
        let wait = attempt.until.saturating_sub(self.now);
        let bytes = resp::want(&open.ask, &attempt.depot, attempt.fetch.as_ref(), wait);
        let number = attempt.number;
        let Some(link) = self.pool.link(token) else { return };
        link.conn.queue(bytes);
        link.conn.flush(self.now);
        link.out.insert(id.clone(), number);
        link.asked.get_or_insert(self.now);
        link.used = self.now;
        let (end, closed) = (link.conn.queued(), !link.conn.is_open());
        if let Some(attempt) = self.requests.get_mut(id).and_then(|o| o.attempt.as_mut()) {
            attempt.end = Some(end);
        }
        if closed {
            self.lose_link(token);
        }
    }

    /// Gives up the attempt that is out. The depot is told before anything else can be sent for the request.
    fn give_up(&mut self, id: &Id, code: Code) {
        let Some(open) = self.requests.get_mut(id) else { return };
        let Some(attempt) = open.attempt.as_ref() else { return };
        let (token, end) = (attempt.on, attempt.end);
        open.spent.push(token);
        let mut code = code;
        if let Some(link) = self.pool.link(token) {
            link.waiting.retain(|w| w != id);
            if let Some(end) = end {
                link.out.remove(id);
                link.conn.queue(resp::never_mind(id));
                link.conn.flush(self.now);
                if link.out.is_empty() {
                    link.asked = None;
                }
                // Guards the rule of one attempt at a time: the next may go over another connection, so word
                // that this one is over must be out. Where it can't be, the end of the connection says so.
                let stuck = link.conn.backlog() > 0 || !link.conn.is_open();
                let unwritten = link.conn.written() < end;
                if unwritten && code == Code::TimedOut {
                    code = Code::ConnectFailed;
                }
                if stuck {
                    self.lose_link(token);
                }
            } else if code == Code::TimedOut {
                code = Code::ConnectFailed;
            }
        }
        self.end_attempt(id, (code, Note::Untold, None));
    }

    fn end_attempt(&mut self, id: &Id, end: (Code, Note, Option<Report>)) {
        let Some(open) = self.requests.get_mut(id) else { return };
        let Some(attempt) = open.attempt.take() else { return };
        self.tell_outcome(id, attempt.number, attempt.sent, end);
        if self.requests.get(id).is_some_and(|o| o.done) {
            self.forget(id);
        }
    }

    fn tell_outcome(&mut self, id: &Id, attempt: u32, sent: Time, end: (Code, Note, Option<Report>)) {
        let last = self.requests.get(id).is_none_or(|o| o.done);
        let (code, note, report) = end;
        let (request, took) = (id.clone(), self.now.saturating_sub(sent));
        let outcome = Outcome { request, attempt, code, last, took, fill_wait: 0, note, report };
        self.events.push_back(Event::Outcome(outcome));
    }

    // ---- depots ----

    fn dial(&mut self, depot: &Id, address: SocketAddr) -> Option<Token> {
        self.figures.dials += 1;
        let dialed = TcpStream::connect(address).and_then(|mut stream| {
            stream.set_nodelay(true)?;
            let token = self.event_loop.add(&mut stream, Interest::READABLE | Interest::WRITABLE)?;
            Ok((token, stream))
        });
        match dialed {
            Ok((token, stream)) => {
                let conn = Connection::dialing(stream, self.now);
                self.pool.add(token, Link::new(conn, depot.clone(), self.now));
                self.timers.set(self.now + self.settings.limits.dial_timeout_us, Due::Dial(token));
                Some(token)
            }
            Err(e) => {
                self.figures.dials_failed += 1;
                warn!(self.log, "dial failed"; "depot" => %depot, "error" => %e);
                None
            }
        }
    }

    fn dial_overdue(&mut self, token: Token) {
        let Some(link) = self.pool.link(token) else { return };
        if link.conn.state() != State::Dialing {
            return;
        }
        let depot = link.depot.clone();
        self.lose_link(token);
        // Guards against a vanished machine: its connections stay open and silent, and what is out on them
        // would wait for its whole patience. Nobody answers a dial either, so they are ended.
        for silent in self.pool.silent(&depot, self.now) {
            self.lose_link(silent);
        }
    }

    fn link_ready(&mut self, event: Ready) {
        let token = event.token;
        let Some(link) = self.pool.link(token) else { return };
        let mut inbound = Inbound::new(resp::decode);
        link.conn.ready(self.now, event.readable, event.writable, &mut inbound);
        if inbound.heard {
            link.heard(self.now);
        }
        if inbound.opened {
            for id in std::mem::take(&mut link.waiting) {
                self.write_want(&id);
            }
        }
        for answer in inbound.messages {
            if let Err(e) = self.depot_answer(token, answer) {
                inbound.error = Some(e);
                break;
            }
            self.settle();
        }
        if let Some(e) = inbound.error {
            self.figures.bad_depots += 1;
            warn!(self.log, "bad answer of a depot"; "why" => %e);
            return self.lose_link(token);
        }
        let Some(link) = self.pool.link(token) else { return };
        if !matches!(link.conn.state(), State::Open | State::Dialing) {
            self.lose_link(token);
        } else if link.conn.has_unread() {
            self.again.push(token);
        }
    }

    fn depot_answer(&mut self, token: Token, answer: Answer) -> Result<(), Malformed> {
        let Some(link) = self.pool.link(token) else { return Ok(()) };
        let Some((id, number)) = link.out.remove_entry(answer.id.as_str()) else {
            self.figures.late_answers += 1;
            return Ok(());
        };
        link.heard(self.now);
        let open = self.requests.get(&id);
        let out = open.and_then(|o| o.attempt.as_ref()).is_some_and(|a| a.number == number && a.on == token);
        invariant!(out, "what is out on a connection is the attempt of an open request");
        let note = note(answer.field("note"));
        let report = answer.field("load").map(report);
        let code = match answer.word {
            Word::Current if open.is_none_or(|o| o.ask.got.is_none()) => {
                return Err(Malformed("no copy of the client's was named"));
            }
            Word::Ok => {
                self.answer(&id, Reply::Served(answer.body));
                Code::Served
            }
            Word::Current => {
                self.answer(&id, Reply::StillGood);
                Code::Served
            }
            Word::Nothing => Code::Miss,
            Word::Refused => Code::Full,
            Word::Error => Code::Error,
            Word::Stale => Code::NeverSent,
        };
        self.end_attempt(&id, (code, note, report));
        Ok(())
    }

    /// Ends a connection and tells how the attempts on it ended.
    fn lose_link(&mut self, token: Token) {
        let Some(mut link) = self.pool.remove(token) else { return };
        match link.conn.state() {
            State::Dialing | State::Closed(Closed::NeverOpened) => self.figures.dials_failed += 1,
            _ => self.figures.lost += u64::from(!link.is_idle()),
        }
        link.conn.close();
        for id in link.waiting {
            self.end_attempt(&id, (Code::ConnectFailed, Note::Untold, None));
        }
        for (id, number) in link.out {
            let open = self.requests.get(&id).and_then(|o| o.attempt.as_ref()).filter(|a| a.number == number);
            let Some(end) = open.and_then(|a| a.end) else { continue };
            // Guards the keyed rule: only what was not wholly written can't have run.
            let code = if link.conn.written() < end { Code::ConnectFailed } else { Code::Reset };
            self.end_attempt(&id, (code, Note::Untold, None));
        }
    }

    // ---- the list of depots, and purges ----

    fn feed_ready(&mut self, event: Ready) {
        let mut inbound = Inbound::new(command_channel::decode);
        self.feed.ready(self.now, event.readable, event.writable, &mut inbound);
        for numbered in inbound.messages {
            if self.feed.takes(&numbered) {
                if let Some(command) = numbered.1 {
                    self.command(command);
                    self.settle();
                }
            }
        }
        if self.feed.is_dead(self.now) {
            warn!(self.log, "command channel lost"; "error" => ?inbound.error);
            self.feed.drop_link(self.now);
        } else if self.feed.has_unread() {
            self.again.push(event.token);
        }
    }

    fn tend_feed(&mut self) {
        if self.feed.is_dead(self.now) {
            warn!(self.log, "command channel silent");
            self.feed.drop_link(self.now);
        }
        if !self.feed.wants_dial(self.now) {
            return;
        }
        let dialed = TcpStream::connect(self.feed.address).and_then(|mut stream| {
            stream.set_nodelay(true)?;
            let token = self.event_loop.add(&mut stream, Interest::READABLE | Interest::WRITABLE)?;
            Ok((token, stream))
        });
        match dialed {
            Ok((token, stream)) => self.feed.dialed(token, Connection::dialing(stream, self.now)),
            Err(_) => self.feed.drop_link(self.now),
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Depots { whole, records } => self.depots(whole, records),
            Command::Purge { what, when_ms } => {
                let age = self.now.saturating_sub(self.clock.of_unix_ms(when_ms));
                self.purges.push_back((self.now, what));
                let (object, group) = match what {
                    Purge::Object(object) => (Some(object), 0),
                    Purge::Group(group) => (None, group),
                };
                self.events.push_back(Event::Purged { object, group, age });
            }
        }
    }

    fn depots(&mut self, whole: bool, records: Vec<Record>) {
        if whole {
            let named = |id: &Id| records.iter().any(|r| *r.id == **id);
            let gone: Vec<Id> = self.pool.depots().filter(|id| !named(id)).cloned().collect();
            gone.iter().for_each(|id| self.pool.unlist(id));
        }
        let mut members = Vec::with_capacity(records.len());
        for record in records {
            let member = self.member(&record);
            if member.listed == Listed::Gone {
                self.pool.unlist(&member.id);
            } else {
                let (address, listed, started) = (record.address, member.listed, member.started);
                // Guards against asking a process that is no more: connections to it may look open.
                for old in self.pool.list(&member.id, Depot { address, listed, started }) {
                    self.lose_link(old);
                }
            }
            members.push(member);
        }
        self.events.push_back(Event::Members { complete: whole, members });
    }

    fn member(&self, record: &Record) -> Member {
        Member {
            id: record.id.as_str().into(),
            role: self.settings.role(record.kind as i64),
            listed: match record.state {
                command_channel::State::Ready => Listed::Healthy,
                command_channel::State::Draining => Listed::Draining,
                command_channel::State::Gone => Listed::Gone,
            },
            zone: record.zone,
            cell: record.cell,
            kind: record.kind as u32,
            weight: record.weight,
            started: self.clock.of_unix_ms(record.started_ms),
        }
    }

    // ---- upkeep ----

    fn sweep(&mut self) {
        self.timers.set(self.now + SWEEP, Due::Sweep);
        self.tend_feed();
        while self.purges.front().is_some_and(|p| self.now.saturating_sub(p.0) > PURGES_KEPT) {
            self.purges.pop_front();
        }
        // Somewhat before the depots do it: a want must not cross their close.
        let idle = self.settings.limits.conn_idle_us;
        for token in self.pool.idle(self.now, idle - idle / 10) {
            self.lose_link(token);
        }
        let now = self.now;
        let over = |c: &Client| {
            let stalled = c.conn.backlog() > 0 && now.saturating_sub(c.conn.moved) >= STALLED;
            let idle = c.open.is_empty() && c.conn.backlog() == 0;
            stalled || (idle && now.saturating_sub(c.used) >= CLIENT_IDLE)
        };
        let mut ended: Vec<Token> = self.clients.iter().filter(|c| over(c.1)).map(|c| *c.0).collect();
        let held: usize = self.clients.values().map(|c| c.conn.held()).sum();
        if held > ALL_HELD {
            let most = self.clients.iter().max_by_key(|c| c.1.conn.held());
            ended.extend(most.map(|c| *c.0));
        }
        for token in ended {
            self.drop_client(token);
        }
    }

    fn report(&mut self) {
        let broken = super::BROKEN_INVARIANTS.load(Ordering::Relaxed);
        info!(self.log, "figures"; "counts" => ?self.figures, "clients" => self.clients.len(),
              "links" => self.pool.len(), "open" => self.requests.len(), "broken_invariants" => broken);
        self.figures.latest_timer = 0;
    }

    // ---- the end ----

    fn drain(&mut self) {
        if self.draining.is_some() {
            return;
        }
        info!(self.log, "told to end, draining"; "open" => self.requests.len());
        let longest = self.settings.classes.iter().map(|c| c.deadline_us).max().unwrap_or(LONGEST_DRAIN);
        let last_answers = self.now + longest.min(LONGEST_DRAIN) + DRAIN_SPARE;
        self.timers.set(last_answers, Due::DrainEnd);
        self.draining = Some(Drain { linger: self.now + LINGER, stop: last_answers + DRAIN_FLUSH });
        let tokens: Vec<Token> = self.clients.keys().copied().collect();
        for token in tokens {
            if let Some(client) = self.clients.get_mut(&token) {
                client.told_leaving = true;
                client.conn.queue(frames::leaving());
                client.conn.flush(self.now);
            }
            self.client_written(token);
        }
    }

    /// The process may be killed any moment now: what is still open is answered while it can be.
    fn end_drain(&mut self) {
        let ids: Vec<Id> = self.requests.iter().filter(|r| !r.1.done).map(|r| r.0.clone()).collect();
        for id in ids {
            self.answer(&id, Reply::Failed);
            self.events.push_back(Event::ClientGone { request: id });
        }
    }

    fn is_over(&self) -> bool {
        let Some(drain) = self.draining else { return false };
        let answered = self.requests.values().all(|o| o.done)
            && self.clients.values().all(|c| c.conn.backlog() == 0)
            && self.again.is_empty();
        self.now >= drain.stop || (self.now >= drain.linger && answered)
    }
}

fn note(text: Option<&str>) -> Note {
    match text {
        Some("hit") => Note::Hit,
        Some("filled") => Note::Filled,
        Some("joined") => Note::Joined,
        Some("stale") => Note::Stale,
        _ => Note::Untold,
    }
}

/// A load report as in `inflight:7;util:0.61`; what it does not name is negative.
fn report(text: &str) -> Report {
    let value = |name: &str| {
        let pair = text.split(';').filter_map(|p| p.split_once(':')).find(|p| p.0 == name);
        pair.and_then(|p| p.1.parse().ok()).filter(|v: &f64| v.is_finite()).unwrap_or(-1.0)
    };
    Report { active: value("inflight"), busy: value("util"), hit_share: value("x0") }
}
