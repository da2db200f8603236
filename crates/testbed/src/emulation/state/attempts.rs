//! Handles the attempts that arrive at emulated workers: their acceptance, rejection, failure and
//! cancellation.
use copperspread_dispatcher::{Idempotency, Micros, WorkerId};
use rand::RngExt;

use crate::emulation::messages::AttemptResponse;
use crate::emulation::state::effects::AttemptEvent;
use crate::emulation::state::{Attempt, ClientRequest, EmulationState};
use crate::model::arrivals::Arrival;
use crate::model::connection_faults::DeliveryResult;
use crate::model::idempotency_keys::{DuplicateOutcome, key_group};
use crate::model::worker::OfferResult;

/// An attempt whose HTTP request has arrived completely, with head and body.
struct DeliveredAttempt {
    id: u64,
    attempt: Attempt,
    arrival: Arrival,
    idempotency: Idempotency,
    /// Number of the worker's deduplication group. The workers of a group share the record of the idempotency
    /// keys that they have accepted, and drop later attempts with the same key. The number is 0 if the job
    /// has no idempotency key.
    key_group: u32,
    /// Time at which the head of the attempt's HTTP request arrived, in microseconds on the run's clock.
    head_arrived_at: Micros,
}

impl EmulationState {
    /// Records that the head of an attempt's HTTP request has arrived at a worker. Returns the emulated
    /// network delay from the scheduler to the worker, in microseconds.
    pub(crate) fn attempt_arrives(&mut self, request: u64, worker: WorkerId) -> Micros {
        let now = self.now();
        let Some(&ClientRequest { job, scheduler }) = self.requests.get(&request) else { return 0 };
        let Some(job) = self.jobs.get(&job) else { return 0 };
        let (from, to) = (self.scheduler_zone(scheduler), self.workers[worker.0 as usize].1);
        let load = job.arrival.work * job.arrival.slots;
        self.rule_checker.attempt_sent(now, scheduler, worker, load);
        self.attempts_sent += 1;
        self.cross_zone_attempts += u64::from(from != to);
        self.network_delay(from, to)
    }

    /// Handles an attempt at a worker after the attempt's HTTP request has arrived completely. Returns the
    /// worker's response. `head_arrived_at` is the time at which the head of the HTTP request arrived.
    pub(crate) fn receive_attempt(
        &mut self,
        request: u64,
        worker: WorkerId,
        head_arrived_at: Micros,
    ) -> AttemptResponse {
        self.account_in_flight();
        let now = self.now();
        let Some(delivered) = self.new_delivered_attempt(request, worker, head_arrived_at) else {
            return AttemptResponse::UnknownRequest;
        };
        if self.drop_duplicate(&delivered, now) {
            return AttemptResponse::Accepted;
        }
        let delivery = self.connections[worker.0 as usize].delivery_result(self.network_random.random());
        match delivery {
            DeliveryResult::ResetBeforeTaken => AttemptResponse::Reset,
            DeliveryResult::InvalidResponse => AttemptResponse::Garbage,
            DeliveryResult::ImmediateError => {
                self.fail_immediately(&delivered, now);
                AttemptResponse::Accepted
            }
            DeliveryResult::Delivered => self.offer_to_worker(&delivered, now),
            DeliveryResult::ResetAfterTaken => match self.offer_to_worker(&delivered, now) {
                AttemptResponse::Accepted => AttemptResponse::AcceptedThenReset,
                response => response,
            },
        }
    }

    /// Builds the record of an attempt that has arrived at a worker, and gives the attempt a new id. Returns
    /// `None` if no client sent the request.
    fn new_delivered_attempt(
        &mut self,
        request: u64,
        worker: WorkerId,
        head_arrived_at: Micros,
    ) -> Option<DeliveredAttempt> {
        let ClientRequest { job, scheduler } = *self.requests.get(&request)?;
        let arrival = self.jobs.get(&job)?.arrival;
        let idempotency = self.scenario.classes[arrival.class as usize].idempotency();
        let key_group = match idempotency {
            Idempotency::IdempotentWithKey { scope, .. } => {
                key_group(scope, self.workers[worker.0 as usize].1, self.cells[worker.0 as usize])
            }
            _ => 0,
        };
        let id = self.next_id();
        let attempt = Attempt { request, job, worker, scheduler };
        Some(DeliveredAttempt { id, attempt, arrival, idempotency, key_group, head_arrived_at })
    }

