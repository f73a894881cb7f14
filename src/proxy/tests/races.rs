//! Two events that cross: each test makes the bad order happen, on real connections, every time.

use super::*;
use rustix::net::sockopt;

impl Harness {
    fn only_client(&self) -> Token {
        *self.proxy.clients.tokens().first().unwrap()
    }

    /// Waits until the machine has brought what its one client did last, without a turn of the instance's.
    pub(super) fn brought(&mut self) {
        let token = self.only_client();
        let client = self.proxy.clients.get_mut(&token).unwrap();
        let come = (0..1_000_000).any(|_| client.conn.transport().peek(&mut [0]).is_ok());
        assert!(come, "never brought");
    }

    /// Its one client may send more than one turn reads without a turn of the instance's.
    fn takes_much(&mut self) {
        self.wait_until("the client", |proxy| (proxy.clients.len() == 1).then_some(()));
        let token = self.only_client();
        let stream = self.proxy.clients.get_mut(&token).unwrap().conn.transport();
        sockopt::set_socket_recv_buffer_size(&*stream, 200_000).unwrap();
    }

    /// Takes what its one client did before all else that the poll may tell of.
    fn hear_client(&mut self) {
        self.brought();
        let (token, readable, writable, ended) = (self.only_client(), true, false, false);
        self.proxy.handle_ready(Ready { token, readable, writable, ended });
    }

    /// Time passes before the next turn.
    fn late(&mut self, span: Micros) {
        self.proxy.clock.skip(span);
        self.proxy.now = self.proxy.clock.now();
    }

    /// The connection ends, and not by a reset.
    fn ends_well(&mut self, peer: &mut Peer) {
        self.expect_end(peer);
        assert!(!peer.reset, "reset");
    }

    fn attempts(&self) -> u64 {
        self.proxy.metrics.attempts
    }
}

fn edit(stream: u32, number: u32) -> Vec<u8> {
    request_with(stream, number, "edit", &[("nonce", "5c0f6e1a2b3d4c59")])
}

/// An edit of the most bytes that one may have.
fn large_edit(stream: u32, number: u32) -> Vec<u8> {
    let short = edit(stream, number);
    let body = [&short[9..], &vec![b'x'; 47_000][..]].concat();
    frame(7, stream, &body)
}

// ---- the client goes ----

/// Seen failing where `abandon_request` calls nothing off and `write_attempt` does not look at the end of the request: an
/// edit, and where nothing may be cancelled any request, was written once the dial came up.
#[test]
fn who_goes_while_its_request_waits_for_a_dial_has_no_attempt() {
    let leaves = |_: &mut Peer| true;
    let cancels = |client: &mut Peer| {
        client.write(&frame(9, 1, &[]));
        false
    };
    for (route, may_cancel) in [("edit", true), ("edit", false), ("clip", false)] {
        for goes in [leaves as fn(&mut Peer) -> bool, cancels] {
            let mut harness = Harness::with(|c| c["settings"]["limits"]["may-cancel"] = may_cancel.into());
            let mut client = harness.connect_client();
            client.write(&if route == "edit" { edit(1, 1) } else { request(1, 1, route) });
            harness.wait_until("the dial", |proxy| (proxy.pool.len() == 1).then_some(()));
            if goes(&mut client) {
                drop(client);
            }
            harness.hear_client();
            assert!(harness.proxy.requests.by_id.is_empty(), "what nobody waits for holds nothing");
            let mut endpoint = if route == "edit" {
                harness.accept(|harness| &harness.origin)
            } else {
                harness.accept_cache()
            };
            harness.wait_until("the dial's end", |proxy| {
                proxy.pool.iter().all(|l| l.1.conn.is_open()).then_some(())
            });
            harness.expect_silence(&mut endpoint);
            assert_eq!(harness.outcomes(), [(AttemptStatus::Cancelled, true)]);
        }
    }
}

