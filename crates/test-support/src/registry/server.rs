//! The members on sockets: one thread, one loop, HTTP/2 by h2's server half.

use super::store::{Refused, Store, COMPACTED, NO_LEASE};
use bytes::{Bytes, BytesMut};
use h2::server::{self, Connection, Handshake, SendResponse};
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Request, Response};
use larchdale::registry::grpc::framing::{decode_message, encode_message};
use larchdale::registry::grpc::stream::{BudgetedStream, ReadBudget, WakeFlag};
use larchdale::registry::messages::{
    path, request_op, watch_request, CompactionRequest, CompactionResponse, DeleteRangeRequest,
    DeleteRangeResponse, LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest,
    LeaseKeepAliveResponse, LeaseRevokeRequest, LeaseRevokeResponse, PutRequest, PutResponse, RangeRequest,
    RequestOp, StatusRequest, StatusResponse, TxnRequest, TxnResponse, WatchRequest, WatchResponse,
};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use prost::Message;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll as Polled, Waker};
use std::time::{Duration, Instant};

/// Between two looks at what the store has that watches lack.
const TICK: Duration = Duration::from_millis(1);
/// Largest message that is taken.
const LARGEST: usize = 4 << 20;
/// Changes in one answer of a watch that is to come in fragments.
const FRAGMENT: usize = 2;

/// What goes wrong at one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing does.
    None,
    /// It takes no connection and has none.
    Down,
    /// Its connections stay open, and nothing more is read or written on them.
    Stalled,
    /// It has applied changes only up to this revision, and says so.
    Lagging(i64),
    /// Each answer on a watch comes twice.
    Doubling,
    /// Answers on watches come in fragments.
    Fragments,
    /// A connection breaks after so many more bytes.
    CutAfter(usize),
    /// It announces that it goes, and goes.
    GoAway,
    /// Of the next so many transactions each is carried out, and its connection breaks before the answer.
    LoseAnswer(u32),
}

/// What the loop and its owner share.
struct Shared {
    store: Store,
    faults: Vec<Fault>,
    began: Instant,
    /// Microseconds that its clock was put on.
    skipped: u64,
}

impl Shared {
    fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64 + self.skipped
    }
}

/// A running registry. Its thread ends with it.
pub struct Registry {
    shared: Arc<Mutex<Shared>>,
    end: Arc<AtomicBool>,
    /// Bytes that all members have written.
    pub written: Arc<AtomicU64>,
    thread: Option<std::thread::JoinHandle<()>>,
    /// Where its members are.
    pub addresses: Vec<SocketAddr>,
}

impl Registry {
    /// One with so many members on free ports of loopback.
    pub fn start(members: usize) -> io::Result<Self> {
        Registry::start_at(&vec![SocketAddr::from(([127, 0, 0, 1], 0)); members])
    }

