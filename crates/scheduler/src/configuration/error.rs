//! Errors when reading a configuration.
use std::error::Error;
use std::path::PathBuf;

/// Error when reading a configuration. The message says where in the configuration each fault is, and may
/// have several lines.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum ConfigError {
    /// The hosting platform's JSON file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Path of the JSON file that cannot be read.
        path: PathBuf,
        /// The operating system's reason why the JSON file cannot be read.
        source: std::io::Error,
    },
    /// The hosting platform's JSON file does not contain a valid configuration.
    #[error("{}: {source}", path.display())]
    InvalidPlatformConfig {
        /// Path of the JSON file that is not valid.
        path: PathBuf,
        /// The first fault that was found in the JSON file.
        source: Box<dyn Error + Send + Sync>,
    },
    /// A standalone installation's configuration is not valid. The TOML file cannot be read, or an invalid
    /// value is set in the TOML file, the environment or the command line. The message lists several faults
    /// one per line.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    InvalidLayers(#[from] copperspread_config::InvalidConfig),
    /// The configuration's `log.level` is not a valid list of log levels.
    #[cfg(feature = "standalone")]
    #[error("{origin}: log.level: {source}")]
    InvalidLogLevel {
        /// Where the invalid `log.level` is set: the name of the TOML file, an environment variable or `flag
        /// --set`.
        origin: String,
        /// The reason why `log.level` is not a valid list of log levels.
        source: crate::logging::LevelError,
    },
    /// Each value of the configuration is valid, but no scheduler can be started with their combination.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    Unusable(Box<dyn Error + Send + Sync>),
}
