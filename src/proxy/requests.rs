//! Requests from the moment in which they are taken until they and their last attempt are over.
//!
//! The clients' side adds them and writes their responses, the upstreams' side gives them attempts. A request has at
//! most one attempt at a time. It outlives its response while an attempt goes on, so that the router hears how that
//! one ended.

use super::clients::can_transfer_in_time;
use super::timers::{TimerEvent, MILLISECOND};
use super::Proxy;
use crate::admin::End;
use crate::config::settings::ClassLookup;
use crate::invariant;
use crate::net::protocol::{frames, ClientRequest, Response};
use crate::routing::events::{
    AttemptStatus, CacheStatus, Class, Event, Fetch, Id, Idempotency, LoadReport, Micros, Outcome, Request,
};
use mio::Token;
use rustc_hash::FxHashMap;
use slog::debug;

/// Kept back of the time that a client waits, so that a response at the last moment reaches it: timers come up to
/// 1 ms late. It is small since the least that a client waits is 40 ms.
pub(super) const RESPONSE_MARGIN: Micros = 4 * MILLISECOND;
/// Kept back of it by the last timer, which answers whatever the router did.
const LAST_RESPONSE_MARGIN: Micros = MILLISECOND;

/// A request that is not over, or whose last attempt is not.
pub(super) struct ActiveRequest {
    pub(super) request: ClientRequest,
    /// The client's connection and the stream on it that awaits the response.
    pub(super) client: Token,
    pub(super) stream: u32,
    /// No attempt goes on beyond this.
    pub(super) deadline: Micros,
    /// It has its one final response, or nobody waits for one.
    pub(super) is_finished: bool,
    pub(super) attempts_started: u32,
    pub(super) max_attempts: u32,
    pub(super) attempt: Option<Attempt>,
    /// The number of its class.
    pub(super) class: usize,
    /// Where its class is counted for operators.
    pub(super) metrics_class: usize,
    /// For how long after an attempt that may have run its endpoints recognise a repeat.
    pub(super) deduplication_window: Option<Micros>,
    /// The moment that follows from the window: no attempt is written from then on.
    pub(super) retry_deadline: Micros,
    /// Upstream connections on which it had an attempt. A late response to that one would be taken for the next
    /// one's there: the wire names the request only.
    pub(super) used_connections: Vec<Token>,
}

impl ActiveRequest {
    fn new(
        request: ClientRequest,
        client: Token,
        stream: u32,
        admission: Admission,
        deadline: Micros,
        max_attempts: u32,
    ) -> Self {
        ActiveRequest {
            request,
            client,
            stream,
            deadline,
            is_finished: false,
            attempts_started: 0,
            max_attempts,
            attempt: None,
            class: admission.class,
            metrics_class: admission.metrics_class,
            deduplication_window: admission.deduplication_window,
            retry_deadline: Micros::MAX,
            used_connections: Vec::new(),
        }
    }
}

/// The attempt of a request that is out.
pub(super) struct Attempt {
    pub(super) number: u32,
    pub(super) endpoint: Id,
    pub(super) fetch: Option<Fetch>,
    pub(super) started_at: Micros,
    pub(super) deadline: Micros,
    /// The upstream connection that it is written to, or whose dial it waits for.
    pub(super) connection: Token,
    /// Where its command ends among all bytes queued on the connection; `None` while it waits for a dial.
    pub(super) end_offset: Option<u64>,
    is_written: bool,
}

impl Attempt {
    pub(super) fn new(
        number: u32,
        endpoint: Id,
        fetch: Option<Fetch>,
        started_at: Micros,
        deadline: Micros,
        connection: Token,
    ) -> Self {
        Attempt {
            number,
            endpoint,
            fetch,
            started_at,
            deadline,
            connection,
            end_offset: None,
            is_written: false,
        }
    }

    /// Notes that so many bytes are written on its connection. Whether the attempt's last byte is among them for the
    /// first time.
    pub(super) fn note_written(&mut self, bytes_written: u64) -> bool {
        let is_complete = self.end_offset.is_some_and(|end| bytes_written >= end);
        let is_first = is_complete && !self.is_written;
        self.is_written |= is_complete;
        is_first
    }
}

/// How an attempt ended, as the router is told.
pub(super) struct AttemptResult {
    pub(super) status: AttemptStatus,
    pub(super) cache_status: CacheStatus,
    pub(super) load_report: Option<LoadReport>,
}

/// The result of an attempt that brought no response.
impl From<AttemptStatus> for AttemptResult {
    fn from(status: AttemptStatus) -> Self {
        AttemptResult { status, cache_status: CacheStatus::Unknown, load_report: None }
    }
}

