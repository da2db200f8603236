//! A worker: slots, cores, a bounded queue, a cold start, and what can go wrong with it.
//!
//! Jobs that run share the cores when they take more slots than there are. A job of `k` slots does `k`
//! cores' work; alone and warm it takes `work / speed`.
use std::collections::VecDeque;

use copperspread_dispatcher::{LoadReport, Micros, SECOND};

use crate::scenario::{Order, Trouble};

/// What a worker is built of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerSpec {
    /// Cores.
    pub cores: f64,
    /// Slots for jobs that run.
    pub slots: f64,
    /// Speed of a core.
    pub speed: f64,
    /// Most jobs that wait.
    pub max_waiting: usize,
    /// The order in which they start.
    pub order: Order,
    /// Memory, in megabytes.
    pub memory: f64,
    /// A cold worker begins at this share of its capacity ...
    pub slow_start_fraction: f64,
    /// ... and is warm after this long.
    pub slow_start_duration: Micros,
    /// Sent more than so many times its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long while cold, it falls over; none never does.
    pub overload_window: Option<Micros>,
}

/// A job as a worker gets it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OfferedJob {
    /// Whose attempt it is, by a number that is never used twice.
    pub attempt: u64,
    /// The job's class.
    pub class: u32,
    /// Its work: seconds on a core of speed 1.
    pub work: f64,
    /// Slots while it runs.
    pub slots: f64,
    /// Memory while it runs, in megabytes.
    pub memory: f64,
    /// What a unit of its work is worth, where the order goes by that.
    pub weight: f64,
}

impl OfferedJob {
    /// A probe that waits like a job of one slot.
    pub fn load_query(attempt: u64, work: f64) -> OfferedJob {
        // Of no class, so that no class's silence keeps its end back.
        OfferedJob { attempt, class: u32::MAX, work, slots: 1.0, memory: 0.0, weight: 0.0 }
    }
}

/// What a worker does with an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// It takes the job; whether it has started comes with the effects.
    Accepted,
    /// It has no room; the job never runs here.
    QueueFull,
    /// There is no process to connect to.
    ConnectionRefused,
    /// Nothing answers.
    Unreachable,
}

/// What is true of a worker, which no real scheduler sees.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueState {
    /// Seconds until it would begin a job that comes now.
    pub wait: f64,
    /// Seconds of work that a job does a second there.
    pub rate: f64,
    /// It takes jobs.
    pub accepts_jobs: bool,
}

/// What happened at a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerEffect {
    /// A job has begun to run.
    Started(u64),
    /// A job is done; `told` is false where the worker keeps it to itself.
    Finished {
        /// Whose.
        attempt: u64,
        /// Whether the scheduler hears of it.
        is_reported: bool,
    },
    /// A job was lost with the process.
    Lost(u64),
    /// A waiting job is handed back unstarted.
    ReturnedUnstarted(u64),
    /// It fell over.
    Overloaded,
}

/// Whether there is a process, and what it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It takes jobs.
    Up,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// There is no process.
    Stopped,
    /// The machine is out of reach.
    Unreachable,
}

#[derive(Clone, Copy, Debug)]
struct RunningJob {
    job: OfferedJob,
    remaining_work: f64,
}

/// A worker's state.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it is built of.
    pub spec: WorkerSpec,
    /// Whether it lives.
    pub process: ProcessState,
    /// Its last start; `None` is long ago.
    pub started_at: Option<Micros>,
    /// It runs this many times slower.
    pub slowdown: f64,
    /// Its jobs do not go on.
    pub is_stuck: bool,
    /// Of this class it tells nothing.
    pub silent_class: Option<u32>,
    /// It is listed and refuses connections.
    pub is_refusing: bool,
    running: Vec<RunningJob>,
    waiting: VecDeque<OfferedJob>,
    used_slots: f64,
    used_memory: f64,
    /// Up to when the running jobs are counted.
    accounted_until: Micros,
    /// What was taken lately while cold, for falling over.
    slow_start_load: VecDeque<(Micros, f64)>,
    /// Changes with each change of who runs or how fast: wakes that were set before are stale.
    pub wake_epoch: u64,
    /// Core-seconds done.
    pub completed_work: f64,
    last_report: (Micros, LoadReport),
    /// What it tells when it is probed: its figures as they were refreshed, the newest last.
    refreshed_reports: VecDeque<(Micros, LoadReport)>,
    /// Jobs offered since the last refresh.
    offered_since_refresh: u32,
}

/// While cold, speeds are looked at anew this often.
const SLOW_START_STEP: Micros = SECOND / 4;

