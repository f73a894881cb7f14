//! Datagrams between instances: passes them between the socket and the gossip view (`crate::gossip`), within
//! a send budget.
//!
//! A datagram's source address identifies its sender; datagrams from other addresses are counted and dropped.
//! Sending never blocks, and no datagram is resent here.

use super::fleet_context::{PeerNote, PeerView};
use super::timers::{TaskTimer, TimerEvent, MILLISECOND};
use super::Proxy;
use crate::admin::PeerMetrics;
use crate::config::platform::Peering;
use crate::failover::site_report::SiteReport;
use crate::gossip::message::MAX_DATAGRAM_BYTES;
use crate::gossip::{Action, Config, Gossip, Incarnation, MemberId, ReceivedNote, State};
use crate::lifecycle::Phase;
use crate::net::event_loop::EventLoop;
use crate::routing::events::Micros;
use mio::net::UdpSocket;
use mio::{Interest, Token};
use slog::{debug, info, Logger};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};

const MICROS_PER_S: f64 = 1e6;
/// Maximum number of datagrams in the send queue. Beyond it the oldest is dropped, because its updates are
/// the least recent.
const MAX_QUEUED_DATAGRAMS: usize = 64;
/// Maximum number of datagrams received in one turn. It exceeds the capacity of a socket's buffer, so that no
/// peer is judged before all of its datagrams are read.
const MAX_RECEIVED_PER_TURN: usize = 512;
/// Capacity of the send budget, in seconds of its rate.
const BUDGET_BURST_S: f64 = 0.25;

/// Token bucket that limits the rate of sent datagrams.
struct SendBudget {
    datagrams_per_s: f64,
    available: f64,
    refilled_at: Micros,
}

impl SendBudget {
    fn new(datagrams_per_s: f64, now: Micros) -> Self {
        let mut budget = SendBudget { datagrams_per_s, available: 0.0, refilled_at: now };
        budget.available = budget.capacity();
        budget
    }

    fn capacity(&self) -> f64 {
        (self.datagrams_per_s * BUDGET_BURST_S).max(1.0)
    }

    fn refill(&mut self, now: Micros) {
        let refilled = self.datagrams_per_s * now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_S;
        self.available = (self.available + refilled).min(self.capacity());
        self.refilled_at = now;
    }

    /// Returns when the next datagram may be sent.
    fn next_send(&self) -> Micros {
        let missing = (1.0 - self.available).max(0.0);
        self.refilled_at + (missing / self.datagrams_per_s * MICROS_PER_S) as Micros + MILLISECOND
    }
}

/// A datagram in the send queue.
struct QueuedDatagram {
    to: MemberId,
    bytes: Vec<u8>,
}

/// The gossip socket and its token in the event loop.
struct Socket {
    token: Token,
    socket: UdpSocket,
}

/// Gossip of this instance with its peers.
pub(super) struct PeerGossip {
    peering: Peering,
    log: Logger,
    socket: Option<Socket>,
    gossip: Gossip,
    queue: VecDeque<QueuedDatagram>,
    budget: SendBudget,
    timer: TaskTimer,
    dropped: u64,
    from_unknown_addresses: u64,
}

impl PeerGossip {
    fn new(peering: Peering, incarnation: Incarnation, seed: u64, now: Micros, log: Logger) -> Self {
        let config = Config::new(peering.me, peering.members.len() as MemberId);
        PeerGossip {
            log,
            socket: None,
            gossip: Gossip::new(config, incarnation, seed, now),
            queue: VecDeque::new(),
            budget: SendBudget::new(f64::from(peering.datagrams_per_s), now),
            timer: TaskTimer::default(),
            dropped: 0,
            from_unknown_addresses: 0,
            peering,
        }
    }

    /// Returns the values that the admin endpoint reports.
    pub fn figures(&self) -> PeerMetrics {
        PeerMetrics {
            by_state: self.gossip.by_state(),
            counts: self.gossip.counts(),
            dropped: self.dropped,
            from_unknown_addresses: self.from_unknown_addresses,
        }
    }

