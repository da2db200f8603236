//! What a run came to.
use std::collections::BTreeMap;

use copperspread_dispatcher::{Micros, SECOND};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::model::arrivals::Arrival;
use crate::model::worker::Worker;
use crate::rule_checker::{Rule, RuleViolation, Violations};
use crate::scenario::{JobClass, Scenario};

/// What became of a client's job in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Served within its wanted time.
    InTime,
    /// Served, and too late.
    Late,
    /// Turned away at its last try.
    Rejected,
    /// Failed.
    Failed,
    /// Its client gave up with no answer.
    Unanswered,
}

/// Worth asked for and what became of it. The parts add up to what was asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightTotals {
    /// Asked for.
    #[serde(rename = "asked")]
    pub requested: f64,
    /// Answered in time.
    pub in_time: f64,
    /// Answered late.
    pub late: f64,
    /// Refused.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// Failed.
    pub failed: f64,
    /// Not answered.
    #[serde(rename = "lost")]
    pub unanswered: f64,
}

impl WeightTotals {
    fn add(&mut self, worth: f64, end: JobOutcome) {
        self.requested += worth;
        *match end {
            JobOutcome::InTime => &mut self.in_time,
            JobOutcome::Late => &mut self.late,
            JobOutcome::Rejected => &mut self.rejected,
            JobOutcome::Failed => &mut self.failed,
            JobOutcome::Unanswered => &mut self.unanswered,
        } += worth;
    }

    /// The share that was answered in time.
    pub fn in_time_share(&self) -> f64 {
        if self.requested > 0.0 { self.in_time / self.requested } else { 1.0 }
    }
}

/// One class's part of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassOutcome {
    /// Its name.
    pub name: String,
    /// Jobs asked for.
    pub jobs: u64,
    /// Their worth.
    #[serde(rename = "worth")]
    pub weight: WeightTotals,
    /// Mean time of served jobs, in milliseconds.
    #[serde(rename = "mean_ms")]
    pub mean_latency_ms: f64,
    /// Their times at the median, 99% and the most.
    #[serde(rename = "served_ms")]
    pub latency_ms: [f64; 3],
}

/// One worker's part of a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerOutcome {
    /// Its zone.
    pub zone: u32,
    /// Its kind: its group's place in the scenario.
    #[serde(rename = "kind")]
    pub group: u32,
    /// Core-seconds that it could have done in the scenario's time, warm and up all through.
    #[serde(rename = "capacity")]
    pub capacity_core_s: f64,
    /// Core-seconds that it did.
    #[serde(rename = "done")]
    pub done_core_s: f64,
}

/// What a run came to. Two runs of one seed are equal to the byte in JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunOutcome {
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
    #[serde(rename = "worth")]
    pub weight: WeightTotals,
    /// By class.
    pub classes: Vec<ClassOutcome>,
    /// By second of asking.
    pub seconds: Vec<WeightTotals>,
    /// By the clients' zone, and in it by class.
    pub zones: Vec<Vec<WeightTotals>>,
    /// By worker.
    pub workers: Vec<WorkerOutcome>,
    /// Attempts a job.
    #[serde(rename = "attempts")]
    pub attempts_per_job: f64,
    /// The share of attempts that went to another zone.
    #[serde(rename = "crossing")]
    pub cross_zone_share: f64,
    /// Probes that were sent.
    #[serde(rename = "probes", default, skip_serializing_if = "is_none")]
    pub load_queries: u64,
    /// What they cost, in the share of the worth.
    #[serde(rename = "probe_cost", default, skip_serializing_if = "is_free")]
    pub load_query_cost: f64,
    /// Workers that fell over.
    #[serde(rename = "fell")]
    pub overloads: u64,
    /// Core-seconds done.
    #[serde(rename = "work_done")]
    pub done_core_s: f64,
    /// Mean of the jobs in the workers, over time.
    #[serde(rename = "held")]
    pub mean_jobs_in_workers: f64,
    /// Breaches by rule.
    #[serde(rename = "breaches")]
    pub violations: BTreeMap<Rule, u64>,
    /// The first of them.
    #[serde(rename = "examples")]
    pub violation_examples: Vec<RuleViolation>,
    /// In real time: what the machine showed.
    #[serde(rename = "measured", default, skip_serializing_if = "Option::is_none")]
    pub machine_usage: Option<MachineUsage>,
}

fn is_none(count: &u64) -> bool {
    *count == 0
}

fn is_free(cost: &f64) -> bool {
    *cost == 0.0
}

impl RunOutcome {
    /// The share of the worth that was served in time, less what probes cost.
    pub fn score(&self) -> f64 {
        self.weight.in_time_share() - self.load_query_cost
    }
}

/// What the machine showed in a run in real time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineUsage {
    /// How late the emulator was itself in sending, in milliseconds, at 99% and at most.
    #[serde(rename = "own_lag_ms")]
    pub send_lag_ms: [f64; 2],
    /// Processor time of the schedulers for each job, in microseconds.
    #[serde(rename = "cpu_us_a_job")]
    pub cpu_us_per_job: f64,
    /// Cores that the schedulers used, all together.
    pub cores: f64,
}

