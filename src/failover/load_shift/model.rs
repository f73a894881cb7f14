//! The optimization model of a plan: demands, the routes that each can take, and the capacity that the routes use.

use super::grid::{round_down, GRID};
use super::inputs::Inputs;
use super::plan::{Group, GroupMember};
use super::rejection_order::{admission_order, Scarce};
use crate::failover::Zone;
use crate::routing::events::{Idempotency, Role};

/// Fraction of each limit that plans may use, so that rounding errors in sums never exceed the limit.
const USABLE_FRACTION: f64 = 1.0 - 1e-9;
/// Minimum use of the origin's capacity by one unit of a parent's work that needs the origin at all; keeps the linear
/// program well scaled.
const MIN_ORIGIN_USE: f64 = 1e-4;
/// Maximum number of capacities that one route uses: cache, link, source, link of the cache, origin.
const MAX_USES: usize = 5;

/// A part of a zone's load of one class whose units can all take the same routes.
pub(super) struct Demand {
    pub zone: Zone,
    pub class: usize,
    pub amount: f64,
    /// See [`Inputs::runs_at_origin`].
    pub at_origin: bool,
    pub routes: Vec<Route>,
}

/// Capacity that one unit of work uses on a route.
pub(super) struct Use {
    /// Index in [`Model::capacities`].
    pub capacity: usize,
    pub per_unit: f64,
}

/// One route that a demand can take.
pub(super) struct Route {
    pub cache: Option<usize>,
    pub source: Option<usize>,
    /// Work that the source does for one unit of work on the route.
    pub source_work_per_unit: f64,
    pub price: f64,
    pub uses: Vec<Use>,
}

/// The model for one set of lost zones.
pub(super) struct Model<'a> {
    pub inputs: &'a Inputs,
    pub lost_zones: &'a [Zone],
    pub groups: Vec<Group>,
    /// Capacity of each group, then of each zone's link; infinite if there is no limit.
    pub capacities: Vec<f64>,
    /// Demands in order of admission, the one rejected last first.
    pub demands: Vec<Demand>,
}