    /// One with members at these addresses.
    pub fn start_at(addresses: &[SocketAddr]) -> io::Result<Self> {
        let listeners = addresses.iter().map(|a| TcpListener::bind(*a)).collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
        let shared = Shared {
            store: Store::new(0x1a2b),
            faults: vec![Fault::None; listeners.len()],
            began: Instant::now(),
            skipped: 0,
        };
        let (shared, end) = (Arc::new(Mutex::new(shared)), Arc::<AtomicBool>::default());
        let written = Arc::<AtomicU64>::default();
        let (held, over, count) = (shared.clone(), end.clone(), written.clone());
        let thread = std::thread::spawn(move || {
            if let Err(e) = serve(listeners, &held, &over, &count) {
                eprintln!("stand-in registry: {e}");
            }
        });
        Ok(Registry { shared, end, written, thread: Some(thread), addresses })
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// When its clock stood at 0: changes of the history count from here.
    pub fn began(&self) -> Instant {
        self.lock().began
    }

    /// Does something with the store; what it commits is committed when this returns.
    pub fn with<R>(&self, what: impl FnOnce(&mut Store) -> R) -> R {
        what(&mut self.lock().store)
    }

    /// Puts the registry's clock on: leases end as though this time had passed.
    pub fn skip(&self, time: Duration) {
        let mut shared = self.lock();
        shared.skipped += time.as_micros() as u64;
        let now = shared.now();
        shared.store.expire(now);
    }

    /// Makes something go wrong at a member, until the next call for it.
    pub fn fault(&self, member: usize, fault: Fault) {
        self.lock().faults[member] = fault;
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        self.end.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A stream that breaks when it is told to.
struct Breakable {
    stream: TcpStream,
    left: Rc<Cell<Option<usize>>>,
    written: Arc<AtomicU64>,
}

impl Read for Breakable {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.read(buffer)
    }
}

impl Write for Breakable {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let Some(left) = self.left.get() else {
            let n = self.stream.write(bytes)?;
            self.written.fetch_add(n as u64, Ordering::Relaxed);
            return Ok(n);
        };
        if left == 0 {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let n = self.stream.write(&bytes[..bytes.len().min(left)])?;
        self.left.set(Some(left - n));
        Ok(n)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}

enum State {
    Shaking(Box<Handshake<BudgetedStream<Breakable>, Bytes>>),
    Open(Box<Connection<BudgetedStream<Breakable>, Bytes>>),
}

/// One call whose request is still coming.
struct Call {
    path: String,
    body: RecvStream,
    bytes: BytesMut,
    answer: SendResponse<Bytes>,
}

/// One watch.
struct Watch {
    id: i64,
    prefix: Vec<u8>,
    next: i64,
}

/// The stream of a connection's watches.
struct Stream {
    body: RecvStream,
    bytes: BytesMut,
    out: SendStream<Bytes>,
    watches: Vec<Watch>,
    progress: bool,
}

struct Peer {
    member: usize,
    state: State,
    left: Rc<Cell<Option<usize>>>,
    budget: Rc<ReadBudget>,
    asked: Arc<WakeFlag>,
    calls: Vec<Call>,
    streams: Vec<Stream>,
}

fn serve(
    mut listeners: Vec<TcpListener>,
    shared: &Mutex<Shared>,
    end: &AtomicBool,
    written: &Arc<AtomicU64>,
) -> io::Result<()> {
    let mut poll = Poll::new()?;
    for (n, listener) in listeners.iter_mut().enumerate() {
        poll.registry().register(listener, Token(n), Interest::READABLE)?;
    }
    let (mut events, mut next) = (Events::with_capacity(256), listeners.len());
    let mut peers: BTreeMap<usize, Peer> = BTreeMap::new();
    while !end.load(Ordering::SeqCst) {
        poll.poll(&mut events, Some(TICK)).or_else(|e| match e.kind() {
            io::ErrorKind::Interrupted => Ok(()),
            _ => Err(e),
        })?;
        let mut shared = shared.lock().unwrap_or_else(|e| e.into_inner());
        let now = shared.now();
        shared.store.expire(now);
        for (member, listener) in listeners.iter().enumerate() {
            while let Ok((mut stream, _)) = listener.accept() {
                if shared.faults[member] == Fault::Down {
                    continue; // closed at once
                }
                next += 1;
                poll.registry().register(
                    &mut stream,
                    Token(next),
                    Interest::READABLE | Interest::WRITABLE,
                )?;
                peers.insert(next, Peer::new(member, stream, written.clone()));
            }
        }
        // Every peer has a turn each tick: small, and quick enough for a stand-in.
        let Shared { store, faults, .. } = &mut *shared;
        peers.retain(|_, peer| {
            let fault = &mut faults[peer.member];
            match *fault {
                Fault::Down => return false,
                Fault::Stalled => return true,
                Fault::CutAfter(bytes) => {
                    if peer.left.get().is_none() {
                        peer.left.set(Some(bytes));
                    }
                }
                Fault::GoAway => {
                    if let State::Open(connection) = &mut peer.state {
                        connection.graceful_shutdown();
                    }
                    peer.streams.clear();
                }
                _ => peer.left.set(None),
            }
            peer.turn(store, fault, now)
        });
    }
    Ok(())
}

impl Peer {
    fn new(member: usize, stream: TcpStream, written: Arc<AtomicU64>) -> Self {
        let _ = stream.set_nodelay(true);
        let (left, budget) = (Rc::<Cell<Option<usize>>>::default(), Rc::<ReadBudget>::default());
        let io = BudgetedStream::new(Breakable { stream, left: left.clone(), written }, budget.clone());
        let handshake = server::Builder::new().initial_window_size(1 << 20).handshake(io);
        Peer {
            member,
            state: State::Shaking(Box::new(handshake)),
            left,
            budget,
            asked: Arc::default(),
            calls: Vec::new(),
            streams: Vec::new(),
        }
    }

    /// Does what can be done; `false`: it is over.
    fn turn(&mut self, store: &mut Store, fault: &mut Fault, now: u64) -> bool {
        let waker = Waker::from(self.asked.clone());
        let mut cx = Context::from_waker(&waker);
        for _ in 0..32 {
            self.asked.clear();
            self.budget.refill();
            if let State::Shaking(handshake) = &mut self.state {
                match Pin::new(&mut **handshake).poll(&mut cx) {
                    Polled::Pending => return true,
                    Polled::Ready(Ok(connection)) => self.state = State::Open(Box::new(connection)),
                    Polled::Ready(Err(_)) => return false,
                }
            }
            let State::Open(connection) = &mut self.state else { return true };
            loop {
                match connection.poll_accept(&mut cx) {
                    Polled::Pending => break,
                    Polled::Ready(Some(Ok((request, answer)))) => {
                        accept(request, answer, &mut self.calls, &mut self.streams);
                    }
                    Polled::Ready(_) => return false,
                }
            }
            let applied = match *fault {
                Fault::Lagging(revision) => revision.min(store.revision),
                _ => store.revision,
            };
            let member = self.member as u64 + 1;
            let mut broken = false;
            self.calls.retain_mut(|call| {
                let end = call.turn(&mut cx, store, member, applied, now, fault);
                broken |= end == End::Broken;
                end == End::Open
            });
            if broken {
                return false;
            }
            self.streams.retain_mut(|stream| stream.turn(&mut cx, store, member, applied, *fault));
            if !self.asked.clear() {
                break;
            }
        }
        true
    }
}

fn head() -> Response<()> {
    let mut head = Response::new(());
    head.headers_mut().insert("content-type", http::HeaderValue::from_static("application/grpc"));
    head
}

fn accept(
    request: Request<RecvStream>,
    mut answer: SendResponse<Bytes>,
    calls: &mut Vec<Call>,
    streams: &mut Vec<Stream>,
) {
    let path = request.uri().path().to_owned();
    let (body, bytes) = (request.into_body(), BytesMut::new());
    if path == path::WATCH {
        if let Ok(out) = answer.send_response(head(), false) {
            streams.push(Stream { body, bytes, out, watches: Vec::new(), progress: false });
        }
    } else {
        calls.push(Call { path, body, bytes, answer });
    }
}

/// Takes what has come of a request; `None`: it is over.
fn pull(cx: &mut Context<'_>, body: &mut RecvStream, bytes: &mut BytesMut) -> Option<Option<Bytes>> {
    loop {
        match decode_message(bytes, LARGEST) {
            Ok(None) => {}
            Ok(Some(message)) => return Some(Some(message)),
            Err(_) => return None,
        }
        match body.poll_data(cx) {
            Polled::Pending => return Some(None),
            Polled::Ready(Some(Ok(data))) => {
                bytes.extend_from_slice(&data);
                let _ = body.flow_control().release_capacity(data.len());
            }
            Polled::Ready(_) => return None,
        }
    }
}

/// What has become of a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Open,
    Over,
    /// Its connection breaks before the answer.
    Broken,
}

impl Call {
    /// Answers once the request is whole.
    fn turn(
        &mut self,
        cx: &mut Context<'_>,
        store: &mut Store,
        member: u64,
        applied: i64,
        now: u64,
        fault: &mut Fault,
    ) -> End {
        let message = match pull(cx, &mut self.body, &mut self.bytes) {
            None => return End::Over,
            Some(None) => return End::Open,
            Some(Some(message)) => message,
        };
        let answer = answer(&self.path, message, store, member, applied, now);
        if let (Fault::LoseAnswer(left), path::TXN) = (&mut *fault, &*self.path) {
            *left = left.saturating_sub(1);
            if *left == 0 {
                *fault = Fault::None;
            }
            return End::Broken;
        }
        let mut end = HeaderMap::new();
        let (code, text) = answer.as_ref().err().copied().unwrap_or((0, ""));
        end.insert("grpc-status", code.into());
        if let Ok(text) = http::HeaderValue::from_str(text) {
            end.insert("grpc-message", text);
        }
        if let Ok(mut out) = self.answer.send_response(head(), false) {
            if let Ok(bytes) = answer {
                let _ = out.send_data(bytes, false);
            }
            let _ = out.send_trailers(end);
        }
        End::Over
    }
}

fn answer(
    path: &str,
    message: Bytes,
    store: &mut Store,
    member: u64,
    applied: i64,
    now: u64,
) -> Result<Bytes, Refused> {
    fn read<M: Message + Default>(bytes: Bytes) -> Result<M, Refused> {
        M::decode(bytes).map_err(|_| (3, "unreadable"))
    }
    match path {
        path::RANGE => Ok(encode_message(&store.range(&read::<RangeRequest>(message)?, member, applied)?)),
        path::PUT => {
            let put: PutRequest = read(message)?;
            if !store.has_lease(put.lease) {
                return Err(NO_LEASE);
            }
            store.put(&put.key, &put.value, put.lease);
            Ok(encode_message(&PutResponse { header: store.header(member, store.revision) }))
        }
        path::DELETE => {
            let delete: DeleteRangeRequest = read(message)?;
            let deleted = i64::from(store.delete(&delete.key));
            Ok(encode_message(&DeleteRangeResponse { header: store.header(member, store.revision), deleted }))
        }
        path::TXN => {
            let txn: TxnRequest = read(message)?;
            let reads = |op: &RequestOp| matches!(op.request, Some(request_op::Request::Range(_)) | None);
            if txn.success.iter().chain(&txn.failure).any(reads) {
                return Err((12, "this stand-in reads nothing in transactions"));
            }
            let succeeded = store.txn(&txn)?;
            Ok(encode_message(&TxnResponse { header: store.header(member, store.revision), succeeded }))
        }
        path::COMPACT => {
            let at = read::<CompactionRequest>(message)?.revision;
            if at > store.revision {
                return Err(COMPACTED);
            }
            store.compact(at);
            Ok(encode_message(&CompactionResponse { header: store.header(member, applied) }))
        }
        path::LEASE_GRANT => {
            let ttl = read::<LeaseGrantRequest>(message)?.ttl.max(1);
            let id = store.grant(now, ttl as u64 * 1_000_000);
            let header = store.header(member, applied);
            Ok(encode_message(&LeaseGrantResponse { header, id, ttl, error: String::new() }))
        }
        // One call for each word: what follows on the same call is not read.
        path::LEASE_KEEP_ALIVE => {
            let id = read::<LeaseKeepAliveRequest>(message)?.id;
            let ttl = store.keep_alive(now, id).map_or(0, |lasts| (lasts / 1_000_000) as i64);
            Ok(encode_message(&LeaseKeepAliveResponse {
                header: store.header(member, store.revision),
                id,
                ttl,
            }))
        }
        path::LEASE_REVOKE => {
            if !store.revoke(read::<LeaseRevokeRequest>(message)?.id) {
                return Err(NO_LEASE);
            }
            Ok(encode_message(&LeaseRevokeResponse { header: store.header(member, store.revision) }))
        }
        path::STATUS => {
            read::<StatusRequest>(message)?;
            let version = "3.5.0".to_owned();
            Ok(encode_message(&StatusResponse {
                header: store.header(member, applied),
                version,
                db_size: 1,
                leader: 1,
            }))
        }
        _ => Err((12, "unknown method")),
    }
}

impl Stream {
    /// Takes requests and tells changes; `false`: it is over.
    fn turn(&mut self, cx: &mut Context<'_>, store: &Store, member: u64, applied: i64, fault: Fault) -> bool {
        let header = store.header(member, applied);
        loop {
            let message = match pull(cx, &mut self.body, &mut self.bytes) {
                None => return false,
                Some(None) => break,
                Some(Some(message)) => message,
            };
            let Ok(request) = WatchRequest::decode(message) else { return false };
            match request.request {
                Some(watch_request::Request::Create(c)) => {
                    let next = if c.start_revision == 0 { applied + 1 } else { c.start_revision };
                    self.watches.push(Watch { id: c.watch_id, prefix: c.key, next });
                    let made =
                        WatchResponse { header, watch_id: c.watch_id, created: true, ..Default::default() };
                    self.tell(&made, fault);
                }
                Some(watch_request::Request::Cancel(c)) => {
                    self.watches.retain(|w| w.id != c.watch_id);
                    let over =
                        WatchResponse { header, watch_id: c.watch_id, canceled: true, ..Default::default() };
                    self.tell(&over, fault);
                }
                Some(watch_request::Request::Progress(_)) => self.progress = true,
                None => {}
            }
        }
        for mut watch in std::mem::take(&mut self.watches) {
            let base = WatchResponse { header, watch_id: watch.id, ..Default::default() };
            match store.changes(&watch.prefix, watch.next, applied) {
                Err(compact_revision) => {
                    self.tell(&WatchResponse { canceled: true, compact_revision, ..base }, fault);
                }
                Ok(events) => {
                    let size = if fault == Fault::Fragments { FRAGMENT } else { 1_000 };
                    let parts = events.chunks(size).count();
                    for (n, part) in events.chunks(size).enumerate() {
                        let fragment = n + 1 < parts;
                        self.tell(&WatchResponse { events: part.to_vec(), fragment, ..base.clone() }, fault);
                    }
                    watch.next = watch.next.max(applied + 1);
                    self.watches.push(watch);
                }
            }
        }
        if std::mem::take(&mut self.progress) {
            self.tell(&WatchResponse { header, watch_id: -1, ..Default::default() }, fault);
        }
        true
    }

    fn tell(&mut self, answer: &WatchResponse, fault: Fault) {
        for _ in 0..1 + usize::from(fault == Fault::Doubling) {
            let _ = self.out.send_data(encode_message(answer), false);
        }
    }
}
