//! Sums up the attempts that all schedulers sent to one worker, for the fleet summary.
use std::fmt::Write;

use hdrhistogram::Histogram;

use crate::text_format::{Counts, elapsed_histogram, format_counts, increment};
use crate::window_summary::ELAPSED_DIGITS;

/// A change of the number of attempts that are in flight at a worker.
///
/// If an attempt ends and another starts at the same time, the end sorts before the start. The two attempts
/// then do not count as in flight together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct InFlightChange {
    /// Time at which an attempt started or ended, in microseconds of Unix time. A change of the wall
    /// clock during a run does not affect this time.
    time_us: u64,
    /// The change of the number of attempts in flight: 1 if an attempt starts, -1 if an attempt ends.
    change: i32,
}

/// The number, the outcomes and the elapsed times of the attempts that all schedulers sent to one worker.
#[derive(Default)]
pub(crate) struct WorkerSummary {
    attempts_sent: u64,
    in_flight_changes: Vec<InFlightChange>,
    attempt_outcomes: Counts,
    /// Histogram of the elapsed times of served attempts, each in percent of the attempt's estimated time.
    /// That time was estimated when the dispatch policy decided to send the attempt.
    percent_of_estimate: Option<Histogram<u64>>,
}

impl WorkerSummary {
    pub(crate) fn attempts_sent(&self) -> u64 {
        self.attempts_sent
    }

    pub(crate) fn start_attempt(&mut self, time_us: u64) {
        self.attempts_sent += 1;
        self.in_flight_changes.push(InFlightChange { time_us, change: 1 });
    }

    pub(crate) fn end_attempt(&mut self, time_us: u64) {
        self.in_flight_changes.push(InFlightChange { time_us, change: -1 });
    }

    pub(crate) fn add_outcome(&mut self, outcome: &str) {
        increment(&mut self.attempt_outcomes, outcome);
    }

    /// Adds the elapsed time of a served attempt to the histogram, in percent of the attempt's estimated
    /// time.
    pub(crate) fn add_served(&mut self, elapsed_us: u64, estimate_us: u64) {
        let histogram = self.percent_of_estimate.get_or_insert_with(|| elapsed_histogram(ELAPSED_DIGITS));
        histogram.saturating_record(elapsed_us.saturating_mul(100) / estimate_us.max(1));
    }

    /// Returns the maximum number of attempts of all schedulers together that were in flight at the worker at
    /// once.
    pub(crate) fn max_in_flight(&self) -> i32 {
        let mut changes = self.in_flight_changes.clone();
        changes.sort_unstable();
        let (mut in_flight, mut max_in_flight) = (0, 0);
        for InFlightChange { change, .. } in changes {
            in_flight += change;
            max_in_flight = max_in_flight.max(in_flight);
        }
        max_in_flight
    }

    /// Appends the line that the fleet summary prints for this worker to `text`. `total_sent` is the number
    /// of attempts that all schedulers sent to all workers.
    pub(crate) fn write_text(&self, name: &str, max_in_flight: i32, total_sent: u64, text: &mut String) {
        let percent = 100.0 * self.attempts_sent as f64 / total_sent.max(1) as f64;
        let _ = writeln!(
            text,
            "worker {name}: sent {} ({percent:.1} %), at most {max_in_flight} out at once; {}{}",
            self.attempts_sent,
            format_counts(&self.attempt_outcomes),
            self.estimate_text(),
        );
    }

    fn estimate_text(&self) -> String {
        let Some(percent) = &self.percent_of_estimate else { return String::new() };
        let ratio_at = |quantile| percent.value_at_quantile(quantile) as f64 / 100.0;
        format!("; took {:.2} of the estimate (median), {:.2} (90%)", ratio_at(0.5), ratio_at(0.9))
    }
}
