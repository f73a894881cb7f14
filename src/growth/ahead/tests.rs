//! Tests of the replacement of old growth documents in the registry.

use super::super::buckets::GrowthCounter;
use super::*;
use std::collections::BTreeMap;

/// The number of documents in the registry stays bounded over time, and a new planner that reads them has the same
/// history as the one before.
#[test]
fn old_buckets_are_merged_into_a_base_document_that_a_new_planner_can_use() {
    let settings = Settings { bucket: 1_000_000, buckets: 8, ..Settings::default() };
    let (mut planner, mut stored) =
        (GrowthPlanner::new(settings.clone(), "edge"), BTreeMap::<String, Vec<u8>>::new());
    let mut growth = GrowthCounter::new(settings.clone(), "edge", "n1", 1);
    for second in 0..40u64 {
        let now_ms = 1_000_000 + second * 1_000;
        growth.close(now_ms);
        (0..50).for_each(|n| growth.record(second * 50 + n, 0, 10.0, true, false));
        while let Some((key, value)) = growth.next() {
            planner.merge_document(&value, now_ms).unwrap();
            growth.written(&key);
            stored.insert(key, value);
        }
        if let Some(old) = planner.compaction(stored.keys().map(String::as_str)) {
            old.keys.iter().for_each(|k| drop(stored.remove(k)));
            stored.insert(old.base.0, old.base.1);
        }
        assert!(stored.len() <= 9, "{:?}", stored.keys());
    }
    let mut next_planner = GrowthPlanner::new(settings.clone(), "edge");
    stored.values().for_each(|value| next_planner.merge_document(value, 2_000_000).unwrap());
    let level = |source: &GrowthPlanner| {
        let cells: Vec<Cell> = (0..CELLS).filter_map(|n| source.merged.cell(n)).collect();
        source.merged.series(&cells, 0, u64::MAX).last().map(|p| p.objects)
    };
    assert!(level(&planner).is_some_and(|o| (1_800.0..2_100.0).contains(&o)), "{:?}", level(&planner));
    assert_eq!(level(&next_planner), level(&planner));
}
