//! The allocation of work to routes while a plan is being made: how much of each demand uses which route, and the
//! remaining capacity. It ensures that no capacity is exceeded.

use super::grid::{round_down, GRID};
use super::inputs::{nonzero_hash, Inputs};
use super::model::Model;
use super::plan::{Flow, Plan, FULLY_SERVED};

pub(super) struct Allocation<'a, 'b> {
    pub model: &'b Model<'a>,
    /// Remaining capacity, in the order of [`Model::capacities`].
    remaining: Vec<f64>,
    /// Allocated work, by demand and route.
    allocated: Vec<Vec<f64>>,
}

impl<'a, 'b> Allocation<'a, 'b> {
    pub(super) fn new(model: &'b Model<'a>) -> Self {
        let allocated = model.demands.iter().map(|demand| vec![0.0; demand.routes.len()]).collect();
        Allocation { model, remaining: model.capacities.clone(), allocated }
    }

    /// Returns the work of a demand that is served.
    pub(super) fn served(&self, demand: usize) -> f64 {
        self.allocated[demand].iter().sum()
    }

    /// Allocates up to `work` of a demand to a route, limited by the remaining capacity and the unserved work of the
    /// demand. Returns the allocated work.
    pub(super) fn allocate(&mut self, demand: usize, route: usize, work: f64) -> f64 {
        let uses = &self.model.demands[demand].routes[route].uses;
        let wanted = work.min(self.model.demands[demand].amount - self.served(demand));
        let fits =
            uses.iter().map(|used| self.remaining[used.capacity] / used.per_unit).fold(wanted, f64::min);
        let work = round_down(fits);
        for used in uses {
            self.remaining[used.capacity] -= work * used.per_unit;
        }
        self.allocated[demand][route] += work;
        work
    }

    /// Allocates work of a demand to its routes, the cheapest first.
    pub(super) fn allocate_by_price(&mut self, demand: usize, work: f64) {
        self.allocate_below(demand, work, None);
    }

    /// As [`Allocation::allocate_by_price`], but only to routes that cost less than the work's priority weight.
    pub(super) fn allocate_profitably(&mut self, demand: usize, work: f64) {
        let class = self.model.demands[demand].class;
        self.allocate_below(demand, work, Some(self.model.inputs.priority_weight[class]));
    }

    fn allocate_below(&mut self, demand: usize, work: f64, price_limit: Option<f64>) {
        let routes = &self.model.demands[demand].routes;
        let is_allowed = |&route: &usize| price_limit.is_none_or(|limit| routes[route].price < limit);
        let mut by_price: Vec<usize> = (0..routes.len()).filter(is_allowed).collect();
        by_price.sort_by(|&a, &b| routes[a].price.total_cmp(&routes[b].price).then(a.cmp(&b)));
        let mut unallocated = work;
        for route in by_price {
            unallocated -= self.allocate(demand, route, unallocated);
        }
    }

    /// Converts the allocation into a plan; `inputs_number` is the number of the inputs.
    pub(super) fn into_plan(self, inputs_number: u32) -> Plan {
        let model = self.model;
        let used = self.used_capacities();
        let served = self.served_load();
        let mut work = vec![0.0; model.inputs.targets.len()];
        for (group, &used) in model.groups.iter().zip(&used) {
            group.divide(used).for_each(|part| work[part.target] += part.work);
        }
        Plan {
            number: plan_number(inputs_number, model.lost_zones),
            lost_zones: model.lost_zones.to_vec(),
            admitted: admitted_parts(model.inputs, &served),
            work,
            link_load: used[model.groups.len()..].to_vec(),
            gain: self.gain(),
            keeps_floors: self.keeps_floors(),
            groups: model.groups.clone(),
            flows: self.flows(),
        }
    }

    /// Returns the used capacities. An infinite capacity gives NaN, which counts as 0.
    fn used_capacities(&self) -> Vec<f64> {
        let capacities = self.model.capacities.iter().zip(&self.remaining);
        capacities.map(|(all, remaining)| (all - remaining).max(0.0)).collect()
    }

    /// Returns the served load, by zone and class.
    fn served_load(&self) -> Vec<Vec<f64>> {
        let inputs = self.model.inputs;
        let mut served = vec![vec![0.0; inputs.classes.len()]; inputs.zones];
        for (index, demand) in self.model.demands.iter().enumerate() {
            served[demand.zone][demand.class] += self.served(index);
        }
        served
    }

    fn keeps_floors(&self) -> bool {
        let floor = self.model.inputs.settings.floor;
        self.model.demands.iter().enumerate().all(|(index, demand)| {
            let least = demand.amount * floor * FULLY_SERVED - GRID;
            self.served(index) >= least
        })
    }

    fn gain(&self) -> f64 {
        let mut gain = 0.0;
        for (demand, allocated) in self.model.demands.iter().zip(&self.allocated) {
            let weight = self.model.inputs.priority_weight[demand.class];
            for (route, &work) in demand.routes.iter().zip(allocated).filter(|(_, &work)| work > 0.0) {
                gain += work * (weight - route.price);
            }
        }
        gain
    }

    fn flows(&self) -> Vec<Vec<Vec<Flow>>> {
        let inputs = self.model.inputs;
        let mut flows = vec![vec![Vec::new(); inputs.classes.len()]; inputs.zones];
        for (demand, allocated) in self.model.demands.iter().zip(&self.allocated) {
            for (route, &work) in demand.routes.iter().zip(allocated).filter(|(_, &work)| work > 0.0) {
                let source_work = work * route.source_work_per_unit;
                let flow = Flow { cache: route.cache, source: route.source, work, source_work };
                flows[demand.zone][demand.class].push(flow);
            }
        }
        flows
    }
}

/// Returns the fraction of the load that is served, by zone and class.
fn admitted_parts(inputs: &Inputs, served: &[Vec<f64>]) -> Vec<Vec<f64>> {
    let part = |(&load, &served): (&f64, &f64)| {
        let part: f64 = if load < GRID { 1.0 } else { served / load };
        part.min(1.0)
    };
    let zones = inputs.load.iter().zip(served);
    zones.map(|(load, served)| load.iter().zip(served).map(part).collect()).collect()
}

fn plan_number(inputs_number: u32, lost_zones: &[usize]) -> u32 {
    let mut bytes = inputs_number.to_le_bytes().to_vec();
    for &zone in lost_zones {
        bytes.extend_from_slice(&(zone as u64).to_le_bytes());
    }
    nonzero_hash(&bytes)
}
