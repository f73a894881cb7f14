//! What the servers do: they speak the endpoints' protocol, keep and fill copies, take time for it, fall over when they
//! are sent too much, and note all that comes.

use super::records::{Arrival, End, Notes};
use super::servers::{kb, Class, Figures, Key, Kind, Spec};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Requests under way and in line for each that a server serves at once; more are refused.
const LINE: f64 = 4.0;
/// Most bytes of one word of a request.
const MOST_WORD: usize = 1 << 18;
/// Bytes of a body for each KB that it stands for.
const BYTES_PER_KB: f64 = 8.0;

#[derive(Clone, Copy, PartialEq)]
pub enum State {
    Up,
    Silent,
    Down,
}

struct Server {
    spec: Spec,
    address: SocketAddr,
    listener: Option<TcpListener>,
    state: State,
    /// How many processes there have been: what the earlier ones had under way is over.
    life: u32,
    /// When the process started that began cold.
    started: Option<u64>,
    slow: f64,
    /// When each copy was made, in Unix milliseconds, and its last use.
    copies: HashMap<Key, (u64, u64)>,
    by_use: BTreeMap<u64, Key>,
    uses: u64,
    busy: usize,
    line: VecDeque<u64>,
    /// Work that came in the last window, and its sum.
    came: VecDeque<(u64, f64)>,
    sum: f64,
}

impl Server {
    fn new(spec: Spec, address: SocketAddr) -> Self {
        Server {
            spec,
            address,
            listener: None,
            state: State::Up,
            life: 0,
            started: None,
            slow: 1.0,
            copies: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            busy: 0,
            line: VecDeque::new(),
            came: VecDeque::new(),
            sum: 0.0,
        }
    }

    fn keep(&mut self, key: Key, minted: u64) {
        self.uses += 1;
        if let Some((_, used)) = self.copies.insert(key, (minted, self.uses)) {
            self.by_use.remove(&used);
        }
        self.by_use.insert(self.uses, key);
        while self.copies.len() > self.spec.keeps {
            let Some((_, oldest)) = self.by_use.pop_first() else { return };
            self.copies.remove(&oldest);
        }
    }

    /// When the copy was made, unless it is older than `most_ms` (0: any age will do).
    fn held(&mut self, key: Key, now_ms: u64, most_ms: u64) -> Option<u64> {
        let minted = self.copies.get(&key)?.0;
        let fits = most_ms == 0 || now_ms.saturating_sub(minted) <= most_ms;
        fits.then(|| self.keep(key, minted)).map(|()| minted)
    }

    fn is_full(&self) -> bool {
        (self.busy + self.line.len()) as f64 >= LINE * self.spec.capacity
    }

    /// Whether the work that has come is more than it stands.
    fn takes(&mut self, now: u64, work: f64, figures: &Figures) -> bool {
        self.came.push_back((now, work));
        self.sum += work;
        while let Some(&(_, old)) = self.came.front().filter(|c| now - c.0 > figures.window) {
            self.came.pop_front();
            self.sum -= old;
        }
        let age = self.started.map_or(1.0, |s| (now - s) as f64 / figures.ramp.max(1) as f64).min(1.0);
        let share = figures.cold + (1.0 - figures.cold) * age;
        self.sum <= figures.multiple * share * self.spec.capacity * figures.window as f64
    }
}

struct Conn {
    stream: TcpStream,
    server: usize,
    input: Vec<u8>,
    output: Vec<u8>,
}

/// A request under way through servers: the last of `path` has it now and the first answers.
struct Job {
    conn: Option<Token>,
    id: String,
    path: Vec<usize>,
    key: Key,
    minted: u64,
    note: &'static str,
    keeps: bool,
}

#[derive(Clone)]
struct Want {
    id: String,
    class: Class,
    key: Key,
    via: Option<usize>,
    fresh_ms: u64,
    opts: String,
}

