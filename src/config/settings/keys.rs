//! The set of keys in a configuration file, by which a reload detects a missing key.

use serde_json::Value;
use std::collections::BTreeSet;

/// The key whose value holds past events. Their keys are ignored, because they differ from file to file.
const KNOWN_EVENTS: &str = "known";

/// Keys that a configuration may omit, whether earlier ones had them or not.
const OPTIONAL_KEYS: [&str; 1] = ["settings.classes[].aim-stretch"];

/// Returns whether a configuration may omit the key with this path.
pub fn is_optional(path: &str) -> bool {
    OPTIONAL_KEYS.contains(&path)
}

/// Returns the paths of all keys in a configuration except those inside past events. For a list, only the keys that all
/// its entries share are included.
pub fn key_paths(file: &Value) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    collect_key_paths(file, "", &mut paths);
    paths
}

fn collect_key_paths(value: &Value, parent: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, inner) in fields {
                let path = if parent.is_empty() { name.clone() } else { format!("{parent}.{name}") };
                if path != KNOWN_EVENTS {
                    collect_key_paths(inner, &path, paths);
                }
                paths.insert(path);
            }
        }
        Value::Array(entries) => {
            let paths_of_each = entries.iter().map(|entry| {
                let mut paths_of_entry = BTreeSet::new();
                collect_key_paths(entry, &format!("{parent}[]"), &mut paths_of_entry);
                paths_of_entry
            });
            paths.extend(paths_of_each.reduce(|common, next| &common & &next).unwrap_or_default());
        }
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => {}
    }
}
