//! The request classes, with numbers that stay the same when settings are reloaded.
//!
//! A request keeps the class with which it arrived until it ends. A class that new settings drop is still served for a
//! short time and its name is known for longer, because clients learn of the change with a delay. Which classes apply to
//! a request is decided by the time at which its first byte arrived: its client has made it by the settings known then,
//! however long it takes to write it.

use super::{ClassEntry, Document};
use crate::invariant;
use crate::routing::deduplication::RepeatPolicy;
use crate::routing::events::{Class, Idempotency, Micros, Settings};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// Time for which a dropped class is still served, in microseconds. Clients learn of the change up to 1.2 s after it.
pub const DROPPED_CLASS_SERVED_FOR_US: Micros = 1_500_000;
/// Time for which the name of a dropped class is known, in microseconds. During it, requests with the name are rejected
/// instead of being treated as malformed.
pub const DROPPED_CLASS_KNOWN_FOR_US: Micros = 30_000_000;

/// A class number in use, kept as long as requests of its class may exist.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    name: String,
    /// Longest time that a client waits.
    deadline: Micros,
    class: Class,
    /// Time at which the settings dropped the class; `None` while it is current.
    dropped_at: Option<Micros>,
    /// Number of requests of this class that have not ended.
    open_requests: usize,
}

impl Slot {
    fn is_current(&self) -> bool {
        self.dropped_at.is_none()
    }

    fn dropped_for(&self, now: Micros) -> Micros {
        self.dropped_at.map_or(0, |dropped_at| now.saturating_sub(dropped_at))
    }

    fn is_served(&self, now: Micros) -> bool {
        self.is_current() || self.dropped_for(now) < DROPPED_CLASS_SERVED_FOR_US
    }

    fn is_reusable(&self, now: Micros) -> bool {
        let is_forgotten =
            self.dropped_at.is_some_and(|dropped_at| now >= dropped_at + DROPPED_CLASS_KNOWN_FOR_US);
        is_forgotten && self.open_requests == 0
    }

    fn is_same_class(&self, entry: &ClassEntry, class: &Class) -> bool {
        self.name == entry.name && self.deadline == entry.deadline_us && self.class == *class
    }
}

/// Maximum number of classes that are handed to another process of the instance.
pub const MAX_KNOWN_CLASSES: usize = 256;

/// A class that clients may know, as one process of an instance hands it to the next.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KnownClass {
    /// Name of the class.
    pub name: String,
    /// Longest time that a client waits, in microseconds.
    pub deadline: Micros,
    /// The class.
    pub class: Class,
    /// Time since the settings dropped the class, in microseconds; `None` if they contain it.
    pub dropped_for: Option<Micros>,
}

/// All classes by number: those in the settings and dropped ones that are still known or have open requests.
#[derive(Clone, Debug, Default)]
pub struct ClassTable {
    pub(super) slots: Vec<Slot>,
}

/// Result of the lookup of a class name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClassLookup<'a> {
    /// The class is served.
    Found {
        /// Number of the class.
        number: usize,
        /// Longest time that a client waits.
        deadline: Micros,
        /// The class.
        class: &'a Class,
    },
    /// The class was dropped recently and is no longer served.
    Dropped,
    /// No class with this name is known.
    Unknown,
}

impl<'a> ClassLookup<'a> {
    /// Returns number and class if the class is served.
    pub fn class(self) -> Option<(usize, &'a Class)> {
        match self {
            ClassLookup::Found { number, class, .. } => Some((number, class)),
            ClassLookup::Dropped | ClassLookup::Unknown => None,
        }
    }
}

impl ClassTable {
    /// Applies the classes of new settings. Unchanged classes keep their numbers.
    pub fn apply(&mut self, now: Micros, settings: &Document) {
        let entries: Vec<(&ClassEntry, Class)> =
            settings.classes.iter().zip(settings.router_classes()).collect();
        for slot in &mut self.slots {
            let is_kept = entries.iter().any(|(entry, class)| slot.is_same_class(entry, class));
            slot.dropped_at = if is_kept { None } else { slot.dropped_at.or(Some(now)) };
        }
        for (entry, class) in entries {
            let mut current = self.slots.iter().filter(|slot| slot.is_current());
            if !current.any(|slot| slot.is_same_class(entry, &class)) {
                self.insert(now, entry, class);
            }
        }
    }

    fn insert(&mut self, now: Micros, entry: &ClassEntry, class: Class) {
        let slot = Slot {
            name: entry.name.clone(),
            deadline: entry.deadline_us,
            class,
            dropped_at: None,
            open_requests: 0,
        };
        match self.slots.iter().position(|slot| slot.is_reusable(now)) {
            Some(number) => self.slots[number] = slot,
            None => self.slots.push(slot),
        }
    }