    /// Drops an attempt if it is a duplicate, and returns whether it was dropped. An attempt is a duplicate
    /// if a worker of its deduplication group accepted an attempt with the same idempotency key within the
    /// deduplication window. A dropped attempt does not run. Its callback reports the result of an attempt
    /// with the same key.
    fn drop_duplicate(&mut self, delivered: &DeliveredAttempt, now: Micros) -> bool {
        let Idempotency::IdempotentWithKey { window, .. } = delivered.idempotency else { return false };
        let Attempt { job, worker, .. } = delivered.attempt;
        if !self.workers[worker.0 as usize].0.accepts_jobs() {
            return false;
        }
        let Some(job) = self.jobs.get_mut(&job) else { return false };
        let duplicate = job.keys.check_duplicate(delivered.id, delivered.key_group, now, window);
        let Some(duplicate) = duplicate else { return false };
        self.record_accepted(delivered, now);
        if duplicate == DuplicateOutcome::AlreadyServed {
            self.queue_callback(delivered.id, AttemptEvent::Done);
        }
        true
    }

    /// Makes an attempt fail at once, so that its job does not run. The rule checker nevertheless counts the
    /// job as run, as in the simulation. The error does not tell the scheduler whether the job ran, so a
    /// scheduler that retries must assume that the job did.
    fn fail_immediately(&mut self, delivered: &DeliveredAttempt, now: Micros) {
        self.record_accepted(delivered, now);
        self.rule_checker.job_started(now, delivered.attempt.job, delivered.idempotency);
        self.queue_callback(delivered.id, AttemptEvent::Failed);
        self.attempts.remove(&delivered.id);
    }

    fn offer_to_worker(&mut self, delivered: &DeliveredAttempt, now: Micros) -> AttemptResponse {
        let class = &self.scenario.classes[delivered.arrival.class as usize];
        let job = delivered.arrival.to_offered_job(delivered.id, class);
        let worker = delivered.attempt.worker;
        let mut effects = Vec::new();
        match self.workers[worker.0 as usize].0.offer(now, job, &mut effects) {
            OfferResult::Accepted => {
                self.in_flight.count += 1;
                self.record_accepted(delivered, now);
                self.record_key(delivered, now);
                self.apply_effects(worker, effects);
                AttemptResponse::Accepted
            }
            OfferResult::QueueFull => AttemptResponse::Rejected(self.response_load_report(worker)),
            // The worker's process or machine has just gone down. Its sockets are about to close, so the
            // attempt gets no response.
            OfferResult::ConnectionRefused | OfferResult::Unreachable => AttemptResponse::Reset,
        }
    }

    fn record_accepted(&mut self, delivered: &DeliveredAttempt, now: Micros) {
        let DeliveredAttempt { id, attempt, idempotency, key_group, head_arrived_at, .. } = *delivered;
        self.attempts.insert(id, attempt);
        self.rule_checker.attempt_accepted(now, attempt.job, id, idempotency, key_group, head_arrived_at);
    }

    fn record_key(&mut self, delivered: &DeliveredAttempt, now: Micros) {
        if matches!(delivered.idempotency, Idempotency::IdempotentWithKey { .. })
            && let Some(job) = self.jobs.get_mut(&delivered.attempt.job)
        {
            job.keys.record_taken(delivered.id, delivered.key_group, now);
        }
    }

    /// Cancels the attempts of a client's request at a worker. Does nothing if cancellations do not stop jobs
    /// in this scenario.
    pub(crate) fn cancel_request(&mut self, request: u64, worker: WorkerId) {
        if !self.scenario.tuning.cancel_stops_job {
            return;
        }
        self.account_in_flight();
        let now = self.now();
        let is_cancelled = |attempt: &Attempt| attempt.request == request && attempt.worker == worker;
        let attempts = self.attempts.iter().filter(|(_, attempt)| is_cancelled(attempt));
        let ids: Vec<u64> = attempts.map(|(id, _)| *id).collect();
        for id in ids {
            self.cancel_attempt(id, worker, now);
        }
    }

    fn cancel_attempt(&mut self, id: u64, worker: WorkerId, now: Micros) {
        let mut effects = Vec::new();
        if !self.workers[worker.0 as usize].0.cancel(now, id, &mut effects) {
            return;
        }
        self.in_flight.count -= 1;
        self.forget_key(id);
        self.end_attempt(id, AttemptEvent::Failed);
        self.apply_effects(worker, effects);
    }

    /// Forgets that a worker accepted the idempotency key of an attempt that will not run. Otherwise a later
    /// attempt with the key would be dropped as a duplicate.
    pub(super) fn forget_key(&mut self, id: u64) {
        let job = self.attempts.get(&id).map(|attempt| attempt.job);
        if let Some(job) = job.and_then(|job| self.jobs.get_mut(&job)) {
            job.keys.record_returned(id);
        }
    }
}
