//! Redistribution of the load of lost sites: a precomputed plan for the loss of each zone, and the routing constraints
//! that an instance derives from it.
//!
//! A plan states for every zone and class how much of its load is served by which targets; the rest is rejected. It is
//! the solution of a linear program (`solver`): first the floors, then the work that only the origin can do, then the
//! largest total of priority weight less price, within the capacity of targets (times `Settings::headroom`) and of the
//! links. If the capacity is not enough for the floors, it is divided in the order of rejection (`greedy`).
//!
//! `proxy::failover` owns the [`Plans`]. It recomputes them whenever settings, endpoint list or forecast change, one
//! plan per step ([`PlanBuilder`]), never at the moment of a loss. Instances with equal inputs have bit-identical
//! plans, and report the number of their plans to each other.
//!
//! With at most [`MAX_PAIRED_ZONES`] zones, the loss of each two zones at once has its own precomputed plan. For any
//! other set of lost zones the greedy algorithm, which needs no solver, makes a plan under the same limits when it is
//! needed. So no target exceeds its limit whichever zones are lost.
//!
//! ```text
//! estimate -> inputs <- rejection_order <- model <- allocation <- greedy <- solver <- plans <- constraints
//! ```

mod allocation;
pub mod constraints;
mod error;
pub mod estimate;
mod greedy;
mod grid;
mod inputs;
mod model;
mod plan;
mod plans;
pub mod rejection_order;
mod solver;
#[cfg(test)]
mod tests;

pub use error::{InputList, InputValue, LimitedInput, PlanError};
pub use inputs::{Inputs, Target, MAX_CLASSES, MAX_TARGETS, MAX_VALUE, MAX_ZONES};
pub use plan::{Plan, TargetWork};
pub use plans::{PlanBuilder, Plans, MAX_PAIRED_ZONES};
