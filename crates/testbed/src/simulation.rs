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
use crate::outcome::{JobOutcome, OutcomeCounter, RunOutcome, RunRecord};
use crate::policy::{Policy, PolicyKind};
use crate::rule_checker::{ClientResponse, RuleChecker};
use crate::scenario::{CONNECT_TIMEOUT, FaultKind, Scenario, ZoneLinkQuality, micros_from_seconds};

/// The node's margin before the client gives up.
const MARGIN: Micros = 50_000;
/// An idle connection is closed after so long.
const KEEPALIVE: Micros = 5 * SECOND;
/// A call to a discovery that is down fails after so long.
const NO_LIST: Micros = SECOND;
/// What a lost message costs.
const RESENT: Micros = 200_000;
/// How long a list that contradicts itself stays before the other one comes.
const TURNS: Micros = 3 * SECOND;
/// Starts that are told lie this far from zero, so that ages can be subtracted.
const EPOCH: Micros = 1_000 * SECOND;

/// What happens next.
enum Ev {
    Arrive(Arrival),
    Retry(u64),
    Ask(u64),
    AtWorker(u64),
    Wake(u32, u64),
    Outcome(u64, Ended),
    Started(u64),
    Progress(u64),
    /// For a scheduler in its so many-th life.
    Timer(u32, u32, Timer),
    Told(u32, EndpointUpdateKind, Arc<Vec<Endpoint>>),
    Overdue(u64),
    Answer(u64, Final),
    GiveUp(u64),
    Turn(FaultTransition),
    Contradict(bool),
    /// The list's sizes are renewed.
    Sizes,
    /// An attempt that its scheduler gave up is to stop at its worker.
    Stop(u64),
    /// A probe is at its worker.
    ProbeThere(u64),
    /// What came of a probe is at its scheduler.
    ProbeEnds(u64, Ended, Option<LoadReport>),
    /// A worker's figures for probes are refreshed.
    Refresh(u32),
}

/// A final answer on its way.
#[derive(Clone, Copy, PartialEq)]
enum Final {
    Served,
    Refused(Micros),
    Failed,
}

struct Timed(Micros, u64, Ev);

impl PartialEq for Timed {
    fn eq(&self, other: &Timed) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Timed) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Timed) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A client's job, over all its tries.
struct Asked {
    of: Arrival,
    gives_up: Micros,
    retries: u32,
    ended: bool,
    /// Requests and attempts that still know of it.
    open: u32,
    keys: KeyHistory,
}

/// A request at a scheduler.
struct Flow {
    job: u64,
    scheduler: u32,
    deadline: Micros,
    attempts: Vec<u64>,
    out: u32,
    answered: bool,
    late: bool,
    client_over: bool,
}

struct Attempt {
    request: u64,
    job: u64,
    number: u32,
    worker: u32,
    sent_at: Micros,
    /// The scheduler waits for it.
    out: bool,
    /// It is at a worker, or on the way there.
    there: bool,
    /// Its connection breaks after the job was taken.
    breaks: bool,
    /// It is to stop at its worker, which it may not have reached.
    stops: bool,
}

/// A probe that its scheduler waits for.
#[derive(Clone, Copy)]
struct Probing {
    scheduler: u32,
    life: u32,
    worker: u32,
}

struct Scheduler {
    policy: Box<dyn Policy>,
    zone: u32,
    version: u64,
    up: bool,
    /// Clients reach it: it has not been told to end.
    takes: bool,
    /// How often its process died.
    life: u32,
    /// Changes of the list are told to it.
    subscribed: bool,
}

/// Plays a scenario under a policy and a seed.
///
/// # Errors
/// Settings that the policy does not take.
pub fn simulate(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Result<RunOutcome, String> {
    let mut sim = Sim::new(scenario, kind, seed)?;
    while let Some(Reverse(Timed(at, _, event))) = sim.heap.pop() {
        sim.hold(at);
        sim.events += 1;
        sim.happen(event);
    }
    Ok(sim.outcome(kind, seed))
}

struct Sim<'a> {
    scenario: &'a Scenario,
    now: Micros,
    number: u64,
    heap: BinaryHeap<Reverse<Timed>>,
    arrivals: Arrivals<'a>,
    network: RandomStream,
    retries: RandomStream,
    noise: RandomStream,
    workers: Vec<(Worker, u32)>,
    kinds: Vec<u32>,
    cells: Vec<u32>,
    schedulers: Vec<Scheduler>,
    jobs: FxHashMap<u64, Asked>,
    flows: FxHashMap<u64, Flow>,
    attempts: FxHashMap<u64, Attempt>,
    probes: FxHashMap<u64, Probing>,
    next_id: u64,
    /// What the list will tell once discovery is back.
    untold: Vec<Endpoint>,
    discovery_down: u32,
    /// The sizes that were last renewed, by worker.
    sizes: Vec<f64>,
    reports_late: Micros,
    wires: Vec<ConnectionFaults>,
    /// From when on each connection stands idle, by scheduler and worker.
    connections: FxHashMap<(u32, u32), Vec<Micros>>,
    /// The whole list as it was when it began to contradict itself.
    contradicted: Option<Arc<Vec<Endpoint>>>,
    kind: PolicyKind,
    seed: u64,
    actions: Vec<Action>,
    referee: RuleChecker,
    tally: OutcomeCounter,
    events: u64,
    attempts_sent: u64,
    crossed: u64,
    probed: u64,
    fell: u64,
    held: (u64, f64),
}

