//! Requests and their responses: each request gets exactly one.

use super::*;

#[test]
fn a_request_is_forwarded_to_the_cache_and_its_body_returned_unchanged() {
    let mut harness = Harness::new();
    let (mut client, mut cache, command) = harness.forward_request();
    assert_eq!((&command[0][..], &command[1][..], &command[3][..]), ("want", &request_id(1)[..], ""));
    for field in ["c=clip", "k=7f3a9c21e0b4d655", "p=3", "via=s-00000002", "tier=1"] {
        assert!(has_field(&command, field), "{field} in {}", command[2]);
    }
    cache.write(&response(
        &request_id(1),
        "ok",
        "tag=4be0c1927d55a6f3,minted=1764576000123,note=filled",
        "bytes",
    ));
    assert_eq!(harness.read_frame(&mut client), (8, 1, b"\x14\x00bytes".to_vec()));
    assert_eq!(harness.outcomes(), [(AttemptStatus::Served, true)]);
    assert!(harness.proxy.requests.by_id.is_empty() && harness.proxy.memory.used() == 0);
}

#[test]
fn the_idempotency_key_and_body_reach_the_origin_unchanged() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    client.write(&request_with(1, 1, "edit", &[("nonce", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")]));
    let mut origin = harness.accept(|harness| &harness.origin);
    let command = harness.read_command(&mut origin);
    assert!(has_field(&command, "i=5c0f6e1a2b3d4c59a8b7c6d5e4f30211") && command[3] == "the edit");
    // The connection is lost after the request was completely written: it may have run, and the router must
    // be told so.
    drop(origin);
    let mut origin = harness.accept(|harness| &harness.origin);
    let again = harness.read_command(&mut origin);
    assert!(has_field(&again, "i=5c0f6e1a2b3d4c59a8b7c6d5e4f30211") && again[3] == "the edit");
    assert_eq!(harness.outcomes(), [(AttemptStatus::Reset, false)]);
}

/// Guards the other requests of a connection: a request too large to be transferred within its timeout is no protocol
/// error.
#[test]
fn a_request_too_large_for_its_timeout_is_rejected_and_its_connection_stays_open() {
    // At this rate the 412.5 KB of a request take 2 s.
    let mut harness = Harness::with(|c| {
        c["settings"]["domain"]["flow-kb-per-s"] = 200.0.into();
        c["settings"]["classes"][0]["deadline-us"] = 400_000.into();
    });
    let mut client = harness.connect_client();
    client.write(&[request(1, 1, "page"), request(2, 2, "clip")].concat());
    let mut cache = harness.accept_cache();
    assert_eq!(harness.read_command(&mut cache)[1], request_id(1));
    assert_eq!(harness.read_frame(&mut client), (8, 2, vec![50, 0]), "rejected at once, without retry_after");
    assert_eq!((harness.proxy.metrics.attempts, harness.proxy.metrics.client_protocol_errors), (1, 0));
    cache.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client), (8, 1, b"\x14\x00x".to_vec()));
    client.write(&request(3, 3, "page"));
    assert_eq!(harness.read_command(&mut cache)[1], request_id(3));
    assert_eq!(harness.open_clients(), 1);
}

#[test]
fn a_client_with_the_current_copy_is_answered_without_a_body() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    client.write(&request_with(1, 1, "page", &[("got", "4be0c1927d55a6f3")]));
    let mut cache = harness.accept_cache();
    let command = harness.read_command(&mut cache);
    assert!(has_field(&command, "known=4be0c1927d55a6f3"), "{}", command[2]);
    cache.write(&response(&request_id(1), "current", "tag=4be0c1927d55a6f3,minted=1,note=hit", ""));
    assert_eq!(harness.read_frame(&mut client), (8, 1, b"\x14\x01\x05ok304\x00\x011".to_vec()));
}

#[test]
fn a_request_whose_dial_is_refused_is_rejected_with_retry_after() {
    let mut harness = Harness::new();
    let closed_listener = StdListener::bind("127.0.0.1:0").unwrap();
    harness.cache = closed_listener.try_clone().unwrap();
    let address = closed_listener.local_addr().unwrap();
    harness.update_cache_entry(|e| e.address = address);
    drop(std::mem::replace(&mut harness.cache, StdListener::bind("127.0.0.1:0").unwrap()));
    drop(closed_listener);
    let mut client = harness.connect_client();
    client.write(&request(1, 1, "clip"));
    let (kind, stream, payload) = harness.read_frame(&mut client);
    assert_eq!((kind, stream, payload[0]), (8, 1, 50));
    assert!(payload[2..].starts_with(b"\x05pause"), "{payload:?}");
    assert!(
        harness.outcomes().iter().all(|c| c.0 == AttemptStatus::ConnectFailed),
        "{:?}",
        harness.outcomes()
    );
    assert!(!harness.outcomes().is_empty());
}