/// All active requests by their id.
#[derive(Default)]
pub(super) struct ActiveRequests {
    pub(super) by_id: FxHashMap<Id, ActiveRequest>,
    /// Bytes of all bodies together.
    pub(super) body_bytes: usize,
}

impl ActiveRequests {
    pub(super) fn insert(&mut self, id: Id, request: ActiveRequest) {
        self.body_bytes += request.request.body.len();
        self.by_id.insert(id, request);
    }

    pub(super) fn remove(&mut self, id: &Id) -> Option<ActiveRequest> {
        let removed = self.by_id.remove(id)?;
        self.body_bytes -= removed.request.body.len();
        Some(removed)
    }

    pub(super) fn get(&self, id: &Id) -> Option<&ActiveRequest> {
        self.by_id.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &Id) -> Option<&mut ActiveRequest> {
        self.by_id.get_mut(id)
    }

    /// The request if it still awaits its response.
    pub(super) fn unfinished_mut(&mut self, id: &Id) -> Option<&mut ActiveRequest> {
        self.by_id.get_mut(id).filter(|active| !active.is_finished)
    }

    pub(super) fn attempt(&self, id: &Id) -> Option<&Attempt> {
        self.by_id.get(id)?.attempt.as_ref()
    }

    pub(super) fn attempt_mut(&mut self, id: &Id) -> Option<&mut Attempt> {
        self.by_id.get_mut(id)?.attempt.as_mut()
    }

    /// Whether the attempt of this number is the one that is out.
    pub(super) fn has_attempt(&self, id: &Id, number: u32) -> bool {
        self.attempt(id).is_some_and(|attempt| attempt.number == number)
    }

    /// Whether it is over for its client: unknown, answered, or nobody waits for it.
    pub(super) fn is_finished(&self, id: &Id) -> bool {
        self.by_id.get(id).is_none_or(|active| active.is_finished)
    }

    pub(super) fn contains(&self, id: &Id) -> bool {
        self.by_id.contains_key(id)
    }

    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Requests that await their response.
    pub(super) fn unfinished(&self) -> impl Iterator<Item = &Id> {
        self.by_id.iter().filter(|(_, active)| !active.is_finished).map(|(id, _)| id)
    }

    /// Bytes of all bodies together.
    pub(super) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Brings an event that waited in the router's queue up to date.
    ///
    /// The request of an outcome may have finished since, as where writing its response showed that its client is
    /// gone. Told that it goes on, the router would send it anew and hear of no end.
    pub(super) fn refresh(&self, mut event: Event) -> Event {
        if let Event::Outcome(Outcome { request, is_final, .. }) = &mut event {
            *is_final |= self.is_finished(request);
        }
        event
    }
}

/// What the settings say of a request that is admitted.
struct Admission {
    class: usize,
    metrics_class: usize,
    deduplication_window: Option<Micros>,
}

/// A request as the router is handed it.
fn router_event(id: &Id, request: &ClientRequest, class: usize, budget: Micros) -> Event {
    Event::Request(Request {
        id: id.clone(),
        class,
        object: request.object.1,
        chunk: request.chunk,
        purge_group: request.purge_group,
        timeout: budget,
        size_kb: request.size_kb,
    })
}

impl Proxy {
    /// Takes a request that was read from a client.
    pub(super) fn take_request(&mut self, client: Token, stream: u32, request: ClientRequest) {
        let named = self.classes.find(self.now, &request.route);
        invariant!(named != ClassLookup::Unknown, "a request was screened before it is taken");
        let metrics_class = self.admin_metrics.class(&request.route);
        self.admin_metrics.took();
        let needs_key = |class: &Class| class.idempotency == Idempotency::WithKey;
        let lacks_key = |class: &Class| needs_key(class) && request.idempotency_key.is_none();
        let is_too_large = matches!(named, ClassLookup::Found { deadline, .. }
            if !can_transfer_in_time(request.size_kb, deadline, &self.settings));
        let admissible = named.class().filter(|named| !is_too_large && !lacks_key(named.1));
        let Some((class, settings)) = admissible else {
            // Its class was dropped or wants a key by now, or no transfer could bring it in time: a retry, whenever,
            // would fare no better, and its size would spoil the estimates of load.
            self.write_unadmitted(client, stream, &Response::Rejected { retry_after_ms: 0 });
            return self.admin_metrics.ended(metrics_class, End::Overload);
        };
        let deduplication_window = needs_key(settings).then_some(settings.deduplication_window);
        let id: Id = request.request_id.as_str().into();
        if self.requests.contains(&id) {
            // Attempts and responses go by the id, which belongs to the first one. This may be the same request come
            // twice, so nothing is said of whether it ran.
            self.write_unadmitted(client, stream, &Response::Failed);
            return self.admin_metrics.ended(metrics_class, End::Error);
        }
        self.metrics.requests += 1;
        debug!(self.log, "request"; "request" => %id, "class" => class, "timeout_ms" => request.timeout_ms,
               "size_kb" => request.size_kb, "object" => %request.object.0, "chunk" => request.chunk);
        let admission = Admission { class, metrics_class, deduplication_window };
        self.begin_request(id, client, stream, request, admission);
    }