    /// Returns the classes that clients may know at `now`, those dropped last first.
    pub fn known(&self, now: Micros) -> Vec<KnownClass> {
        let is_known = |slot: &&Slot| slot.dropped_for(now) < DROPPED_CLASS_KNOWN_FOR_US;
        let mut known: Vec<&Slot> = self.slots.iter().filter(is_known).collect();
        known.sort_by_key(|slot| (!slot.is_current(), Reverse(slot.dropped_at)));
        known.truncate(MAX_KNOWN_CLASSES);
        let copied = |slot: &Slot| KnownClass {
            name: slot.name.clone(),
            deadline: slot.deadline,
            class: slot.class.clone(),
            dropped_for: (!slot.is_current()).then(|| slot.dropped_for(now)),
        };
        known.into_iter().map(copied).collect()
    }

    /// Adds the classes that clients may know from the process before. A class that the settings of this process do not
    /// contain is dropped at `now`, unless the process before had dropped it already.
    pub fn inherit(&mut self, now: Micros, classes: Vec<KnownClass>) {
        for KnownClass { name, deadline, class, dropped_for } in classes.into_iter().take(MAX_KNOWN_CLASSES) {
            let is_same = |slot: &Slot| slot.name == name && slot.deadline == deadline && slot.class == class;
            if !self.slots.iter().any(is_same) {
                let dropped_at = Some(now.saturating_sub(dropped_for.unwrap_or(0)));
                self.slots.push(Slot { name, deadline, class, dropped_at, open_requests: 0 });
            }
        }
    }

    /// Looks up a name for a request that began at `begun_at`: the current class, or else the class of that name that was dropped last. The deadline is the
    /// longest of all served classes with the name, because clients that have not learned of a change still send the
    /// old deadline, and a deadline above the allowed one closes their connection.
    pub fn find(&self, begun_at: Micros, name: &str) -> ClassLookup<'_> {
        let of_name = || self.slots.iter().enumerate().filter(|(_, slot)| slot.name == name);
        let latest = of_name().min_by_key(|(_, slot)| (!slot.is_current(), Reverse(slot.dropped_at)));
        match latest {
            Some((number, slot)) if slot.is_served(begun_at) => {
                let served = of_name().filter(|(_, slot)| slot.is_served(begun_at));
                let longest = served.map(|(_, slot)| slot.deadline).max();
                let deadline = longest.unwrap_or(slot.deadline);
                ClassLookup::Found { number, deadline, class: &slot.class }
            }
            Some((_, slot)) if slot.dropped_for(begun_at) < DROPPED_CLASS_KNOWN_FOR_US => {
                ClassLookup::Dropped
            }
            _ => ClassLookup::Unknown,
        }
    }

    /// Returns what is allowed once a request of the class `number` that began at `begun_at` may have run. Its client may not know yet of a
    /// change of the class, so classes of that name that were dropped recently restrict it too, unless the request
    /// lacks the key that their clients sent.
    pub fn repeat_policy(&self, begun_at: Micros, number: usize, has_key: bool) -> RepeatPolicy {
        let current = &self.slots[number];
        let recent = self.slots.iter().filter(|slot| slot.name == current.name && slot.is_served(begun_at));
        let policies = recent.map(|slot| RepeatPolicy::from(&slot.class));
        let known_to_client = policies.filter(|policy| has_key || !policy.needs_key());
        known_to_client.fold(RepeatPolicy::from(&current.class), RepeatPolicy::strictest)
    }

    /// Counts a new request of a class.
    pub fn request_opened(&mut self, number: usize) {
        self.slots[number].open_requests += 1;
    }

    /// Counts the end of a request.
    pub fn request_closed(&mut self, number: usize) {
        invariant!(self.slots[number].open_requests > 0, "a request that ends was counted on arrival");
        self.slots[number].open_requests = self.slots[number].open_requests.saturating_sub(1);
    }

    /// Returns the number of requests of all classes that have not ended.
    pub fn open_requests(&self) -> usize {
        self.slots.iter().map(|slot| slot.open_requests).sum()
    }

    /// Returns whether a dropped class of this name that was still served at `begun_at` allowed requests without an
    /// idempotency key.
    pub fn recently_allowed_no_key(&self, begun_at: Micros, name: &str) -> bool {
        self.slots.iter().any(|slot| {
            slot.name == name
                && !slot.is_current()
                && slot.is_served(begun_at)
                && slot.class.idempotency != Idempotency::WithKey
        })
    }

    /// Returns the longest deadline of the current classes.
    pub fn longest_deadline(&self) -> Micros {
        let current = self.slots.iter().filter(|slot| slot.is_current());
        current.map(|slot| slot.deadline).max().unwrap_or(0)
    }

    /// Returns the router's settings with these classes by number. During a takeover two processes share one instance's
    /// allowance for cold endpoints, so that together they don't send more than one process may.
    pub fn for_router(&self, settings: &Document, is_shared: bool) -> Settings {
        let settings = settings.for_router();
        Settings {
            classes: self.slots.iter().map(|slot| slot.class.clone()).collect(),
            processes: if is_shared { settings.processes * 2 } else { settings.processes },
            ..settings
        }
    }
}
