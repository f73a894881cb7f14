//! The grid to which planned work is rounded.

/// Planned work is rounded down to a multiple of this, so that sums are exact and do not depend on their order.
pub(super) const GRID: f64 = 1.0 / 1_048_576.0;

/// Returns the largest multiple of [`GRID`] that is at most `value`, or 0 for a negative value.
pub(super) fn round_down(value: f64) -> f64 {
    (value.max(0.0) / GRID).floor() * GRID
}
