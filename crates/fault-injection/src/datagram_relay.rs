//! A relay for datagrams between real processes on loopback.
//!
//! Each process has one relay address for every peer, so that a receiver knows the sender by the address a datagram comes
//! from, and one address that stands for all peers. The relay's thread owns the sockets and the datagrams in flight.

use crate::{FaultSampler, Schedule};
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Largest datagram that is forwarded.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Longer datagrams are counted: no instance may send one.
const LONG_DATAGRAM_BYTES: usize = 256;
/// Most datagrams in flight; further ones are dropped.
const MAX_IN_FLIGHT: usize = 65_536;
/// A relay that nobody stops stops by itself.
const MAX_LIFETIME: Duration = Duration::from_secs(600);
/// Longest wait before the thread looks whether it is to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Counters of a relay.
#[derive(Debug, Default)]
pub struct Counters {
    /// Datagrams forwarded, copies included.
    pub forwarded: AtomicU64,
    /// Datagrams dropped.
    pub dropped: AtomicU64,
    /// Datagrams longer than 256 bytes, which no instance may send.
    pub long: AtomicU64,
}

/// A running relay. It stops when it is dropped.
pub struct Relay {
    peers: Vec<Vec<SocketAddr>>,
    broadcast: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

/// What the owner of a relay and its thread share.
struct Shared {
    faults: Mutex<Faults>,
    stop: AtomicBool,
    counters: Counters,
}

/// A schedule in force, with the moment it began.
struct Faults {
    began: Instant,
    sampler: FaultSampler,
}

impl Faults {
    fn starting_now(schedule: &Schedule) -> Self {
        Faults { began: Instant::now(), sampler: schedule.sampler() }
    }
}

/// One socket of the relay.
struct Inlet {
    socket: UdpSocket,
    sender: usize,
    /// `None`: the datagrams are for all peers of the sender.
    receiver: Option<usize>,
}

/// A datagram in flight, ordered by when it arrives and then by its number.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct InFlight {
    due: Instant,
    number: u64,
    sender: usize,
    receiver: usize,
    bytes: Vec<u8>,
}

impl Relay {
    /// Starts a relay between processes that listen at these addresses.
    ///
    /// # Errors
    /// A socket of the relay can't be opened or polled.
    pub fn start(listen: &[SocketAddr], schedule: &Schedule) -> io::Result<Self> {
        let poll = Poll::new()?;
        let mut inlets = Vec::new();
        let mut open = |sender: usize, receiver: Option<usize>| -> io::Result<SocketAddr> {
            let mut socket = UdpSocket::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            poll.registry().register(&mut socket, Token(inlets.len()), Interest::READABLE)?;
            let address = socket.local_addr()?;
            inlets.push(Inlet { socket, sender, receiver });
            Ok(address)
        };
        let processes = 0..listen.len();
        let mut peers = Vec::new();
        for sender in processes.clone() {
            let own = processes.clone().map(|receiver| open(sender, Some(receiver)));
            peers.push(own.collect::<io::Result<Vec<_>>>()?);
        }
        let broadcast = processes.map(|sender| open(sender, None)).collect::<io::Result<Vec<_>>>()?;
        let shared = Arc::new(Shared {
            faults: Mutex::new(Faults::starting_now(schedule)),
            stop: AtomicBool::default(),
            counters: Counters::default(),
        });
        let worker = Worker {
            shared: shared.clone(),
            inlets,
            listen: listen.to_vec(),
            in_flight: BinaryHeap::new(),
            next_number: 0,
        };
        std::thread::spawn(move || worker.run(poll));
        Ok(Relay { peers, broadcast, shared })
    }

    /// The addresses by which one process reaches each, by number; its own among them.
    pub fn peers(&self, sender: usize) -> &[SocketAddr] {
        &self.peers[sender]
    }

    /// The address by which a process reaches all others.
    pub fn broadcast(&self, sender: usize) -> SocketAddr {
        self.broadcast[sender]
    }

    /// Puts another schedule in force, whose time begins now.
    pub fn follow(&self, schedule: &Schedule) {
        let mut faults = self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner);
        *faults = Faults::starting_now(schedule);
    }

    /// What the relay has done so far.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
    }
}

/// The relay's thread.
struct Worker {
    shared: Arc<Shared>,
    inlets: Vec<Inlet>,
    listen: Vec<SocketAddr>,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    next_number: u64,
}

impl Worker {
    fn run(mut self, mut poll: Poll) {
        let started = Instant::now();
        let mut events = Events::with_capacity(256);
        while !self.shared.stop.load(Ordering::SeqCst) && started.elapsed() < MAX_LIFETIME {
            let polled = poll.poll(&mut events, Some(self.wait()));
            if polled.is_err_and(|error| error.kind() != io::ErrorKind::Interrupted) {
                return;
            }
            for event in &events {
                self.receive(event.token().0);
            }
            self.deliver_due();
        }
    }

    fn wait(&self) -> Duration {
        let next = self.in_flight.peek();
        let until_due = next.map(|Reverse(next)| next.due.saturating_duration_since(Instant::now()));
        until_due.map_or(STOP_CHECK_INTERVAL, |wait| wait.min(STOP_CHECK_INTERVAL))
    }

    /// Takes all datagrams that have come to one socket.
    fn receive(&mut self, inlet: usize) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while let Ok((length, _)) = self.inlets[inlet].socket.recv_from(&mut buffer) {
            if length > LONG_DATAGRAM_BYTES {
                self.shared.counters.long.fetch_add(1, Ordering::Relaxed);
            }
            let sender = self.inlets[inlet].sender;
            let receivers: Vec<usize> = match self.inlets[inlet].receiver {
                Some(receiver) => vec![receiver],
                None => (0..self.listen.len()).filter(|&receiver| receiver != sender).collect(),
            };
            for receiver in receivers {
                self.schedule(sender, receiver, &buffer[..length]);
            }
        }
    }

    /// Puts the copies of a datagram that are to arrive in flight.
    fn schedule(&mut self, sender: usize, receiver: usize, bytes: &[u8]) {
        let now = Instant::now();
        let mut faults = self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let at_ms = now.saturating_duration_since(faults.began).as_millis() as u64;
        let delays_us = faults.sampler.delays_us(at_ms, sender, receiver);
        drop(faults);
        if delays_us.is_empty() {
            self.shared.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
        let capacity = MAX_IN_FLIGHT.saturating_sub(self.in_flight.len());
        for delay_us in delays_us.into_iter().take(capacity) {
            self.next_number += 1;
            self.in_flight.push(Reverse(InFlight {
                due: now + Duration::from_micros(delay_us),
                number: self.next_number,
                sender,
                receiver,
                bytes: bytes.to_vec(),
            }));
        }
    }

    fn deliver_due(&mut self) {
        while self.in_flight.peek().is_some_and(|Reverse(next)| next.due <= Instant::now()) {
            let Some(Reverse(datagram)) = self.in_flight.pop() else { break };
            // From the address by which the receiver knows the sender.
            let outlet = &self.inlets[datagram.receiver * self.listen.len() + datagram.sender].socket;
            if outlet.send_to(&datagram.bytes, self.listen[datagram.receiver]).is_ok() {
                self.shared.counters.forwarded.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
