//! Service-time estimates by processor sharing. The estimates are computed from the service rates and slot
//! counts of workers, which are learned from responses and load reports.
use super::average::LogAverage;
use super::average::move_average;
use super::average::weighted_mean;
use super::constants::GROUP_GAIN;
use super::constants::SLOW_GAIN;
use super::remote_slots::RemoteSlots;
use crate::Micros;
use crate::RequestClass;
use crate::time::to_seconds;

/// Weight of one sample in a worker's service rate: about the last 10 samples contribute.
const WORKER_RATE_GAIN: f64 = 0.1;
/// Number of samples at which two averages have equal weight in a service-rate estimate: the average of a
/// worker and that of its kind, or the average of a kind and that of the fleet. Several samples are needed
/// because the cost hints, from which the samples are computed, are noisy.
const GROUP_PRIOR_WEIGHT: f64 = 3.0;
/// Half-life of the weight of an idle worker's own service-rate average, as a multiple of the mean response
/// time. As this weight falls, the service rate that estimates use moves to the rate of the worker's kind.
const RATE_HALF_LIFE_RESPONSE_TIMES: f64 = 5.0;
/// Lowest valid service-rate sample, as a multiple of the rate of a standard core; a lower sample comes from
/// a wrong cost hint or clock.
const MIN_RATE: f64 = 1e-3;
/// Highest valid service-rate sample, as a multiple of the rate of a standard core; a higher sample comes
/// from a wrong cost hint or clock.
const MAX_RATE: f64 = 1e3;
/// Number of slots assumed of a worker before the first load report. The number is low, so that requests do
/// not queue up at the worker.
const INITIAL_SLOTS: f64 = 2.0;
/// Number of slots assumed when the slow-start budget is computed for a worker and no worker of its kind has
/// reported its free slots: the fewest slots that a worker can have.
const MIN_SLOTS: f64 = 1.0;
/// Weight of a load report in the moving average of a worker kind's slots, if the report shows more slots
/// than the average. The weight is below 1 because reports have a noise of up to 20 %.
const SLOTS_RISE_GAIN: f64 = 0.6;
/// Weight of a load report in the moving average of a worker kind's slots, if the report shows fewer slots
/// than the average. The weight is above 0, so that the average recovers after a report with too many slots.
const SLOTS_FALL_GAIN: f64 = 0.002;
/// Factor by which the queueing delay at a worker is multiplied in the worker's rank: the delay of the
/// request itself counts once, and the delay that the request causes for the requests behind it about twice.
/// At a factor of 1, requests crowd onto the fastest worker kind; at 5, they are spread over too many
/// workers.
const QUEUEING_RANK_FACTOR: f64 = 3.0;
/// Weight of the variance in the hyperbola that approximates the mean of `max(x, 0)` for a normally
/// distributed `x`. The approximation is accurate if the mean of `x` is 0, where the result is 0.4 standard
/// deviations, and if that mean is far from 0.
const EXCESS_VARIANCE_WEIGHT: f64 = 0.64;
/// Lower bound of a response-time sample, so that the mean, which is used as a divisor, stays above 0.
const MIN_RESPONSE_TIME: Micros = 1_000;
/// Mean response time assumed before the first response, in seconds.
const INITIAL_RESPONSE_SECONDS: f64 = 1.0;

/// The estimated service time of a request at a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceTimeEstimate {
    /// Time, in seconds, that the request takes if it has its slots to itself.
    pub(super) seconds_alone: f64,
    /// Time, in seconds, that the request takes if it shares the worker's slots with the other requests
    /// there.
    pub(super) seconds: f64,
    /// Time, in seconds, that determines the worker's rank. In addition to the time that the request takes,
    /// it includes the delay that the request causes for the requests behind it.
    pub(super) seconds_for_ranking: f64,
}

/// Number of slots of a worker, and how many of them are in use.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerOccupancy {
    /// Number of slots that the worker has.
    pub(super) slots: f64,
    /// Number of the worker's slots that this dispatcher's attempts in flight occupy.
    pub(super) local_slots: f64,
    /// Number of the worker's slots that the other dispatchers' attempts are expected to occupy.
    pub(super) remote_slots: RemoteSlots,
}

