//! Estimates of how long a request takes at a worker, under processor sharing. The estimates are computed
//! from the service rates and slot counts of workers, which are learned from responses and load reports.
use super::average::LogAverage;
use super::average::move_average;
use super::average::weighted_mean;
use super::constants::GROUP_GAIN;
use super::constants::SLOW_GAIN;
use super::remote_slots::RemoteSlots;
use crate::Micros;
use crate::RequestClass;
use crate::time::to_seconds;

/// Weight of one sample in the moving average of a worker's service rate: about the last 10 samples
/// contribute.
const WORKER_RATE_GAIN: f64 = 0.1;
/// Number of samples at which two averages have equal weight in a service-rate estimate. The average of a
/// worker is combined with that of its kind, and the average of a kind with that of the fleet. Several
/// samples are needed, because samples are computed from cost hints, which are noisy.
const GROUP_PRIOR_WEIGHT: f64 = 3.0;
/// Half-life of the weight of a worker's own service-rate average while this dispatcher has no attempt at the
/// worker, as a multiple of the mean response time. As the weight falls, the service rate used in estimates
/// moves to the rate of the worker's kind.
const RATE_HALF_LIFE_RESPONSE_TIMES: f64 = 5.0;
/// Lowest valid sample of a service rate, as a multiple of the rate of a standard core, the core to which
/// cost hints refer. A lower sample comes from a wrong cost hint or clock.
const MIN_RATE: f64 = 1e-3;
/// Highest valid sample of a service rate, as a multiple of the rate of a standard core, the core to which
/// cost hints refer. A higher sample comes from a wrong cost hint or clock.
const MAX_RATE: f64 = 1e3;
/// Number of slots that a worker is assumed to have before the first load report. The number is low, so that
/// requests do not queue up at the worker.
const INITIAL_SLOTS: f64 = 2.0;
/// Number of slots from which the slow-start budget of a worker is computed if no worker of its kind has
/// reported its free slots. The slow-start budget limits the work sent to a worker that is warming up. The
/// number is the smallest that a worker can have, so that the budget is not too high. Service-time estimates
/// use another number in this case; see [`ServiceTimeEstimator::slots_of`].
const MIN_SLOTS: f64 = 1.0;
/// Weight of a load report in the moving average of a worker kind's number of slots, if the reported number
/// is above the average. The weight is below 1 because the reported numbers have a noise of up to 20 %.
const SLOTS_RISE_GAIN: f64 = 0.6;
/// Weight of a load report in the moving average of a worker kind's number of slots, if the reported number
/// is below the average. The weight is above 0, so that the average recovers after a report with too many
/// slots.
const SLOTS_FALL_GAIN: f64 = 0.002;
/// Factor by which the queueing delay at a worker is multiplied when the worker is ranked. The factor is the
/// sum of two parts. One part is 1, for the delay of the request itself. The other is about 2, for the delay
/// that the request causes for the requests behind it. At a factor of 1, requests crowd onto the fastest
/// worker kind; at 5, they are spread over too many workers.
const QUEUEING_RANK_FACTOR: f64 = 3.0;
/// Weight of the variance of `x` in the formula `0.5 * (m + sqrt(m^2 + weight * variance))`, where `m` is the
/// mean of `x`. The formula describes a hyperbola. It approximates the mean of `max(x, 0)` for a normally
/// distributed `x`, and is accurate if `m` is far from 0. With this weight it is accurate also at `m` = 0,
/// where the result is 0.5 * sqrt(0.64) = 0.4 standard deviations.
const EXCESS_VARIANCE_WEIGHT: f64 = 0.64;
/// Lower bound of a response-time sample, in microseconds. The mean response time is used as a divisor, so it
/// must stay above 0.
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
    /// Time, in seconds, from which the worker's rank is computed: the time that the request takes, plus the
    /// delay that the request causes for the requests behind it.
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
    /// For each request class, the average service time of the requests without a cost hint.
    service_time_by_class: Vec<LogAverage>,
}

/// The learned service rate of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkerRate {
    /// Average of the worker's own service-rate samples.
    own_rate: LogAverage,
    /// Service rate of one slot of the worker, as used in estimates: a multiple of the rate of a standard
    /// core. It combines the worker's own average with the averages of the worker's kind and the fleet.
    service_rate: f64,
}

/// The learned service rate and number of slots of the workers of one kind or of the whole fleet.
#[derive(Clone, Copy, Debug, Default)]
struct GroupCapacity {
    rate: LogAverage,
    slots: Option<f64>,
}

impl WorkerRate {
    /// Discards the service-rate samples of a worker that has restarted. The service rate used in estimates
    /// stays until [`ServiceTimeEstimator::refresh`] computes a new one.
    pub(super) fn reset(&mut self) {
        self.own_rate = LogAverage::default();
    }

