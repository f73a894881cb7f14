//! Model checker for the leader election: all interleavings of two competing instances, a registry that expires leases,
//! and lost responses.

use super::*;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::hash::{Hash, Hasher};

/// Time to live of a lease, in microseconds; instances rely on seven eighths of it.
const LEASE: Micros = 2 * SECOND;

/// Model of the registry with the planner's key as its only key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Store {
    revision: i64,
    /// The planner's key and the index of the instance that holds it.
    key: Option<(Document, usize)>,
    /// Ids of the leases with their expiry times.
    leases: Vec<(i64, Micros)>,
    last_lease: i64,
}

impl Store {
    /// Ends the leases that match, and deletes the key if its lease has ended.
    fn end(&mut self, matches: impl Fn(&(i64, Micros)) -> bool) {
        self.leases.retain(|lease| !matches(lease));
        let exists = |id| self.leases.iter().any(|lease| lease.0 == id);
        if self.key.as_ref().is_some_and(|key| !exists(key.0.lease)) {
            self.revision += 1;
            self.key = None;
        }
    }

    fn execute(&mut self, now: Micros, index: usize, request: &Request) -> Reply {
        match request {
            Request::Grant(ttl) => {
                self.last_lease += 1;
                let ttl = *ttl as Micros * SECOND;
                self.leases.push((self.last_lease, now + ttl));
                Reply::Granted { lease: self.last_lease, ttl }
            }
            Request::KeepAlive(lease) => {
                let kept =
                    self.leases.iter_mut().find(|held| held.0 == *lease).map(|held| held.1 = now + LEASE);
                Reply::KeptAlive { ttl: kept.map_or(0, |()| LEASE) }
            }
            Request::Revoke(lease) => {
                self.end(|held| held.0 == *lease);
                Reply::Revoked
            }
            Request::Transaction(_, lease) if !self.leases.iter().any(|held| held.0 == *lease) => {
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
                    index,
                ));
                Reply::Outcome(Outcome::Committed { revision })
            }
        }
    }
}

#[derive(Clone)]
struct Planner {
    campaign: Campaign,
    /// Calls in flight, with whether the response will arrive. A call without a response may still be executed.
    calls: Vec<(u64, Request, bool)>,
    replies: Vec<(u64, Reply)>,
    /// Mirrored document of the key, revision of the mirror and time of its confirmation.
    mirror: (Option<Document>, i64, Option<Micros>),
    /// Fence of a write in flight.
    write: Option<i64>,
}

impl Planner {
    fn fingerprint(&self) -> impl Hash + PartialEq {
        // Only differences between call ids matter, so states that differ in absolute ids are equal.
        let age = |id: u64| self.campaign.last_call_id - id;
        let calls: Vec<_> = self.calls.iter().map(|c| (age(c.0), c.1.clone(), c.2)).collect();
        let replies: Vec<_> = self.replies.iter().map(|r| (age(r.0), r.1)).collect();
        let state = match self.campaign.state {
            State::Granting { call, sent_at } => State::Granting { call: age(call), sent_at },
            State::Claiming { lease, until, call, unresolved_since } => {
                State::Claiming { lease, until, call: call.map(age), unresolved_since }
            }
            State::Leading { lease, fence, until, keep_alive, keep_alive_at } => {
                let keep_alive = keep_alive.map(|key| (age(key.0), key.1));
                State::Leading { lease, fence, until, keep_alive, keep_alive_at }
            }
            other => other,
        };
        (state, self.campaign.enabled, calls, replies, self.mirror.clone(), self.write)
    }

    fn add_calls(&mut self, actions: Vec<Action>) {
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
    lost_responses: u8,
    led: [bool; 2],
    /// A write of an instance that did not hold the planner's key was committed.
    has_foreign_write: bool,
}

impl World {
    fn fingerprint(&self) -> impl Hash + PartialEq {
        let planners: Vec<_> = self.planners.iter().map(Planner::fingerprint).collect();
        (self.now, self.store.clone(), planners, self.lost_responses, self.led, self.has_foreign_write)
    }

    /// Whether an instance reports leadership without holding the key.
    fn has_false_leader(&self) -> bool {
        let holds = |(index, planner): (usize, &Planner)| match planner.campaign.fence(self.now) {
            None => true,
            Some(fence) => {
                self.store.key.as_ref().is_some_and(|key| key.1 == index && key.0.create_revision == fence)
            }
        };
        !self.planners.iter().enumerate().all(holds)
    }
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let states: Vec<_> = self.planners.iter().map(|planner| planner.campaign.state).collect();
        write!(f, "{} {:?} {states:?}", self.now / SECOND, self.store)
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint() == other.fingerprint()
    }
}
impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint().hash(state);
    }
}

/// A transition of the model, with the index of the instance concerned.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// A second passes for all instances. An instance without a step in between was paused.
    PassSecond,
    Tick(usize),
    /// The mirror of the instance becomes current.
    UpdateMirror(usize),
    /// The registry executes a call.
    ExecuteCall(usize),
    /// The connection breaks before the response arrives; the call may be executed later, or never.
    LoseResponse(usize),
    ReceiveReply(usize),
    /// An instance that considers itself the leader sends a write. Only the first instance does, by symmetry.
    SendWrite(usize),
    /// The registry receives the write, possibly late.
    ReceiveWrite(usize),
    Resign,
}

struct ElectionModel {
    fault: Option<Fault>,
    fenced: bool,
    /// Time at which the model ends.
    end: Micros,
    max_lost_responses: u8,
    resigns: bool,
}

