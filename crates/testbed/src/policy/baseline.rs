//! Textbook dispatch policies, with which the dispatcher is compared. Each policy selects a worker as soon as
//! a request arrives. If an attempt certainly never ran, the policy retries the request on another worker.
use copperspread_dispatcher::{
    Action, AttemptOutcome, DispatchPolicy, EndpointUpdate, EndpointUpdateKind, Event, IncomingRequest,
    Micros, Outcome as AttemptResult, Progress, Rejection, RequestId, SECOND, WorkerId, WorkerState,
};
use rand::RngExt;
use rustc_hash::FxHashMap;

use super::Policy;
use crate::model::random::RandomStream;
use crate::model::worker::TrueState;

/// Maximum number of attempts that a baseline policy sends for one request.
const MAX_ATTEMPTS: usize = 3;
/// Weight of the newest measurement in the moving average of a worker's speed, from 0 to 1. Each served
/// attempt gives one measurement.
const SPEED_LEARNING_RATE: f64 = 0.1;
/// Lowest and highest speed that is measured from one attempt. A value outside this range is clamped to it.
const LEARNED_SPEED_RANGE: [f64; 2] = [0.05, 5.0];
/// Work that is assumed for a request without a cost hint, in seconds.
const DEFAULT_COST: f64 = 1.0;

/// The rule by which a baseline policy selects a worker. It selects among the ready workers to which the
/// request was not yet sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SelectionRule {
    /// Selects a worker at random.
    Random,
    /// Selects the workers in turn.
    RoundRobin,
    /// Selects the worker at which the fewest requests of this scheduler are outstanding.
    LeastOutstanding,
    /// Draws two workers at random, and selects the one with fewer outstanding requests of this scheduler.
    TwoChoices,
    /// Selects the worker for which outstanding work divided by learned speed is lowest. The outstanding work
    /// includes the new request.
    LeastCost,
    /// Selects the worker with the earliest true finish time for the request. Selects no worker if the
    /// request would miss its deadline.
    EarliestTrueFinish,
    /// Selects the worker that started last.
    Newest,
}

/// What a baseline policy knows of one worker.
#[derive(Clone, Copy)]
struct KnownWorker {
    state: WorkerState,
    started_at: Option<Micros>,
    /// Number of this scheduler's requests that are outstanding at the worker.
    outstanding: u32,
    /// Work of this scheduler's outstanding requests at the worker, in core-seconds. The work of a request is
    /// its cost hint times its number of slots.
    outstanding_work: f64,
    /// Estimate of the worker's speed, in seconds of work done per second. For each served request, the
    /// request's cost hint is divided by its running time. The estimate is the moving average of these
    /// quotients. A cost hint is the work that the client expects, in seconds at speed 1.
    learned_speed: f64,
}

impl Default for KnownWorker {
    fn default() -> KnownWorker {
        KnownWorker {
            state: WorkerState::Removed,
            started_at: None,
            outstanding: 0,
            outstanding_work: 0.0,
            learned_speed: 1.0,
        }
    }
}

/// A request that has no final response yet.
struct OpenRequest {
    job: IncomingRequest,
    deadline: Micros,
    attempted: Vec<WorkerId>,
    /// Time at which the request's last attempt started. Until its start is reported, this is the time at
    /// which it was sent.
    started_at: Micros,
    is_answered: bool,
}

/// A textbook dispatch policy, which selects workers by a single rule.
pub(super) struct Baseline {
    rule: SelectionRule,
    random: RandomStream,
    /// Whether schedulers get the full endpoint list from discovery only if their policy subscribes.
    /// Otherwise, they get the list without a subscription.
    must_subscribe: bool,
    workers: Vec<KnownWorker>,
    ready: Vec<WorkerId>,
    /// Number of calls of `rotate` so far. Each call begins its list of workers one worker later than the
    /// previous call.
    rotation: usize,
    true_states: Vec<TrueState>,
    open_requests: FxHashMap<RequestId, OpenRequest>,
}

impl Baseline {
    pub(super) fn new(rule: SelectionRule, random: RandomStream, must_subscribe: bool) -> Baseline {
        Baseline {
            rule,
            random,
            must_subscribe,
            workers: Vec::new(),
            ready: Vec::new(),
            rotation: 0,
            true_states: Vec::new(),
            open_requests: FxHashMap::default(),
        }
    }