    /// Adds an admitted request, and answers it at once or hands it to the router.
    fn begin_request(
        &mut self,
        id: Id,
        client: Token,
        stream: u32,
        request: ClientRequest,
        admission: Admission,
    ) {
        let timeout = request.timeout_ms.saturating_mul(MILLISECOND);
        let budget = timeout - RESPONSE_MARGIN.min(timeout / 4);
        let event = router_event(&id, &request, admission.class, budget);
        let has_capacity = self.has_capacity_for(&request);
        self.classes.request_opened(admission.class);
        let (deadline, max_attempts) = (self.now + budget, self.settings.limits.max_attempts);
        let active = ActiveRequest::new(request, client, stream, admission, deadline, max_attempts);
        self.requests.insert(id.clone(), active);
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
        let last_moment = self.now + timeout - LAST_RESPONSE_MARGIN.min(timeout / 8);
        self.timers.set(last_moment, TimerEvent::RequestDeadline(id));
        self.events.push_back(event);
    }

    fn has_capacity_for(&self, request: &ClientRequest) -> bool {
        let body_bytes = self.requests.body_bytes() + request.body.len();
        self.lifecycle.begins_requests(self.now)
            && self.requests.len() < self.settings.limits.max_open.max(1)
            && body_bytes <= self.bounds.request_bodies
    }

    /// Answers a request that becomes no active one.
    pub(super) fn write_unadmitted(&mut self, client: Token, stream: u32, response: &Response) {
        if let Some(client) = self.clients.get_mut(&client) {
            client.conn.queue(frames::encode_response(stream, response));
        }
    }

    /// Counts a request that is rejected before it is looked at.
    pub(super) fn count_rejected(&mut self, route: &str) {
        let metrics_class = self.admin_metrics.class(route);
        self.admin_metrics.took();
        self.admin_metrics.ended(metrics_class, End::Overload);
        self.metrics.requests += 1;
    }

    /// Gives a request its one final response.
    pub(super) fn respond(&mut self, id: &Id, response: Response) {
        let Some(active) = self.requests.unfinished_mut(id) else { return };
        active.is_finished = true;
        let (token, stream, is_over) = (active.client, active.stream, active.attempt.is_none());
        debug!(self.log, "response"; "request" => %id, "status" => response.name());
        let end = match response {
            Response::Ok(_) | Response::NotModified => End::Success,
            Response::Rejected { .. } => End::Overload,
            Response::Failed => End::Error,
        };
        self.admin_metrics.ended(active.metrics_class, end);
        if is_over {
            self.remove_request(id);
        }
        let Some(client) = self.clients.get_mut(&token) else { return };
        let awaited = client.note_response(stream);
        invariant!(awaited.as_ref() == Some(id), "an answer belongs to an open stream");
        client.conn.queue(frames::encode_response(stream, &response));
        client.conn.flush(self.now);
        client.last_used = self.now;
        self.after_client_write(token);
    }

    /// Nobody waits for a request any more: no response is owed, and the router is told.
    pub(super) fn abandon_request(&mut self, id: Id) {
        let Some(active) = self.requests.unfinished_mut(&id) else { return };
        active.is_finished = true;
        self.metrics.abandoned_requests += 1;
        self.admin_metrics.ended(active.metrics_class, End::Error);
        if active.attempt.is_none() {
            self.remove_request(&id);
        }
        self.cancel_unwritten_attempt(&id);
        self.events.push_back(Event::ClientDisconnected { request: id });
    }

    /// Fails a request that has no time left. Every request is answered in time, whatever the router did.
    pub(super) fn fail_overdue_request(&mut self, id: &Id) {
        let is_unanswered = !self.requests.is_finished(id);
        invariant!(!is_unanswered, "the router answers before the client's time ends");
        if is_unanswered {
            self.fail_request(id);
        }
    }

    /// Fails a request from here: its attempt is cancelled if it can be, and the router is told.
    pub(super) fn fail_request(&mut self, id: &Id) {
        self.respond(id, Response::Failed);
        self.cancel_unwritten_attempt(id);
        self.events.push_back(Event::ClientDisconnected { request: id.clone() });
    }

    /// Forgets a request that is over.
    pub(super) fn remove_request(&mut self, id: &Id) {
        if let Some(removed) = self.requests.remove(id) {
            self.classes.request_closed(removed.class);
        }
    }
}
