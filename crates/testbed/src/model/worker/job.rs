//! Types of the worker model: a worker's properties and states, the jobs that are offered to a worker, and
//! the effects of operations on a worker.
use copperspread_dispatcher::Micros;

use crate::scenario::QueueOrder;

/// Properties of a worker that do not change during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerSpec {
    /// Number of cores of the worker. Running jobs share the cores if they use more slots than there are
    /// cores.
    pub cores: f64,
    /// Number of slots of the worker. Each running job occupies the slots that it needs.
    pub slots: f64,
    /// Speed of each core of the worker, in seconds of work done per second.
    pub speed: f64,
    /// Number of waiting jobs from which the worker's queue counts as full. The worker then accepts only a
    /// job for which enough slots and memory are free. If no job runs, the worker accepts a job of any size,
    /// because a job that is too large for the worker runs alone.
    pub max_waiting: usize,
    /// Order in which the worker starts the jobs in its queue.
    pub order: QueueOrder,
    /// Memory that the worker has for running jobs, in the unit that the scenario uses for memory.
    pub memory: f64,
    /// Share of its full capacity that the worker has when its process starts, from 0 to 1.
    pub slow_start_fraction: f64,
    /// Time from the start of the worker's process until the worker has its full capacity, in microseconds.
    pub slow_start_duration: Micros,
    /// Factor of the worker's overload limit. During slow start, the worker fails if its load within
    /// `overload_window` exceeds the limit. The limit is this factor times the work that the worker's current
    /// capacity can do within `overload_window`.
    pub overload_multiple: f64,
    /// Length of the window over which the worker's load is summed for the overload limit, in microseconds.
    /// `None` if the worker never fails from overload.
    pub overload_window: Option<Micros>,
}

/// A job or load query that is offered to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OfferedJob {
    /// ID of the attempt or load query that is offered, unique within a run.
    pub attempt: u64,
    /// Index of the job's class in the scenario's list of classes.
    pub class: u32,
    /// Work of the job, in seconds on a core of speed 1.
    pub work: f64,
    /// Number of slots that the job occupies while it runs.
    pub slots: f64,
    /// Memory that the job uses while it runs, in the unit that the scenario uses for memory.
    pub memory: f64,
    /// Priority weight of the job. A worker with the queue order [`QueueOrder::Priority`] starts the job with
    /// the highest weight first.
    pub weight: f64,
}

impl OfferedJob {
    /// Creates a load query that waits and runs at a worker like a job of one slot.
    pub fn load_query(attempt: u64, work: f64) -> OfferedJob {
        // A load query belongs to no class, so it gets an index that no class of the scenario has. Otherwise
        // a `silent` fault, which stops a worker's callbacks for one class, could affect load queries.
        OfferedJob { attempt, class: u32::MAX, work, slots: 1.0, memory: 0.0, weight: 0.0 }
    }
}

/// How a worker answers when a job is offered to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The worker accepts the job. If the job starts at once, `Worker::offer` also reports
    /// [`WorkerEffect::Started`].
    Accepted,
    /// The worker does not accept the job, because its queue is full or because it drains.
    QueueFull,
    /// The worker refuses the connection, because its process is stopped or because of a fault.
    ConnectionRefused,
    /// The worker's machine does not respond, so the job does not reach the worker.
    Unreachable,
}

/// Something that an operation on a worker causes, such as the start of a job. The simulation or emulation
/// carries out what follows from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerEffect {
    /// The job or load query that was offered to the worker under this ID has started.
    Started(u64),
    /// A job or load query that was offered to the worker has finished.
    Finished {
        /// ID of the attempt or load query that has finished.
        attempt: u64,
        /// Whether the worker reports the end of the job to the scheduler. The worker does not if a `Silent`
        /// fault affects the job's class.
        is_reported: bool,
    },
    /// The job or load query that was offered to the worker under this ID was lost when the worker's process
    /// ended.
    Lost(u64),
    /// The worker returned the waiting job or load query with this ID without starting it.
    ReturnedUnstarted(u64),
    /// The worker's process failed from overload during slow start.
    Overloaded,
}

/// Whether a worker's process runs, and whether it accepts jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The worker's process accepts jobs.
    Up,
    /// The worker's process finishes the jobs that it has, and accepts no new jobs.
    Draining,
    /// The worker has no process. Its machine refuses connections.
    Stopped,
    /// The worker's machine does not respond. The worker's jobs are lost without a report, and connections to
    /// it time out.
    Unreachable,
}

/// The true state of a worker, which a real scheduler cannot know.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueState {
    /// Estimated seconds until a job that arrives at the worker now would start. The value is 0 if no job
    /// waits and slots and cores are free. Otherwise it is the remaining work of all jobs at the worker,
    /// divided by the work that the worker can do per second on all its usable cores.
    pub wait: f64,
    /// Speed at which a job progresses on a core of the worker that it does not share with other jobs, in
    /// seconds of work done per second.
    pub rate: f64,
    /// Whether the worker accepts jobs and its running jobs make progress.
    pub accepts_jobs: bool,
}

/// A running job and its remaining work. The remaining work is updated only when the worker calls
/// `account_progress`.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningJob {
    pub(super) job: OfferedJob,
    pub(super) remaining_work: f64,
}
