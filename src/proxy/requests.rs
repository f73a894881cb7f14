//! Active requests, from the time at which they are read until they are answered and their last attempt has
//! ended.
//!
//! [`super::clients`] adds requests and writes their responses; [`super::attempts`] starts and ends their
//! attempts. A request has at most one attempt at a time. It stays active after its response while an attempt
//! is still running, so that the router is told the result of that attempt.

use super::request_checks::can_transfer_in_time;
use super::timers::{TimerEvent, MILLISECOND};
use super::Proxy;
use crate::admin::EndStatus;
use crate::config::settings::ClassLookup;
use crate::invariant;
use crate::net::memory::{MemoryUse, Reservation};
use crate::net::protocol::{frames, ClientRequest, Response};
use crate::routing::deduplication::{FirstExecution, RepeatPolicy};
use crate::routing::events::{
    AttemptStatus, CacheStatus, Class, Event, Fetch, Id, Idempotency, LoadReport, Micros, Outcome, Request,
};
use mio::Token;
use rustc_hash::FxHashMap;
use slog::debug;

/// Part of a client's timeout that the router does not get, in microseconds, so that a response in the last
/// moment reaches the client: timers fire up to 1 ms late. The margin is small because the shortest client
/// timeout is 40 ms.
pub(super) const RESPONSE_MARGIN: Micros = 4 * MILLISECOND;
/// Part of a client's timeout that remains after the final timer, in microseconds; that timer answers a
/// request which the router has left unanswered.
const LAST_RESPONSE_MARGIN: Micros = MILLISECOND;

/// A request that has not been answered, or whose last attempt has not ended.
pub(super) struct ActiveRequest {
    pub(super) request: ClientRequest,
    /// Number of the request in the order of admission.
    number: u64,
    /// Token of the client's connection.
    pub(super) client: Token,
    pub(super) stream: u32,
    /// Time at which any attempt of the request ends.
    pub(super) deadline: Micros,
    /// Whether the request has its final response, or no client waits for one.
    pub(super) is_finished: bool,
    pub(super) attempts_started: u32,
    pub(super) max_attempts: u32,
    pub(super) attempt: Option<Attempt>,
    /// Number of the request's class.
    pub(super) class: usize,
    /// Index of the class in the counters of the admin endpoint.
    pub(super) metrics_class: usize,
    /// What the request's class allowed at admission once the request may have run.
    pub(super) repeat_policy: RepeatPolicy,
    /// The first attempt that may have run.
    pub(super) first_execution: Option<FirstExecution>,
    /// Upstream connections that an earlier attempt used. A late response on one of them would be taken for
    /// the response to a newer attempt on the same connection, because responses name the request but not the
    /// attempt.
    pub(super) used_connections: Vec<Token>,
    /// Memory of the request.
    _memory: Reservation,
}

impl ActiveRequest {
    /// Returns the memory of an active request, in bytes.
    fn memory_bytes(request: &ClientRequest) -> usize {
        size_of::<ActiveRequest>() + request.memory_bytes()
    }

    fn new(
        request: ClientRequest,
        client: Token,
        stream: u32,
        admission: Admission,
        deadline: Micros,
        memory: Reservation,
    ) -> Self {
        ActiveRequest {
            request,
            number: 0,
            client,
            stream,
            deadline,
            is_finished: false,
            attempts_started: 0,
            max_attempts: admission.max_attempts,
            attempt: None,
            class: admission.class,
            metrics_class: admission.metrics_class,
            repeat_policy: admission.repeat_policy,
            first_execution: admission.first_execution,
            used_connections: Vec::new(),
            _memory: memory,
        }
    }

    /// Returns whether an attempt with these places may be written: endpoints outside the deduplication scope,
    /// or after its window, would run a request that may have run a second time.
    pub(super) fn may_be_written(&self, now: Micros, attempt: &FirstExecution) -> bool {
        let Some(first) = &self.first_execution else { return true };
        let allows_source = |source| self.repeat_policy.allows_source(now, first, source);
        self.repeat_policy.allows_target(now, first, attempt.target)
            && attempt.source.is_none_or(allows_source)
    }
}