/// Seen failing where `cancel_unwritten_attempt` leaves what is half written: the rest came to the origin after its client had left.
#[test]
fn who_leaves_while_its_request_is_half_written_has_it_broken_off() {
    let mut harness = Harness::new();
    // A first edit brings the connection up; then neither end has room for a large one.
    let mut client = harness.connect_client();
    client.write(&edit(1, 1));
    let mut origin = harness.accept(|harness| &harness.origin);
    assert_eq!(harness.read_command(&mut origin)[0], "want");
    origin.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client).2[0], 20);
    sockopt::set_socket_recv_buffer_size(&origin.stream, 1).unwrap();
    let token = *harness.proxy.pool.iter().next().unwrap().0;
    let link = harness.proxy.pool.get_mut(token).unwrap();
    sockopt::set_socket_send_buffer_size(&*link.conn.transport(), 1).unwrap();
    client.write(&large_edit(2, 2));
    harness.wait_until("a part", |proxy| (proxy.pool.get_mut(token)?.conn.backlog() > 0).then_some(()));
    drop(client);
    harness.hear_client();
    assert!(harness.proxy.requests.by_id.is_empty());
    harness.expect_end(&mut origin);
    let text = String::from_utf8_lossy(&origin.received);
    assert!(
        text.contains("want") && !text.contains("never_mind") && command_begun(&origin.received),
        "{}",
        text.len()
    );
}

/// Whether there is the beginning of a command and not all of it.
fn command_begun(bytes: &[u8]) -> bool {
    !bytes.is_empty() && bytes.len() < 47_000
}

/// Seen failing where `client_ready` acts on what came before it looks whether the client is still there.
#[test]
fn what_comes_with_the_end_of_its_connection_goes_to_no_endpoint() {
    // The second is more than one turn reads.
    for bytes in [request(1, 1, "clip"), (1..=3).flat_map(|n| large_edit(n, n)).collect()] {
        let mut harness = Harness::new();
        let mut client = harness.connect_client();
        harness.takes_much();
        client.write(&bytes);
        drop(client);
        harness.wait_until("its end", |proxy| proxy.clients.is_empty().then_some(()));
        assert_eq!((harness.attempts(), harness.proxy.pool.len()), (0, 0));
    }
}

/// Seen failing without the look at the end of the request in `write_attempt` and `cancel_unwritten_attempt` in `fail_open_requests`.
#[test]
fn what_a_drain_has_answered_is_not_written_when_its_dial_comes_up() {
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

/// Seen failing where `Connection::flush` closes once all is written: over what was not read that is a reset.
#[test]
fn who_goes_on_sending_after_what_can_not_be_read_still_gets_its_answer() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    // More than one turn reads, all of it there before the answer.
    harness.takes_much();
    client.write(&[frame(77, 1, &[]), vec![0; 190_000]].concat());
    assert_eq!((harness.read_frame(&mut client).1, harness.proxy.metrics.client_protocol_errors), (0, 1));
    harness.ends_well(&mut client);
    drop(client);
    harness.wait_until("its end", |proxy| proxy.clients.is_empty().then_some(()));
}

/// Seen failing where `sweep_clients` closes what is idle without a look at what came since.
#[test]
fn a_request_that_comes_before_its_idle_connection_is_closed_is_served() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    cache.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client).2[0], 20);
    harness.late(IDLE_TIMEOUT + MILLISECOND);
    client.write(&request(2, 2, "clip"));
    harness.brought();
    harness.proxy.sweep();
    harness.proxy.process_events();
    assert_eq!(harness.read_command(&mut cache)[1], request_id(2));
    cache.write(&response(&request_id(2), "ok", "-", "y"));
    assert_eq!(harness.read_frame(&mut client), (8, 2, b"\x14\x00y".to_vec()));
}

/// Guards against closing a connection that its client uses: what came was answered at once, so nothing is open on it,
/// but the next request is on its way.
#[test]
fn an_idle_connection_that_brings_a_message_answered_at_once_stays_open() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    cache.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client).2[0], 20);
    harness.late(IDLE_TIMEOUT + MILLISECOND);
    client.write(&frame(1, 0, &fields(&[])));
    harness.brought();
    harness.proxy.sweep();
    assert_eq!(harness.read_frame(&mut client), (2, 0, vec![20, 0]));
    assert_eq!(harness.open_clients(), 1, "it is in use");
    client.write(&request(2, 2, "clip"));
    assert_eq!(harness.read_command(&mut cache)[1], request_id(2));
    cache.write(&response(&request_id(2), "ok", "-", "y"));
    assert_eq!(harness.read_frame(&mut client), (8, 2, b"\x14\x00y".to_vec()));
    // One that brings nothing more is idle again.
    harness.late(IDLE_TIMEOUT + MILLISECOND);
    harness.proxy.sweep();
    harness.ends_well(&mut client);
}

