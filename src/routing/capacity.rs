//! Sizes of endpoints, and this router's fair share of each size.
//!
//! The size of an endpoint is its capacity, as the number of concurrent transfers at the full rate. It is
//! advertised as the endpoint's weight, or estimated from the zones' links.

use super::endpoint_table::EndpointIndex;
use super::events::{Endpoint, Role};
use super::Router;

/// Fraction of a zone's load that its inbound link is provisioned for: the misses, with headroom.
const LINK_FRACTION: f64 = 0.5;
/// Fraction of the parents' load that reaches the origin.
const ORIGIN_FRACTION: f64 = 0.5;
/// Fraction of the parents' load that reaches the origin, for a router with a small share of the parents,
/// which would notice a queue at the origin too late.
pub(super) const SMALL_SHARE_ORIGIN_FRACTION: f64 = 0.2;
/// Share of all parents, in concurrent transfers, below which a router's share is small.
pub(super) const SMALL_PARENT_SHARE: f64 = 10.0;
/// Size of an endpoint without any size information, in concurrent transfers.
const MIN_SIZE: f64 = 2.0;
/// Minimum fair share, in concurrent transfers: low enough for tens of thousands of routers. A decaying
/// average of attempts in flight can still fall below it.
const MIN_FAIR_SHARE: f64 = 0.001;

impl Router {
    /// Returns this router's fair share of an endpoint: its size divided by the number of routers that may
    /// send to it.
    pub(super) fn fair_share(&self, index: EndpointIndex) -> f64 {
        let endpoint = &self.endpoints[index].endpoint;
        let size = match endpoint.role {
            Role::Cache | Role::Parent => self.size(endpoint),
            Role::Origin => self.origin_size(endpoint),
        };
        (size.max(MIN_SIZE) / self.sharing_routers(endpoint)).max(MIN_FAIR_SHARE)
    }

    /// Returns the number of routers that may send to an endpoint.
    pub(super) fn sharing_routers(&self, endpoint: &Endpoint) -> f64 {
        let in_zone = match endpoint.role {
            Role::Cache => self.settings.routers_by_zone.get(endpoint.zone).copied(),
            Role::Parent | Role::Origin => None,
        };
        let routers = in_zone.filter(|&routers| routers > 0).unwrap_or(self.settings.routers);
        f64::from(routers.max(1))
    }

    /// Returns the size that the endpoint's list entry advertises, if weights are sizes.
    pub(super) fn advertised_size(&self, endpoint: &Endpoint) -> Option<f64> {
        let weight = endpoint.weight;
        (self.settings.weights_are_sizes && weight.is_finite() && weight > 0.0).then_some(weight)
    }

    /// Returns a size that is more likely too low than too high: a cold endpoint fails when it is overloaded.
    pub(super) fn conservative_size(&self, endpoint: &Endpoint) -> f64 {
        let settings = &self.settings;
        let link_kb_s = if endpoint.role == Role::Parent {
            settings.zone_link_kb_s.get(settings.zone).copied()
        } else {
            self.smallest_cache_link_kb_s
        };
        let guess = link_kb_s.unwrap_or(0.0) / settings.transfer_rate_kb_s.max(1.0);
        self.advertised_size(endpoint).unwrap_or(guess.max(MIN_SIZE))
    }

    /// Returns the link bandwidth per listed cache, in KB/s, in the zone where it is smallest, or an earlier
    /// result if that was smaller: after a loss of caches the others would seem too large.
    pub(super) fn find_smallest_cache_link_kb_s(&self) -> Option<f64> {
        let links = &self.settings.zone_link_kb_s;
        let mut caches_by_zone = vec![0.0; links.len()];
        for endpoint in self.endpoints.healthy(Role::Cache) {
            if let Some(caches) = caches_by_zone.get_mut(endpoint.zone) {
                *caches += 1.0;
            }
        }
        let by_zone = links.iter().zip(caches_by_zone).map(|(link, caches)| link / LINK_FRACTION / caches);
        let known = by_zone.chain(self.smallest_cache_link_kb_s);
        known.filter(|size| size.is_finite() && *size > 0.0).reduce(f64::min)
    }

    fn size(&self, endpoint: &Endpoint) -> f64 {
        self.advertised_size(endpoint).unwrap_or_else(|| {
            let link_kb_s = match endpoint.role {
                Role::Cache => self.link_of_cache_kb_s(endpoint),
                Role::Parent | Role::Origin => self.link_of_parent_kb_s(),
            };
            link_kb_s / self.settings.transfer_rate_kb_s.max(1.0)
        })
    }

    fn link_of_cache_kb_s(&self, endpoint: &Endpoint) -> f64 {
        let zone_link = self.settings.zone_link_kb_s.get(endpoint.zone);
        let load = zone_link.map_or(0.0, |link| link / LINK_FRACTION);
        load / self.endpoints.of_role(Role::Cache).len().max(1) as f64
    }

    /// Returns a parent's link bandwidth in KB/s: the parents are provisioned to carry all zones with one
    /// parent lost.
    fn link_of_parent_kb_s(&self) -> f64 {
        let parents = self.endpoints.of_role(Role::Parent).len();
        self.settings.zone_link_kb_s.iter().sum::<f64>() / parents.saturating_sub(1).max(1) as f64
    }

    fn origin_size(&self, origin: &Endpoint) -> f64 {
        let parents = self.endpoints.of_role(Role::Parent).iter();
        let parents_size: f64 = parents.map(|&parent| self.size(&self.endpoints[parent].endpoint)).sum();
        if parents_size / self.sharing_routers(origin) < SMALL_PARENT_SHARE {
            SMALL_SHARE_ORIGIN_FRACTION * parents_size
        } else {
            ORIGIN_FRACTION * parents_size
        }
    }
}
