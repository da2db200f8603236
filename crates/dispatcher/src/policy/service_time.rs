//! Service-time estimates, and the rates and slots of workers that they rest on.
use super::average::LogAverage;
use super::average::move_average;
use super::average::weighted_mean;
use super::figures::GROUP_GAIN;
use super::figures::SLOW_GAIN;
use super::remote_slots::RemoteSlots;
use crate::Micros;
use crate::RequestClass;
use crate::time::to_seconds;

/// Weight of one sample in a worker's rate: about the last ten count.
const WORKER_RATE_GAIN: f64 = 0.1;
/// A worker's own rate counts as much as its kind's after this many samples, as hints are noisy.
const GROUP_PRIOR_WEIGHT: f64 = 3.0;
/// A rate not refreshed for this many mean response times loses half its weight against the kind's.
const RATE_HALF_LIFE_RESPONSES: f64 = 5.0;
/// Bounds of a valid rate sample, in work a second: beyond them the hint or clock was absurd.
const MIN_RATE: f64 = 1e-3;
const MAX_RATE: f64 = 1e3;
/// Slots of a worker before any report of its kind: small, so as not to pile requests up.
const INITIAL_SLOTS: f64 = 2.0;
/// Slots of a kind that has not been reported, for the slow-start budget: the fewest that a worker can have.
const MIN_SLOTS: f64 = 1.0;
/// Weight of one report in a kind's slots when it shows more than is known; noise is up to a fifth.
const SLOTS_RISE_GAIN: f64 = 0.6;
/// Weight when it shows fewer, so that one noisy report does not stand for good.
const SLOTS_FALL_GAIN: f64 = 0.002;
/// The ranking counts the excess this many times: the time it costs the request itself and, about twice as
/// much, those that wait behind it. At 1 all crowd onto the fast kind, at 5 they spread too thin. Eight days
/// of a large fleet gave a sum of 4.78 at 1.5 and of 4.86 at 3 (`docs/large-fleet.md`).
const QUEUEING_RANK_FACTOR: f64 = 3.0;
/// Makes a hyperbola follow the mean of a normal figure's part above 0: both agree at a mean of 0, where it
/// is 0.4 standard deviations, and far from it.
const EXCESS_SPREAD: f64 = 0.64;
/// Shortest valid response time: keeps its mean, by which is divided, above 0.
const MIN_RESPONSE_TIME: Micros = 1_000;
/// Mean response time before any response, in seconds.
const INITIAL_RESPONSE_SECONDS: f64 = 1.0;

/// How long a request would take at a worker; for the ranking, with what it costs those behind it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceTimeEstimate {
    /// With a slot to itself.
    pub(super) seconds_alone: f64,
    pub(super) seconds: f64,
    pub(super) seconds_for_ranking: f64,
}

/// Slots of a worker, and what is taken of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerOccupancy {
    /// Slots that it has.
    pub(super) slots: f64,
    /// Slots of this dispatcher's attempts in flight.
    pub(super) local_slots: f64,
    /// Slots of the other dispatchers' attempts.
    pub(super) remote_slots: RemoteSlots,
}

/// Rates of workers, slots of kinds, usual times of requests.
#[derive(Clone, Debug)]
pub(super) struct ServiceTimeEstimator {
    kinds: Vec<GroupCapacity>,
    fleet: GroupCapacity,
    mean_response_seconds: f64,
    /// Service times of requests without a hint.
    service_time_by_class: Vec<LogAverage>,
}

/// What is known of one worker's rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkerRate {
    rate: LogAverage,
    /// Work a second on one slot, as used in estimates.
    service_rate: f64,
}

/// What is known of the workers of one kind, or of all.
#[derive(Clone, Copy, Debug, Default)]
struct GroupCapacity {
    rate: LogAverage,
    slots: Option<f64>,
}

impl WorkerRate {
    /// Forgets the rate of a worker that has started anew; the one in use stays until it is refreshed.
    pub(super) fn reset(&mut self) {
        self.rate = LogAverage::default();
    }

    /// Work a second on one slot.
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

    /// Makes room for so many kinds.
    pub(super) fn resize(&mut self, kind_count: usize) {
        self.kinds.resize(kind_count, GroupCapacity::default());
    }

    /// Mean response time of served requests, in seconds.
    pub(super) fn mean_response_seconds(&self) -> f64 {
        self.mean_response_seconds
    }

    /// Work of a request of this class without a hint: the usual time of its class, or 1.
    pub(super) fn usual_work(&self, class: usize) -> f64 {
        self.service_time_by_class[class].log_mean.exp()
    }

