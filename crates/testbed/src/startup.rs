//! Starts the processes that the testbed serves itself, the policy node and the relay, from their
//! configuration.
use std::io;

use copperspread_dispatcher::SettingsError;
use copperspread_settings::{ReadError, StartupConfig, platform};

/// The environment variable that names the configuration file, as on the platform.
pub const CONFIG_VARIABLE: &str = "EDGE_CONFIG";

/// Why such a process cannot serve.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ServeError {
    /// The environment names no configuration file.
    #[error("EDGE_CONFIG names no file")]
    NoConfigFile,
    /// The configuration file cannot be read.
    #[error("{path}: {source}")]
    ConfigFile {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The file is no valid configuration.
    #[error("{path}: {source}")]
    Config {
        /// The file.
        path: String,
        /// Why.
        source: ReadError,
    },
    /// The policy does not accept its settings.
    #[error(transparent)]
    Policy(#[from] SettingsError),
    /// The node cannot be assembled.
    #[error(transparent)]
    Assembly(#[from] copperspread_proxy::assembly::AssemblyError),
    /// A policy node has a static endpoint list.
    #[error("a baseline follows discovery only")]
    StaticEndpoints,
    /// A relay has no cached endpoint list.
    #[error("known: a relay needs its workers at the start")]
    NoEndpointList,
    /// A relay's cached endpoint list is empty.
    #[error("known: no workers")]
    NoWorkers,
    /// The runtime cannot be created.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// No handler for SIGTERM can be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The address cannot be listened on.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The listener fails while it serves.
    #[error(transparent)]
    Serve(io::Error),
}

/// Reads the configuration file that the environment names.
///
/// # Errors
/// No such variable, no such file, or an invalid configuration.
pub fn read_config() -> Result<StartupConfig, ServeError> {
    let path = std::env::var(CONFIG_VARIABLE).map_err(|_| ServeError::NoConfigFile)?;
    let content = match std::fs::read_to_string(&path) {
        Ok(content) => content,
        Err(source) => return Err(ServeError::ConfigFile { path, source }),
    };
    platform::read_startup_config(&content).map_err(|source| ServeError::Config { path, source })
}

/// Creates a runtime of one thread, the caller's.
///
/// # Errors
/// The descriptors that it needs cannot be had.
pub fn single_threaded_runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}