impl<'a> Sim<'a> {
    fn new(scenario: &'a Scenario, kind: PolicyKind, seed: u64) -> Result<Sim<'a>, String> {
        let mut fleet = Fleet::generate(scenario, seed);
        let mut schedulers = Vec::new();
        let subscribed = !scenario.discovery.polled;
        for number in 0..scenario.schedulers {
            let own = seed.wrapping_add(u64::from(number) * 7919);
            let policy =
                kind.build(scenario.settings(number), own, random_stream(own, StreamPurpose::Network))?;
            let zone = number % scenario.zones;
            schedulers.push(Scheduler {
                policy,
                zone,
                version: 0,
                up: true,
                takes: true,
                life: 0,
                subscribed,
            });
        }
        let mut sim = Sim {
            scenario,
            now: 0,
            number: 0,
            heap: BinaryHeap::new(),
            arrivals: Arrivals::new(scenario, seed),
            network: random_stream(seed, StreamPurpose::Network),
            retries: random_stream(seed, StreamPurpose::Retries),
            noise: random_stream(seed, StreamPurpose::Reports),
            workers: std::mem::take(&mut fleet.workers),
            kinds: std::mem::take(&mut fleet.kinds),
            cells: std::mem::take(&mut fleet.cells),
            schedulers,
            jobs: FxHashMap::default(),
            flows: FxHashMap::default(),
            attempts: FxHashMap::default(),
            probes: FxHashMap::default(),
            next_id: 0,
            untold: Vec::new(),
            discovery_down: 0,
            sizes: Vec::new(),
            reports_late: 0,
            wires: vec![
                ConnectionFaults::default();
                scenario.workers.iter().map(|of| of.count as usize).sum()
            ],
            connections: FxHashMap::default(),
            contradicted: None,
            kind,
            seed,
            actions: Vec::new(),
            referee: RuleChecker::new(slow_start_budget(scenario)),
            tally: OutcomeCounter::new(scenario.classes.len(), scenario.zones),
            events: 0,
            attempts_sent: 0,
            crossed: 0,
            probed: 0,
            fell: 0,
            held: (0, 0.0),
        };
        sim.begin(&fleet.missing_workers, &fleet.fault_transitions);
        Ok(sim)
    }

    fn begin(&mut self, gone: &[u32], turns: &[FaultTransition]) {
        let entries = self.list();
        // The list of before the start names some that are not there.
        let mut remembered = entries.clone();
        gone.iter().for_each(|&at| remembered[at as usize].state = WorkerState::Ready);
        let first = micros_from_seconds(self.scenario.discovery.first_list_after_s);
        let (remembered, full) = (Arc::new(remembered), Arc::new(entries));
        for scheduler in 0..self.schedulers.len() as u32 {
            // Who must ask for the list hears at its start what it knows from before.
            if first > 0 || self.scenario.discovery.polled {
                self.at(0, Ev::Told(scheduler, EndpointUpdateKind::Cached, Arc::clone(&remembered)));
            }
            if !self.scenario.discovery.polled {
                self.at(first, Ev::Told(scheduler, EndpointUpdateKind::Full, Arc::clone(&full)));
            }
        }
        for turn in turns {
            self.at(turn.at, Ev::Turn(*turn));
        }
        if self.scenario.discovery.size_interval_s > 0.0 {
            self.at(micros_from_seconds(self.scenario.discovery.size_interval_s), Ev::Sizes);
        }
        if self.scenario.load_reports.load_query.is_some() {
            let (every, all) = (
                micros_from_seconds(self.scenario.load_reports.refresh_interval_s),
                self.workers.len() as u64,
            );
            (0..all).for_each(|at| self.at(every * at / all, Ev::Refresh(at as u32)));
        }
        if let Some(arrival) = self.arrivals.next() {
            self.at(arrival.at, Ev::Arrive(arrival));
        }
    }

    fn at(&mut self, at: Micros, event: Ev) {
        self.number += 1;
        self.heap.push(Reverse(Timed(at.max(self.now), self.number, event)));
    }

    /// Time goes on; what the workers hold meanwhile is added up.
    fn hold(&mut self, at: Micros) {
        self.held.1 += self.held.0 as f64 * (at - self.now) as f64;
        self.now = at;
    }

    /// A message's way between two zones.
    fn way(&mut self, from: u32, to: u32) -> Micros {
        let ZoneLinkQuality { delay_s: mean, loss } = self.scenario.network.link_between(from, to);
        let jitter: f64 = Exp1.sample(&mut self.network);
        let lost = self.network.random::<f64>() < loss;
        micros_from_seconds(mean * (0.9 + 0.1 * jitter)) + if lost { RESENT } else { 0 }
    }

    fn entry(&self, at: u32) -> Endpoint {
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
            started_at: worker.started_at.map(|at| at + EPOCH),
            size: (self.scenario.discovery.size_interval_s > 0.0).then(|| self.size(at)),
            hash_key: at.into(),
        }
    }

    /// The whole list as it is now.
    fn list(&self) -> Vec<Endpoint> {
        (0..self.workers.len() as u32).map(|at| self.entry(at)).collect()
    }

    /// What a list tells of a worker's size: its kind's, divided by 1 and the jobs that it holds a core.
    fn size(&self, at: u32) -> f64 {
        let of = &self.scenario.workers[self.kinds[at as usize] as usize];
        let idle = of.cores * (of.speed[0] + of.speed[1]) / 2.0;
        idle / (1.0 + self.workers[at as usize].0.job_count() as f64 / of.cores)
    }

    /// All who take work and whose size is another than when it was last told are listed anew.
    fn renew_sizes(&mut self) {
        let now: Vec<f64> = (0..self.workers.len() as u32).map(|at| self.size(at)).collect();
        let told = std::mem::replace(&mut self.sizes, now);
        let changed = (0..self.workers.len() as u32).filter(|&at| {
            let (size, takes) =
                (self.sizes[at as usize], self.workers[at as usize].0.process == worker::ProcessState::Up);
            takes && told.get(at as usize).is_none_or(|&old| old != size)
        });
        let entries: Vec<_> = changed.map(|at| self.entry(at)).collect();
        if self.discovery_down == 0 && self.contradicted.is_none() {
            self.tell_all(&Arc::new(entries));
        }
        let next = self.now + micros_from_seconds(self.scenario.discovery.size_interval_s);
        if next < micros_from_seconds(self.scenario.duration_s) {
            self.at(next, Ev::Sizes);
        }
    }

    /// The list changes, and schedulers will be told.
    fn changed(&mut self, worker: u32) {
        let entry = self.entry(worker);
        if self.discovery_down > 0 {
            self.untold.push(entry);
            return;
        }
        let entries = Arc::new(vec![entry]);
        self.tell_all(&entries);
    }

