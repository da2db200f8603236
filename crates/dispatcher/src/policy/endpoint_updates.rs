//! Endpoint updates: what they change of workers.
use super::Dispatcher;
use super::load_reports::REPORT_AGE;
use super::load_reports::ReportFigures;
use super::load_reports::WorkerLoad;
use super::remote_slots::RemoteSlots;
use super::request::Request;
use super::service_time::ServiceTimeEstimate;
use super::service_time::WorkerOccupancy;
use super::worker::Worker;
use crate::WorkerState;
use crate::time::to_seconds;
use crate::{
    Action, Endpoint, EndpointUpdate, EndpointUpdateKind, LoadReport, Micros, Outcome, Timer, WorkerId,
};

/// Ids are given out densely; one this far beyond the last would only ask for memory.
const MAX_WORKER_ID_GAP: usize = 100_000;
const MAX_GROUPS: usize = 10_000;

impl Dispatcher {
    pub(super) fn schedule_poll(&mut self, after: Micros) {
        self.actions.push(Action::StartTimer { after, timer: Timer::Subscription });
    }

    pub(super) fn on_endpoint_update(&mut self, now: Micros, update: EndpointUpdate<'_>) {
        if update.kind == EndpointUpdateKind::Failed {
            if let Some(after) = self.subscription.record_failure(&self.settings, &mut self.rng) {
                self.schedule_poll(after);
            }
            return;
        }
        if !self.subscription.record_update(update.kind, update.version) {
            return;
        }
        if update.kind != EndpointUpdateKind::Changes {
            self.workers.iter_mut().for_each(|worker| worker.state = WorkerState::Removed);
        }
        for endpoint in update.endpoints {
            self.update_worker(now, endpoint);
        }
        let is_ready = |worker: &&Worker| worker.state == WorkerState::Ready;
        self.affinities.set_ready_workers(self.workers.iter().filter(is_ready).count());
        if self.settings.sizes_reflect_load {
            self.learn_listed_loads(now, update.endpoints);
        }
    }

