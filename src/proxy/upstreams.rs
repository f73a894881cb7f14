//! Upstream connections: dialing, reading and closing them, and turning responses and failures into results
//! of attempts.
//!
//! The pool ([`crate::net::pool`]) owns the connections and selects among them; [`super::attempts`] writes to
//! them.

use super::message_buffer::MessageBuffer;
use super::requests::AttemptResult;
use super::timers::{TimerEvent, MILLISECOND};
use super::Proxy;
use crate::invariant;
use crate::net::accept::is_out_of_descriptors;
use crate::net::connection::{Closed, Connection, State};
use crate::net::event_loop::Ready;
use crate::net::pool::UpstreamConnection;
use crate::net::protocol::resp::{self, UpstreamResponse, UpstreamStatus};
use crate::net::protocol::{Malformed, Response};
use crate::routing::events::{AttemptStatus, CacheStatus, Id, LoadReport, Micros};
use mio::Token;
use slog::{debug, warn};
use std::net::SocketAddr;

/// Time after which a partly received response is given up, in microseconds. Upstreams write a response at
/// once, so that one which makes no progress for this long will not be completed.
pub(super) const RESPONSE_STALL_TIMEOUT: Micros = 300 * MILLISECOND;

impl Proxy {
    /// Dials an endpoint and adds the connection to the pool. Returns `None` if the dial failed at once.
    pub(super) fn dial(&mut self, endpoint: &Id, address: SocketAddr) -> Option<Token> {
        self.metrics.dials += 1;
        let mut dial = self.event_loop.connect(address);
        if dial.as_ref().is_err_and(is_out_of_descriptors) && self.free_descriptor() {
            dial = self.event_loop.connect(address);
        }
        match dial {
            Ok((token, stream)) => {
                let mut conn = Connection::dialing(stream, self.now);
                conn.count_memory_in(&self.memory);
                self.pool.add(token, UpstreamConnection::new(conn, endpoint.clone(), address, self.now));
                let timeout = self.settings.limits.dial_timeout_us;
                self.timers.set(self.now + timeout, TimerEvent::DialDeadline(token));
                Some(token)
            }
            Err(error) => {
                self.metrics.failed_dials += 1;
                if let Some(suppressed) = self.log_limits.dial_failures.admit(self.now) {
                    warn!(self.log, "upstream dial failed"; "endpoint" => %endpoint, "error" => %error,
                          "suppressed" => suppressed);
                }
                None
            }
        }
    }

    /// Closes a connection whose dial has timed out.
    pub(super) fn dial_timed_out(&mut self, token: Token) {
        let Some(upstream) = self.pool.get_mut(token) else { return };
        if upstream.conn.state() != State::Dialing {
            return;
        }
        let endpoint = upstream.endpoint.clone();
        self.close_upstream(token);
        // A host that has disappeared leaves its connections open and silent, and dials to it time out too.
        // The silent connections are closed, since their attempts would otherwise wait until their deadlines.
        for silent in self.pool.unresponsive(&endpoint, self.now) {
            self.close_upstream(silent);
        }
    }

    /// Handles readiness of an upstream connection.
    pub(super) fn upstream_ready(&mut self, event: Ready) {
        let token = event.token;
        self.pause_or_resume_upstream(token);
        let max_responses = self.max_responses();
        let Some(upstream) = self.pool.get_mut(token) else { return };
        let mut buffer = MessageBuffer::new(resp::decode).limited_to(max_responses);
        let had_backlog = upstream.conn.backlog() > 0;
        upstream.conn.ready(self.now, event.readable, event.writable, &mut buffer);
        let mut received = buffer.into_received();
        if received.has_received {
            upstream.note_received(self.now);
        }
        if had_backlog {
            let ids: Vec<Id> = upstream.in_flight.keys().cloned().collect();
            let written = upstream.conn.written();
            self.count_written(ids, written);
        }
        self.count_partial_response(token);
        if received.has_opened {
            self.upstream_opened(token);
        }
        for response in received.messages {
            if let Err(error) = self.handle_response(token, response) {
                received.error = Some(error);
                break;
            }
            self.process_events();
        }
        if let Some(error) = received.error {
            self.metrics.upstream_protocol_errors += 1;
            if let Some(suppressed) = self.log_limits.upstream_errors.admit(self.now) {
                warn!(self.log, "malformed upstream response"; "reason" => %error, "suppressed" => suppressed);
            }
            return self.close_upstream(token);
        }
        self.after_upstream_read(token);
    }

