//! Counts what became of a load's jobs, by class.
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{JobOutcome, JobRecord};
use crate::scenario::{JobClass, Scenario};

/// Longest latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// How exactly latencies are recorded.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The quantiles of served jobs' latencies that are reported.
const LATENCY_QUANTILES: [f64; 5] = [0.5, 0.9, 0.99, 0.999, 1.0];

/// What a class's jobs came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassLoadResult {
    /// Its name.
    pub name: String,
    /// Jobs that were scheduled to be sent.
    #[serde(rename = "meant")]
    pub scheduled: u64,
    /// Answered 200.
    pub served: u64,
    /// Served within the class's latency objective and stretch.
    pub in_time: u64,
    /// Answered 429 or 503.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// The connection broke, or never came up.
    #[serde(rename = "broken")]
    pub connection_broken: u64,
    /// No response before the client's deadline.
    #[serde(rename = "silent")]
    pub timed_out: u64,
    /// Not sent, as too many requests were open.
    pub not_sent: u64,
    /// Latencies of served jobs from when they were scheduled to be sent, in milliseconds: median, 90%, 99%,
    /// 99.9%, most.
    pub served_ms: [f64; 5],
}

/// What a load came to.
#[derive(Clone, Debug, Serialize)]
pub struct LoadResult {
    /// By class.
    pub classes: Vec<ClassLoadResult>,
    /// How late this tool was itself in sending, in milliseconds, at 99% and at most.
    #[serde(rename = "own_lag_ms")]
    pub send_lag_ms: [f64; 2],
}

impl LoadResult {
    /// The result as text.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{:<14} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}  served in ms: 50% 90% 99% 99.9% most\n",
            "class", "meant", "served", "in time", "refused", "failed", "broken", "silent", "unsent"
        );
        for class in &self.classes {
            text += &class.to_row();
        }
        let [lag_99, lag_max] = self.send_lag_ms;
        text += &format!("this tool sent late by {lag_99:.2} ms (99%), {lag_max:.2} ms (most)\n");
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

/// An empty histogram of latencies in microseconds.
pub(super) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("good bounds"))
}

/// A histogram's quantile, in milliseconds.
pub(super) fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// The results by class.
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
