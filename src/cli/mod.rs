//! The command line: parses the arguments, runs the command and sets the exit code. Without arguments the instance
//! runs, which is how the platform starts it.

mod error;
mod purge;
mod registry;
mod registry_client;
mod run;

use crate::config::product::{self, script, LogFormat};
use clap::{Args, Parser, Subcommand, ValueEnum};
use error::CommandError;
use std::path::PathBuf;
use std::process::ExitCode;

/// A request router ("instance") in front of tiers of caches with one origin behind them.
#[derive(Debug, Parser)]
#[command(name = "larchdale", version, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Run,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the instance; the same as no command.
    Run(Run),
    /// Check a settings script and print its settings as JSON.
    Check {
        /// Path of the settings script.
        file: PathBuf,
    },
    /// Show and change the endpoint list in the registry.
    Registry(registry::Options),
    /// Purge objects at every instance that follows the purge log.
    Purge(purge::Options),
}

#[derive(Args, Debug, Default)]
struct Run {
    /// The product's own settings, a Starlark script.
    #[arg(long, env = "LARCHDALE_PRODUCT", value_name = "FILE")]
    product: Option<PathBuf>,
    /// Log format; overrides that of the script.
    #[arg(long, env = "LARCHDALE_LOG_FORMAT", value_name = "FORM")]
    log_format: Option<Form>,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Form {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl From<Form> for LogFormat {
    fn from(form: Form) -> Self {
        match form {
            Form::Text => LogFormat::Text,
            Form::Json => LogFormat::Json,
        }
    }
}

/// Parses the arguments and runs the command.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => run::run(cli.run),
        Some(Command::Run(options)) => run::run(options),
        Some(Command::Check { file }) => match script::read(&file) {
            Ok(product) => {
                println!("{:#}", product::describe(&product));
                ExitCode::SUCCESS
            }
            Err(error) => fail(&error.to_string()),
        },
        Some(Command::Registry(options)) => registry::run(options),
        Some(Command::Purge(options)) => purge::run(options),
    }
}

/// Exit code of a command that could not start because its arguments or its configuration are invalid.
const USAGE_EXIT_CODE: u8 = 2;

/// Prints why a command could not start and returns the exit code for it.
fn fail(message: &str) -> ExitCode {
    eprintln!("larchdale: {message}");
    ExitCode::from(USAGE_EXIT_CODE)
}

/// Returns the exit code of a command, and prints its error if it failed.
fn exit_code(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("larchdale: {error}");
            ExitCode::FAILURE
        }
    }
}
