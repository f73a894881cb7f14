//! Two processes of one instance, and new settings, each met by something else in the same turn.

use super::*;
use crate::takeover::{encode_line, hello, FromSuccessor};
use std::os::unix::net::UnixStream as StdUnix;

/// An instance that next processes find, and the folder where they do.
struct Found {
    w: World,
    folder: PathBuf,
    identity: Identity,
}

impl Drop for Found {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Found {
    fn new(name: &str, change: impl FnOnce(&mut serde_json::Value)) -> Self {
        let folder = std::env::temp_dir().join(format!("larchdale-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut w = World::with(change);
        let identity = Identity { name: "t".into(), listen: w.proxy.configuration.listen };
        let files = TakeoverFiles::new(folder.clone(), identity.clone());
        w.proxy.takeover = Some(Takeover::new(files, None, false, &mut w.proxy.event_loop));
        w.proxy.begin_serving();
        Found { w, folder, identity }
    }

    fn files(&self) -> TakeoverFiles {
        TakeoverFiles::new(self.folder.clone(), self.identity.clone())
    }

    fn knock(&self) -> StdUnix {
        let stream = StdUnix::connect(self.files().socket()).unwrap();
        stream.set_nonblocking(true).unwrap();
        stream
    }

    fn hello(&self) -> Vec<u8> {
        encode_line(&hello(self.identity.clone()))
    }

    /// One to whom the listener was offered.
    fn successor(&mut self) -> StdUnix {
        let mut next = self.knock();
        next.write_all(&self.hello()).unwrap();
        self.offered(&mut next);
        next
    }

    fn offered(&mut self, next: &mut StdUnix) {
        let mut said = [0; 64];
        let count = self.w.until("an offer", |_| match next.read(&mut said) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            other => Some(other.expect("not turned away")),
        });
        assert_eq!(&said[..count], b"\"offer\"\n");
    }
}

fn serving(shared: bool) -> Vec<u8> {
    encode_line(&FromSuccessor::Serving { shared_listener: shared })
}

// ---- one process after another ----

/// The successor dies, and the next one knocks before this process has seen it: it was closed unheard with the old
/// socket, and started as if nobody were there.
#[test]
fn who_knocks_in_the_turn_in_which_a_successor_ends_is_heard() {
    for served in [false, true] {
        let mut f = Found::new("knocks", |_| {});
        let mut successor = f.successor();
        if served {
            successor.write_all(&serving(true)).unwrap();
        }
        // In this order: its end is what the next turn sees first.
        drop(successor);
        let mut next = f.knock();
        next.write_all(&f.hello()).unwrap();
        f.offered(&mut next);
        assert!(f.w.proxy.has_other_process() && f.w.proxy.lifecycle.is_serving());
        // By the new name the one after it hears that it is one too many.
        let mut third = f.knock();
        third.write_all(&f.hello()).unwrap();
        let mut said = [0; 64];
        let count = f.w.until("a refusal", |_| third.read(&mut said).ok());
        assert_eq!(&said[..count], b"\"busy\"\n");
    }
}

#[test]
fn a_hello_in_two_pieces_and_a_successor_that_ends_as_it_begins_to_serve_change_nothing() {
    let mut f = Found::new("pieces", |_| {});
    let mut next = f.knock();
    let hello = f.hello();
    next.write_all(&hello[..9]).unwrap();
    for _ in 0..3 {
        f.w.proxy.timers.set(f.w.proxy.now, TimerEvent::AcceptRetry);
        f.w.proxy.turn().unwrap();
    }
    assert!(!f.w.proxy.has_other_process());
    next.write_all(&hello[9..]).unwrap();
    f.offered(&mut next);
    let half = f.w.proxy.bounds;
    next.write_all(&serving(true)).unwrap();
    drop(next);
    f.w.until("its end", |d| (!d.has_other_process()).then_some(()));
    assert!(
        f.w.proxy.lifecycle.is_serving()
            && f.w.proxy.lifecycle.accepts_connections()
            && f.w.proxy.bounds != half
    );
    let mut client = f.w.client();
    client.put(&frame(1, 5, &[0]));
    assert_eq!(f.w.frame(&mut client), (2, 5, vec![20, 0]));
}

/// SIGTERM and word of the successor in one turn, in either order; then the successor's end and a second SIGTERM.
#[test]
fn told_to_end_as_it_is_replaced_it_ends_with_its_connections_and_goes_on_if_the_successor_dies() {
    for first in [false, true] {
        let mut f = Found::new("ends", |_| {});
        let (mut client, mut cache, _) = f.w.asked();
        let mut next = f.successor();
        if first {
            f.w.proxy.shut_down();
        }
        next.write_all(&serving(true)).unwrap();
        f.w.until("word of it", |d| (!d.lifecycle.accepts_connections()).then_some(()));
        f.w.proxy.shut_down();
        f.w.proxy.shut_down();
        assert!(f.w.proxy.has_other_process() && !f.w.proxy.is_drained(), "a request is owed its answer");
        // What it does not take waits for the successor. That one dies: nobody else would take it.
        let mut waiting = f.w.client();
        waiting.put(&request(1, 2, "clip"));
        f.w.silent(&mut waiting);
        drop(next);
        f.w.proxy.shut_down();
        assert_eq!(f.w.command(&mut cache)[1], trace(2));
        for number in [1, 2] {
            cache.put(&answer(&trace(number), "ok", "-", "x"));
        }
        assert_eq!((f.w.frame(&mut client).0, f.w.frame(&mut client).0), (3, 8));
        assert_eq!((f.w.frame(&mut waiting).0, f.w.frame(&mut waiting).0), (3, 8));
        f.w.skip(1_000 * MILLISECOND);
        assert!(f.w.proxy.is_drained());
    }
}

/// The bounds halve as a next process comes: what is idle above them goes, and half a request is not idle.
#[test]
fn a_request_half_read_is_kept_when_two_processes_share_the_bounds() {
    let mut f = Found::new("half", |c| c["limits"]["sockets"] = 128.into());
    let bytes = request(1, 1, "clip");
    let mut slow = f.w.client();
    slow.put(&bytes[..20]);
    f.w.until("half a request", |d| d.clients.values().any(|c| c.conn.has_partial_message()).then_some(()));
    let half = Bounds::from_limits(&f.w.proxy.configuration.limits, true, true).clients;
    let mut others: Vec<Peer> = (0..half).map(|_| f.w.client()).collect();
    for other in &mut others {
        other.put(&frame(1, 5, &[0]));
        assert_eq!(f.w.frame(other).0, 2);
    }
    assert_eq!(f.w.proxy.clients.len(), half + 1, "one too many for half of the bounds");
    let _next = f.successor();
    assert_eq!(f.w.open_clients(), half);
    slow.put(&bytes[20..]);
    let mut cache = f.w.cache();
    assert_eq!(f.w.command(&mut cache)[1], trace(1));
}

/// The process before hangs, with as many at its socket as may wait there: connecting waited without end.
#[test]
fn a_start_does_not_wait_for_a_process_whose_queue_is_full() {
    let f = Found::new("hangs", |_| {});
    let name = f.files().socket();
    std::fs::remove_file(&name).unwrap();
    let hanging = std::os::unix::net::UnixListener::bind(&name).unwrap();
    rustix::net::listen(&hanging, 0).unwrap();
    let waiting: Vec<_> = (0..10).map_while(|_| mio::net::UnixStream::connect(&name).ok()).collect();
    assert!(waiting.len() < 10, "its queue has an end");
    let (files, log) = (f.files(), f.w.proxy.log.clone());
    let (done, is_done) = std::sync::mpsc::channel();
    std::thread::spawn(move || done.send(predecessor::find(&files, &log).unwrap().is_none()));
    // Only a hang gets there.
    assert_eq!(is_done.recv_timeout(Duration::from_secs(60)), Ok(true));
}

// ---- new settings ----

impl World {
    /// New settings with a change to those that it began with.
    fn resettle(&mut self, name: &str, change: impl FnOnce(&mut serde_json::Value)) {
        let mut config = self.config.clone();
        change(&mut config["settings"]);
        assert!(self.reconfigure(name, &config.to_string()));
    }
}

/// A class's effect changes while a request of it waits for a dial, and again while its second try is out: it stays
/// what it came as, and so does one that came with the new effect.
#[test]
fn a_request_keeps_the_effect_that_it_came_with() {
    let mut w = World::new();
    let mut client = w.client();
    client.put(&request(1, 1, "clip"));
    w.until("a dial", |d| d.pool.iter().any(|l| !l.1.waiting.is_empty()).then_some(()));
    w.resettle("effect", |s| s["classes"][0]["semantics"] = "at_most_once".into());
    let mut cache = w.cache();
    assert_eq!(w.command(&mut cache)[1], trace(1));
    client.put(&request(2, 2, "clip"));
    w.until("the new one", |d| (d.requests.len() == 2).then_some(()));
    w.resettle("effect", |_| {});
    drop(cache);
    let mut peers = vec![w.cache()];
    // The first is asked for again; the second, that may not run twice, has failed.
    let (kind, stream, payload) = w.frame(&mut client);
    assert_eq!((kind, stream, payload[0]), (8, 2, 51));
    let listener = w.cache.try_clone().unwrap();
    let at = w.until("the second try", |_| {
        peers.extend(listener.accept().ok().map(|a| Peer::new(a.0)));
        peers.iter_mut().position(|p| {
            p.pull();
            command(&mut p.got).is_some_and(|c| c[1] == trace(1))
        })
    });
    peers[at].put(&answer(&trace(1), "ok", "-", "x"));
    assert_eq!(w.frame(&mut client).2, b"\x14\x00x");
    assert!(w.proxy.requests.by_id.is_empty() && w.proxy.classes.open_requests() == 0);
}

#[test]
fn fewer_attempts_than_were_made_and_fewer_places_than_are_taken_end_nothing_twice() {
    let mut w = World::new();
    let (mut client, cache, _) = w.asked();
    drop(cache);
    let mut cache = w.cache();
    assert_eq!(w.command(&mut cache)[1], trace(1), "its second attempt");
    client.put(&request(2, 2, "clip"));
    w.until("another", |d| (d.requests.len() == 2).then_some(()));
    w.resettle("fewer", |s| {
        (s["limits"]["max-attempts"], s["limits"]["max-open"]) = (1.into(), 1.into());
        (s["limits"]["multiplex"], s["limits"]["dial-timeout-us"]) = (1.into(), 1_000.into());
    });
    client.put(&request(3, 3, "clip"));
    let (_, stream, payload) = w.frame(&mut client);
    assert_eq!((stream, payload[0]), (3, 50), "all places are taken");
    cache.put(&answer(&trace(1), "refused", "-", ""));
    let (_, stream, payload) = w.frame(&mut client);
    assert_eq!((stream, payload[0]), (1, 50), "no attempt is left");
    w.skip(1_500 * MILLISECOND);
    let (_, stream, payload) = w.frame(&mut client);
    assert_eq!((stream, payload[0]), (2, 51));
    w.silent(&mut client);
    assert!(
        w.proxy.requests.by_id.is_empty()
            && w.proxy.classes.open_requests() == 0
            && w.proxy.requests.body_bytes() == 0
    );
    assert!(w.proxy.pool.iter().all(|l| l.1.is_idle()));
}

/// Clients hear of new settings 1.2 s after the signal. Until then they are as patient as they were told to be, and
/// the connection, with all that is open on it, must not end for it.
#[test]
fn who_has_not_heard_of_a_shorter_deadline_is_not_turned_away() {
    let mut w = World::new();
    let (mut client, mut cache, _) = w.asked();
    w.resettle("deadline", |s| s["classes"][0]["deadline-us"] = 300_000.into());
    client.put(&request(2, 2, "clip"));
    assert_eq!(w.command(&mut cache)[1], trace(2), "1.5 s are more than four times 0.3 s");
    for number in [1, 2] {
        cache.put(&answer(&trace(number), "ok", "-", "x"));
        assert_eq!(w.frame(&mut client).1, number);
    }
    w.skip(crate::config::settings::DROPPED_CLASS_SERVED_FOR_US);
    client.put(&request(3, 3, "clip"));
    assert_eq!(w.frame(&mut client).1, 0, "nobody means that any more");
}

/// The same for a class that becomes a keyed one: a client that has not heard sends no key.
#[test]
fn who_has_not_heard_that_a_class_wants_a_key_keeps_the_connection() {
    let mut w = World::new();
    let (mut client, mut cache, _) = w.asked();
    w.resettle("keyed", |s| s["classes"][0]["semantics"] = "deduplicated".into());
    client.put(&request(2, 2, "clip"));
    let (_, stream, payload) = w.frame(&mut client);
    assert_eq!((stream, payload[0]), (2, 50));
    cache.put(&answer(&trace(1), "ok", "-", "x"));
    assert_eq!(w.frame(&mut client).1, 1);
}

/// Two wait for one dial when the settings come to allow one request a connection.
#[test]
fn no_more_are_written_to_a_connection_than_the_settings_allow_by_then() {
    let mut w = World::new();
    let mut client = w.client();
    client.put(&[request(1, 1, "clip"), request(2, 2, "clip")].concat());
    w.until("a dial", |d| d.pool.iter().any(|l| l.1.waiting.len() == 2).then_some(()));
    w.resettle("multiplex", |s| s["limits"]["multiplex"] = 1.into());
    let mut cache = w.cache();
    w.command(&mut cache);
    assert!(w.proxy.pool.iter().all(|l| l.1.in_flight.len() <= 1));
}

/// A class is dropped and comes again as it was, while a request of it is open, and with SIGTERM behind it in one turn.
#[test]
fn a_class_dropped_and_there_again_is_the_one_that_it_was() {
    let mut w = World::new();
    let (mut client, mut cache, _) = w.asked();
    let drop_first = |s: &mut serde_json::Value| {
        s["classes"].as_array_mut().unwrap().remove(0);
        for list in ["max-age-us", "stale-for-us", "pass-on"] {
            s["domain"][list].as_array_mut().unwrap().remove(0);
        }
    };
    w.resettle("again", drop_first);
    w.resettle("again", |_| {});
    client.put(&request(2, 2, "clip"));
    assert_eq!(w.command(&mut cache)[1], trace(2));
    let numbers: BTreeSet<usize> = w.proxy.requests.by_id.values().map(|o| o.class).collect();
    assert_eq!(numbers.len(), 1, "one class all the time");
    w.resettle("again", drop_first);
    w.proxy.shut_down();
    for number in [1, 2] {
        cache.put(&answer(&trace(number), "ok", "-", "x"));
    }
    let kinds = [0; 3].map(|_| w.frame(&mut client).0);
    assert_eq!(kinds, [3, 8, 8]);
    assert_eq!((w.proxy.classes.open_requests(), w.proxy.admin_metrics.concurrent()), (0, 0));
    w.skip(1_000 * MILLISECOND);
    assert!(w.proxy.is_drained());
}

/// A site without zones, with one kind and no bound on open requests; dials longer than any client waits.
#[test]
fn a_site_that_leaves_out_what_it_does_not_have_is_served() {
    let mut w = World::with(|c| {
        let settings = &mut c["settings"];
        settings["failure-domains"] = serde_json::json!([]);
        let limits = settings["limits"].as_object_mut().unwrap();
        limits.remove("max-open");
        limits.remove("max-retry-after-us");
        (limits["multiplex"], limits["max-attempts"]) = (1.into(), 1.into());
        limits["dial-timeout-us"] = 60_000_000.into();
        settings.as_object_mut().unwrap().remove("rules");
        let domain = settings["domain"].as_object_mut().unwrap();
        for list in ["crew-by-zone", "max-age-us", "stale-for-us"] {
            domain.remove(list);
        }
        c["known"]["cmds"][0]["nodes"]["instances"][0].as_object_mut().unwrap().remove("zone");
    });
    let mut client = w.client();
    let mut caches = Vec::new();
    for n in 1..=3 {
        client.put(&request(n, n, "clip"));
        let mut cache = w.cache();
        assert_eq!(w.command(&mut cache)[1], trace(n), "one request a connection");
        caches.push(cache);
    }
    for (cache, n) in caches.iter_mut().zip(1..) {
        cache.put(&answer(&trace(n), "ok", "-", "x"));
        assert_eq!(w.frame(&mut client).1, n);
    }
    assert!(w.proxy.requests.by_id.is_empty());
}

// ---- everything at once ----

#[derive(Clone, Copy, Debug)]
enum Step {
    Request { client: usize, class: usize },
    Leave { client: usize, which: usize },
    Close { client: usize },
    Answer { which: usize, word: usize, twice: bool },
    Break { which: usize },
    Spoil { which: usize },
    Settings { which: usize },
    Purge,
    List { healthy: bool },
    Wait { ms: u64 },
    Turn,
}

const CLIENTS: usize = 3;
const WORDS: [&str; 5] = ["ok", "nothing", "refused", "error", "stale"];

/// Clients and endpoints that do what the steps say, and what the module was told at which moment.
struct Storm {
    w: World,
    clients: Vec<Option<(Peer, u32)>>,
    endpoints: Vec<Peer>,
    /// What was asked, by endpoint connection.
    asked: Vec<(usize, String)>,
    requests: u32,
    times: Vec<Micros>,
}

impl Storm {
    fn new() -> Self {
        let clients = (0..CLIENTS).map(|_| None).collect();
        let w = World::new();
        let mut storm =
            Storm { w, clients, endpoints: Vec::new(), asked: Vec::new(), requests: 0, times: Vec::new() };
        storm.note();
        storm
    }

