//! The product's own settings, which operators set in a script in addition to the platform's configuration.
//!
//! The script (Starlark, [`script`]) runs once and calls one function for each feature that it configures. The
//! arguments of each call are checked here and converted to typed values. A script with any error is rejected as a
//! whole.

pub mod arguments;
mod describe;
mod fleet_calls;
mod registry;
pub mod script;
#[cfg(test)]
mod tests;

pub use self::describe::describe;
pub use self::registry::RegistrySettings;

use self::arguments::{Arguments, CallError};

const MICROS_PER_MS: u64 = 1_000;

/// The settings of a script.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Product {
    /// Key-value registry that supplies the endpoint list, if configured.
    pub registry: Option<RegistrySettings>,
    /// Log format, if the script sets one.
    pub log: Option<LogFormat>,
    /// Settings of the failover of whole sites, if enabled.
    pub site_plan: Option<crate::failover::Settings>,
    /// Settings of sharded object placement, if enabled.
    pub shards: Option<crate::placement::Settings>,
    /// Windows and blackouts that limit when shards may move.
    pub calendar: crate::placement::quiet::Calendar,
    /// Settings of the purge log in a registry, if enabled.
    pub purge_log: Option<crate::purges::log::Settings>,
    /// Settings of the growth measurement and forecast of shards, if enabled.
    pub growth: Option<crate::growth::Settings>,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl LogFormat {
    /// Returns the format with this name; `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "text" => Some(LogFormat::Text),
            "json" => Some(LogFormat::Json),
            _ => None,
        }
    }
}

impl Product {
    /// Applies one call of a script.
    ///
    /// # Errors
    ///
    /// Fails if an argument is invalid, or if a call that may occur only once is repeated.
    fn apply_call(&mut self, name: &str, arguments: Arguments) -> Result<(), CallError> {
        let is_repeated = match name {
            "registry" => self.registry.replace(RegistrySettings::from_arguments(arguments)?).is_some(),
            "site_plan" => self.site_plan.replace(fleet_calls::site_plan(arguments)?).is_some(),
            "shards" => self.shards.replace(fleet_calls::shards(arguments)?).is_some(),
            "growth" => self.growth.replace(fleet_calls::growth(arguments)?).is_some(),
            "purge_log" => self.purge_log.replace(fleet_calls::purge_log(arguments)?).is_some(),
            "quiet" => return fleet_calls::quiet(arguments, &mut self.calendar),
            "blackout" => return fleet_calls::blackout(arguments, &mut self.calendar),
            _ => self.log.replace(log_format(arguments)?).is_some(),
        };
        if is_repeated {
            return Err(CallError::whole(format!("{name}() is called twice"), "remove one of the calls"));
        }
        Ok(())
    }
}

/// Parses and checks the argument of `log(...)`.
fn log_format(mut arguments: Arguments) -> Result<LogFormat, CallError> {
    let parse = |text: &str| {
        LogFormat::from_name(text).ok_or_else(|| format!("'{text}' is neither \"text\" nor \"json\""))
    };
    let form = arguments.text("form", parse)?;
    arguments.finish()?;
    Arguments::required("log", "form", form)
}
