//! Outcome of one run: priority-weighted work that was served in time, latencies, load of workers and rule
//! violations.
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
    /// The job was served within its latency objective.
    InTime,
    /// The job was served later than its latency objective.
    Late,
    /// The job's last request was rejected, and the client sent no further retry.
    Rejected,
    /// The job failed, either by a response or by a broken client connection.
    Failed,
    /// The job had no response when the client stopped waiting.
    Unanswered,
}

/// Weight of jobs by their outcome: priority weight times work in core-seconds. The parts add up to
/// `requested`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightTotals {
    /// Weight of all jobs.
    #[serde(rename = "asked")]
    pub requested: f64,
    /// Weight of jobs served in time.
    pub in_time: f64,
    /// Weight of jobs served late.
    pub late: f64,
    /// Weight of rejected jobs.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// Weight of failed jobs.
    pub failed: f64,
    /// Weight of jobs without a response.
    #[serde(rename = "lost")]
    pub unanswered: f64,
}

impl WeightTotals {
    fn add(&mut self, weight: f64, outcome: JobOutcome) {
        self.requested += weight;
        let part = match outcome {
            JobOutcome::InTime => &mut self.in_time,
            JobOutcome::Late => &mut self.late,
            JobOutcome::Rejected => &mut self.rejected,
            JobOutcome::Failed => &mut self.failed,
            JobOutcome::Unanswered => &mut self.unanswered,
        };
        *part += weight;
    }

    /// Returns the share of the weight that was served in time; 1 if nothing was requested.
    pub fn in_time_share(&self) -> f64 {
        if self.requested > 0.0 { self.in_time / self.requested } else { 1.0 }
    }
}

/// Latency quantiles of served jobs, in milliseconds; in JSON a list of the three values.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "[f64; 3]", into = "[f64; 3]")]
pub struct LatencyQuantiles {
    /// Median latency, in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// Highest latency, in milliseconds.
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

/// The outcome of a run for the jobs of one class.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassOutcome {
    /// Name of the class in the scenario.
    pub name: String,
    /// Number of the class's jobs that ended, with any outcome.
    pub jobs: u64,
    /// Weight of the class's jobs by their outcome.
    #[serde(rename = "worth")]
    pub weight: WeightTotals,
    /// Mean latency of served jobs, in milliseconds.
    #[serde(rename = "mean_ms")]
    pub mean_latency_ms: f64,
    /// Latency quantiles of served jobs.
    #[serde(rename = "served_ms")]
    pub latency: LatencyQuantiles,
}

/// The outcome of a run for one worker.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerOutcome {
    /// Index of the zone that the worker is in.
    pub zone: u32,
    /// Index of the worker's group in the scenario.
    #[serde(rename = "kind")]
    pub group: u32,
    /// Core-seconds that the worker could complete within the scenario's duration if it were up and at full
    /// capacity throughout.
    #[serde(rename = "capacity")]
    pub capacity_core_s: f64,
    /// Core-seconds that the worker completed.
    #[serde(rename = "done")]
    pub done_core_s: f64,
}

/// The outcome of a run. A simulation repeated with the same seed gives the same JSON, byte for byte.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunOutcome {
    /// Name of the scenario that was run.
    pub scenario: String,
    /// Name of the schedulers' dispatch policy. An emulation records the name that its caller gave, such as
    /// the name of an experiment's variant.
    pub policy: String,
    /// Seed from which the random numbers of the run are derived.
    pub seed: u64,
    /// Number of clients' jobs that ended, with any outcome.
    pub jobs: u64,
    /// Number of events that the simulation handled; 0 for an emulation.
    pub events: u64,
    /// Weight of all jobs by their outcome.
    #[serde(rename = "worth")]
    pub weight: WeightTotals,
    /// Outcomes of the jobs of each class, in the order of the scenario's classes.
    pub classes: Vec<ClassOutcome>,
    /// Weight of jobs by second of arrival.
    pub seconds: Vec<WeightTotals>,
    /// Weight of jobs by the clients' zone, and within a zone by class.
    pub zones: Vec<Vec<WeightTotals>>,
    /// Work and capacity of each worker, indexed by worker number.
    pub workers: Vec<WorkerOutcome>,
    /// Mean number of attempts that schedulers sent for a client's job.
    #[serde(rename = "attempts")]
    pub attempts_per_job: f64,
    /// Share of attempts that went to a zone other than that of the sending scheduler.
    #[serde(rename = "crossing")]
    pub cross_zone_share: f64,
    /// Number of load queries that schedulers sent to workers.
    #[serde(rename = "probes", default, skip_serializing_if = "is_zero_count")]
    pub load_queries: u64,
    /// Cost of all load queries, as a share of the weight of all jobs: the mean number of load queries per
    /// job, times the scenario's cost of one query.
    #[serde(rename = "probe_cost", default, skip_serializing_if = "is_zero_cost")]
    pub load_query_cost: f64,
    /// Number of worker failures from overload during slow start.
    #[serde(rename = "fell")]
    pub overloads: u64,
    /// Core-seconds completed by all workers.
    #[serde(rename = "work_done")]
    pub done_core_s: f64,
    /// Mean number of jobs that wait or run at all workers together: the integral of this number over the
    /// whole run, divided by the scenario's duration.
    #[serde(rename = "held")]
    pub mean_jobs_in_workers: f64,
    /// Number of violations of each rule.
    #[serde(rename = "breaches")]
    pub violations: BTreeMap<Rule, u64>,
    /// The first violations of the run, with their descriptions. Later violations are only counted, in
    /// `violations`.
    #[serde(rename = "examples")]
    pub violation_examples: Vec<RuleViolation>,
    /// Sending delays and CPU usage that were measured during an emulation; `None` for a simulation.
    #[serde(rename = "measured", default, skip_serializing_if = "Option::is_none")]
    pub machine_usage: Option<MachineUsage>,
}

