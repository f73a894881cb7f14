//! Which promises a run broke. It reads records and bounds, and knows nothing of the cores: what should have been is
//! worked out here anew.

use crate::plan::{merged, within, Span};
use crate::queue::Micros;
use crate::records::{FollowRecords, Shown, Step, ViewRecords};
use crate::scenario::Promises;
use serde::{Deserialize, Serialize};

/// Cases of one promise that are told one by one; the others are counted.
const TOLD: usize = 5;

/// A promise that was broken.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Broken {
    /// Its name in [`Promises`], or a law that always holds.
    pub promise: String,
    /// In how many cases.
    pub cases: u64,
    /// The first of them in words.
    pub told: Vec<String>,
}

#[derive(Default)]
struct Cases {
    promise: &'static str,
    cases: u64,
    told: Vec<String>,
}

impl Cases {
    fn of(promise: &'static str) -> Self {
        Cases { promise, ..Cases::default() }
    }

    fn add(&mut self, told: impl FnOnce() -> String) {
        self.cases += 1;
        if self.told.len() < TOLD {
            self.told.push(told());
        }
    }

    fn end(self) -> Option<Broken> {
        let Cases { promise, cases, told } = self;
        (cases > 0).then(|| Broken { promise: promise.to_owned(), cases, told })
    }
}

fn micros(ms: f64) -> Micros {
    (ms * 1_000.0) as Micros
}

fn ms(span: Micros) -> f64 {
    span as f64 / 1_000.0
}

/// When a commit must be in force: within `bound`, or `caught_up` after what hindered the instance meanwhile or so
/// shortly before that it may still be catching up.
fn due(shown: &Shown, at: Micros, bound: Micros, caught_up: Micros) -> Micros {
    let mut due = at.saturating_add(bound);
    loop {
        let hindered = shown.down.iter().chain(&shown.cut_off).filter(|s| s.from <= due);
        let after =
            hindered.map(|s| s.until.saturating_add(caught_up)).filter(|&a| a > at).max().unwrap_or(0);
        if after <= due {
            return due;
        }
        due = after;
    }
}

/// Holds what instances showed of the documents against the commits.
pub fn follow(records: &FollowRecords, promises: &Promises) -> Vec<Broken> {
    let (mut late, mut early, mut back) =
        (Cases::of("in_force_ms"), Cases::of("shown before it was"), Cases::of("went back"));
    let Some(measured) = records.measured else { return Vec::new() };
    for (instance, shown) in records.shown.iter().enumerate() {
        let mut last: Option<i64> = None;
        for step in &shown.steps {
            // The first that was committed after what is shown: all before it must have been.
            let upto = records.commits.partition_point(|c| c.revision <= step.revision);
            let latest = upto.checked_sub(1).map(|n| records.commits[n]);
            if latest.is_some_and(|c| c.at > step.at) {
                early.add(|| format!("doorman {instance} showed revision {} too soon", step.revision));
            }
            if step.revision > 0 && last.is_some_and(|l| step.revision < l) {
                back.add(|| format!("doorman {instance} went from revision {last:?} to {}", step.revision));
            }
            last = Some(step.revision);
        }
        let Some(bound) = promises.in_force_ms.map(micros) else { continue };
        let caught_up = promises.caught_up_ms.map_or(Micros::MAX, micros);
        let mut steps = shown.steps.iter().peekable();
        let mut reached = None;
        for commit in records.commits.iter().filter(|c| measured.holds(c.at)) {
            while reached.is_none_or(|s: &Step| s.revision < commit.revision) {
                let Some(step) = steps.next() else {
                    reached = None;
                    break;
                };
                reached = Some(step);
            }
            let due = due(shown, commit.at, bound, caught_up);
            if due < measured.until && reached.is_none_or(|s| s.at > due) {
                late.add(|| {
                    let took = reached.map(|s| ms(s.at.saturating_sub(commit.at)));
                    format!(
                        "revision {} at doorman {instance}: {} ms allowed, took {took:?} ms",
                        commit.revision,
                        ms(due - commit.at)
                    )
                });
            }
        }
    }
    [late, early, back].into_iter().filter_map(Cases::end).collect()
}

/// Holds against the commits what instances showed and vouched for: from the bound on each has a commit, or says that it
/// can't vouch, or does not run.
pub fn vouched(records: &FollowRecords, promises: &Promises) -> Vec<Broken> {
    let mut lax = Cases::of("in_force_or_strict_ms");
    let (Some(measured), Some(bound)) = (records.measured, promises.in_force_or_strict_ms.map(micros)) else {
        return Vec::new();
    };
    for (instance, shown) in records.shown.iter().enumerate() {
        let excused = merged(shown.strict.iter().chain(&shown.down).copied().collect());
        let mut steps = shown.steps.iter().peekable();
        for commit in records.commits.iter().filter(|c| measured.holds(c.at)) {
            while steps.next_if(|s| s.revision < commit.revision || s.at < commit.at).is_some() {}
            let from = commit.at.saturating_add(bound);
            let until = steps.peek().map_or(measured.until, |s| s.at).min(measured.until);
            if from < until && !excused.iter().any(|s| s.from <= from && until <= s.until) {
                lax.add(|| {
                    let span = ms(until - from);
                    format!("revision {} at doorman {instance}: {span} ms too long", commit.revision)
                });
            }
        }
    }
    lax.end().into_iter().collect()
}

