use super::message::*;
use super::probing::MAX_RELAYED_PINGS;
use super::*;
use proptest::prelude::*;
use std::collections::HashSet;

const S: Micros = 1_000_000;

fn updates() -> impl Strategy<Value = Vec<Update>> {
    let state = prop_oneof![Just(State::Alive), Just(State::Suspect), Just(State::Dead), Just(State::Left)];
    let update = (0u16..400, 0u64..INCARNATION_LIMIT, state, any::<u16>());
    let update = update.prop_map(|(member, incarnation, state, accuser)| Update {
        member,
        incarnation,
        state,
        accuser,
    });
    prop::collection::vec(update, 0..60)
}

fn notes() -> impl Strategy<Value = Vec<Note>> {
    let bytes = prop::collection::vec(any::<u8>(), 0..=Note::MAX_BYTES);
    let note = (0u16..400, 0u64..INCARNATION_LIMIT, any::<u32>(), any::<u16>(), bytes);
    let note = note.prop_map(|(member, incarnation, sequence, age_ms, bytes)| Note {
        member,
        incarnation,
        sequence,
        age_ms,
        bytes,
    });
    prop::collection::vec(note, 0..6)
}

proptest! {
    #![proptest_config(crate::net::testing::config())]

    /// What is written fits, and is read as it was, up to where it had to end.
    #[test]
    fn datagrams_fit_and_come_back(list in updates(), notes in notes(), incarnation in 0..INCARNATION_LIMIT, seq: u32, target: u16) {
        for kind in [Kind::Ping(seq), Kind::PingReq { sequence: seq, target }, Kind::Ack(seq), Kind::Nack(seq), Kind::Updates] {
            let head = Head { incarnation, kind };
            let Encoded { bytes, updates: count, notes: noted } = encode(&head, list.iter().copied(), &notes);
            // Neither keeps the other out, however long all are.
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES && count >= list.len().min(8) && noted >= notes.len().min(1));
            prop_assert_eq!(bytes[0], if notes.is_empty() { VERSION_WITHOUT_NOTES } else { VERSION_WITH_NOTES });
            let (updates, notes) = (list[..count].to_vec(), notes[..noted].to_vec());
            prop_assert_eq!(decode(&bytes), Ok(Datagram { head, updates, notes }));
        }
    }

    /// Any bytes, and any spoilt datagram, are read or refused, and change no more than what they say.
    #[test]
    fn nothing_that_comes_panics(bytes in prop::collection::vec(any::<u8>(), 0..300), list in updates(), notes in notes(), at: usize, to: u8) {
        let mut g = Gossip::new(Config::of(0, 5), 7, 1, S);
        let mut spoilt = encode(&Head { incarnation: 9, kind: Kind::Ping(1) }, list, &notes).bytes;
        let at = at % spoilt.len();
        spoilt[at] = to;
        let cut = spoilt[..at].to_vec();
        for bytes in [bytes, spoilt, cut] {
            let mut actions = Vec::new();
            let taken = g.received(2 * S, 3, &bytes, &mut actions).is_ok();
            prop_assert_eq!(taken, decode(&bytes).is_ok());
            prop_assert!(taken || actions.is_empty());
        }
        g.tick(3 * S, &mut Vec::new());
        prop_assert_eq!(g.membership.get(0).state, State::Alive);
        prop_assert_eq!(g.counts.received, 3);
        prop_assert!(g.membership.len() == 5 && g.dissemination.fresh.len() <= 5 && g.probing.relayed.len() <= MAX_RELAYED_PINGS);
    }

    /// Whatever notes come in whatever order: one a member is held, the latest, of those that live.
    #[test]
    fn the_latest_note_of_each_is_held(list in prop::collection::vec((0u16..7, 1u64..4, 0u32..4), 0..40)) {
        let mut g = Gossip::new(Config::of(0, 5), 7, 1, S);
        g.hold(S, 4, 9, State::Dead, &mut Vec::new());
        for &(member, incarnation, sequence) in &list {
            let note = Note { member, incarnation, sequence, age_ms: 500, bytes: vec![incarnation as u8, sequence as u8] };
            let bytes = encode(&Head { incarnation: 9, kind: Kind::Updates }, [], &[note]).bytes;
            let mut actions = Vec::new();
            g.received(S, 3, &bytes, &mut actions).unwrap();
        }
        let mut held: Vec<_> = g.notes(S + 7).map(|n| (n.member, n.age, n.bytes.to_vec())).collect();
        held.sort_unstable();
        let latest = |m| list.iter().filter(|n| n.0 == m).max();
        let wanted: Vec<_> = (1..4).filter_map(latest).map(|n| (n.0, 500_007, vec![n.1 as u8, n.2 as u8])).collect();
        prop_assert_eq!(held, wanted);
        g.hold(S, 1, 9, State::Left, &mut Vec::new());
        prop_assert!(g.notes(S).all(|n| n.member != 1));
    }

    /// Views that have heard the same of others agree, whatever the order, and however often it came.
    #[test]
    fn the_order_of_news_does_not_matter(list in updates(), swaps in prop::collection::vec((0usize..60, 0usize..60), 0..40)) {
        let hear = |list: &[Update]| {
            let mut g = Gossip::new(Config::of(0, 400), 7, 1, S);
            list.iter().for_each(|&u| g.update(2 * S, 1, u, &mut Vec::new()));
            g.view().skip(1).collect::<Vec<_>>()
        };
        let (mut other, before) = (list.clone(), hear(&list));
        for (a, b) in swaps.into_iter().filter(|s| s.0.max(s.1) < list.len()) {
            other.swap(a, b);
        }
        other.extend(list.iter().take(5));
        prop_assert_eq!(hear(&other), before);
    }
}

