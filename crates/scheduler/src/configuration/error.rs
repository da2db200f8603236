//! Why a configuration cannot be used.
use std::error::Error;
use std::path::PathBuf;

/// Why a configuration cannot be used. The text names the place of each fault; it may hold several lines.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum ConfigError {
    /// The platform's file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system answered.
        source: std::io::Error,
    },
    /// The platform's file does not hold a valid configuration.
    #[error("{}: {source}", path.display())]
    InvalidPlatformConfig {
        /// The file.
        path: PathBuf,
        /// The first fault found in it.
        source: Box<dyn Error + Send + Sync>,
    },
    /// The layers hold faults; all of them are listed, one a line.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    InvalidLayers(#[from] copperspread_config::InvalidConfig),
    /// `log.level` is not valid.
    #[cfg(feature = "standalone")]
    #[error("{origin}: log.level: {source}")]
    InvalidLogLevel {
        /// The layer that sets it.
        origin: String,
        /// What is wrong with it.
        source: crate::logging::LevelError,
    },
    /// The layers are valid each by itself and still describe no scheduler.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    Unusable(Box<dyn Error + Send + Sync>),
}
