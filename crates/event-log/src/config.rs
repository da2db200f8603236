//! The configuration of the event log.
use std::path::PathBuf;

/// The settings of the event log: the file, its size limit, the number of rotated files and the queue
/// capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventLogConfig {
    /// The path of the file that records are appended to. The path [`crate::writer::STANDARD_ERROR_PATH`]
    /// stands for standard error.
    pub path: PathBuf,
    /// Maximum size of the log file in bytes. The file is rotated before a batch of records would make it
    /// larger.
    pub max_file_bytes: u64,
    /// Maximum number of rotated log files that are kept. If this many files exist, the next rotation
    /// replaces the oldest of them.
    pub max_rotated_files: u32,
    /// Maximum number of records that wait in the queue until they are written to the file; 0 is taken as 1.
    pub queue_capacity: usize,
}