/// Guards against the same where a connection is to make room: another that brings nothing goes in its place.
#[test]
fn a_connection_that_brings_a_message_answered_at_once_does_not_make_room() {
    let mut harness = Harness::new();
    let ready = frame(1, 0, &fields(&[]));
    let mut used = harness.connect_client();
    used.write(&ready);
    assert_eq!(harness.read_frame(&mut used).0, 2);
    let used_token = harness.only_client();
    harness.late(MILLISECOND);
    let mut idle = harness.connect_client();
    idle.write(&ready);
    assert_eq!(harness.read_frame(&mut idle).0, 2);
    harness.late(MILLISECOND);
    used.write(&ready);
    let conn = &mut harness.proxy.clients.get_mut(&used_token).unwrap().conn;
    assert!((0..1_000_000).any(|_| conn.transport().peek(&mut [0]).is_ok()), "never brought");
    harness.proxy.bounds.clients = 2;
    harness.proxy.make_room();
    harness.ends_well(&mut idle);
    assert_eq!(harness.read_frame(&mut used).0, 2);
    assert!(harness.proxy.clients.get(&used_token).is_some_and(|client| client.conn.is_open()));
}

/// Guards against a reset, and a request without its answer, where a standby ends what is not whole.
#[test]
fn a_request_that_has_come_is_answered_before_a_standby_ends_its_connection() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    client.write(&frame(1, 0, &fields(&[])));
    assert_eq!(harness.read_frame(&mut client).0, 2);
    assert_eq!(harness.call("standby\n"), "done standby\n");
    assert_eq!(harness.read_frame(&mut client).0, 3);
    let bytes = request(1, 1, "clip");
    client.write(&bytes[..20]);
    harness.wait_until("the half", |proxy| {
        proxy.clients.values().any(|c| c.conn.has_partial_message()).then_some(())
    });
    harness.late(3_600 * MILLISECOND);
    client.write(&bytes[20..]);
    harness.brought();
    harness.proxy.sweep();
    assert_eq!(harness.read_frame(&mut client).2[0], 50, "refused, not lost");
    harness.ends_well(&mut client);
}

/// A request that crosses the close finds an end, no reset, and is not sent on. Seen failing with `close` in place of
/// `finish` in `finish_client`.
#[test]
fn a_request_that_crosses_the_close_of_its_connection_is_not_sent_on() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    cache.write(&response(&request_id(1), "ok", "-", &"x".repeat(200_000)));
    harness.wait_until("the answer", |proxy| proxy.requests.by_id.is_empty().then_some(()));
    let token = harness.only_client();
    harness.wait_until("all of it", |proxy| {
        (proxy.clients.get(&token).unwrap().conn.backlog() == 0).then_some(())
    });
    harness.proxy.finish_client(token);
    client.write(&request(2, 2, "clip"));
    harness.brought();
    harness.expect_silence(&mut cache);
    assert_eq!(harness.read_frame(&mut client).2.len(), 200_002, "the last answer is whole");
    harness.ends_well(&mut client);
    assert_eq!(harness.attempts(), 1);
    drop(client);
    harness.wait_until("its end", |proxy| proxy.clients.is_empty().then_some(()));
}

/// Clients that rest after they were told of the end, hundreds of them, take no place of others.
/// Seen failing without `CLOSE_TIMEOUT` in `sweep_clients`, and without the bound on them in `make_room`.
#[test]
fn connections_on_their_way_out_have_a_bound_and_an_end() {
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
    harness.late(CLOSE_TIMEOUT + MILLISECOND);
    harness.proxy.sweep();
    assert_eq!(ending(&harness.proxy), 0);
    // The first was idle for longest; the last is there.
    harness.ends_well(&mut resting[0]);
    let last = resting.last_mut().unwrap();
    last.write(&frame(1, 0, &fields(&[])));
    assert_eq!(harness.read_frame(last).0, 2);
}

/// Clients that have asked once and then begin a message take all places; the next is still taken. Seen failing (it
/// looked for ever) where `make_room` goes on with those that are idle but for half a message.
#[test]
fn half_messages_on_all_connections_do_not_keep_the_next_client_out() {
    let mut harness = Harness::new();
    harness.proxy.bounds.clients = 3;
    let ready = frame(1, 0, &fields(&[]));
    let mut halves: Vec<Peer> = (0..3).map(|_| harness.connect_client()).collect();
    for half in &mut halves {
        half.write(&ready);
        assert_eq!(harness.read_frame(half).0, 2);
        half.write(&ready[..3]);
    }
    let partial =
        |proxy: &mut Proxy| proxy.clients.values().filter(|c| c.conn.has_partial_message()).count() == 3;
    harness.wait_until("the halves", |proxy| partial(proxy).then_some(()));
    let mut next = harness.connect_client();
    next.write(&ready);
    assert_eq!(harness.read_frame(&mut next).0, 2);
    harness.ends_well(&mut halves[0]);
    assert_eq!(harness.open_clients(), 3);
}

