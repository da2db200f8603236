//! Start and end of the event log of one run.
use std::path::{Path, PathBuf};
use std::time::Duration;

use copperspread_event_log::writer::{self, EventLogConfig, RecordCounts, Recorder, WriterHandle};
use tracing::info;

use super::error::StartError;

// Limits of an event log whose file is named on the command line. They equal the defaults of the
// configuration crate, which the platform's build does not contain.
const DEFAULT_MAX_FILE_BYTES: u64 = 64_000_000;
const DEFAULT_MAX_ROTATED_FILES: u32 = 4;
const DEFAULT_QUEUE_CAPACITY: usize = 4_096;

/// The event log of a run; nothing is recorded if no event log is configured.
pub(super) struct EventLog {
    recorder: Recorder,
    writer: Option<WriterHandle>,
}

/// Returns the settings of an event log whose file is named on the command line.
pub(super) fn config_for_file(file: &Path) -> EventLogConfig {
    EventLogConfig {
        path: file.to_owned(),
        max_file_bytes: DEFAULT_MAX_FILE_BYTES,
        max_rotated_files: DEFAULT_MAX_ROTATED_FILES,
        queue_capacity: DEFAULT_QUEUE_CAPACITY,
    }
}

impl EventLog {
    /// Opens the file and starts the writer thread. Without a configuration, nothing is recorded.
    ///
    /// # Errors
    /// Fails if the file cannot be opened or is being written by another process. A disk that is full, fails
    /// or hangs is not an error here: the writer thread keeps trying.
    pub(super) fn open(config: Option<EventLogConfig>) -> Result<EventLog, StartError> {
        let Some(config) = config else {
            return Ok(EventLog { recorder: Recorder::disabled(), writer: None });
        };
        let path = PathBuf::from(&config.path);
        let (recorder, writer) =
            writer::start_writer(config).map_err(|source| StartError::EventLog { path, source })?;
        Ok(EventLog { recorder, writer: Some(writer) })
    }

    /// Returns the recorder that accepts events for this log.
    pub(super) fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Closes the recorder and waits up to `timeout` until the queued events are written. Then logs the
    /// numbers of written, dropped and lost records.
    pub(super) fn close(self, timeout: Duration) {
        let Some(writer) = self.writer else { return };
        self.recorder.close();
        let is_complete = writer.finish(timeout);
        // The counts are logged under the names of these fields, which must not change.
        let RecordCounts { written, dropped, lost } = self.recorder.counts();
        info!(written, dropped, lost, is_complete, "event log closed");
    }
}