/// The servers' state and their decisions; whoever has the lock moves it on.
pub struct Engine {
    registry: Registry,
    figures: Figures,
    servers: Vec<Server>,
    began: Instant,
    /// What came.
    pub notes: Notes,
    /// Pairs of zones: to the first no fill comes from the second.
    pub cut: BTreeSet<(usize, usize)>,
    /// The thread is to end.
    pub over: bool,
    conns: HashMap<Token, Conn>,
    jobs: HashMap<u64, Job>,
    /// When, which request, at which server, and in which of its lives.
    due: BinaryHeap<Reverse<(u64, u64, usize, u32)>>,
    renewing: BTreeSet<(usize, Key)>,
    /// The last token or request's number given; those below the number of servers are the listeners'.
    last: usize,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Engine {
    pub fn new(
        registry: Registry,
        figures: Figures,
        specs: Vec<(Spec, SocketAddr)>,
        began: Instant,
    ) -> io::Result<Self> {
        let last = specs.len();
        let mut engine = Engine {
            registry,
            figures,
            servers: specs.into_iter().map(|(spec, address)| Server::new(spec, address)).collect(),
            began,
            notes: Notes::default(),
            cut: BTreeSet::new(),
            over: false,
            conns: HashMap::new(),
            jobs: HashMap::new(),
            due: BinaryHeap::new(),
            renewing: BTreeSet::new(),
            last,
        };
        (0..last).try_for_each(|s| engine.listen(s))?;
        Ok(engine)
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    fn number(&mut self) -> usize {
        self.last += 1;
        self.last
    }

    fn listen(&mut self, server: usize) -> io::Result<()> {
        let mut listener = TcpListener::bind(self.servers[server].address)?;
        self.registry.register(&mut listener, Token(server), Interest::READABLE)?;
        self.servers[server].listener = Some(listener);
        Ok(())
    }

    /// Ends the transfers that are due; gives the time until the next.
    pub fn pass_time(&mut self) -> Duration {
        let now = self.now();
        while self.due.peek().is_some_and(|d| d.0 .0 <= now) {
            let Some(Reverse((_, job, server, life))) = self.due.pop() else { break };
            self.sent(job, server, life);
        }
        self.due.peek().map_or(Duration::MAX, |d| Duration::from_micros(d.0 .0.saturating_sub(now)))
    }

    pub fn silence(&mut self, server: usize) {
        self.servers[server].state = State::Silent;
    }

    pub fn revive(&mut self, server: usize) -> io::Result<()> {
        self.end(server, State::Up);
        self.servers[server].started = Some(self.now());
        self.listen(server)
    }

    pub fn slow(&mut self, server: usize, times: f64) {
        self.servers[server].slow = times;
    }

    pub fn hold(&mut self, server: usize, keys: &[Key]) {
        keys.iter().for_each(|&k| self.servers[server].keep(k, unix_ms()));
    }

    /// A process ends: all that it had is lost, and whoever had a fill from it hears of an error.
    pub fn end(&mut self, server: usize, state: State) {
        let old = &mut self.servers[server];
        let (spec, address, life) = (old.spec.clone(), old.address, old.life + 1);
        let (was, slow) = (old.state, old.slow);
        *old = Server { state, life, slow, ..Server::new(spec, address) };
        self.conns.retain(|_, c| c.server != server);
        let had: Vec<u64> =
            self.jobs.iter().filter(|j| j.1.path.last() == Some(&server)).map(|j| *j.0).collect();
        for number in had {
            let Some(job) = self.jobs.remove(&number) else { continue };
            self.renewing.remove(&(job.path[0], job.key));
            // A machine that has vanished says nothing to those who wait for a fill either.
            if was != State::Silent {
                self.answer(job.conn, &job.id, "error", "-", 0.0);
            }
        }
    }

    fn accept(&mut self, server: usize) {
        while let Some(Ok((mut stream, _))) = self.servers[server].listener.as_ref().map(TcpListener::accept)
        {
            let token = Token(self.number());
            let both = Interest::READABLE | Interest::WRITABLE;
            let _ = stream.set_nodelay(true);
            if self.registry.register(&mut stream, token, both).is_ok() {
                self.conns.insert(token, Conn { stream, server, input: Vec::new(), output: Vec::new() });
            }
        }
    }

    /// Passes on what the poll has told.
    pub fn ready(&mut self, token: Token) {
        if token.0 < self.servers.len() {
            return self.accept(token.0);
        }
        let Some(conn) = self.conns.get_mut(&token) else { return };
        let mut chunk = [0; 16 * 1024];
        let mut open = loop {
            match conn.stream.read(&mut chunk) {
                Ok(0) => break false,
                Ok(n) => conn.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => break e.kind() == io::ErrorKind::WouldBlock,
            }
        };
        let (server, mut input) = (conn.server, std::mem::take(&mut conn.input));
        if self.servers[server].state == State::Silent {
            input.clear();
        }
        let mut used = 0;
        while let Some((length, words)) = command(&input[used..]) {
            used += length;
            match &words[..] {
                [word, id, fields, _] if word == "want" => self.want(token, server, id, fields),
                [word, id] if word == "never_mind" => self.forget(token, id),
                _ => open = false,
            }
        }
        input.drain(..used);
        if let Some(conn) = self.conns.get_mut(&token) {
            conn.input = input;
        }
        self.flush(token);
        if !open {
            self.conns.remove(&token);
            self.jobs.retain(|_, j| j.conn != Some(token));
        }
    }

    fn flush(&mut self, token: Token) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        while !conn.output.is_empty() {
            match conn.stream.write(&conn.output) {
                Ok(n) => drop(conn.output.drain(..n)),
                Err(_) => return, // writable again, or its end is read
            }
        }
    }

    /// A request's slot stays taken until its time is over, and nobody hears of it.
    fn forget(&mut self, token: Token, id: &str) {
        if let Some(job) = self.jobs.values_mut().find(|j| j.conn == Some(token) && j.id == id) {
            job.conn = None;
        }
    }

    fn want(&mut self, token: Token, server: usize, id: &str, fields: &str) {
        let field = |name: &str| fields.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='));
        let class = self.figures.classes.iter().find(|c| Some(c.name.as_str()) == field("c"));
        let object = field("k").and_then(|k| u64::from_str_radix(k, 16).ok());
        let number = |name| field(name).and_then(|n| n.parse().ok()).unwrap_or(0);
        let (Some(class), Some(object)) = (class.cloned(), object) else {
            return self.answer(Some(token), id, "error", "-", 0.0);
        };
        let via = field("via").and_then(|v| self.servers.iter().position(|s| s.spec.id == v));
        let want = Want {
            id: id.to_owned(),
            key: (object, number("p")),
            via,
            fresh_ms: Some(number("fresh")).filter(|&f| f > 0).unwrap_or(class.fresh_ms),
            opts: field("opts").unwrap_or_default().to_owned(),
            class,
        };
        match self.path(server, None, &want) {
            Err(End::Silent) => {}
            Err(word) => {
                let word = match word {
                    End::Refused => "refused",
                    End::Dead => "error",
                    _ => "nothing",
                };
                self.answer(Some(token), id, word, "-", 0.0);
            }
            Ok((path, minted)) => {
                let aged = want.class.fresh_ms > 0 && unix_ms() - minted > want.class.fresh_ms;
                let note = match path.len() {
                    1 if aged => "stale",
                    1 => "hit",
                    _ => "filled",
                };
                if aged && want.opts.contains('r') && self.renewing.insert((server, want.key)) {
                    let behind = Want { fresh_ms: want.class.fresh_ms, ..want.clone() };
                    match via.map(|v| self.path(v, Some(server), &behind)) {
                        Some(Ok((more, minted))) => {
                            let path = [vec![server], more].concat();
                            self.begin(None, &behind, path, minted, "filled");
                        }
                        _ => drop(self.renewing.remove(&(server, want.key))),
                    }
                }
                self.begin(Some(token), &want, path, minted, note);
            }
        }
    }

    fn begin(&mut self, conn: Option<Token>, want: &Want, path: Vec<usize>, minted: u64, note: &'static str) {
        let Some(&last) = path.last() else { return };
        let keeps = !want.class.writes;
        let job = Job { conn, id: want.id.clone(), path, key: want.key, minted, note, keeps };
        let number = self.number() as u64;
        self.jobs.insert(number, job);
        self.enter(number, last);
    }

    /// The servers that a request passes, and when the copy that it brings was made. Each that it comes to notes it.
    fn path(&mut self, at: usize, from: Option<usize>, want: &Want) -> Result<(Vec<usize>, u64), End> {
        let (now, now_ms, work) = (self.now(), unix_ms(), kb(want.key) / self.figures.pace * 1e6);
        let zone = self.servers[at].spec.zone;
        let cut = from.is_some_and(|f| self.cut.contains(&(self.servers[f].spec.zone, zone)));
        if cut || self.servers[at].state == State::Silent {
            return Err(End::Silent);
        }
        if self.servers[at].state == State::Down {
            return Err(End::Dead);
        }
        let kind = self.servers[at].spec.kind;
        let held = match kind {
            Kind::Archive => Some(now_ms),
            _ if want.class.writes => None,
            _ => self.servers[at].held(want.key, now_ms, want.fresh_ms),
        };
        let held_only = want.opts.contains('h');
        let archive = || self.servers.iter().position(|s| s.spec.kind == Kind::Archive);
        let source = match (from, kind) {
            (None, _) => want.via,
            // A parent asks the archive for what it lacks; a box asked by another box does not.
            (Some(_), Kind::Parent) if !held_only => archive(),
            _ => None,
        };
        let full = self.servers[at].is_full();
        let arrival = |end| Arrival {
            at: now,
            server: at,
            from,
            id: want.id.clone(),
            class: want.class.name.clone(),
            object: want.key.0,
            work,
            via: want.via.filter(|_| from.is_none()),
            held_only,
            end,
            minted: held.filter(|_| end == End::Hit),
        };
        let noted = match (full, held, source) {
            (true, ..) => End::Refused,
            (_, Some(_), _) => End::Hit,
            (_, None, Some(_)) => End::Filled,
            (_, None, None) => End::Nothing,
        };
        let arrival = arrival(noted);
        self.notes.arrivals.push(arrival);
        // What is refused, or only looked for, is no work.
        let works = matches!(noted, End::Hit | End::Filled);
        if works && !self.servers[at].takes(now, work, &self.figures) {
            self.notes.falls.push((now, at));
            self.end(at, State::Down);
            return Err(End::Dead);
        }
        match (noted, held, source) {
            (End::Hit, Some(minted), _) => Ok((vec![at], minted)),
            (End::Filled, _, Some(source)) => {
                let (path, minted) = self.path(source, Some(at), want)?;
                Ok(([vec![at], path].concat(), minted))
            }
            (end, ..) => Err(end),
        }
    }

    /// A request comes to a server: its transfer begins once one of as many as it serves at once has ended.
    fn enter(&mut self, number: u64, at: usize) {
        let server = &mut self.servers[at];
        if (server.busy as f64) < server.spec.capacity {
            server.busy += 1;
            self.transfer(number, at);
        } else {
            server.line.push_back(number);
        }
    }

    fn transfer(&mut self, number: u64, at: usize) {
        let (now, server) = (self.now(), &self.servers[at]);
        let work = self.jobs.get(&number).map_or(0.0, |j| kb(j.key) / self.figures.pace * 1e6);
        self.due.push(Reverse((now + (work * server.slow) as u64, number, at, server.life)));
    }

    fn sent(&mut self, number: u64, at: usize, life: u32) {
        if self.servers[at].life != life {
            return;
        }
        match self.servers[at].line.pop_front() {
            Some(next) => self.transfer(next, at),
            None => self.servers[at].busy -= 1,
        }
        if self.servers[at].state == State::Silent {
            self.jobs.remove(&number);
            return;
        }
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.path.pop();
        let (key, minted, next) = (job.key, job.minted, job.path.last().copied());
        if job.keeps && self.servers[at].spec.kind != Kind::Archive {
            self.servers[at].keep(key, minted);
        }
        if let Some(next) = next.filter(|&n| self.servers[n].state != State::Down) {
            return self.enter(number, next);
        }
        let Some(job) = self.jobs.remove(&number) else { return };
        self.renewing.remove(&(job.path.first().copied().unwrap_or(at), key));
        if next.is_some() {
            return self.answer(job.conn, &job.id, "error", "-", 0.0);
        }
        let fields = format!("tag={:016x},minted={minted},note={}", key.0 ^ minted, job.note);
        self.answer(job.conn, &job.id, "ok", &fields, kb(key));
    }

    fn answer(&mut self, conn: Option<Token>, id: &str, word: &str, fields: &str, kb: f64) {
        let Some((token, conn)) = conn.and_then(|t| Some((t, self.conns.get_mut(&t)?))) else { return };
        let body = "x".repeat((kb * BYTES_PER_KB) as usize);
        conn.output.extend_from_slice(b"*4\r\n");
        for word in [id, word, fields, &body] {
            conn.output.extend(format!("${}\r\n{word}\r\n", word.len()).into_bytes());
        }
        self.flush(token);
    }
}

/// One command at the front of what came, and its length; `None`: it is not whole.
fn command(bytes: &[u8]) -> Option<(usize, Vec<String>)> {
    let mut at = 0;
    let mut head = |skip: usize| -> Option<(usize, usize)> {
        at += skip;
        let end = bytes.get(at..)?.iter().position(|&b| b == b'\n')?;
        let number = std::str::from_utf8(bytes.get(at + 1..at + end)?).ok()?.trim_end().parse().ok()?;
        at += end + 1;
        Some((number, at))
    };
    let (count, _) = head(0)?;
    let (mut words, mut skip) = (Vec::new(), 0);
    for _ in 0..count.min(4) {
        let (length, from) = head(skip)?;
        skip = length.min(MOST_WORD) + 2;
        words.push(String::from_utf8_lossy(bytes.get(from..from + skip)?.split_last_chunk::<2>()?.0).into());
    }
    Some((at + skip, words))
}

#[cfg(test)]
mod tests {
    use super::*;
    use mio::Poll;

