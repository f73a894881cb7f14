//! Lookup and expiry of recent purges.

use super::*;

#[test]
fn latest_purge_of_the_object_or_its_group_is_returned_until_it_expires() {
    let mut recent = RecentPurges::default();
    recent.record(Some(7), 0, 50, 100);
    recent.record(None, 3, 80, 130);
    recent.record(Some(7), 0, 40, 150);
    assert_eq!(
        (
            recent.latest_purge(7, 3),
            recent.latest_purge(7, 1),
            recent.latest_purge(8, 3),
            recent.latest_purge(3, 7)
        ),
        (Some(80), Some(50), Some(80), None)
    );
    recent.advance_clock(130);
    assert_eq!((recent.latest_purge(7, 3), recent.latest_purge(8, 3)), (Some(50), None));
    recent.advance_clock(150);
    assert!(recent.latest.is_empty() && recent.expiries.is_empty());
}