#[test]
fn a_claim_out_of_range_and_another_version_are_refused() {
    let head = Head { incarnation: 1, kind: Kind::Updates };
    let claim = Update { member: 0, incarnation: INCARNATION_LIMIT, state: State::Dead, accuser: 1 };
    assert_eq!(decode(&encode(&head, [claim], &[]).bytes), Err(DecodeError::Range));
    let mut bytes = encode(&head, [], &[]).bytes;
    bytes[0] = VERSION_WITH_NOTES + 1;
    assert_eq!(decode(&bytes), Err(DecodeError::Version));
    assert_eq!(decode(&[VERSION_WITHOUT_NOTES; MAX_DATAGRAM_BYTES + 1]), Err(DecodeError::Length));
}

// ---- every order of a few datagrams ----

/// Three instances and what is under way between them.
#[derive(Clone, Debug)]
struct World {
    now: Micros,
    members: Vec<Gossip>,
    on_way: Vec<(MemberId, MemberId, Vec<u8>)>,
    /// When each last heard each other itself.
    heard: [[Option<Micros>; 3]; 3],
}

/// Datagrams under way at a time; beyond, the newest is lost.
const ON_WAY: usize = 4;

impl World {
    fn new(seed: u64) -> Self {
        let member = |n: MemberId| Gossip::new(Config::of(n, 3), 10 + u64::from(n), seed + u64::from(n), S);
        World { now: S, members: (0..3).map(member).collect(), on_way: Vec::new(), heard: [[None; 3]; 3] }
    }

    /// Takes over what somebody does; breaks off where one that is heard is held to be dead.
    fn did(&mut self, by: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, bytes } if self.on_way.len() < ON_WAY => {
                    self.on_way.push((by as MemberId, to, bytes));
                }
                Action::Send { .. } | Action::Noted { .. } => {}
                Action::Changed { member, state, .. } => {
                    let heard = self.heard[by][usize::from(member)];
                    let lately =
                        heard.is_some_and(|t| self.now - t < self.members[by].config.min_suspicion());
                    assert!(state != State::Dead || !lately, "{by} hears {member}, and holds it to be dead");
                }
            }
        }
    }

    fn deliver(&mut self, at: usize) {
        let (from, to, bytes) = self.on_way.remove(at);
        let mut actions = Vec::new();
        self.now += 1_000;
        let (now, to) = (self.now, usize::from(to));
        self.heard[to][usize::from(from)] = Some(now);
        self.members[to].received(now, from, &bytes, &mut actions).unwrap();
        self.did(to, actions);
    }

    fn tick(&mut self) {
        let who = (0..3).min_by_key(|&n| self.members[n].next()).unwrap();
        self.now = self.now.max(self.members[who].next());
        let mut actions = Vec::new();
        self.members[who].tick(self.now, &mut actions);
        self.did(who, actions);
    }

    fn agrees(&self) -> bool {
        self.members.iter().all(|g| g.view().all(|m| m.state == State::Alive))
    }

    /// Nothing is lost any more: all datagrams come before anybody's time goes on.
    fn settles(mut self) -> bool {
        let until = self.now + 6 * S;
        while self.now < until {
            while !self.on_way.is_empty() {
                self.deliver(0);
            }
            self.tick();
        }
        self.agrees()
    }
}