    /// Writes the attempts that waited for a dial that has completed.
    fn upstream_opened(&mut self, token: Token) {
        let Some(upstream) = self.pool.get_mut(token) else { return };
        let endpoint = upstream.endpoint.clone();
        for id in std::mem::take(&mut upstream.waiting) {
            self.write_attempt(&id);
        }
        if let Some(started_by) = self.pool.note_reachable(token) {
            self.endpoint_restarted(&endpoint, started_by);
        }
    }

    /// After a read, closes a connection that has ended, schedules another read, or sets the timer for a
    /// partly received response.
    fn after_upstream_read(&mut self, token: Token) {
        let Some(upstream) = self.pool.get_mut(token) else { return };
        if !matches!(upstream.conn.state(), State::Open | State::Dialing) {
            self.close_upstream(token);
        } else if upstream.conn.needs_read() {
            self.unfinished_reads.push(token);
        } else if upstream.conn.has_partial_message() {
            self.timers.set(self.now + RESPONSE_STALL_TIMEOUT, TimerEvent::ResponseStall(token));
        }
    }

    /// Closes a connection on which a response has stalled. No further response can arrive on it, and its
    /// attempts would otherwise wait until their deadlines.
    pub(super) fn response_stalled(&mut self, token: Token) {
        let Some(upstream) = self.pool.get_mut(token) else { return };
        let idle = self.now.saturating_sub(upstream.conn.last_received);
        let is_stalled = upstream.conn.has_partial_message() && !upstream.conn.is_paused();
        if is_stalled && idle >= RESPONSE_STALL_TIMEOUT {
            self.metrics.upstream_protocol_errors += 1;
            if let Some(suppressed) = self.log_limits.upstream_errors.admit(self.now) {
                warn!(self.log, "incomplete upstream response"; "endpoint" => %upstream.endpoint,
                      "suppressed" => suppressed);
            }
            self.close_upstream(token);
        }
    }

    /// Handles one response, and answers the client if it is final.
    ///
    /// # Errors
    /// The response can't belong to the request that it names; the connection is to be closed.
    pub(super) fn handle_response(
        &mut self,
        token: Token,
        response: UpstreamResponse,
    ) -> Result<(), Malformed> {
        let Some(upstream) = self.pool.get_mut(token) else { return Ok(()) };
        let Some((id, &number)) = upstream.in_flight.get_key_value(response.request_id.as_str()) else {
            self.metrics.late_responses += 1;
            return Ok(());
        };
        let id = id.clone();
        let has_copy =
            |id: &Id| self.requests.get(id).is_some_and(|active| active.request.if_none_match.is_some());
        if response.status == UpstreamStatus::NotModified && !has_copy(&id) {
            // The attempt stays in flight and ends when the connection is closed.
            return Err(Malformed::UnrequestedNotModified);
        }
        upstream.in_flight.remove(&id);
        upstream.note_received(self.now);
        let is_current = self
            .requests
            .attempt(&id)
            .is_some_and(|attempt| attempt.number == number && attempt.connection == token);
        invariant!(is_current, "an attempt in flight on a connection belongs to an active request");
        if let Some(active) = self.requests.get_mut(&id) {
            // A second response to this attempt must not be taken for the response to a later attempt on this
            // connection, since both carry the same request id.
            active.used_connections.push(token);
        }
        let cache_status = cache_status(response.field("note"));
        let load_report = response.field("load").map(load_report);
        let status = self.forward_response(&id, response);
        self.finish_attempt(&id, AttemptResult { status, cache_status, load_report });
        Ok(())
    }

