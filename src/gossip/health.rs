//! Local health (Lifeguard): an instance that receives few answers itself takes longer to suspect others.

use crate::routing::events::Micros;

/// Maximum local health score.
const MAX_SCORE: u32 = 8;

/// Local health score: 0 is good, higher is worse.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub fn worsen(&mut self, points: u32) {
        self.score = (self.score + points).min(MAX_SCORE);
    }

    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Returns a duration extended by half of its length for each point of the score.
    pub fn stretch(self, duration: Micros) -> Micros {
        duration + duration * Micros::from(self.score) / 2
    }
}
