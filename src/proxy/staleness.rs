//! Bound on the age of accepted copies while purges may be missing: the stricter one of the command channel's and the
//! purge log's is passed to the router.
//!
//! [`crate::purges::channel_delivery`] and [`crate::purges::log`] decide on the bounds.

use super::timers::{TaskTimer, TimerEvent, MILLISECOND};
use super::Proxy;
use crate::config::settings::Document;
use crate::purges::channel_delivery::Settings;
use crate::purges::staleness::Transition;
use crate::routing::events::{Event, Micros};
use slog::{info, warn};

/// Remedy while purges of the command channel may be missing.
const MISSING_PURGES_REMEDY: &str =
    "endpoints fetch what they have no younger copy of, so the load of parents and origin rises; check that discovery is \
     running and reachable, or set another 'channel' in the configuration and send SIGHUP";

/// Bounds in force, in microseconds; `None`: all purges of that source are known.
#[derive(Default)]
pub(super) struct StalenessBounds {
    command_channel: Option<Micros>,
    purge_log: Option<Micros>,
    /// The bound that is queued for the router, or that it has.
    announced: Option<Micros>,
    /// The bound that the router has.
    in_force: Option<Micros>,
    /// Number of times that the router's bound was introduced or tightened.
    tightenings: u64,
    /// The timer of the command channel's bound.
    timer: TaskTimer,
}

impl StalenessBounds {
    /// Returns the number of times that the router's bound was introduced or tightened. Attempts that were decided before
    /// the last time are not valid.
    pub(super) fn tightenings(&self) -> u64 {
        self.tightenings
    }

    /// Records the bound that the router is given now.
    pub(super) fn record_in_force(&mut self, age: Option<Micros>) {
        let is_tightened = age.is_some_and(|new| self.in_force.is_none_or(|old| new < old));
        self.tightenings += u64::from(is_tightened);
        self.in_force = age;
    }
}

/// Returns how long copies older than a purge may persist in a cache, in microseconds: a fill from such a copy may end
/// after the purge has been applied elsewhere.
pub(super) fn propagation_time(settings: &Document) -> Micros {
    settings.domain.purge_done_us.saturating_mul(2)
}

/// Returns the settings of the command channel's delivery.
pub(super) fn delivery_settings(settings: &Document) -> Settings {
    Settings {
        grace: settings.domain.purge_slack_us,
        purge_duration: settings.domain.purge_done_us,
        propagation_time: propagation_time(settings),
    }
}

impl Proxy {
    /// Sets the bound of the purge log.
    pub(super) fn set_purge_log_bound(&mut self, age: Option<Micros>) {
        self.staleness.purge_log = age;
        self.announce_staleness_bound();
    }

    /// Computes the bound of the command channel anew. This is done before requests are handled, because its timer alone
    /// would be too late after the process was stopped.
    pub(super) fn update_channel_staleness(&mut self) {
        let change = self.discovery.delivery.update(self.now);
        if let Some(transition) = change.transition {
            self.log_channel_transition(transition);
        }
        if let Some(age) = change.bound {
            self.staleness.command_channel = age;
            self.announce_staleness_bound();
            self.process_events();
        }
        let next = self.discovery.delivery.next_deadline(self.now).max(self.now + MILLISECOND);
        if next != Micros::MAX && self.staleness.timer.advance_to(next) {
            self.timers.set(next, TimerEvent::ChannelStaleness(next));
        }
    }

    /// Handles the timer of the command channel's bound, unless an earlier timer has replaced it.
    pub(super) fn channel_staleness_due(&mut self, at: Micros) {
        if self.staleness.timer.fired(at) {
            self.update_channel_staleness();
        }
    }

    /// Records that events of the command channel are lost for good, and that purges may be among them.
    pub(super) fn channel_events_lost(&mut self) {
        self.discovery.delivery.events_lost(self.now);
        self.local_cache.clear();
    }

    /// Returns the time before which all copies are void, because purges were missed for good.
    pub(super) fn copies_void_before(&self) -> Option<Micros> {
        let purge_log = self.purge_log().and_then(|log| log.void_before());
        purge_log.max(self.discovery.delivery.void_before())
    }

    /// Returns names and values for the admin endpoint.
    pub(super) fn staleness_metrics(&self) -> [(&'static str, u64); 3] {
        let delivery = &self.discovery.delivery;
        [
            ("command_channel_age_ms", delivery.age(self.now) / MILLISECOND),
            ("command_channel_cut_off", u64::from(delivery.is_cut_off())),
            ("command_channel_cut_offs_total", delivery.cut_offs()),
        ]
    }

    fn announce_staleness_bound(&mut self) {
        let bounds = &mut self.staleness;
        let strictest = bounds.command_channel.into_iter().chain(bounds.purge_log).min();
        if strictest != bounds.announced {
            bounds.announced = strictest;
            self.events.push_back(Event::BoundedStaleness(strictest));
        }
    }

    fn log_channel_transition(&self, transition: Transition) {
        match transition {
            Transition::CutOff => {
                warn!(self.log, "command channel cut off: only copies that no missing purge can void are accepted";
                      "last_current_ms_ago" => self.discovery.delivery.age(self.now) / MILLISECOND,
                      "remedy" => MISSING_PURGES_REMEDY);
            }
            Transition::Current { after } => {
                info!(self.log, "command channel current"; "after_ms" => after / MILLISECOND);
            }
        }
    }
}
