//! Configuration of probing, suspicion and dissemination.

use super::message::MemberId;
use crate::routing::events::Micros;

/// Configuration of one instance's gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Number of this instance.
    pub me: MemberId,
    /// Maximum number of instances; all member numbers are below this.
    pub members: MemberId,
    /// Length of a protocol period, in microseconds; one member is probed in each.
    pub probe_period: Micros,
    /// Time without an answer after which other members are asked to probe, in microseconds.
    pub probe_timeout: Micros,
    /// Number of other members that are asked to probe.
    pub indirect_probes: usize,
    /// Factor by which the binary logarithm of the number of members is multiplied to give the number of transmissions
    /// of an update.
    pub dissemination_factor: f64,
    /// Minimum number of periods that a suspicion lasts with up to 10 members; with more members it is multiplied by
    /// the decimal logarithm of their number.
    pub min_suspicion_periods: f64,
    /// Factor by which a suspicion without confirmations lasts longer than the minimum.
    pub unconfirmed_factor: f64,
    /// Number of confirmations that shorten a suspicion to its minimum.
    pub confirmations: usize,
}

impl Config {
    /// Returns the default configuration for this number of members.
    pub fn new(me: MemberId, members: MemberId) -> Self {
        Config {
            me,
            members,
            probe_period: 500_000,
            probe_timeout: 150_000,
            indirect_probes: 3,
            dissemination_factor: 3.0,
            min_suspicion_periods: 2.0,
            unconfirmed_factor: 3.0,
            confirmations: 2,
        }
    }

    /// Returns the number of datagrams that an update or a note is sent with.
    pub(super) fn transmissions(&self) -> u32 {
        (self.dissemination_factor * f64::from(self.members.saturating_add(1)).log2()).ceil() as u32
    }

    /// Returns the minimum duration of a suspicion.
    pub(super) fn min_suspicion(&self) -> Micros {
        let size_factor = f64::from(self.members).log10().max(1.0);
        (self.probe_period as f64 * self.min_suspicion_periods * size_factor) as Micros
    }

    /// Returns the duration of a suspicion that has this number of accusers.
    pub(super) fn suspicion_duration(&self, accusers: usize) -> Micros {
        let min_suspicion = self.min_suspicion();
        let (shortest, longest) = (min_suspicion, min_suspicion as f64 * self.unconfirmed_factor);
        // The first accuser starts the suspicion, all others confirm it.
        let confirmation_count = accusers.saturating_sub(1) as f64;
        let shortening =
            (confirmation_count + 1.0).ln() / (self.confirmations as f64 + 1.0).ln().max(f64::MIN_POSITIVE);
        (longest - (longest - shortest as f64) * shortening.min(1.0)) as Micros
    }
}
