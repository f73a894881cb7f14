//! Attempts on upstream connections.

use super::*;

#[test]
fn a_cancelled_attempt_is_announced_before_the_next_is_sent_over_another_connection() {
    let mut w = World::new();
    let (_client, mut first, _) = w.asked();
    let id: Id = trace(1).as_str().into();
    w.proxy.cancel_attempt(&id, AttemptStatus::Cancelled);
    w.proxy.events.clear(); // the test takes the module's part
                            // Nothing of the next attempt exists yet, and word of the end is out already.
    first.stream.set_nonblocking(false).unwrap();
    let mut told = vec![0; resp::encode_cancel(&id).len()];
    first.stream.read_exact(&mut told).unwrap();
    assert_eq!(told, resp::encode_cancel(&id));
    first.stream.set_nonblocking(true).unwrap();
    // 0: as long as the client waits, and that is never beyond its patience.
    w.proxy.start_attempt(id, CACHE.into(), 0, None);
    let mut second = w.cache();
    let want = w.command(&mut second);
    let wait = want[2].rsplit_once("w=").unwrap().1.parse::<u64>().unwrap();
    assert!(want[0] == "want" && (1..1_500).contains(&wait), "{want:?}");
    w.silent(&mut first);
}

#[test]
fn attempts_waiting_for_a_dial_are_dropped_after_a_purge_a_drain_or_an_incomplete_purge_log() {
    let purge = |d: &mut Proxy| {
        let scope = Purge::Object(0x7f3a9c21e0b4d655);
        d.execute(Command::Purge { scope, when_ms: 1 });
    };
    let drain = |d: &mut Proxy| {
        let entry = d.discovery.endpoint_list.entry(CACHE).unwrap().clone();
        d.discovery.endpoint_list.upsert(d.now, Entry { state: EndpointState::Draining, ..entry }).unwrap();
    };
    for change in [purge as fn(&mut Proxy), drain, purge_log::cut_off] {
        let mut w = World::new();
        let mut client = w.client();
        client.put(&request(1, 1, "clip"));
        w.until("the dial", |d| (d.pool.len() == 1).then_some(()));
        change(&mut w.proxy);
        assert_eq!(w.frame(&mut client).2[0], 50);
        assert_eq!(w.codes(), [(AttemptStatus::NeverSent, false)]);
        let mut cache = w.cache();
        w.silent(&mut cache);
        assert_eq!(w.proxy.metrics.dropped_attempts, 1);
    }
}

#[test]
fn all_attempts_waiting_for_a_dial_end_when_the_connection_breaks_at_once() {
    let mut w = World::new();
    let mut client = w.client();
    client.put(&[request(1, 1, "clip"), request(2, 2, "clip")].concat());
    w.until("the dial", |d| (d.requests.len() == 2).then_some(()));
    let token = *w.proxy.pool.iter().next().unwrap().0;
    let waiting = std::mem::take(&mut w.proxy.pool.get_mut(token).unwrap().waiting);
    assert_eq!(waiting.len(), 2);
    w.proxy.close_upstream(token);
    waiting.iter().for_each(|id| w.proxy.write_attempt(id));
    let failed = |e: &&Event| matches!(e, Event::Outcome(o) if o.status == AttemptStatus::ConnectFailed);
    assert_eq!(w.proxy.events.iter().filter(failed).count(), 2);
}

#[test]
fn unresponsive_connections_are_closed_once_a_dial_fails_too() {
    let mut w = World::new();
    let (_client, _cache, _) = w.asked();
    w.skip(1_100 * MILLISECOND);
    // The silent connection is not used again: the next request waits for a dial.
    let mut other = w.client();
    other.put(&request(1, 2, "clip"));
    w.until("a second dial", |d| (d.pool.len() == 2).then_some(()));
    let dialing = |l: &UpstreamConnection| l.conn.state() == State::Dialing;
    let token = *w.proxy.pool.iter().find(|l| dialing(l.1)).unwrap().0;
    w.proxy.dial_timed_out(token);
    w.proxy.process_events();
    let codes = w.codes();
    assert!(
        codes.contains(&(AttemptStatus::ConnectFailed, false))
            && codes.contains(&(AttemptStatus::Reset, false))
    );
}

