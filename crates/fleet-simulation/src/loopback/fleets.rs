//! Hollow instances by the hundred against one stand-in registry: what they ask of it, calm and with changes.

use super::hollow::{Hollows, Kind};
use super::process::{cpu_us, threads};
use super::tap::Tap;
use super::{LoopbackError, CHANGES, PREFIX, VALUE};
use crate::capacity::target::{Sum, ENDPOINTS, INSTANCES, PURGES};
use crate::capacity::{Per, Quantity, Role, Row};
use crate::slopes::list::record_below;
use crate::slopes::Effort;
use larchdale::registry::lease::PLANNER_KEY;
use larchdale_test_support::registry::server::Registry;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const MECHANISM: &str =
    "src/registry/documents/driver.rs, DocumentsDriver, and src/registry/driver.rs, Driver: one session each, straight to the registry";
/// How long all may take until they follow.
const FOLLOW: Duration = Duration::from_secs(60);
/// After that checks are spread, and the first claims made.
const SETTLES: Duration = Duration::from_secs(3);
/// Documents that changes go round.
const DOCUMENTS: u32 = 40;
/// Microseconds of a second from which on the stand-in's thread counts as never idle.
const SATURATED: f64 = 850_000.0;
/// Hollow instances whose messages are counted by a tap.
const TAPPED: usize = 3;

/// What one registry bore, a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Borne {
    /// Processor time of the registry's thread, in microseconds.
    pub cpu_us: f64,
    /// Bytes that it wrote.
    pub bytes: f64,
    /// Changes that reached a hollow instance, over all.
    pub delivered: f64,
    /// Of one hollow instance: bytes up, messages up, bytes down, messages down.
    pub each: [f64; 4],
}

/// The registry that all follow, with a planner that is nobody here.
///
/// # Errors
/// No port is free.
pub fn registry() -> Result<Registry, LoopbackError> {
    let registry = Registry::start(1).map_err(super::io("stand-in registry"))?;
    registry.with(|s| s.put(format!("{PREFIX}{PLANNER_KEY}").as_bytes(), b"another", 0));
    Ok(registry)
}

/// The nth change.
pub fn change(registry: &Registry, kind: Kind, n: u32) {
    registry.with(|s| match kind {
        Kind::Documents => {
            let key = format!("{PREFIX}configuration/{}", n % DOCUMENTS);
            s.put(key.as_bytes(), &[n as u8; VALUE], 0);
        }
        Kind::List => {
            let (key, value) = record_below(PREFIX, (n % ENDPOINTS as u32) as usize, 1.0 + f64::from(n % 7));
            s.put(&key, &value, 0);
        }
    });
}

/// So many hollow instances for a while, calm and then with [`CHANGES`] a second.
///
/// # Errors
/// They do not get to follow, or there are not descriptors enough.
pub fn run(kind: Kind, many: usize, span: Duration) -> Result<[Borne; 2], LoopbackError> {
    let before = threads()?;
    let registry = registry()?;
    if kind == Kind::List {
        registry.with(|s| {
            for n in 0..ENDPOINTS as usize {
                let (key, value) = record_below(PREFIX, n, 1.0);
                s.put(&key, &value, 0);
            }
        });
    }
    let own: Vec<i32> = threads()?.into_iter().filter(|t| !before.contains(t)).collect();
    let (direct, id) = (registry.addresses[0], std::process::id() as i32);
    let tap = Tap::start(direct)?;
    let mut hollows = Hollows::new(kind, many, |n| if n < TAPPED { tap.address } else { direct })?;
    hollows.follow(FOLLOW)?;
    let tapped = TAPPED.min(many) as f64;
    let mut borne = [Borne::default(); 2];
    for (n, borne) in borne.iter_mut().enumerate() {
        let mut changes = 0;
        let mut phase = |span: Duration, hollows: &mut Hollows| {
            let (began, step) = (Instant::now(), Duration::from_secs(1) / CHANGES);
            for k in 1.. {
                let until = (began + step * k).min(began + span);
                hollows.run(until)?;
                if n == 1 {
                    change(&registry, kind, changes);
                    changes += 1;
                }
                if until >= began + span {
                    break;
                }
            }
            Ok::<f64, LoopbackError>(began.elapsed().as_secs_f64())
        };
        phase(if n == 0 { SETTLES } else { SETTLES / 3 }, &mut hollows)?;
        let cpu = || cpu_us(id, |t| own.contains(&t));
        let (at, written, taken) = (cpu()?, registry.written.load(Ordering::Relaxed), hollows.changes);
        let counts = tap.passed.counts();
        let spent = phase(span, &mut hollows)?;
        borne.cpu_us = (cpu()? - at) / spent;
        borne.bytes = (registry.written.load(Ordering::Relaxed) - written) as f64 / spent;
        borne.delivered = (hollows.changes - taken) as f64 / spent;
        let now = tap.passed.counts();
        borne.each = std::array::from_fn(|k| (now[k] - counts[k]) as f64 / tapped / spent);
    }
    Ok(borne)
}

