//! Hollow instances that keep a view of each other: the real core of `larchdale::gossip`, one for each, on the
//! simulated network. Left out: the socket, its queue and the budget of datagrams (`src/proxy/gossip.rs`).

use crate::figures::{NoteFigures, ViewFigures};
use crate::gather::{spread, Gather};
use crate::network::Network;
use crate::plan::{within, Plan, Span, SECOND, START};
use crate::queue::{Due, Micros, Queue};
use crate::records::{ViewRecords, Word};
use crate::scenario::Scenario;
use larchdale::gossip::{Action, Config, Gossip, Incarnation, MemberId, State};

/// Milliseconds since 1970 at which a run begins: incarnations are as long as real ones.
const EPOCH_MS: u64 = 1_800_000_000_000;
/// Instances whose notes are looked at.
const LOOKED_AT: usize = 32;
/// Notes older than this are not judged by.
const FRESH: Micros = 4 * SECOND;
/// Who is away for less is not expected to be noticed.
const LONG: Micros = 30 * SECOND;
/// Whoever was cut off or restarted so shortly before may be held to be dead with reason.
const GRACE: Micros = 15 * SECOND;
/// Events of one run at most: a bound on work, far above what any scenario takes.
const MOST_EVENTS: u64 = 5_000_000_000;

enum Ev {
    Begin(usize),
    End(usize),
    Datagram {
        from: MemberId,
        to: MemberId,
        bytes: Vec<u8>,
    },
    /// One instance says something else of itself.
    ChangeNote(usize),
    Look,
}

/// What one instance sent and took in the measured time.
#[derive(Clone, Copy, Default)]
struct Load {
    sent: u64,
    sent_bytes: u64,
    received: u64,
    received_bytes: u64,
}

/// What a run of the view came to.
pub struct Outcome {
    /// The figures.
    pub figures: ViewFigures,
    /// Bytes sent a second, by instance.
    pub sent_bytes_per_s: Vec<f64>,
    /// Bytes sent and taken a second, by instance.
    pub bytes_per_s: Vec<f64>,
    /// For the checker.
    pub records: ViewRecords,
}

struct Sim<'a> {
    plan: &'a Plan,
    network: Network<'a>,
    queue: Queue<Ev>,
    seed: u64,
    note_bytes: usize,
    cold: bool,
    members: Vec<Option<Gossip>>,
    incarnations: Vec<Incarnation>,
    loads: Vec<Load>,
    longest: usize,
    words: Vec<Word>,
    /// Row by row, whom each holds to be gone; and how many of these words are wrong.
    gone: Vec<bool>,
    wrong: u64,
    last_change: Micros,
    agreed: Option<Micros>,
    detection: Gather,
    to_notice: u64,
    held: (Gather, f64),
    fresh: (Gather, f64),
    changed: Option<(usize, Micros)>,
    got: Vec<bool>,
    got_after: Gather,
    actions: Vec<Action>,
    events: u64,
}

/// What an instance says of itself; `turn`: after how many changes.
fn note(member: usize, turn: u8, bytes: usize) -> Vec<u8> {
    let mut note = vec![turn; bytes];
    note.iter_mut().zip((member as u16).to_le_bytes()).for_each(|(b, m)| *b = m);
    if let Some(last) = note.last_mut() {
        *last = turn;
    }
    note
}

