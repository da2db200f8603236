//! Summarizes one stream: its runs, missing records, records out of order, and responses to clients.
use std::fmt::Write;

use crate::reader::{InvalidLineReason, Line};
pub use crate::run_summary::{ClassSummary, RunSummary};

/// Maximum number of invalid lines that are kept with their reasons.
const MAX_INVALID_LINES: usize = 5;

/// A line that is not a record.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidLine {
    /// The line's number, from 1.
    pub number: u64,
    /// The reason why the line is not a record.
    pub reason: InvalidLineReason,
}

/// The summary of a stream.
#[derive(Default)]
pub struct StreamSummary {
    /// The runs, in the order of their first records.
    pub runs: Vec<RunSummary>,
    /// The first lines that are not records, as examples with their reasons.
    pub invalid_lines: Vec<InvalidLine>,
    /// Number of lines that are not records, without a truncated last line.
    pub invalid_line_count: u64,
    /// Whether the last line has no line break, because it is still being written or a crash truncated it.
    pub is_truncated: bool,
}

impl StreamSummary {
    /// Adds the next line of the stream, with its number.
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

    /// The summary as text.
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
