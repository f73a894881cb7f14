//! The platform's configuration of one instance: a JSON file whose path is in `PROXY_CONFIG`.
#![cfg_attr(not(test), warn(clippy::min_ident_chars, clippy::missing_errors_doc))]

mod error;
mod known_events;

pub use self::error::ConfigError;

use self::known_events::KnownEvents;
use crate::config::settings::{
    is_optional, key_paths, Document, DEFAULT_PEER_DATAGRAMS_PER_S, MAX_INSTANCES,
};
use crate::net::protocol::command_channel::Command;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum number of peers in the configuration.
const MAX_PEERS: usize = MAX_INSTANCES as usize;
/// Memory limit in MB if the configuration sets none: the smallest that the platform offers.
const DEFAULT_MEMORY_MB: usize = 32;
const SEED_RADIX: u32 = 16;

/// The configuration of one instance.
#[derive(Debug)]
pub struct Config {
    /// Name of the instance.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the admin endpoint, if there is one.
    pub management: Option<SocketAddr>,
    /// Folder through which processes of one instance find each other during a takeover, if there is one.
    pub folder: Option<PathBuf>,
    /// Seed of the random number generators; it differs on each start.
    pub seed: u64,
    /// Path of the configuration file, which is read again on SIGHUP.
    pub path: PathBuf,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Address of the command channel.
    pub channel: SocketAddr,
    /// Number of the last event in `known_events`.
    pub cursor: u64,
    /// The events that precede the start of the instance.
    pub known_events: Vec<Command>,
    /// Bandwidth of one transfer from the local cache and of all transfers together, in bytes per second; 0 disables
    /// the cache.
    pub local_cache_link: (f64, f64),
    /// Gossip with the other instances, if enabled.
    pub peering: Option<Peering>,
    /// The deployment's settings.
    pub settings: Document,
    /// Paths of all keys in the file.
    pub keys: BTreeSet<String>,
}

/// How an instance reaches its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Peering {
    /// Index of this instance in `members`.
    pub me: u16,
    /// Address on which this instance receives datagrams.
    pub listen: SocketAddr,
    /// Address of each instance by index; an instance sends its datagrams from this address.
    pub members: Vec<SocketAddr>,
    /// Maximum number of datagrams that this instance sends per second.
    pub datagrams_per_s: u32,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of file descriptors.
    pub sockets: usize,
    /// Memory limit in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
}

fn default_memory_mb() -> usize {
    DEFAULT_MEMORY_MB
}

/// The JSON structure of the configuration file.
#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: String,
    #[serde(default)]
    management: String,
    seed: String,
    limits: Limits,
    channel: String,
    #[serde(default)]
    flow_bytes_per_s: f64,
    #[serde(default)]
    link_bytes_per_s: f64,
    #[serde(default)]
    known: KnownEvents,
    #[serde(default)]
    peer_listen: String,
    #[serde(default)]
    peers: Vec<String>,
    settings: Document,
}

impl Config {
    /// Reads the configuration file that `PROXY_CONFIG` names.
    ///
    /// # Errors
    ///
    /// Fails if the variable is not set or if the file can't be read or is invalid.
    pub fn from_env() -> Result<Config, ConfigError> {
        let path = PathBuf::from(std::env::var_os("PROXY_CONFIG").ok_or(ConfigError::NotNamed)?);
        let mut config = Config::read(path)?;
        // A second process of the instance shares the file and needs an admin address of its own.
        if let Some(address) = std::env::var("PROXY_MANAGEMENT").ok().filter(|address| !address.is_empty()) {
            config.management = Some(parse_address("PROXY_MANAGEMENT", address)?);
        }
        // Without an admin endpoint no second process can be started, so no folder is needed. The folder is never
        // one that other users may write to.
        let private_folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
        config.folder = private_folder.map(PathBuf::from).filter(|_| config.management.is_some());
        Ok(config)
    }

    /// Reads a configuration file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is invalid.
    pub fn read(path: PathBuf) -> Result<Config, ConfigError> {
        match std::fs::read_to_string(&path) {
            Ok(text) => Config::parse(&text, path),
            Err(error) => Err(ConfigError::Unreadable(path, error)),
        }
    }