#[test]
fn a_silent_upstream_fails_the_request_before_the_client_times_out() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    harness.skip(1_500 * MILLISECOND - RESPONSE_MARGIN + MILLISECOND);
    assert_eq!(harness.read_command(&mut cache), ["never_mind".to_owned(), request_id(1)]);
    assert_eq!(harness.read_frame(&mut client), (8, 1, vec![51, 0]));
    assert_eq!(harness.outcomes(), [(AttemptStatus::TimedOut, false)]);
    // A late response to an ended request is ignored, and so is the timer of the request timeout.
    cache.write(&response(&request_id(1), "ok", "-", "late"));
    harness.wait_until("the late response", |proxy| (proxy.metrics.late_responses == 1).then_some(()));
    harness.skip(1_000 * MILLISECOND);
    harness.expect_silence(&mut client);
    assert_eq!(harness.outcomes().len(), 1);
}

/// Guards against a response margin that uses up a large part of a short timeout, such as 40 ms.
#[test]
fn nearly_all_of_a_short_timeout_is_available_for_attempts() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    let mut bytes = request(1, 1, "clip");
    let at = bytes.windows(4).position(|b| b == b"1500").unwrap();
    bytes[at..at + 4].copy_from_slice(b"0040");
    client.write(&bytes);
    let events = harness.events.clone();
    let budget = |_: &mut Proxy| {
        events.all().iter().find_map(|e| if let Event::Request(r) = e { Some(r.timeout) } else { None })
    };
    let budget = harness.wait_until("the request", budget);
    assert!((35 * MILLISECOND..40 * MILLISECOND).contains(&budget), "{budget}");
}

#[test]
fn a_cancelled_request_gets_no_response_and_the_router_is_told() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    client.write(&frame(9, 1, &[]));
    assert_eq!(harness.read_command(&mut cache), ["never_mind".to_owned(), request_id(1)]);
    assert_eq!(harness.outcomes(), [(AttemptStatus::Cancelled, true)]);
    assert!(harness.events.all().iter().any(|e| matches!(e, Event::ClientDisconnected { .. })));
    harness.expect_silence(&mut client);
    assert!(harness.proxy.requests.by_id.is_empty());
}

#[test]
fn a_closed_client_connection_abandons_its_requests() {
    let mut harness = Harness::new();
    let (client, mut cache, _) = harness.forward_request();
    drop(client);
    assert_eq!(harness.read_command(&mut cache)[0], "never_mind");
    assert!(harness.proxy.requests.by_id.is_empty() && harness.proxy.clients.is_empty());
}

#[test]
fn requests_beyond_max_open_are_rejected_at_once() {
    let mut harness = Harness::new();
    harness.proxy.settings.limits.max_open = 1;
    let (_client, _cache, _) = harness.forward_request();
    let mut other = harness.connect_client();
    other.write(&request(1, 2, "clip"));
    assert_eq!(harness.read_frame(&mut other), (8, 1, b"\x32\x01\x05pause\x00\x042000".to_vec()));
}

#[test]
fn a_duplicate_request_id_fails_and_leaves_the_first_request_alone() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    let mut other = harness.connect_client();
    other.write(&request(1, 1, "clip"));
    assert_eq!(harness.read_frame(&mut other), (8, 1, vec![51, 0]));
    cache.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client), (8, 1, b"\x14\x00x".to_vec()));
    harness.expect_silence(&mut other);
}

#[test]
fn requests_beyond_the_memory_budget_are_rejected_at_once() {
    let mut harness = Harness::new();
    let held = harness.proxy.memory.reserve(harness.proxy.bounds.buffers);
    let mut client = harness.connect_client();
    client.write(&request_with(1, 1, "edit", &[("nonce", "5c0f6e1a2b3d4c59")]));
    assert_eq!(harness.read_frame(&mut client), (8, 1, b"\x32\x01\x05pause\x00\x042000".to_vec()));
    assert_eq!(harness.proxy.memory.used(), held.bytes(), "nothing is held for the rejected request");
}
