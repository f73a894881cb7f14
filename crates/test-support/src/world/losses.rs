//! Sites that are lost and return under a load that binds, and what the plan for it states of that: bounds and times.

use super::records::{Arrival, End, Request, REFUSED};
use super::servers::Kind;
use super::{checker, Fleet, Plan, UNSAFE};
use crate::processes::Line;
use fault_injection::Schedule;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

const S: u64 = 1_000_000;
/// Switches the plan on, with times short enough to wait for.
pub const SCRIPT: &str =
    "site_plan(doubt_ms = 500, lost_ms = 1500, back_ms = 1000, hint_ages_ms = 2000, steps = 4)";
/// What a return waits for, after the first loss; see [`SCRIPT`]. Doubled with each loss more.
pub const HOLD_OFF: u64 = S;
/// Steps of a return; see [`SCRIPT`].
pub const STEPS: u64 = 4;
/// Each is held for so long at least: the servers are warm after all.
pub const STEP: u64 = 5 * S / STEPS;
/// All instances have judged a loss after so long: 1.5 s of evidence, 2 s for what a peer has said, and half as much
/// again for a loaded machine.
pub const JUDGED: u64 = 5 * S;
/// What is sent within a second may come within a time shorter by this much.
pub const LATE: u64 = S / 5;
/// Zones from here on are branches, those before it hubs.
pub const EDGE: usize = 2;
/// Copies that a box keeps where it keeps all that is asked for.
pub const ALL: usize = 1_000;
/// Requests a second that clients of each instance send.
pub const RATE: f64 = 50.0;
/// What all instances together send a server of a lost site, in transfers.
const TRIAL: f64 = 0.2;
/// Until a loss is judged no plan is in force: by the module's own rules, what the lost servers did may come to the
/// others at once, up to so many times what they can do.
const UNJUDGED: f64 = 1.5;

/// A zone's servers were gone from one time to another; its return waits for so long at least.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Out {
    /// The zone.
    pub zone: usize,
    /// When its servers were killed.
    pub lost: u64,
    /// When they were started anew.
    pub back: u64,
    /// See [`HOLD_OFF`].
    pub hold_off: u64,
}

/// The servers can do what plans take them to, and a branch's load is what its link is made for: with that of a lost
/// branch it is too much for parents and archive.
pub fn plan(keeps: usize) -> Plan {
    let mut plan = Plan { boxes: (2, 6.0), parents: (1, 5.0), archive: 5.0, keeps, ..Plan::default() };
    plan.figures.classes.iter_mut().for_each(|c| c.share = if c.name == UNSAFE { 0.04 } else { 0.48 });
    plan
}

/// Six instances that know each other, and servers that have run for long.
pub fn fleet(program: &str, name: &str, script: &str, keeps: usize) -> io::Result<Fleet> {
    let plan = plan(keeps);
    let servers = plan.servers()?;
    let addresses = servers.addresses.clone();
    let way = |_: usize, server: usize| addresses[server];
    let mut fleet = Fleet::new(program, name, plan, servers, &Schedule::default(), way)?;
    fleet.instances.script = script.into();
    fleet.warm_parents();
    let keys: Vec<_> = fleet.plan.figures.classes.iter().flat_map(|c| c.keys()).collect();
    let boxes = (EDGE..fleet.plan.zones().len()).flat_map(|z| fleet.servers.of(z, Kind::Box));
    boxes.for_each(|b| fleet.servers.hold(b, &keys));
    fleet.instances.start_all()?;
    let all = fleet.plan.many() as u64;
    let seen = fleet.instances.see([all, 0, 0, 0], Duration::from_secs(20));
    seen.ok_or_else(|| io::Error::other("not all see all"))?;
    // A new instance holds back until what others may know of a return would have come.
    std::thread::sleep(Duration::from_millis(2_500));
    Ok(fleet)
}

/// Waits for a time of the world.
pub fn sleep_until(fleet: &Fleet, at: u64) {
    std::thread::sleep(Duration::from_micros(at.saturating_sub(fleet.servers.now())));
}

