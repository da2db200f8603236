//! The process's limits, its log and its event log.
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units::HumanSize;

/// What the process may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Limits")]
pub struct ResourceLimits {
    /// Memory for connections and bodies is shared out within this much; at least 16 MB.
    pub memory: HumanSize,
    /// Descriptors that may be open at once; at least 64, and no more than the process is allowed.
    pub descriptors: u32,
}

impl Default for ResourceLimits {
    fn default() -> ResourceLimits {
        ResourceLimits { memory: HumanSize(192_000_000), descriptors: 1024 }
    }
}

/// The log, on standard error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Log")]
pub struct LogConfig {
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`, for all or by part:
    /// `"info,copperspread_proxy=debug"`. RUST_LOG goes before it. Read again on SIGHUP.
    pub level: String,
    /// Its form.
    pub format: LogFormat,
}

impl Default for LogConfig {
    fn default() -> LogConfig {
        LogConfig { level: "info".into(), format: LogFormat::Auto }
    }
}

/// The log's form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text on a terminal, JSON lines otherwise.
    Auto,
    /// Text.
    Text,
    /// JSON lines.
    Json,
}

/// The event log: what happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Records")]
pub struct EventLogConfig {
    /// The file that events are appended to; absent, there is no event log.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<PathBuf>,
    /// A file of this size is rotated to `FILE.1` and a new one begun; at least 64 KiB.
    pub rotate_at: HumanSize,
    /// How many rotated files are kept; at least 1.
    pub keep: u32,
    /// How many events may wait to be written. Past that they are dropped, counted and reported as a gap.
    pub queue: u32,
}

impl Default for EventLogConfig {
    fn default() -> EventLogConfig {
        EventLogConfig { file: None, rotate_at: HumanSize(64_000_000), keep: 4, queue: 4096 }
    }
}
