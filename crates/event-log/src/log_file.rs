//! The open log file, and the names of rotated files.
use std::fs::Metadata;
use std::io::{self, SeekFrom};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use crate::error::EventLogError;
use crate::file_system::{FileSystem, OpenFile};

/// The path that stands for the standard error: for a machine without a disk whose output is collected.
pub const STANDARD_ERROR: &str = "-";

/// The open log file, or the standard error, which is neither locked, rotated nor truncated.
pub(crate) struct LogFile {
    file: Box<dyn OpenFile>,
    /// Length in bytes of the lines that are written completely; 0 for the standard error.
    length: u64,
    is_standard_error: bool,
    /// The last line may have no end: a crash or a failed write cut it off.
    may_end_in_partial_line: bool,
}

impl LogFile {
    /// Opens a file to append to it, and locks it. An incomplete last line, of a crash, is ended, so that it does not
    /// spoil the next one.
    pub(crate) fn open(files: &dyn FileSystem, path: &Path) -> Result<LogFile, EventLogError> {
        if path == Path::new(STANDARD_ERROR) {
            let file = files.open_standard_error()?;
            return Ok(LogFile { file, length: 0, is_standard_error: true, may_end_in_partial_line: false });
        }
        let file = files.open(path)?;
        let length = file.metadata()?.len();
        let is_empty = length == 0;
        let mut log_file =
            LogFile { file, length, is_standard_error: false, may_end_in_partial_line: !is_empty };
        // A disk that is full has no place for the line's end: the next write tries again.
        let _ = log_file.end_partial_line();
        Ok(log_file)
    }

    /// Appends complete lines, all or none of them.
    pub(crate) fn append(&mut self, lines: &[u8]) -> io::Result<()> {
        self.end_partial_line()?;
        match self.file.write_all(lines) {
            Ok(()) if self.is_standard_error => {}
            Ok(()) => self.length += lines.len() as u64,
            Err(error) => {
                // The disk may be full in the middle of a line: what was written of it is removed.
                let is_removed = !self.is_standard_error && self.file.set_len(self.length).is_ok();
                self.may_end_in_partial_line = !is_removed;
                return Err(error);
            }
        }
        Ok(())
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

    /// Ends the last line if it is incomplete, and takes the file's length as it is then.
    fn end_partial_line(&mut self) -> io::Result<()> {
        if !self.may_end_in_partial_line {
            return Ok(());
        }
        // What the standard error holds cannot be read: an empty line does less harm than two joined ones.
        if self.is_standard_error || !self.ends_with_complete_line()? {
            self.file.write_all(b"\n")?;
        }
        if !self.is_standard_error {
            self.length = self.file.metadata()?.len();
        }
        self.may_end_in_partial_line = false;
        Ok(())
    }

    fn ends_with_complete_line(&mut self) -> io::Result<bool> {
        let length = self.file.metadata()?.len();
        if length == 0 {
            return Ok(true);
        }
        let mut last_byte = [0];
        self.file.seek(SeekFrom::Start(length - 1))?;
        self.file.read_exact(&mut last_byte)?;
        Ok(last_byte == *b"\n")
    }
}

/// The path of a rotated file: `number` 1 is the latest.
pub fn rotated_path(file: &Path, number: u32) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(format!(".{number}"));
    name.into()
}

/// Renames the file to its rotated path 1, that one to 2 and so on, up to the first path that is free, as one is after
/// a rotation that failed half-way; if none of the `max_rotated_files` is, the last one is replaced.
pub(crate) fn rotate(files: &dyn FileSystem, file: &Path, max_rotated_files: u32) -> io::Result<()> {
    let is_free = |number: &u32| {
        let metadata = rotated_path(file, *number).symlink_metadata();
        metadata.is_err_and(|error| error.kind() == io::ErrorKind::NotFound)
    };
    let last = (1..max_rotated_files).find(is_free).unwrap_or(max_rotated_files);
    for number in (1..last).rev() {
        files.rename(&rotated_path(file, number), &rotated_path(file, number + 1))?;
    }
    files.rename(file, &rotated_path(file, 1))
}
