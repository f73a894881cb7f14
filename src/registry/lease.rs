//! Leader election for the planner: the leader is the instance that created the planner's key under its lease. The key
//! is created only if it does not exist.
//!
//! A state machine without clock and sockets: [`super::documents::driver`] passes in the time, the mirrored state of the
//! key and the replies to calls, and executes the returned actions.
//!
//! ```text
//!            key gone, claim due         granted        committed, or own key in the mirror
//!  Following ------------------> Granting -----> Claiming ------------------> Leading
//!      ^                            |               |                            |
//!      |                            +-- no lease    +-- key lost, or expired     +-- expired, key lost, resigned
//!      +------ wait over ------ Lost <--------------+----------------------------+
//! ```
//!
//! Invariants:
//!
//! - A former leader can't change any document. Every transaction of the leader is [`fenced`]: it requires the revision
//!   at which the leader's key was created, which differs for every successor's key.
//! - No instance considers itself the leader after its lease has expired. The lease time counts from the sending of the
//!   request rather than from the response, less a margin. The current time is checked at each use of the lease, so a
//!   paused process does not rely on an expired lease.

#[cfg(test)]
mod tests;

use super::documents::{Condition, Document, Outcome, Reply, Request, Transaction};
use crate::routing::events::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Key of the planner, relative to the prefix. The value is the name of the leading instance.
pub const PLANNER_KEY: &str = "planner";
/// Divisor of the lease time for the safety margin at its end, because clocks may run at different rates.
const EXPIRY_MARGIN_DIVISOR: Micros = 8;
/// Divisor of the lease time for the interval of keep-alives.
const KEEP_ALIVE_DIVISOR: Micros = 3;
/// Divisor of the lease time for the delay before a failed step is retried.
const RETRY_DIVISOR: Micros = 10;
/// Maximum number of characters of another leader's name in a notice.
const MAX_NAME_CHARS: usize = 100;
const SECOND: Micros = 1_000_000;

/// Adds a condition to the transaction: it is committed only while the planner's key is the one created at revision
/// `fence`.
pub fn fenced(mut transaction: Transaction, fence: i64) -> Transaction {
    transaction.compares.push((PLANNER_KEY.to_owned(), Condition::CreateRevision(fence)));
    transaction
}

/// State of the planner's key in the mirror.
#[derive(Clone, Copy, Debug)]
pub struct MirrorView<'a> {
    /// Document of the key, if the key exists.
    pub holder: Option<&'a Document>,
    /// Revision of the mirror; 0 before the first list.
    pub revision: i64,
    /// Latest time at which the mirror is known to have been current.
    pub confirmed: Option<Micros>,
    /// Whether the mirror was confirmed recently.
    pub is_current: bool,
}

/// An action for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the registry. The reply is passed to [`Campaign::reply_received`] with the same id.
    Call {
        /// Id of the call.
        id: u64,
        /// Request to send.
        request: Request,
    },
    /// Write a notice to the log.
    Notify(Notice),
}

/// A notice for the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Another instance with this name leads, or none does.
    PlannerChanged(Option<String>),
    /// This instance was elected leader.
    Elected {
        /// Revision at which its key was created.
        fence: i64,
    },
    /// This instance lost the leadership, or failed to become the leader.
    Lost(LossReason),
}

/// Reason why an instance lost the leadership or failed to become the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// The lease may have expired by this instance's own clock.
    LeaseExpired,
    /// The registry reports that the lease does not exist any more.
    LeaseNotFound,
    /// The key was deleted, or another instance holds it.
    KeyLost,
    /// The campaign was disabled.
    Resigned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    /// The key is observed until it is gone.
    Following {
        /// When this instance requests a lease, if the key is gone.
        claim_at: Option<Micros>,
    },
    /// A lease was requested.
    Granting { call: u64, sent_at: Micros },
    /// A lease was granted, and the creation of the key was requested.
    Claiming {
        lease: i64,
        /// When the lease may expire.
        until: Micros,
        /// The call that creates the key; `None` after it ended with an unknown result.
        call: Option<u64>,
        /// Time of the call or of its unknown result. Only a mirror that was confirmed later shows the result.
        unresolved_since: Micros,
    },
    /// This instance holds the key.
    Leading {
        lease: i64,
        fence: i64,
        /// When the lease may expire.
        until: Micros,
        /// Id and sending time of the keep-alive in flight.
        keep_alive: Option<(u64, Micros)>,
        /// When the next keep-alive is due.
        keep_alive_at: Micros,
    },
    /// Leadership or a claim was lost; the next attempt waits.
    Lost {
        /// End of the wait, during which other instances can claim the key first.
        until: Micros,
    },
}