#[test]
fn an_endpoint_reachable_again_after_a_failed_dial_starts_cold() {
    let mut w = World::new();
    let address = w.cache.local_addr().unwrap();
    drop(std::mem::replace(&mut w.cache, StdListener::bind("127.0.0.1:0").unwrap()));
    let mut client = w.client();
    client.put(&request(1, 1, "clip"));
    assert_eq!(w.frame(&mut client).2[0], 50, "nothing listens: refused");
    let recorded = w.events.clone();
    let started = || {
        let events = recorded.all();
        let members = events.iter().filter_map(|e| match e {
            Event::Endpoints { endpoints: members, .. } => Some(members),
            _ => None,
        });
        members.flatten().filter(|m| &*m.id == CACHE).map(|m| m.started_at).max()
    };
    assert_eq!(started(), Some(0), "listed as started long ago");
    // A process listens there again; the list says nothing of it.
    w.cache = StdListener::bind(address).unwrap();
    w.cache.set_nonblocking(true).unwrap();
    client.put(&request(2, 2, "clip"));
    let mut cache = w.cache();
    assert_eq!(w.command(&mut cache)[0], "want");
    let at = w.until("a start told to the module", |_| started().filter(|&t| t > 0));
    assert!(at <= w.proxy.now && w.proxy.discovery.endpoint_list.entry(CACHE).unwrap().started_at == at);
    // Reached again with the same process, it is not new again.
    let told = w.events.all().len();
    client.put(&request(3, 3, "clip"));
    assert_eq!(w.command(&mut cache)[0], "want");
    assert!(w.events.all()[told..].iter().all(|e| !matches!(e, Event::Endpoints { .. })));
}

#[test]
fn connections_to_a_restarted_endpoint_are_replaced() {
    let mut w = World::new();
    let (mut client, mut old, _) = w.asked();
    old.put(&answer(&trace(1), "ok", "-", "x"));
    w.frame(&mut client);
    let record = Record {
        id: CACHE.to_owned(),
        address: w.proxy.discovery.endpoint_list.entry(CACHE).unwrap().address,
        state: RecordState::Ready,
        zone: 0,
        kind: 0,
        cell: 0,
        weight: 30.0,
        started_ms: 0,
    };
    w.proxy.apply_endpoints(false, vec![record.clone()]);
    w.proxy.process_events();
    assert_eq!(w.proxy.pool.len(), 1, "the same news again changes nothing");
    // Old enough to have its whole part of what a cold endpoint bears.
    w.skip(2_000 * MILLISECOND);
    let started = w.proxy.now + MILLISECOND;
    w.relist(|e| e.started_at = started);
    w.ended(&mut old);
    client.put(&request(2, 2, "clip"));
    let mut fresh = w.cache();
    assert_eq!(w.command(&mut fresh)[0], "want");
}

#[test]
fn a_malformed_response_ends_only_the_attempts_on_its_connection() {
    // The last is in form, but the client named no copy that could be current.
    let unasked = answer(&trace(1), "current", "-", "");
    for bad in [&b"*4\r\n$x\r\n"[..], b"+OK\r\n", b"*4\r\n$999999999\r\n", &unasked] {
        let mut w = World::new();
        let (_client, mut cache, _) = w.asked();
        cache.put(bad);
        w.ended(&mut cache);
        let mut again = w.cache();
        assert_eq!(w.command(&mut again)[0], "want");
        assert_eq!(w.codes(), [(AttemptStatus::Reset, false)]);
    }
}

/// Guards what shares a connection with an answer that stopped short on a connection that stays open.
#[test]
fn an_incomplete_response_closes_its_connection_soon() {
    let mut w = World::new();
    let (_client, mut cache, _) = w.asked();
    let whole = answer(&trace(1), "ok", "tag=4be0c1927d55a6f3,minted=1,note=hit", "bytes");
    cache.put(&whole[..whole.len() / 2]);
    w.until("half an answer", |d| d.pool.iter().any(|l| l.1.conn.has_partial_message()).then_some(()));
    w.skip(RESPONSE_STALL_TIMEOUT + MILLISECOND);
    w.ended(&mut cache);
    let mut again = w.cache();
    assert_eq!(w.command(&mut again)[0], "want");
    assert_eq!(w.codes(), [(AttemptStatus::Reset, false)]);
}

