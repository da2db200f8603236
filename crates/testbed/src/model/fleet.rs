//! Generates a scenario's workers and the instants of its faults from a seed, for simulation and emulation
//! alike, so that one seed means the same fleet and faults.
use copperspread_dispatcher::{Micros, WorkerId};
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::model::random::{RandomStream, StreamPurpose, random_stream};
use crate::model::scheduler_id::SchedulerId;
use crate::model::worker::{ProcessState, Worker, WorkerSpec};
use crate::rule_checker::SlowStartBudget;
use crate::scenario::{Fault, Scenario, SlowStart, WorkerGroup, micros_from_seconds};

/// A fault that starts or ends, for one target or for none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultTransition {
    /// When.
    pub at: Micros,
    /// The fault's position in the scenario.
    pub fault: usize,
    /// The worker or scheduler that it meets, for faults of those.
    pub target: Option<FaultTarget>,
    /// It starts, or else ends.
    pub is_start: bool,
}

/// What a fault meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// A worker: its process, machine or connections.
    Worker(WorkerId),
    /// A scheduler's process.
    Scheduler(SchedulerId),
}

/// The workers with their zones, and the transitions of the faults in the order in which they were drawn.
pub struct Fleet {
    /// Workers, each with its zone.
    pub workers: Vec<(Worker, u32)>,
    /// Each worker's kind: the position of its group in the scenario.
    pub kinds: Vec<u32>,
    /// Each worker's cell; no two zones share one.
    pub cells: Vec<u32>,
    /// Workers that the cached endpoint list names and that do not exist.
    pub missing_workers: Vec<WorkerId>,
    /// The faults' starts and ends.
    pub fault_transitions: Vec<FaultTransition>,
}

impl Fleet {
    /// Generates a scenario's fleet and faults under a seed.
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

/// So many workers, in order.
pub fn worker_ids(count: usize) -> impl Iterator<Item = WorkerId> {
    (0..count as u32).map(WorkerId)
}

/// A worker's cell: each zone's workers are dealt to the zone's cells in turn.
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
        for (place, &target) in targets.iter().enumerate() {
            let starts_at = fault.starts_at_s + fault.stagger_s * place as f64 / targets.len() as f64;
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

/// Draws whom a fault meets, at least one of those that it can meet; one `None` for a fault without targets.
fn draw_targets(
    scenario: &Scenario,
    fault: &Fault,
    workers: &[(Worker, u32)],
    random: &mut RandomStream,
) -> Vec<Option<FaultTarget>> {
    let is_in_zone = |zone: u32| fault.zone.is_none_or(|faulty_zone| faulty_zone == zone);
    let mut targets: Vec<FaultTarget> = if fault.kind.affects_workers() {
        let is_met = |worker: &WorkerId| is_in_zone(workers[worker.0 as usize].1);
        worker_ids(workers.len()).filter(is_met).map(FaultTarget::Worker).collect()
    } else if fault.kind.affects_schedulers() {
        let is_met = |scheduler: &SchedulerId| is_in_zone(scheduler.zone(scenario.zones));
        SchedulerId::first(scenario.schedulers).filter(is_met).map(FaultTarget::Scheduler).collect()
    } else {
        Vec::new()
    };
    let count = (fault.worker_share * targets.len() as f64).ceil().max(1.0) as usize;
    targets.shuffle(random);
    targets.truncate(count);
    if targets.is_empty() { vec![None] } else { targets.into_iter().map(Some).collect() }
}

/// The load that the scenario allows a worker during slow start, if it limits that.
pub fn slow_start_budget(scenario: &Scenario) -> Option<SlowStartBudget> {
    let slow_start = &scenario.slow_start;
    (slow_start.overload_window_s > 0.0).then(|| SlowStartBudget {
        initial_capacity: slow_start.initial_capacity,
        duration: micros_from_seconds(slow_start.duration_s),
        overload_multiple: slow_start.overload_multiple,
        overload_window: micros_from_seconds(slow_start.overload_window_s),
    })
}
