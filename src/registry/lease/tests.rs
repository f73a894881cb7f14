//! All that can happen to two instances that campaign, a registry that ends leases, and answers that are lost.

use super::*;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::hash::{Hash, Hasher};

/// A lease lasts so long; it is relied on for seven eighths of it.
const LEASE: Micros = 2 * SECOND;

/// The registry, as far as the planner's key goes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Store {
    revision: i64,
    /// The planner's key and whose it is.
    key: Option<(Document, usize)>,
    /// Leases with their ends.
    leases: Vec<(i64, Micros)>,
    granted: i64,
}

impl Store {
    fn end(&mut self, over: impl Fn(&(i64, Micros)) -> bool) {
        self.leases.retain(|l| !over(l));
        let there = |lease| self.leases.iter().any(|l| l.0 == lease);
        if self.key.as_ref().is_some_and(|k| !there(k.0.lease)) {
            self.revision += 1;
            self.key = None;
        }
    }

    fn carry_out(&mut self, now: Micros, who: usize, request: &Request) -> Reply {
        match request {
            Request::Grant(ttl) => {
                self.granted += 1;
                let ttl = *ttl as Micros * SECOND;
                self.leases.push((self.granted, now + ttl));
                Reply::Granted { lease: self.granted, ttl }
            }
            Request::KeepAlive(lease) => {
                let kept = self.leases.iter_mut().find(|l| l.0 == *lease).map(|l| l.1 = now + LEASE);
                Reply::KeptAlive { ttl: kept.map_or(0, |()| LEASE) }
            }
            Request::Revoke(lease) => {
                self.end(|l| l.0 == *lease);
                Reply::Revoked
            }
            Request::Transaction(_, lease) if !self.leases.iter().any(|l| l.0 == *lease) => {
                Reply::Outcome(Outcome::NotSent)
            }
            Request::Transaction(..) if self.key.is_some() => Reply::Outcome(Outcome::CompareFailed),
            Request::Transaction(t, lease) => {
                assert_eq!(t.compares, [(PLANNER_KEY.to_owned(), Condition::CreateRevision(0))]);
                self.revision += 1;
                let revision = self.revision;
                let value = t.puts[0].1.clone();
                self.key = Some((
                    Document { value, mod_revision: revision, create_revision: revision, lease: *lease },
                    who,
                ));
                Reply::Outcome(Outcome::Committed { revision })
            }
        }
    }
}

#[derive(Clone)]
struct Planner {
    campaign: Campaign,
    /// Calls on their way; of one that is `false` the answer is lost, and it may still be carried out.
    calls: Vec<(u64, Request, bool)>,
    replies: Vec<(u64, Reply)>,
    seen: (Option<Document>, i64, Option<Micros>),
    /// A write on its way, with its fence.
    write: Option<i64>,
}

impl Planner {
    fn print(&self) -> impl Hash + PartialEq {
        // Numbers of calls matter by comparison only.
        let back = |id: u64| self.campaign.last_call - id;
        let calls: Vec<_> = self.calls.iter().map(|c| (back(c.0), c.1.clone(), c.2)).collect();
        let replies: Vec<_> = self.replies.iter().map(|r| (back(r.0), r.1)).collect();
        let state = match self.campaign.state {
            State::Granting { call, sent } => State::Granting { call: back(call), sent },
            State::Claiming { lease, until, call, since } => {
                State::Claiming { lease, until, call: call.map(back), since }
            }
            State::Leading { lease, fence, until, keeping, keep } => {
                let keeping = keeping.map(|k| (back(k.0), k.1));
                State::Leading { lease, fence, until, keeping, keep }
            }
            other => other,
        };
        (state, self.campaign.enabled, calls, replies, self.seen.clone(), self.write)
    }

    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Call { id, request } = action {
                self.calls.push((id, request, true));
            }
        }
    }
}

#[derive(Clone)]
struct World {
    now: Micros,
    store: Store,
    planners: Vec<Planner>,
    lost: u8,
    led: [bool; 2],
    /// A write was committed by one who did not hold the planner's key.
    stolen: bool,
}

impl World {
    fn print(&self) -> impl Hash + PartialEq {
        let planners: Vec<_> = self.planners.iter().map(Planner::print).collect();
        (self.now, self.store.clone(), planners, self.lost, self.led, self.stolen)
    }

    /// One that believes that it leads, and does not hold the key.
    fn deluded(&self) -> bool {
        let holds = |(who, p): (usize, &Planner)| match p.campaign.fence(self.now) {
            None => true,
            Some(fence) => {
                self.store.key.as_ref().is_some_and(|k| k.1 == who && k.0.create_revision == fence)
            }
        };
        !self.planners.iter().enumerate().all(holds)
    }
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let states: Vec<_> = self.planners.iter().map(|p| p.campaign.state).collect();
        write!(f, "{} {:?} {states:?}", self.now / SECOND, self.store)
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.print() == other.print()
    }
}
impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.print().hash(state);
    }
}

/// What may happen next; the number says to whom.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// A second passes for all; who has no step meanwhile was paused.
    Pass,
    Tick(usize),
    /// The mirror becomes current.
    See(usize),
    /// The registry carries a call out.
    Call(usize),
    /// The connection breaks before the answer; the call may be carried out later, or never.
    Lose(usize),
    Hear(usize),
    /// It believes that it leads, and sends a write. Only the first does: the two are alike.
    Write(usize),
    /// The write reaches the registry, however late.
    Commit(usize),
    Resign,
}

