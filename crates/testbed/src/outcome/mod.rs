//! The outcome of one run: the priority-weighted work that was served in time, latencies, the work of each
//! worker, and rule violations.
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
    /// The job's last request was rejected, and the client did not retry any more.
    Rejected,
    /// The job failed: its client got a failure as response, or the client's connection broke.
    Failed,
    /// The client stopped waiting before it got any response for the job.
    Unanswered,
}

/// The summed weights of jobs, in total and for each outcome. The weight of a job is the priority weight of
/// its class times its work in core-seconds. The sums for the outcomes add up to `requested`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightTotals {
    /// Priority weight times work, summed over all jobs.
    #[serde(rename = "asked")]
    pub requested: f64,
    /// Priority weight times work, summed over the jobs that were served within their latency objective.
    pub in_time: f64,
    /// Priority weight times work, summed over the jobs that were served later than their latency objective.
    pub late: f64,
    /// Priority weight times work, summed over the jobs that were rejected.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// Priority weight times work, summed over the jobs that failed.
    pub failed: f64,
    /// Priority weight times work, summed over the jobs that got no response.
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

    /// Returns the share of the total weight that belongs to jobs served in time, from 0 to 1. The weight of
    /// a job is its priority weight times its work. Returns 1 if the total weight is 0.
    pub fn in_time_share(&self) -> f64 {
        if self.requested > 0.0 { self.in_time / self.requested } else { 1.0 }
    }
}

/// Quantiles of the latency of served jobs, in milliseconds. In JSON, they are a list of the median, the 99th
/// percentile and the maximum.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "[f64; 3]", into = "[f64; 3]")]
pub struct LatencyQuantiles {
    /// Median latency of the served jobs, in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the latency of the served jobs, in milliseconds.
    pub p99_ms: f64,
    /// Highest latency of the served jobs, in milliseconds.
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
    /// Name of the class, as in the scenario.
    pub name: String,
    /// Number of jobs of the class that ended, with any outcome.
    pub jobs: u64,
    /// Priority weight times work, summed over the class's jobs: in total and for each outcome.
    #[serde(rename = "worth")]
    pub weight: WeightTotals,
    /// Mean latency of the served jobs of the class, in milliseconds.
    #[serde(rename = "mean_ms")]
    pub mean_latency_ms: f64,
    /// Latency quantiles of the served jobs of the class.
    #[serde(rename = "served_ms")]
    pub latency: LatencyQuantiles,
}

/// The completed work and the capacity of one worker in a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerOutcome {
    /// Index of the worker's zone.
    pub zone: u32,
    /// Index of the worker's group in the scenario's list of worker groups.
    #[serde(rename = "kind")]
    pub group: u32,
    /// Work that the worker could complete within the scenario's duration, in core-seconds, if it were always
    /// up and at full capacity.
    #[serde(rename = "capacity")]
    pub capacity_core_s: f64,
    /// Work that the worker completed, in core-seconds.
    #[serde(rename = "done")]
    pub done_core_s: f64,
}

