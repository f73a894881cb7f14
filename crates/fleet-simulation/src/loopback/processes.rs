//! Real processes: what one instance takes with everything off, while it follows lists of several lengths, and while it
//! follows documents; calm, and with changes.

use super::fleets::{change, registry};
use super::hollow::Kind;
use super::process::{Proxy, Taken};
use super::tap::Tap;
use super::{LoopbackError, CHANGES, PREFIX};
use crate::capacity::target::{Sum, CHANGES_S, ENDPOINTS, LISTED_S, PURGES, SHARDS};
use crate::capacity::{Per, Quantity, Role, Row};
use crate::slopes::documents::map;
use crate::slopes::list::record_below;
use crate::slopes::Effort;
use larchdale::purges::log::append;
use larchdale::purges::PurgeScope;
use larchdale_test_support::registry::server::Registry;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// After its start a process is let be for so long.
const SETTLES: Duration = Duration::from_secs(3);

/// One process with its registry.
struct Watched {
    size: usize,
    registry: Option<(Registry, Tap)>,
    instance: Proxy,
}

/// What it took over a span, and a second of it.
#[derive(Clone, Copy, Debug)]
struct Spent {
    resident: f64,
    cpu: f64,
    /// Bytes up, messages up, bytes down, messages down.
    counts: [f64; 4],
    descriptors: f64,
}

/// What is switched on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum On {
    Nothing,
    Registry,
    Shards,
    PurgeLog,
}

impl Watched {
    fn start(program: &Path, on: On, size: usize) -> Result<Self, LoopbackError> {
        if on == On::Nothing {
            return Ok(Watched { size, registry: None, instance: Proxy::start(program, "")? });
        }
        let registry = registry()?;
        let tap = Tap::start(registry.addresses[0])?;
        let call = match on {
            On::PurgeLog => "purge_log",
            On::Registry => "registry",
            _ => "shards",
        };
        let script = format!("{call}(endpoints = [\"{}\"], prefix = \"{PREFIX}\")\n", tap.address);
        registry.with(|s| match on {
            On::Registry => {
                // The planner's key is no endpoint.
                s.delete(format!("{PREFIX}planner").as_bytes());
                for n in 0..size {
                    let (key, value) = record_below(PREFIX, n, 1.0);
                    s.put(&key, &value, 0);
                }
            }
            On::Shards if size > 0 => {
                let mut map = map(size, 1);
                map.zone = 1;
                s.put(format!("{PREFIX}map/1").as_bytes(), &map.encode(), 0);
            }
            _ => {}
        });
        let instance = Proxy::start(program, &script)?;
        instance.logs("list taken")?;
        Ok(Watched { size, registry: Some((registry, tap)), instance })
    }

    fn counts(&self) -> [u64; 4] {
        self.registry.as_ref().map_or([0; 4], |r| r.1.passed.counts())
    }
}

/// What each took over a span; `change` is called for each [`CHANGES`] times a second.
fn over(all: &[Watched], span: Duration, changing: Option<Kind>) -> Result<Vec<Spent>, LoopbackError> {
    let before: Vec<(Taken, [u64; 4])> =
        all.iter().map(|w| Ok((w.instance.taken()?, w.counts()))).collect::<Result<_, LoopbackError>>()?;
    let (began, mut n) = (Instant::now(), 0u32);
    while began.elapsed() < span {
        n += 1;
        let next = began + Duration::from_secs(1) / CHANGES * n;
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        if let Some(kind) = changing {
            for (registry, _) in all.iter().filter(|w| w.size > 0).filter_map(|w| w.registry.as_ref()) {
                change(registry, kind, n);
            }
        }
    }
    let spent = began.elapsed().as_secs_f64();
    let one = |(w, (taken, counts)): (&Watched, &(Taken, [u64; 4]))| {
        let (now, passed) = (w.instance.taken()?, w.counts());
        Ok(Spent {
            resident: now.resident,
            cpu: (now.cpu_us - taken.cpu_us).max(0.0) / spent,
            counts: std::array::from_fn(|k| (passed[k] - counts[k]) as f64 / spent),
            descriptors: now.descriptors,
        })
    };
    all.iter().zip(&before).map(one).collect()
}

