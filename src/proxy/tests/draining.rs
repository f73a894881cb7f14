//! Readiness, standby and the end of the process.

use super::*;

#[test]
fn without_endpoints_or_while_stopping_it_is_not_ready() {
    let mut w = World::new();
    let mut client = w.client();
    let ask = frame(1, 0, &fields(&[]));
    client.put(&ask);
    assert_eq!(w.frame(&mut client), (2, 0, vec![20, 0]));
    w.proxy.shut_down();
    assert_eq!(w.frame(&mut client).0, 3);
    client.put(&ask);
    assert_eq!(w.frame(&mut client), (2, 0, vec![50, 0]));
    let mut w = World::new();
    w.relist(|e| e.state = EndpointState::Removed);
    w.proxy.discovery.endpoint_list.remove(w.proxy.now, ORIGIN);
    w.proxy.announce_endpoints(usize::MAX);
    let mut client = w.client();
    client.put(&ask);
    assert_eq!(w.frame(&mut client), (2, 0, vec![50, 0]));
}

#[test]
fn after_sigterm_requests_in_time_are_served_and_the_program_ends() {
    let mut w = World::new();
    let (mut client, mut cache, _) = w.asked();
    w.proxy.shut_down();
    assert_eq!(w.frame(&mut client), (3, 0, vec![]));
    let mut late = w.client();
    late.put(&request(1, 2, "clip"));
    assert_eq!(w.command(&mut cache)[1], trace(2));
    w.skip(1_000 * MILLISECOND);
    assert!(!w.proxy.is_drained(), "two answers are owed");
    for number in [1, 2] {
        cache.put(&answer(&trace(number), "ok", "-", "x"));
    }
    assert_eq!(w.frame(&mut client).2, b"\x14\x00x");
    assert_eq!(w.frame(&mut late).0, 3);
    assert_eq!(w.frame(&mut late).2, b"\x14\x00x");
    assert!(w.proxy.is_drained());
}

#[test]
fn a_drain_fails_what_no_endpoint_answers_before_the_process_may_be_killed() {
    let mut w = World::new();
    let mut client = w.client();
    client.put(&request(1, 1, "clip"));
    w.until("the request", |d| (!d.requests.by_id.is_empty()).then_some(()));
    w.proxy.shut_down();
    w.proxy.fail_open_requests();
    w.proxy.process_events();
    assert_eq!(w.frame(&mut client).0, 3);
    assert_eq!(w.frame(&mut client), (8, 1, vec![51, 0]));
}

#[test]
fn standby_drains_without_losing_a_request_and_active_takes_clients_again() {
    let mut w = World::new();
    let (mut busy, mut cache, _) = w.asked();
    let mut idle = w.client();
    idle.put(&frame(1, 5, &[0]));
    assert_eq!(w.frame(&mut idle), (2, 5, vec![20, 0]));
    assert_eq!(w.call("standby\n"), "done standby\n");
    assert_eq!(w.call("standby\n"), "done standby\n");
    assert_eq!(w.call("status\n"), "error not serving: standby\n");
    assert_eq!((w.frame(&mut busy).0, w.frame(&mut idle).0), (3, 3));
    // What still comes is served, and its connection then closed as the others are.
    let mut late = w.client();
    late.put(&frame(1, 6, &[0]));
    let answer_late = w.frame(&mut late);
    assert!(answer_late.0 == 2 && answer_late.2[0] != 20, "{answer_late:?}");
    late.put(&request(7, 2, "clip"));
    w.command(&mut cache);
    w.skip(crate::lifecycle::LEAVING_IDLE_TIMEOUT + SWEEP_INTERVAL);
    w.ended(&mut idle);
    for number in [1, 2] {
        cache.put(&answer(&trace(number), "ok", "-", "x"));
    }
    assert_eq!((w.frame(&mut busy).0, w.frame(&mut late).0, w.frame(&mut late).0), (8, 3, 8));
    w.skip(crate::lifecycle::LEAVING_IDLE_TIMEOUT + SWEEP_INTERVAL);
    w.ended(&mut busy);
    w.ended(&mut late);
    // New settings are taken over meanwhile, and change nothing about it.
    let same = w.config.to_string();
    assert!(w.reconfigure("standby", &same));
    assert_eq!(w.call("status\n"), "error not serving: standby\n");
    // Much later a request is refused at once, and its connection closed.
    w.skip(2_000 * MILLISECOND);
    let mut last = w.client();
    last.put(&request(1, 3, "clip"));
    assert_eq!(w.frame(&mut last).0, 3);
    assert_eq!(w.frame(&mut last).2[0], 50);
    assert_eq!(w.call("active\n"), "done serving\n");
    assert_eq!(w.call("status\n"), "done serving\n");
    let mut new = w.client();
    new.put(&request(1, 4, "clip"));
    assert_eq!(w.command(&mut cache)[1], trace(4));
    w.proxy.shut_down();
    assert!(w.call("active\n").starts_with("error stopping"));
}
