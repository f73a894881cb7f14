//! New settings while requests are open, two processes in the place of one, and what the module says it avoids.
mod common;
use common::*;
use larchdale::routing::events::*;

fn retune(r: &mut larchdale::Router, change: impl FnOnce(&mut Settings)) {
    let mut new = settings();
    change(&mut new);
    assert_eq!(handle_event(r, T0 + S, Event::Settings(Box::new(new))), []);
}

/// Fails attempts until the final answer; how many there were.
fn attempts(r: &mut larchdale::Router, id: &str) -> u32 {
    for number in 0.. {
        if !sends_attempt(&end_attempt(r, T0 + 2 * S, id, number, AttemptStatus::ConnectFailed)) {
            return number + 1;
        }
    }
    unreachable!()
}

#[test]
fn open_requests_keep_the_smaller_number_of_attempts() {
    for (old, new, open) in [(4, 2, 2), (2, 4, 2), (3, 3, 3)] {
        let mut r = router_with(Settings { max_attempts: old, ..settings() }, fleet());
        send_request(&mut r, T0 + S, "open", VIDEO, 5);
        retune(&mut r, |s| s.max_attempts = new);
        assert_eq!(attempts(&mut r, "open"), open, "{old} to {new}");
        send_request(&mut r, T0 + 2 * S, "later", VIDEO, 6);
        assert_eq!(attempts(&mut r, "later"), new);
    }
}

#[test]
fn a_class_that_comes_binds_at_its_number_and_those_that_are_open_keep_theirs() {
    let mut r = router();
    send_request(&mut r, T0 + S, "safe", VIDEO, 5);
    send_request(&mut r, T0 + S, "order", ORDER, 6);
    retune(&mut r, |s| {
        s.classes.push(Class { idempotency: Idempotency::NotIdempotent, ..s.classes[VIDEO].clone() })
    });
    send_request(&mut r, T0 + S, "new", 4, 7);
    assert!(
        sends_attempt(&end_attempt(&mut r, T0 + 2 * S, "safe", 0, AttemptStatus::Reset)),
        "may run again"
    );
    assert!(is_failed(&end_attempt(&mut r, T0 + 2 * S, "order", 0, AttemptStatus::Reset)));
    assert!(is_failed(&end_attempt(&mut r, T0 + 2 * S, "new", 0, AttemptStatus::Reset)));
}

#[test]
fn what_was_learned_of_servers_stays() {
    let mut r = router();
    let dead = sent_attempt(&send_request(&mut r, T0 + S, "a", VIDEO, 5)).target;
    assert_eq!(r.unavailable_endpoints(), 0);
    for n in 0..3 {
        let id = format!("f{n}");
        if sent_attempt(&send_request(&mut r, T0 + S, &id, VIDEO, 5)).target == dead {
            end_attempt(&mut r, T0 + S, &id, 0, AttemptStatus::ConnectFailed);
        }
    }
    assert_eq!(r.unavailable_endpoints(), 1);
    retune(&mut r, |s| s.max_attempts = 2);
    assert_eq!(r.unavailable_endpoints(), 1);
    assert_ne!(sent_attempt(&send_request(&mut r, T0 + S, "b", VIDEO, 5)).target, dead);
}

/// Guards the cold rule while one process takes over from another: what both send counts as one instance's.
#[test]
fn two_processes_send_a_cold_cache_no_more_than_one_does() {
    let to_cold = |times: u32| {
        let cold = Endpoint { started_at: T0 - 3 * S, ..endpoint("cold", Role::Cache, 3, 8.0) };
        let origin = endpoint("origin", Role::Origin, 0, 1.0);
        let mut r = router_with(Settings { processes: times, ..settings() }, vec![cold, origin]);
        // Each ends at once, so that only what a window may bring to a cold cache keeps the next one back.
        let sent = |n: &u64| {
            let now = T0 + 2 * S; // a process that has just started has less to spend
            let asked = sends_attempt(&send_request(&mut r, now, &format!("{n}"), VIDEO, *n));
            end_attempt(&mut r, now, &format!("{n}"), 0, AttemptStatus::Served);
            asked
        };
        (0..100).filter(sent).count()
    };
    let (one, each) = (to_cold(1), to_cold(2));
    assert!(each > 0 && 2 * each <= one, "{one} of one, {each} of each of two");
}

/// What a class's requests take is learned by its number: a class that comes has it learned, and one that takes the
/// number of another does not begin with that one's.
#[test]
fn what_a_class_takes_is_learned_for_it_and_by_it_alone() {
    let sized = |r: &mut larchdale::Router, id: &str, at: Micros, class, size_kb| {
        let request = Request { size_kb, ..request(id, class, 5) };
        assert!(sends_attempt(&handle_event(r, at, Event::Request(request))));
        sends_attempt(&end_attempt(r, at + 500 * MS, id, 0, AttemptStatus::ConnectFailed))
    };
    let mut r = router();
    retune(&mut r, |s| s.classes.push(s.classes[VIDEO].clone()));
    for n in 0..9 {
        let large = sized(&mut r, &format!("large{n}"), T0 + (2 + n) * S, 4, 2_900.0);
        assert!(!large, "2.9 s do not fit into what is left of 3 s");
    }
    assert!(!sized(&mut r, "small", T0 + 20 * S, 4, 100.0), "most of its requests are as large as the first");
    retune(&mut r, |s| s.classes.push(Class { deduplication_window: 9 * S, ..s.classes[VIDEO].clone() }));
    assert!(sized(&mut r, "other", T0 + 21 * S, 4, 100.0));
}
