//! Plans for lost sites, the constraints derived from them, the order of rejection, and the estimated inputs of plans.

use crate::digest::{expect, Digest};
use larchdale::failover::load_shift::constraints::ConstraintQuery;
use larchdale::failover::load_shift::estimate::estimate_inputs;
use larchdale::failover::load_shift::rejection_order::{
    admission_order, priority_per_unit, rejection_order, RejectionStep, Scarce,
};
use larchdale::failover::load_shift::{Inputs, Plan, Plans, Target, TargetWork};
use larchdale::failover::{Settings, Zone};
use larchdale::routing::constraints::Constraints;
use larchdale::routing::events::{
    self, Class, DeduplicationScope, Endpoint, EndpointState, Idempotency, Role,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const FLEETS: usize = 12;

fn class(uncacheable: bool, idempotency_of_class: Idempotency) -> Class {
    let (fresh, grace) = if uncacheable { (0, 0) } else { (30_000_000, 30_000_000) };
    Class {
        fresh_for: fresh,
        grace,
        uncacheable,
        latency_objective: 1,
        latency_objective_stretch: 1.0,
        idempotency: idempotency_of_class,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0,
    }
}

fn classes() -> Vec<Class> {
    vec![
        class(false, Idempotency::Idempotent),
        class(false, Idempotency::Idempotent),
        class(true, Idempotency::Idempotent),
        class(true, Idempotency::NotIdempotent),
    ]
}

fn random_values(rng: &mut Pcg32, count: usize, max: f64) -> Vec<f64> {
    let mut value = |_| if rng.random_ratio(1, 4) { 0.0 } else { rng.random_range(0.0..max) };
    (0..count).map(&mut value).collect()
}

fn random_inputs(rng: &mut Pcg32) -> Inputs {
    let zones = rng.random_range(1..5);
    let mut target = |server: String, role| Target {
        server: server.into(),
        role,
        zone: rng.random_range(0..zones),
        capacity: rng.random_range(1.0..60.0),
        price: f64::from(rng.random_range(0..3u8)),
    };
    let mut targets: Vec<Target> = (0..8).map(|n| target(format!("s{n}"), Role::Cache)).collect();
    targets.push(target("p1".to_owned(), Role::Parent));
    targets.push(target("p0".to_owned(), Role::Parent));
    targets.push(target("origin".to_owned(), Role::Origin));
    Inputs {
        zones,
        targets,
        link_capacity: random_values(rng, zones, 50.0),
        load: (0..zones).map(|_| random_values(rng, 4, 40.0)).collect(),
        miss_ratio: random_values(rng, 4, 1.0),
        parent_miss_ratio: random_values(rng, 4, 1.0),
        priority_weight: random_values(rng, 4, 10.0),
        classes: classes(),
        settings: Settings {
            floor: rng.random_range(0.0..0.3),
            cross_zone_caches: rng.random_bool(0.5),
            ..Settings::default()
        },
        may_bypass_caches: rng.random_bool(0.7),
    }
}

fn write_plan(digest: &mut Digest, plan: &Plan) {
    digest.number(u64::from(plan.number));
    plan.lost_zones.iter().for_each(|&zone| digest.count(zone));
    for (zone, admitted) in plan.admitted.iter().enumerate() {
        digest.floats(admitted);
        digest.flag(plan.rejects_in(zone));
        for class in 0..admitted.len() {
            digest.float(plan.source_work(zone, class));
            for TargetWork { target, work } in plan.work_by_target(zone, class) {
                digest.count(target);
                digest.float(work);
            }
        }
    }
    digest.floats(&plan.work);
    digest.floats(&plan.link_load);
    digest.float(plan.gain);
    digest.flag(plan.keeps_floors);
}

fn write_constraints(digest: &mut Digest, constraints: &Constraints) {
    digest.number(constraints.window);
    for limit in &constraints.rate_limits {
        digest.text(&limit.endpoint);
        digest.float(limit.rate);
    }
    constraints.fill_rates.iter().for_each(|&fill| digest.option(fill, Digest::float));
    digest.flag(constraints.force_stale);
    digest.flag(constraints.bypass_caches);
    digest.number(constraints.retry_after.0);
    digest.number(constraints.retry_after.1);
    constraints.cross_zone_caches.iter().for_each(|id| digest.text(id));
    digest.count(constraints.shards.len());
}

fn write_step(digest: &mut Digest, step: RejectionStep) {
    let (tag, class) = match step {
        RejectionStep::BackgroundRefreshes => (1, 0),
        RejectionStep::AcceptStale { class } => (2, class),
        RejectionStep::Misses { class } => (3, class),
        RejectionStep::Hits { class } => (4, class),
        RejectionStep::OriginOnly { class } => (5, class),
        RejectionStep::NotIdempotent { class } => (6, class),
    };
    digest.tag(tag);
    digest.count(class);
}

fn write_order(digest: &mut Digest, inputs: &Inputs) {
    for scarce in [Scarce::Cache, Scarce::Link, Scarce::Parent, Scarce::Origin] {
        rejection_order(inputs, scarce).into_iter().for_each(|step| write_step(digest, step));
        admission_order(inputs, scarce).into_iter().for_each(|class| digest.count(class));
        (0..inputs.classes.len()).for_each(|class| digest.float(priority_per_unit(inputs, class, scarce)));
    }
}

fn run(seed: u64) -> u64 {
    let (mut rng, mut digest, mut rejecting) = (Pcg32::seed_from_u64(seed), Digest::new(), 0);
    for _ in 0..FLEETS {
        let inputs = random_inputs(&mut rng);
        write_order(&mut digest, &inputs);
        let plans = Plans::make(&inputs).unwrap();
        digest.number(u64::from(plans.number()));
        for lost in 0..1u32 << inputs.zones {
            let lost: Vec<Zone> = (0..inputs.zones).filter(|zone| lost >> zone & 1 == 1).collect();
            let plan = plans.for_lost(&lost);
            rejecting += usize::from(plan.rejects());
            write_plan(&mut digest, &plan);
        }
        for zone in 0..inputs.zones {
            let factors: Vec<f64> = (0..inputs.zones).map(|_| rng.random_range(0.5..3.0)).collect();
            digest.flag(plans.survives_loss(zone, &factors));
            let factors: Vec<f64> =
                (0..inputs.zones).map(|_| [0.0, 0.4, 1.0, 1.0][rng.random_range(0..4)]).collect();
            let query = ConstraintQuery {
                zone,
                zone_instances: rng.random_range(0..3),
                all_instances: rng.random_range(3..8),
                site_factors: &factors,
                probe_rate: rng.random_range(0.0..2.0),
                window: 1_000_000,
                expected_return: rng.random_range(0..9_000_000),
                learning_share: rng.random_bool(0.3).then_some(0.1),
            };
            write_constraints(&mut digest, &plans.constraints(&query));
        }
    }
    assert!(rejecting > 10, "too few plans that reject requests: {rejecting}");
    digest.finish()
}

/// Returns the digest of the inputs of plans estimated from settings and endpoint lists.
fn estimated_inputs(seed: u64) -> u64 {
    let (mut rng, mut digest) = (Pcg32::seed_from_u64(seed), Digest::new());
    for _ in 0..100 {
        let zones = rng.random_range(1..5);
        let endpoint = |rng: &mut Pcg32, number: usize| Endpoint {
            id: format!("s{number}").into(),
            role: [Role::Cache, Role::Cache, Role::Parent, Role::Origin][rng.random_range(0..4)],
            state: [
                EndpointState::Healthy,
                EndpointState::Healthy,
                EndpointState::Draining,
                EndpointState::Removed,
            ][rng.random_range(0..4)],
            zone: rng.random_range(0..zones),
            weight: [0.0, 1.0, 2.5][rng.random_range(0..3)],
            ..Endpoint::default()
        };
        let servers: Vec<Endpoint> = (0..9).map(|number| endpoint(&mut rng, number)).collect();
        let settings = events::Settings {
            transfer_rate_kb_s: rng.random_range(0.0..900.0),
            zone_link_kb_s: random_values(&mut rng, zones, 1e5),
            classes: classes(),
            weights_are_sizes: rng.random_bool(0.5),
            routers_by_zone: vec![1; zones],
            ..Default::default()
        };
        let priority_weight = random_values(&mut rng, 3, 5.0);
        let inputs = estimate_inputs(&settings, &priority_weight, &servers, &Settings::default());
        digest.count(inputs.zones);
        for target in &inputs.targets {
            digest.text(&target.server);
            digest.count(target.zone);
            digest.float(target.capacity);
            digest.float(target.price);
        }
        inputs.load.iter().for_each(|load| digest.floats(load));
        [&inputs.link_capacity, &inputs.miss_ratio, &inputs.parent_miss_ratio, &inputs.priority_weight]
            .into_iter()
            .for_each(|values| digest.floats(values));
        digest.flag(inputs.may_bypass_caches);
    }
    digest.finish()
}

#[test]
fn plans_and_constraints_are_as_recorded() {
    expect("plans for lost sites", run, &[0x9c874a96f3017c98, 0x022994c486d8b09c, 0xd8992e820b337583]);
}

#[test]
fn estimated_inputs_of_plans_are_as_recorded() {
    expect("estimated inputs of plans", estimated_inputs, &[0xf4d97d71795fbd9c]);
}
