//! Settings that the product's script sets with `site_plan(...)`.

use crate::routing::events::Micros;

const SECOND: Micros = 1_000_000;

/// Settings of the failure detector and of the plans. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Duration of failures at the majority of a site's servers after which the site is suspected.
    pub suspect_after: Micros,
    /// Duration of these failures, counted from the first one, after which the site is unreachable.
    pub unreachable_after: Micros,
    /// Age from which a peer's report is ignored.
    pub report_ttl: Micros,
    /// Time for which an unreachable site has to be reachable before its recovery begins.
    pub hold_off: Micros,
    /// Upper limit of the hold-off, which doubles each time a site flaps.
    pub max_hold_off: Micros,
    /// Time from the start of the last recovery within which another loss counts as flapping.
    pub flap_window: Micros,
    /// Number of steps of a recovery.
    pub recovery_steps: u8,
    /// Fraction of a target's capacity that plans may use, 0 to 1.
    pub headroom: f64,
    /// Smallest fraction of each class's load that a plan admits as long as there is capacity, 0 to 1.
    pub floor: f64,
    /// Load of a zone that is assumed while none is measured, as a fraction of its link's capacity, 0 to 1.
    pub assumed_demand: f64,
    /// Whether plans may send requests of a zone to caches of other zones.
    pub cross_zone_caches: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            suspect_after: SECOND,
            unreachable_after: 2_500_000,
            report_ttl: 4 * SECOND,
            hold_off: 3 * SECOND,
            max_hold_off: 60 * SECOND,
            flap_window: 300 * SECOND,
            recovery_steps: 5,
            headroom: 0.85,
            floor: 0.05,
            assumed_demand: 0.5,
            cross_zone_caches: false,
        }
    }
}