/// A purge of one object is appended to a log.
fn purge(registry: &Registry, head: &mut Option<Vec<u8>>, n: u64) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    let object = PurgeScope::Object(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let Ok((_, [last, entry])) = append(head.as_deref(), now, vec![object]) else { return };
    registry.with(|s| s.put(format!("{PREFIX}{}", entry.0).as_bytes(), &entry.1, 0));
    *head = Some(last.1);
}

/// Rows of processes with purge_log() on, by purges a second.
fn purge_logs(program: &Path, effort: Effort, off: Spent) -> Result<Vec<Row>, LoopbackError> {
    const RATES: [usize; 4] = [5, 20, 40, 80];
    const TICKS: u32 = 80;
    let span = Duration::from_secs(if effort.quick { 2 } else { 20 });
    let all: Vec<Watched> =
        RATES.iter().map(|&rate| Watched::start(program, On::PurgeLog, rate)).collect::<Result<_, _>>()?;
    std::thread::sleep(SETTLES);
    let calm = over(&all, span, None)?;
    let before: Vec<(Taken, [u64; 4])> =
        all.iter().map(|w| Ok((w.instance.taken()?, w.counts()))).collect::<Result<_, LoopbackError>>()?;
    let (began, mut n, mut heads) = (Instant::now(), 0u32, vec![None; all.len()]);
    while began.elapsed() < span {
        n += 1;
        let next = began + Duration::from_secs(1) / TICKS * n;
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        for (w, head) in all.iter().zip(&mut heads) {
            let due = |tick: u32| u64::from(tick) * w.size as u64 / u64::from(TICKS);
            if let Some((registry, _)) = w.registry.as_ref().filter(|_| due(n) > due(n - 1)) {
                purge(registry, head, due(n));
            }
        }
    }
    let spent = began.elapsed().as_secs_f64();
    let mut points = [Vec::new(), Vec::new(), Vec::new()];
    for ((w, (taken, counts)), calm) in all.iter().zip(&before).zip(&calm) {
        let (now, passed) = (w.instance.taken()?, w.counts());
        let rate = w.size as f64;
        points[0].push((rate, ((now.cpu_us - taken.cpu_us).max(0.0) / spent - off.cpu).max(0.0)));
        points[1].push((rate, ((passed[0] - counts[0]) + (passed[2] - counts[2])) as f64 / spent));
        points[2].push((rate, (calm.resident - off.resident).max(0.0)));
    }
    let row = |name: &str, quantity, points: &[(f64, f64)]| {
        let mechanism = "src/purges/log.rs, PurgeLog; src/proxy/purge_log.rs";
        let name = format!("a process with purge_log() on, {name}");
        Row::new(Role::Purges, &name, quantity, Per::Purge, PURGES, points, mechanism)
    };
    let [cpu, bytes, resident] = points;
    Ok(vec![
        row("by purges a second, more than off", Quantity::CpuRate, &cpu).counts(Sum::InstanceCpu, 1.0, 1.0),
        row("by purges a second, both ways, a second", Quantity::Bytes, &bytes),
        row("more than off, before any purge", Quantity::Resident, &resident),
    ])
}

