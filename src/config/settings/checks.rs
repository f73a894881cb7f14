//! Checks of the operators' settings. They reject values with which no request could be served, and times whose sums
//! could overflow.

use super::{ClassEntry, Document};
use crate::routing::events::Micros;
use std::collections::BTreeSet;
use thiserror::Error;

/// Maximum time in settings, in microseconds: one day. Sums of times must not overflow.
pub(crate) const MAX_TIME_US: Micros = 86_400_000_000;
/// Maximum stretch of a latency objective.
const MAX_STRETCH: f64 = 1e6;

/// An invalid value in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("bad {key}: '{problem}'")]
pub struct InvalidSetting {
    /// Path of the key.
    pub key: &'static str,
    /// The value, with the range of allowed values.
    pub problem: String,
}

impl InvalidSetting {
    fn new(key: &'static str, problem: String) -> Self {
        InvalidSetting { key, problem }
    }
}

impl Document {
    /// Checks that requests can be served with these settings.
    ///
    /// # Errors
    ///
    /// Reports the first key whose value is invalid.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        self.check_class_names_and_deadlines()?;
        self.classes.iter().try_for_each(check_class_times)?;
        self.check_times()?;
        self.check_zone()?;
        self.check_lists_by_class()?;
        self.check_counts()
    }

    /// Returns the first key whose value differs from the running settings and needs a restart. These are the keys on
    /// which the interpretation of the endpoint list depends.
    pub fn find_change_that_needs_restart(&self, running: &Document) -> Option<&'static str> {
        let (new, old) = (&self.domain, &running.domain);
        let unchanged = [
            ("settings.zone", self.zone == running.zone),
            ("settings.kinds", self.kinds == running.kinds),
            ("settings.failure-domains", self.failure_domains == running.failure_domains),
            ("settings.discovery", self.discovery == running.discovery),
            ("settings.domain.source-kind", new.source_kind == old.source_kind),
            ("settings.domain.upper-kind", new.upper_kind == old.upper_kind),
        ];
        unchanged.iter().find(|(_, is_unchanged)| !is_unchanged).map(|(key, _)| *key)
    }

    fn check_class_names_and_deadlines(&self) -> Result<(), InvalidSetting> {
        let mut names = BTreeSet::new();
        for ClassEntry { name, deadline_us, .. } in &self.classes {
            if name.is_empty() || !names.insert(name) {
                let problem = format!("{name} (empty or a duplicate)");
                return Err(InvalidSetting::new("settings.classes: name", problem));
            }
            if !(1..=MAX_TIME_US).contains(deadline_us) {
                let problem = format!("{deadline_us} of class {name} (1 to {MAX_TIME_US})");
                return Err(InvalidSetting::new("settings.classes: deadline-us", problem));
            }
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), InvalidSetting> {
        let times = [
            ("settings.limits.dial-timeout-us", self.limits.dial_timeout_us),
            ("settings.rules.fall-us", self.rules.fall_us),
            ("settings.rules.warm-within-us", self.rules.warm_within_us),
            ("settings.domain.parent-ramp-us", self.domain.parent_ramp_us),
            ("settings.domain.purge-done-us", self.domain.purge_done_us),
            ("settings.domain.purge-slack-us", self.domain.purge_slack_us),
        ];
        match times.into_iter().find(|&(_, time)| time > MAX_TIME_US) {
            Some((key, time)) => Err(InvalidSetting::new(key, format!("{time} ({MAX_TIME_US} at most)"))),
            None => Ok(()),
        }
    }

    fn check_zone(&self) -> Result<(), InvalidSetting> {
        let (zone, zones) = (self.zone, self.failure_domains.len());
        if zones > 0 && zone >= zones {
            let problem = format!("{zone} (there are {zones} failure-domains)");
            return Err(InvalidSetting::new("settings.zone", problem));
        }
        Ok(())
    }

    /// Checks that lists indexed by class have one entry per class. In a list with a missing entry, each later class
    /// would get the value of another class.
    fn check_lists_by_class(&self) -> Result<(), InvalidSetting> {
        let classes = self.classes.len();
        let lengths = [
            ("settings.domain.max-age-us", self.domain.max_age_us.len()),
            ("settings.domain.stale-for-us", self.domain.stale_for_us.len()),
            ("settings.domain.pass-on", self.domain.pass_on.len()),
        ];
        match lengths.into_iter().find(|&(_, length)| length != 0 && length != classes) {
            Some((key, length)) => {
                Err(InvalidSetting::new(key, format!("{length} entries for {classes} classes")))
            }
            None => Ok(()),
        }
    }

    fn check_counts(&self) -> Result<(), InvalidSetting> {
        let limits = &self.limits;
        let counts = [
            ("settings.classes", self.classes.len() as u64),
            ("settings.limits.multiplex", limits.multiplex as u64),
            ("settings.limits.max-attempts", u64::from(limits.max_attempts)),
            ("settings.limits.dial-timeout-us", limits.dial_timeout_us),
            ("settings.limits.conn-idle-us", limits.conn_idle_us),
            ("settings.limits.peer-datagrams-per-s", limits.peer_datagrams_per_s.map_or(1, u64::from)),
        ];
        match counts.into_iter().find(|&(_, count)| count == 0) {
            Some((key, _)) => Err(InvalidSetting::new(key, "0 (must be above 0)".to_owned())),
            None => Ok(()),
        }
    }
}

fn check_class_times(class: &ClassEntry) -> Result<(), InvalidSetting> {
    let ClassEntry { name, promise_us, window_us, aim_stretch, .. } = class;
    let times = [("settings.classes: promise-us", *promise_us), ("settings.classes: window-us", *window_us)];
    if let Some((key, time)) = times.into_iter().find(|&(_, time)| time > MAX_TIME_US) {
        return Err(InvalidSetting::new(key, format!("{time} of class {name} ({MAX_TIME_US} at most)")));
    }
    if !(0.0..=MAX_STRETCH).contains(aim_stretch) {
        let problem = format!("{aim_stretch} of class {name} (0 to {MAX_STRETCH})");
        return Err(InvalidSetting::new("settings.classes: aim-stretch", problem));
    }
    Ok(())
}
