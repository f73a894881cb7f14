//! The admin endpoint and what operators read there.

use super::*;

impl World {
    pub(super) fn caller(&mut self) -> Peer {
        let address = self.proxy.admin.as_ref().unwrap().listener.local_addr().unwrap();
        Peer::new(StdStream::connect(address).unwrap())
    }

    /// All that a caller is answered, up to the close.
    pub(super) fn told(&mut self, caller: &mut Peer) -> String {
        self.ended(caller);
        String::from_utf8(caller.got.to_vec()).unwrap()
    }

    pub(super) fn call(&mut self, line: &str) -> String {
        let mut caller = self.caller();
        caller.put(line.as_bytes());
        self.told(&mut caller)
    }
}

#[test]
fn the_admin_endpoint_answers_one_line_and_unknown_commands_change_nothing() {
    let mut w = World::new();
    assert_eq!(w.call("status\r\n"), "done serving\n");
    for line in ["\n", "Standby\n", "standby now\n", &"standby".repeat(20), &"x".repeat(100_000)] {
        let answer = w.call(line);
        assert!(
            answer.starts_with("error ") && answer.ends_with('\n') && answer.lines().count() == 1,
            "{answer}"
        );
    }
    // In pieces; and one who closes its half behind the line still hears.
    let mut caller = w.caller();
    for byte in b"status\n" {
        caller.put(&[*byte]);
        w.proxy.turn().unwrap();
    }
    caller.stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(w.told(&mut caller), "done serving\n");
    // Half a call and a close is no call.
    let mut caller = w.caller();
    caller.put(b"standby");
    caller.stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(w.told(&mut caller), "");
    assert_eq!(w.call("status\nstandby\n"), "done serving\n");
    assert_eq!(w.call("status\n"), "done serving\n");
}

#[test]
fn silent_admin_connections_and_clients_keep_no_operator_out() {
    let mut w = World::new();
    // One whose coming no event tells of, as after an accept without a descriptor, is found by the sweep.
    let mut unseen = w.caller();
    w.proxy.sweep();
    assert_eq!(w.proxy.admin.as_ref().unwrap().clients.len(), 1);
    unseen.put(b"status\n");
    assert_eq!(w.told(&mut unseen), "done serving\n");
    let silent: Vec<Peer> = (0..40).map(|_| w.caller()).collect();
    let clients: Vec<Peer> = (0..40).map(|_| w.client()).collect();
    assert_eq!(w.call("status\n"), "done serving\n");
    w.skip(crate::admin::CONNECTION_TIMEOUT + SWEEP_INTERVAL);
    for mut caller in silent {
        w.ended(&mut caller);
    }
    drop(clients);
}

#[test]
fn metrics_count_each_request_once_and_attempts_when_written() {
    let mut w = World::new();
    let (mut client, mut cache, _) = w.asked();
    let stats = w.call("stats\n");
    assert!(
        stats.contains("proxy_concurrent 1\n") && stats.contains("proxy_dispatches_total 1\n"),
        "{stats}"
    );
    assert!(
        stats.contains("proxy_targets 2\nproxy_targets_disabled 0\n") && stats.ends_with("\nend\n"),
        "{stats}"
    );
    cache.put(&answer(&trace(1), "ok", "-", "x"));
    assert_eq!(w.frame(&mut client).0, 8);
    client.put(&request(2, 2, "page"));
    w.command(&mut cache);
    client.put(&frame(9, 2, &[]));
    w.until("the client's leaving", |d| (d.admin_metrics.concurrent() == 0).then_some(()));
    let stats = w.call("stats\n");
    for line in [
        "proxy_replies_total{type=\"clip\",status=\"success\"} 1\n",
        "proxy_replies_total{type=\"clip\",status=\"error\"} 0\n",
        "proxy_replies_total{type=\"page\",status=\"error\"} 1\n",
        "proxy_replies_total{type=\"edit\",status=\"overload\"} 0\n",
        "proxy_dispatches_total 2\n",
        "proxy_concurrent 0\n",
    ] {
        assert!(stats.contains(line), "{line}{stats}");
    }
}
