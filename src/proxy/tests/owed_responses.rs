//! Protocol errors of clients with open requests: each request accepted before the error gets its one final response,
//! then the connection gets an error on stream 0, then it ends.

use super::*;

/// Sends five requests from one client and waits until the cache has received all of them.
fn send_five_requests(harness: &mut Harness) -> (Peer, Vec<Peer>) {
    let mut client = harness.connect_client();
    client.write(&(1..=5).flat_map(|n| request(n, n, "clip")).collect::<Vec<u8>>());
    harness.wait_until("all five requests", |proxy| (proxy.requests.len() == 5).then_some(()));
    let mut caches = Vec::new();
    let mut arrived = 0;
    while arrived < 5 {
        for _ in 0..3 {
            harness.proxy.timers.set(harness.proxy.now + TURN_INTERVAL, TimerEvent::AcceptRetry);
            harness.proxy.turn().unwrap();
        }
        while let Ok((stream, _)) = harness.cache.accept() {
            caches.push(Peer::new(stream));
        }
        for cache in &mut caches {
            cache.read_available();
            while decode_command(&mut cache.received).is_some() {
                arrived += 1;
            }
        }
    }
    (client, caches)
}

/// Returns byte sequences that break the protocol on a connection with five open requests.
fn protocol_errors() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("an unknown type", frame(77, 6, &[])),
        ("a length out of range", 262_145u32.to_be_bytes().to_vec()),
        ("a 33rd open request", (6..=33).flat_map(|n| request(n, n, "clip")).collect()),
        ("a stream used twice", request(5, 99, "clip")),
        ("an unknown route", request(6, 6, "no-such-class")),
    ]
}

/// Guards against a protocol error that ends the connection at once and leaves all open requests without a response.
#[test]
fn requests_accepted_before_a_protocol_error_are_answered_before_the_connection_ends() {
    for (what, bytes) in protocol_errors() {
        let mut harness = Harness::new();
        let (mut client, mut caches) = send_five_requests(&mut harness);
        client.write(&bytes);
        harness.wait_until(what, |proxy| (proxy.metrics.client_protocol_errors == 1).then_some(()));
        // Input after the protocol error is ignored.
        client.write(&request(40, 40, "clip"));
        harness.proxy.turn().unwrap();
        assert_eq!(harness.attempts_made(), 5, "{what}: no further attempt is made");
        let mut unanswered: Vec<u32> = (1..=5).collect();
        let mut rejected = if what.starts_with("a 33rd") { 27 } else { 0 };
        for n in 1..=5 {
            for cache in &mut caches {
                cache.write(&response(&request_id(n), "ok", "-", "x"));
            }
        }
        while !unanswered.is_empty() || rejected > 0 {
            let (kind, stream, payload) = harness.read_frame(&mut client);
            assert!(kind == 8 && stream > 0, "{what}: {kind} on {stream} with {unanswered:?} unanswered");
            if stream > 5 {
                assert_eq!(payload[0], 50, "{what}: received in the turn of the protocol error, never sent");
                rejected -= 1;
            } else {
                assert_eq!(payload, b"\x14\x00x", "{what}");
                unanswered.retain(|&s| s != stream);
            }
        }
        let (kind, stream, payload) = harness.read_frame(&mut client);
        assert_eq!((kind, stream, payload[0]), (8, 0, 51), "{what}");
        harness.expect_end(&mut client);
        assert!(!client.reset && harness.proxy.requests.by_id.is_empty(), "{what}");
    }
}

/// Guards against retries for a client that broke the protocol and then disconnected.
#[test]
fn a_client_that_disconnects_after_a_protocol_error_gets_no_further_attempts() {
    for reset in [false, true] {
        let mut harness = Harness::new();
        let (mut client, mut caches) = send_five_requests(&mut harness);
        client.write(&frame(77, 6, &[]));
        harness.wait_until("the protocol error", |proxy| {
            (proxy.metrics.client_protocol_errors == 1).then_some(())
        });
        if reset {
            rustix::net::sockopt::set_socket_linger(&client.stream, Some(std::time::Duration::ZERO)).unwrap();
        }
        drop(client);
        harness.wait_until("the end of the requests", |proxy| proxy.requests.by_id.is_empty().then_some(()));
        for cache in &mut caches {
            cache.write(&response(&request_id(1), "nothing", "-", ""));
        }
        for _ in 0..3 {
            harness.proxy.turn().unwrap();
        }
        assert_eq!(harness.attempts_made(), 5, "reset: {reset}");
        harness
            .wait_until("the end of the client connection", |proxy| proxy.clients.is_empty().then_some(()));
    }
}

/// An incomplete message ends its connection after `MESSAGE_TIMEOUT`; open requests that take longer are
/// still answered.
#[test]
fn a_stalled_message_does_not_end_open_requests() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    let mut bytes = request(1, 1, "clip");
    let at = bytes.windows(4).position(|b| b == b"1500").unwrap();
    bytes[at..at + 4].copy_from_slice(b"6000");
    client.write(&bytes);
    let mut cache = harness.accept_cache();
    harness.read_command(&mut cache);
    client.write(&request(2, 2, "clip")[..20]);
    harness.wait_until("the partial message", |proxy| {
        proxy.clients.values().any(|c| c.conn.has_partial_message()).then_some(())
    });
    harness.skip(MESSAGE_TIMEOUT + MESSAGE_TIMEOUT_EXTENSION + SWEEP_INTERVAL);
    harness
        .wait_until("the message timeout", |proxy| (proxy.metrics.client_protocol_errors == 1).then_some(()));
    cache.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client), (8, 1, b"\x14\x00x".to_vec()));
    assert_eq!(harness.read_frame(&mut client).1, 0);
    harness.expect_end(&mut client);
}

impl Harness {
    fn attempts_made(&self) -> u64 {
        self.proxy.metrics.attempts
    }
}
