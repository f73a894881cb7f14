//! Limits of requests that a reload changes, for requests that began before it or whose client may not know of it yet.

use super::classes::DROPPED_CLASS_SERVED_FOR_US;
use super::Document;
use crate::routing::events::Micros;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of replaced limits that are kept; reloads come seconds apart.
const MAX_REPLACED_LIMITS: usize = 16;

/// Limits of a request that settings give.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestLimits {
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Rate of one transfer to a client in KB per second; 0: unknown.
    pub transfer_rate_kb_per_s: f64,
}

impl From<&Document> for RequestLimits {
    fn from(settings: &Document) -> Self {
        RequestLimits {
            max_attempts: settings.limits.max_attempts,
            transfer_rate_kb_per_s: settings.domain.flow_kb_per_s,
        }
    }
}

/// Limits that clients may know, as one process of an instance hands them to the next.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct KnownLimits {
    /// The limits.
    pub limits: RequestLimits,
    /// Time since others replaced them, in microseconds; 0 if they are in force.
    pub replaced_for: Micros,
}

/// Limits that a reload has replaced.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ReplacedLimits {
    limits: RequestLimits,
    replaced_at: Micros,
}

/// The current limits and those that were replaced recently, oldest first.
#[derive(Clone, Debug)]
pub struct RequestLimitsHistory {
    current: RequestLimits,
    replaced: VecDeque<ReplacedLimits>,
}

impl RequestLimitsHistory {
    /// Starts with the limits of the settings.
    pub fn new(settings: &Document) -> Self {
        RequestLimitsHistory { current: settings.into(), replaced: VecDeque::new() }
    }

    /// Applies the limits of new settings.
    pub fn apply(&mut self, now: Micros, settings: &Document) {
        let limits = RequestLimits::from(settings);
        let replaced = std::mem::replace(&mut self.current, limits);
        if replaced != limits {
            self.add_replaced(ReplacedLimits { limits: replaced, replaced_at: now });
        }
    }

    /// Adds limits that were in force before; beyond `MAX_REPLACED_LIMITS` the oldest are forgotten.
    fn add_replaced(&mut self, replaced: ReplacedLimits) {
        if self.replaced.len() >= MAX_REPLACED_LIMITS {
            self.replaced.pop_front();
        }
        self.replaced.push_back(replaced);
    }

    /// Returns the limits that clients may know at `now`, oldest first.
    pub fn known(&self, now: Micros) -> Vec<KnownLimits> {
        let replaced = self.replaced.iter().map(|replaced| KnownLimits {
            limits: replaced.limits,
            replaced_for: now.saturating_sub(replaced.replaced_at),
        });
        replaced.chain([KnownLimits { limits: self.current, replaced_for: 0 }]).collect()
    }

    /// Adds the limits that clients may know from the process before, oldest first.
    pub fn inherit(&mut self, now: Micros, known: &[KnownLimits]) {
        let current = self.current;
        for KnownLimits { limits, replaced_for } in known.iter().filter(|known| known.limits != current) {
            let replaced_at = now.saturating_sub(*replaced_for);
            self.add_replaced(ReplacedLimits { limits: *limits, replaced_at });
        }
    }

    /// Returns the limits of a request that began at `begun_at`: the fewest attempts and the highest rate of all limits
    /// that its client may have known.
    pub fn at(&self, begun_at: Micros) -> RequestLimits {
        let is_known =
            |replaced: &&ReplacedLimits| begun_at < replaced.replaced_at + DROPPED_CLASS_SERVED_FOR_US;
        let known = self.replaced.iter().filter(is_known).map(|replaced| replaced.limits);
        known.fold(self.current, |first, second| RequestLimits {
            max_attempts: first.max_attempts.min(second.max_attempts),
            transfer_rate_kb_per_s: highest_rate(first, second),
        })
    }
}

/// Returns the higher rate; an unknown one excludes no size and counts as higher.
fn highest_rate(first: RequestLimits, second: RequestLimits) -> f64 {
    let rates = [first.transfer_rate_kb_per_s, second.transfer_rate_kb_per_s];
    if rates.contains(&0.0) {
        return 0.0;
    }
    rates[0].max(rates[1])
}
