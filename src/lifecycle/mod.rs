//! State machine of a process from startup to exit: which connections and requests it accepts, when clients are told to
//! disconnect, and when the process exits.
//!
//! The module does no I/O and reads no clock. Its driver is `src/proxy/draining.rs`.
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

pub mod startup;
#[cfg(test)]
mod tests;

use crate::routing::events::Micros;

const MICROS_PER_MS: Micros = 1_000;
/// Minimum time for which the process keeps serving after SIGTERM: new connections arrive for another 0.4 s, and
/// requests on them for 0.2 s more.
const MIN_DRAIN: Micros = 900 * MICROS_PER_MS;
/// Maximum time for which a drain after SIGTERM waits for the longest client deadline.
const MAX_DRAIN: Micros = 3_000 * MICROS_PER_MS;
/// Time by which the last responses of a drain may exceed the longest deadline.
const DRAIN_MARGIN: Micros = 400 * MICROS_PER_MS;
/// Time for the last responses of a drain to reach their clients.
const DRAIN_FLUSH: Micros = 200 * MICROS_PER_MS;
/// Maximum time that clients have to close their side of the connections before the process exits.
const CLOSE_TIMEOUT: Micros = 200 * MICROS_PER_MS;
/// Minimum of that time after the last responses were flushed.
const MIN_CLOSE_TIMEOUT: Micros = 50 * MICROS_PER_MS;
/// Idle time after which a connection whose client was told to leave is closed: twice the time in which a client
/// resends a request that crossed a close.
pub const LEAVING_IDLE_TIMEOUT: Micros = 100 * MICROS_PER_MS;
/// Idle timeout of a connection without any request so far: the request for which the client connected may still be in
/// transit.
const FIRST_REQUEST_TIMEOUT: Micros = 1_000 * MICROS_PER_MS;
/// Time in standby for which new requests are admitted: 4 s after the call, no request that arrived in the last 2 s may
/// be open.
const STANDBY_ADMIT_TIME: Micros = 1_800 * MICROS_PER_MS;
/// Time in standby after which a connection with an incomplete message is closed, so that none is open after 4 s.
const STANDBY_PARTIAL_TIMEOUT: Micros = 3_500 * MICROS_PER_MS;

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Whether the endpoint list has any entry; without one no client can be served.
    EndpointsListed(bool),
    /// An operator asked the instance to drain its clients.
    Standby,
    /// An operator asked the instance to serve clients again.
    Active,
    /// Another process serves clients at the same address.
    SuccessorServing {
        /// Whether the successor accepts from the same listen queue, so that a connection that this process does not
        /// accept is not lost.
        shares_listener: bool,
    },
    /// The successor has exited.
    SuccessorEnded,
    /// SIGTERM was received.
    Terminate {
        /// Longest deadline of any client, in microseconds.
        longest_deadline: Micros,
    },
    /// All requests are answered: the connections are closed, then the process exits.
    Close,
}

/// Why an operator's call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallRefused {
    /// Another process has taken over.
    #[error("replaced: send the call to the process that has taken over")]
    Replaced,
    /// The process is shutting down.
    #[error("stopping: this process is shutting down")]
    Stopping,
}

/// Work that is still open during a drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenWork {
    /// Whether there are requests without a response, or responses that are not fully written.
    pub unanswered: bool,
    /// Whether there are partially received messages, or connections that a client may have opened for a request.
    pub incoming: bool,
    /// Whether there is any client connection.
    pub clients: bool,
}

/// A client connection without open requests.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection {
    /// Whether its client was told to leave.
    pub is_leaving: bool,
    /// Whether a request was ever received on the connection.
    pub had_request: bool,
    /// Time since the last open request, in microseconds.
    pub idle: Micros,
}

/// The phases of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The endpoint list is still empty.
    Starting,
    /// The process serves clients.
    Serving,
    /// An operator asked the instance to drain its clients.
    Standby,
    /// Another process has taken over.
    Replaced,
    /// The process was told to terminate.
    Stopping,
}

/// State after another process has taken over.
#[derive(Clone, Copy, Debug)]
struct Replaced {
    shares_listener: bool,
}

/// State after SIGTERM.
#[derive(Clone, Copy, Debug)]
struct Stopping {
    since: Micros,
    drain_deadline: Micros,
}

/// The state machine of one process.
#[derive(Clone, Debug, Default)]
pub struct Lifecycle {
    has_endpoints: bool,
    standby_since: Option<Micros>,
    replaced: Option<Replaced>,
    stopping: Option<Stopping>,
    /// Whether the connections are being closed; no connection is accepted any more.
    is_closing: bool,
}

