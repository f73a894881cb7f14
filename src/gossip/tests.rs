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

    /// Holds for any number of updates and notes; those that do not fit are omitted.
    #[test]
    fn datagrams_fit_and_are_decoded_as_encoded(list in updates(), notes in notes(), incarnation in 0..INCARNATION_LIMIT, seq: u32, target: u16) {
        for kind in [Kind::Ping(seq), Kind::PingReq { sequence: seq, target }, Kind::Ack(seq), Kind::Nack(seq), Kind::Updates] {
            let head = Head { incarnation, kind };
            let Encoded { bytes, updates: update_count, notes: note_count } = encode(&head, list.iter().copied(), &notes);
            // Updates and notes do not displace each other completely, however long they are.
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES && update_count >= list.len().min(8) && note_count >= notes.len().min(1));
            prop_assert_eq!(bytes[0], if notes.is_empty() { VERSION_WITHOUT_NOTES } else { VERSION_WITH_NOTES });
            let (updates, notes) = (list[..update_count].to_vec(), notes[..note_count].to_vec());
            prop_assert_eq!(decode(&bytes), Ok(Datagram { head, updates, notes }));
        }
    }

    /// Holds for any bytes and any corrupted or truncated datagram; invalid ones cause no action.
    #[test]
    fn no_received_bytes_cause_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), list in updates(), notes in notes(), at: usize, to: u8) {
        let mut gossip = Gossip::new(Config::new(0, 5), 7, 1, S);
        let mut corrupted = encode(&Head { incarnation: 9, kind: Kind::Ping(1) }, list, &notes).bytes;
        let at = at % corrupted.len();
        corrupted[at] = to;
        let truncated = corrupted[..at].to_vec();
        for bytes in [bytes, corrupted, truncated] {
            let mut actions = Vec::new();
            let is_valid = gossip.receive(2 * S, 3, &bytes, &mut actions).is_ok();
            prop_assert_eq!(is_valid, decode(&bytes).is_ok());
            prop_assert!(is_valid || actions.is_empty());
        }
        gossip.tick(3 * S, &mut Vec::new());
        prop_assert_eq!(gossip.membership.get(0).state, State::Alive);
        prop_assert_eq!(gossip.counts.received, 3);
        prop_assert!(gossip.membership.len() == 5 && gossip.dissemination.fresh.len() <= 5 && gossip.probing.relayed.len() <= MAX_RELAYED_PINGS);
    }

    /// Holds for any notes in any order; members that are dead or have left have none.
    #[test]
    fn the_latest_note_of_each_present_member_is_stored(list in prop::collection::vec((0u16..7, 1u64..4, 0u32..4), 0..40)) {
        let mut gossip = Gossip::new(Config::new(0, 5), 7, 1, S);
        gossip.apply_state(S, 4, 9, State::Dead, &mut Vec::new());
        for &(member, incarnation, sequence) in &list {
            let note = Note { member, incarnation, sequence, age_ms: 500, bytes: vec![incarnation as u8, sequence as u8] };
            let bytes = encode(&Head { incarnation: 9, kind: Kind::Updates }, [], &[note]).bytes;
            let mut actions = Vec::new();
            gossip.receive(S, 3, &bytes, &mut actions).unwrap();
        }
        let mut stored: Vec<_> = gossip.notes(S + 7).map(|n| (n.member, n.age, n.bytes.to_vec())).collect();
        stored.sort_unstable();
        let latest = |m| list.iter().filter(|n| n.0 == m).max();
        let expected: Vec<_> = (1..4).filter_map(latest).map(|n| (n.0, 500_007, vec![n.1 as u8, n.2 as u8])).collect();
        prop_assert_eq!(stored, expected);
        gossip.apply_state(S, 1, 9, State::Left, &mut Vec::new());
        prop_assert!(gossip.notes(S).all(|n| n.member != 1));
    }

    /// Holds for any order and any repetitions of the same updates.
    #[test]
    fn views_that_processed_the_same_updates_agree(list in updates(), swaps in prop::collection::vec((0usize..60, 0usize..60), 0..40)) {
        let view_after = |list: &[Update]| {
            let mut gossip = Gossip::new(Config::new(0, 400), 7, 1, S);
            list.iter().for_each(|&u| gossip.update(2 * S, 1, u, &mut Vec::new()));
            gossip.view().skip(1).collect::<Vec<_>>()
        };
        let (mut reordered, before) = (list.clone(), view_after(&list));
        for (a, b) in swaps.into_iter().filter(|s| s.0.max(s.1) < list.len()) {
            reordered.swap(a, b);
        }
        reordered.extend(list.iter().take(5));
        prop_assert_eq!(view_after(&reordered), before);
    }
}

