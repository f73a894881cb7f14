//! Races between two events: each test forces the problematic order on real connections every time.

use super::*;

impl Harness {
    fn only_client(&self) -> Token {
        *self.proxy.clients.tokens().first().unwrap()
    }

    /// Waits, without a turn of the event loop, until the last action of the only client is visible on its
    /// connection.
    pub(super) fn await_client_input(&mut self) {
        let token = self.only_client();
        let client = self.proxy.clients.get_mut(&token).unwrap();
        let arrived = (0..1_000_000).any(|_| client.conn.transport().peek(&mut [0]).is_ok());
        assert!(arrived, "no input arrived");
    }

    /// Enlarges the receive buffer of the only client connection, so that the client can send more than one
    /// turn reads without a turn of the event loop.
    pub(super) fn enlarge_client_buffer(&mut self) {
        self.wait_until("the client", |proxy| (proxy.clients.len() == 1).then_some(()));
        let token = self.only_client();
        let stream = self.proxy.clients.get_mut(&token).unwrap().conn.transport();
        sockopt::set_socket_recv_buffer_size(&*stream, 200_000).unwrap();
    }

    /// Handles the last action of the only client before any other event that the poll may report.
    fn handle_client_first(&mut self) {
        self.await_client_input();
        let (token, readable, writable, read_closed) = (self.only_client(), true, false, false);
        self.proxy.handle_ready(Ready { token, readable, writable, read_closed });
    }

    /// Skips time without a turn of the event loop.
    fn skip_before_turn(&mut self, span: Micros) {
        self.await_acknowledgements();
        self.proxy.clock.skip(span);
        self.proxy.now = self.proxy.clock.now();
    }

    /// Waits for the end of the connection and asserts that it was not a reset.
    fn expect_clean_end(&mut self, peer: &mut Peer) {
        self.expect_end(peer);
        assert!(!peer.reset, "the connection was reset");
    }

    /// Moves an endpoint of the list to another zone and announces the change to the router.
    fn move_to_zone(&mut self, id: &str, zone: usize) {
        let proxy = &mut self.proxy;
        let entry = proxy.discovery.endpoint_list.entry(id).unwrap().clone();
        proxy.discovery.endpoint_list.upsert(proxy.now, Entry { zone, ..entry }).unwrap();
        proxy.announce_endpoints(usize::MAX);
        proxy.process_events();
    }

    fn attempts(&self) -> u64 {
        self.proxy.metrics.attempts
    }
}

fn edit(stream: u32, number: u32) -> Vec<u8> {
    request_with(stream, number, "edit", &[("nonce", "5c0f6e1a2b3d4c59")])
}

/// Encodes an edit with a body of at least 47,000 bytes.
pub(super) fn large_edit(stream: u32, number: u32) -> Vec<u8> {
    let short = edit(stream, number);
    let body = [&short[9..], &vec![b'x'; 47_000][..]].concat();
    frame(7, stream, &body)
}

// ---- the client disconnects or cancels ----

/// Fails if `abandon_request` does not cancel the attempt and `write_attempt` does not check whether the request has
/// ended: edits, and any request if `may-cancel` is false, were written once the dial completed.
#[test]
fn a_request_abandoned_while_waiting_for_a_dial_is_not_written() {
    let disconnects = |_: &mut Peer| true;
    let cancels = |client: &mut Peer| {
        client.write(&frame(9, 1, &[]));
        false
    };
    for (route, may_cancel) in [("edit", true), ("edit", false), ("clip", false)] {
        for abandons in [disconnects as fn(&mut Peer) -> bool, cancels] {
            let mut harness = Harness::with(|c| c["settings"]["limits"]["may-cancel"] = may_cancel.into());
            let mut client = harness.connect_client();
            client.write(&if route == "edit" { edit(1, 1) } else { request(1, 1, route) });
            harness.wait_until("the dial", |proxy| (proxy.pool.len() == 1).then_some(()));
            if abandons(&mut client) {
                drop(client);
            }
            harness.handle_client_first();
            assert!(harness.proxy.requests.by_id.is_empty(), "an abandoned request is removed");
            let mut endpoint = if route == "edit" {
                harness.accept(|harness| &harness.origin)
            } else {
                harness.accept_cache()
            };
            harness.wait_until("the completed dial", |proxy| {
                proxy.pool.iter().all(|entry| entry.1.conn.is_open()).then_some(())
            });
            harness.expect_silence(&mut endpoint);
            assert_eq!(harness.outcomes(), [(AttemptStatus::Cancelled, true)]);
        }
    }
}