/// Learns service rates, slot counts and response times from responses and load reports, and estimates
/// service times from these values.
#[derive(Clone, Debug)]
pub(super) struct ServiceTimeEstimator {
    kinds: Vec<GroupCapacity>,
    fleet: GroupCapacity,
    mean_response_seconds: f64,
    /// Average service times, by request class, of requests without a cost hint.
    service_time_by_class: Vec<LogAverage>,
}

/// The learned service rate of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkerRate {
    /// Average of the worker's own service-rate samples.
    own_rate: LogAverage,
    /// Service rate of one slot, as used in estimates: a multiple of the rate of a standard core. The rate
    /// combines the worker's own average with the averages of the worker's kind and the fleet.
    service_rate: f64,
}

/// The learned service rate and number of slots of the workers of one kind or of the whole fleet.
#[derive(Clone, Copy, Debug, Default)]
struct GroupCapacity {
    rate: LogAverage,
    slots: Option<f64>,
}

impl WorkerRate {
    /// Discards the samples of a worker that has restarted; the service rate in use stays until the next
    /// refresh.
    pub(super) fn reset(&mut self) {
        self.own_rate = LogAverage::default();
    }

    /// Returns the service rate of one slot of the worker, as used in estimates: a multiple of the rate of a
    /// standard core.
    pub(super) fn service_rate(&self) -> f64 {
        self.service_rate
    }
}

impl Default for ServiceTimeEstimator {
    fn default() -> Self {
        ServiceTimeEstimator::new(0)
    }
}

impl ServiceTimeEstimator {
    pub(super) fn new(class_count: usize) -> Self {
        ServiceTimeEstimator {
            kinds: Vec::new(),
            fleet: GroupCapacity::default(),
            mean_response_seconds: INITIAL_RESPONSE_SECONDS,
            service_time_by_class: vec![LogAverage::default(); class_count],
        }
    }

    /// Resizes the tables for the given number of worker kinds.
    pub(super) fn resize(&mut self, kind_count: usize) {
        self.kinds.resize(kind_count, GroupCapacity::default());
    }

    /// Mean response time of served requests, in seconds.
    pub(super) fn mean_response_seconds(&self) -> f64 {
        self.mean_response_seconds
    }

    /// Expected work of a request of this class without a cost hint: the typical service time of such
    /// requests, or 1 if none has been served.
    pub(super) fn expected_work(&self, class: usize) -> f64 {
        self.service_time_by_class[class].log_mean.exp()
    }

    /// Returns the number of slots of a worker of this kind. If no worker of this kind has reported its free
    /// slots, the fleet's mean is returned; before the first load report of any worker, [`INITIAL_SLOTS`].
    pub(super) fn slots_of(&self, kind: u32) -> f64 {
        self.kinds[kind as usize].slots.or(self.fleet.slots).unwrap_or(INITIAL_SLOTS)
    }

    /// Returns the number of slots from which the slow-start budget of a worker of this kind is computed: the
    /// learned number, or [`MIN_SLOTS`] if no worker of this kind has reported its free slots.
    pub(super) fn min_slots_of(&self, kind: u32) -> f64 {
        self.kinds[kind as usize].slots.unwrap_or(MIN_SLOTS)
    }

    /// Returns the mean number of slots of the fleet's workers, or [`INITIAL_SLOTS`] before the first load
    /// report.
    pub(super) fn fleet_slots(&self) -> f64 {
        self.fleet.slots.unwrap_or(INITIAL_SLOTS)
    }

    /// Estimates the service time of a request at a worker: the time that the request takes alone, extended
    /// in proportion to the number of slots that all requests at the worker need beyond the worker's slots.
    /// This is equation (1) of the paper named in [`policy`](crate::policy).
    ///
    /// The paper assumes that all requests at a worker are known. A dispatcher knows its own requests, but
    /// only the distribution of the other dispatchers' requests, so the number of slots needed beyond the
    /// worker's slots is an expected value.
    pub(super) fn estimate(
        &self,
        worker: &WorkerRate,
        work: f64,
        request_slots: f64,
        occupancy: WorkerOccupancy,
    ) -> ServiceTimeEstimate {
        let seconds_alone = work / worker.service_rate;
        let WorkerOccupancy { slots, local_slots, remote_slots } = occupancy;
        let mean_excess = local_slots + request_slots + remote_slots.mean - slots;
        let excess = 0.5
            * (mean_excess
                + (mean_excess * mean_excess + EXCESS_VARIANCE_WEIGHT * remote_slots.variance).sqrt());
        let seconds = seconds_alone * (1.0 + excess / slots);
        let seconds_for_ranking = seconds_alone * (1.0 + QUEUEING_RANK_FACTOR * excess / slots);
        ServiceTimeEstimate { seconds_alone, seconds, seconds_for_ranking }
    }

