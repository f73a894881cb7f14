//! Where machines stand: regions hold zones, zones hold sites, instances of a zone stand in racks of ten.

use crate::error::ScaleError;
use crate::scenario::{Group, Shape};

/// Instances of a rack.
pub const RACK: usize = 10;

/// Where a machine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its region.
    pub region: u16,
    /// Its zone, by a number that no other region uses.
    pub zone: u16,
    /// Its site, by a number that no other zone uses.
    pub site: u16,
    /// Its rack within the zone; control machines are in none.
    pub rack: Option<u16>,
}

/// All machines: instances first, then control machines.
#[derive(Clone, Debug)]
pub struct Places {
    /// Instances.
    pub size: usize,
    /// Control machines.
    pub controls: usize,
    /// By machine.
    pub all: Vec<Place>,
}

impl Places {
    /// So many instances spread evenly over the sites, and the control machines over the zones.
    pub fn new(shape: &Shape, size: usize) -> Self {
        let zone_of = |site: usize| site * shape.zones / shape.sites;
        let region_of = |zone: usize| zone * shape.regions / shape.zones;
        let mut in_zone = vec![0usize; shape.zones];
        let instance = |n: usize| {
            let site = n * shape.sites / size;
            let zone = zone_of(site);
            let rack = Some((in_zone[zone] / RACK) as u16);
            in_zone[zone] += 1;
            Place { region: region_of(zone) as u16, zone: zone as u16, site: site as u16, rack }
        };
        let mut all: Vec<Place> = (0..size).map(instance).collect();
        all.extend((0..shape.controls).map(|k| {
            let zone = k * shape.zones / shape.controls;
            // The first site of the zone.
            let site = (zone * shape.sites).div_ceil(shape.zones);
            Place { region: region_of(zone) as u16, zone: zone as u16, site: site as u16, rack: None }
        }));
        Places { size, controls: shape.controls, all }
    }

    /// The number of a control machine among all machines.
    pub fn control(&self, machine: usize) -> usize {
        self.size + machine
    }

    /// Which machines a group holds, by machine. `place` names the group in errors.
    pub fn members(&self, group: &Group, shape: &Shape, place: &str) -> Result<Vec<bool>, ScaleError> {
        let refuse = |what: &'static str, number: u16, most: usize| ScaleError::Unknown {
            place: place.to_owned(),
            what,
            number,
            most,
        };
        let inside: Vec<bool> = match group {
            Group::Regions(regions) => {
                if let Some(&n) = regions.iter().find(|&&n| usize::from(n) >= shape.regions) {
                    return Err(refuse("region", n, shape.regions));
                }
                self.all.iter().map(|p| regions.contains(&p.region)).collect()
            }
            Group::Zones(zones) => {
                if let Some(&n) = zones.iter().find(|&&n| usize::from(n) >= shape.zones) {
                    return Err(refuse("zone", n, shape.zones));
                }
                self.all.iter().map(|p| zones.contains(&p.zone)).collect()
            }
            Group::Rack { zone, number } => {
                if usize::from(*zone) >= shape.zones {
                    return Err(refuse("zone", *zone, shape.zones));
                }
                self.all.iter().map(|p| (p.zone, p.rack) == (*zone, Some(*number))).collect()
            }
        };
        if inside.contains(&true) {
            Ok(inside)
        } else {
            Err(ScaleError::Empty { place: place.to_owned(), group: group.to_string(), size: self.size })
        }
    }
}
