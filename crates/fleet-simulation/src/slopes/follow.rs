//! Followers of documents in virtual time, as [`crate::follow_slope`] gives them: what twelve control machines bear
//! with 20 commits a second, each to all.

use super::Effort;
use crate::capacity::target::{CHANGED_WITHIN, INSTANCES, PURGED_WITHIN, TRAFFIC};
use crate::capacity::{Per, Quantity, Role, Row};
use crate::{FollowFigures, ScaleError};

const MECHANISM: &str =
    "src/registry/documents/mod.rs, Documents: each doorman's session straight to one of 12 machines";

/// Runs of followers by size; none where one can't be run.
pub(super) fn runs(
    effort: Effort,
    slope: fn(usize, u64, u64) -> Result<FollowFigures, ScaleError>,
) -> Vec<(f64, FollowFigures)> {
    let sizes = effort.sizes(&[100, 330, 1_000, 3_300], &[12, 24, 48, 96]);
    let seconds = if effort.quick { 5 } else { 20 };
    let all = sizes.iter().map(|&size| Ok((size as f64, slope(size, 1, seconds)?)));
    all.collect::<Result<_, ScaleError>>().unwrap_or_else(|e| {
        eprintln!("followers in virtual time are left out: {e}");
        Vec::new()
    })
}

/// Messages, bytes and times; all of them are the same each time.
pub fn times(effort: Effort) -> Vec<Row> {
    let all = runs(effort, crate::follow_slope);
    if all.is_empty() {
        return Vec::new();
    }
    let row = |name: &str, quantity, of: &dyn Fn(&FollowFigures) -> f64| {
        let points: Vec<(f64, f64)> = all.iter().map(|(n, f)| (*n, of(f))).collect();
        let name = format!("{name}, 20 commits/s, virtual time");
        Row::new(Role::Registry, &name, quantity, Per::Member, INSTANCES, &points, MECHANISM)
    };
    vec![
        row("one of 12 machines, messages", Quantity::MessagesOut, &|f| f.control_out.messages_per_s.most),
        row("one of 12 machines, bytes", Quantity::BytesOut, &|f| f.control_out.bytes_per_s.most),
        row("one of 12 machines, the most calls in one second", Quantity::MessagesIn, &|f| {
            f.control_calls_peak as f64
        }),
        row("one doorman, bytes", Quantity::BytesIn, &|f| f.down.bytes_per_s.median).limit(TRAFFIC),
        row("commit to the last mirror, against purges", Quantity::Seconds, &|f| f.in_force_ms.most / 1e3)
            .limit(PURGED_WITHIN),
        row("commit to 99 of 100 mirrors, against changes", Quantity::Seconds, &|f| f.in_force_ms.p99 / 1e3)
            .limit(CHANGED_WITHIN),
    ]
}
