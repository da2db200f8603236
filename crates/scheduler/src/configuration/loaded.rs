//! The loaded configuration, which has the same form whether it was read from JSON or from TOML.
use copperspread_event_log::writer;
use copperspread_settings::StartupConfig;

use crate::logging::LogConfig;

/// A complete configuration, read either from the hosting platform's JSON file or, in a standalone
/// installation, from a TOML file, the environment and the command line.
#[derive(Clone, Debug)]
pub(crate) struct LoadedConfig {
    /// Settings with which the scheduler is started, such as its listen address and its dispatch settings.
    pub(crate) startup: StartupConfig,
    /// Settings of the process's log output, such as the log levels.
    pub(crate) log: LogConfig,
    /// Settings of the event log; `None` if no event log is configured. Always `None` on the hosting
    /// platform, which has no persistent disk.
    pub(crate) event_log: Option<writer::EventLogConfig>,
    /// Settings of the membership protocol; `None` if membership is off. Always `None` on the hosting
    /// platform, because its JSON file does not name the other schedulers that a member would have to
    /// contact.
    #[cfg(feature = "standalone")]
    pub(crate) membership: Option<crate::membership::MemberConfig>,
}

impl LoadedConfig {
    /// Returns the names of those parts of the configuration that differ between `self` and `other` and take
    /// effect only after a restart.
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
