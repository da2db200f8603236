//! Load queries in the simulation. Each load query gives the scheduler that sent it exactly one result.
use copperspread_dispatcher::{Event, LoadReport, Micros, Outcome as AttemptResult, WorkerId};
use rand::RngExt;

use super::event_queue::SimulationEvent;
use super::requests::{LoadQueryId, PendingLoadQuery};
use super::{COOLDOWN, Simulation, draw_report_noise};
use crate::model::connection_faults::DeliveryResult;
use crate::model::fleet::worker_ids;
use crate::model::scheduler_id::SchedulerId;
use crate::model::worker::{OfferResult, OfferedJob, ProcessState};
use crate::scenario::micros_from_seconds;

impl Simulation<'_> {
    /// Schedules the first refresh of each worker's load report. The first refreshes of all workers are
    /// spread evenly over one refresh interval.
    pub(super) fn schedule_initial_refreshes(&mut self) {
        let interval = micros_from_seconds(self.scenario.load_reports.refresh_interval_s);
        let count = self.workers.len() as u64;
        for worker in worker_ids(self.workers.len()) {
            let event = SimulationEvent::ReportRefreshDue { worker };
            self.schedule(interval * u64::from(worker.0) / count, event);
        }
    }

    pub(super) fn send_load_query(&mut self, scheduler: SchedulerId, worker: WorkerId) {
        let query = LoadQueryId(self.next_id());
        let process_number = self.schedulers[scheduler.index()].process_number;
        self.load_queries.insert(query, PendingLoadQuery { scheduler, process_number, worker });
        let is_known = (worker.0 as usize) < self.workers.len();
        let Some(settings) = self.scenario.load_reports.load_query.filter(|_| is_known) else {
            return self.schedule_load_query_result(self.now, query, AttemptResult::Superseded, None);
        };
        self.load_queries_sent += 1;
        let (from_zone, to_zone) = (self.scheduler_zone(scheduler), self.worker_zone(worker));
        let delay = self.network_delay(from_zone, to_zone) + self.connection_delay(scheduler, worker);
        self.schedule(self.now + delay, SimulationEvent::LoadQueryArrived(query));
        let timeout = micros_from_seconds(settings.timeout_s);
        self.schedule_load_query_result(self.now + timeout, query, AttemptResult::TimedOut, None);
    }

    pub(super) fn deliver_load_query(&mut self, query: LoadQueryId) {
        let Some(&PendingLoadQuery { worker, .. }) = self.load_queries.get(&query) else { return };
        let Some(settings) = self.scenario.load_reports.load_query else { return };
        let draw = self.network_random.random();
        let delivery = self.connection_faults[worker.0 as usize].delivery_result(draw);
        let state = self.worker(worker);
        let failure = match (state.process, delivery) {
            // The worker's machine does not respond. The load query ends when the scheduler's timeout
            // expires.
            (ProcessState::Unreachable, _) => return,
            (ProcessState::Stopped, _) => Some(AttemptResult::ConnectFailed),
            _ if state.is_refusing => Some(AttemptResult::ConnectFailed),
            (ProcessState::Draining, _) => Some(AttemptResult::Rejected),
            (_, DeliveryResult::Delivered) => None,
            (_, DeliveryResult::ImmediateError) => Some(AttemptResult::Error),
            (
                _,
                DeliveryResult::ResetBeforeTaken
                | DeliveryResult::ResetAfterTaken
                | DeliveryResult::InvalidResponse,
            ) => Some(AttemptResult::Reset),
        };
        match failure {
            Some(result) => self.answer_load_query(query, result, 0),
            None if settings.queued => self.queue_load_query(query, worker, settings.work),
            None => self.answer_beside_jobs(query, worker, settings.work),
        }
    }

    /// Answers a load query without putting it into the worker's queue. The work for the answer delays the
    /// worker's running jobs.
    fn answer_beside_jobs(&mut self, query: LoadQueryId, worker: WorkerId, work: f64) {
        let now = self.now;
        let state = self.worker_mut(worker);
        let elapsed = micros_from_seconds(work / state.spec.speed);
        state.charge_side_work(now, work);
        self.answer_load_query(query, AttemptResult::Served, elapsed);
        self.apply_worker_effects(worker, Vec::new());
    }

    /// Offers a load query to the worker's queue, in which the load query waits like a job.
    fn queue_load_query(&mut self, query: LoadQueryId, worker: WorkerId, work: f64) {
        let now = self.now;
        let job = OfferedJob::load_query(query.0, work);
        let mut effects = Vec::new();
        match self.worker_mut(worker).offer(now, job, &mut effects) {
            OfferResult::Accepted => {
                self.jobs_at_workers += 1;
                self.apply_worker_effects(worker, effects);
            }
            OfferResult::QueueFull => self.answer_load_query(query, AttemptResult::Rejected, 0),
            OfferResult::ConnectionRefused | OfferResult::Unreachable => {
                self.answer_load_query(query, AttemptResult::ConnectFailed, 0);
            }
        }
    }

    /// Sends the result of a load query to its scheduler. If the load query was served, the result has a load
    /// report.
    ///
    /// Does nothing if `query` is not the ID of an open load query. Callers may pass the ID of an attempt,
    /// because workers do not distinguish attempts from load queries.
    pub(super) fn answer_load_query(&mut self, query: LoadQueryId, result: AttemptResult, elapsed: Micros) {
        let Some(&PendingLoadQuery { scheduler, worker, .. }) = self.load_queries.get(&query) else { return };
        let Some(settings) = self.scenario.load_reports.load_query else { return };
        let (now, age) = (self.now, micros_from_seconds(settings.staleness_s) + self.report_delay);
        let report = self.worker_mut(worker).answer_load_query(now, age);
        let report = report.filter(|_| result == AttemptResult::Served);
        let (from_zone, to_zone) = (self.worker_zone(worker), self.scheduler_zone(scheduler));
        let delay = self.network_delay(from_zone, to_zone) + elapsed;
        self.schedule_load_query_result(now + delay, query, result, report);
    }

    fn schedule_load_query_result(
        &mut self,
        at: Micros,
        query: LoadQueryId,
        result: AttemptResult,
        report: Option<LoadReport>,
    ) {
        self.schedule(at, SimulationEvent::LoadQueryCompleted { query, result, report });
    }

    /// Passes the result of a load query to the scheduler process that sent the query. Only the first result
    /// is passed on, and later results are dropped. If that process has ended, the first result is dropped
    /// too.
    pub(super) fn complete_load_query(
        &mut self,
        query: LoadQueryId,
        result: AttemptResult,
        report: Option<LoadReport>,
    ) {
        let Some(pending) = self.load_queries.remove(&query) else { return };
        if self.schedulers[pending.scheduler.index()].process_number == pending.process_number {
            let worker = pending.worker;
            let event = Event::LoadQueryCompleted { worker, outcome: result, report };
            self.notify_scheduler(pending.scheduler, event);
        }
    }

    pub(super) fn refresh_load_report(&mut self, worker: WorkerId) {
        let reports = &self.scenario.load_reports;
        let (interval, now) = (micros_from_seconds(reports.refresh_interval_s), self.now);
        let (random, sigma) = (&mut self.report_random, reports.noise_slots);
        let state = &mut self.workers[worker.0 as usize].0;
        state.refresh_load_report(now, interval, || draw_report_noise(random, sigma));
        if now <= micros_from_seconds(self.scenario.duration_s) + COOLDOWN {
            self.schedule(now + interval, SimulationEvent::ReportRefreshDue { worker });
        }
    }
}
