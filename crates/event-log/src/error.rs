//! The errors of the log file.
use std::io;

/// The reason why the event log cannot be opened or written.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum EventLogError {
    /// Another process holds the lock of the log file, so that two schedulers cannot write to one file.
    #[error("another process writes it")]
    LockedByOtherProcess,
    /// The file could not be opened at the last attempt, and the next attempt is not due yet.
    #[error("the file is not open")]
    NotOpen,
    /// The file cannot be opened, written or rotated, or the thread cannot be started.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The error number of Linux for an input or output error of a device, for which there is no `ErrorKind`.
const EIO: i32 = 5;

impl EventLogError {
    /// Whether the error means that the disk is full or fails. Such an error may pass by itself, unlike an
    /// error because of a path that cannot be written to.
    pub(crate) fn is_storage_failure(&self) -> bool {
        let EventLogError::Io(error) = self else { return false };
        matches!(error.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
            || error.raw_os_error() == Some(EIO)
    }
}
