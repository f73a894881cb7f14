//! States from a world's records whether a promise was broken, and how well all went; knows nothing of the instance's
//! inside. Times are microseconds since the world began.

use super::records::{Arrival, End, Request, REFUSED, SERVED};
use super::servers::{Kind, Spec};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A request that crosses the close of its connection within this time was not taken.
const CROSSES: u64 = 50_000;

/// Requests that did not get exactly one final answer. `dead` says between which times instances were ended by
/// force: what was lost by that is no breach.
pub fn unanswered<'a>(requests: &'a [Request], dead: &[(usize, u64, u64)]) -> Vec<&'a Request> {
    let broken = |r: &&Request| {
        let killed = |lost| dead.iter().any(|d| d.0 == r.instance && r.sent <= d.2 && d.1 <= lost);
        match (r.answers.len(), r.lost) {
            (1, _) => false,
            (0, _) if r.left.is_some() => false,
            (0, Some(at)) => at - r.sent > CROSSES && !killed(at),
            _ => true,
        }
    };
    requests.iter().filter(broken).collect()
}

/// Attempts that came to a server more than `within` after their client had stopped waiting.
pub fn for_nobody<'a>(requests: &[Request], arrivals: &'a [Arrival], within: u64) -> Vec<&'a Arrival> {
    let left: BTreeMap<u64, u64> =
        requests.iter().filter_map(|r| Some((r.trace, r.left? + within))).collect();
    let late = |a: &&Arrival| {
        let trace = u64::from_str_radix(&a.id, 16).ok().filter(|_| a.from.is_none());
        trace.and_then(|t| left.get(&t)).is_some_and(|until| a.at > *until)
    };
    arrivals.iter().filter(late).collect()
}

/// Answers that came more than `slack` after the time that their client waits; `patience` gives it by class.
pub fn late(
    requests: &[Request],
    patience: impl Fn(&str) -> u64,
    slack: u64,
) -> impl Iterator<Item = &Request> {
    requests.iter().filter(move |r| r.answers.iter().any(|a| a.at > r.sent + patience(&r.class) + slack))
}

/// Requests of a class that ran more than once at the archive.
pub fn twice<'a>(arrivals: &'a [Arrival], specs: &[Spec], class: &str) -> BTreeSet<&'a str> {
    let mut seen = BTreeSet::new();
    let runs = |a: &&Arrival| a.class == class && a.end == End::Hit && specs[a.server].kind == Kind::Archive;
    arrivals.iter().filter(runs).filter(|a| !seen.insert(&a.id)).map(|a| a.id.as_str()).collect()
}

/// The most work that came to each server in any window, over its bound at that window's end; `counts` says which
/// arrivals are work. A server whose bound is 0 must get none: its peak is then infinite.
pub fn peaks(
    arrivals: &[Arrival],
    window: u64,
    counts: impl Fn(&Arrival) -> bool,
    bound: impl Fn(usize, u64) -> f64,
) -> BTreeMap<usize, f64> {
    let (mut sums, mut peaks) = (BTreeMap::<usize, (VecDeque<(u64, f64)>, f64)>::new(), BTreeMap::new());
    for a in arrivals.iter().filter(|a| counts(a)) {
        let (inside, sum) = sums.entry(a.server).or_default();
        inside.push_back((a.at, a.work));
        *sum += a.work;
        while let Some(&(_, old)) = inside.front().filter(|i| a.at - i.0 > window) {
            inside.pop_front();
            *sum -= old;
        }
        let peak = peaks.entry(a.server).or_insert(0.0f64);
        *peak = peak.max(*sum / bound(a.server, a.at));
    }
    peaks
}

/// One object of a purge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purged {
    /// When it was committed.
    pub at: u64,
    /// The object.
    pub object: u64,
    /// Unix millisecond: copies made before it are void.
    pub when_ms: u64,
}

/// Copies of purged objects that were given out between `within` and `lingers` after the commit, with the purge. What a
/// server gives to another for a fill counts as well.
fn bound<'a>(
    arrivals: &'a [Arrival],
    purges: &'a [Purged],
    within: u64,
    lingers: u64,
) -> impl Iterator<Item = (&'a Arrival, &'a Purged, u64)> {
    let mut of = BTreeMap::<u64, Vec<&Purged>>::new();
    purges.iter().for_each(|p| of.entry(p.object).or_default().push(p));
    arrivals.iter().flat_map(move |a| {
        let purges = of.get(&a.object).cloned().unwrap_or_default();
        let binds = move |p: &&Purged| a.at >= p.at + within && a.at < p.at + lingers;
        purges.into_iter().filter(binds).filter_map(move |p| Some((a, p, a.minted?)))
    })
}

