//! Errors when starting a scheduler and when reloading its configuration.
use std::error::Error;
use std::io;
use std::path::PathBuf;

use copperspread_dispatcher::SettingsError;
use copperspread_event_log::error::EventLogError;

use crate::configuration::ConfigError;
use crate::logging::LogError;

/// Error when starting a scheduler.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum StartError {
    /// The configuration cannot be read or is not valid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The log output on standard error cannot be started.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The event log cannot be started, for example because its file cannot be opened.
    #[error("records.file: {}: {source}", path.display())]
    EventLog {
        /// Path of the event log's file.
        path: PathBuf,
        /// The reason why the event log cannot be started.
        source: EventLogError,
    },
    /// The asynchronous runtime, which runs the scheduler's tasks, cannot be created.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The handler of SIGTERM or SIGHUP cannot be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The settings of the dispatch policy are not valid.
    #[error(transparent)]
    DispatchPolicy(#[from] SettingsError),
    /// The scheduler's membership in the cluster cannot be started.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    Membership(#[from] crate::membership::MembershipError),
    /// The proxy cannot be started, for example because it cannot listen on an address.
    #[error(transparent)]
    Proxy(Box<dyn Error + Send + Sync>),
    /// `--toy` was given, but there is no worker that the toy worker could replace. The configuration has no
    /// static endpoint list, or the list is empty.
    #[cfg(feature = "toy")]
    #[error("--toy replaces the first worker of the static list, but there is no static list or it is empty")]
    NoWorkerForToy,
}

/// Error when reloading the configuration. The old configuration then stays in force.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(super) enum ReloadError {
    /// The new configuration cannot be read or is not valid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The log levels of the new configuration are not valid or cannot be applied to the running log output.
    #[error(transparent)]
    Log(#[from] LogError),
}
