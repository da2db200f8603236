//! What the emulator knows: the model's workers in real time, who asked for what, and the referee. No
//! socket and no await: the tasks round it tell it what came and carry out what it says.
use copperspread_dispatcher::{Idempotency, LoadReport, Micros, RequestId};
use rand::RngExt;
use rand_distr::{Distribution, Normal};
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::model::arrivals::Arrival;
use crate::model::connection_faults::{ConnectionFaults, DeliveryResult};
use crate::model::fleet::{FaultTransition, Fleet, slow_start_budget};
use crate::model::idempotency_keys::{DuplicateOutcome, KeyHistory, key_group};
use crate::model::random::{RandomStream, StreamPurpose, random_stream};
use crate::model::worker::{self, OfferResult, OfferedJob, ProcessState, Worker};
use crate::outcome::OutcomeCounter;
use crate::rule_checker::RuleChecker;
use crate::scenario::{FaultKind, Scenario, micros_from_seconds};

/// News of an attempt, to be called back.
#[derive(Clone, Debug, PartialEq)]
pub struct Callback {
    /// The request.
    pub request: u64,
    /// The worker that calls.
    pub worker: u32,
    /// The scheduler that it calls.
    pub scheduler: u32,
    /// What it says.
    pub state: CallbackState,
    /// It is said so much later, for the way and for what delays it.
    pub delay: Micros,
    /// It is said twice.
    pub is_duplicated: bool,
}

/// What a call-back says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallbackState {
    /// The job began to run.
    Started,
    /// So great a share of it is done.
    Running(f64),
    /// It is done.
    Done(LoadReport),
    /// It was lost with the process.
    Lost,
    /// It is handed back unstarted.
    Returned(LoadReport),
    /// A repeat's first attempt came to nothing.
    Failed,
}

/// A worker's answer to a hand-over.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResponse {
    /// 202.
    Accepted,
    /// 202, of which the half is said.
    AcceptedThenReset,
    /// 503 with the word that it never runs here.
    Rejected(LoadReport),
    /// No such request: 400.
    UnknownRequest,
    /// The connection is reset.
    Reset,
    /// Garbage.
    Garbage,
}

/// A worker's answer to a probe.
#[derive(Debug)]
pub enum LoadQueryResponse {
    /// 200, with its load after so long.
    AfterDelay(Micros),
    /// It waits its turn; what comes of it is told, or nothing when it was lost.
    Queued(oneshot::Receiver<()>),
    /// 503.
    Unavailable,
    /// There are no probes here: 404.
    NotFound,
    /// 500.
    Failed,
    /// The connection is reset.
    Reset,
    /// Garbage.
    Garbage,
}

struct PendingRequest {
    job: u64,
    scheduler: u32,
}

struct Attempt {
    request: u64,
    job: u64,
    worker: u32,
    scheduler: u32,
}

/// A client's job.
struct Job {
    of: Arrival,
    keys: KeyHistory,
}

/// The world round the schedulers.
pub struct EmulationState {
    /// What is played.
    pub scenario: Scenario,
    /// Workers with their zones.
    pub workers: Vec<(Worker, u32)>,
    /// Each worker's kind.
    pub kinds: Vec<u32>,
    /// Each worker's cell.
    pub cells: Vec<u32>,
    /// What goes wrong on their connections.
    pub connections: Vec<ConnectionFaults>,
    /// The referee.
    pub referee: RuleChecker,
    /// What became of jobs.
    pub tally: OutcomeCounter,
    /// Attempts that reached a worker, and those of them that crossed zones.
    pub attempts_sent: u64,
    /// Attempts that crossed zones.
    pub cross_zone_attempts: u64,
    /// Probes that reached a worker.
    pub load_query_count: u64,
    /// Workers that fell over.
    pub overloaded_workers: u64,
    /// News that is to be called back.
    pub callbacks: Vec<Callback>,
    /// Workers whose process or machine changed, for their sockets.
    pub changed_workers: Vec<u32>,
    started_at: Instant,
    requests: FxHashMap<u64, PendingRequest>,
    jobs: FxHashMap<u64, Job>,
    attempts: FxHashMap<u64, Attempt>,
    load_queries: FxHashMap<u64, oneshot::Sender<()>>,
    last_id: u64,
    extra_report_delay: Micros,
    network_random: RandomStream,
    noise_random: RandomStream,
    in_flight: (u64, f64, Micros),
}

