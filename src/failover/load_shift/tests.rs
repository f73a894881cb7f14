use super::constraints::ConstraintQuery;
use super::greedy::allocate_greedily;
use super::model::Model;
use super::plan::FULLY_SERVED;
use super::solver::solve;
use super::*;
use crate::failover::{Settings, Zone};
use crate::routing::constraints::Constraints;
use crate::routing::events::{Class, DeduplicationScope, Idempotency, Role};
use proptest::prelude::*;

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

fn target(server: &str, role: Role, zone: Zone, capacity: f64) -> Target {
    Target { server: server.into(), role, zone, capacity, price: 0.0 }
}

/// Two zones with a cache of capacity 100 each, and a third with a parent of 50 and the origin of 10.
fn small_inputs() -> Inputs {
    let targets = vec![
        target("a", Role::Cache, 0, 100.0),
        target("b", Role::Cache, 1, 100.0),
        target("p", Role::Parent, 2, 50.0),
        target("o", Role::Origin, 2, 10.0),
    ];
    Inputs {
        zones: 3,
        targets,
        link_capacity: vec![],
        load: vec![vec![60.0, 20.0, 1.0, 1.0], vec![30.0, 10.0, 1.0, 1.0]],
        miss_ratio: vec![0.1, 0.1, 0.0, 0.0],
        parent_miss_ratio: vec![],
        priority_weight: vec![1.0, 2.0, 1.0, 3.0],
        classes: classes(),
        settings: Settings::default(),
        may_bypass_caches: true,
    }
}