    /// Whatever the module has been told since was told at this moment.
    fn note(&mut self) {
        self.times.resize(self.w.events.all().len(), self.w.proxy.now);
    }

    fn turn(&mut self) {
        self.w.proxy.timers.set(0, TimerEvent::AcceptRetry);
        self.w.proxy.turn().unwrap();
        self.note();
        for listener in [&self.w.cache, &self.w.origin] {
            while let Ok((stream, _)) = listener.accept() {
                self.endpoints.push(Peer::new(stream));
            }
        }
        for (n, endpoint) in self.endpoints.iter_mut().enumerate() {
            endpoint.pull();
            while let Some(words) = command(&mut endpoint.got) {
                if words[0] == "want" {
                    self.asked.push((n, words[1].clone()));
                }
            }
        }
        for (peer, _) in self.clients.iter_mut().flatten() {
            peer.pull();
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Request { client, class } => {
                if self.clients[client].is_none() {
                    self.clients[client] = Some((self.w.client(), 0));
                }
                let (peer, stream) = self.clients[client].as_mut().unwrap();
                (*stream, self.requests) = (*stream + 1, self.requests + 1);
                let class = ["clip", "page", "edit"][class];
                let bytes = request_with(*stream, self.requests, class, &[("nonce", "0c")]);
                let _ = peer.stream.write_all(&bytes);
            }
            Step::Leave { client, which } => {
                if let Some((peer, streams)) = self.clients[client].as_mut().filter(|c| c.1 > 0) {
                    let _ = peer.stream.write_all(&frame(9, 1 + which as u32 % *streams, &[]));
                }
            }
            Step::Close { client } => self.clients[client] = None,
            Step::Answer { which, word, twice } if !self.asked.is_empty() => {
                let (endpoint, id) = self.asked.remove(which % self.asked.len());
                let bytes = answer(&id, WORDS[word], "tag=4be0c1927d55a6f3,minted=1", "x");
                for _ in 0..1 + usize::from(twice) {
                    let _ = self.endpoints[endpoint].stream.write_all(&bytes);
                }
            }
            Step::Break { which } if !self.endpoints.is_empty() => {
                let which = which % self.endpoints.len();
                let _ = self.endpoints[which].stream.shutdown(std::net::Shutdown::Both);
                self.asked.retain(|a| a.0 != which);
            }
            Step::Spoil { which } if !self.endpoints.is_empty() => {
                let which = which % self.endpoints.len();
                let _ = self.endpoints[which].stream.write_all(b"?!\r\n");
            }
            Step::Settings { which } => self.w.resettle("storm", |s| match which {
                0 => {}
                1 => s["classes"][0]["semantics"] = "at_most_once".into(),
                2 => {
                    s["classes"].as_array_mut().unwrap().remove(0);
                    for list in ["max-age-us", "stale-for-us", "pass-on"] {
                        s["domain"][list].as_array_mut().unwrap().remove(0);
                    }
                }
                3 => (s["limits"]["max-attempts"], s["limits"]["multiplex"]) = (1.into(), 1.into()),
                _ => {
                    s["limits"]["max-open"] = 2.into();
                    s["classes"][1]["deadline-us"] = 100_000.into();
                    s["classes"][2]["window-us"] = 1_000.into();
                }
            }),
            Step::Purge => {
                self.w.proxy.execute(Command::Purge { scope: Purge::Group(17), when_ms: 1 });
                self.w.proxy.process_events();
            }
            Step::List { healthy } if self.w.proxy.discovery.endpoint_list.entry(CACHE).is_some() => {
                self.w.relist(|e| {
                    e.state = if healthy { EndpointState::Healthy } else { EndpointState::Draining }
                });
            }
            Step::Wait { ms } => self.w.proxy.clock.skip(ms * MILLISECOND),
            _ => {}
        }
        self.note();
        if matches!(step, Step::Turn | Step::Wait { .. }) {
            self.turn();
        }
    }

