//! Distinguishes a member that lags or belongs to another cluster from a registry that was restored or replaced. A
//! single member may be wrong; if most endpoints report a state of the same cluster that is not accepted, the registry
//! itself has changed. Members that report an older revision of the followed cluster may still catch up, so a restore
//! is assumed only after they have reported an older revision for some time.

use crate::registry::answers::Header;
use crate::routing::events::Micros;

/// Minimum validity of an observation, in longest pauses between dials, so that every endpoint can be dialed meanwhile.
const MIN_VALIDITY_PAUSES: Micros = 4;

/// The state that one endpoint reported and that was not accepted.
#[derive(Clone, Copy, Debug)]
struct Observation {
    cluster: u64,
    first_seen: Micros,
    last_seen: Micros,
}

impl Observation {
    /// Returns whether this observation is of `cluster`, was last made within `validity` before `now`, and first made at
    /// least `wait` ago. Unless `wait` is 0, a single observation is not enough.
    fn supports(&self, cluster: u64, now: Micros, validity: Micros, wait: Micros) -> bool {
        self.cluster == cluster
            && now - self.last_seen <= validity
            && now - self.first_seen >= wait
            && (self.first_seen < self.last_seen || wait == 0)
    }
}

/// The latest observation of each endpoint whose state was not accepted.
#[derive(Clone, Debug)]
pub(super) struct RestoreDetector {
    observations: Vec<Option<Observation>>,
}

/// The times that decide whether observations amount to a restore.
#[derive(Clone, Copy, Debug)]
pub(super) struct RestoreTimes {
    /// How long endpoints must report an older revision of the same cluster.
    pub(super) confirmation: Micros,
    /// Longest pause between dials.
    pub(super) longest_pause: Micros,
}

impl RestoreDetector {
    pub(super) fn new(endpoints: usize) -> Self {
        RestoreDetector { observations: vec![None; endpoints] }
    }

    /// Discards all observations, because an endpoint reported a state that was accepted.
    pub(super) fn clear(&mut self) {
        self.observations.fill(None);
    }

    /// Records that an endpoint reports a state that is not accepted. Returns whether most endpoints support the
    /// observation, that is, whether the registry was restored or replaced.
    pub(super) fn observe(
        &mut self,
        now: Micros,
        endpoint: usize,
        header: Header,
        is_same_cluster: bool,
        times: RestoreTimes,
    ) -> bool {
        let earlier = self.observations[endpoint].filter(|earlier| earlier.cluster == header.cluster);
        let first_seen = earlier.map_or(now, |earlier| earlier.first_seen);
        self.observations[endpoint] =
            Some(Observation { cluster: header.cluster, first_seen, last_seen: now });
        let wait = if is_same_cluster { times.confirmation } else { 0 };
        let validity = times.confirmation.max(MIN_VALIDITY_PAUSES * times.longest_pause);
        let supports = |observation: &&Observation| observation.supports(header.cluster, now, validity, wait);
        let supporters = self.observations.iter().flatten().filter(supports).count();
        supporters > self.observations.len() / 2
    }
}
