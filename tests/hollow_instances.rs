//! Comparison of the traffic of a hollow instance (fleet simulation) with that of a real process.

use larchdale_fleet_simulation::loopback::agreement::measure;
use std::path::Path;
use std::time::Duration;

#[test]
fn the_traffic_of_a_hollow_instance_is_within_a_tenth_of_that_of_a_real_process() {
    let comparison = measure(Path::new(env!("CARGO_BIN_EXE_larchdale")), Duration::from_secs(24)).unwrap();
    comparison.check().unwrap_or_else(|e| panic!("{e}: {comparison:?}"));
    assert!(comparison.real.iter().all(|n| *n > 0.0), "{comparison:?}");
}
