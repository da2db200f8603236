//! Simulation of clients, schedulers and workers in virtual time. It advances from event to event
//! (discrete-event simulation).
//!
//! A simulated scheduler follows the rules of the proxy crate:
//!
//! - Its deadline is earlier than the client's deadline by a margin.
//! - Attempts that are in flight at the deadline end as timed out.
//! - The first served attempt provides the final response.
//! - The policy is notified of the end of every attempt.
//!
//! A run is deterministic: the same scenario, policy and seed give the same outcome, byte for byte.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `event_queue` | events and their order |
//! | `requests` | state of open jobs, requests, attempts and load queries |
//! | `clients` | arrivals of jobs, retries, final responses |
//! | `schedulers` | scheduler processes, the policy's events and actions |
//! | `attempts` | the schedulers' side of attempts, connections |
//! | `workers` | the workers' side of attempts, idempotency keys |
//! | `load_queries` | load queries and their load reports |
//! | `endpoint_lists` | discovery |
//! | `faults` | starts and ends of faults |
mod attempts;
mod clients;
mod endpoint_lists;
mod event_queue;
mod faults;
mod load_queries;
mod requests;
mod schedulers;
mod workers;

use std::sync::Arc;

use copperspread_dispatcher::{
    Action, Endpoint, Event, Micros, Progress, RequestId, SECOND, SettingsError, WorkerId,
};
use rand::RngExt;
use rand_distr::{Distribution, Exp1, Normal};
use rustc_hash::FxHashMap;

use self::event_queue::{EventQueue, SimulationEvent};
use self::requests::{
    Attempt, AttemptId, ClientJob, ClientJobId, LoadQueryId, PendingLoadQuery, SchedulerRequest,
};
use self::schedulers::Scheduler;
use crate::model::arrivals::Arrivals;
use crate::model::connection_faults::ConnectionFaults;
use crate::model::fleet::{FaultTransition, Fleet, slow_start_budget};
use crate::model::random::{RandomStream, StreamPurpose, random_stream};
use crate::model::scheduler_id::SchedulerId;
use crate::model::worker::Worker;
use crate::outcome::{OutcomeCounter, RunOutcome, RunRecord};
use crate::policy::PolicyKind;
use crate::rule_checker::RuleChecker;
use crate::scenario::{Scenario, micros_from_seconds};

/// Time by which a lost message arrives late, because it is retransmitted, in microseconds.
const RETRANSMISSION_DELAY: Micros = 200_000;
/// Time that the clock of the policies shows at the start of the run, in microseconds. The simulation's own
/// clock starts at 0. Because [`Micros`] is unsigned, a policy whose clock also started at 0 could not
/// express a time before the run.
const CLOCK_OFFSET: Micros = 1_000 * SECOND;
/// Time after the scenario's duration until which the policies' timers and the workers' refreshes of load
/// reports continue, in microseconds. Requests can still be open after the duration. Without an end, periodic
/// timers and refreshes would keep the run from ending.
const COOLDOWN: Micros = 60 * SECOND;

/// Simulates one run of a scenario with a dispatch policy and a seed, and returns the outcome of the run.
///
/// # Errors
/// Fails if the policy does not accept the scenario's settings.
pub fn simulate(
    scenario: &Scenario,
    policy_kind: PolicyKind,
    seed: u64,
) -> Result<RunOutcome, SettingsError> {
    let mut simulation = Simulation::new(scenario, policy_kind, seed)?;
    while simulation.handle_next_event() {}
    Ok(simulation.outcome())
}

