//! Inputs of the plans, their validation, and the order of targets that all instances agree on.

use super::error::{InputList, InputValue, LimitedInput, PlanError};
use crate::failover::{Settings, Zone};
use crate::routing::events::{Class, Id, Idempotency, Role};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of zones.
pub const MAX_ZONES: usize = 128;
/// Maximum number of targets.
pub const MAX_TARGETS: usize = 4_096;
/// Maximum number of classes.
pub const MAX_CLASSES: usize = 32;
/// Maximum value of a load, capacity, link, price or priority weight.
pub const MAX_VALUE: f64 = 1e9;

/// A server that plans can send load to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the server.
    pub server: Id,
    /// Role of the server.
    pub role: Role,
    /// Zone of the server. The origin is not lost with its zone.
    pub zone: Zone,
    /// Number of concurrent transfers at full rate that the server can do; 0 if it takes no load.
    pub capacity: f64,
    /// Price of one unit of work at this server, in the unit of [`Inputs::priority_weight`].
    pub price: f64,
}

/// All inputs of the plans. The unit of work is a transfer at full rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Inputs {
    /// Number of zones.
    pub zones: usize,
    /// Servers, in any order.
    pub targets: Vec<Target>,
    /// Capacity of each zone's inbound link; 0 or absent if it has no limit.
    pub link_capacity: Vec<f64>,
    /// Requested work, by zone and class; absent entries count as 0.
    pub load: Vec<Vec<f64>>,
    /// Fraction of each class's work that misses in the caches, 0 to 1.
    pub miss_ratio: Vec<f64>,
    /// Fraction of a parent's work of each class that it fetches from the origin, 0 to 1; absent entries count as 0.
    pub parent_miss_ratio: Vec<f64>,
    /// Priority weight of one unit of work, by class.
    pub priority_weight: Vec<f64>,
    /// Request classes, in the order of the settings.
    pub classes: Vec<Class>,
    /// Settings of the plans; headroom, floor and `cross_zone_caches` are used.
    pub settings: Settings,
    /// Whether requests may go directly to a parent or the origin.
    pub may_bypass_caches: bool,
}

impl Inputs {
    /// Returns whether only the origin can serve a class. Such a class is rejected after all that caches can serve.
    pub fn runs_at_origin(&self, class: usize) -> bool {
        let class = self.classes.get(class);
        class.is_some_and(|class| class.uncacheable || class.idempotency == Idempotency::NotIdempotent)
    }

    /// Validates all inputs and sorts the targets by server, so that all instances have the same order.
    pub(super) fn checked(mut self) -> Result<Inputs, PlanError> {
        self.check_counts()?;
        self.check_lengths()?;
        self.check_values()?;
        if !self.targets.iter().any(|target| target.capacity > 0.0) {
            return Err(PlanError::NoTarget(self.targets.len()));
        }
        self.targets.sort_by(|a, b| a.server.cmp(&b.server));
        if let Some(two) = self.targets.windows(2).find(|two| two[0].server == two[1].server) {
            return Err(PlanError::DuplicateServer(two[0].server.clone()));
        }
        let classes = self.classes.len();
        self.link_capacity.resize(self.zones, 0.0);
        self.parent_miss_ratio.resize(classes, 0.0);
        self.load.resize(self.zones, Vec::new());
        self.load.iter_mut().for_each(|zone| zone.resize(classes, 0.0));
        Ok(self)
    }

    fn check_counts(&self) -> Result<(), PlanError> {
        let counts = [
            (LimitedInput::Zones, self.zones, MAX_ZONES),
            (LimitedInput::Servers, self.targets.len(), MAX_TARGETS),
            (LimitedInput::Classes, self.classes.len(), MAX_CLASSES),
        ];
        match counts.into_iter().find(|&(_, count, max)| count > max) {
            Some((input, count, max)) => Err(PlanError::TooMany { input, count, max }),
            None => Ok(()),
        }
    }

