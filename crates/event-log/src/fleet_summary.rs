//! Summarizes the event logs of many schedulers by time window and by worker. The summary shows what the log
//! of one scheduler cannot show, such as how many attempts of all schedulers were in flight at one worker.
//!
//! The runs of the schedulers are placed on one time axis by the wall clock at each run's first record. The
//! logs must therefore come from one machine or from machines with synchronized clocks. Within a run, times
//! are taken from the monotonic clock, because the wall clock may be set during the run.
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Write;

use crate::reader::Line;
use crate::record::{Decision, EventKind, Record};
use crate::run_timeline::RunTimeline;
use crate::text_format::increment;
use crate::window_summary::WindowSummary;
use crate::worker_summary::WorkerSummary;

/// The summary of the event logs of many schedulers, as `records fleet` prints it.
#[derive(Default)]
pub struct FleetSummary {
    runs: HashMap<String, RunState>,
    scheduler_names: BTreeSet<String>,
    timeline: RunTimeline,
    /// What all schedulers together did in each second, such as the number of requests. The key is the
    /// second, in Unix time.
    seconds: BTreeMap<u64, WindowSummary>,
    workers: BTreeMap<String, WorkerSummary>,
    /// Number of lines that are not records. Such lines are truncated records, or other output of the
    /// scheduler that was collected together with the records.
    other_lines: u64,
}

/// The key of an attempt, which is unique within a run.
#[derive(Clone, PartialEq, Eq, Hash)]
struct AttemptKey {
    request_id: String,
    attempt: u32,
}

/// What the fleet summary remembers about a run while the run's records are added.
#[derive(Default)]
struct RunState {
    next_sequence: u64,
    missing: u64,
    /// The estimated finish time in each request's last decision to send an attempt, in microseconds from the
    /// decision. The key is the id of the request. An entry is removed once the attempt is sent.
    pending_estimates_us: HashMap<String, u64>,
    /// The attempts in flight, each with its estimated finish time if known. That time was estimated when the
    /// dispatch policy decided to send the attempt, and is in microseconds from that decision.
    in_flight: HashMap<AttemptKey, Option<u64>>,
}

impl RunState {
    fn add_sequence(&mut self, sequence: u64) {
        self.missing += sequence.saturating_sub(self.next_sequence);
        self.next_sequence = self.next_sequence.max(sequence + 1);
    }

    fn start_attempt(&mut self, request_id: &str, attempt: u32) {
        let estimate_us = self.pending_estimates_us.remove(request_id);
        self.in_flight.insert(AttemptKey { request_id: request_id.to_owned(), attempt }, estimate_us);
    }

    /// Removes an attempt from the attempts in flight. Returns `None` if the attempt was not in flight.
    /// Otherwise returns the attempt's estimated finish time, or `Some(None)` if that time is unknown.
    fn end_attempt(&mut self, request_id: &str, attempt: u32) -> Option<Option<u64>> {
        self.in_flight.remove(&AttemptKey { request_id: request_id.to_owned(), attempt })
    }
}

impl FleetSummary {
    /// Adds a line of any scheduler's event log to the summary. The lines of one run must be added in the
    /// order in which they were written.
    pub fn add(&mut self, line: &Line) {
        match line {
            Line::Record(record) => self.add_record(record),
            Line::UnknownKind { .. } => {}
            Line::Invalid { .. } | Line::Truncated => self.other_lines += 1,
        }
    }

