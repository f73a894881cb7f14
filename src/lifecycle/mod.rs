//! From the start of a process to its end: what it accepts, what its clients are told, when it ends.
//!
//! No input or output, no clock. The driver is `src/proxy/draining.rs`.
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

pub mod startup;
#[cfg(test)]
mod tests;

use crate::routing::events::Micros;

const MICROS_PER_MS: Micros = 1_000;
/// After SIGTERM everything goes on as before for so long: new connections keep coming for 0.4 s, and requests on them
/// for 0.2 s more.
const LINGER: Micros = 900 * MICROS_PER_MS;
/// After SIGTERM the longest deadline is waited for, but no longer than this.
const MAX_DRAIN: Micros = 3_000 * MICROS_PER_MS;
/// What the last answers of a drain may come later than the longest deadline.
const DRAIN_MARGIN: Micros = 400 * MICROS_PER_MS;
/// What the last answers of a drain have to reach their clients.
const DRAIN_FLUSH: Micros = 200 * MICROS_PER_MS;
/// At the very end: what the clients have to see the end of their connections.
const CLOSE_TIMEOUT: Micros = 200 * MICROS_PER_MS;
/// The least of it after the last answers.
const MIN_CLOSE_TIMEOUT: Micros = 50 * MICROS_PER_MS;
/// A connection whose client was told to leave is closed after so long with nothing open: twice the time in which a
/// request that crosses a close is sent again.
pub const LEAVING_IDLE_TIMEOUT: Micros = 100 * MICROS_PER_MS;
/// The same on a connection without a request so far: the one that its client connected for may still be on its way.
const FIRST_REQUEST_TIMEOUT: Micros = 1_000 * MICROS_PER_MS;
/// In standby requests are begun until then: 4 s after the call none may be open that came in the last 2 s.
const STANDBY_BEGINS_UNTIL: Micros = 1_800 * MICROS_PER_MS;
/// In standby a message that is not complete by then ends with its connection, so that none is open at 4 s.
const STANDBY_ENDS_PARTIAL: Micros = 3_500 * MICROS_PER_MS;

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Whether endpoints are listed: without any no client can be served.
    EndpointsListed(bool),
    /// Operators want the instance empty.
    Standby,
    /// Operators want it to take clients again.
    Active,
    /// Another process takes clients at the same address.
    SuccessorServing {
        /// Whether it accepts from the same queue of connections: then one that this process does not accept is not
        /// lost.
        shares_listener: bool,
    },
    /// That process has ended.
    SuccessorEnded,
    /// SIGTERM.
    Terminate {
        /// The longest that a client waits.
        longest_deadline: Micros,
    },
    /// Everything is answered: the connections are closed, then the process ends.
    Close,
}

/// Why an operator's call changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallRefused {
    /// Another process has taken over.
    #[error("replaced: ask the process that has taken over")]
    Replaced,
    /// The process is on its way out.
    #[error("stopping: this process was told to end")]
    Stopping,
}

/// What is still open when the end is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenWork {
    /// Requests without an answer, or answers that are not written.
    pub unanswered: bool,
    /// Messages that have begun to come, or connections that may be waited for.
    pub incoming: bool,
    /// Any client connection.
    pub clients: bool,
}

/// A client connection with nothing open.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection {
    /// Its client was told to leave.
    pub is_leaving: bool,
    /// It has ever had a request.
    pub had_request: bool,
    /// For how long nothing has been open on it.
    pub idle: Micros,
}

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has no list of endpoints yet.
    Starting,
    /// It takes clients.
    Serving,
    /// Operators emptied it.
    Standby,
    /// Another process has taken over.
    Replaced,
    /// It was told to end.
    Stopping,
}

/// Another process takes clients.
#[derive(Clone, Copy, Debug)]
struct Replaced {
    shares_listener: bool,
}

/// The process is to end.
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
    /// Nothing is accepted any more.
    is_closing: bool,
}

