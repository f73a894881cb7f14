//! Datagrams between instances: from the socket to the view (`crate::gossip`) and back, within a budget.
//!
//! The address that a datagram comes from tells its sender; one from any other address is counted and dropped. Nothing
//! waits for a datagram, and none is repeated here.

use super::fleet_context::{PeerNote, PeerView};
use super::timers::{TimerEvent, MILLISECOND};
use super::Proxy;
use crate::admin::PeerFigures;
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
/// Datagrams that may wait to be sent; beyond, the oldest is dropped: its updates are the least news.
const MAX_QUEUED_DATAGRAMS: usize = 64;
/// Datagrams received in one turn: more than a socket's buffer holds, so that nobody is judged before all that came is
/// read.
const MAX_RECEIVED_PER_TURN: usize = 512;
/// Part of a second for which the budget may be saved up.
const SAVED_BUDGET_S: f64 = 0.25;

/// A token bucket: how many datagrams may be sent.
struct SendBudget {
    datagrams_per_s: f64,
    available: f64,
    counted_at: Micros,
}

impl SendBudget {
    fn new(datagrams_per_s: f64, now: Micros) -> Self {
        let mut budget = SendBudget { datagrams_per_s, available: 0.0, counted_at: now };
        budget.available = budget.capacity();
        budget
    }

    fn capacity(&self) -> f64 {
        (self.datagrams_per_s * SAVED_BUDGET_S).max(1.0)
    }

    fn refill(&mut self, now: Micros) {
        let earned = self.datagrams_per_s * now.saturating_sub(self.counted_at) as f64 / MICROS_PER_S;
        self.available = (self.available + earned).min(self.capacity());
        self.counted_at = now;
    }

    /// When the next datagram may be sent.
    fn next_send(&self) -> Micros {
        let missing = (1.0 - self.available).max(0.0);
        self.counted_at + (missing / self.datagrams_per_s * MICROS_PER_S) as Micros + MILLISECOND
    }
}

/// A datagram that waits to be sent.
struct Outgoing {
    to: MemberId,
    bytes: Vec<u8>,
}

/// The socket with its token on the loop.
struct Socket {
    token: Token,
    socket: UdpSocket,
}

/// This instance's end of what instances tell each other.
pub(super) struct PeerGossip {
    peering: Peering,
    log: Logger,
    socket: Option<Socket>,
    gossip: Gossip,
    queue: VecDeque<Outgoing>,
    budget: SendBudget,
    /// The timer that is set.
    next_tick: Option<Micros>,
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
            next_tick: None,
            dropped: 0,
            from_unknown_addresses: 0,
            peering,
        }
    }

    /// What the admin server reports.
    pub fn figures(&self) -> PeerFigures {
        PeerFigures {
            by_state: self.gossip.by_state(),
            counts: self.gossip.counts(),
            dropped: self.dropped,
            strangers: self.from_unknown_addresses,
        }
    }

    /// What is known of the peers.
    fn view(&self, now: Micros) -> PeerView {
        let notes = self.readable_notes(now);
        let is_silent = |member: MemberId| notes.iter().all(|note| note.member != member);
        let peers = || self.gossip.view().filter(|peer| peer.member != self.peering.me);
        let seen = peers().filter(|peer| peer.state < State::Dead);
        let without_note = seen.filter(|peer| is_silent(peer.member)).count();
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
                debug!(self.log, "note of a peer not used"; "member" => member, "error" => %error);
                None
            }
        };
        self.gossip.notes(now).filter_map(read).collect()
    }

    fn owns(&self, token: Token) -> bool {
        self.socket.as_ref().is_some_and(|socket| socket.token == token)
    }

    /// Binds the socket if there is none yet: until its end the predecessor may have the address.
    fn bind(&mut self, event_loop: &mut EventLoop) {
        if self.socket.is_some() {
            return;
        }
        match bind(&self.peering, event_loop) {
            Ok(socket) => self.socket = Some(socket),
            Err(error) => debug!(self.log, "gossip socket not bound yet"; "error" => %error),
        }
    }

    /// Receives datagrams; whether there may be more.
    fn receive(&mut self, now: Micros) -> bool {
        let mut actions = Vec::new();
        let more = self.receive_some(now, &mut actions);
        self.finish(now, actions);
        more
    }

    fn receive_some(&mut self, now: Micros, actions: &mut Vec<Action>) -> bool {
        let Some(Socket { socket, .. }) = &self.socket else { return true };
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_RECEIVED_PER_TURN {
            let (length, from) = match socket.recv_from(&mut bytes) {
                Ok(received) => received,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                // An earlier datagram met a closed port; others may wait.
                Err(_) => continue,
            };
            match self.peering.members.iter().position(|address| *address == from) {
                Some(member) => {
                    // The view itself counts what it can't read.
                    let _ = self.gossip.receive(now, member as MemberId, &bytes[..length], actions);
                }
                None => self.from_unknown_addresses += 1,
            }
        }
        true
    }

    /// Lets time pass.
    fn tick(&mut self, now: Micros) {
        self.finish(now, Vec::new());
    }

    /// Tells the peers that this instance leaves.
    fn leave(&mut self, now: Micros) {
        let mut actions = Vec::new();
        self.gossip.leave(now, &mut actions);
        self.finish(now, actions);
    }

    fn set_note(&mut self, now: Micros, note: Vec<u8>) {
        self.gossip.set_note(now, Some(note));
        self.finish(now, Vec::new());
    }

    /// Ends each step: lets time pass for the view, does what it asks and sends what may be sent.
    fn finish(&mut self, now: Micros, mut actions: Vec<Action>) {
        if self.socket.is_some() {
            self.gossip.tick(now, &mut actions);
        }
        for action in actions {
            self.carry_out(action);
        }
        self.send_queued(now);
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { to, bytes } => {
                if self.queue.len() >= MAX_QUEUED_DATAGRAMS {
                    self.queue.pop_front();
                    self.dropped += 1;
                }
                self.queue.push_back(Outgoing { to, bytes });
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
            let Some(Outgoing { to, bytes }) = self.queue.front() else { return };
            match socket.send_to(bytes, self.peering.members[usize::from(*to)]) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Any other failure is as a loss on the way.
                sent => self.dropped += u64::from(sent.is_err()),
            }
            self.budget.available -= 1.0;
            self.queue.pop_front();
        }
    }

    /// When the next step is due; `None` without a socket, or where a timer for it is set already.
    fn schedule(&mut self, now: Micros) -> Option<Micros> {
        self.socket.as_ref()?;
        let next_send = if self.queue.is_empty() { Micros::MAX } else { self.budget.next_send() };
        let next = self.gossip.next_due().min(next_send).max(now + MILLISECOND);
        if self.next_tick.is_some_and(|tick| next >= tick) {
            return None;
        }
        self.next_tick = Some(next);
        Some(next)
    }
}

