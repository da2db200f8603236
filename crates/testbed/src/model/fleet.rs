//! Generates a scenario's workers and fault times from a seed.
//!
//! The simulation and the emulation both use this module, so that the same seed gives both the same workers
//! and faults.
use copperspread_dispatcher::{Micros, WorkerId};
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::model::random::{RandomStream, StreamPurpose, random_stream};
use crate::model::scheduler_id::SchedulerId;
use crate::model::worker::{ProcessState, Worker, WorkerSpec};
use crate::rule_checker::SlowStartBudget;
use crate::scenario::{Fault, Scenario, SlowStart, WorkerGroup, micros_from_seconds};

/// The start or the end of a fault. A fault with several targets has a start and an end for each target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultTransition {
    /// Time at which the fault starts or ends, in microseconds from the start of the run.
    pub at: Micros,
    /// Index of the fault in the scenario's list of faults.
    pub fault: usize,
    /// Worker or scheduler that the fault affects. `None` if the fault affects arrivals, load reports or
    /// discovery. Also `None` if the zone of the fault contains no worker or scheduler that the fault can
    /// affect.
    pub target: Option<FaultTarget>,
    /// Whether the transition is the start of the fault (`true`) or its end (`false`).
    pub is_start: bool,
}

/// A worker or a scheduler that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// The fault affects the worker with this ID. Depending on the kind of fault, the worker's process,
    /// machine or connections are affected.
    Worker(WorkerId),
    /// The fault affects the process of the scheduler with this ID.
    Scheduler(SchedulerId),
}

/// The workers of a run, and the starts and ends of the run's faults.
pub struct Fleet {
    /// The workers, each with the index of its zone. The position in the list is the worker's number.
    pub workers: Vec<(Worker, u32)>,
    /// For each worker, the index of its group in the scenario's list of worker groups. The position in the
    /// list is the worker's number.
    pub kinds: Vec<u32>,
    /// For each worker, the number of its cell. A cell is a group of workers of one zone; see
    /// [`Scenario::cells`]. The position in the list is the worker's number.
    pub cells: Vec<u32>,
    /// Workers that no longer exist, but that the schedulers' cached endpoint list still contains.
    pub missing_workers: Vec<WorkerId>,
    /// The start and the end of each fault, for each of its targets. The list is in the order of the
    /// scenario's faults and not sorted by time.
    pub fault_transitions: Vec<FaultTransition>,
}

impl Fleet {
    /// Generates the workers and the starts and ends of the faults for a scenario. The same seed gives the
    /// same result.
    pub fn generate(scenario: &Scenario, seed: u64) -> Fleet {
        let (mut workers, kinds) = draw_workers(scenario, &mut random_stream(seed, StreamPurpose::Fleet));
        let mut random = random_stream(seed, StreamPurpose::Faults);
        let missing_workers = draw_missing_workers(scenario, workers.len(), &mut random);
        let fault_transitions = draw_fault_transitions(scenario, &workers, &mut random);
        for &worker in &missing_workers {
            workers[worker.0 as usize].0.process = ProcessState::Stopped;
        }
        let cells = worker_ids(workers.len()).map(|worker| cell(scenario, worker)).collect();
        Fleet { workers, kinds, cells, missing_workers, fault_transitions }
    }
}

/// Returns the worker IDs from 0 to `count - 1`.
pub fn worker_ids(count: usize) -> impl Iterator<Item = WorkerId> {
    (0..count as u32).map(WorkerId)
}

/// Returns the number of a worker's cell, which is a group of workers of one zone. The workers of each zone
/// are assigned to the zone's cells in turn.
fn cell(scenario: &Scenario, worker: WorkerId) -> u32 {
    let (zones, cells) = (scenario.zones, scenario.cells);
    worker.0 % zones + zones * (worker.0 / zones % cells)
}

fn draw_workers(scenario: &Scenario, random: &mut RandomStream) -> (Vec<(Worker, u32)>, Vec<u32>) {
    let (mut workers, mut kinds) = (Vec::new(), Vec::new());
    for (kind, group) in scenario.workers.iter().enumerate() {
        for _ in 0..group.count {
            let zone = workers.len() as u32 % scenario.zones;
            workers.push((Worker::new(draw_spec(group, &scenario.slow_start, random)), zone));
            kinds.push(kind as u32);
        }
    }
    (workers, kinds)
}

