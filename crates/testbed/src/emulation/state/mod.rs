//! The state of an emulation run: the workers' models, the requests and attempts, the rule checker and the
//! counters.
//!
//! The state does no I/O. Other tasks tell it which messages have arrived, and carry out the actions that it
//! returns.
mod attempts;
mod effects;
mod load_queries;

use std::time::Duration;

use copperspread_dispatcher::{Micros, RequestId, WorkerId};
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::emulation::messages::Callback;
use crate::model::arrivals::Arrival;
use crate::model::connection_faults::ConnectionFaults;
use crate::model::fleet::{FaultTarget, FaultTransition, Fleet, slow_start_budget};
use crate::model::idempotency_keys::KeyHistory;
use crate::model::random::{RandomStream, StreamPurpose, random_stream};
use crate::model::scheduler_id::SchedulerId;
use crate::model::worker::Worker;
use crate::outcome::OutcomeCounter;
use crate::rule_checker::RuleChecker;
use crate::scenario::{FaultKind, Scenario, micros_from_seconds};

/// Shortest network delay that is emulated, in microseconds. A shorter delay is below the timer's resolution,
/// and is replaced by 0. The message then has only the machine's own delay.
const MIN_NETWORK_DELAY: Micros = 1_000;

/// A request of a client: the number of the job, and the scheduler to which the request is sent.
#[derive(Clone, Copy)]
struct ClientRequest {
    job: u64,
    scheduler: SchedulerId,
}

/// An attempt that a worker accepted.
#[derive(Clone, Copy)]
struct Attempt {
    request: u64,
    job: u64,
    worker: WorkerId,
    scheduler: SchedulerId,
}

/// A client's job, with the workers' record of the job's idempotency key.
struct ClientJob {
    arrival: Arrival,
    keys: KeyHistory,
}

/// Number of jobs at all workers, and the integral of this number over time, in job-microseconds. The number
/// includes load queries if the scenario makes them wait in the workers' queues like jobs.
#[derive(Default)]
struct InFlightJobs {
    count: u64,
    job_micros: f64,
    accounted_until: Micros,
}

/// The state of one emulation run. The run's environment owns this state, and the tasks of the run use it on
/// one thread.
pub(crate) struct EmulationState {
    /// The scenario of the run.
    pub scenario: Scenario,
    /// The model of each worker with the index of the worker's zone, indexed by worker number.
    pub workers: Vec<(Worker, u32)>,
    /// The kind of each worker, indexed by worker number. A kind is the index of the worker's group in the
    /// scenario.
    pub kinds: Vec<u32>,
    /// The index of each worker's cell, indexed by worker number. A cell is a group of workers that share a
    /// store of idempotency keys.
    pub cells: Vec<u32>,
    /// The active faults of the connections to each worker, indexed by worker number.
    connections: Vec<ConnectionFaults>,
    /// The rule checker, to which the events at clients and workers are reported.
    pub rule_checker: RuleChecker,
    /// Counter of the jobs' outcomes.
    pub outcomes: OutcomeCounter,
    /// Number of attempts that reached a worker.
    pub attempts_sent: u64,
    /// Number of attempts that reached a worker in another zone than that of their scheduler.
    pub cross_zone_attempts: u64,
    /// Number of load queries that reached a worker.
    pub load_query_count: u64,
    /// Number of times that a worker was overloaded during slow start.
    pub overload_count: u64,
    /// Callbacks that the environment has not sent yet.
    pub callbacks: Vec<Callback>,
    /// Workers whose process or machine has changed. The environment then updates their sockets and
    /// endpoints.
    pub changed_workers: Vec<WorkerId>,
    started_at: Instant,
    requests: FxHashMap<u64, ClientRequest>,
    jobs: FxHashMap<u64, ClientJob>,
    attempts: FxHashMap<u64, Attempt>,
    /// For each load query in a worker's queue, by the query's id: the channel that signals the end of the
    /// query.
    load_queries: FxHashMap<u64, oneshot::Sender<()>>,
    last_id: u64,
    extra_report_delay: Micros,
    network_random: RandomStream,
    noise_random: RandomStream,
    in_flight: InFlightJobs,
}

impl EmulationState {
    /// Creates the initial state of a run, and starts the run's clock.
    pub(crate) fn new(scenario: &Scenario, fleet: Fleet, seed: u64) -> EmulationState {
        EmulationState {
            connections: vec![ConnectionFaults::default(); fleet.workers.len()],
            workers: fleet.workers,
            kinds: fleet.kinds,
            cells: fleet.cells,
            rule_checker: RuleChecker::new(slow_start_budget(scenario)),
            outcomes: OutcomeCounter::new(scenario.classes.len(), scenario.zones),
            attempts_sent: 0,
            cross_zone_attempts: 0,
            load_query_count: 0,
            overload_count: 0,
            callbacks: Vec::new(),
            changed_workers: Vec::new(),
            started_at: Instant::now(),
            requests: FxHashMap::default(),
            jobs: FxHashMap::default(),
            attempts: FxHashMap::default(),
            load_queries: FxHashMap::default(),
            // The ids of requests, attempts and load queries count up from a large number that follows from
            // the seed. The ids on the hosting platform, where schedulers run in production, are large too.
            last_id: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1 << 63,
            extra_report_delay: 0,
            network_random: random_stream(seed, StreamPurpose::Network),
            noise_random: random_stream(seed, StreamPurpose::Reports),
            in_flight: InFlightJobs::default(),
            scenario: scenario.clone(),
        }
    }

