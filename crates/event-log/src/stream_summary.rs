//! Sums up a stream: its runs, what is missing or out of order, and what clients got.
use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;

use crate::reader::Line;
use crate::record::{Decision, EventKind, Record};

/// Clocks that differ by more than this over a run were set while it went on.
const STEP_US: i128 = 1_000_000;
/// Longest time that is told apart: a day, in microseconds.
const LONGEST_US: u64 = 86_400_000_000;

/// What a stream came to.
#[derive(Default)]
pub struct StreamSummary {
    /// The runs, in order of their first record.
    pub runs: Vec<RunSummary>,
    /// Lines that are no records, the first few with their numbers.
    pub invalid_lines: Vec<(u64, String)>,
    /// How many there are.
    pub invalid_line_count: u64,
    /// The last line has no end.
    pub is_truncated: bool,
}

/// One run of the program.
#[derive(Default)]
pub struct RunSummary {
    /// Its name.
    pub run: String,
    /// The scheduler's.
    pub name: Option<String>,
    /// Records by kind.
    pub records_by_kind: BTreeMap<String, u64>,
    /// Numbers that are missing, whether or not the run says so.
    pub missing: u64,
    /// Records that came after one with a higher number.
    pub out_of_order: u64,
    /// Numbers that came twice.
    pub duplicates: u64,
    /// Places where the wall clock was set.
    pub clock_steps: u64,
    /// The run says that it ended; else it goes on, or it was killed.
    pub has_ended: bool,
    /// Schedulings by their outcome.
    pub attempt_outcomes: BTreeMap<String, u64>,
    /// Refusals by their cause.
    pub rejection_reasons: BTreeMap<String, u64>,
    /// Answers by class.
    pub classes: BTreeMap<String, ClassSummary>,
    /// Numbers that were not there when later ones came.
    holes: BTreeMap<u64, u64>,
    next: u64,
    began: bool,
    offset: Option<i128>,
    first_us: u64,
    last_us: u64,
}

/// What the clients of one class got.
pub struct ClassSummary {
    /// Flows taken.
    pub accepted: u64,
    /// Final answers by their word.
    pub responses: BTreeMap<String, u64>,
    /// How long served ones took, in microseconds.
    pub served_us: Histogram<u64>,
}

impl Default for ClassSummary {
    fn default() -> ClassSummary {
        let served_us =
            Histogram::new_with_max(LONGEST_US, 3).unwrap_or_else(|_| unreachable!("good bounds"));
        ClassSummary { accepted: 0, responses: BTreeMap::new(), served_us }
    }
}

impl StreamSummary {
    /// Takes the next line of the stream.
    pub fn add(&mut self, number: u64, line: &Line) {
        match line {
            Line::Record(record) => self.run(&record.run_id).add(record),
            Line::UnknownKind { kind, run_id: run, sequence: seq } => {
                let run = self.run(run);
                *run.records_by_kind.entry(format!("{kind} (unknown)")).or_default() += 1;
                run.number(*seq, None);
            }
            Line::Invalid { reason: why } => {
                self.invalid_line_count += 1;
                if self.invalid_lines.len() < 5 {
                    self.invalid_lines.push((number, why.clone()));
                }
            }
            Line::Truncated => self.is_truncated = true,
        }
    }

    fn run(&mut self, name: &str) -> &mut RunSummary {
        let at = self.runs.iter().position(|run| run.run == name).unwrap_or_else(|| {
            self.runs.push(RunSummary { run: name.to_owned(), ..RunSummary::default() });
            self.runs.len() - 1
        });
        &mut self.runs[at]
    }

    /// The report as text.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for run in &self.runs {
            run.text(&mut text);
        }
        if self.runs.is_empty() {
            text += "no records\n";
        }
        for (number, why) in &self.invalid_lines {
            let _ = writeln!(text, "line {number} is no record: {why}");
        }
        if self.invalid_line_count > self.invalid_lines.len() as u64 {
            let _ = writeln!(text, "{} lines are no records in all", self.invalid_line_count);
        }
        if self.is_truncated {
            text += "the last line has no end: it is being written, or a crash has torn it\n";
        }
        text
    }
}