fn draw_spec(group: &WorkerGroup, slow_start: &SlowStart, random: &mut RandomStream) -> WorkerSpec {
    let [slowest, fastest] = group.speed;
    WorkerSpec {
        cores: group.cores,
        slots: group.slots,
        speed: slowest + (fastest - slowest) * random.random::<f64>(),
        max_waiting: group.queue_capacity,
        order: group.queue_order,
        memory: group.memory.unwrap_or(f64::INFINITY),
        slow_start_fraction: slow_start.initial_capacity,
        slow_start_duration: micros_from_seconds(slow_start.duration_s),
        overload_multiple: slow_start.overload_multiple,
        overload_window: (slow_start.overload_window_s > 0.0)
            .then(|| micros_from_seconds(slow_start.overload_window_s)),
    }
}

fn draw_missing_workers(scenario: &Scenario, workers: usize, random: &mut RandomStream) -> Vec<WorkerId> {
    let missing = (scenario.discovery.stale_share * workers as f64).round() as usize;
    let mut chosen: Vec<WorkerId> = worker_ids(workers).collect();
    chosen.shuffle(random);
    chosen.truncate(missing);
    chosen
}

fn draw_fault_transitions(
    scenario: &Scenario,
    workers: &[(Worker, u32)],
    random: &mut RandomStream,
) -> Vec<FaultTransition> {
    let mut transitions = Vec::new();
    for (position, fault) in scenario.faults.iter().enumerate() {
        let targets = draw_targets(scenario, fault, workers, random);
        for (target_index, &target) in targets.iter().enumerate() {
            let starts_at = fault.starts_at_s + fault.stagger_s * target_index as f64 / targets.len() as f64;
            let transition = |at: f64, is_start| FaultTransition {
                at: micros_from_seconds(at),
                fault: position,
                target,
                is_start,
            };
            transitions.push(transition(starts_at, true));
            transitions.push(transition(starts_at + fault.duration_s, false));
        }
    }
    transitions
}

/// Selects the targets of a fault at random from the workers or schedulers that the fault can affect. A fault
/// with a zone affects only workers or schedulers of that zone. The number of targets is the fault's share of
/// these workers or schedulers, rounded up, and at least 1.
///
/// If the fault can affect no worker and no scheduler, the result is a single `None`. Examples are faults of
/// arrivals, load reports or discovery.
fn draw_targets(
    scenario: &Scenario,
    fault: &Fault,
    workers: &[(Worker, u32)],
    random: &mut RandomStream,
) -> Vec<Option<FaultTarget>> {
    let is_in_zone = |zone: u32| fault.zone.is_none_or(|faulty_zone| faulty_zone == zone);
    let mut targets: Vec<FaultTarget> = if fault.kind.affects_workers() {
        let is_candidate = |worker: &WorkerId| is_in_zone(workers[worker.0 as usize].1);
        worker_ids(workers.len()).filter(is_candidate).map(FaultTarget::Worker).collect()
    } else if fault.kind.affects_schedulers() {
        let is_candidate = |scheduler: &SchedulerId| is_in_zone(scheduler.zone(scenario.zones));
        SchedulerId::first(scenario.schedulers).filter(is_candidate).map(FaultTarget::Scheduler).collect()
    } else {
        Vec::new()
    };
    let count = (fault.worker_share * targets.len() as f64).ceil().max(1.0) as usize;
    targets.shuffle(random);
    targets.truncate(count);
    if targets.is_empty() { vec![None] } else { targets.into_iter().map(Some).collect() }
}

/// Returns the limit on the load that schedulers may send to a worker in slow start. Returns `None` if the
/// workers of the scenario never fail from overload.
pub fn slow_start_budget(scenario: &Scenario) -> Option<SlowStartBudget> {
    let slow_start = &scenario.slow_start;
    (slow_start.overload_window_s > 0.0).then(|| SlowStartBudget {
        initial_capacity: slow_start.initial_capacity,
        duration: micros_from_seconds(slow_start.duration_s),
        overload_multiple: slow_start.overload_multiple,
        overload_window: micros_from_seconds(slow_start.overload_window_s),
    })
}
