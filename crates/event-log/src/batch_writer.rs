//! Writes the queued records to the log file in batches. Rotates the file when it is full, and opens the file
//! again after a failure.
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

use crate::config::EventLogConfig;
use crate::error::EventLogError;
use crate::file_system::FileSystem;
use crate::log_file::{LogFile, rotate};
use crate::record::{EventKind, Record};
use crate::recorder::SharedCounts;

/// Size of a batch of records in bytes. A batch that has reached this size is written to the log file, even
/// if more records are queued.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Extra capacity of the buffer that holds a batch, in bytes. The size of a batch is checked only after a
/// record is added, so the last record may go beyond [`MAX_BATCH_BYTES`].
const BATCH_HEADROOM_BYTES: usize = 4096;
/// How long the writing thread sleeps after it has received the first record of a batch. In this time, more
/// records are queued and join the batch. Waking the thread for each record would cost more than writing the
/// record.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Interval between checks of the log file. A check opens the file if it is not open. If the file is open,
/// the check finds out whether the file is still at its path.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Factor for the maximum size of a log file that cannot be rotated. Such a file may grow to its maximum size
/// times this factor. Records beyond that size are lost.
const MAX_OVERSIZE_FACTOR: u64 = 2;

/// Writes the queued records of a run to the log file. The writer runs on its own thread and is the only
/// owner of the log file.
pub(crate) struct BatchWriter {
    config: EventLogConfig,
    files: Box<dyn FileSystem>,
    file: Option<LogFile>,
    last_check: Instant,
    /// Number of batches of records that could not be written to the log file.
    failures: u64,
    /// Number of failed rotations of the log file after which records could still be appended to the file,
    /// because its size stayed within [`MAX_OVERSIZE_FACTOR`] times the maximum. A warning is logged only for
    /// the 1st, 2nd, 4th, 8th, ... of these failures. Any other failed rotation is counted in `failures`.
    rotation_failures: u64,
    /// The sequence number after that of the last written record, or 0 at the start of the run. If the next
    /// record has a higher number, the records in between are missing.
    next_sequence: u64,
    counts: Arc<SharedCounts>,
}

impl BatchWriter {
    /// Creates a writer that appends records to `file`. If `file` is `None`, the writer tries to open the log
    /// file at its next check of the file.
    pub(crate) fn new(
        config: EventLogConfig,
        files: Box<dyn FileSystem>,
        file: Option<LogFile>,
        counts: Arc<SharedCounts>,
    ) -> BatchWriter {
        BatchWriter {
            config,
            files,
            file,
            last_check: Instant::now(),
            failures: 0,
            rotation_failures: 0,
            next_sequence: 0,
            counts,
        }
    }

    /// Writes the queued records to the log file, and returns once the queue is closed and empty.
    pub(crate) fn run(mut self, queue: &Receiver<Record>) {
        // A batch may reach half the maximum file size at most before it is written. Otherwise one batch
        // could fill a file by itself.
        let max_batch_bytes = MAX_BATCH_BYTES.min(self.config.max_file_bytes as usize / 2);
        let mut lines = Vec::with_capacity(max_batch_bytes + BATCH_HEADROOM_BYTES);
        while let Ok(first) = queue.recv() {
            thread::sleep(BATCH_DELAY);
            let (mut count, mut next_sequence) = (0, self.next_sequence);
            let mut next_record = Some(first);
            while let Some(record) = next_record.take() {
                append_record(&mut lines, &record, next_sequence);
                next_sequence = record.sequence + 1;
                count += 1;
                if lines.len() < max_batch_bytes {
                    next_record = queue.try_recv().ok();
                }
            }
            match self.write(&lines) {
                Ok(()) => {
                    self.next_sequence = next_sequence;
                    self.counts.add_written(count);
                }
                Err(error) => self.count_failure(count, &error),
            }
            lines.clear();
        }
    }

    /// Counts a failed write of a batch, and adds the number of its records, `count`, to the lost records. A
    /// warning is logged only for the 1st, 2nd, 4th, 8th, ... failure.
    fn count_failure(&mut self, count: u64, error: &EventLogError) {
        self.counts.add_lost(count);
        self.failures += 1;
        if self.failures.is_power_of_two() {
            let file = self.config.path.display();
            tracing::warn!(%error, failures = self.failures, %file, "event log not written");
        }
    }

    fn write(&mut self, lines: &[u8]) -> Result<(), EventLogError> {
        self.reopen_if_due()?;
        let max_file_bytes = self.config.max_file_bytes;
        if self.open_file()?.would_exceed(max_file_bytes, lines.len()) {
            self.rotate(lines.len())?;
        }
        Ok(self.open_file()?.append(lines)?)
    }

    /// Rotates the log file. If the rotation fails, records are still appended to the file until it has
    /// [`MAX_OVERSIZE_FACTOR`] times its maximum size. The next batch tries the rotation again.
    fn rotate(&mut self, added_bytes: usize) -> Result<(), EventLogError> {
        if let Err(error) = rotate(&*self.files, &self.config.path, self.config.max_rotated_files) {
            let max_file_bytes = self.config.max_file_bytes.saturating_mul(MAX_OVERSIZE_FACTOR);
            if self.open_file()?.would_exceed(max_file_bytes, added_bytes) {
                return Err(error.into());
            }
            self.rotation_failures += 1;
            if self.rotation_failures.is_power_of_two() {
                let (failures, file) = (self.rotation_failures, self.config.path.display());
                tracing::warn!(%error, failures, %file, "event log not rotated");
            }
            return Ok(());
        }
        self.file = None;
        self.open()
    }

    fn open(&mut self) -> Result<(), EventLogError> {
        self.file = Some(LogFile::open(&*self.files, &self.config.path)?);
        Ok(())
    }

    /// Checks the log file if the last check was at least [`CHECK_INTERVAL`] ago. The check opens the file if
    /// it is not open.
    ///
    /// If the open file is no longer at its path, the check closes it first and then opens the path again. In
    /// that case the file or its disk was moved or removed, and nobody would find records in the old file.
    fn reopen_if_due(&mut self) -> Result<(), EventLogError> {
        if self.last_check.elapsed() < CHECK_INTERVAL {
            return Ok(());
        }
        self.last_check = Instant::now();
        if self.file.as_ref().is_some_and(|file| !file.is_at(&self.config.path)) {
            self.file = None;
        }
        if self.file.is_none() {
            self.open()?;
        }
        Ok(())
    }

    fn open_file(&mut self) -> Result<&mut LogFile, EventLogError> {
        self.file.as_mut().ok_or(EventLogError::NotOpen)
    }
}

/// Appends the line of a record to `lines`. If records are missing before this record, a gap record is
/// appended first. The gap record has the sequence number of the last missing record.
fn append_record(lines: &mut Vec<u8>, record: &Record, next_sequence: u64) {
    if record.sequence > next_sequence {
        let event = EventKind::Gap { dropped: record.sequence - next_sequence };
        append_line(lines, &Record { sequence: record.sequence - 1, event, ..record.clone() });
    }
    append_line(lines, record);
}

fn append_line(lines: &mut Vec<u8>, record: &Record) {
    let start = lines.len();
    match serde_json::to_writer(&mut *lines, record) {
        Ok(()) => lines.push(b'\n'),
        // Serializing a record to memory does not fail. If it did, the record would be missing from the file,
        // and no gap record would show this.
        Err(_) => lines.truncate(start),
    }
}

#[cfg(test)]
#[path = "../tests/unit/batch_writer.rs"]
mod tests;
