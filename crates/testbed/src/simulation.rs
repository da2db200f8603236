//! The drive in virtual time: the model's parts, any number of schedulers, and one queue of events.
//!
//! A scheduler's node is played as `crates/proxy` is: the deadline has a margin, what is out at the
//! deadline is told as timed out, the first served attempt answers, and the module hears of every
//! attempt's end. The same seed gives the same run, to the byte.
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use copperspread_dispatcher::{
    Action, AttemptOutcome, Endpoint, EndpointUpdate, EndpointUpdateKind, Event, Idempotency,
    IncomingRequest, LoadReport, Micros, Outcome as Ended, Progress, RequestId, SECOND, Timer, WorkerId,
    WorkerState,
};
use rand::RngExt;
use rand_distr::{Distribution, Exp1, Normal};
use rustc_hash::FxHashMap;

use crate::model::arrivals::{Arrival, Arrivals};
use crate::model::connection_faults::{ConnectionFaults, DeliveryResult};
use crate::model::fleet::{FaultTransition, Fleet, slow_start_budget};
use crate::model::idempotency_keys::{DuplicateOutcome, KeyHistory, key_group};
use crate::model::random::{RandomStream, StreamPurpose, random_stream};
use crate::model::worker::{self, OfferResult, OfferedJob, TrueState, Worker};
use crate::outcome::{End, Outcome, Played, Tally};
use crate::policy::{Policy, PolicyKind};
use crate::referee::{Heard, Referee};
use crate::scenario::{CONNECT, Scenario, Trouble, micros};

/// The node's margin before the client gives up.
const DEADLINE_MARGIN: Micros = 50_000;
/// An idle connection is closed after so long.
const IDLE_CONNECTION_TIMEOUT: Micros = 5 * SECOND;
/// A call to a discovery that is down fails after so long.
const DISCOVERY_ERROR_DELAY: Micros = SECOND;
/// What a lost message costs.
const RETRANSMISSION_DELAY: Micros = 200_000;
/// How long a list that contradicts itself stays before the other one comes.
const LIST_ALTERNATION_INTERVAL: Micros = 3 * SECOND;
/// Starts that are told lie this far from zero, so that ages can be subtracted.
const CLOCK_OFFSET: Micros = 1_000 * SECOND;

/// What happens next.
enum SimulationEvent {
    ClientArrived(Arrival),
    RetryDue(u64),
    RequestArrived(u64),
    AttemptArrived(u64),
    WorkerWake(u32, u64),
    AttemptEnded(u64, Ended),
    AttemptStarted(u64),
    ProgressDue(u64),
    /// For a scheduler in its so many-th life.
    TimerExpired(u32, u32, Timer),
    EndpointsDelivered(u32, EndpointUpdateKind, Arc<Vec<Endpoint>>),
    DeadlinePassed(u64),
    ResponseArrived(u64, FinalResponse),
    ClientTimedOut(u64),
    FaultChanged(FaultTransition),
    AlternateListDue(bool),
    /// The list's sizes are renewed.
    SizesDue,
    /// An attempt that its scheduler gave up is to stop at its worker.
    CancellationArrived(u64),
    /// A probe is at its worker.
    LoadQueryArrived(u64),
    /// What came of a probe is at its scheduler.
    LoadQueryEnded(u64, Ended, Option<LoadReport>),
    /// A worker's figures for probes are refreshed.
    ReportRefreshDue(u32),
}

/// A final answer on its way.
#[derive(Clone, Copy, PartialEq)]
enum FinalResponse {
    Served,
    Rejected(Micros),
    Failed,
}

struct ScheduledEvent(Micros, u64, SimulationEvent);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A client's job, over all its tries.
struct ClientRequest {
    arrival: Arrival,
    gives_up_at: Micros,
    retries_left: u32,
    is_finished: bool,
    /// Requests and attempts that still know of it.
    open_references: u32,
    keys: KeyHistory,
}

/// A request at a scheduler.
struct SchedulerRequest {
    client_request: u64,
    scheduler: u32,
    deadline: Micros,
    attempts: Vec<u64>,
    attempts_in_flight: u32,
    is_answered: bool,
    is_past_deadline: bool,
    is_client_gone: bool,
}

struct Attempt {
    request: u64,
    client_request: u64,
    number: u32,
    worker: u32,
    sent_at: Micros,
    /// The scheduler waits for it.
    is_in_flight: bool,
    /// It is at a worker, or on the way there.
    is_at_worker: bool,
    /// Its connection breaks after the job was taken.
    loses_response: bool,
    /// It is to stop at its worker, which it may not have reached.
    is_cancelled: bool,
}

/// A probe that its scheduler waits for.
#[derive(Clone, Copy)]
struct PendingLoadQuery {
    scheduler: u32,
    incarnation: u32,
    worker: u32,
}

struct Scheduler {
    policy: Box<dyn Policy>,
    zone: u32,
    list_version: u64,
    is_up: bool,
    /// Clients reach it: it has not been told to end.
    accepts_requests: bool,
    /// How often its process died.
    incarnation: u32,
    /// Changes of the list are told to it.
    is_subscribed: bool,
}

