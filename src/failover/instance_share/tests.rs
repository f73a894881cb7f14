//! Tests of the sum of all instances' shares.

use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(crate::net::testing::config())]

    /// Holds for any number of instances, with and without zones that only their own instances send to, and while each
    /// instance is replaced by a new process.
    #[test]
    fn shares_of_all_instances_add_up_to_at_most_the_limit(
        by_zone in proptest::collection::vec(0u32..40, 1..6),
        uncounted in 0usize..20, named_peers in 0usize..300, local: bool, taking_over: bool,
    ) {
        let sum: u32 = by_zone.iter().sum();
        let max_instances = (sum as usize + uncounted).max(named_peers);
        let local: Vec<Zone> = if local { (0..by_zone.len()).collect() } else { Vec::new() };
        let processes = 1 + u32::from(taking_over);
        let settings = Settings {
            routers: sum + uncounted as u32,
            routers_by_zone: by_zone.clone(),
            processes,
            ..Settings::default()
        };
        let share = EvenShare::new(&settings, named_peers, &local);
        for (zone, &counted) in by_zone.iter().enumerate() {
            let instances = if local.is_empty() { max_instances } else { counted as usize + max_instances - sum as usize };
            let sum_of_shares = share.share(zone, 0) * instances as f64 * f64::from(processes);
            prop_assert!(sum_of_shares <= 1.0 + 1e-9, "{sum_of_shares} of {zone}");
        }
    }
}
