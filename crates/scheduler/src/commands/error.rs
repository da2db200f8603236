//! Why a command cannot be carried out, as it is printed.
#[cfg(feature = "standalone")]
use std::error::Error;
#[cfg(any(feature = "standalone", feature = "toy"))]
use std::io;
#[cfg(feature = "standalone")]
use std::path::PathBuf;

use crate::configuration::ConfigError;
use crate::serve::StartError;

/// Why a command cannot be carried out.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum CommandError {
    /// No command was given, and the environment names no configuration to serve by.
    #[error("EDGE_CONFIG names no configuration, and no command was given; try `{program} --help`")]
    NoCommand {
        /// The program's name.
        program: String,
    },
    /// This build serves by the platform's configuration alone, and the environment names none.
    #[cfg(not(feature = "standalone"))]
    #[error("EDGE_CONFIG names no configuration")]
    NoConfiguration,
    /// The scheduler, or a part of it that the command needs, did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// `--set` was given for the platform's configuration.
    #[cfg(feature = "standalone")]
    #[error("--set goes with TOML; the platform's JSON has no layers")]
    OverridesOfPlatformConfig,
    /// A description of the configuration cannot be put into words.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    Description(Box<dyn Error + Send + Sync>),
    /// An event cannot be written as JSON.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A file or folder cannot be read.
    #[cfg(feature = "standalone")]
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// Standard output cannot be written.
    #[cfg(feature = "standalone")]
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// The toy worker or its discovery cannot listen.
    #[cfg(feature = "toy")]
    #[error(transparent)]
    ToyWorker(io::Error),
}