/// Those of them that were made before the purge.
pub fn stale<'a>(
    arrivals: &'a [Arrival],
    purges: &'a [Purged],
    within: u64,
    lingers: u64,
) -> Vec<(&'a Arrival, &'a Purged)> {
    let all = bound(arrivals, purges, within, lingers);
    all.filter(|(_, p, minted)| *minted < p.when_ms).map(|(a, p, _)| (a, p)).collect()
}

/// How many they are in all: of none nothing can be told.
pub fn given(arrivals: &[Arrival], purges: &[Purged], within: u64, lingers: u64) -> usize {
    bound(arrivals, purges, within, lingers).count()
}

/// Requests sent, served and refused, by class and span of so many microseconds.
pub fn counts(requests: &[Request], span: u64) -> BTreeMap<(String, u64), [usize; 3]> {
    let mut counts = BTreeMap::new();
    for r in requests {
        let ended = |code| usize::from(r.answers.first().is_some_and(|a| a.code == code));
        let count = counts.entry((r.class.clone(), r.sent / span)).or_insert([0; 3]);
        [1, ended(SERVED), ended(REFUSED)].iter().zip(count).for_each(|(more, n)| *n += more);
    }
    counts
}

/// The share of requests sent within a time that were served; `None`: there were none.
pub fn served(requests: &[Request], from: u64, to: u64) -> Option<f64> {
    let within = || requests.iter().filter(|r| (from..to).contains(&r.sent));
    let served = within().filter(|r| r.answers.iter().any(|a| a.code == SERVED)).count();
    (within().count() > 0).then(|| served as f64 / within().count() as f64)
}

/// The second after an event from which the share served in the 3 s that follow is at least `part` of that in the 3 s
/// before the event; `None`: that never came while requests were sent.
pub fn full_service(requests: &[Request], event: u64, part: f64) -> Option<u64> {
    const S: u64 = 1_000_000;
    let before = served(requests, event.saturating_sub(3 * S), event)?;
    let last = requests.iter().map(|r| r.sent).max()?;
    let spans = (0..).map(|n| (n, event + n * S)).take_while(|s| s.1 + 3 * S <= last + S);
    let good = |from| served(requests, from, from + 3 * S).is_some_and(|s| s >= part * before);
    spans.into_iter().find(|s| good(s.1)).map(|s| s.0)
}

/// The boxes that each shard's requests went to, by the span in which they came: `spans` are the times at which each
/// began. What warms a box, from another of its zone, does not count.
pub fn homes(
    arrivals: &[Arrival],
    specs: &[Spec],
    spans: &[u64],
    shard: impl Fn(&Arrival) -> Option<u64>,
) -> BTreeMap<(usize, u64), BTreeSet<usize>> {
    let mut homes = BTreeMap::<_, BTreeSet<usize>>::new();
    for a in arrivals.iter().filter(|a| a.from.is_none() && specs[a.server].kind == Kind::Box) {
        let near = |v: usize| specs[v].kind == Kind::Box && specs[v].zone == specs[a.server].zone;
        if a.held_only && a.via.is_some_and(near) {
            continue;
        }
        let span = spans.partition_point(|&s| s <= a.at);
        if let (Some(span), Some(shard)) = (span.checked_sub(1), shard(a)) {
            homes.entry((span, shard)).or_default().insert(a.server);
        }
    }
    homes
}

#[cfg(test)]
mod tests {
    use super::super::records::Answer;
    use super::*;

    const S: u64 = 1_000_000;

    fn request(instance: usize, sent: u64, codes: &[u8], lost: Option<u64>) -> Request {
        let answer = |&code: &u8| Answer { at: sent + 1, code, pause_ms: None };
        let answers = codes.iter().map(answer).collect();
        Request {
            trace: sent,
            class: "images".into(),
            instance,
            sent,
            answers,
            lost,
            left: None,
            closed: None,
        }
    }

    fn arrival(at: u64, server: usize, id: &str) -> Arrival {
        let (class, object) = ("record-edits".to_owned(), at);
        let id = id.to_owned();
        let (from, via, held_only, end) = (None, None, false, End::Hit);
        Arrival { at, server, from, id, class, object, work: 100.0, via, held_only, end, minted: None }
    }

    fn specs() -> Vec<Spec> {
        let spec = |(n, kind)| Spec { id: format!("s-{n:08x}"), zone: n / 3, kind, capacity: 1.0, keeps: 1 };
        [Kind::Archive, Kind::Box, Kind::Box, Kind::Box].into_iter().enumerate().map(spec).collect()
    }

