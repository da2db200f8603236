//! Model of one worker: slots, cores, a bounded queue, slow start and faults.
//!
//! Running jobs share the cores when they use more slots than there are cores. A job of `k` slots uses `k`
//! cores; alone and after slow start, it takes `work / speed` seconds.
mod job;
mod lifecycle;
mod queue;
mod reports;
mod slow_start;

use std::collections::VecDeque;

use copperspread_dispatcher::{LoadReport, Micros, SECOND};

use self::job::RunningJob;
pub use self::job::{OfferResult, OfferedJob, ProcessState, TrueState, WorkerEffect, WorkerSpec};

/// Interval at which the rate of running jobs is recomputed during slow start.
const SLOW_START_STEP: Micros = SECOND / 4;

/// The state of a worker. The simulation or emulation that owns the worker passes the current time to its
/// methods.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Properties of the worker that do not change during a run.
    pub spec: WorkerSpec,
    /// Whether the worker's process is up, draining or stopped, or its machine unreachable.
    pub process: ProcessState,
    /// Start time of the process; `None` if slow start was over before the run began.
    pub started_at: Option<Micros>,
    /// Factor by which jobs run slower than usual, because of a `Slow` fault.
    pub slowdown: f64,
    /// Whether running jobs make no progress, because of a `Stuck` fault.
    pub is_stuck: bool,
    /// Index of the class for whose jobs the worker sends no callbacks and no results, because of a `Silent`
    /// fault.
    pub silent_class: Option<u32>,
    /// Whether the worker refuses connections although it is in the endpoint list.
    pub is_refusing: bool,
    running: Vec<RunningJob>,
    waiting: VecDeque<OfferedJob>,
    used_slots: f64,
    used_memory: f64,
    /// Time up to which the progress of the running jobs is subtracted from their remaining work.
    accounted_until: Micros,
    /// Jobs that arrived at the worker during slow start within the overload window: the arrival time and the
    /// load, in core-seconds, of each.
    slow_start_load: VecDeque<(Micros, f64)>,
    /// Version of the set of running jobs and their rate, incremented by each change. A wake (the event that
    /// advances the worker's jobs) is ignored if the version has changed since the wake was scheduled.
    pub wake_version: u64,
    /// Completed work, in core-seconds at speed 1.
    pub completed_work: f64,
    /// Last load report sent with responses, with the time at which the report was made.
    last_report: (Micros, LoadReport),
    /// Load reports for answers to load queries, with the times at which the reports were made, newest last.
    refreshed_reports: VecDeque<(Micros, LoadReport)>,
    /// Number of jobs and queued load queries offered since the last refresh of the reports for load queries.
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
