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
pub struct Report {
    /// The runs, in order of their first record.
    pub runs: Vec<Run>,
    /// Lines that are no records, the first few with their numbers.
    pub bad: Vec<(u64, String)>,
    /// How many there are.
    pub bad_count: u64,
    /// The last line has no end.
    pub torn: bool,
}

/// One run of the program.
#[derive(Default)]
pub struct Run {
    /// Its name.
    pub run: String,
    /// The scheduler's.
    pub name: Option<String>,
    /// Records by kind.
    pub kinds: BTreeMap<String, u64>,
    /// Numbers that are missing, whether or not the run says so.
    pub missing: u64,
    /// Records that came after one with a higher number.
    pub disorder: u64,
    /// Numbers that came twice.
    pub twice: u64,
    /// Places where the wall clock was set.
    pub clock_steps: u64,
    /// The run says that it ended; else it goes on, or it was killed.
    pub ended: bool,
    /// Schedulings by their outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Refusals by their cause.
    pub refusals: BTreeMap<String, u64>,
    /// Answers by class.
    pub classes: BTreeMap<String, Answers>,
    /// Numbers that were not there when later ones came.
    holes: BTreeMap<u64, u64>,
    next: u64,
    began: bool,
    offset: Option<i128>,
    first_us: u64,
    last_us: u64,
}

/// What the clients of one class got.
pub struct Answers {
    /// Flows taken.
    pub taken: u64,
    /// Final answers by their word.
    pub answers: BTreeMap<String, u64>,
    /// How long served ones took, in microseconds.
    pub served_us: Histogram<u64>,
}

impl Default for Answers {
    fn default() -> Answers {
        let served_us =
            Histogram::new_with_max(LONGEST_US, 3).unwrap_or_else(|_| unreachable!("good bounds"));
        Answers { taken: 0, answers: BTreeMap::new(), served_us }
    }
}

impl Report {
    /// Takes the next line of the stream.
    pub fn add(&mut self, number: u64, line: &Line) {
        match line {
            Line::Record(record) => self.run(&record.run).add(record),
            Line::Unknown { kind, run, seq } => {
                let run = self.run(run);
                *run.kinds.entry(format!("{kind} (unknown)")).or_default() += 1;
                run.number(*seq, None);
            }
            Line::Bad { why } => {
                self.bad_count += 1;
                if self.bad.len() < 5 {
                    self.bad.push((number, why.clone()));
                }
            }
            Line::Torn => self.torn = true,
        }
    }

    fn run(&mut self, name: &str) -> &mut Run {
        let at = self.runs.iter().position(|run| run.run == name).unwrap_or_else(|| {
            self.runs.push(Run { run: name.to_owned(), ..Run::default() });
            self.runs.len() - 1
        });
        &mut self.runs[at]
    }

    /// The report as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for run in &self.runs {
            run.text(&mut text);
        }
        if self.runs.is_empty() {
            text += "no records\n";
        }
        for (number, why) in &self.bad {
            let _ = writeln!(text, "line {number} is no record: {why}");
        }
        if self.bad_count > self.bad.len() as u64 {
            let _ = writeln!(text, "{} lines are no records in all", self.bad_count);
        }
        if self.torn {
            text += "the last line has no end: it is being written, or a crash has torn it\n";
        }
        text
    }
}

impl Run {
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
        self.disorder += 1;
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
            _ => self.twice += 1,
        }
    }

    fn add(&mut self, record: &Record) {
        let gap = if let EventKind::Gap { dropped } = record.event { Some(dropped.max(1)) } else { None };
        self.number(record.seq, gap);
        *self.kinds.entry(record.event.kind().to_owned()).or_default() += 1;
        let offset = i128::from(record.unix_us) - i128::from(record.mono_us);
        if self.offset.is_some_and(|old| (old - offset).abs() > STEP_US) {
            self.clock_steps += 1;
        }
        self.offset = Some(offset);
        self.first_us = if self.kinds.values().sum::<u64>() == 1 { record.mono_us } else { self.first_us };
        self.last_us = self.last_us.max(record.mono_us);
        match &record.event {
            EventKind::RunStarted { name, .. } => self.name = Some(name.clone()),
            EventKind::RunEnded { .. } => self.ended = true,
            EventKind::RequestAccepted { class, .. } => {
                self.classes.entry(class.clone()).or_default().taken += 1
            }
            EventKind::Answered { class, answer, after_us, .. } => {
                let of = self.classes.entry(class.clone()).or_default();
                *of.answers.entry(answer.clone()).or_default() += 1;
                if answer == "served" {
                    of.served_us.saturating_record(*after_us);
                }
            }
            EventKind::AttemptEnded { outcome, .. } => {
                *self.outcomes.entry(outcome.clone()).or_default() += 1;
            }
            EventKind::Decided { decision: Decision::Reject { reason: why, .. }, .. } => {
                *self.refusals.entry(why.clone()).or_default() += 1;
            }
            _ => {}
        }
    }

    fn text(&self, text: &mut String) {
        let records: u64 = self.kinds.values().sum();
        let span = self.last_us.saturating_sub(self.first_us) as f64 / 1e6;
        let name = self.name.as_deref().unwrap_or("(its start is not here)");
        let end = if self.ended { "ended" } else { "no end recorded" };
        let _ = writeln!(text, "run {} of {name}: {records} records over {span:.1} s, {end}", self.run);
        for (count, what) in [
            (self.missing, "records are missing"),
            (self.disorder, "records came out of order"),
            (self.twice, "records came twice"),
            (self.clock_steps, "times the wall clock was set"),
        ] {
            if count > 0 {
                let _ = writeln!(text, "  {count} {what}");
            }
        }
        let list = |of: &BTreeMap<String, u64>| -> String {
            of.iter().map(|(name, count)| format!("{name} {count}")).collect::<Vec<_>>().join(", ")
        };
        for (title, of) in
            [("kinds", &self.kinds), ("schedulings", &self.outcomes), ("refused for", &self.refusals)]
        {
            if !of.is_empty() {
                let _ = writeln!(text, "  {title}: {}", list(of));
            }
        }
        for (class, of) in &self.classes {
            let at = |quantile| of.served_us.value_at_quantile(quantile) as f64 / 1e3;
            let _ = write!(text, "  class {class}: taken {}, {}", of.taken, list(&of.answers));
            if !of.served_us.is_empty() {
                let (half, most) = (at(0.5), at(0.99));
                let _ = write!(text, "; served in {half:.1} ms (median), {most:.1} ms (99%)");
            }
            text.push('\n');
        }
    }
}
