//! A blocking registry client that makes one call at a time. The commands on the endpoint list and on the purge log
//! use it.

use super::error::CommandError;
use crate::net::connection::Transport;
use crate::net::event_loop::{EventLoop, Ready};
use crate::registry::grpc::{Channel, ChannelEvent};
use crate::registry::messages::{
    path, request_op, Compare, KeyValue, RangeRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse,
    WatchRequest,
};
use mio::net::TcpStream;
use prost::Message;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time limit for establishing a connection and for the answer to a call.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait of the event loop between checks of a connection that is being established.
const DIAL_POLL: Duration = Duration::from_millis(50);
/// Compare target of a transaction: the mod revision, which is the revision of the key's last change.
const TARGET_MOD_REVISION: i32 = 2;

/// The registry members and the key prefix that a command uses.
pub(super) struct Target {
    pub(super) endpoints: Vec<SocketAddr>,
    pub(super) prefix: String,
}

impl Target {
    /// Combines arguments and settings, with arguments taking precedence; `None` if the endpoints or the prefix are in
    /// neither.
    pub(super) fn choose(
        endpoint: Option<SocketAddr>,
        prefix: Option<String>,
        configured: Option<Target>,
    ) -> Option<Self> {
        let (endpoints, configured_prefix) =
            configured.map(|target| (target.endpoints, target.prefix)).unzip();
        Some(Target {
            endpoints: endpoint.map(|endpoint| vec![endpoint]).or(endpoints)?,
            prefix: prefix.or(configured_prefix)?,
        })
    }
}

pub(super) struct Client {
    event_loop: EventLoop,
    channel: Channel<TcpStream>,
    ready: Vec<Ready>,
    last_call: u64,
}

impl Client {
    /// Connects to the first endpoint that can be reached.
    pub(super) fn connect(endpoints: &[SocketAddr], max_message_bytes: usize) -> Result<Self, CommandError> {
        let mut last_error = CommandError::NoEndpoint;
        for &address in endpoints {
            match Client::dial(address, max_message_bytes) {
                Ok(client) => return Ok(client),
                Err(source) => last_error = CommandError::Unreachable { address, source },
            }
        }
        Err(last_error)
    }

    fn dial(address: SocketAddr, max_message_bytes: usize) -> io::Result<Self> {
        let mut event_loop = EventLoop::new()?;
        let (_, stream) = event_loop.connect(address)?;
        let (deadline, mut ready) = (Instant::now() + ANSWER_TIMEOUT, Vec::new());
        while !stream.connected()? {
            if Instant::now() >= deadline {
                return Err(io::ErrorKind::TimedOut.into());
            }
            event_loop.wait(DIAL_POLL, &mut ready)?;
        }
        let channel = Channel::new(stream, address.to_string(), max_message_bytes);
        Ok(Client { event_loop, channel, ready, last_call: 0 })
    }

    /// Waits for events on the connection; returns `None` if none occurred within [`ANSWER_TIMEOUT`] or by the
    /// deadline, if one is given.
    pub(super) fn wait(
        &mut self,
        deadline: Option<Instant>,
    ) -> Result<Option<Vec<ChannelEvent>>, CommandError> {
        let mut events = Vec::new();
        loop {
            self.channel.poll(&mut events);
            if !events.is_empty() {
                return Ok(Some(events));
            }
            let remaining = deadline
                .map_or(ANSWER_TIMEOUT, |deadline| deadline.saturating_duration_since(Instant::now()));
            if remaining.is_zero() {
                return Ok(None);
            }
            let wait = if self.channel.wants_turn() { Duration::ZERO } else { remaining };
            self.event_loop.wait(wait, &mut self.ready)?;
            self.ready.clear();
            if self.event_loop.take_signals().shutdown {
                return Err(CommandError::Interrupted);
            }
        }
    }

    /// Makes a call and waits for its answer.
    pub(super) fn call<A: Message + Default>(
        &mut self,
        path: &'static str,
        request: &impl Message,
    ) -> Result<A, CommandError> {
        self.last_call += 1;
        let number = self.last_call;
        self.channel.call(number, path, request, true);
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let mut answer = None;
        while let Some(events) = self.wait(Some(deadline))? {
            for event in events {
                match event {
                    ChannelEvent::Message { call, bytes } if call == number => {
                        answer = Some(A::decode(bytes)?);
                    }
                    ChannelEvent::Ended { call, status } if call == number => match answer.take() {
                        Some(answer) if status.is_ok() => return Ok(answer),
                        _ => return Err(CommandError::CallFailed(status)),
                    },
                    ChannelEvent::Closed { reason } => return Err(CommandError::ConnectionClosed(reason)),
                    ChannelEvent::Message { .. } | ChannelEvent::Ended { .. } => {}
                }
            }
        }
        Err(CommandError::TimedOut)
    }

    /// Opens a watch stream by its first request.
    pub(super) fn open_watch(&mut self, request: &WatchRequest) {
        self.last_call += 1;
        self.channel.call(self.last_call, path::WATCH, request, false);
    }

    /// Reads a key.
    pub(super) fn get(&mut self, key: &[u8]) -> Result<Option<KeyValue>, CommandError> {
        let request = RangeRequest { key: key.to_vec(), ..RangeRequest::default() };
        let answer: RangeResponse = self.call(path::RANGE, &request)?;
        Ok(answer.kvs.into_iter().next())
    }

    /// Commits operations as one transaction if the key still has this mod revision (0: the key is absent) and returns
    /// the new revision; `None` if the mod revision differs, in which case nothing is written.
    pub(super) fn commit(
        &mut self,
        key: &[u8],
        mod_revision: i64,
        operations: Vec<request_op::Request>,
    ) -> Result<Option<i64>, CommandError> {
        let compare = Compare {
            target: TARGET_MOD_REVISION,
            key: key.to_vec(),
            mod_revision: Some(mod_revision),
            ..Compare::default()
        };
        let success =
            operations.into_iter().map(|operation| RequestOp { request: Some(operation) }).collect();
        let request = TxnRequest { compare: vec![compare], success, failure: Vec::new() };
        let answer: TxnResponse = self.call(path::TXN, &request)?;
        Ok(answer.succeeded.then(|| answer.header.map_or(0, |header| header.revision)))
    }
}
