//! Applies the starts and ends of faults to the simulation.
use super::Simulation;
use crate::model::fleet::{FaultTarget, FaultTransition};
use crate::model::scheduler_id::SchedulerId;
use crate::scenario::{FaultKind, micros_from_seconds};
use copperspread_dispatcher::WorkerId;

impl Simulation<'_> {
    pub(super) fn apply_fault_transition(&mut self, transition: FaultTransition) {
        let fault = self.scenario.faults[transition.fault].kind;
        let is_start = transition.is_start;
        match fault {
            // These faults need no action here. They change only the arrivals of jobs, and `Arrivals` applies
            // them.
            FaultKind::Burst(_) | FaultKind::Ramp(_) | FaultKind::HeavyTail(_) => {}
            FaultKind::ReportsLate(delay) => {
                self.report_delay = if is_start { micros_from_seconds(delay) } else { 0 }
            }
            FaultKind::DiscoveryDown | FaultKind::DiscoveryMoves => {
                self.apply_discovery_outage(fault, is_start);
            }
            FaultKind::DiscoveryContradicts => self.set_list_alternation(is_start),
            _ => match transition.target {
                Some(FaultTarget::Scheduler(scheduler)) => {
                    self.apply_scheduler_fault(scheduler, fault, is_start);
                }
                Some(FaultTarget::Worker(worker)) => self.apply_worker_fault(worker, fault, is_start),
                None => {}
            },
        }
    }

    /// Applies the start or the end of a fault that crashes or restarts a scheduler. A crash ends the
    /// scheduler's process at the start of the fault. A restart lets the process shut down gracefully during
    /// the fault, and ends it just before the next process starts.
    fn apply_scheduler_fault(&mut self, scheduler: SchedulerId, fault: FaultKind, is_start: bool) {
        match (fault, is_start) {
            (FaultKind::SchedulerCrash, true) => self.stop_scheduler(scheduler, false),
            (FaultKind::SchedulerRestart, true) => {
                self.schedulers[scheduler.index()].accepts_requests = false;
            }
            (FaultKind::SchedulerRestart, false) => {
                self.stop_scheduler(scheduler, true);
                self.start_scheduler(scheduler);
            }
            _ => self.start_scheduler(scheduler),
        }
    }

    fn apply_discovery_outage(&mut self, fault: FaultKind, is_start: bool) {
        if is_start {
            self.end_subscriptions();
            self.discovery_outages += 1;
            return;
        }
        self.discovery_outages -= 1;
        if self.discovery_outages > 0 {
            return;
        }
        if fault == FaultKind::DiscoveryMoves {
            self.unpublished.clear();
            self.publish_full_list();
        } else {
            self.publish_missed_changes();
        }
    }

    fn apply_worker_fault(&mut self, worker: WorkerId, fault: FaultKind, is_start: bool) {
        if self.connection_faults[worker.0 as usize].apply_fault(fault, is_start) {
            return;
        }
        let now = self.now;
        let mut effects = Vec::new();
        let state = self.worker_mut(worker);
        let jobs_before = state.job_count() as u64;
        let has_restarted = state.apply_fault(now, fault, is_start, &mut effects);
        let spec = state.spec;
        if fault == FaultKind::Vanish && is_start {
            // A worker on an unreachable machine reports nothing, so `effects` does not contain the worker's
            // lost jobs. The jobs are therefore subtracted from `jobs_at_workers` here. After other faults,
            // `effects` contains a `WorkerEffect::Lost` for each lost job, and `apply_worker_effects`
            // subtracts the job.
            self.jobs_at_workers -= jobs_before;
        }
        if has_restarted {
            self.rule_checker.worker_started(now, worker, spec.cores.min(spec.slots) * spec.speed);
        }
        self.apply_worker_effects(worker, effects);
        if matches!(fault, FaultKind::Crash | FaultKind::Vanish | FaultKind::Drain) {
            self.publish_worker(worker);
        }
    }
}
