//! Capacities of the caches and the link of a zone, as the shard planner needs them, computed from the
//! settings and the endpoint list.

use super::fleet_context::{Endpoints, FleetContext};
use crate::config::settings::Document;
use crate::failover::load_shift::estimate::server_size;
use crate::failover::Zone;
use crate::placement::rebalance::EndpointCapacity;
use crate::routing::events::{Endpoint, EndpointState, Role};

/// Maximum share of a cache's capacity that warming may use.
const WARMING_SHARE: f64 = 0.25;

/// Returns the capacities of a zone's caches, ordered by id.
pub(super) fn caches(context: &FleetContext, endpoints: &Endpoints, zone: Zone) -> Vec<EndpointCapacity> {
    let settings = context.settings.for_router();
    let in_zone = |endpoint: &&Endpoint| endpoint.role == Role::Cache && endpoint.zone == zone;
    let mut caches: Vec<Endpoint> = endpoints.values().filter(in_zone).cloned().collect();
    caches.sort_by(|a, b| a.id.cmp(&b.id));
    let slow_start = settings.cache_slow_start.duration;
    let capacity = |cache: &Endpoint| EndpointCapacity {
        id: cache.id.clone(),
        weight: if settings.weights_are_sizes { cache.weight } else { 1.0 },
        accepts_requests: cache.state == EndpointState::Healthy,
        in_slow_start: cache.started_at > 0 && context.now < cache.started_at.saturating_add(slow_start),
        spare_kb_s: WARMING_SHARE
            * server_size(&settings, &caches, cache)
            * settings.transfer_rate_kb_s.max(1.0),
    };
    caches.iter().map(capacity).collect()
}

/// Returns the capacity of a zone's link in KB per second: the configured one, or else the sum of the spare
/// capacities of its caches.
pub(super) fn link_kb_s(settings: &Document, zone: Zone, caches: &[EndpointCapacity]) -> f64 {
    let configured = settings.domain.inlet_kb_per_s.get(zone).copied().filter(|rate| *rate > 0.0);
    configured.unwrap_or_else(|| caches.iter().map(|cache| cache.spare_kb_s).sum())
}

/// Returns the maximum number of instances of a zone.
pub(super) fn max_instances(settings: &Document, zone: Zone) -> u32 {
    let configured = settings.domain.crew_by_zone.get(zone).copied().filter(|count| *count > 0);
    configured.unwrap_or(settings.balancers).max(1)
}
