//! One planner at a time: a key that is created with a lease, and only if it is not there.
//!
//! A state machine without clock and sockets: [`super::documents::driver`] hands it the time, what the mirror shows and
//! the replies to its calls, and carries out the calls and notices that it returns.
//!
//! ```text
//!             key gone, own turn         granted            committed, or seen as own
//!  Following ------------------> Granting -----> Claiming ------------------> Leading
//!      ^                            |               |                            |
//!      |                            +-- no lease    +-- another's, or too late   +-- expired, gone, resigned
//!      +-------- rested ------- Lost <--------------+----------------------------+
//! ```
//!
//! Invariants:
//!
//! - An instance that is not the planner any more changes nothing. Each of a planner's transactions is [`fenced`]: it
//!   compares the revision at which the planner's key was created, which no successor's key has.
//! - No instance believes that it leads after its lease has expired. The lease is counted from when a call for it was
//!   made, not from the answer, less a margin; and the present time is checked at each use, so that a pause of the
//!   process changes nothing.

#[cfg(test)]
mod tests;

use super::documents::{Condition, Document, Outcome, Reply, Request, Transaction};
use crate::routing::events::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// The planner's key, below the prefix. Its value is the planner's name.
pub const PLANNER_KEY: &str = "planner";
/// Part of the lease that is not relied on, because clocks may run at different rates.
const MARGIN_PART: Micros = 8;
/// Part of the lease after which it is kept alive.
const KEEP_ALIVE_PART: Micros = 3;
/// Part of the lease after which what failed is tried again.
const RETRY_PART: Micros = 10;
/// Characters of another planner's name that are reported.
const MAX_NAME_CHARS: usize = 100;
const SECOND: Micros = 1_000_000;

/// Adds the fence: the transaction changes nothing unless the planner's key is still the one made at this revision.
pub fn fenced(mut transaction: Transaction, fence: i64) -> Transaction {
    transaction.compares.push((PLANNER_KEY.to_owned(), Condition::CreateRevision(fence)));
    transaction
}

/// What the mirror shows of the planner's key.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The key, if it is there.
    pub holder: Option<&'a Document>,
    /// The revision of the mirror.
    pub revision: i64,
    /// As of when the mirror was last known to be current.
    pub confirmed: Option<Micros>,
    /// Whether that is recent.
    pub current: bool,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the registry; the reply comes back under this number.
    Call {
        /// Its number.
        id: u64,
        /// The request.
        request: Request,
    },
    /// Write a notice to the log.
    Notify(Notice),
}

/// A notice for the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Another instance is the planner now, or none is.
    Follows(Option<String>),
    /// This instance is the planner.
    Leads {
        /// The revision at which its key was created.
        fence: i64,
    },
    /// It is the planner no more, or did not become it.
    Lost(LossReason),
}

/// Why an instance is the planner no more, or did not become it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// The lease may have expired by this instance's own clock.
    LeaseExpired,
    /// The registry has no such lease any more.
    LeaseNotFound,
    /// The key was deleted, or is another instance's.
    KeyLost,
    /// It was switched off.
    Resigned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Following {
        /// When its turn comes, if the key is gone.
        turn: Option<Micros>,
    },
    Granting {
        call: u64,
        sent: Micros,
    },
    Claiming {
        lease: i64,
        until: Micros,
        call: Option<u64>,
        /// Only a mirror that was confirmed later tells how the call ended.
        since: Micros,
    },
    Leading {
        lease: i64,
        fence: i64,
        until: Micros,
        keeping: Option<(u64, Micros)>,
        keep: Micros,
    },
    Lost {
        /// Others have the first chance until then.
        until: Micros,
    },
}

/// A planted fault, so that tests see that the checkers find one.
#[cfg(test)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Leads on until it is told otherwise, however late.
    BelievesStaleLease,
    /// Counts a lease from when the answer came.
    CountsFromAnswer,
    /// Takes a claim without answer for one that was committed.
    BelievesUnknown,
}

/// One instance's campaign.
#[derive(Clone, Debug)]
pub struct Campaign {
    name: String,
    lease: Micros,
    spread: Micros,
    rng: Pcg32,
    enabled: bool,
    state: State,
    /// The create revision of the planner's key that was reported last; 0: that there is none.
    reported: Option<i64>,
    last_call: u64,
    /// The fault that a test has planted.
    #[cfg(test)]
    pub fault: Option<Fault>,
}

impl Campaign {
    /// One for an instance of this name, not switched on. Claims of many instances are spread over `spread`.
    pub fn new(name: &str, lease: Micros, spread: Micros, seed: u64) -> Self {
        Campaign {
            name: name.to_owned(),
            lease,
            spread,
            rng: Pcg32::seed_from_u64(seed),
            enabled: false,
            state: State::Following { turn: None },
            reported: None,
            last_call: 0,
            #[cfg(test)]
            fault: None,
        }
    }

