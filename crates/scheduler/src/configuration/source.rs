//! The place of a configuration.
use std::path::PathBuf;

use super::{ConfigError, LoadedConfig, platform};

/// The environment variable that names the platform's configuration file.
const PLATFORM_CONFIG_VARIABLE: &str = "EDGE_CONFIG";

/// Where a configuration is read, at the start and again on SIGHUP.
#[derive(Clone, Debug)]
pub(crate) enum ConfigSource {
    /// The platform's JSON file.
    Platform(PathBuf),
    /// Layers over the built-in default.
    #[cfg(feature = "standalone")]
    Layers {
        /// The TOML file among them.
        file: Option<PathBuf>,
        /// `key=value` from the command line, over all other layers.
        overrides: Vec<String>,
        /// The random seed where no layer sets one.
        default_seed: u64,
    },
}

impl ConfigSource {
    /// The file that the platform names in the environment.
    pub(crate) fn from_environment() -> Option<ConfigSource> {
        std::env::var_os(PLATFORM_CONFIG_VARIABLE).map(|path| ConfigSource::Platform(path.into()))
    }

    /// Whether a file that is cut short may be a valid configuration by itself. A JSON object never is.
    pub(crate) fn may_be_valid_when_truncated(&self) -> bool {
        match self {
            ConfigSource::Platform(_) => false,
            #[cfg(feature = "standalone")]
            ConfigSource::Layers { file, .. } => file.is_some(),
        }
    }

    /// The file's content as it is now; empty where there is none, or where it cannot be read.
    pub(crate) fn content(&self) -> Vec<u8> {
        let path = match self {
            ConfigSource::Platform(path) => Some(path),
            #[cfg(feature = "standalone")]
            ConfigSource::Layers { file, .. } => file.as_ref(),
        };
        path.and_then(|path| std::fs::read(path).ok()).unwrap_or_default()
    }

    /// Reads the configuration as it is now.
    ///
    /// # Errors
    /// What is wrong with it.
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
