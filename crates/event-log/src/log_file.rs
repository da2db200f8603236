//! The open log file, and the names of rotated files.
use std::fs::{File, Metadata, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::fd::AsFd;
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use crate::error::EventLogError;

/// The path that stands for the standard error: for a machine without a disk whose output is collected.
pub const STANDARD_ERROR: &str = "-";

const FILE_MODE: u32 = 0o640;

/// The open log file, or the standard error, which is neither locked, rotated nor truncated.
pub(crate) struct LogFile {
    file: File,
    /// Length in bytes of the lines that are written completely; 0 for the standard error.
    length: u64,
    is_standard_error: bool,
}

impl LogFile {
    /// Opens a file to append to it, and locks it. An incomplete last line, of a crash, is ended, so that it does not
    /// spoil the next one.
    pub(crate) fn open(path: &Path) -> Result<LogFile, EventLogError> {
        if path == Path::new(STANDARD_ERROR) {
            let file = File::from(io::stderr().as_fd().try_clone_to_owned()?);
            return Ok(LogFile { file, length: 0, is_standard_error: true });
        }
        let mut file = OpenOptions::new().read(true).append(true).create(true).mode(FILE_MODE).open(path)?;
        file.try_lock().map_err(|error| match error {
            TryLockError::WouldBlock => EventLogError::LockedByOtherProcess,
            TryLockError::Error(error) => EventLogError::Io(error),
        })?;
        let length = end_last_line(&mut file)?;
        Ok(LogFile { file, length, is_standard_error: false })
    }

    /// Appends complete lines, all or none of them.
    pub(crate) fn append(&mut self, lines: &[u8]) -> io::Result<()> {
        let result = self.file.write_all(lines);
        if self.is_standard_error {
            return result;
        }
        match result {
            Ok(()) => self.length += lines.len() as u64,
            // The disk may be full in the middle of a line: what was written of it is removed.
            Err(_) => drop(self.file.set_len(self.length)),
        }
        result
    }

    /// Whether these bytes would make the file longer than allowed; never of an empty file.
    pub(crate) fn would_exceed(&self, max_file_bytes: u64, added_bytes: usize) -> bool {
        self.length > 0 && self.length + added_bytes as u64 > max_file_bytes
    }

    /// Whether the path still leads to this file.
    pub(crate) fn is_at(&self, path: &Path) -> bool {
        if self.is_standard_error {
            return true;
        }
        let same_inode = |a: Metadata, b: Metadata| (a.dev(), a.ino()) == (b.dev(), b.ino());
        let open_metadata = self.file.metadata().ok();
        open_metadata.zip(path.metadata().ok()).is_some_and(|(a, b)| same_inode(a, b))
    }
}

/// Ends the last line if it is incomplete, and returns the length of the file.
fn end_last_line(file: &mut File) -> io::Result<u64> {
    let length = file.metadata()?.len();
    if length == 0 {
        return Ok(0);
    }
    let mut last_byte = [0];
    file.seek(SeekFrom::Start(length - 1))?;
    file.read_exact(&mut last_byte)?;
    if last_byte == *b"\n" {
        return Ok(length);
    }
    file.write_all(b"\n")?;
    Ok(length + 1)
}

/// The path of a rotated file: `number` 1 is the latest.
pub fn rotated_path(file: &Path, number: u32) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(format!(".{number}"));
    name.into()
}

/// Renames the file to its rotated path 1, that one to 2 and so on, up to `max_rotated_files`; the last one is
/// replaced.
pub(crate) fn rotate(file: &Path, max_rotated_files: u32) -> io::Result<()> {
    for number in (1..max_rotated_files).rev() {
        match std::fs::rename(rotated_path(file, number), rotated_path(file, number + 1)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
    }
    std::fs::rename(file, rotated_path(file, 1))
}
