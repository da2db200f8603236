//! Sums up one run: weight in time, latencies, load of workers and violations.
mod counter;

use std::collections::BTreeMap;

use copperspread_dispatcher::SECOND;
use serde::{Deserialize, Serialize};

pub use counter::OutcomeCounter;

use crate::model::worker::Worker;
use crate::rule_checker::{Rule, RuleViolation, Violations};
use crate::scenario::Scenario;

/// How a client's job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Served within its latency objective.
    InTime,
    /// Served later than its latency objective.
    Late,
    /// Rejected, also at its last retry.
    Rejected,
    /// Failed.
    Failed,
    /// Its client's deadline passed without a response.
    Unanswered,
}

/// Priority weight of jobs, by how they ended. The parts add up to what was requested.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightTotals {
    /// Of all jobs.
    #[serde(rename = "asked")]
    pub requested: f64,
    /// Served in time.
    pub in_time: f64,
    /// Served late.
    pub late: f64,
    /// Rejected.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// Failed.
    pub failed: f64,
    /// Without a response.
    #[serde(rename = "lost")]
    pub unanswered: f64,
}

impl WeightTotals {
    fn add(&mut self, weight: f64, end: JobOutcome) {
        self.requested += weight;
        let part = match end {
            JobOutcome::InTime => &mut self.in_time,
            JobOutcome::Late => &mut self.late,
            JobOutcome::Rejected => &mut self.rejected,
            JobOutcome::Failed => &mut self.failed,
            JobOutcome::Unanswered => &mut self.unanswered,
        };
        *part += weight;
    }

    /// The share that was served in time; 1 if nothing was requested.
    pub fn in_time_share(&self) -> f64 {
        if self.requested > 0.0 { self.in_time / self.requested } else { 1.0 }
    }
}

/// Latencies of served jobs, in milliseconds; in JSON a list of the three.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "[f64; 3]", into = "[f64; 3]")]
pub struct LatencyQuantiles {
    /// The median.
    pub median_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The highest.
    pub max_ms: f64,
}

impl From<[f64; 3]> for LatencyQuantiles {
    fn from([median_ms, p99_ms, max_ms]: [f64; 3]) -> LatencyQuantiles {
        LatencyQuantiles { median_ms, p99_ms, max_ms }
    }
}

impl From<LatencyQuantiles> for [f64; 3] {
    fn from(quantiles: LatencyQuantiles) -> [f64; 3] {
        [quantiles.median_ms, quantiles.p99_ms, quantiles.max_ms]
    }
}

/// What a run resulted in for one class.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassOutcome {
    /// Its name.
    pub name: String,
    /// Number of jobs.
    pub jobs: u64,
    /// Their weight.
    #[serde(rename = "worth")]
    pub weight: WeightTotals,
    /// Mean latency of served jobs, in milliseconds.
    #[serde(rename = "mean_ms")]
    pub mean_latency_ms: f64,
    /// Latencies of served jobs.
    #[serde(rename = "served_ms")]
    pub latency: LatencyQuantiles,
}

/// What a run resulted in for one worker.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerOutcome {
    /// Its zone.
    pub zone: u32,
    /// The index of its group in the scenario.
    #[serde(rename = "kind")]
    pub group: u32,
    /// Core-seconds that it could have done in the scenario's time, if it had been warm and up all along.
    #[serde(rename = "capacity")]
    pub capacity_core_s: f64,
    /// Core-seconds that it did.
    #[serde(rename = "done")]
    pub done_core_s: f64,
}

/// What a run resulted in. In virtual time, two runs of one seed give the same JSON to the byte.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunOutcome {
    /// The scenario's name.
    pub scenario: String,
    /// The policy's name.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Number of clients' jobs.
    pub jobs: u64,
    /// Events of virtual time.
    pub events: u64,
    /// The weight of all jobs.
    #[serde(rename = "worth")]
    pub weight: WeightTotals,
    /// By class.
    pub classes: Vec<ClassOutcome>,
    /// Weight by second of arrival.
    pub seconds: Vec<WeightTotals>,
    /// Weight by the clients' zone, and in it by class.
    pub zones: Vec<Vec<WeightTotals>>,
    /// By worker.
    pub workers: Vec<WorkerOutcome>,
    /// Mean number of attempts.
    #[serde(rename = "attempts")]
    pub attempts_per_job: f64,
    /// The share of attempts that went to another zone.
    #[serde(rename = "crossing")]
    pub cross_zone_share: f64,
    /// Load queries that were sent.
    #[serde(rename = "probes", default, skip_serializing_if = "is_no_count")]
    pub load_queries: u64,
    /// What they cost, as a share of the weight.
    #[serde(rename = "probe_cost", default, skip_serializing_if = "is_free")]
    pub load_query_cost: f64,
    /// Overloads of warming workers.
    #[serde(rename = "fell")]
    pub overloads: u64,
    /// Core-seconds done.
    #[serde(rename = "work_done")]
    pub done_core_s: f64,
    /// Mean number of jobs in the workers over time.
    #[serde(rename = "held")]
    pub mean_jobs_in_workers: f64,
    /// Violations, by rule.
    #[serde(rename = "breaches")]
    pub violations: BTreeMap<Rule, u64>,
    /// The first of them.
    #[serde(rename = "examples")]
    pub violation_examples: Vec<RuleViolation>,
    /// In real time: what the run used of the machine.
    #[serde(rename = "measured", default, skip_serializing_if = "Option::is_none")]
    pub machine_usage: Option<MachineUsage>,
}