    fn apply_endpoint_update(&mut self, update: EndpointUpdate<'_>, actions: &mut Vec<Action>) {
        // With `must_subscribe`, discovery sends endpoint lists only to a scheduler that has subscribed to
        // them. Two kinds of endpoint update show that the scheduler has no subscription. A `Cached` update
        // has the list that a scheduler process knows without discovery. Each process gets this update only
        // at its start, before it can subscribe. A `Failed` update tells that a poll of discovery failed or
        // that the subscription ended. The policy subscribes after each of these updates.
        let is_unsubscribed = matches!(update.kind, EndpointUpdateKind::Cached | EndpointUpdateKind::Failed);
        if self.must_subscribe && is_unsubscribed {
            actions.push(Action::Subscribe);
        }
        if update.kind != EndpointUpdateKind::Failed {
            self.update_endpoints(update);
        }
    }

    fn update_endpoints(&mut self, update: EndpointUpdate<'_>) {
        if matches!(update.kind, EndpointUpdateKind::Full | EndpointUpdateKind::Cached) {
            self.workers.iter_mut().for_each(|worker| worker.state = WorkerState::Removed);
        }
        for endpoint in update.endpoints {
            let index = endpoint.worker.0 as usize;
            if self.workers.len() <= index {
                self.workers.resize(index + 1, KnownWorker::default());
            }
            self.workers[index].state = endpoint.state;
            self.workers[index].started_at = endpoint.started_at;
        }
        let ready = self.workers.iter().enumerate().filter(|(_, worker)| worker.state == WorkerState::Ready);
        self.ready = ready.map(|(index, _)| WorkerId(index as u32)).collect();
    }

    /// Selects, by the policy's rule, a ready worker to which the request was not yet sent.
    fn select_untried(&mut self, job: &IncomingRequest, attempted: &[WorkerId]) -> Option<WorkerId> {
        if !attempted.is_empty() {
            let untried = self.ready.iter().copied().filter(|worker| !attempted.contains(worker));
            let untried: Vec<WorkerId> = untried.collect();
            return self.select(job, &untried);
        }
        // `select` needs a list of workers and borrows `self` mutably, so it cannot borrow the list from
        // `self`. The list of ready workers is therefore moved out of `self` during the call, which is
        // cheaper than a copy. Only later attempts of a request need a new list, which omits the workers that
        // were tried.
        let ready = std::mem::take(&mut self.ready);
        let selected = self.select(job, &ready);
        self.ready = ready;
        selected
    }

    fn select(&mut self, job: &IncomingRequest, ready: &[WorkerId]) -> Option<WorkerId> {
        if ready.is_empty() {
            return None;
        }
        match self.rule {
            SelectionRule::Random => Some(self.draw(ready)),
            SelectionRule::RoundRobin => self.rotate(ready).next(),
            SelectionRule::TwoChoices => {
                let (first, second) = (self.draw(ready), self.draw(ready));
                let is_second_less_loaded = self.outstanding(second) < self.outstanding(first);
                Some(if is_second_less_loaded { second } else { first })
            }
            SelectionRule::LeastOutstanding => {
                self.rotate(ready).min_by_key(|&worker| self.outstanding(worker))
            }
            SelectionRule::LeastCost => {
                let work = hinted_work(job);
                let rotated = self.rotate(ready);
                let cost = |worker: WorkerId| {
                    let worker = &self.workers[worker.0 as usize];
                    (worker.outstanding_work + work) / worker.learned_speed
                };
                rotated.min_by(|&a, &b| cost(a).total_cmp(&cost(b)))
            }
            SelectionRule::Newest => {
                ready.iter().copied().max_by_key(|&worker| self.workers[worker.0 as usize].started_at)
            }
            SelectionRule::EarliestTrueFinish => self.select_earliest_finish(job, ready),
        }
    }

    fn outstanding(&self, worker: WorkerId) -> u32 {
        self.workers[worker.0 as usize].outstanding
    }

    fn draw(&mut self, ready: &[WorkerId]) -> WorkerId {
        ready[self.random.random_range(0..ready.len())]
    }

