//! Startup of the servers that the testbed implements itself: the policy node and the relay. A policy node
//! serves as a scheduler with a baseline dispatch policy. A relay forwards requests without a dispatch
//! policy.
use std::io;

use copperspread_dispatcher::SettingsError;
use copperspread_settings::{ReadError, StartupConfig, platform};

/// Name of the environment variable that contains the path of the configuration file. Schedulers use the same
/// variable.
pub const CONFIG_VARIABLE: &str = "EDGE_CONFIG";

/// An error that prevents a server of the testbed from serving.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ServeError {
    /// The environment variable [`CONFIG_VARIABLE`] is not set.
    #[error("the environment variable EDGE_CONFIG is not set")]
    NoConfigFile,
    /// The configuration file cannot be read.
    #[error("{path}: {source}")]
    ConfigFile {
        /// Path of the configuration file, as the environment variable gives it.
        path: String,
        /// The I/O error with which the read failed.
        source: io::Error,
    },
    /// The configuration in the file is invalid.
    #[error("{path}: {source}")]
    Config {
        /// Path of the invalid configuration file.
        path: String,
        /// The error of the configuration's parser or validation.
        source: ReadError,
    },
    /// The dispatch policy does not accept its settings.
    #[error(transparent)]
    Policy(#[from] SettingsError),
    /// The scheduler with a baseline policy cannot be set up, because its listening socket cannot be opened.
    #[error(transparent)]
    Assembly(#[from] copperspread_proxy::assembly::AssemblyError),
    /// The configuration of a scheduler with a baseline policy has a static endpoint list. Such a scheduler
    /// supports only endpoint lists from discovery.
    #[error("a node with a baseline policy supports only discovery, not a static endpoint list")]
    StaticEndpoints,
    /// The configuration of a relay has no cached endpoint list. A relay forwards requests to the workers of
    /// this list, and does not use discovery.
    #[error("known: a relay needs a cached endpoint list at its start")]
    NoEndpointList,
    /// The cached endpoint list of a relay is empty.
    #[error("known: the cached endpoint list has no workers")]
    NoWorkers,
    /// The async runtime of the server cannot be created.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The server's handler for SIGTERM cannot be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The relay cannot listen on its configured address.
    #[error("{address}: {source}")]
    Listen {
        /// The configured address on which the relay should listen.
        address: std::net::SocketAddr,
        /// The I/O error with which listening failed.
        source: io::Error,
    },
    /// The server failed while it handled connections.
    #[error(transparent)]
    Serve(io::Error),
}

/// Reads the configuration file that [`CONFIG_VARIABLE`] names.
///
/// # Errors
/// Fails if the variable is not set, the file cannot be read or the configuration is invalid.
pub fn read_config() -> Result<StartupConfig, ServeError> {
    let path = std::env::var(CONFIG_VARIABLE).map_err(|_| ServeError::NoConfigFile)?;
    let content = match std::fs::read_to_string(&path) {
        Ok(content) => content,
        Err(source) => return Err(ServeError::ConfigFile { path, source }),
    };
    platform::read_startup_config(&content).map_err(|source| ServeError::Config { path, source })
}

/// Creates an async runtime that runs all tasks on the thread that calls `block_on`.
///
/// # Errors
/// Fails if the operating system denies the file descriptors that the runtime needs.
pub fn single_threaded_runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}
