//! Periodic work: checks for what no event reports, four times a second, and the logging of metrics.

use super::configuration::max_descriptors;
use super::staleness::propagation_time;
use super::timers::{TimerEvent, MILLISECOND};
use super::Proxy;
use crate::invariant;
use crate::invariants::BROKEN_INVARIANTS;
use crate::routing::events::Micros;
use slog::{info, warn};
use std::sync::atomic::Ordering;

/// Interval between two sweeps, in microseconds.
pub(super) const SWEEP_INTERVAL: Micros = 250 * MILLISECOND;
/// Interval between two reports of metrics, in microseconds.
const REPORT_INTERVAL: Micros = 10_000 * MILLISECOND;

impl Proxy {
    /// Closes idle and silent connections and clients that do not read, and removes expired purges.
    pub(super) fn sweep(&mut self) {
        self.timers.set(self.now + SWEEP_INTERVAL, TimerEvent::Sweep);
        self.run_command_channel();
        self.maintain_gossip();
        self.purges.expire(self.now, propagation_time(&self.settings));
        for token in self.pool.expired(self.now) {
            self.close_upstream(token);
        }
        self.sweep_clients();
        if let Some(admin) = &mut self.admin {
            admin.sweep(self.now, &mut self.event_loop);
        }
        if let Some(takeover) = &mut self.takeover {
            takeover.sweep(self.now);
        }
        let open = self.requests.unfinished().count();
        invariant!(
            self.admin_metrics.concurrent() == open as u64,
            "the requests counted as concurrent are the open ones"
        );
    }

    /// Logs the metrics and sets the timer for the next report.
    pub(super) fn report_periodically(&mut self) {
        self.report();
        self.timers.set(self.now + REPORT_INTERVAL, TimerEvent::MetricsReport);
    }

    /// Logs the metrics.
    pub(super) fn report(&mut self) {
        let broken = BROKEN_INVARIANTS.load(Ordering::Relaxed);
        info!(self.log, "figures"; "counts" => %self.metrics, "replies" => %self.admin_metrics,
              "clients" => self.clients.len(), "links" => self.pool.len(), "open" => self.requests.len(),
              "broken_invariants" => broken);
        info!(self.log, "command channel"; "figures" => %self.discovery.command_channel.metrics());
        self.report_descriptors();
        self.metrics.reset_maxima();
        if let Some(gossip) = &self.gossip {
            info!(self.log, "peers"; "figures" => ?gossip.figures());
        }
        self.discovery.report(self.now);
    }

    /// Warns if the process may open fewer descriptors than are configured.
    fn report_descriptors(&self) {
        let (available, configured) = (max_descriptors(), self.configuration.limits.sockets);
        if available < configured {
            warn!(self.log, "process limit of open files is below the configured number of sockets"; "limits.sockets" => configured,
                  "process" => available, "remedy" => "the lower number applies; raise the limit of open files \
                  of the process (ulimit -n), or lower 'limits.sockets'");
        }
    }
}
