//! Worker selection: the lowest ranked among the eligible workers.
use super::Dispatcher;
use super::figures::REFRESH_INTERVAL;
use super::request::Request;
use super::slow_start::WorkerCapacity;
use crate::{Idempotency, KeyScope, Micros, Rejection, WorkerState, time::from_seconds};

/// Workers compared for one request, from a random one on: more would cost more than they find.
const MAX_WORKERS_COMPARED: usize = 200;
/// Latency objectives that one whole request's weight is held equal to, for the cross-zone cost.
const OBJECTIVES_PER_WEIGHT: f64 = 3.0;

pub(super) struct NotAdmitted {
    pub(super) retry_after: Micros,
    pub(super) reason: Rejection,
    /// The lowest ranked eligible worker, where the request would be late.
    pub(super) late_worker: Option<usize>,
}

#[derive(Clone, Copy)]
struct Candidate {
    index: usize,
    /// The lowest is selected. Those that would be late come last in a large fleet, where affinity alone
    /// might put one first; then the weighted seconds count.
    rank: (bool, f64),
    excess_seconds: f64,
    is_warming_up: bool,
}

impl Dispatcher {
    /// The lowest ranked eligible worker, if the request is admitted there; ties at random. Otherwise, when
    /// to retry: the queue must first shrink by as much as the estimate exceeds the time left.
    pub(super) fn select_worker(&mut self, now: Micros, request: &Request) -> Result<usize, NotAdmitted> {
        // The cross-zone cost is given as weight, and weight falls over the latency objective.
        let objective =
            self.service_times.objective_seconds(&self.settings.classes[request.class], request.work);
        let cross_zone_seconds = OBJECTIVES_PER_WEIGHT * self.settings.cross_zone_cost * objective;
        let mut best: Option<Candidate> = None;
        let (mut ties, mut compared) = (1, 0);
        let count = self.workers.len();
        let start = if count > MAX_WORKERS_COMPARED { self.rng.usize(0..count) } else { 0 };
        for step in 0..count {
            if compared >= MAX_WORKERS_COMPARED && best.is_some() {
                break;
            }
            let index = (start + step) % count;
            if !self.is_eligible(index, request) {
                continue;
            }
            compared += 1;
            let candidate = self.candidate(now, index, request, cross_zone_seconds);
            let is_lowest = match best {
                None => !candidate.rank.1.is_nan(),
                Some(best) => candidate.rank <= best.rank,
            };
            if !is_lowest || (candidate.is_warming_up && !self.slow_start_admits(now, index, request)) {
                continue;
            }
            let is_tied = best.is_some_and(|best| candidate.rank == best.rank);
            ties = if is_tied { ties + 1 } else { 1 };
            if !is_tied || self.rng.u32(0..ties) == 0 {
                best = Some(candidate);
            }
        }
        let no_worker = NotAdmitted {
            retry_after: REFRESH_INTERVAL,
            reason: Rejection::NoEligibleWorker,
            late_worker: None,
        };
        let Candidate { index, excess_seconds, .. } = best.ok_or(no_worker)?;
        if excess_seconds <= 0.0 {
            return Ok(index);
        }
        let retry_after = from_seconds(excess_seconds);
        Err(NotAdmitted { retry_after, reason: Rejection::TooLate(retry_after), late_worker: Some(index) })
    }

    fn slow_start_admits(&mut self, now: Micros, index: usize, request: &Request) -> bool {
        let worker = &self.workers[index];
        let capacity = WorkerCapacity {
            slots: self.service_times.min_slots_of(worker.kind),
            service_rate: self.service_times.service_rate(index),
        };
        let work = request.work * request.slots;
        let mean_request_load = self.offered_load.mean_request_load();
        self.slow_start.admits(now, index, work, capacity, mean_request_load, &mut self.rng)
    }

    fn is_eligible(&self, index: usize, request: &Request) -> bool {
        let worker = &self.workers[index];
        let class = &self.settings.classes[request.class];
        if worker.state != WorkerState::Ready || class.worker_kind.is_some_and(|kind| kind != worker.kind) {
            return false;
        }
        // Retries of a keyed request stay among the workers that drop a repeat.
        let first = request.first_that_may_have_run();
        let first = first.map(|attempt| &self.workers[attempt.worker as usize]);
        let is_in_key_scope = match (class.idempotency, first) {
            (Idempotency::IdempotentWithKey { scope: KeyScope::Zone, .. }, Some(first)) => {
                first.zone == worker.zone
            }
            (Idempotency::IdempotentWithKey { scope: KeyScope::Cell, .. }, Some(first)) => {
                first.cell == worker.cell
            }
            _ => true,
        };
        is_in_key_scope && !request.attempts.iter().any(|attempt| attempt.worker as usize == index)
    }

    fn candidate(&self, now: Micros, index: usize, request: &Request, cross_zone_seconds: f64) -> Candidate {
        let worker = &self.workers[index];
        let estimate = self.estimate(now, index, request);
        let is_warming_up = self.slow_start.is_warming_up(now, index);
        let excess_seconds = estimate.seconds - self.time_left(now, index, request);
        let cross_zone = if worker.zone == self.settings.zone { 0.0 } else { cross_zone_seconds };
        // Few dispatchers, each with a part, send to a worker that warms up: there no crowd can meet.
        let affinity = if is_warming_up { 1.0 } else { self.affinities.rank_factor(index) };
        let seconds = (estimate.seconds_for_ranking + cross_zone) * affinity
            / self.outlier_detector.expected_success_rate(index, worker.kind, request.class);
        let rank = (self.affinities.is_large_fleet() && excess_seconds > 0.0, seconds);
        Candidate { index, rank, excess_seconds, is_warming_up }
    }
}
