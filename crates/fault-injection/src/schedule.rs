//! Schedules of faults: rules for links between numbered processes, and the seeded sampler that applies them.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

/// Longest delay that a schedule may ask for.
const MAX_DELAY_MS: f64 = 60_000.0;
/// How much later each further copy of a duplicated datagram arrives.
const DUPLICATE_SPACING_US: u64 = 500;

/// Faults on some links for some time. A link that several rules name has the faults of all.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rule {
    /// Begin of the faults, in milliseconds since the schedule began.
    pub from_ms: u64,
    /// End of the faults; 0: never.
    pub until_ms: u64,
    /// Senders that the rule names; empty: all.
    pub from: Vec<usize>,
    /// Receivers that the rule names; empty: all.
    pub to: Vec<usize>,
    /// Whether the rule holds in the other direction too.
    pub both: bool,
    /// Share of datagrams dropped; 1 cuts the link.
    pub drop: f64,
    /// Share of datagrams duplicated.
    pub duplicate: f64,
    /// Least and longest delay in milliseconds; unequal ones reorder datagrams.
    pub delay_ms: [f64; 2],
}

impl Rule {
    /// Cuts two groups off from each other.
    pub fn partition(one: &[usize], other: &[usize], from_ms: u64, until_ms: u64) -> Self {
        Rule {
            from_ms,
            until_ms,
            from: one.to_vec(),
            to: other.to_vec(),
            both: true,
            drop: 1.0,
            ..Rule::default()
        }
    }

    /// Drops a share of all datagrams.
    pub fn loss(drop: f64, from_ms: u64, until_ms: u64) -> Self {
        Rule { from_ms, until_ms, drop, ..Rule::default() }
    }

    fn applies(&self, at_ms: u64, from: usize, to: usize) -> bool {
        let names = |list: &[usize], process| list.is_empty() || list.contains(&process);
        let forward = names(&self.from, from) && names(&self.to, to);
        let backward = self.both && names(&self.from, to) && names(&self.to, from);
        let begun = at_ms >= self.from_ms;
        let ended = self.until_ms != 0 && at_ms >= self.until_ms;
        begun && !ended && (forward || backward)
    }

    fn check(&self, rule: usize) -> Result<(), ScheduleError> {
        for (field, share) in [("drop", self.drop), ("duplicate", self.duplicate)] {
            if !(0.0..=1.0).contains(&share) {
                return Err(ScheduleError::Share { rule, field, share });
            }
        }
        let [least, longest] = self.delay_ms;
        let in_range = (0.0..=MAX_DELAY_MS).contains(&least) && (least..=MAX_DELAY_MS).contains(&longest);
        if !in_range {
            return Err(ScheduleError::Delay { rule, least, longest });
        }
        if self.until_ms != 0 && self.until_ms <= self.from_ms {
            return Err(ScheduleError::End { rule, until_ms: self.until_ms });
        }
        Ok(())
    }
}

/// Why a schedule can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ScheduleError {
    /// The text is not a schedule.
    #[error("schedule: {0}")]
    Syntax(#[from] serde_json::Error),
    /// A share is out of range.
    #[error("rules[{rule}].{field}: {share} (0 to 1)")]
    Share {
        /// Position of the rule.
        rule: usize,
        /// The field.
        field: &'static str,
        /// Its value.
        share: f64,
    },
    /// A delay is out of range.
    #[error("rules[{rule}].delay_ms: [{least}, {longest}] (0 to {MAX_DELAY_MS}, the least first)")]
    Delay {
        /// Position of the rule.
        rule: usize,
        /// Least delay in milliseconds.
        least: f64,
        /// Longest delay in milliseconds.
        longest: f64,
    },
    /// The end is not after the begin.
    #[error("rules[{rule}].until_ms: {until_ms} is not after from_ms")]
    End {
        /// Position of the rule.
        rule: usize,
        /// The end.
        until_ms: u64,
    },
}

/// A seeded schedule of faults.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Schedule {
    /// Equal seeds, times and datagrams have equal faults.
    pub seed: u64,
    /// See [`Rule`].
    pub rules: Vec<Rule>,
}

impl Schedule {
    /// Reads a schedule (JSON) and checks it whole.
    ///
    /// # Errors
    /// The text is not JSON of this form, or a rule's value is out of range; the error names the rule.
    pub fn parse(text: &str) -> Result<Self, ScheduleError> {
        let schedule: Schedule = serde_json::from_str(text)?;
        for (position, rule) in schedule.rules.iter().enumerate() {
            rule.check(position)?;
        }
        Ok(schedule)
    }

    /// A sampler that begins with the schedule.
    pub fn sampler(&self) -> FaultSampler {
        FaultSampler { schedule: self.clone(), rng: Pcg32::seed_from_u64(self.seed) }
    }
}

/// Draws the faults of one datagram after another.
#[derive(Clone, Debug)]
pub struct FaultSampler {
    schedule: Schedule,
    rng: Pcg32,
}

impl FaultSampler {
    /// The delay of each copy of a datagram that arrives, in microseconds; empty: it is dropped.
    pub fn delays_us(&mut self, at_ms: u64, from: usize, to: usize) -> Vec<u64> {
        let mut copies = vec![0];
        let mut delay_us = 0;
        for rule in self.schedule.rules.iter().filter(|rule| rule.applies(at_ms, from, to)) {
            if rule.drop > 0.0 && self.rng.random::<f64>() < rule.drop {
                copies.clear();
            }
            if rule.duplicate > 0.0 && self.rng.random::<f64>() < rule.duplicate {
                copies.extend(copies.first().copied());
            }
            let [least, longest] = rule.delay_ms;
            if longest > 0.0 {
                let chance = self.rng.random::<f64>();
                delay_us += ((least + (longest - least) * chance) * 1000.0) as u64;
            }
        }
        let spaced = copies.into_iter().enumerate();
        spaced.map(|(copy, at)| at + delay_us + copy as u64 * DUPLICATE_SPACING_US).collect()
    }

    /// Whether a link is cut, so that nothing arrives however often it is sent.
    pub fn is_cut(&self, at_ms: u64, from: usize, to: usize) -> bool {
        self.schedule.rules.iter().any(|rule| rule.drop >= 1.0 && rule.applies(at_ms, from, to))
    }
}