/// Fails if `cancel_unwritten_attempt` ignores partially written requests: the rest was written to the origin
/// after the client had disconnected.
#[test]
fn a_partially_written_request_is_cut_off_when_its_client_disconnects() {
    let mut harness = Harness::new();
    // A first edit opens the connection; then the buffers of both ends are made too small for a large one.
    let mut client = harness.connect_client();
    client.write(&edit(1, 1));
    let mut origin = harness.accept(|harness| &harness.origin);
    assert_eq!(harness.read_command(&mut origin)[0], "want");
    origin.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client).2[0], 20);
    sockopt::set_socket_recv_buffer_size(&origin.stream, 1).unwrap();
    let token = *harness.proxy.pool.iter().next().unwrap().0;
    let upstream = harness.proxy.pool.get_mut(token).unwrap();
    sockopt::set_socket_send_buffer_size(&*upstream.conn.transport(), 1).unwrap();
    client.write(&large_edit(2, 2));
    harness
        .wait_until("a partial write", |proxy| (proxy.pool.get_mut(token)?.conn.backlog() > 0).then_some(()));
    drop(client);
    harness.handle_client_first();
    assert!(harness.proxy.requests.by_id.is_empty());
    harness.expect_end(&mut origin);
    let text = String::from_utf8_lossy(&origin.received);
    assert!(
        text.contains("want") && !text.contains("never_mind") && command_begun(&origin.received),
        "{}",
        text.len()
    );
}

/// Whether `bytes` hold the beginning of a command but not all of it.
fn command_begun(bytes: &[u8]) -> bool {
    !bytes.is_empty() && bytes.len() < 47_000
}

/// Fails if `client_ready` handles input before it checks whether the client is still connected.
#[test]
fn requests_read_together_with_the_end_of_their_connection_are_not_forwarded() {
    // The second input is more than one turn reads.
    for bytes in [request(1, 1, "clip"), (1..=3).flat_map(|n| large_edit(n, n)).collect()] {
        let mut harness = Harness::new();
        let mut client = harness.connect_client();
        harness.enlarge_client_buffer();
        client.write(&bytes);
        drop(client);
        harness
            .wait_until("the end of the client connection", |proxy| proxy.clients.is_empty().then_some(()));
        assert_eq!((harness.attempts(), harness.proxy.pool.len()), (0, 0));
    }
}

/// Fails without the check for ended requests in `write_attempt` and `cancel_unwritten_attempt` in
/// `fail_open_requests`.
#[test]
fn a_request_failed_by_a_drain_is_not_written_when_its_dial_completes() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    client.write(&edit(1, 1));
    harness.wait_until("the dial", |proxy| (proxy.pool.len() == 1).then_some(()));
    harness.proxy.shut_down();
    harness.proxy.fail_open_requests();
    harness.proxy.process_events();
    let mut origin = harness.accept(|harness| &harness.origin);
    assert_eq!(harness.read_frame(&mut client).0, 3);
    assert_eq!(harness.read_frame(&mut client), (8, 1, vec![51, 0]));
    harness.expect_silence(&mut origin);
    assert!(harness.proxy.requests.by_id.is_empty());
}

// ---- a connection ends ----

/// Fails if `Connection::flush` closes the socket once all is written: a close with unread input is a reset.
#[test]
fn a_client_that_keeps_sending_after_a_protocol_error_still_gets_the_error() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    // The input is more than one turn reads and arrives completely before the error is sent.
    harness.enlarge_client_buffer();
    client.write(&[frame(77, 1, &[]), vec![0; 190_000]].concat());
    assert_eq!((harness.read_frame(&mut client).1, harness.proxy.metrics.client_protocol_errors), (0, 1));
    harness.expect_clean_end(&mut client);
    drop(client);
    harness.wait_until("the end of the client connection", |proxy| proxy.clients.is_empty().then_some(()));
}

