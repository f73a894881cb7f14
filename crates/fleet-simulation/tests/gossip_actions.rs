//! The view's core asks for the same actions, at the same times, as it did when these hashes were taken (before its
//! searches over all members were replaced, 2026-12-02): a change of behaviour, wanted or not, shows here first. Who
//! wants one takes the hashes anew and says so.

use larchdale::gossip::{Action, Config, Gossip, MemberId};
use larchdale_fleet_simulation::queue::{Due, Micros, Queue};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const S: Micros = 1_000_000;
const FIRST: u64 = 1_800_000_000_000 << 8;

/// FNV-1a of 64 bits.
struct Hash(u64);

impl Hash {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn number(&mut self, number: u64) {
        self.add(&number.to_le_bytes());
    }
}

enum Ev {
    Datagram(MemberId, MemberId, Vec<u8>),
    Stir,
}

struct Play {
    size: usize,
    loss: f64,
    notes: bool,
    known: bool,
    seconds: Micros,
}

struct World {
    queue: Queue<Ev>,
    rng: Pcg32,
    members: Vec<Option<Gossip>>,
    play: Play,
    hash: Hash,
    lives: u64,
}

impl World {
    fn start(&mut self, member: usize) {
        self.lives += 1;
        let now = self.queue.now();
        let config = Config::new(member as MemberId, self.play.size as MemberId);
        let incarnation = FIRST + self.lives * 1_000;
        let mut gossip = Gossip::new(config, incarnation, self.lives, now + self.lives * 7_919 % 500_000);
        if self.play.known && now == 0 {
            gossip.preset_incarnations(
                (0..self.play.size).map(|m| (m as MemberId, FIRST + (m as u64 + 1) * 1_000)),
            );
        }
        if self.play.notes {
            gossip.set_note(now, Some(vec![member as u8; member % 65]));
        }
        self.members[member] = Some(gossip);
        self.done(member, Vec::new());
    }

    /// Takes down what a member asks for, and sends its datagrams.
    fn done(&mut self, by: usize, actions: Vec<Action>) {
        let now = self.queue.now();
        self.hash.number(now);
        self.hash.number(by as u64);
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    self.hash.number(u64::from(to));
                    self.hash.add(&bytes);
                    if !self.rng.random_bool(self.play.loss) {
                        let at = now + self.rng.random_range(500..40_000);
                        self.queue.push(at, Ev::Datagram(by as MemberId, to, bytes));
                    }
                }
                Action::Changed { member, state, incarnation } => {
                    self.hash.number(u64::from(member) << 8 | state as u64);
                    self.hash.number(incarnation);
                }
                Action::NoteReceived { member } => self.hash.number(1 << 40 | u64::from(member)),
            }
        }
        let next = self.members[by].as_ref().map_or(Micros::MAX, Gossip::next_due);
        self.hash.number(next);
        self.queue.set(by, next);
    }

    /// Something out of the ordinary.
    fn stir(&mut self) {
        let now = self.queue.now();
        let member = self.rng.random_range(0..self.play.size);
        let mut actions = Vec::new();
        let kind = self.rng.random_range(0..8);
        match (&mut self.members[member], kind) {
            (None, _) => return self.start(member),
            (some @ Some(_), 0) => *some = None,
            (some @ Some(_), 1) => {
                // Who has left is asked for nothing more.
                some.iter_mut().for_each(|gossip| gossip.leave(now, &mut actions));
                *some = None;
            }
            (Some(gossip), 2) => gossip.tick(now, &mut actions),
            (Some(gossip), 3) => {
                let _ = gossip.receive(now, 1, &[self.rng.random(), 7, 200, 1, 0, 9], &mut actions);
            }
            (Some(gossip), 4) => gossip.set_note(now, None),
            (Some(gossip), _) if self.play.notes => {
                let note = vec![self.rng.random(); self.rng.random_range(0..=65)];
                gossip.set_note(now, Some(note));
            }
            _ => {}
        }
        self.done(member, actions);
        // What is held is seen too, also by those that did not act.
        for gossip in self.members.iter().flatten() {
            for note in gossip.notes(now).collect::<std::collections::BTreeSet<_>>() {
                self.hash.number(u64::from(note.member) << 32 | note.age);
                self.hash.add(note.bytes);
            }
            gossip.by_state().iter().for_each(|n| self.hash.number(*n as u64));
        }
    }
}

fn hash(play: Play, seed: u64) -> u64 {
    let (size, seconds) = (play.size, play.seconds);
    let mut world = World {
        queue: Queue::new(size, 0),
        rng: Pcg32::seed_from_u64(seed),
        members: (0..size).map(|_| None).collect(),
        play,
        hash: Hash(0xcbf2_9ce4_8422_2325),
        lives: 0,
    };
    (0..size).for_each(|member| world.start(member));
    (1..seconds * 2).for_each(|half| world.queue.push(half * S / 2, Ev::Stir));
    while let Some(due) = world.queue.pop(seconds * S) {
        let (now, mut actions) = (world.queue.now(), Vec::new());
        match due {
            Due::Event(Ev::Stir) => world.stir(),
            Due::Event(Ev::Datagram(from, to, bytes)) => {
                if let Some(gossip) = &mut world.members[usize::from(to)] {
                    let _ = gossip.receive(now, from, &bytes, &mut actions);
                    world.done(usize::from(to), actions);
                }
            }
            Due::Timer(member) => {
                if let Some(gossip) = &mut world.members[member] {
                    gossip.tick(now, &mut actions);
                    world.done(member, actions);
                }
            }
        }
    }
    world.hash.0
}

#[test]
fn the_core_asks_for_the_same_actions_as_before() {
    let play = |size, loss, notes, known, seconds| Play { size, loss, notes, known, seconds };
    for (n, (play, expected)) in [
        (play(3, 0.0, false, false, 60), 0xf1defe153387e5ce_u64),
        (play(5, 0.3, true, false, 60), 0x3f721f5202c273db),
        (play(30, 0.1, false, false, 60), 0x21da45a34c4c530c),
        (play(30, 0.1, true, false, 60), 0xdfd8c60e0c3a79bf),
        (play(30, 0.6, true, true, 30), 0x4cec664664894f19),
        (play(150, 0.1, false, false, 30), 0x9ea8e875aa6f9848),
        (play(150, 0.0, true, false, 20), 0xb7969d8f4d0c2fc4),
        (play(150, 0.3, true, true, 20), 0x9929652416c017d4),
    ]
    .into_iter()
    .enumerate()
    {
        let hash = hash(play, n as u64);
        assert_eq!(hash, expected, "play {n}: {hash:#018x}, not {expected:#018x}");
    }
}