    /// Returns the current view of the peers.
    fn view(&self, now: Micros) -> PeerView {
        let notes = self.readable_notes(now);
        let has_no_note = |member: MemberId| notes.iter().all(|note| note.member != member);
        let peers = || self.gossip.view().filter(|peer| peer.member != self.peering.me);
        let reachable = peers().filter(|peer| peer.state < State::Dead);
        let without_note = reachable.filter(|peer| has_no_note(peer.member)).count();
        let departed = self.gossip.view().filter(|peer| peer.state >= State::Dead);
        PeerView {
            configured: self.peering.members.len(),
            without_note,
            departed: departed.map(|peer| peer.member).collect(),
            notes,
        }
    }

    fn readable_notes(&self, now: Micros) -> Vec<PeerNote> {
        let read = |ReceivedNote { member, age, bytes }: ReceivedNote| match SiteReport::decode(bytes) {
            Ok(note) => Some(PeerNote { member, age, note }),
            Err(error) => {
                debug!(self.log, "peer note rejected"; "member" => member, "error" => %error);
                None
            }
        };
        self.gossip.notes(now).filter_map(read).collect()
    }

    fn owns(&self, token: Token) -> bool {
        self.socket.as_ref().is_some_and(|socket| socket.token == token)
    }

    /// Binds the socket if it is not bound yet. Until the predecessor process has ended, it may hold the
    /// address.
    fn bind(&mut self, event_loop: &mut EventLoop) {
        if self.socket.is_some() {
            return;
        }
        match bind(&self.peering, event_loop) {
            Ok(socket) => self.socket = Some(socket),
            Err(error) => debug!(self.log, "gossip socket not bound yet"; "error" => %error),
        }
    }

    /// Receives datagrams; returns whether more may be waiting.
    fn receive(&mut self, now: Micros) -> bool {
        let mut actions = Vec::new();
        let more = self.receive_datagrams(now, &mut actions);
        self.finish_step(now, actions);
        more
    }

    fn receive_datagrams(&mut self, now: Micros, actions: &mut Vec<Action>) -> bool {
        let Some(Socket { socket, .. }) = &self.socket else { return true };
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_RECEIVED_PER_TURN {
            let (length, from) = match socket.recv_from(&mut bytes) {
                Ok(received) => received,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                // An earlier datagram reached a closed port; other datagrams may be waiting.
                Err(_) => continue,
            };
            match self.peering.members.iter().position(|address| *address == from) {
                Some(member) => {
                    // The gossip view counts datagrams that it can't decode.
                    let _ = self.gossip.receive(now, member as MemberId, &bytes[..length], actions);
                }
                None => self.from_unknown_addresses += 1,
            }
        }
        true
    }

    /// Runs a step without input.
    fn tick(&mut self, now: Micros) {
        self.finish_step(now, Vec::new());
    }

    /// Tells the peers that this instance is leaving.
    fn leave(&mut self, now: Micros) {
        let mut actions = Vec::new();
        self.gossip.leave(now, &mut actions);
        self.finish_step(now, actions);
    }

    fn set_note(&mut self, now: Micros, note: Vec<u8>) {
        self.gossip.set_note(now, Some(note));
        self.finish_step(now, Vec::new());
    }

    /// Ends a step: advances the gossip view to `now`, performs its actions and sends queued datagrams.
    fn finish_step(&mut self, now: Micros, mut actions: Vec<Action>) {
        if self.socket.is_some() {
            self.gossip.tick(now, &mut actions);
        }
        for action in actions {
            self.execute_action(action);
        }
        self.send_queued(now);
    }

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Send { to, bytes } => {
                if self.queue.len() >= MAX_QUEUED_DATAGRAMS {
                    self.queue.pop_front();
                    self.dropped += 1;
                }
                self.queue.push_back(QueuedDatagram { to, bytes });
            }
            Action::NoteReceived { .. } => {}
            Action::Changed { member, state: State::Alive, incarnation } => {
                debug!(self.log, "peer alive"; "member" => member, "incarnation" => incarnation);
            }
            Action::Changed { member, state, incarnation } => {
                info!(self.log, "peer not alive"; "member" => member, "state" => ?state, "incarnation" => incarnation);
            }
        }
    }

    fn send_queued(&mut self, now: Micros) {
        self.budget.refill(now);
        let Some(Socket { socket, .. }) = &self.socket else { return };
        while self.budget.available >= 1.0 {
            let Some(QueuedDatagram { to, bytes }) = self.queue.front() else { return };
            match socket.send_to(bytes, self.peering.members[usize::from(*to)]) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Any other failure is treated like a datagram lost on the network.
                sent => self.dropped += u64::from(sent.is_err()),
            }
            self.budget.available -= 1.0;
            self.queue.pop_front();
        }
    }

    /// Returns when the next step is due, or `None` without a socket or if a timer that is early enough is
    /// set.
    fn schedule(&mut self, now: Micros) -> Option<Micros> {
        self.socket.as_ref()?;
        let next_send = if self.queue.is_empty() { Micros::MAX } else { self.budget.next_send() };
        let next = self.gossip.next_due().min(next_send).max(now + MILLISECOND);
        self.timer.advance_to(next).then_some(next)
    }
}

