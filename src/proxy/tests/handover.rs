//! Takeover: two processes of one instance share its bounds and state.

use super::*;

#[test]
fn two_processes_of_one_instance_have_half_of_the_bounds_each() {
    let folder = std::env::temp_dir().join(format!("larchdale-{}-beside", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut harness = Harness::new();
    let identity = Identity { name: "t".into(), listen: harness.proxy.configuration.listen };
    let files = TakeoverFiles::new(folder.clone(), identity.clone());
    harness.proxy.takeover = Some(Takeover::new(files, None, false, &mut harness.proxy.event_loop));
    harness.proxy.begin_serving();
    let full_bounds = harness.proxy.bounds;
    let recorded = harness.events.clone();
    let processes = || {
        let events = recorded.all();
        let latest_first = events.iter().rev();
        latest_first.filter_map(|e| if let Event::Settings(s) = e { Some(s.processes) } else { None }).next()
    };
    let socket_path = std::fs::read_dir(&folder).unwrap().next().unwrap().unwrap().path();
    let mut successor = std::os::unix::net::UnixStream::connect(&socket_path).unwrap();
    successor.write_all(&crate::takeover::encode_line(&crate::takeover::hello(identity))).unwrap();
    harness.wait_until("an offer", |proxy| proxy.has_other_process().then_some(()));
    assert_eq!(processes(), Some(2));
    let halved = harness.proxy.bounds;
    assert!(2 * halved.clients <= full_bounds.clients && 2 * halved.upstream <= full_bounds.upstream + 1);
    assert!(2 * halved.buffers <= full_bounds.buffers);
    assert_eq!(harness.proxy.memory.limit(), halved.buffers, "the budget in force is the halved one");
    assert!(harness.proxy.lifecycle.is_serving(), "this process accepts clients until the successor does");
    drop(successor);
    harness.wait_until("the end of the successor", |proxy| (!proxy.has_other_process()).then_some(()));
    assert_eq!((processes(), harness.proxy.bounds), (Some(1), full_bounds));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn standby_before_the_first_endpoint_list_does_not_hide_the_process_from_its_successor() {
    let folder = std::env::temp_dir().join(format!("larchdale-{}-late-list", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut harness = Harness::new();
    harness.update_cache_entry(|e| e.state = EndpointState::Removed);
    harness.proxy.discovery.endpoint_list.remove(harness.proxy.now, ORIGIN);
    harness.proxy.announce_endpoints(usize::MAX);
    let identity = Identity { name: "t".into(), listen: harness.proxy.configuration.listen };
    let files = TakeoverFiles::new(folder.clone(), identity);
    harness.proxy.takeover = Some(Takeover::new(files, None, false, &mut harness.proxy.event_loop));
    assert_eq!(harness.call("status\n"), "error not serving: starting\n");
    assert_eq!(harness.call("standby\n"), "done standby\n");
    let nodes = harness.config["known"]["cmds"][0]["nodes"].clone();
    let known = serde_json::json!({"cursor": 1, "cmds": [{"cursor": 1, "nodes": nodes}]});
    let text = {
        let mut c = harness.config.clone();
        c["known"] = known;
        c.to_string()
    };
    for command in Config::parse(&text, "test".into()).unwrap().known_events {
        harness.proxy.execute(command);
    }
    assert!(std::fs::read_dir(&folder).unwrap().next().is_none(), "the process accepts no clients yet");
    assert_eq!(harness.call("active\n"), "done serving\n");
    assert!(std::fs::read_dir(&folder).unwrap().next().is_some());
    // A connection to the takeover socket that sends nothing is closed after a timeout.
    let socket_path = std::fs::read_dir(&folder).unwrap().next().unwrap().unwrap().path();
    let mut silent = std::os::unix::net::UnixStream::connect(&socket_path).unwrap();
    silent.set_nonblocking(true).unwrap();
    harness.wait_until("a sweep", |proxy| {
        proxy.sweep();
        Some(())
    });
    harness.skip(2_000 * MILLISECOND + SWEEP_INTERVAL);
    harness.wait_until("the end of the connection", |_| {
        silent.read(&mut [0]).ok().filter(|n| *n == 0).map(|_| ())
    });
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn purges_in_force_are_handed_to_the_successor_with_their_age() {
    let folder = std::env::temp_dir().join(format!("larchdale-{}-purges", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // The wall clock was stepped by one hour before the successor started.
    let (mut old, mut new) = (Harness::new(), Harness::with_clock(Clock::start_off_by(3_600_000), |_| {}));
    let identity = Identity { name: "t".into(), listen: old.proxy.configuration.listen };
    let files = || TakeoverFiles::new(folder.clone(), identity.clone());
    old.proxy.takeover = Some(Takeover::new(files(), None, false, &mut old.proxy.event_loop));
    old.proxy.begin_serving();
    let when_ms = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
    old.proxy.execute(Command::Purge { scope: Purge::Group(17), when_ms });
    old.skip(3_000 * MILLISECOND);
    let (successor_files, log) = (files(), old.proxy.log.clone());
    let search = std::thread::spawn(move || predecessor::find(&successor_files, &log).unwrap());
    old.wait_until("the next process", |proxy| proxy.has_other_process().then_some(()));
    let found = search.join().unwrap();
    assert!(found.is_some());
    new.proxy.takeover = Some(Takeover::new(files(), found, false, &mut new.proxy.event_loop));
    new.proxy.inherit_state();
    new.proxy.process_events();
    let purge_received = new.events.all().iter().any(
        |e| matches!(e, Event::Purged { object: None, purge_group: 17, age } if (2_900 * MILLISECOND..60_000 * MILLISECOND).contains(age)),
    );
    assert!(purge_received && new.proxy.has_other_process());
    std::fs::remove_dir_all(folder).unwrap();
}

/// Guards against clients of the settings before a reload that the successor answers with protocol errors: it started
/// without the classes and limits that the reload had changed.
#[test]
fn classes_that_a_reload_has_changed_are_handed_to_the_successor() {
    let folder = std::env::temp_dir().join(format!("larchdale-{}-classes", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let keyed = |config: &mut serde_json::Value| {
        config["settings"]["classes"][0]["semantics"] = "deduplicated".into();
        config["settings"]["classes"][1]["name"] = "other".into();
        config["settings"]["limits"]["max-attempts"] = 2.into();
    };
    let (mut old, mut new) = (Harness::new(), Harness::with(keyed));
    let identity = Identity { name: "t".into(), listen: old.proxy.configuration.listen };
    let files = || TakeoverFiles::new(folder.clone(), identity.clone());
    old.proxy.takeover = Some(Takeover::new(files(), None, false, &mut old.proxy.event_loop));
    old.proxy.begin_serving();
    let mut config = old.config.clone();
    keyed(&mut config);
    assert!(old.reconfigure("handover", &config.to_string()));
    old.skip(500 * MILLISECOND);
    let (successor_files, log) = (files(), old.proxy.log.clone());
    let search = std::thread::spawn(move || predecessor::find(&successor_files, &log).unwrap());
    old.wait_until("the next process", |proxy| proxy.has_other_process().then_some(()));
    new.proxy.takeover =
        Some(Takeover::new(files(), search.join().unwrap(), false, &mut new.proxy.event_loop));
    new.proxy.inherit_state();
    new.proxy.process_events();
    new.skip(500 * MILLISECOND);
    let mut client = new.connect_client();
    client.write(&request(1, 1, "clip"));
    assert_eq!(new.read_frame(&mut client), (8, 1, vec![50, 0]), "without the key that it does not know of");
    client.write(&request(2, 2, "page"));
    let mut cache = new.accept_cache();
    assert_eq!(new.read_command(&mut cache)[1], request_id(2), "the dropped class is still served");
    new.skip(1_000 * MILLISECOND);
    client.write(&request(3, 3, "clip"));
    new.wait_until("the protocol error", |proxy| (proxy.metrics.client_protocol_errors == 1).then_some(()));
    std::fs::remove_dir_all(folder).unwrap();
}

/// Guards against an id that runs at both processes of a takeover: before the handover, and while both run.
#[test]
fn an_id_that_has_run_at_the_predecessor_is_not_run_again_by_its_successor() {
    let folder = std::env::temp_dir().join(format!("larchdale-{}-executed", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let once = |config: &mut serde_json::Value| {
        config["settings"]["classes"][2]["semantics"] = "at_most_once".into();
    };
    let (mut old, mut new) = (Harness::with(once), Harness::with(once));
    let identity = Identity { name: "t".into(), listen: old.proxy.configuration.listen };
    let files = || TakeoverFiles::new(folder.clone(), identity.clone());
    old.proxy.takeover = Some(Takeover::new(files(), None, false, &mut old.proxy.event_loop));
    old.proxy.begin_serving();
    let mut client = old.connect_client();
    // The first is answered before the handover, the second open during it, the third begins after it.
    client.write(&request(1, 1, "edit"));
    let mut origin = old.accept(|harness| &harness.origin);
    assert_eq!(old.read_command(&mut origin)[1], request_id(1));
    origin.write(&response(&request_id(1), "ok", "-", "x"));
    old.read_frame(&mut client);
    client.write(&request(2, 2, "edit"));
    assert_eq!(old.read_command(&mut origin)[1], request_id(2));
    let (successor_files, log) = (files(), old.proxy.log.clone());
    let search = std::thread::spawn(move || predecessor::find(&successor_files, &log).unwrap());
    old.wait_until("the next process", |proxy| proxy.has_other_process().then_some(()));
    let found = search.join().unwrap();
    new.proxy.takeover = Some(Takeover::new(files(), found, false, &mut new.proxy.event_loop));
    new.proxy.inherit_state();
    client.write(&request(3, 3, "edit"));
    let listener = old.origin.try_clone().unwrap();
    let mut origins = vec![origin];
    old.wait_until("the third attempt", |_| {
        origins.extend(listener.accept().ok().map(|accepted| Peer::new(accepted.0)));
        origins.iter_mut().find_map(|origin| {
            origin.read_available();
            decode_command(&mut origin.received).filter(|command| command[1] == request_id(3))
        })
    });
    drop(client);
    new.wait_until("the message of the predecessor", |proxy| proxy.recent_executions.find(3).map(|_| ()));
    let mut again = new.connect_client();
    for number in 1..=3 {
        again.write(&request(number, number, "edit"));
        assert_eq!(new.read_frame(&mut again), (8, number, vec![51, 0]));
    }
    again.write(&request(4, 4, "edit"));
    let mut origin = new.accept(|harness| &harness.origin);
    assert_eq!(new.read_command(&mut origin)[1], request_id(4), "another id runs");
    drop(old);
    new.wait_until("the end of the predecessor", |proxy| (!proxy.has_other_process()).then_some(()));
    std::fs::remove_dir_all(folder).unwrap();
}