    fn learn_listed_loads(&mut self, now: Micros, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            self.listed_loads.set_size(endpoint.worker.0 as usize, endpoint.size);
        }
        self.listed_loads.learn_max_sizes(self.workers.iter().map(|worker| worker.kind));
        let mean_request_slots = self.offered_load.mean_request_slots();
        for endpoint in endpoints.iter().filter(|endpoint| endpoint.state == WorkerState::Ready) {
            let index = endpoint.worker.0 as usize;
            let Some(worker) = self.workers.get(index) else { continue };
            let slots = self.service_times.slots_of(worker.kind);
            self.listed_loads.record(now, index, worker.kind, slots, mean_request_slots);
        }
    }

    fn update_worker(&mut self, now: Micros, endpoint: &Endpoint) {
        let index = endpoint.worker.0 as usize;
        let (kind, zone) = (endpoint.kind as usize, endpoint.zone as usize);
        if index > self.workers.len() + MAX_WORKER_ID_GAP || kind > MAX_GROUPS || zone > MAX_GROUPS {
            return;
        }
        self.zone_count = self.zone_count.max(zone + 1);
        self.kind_count = self.kind_count.max(kind + 1);
        while self.workers.len() <= index {
            self.workers.push(Worker::default());
        }
        let worker_count = self.workers.len();
        let kind_count = self.kind_count;
        self.service_times.resize(worker_count, kind_count);
        self.outlier_detector.resize(worker_count, kind_count);
        self.affinities.resize(worker_count);
        self.slow_start.resize(worker_count);
        self.load_reports.resize(worker_count, kind_count, self.zone_count);
        self.listed_loads.resize(worker_count, kind_count);
        if self.slow_start.set_started_at(index, endpoint.started_at) {
            // A new or restarted process: what was learned of the old one no longer holds.
            self.service_times.reset(index);
            self.load_reports.reset(index);
            self.listed_loads.reset(index);
            self.outlier_detector.reset(index);
        }
        let worker = &mut self.workers[index];
        worker.state = endpoint.state;
        worker.zone = endpoint.zone;
        worker.kind = endpoint.kind;
        worker.cell = endpoint.cell;
        if self.slow_start.set_hash_key(index, endpoint.hash_key) {
            self.affinities.draw(index, &mut self.rng);
        }
        let is_idle = self.workers[index].local_load.is_idle();
        self.service_times.refresh(now, index, endpoint.kind, is_idle);
    }

    pub(super) fn on_load_report(&mut self, now: Micros, index: usize, report: &LoadReport, is_full: bool) {
        let figures = ReportFigures::new(report);
        let worker = &self.workers[index];
        let kind = worker.kind;
        let zone = worker.zone;
        if let Some(slots) = figures.slots() {
            self.service_times.learn_slots(kind, slots);
        }
        let slots = self.service_times.slots_of(kind);
        let local_slots = worker.local_load.slots_at(now.saturating_sub(REPORT_AGE));
        self.service_times.learn_fleet_slots(slots);
        let load = WorkerLoad { worker: index, kind, zone, slots, local_slots };
        let mean_request_slots = self.offered_load.mean_request_slots();
        self.load_reports.record(now, load, figures, is_full, mean_request_slots);
    }

    /// Slots of the other dispatchers: by the list where the worker warms up, else by its reports. Workers
    /// that warm up would pass for as crowded as the rest and stay idle. Not by the list for warm ones: all
    /// who read one list would meet at those it shows idle.
    pub(super) fn remote_slots(&self, now: Micros, index: usize, slots: f64) -> RemoteSlots {
        if self.settings.sizes_reflect_load
            && self.slow_start.is_warming_up(now, index)
            && let Some(listed) = self.listed_loads.remote_slots(now, index, self.load_reports.local_part())
        {
            return listed;
        }
        let worker = &self.workers[index];
        let local_slots = worker.local_load.slots_in_use();
        let load = WorkerLoad { worker: index, kind: worker.kind, zone: worker.zone, slots, local_slots };
        self.load_reports.remote_slots(now, load, self.service_times.mean_response_seconds())
    }

    pub(super) fn on_load_query_timer(&mut self) {
        let is_ready = |worker: usize| self.workers[worker].state == WorkerState::Ready;
        let turn = self.load_queries.take_turn(self.workers.len(), is_ready);
        if let Some(worker) = turn.worker {
            self.actions.push(Action::QueryLoad { worker: WorkerId(worker as u32) });
        }
        self.actions.push(Action::StartTimer { after: turn.next_after, timer: Timer::LoadQuery });
    }

    /// A query that timed out waited behind requests: it says as much as a rejection, nothing of failures.
    pub(super) fn on_load_query_completed(
        &mut self,
        now: Micros,
        worker: WorkerId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let index = worker.0 as usize;
        if index >= self.workers.len() {
            return;
        }
        let is_late = outcome == Outcome::TimedOut;
        if !is_late {
            self.outlier_detector.record_outcome(index, None, outcome);
        }
        if is_late || report.is_some() {
            self.on_load_report(now, index, &report.unwrap_or_default(), is_late);
        }
    }

    pub(super) fn estimate(&self, now: Micros, index: usize, request: &Request) -> ServiceTimeEstimate {
        let worker = &self.workers[index];
        let slots = self.service_times.slots_of(worker.kind);
        let occupancy = WorkerOccupancy {
            slots,
            local_slots: worker.local_load.slots_in_use(),
            remote_slots: self.remote_slots(now, index, slots),
        };
        self.service_times.estimate(index, request.work, request.slots, occupancy)
    }

    /// Seconds left until the latency objective, which grows with the request's own time at the worker.
    pub(super) fn time_left(&self, now: Micros, index: usize, request: &Request) -> f64 {
        let stretch = self.settings.classes[request.class].latency_stretch;
        let alone = request.work / self.service_times.service_rate(index);
        let objective = to_seconds(request.objective_at) + stretch * alone;
        objective.min(to_seconds(request.deadline)) - to_seconds(now)
    }

    pub(super) fn learn_rate(&mut self, now: Micros, index: usize, work: f64, seconds: f64) {
        let worker = &self.workers[index];
        let is_idle = worker.local_load.is_idle();
        self.service_times.learn_rate(now, index, worker.kind, is_idle, work, seconds);
    }
}
