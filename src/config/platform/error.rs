//! Errors of the platform's configuration file.

use crate::config::settings::InvalidSetting;
use std::path::PathBuf;
use thiserror::Error;

/// An error that makes a configuration unusable. Its message is one line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `PROXY_CONFIG` is not set.
    #[error("PROXY_CONFIG does not name a configuration file")]
    NotNamed,
    /// The configuration file can't be read.
    #[error("can't read {}: {}", .0.display(), .1)]
    Unreadable(PathBuf, std::io::Error),
    /// The file is not JSON of the expected structure.
    #[error("{} is not a configuration: {}", .0.display(), .1)]
    NotJson(PathBuf, serde_json::Error),
    /// A value is invalid.
    #[error("configuration: {0}")]
    Value(InvalidSetting),
    /// A key of the running configuration is absent from the new one.
    #[error("configuration: '{0}' is missing but set in the running one; write the complete file")]
    Missing(String),
    /// A setting has changed that can't change without a restart.
    #[error("configuration: {0} differs from the running one; restart the instance to apply it")]
    NeedsRestart(&'static str),
}

impl ConfigError {
    pub(super) fn value(key: &'static str, problem: impl Into<String>) -> Self {
        ConfigError::Value(InvalidSetting { key, problem: problem.into() })
    }
}

impl From<InvalidSetting> for ConfigError {
    fn from(invalid: InvalidSetting) -> Self {
        ConfigError::Value(invalid)
    }
}
