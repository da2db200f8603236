//! Worker selection: the lowest ranked among the eligible workers. All that makes a worker be passed over is
//! read here: its state, kind and key scope, its estimate, its failure rate, its slow-start budget.
use super::affinity::AffinityRules;
use super::estimates::EstimatedWorker;
use super::estimates::TimeLimits;
use super::estimates::WorkerEstimates;
use super::figures::REFRESH_INTERVAL;
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

/// Workers compared for one request, from a random one on: more would cost more than they find.
const MAX_WORKERS_COMPARED: usize = 200;
/// Latency objectives that one whole request's weight is held equal to, for the cross-zone cost.
const OBJECTIVES_PER_WEIGHT: f64 = 3.0;

/// Why a request is not sent now.
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

/// The workers that a request is bound to.
#[derive(Clone, Copy)]
struct Binding {
    kind: Option<u32>,
    zone: Option<u32>,
    cell: Option<u32>,
}

impl Binding {
    fn allows(self, worker: &Worker) -> bool {
        self.kind.is_none_or(|kind| kind == worker.kind)
            && self.zone.is_none_or(|zone| zone == worker.zone)
            && self.cell.is_none_or(|cell| cell == worker.cell)
    }
}

/// What a request brings to the comparison of workers.
struct Comparison<'a> {
    now: Micros,
    request: &'a Request,
    binding: Option<Binding>,
    limits: TimeLimits,
    cross_zone_seconds: f64,
}

/// A view of what the selection goes by.
pub(super) struct WorkerSelector<'a> {
    pub(super) settings: &'a Settings,
    pub(super) workers: &'a mut WorkerTable,
    pub(super) estimates: WorkerEstimates<'a>,
    pub(super) outlier_detector: &'a OutlierDetector,
    pub(super) affinities: &'a AffinityRules,
    pub(super) slow_start: &'a SlowStartBudgets,
    /// Mean work times slots of a request offered here.
    pub(super) mean_request_load: f64,
    pub(super) rng: &'a mut fastrand::Rng,
}

impl WorkerSelector<'_> {
    /// The lowest ranked eligible worker, if the request is admitted there; ties at random. Otherwise, when
    /// to retry: the queue must first shrink by as much as the estimate exceeds the time left.
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
        Err(NotAdmitted { retry_after, reason: Rejection::TooLate(retry_after), late_worker: Some(index) })
    }

    fn lowest_ranked(&mut self, now: Micros, request: &Request) -> Option<Candidate> {
        let comparison = self.comparison(now, request);
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
            if !is_eligible(index, worker, &comparison) {
                continue;
            }
            compared += 1;
            let candidate = self.candidate(index, worker, &comparison);
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

    fn comparison<'r>(&self, now: Micros, request: &'r Request) -> Comparison<'r> {
        let class = &self.settings.classes[request.class];
        // The cross-zone cost is given as weight, and weight falls over the latency objective.
        let objective = self.estimates.service_times.objective_seconds(class, request.work);
        Comparison {
            now,
            request,
            binding: self.binding(request, class),
            limits: TimeLimits::new(now, request, class),
            cross_zone_seconds: OBJECTIVES_PER_WEIGHT * self.settings.cross_zone_cost * objective,
        }
    }

    /// What binds a request: its class to a kind, and a keyed retry to the workers that drop a repeat. Most
    /// requests are bound to nothing.
    fn binding(&self, request: &Request, class: &RequestClass) -> Option<Binding> {
        let first = request.first_that_may_have_run().map(|attempt| &self.workers[attempt.worker as usize]);
        let mut binding = Binding { kind: class.worker_kind, zone: None, cell: None };
        match class.idempotency {
            Idempotency::IdempotentWithKey { scope: KeyScope::Zone, .. } => {
                binding.zone = first.map(|worker| worker.zone);
            }
            Idempotency::IdempotentWithKey { scope: KeyScope::Cell, .. } => {
                binding.cell = first.map(|worker| worker.cell);
            }
            _ => {}
        }
        let is_bound = binding.kind.is_some() || binding.zone.is_some() || binding.cell.is_some();
        is_bound.then_some(binding)
    }

    fn candidate(&self, index: usize, worker: &Worker, comparison: &Comparison<'_>) -> Candidate {
        let Comparison { now, request, limits, cross_zone_seconds, .. } = *comparison;
        let is_warming_up = self.slow_start.is_warming_up(now, &worker.slow_start);
        let at = EstimatedWorker { index, worker, is_warming_up };
        let estimate = self.estimates.estimate(now, at, request);
        let excess_seconds = estimate.seconds - limits.seconds_left(estimate.seconds_alone);
        let cross_zone = if worker.zone == self.settings.zone { 0.0 } else { cross_zone_seconds };
        // Few dispatchers, each with a part, send to a worker that warms up: there no crowd can meet.
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
        let work = request.work * request.slots;
        self.slow_start.admits(now, &mut worker.slow_start, work, capacity, self.mean_request_load, self.rng)
    }
}

fn is_eligible(index: usize, worker: &Worker, comparison: &Comparison<'_>) -> bool {
    worker.state == WorkerState::Ready
        && comparison.binding.is_none_or(|binding| binding.allows(worker))
        && !comparison.request.attempts.iter().any(|attempt| attempt.worker as usize == index)
}