    /// Returns the workers in `ready` in rotated order: each call begins one worker later than the previous
    /// call. On an idle fleet, all workers are equal. A rule that takes the first of several equal workers
    /// then selects them in turn.
    fn rotate<'r>(&mut self, ready: &'r [WorkerId]) -> impl Iterator<Item = WorkerId> + use<'r> {
        self.rotation += 1;
        let first = self.rotation % ready.len();
        (0..ready.len()).map(move |step| ready[(first + step) % ready.len()])
    }

    fn select_earliest_finish(&self, job: &IncomingRequest, ready: &[WorkerId]) -> Option<WorkerId> {
        let cost = job.cost_hint.unwrap_or(DEFAULT_COST);
        let seconds_to_finish = |worker: WorkerId| {
            let state = self.true_states.get(worker.0 as usize).copied().unwrap_or_default();
            if state.accepts_jobs { state.wait + cost / state.rate.max(1e-9) } else { f64::INFINITY }
        };
        let by_finish = |&a: &WorkerId, &b: &WorkerId| seconds_to_finish(a).total_cmp(&seconds_to_finish(b));
        let earliest = ready.iter().copied().min_by(by_finish)?;
        let is_late = seconds_to_finish(earliest) * SECOND as f64 > job.time_left as f64;
        (!is_late).then_some(earliest)
    }

    fn send(&mut self, now: Micros, id: RequestId, mut open: OpenRequest, actions: &mut Vec<Action>) {
        let Some(selected) = self.select_untried(&open.job, &open.attempted) else {
            let reason = Rejection::NoEligibleWorker;
            actions.push(Action::Reject { request: id, retry_after: SECOND, reason });
            return;
        };
        let worker = &mut self.workers[selected.0 as usize];
        worker.outstanding += 1;
        worker.outstanding_work += hinted_work(&open.job);
        open.attempted.push(selected);
        open.started_at = now;
        actions.push(Action::Send { request: id, worker: selected, estimate: 0 });
        self.open_requests.insert(id, open);
    }

    fn complete_attempt(&mut self, now: Micros, completed: AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(mut open) = self.open_requests.remove(&completed.request) else { return };
        if let Some(worker) = open.attempted.get(completed.attempt as usize) {
            let running_time = now.saturating_sub(open.started_at) as f64 / SECOND as f64;
            let worker = &mut self.workers[worker.0 as usize];
            worker.release(&open.job);
            if completed.outcome == AttemptResult::Served && running_time > 0.0 {
                worker.learn_speed(open.job.cost_hint.unwrap_or(DEFAULT_COST) / running_time);
            }
        }
        if completed.request_finished || open.is_answered {
            return;
        }
        if completed.outcome.never_ran() && open.attempted.len() < MAX_ATTEMPTS && now < open.deadline {
            return self.send(now, completed.request, open, actions);
        }
        open.is_answered = true;
        actions.push(Action::Fail { request: completed.request });
    }
}

impl KnownWorker {
    fn release(&mut self, job: &IncomingRequest) {
        self.outstanding = self.outstanding.saturating_sub(1);
        // The outstanding work is set to exactly zero when no request is outstanding. Otherwise rounding
        // errors would accumulate in it.
        self.outstanding_work =
            if self.outstanding == 0 { 0.0 } else { self.outstanding_work - hinted_work(job) };
    }

    fn learn_speed(&mut self, speed: f64) {
        let [slowest, fastest] = LEARNED_SPEED_RANGE;
        let speed = speed.clamp(slowest, fastest);
        self.learned_speed += (speed - self.learned_speed) * SPEED_LEARNING_RATE;
    }
}

/// Returns the work of a request in core-seconds, computed from its cost hint and its number of slots.
fn hinted_work(job: &IncomingRequest) -> f64 {
    job.cost_hint.unwrap_or(DEFAULT_COST) * job.slots.unwrap_or(1.0)
}

impl DispatchPolicy for Baseline {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints(update) => self.apply_endpoint_update(update, actions),
            Event::AttemptProgress { request, progress: Progress::Started, .. } => {
                if let Some(open) = self.open_requests.get_mut(&request) {
                    open.started_at = now;
                }
            }
            Event::Request(job) => {
                let deadline = now + job.time_left;
                let open =
                    OpenRequest { job, deadline, attempted: Vec::new(), started_at: now, is_answered: false };
                self.send(now, job.request, open, actions);
            }
            Event::AttemptCompleted(completed) => self.complete_attempt(now, completed, actions),
            _ => {}
        }
    }
}

impl Policy for Baseline {
    fn needs_true_state(&self) -> bool {
        self.rule == SelectionRule::EarliestTrueFinish
    }

    fn observe_true_state(&mut self, states: &[TrueState]) {
        self.true_states.clear();
        self.true_states.extend_from_slice(states);
    }
}
