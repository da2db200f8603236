//! Why a scheduler does not start or reload.
use std::error::Error;
use std::io;
use std::path::PathBuf;

use copperspread_dispatcher::SettingsError;
use copperspread_event_log::error::EventLogError;

use crate::configuration::ConfigError;
use crate::logging::LogError;

/// Why a scheduler does not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum StartError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The log does not start.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The event log's file cannot be opened.
    #[error("records.file: {}: {source}", path.display())]
    EventLog {
        /// The file.
        path: PathBuf,
        /// What the system answered.
        source: EventLogError,
    },
    /// The asynchronous runtime does not start.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal's handler cannot be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The dispatch policy's settings contradict themselves.
    #[error(transparent)]
    DispatchPolicy(#[from] SettingsError),
    /// Membership among schedulers does not start.
    #[cfg(feature = "standalone")]
    #[error(transparent)]
    Membership(#[from] crate::membership::MembershipError),
    /// The proxy cannot be assembled, such as for an address that cannot be listened on.
    #[error(transparent)]
    Proxy(Box<dyn Error + Send + Sync>),
    /// A toy worker was asked for and no static list names a worker that it could stand for.
    #[cfg(feature = "toy")]
    #[error("--toy stands for the first worker of a static list")]
    NoWorkerForToy,
}

/// Why a reload changes nothing.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(super) enum ReloadError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The log's level cannot be used.
    #[error(transparent)]
    Log(#[from] LogError),
}
