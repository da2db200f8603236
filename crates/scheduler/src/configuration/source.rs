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

    /// The content of a file that its writer may replace piece by piece. `None` where there is no such file:
    /// the platform replaces its own atomically.
    pub(crate) fn content_while_written(&self) -> Option<Vec<u8>> {
        match self {
            ConfigSource::Platform(_) => None,
            #[cfg(feature = "standalone")]
            ConfigSource::Layers { file, .. } => {
                file.as_ref().map(|path| std::fs::read(path).unwrap_or_default())
            }
        }
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