/// The registry's rows.
///
/// # Errors
/// As [`run`].
pub fn rows(effort: Effort) -> Result<Vec<Row>, LoopbackError> {
    let span = Duration::from_secs(if effort.quick { 2 } else { 6 });
    let mut rows = Vec::new();
    for (kind, word) in [(Kind::Documents, "documents"), (Kind::List, "the list of 420 depots")] {
        // A thousand lists with a check each quarter of a second are more than the stand-in's thread bears: it falls
        // silent to them (seen on 2026-12-02: all sessions were lost again and again).
        let sizes = match kind {
            Kind::Documents => effort.sizes(&[30, 100, 300, 1_000], &[5, 10, 20, 40]),
            Kind::List => effort.sizes(&[30, 60, 120, 240], &[5, 10, 20, 40]),
        };
        let mut all = Vec::new();
        for &many in sizes {
            all.push((many as f64, run(kind, many, span)?));
        }
        let row = |name: &str, quantity, of: &dyn Fn(&[Borne; 2], f64) -> f64| {
            // Where the thread is never idle its time says nothing of what it was asked.
            let idle = |b: &[Borne; 2]| quantity != Quantity::CpuRate || b[1].cpu_us < SATURATED;
            let kept = all.iter().filter(|a| idle(&a.1));
            let points: Vec<(f64, f64)> = kept.map(|(n, b)| (*n, of(b, *n))).collect();
            let name = format!("{word}, {name}");
            Row::new(Role::Registry, &name, quantity, Per::Member, INSTANCES, &points, MECHANISM)
        };
        // At the peak documents change as purges would, were they documents: a mechanism that there is not.
        let (calm, busy) = if kind == Kind::List { (1.0, 0.0) } else { (0.0, PURGES / f64::from(CHANGES)) };
        rows.extend([
            row("calm", Quantity::CpuRate, &|b, _| b[0].cpu_us).counts(Sum::ControlCpu, 1.0, calm),
            row("20 changes/s", Quantity::CpuRate, &|b, _| b[1].cpu_us).counts(Sum::ControlCpu, 0.0, busy),
            row("calm", Quantity::BytesOut, &|b, _| b[0].bytes).counts(Sum::ControlBytes, 1.0, calm),
            row("20 changes/s", Quantity::BytesOut, &|b, _| b[1].bytes).counts(Sum::ControlBytes, 0.0, busy),
            row("calm", Quantity::MessagesIn, &|b, n| b[0].each[1] * n),
            row("20 changes/s", Quantity::MessagesOut, &|b, n| b[1].each[3] * n),
            row("20 changes/s, those that were taken up", Quantity::MessagesOut, &|b, _| b[1].delivered),
            row("connections", Quantity::Descriptors, &|_, n| n).counts(Sum::ControlConnections, 1.0, 1.0),
        ]);
    }
    Ok(rows)
}