fn is_zero_count(count: &u64) -> bool {
    *count == 0
}

fn is_zero_cost(cost: &f64) -> bool {
    *cost == 0.0
}

impl RunOutcome {
    /// Returns the share of the weight that was served in time, less the cost of load queries.
    pub fn score(&self) -> f64 {
        self.weight.in_time_share() - self.load_query_cost
    }
}

/// Sending delays and CPU usage that are measured during an emulation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineUsage {
    /// Delay between the scheduled arrival of a job and the time at which the emulation sent the job, in
    /// milliseconds: the 99th percentile and the highest.
    #[serde(rename = "own_lag_ms")]
    pub send_lag_ms: [f64; 2],
    /// CPU time of the schedulers per job, in microseconds.
    #[serde(rename = "cpu_us_a_job")]
    pub cpu_us_per_job: f64,
    /// Mean number of CPU cores that all schedulers together used.
    pub cores: f64,
}

/// The data that a simulation or emulation has recorded at the end of a run.
pub struct RunRecord<'a> {
    /// Scenario that was run.
    pub scenario: &'a Scenario,
    /// Name of the schedulers' dispatch policy. An emulation records the name that its caller gave, such as
    /// the name of an experiment's variant.
    pub policy: String,
    /// Seed from which the random numbers of the run are derived.
    pub seed: u64,
    /// Number of events that the simulation handled; 0 for an emulation.
    pub events: u64,
    /// Counter with the outcomes of the clients' jobs.
    pub counter: &'a OutcomeCounter,
    /// Workers with their zones, indexed by worker number.
    pub workers: &'a [(Worker, u32)],
    /// Index of each worker's group in the scenario, indexed by worker number.
    pub kinds: &'a [u32],
    /// Number of attempts that schedulers sent; an emulation counts only those that reached a worker.
    pub attempts: u64,
    /// Number of counted attempts that went to a zone other than that of the sending scheduler.
    pub cross_zone_attempts: u64,
    /// Number of load queries that schedulers sent; an emulation counts only those that reached a worker.
    pub load_queries: u64,
    /// Number of worker failures from overload during slow start.
    pub overloads: u64,
    /// Integral over time of the number of jobs at the workers, in job-microseconds.
    pub job_microseconds: f64,
    /// Violations found by the rule checker.
    pub violations: Violations,
    /// Sending delays and CPU usage that were measured during an emulation; `None` for a simulation.
    pub machine_usage: Option<MachineUsage>,
}

impl RunRecord<'_> {
    /// Computes the outcome of the run from the recorded data.
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

fn worker_outcomes(workers: &[(Worker, u32)], kinds: &[u32], duration_s: f64) -> Vec<WorkerOutcome> {
    let outcome = |((worker, zone), kind): (&(Worker, u32), &u32)| WorkerOutcome {
        zone: *zone,
        group: *kind,
        capacity_core_s: worker.spec.cores.min(worker.spec.slots) * worker.spec.speed * duration_s,
        // Completed work is in core-seconds at speed 1. The capacity above has the same unit, because it
        // includes the worker's speed.
        done_core_s: worker.completed_work,
    };
    workers.iter().zip(kinds).map(outcome).collect()
}
