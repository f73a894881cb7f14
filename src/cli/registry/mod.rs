//! The `registry` commands, which show, watch and change the endpoint list in the registry.
//!
//! Each command uses a connection of its own. A change is committed only if the record is unchanged since it was read,
//! so that two operators, or an operator and an endpoint, can't overwrite each other's changes.

mod commands;
mod output;

use super::registry_client::{Client, Target};
use super::{exit_code, fail};
use crate::config::product::{script, RegistrySettings as Settings};
use clap::{Args, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args, Debug)]
pub(super) struct Options {
    /// The settings script that names the registry.
    #[arg(long, env = "LARCHDALE_PRODUCT", value_name = "FILE", global = true)]
    product: Option<PathBuf>,
    /// Address of a registry member; overrides the endpoints of the script.
    #[arg(long, value_name = "ADDRESS", global = true)]
    endpoint: Option<SocketAddr>,
    /// Prefix of the keys; overrides that of the script.
    #[arg(long, value_name = "PREFIX", global = true)]
    prefix: Option<String>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// List the endpoints.
    Ls,
    /// Print changes to the list as they are committed.
    Watch {
        /// Exit after this number of changes.
        #[arg(long)]
        count: Option<usize>,
    },
    /// Add an endpoint or replace its record.
    Put(PutOptions),
    /// Drain an endpoint: it finishes its requests and gets no new ones.
    Drain {
        /// Id of the endpoint.
        id: String,
    },
    /// Make a draining endpoint receive new requests again.
    Ready {
        /// Id of the endpoint.
        id: String,
    },
    /// Remove an endpoint from the list.
    Remove {
        /// Id of the endpoint.
        id: String,
    },
}

#[derive(Args, Debug)]
struct PutOptions {
    /// Id of the endpoint.
    id: String,
    /// Address on which the endpoint listens.
    #[arg(long)]
    address: SocketAddr,
    /// Kind of the endpoint, as named in the settings.
    #[arg(long)]
    kind: String,
    /// Zone of the endpoint, as named in the settings.
    #[arg(long)]
    zone: String,
    /// Cell of the endpoint.
    #[arg(long, default_value_t = 0)]
    cell: u32,
    /// Weight of the endpoint.
    #[arg(long, default_value_t = 1.0)]
    weight: f64,
    /// Start time of the endpoint, in milliseconds since the Unix epoch.
    #[arg(long, default_value_t = 0)]
    started_ms: u64,
    /// Attach the record to a new lease of this many seconds; the record is deleted when the lease expires.
    #[arg(long, value_name = "SECONDS")]
    lease: Option<i64>,
}

/// Runs a `registry` command.
pub(super) fn run(options: Options) -> ExitCode {
    let settings = match options.product.as_deref().map(script::read).transpose() {
        Ok(product) => product.and_then(|product| product.registry),
        Err(error) => return fail(&error.to_string()),
    };
    let max_message_bytes = settings.as_ref().map_or_else(
        || Settings::new(Vec::new(), "").max_message_bytes,
        |settings| settings.max_message_bytes,
    );
    let configured =
        settings.map(|settings| Target { endpoints: settings.endpoints, prefix: settings.prefix });
    let Some(target) = Target::choose(options.endpoint, options.prefix, configured) else {
        return fail("which registry? Name --product FILE, or --endpoint ADDRESS and --prefix PREFIX");
    };
    exit_code(
        Client::connect(&target.endpoints, max_message_bytes)
            .and_then(|mut client| commands::run(&mut client, &target.prefix, options.command)),
    )
}
