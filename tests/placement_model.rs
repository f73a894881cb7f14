//! Model check of two planners, the registry and two instances while one shard moves: lost replies, a lease that
//! changes hands, a window that ends, instances that are late or restart, an endpoint that is removed, and a suspected
//! site.
//!
//! The planners are the real implementation. The registry is a store with compares and a fence. A transaction without a
//! reply within a lease's duration is cancelled, as the driver must do. One fault occurs in each run, at any time. To
//! show that the checks find faults, separate tests disable guards around the planners.

use larchdale::failover::SiteState;
use larchdale::placement::load::MeasuredShard;
use larchdale::placement::map::{Shard, ShardMap};
use larchdale::placement::moves::{Moves, Step};
use larchdale::placement::planner::{map_key, Planner, PlannerInput, Transaction, TransactionResult};
use larchdale::placement::quiet::{Calendar, Window};
use larchdale::placement::rebalance::EndpointCapacity;
use larchdale::placement::Settings;
use stateright::{Checker, HasDiscoveries, Model, Property};

const LEASE_MS: u64 = 10_000;
const START_MS: u64 = 1_000_000;
/// The window's length in leases: warming takes one, and three are left for epochs and the end.
const WINDOW_LEASES: u64 = 4;

/// Guards that are disabled in a test of the model itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DisabledGuards {
    /// The store does not compare revisions.
    no_compare: bool,
    /// The store checks neither the fence nor revisions. (Without the fence alone no check fails: the compares already
    /// isolate the two planners, and the fence is a second guard.)
    no_fence: bool,
    /// Planners assume that every instance has applied every epoch.
    no_wait: bool,
    /// Planners assume that the window does not end.
    no_end: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlightTransaction {
    planner: usize,
    request: Transaction,
    at: u64,
    /// Instances that have restarted since the transaction was decided: their applied epochs at that time are outdated.
    restarted: [bool; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    tick: u64,
    map: (ShardMap, i64),
    moves: (Moves, i64),
    revision: i64,
    /// The planner that holds the lease, and the revision of the lease's key.
    lease: (usize, i64),
    /// The fence that each planner believes to hold.
    fences: [Option<i64>; 2],
    planners: [Planner; 2],
    in_flight: Vec<InFlightTransaction>,
    instances: [Option<u32>; 2],
    target_gone: bool,
    suspected: bool,
    /// Number of faults that may still occur.
    faults: u8,
    violation: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Step(usize),
    /// The transaction commits if its compares hold; its reply arrives if the flag is set, and is lost otherwise.
    Arrive(usize, bool),
    /// The call of the transaction fails, but the transaction is still in transit and arrives late or never.
    FailCall(usize),
    /// The lease passes to the other planner.
    TransferLease,
    /// The planner learns whether it holds the lease.
    LearnLease(usize),
    Apply(usize),
    Restart(usize),
    TargetGone,
    SuspectSite,
    Tick,
    /// The planner's watch delivers both documents.
    Watch(usize),
}

struct MoveModel {
    disabled: DisabledGuards,
    settings: Settings,
    calendar: Calendar,
    faults: u8,
}

impl MoveModel {
    fn new(disabled: DisabledGuards, faults: u8) -> Self {
        let settings =
            Settings { lease: LEASE_MS * 1_000, moves: 1, warm: 0.5, ..Settings::new(Vec::new(), "/s/") };
        let at = |ms: u64| jiff::Timestamp::from_millisecond(ms as i64).unwrap();
        let ends = START_MS + if disabled.no_end { 100 } else { WINDOW_LEASES } * LEASE_MS;
        let calendar = Calendar {
            quiet: vec![("west".to_owned(), Window::Once(at(START_MS), at(ends)))],
            blackouts: vec![],
        };
        MoveModel { disabled, settings, calendar, faults }
    }

    fn step(&self, fleet: &mut Fleet, p: usize) -> Option<Transaction> {
        let endpoint = |id: &str, serves| EndpointCapacity {
            id: id.into(),
            weight: 1.0,
            accepts_requests: serves,
            in_slow_start: false,
            spare_kb_s: 1e6,
        };
        let endpoints = [endpoint("a", true), endpoint("b", !fleet.target_gone)];
        let known = fleet.instances.map(|d| if self.disabled.no_wait { Some(u32::MAX / 2) } else { d });
        let input = PlannerInput {
            settings: &self.settings,
            calendar: &self.calendar,
            zone: "west",
            now: fleet.tick * LEASE_MS * 1_000,
            unix_ms: START_MS + fleet.tick * LEASE_MS,
            skew_ms: 0,
            fence: fleet.fences[p],
            sites: &[if fleet.suspected { SiteState::Suspected } else { SiteState::Serving }],
            instances: &known,
            max_instances: 2,
            local_map: None,
            link_kb_s: 200.0,
            endpoints: &endpoints,
            loads: &[0, 1 << 63].map(|start| MeasuredShard { start, load: 1.0, kb: 1_000.0 }),
            requested_changes: None,
        };
        let mut notices = Vec::new();
        let planner = &mut fleet.planners[p];
        let request = planner.step(&input, &mut notices);
        if !planner.needs_documents() {
            return request;
        }
        fleet.read(p);
        fleet.planners[p].step(&input, &mut notices)
    }

    /// Applies a transaction to the store, and checks the invariants of every change of the map.
    fn commit(&self, fleet: &mut Fleet, transaction: &InFlightTransaction) -> TransactionResult {
        let DisabledGuards { no_compare, no_fence, .. } = self.disabled;
        let map_key = map_key("/s/", 0);
        let stands = |c: &(String, i64)| c.1 == if c.0 == map_key { fleet.map.1 } else { fleet.moves.1 };
        let held = fleet.lease == (transaction.planner, transaction.request.fence);
        if !(held || no_fence) || !(no_compare || no_fence || transaction.request.compares.iter().all(stands))
        {
            return TransactionResult::Rejected;
        }
        fleet.revision += 1;
        for (key, value) in &transaction.request.puts {
            if *key != map_key {
                fleet.moves = (Moves::decode(value).unwrap(), fleet.revision);
                continue;
            }
            let (old, new) = (&fleet.map.0, ShardMap::decode(value, 0).unwrap());
            if new.epoch <= old.epoch {
                fleet.violation = Some("an epoch is used twice with different homes");
            }
            if old.shards.iter().map(|s| &s.home).ne(new.shards.iter().map(|s| &s.home)) {
                let late =
                    |d: usize| !transaction.restarted[d] && fleet.instances[d].is_none_or(|e| e < old.epoch);
                if (0..2).any(late) {
                    fleet.violation = Some("cutover before every instance had the epoch");
                }
                if fleet.tick >= WINDOW_LEASES {
                    fleet.violation = Some("cutover outside the window");
                }
            }
            fleet.map = (new, fleet.revision);
        }
        TransactionResult::Committed(fleet.revision)
    }
}

impl Fleet {
    fn epoch(&self) -> u32 {
        self.map.0.epoch
    }

    /// Returns whether no move is planned or active.
    fn at_rest(&self) -> bool {
        !self.warms() && self.moves.0.moves.is_empty()
    }

    /// A planner receives both documents, by reading them or from its watch.
    fn read(&mut self, p: usize) {
        let (map, moves) = (self.map.0.encode(), self.moves.0.encode());
        let documents = (Some((&map[..], self.map.1)), Some((&moves[..], self.moves.1)));
        self.planners[p].update_documents(documents.0, documents.1, &mut Vec::new());
    }

    fn warms(&self) -> bool {
        self.map.0.shards.iter().any(|s| s.warming.is_some())
    }

    fn homes(&self) -> Vec<&str> {
        self.map.0.shards.iter().filter_map(|s| s.home.as_deref()).collect()
    }
}

impl Model for MoveModel {
    type State = Fleet;
    type Action = Action;

    fn init_states(&self) -> Vec<Fleet> {
        let home = |start| Shard { start, home: Some("a".into()), warming: None };
        let map = ShardMap { zone: 0, epoch: 1, shards: vec![home(0), home(1 << 63)] };
        let planner = Planner::new(0, "/s/");
        vec![Fleet {
            tick: 0,
            map: (map, 1),
            moves: (Moves::default(), 1),
            revision: 2,
            lease: (0, 2),
            fences: [Some(2), None],
            planners: [planner.clone(), planner],
            in_flight: Vec::new(),
            instances: [Some(1), Some(1)],
            target_gone: false,
            suspected: false,
            faults: self.faults,
            violation: None,
        }]
    }

    fn actions(&self, f: &Fleet, actions: &mut Vec<Action>) {
        actions.extend((0..2).filter(|&p| f.fences[p].is_some()).map(Action::Step));
        for n in 0..f.in_flight.len() {
            actions.push(Action::Arrive(n, true));
            if f.faults > 0 {
                actions.extend([Action::Arrive(n, false), Action::FailCall(n)]);
            }
        }
        if f.instances[1] != Some(f.epoch()) {
            actions.push(Action::Apply(1));
        }
        if f.faults > 0 {
            actions.push(Action::TransferLease);
        }
        actions.extend(
            (0..2).filter(|&p| f.fences[p] != (f.lease.0 == p).then_some(f.lease.1)).map(Action::LearnLease),
        );
        if f.faults > 0 {
            actions.push(Action::Restart(1));
        }
        if f.faults > 0 && f.warms() {
            actions.extend([Action::TargetGone, Action::SuspectSite]);
        }
        // Time advances up to one lease after the end of the window.
        if f.tick < WINDOW_LEASES + 1 {
            actions.push(Action::Tick);
        } else {
            actions.extend((0..2).filter(|&p| f.fences[p].is_some()).map(Action::Watch));
        }
    }

    fn next_state(&self, last: &Fleet, action: Action) -> Option<Fleet> {
        let mut f = last.clone();
        match action {
            Action::Step(p) => {
                if let Some(request) = self.step(&mut f, p) {
                    f.in_flight.push(InFlightTransaction {
                        planner: p,
                        request,
                        at: f.tick,
                        restarted: [false; 2],
                    });
                }
            }
            Action::Arrive(n, answered) => {
                let transaction = f.in_flight.remove(n);
                let answer = self.commit(&mut f, &transaction);
                f.faults -= u8::from(!answered);
                // One instance applies the map at once, the other with a separate action.
                f.instances[0] = Some(f.epoch());
                if answer == TransactionResult::Rejected && answered {
                    // A transaction that is rejected because of its fence shows the planner that it lost the lease.
                    f.fences[transaction.planner] = (f.lease.0 == transaction.planner).then_some(f.lease.1);
                }
                let answer = if answered { answer } else { TransactionResult::Unknown };
                f.planners[transaction.planner].handle_result(transaction.request.id, answer);
            }
            Action::FailCall(n) => {
                f.faults -= 1;
                let (planner, id) = (f.in_flight[n].planner, f.in_flight[n].request.id);
                f.planners[planner].handle_result(id, TransactionResult::Unknown);
            }
            Action::TransferLease => {
                f.faults -= 1;
                f.revision += 1;
                f.lease = (1 - f.lease.0, f.revision);
            }
            Action::LearnLease(p) => f.fences[p] = (f.lease.0 == p).then_some(f.lease.1),
            Action::Apply(d) => f.instances[d] = Some(f.epoch()),
            Action::Restart(d) => {
                f.faults -= 1;
                f.instances[d] = None;
                f.in_flight.iter_mut().for_each(|w| w.restarted[d] = true);
            }
            Action::TargetGone => (f.faults, f.target_gone) = (f.faults - 1, true),
            Action::SuspectSite => (f.faults, f.suspected) = (f.faults - 1, true),
            Action::Watch(p) => f.read(p),
            Action::Tick => {
                f.tick += 1;
                let (keep, late): (Vec<_>, Vec<_>) = f.in_flight.drain(..).partition(|w| f.tick - w.at <= 1);
                f.in_flight = keep;
                for w in late {
                    f.planners[w.planner].handle_result(w.request.id, TransactionResult::Unknown);
                }
                // A planner with nothing to decide receives the documents and observes the time. Other planners may
                // stay paused for any time.
                for p in 0..2 {
                    let mut idle = f.clone();
                    if idle.fences[p].is_some() && !idle.planners[p].needs_documents() {
                        idle.read(p);
                    }
                    if !idle.planners[p].needs_documents() && self.step(&mut idle, p).is_none() {
                        f.planners[p] = idle.planners[p].clone();
                    }
                }
            }
        }
        Some(f).filter(|f| f != last)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no invariant of a move is violated", |_, f: &Fleet| f.violation.is_none()),
            // In a state without further actions, every move is completed or rolled back.
            Property::always(
                "in the end every move is completed or rolled back",
                |m: &MoveModel, f: &Fleet| {
                    let mut actions = Vec::new();
                    m.actions(f, &mut actions);
                    let over = f.in_flight.is_empty()
                        && actions.iter().all(|a| m.next_state(f, a.clone()).is_none());
                    !over || f.at_rest()
                },
            ),
            Property::sometimes("a move is completed", |_, f: &Fleet| {
                f.at_rest()
                    && f.homes() == ["b", "a"]
                    && !f.moves.0.resting.is_empty()
                    && f.tick < WINDOW_LEASES
            }),
            Property::sometimes("a move is rolled back", |_, f: &Fleet| {
                f.at_rest() && f.homes() == ["a", "a"] && f.epoch() == 3
            }),
            Property::sometimes("the next planner continues a move", |_, f: &Fleet| {
                f.lease.0 == 1
                    && f.in_flight.iter().any(|w| {
                        let cut =
                            |m: &larchdale::placement::moves::Move| matches!(m.step, Step::Cutover { .. });
                        w.planner == 1
                            && w.request
                                .puts
                                .iter()
                                .any(|(_, v)| Moves::decode(v).is_ok_and(|m| m.moves.iter().any(cut)))
                    })
            }),
        ]
    }
}

/// Returns the first violated invariant that the checker finds.
fn violation_found(disabled: DisabledGuards) -> Option<&'static str> {
    let invariant = "no invariant of a move is violated";
    let done = HasDiscoveries::AnyOf([invariant].into());
    let checker = MoveModel::new(disabled, 1).checker().threads(4).finish_when(done).spawn_bfs().join();
    let path = checker.discovery(invariant)?;
    path.last_state().violation
}

#[test]
fn no_invariant_of_a_move_is_violated_with_any_single_fault() {
    let checker = MoveModel::new(DisabledGuards::default(), 1).checker().threads(4).spawn_bfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn the_model_finds_each_disabled_guard() {
    let with = |change: fn(&mut DisabledGuards)| {
        let mut disabled = DisabledGuards::default();
        change(&mut disabled);
        violation_found(disabled)
    };
    assert_eq!(with(|p| p.no_wait = true), Some("cutover before every instance had the epoch"));
    assert_eq!(with(|p| p.no_end = true), Some("cutover outside the window"));
    assert!(with(|p| p.no_fence = true).is_some());
    assert_eq!(with(|p| p.no_compare = true), Some("an epoch is used twice with different homes"));
}
