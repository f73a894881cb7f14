//! Queue of the endpoints whose changes the owner has not taken yet, drains and removals first.
//!
//! Owned by [`EndpointList`](super::EndpointList), which stores with each endpoint the queue that the endpoint is in.

use crate::routing::events::Id;
use std::collections::VecDeque;

/// Urgency of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Urgency {
    /// The endpoint accepts requests.
    Ordinary,
    /// The endpoint accepts no requests any more.
    Urgent,
}

#[derive(Debug, Default)]
pub(super) struct ChangeQueue {
    urgent: VecDeque<Id>,
    ordinary: VecDeque<Id>,
    waiting: usize,
}

impl ChangeQueue {
    /// Returns the number of queued endpoints.
    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Queues an endpoint; `queued` is the queue that the endpoint is already in. An urgent change replaces an ordinary
    /// one of the same endpoint, whose id is then in both queues.
    pub(super) fn push(&mut self, id: &Id, queued: &mut Option<Urgency>, urgency: Urgency) {
        if queued.is_none() {
            self.waiting += 1;
        }
        match (urgency, *queued) {
            (Urgency::Urgent, None | Some(Urgency::Ordinary)) => {
                *queued = Some(Urgency::Urgent);
                self.urgent.push_back(id.clone());
            }
            (Urgency::Ordinary, None) => {
                *queued = Some(Urgency::Ordinary);
                self.ordinary.push_back(id.clone());
            }
            _ => {}
        }
    }

    /// Removes the next id and returns it with its queue. The endpoint counts as waiting until
    /// [`ChangeQueue::mark_taken`] is called.
    pub(super) fn pop(&mut self) -> Option<(Id, Urgency)> {
        if let Some(id) = self.urgent.pop_front() {
            return Some((id, Urgency::Urgent));
        }
        self.ordinary.pop_front().map(|id| (id, Urgency::Ordinary))
    }

    /// Records that the change of a queued endpoint was taken.
    pub(super) fn mark_taken(&mut self) {
        self.waiting -= 1;
    }
}
