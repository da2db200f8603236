//! The types of the worker model: what a worker is made of, what it is offered, and what happens to it.
use copperspread_dispatcher::Micros;

use crate::scenario::QueueOrder;

/// What a worker is made of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerSpec {
    /// Cores.
    pub cores: f64,
    /// Slots for running jobs.
    pub slots: f64,
    /// Speed of a core: seconds of work done per second.
    pub speed: f64,
    /// The most jobs that wait.
    pub max_waiting: usize,
    /// The order in which waiting jobs start.
    pub order: QueueOrder,
    /// Memory, in megabytes.
    pub memory: f64,
    /// The fraction of its capacity that it has when it starts.
    pub slow_start_fraction: f64,
    /// The time from its start until it has its full capacity.
    pub slow_start_duration: Micros,
    /// During slow start it fails under more load than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over this window; `None` if it never fails so.
    pub overload_window: Option<Micros>,
}

/// A job as it is offered to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OfferedJob {
    /// The attempt's or load query's number, which is never used twice.
    pub attempt: u64,
    /// The job's class.
    pub class: u32,
    /// Its work: seconds on a core of speed 1.
    pub work: f64,
    /// Slots while it runs.
    pub slots: f64,
    /// Memory while it runs, in megabytes.
    pub memory: f64,
    /// Its priority weight, for workers that start jobs in that order.
    pub weight: f64,
}

impl OfferedJob {
    /// A load query that waits like a job of one slot.
    pub fn load_query(attempt: u64, work: f64) -> OfferedJob {
        // Of no class, so that a fault that silences a class does not meet it.
        OfferedJob { attempt, class: u32::MAX, work, slots: 1.0, memory: 0.0, weight: 0.0 }
    }
}

/// What a worker does with an offered job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// It takes the job; the effects say whether the job has started.
    Accepted,
    /// It has no capacity; the job never runs here.
    QueueFull,
    /// No process accepts the connection.
    ConnectionRefused,
    /// Nothing answers.
    Unreachable,
}

/// What happened at a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerEffect {
    /// A job has begun to run.
    Started(u64),
    /// A job is done.
    Finished {
        /// The job's attempt.
        attempt: u64,
        /// Whether the worker reports it to the scheduler.
        is_reported: bool,
    },
    /// A job was lost with the process.
    Lost(u64),
    /// A waiting job is returned unstarted.
    ReturnedUnstarted(u64),
    /// The process failed under too much load during slow start.
    Overloaded,
}

/// Whether there is a process, and what it accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It accepts jobs.
    Up,
    /// It finishes the jobs that it has and accepts no others.
    Draining,
    /// There is no process.
    Stopped,
    /// The machine is unreachable.
    Unreachable,
}

/// The true state of a worker, which no real scheduler knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueState {
    /// Seconds until it would start a job that arrives now.
    pub wait: f64,
    /// Seconds of a job's work that it does per second.
    pub rate: f64,
    /// Whether it accepts jobs and makes progress.
    pub accepts_jobs: bool,
}

/// A job that runs, with the work that was left when progress was last accounted.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningJob {
    pub(super) job: OfferedJob,
    pub(super) remaining_work: f64,
}
