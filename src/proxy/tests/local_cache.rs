//! Copies of the instance's own, on sockets; and what a class that must never run twice is owed.

use super::*;

/// An instance that may serve copies of its own, with the command channel's other end.
pub(super) fn with_copies() -> (Harness, Peer) {
    with_copies_by(Clock::start())
}

/// The same by a clock of the test's.
pub(super) fn with_copies_by(clock: Clock) -> (Harness, Peer) {
    let mut harness = Harness::with_clock(clock, |c| {
        (c["flow_bytes_per_s"], c["link_bytes_per_s"]) = (310_000.into(), 1_240_000.into());
    });
    let mut channel = harness.accept(|harness| &harness.channel);
    let cursor = |b: &mut BytesMut| (b.len() >= 8).then(|| b.split_to(8).to_vec());
    harness.read_message(&mut channel, cursor);
    (harness, channel)
}

/// An empty frame of the command channel, or a purge of the object that all here ask for.
pub(super) fn tells(harness: &mut Harness, channel: &mut Peer, purge: Option<u64>) {
    let mut event = (if purge.is_some() { 25u32 } else { 9 }).to_be_bytes().to_vec();
    event.extend(
        (harness.proxy.discovery.command_channel.cursor() + u64::from(purge.is_some())).to_be_bytes(),
    );
    event.push(if purge.is_some() { 3 } else { 0 });
    if let Some(when_ms) = purge {
        event.extend(0x7f3a_9c21_e0b4_d655_u64.to_be_bytes());
        event.extend(when_ms.to_be_bytes());
    }
    channel.write(&event);
    harness
        .wait_until("the frame", |proxy| proxy.discovery.command_channel.is_current(proxy.now).then_some(()));
    harness.expect_silence(channel);
}

pub(super) fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Asks for the one object; the cache answers if it is asked, with a copy minted at `minted`. Whether it was.
pub(super) fn asks(
    harness: &mut Harness,
    client: &mut Peer,
    cache: &mut Option<Peer>,
    number: u32,
    minted: u64,
) -> bool {
    asks_for(harness, client, cache, number, minted, "clip")
}

/// The same for an object of any class.
pub(super) fn asks_for(
    harness: &mut Harness,
    client: &mut Peer,
    cache: &mut Option<Peer>,
    number: u32,
    minted: u64,
    route: &str,
) -> bool {
    client.write(&request(number, number, route));
    let served = harness.proxy.metrics.local_cache_hits;
    harness.wait_until("a decision", |proxy| {
        (proxy.metrics.local_cache_hits > served || !proxy.requests.by_id.is_empty()).then_some(())
    });
    let asked = harness.proxy.metrics.local_cache_hits == served;
    if asked {
        let mut endpoint = cache.take().unwrap_or_else(|| harness.accept_cache());
        assert_eq!(harness.read_command(&mut endpoint)[1], request_id(number));
        let fields = format!("tag=4be0c1927d55a6f3,minted={minted},note=hit");
        endpoint.write(&response(&request_id(number), "ok", &fields, "bytes"));
        *cache = Some(endpoint);
    }
    assert_eq!(harness.read_frame(client), (8, number, b"\x14\x00bytes".to_vec()));
    asked
}

#[test]
fn what_is_asked_for_again_and_again_is_served_from_a_copy_until_it_is_purged() {
    let (mut harness, mut channel) = with_copies();
    let (mut client, mut cache, now) = (harness.connect_client(), None, unix_ms());
    tells(&mut harness, &mut channel, None);
    let asked: Vec<bool> = (1..=4).map(|n| asks(&mut harness, &mut client, &mut cache, n, now)).collect();
    assert_eq!(asked, [true, true, false, false], "kept at the second time");
    // The purge is later than the copy, and what comes from an old copy afterwards is not kept either.
    tells(&mut harness, &mut channel, Some(now + 1));
    let asked: Vec<bool> = (5..=7).map(|n| asks(&mut harness, &mut client, &mut cache, n, now)).collect();
    assert_eq!(asked, [true, true, true]);
    let asked: Vec<bool> = (8..=9).map(|n| asks(&mut harness, &mut client, &mut cache, n, now + 2)).collect();
    assert_eq!(asked, [true, false], "a copy from after the purge is");
    assert!(harness.proxy.requests.by_id.is_empty() && harness.proxy.admin_metrics.concurrent() == 0);
}