#[test]
fn an_incarnation_out_of_range_another_version_and_too_many_bytes_are_rejected() {
    let head = Head { incarnation: 1, kind: Kind::Updates };
    let claim = Update { member: 0, incarnation: INCARNATION_LIMIT, state: State::Dead, accuser: 1 };
    assert_eq!(decode(&encode(&head, [claim], &[]).bytes), Err(DecodeError::Range));
    let mut bytes = encode(&head, [], &[]).bytes;
    bytes[0] = VERSION_WITH_NOTES + 1;
    assert_eq!(decode(&bytes), Err(DecodeError::Version));
    assert_eq!(decode(&[VERSION_WITHOUT_NOTES; MAX_DATAGRAM_BYTES + 1]), Err(DecodeError::Length));
}

// Exhaustive orders of a few datagrams.

/// Three members and the datagrams in transit between them.
#[derive(Clone, Debug)]
struct Network {
    now: Micros,
    members: Vec<Gossip>,
    in_transit: Vec<(MemberId, MemberId, Vec<u8>)>,
    /// Time at which each member (row) last received a datagram from each other (column).
    last_received: [[Option<Micros>; 3]; 3],
}

/// Maximum number of datagrams in transit; above this, the newest is lost.
const MAX_IN_TRANSIT: usize = 4;

impl Network {
    fn new(seed: u64) -> Self {
        let member = |n: MemberId| Gossip::new(Config::new(n, 3), 10 + u64::from(n), seed + u64::from(n), S);
        Network {
            now: S,
            members: (0..3).map(member).collect(),
            in_transit: Vec::new(),
            last_received: [[None; 3]; 3],
        }
    }

    /// Applies the actions of a member. Fails if it declares a member dead that it has heard from recently.
    fn apply_actions(&mut self, by: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, bytes } if self.in_transit.len() < MAX_IN_TRANSIT => {
                    self.in_transit.push((by as MemberId, to, bytes));
                }
                Action::Send { .. } | Action::NoteReceived { .. } => {}
                Action::Changed { member, state, .. } => {
                    let last_received = self.last_received[by][usize::from(member)];
                    let is_recent =
                        last_received.is_some_and(|t| self.now - t < self.members[by].config.min_suspicion());
                    assert!(
                        state != State::Dead || !is_recent,
                        "{by} declares {member} dead, which it has heard from recently"
                    );
                }
            }
        }
    }

    fn deliver(&mut self, at: usize) {
        let (from, to, bytes) = self.in_transit.remove(at);
        let mut actions = Vec::new();
        self.now += 1_000;
        let (now, to) = (self.now, usize::from(to));
        self.last_received[to][usize::from(from)] = Some(now);
        self.members[to].receive(now, from, &bytes, &mut actions).unwrap();
        self.apply_actions(to, actions);
    }

    fn tick(&mut self) {
        let member = (0..3).min_by_key(|&n| self.members[n].next_due()).unwrap();
        self.now = self.now.max(self.members[member].next_due());
        let mut actions = Vec::new();
        self.members[member].tick(self.now, &mut actions);
        self.apply_actions(member, actions);
    }

    fn views_agree(&self) -> bool {
        self.members.iter().all(|gossip| gossip.view().all(|m| m.state == State::Alive))
    }

    /// Runs without losses, delivering all datagrams before time advances, and returns whether the views agree then.
    fn converges(mut self) -> bool {
        let until = self.now + 6 * S;
        while self.now < until {
            while !self.in_transit.is_empty() {
                self.deliver(0);
            }
            self.tick();
        }
        self.views_agree()
    }
}

