//! Types of the worker model: worker properties, offered jobs, effects and states.
use copperspread_dispatcher::Micros;

use crate::scenario::QueueOrder;

/// Properties of a worker that do not change during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerSpec {
    /// Number of cores of the worker, which running jobs share when they use more slots than there are cores.
    pub cores: f64,
    /// Number of slots of the worker, which running jobs occupy.
    pub slots: f64,
    /// Speed of a core, in seconds of work done per second.
    pub speed: f64,
    /// Maximum number of jobs that wait in the worker's queue.
    pub max_waiting: usize,
    /// Order in which waiting jobs start.
    pub order: QueueOrder,
    /// Memory for running jobs, in the scenario's unit of memory.
    pub memory: f64,
    /// Fraction of its full capacity that the worker has when a process starts.
    pub slow_start_fraction: f64,
    /// Time from the start of a process until the worker has its full capacity.
    pub slow_start_duration: Micros,
    /// Multiple of the current capacity above which the offered load makes the worker fail during slow start.
    pub overload_multiple: f64,
    /// Window over which load is summed for `overload_multiple`; `None` if the worker never fails from
    /// overload.
    pub overload_window: Option<Micros>,
}

/// A job as it is offered to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OfferedJob {
    /// ID of the attempt or load query, unique within a run.
    pub attempt: u64,
    /// Index of the job's class in the scenario.
    pub class: u32,
    /// Work of the job, in seconds on a core of speed 1.
    pub work: f64,
    /// Slots that the job occupies while it runs.
    pub slots: f64,
    /// Memory that the job uses while it runs, in the scenario's unit of memory.
    pub memory: f64,
    /// Priority weight of the job, used by workers with [`QueueOrder::Priority`].
    pub weight: f64,
}

impl OfferedJob {
    /// Creates a load query that is queued like a job of one slot.
    pub fn load_query(attempt: u64, work: f64) -> OfferedJob {
        // The class matches none of the scenario's, so that a `silent` fault does not affect load queries.
        OfferedJob { attempt, class: u32::MAX, work, slots: 1.0, memory: 0.0, weight: 0.0 }
    }
}

/// The response of a worker to an offered job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The worker accepts the job; the effects tell whether the job has started.
    Accepted,
    /// The queue is full or the worker drains, so the worker does not accept the job.
    QueueFull,
    /// The worker's process is stopped, or a fault makes the worker refuse connections.
    ConnectionRefused,
    /// The worker's machine does not respond.
    Unreachable,
}

/// An effect of an operation on a worker, which the simulation or emulation carries out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerEffect {
    /// A job or queued load query, given by its ID, has started.
    Started(u64),
    /// A job or queued load query has finished.
    Finished {
        /// ID of the attempt or load query.
        attempt: u64,
        /// Whether the worker reports the end to the scheduler; false for a job of the class that a `Silent`
        /// fault affects.
        is_reported: bool,
    },
    /// A job or queued load query, given by its ID, was lost with the process.
    Lost(u64),
    /// A waiting job or load query, given by its ID, is returned unstarted.
    ReturnedUnstarted(u64),
    /// The process failed from overload during slow start.
    Overloaded,
}

/// The state of a worker's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process accepts jobs.
    Up,
    /// The process finishes its jobs and accepts no new jobs.
    Draining,
    /// The worker has no process, and its machine refuses connections.
    Stopped,
    /// The machine does not respond: its jobs are lost without a report, and connections time out.
    Unreachable,
}

/// The true state of a worker, which a real scheduler cannot know.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueState {
    /// Time until a job that arrives now would start, in seconds.
    pub wait: f64,
    /// Rate at which a running job progresses, in seconds of work done per second.
    pub rate: f64,
    /// Whether the worker accepts jobs and makes progress.
    pub accepts_jobs: bool,
}

/// A running job and the work that remained when its progress was last accounted.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningJob {
    pub(super) job: OfferedJob,
    pub(super) remaining_work: f64,
}
