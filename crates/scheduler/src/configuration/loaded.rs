//! What every form of configuration is read into.
use copperspread_event_log::writer;
use copperspread_settings::StartupConfig;

use crate::logging::LogConfig;

/// One complete configuration, as read at one time.
#[derive(Clone, Debug)]
pub(crate) struct LoadedConfig {
    /// The scheduler itself.
    pub(crate) startup: StartupConfig,
    /// The log.
    pub(crate) log: LogConfig,
    /// The event log, if one is kept. The platform has no lasting disk: none there.
    pub(crate) event_log: Option<writer::EventLogConfig>,
    /// Membership among schedulers, if it is on. The platform names no other schedulers: off there.
    #[cfg(feature = "standalone")]
    pub(crate) membership: Option<crate::membership::MembershipConfig>,
}

impl LoadedConfig {
    /// The parts in which `other` differs and which only a restart can change.
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
