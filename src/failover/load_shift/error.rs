//! Errors of making plans for the loss of sites.

use crate::routing::events::Id;
use std::fmt;

/// Reason why plans cannot be made.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// No server can take load.
    #[error("site plans: none of {0} servers can take load; check the endpoint list and the weights of its servers")]
    NoTarget(usize),
    /// An input list is longer than its limit.
    #[error(
        "site plans: {count} {input} exceed the limit of {max}; merge small ones or leave site_plan() out"
    )]
    TooMany {
        /// Kind of the input.
        input: LimitedInput,
        /// Number of entries.
        count: usize,
        /// Maximum number of entries.
        max: usize,
    },
    /// A value is out of range.
    #[error(
        "site plans: {input} {index} is {value}, not between 0 and {max}; correct it in the settings or the endpoint list"
    )]
    OutOfRange {
        /// Kind of the input.
        input: InputValue,
        /// Index of the value.
        index: usize,
        /// The value.
        value: f64,
        /// Maximum value.
        max: f64,
    },
    /// The lengths of two lists do not match.
    #[error("site plans: {input} has {count} entries instead of {max}; settings and forecast do not match, wait for the next forecast")]
    LengthMismatch {
        /// The list.
        input: InputList,
        /// Number of its entries.
        count: usize,
        /// Expected or maximum number of entries.
        max: usize,
    },
    /// The endpoint list names a server twice.
    #[error("site plans: server {0} is listed twice; correct the source of the endpoint list")]
    DuplicateServer(Id),
}

/// Inputs whose number is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitedInput {
    /// Zones.
    Zones,
    /// Servers that can take load.
    Servers,
    /// Request classes.
    Classes,
}

impl fmt::Display for LimitedInput {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            LimitedInput::Zones => "zones",
            LimitedInput::Servers => "servers",
            LimitedInput::Classes => "classes",
        })
    }
}

/// A numeric input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputValue {
    /// Capacity of a server.
    Capacity,
    /// Price of a server.
    Price,
    /// Zone of a server.
    Zone,
    /// Capacity of a zone's link.
    Link,
    /// Load of a class.
    Load,
    /// Miss ratio of a class in the caches.
    MissRatio,
    /// Fraction of a parent's work of a class that it fetches from the origin.
    ParentMissRatio,
    /// Priority weight of a class.
    PriorityWeight,
    /// Headroom (index 0) or floor (index 1).
    HeadroomOrFloor,
}

impl fmt::Display for InputValue {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            InputValue::Capacity => "the capacity of server",
            InputValue::Price => "the price of server",
            InputValue::Zone => "the zone of server",
            InputValue::Link => "the link capacity of zone",
            InputValue::Load => "the load of class",
            InputValue::MissRatio => "the miss ratio of class",
            InputValue::ParentMissRatio => "the parent miss ratio of class",
            InputValue::PriorityWeight => "the priority weight of class",
            InputValue::HeadroomOrFloor => "headroom or floor",
        })
    }
}

/// A list in the inputs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputList {
    /// Miss ratios, by class.
    MissRatios,
    /// Priority weights, by class.
    PriorityWeights,
    /// Link capacities, by zone.
    Links,
    /// Loads, by zone.
    Loads,
    /// Load of one zone, by class.
    ZoneLoad,
    /// Miss ratios of parents, by class.
    ParentMissRatios,
}

impl fmt::Display for InputList {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            InputList::MissRatios => "the list of miss ratios",
            InputList::PriorityWeights => "the list of priority weights",
            InputList::Links => "the list of link capacities",
            InputList::Loads => "the list of loads",
            InputList::ZoneLoad => "the load of a zone",
            InputList::ParentMissRatios => "the list of parent miss ratios",
        })
    }
}
