//! Load reports: what the other dispatchers have at the workers, by the workers' own reports.
use super::average::AverageRatio;
use super::average::move_average;
use super::figures::MAX_FIGURE;
use super::figures::SLOW_GAIN;
use super::remote_slots::RemoteSlots;
use crate::LoadReport;
use crate::Micros;
use crate::time::to_seconds;

/// Fraction of slots taken before any report has come.
const INITIAL_UTILIZATION: f64 = 0.5;
/// Age of a report when it comes: workers renew it about once a second, and it travels.
pub(super) const REPORT_AGE: Micros = 800_000;
/// Weight of one report in the fleet's utilization: about the last ten count, a few seconds.
const UTILIZATION_GAIN: f64 = 0.1;
/// Most that one report adds to it, in fractions of slots.
const MAX_REPORTED_UTILIZATION: f64 = 2.0;
/// Most by which a kind's or a zone's load is taken to differ from what was expected.
const MAX_LOAD_RATIO: f64 = 5.0;
/// A worker that rejected an attempt holds at least this many times its slots.
const MIN_REJECTING_LOAD: f64 = 1.5;
/// How firmly the kind's mean is believed against the sample that local requests give, in requests.
/// At 4 eight days of a large fleet gave a sum of 4.89, at 1 one of 4.86 (`docs/large-fleet.md`).
const MEAN_PRIOR_WEIGHT: f64 = 1.0;
/// Lowest mean by which is divided, in slots.
const MIN_MEAN_SLOTS: f64 = 1e-3;

/// The figures of a load report that can be meant.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportFigures {
    queue: Option<f64>,
    in_flight: Option<f64>,
    utilization: Option<f64>,
    free_slots: Option<f64>,
}

impl ReportFigures {
    pub(super) fn new(report: &LoadReport) -> Self {
        let valid = |figure: Option<f64>| figure.filter(|figure| (0.0..=MAX_FIGURE).contains(figure));
        ReportFigures {
            queue: valid(report.queue),
            in_flight: valid(report.in_flight),
            utilization: valid(report.utilization),
            free_slots: valid(report.free_slots),
        }
    }

    /// The worker's slots, where the report shows them: the free ones and those that run a request.
    pub(super) fn slots(&self) -> Option<f64> {
        let running = self.in_flight.zip(self.queue).map_or(0.0, |(all, queue)| (all - queue).max(0.0));
        self.free_slots.map(|free| free + running)
    }

    /// Slots in use at a worker of so many slots, waiting requests included.
    fn slots_in_use(&self, slots: f64, mean_request_slots: f64) -> f64 {
        let waiting = self.queue.unwrap_or(0.0) * mean_request_slots;
        if let Some(free) = self.free_slots {
            let taken = (slots - free).max(0.0);
            // Where the waiting requests are not reported, they are those beyond the slots taken.
            let in_flight = self.in_flight.filter(|_| self.queue.is_none()).unwrap_or(0.0);
            let in_use = in_flight * mean_request_slots;
            return in_use.max(taken) + waiting;
        }
        // Counted without a report too, as the utilization would else follow rejections alone and never fall.
        let utilization = self.utilization.unwrap_or(INITIAL_UTILIZATION);
        utilization * slots + waiting
    }
}

/// A worker as a load report is judged, and as its remote slots are expected.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerLoad {
    pub(super) kind: u32,
    pub(super) zone: u32,
    pub(super) slots: f64,
    /// Slots of this dispatcher's attempts: at a report when it was made, else now.
    pub(super) local_slots: f64,
}

/// How loaded the fleet, its kinds, its zones and its workers are by their reports.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadReports {
    /// This dispatcher's part of all requests.
    local_part: f64,
    /// Mean fraction of slots taken by all dispatchers, waiting requests included.
    fleet_utilization: f64,
    /// For each kind and zone, the fraction of slots taken against the fleet's.
    kind_load_ratios: Vec<AverageRatio>,
    zone_load_ratios: Vec<AverageRatio>,
}

