//! Attempts: started at the router's request, written to an upstream connection, cancelled, finished and
//! reported.
//!
//! The state of an attempt is kept with its request ([`super::requests`]); the pool owns the connections.

use super::failover::EndedAttempt;
use super::requests::{Attempt, AttemptResult};
use super::timers::TimerEvent;
use super::Proxy;
use crate::invariant;
use crate::net::pool::Choice;
use crate::net::protocol::{frames, resp};
use crate::routing::deduplication::{FirstExecution, Location};
use crate::routing::events::{AttemptStatus, Event, Fetch, Id, Micros, Outcome};
use mio::Token;
use slog::debug;

impl Proxy {
    /// Starts an attempt of a request; `until` 0 stands for the request's deadline.
    pub(super) fn start_attempt(&mut self, id: Id, endpoint: Id, until: Micros, fetch: Option<Fetch>) {
        let number = self.requests.get(&id).map_or(0, |active| active.attempts_started);
        if number > 0 && self.process_unread_cancel(&id) {
            return self.report_outcome(&id, number, self.now, AttemptStatus::NeverSent.into());
        }
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.attempts_started += 1;
        let deadline = if until == 0 { active.deadline } else { until.min(active.deadline) };
        invariant!(active.attempt.is_none(), "a request has at most one attempt at a time");
        let is_obsolete = active.is_finished || active.attempt.is_some() || self.now >= deadline;
        if is_obsolete || number >= active.max_attempts.min(self.settings.limits.max_attempts) {
            return self.report_outcome(&id, number, self.now, AttemptStatus::NeverSent.into());
        }
        self.metrics.attempts += 1;
        if let Some(key) = self.requests.key(&id) {
            self.timers.set(deadline, TimerEvent::AttemptDeadline(key, number));
        }
        let choice = self.choose_connection(&id, &endpoint);
        let connection = match choice {
            Choice::Use(token) | Choice::Wait(token) => Some(token),
            Choice::Dial(address) => self.dial(&endpoint, address),
            Choice::Full => None,
        };
        let Some(connection) = connection else {
            return self.report_outcome(&id, number, self.now, AttemptStatus::ConnectFailed.into());
        };
        let tightenings = self.staleness.tightenings();
        let attempt = Attempt::new(number, endpoint, fetch, self.now, tightenings, deadline, connection);
        self.write_or_queue_attempt(id, attempt, matches!(choice, Choice::Use(_)));
    }

    /// Chooses a connection for the next attempt of a request. In a full pool the connection that has been
    /// idle for longest is closed, so that idle connections to some endpoints do not block dials to others.
    fn choose_connection(&mut self, id: &Id, endpoint: &Id) -> Choice {
        let used = self.requests.get(id).map_or(&[][..], |active| &active.used_connections);
        let choice = self.pool.choose(endpoint, self.now, used);
        if choice != Choice::Full || !self.pool.is_full() {
            return choice;
        }
        let Some(&idle) = self.pool.idle_for(self.now, 0).first() else { return choice };
        self.close_upstream(idle);
        let used = self.requests.get(id).map_or(&[][..], |active| &active.used_connections);
        self.pool.choose(endpoint, self.now, used)
    }

    /// Writes an attempt if its connection is open, or queues it until the dial completes.
    fn write_or_queue_attempt(&mut self, id: Id, attempt: Attempt, is_open: bool) {
        let (connection, endpoint) = (attempt.connection, attempt.endpoint.clone());
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.attempt = Some(attempt);
        if is_open {
            self.write_attempt(&id);
            if let Some(address) = self.pool.spare_address(&endpoint) {
                self.dial(&endpoint, address);
            }
        } else if let Some(upstream) = self.pool.get_mut(connection) {
            upstream.waiting.push(id);
            upstream.last_used = self.now;
        }
    }

    /// Checks for a cancellation that has not been read yet, ends the request if there is one, and returns
    /// whether there was. A cancellation stays unread on a connection on which reading is paused because
    /// responses are backed up, or when the process was stopped and has not reached it. No attempt may start
    /// after its client has cancelled the request.
    fn process_unread_cancel(&mut self, id: &Id) -> bool {
        let Some(active) = self.requests.unfinished_mut(id) else { return false };
        let (token, stream) = (active.client, active.stream);
        let Some(client) = self.clients.get_mut(&token) else { return false };
        let is_cancelled =
            client.conn.peek_unread().is_some_and(|bytes| frames::contains_cancel(&bytes, stream));
        if is_cancelled {
            self.cancel_request(token, stream);
        }
        is_cancelled
    }

