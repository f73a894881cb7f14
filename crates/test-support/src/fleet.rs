//! Many instances' views in one process, on a network and a clock of their own: for sizes that no machine here holds,
//! and for times that nobody waits for. Equal seeds and schedules give equal runs.

use fault_injection::{FaultSampler, Schedule};
use larchdale::gossip::{Action, Config, Gossip, Incarnation, MemberId, State};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Microseconds that a datagram takes where the schedule adds nothing.
const WAY: u64 = 2_000;
/// Steps of one run at most.
const STEPS: usize = 50_000_000;

/// The incarnation that members begin with: as large as real ones (milliseconds since 1970, times 256), since their
/// length is what fills a datagram.
pub const FIRST: Incarnation = 1_800_000_000_000 << 8;

/// A change of somebody's view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// When.
    pub at: u64,
    /// Whose view.
    pub by: usize,
    /// Of whom.
    pub member: usize,
    /// What is held now.
    pub state: State,
}

/// A datagram under way: when it comes, its number, from whom, to whom, and its bytes.
type OnWay = Reverse<(u64, u64, usize, usize, Vec<u8>)>;

/// The fleet.
pub struct Fleet {
    /// The time, in microseconds.
    pub now: u64,
    /// All that run.
    pub members: Vec<Option<Gossip>>,
    /// All changes so far.
    pub changes: Vec<Change>,
    /// Datagrams sent, their bytes, and the longest.
    pub sent: (u64, u64, usize),
    config: fn(MemberId, MemberId) -> Config,
    faults: FaultSampler,
    began: u64,
    on_way: BinaryHeap<OnWay>,
    number: u64,
    seed: u64,
}

impl Fleet {
    /// So many, which begin within one period of each other.
    pub fn new(many: usize, seed: u64, config: fn(MemberId, MemberId) -> Config) -> Self {
        let mut fleet = Fleet {
            now: 1_000_000_000,
            members: (0..many).map(|_| None).collect(),
            changes: Vec::new(),
            sent: (0, 0, 0),
            config,
            faults: Schedule { seed, rules: Vec::new() }.sampler(),
            began: 0,
            on_way: BinaryHeap::new(),
            number: 0,
            seed,
        };
        for member in 0..many {
            fleet.start(member, FIRST);
        }
        fleet
    }

    /// Goes by a schedule whose time begins now.
    pub fn follow(&mut self, schedule: &Schedule) {
        (self.faults, self.began) = (schedule.sampler(), self.now);
    }

    /// Starts one, or starts it anew.
    pub fn start(&mut self, member: usize, incarnation: Incarnation) {
        self.number += 1;
        let seed = self.seed ^ self.number << 20 ^ member as u64;
        let config = (self.config)(member as MemberId, self.members.len() as MemberId);
        // Not all at one moment.
        let at = self.now + seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) % config.probe_period;
        self.members[member] = Some(Gossip::new(config, incarnation, seed, at));
    }

    /// Ends one without a word.
    pub fn kill(&mut self, member: usize) {
        self.members[member] = None;
    }

    /// Has one leave, which says so.
    pub fn leave(&mut self, member: usize) {
        let mut actions = Vec::new();
        if let Some(gossip) = &mut self.members[member] {
            gossip.leave(self.now, &mut actions);
        }
        self.carry_out(member, actions);
        self.kill(member);
    }

    /// Has one say this of itself from now on.
    pub fn note(&mut self, member: usize, note: &[u8]) {
        if let Some(gossip) = &mut self.members[member] {
            gossip.set_note(self.now, Some(note.to_vec()));
        }
    }

    /// Of how many others' notes the latest are held, by all that run together; `is` is what each says of itself.
    pub fn noted(&self, is: impl Fn(usize) -> Vec<u8>) -> usize {
        let held = |g: &Gossip| g.notes(self.now).filter(|n| n.bytes == is(usize::from(n.member))).count();
        self.members.iter().flatten().map(held).sum()
    }

    /// Runs for so long.
    pub fn run(&mut self, span: u64) {
        let until = self.now + span;
        for _ in 0..STEPS {
            let timer =
                self.members.iter().enumerate().filter_map(|(n, m)| Some((m.as_ref()?.next_due(), n))).min();
            let datagram = self.on_way.peek().map(|d| d.0 .0);
            let next = timer.map(|t| t.0).into_iter().chain(datagram).min().filter(|&t| t <= until);
            let Some(next) = next else { break };
            self.now = self.now.max(next);
            let mut actions = Vec::new();
            let who = if datagram == Some(next) {
                let Some(Reverse((_, _, from, to, bytes))) = self.on_way.pop() else { break };
                if let Some(gossip) = &mut self.members[to] {
                    let _ = gossip.receive(self.now, from as MemberId, &bytes, &mut actions);
                }
                to
            } else {
                let Some((_, who)) = timer else { break };
                if let Some(gossip) = &mut self.members[who] {
                    gossip.tick(self.now, &mut actions);
                }
                who
            };
            self.carry_out(who, actions);
        }
        self.now = until;
    }

    fn carry_out(&mut self, by: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Changed { member, state, .. } => {
                    self.changes.push(Change { at: self.now, by, member: usize::from(member), state });
                }
                Action::NoteReceived { .. } => {}
                Action::Send { to, bytes } => {
                    self.sent.0 += 1;
                    self.sent.1 += bytes.len() as u64;
                    self.sent.2 = self.sent.2.max(bytes.len());
                    for delay in self.faults.delays_us((self.now - self.began) / 1000, by, usize::from(to)) {
                        self.number += 1;
                        let at = self.now + WAY + delay;
                        self.on_way.push(Reverse((at, self.number, by, usize::from(to), bytes.clone())));
                    }
                }
            }
        }
    }

    /// Whether all that run hold the same of everybody: those that run alive, the others not.
    pub fn agree(&self) -> bool {
        let running = |n: MemberId| self.members[usize::from(n)].is_some();
        self.members.iter().flatten().all(|g| {
            g.view().all(|m| if running(m.member) { m.state == State::Alive } else { m.state >= State::Dead })
        })
    }

    /// Deaths held of members that ran all the time.
    pub fn false_deaths(&self) -> usize {
        let runs = |c: &&Change| c.state == State::Dead && self.members[c.member].is_some();
        self.changes.iter().filter(runs).count()
    }

    /// How long after `at` each that runs held a member to be dead.
    pub fn detections(&self, member: usize, at: u64) -> Vec<u64> {
        let first = |by: usize| {
            let mut seen = self.changes.iter().filter(|c| c.by == by && c.member == member && c.at >= at);
            seen.find(|c| c.state >= State::Dead).map(|c| c.at - at)
        };
        (0..self.members.len()).filter(|&n| self.members[n].is_some()).filter_map(first).collect()
    }
}
