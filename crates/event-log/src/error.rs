//! The errors of the log file.
use std::io;

/// The reason why the event log cannot be opened or written.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum EventLogError {
    /// Another process holds the lock of the log file; the lock prevents two schedulers from writing to one
    /// file.
    #[error("another process writes it")]
    LockedByOtherProcess,
    /// The log file is not open: the writer's last attempt to open the file failed, and the next attempt is
    /// not due yet.
    #[error("the file is not open")]
    NotOpen,
    /// The log file cannot be opened, written or rotated, or the thread that writes the file cannot be
    /// started.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The error number of Linux for an input or output error of a device, for which there is no `ErrorKind`.
const EIO: i32 = 5;

impl EventLogError {
    /// Whether the error means that the disk is full or failing. Such an error may end by itself, unlike an
    /// error because of a path that cannot be written to.
    pub(crate) fn is_storage_failure(&self) -> bool {
        let EventLogError::Io(error) = self else { return false };
        matches!(error.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
            || error.raw_os_error() == Some(EIO)
    }
}
