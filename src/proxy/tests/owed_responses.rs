//! What a client is owed that breaks the protocol: each request that was taken before has its one final answer, then
//! comes the error that belongs to no request, then the end.

use super::*;

/// Five requests of one client, all of them with the cache.
fn five_out(harness: &mut Harness) -> (Peer, Vec<Peer>) {
    let mut client = harness.connect_client();
    client.write(&(1..=5).flat_map(|n| request(n, n, "clip")).collect::<Vec<u8>>());
    harness.wait_until("all five", |proxy| (proxy.requests.len() == 5).then_some(()));
    let mut caches = Vec::new();
    let mut come = 0;
    while come < 5 {
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
                come += 1;
            }
        }
    }
    (client, caches)
}

/// What breaks the protocol on a connection that has five requests open.
fn breaches() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("an unknown type", frame(77, 6, &[])),
        ("a length out of range", 262_145u32.to_be_bytes().to_vec()),
        ("a 33rd open request", (6..=33).flat_map(|n| request(n, n, "clip")).collect()),
        ("a stream used twice", request(5, 99, "clip")),
        ("an unknown route", request(6, 6, "no-such-class")),
    ]
}

/// Seen failing (none of the five was answered) where the error ended the connection at once.
#[test]
fn requests_taken_before_a_breach_of_the_protocol_are_answered_before_the_end() {
    for (what, bytes) in breaches() {
        let mut harness = Harness::new();
        let (mut client, mut caches) = five_out(&mut harness);
        client.write(&bytes);
        harness.wait_until(what, |proxy| (proxy.metrics.client_protocol_errors == 1).then_some(()));
        // What comes after it is not heard.
        client.write(&request(40, 40, "clip"));
        harness.proxy.turn().unwrap();
        assert_eq!(harness.attempts_made(), 5, "{what}: nothing more is sent");
        let mut left: Vec<u32> = (1..=5).collect();
        let mut refused = if what.starts_with("a 33rd") { 27 } else { 0 };
        for n in 1..=5 {
            for cache in &mut caches {
                cache.write(&response(&request_id(n), "ok", "-", "x"));
            }
        }
        while !left.is_empty() || refused > 0 {
            let (kind, stream, payload) = harness.read_frame(&mut client);
            assert!(kind == 8 && stream > 0, "{what}: {kind} on {stream} with {left:?} unanswered");
            if stream > 5 {
                assert_eq!(payload[0], 50, "{what}: taken in the turn of the breach, never sent");
                refused -= 1;
            } else {
                assert_eq!(payload, b"\x14\x00x", "{what}");
                left.retain(|&s| s != stream);
            }
        }
        let (kind, stream, payload) = harness.read_frame(&mut client);
        assert_eq!((kind, stream, payload[0]), (8, 0, 51), "{what}");
        harness.expect_end(&mut client);
        assert!(!client.reset && harness.proxy.requests.by_id.is_empty(), "{what}");
    }
}

/// Whom a client that broke the protocol and then goes has left: nothing further is sent for it.
#[test]
fn who_goes_after_a_breach_of_the_protocol_has_no_further_attempt() {
    for reset in [false, true] {
        let mut harness = Harness::new();
        let (mut client, mut caches) = five_out(&mut harness);
        client.write(&frame(77, 6, &[]));
        harness.wait_until("the breach", |proxy| (proxy.metrics.client_protocol_errors == 1).then_some(()));
        if reset {
            rustix::net::sockopt::set_socket_linger(&client.stream, Some(std::time::Duration::ZERO)).unwrap();
        }
        drop(client);
        harness.wait_until("its end", |proxy| proxy.requests.by_id.is_empty().then_some(()));
        for cache in &mut caches {
            cache.write(&response(&request_id(1), "nothing", "-", ""));
        }
        for _ in 0..3 {
            harness.proxy.turn().unwrap();
        }
        assert_eq!(harness.attempts_made(), 5, "reset: {reset}");
        harness.wait_until("no connection", |proxy| proxy.clients.is_empty().then_some(()));
    }
}

/// A message that stops half-way ends its connection after `MESSAGE_TIMEOUT`; requests that take longer are still answered.
#[test]
fn a_half_message_that_stands_still_ends_no_request() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    let mut bytes = request(1, 1, "clip");
    let at = bytes.windows(4).position(|b| b == b"1500").unwrap();
    bytes[at..at + 4].copy_from_slice(b"6000");
    client.write(&bytes);
    let mut cache = harness.accept_cache();
    harness.read_command(&mut cache);
    client.write(&request(2, 2, "clip")[..20]);
    harness.wait_until("the half", |proxy| {
        proxy.clients.values().any(|c| c.conn.has_partial_message()).then_some(())
    });
    harness.skip(MESSAGE_TIMEOUT + MESSAGE_TIMEOUT_EXTENSION + SWEEP_INTERVAL);
    harness.wait_until("the verdict", |proxy| (proxy.metrics.client_protocol_errors == 1).then_some(()));
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
