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
use crate::outcome::Tally;
use crate::referee::Referee;
use crate::scenario::{Scenario, Trouble, micros};

/// News of an attempt, to be called back.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// The request.
    pub request: u64,
    /// The worker that calls.
    pub worker: u32,
    /// The scheduler that it calls.
    pub scheduler: u32,
    /// What it says.
    pub word: Word,
    /// It is said so much later, for the way and for what delays it.
    pub after: Micros,
    /// It is said twice.
    pub twice: bool,
}

/// What a call-back says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
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
pub enum Taken {
    /// 202.
    Yes,
    /// 202, of which the half is said.
    Half,
    /// 503 with the word that it never runs here.
    Full(LoadReport),
    /// No such request: 400.
    Unknown,
    /// The connection is reset.
    Reset,
    /// Garbage.
    Garbage,
}

/// A worker's answer to a probe.
#[derive(Debug)]
pub enum Probed {
    /// 200, with its load after so long.
    Now(Micros),
    /// It waits its turn; what comes of it is told, or nothing when it was lost.
    Waits(oneshot::Receiver<()>),
    /// 503.
    Unwell,
    /// There are no probes here: 404.
    Unknown,
    /// 500.
    Failed,
    /// The connection is reset.
    Reset,
    /// Garbage.
    Garbage,
}

struct Asked {
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
pub struct World {
    /// What is played.
    pub scenario: Scenario,
    /// Workers with their zones.
    pub workers: Vec<(Worker, u32)>,
    /// Each worker's kind.
    pub kinds: Vec<u32>,
    /// Each worker's cell.
    pub cells: Vec<u32>,
    /// What goes wrong on their connections.
    pub wires: Vec<ConnectionFaults>,
    /// The referee.
    pub referee: Referee,
    /// What became of jobs.
    pub tally: Tally,
    /// Attempts that reached a worker, and those of them that crossed zones.
    pub attempts_sent: u64,
    /// Attempts that crossed zones.
    pub crossed: u64,
    /// Probes that reached a worker.
    pub probed: u64,
    /// Workers that fell over.
    pub fell: u64,
    /// News that is to be called back.
    pub news: Vec<News>,
    /// Workers whose process or machine changed, for their sockets.
    pub changed: Vec<u32>,
    began: Instant,
    requests: FxHashMap<u64, Asked>,
    jobs: FxHashMap<u64, Job>,
    attempts: FxHashMap<u64, Attempt>,
    probes: FxHashMap<u64, oneshot::Sender<()>>,
    next: u64,
    reports_late: Micros,
    network: RandomStream,
    noise: RandomStream,
    held: (u64, f64, Micros),
}

impl World {
    /// The world of a scenario and a seed; time counts from now on.
    pub fn new(scenario: &Scenario, fleet: Fleet, seed: u64) -> World {
        World {
            wires: vec![ConnectionFaults::default(); fleet.workers.len()],
            workers: fleet.workers,
            kinds: fleet.kinds,
            cells: fleet.cells,
            referee: Referee::new(slow_start_budget(scenario)),
            tally: Tally::new(scenario.classes.len(), scenario.zones),
            attempts_sent: 0,
            crossed: 0,
            probed: 0,
            fell: 0,
            news: Vec::new(),
            changed: Vec::new(),
            began: Instant::now(),
            requests: FxHashMap::default(),
            jobs: FxHashMap::default(),
            attempts: FxHashMap::default(),
            probes: FxHashMap::default(),
            // Ids that look like no small number, as the platform's do.
            next: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1 << 63,
            reports_late: 0,
            network: random_stream(seed, StreamPurpose::Network),
            noise: random_stream(seed, StreamPurpose::Reports),
            held: (0, 0.0, 0),
            scenario: scenario.clone(),
        }
    }

    /// The clients begin to come now.
    pub fn begin(&mut self) {
        self.began = Instant::now();
    }

    /// Microseconds since the clients began.
    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// An instant of the run.
    pub fn instant(&self, at: Micros) -> Instant {
        self.began + std::time::Duration::from_micros(at)
    }

    /// The way between two zones, apart from what the machine's own way takes. Ways within a zone are
    /// shorter than a timer's step: the machine's own way stands for them.
    pub fn way(&self, from: u32, to: u32) -> Micros {
        let way = micros(self.scenario.network.between(from, to).0);
        if way < 1_000 { 0 } else { way }
    }

