//! Inputs of the fleet's parts for one turn: the time, the settings, the notes of the other instances, and
//! the state of the endpoints and their sites. `fleet.rs` creates them, and the parts only read them.

use crate::config::settings::Document;
use crate::failover::site_report::SiteReport;
use crate::failover::{SiteState, Zone};
use crate::gossip::MemberId;
use crate::routing::events::{Endpoint, Id, Micros};
use rustc_hash::FxHashMap;
use slog::Logger;

/// All endpoints in the list, by id.
pub(super) type Endpoints = FxHashMap<Id, Endpoint>;

/// Note of a peer as it was last received.
pub(super) struct PeerNote {
    pub member: MemberId,
    /// Time since the peer wrote or resent the note, in microseconds, as counted by the instances that passed
    /// it on.
    pub age: Micros,
    pub note: SiteReport,
}

/// Peers of this instance, as seen by gossip.
#[derive(Default)]
pub(super) struct PeerView {
    /// Number of configured instances; 0 if gossip is disabled.
    pub configured: usize,
    pub notes: Vec<PeerNote>,
    /// Number of peers that are alive or suspected and whose note is missing.
    pub without_note: usize,
    /// Peers that are dead or have left.
    pub departed: Vec<MemberId>,
}

/// Inputs of one turn of the fleet.
pub(super) struct FleetContext<'a> {
    pub now: Micros,
    /// `now` in Unix milliseconds.
    pub unix_ms: u64,
    pub log: &'a Logger,
    pub instance_name: &'a str,
    pub settings: &'a Document,
    pub peers: &'a PeerView,
    /// Number of running processes of this instance: two during a takeover.
    pub processes: u32,
}

impl FleetContext<'_> {
    /// Returns the name of a zone, or an empty string for the site of the origins, which has no name.
    pub fn zone_name(&self, zone: Zone) -> &str {
        self.settings.failure_domains.get(zone).map_or("", String::as_str)
    }

    pub fn zone_count(&self) -> usize {
        self.settings.failure_domains.len()
    }
}

/// Endpoints and site states of one turn.
pub(super) struct SiteView<'a> {
    pub endpoints: &'a Endpoints,
    /// Site states by zone; empty if site failover is disabled.
    pub states: &'a [SiteState],
}

impl SiteView<'_> {
    /// Returns the state of a zone's site; a site without a state counts as serving.
    pub fn state(&self, zone: Zone) -> SiteState {
        self.states.get(zone).copied().unwrap_or(SiteState::Serving)
    }
}