/// Kills a zone's boxes and parents at one time and starts them anew at another; when it really was.
pub fn lose(fleet: &Fleet, zone: usize, lost: u64, back: u64, hold_off: u64) -> io::Result<Out> {
    let site = [fleet.servers.of(zone, Kind::Box), fleet.servers.of(zone, Kind::Parent)].concat();
    sleep_until(fleet, lost);
    let lost = fleet.servers.now();
    site.iter().for_each(|&s| fleet.servers.kill(s));
    sleep_until(fleet, back);
    let back = fleet.servers.now();
    site.iter().try_for_each(|&s| fleet.servers.revive(s))?;
    Ok(Out { zone, lost, back, hold_off })
}

/// What all instances together may send a server, in transfers: what it can do, and after a loss first trials, then
/// the cold share, then more by equal factors, no step before its time. More for sources until it is judged.
pub fn bound(fleet: &Fleet, outs: &[Out], server: usize, at: u64) -> f64 {
    let (spec, set) = (&fleet.servers.specs[server], &fleet.plan.figures);
    let unjudged = outs.iter().any(|o| (o.lost..o.lost + JUDGED).contains(&at));
    if unjudged && spec.kind != Kind::Box {
        return UNJUDGED * spec.capacity;
    }
    let last = outs.iter().rfind(|o| o.zone == spec.zone && o.back <= at && spec.kind != Kind::Archive);
    let Some(out) = last else { return spec.capacity };
    let Some(since) = (at - out.back).checked_sub(out.hold_off) else { return TRIAL };
    let step = (since / STEP).min(STEPS);
    spec.capacity * set.cold.powf(1.0 - step as f64 / STEPS as f64)
}

/// The most work of each server in a second, over its bound. A process does not know what the one before it sent in
/// the same second: within it, `restarts` may bring twice the bound.
pub fn peaks(fleet: &Fleet, outs: &[Out], restarts: &[u64]) -> BTreeMap<usize, f64> {
    let works = |a: &Arrival| matches!(a.end, End::Hit | End::Filled);
    let again = |at: u64| restarts.iter().any(|r| (*r..r + 2 * S).contains(&at));
    let bound = |server: usize, at| {
        let most = if again(at) { 2.0 } else { 1.0 };
        bound(fleet, outs, server, at) * most * S as f64
    };
    checker::peaks(&fleet.servers.notes().arrivals, S - LATE, works, bound)
}

/// Of a class's requests sent within a time, how many there were and how many were refused.
pub fn refused(requests: &[Request], class: &str, from: u64, to: u64) -> (f64, f64) {
    let of = || requests.iter().filter(|r| r.class == class && (from..to).contains(&r.sent));
    let refused = |r: &&Request| r.answers.iter().any(|a| a.code == REFUSED);
    (of().count() as f64, of().filter(refused).count() as f64)
}

/// Seconds after a return until the part that is served within 3 s is what it was before the loss, nearly.
pub fn full_again(requests: &[Request], out: Out) -> Option<u64> {
    let before = checker::served(requests, out.lost.saturating_sub(3 * S), out.lost)?;
    let last = requests.iter().map(|r| r.sent).max()?;
    let starts = (0..).map(|n| (n, out.back + n * S)).take_while(|s| s.1 + 3 * S <= last + S);
    let good = |from| checker::served(requests, from, from + 3 * S).is_some_and(|s| s >= 0.95 * before);
    starts.into_iter().find(|s| good(s.1)).map(|s| s.0)
}

/// When an instance that runs came to hold a zone lost, each time; its log alone shows that.
pub fn losses(fleet: &Fleet, instance: usize, zone: usize) -> Vec<u64> {
    let name = &fleet.plan.zones()[zone];
    let Some(process) = &fleet.instances.running[instance] else { return Vec::new() };
    let lines = process.logged("site state changed").into_iter();
    let lost = |l: &Line| l.fields["zone"] == name.as_str() && l.fields["to"] == "Unreachable";
    lines.filter(lost).map(|l| (l.at - fleet.servers.began).as_micros() as u64).collect()
}