    /// A scheduler asks for the list and its changes: it gets the whole one, and from then on what is new.
    fn subscribe(&mut self, scheduler: u32) {
        if !self.scenario.discovery.polled {
            return;
        }
        if self.discovery_down > 0 {
            return self
                .at(self.now + NO_LIST, Ev::Told(scheduler, EndpointUpdateKind::Failed, Arc::default()));
        }
        self.schedulers[scheduler as usize].subscribed = true;
        let zone = self.schedulers[scheduler as usize].zone;
        let way = self.way(zone, zone) + self.way(zone, zone);
        let first = micros_from_seconds(self.scenario.discovery.first_list_after_s);
        let list = Arc::new(self.list());
        self.at((self.now + way).max(first), Ev::Told(scheduler, EndpointUpdateKind::Full, list));
    }

    /// Discovery goes down: who watches it sees the call break.
    fn watches_end(&mut self) {
        if !self.scenario.discovery.polled {
            return;
        }
        for scheduler in 0..self.schedulers.len() as u32 {
            if std::mem::replace(&mut self.schedulers[scheduler as usize].subscribed, false) {
                self.at(self.now, Ev::Told(scheduler, EndpointUpdateKind::Failed, Arc::default()));
            }
        }
    }

    fn tell_all(&mut self, entries: &Arc<Vec<Endpoint>>) {
        let after = self.now + micros_from_seconds(self.scenario.discovery.delay_s);
        // The first list goes before any change.
        let after = after.max(micros_from_seconds(self.scenario.discovery.first_list_after_s) + 1);
        for scheduler in 0..self.schedulers.len() as u32 {
            self.at(after, Ev::Told(scheduler, EndpointUpdateKind::Changes, Arc::clone(entries)));
        }
    }

    fn happen(&mut self, event: Ev) {
        match event {
            Ev::Arrive(arrival) => {
                if let Some(next) = self.arrivals.next() {
                    self.at(next.at, Ev::Arrive(next));
                }
                self.next_id += 1;
                let gives_up = arrival.at
                    + micros_from_seconds(self.scenario.classes[arrival.class as usize].deadline_s);
                let retries = self.scenario.clients.max_retries;
                let job = self.next_id;
                let (ended, keys) = (false, KeyHistory::default());
                let asked = Asked { of: arrival, gives_up, retries, ended, open: 0, keys };
                self.jobs.insert(job, asked);
                self.try_once(job);
            }
            Ev::Retry(job) => {
                if self.jobs.get(&job).is_some_and(|asked| !asked.ended) {
                    self.try_once(job);
                }
            }
            Ev::Ask(request) => self.ask(request),
            Ev::AtWorker(attempt) => self.at_worker(attempt),
            Ev::Wake(worker, epoch) => {
                if self.workers[worker as usize].0.wake_epoch == epoch {
                    let mut effects = Vec::new();
                    self.workers[worker as usize].0.advance(self.now, &mut effects);
                    self.effects(worker, effects);
                }
            }
            Ev::Outcome(attempt, outcome) => self.end_attempt(attempt, outcome),
            Ev::Started(attempt) => {
                let Some(of) = self.attempts.get(&attempt).filter(|of| of.out) else { return };
                let (request, number) = (of.request, of.number);
                let Some(scheduler) = self.flows.get(&request).map(|flow| flow.scheduler) else { return };
                let progress = Progress::Started;
                self.tell(
                    scheduler,
                    Event::AttemptProgress { request: RequestId(request), attempt: number, progress },
                );
            }
            Ev::Progress(attempt) => self.progress(attempt),
            Ev::Timer(scheduler, life, timer) => {
                if self.schedulers[scheduler as usize].life == life {
                    self.tell(scheduler, Event::TimerExpired(timer));
                }
            }
            Ev::Stop(attempt) => self.stop(attempt),
            Ev::ProbeThere(id) => self.probe_there(id),
            Ev::ProbeEnds(id, outcome, report) => {
                let Some(of) = self.probes.remove(&id) else { return };
                if self.schedulers[of.scheduler as usize].life == of.life {
                    let worker = WorkerId(of.worker);
                    self.tell(of.scheduler, Event::LoadQueryCompleted { worker, outcome, report });
                }
            }
            Ev::Refresh(worker) => self.refresh(worker),
            Ev::Contradict(old) => self.contradict(old),
            Ev::Sizes => self.renew_sizes(),
            Ev::Told(scheduler, kind, entries) => {
                let of = &self.schedulers[scheduler as usize];
                let unasked = matches!(kind, EndpointUpdateKind::Cached | EndpointUpdateKind::Failed);
                if !of.up || !(unasked || of.subscribed) {
                    return;
                }
                for entry in entries.iter() {
                    let takes = entry.state == WorkerState::Ready;
                    self.referee.availability_notified(self.now, scheduler, entry.worker.0, takes);
                }
                let of = &mut self.schedulers[scheduler as usize];
                of.version += 1;
                let version = of.version;
                self.tell(scheduler, Event::Endpoints(EndpointUpdate { kind, version, endpoints: &entries }));
            }
            Ev::Overdue(request) => {
                let Some(flow) = self.flows.get_mut(&request) else { return };
                flow.late = true;
                for attempt in flow.attempts.clone() {
                    self.end_attempt(attempt, Ended::TimedOut);
                }
            }
            Ev::Answer(request, answer) => self.answer(request, answer),
            Ev::GiveUp(request) => self.give_up(request),
            Ev::Turn(turn) => self.fault(turn),
        }
    }

    // ---- Clients -------------------------------------------------------------------------------

    /// The scheduler that clients reach who want one: it, or the next of its zone that is up, or of any.
    fn front(&self, wanted: u32) -> u32 {
        let (all, zones) = (self.schedulers.len() as u32, self.scenario.zones);
        let after = || (0..all).map(|step| (wanted + step) % all);
        let up = |at: &u32| self.schedulers[*at as usize].up && self.schedulers[*at as usize].takes;
        let near = after().filter(up).find(|at| at % zones == wanted % zones);
        near.or_else(|| after().find(up)).unwrap_or(wanted)
    }

