//! The command channel where two events cross. Each order is forced: a byte is held back until the instance has taken
//! the one before it, or what the poll would tell is told by hand. Time is skipped.

use super::*;
use crate::net::command_channel::Metrics;

const CURSOR: u64 = 41;
/// Past any pause before a dial, and a look at whether one is due.
const SOON: Micros = 1_250 * MILLISECOND;

/// A frame of the command channel.
pub(super) fn event(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32 + 9).to_be_bytes().to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    out.extend(payload);
    out
}

fn nothing(number: u64) -> Vec<u8> {
    event(number, 0, &[])
}

fn purge(number: u64) -> Vec<u8> {
    event(number, 4, &[0, 17, 0, 0, 0, 0, 0, 0, 0, 1])
}

/// States of an endpoint.
const READY: u8 = 0;
pub(super) const DRAINS: u8 = 1;
const GONE: u8 = 2;

/// What the list says of an endpoint: `s-` with this number, a box in the first zone.
pub(super) fn record(id: u32, listener: &StdListener, state: u8) -> Vec<u8> {
    let mut out = id.to_be_bytes().to_vec();
    out.extend([127, 0, 0, 1]);
    out.extend(listener.local_addr().unwrap().port().to_be_bytes());
    out.extend([state, 0, if id == 2 { 2 } else { 0 }, 0, 0]);
    out.extend(30_000u32.to_be_bytes());
    out.extend([0; 8]);
    out
}

impl World {
    /// The instance's next connection to the command channel, with the number that it wrote.
    fn watch(&mut self) -> (Peer, u64) {
        let mut channel = self.accept(|w| &w.channel);
        let cursor = self.message(&mut channel, |b| Some(b.split_to_checked(8)?.try_into().unwrap()));
        (channel, u64::from_be_bytes(cursor))
    }

    /// One that has brought its first frame.
    pub(super) fn watched() -> (World, Peer) {
        let mut w = World::new();
        let (mut channel, cursor) = w.watch();
        assert_eq!(cursor, CURSOR);
        channel.put(&nothing(CURSOR));
        w.until("the first frame", |d| d.discovery.command_channel.is_current(d.now).then_some(()));
        (w, channel)
    }

    /// Turns until the instance is past an event.
    fn past(&mut self, number: u64) {
        self.until("an event", |d| (d.discovery.command_channel.cursor() == number).then_some(()));
    }

    /// Lets time pass without a turn: what comes next is the next thing that the instance hears of.
    fn later(&mut self, span: Micros) {
        self.proxy.clock.skip(span);
        self.proxy.now = self.proxy.clock.now();
    }

    /// Has the instance read its watch now, before anything else that the poll has to tell.
    fn watch_first(&mut self) {
        let token = self.proxy.discovery.command_channel.token().unwrap();
        self.proxy.handle_ready(Ready { token, readable: true, writable: false, read_closed: false });
    }

    fn metrics(&self) -> Metrics {
        self.proxy.discovery.command_channel.metrics()
    }

    fn no_dial(&self) {
        assert!(self.channel.accept().is_err(), "no other connection is made");
    }

    /// How often the module was told something of the endpoints, beyond the list of the start.
    fn tidings(&self) -> usize {
        let is_list = |e: &&Event| matches!(e, Event::Endpoints { .. });
        self.events.all().iter().filter(is_list).count() - 1
    }

    fn takes_work(&self, id: &str) -> bool {
        self.proxy.discovery.endpoint_list.accepts_requests(id)
    }
}

trait SplitChecked {
    fn split_to_checked(&mut self, count: usize) -> Option<Vec<u8>>;
}

impl SplitChecked for BytesMut {
    fn split_to_checked(&mut self, count: usize) -> Option<Vec<u8>> {
        (self.len() >= count).then(|| self.split_to(count).to_vec())
    }
}

// ---- silence ----