/// The current attempt of a request.
pub(super) struct Attempt {
    pub(super) number: u32,
    pub(super) endpoint: Id,
    pub(super) fetch: Option<Fetch>,
    pub(super) started_at: Micros,
    /// Number of times that the bound on the age of copies had been tightened when the attempt was decided.
    pub(super) bound_tightenings: u64,
    pub(super) deadline: Micros,
    /// Upstream connection on which the attempt is written, or whose dial it waits for.
    pub(super) connection: Token,
    /// Offset of the end of the attempt's command in all bytes queued on the connection; `None` while the
    /// attempt waits for a dial.
    pub(super) end_offset: Option<u64>,
    /// Places of the endpoints when the attempt was written; `None` while it is not.
    pub(super) execution: Option<FirstExecution>,
    is_written: bool,
}

impl Attempt {
    pub(super) fn new(
        number: u32,
        endpoint: Id,
        fetch: Option<Fetch>,
        started_at: Micros,
        bound_tightenings: u64,
        deadline: Micros,
        connection: Token,
    ) -> Self {
        Attempt {
            number,
            endpoint,
            fetch,
            started_at,
            bound_tightenings,
            deadline,
            connection,
            end_offset: None,
            execution: None,
            is_written: false,
        }
    }

    /// Records how many bytes have been written on the attempt's connection. Returns whether the attempt has
    /// now been written completely for the first time.
    pub(super) fn record_written(&mut self, bytes_written: u64) -> bool {
        let is_complete = self.end_offset.is_some_and(|end| bytes_written >= end);
        let is_first = is_complete && !self.is_written;
        self.is_written |= is_complete;
        is_first
    }
}

/// Result of an attempt, as it is reported to the router.
pub(super) struct AttemptResult {
    pub(super) status: AttemptStatus,
    pub(super) cache_status: CacheStatus,
    pub(super) load_report: Option<LoadReport>,
}

/// Result of an attempt that received no response.
impl From<AttemptStatus> for AttemptResult {
    fn from(status: AttemptStatus) -> Self {
        AttemptResult { status, cache_status: CacheStatus::Unknown, load_report: None }
    }
}

/// Identifies one active request. Its id alone does not: a client may send the same id again after the first request has
/// ended, for example on a new connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RequestKey {
    pub(super) id: Id,
    /// Number of the request in the order of admission.
    number: u64,
}

/// All active requests, by id.
#[derive(Default)]
pub(super) struct ActiveRequests {
    pub(super) by_id: FxHashMap<Id, ActiveRequest>,
    admitted: u64,
}

impl ActiveRequests {
    /// Adds a request that has just been admitted, and returns its key.
    pub(super) fn insert(&mut self, id: Id, mut request: ActiveRequest) -> RequestKey {
        self.admitted += 1;
        request.number = self.admitted;
        self.by_id.insert(id.clone(), request);
        RequestKey { id, number: self.admitted }
    }

    /// Returns the key of the active request with this id.
    pub(super) fn key(&self, id: &Id) -> Option<RequestKey> {
        Some(RequestKey { id: id.clone(), number: self.by_id.get(id)?.number })
    }

    /// Returns whether the request with this key is active.
    pub(super) fn is_same(&self, key: &RequestKey) -> bool {
        self.by_id.get(&key.id).is_some_and(|active| active.number == key.number)
    }

    pub(super) fn remove(&mut self, id: &Id) -> Option<ActiveRequest> {
        self.by_id.remove(id)
    }

    pub(super) fn get(&self, id: &Id) -> Option<&ActiveRequest> {
        self.by_id.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &Id) -> Option<&mut ActiveRequest> {
        self.by_id.get_mut(id)
    }

