//! Makes a scenario's trace from a scheduler's event log. The trace is a list of recorded jobs that replaces
//! random arrivals.
//!
//! For each accepted request that can be used, the trace has the arrival time, the request class, the number
//! of slots and the cost hint. A request needs a class of the scenario and a cost hint.
use std::io::BufRead;

use copperspread_dispatcher::{Micros, SECOND};
use copperspread_event_log::EventKind;
use copperspread_event_log::reader::{Line, Reader};
use copperspread_event_log::run_timeline::RunTimeline;

use crate::scenario::{RecordedJob, Scenario, ScenarioError};

/// Lowest arrival rate that a scenario gets with a trace, in jobs per second. The rate is the number of jobs
/// in the trace divided by its duration. With this minimum, the rate is always valid, because a scenario must
/// have a rate above 0.
const MIN_RATE_PER_S: f64 = 1e-6;

/// How many requests and unreadable lines of an event log were skipped, for each reason. Records of an
/// unknown kind are skipped too, but not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SkippedRecords {
    /// Number of requests with a class that the scenario does not have.
    pub unknown_class: u64,
    /// Number of requests without a positive and finite cost hint. Without the hint, their work is unknown.
    pub no_hint: u64,
    /// Number of lines that cannot be parsed.
    pub unreadable: u64,
}

/// An error that prevents reading a trace from an event log.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum TraceError {
    /// The event log cannot be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The first line of the file is not a record, so the file is not an event log.
    #[error("line 1 is not an event log record")]
    NotAnEventLog,
    /// No request in the event log has both a class of the scenario and a cost hint.
    #[error("no request has both a class of the scenario and a cost hint")]
    NoJobs,
    /// The scenario is invalid after its arrivals were replaced by the trace.
    #[error(transparent)]
    InvalidScenario(#[from] ScenarioError),
}

/// A job, and the time at which a scheduler accepted it. The times of all runs in the event log are on one
/// timeline.
struct AcceptedJob {
    time_us: Micros,
    job: RecordedJob,
}

/// Replaces a scenario's arrivals with the requests that a scheduler accepted according to its event log.
///
/// Time 0 of the trace is the time of the first of these requests. The scenario gets the duration and the
/// arrival rate of the trace. The cost hint of a request is used as its work, because the event log does not
/// contain the actual work.
///
/// # Errors
/// Fails if the event log cannot be read, none of its requests can be used or the scenario becomes invalid.
pub fn load_trace(scenario: &mut Scenario, event_log: impl BufRead) -> Result<SkippedRecords, TraceError> {
    let mut skipped = SkippedRecords::default();
    let mut jobs = read_jobs(scenario, event_log, &mut skipped)?;
    jobs.sort_by_key(|accepted| accepted.time_us);
    let first = jobs.first().ok_or(TraceError::NoJobs)?.time_us;
    let arrives_at_s = |time_us: Micros| (time_us - first) as f64 / SECOND as f64;
    scenario.clients.trace = jobs
        .iter()
        .map(|AcceptedJob { time_us, job }| RecordedJob { arrives_at_s: arrives_at_s(*time_us), ..*job })
        .collect();
    let last = scenario.clients.trace.last().map_or(0.0, |job| job.arrives_at_s);
    scenario.duration_s = last.floor() + 1.0;
    scenario.clients.rate_per_s = (jobs.len() as f64 / scenario.duration_s).max(MIN_RATE_PER_S);
    scenario.check()?;
    Ok(skipped)
}

fn read_jobs(
    scenario: &Scenario,
    event_log: impl BufRead,
    skipped: &mut SkippedRecords,
) -> Result<Vec<AcceptedJob>, TraceError> {
    let mut jobs = Vec::new();
    // An event log may contain several runs of a scheduler in sequence, and the wall clock may be set during
    // a run. The recorded times can therefore not be used unchanged, and the records of all runs are mapped
    // to one timeline. The wall clock at the first record of a run gives the time of the run. The monotonic
    // clock gives the times of the records within the run.
    let mut timeline = RunTimeline::default();
    for numbered_line in Reader::new(event_log) {
        let (number, line) = numbered_line?;
        let record = match line {
            Line::Record(record) => record,
            Line::UnknownKind { .. } => continue,
            Line::Invalid { .. } | Line::Truncated if number == 1 => return Err(TraceError::NotAnEventLog),
            Line::Invalid { .. } | Line::Truncated => {
                skipped.unreadable += 1;
                continue;
            }
        };
        let time_us = timeline.time_us(&record);
        if let Some(job) = recorded_job(scenario, record.event, skipped) {
            jobs.push(AcceptedJob { time_us, job });
        }
    }
    Ok(jobs)
}

fn recorded_job(scenario: &Scenario, event: EventKind, skipped: &mut SkippedRecords) -> Option<RecordedJob> {
    let EventKind::RequestAccepted { class, cost_hint_s, slots, .. } = event else { return None };
    let Some(class) = scenario.classes.iter().position(|known| known.name == class) else {
        skipped.unknown_class += 1;
        return None;
    };
    let is_positive = |value: &f64| value.is_finite() && *value > 0.0;
    let Some(hint) = cost_hint_s.filter(is_positive) else {
        skipped.no_hint += 1;
        return None;
    };
    let slots = slots.filter(is_positive).unwrap_or(1.0);
    Some(RecordedJob { arrives_at_s: 0.0, class: class as u32, work: hint, slots, hint: Some(hint) })
}
