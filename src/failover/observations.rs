//! Observations of each site: outcomes of this instance's own attempts, and its peers' reports with their age.
//!
//! [`Observations`] is owned by the failure detector, which derives a [`Decision`] for each site from them.

use super::site_report::{SiteObservation, SiteReport};
use super::Zone;
use crate::routing::events::Micros;
use std::collections::BTreeMap;

/// Maximum number of servers tracked individually; attempts at others count for their site only.
const MAX_SERVERS: usize = 20_000;
/// Maximum number of peers whose reports are kept: all that the settings may name, so that no instance is ignored.
const MAX_PEERS: u16 = 4_096;
/// Weight from which consecutive failures at one site are evidence against the site. If a fifth of all attempts time
/// out, eight consecutive timeouts occur about once in 400,000 attempts.
const MIN_FAILURE_WEIGHT: u32 = 8;
/// A site is well reachable if the number of servers reached times this factor is at least the number that failed.
const REACHED_WELL_FACTOR: u32 = 3;
/// Largest value of `unreachable_tenths_s` in a report; stands for this duration or a longer one.
const SATURATED_TENTHS_S: u8 = u8::MAX;
/// A tenth of a second, the time unit of reports, in microseconds.
pub(super) const TENTH_US: Micros = 100_000;

/// Outcome of one attempt of this instance, as far as it concerns the site of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// Any response arrived in time.
    InTime,
    /// The connection was refused or could not be opened.
    Refused,
    /// The connection broke during the attempt.
    Reset,
    /// No response arrived in time.
    TimedOut,
}

impl AttemptOutcome {
    /// Returns the weight of a failure, or `None` for a success.
    fn failure_weight(self) -> Option<u32> {
        match self {
            AttemptOutcome::InTime => None,
            AttemptOutcome::TimedOut => Some(1),
            AttemptOutcome::Reset => Some(2),
            AttemptOutcome::Refused => Some(4),
        }
    }
}

/// A server of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ListedServer {
    /// Key of the server in attempts.
    pub key: u64,
    /// Zone of the server.
    pub zone: Zone,
    /// Whether the endpoint list has the server as serving.
    pub serving: bool,
}

/// Time limits for evaluating observations; see [`crate::failover::Settings`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct TimeLimits {
    pub suspect_after: Micros,
    pub unreachable_after: Micros,
    pub report_ttl: Micros,
}

/// The latest attempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    ended_at: Micros,
    in_time: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Server {
    zone: Zone,
    /// Whether the endpoint list has the server as serving.
    serving: bool,
    latest: Option<Attempt>,
}

/// A run of consecutive failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FailureRun {
    since: Micros,
    last: Micros,
    weight: u32,
}

/// This instance's own attempts at one site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct OwnAttempts {
    last_in_time: Option<Micros>,
    failures: Option<FailureRun>,
}

/// The latest observation of one site by one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Observation {
    observed_at: Micros,
    /// Start of the time with failures only; `None` if the site is reached.
    pub unreachable_since: Option<Micros>,
    /// Time of the last success, if known.
    last_reached: Option<Micros>,
    /// Number of the site's servers that were reached recently.
    pub reached: u32,
    /// Number of the site's servers that were tried and not reached; 0 while this is no evidence against the site.
    pub failed: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Peer {
    zone: Zone,
    reported_at: Micros,
    observations: BTreeMap<Zone, Observation>,
}

/// Result of evaluating all observations of one site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Decision {
    /// No instance has tried the site recently.
    Unknown,
    /// An instance reaches the site.
    Reached {
        /// Whether an instance reaches at least a quarter of the servers that it has tried.
        well: bool,
    },
    /// No instance reaches the site.
    Unreachable {
        /// Start of the time in which the site was not reached.
        since: Micros,
        /// Whether most of its servers were tried.
        most_tried: bool,
    },
}

/// Numbers of servers of one site that were tried recently, by result.
#[derive(Clone, Copy, Default)]
struct ServerCounts {
    reached: u32,
    failed: u32,
}

/// All observations of all sites.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Observations {
    pub limits: TimeLimits,
    own_zone: Zone,
    /// This instance's attempts, by zone.
    own: Vec<OwnAttempts>,
    servers: BTreeMap<u64, Server>,
    peers: BTreeMap<u16, Peer>,
}