struct Check {
    fault: Option<Fault>,
    fenced: bool,
    span: Micros,
    losses: u8,
    resigns: bool,
}

impl Model for Check {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let planner = |name: &str| {
            let mut campaign = Campaign::new(name, LEASE, 0, 1);
            campaign.fault = self.fault;
            campaign.set_enabled(true);
            Planner { campaign, calls: vec![], replies: vec![], seen: (None, 1, Some(0)), write: None }
        };
        vec![World {
            now: SECOND,
            store: Store { revision: 1, ..Store::default() },
            planners: vec![planner("a"), planner("b")],
            lost: 0,
            led: [false; 2],
            stolen: false,
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        if w.now < self.span {
            steps.push(Step::Pass);
        }
        if self.resigns && w.planners[0].campaign.enabled && w.led[0] {
            steps.push(Step::Resign);
        }
        for (who, p) in w.planners.iter().enumerate() {
            steps.push(Step::Tick(who));
            let key = w.store.key.as_ref().map(|k| &k.0);
            if p.seen.0.as_ref() != key || matches!(p.campaign.state, State::Claiming { call: None, .. }) {
                steps.push(Step::See(who));
            }
            if let Some(call) = p.calls.first() {
                steps.push(Step::Call(who));
                if call.2 && w.lost < self.losses {
                    steps.push(Step::Lose(who));
                }
            }
            if !p.replies.is_empty() {
                steps.push(Step::Hear(who));
            }
            if p.write.is_some() {
                steps.push(Step::Commit(who));
            } else if who == 0 && p.campaign.fence(w.now).is_some() {
                steps.push(Step::Write(who));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        let (now, mut actions) = (w.now, Vec::new());
        match step {
            Step::Pass => {
                w.now += SECOND;
                let now = w.now;
                w.store.end(|l| l.1 <= now);
            }
            Step::Tick(who) => {
                let p = &mut w.planners[who];
                let (holder, revision, confirmed) = p.seen.clone();
                let view = View { holder: holder.as_ref(), revision, confirmed, current: true };
                p.campaign.tick(now, &view, &mut actions);
                p.take(actions);
            }
            Step::See(who) => {
                let key = w.store.key.as_ref().map(|k| k.0.clone());
                w.planners[who].seen = (key, w.store.revision, Some(now));
            }
            Step::Call(who) => {
                let (id, request, heard) = w.planners[who].calls.remove(0);
                let reply = w.store.carry_out(now, who, &request);
                if heard {
                    w.planners[who].replies.push((id, reply));
                }
            }
            Step::Lose(who) => {
                let p = &mut w.planners[who];
                p.calls[0].2 = false;
                p.replies.push((p.calls[0].0, Reply::Outcome(Outcome::Unknown)));
                w.lost += 1;
            }
            Step::Hear(who) => {
                let p = &mut w.planners[who];
                let (id, reply) = p.replies.remove(0);
                p.campaign.replied(now, id, reply, &mut actions);
                p.take(actions);
            }
            Step::Write(who) => w.planners[who].write = w.planners[who].campaign.fence(now),
            Step::Commit(who) => {
                let fence = w.planners[who].write.take()?;
                let compares = fenced(Transaction::default(), fence).compares;
                let made = w.store.key.as_ref().map_or(0, |k| k.0.create_revision);
                if !self.fenced || compares == [(PLANNER_KEY.to_owned(), Condition::CreateRevision(made))] {
                    w.stolen |= w.store.key.as_ref().is_none_or(|k| k.1 != who);
                }
            }
            Step::Resign => w.planners[0].campaign.set_enabled(false),
        }
        for who in 0..2 {
            w.led[who] |= w.planners[who].campaign.fence(w.now).is_some();
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("what is committed is the holder's", |_, w: &World| !w.stolen),
            Property::always("who believes to lead holds the key", |_, w: &World| !w.deluded()),
            Property::sometimes("one leads after the other", |_, w: &World| w.led == [true; 2]),
        ]
    }
}

fn explore(fault: Option<Fault>, fenced: bool, losses: u8, resigns: bool) -> Vec<&'static str> {
    let check = Check { fault, fenced, span: 3 * SECOND, losses, resigns };
    let checker = check.checker().finish_when(HasDiscoveries::AnyFailures).threads(2).spawn_bfs().join();
    let found: Vec<_> = checker.discoveries().into_keys().filter(|name| !name.starts_with("one")).collect();
    let reached = checker.discovery("one leads after the other").is_some();
    assert!(reached || !found.is_empty(), "the model reaches what it is about");
    found
}

#[test]
fn only_the_holder_of_the_key_writes_and_nobody_else_believes_to_lead() {
    for (losses, resigns) in [(0, true), (1, false)] {
        assert_eq!(explore(None, true, losses, resigns), [""; 0]);
    }
}

#[test]
fn planted_faults_are_found() {
    let found = explore(None, false, 0, false);
    assert_eq!(found, ["what is committed is the holder's"], "no fence");
    for (fault, losses) in
        [(Fault::BelievesStaleLease, 0), (Fault::CountsFromAnswer, 0), (Fault::BelievesUnknown, 1)]
    {
        let found = explore(Some(fault), true, losses, false);
        assert_eq!(found, ["who believes to lead holds the key"], "{fault:?}");
    }
}
