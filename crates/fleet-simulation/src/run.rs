//! One run of a scenario, and its report.

use crate::checker::{self, Broken};
use crate::error::ScaleError;
use crate::figures::{FollowFigures, Spread, Traffic, ViewFigures};
use crate::follow::{self, Mirror, PurgeReader};
use crate::gather::spread;
use crate::plan::Plan;
use crate::scenario::Scenario;
use crate::view;
use serde::{Deserialize, Serialize};

/// What a run came to. Equal scenarios, sizes and seeds give equal reports.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// What it leaves out of the day that it is named for.
    pub remark: String,
    /// Instances.
    pub size: usize,
    /// The seed.
    pub seed: u64,
    /// The view, if it was simulated.
    pub view: Option<ViewFigures>,
    /// Following, if it was simulated.
    pub follow: Option<FollowFigures>,
    /// Bytes a second sent and taken by an instance for all that was simulated, over instances that ran all the time.
    pub bytes_per_s: Spread,
    /// Promises that were broken.
    pub broken: Vec<Broken>,
}

/// Runs a scenario with so many instances. The view and the followers don't touch each other: they run one after the
/// other, on the same network with the same faults.
pub fn run(scenario: &Scenario, size: usize, seed: u64) -> Result<Report, ScaleError> {
    let plan = Plan::new(scenario, size, seed)?;
    let mut broken = Vec::new();
    let mut bytes = vec![0.0; size];
    let mut add = |more: &[f64]| bytes.iter_mut().zip(more).for_each(|(b, m)| *b += m);
    let view = scenario.view.as_ref().map(|_| {
        let outcome = view::run(scenario, &plan, seed);
        broken.extend(checker::view(&outcome.records, &outcome.sent_bytes_per_s, &scenario.promises));
        add(&outcome.bytes_per_s);
        outcome.figures
    });
    let follow = scenario.follow.as_ref().map(|follow| {
        let outcome = if follow.purge_log {
            follow::run(scenario, &plan, seed, |_| PurgeReader::default())
        } else {
            follow::run(scenario, &plan, seed, |_| Mirror)
        };
        broken.extend(checker::follow(&outcome.records, &scenario.promises));
        broken.extend(checker::vouched(&outcome.records, &scenario.promises));
        add(&outcome.bytes_per_s);
        outcome.figures
    });
    let all_along = (0..size).filter(|&d| plan.down[d].is_empty()).map(|d| bytes[d]);
    Ok(Report {
        scenario: scenario.name.clone(),
        remark: scenario.remark.clone(),
        size,
        seed,
        view,
        follow,
        bytes_per_s: spread(all_along, 1.0),
        broken,
    })
}

fn row(f: &mut std::fmt::Formatter<'_>, what: &str, s: Spread) -> std::fmt::Result {
    writeln!(f, "{what:<58} {:>12.2} {:>12.2} {:>12.2} {:>10}", s.median, s.p99, s.most, s.count)
}

fn one(f: &mut std::fmt::Formatter<'_>, what: &str, value: impl std::fmt::Display) -> std::fmt::Result {
    writeln!(f, "{what:<58} {value:>12}")
}

fn traffic(f: &mut std::fmt::Formatter<'_>, what: &str, t: Traffic) -> std::fmt::Result {
    row(f, &format!("{what}, messages a second"), t.messages_per_s)?;
    row(f, &format!("{what}, bytes a second"), t.bytes_per_s)
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Report { scenario, remark, size, seed, .. } = self;
        writeln!(f, "{scenario}: {size} doormans, seed {seed}")?;
        if !remark.is_empty() {
            writeln!(f, "{remark}")?;
        }
        writeln!(f, "{:<58} {:>12} {:>12} {:>12} {:>10}", "what", "median", "99 of 100", "most", "of")?;
        if let Some(v) = &self.view {
            one(f, "view: seconds measured", v.seconds)?;
            row(f, "datagrams sent a second", v.sent_per_s)?;
            row(f, "bytes sent a second", v.sent_bytes_per_s)?;
            row(f, "datagrams taken a second", v.received_per_s)?;
            row(f, "bytes taken a second", v.received_bytes_per_s)?;
            one(f, "the longest datagram, bytes", v.longest_datagram)?;
            row(f, "a death is known after, ms", v.detection_ms)?;
            one(f, "deaths to notice, times doormans that could", v.deaths_to_notice)?;
            one(f, "live doormans held to be dead", v.false_deaths)?;
            let agree = v.agree_ms.map_or("not within".to_owned(), |a| format!("{a:.0}"));
            one(f, "all agree after the last fault, ms", agree)?;
            if let Some(n) = v.notes {
                one(f, "notes: bytes of each", v.note_bytes)?;
                row(f, "part of the others' notes held", n.held)?;
                one(f, "the least of it", format!("{:.4}", n.least_held))?;
                row(f, "part held that is under 4 s old", n.fresh)?;
                one(f, "the least of it", format!("{:.4}", n.least_fresh))?;
                row(f, "a changed note is with others after, ms", n.changed_ms)?;
                one(f, "others without it at the end", n.without_changed)?;
            }
            one(f, "events", v.events)?;
        }
        if let Some(v) = &self.follow {
            one(f, "followers: seconds measured", v.seconds)?;
            one(f, "commits", v.commits)?;
            traffic(f, "a doorman sends", v.up)?;
            traffic(f, "a doorman takes", v.down)?;
            traffic(f, "a control machine takes", v.control_in)?;
            traffic(f, "a control machine sends", v.control_out)?;
            row(f, "calls a second at a control machine", v.control_calls_per_s)?;
            one(f, "most calls in one second at one", v.control_calls_peak)?;
            one(f, "most messages that one sent in one second", v.control_out_peak)?;
            one(f, "most bytes that one sent in one second", v.control_out_bytes_peak)?;
            one(f, "most connections at one", v.control_links_most)?;
            row(f, "a commit is in force after, ms", v.in_force_ms)?;
            row(f, "after a cut or a start, ms", v.caught_up_ms)?;
            one(f, "commits that should be in force and are not", v.missing)?;
            row(f, "can't vouch, part of the time of a doorman", v.strict)?;
            one(f, "doormans that could not at some time", v.strict_instances)?;
            one(f, "most of them at one time", v.strict_most)?;
            one(f, "connections begun", v.dials)?;
            one(f, "connections lost", v.lost)?;
            one(f, "lists taken", v.lists)?;
            one(f, "events", v.events)?;
        }
        row(f, "a doorman sends and takes in all, bytes a second", self.bytes_per_s)?;
        for broken in &self.broken {
            writeln!(f, "BROKEN {}: {} cases", broken.promise, broken.cases)?;
            broken.told.iter().try_for_each(|told| writeln!(f, "  {told}"))?;
        }
        Ok(())
    }
}
