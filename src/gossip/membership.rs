//! The membership table: this instance's view of each member.
//!
//! Entries are ordered by incarnation, then by state, and only ever move up in this order. So tables that have
//! processed the same updates agree, whatever the order and the number of repetitions.

use super::message::{Incarnation, MemberId, State, Update, INCARNATION_LIMIT};
use crate::routing::events::Micros;
use std::collections::BTreeSet;

/// A suspicion known to this instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Suspicion {
    pub since: Micros,
    /// Members that suspect the member, in the order in which this instance learned of them.
    pub accusers: Vec<MemberId>,
}

/// Entry of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Member {
    pub incarnation: Incarnation,
    pub state: State,
    /// Time of the last datagram received from the member in this incarnation.
    pub last_contact: Option<Micros>,
    pub suspicion: Option<Suspicion>,
}

/// Entries of all members, by number.
#[derive(Clone, Debug)]
pub(super) struct Membership {
    me: MemberId,
    members: Vec<Member>,
    /// Suspected and dead members. Both sets are small, so no datagram requires a scan of all members.
    suspects: BTreeSet<MemberId>,
    dead: BTreeSet<MemberId>,
}

impl Membership {
    /// Creates the table. All members count as alive until they do not answer.
    pub fn new(me: MemberId, members: MemberId, incarnation: Incarnation) -> Self {
        let unknown = Member { incarnation: 0, state: State::Alive, last_contact: None, suspicion: None };
        let mut members = vec![unknown; usize::from(members)];
        if let Some(own) = members.get_mut(usize::from(me)) {
            own.incarnation = incarnation.min(INCARNATION_LIMIT - 1);
        }
        Membership { me, members, suspects: BTreeSet::new(), dead: BTreeSet::new() }
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns the entry of a member; panics if the number is out of range.
    pub fn get(&self, member: MemberId) -> &Member {
        &self.members[usize::from(member)]
    }

    fn get_mut(&mut self, member: MemberId) -> &mut Member {
        &mut self.members[usize::from(member)]
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().enumerate().map(|(number, member)| (number as MemberId, member))
    }

    /// Returns the other members that match, by number.
    pub fn others(&self, matches: impl Fn(&Member) -> bool) -> Vec<MemberId> {
        let others = self.iter().filter(|(number, member)| *number != self.me && matches(member));
        others.map(|(number, _)| number).collect()
    }

    pub fn suspects(&self) -> &BTreeSet<MemberId> {
        &self.suspects
    }

    pub fn dead(&self) -> &BTreeSet<MemberId> {
        &self.dead
    }

    pub fn own_incarnation(&self) -> Incarnation {
        self.get(self.me).incarnation
    }

    /// Sets the known incarnation of another member, unless a later one is known.
    pub fn preset_incarnation(&mut self, member: MemberId, incarnation: Incarnation) {
        if member == self.me || incarnation >= INCARNATION_LIMIT {
            return;
        }
        if let Some(entry) = self.members.get_mut(usize::from(member)) {
            entry.incarnation = entry.incarnation.max(incarnation);
        }
    }

    /// Records that a datagram of a member was received.
    pub fn contacted(&mut self, now: Micros, member: MemberId) {
        self.get_mut(member).last_contact = Some(now);
    }

    /// Replaces the entry of a member if the given incarnation and state are later. Returns the previous state if so.
    pub fn supersede(
        &mut self,
        now: Micros,
        member: MemberId,
        incarnation: Incarnation,
        state: State,
    ) -> Option<State> {
        let entry = self.get_mut(member);
        if (incarnation, state) <= (entry.incarnation, entry.state) {
            return None;
        }
        let previous = entry.state;
        if incarnation > entry.incarnation {
            entry.last_contact = None;
        }
        entry.incarnation = incarnation;
        entry.state = state;
        let is_suspect = state == State::Suspect;
        entry.suspicion = is_suspect.then(|| Suspicion { since: now, accusers: Vec::new() });
        self.suspects.remove(&member);
        self.dead.remove(&member);
        match state {
            State::Suspect => drop(self.suspects.insert(member)),
            State::Dead => drop(self.dead.insert(member)),
            State::Alive | State::Left => {}
        }
        Some(previous)
    }

    /// Adds an accuser to the suspicion of a member in this incarnation, up to `max_accusers`. Returns whether it was
    /// added.
    pub fn add_accuser(
        &mut self,
        member: MemberId,
        incarnation: Incarnation,
        accuser: MemberId,
        max_accusers: usize,
    ) -> bool {
        let entry = self.get_mut(member);
        let is_suspect = (entry.incarnation, entry.state) == (incarnation, State::Suspect);
        let Some(suspicion) = entry.suspicion.as_mut().filter(|_| is_suspect) else { return false };
        let is_new = !suspicion.accusers.contains(&accuser) && accuser != member;
        if suspicion.accusers.len() >= max_accusers || !is_new {
            return false;
        }
        suspicion.accusers.push(accuser);
        true
    }

    /// Raises this instance's own incarnation above one that an update claims for it.
    pub fn raise_own_incarnation(&mut self, claimed: Incarnation) {
        self.get_mut(self.me).incarnation = (claimed + 1).min(INCARNATION_LIMIT - 1);
    }

    /// Marks this instance as left.
    pub fn leave(&mut self) {
        self.get_mut(self.me).state = State::Left;
    }

    /// Returns the update that tells other members the state of a member.
    pub fn update(&self, member: MemberId) -> Update {
        let entry = self.get(member);
        let accuser = entry.suspicion.as_ref().and_then(|suspicion| suspicion.accusers.last()).copied();
        Update {
            member,
            incarnation: entry.incarnation,
            state: entry.state,
            accuser: accuser.unwrap_or(self.me),
        }
    }
}