/// Fails if `sweep_clients` closes idle connections without checking for unread input.
#[test]
fn a_request_that_arrives_before_its_idle_connection_is_closed_is_served() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    cache.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client).2[0], 20);
    harness.skip_before_turn(IDLE_TIMEOUT + MILLISECOND);
    client.write(&request(2, 2, "clip"));
    harness.await_client_input();
    harness.proxy.sweep();
    harness.proxy.process_events();
    assert_eq!(harness.read_command(&mut cache)[1], request_id(2));
    cache.write(&response(&request_id(2), "ok", "-", "y"));
    assert_eq!(harness.read_frame(&mut client), (8, 2, b"\x14\x00y".to_vec()));
}

/// Guards against closing a connection in use: the message was answered at once, so no request is open, but
/// the client's next request may already be on its way.
#[test]
fn an_idle_connection_with_an_unread_message_answered_at_once_stays_open() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    cache.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client).2[0], 20);
    harness.skip_before_turn(IDLE_TIMEOUT + MILLISECOND);
    client.write(&frame(1, 0, &fields(&[])));
    harness.await_client_input();
    harness.proxy.sweep();
    assert_eq!(harness.read_frame(&mut client), (2, 0, vec![20, 0]));
    assert_eq!(harness.open_clients(), 1, "the connection is in use");
    client.write(&request(2, 2, "clip"));
    assert_eq!(harness.read_command(&mut cache)[1], request_id(2));
    cache.write(&response(&request_id(2), "ok", "-", "y"));
    assert_eq!(harness.read_frame(&mut client), (8, 2, b"\x14\x00y".to_vec()));
    // Without further messages the connection is idle again.
    harness.skip_before_turn(IDLE_TIMEOUT + MILLISECOND);
    harness.proxy.sweep();
    harness.expect_clean_end(&mut client);
}

/// Guards against evicting a connection in use to make room: a connection without unread input is evicted instead.
#[test]
fn a_connection_with_an_unread_message_answered_at_once_is_not_evicted() {
    let mut harness = Harness::new();
    let readiness_check = frame(1, 0, &fields(&[]));
    let mut used = harness.connect_client();
    used.write(&readiness_check);
    assert_eq!(harness.read_frame(&mut used).0, 2);
    let used_token = harness.only_client();
    harness.skip_before_turn(MILLISECOND);
    let mut idle = harness.connect_client();
    idle.write(&readiness_check);
    assert_eq!(harness.read_frame(&mut idle).0, 2);
    harness.skip_before_turn(MILLISECOND);
    used.write(&readiness_check);
    let conn = &mut harness.proxy.clients.get_mut(&used_token).unwrap().conn;
    assert!((0..1_000_000).any(|_| conn.transport().peek(&mut [0]).is_ok()), "no input arrived");
    harness.proxy.bounds.clients = 2;
    harness.proxy.make_room();
    harness.expect_clean_end(&mut idle);
    assert_eq!(harness.read_frame(&mut used).0, 2);
    assert!(harness.proxy.clients.get(&used_token).is_some_and(|client| client.conn.is_open()));
}

/// Guards against a reset, and a request without a response, when standby closes a connection with a partial message.
#[test]
fn a_request_that_has_arrived_is_answered_before_standby_closes_its_connection() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    client.write(&frame(1, 0, &fields(&[])));
    assert_eq!(harness.read_frame(&mut client).0, 2);
    assert_eq!(harness.call("standby\n"), "done standby\n");
    assert_eq!(harness.read_frame(&mut client).0, 3);
    let bytes = request(1, 1, "clip");
    client.write(&bytes[..20]);
    harness.wait_until("the partial message", |proxy| {
        proxy.clients.values().any(|c| c.conn.has_partial_message()).then_some(())
    });
    harness.skip_before_turn(3_600 * MILLISECOND);
    client.write(&bytes[20..]);
    harness.await_client_input();
    harness.proxy.sweep();
    assert_eq!(harness.read_frame(&mut client).2[0], 50, "rejected, not lost");
    harness.expect_clean_end(&mut client);
}

