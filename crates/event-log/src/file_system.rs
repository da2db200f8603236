//! The file operations that the event log uses. They are traits, so that tests can make each operation fail.
use std::fs::{File, Metadata, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::os::fd::AsFd;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use crate::error::EventLogError;

const FILE_MODE: u32 = 0o640;

/// Opens and renames the files of the event log.
pub(crate) trait FileSystem: Send {
    /// Opens a file for appending and locks it. A file that does not exist is created.
    ///
    /// # Errors
    /// Fails with [`EventLogError::LockedByOtherProcess`] if another process holds the lock, otherwise with
    /// [`EventLogError::Io`].
    fn open(&self, path: &Path) -> Result<Box<dyn OpenFile>, EventLogError>;

    /// Opens standard error, so that records can be written to it like to a file.
    fn open_standard_error(&self) -> io::Result<Box<dyn OpenFile>>;

    /// Renames the file `from` to `to`. A file that already has the name `to` is replaced.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// An open file of the event log, or standard error.
pub(crate) trait OpenFile: Read + Write + Seek + Send {
    /// Returns the file's metadata, such as its length.
    fn metadata(&self) -> io::Result<Metadata>;

    /// Truncates the file to `length` bytes.
    fn set_len(&mut self, length: u64) -> io::Result<()>;
}

impl OpenFile for File {
    fn metadata(&self) -> io::Result<Metadata> {
        File::metadata(self)
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        File::set_len(self, length)
    }
}

/// The file operations of the operating system, which the scheduler uses outside of tests.
pub(crate) struct SystemFiles;

impl FileSystem for SystemFiles {
    fn open(&self, path: &Path) -> Result<Box<dyn OpenFile>, EventLogError> {
        let file = OpenOptions::new().read(true).append(true).create(true).mode(FILE_MODE).open(path)?;
        file.try_lock().map_err(|error| match error {
            TryLockError::WouldBlock => EventLogError::LockedByOtherProcess,
            TryLockError::Error(error) => EventLogError::Io(error),
        })?;
        Ok(Box::new(file))
    }

    fn open_standard_error(&self) -> io::Result<Box<dyn OpenFile>> {
        Ok(Box::new(File::from(io::stderr().as_fd().try_clone_to_owned()?)))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }
}