/// What one worker reported last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedLoad {
    /// Slots of other dispatchers' attempts by the last report, and when it came.
    remote_slots: f64,
    reported_at: Option<Micros>,
}

impl ReportedLoad {
    /// Forgets the report of a worker that has started anew.
    pub(super) fn reset(&mut self) {
        self.reported_at = None;
    }
}

impl LoadReports {
    pub(super) fn new(fleet_size: u32) -> Self {
        LoadReports {
            local_part: 1.0 / f64::from(fleet_size),
            fleet_utilization: INITIAL_UTILIZATION,
            ..LoadReports::default()
        }
    }

    /// Makes room for so many kinds and zones.
    pub(super) fn resize(&mut self, kind_count: usize, zone_count: usize) {
        let initial_ratio = AverageRatio::starting_at(INITIAL_UTILIZATION);
        self.kind_load_ratios.resize(kind_count, initial_ratio);
        self.zone_load_ratios.resize(zone_count, initial_ratio);
    }

    /// This dispatcher's part of all requests, from 0 to 1.
    pub(super) fn local_part(&self) -> f64 {
        self.local_part
    }

    /// Mean fraction of slots taken by all dispatchers, waiting requests included.
    pub(super) fn fleet_utilization(&self) -> f64 {
        self.fleet_utilization
    }

    /// Takes a worker's report, or that it rejected an attempt because it `is_full`. The worker's
    /// `local_slots` are those that were taken when the report was made, [`REPORT_AGE`] ago.
    pub(super) fn record(
        &mut self,
        now: Micros,
        worker: &mut ReportedLoad,
        load: WorkerLoad,
        figures: ReportFigures,
        is_full: bool,
        mean_request_slots: f64,
    ) {
        let mut total = figures.slots_in_use(load.slots, mean_request_slots);
        if is_full {
            // Its reports, which are older than the rush or end at all cores in use, may still look inviting.
            total = total.max(MIN_REJECTING_LOAD * load.slots);
        }
        // A few sick workers with long queues must not pass for a lack of slots.
        let utilization = (total / load.slots).min(MAX_REPORTED_UTILIZATION);
        move_average(&mut self.fleet_utilization, utilization, UTILIZATION_GAIN);
        // The fleet's utilization moves fast; kinds and zones are learned slowly and apart, a zone against
        // what its kinds carry.
        let kind = &mut self.kind_load_ratios[load.kind as usize];
        kind.add(utilization, self.fleet_utilization, SLOW_GAIN);
        let expected = self.fleet_utilization * kind.ratio(MAX_LOAD_RATIO);
        self.zone_load_ratios[load.zone as usize].add(utilization, expected, SLOW_GAIN);
        // Attempts sent since are not in the report, some that completed since are. Otherwise dispatchers
        // would take each other's requests for their own and meet there.
        worker.remote_slots = (total - load.local_slots).max(0.0);
        worker.reported_at = Some(now);
    }

    /// The last report, fading to the mean of the worker's kind as it ages: in about a mean response time.
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
        // This dispatcher's own requests are a sample of all: the more it has here, the more its peers, who
        // judge alike, are likely to have. Reports may be late or missing.
        let all = (load.local_slots + MEAN_PRIOR_WEIGHT)
            / (self.local_part + MEAN_PRIOR_WEIGHT / mean.max(MIN_MEAN_SLOTS));
        let usual = all * (1.0 - self.local_part);
        let Some(reported_at) = worker.reported_at else {
            return RemoteSlots { mean: usual, variance: usual };
        };
        // About as the exponential, at less cost.
        let age = to_seconds(now.saturating_sub(reported_at) + REPORT_AGE);
        let aged = 1.0 + age / mean_response_seconds;
        let fresh = 1.0 / (aged * aged);
        let mean = usual + (worker.remote_slots - usual) * fresh;
        RemoteSlots { mean, variance: usual * (1.0 - fresh * fresh) }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/load_reports.rs"]
mod tests;
