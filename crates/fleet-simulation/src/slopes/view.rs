//! A member of the fleet's view: the gossip core, alone, fed what a fleet of so many would send it.

use super::cost::{heap, Stopwatch};
use super::Effort;
use crate::capacity::target::{Sum, INSTANCES, TRAFFIC};
use crate::capacity::{Per, Quantity, Role, Row};
use larchdale::gossip::message::{decode, encode, Head, Kind, Note, Update};
use larchdale::gossip::{Action, Config, Gossip, MemberId, State};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;

const MECHANISM: &str = "src/gossip/mod.rs, Gossip; src/proxy/gossip.rs";
const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
/// As long as real ones: a Unix millisecond times 256.
const INCARNATION: u64 = 1_800_000_000_000 << 8;
/// What a datagram takes.
const WAY: u64 = 2 * MS;
/// Entries of its view that a calm member's datagram has.
const ENTRIES: usize = 4;
/// Notes that find room in one, of 64 bytes each.
const NOTES: usize = 2;
/// A note is said anew after this.
const RENEWED: u64 = 2 * S;
/// After this long the notes held are as many as they will be.
const SETTLED: u64 = 65 * S;

/// One member with what others send it: in each period one of them probes it, and the one that it probes answers.
struct Fed {
    gossip: Gossip,
    now: u64,
    size: u16,
    note_bytes: usize,
    rng: Pcg32,
    /// When the next probe comes.
    probe: u64,
    answers: VecDeque<(u64, MemberId, u32)>,
    /// Datagrams and bytes sent and taken.
    sent: (u64, u64),
    taken: (u64, u64),
}

impl Fed {
    fn new(size: usize, note_bytes: usize) -> Fed {
        let size = size as u16;
        let now = 1_000 * S;
        let gossip = Gossip::new(Config::new(0, size), INCARNATION, 7, now);
        let rng = Pcg32::seed_from_u64(u64::from(size) << 8 | note_bytes as u64);
        let mut fed = Fed {
            gossip,
            now,
            size,
            note_bytes,
            rng,
            probe: now,
            answers: VecDeque::new(),
            sent: (0, 0),
            taken: (0, 0),
        };
        if note_bytes > 0 {
            fed.gossip.set_note(now, Some(vec![1; note_bytes]));
        }
        fed
    }

    fn other(&mut self) -> MemberId {
        self.rng.random_range(1..self.size)
    }

    /// What a member of a calm fleet sends.
    fn datagram(&mut self, from: MemberId, kind: Kind) -> Vec<u8> {
        let entry = |member| Update { member, incarnation: INCARNATION, state: State::Alive, accuser: from };
        let entries: Vec<Update> = (0..ENTRIES).map(|_| self.other()).map(entry).collect();
        let (now, bytes) = (self.now, self.note_bytes);
        let mut note = |member: MemberId| {
            let age_ms = self.rng.random_range(0..4_000u16);
            let said = now - u64::from(age_ms) * MS;
            let sequence = ((said + u64::from(member) * 613 * MS) / RENEWED) as u32;
            Note { member, incarnation: INCARNATION, sequence, age_ms, bytes: vec![2; bytes] }
        };
        let mut notes: Vec<Note> = Vec::new();
        if bytes > 0 {
            notes.push(note(from));
            let others: Vec<MemberId> =
                (1..NOTES).map(|_| 1 + (now / 7 % u64::from(self.size - 1)) as u16).collect();
            notes.extend(others.into_iter().map(note));
        }
        encode(&Head { incarnation: INCARNATION, kind }, entries, &notes).bytes
    }

    fn take(&mut self, watch: &mut Stopwatch, from: MemberId, kind: Kind) {
        let bytes = self.datagram(from, kind);
        self.taken = (self.taken.0 + 1, self.taken.1 + bytes.len() as u64);
        let mut actions = Vec::new();
        let (now, gossip) = (self.now, &mut self.gossip);
        let _ = watch.time(|| gossip.receive(now, from, &bytes, &mut actions));
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { to, bytes } = action else { continue };
            self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
            if let Ok(Kind::Ping(seq)) = decode(&bytes).map(|d| d.head.kind) {
                self.answers.push_back((self.now + WAY, to, seq));
            }
        }
    }

    fn run(&mut self, watch: &mut Stopwatch, span: u64) {
        let until = self.now + span;
        loop {
            // The driver asks for it at each turn as well.
            let gossip = &self.gossip;
            let timer = watch.time(|| gossip.next_due()).max(self.now);
            let answer = self.answers.front().map_or(u64::MAX, |a| a.0);
            let next = timer.min(answer).min(self.probe);
            if next > until {
                self.now = until;
                return;
            }
            self.now = next;
            if next == answer {
                if let Some((_, from, seq)) = self.answers.pop_front() {
                    self.take(watch, from, Kind::Ack(seq));
                }
            } else if next == self.probe {
                let (from, seq) = (self.other(), self.rng.random());
                self.probe = next + self.rng.random_range(1..S);
                self.take(watch, from, Kind::Ping(seq));
            } else {
                let (now, gossip) = (self.now, &mut self.gossip);
                let mut actions = Vec::new();
                watch.time(|| gossip.tick(now, &mut actions));
                self.carry_out(actions);
            }
        }
    }
}

