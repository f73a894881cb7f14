//! Gathers figures into a histogram: three digits are kept.

use crate::figures::Spread;
use hdrhistogram::Histogram;

/// Figures in multiples of a unit.
#[derive(Clone, Debug)]
pub struct Gather {
    histogram: Histogram<u64>,
    unit: f64,
}

impl Gather {
    /// An empty one that tells figures apart down to `unit`.
    pub fn new(unit: f64) -> Self {
        // Can't fail with these bounds; it grows as needed.
        let histogram =
            Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are within what it takes"));
        Gather { histogram, unit }
    }

    /// Takes a figure; one below 0 counts as 0.
    pub fn add(&mut self, value: f64) {
        // Only fails for what is beyond what it can grow to, which no figure here is.
        let _ = self.histogram.record((value / self.unit).round().max(0.0) as u64);
    }

    /// What it comes to.
    pub fn spread(&self) -> Spread {
        let h = &self.histogram;
        let at = |part: f64| h.value_at_quantile(part) as f64 * self.unit;
        Spread { count: h.len(), median: at(0.5), p99: at(0.99), most: h.max() as f64 * self.unit }
    }
}

/// The spread of some figures, told apart down to `unit`.
pub fn spread(values: impl IntoIterator<Item = f64>, unit: f64) -> Spread {
    let mut gather = Gather::new(unit);
    values.into_iter().for_each(|v| gather.add(v));
    gather.spread()
}