    fn zone_of(&self, scheduler: u32) -> u32 {
        scheduler % self.scenario.zones
    }

    /// A client's job, by its number.
    pub fn job(&mut self, number: u64, of: Arrival) {
        self.jobs.insert(number, Job { of, keys: KeyHistory::default() });
    }

    /// A client asks a scheduler; returns the request's id.
    pub fn ask(&mut self, job: u64, scheduler: u32, gives_up: Micros) -> u64 {
        self.next = self.next.wrapping_add(1);
        self.requests.insert(self.next, Asked { job, scheduler });
        self.referee.asked(RequestId(self.next), gives_up);
        self.next
    }

    fn hold(&mut self) {
        let now = self.now();
        self.held.1 += self.held.0 as f64 * now.saturating_sub(self.held.2) as f64;
        self.held.2 = now;
    }

    /// Jobs in the workers, added up over microseconds.
    pub fn held(&self) -> f64 {
        self.held.1
    }

    /// A hand-over reaches a worker: the head has come. Returns how long it is still on its way.
    pub fn comes(&mut self, request: u64, worker: u32) -> Micros {
        let now = self.now();
        let Some(asked) = self.requests.get(&request) else { return 0 };
        let Some(job) = self.jobs.get(&asked.job) else { return 0 };
        let (from, to) = (self.zone_of(asked.scheduler), self.workers[worker as usize].1);
        self.referee.sent(now, asked.scheduler, worker, job.of.work * job.of.slots);
        self.attempts_sent += 1;
        self.crossed += u64::from(from != to);
        self.way(from, to)
    }

    /// The same hand-over is there as a whole, `came` having been its head's instant.
    pub fn take(&mut self, request: u64, worker: u32, came: Micros) -> Taken {
        self.hold();
        let now = self.now();
        let Some(&Asked { job, scheduler }) = self.requests.get(&request) else { return Taken::Unknown };
        let Some(of) = self.jobs.get_mut(&job) else { return Taken::Unknown };
        let arrival = of.of;
        let zone = self.workers[worker as usize].1;
        let effect = self.scenario.classes[arrival.class as usize].effect();
        let group = match effect {
            Idempotency::IdempotentWithKey { scope, .. } => {
                key_group(scope, zone, self.cells[worker as usize])
            }
            _ => 0,
        };
        self.next = self.next.wrapping_add(1);
        let id = self.next;
        let attempt = Attempt { request, job, worker, scheduler };
        if let Idempotency::IdempotentWithKey { window, .. } = effect
            && self.workers[worker as usize].0.accepts_jobs()
            && let Some(repeat) = of.keys.check_duplicate(id, group, now, window)
        {
            self.attempts.insert(id, attempt);
            self.referee.took(now, job, id, effect, group, came);
            if repeat == DuplicateOutcome::AlreadyServed {
                self.tell(id, Kind::Done);
            }
            return Taken::Yes;
        }
        let cut = self.wires[worker as usize].delivery_result(self.network.random());
        match cut {
            DeliveryResult::ResetBeforeTaken => return Taken::Reset,
            DeliveryResult::InvalidResponse => return Taken::Garbage,
            DeliveryResult::ImmediateError => {
                // As in virtual time: to the rules it may have run.
                self.referee.took(now, job, id, effect, group, came);
                self.referee.ran(now, job, effect);
                self.attempts.insert(id, attempt);
                self.tell(id, Kind::Failed);
                self.attempts.remove(&id);
                return Taken::Yes;
            }
            DeliveryResult::Delivered | DeliveryResult::ResetAfterTaken => {}
        }
        let offered = arrival.to_offered_job(id, &self.scenario.classes[arrival.class as usize]);
        let mut effects = Vec::new();
        match self.workers[worker as usize].0.offer(now, offered, &mut effects) {
            OfferResult::Accepted => {
                self.held.0 += 1;
                self.attempts.insert(id, attempt);
                self.referee.took(now, job, id, effect, group, came);
                if matches!(effect, Idempotency::IdempotentWithKey { .. })
                    && let Some(of) = self.jobs.get_mut(&job)
                {
                    of.keys.record_taken(id, group, now);
                }
                self.effects(worker, effects);
                if cut == DeliveryResult::ResetAfterTaken { Taken::Half } else { Taken::Yes }
            }
            OfferResult::QueueFull => Taken::Full(self.report(worker)),
            // Its sockets are on their way out.
            OfferResult::ConnectionRefused | OfferResult::Unreachable => Taken::Reset,
        }
    }

