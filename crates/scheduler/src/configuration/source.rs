//! The place that a configuration is read from: the hosting platform's JSON file, or the layers of a
//! standalone installation.
use std::path::PathBuf;

use super::{ConfigError, LoadedConfig, platform};

/// The environment variable that contains the path of the hosting platform's JSON configuration file.
const PLATFORM_CONFIG_ENV_VAR: &str = "EDGE_CONFIG";

/// The place that the configuration is read from, at the start of the scheduler and again on SIGHUP.
#[derive(Clone, Debug)]
pub(crate) enum ConfigSource {
    /// The hosting platform's JSON file, given by its path.
    Platform(PathBuf),
    /// The configuration layers of a standalone installation: the built-in default, a TOML file, environment
    /// variables and the command line. Each layer overrides the layers before it.
    #[cfg(feature = "standalone")]
    Layers {
        /// Path of the TOML file; `None` if no file is given.
        file: Option<PathBuf>,
        /// `key=value` pairs from the command line, which override the environment, the TOML file and the
        /// built-in default.
        overrides: Vec<String>,
        /// Random seed for the dispatch policy if the configuration sets none.
        default_seed: u64,
    },
}

impl ConfigSource {
    /// Returns the hosting platform's JSON file as the source if the environment variable EDGE_CONFIG
    /// contains its path. Returns `None` if the variable is not set.
    pub(crate) fn from_environment() -> Option<ConfigSource> {
        std::env::var_os(PLATFORM_CONFIG_ENV_VAR).map(|path| ConfigSource::Platform(path.into()))
    }

    /// Whether the first part of the source's file can be a valid configuration by itself. A TOML file can,
    /// so a partly written TOML file may go unnoticed. A JSON file cannot, because its object must be closed.
    pub(crate) fn may_be_valid_when_truncated(&self) -> bool {
        match self {
            ConfigSource::Platform(_) => false,
            #[cfg(feature = "standalone")]
            ConfigSource::Layers { file, .. } => file.is_some(),
        }
    }

    /// Returns the current content of the source's JSON or TOML file. Returns an empty content if the source
    /// has no file or the file cannot be read.
    pub(crate) fn content(&self) -> Vec<u8> {
        let path = match self {
            ConfigSource::Platform(path) => Some(path),
            #[cfg(feature = "standalone")]
            ConfigSource::Layers { file, .. } => file.as_ref(),
        };
        path.and_then(|path| std::fs::read(path).ok()).unwrap_or_default()
    }

    /// Reads and checks the current configuration.
    ///
    /// # Errors
    /// Fails if the configuration cannot be read or is not valid.
    pub(crate) fn load(&self) -> Result<LoadedConfig, ConfigError> {
        match self {
            ConfigSource::Platform(path) => platform::load(path),
            #[cfg(feature = "standalone")]
            ConfigSource::Layers { file, overrides, default_seed } => {
                super::layers::load(file.as_deref(), overrides, *default_seed)
            }
        }
    }
}
