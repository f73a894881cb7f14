//! The settings as the operators write them (nested JSON) and their translation for the decision module.
//!
//! Both programs read them: the real doorman from its configuration, the adapter from the simulator.

use crate::interface::{Class, ColdStart, Detail, Effect, Group, Role, Settings, Time};
use crate::invariant;
use serde::Deserialize;
use std::collections::BTreeSet;

/// A class that was dropped is served for so long: clients know of the change 1.2 s after the signal.
pub const STILL_SERVED: Time = 1_500_000;
/// For so long its name is known, and what names it is refused; then it is no class.
pub const STILL_KNOWN: Time = 30_000_000;
/// Longest time that a class may give its requests: a day.
const LONGEST: Time = 86_400_000_000;
/// Most doormans of a tier that settings can name.
pub const MOST_DOORMANS: u32 = 4_096;
/// Datagrams a second to other doormans where the settings give none: ten times what a small fleet takes.
pub const PEER_DATAGRAMS: u32 = 100;

/// The settings object. Keys that are not known here are skipped, absent ones take their default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Document {
    /// How many doormans there are.
    pub balancers: u32,
    /// The classes, by number.
    pub classes: Vec<ClassEntry>,
    /// How the list of depots comes: `push` or `ask`.
    pub discovery: String,
    /// Names of the zones, by number.
    pub failure_domains: Vec<String>,
    /// Names of the machine kinds, by number.
    pub kinds: Vec<String>,
    /// What depends on the kind of service.
    pub domain: Domain,
    /// Allowances of the site.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// The doorman's own number among all of its tier.
    pub slot_no: usize,
    /// What `weight` stands for.
    pub weight_source: String,
    /// The doorman's own zone.
    pub zone: usize,
}

/// One class of requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct ClassEntry {
    /// Its name, as clients and depots use it.
    pub name: String,
    /// See [`Class::aim_stretch`].
    pub aim_stretch: f64,
    /// See [`Class::aim`].
    pub promise_us: Time,
    /// The longest that a client waits.
    pub deadline_us: Time,
    /// `idempotent`, `deduplicated` or `at_most_once`.
    pub semantics: String,
    /// `all`, `zone` or `cell`.
    pub dedup_scope: String,
    /// See [`Class::window`].
    pub window_us: Time,
    /// What one request of it is worth; 0: not told.
    pub worth: f64,
}

/// Properties of the kind of service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
#[allow(missing_docs)] // named as on the wire, where each is explained
pub struct Domain {
    pub can_join: bool,
    pub crew_by_zone: Vec<u32>,
    pub detail: String,
    pub direct: bool,
    pub flow_kb_per_s: f64,
    pub inlet_kb_per_s: Vec<f64>,
    pub lateral: String,
    pub max_age_us: Vec<Time>,
    pub stale_for_us: Vec<Time>,
    pub pass_on: Vec<bool>,
    pub parent_breaks_at: f64,
    pub parent_cold_from: f64,
    pub parent_ramp_us: Time,
    pub purge_done_us: Time,
    pub source_kind: Option<i64>,
    pub upper_kind: Option<i64>,
}

/// Allowances of the site.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
#[allow(missing_docs)] // named as on the wire, where each is explained
pub struct Limits {
    pub conn_idle_us: Time,
    pub dial_timeout_us: Time,
    pub max_attempts: u32,
    pub max_open: usize,
    pub may_cancel: bool,
    pub may_tell: bool,
    pub multiplex: usize,
    pub retry_after: bool,
    pub max_retry_after_us: Time,
    /// Datagrams a second that this doorman may send to others; absent: [`PEER_DATAGRAMS`].
    pub peer_datagrams_per_s: Option<u32>,
}

/// Figures of the rules.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
#[allow(missing_docs)] // named as on the wire, where each is explained
pub struct Rules {
    pub fall_us: Time,
    pub start_capacity: f64,
    pub tip_multiple: f64,
    pub warm_within_us: Time,
}