    #[test]
    fn one_answer_is_right_and_none_two_or_a_loss_is_not_unless_the_instance_died() {
        let requests = [
            request(0, 10, &[SERVED], None),
            request(0, 20, &[], None),
            request(0, 30, &[SERVED, REFUSED], None),
            request(0, 40, &[], Some(40 + CROSSES)),
            request(0, 50, &[], Some(S)),
            request(1, 60, &[], Some(S)),
            request(1, 70, &[SERVED, SERVED], Some(S)),
        ];
        let sent = |dead: &[(usize, u64, u64)]| {
            unanswered(&requests, dead).iter().map(|r| r.sent).collect::<Vec<_>>()
        };
        assert_eq!(sent(&[]), [20, 30, 50, 60, 70]);
        assert_eq!(sent(&[(1, S / 2, S + 1)]), [20, 30, 50, 70]);
        assert_eq!(
            sent(&[(1, 2 * S, 3 * S), (1, 5, 9)]),
            [20, 30, 50, 60, 70],
            "it lived from then to the loss"
        );
    }

    #[test]
    fn twice_at_the_archive_counts_and_elsewhere_or_refused_does_not() {
        let refused = Arrival { end: End::Refused, ..arrival(3, 0, "b") };
        let all = [arrival(1, 0, "a"), arrival(2, 1, "a"), arrival(2, 0, "b"), refused, arrival(4, 0, "c")];
        assert!(twice(&all, &specs(), "record-edits").is_empty());
        let more = [&all[..], &[arrival(9, 0, "c")]].concat();
        assert_eq!(twice(&more, &specs(), "record-edits").into_iter().collect::<Vec<_>>(), ["c"]);
        assert!(twice(&more, &specs(), "images").is_empty());
    }

    #[test]
    fn the_peak_is_the_fullest_window_wherever_it_lies() {
        let times = [0, 900, 1_000, 1_900, 2_001, 5_000];
        let all = times.map(|at| arrival(at, 1, "a"));
        let of = |window, bound: f64| peaks(&all, window, |_| true, |_, _| bound)[&1];
        assert_eq!((of(1_000, 300.0), of(1_101, 300.0), of(10, 100.0)), (1.0, 4.0 / 3.0, 1.0));
        assert!(peaks(&all, 1_000, |_| true, |_, at| if at == 5_000 { 0.0 } else { 300.0 })[&1].is_infinite());
        assert!(peaks(&all, 1_000, |a| a.server == 2, |_, _| 1.0).is_empty());
    }

    #[test]
    fn full_service_is_back_when_the_next_three_seconds_are_as_before() {
        let code = |at: u64| if (10..17).contains(&at) { REFUSED } else { SERVED };
        let all: Vec<Request> = (0..30).map(|at| request(0, at * S, &[code(at)], None)).collect();
        assert_eq!(full_service(&all, 10 * S, 1.0), Some(7));
        assert_eq!(full_service(&all, 10 * S, 0.3), Some(5));
        assert_eq!(full_service(&all[..17], 10 * S, 0.9), None);
        let counts = counts(&all, 15 * S);
        assert_eq!(
            (counts[&("images".into(), 0)], counts[&("images".into(), 1)]),
            ([15, 10, 5], [15, 13, 2])
        );
    }

    #[test]
    fn a_copy_from_before_a_purge_is_stale_from_the_promised_time_until_it_may_linger_no_more() {
        let given = |at, minted| Arrival { object: 7, minted, ..arrival(at, 1, "a") };
        let purges = [Purged { at: 100, object: 7, when_ms: 50 }, Purged { at: 100, object: 8, when_ms: 90 }];
        let all = [
            given(109, Some(49)),
            given(110, Some(49)),
            given(111, Some(50)),
            given(112, None),
            given(199, Some(49)),
            given(200, Some(49)),
            Arrival { object: 9, ..given(120, Some(1)) },
        ];
        let times: Vec<u64> = stale(&all, &purges, 10, 100).iter().map(|s| s.0.at).collect();
        assert_eq!((times, super::given(&all, &purges, 10, 100)), (vec![110, 199], 3));
    }

    #[test]
    fn a_shard_has_the_homes_its_requests_went_to_and_warming_is_none() {
        let warming = Arrival { via: Some(1), held_only: true, ..arrival(30, 2, "c") };
        let fill = Arrival { from: Some(2), ..arrival(30, 1, "c") };
        let looked = Arrival { via: Some(0), held_only: true, ..arrival(40, 3, "d") };
        let all = [
            arrival(5, 2, "z"),
            arrival(10, 1, "a"),
            arrival(20, 0, "b"),
            warming,
            fill,
            looked,
            arrival(60, 2, "e"),
        ];
        let homes = homes(&all, &specs(), &[10, 50], |_| Some(7));
        let of = |span| homes[&(span, 7)].iter().copied().collect::<Vec<_>>();
        assert_eq!((of(0), of(1), homes.len()), (vec![1, 3], vec![2], 2));
    }
}