    /// Sets whether it is to become and stay the planner. Switched off, it resigns at its next tick, and has no fence
    /// from now on.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
    }

    /// The revision of the planner's key, if this instance is the planner now.
    pub fn fence(&self, now: Micros) -> Option<i64> {
        match self.state {
            State::Leading { fence, until, .. } if self.enabled && self.holds(now, until) => Some(fence),
            _ => None,
        }
    }

    fn holds(&self, now: Micros, until: Micros) -> bool {
        #[cfg(test)]
        if self.fault == Some(Fault::BelievesStaleLease) {
            return true;
        }
        now < until
    }

    /// When something is due without any input.
    pub fn next_due(&self) -> Micros {
        match self.state {
            State::Following { turn } => turn.unwrap_or(Micros::MAX),
            State::Granting { .. } => Micros::MAX,
            State::Claiming { until, .. } | State::Lost { until } => until,
            State::Leading { until, keeping: None, keep, .. } => until.min(keep),
            State::Leading { until, .. } => until,
        }
    }

    /// Makes a call; returns its number.
    fn call(&mut self, request: Request, actions: &mut Vec<Action>) -> u64 {
        self.last_call += 1;
        actions.push(Action::Call { id: self.last_call, request });
        self.last_call
    }

    /// Time has passed, or the mirror has changed.
    pub fn tick(&mut self, now: Micros, view: &View, actions: &mut Vec<Action>) {
        if !self.enabled {
            if let State::Claiming { lease, .. } | State::Leading { lease, .. } = self.state {
                self.give_up(now, lease, LossReason::Resigned, actions);
            }
        }
        self.report_planner(view, actions);
        match self.state {
            State::Following { turn } => self.follow(now, turn, view, actions),
            State::Granting { .. } => {}
            State::Claiming { lease, until, .. } if !self.holds(now, until) => {
                self.give_up(now, lease, LossReason::LeaseExpired, actions);
            }
            State::Claiming { call: Some(_), .. } => {}
            State::Claiming { lease, until, since, call: None } => {
                if view.confirmed.is_some_and(|confirmed| confirmed > since) {
                    self.resolve_claim(now, lease, until, view, actions);
                }
            }
            State::Leading { lease, fence, until, keeping, keep } => {
                // A mirror that is older than the own claim says nothing about it.
                let is_current = view.revision >= fence;
                let holder = view.holder.map(|holder| holder.create_revision);
                if !self.holds(now, until) {
                    self.give_up(now, lease, LossReason::LeaseExpired, actions);
                } else if is_current && holder != Some(fence) {
                    self.give_up(now, lease, LossReason::KeyLost, actions);
                } else if keeping.is_none() && now >= keep {
                    let call = self.call(Request::KeepAlive(lease), actions);
                    let keeping = Some((call, now));
                    self.state = State::Leading { lease, fence, until, keeping, keep };
                }
            }
            State::Lost { until } if now >= until => self.state = State::Following { turn: None },
            State::Lost { .. } => {}
        }
    }

    /// Concludes from a later mirror what became of a claim without answer.
    fn resolve_claim(
        &mut self,
        now: Micros,
        lease: i64,
        until: Micros,
        view: &View,
        actions: &mut Vec<Action>,
    ) {
        match view.holder {
            Some(own) if own.lease == lease => self.lead(now, lease, own.create_revision, until, actions),
            Some(_) => self.give_up(now, lease, LossReason::KeyLost, actions),
            None => self.claim(now, lease, until, actions),
        }
    }

    fn follow(&mut self, now: Micros, turn: Option<Micros>, view: &View, actions: &mut Vec<Action>) {
        if !self.enabled || view.holder.is_some() || !view.current {
            self.state = State::Following { turn: None };
            return;
        }
        let turn = turn.unwrap_or_else(|| now.saturating_add(self.rng.random_range(0..=self.spread)));
        self.state = State::Following { turn: Some(turn) };
        if now >= turn {
            let ttl = i64::try_from(self.lease.div_ceil(SECOND).max(1)).unwrap_or(i64::MAX);
            let call = self.call(Request::Grant(ttl), actions);
            self.state = State::Granting { call, sent: now };
        }
    }

    fn claim(&mut self, now: Micros, lease: i64, until: Micros, actions: &mut Vec<Action>) {
        let transaction = Transaction {
            compares: vec![(PLANNER_KEY.to_owned(), Condition::CreateRevision(0))],
            puts: vec![(PLANNER_KEY.to_owned(), self.name.clone().into_bytes())],
            deletes: Vec::new(),
        };
        let call = Some(self.call(Request::Transaction(transaction, lease), actions));
        self.state = State::Claiming { lease, until, call, since: now };
    }

    fn lead(&mut self, now: Micros, lease: i64, fence: i64, until: Micros, actions: &mut Vec<Action>) {
        let keep = now.saturating_add(self.lease / KEEP_ALIVE_PART).min(until);
        self.state = State::Leading { lease, fence, until, keeping: None, keep };
        self.reported = None;
        actions.push(Action::Notify(Notice::Leads { fence }));
    }

    fn give_up(&mut self, now: Micros, lease: i64, reason: LossReason, actions: &mut Vec<Action>) {
        self.call(Request::Revoke(lease), actions);
        actions.push(Action::Notify(Notice::Lost(reason)));
        let until = self.next_attempt(now);
        self.state = State::Lost { until };
    }

    /// When what failed now is tried again.
    fn next_attempt(&mut self, now: Micros) -> Micros {
        now.saturating_add(self.lease / RETRY_PART + self.rng.random_range(0..=self.spread))
    }

    /// Reports who the planner is, once for each.
    fn report_planner(&mut self, view: &View, actions: &mut Vec<Action>) {
        if !matches!(self.state, State::Following { .. }) || view.revision == 0 {
            return;
        }
        let create_revision = view.holder.map_or(0, |holder| holder.create_revision);
        if self.reported == Some(create_revision) {
            return;
        }
        self.reported = Some(create_revision);
        let name =
            |holder: &Document| String::from_utf8_lossy(&holder.value).chars().take(MAX_NAME_CHARS).collect();
        actions.push(Action::Notify(Notice::Follows(view.holder.map(name))));
    }

    /// Until when a lease is relied on that was requested at `sent` and confirmed at `_answered`. Only the first
    /// counts: the registry may have begun to count just then.
    fn relied_until(&self, sent: Micros, _answered: Micros, ttl: Micros) -> Micros {
        #[cfg(test)]
        let sent = if self.fault == Some(Fault::CountsFromAnswer) { _answered } else { sent };
        sent.saturating_add(ttl - ttl / MARGIN_PART)
    }

    /// The reply to a call has arrived.
    pub fn replied(&mut self, now: Micros, id: u64, reply: Reply, actions: &mut Vec<Action>) {
        match self.state {
            State::Granting { call, sent } if call == id => self.grant_replied(now, sent, reply, actions),
            State::Claiming { lease, until, call: Some(call), .. } if call == id => {
                self.claim_replied(now, lease, until, reply, actions);
            }
            State::Leading { keeping: Some((call, sent)), .. } if call == id => {
                self.keep_alive_replied(now, sent, reply, actions);
            }
            _ => {}
        }
    }

    fn grant_replied(&mut self, now: Micros, sent: Micros, reply: Reply, actions: &mut Vec<Action>) {
        match reply {
            Reply::Granted { lease, .. } if !self.enabled => {
                self.give_up(now, lease, LossReason::Resigned, actions);
            }
            Reply::Granted { lease, ttl } => {
                let until = self.relied_until(sent, now, ttl);
                self.claim(now, lease, until, actions);
            }
            _ => {
                let turn = self.next_attempt(now);
                self.state = State::Following { turn: Some(turn) };
            }
        }
    }

    fn claim_replied(
        &mut self,
        now: Micros,
        lease: i64,
        until: Micros,
        reply: Reply,
        actions: &mut Vec<Action>,
    ) {
        match reply {
            Reply::Outcome(Outcome::Committed { revision }) if self.holds(now, until) => {
                self.lead(now, lease, revision, until, actions);
            }
            Reply::Outcome(Outcome::Committed { .. }) => {
                self.give_up(now, lease, LossReason::LeaseExpired, actions);
            }
            #[cfg(test)]
            Reply::Outcome(Outcome::Unknown) if self.fault == Some(Fault::BelievesUnknown) => {
                self.lead(now, lease, i64::MAX, until, actions);
            }
            // A compare may have failed because of the own claim before, whose answer was lost: the mirror tells.
            _ => self.state = State::Claiming { lease, until, call: None, since: now },
        }
    }

    fn keep_alive_replied(&mut self, now: Micros, sent: Micros, reply: Reply, actions: &mut Vec<Action>) {
        let State::Leading { lease, fence, until, .. } = self.state else { return };
        let (until, keep) = match reply {
            Reply::KeptAlive { ttl: 0 } => {
                return self.give_up(now, lease, LossReason::LeaseNotFound, actions);
            }
            Reply::KeptAlive { ttl } => {
                let renewed = self.relied_until(sent, now, ttl);
                (until.max(renewed), sent.saturating_add(ttl / KEEP_ALIVE_PART))
            }
            _ => (until, now.saturating_add(self.lease / RETRY_PART)),
        };
        self.state = State::Leading { lease, fence, until, keeping: None, keep };
    }
}
