//! The form that each source of the configuration is read into.
use copperspread_event_log::writer;
use copperspread_settings::StartupConfig;

use crate::logging::LogConfig;

/// A complete configuration from one read of the platform's JSON file or of the layers.
#[derive(Clone, Debug)]
pub(crate) struct LoadedConfig {
    /// Settings that the scheduler is started with.
    pub(crate) startup: StartupConfig,
    /// Settings of the process's log, such as its level.
    pub(crate) log: LogConfig,
    /// Settings of the event log, if one is written. `None` on the platform, which has no persistent disk.
    pub(crate) event_log: Option<writer::EventLogConfig>,
    /// Settings of membership, if it is on. `None` on the platform, which does not name the other schedulers.
    #[cfg(feature = "standalone")]
    pub(crate) membership: Option<crate::membership::MemberConfig>,
}

impl LoadedConfig {
    /// Returns the names of the parts in which `other` differs and that only a restart can change.
    pub(crate) fn restart_only_changes(&self, other: &LoadedConfig) -> Vec<&'static str> {
        let mut parts = self.startup.restart_only_changes(&other.startup);
        if self.log.json != other.log.json {
            parts.push("log.format");
        }
        if self.event_log != other.event_log {
            parts.push("records");
        }
        #[cfg(feature = "standalone")]
        if self.membership != other.membership {
            parts.push("cluster");
        }
        parts
    }
}
