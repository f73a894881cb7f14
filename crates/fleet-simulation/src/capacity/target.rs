//! The size that the fleet is to have in two years, as its operators told it, and what it may cost.

use serde::{Deserialize, Serialize};

/// Instances.
pub const INSTANCES: f64 = 3_300.0;
/// Sites, each a zone of the settings.
pub const SITES: f64 = 170.0;
/// Endpoints.
pub const ENDPOINTS: f64 = 420.0;
/// Zones of the provider that the sites stand in.
pub const ZONES: f64 = 39.0;
/// Regions.
pub const REGIONS: f64 = 13.0;
/// Objects.
pub const OBJECTS: f64 = 290e6;
/// Requests a second, at the peak, of all.
pub const REQUESTS: f64 = 2.8e6;
/// Bytes a second to clients, at the peak, of all.
pub const BYTES: f64 = 4e12 / 8.0;
/// Purges a second, each to all.
pub const PURGES: f64 = 20.0;
/// Within how long a purge is done everywhere, in seconds.
pub const PURGED_WITHIN: f64 = 1.3;
/// Changes of configuration a day.
pub const CHANGES: f64 = 5_800.0;
/// Within how long a change is in force everywhere, in seconds.
pub const CHANGED_WITHIN: f64 = 4.0;
/// Changes of one burst that are to be in force together: a rollout of a hundred.
pub const BURST: f64 = 100.0;
/// Machines that fail on an ordinary day, and that are restarted or replaced.
pub const LEFT: f64 = 21.0 + 190.0;
/// Machines set aside for control.
pub const CONTROL: f64 = 12.0;
/// Seconds of a day.
pub const DAY: f64 = 86_400.0;
/// What control may take of an instance's core.
pub const CORE: f64 = 0.029;
/// Its memory, in bytes.
pub const MEMORY: f64 = 256e6;
/// Its bytes a second.
pub const TRAFFIC: f64 = 10e3;
/// Shards of one zone: as many as a map may have.
pub const SHARDS: f64 = 10_000.0;

/// Requests a second of one instance, at the peak.
pub const REQUESTS_EACH: f64 = REQUESTS / INSTANCES;
/// Changes of configuration a second, on the mean and in a burst that is to be in force in time.
pub const CHANGES_S: (f64, f64) = (CHANGES / DAY, BURST / CHANGED_WITHIN);
/// Changes of the list of endpoints a second: each machine that fails or is replaced goes, and comes in two steps; at the
/// peak those of one provider's zone go within a second.
pub const LISTED_S: (f64, f64) = (3.0 * LEFT / DAY, ENDPOINTS / ZONES);

/// What is summed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Sum {
    /// Processor time for control in one instance, in microseconds a second.
    #[serde(rename = "doorman: CPU us/s")]
    InstanceCpu,
    /// Memory of one instance, in bytes.
    #[serde(rename = "doorman: bytes of memory")]
    InstanceMemory,
    /// Bytes a second for control, in and out of one instance.
    #[serde(rename = "doorman: bytes/s")]
    InstanceBytes,
    /// Processor time of all machines set aside for control, in microseconds a second.
    #[serde(rename = "control machines: CPU us/s")]
    ControlCpu,
    /// Bytes a second out of them.
    #[serde(rename = "control machines: bytes out/s")]
    ControlBytes,
    /// Connections to them.
    #[serde(rename = "control machines: connections")]
    ControlConnections,
}

impl Sum {
    /// All, in the order of the page.
    pub const ALL: [Sum; 6] = [
        Sum::InstanceCpu,
        Sum::InstanceMemory,
        Sum::InstanceBytes,
        Sum::ControlCpu,
        Sum::ControlBytes,
        Sum::ControlConnections,
    ];

    /// In words.
    pub fn word(self) -> &'static str {
        match self {
            Sum::InstanceCpu => "doorman: CPU us/s",
            Sum::InstanceMemory => "doorman: bytes of memory",
            Sum::InstanceBytes => "doorman: bytes/s",
            Sum::ControlCpu => "control machines: CPU us/s",
            Sum::ControlBytes => "control machines: bytes out/s",
            Sum::ControlConnections => "control machines: connections",
        }
    }

    /// What it may be. The operators set 12 machines aside and do not tell their size: they are taken to be as large
    /// as the one measured on, with 1 Gbit/s and 20,000 descriptors each, and one of them is taken to be away.
    pub fn limit(self, cores: u32) -> f64 {
        match self {
            Sum::InstanceCpu => CORE * 1e6,
            Sum::InstanceMemory => MEMORY,
            Sum::InstanceBytes => TRAFFIC,
            Sum::ControlCpu => (CONTROL - 1.0) * f64::from(cores) * 1e6,
            Sum::ControlBytes => (CONTROL - 1.0) * 125e6,
            Sum::ControlConnections => (CONTROL - 1.0) * 20_000.0,
        }
    }
}