#[test]
fn a_watch_that_falls_silent_is_dialed_again_with_its_cursor() {
    let (mut w, mut channel) = World::watched();
    channel.put(&purge(42));
    w.past(42);
    w.skip(1_500 * MILLISECOND);
    w.no_dial();
    w.skip(1_000 * MILLISECOND + SWEEP_INTERVAL);
    w.skip(100 * MILLISECOND + SWEEP_INTERVAL);
    let (mut next, cursor) = w.watch();
    assert_eq!((cursor, w.metrics().timeouts), (42, 1));
    w.ended(&mut channel);
    // One that never brings a frame has less time.
    w.skip(1_000 * MILLISECOND);
    w.no_dial();
    w.skip(1_200 * MILLISECOND + SWEEP_INTERVAL);
    w.skip(300 * MILLISECOND + SWEEP_INTERVAL);
    assert_eq!((w.watch().1, w.metrics().timeouts), (42, 2));
    w.ended(&mut next);
}

/// With a dead watch judged by any byte, as it once was, the trickle held it for good.
#[test]
fn half_a_frame_is_no_frame_whether_silence_follows_or_a_trickle() {
    for trickles in [false, true] {
        for first in [false, true] {
            let mut w = World::new();
            let (mut channel, _) = w.watch();
            if !first {
                channel.put(&nothing(CURSOR));
                w.until("the first frame", |d| d.discovery.command_channel.is_current(d.now).then_some(()));
            }
            let bytes = purge(42);
            for taken in 0..10 {
                channel.put(&bytes[taken..=taken]);
                // The byte is read before time goes on.
                w.until("a byte", |d| {
                    (d.discovery.command_channel.buffered_bytes() == taken + 1).then_some(())
                });
                if trickles {
                    w.skip(100 * MILLISECOND);
                }
            }
            // Where it trickles, the last byte is not so long ago.
            w.skip(if trickles { 1_600 * MILLISECOND } else { 2_500 * MILLISECOND } + SWEEP_INTERVAL);
            // Seen here: later, real time would end it by any byte.
            assert_eq!(w.metrics().timeouts, 1, "{trickles} {first}");
            w.skip(100 * MILLISECOND + SWEEP_INTERVAL);
            let (mut next, cursor) = w.watch();
            assert_eq!((cursor, w.metrics().timeouts), (CURSOR, 1), "{trickles} {first}");
            // Nothing of the half is left over: the event comes whole on the next.
            next.put(&bytes);
            w.past(42);
            assert_eq!(w.proxy.purges.iter().count(), 1);
        }
    }
}

/// Guards a list that takes seconds to come from being asked for again and again; fails where a watch is judged by
/// whole frames alone.
#[test]
fn a_long_list_that_goes_on_coming_is_waited_for() {
    let (mut w, mut channel) = World::watched();
    let mut list = [record(1, &w.cache, READY), record(2, &w.origin, READY)].concat();
    for id in 3..8_000 {
        list.extend(record(id, &w.cache, GONE));
    }
    let list = event(60, 1, &list);
    let mut put = 0;
    for piece in list.chunks(list.len() / 6 + 1) {
        for bytes in piece.chunks(8 * 1024) {
            channel.put(bytes);
            put += bytes.len();
            w.until("a piece", |d| {
                (d.discovery.command_channel.buffered_bytes() == put
                    || d.discovery.command_channel.cursor() == 60)
                    .then_some(())
            });
        }
        if put < list.len() {
            w.skip(640 * MILLISECOND);
        }
    }
    w.past(60);
    assert_eq!((w.metrics().opened, w.metrics().timeouts), (1, 0));
    assert!(w.takes_work(CACHE) && w.takes_work(ORIGIN));
}

