//! Starts and ends the event log of one run of the scheduler.
use std::path::{Path, PathBuf};
use std::time::Duration;

use copperspread_event_log::writer::{self, EventLogConfig, RecordCounts, Recorder, WriterHandle};
use tracing::info;

use super::error::StartError;

// Default limits of an event log whose file is named on the command line. The values are copied from the
// configuration crate, because the build for the hosting platform does not contain that crate.
const DEFAULT_MAX_FILE_BYTES: u64 = 64_000_000;
const DEFAULT_MAX_ROTATED_FILES: u32 = 4;
const DEFAULT_QUEUE_CAPACITY: usize = 4_096;

/// The event log of one run of the scheduler. If no event log is configured, events are discarded.
pub(super) struct EventLog {
    recorder: Recorder,
    writer: Option<WriterHandle>,
}

/// Returns the settings of the event log if its file is named on the command line. The limits for the file
/// size, the number of rotated files and the queue are the defaults.
pub(super) fn config_for_file(file: &Path) -> EventLogConfig {
    EventLogConfig {
        path: file.to_owned(),
        max_file_bytes: DEFAULT_MAX_FILE_BYTES,
        max_rotated_files: DEFAULT_MAX_ROTATED_FILES,
        queue_capacity: DEFAULT_QUEUE_CAPACITY,
    }
}

impl EventLog {
    /// Starts the thread that opens and writes the event log's file. If `config` is `None`, no thread is
    /// started and events are discarded.
    ///
    /// # Errors
    /// Fails if the thread cannot be started, or if the file cannot be opened or is locked by another
    /// process. A disk that is full, fails or hangs is not an error; the thread then keeps trying to open the
    /// file.
    pub(super) fn open(config: Option<EventLogConfig>) -> Result<EventLog, StartError> {
        let Some(config) = config else {
            return Ok(EventLog { recorder: Recorder::disabled(), writer: None });
        };
        let path = PathBuf::from(&config.path);
        let (recorder, writer) =
            writer::start_writer(config).map_err(|source| StartError::EventLog { path, source })?;
        Ok(EventLog { recorder, writer: Some(writer) })
    }

    /// Returns the recorder that passes events to this event log.
    pub(super) fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Stops recording events, and waits until the queued events are written, but at most `timeout`.
    ///
    /// Then logs three counts of events. They are the events written, the events dropped because the queue
    /// was full or the writer thread had ended, and the events lost because the file could not be written.
    pub(super) fn close(self, timeout: Duration) {
        let Some(writer) = self.writer else { return };
        self.recorder.close();
        let is_complete = writer.finish(timeout);
        // The log fields take the names of these variables. Log field names are an external interface and
        // must not change.
        let RecordCounts { written, dropped, lost } = self.recorder.counts();
        info!(written, dropped, lost, is_complete, "event log closed");
    }
}