    /// Checks that this configuration can replace the running one.
    ///
    /// # Errors
    ///
    /// Fails if a key of the running configuration is missing that may not be, or if a change needs a restart.
    pub fn check_reload(&self, settings: &Document, keys: &BTreeSet<String>) -> Result<(), ConfigError> {
        if let Some(key) = keys.difference(&self.keys).find(|key| !is_optional(key)) {
            return Err(ConfigError::Missing(key.clone()));
        }
        match self.settings.find_change_that_needs_restart(settings) {
            Some(key) => Err(ConfigError::NeedsRestart(key)),
            None => Ok(()),
        }
    }

    /// Parses a configuration. `path` appears in error messages and is kept for reloads.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON of the expected structure, or if a value is invalid.
    pub fn parse(text: &str, path: PathBuf) -> Result<Config, ConfigError> {
        let not_json = |error| ConfigError::NotJson(path.clone(), error);
        let mut file: File = serde_json::from_str(text).map_err(not_json)?;
        let keys = key_paths(&serde_json::from_str(text).map_err(not_json)?);
        if file.settings.limits.max_open == 0 {
            file.settings.limits.max_open = usize::MAX;
        }
        let cursor = file.known.cursor;
        let known_events = std::mem::take(&mut file.known).into_commands(&file.settings)?;
        file.settings.check()?;
        check_rate("flow_bytes_per_s", file.flow_bytes_per_s)?;
        check_rate("link_bytes_per_s", file.link_bytes_per_s)?;
        Ok(Config {
            listen: parse_address("listen", file.listen)?,
            management: match file.management {
                none if none.is_empty() => None,
                address => Some(parse_address("management", address)?),
            },
            folder: None,
            seed: parse_seed(file.seed)?,
            path,
            limits: file.limits,
            channel: parse_address("channel", file.channel)?,
            cursor,
            known_events,
            local_cache_link: (file.flow_bytes_per_s, file.link_bytes_per_s),
            peering: parse_peering(file.peer_listen, file.peers, &file.settings)?,
            name: file.name,
            settings: file.settings,
            keys,
        })
    }
}

fn check_rate(key: &'static str, bytes_per_s: f64) -> Result<(), ConfigError> {
    if bytes_per_s < 0.0 {
        return Err(ConfigError::value(key, format!("{bytes_per_s} (0 or above)")));
    }
    Ok(())
}

fn parse_seed(text: String) -> Result<u64, ConfigError> {
    u64::from_str_radix(&text, SEED_RADIX).map_err(|_| ConfigError::value("seed", text))
}

fn parse_address(key: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::value(key, text))
}

/// Parses the gossip settings; `None` if there are no peers or the settings disable gossip.
fn parse_peering(
    listen: String,
    peers: Vec<String>,
    settings: &Document,
) -> Result<Option<Peering>, ConfigError> {
    let peer_count = peers.len();
    if peer_count < 2 || listen.is_empty() || !settings.limits.may_tell {
        return Ok(None);
    }
    if peer_count > MAX_PEERS {
        let problem = format!("{peer_count} entries ({MAX_PEERS} at most)");
        return Err(ConfigError::value("peers", problem));
    }
    if settings.slot_no >= peer_count {
        let problem = format!("{} (there are {peer_count} peers)", settings.slot_no);
        return Err(ConfigError::value("settings.slot-no", problem));
    }
    let mut members = Vec::with_capacity(peer_count);
    for peer in peers {
        members.push(parse_address("peers", peer)?);
    }
    if let Some(duplicate) = first_duplicate(&members) {
        return Err(ConfigError::value("peers", format!("{duplicate} (there twice)")));
    }
    let datagrams_per_s = settings.limits.peer_datagrams_per_s.unwrap_or(DEFAULT_PEER_DATAGRAMS_PER_S);
    let listen = parse_address("peer_listen", listen)?;
    Ok(Some(Peering { me: settings.slot_no as u16, listen, members, datagrams_per_s }))
}

fn first_duplicate(addresses: &[SocketAddr]) -> Option<SocketAddr> {
    let mut seen = BTreeSet::new();
    addresses.iter().copied().find(|address| !seen.insert(*address))
}
