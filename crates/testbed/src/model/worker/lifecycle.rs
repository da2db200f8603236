//! How a worker's process starts, drains and ends, and how faults change the worker.
use copperspread_dispatcher::Micros;

use super::Worker;
use super::job::{ProcessState, WorkerEffect};
use crate::scenario::FaultKind;

impl Worker {
    /// Returns whether the worker accepts new jobs.
    pub fn accepts_jobs(&self) -> bool {
        self.process == ProcessState::Up && !self.is_refusing
    }

    /// Changes a property of the worker, such as its speed. The work that running jobs have done until `now`
    /// is subtracted from their remaining work first, because that work depends on the old speed.
    pub fn apply_change(&mut self, now: Micros, change: impl FnOnce(&mut Worker)) {
        self.account_progress(now);
        change(self);
        self.wake_version += 1;
    }

    /// Drains the worker: it accepts no new jobs. If `return_waiting` is set, the jobs in its queue are
    /// returned without being started.
    pub fn drain(&mut self, now: Micros, return_waiting: bool, effects: &mut Vec<WorkerEffect>) {
        self.account_progress(now);
        if self.process == ProcessState::Up {
            self.process = ProcessState::Draining;
            if return_waiting {
                let returned = self.waiting.drain(..);
                effects.extend(returned.map(|job| WorkerEffect::ReturnedUnstarted(job.attempt)));
            }
        }
        self.wake_version += 1;
    }

    /// Ends the worker's process and all its jobs, and sets the state of the process to `state`. If `state`
    /// is `Stopped`, the jobs are reported as lost. If the machine becomes unreachable, nothing is reported.
    pub fn stop(&mut self, now: Micros, state: ProcessState, effects: &mut Vec<WorkerEffect>) {
        self.account_progress(now);
        self.process = state;
        let running = self.running.drain(..).map(|running| running.job.attempt);
        let lost = running.chain(self.waiting.drain(..).map(|job| job.attempt));
        if state == ProcessState::Stopped {
            effects.extend(lost.map(WorkerEffect::Lost));
        } else {
            lost.for_each(drop);
        }
        (self.used_slots, self.used_memory) = (0.0, 0.0);
        self.slow_start_load.clear();
        self.wake_version += 1;
    }

    /// Starts a new process of the worker, which begins in slow start. `Slow`, `Stuck`, `Silent` and
    /// `Refusing` faults of the old process do not affect the new one.
    pub fn restart(&mut self, now: Micros) {
        self.account_progress(now);
        self.process = ProcessState::Up;
        self.started_at = Some(now);
        self.slowdown = 1.0;
        self.is_stuck = false;
        self.silent_class = None;
        self.is_refusing = false;
        self.refreshed_reports.clear();
        self.wake_version += 1;
    }

    /// Applies the start of a fault to the worker if `is_start` is set, otherwise the end of the fault.
    /// Returns whether the worker started a new process.
    pub fn apply_fault(
        &mut self,
        now: Micros,
        fault: FaultKind,
        is_start: bool,
        effects: &mut Vec<WorkerEffect>,
    ) -> bool {
        match fault {
            FaultKind::Slow(factor) => {
                self.apply_change(now, |worker| worker.slowdown = if is_start { factor } else { 1.0 });
            }
            FaultKind::Stuck => self.apply_change(now, |worker| worker.is_stuck = is_start),
            FaultKind::Silent(class) => {
                self.apply_change(now, |worker| worker.silent_class = is_start.then_some(class));
            }
            FaultKind::Refusing => self.apply_change(now, |worker| worker.is_refusing = is_start),
            FaultKind::Crash if is_start => self.stop(now, ProcessState::Stopped, effects),
            FaultKind::Vanish if is_start => self.stop(now, ProcessState::Unreachable, effects),
            FaultKind::Drain if is_start => self.drain(now, true, effects),
            FaultKind::Crash | FaultKind::Vanish | FaultKind::Drain => {
                // At the end of a `Crash`, `Vanish` or `Drain` fault, the worker gets a new process. Jobs
                // that a draining worker has not finished by then are lost with the old process.
                self.stop(now, ProcessState::Stopped, effects);
                self.restart(now);
                return true;
            }
            _ => {}
        }
        false
    }
}