    /// Returns whether an attempt may still be written. Drains, purges and the deduplication scope and window
    /// apply at the time of writing, and each may have changed since the attempt was decided.
    fn is_still_valid(&self, id: &Id) -> bool {
        let Some((active, attempt)) =
            self.requests.get(id).and_then(|active| Some((active, active.attempt.as_ref()?)))
        else {
            return false;
        };
        let serves = |id: &str| self.discovery.endpoint_list.accepts_requests(id);
        let can_fetch = attempt.fetch.as_ref().is_none_or(|fetch| serves(&fetch.source));
        let is_purged = self.purges.has_since(attempt.started_at, &active.request)
            || attempt.bound_tightenings != self.staleness.tightenings();
        let is_in_scope = || {
            self.execution_of(attempt).is_some_and(|execution| active.may_be_written(self.now, &execution))
        };
        serves(&attempt.endpoint)
            && self.is_at_current_address(attempt)
            && can_fetch
            && !is_purged
            && is_in_scope()
    }

    /// Returns whether the connection of an attempt leads to the address that its endpoint has now. Another
    /// endpoint may own a former address.
    fn is_at_current_address(&self, attempt: &Attempt) -> bool {
        let entry = self.discovery.endpoint_list.entry(&attempt.endpoint);
        let upstream = self.pool.get(attempt.connection);
        // Without a connection the attempt ends as one that could not connect.
        upstream.is_none_or(|upstream| entry.is_some_and(|entry| entry.address == upstream.address))
    }

    /// Returns the places of the endpoints of an attempt, or `None` if one of them is not listed.
    fn execution_of(&self, attempt: &Attempt) -> Option<FirstExecution> {
        let location = |id: &Id| {
            let entry = self.discovery.endpoint_list.entry(id)?;
            Some(Location { zone: entry.zone, cell: entry.cell })
        };
        let source = match &attempt.fetch {
            Some(fetch) if fetch.source != attempt.endpoint => Some(location(&fetch.source)?),
            _ => None,
        };
        Some(FirstExecution { sent_at: attempt.started_at, target: location(&attempt.endpoint)?, source })
    }

    /// Writes the current attempt of a request to its connection, which is open.
    pub(super) fn write_attempt(&mut self, id: &Id) {
        let was_delayed = |attempt: &Attempt| self.now > attempt.started_at;
        if self.requests.attempt(id).is_some_and(was_delayed) && self.process_unread_cancel(id) {
            return;
        }
        let Some(attempt) = self.requests.attempt(id) else { return };
        let (token, number) = (attempt.connection, attempt.number);
        // The endpoint list may hold changes that the router has not been told of yet.
        let may_have_changed = self.now > attempt.started_at || self.discovery.endpoint_list.has_changes();
        let may_have_run = self.requests.get(id).is_some_and(|active| active.first_execution.is_some());
        // The request may have finished while the attempt waited; no attempt is sent for a finished request.
        let needs_check = may_have_changed || may_have_run;
        if self.requests.is_finished(id) || needs_check && !self.is_still_valid(id) {
            self.metrics.dropped_attempts += 1;
            return self.finish_attempt(id, AttemptStatus::NeverSent.into());
        }
        let execution = self.requests.attempt(id).and_then(|attempt| self.execution_of(attempt));
        let Some(bytes) = self.encode_attempt(id) else { return };
        let Some(upstream) = self.pool.get_mut(token) else {
            // When several attempts waited for one dial, writing the first may have closed the connection.
            // The others end now instead of waiting until their deadlines.
            return self.finish_attempt(id, AttemptStatus::ConnectFailed.into());
        };
        // New settings may allow fewer requests on a connection than wait for one dial.
        if upstream.in_flight.len() >= self.settings.limits.multiplex {
            return self.finish_attempt(id, AttemptStatus::NeverSent.into());
        }
        upstream.conn.queue(bytes);
        upstream.conn.flush(self.now);
        upstream.note_sent(id.clone(), number, self.now);
        let (end_offset, written) = (upstream.conn.queued(), upstream.conn.written());
        let is_open = upstream.conn.is_open();
        if let Some(attempt) = self.requests.attempt_mut(id) {
            attempt.end_offset = Some(end_offset);
            attempt.execution = execution;
            self.admin_metrics.dispatches += u64::from(attempt.record_written(written));
        }
        let is_restricted =
            self.requests.get(id).is_some_and(|active| !active.repeat_policy.is_unrestricted());
        if let (true, Some(execution)) = (is_restricted, execution) {
            self.tell_execution(id, &execution);
        }
        if !is_open {
            self.close_upstream(token);
        }
    }

    fn encode_attempt(&self, id: &Id) -> Option<Vec<u8>> {
        let active = self.requests.get(id)?;
        let attempt = active.attempt.as_ref()?;
        let time_left = attempt.deadline.saturating_sub(self.now);
        Some(resp::encode_request(&active.request, &attempt.endpoint, attempt.fetch.as_ref(), time_left))
    }

