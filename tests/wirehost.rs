//! Tests of the simulator adapter on hand-written batches.
use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_larchdale-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at a malformed line, so a failed write is ignored; the tests check its output.
    let _ = child.stdin.take().expect("a pipe").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn replies(batches: &[Value]) -> Vec<Value> {
    let lines: Vec<String> = batches.iter().map(|b| format!("{b}\n")).collect();
    let output = run(&lines.concat());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    text.lines().map(|l| serde_json::from_str(l).expect("a JSON reply")).collect()
}

fn attach(instance: u64, zone: u64) -> [Value; 2] {
    let settings = json!({
        "balancers": 2, "zone": zone, "tier": 0, "discovery": "push", "brand-new-key": [1, 2],
        "classes": [{"promise-us": 400000, "deadline-us": 3000000, "semantics": "idempotent",
                     "dedup-scope": "all", "window-us": 3000000, "aim-stretch": 2.0, "name": "page"}],
        "domain": {"can-join": true, "crew-by-zone": [0, 1, 1], "detail": "all", "direct": true,
                   "flow-kb-per-s": 1000.0, "max-age-us": [20000000], "stale-for-us": [10000000],
                   "pass-on": [false], "parent-breaks-at": 2.0, "parent-cold-from": 0.1,
                   "parent-ramp-us": 20000000, "purge-done-us": 6000000, "source-kind": 2, "upper-kind": 1},
        "limits": {"max-attempts": 4, "may-cancel": true, "retry-after": true, "max-retry-after-us": 1000000},
        "rules": {"fall-us": 1000000, "start-capacity": 0.2, "tip-multiple": 2.0, "warm-within-us": 18000000},
        "weight-source": "nominal",
    });
    let endpoint = |cache: &str, site: u64, kind: u64| json!({"cache": cache, "mode": "healthy", "site": site, "pod": 0, "weight": 8, "family-type": kind});
    [
        json!({"verb": "ATTACH", "router-id": instance, "rng-seed": 1, "settings": settings}),
        json!({"verb": "UPDATE", "router-id": instance, "serial": 1, "scope": "C", "elements": [
            endpoint("10.0.0.1:80", 1, 0), endpoint("10.0.0.2:80", 2, 0),
            endpoint("10.0.1.1:80", 0, 1), endpoint("10.0.2.1:80", 0, 2)]}),
    ]
}

fn request(instance: u64, ticket: &str) -> Value {
    json!({"verb": "ORDER", "router-id": instance, "ticket": ticket, "class": 0, "org": 0,
           "asset": "91f03b7c55d20a64", "budget-us": 3000000, "size-kb": 64, "label-no": 11, "part": 0})
}

fn batch(now: u64, input: Vec<Value>) -> Value {
    json!({"ts-us": now, "input": input})
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(replies(&[batch(5, vec![])]), vec![json!({"out": []})]);
}

#[test]
fn a_request_is_sent_to_a_cache_of_the_instances_own_zone_with_a_parent_as_source() {
    let mut input: Vec<Value> = attach(3, 1).into();
    input.extend(attach(5, 2));
    input.extend([request(3, "a"), request(5, "b")]);
    let out = replies(&[batch(1000000, input)]);
    let sends: Vec<&Value> =
        out[0]["out"].as_array().unwrap().iter().filter(|a| a["verb"] == "DELIVER_VIA").collect();
    assert_eq!(sends.len(), 2);
    for (send, instance, ticket, cache) in [(0, 3, "a", "10.0.0.1:80"), (1, 5, "b", "10.0.0.2:80")] {
        let send = sends[send];
        assert_eq!((&send["router-id"], &send["ticket"]), (&json!(instance), &json!(ticket)));
        assert_eq!((&send["cache"], &send["from-where"]), (&json!(cache), &json!("10.0.1.1:80")));
        assert_eq!((&send["manner"], &send["stop-at-us"]), (&json!(9), &json!(4000000)));
        assert_eq!((&send["oldness-us"], &send["store-as"]), (&json!(20000000), &json!(1)));
    }
}

#[test]
fn a_killed_instance_loses_its_state_and_restarts_without_it() {
    let mut first: Vec<Value> = attach(3, 1).into();
    first.push(request(3, "a"));
    let kill = json!({"verb": "KILLED", "router-id": 3});
    let late_outcome = json!({"verb": "COMPLETED", "router-id": 3, "ticket": "a", "result": "E",
                      "cache": "10.0.0.1:80", "leg": 0, "time-taken-us": 10});
    let mut restart: Vec<Value> = vec![kill.clone()];
    restart.extend(attach(3, 1));
    let out = replies(&[
        batch(1000000, first),
        batch(1100000, vec![kill]),
        batch(1200000, vec![late_outcome.clone(), request(3, "x")]),
        batch(1300000, restart),
        batch(1400000, vec![late_outcome]),
        batch(1500000, vec![request(3, "b")]),
    ]);
    for index in [1, 2, 3, 4] {
        assert_eq!(out[index], json!({"out": []}), "batch {index}");
    }
    assert_eq!(out[5]["out"][0]["ticket"], json!("b"));
}

#[test]
fn unknown_keys_and_events_are_skipped() {
    let mut input: Vec<Value> = attach(3, 1).into();
    input.push(json!({"verb": "A_LATER_EVENT", "router-id": 3, "what": {"ever": 1}}));
    let mut with_unknown_key = request(3, "a");
    with_unknown_key["moon-phase"] = json!("full");
    input.push(with_unknown_key);
    input.push(json!({"verb": "COMPLETED", "router-id": 3, "ticket": "a", "result": "S", "last": true,
                      "cache": "10.0.0.1:80", "leg": 0, "time-taken-us": 10, "metrics": {"novel": 1.5}}));
    assert_eq!(replies(&[batch(1000000, input)])[0]["out"][0]["verb"], json!("DELIVER_VIA"));
}

#[test]
fn a_purge_of_a_group_needs_no_object() {
    let mut input: Vec<Value> = attach(3, 1).into();
    input.push(json!({"verb": "PURGED", "router-id": 3, "group": 11, "oldness-us": 85000}));
    input.push(request(3, "a"));
    let out = replies(&[batch(1000000, input)]);
    assert_eq!(out[0]["out"][0]["oldness-us"], json!(85000));
    assert_eq!(out[0]["out"][0]["manner"], json!(8), "the fetch must not join a fill");
}

#[test]
fn a_malformed_line_is_reported_on_standard_error() {
    let unknown = json!({"verb": "COMPLETED", "router-id": 3, "ticket": "a", "result": "Q", "leg": 0});
    for (line, expected) in [
        ("{\"ts-us\":1,\"input\":[".to_string(), "line 2"),
        ("{\"input\":[]}".to_string(), "ts-us"),
        (batch(1, vec![unknown]).to_string(), "unknown result 'Q'"),
    ] {
        let output = run(&format!("{}\n{line}\n", batch(0, vec![])));
        let message = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && message.contains(expected), "{message}");
        assert_eq!(String::from_utf8_lossy(&output.stdout).lines().count(), 1);
    }
}