/// Explores every order in which up to four datagrams between three members are delivered or lost while time advances,
/// from states in which the third member is alive, suspected or dead. States reached more than once are explored once.
#[test]
fn in_every_order_no_recently_heard_member_is_dead_and_views_agree_once_losses_end() {
    let (mut visited, mut leaves) = (HashSet::new(), 0);
    for (seed, lost_for) in [(1, 0), (2, 700_000), (3, 1_500_000), (4, 5_000_000)] {
        let mut network = Network::new(seed);
        // For some time all datagrams from and to the last member are lost.
        while network.now < S + lost_for {
            network.tick();
            network.in_transit.retain(|m| m.0 != 2 && m.1 != 2);
            while !network.in_transit.is_empty() {
                network.deliver(0);
                network.in_transit.retain(|m| m.0 != 2 && m.1 != 2);
            }
        }
        network.tick();
        let mut stack = vec![(network, 6)];
        while let Some((network, depth)) = stack.pop() {
            if !visited.insert((
                format!("{:?} {:?} {:?}", network.members, network.in_transit, network.last_received),
                depth,
            )) {
                continue;
            }
            if depth == 0 {
                leaves += 1;
                assert!(leaves % 7 != 0 || network.clone().converges(), "{network:?}");
                continue;
            }
            for at in 0..network.in_transit.len() {
                let mut delivered = network.clone();
                delivered.deliver(at);
                stack.push((delivered, depth - 1));
                let mut lost = network.clone();
                lost.in_transit.remove(at);
                stack.push((lost, depth - 1));
            }
            let mut advanced = network;
            advanced.tick();
            stack.push((advanced, depth - 1));
        }
    }
    assert!(leaves > 5_000, "{leaves}");
}

#[test]
fn a_recently_heard_member_that_others_declare_dead_is_only_suspected_and_learns_of_it() {
    let mut gossip = Gossip::new(Config::new(0, 3), 10, 1, S);
    let ping = encode(&Head { incarnation: 5, kind: Kind::Ping(1) }, [], &[]).bytes;
    let dead = Update { member: 2, incarnation: 5, state: State::Dead, accuser: 1 };
    let accusation = encode(&Head { incarnation: 6, kind: Kind::Updates }, [dead], &[]).bytes;
    let mut actions = Vec::new();
    gossip.receive(S, 2, &ping, &mut actions).unwrap();
    gossip.receive(S + 1, 1, &accusation, &mut actions).unwrap();
    assert_eq!(gossip.membership.get(2).state, State::Suspect, "heard from recently");
    actions.clear();
    gossip.receive(S + 2, 2, &ping, &mut actions).unwrap();
    let Some(Action::Send { to: 2, bytes }) = actions.pop() else { panic!("{actions:?}") };
    let sent_updates = decode(&bytes).unwrap().updates;
    assert!(
        sent_updates.iter().any(|u| u.member == 2 && u.state == State::Suspect),
        "so that it can refute the suspicion: {sent_updates:?}"
    );
    gossip.receive(3 * S, 1, &accusation, &mut actions).unwrap();
    assert_eq!(gossip.membership.get(2).state, State::Dead, "not heard from recently");
}

#[test]
fn a_suspected_member_is_declared_dead_only_after_its_datagrams_stop() {
    let mut gossip = Gossip::new(Config::new(0, 3), 10, 1, S);
    let ping = encode(&Head { incarnation: 5, kind: Kind::Ping(1) }, [], &[]).bytes;
    let accused = Update { member: 2, incarnation: 5, state: State::Suspect, accuser: 1 };
    let accusation = encode(&Head { incarnation: 6, kind: Kind::Updates }, [accused], &[]).bytes;
    let mut actions = Vec::new();
    gossip.receive(S, 1, &accusation, &mut actions).unwrap();
    for step in 1..100 {
        // The member's datagrams arrive, but it does not receive the accusation and refutes nothing.
        gossip.receive(S + step * S / 10, 2, &ping, &mut actions).unwrap();
        gossip.tick(S + step * S / 10, &mut actions);
        assert_eq!(gossip.membership.get(2).state, State::Suspect, "step {step}");
    }
    gossip.tick(11 * S + gossip.config.min_suspicion(), &mut actions);
    assert_eq!(gossip.membership.get(2).state, State::Dead);
}

/// Returns the versions of the datagrams sent and their notes.
fn sent_notes(actions: &[Action]) -> Vec<(u8, Vec<Note>)> {
    let datagrams =
        actions.iter().filter_map(|a| if let Action::Send { bytes, .. } = a { Some(bytes) } else { None });
    datagrams.map(|b| (b[0], decode(b).unwrap().notes)).collect()
}