    fn check_lengths(&self) -> Result<(), PlanError> {
        let classes = self.classes.len();
        let longest = self.load.iter().map(Vec::len).max().unwrap_or(0);
        let exact = [
            (InputList::MissRatios, self.miss_ratio.len()),
            (InputList::PriorityWeights, self.priority_weight.len()),
        ];
        if let Some((input, count)) = exact.into_iter().find(|&(_, count)| count != classes) {
            return Err(PlanError::LengthMismatch { input, count, max: classes });
        }
        let at_most = [
            (InputList::Links, self.link_capacity.len(), self.zones),
            (InputList::Loads, self.load.len(), self.zones),
            (InputList::ZoneLoad, longest, classes),
            (InputList::ParentMissRatios, self.parent_miss_ratio.len(), classes),
        ];
        match at_most.into_iter().find(|&(_, count, max)| count > max) {
            Some((input, count, max)) => Err(PlanError::LengthMismatch { input, count, max }),
            None => Ok(()),
        }
    }

    fn check_values(&self) -> Result<(), PlanError> {
        let targets = || self.targets.iter();
        check_range(InputValue::Capacity, targets().map(|target| target.capacity), MAX_VALUE)?;
        check_range(InputValue::Price, targets().map(|target| target.price), MAX_VALUE)?;
        let last_zone = self.zones as f64 - 1.0;
        check_range(InputValue::Zone, targets().map(|target| target.zone as f64), last_zone)?;
        check_range(InputValue::Link, self.link_capacity.iter().copied(), MAX_VALUE)?;
        for zone in &self.load {
            check_range(InputValue::Load, zone.iter().copied(), MAX_VALUE)?;
        }
        check_range(InputValue::MissRatio, self.miss_ratio.iter().copied(), 1.0)?;
        check_range(InputValue::ParentMissRatio, self.parent_miss_ratio.iter().copied(), 1.0)?;
        check_range(InputValue::PriorityWeight, self.priority_weight.iter().copied(), MAX_VALUE)?;
        let fractions = [self.settings.headroom, self.settings.floor];
        check_range(InputValue::HeadroomOrFloor, fractions.into_iter(), 1.0)
    }

    /// Returns the number of validated inputs, which is the same on all instances with equal inputs and never 0.
    pub(super) fn number(&self) -> u32 {
        let mut bytes = Vec::new();
        let mut put = |value: u64| bytes.extend_from_slice(&value.to_le_bytes());
        let flags = u64::from(self.may_bypass_caches) | u64::from(self.settings.cross_zone_caches) << 1;
        let counts = [self.zones as u64, self.targets.len() as u64, self.classes.len() as u64, flags];
        counts.into_iter().for_each(&mut put);
        let lists = [&self.link_capacity, &self.miss_ratio, &self.parent_miss_ratio, &self.priority_weight];
        let lists = lists.into_iter().chain(&self.load).flatten();
        lists.chain([&self.settings.headroom, &self.settings.floor]).for_each(|&value| put(bits(value)));
        for (index, class) in self.classes.iter().enumerate() {
            put(u64::from(self.runs_at_origin(index)) | (class.idempotency as u64) << 1);
        }
        for target in &self.targets {
            let place = [target.role as u64, target.zone as u64, target.server.len() as u64];
            let values = [bits(target.capacity), bits(target.price)];
            place.into_iter().chain(values).for_each(&mut put);
        }
        self.targets.iter().for_each(|target| bytes.extend_from_slice(target.server.as_bytes()));
        nonzero_hash(&bytes)
    }
}

/// Returns the bits of a value; adding 0 maps negative zero to positive zero.
fn bits(value: f64) -> u64 {
    (value + 0.0).to_bits()
}

fn check_range(input: InputValue, values: impl Iterator<Item = f64>, max: f64) -> Result<(), PlanError> {
    match values.enumerate().find(|(_, value)| !(0.0..=max).contains(value)) {
        Some((index, value)) => Err(PlanError::OutOfRange { input, index, value, max }),
        None => Ok(()),
    }
}

/// Returns a 32-bit hash that is never 0, because 0 stands for "none" in reports.
pub(super) fn nonzero_hash(bytes: &[u8]) -> u32 {
    let hash = xxh3_64(bytes);
    ((hash ^ (hash >> 32)) as u32).max(1)
}
