//! Errors of the commands. Their messages are printed to standard error.
#[cfg(feature = "standalone")]
use std::error::Error;
#[cfg(any(feature = "standalone", feature = "toy"))]
use std::io;
#[cfg(feature = "standalone")]
use std::path::PathBuf;

use crate::configuration::ConfigError;
use crate::serve::StartError;

/// Error of a command.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum CommandError {
    /// No command was given, and the environment does not name the platform's configuration.
    #[error("no command was given, and EDGE_CONFIG names no configuration file; try `{program} --help`")]
    NoCommand {
        /// The program's name, for the usage hint in the message.
        program: String,
    },
    /// This build reads only the platform's configuration, and the environment does not name it.
    #[cfg(not(feature = "standalone"))]
    #[error("EDGE_CONFIG names no configuration file")]
    NoConfiguration,
    /// The scheduler, or a component of it that the command needs, did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// `--set` was given for the platform's configuration.
    #[cfg(feature = "standalone")]
    #[error("--set requires a TOML configuration; the platform's JSON has no layers")]
    OverridesOfPlatformConfig,
    /// A description of the configuration cannot be generated.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    Description(Box<dyn Error + Send + Sync>),
    /// A value cannot be serialized as JSON.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A file or folder cannot be read.
    #[cfg(feature = "standalone")]
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Path of the file or folder that cannot be read.
        path: PathBuf,
        /// The operating system's reason why the file or folder cannot be read.
        source: io::Error,
    },
    /// Standard output cannot be written to.
    #[cfg(feature = "standalone")]
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// The toy worker or the toy discovery cannot listen.
    #[cfg(feature = "toy")]
    #[error(transparent)]
    ToyWorker(io::Error),
}
