//! The lines that the `registry` commands print.

use crate::registry::messages::KeyValue;
use crate::registry::record::{State, StoredRecord};

/// Returns the name of a state as written in records.
pub(super) fn state_name(state: State) -> &'static str {
    match state {
        State::Ready => "ready",
        State::Draining => "draining",
    }
}

/// Returns the endpoint id in a key, which is the part after the prefix.
pub(super) fn id_text(prefix: &str, key: &[u8]) -> String {
    String::from_utf8_lossy(key).trim_start_matches(prefix).to_owned()
}

/// Returns the output line of an endpoint with its record.
pub(super) fn endpoint_line(prefix: &str, kv: &KeyValue) -> String {
    let (id, revision) = (id_text(prefix, &kv.key), kv.mod_revision);
    let record = match serde_json::from_slice::<StoredRecord>(&kv.value) {
        Ok(record) => record,
        Err(error) => return format!("{id:<24} unreadable at revision {revision}: {error}"),
    };
    let state = state_name(record.state);
    let StoredRecord { address, kind, zone, cell, weight, .. } = record;
    format!(
        "{id:<24} {state:<9} {address:<21} {kind:<12} {zone:<10} cell {cell} weight {weight} revision {revision}"
    )
}