    /// Slots of a worker of this kind.
    pub(super) fn slots_of(&self, kind: u32) -> f64 {
        self.kinds[kind as usize].slots.or(self.fleet.slots).unwrap_or(INITIAL_SLOTS)
    }

    /// Slots that a worker of this kind has at the least.
    pub(super) fn min_slots_of(&self, kind: u32) -> f64 {
        self.kinds[kind as usize].slots.unwrap_or(MIN_SLOTS)
    }

    /// Mean slots of a worker of the fleet.
    pub(super) fn fleet_slots(&self) -> f64 {
        self.fleet.slots.unwrap_or(INITIAL_SLOTS)
    }

    /// Eq. (1). Where the paper knows all requests at a worker, a dispatcher knows its own and expects the
    /// others'; the excess over the slots is a mean over what they may hold.
    pub(super) fn estimate(
        &self,
        worker: &WorkerRate,
        work: f64,
        request_slots: f64,
        occupancy: WorkerOccupancy,
    ) -> ServiceTimeEstimate {
        let seconds_alone = work / worker.service_rate;
        let WorkerOccupancy { slots, local_slots, remote_slots } = occupancy;
        let over = local_slots + request_slots + remote_slots.mean - slots;
        let excess = 0.5 * (over + (over * over + EXCESS_SPREAD * remote_slots.variance).sqrt());
        let seconds = seconds_alone * (1.0 + excess / slots);
        let seconds_for_ranking = seconds_alone * (1.0 + QUEUEING_RANK_FACTOR * excess / slots);
        ServiceTimeEstimate { seconds_alone, seconds, seconds_for_ranking }
    }

    /// The latency objective of a class for some work at the fleet's mean rate, in seconds.
    pub(super) fn objective_seconds(&self, class: &RequestClass, work: f64) -> f64 {
        let stretch_seconds = class.latency_stretch * work / self.fleet.rate.log_mean.exp();
        to_seconds(class.latency_objective) + stretch_seconds
    }

    /// The rate in use: the worker's own samples, shrunk to its kind's, and that to the fleet's.
    pub(super) fn refresh(&self, now: Micros, worker: &mut WorkerRate, kind: u32, is_idle: bool) {
        let fleet = self.fleet.rate;
        let kind = self.kinds[kind as usize].rate;
        let group = weighted_mean(kind.log_mean, kind.samples, fleet.log_mean, GROUP_PRIOR_WEIGHT);
        let mut weight = worker.rate.samples;
        if is_idle {
            let idle = to_seconds(now.saturating_sub(worker.rate.updated_at));
            weight *= 0.5_f64.powf(idle / (RATE_HALF_LIFE_RESPONSES * self.mean_response_seconds));
        }
        let log_rate = weighted_mean(worker.rate.log_mean, weight, group, GROUP_PRIOR_WEIGHT);
        worker.service_rate = log_rate.exp();
    }

    /// Learns that a worker did so much work in so many seconds.
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
        worker.rate.add(log_rate, WORKER_RATE_GAIN, now);
        self.kinds[kind as usize].rate.add(log_rate, GROUP_GAIN, now);
        self.fleet.rate.add(log_rate, GROUP_GAIN, now);
        self.refresh(now, worker, kind, is_idle);
    }

    /// Learns how long a served request took from its sending.
    pub(super) fn learn_response_time(&mut self, elapsed: Micros) {
        let response_time = to_seconds(elapsed.max(MIN_RESPONSE_TIME));
        move_average(&mut self.mean_response_seconds, response_time, GROUP_GAIN);
    }

    /// Learns the service time of a request without a hint. At a work of 1 for all classes, a worker's rate
    /// would show its mix of classes.
    pub(super) fn learn_class_time(&mut self, now: Micros, class: usize, seconds: f64) {
        self.service_time_by_class[class].add(seconds.ln(), GROUP_GAIN, now);
    }

    /// Learns the slots of a kind from one worker's report.
    pub(super) fn learn_slots(&mut self, kind: u32, reported: f64) {
        // From one slot at the least: a first report of none free must not divide by zero.
        let slots = self.kinds[kind as usize].slots.get_or_insert(reported.max(MIN_SLOTS));
        *slots += (reported - *slots) * if reported > *slots { SLOTS_RISE_GAIN } else { SLOTS_FALL_GAIN };
    }

    /// Learns the mean slots of the fleet from those of a worker that reported.
    pub(super) fn learn_fleet_slots(&mut self, slots: f64) {
        move_average(self.fleet.slots.get_or_insert(slots), slots, SLOW_GAIN);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/service_time.rs"]
mod tests;
