//! The running configuration, and its reload on SIGHUP. A file that is invalid changes nothing; a file that
//! can't be opened because descriptors ran out is read again a moment later.

use super::staleness::delivery_settings;
use super::timers::TimerEvent;
use super::Proxy;
use crate::config::platform::{Config, ConfigError, Limits};
use crate::config::product::script::{self, ScriptError};
use crate::config::product::Product;
use crate::lifecycle::startup::Retries;
use crate::net::accept::is_out_of_descriptors;
use crate::net::bounds::Bounds;
use crate::net::startup;
use crate::routing::events::{Event, Micros};
use rustix::process::{getrlimit, Resource};
use slog::{info, warn};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Idle time after which upstream connections are closed, in tenths of the time after which endpoints close
/// them, so that a command does not cross their close.
const UPSTREAM_IDLE_TENTHS: u64 = 9;

/// Returns the maximum number of descriptors of this process.
pub(super) fn max_descriptors() -> usize {
    getrlimit(Resource::Nofile).current.map_or(usize::MAX, |count| count as usize)
}

/// Configuration of the process, apart from the settings that it shares with the router.
pub(super) struct Configuration {
    pub(super) listen: SocketAddr,
    pub(super) path: PathBuf,
    /// Path of the product's settings, if there are any.
    pub(super) product_path: Option<PathBuf>,
    /// All keys in the configuration file.
    keys: BTreeSet<String>,
    pub(super) limits: Limits,
    /// Rates of the local cache in bytes per second: of one transfer, and of all transfers together.
    pub(super) local_cache_link: (f64, f64),
    /// Retries of a reload whose file could not be opened yet.
    reload_retries: Option<Retries>,
    /// Time of the signal for the last reload, or a little earlier.
    reload_signalled_at: Micros,
}

impl Configuration {
    pub(super) fn new(config: &Config, product_path: Option<PathBuf>) -> Self {
        Configuration {
            listen: config.listen,
            path: config.path.clone(),
            product_path,
            keys: config.keys.clone(),
            limits: config.limits,
            local_cache_link: config.local_cache_link,
            reload_retries: None,
            reload_signalled_at: 0,
        }
    }
}