    /// A request's attempts stop at a worker whose scheduler gave it up there.
    pub fn given_up(&mut self, request: u64, worker: u32) {
        if !self.scenario.settings.cancel_stops {
            return;
        }
        self.hold();
        let now = self.now();
        let of = |(id, of): (&u64, &Attempt)| (of.request == request && of.worker == worker).then_some(*id);
        let ids: Vec<u64> = self.attempts.iter().filter_map(of).collect();
        for id in ids {
            let mut effects = Vec::new();
            if !self.workers[worker as usize].0.cancel(now, id, &mut effects) {
                continue;
            }
            self.held.0 -= 1;
            let job = self.attempts.get(&id).map(|of| of.job);
            if let Some(of) = job.and_then(|job| self.jobs.get_mut(&job)) {
                of.keys.record_returned(id);
            }
            self.over(id, Kind::Failed);
            self.effects(worker, effects);
        }
    }

    /// A probe comes to a worker.
    pub fn probe(&mut self, worker: u32) -> Probed {
        let Some(probe) = self.scenario.reports.probe else { return Probed::Unknown };
        self.hold();
        let now = self.now();
        self.probed += 1;
        match self.wires[worker as usize].delivery_result(self.network.random()) {
            DeliveryResult::Delivered => {}
            DeliveryResult::ResetBeforeTaken | DeliveryResult::ResetAfterTaken => return Probed::Reset,
            DeliveryResult::InvalidResponse => return Probed::Garbage,
            DeliveryResult::ImmediateError => return Probed::Failed,
        }
        let of = &mut self.workers[worker as usize].0;
        if of.process != ProcessState::Up {
            return Probed::Unwell;
        }
        if !probe.deep {
            of.charge_side_work(now, probe.work);
            return Probed::Now(micros(probe.work / of.spec.speed));
        }
        self.next = self.next.wrapping_add(1);
        let id = self.next;
        let mut effects = Vec::new();
        if of.offer(now, OfferedJob::load_query(id, probe.work), &mut effects) != OfferResult::Accepted {
            return Probed::Unwell;
        }
        self.held.0 += 1;
        let (tells, told) = oneshot::channel();
        self.probes.insert(id, tells);
        self.effects(worker, effects);
        Probed::Waits(told)
    }

    /// A worker's load, as it tells whoever probes it.
    pub fn load(&mut self, worker: u32) -> LoadReport {
        let now = self.now();
        let late = self.scenario.reports.probe.map_or(0, |probe| micros(probe.late)) + self.reports_late;
        self.workers[worker as usize].0.answer_load_query(now, late).unwrap_or_default()
    }

    /// A worker's figures for probes are refreshed.
    pub fn refresh(&mut self, worker: u32) {
        let (now, every) = (self.now(), micros(self.scenario.reports.refresh));
        let (noise, sigma) = (&mut self.noise, self.scenario.reports.noise);
        let draw = || Normal::new(0.0, sigma).map_or(0.0, |normal| normal.sample(noise));
        self.workers[worker as usize].0.refresh_load_report(now, every, draw);
    }

    /// What comes along with an answer; nothing where workers are to be probed.
    fn report(&mut self, worker: u32) -> LoadReport {
        if self.scenario.reports.probe.is_some() {
            return LoadReport::default();
        }
        let refresh = micros(self.scenario.reports.refresh) + self.reports_late;
        let (noise, sigma, now) = (&mut self.noise, self.scenario.reports.noise, self.began.elapsed());
        let draw = || Normal::new(0.0, sigma).map_or(0.0, |normal| normal.sample(noise));
        self.workers[worker as usize].0.load_report(now.as_micros() as Micros, refresh, draw)
    }

    /// A worker is looked at: what is done by now ends. Returns when it must be looked at again.
    pub fn look(&mut self, worker: u32) -> Option<Instant> {
        self.hold();
        let now = self.now();
        let mut effects = Vec::new();
        let of = &mut self.workers[worker as usize].0;
        if of.accepts_jobs() || of.job_count() > 0 {
            of.advance(now, &mut effects);
        }
        self.effects(worker, effects);
        self.workers[worker as usize].0.next_wake(self.now()).map(|at| self.instant(at))
    }