/// Runs the view of a scenario.
pub fn run(scenario: &Scenario, plan: &Plan, seed: u64) -> Outcome {
    let view = scenario.view.clone().unwrap_or_default();
    let size = plan.places.size;
    let mut sim = Sim {
        plan,
        network: Network::new(plan, &scenario.ways, seed ^ 0x71e0),
        queue: Queue::new(size, START),
        seed,
        note_bytes: view.note_bytes,
        cold: view.cold,
        members: (0..size).map(|_| None).collect(),
        incarnations: vec![0; size],
        loads: vec![Load::default(); size],
        longest: 0,
        words: Vec::new(),
        gone: vec![false; size * size],
        wrong: 0,
        last_change: plan.last_change().unwrap_or(plan.measured.from),
        agreed: None,
        detection: Gather::new(0.001),
        to_notice: 0,
        held: (Gather::new(0.0001), 1.0),
        fresh: (Gather::new(0.0001), 1.0),
        changed: None,
        got: vec![false; size],
        got_after: Gather::new(0.001),
        actions: Vec::new(),
        events: 0,
    };
    sim.prepare();
    sim.play();
    sim.outcome(seed)
}

impl Sim<'_> {
    fn size(&self) -> usize {
        self.members.len()
    }

    fn prepare(&mut self) {
        let size = self.size();
        for member in 0..size {
            self.incarnations[member] = self.incarnation(member, START);
        }
        for member in 0..size {
            if self.plan.runs(member, START) {
                self.queue.push(START, Ev::Begin(member));
            }
            for span in &self.plan.down[member] {
                self.queue.push(span.from, Ev::End(member));
                if span.until < Micros::MAX {
                    self.queue.push(span.until, Ev::Begin(member));
                }
            }
        }
        if self.note_bytes > 0 {
            let Span { from, until } = self.plan.measured;
            let mut at = from;
            while at < until {
                self.queue.push(at, Ev::Look);
                at += SECOND;
            }
            let all_along = (0..size).find(|&m| self.plan.down[m].is_empty());
            if let Some(member) = all_along {
                self.queue.push(from + (until - from) / 2, Ev::ChangeNote(member));
            }
        }
    }

    fn incarnation(&self, member: usize, at: Micros) -> Incarnation {
        let chance = (self.seed ^ member as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56;
        ((EPOCH_MS + at / 1_000) << 8) | chance
    }

    fn play(&mut self) {
        while let Some(due) = self.queue.pop(self.plan.measured.until) {
            self.events += 1;
            if self.events > MOST_EVENTS {
                break;
            }
            let now = self.queue.now();
            match due {
                Due::Timer(member) => {
                    if let Some(gossip) = &mut self.members[member] {
                        gossip.tick(now, &mut self.actions);
                    }
                    self.after(now, member);
                }
                Due::Event(Ev::Datagram { from, to, bytes }) => self.take(now, from, to, &bytes),
                Due::Event(Ev::Begin(member)) => self.begin(now, member),
                Due::Event(Ev::End(member)) => self.end(now, member),
                Due::Event(Ev::ChangeNote(member)) => {
                    let bytes = note(member, 1, self.note_bytes);
                    if let Some(gossip) = &mut self.members[member] {
                        gossip.set_note(now, Some(bytes));
                    }
                    self.changed = Some((member, now));
                    self.after(now, member);
                }
                Due::Event(Ev::Look) => self.look(now),
            }
            if self.agreed.is_none() && self.wrong == 0 && now >= self.last_change {
                self.agreed = Some(now);
            }
        }
    }

    fn take(&mut self, now: Micros, from: MemberId, to: MemberId, bytes: &[u8]) {
        let member = usize::from(to);
        let Some(gossip) = &mut self.members[member] else { return };
        if self.plan.measured.holds(now) {
            self.loads[member].received += 1;
            self.loads[member].received_bytes += bytes.len() as u64;
        }
        // Only what cores wrote is under way, and they read it.
        let _ = gossip.receive(now, from, bytes, &mut self.actions);
        self.after(now, member);
    }

    /// Carries out what an instance asks for, and sets its timer.
    fn after(&mut self, now: Micros, by: usize) {
        let measured = self.plan.measured.holds(now);
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { to, bytes } => {
                    if measured {
                        self.loads[by].sent += 1;
                        self.loads[by].sent_bytes += bytes.len() as u64;
                        self.longest = self.longest.max(bytes.len());
                    }
                    if let Some(at) = self.network.datagram(now, by, usize::from(to)) {
                        self.queue.push(at, Ev::Datagram { from: by as MemberId, to, bytes });
                    }
                }
                Action::Changed { member, state, .. } => self.hold(now, by, member, state >= State::Dead),
                Action::NoteReceived { member } => self.noted(now, by, usize::from(member)),
            }
        }
        self.actions = actions;
        let next = self.members[by].as_ref().map_or(Micros::MAX, Gossip::next_due);
        self.queue.set(by, next);
    }

    fn hold(&mut self, now: Micros, by: usize, of: MemberId, gone: bool) {
        let member = usize::from(of);
        let at = by * self.size() + member;
        if self.gone[at] == gone || by == member {
            return;
        }
        self.gone[at] = gone;
        let runs = self.members[member].is_some();
        // It was wrong before where it is right now.
        self.wrong = if gone == runs { self.wrong + 1 } else { self.wrong - 1 };
        self.words.push(Word { at: now, by: by as u16, member: of, gone });
        let down = &self.plan.down[member];
        let since = down.iter().rev().find(|s| s.holds(now)).filter(|s| s.until - s.from >= LONG);
        if let Some(since) = since.filter(|s| gone && self.plan.measured.holds(s.from)) {
            self.detection.add((now - since.from) as f64 / 1_000.0);
        }
    }

    /// How many of the words that a running instance holds are wrong.
    fn wrong_of(&self, by: usize) -> u64 {
        let row = &self.gone[by * self.size()..(by + 1) * self.size()];
        let wrong = |(m, &gone): &(usize, &bool)| *m != by && gone == self.members[*m].is_some();
        row.iter().enumerate().filter(wrong).count() as u64
    }

    fn begin(&mut self, now: Micros, member: usize) {
        if self.members[member].is_some() {
            return;
        }
        let size = self.size();
        self.incarnations[member] = self.incarnation(member, now);
        let seed = self.seed ^ now << 16 ^ member as u64;
        let config = Config::new(member as MemberId, size as MemberId);
        // Not all at one moment.
        let at = now + seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) % config.probe_period;
        let mut gossip = Gossip::new(config, self.incarnations[member], seed, at);
        if now == START && !self.cold {
            let known = self.incarnations.iter().enumerate();
            gossip.preset_incarnations(known.map(|(m, &incarnation)| (m as MemberId, incarnation)));
        }
        if self.note_bytes > 0 {
            let turn = u8::from(self.changed.is_some_and(|c| c.0 == member));
            gossip.set_note(now, Some(note(member, turn, self.note_bytes)));
        }
        // Those that hold it to be gone are wrong from now on, those that hold it to be there are right.
        for by in (0..size).filter(|&by| self.members[by].is_some()) {
            let gone = self.gone[by * size + member];
            self.wrong = if gone { self.wrong + 1 } else { self.wrong - 1 };
        }
        self.gone[member * size..(member + 1) * size].fill(false);
        self.members[member] = Some(gossip);
        self.wrong += self.wrong_of(member);
        self.after(now, member);
    }

    fn end(&mut self, now: Micros, member: usize) {
        let size = self.size();
        if self.members[member].is_none() {
            return;
        }
        self.wrong -= self.wrong_of(member);
        self.members[member] = None;
        self.queue.unset(member);
        let down = &self.plan.down[member];
        let long = down.iter().any(|s| s.from == now && s.until - s.from >= LONG);
        for by in (0..size).filter(|&by| self.members[by].is_some()) {
            let gone = self.gone[by * size + member];
            self.wrong = if gone { self.wrong - 1 } else { self.wrong + 1 };
            self.to_notice += u64::from(long && self.plan.measured.holds(now));
        }
    }

    fn noted(&mut self, now: Micros, by: usize, of: usize) {
        let Some((member, since)) = self.changed.filter(|c| c.0 == of && !self.got[by]) else { return };
        let Some(gossip) = &self.members[by] else { return };
        let new = note(member, 1, self.note_bytes);
        if gossip.notes(now).any(|n| usize::from(n.member) == member && n.bytes == new) {
            self.got[by] = true;
            self.got_after.add((now - since) as f64 / 1_000.0);
        }
    }

    fn look(&mut self, now: Micros) {
        let running = self.members.iter().flatten().count();
        let others = running.saturating_sub(1).max(1) as f64;
        let step = self.size().div_ceil(LOOKED_AT);
        for gossip in self.members.iter().step_by(step).flatten() {
            let (mut held, mut fresh) = (0.0, 0.0);
            for note in gossip.notes(now) {
                held += 1.0;
                fresh += f64::from(u8::from(note.age < FRESH));
            }
            for (all, part) in [(&mut self.held, held / others), (&mut self.fresh, fresh / others)] {
                all.0.add(part);
                all.1 = all.1.min(part);
            }
        }
    }

    fn outcome(self, seed: u64) -> Outcome {
        let size = self.size();
        let Span { from, until } = self.plan.measured;
        let seconds = (until - from) / SECOND;
        let all_along: Vec<Load> =
            (0..size).filter(|&m| self.plan.down[m].is_empty()).map(|m| self.loads[m]).collect();
        let rate = |of: fn(&Load) -> u64, unit: f64| {
            spread(all_along.iter().map(|l| of(l) as f64 / seconds as f64), unit)
        };
        let others = (0..size)
            .filter(|&m| self.members[m].is_some() && self.changed.is_some_and(|c| c.0 != m) && !self.got[m]);
        let records = ViewRecords {
            measured: Some(self.plan.measured),
            words: self.words,
            down: self.plan.down[..size].to_vec(),
            cuts: self.plan.cut_spans(),
            last_change: self.plan.last_change(),
        };
        let figures = ViewFigures {
            size,
            seed,
            seconds,
            note_bytes: self.note_bytes,
            sent_per_s: rate(|l| l.sent, 0.01),
            sent_bytes_per_s: rate(|l| l.sent_bytes, 1.0),
            received_per_s: rate(|l| l.received, 0.01),
            received_bytes_per_s: rate(|l| l.received_bytes, 1.0),
            longest_datagram: self.longest,
            deaths_to_notice: self.to_notice,
            detection_ms: self.detection.spread(),
            false_deaths: false_deaths(&records),
            agree_ms: self.agreed.map(|at| (at - self.last_change) as f64 / 1_000.0),
            notes: (self.note_bytes > 0).then(|| NoteFigures {
                held: self.held.0.spread(),
                least_held: self.held.1,
                fresh: self.fresh.0.spread(),
                least_fresh: self.fresh.1,
                changed_ms: self.got_after.spread(),
                without_changed: others.count() as u64,
            }),
            events: self.events,
        };
        let each = |of: fn(&Load) -> u64| self.loads.iter().map(|l| of(l) as f64 / seconds as f64).collect();
        Outcome {
            figures,
            sent_bytes_per_s: each(|l| l.sent_bytes),
            bytes_per_s: each(|l| l.sent_bytes + l.received_bytes),
            records,
        }
    }
}

/// Running instances held to be dead by running ones where neither had begun, and none was cut off, shortly before.
fn false_deaths(records: &ViewRecords) -> u64 {
    let Some(measured) = records.measured else { return 0 };
    let wrong = |w: &&Word| {
        let from = w.at.saturating_sub(GRACE);
        let ran = |m: u16| !records.down[usize::from(m)].iter().any(|s| s.touches(from, w.at));
        let calm = !records.cuts.iter().any(|c| c.touches(from, w.at));
        w.gone && measured.holds(w.at) && calm && ran(w.member) && ran(w.by)
    };
    debug_assert!(records.down.iter().all(|d| !within(d, 0)));
    records.words.iter().filter(wrong).count() as u64
}