fn sizes(effort: Effort) -> &'static [usize] {
    effort.sizes(&[100, 330, 1_000, 3_300], &[30, 60, 100, 200])
}

fn seconds(effort: Effort) -> u64 {
    if effort.quick {
        20
    } else {
        60
    }
}

/// Processor time of a second, datagrams and their bytes.
pub fn times(effort: Effort) -> Vec<Row> {
    let row = |name: &str, quantity, points: &[(f64, f64)]| {
        Row::new(Role::View, name, quantity, Per::Member, INSTANCES, points, MECHANISM)
    };
    let mut rows = Vec::new();
    for (word, note_bytes) in [("without notes", 0), ("with notes of 64 bytes", 64)] {
        let span = seconds(effort);
        let run = |size| {
            let mut fed = Fed::new(size, note_bytes);
            fed.run(&mut Stopwatch::new(), SETTLED);
            let (sent, mut watch) = (fed.sent, Stopwatch::new());
            fed.run(&mut watch, span * S);
            let rate = |now: u64, then: u64| (now - then) as f64 / span as f64;
            (watch.us() / span as f64, rate(fed.sent.0, sent.0), rate(fed.sent.1, sent.1))
        };
        let cpu = effort.points(sizes(effort), |size| run(size).0);
        let cpu = row(&format!("a second of a calm view {word}, one core fed"), Quantity::CpuRate, &cpu);
        rows.push(if note_bytes > 0 { cpu.counts(Sum::InstanceCpu, 1.0, 1.0) } else { cpu });
    }
    rows.extend(fleet(effort));
    rows
}

/// What a whole fleet in virtual time sends, as [`crate::view_slope`] gives it.
fn fleet(effort: Effort) -> Vec<Row> {
    let sizes = effort.sizes(&[100, 330, 1_000, 3_300], &[30, 60, 100, 200]);
    let seconds = if effort.quick { 20 } else { 30 };
    let mut rows = Vec::new();
    for (word, note_bytes) in [("without notes", 0), ("with notes of 64 bytes", 64)] {
        let all: Result<Vec<_>, _> = sizes
            .iter()
            .map(|&n| crate::view_slope(n, 1, seconds, note_bytes).map(|f| (n as f64, f)))
            .collect();
        let Ok(all) = all else { return Vec::new() };
        let row = |name: &str, quantity, of: &dyn Fn(&crate::ViewFigures) -> f64| {
            let points: Vec<(f64, f64)> = all.iter().map(|(n, f)| (*n, of(f))).collect();
            let name = format!("{name}, {word}, virtual time");
            Row::new(Role::View, &name, quantity, Per::Member, INSTANCES, &points, MECHANISM)
        };
        let counts = |r: Row| if note_bytes > 0 { r.counts(Sum::InstanceBytes, 1.0, 1.0) } else { r };
        rows.push(row("datagrams", Quantity::MessagesOut, &|f| f.sent_per_s.median));
        rows.push(counts(
            row("datagrams", Quantity::BytesOut, &|f| f.sent_bytes_per_s.median).limit(TRAFFIC),
        ));
        rows.push(counts(row("datagrams taken", Quantity::BytesIn, &|f| f.received_bytes_per_s.median)));
        if note_bytes > 0 {
            let fresh = |f: &crate::ViewFigures| f.notes.map_or(0.0, |n| n.fresh.median);
            rows.push(row("others' notes that are under 4 s old", Quantity::Part, &fresh));
        }
    }
    rows
}

/// Bytes of the core.
pub fn heaps(effort: Effort) -> Vec<Row> {
    let points = effort.points(sizes(effort), |size| {
        heap(|| {
            let mut fed = Fed::new(size, 64);
            fed.run(&mut Stopwatch::new(), SETTLED);
            fed.gossip
        })
    });
    let name = "members, and the notes held of them";
    let row = Row::new(Role::View, name, Quantity::Heap, Per::Member, INSTANCES, &points, MECHANISM);
    vec![row.counts(Sum::InstanceMemory, 1.0, 1.0)]
}