/// Every order in which up to four datagrams between three members come or are lost, with time going on in between,
/// from states in which members are well, suspected, or held to be dead: who is heard is not held to be dead, and
/// once nothing is lost the views agree. (Deliveries that lead to the same state are followed once.)
#[test]
fn in_every_order_who_is_heard_lives_and_views_agree_in_the_end() {
    let (mut seen, mut leaves) = (HashSet::new(), 0);
    for (seed, lost_for) in [(1, 0), (2, 700_000), (3, 1_500_000), (4, 5_000_000)] {
        let mut world = World::new(seed);
        // Everything of and to the last member is lost for a while.
        while world.now < S + lost_for {
            world.tick();
            world.on_way.retain(|m| m.0 != 2 && m.1 != 2);
            while !world.on_way.is_empty() {
                world.deliver(0);
                world.on_way.retain(|m| m.0 != 2 && m.1 != 2);
            }
        }
        world.tick();
        let mut stack = vec![(world, 6)];
        while let Some((world, depth)) = stack.pop() {
            if !seen.insert((format!("{:?} {:?} {:?}", world.members, world.on_way, world.heard), depth)) {
                continue;
            }
            if depth == 0 {
                leaves += 1;
                assert!(leaves % 7 != 0 || world.clone().settles(), "{world:?}");
                continue;
            }
            for at in 0..world.on_way.len() {
                let mut comes = world.clone();
                comes.deliver(at);
                stack.push((comes, depth - 1));
                let mut lost = world.clone();
                lost.on_way.remove(at);
                stack.push((lost, depth - 1));
            }
            let mut goes_on = world;
            goes_on.tick();
            stack.push((goes_on, depth - 1));
        }
    }
    assert!(leaves > 5_000, "{leaves}");
}

#[test]
fn hearing_one_that_others_hold_to_be_dead_keeps_it_alive_here_and_it_is_told() {
    let mut g = Gossip::new(Config::of(0, 3), 10, 1, S);
    let ping = encode(&Head { incarnation: 5, kind: Kind::Ping(1) }, [], &[]).bytes;
    let dead = Update { member: 2, incarnation: 5, state: State::Dead, accuser: 1 };
    let news = encode(&Head { incarnation: 6, kind: Kind::Updates }, [dead], &[]).bytes;
    let mut actions = Vec::new();
    g.received(S, 2, &ping, &mut actions).unwrap();
    g.received(S + 1, 1, &news, &mut actions).unwrap();
    assert_eq!(g.membership.get(2).state, State::Suspect, "heard a moment ago");
    actions.clear();
    g.received(S + 2, 2, &ping, &mut actions).unwrap();
    let Some(Action::Send { to: 2, bytes }) = actions.pop() else { panic!("{actions:?}") };
    let told = decode(&bytes).unwrap().updates;
    assert!(
        told.iter().any(|u| u.member == 2 && u.state == State::Suspect),
        "so that it can deny it: {told:?}"
    );
    g.received(3 * S, 1, &news, &mut actions).unwrap();
    assert_eq!(g.membership.get(2).state, State::Dead, "not heard for a while");
}

#[test]
fn a_suspicion_does_not_end_in_death_while_the_member_is_heard_and_does_once_it_is_not() {
    let mut g = Gossip::new(Config::of(0, 3), 10, 1, S);
    let ping = encode(&Head { incarnation: 5, kind: Kind::Ping(1) }, [], &[]).bytes;
    let accused = Update { member: 2, incarnation: 5, state: State::Suspect, accuser: 1 };
    let news = encode(&Head { incarnation: 6, kind: Kind::Updates }, [accused], &[]).bytes;
    let mut actions = Vec::new();
    g.received(S, 1, &news, &mut actions).unwrap();
    for step in 1..100 {
        // It is heard, but what it is told does not reach it: it denies nothing.
        g.received(S + step * S / 10, 2, &ping, &mut actions).unwrap();
        g.tick(S + step * S / 10, &mut actions);
        assert_eq!(g.membership.get(2).state, State::Suspect, "step {step}");
    }
    g.tick(11 * S + g.config.min_suspicion(), &mut actions);
    assert_eq!(g.membership.get(2).state, State::Dead);
}