/// A request that crosses the close of its connection gets an orderly end, not a reset, and is not forwarded.
/// Fails with `close` in place of `finish` in `finish_client`.
#[test]
fn a_request_that_crosses_the_close_of_its_connection_is_not_forwarded() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    cache.write(&response(&request_id(1), "ok", "-", &"x".repeat(200_000)));
    harness.wait_until("the response", |proxy| proxy.requests.by_id.is_empty().then_some(()));
    let token = harness.only_client();
    harness.wait_until("the complete write", |proxy| {
        (proxy.clients.get(&token).unwrap().conn.backlog() == 0).then_some(())
    });
    harness.proxy.finish_client(token);
    client.write(&request(2, 2, "clip"));
    harness.await_client_input();
    harness.expect_silence(&mut cache);
    assert_eq!(harness.read_frame(&mut client).2.len(), 200_002, "the last response is complete");
    harness.expect_clean_end(&mut client);
    assert_eq!(harness.attempts(), 1);
    drop(client);
    harness.wait_until("the end of the client connection", |proxy| proxy.clients.is_empty().then_some(()));
}

/// Hundreds of clients that keep their end open after the proxy closed the connection must not block others. Fails
/// without `CLOSE_TIMEOUT` in `sweep_clients`, and without the bound on closing connections in `make_room`.
#[test]
fn closing_connections_are_bounded_and_time_out() {
    let mut harness = Harness::with(|c| c["limits"]["sockets"] = 64.into());
    let bounds = harness.proxy.bounds;
    let most = bounds.clients + bounds.closing;
    let mut resting = Vec::new();
    for _ in 0..3 * most {
        let mut client = harness.connect_client();
        client.write(&frame(1, 0, &fields(&[])));
        assert_eq!(harness.read_frame(&mut client).0, 2);
        resting.push(client);
        assert!(harness.proxy.clients.len() <= most + 1, "{} of {most}", harness.proxy.clients.len());
    }
    let ending = |proxy: &Proxy| proxy.clients.values().filter(|c| c.conn.is_ending()).count();
    assert!(ending(&harness.proxy) > 0);
    harness.skip_before_turn(CLOSE_TIMEOUT + MILLISECOND);
    harness.proxy.sweep();
    assert_eq!(ending(&harness.proxy), 0);
    // The first connection, idle for longest, was closed; the last is still open.
    harness.expect_clean_end(&mut resting[0]);
    let last = resting.last_mut().unwrap();
    last.write(&frame(1, 0, &fields(&[])));
    assert_eq!(harness.read_frame(last).0, 2);
}

/// Clients with one complete and one partial message hold all connections; a new client is still accepted.
/// Fails, in an endless loop, if `make_room` keeps trying connections that are idle except for a partial
/// message.
#[test]
fn partial_messages_on_all_connections_do_not_block_a_new_client() {
    let mut harness = Harness::new();
    harness.proxy.bounds.clients = 3;
    let readiness_check = frame(1, 0, &fields(&[]));
    let mut partial_clients: Vec<Peer> = (0..3).map(|_| harness.connect_client()).collect();
    for client in &mut partial_clients {
        client.write(&readiness_check);
        assert_eq!(harness.read_frame(client).0, 2);
        client.write(&readiness_check[..3]);
    }
    let all_partial =
        |proxy: &mut Proxy| proxy.clients.values().filter(|c| c.conn.has_partial_message()).count() == 3;
    harness.wait_until("the partial messages", |proxy| all_partial(proxy).then_some(()));
    let mut next = harness.connect_client();
    next.write(&readiness_check);
    assert_eq!(harness.read_frame(&mut next).0, 2);
    harness.expect_clean_end(&mut partial_clients[0]);
    assert_eq!(harness.open_clients(), 3);
}

// ---- shutdown ----

