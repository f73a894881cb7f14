//! Order of timers.

use super::*;

#[test]
fn timers_are_due_in_order_of_time_and_then_in_the_order_set() {
    let mut timers = Timers::default();
    for (at, payload) in [(30, 'c'), (10, 'a'), (30, 'd'), (20, 'b')] {
        timers.set(at, payload);
    }
    assert_eq!(timers.next_due(), Some(10));
    assert_eq!(timers.pop_due(9).map(|t| t.1), None);
    let order: String = std::iter::from_fn(|| timers.pop_due(30)).map(|t| t.1).collect();
    assert_eq!(order, "abcd");
}
