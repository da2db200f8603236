//! Queue and slots of a worker: how its jobs start, progress and end.
use copperspread_dispatcher::{Micros, SECOND};

use super::job::{OfferResult, OfferedJob, ProcessState, RunningJob, WorkerEffect};
use super::{SLOW_START_STEP, Worker};
use crate::scenario::QueueOrder;

/// A job counts as finished if at most this much of its work remains, in seconds at speed 1. The limit is
/// above 0 because the rounding of times to microseconds may leave this much work.
const WORK_TOLERANCE_S: f64 = 2.0 / SECOND as f64;
/// Longest time until the next wake (the event that advances the worker's jobs), in microseconds. Without
/// this limit, the current time plus the time until the wake might not fit into [`Micros`].
const MAX_WAKE_DELAY_US: f64 = 1e15;

impl Worker {
    /// Offers a job to the worker, which may start, queue or refuse the job. What the offer causes, such as
    /// the start of the job, is appended to `effects`.
    pub fn offer(&mut self, now: Micros, job: OfferedJob, effects: &mut Vec<WorkerEffect>) -> OfferResult {
        match self.process {
            ProcessState::Unreachable => return OfferResult::Unreachable,
            ProcessState::Stopped => return OfferResult::ConnectionRefused,
            _ if self.is_refusing => return OfferResult::ConnectionRefused,
            ProcessState::Draining => return OfferResult::QueueFull,
            ProcessState::Up => {}
        }
        self.offered_since_refresh += 1;
        self.account_progress(now);
        if !self.can_start(&job) && self.waiting.len() >= self.spec.max_waiting {
            return OfferResult::QueueFull;
        }
        if self.becomes_overloaded(now, job.work * job.slots) {
            effects.push(WorkerEffect::Overloaded);
            self.stop(now, ProcessState::Stopped, effects);
            effects.push(WorkerEffect::Lost(job.attempt));
            return OfferResult::Accepted;
        }
        self.waiting.push_back(job);
        self.start_waiting_jobs(effects);
        OfferResult::Accepted
    }

    /// Advances the worker's jobs to the time `now`: finished jobs end, and waiting jobs start.
    pub fn advance(&mut self, now: Micros, effects: &mut Vec<WorkerEffect>) {
        self.account_progress(now);
        let tolerance = WORK_TOLERANCE_S * self.spec.speed.max(1.0);
        let mut position = 0;
        while position < self.running.len() {
            if self.running[position].remaining_work > tolerance || self.is_stuck {
                position += 1;
                continue;
            }
            let RunningJob { job, .. } = self.running.remove(position);
            self.release(&job);
            let is_reported = self.silent_class != Some(job.class);
            effects.push(WorkerEffect::Finished { attempt: job.attempt, is_reported });
        }
        self.start_waiting_jobs(effects);
    }

    /// Returns the time at which [`Self::advance`] must be called next. Returns `None` if no running job
    /// makes progress.
    pub fn next_wake(&self, now: Micros) -> Option<Micros> {
        let rate = self.rate(now);
        let min_work =
            self.running.iter().map(|running| running.remaining_work).fold(f64::INFINITY, f64::min);
        if !min_work.is_finite() || rate <= 0.0 {
            return None;
        }
        let delay = (min_work / rate * SECOND as f64).ceil().min(MAX_WAKE_DELAY_US);
        let ends_at = now + delay as Micros;
        let is_slow_start = self.capacity_fraction(now) < 1.0;
        Some(if is_slow_start { ends_at.min(now + SLOW_START_STEP) } else { ends_at })
    }

    /// Removes a cancelled attempt from the worker, whether the attempt waits or runs. Returns whether the
    /// worker had the attempt.
    pub fn cancel(&mut self, now: Micros, attempt: u64, effects: &mut Vec<WorkerEffect>) -> bool {
        self.account_progress(now);
        if let Some(position) = self.running.iter().position(|running| running.job.attempt == attempt) {
            let RunningJob { job, .. } = self.running.remove(position);
            self.release(&job);
        } else if let Some(position) = self.waiting.iter().position(|job| job.attempt == attempt) {
            self.waiting.remove(position);
        } else {
            return false;
        }
        self.start_waiting_jobs(effects);
        true
    }

    /// Returns the share of its work that a running attempt has completed, from 0 to 1. Returns `None` if the
    /// attempt does not run on this worker.
    pub fn progress(&self, now: Micros, attempt: u64) -> Option<f64> {
        let running = self.running.iter().find(|running| running.job.attempt == attempt)?;
        let remaining = running.remaining_work - self.work_since_accounted(now);
        Some(1.0 - (remaining / running.job.work.max(1e-12)).clamp(0.0, 1.0))
    }

