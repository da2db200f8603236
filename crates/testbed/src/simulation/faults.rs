//! Faults that start and end: each acts on the part of the simulation that it meets.
use super::Simulation;
use crate::model::fleet::FaultTransition;
use crate::scenario::{FaultKind, micros_from_seconds};

impl Simulation<'_> {
    pub(super) fn apply_fault_transition(&mut self, transition: FaultTransition) {
        let fault = self.scenario.faults[transition.fault].kind;
        let (is_start, target) = (transition.is_start, transition.target.unwrap_or_default());
        match fault {
            // These act on the arrivals alone.
            FaultKind::Burst(_) | FaultKind::Ramp(_) | FaultKind::HeavyTail(_) => {}
            FaultKind::ReportsLate(delay) => {
                self.report_delay = if is_start { micros_from_seconds(delay) } else { 0 }
            }
            FaultKind::DiscoveryDown | FaultKind::DiscoveryMoves => {
                self.apply_discovery_outage(fault, is_start);
            }
            FaultKind::DiscoveryContradicts => self.set_list_alternation(is_start),
            FaultKind::SchedulerCrash if is_start => self.stop_scheduler(target, false),
            FaultKind::SchedulerCrash => self.start_scheduler(target),
            FaultKind::SchedulerRestart if is_start => {
                self.schedulers[target as usize].accepts_requests = false;
            }
            FaultKind::SchedulerRestart => {
                self.stop_scheduler(target, true);
                self.start_scheduler(target);
            }
            _ => self.apply_worker_fault(target, fault, is_start),
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

    fn apply_worker_fault(&mut self, worker: u32, fault: FaultKind, is_start: bool) {
        if self.connection_faults[worker as usize].apply_fault(fault, is_start) {
            return;
        }
        let now = self.now;
        let mut effects = Vec::new();
        let state = self.worker_mut(worker);
        let jobs_before = state.job_count() as u64;
        let has_restarted = state.apply_fault(now, fault, is_start, &mut effects);
        let spec = state.spec;
        if fault == FaultKind::Vanish && is_start {
            // The worker reports nothing, so that no effect counts them down.
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
