//! The routing constraints that one instance derives from the plans.
//!
//! Each instance takes an equal share based on the maximum number of instances that may exist. So the sum of all their
//! limits is within the capacity of a target, whichever datagrams are lost and whichever instances are alive. While a
//! site recovers with factor f, its load is routed by the plan for its loss for a fraction 1 - f, and by the plan
//! without a loss for f: both plans respect all limits, and so does every mixture of the two.

use super::plan::{Plan, FULLY_SERVED};
use super::{Plans, Target};
use crate::failover::Zone;
use crate::routing::constraints::{Constraints, RateLimit};
use crate::routing::events::{Id, Micros, Role};
use std::sync::Arc;

/// Parameters of the constraints of one instance.
#[derive(Clone, Debug)]
pub struct ConstraintQuery<'a> {
    /// Zone of the instance.
    pub zone: Zone,
    /// Maximum number of instances of this zone; 0 counts as 1.
    pub zone_instances: u32,
    /// Maximum number of instances of all zones: at least the sum of `zone_instances` over all zones.
    pub all_instances: u32,
    /// Fraction of its capacity that each zone may be sent: 0 if unreachable, 1 if serving, between them if recovering.
    /// Absent entries count as 1.
    pub site_factors: &'a [f64],
    /// Rate at which all instances together probe one server of a lost site, in transfers at full rate.
    pub probe_rate: f64,
    /// Time window over which limits apply, in microseconds.
    pub window: Micros,
    /// Time until the site is expected to be back, in microseconds; 0 if unknown.
    pub expected_return: Micros,
    /// Maximum fraction of their capacity that the caches of this zone get while the instance has just started and a
    /// peer may still report a recovering site; `None` afterwards.
    pub learning_share: Option<f64>,
}

