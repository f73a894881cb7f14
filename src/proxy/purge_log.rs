//! Connects the purge log to the event loop: it reads the registry's documents, and passes purges and the
//! bound on the age of copies to the router and to the local cache. `crate::purges::log` decides which purges
//! are in force and whether the log is known to be complete. `fleet.rs` owns the follower and schedules its
//! turns.

use super::fleet_context::FleetContext;
use super::staleness::propagation_time;
use super::Proxy;
use crate::invariant;
use crate::net::event_loop::{EventLoop, Ready};
use crate::net::protocol::command_channel::{Command, Purge};
use crate::purges::cut_off::{Cause, CauseCounts, Evidence};
use crate::purges::log::{Action, Counters, Notice, PurgeLog, Settings, ENTRIES, SLOTS};
use crate::purges::PurgeScope;
use crate::registry::documents::driver::DocumentsDriver;
use crate::registry::documents::{FollowPhase, Settings as RegistrySettings};
use crate::routing::events::Micros;
use mio::Token;
use slog::{info, o, warn, Logger};

const MICROS_PER_MS: Micros = 1_000;
/// Maximum size of all stored entries, in bytes; the number of objects and groups in an entry is limited too.
const MAX_ENTRY_BYTES: usize = 16 << 20;

/// Follower of the purge log in one instance.
pub(super) struct PurgeLogFollower {
    settings: Settings,
    driver: DocumentsDriver,
    log: PurgeLog,
    /// Whether the documents have been read at least once.
    has_been_read: bool,
    cut_off_causes: CauseCounts,
}

impl PurgeLogFollower {
    /// Creates a follower that has not read the log yet.
    pub fn new(settings: &Settings, seed: u64, context: &FleetContext) -> Self {
        let prefix = format!("{}{ENTRIES}", settings.prefix);
        let registry = RegistrySettings {
            max_keys: 2 * SLOTS as usize,
            max_bytes: MAX_ENTRY_BYTES,
            ..RegistrySettings::fast_detection(
                settings.endpoints.len(),
                &prefix,
                settings.check_interval,
                settings.check_timeout,
            )
        };
        let log = context.log.new(o!("of" => "purge log"));
        let driver =
            DocumentsDriver::new_follower(settings.endpoints.clone(), registry, seed, context.now, log);
        info!(context.log, "purge log enabled"; "prefix" => &settings.prefix,
              "staleness_ms" => settings.max_staleness / MICROS_PER_MS);
        let log = PurgeLog::new(settings, propagation_time(context.settings), context.now);
        PurgeLogFollower {
            settings: settings.clone(),
            driver,
            log,
            has_been_read: false,
            cut_off_causes: CauseCounts::default(),
        }
    }

    /// Returns whether `settings` equal the current ones; any change requires a restart.
    pub fn has_settings(&self, settings: &Settings) -> bool {
        self.settings == *settings
    }

    /// Returns the token of the connection to the registry.
    pub fn token(&self) -> Option<Token> {
        self.driver.token()
    }

    /// Handles readiness of the connection to the registry.
    pub fn ready(&mut self, event: Ready) {
        self.driver.ready(event);
    }

    /// Returns when the next turn is due.
    pub fn next_due(&self) -> Micros {
        if self.driver.wants_turn() {
            return 0;
        }
        self.driver.next_due().min(self.log.next_deadline())
    }

    /// Returns whether the staleness bound is due to change without new input.
    pub fn is_reevaluation_due(&self, now: Micros) -> bool {
        self.log.next_deadline() <= now
    }

    /// Returns whether all purges older than the staleness bound are known; only then may copies from the
    /// local cache be served.
    pub fn is_current(&self) -> bool {
        self.log.is_current()
    }

    /// Returns the time before which all copies are void.
    pub fn void_before(&self) -> Option<Micros> {
        self.log.void_before()
    }

