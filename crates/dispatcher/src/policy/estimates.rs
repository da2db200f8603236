//! Estimates of how long a request takes at a worker, computed from the data of several policy modules. The
//! module also contains the time limits with which these estimates are compared.
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

/// References to the data from which service-time estimates are computed.
#[derive(Clone, Copy)]
pub(super) struct WorkerEstimates<'a> {
    pub(super) service_times: &'a ServiceTimeEstimator,
    pub(super) load_reports: &'a LoadReports,
    pub(super) listed_loads: &'a ListedLoads,
}

/// The worker for which a service-time estimate is computed.
#[derive(Clone, Copy)]
pub(super) struct EstimatedWorker<'a> {
    pub(super) index: usize,
    pub(super) worker: &'a Worker,
    pub(super) is_warming_up: bool,
}

impl WorkerEstimates<'_> {
    /// Estimates how long a request would take at a worker.
    pub(super) fn estimate(
        &self,
        now: Micros,
        target: EstimatedWorker<'_>,
        request: &Request,
    ) -> ServiceTimeEstimate {
        let slots = self.service_times.slots_of(target.worker.kind);
        let local_slots = target.worker.local_load.slots_in_use();
        let remote_slots = self.remote_slots(now, target, slots, local_slots);
        let occupancy = WorkerOccupancy { slots, local_slots, remote_slots };
        self.service_times.estimate(&target.worker.rate, request.work, request.slots, occupancy)
    }

    /// Returns how many slots of a worker the requests of other dispatchers are expected to occupy. For most
    /// workers, the number is computed from load reports. The endpoint list also shows loads, but all
    /// dispatchers read the same list. They would all select the workers that the list shows as idle.
    ///
    /// For a worker that is warming up, the number is computed from the endpoint list, if the list shows the
    /// worker's load. Such a worker may not have sent a load report yet. Without its report, the number would
    /// be computed from the load of other workers of its kind and zone. The worker would then seem as loaded
    /// as the others and would stay idle.
    ///
    /// The load in the endpoint list includes this dispatcher's own requests. The fraction of all requests
    /// that this dispatcher is assumed to handle is therefore subtracted.
    fn remote_slots(
        &self,
        now: Micros,
        target: EstimatedWorker<'_>,
        slots: f64,
        local_slots: f64,
    ) -> RemoteSlots {
        if target.is_warming_up {
            let listed = self.listed_loads.remote_slots(now, target.index, self.load_reports.local_share());
            if let Some(listed) = listed {
                return listed;
            }
        }
        let worker = target.worker;
        let load = WorkerLoad { kind: worker.kind, zone: worker.zone, slots, local_slots };
        self.load_reports.remote_slots(
            now,
            &worker.reported,
            load,
            self.service_times.mean_response_seconds(),
        )
    }
}

/// The values from which the time left for a request is computed: the latency objective, the latency stretch,
/// the deadline and the current time. The latency stretch is the multiple of the request's running time by
/// which the objective is extended. Instants are in seconds on the caller's clock.
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

    /// Returns the seconds left until the request's latency objective or its deadline, whichever comes first.
    /// The result is negative if that instant has passed. The objective is extended by a multiple of
    /// `seconds_alone`, the time that the request takes if it has its slots to itself. The request's class
    /// sets this multiple, the latency stretch.
    pub(super) fn seconds_left(&self, seconds_alone: f64) -> f64 {
        let objective = self.objective_at + self.latency_stretch * seconds_alone;
        objective.min(self.deadline) - self.now
    }
}

#[cfg(test)]
#[path = "../../tests/unit/estimates.rs"]
mod tests;