impl Document {
    /// What the decision module is told.
    pub fn for_router(&self) -> Settings {
        let d = &self.domain;
        // Where their number is not told, it is that of those that serve the zones.
        let crew = d.crew_by_zone.iter().fold(0, |n: u32, c| n.saturating_add(*c));
        let routers = if self.balancers == 0 { crew } else { self.balancers };
        Settings {
            zone: self.zone,
            routers,
            // Danger: a doorman that is told no number would take itself for alone, and all of them together would
            // push over what starts cold.
            processes: if routers == 0 { MOST_DOORMANS } else { 1 },
            routers_by_zone: d.crew_by_zone.clone(),
            classes: self.classes.iter().enumerate().map(|(n, c)| self.class(n, c)).collect(),
            pace_kb_s: d.flow_kb_per_s,
            link_kb_s: d.inlet_kb_per_s.clone(),
            weights_are_sizes: matches!(self.weight_source.as_str(), "nominal" | "rough"),
            cache_start: ColdStart {
                share: self.rules.start_capacity,
                ramp: self.rules.warm_within_us,
                multiple: self.rules.tip_multiple,
            },
            parent_start: ColdStart {
                share: d.parent_cold_from,
                ramp: d.parent_ramp_us,
                multiple: d.parent_breaks_at,
            },
            fall_window: self.rules.fall_us,
            purge_done: d.purge_done_us,
            direct: d.direct,
            can_join: d.can_join,
            detail: match d.detail.as_str() {
                "all" => Detail::All,
                "hit" => Detail::Hits,
                _ => Detail::Silent,
            },
            max_attempts: self.limits.max_attempts,
            may_cancel: self.limits.may_cancel,
            retry_after: self.limits.retry_after,
            max_retry_after: self.limits.max_retry_after_us,
            must_watch: self.discovery == "ask",
        }
    }