    /// Iterates over the first executions of the active requests that may have run, or whose attempt is written, and may not
    /// simply run again.
    pub(super) fn executions(&self) -> impl Iterator<Item = (u64, FirstExecution)> + '_ {
        let restricted = self.by_id.iter().filter(|(_, active)| !active.repeat_policy.is_unrestricted());
        restricted.filter_map(|(id, active)| {
            let written = active.attempt.as_ref().and_then(|attempt| attempt.execution);
            Some((id_number(id)?, active.first_execution.or(written)?))
        })
    }

    /// Returns the request if it still awaits its response.
    pub(super) fn unfinished_mut(&mut self, id: &Id) -> Option<&mut ActiveRequest> {
        self.by_id.get_mut(id).filter(|active| !active.is_finished)
    }

    pub(super) fn attempt(&self, id: &Id) -> Option<&Attempt> {
        self.by_id.get(id)?.attempt.as_ref()
    }

    pub(super) fn attempt_mut(&mut self, id: &Id) -> Option<&mut Attempt> {
        self.by_id.get_mut(id)?.attempt.as_mut()
    }

    /// Returns whether the current attempt of the request has this number.
    pub(super) fn has_attempt(&self, id: &Id, number: u32) -> bool {
        self.attempt(id).is_some_and(|attempt| attempt.number == number)
    }

    /// Returns whether the request is unknown, has been answered, or no client waits for it.
    pub(super) fn is_finished(&self, id: &Id) -> bool {
        self.by_id.get(id).is_none_or(|active| active.is_finished)
    }

    pub(super) fn contains(&self, id: &Id) -> bool {
        self.by_id.contains_key(id)
    }

    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the ids of all requests that await their response.
    pub(super) fn unfinished(&self) -> impl Iterator<Item = &Id> {
        self.by_id.iter().filter(|(_, active)| !active.is_finished).map(|(id, _)| id)
    }

    /// Updates an event that was queued for the router.
    ///
    /// The request of an outcome may have finished while the event was queued, for example when writing the
    /// response showed that its client has disconnected. Without the update the router would retry the
    /// request and would never be told that it has ended.
    pub(super) fn refresh(&self, mut event: Event) -> Event {
        if let Event::Outcome(Outcome { request, is_final, .. }) = &mut event {
            *is_final |= self.is_finished(request);
        }
        event
    }
}

/// Class settings of an admitted request.
struct Admission {
    class: usize,
    metrics_class: usize,
    repeat_policy: RepeatPolicy,
    max_attempts: u32,
    /// First execution of an earlier request with the same id.
    first_execution: Option<FirstExecution>,
}

/// Returns the number that the id of a client's request stands for.
pub(super) fn id_number(id: &Id) -> Option<u64> {
    u64::from_str_radix(id, 16).ok()
}

/// Returns the router's event for a request; `timeout` is the time that the router has for it.
fn request_event(id: &Id, request: &ClientRequest, admission: &Admission, router_timeout: Micros) -> Event {
    Event::Request(Request {
        id: id.clone(),
        class: admission.class,
        object: request.object.1,
        chunk: request.chunk,
        purge_group: request.purge_group,
        timeout: router_timeout,
        size_kb: request.size_kb,
        repeat_policy: Some(admission.repeat_policy),
    })
}