/// The state of one simulated run. A single thread uses it.
struct Simulation<'a> {
    scenario: &'a Scenario,
    policy_kind: PolicyKind,
    seed: u64,
    now: Micros,
    queue: EventQueue,
    arrivals: Arrivals<'a>,
    network_random: RandomStream,
    retry_random: RandomStream,
    report_random: RandomStream,
    /// The workers, each with the index of its zone. The position in the list is the worker's number.
    workers: Vec<(Worker, u32)>,
    /// For each worker, the index of its group in the scenario's list of worker groups. Worker number N has
    /// entry N of this list.
    kinds: Vec<u32>,
    /// For each worker, the number of its cell, which is a group of workers of one zone. The position in the
    /// list is the worker's number.
    cells: Vec<u32>,
    schedulers: Vec<Scheduler>,
    client_jobs: FxHashMap<ClientJobId, ClientJob>,
    scheduler_requests: FxHashMap<RequestId, SchedulerRequest>,
    attempts: FxHashMap<AttemptId, Attempt>,
    load_queries: FxHashMap<LoadQueryId, PendingLoadQuery>,
    /// The ID that was assigned last. Jobs, requests, attempts and load queries get their IDs from one
    /// sequence.
    last_id: u64,
    /// Endpoints that changed while discovery was down. They are published when discovery is back.
    unpublished: Vec<Endpoint>,
    /// Number of active faults that keep discovery down.
    discovery_outages: u32,
    /// Size that the endpoint list gave for each worker at the last call of `publish_sizes`. The size of a
    /// worker falls as its number of jobs rises. The position in this list is the worker's number. The list
    /// is empty before the first call.
    published_sizes: Vec<f64>,
    /// Time by which load reports are older than usual while a `reports_late` fault is active, in
    /// microseconds.
    report_delay: Micros,
    /// For each worker, the active faults of its connections. The position in the list is the worker's
    /// number.
    connection_faults: Vec<ConnectionFaults>,
    /// For each scheduler and worker, the open connections between them. Each connection is given by the time
    /// from which it is idle, in microseconds. This time lies in the future while the connection is in use.
    idle_connections: FxHashMap<(SchedulerId, WorkerId), Vec<Micros>>,
    /// The full endpoint list as of the start of a `discovery_contradicts` fault; `None` if no such fault is
    /// active.
    stale_list: Option<Arc<Vec<Endpoint>>>,
    /// Buffer for the actions of a policy. It is reused between events to avoid allocations.
    action_buffer: Vec<Action>,
    rule_checker: RuleChecker,
    outcome_counter: OutcomeCounter,
    events_handled: u64,
    attempts_sent: u64,
    cross_zone_attempts: u64,
    load_queries_sent: u64,
    overload_count: u64,
    /// Number of jobs that currently run or wait at workers. Load queries are included if the scenario makes
    /// them wait in the workers' queues like jobs.
    jobs_at_workers: u64,
    /// Integral of `jobs_at_workers` over time, in job-microseconds.
    job_microseconds: f64,
}