impl Observations {
    pub(super) fn new(limits: TimeLimits, own_zone: Zone, zones: usize) -> Self {
        let own = vec![OwnAttempts::default(); zones];
        Observations { limits, own_zone, own, servers: BTreeMap::new(), peers: BTreeMap::new() }
    }

    /// Replaces the list of servers.
    pub(super) fn update_servers(&mut self, now: Micros, listed: impl IntoIterator<Item = ListedServer>) {
        let mut unlisted = std::mem::take(&mut self.servers);
        let zones = self.own.len();
        for server in listed.into_iter().filter(|server| server.zone < zones).take(MAX_SERVERS) {
            let latest = unlisted.remove(&server.key).and_then(|known| known.latest);
            let ListedServer { key, zone, serving } = server;
            self.servers.insert(key, Server { zone, serving, latest });
        }
        // A server that is no longer listed is kept while its latest attempt still counts.
        let report_ttl = self.limits.report_ttl;
        let counts = |attempt: Attempt| now.saturating_sub(attempt.ended_at) < report_ttl;
        unlisted.retain(|_, server| server.latest.is_some_and(counts));
        let capacity = MAX_SERVERS.saturating_sub(self.servers.len());
        let kept = unlisted.into_iter().take(capacity);
        self.servers.extend(kept.map(|(key, server)| (key, Server { serving: false, ..server })));
    }

    /// Records the outcome of this instance's own attempt.
    pub(super) fn record_attempt(&mut self, now: Micros, key: u64, zone: Zone, outcome: AttemptOutcome) {
        let report_ttl = self.limits.report_ttl;
        let Some(own) = self.own.get_mut(zone) else { return };
        let failure_weight = outcome.failure_weight();
        match failure_weight {
            None => *own = OwnAttempts { last_in_time: Some(now), failures: None },
            Some(weight) => {
                // An old failure is no evidence of what happened since, so a new run begins.
                let run = own.failures.filter(|run| now.saturating_sub(run.last) < report_ttl);
                let run = run.unwrap_or(FailureRun { since: now, last: now, weight: 0 });
                let weight = run.weight.saturating_add(weight);
                own.failures = Some(FailureRun { since: run.since, last: now, weight });
            }
        }
        let latest = Some(Attempt { ended_at: now, in_time: failure_weight.is_none() });
        let has_capacity = self.servers.len() < MAX_SERVERS;
        if let Some(server) = self.servers.get_mut(&key) {
            server.zone = zone;
            server.latest = latest;
        } else if has_capacity {
            self.servers.insert(key, Server { zone, serving: false, latest });
        }
    }

    /// Processes a peer's report that was written `age` ago. Returns whether the report contains failures.
    pub(super) fn receive_report(
        &mut self,
        now: Micros,
        peer: u16,
        age: Micros,
        report: &SiteReport,
    ) -> bool {
        let reported_at = now.saturating_sub(age);
        let outdated = self.peers.get(&peer).is_some_and(|known| known.reported_at > reported_at);
        if peer >= MAX_PEERS || age >= self.limits.report_ttl || outdated {
            return false;
        }
        let zone = usize::from(report.zone);
        let zones = self.own.len();
        let known =
            self.peers.entry(peer).or_insert(Peer { zone, reported_at, observations: BTreeMap::new() });
        known.zone = zone;
        known.reported_at = reported_at;
        let mut has_failures = false;
        for reported in report.observations.iter().filter(|reported| usize::from(reported.zone) < zones) {
            let site = usize::from(reported.zone);
            let before = known.observations.get(&site);
            let Some(observation) = Observation::from_report(reported, reported_at, before) else { continue };
            has_failures |= observation.unreachable_since.is_some();
            known.observations.insert(site, observation);
        }
        has_failures
    }

    pub(super) fn remove_peer(&mut self, peer: u16) {
        self.peers.remove(&peer);
    }