/// Fails if `run_to_completion` returns at once: input since the last turn was lost with a reset.
#[test]
fn requests_that_arrive_just_before_exit_are_answered_and_all_connections_end_cleanly() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    cache.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client).2[0], 20);
    let mut resting = harness.connect_client();
    harness.wait_until("the second client", |proxy| (proxy.clients.len() == 2).then_some(()));
    harness.proxy.shut_down();
    harness.skip_before_turn(1_000 * MILLISECOND);
    assert!(harness.proxy.is_drained(), "no response is pending");
    client.write(&request(2, 2, "clip"));
    let endpoint = std::thread::spawn(move || {
        cache.stream.set_nonblocking(false).unwrap();
        let mut chunk = [0; 4096];
        while decode_command(&mut cache.received).is_none() {
            let n = cache.stream.read(&mut chunk).unwrap();
            assert!(n > 0, "the request was not forwarded to the cache");
            cache.received.put_slice(&chunk[..n]);
        }
        cache.write(&response(&request_id(2), "ok", "-", "y"));
        cache
    });
    harness.proxy.run_to_completion().unwrap();
    for peer in [&mut client, &mut resting] {
        peer.read_available();
        assert!(peer.ended && !peer.reset, "the connection ended cleanly before the process exits");
    }
    drop(harness);
    drop(endpoint.join().unwrap());
    assert_eq!(client.received, [frame(3, 0, &[]), frame(8, 2, b"\x14\x00y")].concat());
}

/// Fails without the check of `drain_deadline` in `Lifecycle::admits_requests`: nothing would wait for the
/// end of such a request.
#[test]
fn a_request_after_the_last_response_time_of_a_drain_is_rejected_at_once() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    harness.proxy.shut_down();
    assert_eq!(harness.read_frame(&mut client).0, 3);
    let last = harness.proxy.lifecycle.drain_deadline().unwrap();
    harness.skip(last - harness.proxy.now);
    assert_eq!(harness.read_frame(&mut client), (8, 1, vec![51, 0]));
    assert_eq!(harness.read_command(&mut cache)[0], "never_mind");
    client.write(&request(2, 2, "clip"));
    assert_eq!(harness.read_frame(&mut client).2[0], 50);
    harness.expect_silence(&mut cache);
    assert!(harness.proxy.is_drained());
}

// ---- responses and attempts ----

/// A second response to the first attempt carries the same request ID as the next attempt. Fails if the connection of
/// the first response may carry the next attempt: the duplicate ended that attempt while it was in flight.
#[test]
fn a_duplicate_response_does_not_end_the_next_attempt() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    cache.write(
        &[response(&request_id(1), "nothing", "-", ""), response(&request_id(1), "nothing", "-", "")]
            .concat(),
    );
    let mut next = harness.accept_cache();
    assert_eq!(harness.read_command(&mut next)[1], request_id(1));
    harness.expect_silence(&mut cache);
    assert_eq!(
        (harness.attempts(), harness.outcomes().len()),
        (2, 1),
        "one attempt has ended, one is in flight"
    );
    next.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client), (8, 1, b"\x14\x00x".to_vec()));
    assert_eq!(harness.proxy.metrics.late_responses, 1);
}

/// A response that would lead to another attempt and the client's disconnect arrive in one turn, the response first.
/// Fails if events are handled in the order of the poll: a second attempt began.
#[test]
fn a_client_that_disconnects_in_the_turn_of_a_response_gets_no_further_attempt() {
    let mut harness = Harness::new();
    let (client, mut cache, _) = harness.forward_request();
    cache.write(&response(&request_id(1), "nothing", "-", ""));
    let token = *harness.proxy.pool.iter().next().unwrap().0;
    let upstream = harness.proxy.pool.get_mut(token).unwrap();
    assert!(
        (0..1_000_000).any(|_| upstream.conn.transport().peek(&mut [0]).is_ok()),
        "the response is readable"
    );
    drop(client);
    harness.await_client_input();
    harness.wait_until("the end of the request", |proxy| proxy.requests.by_id.is_empty().then_some(()));
    assert_eq!(harness.attempts(), 1);
}

/// An at-most-once edit that may have run is not sent again, so writing it to a connection that has already
/// ended would lose it needlessly. Fails if events are handled in the order of the poll.
#[test]
fn a_request_is_not_written_to_a_connection_whose_end_arrived_in_the_same_turn() {
    let mut harness = Harness::with(|c| c["settings"]["classes"][2]["semantics"] = "at_most_once".into());
    let mut client = harness.connect_client();
    client.write(&edit(1, 1));
    let mut first = harness.accept(|harness| &harness.origin);
    assert_eq!(harness.read_command(&mut first)[0], "want");
    first.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client).2[0], 20);
    client.write(&edit(2, 2));
    harness.await_client_input();
    drop(first);
    let token = *harness.proxy.pool.iter().next().unwrap().0;
    let upstream = harness.proxy.pool.get_mut(token).unwrap();
    assert!(
        (0..1_000_000).any(|_| upstream.conn.transport().peek(&mut [0]).is_ok()),
        "the end of the connection is visible"
    );
    let mut second = harness.accept(|harness| &harness.origin);
    assert_eq!(harness.read_command(&mut second)[1], request_id(2));
    second.write(&response(&request_id(2), "ok", "-", "y"));
    assert_eq!(harness.read_frame(&mut client), (8, 2, b"\x14\x00y".to_vec()));
}

