//! Worker selection: finds the eligible worker with the lowest rank for a request.
//!
//! A worker is eligible for a request if the worker is ready, has had no attempt of the request, and meets
//! the request's placement constraint. The constraint contains the worker kind that the request's class
//! requires. For a retry with an idempotency key, the constraint also contains the zone or cell whose workers
//! drop duplicates. A cell is a group of workers that share a store of idempotency keys.
//!
//! An eligible worker that is warming up can be selected only if enough of its slow-start budget is left for
//! the request. That budget limits the work that is sent to the worker.
//!
//! The rank of a worker is computed from the service-time estimate of the request at the worker, with a
//! higher weight for queueing. A worker in another zone gets an additional cost. The sum is multiplied by a
//! random number, this dispatcher's affinity for the worker. The product is divided by the worker's expected
//! success rate.
//!
//! Affinities are used only if there are many dispatchers, so that these select different workers. An
//! affinity may be so low that a worker at which the request would be late gets the lowest product. With many
//! dispatchers, workers at which the request would be late therefore rank behind all others.
use super::affinity::AffinityRules;
use super::constants::REFRESH_INTERVAL;
use super::estimates::EstimatedWorker;
use super::estimates::TimeLimits;
use super::estimates::WorkerEstimates;
use super::outlier_detection::OutlierDetector;
use super::request::Request;
use super::slow_start::SlowStartBudgets;
use super::slow_start::WorkerCapacity;
use super::worker::Worker;
use super::worker::WorkerTable;
use crate::Idempotency;
use crate::KeyScope;
use crate::Micros;
use crate::Rejection;
use crate::RequestClass;
use crate::Settings;
use crate::WorkerState;
use crate::time::from_seconds;

/// Number of eligible workers whose ranks are compared for one request. An eligible worker that is warming up
/// cannot be selected if too little of its slow-start budget is left. That budget is the work that may be
/// sent to the worker. If this applies to all workers compared so far, the comparison goes on until a worker
/// can be selected. If the table contains more workers than this number, the comparison starts at a random
/// worker. Comparing more workers costs more time than the better choice saves.
const MAX_WORKERS_COMPARED: usize = 200;
/// Number of latency objectives by which a response must be late to be worth nothing, as assumed for the
/// cross-zone cost. That cost is a fraction of the worth of a request. The cost is multiplied by this number
/// and by the latency objective. The product is a delay in seconds, which can be added to a worker's
/// service-time estimate.
const OBJECTIVES_PER_WEIGHT: f64 = 3.0;

/// The reason why a request is not sent, and when the client may retry.
pub(super) struct NotAdmitted {
    pub(super) retry_after: Micros,
    pub(super) reason: Rejection,
    /// The eligible worker with the lowest rank, if the request is rejected because it would be late there.
    pub(super) late_worker: Option<usize>,
}

/// A worker that is eligible for a request, and the worker's rank for the request.
#[derive(Clone, Copy)]
struct Candidate {
    index: usize,
    /// Rank of the worker for the request. The worker with the lowest rank is selected. Ranks are compared by
    /// the first element and then by the second.
    ///
    /// The second element is a time in seconds. It is the service-time estimate plus the cost of sending to
    /// another zone. In the estimate, the queueing delay counts more than once, because the request also
    /// delays those behind it. The sum is multiplied by the affinity, this dispatcher's preference for the
    /// worker, and divided by the expected success rate. The affinity is a random number if there are many
    /// dispatchers and the worker is not warming up, and 1 otherwise.
    ///
    /// The first element is true if there are many dispatchers and the request would be late at this worker,
    /// after its latency objective or its deadline. Such a worker ranks behind all workers at which the
    /// request would be on time. Without the first element, a low random affinity could give the lowest rank
    /// to a worker at which the request would be late. With few dispatchers there is no random affinity, so
    /// the first element is not needed.
    rank: (bool, f64),
    /// Seconds by which the service-time estimate exceeds the request's time left; negative if the request
    /// would be on time.
    excess_seconds: f64,
    is_warming_up: bool,
}

/// Restricts a request to workers of a certain kind, zone or cell. A field that is `None` allows any.
#[derive(Clone, Copy)]
struct PlacementConstraint {
    kind: Option<u32>,
    zone: Option<u32>,
    cell: Option<u32>,
}

impl PlacementConstraint {
    fn allows(self, worker: &Worker) -> bool {
        self.kind.is_none_or(|kind| kind == worker.kind)
            && self.zone.is_none_or(|zone| zone == worker.zone)
            && self.cell.is_none_or(|cell| cell == worker.cell)
    }
}

/// Values with which the worker for one request is selected. They are the same for all workers compared.
struct SelectionContext<'a> {
    now: Micros,
    request: &'a Request,
    constraint: Option<PlacementConstraint>,
    limits: TimeLimits,
    cross_zone_seconds: f64,
}

/// References to the data that the selection of a worker needs.
pub(super) struct WorkerSelector<'a> {
    pub(super) settings: &'a Settings,
    pub(super) workers: &'a mut WorkerTable,
    pub(super) estimates: WorkerEstimates<'a>,
    pub(super) outlier_detector: &'a OutlierDetector,
    pub(super) affinities: &'a AffinityRules,
    pub(super) slow_start: &'a SlowStartBudgets,
    /// Mean load of the offered requests, in slot-seconds. The load of a request is the number of slots that
    /// the request occupies, multiplied by its running time in seconds on a standard core. A standard core is
    /// the core to which cost hints refer.
    pub(super) mean_request_load: f64,
    pub(super) rng: &'a mut fastrand::Rng,
}

