//! Gossip: group membership of the instances, without a central service.
//!
//! Implements SWIM (Das, Gupta and Motivala, 2002) with the Lifeguard extensions (Dadgar, Phillips and Currey, 2018):
//! an instance that receives few answers takes longer to suspect others (`health.rs`), a suspicion ends sooner the more
//! members accuse independently (`suspicion.rs`), and every datagram to a suspected member carries the suspicion
//! (`dissemination.rs`). The module does no I/O and reads no clock: it is given the time and datagrams, and returns
//! datagrams to send and changes of the view. The driver is `src/proxy/gossip.rs`.
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

mod config;
mod dissemination;
mod health;
mod membership;
pub mod message;
mod notes;
mod probing;
mod suspicion;
#[cfg(test)]
mod tests;

pub use self::config::Config;
use self::dissemination::Dissemination;
use self::health::LocalHealth;
use self::membership::Membership;
use self::message::{decode, Datagram, DecodeError, Head, Kind, Note};
pub use self::message::{Incarnation, MemberId, State};
pub use self::notes::ReceivedNote;
use self::notes::{Notes, MAX_EXTRA_DATAGRAMS};
use self::probing::Probing;
use crate::routing::events::Micros;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg32;

/// An action for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A datagram is to be sent.
    Send {
        /// Receiver.
        to: MemberId,
        /// The datagram, at most [`message::MAX_DATAGRAM_BYTES`] long.
        bytes: Vec<u8>,
    },
    /// The view of a member has changed.
    Changed {
        /// The member.
        member: MemberId,
        /// New state of the member.
        state: State,
        /// Incarnation to which the state applies.
        incarnation: Incarnation,
    },
    /// A later note of a member was received, see [`Gossip::notes`].
    NoteReceived {
        /// Member that published the note.
        member: MemberId,
    },
}

/// Counters of gossip.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of datagrams sent.
    pub sent: u64,
    /// Number of datagrams received.
    pub received: u64,
    /// Number of datagrams received that could not be decoded.
    pub undecodable: u64,
    /// Number of suspicions in this view, raised by this instance or by others.
    pub suspected: u64,
    /// Number of suspicions that the member refuted.
    pub refuted: u64,
    /// Number of times that a member was declared dead in this view.
    pub died: u64,
}

/// View of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Number of the member.
    pub member: MemberId,
    /// State of the member.
    pub state: State,
    /// Incarnation to which the state applies.
    pub incarnation: Incarnation,
}

/// One instance's view of all members.
#[derive(Clone, Debug)]
pub struct Gossip {
    config: Config,
    membership: Membership,
    dissemination: Dissemination,
    probing: Probing,
    notes: Notes,
    health: LocalHealth,
    next_period: Micros,
    has_left: bool,
    rng: Pcg32,
    counts: Counts,
}

impl Gossip {
    /// Creates the view of an instance that starts at `now`. All others count as alive until they do not answer.
    pub fn new(config: Config, incarnation: Incarnation, seed: u64, now: Micros) -> Self {
        let mut gossip = Gossip {
            config,
            membership: Membership::new(config.me, config.members, incarnation),
            dissemination: Dissemination::new(config.transmissions()),
            probing: Probing::default(),
            notes: Notes::new(config.me, config.transmissions(), config.probe_period),
            health: LocalHealth::default(),
            next_period: now,
            has_left: false,
            rng: Pcg32::seed_from_u64(seed),
            counts: Counts::default(),
        };
        gossip.announce(config.me);
        gossip
    }

    /// Sets known incarnations of other members without disseminating them or reporting changes, for a view that starts
    /// from a known state as in simulations. A later incarnation that is already known is kept.
    pub fn preset_incarnations(&mut self, known: impl IntoIterator<Item = (MemberId, Incarnation)>) {
        for (member, incarnation) in known {
            self.membership.preset_incarnation(member, incarnation);
        }
    }

    /// Returns the view of each member, by number.
    pub fn view(&self) -> impl Iterator<Item = MemberView> + '_ {
        self.membership.iter().map(|(member, entry)| MemberView {
            member,
            state: entry.state,
            incarnation: entry.incarnation,
        })
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of members by state: alive, suspect, dead, left.
    pub fn by_state(&self) -> [usize; 4] {
        let mut counts = [0; 4];
        for (_, entry) in self.membership.iter() {
            counts[entry.state as usize] += 1;
        }
        counts
    }