/// A queue of connections that is full drops what comes to it, as a host does that is cut off. With the bound of a
/// silent watch on dials, as there once was, the second dial came too late to be there when the test looks.
#[test]
fn a_dial_that_gets_no_answer_is_soon_begun_anew() {
    let mut w = World::new();
    rustix::net::listen(&w.channel, 0).unwrap();
    let filler = StdStream::connect(w.channel.local_addr().unwrap()).unwrap();
    let first = w.until("a dial", |d| d.discovery.command_channel.token());
    w.skip(400 * MILLISECOND);
    assert_eq!(w.proxy.discovery.command_channel.token(), Some(first));
    w.skip(600 * MILLISECOND + SWEEP_INTERVAL);
    assert_eq!((w.metrics().timeouts, w.metrics().opened), (1, 0));
    // Discovery is back: one dial more, with the cursor.
    rustix::net::listen(&w.channel, 16).unwrap();
    let filled = w.channel.accept().unwrap();
    w.skip(100 * MILLISECOND + SWEEP_INTERVAL);
    assert_eq!(w.watch().1, CURSOR);
    assert_eq!((w.metrics().timeouts, w.metrics().opened), (1, 1));
    drop((filler, filled));
}

// ---- an older watch ----

/// Which lines rule it out: tokens are never used again (`EventLoop::add`), and `Proxy::ready` asks whose a token is
/// now. Planted fault: with the old connection kept by `CommandChannel::move_to`, the drain told on it is taken.
#[test]
fn what_an_older_watch_still_delivers_does_not_count() {
    let (mut w, mut old) = World::watched();
    let token = w.proxy.discovery.command_channel.token().unwrap();
    let drain = event(42, 2, &record(1, &w.cache, DRAINS));
    // The bytes are there to be read, and the poll has told of them, when SIGHUP moves discovery.
    old.put(&drain);
    let elsewhere = StdListener::bind("127.0.0.1:0").unwrap();
    elsewhere.set_nonblocking(true).unwrap();
    let mut config = w.config.clone();
    config["channel"] = elsewhere.local_addr().unwrap().to_string().into();
    assert!(w.reconfigure("older", &config.to_string()));
    w.proxy.handle_ready(Ready { token, readable: true, writable: true, read_closed: false });
    w.channel = elsewhere;
    let (mut new, cursor) = w.watch();
    assert_eq!((cursor, w.proxy.discovery.command_channel.cursor()), (CURSOR, CURSOR));
    assert!(w.takes_work(CACHE) && w.tidings() == 0);
    w.ended(&mut old);
    new.put(&drain);
    w.past(42);
    assert!(!w.takes_work(CACHE) && w.tidings() == 1);
}

#[test]
fn a_half_that_discovery_sent_before_it_moved_is_not_completed_by_what_comes_after() {
    let (mut w, mut old) = World::watched();
    let bytes = [event(42, 2, &record(1, &w.cache, DRAINS)), purge(43)].concat();
    let cut = bytes.len() - 8;
    old.put(&bytes[..cut]);
    w.past(42);
    w.until("the half", |d| (d.discovery.command_channel.buffered_bytes() > 0).then_some(()));
    let elsewhere = StdListener::bind("127.0.0.1:0").unwrap();
    elsewhere.set_nonblocking(true).unwrap();
    let mut config = w.config.clone();
    config["channel"] = elsewhere.local_addr().unwrap().to_string().into();
    let token = w.proxy.discovery.command_channel.token();
    assert!(w.reconfigure("half", &config.to_string()));
    assert!(
        w.proxy.discovery.command_channel.token() != token,
        "the connection and its half are gone at once"
    );
    w.channel = elsewhere;
    let (mut new, cursor) = w.watch();
    assert_eq!(cursor, 42, "the whole one is not asked for again");
    assert!((w.proxy.purges.iter().count() == 0));
    // The rest alone would be no frame; the whole frame counts once, and so does one that comes twice.
    new.put(&[event(42, 2, &record(1, &w.cache, READY)), purge(43), purge(43)].concat());
    w.past(43);
    w.silent(&mut new);
    assert_eq!((w.proxy.purges.iter().count(), w.tidings(), w.takes_work(CACHE)), (1, 1, false));
}

// ---- numbers ----

