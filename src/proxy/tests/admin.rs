//! The admin endpoint: commands, status and metrics.

use super::*;

impl Harness {
    pub(super) fn connect_admin(&mut self) -> Peer {
        let address = self.proxy.admin.as_ref().unwrap().listener.local_addr().unwrap();
        Peer::new(StdStream::connect(address).unwrap())
    }

    /// Waits for the end of an admin connection and returns all that was received on it.
    pub(super) fn admin_response(&mut self, caller: &mut Peer) -> String {
        self.expect_end(caller);
        String::from_utf8(caller.received.to_vec()).unwrap()
    }

    /// Sends one line to the admin endpoint and returns the response.
    pub(super) fn call(&mut self, line: &str) -> String {
        let mut caller = self.connect_admin();
        caller.write(line.as_bytes());
        self.admin_response(&mut caller)
    }
}

#[test]
fn the_admin_endpoint_answers_one_line_and_unknown_commands_change_nothing() {
    let mut harness = Harness::new();
    assert_eq!(harness.call("status\r\n"), "done serving\n");
    for line in ["\n", "Standby\n", "standby now\n", &"standby".repeat(20), &"x".repeat(100_000)] {
        let answer = harness.call(line);
        assert!(
            answer.starts_with("error ") && answer.ends_with('\n') && answer.lines().count() == 1,
            "{answer}"
        );
    }
    // A command that arrives in pieces is answered, also when the caller shuts down its write side after the line.
    let mut caller = harness.connect_admin();
    for byte in b"status\n" {
        caller.write(&[*byte]);
        harness.proxy.turn().unwrap();
    }
    caller.stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(harness.admin_response(&mut caller), "done serving\n");
    // A line that is cut off by the close is not executed.
    let mut caller = harness.connect_admin();
    caller.write(b"standby");
    caller.stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(harness.admin_response(&mut caller), "");
    assert_eq!(harness.call("status\nstandby\n"), "done serving\n");
    assert_eq!(harness.call("status\n"), "done serving\n");
}

#[test]
fn idle_admin_connections_and_clients_do_not_block_admin_calls() {
    let mut harness = Harness::new();
    // The sweep accepts a connection for which no readiness event arrives, as after an accept that failed for lack of
    // a descriptor.
    let mut pending = harness.connect_admin();
    harness.proxy.sweep();
    assert_eq!(harness.proxy.admin.as_ref().unwrap().clients.len(), 1);
    pending.write(b"status\n");
    assert_eq!(harness.admin_response(&mut pending), "done serving\n");
    let silent: Vec<Peer> = (0..40).map(|_| harness.connect_admin()).collect();
    let clients: Vec<Peer> = (0..40).map(|_| harness.connect_client()).collect();
    assert_eq!(harness.call("status\n"), "done serving\n");
    harness.skip(crate::admin::CONNECTION_TIMEOUT + SWEEP_INTERVAL);
    for mut caller in silent {
        harness.expect_end(&mut caller);
    }
    drop(clients);
}

#[test]
fn metrics_count_each_request_once_and_each_attempt_when_it_is_written() {
    let mut harness = Harness::new();
    let (mut client, mut cache, _) = harness.forward_request();
    let stats = harness.call("stats\n");
    assert!(
        stats.contains("proxy_concurrent 1\n") && stats.contains("proxy_dispatches_total 1\n"),
        "{stats}"
    );
    assert!(
        stats.contains("proxy_targets 2\nproxy_targets_disabled 0\n") && stats.ends_with("\nend\n"),
        "{stats}"
    );
    cache.write(&response(&request_id(1), "ok", "-", "x"));
    assert_eq!(harness.read_frame(&mut client).0, 8);
    client.write(&request(2, 2, "page"));
    harness.read_command(&mut cache);
    client.write(&frame(9, 2, &[]));
    harness.wait_until("the cancellation", |proxy| (proxy.admin_metrics.concurrent() == 0).then_some(()));
    let stats = harness.call("stats\n");
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