    /// Lets everybody's patience end, then looks for what is still held.
    fn end(mut self) {
        for _ in 0..16 {
            self.w.proxy.clock.skip(SWEEP_INTERVAL);
            self.turn();
        }
        let d = &self.w.proxy;
        assert!(d.requests.by_id.is_empty(), "{} requests are open", d.requests.len());
        assert_eq!(
            (d.requests.body_bytes(), d.classes.open_requests(), d.admin_metrics.concurrent()),
            (0, 0, 0)
        );
        let held = d.pool.iter().map(|l| l.1.in_flight.len() + l.1.waiting.len()).sum::<usize>();
        assert_eq!(held, 0, "places on connections to depots");
        assert!(d.clients.values().all(|c| c.open_streams.is_empty()));
        self.module();
    }

    /// The module again, told the same at the same moments: each attempt that it had sent has had its outcome, so that
    /// each place that it counts was given back. Equal seeds and events give equal actions.
    fn module(&self) {
        let config = Config::parse(&self.w.config.to_string(), "test".into()).unwrap();
        let mut classes = ClassTable::default();
        classes.apply(0, &config.settings);
        let mut router = Router::new(classes.for_router(&config.settings, false), config.seed);
        let mut out: BTreeSet<(Id, u32)> = BTreeSet::new();
        let mut sent: FxHashMap<Id, u32> = FxHashMap::default();
        for (event, now) in self.w.events.all().iter().zip(&self.times) {
            if let Event::Outcome(o) = event {
                assert!(out.remove(&(o.request.clone(), o.attempt)), "an outcome of what is not out: {o:?}");
            }
            let mut actions = Vec::new();
            router.handle(*now, event.clone(), &mut actions);
            for action in actions {
                if let Action::Send { request, .. } = action {
                    let number = sent.entry(request.clone()).or_default();
                    out.insert((request, *number));
                    *number += 1;
                }
            }
        }
        assert!(out.is_empty(), "the module still counts {out:?}");
    }
}

fn steps() -> impl proptest::strategy::Strategy<Value = Vec<Step>> {
    use proptest::prelude::*;
    let step = prop_oneof![
        6 => (0..CLIENTS, 0..3usize).prop_map(|(client, class)| Step::Request { client, class }),
        2 => (0..CLIENTS, 0..8usize).prop_map(|(client, which)| Step::Leave { client, which }),
        1 => (0..CLIENTS).prop_map(|client| Step::Close { client }),
        5 => (0..8usize, 0..WORDS.len(), prop::bool::weighted(0.2))
            .prop_map(|(which, word, twice)| Step::Answer { which, word, twice }),
        1 => (0..8usize).prop_map(|which| Step::Break { which }),
        1 => (0..8usize).prop_map(|which| Step::Spoil { which }),
        2 => (0..5usize).prop_map(|which| Step::Settings { which }),
        1 => Just(Step::Purge),
        2 => prop::bool::ANY.prop_map(|healthy| Step::List { healthy }),
        1 => (1..400u64).prop_map(|ms| Step::Wait { ms }),
        8 => Just(Step::Turn),
    ];
    proptest::collection::vec(step, 1..60)
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config { cases: 96, ..crate::net::testing::config() })]