impl Proxy {
    /// Admits a request that was read from a client and began at `begun_at`, or rejects it.
    pub(super) fn admit_request(
        &mut self,
        client: Token,
        stream: u32,
        request: ClientRequest,
        begun_at: Micros,
    ) {
        let class_lookup = self.classes.find(begun_at, &request.route);
        let limits = self.request_limits.at(begun_at);
        invariant!(
            class_lookup != ClassLookup::Unknown,
            "a request's route is validated before the request is admitted"
        );
        let metrics_class = self.admin_metrics.class(&request.route);
        self.admin_metrics.request_accepted();
        let needs_key = |class: &Class| class.idempotency == Idempotency::WithKey;
        let lacks_key = |class: &Class| needs_key(class) && request.idempotency_key.is_none();
        let is_too_large = matches!(class_lookup, ClassLookup::Found { deadline, .. }
            if !can_transfer_in_time(request.size_kb, deadline, limits));
        let admissible = class_lookup.class().filter(|found| !is_too_large && !lacks_key(found.1));
        let Some((class, _)) = admissible else {
            // The class was removed or requires a key by now, or no transfer of this size ends in time. A
            // retry would fail in the same way, and the size would distort the load estimates.
            self.write_unadmitted(client, stream, &Response::Rejected { retry_after_ms: 0 });
            return self.admin_metrics.request_ended(metrics_class, EndStatus::Overload);
        };
        let repeat_policy = self.classes.repeat_policy(begun_at, class, request.idempotency_key.is_some());
        let id: Id = request.request_id.as_str().into();
        let earlier = id_number(&id).and_then(|number| self.recent_executions.find(number)).copied();
        let allows_again = |first: &FirstExecution| repeat_policy.allows_client_retry(self.now, first);
        if self.requests.contains(&id) || !earlier.as_ref().is_none_or(allows_again) {
            // Attempts and responses are matched by the request id, which belongs to the first request. This
            // may be the same request sent twice, so the response does not say whether it was executed.
            self.write_unadmitted(client, stream, &Response::Failed);
            return self.admin_metrics.request_ended(metrics_class, EndStatus::Error);
        }
        self.metrics.requests += 1;
        debug!(self.log, "request"; "request" => %id, "class" => class, "timeout_ms" => request.timeout_ms,
               "size_kb" => request.size_kb, "object" => %request.object.0, "chunk" => request.chunk);
        let max_attempts = limits.max_attempts;
        let admission =
            Admission { class, metrics_class, repeat_policy, max_attempts, first_execution: earlier };
        self.begin_request(id, client, stream, request, admission);
    }

    /// Returns whether a request with the same id is active, or may have run and must not simply run again.
    pub(super) fn may_have_run(&self, request: &ClientRequest) -> bool {
        let id: Id = request.request_id.as_str().into();
        let has_executed = |number| self.recent_executions.find(number).is_some();
        self.requests.contains(&id) || id_number(&id).is_some_and(has_executed)
    }

    /// Adds an admitted request, and answers it at once or passes it to the router.
    fn begin_request(
        &mut self,
        id: Id,
        client: Token,
        stream: u32,
        request: ClientRequest,
        admission: Admission,
    ) {
        let client_timeout = request.timeout_ms.saturating_mul(MILLISECOND);
        let router_timeout = client_timeout - RESPONSE_MARGIN.min(client_timeout / 4);
        let event = request_event(&id, &request, &admission, router_timeout);
        let has_capacity = self.has_capacity_for(&request);
        self.classes.request_opened(admission.class);
        let deadline = self.now + router_timeout;
        let memory = self.memory.reserve(ActiveRequest::memory_bytes(&request));
        let active = ActiveRequest::new(request, client, stream, admission, deadline, memory);
        let key = self.requests.insert(id.clone(), active);
        if let Some(client) = self.clients.get_mut(&client) {
            client.open_streams.insert(stream, id.clone());
        }
        if !has_capacity {
            let retry_after_ms = self.settings.limits.max_retry_after_us / MILLISECOND;
            return self.respond(&id, Response::Rejected { retry_after_ms });
        }
        if let Some(response) = self.serve_from_cache(&id) {
            return self.respond(&id, response);
        }
        let response_deadline = self.now + client_timeout - LAST_RESPONSE_MARGIN.min(client_timeout / 8);
        self.timers.set(response_deadline, TimerEvent::RequestDeadline(key));
        self.events.push_back(event);
    }

    fn has_capacity_for(&self, request: &ClientRequest) -> bool {
        self.lifecycle.admits_requests(self.now)
            && self.requests.len() < self.settings.limits.max_open.max(1)
            && self.memory.allows(MemoryUse::Request, ActiveRequest::memory_bytes(request))
    }

