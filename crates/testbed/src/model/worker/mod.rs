//! Models one worker: slots, cores, a bounded queue, slow start, and the faults that it meets.
//!
//! Running jobs share the cores when they use more slots than there are cores. A job of `k` slots does `k`
//! cores' work; alone, after slow start, it takes `work / speed`.
mod job;
mod lifecycle;
mod queue;
mod reports;
mod slow_start;

use std::collections::VecDeque;

use copperspread_dispatcher::{LoadReport, Micros, SECOND};

use self::job::RunningJob;
pub use self::job::{OfferResult, OfferedJob, ProcessState, TrueState, WorkerEffect, WorkerSpec};

/// During slow start the running jobs' rate is computed anew this often.
const SLOW_START_STEP: Micros = SECOND / 4;

/// A worker's state. Its drive owns it and passes the time in.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it is made of.
    pub spec: WorkerSpec,
    /// Whether there is a process, and what it accepts.
    pub process: ProcessState,
    /// The start of its process; `None` if that was long ago.
    pub started_at: Option<Micros>,
    /// It runs this many times slower.
    pub slowdown: f64,
    /// Its jobs make no progress.
    pub is_stuck: bool,
    /// It reports nothing of this class.
    pub silent_class: Option<u32>,
    /// It is listed and refuses connections.
    pub is_refusing: bool,
    running: Vec<RunningJob>,
    waiting: VecDeque<OfferedJob>,
    used_slots: f64,
    used_memory: f64,
    /// Up to when the running jobs' progress is accounted.
    accounted_until: Micros,
    /// Load that it got lately during slow start, in core-seconds.
    slow_start_load: VecDeque<(Micros, f64)>,
    /// Changes with each change of the running jobs or their rate: wakes scheduled before are void.
    pub wake_epoch: u64,
    /// Core-seconds done.
    pub completed_work: f64,
    /// The report that comes with responses, and when it was made.
    last_report: (Micros, LoadReport),
    /// The figures that load queries get, with their times, the newest last.
    refreshed_reports: VecDeque<(Micros, LoadReport)>,
    /// Jobs offered since the last refresh of those figures.
    offered_since_refresh: u32,
}

impl Worker {
    /// An idle worker whose slow start is long over.
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
            wake_epoch: 0,
            completed_work: 0.0,
            last_report: (0, idle_report),
            refreshed_reports: VecDeque::new(),
            offered_since_refresh: 0,
        }
    }
}