/// What a drive has when its run is over.
pub struct RunRecord<'a> {
    /// What was played.
    pub scenario: &'a Scenario,
    /// Who decided.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Events of virtual time.
    pub events: u64,
    /// What became of jobs.
    pub counter: &'a OutcomeCounter,
    /// The workers with their zones.
    pub workers: &'a [(Worker, u32)],
    /// Their kinds.
    pub kinds: &'a [u32],
    /// Attempts that were sent; in real time, that reached a worker.
    pub attempts: u64,
    /// Those of them that crossed zones.
    pub cross_zone_attempts: u64,
    /// Probes that were sent.
    pub load_queries: u64,
    /// Workers that fell over.
    pub overloads: u64,
    /// Jobs in the workers, added up over microseconds.
    pub job_microseconds: f64,
    /// What the rule checker found.
    pub violations: Violations,
    /// What the machine showed.
    pub machine_usage: Option<MachineUsage>,
}

impl RunRecord<'_> {
    /// What it came to.
    pub fn into_outcome(self) -> RunOutcome {
        let (scenario, tally) = (self.scenario, self.counter);
        let names: Vec<String> = scenario.classes.iter().map(|class| class.name.clone()).collect();
        let jobs = tally.job_count();
        RunOutcome {
            scenario: scenario.name.clone(),
            policy: self.policy,
            seed: self.seed,
            jobs,
            events: self.events,
            weight: tally.worth,
            classes: tally.class_outcomes(&names),
            seconds: tally.seconds.clone(),
            zones: tally.zones.clone(),
            workers: of_workers(self.workers, self.kinds, scenario.duration_s),
            attempts_per_job: self.attempts as f64 / jobs.max(1) as f64,
            cross_zone_share: self.cross_zone_attempts as f64 / self.attempts.max(1) as f64,
            load_queries: self.load_queries,
            load_query_cost: scenario.load_reports.load_query.map_or(0.0, |probe| probe.cost)
                * self.load_queries as f64
                / jobs.max(1) as f64,
            overloads: self.overloads,
            done_core_s: self.workers.iter().map(|(worker, _)| worker.completed_work).sum(),
            mean_jobs_in_workers: self.job_microseconds / (scenario.duration_s * SECOND as f64),
            violations: self.violations.counts,
            violation_examples: self.violations.examples,
            machine_usage: self.machine_usage,
        }
    }
}

/// The workers' parts, over so many seconds.
fn of_workers(workers: &[(Worker, u32)], kinds: &[u32], seconds: f64) -> Vec<WorkerOutcome> {
    let one = |((worker, zone), kind): (&(Worker, u32), &u32)| WorkerOutcome {
        zone: *zone,
        group: *kind,
        capacity_core_s: worker.spec.cores.min(worker.spec.slots) * worker.spec.speed * seconds,
        // Work counts in seconds at speed 1, capacity in what the worker's own speed gives.
        done_core_s: worker.completed_work,
    };
    workers.iter().zip(kinds).map(one).collect()
}

/// Counts while a run goes on.
pub struct OutcomeCounter {
    worth: WeightTotals,
    classes: Vec<(u64, WeightTotals, Histogram<u64>)>,
    seconds: Vec<WeightTotals>,
    zones: Vec<Vec<WeightTotals>>,
}

impl OutcomeCounter {
    /// For so many classes and zones.
    pub fn new(classes: usize, zones: u32) -> OutcomeCounter {
        // Up to a day, to three figures.
        let empty =
            || Histogram::new_with_max(86_400 * SECOND, 3).unwrap_or_else(|_| unreachable!("good bounds"));
        let zones = vec![vec![WeightTotals::default(); classes]; zones as usize];
        let classes = (0..classes).map(|_| (0, WeightTotals::default(), empty())).collect();
        OutcomeCounter { worth: WeightTotals::default(), classes, seconds: Vec::new(), zones }
    }

    /// A client's job has ended, in a zone of so many; `took` is from its first try.
    pub fn record_job(&mut self, of: &Arrival, class: &JobClass, took: Micros, end: JobOutcome) {
        let worth = class.priority_weight * of.work * of.slots;
        let zone = of.scheduler as usize % self.zones.len();
        let (asked_at, class) = (of.at, of.class as usize);
        self.zones[zone][class].add(worth, end);
        self.worth.add(worth, end);
        let of = &mut self.classes[class];
        of.0 += 1;
        of.1.add(worth, end);
        if matches!(end, JobOutcome::InTime | JobOutcome::Late) {
            of.2.saturating_record(took);
        }
        let second = (asked_at / SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, WeightTotals::default());
        }
        self.seconds[second].add(worth, end);
    }

    /// Jobs that have ended.
    pub fn job_count(&self) -> u64 {
        self.classes.iter().map(|of| of.0).sum()
    }

    /// The classes' parts, by their names.
    pub fn class_outcomes(&self, names: &[String]) -> Vec<ClassOutcome> {
        let one =
            |(name, (jobs, worth, times)): (&String, &(u64, WeightTotals, Histogram<u64>))| ClassOutcome {
                name: name.clone(),
                jobs: *jobs,
                weight: *worth,
                mean_latency_ms: times.mean() / 1e3,
                latency_ms: [0.5, 0.99, 1.0].map(|quantile| times.value_at_quantile(quantile) as f64 / 1e3),
            };
        names.iter().zip(&self.classes).map(one).collect()
    }
}