    fn class(&self, number: usize, entry: &ClassEntry) -> Class {
        let d = &self.domain;
        Class {
            fresh: d.max_age_us.get(number).copied().unwrap_or(0),
            grace: d.stale_for_us.get(number).copied().unwrap_or(0),
            uncacheable: d.pass_on.get(number).copied().unwrap_or(false),
            aim: entry.promise_us,
            aim_stretch: entry.aim_stretch,
            effect: match entry.semantics.as_str() {
                "idempotent" => Effect::Safe,
                "deduplicated" => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            group: match entry.dedup_scope.as_str() {
                "all" => Group::All,
                "zone" => Group::Zone,
                _ => Group::Cell,
            },
            window: entry.window_us,
        }
    }

    /// What a machine of this kind is.
    pub fn role(&self, kind: i64) -> Role {
        if self.domain.source_kind == Some(kind) {
            Role::Origin
        } else if self.domain.upper_kind == Some(kind) {
            Role::Parent
        } else {
            Role::Cache
        }
    }
}

// ---- checks ----

/// What makes settings unusable: the key and what is wrong with its value.
pub type Unusable = (&'static str, String);

impl Document {
    /// Figures without which nothing could be served, or whose sums would run over.
    pub fn check(&self) -> Result<(), Unusable> {
        let limits = &self.limits;
        let mut names = BTreeSet::new();
        for class in &self.classes {
            if class.name.is_empty() || !names.insert(&class.name) {
                return Err(("settings.classes: name", format!("{} (empty or there twice)", class.name)));
            }
            if !(1..=LONGEST).contains(&class.deadline_us) {
                let what = format!("{} of class {} (1 to {LONGEST})", class.deadline_us, class.name);
                return Err(("settings.classes: deadline-us", what));
            }
        }
        let d = &self.domain;
        let lists = [
            ("settings.domain.max-age-us", d.max_age_us.len()),
            ("settings.domain.stale-for-us", d.stale_for_us.len()),
            ("settings.domain.pass-on", d.pass_on.len()),
        ];
        // A list that lost an entry would give each class after it what is another's.
        if let Some((what, length)) = lists.iter().find(|l| l.1 != 0 && l.1 != self.classes.len()) {
            return Err((what, format!("{length} entries for {} classes", self.classes.len())));
        }
        let figures = [
            ("settings.classes", self.classes.len() as u64),
            ("settings.limits.multiplex", limits.multiplex as u64),
            ("settings.limits.max-attempts", u64::from(limits.max_attempts)),
            ("settings.limits.dial-timeout-us", limits.dial_timeout_us),
            ("settings.limits.conn-idle-us", limits.conn_idle_us),
            ("settings.limits.peer-datagrams-per-s", limits.peer_datagrams_per_s.map_or(1, u64::from)),
        ];
        match figures.iter().find(|f| f.1 == 0) {
            Some((what, _)) => Err((what, "0 (must be above 0)".to_owned())),
            None => Ok(()),
        }
    }

    /// What of these settings can't follow the running ones without a restart: the list of depots goes by it.
    pub fn takes_restart(&self, running: &Document) -> Option<&'static str> {
        let (new, old) = (&self.domain, &running.domain);
        let same = [
            ("settings.zone", self.zone == running.zone),
            ("settings.kinds", self.kinds == running.kinds),
            ("settings.failure-domains", self.failure_domains == running.failure_domains),
            ("settings.discovery", self.discovery == running.discovery),
            ("settings.domain.source-kind", new.source_kind == old.source_kind),
            ("settings.domain.upper-kind", new.upper_kind == old.upper_kind),
        ];
        same.iter().find(|s| !s.1).map(|s| s.0)
    }
}

/// Every key of a configuration by its path, without those of events. In a list of objects, those that all have.
pub fn keys(file: &serde_json::Value) -> BTreeSet<String> {
    fn walk(value: &serde_json::Value, path: &str, found: &mut BTreeSet<String>) {
        match value {
            serde_json::Value::Object(fields) => {
                for (name, inner) in fields {
                    let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                    if path != "known" {
                        walk(inner, &path, found);
                    }
                    found.insert(path);
                }
            }
            serde_json::Value::Array(items) => {
                let each = items.iter().map(|item| {
                    let mut of_item = BTreeSet::new();
                    walk(item, &format!("{path}[]"), &mut of_item);
                    of_item
                });
                found.extend(each.reduce(|a, b| &a & &b).unwrap_or_default());
            }
            _ => {}
        }
    }
    let mut found = BTreeSet::new();
    walk(file, "", &mut found);
    found
}

// ---- classes under numbers that do not shift ----

/// One class, as long as there is a request of it or may be one.
#[derive(Clone, Debug)]
struct Slot {
    name: String,
    deadline: Time,
    class: Class,
    /// Since when it is not in the settings any more.
    dropped: Option<Time>,
    /// Requests that came with it and are open.
    open: usize,
}

/// The classes that there are, and those that open requests came with.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    slots: Vec<Slot>,
}

/// What a class name stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Named<'a> {
    /// A class, with its number and the longest that a client waits.
    Class(usize, Time, &'a Class),
    /// A class that was dropped a short while ago.
    Dropped,
    /// Nothing.
    Unknown,
}

impl Classes {
    /// Takes over the classes of new settings. Those that are as they were keep their numbers.
    pub fn adopt(&mut self, now: Time, new: &Document) {
        let wanted: Vec<(&ClassEntry, Class)> =
            new.classes.iter().enumerate().map(|(n, c)| (c, new.class(n, c))).collect();
        let same = |s: &Slot, w: &(&ClassEntry, Class)| {
            (s.name.as_str(), s.deadline, &s.class) == (w.0.name.as_str(), w.0.deadline_us, &w.1)
        };
        for slot in &mut self.slots {
            let stays = wanted.iter().any(|w| same(slot, w));
            slot.dropped = if stays { None } else { slot.dropped.or(Some(now)) };
        }
        for want in wanted {
            if self.slots.iter().any(|s| s.dropped.is_none() && same(s, &want)) {
                continue;
            }
            let over = |s: &Slot| s.open == 0 && s.dropped.is_some_and(|t| now >= t + STILL_KNOWN);
            let (name, deadline) = (want.0.name.clone(), want.0.deadline_us);
            let slot = Slot { name, deadline, class: want.1, dropped: None, open: 0 };
            match self.slots.iter().position(over) {
                Some(free) => self.slots[free] = slot,
                None => self.slots.push(slot),
            }
        }
    }

