//! The purge log joined to the loop: documents of the registry in; purges, and the bound on how old copies may be, out to
//! the router and to the instance's own copies. What is in force and what can be vouched for `crate::purges::log`
//! decides. Owned by `fleet.rs`, which drives it.

use super::fleet_context::FleetContext;
use super::Proxy;
use crate::config::settings::Document;
use crate::invariant;
use crate::net::event_loop::{EventLoop, Ready};
use crate::net::protocol::command_channel::{Command, Purge};
use crate::purges::cut_off::{Cause, CauseCounts, Evidence};
use crate::purges::log::{Action, Counters, Notice, PurgeLog, Settings, ENTRIES, SLOTS};
use crate::purges::PurgeScope;
use crate::registry::documents::driver::DocumentsDriver;
use crate::registry::documents::{FollowPhase, Settings as RegistrySettings};
use crate::routing::events::{Event, Micros};
use mio::Token;
use slog::{info, o, warn, Logger};

const MICROS_PER_MS: Micros = 1_000;
/// Most bytes of entries that are kept: an entry has a bounded number of covers.
const MAX_ENTRY_BYTES: usize = 16 << 20;

/// Follows the purge log for one instance.
pub(super) struct PurgeLogFollower {
    settings: Settings,
    driver: DocumentsDriver,
    log: PurgeLog,
    /// Whether the documents were read at least once.
    was_read: bool,
    cut_off_causes: CauseCounts,
}

/// For how long copies older than a purge may be left somewhere: a fill from an old copy may end after the last drop.
fn propagation_time(settings: &Document) -> Micros {
    settings.domain.purge_done_us.saturating_mul(2)
}

impl PurgeLogFollower {
    /// Follows the log from now on.
    pub fn new(settings: &Settings, seed: u64, context: &FleetContext) -> Self {
        let prefix = format!("{}{ENTRIES}", settings.prefix);
        let registry = RegistrySettings {
            most_keys: 2 * SLOTS as usize,
            most_bytes: MAX_ENTRY_BYTES,
            ..RegistrySettings::prompt(
                settings.endpoints.len(),
                &prefix,
                settings.check_interval,
                settings.check_timeout,
            )
        };
        let log = context.log.new(o!("of" => "purge log"));
        let driver = DocumentsDriver::following(settings.endpoints.clone(), registry, seed, context.now, log);
        info!(context.log, "purge log enabled"; "prefix" => &settings.prefix,
              "staleness_ms" => settings.max_staleness / MICROS_PER_MS);
        let log = PurgeLog::new(settings, propagation_time(context.settings), context.now);
        PurgeLogFollower {
            settings: settings.clone(),
            driver,
            log,
            was_read: false,
            cut_off_causes: CauseCounts::default(),
        }
    }

    /// Whether the settings are those that it runs with; all of them take a restart.
    pub fn has_settings(&self, settings: &Settings) -> bool {
        self.settings == *settings
    }

    /// The token of the connection to the registry.
    pub fn token(&self) -> Option<Token> {
        self.driver.token()
    }

    /// Takes what became ready on it.
    pub fn ready(&mut self, event: Ready) {
        self.driver.ready(event);
    }

    /// When the next turn is due.
    pub fn next_due(&self) -> Micros {
        if self.driver.wants_turn() {
            return 0;
        }
        self.driver.next().min(self.log.next_deadline())
    }

    /// Whether what is vouched for changes by now without anything being heard.
    pub fn is_judgement_due(&self, now: Micros) -> bool {
        self.log.next_deadline() <= now
    }

    /// Whether all purges up to the bound on staleness are known: only then copies of the instance's own are served.
    pub fn vouches(&self) -> bool {
        self.log.is_current()
    }

    /// When the bound became tighter last.
    pub fn tightened(&self) -> Option<Micros> {
        self.log.bound_tightened_at()
    }

    /// Copies from before this moment are void.
    pub fn floor(&self) -> Option<Micros> {
        self.log.void_before()
    }

    /// Names and values for the admin server.
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

    /// Lets the connection to the registry go on.
    pub fn drive_registry(&mut self, now: Micros, event_loop: &mut EventLoop) {
        self.driver.turn(now, event_loop);
    }

    /// One turn; what follows from it.
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
            self.note_cut_off(&evidence, context.log);
        }
        actions
    }

    /// Counts why the instance was cut off, and tells the operators what shows it.
    fn note_cut_off(&mut self, evidence: &Evidence, log: &Logger) {
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
        let all = changes.all || !std::mem::replace(&mut self.was_read, true);
        let keys: Vec<&str> = if all {
            driver.below("").map(|(key, _)| key).collect()
        } else {
            changes.keys.iter().map(String::as_str).collect()
        };
        if all || !keys.is_empty() {
            let value = |key: &str| driver.get(key).map(|document| document.value.as_slice());
            let entries = keys.into_iter().map(|key| (key, value(key)));
            self.log.apply_changes(context.now, context.unix_ms, entries, actions);
        }
    }
}

impl Proxy {
    /// Does what the purge log asks.
    pub(super) fn follow_purge_log(&mut self, action: Action) {
        match action {
            Action::Purge(PurgeScope::Object(object), when_ms) => {
                self.execute(Command::Purge { what: Purge::Object(object), when_ms });
            }
            Action::Purge(PurgeScope::Group(group), when_ms) => {
                self.execute(Command::Purge { what: Purge::Group(group), when_ms });
            }
            Action::Purge(..) => invariant!(false, "a purge of the log is of an object or a group"),
            Action::SetStalenessBound(age) => self.events.push_back(Event::BoundedStaleness(age)),
            Action::ClearLocalCache => self.local_cache.clear(),
            Action::Notify(notice) => self.log_purge_log_notice(notice),
        }
    }

    fn log_purge_log_notice(&self, notice: Notice) {
        let log = &self.log;
        match notice {
            Notice::CutOff => {
                warn!(log, "purge log cut off: copies must be no older than the bound";
                      "remedy" => "it is dialed again; see whether the endpoints of purge_log() are reached from here");
            }
            Notice::Current { after } => info!(log, "purge log current"; "after_ms" => after / MICROS_PER_MS),
            Notice::Missed { from, to, void } => {
                warn!(log, "purge log entries overwritten before they were read";
                      "from" => from, "to" => to, "all_void" => void,
                      "remedy" => "where all_void is true purges come faster than the ring holds: put several into one entry");
            }
            Notice::Rewritten { known, written: there } => {
                warn!(log, "purge log went back, all copies are void"; "known" => known, "there" => there,
                      "remedy" => "see who wrote there; begin a log anew only below another prefix");
            }
            Notice::Unusable(reason) => {
                warn!(log, "purge log entry unusable, all copies are void"; "reason" => %reason);
            }
        }
    }
}