impl Lifecycle {
    /// Handles an event. A repeated event changes nothing.
    ///
    /// # Errors
    /// Returns why an operator's call can't be carried out by this process.
    pub fn handle(&mut self, now: Micros, event: Event) -> Result<(), CallRefused> {
        match event {
            Event::EndpointsListed(listed) => self.has_endpoints = listed,
            Event::Standby | Event::Active if self.stopping.is_some() => return Err(CallRefused::Stopping),
            Event::Standby | Event::Active if self.replaced.is_some() => return Err(CallRefused::Replaced),
            Event::Standby => {
                self.standby_since.get_or_insert(now);
            }
            Event::Active => self.standby_since = None,
            Event::SuccessorServing { shares_listener } => {
                self.replaced.get_or_insert(Replaced { shares_listener });
            }
            Event::SuccessorEnded => self.replaced = None,
            Event::Terminate { longest_deadline } => {
                let drain_deadline = now + longest_deadline.min(MAX_DRAIN) + DRAIN_MARGIN;
                self.stopping.get_or_insert(Stopping { since: now, drain_deadline });
            }
            Event::Close => self.is_closing = true,
        }
        Ok(())
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        match self {
            Lifecycle { stopping: Some(_), .. } => Phase::Stopping,
            Lifecycle { replaced: Some(_), .. } => Phase::Replaced,
            Lifecycle { standby_since: Some(_), .. } => Phase::Standby,
            Lifecycle { has_endpoints: false, .. } => Phase::Starting,
            _ => Phase::Serving,
        }
    }

    /// Whether this process serves clients, as reported by `status`.
    pub fn is_serving(&self) -> bool {
        self.phase() == Phase::Serving
    }

    /// Whether readiness checks succeed. A check addresses the instance, whichever of its processes it reaches, so this
    /// process stays ready after a successor has taken over.
    pub fn is_ready(&self) -> bool {
        self.is_serving() || self.replaced.is_some()
    }

    /// Whether the successor accepts from this process's listen queue.
    fn shares_listener(&self) -> bool {
        self.replaced.is_some_and(|replaced| replaced.shares_listener)
    }

    /// Whether connections are accepted. A connection in a listen queue of this process alone is accepted in any phase
    /// until the close, because no other process can accept it.
    pub fn accepts_connections(&self) -> bool {
        !self.is_closing && !self.shares_listener()
    }

    /// Whether clients are told to leave.
    pub fn sends_going_away(&self) -> bool {
        !matches!(self.phase(), Phase::Starting | Phase::Serving)
    }

    /// Whether an idle connection is to be closed.
    pub fn should_close(&self, now: Micros, connection: IdleConnection) -> bool {
        // Without a successor, a stopping process closes the connection when it exits.
        let closes_leaving = self.phase() != Phase::Stopping || self.replaced.is_some();
        let must_close =
            (connection.is_leaving && closes_leaving) || self.is_standby_past(now, STANDBY_ADMIT_TIME);
        let timeout = if connection.had_request { LEAVING_IDLE_TIMEOUT } else { FIRST_REQUEST_TIMEOUT };
        connection.idle >= timeout && must_close
    }

    /// Whether the process has been in standby for at least `span`.
    fn is_standby_past(&self, now: Micros, span: Micros) -> bool {
        self.phase() == Phase::Standby
            && self.standby_since.is_some_and(|since| now.saturating_sub(since) >= span)
    }

    /// Whether connections with an incomplete message are to be closed.
    pub fn closes_partial_messages(&self, now: Micros) -> bool {
        self.is_standby_past(now, STANDBY_PARTIAL_TIMEOUT)
    }

    /// Whether a request that arrives now is admitted; otherwise it is rejected at once. After the drain deadline no
    /// client would wait for the response.
    pub fn admits_requests(&self, now: Micros) -> bool {
        self.drain_deadline().is_none_or(|last| now < last) && !self.is_standby_past(now, STANDBY_ADMIT_TIME)
    }

    /// Returns the time at which requests still open after SIGTERM get their final response.
    pub fn drain_deadline(&self) -> Option<Micros> {
        self.stopping.map(|stopping| stopping.drain_deadline)
    }

    /// Returns the time at which the process exits, whether or not clients have closed their connections by then.
    pub fn exit_deadline(&self, now: Micros) -> Micros {
        let flushed = self.drain_deadline().unwrap_or(now) + DRAIN_FLUSH;
        (now + CLOSE_TIMEOUT).min(flushed.max(now) + MIN_CLOSE_TIMEOUT)
    }

    /// Whether the process may exit.
    pub fn may_exit(&self, now: Micros, open: OpenWork) -> bool {
        let Some(Stopping { since, drain_deadline }) = self.stopping else { return false };
        if now >= drain_deadline + DRAIN_FLUSH {
            return true;
        }
        if open.unanswered || open.incoming {
            return false;
        }
        if self.shares_listener() {
            // This process gets no new connections: it may exit as soon as all existing ones are closed.
            !open.clients
        } else {
            now >= since + MIN_DRAIN
        }
    }
}
