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

/// Utilization assumed before the first load report, and for a worker whose load report gives neither the
/// free slots nor a utilization.
const INITIAL_UTILIZATION: f64 = 0.5;
/// Age that a load report is assumed to have when it arrives. Workers update their reports about once a
/// second, and a report takes time in transit.
pub(super) const REPORT_AGE: Micros = 800_000;
/// Weight of one load report in the moving average of the fleet utilization. About the last 10 reports
/// contribute, which arrive within a few seconds.
const UTILIZATION_GAIN: f64 = 0.1;
/// Largest utilization that one load report contributes to the fleet utilization.
const MAX_REPORTED_UTILIZATION: f64 = 2.0;
/// Limit on a load ratio, which is the observed utilization of a worker kind or zone divided by its expected
/// utilization. The ratio is kept between the inverse of this limit and this limit.
const MAX_LOAD_RATIO: f64 = 5.0;
/// Smallest load that is recorded for a full worker, as a multiple of the worker's slots. A worker counts as
/// full if it rejected an attempt or let a load query time out.
const MIN_REJECTING_LOAD: f64 = 1.5;
/// Weight, in slots, of the mean load of similar workers in the expected load of a worker. Similar workers
/// have the same kind and zone. The expected load combines this mean with an estimate from the slots that
/// this dispatcher's own requests use at the worker. If the own requests are expected to use as many slots as
/// this weight, the mean and the estimate count equally. The higher the weight, the less the own requests
/// change the expected load.
const MEAN_PRIOR_WEIGHT: f64 = 1.0;
/// Lower bound of the mean number of slots in use at a worker. That number is a divisor and must not be 0.
const MIN_MEAN_SLOTS: f64 = 1e-3;

/// The valid values of a worker's load report. Invalid values count as absent.
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

    /// Returns the number of slots that the worker has, or `None` if its load report does not contain the
    /// free slots. The number is the free slots plus the running requests in the report. The running requests
    /// are those in flight minus those in the queue.
    pub(super) fn slots(&self) -> Option<f64> {
        let running = self.in_flight.zip(self.queue).map_or(0.0, |(all, queue)| (all - queue).max(0.0));
        self.free_slots.map(|free| free + running)
    }

    /// Returns the number of slots in use at a worker that has `slots` slots. Slots that waiting requests
    /// need are included.
    fn slots_in_use(&self, slots: f64, mean_request_slots: f64) -> f64 {
        let waiting = self.queue.unwrap_or(0.0) * mean_request_slots;
        if let Some(free) = self.free_slots {
            let taken = (slots - free).max(0.0);
            // If the worker does not report its queue, requests in flight beyond the slots in use count as
            // waiting.
            let in_flight = self.in_flight.filter(|_| self.queue.is_none()).unwrap_or(0.0);
            let in_use = in_flight * mean_request_slots;
            return in_use.max(taken) + waiting;
        }
        // A worker that reports no load is assumed to have a default utilization. Otherwise only rejections
        // would change the fleet utilization. A rejection counts as a utilization of at least
        // `MIN_REJECTING_LOAD`, so the fleet utilization would rise and never fall.
        let utilization = self.utilization.unwrap_or(INITIAL_UTILIZATION);
        utilization * slots + waiting
    }
}

/// Properties of a worker that are needed to interpret its load report, or to estimate how many of its slots
/// other dispatchers' requests occupy.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerLoad {
    pub(super) kind: u32,
    pub(super) zone: u32,
    pub(super) slots: f64,
    /// Number of slots that this dispatcher's attempts use at the worker. When a load report is recorded,
    /// this is the number at the time when the report was made. When the slots of other dispatchers are
    /// estimated, it is the current number.
    pub(super) local_slots: f64,
}

