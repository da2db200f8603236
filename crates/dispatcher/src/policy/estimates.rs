//! Estimates of a request at a worker, from all that is known of the worker, and the time that it has.
use super::listed_load::ListedLoads;
use super::load_reports::LoadReports;
use super::load_reports::WorkerLoad;
use super::remote_slots::RemoteSlots;
use super::request::Request;
use super::service_time::ServiceTimeEstimate;
use super::service_time::ServiceTimeEstimator;
use super::service_time::WorkerOccupancy;
use super::worker::Worker;
use crate::Micros;
use crate::RequestClass;
use crate::time::to_seconds;

/// A view of what an estimate rests on.
#[derive(Clone, Copy)]
pub(super) struct WorkerEstimates<'a> {
    pub(super) service_times: &'a ServiceTimeEstimator,
    pub(super) load_reports: &'a LoadReports,
    pub(super) listed_loads: &'a ListedLoads,
}

/// A worker for which an estimate is made.
#[derive(Clone, Copy)]
pub(super) struct EstimatedWorker<'a> {
    pub(super) index: usize,
    pub(super) worker: &'a Worker,
    pub(super) is_warming_up: bool,
}

impl WorkerEstimates<'_> {
    /// How long a request would take at a worker.
    pub(super) fn estimate(
        &self,
        now: Micros,
        at: EstimatedWorker<'_>,
        request: &Request,
    ) -> ServiceTimeEstimate {
        let slots = self.service_times.slots_of(at.worker.kind);
        let local_slots = at.worker.local_load.slots_in_use();
        let remote_slots = self.remote_slots(now, at, slots, local_slots);
        let occupancy = WorkerOccupancy { slots, local_slots, remote_slots };
        self.service_times.estimate(&at.worker.rate, request.work, request.slots, occupancy)
    }

    /// Slots of the other dispatchers: by the list where the worker warms up, else by its reports. Workers
    /// that warm up would pass for as crowded as the rest and stay idle. Not by the list for warm ones: all
    /// who read one list would meet at those it shows idle.
    fn remote_slots(
        &self,
        now: Micros,
        at: EstimatedWorker<'_>,
        slots: f64,
        local_slots: f64,
    ) -> RemoteSlots {
        if at.is_warming_up {
            let listed = self.listed_loads.remote_slots(now, at.index, self.load_reports.local_part());
            if let Some(listed) = listed {
                return listed;
            }
        }
        let worker = at.worker;
        let load = WorkerLoad { kind: worker.kind, zone: worker.zone, slots, local_slots };
        self.load_reports.remote_slots(
            now,
            &worker.reported,
            load,
            self.service_times.mean_response_seconds(),
        )
    }
}

/// The time that a request has, in seconds of the caller's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeLimits {
    now: f64,
    objective_at: f64,
    latency_stretch: f64,
    deadline: f64,
}

impl TimeLimits {
    pub(super) fn new(now: Micros, request: &Request, class: &RequestClass) -> Self {
        TimeLimits {
            now: to_seconds(now),
            objective_at: to_seconds(request.objective_at),
            latency_stretch: class.latency_stretch,
            deadline: to_seconds(request.deadline),
        }
    }

    /// Seconds left until the latency objective, which grows with the seconds that the request takes alone.
    pub(super) fn seconds_left(&self, seconds_alone: f64) -> f64 {
        let objective = self.objective_at + self.latency_stretch * seconds_alone;
        objective.min(self.deadline) - self.now
    }
}

#[cfg(test)]
#[path = "../../tests/unit/estimates.rs"]
mod tests;