impl<'a> Simulation<'a> {
    fn new(
        scenario: &'a Scenario,
        policy_kind: PolicyKind,
        seed: u64,
    ) -> Result<Simulation<'a>, SettingsError> {
        let fleet = Fleet::generate(scenario, seed);
        let schedulers = SchedulerId::first(scenario.schedulers)
            .map(|id| Scheduler::new(scenario, policy_kind, seed, id))
            .collect::<Result<Vec<_>, _>>()?;
        let mut simulation = Simulation {
            scenario,
            policy_kind,
            seed,
            now: 0,
            queue: EventQueue::default(),
            arrivals: Arrivals::new(scenario, seed),
            network_random: random_stream(seed, StreamPurpose::Network),
            retry_random: random_stream(seed, StreamPurpose::Retries),
            report_random: random_stream(seed, StreamPurpose::Reports),
            connection_faults: vec![ConnectionFaults::default(); fleet.workers.len()],
            workers: fleet.workers,
            kinds: fleet.kinds,
            cells: fleet.cells,
            schedulers,
            client_jobs: FxHashMap::default(),
            scheduler_requests: FxHashMap::default(),
            attempts: FxHashMap::default(),
            load_queries: FxHashMap::default(),
            last_id: 0,
            unpublished: Vec::new(),
            discovery_outages: 0,
            published_sizes: Vec::new(),
            report_delay: 0,
            idle_connections: FxHashMap::default(),
            stale_list: None,
            action_buffer: Vec::new(),
            rule_checker: RuleChecker::new(slow_start_budget(scenario)),
            outcome_counter: OutcomeCounter::new(scenario.classes.len(), scenario.zones),
            events_handled: 0,
            attempts_sent: 0,
            cross_zone_attempts: 0,
            load_queries_sent: 0,
            overload_count: 0,
            jobs_at_workers: 0,
            job_microseconds: 0.0,
        };
        simulation.schedule_initial_lists(&fleet.missing_workers);
        simulation.schedule_initial_events(&fleet.fault_transitions);
        Ok(simulation)
    }

    fn schedule_initial_events(&mut self, fault_transitions: &[FaultTransition]) {
        for transition in fault_transitions {
            self.schedule(transition.at, SimulationEvent::FaultChanged(*transition));
        }
        if self.scenario.discovery.size_interval_s > 0.0 {
            self.schedule(
                micros_from_seconds(self.scenario.discovery.size_interval_s),
                SimulationEvent::SizesDue,
            );
        }
        if self.scenario.load_reports.load_query.is_some() {
            self.schedule_initial_refreshes();
        }
        self.schedule_next_arrival();
    }

    /// Handles the next event. Returns `false` if no event is left.
    fn handle_next_event(&mut self) -> bool {
        let Some((at, event)) = self.queue.pop() else { return false };
        self.advance_clock(at);
        self.events_handled += 1;
        self.handle_event(event);
        true
    }

    fn advance_clock(&mut self, at: Micros) {
        self.job_microseconds += self.jobs_at_workers as f64 * (at - self.now) as f64;
        self.now = at;
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::ClientArrived(arrival) => self.accept_arrival(arrival),
            SimulationEvent::RetryDue(client_job) => self.retry_job(client_job),
            SimulationEvent::RequestArrived(request) => self.receive_request(request),
            SimulationEvent::DeadlinePassed(request) => self.expire_request(request),
            SimulationEvent::ResponseArrived { request, response } => {
                self.receive_response(request, response);
            }
            SimulationEvent::ClientWaitEnded(request) => self.end_client_wait(request),
            SimulationEvent::AttemptArrived(attempt) => self.deliver_attempt(attempt),
            SimulationEvent::AttemptStarted(attempt) => self.notify_progress(attempt, Progress::Started),
            SimulationEvent::ProgressDue(attempt) => self.report_progress(attempt),
            SimulationEvent::AttemptCompleted { attempt, result } => self.complete_attempt(attempt, result),
            SimulationEvent::CancellationArrived(attempt) => self.cancel_at_worker(attempt),
            SimulationEvent::WorkerWake { worker, wake_version } => self.wake_worker(worker, wake_version),
            SimulationEvent::TimerExpired { scheduler, process_number, timer } => {
                if self.schedulers[scheduler.index()].process_number == process_number {
                    self.notify_scheduler(scheduler, Event::TimerExpired(timer));
                }
            }
            SimulationEvent::EndpointsDelivered { scheduler, kind, endpoints } => {
                self.deliver_endpoints(scheduler, kind, &endpoints);
            }
            SimulationEvent::FaultChanged(transition) => self.apply_fault_transition(transition),
            SimulationEvent::AlternateListDue { is_stale } => self.alternate_lists(is_stale),
            SimulationEvent::SizesDue => self.publish_sizes(),
            SimulationEvent::LoadQueryArrived(query) => self.deliver_load_query(query),
            SimulationEvent::LoadQueryCompleted { query, result, report } => {
                self.complete_load_query(query, result, report);
            }
            SimulationEvent::ReportRefreshDue { worker } => self.refresh_load_report(worker),
        }
    }

    /// Schedules an event for the time `at`, or for now if that time has passed.
    fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.queue.push(at.max(self.now), event);
    }

    /// Draws the random delay of a message between two zones. If the message is lost, the delay includes its
    /// retransmission.
    fn network_delay(&mut self, from_zone: u32, to_zone: u32) -> Micros {
        let link = self.scenario.network.link_between(from_zone, to_zone);
        let (mean, loss) = (link.delay_s, link.loss);
        let jitter: f64 = Exp1.sample(&mut self.network_random);
        let is_lost = self.network_random.random::<f64>() < loss;
        micros_from_seconds(mean * (0.9 + 0.1 * jitter)) + if is_lost { RETRANSMISSION_DELAY } else { 0 }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn worker(&self, worker: WorkerId) -> &Worker {
        &self.workers[worker.0 as usize].0
    }

    fn worker_mut(&mut self, worker: WorkerId) -> &mut Worker {
        &mut self.workers[worker.0 as usize].0
    }

    fn worker_zone(&self, worker: WorkerId) -> u32 {
        self.workers[worker.0 as usize].1
    }

    fn scheduler_zone(&self, scheduler: SchedulerId) -> u32 {
        self.schedulers[scheduler.index()].zone
    }

    fn outcome(self) -> RunOutcome {
        RunRecord {
            scenario: self.scenario,
            policy: self.policy_kind.name(),
            seed: self.seed,
            events: self.events_handled,
            counter: &self.outcome_counter,
            workers: &self.workers,
            kinds: &self.kinds,
            attempts: self.attempts_sent,
            cross_zone_attempts: self.cross_zone_attempts,
            load_queries: self.load_queries_sent,
            overloads: self.overload_count,
            job_microseconds: self.job_microseconds,
            violations: self.rule_checker.into_violations(),
            machine_usage: None,
        }
        .into_outcome()
    }
}

/// Draws the random error of one value in a load report, in the unit of that value. The error is normally
/// distributed with the standard deviation `sigma`. It is 0 if `sigma` is invalid.
fn draw_report_noise(random: &mut RandomStream, sigma: f64) -> f64 {
    Normal::new(0.0, sigma).map_or(0.0, |normal| normal.sample(random))
}

#[cfg(test)]
#[path = "../../tests/unit/simulation.rs"]
mod tests;
