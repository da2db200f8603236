//! Answers load queries, and generates the workers' load reports.
use copperspread_dispatcher::{LoadReport, Micros, WorkerId};
use rand::RngExt;
use rand_distr::{Distribution, Normal};
use tokio::sync::oneshot;

use crate::emulation::messages::LoadQueryResponse;
use crate::emulation::state::EmulationState;
use crate::model::connection_faults::DeliveryResult;
use crate::model::random::RandomStream;
use crate::model::worker::{OfferResult, OfferedJob, ProcessState};
use crate::scenario::micros_from_seconds;

impl EmulationState {
    /// Handles a load query that arrives at a worker, and returns the worker's response.
    pub(crate) fn receive_load_query(&mut self, worker: WorkerId) -> LoadQueryResponse {
        let Some(query) = self.scenario.load_reports.load_query else { return LoadQueryResponse::NotFound };
        self.account_in_flight();
        let now = self.now();
        self.load_query_count += 1;
        match self.connections[worker.0 as usize].delivery_result(self.network_random.random()) {
            DeliveryResult::Delivered => {}
            DeliveryResult::ResetBeforeTaken | DeliveryResult::ResetAfterTaken => {
                return LoadQueryResponse::Reset;
            }
            DeliveryResult::InvalidResponse => return LoadQueryResponse::Garbage,
            DeliveryResult::ImmediateError => return LoadQueryResponse::Failed,
        }
        let model = &mut self.workers[worker.0 as usize].0;
        if model.process != ProcessState::Up {
            return LoadQueryResponse::Unavailable;
        }
        if query.queued {
            return self.queue_load_query(worker, query.work, now);
        }
        model.charge_side_work(now, query.work);
        LoadQueryResponse::AfterDelay(micros_from_seconds(query.work / model.spec.speed))
    }

    /// Puts a load query into a worker's queue, as a job of one slot.
    fn queue_load_query(&mut self, worker: WorkerId, work: f64, now: Micros) -> LoadQueryResponse {
        let id = self.next_id();
        let mut effects = Vec::new();
        let model = &mut self.workers[worker.0 as usize].0;
        if model.offer(now, OfferedJob::load_query(id, work), &mut effects) != OfferResult::Accepted {
            return LoadQueryResponse::Unavailable;
        }
        self.in_flight.count += 1;
        let (finished_sender, finished) = oneshot::channel();
        self.load_queries.insert(id, finished_sender);
        self.apply_effects(worker, effects);
        LoadQueryResponse::Queued(finished)
    }

    /// Returns the load report that a worker sends in response to a load query. A scenario can set that
    /// workers answer with outdated reports, and a fault can make the reports still older. The returned
    /// report is the worker's newest report that is old enough, or an empty report if none is that old.
    pub(crate) fn queried_load_report(&mut self, worker: WorkerId) -> LoadReport {
        let now = self.now();
        let query = self.scenario.load_reports.load_query;
        let staleness = query.map_or(0, |query| micros_from_seconds(query.staleness_s));
        let delay = staleness + self.extra_report_delay;
        self.workers[worker.0 as usize].0.answer_load_query(now, delay).unwrap_or_default()
    }

    /// Records a new load report of a worker, with which the worker will answer load queries.
    pub(crate) fn refresh_load_report(&mut self, worker: WorkerId) {
        let now = self.now();
        let interval = micros_from_seconds(self.scenario.load_reports.refresh_interval_s);
        let noise = noise(&mut self.noise_random, self.scenario.load_reports.noise_slots);
        self.workers[worker.0 as usize].0.refresh_load_report(now, interval, noise);
    }

    /// Returns the load report that a worker attaches to its responses and callbacks. In a scenario with load
    /// queries, the attached report is empty. Workers then report their load only in response to load
    /// queries.
    pub(super) fn response_load_report(&mut self, worker: WorkerId) -> LoadReport {
        if self.scenario.load_reports.load_query.is_some() {
            return LoadReport::default();
        }
        let now = self.now();
        let reports = &self.scenario.load_reports;
        let interval = micros_from_seconds(reports.refresh_interval_s) + self.extra_report_delay;
        let noise = noise(&mut self.noise_random, reports.noise_slots);
        self.workers[worker.0 as usize].0.load_report(now, interval, noise)
    }
}

/// Returns a function that draws the random error of one value of a load report. The errors have a normal
/// distribution with mean 0 and standard deviation `sigma`.
fn noise(random: &mut RandomStream, sigma: f64) -> impl FnMut() -> f64 {
    move || Normal::new(0.0, sigma).map_or(0.0, |normal| normal.sample(&mut *random))
}