fn bind(peering: &Peering, event_loop: &mut EventLoop) -> io::Result<Socket> {
    let mut socket = UdpSocket::bind(peering.listen)?;
    let token = event_loop.add(&mut socket, Interest::READABLE | Interest::WRITABLE)?;
    Ok(Socket { token, socket })
}

impl Proxy {
    /// Starts gossip with the other instances, if peers are configured.
    pub(super) fn start_gossip(&mut self, peering: Option<Peering>, seed: u64) {
        let Some(peering) = peering else { return };
        // The value exceeds any earlier incarnation unless the clock was set back. In that case the peers
        // reject it, and the instance raises its incarnation.
        let incarnation = self.clock.unix_ms(self.now) << 8 | seed & 0xff;
        info!(self.log, "gossip enabled"; "me" => peering.me, "members" => peering.members.len(),
              "incarnation" => incarnation, "datagrams_per_s" => peering.datagrams_per_s);
        let gossip = PeerGossip::new(peering, incarnation, seed, self.now, self.log.clone());
        self.gossip = Some(Box::new(gossip));
        self.maintain_gossip();
    }

    /// Binds the socket if it is not bound, and runs a step.
    pub(super) fn maintain_gossip(&mut self) {
        let Some(gossip) = &mut self.gossip else { return };
        // A process that has been replaced and is about to end must not take the address back from its
        // successor.
        if !matches!(self.lifecycle.phase(), Phase::Replaced | Phase::Stopping) {
            gossip.bind(&mut self.event_loop);
        }
        gossip.tick(self.now);
        self.schedule_gossip();
    }

    /// Runs a step when its timer is due; does nothing if an earlier timer has replaced it.
    pub(super) fn gossip_due(&mut self, at: Micros) {
        let Some(gossip) = &mut self.gossip else { return };
        if gossip.timer.fired(at) {
            gossip.tick(self.now);
            self.schedule_gossip();
        }
    }

    /// Receives datagrams if the token is the gossip socket's; returns whether it is.
    pub(super) fn gossip_ready(&mut self, token: Token) -> bool {
        let Some(gossip) = self.gossip.as_mut().filter(|gossip| gossip.owns(token)) else { return false };
        if gossip.receive(self.now) {
            self.unfinished_reads.push(token);
        }
        self.schedule_gossip();
        true
    }

    /// Tells the peers that this instance is leaving, unless another process of the instance continues.
    pub(super) fn leave_gossip(&mut self) {
        if self.has_other_process() {
            return;
        }
        if let Some(gossip) = &mut self.gossip {
            gossip.leave(self.now);
            self.schedule_gossip();
        }
    }

    /// Closes the gossip socket, because another process of this instance now serves clients and receives the
    /// peers' datagrams.
    pub(super) fn close_gossip_socket(&mut self) {
        if let Some(gossip) = &mut self.gossip {
            gossip.socket = None;
        }
    }

    /// Returns the current view of the peers; empty if gossip is disabled.
    pub(super) fn peer_view(&self) -> PeerView {
        self.gossip.as_ref().map_or_else(PeerView::default, |gossip| gossip.view(self.now))
    }

    /// Sets the note that this instance sends to its peers.
    pub(super) fn set_note(&mut self, note: Vec<u8>) {
        if let Some(gossip) = &mut self.gossip {
            gossip.set_note(self.now, note);
            self.schedule_gossip();
        }
    }

    fn schedule_gossip(&mut self) {
        if let Some(at) = self.gossip.as_mut().and_then(|gossip| gossip.schedule(self.now)) {
            self.timers.set(at, TimerEvent::Gossip(at));
        }
    }
}