    /// Returns the service rate of one slot of the worker, as used in estimates: a multiple of the rate of a
    /// standard core, the core to which cost hints refer.
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

    /// Resizes the table of worker kinds to the given number of kinds.
    pub(super) fn resize(&mut self, kind_count: usize) {
        self.kinds.resize(kind_count, GroupCapacity::default());
    }

    /// Returns the mean response time, in seconds, of the requests of this dispatcher that workers served.
    /// The mean is a moving average over all workers and request classes.
    pub(super) fn mean_response_seconds(&self) -> f64 {
        self.mean_response_seconds
    }

    /// Returns the expected work, in seconds on a standard core, the core to which cost hints refer, of a
    /// request of this class without a cost hint. This is the typical service time of such requests, or 1 if
    /// none has been served.
    pub(super) fn expected_work(&self, class: usize) -> f64 {
        self.service_time_by_class[class].log_mean.exp()
    }

    /// Returns the number of slots of a worker of this kind. If no worker of this kind has reported its free
    /// slots, returns the fleet's mean. Before the first load report of any worker, returns
    /// [`INITIAL_SLOTS`].
    pub(super) fn slots_of(&self, kind: u32) -> f64 {
        self.kinds[kind as usize].slots.or(self.fleet.slots).unwrap_or(INITIAL_SLOTS)
    }

    /// Returns the number of slots from which the slow-start budget of a worker of this kind is computed.
    /// That budget limits the work sent to a worker that is warming up. The number is the learned one, or
    /// [`MIN_SLOTS`] if no worker of this kind has reported its free slots.
    pub(super) fn min_slots_of(&self, kind: u32) -> f64 {
        self.kinds[kind as usize].slots.unwrap_or(MIN_SLOTS)
    }

    /// Returns the mean number of slots of the fleet's workers, or [`INITIAL_SLOTS`] before the first load
    /// report.
    pub(super) fn fleet_slots(&self) -> f64 {
        self.fleet.slots.unwrap_or(INITIAL_SLOTS)
    }

    /// Estimates the service time of a request at a worker. The time that the request takes alone is extended
    /// if all requests at the worker together need more slots than the worker has. The extension is
    /// proportional to the number of missing slots. This is equation (1) of the paper named in
    /// [`policy`](crate::policy).
    ///
    /// The paper assumes that all requests at a worker are known. A dispatcher knows its own requests, but
    /// only the distribution of the other dispatchers' requests. The number of missing slots is therefore an
    /// expected value.
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

    /// Returns the latency objective, in seconds, of a request with the given class and amount of work. The
    /// objective is extended by the latency stretch of the class, a multiple of the request's running time.
    /// The running time is computed as if the request ran at the fleet's mean service rate.
    pub(super) fn objective_seconds(&self, class: &RequestClass, work: f64) -> f64 {
        let stretch_seconds = class.latency_stretch * work / self.fleet.rate.log_mean.exp();
        to_seconds(class.latency_objective) + stretch_seconds
    }

    /// Updates the service rate with which service times at a worker are estimated. The rate is a weighted
    /// mean of the worker's own average and the rate of the worker's kind. The rate of the kind is itself a
    /// weighted mean of the kind's average and the fleet's average.
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

    /// Learns the service rates of a worker, of its kind and of the fleet from `work` that the worker did in
    /// `seconds`. A rate outside the range from [`MIN_RATE`] to [`MAX_RATE`] is ignored.
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

    /// Learns the service time of a request without a cost hint. The average of these times is the expected
    /// work of such requests of the class. For such a request, the worker's rate is learned as the expected
    /// work divided by the service time. If the expected work were 1 s on a standard core for all classes, a
    /// worker that gets more requests of a slow class would seem to be a slow worker.
    pub(super) fn learn_class_time(&mut self, now: Micros, class: usize, seconds: f64) {
        self.service_time_by_class[class].add(seconds.ln(), GROUP_GAIN, now);
    }

    /// Learns the number of slots of a worker kind from the load report of one worker.
    pub(super) fn learn_slots(&mut self, kind: u32, reported: f64) {
        // The learned number of slots starts at 1 or more. If it started at 0 after a first report of 0 free
        // slots, estimates would divide by zero.
        let slots = self.kinds[kind as usize].slots.get_or_insert(reported.max(MIN_SLOTS));
        *slots += (reported - *slots) * if reported > *slots { SLOTS_RISE_GAIN } else { SLOTS_FALL_GAIN };
    }

    /// Learns the fleet's mean number of slots per worker from the slots of a worker that sent a load report.
    pub(super) fn learn_fleet_slots(&mut self, slots: f64) {
        move_average(self.fleet.slots.get_or_insert(slots), slots, SLOW_GAIN);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/service_time.rs"]
mod tests;