    /// A fault begins or is over.
    pub fn turn(&mut self, turn: FaultTransition) {
        self.hold();
        let now = self.now();
        let what = self.scenario.faults[turn.fault].what;
        if let Trouble::ReportsLate(by) = what {
            self.reports_late = if turn.is_start { micros(by) } else { 0 };
        }
        let Some(worker) = turn.target.filter(|_| what.meets_workers()) else { return };
        if self.wires[worker as usize].apply_fault(what, turn.is_start) {
            return;
        }
        let mut effects = Vec::new();
        let held = self.workers[worker as usize].0.job_count() as u64;
        let started = self.workers[worker as usize].0.apply_fault(now, what, turn.is_start, &mut effects);
        if what == Trouble::Vanish && turn.is_start {
            self.held.0 -= held;
        }
        if started {
            let build = self.workers[worker as usize].0.spec;
            self.referee.started(now, worker, build.cores.min(build.slots) * build.speed);
        }
        self.effects(worker, effects);
        self.changed.push(worker);
    }

    fn effects(&mut self, worker: u32, effects: Vec<worker::WorkerEffect>) {
        let now = self.now();
        for effect in effects {
            match effect {
                worker::WorkerEffect::Started(id) => {
                    let Some(of) = self.attempts.get(&id) else { continue };
                    let job = of.job;
                    let Some(class) = self.jobs.get(&job).map(|job| job.of.class) else { continue };
                    self.referee.ran(now, job, self.scenario.classes[class as usize].effect());
                    if self.workers[worker as usize].0.silent_class != Some(class) {
                        self.tell(id, Kind::Started);
                    }
                }
                worker::WorkerEffect::Finished { attempt, is_reported: told } => {
                    self.held.0 -= 1;
                    if let Some(of) = self.probes.remove(&attempt) {
                        let _ = of.send(());
                    }
                    if told {
                        self.tell(attempt, Kind::Done);
                    }
                    self.over(attempt, Kind::Done);
                }
                worker::WorkerEffect::Lost(id) => {
                    self.held.0 -= 1;
                    self.probes.remove(&id);
                    self.tell(id, Kind::Lost);
                    self.over(id, Kind::Lost);
                }
                worker::WorkerEffect::ReturnedUnstarted(id) => {
                    self.held.0 -= 1;
                    self.probes.remove(&id);
                    if let Some(job) = self.attempts.get(&id).map(|of| of.job) {
                        self.referee.handed_back(job, id);
                        if let Some(of) = self.jobs.get_mut(&job) {
                            of.keys.record_returned(id);
                        }
                    }
                    self.tell(id, Kind::Returned);
                    self.over(id, Kind::Failed);
                }
                worker::WorkerEffect::Overloaded => {
                    self.fell += 1;
                    self.changed.push(worker);
                }
            }
        }
    }

    /// How far each running job of a worker is, to be called back.
    pub fn progress(&mut self, worker: u32) {
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
            self.tell(id, Kind::Running(share));
        }
    }

    /// An attempt is over at its worker: repeats that were dropped for it hear so.
    fn over(&mut self, id: u64, kind: Kind) {
        let Some(of) = self.attempts.remove(&id) else { return };
        let Some(job) = self.jobs.get_mut(&of.job) else { return };
        for repeat in job.keys.record_end(kind == Kind::Done) {
            self.tell(repeat, kind);
            self.attempts.remove(&repeat);
        }
    }

    fn tell(&mut self, id: u64, kind: Kind) {
        let Some(&Attempt { request, worker, scheduler, .. }) = self.attempts.get(&id) else { return };
        let word = match kind {
            Kind::Started => Word::Started,
            Kind::Running(share) => Word::Running(share),
            Kind::Done => Word::Done(self.report(worker)),
            Kind::Returned => Word::Returned(self.report(worker)),
            Kind::Lost => Word::Lost,
            Kind::Failed => Word::Failed,
        };
        if kind == Kind::Done {
            self.referee.made(RequestId(request));
        }
        let wire = self.wires[worker as usize];
        let way = self.way(self.workers[worker as usize].1, self.zone_of(scheduler));
        let (after, twice) = (way + wire.callback_delay, wire.duplicates_callbacks);
        self.news.push(News { request, worker, scheduler, word, after, twice });
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Started,
    Running(f64),
    Done,
    Lost,
    Returned,
    Failed,
}