    /// Returns the latency objective, in seconds, of a request of this class with this amount of work. The
    /// latency stretch is computed as if the request ran at the fleet's mean service rate.
    pub(super) fn objective_seconds(&self, class: &RequestClass, work: f64) -> f64 {
        let stretch_seconds = class.latency_stretch * work / self.fleet.rate.log_mean.exp();
        to_seconds(class.latency_objective) + stretch_seconds
    }

    /// Updates the service rate that estimates use: a weighted mean of the worker's own average and the rate
    /// of its kind. The rate of the kind is in turn a weighted mean of the kind's average and the fleet's
    /// average.
    pub(super) fn refresh(&self, now: Micros, worker: &mut WorkerRate, kind: u32, is_idle: bool) {
        let fleet = self.fleet.rate;
        let kind = self.kinds[kind as usize].rate;
        let group = weighted_mean(kind.log_mean, kind.samples, fleet.log_mean, GROUP_PRIOR_WEIGHT);
        let mut weight = worker.own_rate.samples;
        if is_idle {
            let idle = to_seconds(now.saturating_sub(worker.own_rate.updated_at));
            weight *= 0.5_f64.powf(idle / (RATE_HALF_LIFE_RESPONSE_TIMES * self.mean_response_seconds));
        }
        let log_rate = weighted_mean(worker.own_rate.log_mean, weight, group, GROUP_PRIOR_WEIGHT);
        worker.service_rate = log_rate.exp();
    }

    /// Learns the service rates of a worker, its kind and the fleet from `work` done in `seconds`. A rate
    /// outside [`MIN_RATE`] to [`MAX_RATE`] is ignored.
    pub(super) fn learn_rate(
        &mut self,
        now: Micros,
        worker: &mut WorkerRate,
        kind: u32,
        is_idle: bool,
        work: f64,
        seconds: f64,
    ) {
        let rate = work / seconds;
        if !(MIN_RATE..=MAX_RATE).contains(&rate) {
            return;
        }
        let log_rate = rate.ln();
        worker.own_rate.add(log_rate, WORKER_RATE_GAIN, now);
        self.kinds[kind as usize].rate.add(log_rate, GROUP_GAIN, now);
        self.fleet.rate.add(log_rate, GROUP_GAIN, now);
        self.refresh(now, worker, kind, is_idle);
    }

    /// Learns the response time of a served request, measured from the sending of its attempt.
    pub(super) fn learn_response_time(&mut self, elapsed: Micros) {
        let response_time = to_seconds(elapsed.max(MIN_RESPONSE_TIME));
        move_average(&mut self.mean_response_seconds, response_time, GROUP_GAIN);
    }

    /// Learns the service time of a request without a cost hint, which becomes the expected work of such
    /// requests of the class. If the expected work were 1 for all classes, a worker that gets more requests
    /// of a slow class would seem to be a slow worker.
    pub(super) fn learn_class_time(&mut self, now: Micros, class: usize, seconds: f64) {
        self.service_time_by_class[class].add(seconds.ln(), GROUP_GAIN, now);
    }

    /// Learns the slots of a worker kind from the load report of one worker.
    pub(super) fn learn_slots(&mut self, kind: u32, reported: f64) {
        // The learned number of slots starts at 1 or more: if it started at 0 after a first report of 0 free
        // slots, estimates would divide by zero.
        let slots = self.kinds[kind as usize].slots.get_or_insert(reported.max(MIN_SLOTS));
        *slots += (reported - *slots) * if reported > *slots { SLOTS_RISE_GAIN } else { SLOTS_FALL_GAIN };
    }

    /// Learns the fleet's mean number of slots from the slots of a worker that sent a load report.
    pub(super) fn learn_fleet_slots(&mut self, slots: f64) {
        move_average(self.fleet.slots.get_or_insert(slots), slots, SLOW_GAIN);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/service_time.rs"]
mod tests;
