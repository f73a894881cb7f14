//! States from the records whether a promise was broken; knows nothing of the instance's inside.

use crate::endpoints::Asked;
use std::time::{Duration, Instant};

/// A change that closed an endpoint, or opened it again.
#[derive(Clone, Debug)]
pub struct Committed {
    /// When the registry had committed it.
    pub at: Instant,
    /// The endpoint.
    pub endpoint: String,
    /// Whether it takes work from then on.
    pub open: bool,
}

/// Work that reached an endpoint, as target or as source, after it was closed.
#[derive(Clone, Debug)]
pub struct Late {
    /// The endpoint.
    pub endpoint: String,
    /// The request.
    pub id: String,
    /// How long after the commit, or after the registry could be heard again.
    pub after: Duration,
}

/// All work that came after a closing. `deaf` are the spans in which the registry could not be heard: time in them
/// does not count.
pub fn late(commits: &[Committed], deaf: &[(Instant, Instant)], asked: &[Asked]) -> Vec<Late> {
    let mut late = Vec::new();
    for a in asked {
        for endpoint in [Some(&a.endpoint), a.via.as_ref()].into_iter().flatten() {
            let last =
                commits.iter().filter(|c| c.endpoint == *endpoint && c.at <= a.at).max_by_key(|c| c.at);
            let Some(closed) = last.filter(|c| !c.open) else { continue };
            let heard =
                deaf.iter().filter(|(from, to)| *from <= a.at && *to >= closed.at).map(|d| d.1.min(a.at));
            let from = heard.max().unwrap_or(closed.at).max(closed.at);
            late.push(Late { endpoint: endpoint.clone(), id: a.id.clone(), after: a.at - from });
        }
    }
    late
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn work_as_target_and_as_source_counts_from_the_commit_or_the_end_of_silence() {
        let t = Instant::now();
        let at = |ms| t + Duration::from_millis(ms);
        let asked = |ms, endpoint: &str, via: Option<&str>| Asked {
            at: at(ms),
            endpoint: endpoint.into(),
            via: via.map(Into::into),
            id: String::new(),
        };
        let commits = [
            Committed { at: at(100), endpoint: "a".into(), open: false },
            Committed { at: at(500), endpoint: "a".into(), open: true },
        ];
        let asked =
            [asked(50, "a", None), asked(130, "b", Some("a")), asked(300, "a", None), asked(600, "a", None)];
        let after = |deaf: &[(Instant, Instant)]| -> Vec<u128> {
            late(&commits, deaf, &asked).iter().map(|l| l.after.as_millis()).collect()
        };
        assert_eq!(after(&[]), [30, 200]);
        assert_eq!(after(&[(at(90), at(250))]), [0, 50]);
    }
}