impl WorkerSelector<'_> {
    /// Selects the eligible worker with the lowest rank. Ties are broken at random.
    ///
    /// # Errors
    /// Returns [`NotAdmitted`] if the request would be late at that worker. If the request would be late by
    /// some number of seconds, the client may retry after so many seconds. The worker's queue must first
    /// become shorter by the same number of seconds.
    ///
    /// Also returns [`NotAdmitted`] if no worker can be selected: none is eligible, or all eligible workers
    /// are warming up and may not be sent the work of the request yet.
    pub(super) fn select(mut self, now: Micros, request: &Request) -> Result<usize, NotAdmitted> {
        let no_worker = NotAdmitted {
            retry_after: REFRESH_INTERVAL,
            reason: Rejection::NoEligibleWorker,
            late_worker: None,
        };
        let Candidate { index, excess_seconds, .. } = self.lowest_ranked(now, request).ok_or(no_worker)?;
        if excess_seconds <= 0.0 {
            return Ok(index);
        }
        let retry_after = from_seconds(excess_seconds);
        Err(NotAdmitted {
            retry_after,
            reason: Rejection::WouldBeLate(retry_after),
            late_worker: Some(index),
        })
    }

    fn lowest_ranked(&mut self, now: Micros, request: &Request) -> Option<Candidate> {
        let context = self.context(now, request);
        let mut best: Option<Candidate> = None;
        let mut ties = 1;
        let mut compared = 0;
        let count = self.workers.len();
        let start = if count > MAX_WORKERS_COMPARED { self.rng.usize(0..count) } else { 0 };
        for step in 0..count {
            if compared >= MAX_WORKERS_COMPARED && best.is_some() {
                break;
            }
            let index = (start + step) % count;
            let worker = &self.workers[index];
            if !is_eligible(index, worker, &context) {
                continue;
            }
            compared += 1;
            let candidate = self.candidate(index, worker, &context);
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
        best
    }

    fn context<'r>(&self, now: Micros, request: &'r Request) -> SelectionContext<'r> {
        let class = &self.settings.classes[request.class];
        // The cross-zone cost is a fraction of the worth of the request. The cost is converted into the delay
        // that would reduce the worth by the same fraction. The worth is assumed to fall evenly to 0 in the
        // time after the latency objective. That time is `OBJECTIVES_PER_WEIGHT` times the objective.
        let objective = self.estimates.service_times.objective_seconds(class, request.work);
        SelectionContext {
            now,
            request,
            constraint: self.constraint(request, class),
            limits: TimeLimits::new(now, request, class),
            cross_zone_seconds: OBJECTIVES_PER_WEIGHT * self.settings.cross_zone_cost * objective,
        }
    }

    /// Returns the constraint on the workers that may get a request, or `None` if there is no constraint, as
    /// for most requests. The constraint contains the worker kind that the request's class requires. For a
    /// retry with an idempotency key, it also contains the zone or cell whose workers drop duplicates.
    fn constraint(&self, request: &Request, class: &RequestClass) -> Option<PlacementConstraint> {
        let first =
            request.first_possibly_run_attempt().map(|attempt| &self.workers[attempt.worker as usize]);
        let mut constraint = PlacementConstraint { kind: class.worker_kind, zone: None, cell: None };
        match class.idempotency {
            Idempotency::IdempotentWithKey { scope: KeyScope::Zone, .. } => {
                constraint.zone = first.map(|worker| worker.zone);
            }
            Idempotency::IdempotentWithKey { scope: KeyScope::Cell, .. } => {
                constraint.cell = first.map(|worker| worker.cell);
            }
            _ => {}
        }
        let is_constrained =
            constraint.kind.is_some() || constraint.zone.is_some() || constraint.cell.is_some();
        is_constrained.then_some(constraint)
    }

    fn candidate(&self, index: usize, worker: &Worker, context: &SelectionContext<'_>) -> Candidate {
        let SelectionContext { now, request, limits, cross_zone_seconds, .. } = *context;
        let is_warming_up = self.slow_start.is_warming_up(now, &worker.slow_start);
        let target = EstimatedWorker { index, worker, is_warming_up };
        let estimate = self.estimates.estimate(now, target, request);
        let excess_seconds = estimate.seconds - limits.seconds_left(estimate.seconds_alone);
        let cross_zone = if worker.zone == self.settings.zone { 0.0 } else { cross_zone_seconds };
        // Affinity spreads the dispatchers over the workers. A worker that is warming up needs no affinity,
        // because slow start already limits how many dispatchers send requests to the worker.
        let affinity = if is_warming_up { 1.0 } else { self.affinities.rank_factor(worker.affinity) };
        let seconds = (estimate.seconds_for_ranking + cross_zone) * affinity
            / self.outlier_detector.expected_success_rate(&worker.failure_rates, worker.kind, request.class);
        let rank = (self.affinities.is_large_fleet() && excess_seconds > 0.0, seconds);
        Candidate { index, rank, excess_seconds, is_warming_up }
    }

    fn slow_start_admits(&mut self, now: Micros, index: usize, request: &Request) -> bool {
        let worker = &mut self.workers[index];
        let capacity = WorkerCapacity {
            slots: self.estimates.service_times.min_slots_of(worker.kind),
            service_rate: worker.rate.service_rate(),
        };
        let load = request.work * request.slots;
        self.slow_start.admits(now, &mut worker.slow_start, load, capacity, self.mean_request_load, self.rng)
    }
}

fn is_eligible(index: usize, worker: &Worker, context: &SelectionContext<'_>) -> bool {
    worker.state == WorkerState::Ready
        && context.constraint.is_none_or(|constraint| constraint.allows(worker))
        && !context.request.attempts.iter().any(|attempt| attempt.worker as usize == index)
}