    /// What a name stands for now. A class defined anew stands for what it is now.
    pub fn named(&self, now: Time, name: &str) -> Named<'_> {
        let age = |s: &Slot| s.dropped.map_or(0, |t| now.saturating_sub(t));
        let of_name = self.slots.iter().enumerate().filter(|s| s.1.name == name);
        match of_name.min_by_key(|s| (s.1.dropped.is_some(), age(s.1))) {
            Some((n, s)) if s.dropped.is_none() || age(s) < STILL_SERVED => {
                Named::Class(n, s.deadline, &s.class)
            }
            Some((_, s)) if age(s) < STILL_KNOWN => Named::Dropped,
            _ => Named::Unknown,
        }
    }

    /// A request has come with a class.
    pub fn took(&mut self, number: usize) {
        self.slots[number].open += 1;
    }

    /// A request that came with it has ended.
    pub fn left(&mut self, number: usize) {
        invariant!(self.slots[number].open > 0, "who leaves a class has come with it");
        self.slots[number].open = self.slots[number].open.saturating_sub(1);
    }

    /// The longest that any client waits.
    pub fn longest(&self) -> Time {
        self.slots.iter().filter(|s| s.dropped.is_none()).map(|s| s.deadline).max().unwrap_or(0)
    }

    /// What the module is told: these settings, with classes by their numbers. `beside`: two processes stand
    /// in this doorman's place, and neither may spend what cold depots bear of one.
    pub fn for_router(&self, document: &Document, beside: bool) -> Settings {
        let classes = self.slots.iter().map(|s| s.class.clone()).collect();
        let told = document.for_router();
        Settings { classes, processes: told.processes * (1 + u32::from(beside)), ..told }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn document(classes: &[(&str, Time, &str)]) -> Document {
        let entry = |c: &(&str, Time, &str)| ClassEntry {
            name: c.0.to_owned(),
            deadline_us: c.1,
            semantics: c.2.to_owned(),
            ..ClassEntry::default()
        };
        Document { classes: classes.iter().map(entry).collect(), ..Document::default() }
    }

    fn number(classes: &Classes, now: Time, name: &str) -> usize {
        match classes.named(now, name) {
            Named::Class(n, ..) => n,
            other => panic!("{name}: {other:?}"),
        }
    }

    #[test]
    fn a_dropped_class_keeps_its_number_and_shifts_no_other() {
        let mut classes = Classes::default();
        classes
            .adopt(0, &document(&[("a", 1, "idempotent"), ("b", 2, "idempotent"), ("c", 3, "deduplicated")]));
        let before = ["a", "b", "c"].map(|n| number(&classes, 0, n));
        classes.took(before[1]);
        classes.adopt(10, &document(&[("c", 3, "deduplicated"), ("a", 1, "idempotent"), ("d", 4, "x")]));
        assert_eq!([number(&classes, 10, "a"), number(&classes, 10, "c")], [before[0], before[2]]);
        assert_eq!(number(&classes, 9 + STILL_SERVED, "b"), before[1], "clients have not heard yet");
        assert_eq!(classes.named(10 + STILL_SERVED, "b"), Named::Dropped);
        assert_eq!(classes.named(10 + STILL_KNOWN, "b"), Named::Unknown);
        // With a request open its place is not given away, and afterwards it is.
        classes.adopt(10 + STILL_KNOWN, &document(&[("e", 5, "x")]));
        assert_ne!(number(&classes, 10 + STILL_KNOWN, "e"), before[1]);
        classes.left(before[1]);
        classes.adopt(11 + STILL_KNOWN, &document(&[("e", 5, "x"), ("f", 6, "x")]));
        assert_eq!(number(&classes, 11 + STILL_KNOWN, "f"), before[1]);
        assert_eq!(classes.longest(), 6);
    }

    #[test]
    fn a_class_defined_anew_binds_new_requests_and_open_ones_keep_the_old() {
        let mut classes = Classes::default();
        classes.adopt(0, &document(&[("a", 1, "idempotent")]));
        let old = number(&classes, 0, "a");
        classes.took(old);
        let new = document(&[("a", 1, "at_most_once")]);
        classes.adopt(5, &new);
        let now = number(&classes, 5, "a");
        let told = classes.for_router(&new, false).classes;
        assert_eq!((told[old].effect, told[now].effect), (Effect::Safe, Effect::Unsafe));
    }

    #[test]
    fn what_no_start_accepts_and_what_a_running_file_has_more_is_found() {
        let good = document(&[("a", 1, "x")]);
        let mut good = Document { classes: good.classes, ..Document::default() };
        let l = &mut good.limits;
        (l.multiplex, l.max_attempts, l.dial_timeout_us, l.conn_idle_us) = (1, 1, 1, 1);
        assert_eq!(good.check(), Ok(()));
        type Spoil = fn(&mut Document);
        let spoils: [(&str, Spoil); 9] = [
            ("peer-datagrams-per-s", |d| d.limits.peer_datagrams_per_s = Some(0)),
            ("pass-on", |d| d.domain.pass_on = vec![true, false]),
            ("deadline-us", |d| d.classes[0].deadline_us = 0),
            ("deadline-us", |d| d.classes[0].deadline_us = LONGEST + 1),
            ("name", |d| d.classes.push(d.classes[0].clone())),
            ("name", |d| d.classes[0].name.clear()),
            ("max-attempts", |d| d.limits.max_attempts = 0),
            ("classes", |d| d.classes.clear()),
            ("conn-idle-us", |d| d.limits.conn_idle_us = 0),
        ];
        for (what, spoil) in spoils {
            let mut bad = good.clone();
            spoil(&mut bad);
            assert!(bad.check().is_err_and(|e| e.0.contains(what)), "{what}");
        }
        let mut other = good.clone();
        other.kinds.push("x".into());
        assert_eq!((good.takes_restart(&good), other.takes_restart(&good)), (None, Some("settings.kinds")));
        let file =
            serde_json::json!({"seed": 1, "known": {"cmds": []}, "classes": [{"a": 1, "b": 2}, {"a": 3}]});
        let all: Vec<String> = keys(&file).into_iter().collect();
        assert_eq!(all, ["classes", "classes[].a", "known", "seed"]);
    }

    proptest! {
        #![proptest_config(crate::net::testing::config())]

        /// Whatever files come while requests are open: a number that a request holds means the class that it
        /// came with, every class of the settings is found, and places do not grow with the files.
        #[test]
        fn a_number_that_is_held_never_changes_its_meaning(
            files in prop::collection::vec((prop::collection::btree_map(0usize..6, 0u8..3, 1..5), 0u64..20, 0usize..4), 1..30),
        ) {
            let (mut classes, mut now) = (Classes::default(), 0);
            let mut held: Vec<(usize, Class)> = Vec::new();
            let names = ["a", "b", "c", "d", "e", "f"];
            let effects = ["idempotent", "deduplicated", "at_most_once"];
            for (file, wait, ends) in files {
                now += wait * 1_000_000;
                let list: Vec<(&str, Time, &str)> =
                    file.iter().map(|(n, e)| (names[*n], 9, effects[*e as usize])).collect();
                let new = document(&list);
                classes.adopt(now, &new);
                for (n, entry) in new.classes.iter().enumerate() {
                    let Named::Class(at, _, class) = classes.named(now, &entry.name) else {
                        return Err(TestCaseError::fail("a class of the settings is not found"));
                    };
                    prop_assert_eq!(class, &new.class(n, entry));
                    let class = class.clone();
                    classes.took(at);
                    held.push((at, class));
                }
                for _ in 0..ends.min(held.len()) {
                    let (at, _) = held.remove(0);
                    classes.left(at);
                }
                let told = classes.for_router(&new, false).classes;
                prop_assert!(held.iter().all(|(at, class)| &told[*at] == class));
            }
            held.into_iter().for_each(|(at, _)| classes.left(at));
            let size = classes.slots.len();
            for n in 0..20 {
                now += STILL_KNOWN + 1;
                classes.adopt(now, &document(&[(names[n % 6], 9, effects[n % 3])]));
            }
            prop_assert!(classes.slots.len() <= size + 2);
        }
    }
}