/// Without a look at the numbers, as it once was, the drain was never heard: the next event was taken for it.
#[test]
fn a_drain_that_was_left_out_is_asked_for_at_once() {
    let (mut w, mut channel) = World::watched();
    let drain = event(43, 2, &record(1, &w.cache, DRAINS));
    channel.put(&[purge(42), purge(44), purge(45)].concat());
    let (mut next, cursor) = w.watch();
    w.ended(&mut channel);
    assert_eq!((cursor, w.metrics().gaps), (42, 1), "from where it broke off, with no pause");
    assert_eq!(w.proxy.purges.iter().count(), 1, "what is behind the gap comes again");
    next.put(&[drain, purge(44), purge(45)].concat());
    w.past(45);
    assert_eq!((w.proxy.purges.iter().count(), w.tidings(), w.takes_work(CACHE)), (3, 1, false));
    assert_eq!(w.metrics(), Metrics { opened: 2, gaps: 1, ..Metrics::default() });
}

#[test]
fn what_is_not_to_be_had_is_asked_for_once_and_then_gone_without() {
    let (mut w, mut channel) = World::watched();
    for (number, asks) in [(44, 1), (50, 2)] {
        channel.put(&purge(number));
        let (next, cursor) = w.watch();
        assert!(cursor < number);
        channel = next;
        channel.put(&purge(number));
        w.past(number);
        assert_eq!((w.metrics().gaps, w.metrics().accepted_gaps), (asks, asks));
    }
    // A whole list says all that was told of endpoints before it, and what is late is known.
    let list = [record(1, &w.cache, READY), record(2, &w.origin, READY)].concat();
    channel.put(&[event(90, 1, &list), purge(43), nothing(7), purge(91)].concat());
    w.past(91);
    w.silent(&mut channel);
    w.no_dial();
    assert_eq!(w.metrics(), Metrics { opened: 3, gaps: 2, accepted_gaps: 2, ..Metrics::default() });
    assert_eq!(w.proxy.purges.iter().count(), 3);
}

/// An empty frame bears the number of the last event: where that is beyond the cursor, one is missing, though nothing
/// more may follow for long.
#[test]
fn an_empty_frame_shows_that_the_last_event_was_left_out() {
    let (mut w, mut channel) = World::watched();
    channel.put(&nothing(42));
    let (mut next, cursor) = w.watch();
    w.ended(&mut channel);
    assert_eq!((cursor, w.metrics().gaps), (CURSOR, 1));
    next.put(&[event(42, 2, &record(1, &w.cache, DRAINS)), nothing(42)].concat());
    w.past(42);
    assert!(!w.takes_work(CACHE));
    // One that says so again and has nothing between means something else by it, and is not asked again.
    next.put(&nothing(44));
    let (mut last, cursor) = w.watch();
    assert_eq!((cursor, w.metrics().gaps), (42, 2));
    last.put(&[nothing(44), purge(43), nothing(700), purge(44), nothing(701)].concat());
    w.past(44);
    w.silent(&mut last);
    w.no_dial();
    assert_eq!(w.metrics(), Metrics { opened: 3, gaps: 2, accepted_gaps: 1, ..Metrics::default() });
}

// ---- drains ----

/// A drain that was told while no watch was open comes before any empty frame; nothing goes to the endpoint after it.
#[test]
fn what_was_told_meanwhile_counts_as_soon_as_the_watch_is_back() {
    let (mut w, channel) = World::watched();
    let mut client = w.client();
    client.put(&request(1, 1, "clip"));
    let mut cache = w.cache();
    assert_eq!(w.command(&mut cache)[1], trace(1));
    cache.put(&answer(&trace(1), "ok", "-", "x"));
    assert_eq!(w.frame(&mut client).2, b"\x14\x00x");
    drop(channel);
    w.until("the break", |d| d.discovery.command_channel.token().is_none().then_some(()));
    w.skip(100 * MILLISECOND + SWEEP_INTERVAL);
    let (mut channel, cursor) = w.watch();
    assert_eq!(cursor, CURSOR);
    // The drain and a request lie there together; the watch is read first.
    channel.put(&event(42, 2, &record(1, &w.cache, DRAINS)));
    client.put(&request(2, 2, "clip"));
    w.later(MILLISECOND);
    w.watch_first();
    assert!(!w.takes_work(CACHE));
    let mut origin = w.accept(|w| &w.origin);
    assert_eq!(w.command(&mut origin)[1], trace(2));
    w.silent(&mut cache);
}