impl Worker {
    /// One that has been up for long.
    pub fn new(build: WorkerSpec) -> Worker {
        Worker {
            spec: build,
            process: ProcessState::Up,
            started_at: None,
            slowdown: 1.0,
            is_stuck: false,
            silent_class: None,
            is_refusing: false,
            running: Vec::new(),
            waiting: VecDeque::new(),
            used_slots: 0.0,
            used_memory: 0.0,
            accounted_until: 0,
            slow_start_load: VecDeque::new(),
            wake_epoch: 0,
            completed_work: 0.0,
            last_report: (
                0,
                LoadReport {
                    free_slots: Some(build.slots),
                    queue: Some(0.0),
                    utilization: Some(0.0),
                    ..LoadReport::default()
                },
            ),
            refreshed_reports: VecDeque::new(),
            offered_since_refresh: 0,
        }
    }

    /// The share of its capacity that it has now.
    pub fn capacity_fraction(&self, now: Micros) -> f64 {
        let Some(start) = self.started_at else { return 1.0 };
        let age = now.saturating_sub(start) as f64 / self.spec.slow_start_duration.max(1) as f64;
        (self.spec.slow_start_fraction + (1.0 - self.spec.slow_start_fraction) * age).min(1.0)
    }

    /// Core-seconds that it can do in a second.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.spec.cores.min(self.spec.slots) * self.spec.speed * self.capacity_fraction(now)
    }

    /// How fast each running job goes, in seconds of work a second.
    fn rate(&self, now: Micros) -> f64 {
        if self.is_stuck {
            return 0.0;
        }
        let share = if self.used_slots > self.spec.cores { self.spec.cores / self.used_slots } else { 1.0 };
        self.spec.speed * self.capacity_fraction(now) / self.slowdown * share
    }

    /// Core-seconds still to do here, waiting ones included.
    pub fn backlog(&self) -> f64 {
        let running: f64 = self.running.iter().map(|of| of.remaining_work * of.job.slots).sum();
        running + self.waiting.iter().map(|job| job.work * job.slots).sum::<f64>()
    }

    /// The share of a running job that is done; none of one that does not run here.
    pub fn progress(&self, now: Micros, attempt: u64) -> Option<f64> {
        let of = self.running.iter().find(|of| of.job.attempt == attempt)?;
        let since =
            now.saturating_sub(self.accounted_until) as f64 / SECOND as f64 * self.rate(self.accounted_until);
        Some(1.0 - ((of.remaining_work - since) / of.job.work.max(1e-12)).clamp(0.0, 1.0))
    }

    /// Jobs that it holds.
    pub fn job_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether it takes new jobs.
    pub fn accepts_jobs(&self) -> bool {
        self.process == ProcessState::Up && !self.is_refusing
    }

    /// Counts the running jobs up to now.
    fn account_progress(&mut self, now: Micros) {
        let span = now.saturating_sub(self.accounted_until) as f64 / SECOND as f64;
        let done = span * self.rate(self.accounted_until);
        self.accounted_until = now;
        for of in &mut self.running {
            let did = done.min(of.remaining_work);
            self.completed_work += did * of.job.slots;
            of.remaining_work -= did;
        }
    }

    /// A job comes.
    pub fn offer(&mut self, now: Micros, job: OfferedJob, effects: &mut Vec<WorkerEffect>) -> OfferResult {
        match self.process {
            ProcessState::Unreachable => return OfferResult::Unreachable,
            ProcessState::Stopped => return OfferResult::ConnectionRefused,
            _ if self.is_refusing => return OfferResult::ConnectionRefused,
            ProcessState::Draining => return OfferResult::QueueFull,
            ProcessState::Up => {}
        }
        self.offered_since_refresh += 1;
        self.account_progress(now);
        let fits = self.can_start(&job);
        if !fits && self.waiting.len() >= self.spec.max_waiting {
            return OfferResult::QueueFull;
        }
        if self.becomes_overloaded(now, job.work * job.slots) {
            effects.push(WorkerEffect::Overloaded);
            self.stop(now, ProcessState::Stopped, effects);
            effects.push(WorkerEffect::Lost(job.attempt));
            return OfferResult::Accepted;
        }
        self.waiting.push_back(job);
        self.start_waiting_jobs(effects);
        OfferResult::Accepted
    }

    fn can_start(&self, job: &OfferedJob) -> bool {
        // A job wider than the machine runs alone.
        let memory = self.used_memory + job.memory <= self.spec.memory;
        (memory && self.used_slots + job.slots <= self.spec.slots) || self.running.is_empty()
    }

    /// Whether what it was sent while cold, this job included, is more than it bears.
    fn becomes_overloaded(&mut self, now: Micros, load: f64) -> bool {
        let Some(window) = self.spec.overload_window else { return false };
        if self.capacity_fraction(now) >= 1.0 {
            self.slow_start_load.clear();
            return false;
        }
        self.slow_start_load.push_back((now, load));
        while self.slow_start_load.front().is_some_and(|&(at, _)| at + window < now) {
            self.slow_start_load.pop_front();
        }
        let sent: f64 = self.slow_start_load.iter().map(|&(_, load)| load).sum();
        sent > self.spec.overload_multiple * self.capacity(now) * window as f64 / SECOND as f64
    }

    fn start_waiting_jobs(&mut self, effects: &mut Vec<WorkerEffect>) {
        loop {
            let next = match self.spec.order {
                Order::Fifo => self.waiting.front().filter(|job| self.can_start(job)).map(|_| 0),
                Order::Backfill => self.waiting.iter().position(|job| self.can_start(job)),
                Order::Priority => {
                    let places = self.waiting.iter().enumerate();
                    let first = places
                        .max_by(|(a, one), (b, other)| one.weight.total_cmp(&other.weight).then(b.cmp(a)));
                    first.filter(|(_, job)| self.can_start(job)).map(|(at, _)| at)
                }
            };
            let Some(job) = next.and_then(|at| self.waiting.remove(at)) else { break };
            self.used_slots += job.slots;
            self.used_memory += job.memory;
            self.running.push(RunningJob { job, remaining_work: job.work });
            effects.push(WorkerEffect::Started(job.attempt));
        }
        self.wake_epoch += 1;
    }

    /// Time goes on to now: what is done by then ends, and what waits starts.
    pub fn advance(&mut self, now: Micros, effects: &mut Vec<WorkerEffect>) {
        self.account_progress(now);
        // Rounding to whole microseconds leaves up to one of work.
        let rest = 2.0 / SECOND as f64 * self.spec.speed.max(1.0);
        let mut at = 0;
        while at < self.running.len() {
            if self.running[at].remaining_work > rest || self.is_stuck {
                at += 1;
                continue;
            }
            let of = self.running.remove(at);
            self.release(&of.job);
            let told = self.silent_class != Some(of.job.class);
            effects.push(WorkerEffect::Finished { attempt: of.job.attempt, is_reported: told });
        }
        self.start_waiting_jobs(effects);
    }

    /// When it must be looked at again, if at all.
    pub fn next_wake(&self, now: Micros) -> Option<Micros> {
        let rate = self.rate(now);
        let least = self.running.iter().map(|of| of.remaining_work).fold(f64::INFINITY, f64::min);
        if !least.is_finite() || rate <= 0.0 {
            return None;
        }
        let ends = now + (least / rate * SECOND as f64).ceil().min(1e15) as Micros;
        if self.capacity_fraction(now) < 1.0 { Some(ends.min(now + SLOW_START_STEP)) } else { Some(ends) }
    }

    /// What a scheduler no longer waits for stops, waiting or running; whether it was here.
    pub fn cancel(&mut self, now: Micros, attempt: u64, effects: &mut Vec<WorkerEffect>) -> bool {
        self.account_progress(now);
        if let Some(at) = self.running.iter().position(|of| of.job.attempt == attempt) {
            let of = self.running.remove(at);
            self.release(&of.job);
        } else if let Some(at) = self.waiting.iter().position(|job| job.attempt == attempt) {
            self.waiting.remove(at);
        } else {
            return false;
        }
        self.start_waiting_jobs(effects);
        true
    }

    fn release(&mut self, job: &OfferedJob) {
        self.used_slots -= job.slots;
        self.used_memory -= job.memory;
        if self.running.is_empty() {
            (self.used_slots, self.used_memory) = (0.0, 0.0);
        }
    }

    /// Work beside the jobs, as for an answer: one core does it, and what runs there waits.
    pub fn charge_side_work(&mut self, now: Micros, work: f64) {
        self.account_progress(now);
        for of in &mut self.running {
            of.remaining_work += work / self.spec.cores;
        }
        self.wake_epoch += 1;
    }

    /// A change from outside: speeds, silence, refusal.
    pub fn apply_change(&mut self, now: Micros, change: impl FnOnce(&mut Worker)) {
        self.account_progress(now);
        change(self);
        self.wake_epoch += 1;
    }

    /// It drains; with `hand_back`, waiting jobs are handed back unstarted.
    pub fn drain(&mut self, now: Micros, hand_back: bool, effects: &mut Vec<WorkerEffect>) {
        self.account_progress(now);
        if self.process == ProcessState::Up {
            self.process = ProcessState::Draining;
            if hand_back {
                effects
                    .extend(self.waiting.drain(..).map(|job| WorkerEffect::ReturnedUnstarted(job.attempt)));
            }
        }
        self.wake_epoch += 1;
    }

    /// Its process ends with all that it has, or its machine goes out of reach and tells nothing.
    pub fn stop(&mut self, now: Micros, life: ProcessState, effects: &mut Vec<WorkerEffect>) {
        self.account_progress(now);
        self.process = life;
        let told = life == ProcessState::Stopped;
        for attempt in
            self.running.drain(..).map(|of| of.job.attempt).chain(self.waiting.drain(..).map(|j| j.attempt))
        {
            if told {
                effects.push(WorkerEffect::Lost(attempt));
            }
        }
        (self.used_slots, self.used_memory) = (0.0, 0.0);
        self.slow_start_load.clear();
        self.wake_epoch += 1;
    }

    /// A new process, cold.
    pub fn restart(&mut self, now: Micros) {
        self.account_progress(now);
        (self.process, self.started_at) = (ProcessState::Up, Some(now));
        (self.slowdown, self.is_stuck, self.silent_class, self.is_refusing) = (1.0, false, None, false);
        self.refreshed_reports.clear();
        self.wake_epoch += 1;
    }

    /// A fault that meets it begins or is over; whether a new process started.
    pub fn apply_fault(
        &mut self,
        now: Micros,
        what: Trouble,
        begins: bool,
        effects: &mut Vec<WorkerEffect>,
    ) -> bool {
        match what {
            Trouble::Slow(factor) => {
                self.apply_change(now, |of| of.slowdown = if begins { factor } else { 1.0 })
            }
            Trouble::Stuck => self.apply_change(now, |of| of.is_stuck = begins),
            Trouble::Silent(class) => self.apply_change(now, |of| of.silent_class = begins.then_some(class)),
            Trouble::Refusing => self.apply_change(now, |of| of.is_refusing = begins),
            Trouble::Crash if begins => self.stop(now, ProcessState::Stopped, effects),
            Trouble::Vanish if begins => self.stop(now, ProcessState::Unreachable, effects),
            Trouble::Drain if begins => self.drain(now, true, effects),
            Trouble::Crash | Trouble::Vanish | Trouble::Drain => {
                // What still ran there ends with the old process.
                self.stop(now, ProcessState::Stopped, effects);
                self.restart(now);
                return true;
            }
            _ => {}
        }
        false
    }

    /// What is true of it now, for an oracle.
    pub fn true_state(&self, now: Micros) -> TrueState {
        let rate = self.spec.speed * self.capacity_fraction(now) / self.slowdown;
        let free = self.waiting.is_empty() && self.used_slots < self.spec.slots.min(self.spec.cores);
        let wait = if free { 0.0 } else { self.backlog() / (self.spec.cores.min(self.spec.slots) * rate) };
        TrueState { wait, rate, accepts_jobs: self.accepts_jobs() && !self.is_stuck }
    }

    /// Its figures for probes are refreshed, `every` so long; each has its noise, of so many slots.
    pub fn refresh_load_report(&mut self, now: Micros, every: Micros, mut noise: impl FnMut() -> f64) {
        let slots = self.spec.slots;
        let came =
            f64::from(std::mem::take(&mut self.offered_since_refresh)) * SECOND as f64 / every.max(1) as f64;
        let report = LoadReport {
            qps: Some((came + noise()).max(0.0)),
            in_flight: Some((self.job_count() as f64 + noise()).max(0.0)),
            free_slots: Some((slots - self.used_slots + noise()).clamp(0.0, slots)),
            ..LoadReport::default()
        };
        self.refreshed_reports.push_back((now, report));
    }

    /// What it tells when it is probed: the newest figures that were refreshed `late` ago or before.
    pub fn answer_load_query(&mut self, now: Micros, late: Micros) -> Option<LoadReport> {
        while self.refreshed_reports.get(1).is_some_and(|&(at, _)| at + late <= now) {
            self.refreshed_reports.pop_front();
        }
        self.refreshed_reports.front().filter(|&&(at, _)| at + late <= now).map(|&(_, report)| report)
    }

    /// Its load report, as old as its refreshing makes it; `noise` spreads the figures.
    pub fn load_report(&mut self, now: Micros, refresh: Micros, noise: impl FnOnce() -> f64) -> LoadReport {
        if now >= self.last_report.0 + refresh {
            let free = (self.spec.slots - self.used_slots).max(0.0);
            let report = LoadReport {
                free_slots: Some((free + noise()).clamp(0.0, self.spec.slots)),
                queue: Some(self.waiting.len() as f64),
                utilization: Some((self.used_slots / self.spec.cores).min(1.0)),
                ..LoadReport::default()
            };
            self.last_report = (now, report);
        }
        self.last_report.1
    }
}
