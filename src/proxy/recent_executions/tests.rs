//! The bound on the ids that are kept, in number and in time.

use super::*;
use crate::routing::deduplication::Location;

fn sent_at(sent_at: Micros) -> FirstExecution {
    FirstExecution { sent_at, target: Location { zone: 0, cell: 0 }, source: None }
}

/// Guards against ids that grow without bound while clients name ever new ones.
#[test]
fn the_oldest_ids_are_forgotten_beyond_the_bound_and_after_their_time() {
    let mut recent = RecentExecutions::default();
    for id in 0..3 * MAX_IDS as u64 {
        recent.add(id, id, sent_at(id));
    }
    assert_eq!((recent.by_id.len(), recent.ended.len()), (MAX_IDS, MAX_IDS));
    assert!(recent.find(0).is_none() && recent.find(3 * MAX_IDS as u64 - 1).is_some());
    recent.add(2 * RETENTION, 7, sent_at(1));
    assert_eq!(recent.by_id.len(), 1);
}

#[test]
fn the_first_execution_of_an_id_is_kept_when_it_ends_again() {
    let mut recent = RecentExecutions::default();
    recent.add(10, 7, sent_at(1));
    recent.add(RETENTION, 7, sent_at(20));
    assert_eq!(recent.ended.len(), 1);
    assert_eq!(recent.find(7).map(|first| first.sent_at), Some(1));
}
