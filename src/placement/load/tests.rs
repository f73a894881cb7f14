//! Tests of adding up the work that instances count.

use super::*;

#[test]
fn documents_add_up_and_shards_get_their_part_of_the_total() {
    let day_ms = 86_400_000;
    let (mut a, mut b) = (Work::default(), Work::default());
    a.close(100 * day_ms);
    b.close(100 * day_ms);
    for object in 0..1_000 {
        a.add(object, 500.0);
        b.add(object, 1_500.0);
    }
    let documents = [a.close(100 * day_ms + 2_000), b.close(100 * day_ms + 2_000), vec![1, 2, 3]];
    let merged = |at| Work::merged(documents.iter().map(Vec::as_slice), at);
    let all = merged(100 * day_ms + 3_000);
    assert!((all.in_range(0, u64::MAX) - 1_000_000.0).abs() < 1.0, "{}", all.in_range(0, u64::MAX));
    let half = u64::MAX / 2;
    let parts = all.in_range(0, half) + all.in_range(half + 1, u64::MAX);
    assert!((parts - 1_000_000.0).abs() < 1.0 && all.in_range(0, half) > 400_000.0);
    assert_eq!(merged(103 * day_ms).in_range(0, u64::MAX), 0.0, "too old");
    assert_eq!(
        Work::merged([a.close(100 * day_ms + 4_000).as_slice()].into_iter(), 100 * day_ms).in_range(0, 9),
        0.0
    );
}