// ---- the process ends ----

/// Seen failing where `run` ends at once: what came since the last turn was lost with a reset.
#[test]
fn what_comes_in_the_last_moment_of_a_process_is_answered_and_all_see_an_end() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    cache.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client).2[0], 20);
    let mut resting = harness.connect_client();
    harness.wait_until("the other", |proxy| (proxy.clients.len() == 2).then_some(()));
    harness.proxy.shut_down();
    harness.late(1_000 * MILLISECOND);
    assert!(harness.proxy.is_drained(), "nothing is known that is still owed");
    client.write(&request(2, 2, "clip"));
    let endpoint = std::thread::spawn(move || {
        cache.stream.set_nonblocking(false).unwrap();
        let mut chunk = [0; 4096];
        while decode_command(&mut cache.received).is_none() {
            let n = cache.stream.read(&mut chunk).unwrap();
            assert!(n > 0, "the request came to no depot");
            cache.received.put_slice(&chunk[..n]);
        }
        cache.write(&response(&request_id(2), "ok", "-", "y"));
        cache
    });
    harness.proxy.run_to_completion().unwrap();
    for peer in [&mut client, &mut resting] {
        peer.read_available();
        assert!(peer.ended && !peer.reset, "the end is there before the process is gone");
    }
    drop(harness);
    drop(endpoint.join().unwrap());
    assert_eq!(client.received, [frame(3, 0, &[]), frame(8, 2, b"\x14\x00y")].concat());
}

/// Seen failing without the look at `last_answers` in `Lifecycle::begins`: nobody awaits how such a one ends.
#[test]
fn a_request_that_comes_after_the_last_answers_of_a_drain_is_refused_at_once() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    harness.proxy.shut_down();
    assert_eq!(harness.read_frame(&mut client).0, 3);
    let last = harness.proxy.lifecycle.last_answer_at().unwrap();
    harness.skip(last - harness.proxy.now);
    assert_eq!(harness.read_frame(&mut client), (8, 1, vec![51, 0]));
    assert_eq!(harness.read_command(&mut cache)[0], "never_mind");
    client.write(&request(2, 2, "clip"));
    assert_eq!(harness.read_frame(&mut client).2[0], 50);
    harness.expect_silence(&mut cache);
    assert!(harness.proxy.is_drained());
}

// ---- answers and attempts ----

/// The second answer to the first attempt comes where the next one has the same name. Seen failing where a
/// connection that brought an answer may carry the next attempt: it ended that one, which was still out.
#[test]
fn a_second_answer_does_not_end_the_next_attempt() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    cache.write(
        &[response(&request_id(1), "nothing", "-", ""), response(&request_id(1), "nothing", "-", "")]
            .concat(),
    );
    let mut next = harness.accept_cache();
    assert_eq!(harness.read_command(&mut next)[1], request_id(1));
    harness.expect_silence(&mut cache);
    assert_eq!((harness.attempts(), harness.outcomes().len()), (2, 1), "one has ended, one is out");
    next.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client), (8, 1, b"\x14\x00x".to_vec()));
    assert_eq!(harness.proxy.metrics.late_responses, 1);
}

/// The answer after which another endpoint would be tried, and the end of the client, in one turn; the answer came first.
/// Seen failing where events are taken in the order of the poll: a second attempt began.
#[test]
fn who_goes_in_the_turn_of_an_answer_has_no_further_attempt() {
    let mut harness = Harness::new();
    let (client, mut cache, _) = harness.forward_request();
    cache.write(&response(&request_id(1), "nothing", "-", ""));
    let token = *harness.proxy.pool.iter().next().unwrap().0;
    let link = harness.proxy.pool.get_mut(token).unwrap();
    assert!((0..1_000_000).any(|_| link.conn.transport().peek(&mut [0]).is_ok()), "the answer is there");
    drop(client);
    harness.brought();
    harness.wait_until("the end", |proxy| proxy.requests.by_id.is_empty().then_some(()));
    assert_eq!(harness.attempts(), 1);
}

