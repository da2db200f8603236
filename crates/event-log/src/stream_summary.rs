//! Summarizes the event log of one scheduler: its runs, missing records, records out of order, and responses
//! to clients.
use std::fmt::Write;

use crate::reader::{InvalidLineReason, Line};
pub use crate::run_summary::{ClassSummary, RunSummary};

/// Maximum number of lines for which the summary keeps the reason why the line is not a record.
const MAX_INVALID_LINES: usize = 5;

/// A line of the event log that is not a record.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidLine {
    /// The number of the line within its file, counted from 1.
    pub number: u64,
    /// The reason why the line is not a record.
    pub reason: InvalidLineReason,
}

/// The summary of the event log of one scheduler, as `records stat` prints it.
#[derive(Default)]
pub struct StreamSummary {
    /// The summaries of the runs in the event log, in the order of the runs' first records.
    pub runs: Vec<RunSummary>,
    /// The first few lines of the event log that are not records, each with the reason.
    pub invalid_lines: Vec<InvalidLine>,
    /// Number of lines of the event log that are not records. A truncated last line is not counted.
    pub invalid_line_count: u64,
    /// Whether the last line of the event log has no line break. The line is still being written, or a crash
    /// truncated it.
    pub is_truncated: bool,
}

impl StreamSummary {
    /// Adds the next line of the event log to the summary. `number` is the line's number within its file.
    pub fn add(&mut self, number: u64, line: &Line) {
        match line {
            Line::Record(record) => self.run(&record.run_id).add(record),
            Line::UnknownKind { kind, run_id, sequence } => {
                self.run(run_id).add_unknown_kind(kind, *sequence);
            }
            Line::Invalid { reason } => {
                self.invalid_line_count += 1;
                if self.invalid_lines.len() < MAX_INVALID_LINES {
                    self.invalid_lines.push(InvalidLine { number, reason: reason.clone() });
                }
            }
            Line::Truncated => self.is_truncated = true,
        }
    }

    fn run(&mut self, run_id: &str) -> &mut RunSummary {
        let index = self.runs.iter().position(|run| run.run_id == run_id).unwrap_or_else(|| {
            self.runs.push(RunSummary::new(run_id));
            self.runs.len() - 1
        });
        &mut self.runs[index]
    }

    /// Returns the text that `records stat` prints.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for run in &self.runs {
            run.write_text(&mut text);
        }
        if self.runs.is_empty() {
            text += "no records\n";
        }
        for InvalidLine { number, reason } in &self.invalid_lines {
            let _ = writeln!(text, "line {number} is no record: {reason}");
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