/// Whether an instance ran for all of a stretch.
fn ran(down: &[Span], from: Micros, until: Micros) -> bool {
    !down.iter().any(|s| s.touches(from, until))
}

/// Holds what instances held of each other against who ran. `sent` is the bytes a second of each.
pub fn view(records: &ViewRecords, sent: &[f64], promises: &Promises) -> Vec<Broken> {
    let Some(measured) = records.measured else { return Vec::new() };
    let size = records.down.len();
    let mut broken = Vec::new();
    let grace = promises.detection_ms.map_or(Micros::MAX, micros);
    let calm = |from: Micros, until: Micros| !records.cuts.iter().any(|c| c.touches(from, until));
    if let Some(bound) = promises.detection_ms.map(micros) {
        let mut unseen = Cases::of("detection_ms");
        // Who held whom to be gone when: by member, then by who holds it.
        let mut gone = vec![Vec::new(); size];
        for word in records.words.iter().filter(|w| w.gone) {
            gone[usize::from(word.member)].push((word.by, word.at));
        }
        gone.iter_mut().for_each(|g| g.sort_unstable());
        for (member, down) in records.down.iter().enumerate() {
            for span in down.iter().filter(|s| measured.holds(s.from)) {
                let until = span.from.saturating_add(bound);
                if until >= measured.until || until >= span.until || !calm(span.from, until) {
                    continue;
                }
                let lives = |by: &usize| *by != member && ran(&records.down[*by], span.from, until);
                for by in (0..size).filter(lives) {
                    let at = gone[member].partition_point(|g| *g < (by as u16, span.from));
                    if gone[member].get(at).is_none_or(|g| usize::from(g.0) != by || g.1 > until) {
                        unseen.add(|| {
                            format!(
                                "doorman {by} did not know within {} ms that {member} was gone",
                                ms(bound)
                            )
                        });
                    }
                }
            }
        }
        broken.extend(unseen.end());
    }
    if let Some(most) = promises.false_deaths {
        let mut wrong = Cases::of("false_deaths");
        for word in records.words.iter().filter(|w| w.gone && measured.holds(w.at)) {
            let from = word.at.saturating_sub(grace);
            let well = |m: u16| ran(&records.down[usize::from(m)], from, word.at);
            if well(word.member) && well(word.by) && calm(from, word.at) {
                wrong
                    .add(|| format!("doorman {} held {} to be gone at {} us", word.by, word.member, word.at));
            }
        }
        broken.extend(wrong.end().filter(|b| b.cases > most));
    }
    if let (Some(bound), Some(last)) = (promises.agree_ms.map(micros), records.last_change) {
        let at = last.saturating_add(bound);
        if at < measured.until {
            let mut apart = Cases::of("agree_ms");
            let held = held_at(records, at);
            for (by, row) in held.iter().enumerate().filter(|r| !within(&records.down[r.0], at)) {
                for (member, &gone) in row.iter().enumerate().filter(|r| r.0 != by) {
                    if gone != within(&records.down[member], at) {
                        apart.add(|| {
                            let held = if gone { "gone" } else { "there" };
                            format!("doorman {by} still held {member} to be {held} at {at} us")
                        });
                    }
                }
            }
            broken.extend(apart.end());
        }
    }
    if let Some(most) = promises.view_bytes_per_s {
        let mut rates = sent.to_vec();
        rates.sort_by(f64::total_cmp);
        let median = rates.get(rates.len() / 2).copied().unwrap_or(0.0);
        if median > most {
            let mut much = Cases::of("view_bytes_per_s");
            much.add(|| {
                format!("half of the doormans sent {median:.0} bytes a second or more, {most:.0} allowed")
            });
            broken.extend(much.end());
        }
    }
    broken
}

/// By instance, whom it held to be gone at a moment.
fn held_at(records: &ViewRecords, at: Micros) -> Vec<Vec<bool>> {
    let size = records.down.len();
    let mut held = vec![vec![false; size]; size];
    // A new life forgets all that was held before it.
    let began = |by: u16| {
        let down = &records.down[usize::from(by)];
        down.iter().map(|s| s.until).filter(|&u| u <= at).max().unwrap_or(0)
    };
    let began: Vec<Micros> = (0..size).map(|by| began(by as u16)).collect();
    for word in records.words.iter().filter(|w| w.at <= at && w.at >= began[usize::from(w.by)]) {
        held[usize::from(word.by)][usize::from(word.member)] = word.gone;
    }
    held
}