/// A fault that tests inject to verify that the model checker detects it.
#[cfg(test)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Relies on the lease until the registry reports its end.
    IgnoresLeaseExpiry,
    /// Counts the lease time from the arrival of the response.
    CountsLeaseFromReply,
    /// Treats a claim without a response as committed.
    TreatsUnknownAsCommitted,
}

/// An instance's campaign for the planner's key.
#[derive(Clone, Debug)]
pub struct Campaign {
    name: String,
    lease: Micros,
    claim_spread: Micros,
    rng: Pcg32,
    enabled: bool,
    state: State,
    /// Create revision of the planner's key in the last notice; 0 if the notice said that no instance leads.
    reported_revision: Option<i64>,
    last_call_id: u64,
    /// Fault injected by a test.
    #[cfg(test)]
    pub fault: Option<Fault>,
}

impl Campaign {
    /// Creates a disabled campaign for an instance with this name. Each claim is delayed randomly by up to
    /// `claim_spread`, so that not all instances claim the key at once.
    pub fn new(name: &str, lease: Micros, claim_spread: Micros, seed: u64) -> Self {
        Campaign {
            name: name.to_owned(),
            lease,
            claim_spread,
            rng: Pcg32::seed_from_u64(seed),
            enabled: false,
            state: State::Following { claim_at: None },
            reported_revision: None,
            last_call_id: 0,
            #[cfg(test)]
            fault: None,
        }
    }

