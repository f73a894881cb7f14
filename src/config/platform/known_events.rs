//! The events that precede the start of an instance, as the configuration file lists them: endpoint updates and purges.

use super::{parse_address, ConfigError};
use crate::config::settings::Document;
use crate::net::protocol::command_channel::{Command, Purge, Record, State};
use serde::Deserialize;
use std::net::SocketAddr;

/// The events, with the number of the last one as `cursor`.
#[derive(Deserialize, Default)]
pub(super) struct KnownEvents {
    pub(super) cursor: u64,
    cmds: Vec<KnownEvent>,
}

#[derive(Deserialize)]
struct KnownEvent {
    nodes: Option<Nodes>,
    drop: Option<Drop>,
}

#[derive(Deserialize)]
struct Nodes {
    #[serde(default)]
    reset: bool,
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u32,
    lifecycle: String,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    started_at_ms: u64,
}

#[derive(Deserialize)]
struct Drop {
    id: Option<String>,
    family: Option<u64>,
    when: u64,
}

impl KnownEvents {
    /// Converts the events to commands.
    ///
    /// # Errors
    ///
    /// Fails if a value is invalid, such as a zone that the settings don't name.
    pub(super) fn into_commands(self, settings: &Document) -> Result<Vec<Command>, ConfigError> {
        self.cmds.into_iter().map(|event| event.into_command(settings)).collect()
    }
}

impl KnownEvent {
    fn into_command(self, settings: &Document) -> Result<Command, ConfigError> {
        match (self.nodes, self.drop) {
            (Some(nodes), _) => {
                let records = nodes.instances.into_iter().map(|instance| instance.into_record(settings));
                Ok(Command::Endpoints { complete: nodes.reset, records: records.collect::<Result<_, _>>()? })
            }
            (None, Some(drop)) => drop.into_command(),
            (None, None) => Err(ConfigError::value("known event", "neither nodes nor drop")),
        }
    }
}

impl Drop {
    fn into_command(self) -> Result<Command, ConfigError> {
        let scope = match (self.id, self.family) {
            (Some(id), _) => match u64::from_str_radix(&id, 16) {
                Ok(object) => Purge::Object(object),
                Err(_) => return Err(ConfigError::value("object", id)),
            },
            (None, Some(group)) => Purge::Group(group),
            (None, None) => return Err(ConfigError::value("purge", "neither id nor family")),
        };
        Ok(Command::Purge { scope, when_ms: self.when })
    }
}

impl Instance {
    /// Converts to an endpoint record. The record of a removed endpoint may lack its details.
    fn into_record(self, settings: &Document) -> Result<Record, ConfigError> {
        let state = match self.lifecycle.as_str() {
            "SERVING" => State::Ready,
            "DRAINING" => State::Draining,
            "DELETED" => State::Gone,
            _ => return Err(ConfigError::value("lifecycle", self.lifecycle)),
        };
        let removed_default = (state == State::Gone).then_some(0);
        let zone = name_index(&settings.failure_domains, &self.zone).or(removed_default);
        let kind = name_index(&settings.kinds, &self.machine_type).or(removed_default);
        let address = match parse_address("hostPort", self.host_port) {
            Err(_) if state == State::Gone => SocketAddr::from(([0, 0, 0, 0], 0)),
            parsed => parsed?,
        };
        Ok(Record {
            address,
            id: self.instance_id,
            state,
            zone: zone.ok_or_else(|| ConfigError::value("zone", self.zone))?,
            kind: kind.ok_or_else(|| ConfigError::value("machineType", self.machine_type))?,
            cell: self.cell,
            weight: self.weight,
            started_ms: self.started_at_ms,
        })
    }
}

/// Returns the index of a name. The index is 0 if the settings have no names, or if they have only one and the name is
/// omitted.
fn name_index(names: &[String], name: &str) -> Option<usize> {
    let is_only_one = names.is_empty() || (names.len() == 1 && name.is_empty());
    let found = names.iter().position(|known| known == name);
    found.or(is_only_one.then_some(0))
}