impl Model for ElectionModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let planner = |name: &str| {
            let mut campaign = Campaign::new(name, LEASE, 0, 1);
            campaign.fault = self.fault;
            campaign.set_enabled(true);
            Planner { campaign, calls: vec![], replies: vec![], mirror: (None, 1, Some(0)), write: None }
        };
        vec![World {
            now: SECOND,
            store: Store { revision: 1, ..Store::default() },
            planners: vec![planner("a"), planner("b")],
            lost_responses: 0,
            led: [false; 2],
            has_foreign_write: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < self.end {
            steps.push(Step::PassSecond);
        }
        if self.resigns && world.planners[0].campaign.enabled && world.led[0] {
            steps.push(Step::Resign);
        }
        for (index, planner) in world.planners.iter().enumerate() {
            steps.push(Step::Tick(index));
            let key = world.store.key.as_ref().map(|key| &key.0);
            if planner.mirror.0.as_ref() != key
                || matches!(planner.campaign.state, State::Claiming { call: None, .. })
            {
                steps.push(Step::UpdateMirror(index));
            }
            if let Some(call) = planner.calls.first() {
                steps.push(Step::ExecuteCall(index));
                if call.2 && world.lost_responses < self.max_lost_responses {
                    steps.push(Step::LoseResponse(index));
                }
            }
            if !planner.replies.is_empty() {
                steps.push(Step::ReceiveReply(index));
            }
            if planner.write.is_some() {
                steps.push(Step::ReceiveWrite(index));
            } else if index == 0 && planner.campaign.fence(world.now).is_some() {
                steps.push(Step::SendWrite(index));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        let (now, mut actions) = (world.now, Vec::new());
        match step {
            Step::PassSecond => {
                world.now += SECOND;
                let now = world.now;
                world.store.end(|lease| lease.1 <= now);
            }
            Step::Tick(index) => {
                let planner = &mut world.planners[index];
                let (holder, revision, confirmed) = planner.mirror.clone();
                let view = MirrorView { holder: holder.as_ref(), revision, confirmed, is_current: true };
                planner.campaign.tick(now, &view, &mut actions);
                planner.add_calls(actions);
            }
            Step::UpdateMirror(index) => {
                let key = world.store.key.as_ref().map(|key| key.0.clone());
                world.planners[index].mirror = (key, world.store.revision, Some(now));
            }
            Step::ExecuteCall(index) => {
                let (id, request, will_arrive) = world.planners[index].calls.remove(0);
                let reply = world.store.execute(now, index, &request);
                if will_arrive {
                    world.planners[index].replies.push((id, reply));
                }
            }
            Step::LoseResponse(index) => {
                let planner = &mut world.planners[index];
                planner.calls[0].2 = false;
                planner.replies.push((planner.calls[0].0, Reply::Outcome(Outcome::Unknown)));
                world.lost_responses += 1;
            }
            Step::ReceiveReply(index) => {
                let planner = &mut world.planners[index];
                let (id, reply) = planner.replies.remove(0);
                planner.campaign.reply_received(now, id, reply, &mut actions);
                planner.add_calls(actions);
            }
            Step::SendWrite(index) => world.planners[index].write = world.planners[index].campaign.fence(now),
            Step::ReceiveWrite(index) => {
                let fence = world.planners[index].write.take()?;
                let compares = fenced(Transaction::default(), fence).compares;
                let create_revision = world.store.key.as_ref().map_or(0, |key| key.0.create_revision);
                if !self.fenced
                    || compares == [(PLANNER_KEY.to_owned(), Condition::CreateRevision(create_revision))]
                {
                    world.has_foreign_write |= world.store.key.as_ref().is_none_or(|key| key.1 != index);
                }
            }
            Step::Resign => world.planners[0].campaign.set_enabled(false),
        }
        for index in 0..2 {
            world.led[index] |= world.planners[index].campaign.fence(world.now).is_some();
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("only writes of the key holder are committed", |_, world: &World| {
                !world.has_foreign_write
            }),
            Property::always("an instance with a fence holds the key", |_, world: &World| {
                !world.has_false_leader()
            }),
            Property::sometimes("one leads after the other", |_, world: &World| world.led == [true; 2]),
        ]
    }
}

fn explore(fault: Option<Fault>, fenced: bool, max_lost_responses: u8, resigns: bool) -> Vec<&'static str> {
    let model = ElectionModel { fault, fenced, end: 3 * SECOND, max_lost_responses, resigns };
    let checker = model.checker().finish_when(HasDiscoveries::AnyFailures).threads(2).spawn_bfs().join();
    let found: Vec<_> = checker.discoveries().into_keys().filter(|name| !name.starts_with("one")).collect();
    let reached = checker.discovery("one leads after the other").is_some();
    assert!(reached || !found.is_empty(), "the model never has both instances lead in turn");
    found
}

#[test]
fn only_the_key_holder_commits_writes_and_has_a_fence() {
    for (losses, resigns) in [(0, true), (1, false)] {
        assert_eq!(explore(None, true, losses, resigns), [""; 0]);
    }
}

#[test]
fn injected_faults_are_detected() {
    let found = explore(None, false, 0, false);
    assert_eq!(found, ["only writes of the key holder are committed"], "no fence");
    for (fault, losses) in [
        (Fault::IgnoresLeaseExpiry, 0),
        (Fault::CountsLeaseFromReply, 0),
        (Fault::TreatsUnknownAsCommitted, 1),
    ] {
        let found = explore(Some(fault), true, losses, false);
        assert_eq!(found, ["an instance with a fence holds the key"], "{fault:?}");
    }
}
