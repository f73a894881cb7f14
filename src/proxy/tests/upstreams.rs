//! Attempts and upstream connections.

use super::*;

#[test]
fn a_cancellation_is_sent_before_the_next_attempt_goes_out_on_another_connection() {
    let mut harness = Harness::new();
    let (_client, mut first, _) = harness.forward_request();
    let id: Id = request_id(1).as_str().into();
    harness.proxy.cancel_attempt(&id, AttemptStatus::Cancelled);
    // The test acts as the router.
    harness.proxy.events.clear();
    // The cancellation is on the wire before the next attempt exists.
    first.stream.set_nonblocking(false).unwrap();
    let mut cancellation = vec![0; resp::encode_cancel(&id).len()];
    first.stream.read_exact(&mut cancellation).unwrap();
    assert_eq!(cancellation, resp::encode_cancel(&id));
    first.stream.set_nonblocking(true).unwrap();
    // A timeout of 0 means as long as the client waits, which is at most the client's timeout.
    harness.proxy.start_attempt(id, CACHE.into(), 0, None);
    let mut second = harness.accept_cache();
    let command = harness.read_command(&mut second);
    let wait = command[2].rsplit_once("w=").unwrap().1.parse::<u64>().unwrap();
    assert!(command[0] == "want" && (1..1_500).contains(&wait), "{command:?}");
    harness.expect_silence(&mut first);
}

#[test]
fn attempts_waiting_for_a_dial_are_dropped_after_a_purge_a_drain_or_an_incomplete_purge_log() {
    let purge = |proxy: &mut Proxy| {
        let scope = Purge::Object(0x7f3a9c21e0b4d655);
        proxy.execute(Command::Purge { scope, when_ms: 1 });
    };
    let drain = |proxy: &mut Proxy| {
        let entry = proxy.discovery.endpoint_list.entry(CACHE).unwrap().clone();
        proxy
            .discovery
            .endpoint_list
            .upsert(proxy.now, Entry { state: EndpointState::Draining, ..entry })
            .unwrap();
    };
    for change in [purge as fn(&mut Proxy), drain, purge_log::start_disconnected_purge_log] {
        let mut harness = Harness::new();
        let mut client = harness.connect_client();
        client.write(&request(1, 1, "clip"));
        harness.wait_until("the dial", |proxy| (proxy.pool.len() == 1).then_some(()));
        change(&mut harness.proxy);
        assert_eq!(harness.read_frame(&mut client).2[0], 50);
        assert_eq!(harness.outcomes(), [(AttemptStatus::NeverSent, false)]);
        let mut cache = harness.accept_cache();
        harness.expect_silence(&mut cache);
        assert_eq!(harness.proxy.metrics.dropped_attempts, 1);
    }
}

#[test]
fn all_attempts_waiting_for_a_dial_end_when_the_connection_breaks_at_once() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    client.write(&[request(1, 1, "clip"), request(2, 2, "clip")].concat());
    harness.wait_until("the dial", |proxy| (proxy.requests.len() == 2).then_some(()));
    let token = *harness.proxy.pool.iter().next().unwrap().0;
    let waiting = std::mem::take(&mut harness.proxy.pool.get_mut(token).unwrap().waiting);
    assert_eq!(waiting.len(), 2);
    harness.proxy.close_upstream(token);
    waiting.iter().for_each(|id| harness.proxy.write_attempt(id));
    let failed = |e: &&Event| matches!(e, Event::Outcome(o) if o.status == AttemptStatus::ConnectFailed);
    assert_eq!(harness.proxy.events.iter().filter(failed).count(), 2);
}

#[test]
fn unresponsive_connections_are_closed_once_a_dial_fails_too() {
    let mut harness = Harness::new();
    let (_client, _cache, _) = harness.forward_request();
    harness.skip(1_100 * MILLISECOND);
    // The unresponsive connection is not used again: the next request waits for a dial.
    let mut other = harness.connect_client();
    other.write(&request(1, 2, "clip"));
    harness.wait_until("a second dial", |proxy| (proxy.pool.len() == 2).then_some(()));
    let dialing = |upstream: &UpstreamConnection| upstream.conn.state() == State::Dialing;
    let token = *harness.proxy.pool.iter().find(|entry| dialing(entry.1)).unwrap().0;
    harness.proxy.dial_timed_out(token);
    harness.proxy.process_events();
    let outcomes = harness.outcomes();
    assert!(
        outcomes.contains(&(AttemptStatus::ConnectFailed, false))
            && outcomes.contains(&(AttemptStatus::Reset, false))
    );
}

