//! Which requests are rejected first when a resource is scarce.
//!
//! | step | what is rejected | reason |
//! | --- | --- | --- |
//! | 1 | background refreshes | no client waits for one |
//! | 2 | nothing; stale copies are accepted, as far as their class allows | a stale answer in time is better than none |
//! | 3 | misses, first of the class with the lowest priority per unit of the scarce resource | a hit uses no link, parent or origin |
//! | 4 | hits, the class of the lowest priority first; only if the caches themselves are scarce | |
//! | 5 | idempotent requests that run at the origin | the client can retry them, but only the origin can serve them |
//! | 6 | requests that are not idempotent | rejected only before they are sent, and never moved once they may have run |
//!
//! In each step every class keeps its floor (`Settings::floor`) as long as there is capacity.

use super::inputs::Inputs;
use crate::routing::events::{Idempotency, Role};
use std::cmp::Ordering;
use std::fmt;

/// The scarce resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scarce {
    /// Edge caches.
    Cache,
    /// A zone's inbound link.
    Link,
    /// Parents.
    Parent,
    /// The origin.
    Origin,
}

/// One step of the order of rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionStep {
    /// Background refreshes are rejected.
    BackgroundRefreshes,
    /// Stale copies of a class are accepted; nothing is rejected.
    AcceptStale {
        /// Number of the class.
        class: usize,
    },
    /// Misses of a class are rejected.
    Misses {
        /// Number of the class.
        class: usize,
    },
    /// Hits of a class are rejected.
    Hits {
        /// Number of the class.
        class: usize,
    },
    /// Idempotent requests of a class that runs at the origin are rejected.
    OriginOnly {
        /// Number of the class.
        class: usize,
    },
    /// Requests of a class that is not idempotent are rejected.
    NotIdempotent {
        /// Number of the class.
        class: usize,
    },
}

impl fmt::Display for RejectionStep {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RejectionStep::BackgroundRefreshes => write!(f, "background refreshes rejected"),
            RejectionStep::AcceptStale { class } => write!(f, "stale copies of class {class} accepted"),
            RejectionStep::Misses { class } => write!(f, "misses of class {class} rejected"),
            RejectionStep::Hits { class } => write!(f, "hits of class {class} rejected"),
            RejectionStep::OriginOnly { class } => {
                write!(f, "class {class} rejected, which only the origin can serve")
            }
            RejectionStep::NotIdempotent { class } => {
                write!(f, "class {class} rejected, which is not idempotent")
            }
        }
    }
}

/// Returns the priority of one unit of a class's work per unit of the scarce resource that it uses; infinite if it uses
/// none. For a class that caches serve, the unit is one unit of misses.
pub fn priority_per_unit(inputs: &Inputs, class: usize, scarce: Scarce) -> f64 {
    let has_parents =
        inputs.targets.iter().any(|target| target.role == Role::Parent && target.capacity > 0.0);
    let used = match (inputs.runs_at_origin(class), scarce) {
        (true, Scarce::Link | Scarce::Origin) => 1.0,
        (false, Scarce::Cache | Scarce::Link | Scarce::Parent) => 1.0,
        (true, Scarce::Cache | Scarce::Parent) => 0.0,
        (false, Scarce::Origin) if has_parents => inputs.parent_miss_ratio.get(class).copied().unwrap_or(0.0),
        (false, Scarce::Origin) => 1.0,
    };
    let weight = inputs.priority_weight.get(class).copied().unwrap_or(0.0);
    if used > 0.0 {
        weight / used
    } else {
        f64::INFINITY
    }
}

/// Returns the steps of rejection, first to last; see the table above. A class that uses none of the scarce resource
/// is not rejected because of it.
pub fn rejection_order(inputs: &Inputs, scarce: Scarce) -> Vec<RejectionStep> {
    let classes = lowest_priority_first(inputs, scarce);
    let (at_origin, cached): (Vec<usize>, Vec<usize>) =
        classes.into_iter().partition(|&class| inputs.runs_at_origin(class));
    let (not_idempotent, idempotent): (Vec<usize>, Vec<usize>) =
        at_origin.into_iter().partition(|&class| is_not_idempotent(inputs, class));
    let may_be_stale = |class: usize| inputs.classes[class].fresh_for > 0 && inputs.classes[class].grace > 0;
    let misses = |class: usize| inputs.miss_ratio.get(class).is_some_and(|&ratio| ratio > 0.0);

    let mut steps = vec![RejectionStep::BackgroundRefreshes];
    let stale = cached.iter().filter(|&&class| may_be_stale(class));
    steps.extend(stale.map(|&class| RejectionStep::AcceptStale { class }));
    let missing = cached.iter().filter(|&&class| misses(class));
    steps.extend(missing.map(|&class| RejectionStep::Misses { class }));
    if scarce == Scarce::Cache {
        steps.extend(cached.iter().map(|&class| RejectionStep::Hits { class }));
    }
    steps.extend(idempotent.into_iter().map(|class| RejectionStep::OriginOnly { class }));
    steps.extend(not_idempotent.into_iter().map(|class| RejectionStep::NotIdempotent { class }));
    steps
}

/// Returns the classes in order of admission, the one rejected last first.
pub fn admission_order(inputs: &Inputs, scarce: Scarce) -> Vec<usize> {
    let rejection_cmp = |a: &usize, b: &usize| -> Ordering {
        inputs
            .runs_at_origin(*a)
            .cmp(&inputs.runs_at_origin(*b))
            .then(is_not_idempotent(inputs, *a).cmp(&is_not_idempotent(inputs, *b)))
            .then(priority_per_unit(inputs, *a, scarce).total_cmp(&priority_per_unit(inputs, *b, scarce)))
            .then(a.cmp(b))
    };
    let mut classes: Vec<usize> = (0..inputs.classes.len()).collect();
    classes.sort_by(|a, b| rejection_cmp(b, a));
    classes
}

/// Returns the classes that use the scarce resource, the one with the lowest priority first.
fn lowest_priority_first(inputs: &Inputs, scarce: Scarce) -> Vec<usize> {
    let priority = |class: usize| priority_per_unit(inputs, class, scarce);
    let mut classes: Vec<usize> =
        (0..inputs.classes.len()).filter(|&class| priority(class).is_finite()).collect();
    classes.sort_by(|&a, &b| priority(a).total_cmp(&priority(b)).then(a.cmp(&b)));
    classes
}

fn is_not_idempotent(inputs: &Inputs, class: usize) -> bool {
    inputs.classes[class].idempotency == Idempotency::NotIdempotent
}
