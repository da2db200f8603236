//! What may go wrong with the log file.
use std::io;

/// Why the event log cannot be opened or written.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum EventLogError {
    /// Another process holds the lock of the file.
    #[error("another process writes it")]
    LockedByOtherProcess,
    /// The file could not be opened at the last attempt; the next one is not due yet.
    #[error("the file is not open")]
    NotOpen,
    /// The file cannot be opened, written or rotated, or the thread cannot be started.
    #[error(transparent)]
    Io(#[from] io::Error),
}
