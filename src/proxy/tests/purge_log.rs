//! Behavior while the purge log is not current: requests get the strict age bound, and local copies are not used.

use super::local_cache::{request_object, send_channel_frame, unix_ms, with_local_cache};
use super::*;
use crate::purges::log::Settings;
use larchdale_test_support::registry::server::Registry;

/// Starts the proxy's purge log with an unreachable registry.
pub(super) fn start_disconnected_purge_log(proxy: &mut Proxy) {
    let endpoints = vec!["127.0.0.1:9".parse().unwrap()];
    let purge_log = Some(Settings::new(endpoints, "/purges/"));
    proxy.start_fleet(&Product { purge_log, ..Product::default() }, 1).unwrap();
}

/// Starts a proxy with a current purge log; returns it with its registry.
pub(super) fn with_current_purge_log() -> (Harness, Registry) {
    let mut harness = Harness::new();
    let registry = Registry::start(1).unwrap();
    let purge_log = Some(Settings::new(registry.addresses.clone(), "/purges/"));
    harness.proxy.start_fleet(&Product { purge_log, ..Product::default() }, 1).unwrap();
    harness.wait_until("a current purge log", |proxy| {
        proxy.purge_log().is_some_and(|log| log.is_current()).then_some(())
    });
    (harness, registry)
}

#[test]
fn without_a_current_purge_log_requests_limit_the_copy_age_to_the_bound() {
    let mut harness = Harness::new();
    start_disconnected_purge_log(&mut harness.proxy);
    let mut client = harness.connect_client();
    client.write(&request(1, 1, "clip"));
    let mut cache = harness.accept_cache();
    let command = harness.read_command(&mut cache);
    assert!(command[2].contains("fresh=1000"), "{command:?}");
}

#[test]
fn without_a_current_purge_log_local_copies_are_neither_served_nor_stored() {
    let (mut harness, mut channel) = with_local_cache();
    let (mut client, mut cache, now) = (harness.connect_client(), None, unix_ms());
    send_channel_frame(&mut harness, &mut channel, None);
    let asked: Vec<bool> =
        (1..=3).map(|n| request_object(&mut harness, &mut client, &mut cache, n, now)).collect();
    assert_eq!(asked, [true, true, false], "the copy is stored at the second request");
    start_disconnected_purge_log(&mut harness.proxy);
    assert!(
        request_object(&mut harness, &mut client, &mut cache, 4, now),
        "a purge of the copy may have been missed"
    );
}