/// Reason why a reload failed.
enum ReloadFailure {
    /// The file could not be opened.
    Unreadable(io::Error, &'static str, String),
    /// The content is invalid.
    Unusable(&'static str, String),
}

impl Proxy {
    /// Starts a reload of the configuration after SIGHUP.
    pub(super) fn reload(&mut self) {
        self.configuration.reload_retries = Some(Retries::new(self.now));
        self.configuration.reload_signalled_at = self.polled_before;
        self.discovery.delivery.reloaded(self.polled_before);
        self.read_configuration();
    }

    /// Retries a reload whose file could not be opened. The timer may belong to an earlier signal whose
    /// reload has been completed by a later one; it then does nothing.
    pub(super) fn retry_reload(&mut self) {
        if self.configuration.reload_retries.is_some() {
            self.read_configuration();
        }
    }

    /// Schedules a retry if the error may be temporary; returns whether it did.
    fn schedules_retry(&mut self, error: &io::Error) -> bool {
        let cause = startup::cause(error);
        let retries = self.configuration.reload_retries.as_mut();
        let pause = retries.and_then(|retries| retries.failed(self.now, cause));
        if is_out_of_descriptors(error) {
            self.free_descriptor();
        }
        if let Some(pause) = pause {
            warn!(self.log, "new configuration can't be read yet"; "error" => %error);
            self.timers.set(self.now + pause, TimerEvent::ReloadRetry);
        }
        pause.is_some()
    }

    /// Reads and applies the configuration file; if it can't be used, nothing changes.
    fn read_configuration(&mut self) {
        let (new, product) = match self.read_files() {
            Ok(files) => files,
            Err(ReloadFailure::Unreadable(error, ..)) if self.schedules_retry(&error) => return,
            Err(ReloadFailure::Unreadable(_, what, error) | ReloadFailure::Unusable(what, error)) => {
                self.configuration.reload_retries = None;
                self.admin_metrics.reloads[1] += 1;
                return warn!(self.log, "{}", what; "error" => error);
            }
        };
        self.configuration.reload_retries = None;
        let fixed = [("name", new.name == self.name), ("listen", new.listen == self.configuration.listen)];
        for (what, _) in fixed.iter().filter(|(_, is_same)| !is_same) {
            warn!(self.log, "setting change requires a restart"; "what" => what);
        }
        info!(self.log, "configuration reloaded"; "channel" => %new.channel,
              "classes" => ?new.settings.classes.iter().map(|class| &class.name).collect::<Vec<_>>());
        self.admin_metrics.reloads[0] += 1;
        self.apply_configuration(new);
        if let Some(product) = product {
            self.reload_fleet(&product);
            self.reconfigure_registry(product.registry.as_ref());
        }
    }

    /// Reads both files completely before anything is changed.
    fn read_files(&self) -> Result<(Config, Option<Product>), ReloadFailure> {
        let not_used = "new configuration not used";
        let read = Config::read(self.configuration.path.clone()).and_then(|new| {
            new.check_reload(&self.settings, &self.configuration.keys)?;
            Ok(new)
        });
        let new = read.map_err(|error| {
            let text = error.to_string();
            match error {
                ConfigError::Unreadable(_, error) => ReloadFailure::Unreadable(error, not_used, text),
                _ => ReloadFailure::Unusable(not_used, text),
            }
        })?;
        let not_used = "new settings not used";
        let product = self.configuration.product_path.as_deref().map(script::read).transpose();
        let product = product.map_err(|error| {
            let text = error.to_string();
            match error {
                ScriptError::Unreadable(_, error) => ReloadFailure::Unreadable(error, not_used, text),
                _ => ReloadFailure::Unusable(not_used, text),
            }
        })?;
        Ok((new, product))
    }

    fn apply_configuration(&mut self, new: Config) {
        self.configuration.limits = new.limits;
        self.configuration.local_cache_link = new.local_cache_link;
        self.configuration.keys = new.keys;
        if new.settings != self.settings {
            self.settings = new.settings;
            self.discovery.delivery.set_settings(delivery_settings(&self.settings));
            self.adopt_classes();
            self.announce_settings();
        }
        self.apply_limits();
        if new.channel != self.discovery.command_channel.address() {
            self.discovery.command_channel.change_address(new.channel);
            self.discovery.delivery.reloaded(self.configuration.reload_signalled_at);
            self.run_command_channel();
        }
    }

    /// Queues the current settings for the router, adjusted to the number of processes.
    pub(super) fn announce_settings(&mut self) {
        let settings = self.classes.for_router(&self.settings, self.has_other_process());
        self.events.push_back(Event::Settings(Box::new(settings)));
    }

    /// Assigns numbers and counters to the classes of the settings.
    pub(super) fn adopt_classes(&mut self) {
        self.classes.apply(self.now, &self.settings);
        self.request_limits.apply(self.now, &self.settings);
        for class in &self.settings.classes {
            self.admin_metrics.class(&class.name);
        }
    }

    /// Recomputes the bounds from the limits and settings. If the process may open fewer descriptors than are
    /// configured, the lower number applies.
    pub(super) fn apply_limits(&mut self) {
        let mut limits = self.configuration.limits;
        let processes = 1 + usize::from(self.has_other_process());
        limits.sockets = limits.sockets.min(max_descriptors().saturating_mul(processes));
        self.bounds = Bounds::from_limits(&limits, self.admin.is_some(), self.has_other_process());
        self.memory.set_limit(self.bounds.buffers);
        self.limit_local_cache();
        let settings = &self.settings.limits;
        let idle_timeout = settings.conn_idle_us / 10 * UPSTREAM_IDLE_TENTHS;
        self.pool.reconfigure(settings.multiplex, self.bounds.upstream, idle_timeout);
    }
}