/// A request waits for a dial; before the dial is seen to have come through, the list changes: the endpoint drains, or
/// is replaced at its address, told whole or by the new one's record alone. Nothing is written to who answers there.
/// Planted fault: with `still_fits` always true the want is written to the process that took the address over.
#[test]
fn what_waits_for_a_dial_is_not_written_to_whom_the_list_has_named_gone_meanwhile() {
    const NEW: &str = "s-00000007";
    type Tells = fn(&World) -> Vec<u8>;
    let ways: [(&str, bool, Tells); 3] = [
        ("it drains", false, |w| record(1, &w.cache, DRAINS)),
        ("it is replaced", true, |w| [record(1, &w.cache, GONE), record(7, &w.cache, READY)].concat()),
        ("another claims its address", true, |w| record(7, &w.cache, READY)),
    ];
    for (what, replaced, tells) in ways {
        let (mut w, mut channel) = World::watched();
        let mut client = w.client();
        client.put(&request(1, 1, "clip"));
        let dialing = |d: &mut Proxy| {
            let dial = d.pool.iter().find(|l| l.1.conn.state() == State::Dialing && &*l.1.endpoint == CACHE);
            dial.map(|l| l.1.waiting.len())
        };
        assert_eq!(w.until("a dial", dialing), 1, "{what}: the request waits for it");
        channel.put(&event(42, 2, &tells(&w)));
        w.later(MILLISECOND);
        w.watch_first();
        assert!(!w.takes_work(CACHE) && w.takes_work(NEW) == replaced, "{what}");
        let mut first = w.cache();
        // It never ran, and its client hears so. The next goes to whom the list names, on a connection of its own.
        assert_eq!(w.frame(&mut client).2[0], 50, "{what}");
        w.silent(&mut first);
        client.put(&request(2, 2, "clip"));
        let listeners = [w.cache.try_clone().unwrap(), w.origin.try_clone().unwrap()];
        let next = w.until("another", |_| listeners.iter().find_map(|l| l.accept().ok()));
        assert_eq!(w.command(&mut Peer::new(next.0))[1], trace(2), "{what}");
        w.silent(&mut first);
    }
}

// ---- bytes that can't be read ----

#[test]
fn what_cant_be_read_ends_that_connection_alone_and_is_asked_for_ever_more_rarely() {
    let mut strange = record(1, &StdListener::bind("127.0.0.1:0").unwrap(), DRAINS);
    strange[10] = 9;
    let bad: [(&str, Vec<u8>); 5] = [
        ("too long", u32::MAX.to_be_bytes().to_vec()),
        ("too short", 8u32.to_be_bytes().to_vec()),
        ("unknown kind", event(43, 9, &[0; 16])),
        ("unknown state", event(43, 2, &strange)),
        ("half a record", event(43, 1, &strange[..26])),
    ];
    for (what, bytes) in bad {
        let (mut w, mut channel) = World::watched();
        let (mut client, mut cache, _) = w.asked();
        for (times, pause) in (1..).zip([100, 200, 400, 800, 1_000, 1_000]) {
            // What came before it counts, also in the same bytes; nothing behind it does.
            channel.put(&[&purge(42)[..], &bytes, &purge(44)].concat());
            w.until("the end", |d| (d.discovery.command_channel.metrics().malformed == times).then_some(()));
            let due = w.proxy.now + pause * MILLISECOND;
            let [before, then] = [due - 1, due].map(|t| w.proxy.discovery.command_channel.should_dial(t));
            assert!(!before && then, "{what}: {times}");
            if times == 1 {
                // Its own list and its other connections are as they were.
                assert!(w.takes_work(CACHE) && w.tidings() == 0, "{what}");
                cache.put(&answer(&trace(1), "ok", "-", "x"));
                assert_eq!(w.frame(&mut client).2, b"\x14\x00x", "{what}");
            }
            w.skip(SOON);
            let (next, cursor) = w.watch();
            assert_eq!((cursor, w.proxy.purges.iter().count()), (42, 1), "{what}");
            channel = next;
        }
        // The channel is sound again: it goes on from there.
        channel.put(&purge(43));
        w.past(43);
    }
}