    /// Answers the client if the response is final, and returns the status of the attempt.
    fn forward_response(&mut self, id: &Id, response: UpstreamResponse) -> AttemptStatus {
        match response.status {
            UpstreamStatus::Ok => {
                self.cache_response(id, &response);
                self.respond(id, Response::Ok(response.body));
                AttemptStatus::Served
            }
            UpstreamStatus::NotModified => {
                self.respond(id, Response::NotModified);
                AttemptStatus::Served
            }
            UpstreamStatus::Miss => AttemptStatus::Miss,
            UpstreamStatus::Rejected => AttemptStatus::Rejected,
            UpstreamStatus::Error => AttemptStatus::Error,
            UpstreamStatus::Expired => AttemptStatus::NeverSent,
        }
    }

    /// Marks an endpoint that was unreachable and has accepted a connection again as restarted: its process
    /// is new and was started at `started_by` at the latest.
    fn endpoint_restarted(&mut self, endpoint: &Id, started_by: Micros) {
        debug!(self.log, "endpoint reachable again"; "endpoint" => %endpoint, "started_by" => started_by);
        self.discovery.endpoint_list.mark_restarted(self.now, endpoint, started_by);
        self.announce_endpoints(usize::MAX);
    }

    /// Closes a connection and finishes the attempts that wait for it or are in flight on it.
    pub(super) fn close_upstream(&mut self, token: Token) {
        let Some(mut upstream) = self.pool.remove(token) else { return };
        self.record_upstream_end(&upstream);
        upstream.conn.close();
        for id in upstream.waiting {
            self.finish_attempt(&id, AttemptStatus::ConnectFailed.into());
        }
        for (id, number) in upstream.in_flight {
            let attempt = self.requests.attempt(&id).filter(|attempt| attempt.number == number);
            let Some(end_offset) = attempt.and_then(|attempt| attempt.end_offset) else { continue };
            // Only a command that was not written completely can't have been executed.
            let was_written = upstream.conn.written() >= end_offset;
            let status = if was_written { AttemptStatus::Reset } else { AttemptStatus::ConnectFailed };
            self.finish_attempt(&id, status.into());
        }
    }

    /// Updates metrics and the pool's estimates from how a connection ended.
    fn record_upstream_end(&mut self, upstream: &UpstreamConnection) {
        match upstream.conn.state() {
            State::Dialing | State::Closed(Closed::DialFailed) => {
                self.metrics.failed_dials += 1;
                if let Some(started_by) = self.pool.note_unreachable(&upstream.endpoint, upstream.dialed_at) {
                    self.endpoint_restarted(&upstream.endpoint, started_by);
                }
            }
            State::Closed(Closed::Lost) if !upstream.in_flight.is_empty() => {
                self.metrics.lost_connections += 1;
                self.pool.note_lost(upstream, self.now);
                debug!(self.log, "upstream connection lost"; "endpoint" => %upstream.endpoint,
                       "idle_before_us" => upstream.idle_before, "attempts" => upstream.in_flight.len());
            }
            _ => self.metrics.lost_connections += u64::from(!upstream.is_idle()),
        }
    }
}

fn cache_status(text: Option<&str>) -> CacheStatus {
    match text {
        Some("hit") => CacheStatus::Hit,
        Some("filled") => CacheStatus::Filled,
        Some("joined") => CacheStatus::Joined,
        Some("stale") => CacheStatus::Stale,
        _ => CacheStatus::Unknown,
    }
}

/// Parses a load report such as `inflight:7;util:0.61`; values that are missing become negative.
fn load_report(text: &str) -> LoadReport {
    let value = |name: &str| {
        let pair = text.split(';').filter_map(|part| part.split_once(':')).find(|pair| pair.0 == name);
        let number = pair.and_then(|pair| pair.1.parse().ok());
        number.filter(|value: &f64| value.is_finite()).unwrap_or(-1.0)
    };
    LoadReport { active: value("inflight"), utilization: value("util"), hit_ratio: value("x0") }
}
