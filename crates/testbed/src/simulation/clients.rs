//! The clients' side of the simulation: job arrivals, requests and retries, final responses and timeouts.
use copperspread_dispatcher::{Event, Micros, RequestId};
use rand::RngExt;

use super::Simulation;
use super::event_queue::{FinalResponse, SimulationEvent};
use super::requests::{ClientJob, ClientJobId, SchedulerRequest};
use crate::model::arrivals::Arrival;
use crate::model::idempotency_keys::KeyHistory;
use crate::model::scheduler_id::SchedulerId;
use crate::outcome::JobOutcome;
use crate::rule_checker::ClientResponse;
use crate::scenario::micros_from_seconds;

/// Largest difference between the client's deadline for a request and the scheduler's earlier deadline, in
/// microseconds. The difference is this constant or a quarter of the time that is left when the client sends
/// the request, whichever is less.
///
/// The constant also limits retries. A client does not retry if, at the retry, no more than this time would
/// be left until its deadline.
const DEADLINE_MARGIN: Micros = 50_000;

impl Simulation<'_> {
    pub(super) fn schedule_next_arrival(&mut self) {
        if let Some(arrival) = self.arrivals.next() {
            self.schedule(arrival.at, SimulationEvent::ClientArrived(arrival));
        }
    }

    pub(super) fn accept_arrival(&mut self, arrival: Arrival) {
        self.schedule_next_arrival();
        let id = ClientJobId(self.next_id());
        let deadline = micros_from_seconds(self.scenario.classes[arrival.class as usize].deadline_s);
        let client_job = ClientJob {
            arrival,
            client_deadline: arrival.at + deadline,
            retries_left: self.scenario.clients.max_retries,
            is_finished: false,
            reference_count: 0,
            keys: KeyHistory::default(),
        };
        self.client_jobs.insert(id, client_job);
        self.send_request(id);
    }

    pub(super) fn retry_job(&mut self, client_job: ClientJobId) {
        if self.is_unfinished(client_job) {
            self.send_request(client_job);
        }
    }

    /// Returns whether the client still waits for the result of a job.
    pub(super) fn is_unfinished(&self, client_job: ClientJobId) -> bool {
        self.client_jobs.get(&client_job).is_some_and(|job| !job.is_finished)
    }

    fn reachable_scheduler(&self, preferred: SchedulerId) -> SchedulerId {
        preferred.reachable(self.schedulers.len() as u32, self.scenario.zones, |id| {
            let scheduler = &self.schedulers[id.index()];
            scheduler.is_up && scheduler.accepts_requests
        })
    }

    fn send_request(&mut self, id: ClientJobId) {
        let Some(client_job) = self.client_jobs.get_mut(&id) else { return };
        client_job.reference_count += 1;
        let (client_deadline, preferred) = (client_job.client_deadline, client_job.arrival.scheduler);
        let scheduler = self.reachable_scheduler(preferred);
        let request = RequestId(self.next_id());
        let zone = self.scheduler_zone(scheduler);
        let time_left = client_deadline.saturating_sub(self.now);
        let scheduler_request = SchedulerRequest {
            client_job: id,
            scheduler,
            deadline: client_deadline - DEADLINE_MARGIN.min(time_left / 4),
            attempts: Vec::new(),
            attempts_in_flight: 0,
            is_answered: false,
            is_past_deadline: false,
            has_client_wait_ended: false,
        };
        self.scheduler_requests.insert(request, scheduler_request);
        self.rule_checker.request_sent(request, client_deadline);
        let delay = self.network_delay(zone, zone);
        self.schedule(self.now + delay, SimulationEvent::RequestArrived(request));
        let grace = micros_from_seconds(self.scenario.clients.deadline_grace_s);
        self.schedule(client_deadline + grace, SimulationEvent::ClientWaitEnded(request));
    }

    pub(super) fn receive_response(&mut self, request: RequestId, response: FinalResponse) {
        let client_response = match response {
            FinalResponse::Served => ClientResponse::Served,
            FinalResponse::Rejected { .. } | FinalResponse::Failed => ClientResponse::Unserved,
        };
        self.rule_checker.response_received(self.now, request, client_response);
        let Some(id) = self.scheduler_requests.get(&request).map(|request| request.client_job) else {
            return;
        };
        let Some(client_job) = self.client_jobs.get(&id).filter(|job| !job.is_finished) else {
            return;
        };
        match response {
            FinalResponse::Served => {
                let arrival = &client_job.arrival;
                let class = &self.scenario.classes[arrival.class as usize];
                let latency_objective =
                    micros_from_seconds(class.latency_objective_s + class.latency_stretch * arrival.work);
                let is_in_time = self.now - arrival.at <= latency_objective;
                self.finish_client_job(id, if is_in_time { JobOutcome::InTime } else { JobOutcome::Late });
            }
            FinalResponse::Failed => self.finish_client_job(id, JobOutcome::Failed),
            FinalResponse::Rejected { retry_after } => self.retry_later(id, retry_after),
        }
    }

    /// Schedules the retry of a rejected job. The job ends as rejected if no retry is allowed any more, or if
    /// too little time is left until the client's deadline.
    fn retry_later(&mut self, id: ClientJobId, retry_after: Micros) {
        let clients = &self.scenario.clients;
        let wait =
            clients.retry_timing.delay(retry_after, clients.max_retry_after_s, self.retry_random.random());
        let Some(client_job) = self.client_jobs.get_mut(&id) else { return };
        let is_too_late = self.now + wait + DEADLINE_MARGIN >= client_job.client_deadline;
        if client_job.retries_left == 0 || is_too_late {
            return self.finish_client_job(id, JobOutcome::Rejected);
        }
        client_job.retries_left -= 1;
        self.schedule(self.now + wait, SimulationEvent::RetryDue(id));
    }

    pub(super) fn end_client_wait(&mut self, id: RequestId) {
        self.rule_checker.deadline_passed(self.now, id);
        let Some(request) = self.scheduler_requests.get_mut(&id) else { return };
        request.has_client_wait_ended = true;
        let (client_job, scheduler) = (request.client_job, request.scheduler);
        if !std::mem::replace(&mut request.is_answered, true) {
            self.notify_scheduler(scheduler, Event::ClientDisconnected(id));
        }
        if self.is_unfinished(client_job) {
            self.finish_client_job(client_job, JobOutcome::Unanswered);
        }
        self.close_request(id);
    }

    /// Ends a job as failed, because the client's connection broke before a response.
    pub(super) fn break_client_connection(&mut self, request: RequestId, client_job: ClientJobId) {
        self.rule_checker.response_received(self.now, request, ClientResponse::ConnectionBroken);
        if self.is_unfinished(client_job) {
            self.finish_client_job(client_job, JobOutcome::Failed);
        }
    }

    fn finish_client_job(&mut self, id: ClientJobId, outcome: JobOutcome) {
        let Some(client_job) = self.client_jobs.get_mut(&id) else { return };
        client_job.is_finished = true;
        let arrival = &client_job.arrival;
        let class = &self.scenario.classes[arrival.class as usize];
        self.outcome_counter.record_job(arrival, class, self.now - arrival.at, outcome);
    }

    /// Removes a request if nothing more can happen to it. This is so if the client's deadline and grace
    /// period have passed, the request is marked as answered, and no attempt of it is in flight.
    pub(super) fn close_request(&mut self, id: RequestId) {
        let Some(request) = self.scheduler_requests.get(&id) else { return };
        if request.has_client_wait_ended && request.is_answered && request.attempts_in_flight == 0 {
            let client_job = request.client_job;
            self.scheduler_requests.remove(&id);
            self.rule_checker.request_finished(id);
            self.release_client_job(client_job);
        }
    }

    /// Removes one reference to a client's job, which a request or an attempt held. A finished job is removed
    /// with its last reference.
    pub(super) fn release_client_job(&mut self, id: ClientJobId) {
        let Some(client_job) = self.client_jobs.get_mut(&id) else { return };
        client_job.reference_count -= 1;
        if client_job.reference_count == 0 && client_job.is_finished {
            self.client_jobs.remove(&id);
            self.rule_checker.job_finished(id.0);
        }
    }
}
