//! Memory that peers make the process hold: it is counted as it is taken, and the bound holds between two sweeps.

use super::*;
use crate::net::memory::MemoryUse;

/// Limit of the process in MB; its budget is three eighths of it.
const MEMORY_MB: usize = 2;
/// Size of a request's body in bytes, near the maximum.
const BODY_BYTES: usize = 47_000;
/// Number of bytes of such a request that a client sends at first.
const SENT_BYTES: usize = 46_000;
/// Size of a response's body in bytes.
const BODY_OF_RESPONSE: usize = 200_000;
/// Number of requests that each of the clients which don't read has open.
const OPEN_REQUESTS: u32 = 30;

/// Number of turns for which clients go on without reading after the first upstream was paused.
const TURNS_WITHOUT_READING: u32 = 50;
/// Real time in which a client can fill the system's buffers of a connection that is not read.
const FILL_TIME: Duration = Duration::from_millis(300);

/// Starts a proxy with a small memory limit.
fn small() -> Harness {
    Harness::with(|config| config["limits"]["memory_mb"] = MEMORY_MB.into())
}

/// Encodes a request with a large body.
fn large_request(stream: u32, number: u32) -> Vec<u8> {
    let id = request_id(number);
    let list = [("route", "clip"), ("trace", &id), ("patience", "6000"), ("entity", "7f3a9c21e0b4d655")];
    let mut payload = fields(&list);
    payload.extend([b'e'; BODY_BYTES]);
    frame(7, stream, &payload)
}

/// Connects a client that has asked whether the process is ready.
fn used_client(harness: &mut Harness) -> Peer {
    let mut peer = harness.connect_client();
    peer.write(&frame(1, 0, &fields(&[])));
    harness.read_frame(&mut peer);
    peer
}

/// Returns the number of clients of whose message a part has arrived.
fn partial_messages(proxy: &Proxy) -> usize {
    proxy.clients.values().filter(|client| client.has_partial_message()).count()
}

/// Guards against partial messages of many clients that take more memory than the process may have, because only a sweep
/// looked at them (review/6). A request whose content was discarded still gets its one answer.
#[test]
fn partial_messages_are_discarded_as_the_budget_fills_and_their_requests_rejected() {
    for is_used in [true, false] {
        let mut harness = small();
        let mut peers = Vec::new();
        for number in 1..=24 {
            let mut peer = if is_used { used_client(&mut harness) } else { harness.connect_client() };
            peer.write(&large_request(1, number)[..SENT_BYTES]);
            harness.wait_until("the partial message", |proxy| {
                assert!(proxy.memory.used() <= proxy.memory.limit());
                (partial_messages(proxy) == number as usize).then_some(())
            });
            peers.push(peer);
        }
        assert!(harness.proxy.memory.allows(MemoryUse::PartialMessage, 0));
        let discarded = harness.proxy.metrics.discarded_messages;
        assert!(discarded >= 10, "24 messages of 46 KB and a share of 512 KB: {discarded}");
        let mut rejected = 0;
        for (peer, number) in peers.iter_mut().zip(1..) {
            peer.write(&large_request(1, number)[SENT_BYTES..]);
            harness.wait_until("the request or its rejection", |proxy| {
                peer.read_available();
                let is_rejected = peer.received.get(4..10) == Some(&[8, 0, 0, 0, 1, 50]);
                rejected += u64::from(is_rejected);
                (is_rejected || proxy.requests.contains(&request_id(number).as_str().into())).then_some(())
            });
        }
        assert_eq!(harness.proxy.metrics.client_protocol_errors, 0);
        assert!(
            rejected >= harness.proxy.metrics.discarded_requests && rejected >= discarded,
            "used: {is_used}"
        );
    }
}

/// Guards against a message that never ends and outlives one that its client still writes.
#[test]
fn a_message_that_stopped_is_discarded_before_one_that_still_arrives() {
    let mut harness = small();
    let mut stopped = used_client(&mut harness);
    let mut writing = used_client(&mut harness);
    stopped.write(&large_request(1, 1)[..20_000]);
    harness.wait_until("the first part", |proxy| (partial_messages(proxy) == 1).then_some(()));
    harness.skip(300 * MILLISECOND);
    writing.write(&large_request(1, 2)[..40_000]);
    harness.wait_until("the second part", |proxy| (partial_messages(proxy) == 2).then_some(()));
    let others = harness.proxy.memory.limit() / 12 * 8 - harness.proxy.memory.used() + 1;
    let held = harness.proxy.memory.reserve(others);
    harness.proxy.discard_partial_messages();
    assert_eq!(harness.proxy.metrics.discarded_messages, 1);
    drop(held);
    writing.write(&large_request(1, 2)[40_000..]);
    harness.wait_until("the request", |proxy| {
        proxy.requests.contains(&request_id(2).as_str().into()).then_some(())
    });
}