    fn try_once(&mut self, job: u64) {
        let Some(asked) = self.jobs.get_mut(&job) else { return };
        asked.open += 1;
        let (gives_up, wanted) = (asked.gives_up, asked.of.scheduler);
        let scheduler = self.front(wanted);
        self.next_id += 1;
        let request = self.next_id;
        let zone = self.schedulers[scheduler as usize].zone;
        let left = gives_up.saturating_sub(self.now);
        let deadline = gives_up - MARGIN.min(left / 4);
        let flow = Flow {
            job,
            scheduler,
            deadline,
            attempts: Vec::new(),
            out: 0,
            answered: false,
            late: false,
            client_over: false,
        };
        self.flows.insert(request, flow);
        self.referee.request_sent(RequestId(request), gives_up);
        let way = self.way(zone, zone);
        self.at(self.now + way, Ev::Ask(request));
        self.at(gives_up + micros_from_seconds(self.scenario.clients.deadline_grace_s), Ev::GiveUp(request));
    }

    fn answer(&mut self, request: u64, answer: Final) {
        let heard = match answer {
            Final::Served => ClientResponse::Served,
            Final::Refused(_) | Final::Failed => ClientResponse::Unserved,
        };
        self.referee.response_received(self.now, RequestId(request), heard);
        let Some(job) = self.flows.get(&request).map(|flow| flow.job) else { return };
        let Some(asked) = self.jobs.get_mut(&job).filter(|asked| !asked.ended) else { return };
        let took = self.now - asked.of.at;
        match answer {
            Final::Served => {
                let class = &self.scenario.classes[asked.of.class as usize];
                let wanted =
                    micros_from_seconds(class.latency_objective_s + class.latency_stretch * asked.of.work);
                self.end_job(job, if took <= wanted { JobOutcome::InTime } else { JobOutcome::Late });
            }
            Final::Failed => self.end_job(job, JobOutcome::Failed),
            Final::Refused(after) => {
                let clients = &self.scenario.clients;
                let wait =
                    clients.retry_timing.delay(after, clients.max_retry_after_s, self.retries.random());
                if asked.retries == 0 || self.now + wait + MARGIN >= asked.gives_up {
                    return self.end_job(job, JobOutcome::Rejected);
                }
                asked.retries -= 1;
                self.at(self.now + wait, Ev::Retry(job));
            }
        }
    }

    fn give_up(&mut self, request: u64) {
        self.referee.deadline_passed(self.now, RequestId(request));
        let Some(flow) = self.flows.get_mut(&request) else { return };
        flow.client_over = true;
        let (job, scheduler, open) = (flow.job, flow.scheduler, !flow.answered);
        if open {
            flow.answered = true;
            self.tell(scheduler, Event::ClientDisconnected(RequestId(request)));
        }
        if self.jobs.get(&job).is_some_and(|asked| !asked.ended) {
            self.end_job(job, JobOutcome::Unanswered);
        }
        self.close(request);
    }

    fn end_job(&mut self, job: u64, end: JobOutcome) {
        let Some(asked) = self.jobs.get_mut(&job) else { return };
        asked.ended = true;
        let class = &self.scenario.classes[asked.of.class as usize];
        self.tally.record_job(&asked.of, class, self.now - asked.of.at, end);
    }

    /// Lets go of a request that nobody waits for any more.
    fn close(&mut self, request: u64) {
        let Some(flow) = self.flows.get(&request) else { return };
        if flow.client_over && flow.answered && flow.out == 0 {
            let job = flow.job;
            self.flows.remove(&request);
            self.referee.request_finished(RequestId(request));
            self.forget(job);
        }
    }

    fn forget(&mut self, job: u64) {
        let Some(asked) = self.jobs.get_mut(&job) else { return };
        asked.open -= 1;
        if asked.open == 0 && asked.ended {
            self.jobs.remove(&job);
            self.referee.job_finished(job);
        }
    }

    // ---- Schedulers ----------------------------------------------------------------------------

    fn ask(&mut self, request: u64) {
        let Some(flow) = self.flows.get_mut(&request).filter(|flow| !flow.answered) else { return };
        let (scheduler, deadline, job) = (flow.scheduler, flow.deadline, flow.job);
        if !self.schedulers[scheduler as usize].up {
            // Refused by every scheduler there is.
            flow.answered = true;
            self.referee.response_received(self.now, RequestId(request), ClientResponse::ConnectionBroken);
            if self.jobs.get(&job).is_some_and(|asked| !asked.ended) {
                self.end_job(job, JobOutcome::Failed);
            }
            return self.close(request);
        }
        let Some(asked) = self.jobs.get(&flow.job) else { return };
        let job = IncomingRequest {
            request: RequestId(request),
            class: asked.of.class,
            tenant: 0,
            slots: Some(asked.of.slots),
            cost_hint: asked.of.cost_hint,
            time_left: deadline.saturating_sub(self.now),
        };
        self.at(deadline, Ev::Overdue(request));
        if self.schedulers[scheduler as usize].policy.needs_true_state() {
            let truth: Vec<TrueState> =
                self.workers.iter().map(|(worker, _)| worker.true_state(self.now)).collect();
            self.schedulers[scheduler as usize].policy.observe_true_state(&truth);
        }
        self.tell(scheduler, Event::Request(job));
    }

