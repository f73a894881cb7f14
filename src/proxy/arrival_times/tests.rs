//! Messages that take several reads, and input that is left unread.

use super::*;

const CANCEL: ClientMessage = ClientMessage::Cancel { stream: 1 };

fn date(
    times: &mut ArrivalTimes,
    read_through_at: Micros,
    count: usize,
    partial: bool,
    unread: bool,
) -> Vec<Micros> {
    let state = ReadState { has_partial_message: partial, has_unread_input: unread };
    let dated = times.date(read_through_at, vec![CANCEL; count], &state);
    dated.iter().map(|received| received.begun_at).collect()
}

/// Guards against a request that is judged by the settings at its last byte.
#[test]
fn a_message_begins_with_its_first_byte_however_many_reads_it_takes() {
    let mut times = ArrivalTimes::default();
    assert!(date(&mut times, 10, 0, true, false).is_empty());
    assert!(date(&mut times, 20, 0, true, false).is_empty());
    assert_eq!(date(&mut times, 30, 2, true, false), [10, 30]);
    assert_eq!(date(&mut times, 40, 1, false, false), [30]);
    assert_eq!(date(&mut times, 50, 1, false, false), [50]);
}

/// Guards against a request that lay unread and is judged by the settings at its read.
#[test]
fn input_left_unread_may_have_arrived_before_the_read_that_left_it() {
    let mut times = ArrivalTimes::default();
    assert!(date(&mut times, 10, 0, false, true).is_empty());
    assert_eq!(date(&mut times, 90, 2, true, true), [10, 10]);
    assert_eq!(date(&mut times, 95, 1, false, false), [10]);
    assert_eq!(date(&mut times, 99, 1, false, false), [99]);
}