/// Guards against requests that wait unhandled for the rest of their client's input without being counted, and run although
/// their cancellation is unread.
#[test]
fn requests_that_wait_for_the_rest_of_the_input_are_counted_and_rejected_at_the_bound() {
    let mut harness = small();
    let mut client = used_client(&mut harness);
    client.stream.set_nonblocking(false).unwrap();
    let mut stream = client.stream.try_clone().unwrap();
    let writer = std::thread::spawn(move || {
        for number in 1..=32 {
            stream.write_all(&large_request(number, number)).unwrap();
        }
    });
    let token = harness.proxy.clients.tokens()[0];
    harness.proxy.clients.get_mut(&token).unwrap().conn.pause(true);
    std::thread::sleep(FILL_TIME);
    harness.proxy.turn().unwrap();
    harness.proxy.clients.get_mut(&token).unwrap().conn.pause(false);
    harness.proxy.unfinished_reads.push(token);
    let mut answered = 0;
    client.stream.set_nonblocking(true).unwrap();
    harness.wait_until("an answer or an attempt for each request", |proxy| {
        assert!(proxy.memory.used() <= proxy.memory.limit(), "{}", proxy.memory.used());
        client.read_available();
        while let Some((code, _)) = take_response(&mut client.received) {
            assert_eq!(code, 50);
            answered += 1;
        }
        (answered + proxy.requests.len() == 32).then_some(())
    });
    writer.join().unwrap();
    assert!(answered > 0, "32 requests of 47 KB don't fit into 768 KB");
}

/// Removes a response frame and returns its code and the length of its body.
fn take_response(bytes: &mut BytesMut) -> Option<(u8, usize)> {
    let length = u32::from_be_bytes(*bytes.first_chunk()?) as usize;
    let frame = (bytes.len() >= 4 + length).then(|| bytes.split_to(4 + length))?;
    Some((frame[9], frame.len() - 11))
}

/// Guards against responses for clients that read slowly, which took memory without a bound; to keep it, requests that
/// were accepted were dropped with their client (slow-readers-memory of the reviews).
#[test]
fn responses_for_clients_that_do_not_read_wait_at_the_endpoint_and_all_arrive() {
    let mut harness = small();
    let clients = 3;
    let mut peers: Vec<Peer> = (0..clients).map(|_| used_client(&mut harness)).collect();
    for peer in &peers {
        sockopt::set_socket_recv_buffer_size(&peer.stream, 65_536).unwrap();
    }
    for (peer, first) in peers.iter_mut().zip((0..).step_by(OPEN_REQUESTS as usize)) {
        peer.write(&(1..=OPEN_REQUESTS).flat_map(|n| request(n, first + n, "clip")).collect::<Vec<u8>>());
    }
    let body = "x".repeat(BODY_OF_RESPONSE);
    let total = clients * OPEN_REQUESTS as usize;
    let listener = harness.cache.try_clone().unwrap();
    let mut caches: Vec<(Peer, Vec<u8>)> = Vec::new();
    let (mut asked, mut answered, mut served) = (0, 0, 0);
    let (mut is_reading, mut turns_paused) = (false, 0);
    harness.wait_until("all responses", |proxy| {
        assert!(proxy.memory.used() <= proxy.memory.limit() + BODY_OF_RESPONSE, "{}", proxy.memory.used());
        caches.extend(listener.accept().ok().map(|accepted| (Peer::new(accepted.0), Vec::new())));
        for (cache, output) in &mut caches {
            cache.read_available();
            while let Some(command) = decode_command(&mut cache.received) {
                asked += 1;
                output.extend(response(&command[1], "ok", "-", &body));
            }
            let written = cache.stream.write(output).unwrap_or(0);
            output.drain(..written);
        }
        turns_paused += u32::from(proxy.metrics.paused_upstream_reads > 0);
        is_reading |= turns_paused > TURNS_WITHOUT_READING;
        for peer in peers.iter_mut().filter(|_| is_reading) {
            peer.read_available();
            while let Some((code, body_length)) = take_response(&mut peer.received) {
                assert!(code == 20 && body_length == BODY_OF_RESPONSE || code == 50, "{code} {body_length}");
                served += usize::from(code == 20);
                answered += 1;
            }
        }
        (answered == total).then_some(())
    });
    assert_eq!((served, harness.proxy.clients.len()), (asked, clients), "each attempt served its request");
    assert_eq!(harness.proxy.metrics.upstream_protocol_errors, 0);
    assert_eq!(harness.proxy.memory.used(), 0);
}

/// Guards against small answers that take many times their size, and against a client that asks without reading.
#[test]
fn a_client_that_asks_without_reading_is_not_read_further() {
    let mut harness = small();
    let mut client = used_client(&mut harness);
    sockopt::set_socket_recv_buffer_size(&client.stream, 4096).unwrap();
    let questions = frame(1, 0, &fields(&[])).repeat(10_000);
    let mut sent = 0;
    for _ in 0..400 {
        sent += client.stream.write(&questions[sent % questions.len()..]).unwrap_or(0);
        harness.proxy.timers.set(harness.proxy.now, TimerEvent::AcceptRetry);
        harness.proxy.turn().unwrap();
        assert!(harness.proxy.memory.used() <= harness.proxy.memory.limit());
    }
    let backlog: usize = harness.proxy.clients.values().map(|client| client.conn.backlog()).sum();
    assert!(backlog > 0, "the test sent too little: {sent}");
    assert!(harness.proxy.memory.used() < 2 * backlog + 16_384, "{backlog} {}", harness.proxy.memory.used());
}