prop_compose! {
    fn any_inputs()(zones in 1usize..6)(
        zones in Just(zones),
        servers in prop::collection::vec((0u8..8, 0..zones, 0.0f64..60.0, 0u8..3), 1..14),
        origin in prop_oneof![Just(0.0), 0.5f64..80.0],
        link_capacity in prop::collection::vec(prop_oneof![Just(0.0), 0.5f64..50.0], 0..=zones),
        load in prop::collection::vec(prop::collection::vec(prop_oneof![Just(0.0), 0.0f64..40.0], 4), 0..=zones),
        miss_ratio in prop::collection::vec(prop_oneof![Just(0.0), 0.0f64..=1.0], 4),
        parent_miss_ratio in prop::collection::vec(0.0f64..=1.0, 0..=4),
        priority_weight in prop::collection::vec(0.0f64..10.0, 4),
        floor in prop_oneof![Just(0.0), 0.0f64..0.3],
        (cross_zone_caches, may_bypass_caches) in any::<(bool, bool)>(),
    ) -> Inputs {
        let role = |r| if r < 5 { Role::Cache } else { Role::Parent };
        let server = |(n, (r, zone, capacity, price)): (usize, (u8, Zone, f64, u8))| {
            Target { price: f64::from(price), ..target(&format!("s{n}"), role(r), zone, capacity) }
        };
        let mut targets: Vec<Target> = servers.into_iter().enumerate().map(server).collect();
        targets.push(target("origin", Role::Origin, 0, origin));
        targets.push(target("spare", Role::Parent, zones - 1, 5.0));
        let settings = Settings { floor, cross_zone_caches, ..Settings::default() };
        Inputs {
            zones,
            targets,
            link_capacity,
            load,
            miss_ratio,
            parent_miss_ratio,
            priority_weight,
            classes: classes(),
            settings,
            may_bypass_caches,
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig { cases: 128, ..crate::net::testing::config() }
}

fn solved(inputs: &Inputs, lost: &[Zone]) -> (Plan, Plan) {
    let inputs = inputs.clone().checked().unwrap();
    let model = Model::new(&inputs, lost);
    (solve(&model).into_plan(1), allocate_greedily(&model).into_plan(1))
}

/// Checks from the flows of a plan that the plan respects all limits.
fn check_limits(inputs: &Inputs, plan: &Plan) -> Result<(), TestCaseError> {
    let inputs = &inputs.clone().checked().unwrap();
    let (mut groups, mut links) = (vec![0.0; plan.groups.len()], vec![0.0; inputs.zones]);
    for (zone, class) in (0..inputs.zones).flat_map(|z| (0..4).map(move |c| (z, c))) {
        let mut served = 0.0;
        for flow in &plan.flows[zone][class] {
            let cache = flow.cache.map(|g| &plan.groups[g]);
            let source = flow.source.map(|g| &plan.groups[g]);
            prop_assert!(class < 2 || (cache.is_none() && source.unwrap().role == Role::Origin));
            prop_assert!(inputs.settings.cross_zone_caches || cache.is_none_or(|c| c.zone == zone));
            prop_assert!(inputs.may_bypass_caches || class > 1 || cache.is_some());
            flow.cache.iter().for_each(|&g| groups[g] += flow.work);
            flow.source.iter().for_each(|&g| groups[g] += flow.source_work);
            links[cache.map_or(zone, |c| c.zone)] += flow.source_work;
            if cache.is_some_and(|c| c.zone != zone) {
                links[zone] += flow.work;
            }
            if source.is_some_and(|s| s.role == Role::Parent) {
                let origin = plan.groups.iter().position(|g| g.role == Role::Origin);
                origin.iter().for_each(|&o| groups[o] += flow.source_work * inputs.parent_miss_ratio[class]);
            }
            served += flow.work;
        }
        prop_assert!(served <= inputs.load[zone][class]);
    }
    for (group, used) in plan.groups.iter().zip(groups) {
        prop_assert!(used <= group.capacity * inputs.settings.headroom, "{used} at {group:?}");
        let is_lost = group.members.iter().any(|m| plan.lost_zones.contains(&inputs.targets[m.target].zone));
        prop_assert!(group.role == Role::Origin || !is_lost);
    }
    for (link, used) in inputs.link_capacity.iter().zip(links) {
        prop_assert!(*link <= 0.0 || used <= *link, "{used} of {link}");
    }
    for (target, work) in inputs.targets.iter().zip(&plan.work) {
        prop_assert!(*work <= target.capacity * inputs.settings.headroom);
    }
    Ok(())
}

/// Returns whether a plan fully serves the classes that run at the origin.
fn fully_serves_origin_classes(inputs: &Inputs, plan: &Plan) -> bool {
    inputs.load.iter().zip(&plan.admitted).all(|(l, a)| (2..4).all(|c| l[c] == 0.0 || a[c] >= FULLY_SERVED))
}

proptest! {
    #![proptest_config(config())]

    /// Holds for any set of lost zones. The linear program also has to gain no less than the greedy allocation.
    #[test]
    fn plans_respect_all_limits_and_floors(
        inputs in any_inputs(), lost in prop::collection::btree_set(0usize..6, 0..4),
    ) {
        let lost: Vec<Zone> = lost.into_iter().filter(|&z| z < inputs.zones).collect();
        let (plan, greedy) = solved(&inputs, &lost);
        check_limits(&inputs, &plan)?;
        check_limits(&inputs, &greedy)?;
        prop_assert!(plan.keeps_floors || !greedy.keeps_floors, "there was capacity for all floors");
        if greedy.keeps_floors && fully_serves_origin_classes(&inputs, &greedy) {
            prop_assert!(fully_serves_origin_classes(&inputs, &plan));
            prop_assert!(plan.gain >= greedy.gain - 0.02, "{} below {}", plan.gain, greedy.gain);
        }
    }

    /// Holds if the capacity is enough for the floors and for the classes that run at the origin.
    #[test]
    fn more_capacity_never_lowers_the_gain(
        inputs in any_inputs(), lost in 0usize..6, which: prop::sample::Index, more in 0.1f64..50.0,
    ) {
        let lost = if lost < inputs.zones { vec![lost] } else { vec![] };
        let mut larger = inputs.clone();
        which.get_mut(&mut larger.targets).capacity += more;
        let (before, after) = (solved(&inputs, &lost).0, solved(&larger, &lost).0);
        prop_assert!(after.keeps_floors || !before.keeps_floors);
        if before.keeps_floors && fully_serves_origin_classes(&inputs, &before) {
            prop_assert!(after.gain >= before.gain - 0.02, "{} after {}", after.gain, before.gain);
        }
    }

    /// Plans are bit-identical whatever the order of the servers; other inputs give another number.
    #[test]
    fn equal_inputs_in_any_order_give_equal_plans(inputs in any_inputs(), seed: u64, which: prop::sample::Index) {
        use rand::{seq::SliceRandom, SeedableRng};
        let inputs = Inputs { zones: inputs.zones.min(3), ..inputs };
        let Ok(one) = Plans::make(&inputs) else { return Ok(()) };
        let mut shuffled = inputs.clone();
        shuffled.targets.shuffle(&mut rand_pcg::Pcg32::seed_from_u64(seed));
        let other = Plans::make(&shuffled).unwrap();
        prop_assert_eq!(one.number(), other.number());
        prop_assert_eq!(&one, &other);
        prop_assert_eq!(one.for_lost(&[2, 0, 1, 0, 9]), other.for_lost(&[0, 1, 2]));
        let mut changed = inputs;
        which.get_mut(&mut changed.targets).capacity += 1.0;
        prop_assert_ne!(Plans::make(&changed).unwrap().number(), one.number());
    }

    /// Holds for any states of the sites. Load of a recovering site and its shifted load must not both be sent in full.
    #[test]
    fn limits_of_all_instances_add_up_to_at_most_the_capacity_of_each_server(
        inputs in any_inputs(),
        factors in prop::collection::vec(prop_oneof![Just(0.0), Just(1.0), 0.0f64..=1.0], 6),
        instances in prop::collection::vec(0u32..40, 6), max_probe_rate in 0.0f64..2.0,
    ) {
        let inputs = Inputs { zones: inputs.zones.min(3), ..inputs };
        let Ok(plans) = Plans::make(&inputs) else { return Ok(()) };
        let all = instances[..inputs.zones].iter().map(|&d| d.max(1)).sum();
        let factors = &factors[..inputs.zones];
        let mut sums = vec![0.0; plans.targets().len()];
        let mut fill_rates = vec![0.0; inputs.zones];
        for zone in 0..inputs.zones {
            let instances_in_zone = instances[zone];
            let query =
                ConstraintQuery {
                    zone,
                    zone_instances: instances_in_zone,
                    all_instances: all,
                    site_factors: factors,
                    probe_rate: max_probe_rate,
                    window: 1_000_000,
                    expected_return: 10_000_000,
                    learning_share: None,
                };
            let constraints = plans.constraints(&query);
            prop_assert_eq!(factors.iter().all(|&f| f >= 1.0), constraints == Constraints::default());
            for limit in &constraints.rate_limits {
                let at = plans.targets().iter().position(|t| t.server == limit.endpoint).unwrap();
                sums[at] += limit.rate * f64::from(instances_in_zone.max(1));
            }
            fill_rates[zone] = constraints.fill_rates.iter().flatten().sum::<f64>();
        }
        prop_assert!(fill_rates.iter().all(|g| g.is_finite() && *g >= 0.0));
        for (target, sum) in plans.targets().iter().zip(&sums) {
            let factor = if target.role == Role::Origin { 1.0 } else { factors[target.zone] };
            let most = match factor < 1.0 {
                true => (factor * target.capacity).max(max_probe_rate).min(target.capacity),
                false => target.capacity * inputs.settings.headroom,
            };
            prop_assert!(*sum <= most * (1.0 + 1e-9), "{sum} over {most} at {target:?}");
        }
    }
}

#[test]
fn load_of_a_lost_zone_bypasses_its_caches_and_the_excess_is_rejected_in_order() {
    let plans = Plans::make(&small_inputs()).unwrap();
    let no_loss = plans.for_lost(&[]);
    assert!(!no_loss.rejects(), "{:?}", no_loss.admitted);
    // The parent and the origin have a usable capacity of 51 together; 12 of it serve fills of the other zone and the
    // classes of both zones that run at the origin.
    let lost = plans.for_lost(&[0]);
    let [low_priority, high_priority, uncacheable, not_idempotent] = lost.admitted[0][..] else { panic!() };
    assert!(
        uncacheable > 0.999
            && not_idempotent > 0.999
            && high_priority > 0.999
            && (0.2..0.6).contains(&low_priority),
        "{lost:?}"
    );
    // A miss in the other zone has the same priority as one in the lost zone; hits in its caches use no scarce
    // capacity.
    assert!(lost.admitted[1][0] >= 0.9 && lost.admitted[1][1..] == [1.0; 3], "{lost:?}");
    let query = ConstraintQuery {
        zone: 0,
        zone_instances: 2,
        all_instances: 4,
        site_factors: &[0.0],
        probe_rate: 1.0,
        window: 1_000_000,
        expected_return: 8_000_000,
        learning_share: None,
    };
    let constraints = plans.constraints(&query);
    let limit =
        |server: &str| constraints.rate_limits.iter().find(|b| &*b.endpoint == server).map(|b| b.rate);
    assert_eq!((limit("a"), limit("b")), (Some(0.5), None));
    assert!(limit("p").unwrap() <= 42.5 / 2.0 && limit("o").unwrap() <= 8.5 / 2.0);
    assert!(
        constraints.force_stale
            && constraints.retry_after == (2_000_000, 6_000_000)
            && constraints.fill_rates[0].is_some()
    );
    assert_eq!(constraints.fill_rates[1..], [None, None, None]);
}

#[test]
fn a_loss_is_survived_only_up_to_a_limit_of_growth() {
    let mut inputs = small_inputs();
    inputs.load.iter_mut().flatten().for_each(|l| *l /= 8.0);
    let plans = Plans::make(&inputs).unwrap();
    assert!(plans.survives_loss(0, &[1.0, 1.0]) && !plans.survives_loss(0, &[8.0, 8.0]));
    let first_failing = (0..9).find(|n| !plans.survives_loss(0, &[f64::from(*n), 1.0])).unwrap();
    assert!((2..8).contains(&first_failing), "{first_failing}");
}

#[test]
fn requests_that_are_not_idempotent_are_rejected_after_all_but_the_floors() {
    let mut inputs = small_inputs();
    inputs.targets.retain(|t| t.role != Role::Parent);
    inputs.load = vec![vec![40.0, 40.0, 4.0, 6.0], vec![0.0; 4]];
    inputs.priority_weight = vec![5.0, 5.0, 0.1, 0.1];
    let plans = Plans::make(&inputs).unwrap();
    let admitted = &plans.for_lost(&[0]).admitted[0];
    // Of the usable capacity of 8.5 the floors of the cacheable classes take 4, the class that is not idempotent 4.3,
    // and the idempotent class at the origin 0.2.
    assert!((0.049..0.051).contains(&admitted[0]) && (0.049..0.051).contains(&admitted[1]), "{admitted:?}");
    assert!(admitted[3] > 0.7 && admitted[2] < 0.06, "{admitted:?}");
}

#[test]
fn plans_exist_for_the_loss_of_all_parents_for_no_load_and_for_a_single_zone() {
    let plans = Plans::make(&small_inputs()).unwrap();
    let without_parents = plans.for_lost(&[2]);
    assert!(without_parents
        .work_by_target(0, 0)
        .iter()
        .all(|s| plans.targets()[s.target].role != Role::Parent));
    assert!(
        without_parents.admitted[0][0] >= 0.9 && without_parents.keeps_floors,
        "hits are still served: {:?}",
        without_parents.admitted
    );
    let no_load = Plans::make(&Inputs { load: vec![], ..small_inputs() }).unwrap();
    assert!(!no_load.for_lost(&[0, 1, 2]).rejects());
    let targets = vec![target("a", Role::Cache, 0, 1.0)];
    let one_zone = Inputs { zones: 1, targets, load: vec![vec![5.0; 4]], ..small_inputs() };
    assert_eq!(Plans::make(&one_zone).unwrap().for_lost(&[0]).admitted[0], vec![0.0; 4], "no target is left");
}

#[test]
fn invalid_inputs_are_rejected_with_their_position() {
    let error_of = |change: &dyn Fn(&mut Inputs)| {
        let mut inputs = small_inputs();
        change(&mut inputs);
        Plans::make(&inputs).unwrap_err()
    };
    for value in [f64::NAN, f64::INFINITY, -1.0, 2e9] {
        let position = |error| match error {
            PlanError::OutOfRange { input, index, .. } => (input, index),
            other => panic!("{other}"),
        };
        assert_eq!(position(error_of(&|i| i.targets[1].capacity = value)), (InputValue::Capacity, 1));
        assert_eq!(position(error_of(&|i| i.load[1][2] = value)), (InputValue::Load, 2));
        assert_eq!(position(error_of(&|i| i.miss_ratio[1] = value)), (InputValue::MissRatio, 1));
        assert_eq!(position(error_of(&|i| i.link_capacity = vec![1.0, value])), (InputValue::Link, 1));
        assert_eq!(position(error_of(&|i| i.priority_weight[3] = value)), (InputValue::PriorityWeight, 3));
        assert_eq!(position(error_of(&|i| i.settings.headroom = value)).1, 0);
    }
    assert!(matches!(
        error_of(&|i| i.targets[0].zone = 3),
        PlanError::OutOfRange { input: InputValue::Zone, .. }
    ));
    assert!(matches!(
        error_of(&|i| i.zones = 200),
        PlanError::TooMany { input: LimitedInput::Zones, count: 200, .. }
    ));
    assert!(matches!(
        error_of(&|i| i.priority_weight.truncate(2)),
        PlanError::LengthMismatch { count: 2, max: 4, .. }
    ));
    assert_eq!(error_of(&|i| i.targets[1].server = "a".into()), PlanError::DuplicateServer("a".into()));
    assert_eq!(error_of(&|i| i.targets.iter_mut().for_each(|t| t.capacity = 0.0)), PlanError::NoTarget(4));
}

#[test]
fn the_rejection_order_is_as_documented() {
    use super::rejection_order::{rejection_order, RejectionStep::*, Scarce};
    let expected = vec![
        BackgroundRefreshes,
        AcceptStale { class: 0 },
        AcceptStale { class: 1 },
        Misses { class: 0 },
        Misses { class: 1 },
    ];
    let origin_steps = [OriginOnly { class: 2 }, NotIdempotent { class: 3 }];
    assert_eq!(rejection_order(&small_inputs(), Scarce::Link), [&expected[..], &origin_steps].concat());
    assert_eq!(rejection_order(&small_inputs(), Scarce::Parent), expected);
    // Behind a parent, class 1 uses the origin ten times as often as class 0, so its priority per unit is lower there.
    let parent_miss_ratio = vec![0.05, 0.5];
    let steps = rejection_order(&Inputs { parent_miss_ratio, ..small_inputs() }, Scarce::Origin);
    assert_eq!(steps[3..], [Misses { class: 1 }, Misses { class: 0 }, origin_steps[0], origin_steps[1]]);
    assert_eq!(steps[6].to_string(), "class 3 rejected, which is not idempotent");
}