impl EmulationState {
    /// The world of a scenario and a seed; time counts from now on.
    pub fn new(scenario: &Scenario, fleet: Fleet, seed: u64) -> EmulationState {
        EmulationState {
            connections: vec![ConnectionFaults::default(); fleet.workers.len()],
            workers: fleet.workers,
            kinds: fleet.kinds,
            cells: fleet.cells,
            referee: RuleChecker::new(slow_start_budget(scenario)),
            tally: OutcomeCounter::new(scenario.classes.len(), scenario.zones),
            attempts_sent: 0,
            cross_zone_attempts: 0,
            load_query_count: 0,
            overloaded_workers: 0,
            callbacks: Vec::new(),
            changed_workers: Vec::new(),
            started_at: Instant::now(),
            requests: FxHashMap::default(),
            jobs: FxHashMap::default(),
            attempts: FxHashMap::default(),
            load_queries: FxHashMap::default(),
            // Ids that look like no small number, as the platform's do.
            last_id: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1 << 63,
            extra_report_delay: 0,
            network_random: random_stream(seed, StreamPurpose::Network),
            noise_random: random_stream(seed, StreamPurpose::Reports),
            in_flight: (0, 0.0, 0),
            scenario: scenario.clone(),
        }
    }

    /// The clients begin to come now.
    pub fn start_clock(&mut self) {
        self.started_at = Instant::now();
    }

