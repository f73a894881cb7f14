//! Bound on the age of accepted copies while purges may be missing.
//!
//! A source of purges owns one [`StalenessBound`]: the purge log and the command channel. The source decides whether it
//! is cut off, that is, whether a purge that it has not received may be in force; this module derives the bound from it,
//! and from copies that are void because purges were missed for good.

use crate::routing::events::Micros;

/// Time between updates of a bound that grows as the time of voided copies recedes, in microseconds.
const BOUND_UPDATE_INTERVAL: Micros = 250_000;

/// Copies made before a time are void, for as long as such copies may remain anywhere.
#[derive(Clone, Copy, Debug)]
struct Void {
    before: Micros,
    until: Micros,
}

/// State of a source of purges that is cut off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CutOff {
    /// Copies made before this time are void, because a purge of that time may be in force; `None`: only those older
    /// than the maximum staleness.
    pub void_before: Option<Micros>,
}

/// Change of whether a source is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The source is cut off from now on.
    CutOff,
    /// The source is current again, or for the first time.
    Current {
        /// Time for which it was cut off, in microseconds.
        after: Micros,
    },
}

/// Result of an update.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The transition, if there was one.
    pub transition: Option<Transition>,
    /// The new bound, if it has changed: no copy older than this is accepted; `None` inside: all purges are known.
    pub bound: Option<Option<Micros>>,
}

/// A bound that is in force, in microseconds, and when it was set.
#[derive(Clone, Copy, Debug)]
struct BoundInForce {
    age: Micros,
    set_at: Micros,
}

/// The bound of one source of purges.
#[derive(Clone, Debug)]
pub struct StalenessBound {
    max_staleness: Micros,
    void: Option<Void>,
    cut_off: Option<CutOff>,
    cut_off_since: Option<Micros>,
    cut_offs: u64,
    bound: Option<BoundInForce>,
    computed_at: Micros,
    tightened_at: Option<Micros>,
}

impl StalenessBound {
    /// Creates the state of a source without a bound. While it is cut off, no copy older than `max_staleness` is
    /// accepted.
    pub fn new(max_staleness: Micros, now: Micros) -> Self {
        StalenessBound {
            max_staleness,
            void: None,
            cut_off: None,
            cut_off_since: None,
            cut_offs: 0,
            bound: None,
            computed_at: now,
            tightened_at: None,
        }
    }

    /// Creates the state of a source that is cut off until it is first known to be current.
    pub fn new_cut_off(max_staleness: Micros, now: Micros) -> Self {
        StalenessBound { cut_off_since: Some(now), ..StalenessBound::new(max_staleness, now) }
    }

    /// Returns the maximum age of copies while the source is cut off.
    pub fn max_staleness(&self) -> Micros {
        self.max_staleness
    }

    /// Voids all copies made before `before`, until `until`.
    pub fn void_all_before(&mut self, before: Micros, until: Micros) {
        let old = self.void.unwrap_or(Void { before: 0, until: 0 });
        self.void = Some(Void { before: old.before.max(before), until: old.until.max(until) });
    }

    /// Returns the time before which all copies are void, because purges were missed for good.
    pub fn void_before(&self) -> Option<Micros> {
        self.void.map(|void| void.before)
    }

    /// Returns whether the source is cut off.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns the number of times that the source was cut off.
    pub fn cut_offs(&self) -> u64 {
        self.cut_offs
    }

    /// Returns whether a bound is in force.
    pub fn is_bounded(&self) -> bool {
        self.bound.is_some()
    }

    /// Returns the time at which a bound was last introduced or tightened: earlier decisions are not valid.
    pub fn tightened_at(&self) -> Option<Micros> {
        self.tightened_at
    }

    /// Returns the time of the next update of a bound that grows, or [`Micros::MAX`].
    pub fn next_update(&self) -> Micros {
        let is_growing = self.void.is_some() || self.cut_off.is_some_and(|cut_off| self.is_growing(cut_off));
        if is_growing {
            self.computed_at.saturating_add(BOUND_UPDATE_INTERVAL)
        } else {
            Micros::MAX
        }
    }

    fn is_growing(&self, cut_off: CutOff) -> bool {
        cut_off.void_before.is_some_and(|time| self.computed_at.saturating_sub(time) < self.max_staleness)
    }

    /// Computes the bound anew; `cut_off` says whether the source is cut off now.
    pub fn update(&mut self, now: Micros, cut_off: Option<CutOff>) -> Change {
        let transition = self.change_state(now, cut_off.is_some());
        self.cut_off = cut_off;
        self.computed_at = now;
        self.void = self.void.filter(|void| now < void.until);
        let age_at = |time: Micros| now.saturating_sub(time);
        let cut_off_age = |cut_off: CutOff| cut_off.void_before.map_or(Micros::MAX, age_at);
        let cut_off_bound = cut_off.map(|cut_off| self.max_staleness.min(cut_off_age(cut_off)));
        let void_bound = self.void.map(|void| age_at(void.before));
        let age = cut_off_bound.into_iter().chain(void_bound).min();
        Change { transition, bound: self.set(now, age).then_some(age) }
    }

    fn change_state(&mut self, now: Micros, is_cut_off: bool) -> Option<Transition> {
        match (is_cut_off, self.cut_off_since) {
            (false, Some(since)) => {
                self.cut_off_since = None;
                Some(Transition::Current { after: now.saturating_sub(since) })
            }
            (true, None) => {
                self.cut_off_since = Some(now);
                self.cut_offs += 1;
                Some(Transition::CutOff)
            }
            _ => None,
        }
    }

    /// Sets the bound; returns whether it differs enough from the one in force to be announced.
    fn set(&mut self, now: Micros, age: Option<Micros>) -> bool {
        let is_changed = match (age, self.bound) {
            (Some(new), Some(old)) => {
                new < old.age || new > old.age && now >= old.set_at.saturating_add(BOUND_UPDATE_INTERVAL)
            }
            (new, old) => new.is_some() != old.is_some(),
        };
        if !is_changed {
            return false;
        }
        if age.is_some_and(|new| self.bound.is_none_or(|old| new < old.age)) {
            self.tightened_at = Some(now);
        }
        self.bound = age.map(|age| BoundInForce { age, set_at: now });
        true
    }
}
