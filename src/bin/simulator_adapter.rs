//! Adapter that runs routers for a simulator: reads one batch of events as a line of JSON and writes one line of JSON
//! with the resulting actions. It only translates; the routers make all decisions.
#![forbid(unsafe_code)]

use larchdale::config::settings::Document;
use larchdale::routing::events::{
    Action, AttemptStatus, CacheStatus, Endpoint, EndpointState, Event, Fetch, LoadReport, Outcome, Request,
};
use larchdale::Router;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::sync::Arc;

#[derive(Deserialize)]
struct Batch<'a> {
    #[serde(rename = "ts-us")]
    now: u64,
    #[serde(borrow)]
    input: Vec<&'a RawValue>,
}

/// The kind of one event in a batch.
#[derive(Deserialize)]
struct Verb<'a> {
    #[serde(borrow)]
    verb: Cow<'a, str>,
}

/// The supported event kinds; events of other kinds are skipped.
const VERBS: [&str; 9] =
    ["ATTACH", "KILLED", "UPDATE", "ORDER", "COMPLETED", "ESTABLISHED", "HANGUP", "PURGED", "BELL"];

#[derive(Deserialize)]
#[serde(rename_all_fields = "kebab-case")]
enum WireEvent {
    #[serde(rename = "ATTACH")]
    Attach {
        router_id: u64,
        #[serde(default)]
        rng_seed: u64,
        settings: Box<Document>,
    },
    #[serde(rename = "KILLED")]
    Killed { router_id: u64 },
    #[serde(rename = "UPDATE")]
    Update {
        router_id: u64,
        scope: String,
        #[serde(default)]
        elements: Vec<WireMember>,
    },
    #[serde(rename = "ORDER")]
    Order {
        router_id: u64,
        ticket: Arc<str>,
        class: usize,
        #[serde(default)]
        asset: String,
        budget_us: u64,
        #[serde(default)]
        size_kb: f64,
        #[serde(default)]
        label_no: f64,
        #[serde(default)]
        part: f64,
    },
    #[serde(rename = "COMPLETED")]
    Completed {
        router_id: u64,
        ticket: Arc<str>,
        result: String,
        #[serde(default)]
        last: bool,
        #[serde(default)]
        leg: u32,
        #[serde(default)]
        time_taken_us: u64,
        #[serde(default)]
        fill_wait_us: u64,
        #[serde(default)]
        note: u32,
        #[serde(default)]
        metrics: Option<BTreeMap<String, f64>>,
    },
    #[serde(rename = "ESTABLISHED")]
    Established { router_id: u64, ticket: Arc<str> },
    #[serde(rename = "HANGUP")]
    Hangup { router_id: u64, ticket: Arc<str> },
    #[serde(rename = "PURGED")]
    Purged {
        router_id: u64,
        #[serde(default)]
        asset: Option<String>,
        #[serde(default)]
        group: u64,
        #[serde(default)]
        oldness_us: u64,
    },
    #[serde(rename = "BELL")]
    Bell { router_id: u64, r#ref: u64 },
}

/// Parses one event; `None` if its kind is not supported.
///
/// The kind is parsed separately and wrapped around the event as its enum tag. With an internally tagged enum, serde
/// would buffer the other fields, and that loses floating-point numbers as soon as any crate in the build enables the
/// `arbitrary_precision` feature of serde_json.
fn parse_event(raw: &RawValue) -> Result<Option<WireEvent>, String> {
    let Verb { verb } = serde_json::from_str(raw.get()).map_err(|e| e.to_string())?;
    if !VERBS.contains(&&*verb) {
        return Ok(None);
    }
    serde_json::from_str(&format!("{{\"{verb}\":{raw}}}")).map(Some).map_err(|e| e.to_string())
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireMember {
    cache: Arc<str>,
    #[serde(default)]
    mode: String,
    #[serde(default)]
    site: usize,
    #[serde(default)]
    pod: u32,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    family_type: i64,
    #[serde(default)]
    came_up_us: u64,
}

#[derive(Serialize)]
struct Reply {
    out: Vec<WireAction>,
}

#[derive(Serialize)]
#[serde(tag = "verb", rename_all_fields = "kebab-case")]
enum WireAction {
    #[serde(rename = "DISPATCH")]
    Dispatch { router_id: u64, ticket: Arc<str>, cache: Arc<str>, stop_at_us: u64 },
    #[serde(rename = "DELIVER_VIA")]
    DeliverVia {
        router_id: u64,
        ticket: Arc<str>,
        cache: Arc<str>,
        stop_at_us: u64,
        from_where: Arc<str>,
        manner: u32,
        store_as: u8,
        oldness_us: u64,
    },
    #[serde(rename = "RECALL")]
    Recall { router_id: u64, ticket: Arc<str>, leg: u32 },
    #[serde(rename = "BUSY")]
    Busy { router_id: u64, ticket: Arc<str>, retry_in_us: u64 },
    #[serde(rename = "FINISH_ERROR")]
    FinishError { router_id: u64, ticket: Arc<str> },
    #[serde(rename = "ARM")]
    Arm { router_id: u64, alarm_time_us: u64, r#ref: u64 },
    #[serde(rename = "STREAM_CHANGES")]
    StreamChanges { router_id: u64, enable: bool },
}

/// A router, with the settings that map endpoint kinds to roles.
struct Host {
    router: Router,
    settings: Box<Document>,
}

fn parse_object(text: &str) -> Result<u64, String> {
    if text.is_empty() {
        return Ok(0);
    }
    u64::from_str_radix(text, 16).map_err(|_| format!("object id '{text}' is not a hexadecimal number"))
}

impl Host {
    fn endpoint(&self, member: WireMember) -> Endpoint {
        Endpoint {
            id: member.cache,
            role: self.settings.role(member.family_type),
            state: match member.mode.as_str() {
                "healthy" => EndpointState::Healthy,
                "cordoned" => EndpointState::Draining,
                _ => EndpointState::Removed,
            },
            zone: member.site,
            cell: member.pod,
            kind: member.family_type.max(0) as u32,
            weight: member.weight,
            started_at: member.came_up_us,
        }
    }
}

fn attempt_status(text: &str) -> Result<AttemptStatus, String> {
    Ok(match text {
        "S" => AttemptStatus::Served,
        "E" => AttemptStatus::Error,
        "F" => AttemptStatus::Rejected,
        "T" => AttemptStatus::TimedOut,
        "C" => AttemptStatus::ConnectFailed,
        "R" => AttemptStatus::Reset,
        "X" => AttemptStatus::Cancelled,
        "N" => AttemptStatus::NeverSent,
        "M" => AttemptStatus::Miss,
        other => return Err(format!("unknown result '{other}'")),
    })
}

fn cache_status(number: u32) -> CacheStatus {
    match number {
        1 => CacheStatus::Hit,
        2 => CacheStatus::Filled,
        3 => CacheStatus::FilledByOrigin,
        4 => CacheStatus::Joined,
        5 => CacheStatus::Stale,
        6 => CacheStatus::SourceRejected,
        7 => CacheStatus::SourceFailed,
        8 => CacheStatus::SourceMiss,
        9 => CacheStatus::FillSlotsFull,
        10 => CacheStatus::OriginFailed,
        _ => CacheStatus::Unknown,
    }
}

fn load_report(values: BTreeMap<String, f64>) -> LoadReport {
    let value = |name: &str| values.get(name).copied().unwrap_or(-1.0);
    LoadReport { active: value("active"), utilization: value("cpu"), hit_ratio: value("x0") }
}

/// Converts an event for the router; returns it with the id of the instance that it is for.
fn router_event(wire: WireEvent, hosts: &BTreeMap<u64, Host>) -> Result<Option<(u64, Event)>, String> {
    Ok(Some(match wire {
        WireEvent::Update { router_id, scope, elements } => {
            let Some(host) = hosts.get(&router_id) else {
                return Ok(None);
            };
            let event = match scope.as_str() {
                "X" => Event::WatchFailed,
                "D" | "F" | "C" => Event::Endpoints {
                    complete: scope != "D",
                    endpoints: elements.into_iter().map(|member| host.endpoint(member)).collect(),
                },
                other => return Err(format!("unknown scope '{other}' of UPDATE")),
            };
            (router_id, event)
        }
        WireEvent::Order { router_id, ticket, class, asset, budget_us, size_kb, label_no, part } => (
            router_id,
            Event::Request(Request {
                id: ticket,
                class,
                object: parse_object(&asset)?,
                chunk: part as u64,
                purge_group: label_no as u64,
                timeout: budget_us,
                size_kb,
                repeat_policy: None,
            }),
        ),
        WireEvent::Completed {
            router_id,
            ticket,
            result,
            last,
            leg,
            time_taken_us,
            fill_wait_us,
            note,
            metrics,
        } => (
            router_id,
            Event::Outcome(Outcome {
                request: ticket,
                attempt: leg,
                status: attempt_status(&result)?,
                is_final: last,
                elapsed: time_taken_us,
                fill_wait: fill_wait_us,
                cache_status: cache_status(note),
                load_report: metrics.map(load_report),
            }),
        ),
        WireEvent::Established { router_id, ticket } => {
            (router_id, Event::ResponseStarted { request: ticket })
        }
        WireEvent::Hangup { router_id, ticket } => (router_id, Event::ClientDisconnected { request: ticket }),
        WireEvent::Purged { router_id, asset, group, oldness_us } => (
            router_id,
            Event::Purged {
                object: match asset {
                    Some(text) => Some(parse_object(&text)?).filter(|&object| object != 0),
                    None => None,
                },
                purge_group: group,
                age: oldness_us,
            },
        ),
        WireEvent::Bell { router_id, r#ref } => (router_id, Event::Timer { token: r#ref }),
        WireEvent::Attach { .. } | WireEvent::Killed { .. } => return Ok(None),
    }))
}

fn wire_action(router_id: u64, action: Action) -> WireAction {
    match action {
        Action::Send { request, server, until, fetch: None } => {
            WireAction::Dispatch { router_id, ticket: request, cache: server, stop_at_us: until }
        }
        Action::Send { request, server, until, fetch: Some(fetch) } => WireAction::DeliverVia {
            router_id,
            ticket: request,
            cache: server,
            stop_at_us: until,
            manner: fetch_flags(&fetch),
            from_where: fetch.source,
            store_as: fetch.cache_priority,
            oldness_us: fetch.max_age,
        },
        Action::Cancel { request, attempt } => {
            WireAction::Recall { router_id, ticket: request, leg: attempt }
        }
        Action::Reject { request, retry_after } => {
            WireAction::Busy { router_id, ticket: request, retry_in_us: retry_after }
        }
        Action::Fail { request } => WireAction::FinishError { router_id, ticket: request },
        Action::Timer { at, token } => WireAction::Arm { router_id, alarm_time_us: at, r#ref: token },
        Action::Watch => WireAction::StreamChanges { router_id, enable: true },
    }
}

fn fetch_flags(fetch: &Fetch) -> u32 {
    u32::from(fetch.join_fill) + 2 * u32::from(fetch.cached_only) + 8 * u32::from(fetch.revalidate)
}

fn handle_batch(line: &str, hosts: &mut BTreeMap<u64, Host>) -> Result<Reply, String> {
    let batch: Batch = serde_json::from_str(line).map_err(|e| e.to_string())?;
    let mut out = Vec::new();
    let mut actions = Vec::new();
    for raw in batch.input {
        let Some(wire) = parse_event(raw)? else { continue };
        match wire {
            WireEvent::Attach { router_id, rng_seed, settings } => {
                let router = Router::new(settings.for_router(), rng_seed);
                hosts.insert(router_id, Host { router, settings });
            }
            WireEvent::Killed { router_id } => {
                hosts.remove(&router_id);
            }
            wire => {
                if let Some((router_id, event)) = router_event(wire, hosts)? {
                    if let Some(host) = hosts.get_mut(&router_id) {
                        host.router.handle(batch.now, event, &mut actions);
                        out.extend(actions.drain(..).map(|action| wire_action(router_id, action)));
                    }
                }
            }
        }
    }
    Ok(Reply { out })
}

fn run() -> Result<(), String> {
    let mut hosts = BTreeMap::new();
    let mut stdout = std::io::stdout().lock();
    for (number, line) in std::io::stdin().lock().lines().enumerate() {
        let with_line_number = |e: String| format!("line {}: {e}", number + 1);
        let line = line.map_err(|e| with_line_number(e.to_string()))?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = handle_batch(&line, &mut hosts).map_err(with_line_number)?;
        serde_json::to_writer(&mut stdout, &reply).map_err(|e| with_line_number(e.to_string()))?;
        stdout.write_all(b"\n").and_then(|()| stdout.flush()).map_err(|e| with_line_number(e.to_string()))?;
    }
    Ok(())
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("larchdale-wirehost: {message}");
            std::process::ExitCode::FAILURE
        }
    }
}
