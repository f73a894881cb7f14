//! Dissemination: selects the updates that are piggybacked on each datagram.

use super::membership::Membership;
use super::message::{encode, Head, Kind, MemberId, State, Update};
use super::{Action, Gossip};
use crate::routing::events::Micros;

/// Number of table entries that are added to each datagram as far as they fit, so that an update that was lost on the
/// way to all members is sent again.
const REFRESHED_ENTRIES: usize = 4;

/// An update that is still being sent with datagrams.
#[derive(Clone, Debug)]
pub(super) struct FreshUpdate {
    update: Update,
    transmissions: u32,
}

/// Updates to be disseminated.
#[derive(Clone, Debug)]
pub(super) struct Dissemination {
    /// Fresh updates, at most one per member.
    pub(super) fresh: Vec<FreshUpdate>,
    /// Number of datagrams that each update is sent with.
    max_transmissions: u32,
    /// Table entry that was refreshed last.
    last_refreshed: usize,
}

/// Updates selected for one datagram, in order.
struct Selection {
    updates: Vec<Update>,
    /// Number of updates at the start of the list that concern the receiver itself.
    of_receiver: usize,
    /// Members of the fresh updates, which follow those on the receiver.
    fresh: Vec<MemberId>,
}

impl Dissemination {
    pub fn new(max_transmissions: u32) -> Self {
        Dissemination { fresh: Vec::new(), max_transmissions, last_refreshed: 0 }
    }

    /// Queues an update for all members; it replaces an earlier one on the same member.
    pub fn announce(&mut self, update: Update) {
        self.fresh.retain(|fresh| fresh.update.member != update.member);
        self.fresh.push(FreshUpdate { update, transmissions: 0 });
    }

    /// Selects updates for a datagram: first the state of the receiver, unless it is the initial one, then fresh
    /// updates, those with the fewest transmissions first, then some table entries in turn.
    fn select(&mut self, to: MemberId, membership: &Membership) -> Selection {
        let mut updates = Vec::new();
        let of_receiver = membership.update(to);
        // Sent also if the receiver is alive: it may have restarted with an earlier incarnation than before.
        if of_receiver.incarnation > 0 || of_receiver.state != State::Alive {
            updates.push(of_receiver);
        }
        let of_receiver = updates.len();
        self.fresh.sort_by_key(|fresh| fresh.transmissions);
        updates.extend(self.fresh.iter().map(|fresh| fresh.update).filter(|update| update.member != to));
        let fresh: Vec<MemberId> = updates[of_receiver..].iter().map(|update| update.member).collect();
        for _ in 0..REFRESHED_ENTRIES.min(membership.len()) {
            self.last_refreshed = (self.last_refreshed + 1) % membership.len();
            let entry = membership.update(self.last_refreshed as MemberId);
            if entry.incarnation > 0 && entry.member != to && !fresh.contains(&entry.member) {
                updates.push(entry);
            }
        }
        Selection { updates, of_receiver, fresh }
    }

    /// Counts a transmission of these fresh updates, and drops those that were sent often enough.
    fn transmitted(&mut self, members: &[MemberId]) {
        for fresh in self.fresh.iter_mut().filter(|fresh| members.contains(&fresh.update.member)) {
            fresh.transmissions += 1;
        }
        self.fresh.retain(|fresh| fresh.transmissions < self.max_transmissions);
    }
}

impl Gossip {
    /// Queues the current state of a member for all members.
    pub(super) fn announce(&mut self, member: MemberId) {
        self.dissemination.announce(self.membership.update(member));
    }

    /// Sends a datagram with as many updates as fit, followed by notes.
    pub(super) fn send(&mut self, now: Micros, to: MemberId, kind: Kind, actions: &mut Vec<Action>) {
        let Selection { updates, of_receiver, fresh } = self.dissemination.select(to, &self.membership);
        let head = Head { incarnation: self.membership.own_incarnation(), kind };
        let notes = self.notes.due(now, to);
        let encoded = encode(&head, updates, &notes);
        self.notes.transmitted(&notes[..encoded.notes.min(notes.len())]);
        let fresh_sent = encoded.updates.saturating_sub(of_receiver).min(fresh.len());
        self.dissemination.transmitted(&fresh[..fresh_sent]);
        self.counts.sent += 1;
        actions.push(Action::Send { to, bytes: encoded.bytes });
    }
}
