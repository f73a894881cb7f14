//! The order in which sockets with unfinished input are handled, and the bound on the work of a turn.

use super::*;

fn ready(token: usize, readable: bool, read_closed: bool) -> Ready {
    Ready { token: Token(token), readable, writable: false, read_closed }
}

fn tokens(events: &[TurnEvent]) -> Vec<(usize, bool)> {
    events.iter().map(|event| (event.ready.token.0, event.is_begun)).collect()
}

/// Guards against an event that is lost because its socket waits already: the poll reports it once.
#[test]
fn each_socket_has_one_event_with_all_that_was_reported() {
    let mut reads = UnfinishedReads::default();
    reads.push(Token(1));
    reads.push(Token(1));
    let mut reported = vec![ready(2, true, false), ready(1, false, true)];
    let events = reads.begin_turn(&mut reported);
    assert_eq!(tokens(&events), [(2, false), (1, true)]);
    assert!(events[1].ready.read_closed && reads.is_empty() && reported.is_empty());
    reads.postpone(events[0]);
    let events = reads.begin_turn(&mut vec![ready(2, false, true)]);
    assert_eq!(tokens(&events), [(2, false)]);
    assert!(events[0].ready.readable && events[0].ready.read_closed);
}

/// Guards against clients that send without end and take whole turns, and against others that keep these from any progress.
#[test]
fn a_turn_ends_after_its_work_and_leaves_a_part_to_input_that_was_begun() {
    let mut reads = UnfinishedReads::default();
    let fresh = TurnEvent { ready: ready(1, true, false), is_begun: false };
    let begun = TurnEvent { ready: ready(2, true, false), is_begun: true };
    reads.begin_turn(&mut Vec::new());
    reads.record_work(MAX_WORK_PER_TURN - 1);
    assert!(reads.allows(&fresh) && reads.allows(&begun));
    reads.record_work(1);
    assert!(!reads.allows(&fresh) && reads.allows(&begun));
    let before = reads.work();
    reads.record_work(MIN_UNFINISHED_WORK);
    reads.record_unfinished_work(before);
    assert!(!reads.allows(&begun));
    reads.begin_turn(&mut Vec::new());
    assert!(reads.allows(&fresh) && reads.allows(&begun));
}