    const NOBODY: Token = Token(usize::MAX);

    /// The archive, a parent, and two boxes that bear 4 transfers, 1 while cold, and keep 2 copies.
    fn engine() -> Engine {
        let class = |name: &str, writes| Class {
            name: name.into(),
            fresh_ms: 0,
            grace_ms: 0,
            writes,
            patience_ms: 1,
            worth: 1.0,
            share: 1.0,
            objects: 1,
            parts: 1,
        };
        let classes = vec![class("images", false), class("edits", true)];
        let (pace, window) = (1e9, 1_000_000_000_000);
        let figures = Figures { pace, classes, cold: 0.25, ramp: u64::MAX, multiple: 2.0, window };
        let kinds = [Kind::Archive, Kind::Parent, Kind::Box, Kind::Box].into_iter().enumerate();
        let spec = |(n, kind)| Spec { id: format!("s-{n}"), zone: n / 2, kind, capacity: 4.0, keeps: 2 };
        let all = kinds.map(|k| (spec(k), crate::processes::free(9101))).collect();
        let registry = Poll::new().unwrap().registry().try_clone().unwrap();
        Engine::new(registry, figures, all, Instant::now()).unwrap()
    }

    /// Who notes what of one request, which is then over.
    fn ask(engine: &mut Engine, server: usize, fields: &str) -> Vec<(usize, End)> {
        engine.notes.arrivals.clear();
        engine.want(NOBODY, server, "1", fields);
        while !engine.jobs.is_empty() {
            engine.pass_time();
        }
        engine.notes.arrivals.iter().map(|a| (a.server, a.end)).collect()
    }

