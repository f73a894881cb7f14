//! The plan with the largest gain, computed by a linear program.

use super::allocation::Allocation;
use super::greedy::allocate_greedily;
use super::model::{Demand, Model, Route};
use good_lp::{
    constraint, variable, Expression, ProblemVariables, ResolutionError, Solution, SolverModel, Variable,
};

/// Extra gain for serving a unit of work that only the origin can do, as a multiple of the largest priority weight;
/// used if not all of this work can be served.
const AT_ORIGIN_WEIGHT: f64 = 100.0;
/// Extra gain for serving a unit that is not idempotent, in the same unit.
const NOT_IDEMPOTENT_WEIGHT: f64 = AT_ORIGIN_WEIGHT * 2.0;
/// Extra cost of the last route, as a multiple of the largest priority weight; the extra cost grows with the position
/// of a route, so that the first of equal routes is chosen.
const TIE_BREAK: f64 = 1e-5;
/// Numerical tolerance of the solver, in units of work: without it, rounding down would decrease exact results by one
/// grid unit.
const TOLERANCE: f64 = 1e-6;
/// Binary exponent to which the largest demand is scaled, suitable for the solver's absolute tolerance.
const SCALED_EXPONENT: f64 = 10.0;

/// Whether the linear program has to serve all work that only the origin can do.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OriginDemands {
    FullyServed,
    AsMuchAsPossible,
}

/// Computes the plan with the largest gain that keeps every floor and serves all work that only the origin can do. If
/// there is none, computes the plan that serves as much as possible of that work. If the capacity is not enough for the
/// floors, [`allocate_greedily`] divides it.
pub(super) fn solve<'a, 'b>(model: &'b Model<'a>) -> Allocation<'a, 'b> {
    let works = solve_program(model, OriginDemands::FullyServed)
        .or_else(|_| solve_program(model, OriginDemands::AsMuchAsPossible));
    let Ok(works) = works else { return allocate_greedily(model) };
    let mut allocation = Allocation::new(model);
    // The solver respects its constraints only within a tolerance; the allocation respects them exactly.
    for (demand, works) in works.iter().enumerate() {
        for (route, &work) in works.iter().enumerate().filter(|(_, &work)| work > TOLERANCE) {
            allocation.allocate(demand, route, work + TOLERANCE);
        }
    }
    allocation
}

/// Returns the work of each demand on each of its routes.
fn solve_program(model: &Model, origin_demands: OriginDemands) -> Result<Vec<Vec<f64>>, ResolutionError> {
    let mut program = Program::new(model, origin_demands);
    let routes: Vec<Vec<Variable>> = model.demands.iter().map(|demand| program.add_demand(demand)).collect();
    let scale = program.scale;
    let solution = program.solve()?;
    let work = |route: &Variable| solution.value(*route) / scale;
    Ok(routes.iter().map(|routes| routes.iter().map(work).collect()).collect())
}

struct Program<'a, 'b> {
    model: &'b Model<'a>,
    origin_demands: OriginDemands,
    /// Scale of work in the program: a power of two, so that scaling causes no rounding.
    scale: f64,
    largest_weight: f64,
    route_count: f64,
    /// Number of routes added so far.
    routes_added: f64,
    variables: ProblemVariables,
    gain: Expression,
    /// Used capacity, in the order of [`Model::capacities`].
    used: Vec<Expression>,
    /// Served work, by demand.
    served: Vec<Expression>,
}

impl<'a, 'b> Program<'a, 'b> {
    fn new(model: &'b Model<'a>, origin_demands: OriginDemands) -> Self {
        let largest = model.demands.iter().map(|demand| demand.amount).fold(1e-9, f64::max);
        let weight = model.inputs.priority_weight.iter().copied().fold(0.0, f64::max);
        Program {
            model,
            origin_demands,
            scale: (SCALED_EXPONENT - largest.log2().ceil()).exp2(),
            largest_weight: if weight > 0.0 { weight } else { 1.0 },
            route_count: model.demands.iter().map(|demand| demand.routes.len()).sum::<usize>() as f64,
            routes_added: 0.0,
            variables: ProblemVariables::new(),
            gain: Expression::default(),
            used: vec![Expression::default(); model.capacities.len()],
            served: Vec::new(),
        }
    }

    /// Adds a variable for the work on each route of a demand.
    fn add_demand(&mut self, demand: &Demand) -> Vec<Variable> {
        let routes: Vec<Variable> =
            demand.routes.iter().map(|_| self.variables.add(variable().min(0.0))).collect();
        for (route, &variable) in demand.routes.iter().zip(&routes) {
            self.routes_added += 1.0;
            self.gain.add_mul(self.gain_per_unit(demand, route), variable);
            for used in &route.uses {
                self.used[used.capacity].add_mul(used.per_unit, variable);
            }
        }
        self.served.push(routes.iter().copied().sum());
        routes
    }

    fn gain_per_unit(&self, demand: &Demand, route: &Route) -> f64 {
        let preferred = demand.at_origin && self.origin_demands == OriginDemands::AsMuchAsPossible;
        let preference = match (preferred, self.model.is_not_idempotent(demand)) {
            (false, _) => 0.0,
            (true, false) => AT_ORIGIN_WEIGHT,
            (true, true) => NOT_IDEMPOTENT_WEIGHT,
        };
        let weight = self.model.inputs.priority_weight[demand.class];
        let net = (weight - route.price) / self.largest_weight;
        net + preference - TIE_BREAK * self.routes_added / self.route_count
    }

    fn solve(self) -> Result<impl Solution, ResolutionError> {
        let scale = self.scale;
        let mut problem = self.variables.maximise(self.gain).using(good_lp::microlp);
        for (used, &capacity) in self.used.into_iter().zip(&self.model.capacities) {
            if capacity.is_finite() {
                problem.add_constraint(constraint!(used <= capacity * scale));
            }
        }
        for (served, demand) in self.served.into_iter().zip(&self.model.demands) {
            let must_be_full = demand.at_origin && self.origin_demands == OriginDemands::FullyServed;
            let least = if must_be_full { 1.0 } else { self.model.inputs.settings.floor };
            // A demand without a usable route gets no floor: the program would become infeasible for all demands.
            if least > 0.0 && has_capacity(self.model, demand) {
                problem.add_constraint(constraint!(served.clone() >= demand.amount * scale * least));
            }
            problem.add_constraint(constraint!(served <= demand.amount * scale));
        }
        problem.solve()
    }
}

fn has_capacity(model: &Model, demand: &Demand) -> bool {
    let is_open = |route: &Route| route.uses.iter().all(|used| model.capacities[used.capacity] > 0.0);
    demand.routes.iter().any(is_open)
}
