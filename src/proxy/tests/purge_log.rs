//! A purge log that can't vouch for anything, on sockets: what was decided before that does not count any more.

use super::local_cache::{asks, tells, unix_ms, with_copies};
use super::*;
use crate::purges::log::Settings;
use larchdale_test_support::registry::server::Registry;

/// Switches a log on whose registry nobody reaches.
pub(super) fn cut_off(proxy: &mut Proxy) {
    let endpoints = vec!["127.0.0.1:9".parse().unwrap()];
    let purge_log = Some(Settings::new(endpoints, "/purges/"));
    proxy.start_fleet(&Product { purge_log, ..Product::default() }, 1).unwrap();
}

/// One whose log is followed and vouched for, with its registry.
pub(super) fn vouching() -> (Harness, Registry) {
    let mut harness = Harness::new();
    let registry = Registry::start(1).unwrap();
    let purge_log = Some(Settings::new(registry.addresses.clone(), "/purges/"));
    harness.proxy.start_fleet(&Product { purge_log, ..Product::default() }, 1).unwrap();
    harness
        .wait_until("the log", |proxy| proxy.purge_log().is_some_and(|log| log.is_current()).then_some(()));
    (harness, registry)
}

#[test]
fn what_is_asked_while_nothing_can_be_vouched_for_names_the_bound_as_the_oldest_age() {
    let mut harness = Harness::new();
    cut_off(&mut harness.proxy);
    let mut client = harness.connect_client();
    client.write(&request(1, 1, "clip"));
    let mut cache = harness.accept_cache();
    let want = harness.read_command(&mut cache);
    assert!(want[2].contains("fresh=1000"), "{want:?}");
}

#[test]
fn copies_of_the_instances_own_are_neither_served_nor_kept_while_nothing_can_be_vouched_for() {
    let (mut harness, mut channel) = with_copies();
    let (mut client, mut cache, now) = (harness.connect_client(), None, unix_ms());
    tells(&mut harness, &mut channel, None);
    let asked: Vec<bool> = (1..=3).map(|n| asks(&mut harness, &mut client, &mut cache, n, now)).collect();
    assert_eq!(asked, [true, true, false], "kept at the second time");
    cut_off(&mut harness.proxy);
    assert!(asks(&mut harness, &mut client, &mut cache, 4, now), "a purge of it may not have been heard");
}