/// Plays a scenario under a policy and a seed.
///
/// # Errors
/// Settings that the policy does not take.
pub fn simulate(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Result<Outcome, String> {
    let mut sim = Simulation::new(scenario, kind, seed)?;
    while let Some(Reverse(ScheduledEvent(at, _, event))) = sim.heap.pop() {
        sim.advance_clock(at);
        sim.events_handled += 1;
        sim.handle_event(event);
    }
    Ok(sim.outcome(kind, seed))
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    now: Micros,
    number: u64,
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    arrivals: Arrivals<'a>,
    network_random: RandomStream,
    retry_random: RandomStream,
    report_noise: RandomStream,
    workers: Vec<(Worker, u32)>,
    kinds: Vec<u32>,
    cells: Vec<u32>,
    schedulers: Vec<Scheduler>,
    client_requests: FxHashMap<u64, ClientRequest>,
    scheduler_requests: FxHashMap<u64, SchedulerRequest>,
    attempts: FxHashMap<u64, Attempt>,
    load_queries: FxHashMap<u64, PendingLoadQuery>,
    next_id: u64,
    /// What the list will tell once discovery is back.
    unpublished: Vec<Endpoint>,
    discovery_outages: u32,
    /// The sizes that were last renewed, by worker.
    published_sizes: Vec<f64>,
    report_delay: Micros,
    connection_faults: Vec<ConnectionFaults>,
    /// From when on each connection stands idle, by scheduler and worker.
    idle_connections: FxHashMap<(u32, u32), Vec<Micros>>,
    /// The whole list as it was when it began to contradict itself.
    stale_list: Option<Arc<Vec<Endpoint>>>,
    policy_kind: PolicyKind,
    seed: u64,
    action_buffer: Vec<Action>,
    referee: Referee,
    tally: Tally,
    events_handled: u64,
    attempts_sent: u64,
    cross_zone_attempts: u64,
    load_queries_sent: u64,
    overload_count: u64,
    job_time: (u64, f64),
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, kind: PolicyKind, seed: u64) -> Result<Simulation<'a>, String> {
        let mut fleet = Fleet::generate(scenario, seed);
        let mut schedulers = Vec::new();
        let subscribed = !scenario.discovery.on_request;
        for number in 0..scenario.schedulers {
            let own = seed.wrapping_add(u64::from(number) * 7919);
            let policy =
                kind.build(scenario.settings(number), own, random_stream(own, StreamPurpose::Network))?;
            let zone = number % scenario.zones;
            schedulers.push(Scheduler {
                policy,
                zone,
                list_version: 0,
                is_up: true,
                accepts_requests: true,
                incarnation: 0,
                is_subscribed: subscribed,
            });
        }
        let mut sim = Simulation {
            scenario,
            now: 0,
            number: 0,
            heap: BinaryHeap::new(),
            arrivals: Arrivals::new(scenario, seed),
            network_random: random_stream(seed, StreamPurpose::Network),
            retry_random: random_stream(seed, StreamPurpose::Retries),
            report_noise: random_stream(seed, StreamPurpose::Reports),
            workers: std::mem::take(&mut fleet.workers),
            kinds: std::mem::take(&mut fleet.kinds),
            cells: std::mem::take(&mut fleet.cells),
            schedulers,
            client_requests: FxHashMap::default(),
            scheduler_requests: FxHashMap::default(),
            attempts: FxHashMap::default(),
            load_queries: FxHashMap::default(),
            next_id: 0,
            unpublished: Vec::new(),
            discovery_outages: 0,
            published_sizes: Vec::new(),
            report_delay: 0,
            connection_faults: vec![
                ConnectionFaults::default();
                scenario.workers.iter().map(|of| of.count as usize).sum()
            ],
            idle_connections: FxHashMap::default(),
            stale_list: None,
            policy_kind: kind,
            seed,
            action_buffer: Vec::new(),
            referee: Referee::new(slow_start_budget(scenario)),
            tally: Tally::new(scenario.classes.len(), scenario.zones),
            events_handled: 0,
            attempts_sent: 0,
            cross_zone_attempts: 0,
            load_queries_sent: 0,
            overload_count: 0,
            job_time: (0, 0.0),
        };
        sim.schedule_initial_events(&fleet.missing_workers, &fleet.fault_transitions);
        Ok(sim)
    }

    fn schedule_initial_events(&mut self, gone: &[u32], turns: &[FaultTransition]) {
        let entries = self.endpoint_list();
        // The list of before the start names some that are not there.
        let mut remembered = entries.clone();
        gone.iter().for_each(|&at| remembered[at as usize].state = WorkerState::Ready);
        let first = micros(self.scenario.discovery.first_after);
        let (remembered, full) = (Arc::new(remembered), Arc::new(entries));
        for scheduler in 0..self.schedulers.len() as u32 {
            // Who must ask for the list hears at its start what it knows from before.
            if first > 0 || self.scenario.discovery.on_request {
                self.schedule(
                    0,
                    SimulationEvent::EndpointsDelivered(
                        scheduler,
                        EndpointUpdateKind::Cached,
                        Arc::clone(&remembered),
                    ),
                );
            }
            if !self.scenario.discovery.on_request {
                self.schedule(
                    first,
                    SimulationEvent::EndpointsDelivered(
                        scheduler,
                        EndpointUpdateKind::Full,
                        Arc::clone(&full),
                    ),
                );
            }
        }
        for turn in turns {
            self.schedule(turn.at, SimulationEvent::FaultChanged(*turn));
        }
        if self.scenario.discovery.sizes > 0.0 {
            self.schedule(micros(self.scenario.discovery.sizes), SimulationEvent::SizesDue);
        }
        if self.scenario.reports.probe.is_some() {
            let (every, all) = (micros(self.scenario.reports.refresh), self.workers.len() as u64);
            (0..all)
                .for_each(|at| self.schedule(every * at / all, SimulationEvent::ReportRefreshDue(at as u32)));
        }
        if let Some(arrival) = self.arrivals.next() {
            self.schedule(arrival.at, SimulationEvent::ClientArrived(arrival));
        }
    }

    fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.number += 1;
        self.heap.push(Reverse(ScheduledEvent(at.max(self.now), self.number, event)));
    }

    /// Time goes on; what the workers hold meanwhile is added up.
    fn advance_clock(&mut self, at: Micros) {
        self.job_time.1 += self.job_time.0 as f64 * (at - self.now) as f64;
        self.now = at;
    }

    /// A message's way between two zones.
    fn network_delay(&mut self, from: u32, to: u32) -> Micros {
        let (mean, loss) = self.scenario.network.between(from, to);
        let jitter: f64 = Exp1.sample(&mut self.network_random);
        let lost = self.network_random.random::<f64>() < loss;
        micros(mean * (0.9 + 0.1 * jitter)) + if lost { RETRANSMISSION_DELAY } else { 0 }
    }

    fn endpoint(&self, at: u32) -> Endpoint {
        let (worker, zone) = &self.workers[at as usize];
        Endpoint {
            worker: WorkerId(at),
            zone: *zone,
            kind: self.kinds[at as usize],
            cell: self.cells[at as usize],
            state: match worker.process {
                worker::ProcessState::Up => WorkerState::Ready,
                worker::ProcessState::Draining => WorkerState::Draining,
                worker::ProcessState::Stopped | worker::ProcessState::Unreachable => WorkerState::Removed,
            },
            started_at: worker.started_at.map(|at| at + CLOCK_OFFSET),
            size: (self.scenario.discovery.sizes > 0.0).then(|| self.worker_size(at)),
            hash_key: at.into(),
        }
    }

    /// The whole list as it is now.
    fn endpoint_list(&self) -> Vec<Endpoint> {
        (0..self.workers.len() as u32).map(|at| self.endpoint(at)).collect()
    }

    /// What a list tells of a worker's size: its kind's, divided by 1 and the jobs that it holds a core.
    fn worker_size(&self, at: u32) -> f64 {
        let of = &self.scenario.workers[self.kinds[at as usize] as usize];
        let idle = of.cores * (of.speed[0] + of.speed[1]) / 2.0;
        idle / (1.0 + self.workers[at as usize].0.job_count() as f64 / of.cores)
    }

    /// All who take work and whose size is another than when it was last told are listed anew.
    fn publish_sizes(&mut self) {
        let now: Vec<f64> = (0..self.workers.len() as u32).map(|at| self.worker_size(at)).collect();
        let told = std::mem::replace(&mut self.published_sizes, now);
        let changed = (0..self.workers.len() as u32).filter(|&at| {
            let (size, takes) = (
                self.published_sizes[at as usize],
                self.workers[at as usize].0.process == worker::ProcessState::Up,
            );
            takes && told.get(at as usize).is_none_or(|&old| old != size)
        });
        let entries: Vec<_> = changed.map(|at| self.endpoint(at)).collect();
        if self.discovery_outages == 0 && self.stale_list.is_none() {
            self.publish_changes(&Arc::new(entries));
        }
        let next = self.now + micros(self.scenario.discovery.sizes);
        if next < micros(self.scenario.seconds) {
            self.schedule(next, SimulationEvent::SizesDue);
        }
    }

    /// The list changes, and schedulers will be told.
    fn publish_worker(&mut self, worker: u32) {
        let entry = self.endpoint(worker);
        if self.discovery_outages > 0 {
            self.unpublished.push(entry);
            return;
        }
        let entries = Arc::new(vec![entry]);
        self.publish_changes(&entries);
    }

    /// A scheduler asks for the list and its changes: it gets the whole one, and from then on what is new.
    fn subscribe(&mut self, scheduler: u32) {
        if !self.scenario.discovery.on_request {
            return;
        }
        if self.discovery_outages > 0 {
            return self.schedule(
                self.now + DISCOVERY_ERROR_DELAY,
                SimulationEvent::EndpointsDelivered(scheduler, EndpointUpdateKind::Failed, Arc::default()),
            );
        }
        self.schedulers[scheduler as usize].is_subscribed = true;
        let zone = self.schedulers[scheduler as usize].zone;
        let way = self.network_delay(zone, zone) + self.network_delay(zone, zone);
        let first = micros(self.scenario.discovery.first_after);
        let list = Arc::new(self.endpoint_list());
        self.schedule(
            (self.now + way).max(first),
            SimulationEvent::EndpointsDelivered(scheduler, EndpointUpdateKind::Full, list),
        );
    }

    /// Discovery goes down: who watches it sees the call break.
    fn end_subscriptions(&mut self) {
        if !self.scenario.discovery.on_request {
            return;
        }
        for scheduler in 0..self.schedulers.len() as u32 {
            if std::mem::replace(&mut self.schedulers[scheduler as usize].is_subscribed, false) {
                self.schedule(
                    self.now,
                    SimulationEvent::EndpointsDelivered(
                        scheduler,
                        EndpointUpdateKind::Failed,
                        Arc::default(),
                    ),
                );
            }
        }
    }

    fn publish_changes(&mut self, entries: &Arc<Vec<Endpoint>>) {
        let after = self.now + micros(self.scenario.discovery.delay);
        // The first list goes before any change.
        let after = after.max(micros(self.scenario.discovery.first_after) + 1);
        for scheduler in 0..self.schedulers.len() as u32 {
            self.schedule(
                after,
                SimulationEvent::EndpointsDelivered(
                    scheduler,
                    EndpointUpdateKind::Changes,
                    Arc::clone(entries),
                ),
            );
        }
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::ClientArrived(arrival) => {
                if let Some(next) = self.arrivals.next() {
                    self.schedule(next.at, SimulationEvent::ClientArrived(next));
                }
                self.next_id += 1;
                let gives_up = arrival.at + micros(self.scenario.classes[arrival.class as usize].deadline);
                let retries = self.scenario.clients.retries;
                let job = self.next_id;
                let (ended, keys) = (false, KeyHistory::default());
                let asked = ClientRequest {
                    arrival: arrival,
                    gives_up_at: gives_up,
                    retries_left: retries,
                    is_finished: ended,
                    open_references: 0,
                    keys,
                };
                self.client_requests.insert(job, asked);
                self.send_request(job);
            }
            SimulationEvent::RetryDue(job) => {
                if self.client_requests.get(&job).is_some_and(|asked| !asked.is_finished) {
                    self.send_request(job);
                }
            }
            SimulationEvent::RequestArrived(request) => self.receive_request(request),
            SimulationEvent::AttemptArrived(attempt) => self.deliver_attempt(attempt),
            SimulationEvent::WorkerWake(worker, epoch) => {
                if self.workers[worker as usize].0.wake_epoch == epoch {
                    let mut effects = Vec::new();
                    self.workers[worker as usize].0.advance(self.now, &mut effects);
                    self.apply_worker_effects(worker, effects);
                }
            }
            SimulationEvent::AttemptEnded(attempt, outcome) => self.end_attempt(attempt, outcome),
            SimulationEvent::AttemptStarted(attempt) => {
                let Some(of) = self.attempts.get(&attempt).filter(|of| of.is_in_flight) else { return };
                let (request, number) = (of.request, of.number);
                let Some(scheduler) = self.scheduler_requests.get(&request).map(|flow| flow.scheduler) else {
                    return;
                };
                let progress = Progress::Started;
                self.notify_scheduler(
                    scheduler,
                    Event::AttemptProgress { request: RequestId(request), attempt: number, progress },
                );
            }
            SimulationEvent::ProgressDue(attempt) => self.report_progress(attempt),
            SimulationEvent::TimerExpired(scheduler, life, timer) => {
                if self.schedulers[scheduler as usize].incarnation == life {
                    self.notify_scheduler(scheduler, Event::TimerExpired(timer));
                }
            }
            SimulationEvent::CancellationArrived(attempt) => self.cancel_at_worker(attempt),
            SimulationEvent::LoadQueryArrived(id) => self.deliver_load_query(id),
            SimulationEvent::LoadQueryEnded(id, outcome, report) => {
                let Some(of) = self.load_queries.remove(&id) else { return };
                if self.schedulers[of.scheduler as usize].incarnation == of.incarnation {
                    let worker = WorkerId(of.worker);
                    self.notify_scheduler(
                        of.scheduler,
                        Event::LoadQueryCompleted { worker, outcome, report },
                    );
                }
            }
            SimulationEvent::ReportRefreshDue(worker) => self.refresh_load_report(worker),
            SimulationEvent::AlternateListDue(old) => self.alternate_lists(old),
            SimulationEvent::SizesDue => self.publish_sizes(),
            SimulationEvent::EndpointsDelivered(scheduler, kind, entries) => {
                let of = &self.schedulers[scheduler as usize];
                let unasked = matches!(kind, EndpointUpdateKind::Cached | EndpointUpdateKind::Failed);
                if !of.is_up || !(unasked || of.is_subscribed) {
                    return;
                }
                for entry in entries.iter() {
                    let takes = entry.state == WorkerState::Ready;
                    self.referee.told(self.now, scheduler, entry.worker.0, takes);
                }
                let of = &mut self.schedulers[scheduler as usize];
                of.list_version += 1;
                let version = of.list_version;
                self.notify_scheduler(
                    scheduler,
                    Event::Endpoints(EndpointUpdate { kind, version, endpoints: &entries }),
                );
            }
            SimulationEvent::DeadlinePassed(request) => {
                let Some(flow) = self.scheduler_requests.get_mut(&request) else { return };
                flow.is_past_deadline = true;
                for attempt in flow.attempts.clone() {
                    self.end_attempt(attempt, Ended::TimedOut);
                }
            }
            SimulationEvent::ResponseArrived(request, answer) => self.receive_response(request, answer),
            SimulationEvent::ClientTimedOut(request) => self.time_out_client(request),
            SimulationEvent::FaultChanged(turn) => self.apply_fault_transition(turn),
        }
    }

    // ---- Clients -------------------------------------------------------------------------------

    /// The scheduler that clients reach who want one: it, or the next of its zone that is up, or of any.
    fn reachable_scheduler(&self, wanted: u32) -> u32 {
        let (all, zones) = (self.schedulers.len() as u32, self.scenario.zones);
        let after = || (0..all).map(|step| (wanted + step) % all);
        let up =
            |at: &u32| self.schedulers[*at as usize].is_up && self.schedulers[*at as usize].accepts_requests;
        let near = after().filter(up).find(|at| at % zones == wanted % zones);
        near.or_else(|| after().find(up)).unwrap_or(wanted)
    }

    fn send_request(&mut self, job: u64) {
        let Some(asked) = self.client_requests.get_mut(&job) else { return };
        asked.open_references += 1;
        let (gives_up, wanted) = (asked.gives_up_at, asked.arrival.scheduler);
        let scheduler = self.reachable_scheduler(wanted);
        self.next_id += 1;
        let request = self.next_id;
        let zone = self.schedulers[scheduler as usize].zone;
        let left = gives_up.saturating_sub(self.now);
        let deadline = gives_up - DEADLINE_MARGIN.min(left / 4);
        let flow = SchedulerRequest {
            client_request: job,
            scheduler,
            deadline,
            attempts: Vec::new(),
            attempts_in_flight: 0,
            is_answered: false,
            is_past_deadline: false,
            is_client_gone: false,
        };
        self.scheduler_requests.insert(request, flow);
        self.referee.asked(RequestId(request), gives_up);
        let way = self.network_delay(zone, zone);
        self.schedule(self.now + way, SimulationEvent::RequestArrived(request));
        self.schedule(
            gives_up + micros(self.scenario.clients.grace),
            SimulationEvent::ClientTimedOut(request),
        );
    }

    fn receive_response(&mut self, request: u64, answer: FinalResponse) {
        let heard = match answer {
            FinalResponse::Served => Heard::Served,
            FinalResponse::Rejected(_) | FinalResponse::Failed => Heard::Said,
        };
        self.referee.answered(self.now, RequestId(request), heard);
        let Some(job) = self.scheduler_requests.get(&request).map(|flow| flow.client_request) else { return };
        let Some(asked) = self.client_requests.get_mut(&job).filter(|asked| !asked.is_finished) else {
            return;
        };
        let took = self.now - asked.arrival.at;
        match answer {
            FinalResponse::Served => {
                let class = &self.scenario.classes[asked.arrival.class as usize];
                let wanted = micros(class.aim + class.stretch * asked.arrival.work);
                self.finish_client_request(job, if took <= wanted { End::InTime } else { End::Late });
            }
            FinalResponse::Failed => self.finish_client_request(job, End::Failed),
            FinalResponse::Rejected(after) => {
                let clients = &self.scenario.clients;
                let wait = clients.again.wait(after, clients.heed, self.retry_random.random());
                if asked.retries_left == 0 || self.now + wait + DEADLINE_MARGIN >= asked.gives_up_at {
                    return self.finish_client_request(job, End::Refused);
                }
                asked.retries_left -= 1;
                self.schedule(self.now + wait, SimulationEvent::RetryDue(job));
            }
        }
    }

    fn time_out_client(&mut self, request: u64) {
        self.referee.gave_up(self.now, RequestId(request));
        let Some(flow) = self.scheduler_requests.get_mut(&request) else { return };
        flow.is_client_gone = true;
        let (job, scheduler, open) = (flow.client_request, flow.scheduler, !flow.is_answered);
        if open {
            flow.is_answered = true;
            self.notify_scheduler(scheduler, Event::ClientDisconnected(RequestId(request)));
        }
        if self.client_requests.get(&job).is_some_and(|asked| !asked.is_finished) {
            self.finish_client_request(job, End::Lost);
        }
        self.close_request(request);
    }

    fn finish_client_request(&mut self, job: u64, end: End) {
        let Some(asked) = self.client_requests.get_mut(&job) else { return };
        asked.is_finished = true;
        let class = &self.scenario.classes[asked.arrival.class as usize];
        self.tally.ended(&asked.arrival, class, self.now - asked.arrival.at, end);
    }

    /// Lets go of a request that nobody waits for any more.
    fn close_request(&mut self, request: u64) {
        let Some(flow) = self.scheduler_requests.get(&request) else { return };
        if flow.is_client_gone && flow.is_answered && flow.attempts_in_flight == 0 {
            let job = flow.client_request;
            self.scheduler_requests.remove(&request);
            self.referee.over(RequestId(request));
            self.release_client_request(job);
        }
    }

    fn release_client_request(&mut self, job: u64) {
        let Some(asked) = self.client_requests.get_mut(&job) else { return };
        asked.open_references -= 1;
        if asked.open_references == 0 && asked.is_finished {
            self.client_requests.remove(&job);
            self.referee.job_over(job);
        }
    }

    // ---- Schedulers ----------------------------------------------------------------------------

    fn receive_request(&mut self, request: u64) {
        let Some(flow) = self.scheduler_requests.get_mut(&request).filter(|flow| !flow.is_answered) else {
            return;
        };
        let (scheduler, deadline, job) = (flow.scheduler, flow.deadline, flow.client_request);
        if !self.schedulers[scheduler as usize].is_up {
            // Refused by every scheduler there is.
            flow.is_answered = true;
            self.referee.answered(self.now, RequestId(request), Heard::Broken);
            if self.client_requests.get(&job).is_some_and(|asked| !asked.is_finished) {
                self.finish_client_request(job, End::Failed);
            }
            return self.close_request(request);
        }
        let Some(asked) = self.client_requests.get(&flow.client_request) else { return };
        let job = IncomingRequest {
            request: RequestId(request),
            class: asked.arrival.class,
            tenant: 0,
            slots: Some(asked.arrival.slots),
            cost_hint: asked.arrival.cost_hint,
            time_left: deadline.saturating_sub(self.now),
        };
        self.schedule(deadline, SimulationEvent::DeadlinePassed(request));
        if self.schedulers[scheduler as usize].policy.needs_true_state() {
            let truth: Vec<TrueState> =
                self.workers.iter().map(|(worker, _)| worker.true_state(self.now)).collect();
            self.schedulers[scheduler as usize].policy.observe_true_state(&truth);
        }
        self.notify_scheduler(scheduler, Event::Request(job));
    }

    fn notify_scheduler(&mut self, scheduler: u32, event: Event<'_>) {
        if !self.schedulers[scheduler as usize].is_up {
            return;
        }
        let mut actions = std::mem::take(&mut self.action_buffer);
        self.schedulers[scheduler as usize].policy.handle(self.now + CLOCK_OFFSET, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, worker, .. } => self.send_attempt(request.0, worker.0),
                Action::Reject { request, retry_after, .. } => {
                    self.respond(request.0, FinalResponse::Rejected(retry_after));
                }
                Action::Fail { request } => self.respond(request.0, FinalResponse::Failed),
                Action::Cancel { request, attempt } => {
                    let flow = self.scheduler_requests.get(&request.0);
                    let id = flow.and_then(|flow| flow.attempts.get(attempt as usize)).copied();
                    if let Some(id) = id {
                        // Not at once: the module is in the middle of an event.
                        self.schedule(self.now, SimulationEvent::AttemptEnded(id, Ended::Cancelled));
                    }
                }
                Action::StartTimer { after, timer } => {
                    // The world ends some time after its last client.
                    if self.now + after <= micros(self.scenario.seconds) + 60 * SECOND {
                        let life = self.schedulers[scheduler as usize].incarnation;
                        self.schedule(
                            self.now + after,
                            SimulationEvent::TimerExpired(scheduler, life, timer),
                        );
                    }
                }
                Action::Subscribe => self.subscribe(scheduler),
                Action::QueryLoad { worker } => self.send_load_query(scheduler, worker.0),
            }
        }
        self.action_buffer = actions;
    }

    /// A final answer leaves for the client: every one, as the referee counts them there.
    fn respond(&mut self, request: u64, answer: FinalResponse) {
        let Some(flow) = self.scheduler_requests.get_mut(&request) else { return };
        flow.is_answered = true;
        self.referee.said(RequestId(request));
        let zone = self.schedulers[flow.scheduler as usize].zone;
        let way = self.network_delay(zone, zone);
        self.schedule(self.now + way, SimulationEvent::ResponseArrived(request, answer));
        self.close_request(request);
    }

    fn send_attempt(&mut self, request: u64, worker: u32) {
        let Some(flow) = self.scheduler_requests.get_mut(&request) else { return };
        self.next_id += 1;
        let id = self.next_id;
        let (job, scheduler, moot) =
            (flow.client_request, flow.scheduler, flow.is_past_deadline || flow.is_answered);
        let number = flow.attempts.len() as u32;
        flow.attempts.push(id);
        flow.attempts_in_flight += 1;
        let attempt = Attempt {
            request,
            client_request: job,
            number,
            worker,
            sent_at: self.now,
            is_in_flight: true,
            is_at_worker: !moot,
            loses_response: false,
            is_cancelled: false,
        };
        self.attempts.insert(id, attempt);
        if moot {
            return self.schedule(self.now, SimulationEvent::AttemptEnded(id, Ended::Superseded));
        }
        let Some(asked) = self.client_requests.get_mut(&job) else { return };
        asked.open_references += 1;
        let load = asked.arrival.work * asked.arrival.slots;
        self.referee.sent(self.now, scheduler, worker, load);
        self.attempts_sent += 1;
        let (from, to) = (self.schedulers[scheduler as usize].zone, self.workers[worker as usize].1);
        self.cross_zone_attempts += u64::from(from != to);
        let way = self.network_delay(from, to) + self.connection_delay(scheduler, worker);
        self.schedule(self.now + way, SimulationEvent::AttemptArrived(id));
    }

    /// What a hand-over waits for its connection: nothing where one stands idle. It is taken until the
    /// worker has answered, reckoned at two ways.
    fn connection_delay(&mut self, scheduler: u32, worker: u32) -> Micros {
        let cost = micros(self.scenario.network.connect);
        if cost == 0 {
            return 0;
        }
        let (from, to) = (self.schedulers[scheduler as usize].zone, self.workers[worker as usize].1);
        let there_and_back = 2 * micros(self.scenario.network.between(from, to).0);
        let (now, idle) = (self.now, self.idle_connections.entry((scheduler, worker)).or_default());
        idle.retain(|&free| free + IDLE_CONNECTION_TIMEOUT > now);
        let kept = idle.iter().position(|&free| free <= now);
        if let Some(at) = kept {
            idle.swap_remove(at);
        }
        let wait = if kept.is_some() { 0 } else { cost };
        idle.push(now + wait + there_and_back);
        wait
    }

    /// An attempt's end reaches its scheduler, unless that no longer waits for it.
    fn end_attempt(&mut self, id: u64, outcome: Ended) {
        let Some(of) = self.attempts.get_mut(&id).filter(|of| of.is_in_flight) else { return };
        of.is_in_flight = false;
        let (request, number, worker, sent_at) = (of.request, of.number, of.worker, of.sent_at);
        if !of.is_at_worker {
            self.attempts.remove(&id);
        } else if matches!(outcome, Ended::Cancelled | Ended::TimedOut) && self.scenario.settings.cancel_stops
        {
            let from = self
                .scheduler_requests
                .get(&request)
                .map(|flow| self.schedulers[flow.scheduler as usize].zone);
            let to = self.workers[worker as usize].1;
            let way = self.network_delay(from.unwrap_or(to), to);
            self.schedule(self.now + way, SimulationEvent::CancellationArrived(id));
        }
        let Some(flow) = self.scheduler_requests.get_mut(&request) else { return };
        flow.attempts_in_flight -= 1;
        let scheduler = flow.scheduler;
        if outcome == Ended::Served && !flow.is_answered {
            self.respond(request, FinalResponse::Served);
        }
        let with_answers = self.scenario.reports.probe.is_none();
        let heard = with_answers && matches!(outcome, Ended::Served | Ended::Error | Ended::Rejected);
        let report = heard.then(|| {
            let refresh = micros(self.scenario.reports.refresh) + self.report_delay;
            let (noise, sigma) = (&mut self.report_noise, self.scenario.reports.noise);
            let draw = || Normal::new(0.0, sigma).map_or(0.0, |normal| normal.sample(noise));
            self.workers[worker as usize].0.load_report(self.now, refresh, draw)
        });
        let finished = self.scheduler_requests.get(&request).is_none_or(|flow| flow.is_answered);
        let end = AttemptOutcome {
            request: RequestId(request),
            attempt: number,
            outcome,
            request_finished: finished,
            elapsed: self.now - sent_at,
            report,
        };
        self.notify_scheduler(scheduler, Event::AttemptCompleted(end));
        self.close_request(request);
    }

    /// An attempt has left the worker, or never got there.
    fn remove_from_worker(&mut self, id: u64) {
        let Some(of) = self.attempts.get_mut(&id) else { return };
        of.is_at_worker = false;
        let job = of.client_request;
        if !of.is_in_flight {
            self.attempts.remove(&id);
        }
        self.release_client_request(job);
    }

    /// Word of an attempt goes back to its scheduler.
    fn report_outcome(&mut self, id: u64, outcome: Ended) {
        let Some(of) = self.attempts.get(&id).filter(|of| of.is_in_flight) else { return };
        let Some(flow) = self.scheduler_requests.get(&of.request) else { return };
        let (from, to) = (self.workers[of.worker as usize].1, self.schedulers[flow.scheduler as usize].zone);
        let (worker, request) = (of.worker, of.request);
        if outcome == Ended::Served {
            self.referee.made(RequestId(request));
        }
        let way = self.network_delay(from, to) + self.connection_faults[worker as usize].callback_delay;
        self.schedule(self.now + way, SimulationEvent::AttemptEnded(id, outcome));
    }

    // ---- Workers -------------------------------------------------------------------------------

    fn deliver_attempt(&mut self, id: u64) {
        let Some(of) = self.attempts.get(&id) else { return };
        if of.is_cancelled {
            return self.remove_from_worker(id);
        }
        let (job, worker) = (of.client_request, of.worker);
        let Some(asked) = self.client_requests.get(&job) else { return };
        let of_job = asked.arrival;
        let class = &self.scenario.classes[of_job.class as usize];
        let sent_at = of.sent_at;
        let effect = class.effect();
        let group = self.key_group(worker, effect);
        // A repeat of a keyed job is dropped in its group, and hears what becomes of the first.
        if let Idempotency::IdempotentWithKey { window, .. } = effect
            && self.workers[worker as usize].0.accepts_jobs()
            && let Some(repeat) = self
                .client_requests
                .get_mut(&job)
                .and_then(|of| of.keys.check_duplicate(id, group, self.now, window))
        {
            self.referee.took(self.now, job, id, effect, group, sent_at);
            if repeat == DuplicateOutcome::AlreadyServed {
                self.report_outcome(id, Ended::Served);
                self.remove_from_worker(id);
            }
            return;
        }
        match self.connection_faults[worker as usize].delivery_result(self.network_random.random()) {
            DeliveryResult::Delivered => {}
            DeliveryResult::ResetBeforeTaken | DeliveryResult::InvalidResponse => {
                self.report_outcome(id, Ended::Reset);
                return self.remove_from_worker(id);
            }
            DeliveryResult::ImmediateError => {
                // Nobody is told that it never ran: whoever sends it on must reckon with it.
                self.referee.took(self.now, job, id, effect, group, sent_at);
                self.referee.ran(self.now, job, effect);
                self.report_outcome(id, Ended::Error);
                return self.remove_from_worker(id);
            }
            DeliveryResult::ResetAfterTaken => {
                self.report_outcome(id, Ended::Reset);
                if let Some(of) = self.attempts.get_mut(&id) {
                    of.loses_response = true;
                }
            }
        }
        let offered = of_job.to_offered_job(id, class);
        let mut effects = Vec::new();
        match self.workers[worker as usize].0.offer(self.now, offered, &mut effects) {
            OfferResult::Accepted => {
                self.job_time.0 += 1;
                self.referee.took(self.now, job, id, effect, group, sent_at);
                if let Some(asked) = self
                    .client_requests
                    .get_mut(&job)
                    .filter(|_| matches!(effect, Idempotency::IdempotentWithKey { .. }))
                {
                    asked.keys.record_taken(id, group, self.now);
                }
                self.apply_worker_effects(worker, effects);
            }
            OfferResult::QueueFull => {
                self.report_outcome(id, Ended::Rejected);
                self.remove_from_worker(id);
            }
            OfferResult::ConnectionRefused => {
                self.report_outcome(id, Ended::ConnectFailed);
                self.remove_from_worker(id);
            }
            OfferResult::Unreachable => {
                self.schedule(self.now + CONNECT, SimulationEvent::AttemptEnded(id, Ended::ConnectFailed));
                self.remove_from_worker(id);
            }
        }
    }

    /// The group in which a worker drops repeats of a job's key.
    fn key_group(&self, worker: u32, effect: Idempotency) -> u32 {
        let Idempotency::IdempotentWithKey { scope, .. } = effect else { return 0 };
        key_group(scope, self.workers[worker as usize].1, self.cells[worker as usize])
    }

    /// An attempt that was given up stops at its worker, and its key is forgotten with it.
    fn cancel_at_worker(&mut self, id: u64) {
        let Some(of) = self.attempts.get_mut(&id).filter(|of| of.is_at_worker) else { return };
        let worker = of.worker;
        let mut effects = Vec::new();
        if !self.workers[worker as usize].0.cancel(self.now, id, &mut effects) {
            // It is still on its way, or a repeat that was dropped.
            of.is_cancelled = true;
            return;
        }
        self.job_time.0 -= 1;
        if let Some(asked) = self.client_requests.get_mut(&of.client_request) {
            asked.keys.record_returned(id);
        }
        self.resolve_duplicates(id, Ended::Error);
        self.remove_from_worker(id);
        self.apply_worker_effects(worker, effects);
    }

    fn apply_worker_effects(&mut self, worker: u32, effects: Vec<worker::WorkerEffect>) {
        for effect in effects {
            match effect {
                worker::WorkerEffect::Finished { attempt: id, .. } => {
                    self.answer_load_query(id, Ended::Served, 0)
                }
                worker::WorkerEffect::Lost(id) => self.answer_load_query(id, Ended::Reset, 0),
                worker::WorkerEffect::ReturnedUnstarted(id) => self.answer_load_query(id, Ended::Rejected, 0),
                _ => {}
            }
            match effect {
                worker::WorkerEffect::Started(id) => {
                    let Some(of) = self.attempts.get(&id) else { continue };
                    let (job, tells) = (of.client_request, of.is_in_flight && !of.loses_response);
                    let zone = self.workers[worker as usize].1;
                    let Some(asked) = self.client_requests.get(&job) else { continue };
                    let class = &self.scenario.classes[asked.arrival.class as usize];
                    let silent = self.workers[worker as usize].0.silent_class == Some(asked.arrival.class);
                    self.referee.ran(self.now, job, class.effect());
                    if tells && !silent {
                        let wire = self.connection_faults[worker as usize];
                        let way = self.network_delay(zone, zone) + wire.callback_delay;
                        for _ in 0..1 + u32::from(wire.duplicates_callbacks) {
                            self.schedule(self.now + way, SimulationEvent::AttemptStarted(id));
                        }
                        let every = micros(self.scenario.reports.progress);
                        if every > 0 {
                            self.schedule(self.now + every, SimulationEvent::ProgressDue(id));
                        }
                    }
                }
                worker::WorkerEffect::Finished { attempt, is_reported: told } => {
                    self.job_time.0 -= 1;
                    self.resolve_duplicates(attempt, Ended::Served);
                    if told && self.attempts.get(&attempt).is_some_and(|of| !of.loses_response) {
                        self.report_outcome(attempt, Ended::Served);
                    }
                    self.remove_from_worker(attempt);
                }
                worker::WorkerEffect::Lost(id) => {
                    self.job_time.0 -= 1;
                    self.resolve_duplicates(id, Ended::Reset);
                    self.report_outcome(id, Ended::Reset);
                    self.remove_from_worker(id);
                }
                worker::WorkerEffect::ReturnedUnstarted(id) => {
                    self.job_time.0 -= 1;
                    // The key is forgotten with it; a repeat that was dropped for it was so for nothing.
                    if let Some(job) = self.attempts.get(&id).map(|of| of.client_request) {
                        self.referee.handed_back(job, id);
                        if let Some(asked) = self.client_requests.get_mut(&job) {
                            asked.keys.record_returned(id);
                        }
                    }
                    self.resolve_duplicates(id, Ended::Error);
                    self.report_outcome(id, Ended::Rejected);
                    self.remove_from_worker(id);
                }
                worker::WorkerEffect::Overloaded => {
                    self.overload_count += 1;
                    self.publish_worker(worker);
                }
            }
        }
        let of = &self.workers[worker as usize].0;
        if let Some(next) = of.next_wake(self.now) {
            let epoch = of.wake_epoch;
            self.schedule(next, SimulationEvent::WorkerWake(worker, epoch));
        }
    }

    /// A worker tells how far a job is, and will tell again.
    fn report_progress(&mut self, id: u64) {
        let Some(of) = self.attempts.get(&id).filter(|of| of.is_in_flight) else { return };
        let (worker, request, number) = (of.worker, of.request, of.number);
        let Some(share) = self.workers[worker as usize].0.progress(self.now, id) else { return };
        let Some(scheduler) = self.scheduler_requests.get(&request).map(|flow| flow.scheduler) else {
            return;
        };
        // Without a way: the next word comes much later than this one.
        let progress = Progress::Done(share);
        self.notify_scheduler(
            scheduler,
            Event::AttemptProgress { request: RequestId(request), attempt: number, progress },
        );
        self.schedule(self.now + micros(self.scenario.reports.progress), SimulationEvent::ProgressDue(id));
    }

    /// The repeats that were dropped for an attempt hear what became of it.
    fn resolve_duplicates(&mut self, of: u64, outcome: Ended) {
        let Some(job) = self.attempts.get(&of).map(|of| of.client_request) else { return };
        let Some(asked) = self.client_requests.get_mut(&job) else { return };
        for id in asked.keys.record_end(outcome == Ended::Served) {
            self.report_outcome(id, outcome);
            self.remove_from_worker(id);
        }
    }

    // ---- Probes --------------------------------------------------------------------------------

    /// A scheduler asks a worker for its load; it hears once what came of it.
    fn send_load_query(&mut self, scheduler: u32, worker: u32) {
        self.next_id += 1;
        let (id, life) = (self.next_id, self.schedulers[scheduler as usize].incarnation);
        self.load_queries.insert(id, PendingLoadQuery { scheduler, incarnation: life, worker });
        let known = self.scenario.reports.probe.filter(|_| (worker as usize) < self.workers.len());
        let Some(of) = known else {
            return self.schedule(self.now, SimulationEvent::LoadQueryEnded(id, Ended::Superseded, None));
        };
        self.load_queries_sent += 1;
        let (from, to) = (self.schedulers[scheduler as usize].zone, self.workers[worker as usize].1);
        let way = self.network_delay(from, to) + self.connection_delay(scheduler, worker);
        self.schedule(self.now + way, SimulationEvent::LoadQueryArrived(id));
        self.schedule(
            self.now + micros(of.timeout),
            SimulationEvent::LoadQueryEnded(id, Ended::TimedOut, None),
        );
    }

    fn deliver_load_query(&mut self, id: u64) {
        let Some(&PendingLoadQuery { worker, .. }) = self.load_queries.get(&id) else { return };
        let Some(probe) = self.scenario.reports.probe else { return };
        let cut = self.connection_faults[worker as usize].delivery_result(self.network_random.random());
        let of = &mut self.workers[worker as usize].0;
        match (of.process, cut) {
            // Nothing answers: its scheduler waits until its time is over.
            (worker::ProcessState::Unreachable, _) => return,
            (worker::ProcessState::Stopped, _) => return self.answer_load_query(id, Ended::ConnectFailed, 0),
            _ if of.is_refusing => return self.answer_load_query(id, Ended::ConnectFailed, 0),
            (worker::ProcessState::Draining, _) => return self.answer_load_query(id, Ended::Rejected, 0),
            (_, DeliveryResult::Delivered) => {}
            (_, DeliveryResult::ImmediateError) => return self.answer_load_query(id, Ended::Error, 0),
            (
                _,
                DeliveryResult::ResetBeforeTaken
                | DeliveryResult::ResetAfterTaken
                | DeliveryResult::InvalidResponse,
            ) => return self.answer_load_query(id, Ended::Reset, 0),
        }
        if !probe.deep {
            let took = micros(probe.work / of.spec.speed);
            of.charge_side_work(self.now, probe.work);
            self.answer_load_query(id, Ended::Served, took);
            return self.apply_worker_effects(worker, Vec::new());
        }
        let offered = OfferedJob::load_query(id, probe.work);
        let mut effects = Vec::new();
        match of.offer(self.now, offered, &mut effects) {
            OfferResult::Accepted => {
                self.job_time.0 += 1;
                self.apply_worker_effects(worker, effects);
            }
            OfferResult::QueueFull => self.answer_load_query(id, Ended::Rejected, 0),
            OfferResult::ConnectionRefused | OfferResult::Unreachable => {
                self.answer_load_query(id, Ended::ConnectFailed, 0)
            }
        }
    }

    /// Word of a probe goes back, if its scheduler still waits for it; other ids are none of a probe.
    fn answer_load_query(&mut self, id: u64, outcome: Ended, after: Micros) {
        let Some(&PendingLoadQuery { scheduler, worker, .. }) = self.load_queries.get(&id) else { return };
        let Some(probe) = self.scenario.reports.probe else { return };
        let of = &mut self.workers[worker as usize];
        let served = outcome == Ended::Served;
        let report =
            of.0.answer_load_query(self.now, micros(probe.late) + self.report_delay).filter(|_| served);
        let (from, to) = (of.1, self.schedulers[scheduler as usize].zone);
        let way = self.network_delay(from, to) + after;
        self.schedule(self.now + way, SimulationEvent::LoadQueryEnded(id, outcome, report));
    }

    fn refresh_load_report(&mut self, worker: u32) {
        let reports = &self.scenario.reports;
        let (every, now) = (micros(reports.refresh), self.now);
        let (noise, sigma) = (&mut self.report_noise, reports.noise);
        let draw = || Normal::new(0.0, sigma).map_or(0.0, |normal| normal.sample(noise));
        self.workers[worker as usize].0.refresh_load_report(now, every, draw);
        if now <= micros(self.scenario.seconds) + 60 * SECOND {
            self.schedule(now + every, SimulationEvent::ReportRefreshDue(worker));
        }
    }

    // ---- Faults --------------------------------------------------------------------------------

    fn apply_fault_transition(&mut self, turn: FaultTransition) {
        let what = self.scenario.faults[turn.fault].what;
        let (begins, worker) = (turn.is_start, turn.target.unwrap_or_default());
        let mut effects = Vec::new();
        let now = self.now;
        match what {
            Trouble::Burst(_) | Trouble::Ramp(_) | Trouble::HeavyTail(_) => return,
            Trouble::ReportsLate(by) => {
                self.report_delay = if begins { micros(by) } else { 0 };
                return;
            }
            Trouble::DiscoveryDown | Trouble::DiscoveryMoves => {
                if begins {
                    self.end_subscriptions();
                }
                self.discovery_outages =
                    if begins { self.discovery_outages + 1 } else { self.discovery_outages - 1 };
                if self.discovery_outages == 0 && what == Trouble::DiscoveryMoves {
                    self.unpublished.clear();
                    return self.publish_full_list(Arc::new(self.endpoint_list()));
                }
                if self.discovery_outages == 0 {
                    // The whole list as it is by then, as a watch that begins anew is answered.
                    let changed = std::mem::take(&mut self.unpublished);
                    let now: Vec<_> = changed.iter().map(|entry| self.endpoint(entry.worker.0)).collect();
                    self.publish_changes(&Arc::new(now));
                }
                return;
            }
            Trouble::DiscoveryContradicts => {
                self.stale_list = begins.then(|| Arc::new(self.endpoint_list()));
                if begins {
                    return self.alternate_lists(true);
                }
                // Whatever was told last, the truth has the last word.
                return self.publish_full_list(Arc::new(self.endpoint_list()));
            }
            Trouble::SchedulerCrash if begins => return self.stop_scheduler(worker, false),
            Trouble::SchedulerCrash => return self.start_scheduler(worker),
            Trouble::SchedulerRestart if begins => {
                self.schedulers[worker as usize].accepts_requests = false;
                return;
            }
            Trouble::SchedulerRestart => {
                self.stop_scheduler(worker, true);
                return self.start_scheduler(worker);
            }
            _ => {}
        }
        if self.connection_faults[worker as usize].apply_fault(what, begins) {
            return;
        }
        let of = &mut self.workers[worker as usize].0;
        let held = of.job_count() as u64;
        let started = of.apply_fault(now, what, begins, &mut effects);
        if what == Trouble::Vanish && begins {
            self.job_time.0 -= held;
        }
        if started {
            let build = self.workers[worker as usize].0.spec;
            self.referee.started(now, worker, build.cores.min(build.slots) * build.speed);
        }
        self.apply_worker_effects(worker, effects);
        if matches!(what, Trouble::Crash | Trouble::Vanish | Trouble::Drain) {
            self.publish_worker(worker);
        }
    }

    /// While the list contradicts itself, all are told the old one and the true one in turns.
    fn alternate_lists(&mut self, old: bool) {
        let Some(stale) = self.stale_list.clone() else { return };
        let now = Arc::new(self.endpoint_list());
        self.publish_full_list(if old { stale } else { now });
        self.schedule(self.now + LIST_ALTERNATION_INTERVAL, SimulationEvent::AlternateListDue(!old));
    }

    fn publish_full_list(&mut self, list: Arc<Vec<Endpoint>>) {
        let after = self.now + micros(self.scenario.discovery.delay);
        for scheduler in 0..self.schedulers.len() as u32 {
            self.schedule(
                after,
                SimulationEvent::EndpointsDelivered(scheduler, EndpointUpdateKind::Full, Arc::clone(&list)),
            );
        }
    }

    /// A process ends with all that it took: its clients see their connections break. Where it was told
    /// to end before, they should all have been answered, and it breaks a rule that they are not.
    fn stop_scheduler(&mut self, scheduler: u32, told: bool) {
        let of = &mut self.schedulers[scheduler as usize];
        (of.is_up, of.incarnation, of.is_subscribed) =
            (false, of.incarnation + 1, !self.scenario.discovery.on_request);
        let mut flows: Vec<u64> = self
            .scheduler_requests
            .iter()
            .filter(|(_, flow)| flow.scheduler == scheduler)
            .map(|(id, _)| *id)
            .collect();
        // In the order in which they came, as the map's own is not the same in each run.
        flows.sort_unstable();
        for request in flows {
            let Some(flow) = self.scheduler_requests.get_mut(&request) else { continue };
            let (open, job) = (!std::mem::replace(&mut flow.is_answered, true), flow.client_request);
            flow.attempts_in_flight = 0;
            for id in flow.attempts.clone() {
                let Some(of) = self.attempts.get_mut(&id) else { continue };
                of.is_in_flight = false;
                if !of.is_at_worker {
                    self.attempts.remove(&id);
                }
            }
            if open && told {
                // Its client gives up with no answer, and the referee says so.
                continue;
            }
            if open {
                self.referee.answered(self.now, RequestId(request), Heard::Broken);
                if self.client_requests.get(&job).is_some_and(|asked| !asked.is_finished) {
                    self.finish_client_request(job, End::Failed);
                }
            }
            self.close_request(request);
        }
    }

    fn start_scheduler(&mut self, scheduler: u32) {
        let own = self.seed.wrapping_add(u64::from(scheduler) * 7919).wrapping_add(1);
        let settings = self.scenario.settings(scheduler);
        let of = &mut self.schedulers[scheduler as usize];
        match self.policy_kind.build(settings, own, random_stream(own, StreamPurpose::Network)) {
            Ok(policy) => {
                (of.policy, of.is_up, of.accepts_requests, of.list_version) = (policy, true, true, 0)
            }
            // The same settings were taken at the start.
            Err(_) => unreachable!("settings that were taken before"),
        }
        let list = Arc::new(self.endpoint_list());
        let after = if self.discovery_outages > 0 { micros(self.scenario.discovery.delay) } else { 0 };
        let kind = if self.scenario.discovery.on_request {
            EndpointUpdateKind::Cached
        } else {
            EndpointUpdateKind::Full
        };
        self.schedule(self.now + after, SimulationEvent::EndpointsDelivered(scheduler, kind, list));
    }

    fn outcome(self, kind: PolicyKind, seed: u64) -> Outcome {
        Played {
            scenario: self.scenario,
            policy: kind.name(),
            seed,
            events: self.events_handled,
            tally: &self.tally,
            workers: &self.workers,
            kinds: &self.kinds,
            attempts: self.attempts_sent,
            crossed: self.cross_zone_attempts,
            probes: self.load_queries_sent,
            fell: self.overload_count,
            held: self.job_time.1,
            verdict: self.referee.verdict(),
            measured: None,
        }
        .outcome()
    }
}

#[cfg(test)]
#[path = "../tests/unit/simulation.rs"]
mod tests;
