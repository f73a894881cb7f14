//! Checks on the planner's Unix clock, which must neither step nor differ from the instances' clocks.

use super::{Notice, PlannerInput, MICROS_PER_MS};
use crate::routing::events::Micros;

/// Simultaneous readings of the monotonic and the Unix clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Reading {
    now: Micros,
    unix_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ClockWatch {
    last: Option<Reading>,
    /// The Unix clock has stepped since [`ClockWatch::blocks_moves`] last checked it.
    stepped: bool,
    /// The instances' clocks differed too much at the last check.
    skewed: bool,
}

impl ClockWatch {
    /// Compares the Unix clock's progress with the monotonic clock's, to detect a step.
    pub(super) fn observe(&mut self, input: &PlannerInput, notices: &mut Vec<Notice>) {
        if let Some(last) = self.last {
            let elapsed_ms = input.now.saturating_sub(last.now) / MICROS_PER_MS;
            let expected = last.unix_ms.saturating_add(elapsed_ms);
            if input.unix_ms.abs_diff(expected) > input.settings.skew / MICROS_PER_MS {
                self.stepped = true;
                notices.push(Notice::ClockStepped);
            }
        }
        self.last = Some(Reading { now: input.now, unix_ms: input.unix_ms });
    }

    /// Returns whether the Unix clock has stepped.
    pub(super) fn has_stepped(&self) -> bool {
        self.stepped
    }

    /// Returns whether no move may begin now: the instances' clocks differ too much, or the planner's Unix clock has
    /// stepped since the last call.
    pub(super) fn blocks_moves(&mut self, input: &PlannerInput, notices: &mut Vec<Notice>) -> bool {
        let skewed = input.skew_ms > input.settings.skew / MICROS_PER_MS;
        if skewed && !self.skewed {
            notices.push(Notice::Skewed(input.skew_ms));
        }
        self.skewed = skewed;
        std::mem::take(&mut self.stepped) || skewed
    }
}
