//! Load reports: what workers report about their load. The utilization of the fleet and the slots that other
//! dispatchers occupy at a worker are estimated from these reports.
use super::average::AverageRatio;
use super::average::move_average;
use super::constants::MAX_VALID_VALUE;
use super::constants::SLOW_GAIN;
use super::remote_slots::RemoteSlots;
use crate::LoadReport;
use crate::Micros;
use crate::time::to_seconds;

/// Utilization assumed before the first load report, and for a worker whose load report contains no load.
const INITIAL_UTILIZATION: f64 = 0.5;
/// Assumed age of a load report on arrival, because workers update their reports about once a second and a
/// report takes time in transit.
pub(super) const REPORT_AGE: Micros = 800_000;
/// Weight of one load report in the fleet utilization: about the last 10 reports contribute, which come
/// within a few seconds.
const UTILIZATION_GAIN: f64 = 0.1;
/// Largest utilization that one load report contributes to the fleet utilization.
const MAX_REPORTED_UTILIZATION: f64 = 2.0;
/// Limit on the ratio of the observed to the expected load of a worker kind or zone: the ratio is kept
/// between the inverse of this limit and this limit.
const MAX_LOAD_RATIO: f64 = 5.0;
/// Lower limit of the load recorded for a worker that rejected an attempt or let a load query time out, as a
/// multiple of the worker's slots.
const MIN_REJECTING_LOAD: f64 = 1.5;
/// Weight of the mean load of workers of the same kind and zone in the expected load of a worker. The
/// expected load combines this mean load with the slots that this dispatcher's own requests use at the
/// worker. The weight is given as a number of such slots; the higher the weight, the less they count.
const MEAN_PRIOR_WEIGHT: f64 = 1.0;
/// Lower bound of the mean number of slots in use at a worker, which serves as a divisor and must not be 0.
const MIN_MEAN_SLOTS: f64 = 1e-3;

/// The valid values of a load report; invalid values count as absent.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedValues {
    queue: Option<f64>,
    in_flight: Option<f64>,
    utilization: Option<f64>,
    free_slots: Option<f64>,
}

impl ReportedValues {
    pub(super) fn new(report: &LoadReport) -> Self {
        let valid = |value: Option<f64>| value.filter(|value| (0.0..=MAX_VALID_VALUE).contains(value));
        ReportedValues {
            queue: valid(report.queue),
            in_flight: valid(report.in_flight),
            utilization: valid(report.utilization),
            free_slots: valid(report.free_slots),
        }
    }

    /// Returns the worker's number of slots: the sum of the free slots and of the running requests in the
    /// load report. Running requests are those in flight without those in the queue. `None` if the report
    /// does not contain the free slots.
    pub(super) fn slots(&self) -> Option<f64> {
        let running = self.in_flight.zip(self.queue).map_or(0.0, |(all, queue)| (all - queue).max(0.0));
        self.free_slots.map(|free| free + running)
    }

    /// Slots in use at a worker with `slots` slots, including those that waiting requests need.
    fn slots_in_use(&self, slots: f64, mean_request_slots: f64) -> f64 {
        let waiting = self.queue.unwrap_or(0.0) * mean_request_slots;
        if let Some(free) = self.free_slots {
            let taken = (slots - free).max(0.0);
            // If the queue is not reported, requests in flight beyond the slots in use count as waiting.
            let in_flight = self.in_flight.filter(|_| self.queue.is_none()).unwrap_or(0.0);
            let in_use = in_flight * mean_request_slots;
            return in_use.max(taken) + waiting;
        }
        // If the worker reports no load, a default utilization is used, because otherwise only rejections
        // would change the fleet utilization, which would then never fall.
        let utilization = self.utilization.unwrap_or(INITIAL_UTILIZATION);
        utilization * slots + waiting
    }
}

/// Properties of a worker that are needed to interpret its load report or to estimate its remote slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerLoad {
    pub(super) kind: u32,
    pub(super) zone: u32,
    pub(super) slots: f64,
    /// Slots of this dispatcher's attempts at the worker. To record a load report, these are the slots in use
    /// when the report was made; to estimate remote slots, those in use now.
    pub(super) local_slots: f64,
}

/// Utilization of the fleet and relative loads of its worker kinds and zones, learned from load reports.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadReports {
    /// Fraction of all requests that this dispatcher handles.
    local_share: f64,
    /// Mean utilization of a worker: the slots that requests of all dispatchers together use or wait for,
    /// divided by the worker's slots. May exceed 1, because waiting requests count.
    fleet_utilization: f64,
    /// Utilization of each worker kind relative to the utilization of the fleet.
    kind_load_ratios: Vec<AverageRatio>,
    /// Utilization of each zone's workers relative to the utilization expected of workers of the same kinds
    /// anywhere in the fleet.
    zone_load_ratios: Vec<AverageRatio>,
}

/// The last load report of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedLoad {
    /// Slots that other dispatchers' attempts occupied according to the worker's last load report.
    remote_slots: f64,
    /// When the worker's last load report arrived.
    reported_at: Option<Micros>,
}