impl ConstraintQuery<'_> {
    fn factor(&self, zone: Zone) -> f64 {
        let factor = self.site_factors.get(zone).copied().unwrap_or(1.0);
        if factor.is_finite() {
            factor.clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// Returns whether a target is at a site that is lost or recovering. The origin is not lost with its zone.
    fn is_lost(&self, target: &Target) -> bool {
        target.role != Role::Origin && self.factor(target.zone) < 1.0
    }

    fn zone_instances(&self) -> f64 {
        f64::from(self.zone_instances.max(1))
    }

    fn all_instances(&self) -> f64 {
        f64::from(self.all_instances.max(self.zone_instances).max(1))
    }
}

/// A plan and its weight in a mixture.
struct WeightedPlan {
    weight: f64,
    plan: Arc<Plan>,
}

/// A mixture of plans, and its work by target.
struct MixedPlan {
    plans: Vec<WeightedPlan>,
    /// Work that the zone of the query sends.
    own_zone_work: Vec<f64>,
    /// Work that all zones send.
    total_work: Vec<f64>,
}

impl MixedPlan {
    fn new(plans: &Plans, query: &ConstraintQuery) -> MixedPlan {
        let mixed = weighted_plans(plans, query);
        let targets = plans.targets().len();
        let mut own_zone_work = vec![0.0; targets];
        let mut total_work = vec![0.0; targets];
        for WeightedPlan { weight, plan } in &mixed {
            total_work.iter_mut().zip(&plan.work).for_each(|(sum, work)| *sum += weight * work);
            for class in 0..plans.inputs.classes.len() {
                let sent = plan.work_by_target(query.zone, class);
                sent.into_iter().for_each(|part| own_zone_work[part.target] += weight * part.work);
            }
        }
        MixedPlan { plans: mixed, own_zone_work, total_work }
    }

    fn sum(&self, value: impl Fn(&Plan) -> f64) -> f64 {
        self.plans.iter().map(|part| part.weight * value(&part.plan)).sum()
    }

    fn any(&self, test: impl Fn(&Plan) -> bool) -> bool {
        self.plans.iter().any(|part| test(&part.plan))
    }
}

/// Returns the plans of the mixture. A zone counts as lost for the fraction above its factor, so each interval between
/// two neighboring factors has one set of lost zones, whose plan is weighted with the length of the interval.
fn weighted_plans(plans: &Plans, query: &ConstraintQuery) -> Vec<WeightedPlan> {
    let factors: Vec<f64> = (0..plans.inputs.zones).map(|zone| query.factor(zone)).collect();
    let mut levels: Vec<f64> = factors.iter().copied().chain([0.0, 1.0]).collect();
    levels.sort_by(f64::total_cmp);
    levels.dedup();
    let lost_above =
        |level: f64| -> Vec<Zone> { (0..factors.len()).filter(|&zone| factors[zone] <= level).collect() };
    let between = |levels: &[f64]| WeightedPlan {
        weight: levels[1] - levels[0],
        plan: plans.for_lost(&lost_above(levels[0])),
    };
    levels.windows(2).map(between).collect()
}

/// Fractions of the spare capacity of parents and of the origin that instances may use.
///
/// Parents fetch a fraction of the work that they get beyond the plan from the origin. This much of the origin's spare
/// capacity, at most half of it, is reserved for parents, and their own fraction is limited to what the reserve can
/// serve.
struct SpareFractions {
    parents: f64,
    origin: f64,
}

impl SpareFractions {
    fn new(from_origin: f64, spare_of_origin: f64) -> Self {
        let reserved = from_origin.min(spare_of_origin / 2.0);
        SpareFractions {
            parents: if from_origin > 0.0 { reserved / from_origin } else { 1.0 },
            origin: if spare_of_origin > 0.0 { 1.0 - reserved / spare_of_origin } else { 0.0 },
        }
    }
}

impl Plans {
    /// Returns the constraints of an instance while some zones are lost or recovering. Without such a zone the result
    /// has at most the limits for an instance that has just started.
    pub fn constraints(&self, query: &ConstraintQuery) -> Constraints {
        if (0..self.inputs.zones).all(|zone| query.factor(zone) >= 1.0) {
            let rate_limits = self.learning_limits(query, &[]);
            let window = if rate_limits.is_empty() { 0 } else { query.window };
            return Constraints { window, rate_limits, ..Constraints::default() };
        }
        let mixed = MixedPlan::new(self, query);
        let mut rate_limits = self.rate_limits(query, &mixed);
        rate_limits.extend(self.learning_limits(query, &rate_limits));
        let min_delay = query.expected_return / 4;
        let retry_delay = (min_delay, query.expected_return - min_delay);
        let is_own_zone_lost = query.factor(query.zone) < 1.0;
        Constraints {
            window: query.window,
            rate_limits,
            fill_rates: (0..self.inputs.classes.len())
                .map(|class| self.fill_limit(query, &mixed, class))
                .collect(),
            bypass_caches: is_own_zone_lost,
            force_stale: mixed.any(Plan::rejects) || is_own_zone_lost,
            retry_after: if mixed.any(|plan| plan.rejects_in(query.zone)) { retry_delay } else { (0, 0) },
            cross_zone_caches: self.cross_zone_caches(query, &mixed),
            ..Constraints::default()
        }
    }

    /// Returns the maximum fill rate of a class for this instance; `None` if it is not limited.
    fn fill_limit(&self, query: &ConstraintQuery, mixed: &MixedPlan, class: usize) -> Option<f64> {
        let rejects =
            |plan: &Plan| plan.admitted.get(query.zone).is_some_and(|zone| zone[class] < FULLY_SERVED);
        if !mixed.any(rejects) || self.inputs.runs_at_origin(class) {
            return None;
        }
        Some(mixed.sum(|plan| plan.source_work(query.zone, class)) / query.zone_instances())
    }

    fn cross_zone_caches(&self, query: &ConstraintQuery, mixed: &MixedPlan) -> Vec<Id> {
        let targets = self.targets().iter().zip(&mixed.own_zone_work);
        let used = targets
            .filter(|(target, &work)| target.role == Role::Cache && target.zone != query.zone && work > 0.0);
        used.map(|(target, _)| target.server.clone()).collect()
    }

    /// Returns limits for the caches without one while this instance has just started. After most instances have
    /// restarted, none may send a site more than its recovery step allows, which a new instance knows only after the
    /// reports of its peers.
    fn learning_limits(&self, query: &ConstraintQuery, limits: &[RateLimit]) -> Vec<RateLimit> {
        let Some(share) = query.learning_share else { return Vec::new() };
        let is_own = |target: &&Target| target.role == Role::Cache && target.zone == query.zone;
        let is_unlimited = |target: &&Target| !limits.iter().any(|limit| limit.endpoint == target.server);
        let limit = |target: &Target| {
            let rate = share * target.capacity / query.zone_instances();
            RateLimit { endpoint: target.server.clone(), rate }
        };
        self.targets().iter().filter(is_own).filter(is_unlimited).map(limit).collect()
    }

    fn rate_limits(&self, query: &ConstraintQuery, mixed: &MixedPlan) -> Vec<RateLimit> {
        let fractions = self.spare_fractions(query, mixed);
        let mut limits = Vec::new();
        for (index, target) in self.targets().iter().enumerate() {
            let rate = if query.is_lost(target) {
                self.lost_target_rate(query, target)
            } else {
                self.serving_target_rate(query, mixed, &fractions, index)
            };
            limits.extend(rate.map(|rate| RateLimit { endpoint: target.server.clone(), rate }));
        }
        limits
    }

    /// Returns the capacity of a target that the plans do not use.
    fn spare_capacity(&self, mixed: &MixedPlan, target: usize) -> f64 {
        (self.targets()[target].capacity * self.inputs.settings.headroom - mixed.total_work[target]).max(0.0)
    }

    fn spare_fractions(&self, query: &ConstraintQuery, mixed: &MixedPlan) -> SpareFractions {
        let targets = self.targets();
        let spare_of = |role: Role| -> f64 {
            let serving = (0..targets.len())
                .filter(|&index| targets[index].role == role && !query.is_lost(&targets[index]));
            serving.map(|index| self.spare_capacity(mixed, index)).sum::<f64>()
        };
        let miss_ratio = self.inputs.parent_miss_ratio.iter().copied().fold(0.0, f64::max);
        SpareFractions::new(miss_ratio * spare_of(Role::Parent), spare_of(Role::Origin))
    }

    /// Returns this instance's rate for a target at a lost or recovering site: the share of the site's recovery, at
    /// least the probe rate.
    fn lost_target_rate(&self, query: &ConstraintQuery, target: &Target) -> Option<f64> {
        let sent_by_all = target.role == Role::Parent || self.inputs.settings.cross_zone_caches;
        if !sent_by_all && target.zone != query.zone {
            return None;
        }
        let senders = if sent_by_all { query.all_instances() } else { query.zone_instances() };
        let recovered = query.factor(target.zone) * target.capacity;
        Some(recovered.max(query.probe_rate).min(target.capacity) / senders)
    }

    fn serving_target_rate(
        &self,
        query: &ConstraintQuery,
        mixed: &MixedPlan,
        fractions: &SpareFractions,
        index: usize,
    ) -> Option<f64> {
        let target = &self.targets()[index];
        let own_work = mixed.own_zone_work[index];
        let spare = self.spare_capacity(mixed, index);
        let is_own_zone = target.zone == query.zone;
        match target.role {
            Role::Parent => {
                Some(own_work / query.zone_instances() + spare * fractions.parents / query.all_instances())
            }
            Role::Origin => {
                Some(own_work / query.zone_instances() + spare * fractions.origin / query.all_instances())
            }
            // The spare capacity of a cache is left to its own zone, whose forecast may be too low.
            Role::Cache if is_own_zone && mixed.total_work[index] > own_work => {
                Some((own_work + spare) / query.zone_instances())
            }
            Role::Cache if !is_own_zone && own_work > 0.0 => Some(own_work / query.zone_instances()),
            Role::Cache => None,
        }
    }
}
