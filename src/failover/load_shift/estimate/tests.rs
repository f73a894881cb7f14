//! Tests of the loads and capacities that are estimated from the links.

use super::*;
use crate::failover::load_shift::Plans;
use crate::routing::events::{Class, DeduplicationScope, Idempotency};

fn server(id: &str, role: Role, zone: usize) -> Endpoint {
    Endpoint { id: id.into(), role, zone, ..Endpoint::default() }
}

#[test]
fn unknown_sizes_and_loads_are_estimated_from_the_links_and_plans_can_be_made_from_them() {
    let class = |uncacheable| Class {
        fresh_for: 0,
        grace: 0,
        uncacheable,
        latency_objective: 400_000,
        latency_objective_stretch: 2.0,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0,
    };
    let settings = Settings {
        routers: 4,
        routers_by_zone: vec![0, 2, 2],
        classes: vec![class(false), class(true)],
        transfer_rate_kb_s: 1_000.0,
        zone_link_kb_s: vec![0.0, 20_000.0, 10_000.0],
        may_bypass_caches: true,
        ..Settings::default()
    };
    let mut servers: Vec<Endpoint> = (0..2).map(|n| server(&format!("p{n}"), Role::Parent, 0)).collect();
    servers.extend((0..4).map(|n| server(&format!("c{n}"), Role::Cache, 1 + n % 2)));
    servers.push(server("o", Role::Origin, 0));
    let inputs = estimate_inputs(&settings, &[2.0], &servers, &SiteSettings::default());
    let capacity = |id: &str| inputs.targets.iter().find(|t| &*t.server == id).unwrap().capacity;
    assert_eq!([capacity("c0"), capacity("c1"), capacity("p0"), capacity("o")], [20.0, 10.0, 30.0, 30.0]);
    let close = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(close(inputs.load[1].iter().sum(), 20.0) && close(inputs.load[2].iter().sum(), 10.0));
    assert_eq!(
        (inputs.load[0].iter().sum::<f64>(), inputs.priority_weight.as_slice()),
        (0.0, &[2.0, 1.0][..])
    );
    assert_ne!(Plans::make(&inputs).unwrap().number(), 0);
}