    #[test]
    fn a_miss_is_filled_through_its_source_kept_and_given_to_others_as_long_as_there_is_room() {
        let (e, image) = (&mut engine(), |k: &str, more: &str| format!("c=images,k={k},p=0{more}"));
        assert_eq!(ask(e, 2, &image("a", "")), [(2, End::Nothing)]);
        let all = [(2, End::Filled), (1, End::Filled), (0, End::Hit)];
        assert_eq!(ask(e, 2, &image("a", ",via=s-1")), all);
        assert_eq!(ask(e, 2, &image("a", ",via=s-1")), [(2, End::Hit)]);
        assert_eq!(ask(e, 3, &image("a", ",via=s-2,opts=h")), [(3, End::Filled), (2, End::Hit)]);
        assert_eq!(ask(e, 3, &image("b", ",via=s-2,opts=h")), [(3, End::Filled), (2, End::Nothing)]);
        assert_eq!(ask(e, 3, &image("b", ",via=s-1,opts=h")), [(3, End::Filled), (1, End::Nothing)]);
        for other in ["c", "d"] {
            ask(e, 2, &image(other, ",via=s-0"));
        }
        assert_eq!(ask(e, 2, &image("a", "")), [(2, End::Nothing)], "the least used went");
        for _ in 0..2 {
            assert_eq!(ask(e, 2, "c=edits,k=a,p=0,via=s-0"), [(2, End::Filled), (0, End::Hit)]);
        }
    }