/// Fails if `is_still_valid` does not ask for the deduplication window: the dial outlasted it, and the edit was written
/// again.
#[test]
fn an_edit_that_may_have_run_is_not_written_again_after_its_deduplication_window() {
    let mut harness = Harness::with(|c| c["settings"]["classes"][2]["window-us"] = 100_000.into());
    let mut client = harness.connect_client();
    client.write(&edit(1, 1));
    let mut origin = harness.accept(|harness| &harness.origin);
    assert_eq!(harness.read_command(&mut origin)[0], "want");
    origin.write(&response(&request_id(1), "error", "-", ""));
    harness.wait_until("the next dial", |proxy| (proxy.pool.len() == 2).then_some(()));
    harness.proxy.clock.skip(150 * MILLISECOND);
    let mut again = harness.accept(|harness| &harness.origin);
    assert_eq!(
        harness.read_frame(&mut client),
        (8, 1, vec![51, 0]),
        "the edit may have run: the response must not say that a repeat is safe"
    );
    harness.expect_silence(&mut again);
    assert_eq!(harness.proxy.metrics.dropped_attempts, 1);
}

/// Fails if `is_still_valid` does not ask for the deduplication scope: while the second attempt waited for its dial, the
/// list moved its target, or the source of its fill, to a zone that does not discard repeats of the first attempt.
#[test]
fn a_keyed_request_that_may_have_run_is_not_written_to_an_endpoint_that_left_its_deduplication_scope() {
    let key = [("nonce", "5c0f6e1a2b3d4c59")];
    type Listener = fn(&Harness) -> &StdListener;
    let cases: [(&str, &str, Listener); 2] =
        [("edit", ORIGIN, |harness| &harness.origin), ("clip", ORIGIN, |harness| &harness.cache)];
    for (route, moved, listener) in cases {
        let mut harness = Harness::with(|c| {
            let settings = &mut c["settings"];
            settings["failure-domains"] = serde_json::json!(["east", "west"]);
            settings["domain"]["crew-by-zone"] = serde_json::json!([1, 0]);
            for class in settings["classes"].as_array_mut().unwrap() {
                class["semantics"] = "deduplicated".into();
                class["dedup-scope"] = "zone".into();
            }
        });
        let mut client = harness.connect_client();
        client.write(&request_with(1, 1, route, &key));
        let mut first = harness.accept(listener);
        assert_eq!(harness.read_command(&mut first)[1], request_id(1));
        first.write(&response(&request_id(1), "error", "-", ""));
        harness.wait_until("the next dial", |proxy| (proxy.pool.len() == 2).then_some(()));
        harness.move_to_zone(moved, 1);
        let mut again = harness.accept(listener);
        assert_eq!(harness.read_frame(&mut client), (8, 1, vec![51, 0]), "{route}");
        harness.expect_silence(&mut again);
        assert_eq!(harness.proxy.metrics.dropped_attempts, 1, "{route}");
    }
}

/// Fails if a connection is used after its endpoint has another address: what listens at the old one may be another
/// endpoint by now. The change of address waits for the router, is known to it, or comes with the endpoint's return.
#[test]
fn a_request_is_not_written_to_a_connection_to_the_former_address_of_its_endpoint() {
    type Change = fn(&mut Harness, Entry);
    let unannounced: Change = |harness, entry| {
        let proxy = &mut harness.proxy;
        proxy.discovery.endpoint_list.upsert(proxy.now, entry).unwrap();
    };
    let announced: Change = |harness, entry| {
        let address = entry.address;
        harness.update_cache_entry(|listed| listed.address = address);
    };
    let returned: Change = |harness, entry| {
        harness.update_cache_entry(|listed| listed.state = EndpointState::Removed);
        let proxy = &mut harness.proxy;
        proxy.discovery.endpoint_list.upsert(proxy.now, entry).unwrap();
        proxy.announce_endpoints(usize::MAX);
        proxy.process_events();
    };
    for change in [returned, announced, unannounced] {
        let mut harness = Harness::new();
        let (mut client, mut former, _) = harness.forward_request();
        let new_owner = StdListener::bind("127.0.0.1:0").unwrap();
        let entry = harness.proxy.discovery.endpoint_list.entry(CACHE).unwrap().clone();
        change(&mut harness, Entry { address: new_owner.local_addr().unwrap(), ..entry });
        client.write(&request(2, 2, "clip"));
        harness.await_client_input();
        harness.expect_silence(&mut former);
    }
}

