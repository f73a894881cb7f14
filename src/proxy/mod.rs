//! The proxy: what happens on sockets becomes events for the router, its actions become bytes.
//!
//! [`Proxy`] holds the parts and runs the loop: everything is done within one turn of one loop on one thread. Each
//! part has a file of its own; the router ([`crate::Router`]) and the lifecycle ([`crate::lifecycle`]) decide, and
//! know no sockets.

mod admin;
mod attempts;
mod client_admission;
mod clients;
mod command_channel;
mod configuration;
mod discovery;
mod draining;
mod failover;
mod fleet;
mod fleet_context;
mod gossip;
mod housekeeping;
mod local_cache;
mod message_buffer;
mod metrics;
mod predecessor;
mod purge_log;
mod purges;
mod rebalancing;
mod requests;
mod shard_capacity;
mod start;
mod takeover;
mod takeover_files;
#[cfg(test)]
mod tests;
mod timers;
mod upstreams;

pub use self::start::{EventObserver, Startup};

use self::admin::AdminServer;
use self::client_admission::ClientListener;
use self::clients::Clients;
use self::configuration::Configuration;
use self::discovery::Discovery;
use self::housekeeping::SWEEP_INTERVAL;
use self::metrics::Metrics;
use self::purges::RecentPurges;
use self::requests::ActiveRequests;
use self::takeover::Takeover;
use self::timers::{TimerEvent, MILLISECOND};
use crate::admin::Figures as AdminMetrics;
use crate::config::settings::{ClassTable, Document};
use crate::lifecycle::Lifecycle;
use crate::local_cache::LocalCache;
use crate::net::bounds::Bounds;
use crate::net::clock::Clock;
use crate::net::event_loop::{EventLoop, Ready, Timers, SIGNALS};
use crate::net::pool::Pool;
use crate::net::protocol::Response;
use crate::routing::events::{Action, AttemptStatus, Event, Micros};
use crate::timestamps::Timestamps;
use crate::Router;
use mio::Token;
use slog::{info, Logger};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The order in which a turn takes what has become ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum InputOrder {
    /// What operators are told must not wait for what clients have brought.
    Operators,
    /// What is purged binds all that is decided after it.
    PurgeLog,
    /// Nothing goes to an endpoint whose drain came in the same turn.
    Discovery,
    /// Clients that leave come before the upstreams, whose responses would lead to further attempts.
    DepartingClient,
    /// Upstreams, new connections and the rest.
    Upstream,
    /// Clients that ask come last: nothing goes on a connection whose end came in the same turn.
    Client,
}

/// One instance on its sockets.
pub struct Proxy {
    log: Logger,
    clock: Clock,
    /// What Unix timestamps of others mean.
    timestamps: Timestamps,
    /// The moment of the current turn.
    now: Micros,
    name: String,
    configuration: Configuration,
    settings: Document,
    classes: ClassTable,
    bounds: Bounds,
    lifecycle: Lifecycle,
    event_loop: EventLoop,
    timers: Timers<TimerEvent>,
    /// What is ready; kept for its memory.
    ready: Vec<Ready>,
    /// Sockets with more to read than one turn took.
    unfinished_reads: Vec<Token>,
    router: Router,
    /// What the router has not been told yet.
    events: VecDeque<Event>,
    event_observer: Option<EventObserver>,
    /// What the router wants; kept for its memory.
    actions: Vec<Action>,
    listener: ClientListener,
    clients: Clients,
    requests: ActiveRequests,
    pool: Pool,
    discovery: Discovery,
    purges: RecentPurges,
    local_cache: LocalCache,
    metrics: Metrics,
    /// What operators read.
    admin_metrics: AdminMetrics,
    admin: Option<AdminServer>,
    gossip: Option<Box<gossip::PeerGossip>>,
    fleet: Option<Box<fleet::Fleet>>,
    takeover: Option<Takeover>,
}

