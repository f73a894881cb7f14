//! What is remembered, and for how long.

use super::*;

#[test]
fn the_latest_purge_of_object_or_group_counts_until_its_own_end() {
    let mut recent = Recent::default();
    recent.told(Some(7), 0, 50, 100);
    recent.told(None, 3, 80, 130);
    recent.told(Some(7), 0, 40, 150);
    assert_eq!(
        (recent.at(7, 3), recent.at(7, 1), recent.at(8, 3), recent.at(3, 7)),
        (Some(80), Some(50), Some(80), None)
    );
    recent.pass_time(130);
    assert_eq!((recent.at(7, 3), recent.at(8, 3)), (Some(50), None));
    recent.pass_time(150);
    assert!(recent.latest.is_empty() && recent.ends.is_empty());
}
