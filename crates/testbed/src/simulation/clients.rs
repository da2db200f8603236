//! Plays the clients: their arrivals, the requests that they send for a job, and the responses that they get.
use copperspread_dispatcher::{Event, Micros, RequestId};
use rand::RngExt;

use super::Simulation;
use super::event_queue::{FinalResponse, SimulationEvent};
use super::requests::{ClientRequest, ClientRequestId, SchedulerRequest};
use crate::model::arrivals::Arrival;
use crate::model::idempotency_keys::KeyHistory;
use crate::model::scheduler_id::SchedulerId;
use crate::outcome::JobOutcome;
use crate::rule_checker::ClientResponse;
use crate::scenario::micros_from_seconds;

/// How long before the client's timeout a scheduler's deadline is.
const DEADLINE_MARGIN: Micros = 50_000;

impl Simulation<'_> {
    pub(super) fn schedule_next_arrival(&mut self) {
        if let Some(arrival) = self.arrivals.next() {
            self.schedule(arrival.at, SimulationEvent::ClientArrived(arrival));
        }
    }

    pub(super) fn accept_arrival(&mut self, arrival: Arrival) {
        self.schedule_next_arrival();
        let id = ClientRequestId(self.next_id());
        let deadline = micros_from_seconds(self.scenario.classes[arrival.class as usize].deadline_s);
        let client_request = ClientRequest {
            arrival,
            gives_up_at: arrival.at + deadline,
            retries_left: self.scenario.clients.max_retries,
            is_finished: false,
            open_references: 0,
            keys: KeyHistory::default(),
        };
        self.client_requests.insert(id, client_request);
        self.send_request(id);
    }

    pub(super) fn retry_request(&mut self, client_request: ClientRequestId) {
        if self.is_unfinished(client_request) {
            self.send_request(client_request);
        }
    }

    /// Whether the client still waits for its result.
    pub(super) fn is_unfinished(&self, client_request: ClientRequestId) -> bool {
        self.client_requests.get(&client_request).is_some_and(|request| !request.is_finished)
    }

    fn reachable_scheduler(&self, preferred: SchedulerId) -> SchedulerId {
        preferred.reachable(self.schedulers.len() as u32, self.scenario.zones, |id| {
            let scheduler = &self.schedulers[id.index()];
            scheduler.is_up && scheduler.accepts_requests
        })
    }

    fn send_request(&mut self, id: ClientRequestId) {
        let Some(client_request) = self.client_requests.get_mut(&id) else { return };
        client_request.open_references += 1;
        let (gives_up_at, preferred) = (client_request.gives_up_at, client_request.arrival.scheduler);
        let scheduler = self.reachable_scheduler(preferred);
        let request = RequestId(self.next_id());
        let zone = self.scheduler_zone(scheduler);
        let time_left = gives_up_at.saturating_sub(self.now);
        let scheduler_request = SchedulerRequest {
            client_request: id,
            scheduler,
            deadline: gives_up_at - DEADLINE_MARGIN.min(time_left / 4),
            attempts: Vec::new(),
            attempts_in_flight: 0,
            is_answered: false,
            is_past_deadline: false,
            has_client_disconnected: false,
        };
        self.scheduler_requests.insert(request, scheduler_request);
        self.rule_checker.request_sent(request, gives_up_at);
        let delay = self.network_delay(zone, zone);
        self.schedule(self.now + delay, SimulationEvent::RequestArrived(request));
        let grace = micros_from_seconds(self.scenario.clients.deadline_grace_s);
        self.schedule(gives_up_at + grace, SimulationEvent::ClientTimedOut(request));
    }

    pub(super) fn receive_response(&mut self, request: RequestId, response: FinalResponse) {
        let heard = match response {
            FinalResponse::Served => ClientResponse::Served,
            FinalResponse::Rejected { .. } | FinalResponse::Failed => ClientResponse::Unserved,
        };
        self.rule_checker.response_received(self.now, request, heard);
        let Some(id) = self.scheduler_requests.get(&request).map(|request| request.client_request) else {
            return;
        };
        let Some(client_request) = self.client_requests.get(&id).filter(|request| !request.is_finished)
        else {
            return;
        };
        match response {
            FinalResponse::Served => {
                let arrival = &client_request.arrival;
                let class = &self.scenario.classes[arrival.class as usize];
                let latency_objective =
                    micros_from_seconds(class.latency_objective_s + class.latency_stretch * arrival.work);
                let is_in_time = self.now - arrival.at <= latency_objective;
                self.finish_client_request(
                    id,
                    if is_in_time { JobOutcome::InTime } else { JobOutcome::Late },
                );
            }
            FinalResponse::Failed => self.finish_client_request(id, JobOutcome::Failed),
            FinalResponse::Rejected { retry_after } => self.retry_later(id, retry_after),
        }
    }

    /// Schedules a rejected client's next request, if it has retries and time left.
    fn retry_later(&mut self, id: ClientRequestId, retry_after: Micros) {
        let clients = &self.scenario.clients;
        let wait =
            clients.retry_timing.delay(retry_after, clients.max_retry_after_s, self.retry_random.random());
        let Some(client_request) = self.client_requests.get_mut(&id) else { return };
        let is_too_late = self.now + wait + DEADLINE_MARGIN >= client_request.gives_up_at;
        if client_request.retries_left == 0 || is_too_late {
            return self.finish_client_request(id, JobOutcome::Rejected);
        }
        client_request.retries_left -= 1;
        self.schedule(self.now + wait, SimulationEvent::RetryDue(id));
    }

    pub(super) fn time_out_client(&mut self, id: RequestId) {
        self.rule_checker.deadline_passed(self.now, id);
        let Some(request) = self.scheduler_requests.get_mut(&id) else { return };
        request.has_client_disconnected = true;
        let (client_request, scheduler) = (request.client_request, request.scheduler);
        if !std::mem::replace(&mut request.is_answered, true) {
            self.notify_scheduler(scheduler, Event::ClientDisconnected(id));
        }
        if self.is_unfinished(client_request) {
            self.finish_client_request(client_request, JobOutcome::Unanswered);
        }
        self.close_request(id);
    }

    /// The client's connection breaks before a response came.
    pub(super) fn break_client_connection(&mut self, request: RequestId, client_request: ClientRequestId) {
        self.rule_checker.response_received(self.now, request, ClientResponse::ConnectionBroken);
        if self.is_unfinished(client_request) {
            self.finish_client_request(client_request, JobOutcome::Failed);
        }
    }

    fn finish_client_request(&mut self, id: ClientRequestId, end: JobOutcome) {
        let Some(client_request) = self.client_requests.get_mut(&id) else { return };
        client_request.is_finished = true;
        let arrival = &client_request.arrival;
        let class = &self.scenario.classes[arrival.class as usize];
        self.tally.record_job(arrival, class, self.now - arrival.at, end);
    }

    /// Drops a scheduler's request once client, scheduler and attempts are done with it.
    pub(super) fn close_request(&mut self, id: RequestId) {
        let Some(request) = self.scheduler_requests.get(&id) else { return };
        if request.has_client_disconnected && request.is_answered && request.attempts_in_flight == 0 {
            let client_request = request.client_request;
            self.scheduler_requests.remove(&id);
            self.rule_checker.request_finished(id);
            self.release_client_request(client_request);
        }
    }

    /// Removes one reference to a client's request, and the request with the last one.
    pub(super) fn release_client_request(&mut self, id: ClientRequestId) {
        let Some(client_request) = self.client_requests.get_mut(&id) else { return };
        client_request.open_references -= 1;
        if client_request.open_references == 0 && client_request.is_finished {
            self.client_requests.remove(&id);
            self.rule_checker.job_finished(id.0);
        }
    }
}