    /// Writes the response to a request that is not admitted.
    pub(super) fn write_unadmitted(&mut self, client: Token, stream: u32, response: &Response) {
        if let Some(client) = self.clients.get_mut(&client) {
            client.conn.queue(frames::encode_response(stream, response));
        }
    }

    /// Counts a request that is rejected without being examined. Names of classes that were never configured are left
    /// out: clients could fill the memory with them.
    pub(super) fn count_rejected(&mut self, route: &str) {
        if self.classes.find(self.now, route) == ClassLookup::Unknown {
            return;
        }
        let metrics_class = self.admin_metrics.class(route);
        self.admin_metrics.request_accepted();
        self.admin_metrics.request_ended(metrics_class, EndStatus::Overload);
        self.metrics.requests += 1;
    }

    /// Sends the final response to a request; does nothing if the request has finished.
    pub(super) fn respond(&mut self, id: &Id, response: Response) {
        let Some(active) = self.requests.unfinished_mut(id) else { return };
        active.is_finished = true;
        let (token, stream, is_ended) = (active.client, active.stream, active.attempt.is_none());
        debug!(self.log, "response"; "request" => %id, "status" => response.name());
        let end = match response {
            Response::Ok(_) | Response::NotModified => EndStatus::Success,
            Response::Rejected { .. } => EndStatus::Overload,
            Response::Failed => EndStatus::Error,
        };
        self.admin_metrics.request_ended(active.metrics_class, end);
        if is_ended {
            self.remove_request(id);
        }
        let Some(client) = self.clients.get_mut(&token) else { return };
        let awaited = client.record_response(stream, &response);
        invariant!(awaited.as_ref() == Some(id), "a response belongs to an open stream");
        client.conn.queue(frames::encode_response(stream, &response));
        client.conn.flush(self.now);
        client.last_used = self.now;
        self.after_client_write(token);
    }

    /// Ends the request on a stream that its client has cancelled; does nothing if it has been answered.
    pub(super) fn cancel_request(&mut self, client: Token, stream: u32) {
        let Some(client) = self.clients.get_mut(&client) else { return };
        let Some(id) = client.open_streams.remove(&stream) else { return };
        if self.requests.get(&id).is_some_and(|active| active.attempts_started > 0) {
            client.record_cancelled_attempt(self.now);
        }
        self.abandon_request(id);
    }

    /// Ends a request that its client has cancelled or abandoned: no response is sent, and the router is
    /// told.
    pub(super) fn abandon_request(&mut self, id: Id) {
        let Some(active) = self.requests.unfinished_mut(&id) else { return };
        active.is_finished = true;
        self.metrics.abandoned_requests += 1;
        self.admin_metrics.request_ended(active.metrics_class, EndStatus::Error);
        if active.attempt.is_none() {
            self.remove_request(&id);
        }
        self.cancel_unwritten_attempt(&id);
        self.events.push_back(Event::ClientDisconnected { request: id });
    }

    /// Fails a request whose client timeout is nearly over, so that every request is answered in time even if
    /// the router has not answered it.
    pub(super) fn fail_overdue_request(&mut self, id: &Id) {
        let is_unanswered = !self.requests.is_finished(id);
        invariant!(!is_unanswered, "the router answers before the client's timeout");
        if is_unanswered {
            self.fail_request(id);
        }
    }

    /// Fails a request without the router's decision, cancels its attempt unless it has been written
    /// completely, and tells the router.
    pub(super) fn fail_request(&mut self, id: &Id) {
        self.respond(id, Response::Failed);
        self.cancel_unwritten_attempt(id);
        self.events.push_back(Event::ClientDisconnected { request: id.clone() });
    }

    /// Removes a request that is answered and has no attempt.
    pub(super) fn remove_request(&mut self, id: &Id) {
        let Some(removed) = self.requests.remove(id) else { return };
        self.classes.request_closed(removed.class);
        let is_restricted = !removed.repeat_policy.is_unrestricted();
        if let (Some(first), Some(number), true) = (removed.first_execution, id_number(id), is_restricted) {
            self.recent_executions.add(self.now, number, first);
        }
    }
}