    /// Drops reports that have reached their time to live.
    pub(super) fn expire_reports(&mut self, now: Micros) {
        let report_ttl = self.limits.report_ttl;
        for peer in self.peers.values_mut() {
            peer.observations.retain(|_, observed| now.saturating_sub(observed.observed_at) < report_ttl);
        }
        self.peers.retain(|_, peer| now.saturating_sub(peer.reported_at) < report_ttl);
    }

    /// Returns whether any instance has recently failed at a site.
    pub(super) fn any_failures(&self, now: Micros) -> bool {
        (0..self.own.len()).any(|zone| self.own_failures(zone, now).is_some())
            || (0..self.own.len()).any(|zone| self.fails_for_a_peer(zone))
    }

    /// Returns whether a peer fails at a site.
    pub(super) fn fails_for_a_peer(&self, zone: Zone) -> bool {
        let mut observations = self.peers.values().filter_map(|peer| peer.observations.get(&zone));
        observations.any(|observation| observation.unreachable_since.is_some())
    }

    /// Returns this instance's current run of failures at a site, unless it has expired.
    fn own_failures(&self, zone: Zone, now: Micros) -> Option<FailureRun> {
        let run = self.own.get(zone)?.failures?;
        (now.saturating_sub(run.last) < self.limits.report_ttl).then_some(run)
    }

    /// Returns whether failures since `since` are caused by the site rather than by this instance: this instance has
    /// reached some site at least `suspect_after` later. The delay excludes answers that were in transit when this
    /// instance was cut off.
    fn is_caused_by_site(&self, since: Micros) -> bool {
        let last_in_time = self.own.iter().filter_map(|own| own.last_in_time).max();
        last_in_time.is_some_and(|at| at >= since.saturating_add(self.limits.suspect_after))
    }

    /// Returns whether this instance fails at every site that it tries.
    pub(super) fn is_isolated(&self, now: Micros) -> bool {
        let runs = (0..self.own.len()).filter_map(|zone| self.own_failures(zone, now));
        let latest = runs.map(|run| run.since).max();
        latest.is_some_and(|since| {
            now >= since.saturating_add(self.limits.suspect_after) && !self.is_caused_by_site(since)
        })
    }

    /// Returns whether this instance is not failing at every site at this moment. [`Observations::is_isolated`] detects
    /// isolation only after `suspect_after`, and earlier observations must not lead to a decision in the meantime.
    pub(super) fn reaches_any_site(&self, now: Micros) -> bool {
        let mut reaches = false;
        let mut fails = false;
        for (zone, own) in self.own.iter().enumerate() {
            let failing = self.own_failures(zone, now).is_some();
            fails |= failing;
            reaches |= !failing && own.last_in_time.is_some_and(|at| self.is_recent(at, now));
        }
        reaches || !fails
    }

    fn is_recent(&self, at: Micros, now: Micros) -> bool {
        now.saturating_sub(at) < self.limits.unreachable_after
    }

    /// Returns this instance's own observation of each site, in one pass over the servers.
    pub(super) fn own_observations(&self, now: Micros, isolated: bool) -> Vec<Option<Observation>> {
        let counts = self.count_servers(now).into_iter().enumerate();
        counts.map(|(zone, count)| self.own_observation(now, isolated, zone, count)).collect()
    }

    fn count_servers(&self, now: Micros) -> Vec<ServerCounts> {
        let mut counts = vec![ServerCounts::default(); self.own.len()];
        for server in self.servers.values() {
            let (Some(attempt), Some(count)) = (server.latest, counts.get_mut(server.zone)) else { continue };
            if attempt.in_time {
                count.reached += u32::from(self.is_recent(attempt.ended_at, now));
            } else {
                let counts_as_failed = match self.own_failures(server.zone, now) {
                    Some(run) => attempt.ended_at >= run.since,
                    None => self.is_recent(attempt.ended_at, now),
                };
                count.failed += u32::from(counts_as_failed);
            }
        }
        counts
    }