/// An edit that may have run is not sent again where the class must not: on a connection that had ended before it was
/// written, each such would be lost for nothing. Seen failing where events are taken in the order of the poll.
#[test]
fn a_request_is_not_written_on_a_connection_whose_end_came_in_the_same_turn() {
    let mut harness = Harness::with(|c| c["settings"]["classes"][2]["semantics"] = "at_most_once".into());
    let mut client = harness.connect_client();
    client.write(&edit(1, 1));
    let mut first = harness.accept(|harness| &harness.origin);
    assert_eq!(harness.read_command(&mut first)[0], "want");
    first.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client).2[0], 20);
    client.write(&edit(2, 2));
    harness.brought();
    drop(first);
    let token = *harness.proxy.pool.iter().next().unwrap().0;
    let link = harness.proxy.pool.get_mut(token).unwrap();
    assert!((0..1_000_000).any(|_| link.conn.transport().peek(&mut [0]).is_ok()), "the end is there");
    let mut second = harness.accept(|harness| &harness.origin);
    assert_eq!(harness.read_command(&mut second)[1], request_id(2));
    second.write(&response(&request_id(2), "ok", "-", "y"));
    assert_eq!(harness.read_frame(&mut client), (8, 2, b"\x14\x00y".to_vec()));
}

/// Seen failing without `repeat_by` in `still_fits`: the dial outlasted the window, and the edit was written again.
#[test]
fn an_edit_that_may_have_run_is_not_written_again_once_its_window_is_over() {
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
        "it may have run: no word that a repeat does no harm"
    );
    harness.expect_silence(&mut again);
    assert_eq!(harness.proxy.metrics.dropped_attempts, 1);
}

// ---- room is made ----

/// Whole requests that are there unread when their connection is to make room are taken: each of the three ways.
/// Seen failing where `make_room` and `free_descriptor` end a connection without a look at what has come.
#[test]
fn a_request_that_has_come_is_taken_before_its_connection_makes_room() {
    type MakesRoom = fn(&mut Harness);
    let mute = |harness: &mut Harness| {
        harness.proxy.bounds.silent_clients = 1;
        harness.proxy.make_room();
    };
    let least_used = |harness: &mut Harness| {
        harness.proxy.bounds.clients = 1;
        harness.proxy.make_room();
    };
    let descriptor = |harness: &mut Harness| {
        harness.proxy.free_descriptor();
    };
    let ways: [(&str, MakesRoom, bool, bool); 5] = [
        ("never asked", mute, false, false),
        ("least used", least_used, true, false),
        ("least used, half a message", least_used, true, true),
        ("a descriptor", descriptor, true, false),
        ("a descriptor, half a message", descriptor, true, true),
    ];
    for (what, makes_room, asked, half) in ways {
        let mut harness = Harness::new();
        let mut client = harness.connect_client();
        harness.wait_until("the client", |proxy| (proxy.clients.len() == 1).then_some(()));
        if asked {
            client.write(&frame(1, 0, &fields(&[])));
            assert_eq!(harness.read_frame(&mut client).0, 2);
        }
        let bytes = request(1, 1, "clip");
        let begun = if half { 20 } else { 0 };
        client.write(&bytes[..begun]);
        if half {
            harness.wait_until("the half", |proxy| {
                proxy.clients.values().any(|c| c.conn.has_partial_message()).then_some(())
            });
        }
        client.write(&bytes[begun..]);
        harness.brought();
        makes_room(&mut harness);
        harness.proxy.process_events();
        let mut cache = harness.accept_cache();
        assert_eq!(harness.read_command(&mut cache)[1], request_id(1), "{what}");
        cache.write(&response(&request_id(1), "ok", "-", "x"));
        assert_eq!(harness.read_frame(&mut client), (8, 1, b"\x14\x00x".to_vec()), "{what}");
    }
}

/// A cancel that lies behind the answers that its client does not read is heeded: no further attempt is sent.
/// Seen failing: the further attempt was sent.
#[test]
fn a_cancel_on_a_connection_that_is_not_read_has_no_further_attempt() {
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
    harness.brought();
    cache.write(&response(&request_id(1), "nothing", "-", ""));
    let events = harness.events.clone();
    harness.wait_until("the end of the attempt", |_| (events.outcome_count() >= 1).then_some(()));
    assert_eq!(harness.attempts(), 1, "sent for nobody");
    assert!(harness.proxy.requests.by_id.is_empty());
}

impl RecordedEvents {
    fn outcome_count(&self) -> usize {
        self.all().iter().filter(|e| matches!(e, Event::Outcome(_))).count()
    }
}
