//! Queues events from the serving path without waiting.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::record::{EventKind, FORMAT_VERSION, Record};

/// Counts of the records of a run so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Records that were written to the file.
    pub written: u64,
    /// Records that were dropped because the queue was full or the writing thread had ended.
    pub dropped: u64,
    /// Records that were lost because the file could not be written.
    pub lost: u64,
}

/// The shared counters behind [`RecordCounts`]. The recorder counts dropped records, the batch writer the
/// others.
#[derive(Default)]
pub(crate) struct SharedCounts {
    written: AtomicU64,
    dropped: AtomicU64,
    lost: AtomicU64,
}

impl SharedCounts {
    pub(crate) fn add_written(&self, count: u64) {
        self.written.fetch_add(count, Ordering::Relaxed);
    }

    pub(crate) fn add_lost(&self, count: u64) {
        self.lost.fetch_add(count, Ordering::Relaxed);
    }

    fn add_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    fn load(&self) -> RecordCounts {
        RecordCounts {
            written: self.written.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
            lost: self.lost.load(Ordering::Relaxed),
        }
    }
}

struct Queue {
    next_sequence: u64,
    /// The sender of the queue to the batch writer; `None` once the recorder is closed.
    sender: Option<SyncSender<Record>>,
}

/// The state of one run of the program, shared by all clones of its recorder.
struct Run {
    id: String,
    started: Instant,
    /// The next sequence number and the queue are under one lock, so that records are queued in the order of
    /// their sequence numbers.
    queue: Mutex<Queue>,
    counts: Arc<SharedCounts>,
}

/// Records events without waiting. Clones record to the same run.
#[derive(Clone, Default)]
pub struct Recorder(Option<Arc<Run>>);

impl Recorder {
    /// A recorder that discards all events.
    pub fn disabled() -> Recorder {
        Recorder(None)
    }

    /// A recorder of a new run with a random id, and the receiver of its queue for the batch writer.
    pub(crate) fn new(queue_capacity: usize, counts: Arc<SharedCounts>) -> (Recorder, Receiver<Record>) {
        let (sender, receiver) = sync_channel(queue_capacity.max(1));
        let run = Run {
            id: format!("{:016x}", fastrand::u64(..)),
            started: Instant::now(),
            queue: Mutex::new(Queue { next_sequence: 0, sender: Some(sender) }),
            counts,
        };
        (Recorder(Some(Arc::new(run))), receiver)
    }

    /// Whether events are recorded; if not, callers need not create them.
    pub fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// Queues an event to be written. If the queue is full, the event is dropped and counted; after
    /// [`Recorder::close`], it is ignored.
    pub fn record(&self, event: EventKind) {
        let Some(run) = &self.0 else { return };
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut queue = run.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let sequence = queue.next_sequence;
        let Some(sender) = &queue.sender else { return };
        let record = Record {
            format_version: FORMAT_VERSION,
            run_id: run.id.clone(),
            sequence,
            unix_us: unix_time.as_micros() as u64,
            mono_us: run.started.elapsed().as_micros() as u64,
            event,
        };
        let is_dropped = sender.try_send(record).is_err();
        queue.next_sequence += 1;
        if is_dropped {
            run.counts.add_dropped();
        }
    }

    /// Stops recording for all clones. Records that are queued are still written.
    pub fn close(&self) {
        if let Some(run) = &self.0 {
            run.queue.lock().unwrap_or_else(PoisonError::into_inner).sender = None;
        }
    }

    /// Counts of the run's records so far; all 0 for a disabled recorder.
    pub fn counts(&self) -> RecordCounts {
        self.0.as_ref().map_or_else(RecordCounts::default, |run| run.counts.load())
    }
}
