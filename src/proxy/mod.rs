//! The proxy: translates socket events into events for the router, and the router's actions into bytes on
//! sockets.
//!
//! [`Proxy`] owns all parts and runs the event loop on one thread; each part has its own file. Decisions are
//! made by the router ([`crate::Router`]) and the lifecycle ([`crate::lifecycle`]), neither of which uses
//! sockets.

mod admin;
mod arrival_times;
mod attempts;
mod cancellation_allowance;
mod client;
mod client_admission;
mod client_table;
mod clients;
mod command_channel;
mod configuration;
mod deferred_messages;
mod discovery;
mod draining;
mod failover;
mod fleet;
mod fleet_context;
mod gossip;
mod housekeeping;
mod local_cache;
mod log_limit;
mod memory_pressure;
mod message_buffer;
mod metrics;
mod predecessor;
mod purge_log;
mod purges;
mod rebalancing;
mod recent_executions;
mod request_checks;
mod requests;
mod shard_capacity;
mod staleness;
mod start;
mod takeover;
mod takeover_files;
#[cfg(test)]
mod tests;
mod timers;
mod unfinished_reads;
mod upstreams;

pub use self::start::{EventObserver, Startup};

use self::admin::AdminServer;
use self::client_admission::ClientListener;
use self::client_table::Clients;
use self::configuration::Configuration;
use self::discovery::Discovery;
use self::housekeeping::SWEEP_INTERVAL;
use self::log_limit::LogLimits;
use self::metrics::Metrics;
use self::purges::RecentPurges;
use self::recent_executions::RecentExecutions;
use self::requests::ActiveRequests;
use self::staleness::StalenessBounds;
use self::takeover::Takeover;
use self::timers::{TimerCompaction, TimerEvent, MILLISECOND};
use self::unfinished_reads::{TurnEvent, UnfinishedReads};
use crate::admin::Metrics as AdminMetrics;
use crate::config::settings::{ClassTable, Document, RequestLimitsHistory};
use crate::lifecycle::Lifecycle;
use crate::local_cache::LocalCache;
use crate::net::bounds::Bounds;
use crate::net::clock::Clock;
use crate::net::event_loop::{EventLoop, Ready, Timers, SIGNALS};
use crate::net::memory::MemoryBudget;
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

/// Order in which one turn of the event loop handles the ready sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum InputOrder {
    /// The admin endpoint comes first, so that answers to operators are not delayed by client traffic.
    Operators,
    /// The purge log comes before all input whose handling depends on which objects are purged.
    PurgeLog,
    /// Discovery comes before requests, so that none is sent to an endpoint whose drain arrived in the same
    /// turn.
    Discovery,
    /// Closed client connections come before the upstreams, so that a response starts no further attempt for
    /// them.
    DepartingClient,
    /// Upstream connections, the client listener and all other sockets.
    Upstream,
    /// Client requests come last, so that none is sent on an upstream connection that closed in the same
    /// turn.
    Client,
}

/// One instance of the router process with all its sockets and state.
pub struct Proxy {
    log: Logger,
    log_limits: LogLimits,
    clock: Clock,
    /// Converts Unix timestamps of other processes to the local clock.
    timestamps: Timestamps,
    /// Time at which the current turn of the event loop started handling input.
    now: Micros,
    /// Time of the poll before the current turn's: input that the current one reports has arrived since.
    polled_before: Micros,
    name: String,
    configuration: Configuration,
    settings: Document,
    classes: ClassTable,
    request_limits: RequestLimitsHistory,
    bounds: Bounds,
    /// Budget of what is held for peers: messages, requests and responses.
    memory: MemoryBudget,
    lifecycle: Lifecycle,
    event_loop: EventLoop,
    timers: Timers<TimerEvent>,
    timer_compaction: TimerCompaction,
    /// Sockets that are ready; the vector is reused across turns.
    ready: Vec<Ready>,
    /// Sockets that had more to read or accept than one turn handles.
    unfinished_reads: UnfinishedReads,
    router: Router,
    /// Events that the router has not handled yet.
    events: VecDeque<Event>,
    event_observer: Option<EventObserver>,
    /// Actions returned by the router; the vector is reused across events.
    actions: Vec<Action>,
    listener: ClientListener,
    clients: Clients,
    requests: ActiveRequests,
    recent_executions: RecentExecutions,
    pool: Pool,
    /// Upstream connections that are not read until memory is released.
    paused_upstreams: Vec<Token>,
    discovery: Discovery,
    staleness: StalenessBounds,
    purges: RecentPurges,
    local_cache: LocalCache,
    metrics: Metrics,
    /// Counters that the admin endpoint serves.
    admin_metrics: AdminMetrics,
    admin: Option<AdminServer>,
    gossip: Option<Box<gossip::PeerGossip>>,
    fleet: Option<Box<fleet::Fleet>>,
    takeover: Option<Takeover>,
}