    /// Returns the remaining work of all jobs that run or wait at the worker, in core-seconds.
    pub fn backlog(&self) -> f64 {
        let running: f64 =
            self.running.iter().map(|running| running.remaining_work * running.job.slots).sum();
        running + self.waiting.iter().map(|job| job.work * job.slots).sum::<f64>()
    }

    /// Returns the number of jobs at the worker, whether they run or wait. A load query that goes through the
    /// worker's queue counts as a job.
    pub fn job_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Delays the running jobs because the worker does other work beside them, such as answering a load
    /// query. `work` is the other work, in seconds on one core of speed 1. In the model, the other work is
    /// spread evenly over all cores of the worker, whether the cores are busy or not. The remaining work of
    /// each running job therefore grows by `work` divided by the number of cores.
    pub fn charge_side_work(&mut self, now: Micros, work: f64) {
        self.account_progress(now);
        for running in &mut self.running {
            running.remaining_work += work / self.spec.cores;
        }
        self.wake_version += 1;
    }

    /// Returns the speed at which each running job progresses, in seconds of work done per second.
    fn rate(&self, now: Micros) -> f64 {
        if self.is_stuck {
            return 0.0;
        }
        let core_fraction =
            if self.used_slots > self.spec.cores { self.spec.cores / self.used_slots } else { 1.0 };
        self.spec.speed * self.capacity_fraction(now) / self.slowdown * core_fraction
    }

    /// Returns the work that each running job has done since the last call of `account_progress`, in seconds
    /// on a core of speed 1.
    fn work_since_accounted(&self, now: Micros) -> f64 {
        let elapsed = now.saturating_sub(self.accounted_until) as f64 / SECOND as f64;
        elapsed * self.rate(self.accounted_until)
    }

    /// Subtracts the work that the running jobs did until `now` from their remaining work. Since the last
    /// call, the jobs progressed at the speed that they had at that call.
    pub(super) fn account_progress(&mut self, now: Micros) {
        let work = self.work_since_accounted(now);
        self.accounted_until = now;
        for running in &mut self.running {
            let done = work.min(running.remaining_work);
            self.completed_work += done * running.job.slots;
            running.remaining_work -= done;
        }
    }

    /// Returns whether the worker can start a job now. A job that needs more slots or memory than the worker
    /// has can start if no other job runs.
    fn can_start(&self, job: &OfferedJob) -> bool {
        let has_memory = self.used_memory + job.memory <= self.spec.memory;
        let has_slots = self.used_slots + job.slots <= self.spec.slots;
        (has_memory && has_slots) || self.running.is_empty()
    }

    /// Starts waiting jobs as long as the queue's order, the free slots and the free memory allow it.
    fn start_waiting_jobs(&mut self, effects: &mut Vec<WorkerEffect>) {
        while let Some(job) = self.next_startable().and_then(|position| self.waiting.remove(position)) {
            self.used_slots += job.slots;
            self.used_memory += job.memory;
            self.running.push(RunningJob { job, remaining_work: job.work });
            effects.push(WorkerEffect::Started(job.attempt));
        }
        self.wake_version += 1;
    }

    /// Returns the position in the queue of the job that starts next. Returns `None` if no waiting job can
    /// start now.
    fn next_startable(&self) -> Option<usize> {
        match self.spec.order {
            QueueOrder::Fifo => self.waiting.front().filter(|job| self.can_start(job)).map(|_| 0),
            QueueOrder::Backfill => self.waiting.iter().position(|job| self.can_start(job)),
            QueueOrder::Priority => {
                // The waiting job with the highest priority weight starts next. Among jobs of equal weight,
                // it is the one that arrived first.
                let by_weight = |(index_a, job_a): &(usize, &OfferedJob),
                                 (index_b, job_b): &(usize, &OfferedJob)| {
                    job_a.weight.total_cmp(&job_b.weight).then(index_b.cmp(index_a))
                };
                let heaviest = self.waiting.iter().enumerate().max_by(by_weight);
                heaviest.filter(|(_, job)| self.can_start(job)).map(|(position, _)| position)
            }
        }
    }

    fn release(&mut self, job: &OfferedJob) {
        self.used_slots -= job.slots;
        self.used_memory -= job.memory;
        if self.running.is_empty() {
            // When no job runs, the used slots and the used memory are set to exactly zero. Both are sums of
            // numbers that need not be whole, so rounding errors would otherwise accumulate.
            (self.used_slots, self.used_memory) = (0.0, 0.0);
        }
    }
}
