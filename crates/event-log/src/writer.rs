//! Starts the event log: a recorder for the serving path, and the thread that writes what it records.
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, sync_channel};
use std::thread;
use std::time::Duration;

use crate::batch_writer::BatchWriter;
pub use crate::config::EventLogConfig;
pub use crate::error::EventLogError;
use crate::file_system::{FileSystem, SystemFiles};
use crate::log_file::LogFile;
pub use crate::log_file::{STANDARD_ERROR, rotated_path};
use crate::recorder::SharedCounts;
pub use crate::recorder::{RecordCounts, Recorder};

/// The thread that writes. It ends once the recorder is closed, or dropped with all its clones.
pub struct Writer {
    /// Disconnected when the thread ends.
    ended: Receiver<()>,
}

impl Writer {
    /// Waits until all that was queued is written, so long at most, as a disk may hang; whether it was. To be called
    /// once the recorder is closed.
    pub fn finish(self, max_wait: Duration) -> bool {
        matches!(self.ended.recv_timeout(max_wait), Err(RecvTimeoutError::Disconnected))
    }
}

/// Opens the log file and starts the thread that writes to it; [`Writer`] says when it ends. Where the disk is full or
/// fails, the thread starts all the same and tries to open the file again.
///
/// # Errors
/// A file that cannot be opened for another reason, or that another process writes.
pub fn start_writer(config: EventLogConfig) -> Result<(Recorder, Writer), EventLogError> {
    start_writer_on(Box::new(SystemFiles), config)
}

pub(crate) fn start_writer_on(
    files: Box<dyn FileSystem>,
    config: EventLogConfig,
) -> Result<(Recorder, Writer), EventLogError> {
    let file = match LogFile::open(&*files, &config.path) {
        Err(error) if error.is_storage_failure() => {
            tracing::warn!(%error, file = %config.path.display(), "event log not open yet");
            None
        }
        opened => Some(opened?),
    };
    let counts = Arc::new(SharedCounts::default());
    let (recorder, queue) = Recorder::new(config.queue_capacity, Arc::clone(&counts));
    let batch_writer = BatchWriter::new(config, files, file, counts);
    let (end_sender, ended) = sync_channel::<()>(0);
    thread::Builder::new().name("records".into()).spawn(move || {
        batch_writer.run(&queue);
        drop(end_sender);
    })?;
    Ok((recorder, Writer { ended }))
}
