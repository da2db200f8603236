//! Applies what happens at emulated workers, such as the end of a job, to the state of the emulation. Updates
//! the counters and the rule checker, and queues callbacks. A callback is a message that tells a scheduler
//! the state of an attempt that the scheduler sent.
//!
//! A worker can drop an attempt as a duplicate of an earlier attempt with the same idempotency key. The
//! duplicate does not run. The callback of the duplicate reports the result of the earlier attempt.
use copperspread_dispatcher::{LoadReport, Micros, RequestId, WorkerId};

use crate::emulation::messages::{Callback, CallbackState};
use crate::emulation::state::{Attempt, EmulationState};
use crate::model::worker::WorkerEffect;

/// What happened to an attempt at the worker that accepted the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptEvent {
    /// The worker started to run the job of the attempt.
    Started,
    /// The worker is running the job of the attempt. The value is the fraction of the job's work that is
    /// done, from 0 to 1.
    Running(f64),
    /// The worker has finished the job of the attempt.
    Done,
    /// The job of the attempt was lost when the worker process ended.
    Lost,
    /// The worker returned the job of the attempt without having started the job.
    Returned,
    /// The attempt failed at the worker that accepted it.
    Failed,
}

impl AttemptEvent {
    fn callback_state(self) -> CallbackState {
        match self {
            AttemptEvent::Started => CallbackState::Started,
            AttemptEvent::Running(share) => CallbackState::Running(share),
            AttemptEvent::Done => CallbackState::Done,
            AttemptEvent::Lost => CallbackState::Lost,
            AttemptEvent::Returned => CallbackState::Returned,
            AttemptEvent::Failed => CallbackState::Failed,
        }
    }
}

impl EmulationState {
    /// Applies what happened at a worker, such as the start, the end or the loss of jobs, to the emulation's
    /// state.
    pub(super) fn apply_effects(&mut self, worker: WorkerId, effects: Vec<WorkerEffect>) {
        let now = self.now();
        for effect in effects {
            match effect {
                WorkerEffect::Started(id) => self.attempt_started(worker, id, now),
                WorkerEffect::Finished { attempt, is_reported } => {
                    self.attempt_finished(attempt, is_reported);
                }
                WorkerEffect::Lost(id) => self.attempt_lost(id),
                WorkerEffect::ReturnedUnstarted(id) => self.attempt_returned(id),
                WorkerEffect::Overloaded => {
                    self.overload_count += 1;
                    self.changed_workers.push(worker);
                }
            }
        }
    }

    fn attempt_started(&mut self, worker: WorkerId, id: u64, now: Micros) {
        let Some(&Attempt { job, .. }) = self.attempts.get(&id) else { return };
        let Some(class) = self.jobs.get(&job).map(|job| job.arrival.class) else { return };
        let idempotency = self.scenario.classes[class as usize].idempotency();
        self.rule_checker.job_started(now, job, idempotency);
        if self.workers[worker.0 as usize].0.silent_class != Some(class) {
            self.queue_callback(id, AttemptEvent::Started);
        }
    }

    fn attempt_finished(&mut self, id: u64, is_reported: bool) {
        self.in_flight.count -= 1;
        if let Some(response) = self.load_queries.remove(&id) {
            // The error is ignored: it only means that the connection of the load query has closed, so that
            // nobody waits for the response.
            let _ = response.send(());
        }
        if is_reported {
            self.queue_callback(id, AttemptEvent::Done);
        }
        self.end_attempt(id, AttemptEvent::Done);
    }

    fn attempt_lost(&mut self, id: u64) {
        self.in_flight.count -= 1;
        self.load_queries.remove(&id);
        self.queue_callback(id, AttemptEvent::Lost);
        self.end_attempt(id, AttemptEvent::Lost);
    }

    fn attempt_returned(&mut self, id: u64) {
        self.in_flight.count -= 1;
        self.load_queries.remove(&id);
        if let Some(&Attempt { job, .. }) = self.attempts.get(&id) {
            self.rule_checker.attempt_returned(job, id);
            self.forget_key(id);
        }
        self.queue_callback(id, AttemptEvent::Returned);
        self.end_attempt(id, AttemptEvent::Failed);
    }

    /// Queues a progress callback for each job that is running at a worker.
    pub(crate) fn report_progress(&mut self, worker: WorkerId) {
        let now = self.now();
        let model = &self.workers[worker.0 as usize].0;
        let at_worker = self.attempts.iter().filter(|(_, attempt)| attempt.worker == worker);
        let mut shares: Vec<(u64, f64)> =
            at_worker.filter_map(|(&id, _)| Some((id, model.progress(now, id)?))).collect();
        shares.sort_unstable_by_key(|&(id, _)| id);
        for (id, share) in shares {
            self.queue_callback(id, AttemptEvent::Running(share));
        }
    }

    /// Removes an attempt that has ended. Workers may have dropped other attempts with the same idempotency
    /// key as duplicates. For each of these duplicates that waits for a result, queues a callback with
    /// `event`.
    pub(super) fn end_attempt(&mut self, id: u64, event: AttemptEvent) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let Some(job) = self.jobs.get_mut(&attempt.job) else { return };
        for duplicate in job.keys.record_end(event == AttemptEvent::Done) {
            self.queue_callback(duplicate, event);
            self.attempts.remove(&duplicate);
        }
    }

    /// Queues a callback that reports `event` for an attempt. Does nothing if the attempt has been removed
    /// already.
    pub(super) fn queue_callback(&mut self, id: u64, event: AttemptEvent) {
        let Some(&Attempt { request, worker, scheduler, .. }) = self.attempts.get(&id) else { return };
        let load = self.callback_load(worker, event);
        if event == AttemptEvent::Done {
            self.rule_checker.result_made(RequestId(request));
        }
        let faults = self.connections[worker.0 as usize];
        let network_delay =
            self.network_delay(self.workers[worker.0 as usize].1, self.scheduler_zone(scheduler));
        self.callbacks.push(Callback {
            request,
            worker,
            scheduler,
            state: event.callback_state(),
            load,
            delay: network_delay + faults.callback_delay,
            is_duplicated: faults.duplicates_callbacks,
        });
    }

    /// Returns the load report that a worker sends with a callback. Returns `None` unless the callback
    /// reports that the job is done, or that the worker gave the job back to its scheduler without starting
    /// it.
    fn callback_load(&mut self, worker: WorkerId, event: AttemptEvent) -> Option<LoadReport> {
        let is_sent = matches!(event, AttemptEvent::Done | AttemptEvent::Returned);
        is_sent.then(|| self.response_load_report(worker))
    }
}