#[test]
fn an_endpoint_reachable_again_after_a_failed_dial_starts_cold() {
    let mut harness = Harness::new();
    let address = harness.cache.local_addr().unwrap();
    drop(std::mem::replace(&mut harness.cache, StdListener::bind("127.0.0.1:0").unwrap()));
    let mut client = harness.connect_client();
    client.write(&request(1, 1, "clip"));
    assert_eq!(harness.read_frame(&mut client).2[0], 50, "no listener: the dial is refused");
    let recorded = harness.events.clone();
    let started = || {
        let events = recorded.all();
        let members = events.iter().filter_map(|e| match e {
            Event::Endpoints { endpoints: members, .. } => Some(members),
            _ => None,
        });
        members.flatten().filter(|m| &*m.id == CACHE).map(|m| m.started_at).max()
    };
    assert_eq!(started(), Some(0), "listed with a start long ago");
    // A process listens at the address again; the endpoint list does not change.
    harness.cache = StdListener::bind(address).unwrap();
    harness.cache.set_nonblocking(true).unwrap();
    client.write(&request(2, 2, "clip"));
    let mut cache = harness.accept_cache();
    assert_eq!(harness.read_command(&mut cache)[0], "want");
    let at = harness.wait_until("a new start time passed to the router", |_| started().filter(|&t| t > 0));
    assert!(
        at <= harness.proxy.now
            && harness.proxy.discovery.endpoint_list.entry(CACHE).unwrap().started_at == at
    );
    // Another request to the same process does not count as a new start.
    let event_count = harness.events.all().len();
    client.write(&request(3, 3, "clip"));
    assert_eq!(harness.read_command(&mut cache)[0], "want");
    assert!(harness.events.all()[event_count..].iter().all(|e| !matches!(e, Event::Endpoints { .. })));
}

#[test]
fn connections_to_a_restarted_endpoint_are_replaced() {
    let mut harness = Harness::new();
    let (mut client, mut old, _) = harness.forward_request();
    old.write(&response(&request_id(1), "ok", "-", "x"));
    harness.read_frame(&mut client);
    let record = Record {
        id: CACHE.to_owned(),
        address: harness.proxy.discovery.endpoint_list.entry(CACHE).unwrap().address,
        state: RecordState::Ready,
        zone: 0,
        kind: 0,
        cell: 0,
        weight: 30.0,
        started_ms: 0,
    };
    harness.proxy.apply_endpoints(false, vec![record.clone()]);
    harness.proxy.process_events();
    assert_eq!(harness.proxy.pool.len(), 1, "a repeated record changes nothing");
    // The restarted endpoint is old enough for its full share of the load that a cold endpoint takes.
    harness.skip(2_000 * MILLISECOND);
    let started = harness.proxy.now + MILLISECOND;
    harness.update_cache_entry(|e| e.started_at = started);
    harness.expect_end(&mut old);
    client.write(&request(2, 2, "clip"));
    let mut replacement = harness.accept_cache();
    assert_eq!(harness.read_command(&mut replacement)[0], "want");
}

#[test]
fn a_malformed_response_ends_only_the_attempts_on_its_connection() {
    // The last response is well formed, but the client named no copy that could be current.
    let unexpected = response(&request_id(1), "current", "-", "");
    for malformed in [&b"*4\r\n$x\r\n"[..], b"+OK\r\n", b"*4\r\n$999999999\r\n", &unexpected] {
        let mut harness = Harness::new();
        let (_client, mut cache, _) = harness.forward_request();
        cache.write(malformed);
        harness.expect_end(&mut cache);
        let mut again = harness.accept_cache();
        assert_eq!(harness.read_command(&mut again)[0], "want");
        assert_eq!(harness.outcomes(), [(AttemptStatus::Reset, false)]);
    }
}

/// Guards the other requests on a connection that stays open after an incomplete response.
#[test]
fn a_stalled_incomplete_response_closes_its_connection() {
    let mut harness = Harness::new();
    let (_client, mut cache, _) = harness.forward_request();
    let whole = response(&request_id(1), "ok", "tag=4be0c1927d55a6f3,minted=1,note=hit", "bytes");
    cache.write(&whole[..whole.len() / 2]);
    harness.wait_until("half a response", |proxy| {
        proxy.pool.iter().any(|entry| entry.1.conn.has_partial_message()).then_some(())
    });
    harness.skip(RESPONSE_STALL_TIMEOUT + MILLISECOND);
    harness.expect_end(&mut cache);
    let mut again = harness.accept_cache();
    assert_eq!(harness.read_command(&mut again)[0], "want");
    assert_eq!(harness.outcomes(), [(AttemptStatus::Reset, false)]);
}

