//! Endpoint updates: what they change of workers.
use super::Dispatcher;
use super::load_reports::INITIAL_UTILIZATION;
use super::worker::GroupStatistics;
use super::worker::Worker;
use crate::WorkerState;
use crate::average::{AverageRatio, LogAverage};
use crate::{Action, Endpoint, EndpointUpdate, EndpointUpdateKind, Micros, Timer};

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
            self.learn_sizes(update.endpoints);
            for endpoint in update.endpoints {
                self.learn_listed_load(now, endpoint);
            }
        }
    }

    fn update_worker(&mut self, now: Micros, endpoint: &Endpoint) {
        let index = endpoint.worker.0 as usize;
        let (kind, zone) = (endpoint.kind as usize, endpoint.zone as usize);
        if index > self.workers.len() + MAX_WORKER_ID_GAP || kind > MAX_GROUPS || zone > MAX_GROUPS {
            return;
        }
        let initial_ratio = AverageRatio::starting_at(INITIAL_UTILIZATION);
        if zone >= self.zone_load_ratios.len() {
            self.zone_load_ratios.resize(zone + 1, initial_ratio);
        }
        if kind >= self.kinds.len() {
            self.kinds.resize(kind + 1, GroupStatistics::default());
            self.kind_load_ratios.resize(kind + 1, initial_ratio);
        }
        while self.workers.len() <= index {
            self.workers.push(Worker::default());
        }
        self.outlier_detector.resize(self.workers.len(), self.kinds.len());
        self.affinities.resize(self.workers.len());
        self.slow_start.resize(self.workers.len());
        let worker = &mut self.workers[index];
        if self.slow_start.set_started_at(index, endpoint.started_at) {
            // A new or restarted process: what was learned of the old one no longer holds.
            worker.rate = LogAverage::default();
            worker.reported_at = None;
            worker.listed_at = None;
            self.outlier_detector.reset(index);
        }
        worker.state = endpoint.state;
        worker.zone = endpoint.zone;
        worker.kind = endpoint.kind;
        worker.cell = endpoint.cell;
        if self.slow_start.set_hash_key(index, endpoint.hash_key) {
            self.affinities.draw(index, &mut self.rng);
        }
        self.refresh_service_rate(now, index);
    }
}