fn is_no_count(count: &u64) -> bool {
    *count == 0
}

fn is_free(cost: &f64) -> bool {
    *cost == 0.0
}

impl RunOutcome {
    /// The share of the weight that was served in time, less the cost of load queries.
    pub fn score(&self) -> f64 {
        self.weight.in_time_share() - self.load_query_cost
    }
}

/// What a run in real time used of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineUsage {
    /// How late the emulator sent jobs, in milliseconds: the 99th percentile and the highest.
    #[serde(rename = "own_lag_ms")]
    pub send_lag_ms: [f64; 2],
    /// Processor time of the schedulers for each job, in microseconds.
    #[serde(rename = "cpu_us_a_job")]
    pub cpu_us_per_job: f64,
    /// Cores that all schedulers together used.
    pub cores: f64,
}

/// What a simulation or emulation has recorded at its end.
pub struct RunRecord<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The policy's name.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Events of virtual time.
    pub events: u64,
    /// How jobs ended.
    pub counter: &'a OutcomeCounter,
    /// The workers with their zones.
    pub workers: &'a [(Worker, u32)],
    /// The index of each worker's group.
    pub kinds: &'a [u32],
    /// Attempts that were sent; in real time, those that reached a worker.
    pub attempts: u64,
    /// Those of them that went to another zone.
    pub cross_zone_attempts: u64,
    /// Load queries that were sent.
    pub load_queries: u64,
    /// Overloads of warming workers.
    pub overloads: u64,
    /// The number of jobs in the workers, summed over microseconds.
    pub job_microseconds: f64,
    /// What the rule checker found.
    pub violations: Violations,
    /// In real time: what the run used of the machine.
    pub machine_usage: Option<MachineUsage>,
}

impl RunRecord<'_> {
    /// Sums the record up.
    pub fn into_outcome(self) -> RunOutcome {
        let (scenario, counter) = (self.scenario, self.counter);
        let jobs = counter.job_count();
        let jobs_or_one = jobs.max(1) as f64;
        let query_cost = scenario.load_reports.load_query.map_or(0.0, |query| query.cost);
        RunOutcome {
            scenario: scenario.name.clone(),
            policy: self.policy,
            seed: self.seed,
            jobs,
            events: self.events,
            weight: counter.total(),
            classes: counter.class_outcomes(scenario.classes.iter().map(|class| class.name.as_str())),
            seconds: counter.seconds().to_vec(),
            zones: counter.zones().to_vec(),
            workers: worker_outcomes(self.workers, self.kinds, scenario.duration_s),
            attempts_per_job: self.attempts as f64 / jobs_or_one,
            cross_zone_share: self.cross_zone_attempts as f64 / self.attempts.max(1) as f64,
            load_queries: self.load_queries,
            load_query_cost: query_cost * self.load_queries as f64 / jobs_or_one,
            overloads: self.overloads,
            done_core_s: self.workers.iter().map(|(worker, _)| worker.completed_work).sum(),
            mean_jobs_in_workers: self.job_microseconds / (scenario.duration_s * SECOND as f64),
            violations: self.violations.counts,
            violation_examples: self.violations.examples,
            machine_usage: self.machine_usage,
        }
    }
}

fn worker_outcomes(workers: &[(Worker, u32)], groups: &[u32], duration_s: f64) -> Vec<WorkerOutcome> {
    let outcome = |((worker, zone), group): (&(Worker, u32), &u32)| WorkerOutcome {
        zone: *zone,
        group: *group,
        capacity_core_s: worker.spec.cores.min(worker.spec.slots) * worker.spec.speed * duration_s,
        // Work counts in seconds at speed 1, capacity in what the worker's own speed gives.
        done_core_s: worker.completed_work,
    };
    workers.iter().zip(groups).map(outcome).collect()
}