    /// Returns names and values for the admin endpoint.
    pub fn metrics(&self, now: Micros) -> [(&'static str, u64); 11] {
        let Counters { entries, missed, unusable, cut_offs } = self.log.counters();
        let age = self.driver.confirmed().map_or(now, |confirmed| now.saturating_sub(confirmed));
        [
            ("purge_log_number", self.log.last_number()),
            ("purge_log_age_ms", age / MICROS_PER_MS),
            ("purge_log_cut_off", u64::from(!self.log.is_current())),
            ("purge_log_entries_total", entries),
            ("purge_log_missed_total", missed),
            ("purge_log_unusable_total", unusable),
            ("purge_log_cut_offs_total", cut_offs),
            ("purge_log_cut_offs_late_turn_total", self.cut_off_causes.get(Cause::InstanceStalled)),
            ("purge_log_cut_offs_check_unanswered_total", self.cut_off_causes.get(Cause::CheckUnanswered)),
            ("purge_log_cut_offs_disconnected_total", self.cut_off_causes.get(Cause::Disconnected)),
            ("purge_log_cut_offs_confirmed_late_total", self.cut_off_causes.get(Cause::ConfirmedLate)),
        ]
    }

    /// Runs a turn of the connection to the registry.
    pub fn run_registry_driver(&mut self, now: Micros, event_loop: &mut EventLoop) {
        self.driver.turn(now, event_loop);
    }

    /// Runs one turn and returns the actions to perform.
    pub fn turn(&mut self, context: &FleetContext) -> Vec<Action> {
        let mut actions = Vec::new();
        self.log.set_propagation_time(propagation_time(context.settings));
        if self.driver.revision() > 0 {
            self.take_changes(context, &mut actions);
        }
        let evidence = Evidence {
            now: context.now,
            staleness_deadline: self.log.next_deadline(),
            confirmed_at: self.driver.confirmed(),
            phase: self.driver.phase(),
        };
        self.log.update_confirmation(context.now, evidence.confirmed_at, &mut actions);
        if actions.contains(&Action::Notify(Notice::CutOff)) {
            self.record_cut_off(&evidence, context.log);
        }
        actions
    }

    /// Counts the cause of a cut-off, and logs it with its evidence.
    fn record_cut_off(&mut self, evidence: &Evidence, log: &Logger) {
        let cause = Cause::of(evidence);
        self.cut_off_causes.add(cause);
        let age = |moment: Micros| evidence.now.saturating_sub(moment) / MICROS_PER_MS;
        info!(log, "purge log cut-off explained"; "cause" => cause.name(), "registry" => ?evidence.phase,
        "confirmed_ms_ago" => evidence.confirmed_at.map(age), "judged_late_ms" => age(evidence.staleness_deadline),
        "check_sent_ms_ago" => match evidence.phase {
            FollowPhase::Checking { sent } => Some(age(sent)),
            _ => None,
        });
    }

    fn take_changes(&mut self, context: &FleetContext, actions: &mut Vec<Action>) {
        let changes = self.driver.take_changes();
        let driver = &self.driver;
        let rereads_all = changes.all || !std::mem::replace(&mut self.has_been_read, true);
        let keys: Vec<&str> = if rereads_all {
            driver.with_prefix("").map(|(key, _)| key).collect()
        } else {
            changes.keys.iter().map(String::as_str).collect()
        };
        if rereads_all || !keys.is_empty() {
            let value = |key: &str| driver.get(key).map(|document| document.value.as_slice());
            let entries = keys.into_iter().map(|key| (key, value(key)));
            self.log.apply_changes(context.now, context.unix_ms, entries, actions);
        }
    }
}

impl Proxy {
    /// Performs an action of the purge log.
    pub(super) fn execute_purge_log_action(&mut self, action: Action) {
        match action {
            Action::Purge(PurgeScope::Object(object), when_ms) => {
                self.execute(Command::Purge { scope: Purge::Object(object), when_ms });
            }
            Action::Purge(PurgeScope::Group(group), when_ms) => {
                self.execute(Command::Purge { scope: Purge::Group(group), when_ms });
            }
            Action::Purge(..) => invariant!(false, "a purge from the log covers an object or a group"),
            Action::SetStalenessBound(age) => self.set_purge_log_bound(age),
            Action::ClearLocalCache => self.local_cache.clear(),
            Action::Notify(notice) => self.log_purge_log_notice(notice),
        }
    }

    fn log_purge_log_notice(&self, notice: Notice) {
        let log = &self.log;
        match notice {
            Notice::CutOff => {
                warn!(log, "purge log cut off: only copies younger than the staleness bound are accepted";
                      "remedy" => "the registry is dialed again; check that the endpoints of purge_log() are reachable from this instance");
            }
            Notice::Current { after } => info!(log, "purge log current"; "after_ms" => after / MICROS_PER_MS),
            Notice::Missed { from, to, void } => {
                warn!(log, "purge log entries overwritten before they were read";
                      "from" => from, "to" => to, "all_void" => void,
                      "remedy" => "if all_void is true, purges are written faster than the ring can hold: put several into one entry");
            }
            Notice::Rewritten { known, written: there } => {
                warn!(log, "purge log numbers went back, all copies are void"; "known" => known, "there" => there,
                      "remedy" => "check which program writes there; start a new log only below another prefix");
            }
            Notice::Unusable(reason) => {
                warn!(log, "purge log entry unusable, all copies are void"; "reason" => %reason);
            }
        }
    }
}
