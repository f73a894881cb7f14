//! Two processes of one instance.

use super::*;

#[test]
fn two_processes_have_half_of_the_bounds_each() {
    let folder = std::env::temp_dir().join(format!("larchdale-{}-beside", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut w = World::new();
    let who = Identity { name: "t".into(), listen: w.proxy.configuration.listen };
    let files = TakeoverFiles::new(folder.clone(), who.clone());
    w.proxy.takeover = Some(Takeover::new(files, None, false, &mut w.proxy.event_loop));
    w.proxy.begin_serving();
    let alone = w.proxy.bounds;
    let recorded = w.events.clone();
    let processes = || {
        let events = recorded.all();
        let told = events.iter().rev();
        told.filter_map(|e| if let Event::Settings(s) = e { Some(s.processes) } else { None }).next()
    };
    let name = std::fs::read_dir(&folder).unwrap().next().unwrap().unwrap().path();
    let mut successor = std::os::unix::net::UnixStream::connect(&name).unwrap();
    successor.write_all(&crate::takeover::encode_line(&crate::takeover::hello(who))).unwrap();
    w.until("an offer", |d| d.has_other_process().then_some(()));
    assert_eq!(processes(), Some(2));
    let half = w.proxy.bounds;
    assert!(2 * half.clients <= alone.clients && 2 * half.upstream <= alone.upstream + 1);
    assert!(
        2 * half.client_buffers <= alone.client_buffers && 2 * half.request_bodies <= alone.request_bodies
    );
    assert!(w.proxy.lifecycle.is_serving(), "until the other one does");
    drop(successor);
    w.until("its end", |d| (!d.has_other_process()).then_some(()));
    assert_eq!((processes(), w.proxy.bounds), (Some(1), alone));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn standby_before_the_endpoint_list_does_not_hide_the_process_from_its_successor() {
    let folder = std::env::temp_dir().join(format!("larchdale-{}-late-list", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut w = World::new();
    w.relist(|e| e.state = EndpointState::Removed);
    w.proxy.discovery.endpoint_list.remove(w.proxy.now, ORIGIN);
    w.proxy.announce_endpoints(usize::MAX);
    let who = Identity { name: "t".into(), listen: w.proxy.configuration.listen };
    let files = TakeoverFiles::new(folder.clone(), who);
    w.proxy.takeover = Some(Takeover::new(files, None, false, &mut w.proxy.event_loop));
    assert_eq!(w.call("status\n"), "error not serving: starting\n");
    assert_eq!(w.call("standby\n"), "done standby\n");
    let config = w.config["known"]["cmds"][0]["nodes"].clone();
    let known = serde_json::json!({"cursor": 1, "cmds": [{"cursor": 1, "nodes": config}]});
    let text = {
        let mut c = w.config.clone();
        c["known"] = known;
        c.to_string()
    };
    for command in Config::parse(&text, "test".into()).unwrap().known {
        w.proxy.execute(command);
    }
    assert!(std::fs::read_dir(&folder).unwrap().next().is_none(), "it takes no clients yet");
    assert_eq!(w.call("active\n"), "done serving\n");
    assert!(std::fs::read_dir(&folder).unwrap().next().is_some());
    // One who knocks and says nothing does not keep its place.
    let name = std::fs::read_dir(&folder).unwrap().next().unwrap().unwrap().path();
    let mut silent = std::os::unix::net::UnixStream::connect(&name).unwrap();
    silent.set_nonblocking(true).unwrap();
    w.until("a sweep", |d| {
        d.sweep();
        Some(())
    });
    w.skip(2_000 * MILLISECOND + SWEEP_INTERVAL);
    w.until("its end", |_| silent.read(&mut [0]).ok().filter(|n| *n == 0).map(|_| ()));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn purges_in_force_are_handed_over_with_their_age() {
    let folder = std::env::temp_dir().join(format!("larchdale-{}-purges", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // The wall clock was stepped by an hour before the next process started.
    let (mut old, mut new) = (World::new(), World::with_clock(Clock::start_off_by(3_600_000), |_| {}));
    let who = Identity { name: "t".into(), listen: old.proxy.configuration.listen };
    let files = || TakeoverFiles::new(folder.clone(), who.clone());
    old.proxy.takeover = Some(Takeover::new(files(), None, false, &mut old.proxy.event_loop));
    old.proxy.begin_serving();
    let when_ms = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
    old.proxy.execute(Command::Purge { scope: Purge::Group(17), when_ms });
    old.skip(3_000 * MILLISECOND);
    let (asking, log) = (files(), old.proxy.log.clone());
    let asks = std::thread::spawn(move || predecessor::find(&asking, &log).unwrap());
    old.until("the next process", |d| d.has_other_process().then_some(()));
    let found = asks.join().unwrap();
    assert!(found.is_some());
    new.proxy.takeover = Some(Takeover::new(files(), found, false, &mut new.proxy.event_loop));
    new.proxy.inherit_state();
    new.proxy.process_events();
    let told = new.events.all().iter().any(
        |e| matches!(e, Event::Purged { object: None, purge_group: 17, age } if (2_900 * MILLISECOND..60_000 * MILLISECOND).contains(age)),
    );
    assert!(told && new.proxy.has_other_process());
    std::fs::remove_dir_all(folder).unwrap();
}