    fn own_observation(
        &self,
        now: Micros,
        isolated: bool,
        zone: Zone,
        count: ServerCounts,
    ) -> Option<Observation> {
        let own = self.own[zone];
        let reached = Observation {
            observed_at: now,
            unreachable_since: None,
            last_reached: own.last_in_time,
            reached: count.reached.max(1),
            failed: count.failed,
        };
        let Some(run) = self.own_failures(zone, now) else {
            return own.last_in_time.filter(|&at| self.is_recent(at, now)).map(|_| reached);
        };
        let counts = run.weight >= MIN_FAILURE_WEIGHT && !isolated && self.is_caused_by_site(run.since);
        let failed = if counts { count.failed } else { 0 };
        Some(Observation { unreachable_since: Some(run.since), reached: 0, failed, ..reached })
    }

    /// Evaluates all observations, by site; call [`Observations::expire_reports`] first.
    pub(super) fn decisions(&self, now: Micros, isolated: bool) -> Vec<Decision> {
        let mut serving = vec![0u32; self.own.len()];
        for server in self.servers.values().filter(|server| server.serving) {
            serving[server.zone] += 1;
        }
        let own = self.own_observations(now, isolated).into_iter().enumerate();
        own.map(|(zone, own)| decide(&self.counted_observations(zone, own), serving[zone])).collect()
    }

    /// Returns the observations that count for a site. Instances inside the site use only observations from inside. For
    /// instances outside, the site is lost if none of them reaches it: reports from inside count only if no instance
    /// outside has tried.
    fn counted_observations(&self, zone: Zone, own: Option<Observation>) -> Vec<Observation> {
        let reported = |inside: bool| {
            let peers = self.peers.values().filter(move |peer| (peer.zone == zone) == inside);
            peers.filter_map(move |peer| peer.observations.get(&zone)).copied()
        };
        let is_inside = self.own_zone == zone;
        let mut counted: Vec<Observation> = own.into_iter().chain(reported(is_inside)).collect();
        if counted.is_empty() && !is_inside {
            counted.extend(reported(true));
        }
        counted
    }
}

/// Evaluates the observations of one site that has `serving` servers listed as serving.
fn decide(observations: &[Observation], serving: u32) -> Decision {
    let reaching: Vec<&Observation> =
        observations.iter().filter(|observation| observation.unreachable_since.is_none()).collect();
    if !reaching.is_empty() {
        return Decision::Reached { well: reaching.iter().any(|observation| observation.reaches_well()) };
    }
    let Some(first) = observations.iter().filter_map(|observation| observation.unreachable_since).min()
    else {
        return Decision::Unknown;
    };
    let last_reached = observations.iter().filter_map(|observation| observation.last_reached).max();
    // Several instances may have failed at the same few servers, so the maximum counts and not the sum.
    let failed = observations.iter().map(|observation| observation.failed).max().unwrap_or(0);
    Decision::Unreachable {
        since: first.max(last_reached.unwrap_or(0)),
        most_tried: failed.saturating_mul(2) > serving,
    }
}

impl Observation {
    fn reaches_well(&self) -> bool {
        self.reached.saturating_mul(REACHED_WELL_FACTOR) >= self.failed
    }

    /// Converts what a peer's report contains on one site; `None` if the peer has not tried it. `before`: the
    /// observation from the peer's previous report.
    fn from_report(
        reported: &SiteObservation,
        reported_at: Micros,
        before: Option<&Observation>,
    ) -> Option<Observation> {
        let reached = u32::from(reported.reached);
        let failed = u32::from(reported.failed);
        if reached > 0 {
            let last_reached = Some(reported_at);
            return Some(Observation {
                observed_at: reported_at,
                unreachable_since: None,
                last_reached,
                reached,
                failed,
            });
        }
        if failed == 0 && reported.unreachable_tenths_s == 0 {
            return None;
        }
        let span = Micros::from(reported.unreachable_tenths_s) * TENTH_US;
        let reported_since = reported_at.saturating_sub(span);
        // A saturated duration may be longer than reported, so the peer's earlier report still gives the start.
        let earlier = before
            .and_then(|before| before.unreachable_since)
            .filter(|_| reported.unreachable_tenths_s == SATURATED_TENTHS_S);
        let since = earlier.map_or(reported_since, |earlier| earlier.min(reported_since));
        let last_reached = before.and_then(|before| before.last_reached).map(|at| at.min(since));
        Some(Observation {
            observed_at: reported_at,
            unreachable_since: Some(since),
            last_reached,
            reached,
            failed,
        })
    }
}
