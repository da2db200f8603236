//! The results of a run of the load generator: for each job class, the number of jobs by outcome, and the
//! latencies.
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{JobOutcome, JobRecord};
use crate::scenario::{JobClass, Scenario};

/// Longest latency that is recorded, in microseconds: 1 hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Precision of recorded latencies, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The quantiles that are reported of the latencies of served jobs.
const LATENCY_QUANTILES: [f64; 5] = [0.5, 0.9, 0.99, 0.999, 1.0];

/// The results of one job class in a run of the load generator.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassLoadResult {
    /// The name of the job class, as the scenario gives it.
    pub name: String,
    /// Number of jobs that the scenario scheduled to be sent.
    #[serde(rename = "meant")]
    pub scheduled: u64,
    /// Number of jobs whose response has status 200.
    pub served: u64,
    /// Number of jobs that were served in time. The maximum latency is the latency objective of the job's
    /// class, plus the latency stretch of the class times the job's work in seconds.
    pub in_time: u64,
    /// Number of jobs whose response has status 429 or 503.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of jobs whose response has a status other than 200, 429 and 503.
    pub failed: u64,
    /// Number of jobs whose connection broke or could not be opened.
    #[serde(rename = "broken")]
    pub connection_broken: u64,
    /// Number of jobs without a complete response before the client's deadline.
    #[serde(rename = "silent")]
    pub timed_out: u64,
    /// Number of jobs that were not sent, because too many requests were open.
    pub not_sent: u64,
    /// Latencies of the served jobs, in milliseconds: the 50%, 90%, 99% and 99.9% quantiles and the maximum.
    /// The latency of a job is measured from its scheduled send time.
    pub served_ms: [f64; 5],
}

/// The results of a run of the load generator.
#[derive(Clone, Debug, Serialize)]
pub struct LoadResult {
    /// The results of each job class, in the order of the scenario's classes.
    pub classes: Vec<ClassLoadResult>,
    /// How late the load generator itself sent the jobs, in milliseconds: the 99% quantile and the maximum of
    /// the delays.
    #[serde(rename = "own_lag_ms")]
    pub send_lag_ms: [f64; 2],
}

impl LoadResult {
    /// Formats the results as a text table. The column names follow the serialized names of the fields.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{:<14} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}  served in ms: 50% 90% 99% 99.9% maximum\n",
            "class", "meant", "served", "in time", "refused", "failed", "broken", "silent", "unsent"
        );
        for class in &self.classes {
            text += &class.to_row();
        }
        let [lag_99, lag_max] = self.send_lag_ms;
        text += &format!("the testbed sent jobs late by {lag_99:.2} ms (99%), {lag_max:.2} ms (maximum)\n");
        text
    }
}

impl ClassLoadResult {
    fn to_row(&self) -> String {
        let latencies = self.served_ms.map(|ms| format!("{ms:.1}")).join(" ");
        format!(
            "{:<14} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}  {latencies}\n",
            self.name,
            self.scheduled,
            self.served,
            self.in_time,
            self.rejected,
            self.failed,
            self.connection_broken,
            self.timed_out,
            self.not_sent
        )
    }
}

/// Creates an empty histogram of times in microseconds.
pub(super) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the histogram bounds are constants within the valid range"))
}

/// Returns a quantile, from 0 to 1, of a histogram of times in microseconds. The result is in milliseconds.
pub(super) fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Computes the results of each job class from the records of all jobs.
pub(super) fn summarize(scenario: &Scenario, records: &[JobRecord]) -> Vec<ClassLoadResult> {
    let classes = scenario.classes.iter().enumerate();
    classes.map(|(number, class)| summarize_class(number, class, records)).collect()
}

fn summarize_class(number: usize, class: &JobClass, records: &[JobRecord]) -> ClassLoadResult {
    let mut result = ClassLoadResult { name: class.name.clone(), ..ClassLoadResult::default() };
    let mut latencies = new_histogram();
    for record in records.iter().filter(|record| record.job.class as usize == number) {
        result.scheduled += 1;
        match record.outcome {
            JobOutcome::Served => {
                result.served += 1;
                result.in_time += u64::from(is_in_time(class, record.job.work, record.latency));
                latencies.saturating_record(record.latency.as_micros() as u64);
            }
            JobOutcome::Rejected => result.rejected += 1,
            JobOutcome::Failed => result.failed += 1,
            JobOutcome::ConnectionBroken => result.connection_broken += 1,
            JobOutcome::TimedOut => result.timed_out += 1,
            JobOutcome::NotSent => result.not_sent += 1,
        }
    }
    result.served_ms = LATENCY_QUANTILES.map(|quantile| quantile_ms(&latencies, quantile));
    result
}

fn is_in_time(class: &JobClass, work: f64, latency: Duration) -> bool {
    latency.as_secs_f64() <= class.latency_objective_s + class.latency_stretch * work
}
