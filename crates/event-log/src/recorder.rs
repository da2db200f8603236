//! Takes events from the code that serves requests and queues them for the writing thread, without waiting
//! for space in the queue.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::record::{EventKind, FORMAT_VERSION, Record};

/// The numbers of records of a run so far that were written, dropped and lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Number of records that were written to the log file.
    pub written: u64,
    /// Number of records that were dropped because the queue was full or the writing thread had ended.
    pub dropped: u64,
    /// Number of records that were lost because the log file could not be written.
    pub lost: u64,
}

/// The counters from which [`RecordCounts`] is read. The recorder counts the dropped records; the batch
/// writer counts the written and the lost records.
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
    /// The sender that passes records to the batch writer; `None` once the recorder is closed.
    sender: Option<SyncSender<Record>>,
}

/// The state of one run of the scheduler, which all clones of the recorder share.
struct Run {
    id: String,
    started: Instant,
    /// The next sequence number and the queue, under one lock. With two locks, records could be queued in
    /// another order than that of their sequence numbers.
    queue: Mutex<Queue>,
    counts: Arc<SharedCounts>,
}

/// Records events in the event log, without waiting for space in the queue. All clones of a recorder record
/// events of the same run.
#[derive(Clone, Default)]
pub struct Recorder(Option<Arc<Run>>);

impl Recorder {
    /// Creates a recorder that discards all events.
    pub fn disabled() -> Recorder {
        Recorder(None)
    }

    /// Creates a recorder of a new run with a random id. Also returns the receiver from which the batch
    /// writer takes the records.
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

    /// Whether this recorder records events. If not, callers need not create events.
    pub fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// Queues an event to be written to the log file. If the queue is full, the event is dropped and counted.
    /// After [`Recorder::close`], the event is ignored.
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

    /// Stops recording for all clones of this recorder. Records that are already queued are still written.
    pub fn close(&self) {
        if let Some(run) = &self.0 {
            run.queue.lock().unwrap_or_else(PoisonError::into_inner).sender = None;
        }
    }

    /// Returns how many records of the run have been written, dropped and lost so far; all 0 for a disabled
    /// recorder.
    pub fn counts(&self) -> RecordCounts {
        self.0.as_ref().map_or_else(RecordCounts::default, |run| run.counts.load())
    }
}