/// The versions of the datagrams sent, and the notes that go along.
fn sent(actions: &[Action]) -> Vec<(u8, Vec<Note>)> {
    let sent =
        actions.iter().filter_map(|a| if let Action::Send { bytes, .. } = a { Some(bytes) } else { None });
    sent.map(|b| (b[0], decode(b).unwrap().notes)).collect()
}

fn sends(g: &mut Gossip, now: Micros) -> Vec<(u8, Vec<Note>)> {
    let mut actions = Vec::new();
    g.tick(now, &mut actions);
    sent(&actions)
}

#[test]
fn a_changed_note_is_told_at_once_within_a_bound_ages_on_its_way_and_goes_in_the_end() {
    let mut g = Gossip::new(Config::of(0, 9), 7, 1, S);
    assert!(
        sends(&mut g, S).iter().all(|s| s.0 == VERSION_WITHOUT_NOTES),
        "who has no note speaks as before"
    );
    // Once changed, however often that is within a period.
    g.set_note(S, Some(vec![1; 65]));
    assert_eq!(g.next(), S + g.config.probe_timeout, "too long: none");
    (0..20).for_each(|n| g.set_note(S + n, Some(vec![n as u8])));
    assert_eq!(g.next(), S);
    assert_eq!(sends(&mut g, S + 20).len(), MAX_EXTRA_DATAGRAMS);
    (20..40).for_each(|n| g.set_note(S + n, Some(vec![n as u8])));
    assert!(sends(&mut g, S + 50).is_empty());
    // One that comes from another is told with its own age, and what it was held for.
    let note = Note { member: 2, incarnation: 9, sequence: 1, age_ms: 1_500, bytes: vec![5; 64] };
    let bytes = encode(&Head { incarnation: 9, kind: Kind::Ping(1) }, [], &[note]).bytes;
    let mut actions = Vec::new();
    g.received(2 * S, 3, &bytes, &mut actions).unwrap();
    assert!(actions.contains(&Action::Noted { member: 2 }));
    let told = |sent: Vec<(u8, Vec<Note>)>| sent.into_iter().flat_map(|s| s.1).find(|n| n.member == 2);
    let aged = told(sends(&mut g, 3 * S)).map(|n| n.age_ms);
    assert_eq!(aged, Some(2_500));
    let held = ReceivedNote { member: 2, age: 2_500_000, bytes: &[5; 64] };
    assert_eq!(g.notes(3 * S).collect::<Vec<_>>(), [held]);
    // Too old to be told, then too old to be kept.
    for second in 11..70 {
        let ping = encode(&Head { incarnation: 9, kind: Kind::Ping(1) }, [], &[]).bytes;
        let mut acks = Vec::new();
        (1..9).for_each(|from| g.received(second * S, from, &ping, &mut acks).unwrap());
        assert_eq!(told(sent(&acks)), None, "{second}");
        assert_eq!(told(sends(&mut g, second * S)), None, "{second}");
        assert_eq!(g.notes(0).any(|n| n.member == 2), second <= 60, "{second}");
    }
}

/// Guards the others against an instance that was stopped: it accuses nobody whose answer or denial lay in its socket.
#[test]
fn after_a_pause_nobody_is_accused_who_was_heard_meanwhile() {
    for pause in [S / 2, 5 * S, 30 * S] {
        let mut gossip = Gossip::new(Config::of(0, 5), 7, 1, S);
        let mut actions = Vec::new();
        gossip.suspect(S, 4, 9, 3, &mut actions);
        actions.clear();
        gossip.tick(S, &mut actions);
        let pinged = actions.iter().find_map(|action| match action {
            Action::Send { to, bytes } => match decode(bytes).unwrap().head.kind {
                Kind::Ping(sequence) if *to != 4 => Some((*to, sequence)),
                _ => None,
            },
            _ => None,
        });
        let woken = S + pause;
        let mut heard: Vec<(MemberId, Head)> = vec![(4, Head { incarnation: 10, kind: Kind::Updates })];
        heard.extend(pinged.map(|(to, sequence)| (to, Head { incarnation: 9, kind: Kind::Ack(sequence) })));
        actions.clear();
        for (from, head) in heard {
            gossip.received(woken, from, &encode(&head, [], &[]).bytes, &mut actions).unwrap();
        }
        gossip.tick(woken, &mut actions);
        let is_accusation =
            |action: &&Action| matches!(action, Action::Changed { state, .. } if *state > State::Alive);
        assert_eq!(actions.iter().find(is_accusation), None, "after {pause}");
        assert_eq!(gossip.by_state(), [5, 0, 0, 0]);
    }
}