    /// Returns the latest time for the next call of [`Gossip::tick`].
    pub fn next_due(&self) -> Micros {
        let suspicions = self.membership.suspects().iter().filter_map(|&member| self.suspicion_ends(member));
        let probing = self.probing.next_due().into_iter();
        probing.chain(suspicions).chain(self.notes.extra_due()).fold(self.next_period, Micros::min)
    }

    /// Processes everything that is due at `now`.
    pub fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.has_left {
            self.next_period = Micros::MAX;
            self.notes.claim_extra(Micros::MAX);
            return;
        }
        self.nack_expired_pings(now, actions);
        self.retry_probe(now, actions);
        self.end_suspicions(now, actions);
        if now >= self.next_period {
            self.finish_probe(now, actions);
            self.next_period = now + self.health.stretch(self.config.probe_period);
            self.notes.renew(now, self.membership.own_incarnation());
            self.begin_probe(now, actions);
        }
        if self.notes.claim_extra(now) {
            self.send_extra_datagrams(now, actions);
        }
    }

    fn send_extra_datagrams(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut receivers = self.membership.others(|member| member.state == State::Alive);
        receivers.shuffle(&mut self.rng);
        for to in receivers.into_iter().take(MAX_EXTRA_DATAGRAMS) {
            self.send(now, to, Kind::Updates, actions);
        }
    }

    /// Sets this instance's own note, of at most [`message::Note::MAX_BYTES`] bytes; a longer one counts as `None`. A
    /// changed note is sent with the next datagrams and with a few extra ones, of which [`Gossip::tick`] sends at most
    /// three per period; an unchanged one is renewed every 2 s. After the note is removed (`None`), the others keep the
    /// last one until it is a minute old.
    pub fn set_note(&mut self, now: Micros, note: Option<Vec<u8>>) {
        if !self.has_left {
            self.notes.set(now, self.membership.own_incarnation(), note);
        }
    }

    /// Returns the latest note of each other member that is neither dead nor left. No note is older than a minute.
    pub fn notes(&self, now: Micros) -> impl Iterator<Item = ReceivedNote<'_>> {
        self.notes.others(now)
    }

    /// Processes a datagram from a member.
    ///
    /// # Errors
    /// The bytes are not a valid datagram; only the counters change.
    pub fn receive(
        &mut self,
        now: Micros,
        from: MemberId,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), DecodeError> {
        self.counts.received += 1;
        let Datagram { head, updates, notes } =
            decode(bytes).inspect_err(|_| self.counts.undecodable += 1)?;
        if from == self.config.me || from >= self.config.members || self.has_left {
            return Ok(());
        }
        self.contacted(now, from, head, actions);
        for update in updates {
            self.update(now, from, update, actions);
        }
        for note in notes {
            self.receive_note(now, note, actions);
        }
        self.answer(now, from, head.kind, actions);
        Ok(())
    }

    /// Records that a member is alive in the incarnation given by the head of its datagram.
    fn contacted(&mut self, now: Micros, from: MemberId, head: Head, actions: &mut Vec<Action>) {
        if head.incarnation >= self.membership.get(from).incarnation {
            self.apply_state(now, from, head.incarnation, State::Alive, actions);
            self.membership.contacted(now, from);
        }
    }

    fn receive_note(&mut self, now: Micros, note: Note, actions: &mut Vec<Action>) {
        let member = note.member;
        let is_other = member != self.config.me && member < self.config.members;
        if is_other && self.membership.get(member).state <= State::Suspect && self.notes.store(now, note) {
            actions.push(Action::NoteReceived { member });
        }
    }

    fn answer(&mut self, now: Micros, from: MemberId, kind: Kind, actions: &mut Vec<Action>) {
        match kind {
            Kind::Ping(sequence) => self.send(now, from, Kind::Ack(sequence), actions),
            Kind::PingReq { sequence, target } => self.relay_ping(now, from, sequence, target, actions),
            Kind::Ack(sequence) => self.acked(now, from, sequence, actions),
            Kind::Nack(sequence) => self.nacked(sequence),
            Kind::Updates => {}
        }
    }

    /// Announces to all members that this instance leaves; afterwards it sends nothing more.
    pub fn leave(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.has_left {
            return;
        }
        self.membership.leave();
        self.announce(self.config.me);
        for to in self.membership.others(|member| member.state <= State::Suspect) {
            self.send(now, to, Kind::Updates, actions);
        }
        self.has_left = true;
        self.tick(now, actions);
    }
}
