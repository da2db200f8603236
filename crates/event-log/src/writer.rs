//! Starts the event log: creates the recorder, which takes the events, and the thread that writes them to the
//! log file.
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SendError, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use crate::batch_writer::BatchWriter;
pub use crate::config::EventLogConfig;
pub use crate::error::EventLogError;
use crate::file_system::{FileSystem, SystemFiles};
use crate::log_file::LogFile;
pub use crate::log_file::{STANDARD_ERROR_PATH, rotated_path};
use crate::recorder::SharedCounts;
pub use crate::recorder::{RecordCounts, Recorder};

/// How long [`start_writer`] waits at most until the log file is opened. The wait is limited, because opening
/// a file on a hanging disk may take forever.
const MAX_OPEN_WAIT: Duration = Duration::from_secs(1);

/// Handle to the thread that writes the log file. The thread ends once the recorder is closed, or once the
/// recorder and all its clones are dropped.
pub struct WriterHandle {
    /// A channel that carries no messages. It is disconnected when the writing thread ends.
    ended: Receiver<()>,
}

impl WriterHandle {
    /// Waits until all queued records are written or lost, but at most `max_wait`, because a disk may hang.
    /// Returns whether no queued record is left. Must be called after [`Recorder::close`].
    pub fn finish(self, max_wait: Duration) -> bool {
        matches!(self.ended.recv_timeout(max_wait), Err(RecvTimeoutError::Disconnected))
    }
}

/// Starts the thread that opens the log file and writes records to it. The returned [`WriterHandle`] tells
/// when the thread ends.
///
/// A disk that is full, fails or hangs does not prevent the start; the thread keeps trying to open the file.
///
/// # Errors
/// Fails if the thread cannot be started. Also fails if the thread finds within a second that another process
/// has locked the log file, or that the file cannot be opened. A full or failing disk is not such an error.
/// An error that is found after the second is only logged.
pub fn start_writer(config: EventLogConfig) -> Result<(Recorder, WriterHandle), EventLogError> {
    start_writer_on(Box::new(SystemFiles), config)
}

pub(crate) fn start_writer_on(
    files: Box<dyn FileSystem>,
    config: EventLogConfig,
) -> Result<(Recorder, WriterHandle), EventLogError> {
    let counts = Arc::new(SharedCounts::default());
    let (recorder, queue) = Recorder::new(config.queue_capacity, Arc::clone(&counts));
    let (end_sender, ended) = sync_channel::<()>(0);
    let (opened_sender, opened) = sync_channel(1);
    thread::Builder::new().name("records".into()).spawn(move || {
        match open_log_file(&*files, &config) {
            Ok(file) => {
                let _ = opened_sender.send(Ok(()));
                BatchWriter::new(config, files, file, counts).run(&queue);
            }
            Err(error) => report_unusable_file(&opened_sender, error),
        }
        drop(end_sender);
    })?;
    match opened.recv_timeout(MAX_OPEN_WAIT) {
        Ok(result) => result?,
        Err(_) => tracing::warn!("the event log's disk does not answer yet"),
    }
    Ok((recorder, WriterHandle { ended }))
}

/// Opens the log file. Returns `None` if the disk is full or fails.
fn open_log_file(files: &dyn FileSystem, config: &EventLogConfig) -> Result<Option<LogFile>, EventLogError> {
    match LogFile::open(files, &config.path) {
        Err(error) if error.is_storage_failure() => {
            tracing::warn!(%error, file = %config.path.display(), "event log not open yet");
            Ok(None)
        }
        opened => opened.map(Some),
    }
}

/// Sends the error to the caller of [`start_writer`]. If the caller no longer waits, the error is logged
/// instead.
fn report_unusable_file(opened_sender: &SyncSender<Result<(), EventLogError>>, error: EventLogError) {
    if let Err(SendError(Err(error))) = opened_sender.send(Err(error)) {
        tracing::warn!(%error, "event log not open, and no event is written");
    }
}
