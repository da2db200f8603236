//! What a run came to.
use std::collections::BTreeMap;

use copperspread_dispatcher::{Micros, SECOND};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::model::arrivals::Arrival;
use crate::model::worker::Worker;
use crate::referee::{Breach, Rule};
use crate::scenario::{Class, Scenario};

/// What became of a client's job in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served within its wanted time.
    InTime,
    /// Served, and too late.
    Late,
    /// Turned away at its last try.
    Refused,
    /// Failed.
    Failed,
    /// Its client gave up with no answer.
    Lost,
}

/// Worth asked for and what became of it. The parts add up to what was asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worth {
    /// Asked for.
    pub asked: f64,
    /// Answered in time.
    pub in_time: f64,
    /// Answered late.
    pub late: f64,
    /// Refused.
    pub refused: f64,
    /// Failed.
    pub failed: f64,
    /// Not answered.
    pub lost: f64,
}

impl Worth {
    fn add(&mut self, worth: f64, end: End) {
        self.asked += worth;
        *match end {
            End::InTime => &mut self.in_time,
            End::Late => &mut self.late,
            End::Refused => &mut self.refused,
            End::Failed => &mut self.failed,
            End::Lost => &mut self.lost,
        } += worth;
    }

    /// The share that was answered in time.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 { self.in_time / self.asked } else { 1.0 }
    }
}

/// One class's part of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OfClass {
    /// Its name.
    pub name: String,
    /// Jobs asked for.
    pub jobs: u64,
    /// Their worth.
    pub worth: Worth,
    /// Mean time of served jobs, in milliseconds.
    pub mean_ms: f64,
    /// Their times at the median, 99% and the most.
    pub served_ms: [f64; 3],
}

/// One worker's part of a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OfWorker {
    /// Its zone.
    pub zone: u32,
    /// Its kind: its group's place in the scenario.
    pub kind: u32,
    /// Core-seconds that it could have done in the scenario's time, warm and up all through.
    pub capacity: f64,
    /// Core-seconds that it did.
    pub done: f64,
}

/// What a run came to. Two runs of one seed are equal to the byte in JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Jobs of clients.
    pub jobs: u64,
    /// Events played.
    pub events: u64,
    /// All worth.
    pub worth: Worth,
    /// By class.
    pub classes: Vec<OfClass>,
    /// By second of asking.
    pub seconds: Vec<Worth>,
    /// By the clients' zone, and in it by class.
    pub zones: Vec<Vec<Worth>>,
    /// By worker.
    pub workers: Vec<OfWorker>,
    /// Attempts a job.
    pub attempts: f64,
    /// The share of attempts that went to another zone.
    pub crossing: f64,
    /// Probes that were sent.
    #[serde(default, skip_serializing_if = "is_none")]
    pub probes: u64,
    /// What they cost, in the share of the worth.
    #[serde(default, skip_serializing_if = "is_free")]
    pub probe_cost: f64,
    /// Workers that fell over.
    pub fell: u64,
    /// Core-seconds done.
    pub work_done: f64,
    /// Mean of the jobs in the workers, over time.
    pub held: f64,
    /// Breaches by rule.
    pub breaches: BTreeMap<Rule, u64>,
    /// The first of them.
    pub examples: Vec<Breach>,
    /// In real time: what the machine showed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub measured: Option<Measured>,
}

fn is_none(count: &u64) -> bool {
    *count == 0
}

fn is_free(cost: &f64) -> bool {
    *cost == 0.0
}

impl Outcome {
    /// The share of the worth that was served in time, less what probes cost.
    pub fn score(&self) -> f64 {
        self.worth.share() - self.probe_cost
    }
}

/// What the machine showed in a run in real time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    /// How late the emulator was itself in sending, in milliseconds, at 99% and at most.
    pub own_lag_ms: [f64; 2],
    /// Processor time of the schedulers for each job, in microseconds.
    pub cpu_us_a_job: f64,
    /// Cores that the schedulers used, all together.
    pub cores: f64,
}

/// What a drive has when its run is over.
pub struct Played<'a> {
    /// What was played.
    pub scenario: &'a Scenario,
    /// Who decided.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Events of virtual time.
    pub events: u64,
    /// What became of jobs.
    pub tally: &'a Tally,
    /// The workers with their zones.
    pub workers: &'a [(Worker, u32)],
    /// Their kinds.
    pub kinds: &'a [u32],
    /// Attempts that were sent; in real time, that reached a worker.
    pub attempts: u64,
    /// Those of them that crossed zones.
    pub crossed: u64,
    /// Probes that were sent.
    pub probes: u64,
    /// Workers that fell over.
    pub fell: u64,
    /// Jobs in the workers, added up over microseconds.
    pub held: f64,
    /// The referee's word.
    pub verdict: (BTreeMap<Rule, u64>, Vec<Breach>),
    /// What the machine showed.
    pub measured: Option<Measured>,
}