/// Guards against a malformed response ending other requests on the same connection.
#[test]
fn concurrent_requests_to_one_endpoint_get_their_own_connections() {
    let mut harness = Harness::new();
    let (mut client, mut first, _) = harness.forward_request();
    // The second request shares the first connection while another connection is dialed.
    client.write(&request(2, 2, "clip"));
    assert_eq!(harness.read_command(&mut first)[1], request_id(2));
    let mut second = harness.accept_cache();
    harness.wait_until("the spare connection", |proxy| {
        proxy.pool.iter().all(|entry| entry.1.conn.is_open()).then_some(())
    });
    client.write(&request(3, 3, "clip"));
    assert_eq!(harness.read_command(&mut second)[1], request_id(3));
    second.write(b"noise\r\n");
    harness.expect_end(&mut second);
    let events = harness.events.clone();
    harness.wait_until("the reset", |_| {
        (!events.all().iter().all(|e| !matches!(e, Event::Outcome(_)))).then_some(())
    });
    assert_eq!(harness.outcomes(), [(AttemptStatus::Reset, false)], "the other two attempts continue");
}

/// Guards against attempts on idle connections that the endpoint drops sooner than the settings say: the break shows
/// only with the next request, which may have run.
#[test]
fn idle_connections_are_closed_before_the_observed_stale_time() {
    let mut harness = Harness::new();
    harness.proxy.pool.reconfigure(32, 2, 13_500_000); // no spare connections: each dial is for a request
    let (mut client, mut cache, _) = harness.forward_request();
    cache.write(&response(&request_id(1), "ok", "-", "x"));
    harness.read_frame(&mut client);
    harness.skip(2_000 * MILLISECOND);
    client.write(&request(2, 2, "clip"));
    assert_eq!(harness.read_command(&mut cache)[1], request_id(2), "no stale connection was observed yet");
    drop(cache);
    let mut cache = harness.accept_cache();
    assert_eq!(harness.read_command(&mut cache)[1], request_id(2));
    // The bound is set directly because a slow test machine could observe a longer time until the break.
    harness.proxy.pool.lower_stale_after(1_500 * MILLISECOND);
    cache.write(&response(&request_id(2), "ok", "-", "x"));
    harness.read_frame(&mut client);
    harness.skip(1_800 * MILLISECOND);
    harness.expect_end(&mut cache);
    client.write(&request(3, 3, "clip"));
    let mut cache = harness.accept_cache();
    assert_eq!(harness.read_command(&mut cache)[1], request_id(3), "on a new connection");
    // The lowered bound is raised again over time.
    for _ in 0..2_000 {
        harness.proxy.pool.expired(harness.proxy.now);
    }
    cache.write(&response(&request_id(3), "ok", "-", "x"));
    harness.read_frame(&mut client);
    harness.skip(1_800 * MILLISECOND);
    client.write(&request(4, 4, "clip"));
    assert_eq!(harness.read_command(&mut cache)[1], request_id(4));
}

/// Guards against closing idle connections that are soon needed: they are closed only if no other connection to the
/// requested endpoint can be had.
#[test]
fn a_full_pool_closes_an_idle_connection_only_for_a_required_dial() {
    let mut harness = Harness::new();
    harness.proxy.pool.reconfigure(32, 1, 13_500_000);
    let (mut client, mut cache, _) = harness.forward_request();
    for number in 1..3 {
        cache.write(&response(&request_id(number), "ok", "-", "x"));
        harness.read_frame(&mut client);
        client.write(&request(number + 1, number + 1, "clip"));
        assert_eq!(harness.read_command(&mut cache)[1], request_id(number + 1), "on the same connection");
    }
    cache.write(&response(&request_id(3), "ok", "-", "x"));
    harness.read_frame(&mut client);
    client.write(&request_with(4, 4, "edit", &[("nonce", "5c0f6e1a2b3d4c59")]));
    let mut origin = harness.accept(|harness| &harness.origin);
    assert_eq!(harness.read_command(&mut origin)[1], request_id(4));
    harness.expect_end(&mut cache);
}
