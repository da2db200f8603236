//! The source that a configuration is read from.
use std::path::PathBuf;

use super::{ConfigError, LoadedConfig, platform};

/// Environment variable that names the platform's configuration file.
const PLATFORM_CONFIG_ENV_VAR: &str = "EDGE_CONFIG";

/// Source of the configuration, read at the start and again on SIGHUP.
#[derive(Clone, Debug)]
pub(crate) enum ConfigSource {
    /// The platform's JSON file.
    Platform(PathBuf),
    /// The layers of a standalone installation, over the built-in default.
    #[cfg(feature = "standalone")]
    Layers {
        /// Path of the TOML file, if there is one.
        file: Option<PathBuf>,
        /// `key=value` pairs from the command line, which override all other layers.
        overrides: Vec<String>,
        /// Random seed of the dispatch policy, used if no layer sets one.
        default_seed: u64,
    },
}

impl ConfigSource {
    /// Returns the platform's file if the environment names one.
    pub(crate) fn from_environment() -> Option<ConfigSource> {
        std::env::var_os(PLATFORM_CONFIG_ENV_VAR).map(|path| ConfigSource::Platform(path.into()))
    }

    /// Returns whether a truncated file may be a valid configuration. A truncated JSON object never is.
    pub(crate) fn may_be_valid_when_truncated(&self) -> bool {
        match self {
            ConfigSource::Platform(_) => false,
            #[cfg(feature = "standalone")]
            ConfigSource::Layers { file, .. } => file.is_some(),
        }
    }

    /// Returns the current content of the file; empty if there is no file or it cannot be read.
    pub(crate) fn content(&self) -> Vec<u8> {
        let path = match self {
            ConfigSource::Platform(path) => Some(path),
            #[cfg(feature = "standalone")]
            ConfigSource::Layers { file, .. } => file.as_ref(),
        };
        path.and_then(|path| std::fs::read(path).ok()).unwrap_or_default()
    }

    /// Reads the current configuration.
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