    fn tell(&mut self, scheduler: u32, event: Event<'_>) {
        if !self.schedulers[scheduler as usize].up {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        self.schedulers[scheduler as usize].policy.handle(self.now + EPOCH, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, worker, .. } => self.send(request.0, worker.0),
                Action::Reject { request, retry_after, .. } => {
                    self.say(request.0, Final::Refused(retry_after));
                }
                Action::Fail { request } => self.say(request.0, Final::Failed),
                Action::Cancel { request, attempt } => {
                    let flow = self.flows.get(&request.0);
                    let id = flow.and_then(|flow| flow.attempts.get(attempt as usize)).copied();
                    if let Some(id) = id {
                        // Not at once: the module is in the middle of an event.
                        self.at(self.now, Ev::Outcome(id, Ended::Cancelled));
                    }
                }
                Action::StartTimer { after, timer } => {
                    // The world ends some time after its last client.
                    if self.now + after <= micros_from_seconds(self.scenario.duration_s) + 60 * SECOND {
                        let life = self.schedulers[scheduler as usize].life;
                        self.at(self.now + after, Ev::Timer(scheduler, life, timer));
                    }
                }
                Action::Subscribe => self.subscribe(scheduler),
                Action::QueryLoad { worker } => self.probe(scheduler, worker.0),
            }
        }
        self.actions = actions;
    }

    /// A final answer leaves for the client: every one, as the referee counts them there.
    fn say(&mut self, request: u64, answer: Final) {
        let Some(flow) = self.flows.get_mut(&request) else { return };
        flow.answered = true;
        self.referee.response_sent(RequestId(request));
        let zone = self.schedulers[flow.scheduler as usize].zone;
        let way = self.way(zone, zone);
        self.at(self.now + way, Ev::Answer(request, answer));
        self.close(request);
    }

    fn send(&mut self, request: u64, worker: u32) {
        let Some(flow) = self.flows.get_mut(&request) else { return };
        self.next_id += 1;
        let id = self.next_id;
        let (job, scheduler, moot) = (flow.job, flow.scheduler, flow.late || flow.answered);
        let number = flow.attempts.len() as u32;
        flow.attempts.push(id);
        flow.out += 1;
        let attempt = Attempt {
            request,
            job,
            number,
            worker,
            sent_at: self.now,
            out: true,
            there: !moot,
            breaks: false,
            stops: false,
        };
        self.attempts.insert(id, attempt);
        if moot {
            return self.at(self.now, Ev::Outcome(id, Ended::Superseded));
        }
        let Some(asked) = self.jobs.get_mut(&job) else { return };
        asked.open += 1;
        let load = asked.of.work * asked.of.slots;
        self.referee.attempt_sent(self.now, scheduler, worker, load);
        self.attempts_sent += 1;
        let (from, to) = (self.schedulers[scheduler as usize].zone, self.workers[worker as usize].1);
        self.crossed += u64::from(from != to);
        let way = self.way(from, to) + self.connection(scheduler, worker);
        self.at(self.now + way, Ev::AtWorker(id));
    }

    /// What a hand-over waits for its connection: nothing where one stands idle. It is taken until the
    /// worker has answered, reckoned at two ways.
    fn connection(&mut self, scheduler: u32, worker: u32) -> Micros {
        let cost = micros_from_seconds(self.scenario.network.connect_delay_s);
        if cost == 0 {
            return 0;
        }
        let (from, to) = (self.schedulers[scheduler as usize].zone, self.workers[worker as usize].1);
        let there_and_back = 2 * micros_from_seconds(self.scenario.network.link_between(from, to).delay_s);
        let (now, idle) = (self.now, self.connections.entry((scheduler, worker)).or_default());
        idle.retain(|&free| free + KEEPALIVE > now);
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
        let Some(of) = self.attempts.get_mut(&id).filter(|of| of.out) else { return };
        of.out = false;
        let (request, number, worker, sent_at) = (of.request, of.number, of.worker, of.sent_at);
        if !of.there {
            self.attempts.remove(&id);
        } else if matches!(outcome, Ended::Cancelled | Ended::TimedOut)
            && self.scenario.tuning.cancel_stops_job
        {
            let from = self.flows.get(&request).map(|flow| self.schedulers[flow.scheduler as usize].zone);
            let to = self.workers[worker as usize].1;
            let way = self.way(from.unwrap_or(to), to);
            self.at(self.now + way, Ev::Stop(id));
        }
        let Some(flow) = self.flows.get_mut(&request) else { return };
        flow.out -= 1;
        let scheduler = flow.scheduler;
        if outcome == Ended::Served && !flow.answered {
            self.say(request, Final::Served);
        }
        let with_answers = self.scenario.load_reports.load_query.is_none();
        let heard = with_answers && matches!(outcome, Ended::Served | Ended::Error | Ended::Rejected);
        let report = heard.then(|| {
            let refresh =
                micros_from_seconds(self.scenario.load_reports.refresh_interval_s) + self.reports_late;
            let (noise, sigma) = (&mut self.noise, self.scenario.load_reports.noise_slots);
            let draw = || Normal::new(0.0, sigma).map_or(0.0, |normal| normal.sample(noise));
            self.workers[worker as usize].0.load_report(self.now, refresh, draw)
        });
        let finished = self.flows.get(&request).is_none_or(|flow| flow.answered);
        let end = AttemptOutcome {
            request: RequestId(request),
            attempt: number,
            outcome,
            request_finished: finished,
            elapsed: self.now - sent_at,
            report,
        };
        self.tell(scheduler, Event::AttemptCompleted(end));
        self.close(request);
    }

    /// An attempt has left the worker, or never got there.
    fn left_worker(&mut self, id: u64) {
        let Some(of) = self.attempts.get_mut(&id) else { return };
        of.there = false;
        let job = of.job;
        if !of.out {
            self.attempts.remove(&id);
        }
        self.forget(job);
    }

    /// Word of an attempt goes back to its scheduler.
    fn back(&mut self, id: u64, outcome: Ended) {
        let Some(of) = self.attempts.get(&id).filter(|of| of.out) else { return };
        let Some(flow) = self.flows.get(&of.request) else { return };
        let (from, to) = (self.workers[of.worker as usize].1, self.schedulers[flow.scheduler as usize].zone);
        let (worker, request) = (of.worker, of.request);
        if outcome == Ended::Served {
            self.referee.result_made(RequestId(request));
        }
        let way = self.way(from, to) + self.wires[worker as usize].callback_delay;
        self.at(self.now + way, Ev::Outcome(id, outcome));
    }

    // ---- Workers -------------------------------------------------------------------------------

    fn at_worker(&mut self, id: u64) {
        let Some(of) = self.attempts.get(&id) else { return };
        if of.stops {
            return self.left_worker(id);
        }
        let (job, worker) = (of.job, of.worker);
        let Some(asked) = self.jobs.get(&job) else { return };
        let of_job = asked.of;
        let class = &self.scenario.classes[of_job.class as usize];
        let sent_at = of.sent_at;
        let effect = class.idempotency();
        let group = self.group(worker, effect);
        // A repeat of a keyed job is dropped in its group, and hears what becomes of the first.
        if let Idempotency::IdempotentWithKey { window, .. } = effect
            && self.workers[worker as usize].0.accepts_jobs()
            && let Some(repeat) =
                self.jobs.get_mut(&job).and_then(|of| of.keys.check_duplicate(id, group, self.now, window))
        {
            self.referee.attempt_accepted(self.now, job, id, effect, group, sent_at);
            if repeat == DuplicateOutcome::AlreadyServed {
                self.back(id, Ended::Served);
                self.left_worker(id);
            }
            return;
        }
        match self.wires[worker as usize].delivery_result(self.network.random()) {
            DeliveryResult::Delivered => {}
            DeliveryResult::ResetBeforeTaken | DeliveryResult::InvalidResponse => {
                self.back(id, Ended::Reset);
                return self.left_worker(id);
            }
            DeliveryResult::ImmediateError => {
                // Nobody is told that it never ran: whoever sends it on must reckon with it.
                self.referee.attempt_accepted(self.now, job, id, effect, group, sent_at);
                self.referee.job_started(self.now, job, effect);
                self.back(id, Ended::Error);
                return self.left_worker(id);
            }
            DeliveryResult::ResetAfterTaken => {
                self.back(id, Ended::Reset);
                if let Some(of) = self.attempts.get_mut(&id) {
                    of.breaks = true;
                }
            }
        }
        let offered = of_job.to_offered_job(id, class);
        let mut effects = Vec::new();
        match self.workers[worker as usize].0.offer(self.now, offered, &mut effects) {
            OfferResult::Accepted => {
                self.held.0 += 1;
                self.referee.attempt_accepted(self.now, job, id, effect, group, sent_at);
                if let Some(asked) = self
                    .jobs
                    .get_mut(&job)
                    .filter(|_| matches!(effect, Idempotency::IdempotentWithKey { .. }))
                {
                    asked.keys.record_taken(id, group, self.now);
                }
                self.effects(worker, effects);
            }
            OfferResult::QueueFull => {
                self.back(id, Ended::Rejected);
                self.left_worker(id);
            }
            OfferResult::ConnectionRefused => {
                self.back(id, Ended::ConnectFailed);
                self.left_worker(id);
            }
            OfferResult::Unreachable => {
                self.at(self.now + CONNECT_TIMEOUT, Ev::Outcome(id, Ended::ConnectFailed));
                self.left_worker(id);
            }
        }
    }

    /// The group in which a worker drops repeats of a job's key.
    fn group(&self, worker: u32, effect: Idempotency) -> u32 {
        let Idempotency::IdempotentWithKey { scope, .. } = effect else { return 0 };
        key_group(scope, self.workers[worker as usize].1, self.cells[worker as usize])
    }

    /// An attempt that was given up stops at its worker, and its key is forgotten with it.
    fn stop(&mut self, id: u64) {
        let Some(of) = self.attempts.get_mut(&id).filter(|of| of.there) else { return };
        let worker = of.worker;
        let mut effects = Vec::new();
        if !self.workers[worker as usize].0.cancel(self.now, id, &mut effects) {
            // It is still on its way, or a repeat that was dropped.
            of.stops = true;
            return;
        }
        self.held.0 -= 1;
        if let Some(asked) = self.jobs.get_mut(&of.job) {
            asked.keys.record_handed_back(id);
        }
        self.tell_dropped(id, Ended::Error);
        self.left_worker(id);
        self.effects(worker, effects);
    }

    fn effects(&mut self, worker: u32, effects: Vec<worker::WorkerEffect>) {
        for effect in effects {
            match effect {
                worker::WorkerEffect::Finished { attempt: id, .. } => self.probe_back(id, Ended::Served, 0),
                worker::WorkerEffect::Lost(id) => self.probe_back(id, Ended::Reset, 0),
                worker::WorkerEffect::HandedBack(id) => self.probe_back(id, Ended::Rejected, 0),
                _ => {}
            }
            match effect {
                worker::WorkerEffect::Started(id) => {
                    let Some(of) = self.attempts.get(&id) else { continue };
                    let (job, tells) = (of.job, of.out && !of.breaks);
                    let zone = self.workers[worker as usize].1;
                    let Some(asked) = self.jobs.get(&job) else { continue };
                    let class = &self.scenario.classes[asked.of.class as usize];
                    let silent = self.workers[worker as usize].0.silent_class == Some(asked.of.class);
                    self.referee.job_started(self.now, job, class.idempotency());
                    if tells && !silent {
                        let wire = self.wires[worker as usize];
                        let way = self.way(zone, zone) + wire.callback_delay;
                        for _ in 0..1 + u32::from(wire.duplicates_callbacks) {
                            self.at(self.now + way, Ev::Started(id));
                        }
                        let every = micros_from_seconds(self.scenario.load_reports.progress_interval_s);
                        if every > 0 {
                            self.at(self.now + every, Ev::Progress(id));
                        }
                    }
                }
                worker::WorkerEffect::Finished { attempt, is_reported: told } => {
                    self.held.0 -= 1;
                    self.tell_dropped(attempt, Ended::Served);
                    if told && self.attempts.get(&attempt).is_some_and(|of| !of.breaks) {
                        self.back(attempt, Ended::Served);
                    }
                    self.left_worker(attempt);
                }
                worker::WorkerEffect::Lost(id) => {
                    self.held.0 -= 1;
                    self.tell_dropped(id, Ended::Reset);
                    self.back(id, Ended::Reset);
                    self.left_worker(id);
                }
                worker::WorkerEffect::HandedBack(id) => {
                    self.held.0 -= 1;
                    // The key is forgotten with it; a repeat that was dropped for it was so for nothing.
                    if let Some(job) = self.attempts.get(&id).map(|of| of.job) {
                        self.referee.attempt_returned(job, id);
                        if let Some(asked) = self.jobs.get_mut(&job) {
                            asked.keys.record_handed_back(id);
                        }
                    }
                    self.tell_dropped(id, Ended::Error);
                    self.back(id, Ended::Rejected);
                    self.left_worker(id);
                }
                worker::WorkerEffect::Overloaded => {
                    self.fell += 1;
                    self.changed(worker);
                }
            }
        }
        let of = &self.workers[worker as usize].0;
        if let Some(next) = of.next_wake(self.now) {
            let epoch = of.wake_epoch;
            self.at(next, Ev::Wake(worker, epoch));
        }
    }

    /// A worker tells how far a job is, and will tell again.
    fn progress(&mut self, id: u64) {
        let Some(of) = self.attempts.get(&id).filter(|of| of.out) else { return };
        let (worker, request, number) = (of.worker, of.request, of.number);
        let Some(share) = self.workers[worker as usize].0.progress(self.now, id) else { return };
        let Some(scheduler) = self.flows.get(&request).map(|flow| flow.scheduler) else { return };
        // Without a way: the next word comes much later than this one.
        let progress = Progress::Done(share);
        self.tell(
            scheduler,
            Event::AttemptProgress { request: RequestId(request), attempt: number, progress },
        );
        self.at(
            self.now + micros_from_seconds(self.scenario.load_reports.progress_interval_s),
            Ev::Progress(id),
        );
    }

    /// The repeats that were dropped for an attempt hear what became of it.
    fn tell_dropped(&mut self, of: u64, outcome: Ended) {
        let Some(job) = self.attempts.get(&of).map(|of| of.job) else { return };
        let Some(asked) = self.jobs.get_mut(&job) else { return };
        for id in asked.keys.record_end(outcome == Ended::Served) {
            self.back(id, outcome);
            self.left_worker(id);
        }
    }

    // ---- Probes --------------------------------------------------------------------------------

    /// A scheduler asks a worker for its load; it hears once what came of it.
    fn probe(&mut self, scheduler: u32, worker: u32) {
        self.next_id += 1;
        let (id, life) = (self.next_id, self.schedulers[scheduler as usize].life);
        self.probes.insert(id, Probing { scheduler, life, worker });
        let known = self.scenario.load_reports.load_query.filter(|_| (worker as usize) < self.workers.len());
        let Some(of) = known else { return self.at(self.now, Ev::ProbeEnds(id, Ended::Superseded, None)) };
        self.probed += 1;
        let (from, to) = (self.schedulers[scheduler as usize].zone, self.workers[worker as usize].1);
        let way = self.way(from, to) + self.connection(scheduler, worker);
        self.at(self.now + way, Ev::ProbeThere(id));
        self.at(self.now + micros_from_seconds(of.timeout_s), Ev::ProbeEnds(id, Ended::TimedOut, None));
    }

    fn probe_there(&mut self, id: u64) {
        let Some(&Probing { worker, .. }) = self.probes.get(&id) else { return };
        let Some(probe) = self.scenario.load_reports.load_query else { return };
        let cut = self.wires[worker as usize].delivery_result(self.network.random());
        let of = &mut self.workers[worker as usize].0;
        match (of.process, cut) {
            // Nothing answers: its scheduler waits until its time is over.
            (worker::ProcessState::Unreachable, _) => return,
            (worker::ProcessState::Stopped, _) => return self.probe_back(id, Ended::ConnectFailed, 0),
            _ if of.is_refusing => return self.probe_back(id, Ended::ConnectFailed, 0),
            (worker::ProcessState::Draining, _) => return self.probe_back(id, Ended::Rejected, 0),
            (_, DeliveryResult::Delivered) => {}
            (_, DeliveryResult::ImmediateError) => return self.probe_back(id, Ended::Error, 0),
            (
                _,
                DeliveryResult::ResetBeforeTaken
                | DeliveryResult::ResetAfterTaken
                | DeliveryResult::InvalidResponse,
            ) => return self.probe_back(id, Ended::Reset, 0),
        }
        if !probe.queued {
            let took = micros_from_seconds(probe.work / of.spec.speed);
            of.charge_side_work(self.now, probe.work);
            self.probe_back(id, Ended::Served, took);
            return self.effects(worker, Vec::new());
        }
        let offered = OfferedJob::load_query(id, probe.work);
        let mut effects = Vec::new();
        match of.offer(self.now, offered, &mut effects) {
            OfferResult::Accepted => {
                self.held.0 += 1;
                self.effects(worker, effects);
            }
            OfferResult::QueueFull => self.probe_back(id, Ended::Rejected, 0),
            OfferResult::ConnectionRefused | OfferResult::Unreachable => {
                self.probe_back(id, Ended::ConnectFailed, 0)
            }
        }
    }

    /// Word of a probe goes back, if its scheduler still waits for it; other ids are none of a probe.
    fn probe_back(&mut self, id: u64, outcome: Ended, after: Micros) {
        let Some(&Probing { scheduler, worker, .. }) = self.probes.get(&id) else { return };
        let Some(probe) = self.scenario.load_reports.load_query else { return };
        let of = &mut self.workers[worker as usize];
        let served = outcome == Ended::Served;
        let report =
            of.0.answer_load_query(self.now, micros_from_seconds(probe.staleness_s) + self.reports_late)
                .filter(|_| served);
        let (from, to) = (of.1, self.schedulers[scheduler as usize].zone);
        let way = self.way(from, to) + after;
        self.at(self.now + way, Ev::ProbeEnds(id, outcome, report));
    }

    fn refresh(&mut self, worker: u32) {
        let reports = &self.scenario.load_reports;
        let (every, now) = (micros_from_seconds(reports.refresh_interval_s), self.now);
        let (noise, sigma) = (&mut self.noise, reports.noise_slots);
        let draw = || Normal::new(0.0, sigma).map_or(0.0, |normal| normal.sample(noise));
        self.workers[worker as usize].0.refresh_load_report(now, every, draw);
        if now <= micros_from_seconds(self.scenario.duration_s) + 60 * SECOND {
            self.at(now + every, Ev::Refresh(worker));
        }
    }

    // ---- Faults --------------------------------------------------------------------------------

    fn fault(&mut self, turn: FaultTransition) {
        let what = self.scenario.faults[turn.fault].kind;
        let (begins, worker) = (turn.is_start, turn.target.unwrap_or_default());
        let mut effects = Vec::new();
        let now = self.now;
        match what {
            FaultKind::Burst(_) | FaultKind::Ramp(_) | FaultKind::HeavyTail(_) => return,
            FaultKind::ReportsLate(by) => {
                self.reports_late = if begins { micros_from_seconds(by) } else { 0 };
                return;
            }
            FaultKind::DiscoveryDown | FaultKind::DiscoveryMoves => {
                if begins {
                    self.watches_end();
                }
                self.discovery_down = if begins { self.discovery_down + 1 } else { self.discovery_down - 1 };
                if self.discovery_down == 0 && what == FaultKind::DiscoveryMoves {
                    self.untold.clear();
                    return self.tell_whole(Arc::new(self.list()));
                }
                if self.discovery_down == 0 {
                    // The whole list as it is by then, as a watch that begins anew is answered.
                    let changed = std::mem::take(&mut self.untold);
                    let now: Vec<_> = changed.iter().map(|entry| self.entry(entry.worker.0)).collect();
                    self.tell_all(&Arc::new(now));
                }
                return;
            }
            FaultKind::DiscoveryContradicts => {
                self.contradicted = begins.then(|| Arc::new(self.list()));
                if begins {
                    return self.contradict(true);
                }
                // Whatever was told last, the truth has the last word.
                return self.tell_whole(Arc::new(self.list()));
            }
            FaultKind::SchedulerCrash if begins => return self.scheduler_dies(worker, false),
            FaultKind::SchedulerCrash => return self.scheduler_starts(worker),
            FaultKind::SchedulerRestart if begins => {
                self.schedulers[worker as usize].takes = false;
                return;
            }
            FaultKind::SchedulerRestart => {
                self.scheduler_dies(worker, true);
                return self.scheduler_starts(worker);
            }
            _ => {}
        }
        if self.wires[worker as usize].apply_fault(what, begins) {
            return;
        }
        let of = &mut self.workers[worker as usize].0;
        let held = of.job_count() as u64;
        let started = of.apply_fault(now, what, begins, &mut effects);
        if what == FaultKind::Vanish && begins {
            self.held.0 -= held;
        }
        if started {
            let build = self.workers[worker as usize].0.spec;
            self.referee.worker_started(now, worker, build.cores.min(build.slots) * build.speed);
        }
        self.effects(worker, effects);
        if matches!(what, FaultKind::Crash | FaultKind::Vanish | FaultKind::Drain) {
            self.changed(worker);
        }
    }

    /// While the list contradicts itself, all are told the old one and the true one in turns.
    fn contradict(&mut self, old: bool) {
        let Some(stale) = self.contradicted.clone() else { return };
        let now = Arc::new(self.list());
        self.tell_whole(if old { stale } else { now });
        self.at(self.now + TURNS, Ev::Contradict(!old));
    }

    fn tell_whole(&mut self, list: Arc<Vec<Endpoint>>) {
        let after = self.now + micros_from_seconds(self.scenario.discovery.delay_s);
        for scheduler in 0..self.schedulers.len() as u32 {
            self.at(after, Ev::Told(scheduler, EndpointUpdateKind::Full, Arc::clone(&list)));
        }
    }

    /// A process ends with all that it took: its clients see their connections break. Where it was told
    /// to end before, they should all have been answered, and it breaks a rule that they are not.
    fn scheduler_dies(&mut self, scheduler: u32, told: bool) {
        let of = &mut self.schedulers[scheduler as usize];
        (of.up, of.life, of.subscribed) = (false, of.life + 1, !self.scenario.discovery.polled);
        let mut flows: Vec<u64> =
            self.flows.iter().filter(|(_, flow)| flow.scheduler == scheduler).map(|(id, _)| *id).collect();
        // In the order in which they came, as the map's own is not the same in each run.
        flows.sort_unstable();
        for request in flows {
            let Some(flow) = self.flows.get_mut(&request) else { continue };
            let (open, job) = (!std::mem::replace(&mut flow.answered, true), flow.job);
            flow.out = 0;
            for id in flow.attempts.clone() {
                let Some(of) = self.attempts.get_mut(&id) else { continue };
                of.out = false;
                if !of.there {
                    self.attempts.remove(&id);
                }
            }
            if open && told {
                // Its client gives up with no answer, and the referee says so.
                continue;
            }
            if open {
                self.referee.response_received(
                    self.now,
                    RequestId(request),
                    ClientResponse::ConnectionBroken,
                );
                if self.jobs.get(&job).is_some_and(|asked| !asked.ended) {
                    self.end_job(job, JobOutcome::Failed);
                }
            }
            self.close(request);
        }
    }

    fn scheduler_starts(&mut self, scheduler: u32) {
        let own = self.seed.wrapping_add(u64::from(scheduler) * 7919).wrapping_add(1);
        let settings = self.scenario.settings(scheduler);
        let of = &mut self.schedulers[scheduler as usize];
        match self.kind.build(settings, own, random_stream(own, StreamPurpose::Network)) {
            Ok(policy) => (of.policy, of.up, of.takes, of.version) = (policy, true, true, 0),
            // The same settings were taken at the start.
            Err(_) => unreachable!("settings that were taken before"),
        }
        let list = Arc::new(self.list());
        let after =
            if self.discovery_down > 0 { micros_from_seconds(self.scenario.discovery.delay_s) } else { 0 };
        let kind = if self.scenario.discovery.polled {
            EndpointUpdateKind::Cached
        } else {
            EndpointUpdateKind::Full
        };
        self.at(self.now + after, Ev::Told(scheduler, kind, list));
    }

    fn outcome(self, kind: PolicyKind, seed: u64) -> RunOutcome {
        RunRecord {
            scenario: self.scenario,
            policy: kind.name(),
            seed,
            events: self.events,
            counter: &self.tally,
            workers: &self.workers,
            kinds: &self.kinds,
            attempts: self.attempts_sent,
            cross_zone_attempts: self.crossed,
            load_queries: self.probed,
            overloads: self.fell,
            job_microseconds: self.held.1,
            violations: self.referee.into_violations(),
            machine_usage: None,
        }
        .into_outcome()
    }
}

#[cfg(test)]
#[path = "../tests/unit/simulation.rs"]
mod tests;
