//! The platform's configuration: one JSON file.
use std::path::Path;

use copperspread_settings::{StartupConfig, platform};

use super::{ConfigError, LoadedConfig};
use crate::logging::LogConfig;

/// Reads the platform's file. It configures neither log, event log nor membership.
///
/// # Errors
/// As [`read_startup_config`].
pub(super) fn load(path: &Path) -> Result<LoadedConfig, ConfigError> {
    Ok(LoadedConfig {
        startup: read_startup_config(path)?,
        log: LogConfig::default(),
        event_log: None,
        #[cfg(feature = "standalone")]
        membership: None,
    })
}

/// Reads the part of the platform's file that describes the scheduler.
///
/// # Errors
/// A file that cannot be read, or the first fault in it.
pub(crate) fn read_startup_config(path: &Path) -> Result<StartupConfig, ConfigError> {
    let content = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })?;
    platform::read_startup_config(&content)
        .map_err(|error| ConfigError::InvalidPlatformConfig { path: path.to_owned(), source: error.into() })
}
