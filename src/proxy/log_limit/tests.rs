//! The number of lines in each interval.

use super::*;

/// Guards against a log that grows without bound while a client violates the protocol again and again.
#[test]
fn so_many_lines_are_logged_in_each_interval_and_the_next_one_tells_how_many_were_not() {
    let mut limit = LogLimit::default();
    let start = 5 * INTERVAL;
    let logged = |limit: &mut LogLimit, at| (0..100).filter_map(|_| limit.admit(at)).collect::<Vec<u64>>();
    assert_eq!(logged(&mut limit, start), [0; MAX_LINES as usize]);
    assert!(logged(&mut limit, start + INTERVAL - 1).is_empty());
    let later = logged(&mut limit, start + INTERVAL);
    assert_eq!((later[0], later.len()), (190, MAX_LINES as usize));
    assert_eq!(later[1..].iter().sum::<u64>(), 0);
}
