//! The workers of a scenario under a seed, what goes wrong with whom, and the budget they are held to.
//! Both drives draw them here, so that one seed means the same fleet and the same faults.
use copperspread_dispatcher::Micros;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::model::random::{StreamPurpose, random_stream};
use crate::model::worker::{ProcessState, Worker, WorkerSpec};
use crate::referee::ColdBudget;
use crate::scenario::{Scenario, micros};

/// A fault that begins or is over, for one worker or for none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultTransition {
    /// When.
    pub at: Micros,
    /// The fault's place in the scenario.
    pub fault: usize,
    /// Whom it meets, for faults of workers and of schedulers.
    pub target: Option<u32>,
    /// It begins.
    pub is_start: bool,
}

/// The workers with their zones, and the faults' turns in the order in which they were drawn.
pub struct Fleet {
    /// Workers, each with its zone.
    pub workers: Vec<(Worker, u32)>,
    /// Each worker's kind: its group's place.
    pub kinds: Vec<u32>,
    /// Each worker's cell; no two zones share one.
    pub cells: Vec<u32>,
    /// Workers that the remembered list names and that are not there.
    pub missing_workers: Vec<u32>,
    /// What goes wrong.
    pub fault_transitions: Vec<FaultTransition>,
}

impl Fleet {
    /// Draws them.
    pub fn generate(scenario: &Scenario, seed: u64) -> Fleet {
        let mut chance = random_stream(seed, StreamPurpose::Fleet);
        let cold = &scenario.cold;
        let (mut workers, mut kinds) = (Vec::new(), Vec::new());
        for (kind, group) in scenario.workers.iter().enumerate() {
            for _ in 0..group.count {
                let [low, high] = group.speed;
                let build = WorkerSpec {
                    cores: group.cores,
                    slots: group.slots,
                    speed: low + (high - low) * chance.random::<f64>(),
                    max_waiting: group.queue,
                    order: group.order,
                    memory: group.memory.unwrap_or(f64::INFINITY),
                    slow_start_fraction: cold.from,
                    slow_start_duration: micros(cold.warm_after),
                    overload_multiple: cold.fall_multiple,
                    overload_window: (cold.fall_seconds > 0.0).then(|| micros(cold.fall_seconds)),
                };
                let zone = workers.len() as u32 % scenario.zones;
                workers.push((Worker::new(build), zone));
                kinds.push(kind as u32);
            }
        }
        let (zones, cells) = (scenario.zones, scenario.cells);
        let cells = (0..workers.len() as u32).map(|at| at % zones + zones * (at / zones % cells)).collect();
        let mut chance = random_stream(seed, StreamPurpose::Faults);
        let gone = (scenario.discovery.stale * workers.len() as f64).round() as usize;
        let mut all: Vec<u32> = (0..workers.len() as u32).collect();
        all.shuffle(&mut chance);
        all.truncate(gone);
        let mut turns = Vec::new();
        for (fault, of) in scenario.faults.iter().enumerate() {
            let mut chosen: Vec<u32> = Vec::new();
            if of.what.meets_workers() {
                let in_zone = |&at: &u32| of.zone.is_none_or(|zone| workers[at as usize].1 == zone);
                chosen = (0..workers.len() as u32).filter(in_zone).collect();
            } else if of.what.meets_schedulers() {
                let in_zone = |&at: &u32| of.zone.is_none_or(|zone| at % scenario.zones == zone);
                chosen = (0..scenario.schedulers).filter(in_zone).collect();
            }
            let count = (of.share * chosen.len() as f64).ceil().max(1.0) as usize;
            chosen.shuffle(&mut chance);
            chosen.truncate(count);
            let each: Vec<Option<u32>> =
                if chosen.is_empty() { vec![None] } else { chosen.into_iter().map(Some).collect() };
            for (place, &whom) in each.iter().enumerate() {
                let begins = of.at + of.spread_over * place as f64 / each.len() as f64;
                turns.push(FaultTransition { at: micros(begins), fault, target: whom, is_start: true });
                turns.push(FaultTransition {
                    at: micros(begins + of.lasts),
                    fault,
                    target: whom,
                    is_start: false,
                });
            }
        }
        for &at in &all {
            workers[at as usize].0.process = ProcessState::Stopped;
        }
        Fleet { workers, kinds, cells, missing_workers: all, fault_transitions: turns }
    }
}

/// What the scenario holds a cold worker to, if anything.
pub fn slow_start_budget(scenario: &Scenario) -> Option<ColdBudget> {
    let cold = &scenario.cold;
    (cold.fall_seconds > 0.0).then(|| ColdBudget {
        from: cold.from,
        warm_after: micros(cold.warm_after),
        multiple: cold.fall_multiple,
        window: micros(cold.fall_seconds),
    })
}
