//! Least squares of one law through what was measured, weighted so that each size counts by its relative error.

use super::Point;
use serde::{Deserialize, Serialize};

/// A law is taken before a steeper one unless that fits this many times better.
const BETTER: f64 = 1.5;
/// A law that is off by no more than this part at any size is good enough.
const GOOD: f64 = 0.03;

/// How a figure grows with its size.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Law {
    /// Not at all.
    #[serde(rename = "constant")]
    Constant,
    /// As the size.
    #[serde(rename = "linear")]
    Linear,
    /// As the size times its logarithm.
    #[serde(rename = "n log n")]
    NLogN,
    /// As the size times itself.
    #[serde(rename = "n squared")]
    Squared,
    /// As its cube.
    #[serde(rename = "n cubed")]
    Cubed,
}

impl Law {
    /// All, the flattest first.
    pub const ALL: [Law; 5] = [Law::Constant, Law::Linear, Law::NLogN, Law::Squared, Law::Cubed];

    /// What the slope is multiplied with.
    pub fn of(self, size: f64) -> f64 {
        match self {
            Law::Constant => 0.0,
            Law::Linear => size,
            Law::NLogN => size * size.max(1.0).log2(),
            Law::Squared => size * size,
            Law::Cubed => size.powi(3),
        }
    }
}

/// A law with its figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Which.
    pub law: Law,
    /// What is added for one more of the law's unit.
    pub slope: f64,
    /// What there is at size 0.
    pub intercept: f64,
    /// The most by which the law is off at any size measured, as a part of what was measured there.
    pub residual: f64,
}

impl Fit {
    /// The figure at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * self.law.of(size)
    }

    /// The best of one law. Neither slope nor intercept is below 0: nothing here shrinks as the fleet grows, and what
    /// seems to is noise.
    pub fn by(law: Law, points: &[Point]) -> Fit {
        // Weights by the inverse square: a size counts by its relative error.
        let weighed = points.iter().map(|p| (law.of(p.size), p.value, p.value.abs().max(1e-12).powi(-2)));
        let sum = |of: fn(f64, f64) -> f64| weighed.clone().map(|(x, y, w)| w * of(x, y)).sum::<f64>();
        let (w, wx, wy) = (sum(|_, _| 1.0), sum(|x, _| x), sum(|_, y| y));
        let (wxx, wxy) = (sum(|x, _| x * x), sum(|x, y| x * y));
        let apart = w * wxx - wx * wx;
        let flat = (0.0, if w > 0.0 { wy / w } else { 0.0 });
        let free = match law {
            Law::Constant => flat,
            _ if apart <= 1e-12 * w * wxx => flat,
            _ => ((w * wxy - wx * wy) / apart, (wy * wxx - wx * wxy) / apart),
        };
        let (slope, intercept) = match free {
            (slope, _) if slope < 0.0 => flat,
            (_, intercept) if intercept < 0.0 => (wxy / wxx, 0.0),
            free => free,
        };
        let fit = Fit { law, slope, intercept, residual: 0.0 };
        let off = |p: &Point| (fit.at(p.size) - p.value).abs() / p.value.abs().max(1e-12);
        Fit { residual: points.iter().map(off).fold(0.0, f64::max), ..fit }
    }

    /// The flattest law that fits well, or clearly better than the flatter ones.
    pub fn of(points: &[Point]) -> Fit {
        let [flattest, steeper @ ..] = Law::ALL.map(|law| Fit::by(law, points));
        let better = |best: Fit, next: Fit| {
            let keeps = best.residual <= GOOD || best.residual <= next.residual * BETTER;
            if keeps {
                best
            } else {
                next
            }
        };
        steeper.into_iter().fold(flattest, better)
    }
}
