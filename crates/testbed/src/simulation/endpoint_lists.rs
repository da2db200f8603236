//! Simulated discovery: the endpoint list, endpoint updates and the schedulers' subscriptions.
use std::sync::Arc;

use copperspread_dispatcher::{
    Endpoint, EndpointUpdate, EndpointUpdateKind, Event, Micros, SECOND, WorkerId, WorkerState,
};

use super::event_queue::SimulationEvent;
use super::{CLOCK_OFFSET, Simulation};
use crate::model::fleet::worker_ids;
use crate::model::scheduler_id::SchedulerId;
use crate::model::worker::ProcessState;
use crate::scenario::micros_from_seconds;

/// Time after which a call to discovery fails while discovery is down, in microseconds.
const DISCOVERY_ERROR_DELAY: Micros = SECOND;
/// Interval at which discovery switches between the stale and the current endpoint list during a
/// `discovery_contradicts` fault, in microseconds.
const LIST_ALTERNATION_INTERVAL: Micros = 3 * SECOND;

impl Simulation<'_> {
    /// Schedules the endpoint lists that each scheduler gets at the start of the run. If schedulers need no
    /// subscription, they get the full list at once, or after the delay that the scenario sets.
    ///
    /// If the full list is delayed or needs a subscription, schedulers get the cached list at once. The
    /// cached list contains `missing_workers`, the workers that no longer exist, as ready.
    pub(super) fn schedule_initial_lists(&mut self, missing_workers: &[WorkerId]) {
        let full = self.endpoint_list();
        let mut cached = full.clone();
        for &worker in missing_workers {
            cached[worker.0 as usize].state = WorkerState::Ready;
        }
        let (cached, full) = (Arc::new(cached), Arc::new(full));
        let first_at = micros_from_seconds(self.scenario.discovery.first_list_after_s);
        let must_subscribe = self.scenario.discovery.polled;
        for scheduler in SchedulerId::first(self.schedulers.len() as u32) {
            if first_at > 0 || must_subscribe {
                self.schedule_endpoints(0, scheduler, EndpointUpdateKind::Cached, &cached);
            }
            if !must_subscribe {
                self.schedule_endpoints(first_at, scheduler, EndpointUpdateKind::Full, &full);
            }
        }
    }

    pub(super) fn schedule_endpoints(
        &mut self,
        at: Micros,
        scheduler: SchedulerId,
        kind: EndpointUpdateKind,
        endpoints: &Arc<Vec<Endpoint>>,
    ) {
        let endpoints = Arc::clone(endpoints);
        self.schedule(at, SimulationEvent::EndpointsDelivered { scheduler, kind, endpoints });
    }

    fn endpoint(&self, worker: WorkerId) -> Endpoint {
        let state = self.worker(worker);
        Endpoint {
            worker,
            zone: self.worker_zone(worker),
            kind: self.kinds[worker.0 as usize],
            cell: self.cells[worker.0 as usize],
            state: match state.process {
                ProcessState::Up => WorkerState::Ready,
                ProcessState::Draining => WorkerState::Draining,
                ProcessState::Stopped | ProcessState::Unreachable => WorkerState::Removed,
            },
            started_at: state.started_at.map(|at| at + CLOCK_OFFSET),
            size: (self.scenario.discovery.size_interval_s > 0.0).then(|| self.worker_size(worker)),
            hash_key: worker.0.into(),
        }
    }

    /// Returns the current full endpoint list.
    pub(super) fn endpoint_list(&self) -> Vec<Endpoint> {
        worker_ids(self.workers.len()).map(|worker| self.endpoint(worker)).collect()
    }

    /// Returns the size of a worker in the endpoint list. It is the worker's number of cores times the mean
    /// speed of its group, divided by one plus its number of jobs per core.
    fn worker_size(&self, worker: WorkerId) -> f64 {
        let group = &self.scenario.workers[self.kinds[worker.0 as usize] as usize];
        let idle_size = group.cores * (group.speed[0] + group.speed[1]) / 2.0;
        idle_size / (1.0 + self.worker(worker).job_count() as f64 / group.cores)
    }

    /// Publishes the new sizes of the workers that are up. The size of a worker falls as its number of jobs
    /// rises (see [`Self::worker_size`]). Only sizes that have changed since this function was last called
    /// are published. Nothing is published while discovery is down, or while a `discovery_contradicts` fault
    /// makes discovery alternate between two lists. Schedules the next call of this function.
    pub(super) fn publish_sizes(&mut self) {
        let sizes: Vec<f64> = worker_ids(self.workers.len()).map(|worker| self.worker_size(worker)).collect();
        let previous = std::mem::replace(&mut self.published_sizes, sizes);
        let has_new_size = |&worker: &WorkerId| {
            let at = worker.0 as usize;
            self.worker(worker).process == ProcessState::Up
                && previous.get(at).is_none_or(|&size| size != self.published_sizes[at])
        };
        let changed: Vec<_> =
            worker_ids(self.workers.len()).filter(has_new_size).map(|worker| self.endpoint(worker)).collect();
        if self.discovery_outages == 0 && self.stale_list.is_none() {
            self.publish_changes(&Arc::new(changed));
        }
        let next = self.now + micros_from_seconds(self.scenario.discovery.size_interval_s);
        if next < micros_from_seconds(self.scenario.duration_s) {
            self.schedule(next, SimulationEvent::SizesDue);
        }
    }

    /// Publishes the changed state of a worker. While discovery is down, the change is kept for later.
    pub(super) fn publish_worker(&mut self, worker: WorkerId) {
        let endpoint = self.endpoint(worker);
        if self.discovery_outages > 0 {
            self.unpublished.push(endpoint);
            return;
        }
        self.publish_changes(&Arc::new(vec![endpoint]));
    }

    /// Publishes the workers that changed while discovery was down, each with its current state.
    pub(super) fn publish_missed_changes(&mut self) {
        let missed = std::mem::take(&mut self.unpublished);
        let endpoints: Vec<_> = missed.iter().map(|endpoint| self.endpoint(endpoint.worker)).collect();
        self.publish_changes(&Arc::new(endpoints));
    }

    fn publish_changes(&mut self, endpoints: &Arc<Vec<Endpoint>>) {
        let at = self.now + micros_from_seconds(self.scenario.discovery.delay_s);
        // The first full list must arrive before any change. The changes are therefore delayed until after
        // that list.
        let at = at.max(micros_from_seconds(self.scenario.discovery.first_list_after_s) + 1);
        for scheduler in SchedulerId::first(self.schedulers.len() as u32) {
            self.schedule_endpoints(at, scheduler, EndpointUpdateKind::Changes, endpoints);
        }
    }

    /// Publishes the current full endpoint list to all schedulers.
    pub(super) fn publish_full_list(&mut self) {
        let list = Arc::new(self.endpoint_list());
        self.publish_list(&list);
    }

    fn publish_list(&mut self, list: &Arc<Vec<Endpoint>>) {
        let at = self.now + micros_from_seconds(self.scenario.discovery.delay_s);
        for scheduler in SchedulerId::first(self.schedulers.len() as u32) {
            self.schedule_endpoints(at, scheduler, EndpointUpdateKind::Full, list);
        }
    }

    /// Starts or ends the time in which discovery alternates between the stale and the current endpoint list.
    /// At the end, the current list is published.
    pub(super) fn set_list_alternation(&mut self, is_active: bool) {
        self.stale_list = is_active.then(|| Arc::new(self.endpoint_list()));
        if is_active {
            self.alternate_lists(true);
        } else {
            self.publish_full_list();
        }
    }

    /// Publishes the stale endpoint list if `is_stale` is set, otherwise the current list. Schedules the next
    /// call of this function, which publishes the other of these two lists, after
    /// `LIST_ALTERNATION_INTERVAL`. Does nothing after the end of the `discovery_contradicts` fault.
    pub(super) fn alternate_lists(&mut self, is_stale: bool) {
        let Some(stale) = self.stale_list.clone() else { return };
        if is_stale {
            self.publish_list(&stale);
        } else {
            self.publish_full_list();
        }
        let next = SimulationEvent::AlternateListDue { is_stale: !is_stale };
        self.schedule(self.now + LIST_ALTERNATION_INTERVAL, next);
    }

    /// Subscribes a scheduler to discovery, if the scenario requires subscriptions. The scheduler gets the
    /// full endpoint list after a round trip, but not before `first_list_after_s` seconds from the start of
    /// the run. The scheduler gets all changes from now on. While discovery is down, the subscription fails
    /// after `DISCOVERY_ERROR_DELAY`.
    pub(super) fn subscribe(&mut self, scheduler: SchedulerId) {
        if !self.scenario.discovery.polled {
            return;
        }
        if self.discovery_outages > 0 {
            let at = self.now + DISCOVERY_ERROR_DELAY;
            return self.schedule_endpoints(at, scheduler, EndpointUpdateKind::Failed, &Arc::default());
        }
        self.schedulers[scheduler.index()].is_subscribed = true;
        let zone = self.scheduler_zone(scheduler);
        let round_trip = self.network_delay(zone, zone) + self.network_delay(zone, zone);
        let first_at = micros_from_seconds(self.scenario.discovery.first_list_after_s);
        let list = Arc::new(self.endpoint_list());
        let at = (self.now + round_trip).max(first_at);
        self.schedule_endpoints(at, scheduler, EndpointUpdateKind::Full, &list);
    }

    /// Ends all subscriptions, because discovery goes down. Each scheduler that was subscribed gets a failed
    /// update.
    pub(super) fn end_subscriptions(&mut self) {
        if !self.scenario.discovery.polled {
            return;
        }
        for scheduler in SchedulerId::first(self.schedulers.len() as u32) {
            let is_subscribed = &mut self.schedulers[scheduler.index()].is_subscribed;
            if std::mem::replace(is_subscribed, false) {
                self.schedule_endpoints(self.now, scheduler, EndpointUpdateKind::Failed, &Arc::default());
            }
        }
    }

    /// Delivers an endpoint update to a scheduler, if the scheduler is up. A full list or a list of changes
    /// is delivered only if the scheduler is subscribed to discovery. The scheduler's own cached list and the
    /// notice of a failed subscription are delivered without a subscription.
    pub(super) fn deliver_endpoints(
        &mut self,
        id: SchedulerId,
        kind: EndpointUpdateKind,
        endpoints: &[Endpoint],
    ) {
        let scheduler = &mut self.schedulers[id.index()];
        let needs_subscription = !matches!(kind, EndpointUpdateKind::Cached | EndpointUpdateKind::Failed);
        if !scheduler.is_up || (needs_subscription && !scheduler.is_subscribed) {
            return;
        }
        scheduler.list_version += 1;
        let version = scheduler.list_version;
        for endpoint in endpoints {
            let is_ready = endpoint.state == WorkerState::Ready;
            self.rule_checker.availability_notified(self.now, id, endpoint.worker, is_ready);
        }
        self.notify_scheduler(id, Event::Endpoints(EndpointUpdate { kind, version, endpoints }));
    }
}
