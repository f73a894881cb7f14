use super::script::{run, ScriptError};
use super::{LogFormat, Product, RegistrySettings};
use crate::placement::quiet::Window;
use std::path::Path;

const GOOD: &str = r#"
# A registry with three members.
hosts = ["127.0.0.%d:2379" % n for n in range(1, 4)]
registry(
    endpoints = hosts,
    prefix = "/larchdale/test/",
    check_ms = 100 + 100,
    snapshot = "/var/lib/larchdale",
)
log(form = "json")
"#;

fn script_error(text: &str) -> (usize, usize, String) {
    match run(Path::new("x.star"), text.to_owned()) {
        Err(ScriptError::Invalid { line, column, what, .. }) => (line, column, what),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_script_gives_typed_settings_and_defaults_for_omitted_arguments() {
    let product = run(Path::new("x.star"), GOOD.to_owned()).unwrap();
    let registry = product.registry.unwrap();
    assert_eq!(registry.endpoints.len(), 3);
    let defaults = RegistrySettings::new(registry.endpoints.clone(), "/larchdale/test/");
    let expected =
        RegistrySettings { check_interval: 200_000, snapshot: Some("/var/lib/larchdale".into()), ..defaults };
    assert_eq!((registry, product.log), (expected, Some(LogFormat::Json)));
    assert_eq!(run(Path::new("x.star"), String::new()).unwrap(), Product::default());
}

#[test]
fn a_script_error_reports_line_column_and_a_hint() {
    for (text, line, column, parts) in [
        (
            "registry(\n  endpoints = [\"127.0.0.1:1\"],\n  prefx = \"/a/\",\n)",
            3,
            3,
            ["prefx", "did you mean prefix"],
        ),
        ("registry(endpoints = [\"127.0.0.1:1\"], prefix = 7)", 1, 39, ["a number, not a string", "hint: "]),
        (
            "\nregistry(endpoints = [\"127.0.0.1:1\"], prefix = \"/a/\", page = 0)",
            2,
            55,
            ["page is 0", "1 to 5000"],
        ),
        ("registry(endpoints = [\"h:1\"], prefix = \"/a/\")", 1, 10, ["endpoints[0]", "not an address"]),
        ("registry(endpoints = [], prefix = \"/a/\")", 1, 10, ["0 entries", "1 to 16"]),
        ("registry(prefix = \"/a/\")", 1, 1, ["requires endpoints", "hint"]),
        ("log(form = \"xml\")", 1, 5, ["neither", "text"]),
        ("log(form = \"text\")\nlog(form = \"json\")", 2, 1, ["called twice", "hint"]),
        ("a = 1\nb = a + \"x\"", 2, 5, ["not supported", "int"]),
        ("registry(\n  endpoints = ]", 2, 15, ["Parse error", "]"]),
        ("regstry()", 1, 1, ["regstry", "registry"]),
        (
            "purge_log(endpoints = [\"127.0.0.1:1\"], prefix = \"/p/\", silence_ms = 800)",
            1,
            1,
            ["check_ms and silence_ms (1050 together)", "raise staleness_ms"],
        ),
        ("purge_log(prefix = \"/p/\")", 1, 1, ["purge_log() requires endpoints", "hint"]),
        (
            "purge_log(endpoints = [\"127.0.0.1:1\"], prefix = \"/p\")",
            1,
            40,
            ["must begin and end with '/'", "/larchdale/depots/"],
        ),
        ("site_plan(lost_ms = 500)", 1, 1, ["lost_ms (500)", "doubt_ms (1000)"]),
        ("site_plan(beyond_branch = 1)", 1, 11, ["not a bool", "True or False"]),
        ("shards(prefix = \"/s/\")", 1, 1, ["requires endpoints", "hint"]),
        (
            "quiet(zone = \"b\", days = [\"sat\", \"son\"])",
            1,
            19,
            ["'son' is not a day of the week", "sat, sun"],
        ),
        ("quiet(zone = \"b\", days = [\"sat\"], since = \"25:00\")", 1, 35, ["not a time of day", "22:30"]),
        ("quiet(zone = \"b\", tz = \"Mars/Olympus\")", 1, 19, ["not a time zone", "America/Vancouver"]),
        (
            "quiet(zone = \"b\", days = [\"sat\"], starts = \"2026-12-24T22:00:00Z\")",
            1,
            1,
            ["both", "two calls"],
        ),
        (
            "blackout(starts = \"2026-12-24T22:00:00Z\", ends = \"2026-12-24T21:00:00Z\")",
            1,
            1,
            ["not after", "swap"],
        ),
        ("blackout(starts = \"christmas\")", 1, 10, ["not a timestamp", "UTC offset"]),
        ("growth(merge_percent = 20)", 1, 1, ["merge_percent (20)", "split_percent (25)"]),
        ("growth()", 0, 0, ["growth() is set", "shards() is not"]),
    ] {
        let (at_line, at_column, what) = script_error(text);
        assert_eq!((at_line, at_column), (line, column), "{text}: {what}");
        assert!(parts.iter().all(|p| what.contains(p)), "{text}: {what}");
    }
}

#[test]
fn fleet_calls_set_failover_shards_windows_and_growth() {
    let text = r#"
site_plan(lost_ms = 4000, beyond_branch = True)
shards(endpoints = ["127.0.0.1:2379"], prefix = "/larchdale/fleet/", moves = 3)
quiet(zone = "branch", days = ["fri", "sat"], since = "22:30", until = "05:00", tz = "America/Vancouver")
quiet(zone = "branch", starts = "2026-12-24T22:00:00-08:00", ends = "2026-12-25T22:00:00-08:00")
blackout(starts = "2026-12-31T00:00:00Z", ends = "2027-01-02T00:00:00Z")
growth(box_mb = 500)
"#;
    let product = run(Path::new("x.star"), text.to_owned()).unwrap();
    let expected = crate::failover::Settings {
        unreachable_after: 4_000_000,
        cross_zone_caches: true,
        ..Default::default()
    };
    assert_eq!(product.site_plan, Some(expected));
    assert_eq!(product.shards.unwrap().moves, 3);
    assert_eq!(product.growth.unwrap().box_kb, 500_000.0);
    let (zone, window) = &product.calendar.quiet[0];
    let weekly = matches!(window, Window::Weekly { days: 0b11_0000, from: 1_350, to: 300, .. });
    assert!(zone == "branch" && weekly, "{window:?}");
    assert_eq!((product.calendar.quiet.len(), product.calendar.blackouts.len()), (2, 1));
}

#[test]
fn a_script_that_exceeds_the_step_memory_or_depth_limit_is_stopped() {
    let endless =
        "def f():\n    for a in range(100000):\n        for b in range(100000):\n            pass\nf()";
    assert!(script_error(endless).2.contains("limit"), "{:?}", script_error(endless));
    let greedy = "def f():\n    x = \"a\" * 1000\n    l = []\n    for a in range(100000):\n        l.append(x + str(a))\nf()";
    assert!(script_error(greedy).2.contains("Heap"), "{:?}", script_error(greedy));
    let deep = "def f(n):\n    return f(n + 1)\nf(0)";
    let (_, _, what) = script_error(deep);
    assert!(what.contains("recurs") || what.contains("stack"), "{what}");
}
