//! The source of a configuration: the hosting platform's JSON file, or TOML, environment and command line.
use std::path::PathBuf;

use super::{ConfigError, LoadedConfig, platform};

/// Environment variable that contains the path of the hosting platform's JSON configuration file.
const PLATFORM_CONFIG_ENV_VAR: &str = "EDGE_CONFIG";

/// Source of the configuration. The scheduler reads the source at the start and again on SIGHUP.
#[derive(Clone, Debug)]
pub(crate) enum ConfigSource {
    /// The hosting platform's JSON file, given by its path.
    Platform(PathBuf),
    /// The configuration layers of a standalone installation: the built-in default, a TOML file, environment
    /// variables and the command line. Each layer overrides the layers before it.
    #[cfg(feature = "standalone")]
    Layers {
        /// Path of the TOML file, if there is one.
        file: Option<PathBuf>,
        /// `key=value` pairs from the command line, which override the environment, the TOML file and the
        /// built-in default.
        overrides: Vec<String>,
        /// Random seed of the dispatch policy that is used if the configuration sets no seed.
        default_seed: u64,
    },
}

impl ConfigSource {
    /// Returns the hosting platform's JSON file as the source if the environment variable EDGE_CONFIG
    /// contains its path, otherwise `None`.
    pub(crate) fn from_environment() -> Option<ConfigSource> {
        std::env::var_os(PLATFORM_CONFIG_ENV_VAR).map(|path| ConfigSource::Platform(path.into()))
    }

    /// Returns whether the source has a file that can still be valid after it was truncated, so that a partly
    /// written file may go unnoticed. This holds for TOML, but not for JSON, whose object must be closed.
    pub(crate) fn may_be_valid_when_truncated(&self) -> bool {
        match self {
            ConfigSource::Platform(_) => false,
            #[cfg(feature = "standalone")]
            ConfigSource::Layers { file, .. } => file.is_some(),
        }
    }

    /// Returns the current content of the JSON or TOML file. The content is empty if the source has no file
    /// or the file cannot be read.
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
