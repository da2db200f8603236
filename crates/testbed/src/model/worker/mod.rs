//! Model of one worker: slots, cores, a bounded queue, slow start and faults.
//!
//! Running jobs share the cores if they use more slots than there are cores. A job of `k` slots uses `k`
//! cores. The job takes `work / speed` seconds if it need not share cores, the worker is past its slow start
//! and no fault affects the worker.
mod job;
mod lifecycle;
mod queue;
mod reports;
mod slow_start;

use std::collections::VecDeque;

use copperspread_dispatcher::{LoadReport, Micros, SECOND};

use self::job::RunningJob;
pub use self::job::{OfferResult, OfferedJob, ProcessState, TrueState, WorkerEffect, WorkerSpec};

/// Interval at which the speed of running jobs is recomputed during slow start, in microseconds.
const SLOW_START_STEP: Micros = SECOND / 4;

/// A worker of a run, with its jobs and load reports. The simulation or emulation that owns the worker passes
/// the current time to its methods.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Properties of the worker that do not change during a run.
    pub spec: WorkerSpec,
    /// Whether the worker's process is up, draining or stopped, or the worker's machine is unreachable.
    pub process: ProcessState,
    /// Time at which the worker's process started. `None` if the worker was past its slow start when the run
    /// began.
    pub started_at: Option<Micros>,
    /// Factor by which a `Slow` fault slows the worker's jobs down; 1 without such a fault.
    pub slowdown: f64,
    /// Whether a `Stuck` fault keeps the worker's running jobs from making progress.
    pub is_stuck: bool,
    /// Index of the job class that a `Silent` fault affects. The worker sends no callbacks and no results for
    /// jobs of this class. `None` without such a fault.
    pub silent_class: Option<u32>,
    /// Whether a `Refusing` fault makes the worker refuse connections. The worker remains in the endpoint
    /// list.
    pub is_refusing: bool,
    running: Vec<RunningJob>,
    waiting: VecDeque<OfferedJob>,
    used_slots: f64,
    used_memory: f64,
    /// Time until which the progress of the running jobs has been subtracted from their remaining work.
    accounted_until: Micros,
    /// The jobs that arrived at the worker during slow start, each with its arrival time and its load in
    /// core-seconds. Load queries are included if the scenario makes them wait in the worker's queue like
    /// jobs. Entries older than [`WorkerSpec::overload_window`] are removed when the next job arrives.
    slow_start_load: VecDeque<(Micros, f64)>,
    /// Number that is incremented when the set of running jobs or their speed changes. A wake is the event
    /// that advances the worker's jobs. A wake is ignored if this number has changed since the wake was
    /// scheduled.
    pub wake_version: u64,
    /// Work that the worker has completed, in core-seconds at speed 1.
    pub completed_work: f64,
    /// The load report that the worker last sent with a response, and the time at which it was made.
    last_report: (Micros, LoadReport),
    /// The load reports with which the worker answers load queries, each with the time at which it was made.
    /// The newest report is last.
    refreshed_reports: VecDeque<(Micros, LoadReport)>,
    /// Number of jobs that were offered to the worker since it last made a new load report for load queries.
    /// A job also counts if the worker refused the job because the queue was full. A load query counts as a
    /// job if the scenario makes load queries wait in the worker's queue.
    offered_since_refresh: u32,
}

impl Worker {
    /// Creates an idle worker that is past its slow start.
    pub fn new(spec: WorkerSpec) -> Worker {
        let idle_report = LoadReport {
            free_slots: Some(spec.slots),
            queue: Some(0.0),
            utilization: Some(0.0),
            ..LoadReport::default()
        };
        Worker {
            spec,
            process: ProcessState::Up,
            started_at: None,
            slowdown: 1.0,
            is_stuck: false,
            silent_class: None,
            is_refusing: false,
            running: Vec::new(),
            waiting: VecDeque::new(),
            used_slots: 0.0,
            used_memory: 0.0,
            accounted_until: 0,
            slow_start_load: VecDeque::new(),
            wake_version: 0,
            completed_work: 0.0,
            last_report: (0, idle_report),
            refreshed_reports: VecDeque::new(),
            offered_since_refresh: 0,
        }
    }
}