impl Lifecycle {
    /// Takes an event. One that comes a second time changes nothing.
    ///
    /// # Errors
    /// A call of the operators that this process can't follow.
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

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        match self {
            Lifecycle { stopping: Some(_), .. } => Phase::Stopping,
            Lifecycle { replaced: Some(_), .. } => Phase::Replaced,
            Lifecycle { standby_since: Some(_), .. } => Phase::Standby,
            Lifecycle { has_endpoints: false, .. } => Phase::Starting,
            _ => Phase::Serving,
        }
    }

    /// Whether this process takes clients: what `status` tells.
    pub fn is_serving(&self) -> bool {
        self.phase() == Phase::Serving
    }

    /// What the front is told. It asks the instance, whichever process it meets.
    pub fn is_ready(&self) -> bool {
        self.is_serving() || self.replaced.is_some()
    }

    /// Whether the successor accepts from this process's queue of connections.
    fn shares_listener(&self) -> bool {
        self.replaced.is_some_and(|replaced| replaced.shares_listener)
    }

    /// Whether connections are accepted. What only this process's listener gets is accepted in any phase: no other
    /// process would.
    pub fn accepts_connections(&self) -> bool {
        !self.is_closing && !self.shares_listener()
    }

    /// Whether clients are told to leave.
    pub fn sends_going_away(&self) -> bool {
        !matches!(self.phase(), Phase::Starting | Phase::Serving)
    }

    /// Whether a connection with nothing open is closed.
    pub fn closes(&self, now: Micros, connection: IdleConnection) -> bool {
        // In a plain stop the end of the process closes it.
        let closes_leaving = self.phase() != Phase::Stopping || self.replaced.is_some();
        let has_to_go =
            (connection.is_leaving && closes_leaving) || self.is_standby_past(now, STANDBY_BEGINS_UNTIL);
        let timeout = if connection.had_request { LEAVING_IDLE_TIMEOUT } else { FIRST_REQUEST_TIMEOUT };
        connection.idle >= timeout && has_to_go
    }

    /// Whether it is in standby, and was told so at least that long ago.
    fn is_standby_past(&self, now: Micros, span: Micros) -> bool {
        self.phase() == Phase::Standby
            && self.standby_since.is_some_and(|since| now.saturating_sub(since) >= span)
    }

    /// Whether a message that is not complete by now ends with its connection.
    pub fn closes_partial_messages(&self, now: Micros) -> bool {
        self.is_standby_past(now, STANDBY_ENDS_PARTIAL)
    }

    /// Whether a request that comes now is begun; else it is refused at once. After the last answers of a drain nobody
    /// would wait for how it ends.
    pub fn admits_requests(&self, now: Micros) -> bool {
        self.drain_deadline().is_none_or(|last| now < last)
            && !self.is_standby_past(now, STANDBY_BEGINS_UNTIL)
    }

    /// When whatever is still open after SIGTERM gets its last answer.
    pub fn drain_deadline(&self) -> Option<Micros> {
        self.stopping.map(|stopping| stopping.drain_deadline)
    }

    /// When the process ends, whether or not its clients have seen the end of their connections by then.
    pub fn exit_deadline(&self, now: Micros) -> Micros {
        let flushed = self.drain_deadline().unwrap_or(now) + DRAIN_FLUSH;
        (now + CLOSE_TIMEOUT).min(flushed.max(now) + MIN_CLOSE_TIMEOUT)
    }

    /// Whether the process may end.
    pub fn may_exit(&self, now: Micros, open: OpenWork) -> bool {
        let Some(Stopping { since, drain_deadline }) = self.stopping else { return false };
        if now >= drain_deadline + DRAIN_FLUSH {
            return true;
        }
        if open.unanswered || open.incoming {
            return false;
        }
        if self.shares_listener() {
            // Nothing new comes here: it may end as soon as all connections have.
            !open.clients
        } else {
            now >= since + LINGER
        }
    }
}