#[test]
fn without_word_from_the_command_channel_no_copy_is_served() {
    let (mut harness, mut channel) = with_copies();
    let (mut client, mut cache, now) = (harness.connect_client(), None, unix_ms());
    assert!(
        (1..=3).all(|n| asks(&mut harness, &mut client, &mut cache, n, now)),
        "it has not told anything yet"
    );
    tells(&mut harness, &mut channel, None);
    assert!(!asks(&mut harness, &mut client, &mut cache, 4, now));
    harness.skip(1_300 * MILLISECOND);
    assert!(asks(&mut harness, &mut client, &mut cache, 5, now), "a frame is missing: there may be a purge");
    tells(&mut harness, &mut channel, None);
    assert!(!asks(&mut harness, &mut client, &mut cache, 6, now));
    drop(channel);
    harness.wait_until("the break", |proxy| proxy.discovery.command_channel.token().is_none().then_some(()));
    assert!(asks(&mut harness, &mut client, &mut cache, 7, now));
}

#[test]
fn where_the_configuration_gives_no_link_every_request_goes_to_an_endpoint() {
    let mut harness = Harness::new();
    let mut channel = harness.accept(|harness| &harness.channel);
    harness.read_message(&mut channel, |b: &mut BytesMut| (b.len() >= 8).then(|| b.split_to(8).to_vec()));
    let (mut client, mut cache, now) = (harness.connect_client(), None, unix_ms());
    tells(&mut harness, &mut channel, None);
    assert!((1..=4).all(|n| asks(&mut harness, &mut client, &mut cache, n, now)));
}

/// What may have run is answered as failed and goes out once only, whatever the endpoint or its connection does; what
/// never ran goes out again. The same on the wire for each way in which an attempt can end.
#[test]
fn a_class_that_must_never_run_twice_is_written_once_however_its_attempt_ends() {
    type Ends = fn(&mut Harness, Peer, &str) -> Option<Peer>;
    let ways: [(&str, Ends, bool); 6] = [
        ("the connection breaks", |_, _, _| None, false),
        (
            "nothing comes",
            |harness, endpoint, _| {
                harness.skip(1_500 * MILLISECOND);
                Some(endpoint)
            },
            false,
        ),
        (
            "an error",
            |_, mut endpoint, id| {
                endpoint.write(&response(id, "error", "-", ""));
                Some(endpoint)
            },
            false,
        ),
        (
            "an answer that can't be read",
            |_, mut endpoint, _| {
                endpoint.write(b"?!\r\n");
                Some(endpoint)
            },
            false,
        ),
        (
            "an answer that stops short",
            |harness, mut endpoint, id| {
                endpoint.write(&response(id, "ok", "-", "whole")[..20]);
                harness.wait_until("half an answer", |proxy| proxy.timers.len().checked_sub(1).map(|_| ()));
                harness.expect_silence(&mut Peer::new(endpoint.stream.try_clone().unwrap()));
                harness.skip(400 * MILLISECOND);
                Some(endpoint)
            },
            false,
        ),
        (
            "it is refused, and never ran",
            |harness, mut endpoint, id| {
                endpoint.write(&response(id, "refused", "-", ""));
                let mut next = harness.accept(|harness| &harness.origin);
                assert_eq!(harness.read_command(&mut next)[1], id);
                next.write(&response(id, "ok", "-", ""));
                harness.expect_silence(&mut endpoint);
                Some(next)
            },
            true,
        ),
    ];
    for (what, ends, again) in ways {
        let mut harness = Harness::with(|c| c["settings"]["classes"][2]["semantics"] = "at_most_once".into());
        let mut client = harness.connect_client();
        client.write(&request(1, 1, "edit"));
        let mut origin = harness.accept(|harness| &harness.origin);
        assert_eq!(harness.read_command(&mut origin)[1], request_id(1));
        let kept = ends(&mut harness, origin, &request_id(1));
        let (_, _, payload) = harness.read_frame(&mut client);
        assert_eq!(payload[0], if again { 20 } else { 51 }, "{what}");
        assert_eq!(harness.proxy.admin_metrics.dispatches, 1 + u64::from(again), "{what}");
        assert!(again || harness.origin.accept().is_err(), "{what}: no other connection is made for it");
        drop(kept);
    }
}