impl<'a> Model<'a> {
    pub(super) fn new(inputs: &'a Inputs, lost_zones: &'a [Zone]) -> Model<'a> {
        let groups = group_targets(inputs, lost_zones);
        let planned_capacity = |group: &Group| group.capacity * inputs.settings.headroom * USABLE_FRACTION;
        let usable_link =
            |&capacity: &f64| if capacity > 0.0 { capacity * USABLE_FRACTION } else { f64::INFINITY };
        let links = inputs.link_capacity.iter().map(usable_link);
        let capacities = groups.iter().map(planned_capacity).chain(links).collect();
        let mut model = Model { inputs, lost_zones, groups, capacities, demands: Vec::new() };
        let has_parents = model.groups_of(Role::Parent).next().is_some();
        let scarce = if has_parents { Scarce::Parent } else { Scarce::Origin };
        for class in admission_order(inputs, scarce) {
            for zone in 0..inputs.zones {
                model.add_demands(zone, class);
            }
        }
        model
    }

    /// Returns whether a demand's requests are not idempotent.
    pub(super) fn is_not_idempotent(&self, demand: &Demand) -> bool {
        self.inputs.classes[demand.class].idempotency == Idempotency::NotIdempotent
    }

    fn groups_of(&self, role: Role) -> impl Iterator<Item = usize> + '_ {
        (0..self.groups.len()).filter(move |&group| self.groups[group].role == role)
    }

    /// Adds a zone's load of a class: as separate demands for hits and misses if caches can serve the class and the zone
    /// has caches that are not lost, otherwise as one demand.
    fn add_demands(&mut self, zone: Zone, class: usize) {
        let load = self.inputs.load[zone][class];
        if load < GRID {
            return;
        }
        let own_caches: Vec<usize> =
            self.groups_of(Role::Cache).filter(|&group| self.groups[group].zone == zone).collect();
        if self.inputs.runs_at_origin(class) {
            let routes = self.routes_to_origin(zone, class);
            self.add_demand(zone, class, load, routes);
        } else if own_caches.is_empty() {
            let routes = self.routes_without_caches(zone, class);
            self.add_demand(zone, class, load, routes);
        } else {
            let miss_ratio = self.inputs.miss_ratio[class];
            let hits = own_caches.iter().map(|&cache| self.route(zone, class, Some(cache), None, 0.0));
            let hits = hits.collect();
            let misses = self.routes_of_misses(zone, class, &own_caches);
            self.add_demand(zone, class, load * (1.0 - miss_ratio), hits);
            self.add_demand(zone, class, load * miss_ratio, misses);
        }
    }

    fn add_demand(&mut self, zone: Zone, class: usize, amount: f64, routes: Vec<Route>) {
        if amount >= GRID {
            let at_origin = self.inputs.runs_at_origin(class);
            self.demands.push(Demand { zone, class, amount, at_origin, routes });
        }
    }

    /// Returns the groups that caches can fill from: parents, then the origin.
    fn sources(&self) -> Vec<usize> {
        self.groups_of(Role::Parent).chain(self.groups_of(Role::Origin)).collect()
    }

    fn routes_to_origin(&self, zone: Zone, class: usize) -> Vec<Route> {
        let origin = self.groups_of(Role::Origin);
        origin.map(|origin| self.route(zone, class, None, Some(origin), 1.0)).collect()
    }

    fn routes_of_misses(&self, zone: Zone, class: usize, caches: &[usize]) -> Vec<Route> {
        let sources = self.sources();
        let pairs = caches.iter().flat_map(|&cache| sources.iter().map(move |&source| (cache, source)));
        pairs.map(|(cache, source)| self.route(zone, class, Some(cache), Some(source), 1.0)).collect()
    }

    /// Returns the routes directly to the sources and through the caches of other zones, as far as the settings allow
    /// them.
    fn routes_without_caches(&self, zone: Zone, class: usize) -> Vec<Route> {
        let sources = self.sources();
        let mut routes = Vec::new();
        if self.inputs.may_bypass_caches {
            let direct = sources.iter().map(|&source| self.route(zone, class, None, Some(source), 1.0));
            routes.extend(direct);
        }
        if self.inputs.settings.cross_zone_caches {
            let miss_ratio = self.inputs.miss_ratio[class];
            for cache in self.groups_of(Role::Cache) {
                if miss_ratio > 0.0 {
                    let route = |&source| self.route(zone, class, Some(cache), Some(source), miss_ratio);
                    routes.extend(sources.iter().map(route));
                } else {
                    routes.push(self.route(zone, class, Some(cache), None, 0.0));
                }
            }
        }
        routes
    }

    fn route(
        &self,
        zone: Zone,
        class: usize,
        cache: Option<usize>,
        source: Option<usize>,
        source_work_per_unit: f64,
    ) -> Route {
        let mut price = 0.0;
        let mut uses = Vec::with_capacity(MAX_USES);
        let link_of = |zone: Zone| self.groups.len() + zone;
        let cache_group = cache.map(|cache| &self.groups[cache]);
        if let (Some(cache), Some(group)) = (cache, cache_group) {
            add_use(&mut uses, cache, 1.0);
            price += group.price;
        }
        if cache_group.map(|group| group.zone) != Some(zone) {
            add_use(&mut uses, link_of(zone), 1.0);
        }
        if let Some(source) = source {
            let group = &self.groups[source];
            add_use(&mut uses, source, source_work_per_unit);
            price += group.price * source_work_per_unit;
            if let Some(cache_group) = cache_group {
                add_use(&mut uses, link_of(cache_group.zone), source_work_per_unit);
            }
            let from_origin = self.inputs.parent_miss_ratio[class] * source_work_per_unit;
            if group.role == Role::Parent && from_origin > 0.0 {
                if let Some(origin) = self.groups_of(Role::Origin).next() {
                    add_use(&mut uses, origin, from_origin.max(MIN_ORIGIN_USE));
                }
            }
        }
        uses.retain(|used: &Use| self.capacities[used.capacity].is_finite() && used.per_unit > 0.0);
        Route { cache, source, source_work_per_unit, price, uses }
    }
}

fn add_use(uses: &mut Vec<Use>, capacity: usize, per_unit: f64) {
    match uses.iter_mut().find(|used| used.capacity == capacity) {
        Some(used) => used.per_unit += per_unit,
        None => uses.push(Use { capacity, per_unit }),
    }
}

fn group_targets(inputs: &Inputs, lost_zones: &[Zone]) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for (place, target) in inputs.targets.iter().enumerate() {
        let is_origin = target.role == Role::Origin;
        if round_down(target.capacity) <= 0.0 || (!is_origin && lost_zones.contains(&target.zone)) {
            continue;
        }
        let belongs_to = |group: &Group| {
            group.role == target.role
                && (is_origin || group.price == target.price)
                && (target.role != Role::Cache || group.zone == target.zone)
        };
        let member = GroupMember { target: place, capacity: target.capacity };
        match groups.iter_mut().find(|group| belongs_to(group)) {
            Some(group) => {
                group.capacity += target.capacity;
                group.price = group.price.max(target.price);
                group.members.push(member);
            }
            None => groups.push(Group {
                role: target.role,
                zone: target.zone,
                price: target.price,
                capacity: target.capacity,
                members: vec![member],
            }),
        }
    }
    groups
}
