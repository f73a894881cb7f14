//! A judge of the loss of sites: what it takes to read all notes again and again, as the driver does, and to weigh them.

use super::cost::{heap, Stopwatch};
use super::Effort;
use crate::capacity::target::{Sum, INSTANCES, SITES};
use crate::capacity::{Per, Quantity, Role, Row};
use larchdale::failover::site_report::{SiteObservation, SiteReport, MAX_SITES};
use larchdale::failover::FailureDetector;
use larchdale::failover::{AttemptOutcome, ListedServer, Settings};

const MECHANISM: &str =
    "src/failover/failure_detector.rs, FailureDetector; src/failover/observations.rs; src/proxy/failover.rs";
const S: u64 = 1_000_000;
/// The driver hands all notes to the judge so often, in a second.
const READS: f64 = 4.0;
/// And the judge weighs what it has so often, while there is evidence against any site.
const WEIGHS: f64 = 10.0;
/// Servers of one site, on the mean.
const SERVERS: usize = 3;

/// The note of a member of a fleet in which so many sites are in trouble.
fn note(member: usize, zones: usize, troubled: usize, at: u64) -> Vec<u8> {
    let sight = |n: usize| SiteObservation {
        zone: (n * 7 % zones) as u8,
        reached: 0,
        failed: 3,
        unreachable_tenths_s: 20 + (member % 9) as u8,
        state: 1,
    };
    let note = SiteReport {
        zone: (member % zones) as u8,
        clock_ms: 1_800_000_000_000 + at / 1_000,
        plan_number: 0x1234_5678,
        map_epoch: 77,
        observations: (0..troubled.min(MAX_SITES)).map(sight).collect(),
    };
    note.encode()
}

/// A judge with its list, and attempts of its own at every site.
fn judge(zones: usize, now: u64) -> FailureDetector {
    let mut judge = FailureDetector::new(Settings::default(), 0, zones + 1, 7, now - 10 * S);
    judge.update_servers(
        now,
        (0..zones * SERVERS).map(|n| ListedServer { key: n as u64, zone: n / SERVERS, serving: true }),
    );
    for n in 0..zones * SERVERS {
        judge.record_attempt(now, n as u64, n / SERVERS, AttemptOutcome::InTime);
    }
    judge
}

/// Reads all notes and hands them over, as one turn of the driver does.
fn read(judge: &mut FailureDetector, notes: &[Vec<u8>], now: u64) {
    let mut actions = Vec::new();
    let heard: Vec<(u16, u64, SiteReport)> = notes
        .iter()
        .enumerate()
        .filter_map(|(n, bytes)| Some((n as u16, S, SiteReport::decode(bytes).ok()?)))
        .collect();
    for (member, age, note) in &heard {
        judge.receive_report(now, *member, *age, note, &mut actions);
    }
}

fn members(effort: Effort) -> &'static [usize] {
    effort.sizes(&[100, 330, 1_000, 3_300], &[30, 60, 100, 200])
}

fn zones(effort: Effort) -> &'static [usize] {
    effort.sizes(&[10, 30, 60, 170], &[5, 10, 20, 30])
}

/// Processor time of reading and weighing, by members and by sites, on a calm day and while sites are in trouble.
pub fn times(effort: Effort) -> Vec<Row> {
    let row = |name: &str, per, target: f64, points: &[(f64, f64)]| {
        Row::new(Role::Judge, name, Quantity::CpuRate, per, target, points, MECHANISM)
    };
    let turns = if effort.quick { 5 } else { 20 };
    let reads = |members: usize, zones: usize, troubled: usize| {
        let now = 1_000 * S;
        let (mut judge, mut watch) = (judge(zones, now), Stopwatch::new());
        let notes: Vec<Vec<u8>> = (0..members).map(|m| note(m, zones, troubled, now)).collect();
        (0..turns).for_each(|t| watch.time(|| read(&mut judge, &notes, now + t * S / 4)));
        watch.us_each() * READS
    };
    let weighs = |members: usize, zones: usize, troubled: usize| {
        let now = 1_000 * S;
        let (mut judge, mut watch) = (judge(zones, now), Stopwatch::new());
        let notes: Vec<Vec<u8>> = (0..members).map(|m| note(m, zones, troubled, now)).collect();
        read(&mut judge, &notes, now);
        (0..turns).for_each(|t| {
            watch.time(|| {
                judge.evaluate(now + t * S / 10, &mut Vec::new());
                judge.report(now + t * S / 10)
            });
        });
        watch.us_each() * WEIGHS
    };
    let sites = SITES as usize;
    let many = 1_000;
    let mut rows = vec![
        row(
            "all notes read, calm, 170 sites",
            Per::Member,
            INSTANCES,
            &effort.points(members(effort), |n| reads(n, sites, 0)),
        )
        .counts(Sum::InstanceCpu, 1.0, 0.0),
        row(
            "all notes read, 12 sites in trouble, 170 sites",
            Per::Member,
            INSTANCES,
            &effort.points(members(effort), |n| reads(n, sites, MAX_SITES)),
        )
        .counts(Sum::InstanceCpu, 0.0, 1.0),
        row(
            "all words weighed, 12 sites in trouble, 170 sites",
            Per::Member,
            INSTANCES,
            &effort.points(members(effort), |n| weighs(n, sites, MAX_SITES)),
        )
        .counts(Sum::InstanceCpu, 0.0, 1.0),
    ];
    rows.push(row(
        "all words weighed, 12 sites in trouble, 1,000 members",
        Per::Site,
        SITES,
        &effort.points(zones(effort), |n| weighs(many, n, MAX_SITES)),
    ));
    rows
}

/// Bytes of what is known of each site.
pub fn heaps(effort: Effort) -> Vec<Row> {
    let points = effort.points(members(effort), |n| {
        heap(|| {
            let now = 1_000 * S;
            let mut judge = judge(SITES as usize, now);
            let notes: Vec<Vec<u8>> = (0..n).map(|m| note(m, SITES as usize, MAX_SITES, now)).collect();
            read(&mut judge, &notes, now);
            judge
        })
    });
    let name = "words of members, 12 sites in trouble";
    let row = Row::new(Role::Judge, name, Quantity::Heap, Per::Member, INSTANCES, &points, MECHANISM);
    vec![row.counts(Sum::InstanceMemory, 1.0, 1.0)]
}
