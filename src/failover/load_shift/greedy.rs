//! Plans without a solver: demands are served greedily in the order of admission.

use super::allocation::Allocation;
use super::model::Model;

/// Number of rounds in which the demands of a class are served, so that zones share scarce capacity.
const ROUNDS: usize = 16;

/// Allocates the available capacity: first the floors, then the remaining work in the order of admission, each demand
/// by its cheapest route. May serve less than the linear program where routes share capacities; respects the same
/// limits.
pub(super) fn allocate_greedily<'a, 'b>(model: &'b Model<'a>) -> Allocation<'a, 'b> {
    let mut allocation = Allocation::new(model);
    fill_floors(&mut allocation);
    // Demands of one class are adjacent, because demands are in the order of admission.
    let demands: Vec<usize> = (0..model.demands.len()).collect();
    for class in demands.chunk_by(|&a, &b| model.demands[a].class == model.demands[b].class) {
        for round in 1..=ROUNDS {
            for &index in class {
                let demand = &model.demands[index];
                let work = demand.amount * round as f64 / ROUNDS as f64 - allocation.served(index);
                if demand.at_origin {
                    allocation.allocate_by_price(index, work);
                } else {
                    allocation.allocate_profitably(index, work);
                }
            }
        }
    }
    allocation
}

fn fill_floors(allocation: &mut Allocation) {
    let model = allocation.model;
    for round in 1..=ROUNDS {
        let floor = model.inputs.settings.floor * round as f64 / ROUNDS as f64;
        for (index, demand) in model.demands.iter().enumerate() {
            let work = demand.amount * floor - allocation.served(index);
            allocation.allocate_by_price(index, work);
        }
    }
}
