//! Failure detection: state changes of members by updates and by missing answers, and refutation of updates on this
//! instance itself.

use super::message::{Incarnation, MemberId, State, Update};
use super::{Action, Gossip};
use crate::routing::events::Micros;

impl Gossip {
    /// Processes an update on a member. The state of the sender itself was already taken from the head of its datagram;
    /// updates on others apply by the order of incarnations and states.
    pub(super) fn update(&mut self, now: Micros, from: MemberId, update: Update, actions: &mut Vec<Action>) {
        let Update { member, incarnation, state, accuser } = update;
        if member >= self.config.members {
            return;
        }
        if member == self.config.me {
            return self.refute(incarnation, state);
        }
        match state {
            State::Suspect => self.suspect(now, member, incarnation, accuser, actions),
            // A member that was heard from recently is not declared dead because of another member's update. It is
            // suspected instead, so that it learns of the accusation and can refute it.
            State::Dead if member != from && self.had_recent_contact(now, member) => {
                self.suspect(now, member, incarnation, from, actions);
            }
            _ => self.apply_state(now, member, incarnation, state, actions),
        }
    }

    fn had_recent_contact(&self, now: Micros, member: MemberId) -> bool {
        let last_contact = self.membership.get(member).last_contact;
        last_contact.is_some_and(|contact| now.saturating_sub(contact) < self.config.min_suspicion())
    }

    /// Applies a state to a member if it is later than the known one, and disseminates the change.
    pub(super) fn apply_state(
        &mut self,
        now: Micros,
        member: MemberId,
        incarnation: Incarnation,
        state: State,
        actions: &mut Vec<Action>,
    ) {
        let Some(previous) = self.membership.supersede(now, member, incarnation, state) else { return };
        match state {
            State::Alive => self.counts.refuted += u64::from(previous == State::Suspect),
            State::Suspect => self.counts.suspected += 1,
            State::Dead => self.counts.died += 1,
            State::Left => {}
        }
        if state >= State::Dead {
            self.notes.forget(member);
        }
        self.announce(member);
        actions.push(Action::Changed { member, state, incarnation });
    }

    /// Marks a member as suspected by `accuser`.
    pub(super) fn suspect(
        &mut self,
        now: Micros,
        member: MemberId,
        incarnation: Incarnation,
        accuser: MemberId,
        actions: &mut Vec<Action>,
    ) {
        self.apply_state(now, member, incarnation, State::Suspect, actions);
        let max_accusers = self.config.confirmations + 1;
        if self.membership.add_accuser(member, incarnation, accuser, max_accusers) {
            // Each accuser is disseminated, because a suspicion with more accusers ends sooner.
            let update = Update { member, incarnation, state: State::Suspect, accuser };
            self.dissemination.announce(update);
        }
    }

    /// Refutes an update on this instance itself with an incarnation above the claimed one.
    fn refute(&mut self, incarnation: Incarnation, state: State) {
        let own = self.membership.own_incarnation();
        let is_accused = state != State::Alive && incarnation >= own;
        if is_accused || incarnation > own {
            self.membership.raise_own_incarnation(incarnation);
            // An instance that is suspected often may be the one that does not receive datagrams.
            self.health.worsen(u32::from(state == State::Suspect));
            self.announce(self.config.me);
        }
    }

    /// Returns the time at which the suspicion of a member ends and the member is declared dead.
    pub(super) fn suspicion_ends(&self, member: MemberId) -> Option<Micros> {
        let entry = self.membership.get(member);
        let suspicion = entry.suspicion.as_ref()?;
        let duration = self.health.stretch(self.config.suspicion_duration(suspicion.accusers.len()));
        // A member that was heard from recently is not declared dead, whoever suspects it.
        let contact_until = entry.last_contact.map_or(0, |contact| contact + self.config.min_suspicion());
        Some((suspicion.since + duration).max(contact_until))
    }

    /// Declares members dead whose suspicion has ended.
    pub(super) fn end_suspicions(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let has_ended = |member: &MemberId| self.suspicion_ends(*member).is_some_and(|end| now >= end);
        let ended: Vec<MemberId> = self.membership.suspects().iter().copied().filter(has_ended).collect();
        for member in ended {
            let incarnation = self.membership.get(member).incarnation;
            self.apply_state(now, member, incarnation, State::Dead, actions);
        }
    }
}