impl ReportedLoad {
    /// Discards the load report of a worker that has restarted.
    pub(super) fn reset(&mut self) {
        self.reported_at = None;
    }
}

impl LoadReports {
    pub(super) fn new(fleet_size: u32) -> Self {
        LoadReports {
            local_share: 1.0 / f64::from(fleet_size),
            fleet_utilization: INITIAL_UTILIZATION,
            ..LoadReports::default()
        }
    }

    /// Resizes the tables for the given numbers of worker kinds and zones.
    pub(super) fn resize(&mut self, kind_count: usize, zone_count: usize) {
        let initial_ratio = AverageRatio::starting_at(INITIAL_UTILIZATION);
        self.kind_load_ratios.resize(kind_count, initial_ratio);
        self.zone_load_ratios.resize(zone_count, initial_ratio);
    }

    /// Fraction of all requests that this dispatcher handles, from 0 to 1.
    pub(super) fn local_share(&self) -> f64 {
        self.local_share
    }

    /// Returns the mean utilization of a worker: the slots that requests of all dispatchers together use or
    /// wait for, divided by the worker's slots. May exceed 1, because waiting requests count.
    pub(super) fn fleet_utilization(&self) -> f64 {
        self.fleet_utilization
    }

    /// Records a worker's load report. `is_full` means that the worker rejected an attempt or that a load
    /// query to the worker timed out, both of which show a lack of capacity. `load.local_slots` is the number
    /// of slots that this dispatcher's attempts used when the report was made, [`REPORT_AGE`] ago.
    pub(super) fn record(
        &mut self,
        now: Micros,
        worker: &mut ReportedLoad,
        load: WorkerLoad,
        values: ReportedValues,
        is_full: bool,
        mean_request_slots: f64,
    ) {
        let mut total = values.slots_in_use(load.slots, mean_request_slots);
        if is_full {
            // The load of a full worker is raised to a minimum, because its load report may still show free
            // capacity: the report can be older than the surge of requests, or contain only the fraction of
            // cores in use, which cannot exceed 1.
            total = total.max(MIN_REJECTING_LOAD * load.slots);
        }
        // The utilization is limited because a few faulty workers with long queues must not make the whole
        // fleet look overloaded.
        let utilization = (total / load.slots).min(MAX_REPORTED_UTILIZATION);
        move_average(&mut self.fleet_utilization, utilization, UTILIZATION_GAIN);
        // The fleet utilization adapts fast, while the load ratios of kinds and zones adapt slowly. A zone is
        // compared with the load expected of its worker kinds rather than of the fleet, so that a zone does
        // not seem loaded only because it has many workers of a loaded kind.
        let kind = &mut self.kind_load_ratios[load.kind as usize];
        kind.add(utilization, self.fleet_utilization, SLOW_GAIN);
        let expected = self.fleet_utilization * kind.ratio(MAX_LOAD_RATIO);
        self.zone_load_ratios[load.zone as usize].add(utilization, expected, SLOW_GAIN);
        // The local slots are those in use when the report was made, because the report includes attempts
        // that have completed since then and lacks attempts sent since then. If the current local slots were
        // subtracted, dispatchers would take requests of other dispatchers for their own and select the same
        // worker.
        worker.remote_slots = (total - load.local_slots).max(0.0);
        worker.reported_at = Some(now);
    }

    /// Returns the slots that other dispatchers are expected to occupy at a worker. Within about a mean
    /// response time after the last load report, the number moves from the value in that report to the value
    /// expected from the load of the worker's kind and zone and from this dispatcher's own requests.
    pub(super) fn remote_slots(
        &self,
        now: Micros,
        worker: &ReportedLoad,
        load: WorkerLoad,
        mean_response_seconds: f64,
    ) -> RemoteSlots {
        let kind_ratio = self.kind_load_ratios[load.kind as usize].ratio(MAX_LOAD_RATIO);
        let zone_ratio = self.zone_load_ratios[load.zone as usize].ratio(MAX_LOAD_RATIO);
        let mean = self.fleet_utilization * (kind_ratio * zone_ratio) * load.slots;
        // This dispatcher's own requests are a sample of all requests: the more of them are at a worker, the
        // more requests its peers, which use the same policy, are likely to have there. The expected number
        // of slots therefore needs no load report, which may be late or missing.
        let expected_total = (load.local_slots + MEAN_PRIOR_WEIGHT)
            / (self.local_share + MEAN_PRIOR_WEIGHT / mean.max(MIN_MEAN_SLOTS));
        let expected_remote = expected_total * (1.0 - self.local_share);
        let Some(reported_at) = worker.reported_at else {
            return RemoteSlots { mean: expected_remote, variance: expected_remote };
        };
        // The weight `freshness` of the load report approximates an exponential decay with the age of the
        // report, but costs less time to compute.
        let age = to_seconds(now.saturating_sub(reported_at) + REPORT_AGE);
        let aged = 1.0 + age / mean_response_seconds;
        let freshness = 1.0 / (aged * aged);
        let mean = expected_remote + (worker.remote_slots - expected_remote) * freshness;
        RemoteSlots { mean, variance: expected_remote * (1.0 - freshness * freshness) }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/load_reports.rs"]
mod tests;