#[test]
fn places_beyond_the_settings_lists_are_borne() {
    let (mut w, mut channel) = World::watched();
    let cache = w.cache.try_clone().unwrap();
    let mut far = record(7, &cache, READY);
    (far[11], far[12], far[13], far[14]) = (255, 255, 255, 255);
    channel.put(&event(42, 2, &[record(1, &cache, GONE), far].concat()));
    w.past(42);
    let mut client = w.client();
    client.put(&request(1, 1, "clip"));
    assert!(matches!(w.frame(&mut client).0, 8));
}

/// Two new configurations while discovery is dialed: what counts is where the last one says it is, and with the number
/// of the last event; the dials and connections before it are let go.
#[test]
fn two_moves_within_one_dial_lead_to_the_last_address() {
    let mut w = World::new();
    let places = [StdListener::bind("127.0.0.1:0").unwrap(), StdListener::bind("127.0.0.1:0").unwrap()];
    for place in &places {
        w.proxy.discovery.command_channel.change_address(place.local_addr().unwrap());
        w.proxy.run_command_channel();
    }
    let old = w.channel.try_clone().unwrap();
    w.channel = places[1].try_clone().unwrap();
    w.channel.set_nonblocking(true).unwrap();
    let (mut channel, cursor) = w.watch();
    assert_eq!(cursor, CURSOR);
    channel.put(&event(CURSOR + 1, 2, &record(1, &w.cache, DRAINS)));
    w.past(CURSOR + 1);
    assert!(!w.takes_work(CACHE));
    for left in [&old, &places[0]] {
        left.set_nonblocking(true).unwrap();
        if let Ok((stream, _)) = left.accept() {
            w.ended(&mut Peer::new(stream));
        }
    }
}

/// The watch falls silent, and the next two connections are taken and say nothing: what is told meanwhile is there
/// before it counts as told and binds. Each wait is as long as it may be and no sweep helps.
#[test]
fn a_drain_told_into_silence_is_heard_in_time_though_two_tries_fail() {
    let (mut w, _silent) = World::watched();
    let began = w.proxy.now;
    let mut held = Vec::new();
    for (silence, pause) in [(2_500, 100), (2_000, 200), (2_200, 400)] {
        w.skip(silence * MILLISECOND);
        assert!(w.proxy.discovery.command_channel.token().is_none(), "let go after {silence} ms");
        w.skip(pause * MILLISECOND);
        held.push(w.watch().0);
    }
    let mut channel = held.pop().unwrap();
    channel.put(&event(CURSOR + 1, 2, &record(1, &w.cache, DRAINS)));
    w.past(CURSOR + 1);
    let after = w.proxy.now - began;
    assert!(after < 7_500 * MILLISECOND && !w.takes_work(CACHE), "{after}");
}

#[test]
fn the_command_channel_resumes_where_it_broke_off() {
    let mut w = World::new();
    let mut channel = w.accept(|w| &w.channel);
    let cursor = |b: &mut BytesMut| (b.len() >= 8).then(|| b.split_to(8).to_vec());
    assert_eq!(w.message(&mut channel, cursor), 41u64.to_be_bytes());
    let mut event = 25u32.to_be_bytes().to_vec();
    event.extend(42u64.to_be_bytes());
    event.push(3);
    event.extend([0x7f; 8]);
    event.extend(1u64.to_be_bytes());
    // A frame may be split anywhere.
    for byte in event {
        channel.put(&[byte]);
        w.proxy.turn().unwrap();
    }
    w.until("the purge", |d| (d.purges.iter().count() == 1).then_some(()));
    drop(channel);
    let mut channel = w.accept(|w| &w.channel);
    assert_eq!(w.message(&mut channel, cursor), 42u64.to_be_bytes());
    // Silence is as good as a break.
    w.skip(3_000 * MILLISECOND);
    let mut channel = w.accept(|w| &w.channel);
    assert_eq!(w.message(&mut channel, cursor), 42u64.to_be_bytes());
}
