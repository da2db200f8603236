//! A scheduler's records as a recorded trace: which job came when, of what class, with what hint.
use std::io::BufRead;

use copperspread_dispatcher::{Micros, SECOND};
use copperspread_event_log::EventKind;
use copperspread_event_log::reader::{Line, Reader};

use crate::scenario::{RecordedJob, Scenario};

/// Jobs that were left out, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SkippedRecords {
    /// Of a class that the scenario does not have.
    pub unknown_class: u64,
    /// Without a hint, from which nothing tells their work.
    pub no_hint: u64,
    /// Lines that could not be read.
    pub unreadable: u64,
}

/// Puts the jobs that a scheduler took into a scenario, from the first of them on. The hint stands for
/// the work, which no scheduler knows.
///
/// # Errors
/// Records that cannot be read at all, or in which no job can be used.
pub fn load_trace(scenario: &mut Scenario, records: impl BufRead) -> Result<SkippedRecords, String> {
    let mut left_out = SkippedRecords::default();
    let mut taken: Vec<(Micros, RecordedJob)> = Vec::new();
    for line in Reader::new(records) {
        let (number, line) = line.map_err(|e| e.to_string())?;
        let record = match line {
            Line::Record(record) => record,
            Line::UnknownKind { .. } => continue,
            Line::Invalid { .. } | Line::Truncated => {
                left_out.unreadable += 1;
                if number == 1 {
                    return Err("line 1 is no record".into());
                }
                continue;
            }
        };
        let EventKind::RequestAccepted { class, cost_hint_s, slots, .. } = record.event else { continue };
        let Some(class) = scenario.classes.iter().position(|known| known.name == class) else {
            left_out.unknown_class += 1;
            continue;
        };
        let Some(hint) = cost_hint_s.filter(|hint| hint.is_finite() && *hint > 0.0) else {
            left_out.no_hint += 1;
            continue;
        };
        let slots = slots.filter(|slots| slots.is_finite() && *slots > 0.0).unwrap_or(1.0);
        let job = RecordedJob { arrives_at_s: 0.0, class: class as u32, work: hint, slots, hint: Some(hint) };
        // By the machine's clock, as several runs may follow one another.
        taken.push((record.unix_us, job));
    }
    taken.sort_by_key(|of| of.0);
    let first = taken.first().ok_or("no job of the scenario's classes with a hint")?.0;
    let at = |unix: Micros| (unix - first) as f64 / SECOND as f64;
    scenario.clients.trace =
        taken.iter().map(|(unix, job)| RecordedJob { arrives_at_s: at(*unix), ..*job }).collect();
    let last = scenario.clients.trace.last().map_or(0.0, |job| job.arrives_at_s);
    scenario.duration_s = last.floor() + 1.0;
    scenario.clients.rate_per_s = (taken.len() as f64 / scenario.duration_s).max(1e-6);
    scenario.check().map_err(|e| e.to_string())?;
    Ok(left_out)
}