/// The outcome of a run. A simulation that is repeated with the same seed gives the same JSON, byte for byte.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunOutcome {
    /// Name of the scenario that was run.
    pub scenario: String,
    /// Name of the dispatch policy that the schedulers used. For an emulation, this is the name that its
    /// caller gave, such as the name of one of the alternatives that an experiment compares.
    pub policy: String,
    /// Seed of the run, from which all its random numbers are derived.
    pub seed: u64,
    /// Number of clients' jobs that ended during the run, with any outcome.
    pub jobs: u64,
    /// Number of events that the simulation handled; 0 if the run was an emulation.
    pub events: u64,
    /// Priority weight times work, summed over all jobs of the run: in total and for each outcome.
    #[serde(rename = "worth")]
    pub weight: WeightTotals,
    /// The outcome of the jobs of each class, in the order of the scenario's classes.
    pub classes: Vec<ClassOutcome>,
    /// For each second of the run, the priority weight times the work, summed over the jobs that arrived in
    /// that second.
    pub seconds: Vec<WeightTotals>,
    /// For each zone of the clients, and in it for each class: the priority weight times the work, summed
    /// over the jobs.
    pub zones: Vec<Vec<WeightTotals>>,
    /// The completed work and the capacity of each worker. The position in the list is the worker's number.
    pub workers: Vec<WorkerOutcome>,
    /// Mean number of attempts that schedulers sent for each client's job.
    #[serde(rename = "attempts")]
    pub attempts_per_job: f64,
    /// Share of the attempts that a scheduler sent to a worker in another zone.
    #[serde(rename = "crossing")]
    pub cross_zone_share: f64,
    /// Number of load queries that schedulers sent to workers.
    #[serde(rename = "probes", default, skip_serializing_if = "is_zero_count")]
    pub load_queries: u64,
    /// Cost of all load queries, as a share of the priority weight times work of all jobs. The cost is the
    /// mean number of load queries per job times the cost that the scenario sets for one load query.
    #[serde(rename = "probe_cost", default, skip_serializing_if = "is_zero_cost")]
    pub load_query_cost: f64,
    /// Number of times that a worker failed from overload during slow start.
    #[serde(rename = "fell")]
    pub overloads: u64,
    /// Work that all workers together completed, in core-seconds.
    #[serde(rename = "work_done")]
    pub done_core_s: f64,
    /// Mean number of jobs that wait or run at all workers together. It is the integral of this number over
    /// the whole run, divided by the scenario's duration.
    #[serde(rename = "held")]
    pub mean_jobs_in_workers: f64,
    /// For each rule that the run violated, the number of its violations.
    #[serde(rename = "breaches")]
    pub violations: BTreeMap<Rule, u64>,
    /// The first violations of the run, with their descriptions. Later violations are only counted in
    /// `violations`.
    #[serde(rename = "examples")]
    pub violation_examples: Vec<RuleViolation>,
    /// Sending delays and CPU usage that were measured during the run; `None` if the run was a simulation.
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
    /// Returns the score of the run. The score is the share of the jobs' priority weight times work that was
    /// served in time, minus the cost of load queries.
    pub fn score(&self) -> f64 {
        self.weight.in_time_share() - self.load_query_cost
    }
}

/// How late an emulation sent its jobs, and how much CPU time its schedulers used.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineUsage {
    /// Delay between the scheduled arrival of a job and the time at which the emulation sent the job, in
    /// milliseconds. The first value is the 99th percentile and the second the highest delay.
    #[serde(rename = "own_lag_ms")]
    pub send_lag_ms: [f64; 2],
    /// CPU time of all schedulers together divided by the number of jobs, in microseconds.
    #[serde(rename = "cpu_us_a_job")]
    pub cpu_us_per_job: f64,
    /// Mean number of CPU cores that all schedulers together used.
    pub cores: f64,
}

/// The data from which a finished simulation or emulation computes its [`RunOutcome`].
pub struct RunRecord<'a> {
    /// Scenario that was run.
    pub scenario: &'a Scenario,
    /// Name of the dispatch policy that the schedulers used. For an emulation, this is the name that its
    /// caller gave, such as the name of one of the alternatives that an experiment compares.
    pub policy: String,
    /// Seed of the run, from which all its random numbers are derived.
    pub seed: u64,
    /// Number of events that the simulation handled; 0 if the run was an emulation.
    pub events: u64,
    /// The outcomes of the clients' jobs, as counted during the run.
    pub counter: &'a OutcomeCounter,
    /// The workers, each with the index of its zone. The position in the list is the worker's number.
    pub workers: &'a [(Worker, u32)],
    /// For each worker, the index of its group in the scenario's list of worker groups. Worker number N has
    /// entry N of this list.
    pub kinds: &'a [u32],
    /// Number of attempts that schedulers sent. An emulation counts only attempts that reached a worker.
    pub attempts: u64,
    /// Number of the attempts counted in `attempts` that a scheduler sent to a worker in another zone.
    pub cross_zone_attempts: u64,
    /// Number of load queries that schedulers sent. An emulation counts only load queries that reached a
    /// worker.
    pub load_queries: u64,
    /// Number of times that a worker failed from overload during slow start.
    pub overloads: u64,
    /// Number of jobs at all workers together, integrated over the time of the run, in job-microseconds.
    pub job_microseconds: f64,
    /// Violations that the rule checker found in the run.
    pub violations: Violations,
    /// Sending delays and CPU usage that were measured during the run; `None` if the run was a simulation.
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
        // The completed work is in core-seconds at speed 1. The capacity above is in the same unit, because
        // it includes the worker's speed.
        done_core_s: worker.completed_work,
    };
    workers.iter().zip(kinds).map(outcome).collect()
}