/// Utilization of the fleet, and load ratios of its worker kinds and zones, learned from load reports. A load
/// ratio is an observed utilization divided by an expected one.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadReports {
    /// Fraction of the fleet's requests that this dispatcher is assumed to handle, from 0 to 1.
    local_share: f64,
    /// Mean utilization of the fleet's workers. The utilization of a worker is the number of slots that the
    /// requests there use or wait for, divided by the worker's number of slots. The value may exceed 1,
    /// because waiting requests count.
    fleet_utilization: f64,
    /// Utilization of each worker kind, divided by the utilization of the fleet.
    kind_load_ratios: Vec<AverageRatio>,
    /// Utilization of each zone's workers, divided by the utilization that is expected from the kinds of
    /// these workers.
    zone_load_ratios: Vec<AverageRatio>,
}

/// What is kept of the last load report of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedLoad {
    /// Number of the worker's slots that other dispatchers' attempts occupied according to its last load
    /// report.
    remote_slots: f64,
    /// Time at which the worker's last load report arrived.
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

    /// Returns the fraction of the fleet's requests that this dispatcher is assumed to handle, from 0 to 1.
    pub(super) fn local_share(&self) -> f64 {
        self.local_share
    }

    /// Returns the mean utilization of the fleet's workers. The utilization of a worker is the number of
    /// slots that the requests there use or wait for, divided by the worker's number of slots. The result may
    /// exceed 1, because waiting requests count.
    pub(super) fn fleet_utilization(&self) -> f64 {
        self.fleet_utilization
    }

    /// Records a worker's load report. `is_full` is true if the worker rejected an attempt or let a load
    /// query time out, both of which show a lack of capacity. `load.local_slots` is the number of slots that
    /// this dispatcher's attempts used when the report was made, which was [`REPORT_AGE`] ago.
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
            // capacity. The report may be older than the surge of requests. It may also contain only the
            // fraction of cores in use, which cannot exceed 1.
            total = total.max(MIN_REJECTING_LOAD * load.slots);
        }
        // The utilization is limited. Otherwise a few faulty workers with long queues would make the whole
        // fleet look overloaded.
        let utilization = (total / load.slots).min(MAX_REPORTED_UTILIZATION);
        move_average(&mut self.fleet_utilization, utilization, UTILIZATION_GAIN);
        // The fleet utilization adapts fast, and the load ratios of kinds and zones adapt slowly. A zone is
        // compared with the load expected of its worker kinds. If it were compared with the whole fleet, a
        // zone with many workers of a loaded kind would itself seem loaded.
        let kind = &mut self.kind_load_ratios[load.kind as usize];
        kind.add(utilization, self.fleet_utilization, SLOW_GAIN);
        let expected = self.fleet_utilization * kind.ratio(MAX_LOAD_RATIO);
        self.zone_load_ratios[load.zone as usize].add(utilization, expected, SLOW_GAIN);
        // The slots that other dispatchers' requests occupy are all occupied slots minus those of this
        // dispatcher's attempts, both at the time when the report was made. The report includes attempts that
        // have completed since then, and lacks attempts sent since then. If the slots of the attempts now in
        // flight were subtracted, attempts that the report does not include would be subtracted too. The
        // worker would look less loaded than it is, and many dispatchers would select the same worker.
        worker.remote_slots = (total - load.local_slots).max(0.0);
        worker.reported_at = Some(now);
    }

    /// Returns how many slots of a worker other dispatchers' requests are expected to occupy. The number
    /// starts at the value from the worker's last load report. Within about a mean response time, it moves to
    /// an expected value, which is computed from the load of the worker's kind and zone and from this
    /// dispatcher's own requests.
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
        // This dispatcher's own requests are a sample of all requests. If many of them are at a worker, the
        // other dispatchers are likely to have many requests there too, because they use the same policy. The
        // total number of occupied slots is therefore estimated from the slots of the own requests and from
        // the mean load of similar workers. This estimate does not use the worker's own load report, because
        // that report may be late or missing.
        let expected_total = (load.local_slots + MEAN_PRIOR_WEIGHT)
            / (self.local_share + MEAN_PRIOR_WEIGHT / mean.max(MIN_MEAN_SLOTS));
        let expected_remote = expected_total * (1.0 - self.local_share);
        let Some(reported_at) = worker.reported_at else {
            return RemoteSlots { mean: expected_remote, variance: expected_remote };
        };
        // `freshness` is the weight of the load report. It approximates an exponential decay with the age of
        // the report, but costs less time to compute.
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