    /// Whatever ends meet in whatever turn: each place is given back, once.
    #[test]
    fn every_place_is_free_again_after_whatever_came(steps in steps()) {
        let mut storm = Storm::new();
        for step in steps {
            storm.step(step);
        }
        storm.end();
    }
}

/// An endpoint breaks under requests of a client that is gone in the same turn. The first of them gets its final answer,
/// writing that shows that the client is gone, and the second, whose outcome still waits to be told, is over before it
/// is: told that it is not, the module sends it anew, and nobody tells how that ended.
#[test]
fn who_is_found_gone_while_outcomes_wait_leaves_no_place_taken() {
    for swapped in [false, true] {
        let mut storm = Storm::new();
        storm.w.resettle("gone", |s| s["classes"][1]["semantics"] = "at_most_once".into());
        storm.note();
        let mut client = storm.w.client();
        let (one, two) = if swapped { ("clip", "page") } else { ("page", "clip") };
        for (n, class) in [(1, one), (2, two), (3, one)] {
            client.put(&request(n, n, class));
        }
        for _ in 0..TURNS {
            storm.turn();
            if storm.asked.len() == 3 {
                break;
            }
        }
        let first = storm.asked[0].0;
        let id: Id = storm.asked[0].1.as_str().into();
        assert!(storm.w.proxy.requests.contains(&id));
        storm.endpoints[first].stream.shutdown(std::net::Shutdown::Both).unwrap();
        // Its close is a reset: the next write to it fails.
        rustix::net::sockopt::set_socket_linger(&client.stream, Some(Duration::ZERO)).unwrap();
        drop(client);
        // The break is heard of before the client's end.
        let d = &mut storm.w.proxy;
        let token = *d.pool.iter().find(|l| l.1.in_flight.contains_key(&id)).unwrap().0;
        let link = d.pool.get_mut(token).unwrap();
        assert!((0..1_000_000).any(|_| link.conn.transport().peek(&mut [0]).is_ok()), "never broke");
        d.handle_ready(Ready { token, readable: true, writable: false, read_closed: true });
        storm.note();
        storm.turn();
        storm.clients.clear();
        storm.end();
    }
}