    /// Counts, once each, the attempts whose last byte is among the bytes written on their connection.
    pub(super) fn count_written(&mut self, ids: impl IntoIterator<Item = Id>, written: u64) {
        for id in ids {
            let attempt = self.requests.attempt_mut(&id);
            let is_complete = attempt.is_some_and(|attempt| attempt.record_written(written));
            self.admin_metrics.dispatches += u64::from(is_complete);
        }
    }

    /// Cancels the attempt of a finished request unless it has been written completely, because no attempt
    /// may start at an endpoint after its client has disconnected. Whether an attempt that was written
    /// completely is cancelled is the router's decision.
    pub(super) fn cancel_unwritten_attempt(&mut self, id: &Id) {
        let Some(attempt) = self.requests.attempt(id) else { return };
        let (connection, end_offset) = (attempt.connection, attempt.end_offset);
        let written = self.bytes_written(connection);
        if end_offset.is_none_or(|end| written < end) {
            self.cancel_attempt(id, AttemptStatus::Cancelled);
        }
    }

    /// Cancels the current attempt of a request. The endpoint is told before anything else can be sent for
    /// the request.
    pub(super) fn cancel_attempt(&mut self, id: &Id, status: AttemptStatus) {
        let Some(active) = self.requests.get_mut(id) else { return };
        let Some(attempt) = active.attempt.as_ref() else { return };
        let (connection, end_offset) = (attempt.connection, attempt.end_offset);
        active.used_connections.push(connection);
        let written = self.bytes_written(connection);
        self.count_written([id.clone()], written);
        let mut is_unwritten = false;
        if let Some(upstream) = self.pool.get_mut(connection) {
            upstream.waiting.retain(|waiting| waiting != id);
            is_unwritten = match end_offset {
                Some(end) => self.cancel_upstream(id, connection, end),
                None => true,
            };
        }
        // An endpoint that never received the whole command can't have timed out.
        let status = match status {
            AttemptStatus::TimedOut if is_unwritten => AttemptStatus::ConnectFailed,
            other => other,
        };
        self.finish_attempt(id, status.into());
    }

    /// Tells the endpoint that an attempt is cancelled. Returns whether its command had not been written
    /// completely.
    ///
    /// The next attempt may use another connection, so the cancellation must be sent before it. If it can't
    /// be written, the connection is closed, which cancels the attempt too.
    fn cancel_upstream(&mut self, id: &Id, connection: Token, end_offset: u64) -> bool {
        let Some(upstream) = self.pool.get_mut(connection) else { return false };
        upstream.in_flight.remove(id);
        upstream.conn.queue(resp::encode_cancel(id));
        upstream.last_used = self.now;
        upstream.conn.flush(self.now);
        if upstream.in_flight.is_empty() {
            upstream.awaiting_since = None;
        }
        let is_unsendable = upstream.conn.backlog() > 0 || !upstream.conn.is_open();
        let is_unwritten = upstream.conn.written() < end_offset;
        if is_unsendable {
            self.close_upstream(connection);
        }
        is_unwritten
    }

    fn bytes_written(&mut self, connection: Token) -> u64 {
        self.pool.get_mut(connection).map_or(0, |upstream| upstream.conn.written())
    }

    /// Ends the current attempt of a request and reports its result.
    pub(super) fn finish_attempt(&mut self, id: &Id, result: AttemptResult) {
        let Some(active) = self.requests.get_mut(id) else { return };
        let Some(attempt) = active.attempt.take() else { return };
        if result.status.may_have_run() || result.status == AttemptStatus::Served {
            active.first_execution = active.first_execution.or(attempt.execution);
        }
        let source = attempt.fetch.as_ref().map(|fetch| &fetch.source);
        debug!(self.log, "attempt ended"; "request" => %id, "attempt" => attempt.number,
               "endpoint" => %attempt.endpoint, "source" => source.map(ToString::to_string),
               "status" => ?result.status);
        let ended = EndedAttempt {
            endpoint: &attempt.endpoint,
            source,
            status: result.status,
            cache_status: result.cache_status,
        };
        self.fleet_attempt_ended(id, &ended);
        self.report_outcome(id, attempt.number, attempt.started_at, result);
        if self.requests.get(id).is_some_and(|active| active.is_finished) {
            self.remove_request(id);
        }
    }

    /// Queues the outcome of an attempt for the router.
    fn report_outcome(&mut self, id: &Id, attempt: u32, started_at: Micros, result: AttemptResult) {
        let is_final = self.requests.is_finished(id);
        let elapsed = self.now.saturating_sub(started_at);
        let AttemptResult { status, cache_status, load_report } = result;
        debug!(self.log, "attempt outcome"; "request" => %id, "attempt" => attempt, "status" => ?status,
               "cache_status" => ?cache_status, "elapsed_us" => elapsed, "final" => is_final);
        self.events.push_back(Event::Outcome(Outcome {
            request: id.clone(),
            attempt,
            status,
            is_final,
            elapsed,
            fill_wait: 0,
            cache_status,
            load_report,
        }));
    }
}
