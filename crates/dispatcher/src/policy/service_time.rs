//! Service-time estimates, and the rates and slots of workers that they rest on.
use super::Dispatcher;
use super::figures::GROUP_GAIN;
use super::remote_slots::RemoteSlots;
use super::request::Request;
use super::worker::Worker;
use crate::{Micros, average::weighted_mean, time::to_seconds};

/// Weight of one sample in a worker's rate: about the last ten count.
const WORKER_RATE_GAIN: f64 = 0.1;
/// A worker's own rate counts as much as its kind's after this many samples, as hints are noisy.
const GROUP_PRIOR_WEIGHT: f64 = 3.0;
/// A rate not refreshed for this many mean response times loses half its weight against the kind's.
const RATE_HALF_LIFE_RESPONSES: f64 = 5.0;
/// Bounds of a valid rate sample: beyond them the hint or clock was absurd.
const MIN_RATE: f64 = 1e-3;
const MAX_RATE: f64 = 1e3;
/// Slots of a worker before any report of its kind: small, so as not to pile requests up.
pub(super) const INITIAL_SLOTS: f64 = 2.0;
/// Weight of one report in a kind's slots when it shows more than is known; noise is up to a fifth.
const SLOTS_RISE_GAIN: f64 = 0.6;
/// Weight when it shows fewer, so that one noisy report does not stand for good.
const SLOTS_FALL_GAIN: f64 = 0.002;
/// The ranking counts the excess this many times: the time it costs the request itself and, about twice as
/// much, those that wait behind it. At 1 all crowd onto the fast kind, at 5 they spread too thin.
const QUEUEING_RANK_FACTOR: f64 = 3.0;
/// Makes a hyperbola follow the mean of a normal figure's part above 0: both agree at a mean of 0, where it
/// is 0.4 standard deviations, and far from it.
const EXCESS_SPREAD: f64 = 0.64;

/// How long a request would take at a worker; for the ranking, with what it costs those behind it.
pub(super) struct ServiceTimeEstimate {
    pub(super) seconds: f64,
    pub(super) seconds_for_ranking: f64,
}

impl Dispatcher {
    /// Eq. (1). Where the paper knows all requests at a worker, a dispatcher knows its own and expects the
    /// others'; the excess over the slots is a mean over what they may hold.
    pub(super) fn estimate(&self, now: Micros, index: usize, request: &Request) -> ServiceTimeEstimate {
        let worker = &self.workers[index];
        let alone = request.work / worker.service_rate;
        let slots = self.slots_of(worker);
        let RemoteSlots { mean, variance } = self.remote_slots(now, index, slots);
        let over = worker.local_load.slots_in_use() + request.slots + mean - slots;
        let excess = 0.5 * (over + (over * over + EXCESS_SPREAD * variance).sqrt());
        let seconds = alone * (1.0 + excess / slots);
        let seconds_for_ranking = alone * (1.0 + QUEUEING_RANK_FACTOR * excess / slots);
        ServiceTimeEstimate { seconds, seconds_for_ranking }
    }

    /// The latency objective of a class for some work at the fleet's mean rate, in seconds.
    pub(super) fn objective_seconds(&self, class: usize, work: f64) -> f64 {
        let class = &self.settings.classes[class];
        to_seconds(class.latency_objective) + class.latency_stretch * work / self.fleet.rate.log_mean.exp()
    }

    /// Seconds left until the latency objective, which grows with the request's own time at the worker.
    pub(super) fn time_left(&self, now: Micros, worker: &Worker, request: &Request) -> f64 {
        let stretch = self.settings.classes[request.class].latency_stretch;
        let objective = to_seconds(request.objective_at) + stretch * (request.work / worker.service_rate);
        objective.min(to_seconds(request.deadline)) - to_seconds(now)
    }

    /// The rate in use: the worker's own samples, shrunk to its kind's, and that to the fleet's.
    pub(super) fn refresh_service_rate(&mut self, now: Micros, index: usize) {
        let fleet = self.fleet.rate;
        let kind = self.kinds[self.workers[index].kind as usize].rate;
        let worker = &mut self.workers[index];
        let group = weighted_mean(kind.log_mean, kind.samples, fleet.log_mean, GROUP_PRIOR_WEIGHT);
        let mut weight = worker.rate.samples;
        if worker.local_load.is_idle() {
            let idle = to_seconds(now.saturating_sub(worker.rate.updated_at));
            weight *= 0.5_f64.powf(idle / (RATE_HALF_LIFE_RESPONSES * self.mean_response_seconds));
        }
        let log_rate = weighted_mean(worker.rate.log_mean, weight, group, GROUP_PRIOR_WEIGHT);
        worker.service_rate = log_rate.exp();
    }

    pub(super) fn learn_rate(&mut self, now: Micros, index: usize, work: f64, seconds: f64) {
        let rate = work / seconds;
        if !(MIN_RATE..=MAX_RATE).contains(&rate) {
            return;
        }
        let log_rate = rate.ln();
        let worker = &mut self.workers[index];
        worker.rate.add(log_rate, WORKER_RATE_GAIN, now);
        self.kinds[worker.kind as usize].rate.add(log_rate, GROUP_GAIN, now);
        self.fleet.rate.add(log_rate, GROUP_GAIN, now);
        self.refresh_service_rate(now, index);
    }

    pub(super) fn slots_of(&self, worker: &Worker) -> f64 {
        self.kinds[worker.kind as usize].slots.or(self.fleet.slots).unwrap_or(INITIAL_SLOTS)
    }

    pub(super) fn learn_slots(&mut self, kind: usize, reported: f64) {
        // From one slot at the least: a first report of none free must not divide by zero.
        let slots = self.kinds[kind].slots.get_or_insert(reported.max(1.0));
        *slots += (reported - *slots) * if reported > *slots { SLOTS_RISE_GAIN } else { SLOTS_FALL_GAIN };
    }
}
