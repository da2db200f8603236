//! Errors of the commands. The messages of these errors are printed to standard error.
#[cfg(feature = "standalone")]
use std::error::Error;
#[cfg(any(feature = "standalone", feature = "toy"))]
use std::io;
#[cfg(feature = "standalone")]
use std::path::PathBuf;

use crate::configuration::ConfigError;
use crate::serve::StartError;

/// Error that ends a command. The program prints the message to standard error and exits with code 1.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum CommandError {
    /// No command was given, and the environment variable EDGE_CONFIG is not set. Without a command, the
    /// scheduler serves with the hosting platform's JSON file, whose path EDGE_CONFIG must contain.
    #[error("no command was given, and EDGE_CONFIG names no configuration file; try `{program} --help`")]
    NoCommand {
        /// The name of the scheduler program, for the usage hint in the message.
        program: String,
    },
    /// The command `serve` was given, but the environment variable EDGE_CONFIG is not set. A build without
    /// the feature `standalone` reads only the hosting platform's JSON file, whose path EDGE_CONFIG must
    /// contain.
    #[cfg(not(feature = "standalone"))]
    #[error("EDGE_CONFIG names no configuration file")]
    NoConfiguration,
    /// The scheduler did not start, or a component such as the log or the asynchronous runtime did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The configuration cannot be read or is not valid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// `--set` was given with the hosting platform's JSON file. `--set` overrides single values of a TOML
    /// configuration; the JSON file does not support overrides.
    #[cfg(feature = "standalone")]
    #[error("--set requires a TOML configuration; the platform's JSON has no layers")]
    OverridesOfPlatformConfig,
    /// The configuration file with the default values, which the command `config default` prints, cannot be
    /// generated.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    Description(Box<dyn Error + Send + Sync>),
    /// An event of an event log, or the configuration's JSON Schema, cannot be serialized as JSON.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An event log file or a folder of such files cannot be read.
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
    /// The toy worker or the toy discovery service cannot listen on its address.
    #[cfg(feature = "toy")]
    #[error(transparent)]
    ToyWorker(io::Error),
}