    #[test]
    fn the_dead_and_the_cut_off_fill_nothing_and_what_is_cold_falls_over_when_sent_too_much() {
        let e = &mut engine();
        let image = "c=images,k=a,p=0,via=s-1";
        e.cut = BTreeSet::from([(1, 0)]);
        assert_eq!(ask(e, 2, image), [(2, End::Filled)]);
        (e.cut, e.figures.window) = (BTreeSet::new(), 1_000_000);
        e.end(1, State::Down);
        assert_eq!(ask(e, 2, image), [(2, End::Filled)]);
        e.revive(1).unwrap();
        assert_eq!(ask(e, 2, image).len(), 3);
        // All of its work: 4 transfers x a quarter x twice, in a window.
        e.figures.window = 1_000_000_000_000;
        let most = e.figures.window as f64 * 2.0;
        let (now, figures, came) = (e.now(), e.figures.clone(), e.servers[1].sum);
        assert!(e.servers[1].takes(now, most - came, &figures));
        assert_eq!(ask(e, 1, "c=images,k=a,p=0"), [(1, End::Hit)]);
        assert_eq!(e.notes.falls.iter().map(|f| f.1).collect::<Vec<_>>(), [1]);
        assert!(e.servers[1].state == State::Down && e.servers[1].copies.is_empty());
    }
}
