//! Errors of opening, writing and rotating the file of the event log.
use std::io;

/// The reason why the event log's file cannot be opened or written.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum EventLogError {
    /// Another process holds the lock of the log file. The lock prevents two schedulers from writing to the
    /// same file.
    #[error("another process writes it")]
    LockedByOtherProcess,
    /// The log file is not open, so the records cannot be written. The writer's last attempt to open the file
    /// failed, and the time of the next attempt has not come yet.
    #[error("the file is not open")]
    NotOpen,
    /// The log file cannot be opened, written or rotated, or the thread that writes the file cannot be
    /// started.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The Linux error number for an input or output error of a device. `ErrorKind` has no variant for this
/// error.
const EIO: i32 = 5;

impl EventLogError {
    /// Whether the error means that the disk is full or failing. Such an error may end by itself, so opening
    /// the file is worth another attempt. In contrast, a path that cannot be written to must be corrected.
    pub(crate) fn is_storage_failure(&self) -> bool {
        let EventLogError::Io(error) = self else { return false };
        matches!(error.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
            || error.raw_os_error() == Some(EIO)
    }
}
