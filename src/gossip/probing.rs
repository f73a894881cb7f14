//! Probing: one member is pinged in each period. If its answer is late, other members are asked to ping it too.

use super::membership::Member;
use super::message::{Kind, MemberId, State};
use super::{Action, Gossip};
use crate::routing::events::Micros;
use rand::seq::SliceRandom;
use rand::Rng;

/// Maximum number of unanswered pings relayed for others; above this, the oldest is dropped.
pub(super) const MAX_RELAYED_PINGS: usize = 64;

/// The probe of the current period.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Probe {
    target: MemberId,
    sequence: u32,
    /// Time from which the answer is late and the probe is retried.
    late_at: Micros,
    /// Number of members that were asked to ping the target; `None` until the answer is late.
    asked: Option<usize>,
    /// Number of these members that reported to have received no answer either.
    nacks: usize,
    is_answered: bool,
}

/// A ping relayed for another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RelayedPing {
    sequence: u32,
    target: MemberId,
    requester: MemberId,
    /// Sequence number of the requester's own probe.
    requester_sequence: u32,
    expires_at: Micros,
}

/// State of probing.
#[derive(Clone, Debug, Default)]
pub(super) struct Probing {
    probe: Option<Probe>,
    pub(super) relayed: Vec<RelayedPing>,
    /// Members still to be probed in this round, the next one last.
    order: Vec<MemberId>,
    last_sequence: u32,
}

impl Probing {
    /// Returns the time at which a retry or the expiry of a relayed ping is due.
    pub fn next_due(&self) -> Option<Micros> {
        let late_at = self.probe.as_ref().filter(|probe| !probe.is_answered).map(|probe| probe.late_at);
        let relayed = self.relayed.iter().map(|relayed| relayed.expires_at);
        late_at.into_iter().chain(relayed).min()
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Removes and returns the relayed pings that were not answered in time, the newest first.
    fn expired(&mut self, now: Micros) -> Vec<RelayedPing> {
        let mut expired: Vec<RelayedPing> =
            self.relayed.iter().filter(|relayed| relayed.expires_at <= now).cloned().collect();
        self.relayed.retain(|relayed| relayed.expires_at > now);
        expired.reverse();
        expired
    }
}

/// Returns whether a member is probed in each round.
fn is_present(member: &Member) -> bool {
    member.state <= State::Suspect
}

impl Gossip {
    pub(super) fn begin_probe(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.ping_one_dead(now, actions);
        let Some(target) = self.next_target() else { return };
        let sequence = self.ping(now, target, actions);
        let late_at = now + self.health.stretch(self.config.probe_timeout);
        self.probing.probe =
            Some(Probe { target, sequence, late_at, asked: None, nacks: 0, is_answered: false });
    }

    /// Pings one dead member per period, which may have restarted or have been partitioned.
    fn ping_one_dead(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let dead = self.membership.dead();
        let choice = self.rng.random_range(0..dead.len().max(1));
        if let Some(member) = dead.iter().nth(choice).copied() {
            self.ping(now, member, actions);
        }
    }

    /// Returns the next member of the round. Each round probes all members in random order.
    fn next_target(&mut self) -> Option<MemberId> {
        loop {
            match self.probing.order.pop() {
                Some(member) if is_present(self.membership.get(member)) => return Some(member),
                Some(_) => {}
                None => {
                    self.probing.order = self.membership.others(is_present);
                    self.probing.order.shuffle(&mut self.rng);
                    if self.probing.order.is_empty() {
                        return None;
                    }
                }
            }
        }
    }

    /// Pings a member. Returns the sequence number of the ping.
    fn ping(&mut self, now: Micros, to: MemberId, actions: &mut Vec<Action>) -> u32 {
        let sequence = self.probing.next_sequence();
        self.send(now, to, Kind::Ping(sequence), actions);
        sequence
    }

    /// If the answer to the probe is late, asks other members to ping the target, and repeats the direct ping as long
    /// as an answer can still arrive within the period, because a single datagram may have been lost.
    pub(super) fn retry_probe(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let probe = self.probing.probe.as_ref();
        let Some(probe) = probe.filter(|probe| !probe.is_answered && now >= probe.late_at) else { return };
        let Probe { target, sequence, asked, .. } = *probe;
        let mut helpers = self.membership.others(|member| member.state == State::Alive);
        helpers.retain(|&helper| asked.is_none() && helper != target);
        helpers.shuffle(&mut self.rng);
        helpers.truncate(self.config.indirect_probes);
        for &helper in &helpers {
            self.send(now, helper, Kind::PingReq { sequence, target }, actions);
        }
        self.send(now, target, Kind::Ping(sequence), actions);
        let timeout = self.health.stretch(self.config.probe_timeout);
        let again = now + timeout;
        if let Some(probe) = &mut self.probing.probe {
            probe.asked = asked.or(Some(helpers.len()));
            probe.late_at = if again + timeout <= self.next_period { again } else { Micros::MAX };
        }
    }

    /// Finishes the probe at the end of the period: a target that has not answered is suspected.
    pub(super) fn finish_probe(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(probe) = self.probing.probe.take() else { return };
        if probe.is_answered {
            return self.health.improve();
        }
        // Helpers that send neither an answer nor a nack indicate that this instance does not receive datagrams.
        let silent_helpers = probe.asked.unwrap_or(0).saturating_sub(probe.nacks);
        self.health.worsen(silent_helpers as u32);
        let incarnation = self.membership.get(probe.target).incarnation;
        self.suspect(now, probe.target, incarnation, self.config.me, actions);
        // The target must learn of the suspicion before the other members do. Otherwise its refutation follows an
        // accusation that has already spread, and other members may confirm it by chance in the meantime.
        self.ping(now, probe.target, actions);
    }

    /// Pings a member on behalf of another one.
    pub(super) fn relay_ping(
        &mut self,
        now: Micros,
        requester: MemberId,
        requester_sequence: u32,
        target: MemberId,
        actions: &mut Vec<Action>,
    ) {
        if target >= self.config.members || target == self.config.me {
            return;
        }
        let sequence = self.probing.next_sequence();
        let expires_at = now + self.config.probe_timeout;
        if self.probing.relayed.len() >= MAX_RELAYED_PINGS {
            self.probing.relayed.remove(0);
        }
        self.probing.relayed.push(RelayedPing {
            sequence,
            target,
            requester,
            requester_sequence,
            expires_at,
        });
        self.send(now, target, Kind::Ping(sequence), actions);
    }

    /// Sends a nack for each relayed ping that was not answered in time.
    pub(super) fn nack_expired_pings(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for RelayedPing { requester, requester_sequence, .. } in self.probing.expired(now) {
            self.send(now, requester, Kind::Nack(requester_sequence), actions);
        }
    }

    /// Processes the answer to this instance's own ping or to a relayed one.
    pub(super) fn acked(&mut self, now: Micros, from: MemberId, sequence: u32, actions: &mut Vec<Action>) {
        if let Some(probe) = self.probing.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.is_answered = true;
            return;
        }
        let is_answered = |ping: &RelayedPing| ping.sequence == sequence && ping.target == from;
        if let Some(at) = self.probing.relayed.iter().position(is_answered) {
            let relayed = self.probing.relayed.remove(at);
            self.send(now, relayed.requester, Kind::Ack(relayed.requester_sequence), actions);
        }
    }

    /// Counts a nack from a member that was asked to ping the target of the probe.
    pub(super) fn nacked(&mut self, sequence: u32) {
        if let Some(probe) = self.probing.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.nacks += 1;
        }
    }
}
