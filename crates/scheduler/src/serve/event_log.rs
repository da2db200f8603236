//! The event log of one run.
use std::path::{Path, PathBuf};
use std::time::Duration;

use copperspread_event_log::writer::{self, EventLogConfig, RecordCounts, Recorder, Writer};
use tracing::info;

use super::error::StartError;

// For a file named on the command line: as the configuration's own defaults, which the platform's build leaves
// out.
const DEFAULT_ROTATE_AT_BYTES: u64 = 64_000_000;
const DEFAULT_ROTATED_FILES: u32 = 4;
const DEFAULT_MAX_QUEUED_EVENTS: usize = 4_096;

/// The event log while it is kept, or the absence of one. It owns the writer's thread.
pub(super) struct EventLog {
    recorder: Recorder,
    writer: Option<Writer>,
}

/// What a file that is named on the command line is written by.
pub(super) fn spec_of_command_line(file: &Path) -> EventLogConfig {
    EventLogConfig {
        path: file.to_owned(),
        max_file_bytes: DEFAULT_ROTATE_AT_BYTES,
        max_rotated_files: DEFAULT_ROTATED_FILES,
        queue_capacity: DEFAULT_MAX_QUEUED_EVENTS,
    }
}

impl EventLog {
    /// Opens the file and starts its writer; with no spec, nothing is recorded.
    ///
    /// # Errors
    /// A file that cannot be opened, or that another process writes.
    pub(super) fn open(spec: Option<EventLogConfig>) -> Result<EventLog, StartError> {
        let Some(spec) = spec else {
            return Ok(EventLog { recorder: Recorder::disabled(), writer: None });
        };
        let path = PathBuf::from(&spec.path);
        let (recorder, writer) =
            writer::start_writer(spec).map_err(|source| StartError::EventLog { path, source })?;
        Ok(EventLog { recorder, writer: Some(writer) })
    }

    /// What records events.
    pub(super) fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Writes what is queued, waits so long at most for the writer's end and logs the counts.
    pub(super) fn close(self, max_wait: Duration) {
        let Some(writer) = self.writer else { return };
        self.recorder.close();
        let is_complete = writer.finish(max_wait);
        let RecordCounts { written, dropped, failed: lost } = self.recorder.counts();
        info!(written, dropped, lost, is_complete, "event log closed");
    }
}
