//! Sums up what all schedulers did in one time window of the fleet summary.
use std::fmt::Write;

use hdrhistogram::Histogram;

use crate::text_format::{Counts, elapsed_histogram, format_counts, quantile_ms};

/// Number of significant decimal digits with which the histograms of the fleet summary keep each value.
pub(crate) const ELAPSED_DIGITS: u8 = 2;

/// What all schedulers together did in one time window of the fleet summary, such as the number of requests.
pub(crate) struct WindowSummary {
    /// Number of requests that were passed to the dispatch policies of all schedulers.
    pub(crate) accepted: u64,
    pub(crate) attempts_sent: u64,
    pub(crate) endpoint_updates: u64,
    pub(crate) responses: Counts,
    pub(crate) rejection_reasons: Counts,
    pub(crate) attempt_outcomes: Counts,
    /// Histogram of the times that served requests took, in microseconds. Each time begins when the
    /// scheduler passes the request to the dispatch policy, and ends with the final response.
    pub(crate) served_us: Histogram<u64>,
}

impl Default for WindowSummary {
    fn default() -> WindowSummary {
        WindowSummary {
            accepted: 0,
            attempts_sent: 0,
            endpoint_updates: 0,
            responses: Counts::new(),
            rejection_reasons: Counts::new(),
            attempt_outcomes: Counts::new(),
            served_us: elapsed_histogram(ELAPSED_DIGITS),
        }
    }
}

impl WindowSummary {
    /// Adds the counts and times of another window to those of this window.
    pub(crate) fn merge(&mut self, other: &WindowSummary) {
        self.accepted += other.accepted;
        self.attempts_sent += other.attempts_sent;
        self.endpoint_updates += other.endpoint_updates;
        merge_counts(&mut self.responses, &other.responses);
        merge_counts(&mut self.rejection_reasons, &other.rejection_reasons);
        merge_counts(&mut self.attempt_outcomes, &other.attempt_outcomes);
        // The addition cannot fail, because both histograms have the same bounds and number of digits.
        let _ = self.served_us.add(&other.served_us);
    }

    /// Appends the line that the fleet summary prints for this time window to `text`. `start_s` is the start
    /// of the window, in seconds after the start of the first window.
    pub(crate) fn write_text(&self, start_s: u64, text: &mut String) {
        let _ = writeln!(
            text,
            "{start_s:>5} s: taken {}, sent {}, lists {}; answers: {}; refused for: {}; schedulings: {}; \
             served in {:.0} ms (median), {:.0} ms (99%)",
            self.accepted,
            self.attempts_sent,
            self.endpoint_updates,
            format_counts(&self.responses),
            format_counts(&self.rejection_reasons),
            format_counts(&self.attempt_outcomes),
            quantile_ms(&self.served_us, 0.5),
            quantile_ms(&self.served_us, 0.99),
        );
    }
}

fn merge_counts(sums: &mut Counts, counts: &Counts) {
    for (name, count) in counts {
        *sums.entry(name.clone()).or_default() += count;
    }
}
