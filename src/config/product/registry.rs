//! The script call `registry(...)`: the endpoints of the key-value registry and how the instance follows it.

use super::arguments::{Arguments, CallError};
use super::MICROS_PER_MS;
use crate::routing::events::Micros;
use std::net::SocketAddr;
use std::path::PathBuf;

const MAX_PREFIX_BYTES: usize = 512;

/// Endpoints of the registry, its limits and its time limits. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// Addresses of the registry's members.
    pub endpoints: Vec<SocketAddr>,
    /// Prefix of the keys of endpoint records; ends with `/`.
    pub prefix: String,
    /// Number of keys requested in one page of a list.
    pub page_size: usize,
    /// Maximum number of keys below the prefix; if there are more, the last good list is kept.
    pub max_keys: usize,
    /// Maximum size of a record in bytes; a larger record counts as unreadable.
    pub max_value_bytes: usize,
    /// Maximum size of one answer in bytes.
    pub max_message_bytes: usize,
    /// Time limit for establishing a connection.
    pub dial_timeout: Micros,
    /// Time limit for the answer to a call.
    pub answer_timeout: Micros,
    /// Interval between checks that the registry still answers and that no change was missed.
    pub check_interval: Micros,
    /// Time without an answer to a check after which the connection counts as silent.
    pub check_timeout: Micros,
    /// Time over which instances that lose the registry simultaneously spread their first reconnection attempts.
    pub retry_spread: Micros,
    /// Maximum pause between two connection attempts.
    pub max_retry_pause: Micros,
    /// Time for which the registry's revision must stay behind before it counts as restored from a backup.
    pub restore_confirmation: Micros,
    /// Folder in which the endpoint list is stored on disk, if set.
    pub snapshot: Option<PathBuf>,
}

impl RegistrySettings {
    /// Creates settings with these endpoints and this prefix, and defaults for everything else.
    pub fn new(endpoints: Vec<SocketAddr>, prefix: &str) -> Self {
        RegistrySettings {
            endpoints,
            prefix: prefix.to_owned(),
            page_size: 500,
            max_keys: 20_000,
            max_value_bytes: 4_096,
            max_message_bytes: 2 << 20,
            dial_timeout: 400 * MICROS_PER_MS,
            answer_timeout: 600 * MICROS_PER_MS,
            check_interval: 250 * MICROS_PER_MS,
            check_timeout: 600 * MICROS_PER_MS,
            retry_spread: 1_000 * MICROS_PER_MS,
            max_retry_pause: 3_000 * MICROS_PER_MS,
            restore_confirmation: 10_000 * MICROS_PER_MS,
            snapshot: None,
        }
    }

    /// Parses and checks the arguments of `registry(...)`.
    pub(super) fn from_arguments(mut arguments: Arguments) -> Result<Self, CallError> {
        let endpoints = arguments.list("endpoints", 1..=16, parse_endpoint)?;
        let prefix = arguments.text("prefix", parse_prefix)?;
        let mut registry = RegistrySettings::new(Vec::new(), "");
        let ms = |number: u64| number * MICROS_PER_MS;
        arguments.number("page", 1..=5_000, |number| registry.page_size = number as usize)?;
        arguments.number("most_keys", 1..=60_000, |number| registry.max_keys = number as usize)?;
        arguments
            .number("most_value_bytes", 64..=65_536, |number| registry.max_value_bytes = number as usize)?;
        arguments.number("most_message_bytes", 65_536..=16 << 20, |number| {
            registry.max_message_bytes = number as usize
        })?;
        arguments.number("dial_ms", 10..=10_000, |number| registry.dial_timeout = ms(number))?;
        arguments.number("answer_ms", 10..=30_000, |number| registry.answer_timeout = ms(number))?;
        arguments.number("check_ms", 20..=60_000, |number| registry.check_interval = ms(number))?;
        arguments.number("silence_ms", 20..=60_000, |number| registry.check_timeout = ms(number))?;
        arguments.number("spread_ms", 0..=60_000, |number| registry.retry_spread = ms(number))?;
        arguments.number("longest_pause_ms", 50..=600_000, |number| registry.max_retry_pause = ms(number))?;
        arguments.number("restored_ms", 0..=600_000, |number| registry.restore_confirmation = ms(number))?;
        registry.snapshot = arguments.text("snapshot", |text| Ok(PathBuf::from(text)))?;
        arguments.finish()?;
        registry.endpoints = Arguments::required("registry", "endpoints", endpoints)?;
        registry.prefix = Arguments::required("registry", "prefix", prefix)?;
        Ok(registry)
    }
}

pub(super) fn parse_endpoint(text: &str) -> Result<SocketAddr, String> {
    if text.starts_with("https://") {
        return Err(format!(
            "'{text}' requests TLS, which is not supported; use the registry's plaintext port"
        ));
    }
    let plain = text.strip_prefix("http://").unwrap_or(text);
    plain.parse().map_err(|_| {
        format!("'{text}' is not an address; write it as \"10.0.0.1:2379\" (host names are not resolved)")
    })
}

pub(super) fn parse_prefix(text: &str) -> Result<String, String> {
    if text.len() > MAX_PREFIX_BYTES {
        return Err(format!("is longer than {MAX_PREFIX_BYTES} bytes"));
    }
    if !text.starts_with('/') || !text.ends_with('/') || text.len() < 2 {
        return Err(format!("'{text}' must begin and end with '/', as in \"/larchdale/depots/\""));
    }
    Ok(text.to_owned())
}
