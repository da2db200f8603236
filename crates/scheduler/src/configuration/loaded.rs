//! The loaded configuration, which has the same form whether it was read from JSON or from TOML.
use copperspread_event_log::writer;
use copperspread_settings::StartupConfig;

use crate::logging::LogConfig;

/// A complete configuration, read either from the hosting platform's JSON file or, in a standalone
/// installation, from a TOML file, the environment and the command line.
#[derive(Clone, Debug)]
pub(crate) struct LoadedConfig {
    /// Settings that the scheduler is started with, such as its listen address and its dispatch settings.
    pub(crate) startup: StartupConfig,
    /// Settings of the process's log, such as its level.
    pub(crate) log: LogConfig,
    /// Settings of the event log; `None` if no event log is configured. Always `None` on the hosting
    /// platform, which has no persistent disk.
    pub(crate) event_log: Option<writer::EventLogConfig>,
    /// Settings of the membership protocol; `None` if membership is off. Always `None` on the hosting
    /// platform, whose JSON file does not name the other schedulers that a member would contact.
    #[cfg(feature = "standalone")]
    pub(crate) membership: Option<crate::membership::MemberConfig>,
}

impl LoadedConfig {
    /// Returns the names of the restart-only parts of the configuration that differ between `self` and
    /// `other`. A reload does not apply changes to these parts.
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