    /// Starts, or restarts, the run's clock at 0.
    pub(crate) fn start_clock(&mut self) {
        self.started_at = Instant::now();
    }

    /// The current time on the run's clock: microseconds since the clock was last started.
    pub(crate) fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Converts a time on the run's clock, in microseconds, to an `Instant`.
    pub(crate) fn instant_at(&self, at: Micros) -> Instant {
        self.started_at + Duration::from_micros(at)
    }

    /// Returns the emulated network delay from one zone to another, in microseconds. The machine's own delay
    /// is not included.
    fn network_delay(&self, from: u32, to: u32) -> Micros {
        let delay = micros_from_seconds(self.scenario.network.link_between(from, to).delay_s);
        if delay < MIN_NETWORK_DELAY { 0 } else { delay }
    }

    fn scheduler_zone(&self, scheduler: SchedulerId) -> u32 {
        scheduler.zone(self.scenario.zones)
    }

    /// Returns a new id for a request, attempt or load query.
    fn next_id(&mut self) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        self.last_id
    }

    /// Stores a client's job under its number. The requests for the job refer to the job by this number.
    pub(crate) fn add_job(&mut self, number: u64, arrival: Arrival) {
        self.jobs.insert(number, ClientJob { arrival, keys: KeyHistory::default() });
    }

    /// Stores a request that a client is about to send, and returns the request's id. `deadline` is a time on
    /// the run's clock, in microseconds.
    pub(crate) fn register_request(&mut self, job: u64, scheduler: SchedulerId, deadline: Micros) -> u64 {
        let id = self.next_id();
        self.requests.insert(id, ClientRequest { job, scheduler });
        self.rule_checker.request_sent(RequestId(id), deadline);
        id
    }

    /// Updates the integral over time of the number of jobs in flight. Adds this number, multiplied by the
    /// time since the last update. Must be called before each change of the number.
    fn account_in_flight(&mut self) {
        let now = self.now();
        let in_flight = &mut self.in_flight;
        in_flight.job_micros += in_flight.count as f64 * now.saturating_sub(in_flight.accounted_until) as f64;
        in_flight.accounted_until = now;
    }

    /// The integral over time of the number of jobs at all workers, in job-microseconds. The integral covers
    /// the time until its last update. The number includes load queries if the scenario makes them wait in
    /// the workers' queues like jobs.
    pub(crate) fn in_flight_job_micros(&self) -> f64 {
        self.in_flight.job_micros
    }

    /// Runs a worker's model up to the present, and applies what happened. Returns the time of the model's
    /// next event; `None` if there is none.
    pub(crate) fn advance_worker(&mut self, worker: WorkerId) -> Option<Instant> {
        self.account_in_flight();
        let now = self.now();
        let mut effects = Vec::new();
        let model = &mut self.workers[worker.0 as usize].0;
        if model.accepts_jobs() || model.job_count() > 0 {
            model.advance(now, &mut effects);
        }
        self.apply_effects(worker, effects);
        self.workers[worker.0 as usize].0.next_wake(self.now()).map(|at| self.instant_at(at))
    }

    /// Starts or ends a fault that affects workers, their connections or their load reports.
    pub(crate) fn apply_fault(&mut self, transition: FaultTransition) {
        self.account_in_flight();
        let fault = self.scenario.faults[transition.fault].kind;
        if let FaultKind::ReportsLate(delay_s) = fault {
            self.extra_report_delay = if transition.is_start { micros_from_seconds(delay_s) } else { 0 };
        }
        let Some(FaultTarget::Worker(worker)) = transition.target else { return };
        if self.connections[worker.0 as usize].apply_fault(fault, transition.is_start) {
            return;
        }
        self.apply_worker_fault(worker, fault, transition.is_start);
        self.changed_workers.push(worker);
    }

    fn apply_worker_fault(&mut self, worker: WorkerId, fault: FaultKind, is_start: bool) {
        let now = self.now();
        let mut effects = Vec::new();
        let model = &mut self.workers[worker.0 as usize].0;
        let job_count = model.job_count() as u64;
        let has_started = model.apply_fault(now, fault, is_start, &mut effects);
        let spec = model.spec;
        if fault == FaultKind::Vanish && is_start {
            self.in_flight.count -= job_count;
        }
        if has_started {
            self.rule_checker.worker_started(now, worker, spec.cores.min(spec.slots) * spec.speed);
        }
        self.apply_effects(worker, effects);
    }
}
