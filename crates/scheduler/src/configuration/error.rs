//! Errors of reading a configuration.
use std::error::Error;
use std::path::PathBuf;

/// Error in a configuration. The message names the place of each fault and may have several lines.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum ConfigError {
    /// The platform's file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Path of the platform's file.
        path: PathBuf,
        /// The operating system's reason why the file cannot be read.
        source: std::io::Error,
    },
    /// The platform's file does not contain a valid configuration.
    #[error("{}: {source}", path.display())]
    InvalidPlatformConfig {
        /// Path of the platform's file.
        path: PathBuf,
        /// The first fault that the reader found in the file.
        source: Box<dyn Error + Send + Sync>,
    },
    /// The TOML file cannot be read, or the layers contain faults. Several faults are listed one per line.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    InvalidLayers(#[from] copperspread_config::InvalidConfig),
    /// `log.level` is not valid.
    #[cfg(feature = "standalone")]
    #[error("{origin}: log.level: {source}")]
    InvalidLogLevel {
        /// The configuration layer that sets `log.level`.
        origin: String,
        /// Why the log level is not valid.
        source: crate::logging::LevelError,
    },
    /// The values are each valid, but no scheduler can be started with their combination.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    Unusable(Box<dyn Error + Send + Sync>),
}
