//! Client connections: accepted, refused, evicted and timed out.

use super::*;

#[test]
fn a_client_in_breach_of_the_protocol_is_told_and_closed() {
    let overlong = 262_145u32.to_be_bytes().to_vec();
    let too_many = |n: u32| (1..=n).flat_map(|s| request(s, s, "clip")).collect::<Vec<u8>>();
    let reused = [request(1, 1, "clip"), request(1, 2, "clip")].concat();
    let half = frame(7, 1, &fields(&[("route", "clip")]));
    let cut = frame(7, 1, b"\x05\x04ro");
    let nonsense = frame(77, 1, &[]);
    let unknown = request(1, 1, "no-such-class");
    let comma = request_with(1, 1, "clip", &[("nonce", "a,via=s-00000009")]);
    let with = |from: &str, to: &str| {
        let mut bytes = request(1, 1, "clip");
        let at = bytes.windows(from.len()).position(|window| window == from.as_bytes()).unwrap();
        bytes[at..at + from.len()].copy_from_slice(to.as_bytes());
        bytes
    };
    let figures = [
        with("1500", "0000"),
        with("1500", "+150"),
        with("1500", "99e9"),
        with("412.5", "1e999"),
        with("412.5", "1e300"),
        with("412.5", "  NaN"),
        with("412.5", "-12.5"),
        with("7f3a9c21e0b4d655", "7F3A9C21E0B4D655"),
        request_with(1, 1, "page", &[("got", &"a".repeat(65))]),
        // Without its key nobody could tell a repeat of an edit from another.
        request(1, 1, "edit"),
    ];
    // With each, how many requests were whole before it.
    let cases = [(overlong, 0), (too_many(33), 32), (reused, 1), (half, 0), (cut, 0), (nonsense, 0)];
    let more = [unknown, comma].into_iter().chain(figures).map(|bytes| (bytes, 0));
    for (bytes, whole) in cases.into_iter().chain(more) {
        let mut harness = Harness::new();
        let mut client = harness.connect_client();
        client.write(&bytes);
        for stream in 1..=whole {
            let (kind, of, payload) = harness.read_frame(&mut client);
            assert_eq!((kind, of, payload[0]), (8, stream, 50), "each that was taken has its answer");
        }
        assert_eq!(harness.proxy.metrics.attempts, 0);
        let told = harness.read_frame(&mut client);
        assert_eq!((told.0, told.1, told.2[0]), (8, 0, 51));
        harness.expect_end(&mut client);
        harness.wait_until("the end of its requests", |proxy| proxy.requests.by_id.is_empty().then_some(()));
        let mut next = harness.connect_client();
        next.write(&frame(1, 0, &fields(&[])));
        assert_eq!(harness.read_frame(&mut next), (2, 0, vec![20, 0]));
    }
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    client.write(&too_many(32));
    harness.wait_until("all 32", |proxy| (proxy.requests.len() == 32).then_some(()));
    assert_eq!(harness.proxy.metrics.client_protocol_errors, 0);
}

/// Guards the endpoints, and what shares their connections, from requests that nobody waits for, or whose
/// connection is about to end: none of them is worth an attempt.
#[test]
fn requests_cancelled_or_malformed_within_one_turn_reach_no_endpoint() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    let back = |n: u32| [request(n, n, "clip"), frame(9, n, &[]), frame(9, n, &[])].concat();
    client.write(&[back(2), request(3, 3, "clip"), back(4)].concat());
    assert_eq!(harness.read_command(&mut cache)[1], request_id(3));
    client.write(&[request(5, 5, "clip"), frame(77, 6, &[])].concat());
    let (_, stream, payload) = harness.read_frame(&mut client);
    assert_eq!((stream, payload[0], harness.proxy.metrics.attempts), (5, 50, 2), "refused and never sent");
    for number in [1, 3] {
        cache.write(&response(&request_id(number), "ok", "-", "x"));
        assert_eq!(
            harness.read_frame(&mut client),
            (8, number, b"\x14\x00x".to_vec()),
            "what was taken before is served"
        );
    }
    assert_eq!(harness.read_frame(&mut client).1, 0);
    harness.expect_end(&mut client);
    // Whoever takes back again and again is let go.
    let mut client = harness.connect_client();
    let again =
        (1..=MAX_UNANSWERED_CANCELS + 1).flat_map(|n| [request(n, 100 + n, "clip"), frame(9, n, &[])]);
    for bytes in again {
        client.write(&bytes);
        harness.proxy.turn().unwrap();
    }
    assert_eq!(harness.read_frame(&mut client).1, 0);
    harness.expect_end(&mut client);
}

