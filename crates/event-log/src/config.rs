//! The configuration of the event log.
use std::path::PathBuf;

/// Where and how the event log is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventLogConfig {
    /// The file that records are appended to; [`crate::writer::STANDARD_ERROR_PATH`] stands for standard
    /// error.
    pub path: PathBuf,
    /// Maximum size of the file in bytes; the file is rotated before it would exceed this size.
    pub max_file_bytes: u64,
    /// Number of rotated files that are kept.
    pub max_rotated_files: u32,
    /// Number of records that may wait to be written; 0 is taken as 1.
    pub queue_capacity: usize,
}