fn tick_and_collect(gossip: &mut Gossip, now: Micros) -> Vec<(u8, Vec<Note>)> {
    let mut actions = Vec::new();
    gossip.tick(now, &mut actions);
    sent_notes(&actions)
}

#[test]
fn a_changed_note_is_sent_at_once_with_limited_extra_datagrams_ages_and_expires() {
    let mut gossip = Gossip::new(Config::new(0, 9), 7, 1, S);
    assert!(
        tick_and_collect(&mut gossip, S).iter().all(|s| s.0 == VERSION_WITHOUT_NOTES),
        "a member without a note sends version 1"
    );
    // Extra datagrams are sent only once per period, however often the note changes.
    gossip.set_note(S, Some(vec![1; 65]));
    assert_eq!(gossip.next_due(), S + gossip.config.probe_timeout, "a note that is too long counts as none");
    (0..20).for_each(|n| gossip.set_note(S + n, Some(vec![n as u8])));
    assert_eq!(gossip.next_due(), S);
    assert_eq!(tick_and_collect(&mut gossip, S + 20).len(), MAX_EXTRA_DATAGRAMS);
    (20..40).for_each(|n| gossip.set_note(S + n, Some(vec![n as u8])));
    assert!(tick_and_collect(&mut gossip, S + 50).is_empty());
    // A note received from another member is forwarded with its age plus the time it was stored here.
    let note = Note { member: 2, incarnation: 9, sequence: 1, age_ms: 1_500, bytes: vec![5; 64] };
    let bytes = encode(&Head { incarnation: 9, kind: Kind::Ping(1) }, [], &[note]).bytes;
    let mut actions = Vec::new();
    gossip.receive(2 * S, 3, &bytes, &mut actions).unwrap();
    assert!(actions.contains(&Action::NoteReceived { member: 2 }));
    let note_of_2 =
        |datagrams: Vec<(u8, Vec<Note>)>| datagrams.into_iter().flat_map(|s| s.1).find(|n| n.member == 2);
    let aged = note_of_2(tick_and_collect(&mut gossip, 3 * S)).map(|n| n.age_ms);
    assert_eq!(aged, Some(2_500));
    let stored = ReceivedNote { member: 2, age: 2_500_000, bytes: &[5; 64] };
    assert_eq!(gossip.notes(3 * S).collect::<Vec<_>>(), [stored]);
    // Later the note is too old to be sent, then too old to be stored.
    for second in 11..70 {
        let ping = encode(&Head { incarnation: 9, kind: Kind::Ping(1) }, [], &[]).bytes;
        let mut replies = Vec::new();
        (1..9).for_each(|from| gossip.receive(second * S, from, &ping, &mut replies).unwrap());
        assert_eq!(note_of_2(sent_notes(&replies)), None, "{second}");
        assert_eq!(note_of_2(tick_and_collect(&mut gossip, second * S)), None, "{second}");
        assert_eq!(gossip.notes(0).any(|n| n.member == 2), second <= 60, "{second}");
    }
}

/// Guards other members against an instance that was paused: it must not accuse a member whose answer or refutation is
/// waiting in its socket.
#[test]
fn after_a_pause_no_member_whose_datagrams_arrived_meanwhile_is_accused() {
    for pause in [S / 2, 5 * S, 30 * S] {
        let mut gossip = Gossip::new(Config::new(0, 5), 7, 1, S);
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
        let resumed_at = S + pause;
        let mut received: Vec<(MemberId, Head)> = vec![(4, Head { incarnation: 10, kind: Kind::Updates })];
        received
            .extend(pinged.map(|(to, sequence)| (to, Head { incarnation: 9, kind: Kind::Ack(sequence) })));
        actions.clear();
        for (from, head) in received {
            gossip.receive(resumed_at, from, &encode(&head, [], &[]).bytes, &mut actions).unwrap();
        }
        gossip.tick(resumed_at, &mut actions);
        let is_accusation =
            |action: &&Action| matches!(action, Action::Changed { state, .. } if *state > State::Alive);
        assert_eq!(actions.iter().find(is_accusation), None, "after {pause}");
        assert_eq!(gossip.by_state(), [5, 0, 0, 0]);
    }
}