fn bind(peering: &Peering, event_loop: &mut EventLoop) -> io::Result<Socket> {
    let mut socket = UdpSocket::bind(peering.listen)?;
    let token = event_loop.add(&mut socket, Interest::READABLE | Interest::WRITABLE)?;
    Ok(Socket { token, socket })
}

impl Proxy {
    /// Begins to talk to the other instances, where the settings allow it.
    pub(super) fn start_gossip(&mut self, peering: Option<Peering>, seed: u64) {
        let Some(peering) = peering else { return };
        // Later than any incarnation before, unless the clock was set back: then the peers deny it and it goes above.
        let incarnation = self.clock.unix_ms(self.now) << 8 | seed & 0xff;
        info!(self.log, "gossip enabled"; "me" => peering.me, "members" => peering.members.len(),
              "incarnation" => incarnation, "datagrams_per_s" => peering.datagrams_per_s);
        let gossip = PeerGossip::new(peering, incarnation, seed, self.now, self.log.clone());
        self.gossip = Some(Box::new(gossip));
        self.maintain_gossip();
    }

    /// Binds the socket where there is none, and lets time pass.
    pub(super) fn maintain_gossip(&mut self) {
        let Some(gossip) = &mut self.gossip else { return };
        // A process that is replaced, and ends then, must not take the address back from its successor.
        if !matches!(self.lifecycle.phase(), Phase::Replaced | Phase::Stopping) {
            gossip.bind(&mut self.event_loop);
        }
        gossip.tick(self.now);
        self.schedule_gossip();
    }

    /// The timer of a step is due; one that an earlier step has overtaken does nothing.
    pub(super) fn gossip_due(&mut self, at: Micros) {
        if let Some(gossip) = self.gossip.as_mut().filter(|gossip| gossip.next_tick == Some(at)) {
            gossip.next_tick = None;
            gossip.tick(self.now);
            self.schedule_gossip();
        }
    }

    /// Takes what became ready, if it is the socket.
    pub(super) fn gossip_ready(&mut self, token: Token) -> bool {
        let Some(gossip) = self.gossip.as_mut().filter(|gossip| gossip.owns(token)) else { return false };
        if gossip.receive(self.now) {
            self.unfinished_reads.push(token);
        }
        self.schedule_gossip();
        true
    }

    /// Tells the peers that this instance leaves. One that is replaced goes on in another process.
    pub(super) fn leave_gossip(&mut self) {
        if self.has_other_process() {
            return;
        }
        if let Some(gossip) = &mut self.gossip {
            gossip.leave(self.now);
            self.schedule_gossip();
        }
    }

    /// Another process of this instance takes clients now, and the datagrams of the peers.
    pub(super) fn close_gossip_socket(&mut self) {
        if let Some(gossip) = &mut self.gossip {
            gossip.socket = None;
        }
    }

    /// What is known of the peers.
    pub(super) fn peer_view(&self) -> PeerView {
        self.gossip.as_ref().map_or_else(PeerView::default, |gossip| gossip.view(self.now))
    }

    /// What this instance's note says from now on.
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
