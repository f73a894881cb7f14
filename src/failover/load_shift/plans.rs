//! The plans for the loss of each zone, and their computation in advance, one plan per step.

use super::error::PlanError;
use super::greedy::allocate_greedily;
use super::inputs::{Inputs, Target, MAX_VALUE};
use super::model::Model;
use super::plan::Plan;
use super::solver::solve;
use crate::failover::Zone;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of zones for which the loss of each two at once has its own precomputed plan.
pub const MAX_PAIRED_ZONES: usize = 32;

/// The plans for one set of inputs.
#[derive(Clone, Debug, PartialEq)]
pub struct Plans {
    number: u32,
    pub(super) inputs: Arc<Inputs>,
    /// Precomputed plans, by the lost zones in ascending order.
    by_lost_zones: BTreeMap<Vec<Zone>, Arc<Plan>>,
}

impl Plans {
    /// Computes all plans at once; an event loop uses [`PlanBuilder`] instead.
    ///
    /// # Errors
    ///
    /// [`PlanError`] if the inputs are invalid.
    pub fn make(inputs: &Inputs) -> Result<Plans, PlanError> {
        let mut builder = PlanBuilder::new(inputs)?;
        loop {
            if let Some(plans) = builder.step() {
                return Ok(plans);
            }
        }
    }

    /// Returns the number of the plans, which is the same on all instances with equal inputs and never 0.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Returns whether all load would still be served after the loss of a zone if each zone's load were multiplied by
    /// its growth. Solves one linear program.
    pub fn survives_loss(&self, lost: Zone, growth: &[f64]) -> bool {
        let mut inputs = Inputs::clone(&self.inputs);
        for (load, factor) in inputs.load.iter_mut().zip(growth) {
            let factor = if factor.is_finite() { factor.max(0.0) } else { 1.0 };
            load.iter_mut().for_each(|load| *load = (*load * factor).min(MAX_VALUE));
        }
        let lost = [lost];
        let model = Model::new(&inputs, &lost);
        !solve(&model).into_plan(self.number).rejects()
    }

    /// Returns the targets, sorted by server; plans refer to them by index.
    pub fn targets(&self) -> &[Target] {
        &self.inputs.targets
    }

    /// Returns the plan for a set of lost zones, which may be empty. Unknown zones are ignored.
    pub fn for_lost(&self, lost: &[Zone]) -> Arc<Plan> {
        let mut lost: Vec<Zone> = lost.iter().copied().filter(|&zone| zone < self.inputs.zones).collect();
        lost.sort_unstable();
        lost.dedup();
        match self.by_lost_zones.get(&lost) {
            Some(plan) => plan.clone(),
            None => {
                let model = Model::new(&self.inputs, &lost);
                Arc::new(allocate_greedily(&model).into_plan(self.number))
            }
        }
    }
}

/// Computes plans one by one, so that an event loop is never blocked for long.
#[derive(Clone, Debug)]
pub struct PlanBuilder {
    plans: Plans,
    /// Sets of lost zones that have no plan yet, the next one last.
    remaining: Vec<Vec<Zone>>,
}

impl PlanBuilder {
    /// Validates the inputs.
    ///
    /// # Errors
    ///
    /// [`PlanError`] if they are invalid.
    pub fn new(inputs: &Inputs) -> Result<PlanBuilder, PlanError> {
        let inputs = Arc::new(inputs.clone().checked()?);
        let zones = inputs.zones;
        let mut remaining = Vec::new();
        if zones <= MAX_PAIRED_ZONES {
            let pairs =
                (0..zones).flat_map(|first| (first + 1..zones).map(move |second| vec![first, second]));
            remaining.extend(pairs);
        }
        remaining.extend((0..zones).map(|zone| vec![zone]));
        remaining.push(Vec::new());
        let plans = Plans { number: inputs.number(), inputs, by_lost_zones: BTreeMap::new() };
        Ok(PlanBuilder { plans, remaining })
    }

    /// Returns the number of remaining steps.
    pub fn remaining(&self) -> usize {
        self.remaining.len()
    }

    /// Computes the next plan; returns all plans after the last one.
    pub fn step(&mut self) -> Option<Plans> {
        if let Some(lost) = self.remaining.pop() {
            let model = Model::new(&self.plans.inputs, &lost);
            let plan = solve(&model).into_plan(self.plans.number);
            self.plans.by_lost_zones.insert(lost, Arc::new(plan));
        }
        self.remaining.is_empty().then(|| self.plans.clone())
    }
}