/// All rows of real processes.
///
/// # Errors
/// One does not start, or is gone.
pub fn rows(program: &Path, effort: Effort) -> Result<Vec<Row>, LoopbackError> {
    let span = Duration::from_secs(if effort.quick { 2 } else { 20 });
    let mut rows = Vec::new();
    let base = {
        let off = [Watched::start(program, On::Nothing, 1)?];
        std::thread::sleep(SETTLES);
        over(&off, span, None)?[0]
    };
    let one = |name: &str, quantity, value: f64| {
        let mechanism = "src/proxy/mod.rs, Proxy; src/net/event_loop.rs, EventLoop";
        Row::new(Role::Process, name, quantity, Per::Process, 1.0, &[(1.0, value)], mechanism)
    };
    rows.push(one("everything off", Quantity::Resident, base.resident).counts(Sum::InstanceMemory, 1.0, 1.0));
    rows.push(one("everything off", Quantity::CpuRate, base.cpu).counts(Sum::InstanceCpu, 1.0, 1.0));
    rows.push(one("everything off", Quantity::Descriptors, base.descriptors));
    rows.extend(purge_logs(program, effort, base)?);
    for on in [On::Registry, On::Shards] {
        let (role, per, target, word, mechanism) = match on {
            On::Registry => (
                Role::List,
                Per::Endpoint,
                ENDPOINTS,
                "registry()",
                "src/registry/driver.rs, Driver; src/proxy/discovery.rs",
            ),
            _ => (
                Role::Documents,
                Per::Shard,
                SHARDS,
                "shards()",
                "src/registry/documents/driver.rs, DocumentsDriver; src/proxy/rebalancing.rs",
            ),
        };
        let sizes = match on {
            On::Registry => effort.sizes(&[0, 100, 420, 1_000, 4_000], &[0, 50, 420]),
            _ => effort.sizes(&[0, 100, 1_000, 5_000, 10_000], &[0, 100, 1_000]),
        };
        let kind = if on == On::Registry { Kind::List } else { Kind::Documents };
        let all: Vec<Watched> =
            sizes.iter().map(|&n| Watched::start(program, on, n)).collect::<Result<_, _>>()?;
        std::thread::sleep(SETTLES);
        let calm = over(&all, span, None)?;
        let busy = over(&all, span, Some(kind))?;
        let both = || all.iter().zip(calm.iter().zip(&busy)).map(|(w, (c, b))| (w.size as f64, c, b));
        let row = |name: &str, quantity, of: &dyn Fn(&Spent, &Spent) -> f64| {
            // What is switched on and follows nothing is the base, no size of its own.
            let points: Vec<(f64, f64)> =
                both().filter(|p| p.0 > 0.0).map(|(n, c, b)| (n, of(c, b))).collect();
            Row::new(
                role,
                &format!("a process with {word} on, {name}"),
                quantity,
                per,
                target,
                &points,
                mechanism,
            )
        };
        let more = one(
            &format!("{word} on and nothing listed, more than off"),
            Quantity::Resident,
            (calm[0].resident - base.resident).max(0.0),
        );
        // Most of it is the program's own pages for the script, the same for both: counted once.
        let once = on == On::Registry;
        rows.push(if once { more.counts(Sum::InstanceMemory, 1.0, 1.0) } else { more });
        let changes = if on == On::Registry { LISTED_S } else { CHANGES_S };
        // The core's rows count what a changed document costs; the real one is beside them.
        let counted =
            |r: Row| if on == On::Registry { r.counts(Sum::InstanceCpu, changes.0, changes.1) } else { r };
        rows.extend([
            row("calm", Quantity::Resident, &|c, _| c.resident),
            row("calm, more than off", Quantity::CpuRate, &|c, _| (c.cpu - base.cpu).max(0.0)).counts(
                Sum::InstanceCpu,
                1.0,
                1.0,
            ),
            counted(row("a change of 20/s", Quantity::CpuEach, &|c, b| {
                (b.cpu - c.cpu).max(0.0) / f64::from(CHANGES)
            })),
            row("calm", Quantity::BytesOut, &|c, _| c.counts[0]).counts(Sum::InstanceBytes, 1.0, 1.0),
            row("calm", Quantity::BytesIn, &|c, _| c.counts[2]).counts(Sum::InstanceBytes, 1.0, 1.0),
            row("calm", Quantity::MessagesOut, &|c, _| c.counts[1]),
            row("a change of 20/s, both ways", Quantity::Bytes, &|c, b| {
                (b.counts[0] + b.counts[2] - c.counts[0] - c.counts[2]).max(0.0) / f64::from(CHANGES)
            }),
            row("calm", Quantity::Descriptors, &|c, _| c.descriptors),
        ]);
    }
    Ok(rows)
}
