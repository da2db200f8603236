//! The configuration of the event log.
use std::path::PathBuf;

/// Where and how the event log is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventLogConfig {
    /// The file that records are appended to; [`crate::writer::STANDARD_ERROR`] is no file but the standard error.
    pub path: PathBuf,
    /// The file is rotated before it exceeds this size.
    pub max_file_bytes: u64,
    /// How many rotated files remain.
    pub max_rotated_files: u32,
    /// How many records may wait to be written; at least 1.
    pub queue_capacity: usize,
}