#[test]
fn a_client_that_does_not_read_is_not_read_from() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    let body = "x".repeat(240_000);
    // More than all the buffers of the machine's between the two can hold.
    let mut stream = 1;
    while !harness.proxy.clients.values().any(|c| c.conn.backlog() > BACKLOG_HIGH_WATER) {
        cache.stream.set_nonblocking(false).unwrap();
        cache.write(&response(&request_id(stream), "ok", "-", &body));
        cache.stream.set_nonblocking(true).unwrap();
        harness.wait_until("the answer", |proxy| proxy.requests.by_id.is_empty().then_some(()));
        stream += 1;
        client.write(&request(stream, stream, "clip"));
        if harness.proxy.clients.values().any(|c| c.conn.backlog() > BACKLOG_HIGH_WATER) {
            break;
        }
        assert_eq!(harness.read_command(&mut cache)[0], "want");
        assert!(stream < 200);
    }
    for _ in 0..3 {
        harness.proxy.turn().unwrap();
    }
    assert!(harness.proxy.requests.by_id.is_empty(), "the next request is left unread");
    // Once the client reads, all comes, and the request that waited is taken.
    harness.wait_until("the request that waited", |proxy| {
        client.read_available();
        client.received.clear();
        (!proxy.requests.by_id.is_empty()).then_some(())
    });
}

#[test]
fn idle_client_connections_time_out_and_those_in_use_do_not() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    // The request ends at its patience; from then on nothing happens on either side.
    harness.skip(1_500 * MILLISECOND);
    harness.read_frame(&mut client);
    harness.read_command(&mut cache);
    // Clients that mean to go on close their own after 4 s.
    harness.skip(4_400 * MILLISECOND);
    assert_eq!((harness.proxy.pool.len(), harness.proxy.clients.len()), (1, 1));
    harness.skip(IDLE_TIMEOUT - 4_000 * MILLISECOND);
    harness.expect_end(&mut client);
    harness.skip(8_000 * MILLISECOND);
    assert_eq!((harness.proxy.pool.len(), harness.proxy.clients.len()), (1, 0));
    harness.skip(1_000 * MILLISECOND);
    harness.expect_end(&mut cache);
    assert_eq!(harness.proxy.pool.len(), 0);
}

/// Guards against connections that say nothing, or never say all, holding descriptors for good.
#[test]
fn a_client_without_a_whole_message_in_time_is_told_and_closed() {
    let mut harness = Harness::new();
    let ask = frame(1, 0, &fields(&[]));
    let (mut mute, mut half, mut later) =
        (harness.connect_client(), harness.connect_client(), harness.connect_client());
    half.write(&ask[..3]);
    later.write(&ask);
    harness.read_frame(&mut later);
    harness.skip(MESSAGE_TIMEOUT - 300 * MILLISECOND);
    // One whole message excuses nobody from ending the next; and each byte is not a new start.
    later.write(&ask[..3]);
    half.write(&ask[3..4]);
    let heard =
        |proxy: &mut Proxy| proxy.clients.values().filter(|c| c.conn.has_partial_message()).count() == 2;
    harness.wait_until("the bytes", |proxy| heard(proxy).then_some(()));
    harness.skip(600 * MILLISECOND);
    for peer in [&mut mute, &mut half] {
        assert_eq!(harness.read_frame(peer).2[0], 51);
        harness.expect_end(peer);
    }
    assert_eq!(harness.open_clients(), 1);
    harness.skip(MESSAGE_TIMEOUT);
    harness.expect_end(&mut later);
    assert_eq!(harness.proxy.clients.len(), 1, "those told before are gone, though they stayed");
}

