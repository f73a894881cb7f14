//! The `purge` command, which appends an entry to the purge log.

use super::error::CommandError;
use super::registry_client::{Client, Target};
use super::{exit_code, fail};
use crate::config::product::{script, RegistrySettings};
use crate::purges::log::{append, Settings, HEAD, MAX_ENTRY_SCOPES};
use crate::purges::PurgeScope;
use crate::registry::messages::{request_op, PutRequest};
use clap::Args;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of attempts to append an entry when other processes append at the same time.
const MAX_ATTEMPTS: usize = 32;
/// Maximum number of hexadecimal digits in an object id.
const MAX_OBJECT_DIGITS: usize = 16;

#[derive(Args, Debug)]
pub(super) struct Options {
    /// The settings script whose purge_log() names the log.
    #[arg(long, env = "LARCHDALE_PRODUCT", value_name = "FILE")]
    product: Option<PathBuf>,
    /// Address of a registry member; overrides the endpoints of the script.
    #[arg(long, value_name = "ADDRESS")]
    endpoint: Option<SocketAddr>,
    /// Prefix of the log's keys; overrides that of the script.
    #[arg(long, value_name = "PREFIX")]
    prefix: Option<String>,
    /// Objects to purge, by ids of up to 16 hexadecimal digits.
    #[arg(value_name = "OBJECT", value_parser = parse_object)]
    objects: Vec<u64>,
    /// Number of a group of objects to purge; may be repeated.
    #[arg(long = "group", value_name = "NUMBER")]
    groups: Vec<u16>,
}

#[derive(Debug, thiserror::Error)]
#[error("'{0}' is no object: 1 to {MAX_OBJECT_DIGITS} hexadecimal digits, such as 7f3a9c21e0b4d655")]
struct InvalidObject(String);

fn parse_object(text: &str) -> Result<u64, InvalidObject> {
    let is_plain = text.len() <= MAX_OBJECT_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let object = is_plain.then(|| u64::from_str_radix(text, 16).ok()).flatten();
    object.ok_or_else(|| InvalidObject(text.to_owned()))
}

/// Runs the `purge` command.
pub(super) fn run(options: Options) -> ExitCode {
    let settings = match options.product.as_deref().map(script::read).transpose() {
        Ok(product) => product.and_then(|product| product.purge_log),
        Err(error) => return fail(&error.to_string()),
    };
    let settings_or_default = settings.clone().unwrap_or_else(|| Settings::new(Vec::new(), ""));
    let configured =
        settings.map(|settings| Target { endpoints: settings.endpoints, prefix: settings.prefix });
    let Some(target) = Target::choose(options.endpoint, options.prefix, configured) else {
        return fail(
            "which log? Name --product FILE with purge_log(), or --endpoint ADDRESS and --prefix PREFIX",
        );
    };
    let objects = options.objects.iter().map(|&object| PurgeScope::Object(object));
    let groups = options.groups.iter().map(|&group| PurgeScope::Group(u64::from(group)));
    let covers: Vec<PurgeScope> = objects.chain(groups).collect();
    if !(1..=MAX_ENTRY_SCOPES).contains(&covers.len()) {
        return fail(&format!(
            "what is purged? Name 1 to {MAX_ENTRY_SCOPES} objects and groups, not {}",
            covers.len()
        ));
    }
    let max_message_bytes = RegistrySettings::new(Vec::new(), "").max_message_bytes;
    let appended = Client::connect(&target.endpoints, max_message_bytes)
        .and_then(|mut client| append_entry(&mut client, &target.prefix, &covers));
    exit_code(appended.map(|Appended { number, revision }| {
        let within_ms = settings_or_default.max_staleness / 1000;
        println!("purge {number} is in the log at revision {revision}; it takes effect on every instance within {within_ms} ms");
    }))
}

/// An entry that was committed to the purge log.
struct Appended {
    number: u64,
    revision: i64,
}

fn append_entry(client: &mut Client, prefix: &str, covers: &[PurgeScope]) -> Result<Appended, CommandError> {
    let head_key = format!("{prefix}{HEAD}").into_bytes();
    for _ in 0..MAX_ATTEMPTS {
        let head = client.get(&head_key)?;
        // A system clock before 1970 counts as 1970. The log keeps its times monotonic in any case.
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let value = head.as_ref().map(|kv| kv.value.as_slice());
        let (entry, writes) = append(value, unix_time.as_millis() as u64, covers.to_vec())?;
        let put = |(key, value): (String, Vec<u8>)| {
            let key = format!("{prefix}{key}").into_bytes();
            request_op::Request::Put(PutRequest { key, value, lease: 0 })
        };
        let mod_revision = head.map_or(0, |kv| kv.mod_revision);
        let operations = writes.into_iter().map(put).collect();
        if let Some(revision) = client.commit(&head_key, mod_revision, operations)? {
            return Ok(Appended { number: entry.number, revision });
        }
    }
    Err(CommandError::LogContended(MAX_ATTEMPTS))
}