impl Played<'_> {
    /// What it came to.
    pub fn outcome(self) -> Outcome {
        let (scenario, tally) = (self.scenario, self.tally);
        let names: Vec<String> = scenario.classes.iter().map(|class| class.name.clone()).collect();
        let (jobs, (breaches, examples)) = (tally.jobs(), self.verdict);
        Outcome {
            scenario: scenario.name.clone(),
            policy: self.policy,
            seed: self.seed,
            jobs,
            events: self.events,
            worth: tally.worth,
            classes: tally.classes(&names),
            seconds: tally.seconds.clone(),
            zones: tally.zones.clone(),
            workers: of_workers(self.workers, self.kinds, scenario.seconds),
            attempts: self.attempts as f64 / jobs.max(1) as f64,
            crossing: self.crossed as f64 / self.attempts.max(1) as f64,
            probes: self.probes,
            probe_cost: scenario.reports.probe.map_or(0.0, |probe| probe.price) * self.probes as f64
                / jobs.max(1) as f64,
            fell: self.fell,
            work_done: self.workers.iter().map(|(worker, _)| worker.completed_work).sum(),
            held: self.held / (scenario.seconds * SECOND as f64),
            breaches,
            examples,
            measured: self.measured,
        }
    }
}

/// The workers' parts, over so many seconds.
fn of_workers(workers: &[(Worker, u32)], kinds: &[u32], seconds: f64) -> Vec<OfWorker> {
    let one = |((worker, zone), kind): (&(Worker, u32), &u32)| OfWorker {
        zone: *zone,
        kind: *kind,
        capacity: worker.spec.cores.min(worker.spec.slots) * worker.spec.speed * seconds,
        // Work counts in seconds at speed 1, capacity in what the worker's own speed gives.
        done: worker.completed_work,
    };
    workers.iter().zip(kinds).map(one).collect()
}

/// Counts while a run goes on.
pub struct Tally {
    worth: Worth,
    classes: Vec<(u64, Worth, Histogram<u64>)>,
    seconds: Vec<Worth>,
    zones: Vec<Vec<Worth>>,
}

impl Tally {
    /// For so many classes and zones.
    pub fn new(classes: usize, zones: u32) -> Tally {
        // Up to a day, to three figures.
        let empty =
            || Histogram::new_with_max(86_400 * SECOND, 3).unwrap_or_else(|_| unreachable!("good bounds"));
        let zones = vec![vec![Worth::default(); classes]; zones as usize];
        let classes = (0..classes).map(|_| (0, Worth::default(), empty())).collect();
        Tally { worth: Worth::default(), classes, seconds: Vec::new(), zones }
    }

    /// A client's job has ended, in a zone of so many; `took` is from its first try.
    pub fn ended(&mut self, of: &Arrival, class: &Class, took: Micros, end: End) {
        let worth = class.worth * of.work * of.slots;
        let zone = of.scheduler as usize % self.zones.len();
        let (asked_at, class) = (of.at, of.class as usize);
        self.zones[zone][class].add(worth, end);
        self.worth.add(worth, end);
        let of = &mut self.classes[class];
        of.0 += 1;
        of.1.add(worth, end);
        if matches!(end, End::InTime | End::Late) {
            of.2.saturating_record(took);
        }
        let second = (asked_at / SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Worth::default());
        }
        self.seconds[second].add(worth, end);
    }

    /// Jobs that have ended.
    pub fn jobs(&self) -> u64 {
        self.classes.iter().map(|of| of.0).sum()
    }

    /// The classes' parts, by their names.
    pub fn classes(&self, names: &[String]) -> Vec<OfClass> {
        let one = |(name, (jobs, worth, times)): (&String, &(u64, Worth, Histogram<u64>))| OfClass {
            name: name.clone(),
            jobs: *jobs,
            worth: *worth,
            mean_ms: times.mean() / 1e3,
            served_ms: [0.5, 0.99, 1.0].map(|quantile| times.value_at_quantile(quantile) as f64 / 1e3),
        };
        names.iter().zip(&self.classes).map(one).collect()
    }
}