/// Guards requests that are well from sharing the end of one whose answer is bad.
#[test]
fn concurrent_requests_to_one_endpoint_get_their_own_connections() {
    let mut w = World::new();
    let (mut client, mut first, _) = w.asked();
    // The first is dialed for; the second goes out beside it while another connection is made.
    client.put(&request(2, 2, "clip"));
    assert_eq!(w.command(&mut first)[1], trace(2));
    let mut second = w.cache();
    w.until("the spare", |d| d.pool.iter().all(|l| l.1.conn.is_open()).then_some(()));
    client.put(&request(3, 3, "clip"));
    assert_eq!(w.command(&mut second)[1], trace(3));
    second.put(b"noise\r\n");
    w.ended(&mut second);
    let events = w.events.clone();
    w.until("the reset", |_| (!events.all().iter().all(|e| !matches!(e, Event::Outcome(_)))).then_some(()));
    assert_eq!(w.codes(), [(AttemptStatus::Reset, false)], "the other two go on");
}

/// Guards attempts from connections that were dropped while they rested, sooner than the settings say: the break
/// shows only under the next request, which may have run.
#[test]
fn idle_connections_are_closed_before_they_go_stale_again() {
    let mut w = World::new();
    w.proxy.pool.reconfigure(32, 2, 13_500_000); // no spares: each connection that comes is one that was needed
    let (mut client, mut cache, _) = w.asked();
    cache.put(&answer(&trace(1), "ok", "-", "x"));
    w.frame(&mut client);
    w.skip(2_000 * MILLISECOND);
    client.put(&request(2, 2, "clip"));
    assert_eq!(w.command(&mut cache)[1], trace(2), "nothing is known against it yet");
    drop(cache);
    let mut cache = w.cache();
    assert_eq!(w.command(&mut cache)[1], trace(2));
    // However slow the machine that runs this test: it was at once.
    w.proxy.pool.lower_stale_after(1_500 * MILLISECOND);
    cache.put(&answer(&trace(2), "ok", "-", "x"));
    w.frame(&mut client);
    w.skip(1_800 * MILLISECOND);
    w.ended(&mut cache);
    client.put(&request(3, 3, "clip"));
    let mut cache = w.cache();
    assert_eq!(w.command(&mut cache)[1], trace(3), "on a connection of its own");
    // What was learned wears off.
    for _ in 0..2_000 {
        w.proxy.pool.expired(w.proxy.now);
    }
    cache.put(&answer(&trace(3), "ok", "-", "x"));
    w.frame(&mut client);
    w.skip(1_800 * MILLISECOND);
    client.put(&request(4, 4, "clip"));
    assert_eq!(w.command(&mut cache)[1], trace(4));
}

/// Guards connections that are idle now and needed soon: they go only when there is no other way to an endpoint.
#[test]
fn a_full_pool_closes_an_idle_connection_only_for_a_needed_one() {
    let mut w = World::new();
    w.proxy.pool.reconfigure(32, 1, 13_500_000);
    let (mut client, mut cache, _) = w.asked();
    for number in 1..3 {
        cache.put(&answer(&trace(number), "ok", "-", "x"));
        w.frame(&mut client);
        client.put(&request(number + 1, number + 1, "clip"));
        assert_eq!(w.command(&mut cache)[1], trace(number + 1), "on the same connection");
    }
    cache.put(&answer(&trace(3), "ok", "-", "x"));
    w.frame(&mut client);
    client.put(&request_with(4, 4, "edit", &[("nonce", "5c0f6e1a2b3d4c59")]));
    let mut origin = w.accept(|w| &w.origin);
    assert_eq!(w.command(&mut origin)[1], trace(4));
    w.ended(&mut cache);
}
