//! Settings of the process: resource limits, log and event log.
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units::HumanSize;

/// Resource limits of the process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Limits")]
pub struct ResourceLimits {
    /// Memory from which the limits on client connections and request bodies are derived; at least 16 MB.
    pub memory: HumanSize,
    /// Maximum number of open file descriptors; at least 64, and not above the process's own limit.
    pub descriptors: u32,
}

impl Default for ResourceLimits {
    fn default() -> ResourceLimits {
        ResourceLimits { memory: HumanSize(192_000_000), descriptors: 1024 }
    }
}

/// The log, which is written to standard error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Log")]
pub struct LogConfig {
    /// Log level: `off`, `error`, `warn`, `info`, `debug` or `trace`, for all modules or by module, such as
    /// `"info,copperspread_proxy=debug"`. The environment variable RUST_LOG overrides it. Read again on
    /// SIGHUP.
    pub level: String,
    /// Whether log entries are written as text or as JSON lines.
    pub format: LogFormat,
}

impl Default for LogConfig {
    fn default() -> LogConfig {
        LogConfig { level: "info".into(), format: LogFormat::Auto }
    }
}

/// Whether log entries are written as text or as JSON lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text if standard error is a terminal, JSON lines otherwise.
    Auto,
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// The event log: what the scheduler did, as JSON lines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Records")]
pub struct EventLogConfig {
    /// File that events are appended to, or `-` for standard error; if absent, there is no event log.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<PathBuf>,
    /// Size limit of the event log file; at least 64 KiB. Before an event would exceed the limit, the file is
    /// renamed to `FILE.1` and a new file is begun.
    pub rotate_at: HumanSize,
    /// Number of rotated event log files that are kept; at least 1.
    pub keep: u32,
    /// Number of events that may wait to be written, 16 to 1000000. Further ones are dropped, counted and
    /// reported as a gap.
    pub queue: u32,
}

impl Default for EventLogConfig {
    fn default() -> EventLogConfig {
        EventLogConfig { file: None, rotate_at: HumanSize(64_000_000), keep: 4, queue: 4096 }
    }
}
