//! A worker: slots, cores, a bounded queue, a cold start, and what can go wrong with it.
//!
//! Jobs that run share the cores when they take more slots than there are. A job of `k` slots does `k`
//! cores' work; alone and warm it takes `work / speed`.
use std::collections::VecDeque;

use copperspread_dispatcher::{LoadReport, Micros, SECOND};

use crate::scenario::{FaultKind, QueueOrder};

/// What a worker is built of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Build {
    /// Cores.
    pub cores: f64,
    /// Slots for jobs that run.
    pub slots: f64,
    /// Speed of a core.
    pub speed: f64,
    /// Most jobs that wait.
    pub queue: usize,
    /// The order in which they start.
    pub order: QueueOrder,
    /// Memory, in megabytes.
    pub memory: f64,
    /// A cold worker begins at this share of its capacity ...
    pub cold_from: f64,
    /// ... and is warm after this long.
    pub cold_for: Micros,
    /// Sent more than so many times its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long while cold, it falls over; none never does.
    pub fall_window: Option<Micros>,
}

/// A job as a worker gets it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offered {
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
    pub worth: f64,
}

impl Offered {
    /// A probe that waits like a job of one slot.
    pub fn probe(attempt: u64, work: f64) -> Offered {
        // Of no class, so that no class's silence keeps its end back.
        Offered { attempt, class: u32::MAX, work, slots: 1.0, memory: 0.0, worth: 0.0 }
    }
}

/// What a worker does with an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It takes the job; whether it has started comes with the effects.
    Taken,
    /// It has no room; the job never runs here.
    Full,
    /// There is no process to connect to.
    Dead,
    /// Nothing answers.
    Vanished,
}

/// What is true of a worker, which no real scheduler sees.
#[derive(Clone, Copy, Debug, Default)]
pub struct Truth {
    /// Seconds until it would begin a job that comes now.
    pub wait: f64,
    /// Seconds of work that a job does a second there.
    pub rate: f64,
    /// It takes jobs.
    pub takes: bool,
}

/// What happened at a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// A job has begun to run.
    Started(u64),
    /// A job is done; `told` is false where the worker keeps it to itself.
    Done {
        /// Whose.
        attempt: u64,
        /// Whether the scheduler hears of it.
        told: bool,
    },
    /// A job was lost with the process.
    Lost(u64),
    /// A waiting job is handed back unstarted.
    HandedBack(u64),
    /// It fell over.
    Fell,
}

/// Whether there is a process, and what it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It takes jobs.
    Up,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// There is no process.
    Dead,
    /// The machine is out of reach.
    Vanished,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: Offered,
    left: f64,
}

/// A worker's state.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it is built of.
    pub build: Build,
    /// Whether it lives.
    pub life: Life,
    /// Its last start; `None` is long ago.
    pub started_at: Option<Micros>,
    /// It runs this many times slower.
    pub slow: f64,
    /// Its jobs do not go on.
    pub stuck: bool,
    /// Of this class it tells nothing.
    pub silent: Option<u32>,
    /// It is listed and refuses connections.
    pub refusing: bool,
    running: Vec<Running>,
    waiting: VecDeque<Offered>,
    used: f64,
    held: f64,
    /// Up to when the running jobs are counted.
    at: Micros,
    /// What was taken lately while cold, for falling over.
    taken: VecDeque<(Micros, f64)>,
    /// Changes with each change of who runs or how fast: wakes that were set before are stale.
    pub epoch: u64,
    /// Core-seconds done.
    pub done_work: f64,
    report: (Micros, LoadReport),
    /// What it tells when it is probed: its figures as they were refreshed, the newest last.
    refreshed: VecDeque<(Micros, LoadReport)>,
    /// Jobs offered since the last refresh.
    came: u32,
}

/// While cold, speeds are looked at anew this often.
const COLD_STEP: Micros = SECOND / 4;