    /// Sets whether this instance competes for the leadership. A disabled campaign has no fence from now on, and resigns
    /// at the next tick.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
    }

    /// Returns the create revision of the planner's key while this instance leads.
    pub fn fence(&self, now: Micros) -> Option<i64> {
        match self.state {
            State::Leading { fence, until, .. } if self.enabled && self.is_lease_valid(now, until) => {
                Some(fence)
            }
            _ => None,
        }
    }

    fn is_lease_valid(&self, now: Micros, until: Micros) -> bool {
        #[cfg(test)]
        if self.fault == Some(Fault::IgnoresLeaseExpiry) {
            return true;
        }
        now < until
    }

    /// Time at which the next tick is due without further input.
    pub fn next_due(&self) -> Micros {
        match self.state {
            State::Following { claim_at } => claim_at.unwrap_or(Micros::MAX),
            State::Granting { .. } => Micros::MAX,
            State::Claiming { until, .. } | State::Lost { until } => until,
            State::Leading { until, keep_alive: None, keep_alive_at, .. } => until.min(keep_alive_at),
            State::Leading { until, .. } => until,
        }
    }

    /// Adds a call to the actions and returns its id.
    fn add_call(&mut self, request: Request, actions: &mut Vec<Action>) -> u64 {
        self.last_call_id += 1;
        actions.push(Action::Call { id: self.last_call_id, request });
        self.last_call_id
    }

    /// Advances the campaign after time has passed or the mirror has changed.
    pub fn tick(&mut self, now: Micros, view: &MirrorView, actions: &mut Vec<Action>) {
        if !self.enabled {
            if let State::Claiming { lease, .. } | State::Leading { lease, .. } = self.state {
                self.step_down(now, lease, LossReason::Resigned, actions);
            }
        }
        self.report_planner(view, actions);
        match self.state {
            State::Following { claim_at } => self.tick_following(now, claim_at, view, actions),
            State::Granting { .. } => {}
            State::Claiming { lease, until, .. } if !self.is_lease_valid(now, until) => {
                self.step_down(now, lease, LossReason::LeaseExpired, actions);
            }
            State::Claiming { call: Some(_), .. } => {}
            State::Claiming { lease, until, unresolved_since, call: None } => {
                if view.confirmed.is_some_and(|confirmed| confirmed > unresolved_since) {
                    self.resolve_claim(now, lease, until, view, actions);
                }
            }
            State::Leading { lease, fence, until, keep_alive, keep_alive_at } => {
                // A mirror that is older than this instance's claim does not show the claimed key yet.
                let shows_claim = view.revision >= fence;
                let holder = view.holder.map(|holder| holder.create_revision);
                if !self.is_lease_valid(now, until) {
                    self.step_down(now, lease, LossReason::LeaseExpired, actions);
                } else if shows_claim && holder != Some(fence) {
                    self.step_down(now, lease, LossReason::KeyLost, actions);
                } else if keep_alive.is_none() && now >= keep_alive_at {
                    let call = self.add_call(Request::KeepAlive(lease), actions);
                    let keep_alive = Some((call, now));
                    self.state = State::Leading { lease, fence, until, keep_alive, keep_alive_at };
                }
            }
            State::Lost { until } if now >= until => self.state = State::Following { claim_at: None },
            State::Lost { .. } => {}
        }
    }

    /// Derives the result of a claim without a response from a mirror that was confirmed later.
    fn resolve_claim(
        &mut self,
        now: Micros,
        lease: i64,
        until: Micros,
        view: &MirrorView,
        actions: &mut Vec<Action>,
    ) {
        match view.holder {
            Some(own) if own.lease == lease => {
                self.start_leading(now, lease, own.create_revision, until, actions)
            }
            Some(_) => self.step_down(now, lease, LossReason::KeyLost, actions),
            None => self.send_claim(now, lease, until, actions),
        }
    }

    fn tick_following(
        &mut self,
        now: Micros,
        claim_at: Option<Micros>,
        view: &MirrorView,
        actions: &mut Vec<Action>,
    ) {
        if !self.enabled || view.holder.is_some() || !view.is_current {
            self.state = State::Following { claim_at: None };
            return;
        }
        let claim_at =
            claim_at.unwrap_or_else(|| now.saturating_add(self.rng.random_range(0..=self.claim_spread)));
        self.state = State::Following { claim_at: Some(claim_at) };
        if now >= claim_at {
            let ttl = i64::try_from(self.lease.div_ceil(SECOND).max(1)).unwrap_or(i64::MAX);
            let call = self.add_call(Request::Grant(ttl), actions);
            self.state = State::Granting { call, sent_at: now };
        }
    }

    fn send_claim(&mut self, now: Micros, lease: i64, until: Micros, actions: &mut Vec<Action>) {
        let transaction = Transaction {
            compares: vec![(PLANNER_KEY.to_owned(), Condition::CreateRevision(0))],
            puts: vec![(PLANNER_KEY.to_owned(), self.name.clone().into_bytes())],
            deletes: Vec::new(),
        };
        let call = Some(self.add_call(Request::Transaction(transaction, lease), actions));
        self.state = State::Claiming { lease, until, call, unresolved_since: now };
    }

    fn start_leading(
        &mut self,
        now: Micros,
        lease: i64,
        fence: i64,
        until: Micros,
        actions: &mut Vec<Action>,
    ) {
        let keep_alive_at = now.saturating_add(self.lease / KEEP_ALIVE_DIVISOR).min(until);
        self.state = State::Leading { lease, fence, until, keep_alive: None, keep_alive_at };
        self.reported_revision = None;
        actions.push(Action::Notify(Notice::Elected { fence }));
    }

    fn step_down(&mut self, now: Micros, lease: i64, reason: LossReason, actions: &mut Vec<Action>) {
        self.add_call(Request::Revoke(lease), actions);
        actions.push(Action::Notify(Notice::Lost(reason)));
        let until = self.next_attempt_at(now);
        self.state = State::Lost { until };
    }

    /// Time of the next attempt after a failure at `now`.
    fn next_attempt_at(&mut self, now: Micros) -> Micros {
        now.saturating_add(self.lease / RETRY_DIVISOR + self.rng.random_range(0..=self.claim_spread))
    }

    /// Reports the current leader, once for each creation or deletion of the key.
    fn report_planner(&mut self, view: &MirrorView, actions: &mut Vec<Action>) {
        if !matches!(self.state, State::Following { .. }) || view.revision == 0 {
            return;
        }
        let create_revision = view.holder.map_or(0, |holder| holder.create_revision);
        if self.reported_revision == Some(create_revision) {
            return;
        }
        self.reported_revision = Some(create_revision);
        let name =
            |holder: &Document| String::from_utf8_lossy(&holder.value).chars().take(MAX_NAME_CHARS).collect();
        actions.push(Action::Notify(Notice::PlannerChanged(view.holder.map(name))));
    }

    /// Time until which a lease is relied on that was requested at `sent_at` and confirmed at `_replied_at`. The lease
    /// time counts from `sent_at`, because the registry may have started the lease right then.
    fn lease_valid_until(&self, sent_at: Micros, _replied_at: Micros, ttl: Micros) -> Micros {
        #[cfg(test)]
        let sent_at = if self.fault == Some(Fault::CountsLeaseFromReply) { _replied_at } else { sent_at };
        sent_at.saturating_add(ttl - ttl / EXPIRY_MARGIN_DIVISOR)
    }

    /// Handles the reply to a call.
    pub fn reply_received(&mut self, now: Micros, id: u64, reply: Reply, actions: &mut Vec<Action>) {
        match self.state {
            State::Granting { call, sent_at } if call == id => {
                self.grant_reply_received(now, sent_at, reply, actions)
            }
            State::Claiming { lease, until, call: Some(call), .. } if call == id => {
                self.claim_reply_received(now, lease, until, reply, actions);
            }
            State::Leading { keep_alive: Some((call, sent_at)), .. } if call == id => {
                self.keep_alive_reply_received(now, sent_at, reply, actions);
            }
            _ => {}
        }
    }

    fn grant_reply_received(
        &mut self,
        now: Micros,
        sent_at: Micros,
        reply: Reply,
        actions: &mut Vec<Action>,
    ) {
        match reply {
            Reply::Granted { lease, .. } if !self.enabled => {
                self.step_down(now, lease, LossReason::Resigned, actions);
            }
            Reply::Granted { lease, ttl } => {
                let until = self.lease_valid_until(sent_at, now, ttl);
                self.send_claim(now, lease, until, actions);
            }
            _ => {
                let claim_at = self.next_attempt_at(now);
                self.state = State::Following { claim_at: Some(claim_at) };
            }
        }
    }

    fn claim_reply_received(
        &mut self,
        now: Micros,
        lease: i64,
        until: Micros,
        reply: Reply,
        actions: &mut Vec<Action>,
    ) {
        match reply {
            Reply::Outcome(Outcome::Committed { revision }) if self.is_lease_valid(now, until) => {
                self.start_leading(now, lease, revision, until, actions);
            }
            Reply::Outcome(Outcome::Committed { .. }) => {
                self.step_down(now, lease, LossReason::LeaseExpired, actions);
            }
            #[cfg(test)]
            Reply::Outcome(Outcome::Unknown) if self.fault == Some(Fault::TreatsUnknownAsCommitted) => {
                self.start_leading(now, lease, i64::MAX, until, actions);
            }
            // A compare may also fail because an earlier claim of this instance was committed and its response lost;
            // the mirror shows which key exists.
            _ => self.state = State::Claiming { lease, until, call: None, unresolved_since: now },
        }
    }

    fn keep_alive_reply_received(
        &mut self,
        now: Micros,
        sent_at: Micros,
        reply: Reply,
        actions: &mut Vec<Action>,
    ) {
        let State::Leading { lease, fence, until, .. } = self.state else { return };
        let (until, keep_alive_at) = match reply {
            Reply::KeptAlive { ttl: 0 } => {
                return self.step_down(now, lease, LossReason::LeaseNotFound, actions);
            }
            Reply::KeptAlive { ttl } => {
                let renewed = self.lease_valid_until(sent_at, now, ttl);
                (until.max(renewed), sent_at.saturating_add(ttl / KEEP_ALIVE_DIVISOR))
            }
            _ => (until, now.saturating_add(self.lease / RETRY_DIVISOR)),
        };
        self.state = State::Leading { lease, fence, until, keep_alive: None, keep_alive_at };
    }
}
