//! Summarizes one run of a scheduler from the records of an event log.
use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;

use crate::record::{Decision, EventKind, Record, RequestCounts};
use crate::run_timeline::RunClock;
use crate::sequence_tracker::SequenceTracker;
use crate::text_format::{Counts, elapsed_histogram, format_counts, increment, quantile_ms};

/// Number of significant decimal digits with which the histogram of response times keeps each time.
const ELAPSED_DIGITS: u8 = 3;

/// The summary of one run of the scheduler.
#[derive(Default)]
pub struct RunSummary {
    /// The id of the run, which is random for each start of the scheduler.
    pub run_id: String,
    /// The name of the scheduler that the run belongs to; `None` if the start of the run is not in the event
    /// log.
    pub name: Option<String>,
    /// Number of the run's records for each event kind, by the name of the kind in the record. If this reader
    /// does not know the kind, ` (unknown)` follows the name.
    pub records_by_kind: BTreeMap<String, u64>,
    /// How often the wall clock was set during the run.
    pub clock_steps: u64,
    /// Whether the event log contains the end of the run. If not, the run still continues or its process was
    /// killed.
    pub has_ended: bool,
    /// The numbers of requests of the run by how they ended; `None` if no record of the run's end contains
    /// them.
    pub requests: Option<RequestCounts>,
    /// Number of attempts of the run for each outcome.
    pub attempt_outcomes: BTreeMap<String, u64>,
    /// Number of rejected requests of the run for each reason.
    pub rejection_reasons: BTreeMap<String, u64>,
    /// The summary of the run's requests for each request class, by the name of the class.
    pub classes: BTreeMap<String, ClassSummary>,
    sequences: SequenceTracker,
    clock: Option<RunClock>,
    /// Monotonic-clock time of the first record of the run, in microseconds.
    first_us: Option<u64>,
    /// Highest monotonic-clock time of any record of the run, in microseconds.
    last_us: u64,
}

/// The summary of the requests of one request class during a run.
pub struct ClassSummary {
    /// Number of requests of the class that were passed to the dispatch policy. The policy may have rejected
    /// some of them.
    pub accepted: u64,
    /// Number of final responses to requests of the class, by kind of response. The kind `gone` counts the
    /// requests whose client disconnected before a final response.
    pub responses: BTreeMap<String, u64>,
    /// Histogram of the times that served requests took, in microseconds. Each time is from the passing of
    /// the request to the dispatch policy until the final response.
    pub served_us: Histogram<u64>,
}

impl Default for ClassSummary {
    fn default() -> ClassSummary {
        ClassSummary { accepted: 0, responses: Counts::new(), served_us: elapsed_histogram(ELAPSED_DIGITS) }
    }
}

impl RunSummary {
    pub(crate) fn new(run_id: &str) -> RunSummary {
        RunSummary { run_id: run_id.to_owned(), ..RunSummary::default() }
    }

    /// Returns the number of missing records of the run, whether or not a gap record stands for them.
    pub fn missing(&self) -> u64 {
        self.sequences.missing()
    }

    /// Returns the number of records that came after a record of the run with the same or a higher sequence
    /// number. Duplicates are included.
    pub fn out_of_order(&self) -> u64 {
        self.sequences.out_of_order()
    }

    /// Returns the number of records whose sequence number an earlier record of the run already had.
    pub fn duplicates(&self) -> u64 {
        self.sequences.duplicates()
    }

    pub(crate) fn add_unknown_kind(&mut self, kind: &str, sequence: u64) {
        increment(&mut self.records_by_kind, &format!("{kind} (unknown)"));
        self.sequences.add(sequence, None);
    }

    pub(crate) fn add(&mut self, record: &Record) {
        let gap = if let EventKind::Gap { dropped } = record.event { Some(dropped.max(1)) } else { None };
        self.sequences.add(record.sequence, gap);
        increment(&mut self.records_by_kind, record.event.kind());
        self.add_clocks(record);
        self.add_event(&record.event);
    }

    fn add_clocks(&mut self, record: &Record) {
        let clock = self.clock.get_or_insert_with(|| RunClock::new(record));
        clock.add(record);
        self.clock_steps = clock.steps();
        self.first_us.get_or_insert(record.mono_us);
        self.last_us = self.last_us.max(record.mono_us);
    }

    fn add_event(&mut self, event: &EventKind) {
        match event {
            EventKind::RunStarted { name, .. } => self.name = Some(name.clone()),
            EventKind::RunEnded { requests, .. } => {
                self.has_ended = true;
                self.requests = *requests;
            }
            EventKind::RequestAccepted { class, .. } => {
                self.classes.entry(class.clone()).or_default().accepted += 1;
            }
            EventKind::RequestFinished { class, response, elapsed_since_accepted_us, .. } => {
                let summary = self.classes.entry(class.clone()).or_default();
                increment(&mut summary.responses, response);
                if response == "served" {
                    summary.served_us.saturating_record(*elapsed_since_accepted_us);
                }
            }
            EventKind::AttemptEnded { outcome, .. } => increment(&mut self.attempt_outcomes, outcome),
            EventKind::Decided { decision: Decision::Reject { reason, .. }, .. } => {
                increment(&mut self.rejection_reasons, reason);
            }
            _ => {}
        }
    }

    fn record_count(&self) -> u64 {
        self.records_by_kind.values().sum()
    }

    pub(crate) fn write_text(&self, text: &mut String) {
        let records = self.record_count();
        let first_us = self.first_us.unwrap_or(self.last_us);
        let seconds = self.last_us.saturating_sub(first_us) as f64 / 1e6;
        let name = self.name.as_deref().unwrap_or("(its start is not here)");
        let end = if self.has_ended { "ended" } else { "no end recorded" };
        let _ = writeln!(text, "run {} of {name}: {records} records over {seconds:.1} s, {end}", self.run_id);
        self.write_anomalies(text);
        if let Some(RequestCounts { received, answered, disconnected, unanswered }) = self.requests {
            let _ = writeln!(
                text,
                "  requests: received {received}, answered {answered}, disconnected {disconnected}, \
                 unanswered {unanswered}"
            );
        }
        for (title, counts) in [
            ("kinds", &self.records_by_kind),
            ("schedulings", &self.attempt_outcomes),
            ("refused for", &self.rejection_reasons),
        ] {
            if !counts.is_empty() {
                let _ = writeln!(text, "  {title}: {}", format_counts(counts));
            }
        }
        for (class, summary) in &self.classes {
            summary.write_text(class, text);
        }
    }

    fn write_anomalies(&self, text: &mut String) {
        for (count, anomaly) in [
            (self.missing(), "records are missing"),
            (self.out_of_order(), "records came out of order"),
            (self.duplicates(), "records came twice"),
            (self.clock_steps, "times the wall clock was set"),
        ] {
            if count > 0 {
                let _ = writeln!(text, "  {count} {anomaly}");
            }
        }
    }
}

impl ClassSummary {
    fn write_text(&self, class: &str, text: &mut String) {
        let _ = write!(text, "  class {class}: taken {}, {}", self.accepted, format_counts(&self.responses));
        if !self.served_us.is_empty() {
            let (median, p99) = (quantile_ms(&self.served_us, 0.5), quantile_ms(&self.served_us, 0.99));
            let _ = write!(text, "; served in {median:.1} ms (median), {p99:.1} ms (99%)");
        }
        text.push('\n');
    }
}