impl RunSummary {
    /// Follows the numbers. Guards against gaps that are smoothed over: what is missing is counted from
    /// the numbers themselves, also where no record tells of it, and a straggler fills its hole again.
    fn number(&mut self, seq: u64, gap: Option<u64>) {
        if !self.began {
            self.began = true;
            // A stream whose first file was removed begins in the middle: that is no gap inside it.
            self.next = seq;
            self.missing += gap.unwrap_or(1) - 1;
        }
        if seq >= self.next {
            if seq > self.next {
                self.holes.insert(self.next, seq);
                self.missing += seq - self.next;
            }
            self.next = seq + 1;
            // The record of a gap takes the number of one that is missing.
            self.missing += u64::from(gap.is_some());
            return;
        }
        self.out_of_order += 1;
        match self.holes.range(..=seq).next_back().map(|(&from, &to)| (from, to)) {
            Some((from, to)) if seq < to => {
                self.holes.remove(&from);
                for (from, to) in [(from, seq), (seq + 1, to)] {
                    if from < to {
                        self.holes.insert(from, to);
                    }
                }
                self.missing -= u64::from(gap.is_none());
            }
            _ => self.duplicates += 1,
        }
    }

    fn add(&mut self, record: &Record) {
        let gap = if let EventKind::Gap { dropped } = record.event { Some(dropped.max(1)) } else { None };
        self.number(record.sequence, gap);
        *self.records_by_kind.entry(record.event.kind().to_owned()).or_default() += 1;
        let offset = i128::from(record.unix_us) - i128::from(record.mono_us);
        if self.offset.is_some_and(|old| (old - offset).abs() > STEP_US) {
            self.clock_steps += 1;
        }
        self.offset = Some(offset);
        self.first_us =
            if self.records_by_kind.values().sum::<u64>() == 1 { record.mono_us } else { self.first_us };
        self.last_us = self.last_us.max(record.mono_us);
        match &record.event {
            EventKind::RunStarted { name, .. } => self.name = Some(name.clone()),
            EventKind::RunEnded { .. } => self.has_ended = true,
            EventKind::RequestAccepted { class, .. } => {
                self.classes.entry(class.clone()).or_default().accepted += 1
            }
            EventKind::RequestFinished {
                class,
                response: answer,
                elapsed_since_accepted_us: after_us,
                ..
            } => {
                let of = self.classes.entry(class.clone()).or_default();
                *of.responses.entry(answer.clone()).or_default() += 1;
                if answer == "served" {
                    of.served_us.saturating_record(*after_us);
                }
            }
            EventKind::AttemptEnded { outcome, .. } => {
                *self.attempt_outcomes.entry(outcome.clone()).or_default() += 1;
            }
            EventKind::Decided { decision: Decision::Reject { reason: why, .. }, .. } => {
                *self.rejection_reasons.entry(why.clone()).or_default() += 1;
            }
            _ => {}
        }
    }

    fn text(&self, text: &mut String) {
        let records: u64 = self.records_by_kind.values().sum();
        let span = self.last_us.saturating_sub(self.first_us) as f64 / 1e6;
        let name = self.name.as_deref().unwrap_or("(its start is not here)");
        let end = if self.has_ended { "ended" } else { "no end recorded" };
        let _ = writeln!(text, "run {} of {name}: {records} records over {span:.1} s, {end}", self.run);
        for (count, what) in [
            (self.missing, "records are missing"),
            (self.out_of_order, "records came out of order"),
            (self.duplicates, "records came twice"),
            (self.clock_steps, "times the wall clock was set"),
        ] {
            if count > 0 {
                let _ = writeln!(text, "  {count} {what}");
            }
        }
        let list = |of: &BTreeMap<String, u64>| -> String {
            of.iter().map(|(name, count)| format!("{name} {count}")).collect::<Vec<_>>().join(", ")
        };
        for (title, of) in [
            ("kinds", &self.records_by_kind),
            ("schedulings", &self.attempt_outcomes),
            ("refused for", &self.rejection_reasons),
        ] {
            if !of.is_empty() {
                let _ = writeln!(text, "  {title}: {}", list(of));
            }
        }
        for (class, of) in &self.classes {
            let at = |quantile| of.served_us.value_at_quantile(quantile) as f64 / 1e3;
            let _ = write!(text, "  class {class}: taken {}, {}", of.accepted, list(&of.responses));
            if !of.served_us.is_empty() {
                let (half, most) = (at(0.5), at(0.99));
                let _ = write!(text, "; served in {half:.1} ms (median), {most:.1} ms (99%)");
            }
            text.push('\n');
        }
    }
}
