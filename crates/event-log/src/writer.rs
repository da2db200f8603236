//! Starts the event log: a recorder for the serving path, and the thread that writes what it records.
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, sync_channel};
use std::thread;
use std::time::Duration;

use crate::batch_writer::BatchWriter;
pub use crate::config::EventLogConfig;
pub use crate::error::EventLogError;
use crate::log_file::LogFile;
pub use crate::log_file::{STANDARD_ERROR, rotated_path};
use crate::recorder::SharedCounts;
pub use crate::recorder::{RecordCounts, Recorder};

/// Longest wait at shutdown for what is queued: a disk may hang.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// The thread that writes. It ends once the recorder is closed, or dropped with all its clones.
pub struct Writer {
    /// Disconnected when the thread ends.
    ended: Receiver<()>,
}

impl Writer {
    /// Waits a second at most until all that was queued is written; whether it was. To be called once the recorder is
    /// closed.
    pub fn finish(self) -> bool {
        matches!(self.ended.recv_timeout(SHUTDOWN_TIMEOUT), Err(RecvTimeoutError::Disconnected))
    }
}

/// Opens the log file and starts the thread that writes to it; [`Writer`] says when it ends.
///
/// # Errors
/// A file that cannot be opened for writing, or that another process writes.
pub fn start_writer(config: EventLogConfig) -> Result<(Recorder, Writer), EventLogError> {
    let file = LogFile::open(&config.path)?;
    let counts = Arc::new(SharedCounts::default());
    let (recorder, queue) = Recorder::new(config.queue_capacity, Arc::clone(&counts));
    let batch_writer = BatchWriter::new(config, file, counts);
    let (end_sender, ended) = sync_channel::<()>(0);
    thread::Builder::new().name("records".into()).spawn(move || {
        batch_writer.run(&queue);
        drop(end_sender);
    })?;
    Ok((recorder, Writer { ended }))
}