    /// Microseconds since the clients began.
    pub fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// An instant of the run.
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.started_at + std::time::Duration::from_micros(at)
    }

    /// The way between two zones, apart from what the machine's own way takes. Ways within a zone are
    /// shorter than a timer's step: the machine's own way stands for them.
    pub fn network_delay(&self, from: u32, to: u32) -> Micros {
        let way = micros_from_seconds(self.scenario.network.link_between(from, to).delay_s);
        if way < 1_000 { 0 } else { way }
    }

    fn scheduler_zone(&self, scheduler: u32) -> u32 {
        scheduler % self.scenario.zones
    }

    /// A client's job, by its number.
    pub fn add_job(&mut self, number: u64, of: Arrival) {
        self.jobs.insert(number, Job { of, keys: KeyHistory::default() });
    }

    /// A client asks a scheduler; returns the request's id.
    pub fn register_request(&mut self, job: u64, scheduler: u32, gives_up: Micros) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        self.requests.insert(self.last_id, PendingRequest { job, scheduler });
        self.referee.request_sent(RequestId(self.last_id), gives_up);
        self.last_id
    }

    fn account_in_flight(&mut self) {
        let now = self.now();
        self.in_flight.1 += self.in_flight.0 as f64 * now.saturating_sub(self.in_flight.2) as f64;
        self.in_flight.2 = now;
    }

    /// Jobs in the workers, added up over microseconds.
    pub fn in_flight_job_micros(&self) -> f64 {
        self.in_flight.1
    }

    /// A hand-over reaches a worker: the head has come. Returns how long it is still on its way.
    pub fn attempt_arrives(&mut self, request: u64, worker: u32) -> Micros {
        let now = self.now();
        let Some(asked) = self.requests.get(&request) else { return 0 };
        let Some(job) = self.jobs.get(&asked.job) else { return 0 };
        let (from, to) = (self.scheduler_zone(asked.scheduler), self.workers[worker as usize].1);
        self.referee.attempt_sent(now, asked.scheduler, worker, job.of.work * job.of.slots);
        self.attempts_sent += 1;
        self.cross_zone_attempts += u64::from(from != to);
        self.network_delay(from, to)
    }

    /// The same hand-over is there as a whole, `came` having been its head's instant.
    pub fn accept_attempt(&mut self, request: u64, worker: u32, came: Micros) -> AttemptResponse {
        self.account_in_flight();
        let now = self.now();
        let Some(&PendingRequest { job, scheduler }) = self.requests.get(&request) else {
            return AttemptResponse::UnknownRequest;
        };
        let Some(of) = self.jobs.get_mut(&job) else { return AttemptResponse::UnknownRequest };
        let arrival = of.of;
        let zone = self.workers[worker as usize].1;
        let effect = self.scenario.classes[arrival.class as usize].idempotency();
        let group = match effect {
            Idempotency::IdempotentWithKey { scope, .. } => {
                key_group(scope, zone, self.cells[worker as usize])
            }
            _ => 0,
        };
        self.last_id = self.last_id.wrapping_add(1);
        let id = self.last_id;
        let attempt = Attempt { request, job, worker, scheduler };
        if let Idempotency::IdempotentWithKey { window, .. } = effect
            && self.workers[worker as usize].0.accepts_jobs()
            && let Some(repeat) = of.keys.check_duplicate(id, group, now, window)
        {
            self.attempts.insert(id, attempt);
            self.referee.attempt_accepted(now, job, id, effect, group, came);
            if repeat == DuplicateOutcome::AlreadyServed {
                self.queue_callback(id, AttemptState::Done);
            }
            return AttemptResponse::Accepted;
        }
        let cut = self.connections[worker as usize].delivery_result(self.network_random.random());
        match cut {
            DeliveryResult::ResetBeforeTaken => return AttemptResponse::Reset,
            DeliveryResult::InvalidResponse => return AttemptResponse::Garbage,
            DeliveryResult::ImmediateError => {
                // As in virtual time: to the rules it may have run.
                self.referee.attempt_accepted(now, job, id, effect, group, came);
                self.referee.job_started(now, job, effect);
                self.attempts.insert(id, attempt);
                self.queue_callback(id, AttemptState::Failed);
                self.attempts.remove(&id);
                return AttemptResponse::Accepted;
            }
            DeliveryResult::Delivered | DeliveryResult::ResetAfterTaken => {}
        }
        let offered = arrival.to_offered_job(id, &self.scenario.classes[arrival.class as usize]);
        let mut effects = Vec::new();
        match self.workers[worker as usize].0.offer(now, offered, &mut effects) {
            OfferResult::Accepted => {
                self.in_flight.0 += 1;
                self.attempts.insert(id, attempt);
                self.referee.attempt_accepted(now, job, id, effect, group, came);
                if matches!(effect, Idempotency::IdempotentWithKey { .. })
                    && let Some(of) = self.jobs.get_mut(&job)
                {
                    of.keys.record_taken(id, group, now);
                }
                self.apply_effects(worker, effects);
                if cut == DeliveryResult::ResetAfterTaken {
                    AttemptResponse::AcceptedThenReset
                } else {
                    AttemptResponse::Accepted
                }
            }
            OfferResult::QueueFull => AttemptResponse::Rejected(self.response_load_report(worker)),
            // Its sockets are on their way out.
            OfferResult::ConnectionRefused | OfferResult::Unreachable => AttemptResponse::Reset,
        }
    }

    /// A request's attempts stop at a worker whose scheduler gave it up there.
    pub fn cancel_request(&mut self, request: u64, worker: u32) {
        if !self.scenario.tuning.cancel_stops_job {
            return;
        }
        self.account_in_flight();
        let now = self.now();
        let of = |(id, of): (&u64, &Attempt)| (of.request == request && of.worker == worker).then_some(*id);
        let ids: Vec<u64> = self.attempts.iter().filter_map(of).collect();
        for id in ids {
            let mut effects = Vec::new();
            if !self.workers[worker as usize].0.cancel(now, id, &mut effects) {
                continue;
            }
            self.in_flight.0 -= 1;
            let job = self.attempts.get(&id).map(|of| of.job);
            if let Some(of) = job.and_then(|job| self.jobs.get_mut(&job)) {
                of.keys.record_handed_back(id);
            }
            self.attempt_ended(id, AttemptState::Failed);
            self.apply_effects(worker, effects);
        }
    }

    /// A probe comes to a worker.
    pub fn accept_load_query(&mut self, worker: u32) -> LoadQueryResponse {
        let Some(probe) = self.scenario.load_reports.load_query else { return LoadQueryResponse::NotFound };
        self.account_in_flight();
        let now = self.now();
        self.load_query_count += 1;
        match self.connections[worker as usize].delivery_result(self.network_random.random()) {
            DeliveryResult::Delivered => {}
            DeliveryResult::ResetBeforeTaken | DeliveryResult::ResetAfterTaken => {
                return LoadQueryResponse::Reset;
            }
            DeliveryResult::InvalidResponse => return LoadQueryResponse::Garbage,
            DeliveryResult::ImmediateError => return LoadQueryResponse::Failed,
        }
        let of = &mut self.workers[worker as usize].0;
        if of.process != ProcessState::Up {
            return LoadQueryResponse::Unavailable;
        }
        if !probe.queued {
            of.charge_side_work(now, probe.work);
            return LoadQueryResponse::AfterDelay(micros_from_seconds(probe.work / of.spec.speed));
        }
        self.last_id = self.last_id.wrapping_add(1);
        let id = self.last_id;
        let mut effects = Vec::new();
        if of.offer(now, OfferedJob::load_query(id, probe.work), &mut effects) != OfferResult::Accepted {
            return LoadQueryResponse::Unavailable;
        }
        self.in_flight.0 += 1;
        let (tells, told) = oneshot::channel();
        self.load_queries.insert(id, tells);
        self.apply_effects(worker, effects);
        LoadQueryResponse::Queued(told)
    }

    /// A worker's load, as it tells whoever probes it.
    pub fn queried_load_report(&mut self, worker: u32) -> LoadReport {
        let now = self.now();
        let late =
            self.scenario.load_reports.load_query.map_or(0, |probe| micros_from_seconds(probe.staleness_s))
                + self.extra_report_delay;
        self.workers[worker as usize].0.answer_load_query(now, late).unwrap_or_default()
    }

    /// A worker's figures for probes are refreshed.
    pub fn refresh_load_report(&mut self, worker: u32) {
        let (now, every) = (self.now(), micros_from_seconds(self.scenario.load_reports.refresh_interval_s));
        let (noise, sigma) = (&mut self.noise_random, self.scenario.load_reports.noise_slots);
        let draw = || Normal::new(0.0, sigma).map_or(0.0, |normal| normal.sample(noise));
        self.workers[worker as usize].0.refresh_load_report(now, every, draw);
    }

    /// What comes along with an answer; nothing where workers are to be probed.
    fn response_load_report(&mut self, worker: u32) -> LoadReport {
        if self.scenario.load_reports.load_query.is_some() {
            return LoadReport::default();
        }
        let refresh =
            micros_from_seconds(self.scenario.load_reports.refresh_interval_s) + self.extra_report_delay;
        let (noise, sigma, now) =
            (&mut self.noise_random, self.scenario.load_reports.noise_slots, self.started_at.elapsed());
        let draw = || Normal::new(0.0, sigma).map_or(0.0, |normal| normal.sample(noise));
        self.workers[worker as usize].0.load_report(now.as_micros() as Micros, refresh, draw)
    }

    /// A worker is looked at: what is done by now ends. Returns when it must be looked at again.
    pub fn advance_worker(&mut self, worker: u32) -> Option<Instant> {
        self.account_in_flight();
        let now = self.now();
        let mut effects = Vec::new();
        let of = &mut self.workers[worker as usize].0;
        if of.accepts_jobs() || of.job_count() > 0 {
            of.advance(now, &mut effects);
        }
        self.apply_effects(worker, effects);
        self.workers[worker as usize].0.next_wake(self.now()).map(|at| self.instant_at(at))
    }

    /// A fault begins or is over.
    pub fn apply_fault(&mut self, turn: FaultTransition) {
        self.account_in_flight();
        let now = self.now();
        let what = self.scenario.faults[turn.fault].kind;
        if let FaultKind::ReportsLate(by) = what {
            self.extra_report_delay = if turn.is_start { micros_from_seconds(by) } else { 0 };
        }
        let Some(worker) = turn.target.filter(|_| what.affects_workers()) else { return };
        if self.connections[worker as usize].apply_fault(what, turn.is_start) {
            return;
        }
        let mut effects = Vec::new();
        let held = self.workers[worker as usize].0.job_count() as u64;
        let started = self.workers[worker as usize].0.apply_fault(now, what, turn.is_start, &mut effects);
        if what == FaultKind::Vanish && turn.is_start {
            self.in_flight.0 -= held;
        }
        if started {
            let build = self.workers[worker as usize].0.spec;
            self.referee.worker_started(now, worker, build.cores.min(build.slots) * build.speed);
        }
        self.apply_effects(worker, effects);
        self.changed_workers.push(worker);
    }

    fn apply_effects(&mut self, worker: u32, effects: Vec<worker::WorkerEffect>) {
        let now = self.now();
        for effect in effects {
            match effect {
                worker::WorkerEffect::Started(id) => {
                    let Some(of) = self.attempts.get(&id) else { continue };
                    let job = of.job;
                    let Some(class) = self.jobs.get(&job).map(|job| job.of.class) else { continue };
                    self.referee.job_started(now, job, self.scenario.classes[class as usize].idempotency());
                    if self.workers[worker as usize].0.silent_class != Some(class) {
                        self.queue_callback(id, AttemptState::Started);
                    }
                }
                worker::WorkerEffect::Finished { attempt, is_reported: told } => {
                    self.in_flight.0 -= 1;
                    if let Some(of) = self.load_queries.remove(&attempt) {
                        let _ = of.send(());
                    }
                    if told {
                        self.queue_callback(attempt, AttemptState::Done);
                    }
                    self.attempt_ended(attempt, AttemptState::Done);
                }
                worker::WorkerEffect::Lost(id) => {
                    self.in_flight.0 -= 1;
                    self.load_queries.remove(&id);
                    self.queue_callback(id, AttemptState::Lost);
                    self.attempt_ended(id, AttemptState::Lost);
                }
                worker::WorkerEffect::HandedBack(id) => {
                    self.in_flight.0 -= 1;
                    self.load_queries.remove(&id);
                    if let Some(job) = self.attempts.get(&id).map(|of| of.job) {
                        self.referee.attempt_returned(job, id);
                        if let Some(of) = self.jobs.get_mut(&job) {
                            of.keys.record_handed_back(id);
                        }
                    }
                    self.queue_callback(id, AttemptState::Returned);
                    self.attempt_ended(id, AttemptState::Failed);
                }
                worker::WorkerEffect::Overloaded => {
                    self.overloaded_workers += 1;
                    self.changed_workers.push(worker);
                }
            }
        }
    }

    /// How far each running job of a worker is, to be called back.
    pub fn report_progress(&mut self, worker: u32) {
        let now = self.now();
        let of = &self.workers[worker as usize].0;
        let mut told: Vec<(u64, f64)> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.worker == worker)
            .filter_map(|(&id, _)| Some((id, of.progress(now, id)?)))
            .collect();
        told.sort_unstable_by_key(|&(id, _)| id);
        for (id, share) in told {
            self.queue_callback(id, AttemptState::Running(share));
        }
    }

    /// An attempt is over at its worker: repeats that were dropped for it hear so.
    fn attempt_ended(&mut self, id: u64, kind: AttemptState) {
        let Some(of) = self.attempts.remove(&id) else { return };
        let Some(job) = self.jobs.get_mut(&of.job) else { return };
        for repeat in job.keys.record_end(kind == AttemptState::Done) {
            self.queue_callback(repeat, kind);
            self.attempts.remove(&repeat);
        }
    }

    fn queue_callback(&mut self, id: u64, kind: AttemptState) {
        let Some(&Attempt { request, worker, scheduler, .. }) = self.attempts.get(&id) else { return };
        let word = match kind {
            AttemptState::Started => CallbackState::Started,
            AttemptState::Running(share) => CallbackState::Running(share),
            AttemptState::Done => CallbackState::Done(self.response_load_report(worker)),
            AttemptState::Returned => CallbackState::Returned(self.response_load_report(worker)),
            AttemptState::Lost => CallbackState::Lost,
            AttemptState::Failed => CallbackState::Failed,
        };
        if kind == AttemptState::Done {
            self.referee.result_made(RequestId(request));
        }
        let wire = self.connections[worker as usize];
        let way = self.network_delay(self.workers[worker as usize].1, self.scheduler_zone(scheduler));
        let (after, twice) = (way + wire.callback_delay, wire.duplicates_callbacks);
        self.callbacks.push(Callback {
            request,
            worker,
            scheduler,
            state: word,
            delay: after,
            is_duplicated: twice,
        });
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptState {
    Started,
    Running(f64),
    Done,
    Lost,
    Returned,
    Failed,
}
