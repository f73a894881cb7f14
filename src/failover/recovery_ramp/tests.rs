//! Tests of the traffic share in each step of a recovery.

use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(crate::net::testing::config())]

    #[test]
    fn traffic_share_grows_by_equal_factors_from_the_cold_share(cold_share in 0.01f64..1.0, steps in 1u8..32) {
        let share_at = |step| traffic_share(SiteState::Recovering { step }, steps, cold_share);
        prop_assert!((share_at(0) - cold_share).abs() < 1e-9 && (share_at(steps) - 1.0).abs() < 1e-9);
        let factor = share_at(1) / share_at(0);
        prop_assert!((0..steps).all(|s| (share_at(s + 1) / share_at(s) - factor).abs() < 1e-6 * factor));
    }
}
