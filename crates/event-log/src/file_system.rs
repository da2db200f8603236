//! The file operations of the event log, as traits so that tests can make each operation fail.
use std::fs::{File, Metadata, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::os::fd::AsFd;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use crate::error::EventLogError;

const FILE_MODE: u32 = 0o640;

/// Opens and renames files.
pub(crate) trait FileSystem: Send {
    /// Opens a file for appending, creates it if it does not exist, and locks it.
    ///
    /// # Errors
    /// [`EventLogError::LockedByOtherProcess`] if another process holds the lock, otherwise
    /// [`EventLogError::Io`].
    fn open(&self, path: &Path) -> Result<Box<dyn OpenFile>, EventLogError>;

    /// Opens standard error.
    fn open_standard_error(&self) -> io::Result<Box<dyn OpenFile>>;

    /// Renames a file, and replaces a file that has the new name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// An open file.
pub(crate) trait OpenFile: Read + Write + Seek + Send {
    /// The metadata of the file.
    fn metadata(&self) -> io::Result<Metadata>;

    /// Truncates the file to a length in bytes.
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

/// The file operations of the operating system.
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
