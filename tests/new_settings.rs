//! Tests of the router on reloads: new settings while requests are open, and the limits of two processes that share an
//! instance's place during a takeover.
mod common;
use common::*;
use larchdale::routing::events::*;

fn reload(r: &mut larchdale::Router, change: impl FnOnce(&mut Settings)) {
    let mut new = settings();
    change(&mut new);
    assert_eq!(handle_event(r, T0 + S, Event::Settings(Box::new(new))), []);
}

/// Fails attempts until the request is answered, and returns their number.
fn failed_attempts(r: &mut larchdale::Router, id: &str) -> u32 {
    for number in 0.. {
        if !sends_attempt(&end_attempt(r, T0 + 2 * S, id, number, AttemptStatus::ConnectFailed)) {
            return number + 1;
        }
    }
    unreachable!()
}

#[test]
fn open_requests_use_the_smaller_of_the_old_and_new_attempt_limits() {
    for (old, new, open) in [(4, 2, 2), (2, 4, 2), (3, 3, 3)] {
        let mut r = router_with(Settings { max_attempts: old, ..settings() }, fleet());
        send_request(&mut r, T0 + S, "open", VIDEO, 5);
        reload(&mut r, |s| s.max_attempts = new);
        assert_eq!(failed_attempts(&mut r, "open"), open, "{old} to {new}");
        send_request(&mut r, T0 + 2 * S, "later", VIDEO, 6);
        assert_eq!(failed_attempts(&mut r, "later"), new);
    }
}

#[test]
fn an_added_class_applies_to_its_number_and_open_requests_keep_their_classes() {
    let mut r = router();
    send_request(&mut r, T0 + S, "safe", VIDEO, 5);
    send_request(&mut r, T0 + S, "order", ORDER, 6);
    reload(&mut r, |s| {
        s.classes.push(Class { idempotency: Idempotency::NotIdempotent, ..s.classes[VIDEO].clone() })
    });
    send_request(&mut r, T0 + S, "new", 4, 7);
    assert!(
        sends_attempt(&end_attempt(&mut r, T0 + 2 * S, "safe", 0, AttemptStatus::Reset)),
        "an idempotent request is retried"
    );
    assert!(is_failed(&end_attempt(&mut r, T0 + 2 * S, "order", 0, AttemptStatus::Reset)));
    assert!(is_failed(&end_attempt(&mut r, T0 + 2 * S, "new", 0, AttemptStatus::Reset)));
}

#[test]
fn new_settings_keep_the_availability_of_endpoints() {
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
    reload(&mut r, |s| s.max_attempts = 2);
    assert_eq!(r.unavailable_endpoints(), 1);
    assert_ne!(sent_attempt(&send_request(&mut r, T0 + S, "b", VIDEO, 5)).target, dead);
}

/// Guards the limit on cold caches during a takeover: two processes of one instance share that instance's limit.
#[test]
fn two_processes_together_send_a_cold_cache_no_more_than_one() {
    let sent_to_cold = |processes: u32| {
        let cold = Endpoint { started_at: T0 - 3 * S, ..endpoint("cold", Role::Cache, 3, 8.0) };
        let origin = endpoint("origin", Role::Origin, 0, 1.0);
        let mut r = router_with(Settings { processes, ..settings() }, vec![cold, origin]);
        // Each request ends immediately, so that only the limit per window on a cold cache can hold back the next one.
        let is_sent = |n: &u64| {
            let now = T0 + 2 * S; // a process that has just started has less to spend
            let sends = sends_attempt(&send_request(&mut r, now, &format!("{n}"), VIDEO, *n));
            end_attempt(&mut r, now, &format!("{n}"), 0, AttemptStatus::Served);
            sends
        };
        (0..100).filter(is_sent).count()
    };
    let (one, each) = (sent_to_cold(1), sent_to_cold(2));
    assert!(each > 0 && 2 * each <= one, "{one} sent by one process, {each} by each of two");
}

/// Guards the size estimates, which are kept by class number: an added class gets an estimate of its own, and a class
/// that reuses the number of another one doesn't inherit that one's estimate.
#[test]
fn each_class_has_its_own_size_estimate_even_if_its_number_is_reused() {
    let is_retried = |r: &mut larchdale::Router, id: &str, at: Micros, class, size_kb| {
        let request = Request { size_kb, ..request(id, class, 5) };
        assert!(sends_attempt(&handle_event(r, at, Event::Request(request))));
        sends_attempt(&end_attempt(r, at + 500 * MS, id, 0, AttemptStatus::ConnectFailed))
    };
    let mut r = router();
    reload(&mut r, |s| s.classes.push(s.classes[VIDEO].clone()));
    for n in 0..9 {
        let large = is_retried(&mut r, &format!("large{n}"), T0 + (2 + n) * S, 4, 2_900.0);
        assert!(!large, "2.9 s do not fit into the remainder of 3 s");
    }
    assert!(
        !is_retried(&mut r, "small", T0 + 20 * S, 4, 100.0),
        "most requests of the class are as large as the first"
    );
    reload(&mut r, |s| s.classes.push(Class { deduplication_window: 9 * S, ..s.classes[VIDEO].clone() }));
    assert!(is_retried(&mut r, "other", T0 + 21 * S, 4, 100.0));
}