// ---- eviction ----

/// A complete request that is unread when its connection is chosen for eviction is accepted, for each of the
/// three kinds of eviction. Fails if `make_room` and `free_descriptor` close a connection without checking
/// for unread input.
#[test]
fn a_request_that_has_arrived_is_accepted_before_its_connection_is_evicted() {
    type Evict = fn(&mut Harness);
    let evict_silent = |harness: &mut Harness| {
        harness.proxy.bounds.silent_clients = 1;
        harness.proxy.make_room();
    };
    let evict_least_used = |harness: &mut Harness| {
        harness.proxy.bounds.clients = 1;
        harness.proxy.make_room();
    };
    let free_descriptor = |harness: &mut Harness| {
        harness.proxy.free_descriptor();
    };
    let cases: [(&str, Evict, bool, bool); 5] = [
        ("never sent a message", evict_silent, false, false),
        ("least used", evict_least_used, true, false),
        ("least used, partial message", evict_least_used, true, true),
        ("a descriptor", free_descriptor, true, false),
        ("a descriptor, partial message", free_descriptor, true, true),
    ];
    for (what, evict, has_sent, partial) in cases {
        let mut harness = Harness::new();
        let mut client = harness.connect_client();
        harness.wait_until("the client", |proxy| (proxy.clients.len() == 1).then_some(()));
        if has_sent {
            client.write(&frame(1, 0, &fields(&[])));
            assert_eq!(harness.read_frame(&mut client).0, 2);
        }
        let bytes = request(1, 1, "clip");
        let sent = if partial { 20 } else { 0 };
        client.write(&bytes[..sent]);
        if partial {
            harness.wait_until("the partial message", |proxy| {
                proxy.clients.values().any(|c| c.conn.has_partial_message()).then_some(())
            });
        }
        client.write(&bytes[sent..]);
        harness.await_client_input();
        evict(&mut harness);
        harness.proxy.process_events();
        let mut cache = harness.accept_cache();
        assert_eq!(harness.read_command(&mut cache)[1], request_id(1), "{what}");
        cache.write(&response(&request_id(1), "ok", "-", "x"));
        assert_eq!(harness.read_frame(&mut client), (8, 1, b"\x14\x00x".to_vec()), "{what}");
    }
}

/// Guards against a further attempt for a request whose cancellation is unread because the client does not read its
/// responses and so its connection is not read either.
#[test]
fn a_cancellation_on_a_connection_that_is_not_read_prevents_further_attempts() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    let token = harness.only_client();
    let now = harness.proxy.now;
    let conn = &mut harness.proxy.clients.get_mut(&token).unwrap().conn;
    conn.queue(vec![0; 16 << 20]);
    conn.flush(now);
    assert!(conn.backlog() > BACKLOG_HIGH_WATER);
    harness.proxy.after_client_write(token);
    client.write(&[request(2, 2, "clip"), frame(9, 1, &[])].concat());
    harness.await_client_input();
    cache.write(&response(&request_id(1), "nothing", "-", ""));
    let events = harness.events.clone();
    harness.wait_until("the end of the attempt", |_| (events.outcome_count() >= 1).then_some(()));
    assert_eq!(harness.attempts(), 1, "no attempt is sent for a cancelled request");
    assert!(harness.proxy.requests.by_id.is_empty());
}

impl RecordedEvents {
    fn outcome_count(&self) -> usize {
        self.all().iter().filter(|e| matches!(e, Event::Outcome(_))).count()
    }
}
