//! The hosting platform's configuration, a single JSON file.
use std::path::Path;

use copperspread_settings::{StartupConfig, platform};

use super::{ConfigError, LoadedConfig};
use crate::logging::LogConfig;

/// Reads the configuration from the hosting platform's JSON file. The file does not configure the log, the
/// event log or membership. The log therefore gets its default settings, and the event log and membership are
/// off.
///
/// # Errors
/// Fails if the file cannot be read or is not valid. The message names the first fault.
pub(super) fn load(path: &Path) -> Result<LoadedConfig, ConfigError> {
    Ok(LoadedConfig {
        startup: read_startup_config(path)?,
        log: LogConfig::default(),
        event_log: None,
        #[cfg(feature = "standalone")]
        membership: None,
    })
}

/// Reads the settings with which the scheduler is started from the hosting platform's JSON file.
///
/// # Errors
/// Fails if the file cannot be read or is not valid. The message names the first fault.
pub(crate) fn read_startup_config(path: &Path) -> Result<StartupConfig, ConfigError> {
    let content = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })?;
    platform::read_startup_config(&content)
        .map_err(|error| ConfigError::InvalidPlatformConfig { path: path.to_owned(), source: error.into() })
}