    fn add_record(&mut self, record: &Record) {
        let run = self.runs.entry(record.run_id.clone()).or_default();
        run.add_sequence(record.sequence);
        let time_us = self.timeline.time_us(record);
        let second = self.seconds.entry(time_us / 1_000_000).or_default();
        match &record.event {
            EventKind::RunStarted { name, .. } => {
                self.scheduler_names.insert(name.clone());
            }
            EventKind::RequestAccepted { .. } => second.accepted += 1,
            EventKind::EndpointsChanged { form, .. } => {
                second.endpoint_updates += u64::from(form != "remembered");
            }
            EventKind::Decided { request_id, decision } => match decision {
                Decision::Send { estimate_us, .. } => {
                    run.pending_estimates_us.insert(request_id.clone(), *estimate_us);
                }
                Decision::Reject { reason, .. } => increment(&mut second.rejection_reasons, reason),
                Decision::Fail | Decision::Cancel { .. } => {}
            },
            EventKind::AttemptSent { request_id, attempt, worker } => {
                second.attempts_sent += 1;
                run.start_attempt(request_id, *attempt);
                self.workers.entry(worker.clone()).or_default().start_attempt(time_us);
            }
            EventKind::AttemptEnded { request_id, attempt, worker, outcome, elapsed_us, .. } => {
                increment(&mut second.attempt_outcomes, outcome);
                let worker = self.workers.entry(worker.clone()).or_default();
                worker.add_outcome(outcome);
                // If the log does not contain the start of the attempt, the attempt was not counted as in
                // flight. Its end is therefore not counted either.
                let Some(estimate_us) = run.end_attempt(request_id, *attempt) else { return };
                worker.end_attempt(time_us);
                if let Some(estimate_us) = estimate_us.filter(|_| outcome == "served") {
                    worker.add_served(*elapsed_us, estimate_us);
                }
            }
            EventKind::RequestFinished { response, elapsed_since_accepted_us, .. } => {
                increment(&mut second.responses, response);
                if response == "served" {
                    second.served_us.saturating_record(*elapsed_since_accepted_us);
                }
            }
            EventKind::RunEnded { .. } | EventKind::CounterReached { .. } | EventKind::Gap { .. } => {}
        }
    }

    /// Returns the text that `records fleet` prints.
    ///
    /// The text begins with the totals. Then comes one line for each window of `window_s` seconds (0 is taken
    /// as 1) that has a record. Then comes one line for each worker, for at most `max_workers` workers. The
    /// workers are sorted by their maximum number of attempts in flight at once, highest first.
    pub fn to_text(&self, window_s: u64, max_workers: usize) -> String {
        let mut text = String::new();
        let missing: u64 = self.runs.values().map(|run| run.missing).sum();
        let (schedulers, runs) = (self.scheduler_names.len(), self.runs.len());
        let _ = writeln!(
            text,
            "{schedulers} schedulers, {runs} runs, {missing} records missing, {} other lines",
            self.other_lines
        );
        let clock_steps = self.timeline.clock_steps();
        if clock_steps > 0 {
            let _ = writeln!(text, "{clock_steps} times a wall clock was set while a run went on");
        }
        for (start_s, window) in &self.windows(window_s.max(1)) {
            window.write_text(*start_s, &mut text);
        }
        self.write_workers(max_workers, &mut text);
        text
    }

    /// Returns what all schedulers together did in each time window of `window_s` seconds. The key is the
    /// start of the window, in seconds after the first second that has a record.
    fn windows(&self, window_s: u64) -> BTreeMap<u64, WindowSummary> {
        let mut windows: BTreeMap<u64, WindowSummary> = BTreeMap::new();
        let first = self.seconds.keys().next().copied().unwrap_or(0);
        for (second, summary) in &self.seconds {
            let start_s = (second - first) / window_s * window_s;
            windows.entry(start_s).or_default().merge(summary);
        }
        windows
    }

    fn write_workers(&self, max_workers: usize, text: &mut String) {
        let total_sent: u64 = self.workers.values().map(WorkerSummary::attempts_sent).sum();
        let mut workers: Vec<_> =
            self.workers.iter().map(|(name, worker)| (worker.max_in_flight(), name, worker)).collect();
        workers.sort_by_key(|&(max_in_flight, name, _)| (Reverse(max_in_flight), name));
        for (max_in_flight, name, worker) in workers.iter().take(max_workers) {
            worker.write_text(name, *max_in_flight, total_sent, text);
        }
        if workers.len() > max_workers {
            let _ = writeln!(text, "{} more workers", workers.len() - max_workers);
        }
    }
}