impl Proxy {
    /// Where it listens: as configured, with the port that the system chose where that was 0.
    ///
    /// # Errors
    /// The system does not tell the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.socket.local_addr()
    }

    /// Runs until told to end and everything taken is answered.
    ///
    /// # Errors
    /// The poll failed.
    pub fn run(mut self) -> io::Result<()> {
        self.run_to_completion()?;
        self.report();
        info!(self.log, "leaving"; "unanswered" => self.requests.unfinished().count());
        Ok(())
    }

    /// One turn: waits for something to happen and handles it, then the timers that were due when the wait began. A
    /// later one waits for the next turn: whatever had come by its time has been read then, also where the process was
    /// stopped for a while. What was not heard while nobody listened is no silence.
    fn turn(&mut self) -> io::Result<()> {
        let started = self.clock.now();
        let previous_turn = started.saturating_sub(self.now);
        self.metrics.max_turn_duration = self.metrics.max_turn_duration.max(previous_turn);
        let next_timer = self.timers.next().unwrap_or(self.now + SWEEP_INTERVAL);
        let has_work = !self.unfinished_reads.is_empty() || self.discovery.has_more;
        let wait = if has_work { 0 } else { next_timer.saturating_sub(started) };
        let mut ready = std::mem::take(&mut self.ready);
        self.event_loop.wait(Duration::from_micros(wait), &mut ready)?;
        self.now = self.clock.now();
        self.handle_input(&mut ready);
        self.ready = ready;
        self.handle_due_timers(started);
        Ok(())
    }

    /// Handles what has become ready, and what the last turn left unread. What the purge log vouches for is judged once
    /// its own input is read, before anything is decided by it.
    fn handle_input(&mut self, ready: &mut Vec<Ready>) {
        let unfinished = std::mem::take(&mut self.unfinished_reads).into_iter();
        ready.extend(unfinished.map(|token| Ready { token, readable: false, writable: false, ended: false }));
        ready.sort_by_key(|event| self.input_order(event));
        let of_purge_log = ready.partition_point(|event| self.input_order(event) <= InputOrder::PurgeLog);
        for event in ready.drain(..of_purge_log) {
            self.handle_ready(event);
        }
        self.judge_purge_log();
        for event in ready.drain(..) {
            self.handle_ready(event);
        }
        if std::mem::take(&mut self.discovery.has_more) {
            self.run_registry();
            self.settle();
        }
    }

    /// Handles the timers that were due at a moment.
    fn handle_due_timers(&mut self, moment: Micros) {
        while let Some((due_at, timer)) = self.timers.due(moment) {
            self.metrics.max_timer_delay = self.metrics.max_timer_delay.max(self.now - due_at);
            self.handle_timer(timer);
            self.settle();
        }
    }

    fn input_order(&self, event: &Ready) -> InputOrder {
        if self.admin.as_ref().is_some_and(|admin| admin.owns(event.token)) {
            return InputOrder::Operators;
        }
        if self.purge_log().is_some_and(|purge_log| purge_log.token() == Some(event.token)) {
            return InputOrder::PurgeLog;
        }
        if self.discovery.owns(event.token) {
            return InputOrder::Discovery;
        }
        match (self.clients.contains(&event.token), event.ended) {
            (true, true) => InputOrder::DepartingClient,
            (false, _) => InputOrder::Upstream,
            (true, false) => InputOrder::Client,
        }
    }

    fn handle_ready(&mut self, event: Ready) {
        if event.token == SIGNALS {
            self.handle_signals();
        } else if self.admin.as_ref().is_some_and(|admin| admin.owns(event.token)) {
            self.admin_ready(event);
        } else if self.takeover.as_ref().is_some_and(|takeover| takeover.owns(event.token)) {
            self.takeover_ready(event);
        } else if event.token == self.listener.token {
            self.accept();
        } else if self.clients.contains(&event.token) {
            self.client_ready(event);
        } else if self.discovery.is_command_channel(event.token) {
            self.command_channel_ready(event);
        } else if self.discovery.registry_ready(event) {
            self.run_registry();
        } else if !(self.gossip_ready(event.token) || self.fleet_ready(event)) {
            self.upstream_ready(event);
        }
        self.settle();
    }

    fn handle_signals(&mut self) {
        let received = self.event_loop.take_signals();
        if received.reload {
            self.reload();
        }
        if received.shutdown {
            self.shut_down();
        }
    }

    fn handle_timer(&mut self, timer: TimerEvent) {
        match timer {
            TimerEvent::Router(token) => self.events.push_back(Event::Timer { token }),
            TimerEvent::AttemptDeadline(id, number) => {
                if self.requests.has_attempt(&id, number) {
                    self.cancel_attempt(&id, AttemptStatus::TimedOut);
                }
            }
            TimerEvent::RequestDeadline(id) => self.fail_overdue_request(&id),
            TimerEvent::DialDeadline(token) => self.dial_timed_out(token),
            TimerEvent::ResponseStall(token) => self.response_stalled(token),
            TimerEvent::Sweep => self.sweep(),
            TimerEvent::MetricsReport => self.report_periodically(),
            TimerEvent::AcceptRetry => self.retry_accept(),
            TimerEvent::CommandChannel(at) => self.command_channel_due(at),
            TimerEvent::ReloadRetry => self.retry_reload(),
            TimerEvent::Registry(at) => {
                self.discovery.registry_timer_fired(at);
                self.run_registry();
            }
            TimerEvent::Gossip(at) => self.gossip_due(at),
            TimerEvent::Fleet(at) => self.fleet_turn(at),
            TimerEvent::DrainDeadline => self.fail_open_requests(),
        }
    }

    /// Hands the events to the router and carries out what it wants, until neither is left.
    fn settle(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let event = self.requests.refresh(event);
            if let Some(observer) = &mut self.event_observer {
                observer(&event);
            }
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
            Action::Send { request, server, until, fetch } => {
                self.start_attempt(request, server, until, fetch);
            }
            Action::Cancel { request, attempt } => {
                if self.requests.has_attempt(&request, attempt) {
                    self.cancel_attempt(&request, AttemptStatus::Cancelled);
                }
            }
            Action::Reject { request, retry_after } => {
                // Rounded up: the client is to stay away for no less than it is told to.
                let retry_after_ms = retry_after.div_ceil(MILLISECOND);
                self.respond(&request, Response::Rejected { retry_after_ms });
            }
            Action::Fail { request } => self.respond(&request, Response::Failed),
            Action::Timer { at, token } => self.timers.set(at, TimerEvent::Router(token)),
            // The command channel reports all changes by itself.
            Action::Watch => {}
        }
    }
}
