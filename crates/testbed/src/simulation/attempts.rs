//! The schedulers' side of attempts: how schedulers send and cancel attempts, reuse connections, and get
//! progress and results.
use copperspread_dispatcher::{
    AttemptOutcome, Event, LoadReport, Micros, Outcome as AttemptResult, Progress, RequestId, SECOND,
    WorkerId,
};

use super::event_queue::{FinalResponse, SimulationEvent};
use super::requests::{Attempt, AttemptId};
use super::{Simulation, draw_report_noise};
use crate::model::scheduler_id::SchedulerId;
use crate::scenario::micros_from_seconds;

/// Time after which an idle connection is closed, in microseconds.
const IDLE_CONNECTION_TIMEOUT: Micros = 5 * SECOND;

impl Simulation<'_> {
    pub(super) fn send_attempt(&mut self, request_id: RequestId, worker: WorkerId) {
        let id = AttemptId(self.last_id + 1);
        let Some(request) = self.scheduler_requests.get_mut(&request_id) else { return };
        self.last_id = id.0;
        let (client_job, scheduler) = (request.client_job, request.scheduler);
        // The policy may send an attempt after the request's deadline or final response. Such an attempt
        // never reaches a worker.
        let is_superseded = request.is_past_deadline || request.is_answered;
        let attempt = Attempt {
            request: request_id,
            client_job,
            number: request.attempts.len() as u32,
            worker,
            sent_at: self.now,
            is_in_flight: true,
            is_at_worker: !is_superseded,
            loses_response: false,
            is_cancelled: false,
        };
        request.attempts.push(id);
        request.attempts_in_flight += 1;
        self.attempts.insert(id, attempt);
        if is_superseded {
            let result = AttemptResult::Superseded;
            return self.schedule(self.now, SimulationEvent::AttemptCompleted { attempt: id, result });
        }
        let Some(client_job) = self.client_jobs.get_mut(&client_job) else { return };
        client_job.reference_count += 1;
        let load = client_job.arrival.work * client_job.arrival.slots;
        self.rule_checker.attempt_sent(self.now, scheduler, worker, load);
        self.attempts_sent += 1;
        let (from_zone, to_zone) = (self.scheduler_zone(scheduler), self.worker_zone(worker));
        self.cross_zone_attempts += u64::from(from_zone != to_zone);
        let delay = self.network_delay(from_zone, to_zone) + self.connection_delay(scheduler, worker);
        self.schedule(self.now + delay, SimulationEvent::AttemptArrived(id));
    }

    /// Returns how long an attempt or load query waits for a connection to its worker, and marks this
    /// connection as in use. The wait is 0 if an idle connection can be reused. Otherwise it is the
    /// scenario's connect delay. After the wait, the connection counts as in use for one round trip, which is
    /// an estimate of the time until the response.
    ///
    /// If the scenario has no connect delay, the wait is 0 and connections are not recorded.
    pub(super) fn connection_delay(&mut self, scheduler: SchedulerId, worker: WorkerId) -> Micros {
        let connect_time = micros_from_seconds(self.scenario.network.connect_delay_s);
        if connect_time == 0 {
            return 0;
        }
        let (from_zone, to_zone) = (self.scheduler_zone(scheduler), self.worker_zone(worker));
        let round_trip =
            2 * micros_from_seconds(self.scenario.network.link_between(from_zone, to_zone).delay_s);
        let now = self.now;
        let idle_since = self.idle_connections.entry((scheduler, worker)).or_default();
        idle_since.retain(|&since| since + IDLE_CONNECTION_TIMEOUT > now);
        let reusable = idle_since.iter().position(|&since| since <= now);
        if let Some(position) = reusable {
            idle_since.swap_remove(position);
        }
        let wait = if reusable.is_some() { 0 } else { connect_time };
        idle_since.push(now + wait + round_trip);
        wait
    }

    /// Ends an attempt at its scheduler, with the result `result`. Does nothing if the scheduler no longer
    /// waits for the attempt.
    pub(super) fn complete_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| attempt.is_in_flight) else { return };
        attempt.is_in_flight = false;
        let (request_id, number) = (attempt.request, attempt.number);
        let (worker, sent_at) = (attempt.worker, attempt.sent_at);
        if !attempt.is_at_worker {
            self.attempts.remove(&id);
        } else if matches!(result, AttemptResult::Cancelled | AttemptResult::TimedOut)
            && self.scenario.tuning.cancel_stops_job
        {
            self.send_cancellation(id, request_id, worker);
        }
        let Some(request) = self.scheduler_requests.get_mut(&request_id) else { return };
        request.attempts_in_flight -= 1;
        let scheduler = request.scheduler;
        if result == AttemptResult::Served && !request.is_answered {
            self.respond(request_id, FinalResponse::Served);
        }
        let report = self.response_load_report(worker, result);
        let request_finished =
            self.scheduler_requests.get(&request_id).is_none_or(|request| request.is_answered);
        let outcome = AttemptOutcome {
            request: request_id,
            attempt: number,
            outcome: result,
            request_finished,
            elapsed: self.now - sent_at,
            report,
        };
        self.notify_scheduler(scheduler, Event::AttemptCompleted(outcome));
        self.close_request(request_id);
    }

    fn send_cancellation(&mut self, id: AttemptId, request: RequestId, worker: WorkerId) {
        let to_zone = self.worker_zone(worker);
        let scheduler = self.scheduler_requests.get(&request).map(|request| request.scheduler);
        let from_zone = scheduler.map_or(to_zone, |scheduler| self.scheduler_zone(scheduler));
        let delay = self.network_delay(from_zone, to_zone);
        self.schedule(self.now + delay, SimulationEvent::CancellationArrived(id));
    }

    /// Returns the load report that a worker sends with its response to an attempt. Returns `None` if the
    /// scenario has load queries instead, or if the result does not come from the worker.
    fn response_load_report(&mut self, worker: WorkerId, result: AttemptResult) -> Option<LoadReport> {
        let reports = &self.scenario.load_reports;
        let is_from_worker =
            matches!(result, AttemptResult::Served | AttemptResult::Error | AttemptResult::Rejected);
        if reports.load_query.is_some() || !is_from_worker {
            return None;
        }
        let refresh = micros_from_seconds(reports.refresh_interval_s) + self.report_delay;
        let (random, sigma) = (&mut self.report_random, reports.noise_slots);
        let worker = &mut self.workers[worker.0 as usize].0;
        Some(worker.load_report(self.now, refresh, || draw_report_noise(random, sigma)))
    }

    /// Notifies a scheduler of the progress of an attempt, if the scheduler still waits for the attempt.
    pub(super) fn notify_progress(&mut self, id: AttemptId, progress: Progress) {
        let Some(attempt) = self.attempts.get(&id).filter(|attempt| attempt.is_in_flight) else { return };
        let (request, attempt) = (attempt.request, attempt.number);
        let Some(scheduler) = self.scheduler_requests.get(&request).map(|request| request.scheduler) else {
            return;
        };
        self.notify_scheduler(scheduler, Event::AttemptProgress { request, attempt, progress });
    }

    /// Records that an attempt has left its worker, or that it never reached the worker. If the scheduler no
    /// longer waits for the attempt, the simulation deletes the attempt.
    pub(super) fn record_left_worker(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.is_at_worker = false;
        let client_job = attempt.client_job;
        if !attempt.is_in_flight {
            self.attempts.remove(&id);
        }
        self.release_client_job(client_job);
    }

    /// Sends an attempt's result to its scheduler, if the scheduler still waits for the attempt.
    pub(super) fn report_result(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(attempt) = self.attempts.get(&id).filter(|attempt| attempt.is_in_flight) else { return };
        let (request, worker) = (attempt.request, attempt.worker);
        let Some(scheduler) = self.scheduler_requests.get(&request).map(|request| request.scheduler) else {
            return;
        };
        if result == AttemptResult::Served {
            self.rule_checker.result_made(request);
        }
        let (from_zone, to_zone) = (self.worker_zone(worker), self.scheduler_zone(scheduler));
        let callback_delay = self.connection_faults[worker.0 as usize].callback_delay;
        let delay = self.network_delay(from_zone, to_zone) + callback_delay;
        self.schedule(self.now + delay, SimulationEvent::AttemptCompleted { attempt: id, result });
    }
}
