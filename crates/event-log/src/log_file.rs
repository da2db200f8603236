//! Appends lines to the log file, rotates the file and defines the paths of the rotated files.
use std::fs::Metadata;
use std::io::{self, SeekFrom};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use crate::error::EventLogError;
use crate::file_system::{FileSystem, OpenFile};

/// The path that stands for standard error in the event log's settings. It is meant for machines without a
/// disk, where another program collects the scheduler's standard error.
pub const STANDARD_ERROR_PATH: &str = "-";

/// The open log file, or standard error. Standard error is never locked, rotated or truncated.
pub(crate) struct LogFile {
    file: Box<dyn OpenFile>,
    /// Length in bytes of the complete lines in the log file; 0 for standard error.
    length: u64,
    is_standard_error: bool,
    /// Whether the last line may lack its line break. A crash or a failed write can leave such a line.
    may_end_in_partial_line: bool,
}

impl LogFile {
    /// Opens the log file for appending, and locks it. If the last line is incomplete, as after a crash, a
    /// line break is added. Otherwise the next line would be joined to the incomplete line.
    pub(crate) fn open(files: &dyn FileSystem, path: &Path) -> Result<LogFile, EventLogError> {
        if path == Path::new(STANDARD_ERROR_PATH) {
            let file = files.open_standard_error()?;
            return Ok(LogFile { file, length: 0, is_standard_error: true, may_end_in_partial_line: false });
        }
        let file = files.open(path)?;
        let length = file.metadata()?.len();
        let is_empty = length == 0;
        let mut log_file =
            LogFile { file, length, is_standard_error: false, may_end_in_partial_line: !is_empty };
        // The error is ignored. The line break cannot be added if the disk is full, but the next append tries
        // again.
        let _ = log_file.end_partial_line();
        Ok(log_file)
    }

    /// Appends complete lines to the log file. If the write fails half-way, the part that was written is
    /// removed, provided that the file can be truncated.
    pub(crate) fn append(&mut self, lines: &[u8]) -> io::Result<()> {
        self.end_partial_line()?;
        match self.file.write_all(lines) {
            Ok(()) if self.is_standard_error => {}
            Ok(()) => self.length += lines.len() as u64,
            Err(error) => {
                // The part that was written is removed, because the write may have ended in the middle of a
                // line, for example because the disk became full.
                let is_removed = !self.is_standard_error && self.file.set_len(self.length).is_ok();
                self.may_end_in_partial_line = !is_removed;
                return Err(error);
            }
        }
        Ok(())
    }

    /// Whether the log file would exceed `max_file_bytes` if `added_bytes` were appended. Always false for an
    /// empty file and for standard error.
    pub(crate) fn would_exceed(&self, max_file_bytes: u64, added_bytes: usize) -> bool {
        self.length > 0 && self.length + added_bytes as u64 > max_file_bytes
    }

    /// Whether `path` still refers to this open file. Always true for standard error.
    pub(crate) fn is_at(&self, path: &Path) -> bool {
        if self.is_standard_error {
            return true;
        }
        let same_inode = |a: Metadata, b: Metadata| (a.dev(), a.ino()) == (b.dev(), b.ino());
        let open_metadata = self.file.metadata().ok();
        open_metadata.zip(path.metadata().ok()).is_some_and(|(a, b)| same_inode(a, b))
    }

    /// Adds a line break if the last line is incomplete, and sets `length` to the file's length.
    fn end_partial_line(&mut self) -> io::Result<()> {
        if !self.may_end_in_partial_line {
            return Ok(());
        }
        // Standard error cannot be read, so whether its last line is complete is not known. A line break is
        // then written anyway, because an empty line does less harm than two joined lines.
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

/// Returns the path of a rotated file of the event log `file`. Number 1 is the newest rotated file.
pub fn rotated_path(file: &Path, number: u32) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(format!(".{number}"));
    name.into()
}

/// Rotates the log file: renames it to rotated path 1, the rotated file 1 to path 2, and so on up to the
/// first free path.
///
/// A path may be free because there are few rotated files yet, or because an earlier rotation failed
/// half-way. If none of the `max_rotated_files` paths is free, the oldest rotated file is replaced.
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
