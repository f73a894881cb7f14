//! Estimated inputs of plans, derived from data that all instances share: the settings and the endpoint list. While no
//! load is measured, a zone's load is estimated from its link. `proxy::failover` estimates the inputs before it makes
//! plans.

#[cfg(test)]
mod tests;

use super::{Inputs, Target};
use crate::failover::{Settings as SiteSettings, Zone};
use crate::routing::events::{Endpoint, EndpointState, Role, Settings};

/// Assumed miss ratio of a cacheable class in caches and in parents: links are dimensioned for half of a location's
/// work.
const MISS_RATIO: f64 = 0.5;
/// Assumed fraction of a zone's work that belongs to uncacheable classes, in total.
const UNCACHEABLE_FRACTION: f64 = 0.05;
/// Minimum size of a server, in concurrent transfers.
const MIN_SIZE: f64 = 2.0;

/// Estimates the inputs for these servers. `priority_weight` is the weight of one request, by class; a missing weight
/// or one that is not above 0 counts as 1.
pub fn estimate_inputs(
    settings: &Settings,
    priority_weight: &[f64],
    servers: &[Endpoint],
    site_settings: &SiteSettings,
) -> Inputs {
    let rate_kb_s = settings.transfer_rate_kb_s.max(1.0);
    let link_capacity: Vec<f64> = settings.zone_link_kb_s.iter().map(|link| link / rate_kb_s).collect();
    let listed_zones = servers.iter().map(|server| server.zone + 1).max().unwrap_or(0);
    let zones = listed_zones.max(link_capacity.len()).max(settings.routers_by_zone.len());
    let estimate = Estimate { settings, servers, site_settings, link_capacity: &link_capacity };
    let miss_ratios = settings.classes.iter().map(|class| if class.uncacheable { 1.0 } else { MISS_RATIO });
    let weight = |class: usize| priority_weight.get(class).copied().filter(|&weight| weight > 0.0);
    Inputs {
        zones,
        targets: estimate.targets(),
        load: (0..zones).map(|zone| estimate.load(zone)).collect(),
        miss_ratio: miss_ratios.clone().collect(),
        parent_miss_ratio: miss_ratios.collect(),
        priority_weight: (0..settings.classes.len()).map(|class| weight(class).unwrap_or(1.0)).collect(),
        classes: settings.classes.clone(),
        settings: site_settings.clone(),
        may_bypass_caches: settings.may_bypass_caches,
        link_capacity,
    }
}

struct Estimate<'a> {
    settings: &'a Settings,
    servers: &'a [Endpoint],
    site_settings: &'a SiteSettings,
    link_capacity: &'a [f64],
}

impl Estimate<'_> {
    fn healthy(&self) -> impl Iterator<Item = &Endpoint> {
        self.servers.iter().filter(|server| server.state == EndpointState::Healthy)
    }

    fn size(&self, server: &Endpoint) -> f64 {
        server_size(self.settings, self.servers, server)
    }

    fn targets(&self) -> Vec<Target> {
        let parents: f64 =
            self.healthy().filter(|server| server.role == Role::Parent).map(|server| self.size(server)).sum();
        let target = |server: &Endpoint| Target {
            server: server.id.clone(),
            role: server.role,
            zone: server.zone,
            // The origin's size is unknown; it is assumed to be able to serve the misses of the parents.
            capacity: match server.role {
                Role::Origin => MISS_RATIO * parents.max(MIN_SIZE),
                Role::Cache | Role::Parent => self.size(server),
            },
            price: 0.0,
        };
        self.healthy().map(target).collect()
    }

    /// Estimates the load of a zone, by class.
    fn load(&self, zone: Zone) -> Vec<f64> {
        let classes = &self.settings.classes;
        if self.settings.routers_by_zone.get(zone).is_none_or(|&instances| instances == 0) {
            return vec![0.0; classes.len()];
        }
        let load = self.site_settings.assumed_demand * self.zone_capacity(zone);
        let uncacheable = classes.iter().filter(|class| class.uncacheable).count();
        let cacheable = classes.len() - uncacheable;
        let uncacheable_fraction = if cacheable == 0 { 1.0 } else { UNCACHEABLE_FRACTION };
        let cacheable_fraction = 1.0 - if uncacheable == 0 { 0.0 } else { uncacheable_fraction };
        let fraction = |is_uncacheable: bool| {
            if is_uncacheable {
                uncacheable_fraction / uncacheable as f64
            } else {
                cacheable_fraction / cacheable as f64
            }
        };
        classes.iter().map(|class| load * fraction(class.uncacheable)).collect()
    }

    /// Returns the work that a zone's link can sustain, or the capacity of its caches if the link has no limit.
    fn zone_capacity(&self, zone: Zone) -> f64 {
        let link = self.link_capacity.get(zone).copied().unwrap_or(0.0);
        let by_link = link / MISS_RATIO;
        if by_link > 0.0 {
            return by_link;
        }
        let caches = self.healthy().filter(|server| server.role == Role::Cache && server.zone == zone);
        caches.map(|server| self.size(server)).sum()
    }
}

/// Returns the capacity of a server in concurrent transfers at full rate: its weight if weights are sizes, otherwise an
/// estimate from the links.
pub fn server_size(settings: &Settings, servers: &[Endpoint], server: &Endpoint) -> f64 {
    let weight = server.weight;
    if settings.weights_are_sizes && weight.is_finite() && weight > 0.0 {
        return weight.max(MIN_SIZE);
    }
    let same_role =
        servers.iter().filter(|other| other.state == EndpointState::Healthy && other.role == server.role);
    let rate_kb_s = match server.role {
        Role::Cache => {
            let link_kb_s = settings.zone_link_kb_s.get(server.zone).copied().unwrap_or(0.0);
            let count = same_role.filter(|other| other.zone == server.zone).count();
            link_kb_s / MISS_RATIO / count.max(1) as f64
        }
        Role::Parent | Role::Origin => {
            let count = same_role.count();
            settings.zone_link_kb_s.iter().sum::<f64>() / count.saturating_sub(1).max(1) as f64
        }
    };
    (rate_kb_s / settings.transfer_rate_kb_s.max(1.0)).max(MIN_SIZE)
}
