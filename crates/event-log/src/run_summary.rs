//! Summarizes one run of a stream.
use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;

use crate::record::{Decision, EventKind, Record, RequestCounts};
use crate::run_timeline::RunClock;
use crate::sequence_tracker::SequenceTracker;
use crate::text_format::{Counts, elapsed_histogram, format_counts, increment, quantile_ms};

/// Number of significant decimal digits that the histogram of response times keeps.
const ELAPSED_DIGITS: u8 = 3;

/// The summary of one run of the scheduler.
#[derive(Default)]
pub struct RunSummary {
    /// The id of the run, which is random for each start of the scheduler.
    pub run_id: String,
    /// The name of the scheduler of the run; `None` if the start of the run is not in the stream.
    pub name: Option<String>,
    /// Number of records by the serialized name of their event kind. ` (unknown)` follows a name that this
    /// reader does not know.
    pub records_by_kind: BTreeMap<String, u64>,
    /// How often the wall clock was set during the run.
    pub clock_steps: u64,
    /// Whether the stream has the end of the run; if not, the run continues or was killed.
    pub has_ended: bool,
    /// The counts of the run's requests, if the record of the run's end has these counts.
    pub requests: Option<RequestCounts>,
    /// Number of attempts by outcome.
    pub attempt_outcomes: BTreeMap<String, u64>,
    /// Number of rejections by reason.
    pub rejection_reasons: BTreeMap<String, u64>,
    /// The summary of the requests of each class, by the class's name.
    pub classes: BTreeMap<String, ClassSummary>,
    sequences: SequenceTracker,
    clock: Option<RunClock>,
    /// Monotonic time of the first record, in microseconds.
    first_us: Option<u64>,
    /// Highest monotonic time of a record, in microseconds.
    last_us: u64,
}

/// The summary of the requests of one class.
pub struct ClassSummary {
    /// Number of requests passed to the dispatch policy, which may still have rejected them.
    pub accepted: u64,
    /// Number of final responses by kind. The kind `gone` counts the requests whose client disconnected
    /// before a final response.
    pub responses: BTreeMap<String, u64>,
    /// Time from acceptance to the final response of served requests, in microseconds.
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

    /// Number of missing sequence numbers, whether or not a gap record states them.
    pub fn missing(&self) -> u64 {
        self.sequences.missing()
    }

    /// Number of records that came after a record with the same or a higher sequence number; includes
    /// duplicates.
    pub fn out_of_order(&self) -> u64 {
        self.sequences.out_of_order()
    }

    /// Number of records whose sequence number occurred before.
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