impl Worker {
    /// One that has been up for long.
    pub fn new(build: Build) -> Worker {
        Worker {
            build,
            life: Life::Up,
            started_at: None,
            slow: 1.0,
            stuck: false,
            silent: None,
            refusing: false,
            running: Vec::new(),
            waiting: VecDeque::new(),
            used: 0.0,
            held: 0.0,
            at: 0,
            taken: VecDeque::new(),
            epoch: 0,
            done_work: 0.0,
            report: (
                0,
                LoadReport {
                    free_slots: Some(build.slots),
                    queue: Some(0.0),
                    utilization: Some(0.0),
                    ..LoadReport::default()
                },
            ),
            refreshed: VecDeque::new(),
            came: 0,
        }
    }

    /// The share of its capacity that it has now.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(start) = self.started_at else { return 1.0 };
        let age = now.saturating_sub(start) as f64 / self.build.cold_for.max(1) as f64;
        (self.build.cold_from + (1.0 - self.build.cold_from) * age).min(1.0)
    }

    /// Core-seconds that it can do in a second.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.build.cores.min(self.build.slots) * self.build.speed * self.warmth(now)
    }

    /// How fast each running job goes, in seconds of work a second.
    fn rate(&self, now: Micros) -> f64 {
        if self.stuck {
            return 0.0;
        }
        let share = if self.used > self.build.cores { self.build.cores / self.used } else { 1.0 };
        self.build.speed * self.warmth(now) / self.slow * share
    }

    /// Core-seconds still to do here, waiting ones included.
    pub fn backlog(&self) -> f64 {
        let running: f64 = self.running.iter().map(|of| of.left * of.job.slots).sum();
        running + self.waiting.iter().map(|job| job.work * job.slots).sum::<f64>()
    }

    /// The share of a running job that is done; none of one that does not run here.
    pub fn progress(&self, now: Micros, attempt: u64) -> Option<f64> {
        let of = self.running.iter().find(|of| of.job.attempt == attempt)?;
        let since = now.saturating_sub(self.at) as f64 / SECOND as f64 * self.rate(self.at);
        Some(1.0 - ((of.left - since) / of.job.work.max(1e-12)).clamp(0.0, 1.0))
    }

    /// Jobs that it holds.
    pub fn holds(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether it takes new jobs.
    pub fn takes(&self) -> bool {
        self.life == Life::Up && !self.refusing
    }

    /// Counts the running jobs up to now.
    fn count(&mut self, now: Micros) {
        let span = now.saturating_sub(self.at) as f64 / SECOND as f64;
        let done = span * self.rate(self.at);
        self.at = now;
        for of in &mut self.running {
            let did = done.min(of.left);
            self.done_work += did * of.job.slots;
            of.left -= did;
        }
    }

    /// A job comes.
    pub fn offer(&mut self, now: Micros, job: Offered, effects: &mut Vec<Effect>) -> Offer {
        match self.life {
            Life::Vanished => return Offer::Vanished,
            Life::Dead => return Offer::Dead,
            _ if self.refusing => return Offer::Dead,
            Life::Draining => return Offer::Full,
            Life::Up => {}
        }
        self.came += 1;
        self.count(now);
        let fits = self.fits(&job);
        if !fits && self.waiting.len() >= self.build.queue {
            return Offer::Full;
        }
        if self.falls(now, job.work * job.slots) {
            effects.push(Effect::Fell);
            self.die(now, Life::Dead, effects);
            effects.push(Effect::Lost(job.attempt));
            return Offer::Taken;
        }
        self.waiting.push_back(job);
        self.start(effects);
        Offer::Taken
    }

    fn fits(&self, job: &Offered) -> bool {
        // A job wider than the machine runs alone.
        let memory = self.held + job.memory <= self.build.memory;
        (memory && self.used + job.slots <= self.build.slots) || self.running.is_empty()
    }

    /// Whether what it was sent while cold, this job included, is more than it bears.
    fn falls(&mut self, now: Micros, load: f64) -> bool {
        let Some(window) = self.build.fall_window else { return false };
        if self.warmth(now) >= 1.0 {
            self.taken.clear();
            return false;
        }
        self.taken.push_back((now, load));
        while self.taken.front().is_some_and(|&(at, _)| at + window < now) {
            self.taken.pop_front();
        }
        let sent: f64 = self.taken.iter().map(|&(_, load)| load).sum();
        sent > self.build.fall_multiple * self.capacity(now) * window as f64 / SECOND as f64
    }

    fn start(&mut self, effects: &mut Vec<Effect>) {
        loop {
            let next = match self.build.order {
                QueueOrder::Fifo => self.waiting.front().filter(|job| self.fits(job)).map(|_| 0),
                QueueOrder::Backfill => self.waiting.iter().position(|job| self.fits(job)),
                QueueOrder::Priority => {
                    let places = self.waiting.iter().enumerate();
                    let first = places
                        .max_by(|(a, one), (b, other)| one.worth.total_cmp(&other.worth).then(b.cmp(a)));
                    first.filter(|(_, job)| self.fits(job)).map(|(at, _)| at)
                }
            };
            let Some(job) = next.and_then(|at| self.waiting.remove(at)) else { break };
            self.used += job.slots;
            self.held += job.memory;
            self.running.push(Running { job, left: job.work });
            effects.push(Effect::Started(job.attempt));
        }
        self.epoch += 1;
    }

    /// Time goes on to now: what is done by then ends, and what waits starts.
    pub fn advance(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.count(now);
        // Rounding to whole microseconds leaves up to one of work.
        let rest = 2.0 / SECOND as f64 * self.build.speed.max(1.0);
        let mut at = 0;
        while at < self.running.len() {
            if self.running[at].left > rest || self.stuck {
                at += 1;
                continue;
            }
            let of = self.running.remove(at);
            self.let_go(&of.job);
            let told = self.silent != Some(of.job.class);
            effects.push(Effect::Done { attempt: of.job.attempt, told });
        }
        self.start(effects);
    }

    /// When it must be looked at again, if at all.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let rate = self.rate(now);
        let least = self.running.iter().map(|of| of.left).fold(f64::INFINITY, f64::min);
        if !least.is_finite() || rate <= 0.0 {
            return None;
        }
        let ends = now + (least / rate * SECOND as f64).ceil().min(1e15) as Micros;
        if self.warmth(now) < 1.0 { Some(ends.min(now + COLD_STEP)) } else { Some(ends) }
    }

    /// What a scheduler no longer waits for stops, waiting or running; whether it was here.
    pub fn cancel(&mut self, now: Micros, attempt: u64, effects: &mut Vec<Effect>) -> bool {
        self.count(now);
        if let Some(at) = self.running.iter().position(|of| of.job.attempt == attempt) {
            let of = self.running.remove(at);
            self.let_go(&of.job);
        } else if let Some(at) = self.waiting.iter().position(|job| job.attempt == attempt) {
            self.waiting.remove(at);
        } else {
            return false;
        }
        self.start(effects);
        true
    }

    fn let_go(&mut self, job: &Offered) {
        self.used -= job.slots;
        self.held -= job.memory;
        if self.running.is_empty() {
            (self.used, self.held) = (0.0, 0.0);
        }
    }

    /// Work beside the jobs, as for an answer: one core does it, and what runs there waits.
    pub fn charge(&mut self, now: Micros, work: f64) {
        self.count(now);
        for of in &mut self.running {
            of.left += work / self.build.cores;
        }
        self.epoch += 1;
    }

    /// A change from outside: speeds, silence, refusal.
    pub fn change(&mut self, now: Micros, change: impl FnOnce(&mut Worker)) {
        self.count(now);
        change(self);
        self.epoch += 1;
    }

    /// It drains; with `hand_back`, waiting jobs are handed back unstarted.
    pub fn drain(&mut self, now: Micros, hand_back: bool, effects: &mut Vec<Effect>) {
        self.count(now);
        if self.life == Life::Up {
            self.life = Life::Draining;
            if hand_back {
                effects.extend(self.waiting.drain(..).map(|job| Effect::HandedBack(job.attempt)));
            }
        }
        self.epoch += 1;
    }

    /// Its process ends with all that it has, or its machine goes out of reach and tells nothing.
    pub fn die(&mut self, now: Micros, life: Life, effects: &mut Vec<Effect>) {
        self.count(now);
        self.life = life;
        let told = life == Life::Dead;
        for attempt in
            self.running.drain(..).map(|of| of.job.attempt).chain(self.waiting.drain(..).map(|j| j.attempt))
        {
            if told {
                effects.push(Effect::Lost(attempt));
            }
        }
        (self.used, self.held) = (0.0, 0.0);
        self.taken.clear();
        self.epoch += 1;
    }

    /// A new process, cold.
    pub fn restart(&mut self, now: Micros) {
        self.count(now);
        (self.life, self.started_at) = (Life::Up, Some(now));
        (self.slow, self.stuck, self.silent, self.refusing) = (1.0, false, None, false);
        self.refreshed.clear();
        self.epoch += 1;
    }

    /// A fault that meets it begins or is over; whether a new process started.
    pub fn turn(&mut self, now: Micros, what: FaultKind, begins: bool, effects: &mut Vec<Effect>) -> bool {
        match what {
            FaultKind::Slow(factor) => self.change(now, |of| of.slow = if begins { factor } else { 1.0 }),
            FaultKind::Stuck => self.change(now, |of| of.stuck = begins),
            FaultKind::Silent(class) => self.change(now, |of| of.silent = begins.then_some(class)),
            FaultKind::Refusing => self.change(now, |of| of.refusing = begins),
            FaultKind::Crash if begins => self.die(now, Life::Dead, effects),
            FaultKind::Vanish if begins => self.die(now, Life::Vanished, effects),
            FaultKind::Drain if begins => self.drain(now, true, effects),
            FaultKind::Crash | FaultKind::Vanish | FaultKind::Drain => {
                // What still ran there ends with the old process.
                self.die(now, Life::Dead, effects);
                self.restart(now);
                return true;
            }
            _ => {}
        }
        false
    }

    /// What is true of it now, for an oracle.
    pub fn truth(&self, now: Micros) -> Truth {
        let rate = self.build.speed * self.warmth(now) / self.slow;
        let free = self.waiting.is_empty() && self.used < self.build.slots.min(self.build.cores);
        let wait = if free { 0.0 } else { self.backlog() / (self.build.cores.min(self.build.slots) * rate) };
        Truth { wait, rate, takes: self.takes() && !self.stuck }
    }

    /// Its figures for probes are refreshed, `every` so long; each has its noise, of so many slots.
    pub fn refresh(&mut self, now: Micros, every: Micros, mut noise: impl FnMut() -> f64) {
        let slots = self.build.slots;
        let came = f64::from(std::mem::take(&mut self.came)) * SECOND as f64 / every.max(1) as f64;
        let report = LoadReport {
            qps: Some((came + noise()).max(0.0)),
            in_flight: Some((self.holds() as f64 + noise()).max(0.0)),
            free_slots: Some((slots - self.used + noise()).clamp(0.0, slots)),
            ..LoadReport::default()
        };
        self.refreshed.push_back((now, report));
    }

    /// What it tells when it is probed: the newest figures that were refreshed `late` ago or before.
    pub fn probed(&mut self, now: Micros, late: Micros) -> Option<LoadReport> {
        while self.refreshed.get(1).is_some_and(|&(at, _)| at + late <= now) {
            self.refreshed.pop_front();
        }
        self.refreshed.front().filter(|&&(at, _)| at + late <= now).map(|&(_, report)| report)
    }

    /// Its load report, as old as its refreshing makes it; `noise` spreads the figures.
    pub fn report(&mut self, now: Micros, refresh: Micros, noise: impl FnOnce() -> f64) -> LoadReport {
        if now >= self.report.0 + refresh {
            let free = (self.build.slots - self.used).max(0.0);
            let report = LoadReport {
                free_slots: Some((free + noise()).clamp(0.0, self.build.slots)),
                queue: Some(self.waiting.len() as f64),
                utilization: Some((self.used / self.build.cores).min(1.0)),
                ..LoadReport::default()
            };
            self.report = (now, report);
        }
        self.report.1
    }
}
