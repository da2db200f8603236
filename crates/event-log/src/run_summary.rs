//! The summary of one run in a stream.
use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;

use crate::record::{Decision, EventKind, Record, RequestCounts};
use crate::run_timeline::RunClock;
use crate::sequence_tracker::SequenceTracker;
use crate::text_format::{Counts, elapsed_histogram, format_counts, increment, quantile_ms};

/// Significant digits of elapsed times.
const ELAPSED_DIGITS: u8 = 3;

/// One run of the program.
#[derive(Default)]
pub struct RunSummary {
    /// The id of the run.
    pub run_id: String,
    /// The name of the scheduler, if the start of the run is in the stream.
    pub name: Option<String>,
    /// Records by kind.
    pub records_by_kind: BTreeMap<String, u64>,
    /// How often the wall clock was set.
    pub clock_steps: u64,
    /// Whether the run states that it ended; else it goes on, or it was killed.
    pub has_ended: bool,
    /// What became of the run's requests, if its end says so.
    pub requests: Option<RequestCounts>,
    /// Attempts by their outcome.
    pub attempt_outcomes: BTreeMap<String, u64>,
    /// Rejections by their reason.
    pub rejection_reasons: BTreeMap<String, u64>,
    /// Requests by class.
    pub classes: BTreeMap<String, ClassSummary>,
    sequences: SequenceTracker,
    clock: Option<RunClock>,
    /// The monotonic clock, of the first record and of the last.
    first_us: Option<u64>,
    last_us: u64,
}

/// The requests of one class.
pub struct ClassSummary {
    /// Requests accepted.
    pub accepted: u64,
    /// Final responses by their kind.
    pub responses: BTreeMap<String, u64>,
    /// How long served requests took, in microseconds.
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

    /// Sequence numbers that are missing, whether or not the run says so.
    pub fn missing(&self) -> u64 {
        self.sequences.missing()
    }

    /// Records that come after one with a higher sequence number.
    pub fn out_of_order(&self) -> u64 {
        self.sequences.out_of_order()
    }

    /// Sequence numbers that occur twice.
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
        self.write_faults(text);
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

    fn write_faults(&self, text: &mut String) {
        for (count, fault) in [
            (self.missing(), "records are missing"),
            (self.out_of_order(), "records came out of order"),
            (self.duplicates(), "records came twice"),
            (self.clock_steps, "times the wall clock was set"),
        ] {
            if count > 0 {
                let _ = writeln!(text, "  {count} {fault}");
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
