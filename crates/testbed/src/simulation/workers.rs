//! The workers' side of attempts: their arrival, the deduplication by idempotency key, the execution of jobs,
//! and results.
use copperspread_dispatcher::{Idempotency, Micros, Outcome as AttemptResult, Progress, WorkerId};
use rand::RngExt;

use super::Simulation;
use super::event_queue::SimulationEvent;
use super::requests::{Attempt, AttemptId, ClientJobId, LoadQueryId};
use crate::model::arrivals::Arrival;
use crate::model::connection_faults::DeliveryResult;
use crate::model::idempotency_keys::{DuplicateOutcome, key_group};
use crate::model::worker::{OfferResult, WorkerEffect};
use crate::scenario::{CONNECT_TIMEOUT, micros_from_seconds};

/// An attempt that has reached its worker.
struct Delivery {
    attempt: AttemptId,
    client_job: ClientJobId,
    worker: WorkerId,
    sent_at: Micros,
    arrival: Arrival,
    /// Whether the attempt's job may run more than once, as its class sets.
    idempotency: Idempotency,
    /// Number of the group of workers that drop duplicates together with the attempt's worker (see
    /// `model::idempotency_keys`). The number is 0, and has no meaning, if the job has no idempotency key.
    key_group: u32,
}

impl Simulation<'_> {
    pub(super) fn deliver_attempt(&mut self, id: AttemptId) {
        if self.attempts.get(&id).is_some_and(|attempt| attempt.is_cancelled) {
            return self.record_left_worker(id);
        }
        let Some(delivery) = self.delivery(id) else { return };
        if self.drop_duplicate(&delivery) {
            return;
        }
        let draw = self.network_random.random();
        match self.connection_faults[delivery.worker.0 as usize].delivery_result(draw) {
            DeliveryResult::Delivered => {}
            DeliveryResult::ResetBeforeTaken | DeliveryResult::InvalidResponse => {
                return self.return_result(id, AttemptResult::Reset);
            }
            DeliveryResult::ImmediateError => {
                // The job does not run, but the error response does not say so to the scheduler. A scheduler
                // must assume that the job ran. The rule checker therefore counts the job as run. If the
                // scheduler retries a job that must not run twice, this shows as a violation.
                self.record_acceptance(&delivery);
                self.rule_checker.job_started(self.now, delivery.client_job.0, delivery.idempotency);
                return self.return_result(id, AttemptResult::Error);
            }
            DeliveryResult::ResetAfterTaken => {
                self.report_result(id, AttemptResult::Reset);
                if let Some(attempt) = self.attempts.get_mut(&id) {
                    attempt.loses_response = true;
                }
            }
        }
        self.offer_to_worker(&delivery);
    }

    fn delivery(&self, id: AttemptId) -> Option<Delivery> {
        let attempt = self.attempts.get(&id)?;
        let &Attempt { client_job, worker, sent_at, .. } = attempt;
        let arrival = self.client_jobs.get(&client_job)?.arrival;
        let idempotency = self.scenario.classes[arrival.class as usize].idempotency();
        let key_group = match idempotency {
            Idempotency::IdempotentWithKey { scope, .. } => {
                key_group(scope, self.worker_zone(worker), self.cells[worker.0 as usize])
            }
            _ => 0,
        };
        Some(Delivery { attempt: id, client_job, worker, sent_at, arrival, idempotency, key_group })
    }

    /// Drops an attempt if it is a duplicate, and returns whether it was dropped. An attempt is a duplicate
    /// if the deduplication group of its worker has accepted another attempt with the same idempotency key
    /// within the key's window. The duplicate gets the result of such an accepted attempt.
    fn drop_duplicate(&mut self, delivery: &Delivery) -> bool {
        let Idempotency::IdempotentWithKey { window, .. } = delivery.idempotency else { return false };
        let id = delivery.attempt;
        if !self.worker(delivery.worker).accepts_jobs() {
            return false;
        }
        let Some(client_job) = self.client_jobs.get_mut(&delivery.client_job) else {
            return false;
        };
        let duplicate = client_job.keys.check_duplicate(id.0, delivery.key_group, self.now, window);
        let Some(duplicate) = duplicate else { return false };
        self.record_acceptance(delivery);
        if duplicate == DuplicateOutcome::AlreadyServed {
            self.report_result(id, AttemptResult::Served);
            self.record_left_worker(id);
        }
        true
    }

    /// Notifies the rule checker that the worker accepted the attempt.
    fn record_acceptance(&mut self, delivery: &Delivery) {
        self.rule_checker.attempt_accepted(
            self.now,
            delivery.client_job.0,
            delivery.attempt.0,
            delivery.idempotency,
            delivery.key_group,
            delivery.sent_at,
        );
    }

    /// Sends an attempt's result to its scheduler and records that the attempt has left its worker.
    fn return_result(&mut self, id: AttemptId, result: AttemptResult) {
        self.report_result(id, result);
        self.record_left_worker(id);
    }

    fn offer_to_worker(&mut self, delivery: &Delivery) {
        let Delivery { attempt: id, worker, arrival, .. } = *delivery;
        let class = &self.scenario.classes[arrival.class as usize];
        let job = arrival.to_offered_job(id.0, class);
        let now = self.now;
        let mut effects = Vec::new();
        match self.worker_mut(worker).offer(now, job, &mut effects) {
            OfferResult::Accepted => {
                self.jobs_at_workers += 1;
                self.record_acceptance(delivery);
                self.record_key(delivery);
                self.apply_worker_effects(worker, effects);
            }
            OfferResult::QueueFull => self.return_result(id, AttemptResult::Rejected),
            OfferResult::ConnectionRefused => self.return_result(id, AttemptResult::ConnectFailed),
            OfferResult::Unreachable => {
                let result = AttemptResult::ConnectFailed;
                self.schedule(
                    now + CONNECT_TIMEOUT,
                    SimulationEvent::AttemptCompleted { attempt: id, result },
                );
                self.record_left_worker(id);
            }
        }
    }

    fn record_key(&mut self, delivery: &Delivery) {
        if !matches!(delivery.idempotency, Idempotency::IdempotentWithKey { .. }) {
            return;
        }
        if let Some(client_job) = self.client_jobs.get_mut(&delivery.client_job) {
            client_job.keys.record_taken(delivery.attempt.0, delivery.key_group, self.now);
        }
    }

    /// Removes a cancelled attempt from its worker. The worker then forgets the attempt's idempotency key.
    /// Duplicates that wait for the attempt's result get an error. If the attempt has not reached its worker,
    /// it is marked to be dropped on arrival.
    pub(super) fn cancel_at_worker(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| attempt.is_at_worker) else { return };
        let (worker, client_job) = (attempt.worker, attempt.client_job);
        let mut effects = Vec::new();
        if !self.workers[worker.0 as usize].0.cancel(self.now, id.0, &mut effects) {
            // The worker does not have the attempt. It is still on its way, or it was dropped as a duplicate.
            attempt.is_cancelled = true;
            return;
        }
        self.jobs_at_workers -= 1;
        if let Some(client_job) = self.client_jobs.get_mut(&client_job) {
            client_job.keys.record_returned(id.0);
        }
        self.resolve_duplicates(id, AttemptResult::Error);
        self.record_left_worker(id);
        self.apply_worker_effects(worker, effects);
    }

    /// Advances a worker's jobs to the current time. Does nothing if the running jobs or their speed have
    /// changed since this wake was scheduled. A wake is the event that advances the worker's jobs.
    pub(super) fn wake_worker(&mut self, worker: WorkerId, wake_version: u64) {
        if self.worker(worker).wake_version == wake_version {
            let now = self.now;
            let mut effects = Vec::new();
            self.worker_mut(worker).advance(now, &mut effects);
            self.apply_worker_effects(worker, effects);
        }
    }

    /// Carries out the effects of an operation on a worker, such as the start or the loss of a job. Then
    /// schedules the worker's next wake, which is the event that advances the worker's jobs.
    pub(super) fn apply_worker_effects(&mut self, worker: WorkerId, effects: Vec<WorkerEffect>) {
        for effect in effects {
            self.apply_worker_effect(worker, effect);
        }
        let state = self.worker(worker);
        let wake_version = state.wake_version;
        if let Some(at) = state.next_wake(self.now) {
            self.schedule(at, SimulationEvent::WorkerWake { worker, wake_version });
        }
    }

    fn apply_worker_effect(&mut self, worker: WorkerId, effect: WorkerEffect) {
        match effect {
            WorkerEffect::Started(id) => self.start_attempt(worker, AttemptId(id)),
            WorkerEffect::Finished { attempt: id, is_reported } => {
                self.answer_load_query(LoadQueryId(id), AttemptResult::Served, 0);
                self.finish_attempt(AttemptId(id), is_reported);
            }
            WorkerEffect::Lost(id) => {
                self.answer_load_query(LoadQueryId(id), AttemptResult::Reset, 0);
                self.lose_attempt(AttemptId(id));
            }
            WorkerEffect::ReturnedUnstarted(id) => {
                self.answer_load_query(LoadQueryId(id), AttemptResult::Rejected, 0);
                self.return_attempt(AttemptId(id));
            }
            WorkerEffect::Overloaded => {
                self.overload_count += 1;
                self.publish_worker(worker);
            }
        }
    }

    fn start_attempt(&mut self, worker: WorkerId, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let is_awaited = attempt.is_in_flight && !attempt.loses_response;
        let client_job_id = attempt.client_job;
        let Some(client_job) = self.client_jobs.get(&client_job_id) else { return };
        let class = client_job.arrival.class;
        let idempotency = self.scenario.classes[class as usize].idempotency();
        self.rule_checker.job_started(self.now, client_job_id.0, idempotency);
        if is_awaited && self.worker(worker).silent_class != Some(class) {
            self.report_start(worker, id);
        }
    }

    fn report_start(&mut self, worker: WorkerId, id: AttemptId) {
        let zone = self.worker_zone(worker);
        let faults = self.connection_faults[worker.0 as usize];
        let delay = self.network_delay(zone, zone) + faults.callback_delay;
        for _ in 0..1 + u32::from(faults.duplicates_callbacks) {
            self.schedule(self.now + delay, SimulationEvent::AttemptStarted(id));
        }
        let progress_interval = micros_from_seconds(self.scenario.load_reports.progress_interval_s);
        if progress_interval > 0 {
            self.schedule(self.now + progress_interval, SimulationEvent::ProgressDue(id));
        }
    }

    fn finish_attempt(&mut self, id: AttemptId, is_reported: bool) {
        self.jobs_at_workers -= 1;
        self.resolve_duplicates(id, AttemptResult::Served);
        if is_reported && self.attempts.get(&id).is_some_and(|attempt| !attempt.loses_response) {
            self.report_result(id, AttemptResult::Served);
        }
        self.record_left_worker(id);
    }

    fn lose_attempt(&mut self, id: AttemptId) {
        self.jobs_at_workers -= 1;
        self.resolve_duplicates(id, AttemptResult::Reset);
        self.return_result(id, AttemptResult::Reset);
    }

    /// Handles an attempt that a draining worker returned without starting it. The worker forgets the
    /// attempt's idempotency key. Duplicates that wait for the attempt's result therefore get an error.
    fn return_attempt(&mut self, id: AttemptId) {
        self.jobs_at_workers -= 1;
        if let Some(client_job_id) = self.attempts.get(&id).map(|attempt| attempt.client_job) {
            self.rule_checker.attempt_returned(client_job_id.0, id.0);
            if let Some(client_job) = self.client_jobs.get_mut(&client_job_id) {
                client_job.keys.record_returned(id.0);
            }
        }
        self.resolve_duplicates(id, AttemptResult::Error);
        self.return_result(id, AttemptResult::Rejected);
    }

    /// Reports to the scheduler which share of a running attempt is completed. Schedules the next report.
    pub(super) fn report_progress(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).filter(|attempt| attempt.is_in_flight) else { return };
        let (worker, request) = (attempt.worker, attempt.request);
        let Some(done) = self.worker(worker).progress(self.now, id.0) else { return };
        if !self.scheduler_requests.contains_key(&request) {
            return;
        }
        // The report reaches the scheduler without a network delay, because the delay would be much shorter
        // than the interval between reports.
        self.notify_progress(id, Progress::Done(done));
        let progress_interval = micros_from_seconds(self.scenario.load_reports.progress_interval_s);
        self.schedule(self.now + progress_interval, SimulationEvent::ProgressDue(id));
    }

    /// Sends an attempt's result to the schedulers whose duplicates wait for this result.
    fn resolve_duplicates(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(client_job) = self.attempts.get(&id).map(|attempt| attempt.client_job) else {
            return;
        };
        let Some(client_job) = self.client_jobs.get_mut(&client_job) else { return };
        for duplicate in client_job.keys.record_end(result == AttemptResult::Served) {
            self.return_result(AttemptId(duplicate), result);
        }
    }
}
