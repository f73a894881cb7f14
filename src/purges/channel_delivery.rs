//! Which purges of the command channel may be missing, and from when such a purge may be in force.
//!
//! An event counts as received [`MAX_DELIVERY_TIME`] after it was sent, whether it has arrived or not, and sooner after
//! some disruptions. From then on a purge is in force at this instance too, so that no copy that it may void is accepted.
//! It voids nothing once endpoints have dropped older copies by themselves: where that takes less time than the delivery,
//! the longest delivery time needs no bound.
//! The bound on the age of copies is that of [`super::staleness`].
//!
//! The module does no I/O and reads no clock. Its driver is `src/proxy/staleness.rs`.

#[cfg(test)]
mod tests;

use super::staleness::{Change, CutOff, StalenessBound};
use crate::routing::events::Micros;
use std::collections::VecDeque;

/// Time after which an event counts as received, in microseconds.
pub const MAX_DELIVERY_TIME: Micros = 7_000_000;
/// The same after a reload of the configuration, which may move the channel: it is counted from the signal.
pub const DELIVERY_TIME_AFTER_RELOAD: Micros = 4_000_000;
/// The same after a connection was lost, if a new one could be opened.
pub const DELIVERY_TIME_AFTER_LOSS: Micros = 2_000_000;
/// The same after a connection fell silent, if a new one could be opened: it is counted from the last frame.
pub const DELIVERY_TIME_AFTER_SILENCE: Micros = 4_000_000;
/// Maximum number of deadlines. Beyond it, events count as received at an earlier one.
const MAX_DEADLINES: usize = 16;

/// Settings that depend on the deployment. Times are in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Time after the receipt of a purge from which it is in force.
    pub grace: Micros,
    /// Time after a purge for which endpoints may hold older copies.
    pub purge_duration: Micros,
    /// Time for which copies that were made before events were lost stay void.
    pub propagation_time: Micros,
}

/// Why the connection that delivered the events no longer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// It was closed or lost.
    Lost {
        /// Time of the loss.
        at: Micros,
    },
    /// No frame arrives on it.
    Silent {
        /// Time of its last frame.
        last_frame_at: Micros,
    },
}

/// Events sent before a time count as received from a deadline on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Deadline {
    received_at: Micros,
    sent_before: Micros,
}

/// Delivery of the purges of a command channel.
#[derive(Clone, Debug)]
pub struct ChannelDelivery {
    settings: Settings,
    /// All events sent before this time have arrived.
    confirmed_at: Micros,
    /// The disruption since then, until a new connection is opened.
    disruption: Option<Disruption>,
    /// Deadlines of disruptions since then.
    deadlines: VecDeque<Deadline>,
    staleness: StalenessBound,
}

impl ChannelDelivery {
    /// Creates the state of a channel whose events sent before `now` are known.
    pub fn new(settings: Settings, now: Micros) -> Self {
        ChannelDelivery {
            settings,
            confirmed_at: now,
            disruption: None,
            deadlines: VecDeque::new(),
            staleness: StalenessBound::new(MAX_DELIVERY_TIME, now),
        }
    }

    /// Applies reloaded settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Records that all events sent before `at` have arrived.
    pub fn confirm(&mut self, at: Micros) {
        self.confirmed_at = self.confirmed_at.max(at);
        self.disruption = None;
        self.deadlines.clear();
    }

    /// Records a reload of the configuration whose signal came at `signalled_at`.
    pub fn reloaded(&mut self, signalled_at: Micros) {
        self.add_deadline(signalled_at.saturating_add(DELIVERY_TIME_AFTER_RELOAD));
    }

    /// Records that the connection that delivered the events no longer does.
    pub fn disrupted(&mut self, disruption: Disruption) {
        self.disruption.get_or_insert(disruption);
    }

    /// Records that a new connection was opened, on which events are requested.
    pub fn reconnected(&mut self, now: Micros) {
        let Some(disruption) = self.disruption.take() else { return };
        let received_at = match disruption {
            Disruption::Lost { at } => at.saturating_add(DELIVERY_TIME_AFTER_LOSS),
            Disruption::Silent { last_frame_at } => last_frame_at.saturating_add(DELIVERY_TIME_AFTER_SILENCE),
        };
        self.add_deadline(received_at.max(now));
    }

    /// Records that events were lost for good: all copies made before `now` may be void.
    pub fn events_lost(&mut self, now: Micros) {
        self.staleness.void_all_before(now, now.saturating_add(self.settings.propagation_time));
    }

    fn add_deadline(&mut self, received_at: Micros) {
        let deadline = Deadline { received_at, sent_before: received_at };
        if self.deadlines.contains(&deadline) {
            return;
        }
        let is_full = self.deadlines.len() >= MAX_DEADLINES;
        match self.deadlines.back_mut() {
            Some(last) if is_full => {
                last.received_at = last.received_at.min(received_at);
                last.sent_before = last.sent_before.max(received_at);
            }
            _ => self.deadlines.push_back(deadline),
        }
    }

    /// Returns the time from which a purge sent right after the last confirmation may be in force.
    fn general_deadline(&self) -> Micros {
        self.confirmed_at.saturating_add(MAX_DELIVERY_TIME)
    }

    /// Returns the time from which purges that count as received at `deadline` are enforced: before they are in force,
    /// by enough for a late timer.
    fn enforced_from(&self, deadline: Micros) -> Micros {
        deadline.saturating_add(self.settings.grace / 2)
    }

    /// Returns the time from which no copy from before a purge of `purged_at` is left.
    fn effect_ends_at(&self, purged_at: Micros) -> Micros {
        purged_at.saturating_add(self.settings.purge_duration)
    }

    fn cut_off(&self, now: Micros) -> Option<CutOff> {
        let is_passed = |at: Micros| now >= self.enforced_from(at);
        let has_effect = |deadline: &&Deadline| {
            is_passed(deadline.received_at) && now < self.effect_ends_at(deadline.sent_before)
        };
        let void_before = self.deadlines.iter().filter(has_effect).map(|deadline| deadline.sent_before).max();
        let is_overdue =
            is_passed(self.general_deadline()) && self.settings.purge_duration > MAX_DELIVERY_TIME;
        (is_overdue || void_before.is_some()).then_some(CutOff { void_before })
    }

    /// Computes the bound anew.
    pub fn update(&mut self, now: Micros) -> Change {
        self.staleness.update(now, self.cut_off(now))
    }

    /// Returns the time at which the bound changes if no frame arrives.
    pub fn next_deadline(&self, now: Micros) -> Micros {
        let deadlines = self.deadlines.iter().map(|deadline| deadline.received_at);
        let enforced = deadlines.chain([self.general_deadline()]).map(|at| self.enforced_from(at));
        let ends = self.deadlines.iter().map(|deadline| self.effect_ends_at(deadline.sent_before));
        let next = enforced.chain(ends).filter(|&at| at > now).min().unwrap_or(Micros::MAX);
        next.min(self.staleness.next_update())
    }

    /// Returns whether a purge that has not arrived may be in force.
    pub fn is_cut_off(&self) -> bool {
        self.staleness.is_cut_off()
    }

    /// Returns the number of times that purges were missing when they may have been in force.
    pub fn cut_offs(&self) -> u64 {
        self.staleness.cut_offs()
    }

    /// Returns the time since all events were known to have arrived.
    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.confirmed_at)
    }

    /// Returns the time before which all copies are void, because events were lost for good.
    pub fn void_before(&self) -> Option<Micros> {
        self.staleness.void_before()
    }
}
