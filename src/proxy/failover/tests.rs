//! Effects of a configuration reload on site failover.

use super::*;

const SECOND: Micros = 1_000_000;

fn document(warm_up: Micros) -> Document {
    let example: serde_json::Value =
        serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
    let mut settings = example["settings"].clone();
    settings["rules"]["warm-within-us"] = warm_up.into();
    settings["domain"]["parent-ramp-us"] = SECOND.into();
    serde_json::from_value(settings).unwrap()
}

/// Guards against a recovery ramp that ignores a reload: the failure detector would let a site return in the
/// old warm-up time while its servers now take longer, and overload them.
#[test]
fn reload_with_a_new_warm_up_time_updates_the_failure_detector() {
    let log = Logger::root(slog::Discard, slog::o!());
    let settings = Settings::default();
    let started_with = |warm_up| SiteFailover::new(settings.clone(), &document(warm_up), 1, 0, &log);
    let mut failover = started_with(15 * SECOND);
    assert_ne!(failover.failure_detector, started_with(60 * SECOND).failure_detector);
    failover.reconfigure(&settings, &document(60 * SECOND), 0);
    assert_eq!(failover.failure_detector, started_with(60 * SECOND).failure_detector);
}