/// Guards against clients that connect by hundreds or ask once and stay: others must still be taken.
#[test]
fn a_new_client_evicts_an_idle_one_but_never_one_with_a_request() {
    let mut harness = Harness::new();
    (harness.proxy.bounds.clients, harness.proxy.bounds.silent_clients) = (2, 2);
    let ready = frame(1, 0, &fields(&[]));
    let (mut busy, _cache, _) = harness.forward_request();
    let mut idle = harness.connect_client();
    idle.write(&ready);
    harness.read_frame(&mut idle);
    let mut new = harness.connect_client();
    new.write(&request(1, 2, "clip"));
    harness.expect_end(&mut idle);
    harness.wait_until("the second request", |proxy| (proxy.requests.len() == 2).then_some(()));
    // All in use: who comes now is turned away.
    let mut late = harness.connect_client();
    harness.expect_end(&mut late);
    harness.expect_silence(&mut busy);
    harness.expect_silence(&mut new);
    assert_eq!(harness.open_clients(), 2);
    // Those that never asked are bounded by themselves, however much room there is.
    harness.proxy.bounds.clients = 100;
    let mut mutes = [harness.connect_client(), harness.connect_client(), harness.connect_client()];
    harness.expect_end(&mut mutes[0]);
    harness.expect_silence(&mut mutes[2]);
    assert_eq!(harness.open_clients(), 4);
}

#[test]
fn failing_accepts_set_one_timer_at_a_time() {
    let mut harness = Harness::new();
    let before = harness.proxy.timers.len();
    for _ in 0..3 {
        harness.proxy.accept_failed(Failure::NoDescriptor);
    }
    assert_eq!(harness.proxy.timers.len(), before + 1);
    harness.proxy.handle_timer(TimerEvent::AcceptRetry);
    harness.proxy.accept_failed(Failure::NoDescriptor);
    assert_eq!(harness.proxy.timers.len(), before + 2);
}

#[test]
fn client_buffers_are_bounded_and_stalled_clients_are_dropped() {
    let mut harness = Harness::new();
    let mut peers = [harness.connect_client(), harness.connect_client()];
    for peer in &mut peers {
        peer.write(&frame(1, 0, &fields(&[])));
        harness.read_frame(peer);
    }
    let mut tokens: Vec<Token> = harness.proxy.clients.tokens();
    tokens.sort();
    let held = harness.proxy.bounds.client_buffers;
    for (token, bytes) in [(&tokens[0], 1_000), (&tokens[1], held)] {
        harness.proxy.clients.get_mut(token).unwrap().conn.queue(vec![0; bytes]);
    }
    harness.proxy.sweep();
    assert!(harness.proxy.clients.tokens() == [tokens[0]], "the one with most goes");
    harness.proxy.now += WRITE_STALL_TIMEOUT;
    harness.proxy.sweep();
    assert!(harness.proxy.clients.is_empty(), "the other took nothing for too long");
}

#[test]
fn a_request_written_in_two_seconds_is_served_and_one_that_trickles_on_is_not() {
    let mut harness = Harness::new();
    let bytes = request(1, 1, "clip");
    let (mut slow, mut endless) = (harness.connect_client(), harness.connect_client());
    harness.wait_until("both connections", |proxy| (proxy.clients.len() == 2).then_some(()));
    for n in 0..10 {
        slow.write(&bytes[n * 4..n * 4 + 4]);
        endless.write(&bytes[n * 4..n * 4 + 4]);
        harness.wait_until("some bytes", |proxy| {
            proxy.clients.values().all(|c| c.conn.buffered_bytes() == n * 4 + 4).then_some(())
        });
        harness.skip(230 * MILLISECOND);
    }
    harness.proxy.sweep();
    assert_eq!(harness.proxy.metrics.client_protocol_errors, 0, "2.3 s and still coming");
    slow.write(&bytes[40..]);
    let mut cache = harness.accept_cache();
    assert_eq!(harness.read_command(&mut cache)[1], request_id(1));
    // What still is not whole by 2.6 s and a sweep is told and closed, within 3 s in all.
    endless.write(&bytes[40..41]);
    harness.skip(MESSAGE_TIMEOUT + MESSAGE_TIMEOUT_EXTENSION - 2_300 * MILLISECOND + SWEEP_INTERVAL);
    assert_eq!(harness.read_frame(&mut endless).1, 0);
    harness.expect_end(&mut endless);
    cache.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut slow).2, b"\x14\x00x");
    const { assert!(MESSAGE_TIMEOUT + MESSAGE_TIMEOUT_EXTENSION + SWEEP_INTERVAL < 3_000 * MILLISECOND) };
    // One that stands still has no longer than one that says nothing.
    let mut stuck = harness.connect_client();
    stuck.write(&bytes[..30]);
    harness.wait_until("half a request", |proxy| {
        proxy.clients.values().any(|c| c.conn.has_partial_message()).then_some(())
    });
    harness.skip(MESSAGE_TIMEOUT + SWEEP_INTERVAL);
    assert_eq!(harness.read_frame(&mut stuck).1, 0);
}
