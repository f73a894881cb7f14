use super::*;
use proptest::prelude::*;

#[test]
fn decode_accepts_the_four_calls_and_rejects_any_other_line() {
    for (line, call) in [
        ("status\n", Call::Status),
        ("stats\r\n", Call::Stats),
        (" standby \nrest", Call::Standby),
        ("active\n", Call::Active),
    ] {
        assert_eq!(Call::decode(line.as_bytes()), Ok(Some(call)));
        let partial = &line.as_bytes()[..line.find('\n').unwrap()];
        assert_eq!(Call::decode(partial), Ok(None), "{line:?} is incomplete");
    }
    for line in ["\n", "\r\n", "STATUS\n", "status now\n", "\u{0}\n"] {
        assert_eq!(Call::decode(line.as_bytes()), Err(InvalidCall::Unknown), "{line:?}");
    }
    assert_eq!(Call::decode(&[b'x'; MAX_LINE_BYTES + 1]), Err(InvalidCall::TooLong));
    assert_eq!(
        Call::decode(&[&[b' '; MAX_LINE_BYTES + 1][..], b"status\n"].concat()),
        Err(InvalidCall::TooLong)
    );
    assert!(InvalidCall::Unknown.to_string().contains("status, stats, standby and active"));
}

#[test]
fn at_the_limit_the_oldest_connection_without_a_complete_line_is_evicted_first() {
    let mut connections = AdminConnections::default();
    for key in 0..MAX_CONNECTIONS {
        assert_eq!(connections.open(key, 0), None);
    }
    connections.line_received(0, 0);
    assert_eq!(connections.open(100, 1), Some(1), "the oldest without a complete line");
    connections.remove(5);
    assert_eq!(connections.open(101, 1), None);
    connections.line_received(2, CONNECTION_TIMEOUT - 1);
    assert_eq!(connections.remove_expired(CONNECTION_TIMEOUT - 1), Vec::<usize>::new());
    let removed = connections.remove_expired(CONNECTION_TIMEOUT);
    assert!(
        removed.len() == MAX_CONNECTIONS - 3 && !removed.contains(&2) && !removed.contains(&100),
        "{removed:?}"
    );
}

#[test]
fn metrics_list_each_name_once_and_keep_the_counts_of_a_class_that_is_added_again() {
    let mut metrics = Metrics::default();
    let (odd, plain) = (metrics.class("a\"b\\c\nd"), metrics.class("images"));
    for status in [EndStatus::Success, EndStatus::Success, EndStatus::Error] {
        metrics.request_accepted();
        metrics.request_ended(plain, status);
    }
    metrics.request_accepted();
    assert_eq!(metrics.class("images"), plain);
    assert_ne!(odd, plain);
    let text = metrics.render(Gauges { targets: 7, unavailable: 2, peers: None, fleet: Vec::new() });
    let expected = "proxy_replies_total{type=\"a\\\"b\\\\c\\nd\",status=\"success\"} 0\n\
        proxy_replies_total{type=\"a\\\"b\\\\c\\nd\",status=\"overload\"} 0\n\
        proxy_replies_total{type=\"a\\\"b\\\\c\\nd\",status=\"error\"} 0\n\
        proxy_replies_total{type=\"images\",status=\"success\"} 2\n\
        proxy_replies_total{type=\"images\",status=\"overload\"} 0\n\
        proxy_replies_total{type=\"images\",status=\"error\"} 1\n\
        proxy_dispatches_total 0\nproxy_concurrent 1\nproxy_targets 7\nproxy_targets_disabled 2\n\
        proxy_reload_success_total 0\nproxy_reload_failure_total 0\nend\n";
    assert_eq!(text, expected);
    let peers = Some(PeerMetrics {
        by_state: [3, 1, 2, 0],
        dropped: 4,
        from_unknown_addresses: 1,
        ..PeerMetrics::default()
    });
    let text = metrics.render(Gauges { targets: 7, unavailable: 2, peers, fleet: vec![("site_plan", 7)] });
    let more = text.strip_prefix(expected.trim_end_matches("end\n")).unwrap();
    for line in [
        "peers{state=\"alive\"} 3",
        "peers{state=\"dead\"} 2",
        "peer_datagrams_dropped_total 5",
        "site_plan 7",
    ] {
        assert!(more.contains(&format!("proxy_{line}\n")) && more.ends_with("\nend\n"), "{line} in {more}");
    }
}

proptest! {
    #![proptest_config(crate::net::testing::config())]

    /// For any bytes in any pieces: a call is decoded once its line is complete and not before, and an invalid line is
    /// rejected at its end at the latest, or as soon as it exceeds the maximum length.
    #[test]
    fn bytes_received_in_pieces_decode_to_one_result(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let result = (0..=bytes.len()).map(|n| Call::decode(&bytes[..n])).find(|v| v != &Ok(None));
        let is_complete = bytes.contains(&b'\n');
        prop_assert_eq!(result.is_some(), is_complete || bytes.len() > MAX_LINE_BYTES);
        if let Some(first) = result {
            prop_assert_eq!(first, Call::decode(&bytes));
        }
    }

    /// For any sequence of steps: the number of connections stays within the limit, and closed or evicted connections
    /// are removed.
    #[test]
    fn the_number_of_connections_is_bounded(steps in prop::collection::vec((0u8..4, 0usize..40, 0u64..CONNECTION_TIMEOUT), 1..200)) {
        let (mut connections, mut now, mut next) = (AdminConnections::default(), 0, 100);
        let mut open: Vec<usize> = Vec::new();
        for (step, index, wait) in steps {
            now += wait / 8;
            let known = open.get(index).copied();
            match (step, known) {
                (0, Some(key)) => connections.line_received(key, now),
                (1, Some(key)) => {
                    connections.remove(key);
                    open.retain(|other| *other != key);
                }
                (2, _) => {
                    let removed = connections.remove_expired(now);
                    open.retain(|key| !removed.contains(key));
                }
                _ => {
                    let evicted = connections.open(next, now);
                    open.retain(|key| Some(*key) != evicted);
                    open.push(next);
                    next += 1;
                }
            }
            prop_assert!(open.len() <= MAX_CONNECTIONS);
            prop_assert_eq!(connections.connections.iter().map(|entry| entry.0).collect::<Vec<_>>(), open.clone());
        }
    }
}