impl Proxy {
    /// Returns the address of the client listener: the configured one, with the port that the system chose
    /// where port 0 was configured.
    ///
    /// # Errors
    /// The system does not return the socket's address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.socket.local_addr()
    }

    /// Runs until a shutdown is requested and every accepted request is answered.
    ///
    /// # Errors
    /// The poll failed.
    pub fn run(mut self) -> io::Result<()> {
        self.run_to_completion()?;
        self.report();
        info!(self.log, "shutdown complete"; "unanswered" => self.requests.unfinished().count());
        Ok(())
    }

    /// Runs one turn of the event loop: waits for readiness, handles the input, then the timers that were due
    /// when the wait began. Timers that became due during the wait are left for the next turn, so that all
    /// input that arrived by their time is read first, even after the process was stopped for a while.
    /// Otherwise messages that wait unread would be taken for silence of the peer.
    fn turn(&mut self) -> io::Result<()> {
        let started = self.clock.now();
        let previous_turn = started.saturating_sub(self.now);
        self.metrics.max_turn_duration = self.metrics.max_turn_duration.max(previous_turn);
        let next_timer = self.timers.next_due().unwrap_or(self.now + SWEEP_INTERVAL);
        let has_work = !self.unfinished_reads.is_empty() || self.discovery.has_more;
        let wait = if has_work { 0 } else { next_timer.saturating_sub(started) };
        let mut ready = std::mem::take(&mut self.ready);
        self.event_loop.wait(Duration::from_micros(wait), &mut ready)?;
        self.polled_before = self.now;
        self.now = self.clock.now();
        self.handle_input(&mut ready);
        self.ready = ready;
        self.handle_due_timers(started);
        Ok(())
    }

    /// Handles the ready sockets and those with unfinished reads. Whether the purge log and the command channel
    /// are complete is judged after their own input is read and before any input whose handling depends on it.
    fn handle_input(&mut self, ready: &mut Vec<Ready>) {
        let mut events = self.unfinished_reads.begin_turn(ready);
        events.sort_by_key(|event| (self.input_order(&event.ready), event.is_begun));
        let is_of_purge_log = |event: &TurnEvent| self.input_order(&event.ready) <= InputOrder::PurgeLog;
        let after_purge_log = events.partition_point(is_of_purge_log);
        let mut later = events.split_off(after_purge_log);
        for event in events {
            self.handle_ready(event.ready);
        }
        self.reevaluate_purge_log();
        let is_of_discovery = |event: &TurnEvent| self.input_order(&event.ready) <= InputOrder::Discovery;
        let after_discovery = later.partition_point(is_of_discovery);
        let requests = later.split_off(after_discovery);
        for event in later {
            self.handle_or_postpone(event);
        }
        self.update_channel_staleness();
        for event in requests {
            self.handle_or_postpone(event);
        }
        self.resume_upstream_reads();
        self.compact_timers();
        if std::mem::take(&mut self.discovery.has_more) {
            self.run_registry();
            self.process_events();
        }
    }

    /// Handles an event, unless it is input of a client and the work of this turn is done.
    fn handle_or_postpone(&mut self, event: TurnEvent) {
        let is_client_input = self.input_order(&event.ready) == InputOrder::Client;
        if is_client_input && !self.unfinished_reads.allows(&event) {
            return self.unfinished_reads.postpone(event);
        }
        let work_before = self.unfinished_reads.work();
        self.handle_ready(event.ready);
        if event.is_begun {
            self.unfinished_reads.record_unfinished_work(work_before);
        }
    }

    /// Handles all timers that were due at `moment`.
    fn handle_due_timers(&mut self, moment: Micros) {
        while let Some((due_at, timer)) = self.timers.pop_due(moment) {
            self.metrics.max_timer_delay = self.metrics.max_timer_delay.max(self.now - due_at);
            self.handle_timer(timer);
            self.process_events();
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
        match (self.clients.contains(&event.token), event.read_closed) {
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
        self.process_events();
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
            TimerEvent::AttemptDeadline(key, number) => {
                if self.requests.is_same(&key) && self.requests.has_attempt(&key.id, number) {
                    self.cancel_attempt(&key.id, AttemptStatus::TimedOut);
                }
            }
            TimerEvent::RequestDeadline(key) => {
                if self.requests.is_same(&key) {
                    self.fail_overdue_request(&key.id);
                }
            }
            TimerEvent::DialDeadline(token) => self.dial_timed_out(token),
            TimerEvent::ResponseStall(token) => self.response_stalled(token),
            TimerEvent::Sweep => self.sweep(),
            TimerEvent::MetricsReport => self.report_periodically(),
            TimerEvent::AcceptRetry => self.retry_accept(),
            TimerEvent::CommandChannel(at) => self.command_channel_due(at),
            TimerEvent::ChannelStaleness(at) => self.channel_staleness_due(at),
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

    /// Passes the queued events to the router and performs its actions, until no event is left.
    fn process_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let event = self.requests.refresh(event);
            if let Some(observer) = &mut self.event_observer {
                observer(&event);
            }
            if let Event::BoundedStaleness(age) = event {
                self.staleness.record_in_force(age);
            }
            let mut actions = std::mem::take(&mut self.actions);
            self.router.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(action);
            }
            self.actions = actions;
        }
    }

    fn execute_action(&mut self, action: Action) {
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
                // Rounded up, so that the client does not retry before the router's delay has passed.
                let retry_after_ms = retry_after.div_ceil(MILLISECOND);
                self.respond(&request, Response::Rejected { retry_after_ms });
            }
            Action::Fail { request } => self.respond(&request, Response::Failed),
            Action::Timer { at, token } => self.timers.set(at, TimerEvent::Router(token)),
            // The command channel reports all changes without a subscription.
            Action::Watch => {}
        }
    }
}
